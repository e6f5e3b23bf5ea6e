/* One engine under orders: what it holds, the order that is next, reports. */

#include "node/controller_internal.h"

#include <string.h>

enum {
    /* A report is as old as some hundred ms: one that was asked for this long
     * after an order was sent tells whether it was taken. */
    SETTLED = 700 * 1000,
    /* Between reports: while the engine changes its models, and else. */
    REPORT_CHANGING = 300 * 1000,
    REPORT_IDLE = 1000 * 1000,
    /* After an order that another one kept from being taken. */
    BUSY_PAUSE = 250 * 1000,
    /* After a worker that is not the one that was meant. */
    GONE_PAUSE = 1000 * 1000,
    /* An adapter is there after its order was taken: 6 to 19 ms, and a little
     * for the order to begin. */
    ADAPTER_LOAD = 30 * 1000,
    /* An adapter that was asked for this lately is not dropped for another:
     * its request may be on its way. */
    ADAPTER_RECENT = 1500 * 1000,
};

/* ---- facts ---- */

/* The declaration of the engine's service, or NULL; config is the caller's to
 * unref. */
static const struct ch_service *
service_of(const struct controller_engine *engine, struct ch_config **config)
{
    *config = ch_config_keeper_current(engine->controller->node->config);
    if (*config == NULL) {
        return NULL;
    }
    int index = ch_declaration_service((*config)->declaration,
                                       g_quark_to_string(engine->service));
    return index < 0 ? NULL : &(*config)->declaration->services[index];
}

/* See controller_internal.h. */
uint32_t
engine_memory(const struct controller_engine *engine)
{
    struct ch_config *config = NULL;
    const struct ch_service *service = service_of(engine, &config);
    uint32_t memory = service == NULL ? 0 : service->memory_mb;
    ch_config_unref(config);
    return memory;
}

/* See controller_internal.h. */
uint32_t
engine_adapter_places(const struct controller_engine *engine)
{
    struct ch_config *config = NULL;
    const struct ch_service *service = service_of(engine, &config);
    uint32_t places = service == NULL ? 0 : service->adapter_places;
    ch_config_unref(config);
    return places;
}

/* See controller_internal.h. */
uint32_t
engine_reserve(const struct controller_engine *engine, uint32_t adapter_mb)
{
    return engine_adapter_places(engine) * adapter_mb;
}

/* The memory of a model or adapter by a configuration. */
static uint32_t
memory_in(const struct ch_declaration *declaration, const char *name)
{
    size_t length = strcspn(name, "/");
    char *model = g_strndup(name, length);
    int index = ch_declaration_model(declaration, model);
    g_free(model);
    if (index < 0) {
        return 0;
    }
    return name[length] == '/' ? declaration->models[index].adapter_memory_mb
                               : declaration->models[index].memory_mb;
}

/* See controller_internal.h. */
uint32_t
controller_memory(struct ch_controller *controller, GQuark name)
{
    struct ch_config *config =
        ch_config_keeper_current(controller->node->config);
    uint32_t memory = 0;
    if (config != NULL) {
        memory = memory_in(config->declaration, g_quark_to_string(name));
        ch_config_unref(config);
    }
    return memory;
}

/* See controller_internal.h. */
GQuark
controller_model_of(GQuark name)
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

/* Frees what waits for an item. */
static void
free_waits(struct item *item)
{
    for (guint i = 0; item->waits != NULL && i < item->waits->len; i++) {
        g_free(g_array_index(item->waits, struct adapter_wait, i).from);
    }
    if (item->waits != NULL) {
        g_array_free(item->waits, TRUE);
    }
    item->waits = NULL;
}

/* For g_array_set_clear_func. */
static void
clear_item(void *data)
{
    free_waits(data);
}

/* See controller_internal.h. */
struct item *
engine_item(struct controller_engine *engine, GQuark name)
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
        .changed = now,
        .used = now,
    };
    g_array_append_val(engine->items, item);
    return &g_array_index(engine->items, struct item, engine->items->len - 1);
}

