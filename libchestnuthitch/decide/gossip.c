/* How many nodes hear the states of a home's upstreams in one round. */

#include "decide/gossip.h"

enum {
    /* Up to here a home tells every node in each round: the entry nodes of
     * today see a change after half a second. */
    DIRECT_NODES = 12,
    ROUND_NODES = 6,
    /* Of them, in other data centres while there are enough in both. */
    FAR_NODES = 3,
};

/*
 * Load: 320 nodes that are each home of some 6 upstreams, whose states all
 * differ at each round.  Harm prevented: states that relays tell on come three
 * of four times to a node that has them already, so that the bytes a node may
 * spend carry each upstream once in a minute and a half.  So nobody relays:
 * each home tells its own states, to the nodes in turn.  Six messages of some
 * 630 bytes a round are 7.5 KB a second each way at any size; at 320 nodes in
 * seven data centres those of the own one, which most of the requests come
 * from, have their turn every 8 s, the rest every 46 s.
 */
struct ch_gossip_share
ch_gossip_share(unsigned near, unsigned far)
{
    struct ch_gossip_share share = {near, far};
    if (near + far < DIRECT_NODES) {
        return share;
    }
    share.near = MIN(near, (unsigned)(ROUND_NODES - FAR_NODES));
    share.far = MIN(far, ROUND_NODES - share.near);
    share.near = MIN(near, ROUND_NODES - share.far);
    return share;
}

/* Whether a round goes to every other node, so that only news need be told. */
bool
ch_gossip_direct(unsigned live)
{
    return live <= DIRECT_NODES;
}
