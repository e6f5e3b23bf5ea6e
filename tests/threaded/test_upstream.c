/* Tests the clients of engines and services against faulty responses. */

#include "platform_dialect.h"
#include "upstream/upstream.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MAX_WAIT_S = 20,
    TIMEOUT_US = 300 * 1000,
    RESET_DELAY_US = 50 * 1000,
};

/*
 * Sends the same bytes on one connection after another and closes each, or
 * leaves the last one open.
 */
struct server {
    int listener;
    int port;
    pthread_t thread;
    const char *response;
    bool leaves_open;
    bool resets;      /* its connections, instead of closing them */
    GString *request; /* the last one received */
    int open_fd;
};

/* Reads up to the end of the headers and of a body with a stated length. */
static void
read_request(struct server *server, int fd)
{
    char bytes[4096];
    g_string_truncate(server->request, 0);
    for (;;) {
        const char *end = strstr(server->request->str, "\r\n\r\n");
        const char *field = strstr(server->request->str, "Content-Length: ");
        size_t body = field == NULL ? 0 : strtoul(field + 16, NULL, 10);
        if (end != NULL &&
            server->request->len >=
                (size_t)(end + 4 - server->request->str) + body) {
            return;
        }
        ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            return;
        }
        g_string_append_len(server->request, bytes, got);
    }
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
        read_request(server, fd);
        ssize_t sent =
            send(fd, server->response, strlen(server->response), MSG_NOSIGNAL);
        (void)sent;
        if (server->leaves_open) {
            server->open_fd = fd;
            continue;
        }
        if (server->resets) {
            const struct linger linger = {1, 0};
            usleep(RESET_DELAY_US); /* the bytes arrive first */
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        }
        close(fd);
    }
}

static void
server_start(struct server *server, const char *response, bool leaves_open)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t length = sizeof(address);
    *server = (struct server){
        .listener = socket(AF_INET, SOCK_STREAM, 0),
        .response = response,
        .leaves_open = leaves_open,
        .request = g_string_new(NULL),
        .open_fd = -1,
    };
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(server->listener, 8), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, run_server, server);
}

/* Joins the server's thread, so that what it received can be checked. */
static void
server_join(struct server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    if (server->open_fd >= 0) {
        close(server->open_fd);
    }
}

/* ---- the result of a call ---- */

struct result {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned response_count;
    unsigned data_count;
    unsigned end_count;
    GString *forwarded;
    struct ch_call_result end;
    enum ch_code code; /* of an order or a report */
    uint32_t memory_mb;
};

static void
result_init(struct result *result)
{
    *result = (struct result){.forwarded = g_string_new(NULL)};
    pthread_mutex_init(&result->lock, NULL);
    pthread_cond_init(&result->changed, NULL);
}

static void
result_clear(struct result *result)
{
    g_string_free(result->forwarded, TRUE);
    pthread_mutex_destroy(&result->lock);
    pthread_cond_destroy(&result->changed);
}

static void
result_end(struct result *result)
{
    pthread_mutex_lock(&result->lock);
    result->end_count++;
    pthread_cond_broadcast(&result->changed);
    pthread_mutex_unlock(&result->lock);
}

static void
result_wait(struct result *result)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += MAX_WAIT_S;
    pthread_mutex_lock(&result->lock);
    while (result->end_count == 0) {
        g_assert_cmpint(
            pthread_cond_timedwait(&result->changed, &result->lock, &until),
            ==, 0);
    }
    pthread_mutex_unlock(&result->lock);
}

static void
on_head(void *data, int status, const char *content_type)
{
    struct result *result = data;
    (void)content_type;
    g_assert_cmpint(status, >, 0);
    g_assert_cmpuint(result->end_count, ==, 0);
    result->response_count++;
}

static void
on_data(void *data, const char *bytes, size_t length)
{
    struct result *result = data;
    g_assert_cmpuint(result->response_count, ==, 1);
    g_assert_cmpuint(result->end_count, ==, 0);
    result->data_count++;
    g_string_append_len(result->forwarded, bytes, (gssize)length);
}

static void
on_end(void *data, const struct ch_call_result *end)
{
    struct result *result = data;
    result->end = *end;
    result_end(result);
}

/* ---- calls ---- */

