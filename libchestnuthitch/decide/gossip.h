#ifndef CH_DECIDE_GOSSIP_H
#define CH_DECIDE_GOSSIP_H

/* How widely and how often the states of upstreams are told. */

#include "base/base.h"

enum {
    CH_GOSSIP_PERIOD = 500 * 1000,
    /* A state that does not change is told again this often, for nodes that
     * missed it. */
    CH_GOSSIP_REFRESH = 5 * 1000 * 1000,
    /* Most states in one message: a home of more tells them in turn. */
    CH_GOSSIP_STATES = 32,
};

/* Nodes that one round goes to. */
struct ch_gossip_share {
    unsigned near; /* of the own data centre */
    unsigned far;
};

/* Out of so many other live nodes. */
struct ch_gossip_share ch_gossip_share(unsigned near, unsigned far);
/* live: with this node. */
bool ch_gossip_direct(unsigned live);

#endif
