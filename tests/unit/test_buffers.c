/* The accounts of bytes that callers have not read, with the responses that
 * are ended when all together hold too much, and of request bytes at
 * upstreams. */

#include "buffers/buffers.h"

enum {
    MAX_STEPS = 12,
    RESPONSES = 4,
    BOUND = 100,
};

enum step_kind {
    STEP_NONE,
    STEP_SET,     /* the response holds so many bytes */
    STEP_RELEASE, /* it has ended or was aborted */
    STEP_CUT,     /* the next to be ended is this one, with so many bytes */
    STEP_KEEP,    /* none is to be ended */
    STEP_SUM,     /* all hold so many bytes */
};

static const struct unsent_case {
    const char *what;
    struct {
        enum step_kind kind;
        unsigned response;
        size_t bytes;
    } steps[MAX_STEPS];
} unsent_cases[] = {
    {"one slow caller, at the bound and beyond it",
     {{STEP_SET, 0, BOUND},
      {STEP_KEEP, 0, 0},
      {STEP_SET, 0, BOUND + 1},
      {STEP_CUT, 0, BOUND + 1},
      {STEP_KEEP, 0, 0},
      {STEP_SUM, 0, 0}}},
    {"of many slow callers the one that holds most goes first",
     {{STEP_SET, 0, 20},
      {STEP_SET, 1, 60},
      {STEP_SET, 2, 20},
      {STEP_KEEP, 0, 0},
      {STEP_SET, 3, 1},
      {STEP_CUT, 1, 60},
      {STEP_KEEP, 0, 0},
      {STEP_SUM, 0, 41}}},
    {"as many are ended as are needed",
     {{STEP_SET, 0, 70},
      {STEP_SET, 1, 80},
      {STEP_SET, 2, 90},
      {STEP_CUT, 2, 90},
      {STEP_CUT, 1, 80},
      {STEP_KEEP, 0, 0},
      {STEP_SUM, 0, 70}}},
    {"a caller that reads gives its bytes back",
     {{STEP_SET, 0, 90},
      {STEP_SET, 1, 10},
      {STEP_SET, 0, 0},
      {STEP_SET, 1, 50},
      {STEP_KEEP, 0, 0},
      {STEP_SUM, 0, 50}}},
    {"a response that ends gives its bytes back",
     {{STEP_SET, 0, 90},
      {STEP_SET, 1, 5},
      {STEP_RELEASE, 0, 0},
      {STEP_SET, 2, 95},
      {STEP_KEEP, 0, 0},
      {STEP_SUM, 0, 100}}},
    {"an abort gives them back once",
     {{STEP_SET, 0, 60},
      {STEP_SET, 1, 50},
      {STEP_CUT, 0, 60},
      {STEP_RELEASE, 0, 0},
      {STEP_RELEASE, 0, 0},
      {STEP_SUM, 0, 50}}},
    {"an ended response is not counted again",
     {{STEP_SET, 0, 60},
      {STEP_RELEASE, 0, 0},
      {STEP_SET, 0, 200},
      {STEP_KEEP, 0, 0},
      {STEP_SUM, 0, 0}}},
};

static void
test_unsent(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unsent_cases); i++) {
        struct ch_unsent unsent = {.bound = BOUND};
        struct ch_unsent_entry entries[RESPONSES] = {0};
        g_test_message("%s", unsent_cases[i].what);
        for (size_t j = 0; j < MAX_STEPS; j++) {
            size_t expected = unsent_cases[i].steps[j].bytes;
            struct ch_unsent_entry *entry =
                &entries[unsent_cases[i].steps[j].response];
            size_t bytes = 0;
            switch (unsent_cases[i].steps[j].kind) {
            case STEP_SET:
                ch_unsent_set(&unsent, entry, expected);
                break;
            case STEP_RELEASE:
                ch_unsent_release(&unsent, entry);
                break;
            case STEP_CUT:
                g_assert_true(ch_unsent_choose(&unsent, &bytes) == entry);
                g_assert_cmpuint(bytes, ==, expected);
                break;
            case STEP_KEEP:
                g_assert_null(ch_unsent_choose(&unsent, &bytes));
                break;
            case STEP_SUM:
                g_assert_cmpuint(unsent.bytes, ==, expected);
                break;
            default:
                break;
            }
        }
    }
}

