/* Which requests a team's credit goes to while the team asks for more than it
 * earns: those of the more urgent ranks first. */

#include "quota/quota.h"

#include <math.h>

enum {
    /* Time constant of the sums: a steady demand of one a second gives a sum
     * of 2. */
    DEMAND_US = 2 * 1000 * 1000,
    /* For how long ahead the demand of more urgent ranks is expected. */
    AHEAD_US = 500 * 1000,
    /* A rank without requests for this long is expected to ask for nothing;
     * its sum is then below a hundredth of what it was. */
    FORGOTTEN_US = 10 * 1000 * 1000,
    /* Credit is given by rank for at least this long. */
    MIN_SHORT_US = 1000 * 1000,
};

/* Demand, as a part of the income, at which credit begins to be given by rank,
 * and below which this ends. */
static const double SHORT_DEMAND = 1.0;
static const double ENOUGH_DEMAND = 0.85;

/* Part of the expected demand that is kept even when the income covers it: the
 * requests come unevenly, and before the income of the same time. */
static const double UNEVEN_PART = 0.5;

/* Lets the sums decay up to now. */
static void
decay(struct ch_quota_ranks *ranks, int64_t now)
{
    double factor =
        exp(-(double)MAX(now - ranks->updated_at, 0) / (double)DEMAND_US);
    for (size_t i = 0; i < CH_QUOTA_RANK_COUNT; i++) {
        struct ch_quota_rank *rank = &ranks->ranks[i];
        bool forgotten = now - rank->asked_at > FORGOTTEN_US;
        rank->asked = forgotten ? 0 : rank->asked * factor;
        rank->largest = forgotten ? 0 : rank->largest * factor;
    }
    ranks->updated_at = MAX(ranks->updated_at, now);
}

/* See quota.h. */
void
ch_quota_ranks_add(struct ch_quota_ranks *ranks, uint32_t rank, double amount,
                   double largest, int64_t now)
{
    if (amount <= 0 && largest <= 0) {
        return;
    }
    decay(ranks, now);
    struct ch_quota_rank *added =
        &ranks->ranks[MIN(rank, CH_QUOTA_RANK_COUNT - 1)];
    added->asked += amount;
    added->largest = MAX(added->largest, largest);
    added->asked_at = now;
}

/* See quota.h. */
void
ch_quota_ranks_take(struct ch_quota_ranks *ranks,
                    double amounts[CH_QUOTA_RANK_COUNT], int64_t now)
{
    decay(ranks, now);
    for (size_t i = 0; i < CH_QUOTA_RANK_COUNT; i++) {
        amounts[i] = ranks->ranks[i].asked;
        ranks->ranks[i].asked = 0;
    }
}

/* Updates whether the demand of all ranks exceeds the income. Harm prevented:
 * with a single threshold, each request could switch the rule on or off. */
static void
update_short(struct ch_quota_ranks *ranks, double income, int64_t now)
{
    double seconds = (double)DEMAND_US / G_USEC_PER_SEC;
    double demand = 0;
    for (size_t i = 0; i < CH_QUOTA_RANK_COUNT; i++) {
        demand += ranks->ranks[i].asked / seconds;
    }
    if (demand > SHORT_DEMAND * income) {
        ranks->short_since = ranks->is_short ? ranks->short_since : now;
        ranks->is_short = true;
    }
    else if (demand < ENOUGH_DEMAND * income &&
             now - ranks->short_since >= MIN_SHORT_US) {
        ranks->is_short = false;
    }
}

/*
 * See quota.h.
 *
 * Load: a team that sends several times its quota, with an urgent class whose
 * requests cost most. Harm prevented: cheap requests of less urgent ranks take
 * each bit of credit as it is earned, so that the urgent ones are refused
 * most.
 *
 * Beside what exceeds the income, half of the expected demand and the largest
 * of the urgent requests are kept. Else an urgent demand within the income
 * would find the credit used up whenever one of its requests comes.
 */
double
ch_quota_ranks_get_kept(struct ch_quota_ranks *ranks, uint32_t rank,
                        double income, int64_t now)
{
    decay(ranks, now);
    update_short(ranks, income, now);
    if (!ranks->is_short) {
        return 0;
    }
    double expected = 0;
    double largest = 0;
    for (size_t i = 0; i < MIN(rank, CH_QUOTA_RANK_COUNT - 1); i++) {
        expected += ranks->ranks[i].asked * AHEAD_US / DEMAND_US;
        largest = MAX(largest, ranks->ranks[i].largest);
    }
    if (expected <= 0) {
        return 0;
    }
    double earned = income * AHEAD_US / G_USEC_PER_SEC;
    return largest + UNEVEN_PART * expected + MAX(expected - earned, 0);
}

/* See quota.h. */
double
ch_quota_ranks_get_largest(const struct ch_quota_ranks *ranks)
{
    double largest = 0;
    for (size_t i = 0; i < CH_QUOTA_RANK_COUNT; i++) {
        largest = MAX(largest, ranks->ranks[i].largest);
    }
    return largest;
}
