/*
 * What the path costs: time added to a call, requests a second for a core,
 * memory of a node and of open streams, tokens a second that a node relays.
 * Every figure is of one run, with the stand-in called directly as the
 * measure.
 */

#include "harness/harness.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CALLS = 3000, /* of each way, by turns */
    WARM = 200,
    CALLERS = 24,
    THROUGHPUT_MS = 4000,
    STREAMS = 1000,
    STREAM_THREADS = 4,
    RELAY_MS = 4000,
    ENGINES = 4,
};

static const struct harness_call_kind kinds[ENGINES] = {
    {"advice", "m01", NULL, 1, false, false, 0},
    {"advice", "m02", NULL, 1, false, false, 0},
    {"advice", "m03", NULL, 1, false, false, 0},
    {"advice", "m04", NULL, 1, false, false, 0},
};

/* ---- time added to a call ---- */

/* A caller that keeps its connection. */
struct way {
    const char *name;
    CURL *curl;
    struct curl_slist *headers;
    double times[CALLS]; /* ms */
};

/* Drops what comes. */
static size_t
ignore(char *bytes, size_t size, size_t count, void *data)
{
    (void)bytes;
    (void)data;
    return size * count;
}

/* An easy handle for model calls at an address. */
static CURL *
prepare(const char *address, struct curl_slist **headers)
{
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s/v1/completions", address);
    *headers = curl_slist_append(NULL, "Chestnuthitch-Class: advice");
    *headers = curl_slist_append(*headers, "Content-Type: application/json");
    *headers = curl_slist_append(*headers, "X-Request-Id: direct");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, *headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ignore);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, 5000L);
    g_free(url);
    return curl;
}

/* One call; milliseconds, or -1 when it was not answered with 200. */
static double
time_call(CURL *curl, const char *body)
{
    long status = 0;
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 10000L);
    int64_t begun = g_get_monotonic_time();
    CURLcode code = curl_easy_perform(curl);
    double took = (double)(g_get_monotonic_time() - begun) / 1000.0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    return code == CURLE_OK && status == 200 ? took : -1;
}

/* Orders times. */
static int
by_value(const void *a, const void *b)
{
    double one = *(const double *)a;
    double two = *(const double *)b;
    return (one > two) - (one < two);
}

/* Prints a way's median and 99th percentile, against the direct one. */
static void
print_way(struct way *way, const struct way *direct)
{
    qsort(way->times, CALLS, sizeof way->times[0], by_value);
    double median = way->times[CALLS / 2];
    double tail = way->times[CALLS * 99 / 100];
    double base = direct->times[CALLS / 2];
    double base_tail = direct->times[CALLS * 99 / 100];
    g_print("figure: latency %s: median %.3f ms (%+.3f ms, %.2f times direct),"
            " 99th %.3f ms (%+.3f ms, %.2f times)\n",
            way->name, median, median - base, median / base, tail,
            tail - base_tail, tail / base_tail);
}

/* The engine that has a model in memory, as it says itself. */
static const struct harness_upstream *
engine_of(struct harness_fleet *fleet, const char *model)
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

/* The three ways, by turns, in one run. */
static unsigned
measure_latency(struct harness_fleet *fleet)
{
    const struct harness_upstream *engine = engine_of(fleet, "m01");
    char *home = harness_get_home(&fleet->nodes[0], engine->name);
    bool first = strcmp(home, fleet->nodes[0].name) == 0;
    const char *addresses[] = {
        engine->standin.address,
        fleet->nodes[first ? 0 : 1].caller_address,
        fleet->nodes[first ? 1 : 0].caller_address,
    };
    static struct way ways[] = {
        {.name = "direct to the engine"},
        {.name = "through a node that is home"},
        {.name = "through a node, home is another"},
    };
    unsigned bad = 0;
    for (size_t w = 0; w < G_N_ELEMENTS(ways); w++) {
        ways[w].curl = prepare(addresses[w], &ways[w].headers);
    }
    for (unsigned i = 0; i < WARM + CALLS; i++) {
        char *body = harness_model_body("m01", 1, false, i);
        for (size_t w = 0; w < G_N_ELEMENTS(ways); w++) {
            double took = time_call(ways[w].curl, body);
            bad += took < 0 ? 1 : 0;
            if (i >= WARM) {
                ways[w].times[i - WARM] = took;
            }
        }
        g_free(body);
    }
    for (size_t w = 0; w < G_N_ELEMENTS(ways); w++) {
        print_way(&ways[w], &ways[0]);
        curl_easy_cleanup(ways[w].curl);
        curl_slist_free_all(ways[w].headers);
    }
    g_free(home);
    return bad;
}

