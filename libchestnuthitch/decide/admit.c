/* Admission: decides which requests are queued and which are refused at once.
 */

#include "decide/home.h"

enum {
    /* Loading an adapter takes 6 to 19 ms; rounded up. */
    ADAPTER_LOAD_US = 20 * 1000,
    /* Maximum number of queued requests preempted for a new one; limits the
     * work for each new request. */
    MAX_PREEMPTIONS = 4,
    /* Queue length limit if the settings give none. */
    DEFAULT_MAX_QUEUE = 256,
    /* Tenths of the predicted wait for which a request must have time left.
     * The prediction is a mean; without a margin, some of the admitted
     * requests would be refused only when their turn comes, seconds after they
     * could have tried elsewhere. */
    WAIT_MARGIN_TENTHS = 11,
    /* Measurements older than this say nothing about the upstream's present
     * speed. */
    MEASUREMENT_MAX_AGE_US = 10 * G_USEC_PER_SEC,
};

/* Returns the microseconds until the nth slot is released (0: the first), from
 * the running requests and their predicted times. */
static int64_t
time_to_free_slot(const struct ch_home *home, guint nth, int64_t now)
{
    guint count = home->running->len;
    if (count == 0) {
        return 0;
    }
    GArray *remaining =
        g_array_sized_new(FALSE, FALSE, sizeof(int64_t), count);
    for (guint i = 0; i < count; i++) {
        const struct ch_running_request *granted =
            &g_array_index(home->running, struct ch_running_request, i);
        int64_t time_left =
            granted->granted_at + granted->predicted_time - now;
        /* An overdue request is assumed to need another tenth of its predicted
         * time. */
        time_left = MAX(time_left, granted->predicted_time / 10);
        g_array_append_val(remaining, time_left);
    }
    g_array_sort(remaining, ch_compare_int64);
    int64_t rounds = nth / count;
    int64_t wait = g_array_index(remaining, int64_t, nth % count) +
                   (int64_t)(home->service_times.slot_time * (double)rounds);
    g_array_unref(remaining);
    return wait;
}

/* Returns the microseconds until a request of this rank would be granted if
 * its model were loaded, given the requests of equal or lower rank ahead of
 * it. */
int64_t
ch_home_predict_wait(const struct ch_home *home, int64_t rank, int64_t now)
{
    guint ahead_count = 0;
    for (guint i = 0; i < home->queue.entries->len; i++) {
        if (ch_queue_get(&home->queue, i)->rank > rank) {
            break;
        }
        ahead_count++;
    }
    uint32_t limit = ch_home_get_limit(home);
    guint running = home->running->len;
    /* A policy without a concurrency limit may have granted more; the excess
     * requests wait at the upstream. */
    if (running + ahead_count < limit) {
        return 0;
    }
    return time_to_free_slot(home, running + ahead_count - limit, now);
}

/* Returns the microseconds until the request's model and adapter are loaded,
 * or -1 if they are not going to be.  Marks an absent model that may be loaded
 * as wanted. */
static int64_t
time_to_load_items(struct ch_home *home, const struct ch_request_info *request,
                   const struct ch_fleet *fleet, int64_t now)
{
    if (request->is_service) {
        return 0;
    }
    struct ch_item_record *model = ch_home_find_item(home, request->model);
    int64_t load_time = ch_place_predict_load_time(model);
    int64_t adapter_time = 0;
    if (request->adapter != 0 && !ch_home_has_item(home, request->adapter)) {
        adapter_time = ADAPTER_LOAD_US;
    }
    if (model->state == CH_ITEM_RESIDENT && !model->evicting) {
        return adapter_time;
    }
    if (model->state == CH_ITEM_LOADING) {
        int64_t remaining = model->state_changed_at + load_time - now;
        return MAX(remaining, load_time / 10) + adapter_time;
    }
    if (!ch_place_may_load(home, request, fleet, now)) {
        return -1;
    }
    model->wanted = true;
    return load_time + adapter_time;
}

/* Returns the number of the tenant's requests here, running and queued. */
static guint
count_tenant_requests(const struct ch_home *home, uint64_t tenant)
{
    guint count = 0;
    for (guint i = 0; i < home->running->len; i++) {
        const struct ch_running_request *granted =
            &g_array_index(home->running, struct ch_running_request, i);
        count += granted->tenant == tenant ? 1 : 0;
    }
    for (guint i = 0; i < home->queue.entries->len; i++) {
        count +=
            ch_queue_get(&home->queue, i)->request.tenant == tenant ? 1 : 0;
    }
    return count;
}

/*
 * Removes a queued request in favour of one from a tenant that uses less.
 *
 * If one caller saturates the upstream, it would otherwise get most of the
 * service while callers who ask for little are refused.  The request that
 * gives way is the last in the queue of the tenant with the most requests
 * here, provided that this tenant has at least two more than the new request's
 * tenant.  The gap of two keeps two equal tenants from preempting each other
 * in turn.
 */
static bool
preempt(struct ch_home *home, const struct ch_request_info *request,
        struct ch_actions *out)
{
    guint own_count = count_tenant_requests(home, request->tenant);
    guint max = own_count + 1;
    int victim = -1;
    for (guint index = home->queue.entries->len; index-- > 0;) {
        uint64_t tenant = ch_queue_get(&home->queue, index)->request.tenant;
        guint count = tenant == request->tenant
                          ? 0
                          : count_tenant_requests(home, tenant);
        if (count > max) {
            max = count;
            victim = (int)index;
        }
    }
    if (victim < 0) {
        return false;
    }
    ch_home_refuse_entry(home, (guint)victim, CH_SHARE_FULL, G_USEC_PER_SEC,
                         "other callers have fewer requests on this upstream",
                         out);
    return true;
}

