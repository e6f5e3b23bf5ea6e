/* One engine: the items it holds, the next order, and its reports. */

#include "decide/publisher.h"
#include "node/controller_internal.h"
#include "node/limit_manager.h"
#include "node/path_manager.h"

#include <string.h>

enum {
    /* A report may be some hundred milliseconds old: one requested this long
     * after an order was sent shows whether the engine accepted that order. */
    REPORT_SETTLE_US = 700 * 1000,
    /* Between reports, while the engine changes its models and otherwise. */
    REPORT_PERIOD_CHANGING_US = 300 * 1000,
    REPORT_PERIOD_US = 1000 * 1000,
    /* Of an engine with a limit, against which its reports count. */
    REPORT_PERIOD_LIMITED_US = 10 * 1000 * 1000,
    /* Delay after an order that the engine refused because of another one. */
    REFUSED_ORDER_DELAY_US = 250 * 1000,
    /* Delay after the worker could not be reached, or another worker answered
     * at its address. */
    UNREACHABLE_DELAY_US = 1000 * 1000,
    /* Time from acceptance of the order until an adapter is loaded: 6 to 19
     * ms, and a little for the order to begin. */
    ADAPTER_LOAD_US = 30 * 1000,
    /* An adapter requested within this time is not unloaded for another: its
     * request may be in flight. */
    ADAPTER_IN_USE_US = 1500 * 1000,
};

/* ---- configuration ---- */

/* The declaration of the engine's service, or NULL; the caller unrefs *config.
 */
static const struct ch_service *
find_service(const struct controller_engine *engine, struct ch_config **config)
{
    *config = ch_config_manager_get_current(engine->controller->node->config);
    if (*config == NULL) {
        return NULL;
    }
    int index = ch_declaration_find_service(
        (*config)->declaration, g_quark_to_string(engine->service));
    return index < 0 ? NULL : &(*config)->declaration->services[index];
}

/* See controller_internal.h. */
uint32_t
engine_get_memory_mb(const struct controller_engine *engine)
{
    struct ch_config *config = NULL;
    const struct ch_service *service = find_service(engine, &config);
    uint32_t memory_mb = service == NULL ? 0 : service->memory_mb;
    ch_config_unref(config);
    return memory_mb;
}

/* See controller_internal.h. */
uint32_t
engine_get_adapter_slots(const struct controller_engine *engine)
{
    struct ch_config *config = NULL;
    const struct ch_service *service = find_service(engine, &config);
    uint32_t slots = service == NULL ? 0 : service->adapter_slots;
    ch_config_unref(config);
    return slots;
}

/* See controller_internal.h. */
uint32_t
engine_get_adapter_reserve_mb(const struct controller_engine *engine,
                              uint32_t adapter_mb)
{
    return engine_get_adapter_slots(engine) * adapter_mb;
}

/* The memory of a model or adapter in MB in a configuration; 0: unknown. */
static uint32_t
find_memory_mb(const struct ch_declaration *declaration, const char *name)
{
    size_t length = strcspn(name, "/");
    char *model = g_strndup(name, length);
    int index = ch_declaration_find_model(declaration, model);
    g_free(model);
    if (index < 0) {
        return 0;
    }
    return name[length] == '/' ? declaration->models[index].adapter_memory_mb
                               : declaration->models[index].memory_mb;
}

/* See controller_internal.h. */
uint32_t
controller_get_memory_mb(struct ch_controller *controller, GQuark name)
{
    struct ch_config *config =
        ch_config_manager_get_current(controller->node->config);
    uint32_t memory_mb = 0;
    if (config != NULL) {
        memory_mb =
            find_memory_mb(config->declaration, g_quark_to_string(name));
        ch_config_unref(config);
    }
    return memory_mb;
}

/* See controller_internal.h. */
GQuark
controller_get_adapter_model(GQuark name)
{
    const char *text = g_quark_to_string(name);
    const char *slash = strchr(text, '/');
    if (slash == NULL) {
        return 0;
    }
    g_autofree char *model = g_strndup(text, (size_t)(slash - text));
    return g_quark_from_string(model);
}

/* ---- items ---- */

static void
free_waiters(struct item *item)
{
    for (guint i = 0; item->waiters != NULL && i < item->waiters->len; i++) {
        g_free(g_array_index(item->waiters, struct adapter_waiter, i).from);
    }
    if (item->waiters != NULL) {
        g_array_free(item->waiters, TRUE);
    }
    item->waiters = NULL;
}

/* For g_array_set_clear_func(). */
static void
clear_item(void *data)
{
    free_waiters(data);
}

/* See controller_internal.h. */
struct item *
engine_find_item(struct controller_engine *engine, GQuark name)
{
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->name == name) {
            return item;
        }
    }
    return NULL;
}

