/*
 * Orders to an engine that are lost, late or repeated while models must change
 * places.  What the caller sees: every model is served, some later than it
 * should be.  Order: three models that do not fit together are called for by
 * turns, orders go astray, the engine starts anew, the home is paused, the
 * key-value service loses answers.  Why: memory is reserved before an order
 * goes out and given back on evidence alone, so it is never overcommitted, and
 * an order is sent again under the same id until it is seen done.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_kind kinds[] = {
    {"advice", "m01", NULL, 10, true, false, 2000},
    {"lookup", "m02", NULL, 5, false, false, 3000},
    {"advice", "m03", NULL, 5, false, false, 2000},
};

/* The next orders are closed on, and never arrive. */
static void
drop(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin, "drop_orders=3");
}

/* The next orders are accepted, and never done. */
static void
lose(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin, "lose_orders=3");
}

/* The next orders arrive long after their connection was closed. */
static void
delay(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin,
                "delay_orders=4&delay_ms=1200");
}

/* The next orders arrive again, later. */
static void
repeat(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin,
                "repeat_orders=6&delay_ms=900");
}

/* The engine loses its memory while orders are late. */
static void
boot(struct harness_scene *scene)
{
    delay(scene);
    harness_sleep(500);
    g_free(harness_control(&scene->fleet->upstreams[0].standin, "boot", NULL));
}

/* Writes to the ledger take effect and are not answered. */
static void
lose_writes(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "drop_after=6");
}

/* Which node is home changes twice while orders are late. */
static void
pause_home(struct harness_scene *scene)
{
    delay(scene);
    char *home = harness_home(&scene->fleet->nodes[0], "w01");
    scene->victim = harness_find_node(scene->fleet, home);
    g_assert_nonnull(scene->victim);
    harness_node_kill(scene->victim, SIGSTOP);
    harness_sleep(1500);
    harness_node_kill(scene->victim, SIGCONT);
    g_free(home);
}

/* All of it. */
static void
everything(struct harness_scene *scene)
{
    drop(scene);
    lose(scene);
    repeat(scene);
    lose_writes(scene);
    pause_home(scene);
    boot(scene);
}

/* Nothing is left wrong at the engine; every model is served again. */
static void
heal(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin,
                "drop_orders=0&lose_orders=0&delay_orders=0&repeat_orders=0");
    harness_set(&scene->fleet->kv, "drop_after=0");
}

/* Every model can be reached, and no order ever asked for too much. */
static void
check_models(struct harness_scene *scene)
{
    const struct harness_standin *engine = &scene->fleet->upstreams[0].standin;
    int64_t begun = harness_now();
    harness_warm_up(scene->fleet, kinds, G_N_ELEMENTS(kinds));
    g_print(
        "figure: %s: every model through every node within %" G_GINT64_FORMAT
        " ms; most memory %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT " MB\n",
        scene->scenario->name, harness_now() - begun,
        harness_record_number(engine, "most_mb"),
        harness_record_number(engine, "capacity_mb"));
    g_assert_cmpint(harness_record_number(engine, "overcommits"), ==, 0);
}

#define SHAPE                                                                 \
    {                                                                         \
        .nodes = 2, .engines = 1, .services = 0, .settings = {                \
            "weight-store.loads-per-s=20"                                     \
        }                                                                     \
    }
#define FENCED                                                                \
    {                                                                         \
        .nodes = 2, .engines = 1, .services = 0,                              \
        .engine_args = {"fencing=1"}, .settings = {                           \
            "weight-store.loads-per-s=20",                                    \
            "upstreams.fencing=refuse"                                        \
        }                                                                     \
    }
#define ANY_COST                                                              \
    {                                                                         \
        HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY,      \
            HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY                \
    }
#define ROW(row_name, row_shape, row_begin)                                   \
    {                                                                         \
        .name = (row_name), .shape = row_shape, .kinds = kinds,               \
        .kind_count = G_N_ELEMENTS(kinds), .callers = 3, .before_ms = 300,    \
        .during_ms = 2200, .after_ms = 300, .begin = (row_begin),             \
        .end = heal, .more = check_models, .cost = ANY_COST                   \
    }

static const struct harness_scenario scenarios[] = {
    ROW("dropped", SHAPE, drop),
    ROW("lost-after-acceptance", SHAPE, lose),
    ROW("late", SHAPE, delay),
    ROW("late-fenced", FENCED, delay),
    ROW("repeated", SHAPE, repeat),
    ROW("new-boot", SHAPE, boot),
    ROW("writes-unanswered", SHAPE, lose_writes),
    ROW("home-paused", SHAPE, pause_home),
    ROW("home-paused-fenced", FENCED, pause_home),
    ROW("everything", SHAPE, everything),
    ROW("everything-fenced", FENCED, everything),
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "orders", scenarios,
                        G_N_ELEMENTS(scenarios));
}
