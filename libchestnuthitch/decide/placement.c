/* Decides which models are loaded and unloaded on the engines of a data
 * centre. */

#include "decide/placement_internal.h"

/*
 * Costs that rank engines for a model.  The engine with the lowest sum of
 * these costs and of the load of its other models is chosen.  The unit is an
 * engine's time: 1 is all the time of one engine.  For a model that no engine
 * holds, time counts more: the time of its load, and the time until the
 * requests of evicted models have ended.
 */

/* Restoring a model: a load from the weight store, which takes some seconds
 * where a local copy takes one or less. */
static const double RESTORE_STORE_COST = 4;
/* Restoring a model: each eviction, and a factor for the load that the
 * eviction leaves to other replicas. */
static const double RESTORE_EVICTION_COST = 2;
static const double RESTORE_EVICTED_LOAD_COST = 6;
/* Otherwise: a load from the weight store. */
static const double STORE_LOAD_COST = 1;
/* The sole engine of a model with adapters, which can't load adapters during
 * the change. */
static const double BLOCKED_ADAPTERS_COST = 0.5;
/* Otherwise: each eviction, since the evicted model's requests end first. */
static const double EVICTION_COST = 0.25;
/* Restoring a model: an engine on which no large model fits afterwards. */
static const double RESTORE_FILLED_ENGINE_COST = 2;
/* A replica with more load than this is in use and isn't moved to free memory
 * elsewhere. */
static const double MAX_IDLE_LOAD = 0.25;

/* A model with less demand has hardly a stream that could be cut. */
static const double MIN_PAIRED_DEMAND = 0.1;

/* A replica from the weight store is added for a higher load the longer it
 * takes: more by this for each second beyond those that a local copy takes,
 * but always when the replicas that exist are fully busy. */
static const double STORE_LOAD_PER_SECOND = 0.075;
static const double LOCAL_LOAD_SECONDS = 2;
static const double MAX_STORE_LOAD = 1;

enum {
    /* Loads from the weight store that are kept for models in demand when a
     * model is moved to free memory. */
    RESERVED_STORE_LOADS = 1,
    /* Limit on searches for an engine in one round. */
    MAX_ENGINE_SEARCHES = 64,
};

/* ---- orders ---- */

/*
 * Appends an order: to load a model, or to unload a victim first.  A load from
 * the weight store is counted with the first of the two orders, so that the
 * memory isn't freed in vain.  A decision for an engine of another data centre
 * is only counted: that data centre's own lease holder makes the same
 * decision.
 */
static void
add_order(struct ch_placement_round *round,
          const struct ch_placement_engine *engine, GQuark victim,
          GQuark model, const char *reason)
{
    ch_placement_count_order(round, engine, victim, model);
    if (!engine->controlled) {
        return;
    }
    bool reserves = victim != 0 && !round->state->disabled.reservations;
    const struct ch_placement_action action = {
        .kind = victim == 0 ? CH_ACTION_LOAD : CH_ACTION_UNLOAD,
        .engine = engine->name,
        .model = victim == 0 ? model : victim,
        .reserved_for = reserves ? model : 0,
        .from_store = (victim == 0 || reserves) &&
                      engine->reserved_for != model &&
                      !ch_placement_has_local_copy(engine, model),
        .reason = reason,
    };
    if (action.from_store) {
        round->store_loads_left--;
    }
    round->changing_engines++;
    g_array_append_val(round->actions, action);
}

/* Whether memory of the engine is reserved for another model. */
static bool
is_reserved_for_other(const struct ch_placement_engine *engine, GQuark model)
{
    return engine->reserved_for != 0 && engine->reserved_for != model;
}

/* The cost of a change on the engine for requests that need adapters
 * meanwhile: it applies to models with adapters that only this engine
 * holds. */
