/* The thread of the connections between nodes: what comes, and the clock. */

#include "node/peers_internal.h"

#include <ck_pr.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    TICK_MS = 50,
    READ_SIZE = 64 * 1024,
    EVENTS = 64,
    PROBES = 16,
    /* A quarter of the silent limit: three pings may be lost to a stall of
     * this process before a live connection is given up. */
    PING_SHARE = 4,
    /* A pause of this process longer than this is taken off the silences. */
    PAUSE = 250 * 1000,
    /* Most turns in which limits are not looked at as more is left to read: a
     * peer that never stops sending would hold up all of them. */
    MOST_BEHIND = 32,
};

/* ---- what comes; the lock is held ---- */

/*
 * Takes a node that came by itself for a member until a list comes.  Load: a
 * host is restarted while the service that keeps the list is away.  Harm
 * prevented: the node knows nobody to ask for the configuration and the
 * upstreams, and refuses its callers until the service is back.
 */
static void
learn_member(struct ch_peers *peers, const Chestnuthitch__Wire__Frame *frame,
             int64_t now)
{
    const Chestnuthitch__Wire__Hello *hello = frame->hello;
    if (peers->listed || !ch_address_check(hello->address, NULL)) {
        return;
    }
    ch_members_update_member(peers->members, frame->from, hello->address,
                             hello->region, hello->data_centre, false, now);
}

/* An inbound connection says whose it is. */
static void
take_hello(struct ch_peers *peers, struct connection *connection,
           const Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    learn_member(peers, frame, now);
    ch_members_set_incarnation(peers->members, frame->from,
                               frame->hello->incarnation);
    if (connection->outbound || connection->name != NULL) {
        return;
    }
    connection->name = g_strdup(frame->from);
    connection->other_region =
        strcmp(frame->hello->region, peers->node->settings->region) != 0;
    g_hash_table_replace(peers->inbound, connection->name, connection);
    connection_hello(peers, connection, now);
}

/* Gives a reply to who waits for it; a late one to the late handler. */
static void
take_reply(struct ch_peers *peers, struct connection *connection,
           Chestnuthitch__Wire__Frame *frame)
{
    struct request *request = g_hash_table_lookup(peers->requests, &frame->id);
    if (request == NULL || request->connection != connection) {
        ch_metrics_count(peers->node->client->metrics, CH_COUNT_LATE_ANSWERS,
                         1);
        peers_submit_frame(peers, frame);
        return;
    }
    connection->awaited--;
    uint64_t id = frame->id; /* a worker may free the frame from here on */
    peers_submit_end(peers, request, CH_OK, frame);
    g_hash_table_remove(peers->requests, &id);
}

/* Ends a frame that needs no handler; a revision that this node does not know
 * yet is learnt from it on the pool, so that pings spread it too. */
static void
end_frame(struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    if (frame->config_revision > ck_pr_load_64(&peers->revision)) {
        peers_submit_frame(peers, frame);
        return;
    }
    ch_wire_frame_free(frame);
}

/* One frame.  Hello, ping and pong end here; the rest goes to the pool. */
static void
take_frame(struct ch_peers *peers, struct connection *connection,
           Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    ch_metrics_count(peers->node->client->metrics, CH_COUNT_FRAMES_RECEIVED,
                     1);
    peers_count(peers, PEERS_RECEIVED, frame->body_case,
                connection->other_region,
                ch_wire_decoder_length(connection->decoder));
    ch_members_record_message(peers->members, frame->from, now);
    ch_members_set_ready(peers->members, frame->from, frame->ready);
    connection->heard = now;
    connection->asked = 0;
    if (connection->name != NULL &&
        strcmp(connection->name, frame->from) != 0) {
        connection->failure = CH_FRAME_DAMAGED;
        ch_wire_frame_free(frame);
        return;
    }
    switch (frame->body_case) {
    case WIRE(FRAME__BODY_HELLO):
        take_hello(peers, connection, frame, now);
        end_frame(peers, frame);
        return;
    case WIRE(FRAME__BODY_PING): {
        Chestnuthitch__Wire__Pong pong = WIRE(PONG__INIT);
        Chestnuthitch__Wire__Frame answer = WIRE(FRAME__INIT);
        answer.body_case = WIRE(FRAME__BODY_PONG);
        answer.pong = &pong;
        connection_put(peers, connection, &answer, now);
        end_frame(peers, frame);
        return;
    }
    case WIRE(FRAME__BODY_PONG):
        end_frame(peers, frame);
        return;
    default:
        break;
    }
    if (frame->reply) {
        take_reply(peers, connection, frame);
        return;
    }
    connection->used = now;
    peers_submit_frame(peers, frame);
}

