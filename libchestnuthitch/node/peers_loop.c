/* The thread of the connections between nodes: receives frames and checks
 * timeouts. */

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
    READ_BUFFER_BYTES = 64 * 1024,
    MAX_EVENTS = 64,
    MAX_PROBES_PER_TICK = 16,
    /* Pings per silence limit: three of them may be lost while this process
     * stalls before a live connection is closed. */
    PINGS_PER_SILENCE_LIMIT = 4,
    /* A gap between ticks that exceeds the tick by more than this counts as a
     * pause of this process, and is not counted as silence of others. */
    MIN_PAUSE_US = 250 * 1000,
    /* Polls in a row that may leave data unread before timeouts are checked
     * all the same: otherwise a peer that never stops sending would hold up
     * every timeout. */
    MAX_POLLS_BEHIND = 32,
};

/* ---- received data; the lock is held ---- */

/*
 * Adds a node that connected to this one as a member, until a host list is
 * received. Without this, a host that restarts while the key-value store is
 * unavailable knows no node to ask for the configuration and the upstreams,
 * and refuses its callers until the store is back.
 */
static void
add_unlisted_member(struct ch_peers *peers,
                    const Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    const Chestnuthitch__Wire__Hello *hello = frame->hello;
    if (peers->members_listed || !ch_address_check(hello->address, NULL)) {
        return;
    }
    ch_members_update_member(peers->members, frame->from, hello->address,
                             hello->region, hello->data_centre, false, now);
}

/* Learns the sender's name and region from the Hello of an inbound connection,
 * and answers with a Hello. */
static void
handle_hello(struct ch_peers *peers, struct connection *connection,
             const Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    add_unlisted_member(peers, frame, now);
    ch_members_set_incarnation(peers->members, frame->from,
                               frame->hello->incarnation);
    if (frame->hello->relay_port <= UINT16_MAX) {
        ch_members_set_relay_port(peers->members, frame->from,
                                  (uint16_t)frame->hello->relay_port);
    }
    if (connection->outbound || connection->name != NULL) {
        return;
    }
    connection->name = g_strdup(frame->from);
    connection->other_region =
        strcmp(frame->hello->region, peers->node->settings->region) != 0;
    g_hash_table_replace(peers->inbound, connection->name, connection);
    connection_send_hello(peers, connection, now);
}

/* Passes a reply to its waiting request; a late reply goes to the late
 * handler. */
static void
handle_reply(struct ch_peers *peers, struct connection *connection,
             Chestnuthitch__Wire__Frame *frame)
{
    struct request *request = g_hash_table_lookup(peers->requests, &frame->id);
    if (request == NULL || request->connection != connection) {
        ch_metrics_add_count(peers->node->client->metrics,
                             CH_COUNT_LATE_ANSWERS, 1);
        peers_submit_frame(peers, frame);
        return;
    }
    connection->pending_requests--;
    uint64_t id = frame->id; /* a worker may free the frame from here on */
    peers_submit_result(peers, request, CH_OK, frame);
    g_hash_table_remove(peers->requests, &id);
}

/* Ends a frame that needs no handler. A frame with a configuration revision
 * that this node does not know goes to the pool, so that pings spread
 * revisions too. */
static void
finish_frame(struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    if (frame->config_revision > ck_pr_load_64(&peers->config_revision)) {
        peers_submit_frame(peers, frame);
        return;
    }
    ch_wire_frame_free(frame);
}

/* Handles one frame. Hello, ping and pong are handled here; all others go to
 * the pool. */
