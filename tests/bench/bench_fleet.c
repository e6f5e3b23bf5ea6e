/*
 * What a node spends on control as the fleet grows: processor time, memory,
 * bytes between nodes and calls to the platform, of an idle fleet, a
 * configuration change, a third of the nodes falling silent at once and all
 * being replaced at once, at several sizes.  The slopes go into
 * docs/CAPACITY.md.
 */

#include "harness/harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum {
    SETTLE_MS = 6000,
    MEASURE_MS = 10000,
    SPREAD_LIMIT_MS = 20000,
    LOSS_LIMIT_MS = 20000,
    USUAL_ENGINES = 6,
};

enum {
    KV_KINDS = 3,
};

/* Counts of the key-value stand-in: reads, writes, watches. */
static const char *const kv_kinds[KV_KINDS][3] = {
    {"gets", "lists", NULL}, {"puts", "deletes", NULL}, {"watches", NULL}};

struct reading {
    double cpu_ms;
    double rss_kb;
    double sent;
    double received;
    double frames;
};

/* Calls of one kind that the key-value stand-in has counted. */
static double
kv_calls(const struct harness_fleet *fleet, const char *const *kinds)
{
    int64_t sum = 0;
    for (size_t i = 0; kinds[i] != NULL; i++) {
        sum += harness_get_record_number(&fleet->kv, kinds[i]);
    }
    return (double)sum;
}

/* Reads one node. */
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

/* Applies a declaration that differs and waits until all have it. */
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
    int64_t begun = harness_now_ms();
    if (harness_apply_config(fleet, &fleet->nodes[0], path, &output) != 0) {
        g_error("bench: apply: %s", output);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        while (harness_get_revision(&fleet->nodes[i]) <= before &&
               harness_now_ms() - begun < SPREAD_LIMIT_MS) {
            harness_sleep_ms(5);
        }
    }
    int64_t took = harness_now_ms() - begun;
    (void)remove(path);
    g_free(output);
    g_free(changed);
    g_free(text);
    g_free(path);
    return took;
}

/* Frames that the nodes from the first one on have sent. */
static double
sum_frames(const struct harness_fleet *fleet, unsigned first)
{
    double sum = 0;
    for (unsigned i = first; i < fleet->node_count; i++) {
        sum += read_node(&fleet->nodes[i]).frames;
    }
    return sum;
}

/* Whether a node knows a home for every upstream beyond the first nodes. */
static bool
homes_beyond(const struct harness_fleet *fleet,
             const struct harness_node *node, unsigned first)
{
    JsonNode *status = harness_get_status(node);
    JsonArray *list = status == NULL
                          ? NULL
                          : json_object_get_array_member(
                                json_node_get_object(status), "upstreams");
    bool beyond = list != NULL;
    for (guint i = 0; beyond && i < json_array_get_length(list); i++) {
        const char *home = json_object_get_string_member(
            json_array_get_object_element(list, i), "home");
        for (unsigned k = 0; k < first; k++) {
            beyond = beyond && strcmp(home, fleet->nodes[k].name) != 0;
        }
    }
    if (status != NULL) {
        json_node_unref(status);
    }
    return beyond;
}

/* A third of the nodes falls silent at once, as a lost data centre does:
 * connections to them are neither refused nor answered. */
static void
measure_loss(const struct harness_fleet *fleet)
{
    unsigned lost = fleet->node_count / 3;
    double frames = sum_frames(fleet, lost);
    for (unsigned i = 0; i < lost; i++) {
        (void)kill(fleet->nodes[i].pid, SIGSTOP);
    }
    int64_t begun = harness_now_ms();
    for (unsigned i = lost; i < fleet->node_count; i++) {
        while (!homes_beyond(fleet, &fleet->nodes[i], lost)) {
            if (harness_now_ms() - begun > LOSS_LIMIT_MS) {
                g_print("figure: fleet nodes=%u: %s still has homes among the "
                        "lost after %d ms\n",
                        fleet->node_count, fleet->nodes[i].name,
                        LOSS_LIMIT_MS);
                break;
            }
            harness_sleep_ms(20);
        }
    }
    int64_t took = harness_now_ms() - begun;
    frames = sum_frames(fleet, lost) - frames;
    for (unsigned i = 0; i < lost; i++) {
        (void)kill(fleet->nodes[i].pid, SIGCONT);
    }
    unsigned left = fleet->node_count - lost;
    g_print("figure: fleet nodes=%u: %u silent at once, all homes elsewhere "
            "after %" G_GINT64_FORMAT " ms, %.1f frames/s of a node\n",
            fleet->node_count, lost, took,
            frames * 1000 / (double)took / left);
}

