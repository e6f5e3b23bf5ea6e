/*
 * What requests ask for: each node tells it to the holder that tells it of
 * engines, and holders tell one another the sum of what they were told.
 */

#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A word on demand holds this long: nodes and near holders tell it ten
     * times a second. */
    DEMAND_STALE = 2 * 1000 * 1000,
    /* ... and is passed on this long, so that a node which tells another
     * holder now is not counted twice for long. */
    DEMAND_PASSED = 1000 * 1000,
    DEMAND_PERIOD = 100 * 1000,
    /* Between regions, whose link is paid by volume. */
    DEMAND_PERIOD_FAR = 500 * 1000,
};

/* ---- lists that messages are made of ---- */

/* What requests ask for, where they run, and the adapters that they use. */
struct demand_lists {
    GArray *models;  /* struct ch_model_demand */
    GArray *loads;   /* struct ch_engine_load */
    GPtrArray *used; /* "UPSTREAM MODEL/ADAPTER", new strings */
};

/* Empty lists. */
static struct demand_lists
lists_new(void)
{
    return (struct demand_lists){
        .models = g_array_new(FALSE, FALSE, sizeof(struct ch_model_demand)),
        .loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load)),
        .used = g_ptr_array_new_with_free_func(g_free),
    };
}

/* Frees lists. */
static void
lists_clear(const struct demand_lists *lists)
{
    g_array_free(lists->models, TRUE);
    g_array_free(lists->loads, TRUE);
    g_ptr_array_free(lists->used, TRUE);
}

/* Fills the part of a message on models; its arrays are the caller's. */
static void
fill_models(const GArray *models, Chestnuthitch__Wire__Demand *demand)
{
    guint count = models->len;
    demand->models = g_new0(char *, count + 1);
    demand->work = g_new0(uint32_t, count + 1);
    demand->backlog = g_new0(uint32_t, count + 1);
    demand->n_models = count;
    demand->n_work = count;
    demand->n_backlog = count;
    for (guint i = 0; i < count; i++) {
        const struct ch_model_demand *model =
            &g_array_index(models, struct ch_model_demand, i);
        demand->models[i] = (char *)g_quark_to_string(model->model);
        demand->work[i] = model->work;
        demand->backlog[i] = model->backlog;
    }
}

/* Fills the part of a message on engines; its arrays are the caller's. */
static void
fill_loads(const GArray *loads, Chestnuthitch__Wire__Demand *demand)
{
    Chestnuthitch__Wire__EngineLoad *rows =
        g_new0(Chestnuthitch__Wire__EngineLoad, loads->len + 1);
    demand->loads = g_new0(Chestnuthitch__Wire__EngineLoad *, loads->len + 1);
    demand->loads[0] = rows;
    demand->n_loads = loads->len;
    for (guint i = 0; i < loads->len; i++) {
        const struct ch_engine_load *load =
            &g_array_index(loads, struct ch_engine_load, i);
        chestnuthitch__wire__engine_load__init(&rows[i]);
        rows[i].upstream = (char *)g_quark_to_string(load->upstream);
        rows[i].running = load->running;
        rows[i].unread_ms = (uint32_t)(load->unread / 1000);
        demand->loads[i] = &rows[i];
    }
}

/* Sends lists to a holder. */
static void
send_lists(struct ch_controller *controller, const struct demand_lists *lists,
           const char *holder, bool collected)
{
    Chestnuthitch__Wire__Demand demand = WIRE(DEMAND__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    fill_models(lists->models, &demand);
    fill_loads(lists->loads, &demand);
    demand.n_used = lists->used->len;
    demand.used = (char **)lists->used->pdata;
    demand.collected = collected;
    frame.body_case = WIRE(FRAME__BODY_DEMAND);
    frame.demand = &demand;
    ch_peers_send(controller->node->peers, holder, &frame);
    g_free(demand.models);
    g_free(demand.work);
    g_free(demand.backlog);
    g_free(demand.loads[0]);
    g_free(demand.loads);
}

/* ---- a node's own ---- */

/* Tells this node's demand to the holder that collects it. */
static void
tell_own(struct ch_controller *controller, int64_t now)
{
    pthread_mutex_lock(&controller->lock);
    g_autofree char *collector = controller_teller(controller, now);
    pthread_mutex_unlock(&controller->lock);
    struct demand_lists own = lists_new();
    controller->handlers->demand(controller->data, own.models, own.loads);
    controller->handlers->used(controller->data, own.used);
    if (collector != NULL) {
        send_lists(controller, &own, collector, false);
    }
    lists_clear(&own);
}

/* ---- what was told ---- */

/* Frees what a node told. */
static void
free_demand(void *data)
{
    struct node_demand *demand = data;
    g_array_free(demand->list, TRUE);
    g_array_free(demand->loads, TRUE);
    g_free(demand);
}

/* For g_hash_table_foreach_remove. */
static gboolean
is_stale(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return *(int64_t *)data - ((struct node_demand *)value)->at >=
           DEMAND_STALE;
}

/* Keeps what a node told.  Lock held. */
static void
take_demand(struct ch_controller *controller, const char *from,
            const Chestnuthitch__Wire__Demand *demand, int64_t now)
{
    struct node_demand *told = g_new0(struct node_demand, 1);
    told->at = now;
    told->collected = demand->collected;
    told->data_centre = demand->data_centre[0] == '\0'
                            ? 0
                            : g_quark_from_string(demand->data_centre);
    told->list = g_array_new(FALSE, FALSE, sizeof(struct ch_model_demand));
    for (size_t i = 0;
         i < demand->n_models && i < demand->n_work && i < demand->n_backlog;
         i++) {
        const struct ch_model_demand model = {
            .model = g_quark_from_string(demand->models[i]),
            .work = demand->work[i],
            .backlog = demand->backlog[i],
        };
        g_array_append_val(told->list, model);
    }
    told->loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load));
    for (size_t i = 0; i < demand->n_loads; i++) {
        const struct ch_engine_load load = {
            .upstream = g_quark_from_string(demand->loads[i]->upstream),
            .running = demand->loads[i]->running,
            .unread = (int64_t)demand->loads[i]->unread_ms * 1000,
        };
        g_array_append_val(told->loads, load);
    }
    g_hash_table_replace(controller->demands,
                         g_strdup_printf("%s %d %s", from, demand->collected,
                                         demand->data_centre),
                         told);
}

