/* Requests that crash upstreams: digests, observations, the assessment of
 * requests, and interrupted calls. */

#include "crash/crash.h"

#include <string.h>

enum {
    CRASHES_TO_BAR = 3,
    SECOND_US = G_USEC_PER_SEC,
    HOUR_S = 3600,
};

/* The digest of a number. */
static struct ch_digest
number_digest(unsigned number)
{
    const struct ch_digest_part part = {&number, sizeof(number)};
    return ch_digest_compute(&part, 1);
}

/* Makes a table for at most `requests` requests, with the limits of this
 * test. */
static struct ch_crash_table *
table_new(size_t requests)
{
    const struct ch_crash_limits limits = {CRASHES_TO_BAR, requests,
                                           (int64_t)HOUR_S * SECOND_US};
    return ch_crash_table_new(&limits);
}

/* An observation that a request was running on an upstream that ended at
 * at_s. */
static struct ch_crash_observation
make_observation(unsigned request, const char *upstream, double at_s,
                 bool before_response)
{
    return (struct ch_crash_observation){
        .digest = number_digest(request),
        .fingerprint = 1000 + request,
        .upstream = g_quark_from_string(upstream),
        .boot_id = 7,
        .ended_at = (int64_t)(at_s * SECOND_US),
        .before_response = before_response,
    };
}

/* The table's assessment of a request. */
static struct ch_crash_assessment
assess(const struct ch_crash_table *table, unsigned request)
{
    const struct ch_digest digest = number_digest(request);
    return ch_crash_table_assess(table, &digest);
}

/* ---- digests ---- */

/* Guards against two requests with the same digest because path, caller and
 * body are divided differently: one would be refused for the crashes of the
 * other. */
static void
test_digest_borders(void)
{
    static const char *const texts[][3] = {
        {"/a", "b", "c"}, {"/ab", "", "c"}, {"/a", "bc", ""},
        {"/a", "", "bc"}, {"/abc", "", ""}, {"", "/a", "bc"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(texts); j++) {
            struct ch_digest digests[2];
            const size_t rows[] = {i, j};
            for (size_t k = 0; k < 2; k++) {
                struct ch_digest_part parts[3];
                for (size_t l = 0; l < 3; l++) {
                    const char *text = texts[rows[k]][l];
                    parts[l] = (struct ch_digest_part){text, strlen(text)};
                }
                digests[k] = ch_digest_compute(parts, 3);
            }
            g_assert_cmpint(ch_digest_equal(&digests[0], &digests[1]), ==,
                            i == j);
        }
    }
}

/* A digest is parsed as it was formatted, and invalid text is rejected. */
static void
test_digest_text(void)
{
    static const char *const bad[] = {
        "",
        "12",
        "0123456789abcdef0123456789abcde",
        "0123456789abcdef0123456789abcdef0",
        "0123456789abcdef0123456789abcdeg",
    };
    const struct ch_digest digest = number_digest(5);
    struct ch_digest read;
    char text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(&digest, text);
    g_assert_true(ch_digest_parse(text, &read));
    g_assert_true(ch_digest_equal(&digest, &read));
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_false(ch_digest_parse(bad[i], &read));
    }
}

/* ---- assessment of requests ---- */

struct observation_row {
    unsigned request;
    const char *upstream;
    double at_s;
    bool response_begun; /* part of the response had arrived */
};

enum {
    MAX_ROWS = 24,
};

/* The expected states of requests 1 and 2. */
struct assess_case {
    const char *name;
    struct observation_row rows[MAX_ROWS];
    enum ch_crash_state first;
    enum ch_crash_state second;
};

