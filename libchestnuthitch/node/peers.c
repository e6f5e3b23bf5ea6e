/*
 * Frames to and from other nodes over TCP: one thread with epoll, and one
 * outbound connection to each node that this node sends to. A reply goes back
 * on the connection that brought the request, so a requester whose connection
 * is lost knows that no reply will come.
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

/* Opens the listener at the address in the settings; false with SYSTEM. */
static bool
open_listener(struct ch_peers *peers, const char *address_text,
              struct ch_error *error)
{
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    if (!ch_address_parse(address_text, &address, error)) {
        return false;
    }
    peers->listener_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(peers->listener_fd, SOL_SOCKET, SO_REUSEADDR, &one,
               sizeof(one));
    if (peers->listener_fd < 0 ||
        bind(peers->listener_fd, (struct sockaddr *)&address, length) != 0 ||
        listen(peers->listener_fd, SOMAXCONN) != 0 ||
        getsockname(peers->listener_fd, (struct sockaddr *)&address,
                    &length) != 0) {
        ch_error_set(error, CH_SYSTEM, "[listen] peers %s: %s", address_text,
                     g_strerror(errno));
        return false;
    }
    peers->port = ntohs(address.sin_port);
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = peers};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, peers->listener_fd, &event);
    return true;
}

/* Opens the listener; NULL with SYSTEM when that fails. No connection is
 * accepted before ch_peers_start. */
struct ch_peers *
ch_peers_new(struct ch_node *node, struct ch_error *error)
{
    const struct ch_settings *settings = node->settings;
    struct ch_peers *peers = g_new0(struct ch_peers, 1);
    peers->node = node;
    peers->listener_fd = -1;
    pthread_mutex_init(&peers->lock, NULL);
    peers->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    peers->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    struct epoll_event event = {.events = EPOLLIN,
                                .data.ptr = &peers->wake_fd};
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, peers->wake_fd, &event);
    peers->members = ch_members_new(
        settings->name, settings->region, settings->data_centre,
        ch_hash_pair(node->incarnation, ch_hash_string(settings->name)),
        (int64_t)settings->peer_timeout_ms * 1000);
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

/* Starts the thread; the handlers must be set before. */
void
ch_peers_start(struct ch_peers *peers)
{
    if (pthread_create(&peers->thread, NULL, peers_run_thread, peers) != 0) {
        g_error("cannot create the thread for connections between nodes");
    }
    peers->started = true;
}

/* Stops the thread and closes every connection; requests that wait for a reply
 * end with PEER_LOST. */
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
        connection_close(peers, g_ptr_array_index(peers->connections, 0));
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Frees the peers; only after ch_peers_stop and the last job of the pool. */
void
ch_peers_free(struct ch_peers *peers)
{
    if (peers == NULL) {
        return;
    }
    if (peers->listener_fd >= 0) {
        close(peers->listener_fd);
    }
    close(peers->epoll_fd);
    close(peers->wake_fd);
    ch_members_free(peers->members);
    g_ptr_array_free(peers->connections, TRUE);
    g_hash_table_destroy(peers->outbound);
    g_hash_table_destroy(peers->inbound);
    g_hash_table_destroy(peers->requests);
    pthread_mutex_destroy(&peers->lock);
    g_free(peers);
}

/* See peers_internal.h. */
void
peers_refresh_revision(struct ch_peers *peers)
{
    if (peers->node->config == NULL) {
        return;
    }
    struct ch_config *config =
        ch_config_manager_get_current(peers->node->config);
    if (config != NULL) {
        ck_pr_store_64(&peers->config_revision, config->revision);
        ch_config_unref(config);
    }
}

/* See peers_internal.h. */
void
peers_fill_header(const struct ch_peers *peers,
                  Chestnuthitch__Wire__Frame *frame)
{
    frame->version = CH_WIRE_VERSION;
    frame->from = (char *)peers->node->settings->name;
    frame->config_revision = ck_pr_load_64(&peers->config_revision);
    frame->no_path = ck_pr_load_uint(&peers->no_path) != 0;
    frame->ready = ck_pr_load_uint(&peers->ready) != 0 && !frame->no_path;
}

bool
peers_is_self(const struct ch_peers *peers, const char *name)
{
    return strcmp(name, peers->node->settings->name) == 0;
}

/* A copy of a frame with the same members set as in a frame received from this
 * node; the caller frees it. */
static Chestnuthitch__Wire__Frame *
copy_as_received(const struct ch_peers *peers,
                 Chestnuthitch__Wire__Frame *frame)
{
    peers_fill_header(peers, frame);
    size_t length = chestnuthitch__wire__frame__get_packed_size(frame);
    uint8_t *bytes = g_malloc(length);
    chestnuthitch__wire__frame__pack(frame, bytes);
    Chestnuthitch__Wire__Frame *copy =
        chestnuthitch__wire__frame__unpack(NULL, length, bytes);
    g_free(bytes);
    return copy;
}