struct call_case {
    const char *name;
    const char *response;
    bool service;
    bool stream;
    bool leaves_open;
    bool may_have_run;
    enum ch_code code;
    const char *forwarded;
};

#define HEAD_OF(status, id) "HTTP/1.1 " status " X\r\nX-Request-Id: " id "\r\n"
#define OWN_HEAD HEAD_OF("200", "r7")
#define STREAM_OF(id)                                                         \
    HEAD_OF("200", id)                                                        \
    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
#define EVENT(id, text) "data: {\"id\":\"cmpl-" id "\",\"t\":\"" text "\"}\n\n"
#define DONE "data: [DONE]\n\n"

static const struct call_case call_cases[] = {
    {"plain, whole", OWN_HEAD "Content-Length: 2\r\n\r\nok", false, false,
     false, true, CH_OK, "ok"},
    {"plain, chunks",
     OWN_HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false,
     false, false, true, CH_OK, "ok"},
    {"interim head first",
     "HTTP/1.1 103 Hints\r\nX-Request-Id: r8\r\n\r\n" OWN_HEAD
     "Content-Length: 2\r\n\r\nok",
     false, false, false, true, CH_OK, "ok"},
    {"no content", HEAD_OF("204", "r7") "\r\n", true, false, false, true,
     CH_OK, ""},
    {"plain, cut", OWN_HEAD "Content-Length: 9\r\n\r\nok", false, false, false,
     true, CH_UPSTREAM_CUT, "ok"},
    {"plain, no end to be told", OWN_HEAD "Connection: close\r\n\r\nok", false,
     false, false, true, CH_UPSTREAM_CUT, "ok"},
    {"plain, of another", HEAD_OF("200", "r8") "Content-Length: 2\r\n\r\nok",
     false, false, false, true, CH_UPSTREAM_CROSSED, ""},
    {"plain, without an id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
     false, false, false, true, CH_UPSTREAM_CROSSED, ""},
    {"plain, silent midway", OWN_HEAD "Content-Length: 9\r\n\r\nok", false,
     false, true, true, CH_UPSTREAM_STALLED, "ok"},
    {"error of the caller's",
     HEAD_OF("400", "r7") "Content-Length: 2\r\n\r\nno", false, false, false,
     true, CH_OK, "no"},
    {"error of the engine's",
     HEAD_OF("500", "r7") "Content-Length: 2\r\n\r\nno", false, false, false,
     true, CH_UPSTREAM_ANSWER, ""},
    {"error of the service's",
     HEAD_OF("500", "r7") "Content-Length: 2\r\n\r\nno", true, false, false,
     true, CH_OK, "no"},
    {"refused",
     HEAD_OF("503", "r7") "X-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", false,
     false, false, false, CH_UPSTREAM_REFUSED, ""},
    {"refused, no body",
     HEAD_OF("429", "r7") "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true,
     false, false, false, CH_UPSTREAM_REFUSED, ""},
    {"refusal of another",
     HEAD_OF("503", "r8") "X-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno", false,
     false, false, true, CH_UPSTREAM_CROSSED, ""},
    {"503 that says nothing of it",
     HEAD_OF("503", "r7") "Content-Length: 2\r\n\r\nno", false, false, false,
     true, CH_UPSTREAM_ANSWER, ""},
    {"200 that says it did not run",
     OWN_HEAD "X-Not-Run: 1\r\nContent-Length: 2\r\n\r\nok", false, false,
     false, true, CH_OK, "ok"},
    {"nothing at all", "", false, false, false, true, CH_UPSTREAM_CUT, ""},
    {"stream, whole", STREAM_OF("r7") EVENT("r7", "a") EVENT("r7", "b") DONE,
     false, true, false, true, CH_OK, EVENT("r7", "a") EVENT("r7", "b")},
    {"stream, whole but left open", STREAM_OF("r7") EVENT("r7", "a") DONE,
     false, true, true, true, CH_OK, EVENT("r7", "a")},
    {"stream, more after its end",
     STREAM_OF("r7") EVENT("r7", "a") DONE EVENT("r7", "b"), false, true,
     false, true, CH_OK, EVENT("r7", "a")},
    {"stream, no end mark", STREAM_OF("r7") EVENT("r7", "a"), false, true,
     false, true, CH_UPSTREAM_CUT, EVENT("r7", "a")},
    {"stream, cut in an event", STREAM_OF("r7") EVENT("r7", "a") "data: {\"i",
     false, true, false, true, CH_UPSTREAM_CUT, EVENT("r7", "a")},
    {"stream, silent midway", STREAM_OF("r7") EVENT("r7", "a"), false, true,
     true, true, CH_UPSTREAM_STALLED, EVENT("r7", "a")},
    {"stream, of another", STREAM_OF("r8") EVENT("r8", "a") DONE, false, true,
     false, true, CH_UPSTREAM_CROSSED, ""},
    {"stream, an event of another",
     STREAM_OF("r7") EVENT("r7", "a") EVENT("r8", "b") EVENT("r7", "c") DONE,
     false, true, false, true, CH_UPSTREAM_CROSSED, EVENT("r7", "a")},
    {"stream, an event without an id",
     STREAM_OF("r7") "data: {\"t\":\"a\"}\n\n" DONE, false, true, false, true,
     CH_UPSTREAM_CROSSED, ""},
    {"stream asked for, plain error",
     HEAD_OF("400", "r7") "Content-Length: 2\r\n\r\nno", false, true, false,
     true, CH_OK, "no"},
};

