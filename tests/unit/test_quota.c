/* Quotas of teams: the rules of credit and pools, and simulated fleets under
 * the loads and faults for which the rules are made. */

#include "quota/quota.h"

#include <stdio.h>
#include <string.h>

enum {
    SECOND = G_USEC_PER_SEC,
    STEP_US = 50 * 1000,
    STEPS_PER_SECOND = SECOND / STEP_US,
    WINDOW_S = 8,
    MAX_NODES = 80,
    MAX_REGIONS = 2,
    MAX_STEPS = 120 * STEPS_PER_SECOND,
    /* How often the platform confirms a node's entry, and when the entry
     * expires after that. */
    CONFIRM_S = 8,
    EXPIRY_S = 30,
    CONFIRMED_S = 25, /* a node counts as confirmed for so long */
};

static const struct ch_quota_rule rule = {WINDOW_S, 0.1, 11000};

/* ---- shares ---- */

enum {
    NOW = 1000 * 1000 * 1000,
};

static const struct {
    const char *name;
    size_t max_listed; /* before the call */
    struct ch_quota_members members;
    double before; /* the share until now */
    double share;
} share_cases[] = {
    {"no list yet", 0, {0, 1, 1, false, false}, 1, 0},
    {"alone", 0, {1, 1, 1, true, true}, 1, 1},
    {"all answer", 75, {75, 75, 38, true, true}, 1, 1 / 75.0},
    {"not listed", 75, {74, 75, 38, false, true}, 1, 0},
    {"some do not answer", 75, {75, 40, 20, true, true}, 1, 1 / 75.0},
    {"some listed no more", 75, {60, 60, 30, true, true}, 1, 1 / 60.0},
    {"most listed no more", 75, {10, 10, 5, true, true}, 1, 1 / 37.5},
    {"a platform that is away", 75, {75, 75, 38, true, false}, 1, 1 / 75.0},
    {"the same, one lost",
     75,
     {75, 74, 38, true, false},
     1,
     (1 - 2 / 75.0) / 74},
    {"heard again", 75, {75, 75, 38, true, false}, 0.001, 0.001},
    {"confirmed again", 75, {75, 75, 38, true, true}, 0.001, 1 / 75.0},
    {"cut off with a third", 75, {75, 25, 13, true, false}, 1, 0},
    {"cut off alone", 75, {75, 1, 1, true, false}, 1, 0},
    {"never confirmed", 75, {75, 1, 1, true, false}, 1, 0},
};

static void
test_share(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(share_cases); i++) {
        struct ch_quota_share share = {share_cases[i].max_listed, NOW,
                                       share_cases[i].before};
        g_test_message("%s", share_cases[i].name);
        g_assert_cmpfloat_with_epsilon(
            ch_quota_share_update(&share, &share_cases[i].members, NOW),
            share_cases[i].share, 1e-9);
    }
}

/* Guards against nodes on two sides of a cut earning more together than the
 * rate: for each number of nodes that the platform confirms, and each split of
 * the others. */
static void
test_sides_of_cut(void)
{
    enum {
        NODES = 40
    };
    for (size_t confirmed = 0; confirmed <= NODES; confirmed++) {
        for (size_t side = 0; side <= NODES - confirmed; side++) {
            size_t rest = NODES - confirmed - side;
            const struct ch_quota_members members[] = {
                {confirmed, confirmed, 1, true, true},
                {NODES, side, 1, true, false},
                {NODES, rest, 1, true, false},
            };
            double sum = 0;
            for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
                struct ch_quota_share share = {NODES, NOW, 1};
                sum +=
                    members[i].live == 0
                        ? 0
                        : (double)members[i].live *
                              ch_quota_share_update(&share, &members[i], NOW);
            }
            g_assert_cmpfloat(sum, <=, 1 + 1e-9);
        }
    }
}

/* ---- pools ---- */

