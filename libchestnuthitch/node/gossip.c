/* Gossip: sends the states of the upstreams whose home node is this one, and
 * receives those of others. */

#include "decide/gossip.h"
#include "decide/member.h"
#include "node/homes_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

struct message {
    Chestnuthitch__Wire__UpstreamState *states[CH_GOSSIP_MAX_STATES];
    size_t state_count;
    GPtrArray *members; /* of MemberState */
};

/* A hash of the values that other nodes act upon. The predicted wait counts in
 * steps of 50 ms: a smaller difference changes no routing decision. */
static uint64_t
compute_state_hash(const struct ch_upstream_view *view)
{
    uint64_t hash = ch_hash_pair(view->running, view->queued);
    hash = ch_hash_pair(hash, (uint64_t)(view->predicted_wait / 50000));
    hash = ch_hash_pair(hash, view->free_mb);
    hash = ch_hash_pair(hash, (uint64_t)view->draining * 2 + view->down);
    for (guint i = 0; i < view->resident->len; i++) {
        hash = ch_hash_pair(
            hash, g_array_index(view->resident, struct ch_item, i).name);
    }
    return ch_hash_pair(hash, view->loading->len);
}

/* Gives an upstream's state a new sequence and marks it for sending when the
 * state or the number of live nodes has changed, or CH_GOSSIP_REFRESH_US has
 * passed. */
static void
update_sequence(struct ch_homes *homes, struct upstream *upstream, int64_t now)
{
    home_refresh_view(homes, upstream, now);
    const struct ch_upstream_view *view =
        upstream_list_get_view(homes, upstream);
    if (view == NULL) {
        return;
    }
    uint64_t hash = compute_state_hash(view);
    if (hash == upstream->published_hash && !homes->publish_all &&
        now - upstream->published_at < CH_GOSSIP_REFRESH_US) {
        return;
    }
    upstream->published_hash = hash;
    upstream->published_at = now;
    upstream->sequence =
        MAX(upstream->sequence + 1, (uint64_t)g_get_real_time());
    upstream->unpublished = true;
}

/*
 * Collects the states for this round, from a random start, so that every
 * upstream gets its turn when one message can't hold all of them. In a small
 * fleet these are the changed states; in a large fleet all states, since the
 * receivers of this round have not received the changes of earlier rounds.
 */
static void
collect_states(struct ch_homes *homes, struct message *message, int64_t now)
{
    bool reaches_all = ch_gossip_reaches_all(homes->live_count);
    guint count = homes->upstreams->len;
    guint start = count > 0 ? g_rand_int(homes->random) % count : 0;
    for (guint k = 0; k < count; k++) {
        struct upstream *upstream =
            g_ptr_array_index(homes->upstreams, (start + k) % count);
        if (upstream->home == NULL) {
            continue;
        }
        update_sequence(homes, upstream, now);
        if ((reaches_all && !upstream->unpublished) ||
            message->state_count == CH_GOSSIP_MAX_STATES) {
            continue;
        }
        upstream->unpublished = false;
        message->states[message->state_count] =
            upstream_make_state(homes, upstream);
        if (message->states[message->state_count] != NULL) {
            message->state_count++;
        }
    }
    homes->publish_all = false;
}

/* Adds the state of one member to the message. */
static void
add_member_state(struct message *message, const char *name,
                 uint64_t incarnation, enum ch_member_status status)
{
    Chestnuthitch__Wire__MemberState *state =
        g_new(Chestnuthitch__Wire__MemberState, 1);
    chestnuthitch__wire__member_state__init(state);
    state->node = g_strdup(name);
    state->incarnation = incarnation;
    state->status = status;
    g_ptr_array_add(message->members, state);
}

static void
free_member_state(gpointer data)
{
    Chestnuthitch__Wire__MemberState *state = data;
    g_free(state->node);
    g_free(state);
}

