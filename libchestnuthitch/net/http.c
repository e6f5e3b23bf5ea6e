/*
 * HTTP client: one thread around a libcurl multi handle. libcurl is configured
 * not to send anything that was not asked for: no redirects, no proxy, no
 * authentication, no "Expect: 100-continue" (a 417 response makes libcurl send
 * again), HTTP/1.1 only (a refused HTTP/2 stream is sent again), and a new
 * connection for requests that must not be repeated (a request on a kept-alive
 * connection that is closed before any byte of the response is sent again).
 * For the last there is a second safeguard: handle_request_start() refuses to
 * send a request a second time, whatever libcurl's reason.
 */

#include "net/net.h"

#include "net/socket.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

enum {
    /*
     * libcurl's receive buffer per transfer. Small, since tokens are small and
     * a thousand open streams share the memory of this machine.
     */
    RECEIVE_BUFFER_BYTES = 8 * 1024,
    /*
     * Idle connections kept in total: two to each of some hundred upstreams.
     */
    MAX_IDLE_CONNECTIONS = 256,
    MAX_POLL_MS = 60 * 1000,
    /* All header lines of a response: of interim ones, the final one and
     * trailers. */
    MAX_HEADER_BYTES = 128 * 1024,
    MAX_INTERIM_RESPONSES = 16,
    /* From the first line of a response's head to its end. */
    HEAD_TIMEOUT_US = 5 * 1000 * 1000,
    /* Received on the connection without any that belong to the body, such as
     * extensions of a chunk's size. */
    MAX_FRAMING_BYTES = 1024 * 1024,
};

enum phase {
    PHASE_CONNECT,
    PHASE_FIRST_BYTE,
    PHASE_BODY,
};

struct transfer {
    struct ch_http *http;
    uint64_t handle;
    struct ch_http_handlers handlers;
    void *data;
    char *url;
    char *origin; /* "http://ip:port" */
    char *method;
    char *body;
    size_t body_length;
    struct curl_slist *headers;
    int64_t connect_timeout;
    int64_t first_byte_timeout;
    int64_t stall_timeout;
    int64_t total_deadline;   /* 0: none */
    int64_t valid_until;      /* see struct ch_http_request */
    int64_t phase_deadline;   /* end of the current phase */
    int64_t last_received_at; /* last byte, or the request was sent */
    enum phase phase;
    CURL *easy; /* NULL until the loop starts the transfer */
    bool fresh_connection;
    bool no_resend;
    bool connect_only;
    bool sent;      /* sending was started on some connection */
    bool reused;    /* on a connection used by an earlier request */
    bool cancelled; /* cancelled by a handler: the connection must be closed */
    bool connection_refused; /* nothing accepts connections at the address */
    int64_t started_at;      /* see struct ch_http_result */
    int64_t connected_at;
    bool headers_done; /* the final headers are complete */
    size_t header_bytes;
    unsigned interim_responses;
    int64_t head_deadline; /* of the head being received; 0: none */
    size_t framing_bytes;  /* received since the last data */
    const char *excess;    /* what is without end; NULL: nothing */
    int status;            /* final status; 0: none yet */
    char error_text[CURL_ERROR_SIZE];
};

struct ch_http {
    struct ch_client *client;
    CURLM *multi;
    pthread_t thread;
    pthread_mutex_t lock;
    struct ch_table *transfers; /* guarded by lock */
    GQueue *submitted;          /* transfers to start; guarded by lock */
    GArray *cancelled_handles;  /* handles to cancel; guarded by lock */
    int64_t idle_timeout;       /* guarded by lock */
    bool stopping;              /* guarded by lock */
    /* Used only by the loop's thread. */
    GHashTable *running;         /* set of started transfers */
    GHashTable *suspect_origins; /* origin to struct origin_suspicion */
    int64_t next_check_at;       /* no timeout ends before this time */
    int64_t last_received_at;    /* last byte on any connection */
};

/*
 * An origin whose reused connection stopped responding; its kept-alive
 * connections are not used until ends_at.
 */
struct origin_suspicion {
    int64_t ends_at;
};

/* Frees a transfer that has been removed from every table and queue. */
static void
transfer_free(struct transfer *transfer)
{
    if (transfer->easy != NULL) {
        curl_easy_cleanup(transfer->easy);
    }
    curl_slist_free_all(transfer->headers);
    g_free(transfer->url);
    g_free(transfer->origin);
    g_free(transfer->method);
    g_free(transfer->body);
    g_free(transfer);
}

