/* Takes the cost of requests from quotas: from this node's credit, or from the
 * pool of its region, or else from the pools of other regions. */

#include "node/quota_internal.h"

#include <math.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* Time for a pool to answer, some ten round trips. */
    POOL_TIMEOUT_US = 200 * 1000,
    REMOTE_POOL_TIMEOUT_US = 400 * 1000,
    /* A region whose pool did not answer is left out for this long, until
     * another node has taken the pool over. */
    SILENT_REGION_US = 1000 * 1000,
    /* No pool answered: by then another node keeps the pool. */
    UNAVAILABLE_RETRY_AFTER_US = 1000 * 1000,
};

/* A request that waits for credit. */
struct take {
    struct ch_quota_manager *manager;
    uint64_t team;
    uint32_t rank;
    double cost;
    double extra;
    unsigned region; /* index of the region that is asked */
    bool answered;   /* a pool answered that there is not enough */
    bool held_back;  /* this node's credit was kept for more urgent ranks */
    int64_t retry_after;
    void (*done)(void *data, enum ch_code code, int64_t retry_after);
    void *data;
};

/* Reports the result and frees the take. */
static void
take_end(struct take *take, enum ch_code code, int64_t retry_after)
{
    if (code == CH_QUOTA_USED) {
        quota_manager_count(take->manager, CH_COUNT_QUOTA_REFUSED);
        if (take->held_back) {
            quota_manager_count(take->manager, CH_COUNT_QUOTA_RANKED);
        }
    }
    else if (code == CH_QUOTA_UNAVAILABLE) {
        quota_manager_count(take->manager, CH_COUNT_QUOTA_UNAVAILABLE);
    }
    take->done(take->data, code, retry_after);
    quota_manager_unref(take->manager);
    g_free(take);
}

/* Takes over a pool's answer; true when the request has its credit. What the
 * pool gave beyond the cost stays at this node. Lock not held. */
static bool
accept_answer(struct take *take, double amount, int64_t retry_after)
{
    if (amount < take->cost) {
        take->retry_after =
            take->answered ? MIN(take->retry_after, retry_after) : retry_after;
        take->answered = true;
        return false;
    }
    pthread_mutex_lock(&take->manager->lock);
    struct quota_team *team = quota_manager_find(take->manager, take->team);
    if (team != NULL) {
        team->credit.amount += amount - take->cost;
    }
    pthread_mutex_unlock(&take->manager->lock);
    return true;
}

static void ask_next_pool(struct take *take);

/* Handles a pool's reply, or that none came in time. */
static void
handle_reply(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct take *take = data;
    struct ch_quota_manager *manager = take->manager;
    bool replied = code == CH_OK && reply != NULL &&
                   reply->body_case == WIRE(FRAME__BODY_QUOTA_GRANT);
    if (replied &&
        accept_answer(take,
                      (double)reply->quota_grant->amount / QUOTA_WIRE_SCALE,
                      (int64_t)reply->quota_grant->retry_after_ms * 1000)) {
        take_end(take, CH_OK, 0);
        return;
    }
    if (!replied) {
        pthread_mutex_lock(&manager->lock);
        struct quota_region *region =
            g_ptr_array_index(manager->regions, take->region);
        region->silent_until =
            ch_client_get_time(manager->node->client) + SILENT_REGION_US;
        pthread_mutex_unlock(&manager->lock);
    }
    take->region++;
    ask_next_pool(take);
}

/* What the pool that is asked has to be told by rank. The pool of this region
 * gets all that callers asked for since the last question; another one is
 * asked for this request alone. Lock held. */
static void
take_unreported(struct take *take, double amounts[CH_QUOTA_RANK_COUNT],
                int64_t now)
{
    struct quota_team *team = quota_manager_find(take->manager, take->team);
    memset(amounts, 0, CH_QUOTA_RANK_COUNT * sizeof(*amounts));
    if (take->region == 0 && team != NULL) {
        ch_quota_ranks_take(&team->unreported, amounts, now);
        return;
    }
    amounts[MIN(take->rank, CH_QUOTA_RANK_COUNT - 1)] = take->cost;
}

/* Adds the rank to a question, and what was asked for by rank. */
static void
add_ranks(struct take *take, Chestnuthitch__Wire__QuotaWithdraw *body,
          uint64_t asked[CH_QUOTA_RANK_COUNT])
{
    struct ch_quota_manager *manager = take->manager;
    double amounts[CH_QUOTA_RANK_COUNT];
    pthread_mutex_lock(&manager->lock);
    take_unreported(take, amounts, ch_client_get_time(manager->node->client));
    pthread_mutex_unlock(&manager->lock);
    for (size_t i = 0; i < CH_QUOTA_RANK_COUNT; i++) {
        asked[i] = (uint64_t)ceil(amounts[i] * QUOTA_WIRE_SCALE);
    }
    body->rank = take->rank;
    body->n_asked = CH_QUOTA_RANK_COUNT;
    body->asked = asked;
}

