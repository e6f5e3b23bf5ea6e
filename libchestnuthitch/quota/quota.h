#ifndef CH_QUOTA_H
#define CH_QUOTA_H

/*
 * Quotas of teams, kept by all nodes together without a common count.
 *
 * Each node earns credit at its share of a team's rate. Credit is moved
 * between nodes and never copied: a node deposits what it does not need in the
 * pool of its region, and withdraws from a pool what a request costs. An
 * amount is taken away at its sender before it is sent, so that a lost message
 * loses credit. Two nodes that both take themselves for the pool of a region
 * thus give out no more together than was earned.
 *
 * Amounts are in the unit of the team's quota; times are microseconds. No
 * sockets, no clock, no threads.
 */

#include "base/base.h"

/* How closely a quota has to be kept: in any window, requests up to (rate x
 * window + burst) x (1 + overshoot) + slack. */
struct ch_quota_rule {
    double window_s;
    double overshoot;
    double slack;
};

/* What follows for one team. */
struct ch_quota_limits {
    double rate;     /* earned by all nodes together, a second */
    double capacity; /* unspent credit of all nodes together */
    double debt;     /* that all pools together may run into */
    double restart;  /* given to all nodes together when they start again */
};

void ch_quota_limits_init(struct ch_quota_limits *limits, double per_s,
                          double burst, const struct ch_quota_rule *rule);

/* Whether a process may begin with its share of limits->restart, if the one
 * before it on its host started this long before it; 0: there was none, or it
 * is not known. Defined in share.c. */
bool ch_quota_may_begin_with_credit(const struct ch_quota_rule *rule,
                                    int64_t predecessor_age);

/* ---- the share of one node (share.c) ---- */

/* Nodes as one node knows them, itself included. */
struct ch_quota_members {
    size_t listed; /* that may exist; 0: not known yet */
    size_t live;   /* that answer */
    size_t live_in_region;
    bool self_listed;
    bool confirmed; /* the platform confirmed that lately */
};

struct ch_quota_share {
    size_t max_listed; /* most nodes that were listed lately, and when */
    int64_t max_listed_at;
    double value; /* as last returned */
};

/* This node's share of every rate; 0 when it must not earn. */
double ch_quota_share_update(struct ch_quota_share *share,
                             const struct ch_quota_members *members,
                             int64_t now);

/* ---- demand by rank (ranks.c) ---- */

enum {
    /* Ranks 0 (the most urgent) to 9; higher ones count as 9. */
    CH_QUOTA_RANK_COUNT = 10,
};

struct ch_quota_rank {
    double asked;   /* decaying sum, with a time constant of 2 s */
    double largest; /* request; decays alike */
    int64_t asked_at;
};

/* What was asked of one team's quota lately; begins as zero. */
struct ch_quota_ranks {
    struct ch_quota_rank ranks[CH_QUOTA_RANK_COUNT];
    int64_t updated_at;
    bool is_short; /* more is asked for than is earned */
    int64_t short_since;
};

/* Counts what was asked at a rank, and the largest request known among it. */
void ch_quota_ranks_add(struct ch_quota_ranks *ranks, uint32_t rank,
                        double amount, double largest, int64_t now);
/* Moves the sums to amounts. */
void ch_quota_ranks_take(struct ch_quota_ranks *ranks,
                         double amounts[CH_QUOTA_RANK_COUNT], int64_t now);
/* The credit that has to be left after a request of the rank, for those of
 * more urgent ranks; 0: any request may take all. income: earned a second, by
 * all whose demand is counted. */
double ch_quota_ranks_get_kept(struct ch_quota_ranks *ranks, uint32_t rank,
                               double income, int64_t now);
/* The largest request of any rank lately. */
double ch_quota_ranks_get_largest(const struct ch_quota_ranks *ranks);

/* ---- credit of a node (credit.c) ---- */

struct ch_quota_credit {
    double amount;
    int64_t earned_at; /* 0: the process has just started */
    int64_t used_at;
};

/* Adds what was earned since the last call. */
void ch_quota_credit_earn(struct ch_quota_credit *credit,
                          const struct ch_quota_limits *limits, double share,
                          int64_t now);
/* Takes the cost of a request; false when there is not enough. */
bool ch_quota_credit_take(struct ch_quota_credit *credit, double cost,
                          int64_t now);
/* The same if kept is left after it, for more urgent ranks; of that, half of
 * what the node may hold at most. */
bool ch_quota_credit_take_ranked(struct ch_quota_credit *credit,
                                 const struct ch_quota_limits *limits,
                                 double share, double cost, double kept,
                                 int64_t now);
/* Takes what this node does not need for its next requests. */
double ch_quota_credit_take_surplus(struct ch_quota_credit *credit,
                                    const struct ch_quota_limits *limits,
                                    double share, int64_t now);
/* What a node may keep beside the cost of a request that it withdraws. */
double ch_quota_credit_get_reserve(const struct ch_quota_limits *limits,
                                   double share);

/* ---- the pool of a region (pool.c) ---- */

struct ch_quota_pool {
    bool open;       /* this node keeps the pool */
    double level;    /* below 0: in debt */
    double promised; /* cost of refused requests that were asked to return */
    int64_t promised_at;
    struct ch_quota_ranks ranks; /* asked for at this pool */
};

struct ch_quota_answer {
    double amount;       /* 0: refused */
    int64_t retry_after; /* when refused */
    bool ranked; /* refused only because of what more urgent ranks need */
};

/* What one request asks of a pool. */
struct ch_quota_claim {
    double cost;
    double
        extra; /* withdrawn as well, up to this, if the pool is well filled */
    uint32_t rank;
};

/* part: the part of all nodes whose credit comes to this pool, 0 to 1. */
void ch_quota_pool_deposit(struct ch_quota_pool *pool,
                           const struct ch_quota_limits *limits, double part,
                           double amount);
/* Withdraws the cost of a request, and up to extra if the pool is well
 * filled. */
struct ch_quota_answer
ch_quota_pool_withdraw(struct ch_quota_pool *pool,
                       const struct ch_quota_limits *limits, double part,
                       double cost, double extra, int64_t now);
/* The same, but while pool->ranks ask for more than is earned, enough is left
 * for the more urgent ones. Refuses whatever the function above refuses. */
struct ch_quota_answer ch_quota_pool_withdraw_ranked(
    struct ch_quota_pool *pool, const struct ch_quota_limits *limits,
    double part, const struct ch_quota_claim *claim, int64_t now);
/* Closes the pool, as another node keeps it, and forgets what was asked for;
 * returns what it held. */
double ch_quota_pool_close(struct ch_quota_pool *pool);

/* ---- how pools are spread and how often nodes settle (share.c) ---- */

/* The number of groups of teams; each group has one pool in each region. */
unsigned ch_quota_get_group_count(size_t team_count);
/* Time between two deposits of a node. */
int64_t ch_quota_get_settle_period(size_t team_count);

#endif
