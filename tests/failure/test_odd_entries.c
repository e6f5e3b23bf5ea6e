/*
 * Guards against entries of another writer among those of the upstreams and
 * nodes that end the nodes, or that keep them from following the list: an
 * upstream that leaves afterwards gets requests, one that comes gets none.
 */

#include "harness/harness.h"

#include <signal.h>

enum {
    NODES = 5,
    CALLERS = 12,
    EVENTS = 5, /* at 20 ms each */
    NESTED_LEVELS = 50000,
    LONG_BYTES = 200 * 1000,
    DEADLINE_MS = 6 * 1000,
    MAX_PAUSE_MS = 300,
    WARM_UP_MS = 2000,
    ODD_MS = 2500,
    /* From the upstream's report until no request may follow. */
    DRAIN_MS = 3000,
    AFTER_MS = 2000,
};

static const char *const models[] = {"m1", NULL};

#define ENTRY(address, members)                                               \
    "{\"service\":\"engines\",\"address\":\"" address                         \
    "\",\"zone\":\"caerdydd\",\"version\":\"v1\",\"state\":\"ready\","        \
    "\"models\":[{\"name\":\"m1\",\"adapters\":[]}]" members "}"

static const char *const odd_values[] = {
    "",
    "7",
    "[]",
    "{}",
    "{\"a\":",
    "\xff\xfe\x80",
    ENTRY("127.0.0.1:0", ",\"slots\":64"),
    ENTRY("127.0.0.1:70000", ",\"slots\":64"),
    ENTRY("127.0.0.1", ",\"slots\":64"),
    ENTRY("127.0.0.1:9", ",\"slots\":1e300"),
    ENTRY("127.0.0.1:9", ",\"slots\":99999999999999999999"),
    ENTRY("127.0.0.1:9", ",\"slots\":64,\"born\":9223372036854775807"),
    ENTRY("127.0.0.1:9", ",\"slots\":64,\"remaining_ms\":9e18"),
    ENTRY("127.0.0.1:9", ",\"slots\":64,\"cold_remaining_ms\":1e300"),
    ENTRY("127.0.0.1:9\\u0000", ",\"slots\":64"),
    ENTRY("127.0.0.1:9", ",\"slots\":64,\"models\":{\"a\":[[{}]]}"),
    "{\"address\":\"127.0.0.1:0\",\"data_centre\":7,\"region\":[]}",
    "{\"address\":\"127.0.0.1:9\",\"data_centre\":\"\\u0000\","
    "\"region\":\"r\",\"capacity\":1e300,\"started_ms\":-5}",
};

static void
put(const struct harness_fleet *fleet, const char *key, const char *value)
{
    g_autofree char *path = g_strconcat("put?key=", key, NULL);
    g_free(harness_call_control(&fleet->users, path, value));
}

/* Puts each value under a key of its own and over that of the upstream e3. */
static void
put_odd_values(const struct harness_fleet *fleet)
{
    g_autofree char *nested = g_strnfill(NESTED_LEVELS, '[');
    g_autofree char *nested_object = g_strconcat("{\"models\":", nested, NULL);
    g_autofree char *text = g_strnfill(LONG_BYTES, 'x');
    g_autofree char *long_text =
        g_strconcat("{\"service\":\"", text, "\"}", NULL);
    g_autoptr(GPtrArray) values = g_ptr_array_new();
    for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
        g_ptr_array_add(values, (gpointer)odd_values[i]);
    }
    g_ptr_array_add(values, nested);
    g_ptr_array_add(values, nested_object);
    g_ptr_array_add(values, long_text);
    for (guint i = 0; i < values->len; i++) {
        g_autofree char *upstream = g_strdup_printf("servers/odd-%u", i);
        g_autofree char *node = g_strdup_printf("nodes/odd-%u", i);
        put(fleet, upstream, g_ptr_array_index(values, i));
        put(fleet, node, g_ptr_array_index(values, i));
        put(fleet, "servers/e3", g_ptr_array_index(values, i));
    }
}

static unsigned
count_answering_nodes(const struct harness_fleet *fleet)
{
    unsigned count = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        JsonNode *status = harness_get_status(&fleet->nodes[i]);
        count += status != NULL ? 1 : 0;
        if (status != NULL) {
            json_node_unref(status);
        }
    }
    return count;
}

static void
test_odd_entries(gconstpointer data)
{
    const char *const *name = data;
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
    };
    const struct harness_users_config config = {0};
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    harness_users_put_standard_config(fleet, &config);
    harness_users_start_worker(fleet, "e1", "v1", "m1");
    harness_users_start_worker(fleet, "e2", "v1", "m1");
    harness_users_start_worker(fleet, "e3", "v1", "m1");
    harness_users_start_nodes(fleet);
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
    put_odd_values(fleet);
    harness_sleep_ms(ODD_MS);
    harness_node_signal(&fleet->nodes[0], SIGKILL);
    harness_node_start(fleet, &fleet->nodes[0]);
    harness_users_wait_ready(fleet);
    int64_t changed_at = harness_now_ms();
    harness_users_change_worker(fleet, "e1", "drain");
    harness_users_start_worker(fleet, "e4", "v1", "m1");
    harness_sleep_ms(DRAIN_MS + AFTER_MS);
    unsigned late =
        harness_users_count_runs(fleet, "e1", changed_at + DRAIN_MS, NULL);
    unsigned at_new = harness_users_count_runs(fleet, "e4", changed_at, NULL);
    unsigned answering = count_answering_nodes(fleet);
    struct harness_users_results results = harness_users_load_stop(run);
    g_print("figure: %s: %u of %d nodes answer, %u late runs at the upstream "
            "that leaves, %u at the one that came; callers: %u whole, %u "
            "rejected, %u other\n",
            *name, answering, NODES, late, at_new, results.whole,
            results.rejected, results.other);
    g_assert_cmpuint(answering, ==, NODES);
    g_assert_cmpuint(late, ==, 0);
    g_assert_cmpuint(at_new, >, 0);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    static const char *const cases[] = {"all-at-once"};
    return harness_run_cases(argc, argv, "odd-entries", cases,
                             sizeof(cases[0]), G_N_ELEMENTS(cases),
                             test_odd_entries);
}
