/* Choice of upstreams by a node's own view, in virtual time. */

#include "decide/balance.h"

#include <string.h>

enum {
    NOW = 100 * G_USEC_PER_SEC,
    SECOND = G_USEC_PER_SEC,
    MILLI = 1000,
};

/* An upstream of a test case. */
struct test_upstream {
    const char *name; /* NULL: end of the list */
    const char *region;
    const char *data_centre;
    const char *models; /* separated by spaces */
    const char *adapters;
    bool leaving;
    const char *version; /* of its software; NULL: not known */
};

/* Creates the balance of a node in region "r1", data centre "d1", with these
 * upstreams. */
static struct ch_balance *
create_balance(const struct test_upstream *upstreams)
{
    struct ch_balance *balance =
        ch_balance_new(g_quark_from_string("r1"), g_quark_from_string("d1"));
    ch_balance_begin_update(balance);
    for (size_t i = 0; upstreams[i].name != NULL; i++) {
        GArray *models = g_array_new(FALSE, FALSE, sizeof(GQuark));
        char **names = g_strsplit(upstreams[i].models, " ", -1);
        for (size_t j = 0; names[j] != NULL && names[j][0] != '\0'; j++) {
            GQuark model = g_quark_from_string(names[j]);
            g_array_append_val(models, model);
        }
        const struct ch_upstream_info facts = {
            .name = g_quark_from_string(upstreams[i].name),
            .service = g_quark_from_string("s"),
            .region = g_quark_from_string(upstreams[i].region),
            .data_centre = g_quark_from_string(upstreams[i].data_centre),
            .engine = true,
            .draining = upstreams[i].leaving,
            .version_id = ch_version_get_id(upstreams[i].version),
            .slots = 64,
            .context_tokens = 100000,
            .adapter_slots = 8,
            .resident_models = (const GQuark *)(void *)models->data,
            .resident_model_count = models->len,
        };
        ch_balance_update_upstream(balance, &facts);
        if (upstreams[i].adapters != NULL) {
            ch_balance_set_adapter_resident(
                balance, facts.name,
                g_quark_from_string(upstreams[i].adapters), true);
        }
        g_strfreev(names);
        g_array_free(models, TRUE);
    }
    ch_balance_end_update(balance);
    return balance;
}

/* Builds a request for a model "m" or an adapter "m/a1". */
static struct ch_request_info
build_request(const char *name, uint32_t tokens)
{
    char **parts = g_strsplit(name, "/", 2);
    struct ch_request_info request = {
        .id = 7,
        .model = g_quark_from_string(parts[0]),
        .adapter = parts[1] == NULL ? 0 : g_quark_from_string(name),
        .required_service = g_quark_from_string("s"),
        .prompt_tokens = tokens,
        .max_output_tokens = 100,
        .arrived_at = NOW,
        .first_token_deadline = NOW + SECOND,
        .answer_deadline = NOW + 10 * SECOND,
        .idempotent = true,
    };
    g_strfreev(parts);
    return request;
}

/* Returns the name of the chosen upstream, or "" if the request is refused. */
static const char *
choose_name(struct ch_balance *balance, const struct ch_request_info *request,
            const GArray *excluded, bool adapter_ready)
{
    struct ch_upstream_choice choice =
        ch_balance_choose(balance, request, excluded, adapter_ready, NOW);
    return choice.code == CH_OK ? g_quark_to_string(choice.upstream) : "";
}

