/* Choice of engines whose speed differs and changes, in virtual time. */

#include "decide/balance.h"

enum {
    NOW = 100 * G_USEC_PER_SEC,
    SECOND = G_USEC_PER_SEC,
    SAMPLE_GAP = 150 * 1000,
    GAP_TARGET = 300 * 1000,
    REQUESTS = 200,
    NODES = 50,
    ENGINES = 12,
    MAX_ENGINES = 16,
    LONG_PROMPT = 6000,
    SHORT_PROMPT = 200,
    NO_PACE = 0,
};

static const int64_t MILLI = 1000;

struct test_engine {
    uint32_t percent; /* NO_PACE: states none */
    uint32_t streams; /* of other nodes */
    bool other_region;
};

static GQuark
get_name(size_t engine)
{
    char name[16];
    g_snprintf(name, sizeof(name), "e%zu", engine);
    return g_quark_from_string(name);
}

static size_t
get_index(GQuark name)
{
    return (size_t)g_ascii_strtoull(g_quark_to_string(name) + 1, NULL, 10);
}

/* Records that the engine stated the percentage up to `now`. */
static void
state_pace(struct ch_balance *balance, size_t engine, uint32_t percent,
           int64_t now)
{
    struct ch_pace_state pace = {0};
    const struct ch_pace_reading reading = {.percent = percent};
    for (int64_t i = CH_PACE_SAMPLES; i >= 0; i--) {
        ch_pace_state_observe(&pace, &reading, now - i * SAMPLE_GAP);
    }
    ch_balance_set_pace(balance, get_name(engine), &pace);
}

static struct ch_balance *
create_balance(const struct test_engine *engines, size_t count)
{
    GQuark near = g_quark_from_string("r1");
    struct ch_balance *balance =
        ch_balance_new(near, g_quark_from_string("d1"));
    GQuark model = g_quark_from_string("m");
    ch_balance_begin_update(balance);
    for (size_t i = 0; i < count; i++) {
        const struct ch_upstream_info facts = {
            .name = get_name(i),
            .service = g_quark_from_string("s"),
            .region =
                engines[i].other_region ? g_quark_from_string("r2") : near,
            .data_centre = g_quark_from_string("d1"),
            .engine = true,
            .boot_id = 1,
            .slots = 32,
            .resident_models = &model,
            .resident_model_count = 1,
        };
        ch_balance_update_upstream(balance, &facts);
    }
    ch_balance_end_update(balance);
    for (size_t i = 0; i < count; i++) {
        ch_balance_set_total_load(balance, get_name(i), engines[i].streams, 0,
                                  NOW);
        if (engines[i].percent != NO_PACE) {
            state_pace(balance, i, engines[i].percent, NOW);
        }
    }
    return balance;
}

static struct ch_request_info
build_request(uint64_t id, uint32_t tokens)
{
    return (struct ch_request_info){
        .id = ch_hash_pair(id, 1),
        .model = g_quark_from_string("m"),
        .required_service = g_quark_from_string("s"),
        .prompt_tokens = tokens,
        .max_output_tokens = 100,
        .arrived_at = NOW,
        .first_token_deadline = NOW + SECOND,
        .answer_deadline = NOW + 20 * SECOND,
        .event_gap_target = GAP_TARGET,
        .idempotent = true,
    };
}

static struct ch_upstream_choice
choose(struct ch_balance *balance, const struct ch_request_info *request,
       int64_t now)
{
    struct ch_upstream_choice choice =
        ch_balance_choose(balance, request, NULL, false, now);
    g_assert_cmpint(choice.code, ==, CH_OK);
    return choice;
}

/* Counts the choices of REQUESTS requests by engine. */
static void
count_choices(struct ch_balance *balance, uint32_t tokens, int64_t now,
              unsigned counts[MAX_ENGINES])
{
    for (size_t i = 0; i < MAX_ENGINES; i++) {
        counts[i] = 0;
    }
    for (uint64_t id = 0; id < REQUESTS; id++) {
        const struct ch_request_info request = build_request(id, tokens);
        counts[get_index(choose(balance, &request, now).upstream)]++;
    }
}

/* Guards against long prompts that make the streams of slow engines late, and
 * against engines that stay unused because they are slow. */
static void
test_uneven_engines(void)
{
    const struct test_engine engines[] = {
        {60, 24, false}, {100, 12, false}, {160, 5, false}};
    struct ch_balance *balance =
        create_balance(engines, G_N_ELEMENTS(engines));
    unsigned counts[MAX_ENGINES];
    count_choices(balance, LONG_PROMPT, NOW, counts);
    g_assert_cmpuint(counts[0], ==, REQUESTS);
    count_choices(balance, SHORT_PROMPT, NOW, counts);
    g_test_message("short prompts: %u, %u, %u", counts[0], counts[1],
                   counts[2]);
    g_assert_cmpuint(counts[0], >, counts[1]);
    g_assert_cmpuint(counts[1], >, counts[2]);
    g_assert_cmpuint(counts[2], >, 0);
    ch_balance_free(balance);
}

