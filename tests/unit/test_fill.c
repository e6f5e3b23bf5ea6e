/* Requests that many nodes place by one view. */

#include "decide/fill.h"

#include <string.h>

enum {
    MOST_PLACES = 64,
    ROUNDS = 400,
};

static const struct choose_case {
    const char *name;
    size_t count;
    double costs[4];
    double arrivals;
    double shares[4]; /* that each place is to get */
} choose_cases[] = {
    {"one arrival", 3, {5, 3, 9}, 1, {0, 1, 0}},
    {"less than one", 3, {5, 3, 9}, 0.2, {0, 1, 0}},
    {"one place", 1, {5}, 30, {1}},
    {"alike", 4, {2, 2, 2, 2}, 8, {0.25, 0.25, 0.25, 0.25}},
    {"one is far", 3, {0, 0, 100}, 10, {0.5, 0.5, 0}},
    {"filled to one level", 3, {0, 2, 4}, 6, {0.666667, 0.333333, 0}},
};

/* Each place gets its part, as the random numbers go through their range. */
static void
test_choose(void)
{
    for (size_t c = 0; c < G_N_ELEMENTS(choose_cases); c++) {
        const struct choose_case *test = &choose_cases[c];
        size_t got[4] = {0};
        g_test_message("%s", test->name);
        for (int i = 0; i < ROUNDS; i++) {
            got[ch_fill_choose(test->costs, test->count, 1, test->arrivals,
                               (double)i / ROUNDS)]++;
        }
        for (size_t i = 0; i < test->count; i++) {
            g_assert_cmpfloat_with_epsilon((double)got[i] / ROUNDS,
                                           test->shares[i], 0.01);
        }
    }
}

/* A fleet that places requests on engines by a report that is told now and
 * then, in steps of time. */
struct herd {
    double running[MOST_PLACES];
    double told[MOST_PLACES];
    size_t places;
    double slots;
    double arrivals; /* in a step */
    int steps_a_report;
    double ends; /* of what runs, in a step */
};

/* The share of requests that wait for a slot, when they go to the place that
 * is cheapest by the report, or are spread. */
static double
play_herd(struct herd *herd, bool spread, guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    double waiting = 0;
    double all = 0;
    for (int step = 0; step < ROUNDS; step++) {
        if (step % herd->steps_a_report == 0) {
            memcpy(herd->told, herd->running, sizeof(herd->told));
        }
        for (int i = 0; i < (int)herd->arrivals; i++) {
            double expected =
                spread ? herd->arrivals * herd->steps_a_report : 1;
            size_t place = ch_fill_choose(herd->told, herd->places, 1,
                                          expected, g_rand_double(random));
            waiting += herd->running[place] >= herd->slots ? 1 : 0;
            all++;
            herd->running[place]++;
        }
        for (size_t i = 0; i < herd->places; i++) {
            herd->running[i] *= 1 - herd->ends;
        }
    }
    g_rand_free(random);
    return waiting / all;
}

/*
 * Load: 20 engines of 12 slots, two thirds taken; 80 requests a second of many
 * nodes that all know the same report, told each 400 ms.  Harm prevented: all
 * of them go to the engine that was least busy, and most wait for a slot.
 */
static void
test_herd_on_one_report(void)
{
    for (guint32 seed = 1; seed <= 5; seed++) {
        struct herd herd = {
            .places = 20,
            .slots = 12,
            .arrivals = 8,
            .steps_a_report = 4,
            .ends = 0.05,
        };
        struct herd same = herd;
        double together = play_herd(&herd, false, seed);
        double spread = play_herd(&same, true, seed);
        g_test_message("waiting for a slot: %.3f together, %.3f spread",
                       together, spread);
        g_assert_cmpfloat(together, >, 0.2);
        g_assert_cmpfloat(spread, <, 0.05);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fill/choose", test_choose);
    g_test_add_func("/fill/herd-on-one-report", test_herd_on_one_report);
    return g_test_run();
}
