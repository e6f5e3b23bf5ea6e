/* HTTP requests, with the faults that all modes share. */

#include "standin.h"

#include <string.h>

#define FAULT(name) #name,
static const char *const fault_names[] = {FAULTS(FAULT)};
#undef FAULT

/* True when a counted fault is set; decreases its count. */
bool
fault_consume(struct standin *standin, enum fault fault)
{
    int64_t *left = &standin->faults[fault];
    if (*left <= 0) {
        return false;
    }
    if (*left < FAULT_ALWAYS) {
        (*left)--;
    }
    return true;
}

const char *
exchange_header(const struct exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
exchange_query(const struct exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

/* Sets the response, which owns the text. */
void
exchange_reply(struct exchange *exchange, int status, char *text,
               size_t length)
{
    exchange->status = status;
    exchange->response =
        MHD_create_response_from_buffer(length, text, MHD_RESPMEM_MUST_FREE);
}

/* Sets a JSON response and frees the builder. */
void
exchange_reply_json(struct exchange *exchange, int status,
                    JsonBuilder *builder)
{
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    exchange_reply(exchange, status, text, strlen(text));
    exchange_add_header(exchange, "Content-Type", "application/json");
    json_node_unref(root);
    g_object_unref(builder);
}

/* Sets a response of plain text, with the request's id if it has one. */
void
exchange_reply_text(struct exchange *exchange, int status, const char *text)
{
    const char *id = exchange_header(exchange, "X-Request-Id");
    exchange_reply(exchange, status, g_strdup(text), strlen(text));
    if (id != NULL) {
        exchange_add_header(exchange, "X-Request-Id", id);
    }
}

/* Adds a header to the response that was set. */
void
exchange_add_header(struct exchange *exchange, const char *name,
                    const char *value)
{
    (void)MHD_add_response_header(exchange->response, name, value);
}

/* Suspends the connection until exchange_resume. */
void
exchange_suspend(struct exchange *exchange)
{
    if (!exchange->suspended) {
        exchange->suspended = true;
        MHD_suspend_connection(exchange->connection);
    }
}

/* Ends the delay of a response. */
static void
end_delay(void *data)
{
    struct exchange *exchange = data;
    exchange->delay_timer = NULL;
    exchange_resume(exchange);
}

/* Delays a response by the time of the fault slow_ms. */
static void
begin_delay(struct exchange *exchange)
{
    exchange->delay_pending = false;
    exchange->delay_timer =
        timer_add(exchange->standin, exchange->standin->response_delay_us,
                  end_delay, exchange);
}

/* Continues an exchange, unless its response is delayed or its connection is
 * silent. */
void
exchange_resume(void *data)
{
    struct exchange *exchange = data;
    exchange->timer = NULL;
    if (exchange->delay_pending) {
        begin_delay(exchange);
    }
    if (exchange->delay_timer == NULL && exchange->suspended &&
        !exchange->client->silent) {
        exchange->suspended = false;
        exchange->standin->connection_resumed = true;
        MHD_resume_connection(exchange->connection);
    }
}

/* Closes the connection without a response, now or at its next resume. */
void
exchange_close(struct exchange *exchange)
{
    exchange->closing = true;
    exchange_resume(exchange);
}

void
json_text(JsonBuilder *out, const char *name, const char *value)
{
    json_builder_set_member_name(out, name);
    json_builder_add_string_value(out, value);
}

void
json_number(JsonBuilder *out, const char *name, int64_t value)
{
    json_builder_set_member_name(out, name);
    json_builder_add_int_value(out, value);
}

/* Sets the fault that a query argument names; ignores unknown names. */
static enum MHD_Result
set_fault(void *data, enum MHD_ValueKind kind, const char *name,
          const char *value)
{
    struct standin *standin = data;
    (void)kind;
    for (size_t i = 0; i < FAULT_COUNT; i++) {
        if (strcmp(fault_names[i], name) == 0 && value != NULL) {
            standin->faults[i] = g_ascii_strtoll(value, NULL, 10);
        }
    }
    return MHD_YES;
}

/* Writes the member "arrivals", in milliseconds of CLOCK_MONOTONIC. */
static void
record_arrivals(const struct standin *standin, JsonBuilder *out)
{
    json_builder_set_member_name(out, "arrivals");
    json_builder_begin_array(out);
    for (guint i = 0; i < standin->arrivals->len; i++) {
        json_builder_add_int_value(
            out, g_array_index(standin->arrivals, int64_t, i) / 1000);
    }
    json_builder_end_array(out);
}

/* Whether this stand-in is an upstream. */
static bool
is_upstream(const struct standin *standin)
{
    return standin->mode == &mode_engine || standin->mode == &mode_service;
}

/* Adds the header by which an upstream names its limit, while one is set. */
static void
name_limit(struct exchange *exchange)
{
    const struct standin *standin = exchange->standin;
    char text[32];
    if (standin->faults[FAULT_limit_garbage] != 0) {
        exchange_add_header(exchange, "X-Limit-Per-Second", "nan");
        exchange_add_header(exchange, "X-Limit-Per-Second", "-1");
        exchange_add_header(exchange, "X-Limit-Per-Second", "");
    }
    else if (standin->faults[FAULT_limit_millis] > 0) {
        (void)g_snprintf(text, sizeof text, "%.3f",
                         (double)standin->faults[FAULT_limit_millis] / 1000);
        exchange_add_header(exchange, "X-Limit-Per-Second", text);
    }
}

/* Handles requests under /control/: faults, the record, and the mode's own
 * paths. */
static void
handle_control(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    const char *name = exchange->path + strlen("/control/");
    if (strcmp(name, "set") == 0) {
        (void)MHD_get_connection_values(
            exchange->connection, MHD_GET_ARGUMENT_KIND, set_fault, standin);
        if (standin->mode->handle != NULL) {
            standin_listen(standin, standin->faults[FAULT_down] == 0);
        }
    }
    else if (strcmp(name, "silent") == 0) {
        standin_close_connections(standin, true);
    }
    else if (strcmp(name, "record") == 0) {
        JsonBuilder *out = json_builder_new();
        json_builder_begin_object(out);
        standin->mode->record(standin, out);
        if (is_upstream(standin)) {
            record_arrivals(standin, out);
        }
        json_builder_end_object(out);
        exchange_reply_json(exchange, 200, out);
        return;
    }
    else if (standin->mode->control == NULL ||
             !standin->mode->control(exchange)) {
        exchange_reply_text(exchange, 404, "unknown control path\n");
        return;
    }
    if (exchange->response == NULL) {
        exchange_reply_text(exchange, 200, "done\n");
    }
}

/* Runs the mode's handler, with the faults that all modes share. */
static void
handle_request(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    bool reused = exchange->client->request_count > 1;
    bool post = strcmp(exchange->method, "POST") == 0;
    int64_t now = monotonic_now_us();
    g_array_append_val(standin->arrivals, now);
    if (fault_consume(standin, FAULT_silent_next)) {
        exchange->client->silent = true;
        return;
    }
    if (fault_consume(standin, FAULT_drop_before)) {
        exchange->closing = true;
        return;
    }
    if (fault_consume(standin, FAULT_refuse)) {
        exchange_reply_text(exchange, 503, "refused\n");
        exchange_add_header(exchange, "X-Not-Run", "1");
        return;
    }
    standin->mode->handle(exchange);
    bool has_effect = standin->mode != &mode_kv ||
                      strcmp(exchange->method, "PUT") == 0 ||
                      strcmp(exchange->method, "DELETE") == 0;
    if (has_effect && fault_consume(standin, FAULT_silent_after)) {
        exchange->client->silent = true;
    }
    if ((has_effect && fault_consume(standin, FAULT_drop_after)) ||
        (post && reused && fault_consume(standin, FAULT_close_reused))) {
        exchange->closing = true;
    }
}

/* Delays a response while the fault slow_ms is set: at once if the response is
 * ready, else when it becomes ready. */
static void
delay_response(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    int64_t delay = standin->faults[FAULT_slow_ms];
    if (delay == 0) {
        return;
    }
    standin->response_delay_us = delay * 1000;
    if (standin->faults[FAULT_slow_next] > 0 &&
        --standin->faults[FAULT_slow_next] == 0) {
        standin->faults[FAULT_slow_ms] = 0;
    }
    if (exchange->response == NULL) {
        exchange->delay_pending = true;
        return;
    }
    exchange_suspend(exchange);
    begin_delay(exchange);
}

/* Tells libmicrohttpd how the exchange goes on: suspend, close or respond. */
static enum MHD_Result
continue_exchange(struct exchange *exchange)
{
    if (exchange->client->silent) {
        exchange_suspend(exchange);
        return MHD_YES;
    }
    if (exchange->closing) {
        return MHD_NO;
    }
    if (exchange->suspended) {
        return MHD_YES;
    }
    if (exchange->response == NULL) {
        exchange_suspend(exchange);
        return MHD_YES;
    }
    if (!exchange->client->control) {
        name_limit(exchange);
    }
    return MHD_queue_response(exchange->connection, exchange->status,
                              exchange->response);
}

/* Callback of libmicrohttpd: collects the body, then handles the request
 * once. */
static enum MHD_Result
access_handler(void *data, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *upload,
               size_t *upload_size, void **memory)
{
    struct exchange *exchange = *memory;
    (void)version;
    if (exchange == NULL) {
        exchange = g_new0(struct exchange, 1);
        exchange->standin = data;
        exchange->connection = connection;
        exchange->method = method;
        exchange->path = url;
        exchange->body = g_string_new(NULL);
        exchange->client = MHD_get_connection_info(
                               connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                               ->socket_context;
        exchange->client->request_count++;
        exchange->client->control = g_str_has_prefix(url, "/control/");
        *memory = exchange;
        if (exchange->client->silent) {
            exchange_suspend(exchange);
        }
        return MHD_YES;
    }
    if (*upload_size > 0) {
        if (exchange->body->len + *upload_size > STANDIN_MAX_BODY_BYTES) {
            return MHD_NO;
        }
        g_string_append_len(exchange->body, upload, (gssize)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (!exchange->dispatched) {
        exchange->dispatched = true;
        if (exchange->client->control) {
            handle_control(exchange);
        }
        else {
            handle_request(exchange);
            delay_response(exchange);
        }
    }
    return continue_exchange(exchange);
}

/* Callback of libmicrohttpd: frees an exchange that was answered, or whose
 * connection was closed by either side. */
static void
free_exchange(void *data, struct MHD_Connection *connection, void **memory,
              enum MHD_RequestTerminationCode code)
{
    struct exchange *exchange = *memory;
    (void)data;
    (void)connection;
    if (exchange == NULL) {
        return;
    }
    timer_cancel(exchange->standin, exchange->timer);
    timer_cancel(exchange->standin, exchange->delay_timer);
    if (exchange->on_end != NULL) {
        exchange->on_end(exchange,
                         code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    g_string_free(exchange->body, TRUE);
    g_free(exchange);
    *memory = NULL;
}

/* Callback of libmicrohttpd: maintains the table of open connections. */
static void
track_connection(void *data, struct MHD_Connection *connection, void **memory,
                 enum MHD_ConnectionNotificationCode code)
{
    struct standin *standin = data;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *memory = g_new0(struct client_connection, 1);
        g_hash_table_insert(standin->connections, *memory, connection);
        return;
    }
    g_hash_table_remove(standin->connections, *memory);
    g_free(*memory);
}

/* Starts a daemon on a listening socket, for use in an external event loop. */
struct MHD_Daemon *
exchange_daemon(struct standin *standin, int socket)
{
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        access_handler, standin, MHD_OPTION_LISTEN_SOCKET, socket,
        MHD_OPTION_CONNECTION_LIMIT, 18000U, MHD_OPTION_NOTIFY_COMPLETED,
        free_exchange, NULL, MHD_OPTION_NOTIFY_CONNECTION, track_connection,
        standin, MHD_OPTION_END);
}
