/*
 * The death of a node.  What the caller sees: a request whose connection the
 * dead node held breaks off; any other is answered as ever.  Order: SIGKILL
 * while streams, whole answers and orders run through all seven nodes; later
 * the node starts anew.  Why: a home holds only the queue of an upstream, and
 * each entry node asks another home when that one is gone.
 */

#include "harness/harness.h"

#include <signal.h>

#define SEVEN                                                                 \
    {                                                                         \
        .nodes = 7, .engines = 2, .services = 2                               \
    }

/* A node that holds callers' connections, whatever it is home of. */
static void
kill_entry(struct harness_scene *scene)
{
    scene->victim = &scene->fleet->nodes[3];
    harness_node_kill(scene->victim, SIGKILL);
}

/* The home of the first engine. */
static void
kill_home(struct harness_scene *scene)
{
    char *home = harness_home(&scene->fleet->nodes[0], "w01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGKILL);
    g_free(home);
}

/* The home of the first plain service. */
static void
kill_service_home(struct harness_scene *scene)
{
    char *home = harness_home(&scene->fleet->nodes[0], "o01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGKILL);
    g_free(home);
}

/* The same host is back, knowing nothing. */
static void
start_again(struct harness_scene *scene)
{
    harness_node_start(scene->fleet, scene->victim);
    g_assert_true(harness_node_wait(scene->victim, true, HARNESS_READY_MS));
}

static const struct harness_scenario scenarios[] = {
    {.name = "entry",
     .shape = SEVEN,
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1000,
     .begin = kill_entry,
     .end = start_again,
     .cost = {500, 1500, 0, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 95,
              100}},
    {.name = "home-of-engine",
     .shape = SEVEN,
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1000,
     .begin = kill_home,
     .end = start_again,
     .cost = {1000, 1500, 0, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 95,
              100}},
    {.name = "home-of-service",
     .shape = SEVEN,
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1000,
     .begin = kill_service_home,
     .end = start_again,
     .cost = {1000, 1500, 0, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 95,
              100}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "kill", scenarios,
                        G_N_ELEMENTS(scenarios));
}