static const struct assess_case assess_cases[] = {
    {"one crash", {{1, "a", 1, false}}, CH_CRASH_SUSPECTED, CH_CRASH_UNKNOWN},
    {"two crashes",
     {{1, "a", 1, false}, {1, "b", 3, false}},
     CH_CRASH_SUSPECTED,
     CH_CRASH_UNKNOWN},
    {"one end told three times",
     {{1, "a", 1, false}, {1, "a", 1.1, false}, {1, "a", 0.9, false}},
     CH_CRASH_SUSPECTED,
     CH_CRASH_UNKNOWN},
    {"three crashes",
     {{1, "a", 1, false}, {1, "b", 3, false}, {1, "c", 4, false}},
     CH_CRASH_BARRED,
     CH_CRASH_UNKNOWN},
    {"three at once, by copies of the request",
     {{1, "a", 1, false}, {1, "b", 1.1, false}, {1, "c", 1.2, false}},
     CH_CRASH_BARRED,
     CH_CRASH_UNKNOWN},
    {"another beside it on one upstream",
     {{1, "a", 1, false},
      {2, "a", 1, false},
      {1, "b", 3, false},
      {1, "c", 4, false}},
     CH_CRASH_BARRED,
     CH_CRASH_SUSPECTED},
    {"another beside it, again on its repeat",
     {{1, "a", 1, false},
      {2, "a", 1, false},
      {1, "b", 3, false},
      {2, "b", 3, false},
      {1, "c", 4, false}},
     CH_CRASH_BARRED,
     CH_CRASH_SUSPECTED},
    {"another beside it on all three: neither is sure",
     {{1, "a", 1, false},
      {2, "a", 1, false},
      {1, "b", 3, false},
      {2, "b", 3, false},
      {1, "c", 4, false},
      {2, "c", 4, false}},
     CH_CRASH_SUSPECTED,
     CH_CRASH_SUSPECTED},
    {"another beside it on all three, then alone",
     {{1, "a", 1, false},
      {2, "a", 1, false},
      {1, "b", 3, false},
      {2, "b", 3, false},
      {1, "c", 4, false},
      {2, "c", 4, false},
      {1, "d", 5, false}},
     CH_CRASH_BARRED,
     CH_CRASH_SUSPECTED},
    {"long streams cut three times",
     {{1, "a", 1, true}, {1, "b", 3, true}, {1, "c", 4, true}},
     CH_CRASH_SUSPECTED,
     CH_CRASH_UNKNOWN},
    {"crashes in the middle of its answer, five times",
     {{1, "a", 1, true},
      {1, "b", 3, true},
      {1, "c", 4, true},
      {1, "d", 5, true},
      {1, "e", 6, true}},
     CH_CRASH_BARRED,
     CH_CRASH_UNKNOWN},
    {"in three waves of crashes with their own cause",
     {{1, "a", 1, false},
      {3, "b", 1.1, false},
      {4, "c", 1.2, false},
      {1, "d", 5, false},
      {5, "e", 5.1, false},
      {6, "f", 5.2, false},
      {1, "g", 9, false},
      {7, "h", 9.1, false},
      {8, "i", 9.2, false}},
     CH_CRASH_SUSPECTED,
     CH_CRASH_UNKNOWN},
    {"two such requests at once",
     {{1, "a", 1, false},
      {2, "b", 1.1, false},
      {1, "c", 1.2, false},
      {2, "d", 1.3, false},
      {1, "e", 1.4, false},
      {2, "f", 1.5, false}},
     CH_CRASH_BARRED,
     CH_CRASH_BARRED},
    {"two such requests on the same upstreams, five times",
     {{1, "a", 1, false},
      {2, "a", 1, false},
      {1, "b", 3, false},
      {2, "b", 3, false},
      {1, "c", 4, false},
      {2, "c", 4, false},
      {1, "d", 5, false},
      {2, "d", 5, false},
      {1, "e", 6, false},
      {2, "e", 6, false}},
     CH_CRASH_BARRED,
     CH_CRASH_BARRED},
};

/* Adds the observations of a case in steps that visit each once, starting at
 * index `first`; returns how many there are. */
static unsigned
add_rows(struct ch_crash_table *table, const struct assess_case *row,
         unsigned first, unsigned step)
{
    unsigned count = 0;
    while (count < MAX_ROWS && row->rows[count].upstream != NULL) {
        count++;
    }
    for (unsigned i = 0; i < count; i++) {
        const struct observation_row *observed =
            &row->rows[(first + i * step) % count];
        const struct ch_crash_observation observation =
            make_observation(observed->request, observed->upstream,
                             observed->at_s, !observed->response_begun);
        (void)ch_crash_table_add(table, &observation);
    }
    return count;
}

