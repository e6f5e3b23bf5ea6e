/*
 * The upstreams and nodes that describe themselves in the key-value service.
 *
 * A few nodes watch the service and tell all others what has changed, each
 * entry with its revision, so that none is ever replaced by an older one.  A
 * watch from every node would cost the service a call for each node at each
 * change, and joining nodes change the list themselves: calls that grow with
 * the square of the fleet.  A node that is told nothing for a while, as it is
 * cut off from those that watch, reads the service by itself.
 */

#include "node/roster.h"
#include "base/json.h"
#include "decide/fleet.h"

#include "node/dialect.h"
#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>

#define NODES_PREFIX "nodes/"

enum {
    TICK = 100 * 1000,
    /* As long as a leaving upstream may get new work, less what it takes to
     * tell of it: see the configuration's watches for why they are short. */
    LEAST_WATCH = 1500 * 1000,
    MOST_WATCH = 2500 * 1000,
    FIRST_PAUSE = 250 * 1000,
    MOST_PAUSE = 2 * 1000 * 1000,
    /* A node's own entry goes this long after its last renewal.  Whether a
     * node answers is judged by its peers much sooner; the entry alone says
     * that it may exist. */
    NODE_TTL = 30 * 1000 * 1000,
    NODE_RENEWAL = 8 * 1000 * 1000,
    /*
     * While the service is away or refuses, the fleet asks for its own entries
     * some ten times a second in all, whatever its size: each node this often
     * for each live node, and at least once in a renewal's time.  Asked again
     * at each tick, a hundred nodes made most of a thousand calls a second.
     */
    OWN_PAUSE_EACH = 100 * 1000,
    /* After a watch that brought nothing that is for all nodes, the next one
     * begins this much later and brings what came meanwhile.  Engines change
     * their models all the time where demand moves; three nodes that watch do
     * not pause together, so that what is for all is seen soon. */
    GATHER = 1000 * 1000,
    /* Nodes that watch: three, so that one lost and one paused leave one. */
    WATCHERS = 3,
    /* What is new is told at the next tick; this often when nothing is, so
     * that the others know that they miss nothing. */
    TELL_AGAIN = 1000 * 1000,
    /* A node that was told nothing for so long reads by itself, this often:
     * three messages that did not come. */
    UNTOLD = 3000 * 1000,
    /* A node that has just read waits for this long before it watches: by then
     * it knows who else is there. */
    SETTLE = 1500 * 1000,
    PULL_LIMIT = 1500 * 1000,
    MOST_CAPACITY = 1000 * 1000 * 1000,
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

/*
 * Watches that bring something, of each watcher, a second and at once.  A
 * watch ends with its first event, and dozens of engines that change their
 * models make several a second for as long as demand moves: each would be a
 * call.  A few in a row go on at once, since a pause of 0.3 s after each cost
 * a fleet of seven nodes 0.03 of its worth: a crash and what follows it come
 * as a few events.
 */
static const double WATCH_RATE = 3.3;
static const double WATCH_BURST = 10;

/* One entry. */
struct entry {
    struct ch_host host;
    uint64_t revision;
    char *value; /* as it lies in the service */
    size_t length;
    int64_t gone_at; /* it is removed then; 0: it is there */
    uint64_t gone;   /* revision of its removal */
};

/* A removal, to be told; or an entry that is to be told. */
struct news {
    char *key;
    uint64_t removed; /* revision; 0: the entry that is there */
    bool for_all;     /* else it is of use to those that order engines */
};

/* What lies below one prefix. */
struct feed {
    struct ch_roster *roster;
    char *prefix;
    GHashTable *entries;  /* key to struct entry */
    GHashTable *removed;  /* key to revision of its latest removal */
    GArray *news;         /* struct news: not told yet */
    uint64_t told_at;     /* revision up to which all were told */
    uint64_t orderers_at; /* ... those that order engines */
    int64_t tell_at;      /* next time to tell all */
    bool watched;         /* by this node, at the last tick */
    int64_t heard;        /* when a node that watches last told something */
    bool pulling;
    uint64_t at; /* revision up to which it is known; 0: nothing is */
    bool known;
    bool calling;
    int64_t pause;
    int64_t not_before;
    struct ch_bucket watches; /* that bring something */
    int64_t troubled;         /* the service last failed; 0: it did not */
    int64_t grace;            /* of entries that vanish after a failure */
};

struct ch_roster {
    struct ch_node *node;
    void (*changed)(void *data);
    void *data;
    void (*orderers)(void *data, GPtrArray *names); /* NULL: none */
    void *orderers_data;
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
    int64_t own_pause; /* after the last call for it; 0: it was answered */
    int64_t own_not_before;
};

/* ---- ownership ---- */

/* One more owner: a call or timer under way. */
static struct ch_roster *
roster_ref(struct ch_roster *roster)
{
    g_atomic_int_inc(&roster->references);
    return roster;
}

/* Frees what a feed holds. */
static void
feed_clear(struct feed *feed)
{
    g_hash_table_destroy(feed->entries);
    g_hash_table_destroy(feed->removed);
    g_array_free(feed->news, TRUE);
    g_free(feed->prefix);
}

/* One owner less; the last frees it. */
static void
roster_unref(struct ch_roster *roster)
{
    if (!g_atomic_int_dec_and_test(&roster->references)) {
        return;
    }
    feed_clear(&roster->upstreams);
    feed_clear(&roster->nodes);
    g_hash_table_destroy(roster->strangers);
    pthread_mutex_destroy(&roster->lock);
    g_free(roster);
}

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

/* Puts an entry in place of what the key had.  One that can't be read names
 * nothing to use; what its key named before is left as it was, since a
 * stranger may have written over it.  Lock held. */
static void
put_entry(struct feed *feed, const struct ch_kv_entry *from)
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
static bool
drop_gone(struct feed *feed, int64_t now)
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
        remove_entry(feed, g_ptr_array_index(missing, i), range->at, now);
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
            remove_entry(feed, entry->key, entry->revision, now);
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

/* Whether something that is new is for all nodes.  Lock held. */
static bool
has_news_for_all(const struct feed *feed)
{
    for (guint i = 0; i < feed->news->len; i++) {
        if (g_array_index(feed->news, struct news, i).for_all) {
            return true;
        }
    }
    return false;
}

/* ---- calls ---- */

/* True when this node is one of the few that watch. */
static bool
is_watcher(const struct ch_roster *roster)
{
    const struct ch_node *node = roster->node;
    return ch_peers_has_role(node->peers, "roster-watch", WATCHERS, NULL);
}

static void begin_call(struct feed *feed, bool watcher);

/* Notes how a call went, and when the next may begin.  Lock held. */
static void
end_call(struct feed *feed, enum ch_code code, int64_t now)
{
    feed->calling = false;
    if (code == CH_OK || code == CH_KV_MISSING) {
        feed->pause = 0;
        return;
    }
    /* After a watch that failed all is read anew.  A service that drops
     * history also cuts its watches, and may take the next one from before the
     * gap without a word: an upstream that began to leave in it would get work
     * until it is gone. */
    feed->at = 0;
    if (code == CH_KV_HISTORY_GONE) {
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

/* How long to wait after a watch that brought something.  Lock held. */
static int64_t
gather_time(struct feed *feed, int64_t now)
{
    if (!has_news_for_all(feed)) {
        return GATHER;
    }
    return ch_bucket_take(&feed->watches, 1, now)
               ? 0
               : (int64_t)(G_USEC_PER_SEC / WATCH_RATE);
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
        feed->not_before = feed->known ? 0 : now + SETTLE;
        feed->heard = now;
        take_all(feed, range, now);
    }
    else if (range->code == CH_OK) {
        take_changes(feed, range, now);
        feed->not_before = now + gather_time(feed, now);
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
    begin_call(feed, is_watcher(roster));
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

/* Begins a range while nothing is known, or where nothing was told for long;
 * on a node that watches, a watch; unless a call is under way or the service
 * is given time. */
static void
begin_call(struct feed *feed, bool watcher)
{
    struct ch_roster *roster = feed->roster;
    int64_t now = ch_client_now(roster->node->client);
    pthread_mutex_lock(&roster->lock);
    bool begins = watcher && !feed->watched && feed->known;
    if (begins || (!watcher && now - feed->heard >= UNTOLD)) {
        feed->at = 0; /* whatever was missed is in a range */
    }
    feed->watched = watcher;
    uint64_t at = feed->at;
    bool begin = !roster->stopped && !feed->calling &&
                 now >= feed->not_before && (watcher || at == 0);
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
        ch_kv_call_changes(roster->node, feed->prefix, at,
                           g_random_int_range(LEAST_WATCH, MOST_WATCH),
                           changes_done, feed);
    }
}

/* ---- from node to node ---- */

/* Takes entries that another node told; true when something is new.  Lock
 * held. */
static bool
take_told(struct feed *feed, const Chestnuthitch__Wire__Roster *roster,
          int64_t now)
{
    guint before = feed->news->len;
    for (size_t i = 0; i < roster->n_entries; i++) {
        const Chestnuthitch__Wire__RosterEntry *told = roster->entries[i];
        if (told->removed) {
            const struct entry *entry =
                g_hash_table_lookup(feed->entries, told->key);
            if (entry != NULL && entry->revision <= told->revision) {
                log_entry(feed, &entry->host, "gone", CH_LOG_INFO);
                drop_entry(feed, told->key, told->revision);
            }
            continue;
        }
        const struct ch_kv_entry entry = {
            .key = told->key,
            .value = (char *)told->value.data,
            .length = told->value.len,
            .revision = told->revision,
        };
        put_entry(feed, &entry);
    }
    feed->heard = now;
    return feed->news->len > before;
}

/* The feed of a prefix, or NULL. */
static struct feed *
feed_of(struct ch_roster *roster, const char *prefix)
{
    if (strcmp(prefix, roster->upstreams.prefix) == 0) {
        return &roster->upstreams;
    }
    return strcmp(prefix, roster->nodes.prefix) == 0 ? &roster->nodes : NULL;
}

/* Tells who uses the list that it has changed. */
static void
tell_users(struct feed *feed)
{
    if (feed == &feed->roster->nodes) {
        tell_peers(feed->roster);
    }
    feed->roster->changed(feed->roster->data);
}

/* All that another node knows, or nothing. */
static void
pull_done(void *data, enum ch_code code,
          const Chestnuthitch__Wire__Frame *reply)
{
    struct feed *feed = data;
    struct ch_roster *roster = feed->roster;
    bool good = code == CH_OK && reply != NULL &&
                reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    bool fresh = false;
    pthread_mutex_lock(&roster->lock);
    feed->pulling = false;
    if (good) {
        fresh = take_told(feed, reply->roster,
                          ch_client_now(roster->node->client));
        feed->at = MAX(feed->at, reply->roster->at);
        feed->known = true;
    }
    pthread_mutex_unlock(&roster->lock);
    if (fresh) {
        tell_users(feed);
    }
    roster_unref(roster);
}

/* Asks a node that watches for all, as something was missed. */
static void
begin_pull(struct feed *feed, const char *from)
{
    struct ch_roster *roster = feed->roster;
    pthread_mutex_lock(&roster->lock);
    bool begin = !feed->pulling && !roster->stopped;
    if (begin) {
        feed->pulling = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!begin) {
        return;
    }
    Chestnuthitch__Wire__RosterPull pull =
        CHESTNUTHITCH__WIRE__ROSTER_PULL__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    pull.prefix = feed->prefix;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL;
    frame.roster_pull = &pull;
    ch_peers_request(roster->node->peers, from, &frame, PULL_LIMIT, pull_done,
                     feed);
}

/* A node that watches tells what has changed.  What came before its message
 * and was not told here is asked for. */
static void
handle_roster(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_roster *roster = data;
    const Chestnuthitch__Wire__Roster *told = frame->roster;
    struct feed *feed = feed_of(roster, told->prefix);
    if (feed == NULL ||
        strcmp(frame->from, roster->node->settings->name) == 0) {
        return;
    }
    pthread_mutex_lock(&roster->lock);
    bool fresh = take_told(feed, told, ch_client_now(roster->node->client));
    bool missed = !feed->known || told->since > feed->at;
    if (!missed) {
        feed->at = MAX(feed->at, told->at);
    }
    pthread_mutex_unlock(&roster->lock);
    if (fresh) {
        tell_users(feed);
    }
    if (missed) {
        begin_pull(feed, frame->from);
    }
}

/* Fills in an entry of a message; the strings stay the roster's.  Lock held.
 */
static void
fill_told(Chestnuthitch__Wire__RosterEntry *told, const char *key,
          const struct entry *entry, uint64_t removed)
{
    chestnuthitch__wire__roster_entry__init(told);
    told->key = (char *)key;
    told->removed = entry == NULL;
    told->revision = entry == NULL ? removed : entry->revision;
    if (entry != NULL) {
        told->value.data = (uint8_t *)entry->value;
        told->value.len = entry->length;
    }
}

/* A message of a feed, and the arrays that it is made of. */
struct telling {
    Chestnuthitch__Wire__Roster roster;
    Chestnuthitch__Wire__RosterEntry *entries;
    Chestnuthitch__Wire__RosterEntry **pointers;
};

/* An empty message with room for so many entries. */
static void
telling_init(struct telling *telling, const struct feed *feed, size_t most)
{
    chestnuthitch__wire__roster__init(&telling->roster);
    telling->entries = g_new0(Chestnuthitch__Wire__RosterEntry, most + 1);
    telling->pointers = g_new0(Chestnuthitch__Wire__RosterEntry *, most + 1);
    for (size_t i = 0; i < most; i++) {
        telling->pointers[i] = &telling->entries[i];
    }
    telling->roster.prefix = feed->prefix;
    telling->roster.at = feed->at;
    telling->roster.entries = telling->pointers;
}

/* Frees a message's arrays. */
static void
telling_clear(struct telling *telling)
{
    g_free(telling->entries);
    g_free(telling->pointers);
}

/* A node asks for all that is there. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_roster *roster = data;
    struct feed *feed = feed_of(roster, frame->roster_pull->prefix);
    if (feed == NULL) {
        return;
    }
    Chestnuthitch__Wire__Frame reply = CHESTNUTHITCH__WIRE__FRAME__INIT;
    struct telling telling;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    pthread_mutex_lock(&roster->lock);
    telling_init(&telling, feed, g_hash_table_size(feed->entries));
    g_hash_table_iter_init(&iterator, feed->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        fill_told(&telling.entries[telling.roster.n_entries++], key, value, 0);
    }
    reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    reply.roster = &telling.roster;
    ch_peers_reply(roster->node->peers, frame->from, frame->id, &reply);
    pthread_mutex_unlock(&roster->lock);
    telling_clear(&telling);
}

/* Fills in what is new: for all nodes, or for those that order engines.  Lock
 * held. */
static void
telling_fill(struct telling *telling, const struct feed *feed, bool for_all)
{
    telling_init(telling, feed, feed->news->len);
    telling->roster.since = for_all ? feed->told_at : feed->orderers_at;
    for (guint i = 0; i < feed->news->len; i++) {
        const struct news *news = &g_array_index(feed->news, struct news, i);
        const struct entry *entry =
            news->removed != 0 ? NULL
                               : g_hash_table_lookup(feed->entries, news->key);
        if ((entry != NULL || news->removed != 0) &&
            (news->for_all || !for_all)) {
            fill_told(&telling->entries[telling->roster.n_entries++],
                      news->key, entry, news->removed);
        }
    }
}

/* Sends a message to live nodes: to those that order engines, or the others.
 * Lock held. */
static void
telling_send(const struct telling *telling, const struct ch_roster *roster,
             GPtrArray *orderers, bool for_all)
{
    char **live = ch_peers_live(roster->node->peers);
    for (size_t i = 0; live[i] != NULL; i++) {
        Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
        bool orders = g_ptr_array_find_with_equal_func(orderers, live[i],
                                                       g_str_equal, NULL);
        frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
        frame.roster = (Chestnuthitch__Wire__Roster *)&telling->roster;
        if (orders != for_all &&
            strcmp(live[i], roster->node->settings->name) != 0) {
            ch_peers_send(roster->node->peers, live[i], &frame);
        }
    }
    g_strfreev(live);
}

/* Tells live nodes what is new, or that nothing is; on nodes that watch.  On
 * the others what is new was told to them.  Lock held. */
static void
tell_news(struct feed *feed, GPtrArray *orderers, int64_t now)
{
    struct telling telling;
    bool all = now >= feed->tell_at || has_news_for_all(feed);
    if (all || feed->news->len > 0) {
        telling_fill(&telling, feed, false);
        telling_send(&telling, feed->roster, orderers, false);
        telling_clear(&telling);
        feed->orderers_at = feed->at;
    }
    if (all) {
        telling_fill(&telling, feed, true);
        telling_send(&telling, feed->roster, orderers, true);
        telling_clear(&telling);
        feed->told_at = feed->at;
        feed->tell_at = now + TELL_AGAIN;
    }
}

/* Tells others, on nodes that watch.  Lock not held. */
static void
tell_others(struct feed *feed, bool watcher, int64_t now)
{
    struct ch_roster *roster = feed->roster;
    GPtrArray *orderers = g_ptr_array_new_with_free_func(g_free);
    if (watcher && roster->orderers != NULL) {
        roster->orderers(roster->orderers_data, orderers);
    }
    pthread_mutex_lock(&roster->lock);
    if (!watcher) {
        feed->told_at = feed->at;
        feed->orderers_at = feed->at;
    }
    else if (feed->known) {
        tell_news(feed, orderers, now);
    }
    if (!watcher || feed->known) {
        g_array_set_size(feed->news, 0);
    }
    pthread_mutex_unlock(&roster->lock);
    g_ptr_array_free(orderers, TRUE);
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
    json_builder_set_member_name(builder, "capacity");
    json_builder_add_int_value(builder, ch_settings_capacity(settings));
    json_builder_end_object(builder);
    return ch_json_print(builder);
}

/* Notes how a call for the own entry went, and when the next may begin: not
 * all nodes at once after an outage that they all saw.  Lock held. */
static void
end_own(struct ch_roster *roster, enum ch_code code)
{
    roster->writing = false;
    if (code == CH_OK || code == CH_KV_CONFLICT || code == CH_KV_MISSING) {
        roster->own_pause = 0;
        return;
    }
    struct ch_node *node = roster->node;
    g_auto(GStrv) live = ch_peers_live(node->peers);
    int64_t most = (int64_t)OWN_PAUSE_EACH * g_strv_length(live);
    most = CLAMP(most, MOST_PAUSE, NODE_RENEWAL);
    roster->own_pause = CLAMP(roster->own_pause * 2, FIRST_PAUSE, most);
    roster->own_not_before =
        ch_client_now(node->client) +
        (int64_t)(g_random_double_range(0.5, 1.5) * (double)roster->own_pause);
}

/* The entry was written, or another is in the way: an earlier process of this
 * node left it, and it is written over next time. */
static void
own_written(void *data, const struct ch_kv_answer *answer)
{
    struct ch_roster *roster = data;
    pthread_mutex_lock(&roster->lock);
    end_own(roster, answer->code);
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
    end_own(roster, answer->code);
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
    bool paused = roster->own_pause > 0 && now < roster->own_not_before;
    bool due = !roster->writing && !roster->leaving && !paused &&
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
        ch_kv_call_put_leased(node, key, value, strlen(value), revision, lease,
                              own_written, roster);
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
    bool watcher = is_watcher(roster);
    begin_call(&roster->upstreams, watcher);
    begin_call(&roster->nodes, watcher);
    tell_others(&roster->upstreams, watcher, now);
    tell_others(&roster->nodes, watcher, now);
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

/* See roster.h. */
void
ch_roster_set_orderers(struct ch_roster *roster,
                       void (*names)(void *data, GPtrArray *names), void *data)
{
    roster->orderers = names;
    roster->orderers_data = data;
}

/* See roster.h. */
void
ch_roster_refresh(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    roster->upstreams.at = 0;
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
    feed->removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    feed->news = g_array_new(FALSE, FALSE, sizeof(struct news));
    ch_bucket_init(&feed->watches, WATCH_RATE, WATCH_BURST,
                   ch_client_now(roster->node->client));
    g_array_set_clear_func(feed->news, clear_news);
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
    ch_peers_handle(node->peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER,
                    handle_roster, roster);
    ch_peers_handle(node->peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL,
                    handle_pull, roster);
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
