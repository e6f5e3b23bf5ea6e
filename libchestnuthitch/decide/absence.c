/* Decides whether a missing entry was removed or has expired in an outage. */

#include "decide/absence.h"

enum {
    /* Entries expire after some seconds in which their owners can't write. A
     * store that answers again sooner was not away: a connection was lost. */
    MIN_OUTAGE_US = 1000 * 1000,
};

/* See absence.h. */
void
ch_store_contact_record(struct ch_store_contact *contact, bool answered,
                        int64_t now)
{
    if (!answered) {
        contact->failing_since =
            contact->failing_since == 0 ? now : contact->failing_since;
        return;
    }
    if (contact->failing_since != 0 &&
        now - contact->failing_since >= MIN_OUTAGE_US) {
        contact->outage_ended_at = now;
    }
    contact->failing_since = 0;
}

/*
 * See absence.h. For connections to the store that are reset again and again
 * while entries are removed. If each reset counted as an outage, or began the
 * grace of an entry anew, an upstream that has left would get requests for
 * many seconds. So only an outage of some length gives grace, and the end that
 * was set when the entry was first missed stays.
 */
int64_t
ch_absence_get_end(const struct ch_store_contact *contact, int64_t known_end,
                   int64_t grace, int64_t now)
{
    if (known_end != 0) {
        return known_end;
    }
    bool after_outage = contact->outage_ended_at != 0 &&
                        now - contact->outage_ended_at < grace;
    return after_outage ? contact->outage_ended_at + grace : now;
}

/* See absence.h. */
void
ch_store_contact_record_return(struct ch_store_contact *contact, int64_t now)
{
    contact->outage_ended_at = now;
}