static const struct {
    const char *name;
    double level;
    double cost;
    double extra;
    double amount;
    int64_t retry_after; /* at least, when refused */
} pool_cases[] = {
    /* rate 1000, capacity 750, debt 100 */
    {"enough", 500, 200, 0, 200, 0},
    {"all of it", 200, 200, 0, 200, 0},
    {"empty", 0, 200, 0, 0, 200000},
    {"in debt", -50, 200, 0, 0, 250000},
    {"a debt within the limit", 150, 200, 0, 200, 0},
    {"a debt beyond the limit", 50, 200, 0, 0, 150000},
    {"more than the pool holds", 750, 2000, 0, 2000, 0},
    {"more than the pool holds, not full", 700, 2000, 0, 0, SECOND},
    {"extra from a full pool", 750, 100, 50, 150, 0},
    {"extra in part", 750, 300, 100, 375, 0},
    {"no extra from a low pool", 400, 100, 50, 100, 0},
};

static void
test_pool(void)
{
    const struct ch_quota_limits limits = {1000, 1000, 100, 0};
    for (size_t i = 0; i < G_N_ELEMENTS(pool_cases); i++) {
        struct ch_quota_pool pool = {.open = true,
                                     .level = pool_cases[i].level};
        g_test_message("%s", pool_cases[i].name);
        struct ch_quota_answer answer =
            ch_quota_pool_withdraw(&pool, &limits, 1, pool_cases[i].cost,
                                   pool_cases[i].extra, SECOND);
        g_assert_cmpfloat_with_epsilon(answer.amount, pool_cases[i].amount,
                                       1e-6);
        g_assert_cmpfloat_with_epsilon(
            pool.level, pool_cases[i].level - pool_cases[i].amount, 1e-6);
        g_assert_cmpint(answer.retry_after, >=, pool_cases[i].retry_after);
    }
}

/* Guards against all refused callers being told to return at the same moment:
 * each is given a time of its own, a request's worth of credit apart. */
static void
test_returns_spread(void)
{
    const struct ch_quota_limits limits = {1000, 1000, 0, 0};
    struct ch_quota_pool pool = {.open = true};
    int64_t last = 0;
    for (unsigned i = 0; i < 20; i++) {
        struct ch_quota_answer answer =
            ch_quota_pool_withdraw(&pool, &limits, 1, 100, 0, SECOND);
        g_assert_cmpfloat(answer.amount, ==, 0);
        g_assert_cmpint(answer.retry_after - last, >=, 99000);
        last = answer.retry_after;
    }
    /* Credit earned meanwhile shortens the line. */
    struct ch_quota_answer later = ch_quota_pool_withdraw(
        &pool, &limits, 1, 100, 0, 11 * (int64_t)SECOND);
    g_assert_cmpint(later.retry_after, <, 200000);
}

/* Guards against a debt that is forgiven whenever the node that keeps a pool
 * is killed, or another one takes the pool over. */
static void
test_begins_in_debt(void)
{
    const struct ch_quota_limits limits = {1000, 1000, 100, 0};
    struct ch_quota_pool pool = {0};
    ch_quota_pool_deposit(&pool, &limits, 0.5, 30);
    g_assert_cmpfloat(pool.level, ==, -20);
    ch_quota_pool_deposit(&pool, &limits, 0.5, 120);
    g_assert_cmpfloat(pool.level, ==, 100);
    g_assert_cmpfloat(ch_quota_pool_close(&pool), ==, 100);
    g_assert_cmpfloat(ch_quota_pool_close(&pool), ==, 0);
    ch_quota_pool_deposit(&pool, &limits, 0.5, 10);
    g_assert_cmpfloat(pool.level, ==, -40);
}

/* A lowered quota takes away what the pool holds beyond it. */
static void
test_lowered(void)
{
    const struct ch_quota_limits high = {1000, 10000, 0, 0};
    const struct ch_quota_limits low = {10, 100, 0, 0};
    struct ch_quota_pool pool = {0};
    ch_quota_pool_deposit(&pool, &high, 1, 20000);
    g_assert_cmpfloat(pool.level, ==, 7500);
    (void)ch_quota_pool_withdraw(&pool, &low, 1, 1, 0, SECOND);
    g_assert_cmpfloat(pool.level, <=, 75);
}

