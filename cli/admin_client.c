/* Calls to a node's admin listener, by libcurl's easy interface. */

#include "admin_client.h"

#include <curl/curl.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <string.h>

enum {
    CONNECT_MS = 2000,
    /* Above the node's own time-outs to the key-value service, so that the
       node's clear answer comes before this one. */
    TOTAL_MS = 15000,
    MOST_ANSWER_BYTES = 64 * 1024 * 1024,
};

/* Gathers the body; too much of it ends the call. */
static size_t
keep_body(char *bytes, size_t size, size_t count, void *data)
{
    GString *body = data;
    if (body->len + size * count > MOST_ANSWER_BYTES) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)(size * count));
    return size * count;
}

/* Sets what every call needs.  A handle of its own for each call: its first
 * connection is fresh, so that libcurl has none to send a POST on again. */
static void
set_options(CURL *curl, const char *url, const char *method, const char *body,
            GString *out)
{
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)TOTAL_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, keep_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, out);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
    }
}

/* One call to one node ("ip:port"); body NULL: none.  The answer's members
 * are new; status 0 with a message when no whole answer came. */
void
cli_call(const char *node, const char *method, const char *path,
         const char *body, struct cli_answer *answer)
{
    *answer = (struct cli_answer){0};
    GString *out = g_string_new(NULL);
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", node, path);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: text/plain; charset=utf-8");
    headers = curl_slist_append(headers, "Expect:");
    set_options(curl, url, method, body, out);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    CURLcode result = curl_easy_perform(curl);
    long status = 0;
    curl_off_t connected = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connected);
    answer->sent = connected > 0;
    if (result == CURLE_OK) {
        answer->status = (int)status;
    }
    else {
        (void)snprintf(answer->message, sizeof(answer->message), "%s: %s",
                       node, curl_easy_strerror(result));
    }
    answer->body = g_string_free(out, FALSE);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_free(url);
}

/* The same call to each node in turn until one answers.  A call with a body
 * goes to the next node only if nothing was sent to this one. */
void
cli_call_any(char **nodes, const char *method, const char *path,
             const char *body, struct cli_answer *answer)
{
    for (size_t i = 0; nodes[i] != NULL; i++) {
        cli_call(nodes[i], method, path, body, answer);
        bool done = answer->status != 0 || (body != NULL && answer->sent);
        if (done || nodes[i + 1] == NULL) {
            return;
        }
        cli_answer_clear(answer);
    }
}

/* Frees what an answer holds. */
void
cli_answer_clear(struct cli_answer *answer)
{
    g_free(answer->body);
    answer->body = NULL;
}

/* True when at least one node is named, and each as ip:port; else says so. */
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

/* An object's string member; "" when it has none. */
static char *
dup_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return g_strdup("");
    }
    return g_strdup(json_node_get_string(node));
}

/* An object's integer member; 0 when it has none. */
static int64_t
int_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64) {
        return 0;
    }
    return json_node_get_int(node);
}

/* The object of an answer, or its member of that name (NULL: itself); NULL
 * when there is none.  It lives as long as the parser. */
static JsonObject *
object_of(JsonParser *parser, const char *json, const char *member)
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

/* Reads a configuration from an answer, or from its member of that name;
 * revision 0 when there is none. */
void
cli_config_parse(const char *json, const char *member,
                 struct cli_config *config)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object = object_of(parser, json, member);
    *config = (struct cli_config){0};
    if (object == NULL) {
        config->token = g_strdup("");
        config->author = g_strdup("");
        config->text = g_strdup("");
    }
    else {
        config->revision = (uint64_t)int_member(object, "revision");
        config->token = dup_member(object, "token");
        config->author = dup_member(object, "author");
        config->text = dup_member(object, "text");
    }
    g_object_unref(parser);
}

/* Frees what a configuration holds. */
void
cli_config_clear(struct cli_config *config)
{
    g_free(config->token);
    g_free(config->author);
    g_free(config->text);
}

/* Reads a node's error; SYSTEM with the body when it is no such JSON. */
void
cli_error_parse(const char *json, struct ch_error *error)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object = object_of(parser, json, "error");
    ch_error_clear(error);
    if (object == NULL) {
        ch_error_set(error, CH_SYSTEM, "no error of a node: '%.100s'", json);
    }
    else {
        char *message = dup_member(object, "message");
        ch_error_set(error, (enum ch_code)int_member(object, "code"), "%s",
                     message);
        g_free(message);
    }
    g_object_unref(parser);
}
