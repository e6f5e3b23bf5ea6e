/*
 * The requests of this node's callers on their way to a grant: routed to an
 * upstream, queued at its home here or on another node, routed anew when the
 * home is lost or refuses.
 */

#include "node/homes_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /*
     * A refusal by a home is tried at this many others: the view by which the
     * first was chosen may be half a second old.  More would turn overload
     * into a storm of Enqueues.
     */
    REFUSALS = 2,
    /* Homes that may be lost or moved under one request before it is refused:
     * each costs the silent limit at most. */
    LOST_HOMES = 6,
    LOST_RETRY_AFTER = 1000 * 1000,
    /* Ticks this far apart mean that the process did not run: twenty of them
     * are missing.  On a starved machine it may be wrong, at the cost of one
     * more Enqueue. */
    PAUSE = 1000 * 1000,
    /* What one request may carry over the link, for the byte budget. */
    LINK_HEAD_BYTES = 2048,
    LINK_PROMPT_BYTES = 4,
    LINK_TOKEN_BYTES = 96,
};

/* Frees a request that was answered. */
static void
free_request(struct ch_homes *homes, struct request *request)
{
    ch_table_remove(homes->requests, request->handle);
    if (request->upstream != NULL) {
        upstream_unref(request->upstream);
    }
    g_array_free(request->excluded, TRUE);
    g_free(request->home);
    g_free(request->refusal_message);
    g_free(request);
}

/* Its home, here, grants the request. */
void
request_granted(struct ch_homes *homes, struct request *request,
                uint32_t priority, struct effects *effects)
{
    request->state = REQUEST_GRANTED_HERE;
    effects_granted(effects, request, homes, priority);
}

static void route_request(struct ch_homes *homes, struct request *request,
                          int64_t now, struct effects *effects);

/* Whether another home may be asked after this refusal. */
static bool
may_ask_another(struct request *request, enum ch_code code)
{
    switch (code) {
    case CH_PEER_LOST:
    case CH_PEER_TIMEOUT:
    case CH_NOT_READY:
        return ++request->bounces <= LOST_HOMES;
    case CH_LATE:
    case CH_QUEUE_FULL:
    case CH_NO_UPSTREAM:
        if (++request->bounces > REFUSALS) {
            return false;
        }
        g_array_append_val(request->excluded, request->upstream->name);
        return true;
    default:
        return false;
    }
}

/* A home refuses the request, or is lost with it: it is routed anew, or its
 * caller gets the answer at once. */
void
request_refused(struct ch_homes *homes, struct request *request,
                enum ch_code code, int64_t retry_after, const char *message,
                int64_t now, struct effects *effects)
{
    if (may_ask_another(request, code)) {
        if (ch_code_outcome(code) == CH_NOT_RUN && code != CH_NOT_READY) {
            request->refusal = code;
            request->refusal_after = retry_after;
            g_free(request->refusal_message);
            request->refusal_message = g_strdup(message);
        }
        route_request(homes, request, now, effects);
        return;
    }
    if (code == CH_PEER_LOST || code == CH_PEER_TIMEOUT) {
        code = CH_NO_UPSTREAM;
        retry_after = LOST_RETRY_AFTER;
    }
    effects_refused(effects, request, code, retry_after, message);
    free_request(homes, request);
}

/* ---- queued at another node ---- */

struct enqueue {
    struct ch_homes *homes;
    uint64_t handle;
    char *home;
    GQuark upstream;
};

/* The home grants: unless the request was withdrawn meanwhile, its caller's
 * side may dispatch. */
static void
take_grant(struct ch_homes *homes, struct request *request,
           const Chestnuthitch__Wire__Grant *grant, struct effects *effects)
{
    if (request->withdrawn) {
        struct ch_timing_sample sample = {.code = CH_PEER_LOST};
        effects_release(effects, request->home, request->upstream->name,
                        grant->grant, &sample);
        free_request(homes, request);
        return;
    }
    request->state = REQUEST_GRANTED_THERE;
    request->ticket = grant->grant;
    effects_granted(effects, request, homes, grant->priority);
}

