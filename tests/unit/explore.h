#ifndef CH_TESTS_EXPLORE_H
#define CH_TESTS_EXPLORE_H

/*
 * Runs a scenario once for every sequence of choices up to a bound: the
 * scenario asks explore_choose wherever something else could happen, and is
 * run from the start each time.
 */

#include <glib.h>
#include <stdbool.h>

enum {
    EXPLORE_MOST = 24,
};

struct explore {
    unsigned path[EXPLORE_MOST];
    unsigned width[EXPLORE_MOST];
    unsigned depth;
    unsigned bound; /* choices after this many are all the first */
    guint64 runs;
};

/* A number below width. */
static inline unsigned
explore_choose(struct explore *explore, unsigned width)
{
    if (explore->depth >= explore->bound || width < 2) {
        return 0;
    }
    unsigned at = explore->depth++;
    explore->width[at] = width;
    return explore->path[at];
}

/* Sets the path of the next run; false when all were run. */
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
