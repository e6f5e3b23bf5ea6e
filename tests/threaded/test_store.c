/* The clients of the users' store and workers against a server that answers as
 * each row says. */

#include "fleet.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    LIMIT = 400 * 1000,
};

/* Answers connections one after another, the first with the first text; an
 * empty one closes without a byte.  Keeps what was asked. */
struct server {
    int listener;
    int port;
    pthread_t thread;
    const char *const *answers;
    GString *asked;
    int held; /* a connection that stays open without an answer; 0: none */
};

/* In place of an answer: the connection falls silent. */
static const char silence[] = "silence";

/* An answer that comes in pieces, together longer than the limit of a call. */
static const char slow_answer[] =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
    "{\"key\":\"k\",\"value\":\"YWI=\",\"revision\":4}";

enum {
    PIECES = 4,
};

/* Reads up to the end of a request with its stated body. */
static void
read_request(struct server *server, int fd)
{
    char bytes[4096];
    size_t begin = server->asked->len;
    for (;;) {
        const char *text = server->asked->str + begin;
        const char *end = strstr(text, "\r\n\r\n");
        const char *field = strstr(text, "Content-Length: ");
        size_t body = field == NULL ? 0 : strtoul(field + 16, NULL, 10);
        if (end != NULL &&
            server->asked->len - begin >= (size_t)(end + 4 - text) + body) {
            g_string_append_c(server->asked, '\n');
            return;
        }
        ssize_t got = recv(fd, bytes, sizeof(bytes), 0);
        if (got <= 0) {
            return;
        }
        g_string_append_len(server->asked, bytes, got);
    }
}

/* Sends an answer piece by piece, each well within the limit of a call after
 * the one before. */
static void
send_slowly(int fd, const char *answer)
{
    size_t length = strlen(answer);
    for (size_t i = 0; i < PIECES; i++) {
        size_t from = length * i / PIECES;
        size_t to = length * (i + 1) / PIECES;
        ssize_t sent = send(fd, answer + from, to - from, MSG_NOSIGNAL);
        (void)sent;
        g_usleep(LIMIT / 2);
    }
}

static void *
run_server(void *data)
{
    struct server *server = data;
    for (size_t i = 0; server->answers[i] != NULL; i++) {
        int fd = accept(server->listener, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        read_request(server, fd);
        if (server->answers[i] == silence) {
            server->held = fd;
            continue;
        }
        if (server->answers[i] == slow_answer) {
            send_slowly(fd, slow_answer);
        }
        else {
            ssize_t sent = send(fd, server->answers[i],
                                strlen(server->answers[i]), MSG_NOSIGNAL);
            (void)sent;
        }
        close(fd);
    }
    return NULL;
}

static void
server_start(struct server *server, const char *const *answers)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t length = sizeof(address);
    *server = (struct server){
        .listener = socket(AF_INET, SOCK_STREAM, 0),
        .answers = answers,
        .asked = g_string_new(NULL),
    };
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, length), ==, 0);
    g_assert_cmpint(listen(server->listener, 8), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, run_server, server);
}

/* Joins the thread: what was asked may be looked at. */
static void
server_join(struct server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    if (server->held > 0) {
        close(server->held);
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
    struct ch_call_end end;
    GString *passed;
};

static void
result_init(struct result *result)
{
    *result = (struct result){.passed = g_string_new(NULL)};
    pthread_mutex_init(&result->lock, NULL);
    pthread_cond_init(&result->changed, NULL);
}

static void
finish(struct result *result)
{
    result->done = true;
    pthread_cond_signal(&result->changed);
    pthread_mutex_unlock(&result->lock);
}

static void
answered(void *data, const struct ch_kv_answer *answer)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->code = answer->code;
    result->revision = answer->revision;
    result->value = answer->value == NULL
                        ? NULL
                        : g_strndup(answer->value, answer->length);
    finish(result);
}

static void
ranged(void *data, const struct ch_kv_range *range)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->code = range->code;
    result->revision = range->at;
    result->count = range->count;
    finish(result);
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
    g_string_free(result->passed, TRUE);
}

/* ---- the store ---- */

#define OK_JSON(body) "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" body
#define CONFIG                                                                \
    "{\"key\":\"op/config\",\"value\":"                                       \
    "\"eyJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119\",\"revision\":9,\"at\":12}"

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
 * What the node is told of the store.  A write that got no plain yes or no may
 * have taken effect, and is told as such; a range with a page missing is none,
 * as what is left out would look removed.
 */
