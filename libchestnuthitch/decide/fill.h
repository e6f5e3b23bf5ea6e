#ifndef CH_DECIDE_FILL_H
#define CH_DECIDE_FILL_H

/*
 * Which of several places takes a request, where many nodes choose at once by
 * one and the same view of them, which is some hundred milliseconds old.  No
 * sockets, no clock, no threads.
 */

#include "base/base.h"

/*
 * The index of the place for one of `arrivals` requests that are expected
 * until the view is new.  costs: of each place for the next request; each:
 * what a request adds to the cost of its place, above 0; random: from 0 up to
 * 1, another one for each request.  count is above 0.
 */
size_t ch_fill_choose(const double *costs, size_t count, double each,
                      double arrivals, double random);

#endif
