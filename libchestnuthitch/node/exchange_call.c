/* The upstream's side of an exchange: the call, what comes of it, and what its
 * home learns from it.  The handlers run on the loop of HTTP calls out. */

#include "node/exchange.h"

#include "node/crash_keeper.h"

#include <string.h>

enum {
    /* A plain model answer comes in one piece after its last token: the bound
     * to its first byte is one for all its tokens, each four times what the
     * home has measured there, so that a batch that fills meanwhile does not
     * look silent.  Until something was measured: twice the class's target
     * between tokens, or this when it states none. */
    MEASURED_TIMES = 4,
    USUAL_TOKEN = 100 * 1000,
    MOST_FIRST_BYTE = 600 * G_USEC_PER_SEC,
    /*
     * An upstream that is full answers late and not never: a request that is
     * taken away from it begins at the end of another queue, and what it read
     * of the prompt is read twice.  So it is left there until four times what
     * the load explains, and some more, have passed.
     */
    EXPECTED_TIMES = 4,
    EXPECTED_MORE = 500 * 1000,
    /* A call that is waited for ends this long after its caller's deadline at
     * the latest: the deadline's own timer, which tells the caller so, runs
     * first. */
    AFTER_DEADLINE = 100 * 1000,
};

/* The headers of an answer that is ours.  A stream that was begun keeps those
 * of its first upstream. */
static void
call_headers(void *data, const struct ch_http_header *headers, size_t count)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    for (size_t i = 0; !exchange->stream_begun && i < count; i++) {
        const struct ch_http_header copy = {g_strdup(headers[i].name),
                                            g_strdup(headers[i].value)};
        g_array_append_val(exchange->headers, copy);
    }
    pthread_mutex_unlock(&exchange->lock);
}

/* The head of an answer that is ours. */
static void
call_head(void *data, int status, const char *content_type)
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

/* Notes when data came.  Lock held. */
static void
note_times(struct ch_exchange *exchange)
{
    int64_t now = ch_client_now(exchange->front->node->client);
    if (exchange->call_first == 0) {
        struct ch_router *router = exchange->front->node->router;
        exchange->call_first = now;
        ch_crash_keeper_answered(exchange->front->node->crashes,
                                 exchange->grant.upstream,
                                 exchange->dispatched);
        if (router->ops->first != NULL) {
            router->ops->first(router, exchange->grant.handle);
        }
    }
    if (exchange->first == 0) {
        exchange->first = now;
    }
    else {
        exchange->longest_gap =
            MAX(exchange->longest_gap, now - exchange->last);
    }
    exchange->call_last = now;
    exchange->last = now;
}

/* Cancels the call: its on_end then ends the course.  Lock held. */
static void
cancel_call(struct ch_exchange *exchange)
{
    exchange->grant.client->ops->cancel(exchange->grant.client,
                                        exchange->call_handle);
}

/* Adds bytes of a plain answer, or of a stream whose text is to be kept.  Lock
 * held. */
static void
gather(struct ch_exchange *exchange, const char *bytes, size_t length)
{
    if (exchange->too_large) {
        return;
    }
    if (exchange->body->len + length > CH_EXCHANGE_MOST_ANSWER) {
        exchange->too_large = true;
        cancel_call(exchange);
        return;
    }
    g_byte_array_append(exchange->body, (const guint8 *)bytes, (guint)length);
}

/* The number on the event's "id" line; false when it has none. */
static bool
event_id(const char *text, size_t length, uint64_t *id)
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
 * Whether an event goes on where the caller's stream stands, for streams that
 * are resumed by the id of their last event.  A resumed call that began
 * somewhere else would leave a gap or a repeat in the caller's answer.
 */
static bool
goes_on(struct ch_exchange *exchange, const char *bytes, size_t length)
{
    uint64_t id = 0;
    if (!exchange->request->routed || !event_id(bytes, length, &id)) {
        return true;
    }
    if (exchange->last_event != NULL &&
        id != g_ascii_strtoull(exchange->last_event, NULL, 10) + 1) {
        return false;
    }
    g_free(exchange->last_event);
    exchange->last_event = g_strdup_printf("%" G_GUINT64_FORMAT, id);
    return true;
}