/* Sends the message to `count` of the nodes, starting at turn_index. */
static void
send_message(struct ch_homes *homes, const struct message *message,
             const GPtrArray *names, unsigned turn_index, unsigned count)
{
    Chestnuthitch__Wire__Gossip gossip = WIRE(GOSSIP__INIT);
    gossip.n_upstreams = message->state_count;
    gossip.upstreams = (Chestnuthitch__Wire__UpstreamState **)message->states;
    gossip.n_members = message->members->len;
    gossip.members =
        (Chestnuthitch__Wire__MemberState **)message->members->pdata;
    for (unsigned k = 0; k < count; k++) {
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        frame.body_case = WIRE(FRAME__BODY_GOSSIP);
        frame.gossip = &gossip;
        ch_peers_send(homes->node->peers,
                      g_ptr_array_index(names, (turn_index + k) % names->len),
                      &frame);
    }
}

/* Sends the message to the nodes whose turn it is, or to all of them. */
static void
send_to_nodes(struct ch_homes *homes, const struct message *message,
              bool to_all)
{
    GPtrArray *local = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *remote = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(homes->node->peers, local, remote);
    struct ch_gossip_fanout fanout = {local->len, remote->len};
    if (!to_all) {
        fanout = ch_gossip_fanout(local->len, remote->len);
    }
    pthread_mutex_lock(&homes->lock);
    unsigned local_turn = homes->next_local_peer;
    unsigned remote_turn = homes->next_remote_peer;
    homes->next_local_peer += fanout.local;
    homes->next_remote_peer += fanout.remote;
    pthread_mutex_unlock(&homes->lock);
    send_message(homes, message, local, local_turn, fanout.local);
    send_message(homes, message, remote, remote_turn, fanout.remote);
    g_ptr_array_free(local, TRUE);
    g_ptr_array_free(remote, TRUE);
}

/* Frees the contents of a message. */
static void
clear_message(struct message *message)
{
    for (size_t i = 0; i < message->state_count; i++) {
        upstream_free_state(message->states[i]);
    }
    g_ptr_array_free(message->members, TRUE);
}

/* One gossip round: changed upstream states and members recently found silent.
 * Sends nothing when there are none. */
void
gossip_send_due(struct ch_homes *homes, int64_t now)
{
    struct message message = {
        .members = g_ptr_array_new_with_free_func(free_member_state),
    };
    GPtrArray *silent = g_ptr_array_new_with_free_func(g_free);
    ch_peers_collect_hints(homes->node->peers, silent);
    for (guint i = 0; i < silent->len; i++) {
        add_member_state(&message, g_ptr_array_index(silent, i), 0,
                         CH_MEMBER_SILENT);
    }
    g_ptr_array_free(silent, TRUE);
    pthread_mutex_lock(&homes->lock);
    collect_states(homes, &message, now);
    pthread_mutex_unlock(&homes->lock);
    if (message.state_count > 0 || message.members->len > 0) {
        send_to_nodes(homes, &message, false);
    }
    clear_message(&message);
}

/* Tells every live node that this one is stopping, so that other nodes become
 * home nodes while this one still responds. */
void
gossip_announce_stop(struct ch_homes *homes)
{
    struct message message = {
        .members = g_ptr_array_new_with_free_func(free_member_state),
    };
    add_member_state(&message, homes->node->settings->name,
                     homes->node->incarnation, CH_MEMBER_STOPPING);
    send_to_nodes(homes, &message, true);
    clear_message(&message);
}

/* Applies a gossip message from another node. */
static void
handle_gossip(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    const Chestnuthitch__Wire__Gossip *gossip = frame->gossip;
    int64_t now = ch_client_get_time(homes->node->client);
    if (gossip->n_members > 0) {
        ch_peers_handle_gossip(homes->node->peers, gossip);
    }
    pthread_mutex_lock(&homes->lock);
    for (size_t i = 0; i < gossip->n_upstreams; i++) {
        upstream_list_apply_state(homes, gossip->upstreams[i], now);
    }
    pthread_mutex_unlock(&homes->lock);
}

void
gossip_register_handlers(struct ch_homes *homes)
{
    ch_peers_set_handler(homes->node->peers, WIRE(FRAME__BODY_GOSSIP),
                         handle_gossip, homes);
}
