/* Tests the clients of the platform's store and workers against a server that
 * sends scripted responses. */

#include "platform_dialect.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    CALL_LIMIT_US = 400 * 1000,
};

/* Accepts one connection per response, in order, and records the requests.  An
 * empty response closes the connection without sending a byte. */
struct server {
    int listener;
    int port;
    pthread_t thread;
    const char *const *responses;
    GString *requests;
    int silent_fd; /* a connection kept open without a response; 0: none */
};

/* Marks a connection that stays open without a response. */
static const char silent_response[] = "silence";

/* A response sent in pieces, which together take longer than the time limit of
 * a call. */
static const char slow_response[] =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
    "{\"key\":\"k\",\"value\":\"YWI=\",\"revision\":4}";

enum {
    PIECE_COUNT = 4,
};

/* Records one request, with a body of the length in its Content-Length. */
static void
read_request(struct server *server, int fd)
{
    char bytes[4096];
    size_t start = server->requests->len;
    for (;;) {
        const char *text = server->requests->str + start;
        const char *end = strstr(text, "\r\n\r\n");
        const char *length_header = strstr(text, "Content-Length: ");
        size_t body =
            length_header == NULL ? 0 : strtoul(length_header + 16, NULL, 10);
        if (end != NULL &&
            server->requests->len - start >= (size_t)(end + 4 - text) + body) {
            g_string_append_c(server->requests, '\n');
            return;
        }
        ssize_t received = recv(fd, bytes, sizeof(bytes), 0);
        if (received <= 0) {
            return;
        }
        g_string_append_len(server->requests, bytes, received);
    }
}

/* Sends a response in pieces.  The interval between two pieces is well within
 * the time limit of a call. */
static void
send_slowly(int fd, const char *response)
{
    size_t length = strlen(response);
    for (size_t i = 0; i < PIECE_COUNT; i++) {
        size_t from = length * i / PIECE_COUNT;
        size_t to = length * (i + 1) / PIECE_COUNT;
        ssize_t sent = send(fd, response + from, to - from, MSG_NOSIGNAL);
        (void)sent;
        g_usleep(CALL_LIMIT_US / 2);
    }
}

static void *
run_server(void *data)
{
    struct server *server = data;
    for (size_t i = 0; server->responses[i] != NULL; i++) {
        int fd = accept(server->listener, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        read_request(server, fd);
        if (server->responses[i] == silent_response) {
            server->silent_fd = fd;
            continue;
        }
        if (server->responses[i] == slow_response) {
            send_slowly(fd, slow_response);
        }
        else {
            ssize_t sent = send(fd, server->responses[i],
                                strlen(server->responses[i]), MSG_NOSIGNAL);
            (void)sent;
        }
        close(fd);
    }
    return NULL;
}

static void
server_start(struct server *server, const char *const *responses)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t length = sizeof(address);
    *server = (struct server){
        .listener = socket(AF_INET, SOCK_STREAM, 0),
        .responses = responses,
        .requests = g_string_new(NULL),
    };
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, length), ==, 0);
    g_assert_cmpint(listen(server->listener, 8), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, run_server, server);
}

/* Joins the server's thread; afterwards the test may read the requests. */
static void
server_join(struct server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    if (server->silent_fd > 0) {
        close(server->silent_fd);
    }
}

/* ---- one call and its result ---- */

struct result {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool done;
    enum ch_code code;
    uint64_t revision;
    char *value;
    size_t count;
    struct ch_call_result end;
    GString *body;
};

static void
result_init(struct result *result)
{
    *result = (struct result){.body = g_string_new(NULL)};
    pthread_mutex_init(&result->lock, NULL);
    pthread_cond_init(&result->changed, NULL);
}

static void
signal_done(struct result *result)
{
    result->done = true;
    pthread_cond_signal(&result->changed);
    pthread_mutex_unlock(&result->lock);
}

static void
record_kv_result(void *data, const struct ch_kv_result *kv_result)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->code = kv_result->code;
    result->revision = kv_result->revision;
    result->value = kv_result->value == NULL
                        ? NULL
                        : g_strndup(kv_result->value, kv_result->length);
    signal_done(result);
}

