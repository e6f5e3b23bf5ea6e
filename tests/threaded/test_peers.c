/* Tests of frames between nodes over real loopback connections. */

#include "node/node.h"
#include "wire/wire.h"
#include "threaded/test_node.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <semaphore.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

struct outcome {
    sem_t done;
    enum ch_code code;
    uint64_t id;
    int64_t duration;
    int64_t started_at;
};

/* A node with only a pool and its peers. */
static struct test_node *
test_node_new(const char *name)
{
    struct test_node *test_node = g_new0(struct test_node, 1);
    test_node_set_up(&test_node->node, &test_node->client,
                     &test_node->settings, name, 2);
    test_node->client.metrics = ch_metrics_new();
    return test_node;
}

static void
test_node_free(struct test_node *test_node)
{
    ch_peers_stop(test_node->node.peers);
    ch_pool_free(test_node->node.pool);
    ch_peers_free(test_node->node.peers);
    ch_limit_manager_free(test_node->node.limits);
    ch_metrics_free(test_node->client.metrics);
    g_free(test_node);
}

/* Gives a node a host list with one other node at a port. */
static void
add_other_node(struct test_node *test_node, const char *name, uint16_t port)
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
    ch_peers_update_list(test_node->node.peers, &list);
    g_free(address);
}

/* Records how a request ended. */
static void
request_done(void *data, enum ch_code code,
             const Chestnuthitch__Wire__Frame *reply)
{
    struct outcome *outcome = data;
    outcome->code = code;
    outcome->id = reply != NULL ? reply->id : 0;
    outcome->duration = g_get_monotonic_time() - outcome->started_at;
    sem_post(&outcome->done);
}

/* Starts a request; ConfigPull stands for any kind. */
static uint64_t
start_request(struct test_node *test_node, const char *to, int64_t limit,
              struct outcome *outcome)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__ConfigPull pull = WIRE(CONFIG_PULL__INIT);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PULL);
    frame.config_pull = &pull;
    outcome->started_at = g_get_monotonic_time();
    sem_init(&outcome->done, 0, 0);
    return ch_peers_request(test_node->node.peers, to, &frame, limit,
                            request_done, outcome);
}

/* Sends a request and waits for its end. */
static struct outcome
send_request(struct test_node *test_node, const char *to, int64_t limit)
{
    struct outcome outcome = {0};
    uint64_t id = start_request(test_node, to, limit, &outcome);
    while (sem_wait(&outcome.done) != 0) {
    }
    g_assert_true(outcome.code != CH_OK || outcome.id == id);
    sem_destroy(&outcome.done);
    return outcome;
}

/* Replies to every request with Done. */
static void
reply_done(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct test_node *test_node = data;
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    reply.body_case = WIRE(FRAME__BODY_DONE);
    reply.done = &done;
    ch_peers_reply(test_node->node.peers, frame->from, frame->id, &reply);
}

/* Requests to another node and to the node itself get their replies; a request
 * to an unknown or stopped node ends with PEER_LOST. */
static void
test_request(void)
{
    struct test_node *first = test_node_new("e01");
    struct test_node *second = test_node_new("e02");
    ch_peers_set_handler(first->node.peers, WIRE(FRAME__BODY_CONFIG_PULL),
                         reply_done, first);
    ch_peers_set_handler(second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL),
                         reply_done, second);
    ch_peers_start(first->node.peers);
    ch_peers_start(second->node.peers);
    add_other_node(first, "e02", ch_peers_get_port(second->node.peers));
    for (int i = 0; i < 50; i++) {
        g_assert_cmpint(send_request(first, "e02", 0).code, ==, CH_OK);
        g_assert_cmpint(send_request(first, "e01", 0).code, ==, CH_OK);
    }
    g_assert_cmpint(send_request(first, "e09", 0).code, ==, CH_PEER_LOST);
    test_node_free(second);
    g_assert_cmpint(send_request(first, "e02", 0).code, ==, CH_PEER_LOST);
    test_node_free(first);
}

/* Checks the count of one kind of frame at a node. */
static void
check_traffic(const struct test_node *test_node, const char *labels,
              const char *frames)
{
    g_autoptr(GString) text = g_string_new(NULL);
    g_autofree char *line = g_strdup_printf(
        "chestnuthitch_peer_frames_total{%s} %s\n", labels, frames);
    ch_peers_render_metrics(test_node->node.peers, text);
    g_test_message("%s", line);
    g_assert_nonnull(strstr(text->str, line));
}

/* Frames are counted by kind, direction and region, and alike at both ends; a
 * reply counts under its own kind. */
