#ifndef CH_DECIDE_TURN_H
#define CH_DECIDE_TURN_H

/*
 * When one of many nodes that take turns is to act, without any of them asking
 * another.  No sockets, no clock, no threads.
 */

#include "base/base.h"

struct ch_turn {
    int64_t at;    /* the next turn; 0: none was drawn yet */
    int64_t round; /* of which it was drawn */
};

/*
 * Whether the node acts now.  round: microseconds in which each node has one
 * turn, by the nodes that are known now; random: from 0 up to 1, fresh for
 * each call; now: microseconds, above 0.
 */
bool ch_turn_due(struct ch_turn *turn, int64_t round, double random,
                 int64_t now);

#endif