static void
handle_frame(struct ch_peers *peers, struct connection *connection,
             Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    ch_metrics_add_count(peers->node->client->metrics,
                         CH_COUNT_FRAMES_RECEIVED, 1);
    peers_count_frame(peers, PEERS_RECEIVED, frame->body_case,
                      connection->other_region,
                      ch_wire_decoder_get_frame_length(connection->decoder));
    ch_members_record_message(peers->members, frame->from, now);
    ch_members_set_ready(peers->members, frame->from, frame->ready);
    ch_members_set_no_path(peers->members, frame->from, frame->no_path);
    connection->last_received_at = now;
    connection->unanswered_ping_at = 0;
    if (connection->name != NULL &&
        strcmp(connection->name, frame->from) != 0) {
        connection->failure = CH_FRAME_DAMAGED;
        ch_wire_frame_free(frame);
        return;
    }
    switch (frame->body_case) {
    case WIRE(FRAME__BODY_HELLO):
        handle_hello(peers, connection, frame, now);
        finish_frame(peers, frame);
        return;
    case WIRE(FRAME__BODY_PING): {
        Chestnuthitch__Wire__Pong pong = WIRE(PONG__INIT);
        Chestnuthitch__Wire__Frame pong_frame = WIRE(FRAME__INIT);
        pong_frame.body_case = WIRE(FRAME__BODY_PONG);
        pong_frame.pong = &pong;
        connection_send_frame(peers, connection, &pong_frame, now);
        finish_frame(peers, frame);
        return;
    }
    case WIRE(FRAME__BODY_PONG):
        finish_frame(peers, frame);
        return;
    default:
        break;
    }
    if (frame->reply) {
        handle_reply(peers, connection, frame);
        return;
    }
    connection->last_used_at = now;
    peers_submit_frame(peers, frame);
}

/* Decodes and handles the frames received so far. A bad frame closes this
 * connection only. */
static void
handle_frames(struct ch_peers *peers, struct connection *connection,
              int64_t now)
{
    struct ch_error error = {0};
    Chestnuthitch__Wire__Frame *frame = NULL;
    while (connection->failure == CH_OK &&
           (frame = ch_wire_decoder_next(connection->decoder, &error)) !=
               NULL) {
        handle_frame(peers, connection, frame, now);
    }
    if (error.code == CH_OK && connection->failure != CH_FRAME_DAMAGED) {
        return;
    }
    connection->failure = error.code != CH_OK ? error.code : CH_FRAME_DAMAGED;
    ch_metrics_add_count(peers->node->client->metrics, CH_COUNT_FRAMES_BAD, 1);
    ch_log(peers->node->client, CH_LOG_WARNING, "bad-frame",
           CH_F_STR("peer", connection->name ? connection->name : "?"),
           CH_F_INT("code", connection->failure),
           CH_F_STR("reason", error.code != CH_OK
                                  ? error.message
                                  : "the sender's name changed"),
           CH_F_END);
}

/*
 * Counts received bytes as a sign of life before the frame is complete.
 * Without this, a large frame on a slow link, such as a configuration of
 * several thousand paths, looks like silence: the connection is closed in the
 * middle of the frame, and the frame is sent from the start again and again.
 */
static void
record_bytes(struct connection *connection, int64_t now)
{
    if (connection->unanswered_ping_at > 0) {
        connection->unanswered_ping_at = now;
    }
    connection->last_received_at = now;
}

/* Reads once, so that a busy peer does not delay the others. True when more
 * may be left to read. */
static bool
read_connection(struct ch_peers *peers, struct connection *connection,
                int64_t now)
{
    char bytes[READ_BUFFER_BYTES];
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
    ch_metrics_add_count(peers->node->client->metrics,
                         CH_COUNT_FRAME_BYTES_RECEIVED, (uint64_t)count);
    record_bytes(connection, now);
    ch_wire_decoder_feed(connection->decoder, bytes, (size_t)count);
    handle_frames(peers, connection, now);
    return (size_t)count == sizeof(bytes);
}

/* Completes or fails a connection attempt. */
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
    connection->last_received_at = now;
    connection_flush(peers, connection);
}

