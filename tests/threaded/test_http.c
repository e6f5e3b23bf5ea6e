/* Tests the HTTP client against a small server with a configurable fault. */

#include "net/net.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MAX_WAIT_S = 20, /* a test that waits longer than this has failed */
    SHORT_TIMEOUT_US = 80 * 1000,
    LONG_TIMEOUT_US = MAX_WAIT_S * G_USEC_PER_SEC,
    MAX_CONNECTIONS = 16,
    LARGE_BODY_BYTES = 1100 * 1000,
};

/*
 * What the server does with a request that is not a GET; a GET always gets a
 * normal response.
 */
enum behaviour {
    RESPONDS,
    CLOSES_ON_FIRST,  /* reads the first request and closes; responds to later
                         ones */
    NEVER_RESPONDS,   /* reads the request and stays silent */
    STALLS_MIDWAY,    /* sends part of the body and stays silent */
    PAUSES_MIDWAY,    /* sends part of the body, the rest when told to */
    CLOSES_MIDWAY,    /* sends part of the body and closes */
    CLOSES_IN_CHUNKS, /* the same, with chunks */
    RESPONDS_417,     /* 417, on which libcurl may send again */
    SENDS_INVALID_HTTP,  /* not HTTP */
    REDIRECTS,           /* 307 to itself */
    NEVER_ACCEPTS,       /* full backlog: connections are never established */
    REFUSES_CONNECTIONS, /* nothing listens on the port */
};

struct server {
    enum behaviour behaviour;
    int listener;
    int port;
    pthread_t thread;
    pthread_t connections[MAX_CONNECTIONS];
    int fds[MAX_CONNECTIONS];
    unsigned connection_count;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned posts;    /* complete requests read, except GETs */
    bool may_continue; /* the rest of a body may be sent */
    bool continued;    /* the rest of a body was sent */
    bool stopping;
};

struct connection {
    struct server *server;
    int fd;
};

static void
send_text(int fd, const char *text)
{
    ssize_t sent = send(fd, text, strlen(text), MSG_NOSIGNAL);
    (void)sent;
}

/* Reads one complete request; false if the other end closed first. */
static bool
read_request(int fd, GString *buffer, bool *is_get)
{
    char bytes[4096];
    g_string_truncate(buffer, 0);
    for (;;) {
        const char *end = strstr(buffer->str, "\r\n\r\n");
        if (end != NULL) {
            const char *field = strstr(buffer->str, "Content-Length: ");
            size_t body = field == NULL ? 0 : strtoul(field + 16, NULL, 10);
            /*
             * A request with "Expect" gets its response before the body is
             * sent.
             */
            if (strstr(buffer->str, "Expect: 100-continue") != NULL) {
                body = 0;
            }
            if (buffer->len >= (size_t)(end + 4 - buffer->str) + body) {
                *is_get = g_str_has_prefix(buffer->str, "GET ");
                return true;
            }
        }
        ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            return false;
        }
        g_string_append_len(buffer, bytes, got);
    }
}

/* Counts a request that is not a GET; returns its number, from 1. */
static unsigned
record_post(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned number = ++server->posts;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->lock);
    return number;
}

/* Number of requests so far that are not GETs. */
static unsigned
get_post_count(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned posts = server->posts;
    pthread_mutex_unlock(&server->lock);
    return posts;
}

static const char good_response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/* Waits until the rest of a body may be sent. */
static void
wait_until_may_continue(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    while (!server->may_continue) {
        pthread_cond_wait(&server->changed, &server->lock);
    }
    pthread_mutex_unlock(&server->lock);
}

/* Records that the rest of a body was sent. */
static void
record_continued(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    server->continued = true;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->lock);
}

