/* Responses whose connection is closed after each of their bytes. */

#include "net/net.h"
#include "platform_dialect.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    TIMEOUT_US = 5 * 1000 * 1000,
};

enum user {
    REQUEST,
    HEAD_REQUEST,
    STREAM,
    RELAYED_REQUEST,
    ORDER,
    REPORT,
    STORE_READ,
    STORE_WRITE,
    STORE_LEASE,
};

/* What a user concludes. */
struct conclusion {
    enum ch_code code;
    bool may_have_run; /* of a request */
};

#define STATUS "HTTP/1.1 200 OK\r\n"
#define CLOSE "Connection: close\r\n"
#define SIGNED "Request-Id: r7\r\nServer-Signature: s\r\n" CLOSE

enum framing {
    LENGTH,
    CHUNKS,
    CONNECTION, /* its end is the body's */
    NO_BODY,
};

/* Only the last byte of the body, or of the headers where there is none or its
 * end is the connection's, makes a response whole. Before that, a request or
 * an order may have been carried out, a write may have taken effect, and a
 * read says nothing. */
static const struct cut_case {
    const char *name;
    enum user user;
    enum framing framing;
    const char *headers;
    const char *body;
    struct conclusion whole;
    struct conclusion cut;
} cases[] = {
    {"request, length",
     REQUEST,
     LENGTH,
     STATUS SIGNED,
     "ok",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, chunks",
     REQUEST,
     CHUNKS,
     STATUS SIGNED,
     "2\r\nok\r\n0\r\n\r\n",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, end of the connection",
     REQUEST,
     CONNECTION,
     STATUS SIGNED,
     "ok",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, interim response",
     REQUEST,
     CONNECTION,
     "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" STATUS SIGNED,
     "ok",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, no content",
     REQUEST,
     NO_BODY,
     "HTTP/1.1 204 No\r\n" SIGNED,
     "",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, HEAD",
     HEAD_REQUEST,
     NO_BODY,
     STATUS SIGNED "Content-Length: 2\r\n",
     "",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, refused",
     REQUEST,
     LENGTH,
     "HTTP/1.1 503 Busy\r\nRequest-Id: r7\r\nNot-Executed: 1\r\n" CLOSE,
     "",
     {CH_UPSTREAM_REFUSED, false},
     {CH_UPSTREAM_CUT, true}},
    {"stream",
     STREAM,
     LENGTH,
     STATUS SIGNED "Content-Type: text/event-stream\r\n",
     "id: 1\ndata: a\n\n",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"stream, chunks",
     STREAM,
     CHUNKS,
     STATUS SIGNED "Content-Type: text/event-stream\r\n",
     "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, two interim responses",
     REQUEST,
     LENGTH,
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: "
     "a\r\n\r\n" STATUS SIGNED,
     "ok",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"request, failed",
     REQUEST,
     LENGTH,
     "HTTP/1.1 500 Failed\r\n" SIGNED,
     "no",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"relayed request, length",
     RELAYED_REQUEST,
     LENGTH,
     STATUS SIGNED,
     "ok",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"relayed request, chunks",
     RELAYED_REQUEST,
     CHUNKS,
     STATUS SIGNED,
     "2\r\nok\r\n0\r\n\r\n",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"relayed request, interim response",
     RELAYED_REQUEST,
     LENGTH,
     "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" STATUS SIGNED,
     "ok",
     {CH_OK, true},
     {CH_UPSTREAM_CUT, true}},
    {"relayed request, not sent on",
     RELAYED_REQUEST,
     LENGTH,
     "HTTP/1.1 503 No\r\nChestnuthitch-Relay-Result: busy\r\n" CLOSE,
     "",
     {CH_UPSTREAM_CONNECT, false},
     {CH_UPSTREAM_CUT, true}},
    {"order",
     ORDER,
     LENGTH,
     "HTTP/1.1 202 Yes\r\n" CLOSE,
     "{}",
     {CH_OK, false},
     {CH_UPSTREAM_CUT, false}},
    {"order, refused",
     ORDER,
     LENGTH,
     "HTTP/1.1 412 No\r\n" CLOSE,
     "{}",
     {CH_STALE_FENCE, false},
     {CH_UPSTREAM_CUT, false}},
    {"report",
     REPORT,
     LENGTH,
     STATUS CLOSE,
     "{\"sequence\":2,\"models\":[]}",
     {CH_OK, false},
     {CH_UPSTREAM_CUT, false}},
    {"read",
     STORE_READ,
     LENGTH,
     STATUS CLOSE,
     "{\"key\":\"k\",\"value\":\"YWI=\",\"revision\":4}",
     {CH_OK, false},
     {CH_KV_UNREACHABLE, false}},
    {"read, no item",
     STORE_READ,
     LENGTH,
     "HTTP/1.1 404 No\r\n" CLOSE,
     "",
     {CH_KV_MISSING, false},
     {CH_KV_UNREACHABLE, false}},
    {"write",
     STORE_WRITE,
     LENGTH,
     STATUS CLOSE,
     "{\"revision\":5}",
     {CH_OK, false},
     {CH_KV_AMBIGUOUS, false}},
    {"write, refused",
     STORE_WRITE,
     LENGTH,
     "HTTP/1.1 412 No\r\n" CLOSE,
     "{\"items\":[]}",
     {CH_KV_CONFLICT, false},
     {CH_KV_AMBIGUOUS, false}},
    {"lease",
     STORE_LEASE,
     LENGTH,
     STATUS CLOSE,
     "{\"lease\":7,\"ttl_ms\":3000}",
     {CH_OK, false},
     {CH_KV_UNREACHABLE, false}},
};

