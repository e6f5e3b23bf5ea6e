/* The configuration, the start and the callers of a fleet on the users'
 * platform. */

#include "harness/harness.h"

#include <pthread.h>
#include <string.h>

enum {
    /* A request that cannot be served is rejected at once. */
    LATE_MS = 1000,
    ADDED_DEADLINE_MS = 6000,
};

struct harness_users_run {
    struct harness_users_load load;
    pthread_mutex_t lock;
    bool stopped;
    unsigned last_id;
    struct harness_users_results results;
    GPtrArray *threads;
};

const char harness_users_added_route[] =
    ",{\"name\":\"r2\",\"host\":\"" HARNESS_USERS_HOST
    "\",\"path_prefix\":\"" HARNESS_USERS_ADDED_PATH
    "\",\"type\":\"streaming\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"engines\","
    "\"max_attempts\":3,\"sticky\":true,\"resumable\":true,"
    "\"target_gap_ms\":300}";

/* The status that a node gives to a request for the added route. */
static int
request_added(const struct harness_node *node)
{
    static unsigned last;
    g_autofree char *id = g_strdup_printf("added-%u", ++last);
    const struct harness_stream_call call = {
        .address = node->caller_address,
        .host = HARNESS_USERS_HOST,
        .path = HARNESS_USERS_ADDED_PATH,
        .request_id = id,
        .model = "m1",
        .events = 1,
        .deadline_ms = ADDED_DEADLINE_MS,
    };
    struct harness_stream *stream = harness_request_stream(&call);
    int status = stream->status;
    harness_stream_free(stream);
    return status;
}

unsigned
harness_users_count_added(const struct harness_fleet *fleet)
{
    unsigned count = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        count += request_added(&fleet->nodes[i]) == 200 ? 1 : 0;
    }
    return count;
}

unsigned
harness_users_count_runs(const struct harness_fleet *fleet, const char *worker,
                         int64_t after_ms, int64_t *last_ms)
{
    unsigned count = 0;
    JsonNode *record = harness_get_record(&fleet->users);
    JsonArray *runs =
        json_object_get_array_member(json_node_get_object(record), "runs");
    for (guint i = 0; i < json_array_get_length(runs); i++) {
        JsonObject *run = json_array_get_object_element(runs, i);
        int64_t at_ms = json_object_get_int_member(run, "at_ms");
        if (strcmp(json_object_get_string_member(run, "worker"), worker) !=
            0) {
            continue;
        }
        count += at_ms > after_ms;
        if (last_ms != NULL) {
            *last_ms = MAX(*last_ms, at_ms);
        }
    }
    json_node_unref(record);
    return count;
}

void
harness_users_wait_ready(const struct harness_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (!harness_node_wait_ready(&fleet->nodes[i], true,
                                     HARNESS_READY_TIMEOUT_MS)) {
            g_error("%s is not ready, see %s", fleet->nodes[i].name,
                    fleet->nodes[i].log_path);
        }
    }
}

void
harness_users_start_nodes(struct harness_fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
    harness_users_wait_ready(fleet);
}

static int
or_default(int value, int otherwise)
{
    return value == 0 ? otherwise : value;
}

/* The route of the plain service, with a comma before; a new string. */
static char *
format_orders(const struct harness_users_config *config)
{
    return g_strdup_printf(
        ",{\"name\":\"r2\",\"host\":\"" HARNESS_USERS_HOST
        "\",\"path_prefix\":\"" HARNESS_USERS_ORDERS_PATH
        "\",\"type\":\"%s\",\"timeout_ms\":6000,"
        "\"target_latency_ms\":%d,\"priority\":1,\"service\":\"orders\","
        "\"max_attempts\":2}",
        config->orders, or_default(config->orders_target_ms, 1000));
}

void
harness_users_put_standard_config(struct harness_fleet *fleet,
                                  const struct harness_users_config *config)
{
    g_autofree char *orders =
        config->orders == NULL ? g_strdup("") : format_orders(config);
    g_autofree char *service =
        config->orders == NULL
            ? g_strdup("")
            : g_strdup_printf(",{\"name\":\"orders\","
                              "\"health_path\":\"/healthz\","
                              "\"max_connections\":%d}",
                              or_default(config->orders_connections, 300));
    g_autofree char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":[{\"name\":\"r1\","
        "\"host\":\"" HARNESS_USERS_HOST
        "\",\"path_prefix\":\"" HARNESS_USERS_PATH
        "\",\"type\":\"streaming\",\"timeout_ms\":%d,"
        "\"target_latency_ms\":1000,\"priority\":1,"
        "\"service\":\"engines\",\"max_attempts\":%d,\"sticky\":true,"
        "\"resumable\":true,\"target_gap_ms\":300}%s%s],"
        "\"services\":[{\"name\":\"engines\","
        "\"health_path\":\"/healthz\",\"max_connections\":300,"
        "\"engine\":{\"slots\":%d,\"kv_capacity\":200000,"
        "\"weights_mb\":40000,\"adapter_slots\":4,\"loads_per_s\":5,"
        "\"models\":[{\"name\":\"m1\",\"weights_mb\":10000,"
        "\"load_s\":0.3,\"adapters\":0,\"adapter_mb\":10},"
        "{\"name\":\"m2\",\"weights_mb\":10000,\"load_s\":0.3,"
        "\"adapters\":0,\"adapter_mb\":10}%s]}}%s],"
        "\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000}}",
        or_default(config->version, 3), or_default(config->timeout_ms, 15000),
        or_default(config->max_attempts, 3), orders,
        config->routes == NULL ? "" : config->routes,
        or_default(config->slots, 64),
        config->models == NULL ? "" : config->models, service);
    harness_users_put_config(fleet, text);
}