/* Responds according to the server's behaviour; false: close. */
static bool
respond(struct server *server, int fd, unsigned number)
{
    switch (server->behaviour) {
    case CLOSES_ON_FIRST:
        if (number == 1) {
            return false;
        }
        break;
    case NEVER_RESPONDS:
        return true;
    case STALLS_MIDWAY:
        send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        return true;
    case PAUSES_MIDWAY:
        send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok");
        wait_until_may_continue(server);
        send_text(fd, "ok");
        record_continued(server);
        return true;
    case CLOSES_MIDWAY:
        send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        return false;
    case CLOSES_IN_CHUNKS:
        send_text(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nok\r\n");
        return false;
    case RESPONDS_417:
        if (number == 1) {
            send_text(fd, "HTTP/1.1 417 No\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        break;
    case SENDS_INVALID_HTTP:
        send_text(fd, "good day to you\r\n\r\n");
        return false;
    case REDIRECTS:
        send_text(fd, "HTTP/1.1 307 Go\r\nLocation: /again\r\n"
                      "Content-Length: 0\r\n\r\n");
        return true;
    default:
        break;
    }
    send_text(fd, good_response);
    return true;
}

static void *
run_connection(void *data)
{
    struct connection *connection = data;
    GString *buffer = g_string_new(NULL);
    bool is_get = false;
    while (read_request(connection->fd, buffer, &is_get)) {
        if (is_get) {
            send_text(connection->fd, good_response);
        }
        else if (!respond(connection->server, connection->fd,
                          record_post(connection->server))) {
            break;
        }
    }
    shutdown(connection->fd, SHUT_RDWR);
    g_string_free(buffer, TRUE);
    g_free(connection);
    return NULL;
}

static void *
run_server(void *data)
{
    struct server *server = data;
    for (;;) {
        int fd = accept(server->listener, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        struct connection *connection = g_new(struct connection, 1);
        *connection = (struct connection){server, fd};
        pthread_mutex_lock(&server->lock);
        g_assert_cmpuint(server->connection_count, <, MAX_CONNECTIONS);
        unsigned index = server->connection_count++;
        server->fds[index] = fd;
        pthread_create(&server->connections[index], NULL, run_connection,
                       connection);
        pthread_mutex_unlock(&server->lock);
    }
}

/* Fills the backlog, so that the next connection is never established. */
static void
fill_backlog(struct server *server, const struct sockaddr_in *address)
{
    for (unsigned i = 0; i < 4; i++) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        int connected =
            connect(fd, (const struct sockaddr *)address, sizeof(*address));
        (void)connected;
        server->fds[server->connection_count++] = fd;
    }
}

static struct server *
server_new(enum behaviour behaviour)
{
    struct server *server = g_new0(struct server, 1);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t length = sizeof(address);
    server->behaviour = behaviour;
    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->changed, NULL);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    if (behaviour == REFUSES_CONNECTIONS) {
        return server;
    }
    g_assert_cmpint(
        listen(server->listener, behaviour == NEVER_ACCEPTS ? 0 : 16), ==, 0);
    if (behaviour == NEVER_ACCEPTS) {
        fill_backlog(server, &address);
        return server;
    }
    pthread_create(&server->thread, NULL, run_server, server);
    return server;
}

static void
server_free(struct server *server)
{
    bool accepts = server->behaviour != REFUSES_CONNECTIONS &&
                   server->behaviour != NEVER_ACCEPTS;
    shutdown(server->listener, SHUT_RDWR);
    if (accepts) {
        pthread_join(server->thread, NULL);
    }
    for (unsigned i = 0; i < server->connection_count; i++) {
        shutdown(server->fds[i], SHUT_RDWR);
        if (accepts) {
            pthread_join(server->connections[i], NULL);
        }
        close(server->fds[i]);
    }
    close(server->listener);
    pthread_mutex_destroy(&server->lock);
    pthread_cond_destroy(&server->changed);
    g_free(server);
}

/* ---- a call, and waiting for it ---- */

struct call {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned ends;
    unsigned after_end;   /* handlers that ran after on_end: must stay 0 */
    unsigned stall_count; /* how often the owner was asked to keep waiting */
    int status_count;
    struct ch_http_result end;
    GString *body;
};

static void
call_head(void *data, int status)
{
    struct call *call = data;
    pthread_mutex_lock(&call->lock);
    call->after_end += call->ends;
    call->status_count++;
    g_assert_cmpint(status, >=, 200);
    pthread_mutex_unlock(&call->lock);
}

static void
call_data(void *data, const char *bytes, size_t length)
{
    struct call *call = data;
    pthread_mutex_lock(&call->lock);
    call->after_end += call->ends;
    g_string_append_len(call->body, bytes, (gssize)length);
    pthread_cond_broadcast(&call->changed);
    pthread_mutex_unlock(&call->lock);
}

static void
call_end(void *data, const struct ch_http_result *end)
{
    struct call *call = data;
    pthread_mutex_lock(&call->lock);
    call->ends++;
    call->end = *end;
    pthread_cond_broadcast(&call->changed);
    pthread_mutex_unlock(&call->lock);
}

static const struct ch_http_handlers handlers = {
    .on_status = call_head,
    .on_data = call_data,
    .on_end = call_end,
};

static struct call *
call_new(void)
{
    struct call *call = g_new0(struct call, 1);
    pthread_mutex_init(&call->lock, NULL);
    pthread_cond_init(&call->changed, NULL);
    call->body = g_string_new(NULL);
    return call;
}

static void
call_free(struct call *call)
{
    g_string_free(call->body, TRUE);
    pthread_mutex_destroy(&call->lock);
    pthread_cond_destroy(&call->changed);
    g_free(call);
}

/* Waits for a change for a limited time, so that a fault ends the test. */
static void
wait_for_change(pthread_cond_t *changed, pthread_mutex_t *lock)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += MAX_WAIT_S;
    g_assert_cmpint(pthread_cond_timedwait(changed, lock, &until), ==, 0);
}

static void
wait_for_end(struct call *call)
{
    pthread_mutex_lock(&call->lock);
    while (call->ends == 0) {
        wait_for_change(&call->changed, &call->lock);
    }
    pthread_mutex_unlock(&call->lock);
}

static const char small_body[] = "order";

/*
 * Submits a request; a GET has no body. no_resend: libcurl must not send the
 * request again.
 */
static uint64_t
submit_request(struct ch_http *http, struct server *server, const char *method,
               const char *body, bool fresh, bool no_resend, int64_t timeout,
               struct call *call)
{
    char url[64];
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/x", server->port);
    struct ch_http_request request = {
        .method = method,
        .url = url,
        .body = body,
        .body_length = strcmp(method, "GET") == 0 ? 0 : strlen(body),
        .connect_timeout = timeout,
        .first_byte_timeout = timeout,
        .stall_timeout = timeout,
        .fresh_connection = fresh,
        .no_resend = no_resend,
    };
    return ch_http_submit(http, &request, &handlers, call);
}

/* As submit_request(), but libcurl may send the request again. */
static uint64_t
submit(struct ch_http *http, struct server *server, const char *method,
       const char *body, bool fresh, int64_t timeout, struct call *call)
{
    return submit_request(http, server, method, body, fresh, false, timeout,
                          call);
}

/* Sends a GET, which leaves a kept-alive connection behind. */
static void
warm_up(struct ch_http *http, struct server *server)
{
    struct call *call = call_new();
    submit(http, server, "GET", small_body, false, LONG_TIMEOUT_US, call);
    wait_for_end(call);
    g_assert_cmpint(call->end.code, ==, CH_OK);
    call_free(call);
}

/* ---- how calls end ---- */

struct end_case {
    const char *name;
    enum behaviour behaviour;
    bool warm;
    bool fresh;
    bool sent;  /* as the call's result says */
    bool large; /* over the size from which libcurl sends "Expect" first */
    int64_t timeout;
    enum ch_code code;
    unsigned posts; /* how often the server received the request */
    const char *body;
    bool no_resend; /* libcurl must not send the request again */
};

static const struct end_case end_cases[] = {
    {"answered", RESPONDS, false, false, true, false, LONG_TIMEOUT_US, CH_OK,
     1, "ok", false},
    {"answered, fresh", RESPONDS, true, true, true, false, LONG_TIMEOUT_US,
     CH_OK, 1, "ok", false},
    /*
     * The fault itself: on a kept-alive connection libcurl sends the request
     * again on its own and reports success.
     */
    {"closed, reused", CLOSES_ON_FIRST, true, false, true, false,
     LONG_TIMEOUT_US, CH_OK, 2, "ok", false},
    /* The safeguards against it. */
    {"closed, reused, once", CLOSES_ON_FIRST, true, false, true, false,
     LONG_TIMEOUT_US, CH_UPSTREAM_CUT, 1, "", true},
    {"closed, fresh", CLOSES_ON_FIRST, true, true, true, false,
     LONG_TIMEOUT_US, CH_UPSTREAM_CUT, 1, "", false},
    {"417, fresh", RESPONDS_417, true, true, true, false, LONG_TIMEOUT_US,
     CH_OK, 1, "", false},
    {"417, reused", RESPONDS_417, true, false, true, false, LONG_TIMEOUT_US,
     CH_OK, 1, "", false},
    {"417, large", RESPONDS_417, false, true, true, true, LONG_TIMEOUT_US,
     CH_OK, 1, "", false},
    {"redirect", REDIRECTS, false, false, true, false, LONG_TIMEOUT_US, CH_OK,
     1, "", false},
    {"refused", REFUSES_CONNECTIONS, false, true, false, false,
     LONG_TIMEOUT_US, CH_UPSTREAM_CONNECT, 0, "", false},
    {"no connection", NEVER_ACCEPTS, false, true, false, false,
     SHORT_TIMEOUT_US, CH_UPSTREAM_CONNECT, 0, "", false},
    {"silent", NEVER_RESPONDS, false, true, true, false, SHORT_TIMEOUT_US,
     CH_UPSTREAM_STALLED, 1, "", false},
    {"silent, reused", NEVER_RESPONDS, true, false, true, false,
     SHORT_TIMEOUT_US, CH_UPSTREAM_STALLED, 1, "", false},
    {"silent midway", STALLS_MIDWAY, false, true, true, false,
     SHORT_TIMEOUT_US, CH_UPSTREAM_STALLED, 1, "ok", false},
    {"cut midway", CLOSES_MIDWAY, false, true, true, false, LONG_TIMEOUT_US,
     CH_UPSTREAM_CUT, 1, "ok", false},
    {"chunks cut", CLOSES_IN_CHUNKS, false, true, true, false, LONG_TIMEOUT_US,
     CH_UPSTREAM_CUT, 1, "ok", false},
    {"nonsense", SENDS_INVALID_HTTP, false, true, true, false, LONG_TIMEOUT_US,
     CH_UPSTREAM_ANSWER, 1, "", false},
};

/*
 * Guards against a request that runs twice: the upstream read the POST and
 * closed the connection before responding, libcurl sent the POST again on a
 * new connection, and the caller, whose one order was carried out twice, was
 * told of one success. Each row is one way in which a call ends; the server
 * counts how often it received the request.
 */
static void
test_ends(gconstpointer data)
{
    const struct end_case *row = data;
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(row->behaviour);
    struct ch_http *http = ch_http_new(&client);
    struct call *call = call_new();
    if (row->warm) {
        warm_up(http, server);
    }
    char *body =
        row->large ? g_strnfill(LARGE_BODY_BYTES, 'x') : g_strdup(small_body);
    submit_request(http, server, "POST", body, row->fresh, row->no_resend,
                   row->timeout, call);
    g_free(body);
    wait_for_end(call);
    ch_http_free(http);
    g_assert_cmpuint(call->ends, ==, 1);
    g_assert_cmpuint(call->after_end, ==, 0);
    g_assert_cmpint(call->end.code, ==, row->code);
    g_assert_cmpint(call->end.sent, ==, row->sent);
    g_assert_cmpuint(get_post_count(server), ==, row->posts);
    g_assert_cmpstr(call->body->str, ==, row->body);
    server_free(server);
    call_free(call);
}

static const struct {
    const char *name;
    enum behaviour behaviour;
    int64_t timeout;
    enum ch_code code;
    bool refused;
} connect_cases[] = {
    {"somebody listens", NEVER_RESPONDS, LONG_TIMEOUT_US, CH_OK, false},
    {"nobody listens", REFUSES_CONNECTIONS, LONG_TIMEOUT_US,
     CH_UPSTREAM_CONNECT, true},
    {"no connection comes about", NEVER_ACCEPTS, SHORT_TIMEOUT_US,
     CH_UPSTREAM_CONNECT, false},
};

/*
 * Guards against sending a request to an upstream that was only to be tested
 * for a connection, and against taking an upstream that does not respond for
 * one that crashed.
 */
static void
test_connect_only(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(connect_cases); i++) {
        struct ch_client client;
        char url[64];
        ch_client_init(&client, "test");
        struct server *server = server_new(connect_cases[i].behaviour);
        struct ch_http *http = ch_http_new(&client);
        struct call *call = call_new();
        (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/", server->port);
        const struct ch_http_request request = {
            .method = "POST",
            .url = url,
            .connect_timeout = connect_cases[i].timeout,
            .total_timeout = LONG_TIMEOUT_US,
            .connect_only = true,
        };
        g_test_message("%s", connect_cases[i].name);
        ch_http_submit(http, &request, &handlers, call);
        wait_for_end(call);
        ch_http_free(http);
        g_assert_cmpint(call->end.code, ==, connect_cases[i].code);
        g_assert_cmpint(call->end.connection_refused, ==,
                        connect_cases[i].refused);
        g_assert_cmpuint(get_post_count(server), ==, 0);
        server_free(server);
        call_free(call);
    }
}

/* ---- timeouts after which the owner keeps waiting ---- */

static bool
keep_waiting(void *data)
{
    struct call *call = data;
    pthread_mutex_lock(&call->lock);
    call->after_end += call->ends;
    call->stall_count++;
    pthread_mutex_unlock(&call->lock);
    return true;
}

static const struct end_case stall_cases[] = {
    {"silent", NEVER_RESPONDS, false, true, true, false, SHORT_TIMEOUT_US,
     CH_UPSTREAM_STALLED, 1, "", false},
    {"silent midway", STALLS_MIDWAY, false, true, true, false,
     SHORT_TIMEOUT_US, CH_UPSTREAM_STALLED, 1, "ok", false},
};

/*
 * Guards against giving up a stream at the first stall timeout although its
 * rest would still have come: a caller's stream stopped because its worker was
 * cut off for two seconds, and no retry on another worker was left. When the
 * owner keeps waiting, the call ends at its total timeout, four times the
 * stall timeout.
 */
static void
test_owner_keeps_waiting(gconstpointer data)
{
    const struct end_case *row = data;
    struct ch_http_handlers waiting_handlers = handlers;
    waiting_handlers.on_stall = keep_waiting;
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(row->behaviour);
    struct ch_http *http = ch_http_new(&client);
    struct call *call = call_new();
    char *url = g_strdup_printf("http://127.0.0.1:%d/x", server->port);
    int64_t total = (int64_t)4 * row->timeout;
    const struct ch_http_request request = {
        .method = "POST",
        .url = url,
        .body = small_body,
        .body_length = strlen(small_body),
        .connect_timeout = row->timeout,
        .first_byte_timeout = row->timeout,
        .stall_timeout = row->timeout,
        .total_timeout = total,
    };
    int64_t started_at = ch_client_get_time(&client);
    ch_http_submit(http, &request, &waiting_handlers, call);
    wait_for_end(call);
    g_assert_cmpint(ch_client_get_time(&client) - started_at, >=, total);
    ch_http_free(http);
    g_assert_cmpuint(call->stall_count, >=, 1);
    g_assert_cmpuint(call->stall_count, <=, 3);
    g_assert_cmpuint(call->after_end, ==, 0);
    g_assert_cmpint(call->end.code, ==, row->code);
    g_assert_cmpuint(get_post_count(server), ==, row->posts);
    g_assert_cmpstr(call->body->str, ==, row->body);
    server_free(server);
    call_free(call);
    g_free(url);
}

/* Keeps waiting the first time it is called only. */
static bool
keep_waiting_once(void *data)
{
    struct call *call = data;
    return keep_waiting(data) && call->stall_count == 1;
}

/*
 * Guards against streams that wait for a dead upstream until their callers
 * give up: no retry was left when the upstream fell silent, and the owner was
 * not asked again once there was one. When the owner stops waiting the second
 * time, the call ends then, and not at its total timeout.
 */
static void
test_owner_stops_waiting(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(stall_cases); i++) {
        const struct end_case *row = &stall_cases[i];
        struct ch_http_handlers waiting_handlers = handlers;
        waiting_handlers.on_stall = keep_waiting_once;
        struct ch_client client;
        ch_client_init(&client, "test");
        struct server *server = server_new(row->behaviour);
        struct ch_http *http = ch_http_new(&client);
        struct call *call = call_new();
        char *url = g_strdup_printf("http://127.0.0.1:%d/x", server->port);
        const struct ch_http_request request = {
            .method = "POST",
            .url = url,
            .body = small_body,
            .body_length = strlen(small_body),
            .connect_timeout = LONG_TIMEOUT_US,
            .first_byte_timeout = row->behaviour == STALLS_MIDWAY
                                      ? LONG_TIMEOUT_US
                                      : row->timeout,
            .stall_timeout = row->timeout,
            .total_timeout = LONG_TIMEOUT_US,
        };
        g_test_message("%s", row->name);
        int64_t started_at = ch_client_get_time(&client);
        ch_http_submit(http, &request, &waiting_handlers, call);
        wait_for_end(call);
        int64_t elapsed = ch_client_get_time(&client) - started_at;
        ch_http_free(http);
        g_assert_cmpint(elapsed, >=, 2 * (int64_t)row->timeout);
        g_assert_cmpint(elapsed, <, LONG_TIMEOUT_US);
        g_assert_cmpuint(call->stall_count, ==, 2);
        g_assert_cmpint(call->end.code, ==, CH_UPSTREAM_STALLED);
        g_assert_cmpstr(call->body->str, ==, row->body);
        server_free(server);
        call_free(call);
        g_free(url);
    }
}

