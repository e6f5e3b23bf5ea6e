/*
 * Checks the structure of a JSON text before it is parsed.
 *
 * The parser of json-glib uses a stack frame for each level of nesting, so a
 * body that consists of brackets would overflow the stack and end the process.
 * The parser also accepts comments, several texts in sequence and duplicate
 * members, and uses the last text or member.  An engine that uses the first
 * would then serve a model that was never checked.  Of several texts, the
 * parser (json-glib 1.6.6) also frees only the last.  So bodies that are
 * nested too deep, contain comments or consist of several texts are refused
 * here.  The number of members is returned, so that a caller of
 * ch_json_check_shape() can detect duplicates.
 */

#include "base/json.h"

#include <string.h>

enum {
    /* The same limit as for callers' bodies; texts of nodes, upstreams and the
     * platform are nested four levels deep. */
    MAX_DEPTH = 64,
};

struct shape {
    unsigned depth;
    unsigned max_depth;
    bool in_string;
    bool escaped;
    bool ended; /* the outermost object is closed */
    size_t members;
};

/* Handles a byte inside a string; false for an unescaped control character. */
static bool
check_string_byte(struct shape *shape, char byte)
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

/* The number of leading bytes that are no quote, backslash or control
 * character.  These are most bytes of a text and all of a base64 value, so
 * that they are skipped at once. */
static size_t
count_plain_bytes(const char *text, size_t length)
{
    size_t i = 0;
    while (i < length && text[i] != '"' && text[i] != '\\' &&
           (unsigned char)text[i] >= ' ') {
        i++;
    }
    return i;
}

/* Handles an opening or closing bracket; false if it is misplaced or
 * nested too deep. */
static bool
check_bracket(struct shape *shape, char byte)
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

/* Handles a byte outside a string; false if it is not allowed there. */
static bool
check_plain_byte(struct shape *shape, char byte)
{
    if (byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n') {
        return true;
    }
    if (shape->ended || byte == '\0') {
        return false;
    }
    if (strchr("{}[]", byte) != NULL) {
        return check_bracket(shape, byte);
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

bool
ch_json_check_shape(const char *text, size_t length, unsigned max_depth,
                    size_t *members)
{
    struct shape shape = {.max_depth = max_depth};
    for (size_t i = 0; i < length; i++) {
        if (shape.in_string && !shape.escaped) {
            i += count_plain_bytes(&text[i], length - i);
            if (i == length) {
                break;
            }
        }
        bool valid = shape.in_string ? check_string_byte(&shape, text[i])
                                     : check_plain_byte(&shape, text[i]);
        if (!valid) {
            return false;
        }
    }
    *members = shape.members;
    return shape.ended;
}

/*
 * Replaces each U+0000 in the strings of a text by U+FFFD; NULL: there is
 * none. json-glib returns strings without their length, so that one with
 * U+0000 in it reads as what stands before: the key of one entry as that of
 * another.
 */
static char *
replace_nul_characters(const char *text, size_t length)
{
    static const char nul[] = "\\u0000";
    static const char replacement[] = "\\ufffd";
    const size_t size = sizeof(nul) - 1;
    if (memmem(text, length, nul, size) == NULL) {
        return NULL;
    }
    char *copy = g_memdup2(text, length);
    for (size_t i = 0; i < length; i++) {
        if (copy[i] != '\\') {
            continue;
        }
        if (length - i >= size && memcmp(&copy[i], nul, size) == 0) {
            memcpy(&copy[i], replacement, size);
        }
        i++; /* the escaped character */
    }
    return copy;
}

JsonObject *
ch_json_parse_object(const char *text, size_t length, JsonParser **parser)
{
    size_t members = 0;
    *parser = json_parser_new();
    if (!ch_json_check_shape(text, length, MAX_DEPTH, &members)) {
        return NULL;
    }
    g_autofree char *copy = replace_nul_characters(text, length);
    if (!json_parser_load_from_data(*parser, copy == NULL ? text : copy,
                                    (gssize)length, NULL)) {
        return NULL;
    }
    JsonNode *root = json_parser_get_root(*parser);
    return root != NULL && JSON_NODE_HOLDS_OBJECT(root)
               ? json_node_get_object(root)
               : NULL;
}

const char *
ch_json_get_string(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_STRING
               ? json_node_get_string(node)
               : NULL;
}

int64_t
ch_json_get_integer(JsonObject *object, const char *name, int64_t fallback)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_INT64
               ? json_node_get_int(node)
               : fallback;
}

char *
ch_json_to_string(JsonBuilder *builder)
{
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}
