/*
 * Frames to and from other nodes over TCP: one thread, epoll, one outbound
 * connection for each node that this one talks to.  Replies go back on the
 * connection that the request came by, so that a requester whose connection
 * went knows that no reply will come.
 */

#include "node/node.h"

#include "decide/member.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    TICK_MS = 50,
    READ_SIZE = 64 * 1024,
    EVENTS = 64,
    PROBES = 16,
    BODY_CASES = 32,
    /* A quarter of the silent limit: three pings may be lost to a stall of
     * this process before a live connection is given up. */
    PING_SHARE = 4,
    /* A pause of this process longer than this is taken off the silences. */
    PAUSE = 250 * 1000,
    /*
     * Most bytes waiting on one connection.  One configuration at the largest
     * and 6 MB of small frames: a peer that reads nothing for the silent limit
     * is dropped long before, and memory stays bounded meanwhile.
     */
    MOST_WAITING = 8 * 1024 * 1024,
};

struct connection {
    int fd;
    bool outbound;
    bool connecting;
    char *name; /* NULL until an inbound one has said its name */
    struct ch_wire_decoder *decoder;
    GByteArray *out;
    size_t out_sent;
    int64_t opened;
    int64_t heard;
    int64_t asked;  /* first thing sent that awaits an answer; 0: nothing */
    int64_t pinged; /* last ping */
    int64_t used;
    unsigned awaited; /* requests that wait for a reply */
    enum ch_code failure;
};

struct request {
    uint64_t id;
    struct connection *connection; /* NULL: to this node itself */
    int64_t due;                   /* 0: while the connection lives */
    void (*done)(void *data, enum ch_code code,
                 const Chestnuthitch__Wire__Frame *reply);
    void *data;
};

struct handler {
    void (*handle)(void *data, const Chestnuthitch__Wire__Frame *frame);
    void *data;
};

struct ch_peers {
    struct ch_node *node;
    pthread_mutex_t lock;
    pthread_t thread;
    bool started;
    bool stopping;
    int epoll;
    int wake;
    int listener;
    uint16_t port;
    struct ch_members *members;
    GPtrArray *connections;
    GHashTable *outbound; /* name to connection */
    GHashTable *inbound;  /* name to the latest connection */
    GHashTable *requests; /* id to struct request */
    uint64_t last_id;
    int64_t last_tick;
    struct handler handlers[BODY_CASES];
    struct handler late;
};

/* ---- jobs: what runs on the pool ---- */

struct job {
    struct ch_peers *peers;
    Chestnuthitch__Wire__Frame *frame;
    void (*done)(void *data, enum ch_code code,
                 const Chestnuthitch__Wire__Frame *reply);
    void *data;
    enum ch_code code;
};

/* Tells the configuration keeper of the revision that a frame bears. */
static void
learn_revision(const struct ch_peers *peers,
               const Chestnuthitch__Wire__Frame *frame)
{
    if (frame->config_revision > 0 && peers->node->config != NULL) {
        ch_config_keeper_learn(peers->node->config, frame->config_revision,
                               frame->from);
    }
}

/* Runs one job: a reply or failure for a requester, or a frame for its
 * handler. */
static void
run_job(void *data)
{
    struct job *job = data;
    struct ch_peers *peers = job->peers;
    if (job->frame != NULL) {
        learn_revision(peers, job->frame);
    }
    if (job->done != NULL) {
        job->done(job->data, job->code, job->frame);
    }
    else if (job->frame != NULL && job->frame->reply) {
        if (peers->late.handle != NULL) {
            peers->late.handle(peers->late.data, job->frame);
        }
    }
    else if (job->frame != NULL &&
             (unsigned)job->frame->body_case < (unsigned)BODY_CASES) {
        const struct handler *handler =
            &peers->handlers[job->frame->body_case];
        if (handler->handle != NULL) {
            handler->handle(handler->data, job->frame);
        }
    }
    ch_wire_frame_free(job->frame);
    g_free(job);
}

/* Hands a frame that came, owned by the job from now, to the pool. */
static void
submit_frame(struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    struct job *job = g_new0(struct job, 1);
    job->peers = peers;
    job->frame = frame;
    ch_pool_submit(peers->node->pool, run_job, job);
}

