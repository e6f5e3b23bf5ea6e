#ifndef CH_DECIDE_ABSENCE_H
#define CH_DECIDE_ABSENCE_H

/*
 * For how long an entry that is missing from the key-value store may still be
 * used. While the store is away entries expire whose owners are alive, and
 * they are back soon after it; otherwise a missing entry has been removed. No
 * sockets, no clock, no threads. Times are in microseconds.
 */

#include "base/base.h"

/* What a node's own calls show of the store. */
struct ch_store_contact {
    int64_t failing_since;   /* first of the failures in a row; 0: none */
    int64_t outage_ended_at; /* when the store was last back; 0: never away */
};

/* Records the end of a call. */
void ch_store_contact_record(struct ch_store_contact *contact, bool answered,
                             int64_t now);
/* When an entry that an answer of the store lacks now is to be removed.
 * grace: for how long entries may be missing after an outage. known_end: what
 * this function returned when the entry was first missed; 0: it was not. */
int64_t ch_absence_get_end(const struct ch_store_contact *contact,
                           int64_t known_end, int64_t grace, int64_t now);

/* Records that the store has come back from a copy, without the entries that
 * were written since: their owners write them again, as after an outage. */
void ch_store_contact_record_return(struct ch_store_contact *contact,
                                    int64_t now);

#endif
