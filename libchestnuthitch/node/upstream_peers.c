/* How the slots of brittle upstreams, what upstreams say of calls to come, and
 * the demand for models that are short of room reach other nodes. */

#include "node/node.h"

static char *
find_home(void *data, GQuark upstream, GQuark region)
{
    const struct ch_node *node = data;
    return ch_peers_find_upstream_home(
        node->peers, ch_hash_string(g_quark_to_string(upstream)),
        region == 0 ? "" : g_quark_to_string(region), NULL);
}

static size_t
count_listed(void *data)
{
    const struct ch_node *node = data;
    struct ch_peers_counts counts;
    ch_peers_count(node->peers, node->settings->region, &counts);
    return counts.listed;
}

static GPtrArray *
list_live(void *data)
{
    const struct ch_node *node = data;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(node->peers, names, names);
    return names;
}

static void
send_frame(void *data, const char *to, Chestnuthitch__Wire__Frame *frame)
{
    const struct ch_node *node = data;
    ch_peers_send(node->peers, to, frame);
}

static void
request(void *data, const char *to, Chestnuthitch__Wire__Frame *frame,
        int64_t limit,
        void (*done)(void *data, enum ch_code code,
                     const Chestnuthitch__Wire__Frame *reply),
        void *done_data)
{
    const struct ch_node *node = data;
    ch_peers_request(node->peers, to, frame, limit, done, done_data);
}

static void
reply(void *data, const char *to, uint64_t id,
      Chestnuthitch__Wire__Frame *frame)
{
    const struct ch_node *node = data;
    ch_peers_reply(node->peers, to, id, frame);
}

/* See node.h. */
struct ch_slots *
ch_node_create_slots(struct ch_node *node)
{
    const struct ch_slots_peers peers = {
        .data = node,
        .self = node->settings->name,
        .find_counter = find_home,
        .count_listed = count_listed,
        .list_live = list_live,
        .send = send_frame,
        .request = request,
        .reply = reply,
    };
    return ch_slots_new(node->client, node->pool, node->timers, &peers);
}

/* Handles the question of another node when a prompt may be sent. */
static void
handle_prefill_ask(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    ch_prefill_handle_ask(data, frame);
}

/* See node.h. */
struct ch_prefill *
ch_node_create_prefill(struct ch_node *node)
{
    const struct ch_prefill_peers peers = {
        .data = node,
        .self = node->settings->name,
        .find_home = find_home,
        .request = request,
        .reply = reply,
    };
    if (node->settings->disabled_features.stream_pauses) {
        return NULL;
    }
    struct ch_prefill *prefill =
        ch_prefill_new(node->client, node->pool, node->timers, &peers);
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_PREFILL_ASK,
                         handle_prefill_ask, prefill);
    return prefill;
}

/* See node.h. */
struct ch_notices *
ch_node_create_notices(struct ch_node *node)
{
    const struct ch_notices_peers peers = {
        .data = node,
        .self = node->settings->name,
        .find_teller = find_home,
        .list_live = list_live,
        .send = send_frame,
    };
    return ch_notices_new(node->client, node->pool, node->timers, &peers);
}

/* The home node of a service, over all regions: its models are served by the
 * engines of all of them. */
static char *
find_service_home(void *data, GQuark service)
{
    const struct ch_node *node = data;
    return ch_peers_find_home(
        node->peers, ch_hash_string(g_quark_to_string(service)), NULL);
}

static void
handle_room_report(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct ch_node *node = data;
    ch_room_handle_report(node->room, frame);
}

static void
handle_room_levels(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct ch_node *node = data;
    ch_room_handle_levels(node->room, frame);
}

/* See node.h. */
struct ch_room *
ch_node_create_room(struct ch_node *node)
{
    const struct ch_room_peers peers = {
        .data = node,
        .self = node->settings->name,
        .find_counter = find_service_home,
        .count_listed = count_listed,
        .list_live = list_live,
        .send = send_frame,
    };
    if (node->settings->disabled_features.room_shares) {
        return NULL;
    }
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_ROOM_REPORT,
                         handle_room_report, node);
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_ROOM_LEVELS,
                         handle_room_levels, node);
    return ch_room_new(node->client, node->timers, &peers,
                       ch_settings_controls_overload(node->settings));
}
