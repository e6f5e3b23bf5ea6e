/* Parsing entries, applying them to a list, and recording the changes. */

#include "base/json.h"
#include "node/roster_internal.h"

#include <string.h>

enum {
    MAX_CAPACITY = 1000 * 1000 * 1000,
};

/* ---- lists ---- */

static void
free_entry(void *data)
{
    struct roster_entry *entry = data;
    ch_host_clear(&entry->host);
    g_free(entry->value);
    g_free(entry);
}

/* A clear function for g_array_set_clear_func. */
static void
clear_change(void *data)
{
    struct unpublished_change *change = data;
    g_free(change->key);
}

void
roster_list_clear(struct roster_list *list)
{
    g_hash_table_destroy(list->entries);
    g_hash_table_destroy(list->removals);
    g_array_free(list->unpublished, TRUE);
    g_free(list->prefix);
}

/* See roster_internal.h. */
void
roster_list_init(struct roster_list *list, struct ch_roster *roster,
                 const char *prefix, int64_t grace, int64_t age_bound)
{
    list->roster = roster;
    list->prefix = g_strdup(prefix);
    list->removal_grace = grace;
    ch_freshness_init(&list->freshness, age_bound,
                      ch_client_get_time(roster->node->client));
    list->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    list->removals =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    list->unpublished =
        g_array_new(FALSE, FALSE, sizeof(struct unpublished_change));
    g_array_set_clear_func(list->unpublished, clear_change);
}

/* ---- parsing ---- */

/* Parses a node's entry; host is owned by the caller. */
static bool
parse_node(const char *key, const char *value, size_t length,
           struct ch_host *host, struct ch_error *error)
{
    g_autoptr(JsonParser) parser = NULL;
    JsonObject *object = ch_json_parse_object(value, length, &parser);
    if (object == NULL) {
        ch_error_set(error, CH_BAD_JSON, "not one JSON object");
        return false;
    }
    const char *address = ch_json_get_string(object, "address");
    const char *data_centre = ch_json_get_string(object, "data_centre");
    const char *region = ch_json_get_string(object, "region");
    if (!ch_host_is_name(key + strlen(NODES_PREFIX)) ||
        !ch_host_is_label(data_centre) || !ch_host_is_label(region) ||
        address == NULL || !ch_address_check_remote(address, error)) {
        ch_error_set(error, CH_BAD_FIELD, "not a node's entry");
        return false;
    }
    *host = (struct ch_host){
        .name = g_strdup(key + strlen(NODES_PREFIX)),
        .kind = CH_HOST_ENTRY,
        .address = g_strdup(address),
        .data_centre = g_strdup(data_centre),
        .region = g_strdup(region),
        .capacity = (uint32_t)CLAMP(ch_json_get_integer(object, "capacity", 0),
                                    0, MAX_CAPACITY),
        .boot_id =
            (uint64_t)MAX(ch_json_get_integer(object, "started_ms", 0), 0),
    };
    return true;
}

/* Parses the entry of an upstream or a node. Logs an unreadable entry only
 * once for each key. Lock held. */
static bool
parse_entry(struct roster_list *list, const struct ch_kv_entry *source,
            struct ch_host *host)
{
    struct ch_roster *roster = list->roster;
    const struct ch_node *node = roster->node;
    struct ch_error error = {0};
    bool is_valid = false;
    if (list == &roster->nodes) {
        is_valid = parse_node(source->key, source->value, source->length, host,
                              &error);
    }
    else {
        is_valid = node->dialect->parse_host(source->key, source->value,
                                             source->length, host, &error);
        if (is_valid) {
            host->region =
                ch_settings_get_region(node->settings, host->data_centre);
        }
    }
    if (!is_valid &&
        g_hash_table_add(roster->unreadable_keys, g_strdup(source->key))) {
        ch_log(node->client, CH_LOG_WARNING, "entry-unreadable",
               CH_F_STR("key", source->key),
               CH_F_STR("message", error.message), CH_F_END);
    }
    return is_valid;
}