/* Whether recent measurements show that the upstream, even when it runs a
 * single request, is slower than the request's target between tokens. */
static bool
is_too_slow(const struct ch_home *home, const struct ch_request_info *request,
            int64_t now)
{
    if (request->token_target == 0 || home->service_times.weight < 1 ||
        now - home->service_times.last_sample_at > MEASUREMENT_MAX_AGE_US) {
        return false;
    }
    return ch_service_times_predict_token(&home->service_times, 1.0) >
           (double)request->token_target;
}

static struct ch_admission
refuse(enum ch_code code, int64_t retry_after, const char *reason)
{
    return (struct ch_admission){
        .code = code, .retry_after = retry_after, .reason = reason};
}

/* Refuses a request that would be late, unless it is a retry of an admitted
 * request.  If an upstream fails the requests that it ran, callers who have
 * half a response or have waited for a whole one would otherwise get an error
 * although they can still be served.  Retries are a small share of the new
 * requests (see retry.c), and are queued behind those that can still be on
 * time. */
static struct ch_admission
refuse_late_unless_retry(const struct ch_request_info *request,
                         int64_t retry_after, const char *reason)
{
    if (request->attempt > 0) {
        return (struct ch_admission){.code = CH_OK, .serve_late = true};
    }
    return refuse(CH_LATE, retry_after, reason);
}

/*
 * Admits requests that are predicted to meet their target.
 *
 * If more requests arrive than can be served in time, queues would otherwise
 * grow until every response is late, so that goodput falls as load rises, and
 * callers would be told late what was known at once.  A request is refused if
 * its first token, predicted from the exact list of running requests and their
 * measured service times, is past its target.  The prediction is a mean, not a
 * high percentile, so that requests which may still meet their target are
 * admitted.
 *
 * A request whose model is on no upstream can't meet a short target in any
 * case.  It is admitted and served late, because refusing it would leave the
 * model unreachable.
 */
struct ch_admission
ch_admit_predicted(struct ch_home *home, const struct ch_request_info *request,
                   const struct ch_fleet *fleet, int64_t now,
                   struct ch_actions *out)
{
    if (is_too_slow(home, request, now)) {
        return refuse(
            CH_NO_UPSTREAM, MEASUREMENT_MAX_AGE_US,
            "the upstream is too slow for the target time per token");
    }
    int64_t load_time = time_to_load_items(home, request, fleet, now);
    if (load_time < 0) {
        return refuse(CH_LATE, G_USEC_PER_SEC,
                      "the model is not loaded on this upstream");
    }
    if (request->first_token_deadline == 0) {
        return (struct ch_admission){.code = CH_OK};
    }
    int64_t first_byte_time = (int64_t)home->service_times.first_byte_time;
    if (now + load_time + first_byte_time > request->first_token_deadline) {
        if (load_time > ADAPTER_LOAD_US &&
            !ch_place_is_served(home, request, fleet)) {
            return (struct ch_admission){.code = CH_OK, .serve_late = true};
        }
        return refuse_late_unless_retry(
            request, load_time, "loading the model would take too long");
    }
    int64_t rank = home->policy->ordering->rank(home, request, now);
    for (int preempted = 0; preempted <= MAX_PREEMPTIONS; preempted++) {
        int64_t wait =
            ch_home_predict_wait(home, rank, now) * WAIT_MARGIN_TENTHS / 10;
        wait = MAX(load_time, wait);
        int64_t late_by =
            now + wait + first_byte_time - request->first_token_deadline;
        if (late_by <= 0) {
            return (struct ch_admission){.code = CH_OK};
        }
        if (!home->policy->admission->fair || !preempt(home, request, out)) {
            return refuse_late_unless_retry(request, late_by,
                                            "the queue is too long");
        }
    }
    return refuse_late_unless_retry(request, G_USEC_PER_SEC,
                                    "the queue is too long");
}

/* Admits every request for which the queue has room; used by the baseline
 * policies. */
struct ch_admission
ch_admit_all(struct ch_home *home, const struct ch_request_info *request,
             const struct ch_fleet *fleet, int64_t now, struct ch_actions *out)
{
    (void)out;
    int64_t load_time = time_to_load_items(home, request, fleet, now);
    if (load_time < 0) {
        return refuse(CH_NO_UPSTREAM, G_USEC_PER_SEC,
                      "the model is not loaded on this upstream");
    }
    return (struct ch_admission){.code = CH_OK, .serve_late = load_time > 0};
}

/* Decides whether to admit a new request.  Queued requests that give way to it
 * are refused through `out`. */
struct ch_admission
ch_admit(struct ch_home *home, const struct ch_request_info *request,
         const struct ch_fleet *fleet, int64_t now, struct ch_actions *out)
{
    if (home->draining || home->down) {
        return refuse(CH_NO_UPSTREAM, G_USEC_PER_SEC,
                      home->draining ? "the upstream is leaving"
                                     : "the upstream does not answer");
    }
    uint32_t max = home->config.max_queue > 0 ? home->config.max_queue
                                              : DEFAULT_MAX_QUEUE;
    if (home->queue.entries->len >= max) {
        if (!home->policy->admission->fair || !preempt(home, request, out)) {
            return refuse(CH_QUEUE_FULL, G_USEC_PER_SEC, "the queue is full");
        }
    }
    return home->policy->admission->admit(home, request, fleet, now, out);
}