/* The assessment does not depend on the order in which observations arrive,
 * nor on how often; tables that hold the same have the same checksum. */
static void
test_assess(gconstpointer data)
{
    const struct assess_case *row = data;
    struct ch_crash_table *forward = table_new(100);
    unsigned count = add_rows(forward, row, 0, 1);
    for (unsigned first = 0; first < count; first++) {
        struct ch_crash_table *other = table_new(100);
        (void)add_rows(other, row, first, count - 1);
        (void)add_rows(other, row, 0, 1);
        g_assert_cmpint(assess(other, 1).state, ==, row->first);
        g_assert_cmpint(assess(other, 2).state, ==, row->second);
        g_assert_cmphex(ch_crash_table_checksum(other), ==,
                        ch_crash_table_checksum(forward));
        ch_crash_table_free(other);
    }
    ch_crash_table_free(forward);
}

/* Adds an observation to the table in data. */
static void
add_to(void *data, const struct ch_crash_observation *observation)
{
    (void)ch_crash_table_add(data, observation);
}

/* Guards against a node that has just started and sends requests that all
 * other nodes bar: it receives all observations and reaches the same
 * assessment. */
static void
test_new_node_catches_up(void)
{
    struct ch_crash_table *table = table_new(100);
    struct ch_crash_table *joining = table_new(100);
    (void)add_rows(table, &assess_cases[3], 0, 1);
    g_assert_cmphex(ch_crash_table_checksum(table), !=,
                    ch_crash_table_checksum(joining));
    ch_crash_table_foreach_observation(table, add_to, joining);
    g_assert_cmphex(ch_crash_table_checksum(table), ==,
                    ch_crash_table_checksum(joining));
    g_assert_cmpint(assess(joining, 1).state, ==, CH_CRASH_BARRED);
    ch_crash_table_free(joining);
    ch_crash_table_free(table);
}

/* Guards against a host that started after the crashes and lets the request
 * through: the times of these crashes are negative on its clock. */
static void
test_negative_times(void)
{
    struct ch_crash_table *table = table_new(100);
    for (unsigned i = 0; i < CRASHES_TO_BAR; i++) {
        char name[] = {(char)('a' + i), '\0'};
        const struct ch_crash_observation observation =
            make_observation(1, name, -10.0 - 3 * i, true);
        (void)ch_crash_table_add(table, &observation);
    }
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_BARRED);
    ch_crash_table_expire(table, 0);
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_BARRED);
    ch_crash_table_free(table);
}

/* Guards against a popular request that is refused after a wave of crashes: it
 * runs on every upstream, and one of them sent a complete response. */
static void
test_harmless(void)
{
    for (unsigned answered_after = 0; answered_after < 6; answered_after++) {
        static const char *const names[] = {"a", "b", "c", "d", "e", "f"};
        struct ch_crash_table *table = table_new(100);
        const struct ch_digest digest = number_digest(1);
        g_assert_false(ch_crash_table_mark_harmless(table, &digest));
        for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
            const struct ch_crash_observation observation =
                make_observation(1, names[i], i + 1, true);
            (void)ch_crash_table_add(table, &observation);
            if (i == answered_after) {
                g_assert_true(ch_crash_table_mark_harmless(table, &digest));
                g_assert_false(ch_crash_table_mark_harmless(table, &digest));
            }
        }
        g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_HARMLESS);
        ch_crash_table_free(table);
    }
}

