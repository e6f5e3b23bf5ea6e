/* The upstreams and nodes that describe themselves in the key-value service. */

#include "node/roster.h"

#include "node/dialect.h"
#include "node/kv_call.h"

#include <json-glib/json-glib.h>
#include <pthread.h>
#include <string.h>

#define NODES_PREFIX "nodes/"

enum {
    TICK = 250 * 1000,
    WATCH_WAIT = 20 * 1000 * 1000,
    FIRST_PAUSE = 250 * 1000,
    MOST_PAUSE = 2 * 1000 * 1000,
    /* A node's own entry goes this long after its last renewal.  Whether a
     * node answers is judged by its peers much sooner; the entry alone says
     * that it may exist. */
    NODE_TTL = 10 * 1000 * 1000,
    NODE_RENEWAL = 3 * 1000 * 1000,
    /*
     * Entries lapse while the service is away, and their owners write them
     * again when it is back: within two seconds, as the platform says.  Until
     * then what has vanished is still used; the rest of the three seconds
     * within which a leaving upstream must get no new work is for this list
     * to get around.
     */
    LAPSE_GRACE = 2200 * 1000,
    /* A node that is no longer listed is still asked by its peers for this
     * long, for the same reason. */
    NODE_GRACE = 15 * 1000 * 1000,
};

/* One entry. */
struct entry {
    struct ch_host host;
    int64_t gone_at; /* it is removed then; 0: it is there */
};

/* What lies below one prefix. */
struct feed {
    struct ch_roster *roster;
    char *prefix;
    GHashTable *entries; /* key to struct entry */
    uint64_t at;         /* revision up to which it is known; 0: nothing is */
    bool known;
    bool calling;
    int64_t pause;
    int64_t not_before;
    int64_t troubled; /* the service last failed; 0: it did not */
    int64_t grace;    /* of entries that vanish after a failure */
};

struct ch_roster {
    struct ch_node *node;
    void (*changed)(void *data);
    void *data;
    pthread_mutex_t lock;
    int references;
    bool stopped;
    bool leaving;
    uint64_t timer;
    struct feed upstreams;
    struct feed nodes;
    GHashTable *strangers; /* keys that were complained of */
    /* This node's own entry. */
    bool writing;
    uint64_t lease;
    bool listed;
    uint64_t own_revision; /* of the entry that is in the way; 0: none */
    int64_t renewed;
};

/* ---- ownership ---- */

/* One more owner: a call or timer under way. */
static struct ch_roster *
roster_ref(struct ch_roster *roster)
{
    g_atomic_int_inc(&roster->references);
    return roster;
}

/* One owner less; the last frees it. */
static void
roster_unref(struct ch_roster *roster)
{
    if (!g_atomic_int_dec_and_test(&roster->references)) {
        return;
    }
    g_hash_table_destroy(roster->upstreams.entries);
    g_hash_table_destroy(roster->nodes.entries);
    g_hash_table_destroy(roster->strangers);
    g_free(roster->upstreams.prefix);
    g_free(roster->nodes.prefix);
    pthread_mutex_destroy(&roster->lock);
    g_free(roster);
}

/* Frees an entry. */
static void
free_entry(void *data)
{
    struct entry *entry = data;
    ch_host_clear(&entry->host);
    g_free(entry);
}

/* ---- reading entries ---- */

/* The region of a data centre by the settings' table "NAME:REGION, ..."; a new
 * string, the data centre's own name when it stands in none. */
static char *
region_of(const struct ch_settings *settings, const char *data_centre)
{
    char **pairs = g_strsplit_set(
        settings->data_centres == NULL ? "" : settings->data_centres, ", ;",
        -1);
    char *region = NULL;
    size_t length = strlen(data_centre);
    for (size_t i = 0; region == NULL && pairs[i] != NULL; i++) {
        if (strncmp(pairs[i], data_centre, length) == 0 &&
            pairs[i][length] == ':') {
            region = g_strdup(pairs[i] + length + 1);
        }
    }
    g_strfreev(pairs);
    return region != NULL ? region : g_strdup(data_centre);
}

/* A member of a node's entry; NULL: it is no text. */
static const char *
text_member(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
                   json_node_get_value_type(node) == G_TYPE_STRING
               ? json_node_get_string(node)
               : NULL;
}

