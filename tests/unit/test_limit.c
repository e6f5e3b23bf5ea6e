/* Limits that upstreams name: the header's values, and responses that come
 * out of order. */

#include "limit/limit.h"

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
                .sent_at = rows[i].steps[j].sent * G_USEC_PER_SEC,
                .received_at = rows[i].steps[j].received * G_USEC_PER_SEC,
            };
            g_assert_cmpint(ch_limit_state_observe(&state, &observation), ==,
                            rows[i].steps[j].change);
        }
        g_assert_true(ch_limit_state_is_limited(&state) == rows[i].limited);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/limit/reading", test_reading);
    g_test_add_func("/limit/order-of-responses", test_order_of_responses);
    return g_test_run();
}
