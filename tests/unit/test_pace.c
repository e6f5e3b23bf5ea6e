/* The load that upstreams state: reading it, and what a node knows of one
 * upstream. */

#include "pace/pace.h"

#define S INT64_C(1000000) /* one second */
#define MS INT64_C(1000)
#define START (100 * S)
#define USUAL 100

static const double TOLERANCE = 0.005;

static void
assert_near(double value, double expected)
{
    g_assert_cmpfloat_with_epsilon(value, expected, TOLERANCE);
}

/* Guards against a header that is misread, so that requests avoid an upstream
 * or crowd at it. */
static void
test_reading(void)
{
    static const struct {
        const char *text;
        enum ch_pace_reading_kind kind;
        struct ch_pace_reading reading;
    } rows[] = {
        {NULL, CH_PACE_ABSENT, {0}},
        {"3,1,12,160", CH_PACE_STATED, {3, 1, 12, 160}},
        {"3,1,12", CH_PACE_STATED, {3, 1, 12, 0}},
        {" 3, 1 ,\t12 , 160 ", CH_PACE_STATED, {3, 1, 12, 160}},
        {"0,0,0,1", CH_PACE_STATED, {0, 0, 0, 1}},
        {"1000000,0,1,100000", CH_PACE_STATED, {1000000, 0, 1, 100000}},
        {"1000001,0,1,100", CH_PACE_UNREADABLE, {0}},
        {"1,0,1,100001", CH_PACE_UNREADABLE, {0}},
        {"1,0,1,4294967396", CH_PACE_UNREADABLE, {0}},
        {"1,0,1,99999999999999999999", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,0", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,-60", CH_PACE_UNREADABLE, {0}},
        {"-3,1,12,60", CH_PACE_UNREADABLE, {0}},
        {"+3,1,12,60", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,1.5", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,1e2", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,0x60", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,nan", CH_PACE_UNREADABLE, {0}},
        {"3,1", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,", CH_PACE_UNREADABLE, {0}},
        {"3,,12,60", CH_PACE_UNREADABLE, {0}},
        {"3 1 12 60", CH_PACE_UNREADABLE, {0}},
        {"3,1,12 60", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,60,7", CH_PACE_UNREADABLE, {0}},
        {"3,1,12,3,1,12", CH_PACE_UNREADABLE, {0}},
        {"3,1,12;60", CH_PACE_UNREADABLE, {0}},
        {"", CH_PACE_UNREADABLE, {0}},
        {"busy", CH_PACE_UNREADABLE, {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct ch_pace_reading untouched = {7, 7, 7, 7};
        const struct ch_pace_reading *expected =
            rows[i].kind == CH_PACE_STATED ? &rows[i].reading : &untouched;
        struct ch_pace_reading reading = untouched;
        g_test_message("row %zu", i);
        g_assert_cmpint(ch_pace_read(rows[i].text, &reading), ==,
                        rows[i].kind);
        g_assert_cmpuint(reading.running, ==, expected->running);
        g_assert_cmpuint(reading.waiting, ==, expected->waiting);
        g_assert_cmpuint(reading.slots, ==, expected->slots);
        g_assert_cmpuint(reading.percent, ==, expected->percent);
    }
}

static bool
observe(struct ch_pace_state *state, uint32_t percent, int64_t at)
{
    const struct ch_pace_reading reading = {5, 0, 12, percent};
    return ch_pace_state_observe(state, &reading, at);
}

/* Guards against a late message that replaces what is known since. */
static void
test_order(void)
{
    struct ch_pace_state state = {0};
    g_assert_true(observe(&state, 100, START));
    g_assert_true(observe(&state, 250, START + 300 * MS));
    g_assert_false(observe(&state, 100, START + 200 * MS));
    g_assert_false(observe(&state, 100, START + 300 * MS));
    g_assert_cmpuint(state.last.percent, ==, 250);
    g_assert_cmpuint(state.sample_count, ==, 2);
    /* Readings of the same moment make one sample. */
    g_assert_true(observe(&state, 250, START + 301 * MS));
    g_assert_cmpuint(state.sample_count, ==, 2);
}

/* Guards against a pace that is lost, or seems newer than it is, when one
 * response of an upstream does not state it. */
static void
test_three_figures(void)
{
    struct ch_pace_state state = {0};
    g_assert_true(observe(&state, 0, START));
    g_assert_cmpuint(state.last.slots, ==, 12);
    g_assert_false(ch_pace_state_is_known(&state, START));
    assert_near(ch_pace_state_get_usual(&state), 1);
    assert_near(ch_pace_state_expect(&state, START), 1);
    g_assert_true(observe(&state, 250, START + S));
    g_assert_true(observe(&state, 0, START + 2 * S));
    g_assert_true(ch_pace_state_is_known(&state, START + 11 * S));
    g_assert_false(ch_pace_state_is_known(&state, START + 11 * S + 1));
    g_assert_true(observe(&state, 0, START + 20 * S));
    g_assert_cmpuint(state.last.percent, ==, 0);
}

/* Guards against an old reading that keeps requests from an upstream, or draws
 * them to it: 100 four times, then 300. */
static void
test_decay(void)
{
    static const struct {
        int64_t age;
        double expected;
        double chance; /* of a pace above 2 */
    } rows[] = {
        {-S, 3, 1},
        {0, 3, 1},
        {500 * MS, 1.4 + 1.6 * 0.3679, 0.3679 + 0.6321 * 0.2},
        {S, 1.4 + 1.6 * 0.1353, 0.1353 + 0.8647 * 0.2},
        {5 * S, 1.4, 0.2},
        {60 * S, 1.4, 0.2},
    };
    struct ch_pace_state state = {0};
    for (int i = 0; i < 4; i++) {
        observe(&state, 100, START + i * S);
    }
    observe(&state, 300, START + 4 * S);
    assert_near(ch_pace_state_get_usual(&state), 1.4);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        int64_t now = START + 4 * S + rows[i].age;
        g_test_message("row %zu", i);
        assert_near(ch_pace_state_expect(&state, now), rows[i].expected);
        assert_near(ch_pace_state_get_chance(&state, 2, now), rows[i].chance);
        assert_near(ch_pace_state_get_chance(&state, 0.5, now), 1);
        assert_near(ch_pace_state_get_chance(&state, 3, now), 0);
    }
}

/* Guards against a division by zero, or requests that avoid an upstream, where
 * nothing is known. */
static void
test_nothing_known(void)
{
    const struct ch_pace_state state = {0};
    g_assert_false(ch_pace_state_is_known(&state, START));
    assert_near(ch_pace_state_expect(&state, START), 1);
    assert_near(ch_pace_state_get_chance(&state, 0.9, START), 1);
    assert_near(ch_pace_state_get_chance(&state, 1, START), 0);
}

/* Guards against a host that turned slow and is taken for fast, or that is
 * fast again and is avoided for longer than its samples last. */
static void
test_slow_and_back(void)
{
    struct ch_pace_state state = {0};
    int64_t now = START;
    for (int i = 0; i < CH_PACE_SAMPLES; i++, now += 100 * MS) {
        observe(&state, USUAL, now);
    }
    observe(&state, 4 * USUAL, now);
    assert_near(ch_pace_state_expect(&state, now), 4);
    g_assert_cmpfloat(ch_pace_state_get_usual(&state), <, 1.3);
    for (int i = 0; i < CH_PACE_SAMPLES; i++, now += 100 * MS) {
        observe(&state, 4 * USUAL, now);
    }
    assert_near(ch_pace_state_get_usual(&state), 4);
    observe(&state, USUAL, now);
    assert_near(ch_pace_state_expect(&state, now), 1);
    for (int i = 0; i < CH_PACE_SAMPLES; i++, now += 100 * MS) {
        observe(&state, USUAL, now);
    }
    assert_near(ch_pace_state_get_usual(&state), 1);
    assert_near(ch_pace_state_get_chance(&state, 1.5, now + 5 * S), 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pace/reading", test_reading);
    g_test_add_func("/pace/order", test_order);
    g_test_add_func("/pace/three-figures", test_three_figures);
    g_test_add_func("/pace/decay", test_decay);
    g_test_add_func("/pace/nothing-known", test_nothing_known);
    g_test_add_func("/pace/slow-and-back", test_slow_and_back);
    return g_test_run();
}
