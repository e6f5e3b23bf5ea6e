/* The platform's metadata store. */

#include "world.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct item {
    char *value; /* base64 */
    uint64_t revision;
    uint64_t created;
    uint64_t lease;
};

struct event {
    uint64_t revision;
    char *key;
    char *json;  /* of the event, with the value left out */
    char *value; /* base64; NULL: removed */
};

struct lease {
    int64_t ttl_ms;
    double ends_at;
};

struct service {
    int fd;
    GHashTable *aliases;
};

static GTree *items; /* key to struct item */
static GPtrArray *events;
static GHashTable *leases; /* uint64_t * to struct lease */
static uint64_t revision = 100;
static uint64_t last_lease = 70000;
static uint64_t era; /* 0: not stated */
static bool is_away;
static GTree *copy;
static uint64_t copy_revision;
static uint64_t copy_last_lease;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static gint
compare(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static void
init(void)
{
    if (items == NULL) {
        items = g_tree_new_full(compare, NULL, g_free, NULL);
        events = g_ptr_array_new();
        leases = g_hash_table_new(g_int64_hash, g_int64_equal);
    }
}

static void
add_event(const char *key, const char *value)
{
    struct event *event = g_new0(struct event, 1);
    event->revision = revision;
    event->key = g_strdup(key);
    event->value = g_strdup(value);
    g_ptr_array_add(events, event);
    pthread_cond_broadcast(&changed);
}

static void
put_base64(const char *key, const char *value, uint64_t lease)
{
    const struct item *old = g_tree_lookup(items, key);
    struct item *item = g_new0(struct item, 1);
    revision++;
    *item = (struct item){g_strdup(value), revision,
                          old == NULL ? revision : old->created, lease};
    g_tree_replace(items, g_strdup(key), item);
    add_event(key, value);
}

void
store_put(const char *key, const char *value, uint64_t lease)
{
    g_autofree char *text =
        g_base64_encode((const guchar *)value, strlen(value));
    init();
    put_base64(key, text, lease);
}

void
store_remove(const char *key)
{
    init();
    if (g_tree_lookup(items, key) != NULL) {
        revision++;
        add_event(key, NULL);
        g_tree_remove(items, key);
    }
}

char *
store_get(const char *key)
{
    init();
    const struct item *item = g_tree_lookup(items, key);
    gsize length = 0;
    if (item == NULL) {
        return NULL;
    }
    g_autofree guchar *bytes = g_base64_decode(item->value, &length);
    return g_strndup((const char *)bytes, length);
}

/* ---- copies ---- */

static gboolean
copy_item(gpointer key, gpointer value, gpointer data)
{
    const struct item *from = value;
    struct item *to = g_new0(struct item, 1);
    *to = *from;
    to->value = g_strdup(from->value);
    g_tree_replace(data, g_strdup(key), to);
    return FALSE;
}

static GTree *
copy_items(GTree *from)
{
    GTree *to = g_tree_new_full(compare, NULL, g_free, NULL);
    g_tree_foreach(from, copy_item, to);
    return to;
}

void
store_save_copy(void)
{
    init();
    copy = copy_items(items);
    copy_revision = revision;
    copy_last_lease = last_lease;
    era = 1;
}

void
store_set_away(bool away)
{
    is_away = away;
}

/* The copy is from before any lease was granted, so that all are gone. */
void
store_restore_copy(void)
{
    items = copy_items(copy);
    revision = copy_revision;
    last_lease = copy_last_lease;
    g_ptr_array_set_size(events, 0);
    g_hash_table_remove_all(leases);
    era++;
    is_away = false;
}

/* ---- leases ---- */

struct search {
    uint64_t lease;
    GPtrArray *keys;
};

static gboolean
collect(gpointer key, gpointer value, gpointer data)
{
    struct search *search = data;
    if (((struct item *)value)->lease == search->lease) {
        g_ptr_array_add(search->keys, g_strdup(key));
    }
    return FALSE;
}

static void
end_lease(uint64_t id)
{
    struct search search = {id, g_ptr_array_new_with_free_func(g_free)};
    g_tree_foreach(items, collect, &search);
    for (guint i = 0; i < search.keys->len; i++) {
        store_remove(g_ptr_array_index(search.keys, i));
    }
    g_ptr_array_free(search.keys, TRUE);
    g_hash_table_remove(leases, &id);
}

static void
end_expired(void)
{
    GHashTableIter iterator;
    gpointer id = NULL;
    gpointer lease = NULL;
    bool again = true;
    while (again) {
        again = false;
        g_hash_table_iter_init(&iterator, leases);
        while (!again && g_hash_table_iter_next(&iterator, &id, &lease)) {
            if (((struct lease *)lease)->ends_at < world_now()) {
                end_lease(*(uint64_t *)id);
                again = true;
            }
        }
    }
}

/* ---- values as one machine sees them ---- */

/* The value of an entry, with the addresses of the machine's paths. */
static char *
translate(const struct service *service, const char *key, const char *value)
{
    gsize length = 0;
    if (!g_str_has_prefix(key, "servers/") && !g_str_has_prefix(key, "nodes/")) {
        return g_strdup(value);
    }
    guchar *bytes = g_base64_decode(value, &length);
    char *text = g_strndup((const char *)bytes, length);
    GHashTableIter iterator;
    gpointer from = NULL;
    gpointer to = NULL;
    g_free(bytes);
    g_hash_table_iter_init(&iterator, service->aliases);
    while (g_hash_table_iter_next(&iterator, &from, &to)) {
        g_autofree char *quoted = g_strdup_printf("\"%s\"", (char *)from);
        g_autofree char *other = g_strdup_printf("\"%s\"", (char *)to);
        char **parts = g_strsplit(text, quoted, -1);
        g_free(text);
        text = g_strjoinv(other, parts);
        g_strfreev(parts);
    }
    char *result = g_base64_encode((const guchar *)text, strlen(text));
    g_free(text);
    return result;
}

static void
append_item(const struct service *service, GString *out, const char *key,
            const struct item *item)
{
    g_autofree char *value = translate(service, key, item->value);
    g_string_append_printf(
        out,
        "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
        ",\"created\":%" G_GUINT64_FORMAT ",\"lease\":%" G_GUINT64_FORMAT "}",
        key, value, item->revision, item->created, item->lease);
}

/* ---- calls; lock held ---- */

/* A member of the query, unescaped; NULL: there is none. */
static char *
query(const char *path, const char *name)
{
    const char *at = strchr(path, '?');
    char *found = NULL;
    char **parts = g_strsplit(at == NULL ? "" : at + 1, "&", -1);
    size_t length = strlen(name);
    for (size_t i = 0; parts[i] != NULL; i++) {
        if (strncmp(parts[i], name, length) == 0 && parts[i][length] == '=') {
            g_free(found);
            found = g_uri_unescape_string(parts[i] + length + 1, NULL);
        }
    }
    g_strfreev(parts);
    return found;
}

static int
get_key(const struct service *service, const char *path, GString *out)
{
    g_autofree char *key = query(path, "key");
    const struct item *item = key == NULL ? NULL : g_tree_lookup(items, key);
    if (item == NULL) {
        g_string_append(out, "{}");
        return 404;
    }
    append_item(service, out, key, item);
    g_string_truncate(out, out->len - 1);
    g_string_append_printf(out, ",\"at\":%" G_GUINT64_FORMAT "}", revision);
    return 200;
}

struct range {
    const struct service *service;
    const char *prefix;
    const char *after;
    GString *out;
    unsigned count;
    bool more;
};

static gboolean
add_to_range(gpointer key, gpointer value, gpointer data)
{
    struct range *range = data;
    if (!g_str_has_prefix(key, range->prefix) ||
        strcmp(key, range->after) <= 0) {
        return FALSE;
    }
    if (range->count == 400) {
        range->more = true;
        return TRUE;
    }
    g_string_append(range->out, range->count++ > 0 ? "," : "");
    append_item(range->service, range->out, key, value);
    return FALSE;
}

static int
get_range(const struct service *service, const char *path, GString *out)
{
    g_autofree char *prefix = query(path, "path_prefix");
    g_autofree char *after = query(path, "after");
    struct range range = {service, prefix == NULL ? "" : prefix,
                          after == NULL ? "" : after, out, 0, false};
    g_string_append(out, "{\"items\":[");
    g_tree_foreach(items, add_to_range, &range);
    g_string_append_printf(out, "],\"has_more\":%s,\"at\":%" G_GUINT64_FORMAT "}",
                           range.more ? "true" : "false", revision);
    return 200;
}

static int
watch(const struct service *service, const char *path, GString *out)
{
    g_autofree char *prefix = query(path, "path_prefix");
    g_autofree char *after = query(path, "after");
    g_autofree char *wait = query(path, "wait_ms");
    uint64_t from = after == NULL ? 0 : g_ascii_strtoull(after, NULL, 10);
    double until = world_now() +
                   (wait == NULL ? 0 : g_ascii_strtod(wait, NULL)) / 1000;
    unsigned count = 0;
    uint64_t begun_in = era;
    for (;;) {
        if (from > revision || era != begun_in || is_away) {
            g_string_assign(out, "{}");
            return 410;
        }
        g_string_assign(out, "{\"events\":[");
        for (guint i = 0; i < events->len; i++) {
            const struct event *event = g_ptr_array_index(events, i);
            if (event->revision <= from ||
                !g_str_has_prefix(event->key, prefix)) {
                continue;
            }
            g_string_append(out, count++ > 0 ? "," : "");
            if (event->value == NULL) {
                g_string_append_printf(
                    out,
                    "{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                    ",\"deleted\":true}",
                    event->key, event->revision);
                continue;
            }
            const struct item item = {event->value, event->revision,
                                      event->revision, 0};
            append_item(service, out, event->key, &item);
        }
        if (count > 0 || world_now() >= until) {
            break;
        }
        struct timespec at;
        clock_gettime(CLOCK_REALTIME, &at);
        at.tv_nsec += 50 * 1000 * 1000;
        at.tv_sec += at.tv_nsec / 1000000000;
        at.tv_nsec %= 1000000000;
        pthread_cond_timedwait(&changed, &world_lock, &at);
        end_expired();
    }
    g_string_append_printf(out, "],\"at\":%" G_GUINT64_FORMAT "}", revision);
    return 200;
}

static JsonArray *
get_array(JsonObject *object, const char *name)
{
    return json_object_has_member(object, name)
               ? json_object_get_array_member(object, name)
               : NULL;
}

static int
transact(JsonObject *root, GString *out)
{
    JsonArray *conditions = get_array(root, "precondition");
    JsonArray *puts = get_array(root, "puts");
    JsonArray *removals = get_array(root, "remove");
    bool holds = true;
    for (guint i = 0; puts != NULL && i < json_array_get_length(puts); i++) {
        JsonObject *row = json_array_get_object_element(puts, i);
        uint64_t lease = (uint64_t)json_object_get_int_member_with_default(
            row, "lease", 0);
        if (lease != 0 && g_hash_table_lookup(leases, &lease) == NULL) {
            g_string_append(out, "{}");
            return 404;
        }
    }
    g_string_append(out, "{\"items\":[");
    unsigned count = 0;
    for (guint i = 0;
         conditions != NULL && i < json_array_get_length(conditions); i++) {
        JsonObject *row = json_array_get_object_element(conditions, i);
        const char *key = json_object_get_string_member(row, "key");
        const struct item *item = g_tree_lookup(items, key);
        uint64_t expected =
            (uint64_t)json_object_get_int_member(row, "revision");
        holds = holds && expected == (item == NULL ? 0 : item->revision);
        if (item != NULL) {
            const struct service none = {0, g_hash_table_new(NULL, NULL)};
            g_string_append(out, count++ > 0 ? "," : "");
            append_item(&none, out, key, item);
            g_hash_table_destroy(none.aliases);
        }
    }
    g_string_append(out, "]}");
    if (!holds) {
        return 412;
    }
    for (guint i = 0; puts != NULL && i < json_array_get_length(puts); i++) {
        JsonObject *row = json_array_get_object_element(puts, i);
        put_base64(json_object_get_string_member(row, "key"),
                   json_object_get_string_member(row, "value"),
                   (uint64_t)json_object_get_int_member_with_default(
                       row, "lease", 0));
    }
    for (guint i = 0; removals != NULL && i < json_array_get_length(removals);
         i++) {
        store_remove(json_array_get_string_element(removals, i));
    }
    g_string_printf(out, "{\"revision\":%" G_GUINT64_FORMAT "}", revision);
    return 200;
}

static int
create_lease(JsonObject *root, GString *out)
{
    struct lease *lease = g_new0(struct lease, 1);
    uint64_t *id = g_new(uint64_t, 1);
    lease->ttl_ms = json_object_get_int_member(root, "ttl_ms");
    lease->ends_at = world_now() + (double)lease->ttl_ms / 1000;
    *id = ++last_lease;
    g_hash_table_insert(leases, id, lease);
    g_string_printf(out,
                    "{\"lease\":%" G_GUINT64_FORMAT
                    ",\"ttl_ms\":%" G_GINT64_FORMAT "}",
                    *id, lease->ttl_ms);
    return 200;
}

static int
change_lease(const char *path, bool renews, GString *out)
{
    uint64_t id = g_ascii_strtoull(strrchr(path, '/') + 1, NULL, 10);
    struct lease *lease = g_hash_table_lookup(leases, &id);
    g_string_assign(out, "{}");
    if (lease == NULL) {
        return 404;
    }
    g_string_printf(out, "{\"ttl_ms\":%" G_GINT64_FORMAT "}", lease->ttl_ms);
    if (renews) {
        lease->ends_at = world_now() + (double)lease->ttl_ms / 1000;
    }
    else {
        end_lease(id);
    }
    return 200;
}

static int
handle(const struct service *service, const struct http_message *call,
       GString *out)
{
    const char *path = call->path;
    end_expired();
    if (g_str_has_prefix(path, "/api/kv-key?")) {
        return get_key(service, path, out);
    }
    if (g_str_has_prefix(path, "/api/kv-range?")) {
        return get_range(service, path, out);
    }
    if (g_str_has_prefix(path, "/api/kv-watch?")) {
        return watch(service, path, out);
    }
    if (g_str_has_prefix(path, "/api/kv-keep/")) {
        return change_lease(path, true, out);
    }
    if (g_str_has_prefix(path, "/api/kv-lease-end/")) {
        return change_lease(path, false, out);
    }
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!json_parser_load_from_data(parser, call->body->str,
                                    (gssize)call->body->len, NULL)) {
        return 400;
    }
    JsonObject *root = json_node_get_object(json_parser_get_root(parser));
    if (strcmp(path, "/api/kv-txn") == 0) {
        return transact(root, out);
    }
    return strcmp(path, "/api/kv-lease") == 0 ? create_lease(root, out) : 404;
}

