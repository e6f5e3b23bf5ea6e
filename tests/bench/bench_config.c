/* Measures what a node spends on a new configuration, for each step from the
 * response of the key-value store to the configuration in force: processor
 * time, and peak memory in use beyond that before the step. */

#include "config.h"

#include "base/json.h"
#include "json.h"
#include "node/compress.h"

#include <fcntl.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    /* The minimum over the rounds is reported: a mean would include
     * disturbance by other processes of the machine. */
    ROUNDS = 9,
    MODELS = 84,
    ADAPTERS = 60,
    MAX_TEXT_BYTES = 8 * 1024 * 1024,
};

static const unsigned path_counts[] = {1400, 4200, 10000};

/* A configuration being processed; results of steps that have not run are
 * NULL. */
struct copy {
    char *body; /* of the key-value store's response */
    char *json;
    size_t json_length;
    char *text;
    struct ch_declaration *declaration;
    GBytes *compressed;
};

/* Returns the processor time of this process in microseconds. */
static double
read_cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns a value of /proc/self/status in kB, such as that of "VmRSS:" or
 * "VmHWM:"; 0 if it cannot be read. */
static double
read_status_kb(const char *name)
{
    g_autofree char *text = NULL;
    g_file_get_contents("/proc/self/status", &text, NULL, NULL);
    const char *line = text == NULL ? NULL : strstr(text, name);
    return line == NULL ? 0 : g_ascii_strtod(line + strlen(name), NULL);
}

/* Appends one service of engines with its models. */
static void
append_engine_service(GString *out)
{
    g_string_append(out, "{\"name\":\"huvo11a\",\"health_path\":\"/healthz\","
                         "\"max_connections\":510,\"protocol\":\"h1\","
                         "\"engine\":{\"slots\":16,\"kv_capacity\":63076,"
                         "\"models\":[");
    for (unsigned i = 0; i < MODELS; i++) {
        g_string_append_printf(
            out,
            "%s{\"name\":\"rada%06u\",\"weights_mb\":72700.0,\"load_s\":1.6,"
            "\"adapters\":%d,\"adapter_mb\":66.0,\"warm_s\":1.3}",
            i == 0 ? "" : ",", i, (int)ADAPTERS);
    }
    g_string_append(out, "],\"weights_mb\":200000.0,\"adapter_slots\":8,"
                         "\"loads_per_s\":1.4}}");
}

/* Returns the operators' JSON with this number of paths; free it with
 * g_free. */
static char *
make_json(unsigned paths)
{
    GString *out = g_string_new("{\"version\":7,\"routes\":[");
    for (unsigned i = 0; i < paths; i++) {
        g_string_append_printf(
            out,
            "%s{\"name\":\"r-%07u\",\"host\":\"ficu95.example\","
            "\"path_prefix\":\"/pufi%05u/\",\"type\":\"streaming\","
            "\"timeout_ms\":15000,\"target_latency_ms\":2500,\"priority\":1,"
            "\"service\":\"%s\",\"max_attempts\":1,\"sticky\":true,"
            "\"resumable\":false,\"target_gap_ms\":300}",
            i == 0 ? "" : ",", i, i, i % 3 == 0 ? "wuno96b" : "huvo11a");
    }
    g_string_append(out, "],\"services\":[");
    append_engine_service(out);
    g_string_append(out, ",{\"name\":\"wuno96b\",\"max_connections\":360}],"
                         "\"limits\":{\"max_header_bytes\":16384}}");
    return g_string_free(out, FALSE);
}

/* ---- the steps ---- */

/* Parses the outer JSON and decodes its base64 value. */
static bool
decode_response(struct copy *copy)
{
    JsonParser *parser = NULL;
    gsize length = 0;
    JsonObject *root =
        ch_json_parse_object(copy->body, strlen(copy->body), &parser);
    const char *value =
        root == NULL ? NULL : ch_json_get_string(root, "value");
    if (value != NULL) {
        copy->json = (char *)g_base64_decode(value, &length);
        copy->json_length = length;
    }
    g_object_unref(parser);
    return copy->json != NULL;
}

static bool
translate_to_ini(struct copy *copy)
{
    struct ch_error error = {0};
    copy->text = platform_config_to_ini(copy->json, copy->json_length, &error);
    return copy->text != NULL;
}

static bool
parse_declaration(struct copy *copy)
{
    struct ch_error error = {0};
    copy->declaration =
        ch_declaration_parse(copy->text, "configuration", &error);
    if (copy->declaration == NULL) {
        (void)fprintf(stderr, "%s\n", error.message);
    }
    return copy->declaration != NULL;
}

