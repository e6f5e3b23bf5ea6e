/*
 * Measures what requests and the guarantees for them cost: frames between
 * nodes for each request, and calls to the key-value store.  The latter are
 * counted for each model or adapter that is loaded (the ledger), and for each
 * request with a key (at-most-once records) at several request rates, numbers
 * of slots and batch delays.
 */

#include "harness/harness.h"

#include <stdio.h>
#include <string.h>

enum {
    SETTLE_MS = 1500,
    LOAD_MS = 4000,
    CALLERS = 24,
    CALL_TIMEOUT_MS = 10000,
};

struct reading {
    double reads; /* of the key-value store */
    double writes;
    double frames; /* sent by all nodes */
    double bytes;
    double forwarded;    /* requests whose home node is another node */
    double memory_bytes; /* of all nodes */
};

/* Reads the counters of the key-value stand-in and of all nodes. */
static struct reading
read_all(const struct harness_fleet *fleet)
{
    struct reading reading = {
        .reads = (double)(harness_get_record_number(&fleet->kv, "gets") +
                          harness_get_record_number(&fleet->kv, "lists")),
        .writes = (double)(harness_get_record_number(&fleet->kv, "puts") +
                           harness_get_record_number(&fleet->kv, "deletes")),
    };
    for (unsigned i = 0; i < fleet->node_count; i++) {
        const struct harness_node *node = &fleet->nodes[i];
        reading.frames += harness_get_counter(node, "frames_sent");
        reading.bytes += harness_get_counter(node, "frame_bytes_sent");
        reading.forwarded += harness_get_counter(node, "forwarded");
        reading.memory_bytes += harness_get_memory_kb(node->pid) * 1024;
    }
    return reading;
}

/* Stops a fleet; a node that crashed under the load is an error. */
static void
stop_fleet(struct harness_fleet *fleet)
{
    if (harness_fleet_stop(fleet) != 0) {
        g_error("bench: a node did not stop cleanly");
    }
}

/* Requests a series of items, each of which has to be loaded first. */
static void
measure_ledger(const char *build)
{
    static const char *const items[] = {"m01", "m01-a1", "m01-a2", "m02",
                                        "m02-a1"};
    struct harness_fleet_config config = {.node_count = 1, .engine_count = 1};
    struct harness_fleet *fleet = harness_fleet_start(build, &config);
    harness_sleep_ms(SETTLE_MS);
    struct reading before = read_all(fleet);
    for (unsigned i = 0; i < G_N_ELEMENTS(items); i++) {
        struct harness_call call = {
            .address = fleet->nodes[0].caller_address,
            .method = "POST",
            .path = "/v1/completions",
            .class_name = "advice",
            .body = harness_model_body(items[i], 4, false, i),
            .timeout_ms = CALL_TIMEOUT_MS,
        };
        struct harness_response *response = harness_call(&call);
        if (!harness_response_is_correct(response)) {
            g_error("bench: the response to %s had status %d", items[i],
                    response->status);
        }
        harness_response_free(response);
        g_free((char *)call.body);
        harness_sleep_ms(SETTLE_MS);
    }
    struct reading after = read_all(fleet);
    unsigned loads = G_N_ELEMENTS(items);
    g_print("figure: ledger loads=%u kv-writes=%.1f kv-reads=%.1f a load\n",
            loads, (after.writes - before.writes) / loads,
            (after.reads - before.reads) / loads);
    stop_fleet(fleet);
}

/* Runs calls of one kind by this number of callers.  Returns the number of
 * responses, at least 1. */
static unsigned
measure_load(struct harness_fleet *fleet, const char *title,
             const struct harness_call_kind *kind, unsigned callers)
{
    static unsigned serial = 1;
    const struct harness_load load = {
        .fleet = fleet,
        .kinds = kind,
        .kind_count = 1,
        .caller_count = callers,
        .call_timeout_ms = CALL_TIMEOUT_MS,
        .first_serial = serial,
    };
    struct reading before = read_all(fleet);
    int64_t start_ms = harness_now_ms();
    struct harness_load_run *load_run = harness_load_start(&load);
    harness_sleep_ms(LOAD_MS);
    GPtrArray *responses = harness_load_stop(load_run);
    double seconds = (double)(harness_now_ms() - start_ms) / 1000.0;
    struct reading after = read_all(fleet);
    unsigned correct = 0;
    double latency_sum_ms = 0;
    for (guint i = 0; i < responses->len; i++) {
        const struct harness_response *response =
            g_ptr_array_index(responses, i);
        correct += response->status == 200;
        latency_sum_ms +=
            (double)(response->ended_at_ms - response->sent_at_ms);
    }
    double count = MAX(responses->len, 1U);
    g_print("figure: %s: callers=%u answers=%.0f/s good=%u of %u mean=%.0fms "
            "kv-writes=%.0f/s kv-reads=%.0f/s, of a request: frames=%.2f "
            "bytes=%.0f forwarded=%.2f memory=%.0f\n",
            title, callers, responses->len / seconds, correct, responses->len,
            latency_sum_ms / count, (after.writes - before.writes) / seconds,
            (after.reads - before.reads) / seconds,
            (after.frames - before.frames) / count,
            (after.bytes - before.bytes) / count,
            (after.forwarded - before.forwarded) / count,
            (after.memory_bytes - before.memory_bytes) / count);
    serial += responses->len + callers;
    g_ptr_array_unref(responses);
    return (unsigned)count;
}

/* Measures requests whose grant comes from the entry node itself or from
 * another home node. */
static void
measure_requests(const char *build)
{
    static const struct harness_call_kind kind = {"lookup", "m01", NULL, 1,
                                                  false,    false, 3000};
    struct harness_fleet_config config = {.node_count = 24, .engine_count = 6};
    struct harness_fleet *fleet = harness_fleet_start(build, &config);
    harness_warm_up(fleet, &kind, 1);
    (void)measure_load(fleet, "requests", &kind, CALLERS);
    stop_fleet(fleet);
}

/* Measures one setting of slots and batch delay at several request rates. */
static void
measure_once(const char *build, const char *slots, const char *batch_delay)
{
    static const unsigned callers[] = {4, 16, 64};
    static const struct harness_call_kind kind = {
        "order", NULL, "/services/orders/jackets", 0, false, true, 3000};
    struct harness_fleet_config config = {
        .node_count = 3,
        .engine_count = 1,
        .service_count = 3,
        .settings = {slots, batch_delay},
    };
    char *settings = g_strdup_printf("once %s %s", slots, batch_delay);
    struct harness_fleet *fleet = harness_fleet_start(build, &config);
    harness_sleep_ms(SETTLE_MS);
    unsigned request_count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
        request_count += measure_load(fleet, settings, &kind, callers[i]);
    }
    char *list = NULL;
    (void)harness_get(fleet->kv.address, "/v1/list?prefix=once/", &list);
    g_print("figure: %s: a list of the records is %.0f bytes a request\n",
            settings, list == NULL ? 0 : (double)strlen(list) / request_count);
    g_free(list);
    stop_fleet(fleet);
    g_free(settings);
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        (void)fprintf(stderr, "usage: bench_records BUILD\n");
        return 2;
    }
    measure_requests(argv[1]);
    measure_ledger(argv[1]);
    measure_once(argv[1], "once.slots=64", "once.gather-ms=5");
    measure_once(argv[1], "once.slots=16", "once.gather-ms=5");
    measure_once(argv[1], "once.slots=8", "once.gather-ms=25");
    measure_once(argv[1], "once.slots=16", "once.gather-ms=120");
    return 0;
}
