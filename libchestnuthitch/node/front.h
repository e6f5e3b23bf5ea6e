#ifndef CH_NODE_FRONT_H
#define CH_NODE_FRONT_H

/* State shared by the callers' HTTP listener and the exchanges. Lock order:
 * exchange < frontend < response; see node.h for the rest. */

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
    struct ch_listener *listener; /* NULL once closed */
    struct MHD_Daemon *daemon;
    struct ch_hangups *hangups;
    int64_t full_at; /* used by the listener's thread only: when it last logged
                        too many connections */
    uint64_t id_start; /* differs between nodes and between their restarts */
    pthread_mutex_t lock;
    pthread_cond_t quiet;     /* signalled when a count below goes down */
    struct ch_table *replies; /* responses to the open requests */
    size_t incoming;          /* requests of which a part has arrived */
    size_t accepted;          /* complete requests without a response yet */
    GHashTable *exchanges;    /* a set of running exchanges */
    unsigned connections;     /* that libmicrohttpd has open */
    uint64_t last_id;         /* of the last request */
    struct ch_retry_budget retries; /* for all services together */
    GHashTable *service_retries;    /* GQuark to struct ch_retry_budget */
    int64_t shared_at;              /* when live_count was last read */
    unsigned live; /* nodes among which the slack is divided */
    bool stopping; /* not ready, but still serving */
    bool refusing; /* new requests are refused with STOPPING */
};

/* Creates a request's IDs and returns the number, which is unique in this
 * process. text, for the caller, is unique among all nodes and their restarts.
 */
uint64_t ch_front_new_id(struct ch_front *frontend, char text[CH_REPLY_ID]);

/* This node's part of the retry budget of a service (0: of all services
 * together). Lock held. */
struct ch_retry_budget *ch_front_budget(struct ch_front *frontend,
                                        GQuark service);

/* Registers and unregisters a running exchange; ch_frontend_stop() waits until
 * none is left. */
void ch_front_enter(struct ch_front *frontend, struct ch_exchange *exchange);
void ch_front_leave(struct ch_front *frontend, struct ch_exchange *exchange);

#endif
