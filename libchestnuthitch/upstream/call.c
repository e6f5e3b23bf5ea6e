/*
 * One request to an upstream. Nothing of a response is forwarded before it is
 * known to belong to this request, and the response counts as complete only
 * with the upstream's own end marker.
 */

#include "upstream/call.h"

#include "upstream/sse.h"

#include <ck_pr.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

enum {
    /* To another node; some round trips between regions. Another one is tried
     * after it, so it is short. */
    RELAY_CONNECT_TIMEOUT_US = 300 * 1000,
};

struct call_exchange {
    int references;
    struct ch_client *client;
    struct ch_http *http;
    uint64_t handle; /* atomic: set once ch_http_submit() has returned */
    struct ch_call_rules rules;
    struct ch_limit_listener limit_listener;
    struct ch_limit_listener brittle_listener;
    struct ch_path_listener path_listener;
    struct ch_notice_listener notice_listener;
    struct ch_pace_listener pace_listener;
    struct ch_notice_reader notice_reader;
    int64_t sent_at;
    struct ch_call_handlers handlers;
    void *data;
    char *request_id;
    char *event_id;
    bool stream_expected;
    bool is_head_request;
    bool is_relayed;
    enum ch_relay_result relay_result;
    /* From the response's status line and headers. */
    int status;
    bool id_matches;
    bool id_missing;
    bool not_run;
    bool is_framed;     /* Content-Length or chunks: its end can be detected */
    bool has_signature; /* the signature header was received */
    char *content_type;
    char *limit_values;   /* of the header that names a limit; NULL: none */
    char *brittle_values; /* likewise, of rules.brittle_header */
    char *load_text;      /* of rules.load_header; NULL: none */
    GArray *headers;      /* struct ch_http_header, to be forwarded */
    /* Progress of the response. */
    bool headers_checked; /* check_headers() has run */
    bool is_stream;
    bool done_received; /* [DONE] was received */
    uint32_t event_count;
    struct ch_sse_parser sse;
    /* The first cause of failure; nothing is forwarded after it is set. */
    enum ch_code failure;
    char message[160];
    bool end_reported; /* on_end was called */
};

/* Releases a reference; the last one frees the exchange. */
static void
call_exchange_unref(struct call_exchange *exchange)
{
    if (!g_atomic_int_dec_and_test(&exchange->references)) {
        return;
    }
    g_array_free(exchange->headers, TRUE);
    ch_sse_clear(&exchange->sse);
    g_free(exchange->request_id);
    g_free(exchange->event_id);
    g_free(exchange->content_type);
    g_free(exchange->limit_values);
    g_free(exchange->brittle_values);
    g_free(exchange->load_text);
    g_free(exchange);
}

/* Records a failure; only the first one is kept. */
static void
fail(struct call_exchange *exchange, enum ch_code code, const char *message)
{
    if (exchange->failure == CH_OK) {
        exchange->failure = code;
        (void)snprintf(exchange->message, sizeof(exchange->message), "%s",
                       message);
    }
}

/*
 * Records a response with another request's id. Its bytes may belong to
 * another caller's response, so none is forwarded.
 */
static void
fail_mismatch(struct call_exchange *exchange, const char *message)
{
    fail(exchange, CH_UPSTREAM_CROSSED, message);
    ch_metrics_add_count(exchange->client->metrics, CH_COUNT_CROSSED_ANSWERS,
                         1);
}

/*
 * Handles the status line. The id counts as missing until its header arrives.
 */
static void
handle_status(void *data, int status)
{
    struct call_exchange *exchange = data;
    exchange->status = status;
    exchange->id_missing = true;
}

/* Whether the response itself says that the request was not run. */
static bool
is_refusal(const struct call_exchange *exchange)
{
    if (exchange->rules.forward_headers) {
        return exchange->status == 421 ||
               (exchange->not_run && exchange->status >= 400);
    }
    return exchange->not_run &&
           (exchange->status == 429 || exchange->status == 503);
}

/*
 * Whether a refusal has no id, for upstreams that send such. It says that
 * nothing was run, and no id is needed, since the request is the only one on
 * its connection.
 */