/* After an operator has released a request, only later crashes count. */
static void
test_release(void)
{
    struct ch_crash_table *table = table_new(100);
    const struct ch_digest digest = number_digest(1);
    g_assert_false(ch_crash_table_release(table, &digest, SECOND_US));
    (void)add_rows(table, &assess_cases[3], 0, 1);
    g_assert_true(
        ch_crash_table_release(table, &digest, (int64_t)10 * SECOND_US));
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_UNKNOWN);
    for (unsigned i = 0; i < CRASHES_TO_BAR; i++) {
        char name[] = {(char)('m' + i), '\0'};
        const struct ch_crash_observation observation =
            make_observation(1, name, 20 + i, true);
        (void)ch_crash_table_add(table, &observation);
    }
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_BARRED);
    ch_crash_table_free(table);
}

/* Guards against nodes that are all killed at once and restart without knowing
 * that a request was barred: its stored record bars it until a release. */
static void
test_stored_record(void)
{
    struct ch_crash_table *table = table_new(2);
    const struct ch_digest digest = number_digest(1);
    ch_crash_table_restore_barred(table, &digest, 1001, SECOND_US);
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_BARRED);
    g_assert_true(ch_crash_table_has_fingerprint(table, 1001));
    g_assert_true(
        ch_crash_table_release(table, &digest, (int64_t)2 * SECOND_US));
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_UNKNOWN);
    for (unsigned i = 2; i < 5; i++) {
        const struct ch_digest other = number_digest(i);
        ch_crash_table_restore_barred(table, &other, 1000 + i,
                                      (int64_t)i * SECOND_US);
    }
    g_assert_false(ch_crash_table_has_fingerprint(table, 1001));
    g_assert_true(ch_crash_table_has_fingerprint(table, 1004));
    ch_crash_table_free(table);
}

/* Guards against a table that grows with every crash, and against one that
 * drops evidence it still needs: the oldest evidence is dropped first, and
 * evidence older than the retention. */
static void
test_bounds(void)
{
    enum {
        REQUESTS = 8,
    };
    struct ch_crash_table *table = table_new(REQUESTS);
    for (unsigned i = 0; i < 100; i++) {
        char *name = g_strdup_printf("u%u", i);
        const struct ch_crash_observation other =
            make_observation(100 + i, name, i + 1, true);
        const struct ch_crash_observation repeated =
            make_observation(1, name, i + 1, true);
        (void)ch_crash_table_add(table, &other);
        (void)ch_crash_table_add(table, &repeated);
        g_free(name);
    }
    g_assert_cmpint(assess(table, 1).state, ==, CH_CRASH_BARRED);
    g_assert_cmpuint(assess(table, 1).crashes, ==, 100);
    g_assert_cmpuint(assess(table, 100).crashes, ==, 0);
    g_assert_cmpuint(assess(table, 199).crashes, ==, 1);
    g_assert_true(ch_crash_table_has_fingerprint(table, 1001));
    g_assert_false(ch_crash_table_has_fingerprint(table, 1100));
    ch_crash_table_expire(table, (int64_t)(HOUR_S + 99) * SECOND_US);
    g_assert_cmpuint(assess(table, 1).crashes, ==, 100);
    ch_crash_table_expire(table, (int64_t)(HOUR_S + 101) * SECOND_US);
    g_assert_true(ch_crash_table_is_empty(table));
    g_assert_cmphex(ch_crash_table_checksum(table), ==, 0);
    g_assert_false(ch_crash_table_has_fingerprint(table, 1001));
    ch_crash_table_free(table);
}

/*
 * Guards against nodes that stall when a data centre is lost: 270 upstreams
 * crash under 42 requests each, and every node receives each observation.  The
 * newest requests are kept.
 */
