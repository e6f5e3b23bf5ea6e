/* Writes the report as text. */

#include "explain/explain_internal.h"

#include "base/base.h"

#include <string.h>

enum {
    /* The report lists this many of the changes that took longest. */
    LONGEST_CHANGES_SHOWN = 5,
};

static const char *const outcome_names[CH_EXPLAIN_OUTCOME_COUNT] = {
    "served", "full", "absent", "quota", "refused",
    "engine", "time", "gone",   "other",
};

/* ---- numbers ---- */

/* The value (microseconds) below which the fraction of the values lies, in
 * milliseconds; 0 without values.  Sorts the values. */
static double
percentile_ms(GArray *values, double fraction)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, ch_compare_int64);
    guint index = (guint)(fraction * (values->len - 1));
    return (double)g_array_index(values, int64_t, index) / 1000;
}

/* Appends the time of day in UTC; seconds since 1970. */
static void
append_time_of_day(GString *out, int64_t seconds)
{
    GDateTime *time = g_date_time_new_from_unix_utc(seconds);
    char *text = g_date_time_format(time, "%H:%M:%S");
    g_string_append(out, text);
    g_free(text);
    g_date_time_unref(time);
}

/* ---- requests ---- */

/* Sorts rows by time, then by model. */
static gint
compare_rows(gconstpointer a, gconstpointer b)
{
    const struct ch_explain_row *first = *(struct ch_explain_row *const *)a;
    const struct ch_explain_row *second = *(struct ch_explain_row *const *)b;
    if (first->interval != second->interval) {
        return first->interval < second->interval ? -1 : 1;
    }
    return strcmp(first->model, second->model);
}

static void
append_row(GString *out, const struct ch_explain *explain,
           const struct ch_explain_row *row)
{
    unsigned request_count = 0;
    for (int i = 0; i < CH_EXPLAIN_OUTCOME_COUNT; i++) {
        request_count += row->outcomes[i];
    }
    append_time_of_day(out, row->interval * explain->interval_s);
    g_string_append_printf(out, "  %-16s %7u %7u", row->model, request_count,
                           row->within_target);
    for (int i = 0; i < CH_EXPLAIN_OUTCOME_COUNT; i++) {
        g_string_append_printf(out, " %7u", row->outcomes[i]);
    }
    g_string_append_printf(out, " %8.0f %8.0f\n",
                           percentile_ms(row->first_data_times, 0.5),
                           percentile_ms(row->first_data_times, 0.95));
}

/* Appends the header and the rows of all intervals and models. */
static void
append_rows(GString *out, struct ch_explain *explain)
{
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer row = NULL;
    g_hash_table_iter_init(&iterator, explain->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &row)) {
        g_ptr_array_add(rows, row);
    }
    g_ptr_array_sort(rows, compare_rows);
    g_string_append_printf(out, "%-8s  %-16s %7s %7s", "from", "model",
                           "asked", "in time");
    for (int i = 0; i < CH_EXPLAIN_OUTCOME_COUNT; i++) {
        g_string_append_printf(out, " %7s", outcome_names[i]);
    }
    g_string_append_printf(out, " %8s %8s\n", "p50 ms", "p95 ms");
    for (guint i = 0; i < rows->len; i++) {
        append_row(out, explain, g_ptr_array_index(rows, i));
    }
    g_ptr_array_free(rows, TRUE);
}

/* ---- changes of the models on engines ---- */

/* Sorts changes by duration, the longest first. */
static gint
compare_durations(gconstpointer a, gconstpointer b)
{
    const struct ch_explain_change *first =
        *(struct ch_explain_change *const *)a;
    const struct ch_explain_change *second =
        *(struct ch_explain_change *const *)b;
    int64_t x = first->loaded_at - first->decided_at;
    int64_t y = second->loaded_at - second->decided_at;
    return (x < y) - (x > y);
}

