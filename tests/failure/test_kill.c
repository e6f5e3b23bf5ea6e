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
        .nodes = 7, .engines = 2, .services = 2                               \
    }

/* Kills a node that holds callers' connections, whichever upstreams it is the
 * home node of. */
static void
kill_entry(struct harness_scene *scene)
{
    scene->victim = &scene->fleet->nodes[3];
    harness_node_kill(scene->victim, SIGKILL);
}

/* Kills the home node of the first engine. */
static void
kill_home(struct harness_scene *scene)
{
    char *home = harness_home(&scene->fleet->nodes[0], "w01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGKILL);
    g_free(home);
}

/* Kills the home node of the first plain service. */
static void
kill_service_home(struct harness_scene *scene)
{
    char *home = harness_home(&scene->fleet->nodes[0], "o01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGKILL);
    g_free(home);
}

/* Restarts the killed node, which has no state. */
static void
restart_victim(struct harness_scene *scene)
{
    harness_node_start(scene->fleet, scene->victim);
    g_assert_true(harness_node_wait(scene->victim, true, HARNESS_READY_MS));
}

static const struct harness_scenario scenarios[] = {
    {.name = "entry",
     .shape = SEVEN_NODES,
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1000,
     .begin = kill_entry,
     .end = restart_victim,
     .cost = {500, 1500, 0, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 95,
              100}},
    {.name = "home-of-engine",
     .shape = SEVEN_NODES,
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1000,
     .begin = kill_home,
     .end = restart_victim,
     .cost = {1000, 1500, 0, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 95,
              100}},
    {.name = "home-of-service",
     .shape = SEVEN_NODES,
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1000,
     .begin = kill_service_home,
     .end = restart_victim,
     .cost = {1000, 1500, 0, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 95,
              100}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "kill", scenarios,
                        G_N_ELEMENTS(scenarios));
}