/* The reply to an Enqueue, or its loss.  After a loss the home may hold the
 * request queued or granted all the same: the Withdraw ends that. */
static void
take_reply(struct ch_homes *homes, struct request *request, enum ch_code code,
           const Chestnuthitch__Wire__Frame *reply, struct effects *effects)
{
    int64_t now = ch_client_now(homes->node->client);
    if (reply != NULL && reply->body_case == WIRE(FRAME__BODY_GRANT)) {
        if (reply->grant->state != NULL) {
            site_take_state(homes, reply->grant->state, now);
        }
        take_grant(homes, request, reply->grant, effects);
        return;
    }
    int64_t retry_after = 0;
    const char *message = "the home was lost";
    if (reply != NULL && reply->body_case == WIRE(FRAME__BODY_REFUSE)) {
        if (reply->refuse->state != NULL) {
            site_take_state(homes, reply->refuse->state, now);
        }
        code = (enum ch_code)reply->refuse->code;
        retry_after = (int64_t)reply->refuse->retry_after_ms * 1000;
        message = reply->refuse->message;
    }
    else {
        code = CH_PEER_LOST;
        effects_withdraw(effects, request->home, request->upstream->name,
                         request->enqueue);
    }
    if (request->withdrawn) {
        free_request(homes, request);
        return;
    }
    request_refused(homes, request, code, retry_after, message, now, effects);
}

