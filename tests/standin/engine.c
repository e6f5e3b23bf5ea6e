/* The engine's memory: orders, loads and the report. */

#include "engine.h"

#include <curl/curl.h>
#include <string.h>

enum {
    ADAPTER_LOAD_US = 10 * 1000,
    DONE_KEPT = 256,
};

/* An order as it came; owned by what is done with it. */
struct order {
    struct engine *engine;
    unsigned boot;
    char *id;
    int64_t fence;
    bool load;
    char *item;
};

struct order_note {
    char *id;
    char *item;
    bool load;
    int64_t fence;
    int status;
    int64_t memory_mb;
    int64_t at;
};

/* Frees an order. */
static void
order_free(struct order *order)
{
    g_free(order->id);
    g_free(order->item);
    g_free(order);
}

/* Frees an item. */
static void
item_free(gpointer data)
{
    struct item *item = data;
    g_free(item->name);
    g_free(item->unload);
    g_free(item);
}

/* Begins with empty memory, and a new boot each time it is started. */
static void
engine_start(struct standin *standin)
{
    struct engine *engine = g_new0(struct engine, 1);
    const char *path = g_hash_table_lookup(standin->options, "models");
    engine->standin = standin;
    engine->items = g_ptr_array_new_with_free_func(item_free);
    engine->runs = g_ptr_array_new();
    engine->orders = g_ptr_array_new();
    engine->done = g_ptr_array_new_with_free_func(g_free);
    engine->accepted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->models = g_key_file_new();
    if (path == NULL || !g_key_file_load_from_file(engine->models, path,
                                                   G_KEY_FILE_NONE, NULL)) {
        g_error("engine: models=FILE cannot be read");
    }
    if (standin->faults[FAULT_slow_percent] == 0) {
        standin->faults[FAULT_slow_percent] = 100;
    }
    (void)curl_global_init(CURL_GLOBAL_DEFAULT);
    standin->state = engine;
}

/* Memory that is resident or being loaded. */
static int64_t
memory_used(const struct engine *engine)
{
    int64_t used = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        used +=
            ((struct item *)g_ptr_array_index(engine->items, i))->memory_mb;
    }
    return used;
}

/* What an item takes, by the file of models; 0: there is no such model. */
static int64_t
memory_wanted(const struct engine *engine, const char *name)
{
    char **parts = g_strsplit(name, "/", 2);
    char *group = g_strconcat("model ", parts[0], NULL);
    int64_t wanted = g_key_file_get_int64(
        engine->models, group,
        parts[1] == NULL ? "memory-mb" : "adapter-memory-mb", NULL);
    g_free(group);
    g_strfreev(parts);
    return wanted;
}

/* An item by its name, or by an adapter's own name. */
struct item *
engine_find(struct engine *engine, const char *name)
{
    for (guint i = 0; i < engine->items->len; i++) {
        struct item *item = g_ptr_array_index(engine->items, i);
        const char *slash = strchr(item->name, '/');
        if (strcmp(item->name, name) == 0 ||
            (slash != NULL && strcmp(slash + 1, name) == 0)) {
            return item;
        }
    }
    return NULL;
}

/* Notes that an order was carried out. */
static void
order_done(struct engine *engine, const char *id)
{
    g_ptr_array_add(engine->done, g_strdup(id));
    if (engine->done->len > DONE_KEPT) {
        g_ptr_array_remove_index(engine->done, 0);
    }
}

/* Removes an item, and of a model its adapters. */
static void
item_remove(struct engine *engine, struct item *gone)
{
    char *below = g_strconcat(gone->name, "/", NULL);
    if (gone->unload != NULL) {
        order_done(engine, gone->unload);
    }
    (void)g_ptr_array_remove(engine->items, gone);
    for (guint i = engine->items->len; i > 0; i--) {
        struct item *item = g_ptr_array_index(engine->items, i - 1);
        if (g_str_has_prefix(item->name, below)) {
            if (item->unload != NULL) {
                order_done(engine, item->unload);
            }
            g_ptr_array_remove_index(engine->items, i - 1);
        }
    }
    g_free(below);
}

/* Counts a request on an item in or out. */
void
engine_use(struct engine *engine, const char *name, int change)
{
    struct item *item = engine_find(engine, name);
    if (item == NULL || (change < 0 && item->running == 0)) {
        return;
    }
    item->running += (unsigned)change;
    if (item->leaving && item->resident && item->running == 0) {
        item_remove(engine, item);
    }
}

/* The weights are in memory. */
static void
load_done(void *data)
{
    struct order *order = data;
    struct engine *engine = order->engine;
    struct item *item = engine_find(engine, order->item);
    if (item != NULL && engine->boot == order->boot) {
        item->resident = true;
        order_done(engine, order->id);
        if (item->leaving) {
            item_remove(engine, item);
        }
    }
    order_free(order);
}

/* The weight store's transfer is over: the rest of the load's time. */
static void
transfer_done(struct standin *standin, void *data)
{
    int64_t load = standin->faults[FAULT_load_ms] * 1000;
    (void)timer_add(standin, load, load_done, data);
}