/* ---- credit ---- */

static void
test_credit(void)
{
    const struct ch_quota_limits limits = {1000, 4000, 0, 0};
    struct ch_quota_credit credit = {0};
    ch_quota_credit_earn(&credit, &limits, 0.1, 5 * (int64_t)SECOND);
    g_assert_cmpfloat(credit.amount, ==, 0); /* nothing before its start */
    ch_quota_credit_earn(&credit, &limits, 0.1, 6 * (int64_t)SECOND);
    g_assert_cmpfloat_with_epsilon(credit.amount, 100, 1e-6);
    ch_quota_credit_earn(&credit, &limits, 0.1, 60 * (int64_t)SECOND);
    g_assert_cmpfloat_with_epsilon(credit.amount, 400, 1e-6);
    g_assert_false(ch_quota_credit_take(&credit, 401, 60 * (int64_t)SECOND));
    g_assert_true(ch_quota_credit_take(&credit, 200, 60 * (int64_t)SECOND));
    /* Just used: a reserve stays. Unused for long: nothing does. */
    g_assert_cmpfloat_with_epsilon(
        ch_quota_credit_take_surplus(&credit, &limits, 0.1,
                                     60 * (int64_t)SECOND),
        100, 1e-6);
    g_assert_cmpfloat_with_epsilon(
        ch_quota_credit_take_surplus(&credit, &limits, 0.1,
                                     70 * (int64_t)SECOND),
        100, 1e-6);
    /* What is given back is not lost, whatever the node may earn. */
    credit.amount += 5000;
    ch_quota_credit_earn(&credit, &limits, 0.1, 71 * (int64_t)SECOND);
    g_assert_cmpfloat_with_epsilon(credit.amount, 5000, 1e-6);
}

/* ---- simulated fleets ---- */

struct node {
    unsigned region;
    unsigned part; /* nodes with the same number reach each other; those of
                      part 0 reach the platform */
    bool up;
    int64_t started_at;
    bool begins_with_credit;
    int64_t confirmed_at;
    struct ch_quota_share share_state;
    double share;
    struct ch_quota_credit credit;
    struct ch_quota_pool pool;
    struct ch_quota_ranks own_ranks;
    struct ch_quota_ranks unreported;
};

struct fleet {
    struct node nodes[MAX_NODES];
    unsigned node_count;
    bool uses_pools;
    bool uses_ranks;
    uint32_t rank; /* of the requests that are sent */
    struct ch_quota_limits limits;
    int64_t now;
    double admitted[MAX_STEPS]; /* by step */
    unsigned step;
    double asked_sum;
    double admitted_sum;
    uint64_t refused;
    GRand *random;
};

static void
fleet_init(struct fleet *fleet, unsigned node_count, double rate, double burst,
           bool uses_pools, guint32 seed)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->node_count = node_count;
    fleet->uses_pools = uses_pools;
    fleet->now = SECOND;
    fleet->random = g_rand_new_with_seed(seed);
    ch_quota_limits_init(&fleet->limits, rate, burst, &rule);
    for (unsigned i = 0; i < node_count; i++) {
        fleet->nodes[i].up = true;
        fleet->nodes[i].region = i % MAX_REGIONS;
        fleet->nodes[i].confirmed_at = fleet->now;
    }
}

static bool
reaches(const struct node *a, const struct node *b)
{
    return a->up && b->up && a->part == b->part;
}

/* Whether the platform lists the node. */
static bool
is_listed(const struct fleet *fleet, const struct node *node)
{
    return fleet->now - node->confirmed_at < EXPIRY_S * (int64_t)SECOND;
}