/*
 * An upstream's response is interrupted, mixed up with another's, or ends
 * without its end marker. Only data that certainly belongs to this request is
 * forwarded, and the response counts as complete only with the upstream's own
 * end marker.
 */
static void
test_call(gconstpointer data)
{
    const struct call_case *row = data;
    struct ch_client client;
    struct server server;
    struct result result;
    char address[32];
    ch_client_init(&client, "test");
    client.metrics = ch_metrics_new();
    server_start(&server, row->response, row->leaves_open);
    result_init(&result);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", server.port);
    struct ch_http *http = ch_http_new(&client);
    struct ch_upstream *upstream =
        row->service
            ? ch_upstream_service_new(&client, http, address, TIMEOUT_US)
            : ch_upstream_engine_new(&client, http, address, TIMEOUT_US);
    static const struct ch_call_handlers handlers = {
        .on_response = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };
    const struct ch_call call = {
        .request_id = "r7",
        .method = "POST",
        .path = "/v1/completions?a=b",
        .content_type = "application/json",
        .idempotency_key = "k 1",
        .body = "{}",
        .body_length = 2,
        .stream = row->stream,
        .resume_from = 3,
        .priority = 2,
        .connect_timeout = TIMEOUT_US,
        .first_byte_timeout = TIMEOUT_US,
        .stall_timeout = TIMEOUT_US,
    };
    upstream->ops->call(upstream, &call, &handlers, &result);
    upstream->ops->free(upstream); /* a call outlives its client */
    result_wait(&result);
    ch_http_free(http);
    server_join(&server);
    g_assert_cmpstr(ch_code_get_name(result.end.code), ==,
                    ch_code_get_name(row->code));
    g_assert_cmpint(result.end.may_have_run, ==, row->may_have_run);
    g_assert_cmpstr(result.forwarded->str, ==, row->forwarded);
    g_assert_cmpuint(result.end_count, ==, 1);
    g_assert_true(g_str_has_prefix(server.request->str,
                                   "POST /v1/completions?a=b HTTP/1.1\r\n"));
    static const char *const lines[] = {
        "\r\nX-Request-Id: r7\r\n",  "\r\nX-Priority: 2\r\n",
        "\r\nX-Resume-From: 3\r\n",  "\r\nIdempotency-Key: k 1\r\n",
        "\r\nContent-Length: 2\r\n", "\r\nContent-Type: application/json\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        g_assert_nonnull(strstr(server.request->str, lines[i]));
    }
    g_assert_null(strstr(server.request->str, "Expect"));
    g_string_free(server.request, TRUE);
    result_clear(&result);
    ch_metrics_free(client.metrics);
}

/* ---- orders and reports ---- */

struct control_case {
    const char *name;
    const char *status;
    const char *body; /* NULL: no response at all */
    bool order;
    bool truncated;
    enum ch_code code;
    uint32_t memory_mb;
};