/* ---- cancelling ---- */

enum call_phase {
    IMMEDIATELY,
    WHILE_CONNECTING,
    BEFORE_FIRST_BYTE,
    IN_BODY,
    BY_SHUTDOWN,
};

struct cancel_case {
    const char *name;
    enum call_phase phase;
    enum behaviour behaviour;
};

static const struct cancel_case cancel_cases[] = {
    {"at once", IMMEDIATELY, NEVER_RESPONDS},
    {"while connecting", WHILE_CONNECTING, NEVER_ACCEPTS},
    {"before the first byte", BEFORE_FIRST_BYTE, NEVER_RESPONDS},
    {"in the body", IN_BODY, STALLS_MIDWAY},
    {"by the end of the loop", BY_SHUTDOWN, NEVER_RESPONDS},
};

/* Waits until the call is in the given phase. */
static void
wait_for_phase(enum call_phase phase, struct server *server, struct call *call)
{
    if (phase == BEFORE_FIRST_BYTE || phase == BY_SHUTDOWN) {
        pthread_mutex_lock(&server->lock);
        while (server->posts == 0) {
            wait_for_change(&server->changed, &server->lock);
        }
        pthread_mutex_unlock(&server->lock);
    }
    if (phase == IN_BODY) {
        pthread_mutex_lock(&call->lock);
        while (call->body->len == 0) {
            wait_for_change(&call->changed, &call->lock);
        }
        pthread_mutex_unlock(&call->lock);
    }
}

