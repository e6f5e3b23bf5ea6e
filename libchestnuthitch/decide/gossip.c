/* How many nodes get the states of a home node's upstreams in one round. */

#include "decide/gossip.h"

enum {
    /* Up to this many nodes, a home node sends to every node in each round, so
     * that small deployments see a change after half a second. */
    MAX_DIRECT_NODES = 12,
    NODES_PER_ROUND = 6,
    /* Of these, nodes in other data centres, if there are enough in both. */
    REMOTE_NODES_PER_ROUND = 3,
};

/*
 * Sized for 320 nodes that are each the home node of some 6 upstreams, whose
 * states all differ in each round. Of the states that relays pass on, three of
 * four would reach a node that has them already, so that the bytes a node may
 * spend would carry each upstream only once in 90 seconds. So no node relays:
 * each home node sends only its own states, to the other nodes in turn.
 *
 * Six messages of some 630 bytes per round are 7.5 KB/s in each direction at
 * any number of nodes. With 320 nodes in seven data centres, nodes in the own
 * data centre, from which most requests come, are reached every 8 s, the
 * others every 46 s.
 */
struct ch_gossip_fanout
ch_gossip_fanout(unsigned local_nodes, unsigned remote_nodes)
{
    struct ch_gossip_fanout fanout = {local_nodes, remote_nodes};
    if (local_nodes + remote_nodes < MAX_DIRECT_NODES) {
        return fanout;
    }
    fanout.local =
        MIN(local_nodes, (unsigned)(NODES_PER_ROUND - REMOTE_NODES_PER_ROUND));
    fanout.remote = MIN(remote_nodes, NODES_PER_ROUND - fanout.local);
    fanout.local = MIN(local_nodes, NODES_PER_ROUND - fanout.remote);
    return fanout;
}

/* Whether a round reaches every other node, so that only changed states have
 * to be sent. */
bool
ch_gossip_reaches_all(unsigned live)
{
    return live <= MAX_DIRECT_NODES;
}
