#ifndef CH_NODE_LIMIT_INTERNAL_H
#define CH_NODE_LIMIT_INTERNAL_H

/* Shared by limit_manager.c (what is known of upstreams), limit_take.c
 * (permission for calls) and limit_spread.c (what nodes tell each other). */

#include "limit/limit.h"
#include "node/limit_manager.h"

#include <pthread.h>

/* Calls sent since a point in time. */
struct limit_calls {
    int64_t since;
    uint64_t counts[CH_LIMITED_CALLS];
};

struct limited_upstream {
    GQuark name;
    GQuark region;
    uint64_t boot_id; /* 0: not known */
    int64_t boot_changed_at;
    int64_t last_observed_at;
    struct ch_limit_state state;
    struct ch_limit_counter counter; /* open where this node counts */
    struct limit_calls total;        /* since the limit was set */
    struct limit_calls window;       /* since the last log line */
};

struct ch_limit_manager {
    struct ch_node *node;
    pthread_mutex_t lock;
    GHashTable *upstreams; /* GQuark to struct limited_upstream */
    bool stopped;
    unsigned refresh_round;
};

/* ---- limit_manager.c; lock held ---- */

/* The upstream, added if it is not known yet. */
struct limited_upstream *
limit_manager_find_or_add(struct ch_limit_manager *manager, GQuark name,
                          GQuark region, int64_t now);
/* The upstream if it has a limit, else NULL. */
struct limited_upstream *
limit_manager_find_limited(struct ch_limit_manager *manager, GQuark name);
/* Takes over an observation; source: "response", or the node that told it. */
enum ch_limit_change
limit_manager_observe(struct ch_limit_manager *manager,
                      struct limited_upstream *upstream,
                      const struct ch_limit_observation *observation,
                      const char *source, int64_t now);
/* Counts a call that is about to be sent. */
void limit_manager_count_call(struct ch_limit_manager *manager,
                              struct limited_upstream *upstream,
                              enum ch_limited_call kind);
void limit_manager_count_event(const struct ch_limit_manager *manager,
                               enum ch_counter counter);

/* ---- limit_take.c ---- */

void limit_take_init(struct ch_limit_manager *manager);

/* ---- limit_spread.c; lock not held unless stated otherwise ---- */

void limit_spread_init(struct ch_limit_manager *manager);
/* The node that counts the calls to an upstream in a region, a new string. */
char *limit_spread_find_counter(const struct ch_limit_manager *manager,
                                GQuark upstream, GQuark region);
/* Writes what this node knows of an upstream; the result has pointers that
 * live as long as the process. Lock held. */
Chestnuthitch__Wire__LimitState
limit_spread_write_state(const struct limited_upstream *upstream, int64_t now);
/* Takes over what another node knows; *change may be NULL. Returns the
 * upstream, or NULL for a state that names none or has no valid limit. Lock
 * held. */
struct limited_upstream *
limit_spread_read_state(struct ch_limit_manager *manager,
                        const Chestnuthitch__Wire__LimitState *state,
                        const char *from, int64_t now,
                        enum ch_limit_change *change);
/* Tells others of a change that this node has seen: the counting node, or all
 * if this is the counting node. */
void limit_spread_change(struct ch_limit_manager *manager, GQuark upstream);
/* Tells some of the others, in turn, of the limits that this node counts. */
void limit_spread_refresh(struct ch_limit_manager *manager);

#endif
