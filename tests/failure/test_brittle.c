/*
 * Guards against upstreams that fall over under the requests that they reject
 * for want of room: what one may reject in a second counts over all nodes, and
 * each node knows only its own calls. The stand-in's own record is the judge.
 */

#include "harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define MODELS "m1,m2"

enum {
    NODES = 7,
    WORKERS = 4,
    SLOTS = 4, /* of each worker */
    CALLERS = 48,
    EVENTS = 30,     /* at 20 ms each */
    ANSWER_MS = 500, /* of the plain service */
    DEADLINE_MS = 8 * 1000,
    MAX_PAUSE_MS = 300, /* of a caller that was rejected */
    USUAL_QUEUE = 16,
    FALL_MS = 1500,
    WARM_UP_MS = 2000,
    DRAIN_MS = 2500, /* until the requests for one model have ended */
    /* Upstreams may let fewer wait from this long after they first said that
     * they are brittle. */
    SETTLE_MS = 4000,
    FAULT_MS = 10 * 1000,
    MIN_SLOTS_USED_PERCENT = 90,
};

static const char *const both_models[] = {"m1", "m2", NULL};
static const char *const first_model[] = {"m1", NULL};
static const char *const second_model[] = {"m2", NULL};

/* ---- the upstreams' own record ---- */

struct use {
    int64_t at_ms;
    int64_t slot_us; /* of all workers */
    int64_t rejected;
    int64_t falls;
};

static struct use
read_use(const struct harness_fleet *fleet)
{
    struct use use = {.at_ms = harness_now_ms()};
    JsonNode *record = harness_get_record(&fleet->users);
    JsonArray *workers =
        json_object_get_array_member(json_node_get_object(record), "workers");
    for (guint i = 0; i < json_array_get_length(workers); i++) {
        JsonObject *worker = json_array_get_object_element(workers, i);
        use.slot_us += json_object_get_int_member(worker, "slot_us");
        use.rejected += json_object_get_int_member(worker, "rejected");
        use.falls += json_object_get_int_member(worker, "falls");
    }
    json_node_unref(record);
    return use;
}

/* ---- faults ---- */

struct scenario {
    const char *name;
    void (*faults)(struct harness_fleet *fleet); /* takes FAULT_MS */
    unsigned rejections; /* N, which the upstreams name */
    bool use_is_bounded; /* the slots must be used */
    bool is_plain;       /* a plain service instead of engines */
    /* The last worker alone holds a model that is not asked for from before
     * the upstreams are brittle until they may let fewer wait. */
    bool has_idle;
};

static void
wait_only(struct harness_fleet *fleet)
{
    (void)fleet;
    harness_sleep_ms(FAULT_MS);
}

static void
lose_nodes(struct harness_fleet *fleet)
{
    harness_sleep_ms(1000);
    harness_node_signal(&fleet->nodes[0], SIGKILL);
    harness_node_signal(&fleet->nodes[1], SIGSTOP);
    harness_users_cut_peers(&fleet->nodes[2], "silent");
    harness_sleep_ms(4000);
    harness_node_signal(&fleet->nodes[1], SIGCONT);
    harness_users_cut_peers(&fleet->nodes[2], "none");
    harness_node_start(fleet, &fleet->nodes[0]);
    harness_sleep_ms(2000);
    harness_node_signal(&fleet->nodes[3], SIGKILL);
    harness_sleep_ms(FAULT_MS - 7000);
    harness_node_start(fleet, &fleet->nodes[3]);
}