/* Answers all who wait for an item. */
static void
answer_waits(struct controller_engine *engine, struct item *item,
             enum ch_code code)
{
    for (guint i = 0; item->waits != NULL && i < item->waits->len; i++) {
        controller_answer(engine->controller,
                          &g_array_index(item->waits, struct adapter_wait, i),
                          code);
    }
    free_waits(item);
}

/* Takes an item away; who waits for it is told. */
static void
remove_item(struct controller_engine *engine, GQuark name)
{
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->name == name) {
            answer_waits(engine, item, CH_NO_UPSTREAM);
            g_array_remove_index(engine->items, i);
            engine->news = ALL_NEWS;
            return;
        }
    }
}

/* See controller_internal.h. */
void
engine_fail_waits(struct controller_engine *engine, enum ch_code code)
{
    for (guint i = 0; i < engine->items->len; i++) {
        answer_waits(engine, &g_array_index(engine->items, struct item, i),
                     code);
    }
}

/* Sets an item's state. */
static void
set_state(struct controller_engine *engine, struct item *item,
          enum ch_item_state state, int64_t now)
{
    if (item->state != state) {
        item->state = state;
        item->changed = now;
        item->ordered = false;
        engine->news = ALL_NEWS;
    }
}

/* ---- life ---- */

/* See controller_internal.h. */
struct controller_engine *
engine_new(struct ch_controller *controller, const struct ch_host *host)
{
    struct ch_node *node = controller->node;
    struct controller_engine *engine = g_new0(struct controller_engine, 1);
    engine->controller = controller;
    engine->references = 1;
    engine->name = g_quark_from_string(host->name);
    engine->news = ALL_NEWS;
    engine->address = g_strdup(host->address);
    engine->client = node->dialect->upstream_new(
        node->client, node->http, host, CH_CONTROLLER_CALL_LIMIT);
    engine->items = g_array_new(FALSE, FALSE, sizeof(struct item));
    engine->copies = g_array_new(FALSE, FALSE, sizeof(GQuark));
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
    g_array_free(engine->copies, TRUE);
    g_free(engine->address);
    g_free(engine);
}

/* Takes the names of what is resident, with all else unknown. */
static void
take_resident(struct controller_engine *engine, char **names, int64_t now)
{
    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        GQuark name = g_quark_from_string(names[i]);
        if (engine_item(engine, name) == NULL) {
            engine_add_item(engine, name, controller_model_of(name),
                            CH_ITEM_RESIDENT, now);
        }
    }
}

/* Forgets what an earlier process of the engine held. */
static void
start_anew(struct controller_engine *engine, int64_t now)
{
    engine_fail_waits(engine, CH_NO_UPSTREAM);
    g_array_set_size(engine->items, 0);
    engine->taken = 0;
    engine->known = false;
    engine->mirrored = false;
    engine->unsure = false;
    engine->report_at = now;
    engine->news = ALL_NEWS;
}

/*
 * See controller_internal.h.  The list lags: that an engine has started anew
 * is seen by its report first, and it has taken orders by the time that its
 * list entry says so.  Those would be forgotten with the entry, and the engine
 * loaded past its memory; so the entry of a start that was seen already
 * changes nothing but the name of the process.
 */
void
engine_listed(struct controller_engine *engine, const struct ch_host *host,
              int64_t now)
{
    if (host->boot > engine->boot && engine->restarted) {
        engine->boot = host->boot;
        engine->restarted = false;
    }
    else if (host->boot > engine->boot || engine->boot == 0) {
        start_anew(engine, now);
        engine->boot = host->boot;
        take_resident(engine, host->resident, now);
    }
    engine->listed = true;
    engine->leaving = host->leaving;
    engine->service = g_quark_from_string(host->service);
    engine->data_centre = g_quark_from_string(host->data_centre);
    g_array_set_size(engine->copies, 0);
    for (size_t i = 0; host->copies != NULL && host->copies[i] != NULL; i++) {
        GQuark copy = g_quark_from_string(host->copies[i]);
        g_array_append_val(engine->copies, copy);
    }
}

