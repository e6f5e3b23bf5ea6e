/* How much of a quota may be in the hands of one node, and of one region. */

#include "quota/quota.h"

enum {
    /* How long nodes that are listed no more are taken into account. */
    MAX_LISTED_US = (int64_t)60 * 60 * G_USEC_PER_SEC,
    /* Teams whose pools are on one node of each region. */
    TEAMS_PER_GROUP = 4,
    MAX_GROUPS = 64,
    MIN_SETTLE_US = 250 * 1000,
    /* Keeps the deposits of a node below some 16 kB a second. */
    SETTLE_US_PER_TEAM = 1000,
};

/* Parts of the tolerance of a quota that are used: for unspent credit beyond
 * the burst, for the debt of pools, and for nodes that start again. The rest
 * is for nodes that do not know yet how many nodes there are. */
static const double CAPACITY_PART = 0.7;
static const double DEBT_PART = 0.15;
static const double RESTART_PART = 0.15;
/* A process that began with credit is followed by another such one no sooner
 * than this many windows later. */
static const double RESTART_WINDOWS = 2;

/*
 * Load: a team whose requests cost about as much as its burst, over many
 * nodes. Harm prevented: requests refused while the team has credit, because
 * it lies at other nodes. The tolerance is what the credit that is on its way,
 * or at nodes without a request, may take up.
 */
void
ch_quota_limits_init(struct ch_quota_limits *limits, double per_s,
                     double burst, const struct ch_quota_rule *rule)
{
    double tolerance =
        rule->overshoot * (per_s * rule->window_s + burst) + rule->slack;
    limits->rate = per_s;
    limits->capacity = burst + CAPACITY_PART * tolerance;
    limits->debt = DEBT_PART * tolerance;
    limits->restart = RESTART_PART * tolerance;
}

/*
 * Load: all processes are killed at once and start again, and their callers
 * return. Harm prevented: requests refused until credit has been earned anew,
 * as the credit that the processes had is lost. Limit: once in two windows for
 * each host, so that any window has one such credit only.
 */
bool
ch_quota_may_begin_with_credit(const struct ch_quota_rule *rule,
                               int64_t predecessor_age)
{
    return (double)predecessor_age >=
           RESTART_WINDOWS * rule->window_s * G_USEC_PER_SEC;
}

/* Updates the largest number of nodes that were listed lately. */
static void
update_max_listed(struct ch_quota_share *share, size_t listed, int64_t now)
{
    if (listed >= share->max_listed ||
        now - share->max_listed_at > MAX_LISTED_US) {
        share->max_listed = listed;
        share->max_listed_at = now;
    }
}

/*
 * Harm prevented: nodes that are cut off from each other for long each earn
 * the shares of the others too.
 *
 * Nodes that the platform confirms take over the shares of those that are
 * listed no more, but earn no more than as if half of all were listed: k of n
 * nodes together earn 2k/n at most. Nodes that are not confirmed, because the
 * platform is away or they are cut off from it, assume that all that they do
 * not hear are confirmed, and leave them that: s of n nodes that hear each
 * other earn 1 - 2(n-s)/n together. Their shares do not rise when they hear
 * more nodes, since those may have taken over shares and not lost them yet.
 */
static double
get_share(const struct ch_quota_share *share,
          const struct ch_quota_members *members)
{
    if (members->listed == 0 || !members->self_listed) {
        return 0;
    }
    double most = (double)share->max_listed;
    if (members->confirmed) {
        return 1 / MAX((double)members->listed, most / 2);
    }
    double live = (double)members->live;
    double left = 1 - 2 * MAX(most - live, 0) / most;
    return MIN(share->value, MAX(left, 0) / live);
}

/* See quota.h. */
double
ch_quota_share_update(struct ch_quota_share *share,
                      const struct ch_quota_members *members, int64_t now)
{
    update_max_listed(share, members->listed, now);
    share->value = get_share(share, members);
    return share->value;
}

/* See quota.h. */
unsigned
ch_quota_get_group_count(size_t team_count)
{
    return (unsigned)CLAMP(team_count / TEAMS_PER_GROUP, 1, MAX_GROUPS);
}

/* See quota.h. */
int64_t
ch_quota_get_settle_period(size_t team_count)
{
    return MAX(MIN_SETTLE_US, (int64_t)team_count * SETTLE_US_PER_TEAM);
}