/* A thread: fetches the weights, however long that takes. */
static gpointer
transfer(gpointer data)
{
    struct order *order = data;
    struct standin *standin = order->engine->standin;
    char *url = g_strdup_printf(
        "http://%s/v1/weights/%s",
        (char *)g_hash_table_lookup(standin->options, "weights"), order->item);
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_perform(curl);
    curl_easy_cleanup(curl);
    g_free(url);
    standin_wake(standin, transfer_done, order);
    return NULL;
}

/* Begins a load, room for which has been found; takes over the order. */
static void
load_begin(struct engine *engine, struct order *order, int64_t memory_mb)
{
    struct item *item = g_new0(struct item, 1);
    item->name = g_strdup(order->item);
    item->memory_mb = memory_mb;
    g_ptr_array_add(engine->items, item);
    if (strchr(order->item, '/') != NULL) {
        (void)timer_add(engine->standin, ADAPTER_LOAD_US, load_done, order);
    }
    else if (g_hash_table_contains(engine->standin->options, "weights")) {
        g_thread_unref(g_thread_new("transfer", transfer, order));
    }
    else {
        transfer_done(engine->standin, order);
    }
}

/* Loads; returns the order's status, and takes the order when it is 202. */
static int
order_load(struct engine *engine, struct order *order)
{
    struct item *item = engine_find(engine, order->item);
    int64_t wanted = memory_wanted(engine, order->item);
    if (item != NULL) {
        if (item->unload != NULL) {
            order_done(engine, item->unload);
            g_clear_pointer(&item->unload, g_free);
        }
        item->leaving = false;
        order_done(engine, order->id);
        order_free(order);
        return 202;
    }
    int64_t used = memory_used(engine) + wanted;
    if (wanted == 0) {
        return 404;
    }
    engine->most_mb = MAX(engine->most_mb, used);
    if (used > engine->standin->faults[FAULT_memory_mb]) {
        engine->overcommits++;
        return 507;
    }
    load_begin(engine, order, wanted);
    return 202;
}

/* Unloads, once nothing runs on the item. */
static int
order_unload(struct engine *engine, struct order *order)
{
    struct item *item = engine_find(engine, order->item);
    if (item == NULL) {
        order_done(engine, order->id);
    }
    else {
        g_free(item->unload);
        item->unload = g_strdup(order->id);
        item->leaving = true;
        engine_use(engine, item->name, 0);
    }
    order_free(order);
    return 202;
}

/* Carries out an order that has arrived; takes it over. */
static int
order_run(struct engine *engine, struct order *order)
{
    struct order_note *note = g_new0(struct order_note, 1);
    note->id = g_strdup(order->id);
    note->item = g_strdup(order->item);
    note->load = order->load;
    note->fence = order->fence;
    note->at = now_us();
    int status = 202;
    if (engine->standin->faults[FAULT_fencing] != 0 &&
        order->fence < engine->fence) {
        status = 409;
    }
    else if (!g_hash_table_add(engine->accepted, g_strdup(order->id))) {
        status = 208;
    }
    else {
        engine->fence = MAX(engine->fence, order->fence);
        status = order->load ? order_load(engine, order)
                             : order_unload(engine, order);
    }
    if (status == 404 || status == 507) {
        (void)g_hash_table_remove(engine->accepted, order->id);
    }
    if (status != 202) {
        order_free(order);
    }
    note->status = status;
    note->memory_mb = memory_used(engine);
    g_ptr_array_add(engine->orders, note);
    return status == 208 ? 202 : status;
}

/* A delayed or repeated order arrives; one for an earlier boot does not, as
 * its connection ended with that. */
static void
order_arrives(void *data)
{
    struct order *order = data;
    if (order->boot == order->engine->boot) {
        (void)order_run(order->engine, order);
    }
    else {
        order_free(order);
    }
}

/* Reads an order, or returns NULL. */
static struct order *
order_parse(struct engine *engine, const struct exchange *exchange)
{
    JsonParser *parser = json_parser_new();
    struct order *order = NULL;
    if (json_parser_load_from_data(parser, exchange->body->str,
                                   (gssize)exchange->body->len, NULL)) {
        JsonObject *object =
            json_node_get_object(json_parser_get_root(parser));
        const char *model = json_object_get_string_member(object, "model");
        const char *adapter = json_object_get_string_member_with_default(
            object, "adapter", NULL);
        order = g_new0(struct order, 1);
        order->engine = engine;
        order->boot = engine->boot;
        order->id = g_strdup(json_object_get_string_member(object, "id"));
        order->fence = json_object_get_int_member(object, "fence");
        order->load = strcmp(json_object_get_string_member(object, "action"),
                             "load") == 0;
        order->item = adapter == NULL ? g_strdup(model)
                                      : g_strjoin("/", model, adapter, NULL);
    }
    g_object_unref(parser);
    return order;
}