/* ---- orders ---- */

struct order_job {
    struct ch_controller *controller;
    struct controller_engine *engine;
    uint64_t boot;
    enum ch_code code;
};

/* Counts an order that was taken. */
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
    ch_metrics_count(metrics, counter, 1);
}

/* On the pool: an adapter's load has had its time. */
static void
adapter_ready(void *data)
{
    struct order_job *job = data;
    struct ch_controller *controller = job->controller;
    struct controller_engine *engine = job->engine;
    pthread_mutex_lock(&controller->lock);
    int64_t now = ch_client_now(controller->node->client);
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->model != 0 && item->state == CH_ITEM_LOADING &&
            item->ordered && now - item->changed >= ADAPTER_LOAD) {
            set_state(engine, item, CH_ITEM_RESIDENT, now);
            answer_waits(engine, item, CH_OK);
        }
    }
    engine_unref(engine);
    controller->jobs--;
    pthread_cond_broadcast(&controller->idle);
    pthread_mutex_unlock(&controller->lock);
    g_free(job);
}

/* Has adapter_ready() run when the adapter is there. */
static void
await_adapter(struct controller_engine *engine)
{
    struct ch_controller *controller = engine->controller;
    struct order_job *job = g_new0(struct order_job, 1);
    job->controller = controller;
    job->engine = engine;
    engine->references++;
    controller->jobs++;
    ch_timers_after(controller->node->timers, ADAPTER_LOAD + 1000,
                    adapter_ready, job);
}

/* The order was taken. */
static void
order_taken(struct controller_engine *engine, struct item *item, int64_t now)
{
    engine->taken++;
    count_order(engine, item, engine->ordered_action);
    item->ordered = true;
    item->changed = now;
    engine->report_at = now + REPORT_CHANGING;
    if (item->model != 0 && engine->ordered_action == CH_ORDER_LOAD) {
        await_adapter(engine);
    }
}

/* The engine is as ordered already.  An adapter that nobody uses goes at once,
 * which is an order taken; what was so before is none.  Should this count be
 * wrong, the next order is refused, and the report tells. */
static void
order_holds(struct controller_engine *engine, struct item *item, int64_t now)
{
    if (engine->ordered_action == CH_ORDER_UNLOAD) {
        engine->taken += item->model != 0 ? 1 : 0;
        remove_item(engine, item->name);
        return;
    }
    set_state(engine, item, CH_ITEM_RESIDENT, now);
    answer_waits(engine, item, CH_OK);
}

/* Another order is under way, or came before.  An adapter that was to go for
 * another stays. */
static void
order_refused(struct controller_engine *engine, struct item *item, int64_t now)
{
    if (item != NULL && item->model != 0 &&
        engine->ordered_action == CH_ORDER_UNLOAD) {
        set_state(engine, item, CH_ITEM_RESIDENT, now);
        item->used = now;
    }
}

/* An order without an answer may be carried out yet: a load counts as begun
 * no sooner than now. */
static void
count_late_load(struct controller_engine *engine, int64_t now)
{
    struct item *item = engine_item(engine, engine->ordered_item);
    struct duty *duty =
        controller_duty(engine->controller, engine->data_centre);
    if (item == NULL || !item->from_store ||
        engine->ordered_action != CH_ORDER_LOAD) {
        return;
    }
    if (!ch_window_start_reserved(&duty->loads, duty->most_loads,
                                  item->load_at, now)) {
        ch_window_record_start(&duty->loads, now);
    }
    item->load_at = now;
}

/* The order was not taken, or may have been. */
static void
order_failed(struct controller_engine *engine, enum ch_code code, int64_t now)
{
    engine->known = false;
    switch (code) {
    case CH_UPSTREAM_REFUSED:
        engine->quiet_until = now + BUSY_PAUSE;
        break;
    case CH_NO_UPSTREAM:
    case CH_UPSTREAM_CONNECT:
        engine->quiet_until = now + GONE_PAUSE;
        engine_fail_waits(engine, CH_NO_UPSTREAM);
        break;
    default:
        engine->unsure = true;
        engine->quiet_until = now + SETTLED;
        count_late_load(engine, now);
        break;
    }
    engine->report_at = engine->quiet_until;
}

