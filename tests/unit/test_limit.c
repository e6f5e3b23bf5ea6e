/* Limits that upstreams name: the header's values, and responses that come
 * out of order. */

#include "unit/limit_fleet.h"

#define SECONDS(count) ((int64_t)(count)*G_USEC_PER_SEC)
#define SECOND SECONDS(1)
#define START SECONDS(50)

/* Guards against values that are no decimal number being taken for a limit,
 * or for its end. */
static void
test_reading(void)
{
    static const struct {
        const char *text;
        enum ch_limit_reading_kind kind;
        double per_s;
    } rows[] = {
        {NULL, CH_LIMIT_ABSENT, 0},
        {"", CH_LIMIT_UNREADABLE, 0},
        {" ", CH_LIMIT_UNREADABLE, 0},
        {"nan", CH_LIMIT_UNREADABLE, 0},
        {"NaN", CH_LIMIT_UNREADABLE, 0},
        {"inf", CH_LIMIT_UNREADABLE, 0},
        {"-1", CH_LIMIT_UNREADABLE, 0},
        {"+1", CH_LIMIT_UNREADABLE, 0},
        {"1e3", CH_LIMIT_UNREADABLE, 0},
        {"0x10", CH_LIMIT_UNREADABLE, 0},
        {"1.5 a second", CH_LIMIT_UNREADABLE, 0},
        {"1.5.2", CH_LIMIT_UNREADABLE, 0},
        {".", CH_LIMIT_UNREADABLE, 0},
        {"999999999999999999999999999999999", CH_LIMIT_UNREADABLE, 0},
        {"0", CH_LIMIT_NAMED, 0},
        {"1.1", CH_LIMIT_NAMED, 1.1},
        {" 2 ", CH_LIMIT_NAMED, 2},
        {"40", CH_LIMIT_NAMED, 40},
        {"0.5", CH_LIMIT_NAMED, 0.5},
        {"2,1.5", CH_LIMIT_NAMED, 1.5},
        {"1.5, 2", CH_LIMIT_NAMED, 1.5},
        {"nan,2", CH_LIMIT_NAMED, 2},
        {"2,", CH_LIMIT_NAMED, 2},
        {"nan,-1", CH_LIMIT_UNREADABLE, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_limit_reading reading = ch_limit_read(rows[i].text);
        g_test_message("%s", rows[i].text == NULL ? "none" : rows[i].text);
        g_assert_cmpint(reading.kind, ==, rows[i].kind);
        g_assert_cmpfloat_with_epsilon(reading.per_s, rows[i].per_s, 1e-9);
    }
}

/* Guards against a slow response from before a change bringing a limit back,
 * or ending it. Times in seconds; a limit below 0: none is named. */
static void
test_order_of_responses(void)
{
    enum {
        MAX_STEPS = 4
    };
    static const struct {
        const char *name;
        struct {
            double per_s;
            int sent;
            int received;
            enum ch_limit_change change;
        } steps[MAX_STEPS];
        size_t count;
        bool limited;
    } rows[] = {
        {"no limit is named", {{-1, 1, 2, CH_LIMIT_UNCHANGED}}, 1, false},
        {"named", {{2, 1, 2, CH_LIMIT_SET}}, 1, true},
        {"named again",
         {{2, 1, 2, CH_LIMIT_SET}, {2, 3, 4, CH_LIMIT_UNCHANGED}},
         2,
         true},
        {"raised",
         {{2, 1, 2, CH_LIMIT_SET}, {3, 3, 4, CH_LIMIT_REVISED}},
         2,
         true},
        {"an older value comes late",
         {{2, 3, 4, CH_LIMIT_SET}, {3, 1, 5, CH_LIMIT_UNCHANGED}},
         2,
         true},
        {"ended",
         {{2, 1, 2, CH_LIMIT_SET}, {-1, 2, 3, CH_LIMIT_LIFTED}},
         2,
         false},
        {"a response from before the limit comes late",
         {{2, 2, 3, CH_LIMIT_SET}, {-1, 1, 4, CH_LIMIT_UNCHANGED}},
         2,
         true},
        {"a limited response comes after the end",
         {{2, 1, 2, CH_LIMIT_SET},
          {-1, 4, 5, CH_LIMIT_LIFTED},
          {2, 3, 6, CH_LIMIT_UNCHANGED}},
         3,
         false},
        {"named anew after the end",
         {{2, 1, 2, CH_LIMIT_SET},
          {-1, 3, 4, CH_LIMIT_LIFTED},
          {1, 5, 6, CH_LIMIT_SET}},
         3,
         true},
        {"the end is seen once the last limited response is older",
         {{2, 1, 2, CH_LIMIT_SET},
          {2, 3, 6, CH_LIMIT_UNCHANGED},
          {-1, 5, 7, CH_LIMIT_UNCHANGED},
          {-1, 6, 8, CH_LIMIT_LIFTED}},
         4,
         false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_limit_state state = {0};
        g_test_message("%s", rows[i].name);
        for (size_t j = 0; j < rows[i].count; j++) {
            const struct ch_limit_observation observation = {
                .named = rows[i].steps[j].per_s >= 0,
                .per_s = rows[i].steps[j].per_s,
                .sent_at = SECONDS(rows[i].steps[j].sent),
                .received_at = SECONDS(rows[i].steps[j].received),
            };
            g_assert_cmpint(ch_limit_state_observe(&state, &observation), ==,
                            rows[i].steps[j].change);
        }
        g_assert_true(ch_limit_state_is_limited(&state) == rows[i].limited);
    }
}

/* ---- the count ---- */

/* Guards against a counter that begins with credit, forgets what it gave out,
 * or names a time at which no call may go. */
static void
test_counter(void)
{
    static const struct {
        const char *name;
        double per_s;
        double part;
        int64_t idle;        /* from the first call until the next ones */
        int64_t retry_after; /* of the call after those */
        unsigned granted;
        bool last_resort;
    } rows[] = {
        {"at the beginning", 2, 1, 0, SECOND, 0, false},
        {"at the beginning, last resort", 2, 1, 0, SECOND, 0, true},
        {"after a second", 2, 1, SECOND, SECOND / 2, 1, false},
        {"after a second, last resort", 2, 1, SECOND, SECOND / 2, 2, true},
        {"no more than a burst", 2, 1, SECONDS(60), SECOND / 2, 2, false},
        {"no more than a burst, last resort", 2, 1, SECONDS(60), SECOND / 2, 3,
         true},
        {"a larger limit has a larger burst", 40, 1, SECONDS(60), 50000, 22,
         true},
        {"half of the nodes", 2, 0.5, SECONDS(60), SECOND, 1, false},
        {"below one a second", 0.5, 1, SECONDS(2), SECONDS(2), 1, true},
        {"0 a second", 0, 1, SECONDS(5), SECONDS(5), 1, true},
        {"no list of nodes", 2, 0, SECOND, SECONDS(10), 0, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_limit_counter counter = {0};
        struct ch_limit_permission permission = ch_limit_counter_take(
            &counter, rows[i].per_s, rows[i].part, rows[i].last_resort, START);
        g_test_message("%s", rows[i].name);
        g_assert_false(permission.granted);
        unsigned granted = 0;
        do {
            permission = ch_limit_counter_take(
                &counter, rows[i].per_s, rows[i].part, rows[i].last_resort,
                START + rows[i].idle);
            granted += permission.granted ? 1 : 0;
        } while (permission.granted);
        g_assert_cmpuint(granted, ==, rows[i].granted);
        g_assert_cmpfloat_with_epsilon((double)permission.retry_after,
                                       (double)rows[i].retry_after, 1000);
    }
}

/* Guards against refused callers that all return at the same moment, and are
 * refused again. */
static void
test_reserved_times(void)
{
    struct ch_limit_counter counter = {0};
    int64_t before = 0;
    for (int i = 0; i < 5; i++) {
        const struct ch_limit_permission permission =
            ch_limit_counter_take(&counter, 2, 1, true, START);
        g_assert_false(permission.granted);
        g_assert_cmpint(permission.retry_after, ==, before + SECOND / 2);
        before = permission.retry_after;
    }
    for (int i = 1; i <= 5; i++) {
        g_assert_true(ch_limit_counter_take(&counter, 2, 1, true,
                                            START + SECONDS(i) / 2 + 1)
                          .granted);
    }
}

/* Guards against calls that other upstreams could take using up what the only
 * upstream of some requests takes. */
static void
test_last_resort(void)
{
    struct ch_limit_counter counter = {0};
    unsigned last_resort = 0;
    unsigned others = 0;
    for (int64_t now = START; now < START + SECONDS(20); now += 10000) {
        others +=
            ch_limit_counter_take(&counter, 2, 1, false, now).granted ? 1 : 0;
        if (now % SECOND == 0) {
            last_resort +=
                ch_limit_counter_take(&counter, 2, 1, true, now).granted ? 1
                                                                         : 0;
        }
    }
    g_assert_cmpuint(last_resort, >=, 18);
    g_assert_cmpuint(others, >, 10);
    g_assert_cmpuint(others + last_resort, <=, 41);
}

/* ---- fleets ---- */

/* Guards against the calls of all nodes adding up to more than the upstream
 * takes, at any size of the fleet. */
static void
test_fleet_sizes(void)
{
    static const double limits[] = {0.5, 1.1, 2, 40};
    static const unsigned sizes[] = {1, 7, 75, 300};
    for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(sizes); j++) {
            struct fleet *fleet =
                fleet_new(FLEET_COUNTER, sizes[j], limits[i], 1);
            int64_t start = fleet->now;
            fleet_hear(fleet, 0);
            fleet_run(fleet, SECONDS(30), 4 * limits[i] + 2);
            unsigned most =
                fleet_find_most(fleet, start + FLEET_WINDOW_US, false);
            g_test_message("limit %.1f, %u nodes: %u", limits[i], sizes[j],
                           most);
            g_assert_cmpfloat(most, <=, fleet_get_bound(fleet));
            g_assert_cmpfloat(fleet->call_count, >=, limits[i] * 30 / 2);
            fleet_free(fleet);
        }
    }
}

/* One random event: a node ends, starts, stands still, goes on, or changes
 * its side of a cut. */
static void
random_event(struct fleet *fleet)
{
    unsigned index = (unsigned)g_rand_int_range(fleet->random, 0,
                                                (gint32)fleet->node_count);
    struct fleet_node *node = &fleet->nodes[index];
    const struct fleet_change *now = fleet_at(node, fleet->now);
    if (node->change_count + 1 >= FLEET_MAX_HISTORY) {
        return;
    }
    switch (g_rand_int_range(fleet->random, 0, 3)) {
    case 0:
        fleet_set_running(fleet, index, !now->running);
        break;
    case 1:
        if (now->running || node->frozen) {
            fleet_set_frozen(fleet, index, now->running);
        }
        break;
    default:
        fleet_set_side(fleet, index, 1 - now->side);
        break;
    }
}

/* Guards against two nodes that both count, or one that counts anew, giving
 * out more than the upstream takes to nodes that are well. */
static void
test_random_faults(void)
{
    static const double limits[] = {0.5, 1.1, 2, 40};
    static const unsigned sizes[] = {2, 7, 20};
    enum {
        SEEDS = 60,
        EVENTS = 15
    };
    for (guint32 seed = 0; seed < SEEDS; seed++) {
        double per_s = limits[seed % G_N_ELEMENTS(limits)];
        struct fleet *fleet = fleet_new(
            FLEET_COUNTER, sizes[seed % G_N_ELEMENTS(sizes)], per_s, seed);
        int64_t start = fleet->now;
        fleet_hear(fleet, 0);
        for (int i = 0; i < EVENTS; i++) {
            fleet_run(fleet,
                      g_rand_int_range(fleet->random, 100 * 1000, 3000 * 1000),
                      4 * per_s + 2);
            random_event(fleet);
        }
        unsigned most = fleet_find_most(fleet, start + FLEET_WINDOW_US, true);
        g_test_message("seed %u, limit %.1f, %u nodes: %u of %.1f", seed,
                       per_s, fleet->node_count, most, fleet_get_bound(fleet));
        g_assert_cmpfloat(most, <=, fleet_get_bound(fleet));
        fleet_free(fleet);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/limit/reading", test_reading);
    g_test_add_func("/limit/order-of-responses", test_order_of_responses);
    g_test_add_func("/limit/counter", test_counter);
    g_test_add_func("/limit/reserved-times", test_reserved_times);
    g_test_add_func("/limit/last-resort", test_last_resort);
    g_test_add_func("/limit/fleet-sizes", test_fleet_sizes);
    g_test_add_func("/limit/random-faults", test_random_faults);
    return g_test_run();
}
