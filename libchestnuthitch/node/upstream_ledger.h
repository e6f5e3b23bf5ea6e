#ifndef CH_NODE_UPSTREAM_LEDGER_H
#define CH_NODE_UPSTREAM_LEDGER_H

/*
 * One upstream's ledger at its home: read and changed by compare-and-swap,
 * with one call to the key-value store at a time, and the orders that follow
 * from it.
 */

#include "node/node.h"

#include <time.h>

struct ch_upstream_ledger;

/* Shared by all upstream ledgers of a node; must outlive them. */
struct ch_ledger_context {
    struct ch_node *node;
    struct ch_ledger_handlers handlers;
    void *data;
    char *sender;     /* "node#incarnation" */
    uint64_t last_id; /* atomic; number of the last order ID or write ID */
};

struct ch_upstream_ledger *
ch_upstream_ledger_new(struct ch_ledger_context *context, GQuark upstream);
struct ch_upstream_ledger *
ch_upstream_ledger_ref(struct ch_upstream_ledger *ledger);
void ch_upstream_ledger_unref(struct ch_upstream_ledger *ledger);
/* Reopens a closed ledger too. */
void ch_upstream_ledger_open(struct ch_upstream_ledger *ledger,
                             struct ch_upstream *engine, uint32_t capacity_mb);
/* The engine is no longer used when this returns.  Sends under way are still
   followed until they are recorded as ended, so that the next home need not
   allow for them. */
void ch_upstream_ledger_close(struct ch_upstream_ledger *ledger);
/* Waits until sent orders are recorded as ended in the ledger, but no longer
   than until the deadline on the monotonic clock.  Returns at once while the
   key-value store is unavailable. */
void ch_upstream_ledger_wait_recorded(struct ch_upstream_ledger *ledger,
                                      const struct timespec *deadline);
/* No new calls are started. */
void ch_upstream_ledger_stop(struct ch_upstream_ledger *ledger);
/* Requests that an item be loaded or unloaded; memory_mb is 0 for an
   unload. */
void ch_upstream_ledger_request_change(struct ch_upstream_ledger *ledger,
                                       GQuark item, enum ch_action_kind kind,
                                       uint32_t memory_mb);
void ch_upstream_ledger_apply_report(struct ch_upstream_ledger *ledger,
                                     const struct ch_engine_report *report);

#endif
