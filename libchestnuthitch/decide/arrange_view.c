/* What is seen of a state in which models are arranged: counts, and the room
 * that can be made. */

#include "decide/arrange_internal.h"

/* What waits is to be done within this many seconds. */
static const double backlog_s = 2;
/* The last replica of a model would be left where nothing else of size could
 * come any more: in engines' time that is asked for. */
static const double STRANDS = 0.5;

/* ---- counting ---- */

/* The number of an engine's data centre. */
static guint
centre_of(const struct ch_round *round, const struct ch_arrange_engine *engine)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(
        round->centres, GUINT_TO_POINTER(engine->data_centre)));
}

/* Numbers the data centres, and makes the counts for them. */
static void
number_centres(struct ch_round *round)
{
    const struct ch_arrange_state *state = round->state;
    for (size_t i = 0; i < state->engine_count; i++) {
        gpointer key = GUINT_TO_POINTER(state->engines[i].data_centre);
        if (!g_hash_table_contains(round->centres, key)) {
            guint number = g_hash_table_size(round->centres);
            g_hash_table_insert(round->centres, key, GUINT_TO_POINTER(number));
        }
    }
    guint centres = g_hash_table_size(round->centres);
    round->counts = g_new0(unsigned, state->model_count *centres + 1);
    for (size_t i = 0; i < state->model_count; i++) {
        round->tallies[i].own = &round->counts[i * centres];
    }
}

/*
 * Counts an engine's replica.  Which data centre keeps the last one is decided
 * by rendezvous among those with a replica, the same everywhere: else two data
 * centres that each see the other's give up both at once, and nobody holds the
 * model.
 */
static void
count_item(const struct ch_round *round,
           const struct ch_arrange_engine *engine,
           const struct ch_arrange_item *item)
{
    struct ch_tally *tally =
        g_hash_table_lookup(round->by_name, GUINT_TO_POINTER(item->model));
    if (tally == NULL || item->state == CH_ITEM_UNLOADING) {
        return;
    }
    tally->replicas++;
    if (item->state != CH_ITEM_RESIDENT) {
        return;
    }
    tally->own[centre_of(round, engine)]++;
    uint64_t weight =
        ch_hash_pair(ch_hash_string(g_quark_to_string(item->model)),
                     ch_hash_string(g_quark_to_string(engine->data_centre)));
    if (tally->keeper == 0 || weight > tally->keeper_weight) {
        tally->keeper = engine->data_centre;
        tally->keeper_weight = weight;
    }
}

/* Counts the models of an engine that stays. */
static void
count_engine(const struct ch_round *round,
             const struct ch_arrange_engine *engine)
{
    for (size_t i = 0; i < engine->item_count; i++) {
        count_item(round, engine, &engine->items[i]);
    }
    struct ch_tally *pledged =
        g_hash_table_lookup(round->by_name, GUINT_TO_POINTER(engine->pledged));
    const struct ch_arrange_item *held =
        ch_round_item(engine, engine->pledged);
    if (pledged != NULL &&
        (held == NULL || held->state == CH_ITEM_UNLOADING)) {
        pledged->replicas++;
    }
}

/* Counts all; out: where orders are appended. */
void
ch_round_init(struct ch_round *round, const struct ch_arrange_state *state,
              GArray *out)
{
    *round = (struct ch_round){
        .state = state,
        .tallies = g_new0(struct ch_tally, state->model_count + 1),
        .by_name = g_hash_table_new(NULL, NULL),
        .centres = g_hash_table_new(NULL, NULL),
        .ordered = g_hash_table_new(NULL, NULL),
        .loads_left = state->loads_left,
        .out = out,
    };
    for (size_t i = 0; i < state->model_count; i++) {
        const struct ch_arrange_model *model = &state->models[i];
        round->tallies[i].model = model;
        round->largest_mb = MAX(round->largest_mb, model->memory_mb);
        g_hash_table_insert(round->by_name, GUINT_TO_POINTER(model->name),
                            &round->tallies[i]);
    }
    number_centres(round);
    for (size_t i = 0; i < state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &state->engines[i];
        if (!engine->leaving) {
            count_engine(round, engine);
            round->changing += engine->mine && !engine->open ? 1 : 0;
        }
    }
}

/*
 * See arrange_internal.h.  Load: several engines that come back empty at once,
 * or several models that need room.  Harm prevented: all of them load the same
 * model, which one would have been enough for; the last two replicas of a
 * model go in one round, each in view of the other.
 */