static const struct {
    const char *what;
    struct test_upstream upstreams[4];
    const char *model;
    const char *excluded;
    bool adapter_ready;
    const char *expect;
} choice_cases[] = {
    {.what = "only one upstream has the model",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, false, NULL},
                   {"b", "r1", "d1", "m2", NULL, false, NULL}},
     .model = "m2",
     .expect = "b"},
    {.what = "no engine holds the model",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, false, NULL}},
     .model = "m2",
     .expect = ""},
    {.what = "a draining upstream gets no requests",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, true, NULL},
                   {"b", "r2", "d9", "m1", NULL, false, NULL}},
     .model = "m1",
     .expect = "b"},
    {.what = "the node's own data centre before another",
     .upstreams = {{"a", "r1", "d2", "m1", NULL, false, NULL},
                   {"b", "r1", "d1", "m1", NULL, false, NULL}},
     .model = "m1",
     .expect = "b"},
    {.what = "the node's own region before another",
     .upstreams = {{"a", "r2", "d9", "m1", NULL, false, NULL},
                   {"b", "r1", "d2", "m1", NULL, false, NULL}},
     .model = "m1",
     .expect = "b"},
    {.what = "an upstream that failed this request is not asked again",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, false, NULL},
                   {"b", "r2", "d9", "m1", NULL, false, NULL}},
     .model = "m1",
     .excluded = "a",
     .expect = "b"},
    {.what = "the upstream with the adapter, though the bytes are billed",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, false, NULL},
                   {"b", "r1", "d2", "m1", "m1/a1", false, NULL}},
     .model = "m1/a1",
     .expect = "b"},
    {.what = "an adapter is loaded here instead of using the link each time",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, false, NULL},
                   {"b", "r2", "d9", "m1", "m1/a1", false, NULL}},
     .model = "m1/a1",
     .expect = "a"},
    {.what = "only an upstream that has the adapter, without loading it",
     .upstreams = {{"a", "r1", "d1", "m1", NULL, false, NULL},
                   {"b", "r2", "d9", "m1", "m1/a1", false, NULL}},
     .model = "m1/a1",
     .adapter_ready = true,
     .expect = "b"},
};

static void
test_choice(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        struct ch_balance *balance = create_balance(choice_cases[i].upstreams);
        struct ch_request_info request =
            build_request(choice_cases[i].model, 1000);
        GArray *excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
        if (choice_cases[i].excluded != NULL) {
            GQuark name = g_quark_from_string(choice_cases[i].excluded);
            g_array_append_val(excluded, name);
        }
        g_test_message("%s", choice_cases[i].what);
        g_assert_cmpstr(choose_name(balance, &request, excluded,
                                    choice_cases[i].adapter_ready),
                        ==, choice_cases[i].expect);
        g_array_free(excluded, TRUE);
        ch_balance_free(balance);
    }
}

static const struct test_upstream two_upstreams[] = {
    {"a", "r1", "d1", "m1", NULL, false, NULL},
    {"b", "r1", "d1", "m1", NULL, false, NULL},
    {0}};

/* Sends a request to the upstream that is chosen for it, and returns the
 * choice. */
static struct ch_upstream_choice
send_one(struct ch_balance *balance, const struct ch_request_info *request,
         int64_t now)
{
    struct ch_upstream_choice choice =
        ch_balance_choose(balance, request, NULL, false, now);
    g_assert_cmpint(choice.code, ==, CH_OK);
    ch_balance_record_sent(balance, request, &choice, now);
    return choice;
}

/* Ends a request that yields no measurements. */
static void
record_end(struct ch_balance *balance, const struct ch_request_info *request,
           const struct ch_upstream_choice *choice, bool response_started,
           enum ch_code code)
{
    const struct ch_timing_sample sample = {.code = code};
    ch_balance_record_end(balance, request, choice, response_started, &sample,
                          NOW);
}

/* In a burst, requests that were sent count at once, before any load report
 * includes them. */
static void
test_burst(void)
{
    struct ch_balance *balance = create_balance(two_upstreams);
    unsigned counts[2] = {0};
    for (uint64_t i = 0; i < 20; i++) {
        struct ch_request_info request = build_request("m1", 1000);
        request.id = i;
        struct ch_upstream_choice choice = send_one(balance, &request, NOW);
        counts[choice.upstream == g_quark_from_string("a") ? 0 : 1]++;
    }
    g_assert_cmpuint(counts[0], ==, 10);
    g_assert_cmpuint(counts[1], ==, 10);
    ch_balance_free(balance);
}

/* Cached prompt parts attract the requests that share them, until the upstream
 * has so much load that a new prefill elsewhere is faster. */
static void
test_shared_parts(void)
{
    const struct ch_prompt_part parts[] = {{1, 3000}, {2, 100}};
    struct ch_balance *balance = create_balance(two_upstreams);
    struct ch_request_info request = build_request("m1", 3100);
    request.parts = parts;
    request.part_count = G_N_ELEMENTS(parts);
    struct ch_upstream_choice first = send_one(balance, &request, NOW);
    ch_balance_record_first_byte(balance, &request, &first,
                                 (int64_t)200 * MILLI, NOW);
    struct ch_upstream_choice second = send_one(balance, &request, NOW);
    g_assert_cmpuint(second.upstream, ==, first.upstream);
    g_assert_cmpint(second.prefill_time, <, first.prefill_time / 10);
    ch_balance_set_total_load(balance, first.upstream, 60, (int64_t)2 * SECOND,
                              NOW);
    struct ch_upstream_choice third = send_one(balance, &request, NOW);
    g_assert_cmpuint(third.upstream, !=, first.upstream);
    ch_balance_free(balance);
}