/* The headers of a row's response with their end. */
static char *
print_headers(const struct cut_case *row)
{
    switch (row->framing) {
    case LENGTH:
        return g_strdup_printf("%sContent-Length: %zu\r\n\r\n", row->headers,
                               strlen(row->body));
    case CHUNKS:
        return g_strconcat(row->headers, "Transfer-Encoding: chunked\r\n\r\n",
                           NULL);
    default:
        return g_strconcat(row->headers, "\r\n", NULL);
    }
}

/* ---- a server that sends the first bytes of a response ---- */

struct server {
    int listener;
    int port;
    pthread_t thread;
    const char *response;
    gint length; /* atomic */
};

/* Reads up to the end of the headers and of a body with a stated length. */
static void
read_request(int fd)
{
    char bytes[4096];
    size_t size = 0;
    ssize_t got = 0;
    while (size + 1 < sizeof(bytes) &&
           (got = recv(fd, bytes + size, sizeof(bytes) - size - 1, 0)) > 0) {
        size += (size_t)got;
        bytes[size] = '\0';
        const char *end = strstr(bytes, "\r\n\r\n");
        const char *field = strstr(bytes, "Content-Length: ");
        size_t body = field == NULL ? 0 : strtoul(field + 16, NULL, 10);
        if (end != NULL && size >= (size_t)(end + 4 - bytes) + body) {
            return;
        }
    }
}

static void *
run_server(void *data)
{
    struct server *server = data;
    int fd = 0;
    while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
        read_request(fd);
        ssize_t sent =
            send(fd, server->response,
                 (size_t)g_atomic_int_get(&server->length), MSG_NOSIGNAL);
        (void)sent;
        close(fd);
    }
    return NULL;
}

static void
server_start(struct server *server, const char *response)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    *server = (struct server){.response = response};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(server->listener, 8), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, run_server, server);
}

static void
server_join(struct server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
}

/* ---- calls ---- */

struct result {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool done;
    struct conclusion conclusion;
};

static void
finish(struct result *result, enum ch_code code)
{
    pthread_mutex_lock(&result->lock);
    result->conclusion.code = code;
    result->done = true;
    pthread_cond_signal(&result->changed);
    pthread_mutex_unlock(&result->lock);
}

static void
on_response(void *data, int status, const char *content_type)
{
    (void)data, (void)status, (void)content_type;
}

static void
on_data(void *data, const char *bytes, size_t length)
{
    (void)data, (void)bytes, (void)length;
}

static void
on_end(void *data, const struct ch_call_result *end)
{
    struct result *result = data;
    result->conclusion.may_have_run = end->may_have_run;
    finish(result, end->code);
}

static void
on_order(void *data, enum ch_code code)
{
    finish(data, code);
}

static void
on_report(void *data, enum ch_code code, struct ch_engine_report *report)
{
    ch_engine_report_free(report);
    finish(data, code);
}

static void
on_store_result(void *data, const struct ch_kv_result *result)
{
    finish(data, result->code);
}

struct fixture {
    struct ch_client client;
    struct server server;
    struct ch_http *http;
    struct ch_upstream *worker;
    struct ch_kv *store;
    char *address;
};

