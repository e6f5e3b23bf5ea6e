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
    PEERS_BODY_CASES = 40,
};

enum peers_direction {
    PEERS_SENT,
    PEERS_RECEIVED,
    PEERS_DIRECTIONS,
};

/* Traffic of one kind of frame; both members are atomic. */
struct traffic {
    uint64_t frames;
    uint64_t bytes;
};

struct connection {
    int fd;
    bool outbound;
    bool connecting;
    bool other_region; /* the other node is in another region */
    bool wants_out;    /* epoll reports when the socket is writable */
    char *name; /* of the other node; NULL until an inbound connection has sent
                   its Hello */
    struct ch_wire_decoder *decoder;
    GByteArray *out;
    size_t out_sent;
    int64_t opened;
    int64_t heard;
    int64_t asked; /* first unanswered ping, or data received since; 0: none */
    int64_t pinged; /* when the last ping was sent */
    int64_t used;
    unsigned awaited; /* requests that wait for a reply */
    enum ch_code failure;
};

struct request {
    uint64_t id;
    struct connection *connection; /* NULL: to this node itself */
    int64_t limit;
    int64_t due; /* 0: no deadline but the end of the connection */
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
    GHashTable *outbound; /* node name to connection */
    GHashTable *inbound;  /* node name to the latest connection */
    GHashTable *requests; /* id to struct request */
    uint64_t last_id;
    uint64_t revision; /* of the configuration in force here; atomic */
    unsigned ready;    /* this node may be a home node; atomic */
    bool listed;       /* a host list was received */
    int64_t last_tick;
    unsigned behind; /* consecutive polls that left data unread */
    struct handler handlers[PEERS_BODY_CASES];
    /* By kind, direction, and whether the other node is in another region. */
    struct traffic traffic[PEERS_BODY_CASES][PEERS_DIRECTIONS][2];
    struct handler late;
};

/* ---- peers_job.c ---- */

/* Queues a received frame for its handler on the pool; the job owns it. */
void peers_submit_frame(struct ch_peers *peers,
                        Chestnuthitch__Wire__Frame *frame);
/* Queues the end of a request: a reply (owned by the job), or a failure with
   reply NULL. The caller removes the request. */
void peers_submit_end(struct ch_peers *peers, const struct request *request,
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
bool connection_put(struct ch_peers *peers, struct connection *connection,
                    Chestnuthitch__Wire__Frame *frame, int64_t now);
void connection_hello(struct ch_peers *peers, struct connection *connection,
                      int64_t now);
void connection_ping(struct ch_peers *peers, struct connection *connection,
                     int64_t now);
/* The connection for sending to a node; opens one when there is none. NULL
   when that fails. */
struct connection *connection_outbound(struct ch_peers *peers,
                                       const char *name, int64_t now);
/* Closes and frees a connection. Requests waiting on it get PEER_LOST. */
void connection_drop(struct ch_peers *peers, struct connection *connection);

/* ---- peers_traffic.c; no lock ---- */

/* Counts a frame with its size on the connection. */
void peers_count(struct ch_peers *peers, enum peers_direction direction,
                 Chestnuthitch__Wire__Frame__BodyCase body, bool other_region,
                 size_t bytes);

/* ---- peers_loop.c ---- */

/* The thread's function; data is the struct ch_peers. */
void *peers_run(void *data);

/* ---- peers.c ---- */

/* Updates config_revision from the configuration in force. Not with the lock
   held: the configuration's lock comes before it in the lock order. */
void peers_refresh_revision(struct ch_peers *peers);
/* Sets the members that every frame carries: version, from, config_revision
   and ready. */
void peers_stamp(const struct ch_peers *peers,
                 Chestnuthitch__Wire__Frame *frame);
bool peers_is_self(const struct ch_peers *peers, const char *name);

#endif
