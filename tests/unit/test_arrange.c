/* Which models come and go on engines: rounds of decisions over a small fleet.
 */

#include "decide/arrange.h"

#include <stdlib.h>
#include <string.h>

enum {
    MOST = 12,
};

/* A fleet as a text of lines "NAME DATA-CENTRE MODELS COPIES"; models with
 * commas between, "-" for none, "+" after a model that is being loaded, "~"
 * after one that is being unloaded; NAME:MEMORY where it is not the usual. */
struct fleet {
    struct ch_arrange_engine engines[MOST];
    struct ch_arrange_item items[MOST][MOST];
    GQuark copies[MOST][MOST];
    size_t count;
};

/* Reads one line. */
static void
read_engine(struct fleet *fleet, const char *line, GQuark own)
{
    char **words = g_strsplit(line, " ", -1);
    size_t at = fleet->count++;
    struct ch_arrange_engine *engine = &fleet->engines[at];
    char **models = g_strsplit(words[2], ",", -1);
    char **copies = g_strsplit(words[3], ",", -1);
    const char *memory = strchr(words[0], ':');
    *engine = (struct ch_arrange_engine){
        .name = g_quark_from_string(words[0]),
        .service = g_quark_from_string("s"),
        .data_centre = g_quark_from_string(words[1]),
        .open = true,
        .memory_mb = memory == NULL ? 200 : (uint32_t)atoi(memory + 1),
        .items = fleet->items[at],
        .copies = fleet->copies[at],
    };
    engine->mine = engine->data_centre == own;
    for (size_t i = 0; models[i] != NULL && strcmp(models[i], "-") != 0; i++) {
        enum ch_item_state state =
            g_str_has_suffix(models[i], "+")   ? CH_ITEM_LOADING
            : g_str_has_suffix(models[i], "~") ? CH_ITEM_UNLOADING
                                               : CH_ITEM_RESIDENT;
        models[i][strcspn(models[i], "+~")] = '\0';
        fleet->items[at][engine->item_count++] = (struct ch_arrange_item){
            g_quark_from_string(models[i]),
            state,
        };
        engine->open = engine->open && state == CH_ITEM_RESIDENT;
    }
    for (size_t i = 0; copies[i] != NULL && strcmp(copies[i], "-") != 0; i++) {
        fleet->copies[at][engine->copy_count++] =
            g_quark_from_string(copies[i]);
    }
    g_strfreev(words);
    g_strfreev(models);
    g_strfreev(copies);
}

/* "ENGINE load MODEL" and "ENGINE unload MODEL for MODEL" of every action, in
 * order, with "$" where the weight store is asked for a load.  busy: the
 * models that are asked for, with blanks between; as many engines may change.
 */
static char *
decide_without(const struct ch_without *without, const char *text,
               const char *own, const char *busy, double work,
               const char *pledged, uint32_t loads_left, const char *store)
{
    static const char *const names[] = {"m1", "m2", "m3", "m4", "s1", "s2"};
    struct fleet fleet = {0};
    uint32_t busy_count = 0;
    struct ch_arrange_model models[G_N_ELEMENTS(names)];
    GQuark service = g_quark_from_string("s");
    char **lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++) {
        read_engine(&fleet, lines[i], g_quark_from_string(own));
    }
    if (pledged != NULL) {
        fleet.engines[0].pledged = g_quark_from_string(pledged);
    }
    size_t count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        bool small = names[i][0] == 's';
        if (small && strstr(text, names[i]) == NULL) {
            continue;
        }
        bool is_busy = busy != NULL && strstr(busy, names[i]) != NULL;
        busy_count += is_busy ? 1 : 0;
        models[count++] = (struct ch_arrange_model){
            .name = g_quark_from_string(names[i]),
            .memory_mb = small ? 35 : 70,
            .work = is_busy ? work * (1 - 0.05 * (double)i) : 0.01,
            .services = &service,
            .service_count = 1,
        };
    }
    const struct ch_arrange_state state = {
        .engines = fleet.engines,
        .engine_count = fleet.count,
        .models = models,
        .model_count = count,
        .data_centre = g_quark_from_string(own),
        .loads_left = loads_left,
        .most_changes = MAX(busy_count, 1),
        .without = *without,
    };
    GArray *actions =
        g_array_new(FALSE, FALSE, sizeof(struct ch_arrange_action));
    GString *out = g_string_new(NULL);
    ch_arrange(&state, actions);
    for (guint i = 0; i < actions->len; i++) {
        const struct ch_arrange_action *action =
            &g_array_index(actions, struct ch_arrange_action, i);
        g_string_append_printf(out, "%s%s %s %s", i == 0 ? "" : "; ",
                               g_quark_to_string(action->engine),
                               action->kind == CH_ACTION_LOAD ? "load"
                                                              : "unload",
                               g_quark_to_string(action->model));
        if (action->pledged != 0) {
            g_string_append_printf(out, " for %s",
                                   g_quark_to_string(action->pledged));
        }
        g_string_append(out, action->from_store ? store : "");
    }
    g_array_free(actions, TRUE);
    g_strfreev(lines);
    return g_string_free(out, FALSE);
}

