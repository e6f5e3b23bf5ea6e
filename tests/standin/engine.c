/* The simulated engine's memory: orders, loads and the load report. */

#include "engine.h"

#include <curl/curl.h>
#include <string.h>

enum {
    ADAPTER_LOAD_US = 10 * 1000,
    MAX_REPORTED_ORDERS = 256, /* executed orders in the load report */
};

/* A received order; freed by the function that completes it. */
struct order {
    struct engine *engine;
    unsigned boot;
    char *id;
    int64_t fence;
    bool load;
    char *item;
};

struct order_log_entry {
    char *id;
    char *item;
    bool load;
    int64_t fence;
    int status;
    int64_t memory_mb;
    int64_t at;
};

static void
order_free(struct order *order)
{
    g_free(order->id);
    g_free(order->item);
    g_free(order);
}

static void
item_free(gpointer data)
{
    struct item *item = data;
    g_free(item->name);
    g_free(item->unload);
    g_free(item);
}

/* Starts with empty memory.  The reported boot id differs by port and by the
 * number of simulated restarts. */
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
    standin->mode_data = engine;
}

/* Returns the memory in MB of items that are resident or loading. */
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

/* Returns the memory in MB that an item needs according to the model file;
 * 0: unknown model. */
static int64_t
memory_needed(const struct engine *engine, const char *name)
{
    char **parts = g_strsplit(name, "/", 2);
    char *group = g_strconcat("model ", parts[0], NULL);
    int64_t needed_mb = g_key_file_get_int64(
        engine->models, group,
        parts[1] == NULL ? "memory-mb" : "adapter-memory-mb", NULL);
    g_free(group);
    g_strfreev(parts);
    return needed_mb;
}

/* Finds an item by its full name or by an adapter's own name. */
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

/* Adds an order to the executed orders. */
static void
add_done_order(struct engine *engine, const char *id)
{
    g_ptr_array_add(engine->done, g_strdup(id));
    if (engine->done->len > MAX_REPORTED_ORDERS) {
        g_ptr_array_remove_index(engine->done, 0);
    }
}

/* Removes an item, for a model also its adapters. */
static void
remove_item(struct engine *engine, struct item *gone)
{
    char *adapter_prefix = g_strconcat(gone->name, "/", NULL);
    if (gone->unload != NULL) {
        add_done_order(engine, gone->unload);
    }
    (void)g_ptr_array_remove(engine->items, gone);
    for (guint i = engine->items->len; i > 0; i--) {
        struct item *item = g_ptr_array_index(engine->items, i - 1);
        if (g_str_has_prefix(item->name, adapter_prefix)) {
            if (item->unload != NULL) {
                add_done_order(engine, item->unload);
            }
            g_ptr_array_remove_index(engine->items, i - 1);
        }
    }
    g_free(adapter_prefix);
}

/* Counts the start or end of a request on an item. */
void
engine_count_request(struct engine *engine, const char *name, int change)
{
    struct item *item = engine_find(engine, name);
    if (item == NULL || (change < 0 && item->running == 0)) {
        return;
    }
    item->running += (unsigned)change;
    if (item->leaving && item->resident && item->running == 0) {
        remove_item(engine, item);
    }
}

/* Completes a load, unless the engine restarted meanwhile. */
static void
finish_load(void *data)
{
    struct order *order = data;
    struct engine *engine = order->engine;
    struct item *item = engine_find(engine, order->item);
    if (item != NULL && engine->boot == order->boot) {
        item->resident = true;
        add_done_order(engine, order->id);
        if (item->leaving) {
            remove_item(engine, item);
        }
    }
    order_free(order);
}

/* Waits for the rest of the load time after the weight store's transfer. */
static void
finish_transfer(struct standin *standin, void *data)
{
    int64_t load = standin->faults[FAULT_load_ms] * 1000;
    (void)timer_add(standin, load, finish_load, data);
}

/* Fetches the weights in a thread of its own, without a timeout. */
static gpointer
fetch_weights(gpointer data)
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
    standin_post_job(standin, finish_transfer, order);
    return NULL;
}

/* Starts a load for which memory is free; takes ownership of the order. */
static void
start_load(struct engine *engine, struct order *order, int64_t memory_mb)
{
    struct item *item = g_new0(struct item, 1);
    item->name = g_strdup(order->item);
    item->memory_mb = memory_mb;
    g_ptr_array_add(engine->items, item);
    if (strchr(order->item, '/') != NULL) {
        (void)timer_add(engine->standin, ADAPTER_LOAD_US, finish_load, order);
    }
    else if (g_hash_table_contains(engine->standin->options, "weights")) {
        g_thread_unref(g_thread_new("transfer", fetch_weights, order));
    }
    else {
        finish_transfer(engine->standin, order);
    }
}

/* Executes a load order; returns its HTTP status, and takes ownership of the
 * order if that is 202. */
