/* The listener for calls that this node relays to upstreams. */

#include "node/relay_server.h"

#include "base/annotate.h"
#include "node/disconnect.h"
#include "node/incoming_request.h"
#include "node/listener.h"
#include "node/path_manager.h"
#include "upstream/call.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <strings.h>

enum {
    /* Calls that are relayed at a time: each may leave up to
     * CH_RESPONSE_MAX_UNSENT_BYTES unread by the other node, and the smallest
     * hosts have 160 MB. */
    MAX_CALLS = 96,
    /* Longer than other nodes keep an idle connection. */
    IDLE_SECONDS = 90,
    /* The headers of a relayed call beyond those of a caller's request. */
    MORE_HEADER_BYTES = 2048,
    /* To an upstream; some round trips between regions. */
    CONNECT_TIMEOUT_US = 400 * 1000,
    MAX_CALL_MS = 10 * 60 * 1000,
    STOP_POLL_US = 20 * 1000,
    /* Part of the grace period that stays after relayed calls are cut. */
    STOP_RESERVE_MS = 1500,
};

struct ch_relay_server {
    struct ch_node *node;
    struct ch_settings limits; /* a copy, for the sizes of requests */
    struct MHD_Daemon *daemon;
    struct ch_listener *listener; /* NULL once closed */
    struct ch_disconnect_watch *disconnect_watch;
    pthread_mutex_t lock;
    uint64_t last_number;
    unsigned calls; /* under way */
    bool draining;
};

/* A call that is being relayed. The HTTP loop and the watcher of the response
 * hold a reference each. */
struct relayed_call {
    int references;
    struct ch_relay_server *server;
    struct ch_response *response;
    GQuark upstream;
    int64_t sent_at;
    struct ch_notice_reader notice_reader; /* used by the HTTP loop */
    pthread_mutex_t lock;
    uint64_t handle; /* of the call to the upstream; 0: none is under way */
    bool is_ended;   /* the call to the upstream has ended */
    bool is_gone;    /* the other node has closed its connection */
    /* Used on the HTTP loop's thread only. */
    int status;
    GArray *headers; /* struct ch_http_header */
    bool is_started;
};

static void
relayed_call_unref(void *data)
{
    struct relayed_call *call = data;
    if (!g_atomic_int_dec_and_test(&call->references)) {
        return;
    }
    g_array_free(call->headers, TRUE);
    pthread_mutex_destroy(&call->lock);
    g_free(call);
}

/* ---- responses ---- */

static void
count(const struct ch_relay_server *server, enum ch_counter counter)
{
    ch_metrics_add_count(server->node->client->metrics, counter, 1);
}

/* Responds that there is no response of the upstream, and why. */
static void
send_result(struct ch_response *response, enum ch_relay_result result)
{
    const struct ch_http_header header = {CH_RELAY_RESULT_HEADER,
                                          ch_relay_result_get_name(result)};
    const struct ch_response_data data = {
        .status = 503,
        .headers = &header,
        .header_count = 1,
    };
    ch_response_send(response, &data);
}

/* Whether a header of a message is to be passed on: not those of one
 * connection, and of relaying itself. */
static bool
is_passed_on(const char *name)
{
    return !ch_http_is_hop_header(name) && strcasecmp(name, "Expect") != 0 &&
           !ch_relay_is_own_header(name);
}

static void
handle_status(void *data, int status)
{
    struct relayed_call *call = data;
    call->status = status;
}

static void
handle_header(void *data, const char *name, const char *value)
{
    struct relayed_call *call = data;
    ch_notice_reader_add(&call->notice_reader, name, value, g_get_real_time());
    if (is_passed_on(name) && strcasecmp(name, "Date") != 0) {
        ch_http_headers_add(call->headers, name, value);
    }
}

/* Records what the response says of calls to come from this node. */
static void
handle_headers_end(void *data)
{
    const struct relayed_call *call = data;
    const struct ch_notice notice =
        ch_notice_reader_get(&call->notice_reader, call->status);
    ch_notices_observe(call->server->node->notices, call->upstream, 0, &notice,
                       call->sent_at);
}

/* Sends the head of the upstream's response, once. */
static void
start_response(struct relayed_call *call)
{
    if (!call->is_started) {
        call->is_started = true;
        ch_response_start_forward(
            call->response, call->status,
            (const struct ch_http_header *)(void *)call->headers->data,
            call->headers->len);
    }
}

/* Cancels the call to the upstream if it is under way. The HTTP client exists
 * until all calls have ended; the lock keeps this one from ending. Lock held.
 */
