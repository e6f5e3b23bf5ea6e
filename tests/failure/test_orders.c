/*
 * Guards against overcommitted engine memory and models that are never loaded
 * when load and unload orders are lost, late or repeated.  Every model is
 * served, some of them later than their targets.  No model is loaded and three
 * are requested, while orders fail to arrive, an engine restarts, the home
 * node is paused, or the key-value store loses responses; in some cases one
 * model must replace another.  Memory is reserved before an order is sent and
 * freed only on evidence, so it is never overcommitted, and an order is
 * retried under the same ID until it is reported as done.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_call_kind kinds[] = {
    {"advice", "m01", NULL, 10, true, false, 2000},
    {"lookup", "m02", NULL, 5, false, false, 3000},
    {"advice", "m03", NULL, 5, false, false, 2000},
};

/* Applies a setting to both engines. */
static void
set_engines(struct harness_scenario_state *scene, const char *what)
{
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        harness_set_faults(&scene->fleet->upstreams[i].standin, "%s", what);
    }
}

/* The connections of the first orders are closed; the orders are lost. */
static void
drop_orders(struct harness_scenario_state *scene)
{
    set_engines(scene, "drop_orders=2");
}

/* The first order at each engine is accepted, but never carried out. */
static void
lose_orders(struct harness_scenario_state *scene)
{
    set_engines(scene, "lose_orders=1");
}

/* The first orders take effect long after their connection was closed. */
static void
delay_orders(struct harness_scenario_state *scene)
{
    set_engines(scene, "delay_orders=2&delay_ms=1500");
}

/* The first orders arrive a second time, later. */
static void
repeat_orders(struct harness_scenario_state *scene)
{
    set_engines(scene, "repeat_orders=4&delay_ms=900");
}

/* Writes to the ledger take effect, but their responses are lost. */
static void
lose_writes(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "drop_after=4");
}

/* The engines restart with empty memory, while orders may be late. */
static void
restart_engines(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        g_free(harness_call_control(&scene->fleet->upstreams[i].standin,
                                    "boot", NULL));
    }
}

/* Pauses the home node of the first engine while orders are late, so that
 * another node takes over; resumes it after 1500 ms. */
static void
pause_home(struct harness_scenario_state *scene)
{
    char *home = harness_get_home(&scene->fleet->nodes[0], "w01");
    scene->faulty_node = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->faulty_node);
    harness_node_signal(scene->faulty_node, SIGSTOP);
    harness_sleep_ms(1500);
    harness_node_signal(scene->faulty_node, SIGCONT);
    g_free(home);
}

/* Kills the home node of the first engine while its orders are in flight, and
 * restarts it. */
static void
kill_home(struct harness_scenario_state *scene)
{
    char *home = harness_get_home(&scene->fleet->nodes[0], "w01");
    scene->faulty_node = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->faulty_node);
    harness_node_signal(scene->faulty_node, SIGKILL);
    harness_node_start(scene->fleet, scene->faulty_node);
    g_free(home);
}

/* Orders are dropped, lost, late and repeated, and writes get no response. */
static void
disturb_orders(struct harness_scenario_state *scene)
{
    set_engines(scene, "drop_orders=1&lose_orders=1&repeat_orders=1"
                       "&delay_orders=1&delay_ms=1200");
    lose_writes(scene);
}

/* The home node is paused and killed, and the engines restart twice. */
static void
disturb_nodes_and_engines(struct harness_scenario_state *scene)
{
    pause_home(scene);
    restart_engines(scene);
    harness_sleep_ms(200);
    kill_home(scene);
    restart_engines(scene);
}

/* Removes all faults, and waits for a restarted node. */
static void
remove_faults(struct harness_scenario_state *scene)
{
    set_engines(scene, "drop_orders=0&lose_orders=0&delay_orders=0"
                       "&repeat_orders=0");
    harness_set_faults(&scene->fleet->kv, "drop_after=0");
    if (scene->faulty_node != NULL) {
        g_assert_true(harness_node_wait_ready(scene->faulty_node, true,
                                              HARNESS_READY_TIMEOUT_MS));
    }
}

/* Checks that every model is served through every node and that no order ever
 * exceeded the memory of its engine. */
static void
check_models(struct harness_scenario_state *scene)
{
    int64_t started_at = harness_now_ms();
    harness_warm_up(scene->fleet, kinds, G_N_ELEMENTS(kinds));
    int64_t elapsed_ms = harness_now_ms() - started_at;
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        const struct harness_standin *engine =
            &scene->fleet->upstreams[i].standin;
        g_print("figure: %s: every model through every node within "
                "%" G_GINT64_FORMAT " ms; most memory %" G_GINT64_FORMAT
                " of %" G_GINT64_FORMAT " MB at %s\n",
                scene->scenario->name, elapsed_ms,
                harness_get_record_number(engine, "most_mb"),
                harness_get_record_number(engine, "capacity_mb"),
                scene->fleet->upstreams[i].name);
        g_assert_cmpint(harness_get_record_number(engine, "overcommits"), ==,
                        0);
    }
}

#define SETTINGS "weight-store.loads-per-s=20"
#define SHAPE                                                                 \
    {                                                                         \
        .node_count = 3, .engine_count = 2, .settings = { SETTINGS }          \
    }
#define FENCED                                                                \
    {                                                                         \
        .node_count = 3, .engine_count = 2, .engine_args = {"fencing=1"},     \
        .settings = {                                                         \
            SETTINGS,                                                         \
            "upstreams.fencing=refuse"                                        \
        }                                                                     \
    }
#define ANY_COST                                                              \
    {                                                                         \
        HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,              \
            HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,          \
            HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED           \
    }
/* All members of a scenario except its shape. */
#define ROW(row_name, row_early, row_begin)                                   \
    .name = (row_name), .kinds = kinds, .kind_count = G_N_ELEMENTS(kinds),    \
    .caller_count = 6, .before_ms = 700, .fault_ms = 1800, .after_ms = 500,   \
    .before_load = (row_early), .begin_fault = (row_begin),                   \
    .end_fault = remove_faults, .check = check_models, .limits = ANY_COST

static const struct harness_scenario scenarios[] = {
    {.fleet_config = SHAPE, ROW("dropped", drop_orders, NULL)},
    {.fleet_config = SHAPE, ROW("lost-after-acceptance", lose_orders, NULL)},
    {.fleet_config = SHAPE, ROW("late", delay_orders, NULL)},
    {.fleet_config = FENCED, ROW("late-fenced", delay_orders, NULL)},
    {.fleet_config = SHAPE, ROW("repeated", repeat_orders, NULL)},
    {.fleet_config = SHAPE,
     ROW("late-and-new-boot", delay_orders, restart_engines)},
    {.fleet_config = SHAPE, ROW("writes-unanswered", lose_writes, NULL)},
    {.fleet_config = SHAPE,
     ROW("late-and-home-paused", delay_orders, pause_home)},
    {.fleet_config = FENCED,
     ROW("late-and-home-paused-fenced", delay_orders, pause_home)},
    {.fleet_config = SHAPE,
     ROW("late-and-home-killed", delay_orders, kill_home)},
    {.fleet_config = SHAPE,
     ROW("all-together", disturb_orders, disturb_nodes_and_engines)},
    {.fleet_config = FENCED,
     ROW("all-together-fenced", disturb_orders, disturb_nodes_and_engines)},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "orders", scenarios,
                        G_N_ELEMENTS(scenarios));
}