/* ---- changes ---- */

/* Logs a change of an upstream or a node. Lock held. */
static void
log_entry(const struct roster_list *list, const struct ch_host *host,
          const char *state, enum ch_log_level level)
{
    char *resident = host->resident_items == NULL
                         ? NULL
                         : g_strjoinv(" ", (char **)host->resident_items);
    char *local_copies = host->local_copies == NULL
                             ? NULL
                             : g_strjoinv(" ", (char **)host->local_copies);
    ch_log(list->roster->node->client, level, "listed",
           CH_F_STR("host", host->name), CH_F_STR("state", state),
           CH_F_BOOL("leaving", host->draining),
           CH_F_STR("data_centre", host->data_centre),
           CH_F_STR("service", host->service),
           CH_F_STR("version", host->version),
           CH_F_INT("boot", (int64_t)host->boot_id),
           CH_F_STR("resident", resident), CH_F_STR("copies", local_copies),
           CH_F_END);
    g_free(resident);
    g_free(local_copies);
}

/* Records a change to publish, in place of an earlier one for the same key.
 * Lock held. */
static void
record_change(struct roster_list *list, const char *key, uint64_t removed,
              bool for_all)
{
    list->change_count++;
    for (guint i = 0; i < list->unpublished->len; i++) {
        struct unpublished_change *change =
            &g_array_index(list->unpublished, struct unpublished_change, i);
        if (strcmp(change->key, key) == 0) {
            change->removal_revision = removed;
            change->for_all_nodes = change->for_all_nodes || for_all;
            return;
        }
    }
    const struct unpublished_change change = {g_strdup(key), removed, for_all};
    g_array_append_val(list->unpublished, change);
}

/*
 * Whether a change affects which upstreams may be used, and how, so that every
 * node needs it. Hundreds of engines change their entries with each model and
 * adapter that they load; if every watcher sent each of these changes to every
 * node, they would fill the links between regions and the watchers' own links.
 * What engines hold, nodes receive from the lease holders.
 */
static bool
needs_all_nodes(const struct ch_host *old_host, const struct ch_host *new_host)
{
    return g_strcmp0(old_host->address, new_host->address) != 0 ||
           g_strcmp0(old_host->data_centre, new_host->data_centre) != 0 ||
           g_strcmp0(old_host->service, new_host->service) != 0 ||
           g_strcmp0(old_host->version, new_host->version) != 0 ||
           old_host->kind != new_host->kind ||
           old_host->draining != new_host->draining ||
           old_host->boot_id != new_host->boot_id ||
           old_host->max_batch != new_host->max_batch ||
           old_host->memory_mb != new_host->memory_mb ||
           old_host->capacity != new_host->capacity;
}

static struct ch_entry_stamp
get_stamp(const struct ch_host *host)
{
    return (struct ch_entry_stamp){host->boot_id, host->write_count,
                                   host->draining};
}

/* Records the latest removal of a key. Lock held. */
static void
record_removal(struct roster_list *list, const char *key, uint64_t revision)
{
    const struct roster_entry *entry = g_hash_table_lookup(list->entries, key);
    struct roster_removal *removal = g_new0(struct roster_removal, 1);
    removal->revision = revision;
    if (entry != NULL) {
        removal->stamp = get_stamp(&entry->host);
    }
    g_hash_table_replace(list->removals, g_strdup(key), removal);
}

/* Whether this revision or a later one of the key is known. Lock held. */
static bool
knows_revision(const struct roster_list *list, const char *key,
               uint64_t revision)
{
    const struct roster_entry *entry = g_hash_table_lookup(list->entries, key);
    const struct roster_removal *removal =
        g_hash_table_lookup(list->removals, key);
    return (entry != NULL && entry->revision >= revision) ||
           (removal != NULL && removal->revision >= revision);
}

/* Logs an entry of the store that counts as older than the known one and says
 * something else. Lock held. */
