/* Which models come and go on the engines of one data centre. */

#include "decide/arrange_internal.h"

/* What makes one engine worse than another for a model, in engines' time that
 * is asked of it: a load of some seconds in place of one or less, a model that
 * has to go and whose requests end first, an engine that becomes one on which
 * nothing large can come any more.  To bring back what nobody holds, time
 * counts more: the load's, and that of a model whose requests end first. */
static const double FROM_STORE = 4;
static const double DISPLACES = 2;
static const double DISPLACES_BUSY = 6;
static const double SHIFT_FROM_STORE = 1;
static const double BLOCKS_ADAPTERS = 0.5;
static const double DRAINS = 0.25;
static const double FILLS_UP = 2;
/* Beyond this a replica is in use, and not moved for the sake of room. */
static const double idle_replica = 0.25;

enum {
    /* Loads of the weight store that are left for what is asked for, while
     * others move for the sake of room. */
    LOADS_KEPT = 1,
    /* Engines are looked for so often in a round. */
    MOST_LOOKS = 64,
};

/* ---- ordering ---- */

/* Appends an order: to load a model, or first to unload a victim for it.  The
 * load from the weight store is counted with the first of the two, so that the
 * room is not made in vain.  What is decided for an engine of another data
 * centre is only counted: its own holder decides the same. */
static void
order(struct ch_round *round, const struct ch_arrange_engine *engine,
      GQuark victim, GQuark model, const char *reason)
{
    ch_round_count_order(round, engine, victim, model);
    if (!engine->mine) {
        return;
    }
    bool pledges = victim != 0 && !round->state->without.pledges;
    const struct ch_arrange_action action = {
        .kind = victim == 0 ? CH_ACTION_LOAD : CH_ACTION_UNLOAD,
        .engine = engine->name,
        .model = victim == 0 ? model : victim,
        .pledged = pledges ? model : 0,
        .from_store = (victim == 0 || pledges) && engine->pledged != model &&
                      !ch_round_has_copy(engine, model),
        .reason = reason,
    };
    if (action.from_store) {
        round->loads_left--;
    }
    round->changing++;
    g_array_append_val(round->out, action);
}

/* Whether room was made on the engine for another model. */
static bool
is_pledged_to_other(const struct ch_arrange_engine *engine, GQuark model)
{
    return engine->pledged != 0 && engine->pledged != model;
}

/* What an engine's change costs those who need adapters meanwhile: it is the
 * only one with a model that has some. */
static double
blocks_adapters(const struct ch_round *round,
                const struct ch_arrange_engine *engine)
{
    double cost = 0;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_tally *tally =
            ch_round_tally(round, engine->items[i].model);
        if (tally != NULL && tally->model->adapters && tally->replicas < 2) {
            cost += BLOCKS_ADAPTERS;
        }
    }
    return cost;
}

/* What a load costs that takes `from_store` more without a copy near by. */
static double
load_cost(const struct ch_round *round, const struct ch_arrange_engine *engine,
          GQuark model, double from_store)
{
    bool alike =
        round->state->without.near_copies || ch_round_has_copy(engine, model);
    return alike ? 0 : from_store;
}

/* The best of several engines for a model. */
struct pick {
    const struct ch_arrange_engine *engine; /* NULL: none */
    GQuark victim;
    double cost;
};

/* Takes the engine in place of a worse one. */
static void
consider(struct pick *pick, const struct ch_arrange_engine *engine,
         GQuark victim, double cost)
{
    if (pick->engine == NULL || cost < pick->cost) {
        *pick = (struct pick){engine, victim, cost};
    }
}

/* Whether the engine may be told now to take the model. */
static bool
can_take(const struct ch_round *round, const struct ch_arrange_engine *engine,
         const struct ch_arrange_model *model)
{
    return ch_round_is_open(engine) && !ch_round_is_ordered(round, engine) &&
           ch_round_may_hold(engine, model) &&
           ch_round_item(engine, model->name) == NULL &&
           ch_round_may_load(round, engine, model->name);
}