/*
 * Sets the deadline of the transfer's current phase; a timeout of 0 means
 * none.
 */
static void
set_phase_timeout(struct transfer *transfer, int64_t timeout)
{
    int64_t deadline =
        timeout > 0 ? ch_client_get_time(transfer->http->client) + timeout
                    : INT64_MAX;
    if (transfer->total_deadline != 0) {
        deadline = MIN(deadline, transfer->total_deadline);
    }
    transfer->phase_deadline = deadline;
    transfer->http->next_check_at =
        MIN(transfer->http->next_check_at, deadline);
}

/*
 * Removes a transfer from all tables, reports its result to the owner and
 * frees it.
 */
static void
transfer_end(struct transfer *transfer, enum ch_code code, const char *message)
{
    struct ch_http *http = transfer->http;
    if (transfer->easy != NULL) {
        curl_multi_remove_handle(http->multi, transfer->easy);
        g_hash_table_remove(http->running, transfer);
    }
    pthread_mutex_lock(&http->lock);
    ch_table_remove(http->transfers, transfer->handle);
    pthread_mutex_unlock(&http->lock);
    struct ch_http_result end = {
        .code = code,
        .status = transfer->status,
        .head_complete = transfer->headers_done,
        .sent = transfer->sent,
        .connection_refused = transfer->connection_refused,
        .started_at = transfer->started_at,
        .connected_at = transfer->connected_at,
    };
    (void)snprintf(end.message, sizeof(end.message), "%s", message);
    if (transfer->handlers.on_end != NULL) {
        transfer->handlers.on_end(transfer->data, &end);
    }
    transfer_free(transfer);
}

/* Whether nothing of the request may be sent any more: its owner relies on
 * that after the deadline. */
static bool
is_overdue(const struct transfer *transfer)
{
    return (transfer->total_deadline != 0 &&
            ch_client_get_time(transfer->http->client) >=
                transfer->total_deadline) ||
           (transfer->valid_until != 0 &&
            ch_clock_get_boottime() >= transfer->valid_until);
}

/*
 * Called by libcurl for a socket that it has opened, before it connects. A
 * socket without these options could deliver a call that was given up, so it
 * is not used.
 */
static int
handle_socket_opened(void *data, curl_socket_t fd, curlsocktype purpose)
{
    const struct transfer *transfer = data;
    (void)purpose;
    bool is_set = ch_socket_set_reset_on_close(fd);
    if (is_set && transfer->valid_until != 0) {
        is_set = ch_socket_set_unacknowledged_limit(
            fd, transfer->valid_until - ch_clock_get_boottime());
    }
    return is_set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
}

/*
 * Called by libcurl each time it has a connection and is about to write the
 * request; from here on bytes may have been sent. A second call means that
 * libcurl is about to send the request again on its own. The caller of a
 * request that must not be repeated would then be told of one run when there
 * were two, so the second sending is refused. So is one after the deadline:
 * the process may have been frozen while the connection was made.
 */
static int
handle_request_start(void *data, char *remote, char *local, int remote_port,
                     int local_port)
{
    (void)remote;
    (void)local;
    (void)remote_port;
    (void)local_port;
    struct transfer *transfer = data;
    if (transfer->sent &&
        (transfer->fresh_connection || transfer->no_resend)) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (is_overdue(transfer)) {
        return CURL_PREREQFUNC_ABORT;
    }
    long connects = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
    transfer->reused = connects == 0;
    transfer->sent = true;
    transfer->phase = PHASE_FIRST_BYTE;
    transfer->last_received_at = ch_client_get_time(transfer->http->client);
    transfer->connected_at = transfer->reused ? 0 : transfer->last_received_at;
    set_phase_timeout(transfer, transfer->first_byte_timeout);
    return CURL_PREREQFUNC_OK;
}

/* Restarts the timeout between received bytes. */
static void
record_received(struct transfer *transfer)
{
    transfer->phase = PHASE_BODY;
    transfer->last_received_at = ch_client_get_time(transfer->http->client);
    transfer->http->last_received_at = transfer->last_received_at;
    transfer->framing_bytes = 0;
    set_phase_timeout(transfer, transfer->stall_timeout);
}