static double
adapter_blocking_cost(const struct ch_placement_round *round,
                      const struct ch_placement_engine *engine)
{
    double cost = 0;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_replica_count *count =
            ch_placement_find_count(round, engine->items[i].model);
        if (count != NULL && count->model->has_adapters &&
            count->replicas < 2) {
            cost += BLOCKED_ADAPTERS_COST;
        }
    }
    return cost;
}

/* The cost of loading the model on the engine: store_cost without a local
 * copy, else 0. */
static double
compute_load_cost(const struct ch_placement_round *round,
                  const struct ch_placement_engine *engine, GQuark model,
                  double store_cost)
{
    bool is_local = round->state->disabled.local_copies_first ||
                    ch_placement_has_local_copy(engine, model);
    return is_local ? 0 : store_cost;
}

/*
 * Whether demand of this height is worth a load of the model on the engine.
 * Load: demand moves to another model within seconds and moves on as soon, and
 * a load from the weight store takes longer than that. Harm prevented: another
 * model is evicted for a replica that comes when the demand has gone.
 */
static bool
is_load_worth(const struct ch_placement_engine *engine,
              const struct ch_placement_model *model, double load_per_replica)
{
    double seconds = (double)model->load_time / G_USEC_PER_SEC;
    double min_load = CH_SCALE_UP_LOAD + MAX(seconds - LOCAL_LOAD_SECONDS, 0) *
                                             STORE_LOAD_PER_SECOND;
    return load_per_replica >= MIN(min_load, MAX_STORE_LOAD) ||
           ch_placement_has_local_copy(engine, model->name);
}

/* The best engine found so far for a model. */
struct candidate_engine {
    const struct ch_placement_engine *engine; /* NULL: none */
    GQuark victim;
    double cost;
};

static void
keep_cheaper(struct candidate_engine *best,
             const struct ch_placement_engine *engine, GQuark victim,
             double cost)
{
    if (best->engine == NULL || cost < best->cost) {
        *best = (struct candidate_engine){engine, victim, cost};
    }
}

/* Whether the engine may get an order to load the model now. */
static bool
can_take_load(const struct ch_placement_round *round,
              const struct ch_placement_engine *engine,
              const struct ch_placement_model *model)
{
    return ch_placement_accepts_order(engine) &&
           !ch_placement_has_order(round, engine) &&
           ch_placement_is_eligible(engine, model) &&
           ch_placement_find_item(engine, model->name) == NULL &&
           ch_placement_may_start_load(round, engine, model->name);
}

/* Keeps the engine if a further replica there, after the evictions that it
 * takes, is cheaper than at the best one so far. max_load: highest load per
 * replica that an eviction may leave. */
static void
consider_engine(const struct ch_placement_round *round,
                const struct ch_placement_engine *engine,
                const struct ch_placement_model *model, double max_load,
                struct candidate_engine *best)
{
    struct ch_eviction eviction;
    if (!ch_placement_find_evictions(round, engine, model->memory_mb, max_load,
                                     &eviction)) {
        return;
    }
    double cost =
        compute_load_cost(round, engine, model->name, STORE_LOAD_COST) +
        eviction.cost + eviction.victim_count * EVICTION_COST +
        ch_placement_engine_load(round, engine, eviction.first_victim) +
        adapter_blocking_cost(round, engine);
    keep_cheaper(best, engine, eviction.first_victim, cost);
}

/* ---- restoring models without replicas ---- */

/* Whether this data centre is the one that restores a model which no engine
 * holds.  It is chosen by rendezvous hashing among the data centres with
 * eligible engines, so that every node finds the same. */
static bool
restores_model(const struct ch_placement_round *round,
               const struct ch_placement_model *model)
{
    GQuark best = 0;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        uint64_t weight = ch_hash_pair(
            ch_hash_string(g_quark_to_string(model->name)),
            ch_hash_string(g_quark_to_string(engine->data_centre)));
        if (!engine->draining && ch_placement_is_eligible(engine, model) &&
            (best == 0 || weight > best_weight)) {
            best = engine->data_centre;
            best_weight = weight;
        }
    }
    return best == round->state->data_centre;
}

