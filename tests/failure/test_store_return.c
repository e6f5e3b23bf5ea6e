/*
 * Guards against a store that comes back from a copy some seconds old: what is
 * written there afterwards has a lower revision than what nodes know, and what
 * the copy holds is older than what they know. The callers' responses and the
 * upstreams' own record are the judges.
 */

#include "harness/harness.h"

#include <signal.h>
#include <string.h>

#define BARRED_DIGEST "00112233445566778899aabbccddeeff"

enum {
    NODES = 7,
    WORKERS = 4,
    CALLERS = 16,
    EVENTS = 10, /* at 20 ms each */
    DEADLINE_MS = 6 * 1000,
    MAX_PAUSE_MS = 300,
    WARM_UP_MS = 2000,
    LOST_WRITES = 20, /* of the operators and of each worker */
    /* From an accepted change until it is in force, and from an upstream's
     * report that it leaves until no request may follow. */
    APPLY_MS = 3000,
    AFTER_MS = 6000,
    LOAD_MS = 8000, /* until a model that nobody holds is served */
    GIVE_UP_MS = 16 * 1000,
    FIRST_VERSION = 3,
    LOST_VERSION = 5, /* the first one after the copy */
    LAST_VERSION = 200,
    /* A fleet of 320 nodes may make 2,000 reads a second. */
    MAX_CALLS_PER_NODE_S = 2000 / 320,
};

static const char added_model[] =
    ",{\"name\":\"m3\",\"weights_mb\":10000,\"load_s\":0.3,\"adapters\":0,"
    "\"adapter_mb\":10}";

static const char *const models[] = {"m1", NULL};

/* ---- the operators, the workers and the store ---- */

/* with_added: with one more route and one more model. */
static void
put_config(struct harness_fleet *fleet, int version, bool with_added)
{
    const struct harness_users_config config = {
        .version = version,
        .routes = with_added ? harness_users_added_route : NULL,
        .models = with_added ? added_model : NULL,
    };
    harness_users_put_standard_config(fleet, &config);
}

static void
save_copy(const struct harness_fleet *fleet)
{
    g_free(harness_call_control(&fleet->users, "save-copy", ""));
}

static void
restore_copy(const struct harness_fleet *fleet, bool with_leases)
{
    g_free(harness_call_control(
        &fleet->users, with_leases ? "restore-copy?leases=1" : "restore-copy",
        ""));
}

/* What the store loses: configurations, and entries that workers wrote. */
static void
make_lost_writes(struct harness_fleet *fleet, bool with_added)
{
    for (int i = 0; i < LOST_WRITES; i++) {
        put_config(fleet, LOST_VERSION + i, with_added);
        harness_users_change_worker(fleet, "e1", "write");
        harness_sleep_ms(50);
    }
}

/* ---- checks ---- */

/* Orders that workers refused for an old fencing token. */
static int64_t
count_fenced(const struct harness_fleet *fleet)
{
    int64_t count = 0;
    JsonNode *record = harness_get_record(&fleet->users);
    JsonArray *workers =
        json_object_get_array_member(json_node_get_object(record), "workers");
    for (guint i = 0; i < json_array_get_length(workers); i++) {
        count += json_object_get_int_member(
            json_array_get_object_element(workers, i), "fenced");
    }
    json_node_unref(record);
    return count;
}

static double
count_store_calls(const struct harness_fleet *fleet)
{
    static const char *const names[] = {"kv_reads", "kv_writes", "kv_watches"};
    double sum = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(names); j++) {
            sum += harness_get_counter(&fleet->nodes[i], names[j]);
        }
    }
    return sum;
}

/* ---- scenarios ---- */

struct scenario {
    const char *name;
    void (*run)(struct harness_fleet *fleet, const char *name);
};

