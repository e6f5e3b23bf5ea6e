/* Client of the key-value store over HTTP; docs/INTERFACES.md describes the
 * calls. */

#include "platform/platform.h"
#include "base/json.h"

#include <string.h>

enum {
    /* A value has at most 1 MB; the rest allows for its framing. */
    MAX_VALUE_BYTES = 1024 * 1024 + 4096,
    /*
     * A list holds every batch of an at-most-once slot for as long as its keys
     * are retained.  The limit keeps a damaged response from exhausting the
     * node's memory.
     */
    MAX_LIST_BYTES = 64 * 1024 * 1024,
    ETAG_BUFFER_BYTES = 32,
};

struct kv_http {
    struct ch_kv kv;
    struct ch_client *client;
    struct ch_http *http;
    char *base; /* http://ip:port/v1/ */
    int64_t call_limit;
};

struct kv_call {
    struct kv_http *owner;
    bool is_write;
    void (*done)(void *data, const struct ch_kv_result *result);
    void (*list_done)(void *data, enum ch_code code,
                      const struct ch_kv_entry *entries, size_t count);
    void *data;
};

/* Counts one call, if the client has metrics. */
static void
count_call(const struct kv_http *owner, enum ch_counter counter)
{
    if (owner->client->metrics != NULL) {
        ch_metrics_add_count(owner->client->metrics, counter, 1);
    }
}

/* The revision N in an ETag `"N"`; 0 if there is none. */
static uint64_t
parse_etag(const char *etag)
{
    if (etag == NULL || etag[0] != '"') {
        return 0;
    }
    char *end = NULL;
    uint64_t revision = g_ascii_strtoull(etag + 1, &end, 10);
    return *end == '"' ? revision : 0;
}

/*
 * The result of a call.  A write that may have left this host without a
 * definite response is ambiguous: it may have taken effect or may yet.
 * Reporting it as failed could let a second writer succeed as well.
 */
static enum ch_code
result_code(const struct kv_call *call,
            const struct ch_http_response *response)
{
    const struct ch_http_result *end = &response->result;
    bool complete = end->code == CH_OK;
    switch (end->status) {
    case 200:
        if (complete && (!call->is_write || parse_etag(response->etag) != 0)) {
            return CH_OK;
        }
        break;
    case 204:
        return call->is_write ? CH_OK : CH_KV_MISSING;
    case 404:
        return CH_KV_MISSING;
    case 412:
        return CH_KV_CONFLICT;
    case 400:
    case 405:
    case 413:
    case 429:
        return CH_KV_UNREACHABLE;
    default:
        break;
    }
    return call->is_write && end->sent ? CH_KV_AMBIGUOUS : CH_KV_UNREACHABLE;
}

/* True for the codes that stand for a definite response of the store. */
static bool
is_definite_result(enum ch_code code)
{
    return code == CH_OK || code == CH_KV_MISSING || code == CH_KV_CONFLICT;
}

/* Handles the response to a call on one key. */
static void
handle_value(void *data, const struct ch_http_response *response)
{
    struct kv_call *call = data;
    struct ch_kv_result result = {.code = result_code(call, response)};
    if (result.code == CH_OK || result.code == CH_KV_CONFLICT) {
        result.revision = parse_etag(response->etag);
    }
    if (result.code == CH_OK && !call->is_write) {
        result.value = response->body;
        result.length = response->body_length;
        if (result.revision == 0) {
            result = (struct ch_kv_result){.code = CH_KV_UNREACHABLE};
        }
    }
    if (!is_definite_result(result.code)) {
        count_call(call->owner, CH_COUNT_KV_ERRORS);
    }
    call->done(call->data, &result);
    g_free(call);
}

/* Parses one entry of a list; false if it is invalid. */
static bool
parse_entry(JsonNode *node, struct ch_kv_entry *entry)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    const char *key =
        json_object_get_string_member_with_default(object, "key", NULL);
    const char *value =
        json_object_get_string_member_with_default(object, "value", NULL);
    int64_t revision =
        json_object_get_int_member_with_default(object, "revision", 0);
    if (key == NULL || value == NULL || revision <= 0) {
        return false;
    }
    gsize length = 0;
    entry->key = g_strdup(key);
    entry->value = (char *)g_base64_decode(value, &length);
    entry->length = length;
    entry->revision = (uint64_t)revision;
    return true;
}

