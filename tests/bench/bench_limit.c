/*
 * Three ways to keep a limit that an upstream sets on all nodes together, in
 * virtual time: one node that counts and is asked before each call, an equal
 * share for each node, and credit that is moved between nodes as for quotas.
 * Prints the most calls in 4 s, the share of the limit that was used, and the
 * messages between nodes.
 */

#include "unit/limit_fleet.h"

#include <stdio.h>

enum {
    RUN_S = 40,
};

static void
run_case(enum fleet_way way, double per_s, unsigned nodes)
{
    static const char *const names[FLEET_WAYS] = {
        [FLEET_COUNTER] = "counter",
        [FLEET_SHARES] = "shares",
        [FLEET_POOLS] = "pools",
    };
    struct fleet *fleet = fleet_new(way, nodes, per_s, 1);
    int64_t start = fleet->now;
    fleet_hear(fleet, 0);
    fleet->messages = 0;
    fleet_run(fleet, (int64_t)RUN_S * G_USEC_PER_SEC, 4 * per_s + 2);
    unsigned most = fleet_find_most(fleet, start + FLEET_WINDOW_US, false);
    printf("figure: %-7s limit %4.1f nodes %3u: most %3u of %5.1f%s, used "
           "%3.0f in 100, %6.1f messages/s\n",
           names[way], per_s, nodes, most, fleet_get_bound(fleet),
           most > fleet_get_bound(fleet) ? " BROKEN" : "",
           100.0 * fleet->call_count / (per_s * RUN_S),
           (double)fleet->messages / RUN_S);
    fleet_free(fleet);
}

int
main(void)
{
    static const double limits[] = {0.5, 1.1, 2, 40};
    static const unsigned sizes[] = {1, 7, 75, 300};
    for (int way = 0; way < FLEET_WAYS; way++) {
        for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
            for (size_t j = 0; j < G_N_ELEMENTS(sizes); j++) {
                run_case((enum fleet_way)way, limits[i], sizes[j]);
            }
        }
    }
    return 0;
}
