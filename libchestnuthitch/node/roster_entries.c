/* What entries say, and what has changed of them. */

#include "base/json.h"
#include "node/roster_internal.h"

#include <string.h>

enum {
    MOST_CAPACITY = 1000 * 1000 * 1000,
};

/* ---- a feed ---- */

/* Frees an entry. */
static void
free_entry(void *data)
{
    struct entry *entry = data;
    ch_host_clear(&entry->host);
    g_free(entry->value);
    g_free(entry);
}

/* For g_array_set_clear_func. */
static void
clear_news(void *data)
{
    struct news *news = data;
    g_free(news->key);
}

/* Frees what a feed holds. */
void
feed_clear(struct feed *feed)
{
    g_hash_table_destroy(feed->entries);
    g_hash_table_destroy(feed->removed);
    g_array_free(feed->news, TRUE);
    g_free(feed->prefix);
}

/* An empty feed. */
void
feed_init(struct feed *feed, struct ch_roster *roster, const char *prefix,
          int64_t grace)
{
    feed->roster = roster;
    feed->prefix = g_strdup(prefix);
    feed->grace = grace;
    feed->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    feed->removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    feed->news = g_array_new(FALSE, FALSE, sizeof(struct news));
    g_array_set_clear_func(feed->news, clear_news);
}

/* ---- reading entries ---- */

/* Reads a node's entry. */
static bool
parse_node(const char *key, const char *value, size_t length,
           struct ch_host *host, struct ch_error *error)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_object(value, length, &parser);
    if (object == NULL) {
        ch_error_set(error, CH_BAD_JSON, "not one JSON object");
        return false;
    }
    const char *address = ch_json_text(object, "address");
    const char *data_centre = ch_json_text(object, "data_centre");
    const char *region = ch_json_text(object, "region");
    if (data_centre == NULL || region == NULL || address == NULL ||
        !ch_address_check(address, error)) {
        ch_error_set(error, CH_BAD_FIELD, "not a node's entry");
        return false;
    }
    *host = (struct ch_host){
        .name = g_strdup(key + strlen(NODES_PREFIX)),
        .kind = CH_HOST_ENTRY,
        .address = g_strdup(address),
        .data_centre = g_strdup(data_centre),
        .region = g_strdup(region),
        .capacity = (uint32_t)CLAMP(ch_json_integer(object, "capacity", 0), 0,
                                    MOST_CAPACITY),
    };
    return true;
}

/* Reads an entry of either kind; complains once of what is none.  Lock held.
 */
static bool
parse_entry(struct feed *feed, const struct ch_kv_entry *from,
            struct ch_host *host)
{
    struct ch_roster *roster = feed->roster;
    const struct ch_node *node = roster->node;
    struct ch_error error = {0};
    bool good = false;
    if (feed == &roster->nodes) {
        good = parse_node(from->key, from->value, from->length, host, &error);
    }
    else {
        good = node->dialect->host_parse(from->key, from->value, from->length,
                                         host, &error);
        if (good) {
            host->region =
                ch_settings_region(node->settings, host->data_centre);
        }
    }
    if (!good && g_hash_table_add(roster->strangers, g_strdup(from->key))) {
        ch_log(node->client, CH_LOG_WARNING, "entry-unreadable",
               CH_F_STR("key", from->key), CH_F_STR("message", error.message),
               CH_F_END);
    }
    return good;
}

/* ---- changes ---- */

/* Says what became of an upstream or a node.  Lock held. */
static void
log_entry(const struct feed *feed, const struct ch_host *host,
          const char *what, enum ch_level level)
{
    char *resident = host->resident == NULL
                         ? NULL
                         : g_strjoinv(" ", (char **)host->resident);
    char *copies =
        host->copies == NULL ? NULL : g_strjoinv(" ", (char **)host->copies);
    ch_log(feed->roster->node->client, level, "listed",
           CH_F_STR("host", host->name), CH_F_STR("state", what),
           CH_F_BOOL("leaving", host->leaving),
           CH_F_STR("data_centre", host->data_centre),
           CH_F_STR("service", host->service), CH_F_STR("resident", resident),
           CH_F_STR("copies", copies), CH_F_END);
    g_free(resident);
    g_free(copies);
}

/* Notes what is to be told, in place of what was of the same key.  Lock held.
 */
static void
add_news(struct feed *feed, const char *key, uint64_t removed, bool for_all)
{
    feed->changes++;
    for (guint i = 0; i < feed->news->len; i++) {
        struct news *news = &g_array_index(feed->news, struct news, i);
        if (strcmp(news->key, key) == 0) {
            news->removed = removed;
            news->for_all = news->for_all || for_all;
            return;
        }
    }
    const struct news news = {g_strdup(key), removed, for_all};
    g_array_append_val(feed->news, news);
}

/*
 * Whether a new word on a host changes who may be used, and how: for every
 * node.  Load: hundreds of engines whose entries change with each model and
 * adapter that they load.  Harm prevented: each of those changes sent to each
 * node by each that watches, which fills the link between regions and those
 * of the nodes that watch.  What engines hold, nodes hear from those that
 * order them.
 */
static bool
is_for_all(const struct ch_host *was, const struct ch_host *is)
{
    return g_strcmp0(was->address, is->address) != 0 ||
           g_strcmp0(was->data_centre, is->data_centre) != 0 ||
           g_strcmp0(was->service, is->service) != 0 ||
           was->kind != is->kind || was->leaving != is->leaving ||
           was->boot != is->boot || was->batch != is->batch ||
           was->memory_mb != is->memory_mb || was->capacity != is->capacity;
}