static void
test_traffic(void)
{
    struct test_node *first = test_node_new("e01");
    struct test_node *second = test_node_new("e02");
    first->settings.region = (char *)"r2";
    ch_peers_set_handler(second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL),
                         reply_done, second);
    ch_peers_start(first->node.peers);
    ch_peers_start(second->node.peers);
    add_other_node(first, "e02", ch_peers_get_port(second->node.peers));
    for (int i = 0; i < 3; i++) {
        g_assert_cmpint(send_request(first, "e02", 0).code, ==, CH_OK);
    }
    check_traffic(first,
                  "kind=\"config_pull\",direction=\"sent\","
                  "way=\"other_region\"",
                  "3");
    check_traffic(first,
                  "kind=\"done\",direction=\"received\","
                  "way=\"other_region\"",
                  "3");
    check_traffic(second,
                  "kind=\"config_pull\",direction=\"received\","
                  "way=\"other_region\"",
                  "3");
    test_node_free(second);
    test_node_free(first);
}

/* A listener whose connections are accepted by the kernel and never read. */
static int
open_silent_listener(uint16_t *port)
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
 * Guards against a queued request that waits for a paused home node: callers
 * expect another home node within a second. The home node's process is
 * stopped, but its kernel still accepts the connection and acknowledges bytes,
 * so TCP reports no error. The unanswered pings end the request with
 * PEER_LOST, and the node is no longer live.
 */
static void
test_silent_node(void)
{
    struct test_node *test_node = test_node_new("e01");
    uint16_t port = 0;
    int listener = open_silent_listener(&port);
    ch_peers_start(test_node->node.peers);
    add_other_node(test_node, "e02", port);
    struct outcome outcome = send_request(test_node, "e02", 0);
    g_assert_cmpint(outcome.code, ==, CH_PEER_LOST);
    char **live = ch_peers_list_live(test_node->node.peers);
    g_assert_cmpuint(g_strv_length(live), ==, 1);
    g_strfreev(live);
    g_print("figure: silent node given up after %" G_GINT64_FORMAT " ms\n",
            outcome.duration / 1000);
    close(listener);
    test_node_free(test_node);
}

struct slow_peer {
    int listener;
    GByteArray *bytes;
    int pieces;
    int pause_ms;
};

/* Accepts one connection and sends the peer's bytes in pieces, whatever it
 * receives. */
static void *
run_slow_peer(void *data)
{
    const struct slow_peer *peer = data;
    int fd = accept(peer->listener, NULL, NULL);
    size_t piece = peer->bytes->len / (size_t)peer->pieces + 1;
    for (size_t offset = 0; offset < peer->bytes->len; offset += piece) {
        size_t length = MIN(piece, peer->bytes->len - offset);
        g_usleep((gulong)peer->pause_ms * 1000);
        if (send(fd, peer->bytes->data + offset, length, MSG_NOSIGNAL) < 0) {
            break;
        }
    }
    g_usleep((gulong)300 * 1000);
    close(fd);
    return NULL;
}

/*
 * Guards against a large frame on a slow link being taken for silence. When
 * only whole frames counted as a sign of life, a reply that took longer than
 * the silence limit was interrupted and requested again without end.
 */
static void
test_slow_frame(void)
{
    struct test_node *test_node = test_node_new("e01");
    struct slow_peer peer = {.pieces = 8, .pause_ms = 250};
    uint16_t port = 0;
    pthread_t thread;
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__ConfigPush push = WIRE(CONFIG_PUSH__INIT);
    g_autofree char *text = g_strnfill((gsize)200 * 1024, 'x');
    push.text = text;
    reply.version = CH_WIRE_VERSION;
    reply.from = (char *)"e02";
    reply.id = 1;
    reply.reply = true;
    reply.body_case = WIRE(FRAME__BODY_CONFIG_PUSH);
    reply.config_push = &push;
    peer.bytes = g_byte_array_new();
    g_assert_true(ch_wire_encode(&reply, peer.bytes, NULL));
    peer.listener = open_silent_listener(&port);
    g_assert_cmpint(pthread_create(&thread, NULL, run_slow_peer, &peer), ==,
                    0);
    ch_peers_start(test_node->node.peers);
    add_other_node(test_node, "e02", port);
    struct outcome outcome = send_request(test_node, "e02", 0);
    g_assert_cmpint(outcome.code, ==, CH_OK);
    g_assert_cmpint(outcome.duration, >, (int64_t)1500 * 1000);
    pthread_join(thread, NULL);
    close(peer.listener);
    g_byte_array_free(peer.bytes, TRUE);
    test_node_free(test_node);
}

