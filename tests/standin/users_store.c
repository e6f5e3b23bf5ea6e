/* The metadata store of the users' platform. */

#include "users.h"

#include <string.h>

enum {
    MAX_EVENTS = 20000,
    MAX_WAIT_MS = 30 * 1000,
};

struct users_event {
    char *key;
    GString *value; /* NULL: removed */
    uint64_t revision;
    uint64_t lease;
};

struct users_lease {
    struct users *users;
    uint64_t id;
    int64_t ttl_ms;
    struct timer *timer;
};

struct watch {
    struct users *users;
    char *prefix;
    uint64_t after;
};

/* What a copy of the store holds. */
struct users_copy {
    GTree *items;
    uint64_t revision;
    uint64_t last_lease;
    GArray *leases; /* uint64_t */
};

/* ---- items ---- */

static void
item_free(gpointer data)
{
    struct users_item *item = data;
    g_string_free(item->value, TRUE);
    g_free(item);
}

static void
clear_event(gpointer data)
{
    struct users_event *event = data;
    g_free(event->key);
    if (event->value != NULL) {
        g_string_free(event->value, TRUE);
    }
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

/* A value as nodes get it; see struct users. Addresses are not replaced in one
 * that is no text. */
static char *
encode_value(const struct users *users, const GString *value)
{
    g_autofree char *text = g_strndup(value->str, value->len);
    GHashTableIter iterator;
    gpointer from = NULL;
    gpointer to = NULL;
    if (strlen(text) < value->len) {
        return g_base64_encode((const guchar *)value->str, value->len);
    }
    g_hash_table_iter_init(&iterator, users->aliases);
    while (g_hash_table_iter_next(&iterator, &from, &to)) {
        char **parts = g_strsplit(text, from, -1);
        g_free(text);
        text = g_strjoinv(to, parts);
        g_strfreev(parts);
    }
    return g_base64_encode((const guchar *)text, strlen(text));
}

static void
write_item(const struct users *users, JsonBuilder *out, const char *key,
           const GString *value, uint64_t revision, uint64_t lease)
{
    json_builder_begin_object(out);
    json_text(out, "key", key);
    json_number(out, "revision", (int64_t)revision);
    if (value == NULL) {
        json_builder_set_member_name(out, "deleted");
        json_builder_add_boolean_value(out, TRUE);
    }
    else {
        g_autofree char *text = encode_value(users, value);
        json_text(out, "value", text);
        json_number(out, "created", (int64_t)revision);
        json_number(out, "lease", (int64_t)lease);
    }
    json_builder_end_object(out);
}

/* ---- watches ---- */

static void add_era(struct exchange *exchange);

static bool
has_event(const struct users *users, const struct watch *watch)
{
    for (guint i = users->events->len; i > 0; i--) {
        const struct users_event *event =
            &g_array_index(users->events, struct users_event, i - 1);
        if (event->revision <= watch->after) {
            return false;
        }
        if (g_str_has_prefix(event->key, watch->prefix)) {
            return true;
        }
    }
    return false;
}

/* Sets the response of a watch: the events so far, which may be none. */
static void
reply_watch(struct exchange *exchange)
{
    const struct watch *watch = exchange->mode_data;
    const struct users *users = watch->users;
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_builder_set_member_name(out, "events");
    json_builder_begin_array(out);
    for (guint i = 0; i < users->events->len; i++) {
        const struct users_event *event =
            &g_array_index(users->events, struct users_event, i);
        if (event->revision > watch->after &&
            g_str_has_prefix(event->key, watch->prefix)) {
            write_item(users, out, event->key, event->value, event->revision,
                       event->lease);
        }
    }
    json_builder_end_array(out);
    json_number(out, "at", (int64_t)users->revision);
    json_builder_end_object(out);
    exchange_reply_json(exchange, 200, out);
}

static void
end_watch(struct exchange *exchange, bool whole)
{
    struct watch *watch = exchange->mode_data;
    (void)whole;
    (void)g_ptr_array_remove_fast(watch->users->watches, exchange);
    g_free(watch->prefix);
    g_free(watch);
}

static void
answer_watch(void *data)
{
    struct exchange *exchange = data;
    struct watch *watch = exchange->mode_data;
    exchange->timer = NULL;
    if (g_ptr_array_remove_fast(watch->users->watches, exchange)) {
        reply_watch(exchange);
        add_era(exchange);
        exchange_resume(exchange);
    }
}

static void
wake_watches(struct users *users)
{
    for (guint i = users->watches->len; i > 0; i--) {
        struct exchange *exchange = g_ptr_array_index(users->watches, i - 1);
        if (has_event(users, exchange->mode_data)) {
            timer_cancel(users->standin, exchange->timer);
            answer_watch(exchange);
        }
    }
}

static uint64_t
query_number(const struct exchange *exchange, const char *name)
{
    const char *text = exchange_query(exchange, name);
    return text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10);
}

