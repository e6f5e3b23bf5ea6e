/*
 * Demand of requests: each node reports its own to the lease holder that
 * publishes engine states to it, and lease holders send one another the sum of
 * what their nodes reported.
 */

#include "node/controller_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* A report of demand is valid for this long: nodes and local holders send
     * one ten times a second. */
    DEMAND_VALID_US = 2 * 1000 * 1000,
    /* A report is forwarded for this long only, so that a node that now
     * reports to another holder is not counted twice for long. */
    DEMAND_FORWARD_US = 1000 * 1000,
    DEMAND_PERIOD_US = 100 * 1000,
    /* Between regions, whose link is charged by volume. */
    REMOTE_DEMAND_PERIOD_US = 500 * 1000,
};

/* ---- lists sent in messages ---- */

/* Demand for models, load of engines, and adapters in use. */
struct demand_lists {
    GArray *models;  /* struct ch_model_demand */
    GArray *loads;   /* struct ch_engine_load */
    GPtrArray *used; /* "UPSTREAM MODEL/ADAPTER", new strings */
};

static struct demand_lists
lists_new(void)
{
    return (struct demand_lists){
        .models = g_array_new(FALSE, FALSE, sizeof(struct ch_model_demand)),
        .loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load)),
        .used = g_ptr_array_new_with_free_func(g_free),
    };
}

static void
lists_clear(const struct demand_lists *lists)
{
    g_array_free(lists->models, TRUE);
    g_array_free(lists->loads, TRUE);
    g_ptr_array_free(lists->used, TRUE);
}

/* Fills in the models of a message; the caller frees the arrays, not the
 * names. */
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
        demand->work[i] = model->engine_ms_per_s;
        demand->backlog[i] = model->backlog_ms;
    }
}

/* Fills in the engine loads of a message; the caller frees demand->loads and
 * demand->loads[0]. */
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
        rows[i].unread_ms = (uint32_t)(load->prefill_backlog / 1000);
        demand->loads[i] = &rows[i];
    }
}

/* Sends lists to a lease holder; is_sum: they sum the reports of other nodes.
 */
