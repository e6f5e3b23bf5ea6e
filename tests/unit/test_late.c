/* Requests that would be started too late, in virtual time. */

#include "decide/late.h"

#define MILLI ((int64_t)1000)
#define SECOND ((int64_t)G_USEC_PER_SEC)
#define NOW (100 * SECOND)

/* A request that arrives now, with a target of 1.2 s and a deadline of 15 s:
 * its caller gives up after 4.8 s without a token. */
static struct ch_request_info
build_request(void)
{
    return (struct ch_request_info){
        .model = g_quark_from_string("m"),
        .arrived_at = NOW,
        .first_token_deadline = NOW + 1200 * MILLI,
        .answer_deadline = NOW + 15 * SECOND,
        .idempotent = true,
    };
}

/* Reports which model an engine has and which it is loading; NULL: none. */
static void
report(struct ch_pending_loads *pending, const char *upstream,
       const char *models, const char *loading, int64_t now)
{
    GQuark model = g_quark_from_string(models);
    GQuark loading_model = g_quark_from_string(loading);
    ch_pending_loads_update(pending, g_quark_from_string(upstream), &model,
                            model != 0, &loading_model, loading_model != 0,
                            now);
}

/* Reports loads of this length, the last of which ends at NOW. */
static void
report_past_loads(struct ch_pending_loads *pending, int64_t load_time)
{
    for (int64_t i = 20; i > 0; i--) {
        report(pending, "w9", NULL, "other", NOW - i * load_time);
        report(pending, "w9", "other", NULL, NOW - (i - 1) * load_time);
    }
}

static const struct {
    const char *what;
    int64_t load_time;     /* length of earlier loads */
    int64_t begun;         /* how long ago the load began */
    int64_t decided_after; /* the decision is repeated this long after the
                              request arrived */
    bool waits;
} load_cases[] = {
    {"local copy", SECOND, 0, 0, true},
    {"local copy, past the target", SECOND, 0, 1300 * MILLI, false},
    {"from the weight store, just begun", 8800 * MILLI, 0, 0, false},
    {"from the weight store, there too late", 8800 * MILLI, 7 * SECOND, 0,
     false},
    {"from the weight store, nearly there", 4 * SECOND, 3 * SECOND, 0, true},
    {"overdue by a little", SECOND, 1200 * MILLI, 0, true},
    {"overdue and slow", 20 * SECOND, 21 * SECOND, 0, false},
};

/*
 * Demand moves to a model whose engines are full, while others load it from
 * the weight store. The failure: each request was held for a load of 8.8 s,
 * while its caller gives up after 4.8 s. Callers were refused after 2.7 to 3.3
 * s, the last moment at which they would still have taken a response, and
 * retried with too little time left.
 */
static void
test_load_too_long(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        g_test_message("%s", load_cases[i].what);
        struct ch_pending_loads *pending = ch_pending_loads_new();
        struct ch_request_info request = build_request();
        report_past_loads(pending, load_cases[i].load_time);
        report(pending, "w1", NULL, "m", NOW - load_cases[i].begun);
        int64_t now = NOW + load_cases[i].decided_after;
        report(pending, "w1", NULL, "m", now);
        int64_t ready_at =
            ch_pending_loads_estimate_ready(pending, request.model, now);
        g_assert_cmpint(ready_at, >, now);
        struct ch_late_decision decision =
            ch_late_decide(&request, 6 * SECOND, ready_at, now);
        g_assert_cmpint(decision.should_wait, ==, load_cases[i].waits);
        g_assert_true(decision.should_wait
                          ? decision.wait_until <= request.first_token_deadline
                          : decision.retry_after > 0);
        ch_pending_loads_free(pending);
    }
}

/*
 * Engines crash while they load a model. The failure: the last report stood
 * for good, so that callers waited for a model that no engine was loading any
 * more until they gave up. No further report comes because the engine is no
 * longer listed, or because its lease holder is gone too.
 */
static void
test_engine_gone(void)
{
    GQuark model = g_quark_from_string("m");
    struct ch_pending_loads *pending = ch_pending_loads_new();
    report(pending, "w1", NULL, "m", NOW);
    g_assert_cmpint(ch_pending_loads_estimate_ready(pending, model, NOW), >,
                    0);
    report(pending, "w1", NULL, NULL, NOW + MILLI);
    g_assert_cmpint(
        ch_pending_loads_estimate_ready(pending, model, NOW + MILLI), ==, 0);
    report(pending, "w2", NULL, "m", NOW);
    g_assert_cmpint(
        ch_pending_loads_estimate_ready(pending, model, NOW + 8 * SECOND), >,
        0);
    g_assert_cmpint(
        ch_pending_loads_estimate_ready(pending, model, NOW + 11 * SECOND), ==,
        0);
    ch_pending_loads_free(pending);
}