static void
reply_history_gone(struct exchange *exchange)
{
    exchange_reply_text(exchange, 410, "no such history\n");
}

static void
handle_watch(struct users *users, struct exchange *exchange)
{
    if (query_number(exchange, "after") > users->revision) {
        reply_history_gone(exchange);
        return;
    }
    struct watch *watch = g_new0(struct watch, 1);
    const char *prefix = exchange_query(exchange, "path_prefix");
    uint64_t wait_ms = MIN(query_number(exchange, "wait_ms"), MAX_WAIT_MS);
    watch->users = users;
    watch->prefix = g_strdup(prefix == NULL ? "" : prefix);
    watch->after = query_number(exchange, "after");
    exchange->mode_data = watch;
    exchange->on_end = end_watch;
    if (has_event(users, watch)) {
        reply_watch(exchange);
        return;
    }
    g_ptr_array_add(users->watches, exchange);
    exchange->timer = timer_add(users->standin, (int64_t)wait_ms * 1000,
                                answer_watch, exchange);
}

/* ---- writes ---- */

static struct users_item *
item_new(const char *value, size_t length, uint64_t revision, uint64_t lease)
{
    struct users_item *item = g_new0(struct users_item, 1);
    item->value = g_string_new_len(value, (gssize)length);
    item->revision = revision;
    item->lease = lease;
    return item;
}

/* See users.h. */
void
users_put(struct users *users, const char *key, const char *value,
          size_t length, uint64_t lease)
{
    const struct users_event event = {
        .key = g_strdup(key),
        .value =
            value == NULL ? NULL : g_string_new_len(value, (gssize)length),
        .revision = ++users->revision,
        .lease = lease,
    };
    g_array_append_val(users->events, event);
    if (value == NULL) {
        (void)g_tree_remove(users->items, key);
    }
    else {
        g_tree_replace(users->items, g_strdup(key),
                       item_new(value, length, users->revision, lease));
    }
    if (users->events->len > MAX_EVENTS) {
        g_array_remove_range(users->events, 0, MAX_EVENTS / 2);
    }
    wake_watches(users);
}

static JsonObject *
element(JsonArray *array, guint i)
{
    return json_array_get_object_element(array, i);
}

static JsonArray *
member_array(JsonObject *root, const char *name)
{
    return json_object_has_member(root, name)
               ? json_object_get_array_member(root, name)
               : NULL;
}

/* Whether every precondition holds; else sets the response 412. */
static bool
check_preconditions(struct users *users, struct exchange *exchange,
                    JsonArray *rows)
{
    bool holds = true;
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_builder_set_member_name(out, "items");
    json_builder_begin_array(out);
    for (guint i = 0; rows != NULL && i < json_array_get_length(rows); i++) {
        JsonObject *row = element(rows, i);
        const char *key = json_object_get_string_member(row, "key");
        const struct users_item *item = g_tree_lookup(users->items, key);
        uint64_t revision = item == NULL ? 0 : item->revision;
        holds = holds && (uint64_t)json_object_get_int_member(
                             row, "revision") == revision;
        if (item != NULL) {
            write_item(users, out, key, item->value, revision, item->lease);
        }
    }
    json_builder_end_array(out);
    json_builder_end_object(out);
    if (holds) {
        g_object_unref(out);
        return true;
    }
    exchange_reply_json(exchange, 412, out);
    return false;
}

static bool
check_leases(const struct users *users, JsonArray *puts)
{
    for (guint i = 0; puts != NULL && i < json_array_get_length(puts); i++) {
        int64_t lease = json_object_get_int_member_with_default(
            element(puts, i), "lease", 0);
        if (lease != 0 && g_hash_table_lookup(users->leases, &lease) == NULL) {
            return false;
        }
    }
    return true;
}

