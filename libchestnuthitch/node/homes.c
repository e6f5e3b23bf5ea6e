/*
 * Requests of this node's callers until they are granted: routed to an
 * upstream, queued at its home on this or another node, and routed again when
 * the home is lost or refuses.
 */

#include "node/homes_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /*
     * Further homes that are asked after a refusal: the view by which the
     * first was chosen may be half a second old.  More would turn overload
     * into a storm of Enqueue messages.
     */
    MAX_REFUSALS = 2,
    /* Homes that may be lost or moved while a request waits, before the
     * request is refused.  Each delays the request by the peer silence limit
     * at most. */
    MAX_LOST_HOMES = 6,
    LOST_HOME_RETRY_AFTER_US = 1000 * 1000,
    /* Time without a tick after which the process counts as suspended: twenty
     * ticks are missing.  On an overloaded machine this may be wrong, which
     * costs an additional Enqueue. */
    MIN_PAUSE_US = 1000 * 1000,
    /* Bytes that one request may send over the link to another region, for the
     * link budget. */
    LINK_BYTES_PER_REQUEST = 2048,
    LINK_BYTES_PER_PROMPT_TOKEN = 4,
    LINK_BYTES_PER_OUTPUT_TOKEN = 96,
};

/* Removes a request from the table and frees it. */
static void
free_request(struct ch_homes *homes, struct request *request)
{
    ch_table_remove(homes->requests, request->handle);
    if (request->upstream != NULL) {
        upstream_unref(request->upstream);
    }
    g_array_free(request->excluded, TRUE);
    g_free(request->home_node);
    g_free(request->last_refusal_message);
    g_free(request);
}

/* Handles a grant by a home on this node. */
void
request_handle_grant(struct ch_homes *homes, struct request *request,
                     uint32_t priority, struct effects *effects)
{
    request->state = REQUEST_GRANTED_LOCAL;
    effects_add_granted(effects, request, homes, priority);
}

static void route_request(struct ch_homes *homes, struct request *request,
                          int64_t now, struct effects *effects);

/* Whether the request may be routed to another home after this refusal. */
static bool
may_try_another_home(struct request *request, enum ch_code code)
{
    switch (code) {
    case CH_PEER_LOST:
    case CH_PEER_TIMEOUT:
    case CH_NOT_READY:
        return ++request->reroute_count <= MAX_LOST_HOMES;
    case CH_LATE:
    case CH_QUEUE_FULL:
    case CH_NO_UPSTREAM:
        if (++request->reroute_count > MAX_REFUSALS) {
            return false;
        }
        g_array_append_val(request->excluded, request->upstream->name);
        return true;
    default:
        return false;
    }
}

/* Handles a refusal by the request's home, or the loss of the home: the
 * request is routed again, or refused to its caller at once. */
void
request_handle_refusal(struct ch_homes *homes, struct request *request,
                       enum ch_code code, int64_t retry_after,
                       const char *message, int64_t now,
                       struct effects *effects)
{
    if (may_try_another_home(request, code)) {
        if (ch_code_get_outcome(code) == CH_NOT_RUN && code != CH_NOT_READY) {
            request->last_refusal = code;
            request->last_retry_after = retry_after;
            g_free(request->last_refusal_message);
            request->last_refusal_message = g_strdup(message);
        }
        route_request(homes, request, now, effects);
        return;
    }
    if (code == CH_PEER_LOST || code == CH_PEER_TIMEOUT) {
        code = CH_NO_UPSTREAM;
        retry_after = LOST_HOME_RETRY_AFTER_US;
    }
    effects_add_refused(effects, request, code, retry_after, message);
    free_request(homes, request);
}

/* ---- requests queued at another node ---- */

struct enqueue_call {
    struct ch_homes *homes;
    uint64_t handle;
    char *home;
    GQuark upstream;
};

/* Handles a grant by a home on another node.  The grant goes back to the home
 * if the request has been withdrawn. */