/* Accepts every waiting connection. */
static void
accept_connections(struct ch_peers *peers, int64_t now)
{
    for (;;) {
        struct sockaddr_in from;
        socklen_t length = sizeof(from);
        int fd = accept4(peers->listener_fd, (struct sockaddr *)&from, &length,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        connection_add(peers, fd, NULL, false, now);
    }
}

/* Handles one event of a connection. True when more may be left to read. */
static bool
handle_event(struct ch_peers *peers, struct connection *connection,
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

/* Handles the events from epoll. True when data may be left unread. */
static bool
handle_events(struct ch_peers *peers, const struct epoll_event *events,
              int count, int64_t now)
{
    bool more_left = count < 0 || count == MAX_EVENTS;
    for (int i = 0; i < count; i++) {
        if (events[i].data.ptr == peers) {
            accept_connections(peers, now);
        }
        else if (events[i].data.ptr == &peers->wake_fd) {
            uint64_t drained = 0;
            ssize_t got = read(peers->wake_fd, &drained, sizeof(drained));
            (void)got;
        }
        else {
            more_left |=
                handle_event(peers, events[i].data.ptr, events[i].events, now);
        }
    }
    return more_left;
}

/* ---- timeouts; the lock is held ---- */

/*
 * Fails a connection on which a reply or pong is due and nothing arrives.
 * Without this, a request that waits at a paused home node, or on a connection
 * that a device in between has dropped, would wait forever: TCP itself notices
 * only after minutes. Also pings while requests wait, and closes idle
 * connections.
 */
static void
check_connection(struct ch_peers *peers, struct connection *connection,
                 int64_t now)
{
    int64_t silence_limit =
        (int64_t)peers->node->settings->peer_timeout_ms * 1000;
    if (connection->connecting) {
        if (now - connection->opened_at > silence_limit) {
            connection->failure = CH_PEER_LOST;
        }
        return;
    }
    if (connection->unanswered_ping_at > 0 &&
        now - connection->unanswered_ping_at > silence_limit) {
        ch_metrics_add_count(peers->node->client->metrics,
                             CH_COUNT_PEERS_SILENT, 1);
        connection->failure = CH_PEER_TIMEOUT;
        return;
    }
    if (connection->pending_requests > 0 &&
        now - MAX(connection->last_received_at, connection->last_ping_at) >
            silence_limit / PINGS_PER_SILENCE_LIMIT) {
        connection_send_ping(peers, connection,
                             ch_client_get_time(peers->node->client));
    }
    int64_t idle_limit =
        (int64_t)peers->node->settings->idle_connection_ms * 1000;
    if (connection->pending_requests == 0 &&
        connection->unanswered_ping_at == 0 &&
        now - connection->last_used_at >
            (connection->outbound ? idle_limit : 2 * idle_limit)) {
        connection->failure = CH_PEER_LOST;
    }
}

/* Closes the connections that failed and reports the lost nodes to the
 * membership. */
static void
close_failed_connections(struct ch_peers *peers, int64_t now)
{
    for (guint i = peers->connections->len; i > 0; i--) {
        struct connection *connection =
            g_ptr_array_index(peers->connections, i - 1);
        if (connection->failure == CH_OK) {
            continue;
        }
        bool is_idle = connection->pending_requests == 0 &&
                       connection->unanswered_ping_at == 0 &&
                       !connection->connecting;
        if (connection->outbound && !is_idle &&
            ch_members_record_lost_connection(peers->members, connection->name,
                                              now)) {
            ch_log(peers->node->client, CH_LOG_WARNING, "peer-silent",
                   CH_F_STR("peer", connection->name),
                   CH_F_INT("code", connection->failure), CH_F_END);
        }
        connection_close(peers, connection);
    }
}

/* Ends the requests whose deadline has passed with PEER_TIMEOUT. */
static void
expire_requests(struct ch_peers *peers, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, peers->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct request *request = value;
        if (request->deadline > 0 && request->deadline <= now) {
            if (request->connection != NULL) {
                request->connection->pending_requests--;
            }
            peers_submit_result(peers, request, CH_PEER_TIMEOUT, NULL);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Pings the members that are due for a probe. */
static void
probe_members(struct ch_peers *peers, int64_t now)
{
    const char *names[MAX_PROBES_PER_TICK];
    size_t count = ch_members_select_probes(peers->members, now, names,
                                            MAX_PROBES_PER_TICK);
    for (size_t i = 0; i < count; i++) {
        struct connection *connection =
            connection_get_outbound(peers, names[i], now);
        if (connection != NULL) {
            connection_send_ping(peers, connection,
                                 ch_client_get_time(peers->node->client));
        }
    }
}

/* Moves the start of a silence later by the length of a pause, but not beyond
 * now: the silence may have begun within the pause. */
static int64_t
exclude_pause(int64_t start, int64_t gap, int64_t now)
{
    return MAX(start, MIN(start + gap, now));
}

/*
 * Extends every running timeout by a pause of this process. A timeout that
 * began within the pause is extended only as far as its normal length from
 * now.
 */
static void
apply_pause(struct ch_peers *peers, int64_t gap, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    ch_members_record_pause(peers->members, gap, now);
    for (guint i = 0; i < peers->connections->len; i++) {
        struct connection *connection =
            g_ptr_array_index(peers->connections, i);
        if (connection->unanswered_ping_at > 0) {
            connection->unanswered_ping_at =
                exclude_pause(connection->unanswered_ping_at, gap, now);
        }
        connection->opened_at = exclude_pause(connection->opened_at, gap, now);
    }
    g_hash_table_iter_init(&iterator, peers->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct request *request = value;
        if (request->deadline > 0) {
            request->deadline =
                request->timeout +
                exclude_pause(request->deadline - request->timeout, gap, now);
        }
    }
}

/* Checks all timeouts; everything that had arrived at `now` has been read. */
static void
tick(struct ch_peers *peers, int64_t now)
{
    int64_t gap = now - peers->last_tick_at;
    if (peers->last_tick_at > 0 &&
        gap > MIN_PAUSE_US + TICK_MS * INT64_C(1000)) {
        apply_pause(peers, gap, now);
    }
    peers->last_tick_at = now;
    ch_members_set_self_ready(peers->members,
                              ck_pr_load_uint(&peers->ready) != 0 &&
                                  ck_pr_load_uint(&peers->no_path) == 0);
    for (guint i = 0; i < peers->connections->len; i++) {
        check_connection(peers, g_ptr_array_index(peers->connections, i), now);
    }
    expire_requests(peers, now);
    probe_members(peers, now);
}

/* Sets ready once this node knows a configuration and enough of the upstreams
 * to be a home node; ready is never cleared. Called without the lock, which
 * comes after the router's and the configuration's in the lock order. */
static void
refresh_ready(struct ch_peers *peers)
{
    peers_refresh_revision(peers);
    if (ck_pr_load_uint(&peers->ready) == 0 &&
        ck_pr_load_64(&peers->config_revision) > 0 &&
        peers->node->router != NULL &&
        peers->node->router->ops->is_ready(peers->node->router)) {
        ck_pr_store_uint(&peers->ready, 1);
    }
}

/* Milliseconds until the next tick is due. */
static int
get_ms_until_tick(const struct ch_peers *peers, int64_t now)
{
    int64_t left = peers->last_tick_at + TICK_MS * INT64_C(1000) - now;
    return (int)CLAMP((left + 999) / 1000, 0, TICK_MS);
}

/*
 * Waits for events and handles them, then runs the tick when it is due. A
 * thread that did not run for a while finds replies next to timeouts that have
 * passed, and would report other nodes as silent. So timeouts are compared
 * with a time at which everything that had arrived is known to be read: the
 * time before the wait, or the end of a wait that brought no event.
 */
static void
poll_once(struct ch_peers *peers)
{
    struct epoll_event events[MAX_EVENTS];
    const struct ch_client *client = peers->node->client;
    int64_t before = ch_client_get_time(client);
    int wait = get_ms_until_tick(peers, before);
    int count = epoll_wait(peers->epoll_fd, events, MAX_EVENTS, wait);
    int64_t now = ch_client_get_time(client);
    int64_t read_up_to =
        count == 0 ? MIN(before + wait * INT64_C(1000), now) : before;
    pthread_mutex_lock(&peers->lock);
    bool more_left = handle_events(peers, events, count, now);
    peers->polls_behind =
        more_left ? (peers->polls_behind + 1) % MAX_POLLS_BEHIND : 0;
    if (peers->polls_behind == 0 &&
        read_up_to - peers->last_tick_at >= TICK_MS * INT64_C(1000)) {
        tick(peers, read_up_to);
    }
    close_failed_connections(peers, read_up_to);
    pthread_mutex_unlock(&peers->lock);
}

static bool
is_stopping(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    bool stopping = peers->stopping;
    pthread_mutex_unlock(&peers->lock);
    return stopping;
}

/* See peers_internal.h. */
void *
peers_run_thread(void *data)
{
    struct ch_peers *peers = data;
    while (!is_stopping(peers)) {
        refresh_ready(peers);
        poll_once(peers);
    }
    return NULL;
}
