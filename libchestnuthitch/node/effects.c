/*
 * Effects of decisions, carried out after the homes' lock is released:
 * callbacks of requests, messages to other nodes, orders through the ledger.
 */

#include "node/homes_internal.h"

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A Release or Withdraw is sent again after this delay, this many times:
     * some seconds in all, after which the home is gone or has dropped the
     * grant of a node that it can't hear. */
    RELEASE_RETRY_DELAY_US = 200 * 1000,
    MAX_RELEASE_RETRIES = 50,
    RELEASE_TIMEOUT_US = 1000 * 1000,
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
    char *to; /* node name */
    uint64_t id;
    uint32_t priority;
    GQuark upstream;
    enum ch_action_kind action;
    GQuark item;
    uint32_t memory_mb;
    struct upstream *ledger_upstream;
    struct ch_timing_sample sample;
    Chestnuthitch__Wire__UpstreamState *state;
};

/* Starts an empty list, which effects_run or effects_submit frees. */
void
effects_init(struct effects *effects)
{
    effects->list = g_ptr_array_new();
}

static struct effect *
add_effect(struct effects *effects, enum effect_kind kind)
{
    struct effect *effect = g_new0(struct effect, 1);
    effect->kind = kind;
    g_ptr_array_add(effects->list, effect);
    return effect;
}

/* Calls the request's `granted` handler. */
void
effects_add_granted(struct effects *effects, const struct request *request,
                    struct ch_homes *homes, uint32_t priority)
{
    const struct ch_upstream_view *view =
        upstream_list_get_view(homes, request->upstream);
    struct effect *effect = add_effect(effects, EFFECT_GRANTED);
    effect->handlers = request->handlers;
    effect->data = request->data;
    effect->grant = (struct ch_grant){
        .handle = request->handle,
        .upstream = request->upstream->name,
        .version = request->upstream->version,
        .version_id = request->upstream->version_id,
        .client = request->upstream->client,
        .address = request->upstream->address,
        .priority = priority,
        .other_region = g_strcmp0(request->upstream->region,
                                  homes->node->settings->region) != 0,
        .token_time = view != NULL ? view->token_time : 0,
    };
}

/* Calls the request's `refused` handler. */
void
effects_add_refused(struct effects *effects, const struct request *request,
                    enum ch_code code, int64_t retry_after,
                    const char *message)
{
    struct effect *effect = add_effect(effects, EFFECT_REFUSED);
    effect->handlers = request->handlers;
    effect->data = request->data;
    effect->code = code;
    effect->retry_after = retry_after;
    effect->message = g_strdup(message);
}

/* Tells another node that its request may be sent. */
void
effects_add_grant_frame(struct effects *effects, const struct ticket *ticket,
                        uint64_t handle, uint32_t priority,
                        const struct ch_homes *homes)
{
    struct effect *effect = add_effect(effects, EFFECT_GRANT_FRAME);
    effect->to = g_strdup(ticket->from_node);
    effect->id = ticket->enqueue_id;
    effect->grant.handle = handle;
    effect->priority = priority;
    effect->state =
        upstream_make_state((struct ch_homes *)homes, ticket->upstream);
}

/* Tells another node that its request is refused. */
void
effects_add_refuse_frame(struct effects *effects, const struct ticket *ticket,
                         enum ch_code code, int64_t retry_after,
                         const char *message, const struct ch_homes *homes)
{
    struct effect *effect = add_effect(effects, EFFECT_REFUSE_FRAME);
    effect->to = g_strdup(ticket->from_node);
    effect->id = ticket->enqueue_id;
    effect->code = code;
    effect->retry_after = retry_after;
    effect->message = g_strdup(message);
    effect->state =
        upstream_make_state((struct ch_homes *)homes, ticket->upstream);
}

/* Passes a load order, with its reservation, or an unload order to the
 * ledger. */
void
effects_add_order(struct effects *effects, const struct upstream *upstream,
                  enum ch_action_kind kind, GQuark item, uint32_t memory_mb)
{
    struct effect *effect = add_effect(effects, EFFECT_ORDER);
    effect->upstream = upstream->name;
    effect->action = kind;
    effect->item = item;
    effect->memory_mb = memory_mb;
}

/* Opens or closes the upstream's ledger.  Holds a reference to the upstream
 * until then: close uses the client that was passed to open. */
void
effects_add_ledger_change(struct effects *effects, struct upstream *upstream,
                          bool open)
{
    struct effect *effect =
        add_effect(effects, open ? EFFECT_LEDGER_OPEN : EFFECT_LEDGER_CLOSE);
    effect->upstream = upstream->name;
    effect->memory_mb = upstream->capacity_mb;
    effect->ledger_upstream = upstream_ref(upstream);
}

/* Releases a grant at its home. */
void
effects_add_release(struct effects *effects, const char *home, GQuark upstream,
                    uint64_t grant, const struct ch_timing_sample *sample)
{
    struct effect *effect = add_effect(effects, EFFECT_RELEASE);
    effect->to = g_strdup(home);
    effect->upstream = upstream;
    effect->id = grant;
    effect->sample = *sample;
}