static void
handle_grant(struct ch_homes *homes, struct request *request,
             const Chestnuthitch__Wire__Grant *grant, struct effects *effects)
{
    if (request->withdrawn) {
        struct ch_timing_sample sample = {.code = CH_PEER_LOST};
        effects_add_release(effects, request->home_node,
                            request->upstream->name, grant->grant, &sample);
        free_request(homes, request);
        return;
    }
    request->state = REQUEST_GRANTED_REMOTE;
    request->grant_handle = grant->grant;
    effects_add_granted(effects, request, homes, grant->priority);
}

/* Handles the reply to an Enqueue, or the loss of the home.  After a loss the
 * home may still hold the request queued or granted; the Withdraw ends
 * that. */
static void
handle_enqueue_reply(struct ch_homes *homes, struct request *request,
                     enum ch_code code,
                     const Chestnuthitch__Wire__Frame *reply,
                     struct effects *effects)
{
    int64_t now = ch_client_get_time(homes->node->client);
    if (reply != NULL && reply->body_case == WIRE(FRAME__BODY_GRANT)) {
        if (reply->grant->state != NULL) {
            upstream_list_apply_state(homes, reply->grant->state, now);
        }
        handle_grant(homes, request, reply->grant, effects);
        return;
    }
    int64_t retry_after = 0;
    const char *message = "the home node was lost";
    if (reply != NULL && reply->body_case == WIRE(FRAME__BODY_REFUSE)) {
        if (reply->refuse->state != NULL) {
            upstream_list_apply_state(homes, reply->refuse->state, now);
        }
        code = (enum ch_code)reply->refuse->code;
        retry_after = (int64_t)reply->refuse->retry_after_ms * 1000;
        message = reply->refuse->message;
    }
    else {
        code = CH_PEER_LOST;
        effects_add_withdraw(effects, request->home_node,
                             request->upstream->name, request->enqueue_id);
    }
    if (request->withdrawn) {
        free_request(homes, request);
        return;
    }
    request_handle_refusal(homes, request, code, retry_after, message, now,
                           effects);
}

/* Runs on the pool: handles the reply to an Enqueue, or the loss of the
 * home. */