/* Guards against an engine that is avoided for longer than its host is slow:
 * by one reading until it has decayed, by a new one at once. */
static void
test_host_turns_slow(void)
{
    const struct test_engine engines[] = {{100, 10, false}, {100, 10, false}};
    struct ch_balance *balance =
        create_balance(engines, G_N_ELEMENTS(engines));
    struct ch_pace_state pace = {0};
    const struct ch_pace_reading usual = {.percent = 100};
    const struct ch_pace_reading slow = {.percent = 250};
    unsigned counts[MAX_ENGINES];
    for (int64_t i = CH_PACE_SAMPLES; i > 0; i--) {
        ch_pace_state_observe(&pace, &usual, NOW - i * SAMPLE_GAP);
    }
    ch_pace_state_observe(&pace, &slow, NOW);
    ch_balance_set_pace(balance, get_name(0), &pace);
    count_choices(balance, 1000, NOW, counts);
    /* Below the share that an engine of this speed would have in the long
     * run. */
    g_assert_cmpuint(counts[0], <, REQUESTS * 100 / (100 + slow.percent));
    count_choices(balance, 1000, NOW + 2 * SECOND, counts);
    g_assert_cmpuint(counts[0], >, REQUESTS / 3);
    ch_pace_state_observe(&pace, &usual, NOW + SECOND / 5);
    ch_balance_set_pace(balance, get_name(0), &pace);
    count_choices(balance, 1000, NOW + SECOND / 5, counts);
    g_assert_cmpuint(counts[0], >, REQUESTS / 3);
    ch_balance_free(balance);
}

/* Guards against nodes that all choose the same engine after one report says
 * that it is fast. */
static void
test_nodes_spread(void)
{
    struct test_engine engines[ENGINES];
    unsigned counts[MAX_ENGINES] = {0};
    unsigned used = 0;
    for (size_t i = 0; i < ENGINES; i++) {
        engines[i] = (struct test_engine){i == 3 ? 60 : 100, 10, false};
    }
    for (uint64_t node = 0; node < NODES; node++) {
        struct ch_balance *balance = create_balance(engines, ENGINES);
        const struct ch_request_info request = build_request(node, 1000);
        counts[get_index(choose(balance, &request, NOW).upstream)]++;
        ch_balance_free(balance);
    }
    for (size_t i = 0; i < ENGINES; i++) {
        used += counts[i] > 0;
    }
    g_test_message("at the fast engine: %u of %d; engines used: %u", counts[3],
                   NODES, used);
    g_assert_cmpuint(counts[3], <=, NODES / 3);
    g_assert_cmpuint(used, >=, ENGINES / 2);
}

/* Where the pauses are not to count, all choices are those of a balance that
 * knows no pace. */
static void
test_not_in_use(void)
{
    const struct test_engine paced[] = {
        {60, 9, false}, {100, 3, true}, {250, 6, false}};
    const struct test_engine plain[] = {
        {NO_PACE, 9, false}, {NO_PACE, 3, true}, {NO_PACE, 6, false}};
    const struct ch_disabled_features off = {.stream_pauses = true};
    struct ch_balance *expected = create_balance(plain, G_N_ELEMENTS(plain));
    struct ch_balance *switched = create_balance(paced, G_N_ELEMENTS(paced));
    ch_balance_disable_features(switched, &off);
    ch_balance_control_overload(switched, true);
    struct ch_balance *expired = create_balance(plain, G_N_ELEMENTS(plain));
    for (size_t i = 0; i < G_N_ELEMENTS(paced); i++) {
        state_pace(expired, i, paced[i].percent, NOW - 20 * SECOND);
    }
    struct ch_balance *others[] = {switched, expired};
    for (uint64_t id = 0; id < REQUESTS; id++) {
        const struct ch_request_info request =
            build_request(id, (uint32_t)(id * 50));
        struct ch_upstream_choice want = choose(expected, &request, NOW);
        ch_balance_record_sent(expected, &request, &want, NOW);
        for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
            struct ch_upstream_choice got = choose(others[i], &request, NOW);
            ch_balance_record_sent(others[i], &request, &got, NOW);
            g_assert_cmpuint(got.upstream, ==, want.upstream);
            g_assert_cmpint(got.expected_latency, ==, want.expected_latency);
            g_assert_cmpint(got.should_defer, ==, want.should_defer);
            g_assert_false(got.avoided_pauses);
        }
    }
    ch_balance_free(expected);
    ch_balance_free(switched);
    ch_balance_free(expired);
}