/* What a node knows of the others. Outside part 0 it keeps the old list. */
static struct ch_quota_members
get_members(const struct fleet *fleet, const struct node *self)
{
    bool keeps_list = self->part != 0;
    struct ch_quota_members members = {
        .self_listed = keeps_list || is_listed(fleet, self),
        .confirmed =
            fleet->now - self->confirmed_at < CONFIRMED_S * (int64_t)SECOND,
    };
    for (unsigned i = 0; i < fleet->node_count; i++) {
        const struct node *node = &fleet->nodes[i];
        members.listed += keeps_list || is_listed(fleet, node) ? 1 : 0;
        members.live += reaches(self, node) ? 1 : 0;
        members.live_in_region +=
            reaches(self, node) && node->region == self->region ? 1 : 0;
    }
    return members;
}

/* The node that keeps the pool of a region, as one node sees it. */
static struct node *
find_pool(struct fleet *fleet, const struct node *self, unsigned region)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        struct node *node = &fleet->nodes[i];
        if (node->region == region && reaches(self, node)) {
            return node;
        }
    }
    return NULL;
}

static double
get_region_part(const struct fleet *fleet, const struct node *self)
{
    struct ch_quota_members members = get_members(fleet, self);
    return (double)members.live_in_region / (double)MAX(members.listed, 1);
}

/* What the node does at each of its deposits. */
static void
settle(struct fleet *fleet, struct node *node)
{
    const struct ch_quota_members members = get_members(fleet, node);
    node->share =
        ch_quota_share_update(&node->share_state, &members, fleet->now);
    if (node->begins_with_credit && node->share > 0) {
        node->begins_with_credit = false;
        node->credit.amount += fleet->limits.restart * node->share;
    }
    ch_quota_credit_earn(&node->credit, &fleet->limits, node->share,
                         fleet->now);
    struct node *pool = find_pool(fleet, node, node->region);
    if (!fleet->uses_pools || pool == NULL) {
        return;
    }
    double amount = ch_quota_credit_take_surplus(&node->credit, &fleet->limits,
                                                 node->share, fleet->now);
    if (pool != node) {
        amount += ch_quota_pool_close(&node->pool);
    }
    ch_quota_pool_deposit(&pool->pool, &fleet->limits,
                          get_region_part(fleet, pool), amount);
}

/* Tells a pool what was asked for by rank, the nearest one all that it was not
 * told yet. */
static void
report_ranks(struct fleet *fleet, struct node *node, struct node *pool,
             bool is_nearest, double cost)
{
    double amounts[CH_QUOTA_RANK_COUNT] = {0};
    if (!fleet->uses_ranks) {
        return;
    }
    amounts[fleet->rank] = cost;
    if (is_nearest) {
        ch_quota_ranks_take(&node->unreported, amounts, fleet->now);
    }
    for (uint32_t i = 0; i < CH_QUOTA_RANK_COUNT; i++) {
        ch_quota_ranks_add(&pool->pool.ranks, i, amounts[i],
                           i == fleet->rank ? cost : 0, fleet->now);
    }
}

static bool
withdraw(struct fleet *fleet, struct node *node, double cost)
{
    for (unsigned i = 0; fleet->uses_pools && i < MAX_REGIONS; i++) {
        struct node *pool =
            find_pool(fleet, node, (node->region + i) % MAX_REGIONS);
        if (pool == NULL) {
            continue;
        }
        const struct ch_quota_claim claim = {
            .cost = cost,
            .extra = ch_quota_credit_get_reserve(&fleet->limits, node->share),
            .rank = fleet->rank,
        };
        report_ranks(fleet, node, pool, i == 0, cost);
        struct ch_quota_answer answer = ch_quota_pool_withdraw_ranked(
            &pool->pool, &fleet->limits, get_region_part(fleet, pool), &claim,
            fleet->now);
        if (answer.amount > 0) {
            node->credit.amount += answer.amount - cost;
            return true;
        }
    }
    return false;
}