/* ---- reachability ---- */

/* Whether this data centre is the one that brings back a model which nobody
 * holds: the same for every node, by rendezvous among those with engines. */
static bool
is_chosen_centre(const struct ch_round *round,
                 const struct ch_arrange_model *model)
{
    GQuark best = 0;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        uint64_t weight = ch_hash_pair(
            ch_hash_string(g_quark_to_string(model->name)),
            ch_hash_string(g_quark_to_string(engine->data_centre)));
        if (!engine->leaving && ch_round_may_hold(engine, model) &&
            (best == 0 || weight > best_weight)) {
            best = engine->data_centre;
            best_weight = weight;
        }
    }
    return best == round->state->data_centre;
}

/*
 * Load: the last engine that held a model has crashed or leaves.  Harm
 * prevented: the model is out of reach until somebody asks for it, and then
 * for as long as its load takes.  It is brought back at once, where there is
 * room, else in place of a model that others hold too; a quick copy is worth
 * more than an idle engine.
 */
static void
restore(struct ch_round *round, const struct ch_arrange_model *model)
{
    struct pick best = {NULL, 0, 0};
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        struct ch_eviction eviction;
        if (!engine->mine || !can_take(round, engine, model) ||
            is_pledged_to_other(engine, model->name) ||
            !ch_round_find_room(round, engine, model->memory_mb, G_MAXDOUBLE,
                                &eviction)) {
            continue;
        }
        bool fills = ch_round_flexible(round, engine) <
                     model->memory_mb + round->largest_mb;
        double cost = load_cost(round, engine, model->name, FROM_STORE) +
                      eviction.count * DISPLACES +
                      eviction.cost * DISPLACES_BUSY + (fills ? FILLS_UP : 0) +
                      ch_round_busy(round, engine, eviction.first) +
                      blocks_adapters(round, engine);
        consider(&best, engine, eviction.first, cost);
    }
    if (best.engine != NULL) {
        order(round, best.engine, best.victim, model->name,
              "nobody holds the model");
    }
}

/* ---- demand ---- */

/*
 * Load: demand that moves to another model within seconds.  Harm prevented: it
 * queues at the few engines that hold the model while others stand idle.  It
 * comes where there is room, or a replica that is missed much less gives way,
 * never the last one of anything; a copy near by goes first, since it loads in
 * a second or less where the weight store needs several.  The engine is looked
 * for in the whole fleet, and each holder orders its own: else the holders of
 * three data centres each bring what is missing, three times as much, and take
 * it from models that are short next.  False: no engine can take it.
 */
static bool
shift(struct ch_round *round, const struct ch_tally *tally)
{
    const struct ch_arrange_model *model = tally->model;
    double asked = ch_round_pressure(model, tally->replicas);
    struct pick best = {NULL, 0, 0};
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        struct ch_eviction eviction;
        if (!can_take(round, engine, model) || engine->pledged != 0 ||
            (round->state->without.whole_fleet && !engine->mine) ||
            !ch_round_find_room(round, engine, model->memory_mb,
                                asked / CH_CLEAR_GAIN, &eviction)) {
            continue;
        }
        double cost = load_cost(round, engine, model->name, SHIFT_FROM_STORE) +
                      eviction.cost + eviction.count * DRAINS +
                      ch_round_busy(round, engine, eviction.first) +
                      blocks_adapters(round, engine);
        consider(&best, engine, eviction.first, cost);
    }
    if (best.engine != NULL) {
        order(round, best.engine, best.victim, model->name,
              best.victim == 0 ? "there is room"
                               : "another model is asked for more");
    }
    return best.engine != NULL;
}

/* ---- room that is being made ---- */

/*
 * Load: room for one model needs more than one other to go.  Harm prevented:
 * what went first went in vain.  The next one goes as long as the model is
 * asked for that much more than what goes.
 */
