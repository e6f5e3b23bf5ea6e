/* One HTTP request at a stand-in, with the faults that all modes share. */

#include "standin.h"

#include <string.h>

#define FAULT(name) #name,
static const char *const fault_names[] = {FAULTS(FAULT)};
#undef FAULT

/* True when a fault that is counted is on; takes one from its count. */
bool
fault_take(struct standin *standin, enum fault fault)
{
    int64_t *left = &standin->faults[fault];
    if (*left <= 0) {
        return false;
    }
    if (*left < ALWAYS) {
        (*left)--;
    }
    return true;
}

/* A request header, or NULL. */
const char *
exchange_header(const struct exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND,
                                       name);
}

/* A query argument, or NULL. */
const char *
exchange_query(const struct exchange *exchange, const char *name)
{
    return MHD_lookup_connection_value(exchange->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

/* Sets the answer; text is freed with it. */
void
exchange_reply(struct exchange *exchange, int status, char *text,
               size_t length)
{
    exchange->status = status;
    exchange->response =
        MHD_create_response_from_buffer(length, text, MHD_RESPMEM_MUST_FREE);
}

/* Sets a JSON answer and frees the builder. */
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

/* Sets an answer of fixed text; an error bears the request's id as well. */
void
exchange_reply_text(struct exchange *exchange, int status, const char *text)
{
    const char *id = exchange_header(exchange, "X-Request-Id");
    exchange_reply(exchange, status, g_strdup(text), strlen(text));
    if (id != NULL) {
        exchange_add_header(exchange, "X-Request-Id", id);
    }
}

/* Adds a header to the answer that is set. */
void
exchange_add_header(struct exchange *exchange, const char *name,
                    const char *value)
{
    (void)MHD_add_response_header(exchange->response, name, value);
}

/* Stops the connection until exchange_resume. */
void
exchange_suspend(struct exchange *exchange)
{
    if (!exchange->suspended) {
        exchange->suspended = true;
        MHD_suspend_connection(exchange->connection);
    }
}

/* The time for which an answer is held back is over. */
static void
end_hold(void *data)
{
    struct exchange *exchange = data;
    exchange->hold = NULL;
    exchange_resume(exchange);
}

/* Holds an answer back for the time that is set. */
static void
begin_hold(struct exchange *exchange)
{
    exchange->slow = false;
    exchange->hold = timer_add(exchange->standin, exchange->standin->slow_us,
                               end_hold, exchange);
}

/* Goes on with an exchange, unless its answer is held back or its connection
 * is silent for good. */
void
exchange_resume(void *data)
{
    struct exchange *exchange = data;
    exchange->timer = NULL;
    if (exchange->slow) {
        begin_hold(exchange);
    }
    if (exchange->hold == NULL && exchange->suspended &&
        !exchange->link->silent) {
        exchange->suspended = false;
        exchange->standin->resumed = true;
        MHD_resume_connection(exchange->connection);
    }
}

/* Closes the connection without an answer, now or when it is resumed. */
void
exchange_close(struct exchange *exchange)
{
    exchange->closing = true;
    exchange_resume(exchange);
}

/* Writes a member of text. */
void
json_text(JsonBuilder *out, const char *name, const char *value)
{
    json_builder_set_member_name(out, name);
    json_builder_add_string_value(out, value);
}

/* Writes a member that is a number. */
void
json_number(JsonBuilder *out, const char *name, int64_t value)
{
    json_builder_set_member_name(out, name);
    json_builder_add_int_value(out, value);
}

/* Sets the faults that the query names. */
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

/* Calls under /control/: faults, the record, and the mode's own. */
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
        standin_close_links(standin, true);
    }
    else if (strcmp(name, "record") == 0) {
        JsonBuilder *out = json_builder_new();
        json_builder_begin_object(out);
        standin->mode->record(standin, out);
        json_builder_end_object(out);
        exchange_reply_json(exchange, 200, out);
        return;
    }
    else if (standin->mode->control == NULL ||
             !standin->mode->control(exchange)) {
        exchange_reply_text(exchange, 404, "no such control\n");
        return;
    }
    if (exchange->response == NULL) {
        exchange_reply_text(exchange, 200, "done\n");
    }
}

