/*
 * Guards against an upstream that has named a limit getting more calls than it
 * takes: of callers' requests, second attempts, reports and orders together,
 * from all nodes together, also while nodes are killed, stand still or are cut
 * off. The upstream's own record of arrivals is the judge.
 */

#include "harness/harness.h"

#include <signal.h>
#include <string.h>

enum {
    /* An upstream that names L calls a second may get 1.5 times as many and
     * SLACK_CALLS more in any WINDOW_MS, from SETTLE_MS after it began. */
    WINDOW_MS = 4000,
    SETTLE_MS = 4000,
    SLACK_CALLS = 5,
    /* Calls on their way when the limit is first named, and those of nodes
     * that hear of it only now, are not counted. */
    TOLD_MS = 1000,
    NODES = 7,
    /* A relay stalls the connections that are open; new ones are stalled in
     * the next round. */
    CUT_ROUNDS = 17,
    CUT_ROUND_MS = 200,
};

static const double OVERSHOOT = 1.5;

/* Streams of one engine, and calls of a plain service. */
static const struct harness_call_kind engine_kinds[] = {
    {"advice", "m01", NULL, 5, true, false, 2000},
};
static const struct harness_call_kind service_kinds[] = {
    {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

/* The upstream that names a limit: the first one of the fleet with the mode of
 * the scenario's calls. */
static struct harness_upstream *
find_limited(const struct harness_scenario_state *scene)
{
    bool is_service = scene->scenario->kinds == service_kinds;
    for (unsigned i = 0; i < scene->fleet->upstream_count; i++) {
        struct harness_upstream *upstream = &scene->fleet->upstreams[i];
        if ((upstream->service != NULL) == is_service) {
            return upstream;
        }
    }
    g_assert_not_reached();
}

static void
set_limit(struct harness_scenario_state *scene, int millis)
{
    harness_set_faults(&find_limited(scene)->standin, "limit_millis=%d",
                       millis);
}

/* The arrivals at the limited upstream, in milliseconds; to be freed. */
static GArray *
read_arrivals(const struct harness_scenario_state *scene)
{
    JsonNode *record = harness_get_record(&find_limited(scene)->standin);
    JsonArray *arrivals =
        json_object_get_array_member(json_node_get_object(record), "arrivals");
    GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < json_array_get_length(arrivals); i++) {
        int64_t at = json_array_get_int_element(arrivals, i);
        g_array_append_val(times, at);
    }
    json_node_unref(record);
    return times;
}

/* Arrivals after `from` and until `to`. */
static unsigned
count_arrivals(const GArray *times, int64_t from, int64_t to)
{
    unsigned count = 0;
    for (guint i = 0; i < times->len; i++) {
        int64_t at = g_array_index(times, int64_t, i);
        count += at > from && at <= to ? 1 : 0;
    }
    return count;
}

/* The most arrivals in a window that ends while the limit holds. */
static unsigned
find_most_arrivals(const struct harness_scenario_state *scene,
                   const GArray *times)
{
    unsigned most = 0;
    for (guint i = 0; i < times->len; i++) {
        int64_t at = g_array_index(times, int64_t, i);
        if (at >= scene->fault_begun_ms + SETTLE_MS &&
            at <= scene->fault_ended_ms) {
            int64_t from =
                MAX(at - WINDOW_MS, scene->fault_begun_ms + TOLD_MS);
            most = MAX(most, count_arrivals(times, from, at));
        }
    }
    return most;
}

/* Checks the bound, and that the upstream stays reachable. */
static void
check_bound(const struct harness_scenario_state *scene, double per_s)
{
    GArray *times = read_arrivals(scene);
    unsigned most = find_most_arrivals(scene, times);
    unsigned used = count_arrivals(times, scene->fault_begun_ms + SETTLE_MS,
                                   scene->fault_ended_ms);
    double allowed = OVERSHOOT * per_s * WINDOW_MS / 1000 + SLACK_CALLS;
    g_print("figure: %s limit %.1f/s, most in 4 s %u of %.1f, %u in "
            "%" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, per_s, most, allowed, used,
            scene->fault_ended_ms - scene->fault_begun_ms - SETTLE_MS);
    g_assert_cmpfloat(most, <=, allowed);
    g_assert_cmpuint(used, >, 0);
    g_array_free(times, TRUE);
}

/* What is rejected because of a limit says when to return. */
static void
check_refusals(const struct harness_scenario_state *scene)
{
    for (guint i = 0; i < scene->responses->len; i++) {
        const struct harness_response *response =
            g_ptr_array_index(scene->responses, i);
        if (response->status == 503) {
            g_assert_cmpstr(response->outcome, ==, "not-run");
            g_assert_true(response->has_retry_after);
            g_assert_cmpint(response->ended_at_ms - response->sent_at_ms, <,
                            1000);
        }
    }
}

/* ---- one of two plain services names a limit ---- */

static void
limit_to_1_1(struct harness_scenario_state *scene)
{
    set_limit(scene, 1100);
}

static void
lift(struct harness_scenario_state *scene)
{
    set_limit(scene, 0);
}

static void
check_1_1(struct harness_scenario_state *scene)
{
    check_bound(scene, 1.1);
}

/* ---- the only engine names a limit ---- */

static void
limit_to_2(struct harness_scenario_state *scene)
{
    set_limit(scene, 2000);
}

static void
check_2_alone(struct harness_scenario_state *scene)
{
    check_bound(scene, 2);
    check_refusals(scene);
    GArray *times = read_arrivals(scene);
    unsigned after = count_arrivals(times, scene->fault_ended_ms + 2000,
                                    scene->fault_ended_ms + 4000);
    g_print("figure: %s %u calls in 2 s after the limit's end\n",
            scene->scenario->name, after);
    g_assert_cmpuint(after, >, 8);
    g_array_free(times, TRUE);
}

/* ---- nodes fail while the limit holds ---- */

static void
limit_and_lose_nodes(struct harness_scenario_state *scene)
{
    struct harness_fleet *fleet = scene->fleet;
    set_limit(scene, 1100);
    harness_sleep_ms(2500);
    harness_node_signal(&fleet->nodes[0], SIGKILL);
    harness_node_signal(&fleet->nodes[1], SIGSTOP);
    for (int i = 0; i < CUT_ROUNDS; i++) {
        g_free(harness_call_control(&fleet->nodes[2].relay, "silence", NULL));
        harness_sleep_ms(CUT_ROUND_MS);
    }
    harness_node_signal(&fleet->nodes[1], SIGCONT);
    harness_node_start(fleet, &fleet->nodes[0]);
    harness_sleep_ms(1500);
    harness_node_signal(&fleet->nodes[3], SIGTERM);
}

/* ---- values that can't be read ---- */

static void
name_garbage(struct harness_scenario_state *scene)
{
    harness_set_faults(&find_limited(scene)->standin, "limit_garbage=1");
}

static void
name_nothing(struct harness_scenario_state *scene)
{
    harness_set_faults(&find_limited(scene)->standin, "limit_garbage=0");
}

#define LIMITS_NONE                                                           \
    {                                                                         \
        HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,              \
            HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,          \
            HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED           \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "one-service-of-two",
     .fleet_config = {.node_count = NODES,
                      .engine_count = 1,
                      .service_count = 2},
     .kinds = service_kinds,
     .kind_count = G_N_ELEMENTS(service_kinds),
     .before_ms = 1000,
     .fault_ms = 10000,
     .after_ms = 1000,
     .begin_fault = limit_to_1_1,
     .end_fault = lift,
     .check = check_1_1,
     .limits = {HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0, 0,
                HARNESS_UNBOUNDED, 0, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED}},
    {.name = "only-engine",
     .fleet_config = {.node_count = NODES,
                      .engine_count = 1,
                      .service_count = 1},
     .kinds = engine_kinds,
     .kind_count = G_N_ELEMENTS(engine_kinds),
     .before_ms = 1000,
     .fault_ms = 12000,
     .after_ms = 6000,
     .begin_fault = limit_to_2,
     .end_fault = lift,
     .check = check_2_alone,
     .limits = {HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0,
                HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,
                HARNESS_UNBOUNDED}},
    {.name = "nodes-lost-and-paused",
     .fleet_config = {.node_count = NODES,
                      .engine_count = 1,
                      .service_count = 2,
                      .use_relays = true},
     .kinds = service_kinds,
     .kind_count = G_N_ELEMENTS(service_kinds),
     .before_ms = 1000,
     .fault_ms = 10000,
     .after_ms = 1000,
     .begin_fault = limit_and_lose_nodes,
     .end_fault = lift,
     .check = check_1_1,
     .limits = LIMITS_NONE},
    {.name = "values-that-cannot-be-read",
     .fleet_config = {.node_count = NODES,
                      .engine_count = 1,
                      .service_count = 1},
     .kinds = service_kinds,
     .kind_count = G_N_ELEMENTS(service_kinds),
     .before_ms = 1000,
     .fault_ms = 2000,
     .after_ms = 1000,
     .begin_fault = name_garbage,
     .end_fault = name_nothing,
     .limits = {HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0, 0, 0, 0,
                HARNESS_UNBOUNDED, HARNESS_UNBOUNDED}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "limit", scenarios,
                        G_N_ELEMENTS(scenarios));
}
