/* Collects what the report needs from the log lines of nodes. */

#include "explain/explain_internal.h"

#include "base/base.h"
#include "base/json.h"

#include <string.h>

/* ---- creation and destruction ---- */

static void
free_row(void *data)
{
    struct ch_explain_row *row = data;
    g_array_free(row->first_data_times, TRUE);
    g_free(row->model);
    g_free(row);
}

static void
free_change(void *data)
{
    struct ch_explain_change *change = data;
    g_free(change->upstream);
    g_free(change->model);
    g_free(change);
}

static void
free_shortage(void *data)
{
    struct ch_explain_shortage *entry = data;
    g_free(entry->model);
    g_free(entry);
}

/* See explain.h. */
struct ch_explain *
ch_explain_new(unsigned interval)
{
    struct ch_explain *explain = g_new0(struct ch_explain, 1);
    explain->interval_s = MAX(interval, 1);
    explain->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    explain->pending_changes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_change);
    explain->finished_changes = g_ptr_array_new_with_free_func(free_change);
    explain->shortages =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_shortage);
    return explain;
}

/* Frees explain, which may be NULL. */
void
ch_explain_free(struct ch_explain *explain)
{
    if (explain == NULL) {
        return;
    }
    g_hash_table_destroy(explain->rows);
    g_hash_table_destroy(explain->pending_changes);
    g_ptr_array_free(explain->finished_changes, TRUE);
    g_hash_table_destroy(explain->shortages);
    g_free(explain);
}

/* ---- JSON members ---- */

/* An integer member, or 0 if the member is absent or has another type. */
static int64_t
get_integer(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_INT64
               ? json_node_get_int(node)
               : 0;
}

/* True if the member is the boolean true. */
static bool
get_flag(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
           json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
           json_node_get_boolean(node);
}

/* The time of a line in microseconds since 1970, or 0 without a valid time. */
static int64_t
get_time(JsonObject *object)
{
    const char *text = ch_json_get_string(object, "time");
    GDateTime *time =
        text == NULL ? NULL : g_date_time_new_from_iso8601(text, NULL);
    if (time == NULL) {
        return 0;
    }
    int64_t unix_time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
                           g_date_time_get_microsecond(time);
    g_date_time_unref(time);
    return unix_time_us;
}

/* ---- requests ---- */

static enum ch_explain_outcome
outcome_of_code(int64_t code)
{
    switch (code) {
    case CH_OK:
        return CH_EXPLAIN_SERVED;
    case CH_LATE:
    case CH_SHARE_FULL:
    case CH_QUEUE_FULL:
    case CH_UPSTREAM_LIMITED:
    case CH_UPSTREAM_WAITS:
        return CH_EXPLAIN_FULL;
    case CH_NO_UPSTREAM:
        return CH_EXPLAIN_NO_REPLICA;
    case CH_QUOTA_USED:
        return CH_EXPLAIN_OVER_QUOTA;
    case CH_QUOTA_UNAVAILABLE:
    case CH_STOPPING:
    case CH_NOT_READY:
    case CH_ONCE_UNAVAILABLE:
    case CH_UPSTREAM_REFUSED:
    case CH_CRASHES_UPSTREAMS:
        return CH_EXPLAIN_REFUSED;
    case CH_UPSTREAM_CONNECT:
    case CH_UPSTREAM_STALLED:
    case CH_UPSTREAM_CUT:
    case CH_UPSTREAM_CROSSED:
    case CH_UPSTREAM_ANSWER:
        return CH_EXPLAIN_ENGINE_FAILED;
    case CH_DEADLINE:
        return CH_EXPLAIN_TIMED_OUT;
    case CH_CANCELLED:
        return CH_EXPLAIN_DISCONNECTED;
    default:
        return CH_EXPLAIN_OTHER;
    }
}

/* The row for a model and the interval that contains time (microseconds since
 * 1970).  Adds the row if there is none. */
static struct ch_explain_row *
get_row(struct ch_explain *explain, const char *model, int64_t time)
{
    int64_t interval_index = time / G_USEC_PER_SEC / explain->interval_s;
    char *key =
        g_strdup_printf("%" G_GINT64_FORMAT " %s", interval_index, model);
    struct ch_explain_row *row = g_hash_table_lookup(explain->rows, key);
    if (row != NULL) {
        g_free(key);
        return row;
    }
    row = g_new0(struct ch_explain_row, 1);
    row->interval = interval_index;
    row->model = g_strdup(model);
    row->first_data_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    g_hash_table_insert(explain->rows, key, row);
    return row;
}

/* Adds a finished request to the interval in which the request arrived, which
 * is total_us before the time of the line. */
static void
add_request(struct ch_explain *explain, JsonObject *line, int64_t time)
{
    const char *model = ch_json_get_string(line, "model");
    int64_t first_data_time = get_integer(line, "first_us");
    if (model == NULL || model[0] == '\0') {
        return;
    }
    struct ch_explain_row *row =
        get_row(explain, model, time - get_integer(line, "total_us"));
    enum ch_explain_outcome outcome =
        outcome_of_code(get_integer(line, "code"));
    row->outcomes[outcome]++;
    row->within_target +=
        outcome == CH_EXPLAIN_SERVED && first_data_time > 0 &&
                first_data_time <= get_integer(line, "target_us")
            ? 1
            : 0;
    if (first_data_time > 0) {
        g_array_append_val(row->first_data_times, first_data_time);
    }
}