/*
 * For a model whose last engine has crashed or is draining.  Otherwise the
 * model would be unreachable until a request asks for it, and then for the
 * time of its load.  So it is restored at once, in free memory or else in
 * place of a model that other engines hold too.  A local copy counts more than
 * an idle engine.
 */
static void
restore_model(struct ch_placement_round *round,
              const struct ch_placement_model *model)
{
    struct candidate_engine best = {NULL, 0, 0};
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        struct ch_eviction eviction;
        if (!engine->controlled || !can_take_load(round, engine, model) ||
            is_reserved_for_other(engine, model->name) ||
            !ch_placement_find_evictions(round, engine, model->memory_mb,
                                         G_MAXDOUBLE, &eviction)) {
            continue;
        }
        bool fills_engine = ch_placement_reclaimable_mb(round, engine) <
                            model->memory_mb + round->largest_model_mb;
        double cost =
            compute_load_cost(round, engine, model->name, RESTORE_STORE_COST) +
            eviction.victim_count * RESTORE_EVICTION_COST +
            eviction.cost * RESTORE_EVICTED_LOAD_COST +
            (fills_engine ? RESTORE_FILLED_ENGINE_COST : 0) +
            ch_placement_engine_load(round, engine, eviction.first_victim) +
            adapter_blocking_cost(round, engine);
        keep_cheaper(&best, engine, eviction.first_victim, cost);
    }
    if (best.engine != NULL) {
        add_order(round, best.engine, best.victim, model->name,
                  "no engine holds the model");
    }
}

/* ---- demand ---- */

/*
 * For demand that moves to another model within seconds.  Otherwise requests
 * would queue at the few engines that hold the model while others are idle.
 * The model is loaded into free memory, or replaces a replica with much less
 * load, but never a model's last replica.  Engines with a local copy are
 * preferred, since a load takes them a second or less, and several seconds
 * from the weight store.
 *
 * The engine is searched for in the whole fleet, and each lease holder orders
 * only its own engines.  Otherwise the lease holders of three data centres
 * would each add the missing replica, three times as many as needed, at the
 * expense of models that are short of replicas next.  Returns false if no
 * engine can take the model.
 */
static bool
add_replica(struct ch_placement_round *round,
            const struct ch_replica_count *count)
{
    const struct ch_placement_model *model = count->model;
    double load_per_replica =
        ch_placement_load_per_replica(model, count->replicas);
    struct candidate_engine best = {NULL, 0, 0};
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        if (!can_take_load(round, engine, model) ||
            engine->reserved_for != 0 ||
            !is_load_worth(engine, model, load_per_replica) ||
            (round->state->disabled.fleet_wide_search &&
             !engine->controlled)) {
            continue;
        }
        consider_engine(round, engine, model,
                        load_per_replica / CH_MIN_EVICTION_GAIN, &best);
    }
    if (best.engine != NULL) {
        add_order(round, best.engine, best.victim, model->name,
                  best.victim == 0
                      ? "there is free memory for the model"
                      : "replaces a model that is asked for less");
    }
    return best.engine != NULL;
}

/* ---- versions of the engines' software ---- */

/* Whether engines that may hold the model run several versions. */
static bool
has_several_versions(const struct ch_placement_round *round,
                     const struct ch_placement_model *model)
{
    uint64_t first = CH_VERSION_NOT_KNOWN;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        if (engine->draining || engine->version_id == CH_VERSION_NOT_KNOWN ||
            !ch_placement_is_eligible(engine, model)) {
            continue;
        }
        if (first != CH_VERSION_NOT_KNOWN && engine->version_id != first) {
            return true;
        }
        first = engine->version_id;
    }
    return false;
}

