/* Messages between nodes: watchers publish changes of the roster. */

#include "node/compress.h"
#include "node/roster_internal.h"
#include "wire/wire.h"

#include <string.h>

enum {
    PULL_TIMEOUT_US = 1500 * 1000,
    /* Shorter messages are not worth packing. */
    MIN_PACKED_BYTES = 600,
};

/* The entries of a packed message, to be freed by the caller; NULL when it is
 * damaged, which is logged and counted. */
static Chestnuthitch__Wire__Roster *
unpack_entries(const struct ch_roster *roster,
               const ProtobufCBinaryData *packed)
{
    struct ch_error error = {0};
    size_t length = 0;
    char *bytes = ch_decompress(packed->data, packed->len,
                                CH_WIRE_MAX_FRAME_BYTES, &length, &error);
    Chestnuthitch__Wire__Roster *entries = NULL;
    if (bytes != NULL) {
        entries = chestnuthitch__wire__roster__unpack(NULL, length,
                                                      (uint8_t *)bytes);
    }
    if (entries == NULL) {
        ch_metrics_add_count(roster->node->client->metrics,
                             CH_COUNT_FRAMES_BAD, 1);
        ch_log(roster->node->client, CH_LOG_WARNING, "bad-entries",
               CH_F_STR("message", bytes == NULL
                                       ? error.message
                                       : "the entries do not decode"),
               CH_F_END);
    }
    g_free(bytes);
    return entries;
}

/* Applies the entries of a message, and adds their keys to `keys` (NULL: they
 * are not needed). Lock held. */
static void
apply_entries(struct roster_list *list,
              const Chestnuthitch__Wire__Roster *roster, GHashTable *keys)
{
    for (size_t i = 0; i < roster->n_entries; i++) {
        const Chestnuthitch__Wire__RosterEntry *wire_entry =
            roster->entries[i];
        if (keys != NULL) {
            g_hash_table_add(keys, g_strdup(wire_entry->key));
        }
        if (wire_entry->removed) {
            roster_list_apply_removal(list, wire_entry->key,
                                      wire_entry->revision);
            continue;
        }
        const struct ch_kv_entry entry = {
            .key = wire_entry->key,
            .value = (char *)wire_entry->value.data,
            .length = wire_entry->value.len,
            .revision = wire_entry->revision,
        };
        roster_list_put(list, &entry, false);
    }
}

/* The result of applying a message. */
enum apply_result {
    APPLY_UNCHANGED,
    APPLY_CHANGED,
    APPLY_DAMAGED,
};

/* Applies a message from another node; is_whole: it has all entries that the
 * node knows. Lock held. */
static enum apply_result
apply_message(struct roster_list *list,
              const Chestnuthitch__Wire__Roster *roster, bool is_whole)
{
    uint64_t previous_changes = list->change_count;
    g_autoptr(GHashTable) keys =
        is_whole ? g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)
                 : NULL;
    if (roster->packed.len > 0) {
        Chestnuthitch__Wire__Roster *entries =
            unpack_entries(list->roster, &roster->packed);
        if (entries == NULL) {
            return APPLY_DAMAGED;
        }
        apply_entries(list, entries, keys);
        chestnuthitch__wire__roster__free_unpacked(entries, NULL);
    }
    apply_entries(list, roster, keys);
    if (is_whole) {
        roster_list_remove_absent(list, keys, roster->at);
    }
    return list->change_count > previous_changes ? APPLY_CHANGED
                                                 : APPLY_UNCHANGED;
}

/* Records how old the list was at the sender of a message, after which this
 * node has all changes that the sender had. Lock held. */
static void
receive_age(struct roster_list *list,
            const Chestnuthitch__Wire__Roster *message, bool is_preceding)
{
    if (message->confirmed) {
        ch_freshness_receive(&list->freshness, (int64_t)message->age_ms * 1000,
                             is_preceding,
                             ch_client_get_time(list->roster->node->client));
    }
}

/* The list with a prefix; NULL: there is none. */
static struct roster_list *
find_list(struct ch_roster *roster, const char *prefix)
{
    if (strcmp(prefix, roster->upstreams.prefix) == 0) {
        return &roster->upstreams;
    }
    return strcmp(prefix, roster->nodes.prefix) == 0 ? &roster->nodes : NULL;
}

/* Applies another node's reply with the whole list. */
static void
handle_pull_reply(void *data, enum ch_code code,
                  const Chestnuthitch__Wire__Frame *reply)
{
    struct roster_list *list = data;
    struct ch_roster *roster = list->roster;
    /* Revision 0: that node does not know the list yet. */
    bool is_valid =
        code == CH_OK && reply != NULL &&
        reply->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER &&
        reply->roster->at != 0;
    enum apply_result result = APPLY_UNCHANGED;
    pthread_mutex_lock(&roster->lock);
    list->pull_in_flight = false;
    if (is_valid) {
        result = apply_message(list, reply->roster, true);
    }
    if (is_valid && result != APPLY_DAMAGED) {
        list->revision = MAX(list->revision, reply->roster->at);
        list->known = true;
        receive_age(list, reply->roster, false);
    }
    pthread_mutex_unlock(&roster->lock);
    if (result == APPLY_CHANGED) {
        roster_notify_users(list);
    }
    roster_unref(roster);
}

