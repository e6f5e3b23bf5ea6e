/*
 * What decisions lead to, carried out after the homes' lock is given back:
 * callbacks of requests, frames to other nodes, orders through the ledger.
 */

#include "node/homes_internal.h"

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A Release or Withdraw is sent again this soon, and this often: some
     * seconds, after which the home is gone for good or has dropped the grant
     * of a node that it can't hear. */
    RESEND_DELAY = 200 * 1000,
    RESENDS = 50,
    RELEASE_LIMIT = 1000 * 1000,
};

enum effect_kind {
    EFFECT_GRANTED,
    EFFECT_REFUSED,
    EFFECT_GRANT_FRAME,
    EFFECT_REFUSE_FRAME,
    EFFECT_ORDER,
    EFFECT_LEDGER_OPEN,
    EFFECT_LEDGER_CLOSE,
    EFFECT_RELEASE,
    EFFECT_WITHDRAW,
};

struct effect {
    enum effect_kind kind;
    const struct ch_router_handlers *handlers;
    void *data;
    struct ch_grant grant;
    enum ch_code code;
    int64_t retry_after;
    char *message;
    char *to; /* node */
    uint64_t id;
    uint32_t priority;
    GQuark upstream;
    enum ch_action_kind action;
    GQuark item;
    uint32_t memory_mb;
    struct upstream *held;
    struct ch_timing_sample sample;
    Chestnuthitch__Wire__UpstreamState *state;
};

/* An empty list of effects. */
void
effects_init(struct effects *effects)
{
    effects->list = g_ptr_array_new();
}

/* One more effect of a kind. */
static struct effect *
add_effect(struct effects *effects, enum effect_kind kind)
{
    struct effect *effect = g_new0(struct effect, 1);
    effect->kind = kind;
    g_ptr_array_add(effects->list, effect);
    return effect;
}

/* The request's granted handler is to be called. */
void
effects_granted(struct effects *effects, const struct request *request,
                struct ch_homes *homes, uint32_t priority)
{
    const struct ch_upstream_view *view = site_view(homes, request->upstream);
    struct effect *effect = add_effect(effects, EFFECT_GRANTED);
    effect->handlers = request->handlers;
    effect->data = request->data;
    effect->grant = (struct ch_grant){
        .handle = request->handle,
        .upstream = request->upstream->name,
        .client = request->upstream->client,
        .address = request->upstream->address,
        .priority = priority,
        .other_region = g_strcmp0(request->upstream->region,
                                  homes->node->settings->region) != 0,
        .token = view != NULL ? view->token_time : 0,
    };
}

/* The request's refused handler is to be called. */
void
effects_refused(struct effects *effects, const struct request *request,
                enum ch_code code, int64_t retry_after, const char *message)
{
    struct effect *effect = add_effect(effects, EFFECT_REFUSED);
    effect->handlers = request->handlers;
    effect->data = request->data;
    effect->code = code;
    effect->retry_after = retry_after;
    effect->message = g_strdup(message);
}

/* Another node's request is to hear that it may be dispatched. */
void
effects_grant_frame(struct effects *effects, const struct ticket *ticket,
                    uint64_t handle, uint32_t priority,
                    const struct ch_homes *homes)
{
    struct effect *effect = add_effect(effects, EFFECT_GRANT_FRAME);
    effect->to = g_strdup(ticket->from);
    effect->id = ticket->enqueue;
    effect->grant.handle = handle;
    effect->priority = priority;
    effect->state =
        site_make_state((struct ch_homes *)homes, ticket->upstream);
}

/* Another node's request is to hear that it is refused. */
void
effects_refuse_frame(struct effects *effects, const struct ticket *ticket,
                     enum ch_code code, int64_t retry_after,
                     const char *message, const struct ch_homes *homes)
{
    struct effect *effect = add_effect(effects, EFFECT_REFUSE_FRAME);
    effect->to = g_strdup(ticket->from);
    effect->id = ticket->enqueue;
    effect->code = code;
    effect->retry_after = retry_after;
    effect->message = g_strdup(message);
    effect->state =
        site_make_state((struct ch_homes *)homes, ticket->upstream);
}