/* Ends a request with a reply (owned by the job from now) or a failure. */
static void
submit_end(struct ch_peers *peers, const struct request *request,
           enum ch_code code, Chestnuthitch__Wire__Frame *reply)
{
    struct job *job = g_new0(struct job, 1);
    job->peers = peers;
    job->frame = reply;
    job->done = request->done;
    job->data = request->data;
    job->code = code;
    ch_pool_submit(peers->node->pool, run_job, job);
}

/* ---- connections; the lock is held in all of these ---- */

/* Has the thread look at its connections again. */
static void
wake_thread(struct ch_peers *peers)
{
    uint64_t one = 1;
    ssize_t written = write(peers->wake, &one, sizeof(one));
    (void)written;
}

/* Says which events the thread is to hear of. */
static void
set_events(struct ch_peers *peers, struct connection *connection)
{
    bool wants_out =
        connection->connecting || connection->out_sent < connection->out->len;
    struct epoll_event event = {
        .events = EPOLLIN | (wants_out ? EPOLLOUT : 0U),
        .data.ptr = connection,
    };
    epoll_ctl(peers->epoll, EPOLL_CTL_MOD, connection->fd, &event);
}

/* Takes up a socket. */
static struct connection *
add_connection(struct ch_peers *peers, int fd, const char *name, bool outbound,
               int64_t now)
{
    struct connection *connection = g_new0(struct connection, 1);
    connection->fd = fd;
    connection->outbound = outbound;
    connection->connecting = outbound;
    connection->name = g_strdup(name);
    connection->decoder = ch_wire_decoder_new();
    connection->out = g_byte_array_new();
    connection->opened = now;
    connection->heard = now;
    connection->used = now;
    g_ptr_array_add(peers->connections, connection);
    struct epoll_event event = {
        .events = EPOLLIN | (outbound ? EPOLLOUT : 0U),
        .data.ptr = connection,
    };
    epoll_ctl(peers->epoll, EPOLL_CTL_ADD, fd, &event);
    return connection;
}

/* Writes what waits, as far as the socket takes it. */
static void
flush_connection(struct ch_peers *peers, struct connection *connection)
{
    while (connection->out_sent < connection->out->len) {
        ssize_t sent =
            send(connection->fd, connection->out->data + connection->out_sent,
                 connection->out->len - connection->out_sent,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                connection->failure = CH_PEER_LOST;
            }
            break;
        }
        ch_metrics_count(peers->node->client->metrics,
                         CH_COUNT_FRAME_BYTES_SENT, (uint64_t)sent);
        connection->out_sent += (size_t)sent;
    }
    if (connection->out_sent == connection->out->len) {
        g_byte_array_set_size(connection->out, 0);
        connection->out_sent = 0;
    }
    set_events(peers, connection);
}

/* Puts a frame on a connection and sends what can be sent at once. */
static bool
put_frame(struct ch_peers *peers, struct connection *connection,
          Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    struct ch_error error = {0};
    frame->version = CH_WIRE_VERSION;
    frame->from = (char *)peers->node->settings->name;
    if (connection->failure != CH_OK ||
        connection->out->len - connection->out_sent > MOST_WAITING ||
        !ch_wire_encode(frame, connection->out, &error)) {
        return false;
    }
    ch_metrics_count(peers->node->client->metrics, CH_COUNT_FRAMES_SENT, 1);
    connection->used = now;
    if (!connection->connecting) {
        flush_connection(peers, connection);
    }
    if (connection->failure != CH_OK) {
        wake_thread(peers);
        return false;
    }
    return true;
}

