/* What was gathered from logs, as text. */

#include "explain/explain_internal.h"

#include "base/base.h"

#include <string.h>

enum {
    /* Changes that took longest are listed, so many. */
    MOST_LONGEST = 5,
};

static const char *const endings[CH_ENDING_COUNT] = {
    "served", "full", "absent", "refused", "engine", "time", "gone", "other",
};

/* ---- numbers ---- */

/* The value below which a part of the values lies, in milliseconds; they are
 * put in order. */
static double
part_ms(GArray *values, double part)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, ch_compare_int64);
    guint at = (guint)(part * (values->len - 1));
    return (double)g_array_index(values, int64_t, at) / 1000;
}

/* Adds a time of day, in UTC. */
static void
add_clock(GString *out, int64_t seconds)
{
    GDateTime *time = g_date_time_new_from_unix_utc(seconds);
    char *text = g_date_time_format(time, "%H:%M:%S");
    g_string_append(out, text);
    g_free(text);
    g_date_time_unref(time);
}

/* ---- requests ---- */

/* Orders rows by time, then by model. */
static gint
by_time(gconstpointer a, gconstpointer b)
{
    const struct ch_explain_row *first = *(struct ch_explain_row *const *)a;
    const struct ch_explain_row *second = *(struct ch_explain_row *const *)b;
    if (first->interval != second->interval) {
        return first->interval < second->interval ? -1 : 1;
    }
    return strcmp(first->model, second->model);
}

/* Adds one row. */
static void
add_row(GString *out, const struct ch_explain *explain,
        const struct ch_explain_row *row)
{
    unsigned asked = 0;
    for (int i = 0; i < CH_ENDING_COUNT; i++) {
        asked += row->endings[i];
    }
    add_clock(out, row->interval * explain->interval);
    g_string_append_printf(out, "  %-16s %7u %7u", row->model, asked,
                           row->in_time);
    for (int i = 0; i < CH_ENDING_COUNT; i++) {
        g_string_append_printf(out, " %7u", row->endings[i]);
    }
    g_string_append_printf(out, " %8.0f %8.0f\n", part_ms(row->firsts, 0.5),
                           part_ms(row->firsts, 0.95));
}

/* Adds all rows. */
static void
add_rows(GString *out, struct ch_explain *explain)
{
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer row = NULL;
    g_hash_table_iter_init(&iterator, explain->rows);
    while (g_hash_table_iter_next(&iterator, NULL, &row)) {
        g_ptr_array_add(rows, row);
    }
    g_ptr_array_sort(rows, by_time);
    g_string_append_printf(out, "%-8s  %-16s %7s %7s", "from", "model",
                           "asked", "in time");
    for (int i = 0; i < CH_ENDING_COUNT; i++) {
        g_string_append_printf(out, " %7s", endings[i]);
    }
    g_string_append_printf(out, " %8s %8s\n", "p50 ms", "p95 ms");
    for (guint i = 0; i < rows->len; i++) {
        add_row(out, explain, g_ptr_array_index(rows, i));
    }
    g_ptr_array_free(rows, TRUE);
}

/* ---- changes ---- */

/* Orders changes by how long they took, the longest first. */
static gint
by_length(gconstpointer a, gconstpointer b)
{
    const struct ch_explain_change *first =
        *(struct ch_explain_change *const *)a;
    const struct ch_explain_change *second =
        *(struct ch_explain_change *const *)b;
    int64_t x = first->loaded - first->decided;
    int64_t y = second->loaded - second->decided;
    return (x < y) - (x > y);
}

/* Adds a line on one part of all changes. */
static void
add_part(GString *out, const char *what, GArray *times)
{
    g_string_append_printf(out, "%-22s %5u  p50 %6.0f ms  p90 %6.0f ms\n",
                           what, times->len, part_ms(times, 0.5),
                           part_ms(times, 0.9));
    g_array_free(times, TRUE);
}

/* Adds the parts of all changes. */
static void
add_parts(GString *out, const struct ch_explain *explain)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *store = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GArray *copies = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (guint i = 0; i < explain->changes->len; i++) {
        const struct ch_explain_change *change =
            g_ptr_array_index(explain->changes, i);
        int64_t whole = change->loaded - change->decided;
        int64_t room = change->room - change->decided;
        int64_t load = change->loaded - change->load;
        g_array_append_val(all, whole);
        if (change->room != 0) {
            g_array_append_val(rooms, room);
        }
        g_array_append_val(change->from_store ? store : copies, load);
    }
    add_part(out, "changes, whole", all);
    add_part(out, "making room", rooms);
    add_part(out, "loads from the store", store);
    add_part(out, "loads of a copy", copies);
}

/* Adds the changes that took longest. */
static void
add_longest(GString *out, const struct ch_explain *explain)
{
    g_ptr_array_sort(explain->changes, by_length);
    for (guint i = 0; i < explain->changes->len && i < MOST_LONGEST; i++) {
        const struct ch_explain_change *change =
            g_ptr_array_index(explain->changes, i);
        add_clock(out, change->decided / G_USEC_PER_SEC);
        g_string_append_printf(out, "  %s on %s: %" G_GINT64_FORMAT " ms\n",
                               change->model, change->upstream,
                               (change->loaded - change->decided) / 1000);
    }
}

/* ---- models that stayed short ---- */

/* Orders models by how often they were short. */
static gint
by_lines(gconstpointer a, gconstpointer b)
{
    const struct ch_explain_short *first = a;
    const struct ch_explain_short *second = b;
    if (first->lines != second->lines) {
        return first->lines > second->lines ? -1 : 1;
    }
    return strcmp(first->model, second->model);
}

/* Adds all of them; obstacles are means of engines. */
static void
add_shorts(GString *out, const struct ch_explain *explain)
{
    GList *entries =
        g_list_sort(g_hash_table_get_values(explain->shorts), by_lines);
    g_string_append_printf(out, "%-16s %6s %9s %8s %9s %8s %8s\n", "model",
                           "lines", "asked", "replicas", "changing", "no room",
                           "no load");
    for (const GList *at = entries; at != NULL; at = at->next) {
        const struct ch_explain_short *entry = at->data;
        double lines = entry->lines;
        g_string_append_printf(
            out, "%-16s %6u %9.1f %8u %9.1f %8.1f %8.1f\n", entry->model,
            entry->lines, (double)entry->most_asked / 1000,
            entry->least_replicas, (double)entry->changing / lines,
            (double)entry->no_room / lines, (double)entry->no_load / lines);
    }
    g_list_free(entries);
}

/* See explain.h. */
char *
ch_explain_report(struct ch_explain *explain)
{
    GString *out = g_string_new(NULL);
    add_rows(out, explain);
    g_string_append(out, "\nChanges of models\n");
    add_parts(out, explain);
    if (explain->changes->len > 0) {
        g_string_append(out, "the longest:\n");
        add_longest(out, explain);
    }
    g_string_append(out, "\nModels that stayed short\n");
    add_shorts(out, explain);
    return g_string_free(out, FALSE);
}