/* See controller_internal.h. */
struct item *
engine_add_item(struct controller_engine *engine, GQuark name, GQuark model,
                enum ch_item_state state, int64_t now)
{
    const struct item item = {
        .name = name,
        .model = model,
        .state = state,
        .changed_at = now,
        .last_used_at = now,
    };
    g_array_append_val(engine->items, item);
    return &g_array_index(engine->items, struct item, engine->items->len - 1);
}

/* Sends the reply to all waiters of an item. */
static void
reply_waiters(struct controller_engine *engine, struct item *item,
              enum ch_code code)
{
    for (guint i = 0; item->waiters != NULL && i < item->waiters->len; i++) {
        controller_reply_waiter(
            engine->controller,
            &g_array_index(item->waiters, struct adapter_waiter, i), code);
    }
    free_waiters(item);
}

/* Removes an item; its waiters get CH_NO_UPSTREAM. */
static void
remove_item(struct controller_engine *engine, GQuark name)
{
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->name == name) {
            reply_waiters(engine, item, CH_NO_UPSTREAM);
            g_array_remove_index(engine->items, i);
            engine->unpublished = ALL_AUDIENCES;
            return;
        }
    }
}

/* See controller_internal.h. */
void
engine_fail_waiters(struct controller_engine *engine, enum ch_code code)
{
    for (guint i = 0; i < engine->items->len; i++) {
        reply_waiters(engine, &g_array_index(engine->items, struct item, i),
                      code);
    }
}

/* Sets the state of an item; a new state has no accepted order yet. */
static void
set_state(struct controller_engine *engine, struct item *item,
          enum ch_item_state state, int64_t now)
{
    if (item->state != state) {
        item->state = state;
        item->changed_at = now;
        item->accepted = false;
        engine->unpublished = ALL_AUDIENCES;
    }
}

/* ---- life cycle ---- */

/* See controller_internal.h. */
struct controller_engine *
engine_new(struct ch_controller *controller, const struct ch_host *host)
{
    struct ch_node *node = controller->node;
    struct controller_engine *engine = g_new0(struct controller_engine, 1);
    engine->controller = controller;
    engine->references = 1;
    engine->name = g_quark_from_string(host->name);
    engine->unpublished = ALL_AUDIENCES;
    engine->address = g_strdup(host->address);
    engine->client = node->dialect->upstream_new(
        node->client, node->http, host, CH_CONTROLLER_CALL_TIMEOUT_US);
    engine->client->limit_listener = ch_limit_manager_get_listener(
        node->limits, engine->name, g_quark_from_string(host->region));
    engine->client->path_listener =
        ch_path_manager_get_listener(node->paths, host);
    engine->client->notice_listener = ch_notices_get_listener(
        node->notices, engine->name, g_quark_from_string(host->region));
    engine->client->pace_listener =
        ch_pace_get_listener(node->pace, engine->name);
    engine->items = g_array_new(FALSE, FALSE, sizeof(struct item));
    engine->local_copies = g_array_new(FALSE, FALSE, sizeof(GQuark));
    g_array_set_clear_func(engine->items, clear_item);
    return engine;
}

/* See controller_internal.h. */
void
engine_unref(struct controller_engine *engine)
{
    if (--engine->references > 0) {
        return;
    }
    engine->client->ops->free(engine->client);
    g_array_free(engine->items, TRUE);
    g_array_free(engine->local_copies, TRUE);
    g_free(engine->address);
    g_free(engine);
}

/* Adds resident items that are not known yet. */
static void
add_resident_items(struct controller_engine *engine, char **names, int64_t now)
{
    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        GQuark name = g_quark_from_string(names[i]);
        if (engine_find_item(engine, name) == NULL) {
            engine_add_item(engine, name, controller_get_adapter_model(name),
                            CH_ITEM_RESIDENT, now);
        }
    }
}

/* Discards what an earlier process of the engine held. */
static void
reset_engine(struct controller_engine *engine, int64_t now)
{
    engine_fail_waiters(engine, CH_NO_UPSTREAM);
    g_array_set_size(engine->items, 0);
    engine->orders_taken = 0;
    engine->state_known = false;
    engine->from_peer = false;
    engine->order_outcome_unknown = false;
    engine->next_report_at = now;
    engine->unpublished = ALL_AUDIENCES;
}

/*
 * See controller_internal.h. The host list lags: a report is the first to show
 * that an engine has restarted, and by the time the list shows it the engine
 * has accepted orders. If the list entry discarded those, the engine would be
 * loaded beyond its memory. So the list entry of a restart that a report has
 * shown changes only the boot ID.
 */