static void
record_range(void *data, const struct ch_kv_range *range)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->code = range->code;
    result->revision = range->revision;
    result->count = range->count;
    signal_done(result);
}

static void
wait_done(struct result *result)
{
    pthread_mutex_lock(&result->lock);
    while (!result->done) {
        pthread_cond_wait(&result->changed, &result->lock);
    }
    pthread_mutex_unlock(&result->lock);
}

static void
result_clear(struct result *result)
{
    g_free(result->value);
    g_string_free(result->body, TRUE);
}

/* ---- the store ---- */

#define OK_JSON(body) "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" body
#define CONFIG                                                                \
    "{\"key\":\"op/config\",\"value\":"                                       \
    "\"eyJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119\",\"revision\":9,\"at\":12}"

enum {
    FIRST_LEASE = 1, /* the client's own ID of the first one */
};

enum call {
    GET,
    GET_CONFIG,
    WATCH_CONFIG,
    PUT,
    LEASE,
    RENEW,
    RANGE,
    CHANGES,
};

/*
 * The results of store calls.  A write without a definite response is reported
 * as ambiguous, since it may have taken effect.  A range with a missing page
 * is an error, since the omitted keys would look removed.
 */
static const struct {
    const char *description;
    const char *responses[3];
    enum call call;
    enum ch_code code;
    uint64_t revision;
    size_t count;
    const char *expected_request;
} store_rows[] = {
    {"a value",
     {OK_JSON("{\"key\":\"k\",\"value\":\"YWI=\",\"revision\":4}")},
     GET,
     CH_OK,
     4,
     0,
     "GET /api/kv-key?key=k "},
    {"a value that arrives slowly", {slow_response}, GET, CH_OK, 4, 0, NULL},
    {"no value",
     {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"},
     GET,
     CH_KV_MISSING,
     0,
     0,
     NULL},
    {"a rejected read",
     {"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"},
     GET,
     CH_KV_UNREACHABLE,
     0,
     0,
     NULL},
    {"a read whose response is lost",
     {""},
     GET,
     CH_KV_UNREACHABLE,
     0,
     0,
     NULL},
    {"a read with an invalid response",
     {OK_JSON("{\"key\":7}")},
     GET,
     CH_KV_UNREACHABLE,
     0,
     0,
     NULL},
    {"the configuration, under its own key",
     {OK_JSON(CONFIG)},
     GET_CONFIG,
     CH_OK,
     9,
     0,
     "key=op/config "},
    {"a watch whose history is gone reads the value that is there now",
     {OK_JSON(CONFIG), "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
      OK_JSON(CONFIG)},
     WATCH_CONFIG,
     CH_OK,
     9,
     0,
     "kv-watch?path_prefix=op/config&after=12&"},
    {"a write",
     {OK_JSON("{\"revision\":5}")},
     PUT,
     CH_OK,
     5,
     0,
     "\"precondition\":[{\"key\":\"k\",\"revision\":3}]"},
    {"a write at an old revision",
     {"HTTP/1.1 412 No\r\nConnection: close\r\n\r\n"
      "{\"items\":[{\"key\":\"k\",\"revision\":8}]}"},
     PUT,
     CH_KV_CONFLICT,
     8,
     0,
     NULL},
    {"a rejected write",
     {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"},
     PUT,
     CH_KV_UNREACHABLE,
     0,
     0,
     NULL},
    {"a write whose response is lost", {""}, PUT, CH_KV_AMBIGUOUS, 0, 0, NULL},
    {"a write with half a response",
     {OK_JSON("{\"rev")},
     PUT,
     CH_KV_AMBIGUOUS,
     0,
     0,
     NULL},
    {"a lease",
     {OK_JSON("{\"lease\":77,\"ttl_ms\":3000}")},
     LEASE,
     CH_OK,
     FIRST_LEASE,
     0,
     "{\"ttl_ms\":3000}"},
    {"a lease that has ended",
     {OK_JSON("{\"lease\":77,\"ttl_ms\":3000}"),
      "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"},
     RENEW,
     CH_KV_MISSING,
     0,
     0,
     "POST /api/kv-keep/77 "},
    {"a lease whose ID is as large as a number of JSON can be",
     {OK_JSON("{\"lease\":9007199254740991,\"ttl_ms\":3000}"), OK_JSON("{}")},
     RENEW,
     CH_OK,
     0,
     0,
     "POST /api/kv-keep/9007199254740991 "},
    {"a range of two pages",
     {OK_JSON("{\"items\":[{\"key\":\"p/a\",\"value\":\"\",\"revision\":1}],"
              "\"has_more\":true,\"at\":20}"),
      OK_JSON("{\"items\":[{\"key\":\"p/b\",\"value\":\"\",\"revision\":2}],"
              "\"has_more\":false,\"at\":25}")},
     RANGE,
     CH_OK,
     20,
     2,
     "path_prefix=p/&after=p/a "},
    {"a range whose second page is lost",
     {OK_JSON("{\"items\":[{\"key\":\"p/a\",\"value\":\"\",\"revision\":1}],"
              "\"has_more\":true,\"at\":20}"),
      ""},
     RANGE,
     CH_KV_UNREACHABLE,
     20,
     0,
     NULL},
    {"changes, a removal among them",
     {OK_JSON(
         "{\"events\":[{\"key\":\"p/a\",\"revision\":30,\"deleted\":true},"
         "{\"key\":\"p/b\",\"value\":\"YQ==\",\"revision\":31}],"
         "\"at\":31}")},
     CHANGES,
     CH_OK,
     31,
     2,
     "kv-watch?path_prefix=p/&after=20&wait_ms=100 "},
    {"no changes",
     {OK_JSON("{\"events\":[],\"at\":33}")},
     CHANGES,
     CH_KV_MISSING,
     33,
     0,
     NULL},
    {"changes that are no longer kept",
     {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"},
     CHANGES,
     CH_KV_HISTORY_GONE,
     0,
     0,
     NULL},
};

/* Makes the store call of a row. */
static void
make_call(struct ch_kv *kv, enum call call, struct result *result)
{
    switch (call) {
    case GET:
        kv->ops->get(kv, "k", record_kv_result, result);
        return;
    case GET_CONFIG:
        kv->ops->get(kv, "config/current", record_kv_result, result);
        return;
    case WATCH_CONFIG:
        kv->ops->watch(kv, "config/current", 9, 100000, record_kv_result,
                       result);
        return;
    case PUT:
        kv->ops->put(kv, "k", "v", 1, 3, record_kv_result, result);
        return;
    case LEASE:
        kv->ops->create_lease(kv, 3000000, record_kv_result, result);
        return;
    case RENEW:
        kv->ops->renew_lease(kv, FIRST_LEASE, record_kv_result, result);
        return;
    case RANGE:
        kv->ops->range(kv, "p/", record_range, result);
        return;
    default:
        kv->ops->watch_changes(kv, "p/", 20, 100000, record_range, result);
        return;
    }
}

static void
discard_log_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
client_init(struct ch_client *client)
{
    ch_client_init(client, "n1");
    client->log_write = discard_log_line;
    client->metrics = ch_metrics_new();
}

/* One client of a store that answers with these responses, in order. */
struct fixture {
    struct server server;
    struct ch_client client;
    struct ch_http *http;
    struct ch_kv *kv;
};

static void
fixture_init(struct fixture *fixture, const char *const *responses)
{
    client_init(&fixture->client);
    server_start(&fixture->server, responses);
    fixture->http = ch_http_new(&fixture->client);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%d", fixture->server.port);
    fixture->kv = platform_store_new(&fixture->client, fixture->http, address,
                                     CALL_LIMIT_US);
}

static void
fixture_clear(struct fixture *fixture)
{
    ch_http_free(fixture->http);
    server_join(&fixture->server);
    fixture->kv->ops->free(fixture->kv);
    ch_metrics_free(fixture->client.metrics);
    g_string_free(fixture->server.requests, TRUE);
}

#define ERA(number, status, body)                                             \
    "HTTP/1.1 " status "\r\nConnection: close\r\nStore-Era: " number          \
    "\r\n\r\n" body
#define READ_IN(era)                                                          \
    ERA(era, "200 OK", "{\"key\":\"k\",\"value\":\"YWI=\",\"revision\":4}")
#define NEXT_ERA (UINT64_C(1) << 40)

static const struct {
    const char *description;
    const char *responses[3];
    enum call call;
    enum ch_code code;
    uint64_t revision;
} era_rows[] = {
    {"read", {READ_IN("0"), READ_IN("1")}, GET, CH_OK, NEXT_ERA + 4},
    {"read, late", {READ_IN("1"), READ_IN("0")}, GET, CH_KV_UNREACHABLE, 0},
    {"read, no era stated",
     {READ_IN("1"), OK_JSON("{\"key\":\"k\",\"value\":\"YWI=\","
                            "\"revision\":4}")},
     GET,
     CH_OK,
     NEXT_ERA + 4},
    {"write",
     {READ_IN("0"), ERA("1", "200 OK", "{\"revision\":5}")},
     PUT,
     CH_KV_AMBIGUOUS,
     NEXT_ERA + 5},
    {"write, late",
     {READ_IN("1"), ERA("0", "200 OK", "{\"revision\":5}")},
     LEASE,
     CH_KV_UNREACHABLE,
     0},
    {"write, refused",
     {READ_IN("0"),
      ERA("1", "412 No", "{\"items\":[{\"key\":\"k\",\"revision\":6}]}")},
     PUT,
     CH_KV_CONFLICT,
     NEXT_ERA + 6},
    {"write, not sent", {READ_IN("1")}, PUT, CH_KV_CONFLICT, 0},
    {"new lease",
     {READ_IN("0"), ERA("1", "200 OK", "{\"lease\":7,\"ttl_ms\":1}")},
     LEASE,
     CH_OK,
     FIRST_LEASE},
    {"renewal",
     {ERA("0", "200 OK", "{\"lease\":7,\"ttl_ms\":1}"),
      ERA("1", "200 OK", "{}")},
     RENEW,
     CH_KV_MISSING,
     0},
    {"renewal, not sent",
     {ERA("0", "200 OK", "{\"lease\":7,\"ttl_ms\":1}"), READ_IN("1")},
     RENEW,
     CH_KV_MISSING,
     0},
    {"changes",
     {READ_IN("0"), ERA("1", "200 OK", "{\"events\":[],\"at\":9}")},
     CHANGES,
     CH_KV_HISTORY_GONE,
     0},
    {"changes, not sent", {READ_IN("1")}, CHANGES, CH_KV_HISTORY_GONE, 0},
    {"range",
     {READ_IN("0"),
      ERA("1", "200 OK", "{\"items\":[],\"has_more\":false,\"at\":9}")},
     RANGE,
     CH_OK,
     NEXT_ERA + 9},
    {"range of two eras",
     {READ_IN("0"),
      ERA("0", "200 OK",
          "{\"items\":[{\"key\":\"a\",\"value\":\"YWI=\","
          "\"revision\":4}],\"has_more\":true,\"at\":9}"),
      ERA("1", "200 OK", "{\"items\":[],\"has_more\":false,\"at\":3}")},
     RANGE,
     CH_KV_UNREACHABLE,
     9},
};

/* Makes a call that a row's own call needs before it. */
static void
make_earlier_call(struct ch_kv *kv, enum call call)
{
    struct result result;
    result_init(&result);
    make_call(kv, call, &result);
    wait_done(&result);
    result_clear(&result);
}

/* Guards against a call whose numbers are of another era than the response:
 * writes that succeed on a value which was never read, watches that miss
 * events without a sign, renewals of another node's lease. Each row begins
 * with a read, or with the grant of the lease that it renews. */
static void
test_store_eras(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(era_rows); i++) {
        const char *responses[4] = {era_rows[i].responses[0],
                                    era_rows[i].responses[1],
                                    era_rows[i].responses[2], NULL};
        struct fixture fixture;
        struct result result;
        fixture_init(&fixture, responses);
        g_test_message("%s", era_rows[i].description);
        make_earlier_call(fixture.kv, era_rows[i].call == RENEW ? LEASE : GET);
        if (era_rows[i].call == RENEW && strstr(responses[1], "value")) {
            make_earlier_call(fixture.kv, GET);
        }
        result_init(&result);
        make_call(fixture.kv, era_rows[i].call, &result);
        wait_done(&result);
        g_assert_cmpstr(ch_code_get_name(result.code), ==,
                        ch_code_get_name(era_rows[i].code));
        g_assert_cmpuint(result.revision, ==, era_rows[i].revision);
        result_clear(&result);
        fixture_clear(&fixture);
    }
}

static void
test_store_calls(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(store_rows); i++) {
        const char *responses[4] = {store_rows[i].responses[0],
                                    store_rows[i].responses[1],
                                    store_rows[i].responses[2], NULL};
        struct fixture fixture;
        struct result result;
        fixture_init(&fixture, responses);
        struct ch_kv *kv = fixture.kv;
        g_test_message("%s", store_rows[i].description);
        if (store_rows[i].call == WATCH_CONFIG ||
            store_rows[i].call == RENEW) {
            /* The watch starts at the revision of an earlier read, and a
             * renewal is of a lease that was granted. */
            make_earlier_call(kv, store_rows[i].call == RENEW ? LEASE
                                                              : GET_CONFIG);
        }
        result_init(&result);
        make_call(kv, store_rows[i].call, &result);
        wait_done(&result);
        g_assert_cmpint(result.code, ==, store_rows[i].code);
        g_assert_cmpuint(result.revision, ==, store_rows[i].revision);
        g_assert_cmpuint(result.count, ==, store_rows[i].count);
        if (store_rows[i].expected_request != NULL) {
            g_assert_nonnull(strstr(fixture.server.requests->str,
                                    store_rows[i].expected_request));
        }
        if (store_rows[i].call == GET_CONFIG) {
            g_assert_cmpstr(result.value, ==,
                            "{\"routes\":[],\"services\":[]}");
        }
        fixture_clear(&fixture);
        result_clear(&result);
    }
}

/*
 * Guards against an accepted configuration that no node applies for sixteen
 * seconds.  The connections of all nodes that watched the store had stopped
 * carrying data just before, and each watch timed out only after its long wait
 * time plus the time limit of a call.  A watch without a response soon after
 * its wait time has lost its connection.  The configuration is then read
 * before it is watched again, because the store may have dropped the records
 * that a watch from the old revision would return.
 */
static void
test_silent_watch(void)
{
    const char *responses[] = {OK_JSON(CONFIG), silent_response,
                               OK_JSON(CONFIG), NULL};
    struct server server;
    struct result result;
    struct ch_client client;
    client_init(&client);
    server_start(&server, responses);
    struct ch_http *http = ch_http_new(&client);
    g_autofree char *address = g_strdup_printf("127.0.0.1:%d", server.port);
    struct ch_kv *kv = platform_store_new(&client, http, address, 4000000L);
    make_earlier_call(kv, GET_CONFIG);
    result_init(&result);
    int64_t started_at = g_get_monotonic_time();
    make_call(kv, WATCH_CONFIG, &result);
    wait_done(&result);
    g_assert_cmpint(result.code, ==, CH_KV_UNREACHABLE);
    g_assert_cmpint(g_get_monotonic_time() - started_at, <, 2000000);
    result_clear(&result);
    result_init(&result);
    make_call(kv, WATCH_CONFIG, &result);
    wait_done(&result);
    g_assert_cmpint(result.code, ==, CH_OK);
    g_assert_cmpuint(result.revision, ==, 9);
    ch_http_free(http);
    server_join(&server);
    kv->ops->free(kv);
    ch_metrics_free(client.metrics);
    g_string_free(server.requests, TRUE);
    result_clear(&result);
}

/* ---- a worker ---- */

#define RESPONSE(status, id, more, body)                                      \
    "HTTP/1.1 " status "\r\nRequest-Id: " id "\r\n" more                      \
    "Content-Length: 2\r\n\r\n" body
#define SIGNATURE "Server-Signature: s\r\n"

/*
 * The outcomes of calls to a worker.  A request counts as certainly not run
 * only if the worker says so or no byte of the request was sent.
 */
static const struct {
    const char *description;
    const char *response;
    bool may_repeat;
    bool may_have_run;
    enum ch_code code;
    const char *expected_body;
} worker_rows[] = {
    {"a whole response", RESPONSE("200 OK", "r7", SIGNATURE, "ab"), true, true,
     CH_OK, "ab"},
    {"a response without its signature", RESPONSE("200 OK", "r7", "", "ab"),
     true, true, CH_UPSTREAM_ANSWER, ""},
    {"a response to another request",
     RESPONSE("200 OK", "r6", SIGNATURE, "ab"), true, true,
     CH_UPSTREAM_CROSSED, ""},
    {"a response without a request ID",
     "HTTP/1.1 200 OK\r\n" SIGNATURE "Content-Length: 2\r\n\r\nab", true, true,
     CH_UPSTREAM_CROSSED, ""},
    {"a truncated response",
     "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n" SIGNATURE
     "Content-Length: 9\r\n\r\nab",
     true, true, CH_UPSTREAM_CUT, "ab"},
    {"a response without a length, ended by its connection",
     "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n" SIGNATURE "\r\nab", true, true,
     CH_OK, "ab"},
    {"the worker is full",
     RESPONSE("503 Full", "r7", "Not-Executed: 1\r\n", "no"), true, false,
     CH_UPSTREAM_REFUSED, ""},
    {"another worker has the address", RESPONSE("421 No", "r7", "", "no"),
     true, false, CH_UPSTREAM_REFUSED, ""},
    {"503 with no word on whether the request ran",
     RESPONSE("503 No", "r7", SIGNATURE, "no"), true, true, CH_UPSTREAM_ANSWER,
     ""},
    {"429 with no such word, for a request that must not be repeated",
     RESPONSE("429 No", "r7", SIGNATURE, "no"), false, true,
     CH_UPSTREAM_ANSWER, ""},
    {"a repeatable request failed: its error is passed on",
     RESPONSE("500 No", "r7", SIGNATURE, "no"), true, true, CH_OK, "no"},
    {"a request that must not be repeated failed: its error is passed on",
     RESPONSE("500 No", "r7", SIGNATURE, "no"), false, true, CH_OK, "no"},
    {"no response", "", true, true, CH_UPSTREAM_CUT, ""},
    {"a response that is not HTTP", "hello\r\n\r\n", true, true,
     CH_UPSTREAM_ANSWER, ""},
};

static void
on_headers(void *data, const struct ch_http_header *headers, size_t count)
{
    (void)data;
    for (size_t i = 0; i < count; i++) {
        g_assert_cmpstr(headers[i].name, !=, "Content-Length");
        g_assert_cmpstr(headers[i].name, !=, "Connection");
    }
}

static void
on_head(void *data, int status, const char *content_type)
{
    (void)data, (void)status, (void)content_type;
}

static void
on_data(void *data, const char *bytes, size_t length)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    g_string_append_len(result->body, bytes, (gssize)length);
    pthread_mutex_unlock(&result->lock);
}

