#ifndef CH_NODE_ROSTER_H
#define CH_NODE_ROSTER_H

/*
 * Who is there, where upstreams and nodes describe themselves in keys of the
 * key-value service: kept by a watch, and told to whoever wants to know.
 */

#include "node/node.h"

struct ch_roster;

/* changed runs on a pool worker after each change, no lock held. */
struct ch_roster *ch_roster_new(struct ch_node *node,
                                void (*changed)(void *data), void *data);
void ch_roster_start(struct ch_roster *roster);
/* This node is no longer listed. */
void ch_roster_leave(struct ch_roster *roster);
void ch_roster_stop(struct ch_roster *roster);
void ch_roster_free(struct ch_roster *roster);
/* True once the upstreams were read. */
bool ch_roster_known(struct ch_roster *roster);
/*
 * Names the nodes that order engines, among them this one perhaps: they are
 * told of every change, all others of what changes whom they may use, and
 * how.  Before ch_roster_start; called with no lock of the roster's held.
 */
void ch_roster_set_orderers(struct ch_roster *roster,
                            void (*names)(void *data, GPtrArray *names),
                            void *data);
/* Reads the upstreams anew, with what was not told to this node. */
void ch_roster_refresh(struct ch_roster *roster);
/* Calls each(data, host) for every upstream, with the roster's lock held. */
void ch_roster_each(struct ch_roster *roster,
                    void (*each)(void *data, const struct ch_host *host),
                    void *data);

#endif
