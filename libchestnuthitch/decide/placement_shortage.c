/* Finds models whose demand exceeds the time of their replicas, and what
 * prevents further replicas. */

#include "decide/placement_internal.h"

/* Counts an engine of this data centre as holding the model, or by what
 * prevents a load of the model on it. */
static void
count_obstacle(const struct ch_placement_round *round,
               const struct ch_placement_engine *engine,
               const struct ch_placement_model *model,
               struct ch_placement_shortage *out)
{
    struct ch_eviction eviction;
    if (!engine->controlled || engine->draining ||
        !ch_placement_is_eligible(engine, model)) {
        return;
    }
    if (ch_placement_find_item(engine, model->name) != NULL ||
        engine->reserved_for == model->name) {
        out->holding++;
    }
    else if (!ch_placement_accepts_order(engine) ||
             ch_placement_has_order(round, engine) ||
             engine->reserved_for != 0) {
        out->changing++;
    }
    else if (!ch_placement_find_evictions(
                 round, engine, model->memory_mb,
                 ch_placement_load_per_replica(model, out->replicas) /
                     CH_MIN_EVICTION_GAIN,
                 &eviction)) {
        out->no_room++;
    }
    else if (!ch_placement_may_start_load(round, engine, model->name)) {
        out->no_load++;
    }
}

/* Whether an order of the round loads the model, or evicts another for it. */
static bool
has_order(const struct ch_placement_round *round, GQuark model)
{
    for (guint i = 0; i < round->actions->len; i++) {
        const struct ch_placement_action *action =
            &g_array_index(round->actions, struct ch_placement_action, i);
        GQuark loaded = action->kind == CH_ACTION_LOAD ? action->model
                                                       : action->reserved_for;
        if (loaded == model) {
            return true;
        }
    }
    return false;
}

/* See placement.h. */
void
ch_placement_find_shortages(const struct ch_placement_state *state,
                            GArray *actions, GArray *out)
{
    struct ch_placement_round round;
    ch_placement_round_init(&round, state, actions);
    for (guint i = 0; i < actions->len; i++) {
        const struct ch_placement_action *action =
            &g_array_index(actions, struct ch_placement_action, i);
        round.store_loads_left -= action->from_store ? 1 : 0;
        g_hash_table_add(round.ordered_engines,
                         GUINT_TO_POINTER(action->engine));
    }
    for (size_t i = 0; i < state->model_count; i++) {
        const struct ch_placement_model *model = &state->models[i];
        struct ch_placement_shortage entry = {
            .model = model->name,
            .demand = ch_placement_load_per_replica(model, 1),
            .replicas = ch_placement_count_replicas(&round, model->name),
        };
        if (ch_placement_load_per_replica(model, entry.replicas) <=
                CH_SCALE_UP_LOAD ||
            has_order(&round, model->name)) {
            continue;
        }
        for (size_t k = 0; k < state->engine_count; k++) {
            count_obstacle(&round, &state->engines[k], model, &entry);
        }
        g_array_append_val(out, entry);
    }
    ch_placement_round_clear(&round);
}