/* A route is added and an upstream leaves right after the return. */
static void
change_after_return(struct harness_fleet *fleet, const char *name)
{
    bool with_leases = strstr(name, "without-leases") == NULL;
    save_copy(fleet);
    make_lost_writes(fleet, false);
    double calls = count_store_calls(fleet);
    restore_copy(fleet, with_leases);
    harness_sleep_ms(500);
    put_config(fleet, LAST_VERSION, true);
    harness_users_change_worker(fleet, "e1", "drain");
    int64_t drained_at = harness_now_ms();
    harness_sleep_ms(APPLY_MS);
    unsigned nodes = harness_users_count_added(fleet);
    harness_sleep_ms(AFTER_MS);
    unsigned late =
        harness_users_count_runs(fleet, "e1", drained_at + APPLY_MS, NULL);
    double seconds = (double)(harness_now_ms() - drained_at + 500) / 1000;
    double rate = (count_store_calls(fleet) - calls) / seconds / NODES;
    g_print("figure: %s: added route at %u of %d nodes, %u runs at the "
            "upstream that leaves, %.1f calls a second and node of %d, "
            "%" G_GINT64_FORMAT " orders refused\n",
            name, nodes, NODES, late, rate, MAX_CALLS_PER_NODE_S,
            count_fenced(fleet));
    g_assert_cmpuint(nodes, ==, NODES);
    g_assert_cmpuint(late, ==, 0);
    g_assert_cmpfloat(rate, <=, MAX_CALLS_PER_NODE_S);
    g_assert_cmpint(count_fenced(fleet), ==, 0);
}

/* The copy is older than what nodes know: a route that was added since is not
 * in it, an upstream that leaves is ready, one that is gone is there. Nobody
 * writes for a while. */
static void
copy_is_older(struct harness_fleet *fleet, const char *name)
{
    save_copy(fleet);
    make_lost_writes(fleet, true);
    harness_users_change_worker(fleet, "e1", "drain");
    harness_users_change_worker(fleet, "e2", "remove");
    harness_sleep_ms(APPLY_MS);
    int64_t returned_at = harness_now_ms();
    restore_copy(fleet, true);
    unsigned least = NODES;
    while (harness_now_ms() < returned_at + AFTER_MS) {
        unsigned nodes = harness_users_count_added(fleet);
        least = MIN(least, nodes);
        harness_sleep_ms(200);
    }
    unsigned draining =
        harness_users_count_runs(fleet, "e1", returned_at, NULL);
    unsigned gone = harness_users_count_runs(fleet, "e2", returned_at, NULL);
    g_print("figure: %s: added route at %u of %d nodes at least, %u runs at "
            "the upstream that leaves, %u at the one that is gone\n",
            name, least, NODES, draining, gone);
    g_assert_cmpuint(least, ==, NODES);
    g_assert_cmpuint(draining, ==, 0);
    g_assert_cmpuint(gone, ==, 0);
}

/* A model is added and asked for right after the return: it is loaded by
 * orders whose fencing tokens the upstreams compare with earlier ones. */
static void
place_after_return(struct harness_fleet *fleet, const char *name)
{
    save_copy(fleet);
    make_lost_writes(fleet, false);
    restore_copy(fleet, false);
    put_config(fleet, LAST_VERSION, true);
    int64_t returned_at = harness_now_ms();
    int64_t served_after = -1;
    while (served_after < 0 && harness_now_ms() < returned_at + GIVE_UP_MS) {
        const struct harness_stream_call call = {
            .address = fleet->nodes[0].caller_address,
            .host = HARNESS_USERS_HOST,
            .path = HARNESS_USERS_PATH,
            .request_id = "place",
            .model = "m3",
            .events = 1,
            .deadline_ms = DEADLINE_MS,
        };
        struct harness_stream *stream = harness_request_stream(&call);
        if (stream->status == 200) {
            served_after = harness_now_ms() - returned_at;
        }
        harness_stream_free(stream);
        harness_sleep_ms(100);
    }
    g_print("figure: %s: served after %" G_GINT64_FORMAT
            " ms, %" G_GINT64_FORMAT " orders refused\n",
            name, served_after, count_fenced(fleet));
    g_assert_cmpint(served_after, >=, 0);
    g_assert_cmpint(served_after, <=, LOAD_MS);
    g_assert_cmpint(count_fenced(fleet), ==, 0);
}

