/* The key-value service over HTTP, as docs/INTERFACES.md gives its calls. */

#include "platform/platform.h"
#include "base/json.h"

#include <string.h>

enum {
    /* A value of a megabyte at most, and its framing. */
    MOST_VALUE = 1024 * 1024 + 4096,
    /*
     * A list holds every batch of a once slot for as long as keys are kept.
     * The bound keeps a damaged answer from taking the node's memory.
     */
    MOST_LIST = 64 * 1024 * 1024,
    ETAG_SIZE = 32,
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
    bool write;
    void (*done)(void *data, const struct ch_kv_answer *answer);
    void (*listed)(void *data, enum ch_code code,
                   const struct ch_kv_entry *entries, size_t count);
    void *data;
};

/* Counts one call, if the client has counters. */
static void
count_call(const struct kv_http *owner, enum ch_counter counter)
{
    if (owner->client->metrics != NULL) {
        ch_metrics_count(owner->client->metrics, counter, 1);
    }
}

/* The number in `"N"`; 0 when there is none. */
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
 * What is certain after a call.  A write that may have left this host and got
 * no plain yes or no is ambiguous: it may have taken effect, now or later.
 * To call that a failure would let a second writer be told yes as well.
 */
static enum ch_code
code_of(const struct kv_call *call, const struct ch_http_answer *answer)
{
    const struct ch_http_end *end = &answer->end;
    bool whole = end->code == CH_OK;
    switch (end->status) {
    case 200:
        if (whole && (!call->write || parse_etag(answer->etag) != 0)) {
            return CH_OK;
        }
        break;
    case 204:
        return call->write ? CH_OK : CH_KV_MISSING;
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
    return call->write && end->sent ? CH_KV_AMBIGUOUS : CH_KV_UNREACHABLE;
}

/* True for the codes by which the service did answer. */
static bool
is_answer(enum ch_code code)
{
    return code == CH_OK || code == CH_KV_MISSING || code == CH_KV_CONFLICT;
}

/* Gives one value's answer to the caller. */
static void
value_fetched(void *data, const struct ch_http_answer *answer)
{
    struct kv_call *call = data;
    struct ch_kv_answer out = {.code = code_of(call, answer)};
    if (out.code == CH_OK || out.code == CH_KV_CONFLICT) {
        out.revision = parse_etag(answer->etag);
    }
    if (out.code == CH_OK && !call->write) {
        out.value = answer->body;
        out.length = answer->length;
        if (out.revision == 0) {
            out = (struct ch_kv_answer){.code = CH_KV_UNREACHABLE};
        }
    }
    if (!is_answer(out.code)) {
        count_call(call->owner, CH_COUNT_KV_ERRORS);
    }
    call->done(call->data, &out);
    g_free(call);
}

/* One entry of a list; false when it has another shape. */
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

/* Frees what an entry holds, for g_array_set_clear_func. */
static void
entry_clear(void *data)
{
    struct ch_kv_entry *entry = data;
    g_free(entry->key);
    g_free(entry->value);
}

/* The entries of a list's body, or NULL when it is not one: a list with an
 * entry left out would look like a shorter log. */
static GArray *
parse_list(const char *body, size_t length)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_object(body, length, &parser);
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

/* Gives a list's answer to the caller. */
static void
list_fetched(void *data, const struct ch_http_answer *answer)
{
    struct kv_call *call = data;
    GArray *entries = NULL;
    if (answer->end.code == CH_OK && answer->end.status == 200) {
        entries = parse_list(answer->body, answer->length);
    }
    if (entries == NULL) {
        count_call(call->owner, CH_COUNT_KV_ERRORS);
        call->listed(call->data, CH_KV_UNREACHABLE, NULL, 0);
    }
    else {
        call->listed(call->data, CH_OK,
                     (const struct ch_kv_entry *)(void *)entries->data,
                     entries->len);
        g_array_free(entries, TRUE);
    }
    g_free(call);
}

/* base + path + the escaped key; g_free. */
static char *
url_of(const struct kv_http *owner, const char *path, const char *key)
{
    g_autofree char *escaped = g_uri_escape_string(key, "/", FALSE);
    return g_strconcat(owner->base, path, escaped, NULL);
}

/* Sends a read; wait is added to the bounds (a watch answers late). */
static void
send_read(struct kv_http *owner, struct kv_call *call, const char *url,
          int64_t wait)
{
    struct ch_http_request request = {
        .method = "GET",
        .url = url,
        .connect_limit = owner->call_limit,
        .first_byte_limit = wait + owner->call_limit,
        .stall_limit = owner->call_limit,
    };
    if (call->listed != NULL) {
        ch_http_fetch(owner->http, &request, MOST_LIST, list_fetched, call);
        return;
    }
    request.total_limit = wait + owner->call_limit;
    ch_http_fetch(owner->http, &request, MOST_VALUE, value_fetched, call);
}

/*
 * Sends a write.  A kept-alive connection that closes makes libcurl send the
 * body again, so that one write could take effect twice with the first answer
 * unseen; a fresh connection is never sent on twice.
 */
static void
send_write(struct kv_http *owner, struct kv_call *call, const char *method,
           const char *key, const void *value, size_t length,
           uint64_t revision)
{
    g_autofree char *url = url_of(owner, "kv/", key);
    char etag[ETAG_SIZE];
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
        .connect_limit = owner->call_limit,
        .first_byte_limit = owner->call_limit,
        .stall_limit = owner->call_limit,
        .total_limit = owner->call_limit,
        .fresh_connection = true,
    };
    count_call(owner, CH_COUNT_KV_WRITES);
    ch_http_fetch(owner->http, &request, MOST_VALUE, value_fetched, call);
}