#define REPORT(memory)                                                        \
    "{\"boot\":\"b\",\"memory_mb\":" memory                                   \
    ",\"resident\":[{\"name\":\"m01\",\"memory_mb\":5}],"                     \
    "\"orders_done\":[\"a\"],\"running\":1,\"waiting\":0,\"leaving\":true}"

static const struct control_case control_cases[] = {
    {"order taken", "202", "", true, false, CH_OK, 0},
    {"order's fence is old", "409", "", true, false, CH_STALE_FENCE, 0},
    {"no memory", "507", "", true, false, CH_UPSTREAM_REFUSED, 0},
    {"order, 500", "500", "", true, false, CH_UPSTREAM_ANSWER, 0},
    {"order, no answer", "", NULL, true, false, CH_UPSTREAM_CUT, 0},
    {"report", "200", REPORT("9000"), false, false, CH_OK, 9000},
    {"report, cut", "200", REPORT("9000"), false, true, CH_UPSTREAM_CUT, 0},
    {"report, not JSON", "200", "ok", false, false, CH_UPSTREAM_ANSWER, 0},
    {"report, negative", "200", REPORT("-9"), false, false, CH_UPSTREAM_ANSWER,
     0},
    {"report, 500", "500", REPORT("9000"), false, false, CH_UPSTREAM_ANSWER,
     0},
};

/* The response of a row; a new string. */
static char *
print_response(const struct control_case *row)
{
    if (row->body == NULL) {
        return g_strdup("");
    }
    return g_strdup_printf("HTTP/1.1 %s X\r\nContent-Length: %zu\r\n\r\n%s",
                           row->status, strlen(row->body) + row->truncated,
                           row->body);
}

static void
order_done(void *data, enum ch_code code)
{
    struct result *result = data;
    result->code = code;
    result_end(result);
}

static void
report_done(void *data, enum ch_code code, struct ch_engine_report *report)
{
    struct result *result = data;
    result->code = code;
    if (report != NULL) {
        result->memory_mb = report->memory_mb;
        g_assert_cmpstr(report->boot_id, ==, "b");
        g_assert_cmpuint(report->resident_item_count, ==, 1);
        g_assert_cmpstr(report->resident_items[0].name, ==, "m01");
        g_assert_cmpstr(report->done_order_ids[0], ==, "a");
        g_assert_true(report->draining);
    }
    ch_engine_report_free(report);
    result_end(result);
}

/*
 * Checks which code the home node gets for each response of an engine to an
 * order or a report request.
 */
static void
test_control(gconstpointer data)
{
    const struct control_case *row = data;
    struct ch_client client;
    struct server server;
    struct result result;
    char address[32];
    ch_client_init(&client, "test");
    char *response = print_response(row);
    server_start(&server, response, false);
    result_init(&result);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", server.port);
    struct ch_http *http = ch_http_new(&client);
    struct ch_upstream *engine =
        ch_upstream_engine_new(&client, http, address, TIMEOUT_US);
    const struct ch_order order = {
        .id = "o1",
        .fencing_token = 12,
        .action = CH_ORDER_LOAD,
        .model = "m01",
        .adapter = "m01-a1",
    };
    if (row->order) {
        engine->ops->send_order(engine, &order, order_done, &result);
    }
    else {
        engine->ops->fetch_report(engine, report_done, &result);
    }
    result_wait(&result);
    ch_http_free(http);
    engine->ops->free(engine);
    server_join(&server);
    g_free(response);
    g_assert_cmpstr(ch_code_get_name(result.code), ==,
                    ch_code_get_name(row->code));
    g_assert_cmpuint(result.memory_mb, ==, row->memory_mb);
    g_assert_nonnull(
        strstr(server.request->str,
               row->order ? "{\"id\":\"o1\",\"fence\":12,\"action\":\"load\","
                            "\"model\":\"m01\",\"adapter\":\"m01-a1\"}"
                          : "GET /v1/load HTTP/1.1"));
    g_string_free(server.request, TRUE);
    result_clear(&result);
}

/* ---- limits ---- */

enum limit_call {
    LIMIT_REQUEST,
    LIMIT_ORDER,
    LIMIT_REPORT,
};

#define LIMITED "X-Limit-Per-Second: 1.5\r\n"
#define EMPTY "Content-Length: 0\r\n\r\n"