static void
on_end(void *data, const struct ch_call_result *end)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->end = *end;
    signal_done(result);
}

static const struct ch_call_handlers handlers = {
    .on_headers = on_headers,
    .on_response = on_head,
    .on_data = on_data,
    .on_end = on_end,
};

static void
test_worker_calls(void)
{
    static const struct ch_http_header forwarded[] = {
        {"Host", "a.example"},
        {"Request-Id", "r7"},
        {"X-Mine", "1"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(worker_rows); i++) {
        const char *responses[2] = {worker_rows[i].response, NULL};
        struct server server;
        struct result result;
        struct ch_client client;
        client_init(&client);
        server_start(&server, responses);
        struct ch_http *http = ch_http_new(&client);
        const struct ch_host host = {
            .name = "i-1",
            .kind = CH_HOST_ENGINE,
            .address = g_strdup_printf("127.0.0.1:%d", server.port),
        };
        struct ch_upstream *worker =
            platform_worker_new(&client, http, &host, CALL_LIMIT_US);
        const struct ch_call call = {
            .request_id = "r7",
            .method = "POST",
            .path = "/x/1?a=b",
            .body = "hello",
            .body_length = 5,
            .may_repeat = worker_rows[i].may_repeat,
            .headers = forwarded,
            .header_count = G_N_ELEMENTS(forwarded),
            .priority = 12,
            .remaining_time = 500000,
            .last_event_id = "4",
            .connect_timeout = CALL_LIMIT_US,
            .first_byte_timeout = CALL_LIMIT_US,
            .stall_timeout = CALL_LIMIT_US,
        };
        g_test_message("%s", worker_rows[i].description);
        result_init(&result);
        worker->ops->call(worker, &call, &handlers, &result);
        wait_done(&result);
        ch_http_free(http);
        server_join(&server);
        g_assert_cmpint(result.end.code, ==, worker_rows[i].code);
        g_assert_cmpint(result.end.may_have_run, ==,
                        worker_rows[i].may_have_run);
        g_assert_cmpstr(result.body->str, ==, worker_rows[i].expected_body);
        static const char *const lines[] = {"POST /x/1?a=b HTTP/1.1\r\n",
                                            "\r\nHost: a.example\r\n",
                                            "\r\nExpect-Instance: i-1\r\n",
                                            "\r\nDeadline-Ms: 500\r\n",
                                            "\r\nRequest-Priority: 9\r\n",
                                            "\r\nLast-Event-Id: 4\r\n",
                                            "\r\nX-Mine: 1\r\n",
                                            "\r\n\r\nhello"};
        for (size_t j = 0; j < G_N_ELEMENTS(lines); j++) {
            g_assert_nonnull(strstr(server.requests->str, lines[j]));
        }
        worker->ops->free(worker);
        ch_metrics_free(client.metrics);
        g_free(host.address);
        g_string_free(server.requests, TRUE);
        result_clear(&result);
    }
}

/* ---- orders ---- */

static void
record_order_result(void *data, enum ch_code code)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->code = code;
    signal_done(result);
}

