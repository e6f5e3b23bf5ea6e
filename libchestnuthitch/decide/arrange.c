/* Which models come and go on the engines of one data centre. */

#include "decide/arrange.h"

/* Part of an engine's time, for reading prompts and for the slots of its
 * batch, from which on another replica is worth a load: beyond some eight
 * tenths first tokens wait for one another, and a load takes seconds in which
 * demand grows. */
static const double busy_replica = 0.5;
/* A model must be asked for this many times as much as the one that goes. */
static const double clear_gain = 2;
/* What waits is to be done within this many seconds. */
static const double backlog_s = 2;

/* What makes one engine worse than another for a model, in engines' time that
 * is asked of it: a load of eight seconds in place of one or two, a model that
 * has to go.  To bring back what nobody holds, time is all. */
static const double FROM_STORE = 20;
static const double DISPLACES = 10;
static const double SHIFT_FROM_STORE = 0.5;
static const double BLOCKS_ADAPTERS = 0.5;
static const double DRAINS = 0.25;

/* What is decided upon: the state, and what was ordered in this round. */
struct round {
    const struct ch_arrange_state *state;
    uint32_t loads_left;
    uint32_t changing;
    GArray *out;
};

/* ---- looking ---- */

/* An engine's item, or NULL. */
static const struct ch_arrange_item *
find_item(const struct ch_arrange_engine *engine, GQuark model)
{
    for (size_t i = 0; i < engine->item_count; i++) {
        if (engine->items[i].model == model) {
            return &engine->items[i];
        }
    }
    return NULL;
}

/* Whether the engine has a copy of the model near by. */
static bool
has_copy(const struct ch_arrange_engine *engine, GQuark model)
{
    for (size_t i = 0; i < engine->copy_count; i++) {
        if (engine->copies[i] == model) {
            return true;
        }
    }
    return false;
}

/* Whether the engine's service may hold the model. */
static bool
may_hold(const struct ch_arrange_engine *engine,
         const struct ch_arrange_model *model)
{
    for (size_t i = 0; i < model->service_count; i++) {
        if (model->services[i] == engine->service) {
            return true;
        }
    }
    return false;
}

/* The model of that name, or NULL: the configuration has dropped it. */
static const struct ch_arrange_model *
find_model(const struct round *round, GQuark name)
{
    for (size_t i = 0; i < round->state->model_count; i++) {
        if (round->state->models[i].name == name) {
            return &round->state->models[i];
        }
    }
    return NULL;
}

/* Engines that hold the model, are loading it or make room for it, and stay.
 */
static unsigned
replicas_of(const struct round *round, GQuark model)
{
    unsigned count = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        const struct ch_arrange_item *item = find_item(engine, model);
        bool holds = item != NULL && item->state != CH_ITEM_UNLOADING;
        if (!engine->leaving && (holds || engine->pledged == model)) {
            count++;
        }
    }
    return count;
}

/* What is asked of each replica, if there were `replicas`. */
static double
pressure(const struct ch_arrange_model *model, unsigned replicas)
{
    return (model->work + model->backlog / backlog_s) / MAX(replicas, 1);
}

/* What is asked of an engine for all its models but one (0: for all). */
static double
busy_of(const struct round *round, const struct ch_arrange_engine *engine,
        GQuark but)
{
    double busy = 0;
    for (size_t i = 0; i < engine->item_count; i++) {
        GQuark name = engine->items[i].model;
        const struct ch_arrange_model *model = find_model(round, name);
        if (model != NULL && name != but) {
            busy += pressure(model, replicas_of(round, name));
        }
    }
    return busy;
}

/* Memory that is not taken, nor kept for adapters. */
static uint32_t
free_of(const struct round *round, const struct ch_arrange_engine *engine)
{
    uint64_t used = engine->reserve_mb;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_arrange_model *model =
            find_model(round, engine->items[i].model);
        used += model == NULL ? 0 : model->memory_mb;
    }
    return used < engine->memory_mb ? engine->memory_mb - (uint32_t)used : 0;
}

/* Whether this engine is to be changed now. */
static bool
is_open(const struct ch_arrange_engine *engine)
{
    return engine->mine && engine->open && !engine->leaving;
}

/* ---- ordering ---- */

/* Appends an order: to load a model, or first to unload a victim for it.  The
 * load from the weight store is counted with the first of the two, so that the
 * room is not made in vain. */