/* Bytes that are not a frame close their connection and affect no other. */
static void
test_damaged(void)
{
    struct test_node *first = test_node_new("e01");
    struct test_node *second = test_node_new("e02");
    ch_peers_set_handler(second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL),
                         reply_done, second);
    ch_peers_start(first->node.peers);
    ch_peers_start(second->node.peers);
    add_other_node(first, "e02", ch_peers_get_port(second->node.peers));
    g_assert_cmpint(send_request(first, "e02", 0).code, ==, CH_OK);

    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(ch_peers_get_port(second->node.peers));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    const char bytes[] = "GET / HTTP/1.1\r\n\r\n";
    g_assert_cmpint(write(fd, bytes, sizeof(bytes)), ==, sizeof(bytes));
    char byte = 0;
    g_assert_cmpint(read(fd, &byte, 1), <=, 0);
    close(fd);

    g_assert_cmpuint(
        ch_metrics_get_count(second->client.metrics, CH_COUNT_FRAMES_BAD), ==,
        1);
    g_assert_cmpint(send_request(first, "e02", 0).code, ==, CH_OK);
    test_node_free(first);
    test_node_free(second);
}

/* ---- pauses of a node's process ---- */

enum {
    US_PER_MS = 1000,
    FILLER_BYTES = 40 * 1024,
};

/* A node's clock, which the test advances. */
struct test_clock {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    pthread_t owner; /* the test's thread; only other threads are held */
    int64_t now;
    unsigned reads;  /* by other threads */
    bool is_holding; /* threads that read the clock are held */
    bool is_held;    /* a thread is held now */
};

static int64_t
read_clock(void *data)
{
    struct test_clock *clock = data;
    pthread_mutex_lock(&clock->lock);
    if (!pthread_equal(pthread_self(), clock->owner)) {
        clock->reads++;
        clock->is_held = clock->is_holding;
        pthread_cond_broadcast(&clock->changed);
        while (clock->is_holding) {
            pthread_cond_wait(&clock->changed, &clock->lock);
        }
        clock->is_held = false;
    }
    int64_t now = clock->now;
    pthread_mutex_unlock(&clock->lock);
    return now;
}

/* Advances the clock and releases the held threads. */
static void
advance_clock(struct test_clock *clock, int64_t time)
{
    pthread_mutex_lock(&clock->lock);
    clock->now += time;
    clock->is_holding = false;
    pthread_cond_broadcast(&clock->changed);
    pthread_mutex_unlock(&clock->lock);
}

/* Holds the node's thread of connections at its next reading of the clock. */
static void
hold_thread(struct test_clock *clock)
{
    pthread_mutex_lock(&clock->lock);
    clock->is_holding = true;
    while (!clock->is_held) {
        pthread_cond_wait(&clock->changed, &clock->lock);
    }
    pthread_mutex_unlock(&clock->lock);
}

/* Waits until the node's thread has certainly done what is due by now. */
static void
wait_for_thread(struct test_clock *clock)
{
    pthread_mutex_lock(&clock->lock);
    unsigned until = clock->reads + 8;
    while (clock->reads < until) {
        pthread_cond_wait(&clock->changed, &clock->lock);
    }
    pthread_mutex_unlock(&clock->lock);
}

/* Two nodes: the first uses the test's clock and sends a request to the
 * second, which replies when the test allows it. */
struct pair {
    struct test_clock clock;
    struct test_node *first;
    struct test_node *second;
    unsigned fillers; /* unrelated replies before the awaited one */
    sem_t request_received;
    sem_t reply_allowed;
    sem_t reply_sent;
};

static void
wait_for(sem_t *semaphore)
{
    while (sem_wait(semaphore) != 0) {
    }
}

/* Sends replies that no request waits for, so that the awaited reply arrives
 * behind them. */
static void
send_fillers(const struct pair *pair, const Chestnuthitch__Wire__Frame *frame)
{
    uint8_t bytes[FILLER_BYTES] = {0};
    for (unsigned i = 0; i < pair->fillers; i++) {
        Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
        Chestnuthitch__Wire__OnceAnswer body = WIRE(ONCE_ANSWER__INIT);
        body.body.data = bytes;
        body.body.len = sizeof(bytes);
        reply.body_case = WIRE(FRAME__BODY_ONCE_ANSWER);
        reply.once_answer = &body;
        ch_peers_reply(pair->second->node.peers, frame->from, frame->id + 1000,
                       &reply);
    }
}

static void
reply_when_allowed(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct pair *pair = data;
    sem_post(&pair->request_received);
    wait_for(&pair->reply_allowed);
    send_fillers(pair, frame);
    reply_done(pair->second, frame);
    sem_post(&pair->reply_sent);
}

