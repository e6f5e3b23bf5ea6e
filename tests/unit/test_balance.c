/* Where requests go by a node's own view, in virtual time. */

#include "decide/balance.h"

#include <string.h>

enum {
    NOW = 100 * G_USEC_PER_SEC,
    SECOND = G_USEC_PER_SEC,
    MILLI = 1000,
};

/* One upstream of a case. */
struct place {
    const char *name; /* NULL: no more */
    const char *region;
    const char *data_centre;
    const char *models; /* with blanks between */
    const char *adapters;
    bool leaving;
};

/* A balance of a node in region "r1", data centre "d1", with these upstreams.
 */
static struct ch_balance *
balance_of(const struct place *places)
{
    struct ch_balance *balance =
        ch_balance_new(g_quark_from_string("r1"), g_quark_from_string("d1"));
    ch_balance_begin_update(balance);
    for (size_t i = 0; places[i].name != NULL; i++) {
        GArray *models = g_array_new(FALSE, FALSE, sizeof(GQuark));
        char **names = g_strsplit(places[i].models, " ", -1);
        for (size_t j = 0; names[j] != NULL && names[j][0] != '\0'; j++) {
            GQuark model = g_quark_from_string(names[j]);
            g_array_append_val(models, model);
        }
        const struct ch_seat_facts facts = {
            .name = g_quark_from_string(places[i].name),
            .service = g_quark_from_string("s"),
            .region = g_quark_from_string(places[i].region),
            .data_centre = g_quark_from_string(places[i].data_centre),
            .engine = true,
            .leaving = places[i].leaving,
            .slots = 64,
            .context_tokens = 100000,
            .adapter_places = 8,
            .resident = (const GQuark *)(void *)models->data,
            .resident_count = models->len,
        };
        ch_balance_listed(balance, &facts);
        if (places[i].adapters != NULL) {
            ch_balance_adapter(balance, facts.name,
                               g_quark_from_string(places[i].adapters), true);
        }
        g_strfreev(names);
        g_array_free(models, TRUE);
    }
    ch_balance_end_update(balance);
    return balance;
}

/* A request for a model, "m" or "m/a1". */
static struct ch_work
work_for(const char *name, uint32_t tokens)
{
    char **parts = g_strsplit(name, "/", 2);
    struct ch_work work = {
        .id = 7,
        .model = g_quark_from_string(parts[0]),
        .adapter = parts[1] == NULL ? 0 : g_quark_from_string(name),
        .pool = g_quark_from_string("s"),
        .prompt_tokens = tokens,
        .output_tokens = 100,
        .arrived = NOW,
        .first_by = NOW + SECOND,
        .whole_by = NOW + 10 * SECOND,
        .idempotent = true,
    };
    g_strfreev(parts);
    return work;
}

/* The name that is chosen, or "" when the request is refused. */
static const char *
chosen(struct ch_balance *balance, const struct ch_work *work,
       const GArray *excluded, bool ready)
{
    struct ch_choice choice =
        ch_balance_choose(balance, work, excluded, ready, NOW);
    return choice.code == CH_OK ? g_quark_to_string(choice.upstream) : "";
}

static const struct {
    const char *what;
    struct place places[4];
    const char *model;
    const char *excluded;
    bool ready;
    const char *expect;
} cases[] = {
    {.what = "one holds the model",
     .places = {{"a", "r1", "d1", "m1", NULL, false},
                {"b", "r1", "d1", "m2", NULL, false}},
     .model = "m2",
     .expect = "b"},
    {.what = "nobody holds the model",
     .places = {{"a", "r1", "d1", "m1", NULL, false}},
     .model = "m2",
     .expect = ""},
    {.what = "one that leaves gets nothing",
     .places = {{"a", "r1", "d1", "m1", NULL, true},
                {"b", "r2", "d9", "m1", NULL, false}},
     .model = "m1",
     .expect = "b"},
    {.what = "the own data centre before another",
     .places = {{"a", "r1", "d2", "m1", NULL, false},
                {"b", "r1", "d1", "m1", NULL, false}},
     .model = "m1",
     .expect = "b"},
    {.what = "the own region before another",
     .places = {{"a", "r2", "d9", "m1", NULL, false},
                {"b", "r1", "d2", "m1", NULL, false}},
     .model = "m1",
     .expect = "b"},
    {.what = "one that failed this request is not asked again",
     .places = {{"a", "r1", "d1", "m1", NULL, false},
                {"b", "r2", "d9", "m1", NULL, false}},
     .model = "m1",
     .excluded = "a",
     .expect = "b"},
    {.what = "where the adapter is, though the bytes are paid",
     .places = {{"a", "r1", "d1", "m1", NULL, false},
                {"b", "r1", "d2", "m1", "m1/a1", false}},
     .model = "m1/a1",
     .expect = "b"},
    {.what = "an adapter is loaded rather than the link crossed each time",
     .places = {{"a", "r1", "d1", "m1", NULL, false},
                {"b", "r2", "d9", "m1", "m1/a1", false}},
     .model = "m1/a1",
     .expect = "a"},
    {.what = "without loading it, only where the adapter is",
     .places = {{"a", "r1", "d1", "m1", NULL, false},
                {"b", "r2", "d9", "m1", "m1/a1", false}},
     .model = "m1/a1",
     .ready = true,
     .expect = "b"},
};

