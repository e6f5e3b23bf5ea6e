/* The steps of an exchange; see exchange.h. */

#include "node/exchange.h"

#include "node/crash_guard.h"
#include "node/limit_manager.h"
#include "node/path_manager.h"
#include "node/quota_manager.h"
#include "node/stream_manager.h"

enum {
    /* A request that crashed upstreams is likely to crash others if it is
     * repeated soon, so its caller is asked to wait until an operator can
     * act. */
    BARRED_RETRY_AFTER_US = 60 * 1000 * 1000,
    /* The node that knows where a stream began may be paused, or come back
     * after a cut. */
    ORIGIN_RETRY_AFTER_US = 500 * 1000,
    /* Nodes that may fail to relay one request. */
    MAX_FAILED_RELAYS = 6,
    /* Upstreams that are asked for a free slot before one is waited for. */
    MAX_SLOT_REFUSALS = 3,
    /* Engines that are asked to take a prompt in time. */
    MAX_PREFILL_REFUSALS = 2,
    /* Longest wait of a prompt for those before it. The engine's view of a
     * longer one is out of date, and a stop would last as long. */
    MAX_PREFILL_WAIT_US = 500 * 1000,
};

enum pass_over {
    PASS_OVER_LISTED,  /* the list has it no more, or as draining */
    PASS_OVER_NOTICED, /* a response has said that it drains */
    PASS_OVER_ORIGIN,  /* the stream began at another version */
    PASS_OVER_PROCESS, /* its report is of another process */
    PASS_OVER_REPORT,  /* it can't be asked for a report, or did not answer */
};

/* Why a granted upstream is passed over, with the caller's message if there is
 * no other. */
static const struct pass_over_reason {
    const char *name;
    const char *message;
} pass_over_reasons[] = {
    [PASS_OVER_LISTED] = {"listed", "the upstreams are draining"},
    [PASS_OVER_NOTICED] = {"noticed", "the upstreams are draining"},
    [PASS_OVER_ORIGIN] = {"stored-origin",
                          "no upstream of the version that is stored as the "
                          "stream's origin"},
    [PASS_OVER_PROCESS] = {"process-not-known",
                           "no upstream is certain to fit the stream"},
    [PASS_OVER_REPORT] = {"no-report",
                          "no upstream is certain to fit the stream"},
};

/* Gives back the cost of a request that no upstream ran. */
static void
give_back_quota(const struct ch_exchange *exchange)
{
    if (exchange->quota_taken && !exchange->call_may_have_run) {
        ch_quota_manager_give_back(exchange->frontend->node->quota,
                                   exchange->request->team,
                                   exchange->request->quota_cost);
    }
}

/* Finishes the exchange: writes the log, returns an unused retry to the
 * budget, and drops the response, which also breaks the reference cycle
 * between the exchange and its response. */
void
ch_exchange_finish(struct ch_exchange *exchange)
{
    struct ch_frontend *front = exchange->frontend;
    if (exchange->timer != 0 &&
        ch_timers_cancel(front->node->timers, exchange->timer)) {
        ch_exchange_unref(exchange);
    }
    ch_exchange_write_log(exchange);
    give_back_quota(exchange);
    pthread_mutex_lock(&front->lock);
    ch_retry_put_back(ch_frontend_get_retry_budget(
                          front, exchange->request->info.required_service),
                      &exchange->retry_taken);
    pthread_mutex_unlock(&front->lock);
    pthread_mutex_lock(&exchange->lock);
    struct ch_response *response = exchange->response;
    exchange->response = NULL;
    pthread_mutex_unlock(&exchange->lock);
    ch_response_unref(response);
    ch_frontend_remove_exchange(front, exchange);
    ch_exchange_unref(exchange);
}

/* ---- finishing the at-most-once record ---- */

/* The at-most-once record was finished, or could not be. The caller gets the
 * upstream's response in both cases. */
static void
handle_once_finished(void *data, bool stored)
{
    (void)stored;
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->response_complete) {
        ch_exchange_send_response(exchange);
    }
    exchange->step = CH_EXCHANGE_STEP_DONE;
    pthread_mutex_unlock(&exchange->lock);
    ch_exchange_finish(exchange);
}

/* Stores the complete response in the at-most-once record before the caller
 * gets it, so that a caller that loses the response and repeats the request
 * gets the same one. Without a response the key is released. Runs on the pool;
 * nothing writes to the response in this step, so the lock is not needed. */
static void
finish_once_record(void *data)
{
    struct ch_exchange *exchange = data;
    const struct ch_request *request = exchange->request;
    bool whole = exchange->response_complete;
    ch_once_manager_finish(
        exchange->frontend->node->once, request->owner, request->key,
        exchange->once_attempt, !whole, whole ? exchange->status : 0,
        whole ? exchange->content_type : NULL,
        whole ? exchange->body->data : NULL, whole ? exchange->body->len : 0,
        handle_once_finished, exchange);
}

/* Starts to finish the at-most-once record. Lock held. */
static void
store_response(struct ch_exchange *exchange)
{
    exchange->step = CH_EXCHANGE_STEP_STORE;
    ch_pool_submit(exchange->frontend->node->pool, finish_once_record,
                   exchange);
}

/* Ends an exchange without a response; the caller has been told before. The
 * key of a request that may have run is left as it is: a repeat then learns
 * that the outcome is unknown. Lock held; returns true when the exchange can
 * be finished. */
static bool
end_without_response(struct ch_exchange *exchange)
{
    if (exchange->once_record_created && !exchange->may_have_run) {
        store_response(exchange);
        return false;
    }
    exchange->step = CH_EXCHANGE_STEP_DONE;
    return true;
}

/* ---- grants from the router ---- */

/* Sends the caller a failure and ends the exchange. Lock held; returns true
 * when the exchange can be finished. */
static bool
fail(struct ch_exchange *exchange, enum ch_code code, const char *message,
     int64_t retry_after)
{
    ch_exchange_send_failure(exchange, code, message, retry_after);
    return end_without_response(exchange);
}

/*
 * Checks every dispatch, the first as well as retries: a request under which
 * upstreams crashed is sent to no other upstream, and no adapter or model is
 * loaded for it. Returns true when the request must not go on, with *over set
 * when the exchange can be finished. Lock held.
 */
static bool
refuse_if_barred(struct ch_exchange *exchange, bool *over)
{
    struct ch_node *node = exchange->frontend->node;
    if (!ch_crash_guard_is_barred(node->crash_guard, exchange->request)) {
        return false;
    }
    ch_metrics_add_count(node->client->metrics, CH_COUNT_CRASHERS_REFUSED, 1);
    *over =
        fail(exchange, CH_CRASHES_UPSTREAMS,
             "upstreams crashed under this request", BARRED_RETRY_AFTER_US);
    return true;
}

