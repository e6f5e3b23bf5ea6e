/* Sliding-window rate limits. */

#include "decide/window.h"

enum {
    SPAN = 5000,
    LIMIT = 3,
};

/* Times of attempts, and whether each may start; three may start in a span of
 * 5000. */
static const struct {
    const char *what;
    bool assume_used;
    int64_t attempts[8];
    bool starts[8];
} limit_cases[] = {
    {"a burst uses the limit at once, the next start waits for the span",
     false,
     {0, 0, 1, 2, 4999, 5000, 5001, 5002},
     {true, true, true, false, false, true, true, true}},
    {"evenly spread starts are never held up",
     false,
     {0, 2000, 4000, 6000, 8000, 10000, 12000, 14000},
     {true, true, true, true, true, true, true, true}},
    {"a node that takes over gets one start after the other",
     true,
     {0, 1000, 1666, 1667, 3333, 3334, 5000, 5001},
     {false, false, true, false, true, false, true, false}},
};

static void
test_limit(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        g_test_message("%s", limit_cases[i].what);
        struct ch_window window;
        ch_window_init(&window, SPAN);
        if (limit_cases[i].assume_used) {
            ch_window_assume_full(&window, LIMIT, 0);
        }
        for (size_t k = 0; k < G_N_ELEMENTS(limit_cases[i].attempts); k++) {
            int64_t now = limit_cases[i].attempts[k];
            bool starts = ch_window_count_left(&window, LIMIT, now) > 0;
            g_assert_cmpint(starts, ==, limit_cases[i].starts[k]);
            if (starts) {
                ch_window_record_start(&window, now);
            }
        }
        ch_window_clear(&window);
    }
}

/* Operations that were recorded earlier and start later, one after the other;
 * three may start in a span of 5000. */
static const struct start_case {
    const char *what;
    struct {
        int64_t reserved_at;
        int64_t now;
        bool starts;
    } steps[6];
} start_cases[] = {
    {"started at once", {{0, 0, true}, {1, 1, true}, {2, 2, true}}},
    {"started later within the span: counts from then on",
     {{0, 4000, true}, {1, 4001, true}, {2, 4002, true}}},
    {"started after the span, beside others that started meanwhile",
     {{0, 5500, true}, {1, 5501, true}, {2, 5502, true}, {3, 5503, false}}},
};

/* Three operations are recorded, then each row starts its own: exactly three
 * start, after which the window is full. */
static void
test_start_reserved(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(start_cases); i++) {
        const struct start_case *test = &start_cases[i];
        struct ch_window window;
        unsigned start_count = 0;
        ch_window_init(&window, SPAN);
        for (int64_t k = 0; k < LIMIT; k++) {
            ch_window_record_start(&window, k);
        }
        g_test_message("%s", test->what);
        for (size_t k = 0; k < G_N_ELEMENTS(test->steps) &&
                           (k == 0 || test->steps[k].now > 0);
             k++) {
            bool starts = ch_window_start_reserved(&window, LIMIT,
                                                   test->steps[k].reserved_at,
                                                   test->steps[k].now);
            g_assert_cmpint(starts, ==, test->steps[k].starts);
            start_count += starts ? 1 : 0;
        }
        g_assert_cmpuint(start_count, ==, LIMIT);
        g_assert_cmpuint(
            ch_window_count_left(&window, LIMIT, test->steps[LIMIT - 1].now),
            ==, 0);
        ch_window_clear(&window);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/window/cases", test_limit);
    g_test_add_func("/window/begin", test_start_reserved);
    return g_test_run();
}