/* The load that began first decides when a model is ready. A model that was
 * loaded, or whose load was abandoned, isn't pending any more. */
static void
test_first_pending_load(void)
{
    GQuark model = g_quark_from_string("m");
    struct ch_pending_loads *pending = ch_pending_loads_new();
    g_assert_cmpint(ch_pending_loads_estimate_ready(pending, model, NOW), ==,
                    0);
    report_past_loads(pending, 4 * SECOND);
    report(pending, "w1", NULL, "m", NOW);
    report(pending, "w2", NULL, "m", NOW - 2 * SECOND);
    int64_t ready_at = ch_pending_loads_estimate_ready(pending, model, NOW);
    g_assert_cmpint(ready_at, >, NOW + 1500 * MILLI);
    g_assert_cmpint(ready_at, <, NOW + 2500 * MILLI);
    report(pending, "w2", "m", NULL, NOW + 2 * SECOND);
    g_assert_cmpint(ch_pending_loads_estimate_ready(pending, model, NOW), >,
                    NOW + 3 * SECOND);
    report(pending, "w1", NULL, NULL, NOW + 2 * SECOND);
    g_assert_cmpint(ch_pending_loads_estimate_ready(pending, model, NOW), ==,
                    0);
    ch_pending_loads_free(pending);
}

/* For ch_pending_loads_estimate_ready_on(). */
static bool
is_this_one(const void *data, GQuark upstream)
{
    return upstream == *(const GQuark *)data;
}

/* Guards against a stream that waits for a load at upstreams which may not
 * take it. */
static void
test_loads_on_some(void)
{
    GQuark model = g_quark_from_string("m");
    GQuark loading = g_quark_from_string("w1");
    GQuark idle = g_quark_from_string("w2");
    struct ch_pending_loads *pending = ch_pending_loads_new();
    report(pending, "w1", NULL, "m", NOW);
    g_assert_cmpint(ch_pending_loads_estimate_ready_on(
                        pending, model, is_this_one, &loading, NOW),
                    >, NOW);
    g_assert_cmpint(ch_pending_loads_estimate_ready_on(
                        pending, model, is_this_one, &idle, NOW),
                    ==, 0);
    ch_pending_loads_free(pending);
}

static const struct {
    const char *what;
    int64_t after; /* time since the request arrived */
    int64_t expected;
    uint32_t attempt;
    bool begun;
    bool service;
    bool is_late;
} retry_cases[] = {
    {"first attempt, in time", 0, 3500 * MILLI, 0, false, false, false},
    {"first attempt, too late", 0, 3700 * MILLI, 0, false, false, true},
    {"refused after 1.5 s, in time", 1500 * MILLI, SECOND, 1, false, false,
     false},
    {"refused after 1.5 s, next engine full", 1500 * MILLI, 3 * SECOND, 1,
     false, false, true},
    {"the caller has the beginning of the response", 1500 * MILLI, 3 * SECOND,
     1, true, false, false},
    {"a plain service", 0, 3700 * MILLI, 0, false, true, false},
};

/*
 * The engines of a model are full, and one refuses requests that have waited
 * there for 1.5 s. The failure: the request went to the next engine, which is
 * as full, and waited there in turn, so that the caller got nothing until its
 * deadline. Lateness was checked for the first engine only.
 */
static void
test_retry_is_late(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retry_cases); i++) {
        g_test_message("%s", retry_cases[i].what);
        struct ch_request_info request = build_request();
        request.attempt = retry_cases[i].attempt;
        request.answer_started = retry_cases[i].begun;
        request.is_service = retry_cases[i].service;
        bool is_late = ch_late_is_expected(&request, retry_cases[i].expected,
                                           NOW + retry_cases[i].after);
        g_assert_cmpint(is_late, ==, retry_cases[i].is_late);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/late/load-too-long", test_load_too_long);
    g_test_add_func("/late/engine-gone", test_engine_gone);
    g_test_add_func("/late/coming", test_first_pending_load);
    g_test_add_func("/late/some", test_loads_on_some);
    g_test_add_func("/late/given-back", test_retry_is_late);
    return g_test_run();
}