static bool
is_refusal_without_id(const struct call_exchange *exchange)
{
    return exchange->id_missing && exchange->rules.forward_headers;
}

/*
 * Whether callers take this status as a promise that nothing was run. Such a
 * status is not forwarded from an upstream that does not promise it.
 */
static bool
status_implies_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Records why the response cannot be forwarded, if it cannot. */
static void
check_response_headers(struct call_exchange *exchange)
{
    if (exchange->relay_result != CH_RELAY_NONE) {
        fail(exchange, ch_relay_result_get_code(exchange->relay_result),
             ch_relay_result_get_name(exchange->relay_result));
    }
    else if (is_refusal(exchange) &&
             (exchange->id_matches || is_refusal_without_id(exchange))) {
        fail(exchange, CH_UPSTREAM_REFUSED,
             "the upstream refused the request");
    }
    else if (!exchange->id_matches) {
        fail_mismatch(exchange, exchange->id_missing
                                    ? "the response has no request id"
                                    : "the response has another request's id");
    }
    else if (exchange->status >= 500 && exchange->rules.fail_on_server_error) {
        char text[64];
        (void)snprintf(text, sizeof(text),
                       "the upstream responded with status %d",
                       exchange->status);
        fail(exchange, CH_UPSTREAM_ANSWER, text);
    }
    else if (exchange->rules.forward_headers &&
             status_implies_not_run(exchange->status)) {
        fail(exchange, CH_UPSTREAM_ANSWER,
             "the upstream does not say whether it ran the request");
    }
    else if (exchange->rules.signature_header != NULL &&
             !exchange->has_signature && exchange->status < 300) {
        fail(exchange, CH_UPSTREAM_ANSWER, "the response has no signature");
    }
}

/* See upstream.h. */
void
ch_upstream_report_limit(const struct ch_limit_listener *listener,
                         const char *values, bool succeeded, int64_t sent_at)
{
    if (listener->handle != NULL) {
        const struct ch_limit_reading reading = ch_limit_read(values);
        listener->handle(listener, &reading, succeeded, sent_at);
    }
}

/* See upstream.h. */
void
ch_upstream_report_path(const struct ch_path_listener *listener,
                        const struct ch_http_result *result)
{
    if (listener->handle != NULL) {
        listener->handle(listener, result);
    }
}

/* See upstream.h. */
void
ch_upstream_report_notice(const struct ch_notice_listener *listener,
                          const struct ch_notice *notice, int64_t sent_at)
{
    if (listener->handle != NULL && !ch_notice_is_empty(notice)) {
        listener->handle(listener, notice, sent_at);
    }
}

/* See upstream.h. */
void
ch_upstream_report_load(const struct ch_pace_listener *listener,
                        const char *text)
{
    if (listener->handle != NULL) {
        listener->handle(listener, text);
    }
}

/* See upstream.h. With commas, "1,2" and "3" would be read as one value. */
void
ch_upstream_append_load(char **text, const char *value)
{
    char *joined =
        *text == NULL ? g_strdup(value) : g_strconcat(*text, ";", value, NULL);
    g_free(*text);
    *text = joined;
}

bool
ch_call_is_stream(bool asked, int status, const char *content_type)
{
    static const char type[] = "text/event-stream";
    return asked && status == 200 && content_type != NULL &&
           g_ascii_strncasecmp(content_type, type, sizeof(type) - 1) == 0;
}

/*
 * Checks the complete status line and headers, once; forwards them if the
 * response belongs to this request.
 */