/* The ledger is to reserve and order, or to order an unload. */
void
effects_order(struct effects *effects, const struct upstream *upstream,
              enum ch_action_kind kind, GQuark item, uint32_t memory_mb)
{
    struct effect *effect = add_effect(effects, EFFECT_ORDER);
    effect->upstream = upstream->name;
    effect->action = kind;
    effect->item = item;
    effect->memory_mb = memory_mb;
}

/* The upstream's ledger is to be opened or closed.  The upstream is held until
 * that is done: close uses the client that open was given. */
void
effects_ledger(struct effects *effects, struct upstream *upstream, bool open)
{
    struct effect *effect =
        add_effect(effects, open ? EFFECT_LEDGER_OPEN : EFFECT_LEDGER_CLOSE);
    effect->upstream = upstream->name;
    effect->memory_mb = upstream->capacity_mb;
    effect->held = upstream_ref(upstream);
}

/* A grant is to be given back to its home. */
void
effects_release(struct effects *effects, const char *home, GQuark upstream,
                uint64_t grant, const struct ch_timing_sample *sample)
{
    struct effect *effect = add_effect(effects, EFFECT_RELEASE);
    effect->to = g_strdup(home);
    effect->upstream = upstream;
    effect->id = grant;
    effect->sample = *sample;
}

/* A queued request is no longer wanted. */
void
effects_withdraw(struct effects *effects, const char *home, GQuark upstream,
                 uint64_t enqueue)
{
    struct effect *effect = add_effect(effects, EFFECT_WITHDRAW);
    effect->to = g_strdup(home);
    effect->upstream = upstream;
    effect->id = enqueue;
}

/* ---- a Release or Withdraw on its way ---- */

struct parcel {
    struct ch_homes *homes;
    char *to;
    GQuark upstream;
    bool withdraw;
    uint64_t id;
    struct ch_timing_sample sample;
    unsigned left;
};

/* Frees a parcel that arrived or is given up. */
static void
free_parcel(struct parcel *parcel)
{
    g_free(parcel->to);
    g_free(parcel);
}

static void send_parcel(void *data);

/* Acknowledged, or to be sent again a little later.  Without this a Release
 * lost with its connection would leave the home counting a request that has
 * long ended: a place in the batch lost for good. */
static void
parcel_done(void *data, enum ch_code code,
            const Chestnuthitch__Wire__Frame *reply)
{
    (void)reply;
    struct parcel *parcel = data;
    if (code == CH_OK || parcel->left == 0) {
        free_parcel(parcel);
        return;
    }
    parcel->left--;
    ch_timers_after(parcel->homes->node->timers, RESEND_DELAY, send_parcel,
                    parcel);
}

/* Sends a parcel as a request, so that its arrival is known. */
static void
send_parcel(void *data)
{
    struct parcel *parcel = data;
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Release release = WIRE(RELEASE__INIT);
    Chestnuthitch__Wire__Withdraw withdraw = WIRE(WITHDRAW__INIT);
    char *upstream = (char *)g_quark_to_string(parcel->upstream);
    if (parcel->withdraw) {
        withdraw.upstream = upstream;
        withdraw.enqueue = parcel->id;
        frame.body_case = WIRE(FRAME__BODY_WITHDRAW);
        frame.withdraw = &withdraw;
    }
    else {
        release.upstream = upstream;
        release.grant = parcel->id;
        release.code = (uint32_t)parcel->sample.code;
        release.first_us = (uint64_t)MAX(parcel->sample.first_byte_time, 0);
        release.token_us = (uint64_t)MAX(parcel->sample.token_time, 0);
        release.tokens = parcel->sample.token_count;
        frame.body_case = WIRE(FRAME__BODY_RELEASE);
        frame.release = &release;
    }
    ch_peers_request(parcel->homes->node->peers, parcel->to, &frame,
                     RELEASE_LIMIT, parcel_done, parcel);
}

/* Begins to send a Release or Withdraw. */
static void
begin_parcel(struct ch_homes *homes, const struct effect *effect)
{
    struct parcel *parcel = g_new0(struct parcel, 1);
    parcel->homes = homes;
    parcel->to = g_strdup(effect->to);
    parcel->upstream = effect->upstream;
    parcel->withdraw = effect->kind == EFFECT_WITHDRAW;
    parcel->id = effect->id;
    parcel->sample = effect->sample;
    parcel->left = RESENDS;
    send_parcel(parcel);
}