/*
 * A cancelled call ends once, with CANCELLED, whatever its phase; a second
 * cancel, or a cancel after the end, has no effect.
 */
static void
test_cancel(gconstpointer data)
{
    const struct cancel_case *row = data;
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(row->behaviour);
    struct ch_http *http = ch_http_new(&client);
    struct call *call = call_new();
    uint64_t handle =
        submit(http, server, "POST", small_body, true, LONG_TIMEOUT_US, call);
    wait_for_phase(row->phase, server, call);
    if (row->phase != BY_SHUTDOWN) {
        ch_http_cancel(http, handle);
        ch_http_cancel(http, handle);
        wait_for_end(call);
        ch_http_cancel(http, handle);
    }
    ch_http_free(http);
    g_assert_cmpuint(call->ends, ==, 1);
    g_assert_cmpuint(call->after_end, ==, 0);
    g_assert_cmpint(call->end.code, ==, CH_CANCELLED);
    if (row->phase == WHILE_CONNECTING) {
        g_assert_false(call->end.sent);
    }
    server_free(server);
    call_free(call);
}

/* ---- a stalled loop ---- */

enum {
    STALL_TIMEOUT_US = 1500 * 1000, /* timeout without data, microseconds */
};

/* A call whose handler blocks the loop's thread. */
struct loop_blocker {
    struct call *call;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool released;
    gulong extra_us; /* how much longer the loop stays blocked after the
                    release, in microseconds */
};