static void
send_lists(struct ch_controller *controller, const struct demand_lists *lists,
           const char *holder, bool is_sum)
{
    Chestnuthitch__Wire__Demand demand = WIRE(DEMAND__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    fill_models(lists->models, &demand);
    fill_loads(lists->loads, &demand);
    demand.n_used = lists->used->len;
    demand.used = (char **)lists->used->pdata;
    demand.collected = is_sum;
    frame.body_case = WIRE(FRAME__BODY_DEMAND);
    frame.demand = &demand;
    ch_peers_send(controller->node->peers, holder, &frame);
    g_free(demand.models);
    g_free(demand.work);
    g_free(demand.backlog);
    g_free(demand.loads[0]);
    g_free(demand.loads);
}

/* ---- demand of this node ---- */

/* Reports this node's demand to the lease holder that collects it. Lock not
 * held. */
static void
send_own_demand(struct ch_controller *controller, int64_t now)
{
    pthread_mutex_lock(&controller->lock);
    g_autofree char *holder = controller_find_publisher(controller, now);
    pthread_mutex_unlock(&controller->lock);
    struct demand_lists own = lists_new();
    controller->handlers->collect_demand(controller->data, own.models,
                                         own.loads);
    controller->handlers->collect_used_adapters(controller->data, own.used);
    if (holder != NULL) {
        send_lists(controller, &own, holder, false);
    }
    lists_clear(&own);
}

/* ---- received reports ---- */

static void
free_report(void *data)
{
    struct node_demand *report = data;
    g_array_free(report->models, TRUE);
    g_array_free(report->loads, TRUE);
    g_free(report);
}

/* For g_hash_table_foreach_remove; data is the current time. */
static gboolean
is_stale(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return *(int64_t *)data - ((struct node_demand *)value)->received_at >=
           DEMAND_VALID_US;
}

/* Replaces the sender's earlier report. Lock held. */
static void
store_demand(struct ch_controller *controller, const char *from,
             const Chestnuthitch__Wire__Demand *demand, int64_t now)
{
    struct node_demand *report = g_new0(struct node_demand, 1);
    report->received_at = now;
    report->is_sum = demand->collected;
    report->data_centre = demand->data_centre[0] == '\0'
                              ? 0
                              : g_quark_from_string(demand->data_centre);
    report->models = g_array_new(FALSE, FALSE, sizeof(struct ch_model_demand));
    for (size_t i = 0;
         i < demand->n_models && i < demand->n_work && i < demand->n_backlog;
         i++) {
        const struct ch_model_demand model = {
            .model = g_quark_from_string(demand->models[i]),
            .engine_ms_per_s = demand->work[i],
            .backlog_ms = demand->backlog[i],
        };
        g_array_append_val(report->models, model);
    }
    report->loads = g_array_new(FALSE, FALSE, sizeof(struct ch_engine_load));
    for (size_t i = 0; i < demand->n_loads; i++) {
        const struct ch_engine_load load = {
            .upstream = g_quark_from_string(demand->loads[i]->upstream),
            .running = demand->loads[i]->running,
            .prefill_backlog = (int64_t)demand->loads[i]->unread_ms * 1000,
        };
        g_array_append_val(report->loads, load);
    }
    g_hash_table_replace(controller->node_demands,
                         g_strdup_printf("%s %d %s", from, demand->collected,
                                         demand->data_centre),
                         report);
}

/* Finds the engine of a text "UPSTREAM MODEL/ADAPTER", or NULL; *adapter is
 * set to the rest of the text. Lock held. */
static struct controller_engine *
find_used_engine(const struct ch_controller *controller, const char *text,
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

/* Records that an adapter is in use, and queues that to be forwarded to the
 * lease holder of its engine. Lock held. */
static void
record_used_adapter(struct ch_controller *controller, const char *text,
                    bool is_sum, int64_t now)
{
    const char *name = NULL;
    struct controller_engine *engine =
        find_used_engine(controller, text, &name);
    if (engine == NULL) {
        return;
    }
    GQuark adapter = g_quark_try_string(name);
    struct item *item =
        adapter == 0 ? NULL : engine_find_item(engine, adapter);
    if (item != NULL) {
        item->last_used_at = now;
    }
    if (!is_sum && !controller_holds_lease(controller_get_centre(
                       controller, engine->data_centre))) {
        g_hash_table_add(controller->used_adapters, g_strdup(text));
    }
}

/* Handles a report of demand from a node or from another lease holder. */
static void
handle_demand(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct ch_controller *controller = data;
    const Chestnuthitch__Wire__Demand *demand = frame->demand;
    int64_t now = ch_client_get_time(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    store_demand(controller, frame->from, demand, now);
    for (size_t i = 0; i < demand->n_used; i++) {
        record_used_adapter(
            controller, demand->used[i],
            demand->collected || demand->data_centre[0] != '\0', now);
    }
    pthread_mutex_unlock(&controller->lock);
}

/* ---- sums; lock held ---- */

/* Adds one report's demand to the sums. */
static void
add_models(GHashTable *sums, const struct node_demand *report)
{
    for (guint i = 0; i < report->models->len; i++) {
        const struct ch_model_demand *model =
            &g_array_index(report->models, struct ch_model_demand, i);
        gpointer key = GUINT_TO_POINTER(model->model);
        struct fleet_demand *sum = g_hash_table_lookup(sums, key);
        if (sum == NULL) {
            sum = g_new0(struct fleet_demand, 1);
            g_hash_table_insert(sums, key, sum);
        }
        sum->demand += model->engine_ms_per_s / 1000.0;
        sum->backlog_s += model->backlog_ms / 1000.0;
    }
}

/* See controller_internal.h. */
GHashTable *
controller_sum_demands(struct ch_controller *controller,
                       const struct centre_state *centre, int64_t now)
{
    GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->node_demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_demand *report = value;
        if (now - report->received_at < DEMAND_VALID_US &&
            (report->data_centre == 0 ||
             report->data_centre == centre->data_centre)) {
            add_models(sums, report);
        }
    }
    return sums;
}

/* Adds one report's loads to the engines of a data centre. */
static void
add_loads(struct ch_controller *controller, const struct centre_state *centre,
          const struct node_demand *report)
{
    for (guint i = 0; i < report->loads->len; i++) {
        const struct ch_engine_load *load =
            &g_array_index(report->loads, struct ch_engine_load, i);
        struct controller_engine *engine = g_hash_table_lookup(
            controller->engines, GUINT_TO_POINTER(load->upstream));
        if (engine != NULL && engine->data_centre == centre->data_centre) {
            engine->total_running += load->running;
            engine->total_prefill_backlog += load->prefill_backlog;
        }
    }
}

/* See controller_internal.h. */
void
controller_sum_loads(struct ch_controller *controller,
                     const struct centre_state *centre, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct controller_engine *engine = value;
        if (engine->data_centre == centre->data_centre) {
            engine->total_running = 0;
            engine->total_prefill_backlog = 0;
        }
    }
    g_hash_table_iter_init(&iterator, controller->node_demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_demand *report = value;
        if (now - report->received_at < DEMAND_VALID_US) {
            add_loads(controller, centre, report);
        }
    }
}

/* ---- forwarding between lease holders; lock held ---- */

/* Whether to forward a report: other lease holders get it from this node
 * alone. */
static bool
should_forward(const struct node_demand *report, int64_t now)
{
    return !report->is_sum && report->data_centre == 0 &&
           now - report->received_at < DEMAND_FORWARD_US;
}

/* Appends the summed demand of all nodes that report to this one. */
static void
collect_models(struct ch_controller *controller, GArray *out, int64_t now)
{
    GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->node_demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (should_forward(value, now)) {
            add_models(sums, value);
        }
    }
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct fleet_demand *sum = value;
        const struct ch_model_demand model = {
            .model = GPOINTER_TO_UINT(key),
            .engine_ms_per_s = (uint32_t)(sum->demand * 1000),
            .backlog_ms = (uint32_t)(sum->backlog_s * 1000),
        };
        g_array_append_val(out, model);
    }
    g_hash_table_destroy(sums);
}

