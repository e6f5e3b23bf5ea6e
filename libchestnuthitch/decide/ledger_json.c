/* The ledger's JSON form, as stored in the key-value service. */

#include "decide/ledger.h"
#include "base/json.h"

#include <string.h>

enum {
    MAX_ENTRIES = 4096,
    MAX_MEMORY_MB = 100000000,
};

static const char *const state_names[] = {"reserved", "resident", "unloading",
                                          NULL};
static const char *const delivery_names[] = {"open", "ended", "settled", NULL};

static void
add_int(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (int64_t)value);
}

/* Adds nothing when value is NULL. */
static void
add_string(JsonBuilder *builder, const char *name, const char *value)
{
    if (value != NULL) {
        json_builder_set_member_name(builder, name);
        json_builder_add_string_value(builder, value);
    }
}

static void
add_entry(JsonBuilder *builder, const struct ch_ledger_entry *entry)
{
    json_builder_begin_object(builder);
    add_string(builder, "item", entry->item);
    add_int(builder, "memory_mb", entry->memory_mb);
    add_string(builder, "state", state_names[entry->state]);
    add_string(builder, "order", entry->order_id);
    add_int(builder, "fence", entry->fencing_token);
    json_builder_end_object(builder);
}

static void
add_send(JsonBuilder *builder, const struct ch_ledger_send *sending)
{
    json_builder_begin_object(builder);
    add_string(builder, "order", sending->order_id);
    add_string(builder, "item", sending->item);
    add_int(builder, "memory_mb", sending->memory_mb);
    add_string(builder, "sender", sending->sender);
    add_int(builder, "copies", sending->copies);
    add_string(builder, "delivery", delivery_names[sending->delivery]);
    add_int(builder, "done", sending->executed);
    json_builder_end_object(builder);
}

/* The ledger as JSON for ch_ledger_parse.  Free the string with g_free. */
char *
ch_ledger_print(const struct ch_ledger *ledger)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_string(builder, "upstream", ledger->upstream);
    add_int(builder, "version", ledger->version);
    add_int(builder, "capacity_mb", ledger->capacity_mb);
    add_string(builder, "boot", ledger->boot_id);
    add_string(builder, "writer", ledger->write_id);
    json_builder_set_member_name(builder, "entries");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < ledger->entry_count; i++) {
        add_entry(builder, &ledger->entries[i]);
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "sends");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < ledger->send_count; i++) {
        add_send(builder, &ledger->sends[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    return ch_json_to_string(builder);
}

/* Returns NULL with an error when the member is not a string. */
static const char *
read_string(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_get_string(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_BAD_JSON, "ledger: '%s' is not a string", name);
    }
    return text;
}

/* Reads an integer from 0 to max_value.  Returns false with an error when the
 * member is missing, no integer or out of range. */
static bool
read_int(JsonObject *object, const char *name, int64_t max_value,
         uint64_t *out, struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    int64_t value = -1;
    if (node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_INT64) {
        value = json_node_get_int(node);
    }
    if (value < 0 || value > max_value) {
        ch_error_set(error, CH_BAD_JSON, "ledger: '%s' is out of range", name);
        return false;
    }
    *out = (uint64_t)value;
    return true;
}

/* The index of the member's text in a NULL-terminated list of names, or -1
 * with an error. */
static int
read_name(JsonObject *object, const char *name, const char *const *names,
          struct ch_error *error)
{
    const char *text = read_string(object, name, error);
    for (int i = 0; text != NULL && names[i] != NULL; i++) {
        if (strcmp(names[i], text) == 0) {
            return i;
        }
    }
    ch_error_set(error, CH_BAD_JSON, "ledger: '%s' has an unknown value",
                 name);
    return -1;
}

/* Copies the order ID to a buffer of the given size.  Returns false with an
 * error when it is missing or too long. */
static bool
read_order_id(JsonObject *object, char *out, size_t size,
              struct ch_error *error)
{
    const char *order_id = read_string(object, "order", error);
    if (order_id == NULL) {
        return false;
    }
    if (g_strlcpy(out, order_id, size) >= size) {
        ch_error_set(error, CH_BAD_JSON, "ledger: 'order' is too long");
        return false;
    }
    return true;
}

/* Appends an entry; the array has space for it.  Returns false with an error
 * when the object is not valid. */
static bool
read_entry(JsonObject *object, struct ch_ledger *ledger,
           struct ch_error *error)
{
    struct ch_ledger_entry *entry = &ledger->entries[ledger->entry_count];
    const char *item = read_string(object, "item", error);
    uint64_t memory_mb = 0;
    int state = read_name(object, "state", state_names, error);
    if (item == NULL || state < 0 ||
        !read_int(object, "memory_mb", MAX_MEMORY_MB, &memory_mb, error) ||
        !read_int(object, "fence", INT64_MAX, &entry->fencing_token, error) ||
        !read_order_id(object, entry->order_id, sizeof(entry->order_id),
                       error)) {
        return false;
    }
    if (ch_ledger_find_entry(ledger, item) != NULL) {
        ch_error_set(error, CH_BAD_JSON, "ledger: item '%s' has two entries",
                     item);
        return false;
    }
    entry->item = g_strdup(item);
    entry->memory_mb = (uint32_t)memory_mb;
    entry->state = (enum ch_ledger_state)state;
    ledger->entry_count++;
    return true;
}

/* Appends a send; the array has space for it.  Returns false with an error
 * when the object is not valid. */
static bool
read_send(JsonObject *object, struct ch_ledger *ledger, struct ch_error *error)
{
    struct ch_ledger_send *sending = &ledger->sends[ledger->send_count];
    const char *item = read_string(object, "item", error);
    const char *sender = read_string(object, "sender", error);
    uint64_t memory_mb = 0;
    uint64_t copies = 0;
    uint64_t done = 0;
    int delivery = read_name(object, "delivery", delivery_names, error);
    if (item == NULL || sender == NULL || delivery < 0 ||
        !read_int(object, "memory_mb", MAX_MEMORY_MB, &memory_mb, error) ||
        !read_int(object, "copies", UINT32_MAX, &copies, error) ||
        !read_int(object, "done", 1, &done, error) ||
        !read_order_id(object, sending->order_id, sizeof(sending->order_id),
                       error)) {
        return false;
    }
    sending->item = g_strdup(item);
    sending->sender = g_strdup(sender);
    sending->memory_mb = (uint32_t)memory_mb;
    sending->copies = (uint32_t)copies;
    sending->delivery = (enum ch_ledger_delivery)delivery;
    sending->executed = done == 1;
    ledger->send_count++;
    return true;
}

/* A member that is an array of at most MAX_ENTRIES objects, or NULL with an
 * error. */
static JsonArray *
read_array(JsonObject *object, const char *name, struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    JsonArray *array = node != NULL && JSON_NODE_HOLDS_ARRAY(node)
                           ? json_node_get_array(node)
                           : NULL;
    bool valid = array != NULL && json_array_get_length(array) <= MAX_ENTRIES;
    for (guint i = 0; valid && i < json_array_get_length(array); i++) {
        valid = JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, i));
    }
    if (!valid) {
        ch_error_set(error, CH_BAD_JSON,
                     "ledger: '%s' is not a list of objects", name);
        return NULL;
    }
    return array;
}