static void
block_loop(void *data, const char *bytes, size_t length)
{
    struct loop_blocker *blocker = data;
    call_data(blocker->call, bytes, length);
    pthread_mutex_lock(&blocker->lock);
    while (!blocker->released) {
        wait_for_change(&blocker->changed, &blocker->lock);
    }
    pthread_mutex_unlock(&blocker->lock);
    g_usleep(blocker->extra_us);
}

static void
end_blocker(void *data, const struct ch_http_result *end)
{
    call_end(((const struct loop_blocker *)data)->call, end);
}

static void
unblock_loop(struct loop_blocker *blocker)
{
    pthread_mutex_lock(&blocker->lock);
    blocker->released = true;
    pthread_cond_broadcast(&blocker->changed);
    pthread_mutex_unlock(&blocker->lock);
}

/* Starts a GET that blocks the loop; returns once the loop is blocked. */
static void
blocker_start(struct loop_blocker *blocker, struct ch_http *http,
              struct server *server, int64_t extra_us)
{
    static const struct ch_http_handlers blocking_handlers = {
        .on_data = block_loop,
        .on_end = end_blocker,
    };
    char *url = g_strdup_printf("http://127.0.0.1:%d/x", server->port);
    const struct ch_http_request get = {.method = "GET", .url = url};
    *blocker = (struct loop_blocker){.call = call_new(),
                                     .extra_us = (gulong)extra_us};
    pthread_mutex_init(&blocker->lock, NULL);
    pthread_cond_init(&blocker->changed, NULL);
    ch_http_submit(http, &get, &blocking_handlers, blocker);
    wait_for_phase(IN_BODY, server, blocker->call);
    g_free(url);
}