/* An upstream that fails gets no more requests after a few failures, and gets
 * some again when these are forgotten. */
static void
test_failing(void)
{
    struct ch_balance *balance = create_balance(two_upstreams);
    struct ch_request_info request = build_request("m1", 1000);
    struct ch_upstream_choice choice = send_one(balance, &request, NOW);
    GQuark failing = choice.upstream;
    record_end(balance, &request, &choice, false, CH_UPSTREAM_CUT);
    for (uint64_t i = 0; i < 10; i++) {
        request.id = i;
        choice = send_one(balance, &request, NOW);
        g_assert_cmpuint(choice.upstream, !=, failing);
        record_end(balance, &request, &choice, true, CH_OK);
    }
    unsigned chosen_count = 0;
    for (uint64_t i = 0; i < 64; i++) {
        request.id = i;
        choice = ch_balance_choose(balance, &request, NULL, false,
                                   NOW + 10 * SECOND);
        chosen_count += choice.upstream == failing ? 1 : 0;
    }
    g_assert_cmpuint(chosen_count, >, 10);
    ch_balance_free(balance);
}

/* The load of other nodes counts, and its prefill backlog decreases until the
 * next report. */
static void
test_others(void)
{
    struct ch_balance *balance = create_balance(two_upstreams);
    struct ch_request_info request = build_request("m1", 1000);
    GQuark upstream = g_quark_from_string("a");
    ch_balance_set_total_load(balance, upstream, 10, (int64_t)300 * MILLI,
                              NOW);
    g_assert_cmpstr(choose_name(balance, &request, NULL, false), ==, "b");
    struct ch_upstream_choice choice =
        ch_balance_choose(balance, &request, NULL, false, NOW);
    g_assert_false(choice.should_defer);
    ch_balance_set_total_load(balance, g_quark_from_string("b"), 10, SECOND,
                              NOW);
    g_assert_cmpstr(choose_name(balance, &request, NULL, false), ==, "a");
    ch_balance_free(balance);
}

/* Of several long prompts at once, the second should be deferred. It may go
 * when the engine has finished the first prefill and paused. */
static void
test_pacing(void)
{
    const struct test_upstream one_upstream[] = {
        {"a", "r1", "d1", "m1", NULL, false, NULL}, {0}};
    struct ch_balance *balance = create_balance(one_upstream);
    struct ch_request_info request = build_request("m1", 3500);
    struct ch_upstream_choice choice =
        ch_balance_choose(balance, &request, NULL, false, NOW);
    g_assert_false(choice.should_defer);
    ch_balance_record_sent(balance, &request, &choice, NOW);
    struct ch_upstream_choice second =
        ch_balance_choose(balance, &request, NULL, false, NOW);
    g_assert_true(second.should_defer);
    ch_balance_record_first_byte(balance, &request, &choice,
                                 (int64_t)180 * MILLI, NOW);
    second =
        ch_balance_choose(balance, &request, NULL, false, NOW + 10 * 1000);
    g_assert_true(second.should_defer);
    second =
        ch_balance_choose(balance, &request, NULL, false, NOW + 50 * 1000);
    g_assert_false(second.should_defer);
    ch_balance_free(balance);
}

/* A fast model is measured to be fast: the demand of the same requests is less
 * than for another model. */
static void
test_pace(void)
{
    struct ch_balance *balance = create_balance(two_upstreams);
    struct ch_request_info request = build_request("m1", 2000);
    int64_t default_time = ch_balance_estimate_prefill(balance, &request);
    for (uint64_t i = 0; i < 60; i++) {
        request.id = i;
        struct ch_upstream_choice choice = send_one(balance, &request, NOW);
        ch_balance_record_first_byte(balance, &request, &choice,
                                     choice.expected_latency / 4, NOW);
        record_end(balance, &request, &choice, true, CH_OK);
    }
    struct ch_request_info other_request = build_request("m2", 2000);
    g_assert_cmpint(ch_balance_estimate_prefill(balance, &request), <,
                    default_time / 2);
    g_assert_cmpint(ch_balance_estimate_prefill(balance, &other_request), ==,
                    default_time);
    ch_balance_free(balance);
}