/* Every node is killed and started anew at once. */
static void
measure_restart(struct harness_fleet *fleet)
{
    double before[KV_KINDS];
    for (size_t i = 0; i < KV_KINDS; i++) {
        before[i] = kv_calls(fleet, kv_kinds[i]);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_signal(&fleet->nodes[i], SIGKILL);
    }
    int64_t begun = harness_now_ms();
    for (unsigned i = 0; i < fleet->node_count; i++) {
        harness_node_start(fleet, &fleet->nodes[i]);
    }
    int64_t started = harness_now_ms() - begun;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (!harness_node_wait_ready(&fleet->nodes[i], true,
                                     HARNESS_READY_TIMEOUT_MS)) {
            g_error("bench: %s is not ready", fleet->nodes[i].name);
        }
    }
    int64_t took = harness_now_ms() - begun;
    g_print("figure: fleet nodes=%u upstreams=%u: all replaced at once, begun "
            "within %" G_GINT64_FORMAT " ms, ready after %" G_GINT64_FORMAT
            " ms, kv-reads=%.0f kv-writes=%.0f kv-watches=%.0f\n",
            fleet->node_count, fleet->upstream_count, started, took,
            kv_calls(fleet, kv_kinds[0]) - before[0],
            kv_calls(fleet, kv_kinds[1]) - before[1],
            kv_calls(fleet, kv_kinds[2]) - before[2]);
}

/* One size of fleet. */
static void
measure_size(const char *build, unsigned nodes, unsigned engines)
{
    struct harness_fleet_config shape = {
        .node_count = nodes,
        .engine_count = engines,
        .service_count = 1,
        .settings = {"platform.list-ms=1000", "upstreams.report-ms=500",
                     "node.workers=2"},
    };
    struct harness_fleet *fleet = harness_fleet_start(build, &shape);
    harness_sleep_ms(SETTLE_MS);
    struct reading *before = g_new0(struct reading, nodes);
    for (unsigned i = 0; i < nodes; i++) {
        before[i] = read_node(&fleet->nodes[i]);
    }
    double kv_before[KV_KINDS];
    for (size_t i = 0; i < KV_KINDS; i++) {
        kv_before[i] = kv_calls(fleet, kv_kinds[i]);
    }
    int64_t begun = harness_now_ms();
    harness_sleep_ms(MEASURE_MS);
    double seconds = (double)(harness_now_ms() - begun) / 1000.0;
    struct reading sum = {0};
    for (unsigned i = 0; i < nodes; i++) {
        struct reading now = read_node(&fleet->nodes[i]);
        sum.cpu_ms += now.cpu_ms - before[i].cpu_ms;
        sum.rss_kb += now.rss_kb;
        sum.sent += now.sent - before[i].sent;
        sum.received += now.received - before[i].received;
        sum.frames += now.frames - before[i].frames;
    }
    double each = nodes * seconds;
    double calls[KV_KINDS];
    for (size_t i = 0; i < KV_KINDS; i++) {
        calls[i] = (kv_calls(fleet, kv_kinds[i]) - kv_before[i]) / seconds;
    }
    g_print("figure: fleet nodes=%u upstreams=%u core=%.2f%% rss=%.1fMB "
            "sent=%.0fB/s "
            "received=%.0fB/s frames=%.1f/s kv-reads=%.2f/s "
            "kv-writes=%.2f/s kv-watches=%.2f/s\n",
            nodes, fleet->upstream_count, sum.cpu_ms / 10.0 / each,
            sum.rss_kb / 1024.0 / nodes, sum.sent / each, sum.received / each,
            sum.frames / each, calls[0], calls[1], calls[2]);
    int64_t took = measure_change(fleet, nodes);
    g_print("figure: fleet nodes=%u change in force everywhere after "
            "%" G_GINT64_FORMAT " ms\n",
            nodes, took);
    g_free(before);
    measure_loss(fleet);
    measure_restart(fleet);
    if (harness_fleet_stop(fleet) != 0) {
        g_error("bench: a node did not stop well");
    }
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        (void)fprintf(stderr, "usage: bench_fleet BUILD [NODES...]\n");
        return 2;
    }
    static const unsigned usual[][2] = {{3, USUAL_ENGINES},
                                        {7, USUAL_ENGINES},
                                        {40, USUAL_ENGINES},
                                        {40, 5 * USUAL_ENGINES},
                                        {120, USUAL_ENGINES}};
    if (argc > 2) {
        for (int i = 2; i < argc; i++) {
            measure_size(argv[1],
                         (unsigned)g_ascii_strtoull(argv[i], NULL, 10),
                         USUAL_ENGINES);
        }
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(usual); i++) {
        measure_size(argv[1], usual[i][0], usual[i][1]);
    }
    return 0;
}