static void
handle_enqueue_done(void *data, enum ch_code code,
                    const Chestnuthitch__Wire__Frame *reply)
{
    struct enqueue_call *enqueue_call = data;
    struct ch_homes *homes = enqueue_call->homes;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct request *request =
        ch_table_get(homes->requests, enqueue_call->handle);
    if (request != NULL) {
        handle_enqueue_reply(homes, request, code, reply, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    g_free(enqueue_call->home);
    g_free(enqueue_call);
}

/* Sends the Enqueue.  The lock is held, so that the reply can't be handled
 * before the request has the ID of its Enqueue. */
static void
send_enqueue(struct ch_homes *homes, struct request *request, int64_t now)
{
    const struct ch_request_info *info = &request->info;
    char tenant[32];
    g_snprintf(tenant, sizeof(tenant), "%016" G_GINT64_MODIFIER "x",
               info->tenant);
    Chestnuthitch__Wire__Enqueue body = WIRE(ENQUEUE__INIT);
    body.upstream = (char *)g_quark_to_string(request->upstream->name);
    body.model = (char *)g_quark_to_string(info->model);
    body.adapter =
        info->adapter != 0 ? (char *)g_quark_to_string(info->adapter) : "";
    body.class_name = (char *)g_quark_to_string(info->class_name);
    body.tenant = tenant;
    body.prompt_tokens = info->prompt_tokens;
    body.output_tokens = info->max_output_tokens;
    body.prefix = info->prefix_hash;
    body.left_us = (uint64_t)MAX(info->first_token_deadline - now, 0);
    body.between_us = (uint64_t)info->token_target;
    body.whole_us = info->answer_deadline > 0
                        ? (uint64_t)MAX(info->answer_deadline - now, 1)
                        : 0;
    body.service = info->is_service;
    body.attempt = info->attempt;
    body.idempotent = info->idempotent;
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_ENQUEUE);
    frame.enqueue = &body;
    struct enqueue_call *enqueue_call = g_new0(struct enqueue_call, 1);
    enqueue_call->homes = homes;
    enqueue_call->handle = request->handle;
    enqueue_call->home = g_strdup(request->home_node);
    enqueue_call->upstream = request->upstream->name;
    request->state = REQUEST_QUEUED_REMOTE;
    ch_metrics_add_count(homes->node->client->metrics, CH_COUNT_FORWARDED, 1);
    request->enqueue_id =
        ch_peers_request(homes->node->peers, request->home_node, &frame, 0,
                         handle_enqueue_done, enqueue_call);
}

/* ---- routing ---- */

/* Charges the bytes that the request may send to another region to the link
 * budget. */
static void
charge_link_budget(struct ch_homes *homes, const struct request *request,
                   int64_t now)
{
    const struct ch_upstream_view *view =
        upstream_list_get_view(homes, request->upstream);
    if (view == NULL || view->region == homes->fleet.region) {
        return;
    }
    double bytes =
        LINK_BYTES_PER_REQUEST +
        (double)LINK_BYTES_PER_PROMPT_TOKEN * request->info.prompt_tokens +
        (double)LINK_BYTES_PER_OUTPUT_TOKEN * request->info.max_output_tokens;
    ch_token_bucket_take(&homes->link_budget, bytes, now);
}

/* Records a pause of this process, noticed at a tick or before the next
 * tick. */
void
homes_record_pause(struct ch_homes *homes, int64_t now)
{
    if (homes->last_tick_at > 0 && now - homes->last_tick_at > MIN_PAUSE_US) {
        homes->pause_count++;
        homes->last_tick_at = now;
    }
}

/* Chooses an upstream and queues the request at its home, or refuses the
 * request at once. */
static void
route_request(struct ch_homes *homes, struct request *request, int64_t now,
              struct effects *effects)
{
    homes->fleet.link_bytes_left =
        (int64_t)ch_token_bucket_level(&homes->link_budget, now);
    homes_update_loads_left(homes, now);
    struct ch_route route =
        ch_route_choose_retry(homes->policy, &homes->fleet, &request->info,
                              request->excluded, request->failed_count, now);
    if (route.code != CH_OK && request->last_refusal != CH_OK) {
        /* Every possible home has refused: the caller gets the last home's
         * reason and retry time rather than "no upstream". */
        effects_add_refused(effects, request, request->last_refusal,
                            request->last_retry_after,
                            request->last_refusal_message);
        free_request(homes, request);
        return;
    }
    if (route.code != CH_OK) {
        effects_add_refused(effects, request, route.code, route.retry_after,
                            route.message);
        free_request(homes, request);
        return;
    }
    if (request->upstream != NULL) {
        upstream_unref(request->upstream);
    }
    request->upstream =
        upstream_ref(g_ptr_array_index(homes->upstreams, route.upstream));
    charge_link_budget(homes, request, now);
    homes_record_pause(homes, now);
    request->pause_count = homes->pause_count;
    g_free(request->home_node);
    request->home_node = ch_peers_find_upstream_home(
        homes->node->peers, request->upstream->key, request->upstream->region,
        request->upstream->data_centre);
    if (strcmp(request->home_node, homes->node->settings->name) == 0) {
        home_open(homes, request->upstream, now, effects);
        home_enqueue_local(homes, request, now, effects);
        return;
    }
    send_enqueue(homes, request, now);
}

/* Requests a grant to send a request to an upstream.  One of the handlers runs
 * once, on a pool worker, unless the request is withdrawn before. */
uint64_t
ch_homes_request(struct ch_homes *homes, const struct ch_request_info *info,
                 const GArray *excluded,
                 const struct ch_router_handlers *handlers, void *data)
{
    struct request *request = g_new0(struct request, 1);
    request->info = *info;
    request->handlers = handlers;
    request->data = data;
    request->excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
    if (excluded != NULL && excluded->len > 0) {
        g_array_append_vals(request->excluded, excluded->data, excluded->len);
        request->failed_count = excluded->len;
    }
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    uint64_t handle = ch_table_add(homes->requests, request);
    request->handle = handle;
    route_request(homes, request, ch_client_get_time(homes->node->client),
                  &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_submit(homes, &effects);
    return handle;
}

/* Cancels the wait for a grant.  Effects on other requests run on the pool, as
 * the caller may hold a lock of its own. */
bool
ch_homes_withdraw(struct ch_homes *homes, uint64_t handle)
{
    int64_t now = ch_client_get_time(homes->node->client);
    bool withdrawn = false;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct request *request = ch_table_get(homes->requests, handle);
    if (request != NULL && request->state == REQUEST_QUEUED_LOCAL) {
        home_withdraw(homes, request->grant_handle, now, &effects);
        free_request(homes, request);
        withdrawn = true;
    }
    else if (request != NULL && request->state == REQUEST_QUEUED_REMOTE &&
             !request->withdrawn) {
        request->withdrawn = true;
        effects_add_withdraw(&effects, request->home_node,
                             request->upstream->name, request->enqueue_id);
        withdrawn = true;
    }
    pthread_mutex_unlock(&homes->lock);
    effects_submit(homes, &effects);
    return withdrawn;
}

/* Releases a grant and reports how the call went. */
void
ch_homes_release(struct ch_homes *homes, uint64_t handle,
                 const struct ch_timing_sample *sample)
{
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct request *request = ch_table_get(homes->requests, handle);
    if (request != NULL && request->state == REQUEST_GRANTED_LOCAL) {
        home_release(homes, request->grant_handle, sample,
                     ch_client_get_time(homes->node->client), &effects);
        free_request(homes, request);
    }
    else if (request != NULL && request->state == REQUEST_GRANTED_REMOTE) {
        effects_add_release(&effects, request->home_node,
                            request->upstream->name, request->grant_handle,
                            sample);
        free_request(homes, request);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_submit(homes, &effects);
}

/*
 * A process that is suspended between receiving a grant and using it resumes
 * with a grant as old as the pause.  The upstream may have been removed
 * meanwhile and would get new work long after; the home has ended the grant
 * and given its slot to another request.  So a grant from before a pause is
 * released and requested again.  A pause in the microseconds between this
 * check and the call remains possible.
 */
bool
request_is_stale(struct ch_homes *homes, uint64_t handle)
{
    static const struct ch_timing_sample unused = {.code = CH_CANCELLED};
    int64_t now = ch_client_get_time(homes->node->client);
    bool stale = false;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    homes_record_pause(homes, now);
    struct request *request = ch_table_get(homes->requests, handle);
    if (request != NULL && request->pause_count != homes->pause_count) {
        stale = true;
        if (request->state == REQUEST_GRANTED_LOCAL) {
            home_release(homes, request->grant_handle, &unused, now, &effects);
        }
        else {
            effects_add_release(&effects, request->home_node,
                                request->upstream->name, request->grant_handle,
                                &unused);
        }
        request->state = REQUEST_ROUTING;
        route_request(homes, request, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    return stale;
}

/* Releases a grant that arrived after the request's end. */
static void
release_late_grant(void *data, const Chestnuthitch__Wire__Frame *frame)
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
    effects_add_release(&effects, frame->from, upstream, frame->grant->grant,
                        &sample);
    effects_run(homes, &effects);
}

/* ---- router interface ---- */

static void
router_start(struct ch_router *router)
{
    ch_homes_start((struct ch_homes *)router);
}

static bool
router_ready(struct ch_router *router)
{
    return ch_homes_is_ready((struct ch_homes *)router);
}

static uint64_t
router_request(struct ch_router *router, const struct ch_request_info *info,
               const GArray *excluded,
               const struct ch_router_handlers *handlers, void *data)
{
    return ch_homes_request((struct ch_homes *)router, info, excluded,
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
    ch_homes_write_status((struct ch_homes *)router, builder);
}

/* See node.h. */
struct ch_router *
ch_homes_get_router(struct ch_homes *homes)
{
    static const struct ch_router_ops ops = {
        .start = router_start,
        .is_ready = router_ready,
        .request = router_request,
        .withdraw = router_withdraw,
        .release = router_release,
        .drain = router_drain,
        .stop = router_stop,
        .free = router_free,
        .write_status = router_status,
    };
    homes->router.ops = &ops;
    return &homes->router;
}

/* ---- start and stop ---- */

/* Registers the frame handlers; nothing runs before ch_homes_start. */
struct ch_homes *
ch_homes_new(struct ch_node *node)
{
    struct ch_homes *homes = g_new0(struct ch_homes, 1);
    homes->node = node;
    homes->policy = ch_policy_find("default");
    homes->live_count = 1;
    homes->random =
        g_rand_new_with_seed((guint32)ch_hash_string(node->settings->name));
    pthread_mutex_init(&homes->lock, NULL);
    pthread_cond_init(&homes->idle, NULL);
    homes->requests = ch_table_new();
    homes->tickets = ch_table_new();
    upstream_list_init(homes);
    int64_t now = ch_client_get_time(node->client);
    const struct ch_settings *settings = node->settings;
    ch_token_bucket_init(&homes->load_budget, settings->loads_per_s,
                         settings->max_parallel_loads, now);
    ch_token_bucket_init(&homes->link_budget,
                         settings->region_link_mbit_per_s * 1e6 / 8,
                         settings->region_link_mbit_per_s * 1e6 / 4, now);
    home_register_handlers(homes);
    ch_notices_set_drain_handler(node->notices, homes_update_draining, homes);
    gossip_register_handlers(homes);
    ch_peers_set_late_reply_handler(node->peers, release_late_grant, homes);
    return homes;
}

/* Starts the recurring jobs.  The host list is fetched at once, so that the
 * node becomes ready soon. */
void
ch_homes_start(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    homes->pending_jobs += 2;
    pthread_mutex_unlock(&homes->lock);
    homes_fetch_host_list(homes);
    ch_timers_add(homes->node->timers, CH_HOME_TICK_US, homes_run_tick, homes);
}

/* Hands the homes over to other nodes: announces that this node is stopping,
 * then closes each home, which sends queued requests to the new homes.  A node
 * that is alone keeps its homes until its own callers have their responses. */
void
ch_homes_drain(struct ch_homes *homes)
{
    ch_peers_set_stopping(homes->node->peers);
    gossip_announce_stop(homes);
    struct effects effects;
    effects_init(&effects);
    char **live = ch_peers_list_live(homes->node->peers);
    bool alone = g_strv_length(live) <= 1;
    g_strfreev(live);
    pthread_mutex_lock(&homes->lock);
    homes->draining = !alone;
    homes_assign(homes, ch_client_get_time(homes->node->client), &effects);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/* Adds a table's item to an array. */
static void
collect_item(void *item, uint64_t handle, void *data)
{
    (void)handle;
    g_ptr_array_add(data, item);
}

/* Frees the homes after the last pool job has ended, with the requests and
 * tickets that are left. */
void
ch_homes_free(struct ch_homes *homes)
{
    if (homes == NULL) {
        return;
    }
    GPtrArray *items = g_ptr_array_new();
    ch_table_foreach(homes->requests, collect_item, items);
    for (guint i = 0; i < items->len; i++) {
        free_request(homes, g_ptr_array_index(items, i));
    }
    g_ptr_array_set_size(items, 0);
    ch_table_foreach(homes->tickets, collect_item, items);
    for (guint i = 0; i < items->len; i++) {
        home_free_ticket(g_ptr_array_index(items, i));
    }
    g_ptr_array_free(items, TRUE);
    ch_table_free(homes->requests);
    ch_table_free(homes->tickets);
    upstream_list_clear(homes);
    g_rand_free(homes->random);
    pthread_mutex_destroy(&homes->lock);
    pthread_cond_destroy(&homes->idle);
    g_free(homes);
}
