#ifndef CH_DECIDE_PUBLISHER_H
#define CH_DECIDE_PUBLISHER_H

/*
 * Which lease holder publishes the state of engines (the models that they hold
 * and the requests that they run) to the nodes of a data centre, and collects
 * the demand of these nodes.  A pure function of the known leases, so that
 * every node and every lease holder finds the same publisher without asking.
 * No sockets, no clock, no threads.
 */

#include "base/base.h"

/* A lease whose holder was heard from recently. */
struct ch_publisher_lease {
    GQuark data_centre; /* whose engines the holder controls */
    GQuark holder;
    GQuark region; /* of the data centre; 0: unknown */
};

/* The lease holder that publishes to the nodes of a data centre; 0: none is
 * known.  region: of that data centre; 0: unknown. */
GQuark ch_publisher_choose(const struct ch_publisher_lease *leases,
                           size_t count, GQuark data_centre, GQuark region);

/* Time between two messages with the full status to one audience; period: as
 * suits some hundred engines. */
int64_t ch_publisher_get_full_period(int64_t period, size_t engine_count);
/* Time between two reports that a lease holder fetches from an idle engine;
 * period: as suits a hundred engines. */
int64_t ch_publisher_get_report_period(int64_t period, size_t engine_count);

#endif
