/*
 * Measures the overhead of the request path: latency added to a call, requests
 * per second and core, memory of a node and of open streams, and tokens per
 * second that a node relays.  All figures are of the same run; latency is
 * compared with that of direct calls to the engine stand-in.
 */

#include "harness/harness.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CALLS_PER_VARIANT = 3000, /* of each variant, interleaved */
    WARM_UP_CALLS = 200,
    CALLER_COUNT = 24,
    THROUGHPUT_MS = 4000,
    STREAM_COUNT = 1000,
    STREAM_THREADS = 4,
    RELAY_MS = 4000,
    ENGINE_COUNT = 4,
};

static const struct harness_call_kind kinds[ENGINE_COUNT] = {
    {"advice", "m01", NULL, 1, false, false, 0},
    {"advice", "m02", NULL, 1, false, false, 0},
    {"advice", "m03", NULL, 1, false, false, 0},
    {"advice", "m04", NULL, 1, false, false, 0},
};

/* ---- time added to a call ---- */

/* A way to reach the engine, with a caller that keeps its connection open. */
struct variant {
    const char *name;
    CURL *curl;
    struct curl_slist *headers;
    double times_ms[CALLS_PER_VARIANT];
};

static size_t
discard_bytes(char *bytes, size_t size, size_t count, void *data)
{
    (void)bytes;
    (void)data;
    return size * count;
}

/* Returns an easy handle for model calls to an address; the caller frees it
 * and the headers. */
static CURL *
new_call_handle(const char *address, struct curl_slist **headers)
{
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s/v1/completions", address);
    *headers = curl_slist_append(NULL, "Chestnuthitch-Class: advice");
    *headers = curl_slist_append(*headers, "Content-Type: application/json");
    *headers = curl_slist_append(*headers, "X-Request-Id: direct");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, *headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_bytes);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 5000L);
    g_free(url);
    return curl;
}

/* Makes one call.  Returns its milliseconds, or -1 unless the response has
 * status 200. */
static double
time_call(CURL *curl, const char *body)
{
    long status = 0;
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
    int64_t start_us = g_get_monotonic_time();
    CURLcode code = curl_easy_perform(curl);
    double elapsed_ms = (double)(g_get_monotonic_time() - start_us) / 1000.0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    return code == CURLE_OK && status == 200 ? elapsed_ms : -1;
}

static int
compare_times(const void *a, const void *b)
{
    double time_a = *(const double *)a;
    double time_b = *(const double *)b;
    return (time_a > time_b) - (time_a < time_b);
}

/* Prints the median and 99th percentile of a variant, compared with those of
 * direct calls. */
static void
print_variant(struct variant *variant, const struct variant *direct)
{
    qsort(variant->times_ms, CALLS_PER_VARIANT, sizeof variant->times_ms[0],
          compare_times);
    double median = variant->times_ms[CALLS_PER_VARIANT / 2];
    double tail = variant->times_ms[CALLS_PER_VARIANT * 99 / 100];
    double base = direct->times_ms[CALLS_PER_VARIANT / 2];
    double base_tail = direct->times_ms[CALLS_PER_VARIANT * 99 / 100];
    g_print("figure: latency %s: median %.3f ms (%+.3f ms, %.2f times direct),"
            " 99th %.3f ms (%+.3f ms, %.2f times)\n",
            variant->name, median, median - base, median / base, tail,
            tail - base_tail, tail / base_tail);
}

/* Returns the engine that reports the model as being in its memory. */
static const struct harness_upstream *
find_engine_with(struct harness_fleet *fleet, const char *model)
{
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        char *body = NULL;
        (void)harness_get(fleet->upstreams[i].standin.address, "/v1/load",
                          &body);
        bool has = strstr(body, model) != NULL;
        g_free(body);
        if (has) {
            return &fleet->upstreams[i];
        }
    }
    g_error("no engine has %s", model);
}

/* Measures the three variants, interleaved in one run.  Returns the number of
 * failed calls. */
static unsigned
measure_latency(struct harness_fleet *fleet)
{
    const struct harness_upstream *engine = find_engine_with(fleet, "m01");
    char *home = harness_get_home(&fleet->nodes[0], engine->name);
    bool first = strcmp(home, fleet->nodes[0].name) == 0;
    const char *addresses[] = {
        engine->standin.address,
        fleet->nodes[first ? 0 : 1].caller_address,
        fleet->nodes[first ? 1 : 0].caller_address,
    };
    static struct variant variants[] = {
        {.name = "direct to the engine"},
        {.name = "through a node that is home"},
        {.name = "through a node, home is another"},
    };
    unsigned failed = 0;
    for (size_t w = 0; w < G_N_ELEMENTS(variants); w++) {
        variants[w].curl = new_call_handle(addresses[w], &variants[w].headers);
    }
    for (unsigned i = 0; i < WARM_UP_CALLS + CALLS_PER_VARIANT; i++) {
        char *body = harness_model_body("m01", 1, false, i);
        for (size_t w = 0; w < G_N_ELEMENTS(variants); w++) {
            double elapsed_ms = time_call(variants[w].curl, body);
            failed += elapsed_ms < 0 ? 1 : 0;
            if (i >= WARM_UP_CALLS) {
                variants[w].times_ms[i - WARM_UP_CALLS] = elapsed_ms;
            }
        }
        g_free(body);
    }
    for (size_t w = 0; w < G_N_ELEMENTS(variants); w++) {
        print_variant(&variants[w], &variants[0]);
        curl_easy_cleanup(variants[w].curl);
        curl_slist_free_all(variants[w].headers);
    }
    g_free(home);
    return failed;
}

