/* Result of a run and its output as JSON. */

#include "replay/replay.h"

#include <inttypes.h>
#include <string.h>

static GArray *
new_times(void)
{
    return g_array_new(FALSE, FALSE, sizeof(int64_t));
}

/* Returns a result with all counts at 0 and an element for each class; the
 * caller frees it. */
struct ch_result *
ch_result_new(const struct ch_declaration *declaration)
{
    struct ch_result *result = g_new0(struct ch_result, 1);
    result->refusal_times = new_times();
    result->goodput = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    result->offered = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    result->class_count = declaration->class_count;
    result->classes = g_new0(struct ch_result_class, result->class_count);
    for (size_t i = 0; i < result->class_count; i++) {
        result->classes[i].name = g_strdup(declaration->classes[i].name);
        result->classes[i].response_times = new_times();
    }
    return result;
}

/* Frees a result; NULL is fine. */
void
ch_result_free(struct ch_result *result)
{
    if (result == NULL) {
        return;
    }
    for (size_t i = 0; i < result->class_count; i++) {
        g_free(result->classes[i].name);
        g_array_unref(result->classes[i].response_times);
    }
    g_array_unref(result->refusal_times);
    g_array_unref(result->goodput);
    g_array_unref(result->offered);
    g_free(result->classes);
    g_free(result);
}

static int
compare_times(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left > right) - (left < right);
}

/* Returns the quantile in thousandths; 0 if the array is empty.  Sorts the
 * array. */
int64_t
ch_result_get_quantile(GArray *times, unsigned per_mille)
{
    if (times->len == 0) {
        return 0;
    }
    g_array_sort(times, compare_times);
    guint rank = (guint)((uint64_t)(times->len - 1) * per_mille / 1000);
    return g_array_index(times, int64_t, rank);
}

/* Returns the share of requests that met their target; 1 without requests. */
double
ch_result_get_attainment(const struct ch_result *result)
{
    return result->requests == 0
               ? 1.0
               : (double)result->met / (double)result->requests;
}

/* Appends a number with six decimals, the same in every locale. */
static void
append_number(GString *out, const char *name, double value)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(text, sizeof(text), "%.6f", value);
    g_string_append_printf(out, "  \"%s\": %s,\n", name, text);
}

static void
append_count(GString *out, const char *name, uint64_t value)
{
    g_string_append_printf(out, "  \"%s\": %" PRIu64 ",\n", name, value);
}

/* Appends microseconds as milliseconds with three decimals. */
static void
append_ms(GString *out, const char *name, int64_t time, const char *end)
{
    g_string_append_printf(out, "\"%s\": %" PRId64 ".%03d%s", name,
                           time / 1000, (int)(time % 1000), end);
}

static void
append_class(GString *out, const struct ch_result_class *class, bool last)
{
    g_string_append_printf(
        out,
        "    \"%s\": {\"requests\": %" PRIu64 ", \"met\": %" PRIu64
        ", \"refused\": %" PRIu64 ", ",
        class->name, class->requests, class->met, class->refused);
    append_ms(out, "p50_ms",
              ch_result_get_quantile(class->response_times, 500), ", ");
    append_ms(out, "p95_ms",
              ch_result_get_quantile(class->response_times, 950), ", ");
    append_ms(out, "p99_ms",
              ch_result_get_quantile(class->response_times, 990), "}");
    g_string_append(out, last ? "\n" : ",\n");
}

/* Appends one JSON object and a newline.  The members up to per_class are the
 * public interface; those after it are for the development of policies. */
void
ch_result_print(struct ch_result *result, GString *out)
{
    double attainment = ch_result_get_attainment(result);
    uint32_t accelerators = MAX(result->accelerators, 1);
    g_string_append(out, "{\n");
    append_count(out, "requests", result->requests);
    append_count(out, "met", result->met);
    append_count(out, "refused_not_run", result->refused_not_run);
    append_count(out, "failed", result->failed);
    append_count(out, "unknown", result->unknown);
    append_number(out, "attainment", attainment);
    append_count(out, "accelerators", result->accelerators);
    append_number(out, "attainment_per_accelerator",
                  attainment / accelerators);
    g_string_append_printf(
        out,
        "  \"moves\": {\"model_loads\": %" PRIu64
        ", \"model_unloads\": %" PRIu64 ", \"adapter_loads\": %" PRIu64 "},\n",
        result->model_loads, result->model_unloads, result->adapter_loads);
    append_count(out, "overcommit_events", result->overcommit_events);
    append_count(out, "unreachable_models", result->unreachable_models);
    append_count(out, "link_bytes", result->link_bytes);
    append_count(out, "retries", result->retries);
    g_string_append(out, "  \"per_class\": {\n");
    for (size_t i = 0; i < result->class_count; i++) {
        append_class(out, &result->classes[i], i + 1 == result->class_count);
    }
    g_string_append(out, "  },\n");
    append_count(out, "ran_twice", result->ran_twice);
    append_count(out, "dispatches", result->dispatches);
    append_count(out, "run_late", result->run_late);
    append_number(out, "worst_tenant", result->worst_tenant);
    append_number(out, "bound", result->bound);
    g_string_append(out, "  ");
    append_ms(out, "refusal_p95_ms",
              ch_result_get_quantile(result->refusal_times, 950), "\n}\n");
}
