/* The pool of one team's credit in one region. */

#include "quota/quota.h"

enum {
    MIN_RETRY_AFTER_US = 50 * 1000,
    MAX_RETRY_AFTER_US = 10 * 1000 * 1000,
};

/* Part of a team's capacity that may lie in the pools of all regions. */
static const double POOL_PART = 0.75;
/* A pool below this part of its capacity gives no more than a request
 * costs. */
static const double EXTRA_LEVEL = 0.5;
/* Parts of a pool's capacity that are kept for more urgent ranks, and for the
 * largest request, at most. Together they are below 1, so that a pool that
 * fills up serves every rank. */
static const double MAX_KEPT_PART = 0.5;
static const double MAX_LARGEST_PART = 0.4;

static double
get_capacity(const struct ch_quota_limits *limits, double part)
{
    return POOL_PART * limits->capacity * part;
}

/* A pool begins with the largest debt: the node that kept it before may have
 * been killed with such a debt, which would else be forgiven. */
static void
open_pool(struct ch_quota_pool *pool, const struct ch_quota_limits *limits,
          double part)
{
    if (!pool->open) {
        pool->open = true;
        pool->level = -limits->debt * part;
    }
}

/* See quota.h. */
void
ch_quota_pool_deposit(struct ch_quota_pool *pool,
                      const struct ch_quota_limits *limits, double part,
                      double amount)
{
    open_pool(pool, limits, part);
    pool->level = MIN(pool->level + amount, get_capacity(limits, part));
}

/*
 * When the caller of a refused request may return. Load: a team that sends
 * several times its quota. Harm prevented: all refused callers return at the
 * same moment, and all but one of them are refused again. So each is given the
 * time at which the credit for it and for those refused before it will have
 * been earned. needed is the level that lets the request through.
 */
static int64_t
get_retry_after(struct ch_quota_pool *pool,
                const struct ch_quota_limits *limits, double part, double cost,
                double needed, int64_t now)
{
    double rate = limits->rate * part;
    if (rate <= 0) {
        return MAX_RETRY_AFTER_US;
    }
    double seconds =
        (double)(now - pool->promised_at) / (double)G_USEC_PER_SEC;
    pool->promised = MAX(pool->promised - rate * seconds, 0);
    pool->promised_at = now;
    double missing = MAX(needed - pool->level, 0);
    double wait_us = (pool->promised + missing) / rate * G_USEC_PER_SEC;
    if (wait_us >= MAX_RETRY_AFTER_US) {
        return MAX_RETRY_AFTER_US;
    }
    pool->promised += cost;
    return MAX((int64_t)wait_us, MIN_RETRY_AFTER_US);
}

/*
 * Load: a team that uses up its quota with requests of different cost. Harm
 * prevented: small requests take every bit of credit as it is earned, and the
 * large ones are never served. So a request is let through as long as there is
 * any credit, if the debt that it leaves is within its limit; a request that
 * costs more than the pool ever holds is let through when the pool is full.
 */
static bool
is_affordable(const struct ch_quota_pool *pool,
              const struct ch_quota_limits *limits, double part, double cost)
{
    return pool->level >= cost ||
           (pool->level > 0 && pool->level - cost >= -limits->debt * part) ||
           (pool->level > 0 && pool->level >= get_capacity(limits, part));
}

/*
 * The level that a request needs, so that kept is left after it for more
 * urgent ranks. Load: a rank with large and small requests. Harm prevented:
 * the small ones take all above what is kept, and the large ones are never
 * served. So a request of any size needs the level that the largest one needs;
 * one that costs more than the pool ever holds needs a full pool.
 */
static double
get_needed_level(const struct ch_quota_pool *pool,
                 const struct ch_quota_limits *limits, double part,
                 double cost, double kept)
{
    if (kept <= 0) {
        return cost;
    }
    double capacity = get_capacity(limits, part);
    double largest = MIN(ch_quota_ranks_get_largest(&pool->ranks),
                         MAX_LARGEST_PART * capacity);
    double above = MAX(MAX(largest, cost), limits->debt * part);
    return MIN(MIN(kept, MAX_KEPT_PART * capacity) + above, capacity);
}

/* Withdraws for a request that must leave kept. */
static struct ch_quota_answer
withdraw(struct ch_quota_pool *pool, const struct ch_quota_limits *limits,
         double part, const struct ch_quota_claim *claim, double kept,
         int64_t now)
{
    double cost = claim->cost;
    double capacity = get_capacity(limits, part);
    double needed = get_needed_level(pool, limits, part, cost, kept);
    open_pool(pool, limits, part);
    pool->level = MIN(pool->level, capacity);
    bool affordable = is_affordable(pool, limits, part, cost);
    if (!affordable || (kept > 0 && pool->level < needed)) {
        return (struct ch_quota_answer){
            .retry_after =
                get_retry_after(pool, limits, part, cost, needed, now),
            .ranked = affordable,
        };
    }
    double spare = pool->level - cost - EXTRA_LEVEL * capacity;
    double extra = kept > 0 ? 0 : claim->extra;
    double amount = cost + CLAMP(spare, 0, extra);
    pool->level -= amount;
    return (struct ch_quota_answer){.amount = amount};
}

/* See quota.h. The demand includes what nodes took from their own credit, so
 * the income is what all nodes of the region earn. */
struct ch_quota_answer
ch_quota_pool_withdraw_ranked(struct ch_quota_pool *pool,
                              const struct ch_quota_limits *limits,
                              double part, const struct ch_quota_claim *claim,
                              int64_t now)
{
    double kept = ch_quota_ranks_get_kept(&pool->ranks, claim->rank,
                                          limits->rate * part, now);
    return withdraw(pool, limits, part, claim, kept, now);
}

/* See quota.h. */
struct ch_quota_answer
ch_quota_pool_withdraw(struct ch_quota_pool *pool,
                       const struct ch_quota_limits *limits, double part,
                       double cost, double extra, int64_t now)
{
    const struct ch_quota_claim claim = {.cost = cost, .extra = extra};
    return withdraw(pool, limits, part, &claim, 0, now);
}

/* See quota.h. */
double
ch_quota_pool_close(struct ch_quota_pool *pool)
{
    double amount = pool->open ? MAX(pool->level, 0) : 0;
    pool->open = false;
    pool->level = 0;
    pool->ranks = (struct ch_quota_ranks){0};
    return amount;
}
