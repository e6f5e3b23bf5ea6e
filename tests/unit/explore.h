#ifndef CH_TESTS_EXPLORE_H
#define CH_TESTS_EXPLORE_H

/*
 * Bounded exploration: runs a scenario from the start once for every sequence
 * of choices up to a bound.  The scenario calls explore_choose() wherever more
 * than one event could happen next.
 */

#include <glib.h>
#include <stdbool.h>

enum {
    EXPLORE_MAX_CHOICES = 24,
};

struct explore {
    unsigned path[EXPLORE_MAX_CHOICES];
    unsigned width[EXPLORE_MAX_CHOICES];
    unsigned depth;
    unsigned bound; /* choices beyond this many always take the first option */
    guint64 runs;
};

/* Chooses a number below width. */
static inline unsigned
explore_choose(struct explore *explore, unsigned width)
{
    if (explore->depth >= explore->bound || width < 2) {
        return 0;
    }
    unsigned position = explore->depth++;
    explore->width[position] = width;
    return explore->path[position];
}

/* Moves on to the next sequence of choices; false: all of them were run. */
static inline bool
explore_next(struct explore *explore)
{
    explore->runs++;
    for (unsigned i = explore->depth; i-- > 0;) {
        if (++explore->path[i] < explore->width[i]) {
            explore->depth = 0;
            return true;
        }
        explore->path[i] = 0;
    }
    return false;
}

#endif
