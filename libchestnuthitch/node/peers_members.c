/* Which nodes are live, and which of them is the home node of a key. */

#include "node/peers_internal.h"

#include <ck_pr.h>
#include <string.h>

enum {
    /*
     * The entry of a node expires 30 s after its last confirmation. From then
     * on other nodes take over what is shared between the listed nodes, so
     * this node must have given up its part before.
     */
    CONFIRMED_US = 25 * 1000 * 1000,
    /* Nodes that start together do so within this time by their clocks. */
    START_TOGETHER_MS = 3 * 1000,
    /* A node writes its entry anew within some calls of its start. */
    PREDECESSOR_CONFIRMS_US = 5 * 1000 * 1000,
};

/* The name of the home node, or this node's own name when home is NULL. */
static const char *
home_or_self(const struct ch_peers *peers, const char *home)
{
    return home != NULL ? home : peers->node->settings->name;
}

/* The node to ask as home node of an upstream; a new string. */
char *
ch_peers_find_upstream_home(struct ch_peers *peers, uint64_t key,
                            const char *region, const char *data_centre)
{
    pthread_mutex_lock(&peers->lock);
    char *home = g_strdup(
        home_or_self(peers, ch_members_find_ready_home(peers->members, key,
                                                       region, data_centre)));
    pthread_mutex_unlock(&peers->lock);
    return home;
}

/*
 * A node becomes home node when it has the highest weight and is ready; the
 * previous home node continues until its successor is ready. So a restarted
 * node learns from the previous home nodes which upstream holds which models
 * before it takes over, and the first ready node of a starting fleet does not
 * become home node of every upstream.
 */
bool
ch_peers_is_home(struct ch_peers *peers, uint64_t key, const char *region,
                 const char *data_centre, bool *becomes)
{
    pthread_mutex_lock(&peers->lock);
    const char *home = home_or_self(
        peers, ch_members_find_home(peers->members, key, region, data_centre));
    const char *ready_home =
        home_or_self(peers, ch_members_find_ready_home(peers->members, key,
                                                       region, data_centre));
    bool is_home = peers_is_self(peers, home);
    bool is_ready_home = peers_is_self(peers, ready_home);
    pthread_mutex_unlock(&peers->lock);
    *becomes = is_home && is_ready_home;
    return is_home || is_ready_home;
}

/* Whether a node is in this node's region; true for an unknown node. */
bool
ch_peers_is_same_region(struct ch_peers *peers, const char *name)
{
    pthread_mutex_lock(&peers->lock);
    const struct ch_member *member = ch_members_find(peers->members, name);
    bool is_near = member == NULL || member->region == NULL ||
                   strcmp(member->region, peers->node->settings->region) == 0;
    pthread_mutex_unlock(&peers->lock);
    return is_near;
}

/* See node.h. */
void
ch_peers_count(struct ch_peers *peers, const char *region,
               struct ch_peers_counts *counts)
{
    *counts = (struct ch_peers_counts){.live = 1};
    counts->live_in_region =
        strcmp(region, peers->node->settings->region) == 0 ? 1 : 0;
    pthread_mutex_lock(&peers->lock);
    size_t count = ch_members_get_count(peers->members);
    counts->listed = peers->members_listed ? count + 1 : 0;
    counts->self_listed = peers->self_listed;
    counts->confirmed =
        ch_client_get_time(peers->node->client) < peers->confirmed_until;
    counts->predecessor_age =
        peers->predecessor_started_ms == 0
            ? 0
            : (int64_t)(peers->node->incarnation -
                        peers->predecessor_started_ms * 1000);
    for (size_t i = 0; i < count; i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        bool live = ch_member_is_available(member);
        counts->live += live ? 1 : 0;
        counts->live_in_region +=
            live && g_strcmp0(region, member->region) == 0 ? 1 : 0;
    }
    pthread_mutex_unlock(&peers->lock);
}

