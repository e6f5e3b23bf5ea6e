/* Finds models whose demand exceeds the time of their replicas, and what
 * prevents further replicas. */

#include "decide/arrange_internal.h"

/* Counts an engine of this data centre as holding the model, or by what
 * prevents a load of the model on it. */
static void
count_obstacle(const struct ch_round *round,
               const struct ch_arrange_engine *engine,
               const struct ch_arrange_model *model,
               struct ch_arrange_short *out)
{
    struct ch_eviction eviction;
    if (!engine->mine || engine->leaving ||
        !ch_round_may_hold(engine, model)) {
        return;
    }
    if (ch_round_item(engine, model->name) != NULL ||
        engine->pledged == model->name) {
        out->holding++;
    }
    else if (!ch_round_is_open(engine) || ch_round_is_ordered(round, engine) ||
             engine->pledged != 0) {
        out->changing++;
    }
    else if (!ch_round_find_room(round, engine, model->memory_mb,
                                 ch_round_pressure(model, out->replicas) /
                                     CH_CLEAR_GAIN,
                                 &eviction)) {
        out->no_room++;
    }
    else if (!ch_round_may_load(round, engine, model->name)) {
        out->no_load++;
    }
}

/* Whether an order of the round loads the model, or evicts another for it. */
static bool
has_order(const struct ch_round *round, GQuark model)
{
    for (guint i = 0; i < round->out->len; i++) {
        const struct ch_arrange_action *action =
            &g_array_index(round->out, struct ch_arrange_action, i);
        GQuark loaded =
            action->kind == CH_ACTION_LOAD ? action->model : action->pledged;
        if (loaded == model) {
            return true;
        }
    }
    return false;
}

/* See arrange.h. */
void
ch_arrange_find_short(const struct ch_arrange_state *state, GArray *actions,
                      GArray *out)
{
    struct ch_round round;
    ch_round_init(&round, state, actions);
    for (guint i = 0; i < actions->len; i++) {
        const struct ch_arrange_action *action =
            &g_array_index(actions, struct ch_arrange_action, i);
        round.loads_left -= action->from_store ? 1 : 0;
        g_hash_table_add(round.ordered, GUINT_TO_POINTER(action->engine));
    }
    for (size_t i = 0; i < state->model_count; i++) {
        const struct ch_arrange_model *model = &state->models[i];
        struct ch_arrange_short entry = {
            .model = model->name,
            .asked = ch_round_pressure(model, 1),
            .replicas = ch_round_replicas(&round, model->name),
        };
        if (ch_round_pressure(model, entry.replicas) <= CH_BUSY_REPLICA ||
            has_order(&round, model->name)) {
            continue;
        }
        for (size_t k = 0; k < state->engine_count; k++) {
            count_obstacle(&round, &state->engines[k], model, &entry);
        }
        g_array_append_val(out, entry);
    }
    ch_round_clear(&round);
}
