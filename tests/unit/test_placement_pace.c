/* Placement of models on engines that differ in speed. */

#include "decide/placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    MAX_ENGINES = 8,
    MODEL_COUNT = 4,
    LOAD_US = 8 * 1000 * 1000,
    ENGINE_MB = 140, /* two models of 70 */
};

/*
 * A fleet as text: lines "NAME PACE MODELS LOCAL-COPIES".  Lists are separated
 * by commas, "-" is an empty list; MODEL@SECONDS says how long ago its load
 * ended.
 */
struct fleet {
    struct ch_placement_engine engines[MAX_ENGINES];
    struct ch_placement_item items[MAX_ENGINES][MODEL_COUNT];
    GQuark copies[MAX_ENGINES][MODEL_COUNT];
    size_t count;
};

static void
read_engine(struct fleet *fleet, const char *line)
{
    g_auto(GStrv) fields = g_strsplit(line, " ", -1);
    g_auto(GStrv) models = g_strsplit(fields[2], ",", -1);
    g_auto(GStrv) copies = g_strsplit(fields[3], ",", -1);
    size_t index = fleet->count++;
    struct ch_placement_engine *engine = &fleet->engines[index];
    *engine = (struct ch_placement_engine){
        .name = g_quark_from_string(fields[0]),
        .service = g_quark_from_string("s"),
        .data_centre = g_quark_from_string("d1"),
        .controlled = true,
        .accepts_orders = true,
        .memory_mb = ENGINE_MB,
        .items = fleet->items[index],
        .local_copies = fleet->copies[index],
        .pace = g_ascii_strtod(fields[1], NULL),
    };
    for (size_t i = 0; models[i] != NULL && models[i][0] != '-'; i++) {
        g_auto(GStrv) parts = g_strsplit(models[i], "@", 2);
        fleet->items[index][engine->item_count++] = (struct ch_placement_item){
            .model = g_quark_from_string(parts[0]),
            .state = CH_ITEM_RESIDENT,
            .resident_for =
                parts[1] == NULL ? 0 : atoi(parts[1]) * G_USEC_PER_SEC,
        };
    }
    for (size_t i = 0; copies[i] != NULL && copies[i][0] != '-'; i++) {
        fleet->copies[index][engine->local_copy_count++] =
            g_quark_from_string(copies[i]);
    }
}

/* Fills in m1 to m4 with the demands given, separated by spaces. */
static void
read_models(struct ch_placement_model *models, const char *demands,
            const GQuark *service)
{
    g_auto(GStrv) fields = g_strsplit(demands, " ", MODEL_COUNT);
    for (size_t i = 0; i < MODEL_COUNT; i++) {
        g_autofree char *name = g_strdup_printf("m%zu", i + 1);
        models[i] = (struct ch_placement_model){
            .name = g_quark_from_string(name),
            .memory_mb = 70,
            .load_time = LOAD_US,
            .demand = g_ascii_strtod(fields[i], NULL),
            .services = service,
            .service_count = 1,
        };
    }
}

/* The orders of a round as "ENGINE load MODEL" and "ENGINE unload MODEL for
 * MODEL", separated by "; ", with "$" after each load from the weight store.
 */
static char *
write_orders(const GArray *actions)
{
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < actions->len; i++) {
        const struct ch_placement_action *action =
            &g_array_index(actions, struct ch_placement_action, i);
        bool loads = action->kind == CH_ACTION_LOAD;
        g_string_append_printf(
            out, "%s%s %s %s%s%s%s", i == 0 ? "" : "; ",
            g_quark_to_string(action->engine), loads ? "load" : "unload",
            g_quark_to_string(action->model), loads ? "" : " for ",
            loads ? "" : g_quark_to_string(action->reserved_for),
            action->from_store ? "$" : "");
    }
    return g_string_free(out, FALSE);
}

/* One round.  even: all engines get pace 1. */
static char *
decide(const char *text, const char *demands, bool off, bool even)
{
    struct fleet fleet = {.count = 0};
    struct ch_placement_model models[MODEL_COUNT];
    GQuark service = g_quark_from_string("s");
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        read_engine(&fleet, lines[i]);
        fleet.engines[i].pace = even ? 1 : fleet.engines[i].pace;
    }
    read_models(models, demands, &service);
    const struct ch_placement_state state = {
        .engines = fleet.engines,
        .engine_count = fleet.count,
        .models = models,
        .model_count = MODEL_COUNT,
        .data_centre = g_quark_from_string("d1"),
        .store_loads_left = 9,
        .max_changing_engines = 1,
        .disabled = {.fast_engines = off, .spread_last_replicas = true},
    };
    GArray *actions =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_action));
    ch_placement_plan(&state, actions);
    char *out = write_orders(actions);
    g_array_free(actions, TRUE);
    return out;
}