static void
check_headers(struct call_exchange *exchange)
{
    if (exchange->headers_checked) {
        return;
    }
    exchange->headers_checked = true;
    check_response_headers(exchange);
    if (exchange->id_matches || is_refusal_without_id(exchange)) {
        bool succeeded = exchange->failure == CH_OK && exchange->status < 300;
        ch_upstream_report_limit(&exchange->limit_listener,
                                 exchange->limit_values, succeeded,
                                 exchange->sent_at);
        ch_upstream_report_limit(&exchange->brittle_listener,
                                 exchange->brittle_values, succeeded,
                                 exchange->sent_at);
    }
    if (exchange->failure != CH_OK) {
        return;
    }
    exchange->is_stream = ch_call_is_stream(
        exchange->stream_expected, exchange->status, exchange->content_type);
    if (exchange->handlers.on_headers != NULL &&
        exchange->rules.forward_headers) {
        exchange->handlers.on_headers(
            exchange->data,
            (const struct ch_http_header *)(void *)exchange->headers->data,
            exchange->headers->len);
    }
    exchange->handlers.on_response(exchange->data, exchange->status,
                                   exchange->content_type);
}

/* Handles one event of a stream. */
static void
handle_event(void *data, const char *text, size_t length)
{
    struct call_exchange *exchange = data;
    if (exchange->done_received || exchange->failure != CH_OK) {
        return;
    }
    if (!exchange->rules.no_done_event && ch_sse_is_done(text, length)) {
        exchange->done_received = true;
        return;
    }
    if (exchange->rules.check_event_ids &&
        !ch_sse_has_id(text, length, exchange->event_id)) {
        fail_mismatch(exchange, "an event has another request's id");
        return;
    }
    exchange->event_count++;
    exchange->handlers.on_data(exchange->data, text, length);
}

/*
 * Whether the request may have run. It certainly has not if no byte of it was
 * sent, or if the upstream says so in a response that certainly belongs to
 * this request.
 */
static bool
may_have_run(const struct call_exchange *exchange,
             const struct ch_http_result *end)
{
    if (!end->sent || ch_relay_result_is_unsent(exchange->relay_result)) {
        return false;
    }
    return !(exchange->failure == CH_UPSTREAM_REFUSED &&
             (exchange->id_matches || exchange->rules.forward_headers));
}

/* Reports the result of the call to its owner, once. */
static void
report_end(struct call_exchange *exchange, const struct ch_http_result *end)
{
    struct ch_call_result result = {
        .code = exchange->failure,
        .status = exchange->status,
        .may_have_run = may_have_run(exchange, end),
        .connection_refused = end->connection_refused && !exchange->is_relayed,
        .relay_result = exchange->relay_result,
        .event_count = exchange->event_count,
    };
    memcpy(result.message, exchange->message, sizeof(result.message));
    exchange->end_reported = true;
    if (result.code == CH_UPSTREAM_STALLED) {
        ch_metrics_add_count(exchange->client->metrics, CH_COUNT_STALLS, 1);
    }
    exchange->handlers.on_end(exchange->data, &result);
}

/*
 * Ends the call at once for its owner, since the rest of the response is of no
 * use, and closes the connection. A refusal is short, so its connection is
 * kept for the next call. Bytes that still arrive are dropped.
 */
static void
abandon_response(struct call_exchange *exchange)
{
    const struct ch_http_result end = {.code = CH_OK, .sent = true};
    report_end(exchange, &end);
    uint64_t handle = ck_pr_load_64(&exchange->handle);
    if (handle != 0 && exchange->failure != CH_UPSTREAM_REFUSED) {
        ch_http_cancel(exchange->http, handle);
    }
}

/* Stores a header to be forwarded to the caller. The listener generates the
 * framing and the date anew. */
static void
store_header(struct call_exchange *exchange, const char *name,
             const char *value)
{
    if (exchange->rules.forward_headers && !ch_http_is_hop_header(name) &&
        strcasecmp(name, "Date") != 0) {
        ch_http_headers_add(exchange->headers, name, value);
    }
}

/*
 * Handles a response header. A response to another request is abandoned at
 * once, so that its connection is not reused.
 */
