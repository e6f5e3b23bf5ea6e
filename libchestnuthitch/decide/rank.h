#ifndef CH_DECIDE_RANK_H
#define CH_DECIDE_RANK_H

/*
 * Which of many nodes take a duty that a few do for all others, in an order
 * that each finds by itself from the list.  No sockets, no clock, no threads.
 */

#include "base/base.h"

struct ch_rank_node {
    uint64_t hash;     /* of its name */
    uint32_t capacity; /* what its host can do, in any unit; 0: not told */
};

/* The place of nodes[self] for the duty of that key, 0 for the first. */
size_t ch_rank_of(const struct ch_rank_node *nodes, size_t count, size_t self,
                  uint64_t key);

#endif
