#ifndef CH_NODE_FRONT_H
#define CH_NODE_FRONT_H

/* What the listener and the exchanges share.  Lock order: exchange < front <
 * reply; see node.h for the rest. */

#include "node/dialect.h"
#include "node/node.h"
#include "node/reply.h"
#include "node/request.h"

#include <pthread.h>

struct ch_exchange;
struct ch_hangups;
struct ch_listener;

struct ch_front {
    struct ch_node *node;
    struct ch_listener *listener; /* NULL once it is closed */
    struct MHD_Daemon *daemon;
    struct ch_hangups *hangups;
    int64_t full_at;   /* the listener's own: when it last said so */
    uint64_t id_start; /* differs between nodes and between their starts */
    pthread_mutex_t lock;
    pthread_cond_t quiet;           /* a count went down */
    struct ch_table *replies;       /* of the requests that are open */
    size_t incoming;                /* requests begun and not yet whole */
    size_t accepted;                /* whole and not yet answered */
    GHashTable *exchanges;          /* courses not yet over, to themselves */
    unsigned connections;           /* that the library has */
    uint64_t last_id;               /* of requests */
    struct ch_retry_budget retries; /* of requests to any service */
    GHashTable *service_retries;    /* GQuark to struct ch_retry_budget */
    int64_t shared_at;              /* when the slack was last shared out */
    unsigned live;                  /* nodes that share it */
    bool stopping;                  /* not ready; still serving */
    bool refusing;                  /* new requests are refused */
};

/* Ids for a request: a number for the decisions, a text for the caller. */
uint64_t ch_front_new_id(struct ch_front *front, char text[CH_REPLY_ID]);

/* The node's part of the retries towards a service (0: any).  Lock held. */
struct ch_retry_budget *ch_front_budget(struct ch_front *front,
                                        GQuark service);

/* A course begins or is over; ch_front_stop() waits for the last. */
void ch_front_enter(struct ch_front *front, struct ch_exchange *exchange);
void ch_front_leave(struct ch_front *front, struct ch_exchange *exchange);

#endif