/* The replicas of a model on engines of one version. */
static unsigned
count_at_version(const struct ch_placement_round *round,
                 const struct ch_placement_model *model, uint64_t version_id)
{
    unsigned count = 0;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        const struct ch_placement_item *item =
            ch_placement_find_item(engine, model->name);
        bool held = item != NULL && item->state != CH_ITEM_UNLOADING;
        count += !engine->draining && engine->version_id == version_id &&
                 (held || engine->reserved_for == model->name);
    }
    return count;
}

/* Looks for an engine of the version that takes a second replica. */
static void
find_second_engine(const struct ch_placement_round *round,
                   const struct ch_placement_model *model, uint64_t version_id,
                   struct candidate_engine *best)
{
    double load = ch_placement_load_per_replica(
        model, ch_placement_count_replicas(round, model->name));
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        if (engine->version_id == version_id &&
            can_take_load(round, engine, model) && engine->reserved_for == 0) {
            consider_engine(round, engine, model, load / CH_MIN_EVICTION_GAIN,
                            best);
        }
    }
}

/*
 * For engines whose software is replaced bit by bit while streams run. A
 * stream goes on only at the version that began it. If one engine of the
 * version holds the model and is lost, its streams end, as a load takes longer
 * than their callers wait. So a model that is asked for gets a second replica
 * at each version that has one; not for its last replica of another model, nor
 * for one that is asked for as much.
 */
static void
add_second_at_versions(struct ch_placement_round *round,
                       const struct ch_replica_count *count)
{
    const struct ch_placement_model *model = count->model;
    for (size_t i = 0;
         i < round->state->engine_count &&
         round->changing_engines < round->state->max_changing_engines;
         i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        struct candidate_engine best = {NULL, 0, 0};
        if (engine->draining || engine->version_id == CH_VERSION_NOT_KNOWN ||
            ch_placement_find_item(engine, model->name) == NULL ||
            count_at_version(round, model, engine->version_id) != 1) {
            continue;
        }
        find_second_engine(round, model, engine->version_id, &best);
        if (best.engine != NULL) {
            add_order(round, best.engine, best.victim, model->name,
                      "second replica at the version of a running one");
        }
    }
}

/* Adds second replicas for models in demand while several versions run. */
static void
pair_versions(struct ch_placement_round *round)
{
    unsigned searches = 0;
    for (size_t i = 0;
         i < round->state->model_count && searches < MAX_ENGINE_SEARCHES;
         i++) {
        const struct ch_replica_count *count = &round->replica_counts[i];
        if (count->model->demand >= MIN_PAIRED_DEMAND &&
            has_several_versions(round, count->model)) {
            searches++;
            add_second_at_versions(round, count);
        }
    }
}

/* ---- reserved memory ---- */

/*
 * For a model that needs more than one other to be evicted.  Without a further
 * eviction the first was in vain.  The next model is evicted as long as the
 * demand for the new one is CH_MIN_EVICTION_GAIN times as high; if no other
 * engine holds the new one, whatever the demand.
 */
static void
evict_more(struct ch_placement_round *round,
           const struct ch_placement_engine *engine,
           const struct ch_replica_count *count)
{
    const struct ch_placement_model *model = count->model;
    double max_load =
        count->replicas < 2
            ? G_MAXDOUBLE
            : ch_placement_load_per_replica(model, count->replicas - 1) /
                  CH_MIN_EVICTION_GAIN;
    struct ch_eviction eviction;
    if (ch_placement_find_evictions(round, engine, model->memory_mb, max_load,
                                    &eviction) &&
        eviction.first_victim != 0) {
        add_order(round, engine, eviction.first_victim, model->name,
                  "next eviction for the reservation");
    }
}

/* ---- last replicas that use up the memory of engines ---- */

/* The controlled engine with the least reclaimable memory, among those with
 * too little for the largest model; NULL: none. */
static const struct ch_placement_engine *
find_fullest_engine(const struct ch_placement_round *round)
{
    const struct ch_placement_engine *fullest = NULL;
    uint32_t least_mb = round->largest_model_mb;
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        uint32_t reclaimable_mb = ch_placement_reclaimable_mb(round, engine);
        if (engine->controlled && !engine->draining &&
            reclaimable_mb < least_mb &&
            engine->memory_mb >
                engine->adapter_reserve_mb + round->largest_model_mb) {
            fullest = engine;
            least_mb = reclaimable_mb;
        }
    }
    return fullest;
}