static void
apply_writes(struct users *users, JsonObject *root)
{
    JsonArray *puts = member_array(root, "puts");
    JsonArray *removals = member_array(root, "remove");
    for (guint i = 0; puts != NULL && i < json_array_get_length(puts); i++) {
        JsonObject *row = element(puts, i);
        gsize length = 0;
        g_autofree guchar *value = g_base64_decode(
            json_object_get_string_member(row, "value"), &length);
        users_put(users, json_object_get_string_member(row, "key"),
                  (const char *)value, length,
                  (uint64_t)json_object_get_int_member_with_default(
                      row, "lease", 0));
    }
    for (guint i = 0; removals != NULL && i < json_array_get_length(removals);
         i++) {
        users_put(users, json_array_get_string_element(removals, i), NULL, 0,
                  0);
    }
}

static void
reply_number(struct exchange *exchange, const char *name, int64_t value)
{
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_number(out, name, value);
    json_builder_end_object(out);
    exchange_reply_json(exchange, 200, out);
}

static void
handle_transaction(struct users *users, struct exchange *exchange,
                   JsonObject *root)
{
    if (!check_leases(users, member_array(root, "puts"))) {
        exchange_reply_text(exchange, 404, "no such lease\n");
        return;
    }
    if (!check_preconditions(users, exchange,
                             member_array(root, "precondition"))) {
        return;
    }
    apply_writes(users, root);
    reply_number(exchange, "revision", (int64_t)users->revision);
}

/* ---- leases ---- */

struct leased_keys {
    uint64_t lease;
    GPtrArray *keys;
};

static gboolean
collect_leased(gpointer key, gpointer value, gpointer data)
{
    const struct users_item *item = value;
    struct leased_keys *leased = data;
    if (item->lease == leased->lease) {
        g_ptr_array_add(leased->keys, g_strdup(key));
    }
    return FALSE;
}

/* Removes a lease and its keys. */
static void
end_lease(struct users *users, struct users_lease *lease)
{
    struct leased_keys leased = {lease->id,
                                 g_ptr_array_new_with_free_func(g_free)};
    g_tree_foreach(users->items, collect_leased, &leased);
    g_hash_table_remove(users->leases, &lease->id);
    g_free(lease);
    for (guint i = 0; i < leased.keys->len; i++) {
        users_put(users, g_ptr_array_index(leased.keys, i), NULL, 0, 0);
    }
    g_ptr_array_free(leased.keys, TRUE);
}

static void
expire_lease(void *data)
{
    struct users_lease *lease = data;
    lease->timer = NULL;
    end_lease(lease->users, lease);
}

static void
create_lease(struct users *users, struct exchange *exchange, JsonObject *root)
{
    struct users_lease *lease = g_new0(struct users_lease, 1);
    lease->users = users;
    lease->id = ++users->last_lease;
    lease->ttl_ms = json_object_get_int_member(root, "ttl_ms");
    lease->timer =
        timer_add(users->standin, lease->ttl_ms * 1000, expire_lease, lease);
    g_hash_table_insert(users->leases, &lease->id, lease);
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_number(out, "lease", (int64_t)lease->id);
    json_number(out, "ttl_ms", lease->ttl_ms);
    json_builder_end_object(out);
    exchange_reply_json(exchange, 200, out);
}

/* Renews or ends the lease that the path names. */
static void
change_lease(struct users *users, struct exchange *exchange, bool renew)
{
    uint64_t id = g_ascii_strtoull(strrchr(exchange->path, '/') + 1, NULL, 10);
    struct users_lease *lease = g_hash_table_lookup(users->leases, &id);
    if (lease == NULL) {
        exchange_reply_text(exchange, 404, "no such lease\n");
        return;
    }
    timer_cancel(users->standin, lease->timer);
    if (renew) {
        lease->timer = timer_add(users->standin, lease->ttl_ms * 1000,
                                 expire_lease, lease);
    }
    else {
        end_lease(users, lease);
    }
    reply_number(exchange, "lease", (int64_t)id);
}

/* ---- reads ---- */

static void
handle_key(struct users *users, struct exchange *exchange)
{
    const char *key = exchange_query(exchange, "key");
    const struct users_item *item =
        key == NULL ? NULL : g_tree_lookup(users->items, key);
    if (item == NULL) {
        exchange_reply_text(exchange, 404, "no such key\n");
        return;
    }
    g_autofree char *text = encode_value(users, item->value);
    JsonBuilder *out = json_builder_new();
    json_builder_begin_object(out);
    json_text(out, "key", key);
    json_text(out, "value", text);
    json_number(out, "revision", (int64_t)item->revision);
    json_number(out, "created", (int64_t)item->revision);
    json_number(out, "lease", (int64_t)item->lease);
    json_number(out, "at", (int64_t)users->revision);
    json_builder_end_object(out);
    exchange_reply_json(exchange, 200, out);
}

