#ifndef CH_NODE_LIMIT_MANAGER_H
#define CH_NODE_LIMIT_MANAGER_H

/*
 * Limits that upstreams name, at one node: which are in force, and permission
 * for each call to such an upstream. One node of the upstream's region counts
 * the calls of all nodes. See limit/limit.h.
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
/* Registers the handlers of messages and starts the periodic work; to be
 * called before ch_peers_start(). */
void ch_limit_manager_start(struct ch_limit_manager *manager);
/* Ends the periodic work; calls in progress run to their end. */
void ch_limit_manager_stop(struct ch_limit_manager *manager);
/* To be called once all threads have ended; manager may be NULL. */
void ch_limit_manager_free(struct ch_limit_manager *manager);
/* The listener for a client of an upstream in a region; the manager outlives
 * all calls. */
struct ch_limit_listener
ch_limit_manager_get_listener(struct ch_limit_manager *manager,
                              GQuark upstream, GQuark region);
/* Records the present boot of an upstream; a new one has no limit. */
void ch_limit_manager_update_upstream(struct ch_limit_manager *manager,
                                      GQuark upstream, uint64_t boot_id);
/* Whether calls to the upstream need permission. */
bool ch_limit_manager_is_limited(struct ch_limit_manager *manager,
                                 GQuark upstream);
/*
 * Asks for permission to call an upstream once, at once. done runs exactly
 * once, on a pool worker; retry_after (microseconds) is set when permission is
 * refused. last_resort: as for ch_limit_counter_take().
 */
void ch_limit_manager_take(struct ch_limit_manager *manager, GQuark upstream,
                           enum ch_limited_call kind, bool last_resort,
                           void (*done)(void *data, bool granted,
                                        int64_t retry_after),
                           void *data);
/* Adds the limits in force as the member "limits" of an open object. */
void ch_limit_manager_write_status(struct ch_limit_manager *manager,
                                   JsonBuilder *builder);

#endif
