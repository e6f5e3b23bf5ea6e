/* Placement of models on engines: rounds of decisions over a small fleet. */

#include "decide/placement.h"

#include <stdlib.h>
#include <string.h>

enum {
    MAX_ENGINES = 12,
};

/*
 * A fleet as text: lines "NAME DATA-CENTRE MODELS LOCAL-COPIES".  Lists are
 * separated by commas, "-" is an empty list; "+" follows a model that is being
 * loaded, "~" a model that is being unloaded; NAME:MEMORY sets the engine's
 * memory, NAME@VERSION its software ("?": not known).
 */
struct fleet {
    struct ch_placement_engine engines[MAX_ENGINES];
    struct ch_placement_item items[MAX_ENGINES][MAX_ENGINES];
    GQuark copies[MAX_ENGINES][MAX_ENGINES];
    size_t count;
};

static void
read_engine(struct fleet *fleet, const char *line, GQuark controlled_centre)
{
    char **fields = g_strsplit(line, " ", -1);
    size_t engine_index = fleet->count++;
    struct ch_placement_engine *engine = &fleet->engines[engine_index];
    char **models = g_strsplit(fields[2], ",", -1);
    char **copies = g_strsplit(fields[3], ",", -1);
    const char *memory = strchr(fields[0], ':');
    char **name = g_strsplit(fields[0], "@", 2);
    const char *version = name[1] == NULL ? "v1" : name[1];
    *engine = (struct ch_placement_engine){
        .name = g_quark_from_string(name[0]),
        .version_id = ch_version_get_id(version[0] == '?' ? NULL : version),
        .service = g_quark_from_string("s"),
        .data_centre = g_quark_from_string(fields[1]),
        .accepts_orders = true,
        .memory_mb = memory == NULL ? 200 : (uint32_t)atoi(memory + 1),
        .items = fleet->items[engine_index],
        .local_copies = fleet->copies[engine_index],
    };
    engine->controlled = engine->data_centre == controlled_centre;
    for (size_t i = 0; models[i] != NULL && strcmp(models[i], "-") != 0; i++) {
        enum ch_item_state state =
            g_str_has_suffix(models[i], "+")   ? CH_ITEM_LOADING
            : g_str_has_suffix(models[i], "~") ? CH_ITEM_UNLOADING
                                               : CH_ITEM_RESIDENT;
        models[i][strcspn(models[i], "+~")] = '\0';
        fleet->items[engine_index][engine->item_count++] =
            (struct ch_placement_item){
                g_quark_from_string(models[i]),
                state,
            };
        engine->accepts_orders =
            engine->accepts_orders && state == CH_ITEM_RESIDENT;
    }
    for (size_t i = 0; copies[i] != NULL && strcmp(copies[i], "-") != 0; i++) {
        fleet->copies[engine_index][engine->local_copy_count++] =
            g_quark_from_string(copies[i]);
    }
    g_strfreev(fields);
    g_strfreev(name);
    g_strfreev(models);
    g_strfreev(copies);
}

/*
 * Runs a round and returns its actions in order, as "ENGINE load MODEL" and
 * "ENGINE unload MODEL for MODEL" separated by "; ", with `store` after each
 * load from the weight store.  busy: the models with demand `work`, separated
 * by spaces; as many engines may change at a time.  reserved_for: the model
 * that memory of the first engine is reserved for, or NULL.
 */