/* Runs the mode's handler among the faults that all modes share. */
static void
handle_call(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    bool reused = exchange->link->requests > 1;
    bool post = strcmp(exchange->method, "POST") == 0;
    if (fault_take(standin, FAULT_silent_next)) {
        exchange->link->silent = true;
        return;
    }
    if (fault_take(standin, FAULT_drop_before)) {
        exchange->closing = true;
        return;
    }
    if (fault_take(standin, FAULT_refuse)) {
        exchange_reply_text(exchange, 503, "refused\n");
        exchange_add_header(exchange, "X-Not-Run", "1");
        return;
    }
    standin->mode->handle(exchange);
    bool counts = standin->mode != &mode_kv ||
                  strcmp(exchange->method, "PUT") == 0 ||
                  strcmp(exchange->method, "DELETE") == 0;
    if (counts && fault_take(standin, FAULT_silent_after)) {
        exchange->link->silent = true;
    }
    if ((counts && fault_take(standin, FAULT_drop_after)) ||
        (post && reused && fault_take(standin, FAULT_close_reused))) {
        exchange->closing = true;
    }
}

/* Holds an answer back while the stand-in is slow: one that is there at once,
 * or one whose work is still under way, when that is done. */
static void
delay_answer(struct exchange *exchange)
{
    struct standin *standin = exchange->standin;
    int64_t delay = standin->faults[FAULT_slow_ms];
    if (delay == 0) {
        return;
    }
    standin->slow_us = delay * 1000;
    if (standin->faults[FAULT_slow_next] > 0 &&
        --standin->faults[FAULT_slow_next] == 0) {
        standin->faults[FAULT_slow_ms] = 0;
    }
    if (exchange->response == NULL) {
        exchange->slow = true;
        return;
    }
    exchange_suspend(exchange);
    begin_hold(exchange);
}

/* Gives libmicrohttpd what has been decided for the exchange. */
static enum MHD_Result
settle(struct exchange *exchange)
{
    if (exchange->link->silent) {
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
    return MHD_queue_response(exchange->connection, exchange->status,
                              exchange->response);
}

/* libmicrohttpd's handler: gathers the body, then handles the call once. */
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
        exchange->link = MHD_get_connection_info(
                             connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                             ->socket_context;
        exchange->link->requests++;
        exchange->link->control = g_str_has_prefix(url, "/control/");
        *memory = exchange;
        if (exchange->link->silent) {
            exchange_suspend(exchange);
        }
        return MHD_YES;
    }
    if (*upload_size > 0) {
        if (exchange->body->len + *upload_size > STANDIN_MOST_BODY) {
            return MHD_NO;
        }
        g_string_append_len(exchange->body, upload, (gssize)*upload_size);
        *upload_size = 0;
        return MHD_YES;
    }
    if (!exchange->dispatched) {
        exchange->dispatched = true;
        if (exchange->link->control) {
            handle_control(exchange);
        }
        else {
            handle_call(exchange);
            delay_answer(exchange);
        }
    }
    return settle(exchange);
}

/* The exchange is over: answered, cut by the caller, or closed. */
static void
completed(void *data, struct MHD_Connection *connection, void **memory,
          enum MHD_RequestTerminationCode code)
{
    struct exchange *exchange = *memory;
    (void)data;
    (void)connection;
    if (exchange == NULL) {
        return;
    }
    timer_stop(exchange->standin, exchange->timer);
    timer_stop(exchange->standin, exchange->hold);
    if (exchange->gone != NULL) {
        exchange->gone(exchange, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    }
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    g_string_free(exchange->body, TRUE);
    g_free(exchange);
    *memory = NULL;
}

/* Keeps the table of open connections. */
static void
connection_changed(void *data, struct MHD_Connection *connection,
                   void **memory, enum MHD_ConnectionNotificationCode code)
{
    struct standin *standin = data;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *memory = g_new0(struct link, 1);
        g_hash_table_insert(standin->links, *memory, connection);
        return;
    }
    g_hash_table_remove(standin->links, *memory);
    g_free(*memory);
}

/* A daemon on a listening socket, run by the stand-in's loop. */
struct MHD_Daemon *
exchange_daemon(struct standin *standin, int socket)
{
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        access_handler, standin, MHD_OPTION_LISTEN_SOCKET, socket,
        MHD_OPTION_CONNECTION_LIMIT, 18000U, MHD_OPTION_NOTIFY_COMPLETED,
        completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, connection_changed,
        standin, MHD_OPTION_END);
}
