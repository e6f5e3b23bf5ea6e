/*
 * The upstreams and nodes that describe themselves in the key-value store. A
 * few nodes, the watchers, watch the store and send the changes to all others,
 * each entry with its revision, so that an entry is never replaced by an older
 * one. A watch from every node would cost the store one call per node at each
 * change, and joining nodes change the list themselves, so that the calls
 * would grow with the square of the fleet. Each node knows how old its copy
 * is, and becomes a watcher itself when the others do not keep it current.
 */

#include "node/kv_call.h"
#include "node/roster_internal.h"

#include <string.h>

enum {
    TICK_US = 100 * 1000,
    MIN_BACKOFF_US = 250 * 1000,
    MAX_BACKOFF_US = 2 * 1000 * 1000,
    /* Longest backoff of a node that watches in place of others, for each live
     * node. While no node of a region reaches the key-value store, it keeps
     * their calls at some twenty a second, whatever their number. */
    BACKOFF_US_PER_NODE = 50 * 1000,
    /* Nodes change less often than upstreams, and a node that is gone is found
     * by its silence. */
    NODES_BOUND_FACTOR = 2,
    /*
     * A node reads the other nodes' entries this long after it wrote its own,
     * and at the latest MAX_FIRST_READ_DELAY_US after its start. So nodes that
     * start at the same time find one another; without the delay each of them
     * finds itself alone, and reads, watches and publishes everything itself,
     * which is the role of a few nodes. A node whose earlier process is still
     * listed need not wait, since the other nodes are still listed too.
     */
    FIRST_READ_DELAY_US = 400 * 1000,
    MAX_FIRST_READ_DELAY_US = 800 * 1000,
    /* The key-value store counts as unavailable when it has returned no list
     * this long after the start. */
    STORE_TIMEOUT_US = 1000 * 1000,
    /* How often other nodes are asked for unknown lists. */
    PEER_REQUEST_INTERVAL_US = 500 * 1000,
    /* A node that received no upstreams this long after its start reads them
     * from the store. */
    FIRST_MESSAGE_TIMEOUT_US = 3000 * 1000,
    /* A node that has just read the list and is not listed itself waits this
     * long before it watches; by then it knows which other nodes exist. */
    FIRST_WATCH_DELAY_US = 1500 * 1000,
    /*
     * Entries expire while the key-value store is unavailable, and their
     * owners write them again within two seconds of its return, as the
     * platform specifies. Until then a vanished entry is still used. A
     * draining upstream must get no new requests after three seconds; the
     * 0.8 seconds left are for publishing the change.
     */
    EXPIRED_UPSTREAM_GRACE_US = 2200 * 1000,
    /* Peers still ask a node that is no longer listed for this long, for the
     * same reason. */
    EXPIRED_NODE_GRACE_US = 15 * 1000 * 1000,
};

/*
 * Watches that return changes, for each watcher: per second, and in a burst. A
 * watch ends at its first event, and dozens of engines that change their
 * models cause several events a second for as long as demand moves; each event
 * would cost a call. The burst lets a few watches follow one another at once,
 * since a crash and its consequences arrive as a few events: a pause of 0.3 s
 * after each event cost a fleet of seven nodes 0.03 of its score.
 */
static const double WATCHES_PER_S = 3.3;
static const double WATCH_BURST = 10;

/* ---- references ---- */

/* See roster_internal.h. */
struct ch_roster *
roster_ref(struct ch_roster *roster)
{
    g_atomic_int_inc(&roster->references);
    return roster;
}

/* See roster_internal.h. */
void
roster_unref(struct ch_roster *roster)
{
    if (!g_atomic_int_dec_and_test(&roster->references)) {
        return;
    }
    roster_list_clear(&roster->upstreams);
    roster_list_clear(&roster->nodes);
    g_hash_table_destroy(roster->unreadable_keys);
    pthread_mutex_destroy(&roster->lock);
    g_free(roster);
}

/* ---- users ---- */