/* Decodes what the decoder holds.  A bad frame ends this connection alone. */
static void
take_frames(struct ch_peers *peers, struct connection *connection, int64_t now)
{
    struct ch_error error = {0};
    Chestnuthitch__Wire__Frame *frame = NULL;
    while (connection->failure == CH_OK &&
           (frame = ch_wire_decoder_next(connection->decoder, &error)) !=
               NULL) {
        take_frame(peers, connection, frame, now);
    }
    if (error.code == CH_OK && connection->failure != CH_FRAME_DAMAGED) {
        return;
    }
    connection->failure = error.code != CH_OK ? error.code : CH_FRAME_DAMAGED;
    ch_metrics_count(peers->node->client->metrics, CH_COUNT_FRAMES_BAD, 1);
    ch_log(peers->node->client, CH_LOG_WARNING, "bad-frame",
           CH_F_STR("peer", connection->name ? connection->name : "?"),
           CH_F_INT("code", connection->failure),
           CH_F_STR("reason", error.code != CH_OK ? error.message
                                                  : "sender's name changed"),
           CH_F_END);
}

/*
 * Bytes came, if no whole frame yet.  Load: a large frame, as a configuration
 * of some thousand paths, on a slow link.  Harm prevented: the connection is
 * taken for silent in the middle of it, and the frame begun anew each time.
 */
static void
note_bytes(struct connection *connection, int64_t now)
{
    if (connection->asked > 0) {
        connection->asked = now;
    }
    connection->heard = now;
}

/* Reads once: a busy peer must not keep the others waiting.  Whether more may
 * be left. */
static bool
read_connection(struct ch_peers *peers, struct connection *connection,
                int64_t now)
{
    char bytes[READ_SIZE];
    ssize_t count = recv(connection->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            connection->failure = CH_PEER_LOST;
        }
        return false;
    }
    if (count == 0) {
        connection->failure = CH_PEER_LOST;
        return false;
    }
    ch_metrics_count(peers->node->client->metrics,
                     CH_COUNT_FRAME_BYTES_RECEIVED, (uint64_t)count);
    note_bytes(connection, now);
    ch_wire_decoder_feed(connection->decoder, bytes, (size_t)count);
    take_frames(peers, connection, now);
    return (size_t)count == sizeof(bytes);
}

/* Whether the connection that was begun is made. */
static void
finish_connect(struct ch_peers *peers, struct connection *connection,
               int64_t now)
{
    int failure = 0;
    socklen_t length = sizeof(failure);
    getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &failure, &length);
    if (failure == ECONNREFUSED) {
        ch_members_record_refused_connection(peers->members, connection->name,
                                             now);
    }
    if (failure != 0) {
        connection->failure = CH_PEER_LOST;
        return;
    }
    connection->connecting = false;
    connection->heard = now;
    connection_flush(peers, connection);
}