static char *
decide_without(const struct ch_disabled_features *without, const char *text,
               const char *controlled_centre, const char *busy, double work,
               const char *reserved_for, uint32_t loads_left,
               int64_t load_time, const char *store)
{
    static const char *const names[] = {"m1", "m2", "m3", "m4", "s1", "s2"};
    struct fleet fleet = {0};
    uint32_t busy_count = 0;
    struct ch_placement_model models[G_N_ELEMENTS(names)];
    GQuark service = g_quark_from_string("s");
    char **lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++) {
        read_engine(&fleet, lines[i], g_quark_from_string(controlled_centre));
    }
    if (reserved_for != NULL) {
        fleet.engines[0].reserved_for = g_quark_from_string(reserved_for);
    }
    size_t count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        bool small = names[i][0] == 's';
        if (small && strstr(text, names[i]) == NULL) {
            continue;
        }
        bool is_busy = busy != NULL && strstr(busy, names[i]) != NULL;
        busy_count += is_busy ? 1 : 0;
        models[count++] = (struct ch_placement_model){
            .name = g_quark_from_string(names[i]),
            .memory_mb = small ? 35 : 70,
            .load_time = load_time,
            .demand = is_busy ? work * (1 - 0.05 * (double)i) : 0.01,
            .services = &service,
            .service_count = 1,
        };
    }
    const struct ch_placement_state state = {
        .engines = fleet.engines,
        .engine_count = fleet.count,
        .models = models,
        .model_count = count,
        .data_centre = g_quark_from_string(controlled_centre),
        .store_loads_left = loads_left,
        .max_changing_engines = MAX(busy_count, 1),
        .disabled = *without,
    };
    GArray *actions =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_action));
    GString *out = g_string_new(NULL);
    ch_placement_plan(&state, actions);
    for (guint i = 0; i < actions->len; i++) {
        const struct ch_placement_action *action =
            &g_array_index(actions, struct ch_placement_action, i);
        g_string_append_printf(out, "%s%s %s %s", i == 0 ? "" : "; ",
                               g_quark_to_string(action->engine),
                               action->kind == CH_ACTION_LOAD ? "load"
                                                              : "unload",
                               g_quark_to_string(action->model));
        if (action->reserved_for != 0) {
            g_string_append_printf(out, " for %s",
                                   g_quark_to_string(action->reserved_for));
        }
        g_string_append(out, action->from_store ? store : "");
    }
    g_array_free(actions, TRUE);
    g_strfreev(lines);
    return g_string_free(out, FALSE);
}

/* decide_without() with all mechanisms on and no mark for loads from the
 * weight store. */
static char *
decide(const char *text, const char *controlled_centre, const char *busy,
       double work, const char *reserved_for, uint32_t loads_left)
{
    const struct ch_disabled_features none = {0};
    return decide_without(&none, text, controlled_centre, busy, work,
                          reserved_for, loads_left, 0, "");
}

/* Memory: 70 for each of m1 to m4, 35 for each of s1 and s2, which exist only
 * where named; 200 for an engine. */
