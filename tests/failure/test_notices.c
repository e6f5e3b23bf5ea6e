/*
 * Guards against a node that goes on calling an upstream whose response said
 * that it leaves, or asked the node to wait: the responses are the only news
 * while the store is silent. The upstreams' own record is the judge.
 */

#include "harness/harness.h"

#include <signal.h>
#include <string.h>

enum {
    NODES = 7,
    WORKERS = 4,
    CALLERS = 48,
    EVENTS = 20, /* at 20 ms each */
    ANSWER_MS = 100,
    DEADLINE_MS = 6 * 1000,
    MAX_PAUSE_MS = 300,
    WARM_UP_MS = 2000,
    DRAIN_MS = 3000, /* from a response until no request may follow */
    WAIT_MS = 3000,
    IN_FLIGHT_MS = 500, /* from a rejection until the wait counts */
    MAX_CALLS_IN_WAIT = 2,
    MIN_SERVED_PERCENT = 90,
};

static const char *const models[] = {"m1", "m2", NULL};

struct scenario {
    const char *name;
    void (*faults)(struct harness_fleet *fleet);
    bool is_plain;
    bool all_wait; /* no upstream takes requests for a time */
    unsigned lost; /* the first nodes, whose calls are not judged */
};

/* ---- faults ---- */

static void
cut_store(const struct harness_fleet *fleet, const char *form)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_users_cut_store(&fleet->nodes[i], form);
    }
}

/* One upstream leaves, and a second one of the same models later. */
static void
leave(struct harness_fleet *fleet)
{
    cut_store(fleet, "silent");
    harness_sleep_ms(500);
    harness_users_change_worker(fleet, "e1", "leave");
    harness_sleep_ms(2000);
    harness_users_change_worker(fleet, "e2", "leave");
    harness_sleep_ms(6000);
    cut_store(fleet, "none");
}

static void
leave_and_lose_nodes(struct harness_fleet *fleet)
{
    harness_node_signal(&fleet->nodes[0], SIGKILL);
    harness_node_signal(&fleet->nodes[1], SIGSTOP);
    harness_users_cut_peers(&fleet->nodes[2], "silent");
    cut_store(fleet, "silent");
    harness_sleep_ms(500);
    harness_users_change_worker(fleet, "e1", "leave");
    harness_sleep_ms(2500);
    harness_node_signal(&fleet->nodes[1], SIGCONT);
    harness_sleep_ms(5000);
    harness_users_cut_peers(&fleet->nodes[2], "none");
    cut_store(fleet, "none");
    harness_node_start(fleet, &fleet->nodes[0]);
}

static void
set_wait(struct harness_fleet *fleet, unsigned from, unsigned to, int ms)
{
    for (unsigned i = from; i <= to; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        g_autofree char *action = g_strdup_printf("wait&ms=%d", ms);
        harness_users_change_worker(fleet, name, action);
    }
}

/* Two upstreams ask to wait, for longer than one wait lasts. */
static void
wait_two(struct harness_fleet *fleet)
{
    set_wait(fleet, 1, 2, WAIT_MS);
    harness_sleep_ms(9000);
    set_wait(fleet, 1, 2, 0);
    harness_sleep_ms(1000);
}

static void
wait_all(struct harness_fleet *fleet)
{
    set_wait(fleet, 1, WORKERS, WAIT_MS);
    harness_sleep_ms(6000);
    set_wait(fleet, 1, WORKERS, 0);
    harness_sleep_ms(WAIT_MS + 2000);
}

static const struct scenario scenarios[] = {
    {"leaves-store-silent", leave, false, false, 0},
    {"service-leaves-store-silent", leave, true, false, 0},
    {"leaves-nodes-lost", leave_and_lose_nodes, false, false, 3},
    {"two-ask-to-wait", wait_two, false, false, 0},
    {"two-of-a-service-ask-to-wait", wait_two, true, false, 0},
    {"all-ask-to-wait", wait_all, false, true, 0},
};

/* ---- the upstreams' own record ---- */

struct call {
    int64_t at_ms;
    const char *worker;
    const char *sender; /* a node's name; "": the node that orders */
    int64_t wait_ms;
};

/* Calls to workers that said that they leave, or asked to wait. */
static GArray *
read_calls(const struct harness_fleet *fleet, JsonNode *record)
{
    GArray *calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    JsonArray *rows = json_object_get_array_member(
        json_node_get_object(record), "noticed_calls");
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        const char *id = json_object_get_string_member(row, "request_id");
        struct call call = {
            .at_ms = json_object_get_int_member(row, "at_ms"),
            .worker = json_object_get_string_member(row, "worker"),
            .sender = "",
            .wait_ms = json_object_get_int_member(row, "wait_ms"),
        };
        for (unsigned j = 0; j < fleet->node_count; j++) {
            const char *name = fleet->nodes[j].name;
            if (g_str_has_prefix(id, name) && id[strlen(name)] == '-') {
                call.sender = name;
            }
        }
        g_array_append_val(calls, call);
    }
    return calls;
}

