/* Parses the body of a model call: extracts what this node needs, and rejects
 * bodies that must not reach an engine. */

#include "node/request.h"

#include "base/json.h"

#include <json-glib/json-glib.h>
#include <string.h>

enum {
    MAX_DEPTH = 64,
    BYTES_PER_TOKEN = 4, /* roughly, in English and Welsh text */
    /* Length of the prompt's start whose hash tells which requests share a
     * cached prefix. Prompts shorter than MIN_PREFIX_BYTES gain too little
     * from a cached prefix to be routed by it. */
    PREFIX_BYTES = 256,
    MIN_PREFIX_BYTES = 64,
    MAX_MESSAGES = 4096,
};

struct number_rule {
    const char *name;
    double min;
    double max;
    bool whole;
};

static const struct number_rule number_rules[] = {
    {"max_tokens", 1, CH_REQUEST_MAX_TOKENS, true},
    {"max_completion_tokens", 1, CH_REQUEST_MAX_TOKENS, true},
    {"n", 1, 1, true},
    {"temperature", 0, 2, false},
    {"top_p", 0, 1, false},
    {"presence_penalty", -2, 2, false},
    {"frequency_penalty", -2, 2, false},
};

/* Checks one member against its rule; absent and null are valid. */
static bool
check_number(JsonObject *object, const struct number_rule *rule,
             struct ch_fault *fault)
{
    JsonNode *node = json_object_get_member(object, rule->name);
    if (node == NULL || JSON_NODE_HOLDS_NULL(node)) {
        return true;
    }
    GType type = JSON_NODE_HOLDS_VALUE(node) ? json_node_get_value_type(node)
                                             : G_TYPE_INVALID;
    if (type != G_TYPE_INT64 && (type != G_TYPE_DOUBLE || rule->whole)) {
        ch_fault_set(fault, CH_BAD_FIELD, rule->name, "%s is not a %s",
                     rule->name, rule->whole ? "whole number" : "number");
        return false;
    }
    double value = json_node_get_double(node);
    if (!(value >= rule->min && value <= rule->max)) {
        ch_fault_set(fault, CH_BAD_FIELD, rule->name, "%s is not in %g to %g",
                     rule->name, rule->min, rule->max);
        return false;
    }
    return true;
}

static bool
is_string(JsonNode *node)
{
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
           json_node_get_value_type(node) == G_TYPE_STRING;
}

/* Adds a string of the prompt: counts its bytes, and appends to start until
 * that has PREFIX_BYTES. */
static void
add_text(JsonNode *node, GString *start, size_t *bytes)
{
    const char *text = json_node_get_string(node);
    size_t length = strlen(text);
    *bytes += length;
    if (start->len < PREFIX_BYTES) {
        g_string_append_len(start, text,
                            (gssize)MIN(length, PREFIX_BYTES - start->len));
    }
}

/* Parses "prompt": a string, or an array of strings and token numbers. */
static bool
parse_prompt(JsonObject *object, GString *start, size_t *bytes,
             struct ch_fault *fault)
{
    JsonNode *node = json_object_get_member(object, "prompt");
    if (is_string(node)) {
        add_text(node, start, bytes);
        return true;
    }
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node) ||
        json_array_get_length(json_node_get_array(node)) == 0) {
        ch_fault_set(fault, CH_BAD_FIELD, "prompt",
                     "prompt is neither a string nor a non-empty array");
        return false;
    }
    JsonArray *array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *part = json_array_get_element(array, i);
        if (is_string(part)) {
            add_text(part, start, bytes);
        }
        else if (JSON_NODE_HOLDS_VALUE(part) &&
                 json_node_get_value_type(part) == G_TYPE_INT64) {
            *bytes += BYTES_PER_TOKEN;
        }
        else {
            ch_fault_set(
                fault, CH_BAD_FIELD, "prompt",
                "an element of prompt is neither text nor a token number");
            return false;
        }
    }
    return true;
}

/* Parses the content of one message: text, parts with text, or none. */
static bool
parse_content(JsonNode *content, GString *start, size_t *bytes)
{
    if (content == NULL || JSON_NODE_HOLDS_NULL(content)) {
        return true;
    }
    if (is_string(content)) {
        add_text(content, start, bytes);
        return true;
    }
    if (!JSON_NODE_HOLDS_ARRAY(content)) {
        return false;
    }
    JsonArray *parts = json_node_get_array(content);
    for (guint i = 0; i < json_array_get_length(parts); i++) {
        JsonNode *part = json_array_get_element(parts, i);
        if (!JSON_NODE_HOLDS_OBJECT(part)) {
            return false;
        }
        JsonNode *text =
            json_object_get_member(json_node_get_object(part), "text");
        if (is_string(text)) {
            add_text(text, start, bytes);
        }
    }
    return true;
}