/* See roster_internal.h. */
void
roster_list_request(struct roster_list *list, const char *from)
{
    struct ch_roster *roster = list->roster;
    pthread_mutex_lock(&roster->lock);
    bool may_start = !list->pull_in_flight && !roster->stopped;
    if (may_start) {
        list->pull_in_flight = true;
        roster_ref(roster);
    }
    pthread_mutex_unlock(&roster->lock);
    if (!may_start) {
        return;
    }
    Chestnuthitch__Wire__RosterPull pull =
        CHESTNUTHITCH__WIRE__ROSTER_PULL__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    pull.prefix = list->prefix;
    pull.unpacks = true;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL;
    frame.roster_pull = &pull;
    ch_peers_request(roster->node->peers, from, &frame, PULL_TIMEOUT_US,
                     handle_pull_reply, list);
}

/* Handles a watcher's message. Requests the whole list when this node has
 * missed earlier changes or the message is damaged. */
static void
handle_roster(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_roster *roster = data;
    const Chestnuthitch__Wire__Roster *message = frame->roster;
    struct roster_list *list = find_list(roster, message->prefix);
    if (list == NULL ||
        strcmp(frame->from, roster->node->settings->name) == 0) {
        return;
    }
    pthread_mutex_lock(&roster->lock);
    enum apply_result result = apply_message(list, message, false);
    bool missed = !list->known || message->since > list->revision ||
                  result == APPLY_DAMAGED;
    if (!missed) {
        list->revision = MAX(list->revision, message->at);
        receive_age(list, message, message->rank < list->rank);
    }
    pthread_mutex_unlock(&roster->lock);
    if (result == APPLY_CHANGED) {
        roster_notify_users(list);
    }
    if (missed) {
        roster_list_request(list, frame->from);
    }
}

/* Fills in an entry of a message; the strings stay owned by the roster. Lock
 * held. */
static void
fill_entry(Chestnuthitch__Wire__RosterEntry *wire_entry, const char *key,
           const struct roster_entry *entry, uint64_t removed)
{
    chestnuthitch__wire__roster_entry__init(wire_entry);
    wire_entry->key = (char *)key;
    wire_entry->removed = entry == NULL;
    wire_entry->revision = entry == NULL ? removed : entry->revision;
    if (entry != NULL) {
        wire_entry->value.data = (uint8_t *)entry->value;
        wire_entry->value.len = entry->length;
    }
}

/* A message with entries of a list, and the arrays that it refers to. */
struct roster_message {
    Chestnuthitch__Wire__Roster roster;
    Chestnuthitch__Wire__RosterEntry *entries;
    Chestnuthitch__Wire__RosterEntry **pointers;
    /* The same with packed entries, for nodes that can unpack them. */
    Chestnuthitch__Wire__Roster packed;
    GBytes *bytes; /* NULL: not packed, as it is too short */
};

/* An empty message with space for max_entries. */
static void
message_init(struct roster_message *message, const struct roster_list *list,
             size_t max_entries)
{
    chestnuthitch__wire__roster__init(&message->roster);
    message->entries =
        g_new0(Chestnuthitch__Wire__RosterEntry, max_entries + 1);
    message->pointers =
        g_new0(Chestnuthitch__Wire__RosterEntry *, max_entries + 1);
    for (size_t i = 0; i < max_entries; i++) {
        message->pointers[i] = &message->entries[i];
    }
    message->roster.prefix = list->prefix;
    message->roster.at = list->revision;
    message->roster.entries = message->pointers;
    int64_t age = ch_freshness_get_age(
        &list->freshness, ch_client_get_time(list->roster->node->client));
    message->roster.confirmed = age != G_MAXINT64;
    message->roster.age_ms = (uint32_t)MIN(age / 1000, G_MAXUINT32);
    message->roster.rank = (uint32_t)list->rank;
}

static void
message_clear(struct roster_message *message)
{
    g_free(message->entries);
    g_free(message->pointers);
    g_bytes_unref(message->bytes);
    message->bytes = NULL;
}

/* Packs the entries; called after the last one was added. */
static void
message_pack(struct roster_message *message)
{
    Chestnuthitch__Wire__Roster entries = CHESTNUTHITCH__WIRE__ROSTER__INIT;
    gsize packed = 0;
    entries.n_entries = message->roster.n_entries;
    entries.entries = message->roster.entries;
    message->bytes = NULL;
    message->packed = message->roster;
    size_t length = chestnuthitch__wire__roster__get_packed_size(&entries);
    if (length < MIN_PACKED_BYTES) {
        return;
    }
    uint8_t *bytes = g_malloc(length);
    chestnuthitch__wire__roster__pack(&entries, bytes);
    message->bytes = ch_compress(bytes, length);
    g_free(bytes);
    message->packed.n_entries = 0;
    message->packed.entries = NULL;
    message->packed.packed.data =
        (uint8_t *)g_bytes_get_data(message->bytes, &packed);
    message->packed.packed.len = packed;
}

