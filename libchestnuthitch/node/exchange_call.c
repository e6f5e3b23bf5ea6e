/* The call to the upstream: its limits, its response, and the timing sample
 * for the router. The handlers run on the thread of outgoing HTTP calls. */

#include "node/exchange.h"

#include "node/crash_guard.h"
#include "node/path_manager.h"

#include <string.h>

enum {
    /* A plain model response arrives in one piece after its last token, so the
     * limit to its first byte covers the time of all its tokens. Each token is
     * allowed four times the time measured at that upstream, so that an
     * upstream whose batch fills meanwhile is not taken for silent. Without a
     * measurement a token is allowed twice the class's target between tokens,
     * or the default when the class states no target. */
    TOKEN_TIME_FACTOR = 4,
    DEFAULT_TOKEN_US = 100 * 1000,
    MAX_FIRST_BYTE_US = 600 * G_USEC_PER_SEC,
    /*
     * A fully loaded upstream responds late, but it does respond. A request
     * that is moved away from it starts at the end of another queue, and its
     * prompt is prefilled a second time. So it stays until four times the
     * latency expected from the load, and a margin, have passed.
     */
    EXPECTED_LATENCY_FACTOR = 4,
    EXPECTED_LATENCY_MARGIN_US = 500 * 1000,
    /* A call ends this long after its caller's deadline at the latest. The
     * margin lets the deadline's own timer run first, which tells the caller
     * that the deadline passed. */
    DEADLINE_MARGIN_US = 100 * 1000,
};

/* Keeps the headers to pass on to the caller. A resumed stream keeps those of
 * its first upstream. This handler and handle_head() run only for a response
 * that was found to belong to this request. */
static void
handle_headers(void *data, const struct ch_http_header *headers, size_t count)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    for (size_t i = 0; !exchange->stream_started && i < count; i++) {
        ch_http_headers_add(exchange->headers, headers[i].name,
                            headers[i].value);
    }
    pthread_mutex_unlock(&exchange->lock);
}

static void
handle_head(void *data, int status, const char *content_type)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    exchange->status = status;
    g_free(exchange->content_type);
    exchange->content_type = g_strdup(content_type);
    exchange->is_stream =
        ch_call_is_stream(exchange->request->stream, status, content_type);
    pthread_mutex_unlock(&exchange->lock);
}

/* Records the time of received data. Lock held. */
static void
record_data_time(struct ch_exchange *exchange)
{
    int64_t now = ch_client_get_time(exchange->frontend->node->client);
    if (exchange->call_first_data_at == 0) {
        struct ch_router *router = exchange->frontend->node->router;
        exchange->call_first_data_at = now;
        ch_crash_guard_record_response(exchange->frontend->node->crash_guard,
                                       exchange->grant.upstream,
                                       exchange->dispatched_at);
        if (exchange->status < 300) {
            ch_crash_guard_record_begun(exchange->frontend->node->crash_guard,
                                        exchange->request);
        }
        if (router->ops->record_first_byte != NULL) {
            router->ops->record_first_byte(router, exchange->grant.handle);
        }
    }
    if (exchange->first_data_at == 0) {
        exchange->first_data_at = now;
    }
    else {
        exchange->longest_gap =
            MAX(exchange->longest_gap, now - exchange->last_data_at);
    }
    exchange->call_last_data_at = now;
    exchange->last_data_at = now;
}

/* Cancels the call; its on_end handler then ends the exchange. Lock held. */
static void
cancel_call(struct ch_exchange *exchange)
{
    exchange->grant.client->ops->cancel(exchange->grant.client,
                                        exchange->call_handle);
}

/* Appends to the body of a plain response, or to a stream's text that will be
 * stored. Lock held. */
static void
append_body(struct ch_exchange *exchange, const char *bytes, size_t length)
{
    if (exchange->response_too_large) {
        return;
    }
    if (exchange->body->len + length > CH_EXCHANGE_MAX_RESPONSE_BYTES) {
        exchange->response_too_large = true;
        cancel_call(exchange);
        return;
    }
    g_byte_array_append(exchange->body, (const guint8 *)bytes, (guint)length);
}

/* Parses the number on the event's "id" line; returns false when the event has
 * none. */
