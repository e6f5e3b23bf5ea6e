/* Which lease holder publishes engine state to which nodes. */

#include "decide/publisher.h"

enum {
    MAX_ENGINES_AT_FULL_PERIOD = 300,
    MAX_ENGINES_AT_REPORT_PERIOD = 100,
};

/* A period that grows with the engines beyond the number that it suits. */
static int64_t
scale_period(int64_t period, size_t engine_count, size_t suited_count)
{
    return period * (int64_t)MAX(engine_count, suited_count) /
           (int64_t)suited_count;
}

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

/*
 * Load: thousands of engines, whose full status is some hundred kilobytes, to
 * a hundred nodes. Harm prevented: the lease holder does little else than send
 * it, and its callers, its configuration and its own orders wait. Changes are
 * sent when they occur, and a node that missed a message asks for the full
 * status, so the regular one may be rare.
 */
int64_t
ch_publisher_get_full_period(int64_t period, size_t engine_count)
{
    return scale_period(period, engine_count, MAX_ENGINES_AT_FULL_PERIOD);
}

/*
 * Load: a lease holder with a thousand engines. Harm prevented: it spends most
 * of its processor time on the reports of engines that nobody uses.
 */
int64_t
ch_publisher_get_report_period(int64_t period, size_t engine_count)
{
    return scale_period(period, engine_count, MAX_ENGINES_AT_REPORT_PERIOD);
}