static void
handle_header(void *data, const char *name, const char *value)
{
    struct call_exchange *exchange = data;
    store_header(exchange, name, value);
    ch_notice_reader_add(&exchange->notice_reader, name, value,
                         g_get_real_time());
    if (exchange->is_relayed &&
        strcasecmp(name, CH_RELAY_RESULT_HEADER) == 0) {
        exchange->relay_result = ch_relay_result_parse(value);
    }
    else if (strcasecmp(name, exchange->rules.id_header) == 0) {
        exchange->id_missing = false;
        exchange->id_matches = strcmp(value, exchange->request_id) == 0;
        if (!exchange->id_matches && !exchange->headers_checked) {
            check_headers(exchange);
            abandon_response(exchange);
        }
    }
    else if (exchange->rules.signature_header != NULL &&
             strcasecmp(name, exchange->rules.signature_header) == 0) {
        exchange->has_signature = true;
    }
    else if (strcasecmp(name, exchange->rules.not_run_header) == 0) {
        exchange->not_run = strcmp(value, "1") == 0;
    }
    else if (exchange->rules.brittle_header != NULL &&
             strcasecmp(name, exchange->rules.brittle_header) == 0) {
        ch_http_append_value(&exchange->brittle_values, value);
    }
    else if (exchange->rules.limit_header != NULL &&
             strcasecmp(name, exchange->rules.limit_header) == 0) {
        ch_http_append_value(&exchange->limit_values, value);
    }
    else if (exchange->rules.load_header != NULL &&
             strcasecmp(name, exchange->rules.load_header) == 0) {
        ch_upstream_append_load(&exchange->load_text, value);
    }
    else if (strcasecmp(name, "Content-Type") == 0) {
        g_free(exchange->content_type);
        exchange->content_type = g_strdup(value);
    }
    else if (strcasecmp(name, "Content-Length") == 0) {
        exchange->is_framed = true;
    }
    else if (strcasecmp(name, "Transfer-Encoding") == 0) {
        exchange->is_framed = strcasecmp(value, "chunked") == 0;
    }
}

/* Tells the listeners what the response says of calls to come and of the
 * upstream's load, as soon as its headers are complete: a stream's first event
 * may come seconds later. A response of a relaying node says nothing of the
 * upstream. */
static void
handle_headers_end(void *data)
{
    const struct call_exchange *exchange = data;
    const struct ch_notice notice =
        ch_notice_reader_get(&exchange->notice_reader, exchange->status);
    if (exchange->relay_result != CH_RELAY_NONE) {
        return;
    }
    if (exchange->id_matches || exchange->id_missing) {
        ch_upstream_report_notice(&exchange->notice_listener, &notice,
                                  exchange->sent_at);
    }
    if (exchange->id_matches ||
        (is_refusal(exchange) && is_refusal_without_id(exchange))) {
        ch_upstream_report_load(&exchange->pace_listener, exchange->load_text);
    }
}

static void
handle_interim_header(void *data, const char *name, const char *value)
{
    struct call_exchange *exchange = data;
    ch_notice_reader_add(&exchange->notice_reader, name, value,
                         g_get_real_time());
}

/*
 * Handles bytes of the body. The end marker ends a stream at once: an upstream
 * that then leaves the connection open must not keep the caller waiting.
 */
static void
handle_body(void *data, const char *bytes, size_t length)
{
    struct call_exchange *exchange = data;
    if (exchange->end_reported) {
        return;
    }
    check_headers(exchange);
    if (exchange->failure != CH_OK) {
        abandon_response(exchange);
        return;
    }
    if (!exchange->is_stream) {
        exchange->handlers.on_data(exchange->data, bytes, length);
        return;
    }
    if (!ch_sse_feed(&exchange->sse, bytes, length, handle_event, exchange)) {
        fail(exchange, CH_UPSTREAM_ANSWER, "an event is over the limit");
    }
    if (exchange->failure != CH_OK) {
        abandon_response(exchange);
    }
    else if (exchange->done_received) {
        const struct ch_http_result complete = {.code = CH_OK, .sent = true};
        report_end(exchange, &complete);
    }
}