/* The engine of a text "UPSTREAM MODEL/ADAPTER", or NULL; *adapter: the rest.
 * Lock held. */
static struct controller_engine *
engine_of(const struct ch_controller *controller, const char *text,
          const char **adapter)
{
    const char *space = strchr(text, ' ');
    if (space == NULL) {
        return NULL;
    }
    g_autofree char *name = g_strndup(text, (size_t)(space - text));
    *adapter = space + 1;
    return g_hash_table_lookup(controller->engines,
                               GUINT_TO_POINTER(g_quark_try_string(name)));
}

/* Notes that an adapter was used, and that its engine's holder is to know.
 * Lock held. */
static void
take_used(struct ch_controller *controller, const char *text, bool collected,
          int64_t now)
{
    const char *name = NULL;
    struct controller_engine *engine = engine_of(controller, text, &name);
    if (engine == NULL) {
        return;
    }
    GQuark adapter = g_quark_try_string(name);
    struct item *item = adapter == 0 ? NULL : engine_item(engine, adapter);
    if (item != NULL) {
        item->used = now;
    }
    if (!collected &&
        !controller_holds(controller_duty(controller, engine->data_centre))) {
        g_hash_table_add(controller->used, g_strdup(text));
    }
}

/* A node tells what its requests ask for. */
static void
handle_demand(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Demand *demand = frame->demand;
    int64_t now = ch_client_now(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    take_demand(controller, frame->from, demand, now);
    for (size_t i = 0; i < demand->n_used; i++) {
        take_used(controller, demand->used[i],
                  demand->collected || demand->data_centre[0] != '\0', now);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* ---- sums; lock held ---- */

/* Adds what one node asks for to the sums. */
static void
add_models(GHashTable *sums, const struct node_demand *told)
{
    for (guint i = 0; i < told->list->len; i++) {
        const struct ch_model_demand *model =
            &g_array_index(told->list, struct ch_model_demand, i);
        gpointer key = GUINT_TO_POINTER(model->model);
        struct smoothed *sum = g_hash_table_lookup(sums, key);
        if (sum == NULL) {
            sum = g_new0(struct smoothed, 1);
            g_hash_table_insert(sums, key, sum);
        }
        sum->work += model->work / 1000.0;
        sum->backlog += model->backlog / 1000.0;
    }
}

/* See controller_internal.h. */
GHashTable *
controller_sum_demands(struct ch_controller *controller,
                       const struct duty *duty, int64_t now)
{
    GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_demand *told = value;
        if (now - told->at < DEMAND_STALE &&
            (told->data_centre == 0 ||
             told->data_centre == duty->data_centre)) {
            add_models(sums, told);
        }
    }
    return sums;
}

/* Adds what one node has sent to the engines of a data centre. */
static void
add_loads(struct ch_controller *controller, const struct duty *duty,
          const struct node_demand *told)
{
    for (guint i = 0; i < told->loads->len; i++) {
        const struct ch_engine_load *load =
            &g_array_index(told->loads, struct ch_engine_load, i);
        struct controller_engine *engine = g_hash_table_lookup(
            controller->engines, GUINT_TO_POINTER(load->upstream));
        if (engine != NULL && engine->data_centre == duty->data_centre) {
            engine->load_running += load->running;
            engine->load_unread += load->unread;
        }
    }
}

/* See controller_internal.h. */
void
controller_sum_loads(struct ch_controller *controller, const struct duty *duty,
                     int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre == duty->data_centre) {
            engine->load_running = 0;
            engine->load_unread = 0;
        }
    }
    g_hash_table_iter_init(&iterator, controller->demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_demand *told = value;
        if (now - told->at < DEMAND_STALE) {
            add_loads(controller, duty, told);
        }
    }
}