static const struct {
    const char *what;
    const char *answers[3];
    enum call call;
    enum ch_code code;
    uint64_t revision;
    size_t count;
    const char *asked;
} rows[] = {
    {"a value",
     {OK_JSON("{\"key\":\"k\",\"value\":\"YWI=\",\"revision\":4}")},
     GET,
     CH_OK,
     4,
     0,
     "GET /api/kv-key?key=k "},
    {"a value that comes slowly, but comes",
     {slow_answer},
     GET,
     CH_OK,
     4,
     0,
     NULL},
    {"no value",
     {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"},
     GET,
     CH_KV_MISSING,
     0,
     0,
     NULL},
    {"turned away",
     {"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"},
     GET,
     CH_KV_UNREACHABLE,
     0,
     0,
     NULL},
    {"the answer is lost", {""}, GET, CH_KV_UNREACHABLE, 0, 0, NULL},
    {"another shape",
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
    {"its history is gone: what is there now is read",
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
    {"a write that was late",
     {"HTTP/1.1 412 No\r\nConnection: close\r\n\r\n"
      "{\"items\":[{\"key\":\"k\",\"revision\":8}]}"},
     PUT,
     CH_KV_CONFLICT,
     8,
     0,
     NULL},
    {"a write that was turned away",
     {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"},
     PUT,
     CH_KV_UNREACHABLE,
     0,
     0,
     NULL},
    {"a write whose answer is lost", {""}, PUT, CH_KV_AMBIGUOUS, 0, 0, NULL},
    {"a write with half an answer",
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
     77,
     0,
     "{\"ttl_ms\":3000}"},
    {"a lease that has ended",
     {"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"},
     RENEW,
     CH_KV_MISSING,
     0,
     0,
     "POST /api/kv-keep/77 "},
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

/* Makes a row's call. */
static void
make_call(struct ch_kv *kv, enum call call, struct result *result)
{
    switch (call) {
    case GET:
        kv->ops->get(kv, "k", answered, result);
        return;
    case GET_CONFIG:
        kv->ops->get(kv, "config/current", answered, result);
        return;
    case WATCH_CONFIG:
        kv->ops->watch(kv, "config/current", 9, 100000, answered, result);
        return;
    case PUT:
        kv->ops->put(kv, "k", "v", 1, 3, answered, result);
        return;
    case LEASE:
        kv->ops->lease(kv, 3000000, answered, result);
        return;
    case RENEW:
        kv->ops->renew(kv, 77, answered, result);
        return;
    case RANGE:
        kv->ops->range(kv, "p/", ranged, result);
        return;
    default:
        kv->ops->changes(kv, "p/", 20, 100000, ranged, result);
        return;
    }
}

static void
drop_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
client_init(struct ch_client *client)
{
    ch_client_init(client, "n1");
    client->log_write = drop_line;
    client->metrics = ch_metrics_new();
}

static void
test_store(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const char *answers[4] = {rows[i].answers[0], rows[i].answers[1],
                                  rows[i].answers[2], NULL};
        struct server server;
        struct result result;
        struct ch_client client;
        client_init(&client);
        server_start(&server, answers);
        struct ch_http *http = ch_http_new(&client);
        g_autofree char *address =
            g_strdup_printf("127.0.0.1:%d", server.port);
        struct ch_kv *kv = platform_store_new(&client, http, address, LIMIT);
        g_test_message("%s", rows[i].what);
        if (rows[i].call == WATCH_CONFIG) {
            /* The watch goes on from where the configuration was read. */
            result_init(&result);
            make_call(kv, GET_CONFIG, &result);
            wait_done(&result);
            result_clear(&result);
        }
        result_init(&result);
        make_call(kv, rows[i].call, &result);
        wait_done(&result);
        g_assert_cmpint(result.code, ==, rows[i].code);
        g_assert_cmpuint(result.revision, ==, rows[i].revision);
        g_assert_cmpuint(result.count, ==, rows[i].count);
        ch_http_free(http);
        server_join(&server);
        if (rows[i].asked != NULL) {
            g_assert_nonnull(strstr(server.asked->str, rows[i].asked));
        }
        if (rows[i].call == GET_CONFIG) {
            g_assert_cmpstr(result.value, ==,
                            "{\"routes\":[],\"services\":[]}");
        }
        kv->ops->free(kv);
        ch_metrics_free(client.metrics);
        g_string_free(server.asked, TRUE);
        result_clear(&result);
    }
}

/*
 * An accepted configuration is in force nowhere for sixteen seconds: the
 * connections of all nodes that watched the store had fallen silent just
 * before, and each watch was given up only with its long wait and the limit of
 * a call after it.  A watch that is not answered soon after its wait is over
 * has lost its connection.  And the configuration is read before it is watched
 * again: the store may have dropped what a watch from there would bring.
 */
static void
test_silent_watch(void)
{
    const char *answers[] = {OK_JSON(CONFIG), silence, OK_JSON(CONFIG), NULL};
    struct server server;
    struct result result;
    struct ch_client client;
    client_init(&client);
    server_start(&server, answers);
    struct ch_http *http = ch_http_new(&client);
    g_autofree char *address = g_strdup_printf("127.0.0.1:%d", server.port);
    struct ch_kv *kv = platform_store_new(&client, http, address, 4000000L);
    result_init(&result);
    make_call(kv, GET_CONFIG, &result);
    wait_done(&result);
    result_clear(&result);
    result_init(&result);
    int64_t began = g_get_monotonic_time();
    make_call(kv, WATCH_CONFIG, &result);
    wait_done(&result);
    g_assert_cmpint(result.code, ==, CH_KV_UNREACHABLE);
    g_assert_cmpint(g_get_monotonic_time() - began, <, 2000000);
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
    g_string_free(server.asked, TRUE);
    result_clear(&result);
}

/* ---- a worker ---- */

#define ANSWER(status, id, more, body)                                        \
    "HTTP/1.1 " status "\r\nRequest-Id: " id "\r\n" more                      \
    "Content-Length: 2\r\n\r\n" body
#define PROOF "Server-Signature: s\r\n"

/*
 * What a caller may be told of a worker's answer.  "Surely not run" is said
 * only where the worker says so, or no byte went out.
 */
static const struct {
    const char *what;
    const char *answer;
    bool may_repeat;
    bool may_have_run;
    enum ch_code code;
    const char *passed;
} worker_rows[] = {
    {"a whole answer", ANSWER("200 OK", "r7", PROOF, "ab"), true, true, CH_OK,
     "ab"},
    {"without its signature", ANSWER("200 OK", "r7", "", "ab"), true, true,
     CH_UPSTREAM_ANSWER, ""},
    {"to another request", ANSWER("200 OK", "r6", PROOF, "ab"), true, true,
     CH_UPSTREAM_CROSSED, ""},
    {"to nobody", "HTTP/1.1 200 OK\r\n" PROOF "Content-Length: 2\r\n\r\nab",
     true, true, CH_UPSTREAM_CROSSED, ""},
    {"cut short",
     "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n" PROOF
     "Content-Length: 9\r\n\r\nab",
     true, true, CH_UPSTREAM_CUT, "ab"},
    {"without a length, ended by its connection",
     "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n" PROOF "\r\nab", true, true, CH_OK,
     "ab"},
    {"it is full", ANSWER("503 Full", "r7", "Not-Executed: 1\r\n", "no"), true,
     false, CH_UPSTREAM_REFUSED, ""},
    {"another worker has the address", ANSWER("421 No", "r7", "", "no"), true,
     false, CH_UPSTREAM_REFUSED, ""},
    {"503 without a word on what ran", ANSWER("503 No", "r7", PROOF, "no"),
     true, true, CH_UPSTREAM_ANSWER, ""},
    {"429 without a word, of what may not be repeated",
     ANSWER("429 No", "r7", PROOF, "no"), false, true, CH_UPSTREAM_ANSWER, ""},
    {"it failed what may be repeated: its word is passed on",
     ANSWER("500 No", "r7", PROOF, "no"), true, true, CH_OK, "no"},
    {"it failed what may not: its word is passed on",
     ANSWER("500 No", "r7", PROOF, "no"), false, true, CH_OK, "no"},
    {"no answer", "", true, true, CH_UPSTREAM_CUT, ""},
    {"no HTTP", "hello\r\n\r\n", true, true, CH_UPSTREAM_ANSWER, ""},
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
    g_string_append_len(result->passed, bytes, (gssize)length);
    pthread_mutex_unlock(&result->lock);
}

static void
on_end(void *data, const struct ch_call_end *end)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->end = *end;
    finish(result);
}

static const struct ch_call_handlers handlers = {
    .on_headers = on_headers,
    .on_head = on_head,
    .on_data = on_data,
    .on_end = on_end,
};

static void
test_worker(void)
{
    static const struct ch_http_header passed[] = {
        {"Host", "a.example"},
        {"Request-Id", "r7"},
        {"X-Mine", "1"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(worker_rows); i++) {
        const char *answers[2] = {worker_rows[i].answer, NULL};
        struct server server;
        struct result result;
        struct ch_client client;
        client_init(&client);
        server_start(&server, answers);
        struct ch_http *http = ch_http_new(&client);
        const struct ch_host host = {
            .name = "i-1",
            .kind = CH_HOST_ENGINE,
            .address = g_strdup_printf("127.0.0.1:%d", server.port),
        };
        struct ch_upstream *worker =
            platform_worker_new(&client, http, &host, LIMIT);
        const struct ch_call call = {
            .request_id = "r7",
            .method = "POST",
            .path = "/x/1?a=b",
            .body = "hello",
            .body_length = 5,
            .may_repeat = worker_rows[i].may_repeat,
            .headers = passed,
            .header_count = G_N_ELEMENTS(passed),
            .priority = 12,
            .time_left = 500000,
            .resume_id = "4",
            .connect_limit = LIMIT,
            .first_byte_limit = LIMIT,
            .stall_limit = LIMIT,
        };
        g_test_message("%s", worker_rows[i].what);
        result_init(&result);
        worker->ops->call(worker, &call, &handlers, &result);
        wait_done(&result);
        ch_http_free(http);
        server_join(&server);
        g_assert_cmpint(result.end.code, ==, worker_rows[i].code);
        g_assert_cmpint(result.end.may_have_run, ==,
                        worker_rows[i].may_have_run);
        g_assert_cmpstr(result.passed->str, ==, worker_rows[i].passed);
        static const char *const lines[] = {"POST /x/1?a=b HTTP/1.1\r\n",
                                            "\r\nHost: a.example\r\n",
                                            "\r\nExpect-Instance: i-1\r\n",
                                            "\r\nDeadline-Ms: 500\r\n",
                                            "\r\nRequest-Priority: 9\r\n",
                                            "\r\nLast-Event-Id: 4\r\n",
                                            "\r\nX-Mine: 1\r\n",
                                            "\r\n\r\nhello"};
        for (size_t j = 0; j < G_N_ELEMENTS(lines); j++) {
            g_assert_nonnull(strstr(server.asked->str, lines[j]));
        }
        worker->ops->free(worker);
        ch_metrics_free(client.metrics);
        g_free(host.address);
        g_string_free(server.asked, TRUE);
        result_clear(&result);
    }
}

/* ---- orders ---- */

static void
order_done(void *data, enum ch_code code)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->code = code;
    finish(result);
}

/* What a worker's answer to an order means: whether it was taken, done, kept
 * out by another, or may act yet. */
static void
test_orders(void)
{
    static const struct {
        const char *answer;
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
        const char *answers[2] = {orders[i].answer, NULL};
        struct server server;
        struct result result;
        struct ch_client client;
        client_init(&client);
        server_start(&server, answers);
        struct ch_http *http = ch_http_new(&client);
        const struct ch_host host = {
            .name = "i-1",
            .kind = CH_HOST_ENGINE,
            .address = g_strdup_printf("127.0.0.1:%d", server.port),
        };
        struct ch_upstream *worker =
            platform_worker_new(&client, http, &host, LIMIT);
        const struct ch_order order = {
            .fence = 41,
            .action = CH_ORDER_LOAD,
            .model = "m1",
            .adapter = "a3",
            .expected = 2,
        };
        result_init(&result);
        worker->ops->order(worker, &order, order_done, &result);
        wait_done(&result);
        ch_http_free(http);
        server_join(&server);
        g_assert_cmpint(result.code, ==, orders[i].code);
        g_assert_nonnull(strstr(
            server.asked->str,
            "{\"operation\":\"load\",\"model\":\"m1\",\"adapter\":\"a3\","
            "\"precondition\":2,\"holder\":\"n1\",\"fencing_token\":41}"));
        worker->ops->free(worker);
        ch_metrics_free(client.metrics);
        g_free(host.address);
        g_string_free(server.asked, TRUE);
        result_clear(&result);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/silent-watch", test_silent_watch);
    g_test_add_func("/store/calls", test_store);
    g_test_add_func("/store/worker", test_worker);
    g_test_add_func("/store/orders", test_orders);
    return g_test_run();
}
