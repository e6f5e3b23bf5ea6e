/* Which holder tells which nodes. */

#include "decide/tell.h"

/* The weight of a right's holder for a data centre. */
static uint64_t
weight_of(const struct ch_tell_right *right, GQuark data_centre)
{
    return ch_hash_pair(ch_hash_string(g_quark_to_string(data_centre)),
                        ch_hash_string(g_quark_to_string(right->holder)));
}

/* Whether the first is to tell rather than the second. */
static bool
is_better(const struct ch_tell_right *a, const struct ch_tell_right *b,
          GQuark data_centre, GQuark region)
{
    bool near_a = region != 0 && a->region == region;
    bool near_b = region != 0 && b->region == region;
    if (near_a != near_b) {
        return near_a;
    }
    return weight_of(a, data_centre) > weight_of(b, data_centre);
}

/*
 * See tell.h.  Load: some hundred nodes that each need to know some hundred
 * engines, on links that a few of them share.  Harm prevented: every holder
 * sends to every node, which takes more than the link of a small host carries,
 * and holds up its callers and the configuration.  So each node is told by the
 * holder of its own data centre alone, of all engines, and holders tell one
 * another.  Where a data centre has no holder, another one of its region
 * tells its nodes until it has, and one of another region where there is none.
 */
GQuark
ch_tell_teller(const struct ch_tell_right *rights, size_t count,
               GQuark data_centre, GQuark region)
{
    const struct ch_tell_right *best = NULL;
    for (size_t i = 0; i < count; i++) {
        if (rights[i].data_centre == data_centre) {
            return rights[i].holder;
        }
        if (best == NULL || is_better(&rights[i], best, data_centre, region)) {
            best = &rights[i];
        }
    }
    return best == NULL ? 0 : best->holder;
}
