/* What nodes tell each other of the limits of upstreams. */

#include "node/limit_internal.h"

#include <math.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Nodes that one refresh goes to, at most; those of a larger fleet are
     * told in turn, so that the counting node sends a few kB a second. */
    NODES_PER_REFRESH = 64,
};

/* See limit_internal.h. */
char *
limit_spread_find_counter(const struct ch_limit_manager *manager,
                          GQuark upstream, GQuark region)
{
    return ch_peers_find_upstream_home(
        manager->node->peers, ch_hash_string(g_quark_to_string(upstream)),
        g_quark_to_string(region), NULL);
}

/* See limit_internal.h. */
Chestnuthitch__Wire__LimitState
limit_spread_write_state(const struct limited_upstream *upstream, int64_t now)
{
    const struct ch_limit_observation *last = &upstream->state.last;
    Chestnuthitch__Wire__LimitState state = WIRE(LIMIT_STATE__INIT);
    state.upstream = (char *)g_quark_to_string(upstream->name);
    state.region = upstream->region == 0
                       ? (char *)""
                       : (char *)g_quark_to_string(upstream->region);
    state.boot_id = upstream->boot_id;
    state.named = last->named;
    state.per_s = last->per_s;
    state.sent_age_us = (uint64_t)MAX(now - last->sent_at, 0);
    state.received_age_us = (uint64_t)MAX(now - last->received_at, 0);
    return state;
}

/* See limit_internal.h. Of two nodes that know different boots of an upstream,
 * one has not heard of the latest one. */
struct limited_upstream *
limit_spread_read_state(struct ch_limit_manager *manager,
                        const Chestnuthitch__Wire__LimitState *state,
                        const char *from, int64_t now,
                        enum ch_limit_change *change)
{
    const struct ch_limit_observation observation = {
        .named = state->named,
        .per_s = state->per_s,
        .sent_at = now - (int64_t)MIN(state->sent_age_us, (uint64_t)now),
        .received_at =
            now - (int64_t)MIN(state->received_age_us, (uint64_t)now),
    };
    enum ch_limit_change result = CH_LIMIT_UNCHANGED;
    struct limited_upstream *upstream = NULL;
    if (state->upstream[0] != '\0' && isfinite(state->per_s) &&
        state->per_s >= 0) {
        upstream = limit_manager_find_or_add(
            manager, g_quark_from_string(state->upstream),
            g_quark_from_string(state->region), now);
        bool same_boot = state->boot_id == 0 || upstream->boot_id == 0 ||
                         state->boot_id == upstream->boot_id;
        if (same_boot) {
            result = limit_manager_observe(manager, upstream, &observation,
                                           from, now);
        }
    }
    if (change != NULL) {
        *change = result;
    }
    return upstream;
}

static void
send_states(struct ch_limit_manager *manager, const char *to,
            Chestnuthitch__Wire__LimitState **states, size_t count)
{
    Chestnuthitch__Wire__LimitStates body = WIRE(LIMIT_STATES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.n_states = count;
    body.states = states;
    frame.body_case = WIRE(FRAME__BODY_LIMIT_STATES);
    frame.limit_states = &body;
    ch_peers_send(manager->node->peers, to, &frame);
}

/* The other live nodes; new strings. */
static GPtrArray *
list_others(const struct ch_limit_manager *manager)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(manager->node->peers, names, names);
    return names;
}

/* See limit_internal.h. */
void
limit_spread_change(struct ch_limit_manager *manager, GQuark name)
{
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    const struct limited_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    if (upstream == NULL) {
        pthread_mutex_unlock(&manager->lock);
        return;
    }
    GQuark region = upstream->region;
    Chestnuthitch__Wire__LimitState state =
        limit_spread_write_state(upstream, now);
    pthread_mutex_unlock(&manager->lock);
    Chestnuthitch__Wire__LimitState *states[] = {&state};
    g_autofree char *counter =
        limit_spread_find_counter(manager, name, region);
    if (g_strcmp0(counter, manager->node->settings->name) != 0) {
        send_states(manager, counter, states, 1);
        return;
    }
    GPtrArray *others = list_others(manager);
    for (guint i = 0; i < others->len; i++) {
        send_states(manager, g_ptr_array_index(others, i), states, 1);
    }
    g_ptr_array_free(others, TRUE);
}

/* Handles what another node tells. A change is passed on, by the counting node
 * to all, and by others to the counting node: nodes that don't know the same
 * live nodes may take different ones for it. */
static void
handle_states(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_limit_manager *manager = data;
    if (frame->limit_states->slots != NULL && manager->node->slots != NULL) {
        ch_slots_handle_states(manager->node->slots, frame);
        return;
    }
    ch_notices_handle_drains(manager->node->notices, frame);
    int64_t now = ch_client_get_time(manager->node->client);
    for (size_t i = 0; i < frame->limit_states->n_states; i++) {
        enum ch_limit_change change = CH_LIMIT_UNCHANGED;
        pthread_mutex_lock(&manager->lock);
        const struct limited_upstream *upstream =
            limit_spread_read_state(manager, frame->limit_states->states[i],
                                    frame->from, now, &change);
        GQuark name = upstream == NULL ? 0 : upstream->name;
        GQuark region = upstream == NULL ? 0 : upstream->region;
        pthread_mutex_unlock(&manager->lock);
        if (change == CH_LIMIT_UNCHANGED) {
            continue;
        }
        g_autofree char *counter =
            limit_spread_find_counter(manager, name, region);
        if (g_strcmp0(counter, frame->from) != 0) {
            limit_spread_change(manager, name);
        }
    }
}

/* The states of the limits that this node counts. Where another node counts,
 * this node's counter ends. */
static GPtrArray *
collect_counted(struct ch_limit_manager *manager)
{
    GPtrArray *states = g_ptr_array_new_with_free_func(g_free);
    int64_t now = ch_client_get_time(manager->node->client);
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&manager->lock);
    g_hash_table_iter_init(&iterator, manager->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct limited_upstream *upstream = value;
        if (!ch_limit_state_is_limited(&upstream->state)) {
            continue;
        }
        g_autofree char *counter = limit_spread_find_counter(
            manager, upstream->name, upstream->region);
        if (g_strcmp0(counter, manager->node->settings->name) != 0) {
            ch_limit_counter_close(&upstream->counter);
            continue;
        }
        Chestnuthitch__Wire__LimitState state =
            limit_spread_write_state(upstream, now);
        g_ptr_array_add(states, g_memdup2(&state, sizeof(state)));
    }
    pthread_mutex_unlock(&manager->lock);
    return states;
}

/* See limit_internal.h. */
void
limit_spread_refresh(struct ch_limit_manager *manager)
{
    GPtrArray *states = collect_counted(manager);
    GPtrArray *others =
        states->len > 0 ? list_others(manager) : g_ptr_array_new();
    unsigned stride = 1 + others->len / NODES_PER_REFRESH;
    for (guint i = manager->refresh_round++ % stride; i < others->len;
         i += stride) {
        send_states(manager, g_ptr_array_index(others, i),
                    (Chestnuthitch__Wire__LimitState **)states->pdata,
                    states->len);
    }
    g_ptr_array_free(others, TRUE);
    g_ptr_array_free(states, TRUE);
}

/* See limit_internal.h. */
void
limit_spread_init(struct ch_limit_manager *manager)
{
    ch_peers_set_handler(manager->node->peers, WIRE(FRAME__BODY_LIMIT_STATES),
                         handle_states, manager);
}