/* Frees an entry's members, for g_array_set_clear_func. */
static void
entry_clear(void *data)
{
    struct ch_kv_entry *entry = data;
    g_free(entry->key);
    g_free(entry->value);
}

/* Parses the entries in a list's body.  Returns NULL if any entry is invalid:
 * a list with an entry omitted would look like a shorter log. */
static GArray *
parse_list(const char *body, size_t length)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_parse_object(body, length, &parser);
    JsonNode *member =
        object == NULL ? NULL : json_object_get_member(object, "entries");
    if (member == NULL || !JSON_NODE_HOLDS_ARRAY(member)) {
        return NULL;
    }
    JsonArray *array = json_node_get_array(member);
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(struct ch_kv_entry));
    g_array_set_clear_func(entries, entry_clear);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        struct ch_kv_entry entry = {0};
        if (!parse_entry(json_array_get_element(array, i), &entry)) {
            g_array_free(entries, TRUE);
            return NULL;
        }
        g_array_append_val(entries, entry);
    }
    return entries;
}

/* Handles the response to a list call. */
static void
handle_list(void *data, const struct ch_http_response *response)
{
    struct kv_call *call = data;
    GArray *entries = NULL;
    if (response->result.code == CH_OK && response->result.status == 200) {
        entries = parse_list(response->body, response->body_length);
    }
    if (entries == NULL) {
        count_call(call->owner, CH_COUNT_KV_ERRORS);
        call->list_done(call->data, CH_KV_UNREACHABLE, NULL, 0);
    }
    else {
        call->list_done(call->data, CH_OK,
                        (const struct ch_kv_entry *)(void *)entries->data,
                        entries->len);
        g_array_free(entries, TRUE);
    }
    g_free(call);
}

/* Joins the base URL, the path and the escaped key; g_free. */
static char *
build_url(const struct kv_http *owner, const char *path, const char *key)
{
    g_autofree char *escaped = g_uri_escape_string(key, "/", FALSE);
    return g_strconcat(owner->base, path, escaped, NULL);
}

/* Sends a read.  wait, in microseconds, is added to the time limits, since the
 * response to a watch may take that long. */
static void
send_read(struct kv_http *owner, struct kv_call *call, const char *url,
          int64_t wait)
{
    struct ch_http_request request = {
        .method = "GET",
        .url = url,
        .connect_timeout = owner->call_limit,
        .first_byte_timeout = wait + owner->call_limit,
        .stall_timeout = owner->call_limit,
    };
    if (call->list_done != NULL) {
        ch_http_fetch(owner->http, &request, MAX_LIST_BYTES, handle_list,
                      call);
        return;
    }
    request.total_timeout = wait + owner->call_limit;
    ch_http_fetch(owner->http, &request, MAX_VALUE_BYTES, handle_value, call);
}

/*
 * Sends a write.  When a kept-alive connection closes, libcurl sends the body
 * again, so that one write could take effect twice while the first response
 * stays unseen.  On a fresh connection libcurl never sends the body again.
 */
static void
send_write(struct kv_http *owner, struct kv_call *call, const char *method,
           const char *key, const void *value, size_t length,
           uint64_t revision)
{
    g_autofree char *url = build_url(owner, "kv/", key);
    char etag[ETAG_BUFFER_BYTES];
    (void)g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"",
                     revision);
    const struct ch_http_header headers[] = {
        {"Content-Type", "application/octet-stream"},
        {revision == 0 ? "If-None-Match" : "If-Match",
         revision == 0 ? "*" : etag},
    };
    const struct ch_http_request request = {
        .method = method,
        .url = url,
        .headers = headers,
        .header_count = G_N_ELEMENTS(headers),
        .body = value,
        .body_length = length,
        .connect_timeout = owner->call_limit,
        .first_byte_timeout = owner->call_limit,
        .stall_timeout = owner->call_limit,
        .total_timeout = owner->call_limit,
        .fresh_connection = true,
    };
    count_call(owner, CH_COUNT_KV_WRITES);
    ch_http_fetch(owner->http, &request, MAX_VALUE_BYTES, handle_value, call);
}