/* Takes every connection that waits at the listener. */
static void
accept_connections(struct ch_peers *peers, int64_t now)
{
    for (;;) {
        struct sockaddr_in from;
        socklen_t length = sizeof(from);
        int fd = accept4(peers->listener, (struct sockaddr *)&from, &length,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        connection_add(peers, fd, NULL, false, now);
    }
}

/* One event of a connection.  Whether more may be left to read. */
static bool
take_event(struct ch_peers *peers, struct connection *connection,
           uint32_t events, int64_t now)
{
    if (connection->failure != CH_OK) {
        return false;
    }
    if (connection->connecting &&
        (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) {
        finish_connect(peers, connection, now);
    }
    else if (events & EPOLLOUT) {
        connection_flush(peers, connection);
    }
    return !connection->connecting &&
           (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) &&
           read_connection(peers, connection, now);
}

/* Takes what epoll told.  Whether more may be left than was read. */
static bool
take_events(struct ch_peers *peers, const struct epoll_event *events,
            int count, int64_t now)
{
    bool left = count < 0 || count == EVENTS;
    for (int i = 0; i < count; i++) {
        if (events[i].data.ptr == peers) {
            accept_connections(peers, now);
        }
        else if (events[i].data.ptr == &peers->wake) {
            uint64_t drained = 0;
            ssize_t got = read(peers->wake, &drained, sizeof(drained));
            (void)got;
        }
        else {
            left |=
                take_event(peers, events[i].data.ptr, events[i].events, now);
        }
    }
    return left;
}

/* ---- the clock's part; the lock is held ---- */

/*
 * Ends a connection on which an answer is due and nothing comes.  Without
 * this, a request that waits at a home which is paused, or on a connection
 * that something between the two has forgotten, would wait for ever, since TCP
 * alone notices after minutes.
 */
static void
watch_connection(struct ch_peers *peers, struct connection *connection,
                 int64_t now)
{
    int64_t silent = (int64_t)peers->node->settings->peer_silent_ms * 1000;
    if (connection->connecting) {
        if (now - connection->opened > silent) {
            connection->failure = CH_PEER_LOST;
        }
        return;
    }
    if (connection->asked > 0 && now - connection->asked > silent) {
        ch_metrics_count(peers->node->client->metrics, CH_COUNT_PEERS_SILENT,
                         1);
        connection->failure = CH_PEER_TIMEOUT;
        return;
    }
    if (connection->awaited > 0 &&
        now - MAX(connection->heard, connection->pinged) >
            silent / PING_SHARE) {
        connection_ping(peers, connection, ch_client_now(peers->node->client));
    }
    int64_t idle = (int64_t)peers->node->settings->idle_connection_ms * 1000;
    if (connection->awaited == 0 && connection->asked == 0 &&
        now - connection->used > (connection->outbound ? idle : 2 * idle)) {
        connection->failure = CH_PEER_LOST;
    }
}

/* Removes the connections that failed, telling membership of them. */
static void
sweep_connections(struct ch_peers *peers, int64_t now)
{
    for (guint i = peers->connections->len; i > 0; i--) {
        struct connection *connection =
            g_ptr_array_index(peers->connections, i - 1);
        if (connection->failure == CH_OK) {
            continue;
        }
        bool idle = connection->awaited == 0 && connection->asked == 0 &&
                    !connection->connecting;
        if (connection->outbound && !idle &&
            ch_members_record_lost_connection(peers->members, connection->name,
                                              now)) {
            ch_log(peers->node->client, CH_LOG_WARNING, "peer-silent",
                   CH_F_STR("peer", connection->name),
                   CH_F_INT("code", connection->failure), CH_F_END);
        }
        connection_drop(peers, connection);
    }
}

/* Ends the requests whose own limit is over. */
static void
expire_requests(struct ch_peers *peers, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, peers->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct request *request = value;
        if (request->due > 0 && request->due <= now) {
            if (request->connection != NULL) {
                request->connection->awaited--;
            }
            peers_submit_end(peers, request, CH_PEER_TIMEOUT, NULL);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Pings the members whose turn it is. */
static void
probe_members(struct ch_peers *peers, int64_t now)
{
    const char *names[PROBES];
    size_t count =
        ch_members_select_probes(peers->members, now, names, PROBES);
    for (size_t i = 0; i < count; i++) {
        struct connection *connection =
            connection_outbound(peers, names[i], now);
        if (connection != NULL) {
            connection_ping(peers, connection,
                            ch_client_now(peers->node->client));
        }
    }
}

/* The start of a silence without a pause; it may have begun within it. */
static int64_t
without_pause(int64_t start, int64_t gap, int64_t now)
{
    return MAX(start, MIN(start + gap, now));
}

/*
 * Takes a pause of this process off what was awaited meanwhile.  What began
 * within the pause gets no more than it has without one.
 */
static void
take_off_pause(struct ch_peers *peers, int64_t gap, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    ch_members_record_pause(peers->members, gap, now);
    for (guint i = 0; i < peers->connections->len; i++) {
        struct connection *connection =
            g_ptr_array_index(peers->connections, i);
        if (connection->asked > 0) {
            connection->asked = without_pause(connection->asked, gap, now);
        }
        connection->opened = without_pause(connection->opened, gap, now);
    }
    g_hash_table_iter_init(&iterator, peers->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct request *request = value;
        if (request->due > 0) {
            request->due =
                request->limit +
                without_pause(request->due - request->limit, gap, now);
        }
    }
}

/* What is done each tick; all that had come at `now` is read. */
static void
tick(struct ch_peers *peers, int64_t now)
{
    int64_t gap = now - peers->last_tick;
    if (peers->last_tick > 0 && gap > PAUSE + TICK_MS * INT64_C(1000)) {
        take_off_pause(peers, gap, now);
    }
    peers->last_tick = now;
    ch_members_set_self_ready(peers->members,
                              ck_pr_load_uint(&peers->ready) != 0);
    for (guint i = 0; i < peers->connections->len; i++) {
        watch_connection(peers, g_ptr_array_index(peers->connections, i), now);
    }
    expire_requests(peers, now);
    probe_members(peers, now);
}

/* Looks whether this node knows by now what a home must know; it does not
 * forget it again.  Without the lock, which comes after the others'. */
static void
refresh_ready(struct ch_peers *peers)
{
    peers_refresh_revision(peers);
    if (ck_pr_load_uint(&peers->ready) == 0 &&
        ck_pr_load_64(&peers->revision) > 0 && peers->node->router != NULL &&
        peers->node->router->ops->ready(peers->node->router)) {
        ck_pr_store_uint(&peers->ready, 1);
    }
}

/* Milliseconds until the next tick is due. */
static int
until_tick(const struct ch_peers *peers, int64_t now)
{
    int64_t left = peers->last_tick + TICK_MS * INT64_C(1000) - now;
    return (int)CLAMP((left + 999) / 1000, 0, TICK_MS);
}

/*
 * Waits for events and takes them, then does the clock's part when it is due.
 * A thread that had no turn for a while finds replies beside limits that have
 * passed, and would tell its callers that others were silent.  So limits are
 * judged by a time at which all that had come is surely read: before the wait,
 * or at the end of one that brought nothing.
 */
static void
take_turn(struct ch_peers *peers)
{
    struct epoll_event events[EVENTS];
    const struct ch_client *client = peers->node->client;
    int64_t before = ch_client_now(client);
    int wait = until_tick(peers, before);
    int count = epoll_wait(peers->epoll, events, EVENTS, wait);
    int64_t now = ch_client_now(client);
    int64_t read_at =
        count == 0 ? MIN(before + wait * INT64_C(1000), now) : before;
    pthread_mutex_lock(&peers->lock);
    bool left = take_events(peers, events, count, now);
    peers->behind = left ? (peers->behind + 1) % MOST_BEHIND : 0;
    if (peers->behind == 0 &&
        read_at - peers->last_tick >= TICK_MS * INT64_C(1000)) {
        tick(peers, read_at);
    }
    sweep_connections(peers, read_at);
    pthread_mutex_unlock(&peers->lock);
}

/* Whether the thread is to end. */
static bool
is_stopping(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    bool stopping = peers->stopping;
    pthread_mutex_unlock(&peers->lock);
    return stopping;
}

/* The thread. */
void *
peers_run(void *data)
{
    struct ch_peers *peers = data;
    while (!is_stopping(peers)) {
        refresh_ready(peers);
        take_turn(peers);
    }
    return NULL;
}