static void
test_data_centre_lost(void)
{
    enum {
        UPSTREAMS = 270,
        REQUESTS_PER_UPSTREAM = 42,
        MAX_REQUESTS = 1024,
        MAX_DURATION_US = 2 * SECOND_US,
    };
    struct ch_crash_table *table = table_new(MAX_REQUESTS);
    unsigned request = 0;
    int64_t started_at = g_get_monotonic_time();
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        char *name = g_strdup_printf("u%u", i);
        for (unsigned j = 0; j < REQUESTS_PER_UPSTREAM; j++) {
            const struct ch_crash_observation observation =
                make_observation(request++, name, 1 + 0.001 * i, true);
            (void)ch_crash_table_add(table, &observation);
            g_assert_cmpuint(
                ch_crash_table_count_crashes(table, &observation.digest), ==,
                1);
        }
        g_free(name);
    }
    int64_t duration_us = g_get_monotonic_time() - started_at;
    g_test_message("%u requests in %" G_GINT64_FORMAT " us", request,
                   duration_us);
    g_assert_cmpint(duration_us, <, MAX_DURATION_US);
    g_assert_cmpint(assess(table, request - 1).state, ==, CH_CRASH_SUSPECTED);
    g_assert_cmpint(assess(table, 0).state, ==, CH_CRASH_UNKNOWN);
    ch_crash_table_free(table);
}

/* ---- many requests: waves of crashes, and one request that crashes ---- */

enum {
    ENGINES = 12,
    REQUESTS = 3000,
    MAX_TRIES = 4, /* of one caller's request, over its two attempts */
    SEEDS = 40,
};

/* Simulated engines, with the time at which each is up again. */
struct fleet {
    GRand *random;
    struct ch_crash_table *table;
    unsigned boot_ids[ENGINES];
    double up_at_s[ENGINES];
};

/* Whether an engine is up. */
static bool
is_up(const struct fleet *fleet, unsigned engine, double now_s)
{
    return fleet->up_at_s[engine] <= now_s;
}

/* An observation of a request on an engine. */
static struct ch_crash_observation
fleet_observation(const struct fleet *fleet, unsigned request, unsigned engine,
                  double at_s, bool before_response)
{
    char name[16];
    (void)g_snprintf(name, sizeof(name), "e%u", engine);
    struct ch_crash_observation observation =
        make_observation(request, name, at_s, before_response);
    observation.boot_id = fleet->boot_ids[engine];
    return observation;
}

/* Crashes an engine under `count` requests; it is down for 3 s. */
static void
crash_engine(struct fleet *fleet, unsigned engine, double at_s,
             const unsigned *requests, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        bool before_response = g_rand_boolean(fleet->random);
        const struct ch_crash_observation observation = fleet_observation(
            fleet, requests[i], engine, at_s, before_response);
        (void)ch_crash_table_add(fleet->table, &observation);
    }
    fleet->boot_ids[engine]++;
    fleet->up_at_s[engine] = at_s + 3;
}

/*
 * Guards against harmless requests that are refused after waves of crashes.
 * A quarter of the engines crashes at about the same moment, MAX_TRIES times.
 * The requests that ran there are retried elsewhere, at once and by their
 * callers, and by chance on an engine that crashes in the next wave as well.
 */
static void
test_wave(void)
{
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        struct fleet fleet = {
            g_rand_new_with_seed(seed), table_new(100000), {0}, {0}};
        unsigned engines[REQUESTS];
        unsigned tries[REQUESTS] = {0};
        for (unsigned wave = 0; wave < MAX_TRIES; wave++) {
            double at_s = 1 + 4.0 * wave;
            for (unsigned i = 0; i < REQUESTS; i++) {
                engines[i] =
                    (unsigned)g_rand_int_range(fleet.random, 0, ENGINES);
            }
            for (unsigned engine = 0; engine < ENGINES; engine++) {
                if (g_rand_int_range(fleet.random, 0, 4) != 0) {
                    continue;
                }
                unsigned interrupted[REQUESTS];
                unsigned count = 0;
                for (unsigned i = 0; i < REQUESTS; i++) {
                    if (engines[i] == engine && tries[i] == wave) {
                        tries[i]++;
                        interrupted[count++] = i;
                    }
                }
                crash_engine(&fleet, engine, at_s, interrupted, count);
                at_s += 0.02;
            }
        }
        for (unsigned i = 0; i < REQUESTS; i++) {
            g_assert_cmpint(assess(fleet.table, i).state, !=, CH_CRASH_BARRED);
        }
        ch_crash_table_free(fleet.table);
        g_rand_free(fleet.random);
    }
}

