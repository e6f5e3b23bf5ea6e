/* Reports of the engines whose home is on this node, and the ticks of the
 * homes. */

#include "node/homes_internal.h"
#include "node/limit_manager.h"

enum {
    /* Consecutive failed reports after which an engine counts as down: a
     * single report may be lost with a connection that went silent. */
    FAILED_REPORTS_FOR_DOWN = 2,
    /* Of an engine with a limit, against which its reports count. */
    REPORT_PERIOD_LIMITED_US = 10 * 1000 * 1000,
};

struct report_job {
    struct ch_homes *homes;
    struct upstream *upstream;
    enum ch_code code;
    struct ch_engine_report *report;
};

/* Applies a report to the home, or records that none came. */
static void
apply_report_result(struct report_job *job, int64_t now,
                    struct effects *effects)
{
    struct upstream *upstream = job->upstream;
    upstream->report_in_flight = false;
    if (upstream->home == NULL) {
        return;
    }
    struct ch_actions actions = home_actions_new();
    if (job->report != NULL) {
        upstream->report_failures = 0;
        ch_home_update_engine_state(
            upstream->home, job->report->running, job->report->waiting,
            job->report->draining || upstream->draining, false, now, &actions);
        home_assume_reported_items(upstream, job->report, now, &actions);
    }
    else if (++upstream->report_failures >= FAILED_REPORTS_FOR_DOWN ||
             job->code == CH_UPSTREAM_CONNECT) {
        ch_home_update_engine_state(upstream->home, 0, 0, upstream->draining,
                                    true, now, &actions);
    }
    home_apply_actions(job->homes, upstream, &actions, now, effects);
}

/* Runs on the pool: handles the result of a report call. */
static void
handle_report_result(void *data)
{
    struct report_job *job = data;
    struct ch_homes *homes = job->homes;
    struct effects effects;
    effects_init(&effects);
    if (job->report != NULL) {
        ch_ledger_manager_handle_report(homes->node->ledger,
                                        job->upstream->name, job->report);
    }
    pthread_mutex_lock(&homes->lock);
    apply_report_result(job, ch_client_get_time(homes->node->client),
                        &effects);
    upstream_unref(job->upstream);
    homes->pending_jobs--;
    pthread_cond_broadcast(&homes->idle);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    ch_engine_report_free(job->report);
    g_free(job);
}

/* Runs on the HTTP loop: hands the result to the pool. */
static void
submit_report_result(void *data, enum ch_code code,
                     struct ch_engine_report *report)
{
    struct report_job *job = data;
    job->code = code;
    job->report = report;
    ch_pool_submit(job->homes->node->pool, handle_report_result, job);
}

/* Prepares the call for an engine's report if it is due.  The call itself is
 * made without the lock, like an effect. */
static void
prepare_report_call(struct ch_homes *homes, struct upstream *upstream,
                    int64_t now, GPtrArray *jobs)
{
    if (upstream->home == NULL || upstream->kind != CH_HOST_ENGINE ||
        upstream->report_in_flight ||
        (now < upstream->next_report_at &&
         now > upstream->fast_reports_until)) {
        return;
    }
    upstream->report_in_flight = true;
    upstream->next_report_at =
        now + (int64_t)homes->node->settings->report_period_ms * 1000;
    struct report_job *job = g_new0(struct report_job, 1);
    job->homes = homes;
    job->upstream = upstream_ref(upstream);
    homes->pending_jobs++;
    g_ptr_array_add(jobs, job);
}

/* Calls the engine for its report. */
static void
fetch_report(struct report_job *job)
{
    struct ch_upstream *client = job->upstream->client;
    ch_notices_count_call(job->homes->node->notices, job->upstream->name,
                          CH_NOTICES_REPORT);
    client->ops->fetch_report(client, submit_report_result, job);
}

/* The engine's limit permits a report, or not; lock not held. */
static void
handle_report_permission(void *data, bool granted, int64_t retry_after)
{
    struct report_job *job = data;
    struct ch_homes *homes = job->homes;
    struct upstream *upstream = job->upstream;
    int64_t wait = ch_notices_get_wait(homes->node->notices, upstream->name);
    if (granted && wait == 0) {
        fetch_report(job);
        return;
    }
    pthread_mutex_lock(&homes->lock);
    upstream->report_in_flight = false;
    upstream->fast_reports_until = 0;
    upstream->next_report_at =
        ch_client_get_time(homes->node->client) + MAX(retry_after, wait);
    upstream_unref(upstream);
    homes->pending_jobs--;
    pthread_cond_broadcast(&homes->idle);
    pthread_mutex_unlock(&homes->lock);
    g_free(job);
}

/* Calls an engine for its report, after permission if it has a limit. */
static void
call_for_report(struct report_job *job)
{
    struct ch_homes *homes = job->homes;
    if (!ch_limit_manager_is_limited(homes->node->limits,
                                     job->upstream->name)) {
        handle_report_permission(job, true, 0);
        return;
    }
    pthread_mutex_lock(&homes->lock);
    job->upstream->next_report_at =
        ch_client_get_time(homes->node->client) + REPORT_PERIOD_LIMITED_US;
    pthread_mutex_unlock(&homes->lock);
    ch_limit_manager_take(homes->node->limits, job->upstream->name,
                          CH_LIMITED_REPORT, false, handle_report_permission,
                          job);
}

/* Runs one home's part of a tick. */
static void
tick_home(struct ch_homes *homes, struct upstream *upstream, int64_t now,
          struct effects *effects)
{
    struct ch_actions actions = home_actions_new();
    if (upstream->down_until > 0 && upstream->down_until <= now) {
        upstream->down_until = 0;
        ch_home_update_engine_state(upstream->home, 0, 0, upstream->draining,
                                    false, now, &actions);
    }
    ch_home_tick(upstream->home, &homes->fleet, now, &actions);
    home_apply_actions(homes, upstream, &actions, now, effects);
}

/* Takes the lock itself.  The caller runs the effects afterwards. */
void
home_tick_all(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    GPtrArray *jobs = g_ptr_array_new();
    pthread_mutex_lock(&homes->lock);
    homes_update_loads_left(homes, now);
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        if (upstream->home != NULL) {
            tick_home(homes, upstream, now, effects);
            prepare_report_call(homes, upstream, now, jobs);
        }
    }
    pthread_mutex_unlock(&homes->lock);
    for (guint i = 0; i < jobs->len; i++) {
        call_for_report(g_ptr_array_index(jobs, i));
    }
    g_ptr_array_free(jobs, TRUE);
}