/* The tokens that the request takes of an engine's memory. */
static uint32_t
get_slot_tokens(const struct ch_exchange *exchange)
{
    const struct ch_request_info *info = &exchange->request->info;
    return info->is_service ? 0
                            : info->prompt_tokens + info->max_output_tokens;
}

/* Gives back the slot of the granted upstream, if one is held. Lock held. */
static void
release_slot(struct ch_exchange *exchange, enum ch_slots_end end)
{
    if (exchange->slot_held) {
        exchange->slot_held = false;
        ch_slots_release(exchange->frontend->node->slots,
                         exchange->grant.upstream, get_slot_tokens(exchange),
                         end);
    }
}

/* Counts the request's body at the granted upstream; false: the requests of
 * this node hold too much there. Lock held. */
static bool
take_upstream_bytes(struct ch_exchange *exchange)
{
    struct ch_frontend *frontend = exchange->frontend;
    if (frontend->held == NULL) {
        return true;
    }
    pthread_mutex_lock(&frontend->lock);
    enum ch_held_result result =
        ch_held_take(frontend->held, exchange->grant.upstream,
                     exchange->request->body_length);
    pthread_mutex_unlock(&frontend->lock);
    exchange->bytes_held = result == CH_HELD_TAKEN;
    if (exchange->bytes_held) {
        return true;
    }
    struct ch_client *client = frontend->node->client;
    ch_metrics_add_count(client->metrics, CH_COUNT_UPSTREAM_BYTES_REFUSED, 1);
    if (result == CH_HELD_BEGINS_TO_REFUSE) {
        ch_log(
            client, CH_LOG_WARNING, "upstream-bytes-bound",
            CH_F_STR("upstream", g_quark_to_string(exchange->grant.upstream)),
            CH_F_INT("bytes", (int64_t)exchange->request->body_length),
            CH_F_INT("bound",
                     (int64_t)frontend->node->settings->max_upstream_bytes),
            CH_F_END);
    }
    return false;
}

/* Counts the request's body no more at the granted upstream. Lock held. */
static void
give_upstream_bytes_back(struct ch_exchange *exchange)
{
    struct ch_frontend *frontend = exchange->frontend;
    if (exchange->bytes_held) {
        exchange->bytes_held = false;
        pthread_mutex_lock(&frontend->lock);
        ch_held_give_back(frontend->held, exchange->grant.upstream,
                          exchange->request->body_length);
        pthread_mutex_unlock(&frontend->lock);
    }
}

/* Releases a grant without a call. retry_after: when the upstream's limit may
 * permit one, for the code CH_UPSTREAM_LIMITED. Lock held. */
static void
release_unused_grant(struct ch_exchange *exchange, enum ch_code code,
                     int64_t retry_after)
{
    const struct ch_timing_sample sample = {.code = code,
                                            .retry_after = retry_after};
    struct ch_router *router = exchange->frontend->node->router;
    release_slot(exchange, CH_SLOTS_ENDED);
    give_upstream_bytes_back(exchange);
    router->ops->release(router, exchange->grant.handle, &sample);
}

static void request_grant(void *data);

/*
 * Allows the excluded upstreams once more when a refusal is due only to the
 * exclusions of this request; returns true when the router should be asked
 * again. Without this, a model with one replica whose connection was lost
 * would be refused although its engine is well.
 */
static bool
drop_exclusions(struct ch_exchange *exchange, enum ch_code code)
{
    if (exchange->abandoned || exchange->exclusions_dropped ||
        exchange->limit_refused || exchange->excluded->len == 0 ||
        code != CH_NO_UPSTREAM) {
        return false;
    }
    exchange->exclusions_dropped = true;
    g_array_set_size(exchange->excluded, 0);
    return true;
}

/* Takes a retry from the budget, unless the exchange holds one that no call
 * has used; returns false when the budget is used up. Lock held. */
static bool
take_retry(struct ch_exchange *exchange)
{
    struct ch_frontend *front = exchange->frontend;
    pthread_mutex_lock(&front->lock);
    bool taken =
        ch_retry_take(ch_frontend_get_retry_budget(
                          front, exchange->request->info.required_service),
                      &exchange->retry_taken);
    pthread_mutex_unlock(&front->lock);
    return taken;
}

static void request_grant_later(struct ch_exchange *exchange);

/* Runs on the pool after CH_RETRY_DELAY_US: asks again if the budget
 * allows. */
