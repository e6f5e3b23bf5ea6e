/* Simulates the key-value service: compare-and-swap, watches, lists. */

#include "standin.h"

#include <inttypes.h>
#include <string.h>

enum {
    MAX_VALUE_BYTES = 1024 * 1024,
};

enum call_kind {
    CALL_GET,
    CALL_PUT,
    CALL_DELETE,
    CALL_WATCH,
    CALL_LIST,
    CALL_CONFLICT,
    CALL_KINDS
};

static const char *const call_names[] = {"gets",    "puts",  "deletes",
                                         "watches", "lists", "conflicts"};

struct value {
    GBytes *bytes;
    uint64_t revision;
};

struct kv {
    GTree *values; /* key to struct value */
    uint64_t revision;
    int64_t calls[CALL_KINDS];
    int64_t largest;
    GPtrArray *watching; /* struct exchange, whose data is a struct watch */
};

struct watch {
    char *key;
    uint64_t after;
};

static void
value_free(gpointer data)
{
    struct value *value = data;
    g_bytes_unref(value->bytes);
    g_free(value);
}

/* Orders keys bytewise. */
static gint
key_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static void
kv_start(struct standin *standin)
{
    struct kv *kv = g_new0(struct kv, 1);
    kv->values = g_tree_new_full(key_compare, NULL, g_free, value_free);
    kv->watching = g_ptr_array_new();
    standin->mode_data = kv;
}

/* Adds the ETag of a revision to the response. */
static void
add_etag(struct exchange *exchange, uint64_t revision)
{
    char text[32];
    (void)g_snprintf(text, sizeof text, "\"%" PRIu64 "\"", revision);
    exchange_add_header(exchange, "ETag", text);
}

/* Responds with a value, or with 404 if value is NULL. */
static void
respond_with_value(struct exchange *exchange, const struct value *value)
{
    if (value == NULL) {
        exchange_reply_text(exchange, 404, "");
        return;
    }
    gsize length;
    gconstpointer bytes = g_bytes_get_data(value->bytes, &length);
    exchange_reply(exchange, 200, g_memdup2(bytes, length), length);
    add_etag(exchange, value->revision);
}

/* Answers the watches of a key that was just written. */
static void
wake_watches(struct kv *kv, const char *key)
{
    for (guint i = kv->watching->len; i > 0; i--) {
        struct exchange *exchange = g_ptr_array_index(kv->watching, i - 1);
        struct watch *watch = exchange->mode_data;
        const struct value *value = g_tree_lookup(kv->values, key);
        if (strcmp(watch->key, key) != 0 || value->revision <= watch->after) {
            continue;
        }
        g_ptr_array_remove_index_fast(kv->watching, i - 1);
        timer_cancel(exchange->standin, exchange->timer);
        respond_with_value(exchange, value);
        exchange_resume(exchange);
    }
}

/* Checks If-Match or If-None-Match; when the check fails, sets the response
 * and returns false. */
static bool
check_condition(struct exchange *exchange, const struct value *value)
{
    struct kv *kv = exchange->standin->mode_data;
    const char *match = exchange_header(exchange, "If-Match");
    bool none = exchange_header(exchange, "If-None-Match") != NULL;
    if (match == NULL && !none) {
        exchange_reply_text(exchange, 400,
                            "If-Match or If-None-Match is missing\n");
        return false;
    }
    uint64_t wanted =
        none ? 0 : g_ascii_strtoull(match + (match[0] == '"'), NULL, 10);
    if (wanted == (value == NULL ? 0 : value->revision)) {
        return true;
    }
    kv->calls[CALL_CONFLICT]++;
    exchange_reply_text(exchange, 412, "");
    if (value != NULL) {
        add_etag(exchange, value->revision);
    }
    return false;
}

/* Handles PUT /v1/kv/KEY. */
static void
handle_put(struct exchange *exchange, const char *key)
{
    struct kv *kv = exchange->standin->mode_data;
    if (exchange->body->len > MAX_VALUE_BYTES) {
        exchange_reply_text(exchange, 413, "");
        return;
    }
    if (!check_condition(exchange, g_tree_lookup(kv->values, key))) {
        return;
    }
    struct value *value = g_new(struct value, 1);
    value->bytes = g_bytes_new(exchange->body->str, exchange->body->len);
    value->revision = ++kv->revision;
    kv->largest = MAX(kv->largest, (int64_t)exchange->body->len);
    g_tree_replace(kv->values, g_strdup(key), value);
    exchange_reply_text(exchange, 200, "");
    add_etag(exchange, value->revision);
    wake_watches(kv, key);
}

/* Handles DELETE /v1/kv/KEY. */
static void
handle_delete(struct exchange *exchange, const char *key)
{
    struct kv *kv = exchange->standin->mode_data;
    const struct value *value = g_tree_lookup(kv->values, key);
    if (value == NULL) {
        exchange_reply_text(exchange, 404, "");
        return;
    }
    if (check_condition(exchange, value)) {
        kv->revision++;
        g_tree_remove(kv->values, key);
        exchange_reply_text(exchange, 204, "");
    }
}