static void
cancel_call(const struct relayed_call *call)
{
    if (call->handle != 0) {
        ch_http_cancel(call->server->node->http, call->handle);
    }
}

static void
handle_data(void *data, const char *bytes, size_t length)
{
    struct relayed_call *call = data;
    start_response(call);
    if (!ch_response_add_event(call->response, bytes, length)) {
        pthread_mutex_lock(&call->lock);
        cancel_call(call);
        pthread_mutex_unlock(&call->lock);
    }
}

/* Keeps waiting: the other node decides how long. */
static bool
handle_stall(void *data)
{
    (void)data;
    return true;
}

/* The result of a call that ended without a response. */
static enum ch_relay_result
get_result(const struct ch_http_result *end)
{
    if (!end->sent) {
        return end->connection_refused ? CH_RELAY_UPSTREAM_REFUSED
                                       : CH_RELAY_UPSTREAM_TIMED_OUT;
    }
    return end->code == CH_UPSTREAM_STALLED ? CH_RELAY_UPSTREAM_STALLED
                                            : CH_RELAY_UPSTREAM_CUT;
}

static void
handle_end(void *data, const struct ch_http_result *end)
{
    struct relayed_call *call = data;
    struct ch_relay_server *server = call->server;
    pthread_mutex_lock(&call->lock);
    call->handle = 0;
    call->is_ended = true;
    pthread_mutex_unlock(&call->lock);
    ch_path_manager_record_result(server->node->paths, call->upstream, end);
    if (end->code == CH_OK) {
        start_response(call);
        ch_response_end_stream(call->response);
    }
    else if (call->is_started) {
        ch_response_abort(call->response);
    }
    else {
        send_result(call->response, get_result(end));
    }
    ch_response_unref(call->response);
    relayed_call_unref(call);
    pthread_mutex_lock(&server->lock);
    server->calls--;
    pthread_mutex_unlock(&server->lock);
}

/* The other node has closed its connection: so its caller has left, or it
 * needs the response no more. */
static void
handle_disconnected(void *data)
{
    struct relayed_call *call = data;
    pthread_mutex_lock(&call->lock);
    call->is_gone = true;
    cancel_call(call);
    pthread_mutex_unlock(&call->lock);
}

/* ---- requests ---- */

static const char *
find_header(const struct ch_incoming_request *incoming, const char *name)
{
    for (guint i = 0; i < incoming->all_headers->len; i++) {
        const struct ch_http_header *header =
            &g_array_index(incoming->all_headers, struct ch_http_header, i);
        if (strcasecmp(header->name, name) == 0) {
            return header->value;
        }
    }
    return NULL;
}

/* Whether the upstream takes a call from this node now. Where it asked this
 * node to wait, another one may relay the call. */
static enum ch_relay_result
check_notices(const struct ch_relay_server *server, GQuark upstream)
{
    int64_t retry_after = 0;
    switch (
        ch_notices_may_call(server->node->notices, upstream, &retry_after)) {
    case CH_NOTICES_DRAINS:
        return CH_RELAY_DRAINING;
    case CH_NOTICES_WAITS:
        return CH_RELAY_BUSY;
    default:
        return CH_RELAY_NONE;
    }
}

/* Begins a call unless there are too many, or this node stops. */
static enum ch_relay_result
admit(struct ch_relay_server *server)
{
    enum ch_relay_result result = CH_RELAY_NONE;
    pthread_mutex_lock(&server->lock);
    if (server->draining) {
        result = CH_RELAY_STOPPING;
    }
    else if (server->calls >= MAX_CALLS) {
        result = CH_RELAY_BUSY;
    }
    server->calls += result == CH_RELAY_NONE ? 1 : 0;
    pthread_mutex_unlock(&server->lock);
    return result;
}