static void
test_choice(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_balance *balance = balance_of(cases[i].places);
        struct ch_work work = work_for(cases[i].model, 1000);
        GArray *excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
        if (cases[i].excluded != NULL) {
            GQuark name = g_quark_from_string(cases[i].excluded);
            g_array_append_val(excluded, name);
        }
        g_test_message("%s", cases[i].what);
        g_assert_cmpstr(chosen(balance, &work, excluded, cases[i].ready), ==,
                        cases[i].expect);
        g_array_free(excluded, TRUE);
        ch_balance_free(balance);
    }
}

static const struct place two[] = {{"a", "r1", "d1", "m1", NULL, false},
                                   {"b", "r1", "d1", "m1", NULL, false},
                                   {0}};

/* Sends a request to wherever it is chosen; what was chosen. */
static struct ch_choice
send_one(struct ch_balance *balance, const struct ch_work *work, int64_t now)
{
    struct ch_choice choice =
        ch_balance_choose(balance, work, NULL, false, now);
    g_assert_cmpint(choice.code, ==, CH_OK);
    ch_balance_sent(balance, work, &choice, now);
    return choice;
}

/* The end of a request that brought nothing to measure. */
static void
ended(struct ch_balance *balance, const struct ch_work *work,
      const struct ch_choice *choice, bool begun, enum ch_code code)
{
    const struct ch_sample sample = {.code = code};
    ch_balance_ended(balance, work, choice, begun, &sample, NOW);
}

/* Bursts: what was sent counts at once, before anybody tells it back. */
static void
test_burst(void)
{
    struct ch_balance *balance = balance_of(two);
    unsigned counts[2] = {0};
    for (uint64_t i = 0; i < 20; i++) {
        struct ch_work work = work_for("m1", 1000);
        work.id = i;
        struct ch_choice choice = send_one(balance, &work, NOW);
        counts[choice.upstream == g_quark_from_string("a") ? 0 : 1]++;
    }
    g_assert_cmpuint(counts[0], ==, 10);
    g_assert_cmpuint(counts[1], ==, 10);
    ch_balance_free(balance);
}

/* Parts of a prompt that an upstream has read draw the requests that share
 * them, until it is so full that reading them anew elsewhere is sooner. */
static void
test_shared_parts(void)
{
    const struct ch_part parts[] = {{1, 3000}, {2, 100}};
    struct ch_balance *balance = balance_of(two);
    struct ch_work work = work_for("m1", 3100);
    work.parts = parts;
    work.part_count = G_N_ELEMENTS(parts);
    struct ch_choice first = send_one(balance, &work, NOW);
    ch_balance_first(balance, &work, &first, (int64_t)200 * MILLI, NOW);
    struct ch_choice second = send_one(balance, &work, NOW);
    g_assert_cmpuint(second.upstream, ==, first.upstream);
    g_assert_cmpint(second.reading, <, first.reading / 10);
    ch_balance_all(balance, first.upstream, 60, (int64_t)2 * SECOND, NOW);
    struct ch_choice third = send_one(balance, &work, NOW);
    g_assert_cmpuint(third.upstream, !=, first.upstream);
    ch_balance_free(balance);
}

/* One upstream that fails: it is left after a few failures, and asked again
 * when they are forgotten. */
static void
test_failing(void)
{
    struct ch_balance *balance = balance_of(two);
    struct ch_work work = work_for("m1", 1000);
    struct ch_choice choice = send_one(balance, &work, NOW);
    GQuark failing = choice.upstream;
    ended(balance, &work, &choice, false, CH_UPSTREAM_CUT);
    for (uint64_t i = 0; i < 10; i++) {
        work.id = i;
        choice = send_one(balance, &work, NOW);
        g_assert_cmpuint(choice.upstream, !=, failing);
        ended(balance, &work, &choice, true, CH_OK);
    }
    unsigned again = 0;
    for (uint64_t i = 0; i < 64; i++) {
        work.id = i;
        choice =
            ch_balance_choose(balance, &work, NULL, false, NOW + 10 * SECOND);
        again += choice.upstream == failing ? 1 : 0;
    }
    g_assert_cmpuint(again, >, 10);
    ch_balance_free(balance);
}