/* Appends a line on the durations (microseconds) and frees the array. */
static void
append_duration(GString *out, const char *label, GArray *durations)
{
    g_string_append_printf(
        out, "%-22s %5u  p50 %6.0f ms  p90 %6.0f ms\n", label, durations->len,
        percentile_ms(durations, 0.5), percentile_ms(durations, 0.9));
    g_array_free(durations, TRUE);
}

/* Appends how long the changes took in total and in each of their parts. */
static void
append_durations(GString *out, const struct ch_explain *explain)
{
    GArray *totals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *unloads = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *store_loads = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *copy_loads = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < explain->finished_changes->len; i++) {
        const struct ch_explain_change *change =
            g_ptr_array_index(explain->finished_changes, i);
        int64_t total = change->loaded_at - change->decided_at;
        int64_t unload = change->memory_freed_at - change->decided_at;
        int64_t load = change->loaded_at - change->load_ordered_at;
        g_array_append_val(totals, total);
        if (change->memory_freed_at != 0) {
            g_array_append_val(unloads, unload);
        }
        g_array_append_val(change->from_store ? store_loads : copy_loads,
                           load);
    }
    append_duration(out, "changes, whole", totals);
    append_duration(out, "making room", unloads);
    append_duration(out, "loads from the store", store_loads);
    append_duration(out, "loads of a copy", copy_loads);
}

/* Appends the changes that took longest. */
static void
append_longest(GString *out, const struct ch_explain *explain)
{
    g_ptr_array_sort(explain->finished_changes, compare_durations);
    for (guint i = 0;
         i < explain->finished_changes->len && i < LONGEST_CHANGES_SHOWN;
         i++) {
        const struct ch_explain_change *change =
            g_ptr_array_index(explain->finished_changes, i);
        append_time_of_day(out, change->decided_at / G_USEC_PER_SEC);
        g_string_append_printf(
            out, "  %s on %s: %" G_GINT64_FORMAT " ms\n", change->model,
            change->upstream, (change->loaded_at - change->decided_at) / 1000);
    }
}

/* ---- models with a shortage ---- */

/* Sorts models by the number of lines on their shortage, the highest first. */
static gint
compare_shortages(gconstpointer a, gconstpointer b)
{
    const struct ch_explain_shortage *first = a;
    const struct ch_explain_shortage *second = b;
    if (first->line_count != second->line_count) {
        return first->line_count > second->line_count ? -1 : 1;
    }
    return strcmp(first->model, second->model);
}

/* Appends all shortages.  The numbers of engines with a pending change,
 * without enough memory or without a load are means per line. */
static void
append_shortages(GString *out, const struct ch_explain *explain)
{
    GList *entries = g_list_sort(g_hash_table_get_values(explain->shortages),
                                 compare_shortages);
    g_string_append_printf(out, "%-16s %6s %9s %8s %9s %8s %8s\n", "model",
                           "lines", "asked", "replicas", "changing", "no room",
                           "no load");
    for (const GList *node = entries; node != NULL; node = node->next) {
        const struct ch_explain_shortage *entry = node->data;
        double lines = entry->line_count;
        g_string_append_printf(
            out, "%-16s %6u %9.1f %8u %9.1f %8.1f %8.1f\n", entry->model,
            entry->line_count, (double)entry->max_demand_thousandths / 1000,
            entry->min_replicas, (double)entry->engines_changing / lines,
            (double)entry->engines_without_memory / lines,
            (double)entry->engines_without_load / lines);
    }
    g_list_free(entries);
}

/* See explain.h. */
char *
ch_explain_report(struct ch_explain *explain)
{
    GString *out = g_string_new(NULL);
    append_rows(out, explain);
    g_string_append(out, "\nChanges of models\n");
    append_durations(out, explain);
    if (explain->finished_changes->len > 0) {
        g_string_append(out, "the longest:\n");
        append_longest(out, explain);
    }
    g_string_append(out, "\nModels that stayed short\n");
    append_shortages(out, explain);
    return g_string_free(out, FALSE);
}