/* Notes the latest removal of a key.  Lock held. */
static void
note_removal(struct feed *feed, const char *key, uint64_t revision)
{
    uint64_t *copy = g_new(uint64_t, 1);
    *copy = revision;
    g_hash_table_replace(feed->removed, g_strdup(key), copy);
}

/* Whether something later is known of a key than this revision.  Lock held. */
static bool
is_stale(const struct feed *feed, const char *key, uint64_t revision)
{
    const struct entry *entry = g_hash_table_lookup(feed->entries, key);
    const uint64_t *removed = g_hash_table_lookup(feed->removed, key);
    return (entry != NULL && entry->revision >= revision) ||
           (removed != NULL && *removed >= revision);
}

/* See roster_internal.h.  One that can't be read names
 * nothing to use; what its key named before is left as it was, since a
 * stranger may have written over it.  Lock held. */
void
feed_put(struct feed *feed, const struct ch_kv_entry *from)
{
    struct ch_host host = {0};
    struct entry *known = g_hash_table_lookup(feed->entries, from->key);
    if (known != NULL && known->revision == from->revision) {
        known->gone_at = 0; /* it is there after all */
    }
    if (is_stale(feed, from->key, from->revision) ||
        !parse_entry(feed, from, &host)) {
        return;
    }
    bool for_all = known == NULL || is_for_all(&known->host, &host);
    log_entry(feed, &host, "there", for_all ? CH_LOG_INFO : CH_LOG_DEBUG);
    struct entry *entry = g_new0(struct entry, 1);
    entry->host = host;
    entry->host.read_at = ch_client_now(feed->roster->node->client);
    entry->revision = from->revision;
    entry->length = from->length;
    entry->value = g_memdup2(from->value, from->length);
    g_hash_table_replace(feed->entries, g_strdup(from->key), entry);
    add_news(feed, from->key, 0, for_all);
}

/* Takes an entry away for good.  Lock held. */
static void
drop_entry(struct feed *feed, const char *key, uint64_t revision)
{
    g_autofree char *copy = g_strdup(key); /* key may be the table's own */
    note_removal(feed, copy, revision);
    add_news(feed, copy, revision, true);
    g_hash_table_remove(feed->entries, copy);
}

/* Takes an entry that has gone.  After a failure of the service it may only
 * have lapsed, and stays for a while.  Lock held. */
static void
remove_entry(struct feed *feed, const char *key, uint64_t revision,
             int64_t now)
{
    struct entry *entry = g_hash_table_lookup(feed->entries, key);
    if (entry == NULL || entry->revision > revision) {
        return;
    }
    bool lapsed = feed == &feed->roster->nodes ||
                  (feed->troubled != 0 && now - feed->troubled < feed->grace);
    log_entry(feed, &entry->host, lapsed ? "vanished" : "gone", CH_LOG_INFO);
    if (!lapsed) {
        drop_entry(feed, key, revision);
        return;
    }
    if (entry->gone_at == 0) {
        entry->gone_at = now + feed->grace;
        entry->gone = revision;
    }
}

/* Drops what has been gone for long enough; true when there was any.  Lock
 * held. */
bool
feed_drop_gone(struct feed *feed, int64_t now)
{
    GPtrArray *gone = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, feed->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct entry *entry = value;
        if (entry->gone_at != 0 && entry->gone_at <= now) {
            g_ptr_array_add(gone, key);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        const char *name = g_ptr_array_index(gone, i);
        const struct entry *entry = g_hash_table_lookup(feed->entries, name);
        drop_entry(feed, name, entry->gone);
    }
    bool dropped = gone->len > 0;
    g_ptr_array_free(gone, TRUE);
    return dropped;
}

/* Compares all that is there now with what was known.  Lock held. */
void
feed_take_all(struct feed *feed, const struct ch_kv_range *range, int64_t now)
{
    GHashTable *there = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < range->count; i++) {
        g_hash_table_add(there, range->entries[i].key);
        feed_put(feed, &range->entries[i]);
    }
    GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, feed->entries);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!g_hash_table_contains(there, key)) {
            g_ptr_array_add(missing, g_strdup(key));
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        remove_entry(feed, g_ptr_array_index(missing, i), range->at, now);
    }
    g_ptr_array_free(missing, TRUE);
    g_hash_table_destroy(there);
    feed->known = true;
}

/* Takes what a watch told, in order.  Lock held. */
void
feed_take_changes(struct feed *feed, const struct ch_kv_range *range,
                  int64_t now)
{
    for (size_t i = 0; i < range->count; i++) {
        const struct ch_kv_entry *entry = &range->entries[i];
        if (entry->value == NULL) {
            remove_entry(feed, entry->key, entry->revision, now);
        }
        else {
            feed_put(feed, entry);
        }
    }
}

/* See roster_internal.h. */
void
feed_take_removal(struct feed *feed, const char *key, uint64_t revision)
{
    const struct entry *entry = g_hash_table_lookup(feed->entries, key);
    if (entry != NULL && entry->revision <= revision) {
        log_entry(feed, &entry->host, "gone", CH_LOG_INFO);
        drop_entry(feed, key, revision);
    }
}

/* Whether something that is new is for all nodes.  Lock held. */
bool
feed_has_news_for_all(const struct feed *feed)
{
    for (guint i = 0; i < feed->news->len; i++) {
        if (g_array_index(feed->news, struct news, i).for_all) {
            return true;
        }
    }
    return false;
}
