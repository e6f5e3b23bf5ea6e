/* Traces from a node's log: JSON lines, of which those of the event "request"
 * are taken.  The other lines tell nothing that replay can act on. */

#include "replay/trace_read.h"
#include "base/json.h"

#include <string.h>

/* Where a member's name stands in the line; 1 when it does not. */
static size_t
column_of(const char *line, const char *member)
{
    char *quoted = g_strdup_printf("\"%s\"", member);
    const char *at = strstr(line, quoted);
    g_free(quoted);
    return at == NULL ? 1 : (size_t)(at - line) + 1;
}

/* A member that must be a string; NULL with an error. */
static const char *
string_of(const struct ch_trace_reader *reader, const char *line,
          JsonObject *object, const char *member)
{
    const char *text = ch_json_text(object, member);
    if (text == NULL) {
        ch_trace_fail(reader, column_of(line, member),
                      "\"%s\" is not there as a string", member);
    }
    return text;
}

/* A member that must be a whole number within a range. */
static bool
number_of(const struct ch_trace_reader *reader, const char *line,
          JsonObject *object, const char *member, int64_t most, int64_t *out)
{
    JsonNode *node = json_object_get_member(object, member);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64 ||
        json_node_get_int(node) < 0 || json_node_get_int(node) > most) {
        ch_trace_fail(reader, column_of(line, member),
                      "\"%s\" is not a number from 0 to %" G_GINT64_FORMAT,
                      member, most);
        return false;
    }
    *out = json_node_get_int(node);
    return true;
}

/* Takes one request's line over; the event owns its strings. */
static bool
read_request(const struct ch_trace_reader *reader, const char *line,
             JsonObject *object, struct ch_trace_event *event)
{
    const char *caller = string_of(reader, line, object, "caller");
    const char *class_name =
        caller == NULL ? NULL : string_of(reader, line, object, "class");
    const char *model =
        class_name == NULL ? NULL : string_of(reader, line, object, "model");
    const char *adapter =
        model == NULL ? NULL : string_of(reader, line, object, "adapter");
    const char *prefix =
        adapter == NULL ? NULL : string_of(reader, line, object, "prefix");
    const char *key =
        prefix == NULL ? NULL : string_of(reader, line, object, "key");
    if (key == NULL) {
        return false;
    }
    struct ch_trace_names names = {
        .class_name = class_name,
        .class_column = column_of(line, "class"),
        .model = model,
        .model_column = column_of(line, "model"),
        .adapter = adapter,
        .adapter_column = column_of(line, "adapter"),
    };
    int64_t at;
    int64_t prompt;
    int64_t output;
    int64_t made;
    if (!ch_trace_resolve(reader, &names, event) ||
        !number_of(reader, line, object, "at_ms", G_MAXINT64 / 1000, &at) ||
        !number_of(reader, line, object, "prompt_tokens", 10000000, &prompt) ||
        !number_of(reader, line, object, "output_tokens", 1000000, &output) ||
        !number_of(reader, line, object, "made_tokens", 1000000, &made)) {
        return false;
    }
    event->at = at * 1000;
    event->caller = g_strdup(caller);
    event->prefix = prefix[0] == '\0' ? 0 : ch_hash_string(prefix);
    event->key = key[0] == '\0' ? NULL : g_strdup(key);
    event->prompt_tokens = (uint32_t)prompt;
    /* What was made is what the request needed; the bound that its caller
     * stated stands in where it was refused. */
    event->output_tokens = (uint32_t)MAX(made > 0 ? made : output, 1);
    return true;
}

/* Reads one line: an object, taken when it is a request's. */
static bool
read_line(const struct ch_trace_reader *reader, const char *line)
{
    JsonParser *parser = NULL;
    JsonObject *object = ch_json_object(line, strlen(line), &parser);
    bool fine = true;
    if (object == NULL) {
        ch_trace_fail(reader, 1, "not JSON, or not one object");
        fine = false;
    }
    else {
        if (g_strcmp0(ch_json_text(object, "event"), "request") == 0) {
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

/* Shifts the times so that the first request comes at 0: a log has the time
 * of day. */
static void
begin_at_zero(GArray *events)
{
    int64_t first = G_MAXINT64;
    for (guint i = 0; i < events->len; i++) {
        first = MIN(first, g_array_index(events, struct ch_trace_event, i).at);
    }
    for (guint i = 0; i < events->len; i++) {
        g_array_index(events, struct ch_trace_event, i).at -= first;
    }
}

/* Reads all lines; a log without a request is an error. */
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
        ch_trace_fail(reader, 1, "no line is of the event \"request\"");
        return false;
    }
    begin_at_zero(reader->events);
    return true;
}
