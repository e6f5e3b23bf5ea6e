/* Whether a failed dispatch is tried again, and from where. */

#include "decide/policy.h"

enum {
    /* Three dispatches at most.  For a single host that died one is enough,
     * for one that died while the second was reached, two; more would only
     * follow a fault of the request itself from upstream to upstream. */
    MOST_ATTEMPTS = 2,
    /* Upstreams that may refuse a request of a class with stated tries, in one
     * course; the last of them ends it.  A view that is some hundred
     * milliseconds old is wrong more than once where many send at once. */
    MOST_REFUSALS = 3,
    /* A node that has seen little traffic may still retry this often. */
    SMALLEST_BUDGET = 3,
};

/* An empty node's budget: a few retries, so that the first failure after a
 * start is not passed on to the caller. */
void
ch_retry_budget_init(struct ch_retry_budget *budget, double share)
{
    *budget = (struct ch_retry_budget){
        .level = SMALLEST_BUDGET, .share = share, .most = 20};
}

/* A fresh request came: the budget grows by its share. */
void
ch_retry_budget_fresh(struct ch_retry_budget *budget)
{
    budget->level = MIN(budget->most, budget->level + budget->share);
}

/* Failures that another upstream may not show. */
static bool
is_of_the_upstream(enum ch_code code)
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

/* Tries of the work after its first; see MOST_ATTEMPTS. */
static uint32_t
most_attempts(const struct ch_work *work)
{
    return work->tries > 0 ? work->tries - 1 : MOST_ATTEMPTS;
}

/*
 * Whether the upstream that failed was the last that may be asked.  Load: many
 * nodes fill an engine at once, or a model goes while requests for it are on
 * their way.  Harm prevented: the caller is refused beside engines with places
 * free.  What surely was not run takes none of the tries, which bound on how
 * many upstreams a request may run.
 */
static bool
was_last(const struct ch_work *work, const struct ch_retry_failure *failure)
{
    return ch_retry_is_refusal(work, failure)
               ? work->refusals + 1 >= MOST_REFUSALS
               : work->attempt >= most_attempts(work);
}

/* Whether the time for the whole answer is over. */
static bool
is_past(const struct ch_work *work, int64_t now)
{
    return work->whole_by > 0 && now >= work->whole_by;
}

/* See policy.h. */
bool
ch_retry_is_refusal(const struct ch_work *work,
                    const struct ch_retry_failure *failure)
{
    return work->tries > 0 && failure->code == CH_UPSTREAM_REFUSED &&
           !failure->may_have_run && failure->events_given == 0;
}

/* See policy.h. */
bool
ch_retry_hold(struct ch_retry_budget *budget, bool *held)
{
    if (!*held && budget->level >= 1.0) {
        budget->level -= 1.0;
        *held = true;
    }
    return *held;
}

/* See policy.h. */
void
ch_retry_give_back(struct ch_retry_budget *budget, bool *held)
{
    if (*held) {
        budget->level = MIN(budget->most, budget->level + 1.0);
    }
    *held = false;
}

/*
 * Load: an upstream that is cut off, or a node that stands still, leaves many
 * calls silent at once.  Harm prevented: callers whose answers would still
 * have come are cut off, since all calls are given up for another try and only
 * some find one left.  So the try is drawn here, before the call is given up.
 */
bool
ch_retry_reserve(struct ch_retry_budget *budget, bool *held,
                 const struct ch_work *work, int64_t now)
{
    return work->idempotent && work->attempt < most_attempts(work) &&
           !is_past(work, now) && ch_retry_hold(budget, held);
}

/*
 * Load: upstreams that are full when a stream has to go on elsewhere.  Harm
 * prevented: a caller who has the beginning of an answer, and would have
 * waited for the rest, is cut off since the second upstream refused it at that
 * moment. Limit: only what was surely not run is asked for again, so that it
 * runs on no more upstreams than it may; the caller's deadline ends it.
 */
bool
ch_retry_waits(const struct ch_work *work, enum ch_code code,
               bool may_have_run, uint32_t events_given)
{
    bool full = code == CH_UPSTREAM_REFUSED || code == CH_LATE ||
                code == CH_NO_UPSTREAM;
    return work->tries > 0 && work->idempotent && events_given > 0 &&
           !may_have_run && full;
}

/*
 * Load: an upstream that dies or goes silent under full load fails all that
 * it ran at once.  Harm prevented: all of that coming again on top of the
 * fresh work, which makes the next upstream late and its work come again too.
 * Limit: retries are a share of the fresh requests, so they can never exceed
 * that share of the load, whatever fails.
 *
 * A request that may have run and must not run twice is never repeated.  One
 * whose target for the whole answer is past is not worth a second run.
 */
enum ch_retry
ch_retry_decide(struct ch_retry_budget *budget, bool *held,
                const struct ch_work *work,
                const struct ch_retry_failure *failure, int64_t now)
{
    bool sent = work->tries == 0 || failure->code != CH_UPSTREAM_CONNECT;
    bool begun = failure->events_given > 0;
    if (!is_of_the_upstream(failure->code) || is_past(work, now) ||
        (sent && was_last(work, failure))) {
        return CH_RETRY_NO;
    }
    if (failure->may_have_run && !work->idempotent) {
        return CH_RETRY_NO;
    }
    if (begun && !failure->stream) {
        return CH_RETRY_NO;
    }
    /* What was never sent is no load on anybody. */
    if (sent && !ch_retry_hold(budget, held)) {
        return CH_RETRY_NO;
    }
    return begun ? CH_RETRY_RESUME : CH_RETRY_AGAIN;
}
