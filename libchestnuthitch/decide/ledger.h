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
 */

#include "base/base.h"

enum ch_ledger_state {
    CH_LEDGER_RESERVED,  /* a load was or may be ordered */
    CH_LEDGER_RESIDENT,  /* the engine reported it */
    CH_LEDGER_UNLOADING, /* an unload was or may be ordered; still counted */
};

struct ch_ledger_entry {
    char *item; /* "model" or "model/adapter" */
    uint32_t memory_mb;
    enum ch_ledger_state state;
    char order[40]; /* id of the latest order */
    uint64_t fence; /* version at which it was written */
};

struct ch_ledger {
    char *upstream;
    uint64_t version; /* one more at each write */
    uint32_t capacity_mb;
    char *boot; /* the engine's boot that the entries are of */
    struct ch_ledger_entry *entries;
    size_t count;
};

struct ch_ledger *ch_ledger_new(const char *upstream, uint32_t capacity_mb);
struct ch_ledger *ch_ledger_copy(const struct ch_ledger *ledger);
void ch_ledger_free(struct ch_ledger *ledger);
struct ch_ledger *ch_ledger_parse(const char *json, size_t length,
                                  struct ch_error *error);
char *ch_ledger_print(const struct ch_ledger *ledger);
uint32_t ch_ledger_committed(const struct ch_ledger *ledger);
const struct ch_ledger_entry *ch_ledger_find(const struct ch_ledger *ledger,
                                             const char *item);

/* Each changes a copy that is then written by compare-and-swap; false: the
   change is not allowed, and nothing changed. */
bool ch_ledger_reserve(struct ch_ledger *ledger, const char *item,
                       uint32_t memory_mb, const char *order,
                       struct ch_error *error);
bool ch_ledger_release(struct ch_ledger *ledger, const char *item,
                       const char *order, struct ch_error *error);

#endif
