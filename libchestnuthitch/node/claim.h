#ifndef CH_NODE_CLAIM_H
#define CH_NODE_CLAIM_H

/*
 * The right of one node at a time to do something, as a key under a lease in
 * the key-value service.  The number of the right (the fence) is the revision
 * at which the key was written, so that every later right has a higher one.
 *
 * The holder stops by its own clock, which counts suspensions, long before the
 * lease can end; so a holder that was paused, or that is cut off from the
 * service, finds out before it acts, and its successor can only begin after
 * the key is gone.
 */

#include "node/node.h"

struct ch_claim;

/* pause: the least time between the last act of one holder and the first of
   the next, microseconds. */
struct ch_claim *ch_claim_new(struct ch_node *node, const char *key,
                              int64_t pause);
void ch_claim_free(struct ch_claim *claim);
/* Does what is due: tries to get the right if `wanted`, renews it.  To be
   called every 250 ms or more often. */
void ch_claim_step(struct ch_claim *claim, bool wanted);
/* Whether the right is held at this moment, and its number.  To be asked right
   before each act. */
bool ch_claim_held(struct ch_claim *claim, uint64_t *fence);
/* Microseconds since the service was last asked to let this node keep the
   right, and did. */
int64_t ch_claim_age(struct ch_claim *claim);
/* Gives the right up: another was found to have a higher one, or this node
   stops.  after: microseconds until others may have it. */
void ch_claim_give_up(struct ch_claim *claim, int64_t after);

#endif
