/*
 * Guards against the death of a node.  A request whose connection the dead
 * node held is interrupted; any other is answered as usual.  SIGKILL comes
 * while streams, whole responses and orders run through all seven nodes; later
 * the node restarts.  A home node holds only the queue of an upstream, and
 * each entry node asks another home node when the first is gone.
 */

#include "harness/harness.h"

#include <signal.h>

#define SEVEN_NODES                                                           \
    {                                                                         \
        .node_count = 7, .engine_count = 2, .service_count = 2                \
    }

/* Kills a node that holds callers' connections, whichever upstreams it is the
 * home node of. */
static void
kill_entry(struct harness_scenario_state *scene)
{
    scene->faulty_node = &scene->fleet->nodes[3];
    harness_node_signal(scene->faulty_node, SIGKILL);
}

/* Kills the home node of the first engine. */
static void
kill_home(struct harness_scenario_state *scene)
{
    char *home = harness_get_home(&scene->fleet->nodes[0], "w01");
    scene->faulty_node = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->faulty_node);
    harness_node_signal(scene->faulty_node, SIGKILL);
    g_free(home);
}

/* Kills the home node of the first plain service. */
static void
kill_service_home(struct harness_scenario_state *scene)
{
    char *home = harness_get_home(&scene->fleet->nodes[0], "o01");
    scene->faulty_node = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->faulty_node);
    harness_node_signal(scene->faulty_node, SIGKILL);
    g_free(home);
}

/* Restarts the killed node, which has no state. */
static void
restart_victim(struct harness_scenario_state *scene)
{
    harness_node_start(scene->fleet, scene->faulty_node);
    g_assert_true(harness_node_wait_ready(scene->faulty_node, true,
                                          HARNESS_READY_TIMEOUT_MS));
}

static const struct harness_scenario scenarios[] = {
    {.name = "entry",
     .fleet_config = SEVEN_NODES,
     .before_ms = 1000,
     .fault_ms = 1500,
     .after_ms = 1000,
     .begin_fault = kill_entry,
     .end_fault = restart_victim,
     .limits = {500, 1500, 0, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,
                HARNESS_UNBOUNDED, 0, 95, 100}},
    {.name = "home-of-engine",
     .fleet_config = SEVEN_NODES,
     .before_ms = 1000,
     .fault_ms = 1500,
     .after_ms = 1000,
     .begin_fault = kill_home,
     .end_fault = restart_victim,
     .limits = {1000, 1500, 0, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,
                HARNESS_UNBOUNDED, 0, 95, 100}},
    {.name = "home-of-service",
     .fleet_config = SEVEN_NODES,
     .before_ms = 1000,
     .fault_ms = 1500,
     .after_ms = 1000,
     .begin_fault = kill_service_home,
     .end_fault = restart_victim,
     .limits = {1000, 1500, 0, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,
                HARNESS_UNBOUNDED, 0, 95, 100}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "kill", scenarios,
                        G_N_ELEMENTS(scenarios));
}