static void
request_grant_again(void *data)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    bool waits = !exchange->abandoned && !take_retry(exchange);
    if (waits) {
        request_grant_later(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (!waits) {
        request_grant(exchange);
    }
}

/* Asks the router again after a delay. Whether the caller has given up
 * meanwhile is checked then. Lock held. */
static void
request_grant_later(struct ch_exchange *exchange)
{
    exchange->step = CH_EXCHANGE_STEP_ROUTE;
    exchange->router_handle = 0;
    exchange->router_replied = true;
    exchange->limit_refused = false;
    exchange->slot_refusals = 0;
    exchange->slot_waited = false;
    exchange->prefill_refusals = 0;
    exchange->prefill_forced = false;
    g_array_set_size(exchange->excluded, 0);
    ch_timers_add(exchange->frontend->node->timers, CH_RETRY_DELAY_US,
                  request_grant_again, exchange);
}

/* Whether a stream that has started waits until an upstream can take it: the
 * upstream that has just refused it, or any upstream while more may become
 * available. Lock held. */
static bool
should_wait_for_upstream(struct ch_exchange *exchange, enum ch_code code,
                         bool may_have_run)
{
    const struct ch_request_info *info = &exchange->request->info;
    bool upstream_gone = info->required_upstream != 0 &&
                         code == CH_NO_UPSTREAM && !exchange->limit_refused;
    return !exchange->abandoned && exchange->stream_started &&
           !upstream_gone &&
           ch_retry_is_delayed(info, code, may_have_run,
                               exchange->events_delivered);
}

/* Ends the search for an upstream: nothing can take the request now. It is
 * refused at once, unless the caller has the start of a stream. Lock held;
 * returns true when the exchange can be finished. */
static bool
end_routing(struct ch_exchange *exchange, enum ch_code code,
            int64_t retry_after, const char *message)
{
    if (should_wait_for_upstream(exchange, code, false)) {
        request_grant_later(exchange);
        return false;
    }
    if (!exchange->limit_refused) {
        return fail(exchange, code, message, retry_after);
    }
    int64_t limit_retry_after = exchange->limit_retry_after;
    return fail(exchange, exchange->limit_code, NULL,
                retry_after > 0 ? MIN(retry_after, limit_retry_after)
                                : limit_retry_after);
}

/* The granted upstream takes no call of this request now, and the grant is
 * released: asks the router for another upstream. A router that offers the
 * same one again has no other. Lock held; returns true when the exchange can
 * be finished. */
static bool
pass_over_limited(struct ch_exchange *exchange, enum ch_code code,
                  int64_t retry_after)
{
    exchange->limit_code = code;
    exchange->limit_retry_after =
        exchange->limit_refused ? MIN(exchange->limit_retry_after, retry_after)
                                : retry_after;
    exchange->limit_refused = true;
    if (ch_route_is_excluded(exchange->excluded, exchange->grant.upstream)) {
        return end_routing(exchange, code, 0, NULL);
    }
    g_array_append_val(exchange->excluded, exchange->grant.upstream);
    ch_pool_submit(exchange->frontend->node->pool, request_grant, exchange);
    return false;
}

/* The granted upstream takes no call now, by its limit or as it asked this
 * node to wait. Lock held; returns true when the exchange can be finished. */
static bool
handle_limit_refusal(struct ch_exchange *exchange, enum ch_code code,
                     int64_t retry_after)
{
    release_unused_grant(exchange, code, retry_after);
    return pass_over_limited(exchange, code, retry_after);
}

/* The request's body exceeds what this node may hold at the upstream. The
 * router does not count this as a limit of the upstream, since smaller
 * requests may still fit. Lock held; returns true when the exchange can be
 * finished. */
static bool
handle_bytes_refusal(struct ch_exchange *exchange)
{
    release_unused_grant(exchange, CH_CANCELLED, 0);
    return pass_over_limited(exchange, CH_UPSTREAM_LIMITED,
                             CH_EXCHANGE_RETRY_AFTER_US);
}

/* The granted upstream may not take the request: asks the router for another
 * one. A router that offers the same one again has no other. Lock held;
 * returns true when the exchange can be finished. */
static bool
pass_over_upstream(struct ch_exchange *exchange, enum pass_over reason)
{
    ch_log(exchange->frontend->node->client, CH_LOG_INFO,
           "upstream-passed-over",
           CH_F_STR("request_id", ch_exchange_get_request_id(exchange)),
           CH_F_STR("resumes", exchange->request->resumes),
           CH_F_STR("upstream", g_quark_to_string(exchange->grant.upstream)),
           CH_F_STR("reason", pass_over_reasons[reason].name), CH_F_END);
    release_unused_grant(exchange, CH_CANCELLED, 0);
    if (ch_route_is_excluded(exchange->excluded, exchange->grant.upstream)) {
        return end_routing(exchange, CH_NO_UPSTREAM,
                           CH_EXCHANGE_RETRY_AFTER_US,
                           pass_over_reasons[reason].message);
    }
    exchange->exclusions_dropped = true;
    g_array_append_val(exchange->excluded, exchange->grant.upstream);
    ch_pool_submit(exchange->frontend->node->pool, request_grant, exchange);
    return false;
}

/* Calls the granted upstream, unless the list of upstreams or a response has
 * said since it was chosen that it takes no more requests. Lock held; returns
 * true when the exchange can be finished. */
static bool
call_if_allowed(struct ch_exchange *exchange)
{
    int64_t retry_after = 0;
    if (!ch_exchange_may_call_upstream(exchange)) {
        return pass_over_upstream(exchange, PASS_OVER_LISTED);
    }
    switch (ch_notices_may_call(exchange->frontend->node->notices,
                                exchange->grant.upstream, &retry_after)) {
    case CH_NOTICES_DRAINS:
        return pass_over_upstream(exchange, PASS_OVER_NOTICED);
    case CH_NOTICES_WAITS:
        return handle_limit_refusal(exchange, CH_UPSTREAM_WAITS, retry_after);
    default:
        break;
    }
    if (!ch_exchange_may_begin_stream(exchange)) {
        return pass_over_upstream(exchange, PASS_OVER_ORIGIN);
    }
    ch_exchange_call_upstream(exchange);
    return false;
}

/* The upstream's limit permits the call, or not. */
static void
handle_permission(void *data, bool granted, int64_t retry_after)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->abandoned) {
        release_unused_grant(exchange, CH_CANCELLED, 0);
        over = end_without_response(exchange);
    }
    else if (granted) {
        over = call_if_allowed(exchange);
    }
    else {
        over =
            handle_limit_refusal(exchange, CH_UPSTREAM_LIMITED, retry_after);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* Calls the granted upstream, after permission if it has a limit. Lock held;
 * returns true when the exchange can be finished. */
static bool
call_within_limit(struct ch_exchange *exchange)
{
    struct ch_limit_manager *limits = exchange->frontend->node->limits;
    if (!take_upstream_bytes(exchange)) {
        return handle_bytes_refusal(exchange);
    }
    if (!ch_limit_manager_is_limited(limits, exchange->grant.upstream)) {
        return call_if_allowed(exchange);
    }
    ch_limit_manager_take(limits, exchange->grant.upstream, CH_LIMITED_REQUEST,
                          exchange->grant.is_last_resort, handle_permission,
                          exchange);
    return false;
}

/* ---- slots of brittle upstreams ---- */

/* Allows the upstreams again that had no free slot. Lock held. */
static void
drop_slot_exclusions(struct ch_exchange *exchange)
{
    if (exchange->slot_refusals > 0) {
        g_array_set_size(exchange->excluded, exchange->excluded_before);
        exchange->slot_refusals = 0;
    }
}

/* How long a slot may be waited for so that the response still meets its
 * target; 0: not at all. */
static int64_t
get_slot_wait(const struct ch_exchange *exchange)
{
    int64_t now = ch_client_get_time(exchange->frontend->node->client);
    int64_t time_left = exchange->request->info.first_token_deadline - now -
                        exchange->grant.expected_latency;
    return exchange->slot_waited ? MAX(time_left, 0) : 0;
}

/* The granted upstream has no free slot: asks the router for another one, and
 * waits once several have none. Lock held; returns true when the exchange can
 * be finished. */
static bool
handle_slot_refusal(struct ch_exchange *exchange, int64_t retry_after)
{
    release_unused_grant(exchange, CH_UPSTREAM_LIMITED, retry_after);
    exchange->limit_retry_after =
        exchange->limit_refused ? MIN(exchange->limit_retry_after, retry_after)
                                : retry_after;
    exchange->limit_refused = true;
    exchange->limit_code = CH_UPSTREAM_LIMITED;
    if (exchange->slot_waited) {
        return end_routing(exchange, CH_UPSTREAM_LIMITED, 0, NULL);
    }
    if (exchange->slot_refusals++ == 0) {
        exchange->excluded_before = exchange->excluded->len;
    }
    g_array_append_val(exchange->excluded, exchange->grant.upstream);
    if (exchange->slot_refusals >= MAX_SLOT_REFUSALS) {
        drop_slot_exclusions(exchange);
        exchange->slot_waited = true;
    }
    ch_pool_submit(exchange->frontend->node->pool, request_grant, exchange);
    return false;
}

/* The granted upstream has a slot for the call, or not. */
static void
handle_slot(void *data, bool granted, int64_t retry_after)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    exchange->slot_held = granted;
    if (exchange->abandoned) {
        release_unused_grant(exchange, CH_CANCELLED, 0);
        over = end_without_response(exchange);
    }
    else if (granted) {
        drop_slot_exclusions(exchange);
        over = call_within_limit(exchange);
    }
    else {
        over = handle_slot_refusal(exchange, retry_after);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* Calls the granted upstream, after permission if it is brittle. Lock held;
 * returns true when the exchange can be finished. */
static bool
call_with_slot(struct ch_exchange *exchange)
{
    struct ch_slots *slots = exchange->frontend->node->slots;
    GQuark upstream = exchange->grant.upstream;
    uint32_t tokens = get_slot_tokens(exchange);
    if (ch_slots_needs_permission(slots, upstream)) {
        ch_slots_ask(slots, upstream, tokens, get_slot_wait(exchange),
                     handle_slot, exchange);
        return false;
    }
    ch_slots_hold(slots, upstream, tokens);
    exchange->slot_held = true;
    return call_within_limit(exchange);
}

/* ---- prompts spaced at their engine ---- */

/* How long the prompt may wait for those before it so that its first token
 * still meets the target. */
static int64_t
get_prefill_wait(const struct ch_exchange *exchange)
{
    int64_t now = ch_client_get_time(exchange->frontend->node->client);
    int64_t time_left = exchange->request->info.first_token_deadline - now -
                        exchange->grant.expected_latency;
    return exchange->stream_started ? 0
                                    : CLAMP(time_left, 0, MAX_PREFILL_WAIT_US);
}

/* Allows the engines again that had too many prompts before this one. Lock
 * held. */
static void
drop_prefill_exclusions(struct ch_exchange *exchange)
{
    if (exchange->prefill_refusals > 0 && !exchange->prefill_forced) {
        /* They may have been dropped for another reason meanwhile. */
        g_array_set_size(exchange->excluded, MIN(exchange->excluded_before,
                                                 exchange->excluded->len));
        exchange->prefill_forced = true;
    }
}

/* The engine's home permits the prompt, or it would have to wait for too long:
 * then the router chooses another engine. After some of these the prompt is
 * sent all the same. */
static void
handle_prefill(void *data, bool granted, int64_t wait)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->abandoned) {
        release_unused_grant(exchange, CH_CANCELLED, 0);
        over = end_without_response(exchange);
    }
    else if (granted) {
        struct ch_router *router = exchange->frontend->node->router;
        if (wait > 0 && router->ops->record_delay != NULL) {
            router->ops->record_delay(router, exchange->grant.handle);
        }
        over = call_with_slot(exchange);
    }
    else {
        release_unused_grant(exchange, CH_CANCELLED, 0);
        if (exchange->prefill_refusals++ == 0) {
            exchange->excluded_before = exchange->excluded->len;
        }
        g_array_append_val(exchange->excluded, exchange->grant.upstream);
        if (exchange->prefill_refusals >= MAX_PREFILL_REFUSALS) {
            drop_prefill_exclusions(exchange);
        }
        ch_pool_submit(exchange->frontend->node->pool, request_grant,
                       exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* Calls the granted upstream once its home permits the prompt, if prompts are
 * spaced there. A prompt that no engine takes in time is sent all the same.
 * Lock held; returns true when the exchange can be finished. */
static bool
call_spaced(struct ch_exchange *exchange)
{
    struct ch_node *node = exchange->frontend->node;
    const struct ch_prefill_ask ask = {
        .upstream = exchange->grant.upstream,
        .region = exchange->grant.region,
        .rule = exchange->grant.prefill,
        .max_wait = get_prefill_wait(exchange),
        .forced = exchange->stream_started || exchange->prefill_forced,
    };
    if (node->prefill == NULL || ask.rule.cost == 0 ||
        ch_slots_needs_permission(node->slots, ask.upstream)) {
        return call_with_slot(exchange);
    }
    if (ask.forced) {
        ch_metrics_add_count(node->client->metrics, CH_COUNT_PREFILL_FORCED,
                             1);
    }
    ch_prefill_ask(node->prefill, &ask, handle_prefill, exchange);
    return false;
}

/* ---- whether the upstream is still the process that its entry describes ----
 */

/* Handles the report of the granted upstream. */
static void
handle_process_report(void *data, enum ch_code code,
                      struct ch_engine_report *report)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    bool same = code == CH_OK && report != NULL &&
                report->started == exchange->grant.boot_id;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->abandoned) {
        release_unused_grant(exchange, CH_CANCELLED, 0);
        over = end_without_response(exchange);
    }
    else if (same) {
        over = call_spaced(exchange);
    }
    else {
        over = pass_over_upstream(
            exchange, report == NULL ? PASS_OVER_REPORT : PASS_OVER_PROCESS);
    }
    pthread_mutex_unlock(&exchange->lock);
    ch_engine_report_free(report);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* Whether the call goes on with a stream at an upstream that may have started
 * again under its name, with other software. Lock held. */
static bool
must_check_process(const struct ch_exchange *exchange)
{
    return exchange->grant.may_have_restarted &&
           exchange->request->info.required_version != 0;
}

/* Calls the granted upstream once it is certain to be the right process. Lock
 * held; returns true when the exchange can be finished. */
static bool
call_checked(struct ch_exchange *exchange)
{
    struct ch_node *node = exchange->frontend->node;
    struct ch_upstream *client = exchange->grant.client;
    if (!must_check_process(exchange)) {
        return call_spaced(exchange);
    }
    int64_t wait =
        ch_notices_get_wait(node->notices, exchange->grant.upstream);
    if (wait > 0) {
        return handle_limit_refusal(exchange, CH_UPSTREAM_WAITS, wait);
    }
    if (client->ops->fetch_report == NULL ||
        ch_limit_manager_is_limited(exchange->frontend->node->limits,
                                    exchange->grant.upstream)) {
        return pass_over_upstream(exchange, PASS_OVER_REPORT);
    }
    ch_metrics_add_count(exchange->frontend->node->client->metrics,
                         CH_COUNT_PROCESSES_CHECKED, 1);
    ch_notices_count_call(exchange->frontend->node->notices,
                          exchange->grant.upstream, CH_NOTICES_REPORT);
    client->ops->fetch_report(client, handle_process_report, exchange);
    return false;
}

/* The router granted an upstream. A grant that comes after the caller gave up
 * is released unused. */
static void
handle_grant(void *data, const struct ch_grant *grant)
{
    struct ch_exchange *exchange = data;
    struct ch_frontend *front = exchange->frontend;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    exchange->router_replied = true;
    exchange->grant = *grant;
    if (exchange->first_granted_at == 0) {
        exchange->first_granted_at = ch_client_get_time(front->node->client);
    }
    if (exchange->abandoned) {
        release_unused_grant(exchange, CH_CANCELLED, 0);
        over = end_without_response(exchange);
    }
    else if (refuse_if_barred(exchange, &over)) {
        release_unused_grant(exchange, CH_CANCELLED, 0);
    }
    else {
        over = call_checked(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* The router refused the request, or no upstream serves it. The refusal is
 * final and sent at once, unless the caller has the start of a stream. */
static void
handle_refusal(void *data, enum ch_code code, int64_t retry_after,
               const char *message)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    exchange->router_replied = true;
    bool waits = exchange->slot_refusals > 0 && !exchange->abandoned;
    bool is_forced = exchange->prefill_refusals > 0 &&
                     !exchange->prefill_forced && !exchange->abandoned;
    drop_prefill_exclusions(exchange);
    if (waits) {
        drop_slot_exclusions(exchange);
        exchange->slot_waited = true;
    }
    if (waits || is_forced || drop_exclusions(exchange, code)) {
        ch_pool_submit(exchange->frontend->node->pool, request_grant,
                       exchange);
    }
    else {
        over = end_routing(exchange, code, retry_after, message);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* Withdraws a request that waits at the router. Returns true when no handler
 * will run any more and the exchange can be finished; otherwise the handler
 * that is about to run ends the exchange. Lock held. */
static bool
withdraw_request(struct ch_exchange *exchange)
{
    if (exchange->router_replied || exchange->router_handle == 0) {
        return false;
    }
    exchange->router_replied = true;
    struct ch_router *router = exchange->frontend->node->router;
    if (!router->ops->withdraw(router, exchange->router_handle)) {
        return false;
    }
    return end_without_response(exchange);
}

/* Stores the router's handle of a request, unless the router has replied
 * meanwhile. The caller may have given up before there was a handle to
 * withdraw. */
static void
store_router_handle(struct ch_exchange *exchange, unsigned round,
                    uint64_t handle)
{
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->step == CH_EXCHANGE_STEP_ROUTE &&
        exchange->routing_round == round && !exchange->router_replied) {
        exchange->router_handle = handle;
        over = exchange->abandoned && withdraw_request(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* Asks the router for a grant. Runs on the pool without the lock held, since
 * the router may reply before the call returns. */
static void
request_grant(void *data)
{
    static const struct ch_router_handlers handlers = {
        .granted = handle_grant,
        .refused = handle_refusal,
    };
    struct ch_exchange *exchange = data;
    struct ch_router *router = exchange->frontend->node->router;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    bool should_stop = exchange->abandoned;
    if (should_stop) {
        over = end_without_response(exchange);
    }
    else {
        should_stop = refuse_if_barred(exchange, &over);
    }
    if (should_stop) {
        pthread_mutex_unlock(&exchange->lock);
        if (over) {
            ch_exchange_finish(exchange);
        }
        return;
    }
    unsigned round = ++exchange->routing_round;
    exchange->router_replied = false;
    exchange->router_handle = 0;
    struct ch_request_info info = exchange->request->info;
    info.answer_started =
        exchange->stream_started || ch_exchange_takes_up_stream(exchange);
    GArray *excluded = g_array_copy(exchange->excluded);
    /* The exchange may be finished before the call returns. */
    ch_exchange_ref(exchange);
    pthread_mutex_unlock(&exchange->lock);
    uint64_t handle =
        router->ops->request(router, &info, excluded, &handlers, exchange);
    store_router_handle(exchange, round, handle);
    g_array_free(excluded, TRUE);
    ch_exchange_unref(exchange);
}

/* ---- end of the call ---- */

/* Describes a failed call for the retry policy. */
static struct ch_retry_failure
describe_failure(const struct ch_exchange *exchange,
                 const struct ch_call_result *end)
{
    return (struct ch_retry_failure){
        .code = end->code,
        .may_have_run = end->may_have_run,
        .is_resumable = exchange->request->stream,
        .events_delivered = exchange->events_delivered,
    };
}

/* Decides by the policy and the node's retry budget whether a failed call is
 * retried. A non-idempotent request without a key is dispatched only once:
 * there is no record that would tell a repeat from a first attempt. */
static enum ch_retry
decide_retry(struct ch_exchange *exchange, const struct ch_call_result *end)
{
    struct ch_frontend *front = exchange->frontend;
    const struct ch_request_info *info = &exchange->request->info;
    bool repeatable = info->idempotent || exchange->once_record_created ||
                      (info->max_attempts > 0 && !exchange->may_have_run);
    if (exchange->abandoned || exchange->response_too_large || !repeatable ||
        ch_crash_guard_is_barred(front->node->crash_guard,
                                 exchange->request)) {
        return CH_RETRY_NO;
    }
    if (end->code == CH_UPSTREAM_CUT && exchange->events_delivered == 0 &&
        ch_crash_guard_has_suspected_part(front->node->crash_guard,
                                          exchange->request)) {
        return CH_RETRY_NO;
    }
    const struct ch_retry_failure failure = describe_failure(exchange, end);
    if (failure.events_delivered > 0 && info->required_version == 0) {
        return CH_RETRY_NO; /* it is not known what fits the events so far */
    }
    pthread_mutex_lock(&front->lock);
    enum ch_retry retry = ch_retry_decide(
        ch_frontend_get_retry_budget(front, info->required_service),
        &exchange->retry_taken, info, &failure,
        ch_client_get_time(front->node->client));
    pthread_mutex_unlock(&front->lock);
    if (retry == CH_RETRY_RESTART && exchange->stream_started) {
        return CH_RETRY_NO;
    }
    return retry;
}

/* Asks the router for another upstream. Lock held. */
static void
retry_elsewhere(struct ch_exchange *exchange, enum ch_retry retry,
                const struct ch_call_result *end)
{
    struct ch_metrics *metrics = exchange->frontend->node->client->metrics;
    ch_metrics_add_count(metrics, CH_COUNT_RETRIES, 1);
    if (retry == CH_RETRY_RESUME) {
        ch_metrics_add_count(metrics, CH_COUNT_RESUMED, 1);
    }
    if (retry == CH_RETRY_RESTART) {
        g_byte_array_set_size(exchange->body, 0);
    }
    GQuark failed = exchange->grant.upstream;
    g_array_append_val(exchange->excluded, failed);
    struct ch_request_info *info = &exchange->request->info;
    const struct ch_retry_failure failure = describe_failure(exchange, end);
    bool refused = ch_retry_is_refusal(info, &failure);
    bool counts_as_attempt =
        info->max_attempts == 0 || exchange->was_connected;
    info->refusals += refused ? 1 : 0;
    info->attempt += counts_as_attempt && !refused ? 1 : 0;
    exchange->step = CH_EXCHANGE_STEP_ROUTE;
    exchange->router_handle = 0;
    exchange->router_replied = false;
    ch_pool_submit(exchange->frontend->node->pool, request_grant, exchange);
}

/* Handles a complete response. Lock held; returns true when the exchange can
 * be finished. */
static bool
handle_response(struct ch_exchange *exchange)
{
    exchange->response_complete = true;
    if (exchange->responded) {
        ch_metrics_add_count(exchange->frontend->node->client->metrics,
                             CH_COUNT_LATE_ANSWERS, 1);
    }
    if (exchange->once_record_created) {
        store_response(exchange);
        return false;
    }
    ch_exchange_send_response(exchange);
    exchange->step = CH_EXCHANGE_STEP_DONE;
    return true;
}

/* Whether a complete response reports a failure of the upstream that another
 * upstream may not have. The caller gets this response all the same when it
 * can't be retried. */
static bool
is_upstream_failure(const struct ch_exchange *exchange,
                    const struct ch_call_result *end)
{
    return end->code == CH_OK && exchange->request->routed &&
           !exchange->is_stream && exchange->status >= 500;
}

/* Reports to the crash guard what the end of the call shows about the
 * upstream. Lock held. */
static void
report_crash_evidence(struct ch_exchange *exchange,
                      const struct ch_call_result *end)
{
    struct ch_crash_guard *crashes = exchange->frontend->node->crash_guard;
    const struct ch_grant *grant = &exchange->grant;
    if (end->code == CH_OK) {
        ch_crash_guard_record_complete(crashes, exchange->request);
    }
    else if (end->relay_result == CH_RELAY_LOST) {
        return; /* the relaying node may have ended, not the upstream */
    }
    else if (end->connection_refused) {
        ch_crash_guard_record_refused(crashes, grant->upstream);
    }
    else if (end->code == CH_UPSTREAM_CUT && end->may_have_run &&
             !exchange->abandoned) {
        ch_crash_guard_record_interrupted(crashes, exchange->request, grant,
                                          exchange->call_first_data_at == 0);
    }
}

/* Ends the use of the node that relayed the call, if one did. Lock held. */
static void
release_relay(struct ch_exchange *exchange, const struct ch_call_result *end)
{
    if (exchange->relay == 0) {
        return;
    }
    ch_path_manager_release_relay(exchange->frontend->node->paths,
                                  exchange->relay, exchange->grant.upstream,
                                  end->relay_result);
    if (ch_relay_result_is_about_node(end->relay_result)) {
        g_array_append_val(exchange->failed_relays, exchange->relay);
    }
}

/*
 * Calls the same upstream again, by another node, if this node or the one that
 * should have relayed the call has no path to it; false: nothing was called.
 * Nothing was sent to the upstream, so this is no second attempt. Lock held.
 */
static bool
call_by_other_node(struct ch_exchange *exchange,
                   const struct ch_call_result *end)
{
    bool is_path_missing =
        exchange->relay == 0
            ? end->code == CH_UPSTREAM_CONNECT
            : ch_relay_result_is_about_node(end->relay_result);
    return is_path_missing && !end->may_have_run && !exchange->abandoned &&
           exchange->failed_relays->len < MAX_FAILED_RELAYS &&
           ch_exchange_call_by_other_node(exchange);
}

/* Whether the upstream rejected the call for want of room. */
static bool
is_upstream_full(const struct ch_call_result *end)
{
    return end->code == CH_UPSTREAM_REFUSED && end->status == 503 &&
           end->relay_result == CH_RELAY_NONE;
}

/* Logs and counts a call that the upstream had no room for. Lock held. */
static void
note_upstream_full(const struct ch_exchange *exchange)
{
    struct ch_client *client = exchange->frontend->node->client;
    const struct ch_request_info *info = &exchange->request->info;
    bool is_retry = info->attempt > 0 || info->refusals > 0;
    ch_metrics_add_count(client->metrics, CH_COUNT_UPSTREAM_FULL, 1);
    ch_metrics_add_count(client->metrics, CH_COUNT_UPSTREAM_FULL_RETRIES,
                         is_retry ? 1 : 0);
    ch_metrics_add_count(client->metrics, CH_COUNT_UPSTREAM_FULL_RELAYED,
                         exchange->relay != 0 ? 1 : 0);
    ch_log(client, CH_LOG_INFO, "upstream-full",
           CH_F_STR("request_id", ch_exchange_get_request_id(exchange)),
           CH_F_STR("upstream", g_quark_to_string(exchange->grant.upstream)),
           CH_F_INT("attempt", info->attempt),
           CH_F_INT("refusals", info->refusals),
           CH_F_STR("relay", g_quark_to_string(exchange->relay)), CH_F_END);
}

/* How the call gives its slot back. An upstream that has not sent a complete
 * response may go on with the request for a while. */
static enum ch_slots_end
get_slot_end(const struct ch_call_result *end)
{
    if (is_upstream_full(end)) {
        return CH_SLOTS_REJECTED;
    }
    return end->code == CH_OK || !end->may_have_run ? CH_SLOTS_ENDED
                                                    : CH_SLOTS_CUT;
}

/* Handles the end of a call, successful or not. A grant that was used is
 * released here and nowhere else. */
bool
ch_exchange_handle_call_end(struct ch_exchange *exchange,
                            const struct ch_call_result *end)
{
    struct ch_node *node = exchange->frontend->node;
    release_relay(exchange, end);
    if (is_upstream_full(end)) {
        note_upstream_full(exchange);
    }
    exchange->may_have_run =
        exchange->may_have_run_before || end->may_have_run;
    exchange->call_may_have_run |= end->may_have_run;
    exchange->was_connected = end->code != CH_UPSTREAM_CONNECT;
    if (call_by_other_node(exchange, end)) {
        return false;
    }
    struct ch_call_result effective_end = *end;
    if (is_upstream_failure(exchange, end)) {
        effective_end.code = CH_UPSTREAM_ANSWER;
        effective_end.may_have_run = true;
    }
    report_crash_evidence(exchange, end);
    release_slot(exchange, get_slot_end(end));
    give_upstream_bytes_back(exchange);
    struct ch_timing_sample sample =
        ch_exchange_get_timing_sample(exchange, effective_end.code);
    node->router->ops->release(node->router, exchange->grant.handle, &sample);
    bool has_response = end->code == CH_OK && !exchange->response_too_large;
    if (has_response && effective_end.code == CH_OK) {
        return handle_response(exchange);
    }
    enum ch_retry retry = decide_retry(exchange, &effective_end);
    if (retry != CH_RETRY_NO) {
        retry_elsewhere(exchange, retry, &effective_end);
        return false;
    }
    if (has_response) {
        return handle_response(exchange);
    }
    if (exchange->response_too_large) {
        return fail(exchange, CH_UPSTREAM_ANSWER,
                    "the upstream's response is over the limit", 0);
    }
    if (should_wait_for_upstream(exchange, end->code, end->may_have_run)) {
        exchange->request->info.required_upstream = exchange->grant.upstream;
        request_grant_later(exchange);
        return false;
    }
    return fail(exchange, end->code, end->message,
                exchange->request->info.idempotent ? CH_EXCHANGE_RETRY_AFTER_US
                                                   : 0);
}

/* ---- callers that give up ---- */

/* Whether the rest of a call is useless without its caller: idempotent work,
 * which can be repeated, and a stream that nobody else will receive. The work
 * of any other request takes effect when it is done. */
static bool
is_useless_without_caller(const struct ch_exchange *exchange)
{
    return exchange->request->info.idempotent ||
           (exchange->request->stream && !exchange->once_record_created);
}

/*
 * Ends the work for a caller that has disconnected or whose deadline has
 * passed. A request that must not be repeated is left to run to its end once
 * it was dispatched: cancelling the call would not undo the work, and a repeat
 * with the same key can get the stored response.
 */
bool
ch_exchange_abandon(struct ch_exchange *exchange, enum ch_code code,
                    const char *message)
{
    if (exchange->abandoned || exchange->step == CH_EXCHANGE_STEP_DONE) {
        return false;
    }
    exchange->abandoned = true;
    if (exchange->step == CH_EXCHANGE_STEP_STORE) {
        if (exchange->response_complete) {
            ch_exchange_send_response(exchange);
        }
        return false;
    }
    /* It is not known yet whether an earlier attempt with this key ran. */
    exchange->may_have_run =
        exchange->may_have_run || exchange->step == CH_EXCHANGE_STEP_ONCE;
    ch_exchange_send_failure(exchange, code, message, 0);
    if (exchange->step == CH_EXCHANGE_STEP_ROUTE) {
        return withdraw_request(exchange);
    }
    if (exchange->step == CH_EXCHANGE_STEP_CALL &&
        is_useless_without_caller(exchange)) {
        exchange->grant.client->ops->cancel(exchange->grant.client,
                                            exchange->call_handle);
    }
    return false;
}

/* The caller's deadline has passed; runs on the pool. */
static void
handle_deadline(void *data)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    bool over = ch_exchange_abandon(exchange, CH_DEADLINE,
                                    "the caller's deadline passed");
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
    ch_exchange_unref(exchange);
}

/* See exchange.h. */
void
ch_exchange_abort(struct ch_exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    bool calling = exchange->step == CH_EXCHANGE_STEP_CALL;
    bool over =
        ch_exchange_abandon(exchange, CH_STOPPING, "the node has to stop");
    /* The node stops, so nobody would receive the rest of the response. */
    if (calling && !exchange->request->info.idempotent) {
        exchange->grant.client->ops->cancel(exchange->grant.client,
                                            exchange->call_handle);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* See exchange.h. */
void
ch_exchange_abandon_barred(struct ch_exchange *exchange)
{
    struct ch_crash_guard *crashes = exchange->frontend->node->crash_guard;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    bool has_begun = exchange->step == CH_EXCHANGE_STEP_CALL &&
                     exchange->call_first_data_at != 0;
    bool goes_on = has_begun && ch_crash_guard_is_barred_by_part(
                                    crashes, exchange->request);
    if (!goes_on && ch_crash_guard_is_barred(crashes, exchange->request)) {
        over = ch_exchange_abandon(exchange, CH_CRASHES_UPSTREAMS,
                                   "upstreams crashed under this request");
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* The caller closed its connection. */
static void
handle_disconnect(void *data)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    bool over = ch_exchange_abandon(exchange, CH_CANCELLED,
                                    "the caller closed its connection");
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* ---- start ---- */

/* Sends the caller the response to the first attempt with this key. Lock
 * held. */
static void
send_stored_response(struct ch_exchange *exchange,
                     const struct ch_once_result *result)
{
    exchange->may_have_run = true;
    if (!result->response_stored) {
        ch_exchange_send_failure(
            exchange, CH_OUTCOME_UNKNOWN,
            "an earlier attempt with this key ran; its response was not kept",
            0);
        return;
    }
    exchange->status = result->status;
    exchange->content_type = g_strdup(result->content_type);
    g_byte_array_append(exchange->body, result->body,
                        (guint)result->body_length);
    ch_exchange_send_response(exchange);
}

/* Responds to a caller whose key does not permit a dispatch. Lock held. */
static void
send_once_state(struct ch_exchange *exchange,
                const struct ch_once_result *result)
{
    switch (result->state) {
    case CH_ONCE_DONE:
        send_stored_response(exchange, result);
        return;
    case CH_ONCE_IN_PROGRESS:
        exchange->may_have_run = true;
        ch_exchange_send_failure(exchange, CH_IN_PROGRESS, NULL,
                                 CH_EXCHANGE_RETRY_AFTER_US);
        return;
    case CH_ONCE_MISMATCH:
        ch_exchange_send_failure(exchange, CH_KEY_REUSED, NULL, 0);
        return;
    default:
        ch_exchange_send_failure(exchange, CH_ONCE_UNAVAILABLE, NULL,
                                 CH_EXCHANGE_RETRY_AFTER_US);
        return;
    }
}

/* Handles the state of the at-most-once record. Only CH_ONCE_CREATED permits a
 * dispatch. */
static void
handle_once_begun(void *data, const struct ch_once_result *result)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (result->state == CH_ONCE_CREATED) {
        exchange->may_have_run = false;
        exchange->once_record_created = true;
        exchange->once_attempt = result->attempt;
        exchange->step = CH_EXCHANGE_STEP_ROUTE;
        ch_pool_submit(exchange->frontend->node->pool, request_grant,
                       exchange);
    }
    else {
        send_once_state(exchange, result);
        exchange->step = CH_EXCHANGE_STEP_DONE;
        over = true;
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* The service at which the stream began, if the class of the request may use
 * it; 0: it may not. Without a record it is certain only where the class has
 * one service. */
static GQuark
find_origin_service(const struct ch_class *class,
                    const struct ch_declaration *declaration,
                    const struct ch_stream_result *result)
{
    if (result->finding == CH_STREAM_SOLE && class->share_count != 1) {
        return 0;
    }
    for (size_t i = 0; i < class->share_count; i++) {
        const char *name =
            declaration->services[class->shares[i].service_index].name;
        bool is_used = class->shares[i].weight > 0 || class->share_count == 1;
        if (is_used && ch_hash_string(name) == result->origin.service) {
            return g_quark_from_string(name);
        }
    }
    return 0;
}

/* Binds the request to the service and version at which its stream began;
 * false if it may not go there by the configuration in force. Lock held. */
static bool
bind_to_origin(struct ch_exchange *exchange,
               const struct ch_stream_result *result)
{
    struct ch_request *request = exchange->request;
    struct ch_config *config =
        ch_config_manager_get_current(exchange->frontend->node->config);
    GQuark service = 0;
    if (config != NULL) {
        const struct ch_declaration *declaration = config->declaration;
        int index =
            ch_declaration_find_class(declaration, request->class_name);
        service = index < 0 ? 0
                            : find_origin_service(&declaration->classes[index],
                                                  declaration, result);
        ch_config_unref(config);
    }
    if (service == 0) {
        return false;
    }
    request->info.required_service = service;
    request->info.required_version = result->origin.version;
    exchange->stream_record = result->record;
    return true;
}

/* Refuses a stream that may go on nowhere. Lock held; returns true when the
 * exchange can be finished. */
static bool
refuse_stream(struct ch_exchange *exchange, enum ch_code code,
              const char *message)
{
    ch_log(exchange->frontend->node->client, CH_LOG_INFO,
           "stream-not-taken-up",
           CH_F_STR("request_id", ch_exchange_get_request_id(exchange)),
           CH_F_STR("resumes", exchange->request->resumes),
           CH_F_STR("finding",
                    ch_stream_finding_get_name(exchange->stream_finding)),
           CH_F_STR("source", g_quark_to_string(exchange->stream_source)),
           CH_F_STR("message", message), CH_F_END);
    return fail(exchange, code, message, ORIGIN_RETRY_AFTER_US);
}

/* Lock held; returns true when the exchange can be finished. */
static bool
handle_origin(struct ch_exchange *exchange,
              const struct ch_stream_result *result)
{
    exchange->stream_finding = result->finding;
    exchange->stream_source = g_quark_from_string(result->source);
    if (exchange->abandoned) {
        return end_without_response(exchange);
    }
    if (!ch_stream_finding_is_origin(result->finding)) {
        return refuse_stream(exchange, CH_ORIGIN_UNKNOWN, NULL);
    }
    if (result->origin.version == CH_VERSION_NOT_KNOWN) {
        return refuse_stream(exchange, CH_ORIGIN_UNKNOWN,
                             "the upstream that began the stream states no "
                             "version");
    }
    if (!bind_to_origin(exchange, result)) {
        return refuse_stream(exchange, CH_ORIGIN_UNKNOWN,
                             "the class does not use the service that began "
                             "the stream, or uses several");
    }
    exchange->step = CH_EXCHANGE_STEP_ROUTE;
    return false;
}

/* See exchange.h. */
void
ch_exchange_handle_origin(struct ch_exchange *exchange,
                          const struct ch_stream_result *result)
{
    pthread_mutex_lock(&exchange->lock);
    bool over = handle_origin(exchange, result);
    bool routes = exchange->step == CH_EXCHANGE_STEP_ROUTE;
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
    else if (routes) {
        request_grant(exchange);
    }
}

/* Gets the at-most-once record before anything else, so that a request whose
 * key has run is never queued. */
static void
begin_admitted(struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    if (ch_exchange_takes_up_stream(exchange)) {
        ch_exchange_find_origin(exchange);
        return;
    }
    if (ch_exchange_first_step(request) == CH_EXCHANGE_STEP_ONCE) {
        ch_once_manager_begin(exchange->frontend->node->once, request->owner,
                              request->key, request->fingerprint,
                              handle_once_begun, exchange);
        return;
    }
    request_grant(exchange);
}

/* The team's quota has credit for the request, or not. */
static void
handle_quota(void *data, enum ch_code code, int64_t retry_after)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    exchange->quota_taken = code == CH_OK;
    if (exchange->abandoned) {
        over = end_without_response(exchange);
    }
    else if (code != CH_OK) {
        over = fail(exchange, code, NULL, retry_after);
    }
    else {
        exchange->step = ch_exchange_takes_up_stream(exchange)
                             ? CH_EXCHANGE_STEP_ORIGIN
                             : ch_exchange_first_step(exchange->request);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
    else {
        begin_admitted(exchange);
    }
}

/* First step, on the pool: a request beyond its team's quota takes nothing
 * else. */
static void
begin_exchange(void *data)
{
    struct ch_exchange *exchange = data;
    const struct ch_request *request = exchange->request;
    if (request->quota_cost > 0) {
        ch_quota_manager_take(exchange->frontend->node->quota, request->team,
                              request->quota_rank, request->quota_cost,
                              handle_quota, exchange);
        return;
    }
    begin_admitted(exchange);
}

/* Starts the timer if the caller states a deadline. */
static void
start_deadline_timer(struct ch_exchange *exchange)
{
    int64_t deadline = exchange->request->deadline;
    if (deadline == 0) {
        return;
    }
    ch_exchange_ref(exchange);
    exchange->timer = ch_timers_add(exchange->frontend->node->timers,
                                    deadline - exchange->arrived_at,
                                    handle_deadline, exchange);
}

/* Starts the exchange of a request that was parsed and is valid. Must be
 * called before the response is passed to the HTTP library, so that no handler
 * runs too early. */
void
ch_exchange_start(struct ch_frontend *front, struct ch_request *request,
                  struct ch_response *response)
{
    static const struct ch_response_watcher watcher = {
        .disconnected = handle_disconnect,
        .unref_data = ch_exchange_unref,
    };
    struct ch_exchange *exchange = ch_exchange_new(front, request, response);
    ch_response_set_watcher(response, &watcher, ch_exchange_ref(exchange));
    ch_frontend_add_exchange(front, exchange);
    if (request->resume_id != NULL) {
        ch_metrics_add_count(front->node->client->metrics,
                             CH_COUNT_STREAMS_TAKEN_UP, 1);
    }
    pthread_mutex_lock(&front->lock);
    ch_retry_budget_add_request(
        ch_frontend_get_retry_budget(front, request->info.required_service));
    pthread_mutex_unlock(&front->lock);
    start_deadline_timer(exchange);
    ch_pool_submit(front->node->pool, begin_exchange, exchange);
}