static bool
parse_event_id(const char *text, size_t length, uint64_t *id)
{
    const char *line = text;
    const char *end = text + length;
    while (line < end) {
        const char *next = memchr(line, '\n', (size_t)(end - line));
        if (strncmp(line, "id:", 3) == 0) {
            char *after = NULL;
            *id = g_ascii_strtoull(line + 3, &after, 10);
            return after == next;
        }
        line = next == NULL ? end : next + 1;
    }
    return false;
}

/*
 * Whether an event continues the caller's stream; if so, its ID is recorded.
 * Streams that are resumed by the ID of their last event are checked; an event
 * without an ID is accepted. A resumed call that starts elsewhere would leave
 * a gap or a repeat in the caller's response.
 */
static bool
check_event_sequence(struct ch_exchange *exchange, const char *bytes,
                     size_t length)
{
    uint64_t id = 0;
    if (!exchange->request->routed || !parse_event_id(bytes, length, &id)) {
        return true;
    }
    if (exchange->last_event_id != NULL &&
        id != g_ascii_strtoull(exchange->last_event_id, NULL, 10) + 1) {
        return false;
    }
    g_free(exchange->last_event_id);
    exchange->last_event_id = g_strdup_printf("%" G_GUINT64_FORMAT, id);
    return true;
}

/* Forwards one event to the caller. Lock held. */
static void
forward_event(struct ch_exchange *exchange, const char *bytes, size_t length)
{
    if (exchange->out_of_order ||
        !check_event_sequence(exchange, bytes, length)) {
        exchange->out_of_order = true;
        cancel_call(exchange);
        return;
    }
    exchange->events_delivered++;
    exchange->call_event_count++;
    exchange->generated_tokens = exchange->events_delivered;
    if (exchange->once_record_created) {
        append_body(exchange, bytes, length);
    }
    if (exchange->responded) {
        return;
    }
    if (!exchange->stream_started) {
        exchange->stream_started = true;
        ch_exchange_record_begin(exchange);
        ch_response_start_stream(
            exchange->response,
            (const struct ch_http_header *)(void *)exchange->headers->data,
            exchange->headers->len);
    }
    if (!ch_response_add_event(exchange->response, bytes, length)) {
        ch_exchange_abandon(exchange, CH_CANCELLED,
                            "the caller is gone or reads too slowly");
    }
}

/* Handles a part of a plain response, or one event. The data is dropped when
 * nobody needs it any more. */
static void
handle_data(void *data, const char *bytes, size_t length)
{
    struct ch_exchange *exchange = data;
    struct ch_metrics *metrics = exchange->frontend->node->client->metrics;
    pthread_mutex_lock(&exchange->lock);
    record_data_time(exchange);
    if (exchange->grant.other_region) {
        ch_metrics_add_count(metrics, CH_COUNT_LINK_BYTES, length);
    }
    if (exchange->abandoned && !exchange->once_record_created) {
        pthread_mutex_unlock(&exchange->lock);
        return;
    }
    if (exchange->is_stream) {
        ch_metrics_add_count(metrics, CH_COUNT_TOKENS, 1);
        forward_event(exchange, bytes, length);
    }
    else {
        append_body(exchange, bytes, length);
    }
    pthread_mutex_unlock(&exchange->lock);
}

/*
 * Decides whether a silent call is given up; returns true to end it. An
 * upstream that is unreachable or slow may still respond, so the call is given
 * up only in favour of a retry, which is taken from the budget here. Without a
 * retry the call is waited for until the deadline.
 */
static bool
handle_silence(void *data)
{
    struct ch_exchange *exchange = data;
    struct ch_frontend *front = exchange->frontend;
    const struct ch_request_info *info = &exchange->request->info;
    if (!exchange->request->routed) {
        return false;
    }
    pthread_mutex_lock(&exchange->lock);
    /* Takes no retry for an abandoned call, which is being cancelled or left
     * to run to its end. */
    bool taken = false;
    if (!exchange->abandoned) {
        int64_t now = ch_client_get_time(front->node->client);
        pthread_mutex_lock(&front->lock);
        taken = ch_retry_may_abandon(
            ch_frontend_get_retry_budget(front, info->required_service),
            &exchange->retry_taken, info, now);
        pthread_mutex_unlock(&front->lock);
    }
    pthread_mutex_unlock(&exchange->lock);
    return !taken;
}

/* The number of tokens in the usage of a plain response; 0 when it states
 * none. */
