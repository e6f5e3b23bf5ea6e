#ifndef CH_TESTS_LIMIT_FLEET_H
#define CH_TESTS_LIMIT_FLEET_H

/*
 * A fleet in virtual time that calls one upstream with a limit, in one of
 * several ways. Nodes are killed, stand still and are cut off; each knows of
 * the others what was true DETECT_US ago.
 */

#include "limit/limit.h"
#include "quota/quota.h"

enum {
    FLEET_MAX_NODES = 320,
    FLEET_STEP_US = 10 * 1000,
    FLEET_DETECT_US = 1500 * 1000,
    FLEET_WINDOW_US = 4 * G_USEC_PER_SEC,
    FLEET_SETTLE_US = 250 * 1000, /* between deposits in the pool */
    FLEET_REFRESH_US = 1000 * 1000,
    FLEET_MAX_CALLS = 200000,
    FLEET_MAX_HISTORY = 64,
};

enum fleet_way {
    FLEET_COUNTER, /* one node counts */
    FLEET_SHARES,  /* each node has an equal share */
    FLEET_POOLS,   /* credit that is moved between nodes, as for quotas */
    FLEET_WAYS
};

/* What was true of a node from a point in time. */
struct fleet_change {
    int64_t at;
    bool running;
    unsigned side; /* of a cut */
};

struct fleet_node {
    uint64_t weight; /* in the choice of the counting node */
    struct fleet_change changes[FLEET_MAX_HISTORY];
    unsigned change_count;
    bool knows_limit;
    bool frozen; /* stands still and keeps what it knows */
    struct ch_limit_counter counter;
    struct ch_quota_credit credit;
    struct ch_quota_pool pool;
};

struct fleet_call {
    int64_t at;
    unsigned node;
};

struct fleet {
    enum fleet_way way;
    unsigned node_count;
    double per_s; /* the limit */
    int64_t now;
    struct fleet_node nodes[FLEET_MAX_NODES];
    struct fleet_call *calls;
    unsigned call_count;
    unsigned wanted;
    uint64_t messages;
    GRand *random;
};

static inline struct fleet *
fleet_new(enum fleet_way way, unsigned node_count, double per_s, guint32 seed)
{
    struct fleet *fleet = g_new0(struct fleet, 1);
    fleet->way = way;
    fleet->node_count = node_count;
    fleet->per_s = per_s;
    fleet->now = 100 * G_USEC_PER_SEC;
    fleet->calls = g_new(struct fleet_call, FLEET_MAX_CALLS);
    fleet->random = g_rand_new_with_seed(seed);
    for (unsigned i = 0; i < node_count; i++) {
        fleet->nodes[i].weight = ch_hash(&i, sizeof(i));
        fleet->nodes[i].changes[0] = (struct fleet_change){0, true, 0};
        fleet->nodes[i].change_count = 1;
    }
    return fleet;
}

static inline void
fleet_free(struct fleet *fleet)
{
    g_rand_free(fleet->random);
    g_free(fleet->calls);
    g_free(fleet);
}

/* What was true of a node at a point in time. */
static inline const struct fleet_change *
fleet_at(const struct fleet_node *node, int64_t at)
{
    unsigned i = node->change_count - 1;
    while (i > 0 && node->changes[i].at > at) {
        i--;
    }
    return &node->changes[i];
}

static inline void
fleet_change(struct fleet *fleet, unsigned index, bool running, unsigned side)
{
    struct fleet_node *node = &fleet->nodes[index];
    g_assert_cmpuint(node->change_count, <, FLEET_MAX_HISTORY);
    node->changes[node->change_count++] =
        (struct fleet_change){fleet->now, running, side};
}

/* Ends a node's process, or starts a new one that knows nothing. */
static inline void
fleet_set_running(struct fleet *fleet, unsigned index, bool running)
{
    struct fleet_node *node = &fleet->nodes[index];
    fleet_change(fleet, index, running, fleet_at(node, fleet->now)->side);
    node->knows_limit = false;
    node->frozen = false;
    node->counter = (struct ch_limit_counter){0};
    node->credit = (struct ch_quota_credit){0};
    node->pool = (struct ch_quota_pool){0};
}

static inline void
fleet_set_side(struct fleet *fleet, unsigned index, unsigned side)
{
    fleet_change(fleet, index,
                 fleet_at(&fleet->nodes[index], fleet->now)->running, side);
}

