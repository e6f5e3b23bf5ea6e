/* Calls that one node relays for another, over real connections on loopback,
 * and what a refused connection shows. */

#include "node/path_manager.h"
#include "node/relay_server.h"
#include "threaded/test_node.h"
#include "upstream/call.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    TIMEOUT_US = 10 * 1000 * 1000,
    POLL_PERIOD_US = 2 * 1000,
    BACKLOG = 64,
};

/* ---- an upstream ---- */

/* What an upstream does with each request. */
enum behaviour {
    RESPONDS,
    HANGS,  /* reads the request, and waits until the connection is closed */
    CUTS,   /* closes the connection in the middle of the response */
    CLOSES, /* closes the connection without a response */
};

struct upstream {
    int socket;
    char address[32];
    enum behaviour behaviour;
    GThread *thread;
    int requests;    /* atomic, like the member below */
    int closed;      /* connections that the other end has closed */
    char head[4096]; /* of the last request */
};

static const char response[] = "HTTP/1.1 404 Not Found\r\n"
                               "X-Request-Id: r1\r\n"
                               "X-Other: kept\r\n"
                               "Content-Length: 5\r\n\r\nhello";

/* Reads until the end of the head. */
static bool
read_head(struct upstream *upstream, int fd)
{
    size_t length = 0;
    while (length < sizeof(upstream->head) - 1) {
        ssize_t got = recv(fd, upstream->head + length,
                           sizeof(upstream->head) - 1 - length, 0);
        if (got <= 0) {
            return false;
        }
        length += (size_t)got;
        upstream->head[length] = '\0';
        if (strstr(upstream->head, "\r\n\r\n") != NULL) {
            return true;
        }
    }
    return false;
}

static void
serve_connection(struct upstream *upstream, int fd)
{
    char byte = 0;
    while (read_head(upstream, fd)) {
        g_atomic_int_inc(&upstream->requests);
        if (upstream->behaviour == CLOSES) {
            return;
        }
        if (upstream->behaviour == HANGS) {
            (void)recv(fd, &byte, 1, 0);
            g_atomic_int_inc(&upstream->closed);
            return;
        }
        size_t cut = upstream->behaviour == CUTS ? 2 : 0;
        (void)send(fd, response, sizeof(response) - 1 - cut, MSG_NOSIGNAL);
        if (cut > 0) {
            return;
        }
    }
}

static gpointer
run_upstream(gpointer data)
{
    struct upstream *upstream = data;
    int fd = -1;
    while ((fd = accept(upstream->socket, NULL, NULL)) >= 0) {
        serve_connection(upstream, fd);
        (void)close(fd);
    }
    return NULL;
}

static void
upstream_start(struct upstream *upstream, enum behaviour behaviour)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    upstream->behaviour = behaviour;
    upstream->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(
        bind(upstream->socket, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(upstream->socket, BACKLOG), ==, 0);
    g_assert_cmpint(
        getsockname(upstream->socket, (struct sockaddr *)&address, &length),
        ==, 0);
    (void)g_snprintf(upstream->address, sizeof(upstream->address),
                     "127.0.0.1:%u", ntohs(address.sin_port));
    upstream->thread = g_thread_new("upstream", run_upstream, upstream);
}

/* Refuses connections from here on. */
static void
upstream_stop(struct upstream *upstream)
{
    (void)shutdown(upstream->socket, SHUT_RDWR);
    (void)g_thread_join(upstream->thread);
    (void)close(upstream->socket);
}

/* ---- a node ---- */

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    char relay_address[32];
};

static struct test_node *
test_node_new(const char *name)
{
    struct ch_error error = {0};
    struct test_node *node = g_new0(struct test_node, 1);
    test_node_set_up(&node->node, &node->client, &node->settings, name, 2);
    node->client.metrics = ch_metrics_new();
    node->settings.relay = (char *)"127.0.0.1:0";
    node->settings.max_body_bytes = 4096;
    node->settings.max_header_bytes = 4096;
    node->settings.max_connections = 64;
    node->node.timers = ch_timers_new(node->node.pool);
    node->node.http = ch_http_new(&node->client);
    node->node.paths = ch_path_manager_new(&node->node);
    node->node.relay_server = ch_relay_server_new(&node->node, &error);
    g_assert_nonnull(node->node.relay_server);
    ch_path_manager_start(node->node.paths);
    ch_peers_start(node->node.peers);
    (void)g_snprintf(node->relay_address, sizeof(node->relay_address),
                     "127.0.0.1:%d",
                     ch_relay_server_get_port(node->node.relay_server));
    return node;
}

