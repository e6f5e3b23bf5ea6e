/* The view that placement decisions have of a state: replica counts, and the
 * memory that evictions can free. */

#include "decide/placement_internal.h"

/* Queued work is to be done within this many seconds. */
static const double BACKLOG_TARGET_S = 2;
/* Cost of an eviction that leaves a model's last replica on an engine without
 * memory for any large model, in engines. */
static const double STRANDED_REPLICA_COST = 0.5;

/* ---- counting ---- */

static guint
centre_index(const struct ch_placement_round *round,
             const struct ch_placement_engine *engine)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(
        round->centre_indices, GUINT_TO_POINTER(engine->data_centre)));
}

/* Numbers the data centres and allocates the counts for each. */
static void
number_centres(struct ch_placement_round *round)
{
    const struct ch_placement_state *state = round->state;
    for (size_t i = 0; i < state->engine_count; i++) {
        gpointer key = GUINT_TO_POINTER(state->engines[i].data_centre);
        if (!g_hash_table_contains(round->centre_indices, key)) {
            guint number = g_hash_table_size(round->centre_indices);
            g_hash_table_insert(round->centre_indices, key,
                                GUINT_TO_POINTER(number));
        }
    }
    guint centre_count = g_hash_table_size(round->centre_indices);
    round->centre_counts =
        g_new0(unsigned, state->model_count *centre_count + 1);
    for (size_t i = 0; i < state->model_count; i++) {
        round->replica_counts[i].resident_by_centre =
            &round->centre_counts[i * centre_count];
    }
}

/*
 * Counts an engine's replica.  The data centre that keeps the last replica is
 * chosen by rendezvous hashing among those with a replica, so that every node
 * finds the same.  Otherwise two data centres that each see the other's
 * replica would evict theirs at the same time, and no engine would hold the
 * model.
 */
static void
count_item(const struct ch_placement_round *round,
           const struct ch_placement_engine *engine,
           const struct ch_placement_item *item)
{
    struct ch_replica_count *count = g_hash_table_lookup(
        round->count_by_model, GUINT_TO_POINTER(item->model));
    if (count == NULL || item->state == CH_ITEM_UNLOADING) {
        return;
    }
    count->replicas++;
    if (item->state != CH_ITEM_RESIDENT) {
        return;
    }
    count->resident_by_centre[centre_index(round, engine)]++;
    uint64_t weight =
        ch_hash_pair(ch_hash_string(g_quark_to_string(item->model)),
                     ch_hash_string(g_quark_to_string(engine->data_centre)));
    if (count->last_replica_centre == 0 ||
        weight > count->last_replica_weight) {
        count->last_replica_centre = engine->data_centre;
        count->last_replica_weight = weight;
    }
}

/* Counts the models of an engine that is not draining, and its reservation. */
static void
count_engine(const struct ch_placement_round *round,
             const struct ch_placement_engine *engine)
{
    for (size_t i = 0; i < engine->item_count; i++) {
        count_item(round, engine, &engine->items[i]);
    }
    struct ch_replica_count *reserved = g_hash_table_lookup(
        round->count_by_model, GUINT_TO_POINTER(engine->reserved_for));
    const struct ch_placement_item *held =
        ch_placement_find_item(engine, engine->reserved_for);
    if (reserved != NULL &&
        (held == NULL || held->state == CH_ITEM_UNLOADING)) {
        reserved->replicas++;
    }
}

/* Initialises a round and counts all replicas; out: where orders are
 * appended. */
