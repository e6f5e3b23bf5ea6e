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
pause_home(struct harness_scenario_state *scene, const char *upstream)
{
    char *home = harness_get_home(&scene->fleet->nodes[0], upstream);
    scene->faulty_node = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->faulty_node);
    harness_node_signal(scene->faulty_node, SIGSTOP);
    g_free(home);
}

static void
pause_engine_home(struct harness_scenario_state *scene)
{
    pause_home(scene, "w01");
}

/* Pauses the home node of a plain service, in whose queue orders wait. */
static void
pause_service_home(struct harness_scenario_state *scene)
{
    pause_home(scene, "o01");
}

static void
resume_victim(struct harness_scenario_state *scene)
{
    harness_node_signal(scene->faulty_node, SIGCONT);
}

/* Resumes the node for 300 ms, in which it becomes home node again, and pauses
 * it once more, so that it loses that role again. */
static void
resume_pause_resume(struct harness_scenario_state *scene)
{
    resume_victim(scene);
    harness_sleep_ms(300);
    harness_node_signal(scene->faulty_node, SIGSTOP);
    harness_sleep_ms(1200);
    resume_victim(scene);
}

#define PAUSE_COST                                                            \
    {                                                                         \
        1000, 4500, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0,                  \
            HARNESS_UNBOUNDED, 0, 70, 95                                      \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "home-of-engine",
     .fleet_config = {.node_count = 4, .engine_count = 2, .service_count = 2},
     .before_ms = 1000,
     .fault_ms = 3000,
     .after_ms = 1500,
     .begin_fault = pause_engine_home,
     .end_fault = resume_victim,
     .limits = PAUSE_COST},
    {.name = "home-of-service",
     .fleet_config = {.node_count = 4, .engine_count = 2, .service_count = 2},
     .before_ms = 1000,
     .fault_ms = 3000,
     .after_ms = 1500,
     .begin_fault = pause_service_home,
     .end_fault = resume_victim,
     .limits = PAUSE_COST},
    {.name = "home-twice",
     .fleet_config = {.node_count = 4, .engine_count = 2, .service_count = 2},
     .before_ms = 1000,
     .fault_ms = 1500,
     .after_ms = 1500,
     .begin_fault = pause_engine_home,
     .end_fault = resume_pause_resume,
     .limits = PAUSE_COST},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "pause", scenarios,
                        G_N_ELEMENTS(scenarios));
}
