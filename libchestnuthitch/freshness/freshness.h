#ifndef CH_FRESHNESS_H
#define CH_FRESHNESS_H

/*
 * How old a node's copy of a list in the key-value store is, and which nodes
 * read the list there and send it to all others. Times are microseconds of one
 * node's clock. No sockets, no clock, no threads.
 *
 * Each node must know a change within a bound. Its parts, for 3 s:
 *
 *   1.0 s  between two reads of one reader
 *   0.4 s  for the call to the store and the message, until other nodes find
 *          that the readers are silent
 *   0.7 s  until all nodes that rank behind them have begun to read, of 320
 *   0.9 s  for their calls and messages, and for the requests under way
 */

#include "base/base.h"

enum {
    /* Nodes that read as long as all is well. With three, one remains if one
     * is lost and one paused. */
    CH_FRESHNESS_READERS = 3,
};

struct ch_freshness {
    int64_t bound; /* within which each node must know a change */
    int64_t begun_at;
    int64_t confirmed_at; /* the copy has all changes up to then; 0: never */
    int64_t own_confirmed_at;       /* the same, by this node's own calls */
    int64_t preceding_confirmed_at; /* the same, as readers that rank before
                                       this node tell */
    int64_t updated_at;             /* last ch_freshness_update() */
    int64_t distrusted_until;       /* messages may have waited here */
    bool is_substitute; /* reads although CH_FRESHNESS_READERS nodes rank
                           before it */
    bool is_late;       /* at the last call of ch_freshness_update_late() */
};

/* A copy that was never confirmed; bound above 0. */
void ch_freshness_init(struct ch_freshness *freshness, int64_t bound,
                       int64_t now);
/* Records that a call of this node has returned all changes that the store had
 * acknowledged at `at`. */
void ch_freshness_confirm(struct ch_freshness *freshness, int64_t at);
/* Records a message of another node, whose copy had this age when it was sent.
 * is_preceding: a reader that ranks before this node. */
void ch_freshness_receive(struct ch_freshness *freshness, int64_t age,
                          bool is_preceding, int64_t now);
/* Whether this node, of this rank among the nodes that it hears, reads the
 * list. To be called several times in the time between two reads. */
bool ch_freshness_update(struct ch_freshness *freshness, size_t rank,
                         int64_t now);
/* Whether a reader may be relied on to reach the store: one that ranks first,
 * or one that reads in place of others and whose calls succeed. */
bool ch_freshness_reaches_store(const struct ch_freshness *freshness,
                                int64_t now);
/* Time since the copy was last known to be current; G_MAXINT64: it never was.
 */
int64_t ch_freshness_get_age(const struct ch_freshness *freshness,
                             int64_t now);
/* Notes whether the age exceeds the bound; true if that has changed. A copy
 * that was never confirmed is not late. */
bool ch_freshness_update_late(struct ch_freshness *freshness, int64_t now);

/* How long a reader's next watch waits for changes; random: in [0, 1), keeps
 * readers out of step. */
int64_t ch_freshness_get_wait(const struct ch_freshness *freshness,
                              double random, int64_t now);
/* How long a reader waits before its next watch to receive several changes at
 * once. */
int64_t ch_freshness_get_batch_delay(const struct ch_freshness *freshness);
/*
 * The time up to which the result of a watch confirms a copy. A watch without
 * changes was answered when its wait had passed, one with changes at any time
 * after it was sent.
 */
int64_t ch_freshness_get_watch_time(int64_t sent_at, int64_t wait,
                                    bool has_changes, int64_t now);

#endif