static void
send_request(struct fleet *fleet, struct node *node, double cost)
{
    double kept = 0;
    ch_quota_credit_earn(&node->credit, &fleet->limits, node->share,
                         fleet->now);
    fleet->asked_sum += cost;
    if (fleet->uses_ranks) {
        ch_quota_ranks_add(&node->own_ranks, fleet->rank, cost, cost,
                           fleet->now);
        ch_quota_ranks_add(&node->unreported, fleet->rank, cost, cost,
                           fleet->now);
        kept = ch_quota_ranks_get_kept(&node->own_ranks, fleet->rank,
                                       fleet->limits.rate * node->share,
                                       fleet->now);
    }
    if (ch_quota_credit_take_ranked(&node->credit, &fleet->limits, node->share,
                                    cost, kept, fleet->now) ||
        withdraw(fleet, node, cost)) {
        fleet->admitted[fleet->step] += cost;
        fleet->admitted_sum += cost;
    }
    else {
        fleet->refused++;
    }
}

/* Sends the requests of one step at random nodes of the regions in use. */
static void
send_requests(struct fleet *fleet, double per_s, double cost,
              unsigned regions_in_use)
{
    double expected = per_s / STEPS_PER_SECOND;
    while (g_rand_double(fleet->random) < expected / (1 + expected)) {
        struct node *node = &fleet->nodes[g_rand_int_range(
            fleet->random, 0, (gint32)fleet->node_count)];
        if (node->up && (regions_in_use >> node->region & 1) != 0) {
            send_request(fleet, node,
                         cost * g_rand_double_range(fleet->random, 0.5, 1.5));
        }
    }
}

/* The platform confirms the nodes that reach it, each in its turn. */
static void
confirm_entries(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        struct node *node = &fleet->nodes[i];
        bool due = fleet->now - node->confirmed_at >=
                   (CONFIRM_S + i % 3 - 2) * (int64_t)SECOND;
        if (node->up && node->part == 0 && due) {
            node->confirmed_at = fleet->now;
        }
    }
}

static void
advance(struct fleet *fleet)
{
    fleet->now += STEP_US;
    fleet->step++;
    confirm_entries(fleet);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        /* Nodes deposit at different moments. */
        if (fleet->nodes[i].up && (fleet->step + i) % 5 == 0) {
            settle(fleet, &fleet->nodes[i]);
        }
    }
}

/* A killed process keeps nothing; the next one starts at once, or later. */
static void
kill_node(const struct fleet *fleet, struct node *node)
{
    node->begins_with_credit =
        ch_quota_may_begin_with_credit(&rule, fleet->now - node->started_at);
    node->started_at = fleet->now;
    memset(&node->credit, 0, sizeof(node->credit));
    memset(&node->pool, 0, sizeof(node->pool));
    memset(&node->own_ranks, 0, sizeof(node->own_ranks));
    memset(&node->unreported, 0, sizeof(node->unreported));
    memset(&node->share_state, 0, sizeof(node->share_state));
    node->share = 0;
}

/* The largest sum of any window. */
static double
get_largest_window(const struct fleet *fleet)
{
    enum {
        STEPS = WINDOW_S * STEPS_PER_SECOND
    };
    double sum = 0;
    double largest = 0;
    for (unsigned i = 0; i <= fleet->step; i++) {
        sum += fleet->admitted[i];
        sum -= i >= STEPS ? fleet->admitted[i - STEPS] : 0;
        largest = MAX(largest, sum);
    }
    return largest;
}

static double
get_bound(double rate, double burst)
{
    return (rate * WINDOW_S + burst) * (1 + rule.overshoot) + rule.slack;
}

/* ---- patterns ---- */

struct pattern {
    const char *name;
    unsigned node_count;
    double rate; /* also the burst */
    double cost;
    double load; /* of the rate */
    unsigned regions_before;
    unsigned regions_after; /* after half of the time */
    void (*fault)(struct fleet *fleet, unsigned step); /* may be NULL */
    double
        min_admitted; /* of what is asked, or of the quota if that is less */
};