/* Sends who this is: the first frame of every connection. */
static void
put_hello(struct ch_peers *peers, struct connection *connection, int64_t now)
{
    Chestnuthitch__Wire__Hello hello = WIRE(HELLO__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    hello.region = peers->node->settings->region;
    hello.data_centre = peers->node->settings->data_centre;
    hello.incarnation = peers->node->incarnation;
    frame.body_case = WIRE(FRAME__BODY_HELLO);
    frame.hello = &hello;
    put_frame(peers, connection, &frame, now);
}

/* Sends a ping; its answer shows that the other end still serves. */
static void
put_ping(struct ch_peers *peers, struct connection *connection, int64_t now)
{
    Chestnuthitch__Wire__Ping ping = WIRE(PING__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_PING);
    frame.ping = &ping;
    connection->pinged = now;
    if (connection->asked == 0) {
        connection->asked = now;
    }
    put_frame(peers, connection, &frame, now);
}

/* Begins a connection to an address; NULL when that fails at once. */
static struct connection *
open_connection(struct ch_peers *peers, const struct ch_member *member,
                int64_t now)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    const char *colon = strrchr(member->address, ':');
    char host[INET_ADDRSTRLEN] = "";
    if (colon == NULL || (size_t)(colon - member->address) >= sizeof(host)) {
        return NULL;
    }
    memcpy(host, member->address, (size_t)(colon - member->address));
    address.sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
    if (inet_pton(AF_INET, host, &address.sin_addr) != 1) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        if (errno == ECONNREFUSED) {
            ch_members_refused(peers->members, member->name, now);
        }
        close(fd);
        return NULL;
    }
    struct connection *connection =
        add_connection(peers, fd, member->name, true, now);
    g_hash_table_insert(peers->outbound, connection->name, connection);
    put_hello(peers, connection, now);
    return connection;
}

/* The connection for sending to a node, begun when there is none. */
static struct connection *
outbound_to(struct ch_peers *peers, const char *name, int64_t now)
{
    struct connection *connection = g_hash_table_lookup(peers->outbound, name);
    if (connection != NULL && connection->failure == CH_OK) {
        return connection;
    }
    if (connection != NULL) {
        g_hash_table_remove(peers->outbound, name);
    }
    const struct ch_member *member = ch_members_find(peers->members, name);
    if (member == NULL) {
        return NULL;
    }
    connection = open_connection(peers, member, now);
    if (connection == NULL) {
        ch_members_lost(peers->members, name, now);
    }
    return connection;
}

/* Ends every request that waits on a connection. */
static void
fail_requests(struct ch_peers *peers, const struct connection *connection)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, peers->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct request *request = value;
        if (request->connection == connection) {
            submit_end(peers, request, CH_PEER_LOST, NULL);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Closes a connection and forgets it. */
static void
drop_connection(struct ch_peers *peers, struct connection *connection)
{
    fail_requests(peers, connection);
    if (connection->name != NULL) {
        GHashTable *table =
            connection->outbound ? peers->outbound : peers->inbound;
        if (g_hash_table_lookup(table, connection->name) == connection) {
            g_hash_table_remove(table, connection->name);
        }
    }
    epoll_ctl(peers->epoll, EPOLL_CTL_DEL, connection->fd, NULL);
    close(connection->fd);
    ch_wire_decoder_free(connection->decoder);
    g_byte_array_free(connection->out, TRUE);
    g_free(connection->name);
    g_ptr_array_remove_fast(peers->connections, connection);
    g_free(connection);
}

/* ---- what comes; the lock is held ---- */

/* An inbound connection says whose it is. */
static void
take_hello(struct ch_peers *peers, struct connection *connection,
           const Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    ch_members_incarnation(peers->members, frame->from,
                           frame->hello->incarnation);
    if (connection->outbound || connection->name != NULL) {
        return;
    }
    connection->name = g_strdup(frame->from);
    g_hash_table_replace(peers->inbound, connection->name, connection);
    put_hello(peers, connection, now);
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
        submit_frame(peers, frame);
        return;
    }
    connection->awaited--;
    uint64_t id = frame->id; /* a worker may free the frame from here on */
    submit_end(peers, request, CH_OK, frame);
    g_hash_table_remove(peers->requests, &id);
}

