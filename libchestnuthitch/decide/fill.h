#ifndef CH_DECIDE_FILL_H
#define CH_DECIDE_FILL_H

/* Spreads requests over places (such as engines) where many nodes choose at
 * the same time by the same view of them, which is some hundred milliseconds
 * old. No sockets, no clock, no threads. */

#include "base/base.h"

/*
 * Returns the index of the place for one of the `arrivals` requests that are
 * expected until the view is refreshed. costs: cost of each place for the next
 * request, in any unit. cost_per_request: what each request adds to the cost
 * of its place, above 0. random: from 0 up to but not including 1, a new
 * number for each request. count is above 0.
 */
size_t ch_fill_choose(const double *costs, size_t count,
                      double cost_per_request, double arrivals, double random);

/* Like ch_fill_choose(), for places that differ in what a request adds to
 * their cost: costs_per_request has it for each place. */
size_t ch_fill_choose_uneven(const double *costs,
                             const double *costs_per_request, size_t count,
                             double arrivals, double random);

#endif
