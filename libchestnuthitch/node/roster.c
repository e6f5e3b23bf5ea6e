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

#include "node/kv_call.h"
#include "node/roster_internal.h"

#include <string.h>

enum {
    TICK = 100 * 1000,
    /* As long as a leaving upstream may get new work, less what it takes to
     * tell of it: see the configuration's watches for why they are short. */
    LEAST_WATCH = 1500 * 1000,
    MOST_WATCH = 2500 * 1000,
    FIRST_PAUSE = 250 * 1000,
    MOST_PAUSE = 2 * 1000 * 1000,
    /* After a watch that brought nothing that is for all nodes, the next one
     * begins this much later and brings what came meanwhile.  Engines change
     * their models all the time where demand moves; three nodes that watch do
     * not pause together, so that what is for all is seen soon. */
    GATHER = 1000 * 1000,
    /* Nodes that watch: three, so that one lost and one paused leave one. */
    WATCHERS = 3,
    /* A node that was told nothing for so long reads by itself, this often:
     * three messages that did not come. */
    UNTOLD = 3000 * 1000,
    /*
     * A node reads the others' entries this long after it wrote its own, and
     * this long after its start at the latest.  Nodes that start at the same
     * time know of one another then; without the wait each of them finds
     * itself alone, and reads, watches and tells all that a few do for all.
     * One whose earlier process is still listed need not wait: so are those of
     * the others.
     */
    ENTER = 400 * 1000,
    MOST_ENTER = 800 * 1000,
    /* The service is taken to be away when it gave no list this long after the
     * start. */
    SERVICE_LATE = 1000 * 1000,
    /* Others are asked this often for what is not known. */
    ASK_AGAIN = 500 * 1000,
    /* A node that was told of no upstreams this long after its start reads
     * them by itself. */
    FIRST_UNTOLD = 3000 * 1000,
    /* A node that has just read and is not listed itself waits for this long
     * before it watches: by then it knows who else is there. */
    SETTLE = 1500 * 1000,
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

/* ---- ownership ---- */

/* One more owner: a call or timer under way. */
struct ch_roster *
roster_ref(struct ch_roster *roster)
{
    g_atomic_int_inc(&roster->references);
    return roster;
}

/* One owner less; the last frees it. */
void
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

/* ---- users ---- */

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

/* Tells who uses the list that it has changed. */
void
roster_tell_users(struct feed *feed)
{
    if (feed == &feed->roster->nodes) {
        tell_peers(feed->roster);
    }
    feed->roster->changed(feed->roster->data);
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
    if (!feed_has_news_for_all(feed)) {
        return GATHER;
    }
    return ch_token_bucket_take(&feed->watches, 1, now)
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
        bool alone = !feed->known && roster->listed_at == 0;
        feed->not_before = alone ? now + SETTLE : 0;
        feed->heard = now;
        feed_take_all(feed, range, now);
    }
    else if (range->code == CH_OK) {
        feed_take_changes(feed, range, now);
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

/* Whether a feed that is not known may be read now.  Lock held. */
static bool
may_read_first(const struct feed *feed, bool watcher, int64_t now)
{
    const struct ch_roster *roster = feed->roster;
    if (feed == &roster->nodes) {
        return roster->returns ||
               (roster->listed_at != 0 && now - roster->listed_at >= ENTER) ||
               now - roster->started >= MOST_ENTER;
    }
    return (roster->nodes.known && watcher) ||
           now - roster->started >= FIRST_UNTOLD;
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
                 now >= feed->not_before && (watcher || at == 0) &&
                 (feed->known || may_read_first(feed, watcher, now));
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

/* ---- the tick ---- */

/* What is to be asked of another node, as it is not known here; NULL: nothing.
 * Who watches reads the service, unless that does not answer.  Lock held. */
static struct feed *
feed_to_ask(struct ch_roster *roster, bool watcher, int64_t now)
{
    bool late = now - roster->started >= SERVICE_LATE;
    if (roster->stopped || now < roster->ask_at) {
        return NULL;
    }
    if (!roster->nodes.known) {
        return late ? &roster->nodes : NULL;
    }
    return !roster->upstreams.known && (late || !watcher) ? &roster->upstreams
                                                          : NULL;
}

/* Asks one of the others for what this node does not know: one that starts in
 * a fleet that runs knows it so at once, and while the service is away. */
static void
ask_first(struct ch_roster *roster, bool watcher, int64_t now)
{
    pthread_mutex_lock(&roster->lock);
    struct feed *feed = feed_to_ask(roster, watcher, now);
    if (feed != NULL) {
        roster->ask_at = now + ASK_AGAIN;
    }
    pthread_mutex_unlock(&roster->lock);
    if (feed == NULL) {
        return;
    }
    GPtrArray *near = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *far = g_ptr_array_new_with_free_func(g_free);
    ch_peers_others(roster->node->peers, near, far);
    const GPtrArray *from = near->len > 0 ? near : far;
    if (from->len > 0) {
        guint at = (guint)g_random_int_range(0, (gint32)from->len);
        feed_pull(feed, g_ptr_array_index(from, at));
    }
    g_ptr_array_free(near, TRUE);
    g_ptr_array_free(far, TRUE);
}

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
    ask_first(roster, watcher, now);
    roster_tell(&roster->upstreams, watcher, now);
    roster_tell(&roster->nodes, watcher, now);
    roster_keep_own(roster, now);
    pthread_mutex_lock(&roster->lock);
    bool dropped = feed_drop_gone(&roster->upstreams, now);
    bool nodes_dropped = feed_drop_gone(&roster->nodes, now);
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
    ch_token_bucket_init(&roster->upstreams.watches, WATCH_RATE, WATCH_BURST,
                         ch_client_now(node->client));
    ch_token_bucket_init(&roster->nodes.watches, WATCH_RATE, WATCH_BURST,
                         ch_client_now(node->client));
    roster_tell_init(roster);
    return roster;
}

/* Begins to read, watch and be listed. */
void
ch_roster_start(struct ch_roster *roster)
{
    roster->started = ch_client_now(roster->node->client);
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