/* ---- requests per second ---- */

struct closed_loop {
    const char *address;
    const char *model;
    int64_t end_ms;
    unsigned serial;
    unsigned succeeded;
    unsigned failed;
};

/* Thread of one caller, which makes each call when the last has ended. */
static gpointer
run_loop(gpointer data)
{
    struct closed_loop *loop = data;
    struct curl_slist *headers;
    CURL *curl = new_call_handle(loop->address, &headers);
    while (harness_now_ms() < loop->end_ms) {
        char *body = harness_model_body(loop->model, 1, false, loop->serial++);
        if (time_call(curl, body) < 0) {
            loop->failed++;
        }
        else {
            loop->succeeded++;
        }
        g_free(body);
    }
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return NULL;
}

/* Measures the calls of all callers through one node.  Returns the number of
 * failed calls. */
static unsigned
measure_throughput(struct harness_fleet *fleet)
{
    const struct harness_node *node = &fleet->nodes[0];
    struct closed_loop loops[CALLER_COUNT] = {0};
    GThread *threads[CALLER_COUNT];
    double cpu = harness_get_cpu_ms(node->pid);
    int64_t start_ms = harness_now_ms();
    unsigned succeeded = 0;
    unsigned failed = 0;
    for (unsigned i = 0; i < CALLER_COUNT; i++) {
        loops[i].address = node->caller_address;
        loops[i].model = kinds[i % ENGINE_COUNT].model;
        loops[i].end_ms = start_ms + THROUGHPUT_MS;
        loops[i].serial = 1000000 * (i + 1);
        threads[i] = g_thread_new("caller", run_loop, &loops[i]);
    }
    for (unsigned i = 0; i < CALLER_COUNT; i++) {
        (void)g_thread_join(threads[i]);
        succeeded += loops[i].succeeded;
        failed += loops[i].failed;
    }
    double seconds = (double)(harness_now_ms() - start_ms) / 1000.0;
    cpu = (harness_get_cpu_ms(node->pid) - cpu) / 1000.0;
    g_print(
        "figure: throughput of one node, %d callers: %.0f requests/s, %.0f "
        "for each second of processor time (%.1f cores), %u failed\n",
        CALLER_COUNT, succeeded / seconds, succeeded / cpu, cpu / seconds,
        failed);
    return failed;
}

/* ---- streams ---- */

/* The streams of one thread. */
struct streams {
    const char *address;
    int64_t end_ms;
    int64_t measure_from_ms; /* bytes received earlier are not counted */
    uint64_t bytes;
    unsigned serial;
    unsigned opened; /* received their first byte */
    unsigned ended;  /* before end_ms */
    unsigned token_bytes;
};

struct stream {
    struct streams *group;
    bool has_begun; /* its first byte was received */
};

/* Counts the bytes received since the start of the measurement. */
static size_t
on_bytes(char *bytes, size_t size, size_t count, void *data)
{
    struct stream *stream = data;
    (void)bytes;
    if (!stream->has_begun) {
        stream->has_begun = true;
        stream->group->opened++;
    }
    if (harness_now_ms() >= stream->group->measure_from_ms) {
        stream->group->bytes += size * count;
    }
    return size * count;
}

/* Thread that keeps its streams open until end_ms. */
static gpointer
run_streams(gpointer data)
{
    enum {
        STREAMS_PER_THREAD = STREAM_COUNT / STREAM_THREADS
    };
    struct streams *group = data;
    struct stream *streams = g_new0(struct stream, STREAMS_PER_THREAD);
    struct curl_slist *headers[STREAMS_PER_THREAD];
    CURL *handles[STREAMS_PER_THREAD];
    CURLM *multi = curl_multi_init();
    int running = STREAMS_PER_THREAD;
    for (unsigned i = 0; i < STREAMS_PER_THREAD; i++) {
        char *body = harness_model_body(kinds[i % ENGINE_COUNT].model, 100000,
                                        true, group->serial + i);
        streams[i].group = group;
        handles[i] = new_call_handle(group->address, &headers[i]);
        curl_easy_setopt(handles[i], CURLOPT_COPYPOSTFIELDS, body);
        curl_easy_setopt(handles[i], CURLOPT_WRITEFUNCTION, on_bytes);
        curl_easy_setopt(handles[i], CURLOPT_WRITEDATA, &streams[i]);
        curl_multi_add_handle(multi, handles[i]);
        g_free(body);
    }
    while (harness_now_ms() < group->end_ms && running > 0) {
        (void)curl_multi_perform(multi, &running);
        (void)curl_multi_poll(multi, NULL, 0, 20, NULL);
    }
    group->ended = STREAMS_PER_THREAD - (unsigned)running;
    for (unsigned i = 0; i < STREAMS_PER_THREAD; i++) {
        curl_multi_remove_handle(multi, handles[i]);
        curl_easy_cleanup(handles[i]);
        curl_slist_free_all(headers[i]);
    }
    curl_multi_cleanup(multi);
    g_free(streams);
    return NULL;
}