static void
blocker_clear(struct loop_blocker *blocker)
{
    call_free(blocker->call);
    pthread_mutex_destroy(&blocker->lock);
    pthread_cond_destroy(&blocker->changed);
}

/* Makes the server send the rest of a body. */
static void
send_rest(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    server->may_continue = true;
    pthread_cond_broadcast(&server->changed);
    while (!server->continued) {
        wait_for_change(&server->changed, &server->lock);
    }
    pthread_mutex_unlock(&server->lock);
}

/*
 * Guards against giving up streams as silent while their bytes wait to be
 * read: the loop's thread got no CPU time for longer than the timeout after it
 * had read, and then compared deadlines with the current time instead of the
 * time of the last read.
 */
static void
test_loop_stall(void)
{
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(PAUSES_MIDWAY);
    struct ch_http *http = ch_http_new(&client);
    struct call *stream = call_new();
    struct loop_blocker blocker;
    submit(http, server, "POST", small_body, true, STALL_TIMEOUT_US, stream);
    wait_for_phase(IN_BODY, server, stream);
    /*
     * libcurl reads calls in the order in which they were started, so the
     * stream is not read after the blocking call.
     */
    blocker_start(&blocker, http, server,
                  STALL_TIMEOUT_US + STALL_TIMEOUT_US / 2);
    send_rest(server);
    unblock_loop(&blocker);
    wait_for_end(blocker.call);
    wait_for_end(stream);
    ch_http_free(http);
    g_assert_cmpint(stream->end.code, ==, CH_OK);
    g_assert_cmpstr(stream->body->str, ==, "okok");
    server_free(server);
    call_free(stream);
    blocker_clear(&blocker);
}