/* All processes are killed at the same moment and start again. */
static void
kill_all(struct fleet *fleet, unsigned step)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (step == 15 * STEPS_PER_SECOND) {
            kill_node(fleet, &fleet->nodes[i]);
            fleet->nodes[i].up = false;
        }
        if (step == 16 * STEPS_PER_SECOND) {
            fleet->nodes[i].up = true;
        }
    }
}

/* The node that keeps a pool is killed every three seconds. */
static void
kill_pools(struct fleet *fleet, unsigned step)
{
    if (step % (3 * STEPS_PER_SECOND) == 0) {
        for (unsigned region = 0; region < MAX_REGIONS; region++) {
            struct node *pool = &fleet->nodes[region];
            pool->up = !pool->up;
            kill_node(fleet, pool);
        }
    }
}

/* A third of the nodes is cut off together for twelve seconds. */
static void
cut_third(struct fleet *fleet, unsigned step)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (step == 10 * STEPS_PER_SECOND && i % 3 == 0) {
            fleet->nodes[i].part = 1;
        }
        if (step == 22 * STEPS_PER_SECOND) {
            fleet->nodes[i].part = 0;
        }
    }
}

/* A third of the nodes is cut off, each alone. */
static void
cut_singly(struct fleet *fleet, unsigned step)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (step == 10 * STEPS_PER_SECOND && i % 3 == 0) {
            fleet->nodes[i].part = 1 + i;
        }
        if (step == 22 * STEPS_PER_SECOND) {
            fleet->nodes[i].part = 0;
        }
    }
}

static const struct pattern patterns[] = {
    {"small team, usual load", 75, 2700, 800, 0.55, 3, 3, NULL, 0.97},
    {"middle team, usual load", 75, 20000, 1000, 0.55, 3, 3, NULL, 0.99},
    {"large team, usual load", 75, 200000, 1000, 0.55, 3, 3, NULL, 0.999},
    {"few large requests", 75, 2700, 4000, 0.5, 3, 3, NULL, 0.85},
    {"large team, 7.5 times its usual", 75, 200000, 1000, 4.2, 3, 3, NULL,
     0.97},
    {"small team, 7.5 times its usual", 75, 2700, 800, 4.2, 3, 3, NULL, 0.95},
    {"callers move to another region", 75, 20000, 1000, 0.55, 1, 2, NULL,
     0.99},
    {"all in one region, at the limit", 75, 20000, 1000, 1.2, 1, 1, NULL,
     0.95},
    {"all killed at once", 75, 20000, 1000, 0.55, 3, 3, kill_all, 0.97},
    {"pools killed again and again", 75, 20000, 1000, 0.55, 3, 3, kill_pools,
     0.85},
    {"a third cut off together", 75, 20000, 1000, 0.55, 3, 3, cut_third, 0.98},
    {"a third cut off one by one", 75, 20000, 1000, 0.55, 3, 3, cut_singly,
     0.8},
    {"seven nodes, usual load", 7, 20000, 1000, 0.55, 3, 3, NULL, 0.99},
};

/* Runs a pattern for 30 s after 12 s without requests; returns the share that
 * was admitted. */
static double
run_pattern(const struct pattern *pattern, bool uses_pools)
{
    enum {
        QUIET_S = 12,
        PLAYED_S = 30
    };
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet_init(fleet, pattern->node_count, pattern->rate, pattern->rate,
               uses_pools, 7);
    for (unsigned i = 0; i < QUIET_S * STEPS_PER_SECOND; i++) {
        advance(fleet);
    }
    for (unsigned i = 0; i < PLAYED_S * STEPS_PER_SECOND; i++) {
        if (pattern->fault != NULL) {
            pattern->fault(fleet, i);
        }
        send_requests(fleet, pattern->load * pattern->rate / pattern->cost,
                      pattern->cost,
                      i < PLAYED_S * STEPS_PER_SECOND / 2
                          ? pattern->regions_before
                          : pattern->regions_after);
        advance(fleet);
    }
    double due = MIN(fleet->asked_sum, pattern->rate * PLAYED_S);
    double share = fleet->admitted_sum / due;
    g_assert_cmpfloat(get_largest_window(fleet), <=,
                      get_bound(pattern->rate, pattern->rate));
    g_rand_free(fleet->random);
    g_free(fleet);
    return share;
}