/* Passes the list of nodes to the peers. */
static void
update_peers(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    guint count = g_hash_table_size(roster->nodes.entries);
    struct ch_host_list list = {g_new0(struct ch_host, count + 1), 0};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, roster->nodes.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct roster_entry *entry = value;
        list.hosts[list.count++] = entry->host; /* borrows the strings */
    }
    ch_peers_update_list(roster->node->peers, &list);
    pthread_mutex_unlock(&roster->lock);
    g_free(list.hosts);
}

/* See roster_internal.h. */
void
roster_notify_users(struct roster_list *list)
{
    if (list == &list->roster->nodes) {
        update_peers(list->roster);
    }
    list->roster->changed(list->roster->data);
}

/* ---- calls ---- */

/* Whether this node watches the list now. */
static bool
update_watcher(struct roster_list *list, int64_t now)
{
    struct ch_roster *roster = list->roster;
    size_t rank = ch_peers_get_rank(
        roster->node->peers, ch_hash_string("roster-watch"), NULL, NULL);
    pthread_mutex_lock(&roster->lock);
    bool was_substitute = list->freshness.is_substitute;
    bool watcher = ch_freshness_update(&list->freshness, rank, now);
    bool reaches_store = ch_freshness_reaches_store(&list->freshness, now);
    bool is_substitute = list->freshness.is_substitute;
    list->rank = rank;
    pthread_mutex_unlock(&roster->lock);
    if (list == &roster->upstreams) {
        g_atomic_int_set(&roster->node->watch_duty, watcher && reaches_store
                                                        ? CH_WATCHES
                                                        : CH_WATCHES_NOT);
    }
    if (is_substitute != was_substitute) {
        ch_log(roster->node->client, CH_LOG_INFO, "list-substitute",
               CH_F_STR("prefix", list->prefix),
               CH_F_BOOL("watches", is_substitute),
               CH_F_INT("rank", (int64_t)rank), CH_F_END);
    }
    return watcher;
}

static void start_call(struct roster_list *list, bool watcher);

/* The longest pause after failed calls. Lock held. */
static int64_t
get_max_backoff(const struct roster_list *list)
{
    if (!list->freshness.is_substitute) {
        return MAX_BACKOFF_US;
    }
    g_auto(GStrv) live = ch_peers_list_live(list->roster->node->peers);
    return MAX((int64_t)BACKOFF_US_PER_NODE * g_strv_length(live),
               MAX_BACKOFF_US);
}

/* Records the result of a call and when the next may start. Lock held. */
static void
record_call_result(struct roster_list *list, enum ch_code code, int64_t now)
{
    list->call_in_flight = false;
    if (code == CH_OK || code == CH_KV_MISSING) {
        list->backoff = 0;
        return;
    }
    /*
     * After a failed watch the whole list is read again. A store that drops
     * its history also interrupts its watches, and may accept the next watch
     * from a revision before the gap without an error: an upstream that began
     * to drain within the gap would get requests until it is gone.
     */
    list->revision = 0;
    if (code == CH_KV_HISTORY_GONE) {
        return;
    }
    if (list->last_failure_at == 0 || list->backoff == 0) {
        ch_log(list->roster->node->client, CH_LOG_WARNING, "list-unreachable",
               CH_F_STR("prefix", list->prefix), CH_F_INT("code", code),
               CH_F_END);
    }
    list->last_failure_at = now;
    list->backoff =
        CLAMP(list->backoff * 2, MIN_BACKOFF_US, get_max_backoff(list));
    list->next_call_at = now + list->backoff;
}

/*
 * Time to wait after a watch that returned changes. Engines change their
 * models all the time where demand moves; without the delay each change would
 * cost a call. The watchers do not wait at the same times, so a change for all
 * nodes is still seen soon. Lock held.
 */
static int64_t
get_batch_delay(struct roster_list *list, int64_t now)
{
    if (!roster_list_has_change_for_all(list)) {
        return ch_freshness_get_batch_delay(&list->freshness);
    }
    return ch_token_bucket_take(&list->watch_bucket, 1, now)
               ? 0
               : (int64_t)(G_USEC_PER_SEC / WATCHES_PER_S);
}