/* One frame.  Hello, ping and pong end here; the rest goes to the pool. */
static void
take_frame(struct ch_peers *peers, struct connection *connection,
           Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    ch_metrics_count(peers->node->client->metrics, CH_COUNT_FRAMES_RECEIVED,
                     1);
    ch_members_heard(peers->members, frame->from, now);
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
        ch_wire_frame_free(frame);
        return;
    case WIRE(FRAME__BODY_PING): {
        Chestnuthitch__Wire__Pong pong = WIRE(PONG__INIT);
        Chestnuthitch__Wire__Frame answer = WIRE(FRAME__INIT);
        answer.body_case = WIRE(FRAME__BODY_PONG);
        answer.pong = &pong;
        put_frame(peers, connection, &answer, now);
        ch_wire_frame_free(frame);
        return;
    }
    case WIRE(FRAME__BODY_PONG):
        ch_wire_frame_free(frame);
        return;
    default:
        break;
    }
    if (frame->reply) {
        take_reply(peers, connection, frame);
        return;
    }
    connection->used = now;
    submit_frame(peers, frame);
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

/* Reads once: a busy peer must not keep the others waiting. */
static void
read_connection(struct ch_peers *peers, struct connection *connection,
                int64_t now)
{
    char bytes[READ_SIZE];
    ssize_t count = recv(connection->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            connection->failure = CH_PEER_LOST;
        }
        return;
    }
    if (count == 0) {
        connection->failure = CH_PEER_LOST;
        return;
    }
    ch_metrics_count(peers->node->client->metrics,
                     CH_COUNT_FRAME_BYTES_RECEIVED, (uint64_t)count);
    ch_wire_decoder_feed(connection->decoder, bytes, (size_t)count);
    take_frames(peers, connection, now);
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
        ch_members_refused(peers->members, connection->name, now);
    }
    if (failure != 0) {
        connection->failure = CH_PEER_LOST;
        return;
    }
    connection->connecting = false;
    connection->heard = now;
    flush_connection(peers, connection);
}

/* Takes every connection that waits at the listener. */
static void
accept_connections(struct ch_peers *peers, int64_t now)
{
    for (;;) {
        int fd =
            accept4(peers->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        add_connection(peers, fd, NULL, false, now);
    }
}

/* One event of a connection. */
static void
take_event(struct ch_peers *peers, struct connection *connection,
           uint32_t events, int64_t now)
{
    if (connection->failure != CH_OK) {
        return;
    }
    if (connection->connecting &&
        (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) {
        finish_connect(peers, connection, now);
    }
    else if (events & EPOLLOUT) {
        flush_connection(peers, connection);
    }
    if (!connection->connecting &&
        (events & (EPOLLIN | EPOLLERR | EPOLLHUP))) {
        read_connection(peers, connection, now);
    }
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
        put_ping(peers, connection, now);
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
            ch_members_lost(peers->members, connection->name, now)) {
            ch_log(peers->node->client, CH_LOG_WARNING, "peer-silent",
                   CH_F_STR("peer", connection->name),
                   CH_F_INT("code", connection->failure), CH_F_END);
        }
        drop_connection(peers, connection);
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
            submit_end(peers, request, CH_PEER_TIMEOUT, NULL);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Pings the members whose turn it is. */
static void
probe_members(struct ch_peers *peers, int64_t now)
{
    const char *names[PROBES];
    size_t count = ch_members_probe(peers->members, now, names, PROBES);
    for (size_t i = 0; i < count; i++) {
        struct connection *connection = outbound_to(peers, names[i], now);
        if (connection != NULL) {
            put_ping(peers, connection, now);
        }
    }
}

/* What is done each tick. */
static void
tick(struct ch_peers *peers, int64_t now)
{
    int64_t gap = now - peers->last_tick - TICK_MS * INT64_C(1000);
    if (peers->last_tick > 0 && gap > PAUSE) {
        ch_members_paused(peers->members, gap);
        for (guint i = 0; i < peers->connections->len; i++) {
            struct connection *connection =
                g_ptr_array_index(peers->connections, i);
            connection->asked += connection->asked > 0 ? gap : 0;
            connection->opened += gap;
        }
    }
    peers->last_tick = now;
    for (guint i = 0; i < peers->connections->len; i++) {
        watch_connection(peers, g_ptr_array_index(peers->connections, i), now);
    }
    expire_requests(peers, now);
    probe_members(peers, now);
}

/* The thread: waits for events, then does the clock's part when it is due. */
static void *
run_peers(void *data)
{
    struct ch_peers *peers = data;
    struct epoll_event events[EVENTS];
    pthread_mutex_lock(&peers->lock);
    while (!peers->stopping) {
        pthread_mutex_unlock(&peers->lock);
        int count = epoll_wait(peers->epoll, events, EVENTS, TICK_MS);
        pthread_mutex_lock(&peers->lock);
        int64_t now = ch_client_now(peers->node->client);
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
                take_event(peers, events[i].data.ptr, events[i].events, now);
            }
        }
        if (now - peers->last_tick >= TICK_MS * INT64_C(1000)) {
            tick(peers, now);
        }
        sweep_connections(peers, now);
    }
    pthread_mutex_unlock(&peers->lock);
    return NULL;
}

