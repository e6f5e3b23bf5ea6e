/* Sends the orders that a ledger's writes have recorded to the engine. */

#include "node/ledger_internal.h"
#include "node/limit_manager.h"

#include <string.h>

/* Frees an order with its names. */
void
ledger_outgoing_free(void *data)
{
    struct outgoing_order *pending = data;
    g_free(pending->model);
    g_free(pending->adapter);
    g_free(pending->item);
    g_free(pending);
}

struct sent_order {
    struct ch_upstream_ledger *ledger;
    char order[40];
    char *item;
    enum ch_action_kind kind;
    /* A copy while the order waits for permission; NULL: it does not. */
    struct outgoing_order *waiting;
};

/* Copies an order with its names. */
static struct outgoing_order *
copy_outgoing(const struct outgoing_order *from)
{
    struct outgoing_order *copy = g_new(struct outgoing_order, 1);
    *copy = *from;
    copy->model = g_strdup(from->model);
    copy->adapter = g_strdup(from->adapter);
    copy->item = g_strdup(from->item);
    copy->order.model = copy->model;
    copy->order.adapter = copy->adapter;
    return copy;
}

/* Schedules the next send of an item's order, with a doubled delay of at least
 * min_delay.  Lock held. */
void
ledger_schedule_retry(struct ch_upstream_ledger *ledger, const char *item,
                      int64_t min_delay)
{
    struct order_retry *retry = g_hash_table_lookup(ledger->retries, item);
    if (retry == NULL) {
        retry = g_new0(struct order_retry, 1);
        g_hash_table_insert(ledger->retries, g_strdup(item), retry);
    }
    retry->delay = CLAMP(retry->delay * 2, min_delay, MAX_ORDER_RETRY_US);
    retry->due_at =
        ch_client_get_time(ledger->context->node->client) + retry->delay;
}

/* Logs how a send of an order ended, and counts a refusal for an old fencing
 * token. */
static void
log_order_end(const struct sent_order *sent_order, enum ch_code code)
{
    const struct ch_client *client = sent_order->ledger->context->node->client;
    if (code == CH_STALE_FENCE && client->metrics != NULL) {
        ch_metrics_add_count(client->metrics, CH_COUNT_ORDERS_REFUSED, 1);
    }
    ch_log(
        client, code == CH_OK ? CH_LOG_INFO : CH_LOG_WARNING, "order-ended",
        CH_F_STR("upstream", g_quark_to_string(sent_order->ledger->upstream)),
        CH_F_STR("item", sent_order->item),
        CH_F_STR("order", sent_order->order),
        CH_F_STR("code", ch_code_get_name(code)), CH_F_END);
}

/* Runs on a pool worker when a send of an order has ended. */
static void
handle_order_end(struct sent_order *sent_order, enum ch_code code)
{
    struct ch_upstream_ledger *ledger = sent_order->ledger;
    bool refused = code != CH_OK && ch_code_get_outcome(code) == CH_NOT_RUN;
    struct ended_send ended = {.refused = refused};
    g_strlcpy(ended.order_id, sent_order->order, sizeof(ended.order_id));
    log_order_end(sent_order, code);
    pthread_mutex_lock(&ledger->lock);
    g_hash_table_remove(ledger->in_flight, sent_order->order);
    g_array_append_val(ledger->ended_sends, ended);
    ledger_schedule_retry(ledger, sent_order->item,
                          code == CH_OK ? ORDER_RETRY_ACCEPTED_US
                                        : ORDER_RETRY_LOST_US);
    bool open = ledger->engine != NULL;
    pthread_mutex_unlock(&ledger->lock);
    if (refused && open) {
        GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
        struct intent intent = {.item = g_quark_from_string(sent_order->item),
                                .kind = sent_order->kind,
                                .code = code};
        g_array_append_val(failed, intent);
        ledger_notify_failed(ledger, failed);
    }
    ledger_submit_step(ledger);
    ch_upstream_ledger_unref(ledger);
    g_free(sent_order->item);
    g_free(sent_order);
}

struct order_reply {
    struct sent_order *sent_order;
    enum ch_code code;
};

static void
run_order_reply(void *data)
{
    struct order_reply *reply = data;
    handle_order_end(reply->sent_order, reply->code);
    g_free(reply);
}

/* Runs on the HTTP loop: hands the reply to a pool worker. */
static void
submit_order_reply(void *data, enum ch_code code)
{
    struct sent_order *sent_order = data;
    struct order_reply *reply = g_new(struct order_reply, 1);
    reply->sent_order = sent_order;
    reply->code = code;
    ch_pool_submit(sent_order->ledger->context->node->pool, run_order_reply,
                   reply);
}

