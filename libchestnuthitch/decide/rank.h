#ifndef CH_DECIDE_RANK_H
#define CH_DECIDE_RANK_H

/*
 * Which of many nodes take a role that a few play for all others.  Each node
 * computes the order by itself from the list of nodes.  No sockets, no clock,
 * no threads.
 */

#include "base/base.h"

struct ch_rank_node {
    uint64_t hash;     /* of the node's name */
    uint32_t capacity; /* of its host, in any unit; 0: unknown */
};

/* The index of the node that ranks first for the role; count must not be 0. */
size_t ch_rank_find_first(const struct ch_rank_node *nodes, size_t count,
                          uint64_t key);
/* The indices of the nodes that rank first for the role, in order; returns
 * their number, at most max. */
size_t ch_rank_find_top(const struct ch_rank_node *nodes, size_t count,
                        uint64_t key, size_t *top, size_t max);
/* The rank of nodes[self] for the role with the given key; 0 is the first. */
size_t ch_rank_for_role(const struct ch_rank_node *nodes, size_t count,
                        size_t self, uint64_t key);

#endif