/* The store comes back twice, the second time while nodes are killed. */
static void
return_twice(struct harness_fleet *fleet, const char *name)
{
    save_copy(fleet);
    make_lost_writes(fleet, false);
    restore_copy(fleet, false);
    harness_sleep_ms(1500);
    make_lost_writes(fleet, false);
    for (unsigned i = 0; i < 3; i++) {
        harness_node_signal(&fleet->nodes[i], SIGKILL);
    }
    restore_copy(fleet, false);
    for (unsigned i = 0; i < 3; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
    harness_users_wait_ready(fleet);
    put_config(fleet, LAST_VERSION, true);
    harness_users_change_worker(fleet, "e1", "drain");
    int64_t drained_at = harness_now_ms();
    harness_sleep_ms(APPLY_MS);
    unsigned nodes = harness_users_count_added(fleet);
    harness_sleep_ms(APPLY_MS);
    unsigned late =
        harness_users_count_runs(fleet, "e1", drained_at + APPLY_MS, NULL);
    g_print("figure: %s: added route at %u of %d nodes, %u runs at the "
            "upstream that leaves\n",
            name, nodes, NODES, late);
    g_assert_cmpuint(nodes, ==, NODES);
    g_assert_cmpuint(late, ==, 0);
}

/* The copy is from before a barred request was recorded. */
static void
lose_crash_record(struct harness_fleet *fleet, const char *name)
{
    restore_copy(fleet, false);
    int64_t returned_at = harness_now_ms();
    int64_t recorded_after = -1;
    while (recorded_after < 0 && harness_now_ms() < returned_at + APPLY_MS) {
        g_autofree char *items = NULL;
        (void)harness_get(fleet->users.address,
                          "/api/kv-range?path_prefix=crashes/", &items);
        if (items != NULL && strstr(items, BARRED_DIGEST) != NULL) {
            recorded_after = harness_now_ms() - returned_at;
        }
        harness_sleep_ms(100);
    }
    g_print("figure: %s: recorded after %" G_GINT64_FORMAT " ms\n", name,
            recorded_after);
    g_assert_cmpint(recorded_after, >=, 0);
}

static const struct scenario scenarios[] = {
    {"changes-after-the-return", change_after_return},
    {"changes-after-the-return-without-leases", change_after_return},
    {"copy-is-older", copy_is_older},
    {"model-asked-for-after-the-return", place_after_return},
    {"back-twice-nodes-killed", return_twice},
    {"barred-request-is-recorded-again", lose_crash_record},
};

/* Records a request as barred, which nodes read at their start. */
static void
put_barred_request(const struct harness_fleet *fleet)
{
    g_autofree char *value =
        g_strdup_printf("0000000000000001 %" G_GINT64_FORMAT,
                        g_get_real_time() / G_USEC_PER_SEC);
    g_free(harness_call_control(&fleet->users,
                                "put?key=crashes/" BARRED_DIGEST, value));
}

static struct harness_fleet *
start_fleet(void)
{
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
    };
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    put_config(fleet, FIRST_VERSION, false);
    for (unsigned i = 1; i <= WORKERS; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        harness_users_start_worker(fleet, name, "v1", "m1");
    }
    save_copy(fleet);
    put_barred_request(fleet);
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
    scenario->run(fleet, scenario->name);
    struct harness_users_results results = harness_users_load_stop(run);
    g_print("figure: %s: callers: %u whole, %u rejected, %u other\n",
            scenario->name, results.whole, results.rejected, results.other);
    g_assert_cmpuint(results.whole, >, 0);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "store-return", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
