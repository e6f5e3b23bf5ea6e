/*
 * Measures how the control overhead of a node grows with the size of the
 * fleet: processor time, memory, bytes between nodes and calls to the
 * platform.  The cases are an idle fleet, a configuration change, a third of
 * the nodes becoming silent at once, and all nodes being restarted at once.
 * docs/CAPACITY.md has the resulting growth rates.
 */

#include "harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
    SETTLE_MS = 6000,
    MEASURE_MS = 10000,
    CHANGE_TIMEOUT_MS = 20000,
    LOSS_TIMEOUT_MS = 20000,
    DEFAULT_ENGINES = 6,
};

enum {
    KV_CALL_KINDS = 3,
};

/* Counters of the key-value stand-in for reads, writes and watches. */
static const char *const kv_call_kinds[KV_CALL_KINDS][3] = {
    {"gets", "lists", NULL}, {"puts", "deletes", NULL}, {"watches", NULL}};

struct reading {
    double cpu_ms;
    double rss_kb;
    double sent;
    double received;
    double frames;
};

/* Returns the number of calls of one kind that the key-value stand-in has
 * counted; the list of its counters ends with NULL. */
static double
count_kv_calls(const struct harness_fleet *fleet, const char *const *counters)
{
    int64_t sum = 0;
    for (size_t i = 0; counters[i] != NULL; i++) {
        sum += harness_get_record_number(&fleet->kv, counters[i]);
    }
    return (double)sum;
}

static struct reading
read_node(const struct harness_node *node)
{
    struct reading reading = {
        .cpu_ms = harness_get_cpu_ms(node->pid),
        .rss_kb = harness_get_memory_kb(node->pid),
    };
    reading.sent = harness_get_counter(node, "frame_bytes_sent");
    reading.received = harness_get_counter(node, "frame_bytes_received");
    reading.frames = harness_get_counter(node, "frames_sent");
    return reading;
}

/* Applies a changed declaration and waits until all nodes have it.  Returns
 * the elapsed milliseconds. */
static int64_t
measure_change(struct harness_fleet *fleet, unsigned serial)
{
    char *text = NULL;
    char *path = g_strdup_printf("%s/change.ini", fleet->directory);
    if (!g_file_get_contents(fleet->config.declaration_path, &text, NULL,
                             NULL)) {
        g_error("bench: cannot read %s", fleet->config.declaration_path);
    }
    char *changed = g_strdup_printf("%s\n[model extra%u]\nmemory-mb = 1000\n",
                                    text, serial);
    (void)g_file_set_contents(path, changed, -1, NULL);
    uint64_t before = harness_get_revision(&fleet->nodes[0]);
    char *output = NULL;
    int64_t start_ms = harness_now_ms();
    if (harness_apply_config(fleet, &fleet->nodes[0], path, &output) != 0) {
        g_error("bench: apply: %s", output);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        while (harness_get_revision(&fleet->nodes[i]) <= before &&
               harness_now_ms() - start_ms < CHANGE_TIMEOUT_MS) {
            harness_sleep_ms(5);
        }
    }
    int64_t elapsed_ms = harness_now_ms() - start_ms;
    (void)remove(path);
    g_free(output);
    g_free(changed);
    g_free(text);
    g_free(path);
    return elapsed_ms;
}

/* Returns the number of frames sent by the nodes from index first on. */
static double
sum_frames(const struct harness_fleet *fleet, unsigned first)
{
    double sum = 0;
    for (unsigned i = first; i < fleet->node_count; i++) {
        sum += read_node(&fleet->nodes[i]).frames;
    }
    return sum;
}

/* Whether a node reports, for every upstream, a home node that is not among
 * the nodes below index first. */
static bool
has_all_homes_from(const struct harness_fleet *fleet,
                   const struct harness_node *node, unsigned first)
{
    JsonNode *status = harness_get_status(node);
    JsonArray *list = status == NULL
                          ? NULL
                          : json_object_get_array_member(
                                json_node_get_object(status), "upstreams");
    bool outside = list != NULL;
    for (guint i = 0; outside && i < json_array_get_length(list); i++) {
        const char *home = json_object_get_string_member(
            json_array_get_object_element(list, i), "home");
        for (unsigned k = 0; k < first; k++) {
            outside = outside && strcmp(home, fleet->nodes[k].name) != 0;
        }
    }
    if (status != NULL) {
        json_node_unref(status);
    }
    return outside;
}

/* Suspends a third of the nodes at once, which looks like the loss of a data
 * centre: connections to them are neither refused nor answered. */
static void
measure_loss(const struct harness_fleet *fleet)
{
    unsigned silent_count = fleet->node_count / 3;
    double frames = sum_frames(fleet, silent_count);
    for (unsigned i = 0; i < silent_count; i++) {
        (void)kill(fleet->nodes[i].pid, SIGSTOP);
    }
    int64_t start_ms = harness_now_ms();
    for (unsigned i = silent_count; i < fleet->node_count; i++) {
        while (!has_all_homes_from(fleet, &fleet->nodes[i], silent_count)) {
            if (harness_now_ms() - start_ms > LOSS_TIMEOUT_MS) {
                g_print("figure: fleet nodes=%u: %s still has homes among the "
                        "lost after %d ms\n",
                        fleet->node_count, fleet->nodes[i].name,
                        LOSS_TIMEOUT_MS);
                break;
            }
            harness_sleep_ms(20);
        }
    }
    int64_t elapsed_ms = harness_now_ms() - start_ms;
    frames = sum_frames(fleet, silent_count) - frames;
    for (unsigned i = 0; i < silent_count; i++) {
        (void)kill(fleet->nodes[i].pid, SIGCONT);
    }
    unsigned remaining = fleet->node_count - silent_count;
    g_print("figure: fleet nodes=%u: %u silent at once, all homes elsewhere "
            "after %" G_GINT64_FORMAT " ms, %.1f frames/s of a node\n",
            fleet->node_count, silent_count, elapsed_ms,
            frames * 1000 / (double)elapsed_ms / remaining);
}