/* Parses "messages": a non-empty array of objects with a role. */
static bool
parse_messages(JsonObject *object, GString *start, size_t *bytes,
               struct ch_fault *fault)
{
    JsonNode *node = json_object_get_member(object, "messages");
    guint count = node != NULL && JSON_NODE_HOLDS_ARRAY(node)
                      ? json_array_get_length(json_node_get_array(node))
                      : 0;
    if (count == 0 || count > MAX_MESSAGES) {
        ch_fault_set(fault, CH_BAD_FIELD, "messages",
                     "messages is not an array of 1 to %d messages",
                     MAX_MESSAGES);
        return false;
    }
    for (guint i = 0; i < count; i++) {
        JsonNode *message =
            json_array_get_element(json_node_get_array(node), i);
        JsonObject *fields = JSON_NODE_HOLDS_OBJECT(message)
                                 ? json_node_get_object(message)
                                 : NULL;
        if (fields == NULL ||
            !is_string(json_object_get_member(fields, "role")) ||
            !parse_content(json_object_get_member(fields, "content"), start,
                           bytes)) {
            ch_fault_set(fault, CH_BAD_FIELD, "messages",
                         "messages[%u] has no role or no text", i);
            return false;
        }
    }
    return true;
}

/* Parses "stream"; absent and null mean false. */
static bool
parse_stream(JsonObject *object, bool *stream, struct ch_fault *fault)
{
    JsonNode *node = json_object_get_member(object, "stream");
    *stream = false;
    if (node == NULL || JSON_NODE_HOLDS_NULL(node)) {
        return true;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_BOOLEAN) {
        ch_fault_set(fault, CH_BAD_FIELD, "stream", "stream is not a boolean");
        return false;
    }
    *stream = json_node_get_boolean(node);
    return true;
}

/* The caller's limit of output tokens, or the default. */
static uint32_t
get_output_tokens(JsonObject *object)
{
    static const char *const names[] = {"max_completion_tokens", "max_tokens"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        JsonNode *node = json_object_get_member(object, names[i]);
        if (node != NULL && JSON_NODE_HOLDS_VALUE(node)) {
            return (uint32_t)json_node_get_int(node);
        }
    }
    return CH_REQUEST_DEFAULT_TOKENS;
}

/* Extracts what is needed from the body's JSON object. */
static bool
parse_object(JsonObject *object, bool chat, struct ch_model_body *body,
             struct ch_fault *fault)
{
    JsonNode *model = json_object_get_member(object, "model");
    if (!is_string(model) || json_node_get_string(model)[0] == '\0' ||
        strlen(json_node_get_string(model)) > CH_REQUEST_MAX_NAME_BYTES) {
        ch_fault_set(fault, CH_BAD_FIELD, "model",
                     "model is not a string of 1 to %d bytes",
                     CH_REQUEST_MAX_NAME_BYTES);
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(number_rules); i++) {
        if (!check_number(object, &number_rules[i], fault)) {
            return false;
        }
    }
    size_t bytes = 0;
    GString *start = g_string_new(NULL);
    bool good = parse_stream(object, &body->stream, fault) &&
                (chat ? parse_messages(object, start, &bytes, fault)
                      : parse_prompt(object, start, &bytes, fault));
    if (good) {
        body->model = g_strdup(json_node_get_string(model));
        body->output_tokens = get_output_tokens(object);
        body->prompt_tokens = (uint32_t)(bytes / BYTES_PER_TOKEN) + 1;
        body->prefix_hash = start->len < MIN_PREFIX_BYTES
                                ? 0
                                : ch_hash(start->str, start->len);
    }
    g_string_free(start, TRUE);
    return good;
}

/* Parses and checks the JSON of a completion or chat completion. Members not
 * checked here are left to the engine and forwarded unchanged. */
bool
ch_model_body_parse(const char *text, size_t length, bool chat,
                    struct ch_model_body *body, struct ch_fault *fault)
{
    size_t members = 0;
    *body = (struct ch_model_body){.model = NULL};
    if (length == 0 || !g_utf8_validate(text, (gssize)length, NULL) ||
        !ch_json_check_shape(text, length, MAX_DEPTH, &members)) {
        ch_fault_set(
            fault, CH_BAD_JSON, "body",
            "the body is not one whole JSON object in UTF-8, nested at "
            "most %d levels deep",
            MAX_DEPTH);
        return false;
    }
    JsonParser *parser = json_parser_new_immutable();
    GError *error = NULL;
    bool good = false;
    if (!json_parser_load_from_data(parser, text, (gssize)length, &error)) {
        ch_fault_set(fault, CH_BAD_JSON, "body", "%s", error->message);
        g_error_free(error);
    }
    else {
        JsonObject *object =
            json_node_get_object(json_parser_get_root(parser));
        if (json_object_get_size(object) != members) {
            ch_fault_set(fault, CH_BAD_JSON, "body",
                         "the body has a duplicate member");
        }
        else {
            good = parse_object(object, chat, body, fault);
        }
    }
    g_object_unref(parser);
    return good;
}