/*
 * Guards against sending requests after their deadline: the loop's thread got
 * no CPU time after a call was submitted, and the upstream started work, or an
 * order, that its owner had to count as given up.
 */
static void
test_deadline_before_sent(void)
{
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(RESPONDS);
    struct ch_http *http = ch_http_new(&client);
    struct loop_blocker blocker;
    struct call *late = call_new();
    char *url = g_strdup_printf("http://127.0.0.1:%d/x", server->port);
    const struct ch_http_request post = {
        .method = "POST",
        .url = url,
        .connect_timeout = LONG_TIMEOUT_US,
        .total_timeout = SHORT_TIMEOUT_US,
    };
    warm_up(http, server);
    blocker_start(&blocker, http, server, (int64_t)2 * SHORT_TIMEOUT_US);
    ch_http_submit(http, &post, &handlers, late);
    unblock_loop(&blocker);
    wait_for_end(late);
    wait_for_end(blocker.call);
    ch_http_free(http);
    g_assert_cmpint(late->end.code, ==, CH_UPSTREAM_CONNECT);
    g_assert_false(late->end.sent);
    g_assert_cmpuint(get_post_count(server), ==, 0);
    server_free(server);
    call_free(late);
    blocker_clear(&blocker);
    g_free(url);
}

/* ---- kept-alive connections that stop responding ---- */

/*
 * A middlebox between the two ends forgets its connections: the kept-alive
 * connection is silent for good while new ones work. The caller of the first
 * call waits for its timeout; later callers must not, so their calls use new
 * connections.
 */
static void
test_suspect_origin(void)
{
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(NEVER_RESPONDS);
    struct ch_http *http = ch_http_new(&client);
    struct call *second = call_new();
    warm_up(http, server);
    struct call *first = call_new();
    /* A second idle connection, which would be silent as well. */
    submit(http, server, "POST", small_body, false, SHORT_TIMEOUT_US, first);
    warm_up(http, server);
    wait_for_end(first);
    g_assert_cmpint(first->end.code, ==, CH_UPSTREAM_STALLED);
    pthread_mutex_lock(&server->lock);
    unsigned before = server->connection_count;
    pthread_mutex_unlock(&server->lock);
    submit(http, server, "GET", small_body, false, LONG_TIMEOUT_US, second);
    wait_for_end(second);
    g_assert_cmpint(second->end.code, ==, CH_OK);
    pthread_mutex_lock(&server->lock);
    g_assert_cmpuint(server->connection_count, ==, before + 1);
    pthread_mutex_unlock(&server->lock);
    ch_http_free(http);
    server_free(server);
    call_free(first);
    call_free(second);
}

/* ---- complete responses ---- */

struct fetched {
    struct call *call;
    enum ch_code code;
    size_t length;
};

static void
fetch_done(void *data, const struct ch_http_response *response)
{
    struct fetched *fetched = data;
    fetched->code = response->result.code;
    fetched->length = response->body_length;
    call_end(fetched->call, &response->result);
}

/* A response over its size limit is an error. */
static void
test_fetch(void)
{
    static const struct {
        size_t max_bytes;
        enum ch_code code;
    } rows[] = {{2, CH_OK}, {1, CH_UPSTREAM_ANSWER}, {0, CH_UPSTREAM_ANSWER}};
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server = server_new(RESPONDS);
    struct ch_http *http = ch_http_new(&client);
    char url[64];
    (void)snprintf(url, sizeof(url), "http://127.0.0.1:%d/x", server->port);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct fetched fetched = {.call = call_new()};
        struct ch_http_request request = {.method = "GET", .url = url};
        ch_http_fetch(http, &request, rows[i].max_bytes, fetch_done, &fetched);
        wait_for_end(fetched.call);
        g_assert_cmpint(fetched.code, ==, rows[i].code);
        g_assert_cmpuint(fetched.length, <=, rows[i].max_bytes);
        call_free(fetched.call);
    }
    ch_http_free(http);
    server_free(server);
}