/* expect: with the paces; even: with pace 1 everywhere, and switched off. */
static const struct {
    const char *description;
    const char *fleet;
    const char *demands;
    const char *expect;
    const char *even;
} cases[] = {
    {"uneven engines: a busy model goes to the fast one",
     "e1 1 m1,m2 -\ne2 1.6 m3 -\ne3 0.6 m4 -", "2 0 0 0", "e3 load m1$",
     "e2 load m1$"},
    {"uneven engines: a model that nobody asks for goes to the slow one",
     "e1 1 m1,m2 -\ne2 0.6 m3 -\ne3 1.6 m3 -", "0 0 0 0", "e3 load m4$",
     "e2 load m4$"},
    {"uneven engines: the load of other models keeps a busy one away",
     "e1 1 m1,m2 -\ne2 0.6 m3 -\ne3 1 m4 -", "1.2 0 1.2 0", "e3 load m1$",
     "e3 load m1$"},
    {"a difference below a fifth does not count",
     "e1 1 m1,m2 -\ne2 1.15 m3 -\ne3 0.9 m4 -", "2 0 0 0", "e2 load m1$",
     "e2 load m1$"},
    {"a pace that is not known counts as usual",
     "e1 0 m1,m2 -\ne2 0 m3 -\ne3 0.6 m4 -", "2 0 0 0", "e3 load m1$",
     "e2 load m1$"},
    {"a copy on a slow engine that meets the demand, beside a fast one",
     "e1 1 m1,m2 -\ne2 0.6 m3 -\ne3 1.6 m4 m1", "0.75 0 0 0", "e3 load m1",
     "e3 load m1"},
    {"a copy on a slow engine that does not meet the demand",
     "e1 1 m1,m2 -\ne2 0.6 m3 -\ne3 2.5 m4 m1", "2 0 0 0",
     "e2 load m1$; e3 load m1", "e3 load m1"},
    {"one busy model with replicas on slow engines is short sooner",
     "e1 1.6 m1,m2 -\ne2 1.6 m1,m3 -\ne3 1 m4 m1", "0.8 0 0.01 0.01",
     "e3 load m1", "e3 load m1"},
    {"replicas on fast engines suffice for more",
     "e1 0.6 m1,m2 -\ne2 0.6 m1,m3 -\ne3 1 m4,m2 m1", "1.2 0 0.01 0.01", "",
     "e3 unload m2 for m1"},
    {"replicas on slow engines do not",
     "e1 1.6 m1,m2 -\ne2 1.6 m1,m3 -\ne3 1 m4,m2 m1", "0.8 0 0.01 0.01",
     "e3 unload m2 for m1", ""},
    {"a hot set that moves: a model that was just loaded stays",
     "e1 1 m1,m3 -\ne2 1.6 m4,m2@9 m1\ne3 1.6 m2,m3 -", "2 0.1 0 0",
     "e3 unload m3 for m1$", "e2 unload m2 for m1"},
    {"it goes once its demand is over",
     "e1 1 m1,m3 -\ne2 1.6 m4,m2@9 m1\ne3 1.6 m2,m3 -", "2 0 0 0",
     "e2 unload m2 for m1", "e2 unload m2 for m1"},
    {"it goes after two load times",
     "e1 1 m1,m3 -\ne2 1.6 m4,m2@16 m1\ne3 1.6 m2,m3 -", "2 0.1 0 0",
     "e2 unload m2 for m1", "e2 unload m2 for m1"},
    {"it goes for a model that no engine holds, if nothing else can",
     "e1 1 m1@9,m3 -\ne2 1.6 m1@9,m2 -", "0.1 0.1 0 0", "e2 unload m1 for m4$",
     "e1 unload m1 for m4$"},
};

/* Guards against busy models on slow engines, loads from the store beside a
 * copy, and engines that swap two models. */
static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].description);
        g_autofree char *got =
            decide(cases[i].fleet, cases[i].demands, false, false);
        g_assert_cmpstr(got, ==, cases[i].expect);
    }
}

/* Guards against other orders where engines state no pace, or where the
 * mechanism is off. */
static void
test_without_pace(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *even =
            decide(cases[i].fleet, cases[i].demands, false, true);
        g_autofree char *off =
            decide(cases[i].fleet, cases[i].demands, true, false);
        g_test_message("%s", cases[i].description);
        g_assert_cmpstr(even, ==, cases[i].even);
        g_assert_cmpstr(off, ==, cases[i].even);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/placement-pace/cases", test_cases);
    g_test_add_func("/placement-pace/without-pace", test_without_pace);
    return g_test_run();
}
