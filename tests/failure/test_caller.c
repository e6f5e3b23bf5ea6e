/*
 * Guards against a lost response when a caller's open connections stall for
 * good while new ones work.  The caller sees its calls time out and repeats
 * the order over a new connection, at another node.  A keyed order and a
 * stream are in flight when a relay between caller and node stalls both
 * connections; the order's response comes after that.  The response is stored
 * with the key, so the repeat gets it and nothing runs twice; neither call may
 * occupy its upstream for longer than it runs.
 */

#include "harness/harness.h"

enum {
    CALL_TIMEOUT_MS = 1500,
    ORDER_DURATION_MS = 400,
    STALL_AFTER_MS = 150,
    RELEASE_LIMIT_MS = 5000,
    STREAM_TOKENS = 200,
};

/* Thread function: sends one call; returns its struct harness_response. */
static gpointer
run_call(gpointer data)
{
    return harness_call(data);
}

/* Requests running at all upstreams, according to a node's status. */
static int64_t
count_running(const struct harness_node *node)
{
    JsonNode *status = harness_get_status(node);
    g_assert_nonnull(status);
    JsonArray *upstreams = json_object_get_array_member(
        json_node_get_object(status), "upstreams");
    int64_t running = 0;
    for (guint i = 0; i < json_array_get_length(upstreams); i++) {
        running += json_object_get_int_member(
            json_array_get_object_element(upstreams, i), "running");
    }
    json_node_unref(status);
    return running;
}

/* Waits until no request is counted as running, at most RELEASE_LIMIT_MS;
 * returns the time waited in ms. */
static int64_t
wait_for_release(const struct harness_node *node)
{
    int64_t started_at = harness_now_ms();
    while (count_running(node) > 0 &&
           harness_now_ms() - started_at < RELEASE_LIMIT_MS) {
        harness_sleep_ms(20);
    }
    return harness_now_ms() - started_at;
}

static void
test_silent_caller(void)
{
    static const struct harness_fleet_config shape = {
        .node_count = 2, .engine_count = 1, .service_count = 1};
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &shape);
    static const struct harness_call_kind kinds[] = {
        {"advice", "m01", NULL, 1, false, false, 0}};
    harness_warm_up(fleet, kinds, G_N_ELEMENTS(kinds));
    char *target =
        g_strdup_printf("target=%s", fleet->nodes[0].caller_address);
    const char *args[] = {target, NULL};
    struct harness_standin relay = {0};
    harness_standin_start(&relay, fleet->build_directory, "relay", args);
    harness_set_faults(&harness_find_upstream(fleet, "o01")->standin,
                       "slow_ms=%d&slow_next=1", ORDER_DURATION_MS);

    char *body = harness_model_body("m01", STREAM_TOKENS, true, 1);
    struct harness_call order = {.address = relay.address,
                                 .method = "POST",
                                 .path = "/services/orders/jackets",
                                 .class_name = "order",
                                 .caller = "workshop",
                                 .key = "llanelli-9",
                                 .body = "{\"jackets\":9}",
                                 .timeout_ms = CALL_TIMEOUT_MS};
    struct harness_call stream = {.address = relay.address,
                                  .method = "POST",
                                  .path = "/v1/completions",
                                  .class_name = "advice",
                                  .caller = "fitter",
                                  .body = body,
                                  .timeout_ms = CALL_TIMEOUT_MS};
    GThread *threads[] = {g_thread_new("order", run_call, &order),
                          g_thread_new("stream", run_call, &stream)};
    harness_sleep_ms(STALL_AFTER_MS);
    g_free(harness_call_control(&relay, "silence", NULL));

    GPtrArray *answers = g_ptr_array_new();
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        struct harness_response *answer = g_thread_join(threads[i]);
        g_assert_cmpint(answer->curl_code, !=, 0);
        g_ptr_array_add(answers, answer);
    }
    int64_t release_ms = wait_for_release(&fleet->nodes[1]);
    order.address = fleet->nodes[1].caller_address;
    struct harness_response *repeated = harness_call(&order);
    g_ptr_array_add(answers, repeated);
    g_print("figure: silent-caller: places given back %" G_GINT64_FORMAT
            " ms after the caller left, repeat answered with %d\n",
            release_ms, repeated->status);
    g_assert_cmpint(release_ms, <, RELEASE_LIMIT_MS);
    g_assert_true(harness_response_is_correct(repeated));

    struct harness_check_result verdict = {0};
    harness_check_responses(fleet, answers, &verdict);
    harness_assert_guarantees("silent-caller", &verdict);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    harness_standin_stop(&relay);
    g_ptr_array_set_free_func(answers, (GDestroyNotify)harness_response_free);
    g_ptr_array_free(answers, TRUE);
    g_free(target);
    g_free(body);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure/caller/silent", test_silent_caller);
    return g_test_run();
}
