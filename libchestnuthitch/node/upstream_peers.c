/* How the slots of brittle upstreams, what upstreams say of calls to come, the
 * load that they state, prompts that are to be spaced, and the demand for
 * models that are short of room reach other nodes. */

#include "node/node.h"

/* The role of the nodes that forward what a data centre's nodes read. */
static const char AGGREGATOR_ROLE[] = "pace-aggregator";

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
    const struct ch_node *node = data;
    Chestnuthitch__Wire__PrefillReply body =
        CHESTNUTHITCH__WIRE__PREFILL_REPLY__INIT;
    Chestnuthitch__Wire__Frame answer = CHESTNUTHITCH__WIRE__FRAME__INIT;
    if (node->prefill != NULL) {
        ch_prefill_handle_ask(node->prefill, frame);
        return;
    }
    /* Switched off here: the others are not to wait for an answer. */
    body.granted = true;
    answer.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_PREFILL_REPLY;
    answer.prefill_reply = &body;
    ch_peers_reply(node->peers, frame->from, frame->id, &answer);
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
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_PREFILL_ASK,
                         handle_prefill_ask, node);
    return node->settings->disabled_features.stream_pauses
               ? NULL
               : ch_prefill_new(node->client, node->pool, node->timers,
                                &peers);
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

/* ---- the load of upstreams ---- */

/* Before the first list arrives, this node does not know who ranks first. */
static char *
find_aggregator(void *data, const char *data_centre)
{
    const struct ch_node *node = data;
    if (!ch_peers_has_list(node->peers)) {
        return NULL;
    }
    return ch_peers_find_centre_role_holder(
        node->peers, AGGREGATOR_ROLE, data_centre, node->settings->region);
}

/* A search for the other nodes of this node's data centre. */
struct neighbour_search {
    const struct ch_settings *settings;
    GPtrArray *names;
};

static void
add_neighbour(void *data, const char *name, const char *data_centre,
              const char *region)
{
    const struct neighbour_search *search = data;
    if (g_strcmp0(data_centre, search->settings->data_centre) == 0 &&
        g_strcmp0(region, search->settings->region) == 0) {
        g_ptr_array_add(search->names, g_strdup(name));
    }
}

static GPtrArray *
list_neighbours(void *data)
{
    const struct ch_node *node = data;
    struct neighbour_search search = {
        .settings = node->settings,
        .names = g_ptr_array_new_with_free_func(g_free),
    };
    ch_peers_foreach_other(node->peers, add_neighbour, &search);
    return search.names;
}

static GPtrArray *
list_aggregators(void *data, bool near)
{
    const struct ch_node *node = data;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_role_holders(node->peers, AGGREGATOR_ROLE, near, names);
    return names;
}

/* Takes over a PaceReadings, also while the pace is switched off here: other
 * nodes may send them. */
static void
handle_readings(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct ch_node *node = data;
    ch_pace_handle_readings(node->pace, frame);
}

/* See node.h. */
struct ch_pace *
ch_node_create_pace(struct ch_node *node)
{
    const struct ch_pace_peers peers = {
        .data = node,
        .self = node->settings->name,
        .data_centre = node->settings->data_centre,
        .region = node->settings->region,
        .find_aggregator = find_aggregator,
        .list_neighbours = list_neighbours,
        .list_aggregators = list_aggregators,
        .send = send_frame,
    };
    ch_peers_set_handler(node->peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_PACE_READINGS,
                         handle_readings, node);
    if (node->settings->disabled_features.upstream_pace) {
        return NULL;
    }
    return ch_pace_new(node->client, node->pool, node->timers, &peers);
}
