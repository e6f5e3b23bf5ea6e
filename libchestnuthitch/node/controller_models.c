/* Placement of models: which ones to load and unload for the demand. */

#include "node/controller_internal.h"

#include <math.h>
#include <string.h>

enum {
    /* Time constant of the moving average of demand: demand changes every few
     * seconds, and a load takes one second at least. */
    DEMAND_AVERAGE_US = 500 * 1000,
    /* A model to be evicted gets no new requests for this long before the
     * order to unload it is sent: by then every node has been told. */
    UNLOAD_DELAY_US = 250 * 1000,
    /* A report is requested this much before that order, to show what is still
     * waiting. */
    REPORT_LEAD_US = 50 * 1000,
    /* Freed memory stays reserved for a model for this long: by then the last
     * requests of the evicted model have ended, or something went wrong. */
    RESERVATION_US = 8 * 1000 * 1000,
    /* A lease holder not heard of for this long counts as giving no orders: it
     * reports to other regions each second. */
    OTHER_HOLDER_SILENCE_US = 1500 * 1000,
    /* Adapter slots on an engine that stay free for adapters that requests
     * need. */
    SPARE_ADAPTER_SLOTS = 1,
    /* Memory of an adapter unless a model states more. */
    DEFAULT_ADAPTER_MB = 100,
    /* Log lines on models with a shortage: the least time between them, and
     * the most of them at a time. */
    SHORTAGE_LOG_PERIOD_US = 1000 * 1000,
    MAX_SHORTAGE_LOGS = 8,
    ADAPTER_NAME_BYTES = 96, /* a model's name has 64 bytes at most */
};

/* ---- demand ---- */

/* Updates the moving average of demand from the current reports. */
static void
update_average_demand(struct ch_controller *controller,
                      const struct centre_state *centre, int64_t now)
{
    GHashTable *sums = controller_sum_demands(controller, centre, now);
    double elapsed =
        (double)(now - controller->average_updated_at) / DEMAND_AVERAGE_US;
    double weight = 1 - exp(-elapsed);
    controller->average_updated_at = now;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!g_hash_table_contains(controller->average_demand, key)) {
            g_hash_table_insert(controller->average_demand, key,
                                g_new0(struct fleet_demand, 1));
        }
    }
    g_hash_table_iter_init(&iterator, controller->average_demand);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct fleet_demand *average = value;
        const struct fleet_demand *sum = g_hash_table_lookup(sums, key);
        double demand = sum == NULL ? 0 : sum->demand;
        double backlog_s = sum == NULL ? 0 : sum->backlog_s;
        average->demand += (demand - average->demand) * weight;
        average->backlog_s += (backlog_s - average->backlog_s) * weight;
    }
    g_hash_table_destroy(sums);
}

/* ---- input of a placement round ---- */

/* Input of a placement round, freed after the round. */
struct placement_input {
    GArray *engines;  /* struct ch_placement_engine */
    GArray *models;   /* struct ch_placement_model */
    GPtrArray *lists; /* GArray that entries point into */
};

/* Whether an engine of another data centre accepts a change, as far as is
 * known: its lease holder was heard lately, and no model is being loaded or
 * unloaded there. */
static bool
other_centre_accepts_change(const struct controller_engine *engine,
                            int64_t now)
{
    const struct centre_state *centre =
        controller_get_centre(engine->controller, engine->data_centre);
    bool accepts = engine->listed && centre->holder != NULL &&
                   now - centre->heard_at < OTHER_HOLDER_SILENCE_US;
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        accepts =
            accepts && (item->model != 0 || item->state == CH_ITEM_RESIDENT);
    }
    return accepts;
}