/* Guards against requests refused while their team has credit, and against
 * more requests than its quota allows. Equal shares of each node are played
 * for comparison. */
static void
test_pattern(gconstpointer data)
{
    const struct pattern *pattern = data;
    double pools = run_pattern(pattern, true);
    double equal = run_pattern(pattern, false);
    printf("figure: quota %s: admitted %.3f, by equal shares %.3f\n",
           pattern->name, pools, equal);
    g_assert_cmpfloat(pools, >=, pattern->min_admitted);
    g_assert_cmpfloat(pools, >=, equal - 0.03);
}

/* ---- ranks ---- */

enum {
    MAX_LOADS = 3
};

/* Loads of one team with a rate and burst of 20,000 over 75 nodes. */
static const struct rank_case {
    const char *name;
    struct {
        uint32_t rank;
        double load; /* of the rate */
        double cost;
        double min_admitted; /* of what is asked */
    } loads[MAX_LOADS];
    bool same; /* the ranks change nothing */
} rank_cases[] = {
    {"seven times its usual, urgent class costing most",
     {{0, 0.5, 4000, 0.97}, {1, 1.3, 1000, 0.3}, {2, 2, 500, 0}},
     false},
    {"urgent class beyond the quota",
     {{0, 1.5, 2000, 0.6}, {1, 1, 500, 0}, {2, 1, 500, 0}},
     false},
    {"within its quota",
     {{0, 0.2, 4000, 0.99}, {1, 0.2, 1000, 0.99}, {2, 0.15, 500, 0.99}},
     false},
    {"only the least urgent rank asks", {{9, 2, 1000, 0.45}}, true},
    {"large and small requests of a rank",
     {{0, 0.3, 1000, 0.97}, {1, 1, 4000, 0.3}, {1, 1, 200, 0.3}},
     false},
};

/* Plays a case for 40 s; admitted: of what each load asks, after 10 s. */
static void
run_ranks(const struct rank_case *row, bool uses_ranks,
          double admitted[MAX_LOADS])
{
    enum {
        PLAYED_S = 40,
        SETTLED_S = 10
    };
    const double rate = 20000;
    double asked[MAX_LOADS] = {0};
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet_init(fleet, 75, rate, rate, true, 11);
    fleet->uses_ranks = uses_ranks;
    memset(admitted, 0, MAX_LOADS * sizeof(*admitted));
    for (unsigned step = 0; step < PLAYED_S * STEPS_PER_SECOND; step++) {
        for (unsigned i = 0; i < MAX_LOADS && row->loads[i].cost > 0; i++) {
            double asked_before = fleet->asked_sum;
            double admitted_before = fleet->admitted_sum;
            fleet->rank = row->loads[i].rank;
            send_requests(fleet,
                          row->loads[i].load * rate / row->loads[i].cost,
                          row->loads[i].cost, 3);
            bool counts = step >= SETTLED_S * STEPS_PER_SECOND;
            asked[i] += counts ? fleet->asked_sum - asked_before : 0;
            admitted[i] += counts ? fleet->admitted_sum - admitted_before : 0;
        }
        advance(fleet);
    }
    for (unsigned i = 0; i < MAX_LOADS; i++) {
        admitted[i] /= MAX(asked[i], 1);
    }
    g_assert_cmpfloat(get_largest_window(fleet), <=, get_bound(rate, rate));
    g_rand_free(fleet->random);
    g_free(fleet);
}

/* Guards against urgent requests refused for less urgent ones of their team,
 * against a rank of which the large requests are never served, and against
 * ranks that change anything for a team within its quota. */