/* With overload control, an engine without a pace counts as a usual one: a
 * long prompt leaves the near engine for an idle one that costs the link. */
static void
test_control_without_pace(void)
{
    const struct test_engine engines[] = {{NO_PACE, 10, false},
                                          {NO_PACE, 0, true}};
    struct ch_balance *balance =
        create_balance(engines, G_N_ELEMENTS(engines));
    const struct ch_request_info request = build_request(1, LONG_PROMPT);
    g_assert_cmpuint(choose(balance, &request, NOW).upstream, ==, get_name(0));
    ch_balance_control_overload(balance, true);
    struct ch_upstream_choice choice = choose(balance, &request, NOW);
    g_assert_cmpuint(choice.upstream, ==, get_name(1));
    g_assert_true(choice.avoided_pauses);
    g_assert_cmpfloat(choice.late_streams, ==, 0);
    ch_balance_free(balance);
}

/* Long responses go to the engine that ends them in time, although it is in
 * the other region. */
static void
test_deadline(void)
{
    const struct test_engine engines[] = {{160, 0, false}, {60, 0, true}};
    struct ch_balance *balance =
        create_balance(engines, G_N_ELEMENTS(engines));
    struct ch_request_info request = build_request(1, SHORT_PROMPT);
    request.answer_deadline = NOW + 8 * SECOND;
    request.event_gap_target = 0;
    request.expected_output_tokens = 40;
    g_assert_cmpuint(choose(balance, &request, NOW).upstream, ==, get_name(0));
    request.expected_output_tokens = 600;
    g_assert_cmpuint(choose(balance, &request, NOW).upstream, ==, get_name(1));
    ch_balance_free(balance);
}

/* A prompt takes more of a slow engine's time: two of them at once are spaced
 * there by its pace, so that they do not make its streams late together. */
static void
test_spacing(void)
{
    static const struct {
        uint32_t percent;
        bool waits;
    } cases[] = {{100, true}, {60, false}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct test_engine engine = {cases[i].percent, 10, false};
        struct ch_balance *balance = create_balance(&engine, 1);
        const struct ch_request_info request = build_request(1, 1200);
        const struct ch_upstream_choice choice =
            choose(balance, &request, NOW);
        struct ch_prefill_line line = {0};
        g_assert_false(choice.should_defer);
        g_assert_cmpint(
            ch_prefill_line_take(&line, &choice.prefill, SECOND, false, NOW)
                .wait,
            ==, 0);
        g_assert_cmpint(
            ch_prefill_line_take(&line, &choice.prefill, SECOND, false, NOW)
                    .wait > 0,
            ==, cases[i].waits);
        ch_balance_free(balance);
    }
}

/* Guards against a model that seems slow because it was measured at a slow
 * engine, or fast because a slowdown was over early. */
static void
test_measured_at_pace_one(void)
{
    const struct test_engine engine = {200, 0, false};
    struct ch_balance *balance = create_balance(&engine, 1);
    for (uint64_t id = 0; id < 20; id++) {
        const struct ch_request_info request = build_request(id, 1000);
        struct ch_upstream_choice choice = choose(balance, &request, NOW);
        ch_balance_record_sent(balance, &request, &choice, NOW);
        ch_balance_record_first_byte(balance, &request, &choice, 80 * MILLI,
                                     NOW);
        const struct ch_timing_sample sample = {.code = CH_OK};
        ch_balance_record_end(balance, &request, &choice, true, &sample, NOW);
    }
    const struct ch_request_info request = build_request(1, 1000);
    /* 40 ms, of which three quarters are usually not cached. */
    g_assert_cmpint(ch_balance_estimate_prefill(balance, &request), ==,
                    30 * MILLI);
    ch_balance_free(balance);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance-pace/uneven-engines", test_uneven_engines);
    g_test_add_func("/balance-pace/host-turns-slow", test_host_turns_slow);
    g_test_add_func("/balance-pace/nodes-spread", test_nodes_spread);
    g_test_add_func("/balance-pace/not-in-use", test_not_in_use);
    g_test_add_func("/balance-pace/control-without-pace",
                    test_control_without_pace);
    g_test_add_func("/balance-pace/deadline", test_deadline);
    g_test_add_func("/balance-pace/spacing", test_spacing);
    g_test_add_func("/balance-pace/measured-at-pace-one",
                    test_measured_at_pace_one);
    return g_test_run();
}
