/* Which nodes take a role. */

#include "decide/rank.h"

/* Whether a host has at least half the capacity of the largest host. */
static bool
is_large(const struct ch_rank_node *node, uint32_t max_capacity)
{
    return node->capacity >= max_capacity / 2;
}

static uint32_t
get_max_capacity(const struct ch_rank_node *nodes, size_t count)
{
    uint32_t max_capacity = 0;
    for (size_t i = 0; i < count; i++) {
        max_capacity = MAX(max_capacity, nodes[i].capacity);
    }
    return max_capacity;
}

/*
 * Whether one node ranks before another. For fleets in which most hosts have a
 * tenth of a core and a slow link, a few have several times that, and a role
 * sends to all other nodes.  On a small host the role would fill the link and
 * delay the requests of callers and all other messages of the node.  So larger
 * hosts come first; among hosts of similar capacity the rendezvous weight
 * decides.
 */
static bool
is_before(const struct ch_rank_node *node, const struct ch_rank_node *other,
          uint32_t max_capacity, uint64_t key)
{
    bool node_is_large = is_large(node, max_capacity);
    return node_is_large != is_large(other, max_capacity)
               ? node_is_large
               : ch_hash_pair(key, node->hash) >
                     ch_hash_pair(key, other->hash);
}

/* See rank.h. */
size_t
ch_rank_for_role(const struct ch_rank_node *nodes, size_t count, size_t self,
                 uint64_t key)
{
    uint32_t max_capacity = get_max_capacity(nodes, count);
    size_t rank = 0;
    for (size_t i = 0; i < count; i++) {
        if (is_before(&nodes[i], &nodes[self], max_capacity, key)) {
            rank++;
        }
    }
    return rank;
}

/* See rank.h. */
size_t
ch_rank_find_first(const struct ch_rank_node *nodes, size_t count,
                   uint64_t key)
{
    uint32_t max_capacity = get_max_capacity(nodes, count);
    size_t first = 0;
    for (size_t i = 1; i < count; i++) {
        if (is_before(&nodes[i], &nodes[first], max_capacity, key)) {
            first = i;
        }
    }
    return first;
}

/* See rank.h. */
size_t
ch_rank_find_top(const struct ch_rank_node *nodes, size_t count, uint64_t key,
                 size_t *top, size_t max)
{
    uint32_t max_capacity = get_max_capacity(nodes, count);
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        size_t place = found;
        while (place > 0 && is_before(&nodes[i], &nodes[top[place - 1]],
                                      max_capacity, key)) {
            place--;
        }
        if (place == max) {
            continue;
        }
        found = MIN(found + 1, max);
        for (size_t j = found - 1; j > place; j--) {
            top[j] = top[j - 1];
        }
        top[place] = i;
    }
    return found;
}
