#ifndef CH_NODE_PEERS_INTERNAL_H
#define CH_NODE_PEERS_INTERNAL_H

/*
 * Shared by peers.c (sending, requests and replies), peers_members.c (which
 * nodes are live), peers_connection.c, peers_loop.c (the thread) and
 * peers_job.c (jobs for the pool). One lock guards everything but the
 * handlers, which are set before the thread starts, and the members marked as
 * atomic.
 */

#include "decide/member.h"
#include "node/node.h"

#include <pthread.h>

enum {
    PEERS_BODY_CASE_COUNT = 48,
};

enum peers_direction {
    PEERS_SENT,
    PEERS_RECEIVED,
    PEERS_DIRECTION_COUNT,
};

/* Traffic of one kind of frame; both members are atomic. */
struct traffic_counters {
    uint64_t frames;
    uint64_t bytes;
};

struct connection {
    int fd;
    bool outbound;
    bool connecting;
    bool other_region; /* the other node is in another region */
    bool wants_write;  /* epoll reports when the socket is writable */
    char *name; /* of the other node; NULL until an inbound connection has sent
                   its Hello */
    struct ch_wire_decoder *decoder;
    GByteArray *send_buffer;
    size_t bytes_sent;
    int64_t opened_at;
    int64_t last_received_at;
    int64_t unanswered_ping_at; /* first unanswered ping, or data received
                                   since; 0: none */
    int64_t last_ping_at;       /* when the last ping was sent */
    int64_t last_used_at;
    unsigned pending_requests; /* requests that wait for a reply */
    enum ch_code failure;
};

struct request {
    uint64_t id;
    struct connection *connection; /* NULL: to this node itself */
    int64_t timeout;
    int64_t deadline; /* 0: no deadline but the end of the connection */
    void (*done)(void *data, enum ch_code code,
                 const Chestnuthitch__Wire__Frame *reply);
    void *data;
};

struct frame_handler {
    void (*handle)(void *data, const Chestnuthitch__Wire__Frame *frame);
    void *data;
};

struct ch_peers {
    struct ch_node *node;
    pthread_mutex_t lock;
    pthread_t thread;
    bool started;
    bool stopping;
    int epoll_fd;
    int wake_fd;
    int listener_fd;
    uint16_t port;
    struct ch_members *members;
    GPtrArray *connections;
    GHashTable *outbound; /* node name to connection */
    GHashTable *inbound;  /* node name to the latest connection */
    GHashTable *requests; /* id to struct request */
    uint64_t last_request_id;
    uint64_t config_revision; /* of the configuration in force here; atomic */
    unsigned ready;           /* this node may be a home node; atomic */
    unsigned no_path;         /* it is cut off from the upstreams; atomic */
    unsigned relay_port;      /* of this node, 0: none; atomic */
    bool members_listed;      /* a host list was received */
    bool self_listed;         /* the last host list names this node */
    bool is_new_fleet;        /* see ch_peers_is_new_fleet() */
    uint64_t predecessor_started_ms; /* wall clock, of the process before this
                                        one on this host; 0: not known */
    int64_t confirmed_until; /* see ch_peers_confirm_listed(); 0: never */
    int64_t last_tick_at;
    unsigned polls_behind; /* consecutive polls that left data unread */
    struct frame_handler handlers[PEERS_BODY_CASE_COUNT];
    /* By kind, direction, and whether the other node is in another region. */
    struct traffic_counters traffic[PEERS_BODY_CASE_COUNT]
                                   [PEERS_DIRECTION_COUNT][2];
    struct frame_handler late_reply_handler;
};

/* ---- peers_job.c ---- */

/* Queues a received frame for its handler on the pool; the job owns it. */
void peers_submit_frame(struct ch_peers *peers,
                        Chestnuthitch__Wire__Frame *frame);
/* Queues the end of a request: a reply (owned by the job), or a failure with
   reply NULL. The caller removes the request. */
void peers_submit_result(struct ch_peers *peers, const struct request *request,
                         enum ch_code code, Chestnuthitch__Wire__Frame *reply);

/* ---- peers_connection.c; the lock is held in all but peers_wake ---- */

/* Wakes the thread, so that it checks its connections again. */
void peers_wake(struct ch_peers *peers);
struct connection *connection_add(struct ch_peers *peers, int fd,
                                  const char *name, bool outbound,
                                  int64_t now);
void connection_flush(struct ch_peers *peers, struct connection *connection);
/* Queues a frame and sends what the socket accepts. False: the frame will not
   be sent. */
bool connection_send_frame(struct ch_peers *peers,
                           struct connection *connection,
                           Chestnuthitch__Wire__Frame *frame, int64_t now);
void connection_send_hello(struct ch_peers *peers,
                           struct connection *connection, int64_t now);
void connection_send_ping(struct ch_peers *peers,
                          struct connection *connection, int64_t now);
/* The connection for sending to a node; opens one when there is none. NULL
   when that fails. */
struct connection *connection_get_outbound(struct ch_peers *peers,
                                           const char *name, int64_t now);
/* Closes and frees a connection. Requests waiting on it get PEER_LOST. */
void connection_close(struct ch_peers *peers, struct connection *connection);

/* ---- peers_traffic.c; no lock ---- */

/* Counts a frame with its size on the connection. */
void peers_count_frame(struct ch_peers *peers, enum peers_direction direction,
                       Chestnuthitch__Wire__Frame__BodyCase body,
                       bool other_region, size_t bytes);

/* ---- peers_loop.c ---- */

/* The thread's function; data is the struct ch_peers. */
void *peers_run_thread(void *data);

/* ---- peers.c ---- */

/* Updates config_revision from the configuration in force. Not with the lock
   held: the configuration's lock comes before it in the lock order. */
void peers_refresh_revision(struct ch_peers *peers);
/* Sets the members that every frame carries: version, from, config_revision
   and ready. */
void peers_fill_header(const struct ch_peers *peers,
                       Chestnuthitch__Wire__Frame *frame);
bool peers_is_self(const struct ch_peers *peers, const char *name);

#endif