static const struct {
    const char *description;
    const char *fleet;
    const char *busy;
    double work;
    const char *reserved_for;
    uint32_t loads_left;
    const char *expect;
} cases[] = {
    {"no demand, every model is held", "e1 d1 m1,m2 -\ne2 d1 m3,m4 -", NULL, 0,
     NULL, 9, ""},
    {"no engine holds m4: loaded where there is free memory",
     "e1 d1 m1,m2 -\ne2 d1 m3 -", NULL, 0, NULL, 9, "e2 load m4"},
    {"no engine holds m4: a local copy is preferred to the weight store",
     "e1 d1 m1 -\ne2 d1 m2,m3 m4\ne3 d1 m2 m4", NULL, 0, NULL, 9,
     "e3 load m4"},
    {"no free memory: one of two replicas makes way, never a last replica",
     "e1 d1 m1,m2 -\ne2 d1 m3,m1 -", NULL, 0, NULL, 9, "e1 unload m1 for m4"},
    {"no load from the weight store is left: the load waits",
     "e1 d1 m1,m2 -\ne2 d1 m3 -", NULL, 0, NULL, 0, ""},
    {"a local copy needs no load from the weight store",
     "e1 d1 m1,m2 -\ne2 d1 m3 m4", NULL, 0, NULL, 0, "e2 load m4"},
    {"memory reserved for m4 is not given to m2", "e1 d1 m1 m2\ne2 d1 m2,m3 -",
     NULL, 0, "m4", 0, "e1 load m4"},
    {"memory that is being freed is not freed a second time",
     "e1 d1 m1~,m2 -\ne2 d1 m3,m1 -\ne3 d1 m1,m2 -", NULL, 0, "m4", 9, ""},
    {"too little memory is freed: the next eviction is on the same engine",
     "e1 d1 m1,m2 -\ne2 d1 m3,m1 -", NULL, 0, "m4", 9, "e1 unload m1 for m4"},
    {"free memory takes another replica from a local copy, not the store",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3 m2\ne4 d1 m4 -", NULL, 0, NULL, 9,
     "e3 load m2"},
    {"a local copy on an engine that no model can leave is not waited for",
     "e1 d1 m1,m2 -\ne2 d1 m3,m2 -\ne3 d2 m4,s1,s2 m1", "m1", 0.6, NULL, 9,
     "e2 unload m2 for m1"},
    {"m1 is asked for much: an idle replica of m3 makes way, so that m3 stays "
     "on an "
     "engine without another last replica",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 m1\ne3 d1 m3,m2 m1", "m1", 2, NULL, 9,
     "e2 unload m3 for m1"},
    {"m1 is asked for much, and no model may be evicted",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 m1", "m1", 2, NULL, 9, ""},
    {"only one engine at a time changes for demand",
     "e1 d1 m1,m2 -\ne2 d1 m3,m1+ -\ne3 d1 m3,m4 m1", "m1", 2, NULL, 9, ""},
    {"two small replicas make way for a large model, one after the other",
     "e1 d1 m1,s1,s2 -\ne2 d1 m2,s1,s2 -\ne3 d1 m3,m4 -", "m1", 2, NULL, 9,
     "e2 unload s1 for m1"},
    {"memory is being freed: the second eviction follows",
     "e1 d1 m2,s1,s2 -\ne2 d1 m3,m1,s2 -\ne3 d1 m4,m3 -", "m1", 2, "m1", 9,
     "e1 unload s2 for m1"},
    {"one large replica is evicted rather than two small ones",
     "e1 d1 m1,s1,s2 -\ne2 d1 m2,s1,s2 -\ne3 d1 m3,m4 -\ne4 d1 m2,m3 -", "m1",
     2, NULL, 9, "e4 unload m2 for m1"},
    {"two last replicas on one engine: one of them moves to another",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3,s1 -\ne4 d1 - -", NULL, 0, NULL,
     9, "e4 load m1"},
    {"no move to an engine that would be full again",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -", NULL, 0, NULL, 9, ""},
    {"no move with the last load from the weight store",
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3,s1 -\ne4 d1 - -", NULL, 0, NULL,
     1, ""},
    {"engines of other data centres get no order",
     "e1 d2 m1,m2 -\ne2 d2 m3 m4", NULL, 0, NULL, 9, ""},
};

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].description);
        g_autofree char *got =
            decide(cases[i].fleet, "d1", cases[i].busy, cases[i].work,
                   cases[i].reserved_for, cases[i].loads_left);
        g_assert_cmpstr(got, ==, cases[i].expect);
    }
}

/* Two data centres each hold a replica of m3 and want its memory.  Guards
 * against both giving it up, so that no engine holds the model: exactly one
 * evicts its replica. */
static void
test_last_replica_kept(void)
{
    static const char fleet[] = "e1 d1 m2,m3 m1\ne2 d2 m4,m3 m1\ne3 d3 m1 -";
    g_autofree char *here = decide(fleet, "d1", "m1", 4, NULL, 9);
    g_autofree char *there = decide(fleet, "d2", "m1", 4, NULL, 9);
    unsigned evictions = (strstr(here, "unload m3") != NULL ? 1 : 0) +
                         (strstr(there, "unload m3") != NULL ? 1 : 0);
    g_test_message("here: %s; there: %s", here, there);
    g_assert_cmpuint(evictions, ==, 1);
}

/* A model that no engine holds is restored by one data centre only. */
static void
test_single_restore(void)
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

/* Counts the occurrences of a text in another. */
static unsigned
count_occurrences(const char *text, const char *part)
{
    unsigned count = 0;
    for (const char *found = text; (found = strstr(found, part)) != NULL;
         found++) {
        count++;
    }
    return count;
}

/*
 * Two models are in demand at once, and each of two engines could evict a
 * replica of m3 for one of them.  Guards against both replicas being evicted
 * in the same round, after which no engine would hold m3 for its next caller:
 * one of the two stays.
 */
static void
test_evictions_in_one_round(void)
{
    g_autofree char *got =
        decide("e1 d1 m3,m1 -\ne2 d1 m3,m2 -\ne3 d1 m4,s1,s2 -", "d1", "m1 m2",
               2, NULL, 9);
    g_test_message("%s", got);
    g_assert_cmpuint(count_occurrences(got, "unload m3"), ==, 1);
}

