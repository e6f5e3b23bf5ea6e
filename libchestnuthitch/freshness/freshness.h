#ifndef CH_FRESHNESS_H
#define CH_FRESHNESS_H

/*
 * How old a node's copy of a list in the key-value store is. Times are
 * microseconds of one node's clock. No sockets, no clock, no threads.
 */

#include "base/base.h"

struct ch_freshness {
    int64_t bound;        /* within which each node must know a change */
    int64_t confirmed_at; /* the copy has all changes up to then; 0: never */
    bool is_late;         /* at the last call of ch_freshness_update_late() */
};

/* A copy that was never confirmed; bound above 0. */
void ch_freshness_init(struct ch_freshness *freshness, int64_t bound);
/* Records that the copy has all changes that the store had acknowledged at
 * `at`. */
void ch_freshness_confirm(struct ch_freshness *freshness, int64_t at);
/* Time since the copy was last known to be current; G_MAXINT64: it never was.
 */
int64_t ch_freshness_get_age(const struct ch_freshness *freshness,
                             int64_t now);
/* Notes whether the age exceeds the bound; true if that has changed. A copy
 * that was never confirmed is not late. */
bool ch_freshness_update_late(struct ch_freshness *freshness, int64_t now);

/*
 * The time up to which the result of a watch confirms a copy. A watch without
 * changes was answered when its wait had passed, one with changes at any time
 * after it was sent.
 */
int64_t ch_freshness_get_watch_time(int64_t sent_at, int64_t wait,
                                    bool has_changes, int64_t now);

#endif
