/* Paths to upstreams: what a node concludes from its connections and from what
 * others tell, and by which node it calls. */

#include "path/path.h"

enum {
    MAX_STEPS = 16,
    UPSTREAMS = 4,
};

/* Microseconds. */
static const int64_t MS = 1000;

enum step_kind {
    END,
    CONNECTS,
    TIMES_OUT,
    REFUSES,
    REACHED,     /* another node says that it reaches the upstream */
    NOT_REACHED, /* another node says that it does not */
};

struct step {
    enum step_kind kind;
    unsigned upstream;
    int64_t at_ms; /* end of the attempt, which took TRY_MS */
};

enum {
    TRY_MS = 400,
    CUT = 1,
    NOT_CUT = 2,
};

struct tracker_case {
    const char *name;
    struct step steps[MAX_STEPS];
    int cut;                              /* at the end */
    enum ch_path_state states[UPSTREAMS]; /* at the end */
    int needs_relay_at_ms;                /* for upstream 0; 0: not checked */
    bool needs_relay;
};

static const struct tracker_case tracker_cases[] = {
    {"nothing-known", {{END, 0, 0}}, NOT_CUT, {0}, 1000, false},
    {"one-upstream-times-out",
     {{TIMES_OUT, 0, 1000}, {TIMES_OUT, 0, 2000}},
     NOT_CUT,
     {CH_PATH_DOUBTFUL},
     3000,
     false},
    {"one-upstream-reached-by-others",
     {{TIMES_OUT, 0, 1000}, {REACHED, 0, 1010}},
     NOT_CUT,
     {CH_PATH_LOST},
     1020,
     true},
    {"one-upstream-down-for-all",
     {{REFUSES, 0, 1000}, {NOT_REACHED, 0, 1010}},
     NOT_CUT,
     {CH_PATH_DOWN},
     1020,
     false},
    {"one-that-reaches-outweighs-others",
     {{REFUSES, 0, 1000}, {REACHED, 0, 1010}, {NOT_REACHED, 0, 1020}},
     NOT_CUT,
     {CH_PATH_LOST},
     1030,
     true},
    {"two-upstreams-down-for-all",
     {{REFUSES, 0, 1000},
      {REFUSES, 1, 1000},
      {NOT_REACHED, 0, 1010},
      {NOT_REACHED, 1, 1010}},
     NOT_CUT,
     {CH_PATH_DOWN, CH_PATH_DOWN},
     1020,
     false},
    {"two-lost",
     {{TIMES_OUT, 0, 1000}, {TIMES_OUT, 1, 1100}, {REACHED, 1, 1110}},
     CUT,
     {CH_PATH_DOUBTFUL, CH_PATH_LOST},
     1120,
     true},
    {"two-lost-one-connects-meanwhile",
     {{TIMES_OUT, 0, 1000},
      {CONNECTS, 2, 1500},
      {TIMES_OUT, 1, 1500},
      {REACHED, 0, 1510},
      {REACHED, 1, 1510}},
     NOT_CUT,
     {CH_PATH_LOST, CH_PATH_LOST},
     1520,
     true},
    {"attempt-before-the-last-connection",
     {{CONNECTS, 0, 2000}, {TIMES_OUT, 0, 1900}, {REACHED, 0, 2010}},
     NOT_CUT,
     {CH_PATH_OPEN},
     2020,
     false},
    {"one-connection-is-no-return",
     {{REFUSES, 0, 1000},
      {REFUSES, 1, 1000},
      {REACHED, 0, 1010},
      {CONNECTS, 0, 2000}},
     CUT,
     {CH_PATH_OPEN, CH_PATH_DOUBTFUL},
     2010,
     true},
    {"flapping-is-no-return",
     {{REFUSES, 0, 1000},
      {REFUSES, 1, 1000},
      {REACHED, 0, 1010},
      {CONNECTS, 0, 2000},
      {REFUSES, 1, 2500},
      {CONNECTS, 0, 3000}},
     CUT,
     {CH_PATH_OPEN, CH_PATH_DOUBTFUL},
     3010,
     true},
    {"two-connections-are-a-return",
     {{REFUSES, 0, 1000},
      {REFUSES, 1, 1000},
      {REACHED, 0, 1010},
      {CONNECTS, 0, 2000},
      {CONNECTS, 1, 2200}},
     NOT_CUT,
     {CH_PATH_OPEN, CH_PATH_OPEN},
     4000,
     false},
    {"return-of-another-service",
     {{REFUSES, 0, 1000},
      {REFUSES, 1, 1000},
      {REACHED, 0, 1010},
      {CONNECTS, 2, 2000},
      {CONNECTS, 3, 2200}},
     NOT_CUT,
     {CH_PATH_LOST, CH_PATH_OPEN},
     4000,
     true},
};