void
engine_apply_host(struct controller_engine *engine, const struct ch_host *host,
                  int64_t now)
{
    if (host->boot_id > engine->boot_id && engine->restart_reported) {
        engine->boot_id = host->boot_id;
        engine->restart_reported = false;
    }
    else if (host->boot_id > engine->boot_id || engine->boot_id == 0) {
        reset_engine(engine, now);
        engine->boot_id = host->boot_id;
        add_resident_items(engine, host->resident_items, now);
    }
    engine->listed = true;
    engine->draining = host->draining;
    engine->service = g_quark_from_string(host->service);
    engine->version_id = ch_version_get_id(host->version);
    engine->data_centre = g_quark_from_string(host->data_centre);
    g_array_set_size(engine->local_copies, 0);
    for (size_t i = 0;
         host->local_copies != NULL && host->local_copies[i] != NULL; i++) {
        GQuark copy = g_quark_from_string(host->local_copies[i]);
        g_array_append_val(engine->local_copies, copy);
    }
}

/* ---- orders ---- */

struct order_job {
    struct ch_controller *controller;
    struct controller_engine *engine;
    uint64_t boot;
    enum ch_code code;
    int64_t retry_after; /* of an order that was not sent */
};

/* Counts an accepted order in the metrics. */
static void
count_order(const struct controller_engine *engine, const struct item *item,
            enum ch_order_action action)
{
    struct ch_metrics *metrics = engine->controller->node->client->metrics;
    enum ch_counter counter = CH_COUNT_ADAPTER_LOADS;
    if (item->model == 0) {
        counter = action == CH_ORDER_LOAD ? CH_COUNT_MODEL_LOADS
                                          : CH_COUNT_MODEL_UNLOADS;
    }
    else if (action == CH_ORDER_UNLOAD) {
        return;
    }
    ch_metrics_add_count(metrics, counter, 1);
}

/* Ends a job, which may free the engine. Lock held. */
static void
end_job(struct ch_controller *controller, struct controller_engine *engine)
{
    engine_unref(engine);
    controller->jobs--;
    pthread_cond_broadcast(&controller->idle);
}

/* Marks adapters as resident when their load time has passed. Runs on the
 * pool. */
static void
finish_adapter_loads(void *data)
{
    struct order_job *job = data;
    struct ch_controller *controller = job->controller;
    struct controller_engine *engine = job->engine;
    pthread_mutex_lock(&controller->lock);
    int64_t now = ch_client_get_time(controller->node->client);
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->model != 0 && item->state == CH_ITEM_LOADING &&
            item->accepted && now - item->changed_at >= ADAPTER_LOAD_US) {
            set_state(engine, item, CH_ITEM_RESIDENT, now);
            reply_waiters(engine, item, CH_OK);
        }
    }
    end_job(controller, engine);
    pthread_mutex_unlock(&controller->lock);
    g_free(job);
}

/* Schedules finish_adapter_loads() for when the adapter is loaded. */
static void
schedule_adapter_ready(struct controller_engine *engine)
{
    struct ch_controller *controller = engine->controller;
    struct order_job *job = g_new0(struct order_job, 1);
    job->controller = controller;
    job->engine = engine;
    engine->references++;
    controller->jobs++;
    ch_timers_add(controller->node->timers, ADAPTER_LOAD_US + 1000,
                  finish_adapter_loads, job);
}

/* Handles an order that the engine accepted. */
static void
handle_accepted_order(struct controller_engine *engine, struct item *item,
                      int64_t now)
{
    engine->orders_taken++;
    count_order(engine, item, engine->order_action);
    item->accepted = true;
    item->changed_at = now;
    engine->next_report_at = now + REPORT_PERIOD_CHANGING_US;
    if (item->model != 0 && engine->order_action == CH_ORDER_LOAD) {
        schedule_adapter_ready(engine);
    }
}

/* Handles an order whose result the engine already has. An unused adapter is
 * unloaded at once, which counts as an accepted order; other items that
 * already were as ordered do not count. If this count is wrong, the engine
 * refuses the next order, and its report corrects the count. */
static void
handle_fulfilled_order(struct controller_engine *engine, struct item *item,
                       int64_t now)
{
    if (engine->order_action == CH_ORDER_UNLOAD) {
        engine->orders_taken += item->model != 0 ? 1 : 0;
        remove_item(engine, item->name);
        return;
    }
    set_state(engine, item, CH_ITEM_RESIDENT, now);
    reply_waiters(engine, item, CH_OK);
}

/* Handles a refused order, after which an adapter that was to be unloaded for
 * another stays resident. */
static void
handle_refused_order(struct controller_engine *engine, struct item *item,
                     int64_t now)
{
    if (item != NULL && item->model != 0 &&
        engine->order_action == CH_ORDER_UNLOAD) {
        set_state(engine, item, CH_ITEM_RESIDENT, now);
        item->last_used_at = now;
    }
}

/* Counts a load whose order got no reply as started now: the engine may still
 * execute the order, and so start the load this late. */
