/* What becomes of requests that would be begun with too late, in virtual time.
 */

#include "decide/late.h"

#define MILLI ((int64_t)1000)
#define SECOND ((int64_t)G_USEC_PER_SEC)
#define NOW (100 * SECOND)

/* A request that came now, with a target of 1.2 s and a deadline of 15 s: its
 * caller gives up after 4.8 s without a token. */
static struct ch_work
work_now(void)
{
    return (struct ch_work){
        .model = g_quark_from_string("m"),
        .arrived = NOW,
        .first_by = NOW + 1200 * MILLI,
        .whole_by = NOW + 15 * SECOND,
        .idempotent = true,
    };
}

/* Tells that an engine is loading these models, and holds those. */
static void
tell(struct ch_coming *coming, const char *upstream, const char *models,
     const char *loading, int64_t now)
{
    GQuark held = g_quark_from_string(models);
    GQuark loads = g_quark_from_string(loading);
    ch_coming_told(coming, g_quark_from_string(upstream), &held, held != 0,
                   &loads, loads != 0, now);
}

/* Loads that took so long each, the last of them over by NOW. */
static void
learn_loads(struct ch_coming *coming, int64_t took)
{
    for (int64_t i = 20; i > 0; i--) {
        tell(coming, "w9", NULL, "other", NOW - i * took);
        tell(coming, "w9", "other", NULL, NOW - (i - 1) * took);
    }
}

static const struct {
    const char *what;
    int64_t load;    /* loads take so long */
    int64_t begun;   /* the load began so long ago */
    int64_t held_at; /* asked again this long after the request came */
    bool waits;
} loads[] = {
    {"a copy near by", SECOND, 0, 0, true},
    {"a copy near by, the target is past", SECOND, 0, 1300 * MILLI, false},
    {"from the weight store, just begun", 8800 * MILLI, 0, 0, false},
    {"from the weight store, there too late", 8800 * MILLI, 7 * SECOND, 0,
     false},
    {"from the weight store, nearly there", 4 * SECOND, 3 * SECOND, 0, true},
    {"overdue by a little", SECOND, 1200 * MILLI, 0, true},
    {"overdue and slow", 20 * SECOND, 21 * SECOND, 0, false},
};

/*
 * Load: demand that moves to a model whose engines are full, while others load
 * it from the weight store.  Callers are refused after 2.7 to 3.3 s, at the
 * last moment at which they would still have taken an answer, and come back
 * with too little time left.  Each was held for a load that takes 8.8 s, while
 * its caller gives up after 4.8.
 */
static void
test_load_too_long(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        g_test_message("%s", loads[i].what);
        struct ch_coming *coming = ch_coming_new();
        struct ch_work work = work_now();
        learn_loads(coming, loads[i].load);
        tell(coming, "w1", NULL, "m", NOW - loads[i].begun);
        int64_t now = NOW + loads[i].held_at;
        tell(coming, "w1", NULL, "m", now);
        int64_t there = ch_coming_at(coming, work.model, now);
        g_assert_cmpint(there, >, now);
        struct ch_late late = ch_late_decide(&work, 6 * SECOND, there, now);
        g_assert_cmpint(late.waits, ==, loads[i].waits);
        g_assert_true(late.waits ? late.until <= work.first_by
                                 : late.back > 0);
        ch_coming_free(coming);
    }
}

/*
 * Load: engines that crash while they load a model.  Callers wait for a model
 * that nobody is loading any more until they would give up.  The engine is
 * gone from the list, or its holder with it, so that nothing more is told of
 * it: what was told last stood for good.
 */
static void
test_engine_gone(void)
{
    GQuark model = g_quark_from_string("m");
    struct ch_coming *coming = ch_coming_new();
    tell(coming, "w1", NULL, "m", NOW);
    g_assert_cmpint(ch_coming_at(coming, model, NOW), >, 0);
    tell(coming, "w1", NULL, NULL, NOW + MILLI);
    g_assert_cmpint(ch_coming_at(coming, model, NOW + MILLI), ==, 0);
    tell(coming, "w2", NULL, "m", NOW);
    g_assert_cmpint(ch_coming_at(coming, model, NOW + 8 * SECOND), >, 0);
    g_assert_cmpint(ch_coming_at(coming, model, NOW + 11 * SECOND), ==, 0);
    ch_coming_free(coming);
}

/* Of two engines the one that began first is waited for; a model that came or
 * was given up is loaded by nobody. */
static void
test_coming(void)
{
    GQuark model = g_quark_from_string("m");
    struct ch_coming *coming = ch_coming_new();
    g_assert_cmpint(ch_coming_at(coming, model, NOW), ==, 0);
    learn_loads(coming, 4 * SECOND);
    tell(coming, "w1", NULL, "m", NOW);
    tell(coming, "w2", NULL, "m", NOW - 2 * SECOND);
    int64_t there = ch_coming_at(coming, model, NOW);
    g_assert_cmpint(there, >, NOW + 1500 * MILLI);
    g_assert_cmpint(there, <, NOW + 2500 * MILLI);
    tell(coming, "w2", "m", NULL, NOW + 2 * SECOND);
    g_assert_cmpint(ch_coming_at(coming, model, NOW), >, NOW + 3 * SECOND);
    tell(coming, "w1", NULL, NULL, NOW + 2 * SECOND);
    g_assert_cmpint(ch_coming_at(coming, model, NOW), ==, 0);
    ch_coming_free(coming);
}

static const struct {
    const char *what;
    int64_t after; /* asked so long after it came */
    int64_t expected;
    uint32_t attempt;
    bool begun;
    bool service;
    bool late;
} tries[] = {
    {"first try, in time", 0, 3500 * MILLI, 0, false, false, false},
    {"first try, too late", 0, 3700 * MILLI, 0, false, false, true},
    {"given back after 1.5 s, in time", 1500 * MILLI, SECOND, 1, false, false,
     false},
    {"given back after 1.5 s to a full engine", 1500 * MILLI, 3 * SECOND, 1,
     false, false, true},
    {"the caller has the beginning", 1500 * MILLI, 3 * SECOND, 1, true, false,
     false},
    {"a plain service", 0, 3700 * MILLI, 0, false, true, false},
};

/*
 * Load: engines of a model that are full, of which one sheds what waited there
 * for 1.5 s.  The caller gets nothing until its deadline.  The request goes on
 * to the next engine, which is as full, and waits there in turn; that it would
 * be too late there was looked at for the first engine alone.
 */
static void
test_given_back(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(tries); i++) {
        g_test_message("%s", tries[i].what);
        struct ch_work work = work_now();
        work.attempt = tries[i].attempt;
        work.begun = tries[i].begun;
        work.service = tries[i].service;
        bool late = ch_late_is(&work, tries[i].expected, NOW + tries[i].after);
        g_assert_cmpint(late, ==, tries[i].late);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/late/load-too-long", test_load_too_long);
    g_test_add_func("/late/engine-gone", test_engine_gone);
    g_test_add_func("/late/coming", test_coming);
    g_test_add_func("/late/given-back", test_given_back);
    return g_test_run();
}