/* Withdraws a queued request from its home. */
void
effects_add_withdraw(struct effects *effects, const char *home,
                     GQuark upstream, uint64_t enqueue)
{
    struct effect *effect = add_effect(effects, EFFECT_WITHDRAW);
    effect->to = g_strdup(home);
    effect->upstream = upstream;
    effect->id = enqueue;
}

/* ---- delivery of Release and Withdraw ---- */

struct delivery {
    struct ch_homes *homes;
    char *to;
    GQuark upstream;
    bool withdraw;
    uint64_t id;
    struct ch_timing_sample sample;
    unsigned retries_left;
};

static void
free_delivery(struct delivery *delivery)
{
    g_free(delivery->to);
    g_free(delivery);
}

static void send_delivery(void *data);

/* Frees an acknowledged message, or sends it again after a delay.  Otherwise a
 * Release lost with its connection would leave the home counting a request
 * that ended long ago: a batch slot lost for good. */
static void
handle_delivery_reply(void *data, enum ch_code code,
                      const Chestnuthitch__Wire__Frame *reply)
{
    (void)reply;
    struct delivery *delivery = data;
    if (code == CH_OK || delivery->retries_left == 0) {
        free_delivery(delivery);
        return;
    }
    delivery->retries_left--;
    ch_timers_add(delivery->homes->node->timers, RELEASE_RETRY_DELAY_US,
                  send_delivery, delivery);
}

/* Sends the message as a request to the peer, which acknowledges it. */
static void
send_delivery(void *data)
{
    struct delivery *delivery = data;
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Release release = WIRE(RELEASE__INIT);
    Chestnuthitch__Wire__Withdraw withdraw = WIRE(WITHDRAW__INIT);
    char *upstream = (char *)g_quark_to_string(delivery->upstream);
    if (delivery->withdraw) {
        withdraw.upstream = upstream;
        withdraw.enqueue = delivery->id;
        frame.body_case = WIRE(FRAME__BODY_WITHDRAW);
        frame.withdraw = &withdraw;
    }
    else {
        release.upstream = upstream;
        release.grant = delivery->id;
        release.code = (uint32_t)delivery->sample.code;
        release.first_us = (uint64_t)MAX(delivery->sample.first_byte_time, 0);
        release.token_us = (uint64_t)MAX(delivery->sample.token_time, 0);
        release.tokens = delivery->sample.token_count;
        frame.body_case = WIRE(FRAME__BODY_RELEASE);
        frame.release = &release;
    }
    ch_peers_request(delivery->homes->node->peers, delivery->to, &frame,
                     RELEASE_TIMEOUT_US, handle_delivery_reply, delivery);
}

/* Starts to send a Release or Withdraw. */
static void
start_delivery(struct ch_homes *homes, const struct effect *effect)
{
    struct delivery *delivery = g_new0(struct delivery, 1);
    delivery->homes = homes;
    delivery->to = g_strdup(effect->to);
    delivery->upstream = effect->upstream;
    delivery->withdraw = effect->kind == EFFECT_WITHDRAW;
    delivery->id = effect->id;
    delivery->sample = effect->sample;
    delivery->retries_left = MAX_RELEASE_RETRIES;
    send_delivery(delivery);
}

/* ---- replies to an Enqueue ---- */

/* Replies to an Enqueue with a Grant.  If the connection of the entry node is
 * gone, that node has been told CH_PEER_LOST and sends a Withdraw, which ends
 * the grant. */
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
    struct ch_ledger_manager *ledger = homes->node->ledger;
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
            ch_ledger_manager_load(ledger, effect->upstream, effect->item,
                                   effect->memory_mb);
        }
        else {
            ch_ledger_manager_unload(ledger, effect->upstream, effect->item);
        }
        break;
    case EFFECT_LEDGER_OPEN:
        ch_ledger_manager_open(ledger, effect->upstream,
                               effect->ledger_upstream->client,
                               effect->memory_mb);
        break;
    case EFFECT_LEDGER_CLOSE:
        ch_ledger_manager_close(ledger, effect->upstream);
        break;
    case EFFECT_RELEASE:
    case EFFECT_WITHDRAW:
        start_delivery(homes, effect);
        break;
    }
}

/* Carries out all effects in order and empties the list.  Called without the
 * homes' lock, which an effect may take again. */
void
effects_run(struct ch_homes *homes, struct effects *effects)
{
    for (guint i = 0; i < effects->list->len; i++) {
        struct effect *effect = g_ptr_array_index(effects->list, i);
        run_effect(homes, effect);
        if (effect->ledger_upstream != NULL) {
            pthread_mutex_lock(&homes->lock);
            upstream_unref(effect->ledger_upstream);
            pthread_mutex_unlock(&homes->lock);
        }
        upstream_free_state(effect->state);
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

/* Runs on the pool: carries out a batch of effects. */
static void
run_batch(void *data)
{
    struct batch *batch = data;
    effects_run(batch->homes, &batch->effects);
    g_free(batch);
}

/* Has the pool carry out the effects, if any.  Takes over the list. */
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
