/* Which nodes take a duty. */

#include "decide/rank.h"

/* Whether a host is among the larger ones, where the largest has `most`. */
static bool
is_large(const struct ch_rank_node *node, uint32_t most)
{
    return node->capacity >= most / 2;
}

/*
 * See rank.h.  Load: most hosts have a tenth of a core and a slow link, a few
 * have several times that, and a duty sends to all others.  Harm prevented: a
 * small host has the duty by chance, its link is full with it, and the
 * requests of its callers and all that it tells come late.  So larger hosts
 * come first, and among those that are alike the rendezvous weight decides.
 */
size_t
ch_rank_of(const struct ch_rank_node *nodes, size_t count, size_t self,
           uint64_t key)
{
    uint32_t most = 0;
    size_t before = 0;
    for (size_t i = 0; i < count; i++) {
        most = MAX(most, nodes[i].capacity);
    }
    bool large = is_large(&nodes[self], most);
    uint64_t weight = ch_hash_pair(key, nodes[self].hash);
    for (size_t i = 0; i < count; i++) {
        bool other = is_large(&nodes[i], most);
        if (i != self &&
            (other != large ? other
                            : ch_hash_pair(key, nodes[i].hash) > weight)) {
            before++;
        }
    }
    return before;
}
