#ifndef CH_DECIDE_GOSSIP_H
#define CH_DECIDE_GOSSIP_H

/* To how many nodes and how often the states of upstreams are gossiped. */

#include "base/base.h"

enum {
    CH_GOSSIP_PERIOD = 500 * 1000,
    /* An unchanged state is sent again this often, for nodes that missed it.
     */
    CH_GOSSIP_REFRESH = 5 * 1000 * 1000,
    /* Limit of states per message; a home node of more upstreams sends their
     * states in turn. */
    CH_GOSSIP_STATES = 32,
};

/* Nodes that one gossip round is sent to. */
struct ch_gossip_share {
    unsigned near; /* in the node's own data centre */
    unsigned far;
};

/* Chooses from these numbers of other live nodes. */
struct ch_gossip_share ch_gossip_share(unsigned local_nodes,
                                       unsigned remote_nodes);
/* live: live nodes, including this one. */
bool ch_gossip_direct(unsigned live);

#endif
