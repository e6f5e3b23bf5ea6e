/*
 * A caller's connection that goes silent for good while new ones work.  What
 * the caller sees: nothing more on it, so it asks again by a new connection.
 * Order: a keyed order and a stream are on their way, something between caller
 * and node loses track of both, the order's answer comes, the caller repeats
 * the order at another node.  Why: the first answer is kept with the key, so
 * the repeat gets it and nothing runs twice; and neither call holds its place
 * at the upstream for longer than it runs.
 */

#include "harness/harness.h"

enum {
    CALL_LIMIT_MS = 1500,
    ORDER_MS = 400,
    SILENT_AT_MS = 150,
    GIVEN_BACK_MS = 5000,
    STREAM_TOKENS = 200,
};

/* Sends one call, for a thread. */
static gpointer
run_call(gpointer data)
{
    return harness_call(data);
}

/* Requests that run at the upstreams, by a node's status. */
static int64_t
running_at(const struct harness_node *node)
{
    JsonNode *status = harness_status(node);
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

/* Milliseconds until nothing is counted as running any more. */
static int64_t
time_to_give_back(const struct harness_node *node)
{
    int64_t begun = harness_now();
    while (running_at(node) > 0 && harness_now() - begun < GIVEN_BACK_MS) {
        harness_sleep(20);
    }
    return harness_now() - begun;
}

static void
test_silent_caller(void)
{
    static const struct harness_shape shape = {
        .nodes = 2, .engines = 1, .services = 1};
    struct harness_fleet *fleet = harness_fleet_start(harness_build(), &shape);
    static const struct harness_kind kinds[] = {
        {"advice", "m01", NULL, 1, false, false, 0}};
    harness_warm_up(fleet, kinds, G_N_ELEMENTS(kinds));
    char *target =
        g_strdup_printf("target=%s", fleet->nodes[0].caller_address);
    const char *args[] = {target, NULL};
    struct harness_standin relay = {0};
    harness_standin_start(&relay, fleet->build, "relay", args);
    harness_set(&harness_find_upstream(fleet, "o01")->standin,
                "slow_ms=%d&slow_next=1", ORDER_MS);

    char *body = harness_model_body("m01", STREAM_TOKENS, true, 1);
    struct harness_call order = {.address = relay.address,
                                 .method = "POST",
                                 .path = "/services/orders/jackets",
                                 .class_name = "order",
                                 .caller = "workshop",
                                 .key = "llanelli-9",
                                 .body = "{\"jackets\":9}",
                                 .limit_ms = CALL_LIMIT_MS};
    struct harness_call stream = {.address = relay.address,
                                  .method = "POST",
                                  .path = "/v1/completions",
                                  .class_name = "advice",
                                  .caller = "fitter",
                                  .body = body,
                                  .limit_ms = CALL_LIMIT_MS};
    GThread *threads[] = {g_thread_new("order", run_call, &order),
                          g_thread_new("stream", run_call, &stream)};
    harness_sleep(SILENT_AT_MS);
    g_free(harness_control(&relay, "silence", NULL));

    GPtrArray *answers = g_ptr_array_new();
    for (size_t i = 0; i < G_N_ELEMENTS(threads); i++) {
        struct harness_answer *answer = g_thread_join(threads[i]);
        g_assert_cmpint(answer->curl, !=, 0);
        g_ptr_array_add(answers, answer);
    }
    int64_t given_back = time_to_give_back(&fleet->nodes[1]);
    order.address = fleet->nodes[1].caller_address;
    struct harness_answer *again = harness_call(&order);
    g_ptr_array_add(answers, again);
    g_print("figure: silent-caller: places given back %" G_GINT64_FORMAT
            " ms after the caller left, repeat answered with %d\n",
            given_back, again->status);
    g_assert_cmpint(given_back, <, GIVEN_BACK_MS);
    g_assert_true(harness_answer_good(again));

    struct harness_verdict verdict = {0};
    harness_check(fleet, answers, &verdict);
    harness_assert("silent-caller", &verdict);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    harness_standin_stop(&relay);
    g_ptr_array_set_free_func(answers, (GDestroyNotify)harness_answer_free);
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
