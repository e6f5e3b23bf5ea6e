/* Eras of the key-value store, and which of two entries is older. */

#include "eras/eras.h"

/* Guards against numbers of two eras that compare the wrong way round. */
static void
test_numbers(void)
{
    static const struct {
        uint64_t era;
        uint64_t number;
        uint64_t joined; /* 0: does not fit */
    } rows[] = {
        {0, 0, 0},
        {0, 1, 1},
        {0, 4711, 4711},
        {1, 1, (UINT64_C(1) << 40) + 1},
        {2, 5, (UINT64_C(2) << 40) + 5},
        {0, (UINT64_C(1) << 40) - 1, (UINT64_C(1) << 40) - 1},
        {0, UINT64_C(1) << 40, 0},
        {CH_ERA_MAX, 1, (UINT64_C(8191) << 40) + 1},
        {CH_ERA_MAX + 1, 1, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        uint64_t joined = ch_era_join(rows[i].era, rows[i].number);
        g_assert_cmpuint(joined, ==, rows[i].joined);
        g_assert_cmpuint(joined, <, UINT64_C(1) << 53);
        if (joined != 0) {
            g_assert_cmpuint(ch_era_get_era(joined), ==, rows[i].era);
            g_assert_cmpuint(ch_era_get_number(joined), ==, rows[i].number);
        }
    }
}

/* Guards against a response of another era that is taken for one of the era in
 * which the call was sent. */
static void
test_tracker(void)
{
    static const struct {
        int sent; /* the era known when the call was sent; -1: none */
        int known;
        uint64_t era;
        enum ch_era_order order;
        uint64_t returns;
    } rows[] = {
        {-1, -1, 0, CH_ERA_SAME, 0},  {-1, -1, 5, CH_ERA_SAME, 0},
        {-1, 5, 5, CH_ERA_SAME, 0},   {5, 5, 5, CH_ERA_SAME, 0},
        {5, 5, 6, CH_ERA_LATER, 1},   {5, 6, 6, CH_ERA_LATER, 0},
        {5, 6, 5, CH_ERA_EARLIER, 0}, {-1, 6, 5, CH_ERA_EARLIER, 0},
        {5, 5, 8, CH_ERA_LATER, 1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct ch_era_tracker sent = {
            .known = rows[i].sent >= 0, .era = (uint64_t)MAX(rows[i].sent, 0)};
        struct ch_era_tracker tracker = {.known = rows[i].known >= 0,
                                         .era =
                                             (uint64_t)MAX(rows[i].known, 0)};
        g_test_message("row %zu", i);
        g_assert_cmpint(ch_era_tracker_observe(&tracker, &sent, rows[i].era),
                        ==, rows[i].order);
        g_assert_cmpuint(tracker.returns, ==, rows[i].returns);
        g_assert_cmpuint(tracker.era, >=, rows[i].era);
    }
}

/* Guards against an older entry of a copy that makes an upstream which drains
 * ready again, or brings back one that is gone. */
static void
test_entries(void)
{
    static const struct {
        struct ch_entry_stamp known;
        struct ch_entry_stamp offered;
        bool is_older;
        bool precedes_removal; /* if the known one was removed */
    } rows[] = {
        {{5, 9, false}, {5, 9, false}, false, true},
        {{5, 9, false}, {5, 8, false}, true, true},
        {{5, 9, false}, {5, 10, false}, false, false},
        {{5, 9, false}, {5, 10, true}, false, false},
        {{5, 9, true}, {5, 9, false}, true, true},
        {{5, 9, true}, {5, 10, false}, true, false},
        {{5, 9, true}, {7, 1, false}, false, false},
        {{5, 9, false}, {4, 20, false}, true, true},
        {{5, 0, false}, {5, 0, false}, false, false},
        {{5, 0, false}, {4, 0, false}, true, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("row %zu", i);
        g_assert_cmpint(ch_entry_is_older(&rows[i].known, &rows[i].offered),
                        ==, rows[i].is_older);
        g_assert_cmpint(
            ch_entry_precedes_removal(&rows[i].known, &rows[i].offered), ==,
            rows[i].precedes_removal);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/eras/numbers", test_numbers);
    g_test_add_func("/eras/tracker", test_tracker);
    g_test_add_func("/eras/entries", test_entries);
    return g_test_run();
}