static uint32_t
parse_completion_tokens(const GByteArray *body)
{
    static const char member[] = "\"completion_tokens\"";
    const char *text = (const char *)body->data;
    const char *end = text + body->len;
    const char *at = body->len == 0
                         ? NULL
                         : memmem(text, body->len, member, sizeof(member) - 1);
    uint64_t tokens = 0;
    if (at == NULL) {
        return 0;
    }
    at += sizeof(member) - 1;
    while (at < end && (*at == ' ' || *at == ':')) {
        at++;
    }
    while (at < end && g_ascii_isdigit(*at) &&
           tokens < CH_REQUEST_MAX_TOKENS) {
        tokens = tokens * 10 + (uint64_t)g_ascii_digit_value(*at);
        at++;
    }
    return (uint32_t)MIN(tokens, CH_REQUEST_MAX_TOKENS);
}

static void
handle_call_end(void *data, const struct ch_call_result *end)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    /* A plain response to a resumed call can't continue the stream that has
     * started. */
    struct ch_call_result effective_end = *end;
    if (end->code == CH_OK && exchange->stream_started &&
        !exchange->is_stream) {
        effective_end.code = CH_UPSTREAM_ANSWER;
        g_strlcpy(effective_end.message,
                  "the upstream did not resume the stream",
                  sizeof(effective_end.message));
    }
    if (end->code == CH_OK && !exchange->is_stream &&
        !exchange->request->info.is_service) {
        exchange->generated_tokens = parse_completion_tokens(exchange->body);
    }
    if (exchange->out_of_order) {
        effective_end.code = CH_UPSTREAM_ANSWER;
        effective_end.may_have_run = true;
        g_strlcpy(effective_end.message, "an event is missing or was repeated",
                  sizeof(effective_end.message));
    }
    bool over = ch_exchange_handle_call_end(exchange, &effective_end);
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_finish(exchange);
    }
}

/* The time limit to the first byte of the response; see TOKEN_TIME_FACTOR. */
static int64_t
first_byte_limit(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    int64_t limit =
        (int64_t)exchange->frontend->node->settings->first_byte_ms * 1000;
    if (request->first_byte_limit > 0) {
        return MAX(request->first_byte_limit,
                   EXPECTED_LATENCY_FACTOR * exchange->grant.expected_latency +
                       EXPECTED_LATENCY_MARGIN_US);
    }
    if (request->stream || request->info.is_service) {
        return limit;
    }
    int64_t token = request->token_target > 0 ? 2 * request->token_target
                                              : DEFAULT_TOKEN_US;
    if (exchange->grant.token_time > 0) {
        token = MIN(token, TOKEN_TIME_FACTOR * exchange->grant.token_time);
    }
    return MIN(limit + token * request->info.max_output_tokens,
               MAX_FIRST_BYTE_US);
}

/* Resets what is known of the previous call before a new one. */
static void
reset_call(struct ch_exchange *exchange)
{
    exchange->step = CH_EXCHANGE_STEP_CALL;
    exchange->call_count++;
    exchange->retry_taken = false;
    exchange->may_have_run_before = exchange->may_have_run;
    exchange->may_have_run = true;
    exchange->dispatched_at =
        ch_client_get_time(exchange->frontend->node->client);
    exchange->call_first_data_at = 0;
    exchange->call_last_data_at = 0;
    exchange->call_event_count = 0;
    exchange->status = 0;
    exchange->is_stream = false;
    exchange->out_of_order = false;
    if (!exchange->stream_started) {
        g_array_set_size(exchange->headers, 0);
    }
}

/* See exchange.h. */
const char *
ch_exchange_get_request_id(const struct ch_exchange *exchange)
{
    return exchange->request->request_id != NULL
               ? exchange->request->request_id
               : ch_response_get_id(exchange->response);
}

/* See exchange.h. The grant may come after the deadline but before the
 * deadline's timer has run: the result is then 1, since a call with 0 would
 * have no limit. */
int64_t
ch_exchange_get_time_left(const struct ch_request *request, int64_t now)
{
    if (!request->routed || request->deadline == 0) {
        return 0;
    }
    return MAX(request->deadline - now, 1);
}

/* Calls the granted upstream, by another node (relay) or directly (NULL). A
 * retry uses a fresh connection: the first call may have failed because the
 * kept-alive connections have gone silent. */