/* Answers a watch after its timeout. */
static void
expire_watch(void *data)
{
    struct exchange *exchange = data;
    struct kv *kv = exchange->standin->mode_data;
    g_ptr_array_remove_fast(kv->watching, exchange);
    exchange->timer = NULL;
    exchange_reply_text(exchange, 204, "");
    exchange_resume(exchange);
}

/* Frees a watch at the end of its exchange. */
static void
free_watch(struct exchange *exchange, bool whole)
{
    struct kv *kv = exchange->standin->mode_data;
    struct watch *watch = exchange->mode_data;
    (void)whole;
    g_ptr_array_remove_fast(kv->watching, exchange);
    g_free(watch->key);
    g_free(watch);
}

/* Handles GET /v1/watch/KEY. */
static void
begin_watch(struct exchange *exchange, const char *key)
{
    struct kv *kv = exchange->standin->mode_data;
    const char *after = exchange_query(exchange, "after");
    const char *wait = exchange_query(exchange, "wait_ms");
    const struct value *value = g_tree_lookup(kv->values, key);
    uint64_t seen_revision =
        after == NULL ? 0 : g_ascii_strtoull(after, NULL, 10);
    if (value != NULL && value->revision > seen_revision) {
        respond_with_value(exchange, value);
        return;
    }
    struct watch *watch = g_new(struct watch, 1);
    watch->key = g_strdup(key);
    watch->after = seen_revision;
    exchange->mode_data = watch;
    exchange->on_end = free_watch;
    int64_t timeout_ms = wait == NULL ? 0 : g_ascii_strtoll(wait, NULL, 10);
    exchange->timer = timer_add(exchange->standin, timeout_ms * 1000,
                                expire_watch, exchange);
    g_ptr_array_add(kv->watching, exchange);
}

struct listing {
    JsonBuilder *out;
    const char *prefix;
};

/* Adds a value to the listing if its key has the prefix. */
static gboolean
list_value(gpointer key, gpointer data, gpointer user)
{
    const struct value *value = data;
    const struct listing *listing = user;
    if (!g_str_has_prefix(key, listing->prefix)) {
        return FALSE;
    }
    gsize length;
    const guchar *bytes = g_bytes_get_data(value->bytes, &length);
    char *text = g_base64_encode(bytes, length);
    json_builder_begin_object(listing->out);
    json_text(listing->out, "key", key);
    json_text(listing->out, "value", text);
    json_number(listing->out, "revision", (int64_t)value->revision);
    json_builder_end_object(listing->out);
    g_free(text);
    return FALSE;
}

/* Handles GET /v1/list. */
static void
handle_list(struct exchange *exchange)
{
    struct kv *kv = exchange->standin->mode_data;
    const char *prefix = exchange_query(exchange, "prefix");
    struct listing listing = {json_builder_new(), prefix ? prefix : ""};
    json_builder_begin_object(listing.out);
    json_builder_set_member_name(listing.out, "entries");
    json_builder_begin_array(listing.out);
    g_tree_foreach(kv->values, list_value, &listing);
    json_builder_end_array(listing.out);
    json_builder_end_object(listing.out);
    exchange_reply_json(exchange, 200, listing.out);
}

/* Dispatches a request by method and path. */
static void
kv_handle(struct exchange *exchange)
{
    static const char kv_path[] = "/v1/kv/";
    static const char watch_path[] = "/v1/watch/";
    struct kv *kv = exchange->standin->mode_data;
    const char *key = exchange->path + strlen(kv_path);
    if (strcmp(exchange->path, "/v1/list") == 0) {
        kv->calls[CALL_LIST]++;
        handle_list(exchange);
    }
    else if (g_str_has_prefix(exchange->path, watch_path)) {
        kv->calls[CALL_WATCH]++;
        begin_watch(exchange, exchange->path + strlen(watch_path));
    }
    else if (!g_str_has_prefix(exchange->path, kv_path)) {
        exchange_reply_text(exchange, 404, "");
    }
    else if (strcmp(exchange->method, "PUT") == 0) {
        kv->calls[CALL_PUT]++;
        handle_put(exchange, key);
    }
    else if (strcmp(exchange->method, "DELETE") == 0) {
        kv->calls[CALL_DELETE]++;
        handle_delete(exchange, key);
    }
    else {
        kv->calls[CALL_GET]++;
        respond_with_value(exchange, g_tree_lookup(kv->values, key));
    }
}

/* Writes the counts of requests, keys and watches, and the largest value in
 * bytes. */
static void
kv_record(struct standin *standin, JsonBuilder *out)
{
    struct kv *kv = standin->mode_data;
    for (size_t i = 0; i < CALL_KINDS; i++) {
        json_number(out, call_names[i], kv->calls[i]);
    }
    json_number(out, "keys", g_tree_nnodes(kv->values));
    json_number(out, "largest", kv->largest);
    json_number(out, "watching", kv->watching->len);
    json_number(out, "revision", (int64_t)kv->revision);
}

const struct mode mode_kv = {"kv", kv_start, kv_handle, kv_record, NULL};