/* Records why a response that ended by its framing is incomplete, if it is. */
static void
check_response_end(struct call_exchange *exchange)
{
    bool has_no_body = exchange->is_head_request || exchange->status == 204 ||
                       exchange->status == 304;
    if (exchange->is_stream && exchange->rules.no_done_event) {
        if (ch_sse_is_partial(&exchange->sse)) {
            fail(exchange, CH_UPSTREAM_CUT,
                 "the stream ended within an event");
        }
        else if (!exchange->is_framed &&
                 !exchange->rules.allow_close_delimited) {
            fail(exchange, CH_UPSTREAM_CUT,
                 "the end of the stream cannot be detected");
        }
    }
    else if (exchange->is_stream && !exchange->done_received) {
        fail(exchange, CH_UPSTREAM_CUT, "the stream ended without [DONE]");
    }
    else if (!exchange->is_stream && !exchange->is_framed && !has_no_body &&
             !exchange->rules.allow_close_delimited) {
        fail(exchange, CH_UPSTREAM_CUT,
             "the response has neither Content-Length nor chunks");
    }
}

/* Records what the end of the connection with the relaying node shows. A
 * result in headers that did not end doesn't count. */
static void
check_relay(struct call_exchange *exchange, const struct ch_http_result *end)
{
    bool has_result =
        exchange->relay_result != CH_RELAY_NONE && end->head_complete;
    if (exchange->is_relayed && !has_result && end->code != CH_OK &&
        end->code != CH_CANCELLED) {
        exchange->relay_result =
            end->sent ? CH_RELAY_LOST : CH_RELAY_UNREACHABLE;
    }
}

/* Handles the end of the HTTP call. */
static void
handle_end(void *data, const struct ch_http_result *end)
{
    struct call_exchange *exchange = data;
    if (!exchange->is_relayed) {
        ch_upstream_report_path(&exchange->path_listener, end);
    }
    check_relay(exchange, end);
    if (!exchange->end_reported) {
        if (end->code == CH_OK) {
            check_headers(exchange);
            check_response_end(exchange);
        }
        else {
            fail(exchange, end->code, end->message);
        }
        report_end(exchange, end);
    }
    call_exchange_unref(exchange);
}

/* Creates the exchange of a call, not yet started. */
static struct call_exchange *
call_exchange_new(struct ch_client *client, struct ch_http *http,
                  const struct ch_call_rules *rules,
                  const struct ch_call *call)
{
    struct call_exchange *exchange = g_new0(struct call_exchange, 1);
    exchange->client = client;
    exchange->http = http;
    exchange->rules = *rules;
    exchange->request_id = g_strdup(call->request_id);
    exchange->event_id = g_strconcat("cmpl-", call->request_id, NULL);
    exchange->stream_expected = call->stream;
    exchange->is_head_request = strcmp(call->method, "HEAD") == 0;
    exchange->is_relayed = call->relay != NULL;
    exchange->failure = CH_OK;
    exchange->headers = ch_http_headers_new();
    ch_sse_init(&exchange->sse);
    return exchange;
}

/* Asks the owner whether to keep waiting after a timeout without data. */
static bool
handle_stall(void *data)
{
    struct call_exchange *exchange = data;
    return !exchange->end_reported && exchange->handlers.on_stall != NULL &&
           exchange->handlers.on_stall(exchange->data);
}

/* The headers of a call that goes by another node; the strings live as long as
 * the call's and time_ms. */
static GArray *
add_relay_headers(const struct ch_call *call,
                  const struct ch_http_header *headers, size_t count,
                  const char *time_ms)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    const struct ch_http_header upstream = {CH_RELAY_UPSTREAM_HEADER,
                                            call->relay->upstream};
    const struct ch_http_header time = {CH_RELAY_TIME_HEADER, time_ms};
    const struct ch_http_header fresh = {CH_RELAY_FRESH_HEADER, "1"};
    for (size_t i = 0; i < count; i++) {
        /* A caller must not choose the upstream. */
        if (!ch_relay_is_own_header(headers[i].name)) {
            g_array_append_val(all, headers[i]);
        }
    }
    g_array_append_val(all, upstream);
    g_array_append_val(all, time);
    if (!call->may_repeat || call->fresh_connection) {
        g_array_append_val(all, fresh);
    }
    return all;
}