static void
test_ranks(gconstpointer data)
{
    const struct rank_case *row = data;
    double ranked[MAX_LOADS];
    double unranked[MAX_LOADS];
    run_ranks(row, true, ranked);
    run_ranks(row, false, unranked);
    for (unsigned i = 0; i < MAX_LOADS && row->loads[i].cost > 0; i++) {
        printf("figure: quota ranks %s: rank %u cost %.0f: admitted %.3f, "
               "without ranks %.3f\n",
               row->name, row->loads[i].rank, row->loads[i].cost, ranked[i],
               unranked[i]);
        g_assert_cmpfloat(ranked[i], >=, row->loads[i].min_admitted);
        g_assert_true(!row->same || ranked[i] == unranked[i]);
    }
}

/* ---- random faults ---- */

/* One random fault: a cut, the end of all cuts, or a killed process. */
static void
add_fault(struct fleet *fleet)
{
    unsigned kind = (unsigned)g_rand_int_range(fleet->random, 0, 4);
    unsigned parts = (unsigned)g_rand_int_range(fleet->random, 2, 5);
    for (unsigned i = 0; i < fleet->node_count; i++) {
        struct node *node = &fleet->nodes[i];
        bool hit = g_rand_boolean(fleet->random);
        if (kind == 0 && hit) {
            node->part =
                (unsigned)g_rand_int_range(fleet->random, 0, (gint32)parts);
        }
        else if (kind == 1) {
            node->part = 0;
        }
        else if (kind == 2 && hit) {
            kill_node(fleet, node);
            node->up = !node->up;
        }
        else if (kind == 3) {
            kill_node(fleet, node);
            node->up = true;
        }
    }
}

/* Guards against more requests than a quota allows, whatever is cut off,
 * killed and restarted, and however often, while a team sends several times
 * its quota at all nodes. */
static void
test_random_faults(gconstpointer data)
{
    bool uses_ranks = GPOINTER_TO_INT(data) != 0;
    enum {
        SEEDS = 200,
        PLAYED_S = 80
    };
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        double rate = seed % 2 == 0 ? 2700 : 100000;
        struct fleet *fleet = g_new0(struct fleet, 1);
        fleet_init(fleet, 10 + seed % 20, rate, rate, true, seed);
        fleet->uses_ranks = uses_ranks;
        for (unsigned i = 0; i < PLAYED_S * STEPS_PER_SECOND; i++) {
            if (g_rand_double(fleet->random) < 0.3 / STEPS_PER_SECOND) {
                add_fault(fleet);
            }
            /* Idle for a while, then much at once. */
            bool idle = i / (10 * STEPS_PER_SECOND) % 2 == 0;
            fleet->rank = i % CH_QUOTA_RANK_COUNT;
            send_requests(fleet, idle ? 0 : 6 * rate / 1000, 1000, 3);
            advance(fleet);
        }
        g_test_message("seed %u: %.0f of %.0f", seed,
                       get_largest_window(fleet), get_bound(rate, rate));
        g_assert_cmpfloat(get_largest_window(fleet), <=,
                          get_bound(rate, rate));
        g_rand_free(fleet->random);
        g_free(fleet);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota/share", test_share);
    g_test_add_func("/quota/sides-of-cut", test_sides_of_cut);
    g_test_add_func("/quota/pool", test_pool);
    g_test_add_func("/quota/returns-spread", test_returns_spread);
    g_test_add_func("/quota/begins-in-debt", test_begins_in_debt);
    g_test_add_func("/quota/lowered", test_lowered);
    g_test_add_func("/quota/credit", test_credit);
    for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
        g_autofree char *path =
            g_strdup_printf("/quota/pattern/%s", patterns[i].name);
        g_test_add_data_func(path, &patterns[i], test_pattern);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rank_cases); i++) {
        g_autofree char *path =
            g_strdup_printf("/quota/ranks/%s", rank_cases[i].name);
        g_test_add_data_func(path, &rank_cases[i], test_ranks);
    }
    g_test_add_data_func("/quota/random-faults", GINT_TO_POINTER(0),
                         test_random_faults);
    g_test_add_data_func("/quota/random-faults-ranks", GINT_TO_POINTER(1),
                         test_random_faults);
    return g_test_run();
}