/* Guards against entries that stay in the list or bytes that stay in the sum
 * after their response was freed: random responses grow, are read and end. */
static void
test_sum(void)
{
    enum {
        COUNT = 50,
        STEPS = 20000,
        MAX_BYTES = 10,
    };
    struct ch_unsent unsent = {.bound = BOUND};
    struct ch_unsent_entry entries[COUNT] = {0};
    GRand *random = g_rand_new_with_seed(1);
    for (unsigned step = 0; step < STEPS; step++) {
        struct ch_unsent_entry *entry =
            &entries[g_rand_int_range(random, 0, COUNT)];
        size_t bytes = 0;
        size_t sum = 0;
        if (g_rand_int_range(random, 0, 10) == 0) {
            ch_unsent_release(&unsent, entry);
            *entry = (struct ch_unsent_entry){0};
        }
        ch_unsent_set(&unsent, entry,
                      (size_t)g_rand_int_range(random, 0, MAX_BYTES));
        while (ch_unsent_choose(&unsent, &bytes) != NULL) {
        }
        for (size_t i = 0; i < COUNT; i++) {
            sum += entries[i].bytes;
        }
        g_assert_cmpuint(sum, ==, unsent.bytes);
        g_assert_cmpuint(sum, <=, BOUND);
    }
    for (size_t i = 0; i < COUNT; i++) {
        ch_unsent_release(&unsent, &entries[i]);
    }
    g_assert_null(unsent.first);
    g_assert_cmpuint(unsent.bytes, ==, 0);
    g_rand_free(random);
}

static const struct held_case {
    const char *what;
    struct {
        GQuark upstream;
        size_t bytes;
        bool gives_back;
        enum ch_held_result expected;
    } steps[MAX_STEPS];
} held_cases[] = {
    {"up to the bound, and not a byte more",
     {{1, BOUND, false, CH_HELD_TAKEN},
      {1, 0, false, CH_HELD_TAKEN},
      {1, 1, false, CH_HELD_BEGINS_TO_REFUSE},
      {1, 1, false, CH_HELD_REFUSED}}},
    {"another upstream has its own bound",
     {{1, BOUND, false, CH_HELD_TAKEN}, {2, BOUND, false, CH_HELD_TAKEN}}},
    {"a call that ends gives its bytes back",
     {{1, 60, false, CH_HELD_TAKEN},
      {1, 60, false, CH_HELD_BEGINS_TO_REFUSE},
      {1, 60, true, CH_HELD_TAKEN},
      {1, 60, false, CH_HELD_TAKEN},
      {1, 60, false, CH_HELD_BEGINS_TO_REFUSE}}},
    {"a smaller request may fit where a larger one did not",
     {{1, 60, false, CH_HELD_TAKEN},
      {1, 60, false, CH_HELD_BEGINS_TO_REFUSE},
      {1, 40, false, CH_HELD_TAKEN}}},
    {"a request over the bound alone",
     {{1, BOUND + 1, false, CH_HELD_REFUSED},
      {1, SIZE_MAX, false, CH_HELD_REFUSED}}},
};

static void
test_held(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(held_cases); i++) {
        struct ch_held *held = ch_held_new(BOUND);
        g_test_message("%s", held_cases[i].what);
        for (size_t j = 0; held_cases[i].steps[j].upstream != 0; j++) {
            GQuark upstream = held_cases[i].steps[j].upstream;
            size_t bytes = held_cases[i].steps[j].bytes;
            if (held_cases[i].steps[j].gives_back) {
                ch_held_give_back(held, upstream, bytes);
                continue;
            }
            g_assert_cmpint(ch_held_take(held, upstream, bytes), ==,
                            held_cases[i].steps[j].expected);
            g_assert_cmpuint(ch_held_get(held, upstream), <=, BOUND);
        }
        g_assert_cmpuint(ch_held_get_highest(held), <=, BOUND);
        ch_held_free(held);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/buffers/unsent", test_unsent);
    g_test_add_func("/buffers/sum", test_sum);
    g_test_add_func("/buffers/held", test_held);
    return g_test_run();
}
