/* Credit of a team by rank: the decision for one request. Whole fleets are in
 * test_quota.c. */

#include "quota/quota.h"

enum {
    SECOND = G_USEC_PER_SEC,
    STEP_US = 50 * 1000,
    STEPS_PER_SECOND = SECOND / STEP_US,
};

/* What is kept for more urgent ranks, of an income of 1,000 a second, after
 * rank 1 asked for so much a second in requests of 100. */
static const struct {
    const char *name;
    double before_per_s; /* for 20 s */
    double per_s;        /* then, for 10 s */
    uint32_t rank;
    bool keeps;
} kept_cases[] = {
    {"more than the income", 1200, 1200, 2, true},
    {"the most urgent rank", 1200, 1200, 1, false},
    {"a rank above the last", 1200, 1200, 4000, true},
    {"within the income", 800, 800, 2, false},
    {"less than before, but not by much", 1200, 900, 2, true},
    {"more than before, but within the income", 800, 900, 2, false},
    {"much less than before", 1200, 700, 2, false},
    {"no more requests", 1200, 0, 2, false},
};

/* Guards against ranks that are switched on or off with each request, and
 * against a node that takes a pool over and knows another one's demand. */
static void
test_kept(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kept_cases); i++) {
        struct ch_quota_pool pool = {.open = true};
        int64_t now = SECOND;
        for (unsigned step = 0; step < 30 * STEPS_PER_SECOND; step++) {
            bool before = step < 20 * STEPS_PER_SECOND;
            double per_s =
                before ? kept_cases[i].before_per_s : kept_cases[i].per_s;
            now += STEP_US;
            ch_quota_ranks_add(&pool.ranks, 1, per_s / STEPS_PER_SECOND, 100,
                               now);
            (void)ch_quota_ranks_get_kept(&pool.ranks, 0, 1000, now);
        }
        g_test_message("%s", kept_cases[i].name);
        double kept = ch_quota_ranks_get_kept(&pool.ranks, kept_cases[i].rank,
                                              1000, now);
        g_assert_true((kept > 0) == kept_cases[i].keeps);
        (void)ch_quota_pool_close(&pool);
        g_assert_cmpfloat(ch_quota_ranks_get_kept(&pool.ranks, 9, 1000, now),
                          ==, 0);
    }
}

/* Guards against a refused rank that is told to return before its credit and
 * that of the more urgent ranks is there, or with all others at once. */
static void
test_ranked_returns(void)
{
    const struct ch_quota_limits limits = {1000, 4000, 100, 0};
    const struct ch_quota_claim claim = {.cost = 200, .rank = 3};
    struct ch_quota_pool pool = {.open = true, .level = 500};
    ch_quota_ranks_add(&pool.ranks, 0, 2400, 400, SECOND);
    /* Kept: the largest, half of 600 and 100 beyond the income; missing 700.
     */
    for (int64_t i = 0; i < 5; i++) {
        struct ch_quota_answer answer =
            ch_quota_pool_withdraw_ranked(&pool, &limits, 1, &claim, SECOND);
        g_assert_true(answer.ranked);
        g_assert_cmpint(answer.retry_after, >=, 690000 + i * 200000);
        g_assert_cmpint(answer.retry_after, <=, 710000 + i * 200000);
    }
    const struct ch_quota_claim urgent = {.cost = 400};
    g_assert_cmpfloat(
        ch_quota_pool_withdraw_ranked(&pool, &limits, 1, &urgent, SECOND)
            .amount,
        ==, 400);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/quota-ranks/kept", test_kept);
    g_test_add_func("/quota-ranks/returns", test_ranked_returns);
    return g_test_run();
}