/* Sends a frame that needs no reply. The frame is lost silently when the node
 * can't be reached: use a request for what must arrive. */
void
ch_peers_send(struct ch_peers *peers, const char *to,
              Chestnuthitch__Wire__Frame *frame)
{
    int64_t now = ch_client_get_time(peers->node->client);
    peers_refresh_revision(peers);
    if (peers_is_self(peers, to)) {
        peers_submit_frame(peers, copy_as_received(peers, frame));
        return;
    }
    pthread_mutex_lock(&peers->lock);
    struct connection *connection =
        peers->stopping ? NULL : connection_get_outbound(peers, to, now);
    if (connection != NULL) {
        connection_send_frame(peers, connection, frame, now);
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Sends a request on the connection to a node and records that the request
 * waits there. Lock held. */
static bool
send_request(struct ch_peers *peers, const char *to,
             Chestnuthitch__Wire__Frame *frame, struct request *request,
             int64_t now)
{
    struct connection *connection =
        peers->stopping ? NULL : connection_get_outbound(peers, to, now);
    if (connection == NULL ||
        !connection_send_frame(peers, connection, frame, now)) {
        return false;
    }
    request->connection = connection;
    connection->pending_requests++;
    if (connection->pending_requests == 1) {
        connection->last_ping_at = now;
    }
    return true;
}

/* Sends a frame and calls done with the reply or a failure, on a pool worker,
 * exactly once. timeout is in microseconds; 0: none. */
uint64_t
ch_peers_request(struct ch_peers *peers, const char *to,
                 Chestnuthitch__Wire__Frame *frame, int64_t timeout,
                 void (*done)(void *data, enum ch_code code,
                              const Chestnuthitch__Wire__Frame *reply),
                 void *data)
{
    int64_t now = ch_client_get_time(peers->node->client);
    peers_refresh_revision(peers);
    struct request *request = g_new0(struct request, 1);
    request->timeout = timeout;
    request->deadline = timeout > 0 ? now + timeout : 0;
    request->done = done;
    request->data = data;
    pthread_mutex_lock(&peers->lock);
    request->id = ++peers->last_request_id;
    uint64_t id = request->id;
    frame->id = id;
    bool is_self = peers_is_self(peers, to);
    if (is_self || send_request(peers, to, frame, request, now)) {
        g_hash_table_insert(peers->requests, &request->id, request);
    }
    else {
        peers_submit_result(peers, request, CH_PEER_LOST, NULL);
        g_free(request);
    }
    pthread_mutex_unlock(&peers->lock);
    if (is_self) {
        peers_submit_frame(peers, copy_as_received(peers, frame));
    }
    return id;
}

/* Replies to a request from this node to itself; a late reply goes to the
 * handler for late replies. */
static bool
reply_to_self(struct ch_peers *peers, Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame *copy = copy_as_received(peers, frame);
    pthread_mutex_lock(&peers->lock);
    struct request *request = g_hash_table_lookup(peers->requests, &copy->id);
    if (request != NULL && request->connection == NULL) {
        uint64_t id = copy->id; /* a worker may free the copy from here on */
        peers_submit_result(peers, request, CH_OK, copy);
        g_hash_table_remove(peers->requests, &id);
        copy = NULL;
    }
    pthread_mutex_unlock(&peers->lock);
    if (copy != NULL) {
        peers_submit_frame(peers, copy);
    }
    return true;
}

/* Replies on the latest inbound connection from `to`; false when there is none
 * or the frame was not sent. */
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
                connection_send_frame(peers, connection, frame,
                                      ch_client_get_time(peers->node->client));
    pthread_mutex_unlock(&peers->lock);
    return sent;
}

/* Sets the handler for one kind of frame; only before ch_peers_start. */
void
ch_peers_set_handler(struct ch_peers *peers,
                     Chestnuthitch__Wire__Frame__BodyCase body,
                     void (*handle)(void *data,
                                    const Chestnuthitch__Wire__Frame *frame),
                     void *data)
{
    peers->handlers[body].handle = handle;
    peers->handlers[body].data = data;
}

/* Sets the handler for replies whose request has already ended; only before
 * ch_peers_start. */
void
ch_peers_set_late_reply_handler(
    struct ch_peers *peers,
    void (*handle)(void *data, const Chestnuthitch__Wire__Frame *frame),
    void *data)
{
    peers->late_reply_handler.handle = handle;
    peers->late_reply_handler.data = data;
}