/* Counts the result of one request; returns how long its caller pauses. */
static int64_t
count_result(struct harness_users_run *run,
             const struct harness_stream *stream, int64_t took_ms)
{
    struct harness_users_results *results = &run->results;
    bool whole = stream->status == 200 && stream->complete;
    bool rejected = stream->status == 503;
    pthread_mutex_lock(&run->lock);
    results->whole += whole;
    results->rejected += rejected;
    results->rejected_late += rejected && took_ms > LATE_MS;
    results->rejected_without_time += rejected && stream->retry_after_s <= 0;
    results->other += !whole && !rejected;
    pthread_mutex_unlock(&run->lock);
    return whole ? 0
                 : MIN((int64_t)(stream->retry_after_s * 1000) + 1,
                       run->load.max_pause_ms);
}

static const char *
choose_model(struct harness_users_run *run, GRand *random)
{
    gint32 count = 0;
    pthread_mutex_lock(&run->lock);
    const char *const *models = run->load.models;
    pthread_mutex_unlock(&run->lock);
    while (models != NULL && models[count] != NULL) {
        count++;
    }
    return count == 0 ? NULL : models[g_rand_int_range(random, 0, count)];
}

static void
request_once(struct harness_users_run *run, GRand *random, unsigned number)
{
    const struct harness_users_load *load = &run->load;
    const struct harness_node *node = &load->fleet->nodes[g_rand_int_range(
        random, 0, (gint32)load->fleet->node_count)];
    g_autofree char *id = g_strdup_printf("%s-%08x", node->name, number);
    const struct harness_stream_call call = {
        .address = node->caller_address,
        .host = HARNESS_USERS_HOST,
        .path = load->path,
        .request_id = id,
        .model = choose_model(run, random),
        .body = id,
        .events = load->events,
        .deadline_ms = load->deadline_ms,
    };
    int64_t sent_at = harness_now_ms();
    struct harness_stream *stream = harness_request_stream(&call);
    int64_t pause = count_result(run, stream, harness_now_ms() - sent_at);
    harness_stream_free(stream);
    harness_sleep_ms(pause);
}

static gpointer
run_caller(gpointer data)
{
    struct harness_users_run *run = data;
    GRand *random = NULL;
    while (true) {
        pthread_mutex_lock(&run->lock);
        bool stopped = run->stopped;
        unsigned number = ++run->last_id;
        pthread_mutex_unlock(&run->lock);
        if (stopped) {
            break;
        }
        if (random == NULL) {
            random = g_rand_new_with_seed(number);
        }
        request_once(run, random, number);
    }
    if (random != NULL) {
        g_rand_free(random);
    }
    return NULL;
}

struct harness_users_run *
harness_users_load_start(const struct harness_users_load *load)
{
    struct harness_users_run *run = g_new0(struct harness_users_run, 1);
    run->load = *load;
    run->threads = g_ptr_array_new();
    pthread_mutex_init(&run->lock, NULL);
    for (unsigned i = 0; i < load->caller_count; i++) {
        g_ptr_array_add(run->threads, g_thread_new("caller", run_caller, run));
    }
    return run;
}

void
harness_users_load_set_models(struct harness_users_run *run,
                              const char *const *models)
{
    pthread_mutex_lock(&run->lock);
    run->load.models = models;
    pthread_mutex_unlock(&run->lock);
}

struct harness_users_results
harness_users_load_stop(struct harness_users_run *run)
{
    pthread_mutex_lock(&run->lock);
    run->stopped = true;
    pthread_mutex_unlock(&run->lock);
    for (guint i = 0; i < run->threads->len; i++) {
        (void)g_thread_join(g_ptr_array_index(run->threads, i));
    }
    struct harness_users_results results = run->results;
    g_ptr_array_free(run->threads, TRUE);
    pthread_mutex_destroy(&run->lock);
    g_free(run);
    return results;
}
