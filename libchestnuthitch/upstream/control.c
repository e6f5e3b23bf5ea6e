/* Sends orders to upstreams and fetches their reports, over HTTP. */

#include "upstream/control.h"

#include <strings.h>

enum {
    /* A report has some hundred items and orders of a hundred bytes each. */
    MAX_REPORT_BYTES = 1024 * 1024,
    MAX_ORDER_RESPONSE_BYTES = 64 * 1024,
};

/* What both kinds of calls need when their response has come. */
struct control_context {
    struct ch_limit_listener limit_listener;
    struct ch_path_listener path_listener;
    struct ch_notice_listener notice_listener;
    struct ch_pace_listener pace_listener;
    const char *limit_header;
    const char *draining_header;
    const char *load_header; /* NULL: none */
    int64_t sent_at;
};

static struct control_context
control_context_init(const struct ch_control_peer *peer)
{
    return (struct control_context){
        .limit_listener = peer->upstream->limit_listener,
        .path_listener = peer->upstream->path_listener,
        .notice_listener = peer->upstream->notice_listener,
        .pace_listener = peer->upstream->pace_listener,
        .limit_header = peer->limit_header,
        .draining_header = peer->draining_header,
        .load_header = peer->load_header,
        .sent_at = ch_client_get_time(peer->client),
    };
}

/* Tells the listeners how the call ended, and what the response says. One that
 * names no limit says nothing of it: an upstream may name its limit to
 * requests alone. */
static void
report_response(const struct control_context *context,
                const struct ch_http_response *response)
{
    struct ch_notice_reader reader = {.draining_header =
                                          context->draining_header};
    char *limit_values = NULL;
    char *load_text = NULL;
    ch_upstream_report_path(&context->path_listener, &response->result);
    for (size_t i = 0; i < response->kept_header_count; i++) {
        const struct ch_http_header *header = &response->kept_headers[i];
        ch_notice_reader_add(&reader, header->name, header->value,
                             g_get_real_time());
        if (strcasecmp(header->name, context->limit_header) == 0) {
            ch_http_append_value(&limit_values, header->value);
        }
        if (context->load_header != NULL &&
            strcasecmp(header->name, context->load_header) == 0) {
            ch_upstream_append_load(&load_text, header->value);
        }
    }
    if (limit_values != NULL) {
        ch_upstream_report_limit(&context->limit_listener, limit_values, false,
                                 context->sent_at);
    }
    const struct ch_notice notice =
        ch_notice_reader_get(&reader, response->result.status);
    ch_upstream_report_notice(&context->notice_listener, &notice,
                              context->sent_at);
    ch_upstream_report_load(&context->pace_listener, load_text);
    g_free(limit_values);
    g_free(load_text);
}

/* An order whose response is awaited. */
struct order_context {
    struct control_context control;
    enum ch_code (*code_of)(int status);
    void (*done)(void *data, enum ch_code code);
    void *data;
};

/*
 * Handles the response to an order, or its failure. After a lost response it
 * is unknown whether the order was taken; an order that was not sent was
 * certainly not taken.
 */
static void
handle_order_response(void *data, const struct ch_http_response *response)
{
    struct order_context *context = data;
    enum ch_code code = response->result.code;
    report_response(&context->control, response);
    if (code == CH_OK) {
        code = context->code_of(response->result.status);
    }
    else if (!response->result.sent) {
        code = CH_UPSTREAM_CONNECT;
    }
    context->done(context->data, code);
    g_free(context);
}

void
ch_control_send_order(const struct ch_control_peer *peer,
                      const struct ch_http_request *request,
                      enum ch_code (*code_of)(int status),
                      void (*done)(void *data, enum ch_code code), void *data)
{
    struct order_context *context = g_new0(struct order_context, 1);
    context->control = control_context_init(peer);
    context->code_of = code_of;
    context->done = done;
    context->data = data;
    ch_http_fetch(peer->http, request, MAX_ORDER_RESPONSE_BYTES,
                  handle_order_response, context);
}

/* A report whose response is awaited. */
struct report_context {
    struct control_context control;
    struct ch_engine_report *(*read)(const char *text, size_t length,
                                     struct ch_error *error);
    void (*done)(void *data, enum ch_code code,
                 struct ch_engine_report *report);
    void *data;
};

/* Handles the response with a report, or its failure. */
static void
handle_report_response(void *data, const struct ch_http_response *response)
{
    struct report_context *context = data;
    struct ch_error error = {.code = response->result.code};
    struct ch_engine_report *report = NULL;
    report_response(&context->control, response);
    if (error.code == CH_OK && response->result.status != 200) {
        ch_error_set(&error, CH_UPSTREAM_ANSWER, "report: status %d",
                     response->result.status);
    }
    if (error.code == CH_OK) {
        report = context->read(response->body, response->body_length, &error);
    }
    context->done(context->data, error.code, report);
    g_free(context);
}

void
ch_control_fetch_report(
    const struct ch_control_peer *peer, const struct ch_http_request *request,
    struct ch_engine_report *(*read)(const char *text, size_t length,
                                     struct ch_error *error),
    void (*done)(void *data, enum ch_code code,
                 struct ch_engine_report *report),
    void *data)
{
    struct report_context *context = g_new0(struct report_context, 1);
    context->control = control_context_init(peer);
    context->read = read;
    context->done = done;
    context->data = data;
    ch_http_fetch(peer->http, request, MAX_REPORT_BYTES,
                  handle_report_response, context);
}