/* The same with every mechanism, and nothing of the weight store. */
static char *
decide(const char *text, const char *own, const char *busy, double work,
       const char *pledged, uint32_t loads_left)
{
    const struct ch_without none = {0};
    return decide_without(&none, text, own, busy, work, pledged, loads_left,
                          "");
}

/* m1 to m4 have 70 each, s1 and s2, where they are named, 35; an engine 200.
 */
static const struct {
    const char *what;
    const char *fleet;
    const char *busy;
    double work;
    const char *pledged;
    uint32_t loads_left;
    const char *expect;
} cases[] = {
    {"nothing presses, all are held", "e1 d1 m1,m2 -\ne2 d1 m3,m4 -", NULL, 0,
     NULL, 9, ""},
    {"nobody holds m4: it is loaded where there is room",
     "e1 d1 m1,m2 -\ne2 d1 m3 -", NULL, 0, NULL, 9, "e2 load m4"},
    {"nobody holds m4: the copy near by before the weight store",
     "e1 d1 m1 -\ne2 d1 m2,m3 m4\ne3 d1 m2 m4", NULL, 0, NULL, 9,
     "e3 load m4"},
    {"no room: one of two replicas makes way, never a last one",
     "e1 d1 m1,m2 -\ne2 d1 m3,m1 -", NULL, 0, NULL, 9, "e1 unload m1 for m4"},
    {"no load of the weight store is left: it waits",
     "e1 d1 m1,m2 -\ne2 d1 m3 -", NULL, 0, NULL, 0, ""},
    {"a copy needs none of them", "e1 d1 m1,m2 -\ne2 d1 m3 m4", NULL, 0, NULL,
     0, "e2 load m4"},
    {"room that was made for m4 is not given to m2",
     "e1 d1 m1 m2\ne2 d1 m2,m3 -", NULL, 0, "m4", 0, "e1 load m4"},
    {"room that is being made is not made a second time",
     "e1 d1 m1~,m2 -\ne2 d1 m3,m1 -\ne3 d1 m1,m2 -", NULL, 0, "m4", 9, ""},
    {"room that is not enough is made where it was begun",
     "e1 d1 m1,m2 -\ne2 d1 m3,m1 -", NULL, 0, "m4", 9, "e1 unload m1 for m4"},
    {"free room takes another replica from a copy, not from the store",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3 m2\ne4 d1 m4 -", NULL, 0, NULL, 9,
     "e3 load m2"},
    {"a copy on an engine that nothing can leave is not waited for",
     "e1 d1 m1,m2 -\ne2 d1 m3,m2 -\ne3 d2 m4,s1,s2 m1", "m1", 0.6, NULL, 9,
     "e2 unload m2 for m1"},
    {"m1 is asked for much: an idle replica of m3 makes way, where m3 does "
     "not "
     "stay beside another last one",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 m1\ne3 d1 m3,m2 m1", "m1", 2, NULL, 9,
     "e2 unload m3 for m1"},
    {"m1 is asked for much, and nothing may go",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 m1", "m1", 2, NULL, 9, ""},
    {"one engine at a time is changed for demand",
     "e1 d1 m1,m2 -\ne2 d1 m3,m1+ -\ne3 d1 m3,m4 m1", "m1", 2, NULL, 9, ""},
    {"two small replicas make way for a large model, one after the other",
     "e1 d1 m1,s1,s2 -\ne2 d1 m2,s1,s2 -\ne3 d1 m3,m4 -", "m1", 2, NULL, 9,
     "e2 unload s1 for m1"},
    {"room is being made: the second of them follows",
     "e1 d1 m2,s1,s2 -\ne2 d1 m3,m1,s2 -\ne3 d1 m4,m3 -", "m1", 2, "m1", 9,
     "e1 unload s2 for m1"},
    {"one large replica before two small ones",
     "e1 d1 m1,s1,s2 -\ne2 d1 m2,s1,s2 -\ne3 d1 m3,m4 -\ne4 d1 m2,m3 -", "m1",
     2, NULL, 9, "e4 unload m2 for m1"},
    {"two last replicas on one engine: one of them moves to another",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3,s1 -\ne4 d1 - -", NULL, 0, NULL,
     9, "e4 load m1"},
    {"it does not move to where it would fill all room again",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -", NULL, 0, NULL, 9, ""},
    {"nor with the last load of the weight store",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3,s1 -\ne4 d1 - -", NULL, 0, NULL,
     1, ""},
    {"engines of other data centres are not ours to order",
     "e1 d2 m1,m2 -\ne2 d2 m3 m4", NULL, 0, NULL, 9, ""},
};

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].what);
        g_autofree char *got =
            decide(cases[i].fleet, "d1", cases[i].busy, cases[i].work,
                   cases[i].pledged, cases[i].loads_left);
        g_assert_cmpstr(got, ==, cases[i].expect);
    }
}

