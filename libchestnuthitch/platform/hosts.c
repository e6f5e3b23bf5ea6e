/* Parses and validates the JSON of the host list. */

#include "platform/platform.h"
#include "base/json.h"

#include <string.h>

enum {
    MAX_HOSTS = 100000,
    MAX_STRING_BYTES = 128,
    MAX_COUNT_VALUE = 100000000,
};

static const char *const kind_names[] = {"entry", "engine", "service", NULL};

/* A required, non-empty string member; NULL with an error. */
static const char *
require_string(JsonObject *object, const char *name, struct ch_error *error)
{
    const char *text = ch_json_get_string(object, name);
    if (text == NULL) {
        ch_error_set(error, CH_BAD_JSON, "host list: '%s' is not a string",
                     name);
        return NULL;
    }
    if (text[0] == '\0' || strlen(text) > MAX_STRING_BYTES) {
        ch_error_set(error, CH_BAD_FIELD,
                     "host list: '%s' is empty or too long", name);
        return NULL;
    }
    return text;
}

/* Parses an optional count; *out is left as it was if the member is missing.
 * Returns false with an error if the member is not a count. */
static bool
parse_count(JsonObject *object, const char *name, uint32_t *out,
            struct ch_error *error)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL) {
        return true;
    }
    int64_t value = -1;
    if (JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_INT64) {
        value = json_node_get_int(node);
    }
    if (value < 0 || value > MAX_COUNT_VALUE) {
        ch_error_set(error, CH_BAD_FIELD, "host list: '%s' is out of range",
                     name);
        return false;
    }
    *out = (uint32_t)value;
    return true;
}

/* Names become part of keys and log lines, so only letters, digits, '.', '_'
 * and '-' are allowed. */
static bool
check_name(const char *name, struct ch_error *error)
{
    for (const char *character = name; *character != '\0'; character++) {
        if (!g_ascii_isalnum(*character) &&
            strchr("._-", *character) == NULL) {
            ch_error_set(error, CH_BAD_FIELD,
                         "host list: name '%s' has characters other than "
                         "letters, digits, '.', '_', '-'",
                         name);
            return false;
        }
    }
    return true;
}

/* Returns false with an error if the kind is unknown. */
static bool
parse_kind(const char *text, enum ch_host_kind *kind, struct ch_error *error)
{
    for (int i = 0; kind_names[i] != NULL; i++) {
        if (strcmp(text, kind_names[i]) == 0) {
            *kind = (enum ch_host_kind)i;
            return true;
        }
    }
    ch_error_set(error, CH_BAD_FIELD, "host list: unknown kind '%s'", text);
    return false;
}

/* Parses a host's string members; false with an error. */
static bool
parse_strings(JsonObject *object, struct ch_host *host, struct ch_error *error)
{
    const struct {
        const char *name;
        char **out;
    } members[] = {
        {"name", &host->name},
        {"address", &host->address},
        {"region", &host->region},
        {"data_centre", &host->data_centre},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        const char *text = require_string(object, members[i].name, error);
        if (text == NULL) {
            return false;
        }
        *members[i].out = g_strdup(text);
    }
    return check_name(host->name, error) &&
           ch_address_check(host->address, error);
}

/* Parses a host's kind, its state and, for a plain service, the service's
 * name; false with an error. */
static bool
parse_kind_and_state(JsonObject *object, struct ch_host *host,
                     struct ch_error *error)
{
    const char *kind = require_string(object, "kind", error);
    const char *state = require_string(object, "state", error);
    if (kind == NULL || state == NULL ||
        !parse_kind(kind, &host->kind, error)) {
        return false;
    }
    host->draining = strcmp(state, "leaving") == 0;
    if (!host->draining && strcmp(state, "live") != 0) {
        ch_error_set(error, CH_BAD_FIELD, "host list: unknown state '%s'",
                     state);
        return false;
    }
    if (host->kind != CH_HOST_SERVICE) {
        return true;
    }
    const char *service = require_string(object, "service", error);
    host->service = g_strdup(service);
    return service != NULL;
}