/* A node that stands still answers nobody, like one that does not run. */
static inline void
fleet_set_frozen(struct fleet *fleet, unsigned index, bool frozen)
{
    fleet_change(fleet, index, !frozen,
                 fleet_at(&fleet->nodes[index], fleet->now)->side);
    fleet->nodes[index].frozen = frozen;
}

/* Whether two nodes reach each other now. */
static inline bool
fleet_reaches(const struct fleet *fleet, unsigned from, unsigned to)
{
    const struct fleet_change *a = fleet_at(&fleet->nodes[from], fleet->now);
    const struct fleet_change *b = fleet_at(&fleet->nodes[to], fleet->now);
    return a->running && b->running && a->side == b->side;
}

/* The node that counts, as one node sees it, and how many it hears. */
static inline unsigned
fleet_find_counter(const struct fleet *fleet, unsigned from, unsigned *live)
{
    int64_t seen_at = fleet->now - FLEET_DETECT_US;
    unsigned side = fleet_at(&fleet->nodes[from], seen_at)->side;
    unsigned best = from;
    *live = 0;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        const struct fleet_change *seen = fleet_at(&fleet->nodes[i], seen_at);
        if (i != from && (!seen->running || seen->side != side)) {
            continue;
        }
        ++*live;
        if (fleet->nodes[i].weight > fleet->nodes[best].weight) {
            best = i;
        }
    }
    return best;
}

/* The counting node tells all that it reaches. */
static inline void
fleet_tell_all(struct fleet *fleet, unsigned counter)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        if (fleet_reaches(fleet, counter, i)) {
            fleet->nodes[i].knows_limit = true;
            fleet->messages += i != counter ? 1 : 0;
        }
    }
}

static inline bool
fleet_ask_counter(struct fleet *fleet, unsigned from)
{
    unsigned live = 0;
    unsigned counter = fleet_find_counter(fleet, from, &live);
    fleet->messages += counter != from ? 2 : 0;
    if (!fleet_reaches(fleet, from, counter)) {
        return false;
    }
    (void)fleet_find_counter(fleet, counter, &live);
    if (!fleet->nodes[counter].knows_limit) {
        fleet_tell_all(fleet, counter);
    }
    return ch_limit_counter_take(&fleet->nodes[counter].counter, fleet->per_s,
                                 ch_limit_get_part(live, fleet->node_count),
                                 false, fleet->now)
        .granted;
}

/* The limit as a quota: 1.5 times it and 5 calls, in any 4 s. */
static inline struct ch_quota_limits
fleet_get_quota(const struct fleet *fleet)
{
    static const struct ch_quota_rule rule = {4, 0.5, 5};
    struct ch_quota_limits limits;
    ch_quota_limits_init(&limits, fleet->per_s, 0, &rule);
    return limits;
}

static inline bool
fleet_ask_pool(struct fleet *fleet, unsigned from)
{
    const struct ch_quota_limits limits = fleet_get_quota(fleet);
    unsigned live = 0;
    double share = 1.0 / fleet->node_count;
    struct fleet_node *node = &fleet->nodes[from];
    ch_quota_credit_earn(&node->credit, &limits, share, fleet->now);
    if (ch_quota_credit_take(&node->credit, 1, fleet->now)) {
        return true;
    }
    unsigned pool = fleet_find_counter(fleet, from, &live);
    fleet->messages += pool != from ? 2 : 0;
    return fleet_reaches(fleet, from, pool) &&
           ch_quota_pool_withdraw(&fleet->nodes[pool].pool, &limits, 1, 1, 0,
                                  fleet->now)
                   .amount >= 1;
}

/* Moves what nodes do not need to the pool. */
static inline void
fleet_settle(struct fleet *fleet)
{
    const struct ch_quota_limits limits = fleet_get_quota(fleet);
    double share = 1.0 / fleet->node_count;
    for (unsigned i = 0; i < fleet->node_count; i++) {
        struct fleet_node *node = &fleet->nodes[i];
        if (!fleet_at(node, fleet->now)->running) {
            continue;
        }
        unsigned live = 0;
        unsigned pool = fleet_find_counter(fleet, i, &live);
        ch_quota_credit_earn(&node->credit, &limits, share, fleet->now);
        double amount = ch_quota_credit_take_surplus(&node->credit, &limits,
                                                     share, fleet->now);
        fleet->messages += pool != i ? 1 : 0;
        if (fleet_reaches(fleet, i, pool)) {
            ch_quota_pool_deposit(&fleet->nodes[pool].pool, &limits, 1,
                                  amount);
        }
    }
}

/* A node that hears of the limit tells the counting node, if that does not
 * know, and that one tells all. */