static void
make_more_room(struct ch_round *round, const struct ch_arrange_engine *engine,
               const struct ch_tally *tally)
{
    const struct ch_arrange_model *model = tally->model;
    double most =
        tally->replicas < 2
            ? G_MAXDOUBLE
            : ch_round_pressure(model, tally->replicas - 1) / CH_CLEAR_GAIN;
    struct ch_eviction eviction;
    if (ch_round_find_room(round, engine, model->memory_mb, most, &eviction) &&
        eviction.first != 0) {
        order(round, engine, eviction.first, model->name,
              "room is being made");
    }
}

/* ---- last replicas that take all room ---- */

/* The engine here with the least memory for what is asked for, of those that
 * have too little for the largest model; NULL: none. */
static const struct ch_arrange_engine *
most_filled(const struct ch_round *round)
{
    const struct ch_arrange_engine *worst = NULL;
    uint32_t least = round->largest_mb;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        uint32_t flexible = ch_round_flexible(round, engine);
        if (engine->mine && !engine->leaving && flexible < least &&
            engine->memory_mb > engine->reserve_mb + round->largest_mb) {
            worst = engine;
            least = flexible;
        }
    }
    return worst;
}

/* Looks for an engine that can take the model and still has room for the
 * largest one beside it. */
static void
consider_moving(const struct ch_round *round,
                const struct ch_arrange_model *model, struct pick *best)
{
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        struct ch_eviction eviction;
        bool from_store = !ch_round_has_copy(engine, model->name);
        if (!engine->mine || !can_take(round, engine, model) ||
            engine->pledged != 0 ||
            (from_store && round->loads_left <= LOADS_KEPT) ||
            ch_round_flexible(round, engine) <
                model->memory_mb + round->largest_mb ||
            !ch_round_find_room(round, engine, model->memory_mb, idle_replica,
                                &eviction)) {
            continue;
        }
        double cost = load_cost(round, engine, model->name, SHIFT_FROM_STORE) +
                      eviction.cost + eviction.count * DRAINS +
                      ch_round_busy(round, engine, eviction.first) +
                      blocks_adapters(round, engine);
        consider(best, engine, eviction.first, cost);
    }
}

/*
 * Load: demand for a few models, while the last replicas of others stand two
 * and two on some engines.  Harm prevented: nothing that is asked for can come
 * there, and those engines stand idle beside a queue.  One of the idle models
 * there is loaded on an engine that keeps room beside it, one at a time; then
 * its first replica may go like any other.
 */
static void
even_out(struct ch_round *round)
{
    const struct ch_arrange_engine *filled = most_filled(round);
    struct pick best = {NULL, 0, 0};
    GQuark model = 0;
    for (size_t i = 0; filled != NULL && i < filled->item_count; i++) {
        const struct ch_arrange_item *item = &filled->items[i];
        const struct ch_tally *tally = ch_round_tally(round, item->model);
        if (item->state != CH_ITEM_RESIDENT || tally == NULL ||
            tally->replicas != 1 ||
            ch_round_pressure(tally->model, 1) > idle_replica) {
            continue;
        }
        const struct ch_arrange_engine *before = best.engine;
        double cost = best.cost;
        consider_moving(round, tally->model, &best);
        if (best.engine != before || best.cost != cost) {
            model = item->model;
        }
    }
    if (best.engine != NULL) {
        order(round, best.engine, best.victim, model,
              "its engine is to have room for others");
    }
}

/* ---- free room ---- */

/* How much a further replica of the model on this engine is wanted. */
static double
want(const struct ch_arrange_engine *engine, const struct ch_tally *tally)
{
    const struct ch_arrange_model *model = tally->model;
    double want = ch_round_pressure(model, tally->replicas) / CH_BUSY_REPLICA +
                  1.0 / (tally->replicas + 1);
    /* Apart from that in another order on each engine, so that idle models
     * spread. */
    uint64_t tie = ch_hash_pair(model->name, engine->name);
    return want + 0.1 * (double)(tie % 1024) / 1024;
}

/*
 * Load: none yet, or engines with room to spare.  Harm prevented: demand that
 * moves to a model which a single engine holds, while memory stands empty.
 * What is free takes what is near by, most of all what few engines hold; the
 * weight store's rate is left for what is asked for.
 */
