#ifndef CH_BUFFERS_H
#define CH_BUFFERS_H

/*
 * Accounts of memory that is held for others: bytes of responses that callers
 * have not read yet, and bytes of requests at upstreams. No sockets, no clock,
 * no threads; the caller holds a lock around every function of one account.
 */

#include "base/base.h"

/* The unsent bytes of one response. Embedded in the response; all 0 at first.
 */
struct ch_unsent_entry {
    struct ch_unsent_entry *previous;
    struct ch_unsent_entry *next;
    size_t bytes;
    bool listed;
    bool ended; /* chosen to be ended, or released: counts no more */
};

/* The unsent bytes of all responses of a node. */
struct ch_unsent {
    struct ch_unsent_entry *first; /* entries with bytes, in no order */
    size_t bytes;                  /* sum over the entries */
    size_t highest; /* of the sum, before responses were ended */
    size_t bound;
    unsigned count; /* of the entries */
};

/* Sets how many bytes a response holds. An entry that has ended is left at 0.
 */
void ch_unsent_set(struct ch_unsent *unsent, struct ch_unsent_entry *entry,
                   size_t bytes);
/* Gives back an entry's bytes for good; once, further calls do nothing. */
void ch_unsent_release(struct ch_unsent *unsent,
                       struct ch_unsent_entry *entry);
/* Chooses a response to be ended: the one that holds most while the sum is
 * over the bound, NULL otherwise. Its bytes are given back by this; *bytes:
 * how many. To be called until it returns NULL. */
struct ch_unsent_entry *ch_unsent_choose(struct ch_unsent *unsent,
                                         size_t *bytes);

/* The bytes of request bodies that are in progress at each upstream. */
struct ch_held;

enum ch_held_result {
    CH_HELD_TAKEN,
    CH_HELD_REFUSED,
    CH_HELD_BEGINS_TO_REFUSE, /* refused at an upstream that holds requests,
                                 and none was since it held less than half of
                                 the bound */
};

/* bound: bytes for each upstream. */
struct ch_held *ch_held_new(size_t bound);
void ch_held_free(struct ch_held *held);
/* Counts a request of so many bytes at the upstream if it is within the
 * bound. */
enum ch_held_result ch_held_take(struct ch_held *held, GQuark upstream,
                                 size_t bytes);
/* To be called once for each request that was taken, when the upstream is done
 * with it. */
void ch_held_give_back(struct ch_held *held, GQuark upstream, size_t bytes);
size_t ch_held_get(const struct ch_held *held, GQuark upstream);
/* The most that one upstream has held. */
size_t ch_held_get_highest(const struct ch_held *held);

#endif