/* Sends the request to the upstream. */
static void
submit(struct relayed_call *call, const struct ch_incoming_request *incoming,
       const char *address)
{
    static const struct ch_http_handlers handlers = {
        .on_status = handle_status,
        .on_header = handle_header,
        .on_headers_end = handle_headers_end,
        .on_data = handle_data,
        .on_stall = handle_stall,
        .on_end = handle_end,
    };
    const char *time_text = find_header(incoming, CH_RELAY_TIME_HEADER);
    guint64 time_ms = 0;
    if (time_text == NULL ||
        !g_ascii_string_to_unsigned(time_text, 10, 1, MAX_CALL_MS, &time_ms,
                                    NULL)) {
        time_ms = MAX_CALL_MS;
    }
    GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    for (guint i = 0; i < incoming->all_headers->len; i++) {
        const struct ch_http_header *header =
            &g_array_index(incoming->all_headers, struct ch_http_header, i);
        if (is_passed_on(header->name)) {
            g_array_append_val(headers, *header);
        }
    }
    g_autofree char *url =
        g_strdup_printf("http://%s%s", address, incoming->uri);
    const struct ch_http_request request = {
        .method = incoming->method,
        .url = url,
        .headers = (const struct ch_http_header *)(void *)headers->data,
        .header_count = headers->len,
        .body = incoming->body->data,
        .body_length = incoming->body->len,
        .connect_timeout = CONNECT_TIMEOUT_US,
        .total_timeout = (int64_t)time_ms * 1000,
        .fresh_connection =
            find_header(incoming, CH_RELAY_FRESH_HEADER) != NULL,
        .no_resend = true,
    };
    uint64_t handle =
        ch_http_submit(call->server->node->http, &request, &handlers, call);
    pthread_mutex_lock(&call->lock);
    call->handle = call->is_ended ? 0 : handle;
    if (call->is_gone) {
        cancel_call(call);
    }
    pthread_mutex_unlock(&call->lock);
    g_array_free(headers, TRUE);
}

/* Relays a request that has arrived completely, or responds why not. */
static void
relay(struct ch_relay_server *server, struct ch_incoming_request *incoming)
{
    static const struct ch_response_watcher watcher = {
        .disconnected = handle_disconnected,
        .unref_data = relayed_call_unref,
    };
    const char *name = find_header(incoming, CH_RELAY_UPSTREAM_HEADER);
    GQuark upstream = name == NULL ? 0 : g_quark_try_string(name);
    char address[32];
    enum ch_relay_result result =
        upstream == 0
            ? CH_RELAY_UNKNOWN_UPSTREAM
            : ch_path_manager_find_upstream(server->node->paths, upstream,
                                            address, sizeof(address));
    if (result == CH_RELAY_NONE) {
        result = check_notices(server, upstream);
    }
    if (result == CH_RELAY_NONE) {
        result = admit(server);
    }
    if (result != CH_RELAY_NONE) {
        count(server, CH_COUNT_RELAY_REFUSED);
        send_result(incoming->response, result);
        return;
    }
    count(server, CH_COUNT_RELAYED_IN);
    struct relayed_call *call = g_new0(struct relayed_call, 1);
    call->references = 3; /* the loop's, the watcher's, this function's */
    call->server = server;
    call->upstream = upstream;
    call->sent_at = ch_client_get_time(server->node->client);
    call->notice_reader.draining_header =
        server->node->dialect == NULL ? CH_CALL_DEFAULT_DRAINING_HEADER
                                      : server->node->dialect->draining_header;
    ch_notices_count_call(server->node->notices, upstream, CH_NOTICES_REQUEST);
    call->response = ch_response_ref(incoming->response);
    call->headers = ch_http_headers_new();
    pthread_mutex_init(&call->lock, NULL);
    ch_response_set_watcher(incoming->response, &watcher, call);
    submit(call, incoming, address);
    relayed_call_unref(call);
}

/* ---- callbacks of libmicrohttpd ---- */

static void *
handle_request_line(void *data, const char *uri,
                    struct MHD_Connection *connection)
{
    struct ch_relay_server *server = data;
    CH_TSAN_ACQUIRE(&server->listener);
    pthread_mutex_lock(&server->lock);
    uint64_t number = ++server->last_number;
    pthread_mutex_unlock(&server->lock);
    struct ch_incoming_request *incoming = ch_incoming_request_new(
        connection, server->node->response_memory, uri, "", number);
    ch_response_use_caller_id(incoming->response, CH_RELAY_RESULT_HEADER,
                              NULL);
    incoming->watch_handle =
        ch_disconnect_watch_add(server->disconnect_watch, incoming->response);
    return incoming;
}

static enum MHD_Result
handle_request(void *data, struct MHD_Connection *connection, const char *path,
               const char *method, const char *version, const char *upload,
               size_t *upload_size, void **request)
{
    (void)path;
    (void)version;
    struct ch_relay_server *server = data;
    struct ch_incoming_request *incoming = *request;
    if (!incoming->head_checked) {
        struct ch_fault fault = {.error.code = CH_OK};
        return ch_incoming_request_read_head(incoming, connection, method,
                                             &server->limits, &fault)
                   ? MHD_YES
                   : MHD_NO;
    }
    if (*upload_size > 0) {
        bool good = ch_incoming_request_add_body(
            incoming, upload, *upload_size, server->limits.max_body_bytes);
        *upload_size = 0;
        return good && !incoming->too_large ? MHD_YES : MHD_NO;
    }
    if (!incoming->complete) {
        incoming->complete = true;
        relay(server, incoming);
    }
    return ch_response_queue(incoming->response, false);
}

