#ifndef CH_NODE_LEASE_H
#define CH_NODE_LEASE_H

/*
 * A lease that one node at a time holds to do something, stored as a key under
 * a lease of the key-value store. The fencing token is the revision at which
 * the key was written, so every later lease has a higher one.
 *
 * The lease holder stops using the lease by its own clock, which also counts
 * while the host is suspended, well before the lease can expire in the store.
 * So a holder that was paused, or is cut off from the store, notices before it
 * acts, and its successor can only start after the key is gone.
 */

#include "node/node.h"

struct ch_lease;

/* handover_pause: least time between the last action of one lease holder and
 * the first of the next, microseconds. */
struct ch_lease *ch_lease_new(struct ch_node *node, const char *key,
                              int64_t handover_pause);
void ch_lease_free(struct ch_lease *lease);
/* Does what is due: tries to acquire the lease if `wanted`, renews a held
 * lease. Call it at least every 250 ms. */
void ch_lease_update(struct ch_lease *lease, bool wanted);
/* Whether the lease is held at this moment, and its fencing token. Call it
 * right before each action. */
bool ch_lease_is_held(struct ch_lease *lease, uint64_t *fencing_token);
/* When the use of the lease ends unless it is renewed, by
 * ch_clock_get_boottime(). An action must not take effect later. */
int64_t ch_lease_get_end(struct ch_lease *lease);
/* Microseconds since this node sent the last call by which the key-value store
 * granted or renewed the lease. */
int64_t ch_lease_get_renewal_age(struct ch_lease *lease);
/* Releases the lease, because another node was found to have a higher fencing
 * token or because this node stops. delay: microseconds until other nodes may
 * acquire it. */
void ch_lease_release(struct ch_lease *lease, int64_t delay);

#endif