static GQuark
get_name(unsigned index)
{
    static const char *const names[UPSTREAMS] = {"w0", "w1", "w2", "w3"};
    return g_quark_from_static_string(names[index]);
}

static void
apply_step(struct ch_path_tracker *tracker, const struct step *step)
{
    static const enum ch_path_evidence evidence[] = {
        [CONNECTS] = CH_PATH_CONNECTED,
        [TIMES_OUT] = CH_PATH_TIMED_OUT,
        [REFUSES] = CH_PATH_REFUSED,
    };
    GQuark upstream = get_name(step->upstream);
    if (step->kind == REACHED || step->kind == NOT_REACHED) {
        ch_path_tracker_record_view(tracker, upstream, step->kind == REACHED,
                                    step->at_ms * MS);
        return;
    }
    const struct ch_path_sample sample = {
        .upstream = upstream,
        .evidence = evidence[step->kind],
        .started_at = (step->at_ms - TRY_MS) * MS,
        .ended_at = step->at_ms * MS,
    };
    ch_path_tracker_record(tracker, &sample);
}

static void
test_tracker(gconstpointer data)
{
    const struct tracker_case *row = data;
    struct ch_path_tracker *tracker = ch_path_tracker_new();
    for (size_t i = 0; i < MAX_STEPS && row->steps[i].kind != END; i++) {
        apply_step(tracker, &row->steps[i]);
    }
    g_assert_cmpint(ch_path_tracker_get_cut_since(tracker) != 0, ==,
                    row->cut == CUT);
    for (unsigned i = 0; i < UPSTREAMS; i++) {
        g_assert_cmpint(ch_path_tracker_get_state(tracker, get_name(i)), ==,
                        row->states[i]);
    }
    g_assert_cmpint(ch_path_tracker_needs_relay(tracker, get_name(0), 0,
                                                row->needs_relay_at_ms * MS),
                    ==, row->needs_relay);
    ch_path_tracker_free(tracker);
}

/* An attempt that its caller's deadline ended early says nothing. */
static void
test_short_attempt(void)
{
    struct ch_path_tracker *tracker = ch_path_tracker_new();
    const struct ch_path_sample sample = {get_name(0), CH_PATH_TIMED_OUT,
                                          1000 * MS, 1050 * MS};
    ch_path_tracker_record(tracker, &sample);
    g_assert_cmpint(ch_path_tracker_get_state(tracker, get_name(0)), ==,
                    CH_PATH_OPEN);
    ch_path_tracker_free(tracker);
}

static void
cut_off(struct ch_path_tracker *tracker)
{
    static const struct step steps[] = {
        {REFUSES, 0, 1000}, {REFUSES, 1, 1000}, {REACHED, 0, 1010}};
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        apply_step(tracker, &steps[i]);
    }
    g_assert_cmpint(ch_path_tracker_get_cut_since(tracker), !=, 0);
}

/* Guards against all calls opening new connections at the moment at which a
 * cut ends. */
