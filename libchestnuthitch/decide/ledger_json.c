/* The ledger as the JSON that the key-value service keeps. */

#include "decide/ledger.h"
#include "base/json.h"

#include <string.h>

enum {
    MOST_ENTRIES = 4096,
    MOST_MEMORY_MB = 100000000,
};

static const char *const state_names[] = {"reserved", "resident", "unloading",
                                          NULL};
static const char *const delivery_names[] = {"open", "ended", "settled", NULL};

/* Appends "name": value. */
static void
add_int(JsonBuilder *builder, const char *name, uint64_t value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (int64_t)value);
}

/* Appends "name": "value", or nothing for NULL. */
static void
add_text(JsonBuilder *builder, const char *name, const char *value)
{
    if (value != NULL) {
        json_builder_set_member_name(builder, name);
        json_builder_add_string_value(builder, value);
    }
}

/* Appends an entry's object. */
static void
add_entry(JsonBuilder *builder, const struct ch_ledger_entry *entry)
{
    json_builder_begin_object(builder);
    add_text(builder, "item", entry->item);
    add_int(builder, "memory_mb", entry->memory_mb);
    add_text(builder, "state", state_names[entry->state]);
    add_text(builder, "order", entry->order);
    add_int(builder, "fence", entry->fence);
    json_builder_end_object(builder);
}

/* Appends a send's object. */
static void
add_send(JsonBuilder *builder, const struct ch_ledger_send *sending)
{
    json_builder_begin_object(builder);
    add_text(builder, "order", sending->order);
    add_text(builder, "item", sending->item);
    add_int(builder, "memory_mb", sending->memory_mb);
    add_text(builder, "sender", sending->sender);
    add_int(builder, "copies", sending->copies);
    add_text(builder, "delivery", delivery_names[sending->delivery]);
    add_int(builder, "done", sending->done);
    json_builder_end_object(builder);
}

/* The ledger's JSON, a new string: what ch_ledger_parse reads. */
char *
ch_ledger_print(const struct ch_ledger *ledger)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_text(builder, "upstream", ledger->upstream);
    add_int(builder, "version", ledger->version);
    add_int(builder, "capacity_mb", ledger->capacity_mb);
    add_text(builder, "boot", ledger->boot);
    add_text(builder, "writer", ledger->writer);
    json_builder_set_member_name(builder, "entries");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < ledger->count; i++) {
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
    return ch_json_print(builder);
}

/* A member's text; NULL with an error when it is none. */
static const char *
read_text(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_text(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_BAD_JSON, "ledger: '%s' is not a string", name);
    }
    return text;
}

/* A member's number from 0 to most; false with an error. */
static bool
read_int(JsonObject *object, const char *name, int64_t most, uint64_t *out,
         struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    int64_t value = -1;
    if (node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_INT64) {
        value = json_node_get_int(node);
    }
    if (value < 0 || value > most) {
        ch_error_set(error, CH_BAD_JSON, "ledger: '%s' is out of range", name);
        return false;
    }
    *out = (uint64_t)value;
    return true;
}

/* A member's index among names; -1 with an error. */
static int
read_word(JsonObject *object, const char *name, const char *const *names,
          struct ch_error *error)
{
    const char *text = read_text(object, name, error);
    for (int i = 0; text != NULL && names[i] != NULL; i++) {
        if (strcmp(names[i], text) == 0) {
            return i;
        }
    }
    ch_error_set(error, CH_BAD_JSON, "ledger: '%s' is unknown", name);
    return -1;
}

/* An order's id into its field; false with an error when it is too long. */
static bool
read_order(JsonObject *object, char *out, size_t size, struct ch_error *error)
{
    const char *order = read_text(object, "order", error);
    if (order == NULL) {
        return false;
    }
    if (g_strlcpy(out, order, size) >= size) {
        ch_error_set(error, CH_BAD_JSON, "ledger: 'order' is too long");
        return false;
    }
    return true;
}

