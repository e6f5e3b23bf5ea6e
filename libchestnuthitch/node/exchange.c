/* The course of one request, step by step. */

#include "node/exchange.h"

#include "node/crash_keeper.h"

enum {
    /* What crashed upstreams once does so again soon: its caller need not come
     * back before an operator had a look. */
    CRASHER_RETRY_AFTER = 60 * 1000 * 1000,
};

/* Ends the course: the record is written, and the reply let go, which also
 * breaks the ring of references between the two. */
void
ch_exchange_over(struct ch_exchange *exchange)
{
    struct ch_front *front = exchange->front;
    if (exchange->timer != 0 &&
        ch_timers_cancel(front->node->timers, exchange->timer)) {
        ch_exchange_unref(exchange);
    }
    ch_exchange_record(exchange);
    pthread_mutex_lock(&front->lock);
    ch_retry_put_back(
        ch_front_budget(front, exchange->request->work.required_service),
        &exchange->try_held);
    pthread_mutex_unlock(&front->lock);
    pthread_mutex_lock(&exchange->lock);
    struct ch_reply *reply = exchange->reply;
    exchange->reply = NULL;
    pthread_mutex_unlock(&exchange->lock);
    ch_reply_unref(reply);
    ch_front_leave(front, exchange);
    ch_exchange_unref(exchange);
}

/* ---- the end of the once record ---- */

/* The once record was finished, or could not be: the caller is answered
 * either way, with what the upstream said. */
static void
once_finished(void *data, bool kept)
{
    (void)kept;
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->whole) {
        ch_exchange_tell_answer(exchange);
    }
    exchange->step = CH_STEP_OVER;
    pthread_mutex_unlock(&exchange->lock);
    ch_exchange_over(exchange);
}

/* Hands the whole answer to the once record before the caller has it: a
 * caller that repeats after losing this answer gets the same one.  Without an
 * answer the key is given free.  On the pool; nothing writes to the answer in
 * this step, so that the lock is not needed. */
static void
finish_once(void *data)
{
    struct ch_exchange *exchange = data;
    const struct ch_request *request = exchange->request;
    bool whole = exchange->whole;
    ch_once_keeper_finish(
        exchange->front->node->once, request->caller, request->key,
        exchange->once_attempt, !whole, whole ? exchange->status : 0,
        whole ? exchange->content_type : NULL,
        whole ? exchange->body->data : NULL, whole ? exchange->body->len : 0,
        once_finished, exchange);
}

/* Goes on to the end of the once record.  Lock held. */
static void
keep(struct ch_exchange *exchange)
{
    exchange->step = CH_STEP_KEEP;
    ch_pool_submit(exchange->front->node->pool, finish_once, exchange);
}

/* Ends a course without an answer; the caller was told before.  A key whose
 * request may have run is left as it is: a repeat then learns that the
 * outcome is unknown.  Lock held; true when the course is over. */
static bool
wind_up(struct ch_exchange *exchange)
{
    if (exchange->once_created && !exchange->may_have_run) {
        keep(exchange);
        return false;
    }
    exchange->step = CH_STEP_OVER;
    return true;
}

/* ---- leave from a home ---- */

/* Tells the caller that it is out, and winds up.  Lock held. */
static bool
fail(struct ch_exchange *exchange, enum ch_code code, const char *message,
     int64_t retry_after)
{
    ch_exchange_tell_failure(exchange, code, message, retry_after);
    return wind_up(exchange);
}

/*
 * The gate that each dispatch passes, first or not: a request under which
 * upstreams crashed goes to no other, and nothing is loaded for it.  True when
 * it may not go on; *over when its course is over.  Lock held.
 */
