/* Places chosen by many nodes with the same view. */

#include "decide/fill.h"

#include <string.h>

enum {
    MAX_PLACES = 64,
    ROUNDS = 400,
};

static const struct choose_case {
    const char *name;
    size_t count;
    double costs[4];
    double arrivals;
    double shares[4]; /* expected share of each place */
} choose_cases[] = {
    {"one arrival", 3, {5, 3, 9}, 1, {0, 1, 0}},
    {"less than one arrival", 3, {5, 3, 9}, 0.2, {0, 1, 0}},
    {"one place", 1, {5}, 30, {1}},
    {"equal costs", 4, {2, 2, 2, 2}, 8, {0.25, 0.25, 0.25, 0.25}},
    {"one is too expensive", 3, {0, 0, 100}, 10, {0.5, 0.5, 0}},
    {"filled to a common level", 3, {0, 2, 4}, 6, {0.666667, 0.333333, 0}},
};

/* Each place gets its share when the random numbers cover their range evenly.
 */
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

static const struct uneven_case {
    const char *name;
    size_t count;
    double costs[4];
    double costs_per_request[4];
    double arrivals;
    double shares[4]; /* expected share of each place */
} uneven_cases[] = {
    {"one arrival", 2, {5, 3}, {1, 9}, 1, {0, 1}},
    {"in proportion to speed", 2, {2, 2}, {1, 3}, 8, {0.75, 0.25}},
    {"one is too expensive", 3, {0, 0, 100}, {1, 4, 1}, 10, {0.8, 0.2, 0}},
    {"equal speed", 3, {0, 2, 4}, {1, 1, 1}, 6, {0.666667, 0.333333, 0}},
};

/* Guards against slow places that get as many arrivals as fast ones. */
static void
test_choose_uneven(void)
{
    for (size_t c = 0; c < G_N_ELEMENTS(uneven_cases); c++) {
        const struct uneven_case *test = &uneven_cases[c];
        size_t got[4] = {0};
        g_test_message("%s", test->name);
        for (int i = 0; i < ROUNDS; i++) {
            got[ch_fill_choose_uneven(test->costs, test->costs_per_request,
                                      test->count, test->arrivals,
                                      (double)i / ROUNDS)]++;
        }
        for (size_t i = 0; i < test->count; i++) {
            g_assert_cmpfloat_with_epsilon((double)got[i] / ROUNDS,
                                           test->shares[i], 0.01);
        }
    }
}

/* Simulates, in time steps, nodes that send requests to engines by a load
 * report that is refreshed now and then. */
struct simulation {
    double running[MAX_PLACES];
    double reported[MAX_PLACES];
    size_t places;
    double slots;
    double arrivals; /* per step */
    int steps_per_report;
    double end_share; /* share of the running requests that end in a step */
};

/* Returns the share of requests that wait for a slot. spread: requests are
 * spread, else each goes to the cheapest place by the report. */
static double
simulate(struct simulation *simulation, bool spread, guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    double waiting = 0;
    double total = 0;
    for (int step = 0; step < ROUNDS; step++) {
        if (step % simulation->steps_per_report == 0) {
            memcpy(simulation->reported, simulation->running,
                   sizeof(simulation->reported));
        }
        for (int i = 0; i < (int)simulation->arrivals; i++) {
            double expected =
                spread ? simulation->arrivals * simulation->steps_per_report
                       : 1;
            size_t place =
                ch_fill_choose(simulation->reported, simulation->places, 1,
                               expected, g_rand_double(random));
            waiting += simulation->running[place] >= simulation->slots ? 1 : 0;
            total++;
            simulation->running[place]++;
        }
        for (size_t i = 0; i < simulation->places; i++) {
            simulation->running[i] *= 1 - simulation->end_share;
        }
    }
    g_rand_free(random);
    return waiting / total;
}

/*
 * 20 engines of 12 slots, two thirds used, get 80 requests per second from
 * many nodes that all see the same report, refreshed every 400 ms. Without
 * spreading, all requests go to the engine that was least busy, and most wait
 * for a slot.
 */
static void
test_shared_report(void)
{
    for (guint32 seed = 1; seed <= 5; seed++) {
        struct simulation simulation = {
            .places = 20,
            .slots = 12,
            .arrivals = 8,
            .steps_per_report = 4,
            .end_share = 0.05,
        };
        struct simulation copy = simulation;
        double unspread_share = simulate(&simulation, false, seed);
        double spread_share = simulate(&copy, true, seed);
        g_test_message("share waiting for a slot: %.3f unspread, %.3f spread",
                       unspread_share, spread_share);
        g_assert_cmpfloat(unspread_share, >, 0.2);
        g_assert_cmpfloat(spread_share, <, 0.05);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fill/choose", test_choose);
    g_test_add_func("/fill/choose-uneven", test_choose_uneven);
    g_test_add_func("/fill/herd-on-one-report", test_shared_report);
    return g_test_run();
}
