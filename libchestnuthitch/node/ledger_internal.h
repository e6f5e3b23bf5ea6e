#ifndef CH_NODE_LEDGER_INTERNAL_H
#define CH_NODE_LEDGER_INTERNAL_H

/*
 * Parts of an upstream's ledger that upstream_ledger.c (steps, reads and
 * writes), ledger_build_next.c (the next version) and ledger_orders.c (orders
 * to the engine) share.
 */

#include "node/upstream_ledger.h"

#include <pthread.h>

enum {
    /*
     * An order that is not known to be carried out is sent again under the
     * same ID: after 1 s when its reply was lost, after 5 s when it was
     * accepted (a load waits for the weight store).  The delay doubles up to a
     * minute.
     */
    ORDER_RETRY_LOST_US = 1000 * 1000,
    ORDER_RETRY_ACCEPTED_US = 5 * 1000 * 1000,
    MAX_ORDER_RETRY_US = 60 * 1000 * 1000,
};

struct intent {
    GQuark item;
    enum ch_action_kind kind;
    uint32_t memory_mb;
    enum ch_code code; /* of a failed intent */
};

/* A send of an order that has ended, which is not yet recorded in the
   ledger. */
struct ended_send {
    char order_id[40];
    bool refused;
    bool report_seen; /* a report arrived after the send ended */
    /* A report requested after the send ended has arrived. */
    bool report_after_end;
};

/* When an item's open order is sent again. */
struct order_retry {
    int64_t due_at;
    int64_t delay;
};

/* An order to be sent once the write that records it has succeeded. */
struct outgoing_order {
    struct ch_order order;
    char *model;
    char *adapter;
    char *item;
};

struct ch_upstream_ledger {
    struct ch_ledger_context *context;
    GQuark upstream;
    char *key;
    pthread_mutex_t lock;
    /* Signalled when a step or a thread's use of engine ends. */
    pthread_cond_t idle;
    int references;
    struct ch_upstream *engine; /* NULL when closed */
    unsigned sending_threads;   /* threads that are using engine */
    uint32_t capacity_mb;
    bool stopped;
    bool step_running; /* a step is under way */
    bool must_read;    /* the ledger must be read (again) */
    /* Sends recorded for this process were checked after the last read. */
    bool own_sends_checked;
    bool skip_report; /* the next report may be older than the ledger */
    struct ch_ledger *current_version; /* NULL: not known */
    uint64_t revision;
    struct ch_ledger *pending_version;
    char *pending_text;        /* pending_version as text */
    GPtrArray *pending_orders; /* sent when pending_version is written */
    GArray *intents;
    GArray *ended_sends;
    /* IDs of orders that were sent and have not ended. */
    GHashTable *in_flight;
    GHashTable *retries;             /* item to struct order_retry */
    struct ch_engine_report *report; /* not yet applied; NULL: none */
    int64_t backoff;
    int64_t next_call_at;
    uint64_t backoff_timer;
};

/* ---- upstream_ledger.c ---- */

/* Has a pool worker run the next step. */
void ledger_submit_step(struct ch_upstream_ledger *ledger);
/* Calls the handler of failed orders for each intent, with no lock held, and
   frees the list. */
void ledger_notify_failed(struct ch_upstream_ledger *ledger, GArray *failed);

/* ---- ledger_build_next.c ---- */

/* Builds the next version in ledger->pending_version; false when nothing has
   changed.  Intents that can't be carried out are added to failed.  Lock
   held. */
bool ledger_build_next(struct ch_upstream_ledger *ledger, GArray *failed);
/* Discards what the new version contains.  Lock held. */
void ledger_discard_applied(struct ch_upstream_ledger *ledger);
/* Discards the pending version with the orders that were to follow its
   write. */
void ledger_discard_pending(struct ch_upstream_ledger *ledger);
/* A new ID that no other order or write of any process has; free with
   g_free. */
char *ledger_create_id(struct ch_ledger_context *context);

/* ---- ledger_orders.c ---- */

/* Sends the orders recorded by a successful write. */
void ledger_send_orders(struct ch_upstream_ledger *ledger, GPtrArray *orders);
/* Adds an entry's order to those sent after the write. */
void ledger_add_pending_order(struct ch_upstream_ledger *ledger,
                              const struct ch_ledger_entry *entry);
void ledger_outgoing_free(void *data);
/* Schedules the next send of an item's order, with a doubled delay of at least
   min_delay.  Lock held. */
void ledger_schedule_retry(struct ch_upstream_ledger *ledger, const char *item,
                           int64_t min_delay);

#endif
