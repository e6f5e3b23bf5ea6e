#ifndef CH_NODE_ROSTER_H
#define CH_NODE_ROSTER_H

/*
 * The upstreams and nodes that exist. Each describes itself in a key of the
 * key-value store; the roster watches these keys and notifies its users of
 * changes.
 */

#include "node/node.h"

struct ch_roster;

/* changed runs on a pool worker after each change, with no lock held. */
struct ch_roster *ch_roster_new(struct ch_node *node,
                                void (*changed)(void *data), void *data);
void ch_roster_start(struct ch_roster *roster);
/* Removes this node's entry from the key-value store. */
void ch_roster_unregister(struct ch_roster *roster);
void ch_roster_stop(struct ch_roster *roster);
void ch_roster_free(struct ch_roster *roster);
/* True once the upstreams have been read. */
bool ch_roster_is_known(struct ch_roster *roster);
/*
 * Sets a function that adds the names of the lease holders, which may include
 * this node. Lease holders receive every change; all other nodes receive only
 * changes of which upstreams they may use, and how. Only before
 * ch_roster_start; names is called without the roster's lock.
 */
void ch_roster_set_lease_holders(struct ch_roster *roster,
                                 void (*names)(void *data, GPtrArray *names),
                                 void *data);
/* Time since the list of upstreams was last known to be current: whoever read
 * it sent its call then. G_MAXINT64: never. */
int64_t ch_roster_get_age(struct ch_roster *roster);
/* Whether the list has an upstream with this boot ID that is not draining. */
bool ch_roster_may_call(struct ch_roster *roster, const char *upstream,
                        uint64_t boot_id);
/* Reads the upstreams again, to include changes that were not sent to this
   node. */
void ch_roster_refresh(struct ch_roster *roster);
/* Calls each(data, host) for every upstream, with the roster's lock held. An
 * upstream drains if its entry or a response of it says so. */
void ch_roster_foreach(struct ch_roster *roster,
                       void (*each)(void *data, const struct ch_host *host),
                       void *data);

#endif
