/* Messages to and from the pools of quotas. */

#include "node/quota_internal.h"

#include <math.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

/* ---- at the node that keeps a pool ---- */

/* See quota_internal.h. */
void
quota_pools_add_asked(struct ch_quota_manager *manager, uint64_t team,
                      const struct ch_quota_claim *claim,
                      const double asked[CH_QUOTA_RANK_COUNT], int64_t now)
{
    struct quota_team *known = quota_manager_find(manager, team);
    uint32_t rank = MIN(claim->rank, CH_QUOTA_RANK_COUNT - 1);
    for (uint32_t i = 0; known != NULL && i < CH_QUOTA_RANK_COUNT; i++) {
        ch_quota_ranks_add(&known->pool.ranks, i, asked[i],
                           i == rank ? claim->cost : 0, now);
    }
}

/* See quota_internal.h. */
struct ch_quota_answer
quota_pools_withdraw(struct ch_quota_manager *manager, uint64_t team,
                     const struct ch_quota_claim *claim, int64_t now)
{
    struct quota_team *known = quota_manager_find(manager, team);
    if (known == NULL) {
        return (struct ch_quota_answer){
            .retry_after = ch_quota_get_settle_period(0),
        };
    }
    if (!quota_manager_uses_ranks(manager)) {
        return ch_quota_pool_withdraw(&known->pool, &known->limits,
                                      manager->region_part, claim->cost,
                                      claim->extra, now);
    }
    struct ch_quota_answer answer = ch_quota_pool_withdraw_ranked(
        &known->pool, &known->limits, manager->region_part, claim, now);
    if (answer.ranked) {
        quota_manager_count(manager, CH_COUNT_QUOTA_RANKED);
    }
    return answer;
}

/* Counts what a question says by rank; that of an older node says nothing and
 * counts as rank 0. Lock held. */
static void
add_question(struct ch_quota_manager *manager,
             const Chestnuthitch__Wire__QuotaWithdraw *question,
             const struct ch_quota_claim *claim, int64_t now)
{
    double asked[CH_QUOTA_RANK_COUNT] = {0};
    if (question->n_asked == 0) {
        asked[MIN(claim->rank, CH_QUOTA_RANK_COUNT - 1)] = claim->cost;
    }
    for (size_t i = 0; i < question->n_asked && i < CH_QUOTA_RANK_COUNT; i++) {
        asked[i] = (double)question->asked[i] / QUOTA_WIRE_SCALE;
    }
    quota_pools_add_asked(manager, question->team, claim, asked, now);
}

/* Handles a node's request for credit. */
static void
handle_withdraw(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_quota_manager *manager = data;
    const Chestnuthitch__Wire__QuotaWithdraw *asked = frame->quota_withdraw;
    const struct ch_quota_claim claim = {
        .cost = (double)asked->cost / QUOTA_WIRE_SCALE,
        .extra = (double)asked->extra / QUOTA_WIRE_SCALE,
        .rank = asked->rank,
    };
    Chestnuthitch__Wire__QuotaGrant grant = WIRE(QUOTA_GRANT__INIT);
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    quota_manager_refresh(manager);
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    if (quota_manager_uses_ranks(manager)) {
        add_question(manager, asked, &claim, now);
    }
    struct ch_quota_answer answer =
        quota_pools_withdraw(manager, asked->team, &claim, now);
    pthread_mutex_unlock(&manager->lock);
    grant.amount = (uint64_t)(answer.amount * QUOTA_WIRE_SCALE);
    grant.retry_after_ms = (uint32_t)((answer.retry_after + 999) / 1000);
    reply.body_case = WIRE(FRAME__BODY_QUOTA_GRANT);
    reply.quota_grant = &grant;
    ch_peers_reply(manager->node->peers, frame->from, frame->id, &reply);
}

/* Adds credit to a pool of this node. Lock held. */
static void
deposit(struct ch_quota_manager *manager, uint64_t id, double amount)
{
    struct quota_team *team = quota_manager_find(manager, id);
    if (team != NULL) {
        ch_quota_pool_deposit(&team->pool, &team->limits, manager->region_part,
                              amount);
    }
}

/* Handles a node's deposit. */
static void
handle_deposit(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_quota_manager *manager = data;
    const Chestnuthitch__Wire__QuotaDeposit *from = frame->quota_deposit;
    pthread_mutex_lock(&manager->lock);
    for (size_t i = 0; i < from->n_teams && i < from->n_amounts; i++) {
        deposit(manager, from->teams[i],
                (double)from->amounts[i] / QUOTA_WIRE_SCALE);
    }
    pthread_mutex_unlock(&manager->lock);
}