/* ---- from holder to holder; lock held ---- */

/* Whether a node's word is to be passed on: other holders have it from nobody
 * else. */
static bool
is_passed(const struct node_demand *told, int64_t now)
{
    return !told->collected && told->data_centre == 0 &&
           now - told->at < DEMAND_PASSED;
}

/* What all nodes that tell this one ask for, in all. */
static void
collect_models(struct ch_controller *controller, GArray *out, int64_t now)
{
    GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (is_passed(value, now)) {
            add_models(sums, value);
        }
    }
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct smoothed *sum = value;
        const struct ch_model_demand model = {
            .model = GPOINTER_TO_UINT(key),
            .work = (uint32_t)(sum->work * 1000),
            .backlog = (uint32_t)(sum->backlog * 1000),
        };
        g_array_append_val(out, model);
    }
    g_hash_table_destroy(sums);
}

/* Adds a node's load of one engine to that of the others. */
static void
merge_load(GHashTable *sums, const struct ch_engine_load *load)
{
    gpointer key = GUINT_TO_POINTER(load->upstream);
    struct ch_engine_load *sum = g_hash_table_lookup(sums, key);
    if (sum == NULL) {
        sum = g_new0(struct ch_engine_load, 1);
        sum->upstream = load->upstream;
        g_hash_table_insert(sums, key, sum);
    }
    sum->running += load->running;
    sum->unread += load->unread;
}

/* Whether an engine is ordered by that node, as far as is known here. */
static bool
is_ordered_by(struct ch_controller *controller,
              const struct controller_engine *engine, const char *holder)
{
    return engine != NULL &&
           g_strcmp0(controller_duty(controller, engine->data_centre)->holder,
                     holder) == 0;
}

/* What the nodes that tell this one have sent to a holder's engines. */
static void
collect_loads(struct ch_controller *controller, const char *holder,
              GArray *out, int64_t now)
{
    GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_demand *told = value;
        for (guint i = 0; is_passed(told, now) && i < told->loads->len; i++) {
            merge_load(sums,
                       &g_array_index(told->loads, struct ch_engine_load, i));
        }
    }
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ch_engine_load *sum = value;
        if (is_ordered_by(controller,
                          g_hash_table_lookup(controller->engines,
                                              GUINT_TO_POINTER(sum->upstream)),
                          holder)) {
            g_array_append_val(out, *sum);
        }
    }
    g_hash_table_destroy(sums);
}

/* Takes out the adapters in use on a holder's engines. */
static void
collect_used(struct ch_controller *controller, const char *holder,
             GPtrArray *out)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, controller->used);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *adapter = NULL;
        if (is_ordered_by(controller, engine_of(controller, key, &adapter),
                          holder)) {
            g_ptr_array_add(out, g_strdup(key));
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Tells other holders, near or far, the sum of what this one was told. */
static void
pass_on(struct ch_controller *controller, bool near, int64_t now)
{
    GPtrArray *holders = controller_other_holders(controller, near, now);
    struct demand_lists sums = lists_new();
    collect_models(controller, sums.models, now);
    for (guint i = 0; i < holders->len; i++) {
        const char *holder = g_ptr_array_index(holders, i);
        g_array_set_size(sums.loads, 0);
        g_ptr_array_set_size(sums.used, 0);
        collect_loads(controller, holder, sums.loads, now);
        collect_used(controller, holder, sums.used);
        send_lists(controller, &sums, holder, true);
    }
    lists_clear(&sums);
    g_ptr_array_free(holders, TRUE);
}

/* Passes on what is due.  What nobody takes is not kept for ever. */
static void
pass_due(struct ch_controller *controller, int64_t now)
{
    g_hash_table_foreach_remove(controller->demands, is_stale, &now);
    if (!controller_holds_any(controller)) {
        g_hash_table_remove_all(controller->used);
        return;
    }
    pass_on(controller, true, now);
    if (now >= controller->next_demand_far) {
        controller->next_demand_far = now + DEMAND_PERIOD_FAR;
        pass_on(controller, false, now);
        g_hash_table_remove_all(controller->used);
    }
}

/* ---- the whole ---- */

/* See controller_internal.h. */
void
controller_demand_step(struct ch_controller *controller)
{
    int64_t now = ch_client_now(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    bool due = now >= controller->next_demand;
    if (due) {
        controller->next_demand = now + DEMAND_PERIOD;
        pass_due(controller, now);
    }
    pthread_mutex_unlock(&controller->lock);
    if (due) {
        tell_own(controller, now);
    }
}

/* See controller_internal.h. */
void
controller_demand_init(struct ch_controller *controller)
{
    controller->demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_demand);
    controller->used =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ch_peers_handle(controller->node->peers, WIRE(FRAME__BODY_DEMAND),
                    handle_demand, controller);
}