/* Applies the result of a range call (is_full_read) or a watch, and starts the
 * next call; on the pool. */
static void
handle_call_result(struct roster_list *list, const struct ch_kv_range *range,
                   bool is_full_read)
{
    struct ch_roster *roster = list->roster;
    int64_t now = ch_client_get_time(roster->node->client);
    bool is_current = range->code == CH_OK || range->code == CH_KV_MISSING;
    pthread_mutex_lock(&roster->lock);
    ch_store_contact_record(
        &list->contact, is_current || range->code == CH_KV_HISTORY_GONE, now);
    if (is_full_read && range->code == CH_OK) {
        uint64_t era = ch_era_get_era(range->revision);
        if (list->known && era > list->era) {
            ch_store_contact_record_return(&list->contact, now);
        }
        list->era = era;
        bool read_before_listed = !list->known && roster->first_listed_at == 0;
        list->next_call_at =
            read_before_listed ? now + FIRST_WATCH_DELAY_US : 0;
        roster_list_apply_range(list, range, now);
    }
    else if (range->code == CH_OK) {
        roster_list_apply_changes(list, range, now);
        list->next_call_at = now + get_batch_delay(list, now);
    }
    if (is_current) {
        list->revision = MAX(list->revision, range->revision);
        list->confirmation_unpublished = true;
        ch_freshness_confirm(&list->freshness,
                             is_full_read
                                 ? list->call_sent_at
                                 : ch_freshness_get_watch_time(
                                       list->call_sent_at, list->watch_wait,
                                       range->code == CH_OK, now));
    }
    record_call_result(list, range->code, now);
    pthread_mutex_unlock(&roster->lock);
    if (range->code == CH_OK) {
        if (list == &roster->nodes) {
            update_peers(roster);
        }
        roster->changed(roster->data);
    }
    start_call(list, update_watcher(list, now));
    roster_unref(roster);
}

static void
handle_range(void *data, const struct ch_kv_range *range)
{
    handle_call_result(data, range, true);
}

static void
handle_changes(void *data, const struct ch_kv_range *range)
{
    handle_call_result(data, range, false);
}

/* Whether a list that is not known yet may be read now. Lock held. */
static bool
may_read_first(const struct roster_list *list, bool watcher, int64_t now)
{
    const struct ch_roster *roster = list->roster;
    if (list == &roster->nodes) {
        return roster->restarted ||
               (roster->first_listed_at != 0 &&
                now - roster->first_listed_at >= FIRST_READ_DELAY_US) ||
               now - roster->started_at >= MAX_FIRST_READ_DELAY_US;
    }
    return (roster->nodes.known && watcher) ||
           now - roster->started_at >= FIRST_MESSAGE_TIMEOUT_US;
}

/* On a watcher, starts a watch, or a range call when changes may have been
 * missed; on another node a range call when the list is unknown or to be read
 * again. Nothing is started while a call is in progress or a backoff or delay
 * has not ended. */
static void
start_call(struct roster_list *list, bool watcher)
{
    struct ch_roster *roster = list->roster;
    int64_t now = ch_client_get_time(roster->node->client);
    pthread_mutex_lock(&roster->lock);
    if (watcher && !list->was_watcher && list->known) {
        list->revision = 0; /* a range call returns whatever was missed */
    }
    list->was_watcher = watcher;
    uint64_t revision = list->revision;
    bool may_start = !roster->stopped && !list->call_in_flight &&
                     now >= list->next_call_at && (watcher || revision == 0) &&
                     (list->known || may_read_first(list, watcher, now));
    int64_t wait =
        ch_freshness_get_wait(&list->freshness, g_random_double(), now);
    if (may_start) {
        list->call_in_flight = true;
        list->call_sent_at = now;
        list->watch_wait = wait;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!may_start) {
        return;
    }
    if (revision == 0) {
        ch_kv_call_range(roster->node, list->prefix, handle_range, list);
    }
    else {
        ch_kv_call_watch_changes(roster->node, list->prefix, revision, wait,
                                 handle_changes, list);
    }
}