/* Copies the demand for m1. */
static void
copy_demand(void *data, GQuark model, double demand)
{
    if (model == g_quark_from_string("m1")) {
        *(double *)data = demand;
    }
}

/*
 * Ten requests per second with short prompts and at most 600 output tokens. On
 * engines with 16 slots, each request keeps a slot for two seconds: the model
 * needs more than one engine, though its prefill takes almost no time. If only
 * prefill counted, the model would stay on one engine until callers have to
 * wait.
 */
static void
test_slots(void)
{
    static const struct {
        uint32_t slots;
        double min;
        double max;
    } rows[] = {{64, 0.2, 0.6}, {16, 1.0, 1.6}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_balance *balance = create_balance(two_upstreams);
        const struct ch_upstream_info facts = {
            .name = g_quark_from_string("a"),
            .service = g_quark_from_string("s"),
            .engine = true,
            .slots = rows[i].slots,
        };
        struct ch_request_info request = build_request("m1", 50);
        double demand = 0;
        ch_balance_update_upstream(balance, &facts);
        request.required_service = facts.service;
        request.max_output_tokens = 600;
        for (int64_t tenth = 0; tenth < 50; tenth++) {
            ch_balance_record_demand(balance, &request,
                                     NOW + tenth * SECOND / 10);
        }
        ch_balance_foreach_demand(balance, NOW + 50 * (int64_t)SECOND / 10,
                                  copy_demand, &demand);
        g_assert_cmpfloat(demand, >, rows[i].min);
        g_assert_cmpfloat(demand, <, rows[i].max);
        ch_balance_free(balance);
    }
}

/* Guards against requests that wait too long at engines with few slots, where
 * each request beyond them waits for longer: their latency seems acceptable,
 * and they are neither sent elsewhere nor refused in time. */
static void
test_slot_wait(void)
{
    static const struct {
        uint32_t slots;
        int64_t min_ms; /* for each request beyond the slots */
        int64_t max_ms;
    } rows[] = {{64, 25, 70}, {12, 150, 230}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct test_upstream alone[] = {
            {"a", "r1", "d1", "m1", NULL, false, NULL}, {0}};
        struct ch_balance *balance = create_balance(alone);
        const GQuark model = g_quark_from_string("m1");
        const struct ch_upstream_info facts = {
            .name = g_quark_from_string("a"),
            .service = g_quark_from_string("s"),
            .region = g_quark_from_string("r1"),
            .data_centre = g_quark_from_string("d1"),
            .engine = true,
            .slots = rows[i].slots,
            .resident_models = &model,
            .resident_model_count = 1,
        };
        struct ch_request_info request = build_request("m1", 50);
        int64_t last = 0;
        ch_balance_update_upstream(balance, &facts);
        request.max_output_tokens = 172;
        /* 43 events at 42 ms take a slot for 1.8 s. */
        const struct ch_timing_sample sample = {
            .code = CH_OK,
            .token_time = (int64_t)42 * MILLI,
            .token_count = 43,
        };
        for (uint64_t id = 0; id < 60; id++) {
            request.id = id;
            struct ch_upstream_choice choice =
                send_one(balance, &request, NOW);
            ch_balance_record_end(balance, &request, &choice, true, &sample,
                                  NOW);
        }
        for (uint32_t sent = 0; sent < rows[i].slots + 8; sent++) {
            request.id = sent;
            struct ch_upstream_choice choice =
                send_one(balance, &request, NOW);
            int64_t step = choice.expected_latency - last;
            if (sent > rows[i].slots) {
                g_assert_cmpint(step, >=, rows[i].min_ms * MILLI);
                g_assert_cmpint(step, <=, rows[i].max_ms * MILLI);
            }
            last = choice.expected_latency;
        }
        ch_balance_free(balance);
    }
}

/* A model with too few engines: its responses become slower and slower because
 * they wait for one another. Its measured demand must not grow with them, else
 * the model seems to need the whole fleet and takes it from all other models.
 */