/*
 * Guards against other requests that are barred instead of the one that
 * crashes each engine it runs on and is sent again and again.  A few others
 * run on the same engine each time and are retried elsewhere, often on the
 * engine that the crashing request gets next.  The crashing request is barred
 * within MAX_CRASHES crashes, and no other request ever is.
 */
static void
test_crashing_among_others(void)
{
    enum {
        CRASHING_REQUEST = 1000000,
        OTHERS = 8,
        MAX_CRASHES = CRASHES_TO_BAR + 2,
    };
    for (unsigned seed = 0; seed < SEEDS; seed++) {
        struct fleet fleet = {
            g_rand_new_with_seed(seed), table_new(100000), {0}, {0}};
        unsigned others[OTHERS];
        unsigned tries[OTHERS] = {0};
        unsigned next = 0;
        unsigned crashes = 0;
        for (unsigned i = 0; i < OTHERS; i++) {
            others[i] = next++;
        }
        double at_s = 1;
        while (assess(fleet.table, CRASHING_REQUEST).state !=
               CH_CRASH_BARRED) {
            unsigned engine = 0;
            do {
                engine = (unsigned)g_rand_int_range(fleet.random, 0, ENGINES);
                at_s += 0.1;
            } while (!is_up(&fleet, engine, at_s));
            const struct ch_crash_observation observation = fleet_observation(
                &fleet, CRASHING_REQUEST, engine, at_s, true);
            (void)ch_crash_table_add(fleet.table, &observation);
            crash_engine(&fleet, engine, at_s, others, OTHERS);
            crashes++;
            g_assert_cmpuint(crashes, <=, MAX_CRASHES);
            for (unsigned i = 0; i < OTHERS; i++) {
                bool retried = ++tries[i] < MAX_TRIES &&
                               g_rand_int_range(fleet.random, 0, 3) > 0;
                others[i] = retried ? others[i] : next++;
                tries[i] = retried ? tries[i] : 0;
            }
        }
        for (unsigned i = 0; i < next; i++) {
            g_assert_cmpint(assess(fleet.table, i).state, !=, CH_CRASH_BARRED);
        }
        ch_crash_table_free(fleet.table);
        g_rand_free(fleet.random);
    }
}

/* ---- interrupted calls ---- */

enum call_event {
    REFUSED_SOON,
    REFUSED_LATE,
    LISTED_UNCHANGED,
    LISTED_DRAINING,
    LISTED_NEW_BOOT,
    NOT_LISTED,
    RESPONDED_LATER_CALL,
    RESPONDED_EARLIER_CALL,
    CRASH_REPORTED,
    CRASH_REPORTED_OTHER_BOOT,
    OTHER_REFUSED,
    EXPIRED,
};

static const struct {
    const char *name;
    enum call_event event;
    unsigned ended;
    unsigned remaining;
} call_cases[] = {
    {"refuses connections soon", REFUSED_SOON, 1, 0},
    {"refuses connections much later", REFUSED_LATE, 0, 1},
    {"is listed unchanged", LISTED_UNCHANGED, 0, 1},
    {"is listed as draining", LISTED_DRAINING, 0, 0},
    {"has started again with a new boot ID", LISTED_NEW_BOOT, 1, 0},
    {"is no longer listed", NOT_LISTED, 1, 0},
    {"responds to a later call: only the connection was lost",
     RESPONDED_LATER_CALL, 0, 0},
    {"responds to an earlier call", RESPONDED_EARLIER_CALL, 0, 1},
    {"another node found that it crashed", CRASH_REPORTED, 1, 0},
    {"another node found that an earlier process crashed",
     CRASH_REPORTED_OTHER_BOOT, 0, 1},
    {"another upstream refuses connections", OTHER_REFUSED, 0, 1},
    {"the cause did not become known in time", EXPIRED, 0, 0},
};

/* Applies an event to upstream "a" with boot ID 7, on which a call was
 * interrupted at 10 s. */
