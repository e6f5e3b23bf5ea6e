/* What the nodes that watch tell the others. */

#include "node/pack.h"
#include "node/roster_internal.h"
#include "wire/wire.h"

#include <string.h>

enum {
    /* What is new is told at the next tick; this often when nothing is, so
     * that the others know that they miss nothing. */
    TELL_AGAIN = 1000 * 1000,
    PULL_LIMIT = 1500 * 1000,
    /* Shorter messages are not worth packing. */
    LEAST_PACKED = 600,
};

/* The entries of a packed message, to be freed; NULL: it is damaged, which is
 * logged. */
static Chestnuthitch__Wire__Roster *
unpack(const struct ch_roster *roster, const ProtobufCBinaryData *packed)
{
    struct ch_error error = {0};
    size_t length = 0;
    char *bytes = ch_unpack(packed->data, packed->len, CH_WIRE_MOST_BYTES,
                            &length, &error);
    Chestnuthitch__Wire__Roster *entries = NULL;
    if (bytes != NULL) {
        entries = chestnuthitch__wire__roster__unpack(NULL, length,
                                                      (uint8_t *)bytes);
    }
    if (entries == NULL) {
        ch_metrics_count(roster->node->client->metrics, CH_COUNT_FRAMES_BAD,
                         1);
        ch_log(roster->node->client, CH_LOG_WARNING, "bad-entries",
               CH_F_STR("message",
                        bytes == NULL ? error.message : "they do not decode"),
               CH_F_END);
    }
    g_free(bytes);
    return entries;
}

/* Takes the entries of a message. */
static void
take_entries(struct feed *feed, const Chestnuthitch__Wire__Roster *roster)
{
    for (size_t i = 0; i < roster->n_entries; i++) {
        const Chestnuthitch__Wire__RosterEntry *told = roster->entries[i];
        if (told->removed) {
            feed_take_removal(feed, told->key, told->revision);
            continue;
        }
        const struct ch_kv_entry entry = {
            .key = told->key,
            .value = (char *)told->value.data,
            .length = told->value.len,
            .revision = told->revision,
        };
        feed_put(feed, &entry);
    }
}

/* What came of a message. */
enum taken {
    TAKEN_NOTHING, /* new */
    TAKEN_NEWS,
    TAKEN_DAMAGED,
};

/* Takes what another node told.  Lock held. */
static enum taken
take_told(struct feed *feed, const Chestnuthitch__Wire__Roster *roster,
          int64_t now)
{
    uint64_t before = feed->changes;
    if (roster->packed.len > 0) {
        Chestnuthitch__Wire__Roster *entries =
            unpack(feed->roster, &roster->packed);
        if (entries == NULL) {
            return TAKEN_DAMAGED;
        }
        take_entries(feed, entries);
        chestnuthitch__wire__roster__free_unpacked(entries, NULL);
    }
    take_entries(feed, roster);
    feed->heard = now;
    return feed->changes > before ? TAKEN_NEWS : TAKEN_NOTHING;
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

/* All that another node knows, or nothing. */
static void
pull_done(void *data, enum ch_code code,
          const Chestnuthitch__Wire__Frame *reply)
{
    struct feed *feed = data;
    struct ch_roster *roster = feed->roster;
    /* A node that knows nothing yet says so by the revision. */
    bool good = code == CH_OK && reply != NULL &&
                reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER &&
                reply->roster->at != 0;
    enum taken taken = TAKEN_NOTHING;
    pthread_mutex_lock(&roster->lock);
    feed->pulling = false;
    if (good) {
        taken = take_told(feed, reply->roster,
                          ch_client_now(roster->node->client));
    }
    if (good && taken != TAKEN_DAMAGED) {
        feed->at = MAX(feed->at, reply->roster->at);
        feed->known = true;
    }
    pthread_mutex_unlock(&roster->lock);
    if (taken == TAKEN_NEWS) {
        roster_tell_users(feed);
    }
    roster_unref(roster);
}

/* See roster_internal.h. */
void
feed_pull(struct feed *feed, const char *from)
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
    pull.unpacks = true;
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
    enum taken taken =
        take_told(feed, told, ch_client_now(roster->node->client));
    bool missed =
        !feed->known || told->since > feed->at || taken == TAKEN_DAMAGED;
    if (!missed) {
        feed->at = MAX(feed->at, told->at);
    }
    pthread_mutex_unlock(&roster->lock);
    if (taken == TAKEN_NEWS) {
        roster_tell_users(feed);
    }
    if (missed) {
        feed_pull(feed, frame->from);
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
    /* The same with its entries packed, for nodes that unpack it. */
    Chestnuthitch__Wire__Roster packed;
    GBytes *bytes; /* NULL: it is not worth it */
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
    g_bytes_unref(telling->bytes);
    telling->bytes = NULL;
}

/* Packs the entries once all are in. */
static void
telling_pack(struct telling *telling)
{
    Chestnuthitch__Wire__Roster entries = CHESTNUTHITCH__WIRE__ROSTER__INIT;
    gsize packed = 0;
    entries.n_entries = telling->roster.n_entries;
    entries.entries = telling->roster.entries;
    telling->bytes = NULL;
    telling->packed = telling->roster;
    size_t length = chestnuthitch__wire__roster__get_packed_size(&entries);
    if (length < LEAST_PACKED) {
        return;
    }
    uint8_t *bytes = g_malloc(length);
    chestnuthitch__wire__roster__pack(&entries, bytes);
    telling->bytes = ch_pack(bytes, length);
    g_free(bytes);
    telling->packed.n_entries = 0;
    telling->packed.entries = NULL;
    telling->packed.packed.data =
        (uint8_t *)g_bytes_get_data(telling->bytes, &packed);
    telling->packed.packed.len = packed;
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
    telling.roster.at = feed->known ? feed->at : 0;
    g_hash_table_iter_init(&iterator, feed->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        fill_told(&telling.entries[telling.roster.n_entries++], key, value, 0);
    }
    reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    telling_pack(&telling);
    reply.roster =
        frame->roster_pull->unpacks ? &telling.packed : &telling.roster;
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
    telling_pack(telling);
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
        frame.roster =
            (Chestnuthitch__Wire__Roster *)(ch_peers_unpacks(
                                                roster->node->peers, live[i])
                                                ? &telling->packed
                                                : &telling->roster);
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
    bool all = now >= feed->tell_at || feed_has_news_for_all(feed);
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
void
roster_tell(struct feed *feed, bool watcher, int64_t now)
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

/* See roster_internal.h. */
void
roster_tell_init(struct ch_roster *roster)
{
    struct ch_peers *peers = roster->node->peers;
    ch_peers_handle(peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER,
                    handle_roster, roster);
    ch_peers_handle(peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL,
                    handle_pull, roster);
}