static void
count_delayed_load(struct controller_engine *engine, int64_t now)
{
    struct item *item = engine_find_item(engine, engine->order_item);
    struct centre_state *centre =
        controller_get_centre(engine->controller, engine->data_centre);
    if (item == NULL || !item->from_store ||
        engine->order_action != CH_ORDER_LOAD) {
        return;
    }
    if (!ch_window_start_reserved(&centre->load_window,
                                  centre->max_loads_in_window,
                                  item->load_started_at, now)) {
        ch_window_record_start(&centre->load_window, now);
    }
    item->load_started_at = now;
}

/* Handles an order that was not sent: the engine's limit does not permit it,
 * or the lease is not held any more. */
static void
handle_unsent_order(struct controller_engine *engine, int64_t retry_after,
                    int64_t now)
{
    engine->orders_blocked_until = now + retry_after;
    engine_fail_waiters(engine, CH_NO_UPSTREAM);
}

/* Handles an order that was refused or whose outcome is unknown. */
static void
handle_failed_order(struct controller_engine *engine, enum ch_code code,
                    int64_t now)
{
    engine->state_known = false;
    switch (code) {
    case CH_UPSTREAM_REFUSED:
        engine->orders_blocked_until = now + REFUSED_ORDER_DELAY_US;
        break;
    case CH_NO_UPSTREAM:
    case CH_UPSTREAM_CONNECT:
        engine->orders_blocked_until = now + UNREACHABLE_DELAY_US;
        engine_fail_waiters(engine, CH_NO_UPSTREAM);
        break;
    default:
        engine->order_outcome_unknown = true;
        engine->orders_blocked_until = now + REPORT_SETTLE_US;
        count_delayed_load(engine, now);
        break;
    }
    engine->next_report_at = engine->orders_blocked_until;
}

/* Handles the result of an order, and sends the next one. */
static void
handle_order_result(struct order_job *job, int64_t now)
{
    struct controller_engine *engine = job->engine;
    struct item *item = engine_find_item(engine, engine->order_item);
    struct centre_state *centre =
        controller_get_centre(job->controller, engine->data_centre);
    engine->order_in_flight = false;
    if (job->boot != engine->boot_id) {
        return;
    }
    if (job->code == CH_STALE_FENCE) {
        ch_metrics_add_count(job->controller->node->client->metrics,
                             CH_COUNT_ORDERS_REFUSED, 1);
        ch_lease_release(centre->lease, 0);
    }
    else if (job->code == CH_OK && item != NULL) {
        handle_accepted_order(engine, item, now);
    }
    else if (job->code == CH_ORDER_HOLDS && item != NULL) {
        handle_fulfilled_order(engine, item, now);
    }
    else if (job->code != CH_OK && job->code != CH_ORDER_HOLDS) {
        handle_refused_order(engine, item, now);
        if (job->code == CH_UPSTREAM_LIMITED ||
            job->code == CH_UPSTREAM_WAITS || job->code == CH_NOT_READY) {
            handle_unsent_order(engine, job->retry_after, now);
        }
        else {
            handle_failed_order(engine, job->code, now);
        }
    }
    engine_send_due(engine, centre, now);
}

/* Runs on the pool. */
static void
run_order_result(void *data)
{
    struct order_job *job = data;
    struct ch_controller *controller = job->controller;
    pthread_mutex_lock(&controller->lock);
    int64_t now = ch_client_get_time(controller->node->client);
    ch_log(controller->node->client, CH_LOG_INFO, "ordered",
           CH_F_STR("upstream", g_quark_to_string(job->engine->name)),
           CH_F_STR("item", g_quark_to_string(job->engine->order_item)),
           CH_F_STR("action", job->engine->order_action == CH_ORDER_LOAD
                                  ? "load"
                                  : "unload"),
           CH_F_INT("taken", job->engine->orders_taken),
           CH_F_INT("code", job->code),
           CH_F_INT("took_us", now - job->engine->last_order_at), CH_F_END);
    handle_order_result(job, now);
    end_job(controller, job->engine);
    pthread_mutex_unlock(&controller->lock);
    g_free(job);
}

/* Runs on the thread of the HTTP loop; hands the result to the pool. */
static void
submit_order_result(void *data, enum ch_code code)
{
    struct order_job *job = data;
    job->code = code;
    ch_pool_submit(job->controller->node->pool, run_order_result, job);
}

/* Sends the order of a job, if the lease is held at this very moment and the
 * engine is still the one that the order was meant for. False: nothing was
 * sent. */