static void
test_gradual_return(void)
{
    struct ch_path_tracker *tracker = ch_path_tracker_new();
    cut_off(tracker);
    const struct step steps[] = {{CONNECTS, 0, 2000}, {CONNECTS, 1, 2200}};
    apply_step(tracker, &steps[0]);
    apply_step(tracker, &steps[1]);
    unsigned last = 1001;
    for (int64_t at_ms = 2200; at_ms <= 3200; at_ms += 250) {
        unsigned relayed = 0;
        for (uint64_t draw = 0; draw < 1000; draw++) {
            relayed += ch_path_tracker_needs_relay(tracker, get_name(0), draw,
                                                   at_ms * MS);
        }
        g_assert_cmpuint(relayed, <, last);
        last = relayed;
    }
    g_assert_cmpuint(last, ==, 0);
    ch_path_tracker_free(tracker);
}

/* Guards against probes that take the time of upstreams: one at a time, of all
 * upstreams in turn. */
static void
test_probes(void)
{
    struct ch_path_tracker *tracker = ch_path_tracker_new();
    unsigned probes = 0;
    unsigned of_first = 0;
    cut_off(tracker);
    for (int64_t at_ms = 1100; at_ms < 3100; at_ms += 10) {
        GQuark upstream = ch_path_tracker_select_probe(tracker, at_ms * MS);
        probes += upstream != 0 ? 1 : 0;
        of_first += upstream == get_name(0) ? 1 : 0;
    }
    g_assert_cmpuint(probes, >=, 4);
    g_assert_cmpuint(probes, <=, 10);
    unsigned doubled = of_first * 2;
    g_assert_cmpuint(doubled, >=, probes - 1);
    g_assert_cmpuint(doubled, <=, probes + 1);
    ch_path_tracker_free(tracker);
}

/* Other nodes are asked now and then only, and not about what is known. */
static void
test_questions(void)
{
    struct ch_path_tracker *tracker = ch_path_tracker_new();
    const struct step step = {TIMES_OUT, 0, 1000};
    unsigned questions = 0;
    g_assert_false(ch_path_tracker_needs_view(tracker, get_name(0), 900 * MS));
    apply_step(tracker, &step);
    for (int64_t at_ms = 1000; at_ms < 3000; at_ms += 10) {
        questions +=
            ch_path_tracker_needs_view(tracker, get_name(0), at_ms * MS);
    }
    g_assert_cmpuint(questions, >=, 2);
    g_assert_cmpuint(questions, <=, 5);
    cut_off(tracker);
    g_assert_false(
        ch_path_tracker_needs_view(tracker, get_name(0), 5000 * MS));
    ch_path_tracker_free(tracker);
}

struct again_case {
    const char *name;
    struct step steps[MAX_STEPS];
    unsigned least; /* questions in two seconds without another failure */
    unsigned most;
};

static const struct again_case again_cases[] = {
    {"open", {{CONNECTS, 0, 1000}}, 0, 0},
    {"doubtful", {{TIMES_OUT, 0, 1000}}, 3, 5},
    {"down", {{REFUSES, 0, 1000}, {NOT_REACHED, 0, 1010}}, 1, 2},
    {"lost", {{TIMES_OUT, 0, 1000}, {REACHED, 0, 1010}}, 0, 0},
    {"cut",
     {{REFUSES, 0, 1000}, {REFUSES, 1, 1000}, {REACHED, 0, 1010}},
     0,
     0},
};

/* Guards against a node that is cut off not learning so, as the nodes that it
 * asked could not tell and it sends no more calls. */
static void
test_asks_again(gconstpointer data)
{
    const struct again_case *row = data;
    struct ch_path_tracker *tracker = ch_path_tracker_new();
    unsigned questions = 0;
    for (size_t i = 0; i < MAX_STEPS && row->steps[i].kind != END; i++) {
        apply_step(tracker, &row->steps[i]);
    }
    for (int64_t at_ms = 1100; at_ms < 3100; at_ms += 10) {
        questions +=
            ch_path_tracker_select_question(tracker, at_ms * MS) != 0 ? 1 : 0;
    }
    g_assert_cmpuint(questions, >=, row->least);
    g_assert_cmpuint(questions, <=, row->most);
    ch_path_tracker_free(tracker);
}

