/*
 * The callers' listener with a platform's dialect: requests that two readers
 * would take apart in different ways, and what callers are told.  The router
 * is a fake one that refuses all, and counts.
 */

#include "node/front.h"
#include "node/listener.h"
#include "threaded/fake_crashes.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The other parts of the node. */
struct ch_config_keeper {
    struct ch_config *config;
};

static struct {
    struct ch_router router;
    struct ch_config_keeper keeper;
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    pthread_mutex_t lock;
    unsigned asked; /* requests that came to the router */
} world;

struct ch_config *
ch_config_keeper_current(struct ch_config_keeper *keeper)
{
    return keeper->config == NULL ? NULL : ch_config_ref(keeper->config);
}

char **
ch_peers_live(struct ch_peers *peers)
{
    (void)peers;
    return g_strdupv((char *[]){"alone", NULL});
}

void
ch_once_keeper_begin(struct ch_once_keeper *keeper, const char *caller,
                     const char *key, uint64_t fingerprint,
                     void (*done)(void *data,
                                  const struct ch_once_answer *answer),
                     void *data)
{
    (void)keeper, (void)caller, (void)key, (void)fingerprint;
    (void)done, (void)data;
    g_assert_not_reached();
}

void
ch_once_keeper_finish(struct ch_once_keeper *keeper, const char *caller,
                      const char *key, uint64_t attempt, bool not_run,
                      int status, const char *content_type, const void *body,
                      size_t length, void (*done)(void *data, bool kept),
                      void *data)
{
    (void)keeper, (void)caller, (void)key, (void)attempt, (void)not_run;
    (void)status, (void)content_type, (void)body, (void)length;
    (void)done, (void)data;
    g_assert_not_reached();
}

static uint64_t
fake_request(struct ch_router *router, const struct ch_request_info *work,
             const GArray *excluded, const struct ch_router_handlers *handlers,
             void *data)
{
    (void)router, (void)work, (void)excluded;
    pthread_mutex_lock(&world.lock);
    world.asked++;
    pthread_mutex_unlock(&world.lock);
    handlers->refused(data, CH_LATE, INT64_C(700) * 1000, "full");
    return 0;
}

static bool
fake_ready(struct ch_router *router)
{
    (void)router;
    return true;
}

static bool
fake_read(const struct ch_http_header *headers, size_t count,
          struct ch_request_input *input, struct ch_fault *fault)
{
    (void)fault;
    for (size_t i = 0; i < count; i++) {
        if (g_ascii_strcasecmp(headers[i].name, "Host") == 0) {
            input->host = headers[i].value;
        }
        if (g_ascii_strcasecmp(headers[i].name, "Id") == 0) {
            input->request_id = headers[i].value;
        }
    }
    return true;
}

static const struct ch_dialect dialect = {
    .request_id_header = "Id",
    .read_headers = fake_read,
};

/* A configuration with one plain service at /x/. */
static struct ch_config *
make_config(void)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration = ch_declaration_parse(
        "[class c]\nhost = h\npath = /x/\nshares = s:1\nanswer-ms = 1000\n"
        "[service s]\n",
        "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    return ch_config_new(1, "t", "a", declaration);
}

static void
drop_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
start(struct ch_config *config)
{
    static const struct ch_router_ops ops = {
        .request = fake_request,
        .ready = fake_ready,
    };
    struct ch_error error = {0};
    pthread_mutex_init(&world.lock, NULL);
    ch_client_init(&world.client, "n1");
    world.client.log_write = drop_line;
    world.client.metrics = ch_metrics_new();
    world.router.ops = &ops;
    world.keeper.config = config;
    world.settings = (struct ch_settings){
        .name = "n1",
        .callers = "127.0.0.1:0",
        .workers = 2,
        .max_body = 1000,
        .max_headers = 4096,
        .max_connections = 64,
    };
    world.node = (struct ch_node){
        .client = &world.client,
        .dialect = &dialect,
        .settings = &world.settings,
        .router = &world.router,
        .config = &world.keeper,
    };
    world.node.pool = ch_pool_new(2);
    world.node.timers = ch_timers_new(world.node.pool);
    world.node.front = ch_front_new(&world.node, &error);
    g_assert_cmpstr(error.message, ==, "");
    world.asked = 0;
}

static void
stop(void)
{
    ch_front_stop(world.node.front);
    ch_timers_stop(world.node.timers);
    ch_pool_free(world.node.pool);
    ch_timers_free(world.node.timers);
    ch_front_free(world.node.front);
    ch_metrics_free(world.client.metrics);
    ch_config_unref(world.keeper.config);
}

/* Sends bytes, and what comes back until the connection closes or nothing more
 * comes. */
static char *
exchange(const char *bytes, size_t length)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port =
            htons((uint16_t)ch_listener_port(world.node.front->listener)),
    };
    struct timeval patience = {.tv_usec = 400000L};
    GString *got = g_string_new(NULL);
    char part[4096];
    ssize_t count = 0;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(send(fd, bytes, length, MSG_NOSIGNAL), ==,
                    (ssize_t)length);
    while ((count = recv(fd, part, sizeof(part), 0)) > 0) {
        g_string_append_len(got, part, count);
    }
    close(fd);
    return g_string_free(got, FALSE);
}