/* Adds an engine with its models. */
static void
add_engine(struct placement_input *input,
           const struct controller_engine *engine,
           const struct centre_state *centre, uint32_t adapter_mb, int64_t now)
{
    GArray *items =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_item));
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        const struct ch_placement_item copy = {item->name, item->state};
        if (item->model == 0) {
            g_array_append_val(items, copy);
        }
    }
    g_ptr_array_add(input->lists, items);
    const struct ch_placement_engine entry = {
        .name = engine->name,
        .service = engine->service,
        .version_id = engine->version_id,
        .data_centre = engine->data_centre,
        .controlled = engine->data_centre == centre->data_centre,
        .accepts_orders = engine->data_centre == centre->data_centre
                              ? engine_accepts_model_order(engine, now)
                              : other_centre_accepts_change(engine, now),
        .draining = engine->draining,
        .memory_mb = engine_get_memory_mb(engine),
        .adapter_reserve_mb =
            engine_get_adapter_reserve_mb(engine, adapter_mb),
        .items = (const struct ch_placement_item *)(void *)items->data,
        .item_count = items->len,
        .local_copies = (const GQuark *)(void *)engine->local_copies->data,
        .local_copy_count = engine->local_copies->len,
        .reserved_for =
            now < engine->reserved_until ? engine->reserved_for : 0,
    };
    g_array_append_val(input->engines, entry);
}

/* Adds a model of the configuration with its demand. */
static void
add_model(struct placement_input *input, struct ch_controller *controller,
          const struct ch_declaration *declaration, size_t index)
{
    const struct ch_model *model = &declaration->models[index];
    GQuark name = g_quark_from_string(model->name);
    const struct fleet_demand *average = g_hash_table_lookup(
        controller->average_demand, GUINT_TO_POINTER(name));
    GArray *services = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (size_t i = 0; i < declaration->service_count; i++) {
        GQuark service = g_quark_from_string(declaration->services[i].name);
        if (model->allowed_services[i]) {
            g_array_append_val(services, service);
        }
    }
    g_ptr_array_add(input->lists, services);
    const struct ch_placement_model entry = {
        .name = name,
        .memory_mb = model->memory_mb,
        .load_time = model->load_time,
        .demand = average == NULL ? 0 : average->demand,
        .backlog_s = average == NULL ? 0 : average->backlog_s,
        .services = (const GQuark *)(void *)services->data,
        .service_count = services->len,
        .has_adapters = model->numbered_adapter_count > 0,
    };
    g_array_append_val(input->models, entry);
}

/* The memory in MB to reserve for an adapter: the largest of any model. */
static uint32_t
find_largest_adapter_mb(const struct ch_declaration *declaration)
{
    uint32_t largest_mb = DEFAULT_ADAPTER_MB;
    for (size_t i = 0; i < declaration->model_count; i++) {
        largest_mb = MAX(largest_mb, declaration->models[i].adapter_memory_mb);
    }
    return largest_mb;
}

/* For g_ptr_array_new_with_free_func(). */
static void
free_list(void *data)
{
    g_array_free(data, TRUE);
}

/* Returns how many engines may change at a time: all controlled ones, at least
 * 1. An engine serves the models that it holds during a change, and only its
 * adapters can't change; with a limit of half the engines, a model in demand
 * waited ten seconds behind loads of eight seconds each. */
static uint32_t
count_changeable_engines(const struct placement_input *input)
{
    uint32_t controlled = 0;
    for (guint i = 0; i < input->engines->len; i++) {
        controlled +=
            g_array_index(input->engines, struct ch_placement_engine, i)
                    .controlled
                ? 1
                : 0;
    }
    return MAX(controlled, 1);
}

/* ---- starting actions ---- */