static const struct limit_case {
    const char *name;
    const char *response;
    enum limit_call call;
    unsigned heard; /* calls of the listener */
    enum ch_limit_reading_kind kind;
    bool succeeded;
} limit_cases[] = {
    {"response", OWN_HEAD LIMITED EMPTY, LIMIT_REQUEST, 1, CH_LIMIT_NAMED,
     true},
    {"response, none named", OWN_HEAD EMPTY, LIMIT_REQUEST, 1, CH_LIMIT_ABSENT,
     true},
    {"response, twice", OWN_HEAD "X-Limit-Per-Second: 3\r\n" LIMITED EMPTY,
     LIMIT_REQUEST, 1, CH_LIMIT_NAMED, true},
    {"response, no number", OWN_HEAD "X-Limit-Per-Second: nan\r\n" EMPTY,
     LIMIT_REQUEST, 1, CH_LIMIT_UNREADABLE, true},
    {"response of another", HEAD_OF("200", "r8") LIMITED EMPTY, LIMIT_REQUEST,
     0, CH_LIMIT_ABSENT, false},
    {"refusal", HEAD_OF("503", "r7") "X-Not-Run: 1\r\n" LIMITED EMPTY,
     LIMIT_REQUEST, 1, CH_LIMIT_NAMED, false},
    {"error", HEAD_OF("500", "r7") LIMITED EMPTY, LIMIT_REQUEST, 1,
     CH_LIMIT_NAMED, false},
    {"no response", "", LIMIT_REQUEST, 0, CH_LIMIT_ABSENT, false},
    {"order", OWN_HEAD LIMITED EMPTY, LIMIT_ORDER, 1, CH_LIMIT_NAMED, false},
    {"order, none named", OWN_HEAD EMPTY, LIMIT_ORDER, 0, CH_LIMIT_ABSENT,
     false},
    {"order, refused", HEAD_OF("409", "r7") LIMITED EMPTY, LIMIT_ORDER, 1,
     CH_LIMIT_NAMED, false},
    {"order, no response", "", LIMIT_ORDER, 0, CH_LIMIT_ABSENT, false},
    {"report", OWN_HEAD LIMITED "Content-Length: 2\r\n\r\n{}", LIMIT_REPORT, 1,
     CH_LIMIT_NAMED, false},
    {"report, none named", OWN_HEAD "Content-Length: 2\r\n\r\n{}",
     LIMIT_REPORT, 0, CH_LIMIT_ABSENT, false},
};

/* What the listener was told; the HTTP loop is joined before it is read. */
struct heard {
    unsigned count;
    GQuark upstream;
    struct ch_limit_reading reading;
    bool succeeded;
};

static void
record_limit(const struct ch_limit_listener *listener,
             const struct ch_limit_reading *reading, bool succeeded,
             int64_t sent_at)
{
    struct heard *heard = listener->data;
    g_assert_cmpint(sent_at, >, 0);
    heard->count++;
    heard->upstream = listener->upstream;
    heard->reading = *reading;
    heard->succeeded = succeeded;
}

static void
start_limit_call(struct ch_upstream *engine, enum limit_call kind, bool stream,
                 struct result *result)
{
    static const struct ch_call_handlers handlers = {
        .on_response = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };
    const struct ch_call call = {
        .request_id = "r7",
        .method = "POST",
        .path = "/v1/completions",
        .stream = stream,
        .connect_timeout = TIMEOUT_US,
        .first_byte_timeout = TIMEOUT_US,
        .stall_timeout = TIMEOUT_US,
    };
    const struct ch_order order = {
        .id = "o1",
        .action = CH_ORDER_LOAD,
        .model = "m01",
    };
    switch (kind) {
    case LIMIT_REQUEST:
        engine->ops->call(engine, &call, &handlers, result);
        return;
    case LIMIT_ORDER:
        engine->ops->send_order(engine, &order, order_done, result);
        return;
    default:
        engine->ops->fetch_report(engine, report_done, result);
        return;
    }
}

/* Guards against limits that are heard in responses to callers' requests
 * alone: refusals, errors, and responses to orders and reports name them too.
 * Guards against reports and orders ending a limit that is named to requests
 * alone. */