static void
send_request(const struct fixture *fixture, enum user user,
             struct result *result)
{
    static const struct ch_call_handlers handlers = {
        .on_response = on_response, .on_data = on_data, .on_end = on_end};
    const struct ch_call_relay relay = {.address = fixture->address,
                                        .upstream = "w1"};
    const struct ch_call call = {
        .request_id = "r7",
        .method = user == HEAD_REQUEST ? "HEAD" : "POST",
        .path = "/fit/",
        .stream = user == STREAM,
        .connect_timeout = TIMEOUT_US,
        .first_byte_timeout = TIMEOUT_US,
        .stall_timeout = TIMEOUT_US,
        .relay = user == RELAYED_REQUEST ? &relay : NULL,
    };
    fixture->worker->ops->call(fixture->worker, &call, &handlers, result);
}

static void
start_call(const struct fixture *fixture, enum user user,
           struct result *result)
{
    struct ch_upstream *worker = fixture->worker;
    struct ch_kv *store = fixture->store;
    const struct ch_order order = {
        .id = "o1", .action = CH_ORDER_LOAD, .model = "m1"};
    switch (user) {
    case ORDER:
        worker->ops->send_order(worker, &order, on_order, result);
        return;
    case REPORT:
        worker->ops->fetch_report(worker, on_report, result);
        return;
    case STORE_READ:
        store->ops->get(store, "k", on_store_result, result);
        return;
    case STORE_WRITE:
        store->ops->put(store, "k", "v", 1, 3, on_store_result, result);
        return;
    case STORE_LEASE:
        store->ops->create_lease(store, 3000000, on_store_result, result);
        return;
    default:
        send_request(fixture, user, result);
    }
}

/* Makes one call; the server closes the connection after length bytes. */
static struct conclusion
call_once(struct fixture *fixture, enum user user, size_t length)
{
    struct result result = {.done = false};
    pthread_mutex_init(&result.lock, NULL);
    pthread_cond_init(&result.changed, NULL);
    g_atomic_int_set(&fixture->server.length, (gint)length);
    start_call(fixture, user, &result);
    pthread_mutex_lock(&result.lock);
    while (!result.done) {
        pthread_cond_wait(&result.changed, &result.lock);
    }
    pthread_mutex_unlock(&result.lock);
    pthread_cond_destroy(&result.changed);
    pthread_mutex_destroy(&result.lock);
    return result.conclusion;
}

static void
discard_log_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
fixture_init(struct fixture *fixture, const char *response)
{
    ch_client_init(&fixture->client, "test");
    fixture->client.log_write = discard_log_line;
    fixture->client.metrics = ch_metrics_new();
    server_start(&fixture->server, response);
    fixture->address = g_strdup_printf("127.0.0.1:%d", fixture->server.port);
    const struct ch_host host = {.name = (char *)"w1",
                                 .kind = CH_HOST_ENGINE,
                                 .address = fixture->address};
    fixture->http = ch_http_new(&fixture->client);
    fixture->worker = platform_worker_new(&fixture->client, fixture->http,
                                          &host, TIMEOUT_US);
    fixture->store = platform_store_new(&fixture->client, fixture->http,
                                        fixture->address, TIMEOUT_US);
}

static void
fixture_clear(struct fixture *fixture)
{
    ch_http_free(fixture->http);
    server_join(&fixture->server);
    fixture->worker->ops->free(fixture->worker);
    fixture->store->ops->free(fixture->store);
    ch_metrics_free(fixture->client.metrics);
    g_free(fixture->address);
}

/* Guards against a response that is taken for whole, or for a refusal, though
 * its connection was closed before its headers or its body had ended. */
static void
test_cut(gconstpointer data)
{
    const struct cut_case *row = data;
    struct fixture fixture;
    g_autofree char *headers = print_headers(row);
    g_autofree char *response = g_strconcat(headers, row->body, NULL);
    size_t whole =
        row->framing == CONNECTION ? strlen(headers) : strlen(response);
    if (row->framing == CHUNKS) {
        whole--; /* only the last chunk's own line feed is missing */
    }
    fixture_init(&fixture, response);
    for (size_t length = 0; length <= strlen(response); length++) {
        struct conclusion conclusion = call_once(&fixture, row->user, length);
        const struct conclusion *expected =
            length >= whole ? &row->whole : &row->cut;
        g_test_message("%zu of %zu bytes", length, strlen(response));
        g_assert_cmpstr(ch_code_get_name(conclusion.code), ==,
                        ch_code_get_name(expected->code));
        g_assert_cmpint(conclusion.may_have_run, ==, expected->may_have_run);
    }
    fixture_clear(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path =
            g_strconcat("/broken-head/", cases[i].name, NULL);
        g_test_add_data_func(path, &cases[i], test_cut);
    }
    return g_test_run();
}