/* Asks the pool at another node. */
static void
send_withdraw(struct take *take, const char *pool)
{
    Chestnuthitch__Wire__QuotaWithdraw body = WIRE(QUOTA_WITHDRAW__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    uint64_t asked[CH_QUOTA_RANK_COUNT];
    body.team = take->team;
    body.cost = (uint64_t)ceil(take->cost * QUOTA_WIRE_SCALE);
    body.extra = (uint64_t)(take->extra * QUOTA_WIRE_SCALE);
    if (quota_manager_uses_ranks(take->manager)) {
        add_ranks(take, &body, asked);
    }
    frame.body_case = WIRE(FRAME__BODY_QUOTA_WITHDRAW);
    frame.quota_withdraw = &body;
    ch_peers_request(take->manager->node->peers, pool, &frame,
                     take->region == 0 ? POOL_TIMEOUT_US
                                       : REMOTE_POOL_TIMEOUT_US,
                     handle_reply, take);
}

/* Withdraws at this node's own pool; true when the request has its credit. */
static bool
withdraw_here(struct take *take)
{
    struct ch_quota_manager *manager = take->manager;
    const struct ch_quota_claim claim = {
        .cost = take->cost,
        .rank = take->rank,
    };
    int64_t now = ch_client_get_time(manager->node->client);
    double amounts[CH_QUOTA_RANK_COUNT];
    pthread_mutex_lock(&manager->lock);
    if (quota_manager_uses_ranks(manager)) {
        take_unreported(take, amounts, now);
        quota_pools_add_asked(manager, take->team, &claim, amounts, now);
    }
    struct ch_quota_answer answer =
        quota_pools_withdraw(manager, take->team, &claim, now);
    pthread_mutex_unlock(&manager->lock);
    return accept_answer(take, answer.amount, answer.retry_after);
}

/* Whether the region's pool answered lately, or was not asked. */
static bool
is_answering(struct ch_quota_manager *manager,
             const struct quota_region *region)
{
    pthread_mutex_lock(&manager->lock);
    bool answering =
        region->silent_until <= ch_client_get_time(manager->node->client);
    pthread_mutex_unlock(&manager->lock);
    return answering;
}

/* Asks the pool of the next region that has one; without one the request is
 * refused. */
static void
ask_next_pool(struct take *take)
{
    struct ch_quota_manager *manager = take->manager;
    const char *self = manager->node->settings->name;
    for (; take->region < manager->regions->len; take->region++) {
        const struct quota_region *region =
            g_ptr_array_index(manager->regions, take->region);
        g_autofree char *pool =
            quota_manager_find_pool(manager, take->team, region->name);
        if (pool == NULL) {
            continue;
        }
        if (strcmp(pool, self) == 0) {
            if (withdraw_here(take)) {
                take_end(take, CH_OK, 0);
                return;
            }
        }
        else if (is_answering(manager, region)) {
            send_withdraw(take, pool);
            return;
        }
    }
    take_end(take, take->answered ? CH_QUOTA_USED : CH_QUOTA_UNAVAILABLE,
             take->answered ? take->retry_after : UNAVAILABLE_RETRY_AFTER_US);
}

/* Counts a request, and returns what has to be left after it of this node's
 * credit for more urgent ranks. Lock held. */
static double
count_request(struct ch_quota_manager *manager, struct quota_team *team,
              uint32_t rank, double cost, int64_t now)
{
    if (!quota_manager_uses_ranks(manager)) {
        return 0;
    }
    ch_quota_ranks_add(&team->own_ranks, rank, cost, cost, now);
    ch_quota_ranks_add(&team->unreported, rank, cost, cost, now);
    return ch_quota_ranks_get_kept(&team->own_ranks, rank,
                                   team->limits.rate * manager->share, now);
}

/* Takes the cost from this node's credit; true when nothing more is to be
 * asked. Else take has what this node may withdraw beside the cost, and
 * whether its credit was kept for more urgent ranks. */
static bool
take_here(struct ch_quota_manager *manager, struct take *take)
{
    double cost = take->cost;
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    struct quota_team *team = quota_manager_find(manager, take->team);
    bool taken = team == NULL;
    if (team != NULL) {
        ch_quota_credit_earn(&team->credit, &team->limits, manager->share,
                             now);
        double kept = count_request(manager, team, take->rank, cost, now);
        taken = ch_quota_credit_take_ranked(&team->credit, &team->limits,
                                            manager->share, cost, kept, now);
        take->held_back = !taken && kept > 0 && team->credit.amount >= cost;
        take->extra =
            ch_quota_credit_get_reserve(&team->limits, manager->share);
    }
    pthread_mutex_unlock(&manager->lock);
    return taken;
}

/* See quota_manager.h. */
void
ch_quota_manager_take(struct ch_quota_manager *manager, const char *name,
                      uint32_t rank, double cost,
                      void (*done)(void *data, enum ch_code code,
                                   int64_t retry_after),
                      void *data)
{
    struct take asked = {
        .manager = manager,
        .team = ch_hash_string(name),
        .rank = rank,
        .cost = cost,
        .done = done,
        .data = data,
    };
    quota_manager_refresh(manager);
    if (take_here(manager, &asked)) {
        done(data, CH_OK, 0);
        return;
    }
    struct take *take = g_new0(struct take, 1);
    *take = asked;
    quota_manager_ref(manager);
    if (manager->node->settings->disabled_features.quota_pools) {
        take_end(take, CH_QUOTA_USED, UNAVAILABLE_RETRY_AFTER_US);
        return;
    }
    quota_manager_count(manager, CH_COUNT_QUOTA_ASKED);
    ask_next_pool(take);
}

/* See quota_manager.h. */
void
ch_quota_manager_give_back(struct ch_quota_manager *manager, const char *name,
                           double cost)
{
    pthread_mutex_lock(&manager->lock);
    struct quota_team *team =
        quota_manager_find(manager, ch_hash_string(name));
    if (team != NULL) {
        team->credit.amount += cost;
    }
    pthread_mutex_unlock(&manager->lock);
}
