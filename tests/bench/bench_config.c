/* What a copy of the configuration costs a node, step by step, from the
 * store's answer to what is in force: processor time, and the memory in use
 * at the step's peak beyond what was in use before it. */

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
    /* The least of several is what the work takes; a mean tells of the
     * machine as well. */
    ROUNDS = 9,
    MODELS = 84,
    ADAPTERS = 60,
    MOST_TEXT = 8 * 1024 * 1024,
};

static const unsigned sizes[] = {1400, 4200, 10000};

/* A configuration on its way into force; what no step made yet is NULL. */
struct copy {
    char *body; /* the store's answer */
    char *json;
    size_t json_length;
    char *text;
    struct ch_declaration *declaration;
    GBytes *packed;
};

/* Processor time in microseconds. */
static double
cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* A line of the process's own figures, in kB; "VmRSS:", "VmHWM:". */
static double
status_kb(const char *name)
{
    g_autofree char *text = NULL;
    g_file_get_contents("/proc/self/status", &text, NULL, NULL);
    const char *line = text == NULL ? NULL : strstr(text, name);
    return line == NULL ? 0 : g_ascii_strtod(line + strlen(name), NULL);
}

/* Appends one service with its models. */
static void
put_engine(GString *out)
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

/* The operators' JSON with so many paths; g_free. */
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
    put_engine(out);
    g_string_append(out, ",{\"name\":\"wuno96b\",\"max_connections\":360}],"
                         "\"limits\":{\"max_header_bytes\":16384}}");
    return g_string_free(out, FALSE);
}

/* ---- the steps ---- */

/* The outer JSON and its base64. */
static bool
unwrap(struct copy *copy)
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
translate(struct copy *copy)
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
pack(struct copy *copy)
{
    copy->packed = ch_compress(copy->declaration->canonical_text,
                               strlen(copy->declaration->canonical_text));
    return true;
}

static bool
unpack(struct copy *copy)
{
    struct ch_error error = {0};
    gsize length = 0;
    const void *bytes = g_bytes_get_data(copy->packed, &length);
    char *text = ch_decompress(bytes, length, MOST_TEXT, NULL, &error);
    g_free(text);
    return text != NULL;
}

static const struct {
    const char *name;
    bool (*run)(struct copy *copy);
} steps[] = {
    {"outer JSON and base64", unwrap},
    {"translation", translate},
    {"declaration parse", parse_declaration},
    {"packing", pack},
    {"unpacking", unpack},
};

/* ---- measuring ---- */

/* The store's answer. */
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

/* Frees what the steps made. */
static void
clear_copy(struct copy *copy)
{
    g_free(copy->body);
    g_free(copy->json);
    g_free(copy->text);
    ch_declaration_free(copy->declaration);
    g_bytes_unref(copy->packed);
}

/* Forgets the highest memory so far; 5 stands for that (proc(5)). */
static void
forget_peak(void)
{
    int file = open("/proc/self/clear_refs", O_WRONLY | O_CLOEXEC);
    if (file >= 0) {
        ssize_t written = write(file, "5", 1);
        (void)written;
        close(file);
    }
}

/* One walk through the steps, as far as they get; the least time of each and
 * its highest peak are kept.  How many were done. */
static size_t
walk(unsigned paths, double *us, double *peak_kb)
{
    struct copy copy = make_copy(paths);
    size_t done = 0;
    for (; done < G_N_ELEMENTS(steps); done++) {
        malloc_trim(0);
        forget_peak();
        double held = status_kb("VmRSS:");
        double begun = cpu_us();
        if (!steps[done].run(&copy)) {
            break;
        }
        double us_taken = cpu_us() - begun;
        us[done] = us[done] == 0 ? us_taken : MIN(us[done], us_taken);
        peak_kb[done] = MAX(peak_kb[done], status_kb("VmHWM:") - held);
    }
    clear_copy(&copy);
    return done;
}

/* All rounds of one size, in a process of its own: what one size leaves to
 * the heap would hide the peaks of the next. */
static void
measure(unsigned paths)
{
    double us[G_N_ELEMENTS(steps)] = {0};
    double peak_kb[G_N_ELEMENTS(steps)] = {0};
    struct copy copy = make_copy(paths);
    (void)printf("figure: config %u paths: %zu bytes of answer\n", paths,
                 strlen(copy.body));
    clear_copy(&copy);
    size_t done = 0;
    for (unsigned round = 0; round < ROUNDS; round++) {
        done = walk(paths, us, peak_kb);
    }
    double sum = 0;
    for (size_t i = 0; i < done; i++) {
        (void)printf("figure: config %u paths: %s %.1f ms, peak %.0f kB\n",
                     paths, steps[i].name, us[i] / 1000, peak_kb[i]);
        sum += us[i] / 1000;
    }
    (void)printf("figure: config %u paths: all %.1f ms%s%s\n", paths, sum,
                 done < G_N_ELEMENTS(steps) ? ", not done: " : "",
                 done < G_N_ELEMENTS(steps) ? steps[done].name : "");
}

int
main(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        (void)fflush(stdout);
        pid_t child = fork();
        if (child == 0) {
            measure(sizes[i]);
            return 0;
        }
        int status = 0;
        if (child < 0 || waitpid(child, &status, 0) != child || status != 0) {
            return 1;
        }
    }
    return 0;
}
