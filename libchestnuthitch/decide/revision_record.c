/* The configuration's record and its JSON form. */

#include "decide/revision.h"
#include "base/json.h"

/* The history of the new record starts with previous. */
struct ch_revision_record *
ch_revision_record_new(const char *write_id, const char *author,
                       const char *text,
                       const struct ch_revision_record *previous,
                       uint64_t previous_revision)
{
    struct ch_revision_record *record = g_new0(struct ch_revision_record, 1);
    record->write_id = g_strdup(write_id);
    record->author = g_strdup(author);
    record->text = g_strdup(text);
    if (previous == NULL) {
        return record;
    }
    record->history[0].write_id = g_strdup(previous->write_id);
    record->history[0].revision = previous_revision;
    record->history_count =
        MIN(previous->history_count + 1, (size_t)CH_REVISION_HISTORY_LENGTH);
    for (size_t i = 1; i < record->history_count; i++) {
        record->history[i].write_id =
            g_strdup(previous->history[i - 1].write_id);
        record->history[i].revision = previous->history[i - 1].revision;
    }
    return record;
}

/* Frees a record, which may be NULL. */
void
ch_revision_record_free(struct ch_revision_record *record)
{
    if (record == NULL) {
        return;
    }
    for (size_t i = 0; i < record->history_count; i++) {
        g_free(record->history[i].write_id);
    }
    g_free(record->write_id);
    g_free(record->author);
    g_free(record->text);
    g_free(record);
}

static void
add_string(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

/* Writes what ch_revision_record_parse reads. */
char *
ch_revision_record_print(const struct ch_revision_record *record)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_string(builder, "token", record->write_id);
    add_string(builder, "author", record->author);
    add_string(builder, "text", record->text);
    json_builder_set_member_name(builder, "past");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < record->history_count; i++) {
        json_builder_begin_object(builder);
        add_string(builder, "token", record->history[i].write_id);
        json_builder_set_member_name(builder, "revision");
        json_builder_add_int_value(builder,
                                   (int64_t)record->history[i].revision);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    return ch_json_to_string(builder);
}

/* A copy of a string member, to be freed with g_free, or NULL with an error.
 */
static char *
read_string(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_get_string(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_BAD_JSON, "configuration: '%s' is not a text",
                     name);
    }
    return g_strdup(text);
}

/* Appends one entry to the history.  Returns false with an error. */
static bool
read_history_entry(JsonNode *node, struct ch_revision_record *record,
                   struct ch_error *error)
{
    struct ch_revision_history_entry *entry =
        &record->history[record->history_count];
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        ch_error_set(error, CH_BAD_JSON,
                     "configuration: an entry of 'past' is not an object");
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    int64_t revision =
        json_object_get_int_member_with_default(object, "revision", 0);
    entry->write_id = read_string(object, "token", error);
    entry->revision = (uint64_t)MAX(revision, 0);
    record->history_count++;
    return entry->write_id != NULL;
}

/* Fills an empty record.  Returns false with an error, and the record may then
 * be filled in part. */
static bool
read_record(JsonObject *object, struct ch_revision_record *record,
            struct ch_error *error)
{
    record->write_id = read_string(object, "token", error);
    record->author = read_string(object, "author", error);
    record->text = read_string(object, "text", error);
    if (record->write_id == NULL || record->author == NULL ||
        record->text == NULL) {
        return false;
    }
    JsonNode *node = json_object_get_member(object, "past");
    if (node == NULL) {
        return true;
    }
    if (!JSON_NODE_HOLDS_ARRAY(node)) {
        ch_error_set(error, CH_BAD_JSON,
                     "configuration: 'past' is not a list");
        return false;
    }
    JsonArray *array = json_node_get_array(node);
    guint count =
        MIN(json_array_get_length(array), CH_REVISION_HISTORY_LENGTH);
    for (guint i = 0; i < count; i++) {
        if (!read_history_entry(json_array_get_element(array, i), record,
                                error)) {
            return false;
        }
    }
    return true;
}

/* Free the record with ch_revision_record_free.  Entries beyond the history's
 * length are left out. */
struct ch_revision_record *
ch_revision_record_parse(const char *json, size_t length,
                         struct ch_error *error)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_parse_object(json, length, &parser);
    if (object == NULL) {
        ch_error_set(error, CH_BAD_JSON,
                     "configuration: not a single JSON object");
        return NULL;
    }
    struct ch_revision_record *record = g_new0(struct ch_revision_record, 1);
    if (!read_record(object, record, error)) {
        ch_revision_record_free(record);
        return NULL;
    }
    return record;
}
