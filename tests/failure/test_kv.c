/*
 * The key-value service is away, slow, deaf or forgetful.  What the caller
 * sees: model calls as ever; an order is refused at once as not-run with
 * Retry-After, or served.  Order: the fault comes under load, lasts, and ends.
 * Why: nothing but the creation of a once record and a change of a ledger
 * needs the service, and an answer that was lost is read back before anything
 * is said.
 */

#include "harness/harness.h"

#include <string.h>

/* Refused connections. */
static void
go_down(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "down=1");
}

/* Back, with all that it held. */
static void
come_up(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "down=0");
}

/* Each answer takes longer than the time-out. */
static void
go_slow(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "slow_ms=2500");
}

/* As fast as ever. */
static void
go_fast(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "slow_ms=0");
}

/* Writes take effect; their answers do not come. */
static void
lose_answers(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "drop_after=1000000");
}

/* Writes are answered again. */
static void
give_answers(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "drop_after=0");
}

/* Open connections are lost track of; new ones work. */
static void
go_silent(struct harness_scene *scene)
{
    g_free(harness_control(&scene->fleet->kv, "silent", NULL));
}

/* The next writes take effect and are never answered. */
static void
go_silent_after(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "silent_after=5");
}

/* A lost answer, then away, then slow: together and twice. */
static void
go_wild(struct harness_scene *scene)
{
    for (unsigned i = 0; i < 2; i++) {
        harness_set(&scene->fleet->kv, "drop_after=3");
        harness_sleep(300);
        harness_set(&scene->fleet->kv, "down=1");
        harness_sleep(400);
        harness_set(&scene->fleet->kv, "down=0&slow_ms=1500");
        harness_sleep(400);
        harness_set(&scene->fleet->kv, "slow_ms=0&silent_after=2");
        harness_sleep(300);
    }
}

/* Every refusal says when to come back, and came at once. */
static void
check_refusals(struct harness_scene *scene)
{
    int64_t slowest = 0;
    for (guint i = 0; i < scene->answers->len; i++) {
        const struct harness_answer *answer =
            g_ptr_array_index(scene->answers, i);
        if (g_strcmp0(answer->outcome, "not-run") == 0) {
            g_assert_true(answer->retry_after);
            slowest = MAX(slowest, answer->ended - answer->sent);
        }
    }
    g_print("figure: %s: slowest refusal %" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, slowest);
    g_assert_cmpint(slowest, <=, 1500);
}

#define SHAPE                                                                 \
    {                                                                         \
        .nodes = 3, .engines = 2, .services = 2                               \
    }
/* Whole loss of orders while it lasts; nothing else. */
#define KV_COST                                                               \
    {                                                                         \
        500, 4500, HARNESS_ANY, HARNESS_ANY, 0, 0, HARNESS_ANY, 60, 95        \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "down",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 3000,
     .after_ms = 1500,
     .begin = go_down,
     .end = come_up,
     .more = check_refusals,
     .cost = KV_COST},
    {.name = "slow",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 3000,
     .after_ms = 3500,
     .begin = go_slow,
     .end = go_fast,
     .more = check_refusals,
     .cost = {500, 6000, HARNESS_ANY, HARNESS_ANY, 0, 0, HARNESS_ANY, 98, 98}},
    {.name = "answers-lost",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2000,
     .after_ms = 1500,
     .begin = lose_answers,
     .end = give_answers,
     .more = check_refusals,
     .cost = KV_COST},
    {.name = "silent",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2000,
     .after_ms = 1000,
     .begin = go_silent,
     .more = check_refusals,
     .cost = KV_COST},
    {.name = "silent-after-write",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2000,
     .after_ms = 1000,
     .begin = go_silent_after,
     .more = check_refusals,
     .cost = KV_COST},
    {.name = "all-at-once",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 500,
     .after_ms = 3000,
     .begin = go_wild,
     .more = check_refusals,
     .cost = {500, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 0, HARNESS_ANY,
              98, 98}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "kv", scenarios, G_N_ELEMENTS(scenarios));
}
