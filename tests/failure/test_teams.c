/*
 * Teams with access keys and quotas, on whole fleets: keys that are wrong,
 * missing or taken away, what one team may reach through another's names, and
 * quotas while nodes are killed.
 */

#include "harness/harness.h"

#include "access/access.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

enum {
    CALL_TIMEOUT_MS = 4000,
    IN_FORCE_LIMIT_MS = 5000,
    QUOTA_PER_S = 10,
    QUOTA_WINDOW_MS = 8000,
    QUOTA_SLACK = 6,
    MAX_CALLS = 4000,
};

static const char bands_key[] = "key-of-the-bands";
static const char studio_key[] = "key-of-the-studio";

/* Appends a team with one key (NULL: none) and further lines. */
static void
append_team(GString *text, const char *name, const char *key,
            const char *lines)
{
    g_string_append_printf(text, "\n[team %s]\n%s", name, lines);
    if (key != NULL) {
        char digest[CH_ACCESS_DIGEST_SIZE];
        ch_access_digest_key(key, digest);
        g_string_append_printf(text, "keys = %s\n", digest);
    }
}

/* Writes the small example with two teams to a new file; returns its path,
 * which the caller removes and frees. */
static char *
write_declaration(const char *key_of_bands, const char *bands_lines)
{
    char *example = NULL;
    char *path = NULL;
    g_assert_true(
        g_file_get_contents("examples/small.ini", &example, NULL, NULL));
    GString *text = g_string_new(example);
    append_team(text, "bands", key_of_bands, bands_lines);
    append_team(text, "studio", studio_key, "");
    int fd = g_file_open_tmp("chestnuthitch-teams-XXXXXX", &path, NULL);
    g_assert_cmpint(fd, >=, 0);
    close(fd);
    g_assert_true(g_file_set_contents(path, text->str, -1, NULL));
    g_string_free(text, TRUE);
    g_free(example);
    return path;
}

static void
remove_file(char *path)
{
    (void)g_unlink(path);
    g_free(path);
}

static struct harness_fleet *
start_fleet(const char *declaration_path, unsigned node_count)
{
    const struct harness_fleet_config shape = {
        .node_count = node_count,
        .engine_count = 1,
        .service_count = 1,
        .declaration_path = declaration_path,
        .settings = {"quota.slack=" G_STRINGIFY(6)},
    };
    return harness_fleet_start(harness_get_build_directory(), &shape);
}

/* Places an order at a node; returns the response. */
static struct harness_response *
place_order(const struct harness_node *node, const char *access_key,
            const char *key, const char *body)
{
    const struct harness_call call = {
        .address = node->caller_address,
        .method = "POST",
        .path = "/services/orders/jackets",
        .class_name = "order",
        .caller = "workshop",
        .access_key = access_key,
        .key = key,
        .body = body,
        .timeout_ms = CALL_TIMEOUT_MS,
    };
    return harness_call(&call);
}

/* Places an order and returns the status alone. */
static int
place_order_status(const struct harness_node *node, const char *access_key,
                   const char *key, const char *body)
{
    struct harness_response *response =
        place_order(node, access_key, key, body);
    int status = response->status;
    harness_response_free(response);
    return status;
}

/* Waits until the node answers an order with the status; false after
 * IN_FORCE_LIMIT_MS. */
static bool
wait_for_status(const struct harness_node *node, const char *access_key,
                int status)
{
    int64_t begun = harness_now_ms();
    while (harness_now_ms() - begun < IN_FORCE_LIMIT_MS) {
        if (place_order_status(node, access_key, NULL, "{\"wait\":1}") ==
            status) {
            return true;
        }
        harness_sleep_ms(20);
    }
    return false;
}

/* The number of runs at the service by a team; fails if any run carried a
 * credential. */
static unsigned
count_runs(struct harness_fleet *fleet, const char *team)
{
    JsonNode *record =
        harness_get_record(&harness_find_upstream(fleet, "o01")->standin);
    JsonArray *runs =
        json_object_get_array_member(json_node_get_object(record), "runs");
    unsigned count = 0;
    for (guint i = 0; i < json_array_get_length(runs); i++) {
        JsonObject *run = json_array_get_object_element(runs, i);
        g_assert_false(json_object_get_boolean_member(run, "has_credential"));
        count += strcmp(json_object_get_string_member(run, "team"), team) == 0;
    }
    json_node_unref(record);
    return count;
}

