/* The configuration's record as JSON. */

#include "decide/revision.h"
#include "base/json.h"

/* A record that follows `before`, whose token joins the past. */
struct ch_revision_record *
ch_revision_record_new(const char *token, const char *author, const char *text,
                       const struct ch_revision_record *before,
                       uint64_t before_revision)
{
    struct ch_revision_record *record = g_new0(struct ch_revision_record, 1);
    record->token = g_strdup(token);
    record->author = g_strdup(author);
    record->text = g_strdup(text);
    if (before == NULL) {
        return record;
    }
    record->past[0].token = g_strdup(before->token);
    record->past[0].revision = before_revision;
    record->past_count =
        MIN(before->past_count + 1, (size_t)CH_REVISION_HISTORY);
    for (size_t i = 1; i < record->past_count; i++) {
        record->past[i].token = g_strdup(before->past[i - 1].token);
        record->past[i].revision = before->past[i - 1].revision;
    }
    return record;
}

/* Frees a record; NULL is fine. */
void
ch_revision_record_free(struct ch_revision_record *record)
{
    if (record == NULL) {
        return;
    }
    for (size_t i = 0; i < record->past_count; i++) {
        g_free(record->past[i].token);
    }
    g_free(record->token);
    g_free(record->author);
    g_free(record->text);
    g_free(record);
}

/* Appends "name": "value". */
static void
add_text(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

/* The record's JSON, a new string. */
char *
ch_revision_record_print(const struct ch_revision_record *record)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_text(builder, "token", record->token);
    add_text(builder, "author", record->author);
    add_text(builder, "text", record->text);
    json_builder_set_member_name(builder, "past");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < record->past_count; i++) {
        json_builder_begin_object(builder);
        add_text(builder, "token", record->past[i].token);
        json_builder_set_member_name(builder, "revision");
        json_builder_add_int_value(builder, (int64_t)record->past[i].revision);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    return ch_json_print(builder);
}

/* A copy of a text member; NULL with an error. */
static char *
read_text(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_text(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_BAD_JSON, "configuration: no text '%s'", name);
    }
    return g_strdup(text);
}

/* Fills in one past entry; false with an error. */
static bool
read_past(JsonNode *node, struct ch_revision_record *record,
          struct ch_error *error)
{
    struct ch_revision_past *past = &record->past[record->past_count];
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        ch_error_set(error, CH_BAD_JSON, "configuration: damaged past");
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    int64_t revision =
        json_object_get_int_member_with_default(object, "revision", 0);
    past->token = read_text(object, "token", error);
    past->revision = (uint64_t)MAX(revision, 0);
    record->past_count++;
    return past->token != NULL;
}

/* Fills in the record; false with an error. */
static bool
read_record(JsonObject *object, struct ch_revision_record *record,
            struct ch_error *error)
{
    record->token = read_text(object, "token", error);
    record->author = read_text(object, "author", error);
    record->text = read_text(object, "text", error);
    if (record->token == NULL || record->author == NULL ||
        record->text == NULL) {
        return false;
    }
    JsonNode *node = json_object_get_member(object, "past");
    if (node == NULL) {
        return true;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        ch_error_set(error, CH_BAD_JSON, "configuration: damaged past");
        return false;
    }
    JsonArray *array = json_node_get_array(node);
    guint count = MIN(json_array_get_length(array), CH_REVISION_HISTORY);
    for (guint i = 0; i < count; i++) {
        if (!read_past(json_array_get_element(array, i), record, error)) {
            return false;
        }
    }
    return true;
}

/* The record in a value; NULL with an error. */
struct ch_revision_record *
ch_revision_record_parse(const char *json, size_t length,
                         struct ch_error *error)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_object(json, length, &parser);
    if (object == NULL) {
        ch_error_set(error, CH_BAD_JSON, "configuration: not one JSON object");
        return NULL;
    }
    struct ch_revision_record *record = g_new0(struct ch_revision_record, 1);
    if (!read_record(object, record, error)) {
        ch_revision_record_free(record);
        return NULL;
    }
    return record;
}