static void
test_node_free(struct test_node *node)
{
    ch_relay_server_drain(node->node.relay_server);
    ch_relay_server_stop(node->node.relay_server);
    ch_path_manager_stop(node->node.paths);
    ch_peers_stop(node->node.peers);
    ch_http_free(node->node.http);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_timers_free(node->node.timers);
    ch_relay_server_free(node->node.relay_server);
    ch_path_manager_free(node->node.paths);
    ch_limit_manager_free(node->node.limits);
    ch_peers_free(node->node.peers);
    ch_metrics_free(node->client.metrics);
    g_free(node);
}

static void
list_upstream(const struct test_node *node, const char *name,
              const char *address, bool draining)
{
    const struct ch_host host = {
        .name = (char *)name,
        .kind = CH_HOST_SERVICE,
        .address = (char *)address,
        .region = (char *)"r1",
        .data_centre = (char *)"a",
        .draining = draining,
    };
    (void)ch_path_manager_get_listener(node->node.paths, &host);
}

/* ---- a call ---- */

struct test_call {
    pthread_mutex_t lock;
    int status;
    GString *body;
    bool ended;
    struct ch_call_result result;
};

static void
handle_response(void *data, int status, const char *content_type)
{
    (void)content_type;
    struct test_call *call = data;
    call->status = status;
}

static void
handle_data(void *data, const char *bytes, size_t length)
{
    struct test_call *call = data;
    g_string_append_len(call->body, bytes, (gssize)length);
}

static void
handle_end(void *data, const struct ch_call_result *result)
{
    struct test_call *call = data;
    pthread_mutex_lock(&call->lock);
    call->result = *result;
    call->ended = true;
    pthread_mutex_unlock(&call->lock);
}

static bool
has_ended(struct test_call *call)
{
    pthread_mutex_lock(&call->lock);
    bool ended = call->ended;
    pthread_mutex_unlock(&call->lock);
    return ended;
}

static void
wait_for_end(struct test_call *call)
{
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (!has_ended(call)) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
}

/* Calls the upstream w1 by a node; the caller waits for the end. */
static uint64_t
start_call(struct test_node *from, const char *relay_address,
           struct test_call *call)
{
    static const struct ch_call_rules rules = {CH_CALL_DEFAULT_RULES};
    static const struct ch_call_handlers handlers = {
        .on_response = handle_response,
        .on_data = handle_data,
        .on_end = handle_end,
    };
    const struct ch_call_relay relay = {relay_address, "w1"};
    const struct ch_upstream upstream = {0};
    const struct ch_call request = {
        .relay = &relay,
        .request_id = "r1",
        .method = "POST",
        .path = "/orders?x=%20y",
        .body = "{}",
        .body_length = 2,
        .connect_timeout = INT64_C(500) * 1000,
        .first_byte_timeout = INT64_C(5) * 1000 * 1000,
        .stall_timeout = INT64_C(5) * 1000 * 1000,
        .total_timeout = INT64_C(8) * 1000 * 1000,
    };
    *call = (struct test_call){.body = g_string_new(NULL)};
    pthread_mutex_init(&call->lock, NULL);
    return ch_call_start(&from->client, from->node.http, "192.0.2.1:9", &rules,
                         &upstream, &request, &handlers, call);
}

static void
clear_call(struct test_call *call)
{
    g_string_free(call->body, TRUE);
    pthread_mutex_destroy(&call->lock);
}

enum target {
    LISTED,
    UNLISTED,
    DRAINING,
    REFUSING,
    RELAY_STOPPING,
    RELAY_GONE,
};

struct relay_case {
    const char *name;
    enum target target;
    enum behaviour behaviour;
    enum ch_code code;
    enum ch_relay_result result;
    bool may_have_run;
    int requests; /* that the upstream got */
};