/* Fails if a key is in what a node logged or shows. */
static void
check_keys_hidden(struct harness_fleet *fleet)
{
    static const char *const paths[] = {"/admin/v1/status", "/admin/v1/config",
                                        "/metrics"};
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_autofree char *log = NULL;
        g_assert_true(
            g_file_get_contents(fleet->nodes[i].log_path, &log, NULL, NULL));
        g_assert_null(strstr(log, "key-of-the"));
        for (size_t j = 0; j < G_N_ELEMENTS(paths); j++) {
            g_autofree char *body = NULL;
            (void)harness_get(fleet->nodes[i].admin_address, paths[j], &body);
            g_assert_nonnull(body);
            g_assert_null(strstr(body, "key-of-the"));
        }
    }
}

/* ---- keys ---- */

/* Guards against requests that run without a valid key, and against a key
 * that reaches an upstream, a log or an operator's page. */
static void
test_wrong_keys(void)
{
    static const char *const wrong[] = {NULL, "", "key-of-the-band",
                                        "key-of-the-bandss", "key of x"};
    char *path = write_declaration(bands_key, "");
    struct harness_fleet *fleet = start_fleet(path, 2);
    g_assert_true(wait_for_status(&fleet->nodes[0], bands_key, 200));
    unsigned before = count_runs(fleet, "bands");
    for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
        g_assert_cmpint(place_order_status(&fleet->nodes[i % 2], wrong[i],
                                           NULL, "{\"jackets\":1}"),
                        ==, 401);
    }
    g_assert_cmpuint(count_runs(fleet, "bands"), ==, before);
    g_assert_cmpuint(count_runs(fleet, ""), ==, 0);
    check_keys_hidden(fleet);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    remove_file(path);
}

/* Guards against one team getting the response, or the refusal, of another
 * one's request by repeating its idempotency key and caller. */
static void
test_records_of_teams(void)
{
    char *path = write_declaration(bands_key, "");
    struct harness_fleet *fleet = start_fleet(path, 2);
    g_assert_true(wait_for_status(&fleet->nodes[0], bands_key, 200));
    unsigned bands = count_runs(fleet, "bands");
    g_assert_cmpint(place_order_status(&fleet->nodes[0], bands_key, "order-1",
                                       "{\"jackets\":1}"),
                    ==, 200);
    g_assert_cmpint(place_order_status(&fleet->nodes[1], bands_key, "order-1",
                                       "{\"jackets\":1}"),
                    ==, 200);
    g_assert_cmpuint(count_runs(fleet, "bands"), ==, bands + 1);
    /* The same key and body, and then another body, of another team. */
    g_assert_cmpint(place_order_status(&fleet->nodes[1], studio_key, "order-1",
                                       "{\"jackets\":1}"),
                    ==, 200);
    g_assert_cmpuint(count_runs(fleet, "studio"), ==, 1);
    g_assert_cmpint(place_order_status(&fleet->nodes[0], studio_key, "order-1",
                                       "{\"jackets\":2}"),
                    ==, 422);
    g_assert_cmpint(place_order_status(&fleet->nodes[1], bands_key, "order-1",
                                       "{\"jackets\":1}"),
                    ==, 200);
    g_assert_cmpuint(count_runs(fleet, "bands"), ==, bands + 1);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    remove_file(path);
}

static gpointer
run_slow_order(gpointer data)
{
    return place_order(data, bands_key, "slow-order", "{\"slow\":1}");
}

/* Guards against a key that still works after it was taken away, also at a
 * node that was paused over the change or has just started; a request that was
 * running is answered. */
static void
test_key_taken_away(void)
{
    char *path = write_declaration(bands_key, "");
    char *without = write_declaration(NULL, "");
    struct harness_fleet *fleet = start_fleet(path, 3);
    g_assert_true(wait_for_status(&fleet->nodes[0], bands_key, 200));
    harness_set_faults(&harness_find_upstream(fleet, "o01")->standin,
                       "slow_ms=900&slow_next=1");
    GThread *slow = g_thread_new("slow", run_slow_order, &fleet->nodes[0]);
    harness_sleep_ms(300);
    harness_node_signal(&fleet->nodes[1], SIGSTOP);
    harness_node_signal(&fleet->nodes[2], SIGKILL);
    g_autofree char *output = NULL;
    g_assert_cmpint(
        harness_apply_config(fleet, &fleet->nodes[0], without, &output), ==,
        0);
    harness_node_start(fleet, &fleet->nodes[2]);
    harness_node_signal(&fleet->nodes[1], SIGCONT);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_assert_true(wait_for_status(&fleet->nodes[i], bands_key, 401));
        g_assert_true(wait_for_status(&fleet->nodes[i], studio_key, 200));
        g_assert_cmpint(place_order_status(&fleet->nodes[i], bands_key, NULL,
                                           "{\"late\":1}"),
                        ==, 401);
    }
    struct harness_response *running = g_thread_join(slow);
    g_assert_cmpint(running->status, ==, 200);
    harness_response_free(running);
    /* Added again. */
    g_free(g_steal_pointer(&output));
    g_assert_cmpint(
        harness_apply_config(fleet, &fleet->nodes[2], path, &output), ==, 0);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_assert_true(wait_for_status(&fleet->nodes[i], bands_key, 200));
    }
    check_keys_hidden(fleet);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    remove_file(path);
    remove_file(without);
}

