/* Batches of the at-most-once log, encoded as JSON. */

#include "decide/once.h"
#include "base/json.h"

#include <string.h>

enum {
    MAX_EVENTS = 10000,
    MAX_STATUS = 999,
};

static const char *const kind_names[] = {"create", "complete", "release",
                                         NULL};

/* Frees an event; NULL is fine.  A GDestroyNotify. */
void
ch_once_event_free(void *data)
{
    struct ch_once_event *event = data;
    if (event == NULL) {
        return;
    }
    g_free(event->caller);
    g_free(event->key);
    g_free(event->content_type);
    g_free(event->body);
    g_free(event);
}

/* Makes an empty batch, which owns the events added to it. */
struct ch_once_batch *
ch_once_batch_new(uint64_t previous_revision, const char *write_id)
{
    struct ch_once_batch *batch = g_new0(struct ch_once_batch, 1);
    batch->previous_revision = previous_revision;
    batch->write_id = g_strdup(write_id);
    batch->events = g_ptr_array_new_with_free_func(ch_once_event_free);
    return batch;
}

/* Frees a batch with its events; NULL is fine. */
void
ch_once_batch_free(struct ch_once_batch *batch)
{
    if (batch == NULL) {
        return;
    }
    g_ptr_array_unref(batch->events);
    g_free(batch->write_id);
    g_free(batch);
}

/* Appends "name": "value". */
static void
add_text(JsonBuilder *builder, const char *name, const char *value)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_string_value(builder, value);
}

/* Appends "name": "N"; a string, because JSON readers round large numbers. */
static void
add_number(JsonBuilder *builder, const char *name, uint64_t value)
{
    char text[24];
    (void)g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, value);
    add_text(builder, name, text);
}

/* Appends a string that may hold any byte but NUL, escaped as in a URI. */
static void
add_escaped(JsonBuilder *builder, const char *name, const char *value)
{
    g_autofree char *escaped = g_uri_escape_string(value, " /;=,+", FALSE);
    add_text(builder, name, escaped);
}

static void
add_event(JsonBuilder *builder, const struct ch_once_event *event)
{
    json_builder_begin_object(builder);
    add_text(builder, "do", kind_names[event->kind]);
    add_escaped(builder, "caller", event->caller);
    add_escaped(builder, "key", event->key);
    add_number(builder, "attempt", event->attempt);
    if (event->kind == CH_ONCE_EVENT_CREATE) {
        add_number(builder, "fingerprint", event->fingerprint);
    }
    if (event->kind == CH_ONCE_EVENT_COMPLETE && event->response_stored) {
        g_autofree char *body =
            g_base64_encode(event->body, event->body_length);
        add_number(builder, "status", (uint64_t)event->status);
        add_escaped(builder, "type",
                    event->content_type == NULL ? "" : event->content_type);
        add_text(builder, "body", body);
    }
    json_builder_end_object(builder);
}

/* Encodes a batch as JSON; the caller frees the string. */
char *
ch_once_batch_encode(const struct ch_once_batch *batch)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_number(builder, "previous", batch->previous_revision);
    add_text(builder, "writer", batch->write_id);
    json_builder_set_member_name(builder, "events");
    json_builder_begin_array(builder);
    for (guint i = 0; i < batch->events->len; i++) {
        add_event(builder, g_ptr_array_index(batch->events, i));
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    return ch_json_to_string(builder);
}

/* Reads a string member, valid as long as the object; NULL: error is set. */
static const char *
read_text(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_get_string(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_BAD_JSON, "once: '%s' is not a string", name);
    }
    return text;
}

/* Reads a number that was written as a string; false: error is set. */
static bool
read_number(JsonObject *object, const char *name, uint64_t max, uint64_t *out,
            struct ch_error *error)
{
    const char *text = read_text(object, name, error);
    if (text == NULL) {
        return false;
    }
    if (!g_ascii_string_to_unsigned(text, 10, 0, max, out, NULL)) {
        ch_error_set(error, CH_BAD_JSON, "once: '%s' is not a number in range",
                     name);
        return false;
    }
    return true;
}

/* Reads a string member, unescaped into a new string; NULL: error is set. */
static char *
read_escaped(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = read_text(object, name, error);
    if (text == NULL) {
        return NULL;
    }
    char *unescaped = g_uri_unescape_string(text, NULL);
    if (unescaped == NULL) {
        ch_error_set(error, CH_BAD_JSON, "once: '%s' has an invalid escape",
                     name);
    }
    return unescaped;
}