/* Fills in the next entry; false with an error. */
static bool
read_entry(JsonObject *object, struct ch_ledger *ledger,
           struct ch_error *error)
{
    struct ch_ledger_entry *entry = &ledger->entries[ledger->count];
    const char *item = read_text(object, "item", error);
    uint64_t memory = 0;
    int state = read_word(object, "state", state_names, error);
    if (item == NULL || state < 0 ||
        !read_int(object, "memory_mb", MOST_MEMORY_MB, &memory, error) ||
        !read_int(object, "fence", INT64_MAX, &entry->fence, error) ||
        !read_order(object, entry->order, sizeof(entry->order), error)) {
        return false;
    }
    if (ch_ledger_find(ledger, item) != NULL) {
        ch_error_set(error, CH_BAD_JSON, "ledger: '%s' stands twice", item);
        return false;
    }
    entry->item = g_strdup(item);
    entry->memory_mb = (uint32_t)memory;
    entry->state = (enum ch_ledger_state)state;
    ledger->count++;
    return true;
}

/* Fills in the next send; false with an error. */
static bool
read_send(JsonObject *object, struct ch_ledger *ledger, struct ch_error *error)
{
    struct ch_ledger_send *sending = &ledger->sends[ledger->send_count];
    const char *item = read_text(object, "item", error);
    const char *sender = read_text(object, "sender", error);
    uint64_t memory = 0;
    uint64_t copies = 0;
    uint64_t done = 0;
    int delivery = read_word(object, "delivery", delivery_names, error);
    if (item == NULL || sender == NULL || delivery < 0 ||
        !read_int(object, "memory_mb", MOST_MEMORY_MB, &memory, error) ||
        !read_int(object, "copies", UINT32_MAX, &copies, error) ||
        !read_int(object, "done", 1, &done, error) ||
        !read_order(object, sending->order, sizeof(sending->order), error)) {
        return false;
    }
    sending->item = g_strdup(item);
    sending->sender = g_strdup(sender);
    sending->memory_mb = (uint32_t)memory;
    sending->copies = (uint32_t)copies;
    sending->delivery = (enum ch_ledger_delivery)delivery;
    sending->done = done == 1;
    ledger->send_count++;
    return true;
}

/* An array member of objects; NULL with an error. */
static JsonArray *
read_array(JsonObject *object, const char *name, struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    JsonArray *array = node != NULL && JSON_NODE_HOLDS_ARRAY(node)
                           ? json_node_get_array(node)
                           : NULL;
    bool right = array != NULL && json_array_get_length(array) <= MOST_ENTRIES;
    for (guint i = 0; right && i < json_array_get_length(array); i++) {
        right = JSON_NODE_HOLDS_OBJECT(json_array_get_element(array, i));
    }
    if (!right) {
        ch_error_set(error, CH_BAD_JSON, "ledger: '%s' is no list of objects",
                     name);
        return NULL;
    }
    return array;
}

/* Fills in entries and sends; false with an error. */
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

/* Fills in an empty ledger; false with an error. */
static bool
read_ledger(JsonObject *object, struct ch_ledger *ledger,
            struct ch_error *error)
{
    const char *upstream = read_text(object, "upstream", error);
    uint64_t capacity = 0;
    if (upstream == NULL ||
        !read_int(object, "version", INT64_MAX, &ledger->version, error) ||
        !read_int(object, "capacity_mb", MOST_MEMORY_MB, &capacity, error)) {
        return false;
    }
    ledger->upstream = g_strdup(upstream);
    ledger->capacity_mb = (uint32_t)capacity;
    if (json_object_has_member(object, "boot")) {
        ledger->boot = g_strdup(read_text(object, "boot", error));
    }
    if (json_object_has_member(object, "writer")) {
        ledger->writer = g_strdup(read_text(object, "writer", error));
    }
    return (error == NULL || error->code == CH_OK) &&
           read_lists(object, ledger, error);
}

/* The ledger in a value; NULL with an error when any part is damaged: a
 * reservation left out would let its room be given twice. */
struct ch_ledger *
ch_ledger_parse(const char *json, size_t length, struct ch_error *error)
{
    struct ch_error unseen = {0};
    struct ch_error *to = error == NULL ? &unseen : error;
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_object(json, length, &parser);
    if (object == NULL) {
        ch_error_set(to, CH_BAD_JSON, "ledger: not one JSON object");
        return NULL;
    }
    struct ch_ledger *ledger = g_new0(struct ch_ledger, 1);
    if (!read_ledger(object, ledger, to)) {
        ch_ledger_free(ledger);
        return NULL;
    }
    return ledger;
}