/* ---- changes of the models on engines ---- */

/* Adds a decision to load or unload a model.  An unload begins a change only
 * if the memory is reserved for another model.  A decision for another model
 * than that of the pending change replaces the pending change. */
static void
add_model_move(struct ch_explain *explain, JsonObject *line, int64_t time)
{
    const char *upstream = ch_json_get_string(line, "upstream");
    const char *model = ch_json_get_string(line, "model");
    const char *reserved_for = ch_json_get_string(line, "pledged");
    bool is_load = g_strcmp0(ch_json_get_string(line, "action"), "load") == 0;
    const char *incoming_model = is_load ? model : reserved_for;
    if (upstream == NULL || incoming_model == NULL ||
        incoming_model[0] == '\0') {
        return;
    }
    struct ch_explain_change *change =
        g_hash_table_lookup(explain->pending_changes, upstream);
    if (change == NULL || strcmp(change->model, incoming_model) != 0) {
        change = g_new0(struct ch_explain_change, 1);
        change->upstream = g_strdup(upstream);
        change->model = g_strdup(incoming_model);
        change->decided_at = time;
        g_hash_table_replace(explain->pending_changes, change->upstream,
                             change);
    }
    change->load_ordered_at = is_load ? time : change->load_ordered_at;
    change->from_store = change->from_store || get_flag(line, "from_store");
}

/* Adds a finished unload: memory is free for the pending change, unless its
 * load was decided before. */
static void
add_model_unloaded(struct ch_explain *explain, JsonObject *line, int64_t time)
{
    const char *upstream = ch_json_get_string(line, "upstream");
    struct ch_explain_change *change =
        upstream == NULL
            ? NULL
            : g_hash_table_lookup(explain->pending_changes, upstream);
    if (change != NULL && change->load_ordered_at == 0) {
        change->memory_freed_at = time;
    }
}

/* Adds a finished load, which ends the pending change. */
static void
add_model_loaded(struct ch_explain *explain, JsonObject *line, int64_t time)
{
    const char *upstream = ch_json_get_string(line, "upstream");
    const char *model = ch_json_get_string(line, "model");
    struct ch_explain_change *change =
        upstream == NULL
            ? NULL
            : g_hash_table_lookup(explain->pending_changes, upstream);
    if (change == NULL || g_strcmp0(change->model, model) != 0) {
        return;
    }
    g_hash_table_steal(explain->pending_changes, upstream);
    change->loaded_at = time;
    g_ptr_array_add(explain->finished_changes, change);
}

/* ---- models with a shortage ---- */

/* Adds a line of a lease holder that found a shortage of a model and
 * decided neither to load the model nor to free memory for it. */
static void
add_model_shortage(struct ch_explain *explain, JsonObject *line, int64_t time)
{
    (void)time;
    const char *model = ch_json_get_string(line, "model");
    if (model == NULL) {
        return;
    }
    unsigned replicas = (unsigned)get_integer(line, "replicas");
    struct ch_explain_shortage *entry =
        g_hash_table_lookup(explain->shortages, model);
    if (entry == NULL) {
        entry = g_new0(struct ch_explain_shortage, 1);
        entry->model = g_strdup(model);
        entry->min_replicas = replicas;
        g_hash_table_insert(explain->shortages, entry->model, entry);
    }
    entry->line_count++;
    entry->max_demand_thousandths = MAX(
        entry->max_demand_thousandths, get_integer(line, "asked_thousandths"));
    entry->min_replicas = MIN(entry->min_replicas, replicas);
    entry->engines_changing += get_integer(line, "changing");
    entry->engines_without_memory += get_integer(line, "no_room");
    entry->engines_without_load += get_integer(line, "no_load");
}

/* ---- log lines ---- */

static const struct {
    const char *event;
    void (*add)(struct ch_explain *explain, JsonObject *line, int64_t time);
} events[] = {
    {"request", add_request},
    {"model-move", add_model_move},
    {"model-unloaded", add_model_unloaded},
    {"model-loaded", add_model_loaded},
    {"model-short", add_model_shortage},
};

/* Adds an event; other kinds of events are ignored.  False if the object has
 * no event or no valid time. */
static bool
add_event(struct ch_explain *explain, JsonObject *object)
{
    const char *event = ch_json_get_string(object, "event");
    int64_t time = get_time(object);
    if (event == NULL || time == 0) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (strcmp(events[i].event, event) == 0) {
            events[i].add(explain, object, time);
        }
    }
    return true;
}

/* See explain.h. */
bool
ch_explain_add_line(struct ch_explain *explain, const char *line)
{
    const char *json = strchr(line, '{');
    if (json == NULL) {
        return false;
    }
    size_t length = strlen(json);
    while (length > 0 && g_ascii_isspace(json[length - 1])) {
        length--;
    }
    JsonParser *parser = NULL;
    JsonObject *object = ch_json_parse_object(json, length, &parser);
    bool ok = object != NULL && add_event(explain, object);
    g_object_unref(parser);
    return ok;
}