/* On the pool: the reply to an Enqueue, or its loss. */
static void
enqueue_done(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct enqueue *enqueue = data;
    struct ch_homes *homes = enqueue->homes;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct request *request = ch_table_get(homes->requests, enqueue->handle);
    if (request != NULL) {
        take_reply(homes, request, code, reply, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    g_free(enqueue->home);
    g_free(enqueue);
}

/* Sends the Enqueue.  The lock is held, so that the reply can't be taken
 * before the request knows the Enqueue's id. */
static void
send_enqueue(struct ch_homes *homes, struct request *request, int64_t now)
{
    const struct ch_request_info *work = &request->work;
    char tenant[32];
    g_snprintf(tenant, sizeof(tenant), "%016" G_GINT64_MODIFIER "x",
               work->tenant);
    Chestnuthitch__Wire__Enqueue body = WIRE(ENQUEUE__INIT);
    body.upstream = (char *)g_quark_to_string(request->upstream->name);
    body.model = (char *)g_quark_to_string(work->model);
    body.adapter =
        work->adapter != 0 ? (char *)g_quark_to_string(work->adapter) : "";
    body.class_name = (char *)g_quark_to_string(work->class_name);
    body.tenant = tenant;
    body.prompt_tokens = work->prompt_tokens;
    body.output_tokens = work->max_output_tokens;
    body.prefix = work->prefix_hash;
    body.left_us = (uint64_t)MAX(work->first_token_deadline - now, 0);
    body.between_us = (uint64_t)work->token_target;
    body.whole_us = work->answer_deadline > 0
                        ? (uint64_t)MAX(work->answer_deadline - now, 1)
                        : 0;
    body.service = work->is_service;
    body.attempt = work->attempt;
    body.idempotent = work->idempotent;
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_ENQUEUE);
    frame.enqueue = &body;
    struct enqueue *enqueue = g_new0(struct enqueue, 1);
    enqueue->homes = homes;
    enqueue->handle = request->handle;
    enqueue->home = g_strdup(request->home);
    enqueue->upstream = request->upstream->name;
    request->state = REQUEST_QUEUED_THERE;
    ch_metrics_count(homes->node->client->metrics, CH_COUNT_FORWARDED, 1);
    request->enqueue = ch_peers_request(homes->node->peers, request->home,
                                        &frame, 0, enqueue_done, enqueue);
}

/* ---- routing ---- */

/* Takes what the request may carry over the link out of the byte budget. */
static void
take_link(struct ch_homes *homes, const struct request *request, int64_t now)
{
    const struct ch_upstream_view *view = site_view(homes, request->upstream);
    if (view == NULL || view->region == homes->fleet.region) {
        return;
    }
    double bytes = LINK_HEAD_BYTES +
                   (double)LINK_PROMPT_BYTES * request->work.prompt_tokens +
                   (double)LINK_TOKEN_BYTES * request->work.max_output_tokens;
    ch_token_bucket_take(&homes->link, bytes, now);
}

/* Counts a pause of this process, seen by the ticks or before the next one. */
void
homes_note_pause(struct ch_homes *homes, int64_t now)
{
    if (homes->ticked > 0 && now - homes->ticked > PAUSE) {
        homes->pauses++;
        homes->ticked = now;
    }
}

/* Chooses an upstream and asks its home, or refuses at once. */
static void
route_request(struct ch_homes *homes, struct request *request, int64_t now,
              struct effects *effects)
{
    homes->fleet.link_bytes_left =
        (int64_t)ch_token_bucket_level(&homes->link, now);
    homes_refresh_loads(homes, now);
    struct ch_route route =
        ch_route_choose_retry(homes->policy, &homes->fleet, &request->work,
                              request->excluded, request->failed, now);
    if (route.code != CH_OK && request->refusal != CH_OK) {
        /* Every place was asked: the caller learns what the last one said,
         * and when it may come back, rather than that there is none. */
        effects_refused(effects, request, request->refusal,
                        request->refusal_after, request->refusal_message);
        free_request(homes, request);
        return;
    }
    if (route.code != CH_OK) {
        effects_refused(effects, request, route.code, route.retry_after,
                        route.message);
        free_request(homes, request);
        return;
    }
    if (request->upstream != NULL) {
        upstream_unref(request->upstream);
    }
    request->upstream =
        upstream_ref(g_ptr_array_index(homes->upstreams, route.upstream));
    take_link(homes, request, now);
    homes_note_pause(homes, now);
    request->pauses = homes->pauses;
    g_free(request->home);
    request->home = ch_peers_upstream_home(
        homes->node->peers, request->upstream->key, request->upstream->region,
        request->upstream->data_centre);
    if (strcmp(request->home, homes->node->settings->name) == 0) {
        home_open(homes, request->upstream, now, effects);
        home_offer_local(homes, request, now, effects);
        return;
    }
    send_enqueue(homes, request, now);
}

/* Asks for leave to dispatch.  One of the handlers runs once, on a pool
 * worker, unless the request is withdrawn first. */
uint64_t
ch_homes_request(struct ch_homes *homes, const struct ch_request_info *work,
                 const GArray *excluded,
                 const struct ch_router_handlers *handlers, void *data)
{
    struct request *request = g_new0(struct request, 1);
    request->work = *work;
    request->handlers = handlers;
    request->data = data;
    request->excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
    if (excluded != NULL && excluded->len > 0) {
        g_array_append_vals(request->excluded, excluded->data, excluded->len);
        request->failed = excluded->len;
    }
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    uint64_t handle = ch_table_add(homes->requests, request);
    request->handle = handle;
    route_request(homes, request, ch_client_now(homes->node->client),
                  &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_submit(homes, &effects);
    return handle;
}

/* Ends the wait for a grant.  What follows for other requests runs on the
 * pool, as the caller may hold the lock of its own. */
bool
ch_homes_withdraw(struct ch_homes *homes, uint64_t handle)
{
    int64_t now = ch_client_now(homes->node->client);
    bool withdrawn = false;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct request *request = ch_table_get(homes->requests, handle);
    if (request != NULL && request->state == REQUEST_QUEUED_HERE) {
        home_withdraw(homes, request->ticket, now, &effects);
        free_request(homes, request);
        withdrawn = true;
    }
    else if (request != NULL && request->state == REQUEST_QUEUED_THERE &&
             !request->withdrawn) {
        request->withdrawn = true;
        effects_withdraw(&effects, request->home, request->upstream->name,
                         request->enqueue);
        withdrawn = true;
    }
    pthread_mutex_unlock(&homes->lock);
    effects_submit(homes, &effects);
    return withdrawn;
}

/* Gives a grant back, telling how the dispatch went. */
void
ch_homes_release(struct ch_homes *homes, uint64_t handle,
                 const struct ch_timing_sample *sample)
{
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct request *request = ch_table_get(homes->requests, handle);
    if (request != NULL && request->state == REQUEST_GRANTED_HERE) {
        home_release(homes, request->ticket, sample,
                     ch_client_now(homes->node->client), &effects);
        free_request(homes, request);
    }
    else if (request != NULL && request->state == REQUEST_GRANTED_THERE) {
        effects_release(&effects, request->home, request->upstream->name,
                        request->ticket, sample);
        free_request(homes, request);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_submit(homes, &effects);
}

/*
 * A process that is stopped between a grant and its use wakes up with leave
 * that is as old as the pause.  The upstream may have left meanwhile and would
 * get new work long after; the home has ended the grant and given the place to
 * another.  So a grant from before a pause is given back and asked for anew.
 * What remains is a pause within the microseconds between this look and the
 * call.
 */
bool
request_is_stale(struct ch_homes *homes, uint64_t handle)
{
    static const struct ch_timing_sample unused = {.code = CH_CANCELLED};
    int64_t now = ch_client_now(homes->node->client);
    bool stale = false;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    homes_note_pause(homes, now);
    struct request *request = ch_table_get(homes->requests, handle);
    if (request != NULL && request->pauses != homes->pauses) {
        stale = true;
        if (request->state == REQUEST_GRANTED_HERE) {
            home_release(homes, request->ticket, &unused, now, &effects);
        }
        else {
            effects_release(&effects, request->home, request->upstream->name,
                            request->ticket, &unused);
        }
        request->state = REQUEST_ROUTING;
        route_request(homes, request, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    return stale;
}

/* A Grant that nobody waits for: it goes back at once. */
static void
handle_late(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_homes *homes = data;
    if (frame->body_case != WIRE(FRAME__BODY_GRANT) ||
        frame->grant->state == NULL) {
        return;
    }
    GQuark upstream = g_quark_try_string(frame->grant->state->upstream);
    if (upstream == 0) {
        return;
    }
    struct ch_timing_sample sample = {.code = CH_PEER_LOST};
    struct effects effects;
    effects_init(&effects);
    effects_release(&effects, frame->from, upstream, frame->grant->grant,
                    &sample);
    effects_run(homes, &effects);
}

/* ---- as a router ---- */

static void
router_start(struct ch_router *router)
{
    ch_homes_start((struct ch_homes *)router);
}

static bool
router_ready(struct ch_router *router)
{
    return ch_homes_ready((struct ch_homes *)router);
}

static uint64_t
router_request(struct ch_router *router, const struct ch_request_info *work,
               const GArray *excluded,
               const struct ch_router_handlers *handlers, void *data)
{
    return ch_homes_request((struct ch_homes *)router, work, excluded,
                            handlers, data);
}

static bool
router_withdraw(struct ch_router *router, uint64_t handle)
{
    return ch_homes_withdraw((struct ch_homes *)router, handle);
}

static void
router_release(struct ch_router *router, uint64_t handle,
               const struct ch_timing_sample *sample)
{
    ch_homes_release((struct ch_homes *)router, handle, sample);
}

static void
router_drain(struct ch_router *router)
{
    ch_homes_drain((struct ch_homes *)router);
}

static void
router_stop(struct ch_router *router)
{
    ch_homes_stop((struct ch_homes *)router);
}

static void
router_free(struct ch_router *router)
{
    ch_homes_free((struct ch_homes *)router);
}

static void
router_status(struct ch_router *router, JsonBuilder *builder)
{
    ch_homes_status((struct ch_homes *)router, builder);
}

/* See node.h. */
struct ch_router *
ch_homes_router(struct ch_homes *homes)
{
    static const struct ch_router_ops ops = {
        .start = router_start,
        .ready = router_ready,
        .request = router_request,
        .withdraw = router_withdraw,
        .release = router_release,
        .drain = router_drain,
        .stop = router_stop,
        .free = router_free,
        .status = router_status,
    };
    homes->router.ops = &ops;
    return &homes->router;
}

/* ---- life ---- */

/* Sets the handlers of frames; nothing runs before ch_homes_start. */
struct ch_homes *
ch_homes_new(struct ch_node *node)
{
    struct ch_homes *homes = g_new0(struct ch_homes, 1);
    homes->node = node;
    homes->policy = ch_policy_find("default");
    homes->live = 1;
    homes->random =
        g_rand_new_with_seed((guint32)ch_hash_string(node->settings->name));
    pthread_mutex_init(&homes->lock, NULL);
    pthread_cond_init(&homes->idle, NULL);
    homes->requests = ch_table_new();
    homes->tickets = ch_table_new();
    site_init(homes);
    int64_t now = ch_client_now(node->client);
    const struct ch_settings *settings = node->settings;
    ch_token_bucket_init(&homes->loads, settings->loads_per_s,
                         settings->loads_parallel, now);
    ch_token_bucket_init(&homes->link, settings->link_mbit * 1e6 / 8,
                         settings->link_mbit * 1e6 / 4, now);
    home_handlers(homes);
    gossip_handlers(homes);
    ch_peers_handle_late(node->peers, handle_late, homes);
    return homes;
}

/* Starts what recurs: the list at once, so that the node is soon of use. */
void
ch_homes_start(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    homes->jobs += 2;
    pthread_mutex_unlock(&homes->lock);
    homes_fetch_list(homes);
    ch_timers_after(homes->node->timers, CH_HOME_TICK_US, homes_run_tick,
                    homes);
}

/* Hands the homes over: says that this node stops, then closes each, by which
 * what is queued goes to the homes' successors.  A node that is alone keeps
 * them until its own callers are answered. */
void
ch_homes_drain(struct ch_homes *homes)
{
    ch_peers_stopping(homes->node->peers);
    gossip_stopping(homes);
    struct effects effects;
    effects_init(&effects);
    char **live = ch_peers_live(homes->node->peers);
    bool alone = g_strv_length(live) <= 1;
    g_strfreev(live);
    pthread_mutex_lock(&homes->lock);
    homes->draining = !alone;
    home_rehome(homes, ch_client_now(homes->node->client), &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/* Frees a request or ticket that was still in its table. */
static void
collect(void *item, uint64_t handle, void *data)
{
    (void)handle;
    g_ptr_array_add(data, item);
}

/* Frees the homes after the last job of the pool. */
void
ch_homes_free(struct ch_homes *homes)
{
    if (homes == NULL) {
        return;
    }
    GPtrArray *items = g_ptr_array_new();
    ch_table_each(homes->requests, collect, items);
    for (guint i = 0; i < items->len; i++) {
        free_request(homes, g_ptr_array_index(items, i));
    }
    g_ptr_array_set_size(items, 0);
    ch_table_each(homes->tickets, collect, items);
    for (guint i = 0; i < items->len; i++) {
        home_free_ticket(g_ptr_array_index(items, i));
    }
    g_ptr_array_free(items, TRUE);
    ch_table_free(homes->requests);
    ch_table_free(homes->tickets);
    site_clear(homes);
    g_rand_free(homes->random);
    pthread_mutex_destroy(&homes->lock);
    pthread_cond_destroy(&homes->idle);
    g_free(homes);
}