void
ch_placement_round_init(struct ch_placement_round *round,
                        const struct ch_placement_state *state, GArray *out)
{
    *round = (struct ch_placement_round){
        .state = state,
        .replica_counts =
            g_new0(struct ch_replica_count, state->model_count + 1),
        .count_by_model = g_hash_table_new(NULL, NULL),
        .centre_indices = g_hash_table_new(NULL, NULL),
        .ordered_engines = g_hash_table_new(NULL, NULL),
        .store_loads_left = state->store_loads_left,
        .actions = out,
    };
    for (size_t i = 0; i < state->model_count; i++) {
        const struct ch_placement_model *model = &state->models[i];
        round->replica_counts[i].model = model;
        round->largest_model_mb =
            MAX(round->largest_model_mb, model->memory_mb);
        g_hash_table_insert(round->count_by_model,
                            GUINT_TO_POINTER(model->name),
                            &round->replica_counts[i]);
    }
    number_centres(round);
    for (size_t i = 0; i < state->engine_count; i++) {
        const struct ch_placement_engine *engine = &state->engines[i];
        if (!engine->draining) {
            count_engine(round, engine);
            round->changing_engines +=
                engine->controlled && !engine->accepts_orders ? 1 : 0;
        }
    }
}

/*
 * See placement_internal.h.  For several engines that become empty at once, or
 * several models that need memory.  Otherwise all of these engines would load
 * the same model, for which one is enough, or the last two replicas of a model
 * would be evicted in one round, each because the other exists.
 */
void
ch_placement_count_order(struct ch_placement_round *round,
                         const struct ch_placement_engine *engine,
                         GQuark victim, GQuark model)
{
    struct ch_replica_count *loaded =
        g_hash_table_lookup(round->count_by_model, GUINT_TO_POINTER(model));
    struct ch_replica_count *evicted =
        g_hash_table_lookup(round->count_by_model, GUINT_TO_POINTER(victim));
    if (loaded != NULL && engine->reserved_for != model) {
        loaded->replicas++;
    }
    if (evicted != NULL) {
        evicted->replicas--;
        evicted->resident_by_centre[centre_index(round, engine)]--;
    }
    g_hash_table_add(round->ordered_engines, GUINT_TO_POINTER(engine->name));
}

/* Frees what the round owns; not the state and the array of orders. */
void
ch_placement_round_clear(struct ch_placement_round *round)
{
    g_hash_table_destroy(round->count_by_model);
    g_hash_table_destroy(round->centre_indices);
    g_hash_table_destroy(round->ordered_engines);
    g_free(round->centre_counts);
    g_free(round->replica_counts);
}

/* ---- queries ---- */

/* See placement_internal.h. */
const struct ch_placement_item *
ch_placement_find_item(const struct ch_placement_engine *engine, GQuark model)
{
    for (size_t i = 0; i < engine->item_count; i++) {
        if (engine->items[i].model == model) {
            return &engine->items[i];
        }
    }
    return NULL;
}

/* See placement_internal.h. */
bool
ch_placement_has_local_copy(const struct ch_placement_engine *engine,
                            GQuark model)
{
    for (size_t i = 0; i < engine->local_copy_count; i++) {
        if (engine->local_copies[i] == model) {
            return true;
        }
    }
    return false;
}

/* See placement_internal.h. */
bool
ch_placement_is_eligible(const struct ch_placement_engine *engine,
                         const struct ch_placement_model *model)
{
    for (size_t i = 0; i < model->service_count; i++) {
        if (model->services[i] == engine->service) {
            return true;
        }
    }
    return false;
}

/* See placement_internal.h. */
const struct ch_replica_count *
ch_placement_find_count(const struct ch_placement_round *round, GQuark name)
{
    return g_hash_table_lookup(round->count_by_model, GUINT_TO_POINTER(name));
}

/* See placement_internal.h. */
unsigned
ch_placement_count_replicas(const struct ch_placement_round *round,
                            GQuark model)
{
    const struct ch_replica_count *count =
        ch_placement_find_count(round, model);
    return count == NULL ? 0 : count->replicas;
}

/* See placement_internal.h. */
double
ch_placement_load_per_replica(const struct ch_placement_model *model,
                              unsigned replicas)
{
    return (model->demand + model->backlog_s / BACKLOG_TARGET_S) /
           MAX(replicas, 1);
}

