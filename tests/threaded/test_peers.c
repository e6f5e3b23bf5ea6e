/* Nodes talking over real connections on loopback. */

#include "node/node.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <semaphore.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

struct end {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

struct outcome {
    sem_t done;
    enum ch_code code;
    uint64_t id;
    int64_t took;
    int64_t began;
};

/* Drops log lines: the tests look at outcomes. */
static void
no_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

/* A node with no more than its pool and its peers. */
static struct end *
end_new(const char *name)
{
    struct end *end = g_new0(struct end, 1);
    struct ch_error error = {0};
    ch_client_init(&end->client, name);
    end->client.log_write = no_log;
    end->client.metrics = ch_metrics_new();
    end->settings.name = (char *)name;
    end->settings.region = (char *)"r1";
    end->settings.data_centre = (char *)"a";
    end->settings.peers = (char *)"127.0.0.1:0";
    end->settings.peer_silent_ms = 600;
    end->settings.idle_connection_ms = 60000;
    end->node.client = &end->client;
    end->node.settings = &end->settings;
    end->node.incarnation = 1;
    end->node.pool = ch_pool_new(2);
    end->node.peers = ch_peers_new(&end->node, &error);
    g_assert_nonnull(end->node.peers);
    return end;
}

static void
end_free(struct end *end)
{
    ch_peers_stop(end->node.peers);
    ch_pool_free(end->node.pool);
    ch_peers_free(end->node.peers);
    ch_metrics_free(end->client.metrics);
    g_free(end);
}

/* Tells an end of one other at a port. */
static void
introduce(struct end *end, const char *name, uint16_t port)
{
    char *address = g_strdup_printf("127.0.0.1:%u", port);
    struct ch_host host = {
        .name = (char *)name,
        .kind = CH_HOST_ENTRY,
        .address = address,
        .region = (char *)"r1",
        .data_centre = (char *)"a",
    };
    struct ch_host_list list = {.hosts = &host, .count = 1};
    ch_peers_list(end->node.peers, &list);
    g_free(address);
}

/* Notes how a request ended. */
static void
request_done(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct outcome *outcome = data;
    outcome->code = code;
    outcome->id = reply != NULL ? reply->id : 0;
    outcome->took = g_get_monotonic_time() - outcome->began;
    sem_post(&outcome->done);
}

/* Sends a ConfigPull, any request, and waits for its end. */
static struct outcome
ask(struct end *end, const char *to, int64_t limit)
{
    struct outcome outcome = {.began = g_get_monotonic_time()};
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__ConfigPull pull = WIRE(CONFIG_PULL__INIT);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PULL);
    frame.config_pull = &pull;
    sem_init(&outcome.done, 0, 0);
    uint64_t id = ch_peers_request(end->node.peers, to, &frame, limit,
                                   request_done, &outcome);
    while (sem_wait(&outcome.done) != 0) {
    }
    g_assert_true(outcome.code != CH_OK || outcome.id == id);
    sem_destroy(&outcome.done);
    return outcome;
}

/* Replies to every request. */
static void
answer(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct end *end = data;
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    reply.body_case = WIRE(FRAME__BODY_DONE);
    reply.done = &done;
    ch_peers_reply(end->node.peers, frame->from, frame->id, &reply);
}

/* Requests to another node and to oneself get their replies. */
static void
test_request(void)
{
    struct end *first = end_new("e01");
    struct end *second = end_new("e02");
    ch_peers_handle(first->node.peers, WIRE(FRAME__BODY_CONFIG_PULL), answer,
                    first);
    ch_peers_handle(second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL), answer,
                    second);
    ch_peers_start(first->node.peers);
    ch_peers_start(second->node.peers);
    introduce(first, "e02", ch_peers_port(second->node.peers));
    for (int i = 0; i < 50; i++) {
        g_assert_cmpint(ask(first, "e02", 0).code, ==, CH_OK);
        g_assert_cmpint(ask(first, "e01", 0).code, ==, CH_OK);
    }
    g_assert_cmpint(ask(first, "e09", 0).code, ==, CH_PEER_LOST);
    end_free(second);
    g_assert_cmpint(ask(first, "e02", 0).code, ==, CH_PEER_LOST);
    end_free(first);
}

/* A listener whose connections are made by the kernel and never read. */
static int
silent_listener(uint16_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, length), ==, 0);
    g_assert_cmpint(listen(fd, 16), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    *port = ntohs(address.sin_port);
    return fd;
}

/*
 * What the caller sees: a queued request goes to another home within a second.
 * The home's process is stopped; its kernel still takes the connection and
 * acknowledges bytes, so TCP reports nothing. The pings are not answered,
 * which ends the request with PEER_LOST and takes the node out of the homes.
 */
static void
test_silent_node(void)
{
    struct end *end = end_new("e01");
    uint16_t port = 0;
    int listener = silent_listener(&port);
    ch_peers_start(end->node.peers);
    introduce(end, "e02", port);
    struct outcome outcome = ask(end, "e02", 0);
    g_assert_cmpint(outcome.code, ==, CH_PEER_LOST);
    char **live = ch_peers_live(end->node.peers);
    g_assert_cmpuint(g_strv_length(live), ==, 1);
    g_strfreev(live);
    g_print("figure: silent node given up after %" G_GINT64_FORMAT " ms\n",
            outcome.took / 1000);
    close(listener);
    end_free(end);
}

/* Bytes that are no frame close that connection and harm nothing else. */
static void
test_damaged(void)
{
    struct end *first = end_new("e01");
    struct end *second = end_new("e02");
    ch_peers_handle(second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL), answer,
                    second);
    ch_peers_start(first->node.peers);
    ch_peers_start(second->node.peers);
    introduce(first, "e02", ch_peers_port(second->node.peers));
    g_assert_cmpint(ask(first, "e02", 0).code, ==, CH_OK);

    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(ch_peers_port(second->node.peers));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    const char bytes[] = "GET / HTTP/1.1\r\n\r\n";
    g_assert_cmpint(write(fd, bytes, sizeof(bytes)), ==, sizeof(bytes));
    char byte = 0;
    g_assert_cmpint(read(fd, &byte, 1), <=, 0);
    close(fd);

    g_assert_cmpuint(
        ch_metrics_read(second->client.metrics, CH_COUNT_FRAMES_BAD), ==, 1);
    g_assert_cmpint(ask(first, "e02", 0).code, ==, CH_OK);
    end_free(first);
    end_free(second);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peers/request", test_request);
    g_test_add_func("/peers/silent-node", test_silent_node);
    g_test_add_func("/peers/damaged", test_damaged);
    return g_test_run();
}
