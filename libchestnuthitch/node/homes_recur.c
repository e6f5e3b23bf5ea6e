/* What recurs at a node: the homes' ticks, gossip and the host list. */

#include "decide/gossip.h"
#include "node/homes_internal.h"

enum {
    /* How long a new node waits for a state of each upstream. */
    FIRST_STATES = 2 * 1000 * 1000,
    /* The list is asked no more than 20 times a second by the whole fleet. */
    LIST_SHARE_MS = 50,
};

/* One recurring job less; the stop waits for the last. */
static void
end_job(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    homes->jobs--;
    pthread_cond_broadcast(&homes->idle);
    pthread_mutex_unlock(&homes->lock);
}

/*
 * Whether this node knows enough to route.  A node that has just started and
 * says that it is ready refuses its first callers, as it has no list yet, or
 * has a model loaded anew that another engine holds, as no home has told it
 * yet: seen with the first requests after a start.  So it waits for the list
 * and for one state of each upstream, of the latter not longer than
 * FIRST_STATES: a home that cannot tell must not keep a fleet from starting.
 */
bool
ch_homes_ready(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    int64_t now = ch_client_now(homes->node->client);
    bool ready = homes->listed_at > 0;
    for (guint i = 0; ready && i < homes->upstreams->len; i++) {
        const struct upstream *upstream =
            g_ptr_array_index(homes->upstreams, i);
        ready =
            upstream->sequence > 0 || now - homes->listed_at > FIRST_STATES;
    }
    pthread_mutex_unlock(&homes->lock);
    return ready;
}

/* Whether the recurring jobs go on. */
static bool
goes_on(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    bool stopping = homes->stopping;
    pthread_mutex_unlock(&homes->lock);
    return !stopping;
}

/* Every CH_HOME_TICK_US: homes, membership's consequences, gossip. */
void
homes_run_tick(void *data)
{
    struct ch_homes *homes = data;
    if (!goes_on(homes)) {
        end_job(homes);
        return;
    }
    int64_t now = ch_client_now(homes->node->client);
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    homes_note_pause(homes, now);
    homes->ticked = now;
    home_rehome(homes, now, &effects);
    pthread_mutex_unlock(&homes->lock);
    home_tick_all(homes, now, &effects);
    effects_run(homes, &effects);
    if (now >= homes->next_gossip) {
        homes->next_gossip = now + CH_GOSSIP_PERIOD_US;
        gossip_round(homes, now);
    }
    ch_timers_after(homes->node->timers, CH_HOME_TICK_US, homes_run_tick,
                    homes);
}

struct list_job {
    struct ch_homes *homes;
    enum ch_code code;
    struct ch_host_list *list;
};

/* Has the list asked for again after its period, which grows with the fleet;
 * at once when the homes stop, so that the last look ends the job. */
static void
ask_again(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    unsigned period = MAX(homes->node->settings->list_ms,
                          homes->live * (unsigned)LIST_SHARE_MS);
    int64_t delay = homes->stopping ? 0 : (int64_t)period * 1000;
    homes->list_timer =
        ch_timers_after(homes->node->timers, delay, homes_fetch_list, homes);
    pthread_mutex_unlock(&homes->lock);
}

/* On the pool: takes the list; without one the last stays in force, since an
 * unreachable list says nothing about the hosts.  One that did not change is
 * not taken again: that would find the homes of all upstreams anew. */
static void
run_list(void *data)
{
    struct list_job *job = data;
    struct ch_homes *homes = job->homes;
    if (job->list != NULL) {
        struct effects effects;
        effects_init(&effects);
        ch_peers_list(homes->node->peers, job->list);
        pthread_mutex_lock(&homes->lock);
        site_take_list(homes, job->list, &effects);
        pthread_mutex_unlock(&homes->lock);
        effects_run(homes, &effects);
    }
    else if (job->code != CH_OK) {
        ch_log(homes->node->client, CH_LOG_WARNING, "list-unreachable",
               CH_F_INT("code", job->code), CH_F_END);
    }
    ch_host_list_free(job->list);
    g_free(job);
    ask_again(homes);
}

/* On the loop's thread: hands the list to the pool. */
static void
list_done(void *data, enum ch_code code, struct ch_host_list *list)
{
    struct list_job *job = g_new0(struct list_job, 1);
    job->homes = data;
    job->code = code;
    job->list = list;
    ch_pool_submit(job->homes->node->pool, run_list, job);
}

/* Asks for the platform's list. */
void
homes_fetch_list(void *data)
{
    struct ch_homes *homes = data;
    if (!goes_on(homes)) {
        end_job(homes);
        return;
    }
    homes->node->hosts->ops->fetch(homes->node->hosts, list_done, homes);
}

/* Ends what recurs and waits for it.  A look at the list that is still to come
 * is called off: its period, 16 s in a fleet of 320, would hold up every
 * planned stop. */
void
ch_homes_stop(struct ch_homes *homes)
{
    pthread_mutex_lock(&homes->lock);
    homes->stopping = true;
    if (ch_timers_cancel(homes->node->timers, homes->list_timer)) {
        homes->jobs--;
    }
    while (homes->jobs > 0) {
        pthread_cond_wait(&homes->idle, &homes->lock);
    }
    pthread_mutex_unlock(&homes->lock);
}
