/*
 * Orders to engines that are lost, late or repeated.  What the caller sees:
 * every model is served, some later than they should be.  Order: nothing is in
 * memory, three models are called for, orders go astray, an engine starts
 * anew, the home is paused, the key-value service loses answers; once, models
 * must change places.  Why: memory is reserved before an order goes out and
 * given back on evidence alone, so it is never overcommitted, and an order is
 * sent again under the same id until it is seen done.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_kind kinds[] = {
    {"advice", "m01", NULL, 10, true, false, 2000},
    {"lookup", "m02", NULL, 5, false, false, 3000},
    {"advice", "m03", NULL, 5, false, false, 2000},
};

/* Sets faults at both engines. */
static void
set_engines(struct harness_scene *scene, const char *what)
{
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        harness_set(&scene->fleet->upstreams[i].standin, "%s", what);
    }
}

/* The first orders are closed on, and never arrive. */
static void
drop(struct harness_scene *scene)
{
    set_engines(scene, "drop_orders=2");
}

/* The first orders are accepted, and never done. */
static void
lose(struct harness_scene *scene)
{
    set_engines(scene, "lose_orders=1");
}

/* The first orders arrive long after their connection was closed. */
static void
delay(struct harness_scene *scene)
{
    set_engines(scene, "delay_orders=2&delay_ms=1500");
}

/* The first orders arrive again, later. */
static void
repeat(struct harness_scene *scene)
{
    set_engines(scene, "repeat_orders=4&delay_ms=900");
}

/* Writes to the ledger take effect and are not answered. */
static void
lose_writes(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "drop_after=4");
}

/* The engines lose their memory, while orders may be late. */
static void
boot(struct harness_scene *scene)
{
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        g_free(harness_control(&scene->fleet->upstreams[i].standin, "boot",
                               NULL));
    }
}

/* The home of both engines' orders is paused while they are late, and another
 * takes over; then it goes on. */
static void
pause_home(struct harness_scene *scene)
{
    char *home = harness_home(&scene->fleet->nodes[0], "w01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGSTOP);
    harness_sleep(1500);
    harness_node_kill(scene->victim, SIGCONT);
    g_free(home);
}

/* The home dies with its orders on their way. */
static void
kill_home(struct harness_scene *scene)
{
    char *home = harness_home(&scene->fleet->nodes[0], "w01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGKILL);
    harness_node_start(scene->fleet, scene->victim);
    g_free(home);
}

/* Orders dropped, lost, late and repeated, and writes unanswered. */
static void
astray(struct harness_scene *scene)
{
    set_engines(scene, "drop_orders=1&lose_orders=1&repeat_orders=1"
                       "&delay_orders=1&delay_ms=1200");
    lose_writes(scene);
}

/* All that can happen to a home and to the engines. */
static void
upheaval(struct harness_scene *scene)
{
    pause_home(scene);
    boot(scene);
    harness_sleep(200);
    kill_home(scene);
    boot(scene);
}

/* Nothing is left wrong. */
static void
heal(struct harness_scene *scene)
{
    set_engines(scene, "drop_orders=0&lose_orders=0&delay_orders=0"
                       "&repeat_orders=0");
    harness_set(&scene->fleet->kv, "drop_after=0");
    if (scene->victim != NULL) {
        g_assert_true(
            harness_node_wait(scene->victim, true, HARNESS_READY_MS));
    }
}

/* Every model can be reached, and no order ever asked for too much. */
static void
check_models(struct harness_scene *scene)
{
    int64_t begun = harness_now();
    harness_warm_up(scene->fleet, kinds, G_N_ELEMENTS(kinds));
    int64_t took = harness_now() - begun;
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        const struct harness_standin *engine =
            &scene->fleet->upstreams[i].standin;
        g_print("figure: %s: every model through every node within "
                "%" G_GINT64_FORMAT " ms; most memory %" G_GINT64_FORMAT
                " of %" G_GINT64_FORMAT " MB at %s\n",
                scene->scenario->name, took,
                harness_record_number(engine, "most_mb"),
                harness_record_number(engine, "capacity_mb"),
                scene->fleet->upstreams[i].name);
        g_assert_cmpint(harness_record_number(engine, "overcommits"), ==, 0);
    }
}

#define SETTINGS "weight-store.loads-per-s=20"
#define SHAPE                                                                 \
    {                                                                         \
        .nodes = 3, .engines = 2, .settings = { SETTINGS }                    \
    }
#define FENCED                                                                \
    {                                                                         \
        .nodes = 3, .engines = 2, .engine_args = {"fencing=1"}, .settings = { \
            SETTINGS,                                                         \
            "upstreams.fencing=refuse"                                        \
        }                                                                     \
    }
#define ANY_COST                                                              \
    {                                                                         \
        HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY,      \
            HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY                \
    }
/* All of a row but its shape. */
#define ROW(row_name, row_early, row_begin)                                   \
    .name = (row_name), .kinds = kinds, .kind_count = G_N_ELEMENTS(kinds),    \
    .callers = 6, .before_ms = 700, .during_ms = 1800, .after_ms = 500,       \
    .early = (row_early), .begin = (row_begin), .end = heal,                  \
    .more = check_models, .cost = ANY_COST

static const struct harness_scenario scenarios[] = {
    {.shape = SHAPE, ROW("dropped", drop, NULL)},
    {.shape = SHAPE, ROW("lost-after-acceptance", lose, NULL)},
    {.shape = SHAPE, ROW("late", delay, NULL)},
    {.shape = FENCED, ROW("late-fenced", delay, NULL)},
    {.shape = SHAPE, ROW("repeated", repeat, NULL)},
    {.shape = SHAPE, ROW("late-and-new-boot", delay, boot)},
    {.shape = SHAPE, ROW("writes-unanswered", lose_writes, NULL)},
    {.shape = SHAPE, ROW("late-and-home-paused", delay, pause_home)},
    {.shape = FENCED, ROW("late-and-home-paused-fenced", delay, pause_home)},
    {.shape = SHAPE, ROW("late-and-home-killed", delay, kill_home)},
    {.shape = SHAPE, ROW("all-together", astray, upheaval)},
    {.shape = FENCED, ROW("all-together-fenced", astray, upheaval)},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "orders", scenarios,
                        G_N_ELEMENTS(scenarios));
}
