/* Sliding windows: what may be begun in any span. */

#include "decide/window.h"

enum {
    SPAN = 5000,
    MOST = 3,
};

/* Times at which one is tried for, and at which it is expected to begin; the
 * span is 5000, three may begin in it. */
static const struct {
    const char *what;
    bool assume_used;
    int64_t tries[8];
    bool begins[8];
} cases[] = {
    {"a burst takes all at once, the next waits for the span to pass",
     false,
     {0, 0, 1, 2, 4999, 5000, 5001, 5002},
     {true, true, true, false, false, true, true, true}},
    {"what is spread is never held up",
     false,
     {0, 2000, 4000, 6000, 8000, 10000, 12000, 14000},
     {true, true, true, true, true, true, true, true}},
    {"who takes over gets one after the other",
     true,
     {0, 1000, 1666, 1667, 3333, 3334, 5000, 5001},
     {false, false, true, false, true, false, true, false}},
};

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].what);
        struct ch_window window;
        ch_window_init(&window, SPAN);
        if (cases[i].assume_used) {
            ch_window_assume_used(&window, MOST, 0);
        }
        for (size_t k = 0; k < G_N_ELEMENTS(cases[i].tries); k++) {
            int64_t now = cases[i].tries[k];
            bool begins = ch_window_left(&window, MOST, now) > 0;
            g_assert_cmpint(begins, ==, cases[i].begins[k]);
            if (begins) {
                ch_window_take(&window, now);
            }
        }
        ch_window_clear(&window);
    }
}

/* What was taken and begins later, one after the other; the span is 5000,
 * three may begin in it. */
static const struct begin_case {
    const char *what;
    struct {
        int64_t taken;
        int64_t now;
        bool begins;
    } steps[6];
} begin_cases[] = {
    {"at once", {{0, 0, true}, {1, 1, true}, {2, 2, true}}},
    {"later, within the span: it counts from then on",
     {{0, 4000, true}, {1, 4001, true}, {2, 4002, true}}},
    {"after the span, beside others that began meanwhile",
     {{0, 5500, true}, {1, 5501, true}, {2, 5502, true}, {3, 5503, false}}},
};

/* What the rows of begin_cases took beside their own: nothing that begins
 * after them is over the bound. */
static void
test_begin(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(begin_cases); i++) {
        const struct begin_case *test = &begin_cases[i];
        struct ch_window window;
        unsigned begun = 0;
        ch_window_init(&window, SPAN);
        for (int64_t k = 0; k < MOST; k++) {
            ch_window_take(&window, k);
        }
        g_test_message("%s", test->what);
        for (size_t k = 0; k < G_N_ELEMENTS(test->steps) &&
                           (k == 0 || test->steps[k].now > 0);
             k++) {
            bool begins = ch_window_begin(&window, MOST, test->steps[k].taken,
                                          test->steps[k].now);
            g_assert_cmpint(begins, ==, test->steps[k].begins);
            begun += begins ? 1 : 0;
        }
        g_assert_cmpuint(begun, ==, MOST);
        g_assert_cmpuint(
            ch_window_left(&window, MOST, test->steps[MOST - 1].now), ==, 0);
        ch_window_clear(&window);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/window/cases", test_cases);
    g_test_add_func("/window/begin", test_begin);
    return g_test_run();
}