/* Any order of events ends open once connections succeed again, and a node
 * that connects elsewhere all the while never counts as cut off. */
static void
test_random_events(void)
{
    static const enum step_kind kinds[] = {CONNECTS, TIMES_OUT, REFUSES,
                                           REACHED, NOT_REACHED};
    for (uint32_t seed = 1; seed <= 200; seed++) {
        GRand *rand = g_rand_new_with_seed(seed);
        struct ch_path_tracker *tracker = ch_path_tracker_new();
        int64_t at_ms = 1000;
        bool is_safe = seed % 2 == 0;
        for (unsigned i = 0; i < 300; i++) {
            at_ms += g_rand_int_range(rand, 1, 200);
            const struct step step = {
                kinds[g_rand_int_range(rand, 0, G_N_ELEMENTS(kinds))],
                (unsigned)g_rand_int_range(rand, 0, UPSTREAMS - 1), at_ms};
            const struct step elsewhere = {CONNECTS, UPSTREAMS - 1,
                                           at_ms + TRY_MS};
            if (is_safe) {
                apply_step(tracker, &elsewhere);
            }
            apply_step(tracker, &step);
            if (is_safe) {
                g_assert_cmpint(ch_path_tracker_get_cut_since(tracker), ==, 0);
            }
        }
        for (unsigned i = 0; i < 2 * UPSTREAMS; i++) {
            const struct step step = {CONNECTS, i % UPSTREAMS,
                                      at_ms + INT64_C(2) * TRY_MS + i};
            apply_step(tracker, &step);
        }
        g_assert_cmpint(ch_path_tracker_get_cut_since(tracker), ==, 0);
        for (unsigned i = 0; i < UPSTREAMS; i++) {
            g_assert_false(ch_path_tracker_needs_relay(tracker, get_name(i), 0,
                                                       (at_ms + 5000) * MS));
        }
        ch_path_tracker_free(tracker);
        g_rand_free(rand);
    }
}

/* ---- choice of the relaying node ---- */

enum {
    MAX_NODES = 300,
    CALLS = 30,
    /* Nodes near by are preferred if they have half of the capacity of those
     * in the region, and these if they have half of all. */
    MAX_RATIO = 4,
    FEW_CALLS = 4, /* are no load */
};

struct choice_case {
    const char *name;
    unsigned nodes; /* in six data centres of two regions, in turn */
    unsigned cut;   /* the first ones by data centre */
    bool by_centre; /* whole data centres are cut, else nodes in turn */
};

static const struct choice_case choice_cases[] = {
    {"one-of-7", 7, 1, false},
    {"half-of-7", 7, 3, false},
    {"all-but-one-of-7", 7, 6, false},
    {"centre-of-7", 7, 2, true},
    {"one-of-75", 75, 1, false},
    {"half-of-75", 75, 37, false},
    {"centre-of-75", 75, 13, true},
    {"region-of-75", 75, 39, true},
    {"all-but-one-of-75", 75, 74, false},
    {"one-of-300", 300, 1, false},
    {"half-of-300", 300, 150, false},
    {"centre-of-300", 300, 50, true},
    {"region-of-300", 300, 150, true},
    {"all-but-one-of-300", 300, 299, false},
};

static struct ch_path_place
get_place(unsigned centre)
{
    static const char *const centres[] = {"a", "b", "c", "d", "e", "f"};
    return (struct ch_path_place){
        g_quark_from_static_string(centres[centre]),
        g_quark_from_static_string(centre < 3 ? "r1" : "r2"),
    };
}

/* The data centre of a node: in turn, or the first ones filled first. */
static unsigned
get_centre(const struct choice_case *row, unsigned node)
{
    return row->by_centre ? node * 6 / row->nodes : node % 6;
}