/*
 * A model needs one more replica, and an engine in each of three data centres
 * could take it.  Guards against all three lease holders adding it, after
 * which two other models would have too few replicas for their callers: only
 * one adds it.
 */
static void
test_single_new_replica(void)
{
    static const char fleet[] = "e1 d1 m2,m3 -\ne2 d2 m2,m3 -\n"
                                "e3 d3 m2,m3 -\ne4 d1 m1,m4 -";
    static const char *const centres[] = {"d1", "d2", "d3"};
    unsigned orders = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(centres); i++) {
        g_autofree char *got = decide(fleet, centres[i], "m1", 0.8, NULL, 9);
        g_test_message("%s: %s", centres[i], got);
        orders += count_occurrences(got, "for m1");
    }
    g_assert_cmpuint(orders, ==, 1);
}

/*
 * Three engines become empty, as after a loss of power, while no engine holds
 * one model and another is short of replicas.  Guards against all three
 * loading the first model, so that callers of the second would wait for
 * seconds more.
 */
static void
test_empty_engines(void)
{
    g_autofree char *got =
        decide("e1 d1 m1,m2 -\ne2 d1 - -\ne3 d1 - -\ne4 d1 - -\n"
               "e5 d2 m4 -\ne6 d3 m4 -",
               "d1", "m1 m3", 0.7, NULL, 9);
    g_test_message("%s", got);
    g_assert_cmpuint(count_occurrences(got, "load m3"), <=, 2);
    g_assert_cmpuint(count_occurrences(got, "load m1"), >=, 1);
}

#define WITHOUT(member) offsetof(struct ch_disabled_features, member)

/* The decision with a mechanism on, and with it off. */
static const struct {
    const char *description;
    size_t mechanism;
    const char *fleet;
    const char *busy;
    double work;
    const char *with;
    const char *without;
} switches[] = {
    {"another data centre has the better engine", WITHOUT(fleet_wide_search),
     "e1 d1 m2,m3 -\ne2 d2 m2,m3 m1\ne3 d1 m1,m4 -", "m1", 0.8, "",
     "e1 unload m2 for m1$"},
    {"only two small evictions together free enough memory",
     WITHOUT(several_evictions),
     "e1 d1 m1,s1,s2 -\ne2:150 d1 m2,s1,s2 -\ne3 d1 m3,m4 -", "m1", 2,
     "e2:150 unload s1 for m1$", ""},
    {"a single small eviction frees enough memory", WITHOUT(several_evictions),
     "e1 d1 m1,s1,s2 -\ne2 d1 m2,s1,s2 -\ne3 d1 m3,m4 -", "m1", 2,
     "e2 unload s1 for m1$", "e2 unload s1 for m1$"},
    {"two last replicas on one engine", WITHOUT(spread_last_replicas),
     "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m3,s1 -\ne4 d1 - -", NULL, 0,
     "e4 load m1$", ""},
    {"a local copy, or an engine that keeps free memory",
     WITHOUT(local_copies_first),
     "e1 d1 m1,s1 -\ne2 d1 m3,s2 -\ne3 d1 m2 m4\ne4 d1 - -", NULL, 0,
     "e3 load m4", "e4 load m4$"},
    {"free memory and a local copy", WITHOUT(local_copies_first),
     "e1 d1 m1,s1 -\ne2 d1 m2,s2 -\ne3 d1 m3 m1\ne4 d1 m4 -", NULL, 0,
     "e3 load m1", ""},
    {"memory is freed", WITHOUT(reservations), "e1 d1 m1,m2 -\ne2 d1 m3,m1 -",
     NULL, 0, "e1 unload m1 for m4$", "e1 unload m1"},
};

/* Each switch changes the decision of its mechanism, and leaves decisions in
 * which the mechanism has no part as they are. */
static void
test_switches(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(switches); i++) {
        for (int off = 0; off < 2; off++) {
            struct ch_disabled_features without = {0};
            ((bool *)&without)[switches[i].mechanism] = off == 1;
            g_autofree char *got = decide_without(
                &without, switches[i].fleet, "d1", switches[i].busy,
                switches[i].work, NULL, 9, 0, "$");
            g_test_message("%s, %s: %s", switches[i].description,
                           off == 1 ? "off" : "on", got);
            g_assert_cmpstr(got, ==,
                            off == 1 ? switches[i].without : switches[i].with);
        }
    }
}