static void
order(struct round *round, const struct ch_arrange_engine *engine,
      GQuark victim, GQuark model, const char *reason)
{
    const struct ch_arrange_action action = {
        .kind = victim == 0 ? CH_ACTION_LOAD : CH_ACTION_UNLOAD,
        .engine = engine->name,
        .model = victim == 0 ? model : victim,
        .pledged = victim == 0 ? 0 : model,
        .from_store = engine->pledged != model && !has_copy(engine, model),
        .reason = reason,
    };
    if (action.from_store) {
        round->loads_left--;
    }
    round->changing++;
    g_array_append_val(round->out, action);
}

/* Whether the engine was given an order in this round. */
static bool
is_ordered(const struct round *round, const struct ch_arrange_engine *engine)
{
    for (guint i = 0; i < round->out->len; i++) {
        if (g_array_index(round->out, struct ch_arrange_action, i).engine ==
            engine->name) {
            return true;
        }
    }
    return false;
}

/* Whether a load there may begin now: one from the weight store counts. */
static bool
may_load(const struct round *round, const struct ch_arrange_engine *engine,
         GQuark model)
{
    return engine->pledged == model || has_copy(engine, model) ||
           round->loads_left > 0;
}

/* Whether room was made on the engine for another model. */
static bool
is_pledged_to_other(const struct ch_arrange_engine *engine, GQuark model)
{
    return engine->pledged != 0 && engine->pledged != model;
}

/* Replicas of a model in this data centre that stay. */
static unsigned
own_replicas(const struct round *round, GQuark model)
{
    unsigned count = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        const struct ch_arrange_item *item = find_item(engine, model);
        if (engine->mine && !engine->leaving && item != NULL &&
            item->state == CH_ITEM_RESIDENT) {
            count++;
        }
    }
    return count;
}

/*
 * Whether this data centre keeps the last replica of a model, of all that have
 * one: the same answer everywhere, by rendezvous.  Else two data centres that
 * each see the other's replica give up both at once, and nobody holds the
 * model.
 */
static bool
keeps_last(const struct round *round, GQuark model)
{
    GQuark best = 0;
    uint64_t best_weight = 0;
    uint64_t key = ch_hash_string(g_quark_to_string(model));
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        const struct ch_arrange_item *item = find_item(engine, model);
        uint64_t weight = ch_hash_pair(
            key, ch_hash_string(g_quark_to_string(engine->data_centre)));
        if (!engine->leaving && item != NULL &&
            item->state == CH_ITEM_RESIDENT &&
            (best == 0 || weight > best_weight)) {
            best = engine->data_centre;
            best_weight = weight;
        }
    }
    return best == round->state->data_centre;
}

/* Whether one replica of the model on an engine here may go. */
static bool
may_go(const struct round *round, GQuark model)
{
    return replicas_of(round, model) >= 2 &&
           (own_replicas(round, model) >= 2 || !keeps_last(round, model));
}

/* What an engine's change costs those who need adapters meanwhile: it is the
 * only one with a model that has some. */
static double
blocks_adapters(const struct round *round,
                const struct ch_arrange_engine *engine)
{
    double cost = 0;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_arrange_model *model =
            find_model(round, engine->items[i].model);
        if (model != NULL && model->adapters &&
            replicas_of(round, model->name) < 2) {
            cost += BLOCKS_ADAPTERS;
        }
    }
    return cost;
}

/* ---- room ---- */

/* What goes from an engine, one after the other, so that a model fits. */
struct eviction {
    GQuark first; /* to be ordered now; 0: it fits as it is */
    unsigned count;
    double left; /* what is asked of the replicas that stay, at most */
};

/* A model that may go from an engine. */
struct candidate {
    GQuark model;
    uint32_t memory_mb;
    double left; /* what is asked of each replica that stays */
};

/* Orders candidates: what is missed least first. */
static gint
by_left(gconstpointer a, gconstpointer b)
{
    double first = ((const struct candidate *)a)->left;
    double second = ((const struct candidate *)b)->left;
    return (first > second) - (first < second);
}

/* The models that may go from the engine, those that are missed least first.
 * most: what may be asked for at the replicas that stay. */
static GArray *
candidates_on(const struct round *round,
              const struct ch_arrange_engine *engine, double most)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_arrange_item *item = &engine->items[i];
        const struct ch_arrange_model *model = find_model(round, item->model);
        if (item->state != CH_ITEM_RESIDENT || model == NULL ||
            !may_go(round, item->model)) {
            continue;
        }
        const struct candidate candidate = {
            .model = item->model,
            .memory_mb = model->memory_mb,
            .left = pressure(model, replicas_of(round, item->model) - 1),
        };
        if (candidate.left <= most) {
            g_array_append_val(out, candidate);
        }
    }
    g_array_sort(out, by_left);
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

