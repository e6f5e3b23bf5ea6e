/* Gossip of upstreams' states: straight to all in a small fleet, by relays in
 * a large one. */

#include "decide/gossip.h"

enum {
    /* Up to here a home tells every node itself: the entry nodes of today see
     * a change after one round, and nothing is sent twice. */
    DIRECT_NODES = 12,
    RELAY_FANOUT = 4,
};

/* At 320 nodes four messages a round reach all in about five rounds
 * (log 320 to the base 5), at a cost that does not grow with the fleet. */
unsigned
ch_gossip_fanout(unsigned live)
{
    unsigned others = live > 0 ? live - 1 : 0;
    return live <= DIRECT_NODES ? others : (unsigned)RELAY_FANOUT;
}

/* A relay repeats a state it heard once; the home repeats its own until it has
 * had the time to spread, since a relay may die with it. */
unsigned
ch_gossip_repeats(unsigned live, bool own)
{
    if (live <= DIRECT_NODES) {
        return own ? 1 : 0;
    }
    return own ? 3 : 2;
}