static const struct relay_case relay_cases[] = {
    {"response", LISTED, RESPONDS, CH_OK, CH_RELAY_NONE, true, 1},
    {"response-cut", LISTED, CUTS, CH_UPSTREAM_CUT, CH_RELAY_LOST, true, 1},
    {"no-response", LISTED, CLOSES, CH_UPSTREAM_CUT, CH_RELAY_UPSTREAM_CUT,
     true, 1},
    {"unlisted", UNLISTED, RESPONDS, CH_UPSTREAM_REFUSED,
     CH_RELAY_UNKNOWN_UPSTREAM, false, 0},
    {"draining", DRAINING, RESPONDS, CH_UPSTREAM_REFUSED, CH_RELAY_DRAINING,
     false, 0},
    {"upstream-refuses", REFUSING, RESPONDS, CH_UPSTREAM_CONNECT,
     CH_RELAY_UPSTREAM_REFUSED, false, 0},
    {"relay-stopping", RELAY_STOPPING, RESPONDS, CH_UPSTREAM_CONNECT,
     CH_RELAY_STOPPING, false, 0},
    {"relay-gone", RELAY_GONE, RESPONDS, CH_UPSTREAM_CONNECT,
     CH_RELAY_UNREACHABLE, false, 0},
};

/* Guards against a relayed call being reported as not run though it was sent,
 * or the other way round. */
static void
test_relay(gconstpointer data)
{
    const struct relay_case *row = data;
    struct upstream upstream = {0};
    struct test_call call;
    upstream_start(&upstream, row->behaviour);
    struct test_node *from = test_node_new("n1");
    struct test_node *relay = test_node_new("n2");
    if (row->target != UNLISTED) {
        list_upstream(relay, "w1", upstream.address, row->target == DRAINING);
    }
    if (row->target == REFUSING) {
        upstream_stop(&upstream);
    }
    if (row->target == RELAY_STOPPING) {
        ch_relay_server_drain(relay->node.relay_server);
    }
    if (row->target == RELAY_GONE) {
        ch_relay_server_stop(relay->node.relay_server);
    }
    start_call(from, relay->relay_address, &call);
    wait_for_end(&call);
    g_assert_cmpint(call.result.code, ==, row->code);
    g_assert_cmpint(call.result.relay_result, ==, row->result);
    g_assert_cmpint(call.result.may_have_run, ==, row->may_have_run);
    g_assert_false(call.result.connection_refused);
    g_assert_cmpint(g_atomic_int_get(&upstream.requests), ==, row->requests);
    if (row->code == CH_OK) {
        g_assert_cmpint(call.status, ==, 404);
        g_assert_cmpstr(call.body->str, ==, "hello");
        g_assert_true(
            g_str_has_prefix(upstream.head, "POST /orders?x=%20y HTTP/1.1"));
        g_assert_null(strstr(upstream.head, "Chestnuthitch-Relay"));
    }
    clear_call(&call);
    test_node_free(from);
    test_node_free(relay);
    if (row->target != REFUSING) {
        upstream_stop(&upstream);
    }
}

/* Guards against an upstream working on for a caller that has left: the end of
 * the call at the first node reaches the upstream through the relaying one. */