/* Looks for an engine that can take the model and still keeps reclaimable
 * memory for the largest model. */
static void
find_move_target(const struct ch_placement_round *round,
                 const struct ch_placement_model *model,
                 struct candidate_engine *best)
{
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        bool from_store = !ch_placement_has_local_copy(engine, model->name);
        if (!engine->controlled || !can_take_load(round, engine, model) ||
            engine->reserved_for != 0 ||
            (from_store && round->store_loads_left <= RESERVED_STORE_LOADS) ||
            ch_placement_reclaimable_mb(round, engine) <
                model->memory_mb + round->largest_model_mb) {
            continue;
        }
        consider_engine(round, engine, model, MAX_IDLE_LOAD, best);
    }
}

/*
 * For demand for a few models while the last replicas of other models fill
 * some engines in pairs.  No model in demand could be loaded on these engines,
 * and they would be idle while requests queue elsewhere.  One of the idle
 * models there is loaded on an engine that keeps enough memory, one model at a
 * time; after that its first replica can be evicted like any other.
 */
static void
move_last_replica(struct ch_placement_round *round)
{
    const struct ch_placement_engine *fullest = find_fullest_engine(round);
    struct candidate_engine best = {NULL, 0, 0};
    GQuark model = 0;
    for (size_t i = 0; fullest != NULL && i < fullest->item_count; i++) {
        const struct ch_placement_item *item = &fullest->items[i];
        const struct ch_replica_count *count =
            ch_placement_find_count(round, item->model);
        if (item->state != CH_ITEM_RESIDENT || count == NULL ||
            count->replicas != 1 ||
            ch_placement_load_per_replica(count->model, 1) > MAX_IDLE_LOAD) {
            continue;
        }
        const struct ch_placement_engine *previous_engine = best.engine;
        double cost = best.cost;
        find_move_target(round, count->model, &best);
        if (best.engine != previous_engine || best.cost != cost) {
            model = item->model;
        }
    }
    if (best.engine != NULL) {
        add_order(round, best.engine, best.victim, model,
                  "moved to free memory on its engine");
    }
}

/* ---- free memory ---- */

/* The benefit of a further replica of the model on this engine. */
static double
compute_benefit(const struct ch_placement_engine *engine,
                const struct ch_replica_count *count)
{
    const struct ch_placement_model *model = count->model;
    double benefit = ch_placement_load_per_replica(model, count->replicas) /
                         CH_SCALE_UP_LOAD +
                     1.0 / (count->replicas + 1);
    /* Breaks ties in a different order on each engine, so that idle models
     * spread. */
    uint64_t tie_breaker = ch_hash_pair(model->name, engine->name);
    return benefit + 0.1 * (double)(tie_breaker % 1024) / 1024;
}

/*
 * For engines with free memory, before there is any demand.  Otherwise demand
 * would move to a model that only one engine holds while memory is unused.
 * Free memory takes models with local copies, those with the fewest replicas
 * first; the loads from the weight store are left for models in demand.
 */
static void
fill_free_memory(struct ch_placement_round *round,
                 const struct ch_placement_engine *engine)
{
    GQuark best = 0;
    double best_benefit = 0;
    uint32_t free_mb = ch_placement_free_mb(round, engine);
    for (size_t i = 0; i < round->state->model_count; i++) {
        const struct ch_replica_count *count = &round->replica_counts[i];
        const struct ch_placement_model *model = count->model;
        if (model->memory_mb > free_mb ||
            !ch_placement_has_local_copy(engine, model->name) ||
            !can_take_load(round, engine, model)) {
            continue;
        }
        double benefit = compute_benefit(engine, count);
        if (best == 0 || benefit > best_benefit) {
            best = model->name;
            best_benefit = benefit;
        }
    }
    if (best != 0) {
        add_order(round, engine, 0, best,
                  "there is free memory and a local copy");
    }
}