struct caller {
    const struct service *service;
    int fd;
};

static void *
serve_caller(void *data)
{
    struct caller caller = *(struct caller *)data;
    struct http_connection connection = {.fd = caller.fd};
    struct http_message *call = NULL;
    bool good = true;
    g_free(data);
    while (good && (call = http_read(&connection, false)) != NULL) {
        GString *out = g_string_new(NULL);
        g_usleep(4000);
        pthread_mutex_lock(&world_lock);
        int status = is_away ? 0 : handle(caller.service, call, out);
        bool was_away = is_away;
        g_autofree char *headers = g_strdup_printf(
            "Content-Type: application/json\r\n%s%" G_GUINT64_FORMAT "\r\n",
            era == 0 ? "X-None: " : "Store-Era: ", era);
        pthread_mutex_unlock(&world_lock);
        good = !was_away && http_reply(caller.fd, status, headers, out->str,
                                       out->len);
        g_string_free(out, TRUE);
        http_free(call);
    }
    close(caller.fd);
    return NULL;
}

static void *
run(void *data)
{
    const struct service *service = data;
    for (;;) {
        int fd = accept(service->fd, NULL, NULL);
        if (fd >= 0) {
            struct caller *caller = g_new(struct caller, 1);
            *caller = (struct caller){service, fd};
            world_start_thread(serve_caller, caller);
        }
    }
    return NULL;
}

int
store_serve(GHashTable *aliases)
{
    struct service *service = g_new0(struct service, 1);
    int port = 0;
    init();
    service->aliases = aliases;
    service->fd = world_listen("127.0.0.1", &port);
    world_start_thread(run, service);
    return port;
}