static void
test_cancel(void)
{
    struct upstream upstream = {0};
    struct test_call call;
    upstream_start(&upstream, HANGS);
    struct test_node *from = test_node_new("n1");
    struct test_node *relay = test_node_new("n2");
    list_upstream(relay, "w1", upstream.address, false);
    uint64_t handle = start_call(from, relay->relay_address, &call);
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (g_atomic_int_get(&upstream.requests) == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    ch_http_cancel(from->node.http, handle);
    wait_for_end(&call);
    g_assert_cmpint(call.result.code, ==, CH_CANCELLED);
    while (g_atomic_int_get(&upstream.closed) == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    clear_call(&call);
    test_node_free(from);
    test_node_free(relay);
    upstream_stop(&upstream);
}

/* Guards against a caller choosing the upstream of a relayed call by a header
 * of its own. */
static void
test_caller_headers(void)
{
    static const struct ch_call_rules rules = {CH_CALL_DEFAULT_RULES};
    static const struct ch_call_handlers handlers = {
        .on_response = handle_response,
        .on_data = handle_data,
        .on_end = handle_end,
    };
    static const struct ch_http_header headers[] = {
        {CH_RELAY_UPSTREAM_HEADER, "w2"}, {"X-Request-Id", "r1"}};
    struct upstream upstreams[2] = {{0}, {0}};
    struct test_call call = {.body = g_string_new(NULL)};
    pthread_mutex_init(&call.lock, NULL);
    upstream_start(&upstreams[0], RESPONDS);
    upstream_start(&upstreams[1], RESPONDS);
    struct test_node *from = test_node_new("n1");
    struct test_node *relay = test_node_new("n2");
    list_upstream(relay, "w1", upstreams[0].address, false);
    list_upstream(relay, "w2", upstreams[1].address, false);
    const struct ch_call_relay by = {relay->relay_address, "w1"};
    const struct ch_upstream upstream = {0};
    const struct ch_call request = {
        .relay = &by,
        .request_id = "r1",
        .method = "GET",
        .path = "/",
        .first_byte_timeout = TIMEOUT_US,
        .stall_timeout = TIMEOUT_US,
    };
    ch_call_start_with_headers(&from->client, from->node.http, "192.0.2.1:9",
                               &rules, &upstream, &request, headers,
                               G_N_ELEMENTS(headers), &handlers, &call);
    wait_for_end(&call);
    g_assert_cmpint(call.result.code, ==, CH_OK);
    g_assert_cmpint(g_atomic_int_get(&upstreams[0].requests), ==, 1);
    g_assert_cmpint(g_atomic_int_get(&upstreams[1].requests), ==, 0);
    clear_call(&call);
    test_node_free(from);
    test_node_free(relay);
    upstream_stop(&upstreams[0]);
    upstream_stop(&upstreams[1]);
}

/* ---- refused connections ---- */

struct verdict {
    int done; /* atomic */
    bool crashed;
};

static void
take_verdict(void *data, bool crashed)
{
    struct verdict *verdict = data;
    verdict->crashed = crashed;
    g_atomic_int_set(&verdict->done, 1);
}

struct refusal_case {
    const char *name;
    unsigned others; /* other upstreams that are listed */
    unsigned reached;
    bool crashed;
};

static const struct refusal_case refusal_cases[] = {
    {"only-upstream", 0, 0, true},
    {"another-reached", 1, 1, true},
    {"one-of-two-reached", 2, 1, true},
    {"none-reached", 2, 0, false},
};

/* Guards against a node whose path is cut by resets telling all nodes that its
 * callers' requests crash upstreams. */
static void
test_refusal(gconstpointer data)
{
    static const char *const names[] = {"w2", "w3"};
    const struct refusal_case *row = data;
    struct upstream upstreams[2] = {{0}, {0}};
    struct verdict verdict = {0};
    struct test_node *node = test_node_new("n1");
    list_upstream(node, "w1", "127.0.0.1:9", false);
    g_assert_cmpuint(row->others, <=, G_N_ELEMENTS(names));
    for (unsigned i = 0; i < row->others && i < G_N_ELEMENTS(names); i++) {
        upstream_start(&upstreams[i], RESPONDS);
        list_upstream(node, names[i], upstreams[i].address, false);
        if (i >= row->reached) {
            upstream_stop(&upstreams[i]);
        }
    }
    ch_path_manager_check_refusal(node->node.paths, g_quark_from_string("w1"),
                                  take_verdict, &verdict);
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (g_atomic_int_get(&verdict.done) == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    g_assert_cmpint(verdict.crashed, ==, row->crashed);
    test_node_free(node);
    for (unsigned i = 0; i < row->reached && i < G_N_ELEMENTS(names); i++) {
        upstream_stop(&upstreams[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(relay_cases); i++) {
        g_autofree char *path =
            g_strconcat("/paths/relay/", relay_cases[i].name, NULL);
        g_test_add_data_func(path, &relay_cases[i], test_relay);
    }
    g_test_add_func("/paths/relay/cancel", test_cancel);
    g_test_add_func("/paths/relay/caller-headers", test_caller_headers);
    for (size_t i = 0; i < G_N_ELEMENTS(refusal_cases); i++) {
        g_autofree char *path =
            g_strconcat("/paths/refusal/", refusal_cases[i].name, NULL);
        g_test_add_data_func(path, &refusal_cases[i], test_refusal);
    }
    return g_test_run();
}
