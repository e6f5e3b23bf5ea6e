/* Which models are to come and go for what requests ask for. */

#include "node/controller_internal.h"

#include <math.h>
#include <string.h>

enum {
    /* Demand is smoothed over this time: it moves every few seconds, and a
     * load takes one at least. */
    SMOOTH = 500 * 1000,
    /* A model that is to go gets no new requests for this long before the
     * order for it is sent: the time in which every node has been told. */
    LEAVE_FIRST = 250 * 1000,
    /* ... and a report is asked for so much sooner, to tell what waits. */
    ASK_EARLIER = 50 * 1000,
    /* Room that was made for a model is kept for it this long: its victim's
     * last requests have ended by then, or something went wrong. */
    PLEDGE = 8 * 1000 * 1000,
    /* A holder that told nothing for this long orders nothing either: it tells
     * other regions each second. */
    HOLDER_QUIET = 1500 * 1000,
    /* Places on an engine that stay free for adapters which are asked for. */
    SPARE_PLACES = 1,
    /* Memory of an adapter where no model states more. */
    USUAL_ADAPTER_MB = 100,
    /* Lines on models that stay short: no more often, and no more of them. */
    SHORT_PERIOD = 1000 * 1000,
    MOST_SHORT = 8,
    MOST_ADAPTER_NAME = 96, /* a model's name has 64 bytes at most */
};

/* ---- demand ---- */

/* Lets the smoothed demand follow what is told now. */
static void
smooth(struct ch_controller *controller, const struct duty *duty, int64_t now)
{
    GHashTable *sums = controller_sum_demands(controller, duty, now);
    double age = (double)(now - controller->smoothed_at) / SMOOTH;
    double weight = 1 - exp(-age);
    controller->smoothed_at = now;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!g_hash_table_contains(controller->smoothed, key)) {
            g_hash_table_insert(controller->smoothed, key,
                                g_new0(struct smoothed, 1));
        }
    }
    g_hash_table_iter_init(&iterator, controller->smoothed);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct smoothed *smoothed = value;
        const struct smoothed *sum = g_hash_table_lookup(sums, key);
        double work = sum == NULL ? 0 : sum->work;
        double backlog = sum == NULL ? 0 : sum->backlog;
        smoothed->work += (work - smoothed->work) * weight;
        smoothed->backlog += (backlog - smoothed->backlog) * weight;
    }
    g_hash_table_destroy(sums);
}

/* ---- the state that is decided upon ---- */

/* What the decision is given; its lists are freed after it. */
struct picture {
    GArray *engines;  /* struct ch_placement_engine */
    GArray *models;   /* struct ch_placement_model */
    GPtrArray *lists; /* GArray, to be freed */
};

/* Whether an engine of another data centre takes a change, as far as is known:
 * its holder tells, and no model is on its way there. */
static bool
is_open_elsewhere(const struct controller_engine *engine, int64_t now)
{
    const struct duty *duty =
        controller_duty(engine->controller, engine->data_centre);
    bool open = engine->listed && duty->holder != NULL &&
                now - duty->heard < HOLDER_QUIET;
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        open = open && (item->model != 0 || item->state == CH_ITEM_RESIDENT);
    }
    return open;
}

/* Adds an engine with its models. */
static void
add_engine(struct picture *picture, const struct controller_engine *engine,
           const struct duty *duty, uint32_t adapter_mb, int64_t now)
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
    g_ptr_array_add(picture->lists, items);
    const struct ch_placement_engine entry = {
        .name = engine->name,
        .service = engine->service,
        .data_centre = engine->data_centre,
        .controlled = engine->data_centre == duty->data_centre,
        .accepts_orders = engine->data_centre == duty->data_centre
                              ? engine_is_open(engine, now)
                              : is_open_elsewhere(engine, now),
        .draining = engine->leaving,
        .memory_mb = engine_memory(engine),
        .adapter_reserve_mb = engine_reserve(engine, adapter_mb),
        .items = (const struct ch_placement_item *)(void *)items->data,
        .item_count = items->len,
        .local_copies = (const GQuark *)(void *)engine->copies->data,
        .local_copy_count = engine->copies->len,
        .reserved_for = now < engine->pledged_until ? engine->pledged : 0,
    };
    g_array_append_val(picture->engines, entry);
}