/* ---- quotas ---- */

/* The most calls with status 200 that were sent within one window. */
static unsigned
count_largest_window(const int64_t *sent_at_ms, unsigned count)
{
    unsigned largest = 0;
    unsigned first = 0;
    for (unsigned i = 0; i < count; i++) {
        while (sent_at_ms[i] - sent_at_ms[first] >= QUOTA_WINDOW_MS) {
            first++;
        }
        largest = MAX(largest, i - first + 1);
    }
    return largest;
}

/* Guards against a quota that is spent more than once, by several nodes or by
 * processes that were killed and started again, and against a team without a
 * quota being refused beside it. */
static void
test_quota_over_kills(void)
{
    enum {
        PLAYED_MS = 12 * 1000,
        KILL_EVERY_MS = 3000
    };
    static int64_t sent_at_ms[MAX_CALLS];
    unsigned admitted = 0;
    unsigned refused = 0;
    unsigned others = 0;
    char *path = write_declaration(
        bands_key, "quota-per-s = " G_STRINGIFY(10) "\nquota-burst = 10\n");
    struct harness_fleet *fleet = start_fleet(path, 4);
    g_assert_true(wait_for_status(&fleet->nodes[0], studio_key, 200));
    harness_sleep_ms(2000);
    int64_t begun = harness_now_ms();
    int64_t next_kill = begun + KILL_EVERY_MS;
    for (unsigned i = 0; harness_now_ms() - begun < PLAYED_MS; i++) {
        struct harness_node *node = &fleet->nodes[i % fleet->node_count];
        int64_t now = harness_now_ms();
        struct harness_response *response =
            place_order(node, bands_key, NULL, "{\"jackets\":1}");
        if (response->status == 200 && admitted < MAX_CALLS) {
            sent_at_ms[admitted++] = now;
        }
        if (response->status == 429) {
            g_assert_cmpint(response->error_code, ==, CH_QUOTA_USED);
            g_assert_true(response->has_retry_after);
            g_assert_cmpstr(response->outcome, ==, "not-run");
            refused++;
        }
        harness_response_free(response);
        if (i % 16 == 0) {
            others += place_order_status(node, studio_key, NULL,
                                         "{\"jackets\":2}") == 429;
        }
        if (now >= next_kill) {
            next_kill += KILL_EVERY_MS;
            harness_node_signal(node, SIGKILL);
            harness_node_start(fleet, node);
        }
        harness_sleep_ms(5);
    }
    unsigned largest = count_largest_window(sent_at_ms, admitted);
    double limit =
        (QUOTA_PER_S * QUOTA_WINDOW_MS / 1000. + QUOTA_PER_S) * 1.1 +
        QUOTA_SLACK;
    g_print("figure: quota over kills: %u admitted, %u refused, %u at most in "
            "a window of %.0f\n",
            admitted, refused, largest, limit);
    g_assert_cmpfloat(largest, <=, limit);
    g_assert_cmpuint(refused, >, 0);
    g_assert_cmpuint(others, ==, 0);
    /* Half of the quota at least is used. */
    g_assert_cmpuint(admitted, >=, QUOTA_PER_S * PLAYED_MS / 1000 / 2);
    check_keys_hidden(fleet);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    remove_file(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure/teams/wrong-keys", test_wrong_keys);
    g_test_add_func("/failure/teams/records", test_records_of_teams);
    g_test_add_func("/failure/teams/key-taken-away", test_key_taken_away);
    g_test_add_func("/failure/teams/quota-over-kills", test_quota_over_kills);
    return g_test_run();
}