/* Restarts the timeout while a head is received, and bounds the whole head. */
static void
record_head_line(struct transfer *transfer, size_t length)
{
    record_received(transfer);
    transfer->header_bytes += length;
    if (transfer->header_bytes > MAX_HEADER_BYTES) {
        transfer->excess = "the response's headers are over the limit";
    }
    if (transfer->headers_done) {
        return;
    }
    if (transfer->head_deadline == 0) {
        transfer->head_deadline = transfer->last_received_at + HEAD_TIMEOUT_US;
    }
    transfer->phase_deadline =
        MIN(transfer->phase_deadline, transfer->head_deadline);
    transfer->http->next_check_at =
        MIN(transfer->http->next_check_at, transfer->phase_deadline);
}

/* Parses a status line. Of interim (1xx) responses the owner gets the headers
 * alone. */
static void
parse_status_line(struct transfer *transfer, const char *line, size_t length)
{
    const char *space = memchr(line, ' ', length);
    int status = 0;
    if (space != NULL && line + length - space > 3) {
        status = (int)g_ascii_strtoll(space + 1, NULL, 10);
    }
    transfer->status = status >= 200 ? status : 0;
    if (transfer->status == 0 &&
        ++transfer->interim_responses > MAX_INTERIM_RESPONSES) {
        transfer->excess = "there are too many interim responses";
    }
    if (transfer->status != 0 && transfer->handlers.on_status != NULL) {
        transfer->handlers.on_status(transfer->data, status);
    }
}

/* Splits a header line and passes it to the owner's handler, if there is one.
 */
static void
parse_header_line(const struct transfer *transfer, const char *line,
                  size_t length,
                  void (*handler)(void *data, const char *name,
                                  const char *value))
{
    const char *colon = memchr(line, ':', length);
    if (colon == NULL || handler == NULL) {
        return;
    }
    char *name = g_strndup(line, (size_t)(colon - line));
    char *value = g_strndup(colon + 1, (size_t)(line + length - colon - 1));
    handler(transfer->data, name, g_strstrip(value));
    g_free(name);
    g_free(value);
}

/* Called by libcurl for each line of the response's headers or trailers. */
static size_t
handle_header_line(char *line, size_t size, size_t count, void *data)
{
    struct transfer *transfer = data;
    size_t length = size * count;
    record_head_line(transfer, length);
    if (transfer->excess != NULL) {
        return 0;
    }
    if (transfer->headers_done) {
        return length;
    }
    if (transfer->status == 0 && length > 5 &&
        strncasecmp(line, "HTTP/", 5) == 0) {
        parse_status_line(transfer, line, length);
        return transfer->excess == NULL ? length : 0;
    }
    if (transfer->status == 0) {
        if (line[0] == '\r' || line[0] == '\n') {
            transfer->head_deadline = 0;
        }
        parse_header_line(transfer, line, length,
                          transfer->handlers.on_interim_header);
        return length;
    }
    if (line[0] == '\r' || line[0] == '\n') {
        transfer->headers_done = true;
        transfer->head_deadline = 0;
        if (transfer->handlers.on_headers_end != NULL) {
            transfer->handlers.on_headers_end(transfer->data);
        }
        return length;
    }
    parse_header_line(transfer, line, length, transfer->handlers.on_header);
    return transfer->cancelled ? 0 : length;
}

/* Called by libcurl for bytes of the response's body. */
static size_t
handle_body_data(char *bytes, size_t size, size_t count, void *data)
{
    struct transfer *transfer = data;
    record_received(transfer);
    if (transfer->handlers.on_data != NULL) {
        transfer->handlers.on_data(transfer->data, bytes, size * count);
    }
    return transfer->cancelled ? 0 : size * count;
}

/* Called by libcurl with all that it receives. It skips the extensions of a
 * chunk's size without a limit, and passes none of them on. */
static int
handle_raw_data(CURL *easy, curl_infotype type, char *bytes, size_t size,
                void *data)
{
    (void)easy, (void)bytes;
    struct transfer *transfer = data;
    if (type == CURLINFO_DATA_IN) {
        transfer->framing_bytes += size;
        if (transfer->framing_bytes > MAX_FRAMING_BYTES) {
            transfer->excess = "the response has framing over the limit";
        }
    }
    return 0;
}