uint64_t
ch_call_start_with_headers(struct ch_client *client, struct ch_http *http,
                           const char *address,
                           const struct ch_call_rules *rules,
                           const struct ch_upstream *upstream,
                           const struct ch_call *call,
                           const struct ch_http_header *headers, size_t count,
                           const struct ch_call_handlers *handlers, void *data)
{
    static const struct ch_http_handlers http_handlers = {
        .on_status = handle_status,
        .on_header = handle_header,
        .on_interim_header = handle_interim_header,
        .on_headers_end = handle_headers_end,
        .on_data = handle_body,
        .on_stall = handle_stall,
        .on_end = handle_end,
    };
    struct call_exchange *exchange =
        call_exchange_new(client, http, rules, call);
    exchange->limit_listener = upstream->limit_listener;
    exchange->brittle_listener = upstream->brittle_listener;
    exchange->path_listener = upstream->path_listener;
    exchange->notice_listener = upstream->notice_listener;
    exchange->pace_listener = upstream->pace_listener;
    exchange->notice_reader.draining_header = rules->draining_header;
    exchange->sent_at = ch_client_get_time(client);
    exchange->handlers = *handlers;
    exchange->data = data;
    bool is_relayed = call->relay != NULL;
    char time_ms[24];
    (void)snprintf(time_ms, sizeof(time_ms), "%" G_GINT64_FORMAT,
                   call->total_timeout / 1000);
    GArray *relay_headers =
        is_relayed ? add_relay_headers(call, headers, count, time_ms) : NULL;
    char *url = g_strdup_printf("http://%s%s",
                                is_relayed ? call->relay->address : address,
                                call->path);
    struct ch_http_request request = {
        .method = call->method,
        .url = url,
        .headers =
            is_relayed
                ? (const struct ch_http_header *)(void *)relay_headers->data
                : headers,
        .header_count = is_relayed ? relay_headers->len : count,
        .body = call->body,
        .body_length = call->body_length,
        .connect_timeout =
            is_relayed ? RELAY_CONNECT_TIMEOUT_US : call->connect_timeout,
        .first_byte_timeout = call->first_byte_timeout,
        .stall_timeout = call->stall_timeout,
        .total_timeout = call->total_timeout,
        .fresh_connection = !call->may_repeat || call->fresh_connection,
        /*
         * Otherwise a call that ran, was interrupted and was sent again by
         * libcurl would report the outcome of the second sending only: a
         * restarted engine refuses that one, and the caller would be told
         * not-run.
         */
        .no_resend = true,
    };
    exchange->references = 2; /* the HTTP loop's and this function's */
    uint64_t handle = ch_http_submit(http, &request, &http_handlers, exchange);
    ck_pr_store_64(&exchange->handle, handle);
    call_exchange_unref(exchange);
    g_free(url);
    if (is_relayed) {
        g_array_free(relay_headers, TRUE);
    }
    return handle;
}

uint64_t
ch_call_start(struct ch_client *client, struct ch_http *http,
              const char *address, const struct ch_call_rules *rules,
              const struct ch_upstream *upstream, const struct ch_call *call,
              const struct ch_call_handlers *handlers, void *data)
{
    char priority[16];
    char resume[16];
    struct ch_http_header headers[6];
    size_t count = 0;
    (void)snprintf(priority, sizeof(priority), "%u", call->priority);
    (void)snprintf(resume, sizeof(resume), "%u", call->resume_from);
    headers[count++] =
        (struct ch_http_header){rules->id_header, call->request_id};
    headers[count++] = (struct ch_http_header){"X-Priority", priority};
    if (call->content_type != NULL) {
        headers[count++] =
            (struct ch_http_header){"Content-Type", call->content_type};
    }
    if (call->resume_from > 0) {
        headers[count++] = (struct ch_http_header){"X-Resume-From", resume};
    }
    if (call->idempotency_key != NULL) {
        headers[count++] =
            (struct ch_http_header){"Idempotency-Key", call->idempotency_key};
    }
    if (call->team != NULL) {
        headers[count++] = (struct ch_http_header){"X-Team", call->team};
    }
    return ch_call_start_with_headers(client, http, address, rules, upstream,
                                      call, headers, count, handlers, data);
}