static bool
dispatch_order(struct order_job *job, int64_t now)
{
    struct ch_controller *controller = job->controller;
    struct controller_engine *engine = job->engine;
    const struct centre_state *centre =
        controller_get_centre(controller, engine->data_centre);
    const struct item *item = engine_find_item(engine, engine->order_item);
    uint64_t fencing_token = 0;
    if (item == NULL || job->boot != engine->boot_id ||
        !ch_lease_is_held(centre->lease, &fencing_token)) {
        return false;
    }
    const char *name = g_quark_to_string(item->name);
    const char *slash = strchr(name, '/');
    engine->last_order_at = now;
    ch_metrics_add_count(controller->node->client->metrics, CH_COUNT_ORDERS,
                         1);
    struct ch_order order = {
        .fencing_token = fencing_token,
        .action = engine->order_action,
        .model = slash == NULL ? name : g_quark_to_string(item->model),
        .adapter = slash == NULL ? NULL : slash + 1,
        .expected_orders_taken = (int64_t)engine->orders_taken,
        .valid_until = ch_lease_get_end(centre->lease),
    };
    ch_notices_count_call(controller->node->notices, engine->name,
                          CH_NOTICES_ORDER);
    engine->client->ops->send_order(engine->client, &order,
                                    submit_order_result, job);
    return true;
}

/* The engine's limit permits an order, or not; on the pool. */
static void
handle_order_permission(void *data, bool granted, int64_t retry_after)
{
    struct order_job *job = data;
    struct ch_controller *controller = job->controller;
    int64_t wait =
        ch_notices_get_wait(controller->node->notices, job->engine->name);
    pthread_mutex_lock(&controller->lock);
    bool sent =
        granted && wait == 0 &&
        dispatch_order(job, ch_client_get_time(controller->node->client));
    pthread_mutex_unlock(&controller->lock);
    if (!sent) {
        job->code = granted && wait == 0 ? CH_NOT_READY : CH_UPSTREAM_LIMITED;
        job->retry_after = MAX(retry_after, wait);
        run_order_result(job);
    }
}

/* Sends an order, after permission if the engine has a limit. */
static void
send_order(struct controller_engine *engine, struct centre_state *centre,
           struct item *item, enum ch_order_action action, int64_t now)
{
    struct ch_controller *controller = engine->controller;
    struct ch_limit_manager *limits = controller->node->limits;
    uint64_t fencing_token = 0;
    if (!ch_lease_is_held(centre->lease, &fencing_token)) {
        return;
    }
    engine->order_in_flight = true;
    engine->order_item = item->name;
    engine->order_action = action;
    struct order_job *job = g_new0(struct order_job, 1);
    job->controller = controller;
    job->engine = engine;
    job->boot = engine->boot_id;
    engine->references++;
    controller->jobs++;
    job->retry_after =
        ch_notices_get_wait(controller->node->notices, engine->name);
    if (job->retry_after > 0) {
        submit_order_result(job, CH_UPSTREAM_WAITS);
        return;
    }
    if (ch_limit_manager_is_limited(limits, engine->name)) {
        ch_limit_manager_take(limits, engine->name, CH_LIMITED_ORDER, false,
                              handle_order_permission, job);
        return;
    }
    if (!dispatch_order(job, now)) {
        submit_order_result(job, CH_NOT_READY);
    }
}

/* See controller_internal.h. */
bool
engine_is_busy(const struct controller_engine *engine)
{
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        bool changing =
            item->state == CH_ITEM_LOADING || item->state == CH_ITEM_UNLOADING;
        bool blocks_others =
            item->model == 0 || item->state == CH_ITEM_UNLOADING;
        if (changing && blocks_others && item->accepted) {
            return true;
        }
    }
    return false;
}

/* ---- choice of the next order ---- */

/* Adapters that occupy a slot, or may. */
static uint32_t
count_adapter_slots(const struct controller_engine *engine)
{
    uint32_t count = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        bool uses_slot = item->state != CH_ITEM_LOADING || item->accepted;
        count += item->model != 0 && uses_slot ? 1 : 0;
    }
    return count;
}

/* Memory in MB that is in use, or may be. */
static uint64_t
sum_used_memory_mb(struct controller_engine *engine)
{
    uint64_t used_mb = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        if (item->state != CH_ITEM_LOADING || item->accepted) {
            used_mb +=
                controller_get_memory_mb(engine->controller, item->name);
        }
    }
    return used_mb;
}

/* The adapter to unload for another: the least recently requested, if not in
 * use lately; NULL: none. */
static struct item *
find_idle_adapter(struct controller_engine *engine, int64_t now)
{
    struct item *oldest = NULL;
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->model == 0 || item->state != CH_ITEM_RESIDENT ||
            now - item->last_used_at < ADAPTER_IN_USE_US) {
            continue;
        }
        if (oldest == NULL || item->last_used_at < oldest->last_used_at) {
            oldest = item;
        }
    }
    return oldest;
}

/* Whether the model of an adapter is resident. */
static bool
has_resident_model(struct controller_engine *engine, GQuark model)
{
    const struct item *item = engine_find_item(engine, model);
    return item != NULL && item->state == CH_ITEM_RESIDENT;
}