/* Called by libcurl whenever it has worked on the transfer; not 0 ends it. */
static int
handle_progress(void *data, curl_off_t total, curl_off_t now,
                curl_off_t upload_total, curl_off_t upload_now)
{
    const struct transfer *transfer = data;
    (void)total, (void)now, (void)upload_total, (void)upload_now;
    return transfer->excess != NULL;
}

/* Sets the options common to all transfers; see the top of this file. */
static void
set_common_options(CURL *easy, struct transfer *transfer)
{
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_NETRC, (long)CURL_NETRC_IGNORED);
    curl_easy_setopt(easy, CURLOPT_DISALLOW_USERNAME_IN_URL, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)INT32_MAX);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error_text);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, handle_socket_opened);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, handle_request_start);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
    curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, handle_raw_data);
    curl_easy_setopt(easy, CURLOPT_DEBUGDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, handle_progress);
    curl_easy_setopt(easy, CURLOPT_XFERINFODATA, transfer);
}

static void
set_request_options(CURL *easy, struct transfer *transfer)
{
    curl_easy_setopt(easy, CURLOPT_URL, transfer->url);
    if (transfer->connect_only) {
        curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
    }
    if (strcmp(transfer->method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    else if (transfer->body_length > 0 ||
             strcmp(transfer->method, "POST") == 0 ||
             strcmp(transfer->method, "PUT") == 0 ||
             strcmp(transfer->method, "PATCH") == 0) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)transfer->body_length);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->method);
    }
    else {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->method);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/*
 * Whether kept-alive connections to this origin are not to be reused. When a
 * middlebox drops connections, it drops many at once: without this, each call
 * after the first would pick another dead connection and wait for its full
 * timeout.
 */
static bool
is_suspect_origin(struct ch_http *http, const char *origin)
{
    const struct origin_suspicion *found =
        g_hash_table_lookup(http->suspect_origins, origin);
    if (found == NULL) {
        return false;
    }
    if (ch_client_get_time(http->client) < found->ends_at) {
        return true;
    }
    g_hash_table_remove(http->suspect_origins, origin);
    return false;
}

/*
 * Sets whether connections are reused and how long they may idle. libcurl
 * counts whole seconds and reuses a connection until the end of the second
 * that is set, so one second less is set.
 */
static void
set_connection_options(CURL *easy, struct transfer *transfer)
{
    struct ch_http *http = transfer->http;
    pthread_mutex_lock(&http->lock);
    int64_t timeout = http->idle_timeout;
    pthread_mutex_unlock(&http->lock);
    long seconds = (long)(timeout / G_USEC_PER_SEC);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MAX(seconds - 1, 0));
    if (transfer->fresh_connection ||
        is_suspect_origin(http, transfer->origin)) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (transfer->fresh_connection || seconds == 0) {
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

/*
 * Starts a transfer in libcurl, unless its deadline passed before the loop
 * reached it: the owner relies on nothing being sent after the deadline.
 */
static void
transfer_start(struct transfer *transfer)
{
    struct ch_http *http = transfer->http;
    if (is_overdue(transfer)) {
        transfer_end(transfer, CH_UPSTREAM_CONNECT, "not started in time");
        return;
    }
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        transfer_end(transfer, CH_SYSTEM, "out of memory for a transfer");
        return;
    }
    transfer->easy = easy;
    transfer->started_at = ch_client_get_time(http->client);
    g_hash_table_add(http->running, transfer);
    set_common_options(easy, transfer);
    set_request_options(easy, transfer);
    set_connection_options(easy, transfer);
    set_phase_timeout(transfer, transfer->connect_timeout);
    if (curl_multi_add_handle(http->multi, easy) != CURLM_OK) {
        transfer_end(transfer, CH_SYSTEM,
                     "libcurl did not accept more transfers");
    }
}

/*
 * Whether the connection was closed before the end of the response's headers.
 * libcurl reports such a response as successful once a byte of it has come.
 */
static bool
is_cut_in_head(const struct transfer *transfer, CURLcode result)
{
    return result == CURLE_OK && !transfer->connect_only &&
           !transfer->headers_done;
}

/* Converts a result of libcurl to a code. */
static enum ch_code
convert_result(const struct transfer *transfer, CURLcode result)
{
    if (transfer->cancelled) {
        return CH_CANCELLED;
    }
    if (transfer->excess != NULL) {
        return CH_UPSTREAM_ANSWER;
    }
    if (is_cut_in_head(transfer, result)) {
        return CH_UPSTREAM_CUT;
    }
    if (result == CURLE_OK) {
        return CH_OK;
    }
    if (!transfer->sent) {
        return result == CURLE_URL_MALFORMAT ? CH_BAD_FIELD
                                             : CH_UPSTREAM_CONNECT;
    }
    switch (result) {
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
        return CH_UPSTREAM_ANSWER;
    default:
        return CH_UPSTREAM_CUT;
    }
}