void
ch_round_count_order(struct ch_round *round,
                     const struct ch_arrange_engine *engine, GQuark victim,
                     GQuark model)
{
    struct ch_tally *comes =
        g_hash_table_lookup(round->by_name, GUINT_TO_POINTER(model));
    struct ch_tally *goes =
        g_hash_table_lookup(round->by_name, GUINT_TO_POINTER(victim));
    if (comes != NULL && engine->pledged != model) {
        comes->replicas++;
    }
    if (goes != NULL) {
        goes->replicas--;
        goes->own[centre_of(round, engine)]--;
    }
    g_hash_table_add(round->ordered, GUINT_TO_POINTER(engine->name));
}

/* Frees what it holds. */
void
ch_round_clear(struct ch_round *round)
{
    g_hash_table_destroy(round->by_name);
    g_hash_table_destroy(round->centres);
    g_hash_table_destroy(round->ordered);
    g_free(round->counts);
    g_free(round->tallies);
}

/* ---- looking ---- */

/* See arrange_internal.h. */
const struct ch_arrange_item *
ch_round_item(const struct ch_arrange_engine *engine, GQuark model)
{
    for (size_t i = 0; i < engine->item_count; i++) {
        if (engine->items[i].model == model) {
            return &engine->items[i];
        }
    }
    return NULL;
}

/* See arrange_internal.h. */
bool
ch_round_has_copy(const struct ch_arrange_engine *engine, GQuark model)
{
    for (size_t i = 0; i < engine->copy_count; i++) {
        if (engine->copies[i] == model) {
            return true;
        }
    }
    return false;
}

/* See arrange_internal.h. */
bool
ch_round_may_hold(const struct ch_arrange_engine *engine,
                  const struct ch_arrange_model *model)
{
    for (size_t i = 0; i < model->service_count; i++) {
        if (model->services[i] == engine->service) {
            return true;
        }
    }
    return false;
}

/* See arrange_internal.h. */
const struct ch_tally *
ch_round_tally(const struct ch_round *round, GQuark name)
{
    return g_hash_table_lookup(round->by_name, GUINT_TO_POINTER(name));
}

/* See arrange_internal.h. */
unsigned
ch_round_replicas(const struct ch_round *round, GQuark model)
{
    const struct ch_tally *tally = ch_round_tally(round, model);
    return tally == NULL ? 0 : tally->replicas;
}

/* See arrange_internal.h. */
double
ch_round_pressure(const struct ch_arrange_model *model, unsigned replicas)
{
    return (model->work + model->backlog / backlog_s) / MAX(replicas, 1);
}

/* See arrange_internal.h. */
double
ch_round_busy(const struct ch_round *round,
              const struct ch_arrange_engine *engine, GQuark but)
{
    double busy = 0;
    for (size_t i = 0; i < engine->item_count; i++) {
        GQuark name = engine->items[i].model;
        const struct ch_tally *tally = ch_round_tally(round, name);
        if (tally != NULL && name != but) {
            busy += ch_round_pressure(tally->model, tally->replicas);
        }
    }
    return busy;
}

/* Memory left of an engine's when this is taken. */
static uint32_t
left_of(const struct ch_arrange_engine *engine, uint64_t used)
{
    return used < engine->memory_mb ? engine->memory_mb - (uint32_t)used : 0;
}

/* See arrange_internal.h. */
uint32_t
ch_round_free(const struct ch_round *round,
              const struct ch_arrange_engine *engine)
{
    uint64_t used = engine->reserve_mb;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_tally *tally =
            ch_round_tally(round, engine->items[i].model);
        used += tally == NULL ? 0 : tally->model->memory_mb;
    }
    return left_of(engine, used);
}

/* See arrange_internal.h. */
uint32_t
ch_round_flexible(const struct ch_round *round,
                  const struct ch_arrange_engine *engine)
{
    uint64_t used = engine->reserve_mb;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_tally *tally =
            ch_round_tally(round, engine->items[i].model);
        bool only = tally != NULL && tally->replicas < 2 &&
                    engine->items[i].state != CH_ITEM_UNLOADING;
        used += only ? tally->model->memory_mb : 0;
    }
    return left_of(engine, used);
}

/* See arrange_internal.h. */
bool
ch_round_is_open(const struct ch_arrange_engine *engine)
{
    return engine->open && !engine->leaving;
}

/* See arrange_internal.h. */
bool
ch_round_is_ordered(const struct ch_round *round,
                    const struct ch_arrange_engine *engine)
{
    return g_hash_table_contains(round->ordered,
                                 GUINT_TO_POINTER(engine->name));
}