static void
handle_request_end(void *data, struct MHD_Connection *connection,
                   void **request, enum MHD_RequestTerminationCode why)
{
    (void)connection;
    (void)why;
    struct ch_relay_server *server = data;
    struct ch_incoming_request *incoming = *request;
    if (incoming == NULL) {
        return;
    }
    ch_disconnect_watch_remove(server->disconnect_watch, incoming->response,
                               incoming->watch_handle);
    ch_response_detach(incoming->response);
    ch_incoming_request_free(incoming);
    *request = NULL;
}

static void
handle_new_connection(void *data, int fd, const struct sockaddr_in *from)
{
    struct ch_relay_server *server = data;
    CH_TSAN_RELEASE(&server->listener); /* the library's lock passes on fd */
    if (MHD_add_connection(server->daemon, fd, (const struct sockaddr *)from,
                           sizeof(*from)) != MHD_YES) {
        ch_log(server->node->client, CH_LOG_WARNING,
               "relay-connection-refused", CH_F_END);
    }
}

/* ---- start and stop ---- */

static struct MHD_Daemon *
start_daemon(struct ch_relay_server *server)
{
    return MHD_start_daemon(
        MHD_USE_EPOLL | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET,
        0, NULL, NULL, handle_request, server, MHD_OPTION_URI_LOG_CALLBACK,
        handle_request_line, server, MHD_OPTION_NOTIFY_COMPLETED,
        handle_request_end, server, MHD_OPTION_CONNECTION_LIMIT,
        server->limits.max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        server->limits.max_header_bytes + CH_INCOMING_MEMORY_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_SECONDS,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
}

/* See relay_server.h. */
struct ch_relay_server *
ch_relay_server_new(struct ch_node *node, struct ch_error *error)
{
    struct ch_relay_server *server = g_new0(struct ch_relay_server, 1);
    server->node = node;
    server->limits = *node->settings;
    server->limits.max_header_bytes += MORE_HEADER_BYTES;
    pthread_mutex_init(&server->lock, NULL);
    server->disconnect_watch = ch_disconnect_watch_new();
    server->daemon = start_daemon(server);
    if (server->daemon == NULL) {
        ch_error_set(error, CH_SYSTEM, "cannot relay calls: %s",
                     g_strerror(errno));
        ch_relay_server_free(server);
        return NULL;
    }
    server->listener = ch_listener_new(node->settings->relay,
                                       handle_new_connection, server, error);
    if (server->listener == NULL) {
        ch_relay_server_free(server);
        return NULL;
    }
    ch_peers_set_relay_port(node->peers,
                            (uint16_t)ch_relay_server_get_port(server));
    return server;
}

/* See relay_server.h. */
int
ch_relay_server_get_port(const struct ch_relay_server *server)
{
    return ch_listener_get_port(server->listener);
}

/* See relay_server.h. */
void
ch_relay_server_drain(struct ch_relay_server *server)
{
    if (server == NULL) {
        return;
    }
    pthread_mutex_lock(&server->lock);
    server->draining = true;
    pthread_mutex_unlock(&server->lock);
}

static unsigned
count_calls(struct ch_relay_server *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned calls = server->calls;
    pthread_mutex_unlock(&server->lock);
    return calls;
}

/* See relay_server.h. */
void
ch_relay_server_stop(struct ch_relay_server *server)
{
    if (server == NULL || server->listener == NULL) {
        return;
    }
    int64_t grace_ms = server->limits.grace_ms;
    int64_t left_ms =
        grace_ms == 0
            ? MAX_CALL_MS
            : MAX(grace_ms - server->limits.drain_ms - STOP_RESERVE_MS, 0);
    while (count_calls(server) > 0 && left_ms > 0) {
        g_usleep(STOP_POLL_US);
        left_ms -= STOP_POLL_US / 1000;
    }
    unsigned calls = count_calls(server);
    if (calls > 0) {
        ch_log(server->node->client, CH_LOG_WARNING, "relayed-calls-cut",
               CH_F_INT("count", calls), CH_F_END);
    }
    ch_listener_free(server->listener);
    server->listener = NULL;
}

/* See relay_server.h. */
void
ch_relay_server_free(struct ch_relay_server *server)
{
    if (server == NULL) {
        return;
    }
    ch_listener_free(server->listener);
    if (server->daemon != NULL) {
        MHD_stop_daemon(server->daemon);
    }
    ch_disconnect_watch_free(server->disconnect_watch);
    pthread_mutex_destroy(&server->lock);
    g_free(server);
}
