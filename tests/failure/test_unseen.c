/*
 * Guards against requests to an upstream that has said at the store that it
 * leaves, while the nodes that watch the store do not reach it. The upstream's
 * own record is the judge.
 */

#include "harness/harness.h"

#include <stdlib.h>
#include <string.h>

enum {
    NODES = 7,
    WORKERS = 4,
    CALLERS = 24,
    EVENTS = 5, /* at 20 ms each */
    DEADLINE_MS = 6 * 1000,
    MAX_PAUSE_MS = 300,
    WARM_UP_MS = 4000,
    /* From the upstream's report until no request may follow. */
    DRAIN_MS = 3000,
    AFTER_MS = 3000,
};

static const char *const models[] = {"m1", NULL};

static const struct scenario {
    const char *name;
    const char *form;   /* of the cut, see tests/standin/relay.c */
    unsigned cut_count; /* nodes cut off from the store, first those that make
                           most watches */
    int64_t drain_after_ms; /* from the cut until the upstream reports */
    const char *action;     /* of the upstream */
} scenarios[] = {
    {"watchers-reset", "reset", 5, 300, "drain"},
    {"watchers-refused", "refuse", 5, 1500, "drain"},
    {"watchers-silent", "silent", 5, 300, "drain"},
    {"all-but-one-reset", "reset", 6, 1500, "drain"},
    {"all-but-one-silent", "silent", 6, 300, "drain"},
    {"all-but-one-silent-entry-removed", "silent", 6, 300, "remove"},
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
    struct watcher watchers[NODES];
    for (unsigned i = 0; i < NODES; i++) {
        watchers[i] = (struct watcher){
            &fleet->nodes[i],
            harness_get_counter(&fleet->nodes[i], "kv_watches")};
    }
    qsort(watchers, NODES, sizeof(watchers[0]), compare_watches);
    for (unsigned i = 0; i < count; i++) {
        harness_users_cut_store(watchers[i].node, form);
    }
}

/* Runs at a worker after a time; *last_ms: the time of the last one. */
static unsigned
count_runs_after(const struct harness_fleet *fleet, const char *worker,
                 int64_t after_ms, int64_t *last_ms)
{
    unsigned count = 0;
    JsonNode *record = harness_get_record(&fleet->users);
    JsonArray *runs =
        json_object_get_array_member(json_node_get_object(record), "runs");
    for (guint i = 0; i < json_array_get_length(runs); i++) {
        JsonObject *run = json_array_get_object_element(runs, i);
        int64_t at_ms = json_object_get_int_member(run, "at_ms");
        if (strcmp(json_object_get_string_member(run, "worker"), worker) !=
            0) {
            continue;
        }
        *last_ms = MAX(*last_ms, at_ms);
        count += at_ms > after_ms;
    }
    json_node_unref(record);
    return count;
}

static struct harness_fleet *
start_fleet(void)
{
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
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
    struct harness_fleet *fleet = start_fleet();
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
    harness_sleep_ms(scenario->drain_after_ms);
    harness_users_change_worker(fleet, "e1", scenario->action);
    int64_t left_at = harness_now_ms();
    harness_sleep_ms(DRAIN_MS + AFTER_MS);
    struct harness_users_results results = harness_users_load_stop(run);
    int64_t last_ms = left_at;
    unsigned late =
        count_runs_after(fleet, "e1", left_at + DRAIN_MS, &last_ms);
    g_print("figure: %s: %u runs at the upstream after %d ms, the last after "
            "%" G_GINT64_FORMAT " ms; callers: %u whole, %u rejected, %u "
            "other\n",
            scenario->name, late, DRAIN_MS, last_ms - left_at, results.whole,
            results.rejected, results.other);
    g_assert_cmpuint(results.whole, >, 0);
    g_assert_cmpuint(late, ==, 0);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "unseen", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