/* Reads a node's entry. */
static bool
parse_node(const char *key, const char *value, size_t length,
           struct ch_host *host, struct ch_error *error)
{
    g_autoptr(JsonParser) parser = json_parser_new_immutable();
    JsonNode *root = NULL;
    if (json_parser_load_from_data(parser, value, (gssize)length, NULL)) {
        root = json_parser_get_root(parser);
    }
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        ch_error_set(error, CH_BAD_JSON, "not a JSON object");
        return false;
    }
    JsonObject *object = json_node_get_object(root);
    const char *address = text_member(object, "address");
    const char *data_centre = text_member(object, "data_centre");
    const char *region = text_member(object, "region");
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
            host->region = region_of(node->settings, host->data_centre);
        }
    }
    if (!good && g_hash_table_add(roster->strangers, g_strdup(from->key))) {
        ch_log(node->client, CH_LOG_WARNING, "entry-unreadable",
               CH_F_STR("key", from->key),
               CH_F_STR("message", error.message), CH_F_END);
    }
    return good;
}

/* ---- changes ---- */

/* Says what became of an upstream or a node.  Lock held. */
static void
log_entry(const struct feed *feed, const struct ch_host *host,
          const char *what)
{
    char *resident = host->resident == NULL
                         ? NULL
                         : g_strjoinv(" ", (char **)host->resident);
    char *copies = host->copies == NULL
                       ? NULL
                       : g_strjoinv(" ", (char **)host->copies);
    ch_log(feed->roster->node->client, CH_LOG_INFO, "listed",
           CH_F_STR("host", host->name), CH_F_STR("state", what),
           CH_F_BOOL("leaving", host->leaving),
           CH_F_STR("data_centre", host->data_centre),
           CH_F_STR("service", host->service),
           CH_F_STR("resident", resident), CH_F_STR("copies", copies),
           CH_F_END);
    g_free(resident);
    g_free(copies);
}

/* Puts an entry in place of what the key had.  One that can't be read names
 * nothing to use; what its key named before is left as it was, since a stranger
 * may have written over it.  Lock held. */
static void
put_entry(struct feed *feed, const struct ch_kv_entry *from)
{
    struct ch_host host = {0};
    if (!parse_entry(feed, from, &host)) {
        return;
    }
    log_entry(feed, &host, "there");
    struct entry *entry = g_new0(struct entry, 1);
    entry->host = host;
    g_hash_table_replace(feed->entries, g_strdup(from->key), entry);
}

/* Takes an entry that has gone.  After a failure of the service it may only
 * have lapsed, and stays for a while.  Lock held. */
static void
remove_entry(struct feed *feed, const char *key, int64_t now)
{
    struct entry *entry = g_hash_table_lookup(feed->entries, key);
    if (entry == NULL) {
        return;
    }
    bool lapsed = feed == &feed->roster->nodes ||
                  (feed->troubled != 0 && now - feed->troubled < feed->grace);
    log_entry(feed, &entry->host, lapsed ? "vanished" : "gone");
    if (!lapsed) {
        g_hash_table_remove(feed->entries, key);
        return;
    }
    if (entry->gone_at == 0) {
        entry->gone_at = now + feed->grace;
    }
}

/* Drops what has been gone for long enough; true when there was any.  Lock
 * held. */
static bool
drop_gone(struct feed *feed, int64_t now)
{
    bool dropped = false;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, feed->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct entry *entry = value;
        if (entry->gone_at != 0 && entry->gone_at <= now) {
            g_hash_table_iter_remove(&iterator);
            dropped = true;
        }
    }
    return dropped;
}

/* Compares all that is there now with what was known.  Lock held. */
static void
take_all(struct feed *feed, const struct ch_kv_range *range, int64_t now)
{
    GHashTable *there = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < range->count; i++) {
        g_hash_table_add(there, range->entries[i].key);
        put_entry(feed, &range->entries[i]);
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
        remove_entry(feed, g_ptr_array_index(missing, i), now);
    }
    g_ptr_array_free(missing, TRUE);
    g_hash_table_destroy(there);
    feed->known = true;
}

/* Takes what a watch told, in order.  Lock held. */
static void
take_changes(struct feed *feed, const struct ch_kv_range *range, int64_t now)
{
    for (size_t i = 0; i < range->count; i++) {
        const struct ch_kv_entry *entry = &range->entries[i];
        if (entry->value == NULL) {
            remove_entry(feed, entry->key, now);
        }
        else {
            put_entry(feed, entry);
        }
    }
}

/* Gives the nodes to the peers. */
static void
tell_peers(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    guint count = g_hash_table_size(roster->nodes.entries);
    struct ch_host_list list = {g_new0(struct ch_host, count + 1), 0};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, roster->nodes.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct entry *entry = value;
        list.hosts[list.count++] = entry->host; /* the strings stay there */
    }
    ch_peers_list(roster->node->peers, &list);
    pthread_mutex_unlock(&roster->lock);
    g_free(list.hosts);
}