/* ---- requests a second ---- */

struct closed_loop {
    const char *address;
    const char *model;
    int64_t until; /* ms */
    unsigned number;
    unsigned done;
    unsigned bad;
};

/* One caller's thread: the next call when the last is answered. */
static gpointer
run_loop(gpointer data)
{
    struct closed_loop *loop = data;
    struct curl_slist *headers;
    CURL *curl = prepare(loop->address, &headers);
    while (harness_now_ms() < loop->until) {
        char *body = harness_model_body(loop->model, 1, false, loop->number++);
        if (time_call(curl, body) < 0) {
            loop->bad++;
        }
        else {
            loop->done++;
        }
        g_free(body);
    }
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return NULL;
}

/* All callers through one node. */
static unsigned
measure_throughput(struct harness_fleet *fleet)
{
    const struct harness_node *node = &fleet->nodes[0];
    struct closed_loop loops[CALLERS] = {0};
    GThread *threads[CALLERS];
    double cpu = harness_get_cpu_ms(node->pid);
    int64_t begun = harness_now_ms();
    unsigned done = 0;
    unsigned bad = 0;
    for (unsigned i = 0; i < CALLERS; i++) {
        loops[i].address = node->caller_address;
        loops[i].model = kinds[i % ENGINES].model;
        loops[i].until = begun + THROUGHPUT_MS;
        loops[i].number = 1000000 * (i + 1);
        threads[i] = g_thread_new("caller", run_loop, &loops[i]);
    }
    for (unsigned i = 0; i < CALLERS; i++) {
        (void)g_thread_join(threads[i]);
        done += loops[i].done;
        bad += loops[i].bad;
    }
    double seconds = (double)(harness_now_ms() - begun) / 1000.0;
    cpu = (harness_get_cpu_ms(node->pid) - cpu) / 1000.0;
    g_print(
        "figure: throughput of one node, %d callers: %.0f requests/s, %.0f "
        "for each second of processor time (%.1f cores), %u failed\n",
        CALLERS, done / seconds, done / cpu, cpu / seconds, bad);
    return bad;
}

/* ---- streams ---- */

/* A thread's streams. */
struct streams {
    const char *address;
    int64_t until; /* ms */
    int64_t from;  /* events before are not counted */
    uint64_t bytes;
    unsigned number;
    unsigned opened; /* got their first byte */
    unsigned ended;  /* before the time */
    unsigned token_bytes;
};

/* One stream's bytes. */
struct stream {
    struct streams *all;
    bool begun;
};

/* Counts what comes in the time that is measured. */
static size_t
on_bytes(char *bytes, size_t size, size_t count, void *data)
{
    struct stream *stream = data;
    (void)bytes;
    if (!stream->begun) {
        stream->begun = true;
        stream->all->opened++;
    }
    if (harness_now_ms() >= stream->all->from) {
        stream->all->bytes += size * count;
    }
    return size * count;
}

/* A thread that holds its share of the streams open. */
static gpointer
run_streams(gpointer data)
{
    enum {
        SHARE = STREAMS / STREAM_THREADS
    };
    struct streams *all = data;
    struct stream *streams = g_new0(struct stream, SHARE);
    struct curl_slist *headers[SHARE];
    CURL *handles[SHARE];
    CURLM *multi = curl_multi_init();
    int running = SHARE;
    for (unsigned i = 0; i < SHARE; i++) {
        char *body = harness_model_body(kinds[i % ENGINES].model, 100000, true,
                                        all->number + i);
        streams[i].all = all;
        handles[i] = prepare(all->address, &headers[i]);
        curl_easy_setopt(handles[i], CURLOPT_COPYPOSTFIELDS, body);
        curl_easy_setopt(handles[i], CURLOPT_WRITEFUNCTION, on_bytes);
        curl_easy_setopt(handles[i], CURLOPT_WRITEDATA, &streams[i]);
        curl_multi_add_handle(multi, handles[i]);
        g_free(body);
    }
    while (harness_now_ms() < all->until && running > 0) {
        (void)curl_multi_perform(multi, &running);
        (void)curl_multi_poll(multi, NULL, 0, 20, NULL);
    }
    all->ended = SHARE - (unsigned)running;
    for (unsigned i = 0; i < SHARE; i++) {
        curl_multi_remove_handle(multi, handles[i]);
        curl_easy_cleanup(handles[i]);
        curl_slist_free_all(headers[i]);
    }
    curl_multi_cleanup(multi);
    g_free(streams);
    return NULL;
}