static void
fill(struct ch_round *round, const struct ch_arrange_engine *engine)
{
    GQuark best = 0;
    double best_want = 0;
    uint32_t room = ch_round_free(round, engine);
    for (size_t i = 0; i < round->state->model_count; i++) {
        const struct ch_tally *tally = &round->tallies[i];
        const struct ch_arrange_model *model = tally->model;
        if (model->memory_mb > room ||
            !ch_round_has_copy(engine, model->name) ||
            !can_take(round, engine, model)) {
            continue;
        }
        double wanted = want(engine, tally);
        if (best == 0 || wanted > best_want) {
            best = model->name;
            best_want = wanted;
        }
    }
    if (best != 0) {
        order(round, engine, 0, best, "there is room and a copy");
    }
}

/* Brings what room was made for, or goes on making it. */
static void
keep_pledge(struct ch_round *round, const struct ch_arrange_engine *engine)
{
    const struct ch_tally *tally = ch_round_tally(round, engine->pledged);
    if (tally == NULL || !can_take(round, engine, tally->model)) {
        return;
    }
    if (tally->model->memory_mb <= ch_round_free(round, engine)) {
        order(round, engine, 0, engine->pledged, "room was made for it");
    }
    else {
        make_more_room(round, engine, tally);
    }
}

/* Does one thing for each engine here that takes a change. */
static void
each_open(struct ch_round *round,
          void (*job)(struct ch_round *round,
                      const struct ch_arrange_engine *engine),
          bool pledged)
{
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        if (engine->mine && ch_round_is_open(engine) &&
            !ch_round_is_ordered(round, engine) &&
            (engine->pledged != 0) == pledged) {
            job(round, engine);
        }
    }
}

/* ---- the whole ---- */

/* The busy model with the most requests for each replica; NULL: none.
 * settled: those for which nothing more can be done. */
static const struct ch_tally *
next_busy(const struct ch_round *round, GHashTable *settled)
{
    const struct ch_tally *best = NULL;
    double most = CH_BUSY_REPLICA;
    for (size_t i = 0; i < round->state->model_count; i++) {
        const struct ch_tally *tally = &round->tallies[i];
        double asked = ch_round_pressure(tally->model, tally->replicas);
        if (asked > most && !g_hash_table_contains(settled, tally)) {
            best = tally;
            most = asked;
        }
    }
    return best;
}

/*
 * Brings what is asked for, what presses most first.  Load: a hundred models
 * that are short at once, on two thousand engines.  Harm prevented: a round
 * that takes a small host's processor for a second, while what it decides upon
 * changes; what is left over is looked at in the next round.
 */
static void
meet_demand(struct ch_round *round)
{
    GHashTable *settled = g_hash_table_new(NULL, NULL);
    for (int i = 0;
         i < MOST_LOOKS && round->changing < round->state->most_changes; i++) {
        const struct ch_tally *tally = next_busy(round, settled);
        if (tally == NULL) {
            break;
        }
        if (!shift(round, tally)) {
            g_hash_table_add(settled, (gpointer)tally);
        }
    }
    g_hash_table_destroy(settled);
}

/* See arrange.h.  What is out of reach goes first, then what was begun, then
 * what is asked for most, then what will be. */
void
ch_arrange(const struct ch_arrange_state *state, GArray *out)
{
    struct ch_round round;
    ch_round_init(&round, state, out);
    for (size_t i = 0; i < state->model_count; i++) {
        if (round.tallies[i].replicas == 0 &&
            is_chosen_centre(&round, &state->models[i])) {
            restore(&round, &state->models[i]);
        }
    }
    each_open(&round, keep_pledge, true);
    meet_demand(&round);
    if (!state->without.near_copies) {
        each_open(&round, fill, false);
    }
    if (!state->without.move_apart && round.changing < state->most_changes) {
        even_out(&round);
    }
    ch_round_clear(&round);
}