/* See platform.h. */
bool
ch_host_is_name(const char *text)
{
    for (const char *at = text; *at != '\0'; at++) {
        if (!g_ascii_isgraph(*at)) {
            return false;
        }
    }
    return text[0] != '\0';
}

/* See platform.h. */
bool
ch_host_is_label(const char *text)
{
    if (text == NULL || text[0] == '\0' || !g_utf8_validate(text, -1, NULL)) {
        return false;
    }
    for (const char *at = text; *at != '\0'; at = g_utf8_next_char(at)) {
        gunichar character = g_utf8_get_char(at);
        if (character == 0xFFFD || g_unichar_iscntrl(character)) {
            return false;
        }
    }
    return true;
}

/* See platform.h. A longer text would cost memory and log lines at every node
 * for as long as the upstream is listed. */
bool
ch_host_is_version(const char *text)
{
    return text != NULL && text[0] != '\0' &&
           strlen(text) <= CH_HOST_MAX_VERSION_BYTES &&
           g_utf8_validate(text, -1, NULL);
}

/* Parses one host; false with an error. */
static bool
parse_host(JsonNode *node, struct ch_host *host, struct ch_error *error)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        ch_error_set(error, CH_BAD_JSON, "host list: a host is not an object");
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    const char *version = ch_json_get_string(object, "version");
    host->version = ch_host_is_version(version) ? g_strdup(version) : NULL;
    return parse_strings(object, host, error) &&
           parse_kind_and_state(object, host, error) &&
           parse_count(object, "memory_mb", &host->memory_mb, error) &&
           parse_count(object, "accelerators", &host->accelerators, error) &&
           parse_count(object, "batch", &host->max_batch, error);
}

/* Parses every host and rejects duplicate names; false with an error. */
static bool
parse_hosts(JsonArray *array, struct ch_host_list *list,
            struct ch_error *error)
{
    guint count = json_array_get_length(array);
    if (count > MAX_HOSTS) {
        ch_error_set(error, CH_BAD_FIELD, "host list: too many hosts (%u)",
                     count);
        return false;
    }
    g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
    list->hosts = g_new0(struct ch_host, MAX(count, 1));
    for (guint i = 0; i < count; i++) {
        struct ch_host *host = &list->hosts[i];
        list->count++;
        if (!parse_host(json_array_get_element(array, i), host, error)) {
            return false;
        }
        if (!g_hash_table_add(names, host->name)) {
            ch_error_set(error, CH_DUPLICATE,
                         "host list: name '%s' is there twice", host->name);
            return false;
        }
    }
    return true;
}

/* Parses the response to GET /v1/hosts; free the list with ch_host_list_free.
 * One invalid host makes the whole list an error (NULL): an omitted host would
 * look like one that has been removed. */
struct ch_host_list *
ch_host_list_parse(const char *json, size_t length, struct ch_error *error)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_parse_object(json, length, &parser);
    JsonNode *member =
        object == NULL ? NULL : json_object_get_member(object, "hosts");
    if (member == NULL || !JSON_NODE_HOLDS_ARRAY(member)) {
        ch_error_set(error, CH_BAD_JSON,
                     "host list: not one JSON object with an array 'hosts'");
        return NULL;
    }
    struct ch_host_list *list = g_new0(struct ch_host_list, 1);
    if (!parse_hosts(json_node_get_array(member), list, error)) {
        ch_host_list_free(list);
        return NULL;
    }
    return list;
}

/* See platform.h. */
void
ch_host_clear(struct ch_host *host)
{
    g_free(host->name);
    g_free(host->address);
    g_free(host->region);
    g_free(host->data_centre);
    g_free(host->service);
    g_free(host->version);
    g_strfreev(host->resident_items);
    g_strfreev(host->local_copies);
}

/* Frees a list and its hosts; list may be NULL. */
void
ch_host_list_free(struct ch_host_list *list)
{
    if (list == NULL) {
        return;
    }
    for (size_t i = 0; i < list->count; i++) {
        ch_host_clear(&list->hosts[i]);
    }
    g_free(list->hosts);
    g_free(list);
}
