/*
 * Guards against work sent to an upstream that is draining.  The caller sees
 * nothing: what runs there ends there, what comes later runs elsewhere.  While
 * long streams run, the host list or the engine's own report says that it
 * drains; five seconds later it must get no new request.  The host list and
 * the engine's report each stop new grants at once, and the other engine loads
 * the models that only the draining one had.
 */

#include "harness/harness.h"

static const struct harness_call_kind kinds[] = {
    {"advice", "m01", NULL, 200, true, false, 2000},
    {"lookup", "m02", NULL, 20, false, false, 3000},
    {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

/* Only the host list reports the draining, 500 ms late. */
static void
drain_by_host_list(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->host_list, "lag_ms=500");
    scene->fleet->upstreams[0].draining_since_ms = harness_now_ms();
    harness_fleet_publish_hosts(scene->fleet);
}

/* Only the engine's own report says that it is draining. */
static void
drain_by_report(struct harness_scenario_state *scene)
{
    scene->fleet->upstreams[0].draining_since_ms = harness_now_ms();
    harness_set_faults(&scene->fleet->upstreams[0].standin, "leaving=1");
}

/* The engine's report says that it is draining while the host list is
 * unavailable. */
static void
drain_without_host_list(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->host_list, "down=1");
    drain_by_report(scene);
}

/* The host list reports that a plain service is draining. */
static void
drain_service(struct harness_scenario_state *scene)
{
    scene->fleet->upstreams[2].draining_since_ms = harness_now_ms();
    harness_fleet_publish_hosts(scene->fleet);
}

#define ROW(row_name, row_begin)                                              \
    {                                                                         \
        .name = (row_name),                                                   \
        .fleet_config = {.node_count = 3,                                     \
                         .engine_count = 2,                                   \
                         .service_count = 2},                                 \
        .kinds = kinds, .kind_count = G_N_ELEMENTS(kinds), .caller_count = 9, \
        .before_ms = 1000, .fault_ms = 6000, .begin_fault = (row_begin),      \
        .limits = {                                                           \
            1500,                                                             \
            3000,                                                             \
            0,                                                                \
            0,                                                                \
            0,                                                                \
            0,                                                                \
            HARNESS_UNBOUNDED,                                                \
            90,                                                               \
            HARNESS_UNBOUNDED                                                 \
        }                                                                     \
    }

static const struct harness_scenario scenarios[] = {
    ROW("engine-by-list", drain_by_host_list),
    ROW("engine-by-report", drain_by_report),
    ROW("engine-list-away", drain_without_host_list),
    ROW("service-by-list", drain_service),
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "leaving", scenarios,
                        G_N_ELEMENTS(scenarios));
}