static void
apply_event(struct ch_interrupted_calls *calls, enum call_event event,
            GArray *ended)
{
    GQuark a = g_quark_from_string("a");
    const struct ch_crash_listed_upstream rows[] = {
        {g_quark_from_string("b"), 7, false},
        {a, event == LISTED_NEW_BOOT ? 8 : 7, event == LISTED_DRAINING},
    };
    switch (event) {
    case REFUSED_SOON:
    case REFUSED_LATE:
        ch_interrupted_calls_note_refused(
            calls, a, (int64_t)(event == REFUSED_SOON ? 11 : 15) * SECOND_US,
            ended);
        return;
    case OTHER_REFUSED:
        ch_interrupted_calls_note_refused(calls, g_quark_from_string("b"),
                                          (int64_t)11 * SECOND_US, ended);
        return;
    case RESPONDED_LATER_CALL:
    case RESPONDED_EARLIER_CALL:
        ch_interrupted_calls_note_response(
            calls, a,
            (int64_t)(event == RESPONDED_LATER_CALL ? 11 : 9) * SECOND_US);
        return;
    case CRASH_REPORTED:
    case CRASH_REPORTED_OTHER_BOOT:
        ch_interrupted_calls_note_crash(
            calls, a, event == CRASH_REPORTED ? 7 : 6, ended);
        return;
    case EXPIRED:
        ch_interrupted_calls_expire(calls, (int64_t)30 * SECOND_US);
        return;
    default:
        ch_interrupted_calls_note_list(calls, rows,
                                       event == NOT_LISTED ? 1 : 2, ended);
        return;
    }
}

/* Guards against broken responses or reset connections that are taken for a
 * crash of the upstream, and against crashes that go unnoticed. */
static void
test_interrupted_calls(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
        struct ch_interrupted_calls *calls = ch_interrupted_calls_new();
        GArray *ended =
            g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
        const struct ch_crash_observation observation =
            make_observation(1, "a", 10, true);
        ch_interrupted_calls_add(calls, &observation);
        apply_event(calls, call_cases[i].event, ended);
        g_test_message("%s", call_cases[i].name);
        g_assert_cmpuint(ended->len, ==, call_cases[i].ended);
        g_assert_cmpuint(ch_interrupted_calls_count(calls), ==,
                         call_cases[i].remaining);
        g_array_free(ended, TRUE);
        ch_interrupted_calls_free(calls);
    }
}

/* Interrupted calls whose cause stays unknown take bounded memory. */
static void
test_interrupted_calls_bounded(void)
{
    struct ch_interrupted_calls *calls = ch_interrupted_calls_new();
    for (unsigned i = 0; i < 5000; i++) {
        const struct ch_crash_observation observation =
            make_observation(i, "a", 10, true);
        ch_interrupted_calls_add(calls, &observation);
    }
    g_assert_cmpuint(ch_interrupted_calls_count(calls), <=, 1024);
    ch_interrupted_calls_free(calls);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crash/digest/borders", test_digest_borders);
    g_test_add_func("/crash/digest/text", test_digest_text);
    for (size_t i = 0; i < G_N_ELEMENTS(assess_cases); i++) {
        char *path = g_strconcat("/crash/judge/", assess_cases[i].name, NULL);
        g_test_add_data_func(path, &assess_cases[i], test_assess);
        g_free(path);
    }
    g_test_add_func("/crash/joins", test_new_node_catches_up);
    g_test_add_func("/crash/before-the-clock", test_negative_times);
    g_test_add_func("/crash/sound", test_harmless);
    g_test_add_func("/crash/release", test_release);
    g_test_add_func("/crash/record", test_stored_record);
    g_test_add_func("/crash/bounds", test_bounds);
    g_test_add_func("/crash/data-centre-lost", test_data_centre_lost);
    g_test_add_func("/crash/wave", test_wave);
    g_test_add_func("/crash/repeated-among-others",
                    test_crashing_among_others);
    g_test_add_func("/crash/cuts", test_interrupted_calls);
    g_test_add_func("/crash/cuts-bounded", test_interrupted_calls_bounded);
    return g_test_run();
}
