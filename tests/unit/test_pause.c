/* The harm of prompts to running streams. */

#include "pause/pause.h"

enum {
    NOW = 100 * G_USEC_PER_SEC,
    SAMPLE_GAP = 150 * 1000,
    UNKNOWN_PACE = 0,
};

static const int64_t MILLI = 1000;
static const int64_t SECOND = G_USEC_PER_SEC;

/* An engine that stated the same percentage in all its readings up to now. */
static struct ch_pace_state
build_pace(uint32_t percent)
{
    struct ch_pace_state pace = {0};
    for (int64_t i = CH_PACE_SAMPLES; i >= 0 && percent > 0; i--) {
        const struct ch_pace_reading reading = {.percent = percent};
        ch_pace_state_observe(&pace, &reading, NOW - i * SAMPLE_GAP);
    }
    return pace;
}

static const struct pause_case {
    const char *what;
    struct ch_pause_engine engine;
    struct ch_pause_request request;
    struct ch_pause_estimate expect;
    uint32_t percent; /* UNKNOWN_PACE: no pace is known */
} pause_cases[] = {
    {.what = "one long prompt beside many streams",
     .percent = 100,
     .engine = {.streams = 12, .gap_target = 300, .event_time = 40},
     .request = {.prefill_time = 400},
     .expect = {.late_streams = 12}},
    {.what = "the same prompt at an engine that is fast enough",
     .percent = 60,
     .engine = {.streams = 12, .gap_target = 300, .event_time = 40},
     .request = {.prefill_time = 400}},
    {.what = "a long prompt at an idle engine",
     .percent = 160,
     .engine = {.gap_target = 300, .event_time = 40},
     .request = {.prefill_time = 400}},
    {.what = "a short prompt to a slow engine",
     .percent = 400,
     .engine = {.streams = 5, .gap_target = 300, .event_time = 40},
     .request = {.prefill_time = 40},
     .expect = {.late_streams = 5}},
    {
        .what = "streams that the burst makes late are not spared by a choice",
        .percent = 100,
        .engine = {.streams = 5,
                   .gap_target = 300,
                   .event_time = 40,
                   .prefill_burst = 300},
        .request = {.prefill_time = 100},
    },
    {
        .what = "a short prompt behind a burst",
        .percent = 100,
        .engine = {.streams = 5,
                   .gap_target = 300,
                   .event_time = 40,
                   .prefill_burst = 200},
        .request = {.prefill_time = 100},
        .expect = {.late_streams = 5},
    },
    {.what = "a prompt that is too long by itself",
     .percent = 100,
     .engine = {.streams = 5,
                .gap_target = 300,
                .event_time = 40,
                .prefill_burst = 100},
     .request = {.prefill_time = 500},
     .expect = {.late_streams = 5}},
    {.what = "streams without a target",
     .percent = 400,
     .engine = {.streams = 5, .event_time = 40, .prefill_burst = 500},
     .request = {.prefill_time = 500}},
    {.what = "the request's own stream beside later prompts",
     .percent = 400,
     .engine = {.event_time = 40, .later_prefill = 60},
     .request = {.prefill_time = 40, .gap_target = 300},
     .expect = {.own_late = 1}},
    {.what = "a long response near its deadline at a slow engine",
     .percent = 250,
     .engine = {.event_time = 40},
     .request = {.remaining_time = 5000, .expected_events = 80},
     .expect = {.unfinished = 1}},
    {.what = "a response that needs all of the remaining time",
     .percent = 100,
     .engine = {.event_time = 40, .prefill_burst = 400},
     .request = {.prefill_time = 400,
                 .remaining_time = 4000,
                 .expected_events = 80},
     .expect = {.unfinished = 0.5}},
    {.what = "the long response at a fast engine",
     .percent = 60,
     .engine = {.event_time = 40},
     .request = {.remaining_time = 5000, .expected_events = 80}},
    {.what = "pace unknown: a prompt that a usual engine reads in time",
     .percent = UNKNOWN_PACE,
     .engine = {.streams = 12, .gap_target = 300, .event_time = 40},
     .request = {.prefill_time = 250}},
    {.what = "pace unknown: a prompt that is too long for a usual engine",
     .percent = UNKNOWN_PACE,
     .engine = {.streams = 12, .gap_target = 300, .event_time = 40},
     .request = {.prefill_time = 270},
     .expect = {.late_streams = 12}},
};

