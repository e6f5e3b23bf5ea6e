/* Upstreams that send bytes without end. */

#include "platform_dialect.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    STALL_US = 500 * 1000, /* the call's own time-outs */
    /* Until a call without a deadline must have ended. */
    MAX_CALL_MS = 12 * 1000,
    /* That an upstream can send before its connection is closed, the buffers
     * of both ends included. */
    MAX_KB = 8 * 1024,
    MANY_CALLS = 100,
    DRIP_US = 100 * 1000,
};

#define HEAD "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nServer-Signature: s\r\n"

static const struct endless_case {
    const char *name;
    const char *begin;
    const char *repeated;
    int64_t pause; /* between two, microseconds */
    unsigned calls;
} cases[] = {
    {"header lines", HEAD, "X-More: 0123456789\r\n", 0, 1},
    {"header lines, many calls", HEAD, "X-More: 0123456789\r\n", 0,
     MANY_CALLS},
    {"header lines, slowly", HEAD, "X-More: 0\r\n", DRIP_US, 1},
    {"a header line", HEAD "X-More: ", "0123456789", 0, 1},
    {"a status line", "HTTP/1.1 200 ", "0123456789", 0, 1},
    {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, 1},
    {"interim responses, slowly", "", "HTTP/1.1 103 Early Hints\r\n\r\n",
     DRIP_US, 1},
    {"bytes before a status line", "", "0123456789", 0, 1},
    {"a chunk's size line", HEAD "Transfer-Encoding: chunked\r\n\r\n", "0", 0,
     1},
    {"a chunk's extension",
     HEAD "Transfer-Encoding: chunked\r\n\r\n5;a=", "0123456789", 0, 1},
    {"trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
     "X-More: 0123456789\r\n", 0, 1},
    {"a line of an event",
     HEAD "Content-Type: text/event-stream\r\n\r\ndata:", "0123456789", 0, 1},
};

/* ---- the upstream ---- */

struct server {
    const struct endless_case *row;
    int listener;
    int port;
    pthread_t thread;
    GPtrArray *threads; /* GThread */
    gint sent_kb;       /* atomic */
};

struct connection {
    struct server *server;
    int fd;
};

static gpointer
send_without_end(gpointer data)
{
    struct connection *connection = data;
    const struct endless_case *row = connection->server->row;
    GString *text = g_string_new(NULL);
    char request[4096];
    (void)recv(connection->fd, request, sizeof(request), 0);
    ssize_t sent =
        send(connection->fd, row->begin, strlen(row->begin), MSG_NOSIGNAL);
    while (text->len < (row->pause > 0 ? 1 : 8192)) {
        g_string_append(text, row->repeated);
    }
    size_t total = 0;
    while (sent >= 0 && total < (size_t)4 * MAX_KB * 1024) {
        sent = send(connection->fd, text->str, text->len, MSG_NOSIGNAL);
        total += sent > 0 ? (size_t)sent : 0;
        if (row->pause > 0) {
            g_usleep((gulong)row->pause);
        }
    }
    (void)g_atomic_int_add(&connection->server->sent_kb, (gint)(total / 1024));
    close(connection->fd);
    g_string_free(text, TRUE);
    g_free(connection);
    return NULL;
}

static void *
accept_all(void *data)
{
    struct server *server = data;
    int fd = 0;
    while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
        struct connection *connection = g_new(struct connection, 1);
        *connection = (struct connection){server, fd};
        g_ptr_array_add(
            server->threads,
            g_thread_new("upstream", send_without_end, connection));
    }
    return NULL;
}

static void
server_start(struct server *server, const struct endless_case *row)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    *server = (struct server){.row = row, .threads = g_ptr_array_new()};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(server->listener, MANY_CALLS), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
    pthread_create(&server->thread, NULL, accept_all, server);
}

