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

#endif
