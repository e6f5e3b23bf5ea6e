#ifndef CH_NODE_BALANCER_H
#define CH_NODE_BALANCER_H

/* The router of nodes that choose upstreams from their own knowledge; see
 * decide/balance.h. */

#include "node/node.h"

struct ch_router *ch_balancer_new(struct ch_node *node);

#endif