/* Passes one event on.  Lock held. */
static void
pass_event(struct ch_exchange *exchange, const char *bytes, size_t length)
{
    if (exchange->out_of_order || !goes_on(exchange, bytes, length)) {
        exchange->out_of_order = true;
        cancel_call(exchange);
        return;
    }
    exchange->events++;
    exchange->call_events++;
    exchange->made_tokens = exchange->events;
    if (exchange->once_created) {
        gather(exchange, bytes, length);
    }
    if (exchange->told) {
        return;
    }
    if (!exchange->stream_begun) {
        exchange->stream_begun = true;
        ch_reply_begin(
            exchange->reply,
            (const struct ch_http_header *)(void *)exchange->headers->data,
            exchange->headers->len);
    }
    if (!ch_reply_event(exchange->reply, bytes, length)) {
        ch_exchange_abandon(exchange, CH_CANCELLED,
                            "the caller is gone or reads too slowly");
    }
}

/* Bytes of a plain answer, or one event.  They are dropped when nobody waits
 * for them any more. */
static void
call_data(void *data, const char *bytes, size_t length)
{
    struct ch_exchange *exchange = data;
    struct ch_metrics *metrics = exchange->front->node->client->metrics;
    pthread_mutex_lock(&exchange->lock);
    note_times(exchange);
    if (exchange->grant.other_region) {
        ch_metrics_count(metrics, CH_COUNT_LINK_BYTES, length);
    }
    if (exchange->abandoned && !exchange->once_created) {
        pthread_mutex_unlock(&exchange->lock);
        return;
    }
    if (exchange->is_stream) {
        ch_metrics_count(metrics, CH_COUNT_TOKENS, 1);
        pass_event(exchange, bytes, length);
    }
    else {
        gather(exchange, bytes, length);
    }
    pthread_mutex_unlock(&exchange->lock);
}

/*
 * An upstream that is cut off, or works slowly, may answer yet.  It is given
 * up only for another try, which is held from here on: a caller who may have
 * none waits for this one until the deadline.
 */
static bool
call_silent(void *data)
{
    struct ch_exchange *exchange = data;
    struct ch_front *front = exchange->front;
    const struct ch_request_info *work = &exchange->request->work;
    if (!exchange->request->routed) {
        return false;
    }
    pthread_mutex_lock(&exchange->lock);
    /* One that is abandoned is being cancelled, or left to run to its end. */
    bool held = false;
    if (!exchange->abandoned) {
        int64_t now = ch_client_now(front->node->client);
        pthread_mutex_lock(&front->lock);
        held = ch_retry_may_abandon(
            ch_front_budget(front, work->required_service),
            &exchange->try_held, work, now);
        pthread_mutex_unlock(&front->lock);
    }
    pthread_mutex_unlock(&exchange->lock);
    return !held;
}

/* The number of tokens in a plain answer's usage, 0 when it has none. */
static uint32_t
tokens_of_answer(const GByteArray *body)
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
           tokens < CH_REQUEST_MOST_TOKENS) {
        tokens = tokens * 10 + (uint64_t)g_ascii_digit_value(*at);
        at++;
    }
    return (uint32_t)MIN(tokens, CH_REQUEST_MOST_TOKENS);
}

/* The call is over. */
static void
call_end(void *data, const struct ch_call_end *end)
{
    struct ch_exchange *exchange = data;
    pthread_mutex_lock(&exchange->lock);
    /* What a resumed call answers in another shape than the stream that was
     * begun can't go on in it. */
    struct ch_call_end judged = *end;
    if (end->code == CH_OK && exchange->stream_begun && !exchange->is_stream) {
        judged.code = CH_UPSTREAM_ANSWER;
        g_strlcpy(judged.message, "the stream was not resumed",
                  sizeof(judged.message));
    }
    if (end->code == CH_OK && !exchange->is_stream &&
        !exchange->request->work.is_service) {
        exchange->made_tokens = tokens_of_answer(exchange->body);
    }
    if (exchange->out_of_order) {
        judged.code = CH_UPSTREAM_ANSWER;
        judged.may_have_run = true;
        g_strlcpy(judged.message, "an event is missing or came twice",
                  sizeof(judged.message));
    }
    bool over = ch_exchange_call_ended(exchange, &judged);
    pthread_mutex_unlock(&exchange->lock);
    if (over) {
        ch_exchange_over(exchange);
    }
}

