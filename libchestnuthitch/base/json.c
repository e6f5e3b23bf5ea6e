/*
 * A look at a JSON text before it is parsed.
 *
 * The parser descends one stack frame for each level, so that a body of
 * brackets alone would end the process; it also takes comments, several texts
 * after one another (the last one counts), and the same member twice (the
 * last one counts).  An engine that takes the first would then serve a model
 * that was never checked.  So such bodies are refused here.  Of several texts
 * the parser (json-glib 1.6.6) also never frees any but the last.
 */

#include "base/json.h"

#include <string.h>

enum {
    /* As for callers' bodies; what nodes, upstreams and the platform write is
     * four deep. */
    MOST_DEPTH = 64,
};

struct shape {
    unsigned depth;
    unsigned max_depth;
    bool in_string;
    bool escaped;
    bool ended; /* the outermost object was closed */
    size_t members;
};

/* One byte inside a string; false for a raw control character. */
static bool
string_byte(struct shape *shape, char byte)
{
    if (shape->escaped) {
        shape->escaped = false;
    }
    else if (byte == '\\') {
        shape->escaped = true;
    }
    else if (byte == '"') {
        shape->in_string = false;
    }
    return (unsigned char)byte >= ' ';
}

/* Bytes that neither end a string nor are escaped or control characters: most
 * of what comes, and all of a value in base64. */
static size_t
plain_length(const char *text, size_t length)
{
    size_t i = 0;
    while (i < length && text[i] != '"' && text[i] != '\\' &&
           (unsigned char)text[i] >= ' ') {
        i++;
    }
    return i;
}

/* An opening or closing bracket. */
static bool
bracket(struct shape *shape, char byte)
{
    if (byte == '{' || byte == '[') {
        if (shape->depth == 0 && byte == '[') {
            return false;
        }
        shape->depth++;
        return shape->depth <= shape->max_depth;
    }
    if (shape->depth == 0) {
        return false;
    }
    shape->depth--;
    shape->ended = shape->depth == 0;
    return true;
}

/* One byte outside a string. */
static bool
plain_byte(struct shape *shape, char byte)
{
    if (byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n') {
        return true;
    }
    if (shape->ended || byte == '\0') {
        return false;
    }
    if (strchr("{}[]", byte) != NULL) {
        return bracket(shape, byte);
    }
    if (shape->depth == 0) {
        return false;
    }
    if (byte == '"') {
        shape->in_string = true;
        return true;
    }
    if (byte == ':' && shape->depth == 1) {
        shape->members++;
    }
    return strchr(":,+-.eE0123456789truefalsn", byte) != NULL;
}

/* See json.h. */
bool
ch_json_shape(const char *text, size_t length, unsigned max_depth,
              size_t *members)
{
    struct shape shape = {.max_depth = max_depth};
    for (size_t i = 0; i < length; i++) {
        if (shape.in_string && !shape.escaped) {
            i += plain_length(&text[i], length - i);
            if (i == length) {
                break;
            }
        }
        bool good = shape.in_string ? string_byte(&shape, text[i])
                                    : plain_byte(&shape, text[i]);
        if (!good) {
            return false;
        }
    }
    *members = shape.members;
    return shape.ended;
}

/* See json.h. */
JsonObject *
ch_json_object(const char *text, size_t length, JsonParser **parser)
{
    size_t members = 0;
    *parser = json_parser_new();
    if (!ch_json_shape(text, length, MOST_DEPTH, &members) ||
        !json_parser_load_from_data(*parser, text, (gssize)length, NULL)) {
        return NULL;
    }
    JsonNode *root = json_parser_get_root(*parser);
    return root != NULL && JSON_NODE_HOLDS_OBJECT(root)
               ? json_node_get_object(root)
               : NULL;
}

/* See json.h. */
const char *
ch_json_text(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_STRING
               ? json_node_get_string(node)
               : NULL;
}

/* See json.h. */
int64_t
ch_json_integer(JsonObject *object, const char *name, int64_t fallback)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_INT64
               ? json_node_get_int(node)
               : fallback;
}

/* See json.h. */
char *
ch_json_print(JsonBuilder *builder)
{
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}