/* Runs the streams of all threads through one address.  Returns the relayed
 * bytes per second, and the memory in kB and the used cores of process pid. */
static double
measure_relay(struct harness_fleet *fleet, const char *address, pid_t pid,
              unsigned token_us, double *memory_kb, double *cores)
{
    struct streams thread_streams[STREAM_THREADS] = {0};
    GThread *threads[STREAM_THREADS];
    int64_t start_ms = harness_now_ms();
    uint64_t bytes = 0;
    unsigned opened = 0;
    unsigned ended = 0;
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        harness_set_faults(&fleet->upstreams[i].standin, "token_us=%u",
                           token_us);
    }
    for (unsigned i = 0; i < STREAM_THREADS; i++) {
        thread_streams[i].address = address;
        thread_streams[i].serial = 100000 * (i + 1) + token_us;
        thread_streams[i].measure_from_ms = start_ms + 2500;
        thread_streams[i].end_ms = start_ms + 2500 + RELAY_MS;
        threads[i] = g_thread_new("streams", run_streams, &thread_streams[i]);
    }
    harness_sleep_ms(2500);
    double cpu = harness_get_cpu_ms(pid);
    harness_sleep_ms(RELAY_MS);
    *cores = (harness_get_cpu_ms(pid) - cpu) / RELAY_MS;
    *memory_kb = harness_get_memory_kb(pid);
    for (unsigned i = 0; i < STREAM_THREADS; i++) {
        (void)g_thread_join(threads[i]);
        bytes += thread_streams[i].bytes;
        opened += thread_streams[i].opened;
        ended += thread_streams[i].ended;
    }
    g_print("# %u streams opened, %u ended early\n", opened, ended);
    return (double)bytes / RELAY_MS * 1000.0;
}

/* Returns the mean bytes of a streamed event received from an address.  Each
 * event includes the request id, so its size depends on the id's length. */
static double
measure_event_bytes(const char *address)
{
    char *body = harness_model_body("m01", 64, true, 7);
    struct harness_call call = {.address = address,
                                .method = "POST",
                                .path = "/v1/completions",
                                .class_name = "advice",
                                .body = body,
                                .timeout_ms = 20000};
    struct harness_response *response = harness_call(&call);
    double bytes = (double)response->response_body->len / 64;
    harness_response_free(response);
    g_free(body);
    return bytes;
}

/* Measures memory for 1,000 streams, and tokens per second at increasing
 * speeds. */
static void
measure_streams(struct harness_fleet *fleet)
{
    static const unsigned token_us[] = {200000, 40000, 20000, 10000, 5000};
    const struct harness_node *node = &fleet->nodes[0];
    double idle_kb = harness_get_memory_kb(node->pid);
    double bytes_per_event = measure_event_bytes(node->caller_address);
    for (size_t i = 0; i < G_N_ELEMENTS(token_us); i++) {
        double memory_kb;
        double cores;
        double rate = measure_relay(fleet, node->caller_address, node->pid,
                                    token_us[i], &memory_kb, &cores) /
                      bytes_per_event;
        g_print("figure: %d streams open, %.0f tokens/s offered: %.0f "
                "tokens/s relayed, %.2f cores of the node\n",
                STREAM_COUNT, STREAM_COUNT * 1e6 / token_us[i], rate, cores);
        if (i == 0) {
            g_print("figure: memory %.1f MB before, %.1f MB for %d open "
                    "streams more\n",
                    idle_kb / 1024, (memory_kb - idle_kb) / 1024,
                    STREAM_COUNT);
        }
    }
}

int
main(int argc, char **argv)
{
    static const struct harness_fleet_config config = {
        .node_count = 2,
        .engine_count = ENGINE_COUNT,
        .declaration_path = "tests/bench/bench.ini",
        .engine_batch = 2 * STREAM_COUNT,
        .engine_memory_mb = 12000,
        .engine_args = {"token_us=0", "memory_mb=12000"},
        .settings = {"weight-store.loads-per-s=20", "limits.queue=4000",
                     "node.workers=4"},
    };
    (void)argc;
    (void)argv;
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &config);
    harness_sleep_ms(1000);
    g_print("figure: memory of an idle node: %.1f MB resident\n",
            harness_get_memory_kb(fleet->nodes[0].pid) / 1024);
    harness_warm_up(fleet, kinds, ENGINE_COUNT);
    unsigned failed = measure_latency(fleet);
    failed += measure_throughput(fleet);
    measure_streams(fleet);
    failed += harness_fleet_stop(fleet);
    g_print("%u calls or stops failed\n", failed);
    return failed == 0 ? 0 : 1;
}