/* Two data centres that each hold a replica of m3, and both want its room: one
 * of them alone gives it up, or nobody holds the model afterwards. */
static void
test_both_give_up(void)
{
    static const char fleet[] = "e1 d1 m2,m3 m1\ne2 d2 m4,m3 m1\ne3 d3 m1 -";
    g_autofree char *here = decide(fleet, "d1", "m1", 4, NULL, 9);
    g_autofree char *there = decide(fleet, "d2", "m1", 4, NULL, 9);
    unsigned gone = (strstr(here, "unload m3") != NULL ? 1 : 0) +
                    (strstr(there, "unload m3") != NULL ? 1 : 0);
    g_test_message("here: %s; there: %s", here, there);
    g_assert_cmpuint(gone, ==, 1);
}

/* A model that nobody holds comes back in one data centre alone. */
static void
test_one_restores(void)
{
    static const char fleet[] =
        "e1 d1 m1,m2 -\ne2 d1 m3 -\ne3 d2 m1,m2 -\ne4 d2 m3 -";
    g_autofree char *here = decide(fleet, "d1", NULL, 0, NULL, 9);
    g_autofree char *there = decide(fleet, "d2", NULL, 0, NULL, 9);
    unsigned loads = (strstr(here, "load m4") != NULL ? 1 : 0) +
                     (strstr(there, "load m4") != NULL ? 1 : 0);
    g_test_message("here: %s; there: %s", here, there);
    g_assert_cmpuint(loads, ==, 1);
}

/* How often a text stands in another. */
static unsigned
count_of(const char *text, const char *what)
{
    unsigned count = 0;
    for (const char *at = text; (at = strstr(at, what)) != NULL; at++) {
        count++;
    }
    return count;
}

/*
 * Two models are asked for at once, and each of two engines could give up a
 * replica of m3 for one of them.  A caller who asks for m3 afterwards would
 * find that nobody holds it: one of the two stays, though both are looked at
 * in the same round.
 */
static void
test_two_in_a_round(void)
{
    g_autofree char *got =
        decide("e1 d1 m3,m1 -\ne2 d1 m3,m2 -\ne3 d1 m4,s1,s2 -", "d1", "m1 m2",
               2, NULL, 9);
    g_test_message("%s", got);
    g_assert_cmpuint(count_of(got, "unload m3"), ==, 1);
}

/*
 * A model is short of one replica, and an engine in each of three data centres
 * could take it.  If the holders of all three brought it, callers of two other
 * models would be short next: one of them alone does.
 */