/* ---- the package's functions ---- */

/* Opens the listener of the settings; false with SYSTEM. */
static bool
open_listener(struct ch_peers *peers, const char *text, struct ch_error *error)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    const char *colon = strrchr(text, ':');
    char *host = g_strndup(text, (gsize)(colon - text));
    int parsed = inet_pton(AF_INET, host, &address.sin_addr);
    g_free(host);
    address.sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
    peers->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(peers->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (parsed != 1 || peers->listener < 0 ||
        bind(peers->listener, (struct sockaddr *)&address, length) != 0 ||
        listen(peers->listener, SOMAXCONN) != 0 ||
        getsockname(peers->listener, (struct sockaddr *)&address, &length) !=
            0) {
        ch_error_set(error, CH_SYSTEM, "[listen] peers %s: %s", text,
                     g_strerror(errno));
        return false;
    }
    peers->port = ntohs(address.sin_port);
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = peers};
    epoll_ctl(peers->epoll, EPOLL_CTL_ADD, peers->listener, &event);
    return true;
}

/* Opens the listener; NULL with SYSTEM when it can't be.  Nothing is taken
 * before ch_peers_start. */
struct ch_peers *
ch_peers_new(struct ch_node *node, struct ch_error *error)
{
    const struct ch_settings *settings = node->settings;
    struct ch_peers *peers = g_new0(struct ch_peers, 1);
    peers->node = node;
    peers->listener = -1;
    pthread_mutex_init(&peers->lock, NULL);
    peers->epoll = epoll_create1(EPOLL_CLOEXEC);
    peers->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = &peers->wake};
    epoll_ctl(peers->epoll, EPOLL_CTL_ADD, peers->wake, &event);
    peers->members = ch_members_new(
        settings->name, settings->region, settings->data_centre,
        ch_hash_pair(node->incarnation, ch_hash_string(settings->name)),
        (int64_t)settings->peer_silent_ms * 1000);
    peers->connections = g_ptr_array_new();
    peers->outbound = g_hash_table_new(g_str_hash, g_str_equal);
    peers->inbound = g_hash_table_new(g_str_hash, g_str_equal);
    peers->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    if (!open_listener(peers, settings->peers, error)) {
        ch_peers_free(peers);
        return NULL;
    }
    return peers;
}

/* Starts the thread; the handlers are set by now. */
void
ch_peers_start(struct ch_peers *peers)
{
    if (pthread_create(&peers->thread, NULL, run_peers, peers) != 0) {
        g_error("no thread for the connections between nodes");
    }
    peers->started = true;
}

