/*
 * All nodes die at once, as when a site loses power.  What the caller sees:
 * refused connections, then "not ready", then service within seconds; with the
 * key-value service down too, "not ready" until it is back.  Order: SIGKILL of
 * every node, new processes that know nothing, the service comes back.  Why:
 * no node keeps anything, the configuration is in the key-value service alone,
 * and a node that has none says so and serves nobody.
 */

#include "harness/harness.h"

#include <signal.h>

static const struct harness_shape shape = {
    .nodes = 5, .engines = 2, .services = 1};

/* Kills every node and starts as many new ones. */
static void
replace_all(struct harness_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_kill(&fleet->nodes[i], SIGKILL);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
}

/* Waits until every node is ready and serves; the time since begun. */
static void
wait_served(struct harness_fleet *fleet, const char *name, int64_t begun)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_assert_true(
            harness_node_wait(&fleet->nodes[i], true, HARNESS_READY_MS));
    }
    int64_t ready = harness_now() - begun;
    harness_warm_up(fleet, harness_kinds, HARNESS_KINDS);
    g_print("figure: %s: all ready after %" G_GINT64_FORMAT
            " ms, every class served by every node after %" G_GINT64_FORMAT
            " ms\n",
            name, ready, harness_now() - begun);
    g_assert_cmpint(ready, <=, 5000);
}

/* With the service up. */
static void
test_all_at_once(void)
{
    struct harness_fleet *fleet = harness_fleet_start(harness_build(), &shape);
    harness_warm_up(fleet, harness_kinds, HARNESS_KINDS);
    uint64_t revision = harness_revision(&fleet->nodes[0]);
    replace_all(fleet);
    wait_served(fleet, "all-at-once", harness_now());
    g_assert_cmpuint(harness_revision(&fleet->nodes[4]), ==, revision);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

/* With the service down: not ready, said clearly, until it is back. */
static void
test_all_at_once_kv_down(void)
{
    struct harness_fleet *fleet = harness_fleet_start(harness_build(), &shape);
    harness_warm_up(fleet, harness_kinds, HARNESS_KINDS);
    uint64_t revision = harness_revision(&fleet->nodes[0]);
    harness_set(&fleet->kv, "down=1");
    replace_all(fleet);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        g_assert_true(
            harness_node_wait(&fleet->nodes[i], false, HARNESS_READY_MS));
        char *body = harness_model_body("m01", 2, false, i);
        struct harness_call call = {.address = fleet->nodes[i].caller_address,
                                    .method = "POST",
                                    .path = "/v1/completions",
                                    .class_name = "advice",
                                    .body = body,
                                    .limit_ms = 2000};
        struct harness_answer *answer = harness_call(&call);
        g_assert_cmpint(answer->status, ==, 503);
        g_assert_cmpint(answer->code, ==, CH_NOT_READY);
        g_assert_cmpstr(answer->outcome, ==, "not-run");
        g_assert_true(answer->retry_after);
        harness_answer_free(answer);
        g_free(body);
    }
    harness_sleep(1500);
    g_assert_false(harness_node_wait(&fleet->nodes[0], true, 100));
    harness_set(&fleet->kv, "down=0");
    wait_served(fleet, "all-at-once-kv-down", harness_now());
    g_assert_cmpuint(harness_revision(&fleet->nodes[4]), ==, revision);
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