static void
test_one_of_three(void)
{
    static const char fleet[] = "e1 d1 m2,m3 -\ne2 d2 m2,m3 -\n"
                                "e3 d3 m2,m3 -\ne4 d1 m1,m4 -";
    static const char *const centres[] = {"d1", "d2", "d3"};
    unsigned orders = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(centres); i++) {
        g_autofree char *got = decide(fleet, centres[i], "m1", 0.8, NULL, 9);
        g_test_message("%s: %s", centres[i], got);
        orders += count_of(got, "for m1");
    }
    g_assert_cmpuint(orders, ==, 1);
}

/*
 * Three engines come back empty, as after a loss of power, while one model is
 * held by nobody and another is short.  Callers of the second would wait for
 * seconds more if all three loaded the first.
 */
static void
test_empty_engines(void)
{
    g_autofree char *got =
        decide("e1 d1 m1,m2 -\ne2 d1 - -\ne3 d1 - -\ne4 d1 - -\n"
               "e5 d2 m4 -\ne6 d3 m4 -",
               "d1", "m1 m3", 0.7, NULL, 9);
    g_test_message("%s", got);
    g_assert_cmpuint(count_of(got, "load m3"), <=, 2);
    g_assert_cmpuint(count_of(got, "load m1"), >=, 1);
}

#define WITHOUT(member) offsetof(struct ch_without, member)

/* What is decided with a mechanism, and without it. */
static const struct {
    const char *what;
    size_t mechanism;
    const char *fleet;
    const char *busy;
    double work;
    const char *with;
    const char *without;
} switches[] = {
    {"another data centre has the better engine", WITHOUT(whole_fleet),
     "e1 d1 m2,m3 -\ne2 d2 m2,m3 m1\ne3 d1 m1,m4 -", "m1", 0.8, "",
     "e1 unload m2 for m1$"},
    {"only two small ones together make the room", WITHOUT(several_victims),
     "e1 d1 m1,s1,s2 -\ne2:150 d1 m2,s1,s2 -\ne3 d1 m3,m4 -", "m1", 2,
     "e2:150 unload s1 for m1$", ""},
    {"one of them alone makes it", WITHOUT(several_victims),
     "e1 d1 m1,s1,s2 -\ne2 d1 m2,s1,s2 -\ne3 d1 m3,m4 -", "m1", 2,
     "e2 unload s1 for m1$", "e2 unload s1 for m1$"},
    {"two last replicas on one engine", WITHOUT(move_apart),
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3,s1 -\ne4 d1 - -", NULL, 0,
     "e4 load m1$", ""},
    {"a copy near by, or an engine that keeps room", WITHOUT(near_copies),
     "e1 d1 m1,s1 -\ne2 d1 m3,s2 -\ne3 d1 m2 m4\ne4 d1 - -", NULL, 0,
     "e3 load m4", "e4 load m4$"},
    {"free room and a copy", WITHOUT(near_copies),
     "e1 d1 m1,s1 -\ne2 d1 m2,s2 -\ne3 d1 m3 m1\ne4 d1 m4 -", NULL, 0,
     "e3 load m1", ""},
    {"room is made", WITHOUT(pledges), "e1 d1 m1,m2 -\ne2 d1 m3,m1 -", NULL, 0,
     "e1 unload m1 for m4$", "e1 unload m1"},
};

/* Each switch changes the decision that it names, and leaves it as it is where
 * the mechanism has no part in it. */
static void
test_switches(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(switches); i++) {
        for (int off = 0; off < 2; off++) {
            struct ch_without without = {0};
            ((bool *)&without)[switches[i].mechanism] = off == 1;
            g_autofree char *got = decide_without(
                &without, switches[i].fleet, "d1", switches[i].busy,
                switches[i].work, NULL, 9, "$");
            g_test_message("%s, %s: %s", switches[i].what,
                           off == 1 ? "off" : "on", got);
            g_assert_cmpstr(got, ==,
                            off == 1 ? switches[i].without : switches[i].with);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/arrange/cases", test_cases);
    g_test_add_func("/arrange/both-give-up", test_both_give_up);
    g_test_add_func("/arrange/one-restores", test_one_restores);
    g_test_add_func("/arrange/two-in-a-round", test_two_in_a_round);
    g_test_add_func("/arrange/one-of-three", test_one_of_three);
    g_test_add_func("/arrange/empty-engines", test_empty_engines);
    g_test_add_func("/arrange/switches", test_switches);
    return g_test_run();
}
