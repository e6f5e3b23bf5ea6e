/*
 * Guards against open connections that stall for good while new ones work.  An
 * idempotent call takes under two seconds more and does not fail; an order
 * whose response was lost is reported with an unknown outcome and never runs
 * again.  A device between the two ends loses the state of all open
 * connections, under load.  Each phase of a call has a timeout, and a retry
 * uses a new connection.
 */

#include "harness/harness.h"

/* Stalls every open connection at the upstreams. */
static void
stall_upstreams(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        g_free(harness_call_control(&scene->fleet->upstreams[i].standin,
                                    "silent", NULL));
    }
}

/* Stalls the next two calls at each engine before they run. */
static void
stall_calls(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->upstreams[0].standin, "silent_next=2");
    harness_set_faults(&scene->fleet->upstreams[1].standin, "silent_next=2");
}

/* Stalls the next two streams at each engine half-way. */
static void
stall_streams(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->upstreams[0].standin, "silent_stream=2");
    harness_set_faults(&scene->fleet->upstreams[1].standin, "silent_stream=2");
}

/* Stalls the next two calls at each service after they ran. */
static void
stall_orders(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->upstreams[2].standin, "silent_after=2");
    harness_set_faults(&scene->fleet->upstreams[3].standin, "silent_after=2");
}

/* Stalls every connection between nodes. */
static void
stall_peers(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < scene->fleet->node_count; i++) {
        g_free(harness_call_control(&scene->fleet->nodes[i].relay, "silence",
                                    NULL));
    }
}

/* Stalls twice: the second stall affects the connections that replaced those
 * of the first. */
static void
stall_peers_twice(struct harness_scenario_state *scene)
{
    stall_peers(scene);
    harness_sleep_ms(900);
    stall_peers(scene);
}

/* Checks that every idempotent call ended within 2400 ms: under two seconds
 * more than a call needs without a fault. */
static void
check_slowest(struct harness_scenario_state *scene)
{
    int64_t slowest_ms = 0;
    for (guint i = 0; i < scene->responses->len; i++) {
        const struct harness_response *answer =
            g_ptr_array_index(scene->responses, i);
        if (answer->key == NULL) {
            slowest_ms =
                MAX(slowest_ms, answer->ended_at_ms - answer->sent_at_ms);
        }
    }
    g_print("figure: %s: slowest idempotent call %" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, slowest_ms);
    g_assert_cmpint(slowest_ms, <=, 2400);
}

#define SHAPE                                                                 \
    {                                                                         \
        .node_count = 3, .engine_count = 2, .service_count = 2                \
    }
#define STALL_COST                                                            \
    {                                                                         \
        1900, 2500, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0,               \
            HARNESS_UNBOUNDED, 60, 95                                         \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "upstreams",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2500,
     .after_ms = 1500,
     .begin_fault = stall_upstreams,
     .check = check_slowest,
     .limits = STALL_COST},
    {.name = "engine-calls",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2500,
     .after_ms = 1500,
     .begin_fault = stall_calls,
     .check = check_slowest,
     .limits = STALL_COST},
    {.name = "streams-half-way",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2500,
     .after_ms = 1500,
     .begin_fault = stall_streams,
     .check = check_slowest,
     .limits = STALL_COST},
    {.name = "orders-after-they-ran",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2500,
     .after_ms = 1500,
     .begin_fault = stall_orders,
     .check = check_slowest,
     .limits = STALL_COST},
    {.name = "between-nodes",
     .fleet_config = {.node_count = 3,
                      .engine_count = 2,
                      .service_count = 2,
                      .use_relays = true},
     .before_ms = 1000,
     .fault_ms = 1500,
     .after_ms = 1500,
     .begin_fault = stall_peers,
     .check = check_slowest,
     .limits = STALL_COST},
    {.name = "between-nodes-twice",
     .fleet_config = {.node_count = 3,
                      .engine_count = 2,
                      .service_count = 2,
                      .use_relays = true},
     .before_ms = 1000,
     .fault_ms = 1500,
     .after_ms = 1500,
     .begin_fault = stall_peers_twice,
     .check = check_slowest,
     .limits = {1900, 3500, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0,
                HARNESS_UNBOUNDED, 60, 95}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "silent", scenarios,
                        G_N_ELEMENTS(scenarios));
}
