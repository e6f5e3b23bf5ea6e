/* The orders that a ledger's writes cover, on their way to the engine. */

#include "node/ledger_internal.h"

#include <string.h>

/* Frees an order with its names. */
void
ledger_outgoing_free(void *data)
{
    struct outgoing *out = data;
    g_free(out->model);
    g_free(out->adapter);
    g_free(out->item);
    g_free(out);
}

struct sent {
    struct ch_ledger_holding *holding;
    char order[40];
    char *item;
    enum ch_action_kind kind;
};

/* Puts off the next copy of an item's order.  Lock held. */
void
ledger_delay_resend(struct ch_ledger_holding *holding, const char *item,
                    int64_t first)
{
    struct resend *resend = g_hash_table_lookup(holding->resends, item);
    if (resend == NULL) {
        resend = g_new0(struct resend, 1);
        g_hash_table_insert(holding->resends, g_strdup(item), resend);
    }
    resend->delay = CLAMP(resend->delay * 2, first, MOST_RESEND);
    resend->due = ch_client_now(holding->office->node->client) + resend->delay;
}

/* Logs how an order's copy ended, and counts a refusal. */
static void
log_order_end(const struct sent *sent, enum ch_code code)
{
    const struct ch_client *client = sent->holding->office->node->client;
    if (code == CH_STALE_FENCE && client->metrics != NULL) {
        ch_metrics_count(client->metrics, CH_COUNT_ORDERS_REFUSED, 1);
    }
    ch_log(client, code == CH_OK ? CH_LOG_INFO : CH_LOG_WARNING, "order-ended",
           CH_F_STR("upstream", g_quark_to_string(sent->holding->upstream)),
           CH_F_STR("item", sent->item), CH_F_STR("order", sent->order),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
}

/* On a worker: one copy of an order has ended. */
static void
order_ended(struct sent *sent, enum ch_code code)
{
    struct ch_ledger_holding *holding = sent->holding;
    bool refused = code != CH_OK && ch_code_outcome(code) == CH_NOT_RUN;
    struct ending ending = {.refused = refused};
    g_strlcpy(ending.order, sent->order, sizeof(ending.order));
    log_order_end(sent, code);
    pthread_mutex_lock(&holding->lock);
    g_hash_table_remove(holding->inflight, sent->order);
    g_array_append_val(holding->endings, ending);
    ledger_delay_resend(holding, sent->item,
                        code == CH_OK ? RESEND_ACCEPTED : RESEND_LOST);
    bool open = holding->engine != NULL;
    pthread_mutex_unlock(&holding->lock);
    if (refused && open) {
        GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
        struct intent intent = {.item = g_quark_from_string(sent->item),
                                .kind = sent->kind,
                                .code = code};
        g_array_append_val(failed, intent);
        ledger_tell_failed(holding, failed);
    }
    ledger_submit_step(holding);
    ch_ledger_holding_unref(holding);
    g_free(sent->item);
    g_free(sent);
}

struct order_answer {
    struct sent *sent;
    enum ch_code code;
};

/* On a worker. */
static void
order_answer_run(void *data)
{
    struct order_answer *answer = data;
    order_ended(answer->sent, answer->code);
    g_free(answer);
}

/* On the HTTP loop: hands an order's answer to a worker. */
static void
order_answered(void *data, enum ch_code code)
{
    struct sent *sent = data;
    struct order_answer *answer = g_new(struct order_answer, 1);
    answer->sent = sent;
    answer->code = code;
    ch_pool_submit(sent->holding->office->node->pool, order_answer_run,
                   answer);
}

/* Counts an order by what it does. */
static void
count_order(const struct ch_node *node, const struct ch_order *order)
{
    struct ch_metrics *metrics = node->client->metrics;
    if (metrics == NULL) {
        return;
    }
    ch_metrics_count(metrics, CH_COUNT_ORDERS, 1);
    if (order->action == CH_ORDER_LOAD) {
        ch_metrics_count(metrics,
                         order->adapter == NULL ? CH_COUNT_MODEL_LOADS
                                                : CH_COUNT_ADAPTER_LOADS,
                         1);
    }
    else if (order->adapter == NULL) {
        ch_metrics_count(metrics, CH_COUNT_MODEL_UNLOADS, 1);
    }
}

/*
 * Sends the orders that a write has covered.  Without the engine (closed
 * meanwhile) each counts as a copy that has ended: the ledger holds it as on
 * its way, and the next home sends it.
 */
void
ledger_send_orders(struct ch_ledger_holding *holding, GPtrArray *orders)
{
    pthread_mutex_lock(&holding->lock);
    struct ch_upstream *engine = holding->engine;
    holding->sending++;
    for (guint i = 0; i < orders->len; i++) {
        const struct outgoing *out = g_ptr_array_index(orders, i);
        g_hash_table_add(holding->inflight, g_strdup(out->order.id));
    }
    pthread_mutex_unlock(&holding->lock);
    for (guint i = 0; i < orders->len; i++) {
        const struct outgoing *out = g_ptr_array_index(orders, i);
        struct sent *sent = g_new0(struct sent, 1);
        sent->holding = ch_ledger_holding_ref(holding);
        sent->item = g_strdup(out->item);
        sent->kind = out->order.action == CH_ORDER_LOAD ? CH_ACTION_LOAD
                                                        : CH_ACTION_UNLOAD;
        g_strlcpy(sent->order, out->order.id, sizeof(sent->order));
        if (engine == NULL) {
            order_answered(sent, CH_UPSTREAM_CONNECT);
            continue;
        }
        count_order(holding->office->node, &out->order);
        engine->ops->order(engine, &out->order, order_answered, sent);
    }
    pthread_mutex_lock(&holding->lock);
    holding->sending--;
    pthread_cond_broadcast(&holding->idle);
    pthread_mutex_unlock(&holding->lock);
}

/* Adds an entry's order to what is sent after the write. */
void
ledger_add_outgoing(struct ch_ledger_holding *holding,
                    const struct ch_ledger_entry *entry)
{
    struct outgoing *out = g_new0(struct outgoing, 1);
    g_auto(GStrv) parts = g_strsplit(entry->item, "/", 2);
    out->item = g_strdup(entry->item);
    out->model = g_strdup(parts[0]);
    out->adapter = g_strdup(parts[1]);
    g_strlcpy(out->order.id, entry->order_id, sizeof(out->order.id));
    out->order.fence = entry->fencing_token;
    out->order.action =
        entry->state == CH_LEDGER_UNLOADING ? CH_ORDER_UNLOAD : CH_ORDER_LOAD;
    out->order.model = out->model;
    out->order.adapter = out->adapter;
    g_ptr_array_add(holding->outgoing, out);
}
