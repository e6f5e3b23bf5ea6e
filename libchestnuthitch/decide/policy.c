/* The policies: each a row of choices over the same home and router. */

#include "decide/home.h"

#include <string.h>

enum {
    /* Work without a target ranks as if it had this one: behind what has a
     * target, and never for ever. */
    NO_TARGET = 60 * G_USEC_PER_SEC,
};

/* Earliest deadline first.
 *
 * Load: short lookups beside long advice on one upstream.  Harm prevented: a
 * lookup that waits behind advice which has seconds to spare.  Limit: under
 * overload deadline order makes everything late in turn, so it stands only
 * beside admission, which keeps what would be late out. */
static int64_t
rank_deadline(const struct ch_home *home, const struct ch_work *work,
              int64_t now)
{
    (void)home;
    (void)now;
    return work->first_by > 0 ? work->first_by : work->arrived + NO_TARGET;
}

/* First come, first served. */
static int64_t
rank_arrival(const struct ch_home *home, const struct ch_work *work,
             int64_t now)
{
    (void)home;
    (void)now;
    return work->arrived;
}

/* Least slack: the deadline less the time that the request will hold its
 * slot, so that long work goes before short work of the same deadline. */
static int64_t
rank_slack(const struct ch_home *home, const struct ch_work *work, int64_t now)
{
    uint32_t running = home->granted->len + 1;
    return rank_deadline(home, work, now) -
           ch_rates_hold(&home->rates, work, running);
}

static const struct ch_routing ROUTE_DEFAULT = {ch_route_default, true, true,
                                                true};
static const struct ch_routing ROUTE_PLAIN = {ch_route_default, false, true,
                                              true};
static const struct ch_routing ROUTE_LOCAL = {ch_route_default, true, false,
                                              true};
static const struct ch_routing ROUTE_LEAST_LOADED = {ch_route_least_loaded,
                                                     false, true, true};
static const struct ch_routing ROUTE_STATIC = {ch_route_static, false, true,
                                               false};
static const struct ch_routing ROUTE_INDEPENDENT = {ch_route_independent, true,
                                                    true, true};
static const struct ch_ordering BY_DEADLINE = {rank_deadline};
static const struct ch_ordering BY_ARRIVAL = {rank_arrival};
static const struct ch_ordering BY_SLACK = {rank_slack};
static const struct ch_admitting ADMIT_DEFAULT = {ch_admit_predicting, true,
                                                  true, true, false};
static const struct ch_admitting ADMIT_SHEDDING = {ch_admit_all, false, true,
                                                   false, false};
static const struct ch_admitting ADMIT_UNFAIR = {ch_admit_predicting, true,
                                                 true, false, false};
static const struct ch_admitting ADMIT_ALL = {ch_admit_all, false, false,
                                              false, false};
static const struct ch_admitting ADMIT_UNLIMITED = {ch_admit_all, false, true,
                                                    false, true};
static const struct ch_placing PLACE_DEFAULT = {false, true, true};
static const struct ch_placing PLACE_EAGER = {false, false, false};
static const struct ch_placing PLACE_FIXED = {true, false, false};

/* The first is what the node runs; the next two are the baselines; each of
 * the others differs from the first in one choice, for measuring it. */
static const struct ch_policy POLICIES[] = {
    {"default", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"static", &ROUTE_STATIC, &BY_ARRIVAL, &ADMIT_ALL, &PLACE_FIXED},
    {"least-loaded", &ROUTE_LEAST_LOADED, &BY_ARRIVAL, &ADMIT_ALL,
     &PLACE_EAGER},
    {"fcfs", &ROUTE_DEFAULT, &BY_ARRIVAL, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"least-slack", &ROUTE_DEFAULT, &BY_SLACK, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"late-shedding", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_SHEDDING,
     &PLACE_DEFAULT},
    {"no-affinity", &ROUTE_PLAIN, &BY_DEADLINE, &ADMIT_DEFAULT,
     &PLACE_DEFAULT},
    {"no-spill", &ROUTE_LOCAL, &BY_DEADLINE, &ADMIT_DEFAULT, &PLACE_DEFAULT},
    {"no-fairness", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_UNFAIR,
     &PLACE_DEFAULT},
    {"eager-moves", &ROUTE_DEFAULT, &BY_DEADLINE, &ADMIT_DEFAULT,
     &PLACE_EAGER},
    {"independent", &ROUTE_INDEPENDENT, &BY_ARRIVAL, &ADMIT_UNLIMITED,
     &PLACE_DEFAULT},
};

/* Names of all policies, ended by NULL; for messages. */
const char *const *
ch_policy_names(void)
{
    static const char *const NAMES[] = {
        "default",     "static",        "least-loaded", "fcfs",
        "least-slack", "late-shedding", "no-affinity",  "no-spill",
        "no-fairness", "eager-moves",   "independent",  NULL};
    G_STATIC_ASSERT(G_N_ELEMENTS(NAMES) == G_N_ELEMENTS(POLICIES) + 1);
    return NAMES;
}

/* The policy of that name, which lives for ever; NULL when there is none. */
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