/* Takes the answer to an order. */
static void
take_answer(struct order_job *job, int64_t now)
{
    struct controller_engine *engine = job->engine;
    struct item *item = engine_item(engine, engine->ordered_item);
    struct duty *duty = controller_duty(job->controller, engine->data_centre);
    engine->ordering = false;
    if (job->boot != engine->boot) {
        return;
    }
    if (job->code == CH_STALE_FENCE) {
        ch_metrics_count(job->controller->node->client->metrics,
                         CH_COUNT_ORDERS_REFUSED, 1);
        ch_claim_give_up(duty->claim, 0);
    }
    else if (job->code == CH_OK && item != NULL) {
        order_taken(engine, item, now);
    }
    else if (job->code == CH_ORDER_HOLDS && item != NULL) {
        order_holds(engine, item, now);
    }
    else if (job->code != CH_OK && job->code != CH_ORDER_HOLDS) {
        order_refused(engine, item, now);
        order_failed(engine, job->code, now);
    }
    engine_pump(engine, duty, now);
}

/* On the pool: an order's answer. */
static void
run_order_answer(void *data)
{
    struct order_job *job = data;
    struct ch_controller *controller = job->controller;
    pthread_mutex_lock(&controller->lock);
    int64_t now = ch_client_now(controller->node->client);
    ch_log(controller->node->client, CH_LOG_INFO, "ordered",
           CH_F_STR("upstream", g_quark_to_string(job->engine->name)),
           CH_F_STR("item", g_quark_to_string(job->engine->ordered_item)),
           CH_F_STR("action", job->engine->ordered_action == CH_ORDER_LOAD
                                  ? "load"
                                  : "unload"),
           CH_F_INT("taken", job->engine->taken), CH_F_INT("code", job->code),
           CH_F_INT("took_us", now - job->engine->last_order), CH_F_END);
    take_answer(job, now);
    engine_unref(job->engine);
    controller->jobs--;
    pthread_cond_broadcast(&controller->idle);
    pthread_mutex_unlock(&controller->lock);
    g_free(job);
}

/* On the loop's thread. */
static void
order_done(void *data, enum ch_code code)
{
    struct order_job *job = data;
    job->code = code;
    ch_pool_submit(job->controller->node->pool, run_order_answer, job);
}

/* Sends an order, if the right is held at this very moment. */
static void
send_order(struct controller_engine *engine, struct duty *duty,
           struct item *item, enum ch_order_action action, int64_t now)
{
    struct ch_controller *controller = engine->controller;
    const char *name = g_quark_to_string(item->name);
    const char *slash = strchr(name, '/');
    uint64_t fence = 0;
    if (!ch_claim_held(duty->claim, &fence)) {
        return;
    }
    engine->ordering = true;
    engine->ordered_item = item->name;
    engine->ordered_action = action;
    engine->last_order = now;
    struct order_job *job = g_new0(struct order_job, 1);
    job->controller = controller;
    job->engine = engine;
    job->boot = engine->boot;
    engine->references++;
    controller->jobs++;
    ch_metrics_count(controller->node->client->metrics, CH_COUNT_ORDERS, 1);
    struct ch_order order = {
        .fence = fence,
        .action = action,
        .model = slash == NULL ? name : g_quark_to_string(item->model),
        .adapter = slash == NULL ? NULL : slash + 1,
        .expected = (int64_t)engine->taken,
    };
    engine->client->ops->order(engine->client, &order, order_done, job);
}

/* See controller_internal.h. */
bool
engine_is_busy(const struct controller_engine *engine)
{
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        bool moving =
            item->state == CH_ITEM_LOADING || item->state == CH_ITEM_UNLOADING;
        bool slow = item->model == 0 || item->state == CH_ITEM_UNLOADING;
        if (moving && slow && item->ordered) {
            return true;
        }
    }
    return false;
}

