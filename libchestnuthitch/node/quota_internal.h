#ifndef CH_NODE_QUOTA_INTERNAL_H
#define CH_NODE_QUOTA_INTERNAL_H

/* Shared by quota_manager.c (teams, settling), quota_take.c (requests) and
 * quota_pools.c (messages to and from pools). */

#include "node/quota_manager.h"
#include "quota/quota.h"

#include <pthread.h>

enum {
    /* Amounts in messages are thousandths of the unit. */
    QUOTA_WIRE_SCALE = 1000,
};

struct quota_team {
    uint64_t id; /* hash of the name */
    char *name;
    struct ch_quota_limits limits;
    struct ch_quota_credit credit;
    struct ch_quota_pool pool;        /* open only where this node keeps it */
    struct ch_quota_ranks own_ranks;  /* asked for by this node's callers */
    struct ch_quota_ranks unreported; /* the same, not yet told to the pool */
    bool begun;    /* credit was earned, or given at the start */
    bool declared; /* found by the update in progress */
};

struct quota_region {
    char *name;
    int64_t silent_until; /* its pools did not answer in time */
};

struct ch_quota_manager {
    struct ch_node *node;
    pthread_mutex_t lock;
    int references;
    bool leaving; /* keeps no pools any more */
    bool stopped;
    uint64_t timer;
    uint64_t revision;  /* of the configuration that the teams are from */
    GHashTable *teams;  /* id to struct quota_team */
    GPtrArray *regions; /* struct quota_region, this node's own first; fixed */
    struct ch_quota_share share_state;
    int64_t begun_at; /* when this node first earned; 0: not yet */
    bool begins_with_credit;
    double share;       /* this node's share of each rate */
    double region_part; /* of all nodes, those that answer in this region */
};

struct ch_quota_manager *quota_manager_ref(struct ch_quota_manager *manager);
void quota_manager_unref(struct ch_quota_manager *manager);
/* Updates the teams if the configuration in force has changed. Lock not held.
 */
void quota_manager_refresh(struct ch_quota_manager *manager);
/* The team, or NULL when it has no quota. Lock held. */
struct quota_team *quota_manager_find(struct ch_quota_manager *manager,
                                      uint64_t id);
/* The node that keeps the pool of a team in a region, a new string; NULL:
 * none. Lock not held. */
char *quota_manager_find_pool(struct ch_quota_manager *manager, uint64_t team,
                              const char *region);

/* Whether a team's credit is given by rank while it is short. */
bool quota_manager_uses_ranks(const struct ch_quota_manager *manager);
/* Adds one to a counter of the node. */
void quota_manager_count(struct ch_quota_manager *manager,
                         enum ch_counter counter);

/* ---- quota_pools.c ---- */

/* Registers the handlers of messages. */
void quota_pools_init(struct ch_quota_manager *manager);
/* Counts what a node's callers asked for, by rank, at this node's pool: the
 * claim's request among it. Lock held. */
void quota_pools_add_asked(struct ch_quota_manager *manager, uint64_t team,
                           const struct ch_quota_claim *claim,
                           const double asked[CH_QUOTA_RANK_COUNT],
                           int64_t now);
/* Withdraws at this node's own pool. Lock held. */
struct ch_quota_answer quota_pools_withdraw(struct ch_quota_manager *manager,
                                            uint64_t team,
                                            const struct ch_quota_claim *claim,
                                            int64_t now);
/* Moves to the pools of this region what this node does not need, or all that
 * it has. Lock not held. */
void quota_pools_settle(struct ch_quota_manager *manager, bool all);

#endif