/* See node.h. */
bool
ch_peers_can_decompress(struct ch_peers *peers, const char *name)
{
    pthread_mutex_lock(&peers->lock);
    const struct ch_member *member = ch_members_find(peers->members, name);
    bool unpacks = member != NULL && member->capacity > 0;
    pthread_mutex_unlock(&peers->lock);
    return unpacks;
}

/* Changes when a home node may have moved; see ch_members_get_version. */
uint64_t
ch_peers_get_version(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    uint64_t version = ch_members_get_version(peers->members);
    pthread_mutex_unlock(&peers->lock);
    return version;
}

/* The home node of a key in a data centre, or among all nodes with data_centre
 * NULL; a new string. The node need not be ready: its work for the key needs
 * only the key-value store. */
char *
ch_peers_find_home(struct ch_peers *peers, uint64_t key,
                   const char *data_centre)
{
    pthread_mutex_lock(&peers->lock);
    char *home = g_strdup(home_or_self(
        peers, ch_members_find_home(peers->members, key, NULL, data_centre)));
    pthread_mutex_unlock(&peers->lock);
    return home;
}

/* The sorted names of the live nodes and this node; free with g_strfreev. */
char **
ch_peers_list_live(struct ch_peers *peers)
{
    GPtrArray *names = g_ptr_array_new();
    const char *self = peers->node->settings->name;
    bool self_done = false;
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_get_count(peers->members); i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        if (!self_done && strcmp(self, member->name) < 0) {
            g_ptr_array_add(names, g_strdup(self));
            self_done = true;
        }
        if (ch_member_is_available(member)) {
            g_ptr_array_add(names, g_strdup(member->name));
        }
    }
    pthread_mutex_unlock(&peers->lock);
    if (!self_done) {
        g_ptr_array_add(names, g_strdup(self));
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

/* The other live nodes, beginning with the name that follows this node's own:
 * so nodes that start at the same time do not all begin with the same node. */
void
ch_peers_list_others(struct ch_peers *peers, GPtrArray *local,
                     GPtrArray *remote)
{
    const struct ch_settings *settings = peers->node->settings;
    pthread_mutex_lock(&peers->lock);
    size_t count = ch_members_get_count(peers->members);
    size_t first = 0;
    while (first < count && strcmp(ch_members_get(peers->members, first)->name,
                                   settings->name) < 0) {
        first++;
    }
    for (size_t i = 0; i < count; i++) {
        const struct ch_member *member =
            ch_members_get(peers->members, (first + i) % count);
        if (!ch_member_is_available(member)) {
            continue;
        }
        bool is_local =
            strcmp(member->data_centre, settings->data_centre) == 0;
        g_ptr_array_add(is_local ? local : remote, g_strdup(member->name));
    }
    pthread_mutex_unlock(&peers->lock);
}

/* See node.h. */
void
ch_peers_foreach_other(struct ch_peers *peers,
                       void (*each)(void *data, const char *name,
                                    const char *data_centre,
                                    const char *region),
                       void *data)
{
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_get_count(peers->members); i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        if (ch_member_is_available(member)) {
            each(data, member->name, member->data_centre, member->region);
        }
    }
    pthread_mutex_unlock(&peers->lock);
}

/* See node.h. */
void
ch_peers_foreach_relay(struct ch_peers *peers,
                       void (*each)(void *data,
                                    const struct ch_peers_relay *relay),
                       void *data)
{
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_get_count(peers->members); i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        if (ch_member_is_available(member) && !member->no_path &&
            member->relay_port != 0) {
            const struct ch_peers_relay relay = {
                .name = member->name,
                .address = member->address,
                .port = member->relay_port,
                .data_centre = member->data_centre,
                .region = member->region,
                .capacity = member->capacity,
            };
            each(data, &relay);
        }
    }
    pthread_mutex_unlock(&peers->lock);
}