static bool
is_same_pair(const struct call *a, const struct call *b)
{
    return strcmp(a->worker, b->worker) == 0 &&
           strcmp(a->sender, b->sender) == 0;
}

static bool
is_judged(const struct scenario *scenario, const struct harness_fleet *fleet,
          const struct call *call)
{
    for (unsigned i = 0; i < scenario->lost; i++) {
        if (strcmp(call->sender, fleet->nodes[i].name) == 0) {
            return false;
        }
    }
    return true;
}

/* Requests of a node later than DRAIN_MS after the first response that told it
 * that the upstream leaves. Orders and reports are not counted. */
static unsigned
count_late(const struct scenario *scenario, const struct harness_fleet *fleet,
           const GArray *calls)
{
    unsigned late = 0;
    for (guint i = 0; i < calls->len; i++) {
        const struct call *call = &g_array_index(calls, struct call, i);
        const struct call *first = call;
        for (guint j = i; j > 0; j--) {
            const struct call *earlier =
                &g_array_index(calls, struct call, j - 1);
            first = is_same_pair(earlier, call) ? earlier : first;
        }
        late += call->wait_ms == 0 && call->sender[0] != '\0' &&
                is_judged(scenario, fleet, call) &&
                call->at_ms > first->at_ms + DRAIN_MS;
    }
    return late;
}

/* The most calls of a node in a wait that it was asked for. */
static unsigned
find_most_in_wait(const GArray *calls)
{
    unsigned most = 0;
    for (guint i = 0; i < calls->len; i++) {
        const struct call *rejection = &g_array_index(calls, struct call, i);
        unsigned count = 0;
        for (guint j = i + 1; j < calls->len; j++) {
            const struct call *call = &g_array_index(calls, struct call, j);
            count += is_same_pair(call, rejection) &&
                     call->at_ms > rejection->at_ms + IN_FLIGHT_MS &&
                     call->at_ms < rejection->at_ms + rejection->wait_ms;
        }
        most = MAX(most, count);
    }
    return most;
}

/* ---- runs ---- */

static struct harness_fleet *
start_fleet(const struct scenario *scenario)
{
    const struct harness_fleet_config shape = {
        .users_platform = true,
        .node_count = NODES,
    };
    struct harness_fleet *fleet =
        harness_fleet_prepare(harness_get_build_directory(), &shape);
    harness_set_faults(&fleet->users, "answer_ms=%d", ANSWER_MS);
    const struct harness_users_config config = {.orders = "safe"};
    harness_users_put_standard_config(fleet, &config);
    for (unsigned i = 1; i <= WORKERS; i++) {
        g_autofree char *name = g_strdup_printf("e%u", i);
        if (scenario->is_plain) {
            harness_users_start_service(fleet, name);
        }
        else {
            harness_users_start_worker(fleet, name, "v1", "m1,m2");
        }
    }
    harness_users_start_nodes(fleet);
    return fleet;
}

static void
check(const struct scenario *scenario, const struct harness_fleet *fleet,
      const struct harness_users_results *results)
{
    JsonNode *record = harness_get_record(&fleet->users);
    GArray *calls = read_calls(fleet, record);
    unsigned late = count_late(scenario, fleet, calls);
    unsigned most = find_most_in_wait(calls);
    unsigned all = results->whole + results->rejected + results->other;
    g_print(
        "figure: %s: %u calls to noticed upstreams, %u after the drain, "
        "most in a wait %u of %d; callers: %u whole, %u rejected (%u late, "
        "%u without a time), %u other\n",
        scenario->name, calls->len, late, most, MAX_CALLS_IN_WAIT,
        results->whole, results->rejected, results->rejected_late,
        results->rejected_without_time, results->other);
    g_array_free(calls, TRUE);
    json_node_unref(record);
    g_assert_cmpuint(late, ==, 0);
    g_assert_cmpuint(most, <=, MAX_CALLS_IN_WAIT);
    g_assert_cmpuint(results->rejected_without_time, ==, 0);
    if (scenario->all_wait) {
        g_assert_cmpuint(results->rejected, >, 0);
        g_assert_cmpuint(results->rejected_late, ==, 0);
    }
    else if (scenario->lost == 0) {
        unsigned least = all / 100 * MIN_SERVED_PERCENT;
        g_assert_cmpuint(results->whole, >=, least);
    }
}

static void
run_scenario(gconstpointer data)
{
    const struct scenario *scenario = data;
    struct harness_fleet *fleet = start_fleet(scenario);
    const struct harness_users_load load = {
        .fleet = fleet,
        .caller_count = CALLERS,
        .path = scenario->is_plain ? HARNESS_USERS_ORDERS_PATH
                                   : HARNESS_USERS_PATH,
        .models = scenario->is_plain ? NULL : models,
        .events = EVENTS,
        .deadline_ms = DEADLINE_MS,
        .max_pause_ms = MAX_PAUSE_MS,
    };
    struct harness_users_run *run = harness_users_load_start(&load);
    harness_sleep_ms(WARM_UP_MS);
    scenario->faults(fleet);
    struct harness_users_results results = harness_users_load_stop(run);
    check(scenario, fleet, &results);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "notices", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
