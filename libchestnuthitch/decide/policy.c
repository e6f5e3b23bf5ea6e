/* Table of the scheduling policies.  Each combines rules for the same
 * scheduler and router. */

#include "decide/home.h"

#include <string.h>

enum {
    /* Requests without a target are ranked as if they had this target: behind
     * requests that have one, but without starving. */
    DEFAULT_TARGET_US = 60 * G_USEC_PER_SEC,
};

/*
 * Earliest deadline first.
 *
 * Short lookups and long advice requests share an upstream.  In order of
 * arrival, a lookup would wait behind an advice request that has seconds to
 * spare.  Under overload, this order makes every request late in turn, so it
 * is only used together with admission, which refuses requests that would be
 * late.
 */
static int64_t
rank_by_deadline(const struct ch_home *home,
                 const struct ch_request_info *request, int64_t now)
{
    (void)home;
    (void)now;
    return request->first_token_deadline > 0
               ? request->first_token_deadline
               : request->arrived_at + DEFAULT_TARGET_US;
}

static int64_t
rank_by_arrival(const struct ch_home *home,
                const struct ch_request_info *request, int64_t now)
{
    (void)home;
    (void)now;
    return request->arrived_at;
}

/* Least slack first: the deadline minus the time that the request will hold
 * its slot, so that of two requests with the same deadline the longer one goes
 * first. */
static int64_t
rank_by_slack(const struct ch_home *home,
              const struct ch_request_info *request, int64_t now)
{
    uint32_t running = home->running->len + 1;
    return rank_by_deadline(home, request, now) -
           ch_service_times_predict_slot(&home->service_times, request,
                                         running);
}

static const struct ch_routing_rules ROUTE_DEFAULT = {ch_route_choose_default,
                                                      true, true, true};
static const struct ch_routing_rules ROUTE_NO_AFFINITY = {
    ch_route_choose_default, false, true, true};
static const struct ch_routing_rules ROUTE_NO_SPILL = {ch_route_choose_default,
                                                       true, false, true};
static const struct ch_routing_rules ROUTE_LEAST_LOADED = {
    ch_route_choose_least_loaded, false, true, true};
static const struct ch_routing_rules ROUTE_STATIC = {ch_route_choose_static,
                                                     false, true, false};
static const struct ch_routing_rules ROUTE_INDEPENDENT = {
    ch_route_choose_independent, true, true, true};
static const struct ch_ordering_rules BY_DEADLINE = {rank_by_deadline};
static const struct ch_ordering_rules BY_ARRIVAL = {rank_by_arrival};
static const struct ch_ordering_rules BY_SLACK = {rank_by_slack};
static const struct ch_admission_rules ADMIT_DEFAULT = {
    ch_admit_predicted, true, true, true, false};
static const struct ch_admission_rules ADMIT_LATE_SHEDDING = {
    ch_admit_all, false, true, false, false};
static const struct ch_admission_rules ADMIT_UNFAIR = {
    ch_admit_predicted, true, true, false, false};
static const struct ch_admission_rules ADMIT_ALL = {ch_admit_all, false, false,
                                                    false, false};
static const struct ch_admission_rules ADMIT_UNLIMITED = {ch_admit_all, false,
                                                          true, false, true};
static const struct ch_placement_rules PLACE_DEFAULT = {false, true, true};
static const struct ch_placement_rules PLACE_EAGER = {false, false, false};
static const struct ch_placement_rules PLACE_FIXED = {true, false, false};

/* The first policy is the node's.  The next two are baselines for comparison.
 * Each of the others differs from the first in a single choice, to measure the
 * effect of that choice; "independent" differs in routing, ordering and
 * admission. */
static const struct ch_policy POLICIES[] = {
    {"default", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"static", &ROUTE_STATIC, &BY_ARRIVAL, &ADMIT_ALL, &PLACE_FIXED},
    {"least-loaded", &ROUTE_LEAST_LOADED, &BY_ARRIVAL, &ADMIT_ALL,
     &PLACE_EAGER},
    {"fcfs", &ROUTE_DEFAULT, &BY_ARRIVAL, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"least-slack", &ROUTE_DEFAULT, &BY_SLACK, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"late-shedding", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_LATE_SHEDDING,
     &PLACE_DEFAULT},
    {"no-affinity", &ROUTE_NO_AFFINITY, &BY_DEADLINE, &ADMIT_DEFAULT,
     &PLACE_DEFAULT},
    {"no-spill", &ROUTE_NO_SPILL, &BY_DEADLINE, &ADMIT_DEFAULT,
     &PLACE_DEFAULT},
    {"no-fairness", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_UNFAIR,
     &PLACE_DEFAULT},
    {"eager-moves", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_DEFAULT,
     &PLACE_EAGER},
    {"independent", &ROUTE_INDEPENDENT, &BY_ARRIVAL, &ADMIT_UNLIMITED,
     &PLACE_DEFAULT},
};

/* Returns the names of all policies, NULL-terminated, for error messages. */
const char *const *
ch_policy_list_names(void)
{
    static const char *const NAMES[] = {
        "default",     "static",        "least-loaded", "fcfs",
        "least-slack", "late-shedding", "no-affinity",  "no-spill",
        "no-fairness", "eager-moves",   "independent",  NULL};
    G_STATIC_ASSERT(G_N_ELEMENTS(NAMES) == G_N_ELEMENTS(POLICIES) + 1);
    return NAMES;
}

/* Returns the policy of that name, statically allocated, or NULL if there is
 * none. */
const struct ch_policy *
ch_policy_find(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(POLICIES); i++) {
        if (strcmp(POLICIES[i].name, name) == 0) {
            return &POLICIES[i];
        }
    }
    return NULL;
}