struct range {
    const struct users *users;
    const char *prefix;
    JsonBuilder *out;
};

static gboolean
write_range_item(gpointer key, gpointer value, gpointer data)
{
    const struct range *range = data;
    const struct users_item *item = value;
    if (g_str_has_prefix(key, range->prefix)) {
        write_item(range->users, range->out, key, item->value, item->revision,
                   item->lease);
    }
    return FALSE;
}

/* All items at once: there are less than a page's. */
static void
handle_range(struct users *users, struct exchange *exchange)
{
    const char *prefix = exchange_query(exchange, "path_prefix");
    struct range range = {users, prefix == NULL ? "" : prefix,
                          json_builder_new()};
    json_builder_begin_object(range.out);
    json_builder_set_member_name(range.out, "items");
    json_builder_begin_array(range.out);
    g_tree_foreach(users->items, write_range_item, &range);
    json_builder_end_array(range.out);
    json_builder_set_member_name(range.out, "has_more");
    json_builder_add_boolean_value(range.out, FALSE);
    json_number(range.out, "at", (int64_t)users->revision);
    json_builder_end_object(range.out);
    exchange_reply_json(exchange, 200, range.out);
}

/* ---- calls ---- */

static void
handle_write(struct users *users, struct exchange *exchange)
{
    JsonParser *parser = json_parser_new();
    bool valid =
        json_parser_load_from_data(parser, exchange->body->str,
                                   (gssize)exchange->body->len, NULL) &&
        JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser));
    if (!valid) {
        exchange_reply_text(exchange, 400, "not a JSON object\n");
    }
    else {
        JsonObject *root = json_node_get_object(json_parser_get_root(parser));
        if (strcmp(exchange->path, "/api/kv-txn") == 0) {
            handle_transaction(users, exchange, root);
        }
        else {
            create_lease(users, exchange, root);
        }
    }
    g_object_unref(parser);
}

/* ---- copies ---- */

static gboolean
copy_item(gpointer key, gpointer value, gpointer data)
{
    const struct users_item *item = value;
    g_tree_replace(data, g_strdup(key),
                   item_new(item->value->str, item->value->len, item->revision,
                            item->lease));
    return FALSE;
}

static GTree *
copy_items(GTree *items)
{
    GTree *copy = g_tree_new_full(compare_keys, NULL, g_free, item_free);
    g_tree_foreach(items, copy_item, copy);
    return copy;
}

static void
save_copy(struct users *users)
{
    struct users_copy *copy = g_new0(struct users_copy, 1);
    GHashTableIter iterator;
    gpointer id = NULL;
    copy->items = copy_items(users->items);
    copy->revision = users->revision;
    copy->last_lease = users->last_lease;
    copy->leases = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_iter_init(&iterator, users->leases);
    while (g_hash_table_iter_next(&iterator, &id, NULL)) {
        g_array_append_vals(copy->leases, id, 1);
    }
    users->copy = copy;
}

static bool
is_in_copy(const struct users_copy *copy, uint64_t lease)
{
    bool found = false;
    for (guint i = 0; i < copy->leases->len; i++) {
        found |= g_array_index(copy->leases, uint64_t, i) == lease;
    }
    return found;
}

/* Ends the leases that the copy does not have, or all. */
static void
drop_leases(struct users *users, bool keep)
{
    GList *leases = g_hash_table_get_values(users->leases);
    for (GList *at = leases; at != NULL; at = at->next) {
        struct users_lease *lease = at->data;
        if (!keep || !is_in_copy(users->copy, lease->id)) {
            timer_cancel(users->standin, lease->timer);
            end_lease(users, lease);
        }
    }
    g_list_free(leases);
}

/* Answers the watches that wait with 410. */
static void
cut_watches(struct users *users)
{
    while (users->watches->len > 0) {
        struct exchange *exchange = g_ptr_array_index(users->watches, 0);
        (void)g_ptr_array_remove_index_fast(users->watches, 0);
        timer_cancel(users->standin, exchange->timer);
        exchange->timer = NULL;
        reply_history_gone(exchange);
        add_era(exchange);
        exchange_resume(exchange);
    }
}

static gboolean
collect_leased_without_lease(gpointer key, gpointer value, gpointer data)
{
    const struct users_item *item = value;
    const struct users *users = ((void **)data)[0];
    GPtrArray *keys = ((void **)data)[1];
    if (item->lease != 0 &&
        g_hash_table_lookup(users->leases, &item->lease) == NULL) {
        g_ptr_array_add(keys, g_strdup(key));
    }
    return FALSE;
}