/* Adds a node's load of one engine to the sum of the nodes. */
static void
add_engine_load(GHashTable *sums, const struct ch_engine_load *load)
{
    gpointer key = GUINT_TO_POINTER(load->upstream);
    struct ch_engine_load *sum = g_hash_table_lookup(sums, key);
    if (sum == NULL) {
        sum = g_new0(struct ch_engine_load, 1);
        sum->upstream = load->upstream;
        g_hash_table_insert(sums, key, sum);
    }
    sum->running += load->running;
    sum->prefill_backlog += load->prefill_backlog;
}

/* Whether that node holds the lease to order the engine, as far as is known
 * here. */
static bool
is_controlled_by(struct ch_controller *controller,
                 const struct controller_engine *engine, const char *holder)
{
    return engine != NULL &&
           g_strcmp0(
               controller_get_centre(controller, engine->data_centre)->holder,
               holder) == 0;
}

/* Appends the summed loads that the nodes reporting to this one have sent to a
 * lease holder's engines. */
static void
collect_loads(struct ch_controller *controller, const char *holder,
              GArray *out, int64_t now)
{
    GHashTable *sums = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, controller->node_demands);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_demand *report = value;
        for (guint i = 0;
             should_forward(report, now) && i < report->loads->len; i++) {
            add_engine_load(
                sums, &g_array_index(report->loads, struct ch_engine_load, i));
        }
    }
    g_hash_table_iter_init(&iterator, sums);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ch_engine_load *sum = value;
        if (is_controlled_by(
                controller,
                g_hash_table_lookup(controller->engines,
                                    GUINT_TO_POINTER(sum->upstream)),
                holder)) {
            g_array_append_val(out, *sum);
        }
    }
    g_hash_table_destroy(sums);
}

/* Moves the adapters in use on a lease holder's engines to a list. */
static void
collect_used(struct ch_controller *controller, const char *holder,
             GPtrArray *out)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, controller->used_adapters);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const char *adapter = NULL;
        if (is_controlled_by(controller,
                             find_used_engine(controller, key, &adapter),
                             holder)) {
            g_ptr_array_add(out, g_strdup(key));
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Sends other lease holders, of this region or of others, the sum of what
 * nodes reported to this one. */
static void
forward_demand(struct ch_controller *controller, bool near, int64_t now)
{
    GPtrArray *holders = controller_list_other_holders(controller, near, now);
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

/* Forwards what is due. Adapters in use that no lease holder took are dropped,
 * so that they do not pile up. */
static void
forward_due_demand(struct ch_controller *controller, int64_t now)
{
    g_hash_table_foreach_remove(controller->node_demands, is_stale, &now);
    if (!controller_holds_any_lease(controller)) {
        g_hash_table_remove_all(controller->used_adapters);
        return;
    }
    forward_demand(controller, true, now);
    if (now >= controller->next_remote_demand_at) {
        controller->next_remote_demand_at = now + REMOTE_DEMAND_PERIOD_US;
        forward_demand(controller, false, now);
        g_hash_table_remove_all(controller->used_adapters);
    }
}

/* ---- periodic work ---- */

/* See controller_internal.h. */
void
controller_send_demand(struct ch_controller *controller)
{
    int64_t now = ch_client_get_time(controller->node->client);
    pthread_mutex_lock(&controller->lock);
    bool due = now >= controller->next_demand_at;
    if (due) {
        controller->next_demand_at = now + DEMAND_PERIOD_US;
        forward_due_demand(controller, now);
    }
    pthread_mutex_unlock(&controller->lock);
    if (due) {
        send_own_demand(controller, now);
    }
}

/* See controller_internal.h. */
void
controller_demand_init(struct ch_controller *controller)
{
    controller->node_demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_report);
    controller->used_adapters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ch_peers_set_handler(controller->node->peers, WIRE(FRAME__BODY_DEMAND),
                         handle_demand, controller);
}