static void
test_overload(void)
{
    struct ch_balance *balance = create_balance(two_upstreams);
    struct ch_request_info request = build_request("m1", 1000);
    double initial_demand = 0;
    double demand = 0;
    for (int64_t i = 0; i < 200; i++) {
        /* Twenty responses without load, then slower and slower ones. */
        int64_t slowdown = i < 20 ? 1 : MIN(1 + (i - 20) / 10, 8);
        int64_t now = NOW + i * SECOND / 10;
        request.id = (uint64_t)i;
        ch_balance_record_demand(balance, &request, now);
        struct ch_upstream_choice choice = send_one(balance, &request, now);
        const struct ch_timing_sample sample = {
            .code = CH_OK,
            .token_time = (int64_t)50 * MILLI * slowdown,
            .token_count = 10,
        };
        ch_balance_record_first_byte(balance, &request, &choice,
                                     (int64_t)40 * MILLI * slowdown, now);
        ch_balance_record_end(balance, &request, &choice, true, &sample, now);
        if (i == 19) {
            ch_balance_foreach_demand(balance, now, copy_demand,
                                      &initial_demand);
        }
        ch_balance_foreach_demand(balance, now, copy_demand, &demand);
    }
    g_assert_cmpfloat(demand, <, initial_demand * 2);
    ch_balance_free(balance);
}

/* An upstream that restarts under the same name has lost its adapters. */
static void
test_restart(void)
{
    const struct test_upstream upstreams[] = {
        {"a", "r1", "d1", "m1", "m1/a1", false, NULL}, {0}};
    struct ch_balance *balance = create_balance(upstreams);
    struct ch_request_info request = build_request("m1/a1", 100);
    GQuark model = g_quark_from_string("m1");
    g_assert_cmpstr(choose_name(balance, &request, NULL, true), ==, "a");
    const struct ch_upstream_info restarted = {
        .name = g_quark_from_string("a"),
        .service = g_quark_from_string("s"),
        .boot_id = 2,
        .slots = 64,
        .engine = true,
        .resident_models = &model,
        .resident_model_count = 1,
    };
    ch_balance_begin_update(balance);
    ch_balance_update_upstream(balance, &restarted);
    ch_balance_end_update(balance);
    g_assert_cmpstr(choose_name(balance, &request, NULL, true), ==, "");
    ch_balance_free(balance);
}

/* Decisions for m1 after a burst, and estimates after fast responses. */
struct decisions {
    bool should_defer;
    int64_t prefill_time;
    double demand;
};

/* Sends a long prompt behind another one to a single engine, then sixty
 * requests with fast responses; returns the decision, the estimated prefill
 * time and the demand. */
static struct decisions
run_scenario(const struct ch_disabled_features *without)
{
    const struct test_upstream one_upstream[] = {
        {"a", "r1", "d1", "m1", NULL, false, NULL}, {0}};
    struct ch_balance *balance = create_balance(one_upstream);
    struct ch_request_info request = build_request("m1", 3500);
    struct decisions decisions = {0};
    const struct ch_timing_sample sample = {
        .code = CH_OK,
        .token_time = (int64_t)5 * MILLI,
        .token_count = 100,
    };
    if (without != NULL) {
        ch_balance_disable_features(balance, without);
    }
    struct ch_upstream_choice choice = send_one(balance, &request, NOW);
    decisions.should_defer =
        ch_balance_choose(balance, &request, NULL, false, NOW).should_defer;
    for (uint64_t i = 0; i < 60; i++) {
        ch_balance_record_first_byte(balance, &request, &choice,
                                     (int64_t)90 * MILLI, NOW);
        ch_balance_record_end(balance, &request, &choice, true, &sample, NOW);
        choice = send_one(balance, &request, NOW);
    }
    decisions.prefill_time = ch_balance_estimate_prefill(balance, &request);
    ch_balance_record_demand(balance, &request, NOW);
    ch_balance_foreach_demand(balance, NOW, copy_demand, &decisions.demand);
    ch_balance_free(balance);
    return decisions;
}

