/*
 * Guards against upstreams that fall over under the requests that they reject
 * for want of room: what one may reject in a second counts over all nodes, and
 * each node knows only its own calls. The stand-in's own record is the judge.
 */

#include "harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define HOST "fit.example"
#define PATH "/fit/"
#define ORDERS_PATH "/orders/"
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

static const char config[] =
    "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"" HOST "\","
    "\"path_prefix\":\"" PATH "\",\"type\":\"streaming\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"engines\","
    "\"max_attempts\":3,\"sticky\":true,\"resumable\":true,"
    "\"target_gap_ms\":300},{\"name\":\"r2\",\"host\":\"" HOST "\","
    "\"path_prefix\":\"" ORDERS_PATH "\",\"type\":\"safe\","
    "\"timeout_ms\":6000,\"target_latency_ms\":1000,\"priority\":1,"
    "\"service\":\"orders\",\"max_attempts\":2}],\"services\":[{\"name\":"
    "\"engines\","
    "\"health_path\":\"/healthz\",\"max_connections\":300,\"engine\":{"
    "\"slots\":4,\"kv_capacity\":200000,\"weights_mb\":40000,"
    "\"adapter_slots\":4,\"loads_per_s\":5,\"models\":["
    "{\"name\":\"m1\",\"weights_mb\":10000,\"load_s\":0.3,\"adapters\":0,"
    "\"adapter_mb\":10},"
    "{\"name\":\"m2\",\"weights_mb\":10000,\"load_s\":0.3,\"adapters\":0,"
    "\"adapter_mb\":10}]}},{\"name\":\"orders\",\"health_path\":\"/healthz\","
    "\"max_connections\":300}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000}}";

/* ---- callers ---- */

struct callers {
    struct harness_fleet *fleet;
    bool is_plain;
    const char *model; /* NULL: both models in turn; guarded by lock */
    pthread_mutex_t lock;
    bool stopped;
    unsigned last_id;
    unsigned whole;
    unsigned rejected;
    unsigned other;
};

struct caller {
    struct callers *callers;
    guint32 seed;
};

/* Counts the result of one request; returns how long its caller pauses. */
static int64_t
count_result(struct callers *callers, const struct harness_stream *stream)
{
    bool whole = stream->status == 200 && stream->complete;
    bool rejected = stream->status == 503;
    pthread_mutex_lock(&callers->lock);
    callers->whole += whole;
    callers->rejected += rejected;
    callers->other += !whole && !rejected;
    pthread_mutex_unlock(&callers->lock);
    if (whole) {
        return 0;
    }
    return MIN((int64_t)(stream->retry_after_s * 1000) + 1, MAX_PAUSE_MS);
}

static void
request_stream(struct callers *callers, GRand *random, const char *id)
{
    const struct harness_node *node =
        &callers->fleet->nodes[g_rand_int_range(random, 0, NODES)];
    const char *model = g_rand_boolean(random) ? "m1" : "m2";
    pthread_mutex_lock(&callers->lock);
    model = callers->model == NULL ? model : callers->model;
    pthread_mutex_unlock(&callers->lock);
    const struct harness_stream_call call = {
        .address = node->caller_address,
        .host = HOST,
        .path = callers->is_plain ? ORDERS_PATH : PATH,
        .request_id = id,
        .model = callers->is_plain ? NULL : model,
        .body = id, /* a request of its own, not a repeat of another one */
        .events = EVENTS,
        .deadline_ms = DEADLINE_MS,
    };
    struct harness_stream *stream = harness_request_stream(&call);
    int64_t pause = count_result(callers, stream);
    harness_stream_free(stream);
    harness_sleep_ms(pause);
}

static gpointer
run_caller(gpointer data)
{
    struct caller *caller = data;
    struct callers *callers = caller->callers;
    GRand *random = g_rand_new_with_seed(caller->seed);
    while (true) {
        char id[32];
        pthread_mutex_lock(&callers->lock);
        bool stopped = callers->stopped;
        (void)g_snprintf(id, sizeof id, "%08x", ++callers->last_id);
        pthread_mutex_unlock(&callers->lock);
        if (stopped) {
            break;
        }
        request_stream(callers, random, id);
    }
    g_rand_free(random);
    return NULL;
}

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
    harness_users_put_config(fleet, config);
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
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (!harness_node_wait_ready(&fleet->nodes[i], true,
                                     HARNESS_READY_TIMEOUT_MS)) {
            g_error("%s is not ready, see %s", fleet->nodes[i].name,
                    fleet->nodes[i].log_path);
        }
    }
    return fleet;
}

/* Of the time in which the upstreams may let fewer wait: what they rejected,
 * how often they fell over, and how much of their slots was used. */
static void
check(const struct scenario *scenario, const struct callers *callers,
      const struct use *begin, const struct use *end)
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
set_model(struct callers *callers, const char *model)
{
    pthread_mutex_lock(&callers->lock);
    callers->model = model;
    pthread_mutex_unlock(&callers->lock);
}

static void
run_scenario(gconstpointer data)
{
    const struct scenario *scenario = data;
    struct harness_fleet *fleet = start_fleet(scenario);
    struct callers callers = {.fleet = fleet, .is_plain = scenario->is_plain};
    struct caller caller[CALLERS];
    GThread *threads[CALLERS];
    pthread_mutex_init(&callers.lock, NULL);
    for (unsigned i = 0; i < CALLERS; i++) {
        caller[i] = (struct caller){&callers, 1000 + i};
        threads[i] = g_thread_new("caller", run_caller, &caller[i]);
    }
    harness_sleep_ms(WARM_UP_MS);
    set_model(&callers, scenario->has_idle ? "m1" : NULL);
    harness_sleep_ms(scenario->has_idle ? DRAIN_MS : 0);
    harness_set_faults(&fleet->users, "brittle=%u", scenario->rejections + 1);
    harness_sleep_ms(SETTLE_MS);
    struct use begin = read_use(fleet);
    harness_set_faults(&fleet->users, "queue=0&fall_ms=%d", FALL_MS);
    set_model(&callers, scenario->has_idle ? "m2" : NULL);
    scenario->faults(fleet);
    struct use end = read_use(fleet);
    g_print(
        "figure: %s: nodes count %.0f calls rejected by upstreams for want "
        "of room, %.0f of them retries, %.0f relayed\n",
        scenario->name, sum_counter(fleet, "upstream_full"),
        sum_counter(fleet, "upstream_full_retries"),
        sum_counter(fleet, "upstream_full_relayed"));
    pthread_mutex_lock(&callers.lock);
    callers.stopped = true;
    pthread_mutex_unlock(&callers.lock);
    for (unsigned i = 0; i < CALLERS; i++) {
        (void)g_thread_join(threads[i]);
    }
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
    check(scenario, &callers, &begin, &end);
    pthread_mutex_destroy(&callers.lock);
}

int
main(int argc, char **argv)
{
    char *paths[G_N_ELEMENTS(scenarios) + 1] = {NULL};
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        paths[i] = g_strdup_printf("/failure/brittle/%s", scenarios[i].name);
    }
    int status = 0;
    if (argc == 1) {
        status = harness_run_in_parallel(argv[0], paths);
    }
    else {
        g_test_init(&argc, &argv, NULL);
        for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
            g_test_add_data_func(paths[i], &scenarios[i], run_scenario);
        }
        status = g_test_run();
    }
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        g_free(paths[i]);
    }
    return status;
}