/* ---- calls ---- */

static void begin_call(struct feed *feed);

/* Notes how a call went, and when the next may begin.  Lock held. */
static void
end_call(struct feed *feed, enum ch_code code, int64_t now)
{
    feed->calling = false;
    if (code == CH_OK || code == CH_KV_MISSING) {
        feed->pause = 0;
        return;
    }
    if (code == CH_KV_HISTORY_GONE) {
        feed->at = 0;
        return;
    }
    if (feed->troubled == 0 || feed->pause == 0) {
        ch_log(feed->roster->node->client, CH_LOG_WARNING, "list-unreachable",
               CH_F_STR("prefix", feed->prefix), CH_F_INT("code", code),
               CH_F_END);
    }
    feed->troubled = now;
    feed->pause = CLAMP(feed->pause * 2, FIRST_PAUSE, MOST_PAUSE);
    feed->not_before = now + feed->pause;
}

/* On the pool: what a range or a watch brought. */
static void
call_done(struct feed *feed, const struct ch_kv_range *range, bool whole)
{
    struct ch_roster *roster = feed->roster;
    int64_t now = ch_client_now(roster->node->client);
    bool fresh = range->code == CH_OK || range->code == CH_KV_MISSING;
    pthread_mutex_lock(&roster->lock);
    if (whole && range->code == CH_OK) {
        take_all(feed, range, now);
    }
    else if (range->code == CH_OK) {
        take_changes(feed, range, now);
    }
    if (fresh) {
        feed->at = MAX(feed->at, range->at);
    }
    end_call(feed, range->code, now);
    pthread_mutex_unlock(&roster->lock);
    if (range->code == CH_OK) {
        if (feed == &roster->nodes) {
            tell_peers(roster);
        }
        roster->changed(roster->data);
    }
    begin_call(feed);
    roster_unref(roster);
}

/* What a range brought. */
static void
range_done(void *data, const struct ch_kv_range *range)
{
    call_done(data, range, true);
}

/* What a watch brought. */
static void
changes_done(void *data, const struct ch_kv_range *range)
{
    call_done(data, range, false);
}

/* Begins a range while nothing is known, else a watch, unless one is under way
 * or the service is given time. */
static void
begin_call(struct feed *feed)
{
    struct ch_roster *roster = feed->roster;
    int64_t now = ch_client_now(roster->node->client);
    pthread_mutex_lock(&roster->lock);
    uint64_t at = feed->at;
    bool begin =
        !roster->stopped && !feed->calling && now >= feed->not_before;
    if (begin) {
        feed->calling = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!begin) {
        return;
    }
    if (at == 0) {
        ch_kv_call_range(roster->node, feed->prefix, range_done, feed);
    }
    else {
        ch_kv_call_changes(roster->node, feed->prefix, at, WATCH_WAIT,
                           changes_done, feed);
    }
}

/* ---- this node's own entry ---- */

/* The entry's value; a new string. */
static char *
print_own(const struct ch_settings *settings)
{
    JsonBuilder *builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "address");
    json_builder_add_string_value(builder, settings->peers);
    json_builder_set_member_name(builder, "data_centre");
    json_builder_add_string_value(builder, settings->data_centre);
    json_builder_set_member_name(builder, "region");
    json_builder_add_string_value(builder, settings->region);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

/* The entry was written, or another is in the way: an earlier process of this
 * node left it, and it is written over next time. */
static void
own_written(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    roster->writing = false;
    roster->listed = answer->code == CH_OK;
    if (answer->code == CH_KV_CONFLICT) {
        roster->own_revision = answer->revision;
    }
    else if (answer->code == CH_KV_MISSING) {
        roster->lease = 0;
    }
    pthread_mutex_unlock(&roster->lock);
    roster_unref(roster);
}

/* The lease was given or renewed, or neither. */
static void
own_leased(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    roster->writing = false;
    if (answer->code == CH_OK) {
        roster->renewed = ch_client_now(roster->node->client);
        if (answer->revision != 0) {
            roster->lease = answer->revision;
            roster->listed = false;
        }
    }
    else if (answer->code == CH_KV_MISSING) {
        roster->lease = 0;
    }
    pthread_mutex_unlock(&roster->lock);
    roster_unref(roster);
}

/* Does the next step for this node's entry, if one is due: a lease, the entry,
 * a renewal.  Lock not held. */
