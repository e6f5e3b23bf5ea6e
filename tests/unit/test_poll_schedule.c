/* Schedule of a periodic job shared by many nodes, in virtual time. */

#include "decide/poll_schedule.h"

enum {
    MAX_NODES = 320,
};

static const int64_t US_PER_MS = 1000;
static const int64_t US_PER_S = G_USEC_PER_SEC;
/* Mean time between runs over all nodes, microseconds. */
static const int64_t MEAN_RUN_INTERVAL_US = INT64_C(300000);

static const struct {
    const char *description;
    int64_t max_gap_ms; /* limit in milliseconds between two effective runs */
    unsigned nodes;
    unsigned rejected; /* nodes whose runs have no effect as the service
                          rejects them */
    unsigned
        nodes_after;   /* number of nodes in the second half; 0: unchanged */
    unsigned min_runs; /* of each node that stays, in 60 s */
} rows[] = {
    {"seven nodes", 2000, 7, 0, 0, 15},
    {"seven nodes, two of them rejected", 2000, 7, 2, 0, 15},
    {"64 nodes, a third of them rejected", 2500, 64, 22, 0, 1},
    {"320 nodes, a third of them rejected", 3000, 320, 110, 0, 0},
    {"half of 64 nodes leave", 2500, 64, 0, 32, 2},
};

/*
 * Guards against a new route that is accepted and then refused with 404 for
 * four seconds.  When the key-value service rejects all nodes that watch the
 * configuration, changes are only found by the reads that nodes do by
 * schedule.  Nodes that start within a second know of hardly any other and so
 * compute their first run from a short period: with 64 nodes all read in the
 * same second, and none for the next 19 seconds.
 */
static void
test_spread(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_poll_schedule schedules[MAX_NODES] = {{0}};
        unsigned runs[MAX_NODES] = {0};
        GRand *random = g_rand_new_with_seed(11);
        int64_t last = 4 * US_PER_S;
        int64_t longest_gap = 0;
        for (int64_t now = 250 * US_PER_MS; now < 60 * US_PER_S;
             now += 10 * US_PER_MS) {
            /* All nodes are known after two seconds. */
            unsigned known =
                MIN(rows[i].nodes,
                    1 + (unsigned)(rows[i].nodes * now / (2 * US_PER_S)));
            unsigned running = rows[i].nodes;
            if (rows[i].nodes_after != 0 && now > 30 * US_PER_S) {
                known = running = rows[i].nodes_after;
            }
            for (unsigned node = 0; node < running; node++) {
                bool polls = (now / (10 * US_PER_MS) + node) % 25 == 0;
                if (!polls ||
                    !ch_poll_schedule_is_due(&schedules[node],
                                             MEAN_RUN_INTERVAL_US * known,
                                             g_rand_double(random), now)) {
                    continue;
                }
                runs[node]++;
                if (node >= rows[i].rejected && now > last) {
                    longest_gap = MAX(longest_gap, now - last);
                    last = now;
                }
            }
        }
        unsigned fewest_runs = runs[0];
        unsigned remaining =
            rows[i].nodes_after != 0 ? rows[i].nodes_after : rows[i].nodes;
        for (unsigned node = 0; node < remaining; node++) {
            fewest_runs = MIN(fewest_runs, runs[node]);
        }
        g_test_message("%s: longest %" G_GINT64_FORMAT " ms, fewest %u",
                       rows[i].description, longest_gap / US_PER_MS,
                       fewest_runs);
        g_assert_cmpint(longest_gap / US_PER_MS, <=, rows[i].max_gap_ms);
        g_assert_cmpuint(fewest_runs, >=, rows[i].min_runs);
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