/* Allocates the state of a call; the handler of its response frees it. */
static struct kv_call *
call_new(struct kv_http *owner, bool is_write,
         void (*done)(void *data, const struct ch_kv_result *result),
         void *data)
{
    struct kv_call *call = g_new0(struct kv_call, 1);
    call->owner = owner;
    call->is_write = is_write;
    call->done = done;
    call->data = data;
    return call;
}

/* Reads a value; see struct ch_kv_ops. */
static void
kv_http_get(struct ch_kv *kv, const char *key,
            void (*done)(void *data, const struct ch_kv_result *result),
            void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    g_autofree char *url = build_url(owner, "kv/", key);
    count_call(owner, CH_COUNT_KV_READS);
    send_read(owner, call_new(owner, false, done, data), url, 0);
}

/* Writes by compare-and-swap; see struct ch_kv_ops. */
static void
kv_http_put(struct ch_kv *kv, const char *key, const void *value,
            size_t length, uint64_t revision,
            void (*done)(void *data, const struct ch_kv_result *result),
            void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    send_write(owner, call_new(owner, true, done, data), "PUT", key, value,
               length, revision);
}

/* Removes by compare-and-swap; see struct ch_kv_ops. */
static void
kv_http_remove(struct ch_kv *kv, const char *key, uint64_t revision,
               void (*done)(void *data, const struct ch_kv_result *result),
               void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    send_write(owner, call_new(owner, true, done, data), "DELETE", key, NULL,
               0, revision);
}

/* Waits for a higher revision; see struct ch_kv_ops. */
static void
kv_http_watch(struct ch_kv *kv, const char *key, uint64_t revision,
              int64_t wait,
              void (*done)(void *data, const struct ch_kv_result *result),
              void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    g_autofree char *path = build_url(owner, "watch/", key);
    g_autofree char *url = g_strdup_printf("%s?after=%" G_GUINT64_FORMAT
                                           "&wait_ms=%" G_GINT64_FORMAT,
                                           path, revision, wait / 1000);
    count_call(owner, CH_COUNT_KV_WATCHES);
    send_read(owner, call_new(owner, false, done, data), url, wait);
}

/* Lists a prefix; see struct ch_kv_ops. */
static void
kv_http_list(struct ch_kv *kv, const char *prefix,
             void (*done)(void *data, enum ch_code code,
                          const struct ch_kv_entry *entries, size_t count),
             void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    struct kv_call *call = g_new0(struct kv_call, 1);
    call->owner = owner;
    call->list_done = done;
    call->data = data;
    g_autofree char *url = build_url(owner, "list?prefix=", prefix);
    count_call(owner, CH_COUNT_KV_READS);
    send_read(owner, call, url, 0);
}

/* Must run only after the HTTP loop has ended the client's calls. */
static void
kv_http_free(struct ch_kv *kv)
{
    struct kv_http *owner = (struct kv_http *)kv;
    g_free(owner->base);
    g_free(owner);
}

/* Creates a client of the store at address ("ip:port").  client and http must
 * outlive it.  call_limit, in microseconds, limits each call; a watch may take
 * its wait time in addition. */
struct ch_kv *
ch_kv_http_new(struct ch_client *client, struct ch_http *http,
               const char *address, int64_t call_limit)
{
    static const struct ch_kv_ops ops = {
        .get = kv_http_get,
        .put = kv_http_put,
        .remove = kv_http_remove,
        .watch = kv_http_watch,
        .list = kv_http_list,
        .free = kv_http_free,
    };
    struct kv_http *owner = g_new0(struct kv_http, 1);
    owner->kv.ops = &ops;
    owner->client = client;
    owner->http = http;
    owner->base = g_strdup_printf("http://%s/v1/", address);
    owner->call_limit = call_limit;
    return &owner->kv;
}