/* Starts a load or an unload; the orders are sent when they are due. */
static void
start_action(struct ch_controller *controller, struct centre_state *centre,
             const struct ch_placement_action *action, int64_t now)
{
    struct controller_engine *engine = g_hash_table_lookup(
        controller->engines, GUINT_TO_POINTER(action->engine));
    ch_log(
        controller->node->client, CH_LOG_INFO, "model-move",
        CH_F_STR("upstream", g_quark_to_string(action->engine)),
        CH_F_STR("model", g_quark_to_string(action->model)),
        CH_F_STR("action", action->kind == CH_ACTION_LOAD ? "load" : "unload"),
        CH_F_STR("pledged", action->reserved_for == 0
                                ? ""
                                : g_quark_to_string(action->reserved_for)),
        CH_F_BOOL("from_store", action->from_store),
        CH_F_STR("reason", action->reason), CH_F_END);
    if (action->from_store) {
        ch_window_record_start(&centre->load_window, now);
    }
    GQuark loaded_model =
        action->kind == CH_ACTION_LOAD ? action->model : action->reserved_for;
    bool keeps_reservation =
        loaded_model != 0 && engine->reserved_for == loaded_model;
    int64_t load_at = action->from_store  ? now
                      : keeps_reservation ? engine->reserved_load_at
                                          : 0;
    engine->reserved_for = action->reserved_for;
    engine->reserved_until = now + RESERVATION_US;
    engine->reserved_load_at = load_at;
    if (action->kind == CH_ACTION_LOAD) {
        struct item *item =
            engine_add_item(engine, action->model, 0, CH_ITEM_LOADING, now);
        item->from_store = load_at != 0;
        item->load_started_at = load_at;
    }
    else {
        struct item *item = engine_find_item(engine, action->model);
        item->state = CH_ITEM_UNLOADING;
        item->accepted = false;
        item->changed_at = now;
        item->next_order_at = now + UNLOAD_DELAY_US;
        engine->next_report_at = now + UNLOAD_DELAY_US - REPORT_LEAD_US;
    }
    engine->unpublished = ALL_AUDIENCES;
    engine_send_due(engine, centre, now);
}

/* Logs models that still have a shortage, and the reasons, at most once per
 * SHORTAGE_LOG_PERIOD_US. */
static void
log_shortages(struct ch_controller *controller, struct centre_state *centre,
              const struct ch_placement_state *state, GArray *actions,
              int64_t now)
{
    if (now < centre->next_shortage_log_at) {
        return;
    }
    GArray *entries =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_shortage));
    ch_placement_find_shortages(state, actions, entries);
    for (guint i = 0; i < entries->len && i < MAX_SHORTAGE_LOGS; i++) {
        const struct ch_placement_shortage *entry =
            &g_array_index(entries, struct ch_placement_shortage, i);
        ch_log(controller->node->client, CH_LOG_INFO, "model-short",
               CH_F_STR("data_centre", g_quark_to_string(centre->data_centre)),
               CH_F_STR("model", g_quark_to_string(entry->model)),
               CH_F_INT("asked_thousandths", (int64_t)(entry->demand * 1000)),
               CH_F_INT("replicas", entry->replicas),
               CH_F_INT("holding", entry->holding),
               CH_F_INT("changing", entry->changing),
               CH_F_INT("no_room", entry->no_room),
               CH_F_INT("no_load", entry->no_load), CH_F_END);
        centre->next_shortage_log_at = now + SHORTAGE_LOG_PERIOD_US;
    }
    g_array_free(entries, TRUE);
}

/* See controller_internal.h. */
void
controller_place_models(struct ch_controller *controller,
                        struct centre_state *centre, int64_t now)
{
    struct ch_config *config =
        ch_config_manager_get_current(controller->node->config);
    if (config == NULL) {
        return;
    }
    update_average_demand(controller, centre, now);
    centre->max_loads_in_window =
        controller_get_max_loads(controller, config->declaration);
    uint32_t adapter_mb = find_largest_adapter_mb(config->declaration);
    struct placement_input input = {
        .engines =
            g_array_new(FALSE, FALSE, sizeof(struct ch_placement_engine)),
        .models = g_array_new(FALSE, FALSE, sizeof(struct ch_placement_model)),
        .lists = g_ptr_array_new_with_free_func(free_list),
    };
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        add_engine(&input, value, centre, adapter_mb, now);
    }
    for (size_t i = 0; i < config->declaration->model_count; i++) {
        add_model(&input, controller, config->declaration, i);
    }
    const struct ch_placement_state state = {
        .engines =
            (const struct ch_placement_engine *)(void *)input.engines->data,
        .engine_count = input.engines->len,
        .models =
            (const struct ch_placement_model *)(void *)input.models->data,
        .model_count = input.models->len,
        .data_centre = centre->data_centre,
        .store_loads_left = ch_window_count_left(
            &centre->load_window, centre->max_loads_in_window, now),
        .max_changing_engines = count_changeable_engines(&input),
        .disabled = controller->node->settings->disabled_features,
    };
    GArray *actions =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_action));
    ch_placement_plan(&state, actions);
    log_shortages(controller, centre, &state, actions, now);
    for (guint i = 0; i < actions->len; i++) {
        start_action(controller, centre,
                     &g_array_index(actions, struct ch_placement_action, i),
                     now);
    }
    g_array_free(actions, TRUE);
    g_array_free(input.engines, TRUE);
    g_array_free(input.models, TRUE);
    g_ptr_array_free(input.lists, TRUE);
    ch_config_unref(config);
}