static struct pair *
pair_new(void)
{
    struct pair *pair = g_new0(struct pair, 1);
    pthread_mutex_init(&pair->clock.lock, NULL);
    pthread_cond_init(&pair->clock.changed, NULL);
    pair->clock.owner = pthread_self();
    pair->clock.now = G_USEC_PER_SEC;
    sem_init(&pair->request_received, 0, 0);
    sem_init(&pair->reply_allowed, 0, 0);
    sem_init(&pair->reply_sent, 0, 0);
    pair->first = test_node_new("e01");
    pair->first->client.now = read_clock;
    pair->first->client.now_data = &pair->clock;
    pair->first->settings.peer_timeout_ms = 60000;
    pair->second = test_node_new("e02");
    ch_peers_set_handler(pair->second->node.peers,
                         WIRE(FRAME__BODY_CONFIG_PULL), reply_when_allowed,
                         pair);
    ch_peers_start(pair->first->node.peers);
    ch_peers_start(pair->second->node.peers);
    add_other_node(pair->first, "e02",
                   ch_peers_get_port(pair->second->node.peers));
    return pair;
}

static void
pair_free(struct pair *pair)
{
    test_node_free(pair->first);
    test_node_free(pair->second);
    sem_destroy(&pair->request_received);
    sem_destroy(&pair->reply_allowed);
    sem_destroy(&pair->reply_sent);
    pthread_cond_destroy(&pair->clock.changed);
    pthread_mutex_destroy(&pair->clock.lock);
    g_free(pair);
}

static const struct pause_case {
    const char *name;
    int64_t limit_ms;
    int64_t pause_ms;
    unsigned fillers;
    bool reply_in_pause; /* false: after the pause */
} pause_cases[] = {
    {"reply-waits", 100, 200, 0, true},
    {"reply-behind-others", 100, 200, 2, true},
    {"reply-after-pause", 100, 60000, 0, false},
};

/*
 * Guards against requests to other nodes that time out although their replies
 * arrived in time: this node's process was paused for longer than the timeout,
 * and took its own pause for the other node's silence.
 */
static void
test_reply_around_pause(gconstpointer data)
{
    const struct pause_case *row = data;
    struct pair *pair = pair_new();
    struct outcome outcome = {0};
    pair->fillers = row->fillers;
    start_request(pair->first, "e02", row->limit_ms * US_PER_MS, &outcome);
    wait_for(&pair->request_received);
    wait_for_thread(&pair->clock);
    if (row->reply_in_pause) {
        hold_thread(&pair->clock);
        sem_post(&pair->reply_allowed);
        wait_for(&pair->reply_sent);
        advance_clock(&pair->clock, row->pause_ms * US_PER_MS);
    }
    else {
        advance_clock(&pair->clock, row->pause_ms * US_PER_MS);
        wait_for_thread(&pair->clock);
        sem_post(&pair->reply_allowed);
    }
    wait_for(&outcome.done);
    g_assert_cmpint(outcome.code, ==, CH_OK);
    sem_destroy(&outcome.done);
    pair_free(pair);
}

/*
 * Guards against requests that wait for as long as a pause lasted: the
 * extension for a pause ends at the request's own timeout.
 */
static void
test_limit_after_pause(gconstpointer data)
{
    bool sent_before = GPOINTER_TO_INT(data);
    struct pair *pair = pair_new();
    struct outcome outcome = {0};
    unsigned steps = 0;
    if (sent_before) {
        start_request(pair->first, "e02", G_USEC_PER_SEC, &outcome);
        wait_for(&pair->request_received);
    }
    wait_for_thread(&pair->clock);
    advance_clock(&pair->clock, (int64_t)60 * G_USEC_PER_SEC);
    if (!sent_before) {
        start_request(pair->first, "e02", G_USEC_PER_SEC, &outcome);
    }
    wait_for_thread(&pair->clock);
    while (sem_trywait(&outcome.done) != 0 && steps < 10) {
        steps++;
        advance_clock(&pair->clock, G_USEC_PER_SEC / 5);
        wait_for_thread(&pair->clock);
    }
    g_assert_cmpint(outcome.code, ==, CH_PEER_TIMEOUT);
    g_assert_cmpuint(steps, >=, 4);
    g_assert_cmpuint(steps, <=, 6);
    sem_post(&pair->reply_allowed);
    sem_destroy(&outcome.done);
    pair_free(pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(pause_cases); i++) {
        char *path =
            g_strdup_printf("/peers/stands-still/%s", pause_cases[i].name);
        g_test_add_data_func(path, &pause_cases[i], test_reply_around_pause);
        g_free(path);
    }
    g_test_add_data_func("/peers/limit-after-pause/asked-before",
                         GINT_TO_POINTER(true), test_limit_after_pause);
    g_test_add_data_func("/peers/limit-after-pause/asked-within",
                         GINT_TO_POINTER(false), test_limit_after_pause);
    g_test_add_func("/peers/traffic", test_traffic);
    g_test_add_func("/peers/request", test_request);
    g_test_add_func("/peers/silent-node", test_silent_node);
    g_test_add_func("/peers/slow-frame", test_slow_frame);
    g_test_add_func("/peers/damaged", test_damaged);
    return g_test_run();
}
