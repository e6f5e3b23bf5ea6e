/* The credit of one team at one node. */

#include "quota/quota.h"

enum {
    /* A node keeps a reserve for a team's next request for this long after the
     * last one. */
    RESERVE_US = 1000 * 1000,
};

/* Part of a team's capacity that may lie in the reserves of all nodes. */
static const double RESERVE_PART = 0.25;
/* Part of what a node may hold that is kept for more urgent ranks at most;
 * with more, less urgent ones would get none of a node with a small share. */
static const double MAX_KEPT_PART = 0.5;

/* See quota.h. */
double
ch_quota_credit_get_reserve(const struct ch_quota_limits *limits, double share)
{
    return RESERVE_PART * limits->capacity * share;
}

/* See quota.h. Credit that was withdrawn or given back may exceed what a node
 * may earn; nothing is added to it then. */
void
ch_quota_credit_earn(struct ch_quota_credit *credit,
                     const struct ch_quota_limits *limits, double share,
                     int64_t now)
{
    double limit = limits->capacity * share;
    if (credit->earned_at != 0 && credit->amount < limit) {
        double seconds =
            (double)(now - credit->earned_at) / (double)G_USEC_PER_SEC;
        credit->amount =
            MIN(credit->amount + limits->rate * share * seconds, limit);
    }
    credit->earned_at = now;
}

/* See quota.h. */
bool
ch_quota_credit_take(struct ch_quota_credit *credit, double cost, int64_t now)
{
    credit->used_at = now;
    if (credit->amount < cost) {
        return false;
    }
    credit->amount -= cost;
    return true;
}

/* See quota.h. */
bool
ch_quota_credit_take_ranked(struct ch_quota_credit *credit,
                            const struct ch_quota_limits *limits, double share,
                            double cost, double kept, int64_t now)
{
    double most = MAX_KEPT_PART * limits->capacity * share;
    credit->used_at = now;
    return credit->amount >= cost + MIN(kept, most) &&
           ch_quota_credit_take(credit, cost, now);
}

/* See quota.h. */
double
ch_quota_credit_take_surplus(struct ch_quota_credit *credit,
                             const struct ch_quota_limits *limits,
                             double share, int64_t now)
{
    bool in_use = credit->used_at != 0 && now - credit->used_at < RESERVE_US;
    double reserve = in_use ? ch_quota_credit_get_reserve(limits, share) : 0;
    double surplus = MAX(credit->amount - reserve, 0);
    credit->amount -= surplus;
    return surplus;
}
