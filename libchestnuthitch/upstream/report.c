/* Parses an engine's report, the JSON of GET /v1/load. */

#include "upstream/report.h"
#include "base/json.h"

enum {
    /*
     * Larger than any real engine's memory or count, and small enough that
     * sums do not overflow.
     */
    MAX_NUMBER = 1000 * 1000 * 1000,
};

void
ch_engine_report_free(struct ch_engine_report *report)
{
    if (report == NULL) {
        return;
    }
    for (size_t i = 0; i < report->resident_item_count; i++) {
        g_free(report->resident_items[i].name);
    }
    g_free(report->resident_items);
    g_strfreev(report->done_order_ids);
    g_free(report->boot_id);
    g_free(report);
}

/* Returns a string member; "" with *error if it is not a string. */
static const char *
get_string_member(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_get_string(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_UPSTREAM_ANSWER, "report: %s is not a string",
                     name);
        return "";
    }
    return text;
}

/*
 * Returns a non-negative integer member; 0 with *error if it is not one, or
 * out of range.
 */
static uint32_t
get_uint_member(JsonObject *object, const char *name, struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    int64_t value = -1;
    if (node != NULL && json_node_get_value_type(node) == G_TYPE_INT64) {
        value = json_node_get_int(node);
    }
    if (value < 0 || value > MAX_NUMBER) {
        ch_error_set(error, CH_UPSTREAM_ANSWER,
                     "report: %s is not a number in range", name);
        return 0;
    }
    return (uint32_t)value;
}

/* Returns an array member; NULL with *error if it is not an array. */
static JsonArray *
get_array_member(JsonObject *object, const char *name, struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        ch_error_set(error, CH_UPSTREAM_ANSWER, "report: %s is not an array",
                     name);
        return NULL;
    }
    return json_node_get_array(node);
}

/* Reads "resident": the items in memory and how much memory each takes. */
static void
read_resident(JsonArray *array, struct ch_engine_report *report,
              struct ch_error *error)
{
    guint count = json_array_get_length(array);
    report->resident_items = g_new0(struct ch_resident_item, count);
    for (guint i = 0; i < count; i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (!JSON_NODE_HOLDS_OBJECT(node)) {
            ch_error_set(error, CH_UPSTREAM_ANSWER,
                         "report: resident holds no object");
            return;
        }
        JsonObject *object = json_node_get_object(node);
        struct ch_resident_item *resident = &report->resident_items[i];
        resident->name = g_strdup(get_string_member(object, "name", error));
        resident->memory_mb = get_uint_member(object, "memory_mb", error);
        report->resident_item_count = i + 1;
    }
}

/* Reads "orders_done". */
static void
read_orders(JsonArray *array, struct ch_engine_report *report,
            struct ch_error *error)
{
    guint count = json_array_get_length(array);
    report->done_order_ids = g_new0(char *, count + 1);
    for (guint i = 0; i < count; i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (json_node_get_value_type(node) != G_TYPE_STRING) {
            ch_error_set(error, CH_UPSTREAM_ANSWER,
                         "report: orders_done holds no string");
            return;
        }
        report->done_order_ids[i] = g_strdup(json_node_get_string(node));
        report->done_order_count = i + 1;
    }
}

/* Reads all members of the report. */
static void
read_report(JsonObject *object, struct ch_engine_report *report,
            struct ch_error *error)
{
    report->boot_id = g_strdup(get_string_member(object, "boot", error));
    report->memory_mb = get_uint_member(object, "memory_mb", error);
    report->running = get_uint_member(object, "running", error);
    report->waiting = get_uint_member(object, "waiting", error);
    report->draining =
        json_object_get_boolean_member_with_default(object, "leaving", FALSE);
    JsonArray *resident = get_array_member(object, "resident", error);
    JsonArray *orders = get_array_member(object, "orders_done", error);
    if (resident != NULL) {
        read_resident(resident, report, error);
    }
    if (orders != NULL) {
        read_orders(orders, report, error);
    }
}

/*
 * Returns NULL with *error if any part of the report is missing or out of
 * range: memory is assigned based on the report, so a partly understood one is
 * rejected.
 */
struct ch_engine_report *
ch_engine_report_parse(const char *json, size_t length, struct ch_error *error)
{
    struct ch_error parse_error = {.code = CH_OK};
    struct ch_engine_report *report = g_new0(struct ch_engine_report, 1);
    JsonParser *parser = NULL;
    JsonObject *object = ch_json_parse_object(json, length, &parser);
    if (object == NULL) {
        ch_error_set(&parse_error, CH_UPSTREAM_ANSWER,
                     "report: not one JSON object");
    }
    else {
        read_report(object, report, &parse_error);
    }
    g_object_unref(parser);
    if (parse_error.code != CH_OK) {
        ch_error_set(error, parse_error.code, "%s", parse_error.message);
        ch_engine_report_free(report);
        return NULL;
    }
    return report;
}
