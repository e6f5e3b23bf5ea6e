/*
 * Frames to and from other nodes over TCP: one thread, epoll, one outbound
 * connection for each node that this one talks to.  Replies go back on the
 * connection that the request came by, so that a requester whose connection
 * went knows that no reply will come.
 */

#include "node/peers_internal.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

/* Opens the listener of the settings; false with SYSTEM. */
static bool
open_listener(struct ch_peers *peers, const char *text, struct ch_error *error)
{
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    if (!ch_address_parse(text, &address, error)) {
        return false;
    }
    peers->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(peers->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (peers->listener < 0 ||
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
    if (pthread_create(&peers->thread, NULL, peers_run, peers) != 0) {
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
    peers_wake(peers);
    if (peers->started) {
        pthread_join(peers->thread, NULL);
        peers->started = false;
    }
    pthread_mutex_lock(&peers->lock);
    while (peers->connections->len > 0) {
        connection_drop(peers, g_ptr_array_index(peers->connections, 0));
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

/* Notes the revision that every frame is to bear. */
void
peers_refresh_revision(struct ch_peers *peers)
{
    if (peers->node->config == NULL) {
        return;
    }
    struct ch_config *config = ch_config_keeper_current(peers->node->config);
    if (config != NULL) {
        ck_pr_store_64(&peers->revision, config->revision);
        ch_config_unref(config);
    }
}

/* Puts in what every frame bears. */
void
peers_stamp(const struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    frame->version = CH_WIRE_VERSION;
    frame->from = (char *)peers->node->settings->name;
    frame->config_revision = ck_pr_load_64(&peers->revision);
    frame->ready = ck_pr_load_uint(&peers->ready) != 0;
}

/* Whether the name is this node's own. */
bool
peers_is_self(const struct ch_peers *peers, const char *name)
{
    return strcmp(name, peers->node->settings->name) == 0;
}

/* A copy of a frame, as if it had come from this node. */
static Chestnuthitch__Wire__Frame *
copy_frame(const struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    peers_stamp(peers, frame);
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
    peers_refresh_revision(peers);
    if (peers_is_self(peers, to)) {
        peers_submit_frame(peers, copy_frame(peers, frame));
        return;
    }
    pthread_mutex_lock(&peers->lock);
    struct connection *connection =
        peers->stopping ? NULL : connection_outbound(peers, to, now);
    if (connection != NULL) {
        connection_put(peers, connection, frame, now);
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
        peers->stopping ? NULL : connection_outbound(peers, to, now);
    if (connection == NULL || !connection_put(peers, connection, frame, now)) {
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
    peers_refresh_revision(peers);
    struct request *request = g_new0(struct request, 1);
    request->limit = limit;
    request->due = limit > 0 ? now + limit : 0;
    request->done = done;
    request->data = data;
    pthread_mutex_lock(&peers->lock);
    request->id = ++peers->last_id;
    uint64_t id = request->id;
    frame->id = id;
    bool local = peers_is_self(peers, to);
    if (local || send_request(peers, to, frame, request, now)) {
        g_hash_table_insert(peers->requests, &request->id, request);
    }
    else {
        peers_submit_end(peers, request, CH_PEER_LOST, NULL);
        g_free(request);
    }
    pthread_mutex_unlock(&peers->lock);
    if (local) {
        peers_submit_frame(peers, copy_frame(peers, frame));
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
        peers_submit_end(peers, request, CH_OK, copy);
        g_hash_table_remove(peers->requests, &id);
        copy = NULL;
    }
    pthread_mutex_unlock(&peers->lock);
    if (copy != NULL) {
        peers_submit_frame(peers, copy);
    }
    return true;
}

/* Replies on the latest connection by which `to` came. */
bool
ch_peers_reply(struct ch_peers *peers, const char *to, uint64_t id,
               Chestnuthitch__Wire__Frame *frame)
{
    peers_refresh_revision(peers);
    frame->id = id;
    frame->reply = true;
    if (peers_is_self(peers, to)) {
        return reply_to_self(peers, frame);
    }
    pthread_mutex_lock(&peers->lock);
    struct connection *connection = g_hash_table_lookup(peers->inbound, to);
    bool sent = connection != NULL &&
                connection_put(peers, connection, frame,
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