/* Ends the thread and every connection; what waits ends with PEER_LOST. */
void
ch_peers_stop(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    peers->stopping = true;
    pthread_mutex_unlock(&peers->lock);
    wake_thread(peers);
    if (peers->started) {
        pthread_join(peers->thread, NULL);
        peers->started = false;
    }
    pthread_mutex_lock(&peers->lock);
    while (peers->connections->len > 0) {
        drop_connection(peers, g_ptr_array_index(peers->connections, 0));
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Frees the peers after their stop and after the last job of the pool. */
void
ch_peers_free(struct ch_peers *peers)
{
    if (peers == NULL) {
        return;
    }
    if (peers->listener >= 0) {
        close(peers->listener);
    }
    close(peers->epoll);
    close(peers->wake);
    ch_members_free(peers->members);
    g_ptr_array_free(peers->connections, TRUE);
    g_hash_table_destroy(peers->outbound);
    g_hash_table_destroy(peers->inbound);
    g_hash_table_destroy(peers->requests);
    pthread_mutex_destroy(&peers->lock);
    g_free(peers);
}

/* Sets the revision that every frame bears. */
static void
stamp_revision(const struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    if (peers->node->config == NULL) {
        return;
    }
    struct ch_config *config = ch_config_keeper_current(peers->node->config);
    if (config != NULL) {
        frame->config_revision = config->revision;
        ch_config_unref(config);
    }
}

/* Whether the name is this node's own. */
static bool
is_self(const struct ch_peers *peers, const char *name)
{
    return strcmp(name, peers->node->settings->name) == 0;
}

/* A copy of a frame, as if it had come from this node. */
static Chestnuthitch__Wire__Frame *
copy_frame(const struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    frame->version = CH_WIRE_VERSION;
    frame->from = (char *)peers->node->settings->name;
    size_t length = chestnuthitch__wire__frame__get_packed_size(frame);
    uint8_t *bytes = g_malloc(length);
    chestnuthitch__wire__frame__pack(frame, bytes);
    Chestnuthitch__Wire__Frame *copy =
        chestnuthitch__wire__frame__unpack(NULL, length, bytes);
    g_free(bytes);
    return copy;
}

/* Sends a frame for which no reply is awaited.  It is lost without a word when
 * the node can't be reached: what must arrive is sent as a request. */
void
ch_peers_send(struct ch_peers *peers, const char *to,
              Chestnuthitch__Wire__Frame *frame)
{
    int64_t now = ch_client_now(peers->node->client);
    stamp_revision(peers, frame);
    if (is_self(peers, to)) {
        submit_frame(peers, copy_frame(peers, frame));
        return;
    }
    pthread_mutex_lock(&peers->lock);
    struct connection *connection =
        peers->stopping ? NULL : outbound_to(peers, to, now);
    if (connection != NULL) {
        put_frame(peers, connection, frame, now);
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Sends a frame on the connection to a node and notes that it waits there.
 * Lock held. */
static bool
send_request(struct ch_peers *peers, const char *to,
             Chestnuthitch__Wire__Frame *frame, struct request *request,
             int64_t now)
{
    struct connection *connection =
        peers->stopping ? NULL : outbound_to(peers, to, now);
    if (connection == NULL || !put_frame(peers, connection, frame, now)) {
        return false;
    }
    request->connection = connection;
    connection->awaited++;
    if (connection->awaited == 1) {
        connection->pinged = now;
    }
    return true;
}

/* Sends a frame and has done called with the reply, on a pool worker, exactly
 * once.  limit is in microseconds. */
uint64_t
ch_peers_request(struct ch_peers *peers, const char *to,
                 Chestnuthitch__Wire__Frame *frame, int64_t limit,
                 void (*done)(void *data, enum ch_code code,
                              const Chestnuthitch__Wire__Frame *reply),
                 void *data)
{
    int64_t now = ch_client_now(peers->node->client);
    stamp_revision(peers, frame);
    struct request *request = g_new0(struct request, 1);
    request->due = limit > 0 ? now + limit : 0;
    request->done = done;
    request->data = data;
    pthread_mutex_lock(&peers->lock);
    request->id = ++peers->last_id;
    uint64_t id = request->id;
    frame->id = id;
    bool local = is_self(peers, to);
    if (local || send_request(peers, to, frame, request, now)) {
        g_hash_table_insert(peers->requests, &request->id, request);
    }
    else {
        submit_end(peers, request, CH_PEER_LOST, NULL);
        g_free(request);
    }
    pthread_mutex_unlock(&peers->lock);
    if (local) {
        submit_frame(peers, copy_frame(peers, frame));
    }
    return id;
}

/* Replies to this node's own request. */
static bool
reply_to_self(struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame *copy = copy_frame(peers, frame);
    pthread_mutex_lock(&peers->lock);
    struct request *request = g_hash_table_lookup(peers->requests, &copy->id);
    if (request != NULL && request->connection == NULL) {
        uint64_t id = copy->id; /* a worker may free the copy from here on */
        submit_end(peers, request, CH_OK, copy);
        g_hash_table_remove(peers->requests, &id);
        copy = NULL;
    }
    pthread_mutex_unlock(&peers->lock);
    if (copy != NULL) {
        submit_frame(peers, copy);
    }
    return true;
}

/* Replies on the latest connection by which `to` came. */
bool
ch_peers_reply(struct ch_peers *peers, const char *to, uint64_t id,
               Chestnuthitch__Wire__Frame *frame)
{
    stamp_revision(peers, frame);
    frame->id = id;
    frame->reply = true;
    if (is_self(peers, to)) {
        return reply_to_self(peers, frame);
    }
    pthread_mutex_lock(&peers->lock);
    struct connection *connection = g_hash_table_lookup(peers->inbound, to);
    bool sent =
        connection != NULL && put_frame(peers, connection, frame,
                                        ch_client_now(peers->node->client));
    pthread_mutex_unlock(&peers->lock);
    return sent;
}

/* Sets who handles the frames of one kind; before ch_peers_start. */
void
ch_peers_handle(struct ch_peers *peers,
                Chestnuthitch__Wire__Frame__BodyCase body,
                void (*handle)(void *data,
                               const Chestnuthitch__Wire__Frame *frame),
                void *data)
{
    peers->handlers[body].handle = handle;
    peers->handlers[body].data = data;
}

/* Sets who is told of replies that came too late; before ch_peers_start. */
void
ch_peers_handle_late(struct ch_peers *peers,
                     void (*handle)(void *data,
                                    const Chestnuthitch__Wire__Frame *frame),
                     void *data)
{
    peers->late.handle = handle;
    peers->late.data = data;
}

/* A new string: the home of a key among the live nodes. */
char *
ch_peers_upstream_home(struct ch_peers *peers, uint64_t key,
                       const char *region, const char *data_centre)
{
    pthread_mutex_lock(&peers->lock);
    const char *best =
        ch_members_home(peers->members, key, region, data_centre);
    char *home = g_strdup(best != NULL ? best : peers->node->settings->name);
    pthread_mutex_unlock(&peers->lock);
    return home;
}

/* The membership's version; see ch_members_version. */
uint64_t
ch_peers_version(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    uint64_t version = ch_members_version(peers->members);
    pthread_mutex_unlock(&peers->lock);
    return version;
}

/* A new string: the home of a key in a data centre, or among all. */
char *
ch_peers_home(struct ch_peers *peers, uint64_t key, const char *data_centre)
{
    return ch_peers_upstream_home(peers, key, NULL, data_centre);
}

/* The names of the live nodes with this one, in order; g_strfreev. */
char **
ch_peers_live(struct ch_peers *peers)
{
    GPtrArray *names = g_ptr_array_new();
    const char *self = peers->node->settings->name;
    bool self_done = false;
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_count(peers->members); i++) {
        const struct ch_member *member = ch_members_at(peers->members, i);
        if (!self_done && strcmp(self, member->name) < 0) {
            g_ptr_array_add(names, g_strdup(self));
            self_done = true;
        }
        if (ch_member_serves(member)) {
            g_ptr_array_add(names, g_strdup(member->name));
        }
    }
    pthread_mutex_unlock(&peers->lock);
    if (!self_done) {
        g_ptr_array_add(names, g_strdup(self));
    }
    g_ptr_array_add(names, NULL);
    return (char **)g_ptr_array_free(names, FALSE);
}

/* The other live nodes, from the first that comes after this one in order of
 * names: nodes that begin together do not all begin with the same one. */
void
ch_peers_others(struct ch_peers *peers, GPtrArray *near, GPtrArray *far)
{
    const struct ch_settings *settings = peers->node->settings;
    pthread_mutex_lock(&peers->lock);
    size_t count = ch_members_count(peers->members);
    size_t first = 0;
    while (first < count && strcmp(ch_members_at(peers->members, first)->name,
                                   settings->name) < 0) {
        first++;
    }
    for (size_t i = 0; i < count; i++) {
        const struct ch_member *member =
            ch_members_at(peers->members, (first + i) % count);
        if (!ch_member_serves(member)) {
            continue;
        }
        bool is_near = strcmp(member->data_centre, settings->data_centre) == 0;
        g_ptr_array_add(is_near ? near : far, g_strdup(member->name));
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Takes the platform's list of entry hosts. */
void
ch_peers_list(struct ch_peers *peers, const struct ch_host_list *list)
{
    int64_t now = ch_client_now(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    ch_members_begin_update(peers->members);
    for (size_t i = 0; i < list->count; i++) {
        const struct ch_host *host = &list->hosts[i];
        if (host->kind == CH_HOST_ENTRY) {
            ch_members_listed(peers->members, host->name, host->address,
                              host->region, host->data_centre, host->leaving,
                              now);
        }
    }
    ch_members_end_update(peers->members);
    pthread_mutex_unlock(&peers->lock);
}

/* When anything last came from a node, on the client's clock; 0: unknown. */
int64_t
ch_peers_heard(struct ch_peers *peers, const char *name, uint64_t *incarnation)
{
    int64_t heard = 0;
    if (is_self(peers, name)) {
        if (incarnation != NULL) {
            *incarnation = peers->node->incarnation;
        }
        return ch_client_now(peers->node->client);
    }
    pthread_mutex_lock(&peers->lock);
    const struct ch_member *member = ch_members_find(peers->members, name);
    if (member != NULL) {
        heard = member->heard;
        if (incarnation != NULL) {
            *incarnation = member->incarnation;
        }
    }
    pthread_mutex_unlock(&peers->lock);
    return heard;
}

/* Adds the names (new strings) of members found silent of late. */
void
ch_peers_hints(struct ch_peers *peers, GPtrArray *silent_names)
{
    int64_t now = ch_client_now(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_count(peers->members); i++) {
        const struct ch_member *member = ch_members_at(peers->members, i);
        if (member->status == CH_MEMBER_SILENT && member->hint_until > now) {
            g_ptr_array_add(silent_names, g_strdup(member->name));
        }
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Takes what another node tells of members: a silence to look into, or its own
 * word that it stops. */
void
ch_peers_told(struct ch_peers *peers,
              const Chestnuthitch__Wire__Gossip *gossip)
{
    int64_t now = ch_client_now(peers->node->client);
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < gossip->n_members; i++) {
        const Chestnuthitch__Wire__MemberState *state = gossip->members[i];
        if (state->status == CH_MEMBER_SILENT) {
            ch_members_hint(peers->members, state->node, now);
        }
        else if (state->status == CH_MEMBER_STOPPING) {
            ch_members_leaves(peers->members, state->node, state->incarnation);
        }
    }
    pthread_mutex_unlock(&peers->lock);
    wake_thread(peers);
}

/* This node stops: no key has its home here from now on. */
void
ch_peers_stopping(struct ch_peers *peers)
{
    pthread_mutex_lock(&peers->lock);
    ch_members_stop_self(peers->members);
    pthread_mutex_unlock(&peers->lock);
}

/* The port of the listener. */
uint16_t
ch_peers_port(const struct ch_peers *peers)
{
    return peers->port;
}

/* The members, as an array "nodes" in an open JSON object. */
void
ch_peers_status(struct ch_peers *peers, JsonBuilder *builder)
{
    int64_t now = ch_client_now(peers->node->client);
    json_builder_set_member_name(builder, "nodes");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < ch_members_count(peers->members); i++) {
        const struct ch_member *member = ch_members_at(peers->members, i);
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "name");
        json_builder_add_string_value(builder, member->name);
        json_builder_set_member_name(builder, "region");
        json_builder_add_string_value(builder, member->region);
        json_builder_set_member_name(builder, "data_centre");
        json_builder_add_string_value(builder, member->data_centre);
        json_builder_set_member_name(builder, "state");
        json_builder_add_string_value(
            builder, member->status == CH_MEMBER_SILENT ? "silent"
                     : ch_member_serves(member)         ? "live"
                                                        : "leaving");
        json_builder_set_member_name(builder, "heard_ms_ago");
        json_builder_add_int_value(builder, (now - member->heard) / 1000);
        json_builder_end_object(builder);
    }
    pthread_mutex_unlock(&peers->lock);
    json_builder_end_array(builder);
}
