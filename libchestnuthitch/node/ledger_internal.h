#ifndef CH_NODE_LEDGER_INTERNAL_H
#define CH_NODE_LEDGER_INTERNAL_H

/*
 * Parts of an upstream's ledger that upstream_ledger.c (steps, reads and
 * writes), ledger_compose.c (the next version) and ledger_orders.c (orders to
 * the engine) share.
 */

#include "node/ledger_holding.h"

#include <pthread.h>

enum {
    /*
     * An order that is not known to be carried out is sent again under the
     * same ID: after 1 s when its reply was lost, after 5 s when it was
     * accepted (a load waits for the weight store).  The delay doubles up to a
     * minute.
     */
    RESEND_LOST = 1000 * 1000,
    RESEND_ACCEPTED = 5 * 1000 * 1000,
    MOST_RESEND = 60 * 1000 * 1000,
};

struct intent {
    GQuark item;
    enum ch_action_kind kind;
    uint32_t memory_mb;
    enum ch_code code; /* of a failed intent */
};

/* A send of an order that has ended, which is not yet recorded in the
   ledger. */
struct ending {
    char order[40];
    bool refused;
    bool report_seen; /* a report arrived after the send ended */
    /* A report requested after the send ended has arrived. */
    bool ripe;
};

/* When an item's open order is sent again. */
struct resend {
    int64_t due;
    int64_t delay;
};

/* An order to be sent once the write that records it has succeeded. */
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
    /* Signalled when a step or a thread's use of engine ends. */
    pthread_cond_t idle;
    int references;
    struct ch_upstream *engine; /* NULL when closed */
    unsigned sending;           /* threads that are using engine */
    uint32_t capacity_mb;
    bool stopped;
    bool busy;   /* a step is under way */
    bool reread; /* the ledger must be read (again) */
    /* Sends recorded for this process were checked after the last read. */
    bool adopted;
    bool skip_report; /* the next report may be older than the ledger */
    struct ch_ledger *ledger; /* NULL: not known */
    uint64_t revision;
    struct ch_ledger *writing;
    char *bytes;         /* pending_version as text */
    GPtrArray *outgoing; /* sent when pending_version is written */
    GArray *intents;
    GArray *endings;
    /* IDs of orders that were sent and have not ended. */
    GHashTable *inflight;
    GHashTable *resends;      /* item to struct order_retry */
    struct ch_report *report; /* not yet applied; NULL: none */
    int64_t pause;
    int64_t not_before;
    uint64_t timer;
};

/* ---- upstream_ledger.c ---- */

/* Has a pool worker run the next step. */
void ledger_submit_step(struct ch_ledger_holding *ledger);
/* Calls the handler of failed orders for each intent, with no lock held, and
   frees the list. */
void ledger_tell_failed(struct ch_ledger_holding *ledger, GArray *failed);

/* ---- ledger_compose.c ---- */

/* Builds the next version in ledger->pending_version; false when nothing has
   changed.  Intents that can't be carried out are added to failed.  Lock
   held. */
bool ledger_compose(struct ch_ledger_holding *ledger, GArray *failed);
/* Discards what the new version contains.  Lock held. */
void ledger_consume(struct ch_ledger_holding *ledger);
/* Discards the pending version with the orders that were to follow its
   write. */
void ledger_drop_writing(struct ch_ledger_holding *ledger);
/* A new ID that no other order or write of any process has; free with
   g_free. */
char *ledger_new_mark(struct ch_ledger_office *context);

/* ---- ledger_orders.c ---- */

/* Sends the orders recorded by a successful write. */
void ledger_send_orders(struct ch_ledger_holding *ledger, GPtrArray *orders);
/* Adds an entry's order to those sent after the write. */
void ledger_add_outgoing(struct ch_ledger_holding *ledger,
                         const struct ch_ledger_entry *entry);
void ledger_outgoing_free(void *data);
/* Schedules the next send of an item's order, with a doubled delay of at least
   min_delay.  Lock held. */
void ledger_delay_resend(struct ch_ledger_holding *ledger, const char *item,
                         int64_t min_delay);

#endif