/* Adds a model of the configuration with what is asked of it. */
static void
add_model(struct picture *picture, struct ch_controller *controller,
          const struct ch_declaration *declaration, size_t index)
{
    const struct ch_model *model = &declaration->models[index];
    GQuark name = g_quark_from_string(model->name);
    const struct smoothed *smoothed =
        g_hash_table_lookup(controller->smoothed, GUINT_TO_POINTER(name));
    GArray *services = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (size_t i = 0; i < declaration->service_count; i++) {
        GQuark service = g_quark_from_string(declaration->services[i].name);
        if (model->services[i]) {
            g_array_append_val(services, service);
        }
    }
    g_ptr_array_add(picture->lists, services);
    const struct ch_placement_model entry = {
        .name = name,
        .memory_mb = model->memory_mb,
        .demand = smoothed == NULL ? 0 : smoothed->work,
        .backlog_s = smoothed == NULL ? 0 : smoothed->backlog,
        .services = (const GQuark *)(void *)services->data,
        .service_count = services->len,
        .has_adapters = model->numbered_adapters > 0,
    };
    g_array_append_val(picture->models, entry);
}

/* The memory to count on for an adapter: the largest of any model. */
static uint32_t
largest_adapter(const struct ch_declaration *declaration)
{
    uint32_t largest = USUAL_ADAPTER_MB;
    for (size_t i = 0; i < declaration->model_count; i++) {
        largest = MAX(largest, declaration->models[i].adapter_memory_mb);
    }
    return largest;
}

/* For g_ptr_array_new_with_free_func. */
static void
free_list(void *data)
{
    g_array_free(data, TRUE);
}

/* Engines of the data centre: all of them may change at a time.  An engine
 * serves what it holds meanwhile, only its adapters stay as they are; with a
 * limit of half of them, a model in demand waited for ten seconds behind loads
 * that took eight each. */
static uint32_t
most_changes(const struct picture *picture)
{
    uint32_t mine = 0;
    for (guint i = 0; i < picture->engines->len; i++) {
        mine += g_array_index(picture->engines, struct ch_placement_engine, i)
                        .controlled
                    ? 1
                    : 0;
    }
    return MAX(mine, 1);
}

/* ---- doing what was decided ---- */

/* Begins a load or an unload; the orders follow when they can be sent. */
static void
begin(struct ch_controller *controller, struct duty *duty,
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
        ch_window_record_start(&duty->loads, now);
    }
    GQuark comes =
        action->kind == CH_ACTION_LOAD ? action->model : action->reserved_for;
    bool keeps = comes != 0 && engine->pledged == comes;
    int64_t load_at = action->from_store ? now
                      : keeps            ? engine->pledged_load
                                         : 0;
    engine->pledged = action->reserved_for;
    engine->pledged_until = now + PLEDGE;
    engine->pledged_load = load_at;
    if (action->kind == CH_ACTION_LOAD) {
        struct item *item =
            engine_add_item(engine, action->model, 0, CH_ITEM_LOADING, now);
        item->from_store = load_at != 0;
        item->load_at = load_at;
    }
    else {
        struct item *item = engine_item(engine, action->model);
        item->state = CH_ITEM_UNLOADING;
        item->ordered = false;
        item->changed = now;
        item->not_before = now + LEAVE_FIRST;
        engine->report_at = now + LEAVE_FIRST - ASK_EARLIER;
    }
    engine->news = ALL_NEWS;
    engine_pump(engine, duty, now);
}

/* Tells of models that stay short, and what stands in the way, now and then.
 */
static void
log_short(struct ch_controller *controller, struct duty *duty,
          const struct ch_placement_state *state, GArray *actions, int64_t now)
{
    if (now < duty->next_short) {
        return;
    }
    GArray *entries =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_shortage));
    ch_placement_find_shortages(state, actions, entries);
    for (guint i = 0; i < entries->len && i < MOST_SHORT; i++) {
        const struct ch_placement_shortage *entry =
            &g_array_index(entries, struct ch_placement_shortage, i);
        ch_log(controller->node->client, CH_LOG_INFO, "model-short",
               CH_F_STR("data_centre", g_quark_to_string(duty->data_centre)),
               CH_F_STR("model", g_quark_to_string(entry->model)),
               CH_F_INT("asked_thousandths", (int64_t)(entry->demand * 1000)),
               CH_F_INT("replicas", entry->replicas),
               CH_F_INT("holding", entry->holding),
               CH_F_INT("changing", entry->changing),
               CH_F_INT("no_room", entry->no_room),
               CH_F_INT("no_load", entry->no_load), CH_F_END);
        duty->next_short = now + SHORT_PERIOD;
    }
    g_array_free(entries, TRUE);
}

