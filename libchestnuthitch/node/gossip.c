/* Telling the other nodes what the homes here know, and hearing theirs. */

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

/* A hash of what others act upon.  The wait counts in steps of 50 ms: less
 * changes no route. */
static uint64_t
state_hash(const struct ch_upstream_view *view)
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

/* Gives the state of a home here a new sequence when there is news. */
static void
note_news(struct ch_homes *homes, struct upstream *upstream, int64_t now)
{
    home_refresh_view(homes, upstream, now);
    const struct ch_upstream_view *view = site_view(homes, upstream);
    if (view == NULL) {
        return;
    }
    uint64_t hash = state_hash(view);
    if (hash == upstream->told_hash && !homes->news &&
        now - upstream->told_at < CH_GOSSIP_REFRESH_US) {
        return;
    }
    upstream->told_hash = hash;
    upstream->told_at = now;
    upstream->sequence =
        MAX(upstream->sequence + 1, (uint64_t)g_get_real_time());
    upstream->news = true;
}

/* Gathers the states to tell in this round, from a place that moves on, so
 * that all get their turn when there are more than one message holds.  In a
 * small fleet those with news; in a large one all, since the nodes whose turn
 * it is have not heard the news of the rounds before. */
static void
gather_states(struct ch_homes *homes, struct message *message, int64_t now)
{
    bool direct = ch_gossip_reaches_all(homes->live);
    guint count = homes->upstreams->len;
    guint start = count > 0 ? g_rand_int(homes->random) % count : 0;
    for (guint k = 0; k < count; k++) {
        struct upstream *upstream =
            g_ptr_array_index(homes->upstreams, (start + k) % count);
        if (upstream->home == NULL) {
            continue;
        }
        note_news(homes, upstream, now);
        if ((direct && !upstream->news) ||
            message->state_count == CH_GOSSIP_MAX_STATES) {
            continue;
        }
        upstream->news = false;
        message->states[message->state_count] =
            site_make_state(homes, upstream);
        if (message->states[message->state_count] != NULL) {
            message->state_count++;
        }
    }
    homes->news = false;
}

/* One line on a member for the message. */
static void
add_member(struct message *message, const char *name, uint64_t incarnation,
           enum ch_member_status status)
{
    Chestnuthitch__Wire__MemberState *state =
        g_new(Chestnuthitch__Wire__MemberState, 1);
    chestnuthitch__wire__member_state__init(state);
    state->node = g_strdup(name);
    state->incarnation = incarnation;
    state->status = status;
    g_ptr_array_add(message->members, state);
}

/* Frees a member line. */
static void
free_member_state(gpointer data)
{
    Chestnuthitch__Wire__MemberState *state = data;
    g_free(state->node);
    g_free(state);
}

/* Sends the message to so many of the nodes, from the one whose turn it is. */
static void
send_message(struct ch_homes *homes, const struct message *message,
             const GPtrArray *names, unsigned turn, unsigned most)
{
    Chestnuthitch__Wire__Gossip gossip = WIRE(GOSSIP__INIT);
    gossip.n_upstreams = message->state_count;
    gossip.upstreams = (Chestnuthitch__Wire__UpstreamState **)message->states;
    gossip.n_members = message->members->len;
    gossip.members =
        (Chestnuthitch__Wire__MemberState **)message->members->pdata;
    for (unsigned k = 0; k < most; k++) {
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        frame.body_case = WIRE(FRAME__BODY_GOSSIP);
        frame.gossip = &gossip;
        ch_peers_send(homes->node->peers,
                      g_ptr_array_index(names, (turn + k) % names->len),
                      &frame);
    }
}

/* Sends the message to those whose turn it is, or to every node. */
static void
send_round(struct ch_homes *homes, const struct message *message, bool all)
{
    GPtrArray *near = g_ptr_array_new_with_free_func(g_free);
    GPtrArray *far = g_ptr_array_new_with_free_func(g_free);
    ch_peers_others(homes->node->peers, near, far);
    struct ch_gossip_fanout share = {near->len, far->len};
    if (!all) {
        share = ch_gossip_fanout(near->len, far->len);
    }
    pthread_mutex_lock(&homes->lock);
    unsigned near_turn = homes->near_turn;
    unsigned far_turn = homes->far_turn;
    homes->near_turn += share.local;
    homes->far_turn += share.remote;
    pthread_mutex_unlock(&homes->lock);
    send_message(homes, message, near, near_turn, share.local);
    send_message(homes, message, far, far_turn, share.remote);
    g_ptr_array_free(near, TRUE);
    g_ptr_array_free(far, TRUE);
}

/* Frees what a message holds. */
static void
clear_message(struct message *message)
{
    for (size_t i = 0; i < message->state_count; i++) {
        site_free_state(message->states[i]);
    }
    g_ptr_array_free(message->members, TRUE);
}

/* One round: the states with news, and the members found silent of late.
 * Nothing is sent when there is nothing to tell. */
void
gossip_round(struct ch_homes *homes, int64_t now)
{
    struct message message = {
        .members = g_ptr_array_new_with_free_func(free_member_state),
    };
    GPtrArray *silent = g_ptr_array_new_with_free_func(g_free);
    ch_peers_hints(homes->node->peers, silent);
    for (guint i = 0; i < silent->len; i++) {
        add_member(&message, g_ptr_array_index(silent, i), 0,
                   CH_MEMBER_SILENT);
    }
    g_ptr_array_free(silent, TRUE);
    pthread_mutex_lock(&homes->lock);
    gather_states(homes, &message, now);
    pthread_mutex_unlock(&homes->lock);
    if (message.state_count > 0 || message.members->len > 0) {
        send_round(homes, &message, false);
    }
    clear_message(&message);
}

/* Tells every live node that this one stops, so that homes move away while it
 * still answers. */
void
gossip_stopping(struct ch_homes *homes)
{
    struct message message = {
        .members = g_ptr_array_new_with_free_func(free_member_state),
    };
    add_member(&message, homes->node->settings->name, homes->node->incarnation,
               CH_MEMBER_STOPPING);
    send_round(homes, &message, true);
    clear_message(&message);
}

/* Takes what another node tells. */
static void
handle_gossip(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    const Chestnuthitch__Wire__Gossip *gossip = frame->gossip;
    int64_t now = ch_client_now(homes->node->client);
    if (gossip->n_members > 0) {
        ch_peers_told(homes->node->peers, gossip);
    }
    pthread_mutex_lock(&homes->lock);
    for (size_t i = 0; i < gossip->n_upstreams; i++) {
        site_take_state(homes, gossip->upstreams[i], now);
    }
    pthread_mutex_unlock(&homes->lock);
}

/* Sets the handler of gossip. */
void
gossip_handlers(struct ch_homes *homes)
{
    ch_peers_handle(homes->node->peers, WIRE(FRAME__BODY_GOSSIP),
                    handle_gossip, homes);
}