static void
test_limit(gconstpointer data)
{
    const struct limit_case *row = data;
    struct heard heard = {0};
    struct ch_client client;
    struct server server;
    struct result result;
    char address[32];
    ch_client_init(&client, "test");
    client.metrics = ch_metrics_new();
    server_start(&server, row->response, false);
    result_init(&result);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", server.port);
    struct ch_http *http = ch_http_new(&client);
    struct ch_upstream *engine =
        ch_upstream_engine_new(&client, http, address, TIMEOUT_US);
    engine->limit_listener = (struct ch_limit_listener){
        record_limit, &heard, g_quark_from_string("e1"), 0};
    start_limit_call(engine, row->call, false, &result);
    result_wait(&result);
    ch_http_free(http);
    engine->ops->free(engine);
    server_join(&server);
    ch_metrics_free(client.metrics);
    g_string_free(server.request, TRUE);
    result_clear(&result);
    g_assert_cmpuint(heard.count, ==, row->heard);
    if (row->heard == 0) {
        return;
    }
    g_assert_cmpstr(g_quark_to_string(heard.upstream), ==, "e1");
    g_assert_cmpint(heard.reading.kind, ==, row->kind);
    g_assert_true(heard.succeeded == row->succeeded);
    if (row->kind == CH_LIMIT_NAMED) {
        g_assert_cmpfloat_with_epsilon(heard.reading.per_s, 1.5, 1e-9);
    }
}

/* ---- responses that end with their connection ---- */

#define WORKER_HEAD                                                           \
    "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nServer-Signature: s\r\n"            \
    "Connection: close\r\n"
#define WORKER_STREAM WORKER_HEAD "Content-Type: text/event-stream\r\n\r\n"
#define WORKER_EVENT "id: 1\ndata: a\n\n"

struct close_case {
    const char *name;
    const char *response;
    bool stream;
    bool resets;
    enum ch_code code;
    const char *forwarded;
};

/* Guards against a response with neither length nor chunks that is taken for
 * broken off though its connection ended, or for whole though the connection
 * was reset or the stream ended within an event. */
static const struct close_case close_cases[] = {
    {"plain, closed", WORKER_HEAD "\r\nok", false, false, CH_OK, "ok"},
    {"plain, reset", WORKER_HEAD "\r\nok", false, true, CH_UPSTREAM_CUT, "ok"},
    {"stream, closed after an event", WORKER_STREAM WORKER_EVENT, true, false,
     CH_OK, WORKER_EVENT},
    {"stream, reset after an event", WORKER_STREAM WORKER_EVENT, true, true,
     CH_UPSTREAM_CUT, WORKER_EVENT},
    {"stream, closed within a line", WORKER_STREAM WORKER_EVENT "id: 2\ndat",
     true, false, CH_UPSTREAM_CUT, WORKER_EVENT},
    {"stream, closed between the lines of an event",
     WORKER_STREAM WORKER_EVENT "id: 2\ndata: b\n", true, false,
     CH_UPSTREAM_CUT, WORKER_EVENT},
    {"stream, closed before an event", WORKER_STREAM "id: 1\n", true, false,
     CH_UPSTREAM_CUT, ""},
};

/* Sends a request, a report or an order to a worker that responds so, and
 * waits for the result. */
static void
call_worker(const char *response, enum limit_call kind, bool stream,
            bool resets, const struct ch_notice_listener *listener,
            const struct ch_pace_listener *pace_listener,
            struct result *result)
{
    struct ch_client client;
    struct server server;
    char address[32];
    ch_client_init(&client, "test");
    client.metrics = ch_metrics_new();
    server_start(&server, response, false);
    server.resets = resets;
    result_init(result);
    (void)snprintf(address, sizeof(address), "127.0.0.1:%d", server.port);
    struct ch_host host = {
        .name = (char *)"w1", .kind = CH_HOST_ENGINE, .address = address};
    struct ch_http *http = ch_http_new(&client);
    struct ch_upstream *upstream =
        platform_worker_new(&client, http, &host, TIMEOUT_US);
    upstream->notice_listener = *listener;
    upstream->pace_listener = *pace_listener;
    start_limit_call(upstream, kind, stream, result);
    result_wait(result);
    ch_http_free(http);
    upstream->ops->free(upstream);
    server_join(&server);
    g_string_free(server.request, TRUE);
    ch_metrics_free(client.metrics);
}