/* Orders an adapter, or the unload of another one to make space for it. True:
 * an order was sent. */
static bool
order_adapter(struct controller_engine *engine, struct centre_state *centre,
              struct item *item, int64_t now)
{
    uint32_t slots = engine_get_adapter_slots(engine);
    uint32_t memory_mb = engine_get_memory_mb(engine);
    bool fits = sum_used_memory_mb(engine) +
                    controller_get_memory_mb(engine->controller, item->name) <=
                memory_mb;
    if (count_adapter_slots(engine) < slots && fits) {
        send_order(engine, centre, item, CH_ORDER_LOAD, now);
        return true;
    }
    struct item *idle = find_idle_adapter(engine, now);
    if (idle == NULL) {
        remove_item(engine, item->name);
        return false;
    }
    set_state(engine, idle, CH_ITEM_UNLOADING, now);
    send_order(engine, centre, idle, CH_ORDER_UNLOAD, now);
    return true;
}

/* Orders a model; a load only once there is enough free memory and the weight
 * store allows it. True: an order was sent. */
static bool
order_model(struct controller_engine *engine, struct centre_state *centre,
            struct item *item, int64_t now)
{
    if (item->state == CH_ITEM_UNLOADING) {
        send_order(engine, centre, item, CH_ORDER_UNLOAD, now);
        return true;
    }
    uint64_t needed_mb =
        controller_get_memory_mb(engine->controller, item->name);
    if (needed_mb == 0 || sum_used_memory_mb(engine) + needed_mb >
                              engine_get_memory_mb(engine)) {
        return false;
    }
    if (item->from_store &&
        !ch_window_start_reserved(&centre->load_window,
                                  centre->max_loads_in_window,
                                  item->load_started_at, now)) {
        return false;
    }
    item->load_started_at = now;
    send_order(engine, centre, item, CH_ORDER_LOAD, now);
    return true;
}

/* Whether the order for an item may be sent now. */
static bool
is_due(const struct controller_engine *engine, const struct item *item,
       int64_t now)
{
    if (item->accepted || item->from_peer || now < item->next_order_at) {
        return false;
    }
    if (item->state == CH_ITEM_UNLOADING && item->model == 0) {
        return !ch_order_should_delay_unload(item->next_order_at,
                                             engine->waiting, now);
    }
    return item->state == CH_ITEM_LOADING || item->state == CH_ITEM_UNLOADING;
}

/* Sends the next order; adapters come first, as requests wait for them. */
static void
send_next_order(struct controller_engine *engine, struct centre_state *centre,
                int64_t now)
{
    for (int models = 0; models < 2; models++) {
        for (guint i = 0; i < engine->items->len; i++) {
            struct item *item = &g_array_index(engine->items, struct item, i);
            if (!is_due(engine, item, now) ||
                (item->model == 0) != (models == 1)) {
                continue;
            }
            if (item->model != 0 && !has_resident_model(engine, item->model)) {
                remove_item(engine, item->name);
                return;
            }
            bool sent = item->model != 0
                            ? order_adapter(engine, centre, item, now)
                            : order_model(engine, centre, item, now);
            if (sent || item->model != 0) {
                return;
            }
        }
    }
}

/* ---- reports ---- */

struct report_job {
    struct ch_controller *controller;
    struct controller_engine *engine;
    uint64_t boot;
    int64_t requested_at;
    struct ch_engine_report *report; /* NULL: none received */
};

