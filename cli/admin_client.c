/* Calls to a node's admin listener with libcurl's easy interface. */

#include "admin_client.h"

#include <curl/curl.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

enum {
    CONNECT_TIMEOUT_MS = 2000,
    /* Longer than the node's own timeouts for calls to the key-value store, so
       that the node's specific error arrives before this timeout ends. */
    CALL_TIMEOUT_MS = 15000,
    MAX_RESPONSE_BYTES = 64 * 1024 * 1024,
};

/* Write callback of libcurl: appends to the response body.  Returning 0 makes
 * libcurl abort the call when the body is too large. */
static size_t
append_body(char *bytes, size_t size, size_t count, void *data)
{
    GString *body = data;
    if (body->len + size * count > MAX_RESPONSE_BYTES) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)(size * count));
    return size * count;
}

/* Header callback of libcurl: notes the empty line that ends the headers.
 * libcurl reports a call as successful though its connection was closed within
 * them. */
static size_t
check_header_end(char *line, size_t size, size_t count, void *data)
{
    bool *head_complete = data;
    *head_complete = line[0] == '\r' || line[0] == '\n';
    return size * count;
}

/* Sets the options that every call needs.  Each call has its own handle and a
 * fresh connection: on a reused connection, libcurl could send a POST a second
 * time. */
static void
set_options(CURL *curl, const char *url, const char *method, const char *body,
            GString *response_body, bool *head_complete)
{
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, response_body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, check_header_end);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, head_complete);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
    }
}

/* Calls one node ("ip:port"); a NULL body sends none.  When no complete
 * response arrives, its status is 0 and its error message says why.  Free the
 * response with cli_response_clear(). */
void
cli_call_node(const char *node, const char *method, const char *path,
              const char *body, struct cli_response *response)
{
    *response = (struct cli_response){0};
    GString *response_body = g_string_new(NULL);
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", node, path);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: text/plain; charset=utf-8");
    headers = curl_slist_append(headers, "Expect:");
    bool head_complete = false;
    set_options(curl, url, method, body, response_body, &head_complete);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    CURLcode result = curl_easy_perform(curl);
    long status = 0;
    curl_off_t connect_time = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connect_time);
    response->may_have_been_sent = connect_time > 0;
    if (result == CURLE_OK && head_complete) {
        response->status = (int)status;
    }
    else {
        (void)snprintf(response->error_message,
                       sizeof(response->error_message), "%s: %s", node,
                       result == CURLE_OK
                           ? "connection closed within the response's headers"
                           : curl_easy_strerror(result));
    }
    response->body = g_string_free(response_body, FALSE);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
}

/* Calls the nodes in turn until one responds.  A call with a body may change
 * state, so that it is tried at the next node only if nothing was sent to the
 * previous one.  Free the response with cli_response_clear(). */
void
cli_call_any_node(char **nodes, const char *method, const char *path,
                  const char *body, struct cli_response *response)
{
    for (size_t i = 0; nodes[i] != NULL; i++) {
        cli_call_node(nodes[i], method, path, body, response);
        bool done = response->status != 0 ||
                    (body != NULL && response->may_have_been_sent);
        if (done || nodes[i + 1] == NULL) {
            return;
        }
        cli_response_clear(response);
    }
}

/* Frees the body, but not the structure itself. */
void
cli_response_clear(struct cli_response *response)
{
    g_free(response->body);
    response->body = NULL;
}

/* Returns true if there is at least one node and each is an ip:port; otherwise
 * prints an error. */
bool
cli_nodes_check(char **nodes)
{
    if (nodes == NULL || nodes[0] == NULL) {
        (void)fprintf(stderr,
                      "chestnuthitch: --node IP:PORT is missing (the admin "
                      "listener of a node)\n");
        return false;
    }
    for (size_t i = 0; nodes[i] != NULL; i++) {
        struct ch_error error = {0};
        if (!ch_address_check(nodes[i], &error)) {
            (void)fprintf(stderr, "chestnuthitch: --node: %s\n",
                          error.message);
            return false;
        }
    }
    return true;
}

/* Returns a new copy of a string member; "" if it is missing or no string. */
static char *
dup_string_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return g_strdup("");
    }
    return g_strdup(json_node_get_string(node));
}

/* Returns an integer member; 0 if it is missing or no integer. */
static int64_t
get_int_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64) {
        return 0;
    }
    return json_node_get_int(node);
}

/* Parses a response and returns its root object, or the object in the named
 * member of the root; NULL if there is no such object.  The parser owns the
 * returned object. */
static JsonObject *
parse_object(JsonParser *parser, const char *json, const char *member)
{
    if (!json_parser_load_from_data(parser, json, -1, NULL)) {
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    if (root != NULL && member != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        root = json_object_get_member(json_node_get_object(root), member);
    }
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        return NULL;
    }
    return json_node_get_object(root);
}

/* Reads a configuration from a response, or from the named member of it (NULL:
 * the response itself).  Without a configuration, the revision is 0 and the
 * strings are empty.  Free it with cli_config_clear(). */
void
cli_config_parse(const char *json, const char *member,
                 struct cli_config *config)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object = parse_object(parser, json, member);
    *config = (struct cli_config){0};
    if (object == NULL) {
        config->token = g_strdup("");
        config->author = g_strdup("");
        config->text = g_strdup("");
    }
    else {
        config->revision = (uint64_t)get_int_member(object, "revision");
        config->token = dup_string_member(object, "token");
        config->author = dup_string_member(object, "author");
        config->text = dup_string_member(object, "text");
    }
    g_object_unref(parser);
}

/* Frees the strings, but not the structure itself. */
void
cli_config_clear(struct cli_config *config)
{
    g_free(config->token);
    g_free(config->author);
    g_free(config->text);
}

/* Reads the error in a node's response; CH_SYSTEM with the start of the body
 * if the response is not a JSON error. */
void
cli_error_parse(const char *json, struct ch_error *error)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object = parse_object(parser, json, "error");
    ch_error_clear(error);
    if (object == NULL) {
        ch_error_set(error, CH_SYSTEM,
                     "unexpected response from the node: '%.100s'", json);
    }
    else {
        char *message = dup_string_member(object, "message");
        ch_error_set(error, (enum ch_code)get_int_member(object, "code"), "%s",
                     message);
        g_free(message);
    }
    g_object_unref(parser);
}
