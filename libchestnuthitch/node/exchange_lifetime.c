/* Creation and reference counting of exchanges. Every pending callback holds a
 * reference. */

#include "node/exchange.h"

/* See exchange.h. */
enum ch_exchange_step
ch_exchange_first_step(const struct ch_request *request)
{
    return !request->info.idempotent && request->key != NULL
               ? CH_EXCHANGE_STEP_ONCE
               : CH_EXCHANGE_STEP_ROUTE;
}

/* Takes ownership of request. The new exchange has not begun. */
struct ch_exchange *
ch_exchange_new(struct ch_frontend *front, struct ch_request *request,
                struct ch_response *response)
{
    struct ch_exchange *exchange = g_new0(struct ch_exchange, 1);
    exchange->references = 1;
    exchange->frontend = front;
    exchange->request = request;
    exchange->response = ch_response_ref(response);
    exchange->excluded = g_array_new(FALSE, FALSE, sizeof(GQuark));
    exchange->failed_relays = g_array_new(FALSE, FALSE, sizeof(GQuark));
    exchange->headers = ch_http_headers_new();
    exchange->last_event_id = g_strdup(request->resume_id);
    exchange->body = g_byte_array_new();
    exchange->arrived_at = request->info.arrived_at;
    exchange->arrived_wall_ms = g_get_real_time() / 1000;
    exchange->code = CH_SYSTEM;
    exchange->step = ch_exchange_first_step(request);
    if (ch_exchange_takes_up_stream(exchange)) {
        exchange->step = CH_EXCHANGE_STEP_ORIGIN;
    }
    if (request->quota_cost > 0) {
        exchange->step = CH_EXCHANGE_STEP_QUOTA;
    }
    pthread_mutex_init(&exchange->lock, NULL);
    return exchange;
}

/* Adds a reference. */
struct ch_exchange *
ch_exchange_ref(struct ch_exchange *exchange)
{
    g_atomic_int_inc(&exchange->references);
    return exchange;
}

/* Drops a reference; the last one frees the exchange. */
void
ch_exchange_unref(void *data)
{
    struct ch_exchange *exchange = data;
    if (!g_atomic_int_dec_and_test(&exchange->references)) {
        return;
    }
    ch_request_free(exchange->request);
    g_array_free(exchange->excluded, TRUE);
    g_array_free(exchange->failed_relays, TRUE);
    g_byte_array_free(exchange->body, TRUE);
    g_array_free(exchange->headers, TRUE);
    g_free(exchange->last_event_id);
    g_free(exchange->content_type);
    pthread_mutex_destroy(&exchange->lock);
    g_free(exchange);
}