/* Guards against one node getting the calls of many that are cut off: each cut
 * node has some calls under way, and knows of its own alone. */
static void
test_choice(gconstpointer data)
{
    const struct choice_case *row = data;
    struct ch_path_relay_candidate candidates[MAX_NODES];
    unsigned loads[MAX_NODES] = {0};
    unsigned count = row->nodes - row->cut;
    unsigned largest = 0;
    for (unsigned i = 0; i < row->cut; i++) {
        const struct ch_path_place from = get_place(get_centre(row, i));
        for (unsigned k = 0; k < count; k++) {
            const struct ch_path_place place =
                get_place(get_centre(row, row->cut + k));
            candidates[k] = (struct ch_path_relay_candidate){
                place.data_centre, place.region, 100, 0};
        }
        for (unsigned call = 0; call < CALLS; call++) {
            const struct ch_path_place to = get_place((call + i) % 6);
            size_t chosen = ch_path_choose_relay(candidates, count, &from, &to,
                                                 ch_hash_pair(i, call));
            g_assert_cmpuint(chosen, <, count);
            candidates[chosen].outstanding++;
            loads[chosen]++;
        }
    }
    for (unsigned k = 0; k < count; k++) {
        largest = MAX(largest, loads[k]);
    }
    double ratio = (double)largest * count / (row->cut * CALLS);
    g_test_message("figure: %s: largest load %.2f of the mean", row->name,
                   ratio);
    g_assert_true(ratio <= MAX_RATIO || largest <= FEW_CALLS);
}

/* Guards against no node being found although one in another region relays. */
static void
test_far_candidate(void)
{
    const struct ch_path_place from = get_place(0);
    const struct ch_path_place far = get_place(5);
    const struct ch_path_relay_candidate candidate = {far.data_centre,
                                                      far.region, 0, 7};
    for (uint64_t draw = 0; draw < 100; draw++) {
        g_assert_cmpuint(
            ch_path_choose_relay(&candidate, 1, &from, &from, draw), ==, 0);
    }
    g_assert_cmpuint(ch_path_choose_relay(&candidate, 0, &from, &from, 1), ==,
                     0);
}

/* A node that relays is near, as long as there are enough. */
static void
test_near_candidates(void)
{
    const struct ch_path_place from = get_place(0);
    const struct ch_path_place to = get_place(1);
    struct ch_path_relay_candidate candidates[6];
    for (unsigned i = 0; i < 6; i++) {
        const struct ch_path_place place = get_place(i);
        candidates[i] = (struct ch_path_relay_candidate){place.data_centre,
                                                         place.region, 5, 0};
    }
    for (uint64_t draw = 0; draw < 200; draw++) {
        g_assert_cmpuint(ch_path_choose_relay(candidates, 6, &from, &to, draw),
                         <, 2);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(tracker_cases); i++) {
        g_autofree char *path =
            g_strconcat("/path/tracker/", tracker_cases[i].name, NULL);
        g_test_add_data_func(path, &tracker_cases[i], test_tracker);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(choice_cases); i++) {
        g_autofree char *path =
            g_strconcat("/path/choice/", choice_cases[i].name, NULL);
        g_test_add_data_func(path, &choice_cases[i], test_choice);
    }
    g_test_add_func("/path/far-candidate", test_far_candidate);
    g_test_add_func("/path/near-candidates", test_near_candidates);
    for (size_t i = 0; i < G_N_ELEMENTS(again_cases); i++) {
        g_autofree char *path =
            g_strconcat("/path/asks-again/", again_cases[i].name, NULL);
        g_test_add_data_func(path, &again_cases[i], test_asks_again);
    }
    g_test_add_func("/path/short-attempt", test_short_attempt);
    g_test_add_func("/path/gradual-return", test_gradual_return);
    g_test_add_func("/path/probes", test_probes);
    g_test_add_func("/path/questions", test_questions);
    g_test_add_func("/path/random-events", test_random_events);
    return g_test_run();
}