/*
 * What has to go from the engine so that `memory_mb` are free; false: what may
 * go is not enough.  Load: a large model is asked for, and only small ones can
 * go.  Harm prevented: each of them alone makes too little room, and the
 * engine stands idle beside the large model's queue.
 */
static bool
find_room(const struct round *round, const struct ch_arrange_engine *engine,
          uint32_t memory_mb, double most, struct eviction *out)
{
    *out = (struct eviction){.first = 0};
    uint64_t room = free_of(round, engine);
    if (room >= memory_mb) {
        return true;
    }
    GArray *chosen = candidates_on(round, engine, most);
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
    }
    g_array_free(chosen, TRUE);
    return enough;
}

/* ---- reachability ---- */

/* Whether this data centre is the one that brings back a model which nobody
 * holds: the same for every node, by rendezvous among those with engines. */
static bool
is_chosen_centre(const struct round *round,
                 const struct ch_arrange_model *model)
{
    GQuark best = 0;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        uint64_t weight = ch_hash_pair(
            ch_hash_string(g_quark_to_string(model->name)),
            ch_hash_string(g_quark_to_string(engine->data_centre)));
        if (!engine->leaving && may_hold(engine, model) &&
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
restore(struct round *round, const struct ch_arrange_model *model)
{
    const struct ch_arrange_engine *best = NULL;
    GQuark best_victim = 0;
    double best_cost = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        if (!is_open(engine) || is_ordered(round, engine) ||
            !may_hold(engine, model) ||
            is_pledged_to_other(engine, model->name) ||
            !may_load(round, engine, model->name)) {
            continue;
        }
        struct eviction eviction;
        if (!find_room(round, engine, model->memory_mb, G_MAXDOUBLE,
                       &eviction)) {
            continue;
        }
        double cost = (has_copy(engine, model->name) ? 0 : FROM_STORE) +
                      eviction.count * DISPLACES + eviction.left +
                      busy_of(round, engine, eviction.first) +
                      blocks_adapters(round, engine);
        if (best == NULL || cost < best_cost) {
            best = engine;
            best_victim = eviction.first;
            best_cost = cost;
        }
    }
    if (best != NULL) {
        order(round, best, best_victim, model->name, "nobody holds the model");
    }
}

/* ---- demand ---- */

/*
 * Load: demand that moves to another model within seconds.  Harm prevented: it
 * queues at the few engines that hold the model while others stand idle.  A
 * replica that is missed much less gives way on one engine at a time, a copy
 * near by going first, since it loads in a second or two where the weight
 * store needs eight.  A copy on an engine elsewhere is not waited for: that
 * engine may have nothing that can go, and the demand grew for four seconds
 * while nobody loaded the model.  Never the last replica of anything.
 */
static void
shift(struct round *round, const struct ch_arrange_model *model)
{
    double asked = pressure(model, replicas_of(round, model->name));
    const struct ch_arrange_engine *best = NULL;
    GQuark best_victim = 0;
    double best_cost = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &round->state->engines[i];
        if (!is_open(engine) || is_ordered(round, engine) ||
            !may_hold(engine, model) || engine->pledged != 0 ||
            find_item(engine, model->name) != NULL ||
            !may_load(round, engine, model->name)) {
            continue;
        }
        struct eviction eviction;
        if (!find_room(round, engine, model->memory_mb, asked / clear_gain,
                       &eviction)) {
            continue;
        }
        double cost = (has_copy(engine, model->name) ? 0 : SHIFT_FROM_STORE) +
                      eviction.left + eviction.count * DRAINS +
                      busy_of(round, engine, eviction.first) +
                      blocks_adapters(round, engine);
        if (best == NULL || cost < best_cost) {
            best = engine;
            best_victim = eviction.first;
            best_cost = cost;
        }
    }
    if (best != NULL) {
        order(round, best, best_victim, model->name,
              "another model is asked for more");
    }
}

/* ---- room that is being made ---- */

/*
 * Load: room for one model needs more than one other to go.  Harm prevented:
 * what went first went in vain.  The next one goes as long as the model is
 * asked for that much more than what goes.
 */