/* Number of connections that the server has accepted. */
static unsigned
get_connection_count(struct server *server)
{
    pthread_mutex_lock(&server->lock);
    unsigned count = server->connection_count;
    pthread_mutex_unlock(&server->lock);
    return count;
}

static bool
has_ended(struct call *call)
{
    pthread_mutex_lock(&call->lock);
    bool ended = call->ends > 0;
    pthread_mutex_unlock(&call->lock);
    return ended;
}

static const struct suspect_case {
    const char *name;
    enum behaviour behaviour; /* of the server of the other call */
    bool same_origin;         /* that server also gets the silent call */
    bool others_respond;      /* further calls to that server get responses
                                 meanwhile */
    bool no_timeout;          /* the other call has no timeout */
    int64_t timeout;          /* timeout of the silent call */
    unsigned new_connections; /* opened by the call after the silent one */
} suspect_cases[] = {
    {"another-answer-stopped", STALLS_MIDWAY, false, false, false,
     SHORT_TIMEOUT_US, 0},
    {"others-are-heard", STALLS_MIDWAY, false, true, false, STALL_TIMEOUT_US,
     1},
    {"same-origin", STALLS_MIDWAY, true, false, false, SHORT_TIMEOUT_US, 1},
    {"another-may-be-silent", STALLS_MIDWAY, false, false, true,
     SHORT_TIMEOUT_US, 1},
    {"another-did-not-begin", NEVER_RESPONDS, false, false, false,
     SHORT_TIMEOUT_US, 1},
};

/*
 * Guards against opening a new connection for every call because this node
 * itself stalled: it received nothing from any upstream, and concluded that a
 * middlebox had forgotten the connections.
 */
static void
test_mark_suspect(gconstpointer data)
{
    const struct suspect_case *row = data;
    struct ch_client client;
    ch_client_init(&client, "test");
    struct server *server =
        server_new(row->same_origin ? row->behaviour : NEVER_RESPONDS);
    struct server *elsewhere = server_new(row->behaviour);
    struct server *others = row->same_origin ? server : elsewhere;
    struct ch_http *http = ch_http_new(&client);
    struct call *other = call_new();
    struct call *silent = call_new();
    submit(http, others, "POST", small_body, false,
           row->no_timeout ? 0 : LONG_TIMEOUT_US, other);
    wait_for_phase(row->behaviour == STALLS_MIDWAY ? IN_BODY
                                                   : BEFORE_FIRST_BYTE,
                   others, other);
    warm_up(http, server);
    submit(http, server, "POST", small_body, false, row->timeout, silent);
    while (row->others_respond && !has_ended(silent)) {
        warm_up(http, others);
    }
    wait_for_end(silent);
    g_assert_cmpint(silent->end.code, ==, CH_UPSTREAM_STALLED);
    warm_up(http, server);
    unsigned before = get_connection_count(server);
    warm_up(http, server);
    g_assert_cmpuint(get_connection_count(server), ==,
                     before + row->new_connections);
    ch_http_free(http);
    server_free(server);
    server_free(elsewhere);
    call_free(other);
    call_free(silent);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(end_cases); i++) {
        char *path = g_strdup_printf("/http/end/%s", end_cases[i].name);
        g_test_add_data_func(path, &end_cases[i], test_ends);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(stall_cases); i++) {
        char *path = g_strdup_printf("/http/borne/%s", stall_cases[i].name);
        g_test_add_data_func(path, &stall_cases[i], test_owner_keeps_waiting);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cancel_cases); i++) {
        char *path = g_strdup_printf("/http/cancel/%s", cancel_cases[i].name);
        g_test_add_data_func(path, &cancel_cases[i], test_cancel);
        g_free(path);
    }
    g_test_add_func("/http/connect-only", test_connect_only);
    g_test_add_func("/http/asked-again", test_owner_stops_waiting);
    g_test_add_func("/http/stands-still", test_loop_stall);
    g_test_add_func("/http/overdue-before-sent", test_deadline_before_sent);
    g_test_add_func("/http/suspected", test_suspect_origin);
    for (size_t i = 0; i < G_N_ELEMENTS(suspect_cases); i++) {
        char *path =
            g_strdup_printf("/http/learning/%s", suspect_cases[i].name);
        g_test_add_data_func(path, &suspect_cases[i], test_mark_suspect);
        g_free(path);
    }
    g_test_add_func("/http/fetch", test_fetch);
    return g_test_run();
}