/* The result code for each response to an order: accepted, already done,
 * refused, stale fencing token, wrong worker, or outcome unknown. */
static void
test_order_responses(void)
{
    static const struct {
        const char *response;
        enum ch_code code;
    } orders[] = {
        {"HTTP/1.1 202 Yes\r\nContent-Length: 0\r\n\r\n", CH_OK},
        {"HTTP/1.1 200 Yes\r\nContent-Length: 0\r\n\r\n", CH_ORDER_HOLDS},
        {"HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n", CH_UPSTREAM_REFUSED},
        {"HTTP/1.1 412 No\r\nContent-Length: 0\r\n\r\n", CH_STALE_FENCE},
        {"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", CH_NO_UPSTREAM},
        {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", CH_UPSTREAM_ANSWER},
        {"", CH_UPSTREAM_CUT},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        const char *responses[2] = {orders[i].response, NULL};
        struct server server;
        struct result result;
        struct ch_client client;
        client_init(&client);
        server_start(&server, responses);
        struct ch_http *http = ch_http_new(&client);
        const struct ch_host host = {
            .name = "i-1",
            .kind = CH_HOST_ENGINE,
            .address = g_strdup_printf("127.0.0.1:%d", server.port),
        };
        struct ch_upstream *worker =
            platform_worker_new(&client, http, &host, CALL_LIMIT_US);
        const struct ch_order order = {
            .fencing_token = 41,
            .action = CH_ORDER_LOAD,
            .model = "m1",
            .adapter = "a3",
            .expected_orders_taken = 2,
        };
        result_init(&result);
        worker->ops->send_order(worker, &order, record_order_result, &result);
        wait_done(&result);
        ch_http_free(http);
        server_join(&server);
        g_assert_cmpint(result.code, ==, orders[i].code);
        g_assert_nonnull(strstr(
            server.requests->str,
            "{\"operation\":\"load\",\"model\":\"m1\",\"adapter\":\"a3\","
            "\"precondition\":2,\"holder\":\"n1\",\"fencing_token\":41}"));
        worker->ops->free(worker);
        ch_metrics_free(client.metrics);
        g_free(host.address);
        g_string_free(server.requests, TRUE);
        result_clear(&result);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/silent-watch", test_silent_watch);
    g_test_add_func("/store/calls", test_store_calls);
    g_test_add_func("/store/eras", test_store_eras);
    g_test_add_func("/store/worker", test_worker_calls);
    g_test_add_func("/store/orders", test_order_responses);
    return g_test_run();
}