/* Loads the model that memory is reserved for, or evicts more for it. */
static void
fulfil_reservation(struct ch_placement_round *round,
                   const struct ch_placement_engine *engine)
{
    const struct ch_replica_count *count =
        ch_placement_find_count(round, engine->reserved_for);
    if (count == NULL || !can_take_load(round, engine, count->model)) {
        return;
    }
    if (count->model->memory_mb <= ch_placement_free_mb(round, engine)) {
        add_order(round, engine, 0, engine->reserved_for,
                  "memory was reserved for the model");
    }
    else {
        evict_more(round, engine, count);
    }
}

/* Calls a function for each controlled engine that accepts an order and has a
 * reservation, or has none. */
static void
for_each_available(struct ch_placement_round *round,
                   void (*action)(struct ch_placement_round *round,
                                  const struct ch_placement_engine *engine),
                   bool reserved)
{
    for (size_t i = 0; i < round->state->engine_count; i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        if (engine->controlled && ch_placement_accepts_order(engine) &&
            !ch_placement_has_order(round, engine) &&
            (engine->reserved_for != 0) == reserved) {
            action(round, engine);
        }
    }
}

/* ---- the whole round ---- */

/* The model with the highest load per replica that is above CH_SCALE_UP_LOAD,
 * not counting those in `finished`, for which nothing more can be done; NULL:
 * none. */
static const struct ch_replica_count *
find_next_in_demand(const struct ch_placement_round *round,
                    GHashTable *finished)
{
    const struct ch_replica_count *best = NULL;
    double max_load = CH_SCALE_UP_LOAD;
    for (size_t i = 0; i < round->state->model_count; i++) {
        const struct ch_replica_count *count = &round->replica_counts[i];
        double load_per_replica =
            ch_placement_load_per_replica(count->model, count->replicas);
        if (load_per_replica > max_load &&
            !g_hash_table_contains(finished, count)) {
            best = count;
            max_load = load_per_replica;
        }
    }
    return best;
}

/*
 * Adds replicas of models in demand, those with the highest load first.  For a
 * hundred models that need replicas at once, on two thousand engines.  Without
 * the limit on searches, a round could take the processor of a small host for
 * a second, while the state that the round is based on changes.  The next
 * round goes on with the rest.
 */
static void
scale_up(struct ch_placement_round *round)
{
    GHashTable *finished = g_hash_table_new(NULL, NULL);
    for (int i = 0;
         i < MAX_ENGINE_SEARCHES &&
         round->changing_engines < round->state->max_changing_engines;
         i++) {
        const struct ch_replica_count *count =
            find_next_in_demand(round, finished);
        if (count == NULL) {
            break;
        }
        if (!add_replica(round, count)) {
            g_hash_table_add(finished, (gpointer)count);
        }
    }
    g_hash_table_destroy(finished);
}

/* See placement.h.  Models without replicas go first, then reservations, then
 * the models with the highest demand, then spare replicas. */
void
ch_placement_plan(const struct ch_placement_state *state, GArray *out)
{
    struct ch_placement_round round;
    ch_placement_round_init(&round, state, out);
    for (size_t i = 0; i < state->model_count; i++) {
        if (round.replica_counts[i].replicas == 0 &&
            restores_model(&round, &state->models[i])) {
            restore_model(&round, &state->models[i]);
        }
    }
    for_each_available(&round, fulfil_reservation, true);
    scale_up(&round);
    pair_versions(&round);
    if (!state->disabled.local_copies_first) {
        for_each_available(&round, fill_free_memory, false);
    }
    if (!state->disabled.spread_last_replicas &&
        round.changing_engines < state->max_changing_engines) {
        move_last_replica(&round);
    }
    ch_placement_round_clear(&round);
}