/* What others run is counted, and becomes less while it is not told anew. */
static void
test_others(void)
{
    struct ch_balance *balance = balance_of(two);
    struct ch_work work = work_for("m1", 1000);
    GQuark a = g_quark_from_string("a");
    ch_balance_all(balance, a, 10, (int64_t)300 * MILLI, NOW);
    g_assert_cmpstr(chosen(balance, &work, NULL, false), ==, "b");
    struct ch_choice sooner =
        ch_balance_choose(balance, &work, NULL, false, NOW);
    g_assert_false(sooner.too_dense);
    ch_balance_all(balance, g_quark_from_string("b"), 10, SECOND, NOW);
    g_assert_cmpstr(chosen(balance, &work, NULL, false), ==, "a");
    ch_balance_free(balance);
}

/* Several long prompts at once: the second is better sent a little later, and
 * may go when the engine has read the first and rested. */
static void
test_pacing(void)
{
    const struct place one[] = {{"a", "r1", "d1", "m1", NULL, false}, {0}};
    struct ch_balance *balance = balance_of(one);
    struct ch_work work = work_for("m1", 3500);
    struct ch_choice choice =
        ch_balance_choose(balance, &work, NULL, false, NOW);
    g_assert_false(choice.too_dense);
    ch_balance_sent(balance, &work, &choice, NOW);
    struct ch_choice next =
        ch_balance_choose(balance, &work, NULL, false, NOW);
    g_assert_true(next.too_dense);
    ch_balance_first(balance, &work, &choice, (int64_t)180 * MILLI, NOW);
    next = ch_balance_choose(balance, &work, NULL, false, NOW + 10 * 1000);
    g_assert_true(next.too_dense);
    next = ch_balance_choose(balance, &work, NULL, false, NOW + 50 * 1000);
    g_assert_false(next.too_dense);
    ch_balance_free(balance);
}

/* A quick model is found to be quick: what is asked of engines for it counts
 * less than the same for another. */
static void
test_pace(void)
{
    struct ch_balance *balance = balance_of(two);
    struct ch_work work = work_for("m1", 2000);
    int64_t before = ch_balance_reading(balance, &work);
    for (uint64_t i = 0; i < 60; i++) {
        work.id = i;
        struct ch_choice choice = send_one(balance, &work, NOW);
        ch_balance_first(balance, &work, &choice, choice.expected / 4, NOW);
        ended(balance, &work, &choice, true, CH_OK);
    }
    struct ch_work other = work_for("m2", 2000);
    g_assert_cmpint(ch_balance_reading(balance, &work), <, before / 2);
    g_assert_cmpint(ch_balance_reading(balance, &other), ==, before);
    ch_balance_free(balance);
}

/* Takes over what is asked of m1. */
static void
take_asked(void *data, GQuark model, double work)
{
    if (model == g_quark_from_string("m1")) {
        *(double *)data = work;
    }
}

/*
 * Ten requests a second with short prompts and 600 tokens to write at most.
 * On engines that take 16 at once each of them keeps a slot for two seconds:
 * the model needs more than an engine, though its prompts are read in no time.
 * Counted by prompts alone it would stay on one engine until callers wait.
 */
static void
test_slots(void)
{
    static const struct {
        uint32_t slots;
        double least;
        double most;
    } rows[] = {{64, 0.2, 0.6}, {16, 1.0, 1.6}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_balance *balance = balance_of(two);
        const struct ch_seat_facts facts = {
            .name = g_quark_from_string("a"),
            .service = g_quark_from_string("s"),
            .engine = true,
            .slots = rows[i].slots,
        };
        struct ch_work work = work_for("m1", 50);
        double asked = 0;
        ch_balance_listed(balance, &facts);
        work.pool = facts.service;
        work.output_tokens = 600;
        for (int64_t tenth = 0; tenth < 50; tenth++) {
            ch_balance_asked(balance, &work, NOW + tenth * SECOND / 10);
        }
        ch_balance_each_asked(balance, NOW + 50 * (int64_t)SECOND / 10,
                              take_asked, &asked);
        g_assert_cmpfloat(asked, >, rows[i].least);
        g_assert_cmpfloat(asked, <, rows[i].most);
        ch_balance_free(balance);
    }
}

/*
 * A model with too few engines: its answers become slower and slower, as they
 * wait for one another.  What it is taken to ask for stays what it asks for,
 * else it seems to need the whole fleet and takes it from all others.
 */