static inline void
fleet_hear(struct fleet *fleet, unsigned from)
{
    unsigned live = 0;
    unsigned counter = fleet_find_counter(fleet, from, &live);
    fleet->nodes[from].knows_limit = true;
    if (!fleet_reaches(fleet, from, counter)) {
        return;
    }
    fleet->messages += counter != from ? 1 : 0;
    if (!fleet->nodes[counter].knows_limit || counter == from) {
        fleet_tell_all(fleet, counter);
    }
}

/* Counting nodes tell those that they reach, again and again. */
static inline void
fleet_refresh(struct fleet *fleet)
{
    for (unsigned i = 0; i < fleet->node_count; i++) {
        unsigned live = 0;
        if (fleet->nodes[i].knows_limit &&
            fleet_at(&fleet->nodes[i], fleet->now)->running &&
            fleet_find_counter(fleet, i, &live) == i) {
            fleet_tell_all(fleet, i);
        }
    }
}

/* A request at a node that would go to the upstream. A node that does not know
 * of the limit sends it, and knows from the response. */
static inline void
fleet_want_call(struct fleet *fleet, unsigned from)
{
    struct fleet_node *node = &fleet->nodes[from];
    if (!fleet_at(node, fleet->now)->running) {
        return;
    }
    fleet->wanted++;
    bool granted = !node->knows_limit;
    if (!granted) {
        switch (fleet->way) {
        case FLEET_COUNTER:
            granted = fleet_ask_counter(fleet, from);
            break;
        case FLEET_SHARES:
            granted = ch_limit_counter_take(&node->counter, fleet->per_s,
                                            1.0 / fleet->node_count, false,
                                            fleet->now)
                          .granted;
            break;
        default:
            granted = fleet_ask_pool(fleet, from);
            break;
        }
    }
    if (!node->knows_limit) {
        fleet_hear(fleet, from);
    }
    if (granted) {
        g_assert_cmpuint(fleet->call_count, <, FLEET_MAX_CALLS);
        fleet->calls[fleet->call_count++] =
            (struct fleet_call){fleet->now, from};
    }
}

/* Runs for a time with so many wanted calls a second, at random nodes. */
static inline void
fleet_run(struct fleet *fleet, int64_t duration, double wanted_per_s)
{
    double step_s = (double)FLEET_STEP_US / G_USEC_PER_SEC;
    for (int64_t end = fleet->now + duration; fleet->now < end;
         fleet->now += FLEET_STEP_US) {
        double wanted = wanted_per_s * step_s;
        for (; wanted > 0; wanted--) {
            if (g_rand_double(fleet->random) < wanted) {
                fleet_want_call(
                    fleet, (unsigned)g_rand_int_range(
                               fleet->random, 0, (gint32)fleet->node_count));
            }
        }
        if (fleet->way == FLEET_POOLS &&
            fleet->now % FLEET_SETTLE_US < FLEET_STEP_US) {
            fleet_settle(fleet);
        }
        if (fleet->now % FLEET_REFRESH_US < FLEET_STEP_US) {
            fleet_refresh(fleet);
        }
    }
}

/* Whether the bound leaves out a call's node: it was restarted, stood still or
 * was cut off in the window before. */
static inline bool
fleet_is_excused(const struct fleet *fleet, const struct fleet_call *call,
                 int64_t window_end)
{
    const struct fleet_node *node = &fleet->nodes[call->node];
    const struct fleet_change *last = fleet_at(node, window_end);
    return last->side != 0 ||
           (node->change_count > 1 &&
            window_end - last->at < 2 * (int64_t)FLEET_WINDOW_US);
}

/* The most calls in any window that ends after `from`. */
static inline unsigned
fleet_find_most(const struct fleet *fleet, int64_t from, bool excuse)
{
    unsigned most = 0;
    for (unsigned i = 0; i < fleet->call_count; i++) {
        int64_t end = fleet->calls[i].at;
        unsigned count = 0;
        for (unsigned j = i + 1; end >= from && j-- > 0 &&
                                 fleet->calls[j].at > end - FLEET_WINDOW_US;) {
            count += excuse && fleet_is_excused(fleet, &fleet->calls[j], end)
                         ? 0
                         : 1;
        }
        most = MAX(most, count);
    }
    return most;
}

/* What an upstream may get in a window. */
static inline double
fleet_get_bound(const struct fleet *fleet)
{
    return 1.5 * fleet->per_s * FLEET_WINDOW_US / G_USEC_PER_SEC + 5;
}

#endif
