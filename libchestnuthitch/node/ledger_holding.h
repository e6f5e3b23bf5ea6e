#ifndef CH_NODE_LEDGER_HOLDING_H
#define CH_NODE_LEDGER_HOLDING_H

/*
 * One upstream's ledger at its home: read and changed by compare-and-swap,
 * with one call to the key-value store at a time, and the orders that follow
 * from it.
 */

#include "node/node.h"

#include <time.h>

struct ch_ledger_holding;

/* Shared by all upstream ledgers of a node; must outlive them. */
struct ch_ledger_office {
    struct ch_node *node;
    struct ch_ledger_handlers handlers;
    void *data;
    char *sender;   /* "node#incarnation" */
    uint64_t marks; /* atomic; number of the last order ID or write ID */
};

struct ch_ledger_holding *
ch_ledger_holding_new(struct ch_ledger_office *context, GQuark upstream);
struct ch_ledger_holding *
ch_ledger_holding_ref(struct ch_ledger_holding *ledger);
void ch_ledger_holding_unref(struct ch_ledger_holding *ledger);
/* Reopens a closed ledger too. */
void ch_ledger_holding_open(struct ch_ledger_holding *ledger,
                            struct ch_upstream *engine, uint32_t capacity_mb);
/* The engine is no longer used when this returns.  Sends under way are still
   followed until they are recorded as ended, so that the next home need not
   allow for them. */
void ch_ledger_holding_close(struct ch_ledger_holding *ledger);
/* Waits until sent orders are recorded as ended in the ledger, but no longer
   than until the deadline on the monotonic clock.  Returns at once while the
   key-value store is unavailable. */
void ch_ledger_holding_settle(struct ch_ledger_holding *ledger,
                              const struct timespec *deadline);
/* No new calls are started. */
void ch_ledger_holding_stop(struct ch_ledger_holding *ledger);
/* Requests that an item be loaded or unloaded; memory_mb is 0 for an
   unload. */
void ch_ledger_holding_intend(struct ch_ledger_holding *ledger, GQuark item,
                              enum ch_action_kind kind, uint32_t memory_mb);
void ch_ledger_holding_report(struct ch_ledger_holding *ledger,
                              const struct ch_report *report);

#endif
