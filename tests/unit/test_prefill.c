/* Spacing of the prompts that all nodes send to one engine, in virtual time.
 */

#include "prefill/prefill.h"

#define MILLI INT64_C(1000)

enum {
    GAP_TARGET = 300 * 1000,
    ARRIVALS = 2000,
    SEEDS = 20,
    /* Waits are cut to whole microseconds. */
    ROUNDING = 10,
};

/* A usual rule: 240 ms of 300 for prompts, of which 72 may come together and
 * the others at 0.56 of the time. */
static const int64_t EVENT_TIME = 60 * MILLI;

static struct ch_prefill_rule
make_rule(int64_t prefill_time)
{
    return ch_prefill_rule_new(prefill_time, 1, EVENT_TIME, GAP_TARGET);
}

/* Guards against an engine that gets no prompt at all while it is slow, and
 * against prompts that are spaced where no stream has a target. */
static void
test_slow_pace(void)
{
    static const struct {
        double pace;
        int64_t event_time, gap_target;
        struct ch_prefill_rule want;
    } rows[] = {
        {1, 60 * MILLI, GAP_TARGET, {10000, 72000, 0.56}},
        {2, 60 * MILLI, GAP_TARGET, {20000, 54000, 0.42}},
        {0.5, 60 * MILLI, GAP_TARGET, {5000, 81000, 0.63}},
        /* events alone take longer than the target */
        {8, 60 * MILLI, GAP_TARGET, {80000, 18000, 0.14}},
        {1, 60 * MILLI, 0, {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct ch_prefill_rule got = ch_prefill_rule_new(
            10 * MILLI, rows[i].pace, rows[i].event_time, rows[i].gap_target);
        g_test_message("row %zu", i);
        g_assert_cmpint(got.cost, ==, rows[i].want.cost);
        g_assert_cmpint(ABS(got.capacity - rows[i].want.capacity), <=, 1);
        g_assert_cmpfloat_with_epsilon(got.part, rows[i].want.part, 1e-9);
    }
}

/* Guards against refused prompts that delay others, forced ones that are not
 * seen, a long prompt that is never sent, and time that is counted twice. */
static void
test_takes(void)
{
    static const struct {
        int64_t at, prefill_time, max_wait;
        bool forced;
        struct ch_prefill_answer want; /* wait: milliseconds */
    } rows[] = {
        /* A refused request does not count, whenever it could have gone. */
        {0, 72 * MILLI, 0, false, {true, 0}},
        {0, 56 * MILLI, 0, false, {false, 100}},
        {0, 56 * MILLI, 99 * MILLI, false, {false, 100}},
        {0, 56 * MILLI, 101 * MILLI, false, {true, 100}},
        /* A forced one waits for no longer than it can, and counts. */
        {0, 28 * MILLI, 20 * MILLI, true, {true, 20}},
        {0, 28 * MILLI, 0, false, {false, 200}},
        /* A prompt that takes longer than the capacity goes to an engine that
         * has read the others, and delays those after it. */
        {400 * MILLI, 224 * MILLI, 0, false, {true, 0}},
        {400 * MILLI, 56 * MILLI, 400 * MILLI, false, {true, 371}},
        /* The engine has read nothing more when the clock is back. */
        {300 * MILLI, 56 * MILLI, 0, false, {false, 471}},
        {300 * MILLI, 56 * MILLI, 0, true, {true, 0}},
        {400 * MILLI, 56 * MILLI, 0, false, {false, 571}},
        /* Prompts without cost are not spaced. */
        {400 * MILLI, 0, 0, false, {true, 0}},
    };
    struct ch_prefill_line line = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct ch_prefill_rule rule = make_rule(rows[i].prefill_time);
        const struct ch_prefill_answer got = ch_prefill_line_take(
            &line, &rule, rows[i].max_wait, rows[i].forced, rows[i].at);
        g_test_message("row %zu", i);
        g_assert_cmpint(got.granted, ==, rows[i].want.granted);
        g_assert_cmpint((got.wait + MILLI / 2) / MILLI, ==, rows[i].want.wait);
    }
}

struct sent_prompt {
    int64_t at;
    int64_t cost;
};

/* The most that is sent within a gap target, less the longest prompt of each
 * such time. prompts are in the order in which they are sent. */
static int64_t
find_most_beside_one(const struct sent_prompt *prompts, size_t count)
{
    int64_t most = 0;
    for (size_t i = 0; i < count; i++) {
        int64_t sum = 0;
        int64_t longest = 0;
        for (size_t j = i;
             j < count && prompts[j].at - prompts[i].at <= GAP_TARGET; j++) {
            sum += prompts[j].cost;
            longest = MAX(longest, prompts[j].cost);
        }
        most = MAX(most, sum - longest);
    }
    return most;
}

struct load_row {
    int32_t most_apart; /* microseconds between two arrivals */
    int32_t longest;    /* prompt */
    double least_part;  /* of the room for prompts that is used */
};

/* Sends prompts at random times in bursts of several nodes and returns how
 * many were sent. */
static size_t
send_prompts(const struct load_row *row, uint32_t seed,
             struct sent_prompt *prompts)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
    struct ch_prefill_line line = {0};
    int64_t now = 0;
    size_t count = 0;
    for (unsigned i = 0; i < ARRIVALS; i++) {
        const struct ch_prefill_rule rule =
            make_rule(g_rand_int_range(rand, MILLI, row->longest));
        /* Two of three come at the same time as the one before. */
        now += g_rand_int_range(rand, 0, 3) != 0
                   ? 0
                   : g_rand_int_range(rand, 0, row->most_apart);
        const struct ch_prefill_answer answer = ch_prefill_line_take(
            &line, &rule, g_rand_int_range(rand, 0, 600 * MILLI), false, now);
        if (answer.granted) {
            prompts[count++] =
                (struct sent_prompt){now + answer.wait, rule.cost};
        }
    }
    return count;
}

/* Guards against prompts of several nodes that come together and pause the
 * streams for longer than their target, and against an engine that is left
 * idle while prompts wait. */
static void
test_many_nodes_at_once(void)
{
    static const struct load_row rows[] = {
        {20 * MILLI, 30 * MILLI, 0.9},
        {20 * MILLI, 400 * MILLI, 0.9},
        {200 * MILLI, 70 * MILLI, 0.5},
        {2000 * MILLI, 30 * MILLI, 0},
    };
    static struct sent_prompt prompts[ARRIVALS];
    const double part = make_rule(MILLI).part;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (uint32_t seed = 0; seed < SEEDS; seed++) {
            size_t count = send_prompts(&rows[i], seed, prompts);
            int64_t sum = 0;
            g_test_message("row %zu, seed %u, sent %zu", i, seed, count);
            g_assert_cmpuint(count, >, 0);
            for (size_t j = 0; j < count; j++) {
                sum += prompts[j].cost;
                g_assert_true(j == 0 || prompts[j].at >= prompts[j - 1].at);
            }
            g_assert_cmpint(find_most_beside_one(prompts, count), <=,
                            GAP_TARGET - EVENT_TIME + ROUNDING);
            g_assert_cmpfloat((double)sum, >=,
                              rows[i].least_part * part *
                                  (double)prompts[count - 1].at);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/prefill/slow-pace", test_slow_pace);
    g_test_add_func("/prefill/takes", test_takes);
    g_test_add_func("/prefill/many-nodes-at-once", test_many_nodes_at_once);
    return g_test_run();
}