/* What a result of libcurl is reported as; "" for success. */
static const char *
get_result_text(const struct transfer *transfer, CURLcode result)
{
    if (is_cut_in_head(transfer, result)) {
        return "connection closed within the response's headers";
    }
    if (result == CURLE_OK) {
        return "";
    }
    if (transfer->excess != NULL) {
        return transfer->excess;
    }
    return transfer->error_text[0] != '\0' ? transfer->error_text
                                           : curl_easy_strerror(result);
}

/* Ends the transfers that libcurl has completed. */
static void
handle_results(struct ch_http *http)
{
    int left = 0;
    CURLMsg *message = NULL;
    while ((message = curl_multi_info_read(http->multi, &left)) != NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        struct transfer *transfer = NULL;
        CURLcode result = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        transfer->connection_refused =
            !transfer->sent && result == CURLE_COULDNT_CONNECT;
        if (transfer->connect_only && result == CURLE_OK) {
            transfer->connected_at = ch_client_get_time(http->client);
        }
        transfer_end(transfer, convert_result(transfer, result),
                     get_result_text(transfer, result));
    }
}

/*
 * Records that a reused connection stopped responding; see
 * is_suspect_origin().
 */
static void
mark_origin_suspect(struct ch_http *http, const struct transfer *transfer)
{
    struct origin_suspicion *found = g_new(struct origin_suspicion, 1);
    pthread_mutex_lock(&http->lock);
    found->ends_at = ch_client_get_time(http->client) + http->idle_timeout;
    pthread_mutex_unlock(&http->lock);
    g_hash_table_replace(http->suspect_origins, g_strdup(transfer->origin),
                         found);
}

/*
 * Whether this node itself may have stalled, rather than the connection. True
 * if nothing was received on any connection in the later half of the call's
 * silence, and a response that had begun from another origin, and is also
 * under a stall timeout, has stopped too. Connections dropped by a middlebox
 * while idle do not cause that. Only the later half counts, since calls last
 * receive data at different moments before a stall.
 */
static bool
may_be_own_stall(struct ch_http *http, const struct transfer *transfer,
                 int64_t now)
{
    int64_t since = now - (now - transfer->last_received_at) / 2;
    GHashTableIter iter;
    void *key = NULL;
    if (http->last_received_at > since) {
        return false;
    }
    g_hash_table_iter_init(&iter, http->running);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const struct transfer *other = key;
        if (other->phase == PHASE_BODY && other->stall_timeout > 0 &&
            strcmp(other->origin, transfer->origin) != 0) {
            return true;
        }
    }
    return false;
}

/*
 * Marks the origins of reused connections that stopped responding; see
 * is_suspect_origin(). Skipped when this node itself may have stalled: all its
 * calls would then open new connections for as long as connections may idle,
 * just when the node can least afford it.
 */
static void
mark_suspect_origins(struct ch_http *http, const GPtrArray *timed_out,
                     int64_t now)
{
    for (guint i = 0; i < timed_out->len; i++) {
        const struct transfer *transfer = g_ptr_array_index(timed_out, i);
        if (transfer->sent && transfer->reused &&
            !may_be_own_stall(http, transfer, now)) {
            mark_origin_suspect(http, transfer);
        }
    }
}

/* Ends a transfer whose current phase timed out. */
static void
end_timed_out(struct transfer *transfer)
{
    static const char *const texts[] = {
        [PHASE_CONNECT] = "not connected in time",
        [PHASE_FIRST_BYTE] = "no response in time",
        [PHASE_BODY] = "silent in the middle of the response",
    };
    transfer_end(
        transfer, transfer->sent ? CH_UPSTREAM_STALLED : CH_UPSTREAM_CONNECT,
        transfer->head_deadline != 0 ? "the response's headers took too long"
                                     : texts[transfer->phase]);
}

/* The timeout of the transfer's current phase after it was connected. */
static int64_t
get_silence_timeout(const struct transfer *transfer)
{
    return transfer->phase == PHASE_FIRST_BYTE ? transfer->first_byte_timeout
                                               : transfer->stall_timeout;
}