/* See arrange_internal.h. */
bool
ch_round_may_load(const struct ch_round *round,
                  const struct ch_arrange_engine *engine, GQuark model)
{
    return engine->pledged == model || ch_round_has_copy(engine, model) ||
           !engine->mine || round->loads_left > 0;
}

/* ---- room ---- */

/* A model that may go from an engine. */
struct candidate {
    GQuark model;
    uint32_t memory_mb;
    double left; /* what is asked of each replica that stays */
    double cost; /* ... and what else it takes from others */
};

/* Whether the model's replica on the engine may go. */
static bool
may_go(const struct ch_round *round, const struct ch_arrange_engine *engine,
       const struct ch_tally *tally)
{
    return tally->replicas >= 2 &&
           (tally->own[centre_of(round, engine)] >= 2 ||
            tally->keeper != engine->data_centre);
}

/* Whether the last replica of the model would be left on an engine on which
 * nothing large could come any more. */
static bool
strands(const struct ch_round *round, const struct ch_arrange_engine *from,
        const struct ch_tally *tally)
{
    for (size_t i = 0; tally->replicas == 2 && i < round->state->engine_count;
         i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        if (engine != from && !engine->leaving &&
            ch_round_item(engine, tally->model->name) != NULL) {
            return ch_round_flexible(round, engine) <
                   tally->model->memory_mb + round->largest_mb;
        }
    }
    return false;
}

/* Orders candidates: what is missed least first. */
static gint
by_cost(gconstpointer a, gconstpointer b)
{
    double first = ((const struct candidate *)a)->cost;
    double second = ((const struct candidate *)b)->cost;
    return (first > second) - (first < second);
}

/* The models that may go from the engine, those that are missed least first.
 */
static GArray *
candidates_on(const struct ch_round *round,
              const struct ch_arrange_engine *engine, double most)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_arrange_item *item = &engine->items[i];
        const struct ch_tally *tally = ch_round_tally(round, item->model);
        if (item->state != CH_ITEM_RESIDENT || tally == NULL ||
            !may_go(round, engine, tally)) {
            continue;
        }
        double left = ch_round_pressure(tally->model, tally->replicas - 1);
        const struct candidate candidate = {
            .model = item->model,
            .memory_mb = tally->model->memory_mb,
            .left = left,
            .cost = left + (strands(round, engine, tally) ? STRANDS : 0),
        };
        if (left <= most) {
            g_array_append_val(out, candidate);
        }
    }
    g_array_sort(out, by_cost);
    return out;
}

/* Leaves those out without which there is room all the same, beginning with
 * what is missed most. */
static void
leave_out(GArray *chosen, uint64_t room, uint32_t memory_mb)
{
    for (guint i = chosen->len; i > 0; i--) {
        uint32_t without =
            g_array_index(chosen, struct candidate, i - 1).memory_mb;
        if (room - without >= memory_mb) {
            room -= without;
            g_array_remove_index(chosen, i - 1);
        }
    }
}

/* Leaves those out that do not make the room alone. */
static void
leave_out_small(GArray *chosen, uint64_t room, uint32_t memory_mb)
{
    for (guint i = chosen->len; i > 0; i--) {
        if (room + g_array_index(chosen, struct candidate, i - 1).memory_mb <
            memory_mb) {
            g_array_remove_index(chosen, i - 1);
        }
    }
}

/*
 * See arrange_internal.h.  Load: a large model is asked for, and only small
 * ones can go.  Harm prevented: each of them alone makes too little room, and
 * the engine stands idle beside the large model's queue.
 */
bool
ch_round_find_room(const struct ch_round *round,
                   const struct ch_arrange_engine *engine, uint32_t memory_mb,
                   double most, struct ch_eviction *out)
{
    *out = (struct ch_eviction){.first = 0};
    uint64_t room = ch_round_free(round, engine);
    if (room >= memory_mb) {
        return true;
    }
    GArray *chosen = candidates_on(round, engine, most);
    if (round->state->without.several_victims) {
        leave_out_small(chosen, room, memory_mb);
    }
    guint needed = 0;
    while (needed < chosen->len && room < memory_mb) {
        room += g_array_index(chosen, struct candidate, needed).memory_mb;
        needed++;
    }
    bool enough = room >= memory_mb;
    if (enough) {
        g_array_set_size(chosen, needed);
        leave_out(chosen, room, memory_mb);
        const struct candidate *last =
            &g_array_index(chosen, struct candidate, chosen->len - 1);
        out->first = g_array_index(chosen, struct candidate, 0).model;
        out->count = chosen->len;
        out->left = last->left;
        out->cost = last->cost;
    }
    g_array_free(chosen, TRUE);
    return enough;
}
