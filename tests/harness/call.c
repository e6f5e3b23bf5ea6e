/* Sends a caller's request by libcurl and records the response. */

#include "harness/harness.h"
#include "standin/answer.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

static size_t
on_body_data(char *bytes, size_t size, size_t count, void *data)
{
    struct harness_response *answer = data;
    int64_t now = harness_now_ms();
    int64_t previous =
        answer->first_byte_at_ms == 0 ? now : answer->ended_at_ms;
    if (answer->first_byte_at_ms == 0) {
        answer->first_byte_at_ms = now;
    }
    answer->longest_gap_ms = MAX(answer->longest_gap_ms, now - previous);
    answer->ended_at_ms = now;
    g_string_append_len(answer->response_body, bytes, (gssize)(size * count));
    return size * count;
}

/* The value of a header line that has this name, else NULL; g_free. */
static char *
header_value(const char *line, size_t length, const char *name)
{
    size_t start = strlen(name);
    if (length <= start || g_ascii_strncasecmp(line, name, start) != 0 ||
        line[start] != ':') {
        return NULL;
    }
    return g_strstrip(g_strndup(line + start + 1, length - start - 1));
}

static size_t
on_header(char *line, size_t size, size_t count, void *data)
{
    struct harness_response *answer = data;
    size_t length = size * count;
    char *value;
    if ((value = header_value(line, length, "Chestnuthitch-Request-Id"))) {
        g_free(answer->request_id);
        answer->request_id = value;
    }
    else if ((value = header_value(line, length, "Chestnuthitch-Outcome"))) {
        g_free(answer->outcome);
        answer->outcome = value;
    }
    else if ((value = header_value(line, length, "Chestnuthitch-Code"))) {
        answer->error_code = atoi(value);
        g_free(value);
    }
    else if ((value = header_value(line, length, "Retry-After"))) {
        answer->has_retry_after = true;
        g_free(value);
    }
    return length;
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    if (value == NULL) {
        return list;
    }
    char *line = g_strdup_printf("%s: %s", name, value);
    list = curl_slist_append(list, line);
    g_free(line);
    return list;
}

/* Each request has its own curl handle, so its connection is a new one. */
static CURL *
new_curl_handle(const struct harness_call *call,
                struct harness_response *answer, struct curl_slist *headers)
{
    CURL *curl = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", call->address, call->path);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body_data);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer);
    if (call->body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
    }
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
    g_free(url);
    return curl;
}

struct harness_response *
harness_call(const struct harness_call *call)
{
    struct harness_response *answer = g_new0(struct harness_response, 1);
    struct curl_slist *headers = NULL;
    long status = 0;
    headers = add_header(headers, "Content-Type", "application/json");
    headers = add_header(headers, "Chestnuthitch-Class", call->class_name);
    headers = add_header(headers, "Chestnuthitch-Caller", call->caller);
    headers = add_header(headers, "Idempotency-Key", call->key);
    if (call->access_key != NULL) {
        g_autofree char *credential =
            g_strconcat("Bearer ", call->access_key, NULL);
        headers = add_header(headers, "Authorization", credential);
    }
    headers = curl_slist_append(headers, "Expect:");
    answer->method = g_strdup(call->method);
    answer->path = g_strdup(call->path);
    answer->key = g_strdup(call->key);
    answer->request_body = g_strdup(call->body);
    answer->class_name = g_strdup(call->class_name);
    answer->node_address = g_strdup(call->address);
    answer->response_body = g_string_new(NULL);
    CURL *curl = new_curl_handle(call, answer, headers);
    answer->sent_at_ms = harness_now_ms();
    answer->curl_code = (int)curl_easy_perform(curl);
    answer->ended_at_ms = harness_now_ms();
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    answer->status = (int)status;
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return answer;
}

void
harness_response_free(struct harness_response *answer)
{
    g_free(answer->method);
    g_free(answer->path);
    g_free(answer->key);
    g_free(answer->request_body);
    g_free(answer->class_name);
    g_free(answer->node_address);
    g_free(answer->request_id);
    g_free(answer->outcome);
    g_string_free(answer->response_body, TRUE);
    g_free(answer);
}

char *
harness_model_body(const char *model, unsigned tokens, bool stream,
                   unsigned serial)
{
    return g_strdup_printf("{\"model\":\"%s\",\"prompt\":\"call %u\","
                           "\"max_tokens\":%u,\"stream\":%s}",
                           model, serial, tokens, stream ? "true" : "false");
}

char *
harness_chat_body(const char *model, unsigned tokens, bool stream,
                  unsigned serial)
{
    return g_strdup_printf(
        "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":"
        "\"call %u\"}],\"max_tokens\":%u,\"stream\":%s}",
        model, serial, tokens, stream ? "true" : "false");
}

/* Appends what the stand-in generates for a model request, with the request id
 * of the response. */
static void
append_expected_model(GString *out, const struct harness_response *answer)
{
    JsonNode *root = json_from_string(answer->request_body, NULL);
    JsonObject *call = json_node_get_object(root);
    uint64_t hash = ch_hash_string(answer->request_body);
    bool chat = strstr(answer->path, "chat") != NULL;
    unsigned tokens = (unsigned)json_object_get_int_member(call, "max_tokens");
    if (!json_object_get_boolean_member(call, "stream")) {
        append_response_whole(out, answer->request_id, chat, hash, tokens);
    }
    else {
        for (unsigned i = 0; i < tokens; i++) {
            append_response_event(out, answer->request_id, chat, hash, i);
        }
        g_string_append(out, "data: [DONE]\n\n");
    }
    json_node_unref(root);
}

bool
harness_response_is_correct(const struct harness_response *answer)
{
    GString *expected = g_string_new(NULL);
    bool good = false;
    if (answer->curl_code == 0 && answer->status == 200 &&
        answer->request_id != NULL) {
        const char *service = strstr(answer->path, "/services/");
        if (service == NULL) {
            append_expected_model(expected, answer);
        }
        else {
            const char *subpath = strchr(service + strlen("/services/"), '/');
            append_response_service(
                expected, answer->method, subpath ? subpath : "/",
                ch_hash_string(answer->request_body ? answer->request_body
                                                    : ""));
        }
        good = g_string_equal(expected, answer->response_body);
    }
    g_string_free(expected, TRUE);
    return good;
}

int
harness_get(const char *address, const char *path, char **body)
{
    struct harness_call call = {
        .address = address, .method = "GET", .path = path, .timeout_ms = 2000};
    struct harness_response *answer = harness_call(&call);
    int status = answer->curl_code == 0 ? answer->status : 0;
    if (body != NULL) {
        *body = g_strdup(answer->response_body->str);
    }
    harness_response_free(answer);
    return status;
}
