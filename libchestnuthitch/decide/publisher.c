/* Which lease holder publishes engine state to which nodes. */

#include "decide/publisher.h"

/* The rendezvous weight of a lease's holder for a data centre. */
static uint64_t
weight_of(const struct ch_publisher_lease *lease, GQuark data_centre)
{
    return ch_hash_pair(ch_hash_string(g_quark_to_string(data_centre)),
                        ch_hash_string(g_quark_to_string(lease->holder)));
}

/* Whether the holder of lease a is preferred to that of lease b: a holder of
 * the data centre's own region first, then the higher weight. */
static bool
is_preferred(const struct ch_publisher_lease *a,
             const struct ch_publisher_lease *b, GQuark data_centre,
             GQuark region)
{
    bool same_region_a = region != 0 && a->region == region;
    bool same_region_b = region != 0 && b->region == region;
    if (same_region_a != same_region_b) {
        return same_region_a;
    }
    return weight_of(a, data_centre) > weight_of(b, data_centre);
}

/*
 * See publisher.h.  For hundreds of nodes that each need the state of hundreds
 * of engines, over links that a few nodes share.  If every lease holder sent
 * to every node, the traffic would exceed the link of a small host and delay
 * its callers and the configuration.  So each node gets the state of all
 * engines from the lease holder of its own data centre alone, and lease
 * holders exchange it among themselves.
 *
 * While a data centre has no lease holder, another lease holder of the same
 * region publishes to its nodes, or one of another region if there is none.
 */
GQuark
ch_publisher_choose(const struct ch_publisher_lease *leases, size_t count,
                    GQuark data_centre, GQuark region)
{
    const struct ch_publisher_lease *best = NULL;
    for (size_t i = 0; i < count; i++) {
        if (leases[i].data_centre == data_centre) {
            return leases[i].holder;
        }
        if (best == NULL ||
            is_preferred(&leases[i], best, data_centre, region)) {
            best = &leases[i];
        }
    }
    return best == NULL ? 0 : best->holder;
}