/* POST /v1/orders, with what may happen to an order on its way. */
static void
orders_handle(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    struct engine *engine = standin->state;
    int64_t delay = standin->faults[FAULT_delay_ms] * 1000;
    struct order *order = order_parse(engine, exchange);
    if (order == NULL) {
        exchange_reply_text(exchange, 400, "not an order\n");
        return;
    }
    if (fault_take(standin, FAULT_drop_orders)) {
        order_free(order);
        exchange->closing = true;
        return;
    }
    if (fault_take(standin, FAULT_delay_orders)) {
        (void)timer_add(standin, delay, order_arrives, order);
        exchange->closing = true;
        return;
    }
    if (fault_take(standin, FAULT_repeat_orders)) {
        (void)timer_add(standin, delay, order_arrives,
                        order_parse(engine, exchange));
    }
    if (fault_take(standin, FAULT_lose_orders)) {
        order_free(order);
        exchange_reply_text(exchange, 202, "");
        return;
    }
    exchange_reply_text(exchange, order_run(engine, order), "");
}

/* GET /v1/load: the report, true unless it is to lie. */
static void
load_handle(struct exchange *exchange)
{
    struct engine *engine = exchange->standin->state;
    int64_t lie = exchange->standin->faults[FAULT_lie];
    JsonBuilder *out = json_builder_new();
    char boot[32];
    (void)g_snprintf(boot, sizeof boot, "b-%u-%u",
                     (unsigned)exchange->standin->port, engine->boot);
    json_builder_begin_object(out);
    json_text(out, "boot", boot);
    json_number(out, "memory_mb", exchange->standin->faults[FAULT_memory_mb]);
    json_builder_set_member_name(out, "resident");
    json_builder_begin_array(out);
    for (guint i = 0; i < engine->items->len; i++) {
        const struct item *item = g_ptr_array_index(engine->items, i);
        if (item->resident) {
            json_builder_begin_object(out);
            json_text(out, "name", item->name);
            json_number(out, "memory_mb", item->memory_mb);
            json_builder_end_object(out);
        }
    }
    json_builder_end_array(out);
    json_builder_set_member_name(out, "orders_done");
    json_builder_begin_array(out);
    for (guint i = 0; i < engine->done->len; i++) {
        json_builder_add_string_value(out, g_ptr_array_index(engine->done, i));
    }
    json_builder_end_array(out);
    json_number(out, "running",
                lie == 1 ? 0 : (lie == 2 ? 1000000 : engine->running));
    json_number(out, "waiting", lie == 2 ? 1000000 : 0);
    json_builder_set_member_name(out, "leaving");
    json_builder_add_boolean_value(
        out, exchange->standin->faults[FAULT_leaving] == 1);
    json_builder_end_object(out);
    exchange_reply_json(exchange, 200, out);
}

/* Sorts a call by its path. */
static void
engine_handle(struct exchange *exchange)
{
    if (strcmp(exchange->path, "/v1/load") == 0) {
        load_handle(exchange);
    }
    else if (strcmp(exchange->path, "/v1/orders") == 0) {
        orders_handle(exchange);
    }
    else {
        generate_handle(exchange);
    }
}

/* POST /control/boot: memory, orders and connections are gone. */
static bool
engine_control(struct exchange *exchange)
{
    struct engine *engine = exchange->standin->state;
    if (strcmp(exchange->path, "/control/boot") != 0) {
        return false;
    }
    engine->boot++;
    engine->fence = 0;
    engine->running = 0;
    g_ptr_array_set_size(engine->items, 0);
    g_ptr_array_set_size(engine->done, 0);
    g_hash_table_remove_all(engine->accepted);
    standin_listen(exchange->standin, false);
    standin_listen(exchange->standin, true);
    return true;
}

/* Every order and every run, and the most memory ever asked for. */
static void
engine_record(struct standin *standin, JsonBuilder *out)
{
    const struct engine *engine = standin->state;
    json_number(out, "memory_mb", memory_used(engine));
    json_number(out, "capacity_mb", standin->faults[FAULT_memory_mb]);
    json_number(out, "most_mb", engine->most_mb);
    json_number(out, "overcommits", engine->overcommits);
    json_number(out, "running", engine->running);
    json_number(out, "most_running", engine->most_running);
    json_number(out, "boot", engine->boot);
    json_builder_set_member_name(out, "orders");
    json_builder_begin_array(out);
    for (guint i = 0; i < engine->orders->len; i++) {
        const struct order_note *note = g_ptr_array_index(engine->orders, i);
        json_builder_begin_object(out);
        json_text(out, "id", note->id);
        json_text(out, "item", note->item);
        json_text(out, "action", note->load ? "load" : "unload");
        json_number(out, "fence", note->fence);
        json_number(out, "status", note->status);
        json_number(out, "memory_mb", note->memory_mb);
        json_number(out, "at_ms", note->at / 1000);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
    judge_record(engine->runs, out);
}

const struct mode mode_engine = {"engine", engine_start, engine_handle,
                                 engine_record, engine_control};