/* Whether a report lists an item as resident. */
static bool
report_lists(const struct ch_engine_report *report, const char *name)
{
    for (size_t i = 0; i < report->resident_item_count; i++) {
        if (strcmp(report->resident_items[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Logs the end of a load or unload of a model that a report shows. */
static void
log_model_change(const struct controller_engine *engine,
                 const struct item *item, const char *event, int64_t now)
{
    if (item->model == 0) {
        ch_log(engine->controller->node->client, CH_LOG_INFO, event,
               CH_F_STR("upstream", g_quark_to_string(engine->name)),
               CH_F_STR("model", g_quark_to_string(item->name)),
               CH_F_INT("took_us", now - item->changed_at), CH_F_END);
    }
}

/* Updates one item from a report that counts the same orders as this node. */
static void
compare_item(struct controller_engine *engine, struct item *item,
             const struct report_job *job, int64_t now)
{
    const struct ch_report_comparison comparison = {
        .state = item->state,
        .accepted = item->accepted,
        .from_peer = item->from_peer,
        .listed = report_lists(job->report, g_quark_to_string(item->name)),
        .busy = job->report->order_in_progress,
        .changed_at = item->changed_at,
        .requested_at = job->requested_at,
    };
    switch (ch_order_evaluate_report(&comparison)) {
    case CH_REPORT_LOADED:
        log_model_change(engine, item, "model-loaded", now);
        set_state(engine, item, CH_ITEM_RESIDENT, now);
        reply_waiters(engine, item, CH_OK);
        break;
    case CH_REPORT_UNLOADED:
        log_model_change(engine, item, "model-unloaded", now);
        item->state = CH_ITEM_ABSENT;
        break;
    case CH_REPORT_LOST:
        item->state = CH_ITEM_ABSENT;
        break;
    case CH_REPORT_UNLOAD_FAILED:
        item->accepted = false;
        break;
    default:
        break;
    }
}

/* Updates all items from a report. */
static void
apply_resident_lists(struct controller_engine *engine,
                     const struct report_job *job, int64_t now)
{
    const struct ch_engine_report *report = job->report;
    char **names = g_new0(char *, report->resident_item_count + 1);
    for (guint i = 0; i < engine->items->len; i++) {
        compare_item(engine, &g_array_index(engine->items, struct item, i),
                     job, now);
    }
    for (guint i = engine->items->len; i > 0; i--) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i - 1);
        if (item->state == CH_ITEM_ABSENT) {
            remove_item(engine, item->name);
        }
    }
    for (size_t i = 0; i < report->resident_item_count; i++) {
        names[i] = report->resident_items[i].name;
    }
    guint old_count = engine->items->len;
    add_resident_items(engine, names, now);
    if (engine->items->len != old_count) {
        engine->unpublished = ALL_AUDIENCES;
    }
    g_free(names);
}

/* Handles a report. One that counts fewer orders than the engine has accepted
 * is older than those orders, and is not used for the items; if it was
 * requested long enough after the last order, it shows that the engine has
 * restarted. */
static void
apply_report(struct report_job *job, int64_t now)
{
    struct controller_engine *engine = job->engine;
    const struct ch_engine_report *report = job->report;
    engine->report_in_flight = false;
    if (report == NULL || job->boot != engine->boot_id) {
        return;
    }
    if (engine->boot_id != 0 && report->started > engine->boot_id) {
        /* The report precedes the list's entry of the restart. */
        reset_engine(engine, now);
        engine->boot_id = report->started;
    }
    engine->running = report->running;
    engine->waiting = report->waiting;
    bool settled =
        !engine->order_in_flight &&
        job->requested_at - engine->last_order_at >= REPORT_SETTLE_US;
    if (engine->order_in_flight ||
        (!settled && report->orders_taken != engine->orders_taken)) {
        return;
    }
    if (report->orders_taken < engine->orders_taken && !settled) {
        return;
    }
    if (report->orders_taken < engine->orders_taken) {
        reset_engine(engine, now);
        engine->restart_reported = true;
    }
    engine->orders_taken = report->orders_taken;
    engine->order_outcome_unknown = false;
    apply_resident_lists(engine, job, now);
    /* If an order of another node is in flight, what it loads is in no list
     * yet, and this node would load beyond the memory. Once that order is
     * done, a report shows its result; a report that is not busy and counts as
     * many orders as the engine expects next is complete. */
    engine->state_known = !report->order_in_progress || engine_is_busy(engine);
}

/* Runs on the pool. */
static void
run_report(void *data)
{
    struct report_job *job = data;
    struct ch_controller *controller = job->controller;
    pthread_mutex_lock(&controller->lock);
    int64_t now = ch_client_get_time(controller->node->client);
    apply_report(job, now);
    engine_send_due(
        job->engine,
        controller_get_centre(controller, job->engine->data_centre), now);
    end_job(controller, job->engine);
    pthread_mutex_unlock(&controller->lock);
    ch_engine_report_free(job->report);
    g_free(job);
}

/* Runs on the thread of the HTTP loop; hands the result to the pool. */
static void
submit_report(void *data, enum ch_code code, struct ch_engine_report *report)
{
    struct report_job *job = data;
    (void)code;
    job->report = report;
    ch_pool_submit(job->controller->node->pool, run_report, job);
}

/* Whether a model of the engine is being loaded or unloaded. */
static bool
is_changing(const struct controller_engine *engine)
{
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        if (item->model == 0 && item->state != CH_ITEM_RESIDENT) {
            return true;
        }
    }
    return false;
}

/* Whether requests run or wait at the engine. */
static bool
is_in_use(const struct controller_engine *engine)
{
    return engine->total_running > 0 || engine->running > 0 ||
           engine->waiting > 0;
}

/* Calls the engine for its report. */
static void
call_for_report(struct report_job *job)
{
    struct controller_engine *engine = job->engine;
    ch_notices_count_call(job->controller->node->notices, engine->name,
                          CH_NOTICES_REPORT);
    engine->client->ops->fetch_report(engine->client, submit_report, job);
}

/* The engine's limit permits a report, or not; on the pool. */
static void
handle_report_permission(void *data, bool granted, int64_t retry_after)
{
    struct report_job *job = data;
    struct ch_controller *controller = job->controller;
    struct controller_engine *engine = job->engine;
    int64_t wait =
        ch_notices_get_wait(controller->node->notices, engine->name);
    if (granted && wait == 0) {
        call_for_report(job);
        return;
    }
    pthread_mutex_lock(&controller->lock);
    engine->report_in_flight = false;
    engine->next_report_at =
        ch_client_get_time(controller->node->client) + MAX(retry_after, wait);
    end_job(controller, engine);
    pthread_mutex_unlock(&controller->lock);
    g_free(job);
}

/* Time until the next report of an engine. */
static int64_t
get_report_period(const struct controller_engine *engine,
                  const struct centre_state *centre, bool limited)
{
    if (is_changing(engine) || !engine->state_known) {
        return limited ? REPORT_PERIOD_US : REPORT_PERIOD_CHANGING_US;
    }
    if (limited) {
        return REPORT_PERIOD_LIMITED_US;
    }
    return is_in_use(engine) ? REPORT_PERIOD_US
                             : ch_publisher_get_report_period(
                                   REPORT_PERIOD_US, centre->engine_count);
}

/* Requests a report when one is due. */
static void
request_report(struct controller_engine *engine,
               const struct centre_state *centre, int64_t now)
{
    if (engine->report_in_flight || now < engine->next_report_at) {
        return;
    }
    struct ch_node *node = engine->controller->node;
    int64_t wait = ch_notices_get_wait(node->notices, engine->name);
    if (wait > 0) {
        engine->next_report_at = now + wait;
        return;
    }
    struct ch_limit_manager *limits = node->limits;
    bool limited = ch_limit_manager_is_limited(limits, engine->name);
    engine->report_in_flight = true;
    engine->next_report_at = now + get_report_period(engine, centre, limited);
    struct report_job *job = g_new0(struct report_job, 1);
    job->controller = engine->controller;
    job->engine = engine;
    job->boot = engine->boot_id;
    job->requested_at = now;
    engine->references++;
    engine->controller->jobs++;
    if (limited) {
        ch_limit_manager_take(limits, engine->name, CH_LIMITED_REPORT, false,
                              handle_report_permission, job);
        return;
    }
    call_for_report(job);
}

/* ---- entry points ---- */

/* See controller_internal.h. */
bool
engine_accepts_model_order(const struct controller_engine *engine, int64_t now)
{
    return engine->listed && engine->state_known &&
           !engine->order_outcome_unknown &&
           now >= engine->orders_blocked_until && !is_changing(engine);
}

/* Fails the waiters of adapters whose time is over. */
static void
expire_waiters(struct controller_engine *engine, int64_t now)
{
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->waiters != NULL && item->waiters->len > 0 &&
            g_array_index(item->waiters, struct adapter_waiter, 0).deadline <=
                now) {
            reply_waiters(engine, item, CH_PEER_TIMEOUT);
        }
    }
}