static int
execute_load(struct engine *engine, struct order *order)
{
    struct item *item = engine_find(engine, order->item);
    int64_t needed_mb = memory_needed(engine, order->item);
    if (item != NULL) {
        if (item->unload != NULL) {
            add_done_order(engine, item->unload);
            g_clear_pointer(&item->unload, g_free);
        }
        item->leaving = false;
        add_done_order(engine, order->id);
        order_free(order);
        return 202;
    }
    int64_t used = memory_used(engine) + needed_mb;
    if (needed_mb == 0) {
        return 404;
    }
    engine->most_mb = MAX(engine->most_mb, used);
    if (used > engine->standin->faults[FAULT_memory_mb]) {
        engine->overcommits++;
        return 507;
    }
    start_load(engine, order, needed_mb);
    return 202;
}

/* Executes an unload order when no request runs on the item any more; takes
 * ownership of the order and returns 202. */
static int
execute_unload(struct engine *engine, struct order *order)
{
    struct item *item = engine_find(engine, order->item);
    if (item == NULL) {
        add_done_order(engine, order->id);
    }
    else {
        g_free(item->unload);
        item->unload = g_strdup(order->id);
        item->leaving = true;
        engine_count_request(engine, item->name, 0);
    }
    order_free(order);
    return 202;
}

/* Executes an order; takes ownership of it and returns the HTTP status. */
static int
execute_order(struct engine *engine, struct order *order)
{
    struct order_log_entry *entry = g_new0(struct order_log_entry, 1);
    entry->id = g_strdup(order->id);
    entry->item = g_strdup(order->item);
    entry->load = order->load;
    entry->fence = order->fence;
    entry->at = monotonic_now_us();
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
        status = order->load ? execute_load(engine, order)
                             : execute_unload(engine, order);
    }
    if (status == 404 || status == 507) {
        (void)g_hash_table_remove(engine->accepted, order->id);
    }
    if (status != 202) {
        order_free(order);
    }
    entry->status = status;
    entry->memory_mb = memory_used(engine);
    g_ptr_array_add(engine->orders, entry);
    return status == 208 ? 202 : status;
}

/* Executes a delayed or repeated order.  An order sent before a restart is
 * dropped, as the restart closed its connection. */
static void
execute_late_order(void *data)
{
    struct order *order = data;
    if (order->boot == order->engine->boot) {
        (void)execute_order(order->engine, order);
    }
    else {
        order_free(order);
    }
}

/* Parses the body as an order; NULL if it is not JSON. */
static struct order *
parse_order(struct engine *engine, const struct exchange *exchange)
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

/* Handles POST /v1/orders, with the faults of orders. */
static void
handle_order(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    struct engine *engine = standin->mode_data;
    int64_t delay = standin->faults[FAULT_delay_ms] * 1000;
    struct order *order = parse_order(engine, exchange);
    if (order == NULL) {
        exchange_reply_text(exchange, 400, "body is not a JSON order\n");
        return;
    }
    if (fault_consume(standin, FAULT_drop_orders)) {
        order_free(order);
        exchange->closing = true;
        return;
    }
    if (fault_consume(standin, FAULT_delay_orders)) {
        (void)timer_add(standin, delay, execute_late_order, order);
        exchange->closing = true;
        return;
    }
    if (fault_consume(standin, FAULT_repeat_orders)) {
        (void)timer_add(standin, delay, execute_late_order,
                        parse_order(engine, exchange));
    }
    if (fault_consume(standin, FAULT_lose_orders)) {
        order_free(order);
        exchange_reply_text(exchange, 202, "");
        return;
    }
    exchange_reply_text(exchange, execute_order(engine, order), "");
}

/* Handles GET /v1/load: the load report, wrong if the fault "lie" is set. */
static void
handle_load_report(struct exchange *exchange)
{
    struct engine *engine = exchange->standin->mode_data;
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

/* Dispatches a request by its path. */
static void
engine_handle(struct exchange *exchange)
{
    if (strcmp(exchange->path, "/v1/load") == 0) {
        handle_load_report(exchange);
    }
    else if (strcmp(exchange->path, "/v1/orders") == 0) {
        handle_order(exchange);
    }
    else {
        handle_completion(exchange);
    }
}

/* Handles POST /control/boot, a simulated restart: memory, orders and
 * connections are lost. */
static bool
engine_control(struct exchange *exchange)
{
    struct engine *engine = exchange->standin->mode_data;
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

/* Writes all orders and runs, and the most memory ever requested. */
static void
engine_record(struct standin *standin, JsonBuilder *out)
{
    const struct engine *engine = standin->mode_data;
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
        const struct order_log_entry *entry =
            g_ptr_array_index(engine->orders, i);
        json_builder_begin_object(out);
        json_text(out, "id", entry->id);
        json_text(out, "item", entry->item);
        json_text(out, "action", entry->load ? "load" : "unload");
        json_number(out, "fence", entry->fence);
        json_number(out, "status", entry->status);
        json_number(out, "memory_mb", entry->memory_mb);
        json_number(out, "at_ms", entry->at / 1000);
        json_builder_end_object(out);
    }
    json_builder_end_array(out);
    run_log_write(engine->runs, out);
}

const struct mode mode_engine = {"engine", engine_start, engine_handle,
                                 engine_record, engine_control};