/* Each switch changes the decision that it names and no other. */
static void
test_switches(void)
{
    const struct ch_disabled_features none = {0};
    const struct ch_disabled_features no_pacing = {.defer_prompts = true};
    const struct ch_disabled_features default_speeds = {
        .measured_service_times = true};
    const struct ch_disabled_features unrelated = {.refuse_late = true,
                                                   .reservations = true};
    const struct decisions expected = run_scenario(NULL);
    const struct {
        const struct ch_disabled_features *without;
        bool should_defer;
        bool is_measured;
    } rows[] = {
        {&none, true, true},
        {&no_pacing, false, true},
        {&default_speeds, true, false},
        {&unrelated, true, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct decisions decisions = run_scenario(rows[i].without);
        g_assert_cmpint(decisions.should_defer, ==, rows[i].should_defer);
        g_assert_cmpint(decisions.prefill_time == expected.prefill_time, ==,
                        rows[i].is_measured);
        g_assert_cmpint(decisions.demand == expected.demand, ==,
                        rows[i].is_measured);
    }
    /* 3500 tokens, three quarters of them uncached, at 52 us each. */
    g_assert_cmpint(run_scenario(&default_speeds).prefill_time, ==, 136500);
}

/* Guards against requests that are offered to an upstream whose limit is used
 * up while others can take them, and against those that only it can take being
 * refused without asking. */
static void
test_limited(void)
{
    static const struct {
        const char *what;
        const char *model;
        const char *excluded;
        int64_t limited_until[3]; /* of a, b and c */
        const char *expect;
        bool is_last_resort;
    } rows[] = {
        {"no limit", "m1", NULL, {0, 0, 0}, "a", false},
        {"used up", "m1", NULL, {NOW + 1, 0, 0}, "b", false},
        {"over", "m1", NULL, {NOW, 0, 0}, "a", false},
        {"all used up", "m1", NULL, {NOW + 1, NOW + 1, 0}, "a", true},
        {"the other refused", "m1", "b", {0, 0, 0}, "a", true},
        {"the only one", "m2", NULL, {0, 0, 0}, "c", true},
        {"the only one, used up", "m2", NULL, {0, 0, NOW + 1}, "c", true},
    };
    static const struct test_upstream upstreams[] = {
        {"a", "r1", "d1", "m1", NULL, false, NULL},
        {"b", "r2", "d9", "m1", NULL, false, NULL},
        {"c", "r1", "d1", "m2", NULL, false, NULL},
        {NULL, NULL, NULL, NULL, NULL, false, NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_balance *balance = create_balance(upstreams);
        GArray *excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
        for (size_t j = 0; j < 3; j++) {
            ch_balance_set_limited_until(
                balance, g_quark_from_string(upstreams[j].name),
                rows[i].limited_until[j]);
        }
        if (rows[i].excluded != NULL) {
            GQuark name = g_quark_from_string(rows[i].excluded);
            g_array_append_val(excluded, name);
        }
        struct ch_request_info request = build_request(rows[i].model, 1000);
        struct ch_upstream_choice choice =
            ch_balance_choose(balance, &request, excluded, false, NOW);
        g_test_message("%s", rows[i].what);
        g_assert_cmpint(choice.code, ==, CH_OK);
        g_assert_cmpstr(g_quark_to_string(choice.upstream), ==,
                        rows[i].expect);
        g_assert_true(choice.is_last_resort == rows[i].is_last_resort);
        g_array_free(excluded, TRUE);
        ch_balance_free(balance);
    }
}

static const struct {
    const char *what;
    struct test_upstream upstreams[4];
    const char *version; /* that the stream requires */
    const char *excluded;
    const char *expect; /* "": refused */
    enum ch_code code;
} version_cases[] = {
    {"only an upstream with the version that began the stream",
     {{"a", "r1", "d1", "m", NULL, false, "v1.2"},
      {"b", "r2", "d9", "m", NULL, false, "v1"}},
     "v1",
     NULL,
     "b",
     CH_OK},
    {"none of the version has the model: it may come",
     {{"a", "r1", "d1", "m", NULL, false, "v1.2"},
      {"b", "r1", "d1", "", NULL, false, "v1"}},
     "v1",
     NULL,
     "",
     CH_NO_UPSTREAM},
    {"the one with the version has failed: it is still there",
     {{"a", "r1", "d1", "m", NULL, false, "v1.2"},
      {"b", "r1", "d1", "m", NULL, false, "v1"}},
     "v1",
     "b",
     "",
     CH_NO_UPSTREAM},
    {"the last one with the version is draining: told at once",
     {{"a", "r1", "d1", "m", NULL, false, "v1.2"},
      {"b", "r1", "d1", "m", NULL, true, "v1"}},
     "v1",
     NULL,
     "",
     CH_VERSION_GONE},
    {"an upstream whose version is not known takes no begun stream",
     {{"a", "r1", "d1", "m", NULL, false, NULL}},
     "v1",
     NULL,
     "",
     CH_VERSION_GONE},
    {"a version that is a prefix of another one",
     {{"a", "r1", "d1", "m", NULL, false, "v1.20"},
      {"b", "r2", "d9", "m", NULL, false, "v1.2"}},
     "v1.2",
     NULL,
     "b",
     CH_OK},
    {"a new stream goes to any version",
     {{"a", "r1", "d1", "m", NULL, false, NULL}},
     NULL,
     NULL,
     "a",
     CH_OK},
};

/* Guards against a stream that goes on at another software version than the
 * one that began it, and against waiting for a version that is gone. */
static void
test_versions(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(version_cases); i++) {
        struct ch_balance *balance =
            create_balance(version_cases[i].upstreams);
        struct ch_request_info request = build_request("m", 1000);
        GArray *excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
        GQuark failed = g_quark_from_string(version_cases[i].excluded);
        if (failed != 0) {
            g_array_append_val(excluded, failed);
        }
        request.required_version = ch_version_get_id(version_cases[i].version);
        g_test_message("%s", version_cases[i].what);
        struct ch_upstream_choice choice =
            ch_balance_choose(balance, &request, excluded, false, NOW);
        g_assert_cmpint(choice.code, ==, version_cases[i].code);
        g_assert_cmpstr(
            choice.code == CH_OK ? g_quark_to_string(choice.upstream) : "", ==,
            version_cases[i].expect);
        g_array_free(excluded, TRUE);
        ch_balance_free(balance);
    }
}

static const struct {
    const char *what;
    struct test_upstream upstreams[4];
    bool resumable;
    const char *expect;
} twin_cases[] = {
    {"where a second upstream of the version has the model",
     {{"a", "r1", "d1", "m", NULL, false, "v1"},
      {"b", "r1", "d2", "m", NULL, false, "v2"},
      {"c", "r1", "d2", "m", NULL, false, "v2"}},
     true,
     "bc"},
    {"a stream that can't go on anywhere takes the nearest",
     {{"a", "r1", "d1", "m", NULL, false, "v1"},
      {"b", "r1", "d2", "m", NULL, false, "v2"},
      {"c", "r1", "d2", "m", NULL, false, "v2"}},
     false,
     "a"},
    {"all are alone: the nearest",
     {{"a", "r1", "d1", "m", NULL, false, "v1"},
      {"b", "r1", "d2", "m", NULL, false, "v2"}},
     true,
     "a"},
    {"one version: the nearest",
     {{"a", "r1", "d1", "m", NULL, false, "v1"},
      {"b", "r1", "d2", "m", NULL, false, "v1"}},
     true,
     "a"},
    {"the others are in another region: not worth the way",
     {{"a", "r1", "d1", "m", NULL, false, "v1"},
      {"b", "r2", "d9", "m", NULL, false, "v2"},
      {"c", "r2", "d9", "m", NULL, false, "v2"}},
     true,
     "a"},
};

/* Guards against streams that end with their engine while another version has
 * several engines with the model. */
static void
test_shared_versions(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(twin_cases); i++) {
        struct ch_balance *balance = create_balance(twin_cases[i].upstreams);
        struct ch_request_info request = build_request("m", 1000);
        request.idempotent = twin_cases[i].resumable;
        g_test_message("%s", twin_cases[i].what);
        g_assert_nonnull(strstr(twin_cases[i].expect,
                                choose_name(balance, &request, NULL, false)));
        ch_balance_free(balance);
    }
}