/* See node.h. */
void
ch_peers_set_relay_port(struct ch_peers *peers, uint16_t port)
{
    ck_pr_store_uint(&peers->relay_port, port);
}

/* See node.h. */
void
ch_peers_set_no_path(struct ch_peers *peers, bool no_path)
{
    ck_pr_store_uint(&peers->no_path, no_path);
}

/* See node.h. */
void
ch_peers_ping_all(struct ch_peers *peers)
{
    Chestnuthitch__Wire__Ping ping = CHESTNUTHITCH__WIRE__PING__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_PING;
    frame.ping = &ping;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(peers, names, names);
    for (guint i = 0; i < names->len; i++) {
        ch_peers_send(peers, g_ptr_array_index(names, i), &frame);
    }
    g_ptr_array_free(names, TRUE);
}

/* An entry of this host that an earlier process wrote tells when that one
 * started. It is valid until this process has written its own. Lock held. */
static void
note_own_entry(struct ch_peers *peers, const struct ch_host *host, int64_t now)
{
    bool is_predecessor =
        host->boot_id != 0 && host->boot_id < peers->node->incarnation / 1000;
    if (is_predecessor && peers->predecessor_started_ms == 0) {
        peers->predecessor_started_ms = host->boot_id;
        peers->confirmed_until =
            MAX(peers->confirmed_until, now + PREDECESSOR_CONFIRMS_US);
    }
}

/* Whether the system starts for the first time, and no listed process is older
 * than this one. That none is listed does not say that none has run: entries
 * go when their processes stop, or lapse while the store is away. Lock held.
 */
static bool
is_new_fleet(const struct ch_peers *peers, const struct ch_host_list *list)
{
    uint64_t own_start = peers->node->incarnation / 1000;
    if (!peers->node->settings->first_start) {
        return false;
    }
    for (size_t i = 0; i < list->count; i++) {
        const struct ch_host *host = &list->hosts[i];
        uint64_t margin =
            peers_is_self(peers, host->name) ? 0 : START_TOGETHER_MS;
        if (host->kind == CH_HOST_ENTRY &&
            host->boot_id + margin < own_start) {
            return false;
        }
    }
    return peers->predecessor_started_ms == 0;
}