/* Reads the stored response of a completion, if there is one; false: error is
 * set. */
static bool
read_answer(JsonObject *object, struct ch_once_event *event,
            struct ch_error *error)
{
    if (!json_object_has_member(object, "body")) {
        return true;
    }
    uint64_t status = 0;
    const char *body = read_text(object, "body", error);
    event->content_type = read_escaped(object, "type", error);
    if (body == NULL || event->content_type == NULL ||
        !read_number(object, "status", MAX_STATUS, &status, error)) {
        return false;
    }
    event->response_stored = true;
    event->status = (int)status;
    event->body = g_base64_decode(body, &event->body_length);
    return true;
}

/* Reads an event from its object; false: error is set. */
static bool
read_event(JsonObject *object, struct ch_once_event *event,
           struct ch_error *error)
{
    const char *name = read_text(object, "do", error);
    int kind_index = 0;
    while (name != NULL && kind_names[kind_index] != NULL &&
           strcmp(kind_names[kind_index], name) != 0) {
        kind_index++;
    }
    if (name == NULL || kind_names[kind_index] == NULL) {
        ch_error_set(error, CH_BAD_JSON, "once: event of unknown kind");
        return false;
    }
    event->kind = (enum ch_once_event_kind)kind_index;
    event->caller = read_escaped(object, "caller", error);
    event->key = read_escaped(object, "key", error);
    if (event->caller == NULL || event->key == NULL ||
        !read_number(object, "attempt", UINT64_MAX, &event->attempt, error)) {
        return false;
    }
    switch (event->kind) {
    case CH_ONCE_EVENT_CREATE:
        return read_number(object, "fingerprint", UINT64_MAX,
                           &event->fingerprint, error);
    case CH_ONCE_EVENT_COMPLETE:
        return read_answer(object, event, error);
    case CH_ONCE_EVENT_RELEASE:
        break;
    }
    return true;
}

/* Reads all events into the batch; false: error is set. */
static bool
read_events(JsonObject *object, struct ch_once_batch *batch,
            struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, "events");
    JsonArray *array = node != NULL && JSON_NODE_HOLDS_ARRAY(node)
                           ? json_node_get_array(node)
                           : NULL;
    if (array == NULL || json_array_get_length(array) > MAX_EVENTS) {
        ch_error_set(error, CH_BAD_JSON,
                     "once: 'events' is not a list or too long");
        return false;
    }
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *element = json_array_get_element(array, i);
        struct ch_once_event *event = g_new0(struct ch_once_event, 1);
        g_ptr_array_add(batch->events, event);
        if (!JSON_NODE_HOLDS_OBJECT(element) ||
            !read_event(json_node_get_object(element), event, error)) {
            ch_error_set(error, CH_BAD_JSON, "once: event is not an object");
            return false;
        }
    }
    return true;
}

/* Decodes a batch.  NULL, with error set, when any part is damaged: skipping a
 * damaged event would let its request run again. */
struct ch_once_batch *
ch_once_batch_decode(const char *bytes, size_t length, struct ch_error *error)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_parse_object(bytes, length, &parser);
    if (object == NULL) {
        ch_error_set(error, CH_BAD_JSON, "once: not a JSON object");
        return NULL;
    }
    uint64_t previous_revision = 0;
    const char *write_id = read_text(object, "writer", error);
    if (write_id == NULL || !read_number(object, "previous", UINT64_MAX,
                                         &previous_revision, error)) {
        return NULL;
    }
    struct ch_once_batch *batch =
        ch_once_batch_new(previous_revision, write_id);
    if (!read_events(object, batch, error)) {
        ch_once_batch_free(batch);
        return NULL;
    }
    return batch;
}

/* See once.h. */
const struct ch_once_event *
ch_once_batch_find_completion(const struct ch_once_batch *batch,
                              const char *caller, const char *key,
                              uint64_t attempt)
{
    for (guint i = 0; i < batch->events->len; i++) {
        const struct ch_once_event *event =
            g_ptr_array_index(batch->events, i);
        if (event->kind == CH_ONCE_EVENT_COMPLETE &&
            event->attempt == attempt && strcmp(event->key, key) == 0 &&
            strcmp(event->caller, caller) == 0) {
            return event;
        }
    }
    return NULL;
}
