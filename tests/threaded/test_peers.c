/* Nodes talking over real connections on loopback. */

#include "node/node.h"
#include "wire/wire.h"

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

/* Sends a ConfigPull, any request. */
static uint64_t
begin_ask(struct end *end, const char *to, int64_t limit,
          struct outcome *outcome)
{
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__ConfigPull pull = WIRE(CONFIG_PULL__INIT);
    frame.body_case = WIRE(FRAME__BODY_CONFIG_PULL);
    frame.config_pull = &pull;
    outcome->began = g_get_monotonic_time();
    sem_init(&outcome->done, 0, 0);
    return ch_peers_request(end->node.peers, to, &frame, limit, request_done,
                            outcome);
}

/* The same, and waits for its end. */
static struct outcome
ask(struct end *end, const char *to, int64_t limit)
{
    struct outcome outcome = {0};
    uint64_t id = begin_ask(end, to, limit, &outcome);
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

/* What one kind of frame counts at an end. */
static void
check_traffic(const struct end *end, const char *labels, const char *frames)
{
    g_autoptr(GString) text = g_string_new(NULL);
    g_autofree char *line = g_strdup_printf(
        "chestnuthitch_peer_frames_total{%s} %s\n", labels, frames);
    ch_peers_render(end->node.peers, text);
    g_test_message("%s", line);
    g_assert_nonnull(strstr(text->str, line));
}

/* Frames are counted by kind, direction and way, at both ends alike; a reply
 * counts as what it is. */
static void
test_traffic(void)
{
    struct end *first = end_new("e01");
    struct end *second = end_new("e02");
    first->settings.region = (char *)"r2";
    ch_peers_handle(second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL), answer,
                    second);
    ch_peers_start(first->node.peers);
    ch_peers_start(second->node.peers);
    introduce(first, "e02", ch_peers_port(second->node.peers));
    for (int i = 0; i < 3; i++) {
        g_assert_cmpint(ask(first, "e02", 0).code, ==, CH_OK);
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
    end_free(second);
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

struct slow_peer {
    int listener;
    GByteArray *bytes;
    int pieces;
    int pause_ms;
};

/* Takes one connection and sends its bytes in pieces, whatever it is asked. */
static void *
run_slow_peer(void *data)
{
    const struct slow_peer *peer = data;
    int fd = accept(peer->listener, NULL, NULL);
    size_t piece = peer->bytes->len / (size_t)peer->pieces + 1;
    for (size_t at = 0; at < peer->bytes->len; at += piece) {
        size_t length = MIN(piece, peer->bytes->len - at);
        g_usleep((gulong)peer->pause_ms * 1000);
        if (send(fd, peer->bytes->data + at, length, MSG_NOSIGNAL) < 0) {
            break;
        }
    }
    g_usleep((gulong)300 * 1000);
    close(fd);
    return NULL;
}

/*
 * Guards against a large frame on a slow link that is taken for silence: only
 * whole frames counted as a sign of life, so that an answer which took longer
 * than the limit of silence was cut off and asked for again without end.
 */
static void
test_slow_frame(void)
{
    struct end *end = end_new("e01");
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
    peer.listener = silent_listener(&port);
    g_assert_cmpint(pthread_create(&thread, NULL, run_slow_peer, &peer), ==,
                    0);
    ch_peers_start(end->node.peers);
    introduce(end, "e02", port);
    struct outcome outcome = ask(end, "e02", 0);
    g_assert_cmpint(outcome.code, ==, CH_OK);
    g_assert_cmpint(outcome.took, >, (int64_t)1500 * 1000);
    pthread_join(thread, NULL);
    close(peer.listener);
    g_byte_array_free(peer.bytes, TRUE);
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

/* ---- a node that stands still ---- */

enum {
    MILLI = 1000,
    FILLER = 40 * 1024,
};

/* A node's time, which goes on when it is told. */
struct test_clock {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    pthread_t owner; /* the test's thread; all others can be held */
    int64_t now;
    unsigned reads; /* by others */
    bool holds;     /* who reads it is kept waiting */
    bool held;      /* somebody is */
};

static int64_t
read_clock(void *data)
{
    struct test_clock *clock = data;
    pthread_mutex_lock(&clock->lock);
    if (!pthread_equal(pthread_self(), clock->owner)) {
        clock->reads++;
        clock->held = clock->holds;
        pthread_cond_broadcast(&clock->changed);
        while (clock->holds) {
            pthread_cond_wait(&clock->changed, &clock->lock);
        }
        clock->held = false;
    }
    int64_t now = clock->now;
    pthread_mutex_unlock(&clock->lock);
    return now;
}

/* Lets time pass; who was held goes on. */
static void
pass_time(struct test_clock *clock, int64_t time)
{
    pthread_mutex_lock(&clock->lock);
    clock->now += time;
    clock->holds = false;
    pthread_cond_broadcast(&clock->changed);
    pthread_mutex_unlock(&clock->lock);
}

/* Has the node's loop stand still. */
static void
hold_loop(struct test_clock *clock)
{
    pthread_mutex_lock(&clock->lock);
    clock->holds = true;
    while (!clock->held) {
        pthread_cond_wait(&clock->changed, &clock->lock);
    }
    pthread_mutex_unlock(&clock->lock);
}

/* Waits until the loop has surely done what is due by now. */
static void
wait_for_turns(struct test_clock *clock)
{
    pthread_mutex_lock(&clock->lock);
    unsigned until = clock->reads + 8;
    while (clock->reads < until) {
        pthread_cond_wait(&clock->changed, &clock->lock);
    }
    pthread_mutex_unlock(&clock->lock);
}

/* Two nodes: the first by a clock of the test, which asks the second, which
 * answers when it is told. */
struct pair {
    struct test_clock clock;
    struct end *first;
    struct end *second;
    unsigned fillers; /* replies sent before the one that is awaited */
    sem_t asked;
    sem_t told;
    sem_t answered;
};

static void
wait_for(sem_t *semaphore)
{
    while (sem_wait(semaphore) != 0) {
    }
}

/* Replies that nobody waits for come before the one that is awaited. */
static void
send_fillers(const struct pair *pair, const Chestnuthitch__Wire__Frame *frame)
{
    uint8_t bytes[FILLER] = {0};
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
answer_when_told(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    struct pair *pair = data;
    sem_post(&pair->asked);
    wait_for(&pair->told);
    send_fillers(pair, frame);
    answer(pair->second, frame);
    sem_post(&pair->answered);
}

static struct pair *
pair_new(void)
{
    struct pair *pair = g_new0(struct pair, 1);
    pthread_mutex_init(&pair->clock.lock, NULL);
    pthread_cond_init(&pair->clock.changed, NULL);
    pair->clock.owner = pthread_self();
    pair->clock.now = G_USEC_PER_SEC;
    sem_init(&pair->asked, 0, 0);
    sem_init(&pair->told, 0, 0);
    sem_init(&pair->answered, 0, 0);
    pair->first = end_new("e01");
    pair->first->client.now = read_clock;
    pair->first->client.now_data = &pair->clock;
    pair->first->settings.peer_silent_ms = 60000;
    pair->second = end_new("e02");
    ch_peers_handle(pair->second->node.peers, WIRE(FRAME__BODY_CONFIG_PULL),
                    answer_when_told, pair);
    ch_peers_start(pair->first->node.peers);
    ch_peers_start(pair->second->node.peers);
    introduce(pair->first, "e02", ch_peers_port(pair->second->node.peers));
    return pair;
}

static void
pair_free(struct pair *pair)
{
    end_free(pair->first);
    end_free(pair->second);
    sem_destroy(&pair->asked);
    sem_destroy(&pair->told);
    sem_destroy(&pair->answered);
    pthread_cond_destroy(&pair->clock.changed);
    pthread_mutex_destroy(&pair->clock.lock);
    g_free(pair);
}

static const struct still_case {
    const char *name;
    int64_t limit_ms;
    int64_t pause_ms;
    unsigned fillers;
    bool held; /* the reply comes within the pause, else after it */
} still_cases[] = {
    {"reply-waits", 100, 200, 0, true},
    {"reply-behind-others", 100, 200, 2, true},
    {"reply-after-pause", 100, 60000, 0, false},
};

/*
 * Guards against requests to other nodes that are told as late although their
 * replies came in time: this node had no turn for longer than the limit, and
 * took its own standstill for the other's silence.
 */
static void
test_stands_still(gconstpointer data)
{
    const struct still_case *row = data;
    struct pair *pair = pair_new();
    struct outcome outcome = {0};
    pair->fillers = row->fillers;
    begin_ask(pair->first, "e02", row->limit_ms * MILLI, &outcome);
    wait_for(&pair->asked);
    wait_for_turns(&pair->clock);
    if (row->held) {
        hold_loop(&pair->clock);
        sem_post(&pair->told);
        wait_for(&pair->answered);
        pass_time(&pair->clock, row->pause_ms * MILLI);
    }
    else {
        pass_time(&pair->clock, row->pause_ms * MILLI);
        wait_for_turns(&pair->clock);
        sem_post(&pair->told);
    }
    wait_for(&outcome.done);
    g_assert_cmpint(outcome.code, ==, CH_OK);
    sem_destroy(&outcome.done);
    pair_free(pair);
}

/*
 * Guards against requests that wait for as long as a pause had lasted: what is
 * taken off for it ends at the request's own limit.
 */
static void
test_limit_after_pause(gconstpointer data)
{
    bool asked_before = GPOINTER_TO_INT(data);
    struct pair *pair = pair_new();
    struct outcome outcome = {0};
    unsigned steps = 0;
    if (asked_before) {
        begin_ask(pair->first, "e02", G_USEC_PER_SEC, &outcome);
        wait_for(&pair->asked);
    }
    wait_for_turns(&pair->clock);
    pass_time(&pair->clock, (int64_t)60 * G_USEC_PER_SEC);
    if (!asked_before) {
        begin_ask(pair->first, "e02", G_USEC_PER_SEC, &outcome);
    }
    wait_for_turns(&pair->clock);
    while (sem_trywait(&outcome.done) != 0 && steps < 10) {
        steps++;
        pass_time(&pair->clock, G_USEC_PER_SEC / 5);
        wait_for_turns(&pair->clock);
    }
    g_assert_cmpint(outcome.code, ==, CH_PEER_TIMEOUT);
    g_assert_cmpuint(steps, >=, 4);
    g_assert_cmpuint(steps, <=, 6);
    sem_post(&pair->told);
    sem_destroy(&outcome.done);
    pair_free(pair);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(still_cases); i++) {
        char *path =
            g_strdup_printf("/peers/stands-still/%s", still_cases[i].name);
        g_test_add_data_func(path, &still_cases[i], test_stands_still);
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