/* A call's state, given to the HTTP loop and freed with its answer. */
static struct kv_call *
call_new(struct kv_http *owner, bool write,
         void (*done)(void *data, const struct ch_kv_answer *answer),
         void *data)
{
    struct kv_call *call = g_new0(struct kv_call, 1);
    call->owner = owner;
    call->write = write;
    call->done = done;
    call->data = data;
    return call;
}

/* Reads a value; see struct ch_kv_ops. */
static void
kv_http_get(struct ch_kv *kv, const char *key,
            void (*done)(void *data, const struct ch_kv_answer *answer),
            void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    g_autofree char *url = url_of(owner, "kv/", key);
    count_call(owner, CH_COUNT_KV_READS);
    send_read(owner, call_new(owner, false, done, data), url, 0);
}

/* Writes by compare-and-swap; see struct ch_kv_ops. */
static void
kv_http_put(struct ch_kv *kv, const char *key, const void *value,
            size_t length, uint64_t revision,
            void (*done)(void *data, const struct ch_kv_answer *answer),
            void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    send_write(owner, call_new(owner, true, done, data), "PUT", key, value,
               length, revision);
}

/* Removes by compare-and-swap; see struct ch_kv_ops. */
static void
kv_http_remove(struct ch_kv *kv, const char *key, uint64_t revision,
               void (*done)(void *data, const struct ch_kv_answer *answer),
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
              void (*done)(void *data, const struct ch_kv_answer *answer),
              void *data)
{
    struct kv_http *owner = (struct kv_http *)kv;
    g_autofree char *path = url_of(owner, "watch/", key);
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
    call->listed = done;
    call->data = data;
    g_autofree char *url = url_of(owner, "list?prefix=", prefix);
    count_call(owner, CH_COUNT_KV_READS);
    send_read(owner, call, url, 0);
}

/* Frees the client; the HTTP loop has ended its calls by then. */
static void
kv_http_free(struct ch_kv *kv)
{
    struct kv_http *owner = (struct kv_http *)kv;
    g_free(owner->base);
    g_free(owner);
}

/* A client of the service at address ("ip:port"); client and http outlive it.
 * call_limit, in microseconds, bounds each call but for a watch's wait. */
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