/*
 * Asks the owner of a timed-out transfer whether to keep waiting. The owner is
 * asked again after the same timeout, since what it waits for may be available
 * by then.
 */
static bool
owner_keeps_waiting(struct transfer *transfer, int64_t now)
{
    bool total_passed =
        transfer->total_deadline != 0 && transfer->total_deadline <= now;
    bool head_passed =
        transfer->head_deadline != 0 && transfer->head_deadline <= now;
    if (total_passed || head_passed || transfer->phase == PHASE_CONNECT ||
        transfer->handlers.on_stall == NULL ||
        !transfer->handlers.on_stall(transfer->data)) {
        return false;
    }
    set_phase_timeout(transfer, get_silence_timeout(transfer));
    return true;
}

/*
 * Logs how many calls timed out at once and when this node last received
 * anything: silent upstreams, a congested link and a thread that got no CPU
 * time look alike from a single call.
 */
static void
log_timeouts(const struct ch_http *http, unsigned ended, unsigned waited_for,
             int64_t late, int64_t now)
{
    if (ended + waited_for == 0) {
        return;
    }
    ch_log(http->client, CH_LOG_INFO, "calls-silent", CH_F_INT("ended", ended),
           CH_F_INT("waited_for", waited_for),
           CH_F_INT("open", g_hash_table_size(http->running)),
           CH_F_INT("late_us", late),
           CH_F_INT("heard_us", http->last_received_at == 0
                                    ? -1
                                    : MAX(now - http->last_received_at, 0)),
           CH_F_END);
}

/*
 * Ends every transfer whose deadline had passed when the connections were last
 * read, and computes the next time to check. Reading and the handlers may take
 * long on a busy host; bytes that arrive meanwhile are read in the next
 * iteration, so they must not count as missing.
 */
static void
end_all_timed_out(struct ch_http *http, int64_t now)
{
    if (now < http->next_check_at) {
        return;
    }
    GPtrArray *timed_out = g_ptr_array_new();
    GHashTableIter iter;
    void *key = NULL;
    unsigned waited_for = 0;
    int64_t late = 0;
    http->next_check_at = INT64_MAX;
    g_hash_table_iter_init(&iter, http->running);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        struct transfer *transfer = key;
        bool is_timed_out = transfer->phase_deadline <= now;
        late = MAX(late, now - transfer->phase_deadline);
        if (is_timed_out && !owner_keeps_waiting(transfer, now)) {
            g_ptr_array_add(timed_out, transfer);
            continue;
        }
        waited_for += is_timed_out;
        http->next_check_at =
            MIN(http->next_check_at, transfer->phase_deadline);
    }
    log_timeouts(http, timed_out->len, waited_for, late, now);
    mark_suspect_origins(http, timed_out, now);
    for (guint i = 0; i < timed_out->len; i++) {
        end_timed_out(g_ptr_array_index(timed_out, i));
    }
    g_ptr_array_free(timed_out, TRUE);
}

/* Starts the transfers submitted since the last call. */
static void
start_submitted(struct ch_http *http)
{
    pthread_mutex_lock(&http->lock);
    GQueue *submitted = http->submitted;
    http->submitted = g_queue_new();
    pthread_mutex_unlock(&http->lock);
    struct transfer *transfer = NULL;
    while ((transfer = g_queue_pop_head(submitted)) != NULL) {
        transfer_start(transfer);
    }
    g_queue_free(submitted);
}

/*
 * Ends the transfers cancelled since the last call. A call that has already
 * ended is no longer in the table and is ignored.
 */
static void
end_cancelled(struct ch_http *http)
{
    pthread_mutex_lock(&http->lock);
    GArray *handles = http->cancelled_handles;
    http->cancelled_handles = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    pthread_mutex_unlock(&http->lock);
    for (guint i = 0; i < handles->len; i++) {
        pthread_mutex_lock(&http->lock);
        struct transfer *transfer =
            ch_table_get(http->transfers, g_array_index(handles, uint64_t, i));
        g_queue_remove(http->submitted, transfer);
        pthread_mutex_unlock(&http->lock);
        if (transfer != NULL) {
            transfer_end(transfer, CH_CANCELLED, "cancelled");
        }
    }
    g_array_free(handles, TRUE);
}