/* See controller_internal.h. */
void
controller_arrange(struct ch_controller *controller, struct duty *duty,
                   int64_t now)
{
    struct ch_config *config =
        ch_config_keeper_current(controller->node->config);
    if (config == NULL) {
        return;
    }
    smooth(controller, duty, now);
    duty->most_loads =
        controller_loads_in_window(controller, config->declaration);
    uint32_t adapter_mb = largest_adapter(config->declaration);
    struct picture picture = {
        .engines =
            g_array_new(FALSE, FALSE, sizeof(struct ch_placement_engine)),
        .models = g_array_new(FALSE, FALSE, sizeof(struct ch_placement_model)),
        .lists = g_ptr_array_new_with_free_func(free_list),
    };
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        add_engine(&picture, value, duty, adapter_mb, now);
    }
    for (size_t i = 0; i < config->declaration->model_count; i++) {
        add_model(&picture, controller, config->declaration, i);
    }
    const struct ch_placement_state state = {
        .engines =
            (const struct ch_placement_engine *)(void *)picture.engines->data,
        .engine_count = picture.engines->len,
        .models =
            (const struct ch_placement_model *)(void *)picture.models->data,
        .model_count = picture.models->len,
        .data_centre = duty->data_centre,
        .store_loads_left =
            ch_window_count_left(&duty->loads, duty->most_loads, now),
        .max_changing_engines = most_changes(&picture),
        .disabled = controller->node->settings->without,
    };
    GArray *actions =
        g_array_new(FALSE, FALSE, sizeof(struct ch_placement_action));
    ch_placement_plan(&state, actions);
    log_short(controller, duty, &state, actions, now);
    for (guint i = 0; i < actions->len; i++) {
        begin(controller, duty,
              &g_array_index(actions, struct ch_placement_action, i), now);
    }
    g_array_free(actions, TRUE);
    g_array_free(picture.engines, TRUE);
    g_array_free(picture.models, TRUE);
    g_ptr_array_free(picture.lists, TRUE);
    ch_config_unref(config);
}

/* ---- adapters before they are asked for ---- */

/* The adapters that some engine has or is loading; GQuark to itself. */
static GHashTable *
standing_adapters(const struct ch_controller *controller)
{
    GHashTable *standing = g_hash_table_new(NULL, NULL);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct controller_engine *engine = value;
        for (guint i = 0; !engine->leaving && i < engine->items->len; i++) {
            const struct item *item =
                &g_array_index(engine->items, struct item, i);
            if (item->model != 0) {
                g_hash_table_add(standing, GUINT_TO_POINTER(item->name));
            }
        }
    }
    return standing;
}

/* The adapter of a model that stands nowhere, if there is one; 0: none. */
static GQuark
missing_adapter(GHashTable *standing, const struct ch_model *model)
{
    char name[MOST_ADAPTER_NAME];
    for (unsigned i = 1; i <= model->numbered_adapters; i++) {
        (void)g_snprintf(name, sizeof(name), "%s/a%u", model->name, i);
        GQuark adapter = g_quark_from_string(name);
        if (!g_hash_table_contains(standing, GUINT_TO_POINTER(adapter))) {
            return adapter;
        }
    }
    return 0;
}

/* Places for adapters that are taken on an engine, or will be. */
static uint32_t
places_taken(const struct controller_engine *engine)
{
    uint32_t count = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        count +=
            g_array_index(engine->items, struct item, i).model != 0 ? 1 : 0;
    }
    return count;
}

/* Begins to load one adapter on an engine that has places free. */
static void
fill_places(struct duty *duty, struct controller_engine *engine,
            const struct ch_declaration *declaration, GHashTable *standing,
            int64_t now)
{
    if (!engine_is_open(engine, now) || engine->ordering ||
        places_taken(engine) + SPARE_PLACES >= engine_adapter_places(engine)) {
        return;
    }
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        GQuark name = g_quark_from_string(model->name);
        const struct item *item = engine_item(engine, name);
        if (item == NULL || item->state != CH_ITEM_RESIDENT) {
            continue;
        }
        GQuark adapter = missing_adapter(standing, model);
        if (adapter != 0) {
            struct item *added =
                engine_add_item(engine, adapter, name, CH_ITEM_LOADING, now);
            added->used = 0;
            g_hash_table_add(standing, GUINT_TO_POINTER(adapter));
            engine_pump(engine, duty, now);
            return;
        }
    }
}

/*
 * Load: an adapter is asked for that stands nowhere, while the key-value
 * service is away and nobody has the right to order.  Harm prevented: all
 * requests for it are refused until the service is back; else the first of
 * them waits for the load.  So places that are free take adapters that stand
 * nowhere, one at a time on each engine; each goes again as soon as another is
 * asked for, as nobody has used it.
 */
void
controller_fill_places(struct ch_controller *controller, struct duty *duty,
                       int64_t now)
{
    if (controller->node->settings->without.adapters_ahead) {
        return;
    }
    struct ch_config *config =
        ch_config_keeper_current(controller->node->config);
    GHashTableIter iterator;
    gpointer value = NULL;
    if (config == NULL) {
        return;
    }
    GHashTable *standing = standing_adapters(controller);
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre == duty->data_centre) {
            fill_places(duty, engine, config->declaration, standing, now);
        }
    }
    g_hash_table_destroy(standing);
    ch_config_unref(config);
}
