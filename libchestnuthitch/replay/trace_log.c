/* Reads traces from a node's log, which has one JSON object a line.  Only
 * lines of the event "request" are used; replay needs nothing from other
 * events. */

#include "replay/trace_read.h"
#include "base/json.h"

#include <string.h>

/* Returns the column of a member's name, from 1; 1 if it is absent. */
static size_t
find_column(const char *line, const char *member)
{
    char *quoted = g_strdup_printf("\"%s\"", member);
    const char *at = strstr(line, quoted);
    g_free(quoted);
    return at == NULL ? 1 : (size_t)(at - line) + 1;
}

/* Returns a member that must be a string, which the object owns; NULL with an
 * error. */
static const char *
read_string(const struct ch_trace_reader *reader, const char *line,
            JsonObject *object, const char *member)
{
    const char *text = ch_json_get_string(object, member);
    if (text == NULL) {
        ch_trace_set_error(reader, find_column(line, member),
                           "there is no string \"%s\"", member);
    }
    return text;
}

/* Reads a member that must be a whole number from 0 to max. */
static bool
read_number(const struct ch_trace_reader *reader, const char *line,
            JsonObject *object, const char *member, int64_t max, int64_t *out)
{
    JsonNode *node = json_object_get_member(object, member);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64 ||
        json_node_get_int(node) < 0 || json_node_get_int(node) > max) {
        ch_trace_set_error(
            reader, find_column(line, member),
            "\"%s\" is not a number from 0 to %" G_GINT64_FORMAT, member, max);
        return false;
    }
    *out = json_node_get_int(node);
    return true;
}

/* Reads the line of a request; the event owns its strings. */
static bool
read_request(const struct ch_trace_reader *reader, const char *line,
             JsonObject *object, struct ch_trace_event *event)
{
    const char *caller = read_string(reader, line, object, "caller");
    const char *class_name =
        caller == NULL ? NULL : read_string(reader, line, object, "class");
    const char *model =
        class_name == NULL ? NULL : read_string(reader, line, object, "model");
    const char *adapter =
        model == NULL ? NULL : read_string(reader, line, object, "adapter");
    const char *prefix =
        adapter == NULL ? NULL : read_string(reader, line, object, "prefix");
    const char *key =
        prefix == NULL ? NULL : read_string(reader, line, object, "key");
    if (key == NULL) {
        return false;
    }
    struct ch_trace_names names = {
        .class_name = class_name,
        .class_column = find_column(line, "class"),
        .model = model,
        .model_column = find_column(line, "model"),
        .adapter = adapter,
        .adapter_column = find_column(line, "adapter"),
    };
    int64_t at;
    int64_t prompt;
    int64_t output;
    int64_t generated;
    if (!ch_trace_resolve(reader, &names, event) ||
        !read_number(reader, line, object, "at_ms", G_MAXINT64 / 1000, &at) ||
        !read_number(reader, line, object, "prompt_tokens", 10000000,
                     &prompt) ||
        !read_number(reader, line, object, "output_tokens", 1000000,
                     &output) ||
        !read_number(reader, line, object, "made_tokens", 1000000,
                     &generated)) {
        return false;
    }
    event->at = at * 1000;
    event->caller = g_strdup(caller);
    event->prefix = prefix[0] == '\0' ? 0 : ch_hash_string(prefix);
    event->key = key[0] == '\0' ? NULL : g_strdup(key);
    event->prompt_tokens = (uint32_t)prompt;
    /* The number of generated tokens is what the request needed.  A refused
     * request generated none; the caller's maximum is used instead. */
    event->output_tokens =
        (uint32_t)MAX(generated > 0 ? generated : output, 1);
    return true;
}

/* Reads one line and appends its event if it is a request. */
static bool
read_line(const struct ch_trace_reader *reader, const char *line)
{
    JsonParser *parser = NULL;
    JsonObject *object = ch_json_parse_object(line, strlen(line), &parser);
    bool fine = true;
    if (object == NULL) {
        ch_trace_set_error(reader, 1, "not a JSON object");
        fine = false;
    }
    else {
        if (g_strcmp0(ch_json_get_string(object, "event"), "request") == 0) {
            struct ch_trace_event request = {.kind = CH_TRACE_REQUEST};
            fine = read_request(reader, line, object, &request);
            if (fine) {
                g_array_append_val(reader->events, request);
            }
        }
    }
    g_object_unref(parser);
    return fine;
}

/* Shifts the times so that the first request arrives at 0; the log has wall
 * clock times. */
static void
shift_to_zero(GArray *events)
{
    int64_t first = G_MAXINT64;
    for (guint i = 0; i < events->len; i++) {
        first = MIN(first, g_array_index(events, struct ch_trace_event, i).at);
    }
    for (guint i = 0; i < events->len; i++) {
        g_array_index(events, struct ch_trace_event, i).at -= first;
    }
}

/* Reads all lines.  A log without a request is an error. */
bool
ch_trace_read_log(struct ch_trace_reader *reader, char *text)
{
    char *next;
    for (char *line = text; line != NULL && *line != '\0'; line = next) {
        next = strchr(line, '\n');
        if (next != NULL) {
            *next++ = '\0';
        }
        reader->line++;
        if (*line != '\0' && !read_line(reader, line)) {
            return false;
        }
    }
    if (reader->events->len == 0) {
        ch_trace_set_error(reader, 1, "no line has the event \"request\"");
        return false;
    }
    shift_to_zero(reader->events);
    return true;
}
