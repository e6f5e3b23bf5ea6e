#ifndef CH_DECIDE_GOSSIP_H
#define CH_DECIDE_GOSSIP_H

/* How widely and how often the states of upstreams are told. */

#include "base/base.h"

enum {
    CH_GOSSIP_PERIOD = 500 * 1000,
    /* A state that does not change is told again this often, for nodes that
     * missed it. */
    CH_GOSSIP_REFRESH = 5 * 1000 * 1000,
    /* Most states in one message: about 4 KB, so that four messages a period
     * stay under the 28 KB a second that a node may spend on control. */
    CH_GOSSIP_STATES = 32,
};

/* Nodes that one round of gossip goes to, of `live` with this one. */
unsigned ch_gossip_fanout(unsigned live);
/* Rounds that a state is told in: by its home (own), or by who heard it. */
unsigned ch_gossip_repeats(unsigned live, bool own);

#endif