static const struct {
    const char *description;
    const char *copies; /* of the engine with free memory */
    double work;
    int64_t load_ms;
    const char *expect;
} load_cases[] = {
    {"quick load, half an engine of load", "-", 0.7, 1400, "e2 load m1$"},
    {"slow load, half an engine of load", "-", 0.7, 8600, ""},
    {"slow load, a whole engine of load", "-", 1.2, 8600, "e2 load m1$"},
    {"very slow load, a whole engine of load", "-", 1.2, 60000, "e2 load m1$"},
    {"slow load, half an engine of load, a local copy", "m1", 0.7, 8600,
     "e2 load m1"},
    {"load time not stated", "-", 0.7, 0, "e2 load m1$"},
};

/* Guards against replicas that come when the demand has moved on: the longer a
 * load from the weight store takes, the more demand it needs. */
static void
test_slow_loads(void)
{
    const struct ch_disabled_features none = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        g_autofree char *fleet = g_strdup_printf(
            "e1 d1 m1,m2 -\ne2 d1 m3 %s\ne3 d1 m4,m2 -", load_cases[i].copies);
        g_autofree char *got =
            decide_without(&none, fleet, "d1", "m1", load_cases[i].work, NULL,
                           9, load_cases[i].load_ms * 1000, "$");
        g_test_message("%s: %s", load_cases[i].description, got);
        g_assert_cmpstr(got, ==, load_cases[i].expect);
    }
}

static const struct {
    const char *description;
    const char *fleet;
    const char *expect;
} version_cases[] = {
    {"one replica at the version, and room at another engine of it",
     "e1@v1 d1 m1,m2 -\ne2@v2 d1 m3,m4 -\ne3@v1 d1 m2 -", "e3 load m1"},
    {"in place of a replica that is hardly asked for",
     "e1@v1 d1 m1,m2 -\ne2@v2 d1 m3 -\ne3@v1 d1 m4,m2 -",
     "e3 unload m2 for m1"},
    {"room at an engine of another version alone",
     "e1@v1 d1 m1,m2 -\ne2@v2 d1 m3 -\ne3@v2 d1 m4 -", ""},
    {"two replicas at the version",
     "e1@v1 d1 m1,m2 -\ne2@v2 d1 m1,m4 -\ne3@v1 d1 m1,m3 -", ""},
    {"one at each version",
     "e1@v1 d1 m1,m2 -\ne2@v2 d1 m1,m4 -\n"
     "e3@v1 d1 m3 -\ne4@v2 d1 m3 -",
     "e3 load m1"},
    {"one version alone", "e1 d1 m1,m2 -\ne2 d1 m3,m4 -\ne3 d1 m2 -", ""},
    {"versions that are not known",
     "e1@? d1 m1,m2 -\ne2@? d1 m3,m4 -\ne3@? d1 m2 -", ""},
    {"no room but that of last replicas",
     "e1@v1 d1 m1,m2 -\ne2@v2 d1 s1 -\ne3@v1 d1 m3,m4 -", ""},
};

/* Guards against streams that end with the only engine of their version that
 * holds their model, though others of that version have room. */
static void
test_versions(void)
{
    /* Replicas that are moved for other reasons are left out. */
    const struct ch_disabled_features without = {.spread_last_replicas = true};
    for (size_t i = 0; i < G_N_ELEMENTS(version_cases); i++) {
        g_autofree char *got = decide_without(&without, version_cases[i].fleet,
                                              "d1", "m1", 0.3, NULL, 9, 0, "");
        g_test_message("%s: %s", version_cases[i].description, got);
        g_assert_cmpstr(got, ==, version_cases[i].expect);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/arrange/cases", test_cases);
    g_test_add_func("/arrange/both-give-up", test_last_replica_kept);
    g_test_add_func("/arrange/one-restores", test_single_restore);
    g_test_add_func("/arrange/two-in-a-round", test_evictions_in_one_round);
    g_test_add_func("/arrange/one-of-three", test_single_new_replica);
    g_test_add_func("/arrange/empty-engines", test_empty_engines);
    g_test_add_func("/arrange/switches", test_switches);
    g_test_add_func("/placement/slow-loads", test_slow_loads);
    g_test_add_func("/placement/versions", test_versions);
    return g_test_run();
}