/* ---- which order is next ---- */

/* Adapters that take a place, or may. */
static uint32_t
adapter_count(const struct controller_engine *engine)
{
    uint32_t count = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        bool placed = item->state != CH_ITEM_LOADING || item->ordered;
        count += item->model != 0 && placed ? 1 : 0;
    }
    return count;
}

/* Memory that is taken, or may be. */
static uint64_t
memory_used(struct controller_engine *engine)
{
    uint64_t used = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item =
            &g_array_index(engine->items, struct item, i);
        if (item->state != CH_ITEM_LOADING || item->ordered) {
            used += controller_memory(engine->controller, item->name);
        }
    }
    return used;
}

/* The adapter that is to go for another: the one not asked for longest, and
 * not lately; NULL: none. */
static struct item *
idle_adapter(struct controller_engine *engine, int64_t now)
{
    struct item *oldest = NULL;
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->model == 0 || item->state != CH_ITEM_RESIDENT ||
            now - item->used < ADAPTER_RECENT) {
            continue;
        }
        if (oldest == NULL || item->used < oldest->used) {
            oldest = item;
        }
    }
    return oldest;
}

/* Whether the engine has the model that an adapter belongs to. */
static bool
has_model(struct controller_engine *engine, GQuark model)
{
    const struct item *item = engine_item(engine, model);
    return item != NULL && item->state == CH_ITEM_RESIDENT;
}

/* Orders the adapter, or another one out of its way.  True: an order was
 * sent. */
static bool
order_adapter(struct controller_engine *engine, struct duty *duty,
              struct item *item, int64_t now)
{
    uint32_t places = engine_adapter_places(engine);
    uint32_t memory = engine_memory(engine);
    bool fits = memory_used(engine) +
                    controller_memory(engine->controller, item->name) <=
                memory;
    if (adapter_count(engine) < places && fits) {
        send_order(engine, duty, item, CH_ORDER_LOAD, now);
        return true;
    }
    struct item *idle = idle_adapter(engine, now);
    if (idle == NULL) {
        remove_item(engine, item->name);
        return false;
    }
    set_state(engine, idle, CH_ITEM_UNLOADING, now);
    send_order(engine, duty, idle, CH_ORDER_UNLOAD, now);
    return true;
}

/* Orders a model, once there is room for it. */
static bool
order_model(struct controller_engine *engine, struct duty *duty,
            struct item *item, int64_t now)
{
    if (item->state == CH_ITEM_UNLOADING) {
        send_order(engine, duty, item, CH_ORDER_UNLOAD, now);
        return true;
    }
    uint64_t need = controller_memory(engine->controller, item->name);
    if (need == 0 || memory_used(engine) + need > engine_memory(engine)) {
        return false;
    }
    if (item->from_store &&
        !ch_window_start_reserved(&duty->loads, duty->most_loads,
                                  item->load_at, now)) {
        return false;
    }
    item->load_at = now;
    send_order(engine, duty, item, CH_ORDER_LOAD, now);
    return true;
}

/* Whether the order for an item may be sent now. */
static bool
is_due(const struct controller_engine *engine, const struct item *item,
       int64_t now)
{
    if (item->ordered || item->told || now < item->not_before) {
        return false;
    }
    if (item->state == CH_ITEM_UNLOADING && item->model == 0) {
        return !ch_order_should_delay_unload(item->not_before, engine->waiting,
                                             now);
    }
    return item->state == CH_ITEM_LOADING || item->state == CH_ITEM_UNLOADING;
}

