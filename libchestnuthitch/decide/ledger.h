#ifndef CH_DECIDE_LEDGER_H
#define CH_DECIDE_LEDGER_H

/*
 * The reservation ledger of one upstream, which prevents overcommitment of the
 * engine's memory.
 *
 * A load order is recorded in the ledger by compare-and-swap before it is sent
 * to the engine.  Resident and reserved items together never exceed the
 * capacity.  The ledger's version is the fencing token of the orders that it
 * covers.  Memory is freed only when a report of the engine proves that no
 * order can use it any more, never by a timeout, because a lost order may
 * still arrive.  tests/spec/ledger.pml is the formal model of this protocol.
 *
 * An engine that restarts forgets which orders it executed and which fencing
 * tokens it saw, so a delayed copy of an old order could use memory that has
 * been reserved for another model since.  The ledger therefore also records
 * which copies may still be in flight (struct ch_ledger_send), counts their
 * items as reserved when the engine's boot ID changes, and never lets them add
 * up to more than the capacity.  This is safe with engines that check fencing
 * tokens and with those that don't: a check at the engine only refuses stale
 * orders earlier.
 */

#include "base/base.h"

enum ch_ledger_state {
    CH_LEDGER_RESERVED,  /* a load order was sent or may be sent */
    CH_LEDGER_RESIDENT,  /* reported by the engine; no load order is open */
    CH_LEDGER_UNLOADING, /* an unload order was sent or may be sent; the item
                            still counts as committed memory */
};

struct ch_ledger_entry {
    char *item; /* "model" or "model/adapter" */
    uint32_t memory_mb;
    enum ch_ledger_state state;
    char order_id[40];      /* ID of the latest order */
    uint64_t fencing_token; /* ledger version at which the order was recorded
                       or last resent */
};

enum ch_ledger_delivery {
    CH_LEDGER_OPEN,    /* about to be sent, or sent and not answered */
    CH_LEDGER_ENDED,   /* answered, or its connection is closed; the engine
                          process that received it may still execute it */
    CH_LEDGER_SETTLED, /* ended before a report of the current boot was
                          requested: no later boot can execute it */
};

/* All copies of one load order that one process has sent or may send. */
struct ch_ledger_send {
    char order_id[40];
    char *item;
    uint32_t memory_mb;
    char *sender; /* "node#incarnation" */
    uint32_t copies;
    enum ch_ledger_delivery delivery;
    bool
        executed; /* executed by the current boot: further copies do nothing */
};

struct ch_ledger {
    char *upstream;
    uint64_t version; /* incremented by each write */
    uint32_t capacity_mb;
    char *boot_id;  /* boot ID of the engine process that the entries describe;
                    NULL before the first report */
    char *write_id; /* unique ID of the latest write, by which a writer whose
                     answer was lost recognises its own write */
    struct ch_ledger_entry *entries;
    size_t entry_count;
    struct ch_ledger_send *sends;
    size_t send_count;
};

/* The parts of an engine's report that the ledger uses. */
struct ch_ledger_report {
    const char *boot_id;
    const char *const *resident_items;
    const uint32_t *resident_mb;
    size_t resident_count;
    const char *const *done_order_ids;
    size_t done_order_count;
    /* The report was requested after the ledger knew of every send that is
       CH_LEDGER_ENDED in it. */
    bool requested_after_ends;
};

struct ch_ledger *ch_ledger_new(const char *upstream, uint32_t capacity_mb);
struct ch_ledger *ch_ledger_copy(const struct ch_ledger *ledger);
void ch_ledger_free(struct ch_ledger *ledger);
struct ch_ledger *ch_ledger_parse(const char *json, size_t length,
                                  struct ch_error *error);
char *ch_ledger_print(const struct ch_ledger *ledger);
uint32_t ch_ledger_get_committed_mb(const struct ch_ledger *ledger);
/* Memory, in MB, that load orders in flight could use after a restart of the
   engine. */
uint32_t ch_ledger_get_in_flight_mb(const struct ch_ledger *ledger);
const struct ch_ledger_entry *
ch_ledger_find_entry(const struct ch_ledger *ledger, const char *item);

/* A copy to make changes in.  Its version is one higher. */
struct ch_ledger *ch_ledger_copy_next(const struct ch_ledger *ledger,
                                      const char *write_id);

/* The functions below change a copy made by ch_ledger_copy_next, which is then
   written by compare-and-swap.  Those with an error parameter return false,
   and change nothing, when the change is not allowed. */
bool ch_ledger_reserve(struct ch_ledger *ledger, const char *item,
                       uint32_t memory_mb, const char *order_id,
                       const char *sender, struct ch_error *error);
bool ch_ledger_release(struct ch_ledger *ledger, const char *item,
                       const char *order_id, struct ch_error *error);
/* Records that sender is about to send an entry's open order again. */
bool ch_ledger_resend(struct ch_ledger *ledger, const char *item,
                      const char *sender, struct ch_error *error);
/* The ID of the order to send for an item now: the entry's order, or an older
   one that the current boot has not executed.  NULL when there is nothing to
   send.  Valid until the ledger changes. */
const char *ch_ledger_find_open_order(const struct ch_ledger *ledger,
                                      const char *item);
/* Records that the sender's copy of a load order has ended.  refused: the copy
   certainly did not reach the engine or was rejected by it.  Returns true when
   the ledger changed. */
bool ch_ledger_end_send(struct ch_ledger *ledger, const char *order_id,
                        const char *sender, bool refused);
/* Records that earlier processes of the sender's node have ended.  Returns
   true when the ledger changed. */
bool ch_ledger_end_earlier_sends(struct ch_ledger *ledger, const char *sender);
/* Applies a report that was requested after this version of the ledger was
   known.  Returns true when the ledger changed. */
bool ch_ledger_apply_report(struct ch_ledger *ledger,
                            const struct ch_ledger_report *report);

#endif