/* See placement_internal.h. */
double
ch_placement_engine_load(const struct ch_placement_round *round,
                         const struct ch_placement_engine *engine,
                         GQuark except)
{
    double load = 0;
    for (size_t i = 0; i < engine->item_count; i++) {
        GQuark name = engine->items[i].model;
        const struct ch_replica_count *count =
            ch_placement_find_count(round, name);
        if (count != NULL && name != except) {
            load +=
                ch_placement_load_per_replica(count->model, count->replicas);
        }
    }
    return load;
}

/* The memory of the engine that is left with used_mb in use. */
static uint32_t
remaining_mb(const struct ch_placement_engine *engine, uint64_t used_mb)
{
    return used_mb < engine->memory_mb ? engine->memory_mb - (uint32_t)used_mb
                                       : 0;
}

/* See placement_internal.h. */
uint32_t
ch_placement_free_mb(const struct ch_placement_round *round,
                     const struct ch_placement_engine *engine)
{
    uint64_t used_mb = engine->adapter_reserve_mb;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_replica_count *count =
            ch_placement_find_count(round, engine->items[i].model);
        used_mb += count == NULL ? 0 : count->model->memory_mb;
    }
    return remaining_mb(engine, used_mb);
}

/* See placement_internal.h. */
uint32_t
ch_placement_reclaimable_mb(const struct ch_placement_round *round,
                            const struct ch_placement_engine *engine)
{
    uint64_t used_mb = engine->adapter_reserve_mb;
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_replica_count *count =
            ch_placement_find_count(round, engine->items[i].model);
        bool is_last_replica = count != NULL && count->replicas < 2 &&
                               engine->items[i].state != CH_ITEM_UNLOADING;
        used_mb += is_last_replica ? count->model->memory_mb : 0;
    }
    return remaining_mb(engine, used_mb);
}

/* See placement_internal.h. */
bool
ch_placement_accepts_order(const struct ch_placement_engine *engine)
{
    return engine->accepts_orders && !engine->draining;
}

/* See placement_internal.h. */
bool
ch_placement_has_order(const struct ch_placement_round *round,
                       const struct ch_placement_engine *engine)
{
    return g_hash_table_contains(round->ordered_engines,
                                 GUINT_TO_POINTER(engine->name));
}

/* See placement_internal.h. */
bool
ch_placement_may_start_load(const struct ch_placement_round *round,
                            const struct ch_placement_engine *engine,
                            GQuark model)
{
    return engine->reserved_for == model ||
           ch_placement_has_local_copy(engine, model) || !engine->controlled ||
           round->store_loads_left > 0;
}

/* ---- evictions ---- */

/* A model that may be evicted from an engine. */
struct candidate {
    GQuark model;
    uint32_t memory_mb;
    double remaining_load; /* load of each of the model's other replicas
                              afterwards */
    double cost; /* remaining_load, plus STRANDED_REPLICA_COST where that
                    applies */
};

/* Whether the model's replica on the engine may be evicted: it is neither the
 * last one nor the one that this data centre must keep. */
static bool
may_evict(const struct ch_placement_round *round,
          const struct ch_placement_engine *engine,
          const struct ch_replica_count *count)
{
    return count->replicas >= 2 &&
           (count->resident_by_centre[centre_index(round, engine)] >= 2 ||
            count->last_replica_centre != engine->data_centre);
}

/* Whether the eviction would leave the model's last replica on an engine that
 * then has no reclaimable memory for the largest model. */
static bool
strands_last_replica(const struct ch_placement_round *round,
                     const struct ch_placement_engine *from,
                     const struct ch_replica_count *count)
{
    for (size_t i = 0; count->replicas == 2 && i < round->state->engine_count;
         i++) {
        const struct ch_placement_engine *engine = &round->state->engines[i];
        if (engine != from && !engine->draining &&
            ch_placement_find_item(engine, count->model->name) != NULL) {
            return ch_placement_reclaimable_mb(round, engine) <
                   count->model->memory_mb + round->largest_model_mb;
        }
    }
    return false;
}

