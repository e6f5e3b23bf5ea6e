#ifndef CH_NODE_LEDGER_HOLDING_H
#define CH_NODE_LEDGER_HOLDING_H

/*
 * One upstream's ledger at its home: read, changed by compare-and-swap, one
 * call to the key-value service at a time, and the orders that follow.
 */

#include "node/node.h"

#include <time.h>

struct ch_ledger_holding;

/* What all holdings of a node share; outlives them. */
struct ch_ledger_office {
    struct ch_node *node;
    struct ch_ledger_handlers handlers;
    void *data;
    char *sender;   /* "node#incarnation" */
    uint64_t marks; /* atomic: the last order id or write mark given */
};

struct ch_ledger_holding *
ch_ledger_holding_new(struct ch_ledger_office *office, GQuark upstream);
struct ch_ledger_holding *
ch_ledger_holding_ref(struct ch_ledger_holding *holding);
void ch_ledger_holding_unref(struct ch_ledger_holding *holding);
/* A holding that was closed is opened again in the same way. */
void ch_ledger_holding_open(struct ch_ledger_holding *holding,
                            struct ch_upstream *engine, uint32_t capacity_mb);
/* When it returns, the engine is no longer used.  What was sent is still
   followed up, so that the next home need not allow for it. */
void ch_ledger_holding_close(struct ch_ledger_holding *holding);
/* Waits until what was sent is noted as ended in the ledger, or until the
   deadline on the monotonic clock, or while the service is away. */
void ch_ledger_holding_settle(struct ch_ledger_holding *holding,
                              const struct timespec *deadline);
/* No further calls are begun. */
void ch_ledger_holding_stop(struct ch_ledger_holding *holding);
/* memory_mb 0: unload. */
void ch_ledger_holding_intend(struct ch_ledger_holding *holding, GQuark item,
                              enum ch_action_kind kind, uint32_t memory_mb);
void ch_ledger_holding_report(struct ch_ledger_holding *holding,
                              const struct ch_report *report);

#endif
