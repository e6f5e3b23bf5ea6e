/*
 * Open connections that go silent for good while new ones work.  What the
 * caller sees: an idempotent call takes under two seconds more and does not
 * fail; an order whose answer went silent is told as unknown and never runs
 * again.  Order: something between the two ends loses track of what is open,
 * under load.  Why: each phase of a call has a bound, and what is tried again
 * goes out on a new connection.
 */

#include "harness/harness.h"

/* Everything open at the upstreams. */
static void
silence_upstreams(struct harness_scene *scene)
{
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        g_free(harness_control(&scene->fleet->upstreams[i].standin, "silent",
                               NULL));
    }
}

/* The engines' next calls, before they run. */
static void
silence_calls(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin, "silent_next=2");
    harness_set(&scene->fleet->upstreams[1].standin, "silent_next=2");
}

/* The engines' next streams, half-way. */
static void
silence_streams(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[0].standin, "silent_stream=2");
    harness_set(&scene->fleet->upstreams[1].standin, "silent_stream=2");
}

/* The services' next calls, after they ran. */
static void
silence_orders(struct harness_scene *scene)
{
    harness_set(&scene->fleet->upstreams[2].standin, "silent_after=2");
    harness_set(&scene->fleet->upstreams[3].standin, "silent_after=2");
}

/* Every connection between nodes. */
static void
silence_peers(struct harness_scene *scene)
{
    for (unsigned i = 0; i < scene->fleet->node_count; i++) {
        g_free(
            harness_control(&scene->fleet->nodes[i].relay, "silence", NULL));
    }
}

/* Twice, so that the second finds the connections that replaced the first. */
static void
silence_peers_twice(struct harness_scene *scene)
{
    silence_peers(scene);
    harness_sleep(900);
    silence_peers(scene);
}

/* No idempotent call took two seconds more than it needs. */
static void
check_slowest(struct harness_scene *scene)
{
    int64_t slowest = 0;
    for (guint i = 0; i < scene->answers->len; i++) {
        const struct harness_answer *answer =
            g_ptr_array_index(scene->answers, i);
        if (answer->key == NULL) {
            slowest = MAX(slowest, answer->ended - answer->sent);
        }
    }
    g_print("figure: %s: slowest idempotent call %" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, slowest);
    g_assert_cmpint(slowest, <=, 2400);
}

#define SHAPE                                                                 \
    {                                                                         \
        .nodes = 3, .engines = 2, .services = 2                               \
    }
#define SILENT_COST                                                           \
    {                                                                         \
        1900, 2500, HARNESS_ANY, HARNESS_ANY, 0, 0, HARNESS_ANY, 60, 95       \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "upstreams",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2500,
     .after_ms = 1500,
     .begin = silence_upstreams,
     .more = check_slowest,
     .cost = SILENT_COST},
    {.name = "engine-calls",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2500,
     .after_ms = 1500,
     .begin = silence_calls,
     .more = check_slowest,
     .cost = SILENT_COST},
    {.name = "streams-half-way",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2500,
     .after_ms = 1500,
     .begin = silence_streams,
     .more = check_slowest,
     .cost = SILENT_COST},
    {.name = "orders-after-they-ran",
     .shape = SHAPE,
     .before_ms = 800,
     .during_ms = 2500,
     .after_ms = 1500,
     .begin = silence_orders,
     .more = check_slowest,
     .cost = SILENT_COST},
    {.name = "between-nodes",
     .shape = {.nodes = 3, .engines = 2, .services = 2, .relays = true},
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1500,
     .begin = silence_peers,
     .more = check_slowest,
     .cost = SILENT_COST},
    {.name = "between-nodes-twice",
     .shape = {.nodes = 3, .engines = 2, .services = 2, .relays = true},
     .before_ms = 1000,
     .during_ms = 1500,
     .after_ms = 1500,
     .begin = silence_peers_twice,
     .more = check_slowest,
     .cost = {1900, 3500, HARNESS_ANY, HARNESS_ANY, 0, 0, HARNESS_ANY, 60,
              95}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "silent", scenarios,
                        G_N_ELEMENTS(scenarios));
}
