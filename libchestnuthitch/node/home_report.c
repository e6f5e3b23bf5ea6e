/* The reports of the engines that are at home here, and the homes' ticks. */

#include "node/homes_internal.h"

enum {
    /* Reports missed in a row before an engine counts as down: one may be
     * lost to a connection that went silent. */
    REPORTS_MISSED = 2,
};

struct report_job {
    struct ch_homes *homes;
    struct upstream *upstream;
    enum ch_code code;
    struct ch_report *report;
};

/* Takes a report, or notes that none came. */
static void
take_report(struct report_job *job, int64_t now, struct effects *effects)
{
    struct upstream *upstream = job->upstream;
    upstream->reporting = false;
    if (upstream->home == NULL) {
        return;
    }
    struct ch_actions actions = home_actions_new();
    if (job->report != NULL) {
        upstream->report_failures = 0;
        ch_home_update_engine_state(
            upstream->home, job->report->running, job->report->waiting,
            job->report->leaving || upstream->leaving, false, now, &actions);
        home_assume_report(upstream, job->report, now, &actions);
    }
    else if (++upstream->report_failures >= REPORTS_MISSED ||
             job->code == CH_UPSTREAM_CONNECT) {
        ch_home_update_engine_state(upstream->home, 0, 0, upstream->leaving,
                                    true, now, &actions);
    }
    home_apply(job->homes, upstream, &actions, now, effects);
}

/* On the pool: a report's result. */
static void
run_report(void *data)
{
    struct report_job *job = data;
    struct ch_homes *homes = job->homes;
    struct effects effects;
    effects_init(&effects);
    if (job->report != NULL) {
        ch_ledger_keeper_report(homes->node->ledger, job->upstream->name,
                                job->report);
    }
    pthread_mutex_lock(&homes->lock);
    take_report(job, ch_client_now(homes->node->client), &effects);
    upstream_unref(job->upstream);
    homes->jobs--;
    pthread_cond_broadcast(&homes->idle);
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
    ch_report_free(job->report);
    g_free(job);
}

/* On the loop's thread: hands the result to the pool. */
static void
report_done(void *data, enum ch_code code, struct ch_report *report)
{
    struct report_job *job = data;
    job->code = code;
    job->report = report;
    ch_pool_submit(job->homes->node->pool, run_report, job);
}

/* Asks an engine for its report when it is time.  The call itself is made
 * without the lock, as an effect would be. */
static void
gather_report(struct ch_homes *homes, struct upstream *upstream, int64_t now,
              GPtrArray *jobs)
{
    if (upstream->home == NULL || upstream->kind != CH_HOST_ENGINE ||
        upstream->reporting ||
        (now < upstream->report_at && now > upstream->quick_until)) {
        return;
    }
    upstream->reporting = true;
    upstream->report_at =
        now + (int64_t)homes->node->settings->report_ms * 1000;
    struct report_job *job = g_new0(struct report_job, 1);
    job->homes = homes;
    job->upstream = upstream_ref(upstream);
    homes->jobs++;
    g_ptr_array_add(jobs, job);
}

/* One home's part of a tick. */
static void
tick_home(struct ch_homes *homes, struct upstream *upstream, int64_t now,
          struct effects *effects)
{
    struct ch_actions actions = home_actions_new();
    if (upstream->down_until > 0 && upstream->down_until <= now) {
        upstream->down_until = 0;
        ch_home_update_engine_state(upstream->home, 0, 0, upstream->leaving,
                                    false, now, &actions);
    }
    ch_home_tick(upstream->home, &homes->fleet, now, &actions);
    home_apply(homes, upstream, &actions, now, effects);
}

/* Takes the lock itself; effects are for the caller to run after. */
void
home_tick_all(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    GPtrArray *jobs = g_ptr_array_new();
    pthread_mutex_lock(&homes->lock);
    homes_refresh_loads(homes, now);
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        if (upstream->home != NULL) {
            tick_home(homes, upstream, now, effects);
            gather_report(homes, upstream, now, jobs);
        }
    }
    pthread_mutex_unlock(&homes->lock);
    for (guint i = 0; i < jobs->len; i++) {
        struct report_job *job = g_ptr_array_index(jobs, i);
        struct ch_upstream *client = job->upstream->client;
        client->ops->report(client, report_done, job);
    }
    g_ptr_array_free(jobs, TRUE);
}
