/* Turns that many nodes take, in virtual time. */

#include "decide/turn.h"

enum {
    MOST_NODES = 320,
};

static const int64_t MILLI = 1000;
static const int64_t SECOND = G_USEC_PER_SEC;
/* Between the turns of all nodes together. */
static const int64_t EVERY = INT64_C(300000);

static const struct {
    const char *what;
    int64_t most; /* milliseconds between two turns that bring something */
    unsigned nodes;
    unsigned away;        /* turned away: their turns bring nothing */
    unsigned after;       /* nodes in the second half; 0: as many */
    unsigned least_turns; /* of each node that stays, in 60 s */
} rows[] = {
    {"seven nodes", 2000, 7, 0, 0, 15},
    {"seven nodes, two of them turned away", 2000, 7, 2, 0, 15},
    {"64 nodes, a third of them turned away", 2500, 64, 22, 0, 1},
    {"320 nodes, a third of them turned away", 3000, 320, 110, 0, 0},
    {"half of 64 nodes go", 2500, 64, 0, 32, 2},
};

/*
 * An accepted route is refused with 404 for four seconds.  The service turns
 * away all nodes that watch the configuration, so that it is left to the reads
 * that all nodes do in turn.  All had started within a second, when each knew
 * of hardly any other, and so had drawn their first turn from a short round:
 * with 64 nodes they all read in the same second, and then none for 19.
 */
static void
test_spread(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_turn turns[MOST_NODES] = {{0}};
        unsigned taken[MOST_NODES] = {0};
        GRand *random = g_rand_new_with_seed(11);
        int64_t last = 4 * SECOND;
        int64_t longest = 0;
        for (int64_t now = 250 * MILLI; now < 60 * SECOND; now += 10 * MILLI) {
            /* All are known after two seconds. */
            unsigned known =
                MIN(rows[i].nodes,
                    1 + (unsigned)(rows[i].nodes * now / (2 * SECOND)));
            unsigned there = rows[i].nodes;
            if (rows[i].after != 0 && now > 30 * SECOND) {
                known = there = rows[i].after;
            }
            for (unsigned node = 0; node < there; node++) {
                bool looks = (now / (10 * MILLI) + node) % 25 == 0;
                if (!looks || !ch_turn_due(&turns[node], EVERY * known,
                                           g_rand_double(random), now)) {
                    continue;
                }
                taken[node]++;
                if (node >= rows[i].away && now > last) {
                    longest = MAX(longest, now - last);
                    last = now;
                }
            }
        }
        unsigned fewest = taken[0];
        unsigned left = rows[i].after != 0 ? rows[i].after : rows[i].nodes;
        for (unsigned node = 0; node < left; node++) {
            fewest = MIN(fewest, taken[node]);
        }
        g_test_message("%s: longest %" G_GINT64_FORMAT " ms, fewest %u",
                       rows[i].what, longest / MILLI, fewest);
        g_assert_cmpint(longest / MILLI, <=, rows[i].most);
        g_assert_cmpuint(fewest, >=, rows[i].least_turns);
        g_rand_free(random);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/turn/spread", test_spread);
    return g_test_run();
}