static bool
compress_text(struct copy *copy)
{
    copy->compressed = ch_compress(copy->declaration->canonical_text,
                                   strlen(copy->declaration->canonical_text));
    return true;
}

static bool
decompress_text(struct copy *copy)
{
    struct ch_error error = {0};
    gsize length = 0;
    const void *bytes = g_bytes_get_data(copy->compressed, &length);
    char *text = ch_decompress(bytes, length, MAX_TEXT_BYTES, NULL, &error);
    g_free(text);
    return text != NULL;
}

static const struct {
    const char *name;
    bool (*run)(struct copy *copy);
} steps[] = {
    {"outer JSON and base64", decode_response},
    {"translation", translate_to_ini},
    {"declaration parse", parse_declaration},
    {"packing", compress_text},
    {"unpacking", decompress_text},
};

/* ---- measuring ---- */

/* Returns a copy with the response body of the key-value store. */
static struct copy
make_copy(unsigned paths)
{
    g_autofree char *json = make_json(paths);
    g_autofree char *value =
        g_base64_encode((const guchar *)json, strlen(json));
    return (struct copy){
        .body = g_strdup_printf("{\"key\":\"op/config\",\"value\":\"%s\","
                                "\"revision\":412,\"created\":2,\"lease\":0,"
                                "\"at\":530}",
                                value),
    };
}

static void
clear_copy(struct copy *copy)
{
    g_free(copy->body);
    g_free(copy->json);
    g_free(copy->text);
    ch_declaration_free(copy->declaration);
    g_bytes_unref(copy->compressed);
}

/* Resets the peak memory (VmHWM) of this process; writing 5 to clear_refs does
 * this, see proc(5). */
static void
reset_peak_memory(void)
{
    int file = open("/proc/self/clear_refs", O_WRONLY | O_CLOEXEC);
    if (file >= 0) {
        ssize_t written = write(file, "5", 1);
        (void)written;
        close(file);
    }
}

/* Runs the steps until one fails and updates the minimum time and the highest
 * peak memory of each.  Returns the number of steps that succeeded. */
static size_t
run_steps(unsigned paths, double *us, double *peak_kb)
{
    struct copy copy = make_copy(paths);
    size_t step_count = 0;
    for (; step_count < G_N_ELEMENTS(steps); step_count++) {
        malloc_trim(0);
        reset_peak_memory();
        double rss_before_kb = read_status_kb("VmRSS:");
        double start_us = read_cpu_us();
        if (!steps[step_count].run(&copy)) {
            break;
        }
        double elapsed_us = read_cpu_us() - start_us;
        us[step_count] =
            us[step_count] == 0 ? elapsed_us : MIN(us[step_count], elapsed_us);
        peak_kb[step_count] =
            MAX(peak_kb[step_count], read_status_kb("VmHWM:") - rss_before_kb);
    }
    clear_copy(&copy);
    return step_count;
}

/* Runs all rounds of one size.  Each size needs a process of its own: heap
 * memory left by one size would hide the peaks of the next. */
static void
measure_size(unsigned paths)
{
    double us[G_N_ELEMENTS(steps)] = {0};
    double peak_kb[G_N_ELEMENTS(steps)] = {0};
    struct copy copy = make_copy(paths);
    (void)printf("figure: config %u paths: %zu bytes of answer\n", paths,
                 strlen(copy.body));
    clear_copy(&copy);
    size_t step_count = 0;
    for (unsigned round = 0; round < ROUNDS; round++) {
        step_count = run_steps(paths, us, peak_kb);
    }
    double sum = 0;
    for (size_t i = 0; i < step_count; i++) {
        (void)printf("figure: config %u paths: %s %.1f ms, peak %.0f kB\n",
                     paths, steps[i].name, us[i] / 1000, peak_kb[i]);
        sum += us[i] / 1000;
    }
    (void)printf("figure: config %u paths: all %.1f ms%s%s\n", paths, sum,
                 step_count < G_N_ELEMENTS(steps) ? ", not done: " : "",
                 step_count < G_N_ELEMENTS(steps) ? steps[step_count].name
                                                  : "");
}

int
main(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(path_counts); i++) {
        (void)fflush(stdout);
        pid_t child = fork();
        if (child == 0) {
            measure_size(path_counts[i]);
            return 0;
        }
        int status = 0;
        if (child < 0 || waitpid(child, &status, 0) != child || status != 0) {
            return 1;
        }
    }
    return 0;
}