static void
log_passed_over(const struct roster_list *list,
                const struct roster_entry *known,
                const struct ch_kv_entry *source)
{
    const struct ch_client *client = list->roster->node->client;
    if (known == NULL ||
        (known->length == source->length &&
         memcmp(known->value, source->value, source->length) == 0)) {
        return;
    }
    if (client->metrics != NULL) {
        ch_metrics_add_count(client->metrics, CH_COUNT_STORE_PASSED_OVER, 1);
    }
    ch_log(client, CH_LOG_DEBUG, "entry-passed-over",
           CH_F_STR("key", source->key),
           CH_F_INT("revision", (int64_t)source->revision),
           CH_F_INT("known", (int64_t)known->revision), CH_F_END);
}

static bool
is_of_later_era(uint64_t revision, uint64_t known)
{
    return ch_era_get_era(revision) > ch_era_get_era(known);
}

/*
 * Passes over an entry that a copy of the store holds at a revision of a later
 * era, though its owner wrote it before what is known: an upstream that drains
 * would be called again, and so would one that is gone. The revision is taken
 * over, so that what the owner writes next counts as newer. Lock held.
 */
static bool
pass_over_copy(struct roster_list *list, const struct ch_kv_entry *source,
               const struct ch_host *host)
{
    const struct ch_entry_stamp offered = get_stamp(host);
    struct roster_entry *entry =
        g_hash_table_lookup(list->entries, source->key);
    struct roster_removal *removal =
        g_hash_table_lookup(list->removals, source->key);
    if (entry != NULL && is_of_later_era(source->revision, entry->revision)) {
        const struct ch_entry_stamp known = get_stamp(&entry->host);
        if (!ch_entry_is_older(&known, &offered)) {
            return false;
        }
        log_passed_over(list, entry, source);
        entry->revision = source->revision;
        return true;
    }
    if (entry == NULL && removal != NULL &&
        is_of_later_era(source->revision, removal->revision) &&
        ch_entry_precedes_removal(&removal->stamp, &offered)) {
        removal->revision = source->revision;
        return true;
    }
    return false;
}

/* See roster_internal.h. An unreadable entry is ignored and the previous entry
 * of its key kept, since another program may have written over it. What
 * another node still lists may be missing in the store. Lock held. */
void
roster_list_put(struct roster_list *list, const struct ch_kv_entry *source,
                bool by_store)
{
    struct ch_host host = {0};
    struct roster_entry *previous =
        g_hash_table_lookup(list->entries, source->key);
    if (by_store && previous != NULL &&
        previous->revision == source->revision) {
        previous->remove_at = 0; /* the entry was not deleted after all */
    }
    if (knows_revision(list, source->key, source->revision)) {
        if (by_store) {
            log_passed_over(list, previous, source);
        }
        return;
    }
    if (!parse_entry(list, source, &host)) {
        return;
    }
    if (pass_over_copy(list, source, &host)) {
        ch_host_clear(&host);
        return;
    }
    bool for_all = previous == NULL || needs_all_nodes(&previous->host, &host);
    log_entry(list, &host, "there", for_all ? CH_LOG_INFO : CH_LOG_DEBUG);
    struct roster_entry *entry = g_new0(struct roster_entry, 1);
    entry->host = host;
    entry->host.received_at = ch_client_get_time(list->roster->node->client);
    entry->revision = source->revision;
    entry->length = source->length;
    entry->value = g_memdup2(source->value, source->length);
    g_hash_table_replace(list->entries, g_strdup(source->key), entry);
    record_change(list, source->key, 0, for_all);
}

/* Removes an entry for good. Lock held. */
static void
remove_for_good(struct roster_list *list, const char *key, uint64_t revision)
{
    g_autofree char *copy = g_strdup(key); /* key may belong to the table */
    record_removal(list, copy, revision);
    record_change(list, copy, revision, true);
    g_hash_table_remove(list->entries, copy);
}

