/* One connection between two nodes: opening, writing and closing. */

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
    /*
     * Bounds memory while a peer reads nothing, until it exceeds the silence
     * limit and its connection is closed. Room for one configuration of the
     * maximum size and 6 MB of small frames.
     */
    MAX_SEND_BUFFER_BYTES = 8 * 1024 * 1024,
};

void
peers_wake(struct ch_peers *peers)
{
    uint64_t one = 1;
    ssize_t written = write(peers->wake_fd, &one, sizeof(one));
    (void)written;
}

/* Asks epoll for writability only while a connection is being made or has data
 * to send. */
static void
update_events(struct ch_peers *peers, struct connection *connection)
{
    bool wants_out = connection->connecting ||
                     connection->bytes_sent < connection->send_buffer->len;
    if (wants_out == connection->wants_write) {
        return;
    }
    connection->wants_write = wants_out;
    struct epoll_event event = {
        .events = EPOLLIN | (wants_out ? EPOLLOUT : 0U),
        .data.ptr = connection,
    };
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_MOD, connection->fd, &event);
}

/* Adds a socket, which the connection owns from now on; name NULL: not known
 * yet. */
struct connection *
connection_add(struct ch_peers *peers, int fd, const char *name, bool outbound,
               int64_t now)
{
    struct connection *connection = g_new0(struct connection, 1);
    connection->fd = fd;
    connection->outbound = outbound;
    connection->connecting = outbound;
    connection->wants_write = outbound;
    connection->name = g_strdup(name);
    connection->decoder = ch_wire_decoder_new();
    connection->send_buffer = g_byte_array_new();
    connection->opened_at = now;
    connection->last_received_at = now;
    connection->last_used_at = now;
    g_ptr_array_add(peers->connections, connection);
    struct epoll_event event = {
        .events = EPOLLIN | (outbound ? EPOLLOUT : 0U),
        .data.ptr = connection,
    };
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_ADD, fd, &event);
    return connection;
}

/* Sends buffered data until the socket accepts no more. */
void
connection_flush(struct ch_peers *peers, struct connection *connection)
{
    while (connection->bytes_sent < connection->send_buffer->len) {
        ssize_t sent =
            send(connection->fd,
                 connection->send_buffer->data + connection->bytes_sent,
                 connection->send_buffer->len - connection->bytes_sent,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                connection->failure = CH_PEER_LOST;
            }
            break;
        }
        ch_metrics_add_count(peers->node->client->metrics,
                             CH_COUNT_FRAME_BYTES_SENT, (uint64_t)sent);
        connection->bytes_sent += (size_t)sent;
    }
    if (connection->bytes_sent == connection->send_buffer->len) {
        g_byte_array_set_size(connection->send_buffer, 0);
        connection->bytes_sent = 0;
    }
    update_events(peers, connection);
}

/* See peers_internal.h. */
bool
connection_send_frame(struct ch_peers *peers, struct connection *connection,
                      Chestnuthitch__Wire__Frame *frame, int64_t now)
{
    struct ch_error error = {0};
    guint previous_length = connection->send_buffer->len;
    peers_fill_header(peers, frame);
    if (connection->failure != CH_OK ||
        connection->send_buffer->len - connection->bytes_sent >
            MAX_SEND_BUFFER_BYTES ||
        !ch_wire_encode(frame, connection->send_buffer, &error)) {
        return false;
    }
    ch_metrics_add_count(peers->node->client->metrics, CH_COUNT_FRAMES_SENT,
                         1);
    peers_count_frame(peers, PEERS_SENT, frame->body_case,
                      connection->other_region,
                      connection->send_buffer->len - previous_length);
    connection->last_used_at = now;
    if (!connection->connecting) {
        connection_flush(peers, connection);
    }
    if (connection->failure != CH_OK) {
        peers_wake(peers);
        return false;
    }
    return true;
}

/* Sends this node's identity: the first frame on every connection. */
void
connection_send_hello(struct ch_peers *peers, struct connection *connection,
                      int64_t now)
{
    Chestnuthitch__Wire__Hello hello = WIRE(HELLO__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    hello.region = peers->node->settings->region;
    hello.data_centre = peers->node->settings->data_centre;
    hello.incarnation = peers->node->incarnation;
    hello.address = peers->node->settings->peers;
    hello.relay_port = ck_pr_load_uint(&peers->relay_port);
    frame.body_case = WIRE(FRAME__BODY_HELLO);
    frame.hello = &hello;
    connection_send_frame(peers, connection, &frame, now);
}

/* Sends a ping; its pong shows that the other process still runs. */
void
connection_send_ping(struct ch_peers *peers, struct connection *connection,
                     int64_t now)
{
    Chestnuthitch__Wire__Ping ping = WIRE(PING__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    frame.body_case = WIRE(FRAME__BODY_PING);
    frame.ping = &ping;
    connection->last_ping_at = now;
    if (connection->unanswered_ping_at == 0) {
        connection->unanswered_ping_at = now;
    }
    connection_send_frame(peers, connection, &frame, now);
}

/* Starts a connection to a member; NULL when that fails at once. */
static struct connection *
open_connection(struct ch_peers *peers, const struct ch_member *member,
                int64_t now)
{
    struct sockaddr_in address;
    if (!ch_address_parse(member->address, &address, NULL)) {
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
            ch_members_record_refused_connection(peers->members, member->name,
                                                 now);
        }
        close(fd);
        return NULL;
    }
    struct connection *connection =
        connection_add(peers, fd, member->name, true, now);
    connection->other_region =
        g_strcmp0(member->region, peers->node->settings->region) != 0;
    g_hash_table_insert(peers->outbound, connection->name, connection);
    connection_send_hello(peers, connection, now);
    return connection;
}

/* See peers_internal.h. */
struct connection *
connection_get_outbound(struct ch_peers *peers, const char *name, int64_t now)
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
        ch_members_record_lost_connection(peers->members, name, now);
    }
    return connection;
}

/* Ends every request that waits on a connection with PEER_LOST. */
static void
fail_requests(struct ch_peers *peers, const struct connection *connection)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, peers->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct request *request = value;
        if (request->connection == connection) {
            peers_submit_result(peers, request, CH_PEER_LOST, NULL);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* See peers_internal.h. */
void
connection_close(struct ch_peers *peers, struct connection *connection)
{
    fail_requests(peers, connection);
    if (connection->name != NULL) {
        GHashTable *table =
            connection->outbound ? peers->outbound : peers->inbound;
        if (g_hash_table_lookup(table, connection->name) == connection) {
            g_hash_table_remove(table, connection->name);
        }
    }
    epoll_ctl(peers->epoll_fd, EPOLL_CTL_DEL, connection->fd, NULL);
    close(connection->fd);
    ch_wire_decoder_free(connection->decoder);
    g_byte_array_free(connection->send_buffer, TRUE);
    g_free(connection->name);
    g_ptr_array_remove_fast(peers->connections, connection);
    g_free(connection);
}