/* Sends the next order: adapters first, for which requests wait. */
static void
send_next(struct controller_engine *engine, struct duty *duty, int64_t now)
{
    for (int models = 0; models < 2; models++) {
        for (guint i = 0; i < engine->items->len; i++) {
            struct item *item = &g_array_index(engine->items, struct item, i);
            if (!is_due(engine, item, now) ||
                (item->model == 0) != (models == 1)) {
                continue;
            }
            if (item->model != 0 && !has_model(engine, item->model)) {
                remove_item(engine, item->name);
                return;
            }
            bool sent = item->model != 0
                            ? order_adapter(engine, duty, item, now)
                            : order_model(engine, duty, item, now);
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
    int64_t asked;
    struct ch_report *report; /* NULL: none came */
};

/* Whether a report lists a name. */
static bool
report_has(const struct ch_report *report, const char *name)
{
    for (size_t i = 0; i < report->resident_count; i++) {
        if (strcmp(report->resident[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Tells of a change of a model that a report shows as done. */
static void
log_done(const struct controller_engine *engine, const struct item *item,
         const char *what, int64_t now)
{
    if (item->model == 0) {
        ch_log(engine->controller->node->client, CH_LOG_INFO, what,
               CH_F_STR("upstream", g_quark_to_string(engine->name)),
               CH_F_STR("model", g_quark_to_string(item->name)),
               CH_F_INT("took_us", now - item->changed), CH_F_END);
    }
}

/* Compares one item with a report that counts as many orders as this node. */
static void
compare_item(struct controller_engine *engine, struct item *item,
             const struct report_job *job, int64_t now)
{
    const struct ch_report_comparison facts = {
        .state = item->state,
        .accepted = item->ordered,
        .from_peer = item->told,
        .listed = report_has(job->report, g_quark_to_string(item->name)),
        .busy = job->report->busy,
        .changed_at = item->changed,
        .requested_at = job->asked,
    };
    switch (ch_order_evaluate_report(&facts)) {
    case CH_REPORT_LOADED:
        log_done(engine, item, "model-loaded", now);
        set_state(engine, item, CH_ITEM_RESIDENT, now);
        answer_waits(engine, item, CH_OK);
        break;
    case CH_REPORT_UNLOADED:
        log_done(engine, item, "model-unloaded", now);
        item->state = CH_ITEM_ABSENT;
        break;
    case CH_REPORT_LOST:
        item->state = CH_ITEM_ABSENT;
        break;
    case CH_REPORT_UNLOAD_FAILED:
        item->ordered = false;
        break;
    default:
        break;
    }
}

/* Takes over what a report lists. */
static void
take_lists(struct controller_engine *engine, const struct report_job *job,
           int64_t now)
{
    const struct ch_report *report = job->report;
    char **names = g_new0(char *, report->resident_count + 1);
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
    for (size_t i = 0; i < report->resident_count; i++) {
        names[i] = report->resident[i].name;
    }
    guint before = engine->items->len;
    take_resident(engine, names, now);
    if (engine->items->len != before) {
        engine->news = ALL_NEWS;
    }
    g_free(names);
}

/* Takes a report.  One that counts fewer orders than were taken is from before
 * them, and says nothing of what is held. */
static void
take_report(struct report_job *job, int64_t now)
{
    struct controller_engine *engine = job->engine;
    const struct ch_report *report = job->report;
    engine->reporting = false;
    if (report == NULL || job->boot != engine->boot) {
        return;
    }
    engine->running = report->running;
    engine->waiting = report->waiting;
    bool settled =
        !engine->ordering && job->asked - engine->last_order >= SETTLED;
    if (engine->ordering ||
        (!settled && report->orders_taken != engine->taken)) {
        return;
    }
    if (report->orders_taken < engine->taken && !settled) {
        return;
    }
    if (report->orders_taken < engine->taken) {
        start_anew(engine, now);
        engine->restarted = true;
    }
    engine->taken = report->orders_taken;
    engine->unsure = false;
    take_lists(engine, job, now);
    /* An order that somebody else gave is under way: what it loads is in no
     * list yet, and would be loaded past.  Once it is done a report shows it;
     * one that is not busy and counts as many orders as the engine takes next
     * has all in it. */
    engine->known = !report->busy || engine_is_busy(engine);
}

/* On the pool: a report's result. */
static void
run_report(void *data)
{
    struct report_job *job = data;
    struct ch_controller *controller = job->controller;
    pthread_mutex_lock(&controller->lock);
    int64_t now = ch_client_now(controller->node->client);
    take_report(job, now);
    engine_pump(job->engine,
                controller_duty(controller, job->engine->data_centre), now);
    engine_unref(job->engine);
    controller->jobs--;
    pthread_cond_broadcast(&controller->idle);
    pthread_mutex_unlock(&controller->lock);
    ch_report_free(job->report);
    g_free(job);
}

/* On the loop's thread. */
static void
report_done(void *data, enum ch_code code, struct ch_report *report)
{
    struct report_job *job = data;
    (void)code;
    job->report = report;
    ch_pool_submit(job->controller->node->pool, run_report, job);
}

/* Whether a model of the engine is on its way. */
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

/* Asks for a report when it is time. */
static void
ask_report(struct controller_engine *engine, int64_t now)
{
    if (engine->reporting || now < engine->report_at) {
        return;
    }
    bool soon = is_changing(engine) || !engine->known;
    engine->reporting = true;
    engine->report_at = now + (soon ? REPORT_CHANGING : REPORT_IDLE);
    struct report_job *job = g_new0(struct report_job, 1);
    job->controller = engine->controller;
    job->engine = engine;
    job->boot = engine->boot;
    job->asked = now;
    engine->references++;
    engine->controller->jobs++;
    engine->client->ops->report(engine->client, report_done, job);
}

/* ---- the whole ---- */

/* See controller_internal.h. */
bool
engine_is_open(const struct controller_engine *engine, int64_t now)
{
    return engine->listed && engine->known && !engine->unsure &&
           now >= engine->quiet_until && !is_changing(engine);
}

/* Ends the waits that are over their time. */
static void
expire_waits(struct controller_engine *engine, int64_t now)
{
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = &g_array_index(engine->items, struct item, i);
        if (item->waits != NULL && item->waits->len > 0 &&
            g_array_index(item->waits, struct adapter_wait, 0).until <= now) {
            answer_waits(engine, item, CH_PEER_TIMEOUT);
        }
    }
}

/* See controller_internal.h. */
void
engine_pump(struct controller_engine *engine, struct duty *duty, int64_t now)
{
    uint64_t fence = 0;
    if (engine->controller->stopping || !ch_claim_held(duty->claim, &fence)) {
        engine_fail_waits(engine, CH_NOT_READY);
        return;
    }
    expire_waits(engine, now);
    ask_report(engine, now);
    if (!engine->listed || engine->leaving || engine->ordering ||
        !engine->known || now < engine->quiet_until ||
        engine_is_busy(engine)) {
        return;
    }
    send_next(engine, duty, now);
}

/* See controller_internal.h. */
void
engine_prepare(struct controller_engine *engine, struct duty *duty,
               GQuark model, GQuark adapter, const struct adapter_wait *wait,
               int64_t now)
{
    struct item *item = engine_item(engine, adapter);
    if (item != NULL && item->state == CH_ITEM_RESIDENT) {
        item->used = now;
        controller_answer(engine->controller, wait, CH_OK);
        return;
    }
    if (!has_model(engine, model) || engine->leaving ||
        engine_is_busy(engine) ||
        (item != NULL && item->state == CH_ITEM_UNLOADING)) {
        controller_answer(engine->controller, wait, CH_NO_UPSTREAM);
        return;
    }
    if (item == NULL) {
        item = engine_add_item(engine, adapter, model, CH_ITEM_LOADING, now);
    }
    if (item->waits == NULL) {
        item->waits = g_array_new(FALSE, FALSE, sizeof(struct adapter_wait));
    }
    g_array_append_val(item->waits, *wait);
    struct adapter_wait *kept =
        &g_array_index(item->waits, struct adapter_wait, item->waits->len - 1);
    kept->from = g_strdup(wait->from);
    engine_pump(engine, duty, now);
}
