/*
 * Tests the callers' HTTP listener with a platform's dialect: request
 * smuggling, and the responses that callers get. The router is a fake that
 * refuses every request and counts them.
 */

#include "node/frontend.h"
#include "node/listener.h"
#include "threaded/fake_crashes.h"
#include "threaded/fake_limits.h"
#include "threaded/fake_paths.h"
#include "threaded/fake_quota.h"
#include "threaded/fake_streams.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Fakes of the node's other components. */
struct ch_config_manager {
    struct ch_config *config;
};

static struct {
    struct ch_router router;
    struct ch_config_manager manager;
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    pthread_mutex_t lock;
    unsigned router_requests; /* requests that reached the router */
    bool behind;              /* a newer configuration is known */
} world;

struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    return manager->config == NULL ? NULL : ch_config_ref(manager->config);
}

bool
ch_config_manager_is_behind(struct ch_config_manager *manager)
{
    (void)manager;
    pthread_mutex_lock(&world.lock);
    bool behind = world.behind;
    pthread_mutex_unlock(&world.lock);
    return behind;
}

char **
ch_peers_list_live(struct ch_peers *peers)
{
    (void)peers;
    return g_strdupv((char *[]){"alone", NULL});
}

void
ch_once_manager_begin(struct ch_once_manager *manager, const char *caller,
                      const char *key, uint64_t fingerprint,
                      void (*done)(void *data,
                                   const struct ch_once_result *answer),
                      void *data)
{
    (void)manager, (void)caller, (void)key, (void)fingerprint;
    (void)done, (void)data;
    g_assert_not_reached();
}

void
ch_once_manager_finish(struct ch_once_manager *manager, const char *caller,
                       const char *key, uint64_t attempt, bool not_run,
                       int status, const char *content_type, const void *body,
                       size_t length, void (*done)(void *data, bool kept),
                       void *data)
{
    (void)manager, (void)caller, (void)key, (void)attempt, (void)not_run;
    (void)status, (void)content_type, (void)body, (void)length;
    (void)done, (void)data;
    g_assert_not_reached();
}

static uint64_t
fake_request(struct ch_router *router, const struct ch_request_info *info,
             const GArray *excluded, const struct ch_router_handlers *handlers,
             void *data)
{
    (void)router, (void)info, (void)excluded;
    pthread_mutex_lock(&world.lock);
    world.router_requests++;
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
    .key_scheme = "Bearer",
    .read_headers = fake_read,
};

/* A configuration with one plain service, at /x/ and, with a key, at /k/. */
static struct ch_config *
make_config(void)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration = ch_declaration_parse(
        "[class c]\nhost = h\npath = /x/\nshares = s:1\nanswer-ms = 1000\n"
        "public = true\n"
        "[class k]\nhost = h\npath = /k/\nshares = s:1\nanswer-ms = 1000\n"
        "[service s]\n[access]\nrequire-keys = true\n",
        "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    return ch_config_new(1, "t", "a", declaration);
}

static void
discard_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
start(struct ch_config *config)
{
    static const struct ch_router_ops ops = {
        .request = fake_request,
        .is_ready = fake_ready,
    };
    struct ch_error error = {0};
    pthread_mutex_init(&world.lock, NULL);
    ch_client_init(&world.client, "n1");
    world.client.log_write = discard_line;
    world.client.metrics = ch_metrics_new();
    world.router.ops = &ops;
    world.manager.config = config;
    world.settings = (struct ch_settings){
        .name = "n1",
        .callers = "127.0.0.1:0",
        .workers = 2,
        .max_body_bytes = 1000,
        .max_header_bytes = 4096,
        .max_connections = 256,
    };
    world.node = (struct ch_node){
        .client = &world.client,
        .dialect = &dialect,
        .settings = &world.settings,
        .router = &world.router,
        .config = &world.manager,
    };
    world.node.pool = ch_pool_new(2);
    world.node.timers = ch_timers_new(world.node.pool);
    world.node.frontend = ch_frontend_new(&world.node, &error);
    g_assert_cmpstr(error.message, ==, "");
    world.router_requests = 0;
}

static void
stop(void)
{
    ch_frontend_stop(world.node.frontend);
    ch_timers_stop(world.node.timers);
    ch_pool_free(world.node.pool);
    ch_timers_free(world.node.timers);
    ch_frontend_free(world.node.frontend);
    ch_metrics_free(world.client.metrics);
    ch_config_unref(world.manager.config);
}

static int
connect_to_frontend(void)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(
            (uint16_t)ch_listener_get_port(world.node.frontend->listener)),
    };
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

static void
send_all(int fd, const char *bytes, size_t length)
{
    g_assert_cmpint(send(fd, bytes, length, MSG_NOSIGNAL), ==,
                    (ssize_t)length);
}

/* Sends bytes and returns what is received until the connection is closed or
 * nothing more arrives for 0.4 s. */
static char *
exchange(const char *bytes, size_t length)
{
    struct timeval receive_timeout = {.tv_usec = 400000L};
    GString *received = g_string_new(NULL);
    char part[4096];
    ssize_t count = 0;
    int fd = connect_to_frontend();
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
               sizeof(receive_timeout));
    send_all(fd, bytes, length);
    while ((count = recv(fd, part, sizeof(part), 0)) > 0) {
        g_string_append_len(received, part, count);
    }
    close(fd);
    return g_string_free(received, FALSE);
}

#define HEAD "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: i1\r\n"
#define INNER "POST /x/2 HTTP/1.1\r\nHost: h\r\nId: i2\r\n\r\n"

