/*
 * Guards against calls lost in a planned stop or replacement of nodes.  The
 * caller sees nothing, even if every node is replaced in turn and the
 * key-value store is unavailable.  After SIGTERM the load balancer sees
 * /readyz change, the listener closes, accepted requests are answered and the
 * node exits with 0; a new process replaces it.  Only a node that is not ready
 * gets no new calls, and a new node is ready only with a configuration, which
 * it may get from a peer.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_call_kind kinds[] = {
    {"advice", "m01", NULL, 200, true, false, 2000},
    {"lookup", "m02", NULL, 10, false, false, 3000},
    {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

/* Stops a node gracefully and restarts it; with signal_twice, a second SIGTERM
 * follows 100 ms after the first. */
static void
replace_node(struct harness_scenario_state *scene, struct harness_node *node,
             bool signal_twice)
{
    int64_t started_at = harness_now_ms();
    harness_node_signal(node, SIGTERM);
    if (signal_twice) {
        harness_sleep_ms(100);
        harness_node_signal(node, SIGTERM);
    }
    int status = harness_wait_exit(node->pid, 15000);
    g_print("figure: %s: %s stopped with status %d after %" G_GINT64_FORMAT
            " ms\n",
            scene->scenario->name, node->name, status,
            harness_now_ms() - started_at);
    g_assert_cmpint(status, ==, 0);
    started_at = harness_now_ms();
    harness_node_start(scene->fleet, node);
    g_assert_true(
        harness_node_wait_ready(node, true, HARNESS_READY_TIMEOUT_MS));
    g_print("figure: %s: %s ready again after %" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, node->name, harness_now_ms() - started_at);
}

static void
replace_each_node(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < scene->fleet->node_count; i++) {
        replace_node(scene, &scene->fleet->nodes[i], false);
    }
}

/* A second SIGTERM must not interrupt the graceful stop. */
static void
replace_node_signalled_twice(struct harness_scenario_state *scene)
{
    replace_node(scene, &scene->fleet->nodes[1], true);
}

/* Replaces every node in turn while the key-value store is down. */
static void
replace_each_node_kv_down(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "down=1");
    replace_each_node(scene);
    harness_set_faults(&scene->fleet->kv, "down=0");
}

#define SHAPE                                                                 \
    {                                                                         \
        .node_count = 3, .engine_count = 2, .service_count = 2                \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "each-in-turn",
     .fleet_config = SHAPE,
     .kinds = kinds,
     .kind_count = G_N_ELEMENTS(kinds),
     .before_ms = 500,
     .fault_ms = 100,
     .after_ms = 700,
     .begin_fault = replace_each_node,
     .limits = {700, HARNESS_UNBOUNDED, 0, 0, 0, 0, HARNESS_UNBOUNDED, 95,
                95}},
    {.name = "told-twice",
     .fleet_config = SHAPE,
     .kinds = kinds,
     .kind_count = G_N_ELEMENTS(kinds),
     .before_ms = 500,
     .fault_ms = 100,
     .after_ms = 500,
     .begin_fault = replace_node_signalled_twice,
     .limits = {700, HARNESS_UNBOUNDED, 0, 0, 0, 0, HARNESS_UNBOUNDED, 95,
                95}},
    {.name = "each-in-turn-kv-down",
     .fleet_config = SHAPE,
     .kinds = kinds,
     .kind_count = G_N_ELEMENTS(kinds),
     .before_ms = 500,
     .fault_ms = 100,
     .after_ms = 1500,
     .begin_fault = replace_each_node_kv_down,
     .limits = {700, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,
                0, 0, HARNESS_UNBOUNDED, 98, 98}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "stop", scenarios,
                        G_N_ELEMENTS(scenarios));
}