/* The cases state milliseconds. */
static void
test_estimate(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
        const struct pause_case *test = &pause_cases[i];
        struct ch_pace_state pace = build_pace(test->percent);
        struct ch_pause_engine engine = test->engine;
        engine.pace = test->percent == UNKNOWN_PACE ? NULL : &pace;
        engine.gap_target *= MILLI;
        engine.event_time *= MILLI;
        engine.prefill_burst *= MILLI;
        engine.later_prefill *= MILLI;
        struct ch_pause_request request = test->request;
        request.prefill_time *= MILLI;
        request.gap_target *= MILLI;
        request.remaining_time *= MILLI;
        g_test_message("%s", test->what);
        struct ch_pause_estimate got =
            ch_pause_estimate(&engine, &request, NOW);
        g_assert_cmpfloat_with_epsilon(got.late_streams,
                                       test->expect.late_streams, 0.001);
        g_assert_cmpfloat_with_epsilon(got.own_late, test->expect.own_late,
                                       0.001);
        g_assert_cmpfloat_with_epsilon(got.unfinished, test->expect.unfinished,
                                       0.001);
    }
}

/* Guards against one slow reading that keeps prompts away for long: its weight
 * ends while the samples of the engine stay. */
static void
test_slow_reading_decays(void)
{
    struct ch_pace_state pace = build_pace(100);
    const struct ch_pace_reading slow = {.percent = 400};
    ch_pace_state_observe(&pace, &slow, NOW + 1);
    const struct ch_pause_engine engine = {.pace = &pace,
                                           .streams = 10,
                                           .gap_target = 300 * MILLI,
                                           .event_time = 40 * MILLI};
    const struct ch_pause_request request = {.prefill_time = 100 * MILLI};
    double last = engine.streams + 1;
    for (int64_t age = 1; age <= 2 * SECOND; age += SECOND / 2) {
        double late =
            ch_pause_estimate(&engine, &request, NOW + age).late_streams;
        g_assert_cmpfloat(late, <, last);
        last = late;
    }
    g_assert_cmpfloat(last, <, 1);
}

/* The harm of each kind makes a request go elsewhere; an unfinished response
 * outweighs one late stream. */
static void
test_cost(void)
{
    const struct ch_pause_estimate none = {0};
    const struct ch_pause_estimate late = {.late_streams = 1};
    const struct ch_pause_estimate own = {.own_late = 1};
    const struct ch_pause_estimate unfinished = {.unfinished = 1};
    g_assert_cmpint(ch_pause_get_cost(&none), ==, 0);
    g_assert_cmpint(ch_pause_get_cost(&late), ==, 400 * MILLI);
    g_assert_cmpint(ch_pause_get_cost(&own), ==, 400 * MILLI);
    g_assert_cmpint(ch_pause_get_cost(&unfinished), ==, 2 * SECOND);
}

/* Guards against samples that are divided by the pace of a slowdown that was
 * over when the response came. */
static void
test_fastest_pace(void)
{
    struct ch_pace_state pace = build_pace(160);
    const struct ch_pace_reading slow = {.percent = 400};
    g_assert_cmpfloat(ch_pause_get_fastest_pace(NULL, NOW), ==, 1);
    ch_pace_state_observe(&pace, &slow, NOW + SECOND);
    g_assert_cmpfloat_with_epsilon(
        ch_pause_get_fastest_pace(&pace, NOW + SECOND), 1.6, 0.001);
    struct ch_pace_state fresh = {0};
    ch_pace_state_observe(&fresh, &slow, NOW);
    g_assert_cmpfloat(ch_pause_get_fastest_pace(&fresh, NOW), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pause/estimate", test_estimate);
    g_test_add_func("/pause/slow-reading-decays", test_slow_reading_decays);
    g_test_add_func("/pause/cost", test_cost);
    g_test_add_func("/pause/fastest-pace", test_fastest_pace);
    return g_test_run();
}
