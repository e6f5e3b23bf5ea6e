#ifndef CH_NODE_LIMIT_MANAGER_H
#define CH_NODE_LIMIT_MANAGER_H

/*
 * Limits that upstreams name, at one node: which are in force, and what this
 * node sends to those upstreams meanwhile. See limit/limit.h.
 */

#include "node/node.h"

/* Kinds of calls to an upstream; each counts against its limit. */
enum ch_limited_call {
    CH_LIMITED_REQUEST, /* of a caller, second attempts included */
    CH_LIMITED_REPORT,
    CH_LIMITED_ORDER,
    CH_LIMITED_CALLS
};

struct ch_limit_manager *ch_limit_manager_new(struct ch_node *node);
void ch_limit_manager_free(struct ch_limit_manager *manager);
/* The listener for a client of this upstream; the manager outlives all
 * calls. */
struct ch_limit_listener
ch_limit_manager_get_listener(struct ch_limit_manager *manager,
                              GQuark upstream);
/* Records the present boot of an upstream; a new one has no limit. */
void ch_limit_manager_update_upstream(struct ch_limit_manager *manager,
                                      GQuark upstream, uint64_t boot_id);
/* Counts a call that is about to be sent. */
void ch_limit_manager_count_call(struct ch_limit_manager *manager,
                                 GQuark upstream, enum ch_limited_call kind);
/* Adds the limits in force as the member "limits" of an open object. */
void ch_limit_manager_write_status(struct ch_limit_manager *manager,
                                   JsonBuilder *builder);

#endif