static bool
refuse_crasher(struct ch_exchange *exchange, bool *over)
{
    struct ch_node *node = exchange->front->node;
    if (!ch_crash_keeper_bars(node->crashes, exchange->request)) {
        return false;
    }
    ch_metrics_count(node->client->metrics, CH_COUNT_CRASHERS_REFUSED, 1);
    *over = fail(exchange, CH_CRASHES_UPSTREAMS,
                 "upstreams crashed under this request", CRASHER_RETRY_AFTER);
    return true;
}

/* Gives a grant back unused.  Lock held. */
static void
give_grant_back(struct ch_exchange *exchange)
{
    const struct ch_timing_sample sample = {.code = CH_CANCELLED};
    struct ch_router *router = exchange->front->node->router;
    router->ops->release(router, exchange->grant.handle, &sample);
}

/* A home gave leave.  Leave that comes after the caller gave up is given back
 * unused. */
static void
home_granted(void *data, const struct ch_grant *grant)
{
    struct ch_exchange *exchange = data;
    struct ch_front *front = exchange->front;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    exchange->home_answered = true;
    exchange->grant = *grant;
    if (exchange->first_grant == 0) {
        exchange->first_grant = ch_client_now(front->node->client);
    }
    if (exchange->abandoned) {
        give_grant_back(exchange);
        over = wind_up(exchange);
    }
    else if (refuse_crasher(exchange, &over)) {
        give_grant_back(exchange);
    }
    else {
        ch_exchange_call(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

static void ask_home(void *data);

/*
 * True when a refusal comes only of what this request itself excluded, and was
 * not asked without that yet.  A model with one replica whose connection was
 * lost would else be refused although its engine is well.
 */
static bool
should_ask_anew(struct ch_exchange *exchange, enum ch_code code)
{
    if (exchange->abandoned || exchange->asked_anew ||
        exchange->excluded->len == 0 || code != CH_NO_UPSTREAM) {
        return false;
    }
    exchange->asked_anew = true;
    g_array_set_size(exchange->excluded, 0);
    return true;
}

/* Whether a further try may begin now; counted once for each call.  Lock
 * held. */
static bool
hold_try(struct ch_exchange *exchange)
{
    struct ch_front *front = exchange->front;
    pthread_mutex_lock(&front->lock);
    bool held = ch_retry_take(
        ch_front_budget(front, exchange->request->work.required_service),
        &exchange->try_held);
    pthread_mutex_unlock(&front->lock);
    return held;
}

static void ask_later(struct ch_exchange *exchange);

/* On the pool, CH_RETRY_DELAY_US later: asks again, if the budget allows. */
static void
ask_again(void *data)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    bool wait = !exchange->abandoned && !hold_try(exchange);
    if (wait) {
        ask_later(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (!wait) {
        ask_home(exchange);
    }
}

/* Goes back to the homes a little later.  A caller that gives up meanwhile is
 * found when it asks.  Lock held. */
static void
ask_later(struct ch_exchange *exchange)
{
    exchange->step = CH_STEP_HOME;
    exchange->home_handle = 0;
    exchange->home_answered = true;
    g_array_set_size(exchange->excluded, 0);
    ch_timers_after(exchange->front->node->timers, CH_RETRY_DELAY_US,
                    ask_again, exchange);
}

/* Whether a stream that was begun waits for its turn at an upstream: the one
 * that just refused it, or any while more may have it.  Lock held. */
static bool
waits_for_turn(struct ch_exchange *exchange, enum ch_code code,
               bool may_have_run)
{
    const struct ch_request_info *work = &exchange->request->work;
    bool gone = work->required_upstream != 0 && code == CH_NO_UPSTREAM;
    return !exchange->abandoned && exchange->stream_begun && !gone &&
           ch_retry_is_delayed(work, code, may_have_run, exchange->events);
}

/* A home refused, or none serves this: final, and told at once, unless the
 * caller has the beginning of a stream. */
static void
home_refused(void *data, enum ch_code code, int64_t retry_after,
             const char *message)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    exchange->home_answered = true;
    if (should_ask_anew(exchange, code)) {
        ch_pool_submit(exchange->front->node->pool, ask_home, exchange);
    }
    else if (waits_for_turn(exchange, code, false)) {
        ask_later(exchange);
    }
    else {
        over = fail(exchange, code, message, retry_after);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* Withdraws what waits at a home.  True when no handler will run any more and
 * the course is over; else the handler that comes ends it.  Lock held. */
static bool
withdraw(struct ch_exchange *exchange)
{
    if (exchange->home_answered || exchange->home_handle == 0) {
        return false;
    }
    exchange->home_answered = true;
    struct ch_router *router = exchange->front->node->router;
    if (!router->ops->withdraw(router, exchange->home_handle)) {
        return false;
    }
    return wind_up(exchange);
}

/* Notes the handle of what was asked, unless it was answered meanwhile.  A
 * caller may have given up before there was a handle to withdraw. */
static void
note_home_handle(struct ch_exchange *exchange, unsigned round, uint64_t handle)
{
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (exchange->step == CH_STEP_HOME && exchange->round == round &&
        !exchange->home_answered) {
        exchange->home_handle = handle;
        over = exchange->abandoned && withdraw(exchange);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* Asks for leave to dispatch; on the pool, the lock not held, since the answer
 * may come before the call returns. */
static void
ask_home(void *data)
{
    static const struct ch_router_handlers handlers = {
        .granted = home_granted,
        .refused = home_refused,
    };
    struct ch_exchange *exchange = data;
    struct ch_router *router = exchange->front->node->router;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    bool stops = exchange->abandoned;
    if (stops) {
        over = wind_up(exchange);
    }
    else {
        stops = refuse_crasher(exchange, &over);
    }
    if (stops) {
        pthread_mutex_unlock(&exchange->lock);
        if (over) {
            ch_exchange_over(exchange);
        }
        return;
    }
    unsigned round = ++exchange->round;
    exchange->home_answered = false;
    exchange->home_handle = 0;
    struct ch_request_info work = exchange->request->work;
    work.answer_started = exchange->stream_begun;
    GArray *excluded = g_array_copy(exchange->excluded);
    /* The course may be over when the call returns. */
    ch_exchange_ref(exchange);
    pthread_mutex_unlock(&exchange->lock);
    uint64_t handle =
        router->ops->request(router, &work, excluded, &handlers, exchange);
    note_home_handle(exchange, round, handle);
    g_array_free(excluded, TRUE);
    ch_exchange_unref(exchange);
}

/* ---- the call's end ---- */

/* A call's end as the policy sees it. */
static struct ch_retry_failure
failure_of(const struct ch_exchange *exchange, const struct ch_call_end *end)
{
    return (struct ch_retry_failure){
        .code = end->code,
        .may_have_run = end->may_have_run,
        .is_resumable = exchange->request->stream,
        .events_delivered = exchange->events,
    };
}

/* Whether a failed call is tried again, by the policy and the node's budget.
 * A non-idempotent request without a key has one dispatch and no other: there
 * is no record that would tell a repeat from a first try. */
static enum ch_retry
decide_retry(struct ch_exchange *exchange, const struct ch_call_end *end)
{
    struct ch_front *front = exchange->front;
    const struct ch_request_info *work = &exchange->request->work;
    bool repeatable = work->idempotent || exchange->once_created ||
                      (work->max_attempts > 0 && !exchange->may_have_run);
    if (exchange->abandoned || exchange->too_large || !repeatable ||
        ch_crash_keeper_bars(front->node->crashes, exchange->request)) {
        return CH_RETRY_NO;
    }
    const struct ch_retry_failure failure = failure_of(exchange, end);
    pthread_mutex_lock(&front->lock);
    enum ch_retry retry = ch_retry_decide(
        ch_front_budget(front, work->required_service), &exchange->try_held,
        work, &failure, ch_client_now(front->node->client));
    pthread_mutex_unlock(&front->lock);
    if (retry == CH_RETRY_RESTART && exchange->stream_begun) {
        return CH_RETRY_NO;
    }
    return retry;
}

/* Goes back to the homes for another upstream.  Lock held. */
static void
try_elsewhere(struct ch_exchange *exchange, enum ch_retry retry,
              const struct ch_call_end *end)
{
    struct ch_metrics *metrics = exchange->front->node->client->metrics;
    ch_metrics_count(metrics, CH_COUNT_RETRIES, 1);
    if (retry == CH_RETRY_RESUME) {
        ch_metrics_count(metrics, CH_COUNT_RESUMED, 1);
    }
    if (retry == CH_RETRY_RESTART) {
        g_byte_array_set_size(exchange->body, 0);
    }
    GQuark failed = exchange->grant.upstream;
    g_array_append_val(exchange->excluded, failed);
    struct ch_request_info *work = &exchange->request->work;
    const struct ch_retry_failure failure = failure_of(exchange, end);
    bool refused = ch_retry_is_refusal(work, &failure);
    bool counts = work->max_attempts == 0 || exchange->was_sent;
    work->refusals += refused ? 1 : 0;
    work->attempt += counts && !refused ? 1 : 0;
    exchange->step = CH_STEP_HOME;
    exchange->home_handle = 0;
    exchange->home_answered = false;
    ch_pool_submit(exchange->front->node->pool, ask_home, exchange);
}

/* A whole answer came.  Lock held; true when the course is over. */
static bool
take_answer(struct ch_exchange *exchange)
{
    exchange->whole = true;
    if (exchange->told) {
        ch_metrics_count(exchange->front->node->client->metrics,
                         CH_COUNT_LATE_ANSWERS, 1);
    }
    if (exchange->once_created) {
        keep(exchange);
        return false;
    }
    ch_exchange_tell_answer(exchange);
    exchange->step = CH_STEP_OVER;
    return true;
}

/* Whether a whole answer tells of a failure of the upstream that another one
 * may not show.  It is the caller's answer all the same when there is no other
 * try. */
static bool
is_failure_of_upstream(const struct ch_exchange *exchange,
                       const struct ch_call_end *end)
{
    return end->code == CH_OK && exchange->request->routed &&
           !exchange->is_stream && exchange->status >= 500;
}

/* Tells what the call's end shows of its upstream.  Lock held. */
static void
note_end(struct ch_exchange *exchange, const struct ch_call_end *end)
{
    struct ch_crash_keeper *crashes = exchange->front->node->crashes;
    const struct ch_grant *grant = &exchange->grant;
    if (end->code == CH_OK) {
        ch_crash_keeper_whole(crashes, exchange->request);
    }
    else if (end->refused) {
        ch_crash_keeper_refused(crashes, grant->upstream);
    }
    else if (end->code == CH_UPSTREAM_CUT && end->may_have_run &&
             !exchange->abandoned) {
        ch_crash_keeper_cut(crashes, exchange->request, grant,
                            exchange->call_first == 0);
    }
}

/* The upstream's call is over, well or not.  The grant is given back here and
 * nowhere else once it was used. */
bool
ch_exchange_call_ended(struct ch_exchange *exchange,
                       const struct ch_call_end *end)
{
    struct ch_node *node = exchange->front->node;
    exchange->may_have_run = exchange->ran_before || end->may_have_run;
    exchange->was_sent = end->code != CH_UPSTREAM_CONNECT;
    struct ch_call_end judged = *end;
    if (is_failure_of_upstream(exchange, end)) {
        judged.code = CH_UPSTREAM_ANSWER;
        judged.may_have_run = true;
    }
    note_end(exchange, end);
    struct ch_timing_sample sample = ch_exchange_sample(exchange, judged.code);
    node->router->ops->release(node->router, exchange->grant.handle, &sample);
    bool answers = end->code == CH_OK && !exchange->too_large;
    if (answers && judged.code == CH_OK) {
        return take_answer(exchange);
    }
    enum ch_retry retry = decide_retry(exchange, &judged);
    if (retry != CH_RETRY_NO) {
        try_elsewhere(exchange, retry, &judged);
        return false;
    }
    if (answers) {
        return take_answer(exchange);
    }
    if (exchange->too_large) {
        return fail(exchange, CH_UPSTREAM_ANSWER,
                    "the upstream's answer is over the limit", 0);
    }
    if (waits_for_turn(exchange, end->code, end->may_have_run)) {
        exchange->request->work.required_upstream = exchange->grant.upstream;
        ask_later(exchange);
        return false;
    }
    return fail(exchange, end->code, end->message,
                exchange->request->work.idempotent ? CH_EXCHANGE_RETRY_AFTER
                                                   : 0);
}

/* ---- the caller gives up ---- */

/* Whether what an upstream goes on with is of no use without the caller: work
 * that may be done again, and a stream that nobody else will hear.  Another
 * request's work takes effect once it is done. */
static bool
is_of_no_use(const struct ch_exchange *exchange)
{
    return exchange->request->work.idempotent ||
           (exchange->request->stream && !exchange->once_created);
}

/*
 * Ends what is done for a caller that is gone or whose deadline has passed.
 * What may not be repeated is left to run to its end once it was dispatched:
 * cutting it would not undo it, and a repeat with the same key can be given
 * the answer.
 */
bool
ch_exchange_abandon(struct ch_exchange *exchange, enum ch_code code,
                    const char *message)
{
    if (exchange->abandoned || exchange->step == CH_STEP_OVER) {
        return false;
    }
    exchange->abandoned = true;
    if (exchange->step == CH_STEP_KEEP) {
        if (exchange->whole) {
            ch_exchange_tell_answer(exchange);
        }
        return false;
    }
    /* What an earlier try with this key did is not known yet. */
    exchange->may_have_run =
        exchange->may_have_run || exchange->step == CH_STEP_ONCE;
    ch_exchange_tell_failure(exchange, code, message, 0);
    if (exchange->step == CH_STEP_HOME) {
        return withdraw(exchange);
    }
    if (exchange->step == CH_STEP_CALL && is_of_no_use(exchange)) {
        exchange->grant.client->ops->cancel(exchange->grant.client,
                                            exchange->call_handle);
    }
    return false;
}

/* The caller's deadline has passed; on the pool. */
static void
deadline_passed(void *data)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    bool over = ch_exchange_abandon(exchange, CH_DEADLINE,
                                    "the caller's deadline passed");
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
    ch_exchange_unref(exchange);
}

/* See exchange.h. */
void
ch_exchange_cut(struct ch_exchange *exchange)
{
    pthread_mutex_lock(&exchange->lock);
    bool calling = exchange->step == CH_STEP_CALL;
    bool over =
        ch_exchange_abandon(exchange, CH_STOPPING, "the node has to stop");
    /* The node ends, so that nobody would hear the rest. */
    if (calling && !exchange->request->work.idempotent) {
        exchange->grant.client->ops->cancel(exchange->grant.client,
                                            exchange->call_handle);
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* See exchange.h. */
void
ch_exchange_drop_barred(struct ch_exchange *exchange)
{
    struct ch_crash_keeper *crashes = exchange->front->node->crashes;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (ch_crash_keeper_bars(crashes, exchange->request)) {
        over = ch_exchange_abandon(exchange, CH_CRASHES_UPSTREAMS,
                                   "upstreams crashed under this request");
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* The caller closed its connection. */
static void
caller_gone(void *data)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    bool over = ch_exchange_abandon(exchange, CH_CANCELLED,
                                    "the caller closed its connection");
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* ---- the beginning ---- */

/* Gives the caller what the first try with this key was answered.  Lock
 * held. */
static void
tell_kept(struct ch_exchange *exchange, const struct ch_once_answer *answer)
{
    exchange->may_have_run = true;
    if (!answer->kept) {
        ch_exchange_tell_failure(
            exchange, CH_OUTCOME_UNKNOWN,
            "an earlier try with this key ran; its answer was not kept", 0);
        return;
    }
    exchange->status = answer->status;
    exchange->content_type = g_strdup(answer->content_type);
    g_byte_array_append(exchange->body, answer->body, (guint)answer->length);
    ch_exchange_tell_answer(exchange);
}

/* Answers a caller whose key gives no leave to dispatch.  Lock held. */
static void
tell_once(struct ch_exchange *exchange, const struct ch_once_answer *answer)
{
    switch (answer->state) {
    case CH_ONCE_DONE:
        tell_kept(exchange, answer);
        return;
    case CH_ONCE_IN_PROGRESS:
        exchange->may_have_run = true;
        ch_exchange_tell_failure(exchange, CH_IN_PROGRESS, NULL,
                                 CH_EXCHANGE_RETRY_AFTER);
        return;
    case CH_ONCE_MISMATCH:
        ch_exchange_tell_failure(exchange, CH_KEY_REUSED, NULL, 0);
        return;
    default:
        ch_exchange_tell_failure(exchange, CH_ONCE_UNAVAILABLE, NULL,
                                 CH_EXCHANGE_RETRY_AFTER);
        return;
    }
}

/* The once record's answer.  CREATED alone gives leave to dispatch. */
static void
once_begun(void *data, const struct ch_once_answer *answer)
{
    struct ch_exchange *exchange = data;
    bool over = false;
    pthread_mutex_lock(&exchange->lock);
    if (answer->state == CH_ONCE_CREATED) {
        exchange->may_have_run = false;
        exchange->once_created = true;
        exchange->once_attempt = answer->attempt;
        exchange->step = CH_STEP_HOME;
        ch_pool_submit(exchange->front->node->pool, ask_home, exchange);
    }
    else {
        tell_once(exchange, answer);
        exchange->step = CH_STEP_OVER;
        over = true;
    }
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* First step, on the pool: the once record before anything else, so that
 * nothing is queued for a key that has run. */
static void
begin(void *data)
{
    struct ch_exchange *exchange = data;
    const struct ch_request *request = exchange->request;
    if (!request->work.idempotent && request->key != NULL) {
        ch_once_keeper_begin(exchange->front->node->once, request->caller,
                             request->key, request->fingerprint, once_begun,
                             exchange);
        return;
    }
    ask_home(exchange);
}

/* Arms the timer for a caller that states how long it waits. */
static void
arm_deadline(struct ch_exchange *exchange)
{
    int64_t deadline = exchange->request->deadline;
    if (deadline == 0) {
        return;
    }
    ch_exchange_ref(exchange);
    exchange->timer = ch_timers_after(exchange->front->node->timers,
                                      deadline - exchange->arrived,
                                      deadline_passed, exchange);
}

/* Begins the course of a request that was parsed and found good.  Called
 * before the reply is given to the library, so that nothing runs early. */
void
ch_exchange_start(struct ch_front *front, struct ch_request *request,
                  struct ch_reply *reply)
{
    static const struct ch_reply_watcher watcher = {
        .gone = caller_gone,
        .drop = ch_exchange_unref,
    };
    struct ch_exchange *exchange = ch_exchange_new(front, request, reply);
    ch_reply_watch(reply, &watcher, ch_exchange_ref(exchange));
    ch_front_enter(front, exchange);
    pthread_mutex_lock(&front->lock);
    ch_retry_budget_add_request(
        ch_front_budget(front, request->work.required_service));
    pthread_mutex_unlock(&front->lock);
    arm_deadline(exchange);
    ch_pool_submit(front->node->pool, begin, exchange);
}