/* Guards against a stream that goes on at another process than the one that
 * the list describes: a connection was lost since, and the upstream's name may
 * stand for other software now. An engine can be asked; a plain service is
 * passed over. */
static void
test_restart_suspected(void)
{
    static const struct test_upstream upstreams[] = {
        {"a", "r1", "d1", "m", NULL, false, "v1"},
        {NULL, NULL, NULL, NULL, NULL, false, NULL},
    };
    for (int engine = 0; engine < 2; engine++) {
        struct ch_balance *balance = create_balance(upstreams);
        struct ch_upstream_info facts = {
            .name = g_quark_from_string("a"),
            .service = g_quark_from_string("s"),
            .region = g_quark_from_string("r1"),
            .data_centre = g_quark_from_string("d1"),
            .version_id = ch_version_get_id("v1"),
            .engine = engine != 0,
            .boot_id = 3,
            .confirmed_at = NOW - SECOND,
            .slots = 64,
        };
        GQuark model = g_quark_from_string("m");
        facts.resident_models = &model;
        facts.resident_model_count = 1;
        ch_balance_update_upstream(balance, &facts);
        struct ch_request_info request = build_request("m", 1000);
        request.is_service = engine == 0;
        request.required_version = ch_version_get_id("v1");
        struct ch_upstream_choice choice =
            ch_balance_choose(balance, &request, NULL, false, NOW);
        g_assert_cmpint(choice.code, ==, CH_OK);
        g_assert_false(choice.may_have_restarted);
        const struct ch_timing_sample cut = {.code = CH_UPSTREAM_CUT};
        ch_balance_record_sent(balance, &request, &choice, NOW);
        ch_balance_record_end(balance, &request, &choice, false, &cut, NOW);
        choice = ch_balance_choose(balance, &request, NULL, false, NOW);
        g_assert_cmpint(choice.code == CH_OK, ==, engine != 0);
        g_assert_cmpint(choice.may_have_restarted, ==, engine != 0);
        facts.confirmed_at = NOW + SECOND;
        ch_balance_update_upstream(balance, &facts);
        choice = ch_balance_choose(balance, &request, NULL, false, NOW);
        g_assert_cmpint(choice.code, ==, CH_OK);
        g_assert_false(choice.may_have_restarted);
        ch_balance_free(balance);
    }
}

