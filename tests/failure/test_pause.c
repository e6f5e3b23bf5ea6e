/*
 * Guards against a node that is paused for longer than every timeout and
 * resumes with stale state.  Responses that the paused node held come late,
 * all others within a second.  The home node of an upstream gets SIGSTOP under
 * load, another node takes over its upstreams, then it gets SIGCONT.  What the
 * resumed node still tries to do is limited by the compare-and-swap of the
 * ledger and of the at-most-once record, not by a lease.
 */

#include "harness/harness.h"

#include <signal.h>

/* Pauses the home node of an upstream. */
static void
pause_home(struct harness_scene *scene, const char *upstream)
{
    char *home = harness_home(&scene->fleet->nodes[0], upstream);
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGSTOP);
    g_free(home);
}

static void
pause_engine_home(struct harness_scene *scene)
{
    pause_home(scene, "w01");
}

/* Pauses the home node of a plain service, in whose queue orders wait. */
static void
pause_service_home(struct harness_scene *scene)
{
    pause_home(scene, "o01");
}

static void
resume_victim(struct harness_scene *scene)
{
    harness_node_kill(scene->victim, SIGCONT);
}

/* Resumes the node for 300 ms, in which it becomes home node again, and pauses
 * it once more, so that it loses that role again. */
static void
resume_pause_resume(struct harness_scene *scene)
{
    resume_victim(scene);
    harness_sleep(300);
    harness_node_kill(scene->victim, SIGSTOP);
    harness_sleep(1200);
    resume_victim(scene);
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
     .end = resume_victim,
     .cost = PAUSE_COST},
    {.name = "home-of-service",
     .shape = {.nodes = 4, .engines = 2, .services = 2},
     .before_ms = 1000,
     .during_ms = 3000,
     .after_ms = 1500,
     .begin = pause_service_home,
     .end = resume_victim,
     .cost = PAUSE_COST},
    {.name = "home-twice",
     .shape = {.nodes = 4, .engines = 2, .services = 2},
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1500,
     .begin = pause_engine_home,
     .end = resume_pause_resume,
     .cost = PAUSE_COST},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "pause", scenarios,
                        G_N_ELEMENTS(scenarios));
}