/*
 * Requests whose body can be read as ending at two places, with another
 * request hidden in the body. The listener must answer 400 or close the
 * connection: a proxy before this node may see one request where the node sees
 * two, and the second would run without an identified caller.
 */
static const struct {
    const char *what;
    const char *bytes;
} smuggling_cases[] = {
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

/* The requests that reached the router since the last call. */
static unsigned
take_router_requests(void)
{
    pthread_mutex_lock(&world.lock);
    unsigned router_requests = world.router_requests;
    world.router_requests = 0;
    pthread_mutex_unlock(&world.lock);
    return router_requests;
}

static void
test_smuggling(void)
{
    start(make_config());
    for (size_t i = 0; i < G_N_ELEMENTS(smuggling_cases); i++) {
        g_autofree char *received = exchange(smuggling_cases[i].bytes,
                                             strlen(smuggling_cases[i].bytes));
        unsigned router_requests = take_router_requests();
        g_test_message("%s: %.12s, %u asked", smuggling_cases[i].what,
                       received, router_requests);
        g_assert_cmpuint(router_requests, ==, 0);
        g_assert_true(received[0] == '\0' ||
                      g_str_has_prefix(received, "HTTP/1.1 400"));
        g_assert_null(strstr(received, "i2"));
    }
    stop();
}

/* The responses to callers, and whether the router was asked. */
static const struct {
    const char *what;
    const char *bytes;
    const char *status;
    const char *with; /* part of the response */
    unsigned router_requests;
} responses[] = {
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
test_responses(void)
{
    start(make_config());
    for (size_t i = 0; i < G_N_ELEMENTS(responses); i++) {
        g_autofree char *received =
            exchange(responses[i].bytes, strlen(responses[i].bytes));
        g_test_message("%s: %s", responses[i].what, received);
        g_assert_true(g_str_has_prefix(received, responses[i].status));
        g_assert_nonnull(strstr(received, responses[i].with));
        g_assert_cmpuint(take_router_requests(), ==,
                         responses[i].router_requests);
    }
    stop();
}

static const struct {
    const char *what;
    const char *bytes;
} broken_off_cases[] = {
    {"no body", HEAD "\r\n"},
    {"a length", HEAD "Content-Length: 3\r\n\r\nabc"},
    {"chunks", HEAD "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
};

/* Guards against a request that reaches an upstream as whole though its
 * connection was closed before its last byte. */
static void
test_broken_off(void)
{
    start(make_config());
    for (size_t i = 0; i < G_N_ELEMENTS(broken_off_cases); i++) {
        const char *bytes = broken_off_cases[i].bytes;
        g_test_message("%s", broken_off_cases[i].what);
        for (size_t length = 0; length < strlen(bytes); length++) {
            int fd = connect_to_frontend();
            send_all(fd, bytes, length);
            close(fd);
        }
        g_autofree char *received = exchange(bytes, strlen(bytes));
        g_assert_true(g_str_has_prefix(received, "HTTP/1.1 503"));
        g_assert_cmpuint(take_router_requests(), ==, 1);
    }
    stop();
}

/* A node without a configuration must answer 503, never 404: the configuration
 * that it does not have yet may contain the path. */
static void
test_no_config(void)
{
    start(NULL);
    g_autofree char *received =
        exchange(HEAD "Content-Length: 0\r\n\r\n",
                 strlen(HEAD "Content-Length: 0\r\n\r\n"));
    g_assert_true(g_str_has_prefix(received, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(received, "Retry-After: "));
    stop();
}

static const struct {
    const char *what;
    const char *bytes;
    bool behind;
    const char *status;
} behind_cases[] = {
    {"unknown path", "POST /y/ HTTP/1.1\r\nHost: h\r\nId: i\r\n", false,
     "HTTP/1.1 404"},
    {"unknown path, a newer configuration",
     "POST /y/ HTTP/1.1\r\nHost: h\r\nId: i\r\n", true, "HTTP/1.1 503"},
    {"unknown key",
     "POST /k/ HTTP/1.1\r\nHost: h\r\nId: i\r\n"
     "Authorization: Bearer k\r\n",
     false, "HTTP/1.1 401"},
    {"unknown key, a newer configuration",
     "POST /k/ HTTP/1.1\r\nHost: h\r\nId: i\r\nAuthorization: Bearer k\r\n",
     true, "HTTP/1.1 503"},
    {"no key, a newer configuration",
     "POST /k/ HTTP/1.1\r\nHost: h\r\nId: i\r\n", true, "HTTP/1.1 401"},
};

static void
set_behind(bool behind)
{
    pthread_mutex_lock(&world.lock);
    world.behind = behind;
    pthread_mutex_unlock(&world.lock);
}

/* Guards against paths and keys that were just added and are refused for good
 * by a node that is still reading the configuration with them. */
static void
test_behind(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(behind_cases); i++) {
        start(make_config());
        set_behind(behind_cases[i].behind);
        g_autofree char *bytes = g_strconcat(
            behind_cases[i].bytes,
            "Connection: close\r\nContent-Length: 0\r\n\r\n", NULL);
        g_autofree char *received = exchange(bytes, strlen(bytes));
        g_test_message("%s: %s", behind_cases[i].what, received);
        g_assert_true(g_str_has_prefix(received, behind_cases[i].status));
        g_assert_cmpint(strstr(received, "Retry-After: ") != NULL, ==,
                        strstr(behind_cases[i].status, "503") != NULL);
        set_behind(false);
        stop();
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/front/smuggled", test_smuggling);
    g_test_add_func("/front/answers", test_responses);
    g_test_add_func("/front/broken-off", test_broken_off);
    g_test_add_func("/front/no-config", test_no_config);
    g_test_add_func("/front/behind", test_behind);
    return g_test_run();
}
