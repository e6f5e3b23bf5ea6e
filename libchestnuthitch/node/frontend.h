#ifndef CH_NODE_FRONTEND_H
#define CH_NODE_FRONTEND_H

/* State shared by the callers' HTTP listener and the exchanges. Lock order:
 * exchange < frontend < response; see node.h for the rest. */

#include "buffers/buffers.h"
#include "node/dialect.h"
#include "node/node.h"
#include "node/response.h"
#include "node/request.h"

#include <pthread.h>

struct ch_exchange;
struct ch_disconnect_watch;
struct ch_listener;

struct ch_frontend {
    struct ch_node *node;
    struct ch_listener *listener; /* NULL once closed */
    struct MHD_Daemon *daemon;
    struct ch_disconnect_watch *disconnect_watch;
    int64_t limit_logged_at; /* used by the listener's thread only: when it
                        last logged too many connections */
    uint64_t id_prefix; /* differs between nodes and between their restarts */
    pthread_mutex_t lock;
    pthread_cond_t count_lowered; /* signalled when a count below goes down */
    size_t incoming;              /* requests of which a part has arrived */
    size_t accepted;       /* complete requests without a response yet */
    GHashTable *exchanges; /* a set of running exchanges */
    unsigned connections;  /* that libmicrohttpd has open */
    uint64_t last_id;      /* of the last request */
    struct ch_retry_budget retry_budget; /* for all services together */
    GHashTable *service_retry_budgets;   /* GQuark to struct ch_retry_budget */
    int64_t live_updated_at;             /* when live_count was last read */
    unsigned live_count;  /* nodes among which the slack is divided */
    struct ch_held *held; /* request bytes at upstreams; NULL: no bound */
    bool stopping;        /* not ready, but still serving */
    bool refusing;        /* new requests are refused with STOPPING */
};

/* Creates a request's IDs and returns the number, which is unique in this
 * process. text, for the caller, is unique among all nodes and their restarts.
 */
uint64_t ch_frontend_new_id(struct ch_frontend *frontend,
                            char text[CH_RESPONSE_ID_SIZE]);

/* This node's part of the retry budget of a service (0: of all services
 * together). Lock held. */
struct ch_retry_budget *
ch_frontend_get_retry_budget(struct ch_frontend *frontend, GQuark service);

/* Registers and unregisters a running exchange; ch_frontend_stop() waits until
 * none is left. */
void ch_frontend_add_exchange(struct ch_frontend *frontend,
                              struct ch_exchange *exchange);
void ch_frontend_remove_exchange(struct ch_frontend *frontend,
                                 struct ch_exchange *exchange);

#endif