static void
server_join(struct server *server)
{
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(server->thread, NULL);
    close(server->listener);
    for (guint i = 0; i < server->threads->len; i++) {
        (void)g_thread_join(g_ptr_array_index(server->threads, i));
    }
    g_ptr_array_free(server->threads, TRUE);
}

/* ---- the calls ---- */

struct result {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned ended;
    unsigned wrong; /* taken for whole, or for not run */
};

static void
on_head(void *data, int status, const char *content_type)
{
    (void)data, (void)status, (void)content_type;
}

static void
on_data(void *data, const char *bytes, size_t length)
{
    (void)data, (void)bytes, (void)length;
}

static bool
on_stall(void *data)
{
    (void)data;
    return false;
}

static void
on_end(void *data, const struct ch_call_result *end)
{
    struct result *result = data;
    pthread_mutex_lock(&result->lock);
    result->ended++;
    result->wrong += end->code == CH_OK || !end->may_have_run;
    pthread_cond_signal(&result->changed);
    pthread_mutex_unlock(&result->lock);
}

static void
discard_log_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

/* Guards against a call that never ends, or takes memory without bound, as its
 * upstream goes on sending: each byte restarts the time-out between two. */
static void
test_endless(gconstpointer data)
{
    const struct endless_case *row = data;
    static const struct ch_call_handlers handlers = {
        .on_response = on_head,
        .on_data = on_data,
        .on_stall = on_stall,
        .on_end = on_end,
    };
    const struct ch_call call = {
        .request_id = "r7",
        .method = "POST",
        .path = "/fit/",
        .body = "{}",
        .body_length = 2,
        .stream = true,
        .connect_timeout = STALL_US,
        .first_byte_timeout = STALL_US,
        .stall_timeout = STALL_US,
    };
    struct server server;
    struct ch_client client;
    struct result result = {.ended = 0};
    pthread_mutex_init(&result.lock, NULL);
    pthread_cond_init(&result.changed, NULL);
    ch_client_init(&client, "test");
    client.log_write = discard_log_line;
    client.metrics = ch_metrics_new();
    server_start(&server, row);
    g_autofree char *address = g_strdup_printf("127.0.0.1:%d", server.port);
    struct ch_host host = {
        .name = (char *)"w1", .kind = CH_HOST_ENGINE, .address = address};
    struct ch_http *http = ch_http_new(&client);
    struct ch_upstream *upstream =
        platform_worker_new(&client, http, &host, STALL_US);
    int64_t begun = g_get_monotonic_time();
    for (unsigned i = 0; i < row->calls; i++) {
        upstream->ops->call(upstream, &call, &handlers, &result);
    }
    struct timespec end;
    clock_gettime(CLOCK_REALTIME, &end);
    end.tv_sec += MAX_CALL_MS / 1000;
    pthread_mutex_lock(&result.lock);
    int waited = 0;
    while (result.ended < row->calls && waited == 0) {
        waited = pthread_cond_timedwait(&result.changed, &result.lock, &end);
    }
    unsigned ended = result.ended;
    pthread_mutex_unlock(&result.lock);
    int64_t took = (g_get_monotonic_time() - begun) / 1000;
    ch_http_free(http);
    upstream->ops->free(upstream);
    server_join(&server);
    ch_metrics_free(client.metrics);
    g_print("figure: %s: %u of %u calls ended, %" G_GINT64_FORMAT
            " ms, %d KB sent\n",
            row->name, ended, row->calls, took, server.sent_kb);
    g_assert_cmpuint(ended, ==, row->calls);
    g_assert_cmpuint(result.wrong, ==, 0);
    g_assert_cmpint(server.sent_kb, <=, (int64_t)row->calls * MAX_KB);
    pthread_mutex_destroy(&result.lock);
    pthread_cond_destroy(&result.changed);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path = g_strconcat("/endless/", cases[i].name, NULL);
        g_test_add_data_func(path, &cases[i], test_endless);
    }
    return g_test_run();
}