static const struct scenario scenarios[] = {
    {"overload", wait_only, 3, true, false, false},
    {"none-bears-a-rejection", wait_only, 0, true, false, false},
    {"nodes-lost-and-paused", lose_nodes, 3, false, false, false},
    {"plain-service", wait_only, 3, true, true, false},
    {"an-idle-upstream", wait_only, 3, false, false, true},
};

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
    harness_set_faults(&fleet->users, "slots=%d&queue=%d&answer_ms=%d", SLOTS,
                       USUAL_QUEUE, ANSWER_MS);
    const struct harness_users_config config = {.slots = SLOTS,
                                                .orders = "safe"};
    harness_users_put_standard_config(fleet, &config);
    for (unsigned i = 0; i < WORKERS; i++) {
        char name[16];
        (void)g_snprintf(name, sizeof name, "e%u", i + 1);
        if (scenario->is_plain) {
            harness_users_start_service(fleet, name);
        }
        else {
            const char *one = i < WORKERS - 1 ? "m1" : "m2";
            harness_users_start_worker(fleet, name, "v1",
                                       scenario->has_idle ? one : MODELS);
        }
    }
    harness_users_start_nodes(fleet);
    return fleet;
}

/* Of the time in which the upstreams may let fewer wait: what they rejected,
 * how often they fell over, and how much of their slots was used. */
static void
check(const struct scenario *scenario,
      const struct harness_users_results *callers, const struct use *begin,
      const struct use *end)
{
    int64_t allowed = 2 + WORKERS / 10;
    int64_t falls = end->falls - begin->falls;
    int64_t slot_us =
        (int64_t)WORKERS * SLOTS * 1000 * (end->at_ms - begin->at_ms);
    int64_t percent = 100 * (end->slot_us - begin->slot_us) / slot_us;
    g_print("figure: %s: N %u, rejected at upstreams %" G_GINT64_FORMAT
            ", fell over %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
            ", slots used %" G_GINT64_FORMAT
            " in 100; callers: %u whole, %u rejected, %u other\n",
            scenario->name, scenario->rejections,
            end->rejected - begin->rejected, falls, allowed, percent,
            callers->whole, callers->rejected, callers->other);
    g_assert_cmpint(falls, <=, allowed);
    if (scenario->use_is_bounded) {
        g_assert_cmpint(percent, >=, MIN_SLOTS_USED_PERCENT);
    }
}

/* The sum of a counter over the nodes that answer. */
static double
sum_counter(const struct harness_fleet *fleet, const char *name)
{
    double sum = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        sum += harness_get_counter(&fleet->nodes[i], name);
    }
    return sum;
}

static void
run_scenario(gconstpointer data)
{
    const struct scenario *scenario = data;
    struct harness_fleet *fleet = start_fleet(scenario);
    const char *const *models = scenario->is_plain ? NULL : both_models;
    const struct harness_users_load load = {
        .fleet = fleet,
        .caller_count = CALLERS,
        .path = scenario->is_plain ? HARNESS_USERS_ORDERS_PATH
                                   : HARNESS_USERS_PATH,
        .models = models,
        .events = EVENTS,
        .deadline_ms = DEADLINE_MS,
        .max_pause_ms = MAX_PAUSE_MS,
    };
    struct harness_users_run *run = harness_users_load_start(&load);
    harness_sleep_ms(WARM_UP_MS);
    harness_users_load_set_models(run,
                                  scenario->has_idle ? first_model : models);
    harness_sleep_ms(scenario->has_idle ? DRAIN_MS : 0);
    harness_set_faults(&fleet->users, "brittle=%u", scenario->rejections + 1);
    harness_sleep_ms(SETTLE_MS);
    struct use begin = read_use(fleet);
    harness_set_faults(&fleet->users, "queue=0&fall_ms=%d", FALL_MS);
    harness_users_load_set_models(run,
                                  scenario->has_idle ? second_model : models);
    scenario->faults(fleet);
    struct use end = read_use(fleet);
    g_print(
        "figure: %s: nodes count %.0f calls rejected by upstreams for want "
        "of room, %.0f of them retries, %.0f relayed\n",
        scenario->name, sum_counter(fleet, "upstream_full"),
        sum_counter(fleet, "upstream_full_retries"),
        sum_counter(fleet, "upstream_full_relayed"));
    const struct harness_users_results results = harness_users_load_stop(run);
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    check(scenario, &results, &begin, &end);
}

int
main(int argc, char **argv)
{
    return harness_run_cases(argc, argv, "brittle", scenarios,
                             sizeof(scenarios[0]), G_N_ELEMENTS(scenarios),
                             run_scenario);
}