/* Updates the members from the host list; only entry hosts count. */
void
ch_peers_update_list(struct ch_peers *peers, const struct ch_host_list *list)
{
    int64_t now = ch_client_get_time(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    ch_members_begin_update(peers->members);
    peers->self_listed = false;
    for (size_t i = 0; i < list->count; i++) {
        const struct ch_host *host = &list->hosts[i];
        if (peers_is_self(peers, host->name)) {
            peers->self_listed = true;
            note_own_entry(peers, host, now);
        }
        if (host->kind == CH_HOST_ENTRY) {
            ch_members_update_member(peers->members, host->name, host->address,
                                     host->region, host->data_centre,
                                     host->draining, now);
            ch_members_set_capacity(peers->members, host->name,
                                    host->capacity);
        }
    }
    ch_members_end_update(peers->members);
    if (!peers->members_listed) {
        peers->is_new_fleet = is_new_fleet(peers, list);
    }
    peers->members_listed = true;
    pthread_mutex_unlock(&peers->lock);
}

/* See node.h. */
void
ch_peers_confirm_listed(struct ch_peers *peers)
{
    int64_t now = ch_client_get_time(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    peers->confirmed_until = now + CONFIRMED_US;
    pthread_mutex_unlock(&peers->lock);
}

/* See node.h. */
bool
ch_peers_is_new_fleet(struct ch_peers *peers, bool *known)
{
    pthread_mutex_lock(&peers->lock);
    bool is_new = peers->is_new_fleet;
    *known = peers->members_listed;
    pthread_mutex_unlock(&peers->lock);
    return is_new;
}

/* See node.h. */
bool
ch_peers_is_live(struct ch_peers *peers, const char *name)
{
    pthread_mutex_lock(&peers->lock);
    const struct ch_member *member = ch_members_find(peers->members, name);
    bool live = member != NULL && ch_member_is_available(member);
    pthread_mutex_unlock(&peers->lock);
    return live;
}

/* See node.h. */
bool
ch_peers_has_list(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    bool listed = peers->members_listed;
    pthread_mutex_unlock(&peers->lock);
    return listed;
}

/* When a frame last came from a node, by the client's clock; 0: unknown. */
int64_t
ch_peers_get_last_heard(struct ch_peers *peers, const char *name,
                        uint64_t *incarnation)
{
    int64_t heard = 0;
    if (peers_is_self(peers, name)) {
        if (incarnation != NULL) {
            *incarnation = peers->node->incarnation;
        }
        return ch_client_get_time(peers->node->client);
    }
    pthread_mutex_lock(&peers->lock);
    const struct ch_member *member = ch_members_find(peers->members, name);
    if (member != NULL) {
        heard = member->last_heard_us;
        if (incarnation != NULL) {
            *incarnation = member->incarnation;
        }
    }
    pthread_mutex_unlock(&peers->lock);
    return heard;
}

/* Adds the names (new strings) of members recently found silent. */
void
ch_peers_collect_hints(struct ch_peers *peers, GPtrArray *silent_names)
{
    int64_t now = ch_client_get_time(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_get_count(peers->members); i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        if (member->status == CH_MEMBER_SILENT &&
            member->hint_until_us > now) {
            g_ptr_array_add(silent_names, g_strdup(member->name));
        }
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Applies the member states from another node's gossip: a silent member, which
 * this node then probes, or the sender's notice that it is stopping. */
void
ch_peers_handle_gossip(struct ch_peers *peers,
                       const Chestnuthitch__Wire__Gossip *gossip)
{
    int64_t now = ch_client_get_time(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < gossip->n_members; i++) {
        const Chestnuthitch__Wire__MemberState *state = gossip->members[i];
        if (state->status == CH_MEMBER_SILENT) {
            ch_members_record_silence_hint(peers->members, state->node, now);
        }
        else if (state->status == CH_MEMBER_STOPPING) {
            ch_members_record_stopping(peers->members, state->node,
                                       state->incarnation);
        }
    }
    pthread_mutex_unlock(&peers->lock);
    peers_wake(peers);
}

/* Marks this node as stopping: no key has its home node here from now on,
 * unless this node is alone. */
void
ch_peers_set_stopping(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    ch_members_stop_self(peers->members);
    pthread_mutex_unlock(&peers->lock);
}

/* The port of the listener. */
uint16_t
ch_peers_get_port(const struct ch_peers *peers)
{
    return peers->port;
}

/* Writes the members as an array "nodes" into an open JSON object. */
void
ch_peers_write_status(struct ch_peers *peers, JsonBuilder *builder)
{
    int64_t now = ch_client_get_time(peers->node->client);
    json_builder_set_member_name(builder, "nodes");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_get_count(peers->members); i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "name");
        json_builder_add_string_value(builder, member->name);
        json_builder_set_member_name(builder, "region");
        json_builder_add_string_value(builder, member->region);
        json_builder_set_member_name(builder, "data_centre");
        json_builder_add_string_value(builder, member->data_centre);
        json_builder_set_member_name(builder, "state");
        json_builder_add_string_value(
            builder, member->status == CH_MEMBER_SILENT ? "silent"
                     : ch_member_is_available(member)   ? "live"
                                                        : "leaving");
        json_builder_set_member_name(builder, "heard_ms_ago");
        json_builder_add_int_value(builder,
                                   (now - member->last_heard_us) / 1000);
        json_builder_end_object(builder);
    }
    pthread_mutex_unlock(&peers->lock);
    json_builder_end_array(builder);
    ch_peers_write_traffic(peers, builder);
}