/* The streams of all threads through one address; tokens a second. */
static double
run_relay(struct harness_fleet *fleet, const char *address, pid_t pid,
          unsigned token_us, double *memory, double *cores)
{
    /* An event of the stand-in's, whose request id has this many bytes. */
    struct streams shares[STREAM_THREADS] = {0};
    GThread *threads[STREAM_THREADS];
    int64_t begun = harness_now_ms();
    uint64_t bytes = 0;
    unsigned opened = 0;
    unsigned ended = 0;
    for (unsigned i = 0; i < fleet->upstream_count; i++) {
        harness_set_faults(&fleet->upstreams[i].standin, "token_us=%u",
                           token_us);
    }
    for (unsigned i = 0; i < STREAM_THREADS; i++) {
        shares[i].address = address;
        shares[i].number = 100000 * (i + 1) + token_us;
        shares[i].from = begun + 2500;
        shares[i].until = begun + 2500 + RELAY_MS;
        threads[i] = g_thread_new("streams", run_streams, &shares[i]);
    }
    harness_sleep_ms(2500);
    double cpu = harness_get_cpu_ms(pid);
    harness_sleep_ms(RELAY_MS);
    *cores = (harness_get_cpu_ms(pid) - cpu) / RELAY_MS;
    *memory = harness_get_memory_kb(pid);
    for (unsigned i = 0; i < STREAM_THREADS; i++) {
        (void)g_thread_join(threads[i]);
        bytes += shares[i].bytes;
        opened += shares[i].opened;
        ended += shares[i].ended;
    }
    g_print("# %u streams opened, %u ended early\n", opened, ended);
    return (double)bytes / RELAY_MS * 1000.0;
}

/* Bytes of one event through an address. */
static double
event_bytes(const char *address)
{
    char *body = harness_model_body("m01", 64, true, 7);
    struct harness_call call = {.address = address,
                                .method = "POST",
                                .path = "/v1/completions",
                                .class_name = "advice",
                                .body = body,
                                .timeout_ms = 20000};
    struct harness_response *answer = harness_call(&call);
    double bytes = (double)answer->response_body->len / 64;
    harness_response_free(answer);
    g_free(body);
    return bytes;
}

/* Memory for 1,000 streams, and tokens a second at rising speeds. */
static void
measure_streams(struct harness_fleet *fleet)
{
    static const unsigned token_us[] = {200000, 40000, 20000, 10000, 5000};
    const struct harness_node *node = &fleet->nodes[0];
    double idle = harness_get_memory_kb(node->pid);
    double event = event_bytes(node->caller_address);
    for (size_t i = 0; i < G_N_ELEMENTS(token_us); i++) {
        double memory;
        double cores;
        double rate = run_relay(fleet, node->caller_address, node->pid,
                                token_us[i], &memory, &cores) /
                      event;
        g_print("figure: %d streams open, %.0f tokens/s offered: %.0f "
                "tokens/s relayed, %.2f cores of the node\n",
                STREAMS, STREAMS * 1e6 / token_us[i], rate, cores);
        if (i == 0) {
            g_print("figure: memory %.1f MB before, %.1f MB for %d open "
                    "streams more\n",
                    idle / 1024, (memory - idle) / 1024, STREAMS);
        }
    }
}

int
main(int argc, char **argv)
{
    static const struct harness_fleet_config shape = {
        .node_count = 2,
        .engine_count = ENGINES,
        .declaration_path = "tests/bench/bench.ini",
        .engine_batch = 2 * STREAMS,
        .engine_memory_mb = 12000,
        .engine_args = {"token_us=0", "memory_mb=12000"},
        .settings = {"weight-store.loads-per-s=20", "limits.queue=4000",
                     "node.workers=4"},
    };
    (void)argc;
    (void)argv;
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &shape);
    g_print("# logs in %s\n", fleet->directory);
    harness_sleep_ms(1000);
    g_print("figure: memory of an idle node: %.1f MB resident\n",
            harness_get_memory_kb(fleet->nodes[0].pid) / 1024);
    harness_warm_up(fleet, kinds, ENGINES);
    unsigned bad = measure_latency(fleet);
    bad += measure_throughput(fleet);
    measure_streams(fleet);
    bad += harness_fleet_stop(fleet);
    g_print("%u calls or stops failed\n", bad);
    return bad == 0 ? 0 : 1;
}
