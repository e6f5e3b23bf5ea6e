#ifndef CH_DECIDE_GOSSIP_H
#define CH_DECIDE_GOSSIP_H

/* To how many nodes and how often the states of upstreams are gossiped. */

#include "base/base.h"

enum {
    CH_GOSSIP_PERIOD_US = 500 * 1000,
    /* An unchanged state is sent again this often, for nodes that missed it.
     */
    CH_GOSSIP_REFRESH_US = 5 * 1000 * 1000,
    /* Limit of states per message; a home node of more upstreams sends their
     * states in turn. */
    CH_GOSSIP_MAX_STATES = 32,
};

/* Nodes that one gossip round is sent to. */
struct ch_gossip_fanout {
    unsigned local; /* in the node's own data centre */
    unsigned remote;
};

/* Chooses from these numbers of other live nodes. */
struct ch_gossip_fanout ch_gossip_fanout(unsigned local_nodes,
                                         unsigned remote_nodes);
/* live: live nodes, including this one. */
bool ch_gossip_reaches_all(unsigned live);

#endif