/* Reads the entries and sends.  Returns false with an error. */
static bool
read_lists(JsonObject *object, struct ch_ledger *ledger,
           struct ch_error *error)
{
    JsonArray *entries = read_array(object, "entries", error);
    JsonArray *sends = read_array(object, "sends", error);
    if (entries == NULL || sends == NULL) {
        return false;
    }
    guint count = json_array_get_length(entries);
    ledger->entries = g_new0(struct ch_ledger_entry, count + 1);
    for (guint i = 0; i < count; i++) {
        if (!read_entry(json_array_get_object_element(entries, i), ledger,
                        error)) {
            return false;
        }
    }
    count = json_array_get_length(sends);
    ledger->sends = g_new0(struct ch_ledger_send, count + 1);
    for (guint i = 0; i < count; i++) {
        if (!read_send(json_array_get_object_element(sends, i), ledger,
                       error)) {
            return false;
        }
    }
    return true;
}

/* Fills an empty ledger.  Returns false with an error, and the ledger may then
 * be filled in part. */
static bool
read_ledger(JsonObject *object, struct ch_ledger *ledger,
            struct ch_error *error)
{
    const char *upstream = read_string(object, "upstream", error);
    uint64_t capacity_mb = 0;
    if (upstream == NULL ||
        !read_int(object, "version", INT64_MAX, &ledger->version, error) ||
        !read_int(object, "capacity_mb", MAX_MEMORY_MB, &capacity_mb, error)) {
        return false;
    }
    ledger->upstream = g_strdup(upstream);
    ledger->capacity_mb = (uint32_t)capacity_mb;
    if (json_object_has_member(object, "boot")) {
        ledger->boot_id = g_strdup(read_string(object, "boot", error));
    }
    if (json_object_has_member(object, "writer")) {
        ledger->write_id = g_strdup(read_string(object, "writer", error));
    }
    return (error == NULL || error->code == CH_OK) &&
           read_lists(object, ledger, error);
}

/* Parses a stored ledger, to be freed with ch_ledger_free.  Returns NULL with
 * an error when any part is damaged: if one reservation were skipped, its
 * memory could be reserved twice. */
struct ch_ledger *
ch_ledger_parse(const char *json, size_t length, struct ch_error *error)
{
    struct ch_error ignored = {0};
    struct ch_error *parse_error = error == NULL ? &ignored : error;
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_parse_object(json, length, &parser);
    if (object == NULL) {
        ch_error_set(parse_error, CH_BAD_JSON,
                     "ledger: not a single JSON object");
        return NULL;
    }
    struct ch_ledger *ledger = g_new0(struct ch_ledger, 1);
    if (!read_ledger(object, ledger, parse_error)) {
        ch_ledger_free(ledger);
        return NULL;
    }
    return ledger;
}
