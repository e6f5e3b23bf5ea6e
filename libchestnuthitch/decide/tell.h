#ifndef CH_DECIDE_TELL_H
#define CH_DECIDE_TELL_H

/*
 * Which holder of a right tells the nodes of a data centre what engines hold
 * and run, and takes from them what their requests ask for.  A pure function
 * of the rights that are known: every node and every holder finds the same
 * without asking.  No sockets, no clock, no threads.
 */

#include "base/base.h"

/* A right whose holder was heard lately. */
struct ch_tell_right {
    GQuark data_centre; /* whose engines it orders */
    GQuark holder;
    GQuark region; /* of the data centre; 0: unknown */
};

/* The holder that tells the nodes of a data centre; 0: none is known. */
GQuark ch_tell_teller(const struct ch_tell_right *rights, size_t count,
                      GQuark data_centre, GQuark region);

#endif
