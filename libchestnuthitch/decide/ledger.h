#ifndef CH_DECIDE_LEDGER_H
#define CH_DECIDE_LEDGER_H

/*
 * The reservation ledger of one upstream: memory is never overcommitted.
 *
 * An order to load is written here by compare-and-swap before it is sent.
 * What is resident and what is reserved together never pass the capacity, and
 * the version is the fencing number of the orders that it covers.  Room is
 * given back on evidence alone, never after a time: a lost order may still
 * arrive.  Names follow tests/spec/ledger.pml.
 *
 * An engine that starts anew forgets which orders it carried out and which
 * fencing numbers it saw, so a late copy of an old order could take memory
 * that was given to another model since.  Therefore the ledger also keeps
 * which copies may still be on the way (struct ch_ledger_send), counts their
 * models as reserved when it meets a new boot, and never lets them add up to
 * more than the capacity.  This holds with engines of both kinds; fencing at
 * the engine only refuses earlier.
 */

#include "base/base.h"

enum ch_ledger_state {
    CH_LEDGER_RESERVED,  /* a load was or may be ordered */
    CH_LEDGER_RESIDENT,  /* the engine reported it; its load is closed */
    CH_LEDGER_UNLOADING, /* an unload was or may be ordered; still counted */
};

struct ch_ledger_entry {
    char *item; /* "model" or "model/adapter" */
    uint32_t memory_mb;
    enum ch_ledger_state state;
    char order[40]; /* id of the latest order */
    uint64_t fence; /* version at which it was written */
};

enum ch_ledger_delivery {
    CH_LEDGER_OPEN,    /* the sender may send it yet, or has just sent it */
    CH_LEDGER_ENDED,   /* answered, or its connection is closed */
    CH_LEDGER_SETTLED, /* ended before a report of the boot in force */
};

/* The copies of one order to load that one process has sent or may send. */
struct ch_ledger_send {
    char order[40];
    char *item;
    uint32_t memory_mb;
    char *sender; /* "node#incarnation" */
    uint32_t copies;
    enum ch_ledger_delivery delivery;
    bool done; /* carried out by the boot in force: more copies do nothing */
};

struct ch_ledger {
    char *upstream;
    uint64_t version; /* one more at each write */
    uint32_t capacity_mb;
    char *boot;   /* the engine's boot that the entries are of; NULL: none */
    char *writer; /* mark of the latest write, to know one's own again */
    struct ch_ledger_entry *entries;
    size_t count;
    struct ch_ledger_send *sends;
    size_t send_count;
};

/* What an engine's report tells, as far as it is evidence here. */
struct ch_ledger_evidence {
    const char *boot;
    const char *const *resident;
    const uint32_t *resident_mb;
    size_t resident_count;
    const char *const *orders_done;
    size_t orders_done_count;
    /* The report was asked for after every ENDED here was known. */
    bool after_ends;
};

struct ch_ledger *ch_ledger_new(const char *upstream, uint32_t capacity_mb);
struct ch_ledger *ch_ledger_copy(const struct ch_ledger *ledger);
void ch_ledger_free(struct ch_ledger *ledger);
struct ch_ledger *ch_ledger_parse(const char *json, size_t length,
                                  struct ch_error *error);
char *ch_ledger_print(const struct ch_ledger *ledger);
uint32_t ch_ledger_committed(const struct ch_ledger *ledger);
/* Memory that copies on the way could take in a new boot. */
uint32_t ch_ledger_exposed(const struct ch_ledger *ledger);
const struct ch_ledger_entry *ch_ledger_find(const struct ch_ledger *ledger,
                                             const char *item);

/* The copy to make changes in: its version is one higher. */
struct ch_ledger *ch_ledger_next(const struct ch_ledger *ledger,
                                 const char *writer);

/* Each changes such a copy, which is then written by compare-and-swap; false:
   the change is not allowed, and nothing changed. */
bool ch_ledger_reserve(struct ch_ledger *ledger, const char *item,
                       uint32_t memory_mb, const char *order,
                       const char *sender, struct ch_error *error);
bool ch_ledger_release(struct ch_ledger *ledger, const char *item,
                       const char *order, struct ch_error *error);
/* Before the order of an entry is sent once more. */
bool ch_ledger_resend(struct ch_ledger *ledger, const char *item,
                      const char *sender, struct ch_error *error);
/* The id to send for an entry now: its order, or an older one that the boot
   in force has not carried out; NULL when there is nothing to send. */
const char *ch_ledger_unclosed(const struct ch_ledger *ledger,
                               const char *item);
/* The sender's one copy of a load on the way has ended.  refused: the engine
   or the connection certainly did not take it.  True: something changed. */
bool ch_ledger_end(struct ch_ledger *ledger, const char *order,
                   const char *sender, bool refused);
/* Earlier processes of the sender's node have ended.  True: changed. */
bool ch_ledger_end_earlier(struct ch_ledger *ledger, const char *sender);
/* A report that was asked for after this ledger was known.  True: changed. */
bool ch_ledger_observe(struct ch_ledger *ledger,
                       const struct ch_ledger_evidence *evidence);

#endif
