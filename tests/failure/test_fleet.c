/*
 * Guards against nodes that cannot restart when all of them die at once, as
 * when a site loses power.  The caller sees refused connections, then "not
 * ready", then service within seconds; if the key-value store is down too,
 * "not ready" until it is back.  Every node gets SIGKILL, new processes
 * without any state start, and the store comes back.  No node stores anything,
 * the configuration is in the key-value store alone, and a node without one
 * says so and serves nobody.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_fleet_config shape = {
    .node_count = 5, .engine_count = 2, .service_count = 1};

/* Kills every node, then starts each as a new process. */
static void
replace_all(struct harness_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_signal(&fleet->nodes[i], SIGKILL);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
}

/* Waits until every node is ready and serves every class; prints the times
 * since started_at and checks that all nodes were ready within 5000 ms. */
static void
wait_until_served(struct harness_fleet *fleet, const char *name,
                  int64_t started_at)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_assert_true(harness_node_wait_ready(&fleet->nodes[i], true,
                                              HARNESS_READY_TIMEOUT_MS));
    }
    int64_t ready = harness_now_ms() - started_at;
    harness_warm_up(fleet, harness_default_kinds, HARNESS_DEFAULT_KIND_COUNT);
    g_print("figure: %s: all ready after %" G_GINT64_FORMAT
            " ms, every class served by every node after %" G_GINT64_FORMAT
            " ms\n",
            name, ready, harness_now_ms() - started_at);
    g_assert_cmpint(ready, <=, 5000);
}

/* The key-value store is up. */
static void
test_all_at_once(void)
{
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &shape);
    harness_warm_up(fleet, harness_default_kinds, HARNESS_DEFAULT_KIND_COUNT);
    uint64_t revision = harness_get_revision(&fleet->nodes[0]);
    replace_all(fleet);
    wait_until_served(fleet, "all-at-once", harness_now_ms());
    g_assert_cmpuint(harness_get_revision(&fleet->nodes[4]), ==, revision);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

/* The key-value store is down: each call is refused as not ready, with
 * Retry-After, until the store is back. */
static void
test_all_at_once_kv_down(void)
{
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &shape);
    harness_warm_up(fleet, harness_default_kinds, HARNESS_DEFAULT_KIND_COUNT);
    uint64_t revision = harness_get_revision(&fleet->nodes[0]);
    harness_set_faults(&fleet->kv, "down=1");
    replace_all(fleet);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_assert_true(harness_node_wait_ready(&fleet->nodes[i], false,
                                              HARNESS_READY_TIMEOUT_MS));
        char *body = harness_model_body("m01", 2, false, i);
        struct harness_call call = {.address = fleet->nodes[i].caller_address,
                                    .method = "POST",
                                    .path = "/v1/completions",
                                    .class_name = "advice",
                                    .body = body,
                                    .timeout_ms = 2000};
        struct harness_response *answer = harness_call(&call);
        g_assert_cmpint(answer->status, ==, 503);
        g_assert_cmpint(answer->error_code, ==, CH_NOT_READY);
        g_assert_cmpstr(answer->outcome, ==, "not-run");
        g_assert_true(answer->has_retry_after);
        harness_response_free(answer);
        g_free(body);
    }
    harness_sleep_ms(1500);
    g_assert_false(harness_node_wait_ready(&fleet->nodes[0], true, 100));
    harness_set_faults(&fleet->kv, "down=0");
    wait_until_served(fleet, "all-at-once-kv-down", harness_now_ms());
    g_assert_cmpuint(harness_get_revision(&fleet->nodes[4]), ==, revision);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure/fleet/all-at-once", test_all_at_once);
    g_test_add_func("/failure/fleet/all-at-once-kv-down",
                    test_all_at_once_kv_down);
    return g_test_run();
}