/* Guards against room that is counted for engines which are leaving, and
 * against an engine whose time is counted for each of its models. */
static void
test_engine_room(void)
{
    static const struct test_upstream upstreams[] = {
        {"a", "r1", "d1", "m1 m2", NULL, false, NULL},
        {"b", "r2", "d2", "m1", NULL, false, NULL},
        {"c", "r1", "d1", "m1", NULL, true, NULL},
        {NULL, NULL, NULL, NULL, NULL, false, NULL},
    };
    static const struct {
        const char *model;
        double idle;   /* no demand is known: equal parts */
        double loaded; /* m1 on two engines has as much demand as m2 on one */
    } rows[] = {{"m1", 1.5, 4.0 / 3}, {"m2", 0.5, 2.0 / 3}, {"m3", 0, 0}};
    GQuark service = g_quark_from_string("s");
    struct ch_balance *balance = create_balance(upstreams);
    for (size_t loaded = 0; loaded < 2; loaded++) {
        for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
            g_assert_cmpfloat_with_epsilon(
                ch_balance_estimate_engine_room(
                    balance, service, g_quark_from_string(rows[i].model), NOW),
                loaded ? rows[i].loaded : rows[i].idle, 1e-6);
        }
        const struct ch_request_info first = build_request("m1", 1000);
        const struct ch_request_info second = build_request("m2", 1000);
        ch_balance_record_demand(balance, &first, NOW);
        ch_balance_record_demand(balance, &second, NOW);
    }
    ch_balance_free(balance);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance/choice", test_choice);
    g_test_add_func("/balance/limited", test_limited);
    g_test_add_func("/balance/burst", test_burst);
    g_test_add_func("/balance/shared-parts", test_shared_parts);
    g_test_add_func("/balance/failing", test_failing);
    g_test_add_func("/balance/others", test_others);
    g_test_add_func("/balance/pacing", test_pacing);
    g_test_add_func("/balance/pace", test_pace);
    g_test_add_func("/balance/slots", test_slots);
    g_test_add_func("/balance/slot-wait", test_slot_wait);
    g_test_add_func("/balance/overload", test_overload);
    g_test_add_func("/balance/restart", test_restart);
    g_test_add_func("/balance/switches", test_switches);
    g_test_add_func("/balance/versions", test_versions);
    g_test_add_func("/balance/shared-versions", test_shared_versions);
    g_test_add_func("/balance/restart-suspected", test_restart_suspected);
    g_test_add_func("/balance/engine-room", test_engine_room);
    return g_test_run();
}
