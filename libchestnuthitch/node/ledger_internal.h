#ifndef CH_NODE_LEDGER_INTERNAL_H
#define CH_NODE_LEDGER_INTERNAL_H

/*
 * What ledger_holding.c (steps, reads and writes), ledger_compose.c (the next
 * version) and ledger_orders.c (what is sent to the engine) share of one
 * upstream's ledger.
 */

#include "node/ledger_holding.h"

#include <pthread.h>

enum {
    /*
     * An order not known to be carried out is sent again under its id: after
     * 1 s when its answer was lost, after 5 s when it was accepted (a load
     * waits for the weight store), doubled up to a minute.
     */
    RESEND_LOST = 1000 * 1000,
    RESEND_ACCEPTED = 5 * 1000 * 1000,
    MOST_RESEND = 60 * 1000 * 1000,
};

struct intent {
    GQuark item;
    enum ch_action_kind kind;
    uint32_t memory_mb;
    enum ch_code code; /* of one that failed */
};

/* A copy of an order that has ended and is not yet noted in the ledger. */
struct ending {
    char order[40];
    bool refused;
    bool report_seen; /* a report came after it ended */
    bool ripe;        /* a report asked for after it ended came */
};

/* When an item's open order is sent again. */
struct resend {
    int64_t due;
    int64_t delay;
};

/* An order to be sent once the write that covers it has succeeded. */
struct outgoing {
    struct ch_order order;
    char *model;
    char *adapter;
    char *item;
};

struct ch_ledger_holding {
    struct ch_ledger_office *office;
    GQuark upstream;
    char *key;
    pthread_mutex_t lock;
    pthread_cond_t idle; /* signalled when sending or busy ends */
    int references;
    struct ch_upstream *engine; /* NULL when closed */
    unsigned sending;           /* threads that are using engine */
    uint32_t capacity_mb;
    bool stopped;
    bool busy;        /* a step is under way */
    bool reread;      /* the ledger is to be read (again) */
    bool adopted;     /* sends of our own were checked after a read */
    bool skip_report; /* the next report may be older than the ledger */
    struct ch_ledger *ledger; /* NULL: not known */
    uint64_t revision;
    struct ch_ledger *writing;
    char *bytes;         /* of writing */
    GPtrArray *outgoing; /* of writing */
    GArray *intents;
    GArray *endings;
    GHashTable *inflight;     /* order ids sent and not ended */
    GHashTable *resends;      /* item to struct resend */
    struct ch_report *report; /* not yet applied; NULL: none */
    int64_t pause;
    int64_t not_before;
    uint64_t timer;
};

/* ---- ledger_holding.c ---- */

/* Has a worker look for the next step. */
void ledger_submit_step(struct ch_ledger_holding *holding);
/* Tells the handler of intents that failed, with no lock held; frees them. */
void ledger_tell_failed(struct ch_ledger_holding *holding, GArray *failed);

/* ---- ledger_compose.c ---- */

/* Makes the next version in holding->writing; false when there is nothing to
   write.  Lock held. */
bool ledger_compose(struct ch_ledger_holding *holding, GArray *failed);
/* Forgets what has gone into the ledger.  Lock held. */
void ledger_consume(struct ch_ledger_holding *holding);
/* Drops the write under way, with the orders that were to follow it. */
void ledger_drop_writing(struct ch_ledger_holding *holding);
/* A mark that no other order or write of any process bears; g_free. */
char *ledger_new_mark(struct ch_ledger_office *office);

/* ---- ledger_orders.c ---- */

/* Sends the orders that a write has covered. */
void ledger_send_orders(struct ch_ledger_holding *holding, GPtrArray *orders);
/* Adds an entry's order to what is sent after the write. */
void ledger_add_outgoing(struct ch_ledger_holding *holding,
                         const struct ch_ledger_entry *entry);
void ledger_outgoing_free(void *data);
/* Puts off the next copy of an item's order.  Lock held. */
void ledger_delay_resend(struct ch_ledger_holding *holding, const char *item,
                         int64_t first);

#endif