static void
test_overload(void)
{
    struct ch_balance *balance = balance_of(two);
    struct ch_work work = work_for("m1", 1000);
    double calm = 0;
    double loaded = 0;
    for (int64_t i = 0; i < 200; i++) {
        /* Twenty calm answers, then ever slower ones. */
        int64_t times = i < 20 ? 1 : MIN(1 + (i - 20) / 10, 8);
        int64_t now = NOW + i * SECOND / 10;
        work.id = (uint64_t)i;
        ch_balance_asked(balance, &work, now);
        struct ch_choice choice = send_one(balance, &work, now);
        const struct ch_sample sample = {
            .code = CH_OK,
            .token = (int64_t)50 * MILLI * times,
            .tokens = 10,
        };
        ch_balance_first(balance, &work, &choice, (int64_t)40 * MILLI * times,
                         now);
        ch_balance_ended(balance, &work, &choice, true, &sample, now);
        if (i == 19) {
            ch_balance_each_asked(balance, now, take_asked, &calm);
        }
        ch_balance_each_asked(balance, now, take_asked, &loaded);
    }
    g_assert_cmpfloat(loaded, <, calm * 2);
    ch_balance_free(balance);
}

/* An upstream that starts anew, with its name, has forgotten its adapters. */
static void
test_restart(void)
{
    const struct place places[] = {{"a", "r1", "d1", "m1", "m1/a1", false},
                                   {0}};
    struct ch_balance *balance = balance_of(places);
    struct ch_work work = work_for("m1/a1", 100);
    GQuark model = g_quark_from_string("m1");
    g_assert_cmpstr(chosen(balance, &work, NULL, true), ==, "a");
    const struct ch_seat_facts anew = {
        .name = g_quark_from_string("a"),
        .service = g_quark_from_string("s"),
        .boot = 2,
        .slots = 64,
        .engine = true,
        .resident = &model,
        .resident_count = 1,
    };
    ch_balance_begin_update(balance);
    ch_balance_listed(balance, &anew);
    ch_balance_end_update(balance);
    g_assert_cmpstr(chosen(balance, &work, NULL, true), ==, "");
    ch_balance_free(balance);
}

/* What is decided of m1 after a burst, and after quick answers. */
struct seen {
    bool dense;
    int64_t reading;
    double asked;
};

/* A long prompt behind another at one engine; then sixty quick answers, and
 * what a prompt is taken to take and an engine to be asked for. */
static struct seen
see(const struct ch_without *without)
{
    const struct place one[] = {{"a", "r1", "d1", "m1", NULL, false}, {0}};
    struct ch_balance *balance = balance_of(one);
    struct ch_work work = work_for("m1", 3500);
    struct seen seen = {0};
    const struct ch_sample sample = {
        .code = CH_OK,
        .token = (int64_t)5 * MILLI,
        .tokens = 100,
    };
    if (without != NULL) {
        ch_balance_do_without(balance, without);
    }
    struct ch_choice choice = send_one(balance, &work, NOW);
    seen.dense = ch_balance_choose(balance, &work, NULL, false, NOW).too_dense;
    for (uint64_t i = 0; i < 60; i++) {
        ch_balance_first(balance, &work, &choice, (int64_t)90 * MILLI, NOW);
        ch_balance_ended(balance, &work, &choice, true, &sample, NOW);
        choice = send_one(balance, &work, NOW);
    }
    seen.reading = ch_balance_reading(balance, &work);
    ch_balance_asked(balance, &work, NOW);
    ch_balance_each_asked(balance, NOW, take_asked, &seen.asked);
    ch_balance_free(balance);
    return seen;
}

/* Each switch changes the decision that it names and no other. */
static void
test_switches(void)
{
    const struct ch_without none = {0};
    const struct ch_without at_once = {.pace_prompts = true};
    const struct ch_without usual = {.learnt_speeds = true};
    const struct ch_without other = {.refuse_late = true, .pledges = true};
    const struct seen with = see(NULL);
    const struct {
        const struct ch_without *without;
        bool dense;
        bool learnt;
    } rows[] = {
        {&none, true, true},
        {&at_once, false, true},
        {&usual, true, false},
        {&other, true, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const struct seen seen = see(rows[i].without);
        g_assert_cmpint(seen.dense, ==, rows[i].dense);
        g_assert_cmpint(seen.reading == with.reading, ==, rows[i].learnt);
        g_assert_cmpint(seen.asked == with.asked, ==, rows[i].learnt);
    }
    /* 3500 tokens, three quarters of them read, by 52 us each. */
    g_assert_cmpint(see(&usual).reading, ==, 136500);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance/choice", test_choice);
    g_test_add_func("/balance/burst", test_burst);
    g_test_add_func("/balance/shared-parts", test_shared_parts);
    g_test_add_func("/balance/failing", test_failing);
    g_test_add_func("/balance/others", test_others);
    g_test_add_func("/balance/pacing", test_pacing);
    g_test_add_func("/balance/pace", test_pace);
    g_test_add_func("/balance/slots", test_slots);
    g_test_add_func("/balance/overload", test_overload);
    g_test_add_func("/balance/restart", test_restart);
    g_test_add_func("/balance/switches", test_switches);
    return g_test_run();
}