/* Replies with the whole list. */
static void
handle_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_roster *roster = data;
    struct roster_list *list = find_list(roster, frame->roster_pull->prefix);
    if (list == NULL) {
        return;
    }
    Chestnuthitch__Wire__Frame reply = CHESTNUTHITCH__WIRE__FRAME__INIT;
    struct roster_message message;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    pthread_mutex_lock(&roster->lock);
    message_init(&message, list, g_hash_table_size(list->entries));
    message.roster.at = list->known ? list->revision : 0;
    g_hash_table_iter_init(&iterator, list->entries);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        fill_entry(&message.entries[message.roster.n_entries++], key, value,
                   0);
    }
    reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    message_pack(&message);
    reply.roster =
        frame->roster_pull->unpacks ? &message.packed : &message.roster;
    ch_peers_reply(roster->node->peers, frame->from, frame->id, &reply);
    pthread_mutex_unlock(&roster->lock);
    message_clear(&message);
}

/* Adds the unpublished changes for all nodes or lease holders. Lock held. */
static void
message_fill(struct roster_message *message, const struct roster_list *list,
             bool for_all)
{
    message_init(message, list, list->unpublished->len);
    message->roster.since =
        for_all ? list->published_revision : list->holders_revision;
    for (guint i = 0; i < list->unpublished->len; i++) {
        const struct unpublished_change *change =
            &g_array_index(list->unpublished, struct unpublished_change, i);
        const struct roster_entry *entry =
            change->removal_revision != 0
                ? NULL
                : g_hash_table_lookup(list->entries, change->key);
        if ((entry != NULL || change->removal_revision != 0) &&
            (change->for_all_nodes || !for_all)) {
            fill_entry(&message->entries[message->roster.n_entries++],
                       change->key, entry, change->removal_revision);
        }
    }
    message_pack(message);
}

/* Sends a message to the live lease holders, or with for_all to all other live
 * nodes. Lock held. */
static void
message_send(const struct roster_message *message,
             const struct ch_roster *roster, GPtrArray *lease_holders,
             bool for_all)
{
    char **live = ch_peers_list_live(roster->node->peers);
    for (size_t i = 0; live[i] != NULL; i++) {
        Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
        bool is_lease_holder = g_ptr_array_find_with_equal_func(
            lease_holders, live[i], g_str_equal, NULL);
        frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
        frame.roster =
            (Chestnuthitch__Wire__Roster *)(ch_peers_can_decompress(
                                                roster->node->peers, live[i])
                                                ? &message->packed
                                                : &message->roster);
        if (is_lease_holder != for_all &&
            strcmp(live[i], roster->node->settings->name) != 0) {
            ch_peers_send(roster->node->peers, live[i], &frame);
        }
    }
    g_strfreev(live);
}

/* Sends the unpublished changes to live nodes, or an empty message after a
 * call that confirmed the list; only on watchers. Other nodes need not send:
 * they received the changes from watchers. Lock held. */
static void
publish_changes(struct roster_list *list, GPtrArray *lease_holders)
{
    struct roster_message message;
    bool publish_to_all =
        list->confirmation_unpublished || roster_list_has_change_for_all(list);
    if (publish_to_all || list->unpublished->len > 0) {
        message_fill(&message, list, false);
        message_send(&message, list->roster, lease_holders, false);
        message_clear(&message);
        list->holders_revision = list->revision;
    }
    if (publish_to_all) {
        message_fill(&message, list, true);
        message_send(&message, list->roster, lease_holders, true);
        message_clear(&message);
        list->published_revision = list->revision;
        list->confirmation_unpublished = false;
    }
}

/* See roster_internal.h. */
void
roster_publish(struct roster_list *list, bool watcher)
{
    struct ch_roster *roster = list->roster;
    GPtrArray *lease_holders = g_ptr_array_new_with_free_func(g_free);
    if (watcher && roster->list_lease_holders != NULL) {
        roster->list_lease_holders(roster->lease_holders_data, lease_holders);
    }
    pthread_mutex_lock(&roster->lock);
    if (!watcher) {
        list->published_revision = list->revision;
        list->holders_revision = list->revision;
    }
    else if (list->known) {
        publish_changes(list, lease_holders);
    }
    if (!watcher || list->known) {
        g_array_set_size(list->unpublished, 0);
    }
    pthread_mutex_unlock(&roster->lock);
    g_ptr_array_free(lease_holders, TRUE);
}

/* See roster_internal.h. */
void
roster_publish_init(struct ch_roster *roster)
{
    struct ch_peers *peers = roster->node->peers;
    ch_peers_set_handler(peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER,
                         handle_roster, roster);
    ch_peers_set_handler(peers, CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL,
                         handle_pull, roster);
}