/* ---- the tick ---- */

/* The list to request from another node because this node does not know it;
 * NULL: none. Watchers read the store instead, unless it does not respond.
 * Lock held. */
static struct roster_list *
find_list_to_request(struct ch_roster *roster, bool watcher, int64_t now)
{
    bool store_timed_out = now - roster->started_at >= STORE_TIMEOUT_US;
    if (roster->stopped || now < roster->next_list_request_at) {
        return NULL;
    }
    if (!roster->nodes.known) {
        return store_timed_out ? &roster->nodes : NULL;
    }
    return !roster->upstreams.known && (store_timed_out || !watcher)
               ? &roster->upstreams
               : NULL;
}

/* Requests an unknown list from a random other node, preferably in the same
 * data centre. So a node that starts in a running fleet knows the list at
 * once, even while the key-value store is unavailable. */
static void
request_unknown_list(struct ch_roster *roster, bool watcher, int64_t now)
{
    pthread_mutex_lock(&roster->lock);
    struct roster_list *list = find_list_to_request(roster, watcher, now);
    if (list != NULL) {
        roster->next_list_request_at = now + PEER_REQUEST_INTERVAL_US;
    }
    pthread_mutex_unlock(&roster->lock);
    if (list == NULL) {
        return;
    }
    GPtrArray *local = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *remote = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(roster->node->peers, local, remote);
    const GPtrArray *candidates = local->len > 0 ? local : remote;
    if (candidates->len > 0) {
        guint index = (guint)g_random_int_range(0, (gint32)candidates->len);
        roster_list_request(list, g_ptr_array_index(candidates, index));
    }
    g_ptr_array_free(local, TRUE);
    g_ptr_array_free(remote, TRUE);
}

/* Logs when a list has become older than it may be, and when it is current
 * again. */
static void
log_age(struct roster_list *list, int64_t now)
{
    struct ch_client *client = list->roster->node->client;
    pthread_mutex_lock(&list->roster->lock);
    bool changed = ch_freshness_update_late(&list->freshness, now);
    bool is_late = list->freshness.is_late;
    int64_t age = ch_freshness_get_age(&list->freshness, now);
    pthread_mutex_unlock(&list->roster->lock);
    if (!changed) {
        return;
    }
    if (is_late && client->metrics != NULL) {
        ch_metrics_add_count(client->metrics, CH_COUNT_LISTS_LATE, 1);
    }
    ch_log(client, is_late ? CH_LOG_WARNING : CH_LOG_NOTICE,
           is_late ? "list-late" : "list-current",
           CH_F_STR("prefix", list->prefix), CH_F_INT("age_ms", age / 1000),
           CH_F_INT("bound_ms", list->freshness.bound / 1000), CH_F_END);
}

/* Starts the calls that are due, publishes changes, removes expired entries
 * and maintains this node's own entry. */