/* Sorts candidates by ascending cost. */
static gint
compare_cost(gconstpointer a, gconstpointer b)
{
    double first = ((const struct candidate *)a)->cost;
    double second = ((const struct candidate *)b)->cost;
    return (first > second) - (first < second);
}

/* The models that may be evicted from the engine, cheapest first; free with
 * g_array_free(). */
static GArray *
list_candidates(const struct ch_placement_round *round,
                const struct ch_placement_engine *engine, double max_load)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    for (size_t i = 0; i < engine->item_count; i++) {
        const struct ch_placement_item *item = &engine->items[i];
        const struct ch_replica_count *count =
            ch_placement_find_count(round, item->model);
        if (item->state != CH_ITEM_RESIDENT || count == NULL ||
            !may_evict(round, engine, count)) {
            continue;
        }
        double remaining_load =
            ch_placement_load_per_replica(count->model, count->replicas - 1);
        const struct candidate candidate = {
            .model = item->model,
            .memory_mb = count->model->memory_mb,
            .remaining_load = remaining_load,
            .cost =
                remaining_load + (strands_last_replica(round, engine, count)
                                      ? STRANDED_REPLICA_COST
                                      : 0),
        };
        if (remaining_load <= max_load) {
            g_array_append_val(out, candidate);
        }
    }
    g_array_sort(out, compare_cost);
    return out;
}

/* Removes candidates that aren't needed to free memory_mb, the most expensive
 * first. */
static void
drop_unneeded(GArray *victims, uint64_t free_mb, uint32_t memory_mb)
{
    for (guint i = victims->len; i > 0; i--) {
        uint32_t candidate_mb =
            g_array_index(victims, struct candidate, i - 1).memory_mb;
        if (free_mb - candidate_mb >= memory_mb) {
            free_mb -= candidate_mb;
            g_array_remove_index(victims, i - 1);
        }
    }
}

/* Removes candidates whose eviction alone doesn't free memory_mb. */
static void
drop_insufficient(GArray *victims, uint64_t free_mb, uint32_t memory_mb)
{
    for (guint i = victims->len; i > 0; i--) {
        if (free_mb +
                g_array_index(victims, struct candidate, i - 1).memory_mb <
            memory_mb) {
            g_array_remove_index(victims, i - 1);
        }
    }
}

/*
 * See placement_internal.h.  For a large model in demand when only small
 * models can be evicted.  Evicting a single one of them frees too little
 * memory; without further evictions the engine would be idle beside the large
 * model's queue.
 */
bool
ch_placement_find_evictions(const struct ch_placement_round *round,
                            const struct ch_placement_engine *engine,
                            uint32_t memory_mb, double max_load,
                            struct ch_eviction *out)
{
    *out = (struct ch_eviction){.first_victim = 0};
    uint64_t free_mb = ch_placement_free_mb(round, engine);
    if (free_mb >= memory_mb) {
        return true;
    }
    GArray *victims = list_candidates(round, engine, max_load);
    if (round->state->disabled.several_evictions) {
        drop_insufficient(victims, free_mb, memory_mb);
    }
    guint victim_count = 0;
    while (victim_count < victims->len && free_mb < memory_mb) {
        free_mb +=
            g_array_index(victims, struct candidate, victim_count).memory_mb;
        victim_count++;
    }
    bool enough = free_mb >= memory_mb;
    if (enough) {
        g_array_set_size(victims, victim_count);
        drop_unneeded(victims, free_mb, memory_mb);
        const struct candidate *last =
            &g_array_index(victims, struct candidate, victims->len - 1);
        out->first_victim = g_array_index(victims, struct candidate, 0).model;
        out->victim_count = victims->len;
        out->remaining_load = last->remaining_load;
        out->cost = last->cost;
    }
    g_array_free(victims, TRUE);
    return enough;
}