/* The bound to the first byte of the answer; see USUAL_TOKEN. */
static int64_t
first_byte_limit(const struct ch_exchange *exchange)
{
    const struct ch_request *request = exchange->request;
    int64_t limit =
        (int64_t)exchange->front->node->settings->first_byte_ms * 1000;
    if (request->first_byte_limit > 0) {
        return MAX(request->first_byte_limit,
                   EXPECTED_TIMES * exchange->grant.expected + EXPECTED_MORE);
    }
    if (request->stream || request->work.is_service) {
        return limit;
    }
    int64_t token = request->between_tokens > 0 ? 2 * request->between_tokens
                                                : USUAL_TOKEN;
    if (exchange->grant.token > 0) {
        token = MIN(token, MEASURED_TIMES * exchange->grant.token);
    }
    return MIN(limit + token * request->work.max_output_tokens,
               MOST_FIRST_BYTE);
}

/* Sets the exchange back to before the first byte of a call. */
static void
reset_call(struct ch_exchange *exchange)
{
    exchange->step = CH_STEP_CALL;
    exchange->calls++;
    exchange->try_held = false;
    exchange->ran_before = exchange->may_have_run;
    exchange->may_have_run = true;
    exchange->dispatched = ch_client_now(exchange->front->node->client);
    exchange->call_first = 0;
    exchange->call_last = 0;
    exchange->call_events = 0;
    exchange->status = 0;
    exchange->is_stream = false;
    exchange->out_of_order = false;
    if (!exchange->stream_begun) {
        g_array_set_size(exchange->headers, 0);
    }
}

/* See exchange.h. */
const char *
ch_exchange_id(const struct ch_exchange *exchange)
{
    return exchange->request->request_id != NULL
               ? exchange->request->request_id
               : ch_reply_id(exchange->reply);
}

/* See exchange.h.  Leave may come after the deadline and before its timer has
 * run: a call that began then with no time stated would have no limit. */
int64_t
ch_exchange_time_left(const struct ch_request *request, int64_t now)
{
    if (!request->routed || request->deadline == 0) {
        return 0;
    }
    return MAX(request->deadline - now, 1);
}

/* Calls the granted upstream.  A second try goes out on a fresh connection:
 * the first may have failed because kept-alive ones have gone silent. */
void
ch_exchange_call(struct ch_exchange *exchange)
{
    static const struct ch_call_handlers handlers = {
        .on_headers = call_headers,
        .on_head = call_head,
        .on_data = call_data,
        .on_silent = call_silent,
        .on_end = call_end,
    };
    const struct ch_request *request = exchange->request;
    const struct ch_settings *settings = exchange->front->node->settings;
    reset_call(exchange);
    struct ch_call call = {
        .request_id = ch_exchange_id(exchange),
        .method = request->method,
        .path = request->path,
        .content_type = request->content_type,
        .idempotency_key = request->work.is_service ? request->key : NULL,
        .body = request->body,
        .body_length = request->length,
        .stream = request->stream,
        .may_repeat = request->work.idempotent,
        .fresh = request->work.attempt > 0 || request->work.refusals > 0,
        .resume_from = exchange->events,
        .resume_id = exchange->last_event,
        .headers = request->headers,
        .header_count = request->header_count,
        .time_left = ch_exchange_time_left(request, exchange->dispatched),
        .priority = exchange->grant.priority,
        .connect_limit = (int64_t)settings->connect_ms * 1000,
        .first_byte_limit = first_byte_limit(exchange),
        .stall_limit = request->stall_limit > 0
                           ? request->stall_limit
                           : (int64_t)settings->stall_ms * 1000,
    };
    call.total_limit =
        call.time_left > 0 ? call.time_left + AFTER_DEADLINE : 0;
    struct ch_upstream *client = exchange->grant.client;
    exchange->call_handle =
        client->ops->call(client, &call, &handlers, exchange);
}

/* Of a plain model answer all tokens come at once, so that the time for one is
 * taken from the whole. */
struct ch_timing_sample
ch_exchange_sample(const struct ch_exchange *exchange, enum ch_code code)
{
    struct ch_timing_sample sample = {.code = code};
    if (exchange->call_first == 0) {
        return sample;
    }
    sample.first_byte_time = exchange->call_first - exchange->dispatched;
    if (exchange->is_stream) {
        sample.token_count = exchange->call_events;
        if (exchange->call_events > 1) {
            sample.token_time = (exchange->call_last - exchange->call_first) /
                                (exchange->call_events - 1);
        }
    }
    else if (exchange->made_tokens > 0) {
        sample.token_count = exchange->made_tokens;
        sample.token_time = sample.first_byte_time / exchange->made_tokens;
        sample.first_byte_time = sample.token_time;
    }
    return sample;
}
