/* Recurring jobs of a node: ticks of the homes, gossip and fetching the host
 * list. */

#include "decide/gossip.h"
#include "node/homes_internal.h"

enum {
    /* How long a new node waits for a state of each upstream. */
    MAX_STATE_WAIT_US = 2 * 1000 * 1000,
    /* Keeps the whole fleet to at most 20 fetches of the host list a
     * second. */
    LIST_MS_PER_NODE = 50,
};

/* Ends a recurring job; ch_homes_stop waits for the last. */
static void
end_job(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    homes->pending_jobs--;
    pthread_cond_broadcast(&homes->idle);
    pthread_mutex_unlock(&homes->lock);
}

/*
 * Whether this node knows enough to route.  A node that reported ready right
 * after its start would refuse its first callers, as it has no host list yet,
 * or load a model that another engine already holds, as no home has reported
 * it yet.  So it waits for the host list and for one state of each upstream.
 * It waits for states no longer than MAX_STATE_WAIT_US: a home that can't
 * report must not keep a fleet from starting.
 */
bool
ch_homes_is_ready(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    int64_t now = ch_client_get_time(homes->node->client);
    bool ready = homes->first_list_at > 0;
    for (guint i = 0; ready && i < homes->upstreams->len; i++) {
        const struct upstream *upstream =
            g_ptr_array_index(homes->upstreams, i);
        ready = upstream->sequence > 0 ||
                now - homes->first_list_at > MAX_STATE_WAIT_US;
    }
    pthread_mutex_unlock(&homes->lock);
    return ready;
}

static bool
is_running(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    bool stopping = homes->stopping;
    pthread_mutex_unlock(&homes->lock);
    return !stopping;
}

/* Runs every CH_HOME_TICK_US: ticks of the homes, changes of membership,
 * gossip. */
void
homes_run_tick(void *data)
{
    struct ch_homes *homes = data;
    if (!is_running(homes)) {
        end_job(homes);
        return;
    }
    int64_t now = ch_client_get_time(homes->node->client);
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    homes_record_pause(homes, now);
    homes->last_tick_at = now;
    homes_assign(homes, now, &effects);
    pthread_mutex_unlock(&homes->lock);
    home_tick_all(homes, now, &effects);
    effects_run(homes, &effects);
    if (now >= homes->next_gossip_at) {
        homes->next_gossip_at = now + CH_GOSSIP_PERIOD_US;
        gossip_send_due(homes, now);
    }
    ch_timers_add(homes->node->timers, CH_HOME_TICK_US, homes_run_tick, homes);
}

struct list_job {
    struct ch_homes *homes;
    enum ch_code code;
    struct ch_host_list *list;
};

/* Schedules the next fetch of the host list.  The period grows with the fleet.
 * While the homes stop there is no delay, so that the last fetch ends the
 * job. */
static void
schedule_list_fetch(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    unsigned period = MAX(homes->node->settings->host_list_period_ms,
                          homes->live_count * (unsigned)LIST_MS_PER_NODE);
    int64_t delay = homes->stopping ? 0 : (int64_t)period * 1000;
    homes->list_timer = ch_timers_add(homes->node->timers, delay,
                                      homes_fetch_host_list, homes);
    pthread_mutex_unlock(&homes->lock);
}

/* See homes_internal.h. */
void
homes_update_draining(void *data)
{
    struct ch_homes *homes = data;
    pthread_mutex_lock(&homes->lock);
    upstream_list_update_draining(homes);
    pthread_mutex_unlock(&homes->lock);
}

/* Runs on the pool: applies the host list.  When the fetch failed, the
 * previous list stays in force, since an unreachable list says nothing about
 * the hosts.  An unchanged list is not applied again: that would assign the
 * homes of all upstreams anew. */
static void
apply_list(void *data)
{
    struct list_job *job = data;
    struct ch_homes *homes = job->homes;
    if (job->code == CH_OK) {
        ch_peers_confirm_listed(homes->node->peers);
    }
    if (job->list != NULL) {
        struct effects effects;
        effects_init(&effects);
        ch_peers_update_list(homes->node->peers, job->list);
        pthread_mutex_lock(&homes->lock);
        upstream_list_update(homes, job->list, &effects);
        pthread_mutex_unlock(&homes->lock);
        effects_run(homes, &effects);
    }
    else if (job->code != CH_OK) {
        ch_log(homes->node->client, CH_LOG_WARNING, "list-unreachable",
               CH_F_INT("code", job->code), CH_F_END);
    }
    homes_update_draining(homes);
    ch_host_list_free(job->list);
    g_free(job);
    schedule_list_fetch(homes);
}

/* Runs on the HTTP loop: hands the list to the pool. */
static void
handle_list_reply(void *data, enum ch_code code, struct ch_host_list *list)
{
    struct list_job *job = g_new0(struct list_job, 1);
    job->homes = data;
    job->code = code;
    job->list = list;
    ch_pool_submit(job->homes->node->pool, apply_list, job);
}

/* Fetches the host list; ends the job if the homes stop. */
void
homes_fetch_host_list(void *data)
{
    struct ch_homes *homes = data;
    if (!is_running(homes)) {
        end_job(homes);
        return;
    }
    homes->node->hosts->ops->fetch(homes->node->hosts, handle_list_reply,
                                   homes);
}

/* Ends the recurring jobs and waits for them.  A scheduled fetch of the host
 * list is cancelled: its period, 16 s in a fleet of 320 nodes, would delay
 * every planned stop. */
void
ch_homes_stop(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    homes->stopping = true;
    if (ch_timers_cancel(homes->node->timers, homes->list_timer)) {
        homes->pending_jobs--;
    }
    while (homes->pending_jobs > 0) {
        pthread_cond_wait(&homes->idle, &homes->lock);
    }
    pthread_mutex_unlock(&homes->lock);
}