/* Milliseconds until the next timeout has to be checked. */
static int
get_poll_timeout_ms(const struct ch_http *http)
{
    if (http->next_check_at == INT64_MAX) {
        return MAX_POLL_MS;
    }
    int64_t left = http->next_check_at - ch_client_get_time(http->client);
    return (int)CLAMP((left + 999) / 1000, 0, MAX_POLL_MS);
}

/* Cancels all open transfers when the loop stops. */
static void
cancel_all(struct ch_http *http)
{
    start_submitted(http);
    GList *open = g_hash_table_get_keys(http->running);
    for (GList *at = open; at != NULL; at = at->next) {
        transfer_end(at->data, CH_CANCELLED,
                     "the HTTP client is shutting down");
    }
    g_list_free(open);
}

/* Whether ch_http_free() was called. */
static bool
is_stopping(struct ch_http *http)
{
    pthread_mutex_lock(&http->lock);
    bool stopping = http->stopping;
    pthread_mutex_unlock(&http->lock);
    return stopping;
}

static void *
run_loop(void *data)
{
    struct ch_http *http = data;
    while (!is_stopping(http)) {
        int running = 0;
        start_submitted(http);
        end_cancelled(http);
        int64_t now = ch_client_get_time(http->client);
        curl_multi_perform(http->multi, &running);
        handle_results(http);
        end_all_timed_out(http, now);
        curl_multi_poll(http->multi, NULL, 0, get_poll_timeout_ms(http), NULL);
    }
    cancel_all(http);
    return NULL;
}

/* Initialises libcurl, once per process. */
static void *
init_libcurl(void *unused)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return unused;
}

/* Starts the loop's thread. client must outlive the HTTP client. */
struct ch_http *
ch_http_new(struct ch_client *client)
{
    static GOnce once = G_ONCE_INIT;
    g_once(&once, init_libcurl, NULL);
    struct ch_http *http = g_new0(struct ch_http, 1);
    http->client = client;
    http->multi = curl_multi_init();
    curl_multi_setopt(http->multi, CURLMOPT_MAXCONNECTS,
                      (long)MAX_IDLE_CONNECTIONS);
    curl_multi_setopt(http->multi, CURLMOPT_PIPELINING,
                      (long)CURLPIPE_NOTHING);
    http->transfers = ch_table_new();
    http->submitted = g_queue_new();
    http->cancelled_handles = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    http->running = g_hash_table_new(NULL, NULL);
    http->suspect_origins =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    http->idle_timeout = (int64_t)30 * G_USEC_PER_SEC;
    http->next_check_at = INT64_MAX;
    pthread_mutex_init(&http->lock, NULL);
    if (pthread_create(&http->thread, NULL, run_loop, http) != 0) {
        g_error("cannot create the HTTP client thread");
    }
    return http;
}

/* Stops the loop; open calls get on_end with CANCELLED. */
void
ch_http_free(struct ch_http *http)
{
    if (http == NULL) {
        return;
    }
    pthread_mutex_lock(&http->lock);
    http->stopping = true;
    pthread_mutex_unlock(&http->lock);
    curl_multi_wakeup(http->multi);
    pthread_join(http->thread, NULL);
    curl_multi_cleanup(http->multi);
    g_hash_table_destroy(http->running);
    g_hash_table_destroy(http->suspect_origins);
    ch_table_free(http->transfers);
    g_queue_free(http->submitted);
    g_array_free(http->cancelled_handles, TRUE);
    pthread_mutex_destroy(&http->lock);
    g_free(http);
}

/*
 * Adds a header line. Names and values with a line break are dropped: they
 * could inject headers or a second request.
 */
static void
add_header(struct transfer *transfer, const char *name, const char *value)
{
    if (strpbrk(name, "\r\n") != NULL || strpbrk(value, "\r\n") != NULL) {
        return;
    }
    char *line = value[0] == '\0' ? g_strdup_printf("%s;", name)
                                  : g_strdup_printf("%s: %s", name, value);
    transfer->headers = curl_slist_append(transfer->headers, line);
    g_free(line);
}

/*
 * Copies the headers, and stops libcurl from adding two of its own: a default
 * content type, and "Expect" (see the top of this file).
 */