static void
test_close(gconstpointer data)
{
    const struct close_case *row = data;
    const struct ch_notice_listener no_listener = {0};
    const struct ch_pace_listener no_pace_listener = {0};
    struct result result;
    call_worker(row->response, LIMIT_REQUEST, row->stream, row->resets,
                &no_listener, &no_pace_listener, &result);
    g_assert_cmpstr(ch_code_get_name(result.end.code), ==,
                    ch_code_get_name(row->code));
    g_assert_cmpstr(result.forwarded->str, ==, row->forwarded);
    result_clear(&result);
}

/* ---- notices ---- */

#define LEAVING "Server-Leaving: 1\r\n"
#define WAIT "Retry-After: 3\r\n"

static const struct notice_case {
    const char *name;
    const char *response;
    enum limit_call call;
    bool stream;
    bool resets;
    bool draining;
    int64_t wait;
} notice_cases[] = {
    {"none", WORKER_HEAD "\r\nok", LIMIT_REQUEST, false, false, false, 0},
    {"success", WORKER_HEAD LEAVING "\r\nok", LIMIT_REQUEST, false, false,
     true, 0},
    {"stream",
     WORKER_HEAD LEAVING
     "Content-Type: text/event-stream\r\n\r\n" WORKER_EVENT,
     LIMIT_REQUEST, true, false, true, 0},
    {"stream reset before its first event",
     WORKER_HEAD LEAVING "Content-Type: text/event-stream\r\n\r\n",
     LIMIT_REQUEST, true, true, true, 0},
    {"interim response",
     "HTTP/1.1 103 Early Hints\r\n" LEAVING "\r\n" WORKER_HEAD "\r\nok",
     LIMIT_REQUEST, false, false, true, 0},
    {"rejection that asks to wait",
     "HTTP/1.1 503 Busy\r\nRequest-Id: r7\r\nNot-Executed: 1\r\n" WAIT
     "Content-Length: 0\r\n\r\n",
     LIMIT_REQUEST, false, false, false, 3000000},
    {"503 that does not say whether it ran",
     "HTTP/1.1 503 Busy\r\nRequest-Id: r7\r\n" WAIT
     "Content-Length: 0\r\n\r\n",
     LIMIT_REQUEST, false, false, false, 3000000},
    {"rejection of a worker that leaves",
     "HTTP/1.1 421 Not here\r\nRequest-Id: r7\r\n" LEAVING
     "Content-Length: 0\r\n\r\n",
     LIMIT_REQUEST, false, false, true, 0},
    {"another request's response",
     "HTTP/1.1 503 Busy\r\nRequest-Id: r8\r\n" LEAVING WAIT
     "Content-Length: 0\r\n\r\n",
     LIMIT_REQUEST, false, false, false, 0},
    {"report", "HTTP/1.1 200 OK\r\n" LEAVING "Content-Length: 2\r\n\r\n{}",
     LIMIT_REPORT, false, false, true, 0},
    {"rejected report",
     "HTTP/1.1 503 Busy\r\n" WAIT "Content-Length: 0\r\n\r\n", LIMIT_REPORT,
     false, false, false, 3000000},
    {"rejected order",
     "HTTP/1.1 503 Busy\r\n" LEAVING WAIT "Content-Length: 0\r\n\r\n",
     LIMIT_ORDER, false, false, true, 3000000},
};

static void
record_notice(const struct ch_notice_listener *listener,
              const struct ch_notice *notice, int64_t sent_at)
{
    struct ch_notice *heard = listener->data;
    g_assert_cmpint(sent_at, >, 0);
    *heard = *notice;
}

/* Guards against an upstream that is called on after a response of it, of
 * whatever kind, has said that it leaves or asked to wait. */
static void
test_notice(gconstpointer data)
{
    const struct notice_case *row = data;
    struct ch_notice heard = {0};
    const struct ch_notice_listener listener = {record_notice, &heard, 0, 0};
    const struct ch_pace_listener no_pace_listener = {0};
    struct result result;
    call_worker(row->response, row->call, row->stream, row->resets, &listener,
                &no_pace_listener, &result);
    result_clear(&result);
    g_assert_cmpint(heard.draining, ==, row->draining);
    g_assert_cmpint(heard.wait, ==, row->wait);
}