/* See quota_internal.h. */
void
quota_pools_init(struct ch_quota_manager *manager)
{
    struct ch_peers *peers = manager->node->peers;
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_QUOTA_WITHDRAW),
                         handle_withdraw, manager);
    ch_peers_set_handler(peers, WIRE(FRAME__BODY_QUOTA_DEPOSIT),
                         handle_deposit, manager);
}

/* ---- settling ---- */

/* What this node hands over to one pool. */
struct transfer {
    GArray *teams;   /* uint64_t */
    GArray *amounts; /* uint64_t, thousandths */
};

static struct transfer *
transfer_new(void)
{
    struct transfer *transfer = g_new0(struct transfer, 1);
    transfer->teams = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    transfer->amounts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return transfer;
}

static void
transfer_free(void *data)
{
    struct transfer *transfer = data;
    g_array_free(transfer->teams, TRUE);
    g_array_free(transfer->amounts, TRUE);
    g_free(transfer);
}

/* Takes what this node hands over of a team, in whole thousandths; the rest
 * stays. is_pool: this node keeps the team's pool. Lock held. */
static uint64_t
take_surplus(struct ch_quota_manager *manager, struct quota_team *team,
             bool is_pool, bool all)
{
    double amount = all ? MAX(team->credit.amount, 0)
                        : ch_quota_credit_take_surplus(
                              &team->credit, &team->limits, manager->share,
                              ch_client_get_time(manager->node->client));
    if (all) {
        team->credit.amount -= amount;
    }
    if (!is_pool) {
        amount += ch_quota_pool_close(&team->pool);
    }
    uint64_t whole = (uint64_t)floor(amount * QUOTA_WIRE_SCALE);
    team->credit.amount += amount - (double)whole / QUOTA_WIRE_SCALE;
    return whole;
}

/* The pools of this region, by group of teams; new strings, NULL where there
 * is none. Lock not held. */
static GPtrArray *
find_pools(struct ch_quota_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    unsigned count =
        ch_quota_get_group_count(g_hash_table_size(manager->teams));
    pthread_mutex_unlock(&manager->lock);
    GPtrArray *pools = g_ptr_array_new_with_free_func(g_free);
    for (unsigned group = 0; group < count; group++) {
        g_ptr_array_add(
            pools, quota_manager_find_pool(manager, group,
                                           manager->node->settings->region));
    }
    return pools;
}

/* Collects what this node hands over, by the node that gets it. Its own pools
 * get their part at once. Lock held. */
static GHashTable *
collect_transfers(struct ch_quota_manager *manager, const GPtrArray *pools,
                  bool all)
{
    GHashTable *transfers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, transfer_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, manager->teams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct quota_team *team = value;
        char *name = g_ptr_array_index(pools, team->id % pools->len);
        bool is_pool = g_strcmp0(name, manager->node->settings->name) == 0;
        uint64_t amount =
            name == NULL ? 0 : take_surplus(manager, team, is_pool, all);
        if (amount == 0) {
            continue;
        }
        if (is_pool) {
            deposit(manager, team->id, (double)amount / QUOTA_WIRE_SCALE);
            continue;
        }
        struct transfer *transfer = g_hash_table_lookup(transfers, name);
        if (transfer == NULL) {
            transfer = transfer_new();
            g_hash_table_insert(transfers, name, transfer);
        }
        g_array_append_val(transfer->teams, team->id);
        g_array_append_val(transfer->amounts, amount);
    }
    return transfers;
}

static void
send_transfer(struct ch_quota_manager *manager, const char *to,
              const struct transfer *transfer)
{
    Chestnuthitch__Wire__QuotaDeposit body = WIRE(QUOTA_DEPOSIT__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    body.n_teams = transfer->teams->len;
    body.teams = (uint64_t *)(void *)transfer->teams->data;
    body.n_amounts = transfer->amounts->len;
    body.amounts = (uint64_t *)(void *)transfer->amounts->data;
    frame.body_case = WIRE(FRAME__BODY_QUOTA_DEPOSIT);
    frame.quota_deposit = &body;
    ch_peers_send(manager->node->peers, to, &frame);
}

/* See quota_internal.h. */
void
quota_pools_settle(struct ch_quota_manager *manager, bool all)
{
    if (manager->node->settings->disabled_features.quota_pools) {
        return;
    }
    GPtrArray *pools = find_pools(manager);
    pthread_mutex_lock(&manager->lock);
    GHashTable *transfers = collect_transfers(manager, pools, all);
    pthread_mutex_unlock(&manager->lock);
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, transfers);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        send_transfer(manager, key, value);
    }
    g_hash_table_destroy(transfers);
    g_ptr_array_free(pools, TRUE);
}
