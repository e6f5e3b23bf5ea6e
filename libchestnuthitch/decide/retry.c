/* Decides whether a failed request is retried, and from which point of the
 * response. */

#include "decide/policy.h"

enum {
    /* Together with the first attempt, at most three attempts.  One retry is
     * enough for a single host that fails, and two if another host fails while
     * the request is on its way to it.  More would only carry a request that
     * itself causes the failure from upstream to upstream. */
    MAX_RETRIES = 2,
    /* Refusals after which a request is given up, if its class sets a number
     * of attempts and none of the response has been delivered.  A view of the
     * fleet that is some hundred milliseconds old is wrong more than once when
     * many nodes send at the same time. */
    MAX_REFUSALS = 3,
    /* Retries that a node may make before it has seen much traffic. */
    INITIAL_RETRIES = 3,
};

/* Fills the budget of a node that has just started with a few retries, so that
 * the first failure isn't passed on to the caller. */
void
ch_retry_budget_init(struct ch_retry_budget *budget, double share)
{
    *budget = (struct ch_retry_budget){
        .level = INITIAL_RETRIES, .share = share, .max_level = 20};
}

/* Adds the share of a new request to the budget. */
void
ch_retry_budget_add_request(struct ch_retry_budget *budget)
{
    budget->level = MIN(budget->max_level, budget->level + budget->share);
}

/* Whether the failure may be due to the upstream, so that another upstream may
 * not show it. */
static bool
is_upstream_failure(enum ch_code code)
{
    switch (code) {
    case CH_UPSTREAM_CONNECT:
    case CH_UPSTREAM_STALLED:
    case CH_UPSTREAM_CUT:
    case CH_UPSTREAM_CROSSED:
    case CH_UPSTREAM_ANSWER:
    case CH_UPSTREAM_REFUSED:
    case CH_PEER_LOST:
    case CH_PEER_TIMEOUT:
        return true;
    default:
        return false;
    }
}

/* Returns the maximum number of attempts after the first; see MAX_RETRIES. */
static uint32_t
max_retries(const struct ch_request_info *request)
{
    return request->max_attempts > 0 ? request->max_attempts - 1 : MAX_RETRIES;
}

/* Whether the request may not be sent to another upstream.  If many nodes fill
 * an engine at once, or a model is evicted while requests for it are on their
 * way, callers would otherwise be refused while other engines have free slots.
 * The number of attempts bounds how many upstreams may run a request, so a
 * refusal that certainly didn't run it isn't counted. */
static bool
is_last_attempt(const struct ch_request_info *request,
                const struct ch_retry_failure *failure)
{
    return ch_retry_is_refusal(request, failure)
               ? request->refusals + 1 >= MAX_REFUSALS
               : request->attempt >= max_retries(request);
}

/* Whether the target time for the whole response has passed. */
static bool
is_past_target(const struct ch_request_info *request, int64_t now)
{
    return request->answer_deadline > 0 && now >= request->answer_deadline;
}

/* See policy.h. */
bool
ch_retry_is_refusal(const struct ch_request_info *request,
                    const struct ch_retry_failure *failure)
{
    return request->max_attempts > 0 && failure->code == CH_UPSTREAM_REFUSED &&
           !failure->may_have_run && failure->events_delivered == 0;
}

/* See policy.h. */
bool
ch_retry_take(struct ch_retry_budget *budget, bool *reserved)
{
    if (!*reserved && budget->level >= 1.0) {
        budget->level -= 1.0;
        *reserved = true;
    }
    return *reserved;
}

/* See policy.h. */
void
ch_retry_put_back(struct ch_retry_budget *budget, bool *reserved)
{
    if (*reserved) {
        budget->level = MIN(budget->max_level, budget->level + 1.0);
    }
    *reserved = false;
}

/* Takes the retry from the budget before the attempt is given up.  An upstream
 * that is cut off, or a node that stalls, leaves many attempts silent at once.
 * If all of them were given up first, only some would find a retry in the
 * budget, and the other callers would lose responses that would still have
 * come. */
bool
ch_retry_may_abandon(struct ch_retry_budget *budget, bool *reserved,
                     const struct ch_request_info *request, int64_t now)
{
    return request->idempotent && request->attempt < max_retries(request) &&
           !is_past_target(request, now) && ch_retry_take(budget, reserved);
}

/* See policy.h.  When a stream has to be resumed elsewhere, other upstreams
 * may be full.  Without this delay, a caller who already has the beginning of
 * the response and would have waited for the rest is cut off because the
 * second upstream refused the request at that moment.  Only requests that
 * certainly didn't run are tried again, so that the limit on upstreams that
 * run a request holds.  The caller's deadline ends the retries. */
bool
ch_retry_is_delayed(const struct ch_request_info *request, enum ch_code code,
                    bool may_have_run, uint32_t events_given)
{
    bool no_upstream_free = code == CH_UPSTREAM_REFUSED || code == CH_LATE ||
                            code == CH_NO_UPSTREAM ||
                            code == CH_UPSTREAM_LIMITED ||
                            code == CH_UPSTREAM_WAITS;
    return request->max_attempts > 0 && request->idempotent &&
           events_given > 0 && !may_have_run && no_upstream_free;
}

/*
 * See policy.h.  An upstream that dies or goes silent under full load fails
 * all its running requests at once.  If all were retried on top of the new
 * requests, the next upstream would become late and its requests would be
 * retried too.  Retries are therefore limited to a share of the new requests,
 * whatever fails.
 *
 * A request that may have run and must not run twice is never retried.  A
 * request whose target for the whole response has passed isn't worth running
 * again.
 */
enum ch_retry
ch_retry_decide(struct ch_retry_budget *budget, bool *reserved,
                const struct ch_request_info *request,
                const struct ch_retry_failure *failure, int64_t now)
{
    bool sent =
        request->max_attempts == 0 || failure->code != CH_UPSTREAM_CONNECT;
    bool response_begun = failure->events_delivered > 0;
    if (!is_upstream_failure(failure->code) || is_past_target(request, now) ||
        (sent && is_last_attempt(request, failure))) {
        return CH_RETRY_NO;
    }
    if (failure->may_have_run && !request->idempotent) {
        return CH_RETRY_NO;
    }
    if (response_begun && !failure->is_resumable) {
        return CH_RETRY_NO;
    }
    /* A request that was never sent puts no load on any upstream. */
    if (sent && !ch_retry_take(budget, reserved)) {
        return CH_RETRY_NO;
    }
    return response_begun ? CH_RETRY_RESUME : CH_RETRY_RESTART;
}