/* Kills and restarts all nodes at once. */
static void
measure_restart(struct harness_fleet *fleet)
{
    double before[KV_CALL_KINDS];
    for (size_t i = 0; i < KV_CALL_KINDS; i++) {
        before[i] = count_kv_calls(fleet, kv_call_kinds[i]);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_signal(&fleet->nodes[i], SIGKILL);
    }
    int64_t start_ms = harness_now_ms();
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
    int64_t started_ms = harness_now_ms() - start_ms;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (!harness_node_wait_ready(&fleet->nodes[i], true,
                                     HARNESS_READY_TIMEOUT_MS)) {
            g_error("bench: %s is not ready", fleet->nodes[i].name);
        }
    }
    int64_t elapsed_ms = harness_now_ms() - start_ms;
    g_print("figure: fleet nodes=%u upstreams=%u: all replaced at once, begun "
            "within %" G_GINT64_FORMAT " ms, ready after %" G_GINT64_FORMAT
            " ms, kv-reads=%.0f kv-writes=%.0f kv-watches=%.0f\n",
            fleet->node_count, fleet->upstream_count, started_ms, elapsed_ms,
            count_kv_calls(fleet, kv_call_kinds[0]) - before[0],
            count_kv_calls(fleet, kv_call_kinds[1]) - before[1],
            count_kv_calls(fleet, kv_call_kinds[2]) - before[2]);
}

/* Runs all cases on a fleet of one size. */
static void
measure_size(const char *build, unsigned nodes, unsigned engines)
{
    struct harness_fleet_config config = {
        .node_count = nodes,
        .engine_count = engines,
        .service_count = 1,
        .settings = {"platform.list-ms=1000", "upstreams.report-ms=500",
                     "node.workers=2"},
    };
    struct harness_fleet *fleet = harness_fleet_start(build, &config);
    harness_sleep_ms(SETTLE_MS);
    struct reading *before = g_new0(struct reading, nodes);
    for (unsigned i = 0; i < nodes; i++) {
        before[i] = read_node(&fleet->nodes[i]);
    }
    double kv_before[KV_CALL_KINDS];
    for (size_t i = 0; i < KV_CALL_KINDS; i++) {
        kv_before[i] = count_kv_calls(fleet, kv_call_kinds[i]);
    }
    int64_t start_ms = harness_now_ms();
    harness_sleep_ms(MEASURE_MS);
    double seconds = (double)(harness_now_ms() - start_ms) / 1000.0;
    struct reading sum = {0};
    for (unsigned i = 0; i < nodes; i++) {
        struct reading now = read_node(&fleet->nodes[i]);
        sum.cpu_ms += now.cpu_ms - before[i].cpu_ms;
        sum.rss_kb += now.rss_kb;
        sum.sent += now.sent - before[i].sent;
        sum.received += now.received - before[i].received;
        sum.frames += now.frames - before[i].frames;
    }
    double node_seconds = nodes * seconds;
    double kv_calls_per_s[KV_CALL_KINDS];
    for (size_t i = 0; i < KV_CALL_KINDS; i++) {
        kv_calls_per_s[i] =
            (count_kv_calls(fleet, kv_call_kinds[i]) - kv_before[i]) / seconds;
    }
    g_print("figure: fleet nodes=%u upstreams=%u core=%.2f%% rss=%.1fMB "
            "sent=%.0fB/s "
            "received=%.0fB/s frames=%.1f/s kv-reads=%.2f/s "
            "kv-writes=%.2f/s kv-watches=%.2f/s\n",
            nodes, fleet->upstream_count, sum.cpu_ms / 10.0 / node_seconds,
            sum.rss_kb / 1024.0 / nodes, sum.sent / node_seconds,
            sum.received / node_seconds, sum.frames / node_seconds,
            kv_calls_per_s[0], kv_calls_per_s[1], kv_calls_per_s[2]);
    int64_t elapsed_ms = measure_change(fleet, nodes);
    g_print("figure: fleet nodes=%u change in force everywhere after "
            "%" G_GINT64_FORMAT " ms\n",
            nodes, elapsed_ms);
    g_free(before);
    measure_loss(fleet);
    measure_restart(fleet);
    if (harness_fleet_stop(fleet) != 0) {
        g_error("bench: a node did not stop cleanly");
    }
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        (void)fprintf(stderr, "usage: bench_fleet BUILD [NODES...]\n");
        return 2;
    }
    static const unsigned default_sizes[][2] = {{3, DEFAULT_ENGINES},
                                                {7, DEFAULT_ENGINES},
                                                {40, DEFAULT_ENGINES},
                                                {40, 5 * DEFAULT_ENGINES},
                                                {120, DEFAULT_ENGINES}};
    if (argc > 2) {
        for (int i = 2; i < argc; i++) {
            measure_size(argv[1],
                         (unsigned)g_ascii_strtoull(argv[i], NULL, 10),
                         DEFAULT_ENGINES);
        }
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(default_sizes); i++) {
        measure_size(argv[1], default_sizes[i][0], default_sizes[i][1]);
    }
    return 0;
}