/* ---- frames ---- */

/* Replies to an Enqueue with a Grant.  When the asker's connection is gone it
 * has been told PEER_LOST and withdraws, which ends the grant. */
static void
send_grant(const struct ch_homes *homes, struct effect *effect)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Grant grant = WIRE(GRANT__INIT);
    grant.grant = effect->grant.handle;
    grant.priority = effect->priority;
    grant.state = effect->state;
    frame.body_case = WIRE(FRAME__BODY_GRANT);
    frame.grant = &grant;
    ch_peers_reply(homes->node->peers, effect->to, effect->id, &frame);
}

/* Replies to an Enqueue with a Refuse. */
static void
send_refuse(const struct ch_homes *homes, struct effect *effect)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Refuse refuse = WIRE(REFUSE__INIT);
    refuse.code = (uint32_t)effect->code;
    refuse.retry_after_ms = (uint32_t)(effect->retry_after / 1000);
    refuse.message = effect->message;
    refuse.state = effect->state;
    frame.body_case = WIRE(FRAME__BODY_REFUSE);
    frame.refuse = &refuse;
    ch_peers_reply(homes->node->peers, effect->to, effect->id, &frame);
}

/* Carries out one effect. */
static void
run_effect(struct ch_homes *homes, struct effect *effect)
{
    struct ch_ledger_keeper *ledger = homes->node->ledger;
    switch (effect->kind) {
    case EFFECT_GRANTED:
        if (!request_is_stale(homes, effect->grant.handle)) {
            effect->handlers->granted(effect->data, &effect->grant);
        }
        break;
    case EFFECT_REFUSED:
        effect->handlers->refused(effect->data, effect->code,
                                  effect->retry_after, effect->message);
        break;
    case EFFECT_GRANT_FRAME:
        send_grant(homes, effect);
        break;
    case EFFECT_REFUSE_FRAME:
        send_refuse(homes, effect);
        break;
    case EFFECT_ORDER:
        if (effect->action == CH_ACTION_LOAD) {
            ch_ledger_keeper_load(ledger, effect->upstream, effect->item,
                                  effect->memory_mb);
        }
        else {
            ch_ledger_keeper_unload(ledger, effect->upstream, effect->item);
        }
        break;
    case EFFECT_LEDGER_OPEN:
        ch_ledger_keeper_open(ledger, effect->upstream, effect->held->client,
                              effect->memory_mb);
        break;
    case EFFECT_LEDGER_CLOSE:
        ch_ledger_keeper_close(ledger, effect->upstream);
        break;
    case EFFECT_RELEASE:
    case EFFECT_WITHDRAW:
        begin_parcel(homes, effect);
        break;
    }
}

/* Carries out every effect in order and empties the list.  The homes' lock is
 * free; carrying one out may take it again. */
void
effects_run(struct ch_homes *homes, struct effects *effects)
{
    for (guint i = 0; i < effects->list->len; i++) {
        struct effect *effect = g_ptr_array_index(effects->list, i);
        run_effect(homes, effect);
        if (effect->held != NULL) {
            pthread_mutex_lock(&homes->lock);
            upstream_unref(effect->held);
            pthread_mutex_unlock(&homes->lock);
        }
        site_free_state(effect->state);
        g_free(effect->message);
        g_free(effect->to);
        g_free(effect);
    }
    g_ptr_array_free(effects->list, TRUE);
    effects->list = NULL;
}

struct batch {
    struct ch_homes *homes;
    struct effects effects;
};

/* On the pool: carries out a batch. */
static void
run_batch(void *data)
{
    struct batch *batch = data;
    effects_run(batch->homes, &batch->effects);
    g_free(batch);
}

/* Has the pool carry out the effects, if any; the list is taken over. */
void
effects_submit(struct ch_homes *homes, struct effects *effects)
{
    if (effects->list->len == 0) {
        g_ptr_array_free(effects->list, TRUE);
        effects->list = NULL;
        return;
    }
    struct batch *batch = g_new(struct batch, 1);
    batch->homes = homes;
    batch->effects = *effects;
    effects->list = NULL;
    ch_pool_submit(homes->node->pool, run_batch, batch);
}