static void
call_upstream(struct ch_exchange *exchange, const struct ch_path_relay *relay)
{
    static const struct ch_call_handlers handlers = {
        .on_headers = handle_headers,
        .on_response = handle_head,
        .on_data = handle_data,
        .on_stall = handle_silence,
        .on_end = handle_call_end,
    };
    const struct ch_request *request = exchange->request;
    const struct ch_settings *settings = exchange->frontend->node->settings;
    reset_call(exchange);
    struct ch_call call = {
        .request_id = ch_exchange_get_request_id(exchange),
        .method = request->method,
        .path = request->path,
        .content_type = request->content_type,
        .idempotency_key = request->info.is_service ? request->key : NULL,
        .body = request->body,
        .body_length = request->body_length,
        .stream = request->stream,
        .may_repeat = request->info.idempotent,
        .fresh_connection =
            request->info.attempt > 0 || request->info.refusals > 0,
        .resume_from = exchange->events_delivered,
        .last_event_id = exchange->last_event_id,
        .headers = request->headers,
        .header_count = request->header_count,
        .remaining_time =
            ch_exchange_get_time_left(request, exchange->dispatched_at),
        .priority = exchange->grant.priority,
        .team = request->team,
        .connect_timeout = (int64_t)settings->connect_ms * 1000,
        .first_byte_timeout = first_byte_limit(exchange),
        .stall_timeout = request->stall_limit > 0
                             ? request->stall_limit
                             : (int64_t)settings->stall_ms * 1000,
    };
    call.total_timeout =
        call.remaining_time > 0 ? call.remaining_time + DEADLINE_MARGIN_US : 0;
    const struct ch_call_relay call_relay = {
        .address = relay == NULL ? NULL : relay->address,
        .upstream = g_quark_to_string(exchange->grant.upstream),
    };
    if (relay != NULL) {
        call.relay = &call_relay;
    }
    exchange->relay = relay == NULL ? 0 : relay->name;
    ch_exchange_write_stream_record(exchange);
    ch_exchange_log_going_on(exchange);
    ch_notices_count_call(exchange->frontend->node->notices,
                          exchange->grant.upstream, CH_NOTICES_REQUEST);
    struct ch_upstream *client = exchange->grant.client;
    exchange->call_handle =
        client->ops->call(client, &call, &handlers, exchange);
}

/* Chooses by which node the call goes; false: it goes directly. */
static bool
choose_relay(const struct ch_exchange *exchange, struct ch_path_relay *relay)
{
    return ch_path_manager_choose_relay(exchange->frontend->node->paths,
                                        exchange->grant.upstream,
                                        exchange->failed_relays, relay);
}

/* See exchange.h. */
void
ch_exchange_call_upstream(struct ch_exchange *exchange)
{
    struct ch_path_relay relay;
    call_upstream(exchange, choose_relay(exchange, &relay) ? &relay : NULL);
}

/* See exchange.h. */
bool
ch_exchange_may_call_upstream(const struct ch_exchange *exchange)
{
    struct ch_client *client = exchange->frontend->node->client;
    struct ch_router *router = exchange->frontend->node->router;
    if (router->ops->may_call == NULL ||
        router->ops->may_call(router, exchange->grant.handle)) {
        return true;
    }
    ch_metrics_add_count(client->metrics, CH_COUNT_GRANTS_OUTDATED, 1);
    return false;
}

/* See exchange.h. */
bool
ch_exchange_call_by_other_node(struct ch_exchange *exchange)
{
    struct ch_path_relay relay;
    if (!ch_exchange_may_call_upstream(exchange) ||
        !choose_relay(exchange, &relay)) {
        return false;
    }
    call_upstream(exchange, &relay);
    return true;
}

/* All tokens of a plain model response arrive at once, so the time of one
 * token is computed from the whole. */
struct ch_timing_sample
ch_exchange_get_timing_sample(const struct ch_exchange *exchange,
                              enum ch_code code)
{
    struct ch_timing_sample sample = {.code = code};
    if (exchange->call_first_data_at == 0) {
        return sample;
    }
    sample.first_byte_time =
        exchange->call_first_data_at - exchange->dispatched_at;
    if (exchange->is_stream) {
        sample.token_count = exchange->call_event_count;
        if (exchange->call_event_count > 1) {
            sample.token_time =
                (exchange->call_last_data_at - exchange->call_first_data_at) /
                (exchange->call_event_count - 1);
        }
    }
    else if (exchange->generated_tokens > 0) {
        sample.token_count = exchange->generated_tokens;
        sample.token_time =
            sample.first_byte_time / exchange->generated_tokens;
        sample.first_byte_time = sample.token_time;
    }
    return sample;
}
