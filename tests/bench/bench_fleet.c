/*
 * What a node spends on control as the fleet grows: processor time, memory,
 * bytes between nodes and calls to the platform, of an idle fleet and of a
 * configuration change, at several sizes.  The slopes go into
 * docs/CAPACITY.md.
 */

#include "harness/harness.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
    SETTLE_MS = 6000,
    MEASURE_MS = 10000,
    SPREAD_LIMIT_MS = 20000,
    ENGINES = 6,
};

struct reading {
    double cpu_ms;
    double rss_kb;
    double sent;
    double received;
    double frames;
};

/* Milliseconds of processor time that a process has used. */
static double
process_cpu(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
    char *text = NULL;
    double total = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *after = strrchr(text, ')');
        char **fields = g_strsplit(after != NULL ? after : "", " ", 16);
        if (g_strv_length(fields) > 14) {
            total = (double)(g_ascii_strtoull(fields[12], NULL, 10) +
                             g_ascii_strtoull(fields[13], NULL, 10));
        }
        g_strfreev(fields);
    }
    g_free(text);
    g_free(path);
    return total * 1000.0 / (double)sysconf(_SC_CLK_TCK);
}

/* Kilobytes that a process holds. */
static double
process_memory(pid_t pid)
{
    char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
    char *text = NULL;
    double pages = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *second = strchr(text, ' ');
        pages = second != NULL ? g_ascii_strtod(second, NULL) : 0;
    }
    g_free(text);
    g_free(path);
    return pages * (double)sysconf(_SC_PAGESIZE) / 1024.0;
}

/* The value of a counter in a node's text exposition. */
static double
counter(const char *text, const char *name)
{
    char *key = g_strdup_printf("\nchestnuthitch_%s_total ", name);
    const char *at = strstr(text, key);
    double value = at != NULL ? g_ascii_strtod(at + strlen(key), NULL) : 0;
    g_free(key);
    return value;
}

/* Calls of one kind that the key-value stand-in has counted. */
static double
kv_calls(const struct harness_fleet *fleet, const char *const *kinds)
{
    int64_t sum = 0;
    for (size_t i = 0; kinds[i] != NULL; i++) {
        sum += harness_record_number(&fleet->kv, kinds[i]);
    }
    return (double)sum;
}

/* Reads one node. */
static struct reading
read_node(const struct harness_node *node)
{
    struct reading reading = {
        .cpu_ms = process_cpu(node->pid),
        .rss_kb = process_memory(node->pid),
    };
    char *text = NULL;
    if (harness_get(node->admin_address, "/metrics", &text) == 200) {
        reading.sent = counter(text, "frame_bytes_sent");
        reading.received = counter(text, "frame_bytes_received");
        reading.frames = counter(text, "frames_sent");
    }
    g_free(text);
    return reading;
}

/* Applies a declaration that differs and waits until all have it. */
static int64_t
measure_change(struct harness_fleet *fleet, unsigned serial)
{
    char *text = NULL;
    char *path = g_strdup_printf("%s/change.ini", fleet->directory);
    if (!g_file_get_contents(fleet->shape.declaration, &text, NULL, NULL)) {
        g_error("bench: cannot read %s", fleet->shape.declaration);
    }
    char *changed = g_strdup_printf("%s\n[model extra%u]\nmemory-mb = 1000\n",
                                    text, serial);
    (void)g_file_set_contents(path, changed, -1, NULL);
    uint64_t before = harness_revision(&fleet->nodes[0]);
    char *output = NULL;
    int64_t begun = harness_now();
    if (harness_apply(fleet, &fleet->nodes[0], path, &output) != 0) {
        g_error("bench: apply: %s", output);
    }
    for (unsigned i = 0; i < fleet->node_count; i++) {
        while (harness_revision(&fleet->nodes[i]) <= before &&
               harness_now() - begun < SPREAD_LIMIT_MS) {
            harness_sleep(5);
        }
    }
    int64_t took = harness_now() - begun;
    (void)remove(path);
    g_free(output);
    g_free(changed);
    g_free(text);
    g_free(path);
    return took;
}

/* One size of fleet. */
static void
measure_size(const char *build, unsigned nodes)
{
    static const char *const kinds[][3] = {
        {"gets", "lists", NULL}, {"puts", "deletes", NULL}, {"watches", NULL}};
    struct harness_shape shape = {
        .nodes = nodes,
        .engines = ENGINES,
        .services = 1,
        .settings = {"platform.list-ms=1000", "upstreams.report-ms=500",
                     "node.workers=2"},
    };
    struct harness_fleet *fleet = harness_fleet_start(build, &shape);
    harness_sleep(SETTLE_MS);
    struct reading *before = g_new0(struct reading, nodes);
    for (unsigned i = 0; i < nodes; i++) {
        before[i] = read_node(&fleet->nodes[i]);
    }
    double kv_before[G_N_ELEMENTS(kinds)];
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        kv_before[i] = kv_calls(fleet, kinds[i]);
    }
    int64_t begun = harness_now();
    harness_sleep(MEASURE_MS);
    double seconds = (double)(harness_now() - begun) / 1000.0;
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
    double calls[G_N_ELEMENTS(kinds)];
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        calls[i] = (kv_calls(fleet, kinds[i]) - kv_before[i]) / seconds;
    }
    printf("figure: fleet nodes=%u core=%.2f%% rss=%.1fMB sent=%.0fB/s "
           "received=%.0fB/s frames=%.1f/s kv-reads=%.2f/s "
           "kv-writes=%.2f/s kv-watches=%.2f/s\n",
           nodes, sum.cpu_ms / 10.0 / each, sum.rss_kb / 1024.0 / nodes,
           sum.sent / each, sum.received / each, sum.frames / each, calls[0],
           calls[1], calls[2]);
    int64_t took = measure_change(fleet, nodes);
    printf("figure: fleet nodes=%u change in force everywhere after "
           "%" G_GINT64_FORMAT " ms\n",
           nodes, took);
    g_free(before);
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
    static const unsigned usual[] = {3, 7, 40, 120};
    if (argc > 2) {
        for (int i = 2; i < argc; i++) {
            measure_size(argv[1],
                         (unsigned)g_ascii_strtoull(argv[i], NULL, 10));
        }
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(usual); i++) {
        measure_size(argv[1], usual[i]);
    }
    return 0;
}