static void
keep_own(struct ch_roster *roster, int64_t now)
{
    struct ch_node *node = roster->node;
    pthread_mutex_lock(&roster->lock);
    bool renew = now - roster->renewed >= NODE_RENEWAL;
    bool due = !roster->writing && !roster->leaving &&
               (roster->lease == 0 || !roster->listed || renew);
    uint64_t lease = roster->lease;
    uint64_t revision = roster->own_revision;
    bool listed = roster->listed;
    if (due) {
        roster->writing = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!due) {
        return;
    }
    if (lease == 0) {
        ch_kv_call_lease(node, NODE_TTL, own_leased, roster);
    }
    else if (!listed) {
        g_autofree char *key =
            g_strconcat(NODES_PREFIX, node->settings->name, NULL);
        g_autofree char *value = print_own(node->settings);
        ch_kv_call_put_leased(node, key, value, strlen(value), revision,
                              lease, own_written, roster);
    }
    else {
        ch_kv_call_renew(node, lease, own_leased, roster);
    }
}

/* The lease's end was told, or not: it ends by itself then. */
static void
own_ended(void *data, const struct ch_kv_answer *answer)
{
    (void)answer;
    roster_unref(data);
}

/* See roster.h. */
void
ch_roster_leave(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    roster->leaving = true;
    uint64_t lease = roster->lease;
    pthread_mutex_unlock(&roster->lock);
    if (lease != 0) {
        ch_kv_call_end_lease(roster->node, lease, own_ended,
                             roster_ref(roster));
    }
}

/* ---- the tick ---- */

/* Calls that wait for their time, entries that are gone for good, and this
 * node's own entry. */
static void
tick(void *data)
{
    struct ch_roster *roster = data;
    int64_t now = ch_client_now(roster->node->client);
    begin_call(&roster->upstreams);
    begin_call(&roster->nodes);
    keep_own(roster, now);
    pthread_mutex_lock(&roster->lock);
    bool dropped = drop_gone(&roster->upstreams, now);
    bool nodes_dropped = drop_gone(&roster->nodes, now);
    bool again = !roster->stopped;
    if (again) {
        roster->timer =
            ch_timers_after(roster->node->timers, TICK, tick, roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (nodes_dropped) {
        tell_peers(roster);
    }
    if (dropped) {
        roster->changed(roster->data);
    }
    if (!again) {
        roster_unref(roster);
    }
}

/* ---- what is known ---- */

/* See roster.h. */
bool
ch_roster_known(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    bool known = roster->upstreams.known;
    pthread_mutex_unlock(&roster->lock);
    return known;
}

/* See roster.h. */
void
ch_roster_each(struct ch_roster *roster,
               void (*each)(void *data, const struct ch_host *host),
               void *data)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&roster->lock);
    g_hash_table_iter_init(&iterator, roster->upstreams.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct entry *entry = value;
        each(data, &entry->host);
    }
    pthread_mutex_unlock(&roster->lock);
}

/* ---- life ---- */

/* An empty feed. */
static void
feed_init(struct feed *feed, struct ch_roster *roster, const char *prefix,
          int64_t grace)
{
    feed->roster = roster;
    feed->prefix = g_strdup(prefix);
    feed->grace = grace;
    feed->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
}

/* A roster that knows nothing yet; node outlives it. */
struct ch_roster *
ch_roster_new(struct ch_node *node, void (*changed)(void *data), void *data)
{
    struct ch_roster *roster = g_new0(struct ch_roster, 1);
    roster->node = node;
    roster->changed = changed;
    roster->data = data;
    roster->references = 1;
    roster->strangers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    pthread_mutex_init(&roster->lock, NULL);
    feed_init(&roster->upstreams, roster, node->dialect->hosts_prefix,
              LAPSE_GRACE);
    feed_init(&roster->nodes, roster, NODES_PREFIX, NODE_GRACE);
    return roster;
}

/* Begins to read, watch and be listed. */
void
ch_roster_start(struct ch_roster *roster)
{
    ch_pool_submit(roster->node->pool, tick, roster_ref(roster));
}

/* Ends the tick; calls under way run out. */
void
ch_roster_stop(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    roster->stopped = true;
    uint64_t timer = roster->timer;
    pthread_mutex_unlock(&roster->lock);
    if (timer != 0 && ch_timers_cancel(roster->node->timers, timer)) {
        roster_unref(roster);
    }
}

/* Drops the node's hold. */
void
ch_roster_free(struct ch_roster *roster)
{
    if (roster != NULL) {
        roster_unref(roster);
    }
}
