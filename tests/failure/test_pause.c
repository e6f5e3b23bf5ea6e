/*
 * A node that is paused past every time-out, and wakes up believing that
 * nothing happened.  What the caller sees: answers that the paused node held
 * come late, all others within a second.  Order: SIGSTOP of a home under load,
 * another node takes its upstreams over, SIGCONT.  Why: what it still wants to
 * do is bound by the ledger's and the once record's compare-and-swap, and not
 * by a lease.
 */

#include "harness/harness.h"

#include <signal.h>

/* Stops the home of an upstream. */
static void
pause_home(struct harness_scene *scene, const char *upstream)
{
    char *home = harness_home(&scene->fleet->nodes[0], upstream);
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGSTOP);
    g_free(home);
}

/* The home of an engine. */
static void
pause_engine_home(struct harness_scene *scene)
{
    pause_home(scene, "w01");
}

/* The home of a plain service: orders wait in its queue. */
static void
pause_service_home(struct harness_scene *scene)
{
    pause_home(scene, "o01");
}

/* It goes on where it was. */
static void
wake(struct harness_scene *scene)
{
    harness_node_kill(scene->victim, SIGCONT);
}

/* Two pauses, so that what woke up is home again and then is not. */
static void
wake_pause_wake(struct harness_scene *scene)
{
    wake(scene);
    harness_sleep(300);
    harness_node_kill(scene->victim, SIGSTOP);
    harness_sleep(1200);
    wake(scene);
}

#define PAUSE_COST                                                            \
    {                                                                         \
        1000, 4500, HARNESS_ANY, HARNESS_ANY, 0, HARNESS_ANY, 0, 70, 95       \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "home-of-engine",
     .shape = {.nodes = 4, .engines = 2, .services = 2},
     .before_ms = 1000,
     .during_ms = 3000,
     .after_ms = 1500,
     .begin = pause_engine_home,
     .end = wake,
     .cost = PAUSE_COST},
    {.name = "home-of-service",
     .shape = {.nodes = 4, .engines = 2, .services = 2},
     .before_ms = 1000,
     .during_ms = 3000,
     .after_ms = 1500,
     .begin = pause_service_home,
     .end = wake,
     .cost = PAUSE_COST},
    {.name = "home-twice",
     .shape = {.nodes = 4, .engines = 2, .services = 2},
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1500,
     .begin = pause_engine_home,
     .end = wake_pause_wake,
     .cost = PAUSE_COST},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "pause", scenarios,
                        G_N_ELEMENTS(scenarios));
}
