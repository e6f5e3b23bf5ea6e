/*
 * Guards against changes that nodes do not learn of while those that watch the
 * store do not reach it: an upstream that has said there that it leaves gets
 * requests, an added route is refused. The upstream's own record and the
 * callers' responses are the judges.
 */

#include "harness/harness.h"

#include <stdlib.h>

enum {
    MAX_NODES = 20,
    WORKERS = 4,
    CALLERS = 24,
    EVENTS = 5, /* at 20 ms each */
    DEADLINE_MS = 6 * 1000,
    MAX_PAUSE_MS = 300,
    WARM_UP_MS = 4000,
    /* From the upstream's report until no request may follow. */
    DRAIN_MS = 3000,
    AFTER_MS = 3000,
    /* From an accepted change until it is in force. */
    APPLY_MS = 3000,
    GIVE_UP_MS = 16 * 1000,
    CHANGED_VERSION = 20,
};

static const char *const models[] = {"m1", NULL};

struct scenario {
    const char *name;
    const char *form; /* of the cut, see tests/standin/relay.c */
    unsigned node_count;
    unsigned cut_count; /* nodes cut off from the store, first those that make
                           most watches */
    int64_t change_after_ms; /* from the cut until the change */
    void (*run)(const struct scenario *scenario, struct harness_fleet *fleet);
    const char *action; /* of an upstream; NULL: the configuration changes */
};

struct watcher {
    const struct harness_node *node;
    double watches;
};

static int
compare_watches(const void *a, const void *b)
{
    double difference = ((const struct watcher *)b)->watches -
                        ((const struct watcher *)a)->watches;
    return difference > 0 ? 1 : difference < 0 ? -1 : 0;
}

/* Cuts the path to the store of the nodes that make most watches. */
static void
cut_watchers(const struct harness_fleet *fleet, const char *form,
             unsigned count)
{
    struct watcher watchers[MAX_NODES] = {0};
    for (unsigned i = 0; i < fleet->node_count; i++) {
        watchers[i] = (struct watcher){
            &fleet->nodes[i],
            harness_get_counter(&fleet->nodes[i], "kv_watches")};
    }
    qsort(watchers, fleet->node_count, sizeof(watchers[0]), compare_watches);
    for (unsigned i = 0; i < count; i++) {
        harness_users_cut_store(watchers[i].node, form);
    }
}

/* An upstream leaves. */
static void
change_upstream(const struct scenario *scenario, struct harness_fleet *fleet)
{
    harness_users_change_worker(fleet, "e1", scenario->action);
    int64_t left_at = harness_now_ms();
    harness_sleep_ms(DRAIN_MS + AFTER_MS);
    int64_t last_ms = left_at;
    unsigned late =
        harness_users_count_runs(fleet, "e1", left_at + DRAIN_MS, &last_ms);
    g_print("figure: %s: %u runs at the upstream after %d ms, the last after "
            "%" G_GINT64_FORMAT " ms\n",
            scenario->name, late, DRAIN_MS, last_ms - left_at);
    g_assert_cmpuint(late, ==, 0);
}

/* A route is added. */
static void
change_config(const struct scenario *scenario, struct harness_fleet *fleet)
{
    const struct harness_users_config config = {
        .version = CHANGED_VERSION, .routes = harness_users_added_route};
    harness_users_put_standard_config(fleet, &config);
    int64_t changed_at = harness_now_ms();
    harness_sleep_ms(APPLY_MS);
    unsigned nodes = harness_users_count_added(fleet);
    unsigned later = nodes;
    while (later < fleet->node_count &&
           harness_now_ms() < changed_at + GIVE_UP_MS) {
        later = harness_users_count_added(fleet);
    }
    g_print("figure: %s: added route at %u of %u nodes after %d ms, at all "
            "after %" G_GINT64_FORMAT " ms\n",
            scenario->name, nodes, fleet->node_count, APPLY_MS,
            harness_now_ms() - changed_at);
    g_assert_cmpuint(nodes, ==, fleet->node_count);
}

static const struct scenario scenarios[] = {
    {"watchers-reset", "reset", 7, 5, 300, change_upstream, "drain"},
    {"watchers-refused", "refuse", 7, 5, 1500, change_upstream, "drain"},
    {"watchers-silent", "silent", 7, 5, 300, change_upstream, "drain"},
    {"all-but-one-reset", "reset", 7, 6, 1500, change_upstream, "drain"},
    {"all-but-one-silent", "silent", 7, 6, 300, change_upstream, "drain"},
    {"all-but-one-silent-entry-removed", "silent", 7, 6, 300, change_upstream,
     "remove"},
    {"config-watchers-reset", "reset", 7, 5, 300, change_config, NULL},
    {"config-all-but-one-reset", "reset", 20, 19, 300, change_config, NULL},
    {"config-all-but-one-silent", "silent", 20, 19, 300, change_config, NULL},
};

static struct harness_fleet *
start_fleet(unsigned node_count)
{
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = node_count,
    };
    const struct harness_users_config config = {0};
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    harness_users_put_standard_config(fleet, &config);
    for (unsigned i = 1; i <= WORKERS; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        harness_users_start_worker(fleet, name, "v1", "m1");
    }
    harness_users_start_nodes(fleet);
    return fleet;
}

static void
run_scenario(gconstpointer data)
{
    const struct scenario *scenario = data;
    struct harness_fleet *fleet = start_fleet(scenario->node_count);
    const struct harness_users_load load = {
        .fleet = fleet,
        .caller_count = CALLERS,
        .path = HARNESS_USERS_PATH,
        .models = models,
        .events = EVENTS,
        .deadline_ms = DEADLINE_MS,
        .max_pause_ms = MAX_PAUSE_MS,
    };
    struct harness_users_run *run = harness_users_load_start(&load);
    harness_sleep_ms(WARM_UP_MS);
    cut_watchers(fleet, scenario->form, scenario->cut_count);
    harness_sleep_ms(scenario->change_after_ms);
    scenario->run(scenario, fleet);
    struct harness_users_results results = harness_users_load_stop(run);
    g_print("figure: %s: callers: %u whole, %u rejected, %u other\n",
            scenario->name, results.whole, results.rejected, results.other);
    g_assert_cmpuint(results.whole, >, 0);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "unseen", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