/* ---- preloading adapters ---- */

/* Returns the set of adapters that some engine has or is loading, as quarks.
 */
static GHashTable *
list_present_adapters(const struct ch_controller *controller)
{
    GHashTable *present = g_hash_table_new(NULL, NULL);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct controller_engine *engine = value;
        for (guint i = 0; !engine->draining && i < engine->items->len; i++) {
            const struct item *item =
                &g_array_index(engine->items, struct item, i);
            if (item->model != 0) {
                g_hash_table_add(present, GUINT_TO_POINTER(item->name));
            }
        }
    }
    return present;
}

/* Returns an adapter of a model that no engine has; 0: none. */
static GQuark
find_missing_adapter(GHashTable *present, const struct ch_model *model)
{
    char name[ADAPTER_NAME_BYTES];
    for (unsigned i = 1; i <= model->numbered_adapter_count; i++) {
        (void)g_snprintf(name, sizeof(name), "%s/a%u", model->name, i);
        GQuark adapter = g_quark_from_string(name);
        if (!g_hash_table_contains(present, GUINT_TO_POINTER(adapter))) {
            return adapter;
        }
    }
    return 0;
}

/* Adapter slots of an engine that are used or reserved by pending loads. */
static uint32_t
count_used_slots(const struct controller_engine *engine)
{
    uint32_t count = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        count +=
            g_array_index(engine->items, struct item, i).model != 0 ? 1 : 0;
    }
    return count;
}

/* Starts to load one adapter on an engine with free adapter slots. */
static void
preload_adapter(struct centre_state *centre, struct controller_engine *engine,
                const struct ch_declaration *declaration, GHashTable *present,
                int64_t now)
{
    if (!engine_accepts_model_order(engine, now) || engine->order_in_flight ||
        count_used_slots(engine) + SPARE_ADAPTER_SLOTS >=
            engine_get_adapter_slots(engine)) {
        return;
    }
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        GQuark name = g_quark_from_string(model->name);
        const struct item *item = engine_find_item(engine, name);
        if (item == NULL || item->state != CH_ITEM_RESIDENT) {
            continue;
        }
        GQuark adapter = find_missing_adapter(present, model);
        if (adapter != 0) {
            struct item *added =
                engine_add_item(engine, adapter, name, CH_ITEM_LOADING, now);
            added->last_used_at = 0;
            g_hash_table_add(present, GUINT_TO_POINTER(adapter));
            engine_send_due(engine, centre, now);
            return;
        }
    }
}

/*
 * See controller_internal.h. Loads adapters that no engine has into free
 * adapter slots, one at a time on each engine. Each is unloaded as soon as
 * another adapter is needed, because no request has used it.
 *
 * Load: a request needs an adapter that no engine has, while the key-value
 * store is unavailable and nobody holds the lease to order engines. Harm
 * prevented: all requests for that adapter are refused until the store is
 * back. Without that outage, the first request would wait for the load.
 */
void
controller_preload_adapters(struct ch_controller *controller,
                            struct centre_state *centre, int64_t now)
{
    if (controller->node->settings->disabled_features.preload_adapters) {
        return;
    }
    struct ch_config *config =
        ch_config_manager_get_current(controller->node->config);
    GHashTableIter iterator;
    gpointer value = NULL;
    if (config == NULL) {
        return;
    }
    GHashTable *present = list_present_adapters(controller);
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre == centre->data_centre) {
            preload_adapter(centre, engine, config->declaration, present, now);
        }
    }
    g_hash_table_destroy(present);
    ch_config_unref(config);
}
