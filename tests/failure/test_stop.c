/*
 * Planned stops and replacement.  What the caller sees: nothing, also when
 * every node is replaced in turn and the key-value service is away.  Order:
 * SIGTERM, the balancer sees /readyz turn, the listener closes, what was
 * accepted is answered, exit with 0; a new process takes the place.  Why: only
 * a node that is not ready gets nothing new, and a new one is ready only with
 * the configuration, which it may have from a peer.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_kind kinds[] = {
    {"advice", "m01", NULL, 200, true, false, 2000},
    {"lookup", "m02", NULL, 10, false, false, 3000},
    {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

/* Stops a node gracefully and starts it anew; twice signalled if so wished. */
static void
replace(struct harness_scene *scene, struct harness_node *node, bool twice)
{
    int64_t begun = harness_now();
    harness_node_kill(node, SIGTERM);
    if (twice) {
        harness_sleep(100);
        harness_node_kill(node, SIGTERM);
    }
    int status = harness_wait(node->pid, 15000);
    g_print("figure: %s: %s stopped with status %d after %" G_GINT64_FORMAT
            " ms\n",
            scene->scenario->name, node->name, status, harness_now() - begun);
    g_assert_cmpint(status, ==, 0);
    begun = harness_now();
    harness_node_start(scene->fleet, node);
    g_assert_true(harness_node_wait(node, true, HARNESS_READY_MS));
    g_print("figure: %s: %s ready again after %" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, node->name, harness_now() - begun);
}

/* Every node in turn. */
static void
replace_each(struct harness_scene *scene)
{
    for (unsigned i = 0; i < scene->fleet->node_count; i++) {
        replace(scene, &scene->fleet->nodes[i], false);
    }
}

/* A second SIGTERM does not cut the stop short. */
static void
replace_twice_told(struct harness_scene *scene)
{
    replace(scene, &scene->fleet->nodes[1], true);
}

/* Every node in turn while the key-value service is down. */
static void
replace_each_kv_down(struct harness_scene *scene)
{
    harness_set(&scene->fleet->kv, "down=1");
    replace_each(scene);
    harness_set(&scene->fleet->kv, "down=0");
}

#define SHAPE                                                                 \
    {                                                                         \
        .nodes = 3, .engines = 2, .services = 2                               \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "each-in-turn",
     .shape = SHAPE,
     .kinds = kinds,
     .kind_count = G_N_ELEMENTS(kinds),
     .before_ms = 500,
     .during_ms = 100,
     .after_ms = 700,
     .begin = replace_each,
     .cost = {700, HARNESS_ANY, 0, 0, 0, 0, HARNESS_ANY, 95, 95}},
    {.name = "told-twice",
     .shape = SHAPE,
     .kinds = kinds,
     .kind_count = G_N_ELEMENTS(kinds),
     .before_ms = 500,
     .during_ms = 100,
     .after_ms = 500,
     .begin = replace_twice_told,
     .cost = {700, HARNESS_ANY, 0, 0, 0, 0, HARNESS_ANY, 95, 95}},
    {.name = "each-in-turn-kv-down",
     .shape = SHAPE,
     .kinds = kinds,
     .kind_count = G_N_ELEMENTS(kinds),
     .before_ms = 500,
     .during_ms = 100,
     .after_ms = 1500,
     .begin = replace_each_kv_down,
     .cost = {700, HARNESS_ANY, HARNESS_ANY, HARNESS_ANY, 0, 0, HARNESS_ANY,
              98, 98}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "stop", scenarios,
                        G_N_ELEMENTS(scenarios));
}