/* Comes back from the saved copy, in the next era. */
static void
restore_copy(struct users *users, bool keep_leases)
{
    cut_watches(users);
    drop_leases(users, keep_leases);
    g_tree_destroy(users->items);
    users->items = copy_items(users->copy->items);
    users->revision = users->copy->revision;
    users->last_lease = users->copy->last_lease;
    guint kept = 0;
    while (kept < users->events->len &&
           g_array_index(users->events, struct users_event, kept).revision <=
               users->revision) {
        kept++;
    }
    g_array_set_size(users->events, kept);
    users->era++;
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    void *search[] = {users, keys};
    g_tree_foreach(users->items, collect_leased_without_lease, search);
    for (guint i = 0; i < keys->len; i++) {
        (void)g_tree_remove(users->items, g_ptr_array_index(keys, i));
    }
    g_ptr_array_free(keys, TRUE);
}

/* Handles /control/save-copy and /control/restore-copy, with leases=1 where
 * the leases of the copy go on. */
static bool
control_copy(struct users *users, const struct exchange *exchange)
{
    if (strcmp(exchange->path, "/control/save-copy") == 0) {
        save_copy(users);
        return true;
    }
    if (strcmp(exchange->path, "/control/restore-copy") == 0 &&
        users->copy != NULL) {
        restore_copy(users, exchange_query(exchange, "leases") != NULL);
        return true;
    }
    return false;
}

static void
add_era(struct exchange *exchange)
{
    const struct users *users = exchange->standin->mode_data;
    char text[24];
    (void)g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT, users->era);
    exchange_add_header(exchange, "Store-Era", text);
}

static void
handle_call(struct exchange *exchange)
{
    struct users *users = exchange->standin->mode_data;
    const char *path = exchange->path;
    if (strcmp(path, "/api/kv-key") == 0) {
        handle_key(users, exchange);
    }
    else if (strcmp(path, "/api/kv-range") == 0) {
        handle_range(users, exchange);
    }
    else if (strcmp(path, "/api/kv-watch") == 0) {
        handle_watch(users, exchange);
    }
    else if (strcmp(path, "/api/kv-txn") == 0 ||
             strcmp(path, "/api/kv-lease") == 0) {
        handle_write(users, exchange);
    }
    else if (g_str_has_prefix(path, "/api/kv-keep/")) {
        change_lease(users, exchange, true);
    }
    else if (g_str_has_prefix(path, "/api/kv-lease-end/")) {
        change_lease(users, exchange, false);
    }
    else {
        exchange_reply_text(exchange, 404, "unknown path\n");
    }
}

/* See users.h. */
void
users_handle_store(struct exchange *exchange)
{
    handle_call(exchange);
    if (exchange->response != NULL) {
        add_era(exchange);
    }
}

static void
users_handle(struct exchange *exchange)
{
    if (!users_handle_worker(exchange)) {
        users_handle_store(exchange);
    }
}

static void
users_start(struct standin *standin)
{
    struct users *users = g_new0(struct users, 1);
    users->standin = standin;
    users->items = g_tree_new_full(compare_keys, NULL, g_free, item_free);
    users->events = g_array_new(FALSE, FALSE, sizeof(struct users_event));
    g_array_set_clear_func(users->events, clear_event);
    users->leases = g_hash_table_new(g_int64_hash, g_int64_equal);
    users->watches = g_ptr_array_new();
    users->aliases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    standin->mode_data = users;
    users_init_workers(users);
}

/* Handles POST /control/put?key=KEY with a value, /control/alias?from=&to=,
 * copies, and the workers' own calls. */
static bool
users_control(struct exchange *exchange)
{
    struct users *users = exchange->standin->mode_data;
    if (strcmp(exchange->path, "/control/put") == 0) {
        users_put(users, exchange_query(exchange, "key"), exchange->body->str,
                  exchange->body->len, 0);
        return true;
    }
    if (strcmp(exchange->path, "/control/alias") == 0) {
        g_hash_table_replace(users->aliases,
                             g_strdup(exchange_query(exchange, "from")),
                             g_strdup(exchange_query(exchange, "to")));
        return true;
    }
    return control_copy(users, exchange) || users_control_worker(exchange);
}

static void
users_record(struct standin *standin, JsonBuilder *out)
{
    struct users *users = standin->mode_data;
    json_number(out, "revision", (int64_t)users->revision);
    users_record_workers(users, out);
}

const struct mode mode_users = {"users", users_start, users_handle,
                                users_record, users_control};