/* ---- load ---- */

#define LOAD "Instance-Load: 3,1,12,160\r\n"

static const struct load_case {
    const char *name;
    const char *response;
    enum limit_call call;
    bool stream;
    bool resets;
    enum ch_pace_reading_kind kind;
} load_cases[] = {
    {"none", WORKER_HEAD "\r\nok", LIMIT_REQUEST, false, false,
     CH_PACE_ABSENT},
    {"success", WORKER_HEAD LOAD "\r\nok", LIMIT_REQUEST, false, false,
     CH_PACE_STATED},
    {"stream reset before its first event",
     WORKER_HEAD LOAD "Content-Type: text/event-stream\r\n\r\n", LIMIT_REQUEST,
     true, true, CH_PACE_STATED},
    {"repeated", WORKER_HEAD LOAD LOAD "\r\nok", LIMIT_REQUEST, false, false,
     CH_PACE_UNREADABLE},
    {"two that make one",
     WORKER_HEAD "Instance-Load: 3,1\r\nInstance-Load: 12\r\n\r\nok",
     LIMIT_REQUEST, false, false, CH_PACE_UNREADABLE},
    {"rejection without an id",
     "HTTP/1.1 421 Not here\r\n" LOAD "Content-Length: 0\r\n\r\n",
     LIMIT_REQUEST, false, false, CH_PACE_STATED},
    {"success without an id",
     "HTTP/1.1 200 OK\r\n" LOAD "Content-Length: 2\r\n\r\nok", LIMIT_REQUEST,
     false, false, CH_PACE_ABSENT},
    {"another request's response",
     "HTTP/1.1 503 Busy\r\nRequest-Id: r8\r\n" LOAD
     "Content-Length: 0\r\n\r\n",
     LIMIT_REQUEST, false, false, CH_PACE_ABSENT},
    {"report", "HTTP/1.1 200 OK\r\n" LOAD "Content-Length: 2\r\n\r\n{}",
     LIMIT_REPORT, false, false, CH_PACE_STATED},
    {"rejected order",
     "HTTP/1.1 503 Busy\r\n" LOAD "Content-Length: 0\r\n\r\n", LIMIT_ORDER,
     false, false, CH_PACE_STATED},
};

static void
record_load(const struct ch_pace_listener *listener, const char *text)
{
    enum ch_pace_reading_kind *kind = listener->data;
    struct ch_pace_reading reading = {0};
    *kind = ch_pace_read(text, &reading);
    g_assert_cmpuint(reading.percent, ==, *kind == CH_PACE_STATED ? 160 : 0);
}

/* Guards against a load that is read from a response which does not belong to
 * the request, or is missed in one that does. */
static void
test_load(gconstpointer data)
{
    const struct load_case *row = data;
    const struct ch_notice_listener no_listener = {0};
    enum ch_pace_reading_kind kind = CH_PACE_ABSENT;
    const struct ch_pace_listener listener = {record_load, &kind, 0};
    struct result result;
    call_worker(row->response, row->call, row->stream, row->resets,
                &no_listener, &listener, &result);
    result_clear(&result);
    g_assert_cmpint(kind, ==, row->kind);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
        char *path =
            g_strconcat("/upstream/limit/", limit_cases[i].name, NULL);
        g_test_add_data_func(path, &limit_cases[i], test_limit);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(call_cases); i++) {
        char *path = g_strconcat("/upstream/call/", call_cases[i].name, NULL);
        g_test_add_data_func(path, &call_cases[i], test_call);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(close_cases); i++) {
        char *path =
            g_strconcat("/upstream/close/", close_cases[i].name, NULL);
        g_test_add_data_func(path, &close_cases[i], test_close);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(notice_cases); i++) {
        char *path =
            g_strconcat("/upstream/notice/", notice_cases[i].name, NULL);
        g_test_add_data_func(path, &notice_cases[i], test_notice);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        char *path = g_strconcat("/upstream/load/", load_cases[i].name, NULL);
        g_test_add_data_func(path, &load_cases[i], test_load);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(control_cases); i++) {
        char *path =
            g_strconcat("/upstream/control/", control_cases[i].name, NULL);
        g_test_add_data_func(path, &control_cases[i], test_control);
        g_free(path);
    }
    return g_test_run();
}
