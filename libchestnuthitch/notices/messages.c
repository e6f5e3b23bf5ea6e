/* What nodes tell each other of upstreams that drain. */

#include "notices/notices_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Nodes that start, or were cut off, are told of a drain for this long. An
     * upstream that drains for longer says so to each of them. */
    REFRESH_US = 20 * 1000 * 1000,
    /* Nodes that one refresh goes to, at most; others are told in turn. */
    NODES_PER_REFRESH = 64,
};

static char *
get_name(GQuark quark)
{
    return quark == 0 ? (char *)"" : (char *)g_quark_to_string(quark);
}

static void
send_drains(const struct ch_notices *notices, const char *to,
            Chestnuthitch__Wire__DrainNotice **drains, size_t count)
{
    Chestnuthitch__Wire__LimitStates body = WIRE(LIMIT_STATES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.n_drains = count;
    body.drains = drains;
    frame.body_case = WIRE(FRAME__BODY_LIMIT_STATES);
    frame.limit_states = &body;
    notices->peers.send(notices->peers.data, to, &frame);
}

static Chestnuthitch__Wire__DrainNotice
write_drain(const struct notices_upstream *upstream)
{
    Chestnuthitch__Wire__DrainNotice drain = WIRE(DRAIN_NOTICE__INIT);
    drain.upstream = get_name(upstream->name);
    drain.region = get_name(upstream->region);
    drain.boot_id = upstream->state.draining_boot;
    return drain;
}

/* Whether this node passes on what is heard of an upstream; *teller is set to
 * the node that does, a new string. */
static bool
is_teller(const struct ch_notices *notices, GQuark upstream, GQuark region,
          char **teller)
{
    *teller =
        notices->peers.find_teller(notices->peers.data, upstream, region);
    return *teller == NULL || strcmp(*teller, notices->peers.self) == 0;
}

/* See notices_internal.h. */
void
notices_tell_drain(struct ch_notices *notices, GQuark name)
{
    pthread_mutex_lock(&notices->lock);
    const struct notices_upstream *upstream = notices_find(notices, name);
    if (upstream == NULL || !upstream->state.draining) {
        pthread_mutex_unlock(&notices->lock);
        return;
    }
    Chestnuthitch__Wire__DrainNotice drain = write_drain(upstream);
    GQuark region = upstream->region;
    pthread_mutex_unlock(&notices->lock);
    Chestnuthitch__Wire__DrainNotice *drains[] = {&drain};
    g_autofree char *teller = NULL;
    if (!is_teller(notices, name, region, &teller)) {
        send_drains(notices, teller, drains, 1);
        return;
    }
    GPtrArray *others = notices->peers.list_live(notices->peers.data);
    for (guint i = 0; i < others->len; i++) {
        send_drains(notices, g_ptr_array_index(others, i), drains, 1);
    }
    g_ptr_array_free(others, TRUE);
}

/* Takes over one drain; true if it is new. */
static bool
handle_drain(struct ch_notices *notices,
             const Chestnuthitch__Wire__DrainNotice *drain, const char *from)
{
    if (drain->upstream[0] == '\0') {
        return false;
    }
    int64_t now = ch_client_get_time(notices->client);
    GQuark region =
        drain->region[0] == '\0' ? 0 : g_quark_from_string(drain->region);
    pthread_mutex_lock(&notices->lock);
    struct notices_upstream *upstream = notices_find_or_add(
        notices, g_quark_from_string(drain->upstream), region, now);
    bool is_new =
        ch_notice_state_observe_drain(&upstream->state, drain->boot_id, now);
    if (is_new) {
        notices_note_drain(notices, upstream, from);
    }
    pthread_mutex_unlock(&notices->lock);
    return is_new;
}

/* See notices.h. A drain that is new here is passed on: nodes that don't know
 * the same live nodes may take different ones for the one that does so. */
void
ch_notices_handle_drains(struct ch_notices *notices,
                         const Chestnuthitch__Wire__Frame *frame)
{
    bool is_any_new = false;
    if (notices == NULL) {
        return;
    }
    for (size_t i = 0; i < frame->limit_states->n_drains; i++) {
        const Chestnuthitch__Wire__DrainNotice *drain =
            frame->limit_states->drains[i];
        if (!handle_drain(notices, drain, frame->from)) {
            continue;
        }
        is_any_new = true;
        GQuark name = g_quark_from_string(drain->upstream);
        g_autofree char *teller = notices->peers.find_teller(
            notices->peers.data, name, g_quark_from_string(drain->region));
        if (g_strcmp0(teller, frame->from) != 0) {
            notices_tell_drain(notices, name);
        }
    }
    if (is_any_new) {
        notices_report_drain(notices);
    }
}

/* The drains heard lately that this node passes on; their strings live as long
 * as the process. */
static GPtrArray *
collect_drains(struct ch_notices *notices)
{
    GPtrArray *drains = g_ptr_array_new_with_free_func(g_free);
    int64_t now = ch_client_get_time(notices->client);
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&notices->lock);
    g_hash_table_iter_init(&iterator, notices->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct notices_upstream *upstream = value;
        const struct ch_notice_state *state = &upstream->state;
        if (!state->draining || now - state->drain_heard_at > REFRESH_US) {
            continue;
        }
        g_autofree char *teller = NULL;
        if (is_teller(notices, upstream->name, upstream->region, &teller)) {
            const Chestnuthitch__Wire__DrainNotice drain =
                write_drain(upstream);
            g_ptr_array_add(drains, g_memdup2(&drain, sizeof(drain)));
        }
    }
    pthread_mutex_unlock(&notices->lock);
    return drains;
}

/* See notices_internal.h. */
void
notices_refresh_drains(struct ch_notices *notices)
{
    GPtrArray *drains = collect_drains(notices);
    if (drains->len > 0) {
        GPtrArray *others = notices->peers.list_live(notices->peers.data);
        unsigned stride = 1 + others->len / NODES_PER_REFRESH;
        for (guint i = notices->refresh_round++ % stride; i < others->len;
             i += stride) {
            send_drains(notices, g_ptr_array_index(others, i),
                        (Chestnuthitch__Wire__DrainNotice **)drains->pdata,
                        drains->len);
        }
        g_ptr_array_free(others, TRUE);
    }
    g_ptr_array_free(drains, TRUE);
}