/* Counts an order by its action. */
static void
count_order(const struct ch_node *node, const struct ch_order *order)
{
    struct ch_metrics *metrics = node->client->metrics;
    if (metrics == NULL) {
        return;
    }
    ch_metrics_add_count(metrics, CH_COUNT_ORDERS, 1);
    if (order->action == CH_ORDER_LOAD) {
        ch_metrics_add_count(metrics,
                             order->adapter == NULL ? CH_COUNT_MODEL_LOADS
                                                    : CH_COUNT_ADAPTER_LOADS,
                             1);
    }
    else if (order->adapter == NULL) {
        ch_metrics_add_count(metrics, CH_COUNT_MODEL_UNLOADS, 1);
    }
}

/* Sends an order. Without the engine (closed meanwhile) it counts as a send
 * that has ended: the ledger has the order as sent, and the next home sends it
 * again. */
static void
dispatch_order(struct sent_order *sent_order, const struct ch_order *order)
{
    struct ch_upstream_ledger *ledger = sent_order->ledger;
    pthread_mutex_lock(&ledger->lock);
    struct ch_upstream *engine = ledger->engine;
    ledger->sending_threads++;
    pthread_mutex_unlock(&ledger->lock);
    if (engine == NULL) {
        submit_order_reply(sent_order, CH_UPSTREAM_CONNECT);
    }
    else {
        count_order(ledger->context->node, order);
        ch_notices_count_call(ledger->context->node->notices, ledger->upstream,
                              CH_NOTICES_ORDER);
        engine->ops->send_order(engine, order, submit_order_reply, sent_order);
    }
    pthread_mutex_lock(&ledger->lock);
    ledger->sending_threads--;
    pthread_cond_broadcast(&ledger->idle);
    pthread_mutex_unlock(&ledger->lock);
}

/* The engine's limit permits an order, or not. */
static void
handle_order_permission(void *data, bool granted, int64_t retry_after)
{
    struct sent_order *sent_order = data;
    struct outgoing_order *outgoing = sent_order->waiting;
    struct ch_upstream_ledger *ledger =
        ch_upstream_ledger_ref(sent_order->ledger);
    (void)retry_after; /* the ledger has delays of its own */
    sent_order->waiting = NULL;
    if (granted) {
        dispatch_order(sent_order, &outgoing->order);
    }
    else {
        submit_order_reply(sent_order, CH_UPSTREAM_LIMITED);
    }
    ledger_outgoing_free(outgoing);
    ch_upstream_ledger_unref(ledger);
}

/* Sends the orders recorded by a successful write, after permission if the
 * engine has a limit. */
void
ledger_send_orders(struct ch_upstream_ledger *ledger, GPtrArray *orders)
{
    struct ch_limit_manager *limits = ledger->context->node->limits;
    pthread_mutex_lock(&ledger->lock);
    for (guint i = 0; i < orders->len; i++) {
        const struct outgoing_order *pending = g_ptr_array_index(orders, i);
        g_hash_table_add(ledger->in_flight, g_strdup(pending->order.id));
    }
    pthread_mutex_unlock(&ledger->lock);
    for (guint i = 0; i < orders->len; i++) {
        const struct outgoing_order *pending = g_ptr_array_index(orders, i);
        struct sent_order *sent_order = g_new0(struct sent_order, 1);
        sent_order->ledger = ch_upstream_ledger_ref(ledger);
        sent_order->item = g_strdup(pending->item);
        sent_order->kind = pending->order.action == CH_ORDER_LOAD
                               ? CH_ACTION_LOAD
                               : CH_ACTION_UNLOAD;
        g_strlcpy(sent_order->order, pending->order.id,
                  sizeof(sent_order->order));
        if (ch_notices_get_wait(ledger->context->node->notices,
                                ledger->upstream) > 0) {
            submit_order_reply(sent_order, CH_UPSTREAM_WAITS);
            continue;
        }
        if (!ch_limit_manager_is_limited(limits, ledger->upstream)) {
            dispatch_order(sent_order, &pending->order);
            continue;
        }
        sent_order->waiting = copy_outgoing(pending);
        ch_limit_manager_take(limits, ledger->upstream, CH_LIMITED_ORDER,
                              false, handle_order_permission, sent_order);
    }
}

/* Adds an entry's order to those sent after the write. */
void
ledger_add_pending_order(struct ch_upstream_ledger *ledger,
                         const struct ch_ledger_entry *entry)
{
    struct outgoing_order *pending = g_new0(struct outgoing_order, 1);
    g_auto(GStrv) parts = g_strsplit(entry->item, "/", 2);
    pending->item = g_strdup(entry->item);
    pending->model = g_strdup(parts[0]);
    pending->adapter = g_strdup(parts[1]);
    g_strlcpy(pending->order.id, entry->order_id, sizeof(pending->order.id));
    pending->order.fencing_token = entry->fencing_token;
    pending->order.action =
        entry->state == CH_LEDGER_UNLOADING ? CH_ORDER_UNLOAD : CH_ORDER_LOAD;
    pending->order.model = pending->model;
    pending->order.adapter = pending->adapter;
    g_ptr_array_add(ledger->pending_orders, pending);
}