static void
copy_headers(struct transfer *transfer, const struct ch_http_request *request)
{
    bool has_content_type = false;
    for (size_t i = 0; i < request->header_count; i++) {
        const struct ch_http_header *header = &request->headers[i];
        add_header(transfer, header->name, header->value);
        has_content_type =
            has_content_type || strcasecmp(header->name, "Content-Type") == 0;
    }
    if (!has_content_type) {
        transfer->headers =
            curl_slist_append(transfer->headers, "Content-Type:");
    }
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
}

/* The "http://ip:port" of a URL; a new string. */
static char *
copy_origin(const char *url)
{
    const char *host = strstr(url, "://");
    const char *slash = strchr(host == NULL ? url : host + 3, '/');
    return slash == NULL ? g_strdup(url)
                         : g_strndup(url, (size_t)(slash - url));
}

/* Creates a transfer with a copy of the request. */
static struct transfer *
transfer_new(struct ch_http *http, const struct ch_http_request *request,
             const struct ch_http_handlers *handlers, void *data)
{
    struct transfer *transfer = g_new0(struct transfer, 1);
    transfer->http = http;
    transfer->handlers = *handlers;
    transfer->data = data;
    transfer->url = g_strdup(request->url);
    transfer->origin = copy_origin(request->url);
    transfer->method = g_strdup(request->method);
    transfer->body = g_malloc(request->body_length + 1);
    if (request->body_length > 0) {
        memcpy(transfer->body, request->body, request->body_length);
    }
    transfer->body[request->body_length] = '\0';
    transfer->body_length = request->body_length;
    transfer->connect_timeout = request->connect_timeout;
    transfer->first_byte_timeout = request->first_byte_timeout;
    transfer->stall_timeout = request->stall_timeout;
    transfer->fresh_connection = request->fresh_connection ||
                                 request->connect_only ||
                                 request->valid_until != 0;
    transfer->valid_until = request->valid_until;
    transfer->connect_only = request->connect_only;
    transfer->no_resend = request->no_resend;
    transfer->phase_deadline = INT64_MAX;
    if (request->total_timeout > 0) {
        transfer->total_deadline =
            ch_client_get_time(http->client) + request->total_timeout;
    }
    if (request->valid_until != 0) {
        int64_t deadline =
            ch_client_get_time(http->client) +
            MAX(request->valid_until - ch_clock_get_boottime(), 1);
        transfer->total_deadline =
            transfer->total_deadline == 0
                ? deadline
                : MIN(transfer->total_deadline, deadline);
    }
    copy_headers(transfer, request);
    return transfer;
}

/*
 * Queues a request for the loop, from any thread; does not block. Must not be
 * called after ch_http_free() has begun.
 */
uint64_t
ch_http_submit(struct ch_http *http, const struct ch_http_request *request,
               const struct ch_http_handlers *handlers, void *data)
{
    struct transfer *transfer = transfer_new(http, request, handlers, data);
    pthread_mutex_lock(&http->lock);
    uint64_t handle = ch_table_add(http->transfers, transfer);
    transfer->handle = handle;
    g_queue_push_tail(http->submitted, transfer);
    /* With the lock held: once it is released the call may end, and its end
     * may be what ch_http_free() has waited for. */
    curl_multi_wakeup(http->multi);
    pthread_mutex_unlock(&http->lock);
    return handle;
}

/*
 * Ends a call with CANCELLED unless it has ended already, and closes its
 * connection, which notifies the other end. Callable from any thread, also
 * from a handler: the rest of the response is then not read at all. Otherwise
 * a response that had fully arrived would end before the loop handled the
 * cancel, and its connection would be reused with any unread bytes still on
 * it: after one duplicated response, every later call on that connection would
 * get the response to the call before it.
 */
void
ch_http_cancel(struct ch_http *http, uint64_t handle)
{
    pthread_mutex_lock(&http->lock);
    g_array_append_val(http->cancelled_handles, handle);
    struct transfer *transfer = ch_table_get(http->transfers, handle);
    if (transfer != NULL && pthread_equal(pthread_self(), http->thread)) {
        transfer->cancelled = true;
    }
    curl_multi_wakeup(http->multi);
    pthread_mutex_unlock(&http->lock);
}

/*
 * Applies to calls started from now on. Counted in whole seconds, rounded
 * down; under one second, connections are not reused.
 */
void
ch_http_set_idle_timeout(struct ch_http *http, int64_t timeout)
{
    pthread_mutex_lock(&http->lock);
    http->idle_timeout = timeout;
    pthread_mutex_unlock(&http->lock);
}
