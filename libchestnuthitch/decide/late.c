/* Requests that would be started too late. */

#include "decide/late.h"

enum {
    /* Callers give up a stream without a token after four times its target. An
     * engine that starts within three times the target has one target left for
     * the prefill. */
    MAX_START_TARGETS = 3,
    /* Bounds of the retry-after of a refusal because engines are full. */
    MIN_RETRY_AFTER_US = 500 * 1000,
    MAX_RETRY_AFTER_US = 3000 * 1000,
    /* Until a load was measured: a local copy of a model loads in two seconds.
     */
    DEFAULT_LOAD_US = 2 * G_USEC_PER_SEC,
    /* Loads vary and some are overdue: each is expected to take at least this
     * fraction of the mean from now on. */
    MIN_REMAINING_DIVISOR = 4,
    /* A load that was not reported again for this long is ignored: lease
     * holders report every engine at least every eight seconds. */
    REPORT_STALE_US = 10 * G_USEC_PER_SEC,
};

/* Weight of the latest load in the moving average. */
static const double load_sample_weight = 0.2;

/* A model that an engine is loading. */
struct pending_load {
    GQuark upstream;
    GQuark model;
    int64_t started_at;
    int64_t reported_at;
};

struct ch_pending_loads {
    GArray *loads;         /* struct pending_load */
    double mean_load_time; /* from the first report of a load until the model
                              is there */
};

/* Starts without loads. */
struct ch_pending_loads *
ch_pending_loads_new(void)
{
    struct ch_pending_loads *pending = g_new0(struct ch_pending_loads, 1);
    pending->loads = g_array_new(FALSE, FALSE, sizeof(struct pending_load));
    pending->mean_load_time = DEFAULT_LOAD_US;
    return pending;
}

/* Frees the loads; NULL is allowed. */
void
ch_pending_loads_free(struct ch_pending_loads *pending)
{
    if (pending != NULL) {
        g_array_free(pending->loads, TRUE);
        g_free(pending);
    }
}

static bool
contains_name(const GQuark *names, size_t count, GQuark name)
{
    for (size_t i = 0; i < count; i++) {
        if (names[i] == name) {
            return true;
        }
    }
    return false;
}

/* Records that an engine is loading a model. `started_at` stays as it is if
 * the load is known. */
static void
record_loading(struct ch_pending_loads *pending, GQuark upstream, GQuark model,
               int64_t now)
{
    for (guint i = 0; i < pending->loads->len; i++) {
        struct pending_load *load =
            &g_array_index(pending->loads, struct pending_load, i);
        if (load->upstream == upstream && load->model == model) {
            load->reported_at = now;
            return;
        }
    }
    const struct pending_load added = {upstream, model, now, now};
    g_array_append_val(pending->loads, added);
}

/* See late.h. */
void
ch_pending_loads_update(struct ch_pending_loads *pending, GQuark upstream,
                        const GQuark *models, size_t model_count,
                        const GQuark *loading, size_t loading_count,
                        int64_t now)
{
    for (guint i = pending->loads->len; i > 0; i--) {
        const struct pending_load *load =
            &g_array_index(pending->loads, struct pending_load, i - 1);
        if (load->upstream != upstream ||
            contains_name(loading, loading_count, load->model)) {
            continue;
        }
        if (contains_name(models, model_count, load->model)) {
            pending->mean_load_time +=
                ((double)(now - load->started_at) - pending->mean_load_time) *
                load_sample_weight;
        }
        g_array_remove_index_fast(pending->loads, i - 1);
    }
    for (size_t i = 0; i < loading_count; i++) {
        record_loading(pending, upstream, loading[i], now);
    }
}

static bool
may_use_any(const void *data, GQuark upstream)
{
    (void)data;
    (void)upstream;
    return true;
}

/* See late.h. */
int64_t
ch_pending_loads_estimate_ready(const struct ch_pending_loads *pending,
                                GQuark model, int64_t now)
{
    return ch_pending_loads_estimate_ready_on(pending, model, may_use_any,
                                              NULL, now);
}

/* See late.h. */
int64_t
ch_pending_loads_estimate_ready_on(const struct ch_pending_loads *pending,
                                   GQuark model,
                                   bool (*may_use)(const void *data,
                                                   GQuark upstream),
                                   const void *data, int64_t now)
{
    int64_t first_ready_at = 0;
    for (guint i = 0; i < pending->loads->len; i++) {
        const struct pending_load *load =
            &g_array_index(pending->loads, struct pending_load, i);
        if (load->model != model ||
            now - load->reported_at > REPORT_STALE_US ||
            !may_use(data, load->upstream)) {
            continue;
        }
        int64_t mean_load_time = (int64_t)pending->mean_load_time;
        int64_t ready_at = MAX(load->started_at + mean_load_time,
                               now + mean_load_time / MIN_REMAINING_DIVISOR);
        first_ready_at =
            first_ready_at == 0 ? ready_at : MIN(first_ready_at, ready_at);
    }
    return first_ready_at;
}

/* The latest time at which starting the request is still of use. */
static int64_t
get_latest_start(const struct ch_request_info *request)
{
    int64_t target = request->first_token_deadline - request->arrived_at;
    return MIN(request->arrived_at + MAX_START_TARGETS * target,
               request->answer_deadline);
}

/* See late.h. */
bool
ch_late_is_expected(const struct ch_request_info *request, int64_t expected,
                    int64_t now)
{
    return !request->is_service && !request->answer_started &&
           now + expected > get_latest_start(request);
}

/*
 * See late.h. A model may get more requests than its engines can start before
 * the callers give up. If all of them waited in one queue, the engines would
 * work for callers who have gone, while the next requests wait too long in
 * turn. A request that would start too late waits here if another engine is
 * likely to have the model within the target; else it is refused at once, with
 * a retry-after of when capacity is expected.
 *
 * The wait ends at the target: a load from the weight store takes longer than
 * most callers wait, and all requests that waited for it go to the new engine
 * at the same moment. Held beyond the target, most would be refused late, or
 * given up at the new engine.
 */
struct ch_late_decision
ch_late_decide(const struct ch_request_info *request, int64_t expected,
               int64_t ready_at, int64_t now)
{
    if (ready_at != 0 && ready_at < request->first_token_deadline &&
        now < request->first_token_deadline) {
        return (struct ch_late_decision){
            .should_wait = true, .wait_until = request->first_token_deadline};
    }
    int64_t retry_after =
        ready_at == 0 ? expected / 2 : MIN(expected / 2, ready_at - now);
    return (struct ch_late_decision){
        .retry_after =
            CLAMP(retry_after, MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US)};
}