static void
make_more_room(struct round *round, const struct ch_arrange_engine *engine)
{
    const struct ch_arrange_model *model = find_model(round, engine->pledged);
    if (model == NULL) {
        return;
    }
    unsigned others = replicas_of(round, model->name) - 1;
    double most =
        others == 0 ? G_MAXDOUBLE : pressure(model, others) / clear_gain;
    struct eviction eviction;
    if (find_room(round, engine, model->memory_mb, most, &eviction) &&
        eviction.first != 0) {
        order(round, engine, eviction.first, model->name,
              "room is being made");
    }
}

/* ---- free room ---- */

/* How much a further replica of the model on this engine is wanted. */
static double
want(const struct round *round, const struct ch_arrange_engine *engine,
     const struct ch_arrange_model *model)
{
    unsigned replicas = replicas_of(round, model->name);
    double want =
        pressure(model, replicas) / busy_replica + 1.0 / (replicas + 1);
    if (has_copy(engine, model->name)) {
        want += 0.2;
    }
    /* Apart from that in another order on each engine, so that idle models
     * spread. */
    uint64_t tie = ch_hash_pair(model->name, engine->name);
    return want + 0.1 * (double)(tie % 1024) / 1024;
}

/*
 * Load: none yet, or engines with room to spare.  Harm prevented: demand that
 * moves to a model which a single engine holds, while memory stands empty.
 * What is free is filled with the model that is asked for most, else with one
 * that few engines hold; from the weight store only what is asked for, since
 * its rate is needed when a model is lost.
 */
static void
fill(struct round *round, const struct ch_arrange_engine *engine)
{
    const struct ch_arrange_model *best = NULL;
    double best_want = 0;
    uint32_t room = free_of(round, engine);
    for (size_t i = 0; i < round->state->model_count; i++) {
        const struct ch_arrange_model *model = &round->state->models[i];
        bool busy =
            pressure(model, replicas_of(round, model->name)) > busy_replica;
        bool quick =
            has_copy(engine, model->name) || engine->pledged == model->name;
        if (model->memory_mb > room || !may_hold(engine, model) ||
            find_item(engine, model->name) != NULL ||
            is_pledged_to_other(engine, model->name) ||
            !may_load(round, engine, model->name) || (!busy && !quick)) {
            continue;
        }
        double wanted = want(round, engine, model);
        if (best == NULL || wanted > best_want) {
            best = model;
            best_want = wanted;
        }
    }
    if (best != NULL) {
        order(round, engine, 0, best->name,
              engine->pledged != 0 ? "room was made for it" : "there is room");
    }
}

/* ---- the whole ---- */

/* Engines of this data centre that are changing already. */
static uint32_t
count_changing(const struct ch_arrange_state *state)
{
    uint32_t count = 0;
    for (size_t i = 0; i < state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &state->engines[i];
        if (engine->mine && !engine->open && !engine->leaving) {
            count++;
        }
    }
    return count;
}

/* The busy model with the most requests for each replica that was not looked
 * at in this round; NULL: none. */
static const struct ch_arrange_model *
next_busy(const struct round *round, double below)
{
    const struct ch_arrange_model *best = NULL;
    double best_pressure = busy_replica;
    for (size_t i = 0; i < round->state->model_count; i++) {
        const struct ch_arrange_model *model = &round->state->models[i];
        double asked = pressure(model, replicas_of(round, model->name));
        if (asked > best_pressure && asked < below) {
            best = model;
            best_pressure = asked;
        }
    }
    return best;
}

/* See arrange.h.  What is out of reach goes first, then room that is free,
 * then what is asked for most. */
void
ch_arrange(const struct ch_arrange_state *state, GArray *out)
{
    struct round round = {
        .state = state,
        .loads_left = state->loads_left,
        .changing = count_changing(state),
        .out = out,
    };
    for (size_t i = 0; i < state->model_count; i++) {
        const struct ch_arrange_model *model = &state->models[i];
        if (replicas_of(&round, model->name) == 0 &&
            is_chosen_centre(&round, model)) {
            restore(&round, model);
        }
    }
    for (size_t i = 0; i < state->engine_count; i++) {
        const struct ch_arrange_engine *engine = &state->engines[i];
        if (!is_open(engine) || is_ordered(&round, engine)) {
            continue;
        }
        fill(&round, engine);
        if (engine->pledged != 0 && !is_ordered(&round, engine)) {
            make_more_room(&round, engine);
        }
    }
    double below = G_MAXDOUBLE;
    while (round.changing < state->most_changes) {
        const struct ch_arrange_model *model = next_busy(&round, below);
        if (model == NULL) {
            break;
        }
        below = pressure(model, replicas_of(&round, model->name));
        shift(&round, model);
    }
}