#define HEAD "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: i1\r\n"
#define INNER "POST /x/2 HTTP/1.1\r\nHost: h\r\nId: i2\r\n\r\n"

/*
 * What the caller sees: 400 or a closed connection.  Order: a request whose
 * body's end can be read in two ways, and another hidden in it.  Why: whoever
 * stands before this node may see one request where the node sees two; the
 * second would run under nobody's name.
 */
static const struct {
    const char *what;
    const char *bytes;
} smuggled[] = {
    {"a length and chunks", HEAD
     "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" INNER},
    {"chunks and a length", HEAD
     "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" INNER},
    {"two lengths",
     HEAD "Content-Length: 0\r\nContent-Length: 44\r\n\r\n" INNER},
    {"the same length twice",
     HEAD "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" INNER},
    {"two lengths in one header", HEAD "Content-Length: 0, 44\r\n\r\n" INNER},
    {"a length with a sign", HEAD "Content-Length: +0\r\n\r\n" INNER},
    {"a length that is none", HEAD "Content-Length: 0x0\r\n\r\n" INNER},
    {"two codings",
     HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
          "0\r\n\r\n" INNER},
    {"codings in a list",
     HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" INNER},
    {"a coding that is none",
     HEAD "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" INNER},
    {"another coding", HEAD "Transfer-Encoding: identity\r\n\r\n" INNER},
    {"a blank before the colon",
     HEAD "Content-Length : 0\r\nContent-Length: 44\r\n\r\n" INNER},
    {"a control byte in a value", HEAD "X: a\001b\r\n\r\n" INNER},
    {"a bare CR in a value", HEAD "X: a\rContent-Length: 44\r\n\r\n" INNER},
    {"a blank in a name", HEAD "X Y: a\r\n\r\n" INNER},
    {"an empty coding", HEAD "Transfer-Encoding: \r\n\r\n" INNER},
};

/* How often the router was asked since the last time. */
static unsigned
take_asked(void)
{
    pthread_mutex_lock(&world.lock);
    unsigned asked = world.asked;
    world.asked = 0;
    pthread_mutex_unlock(&world.lock);
    return asked;
}

static void
test_smuggled(void)
{
    start(make_config());
    for (size_t i = 0; i < G_N_ELEMENTS(smuggled); i++) {
        g_autofree char *got =
            exchange(smuggled[i].bytes, strlen(smuggled[i].bytes));
        unsigned asked = take_asked();
        g_test_message("%s: %.12s, %u asked", smuggled[i].what, got, asked);
        g_assert_cmpuint(asked, ==, 0);
        g_assert_true(got[0] == '\0' || g_str_has_prefix(got, "HTTP/1.1 400"));
        g_assert_null(strstr(got, "i2"));
    }
    stop();
}

/* What callers are told, and whether the router was asked. */
static const struct {
    const char *what;
    const char *bytes;
    const char *status;
    const char *with; /* stands in the answer */
    unsigned asked;
} answers[] = {
    {"a refusal, with when to come back", HEAD "Content-Length: 0\r\n\r\n",
     "HTTP/1.1 503", "Retry-After: 0.70", 1},
    {"the caller's own id goes back", HEAD "Content-Length: 0\r\n\r\n",
     "HTTP/1.1 503", "Id: i1", 1},
    {"two on one connection",
     HEAD "Content-Length: 0\r\n\r\n" HEAD "Content-Length: 2\r\n\r\nab",
     "HTTP/1.1 503", "Id: i1", 2},
    {"a body in chunks",
     HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
     "HTTP/1.1 503", "Id: i1", 1},
    {"a path that nobody takes",
     "GET /z/ HTTP/1.1\r\nHost: h\r\nId: i1\r\n\r\n", "HTTP/1.1 404", "Id: i1",
     0},
    {"no id", "GET /x/1 HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400", "no id",
     0},
    {"a body over the limit", HEAD "Content-Length: 1001\r\n\r\n",
     "HTTP/1.1 413", "Id: ", 0},
};

static void
test_answers(void)
{
    start(make_config());
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        g_autofree char *got =
            exchange(answers[i].bytes, strlen(answers[i].bytes));
        g_test_message("%s: %s", answers[i].what, got);
        g_assert_true(g_str_has_prefix(got, answers[i].status));
        g_assert_nonnull(strstr(got, answers[i].with));
        g_assert_cmpuint(take_asked(), ==, answers[i].asked);
    }
    stop();
}

/* A node that knows no configuration yet says 503, never 404: what it does not
 * know may be there. */
static void
test_no_config(void)
{
    start(NULL);
    g_autofree char *got = exchange(HEAD "Content-Length: 0\r\n\r\n",
                                    strlen(HEAD "Content-Length: 0\r\n\r\n"));
    g_assert_true(g_str_has_prefix(got, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(got, "Retry-After: "));
    stop();
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/front/smuggled", test_smuggled);
    g_test_add_func("/front/answers", test_answers);
    g_test_add_func("/front/no-config", test_no_config);
    return g_test_run();
}
