#ifndef CH_ERAS_H
#define CH_ERAS_H

/*
 * Eras of the key-value store. A store that comes back from a copy some
 * seconds old has lost what it accepted since, and gives the same revisions
 * and lease IDs out again; it says so by an era, which rises by one each time.
 * No sockets, no clock, no threads.
 */

#include "base/base.h"

enum ch_era_order {
    CH_ERA_SAME,
    CH_ERA_LATER,   /* the store has come back from a copy since */
    CH_ERA_EARLIER, /* a late response from before that */
};

/*
 * A revision of the store together with its era, as one number that rises with
 * both and is exact as a double. In the first era it is the store's own
 * number.
 */
enum {
    CH_ERA_NUMBER_BITS = 40,
    CH_ERA_MAX = (1 << 13) - 1,
};

/* 0 if the era or the number is too large, or the number is 0. */
uint64_t ch_era_join(uint64_t era, uint64_t number);
uint64_t ch_era_get_era(uint64_t joined);
uint64_t ch_era_get_number(uint64_t joined);

/* The latest era that a client has seen; all 0 at first. */
struct ch_era_tracker {
    bool known;
    uint64_t era;
    uint64_t returns; /* times that the era has risen */
};

/* Reads the text of an era, a decimal number; false for any other text. */
bool ch_era_parse(const char *text, uint64_t *era);
/* Takes over the era of a response to a call that was sent when `sent` was
 * known. Returns how the response's era compares with the call's; a first era
 * compares as the same. */
enum ch_era_order ch_era_tracker_observe(struct ch_era_tracker *tracker,
                                         const struct ch_era_tracker *sent,
                                         uint64_t era);

/* ---- entries that their owners write (entry.c) ---- */

/* What an entry says of its writing: a copy of the store may hold an older
 * entry at a later revision. */
struct ch_entry_stamp {
    uint64_t boot_id;     /* of its owner's process */
    uint64_t write_count; /* how often that process has written it; 0: not
                             stated */
    bool draining;        /* final for a process */
};

/* Whether an entry was written before the known one of its key. */
bool ch_entry_is_older(const struct ch_entry_stamp *known,
                       const struct ch_entry_stamp *offered);
/* Whether an entry was written before its key was seen to be removed. */
bool ch_entry_precedes_removal(const struct ch_entry_stamp *removed,
                               const struct ch_entry_stamp *offered);

#endif