static void
tick(void *data)
{
    struct ch_roster *roster = data;
    int64_t now = ch_client_get_time(roster->node->client);
    bool watches_upstreams = update_watcher(&roster->upstreams, now);
    bool watches_nodes = update_watcher(&roster->nodes, now);
    start_call(&roster->upstreams, watches_upstreams);
    start_call(&roster->nodes, watches_nodes);
    request_unknown_list(roster, watches_upstreams, now);
    roster_publish(&roster->upstreams, watches_upstreams);
    roster_publish(&roster->nodes, watches_nodes);
    log_age(&roster->upstreams, now);
    roster_update_own_entry(roster, now);
    pthread_mutex_lock(&roster->lock);
    bool upstreams_removed =
        roster_list_remove_expired(&roster->upstreams, now);
    bool nodes_removed = roster_list_remove_expired(&roster->nodes, now);
    bool continues = !roster->stopped;
    if (continues) {
        roster->timer =
            ch_timers_add(roster->node->timers, TICK_US, tick, roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (nodes_removed) {
        update_peers(roster);
    }
    if (upstreams_removed) {
        roster->changed(roster->data);
    }
    if (!continues) {
        roster_unref(roster);
    }
}

/* ---- queries ---- */

/* See roster.h. */
bool
ch_roster_is_known(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    bool known = roster->upstreams.known;
    pthread_mutex_unlock(&roster->lock);
    return known;
}

/* See roster.h. */
int64_t
ch_roster_get_age(struct ch_roster *roster)
{
    int64_t now = ch_client_get_time(roster->node->client);
    pthread_mutex_lock(&roster->lock);
    int64_t age = ch_freshness_get_age(&roster->upstreams.freshness, now);
    pthread_mutex_unlock(&roster->lock);
    return age;
}

/* See roster.h. */
bool
ch_roster_may_call(struct ch_roster *roster, const char *upstream,
                   uint64_t boot_id)
{
    g_autofree char *key =
        g_strconcat(roster->upstreams.prefix, upstream, NULL);
    pthread_mutex_lock(&roster->lock);
    const struct roster_entry *entry =
        g_hash_table_lookup(roster->upstreams.entries, key);
    bool may_call = entry != NULL && !entry->host.draining &&
                    entry->host.boot_id == boot_id;
    pthread_mutex_unlock(&roster->lock);
    return may_call;
}

/* See roster.h. */
void
ch_roster_foreach(struct ch_roster *roster,
                  void (*each)(void *data, const struct ch_host *host),
                  void *data)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&roster->lock);
    g_hash_table_iter_init(&iterator, roster->upstreams.entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct roster_entry *entry = value;
        struct ch_host host = entry->host; /* borrows the strings */
        host.draining = host.draining ||
                        ch_notices_is_draining(roster->node->notices,
                                               g_quark_from_string(host.name),
                                               host.boot_id);
        each(data, &host);
    }
    pthread_mutex_unlock(&roster->lock);
}

/* See roster.h. */
void
ch_roster_set_lease_holders(struct ch_roster *roster,
                            void (*names)(void *data, GPtrArray *names),
                            void *data)
{
    roster->list_lease_holders = names;
    roster->lease_holders_data = data;
}

/* See roster.h. */
void
ch_roster_refresh(struct ch_roster *roster)
{
    pthread_mutex_lock(&roster->lock);
    roster->upstreams.revision = 0;
    pthread_mutex_unlock(&roster->lock);
}

/* ---- lifetime ---- */

/* A roster with empty lists; node must outlive it. */
struct ch_roster *
ch_roster_new(struct ch_node *node, void (*changed)(void *data), void *data)
{
    struct ch_roster *roster = g_new0(struct ch_roster, 1);
    roster->node = node;
    roster->changed = changed;
    roster->data = data;
    roster->references = 1;
    roster->unreadable_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    pthread_mutex_init(&roster->lock, NULL);
    int64_t age_bound = (int64_t)node->settings->upstream_drain_ms * 1000;
    roster_list_init(&roster->upstreams, roster, node->dialect->hosts_prefix,
                     EXPIRED_UPSTREAM_GRACE_US, age_bound);
    roster_list_init(&roster->nodes, roster, NODES_PREFIX,
                     EXPIRED_NODE_GRACE_US, NODES_BOUND_FACTOR * age_bound);
    ch_token_bucket_init(&roster->upstreams.watch_bucket, WATCHES_PER_S,
                         WATCH_BURST, ch_client_get_time(node->client));
    ch_token_bucket_init(&roster->nodes.watch_bucket, WATCHES_PER_S,
                         WATCH_BURST, ch_client_get_time(node->client));
    roster_publish_init(roster);
    return roster;
}

/* Starts reading, watching, and registering this node. */
void
ch_roster_start(struct ch_roster *roster)
{
    roster->started_at = ch_client_get_time(roster->node->client);
    ch_pool_submit(roster->node->pool, tick, roster_ref(roster));
}

/* Stops the tick; calls in progress end by themselves. */
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

/* Drops the owner's reference. */
void
ch_roster_free(struct ch_roster *roster)
{
    if (roster != NULL) {
        roster_unref(roster);
    }
}