/* Handles a deleted entry. After a failure of the key-value store the entry
 * may only have expired, and stays in use for a while; nodes' entries always
 * do. Lock held. */
static void
handle_deletion(struct roster_list *list, const char *key, uint64_t revision,
                int64_t now)
{
    struct roster_entry *entry = g_hash_table_lookup(list->entries, key);
    if (entry == NULL || entry->revision > revision) {
        return;
    }
    int64_t end = ch_absence_get_end(&list->contact, entry->remove_at,
                                     list->removal_grace, now);
    if (list == &list->roster->nodes && entry->remove_at == 0) {
        end = now + list->removal_grace;
    }
    if (entry->remove_at == 0 || end <= now) {
        log_entry(list, &entry->host, end > now ? "vanished" : "gone",
                  CH_LOG_INFO);
    }
    if (end <= now) {
        remove_for_good(list, key, revision);
        return;
    }
    if (entry->remove_at == 0) {
        entry->remove_at = end;
        entry->deleted_revision = revision;
    }
}

/* See roster_internal.h. */
bool
roster_list_remove_expired(struct roster_list *list, int64_t now)
{
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, list->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct roster_entry *entry = value;
        if (entry->remove_at != 0 && entry->remove_at <= now) {
            g_ptr_array_add(expired, key);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        const char *name = g_ptr_array_index(expired, i);
        const struct roster_entry *entry =
            g_hash_table_lookup(list->entries, name);
        remove_for_good(list, name, entry->deleted_revision);
    }
    bool removed = expired->len > 0;
    g_ptr_array_free(expired, TRUE);
    return removed;
}

/* See roster_internal.h. */
void
roster_list_apply_range(struct roster_list *list,
                        const struct ch_kv_range *range, int64_t now)
{
    GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < range->count; i++) {
        g_hash_table_add(present, range->entries[i].key);
        roster_list_put(list, &range->entries[i], true);
    }
    GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, list->entries);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!g_hash_table_contains(present, key)) {
            g_ptr_array_add(missing, g_strdup(key));
        }
    }
    for (guint i = 0; i < missing->len; i++) {
        handle_deletion(list, g_ptr_array_index(missing, i), range->revision,
                        now);
    }
    g_ptr_array_free(missing, TRUE);
    g_hash_table_destroy(present);
    list->known = true;
}

/* See roster_internal.h. */
void
roster_list_apply_changes(struct roster_list *list,
                          const struct ch_kv_range *range, int64_t now)
{
    for (size_t i = 0; i < range->count; i++) {
        const struct ch_kv_entry *entry = &range->entries[i];
        if (entry->value == NULL) {
            handle_deletion(list, entry->key, entry->revision, now);
        }
        else {
            roster_list_put(list, entry, true);
        }
    }
}

/* See roster_internal.h. */
void
roster_list_apply_removal(struct roster_list *list, const char *key,
                          uint64_t revision)
{
    const struct roster_entry *entry = g_hash_table_lookup(list->entries, key);
    if (entry != NULL && entry->revision <= revision) {
        log_entry(list, &entry->host, "gone", CH_LOG_INFO);
        remove_for_good(list, key, revision);
    }
}

/* See roster_internal.h. An entry that was written after that revision is one
 * that the other node does not know yet. */
void
roster_list_remove_absent(struct roster_list *list, GHashTable *keys,
                          uint64_t revision)
{
    g_autoptr(GPtrArray) absent = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, list->entries);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!g_hash_table_contains(keys, key)) {
            g_ptr_array_add(absent, g_strdup(key));
        }
    }
    for (guint i = 0; i < absent->len; i++) {
        roster_list_apply_removal(list, g_ptr_array_index(absent, i),
                                  revision);
    }
}

/* See roster_internal.h. */
bool
roster_list_has_change_for_all(const struct roster_list *list)
{
    for (guint i = 0; i < list->unpublished->len; i++) {
        if (g_array_index(list->unpublished, struct unpublished_change, i)
                .for_all_nodes) {
            return true;
        }
    }
    return false;
}