/* See controller_internal.h. */
void
engine_send_due(struct controller_engine *engine, struct centre_state *centre,
                int64_t now)
{
    uint64_t fencing_token = 0;
    if (engine->controller->stopping ||
        !ch_lease_is_held(centre->lease, &fencing_token)) {
        engine_fail_waiters(engine, CH_NOT_READY);
        return;
    }
    expire_waiters(engine, now);
    request_report(engine, centre, now);
    if (!engine->listed || engine->draining || engine->order_in_flight ||
        !engine->state_known || now < engine->orders_blocked_until ||
        engine_is_busy(engine)) {
        return;
    }
    send_next_order(engine, centre, now);
}

/* See controller_internal.h. */
void
engine_prepare_adapter(struct controller_engine *engine,
                       struct centre_state *centre, GQuark model,
                       GQuark adapter, const struct adapter_waiter *waiter,
                       int64_t now)
{
    struct item *item = engine_find_item(engine, adapter);
    if (item != NULL && item->state == CH_ITEM_RESIDENT) {
        item->last_used_at = now;
        controller_reply_waiter(engine->controller, waiter, CH_OK);
        return;
    }
    if (!has_resident_model(engine, model) || engine->draining ||
        engine_is_busy(engine) ||
        (item != NULL && item->state == CH_ITEM_UNLOADING)) {
        controller_reply_waiter(engine->controller, waiter, CH_NO_UPSTREAM);
        return;
    }
    if (item == NULL) {
        item = engine_add_item(engine, adapter, model, CH_ITEM_LOADING, now);
    }
    if (item->waiters == NULL) {
        item->waiters =
            g_array_new(FALSE, FALSE, sizeof(struct adapter_waiter));
    }
    g_array_append_val(item->waiters, *waiter);
    struct adapter_waiter *stored = &g_array_index(
        item->waiters, struct adapter_waiter, item->waiters->len - 1);
    stored->from = g_strdup(waiter->from);
    engine_send_due(engine, centre, now);
}
