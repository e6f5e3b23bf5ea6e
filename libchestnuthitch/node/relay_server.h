#ifndef CH_NODE_RELAY_SERVER_H
#define CH_NODE_RELAY_SERVER_H

/*
 * Relays calls of other nodes, which have no path to an upstream, to the
 * upstream; see upstream/relay.h. A relayed call goes no further than this
 * node, and decides nothing: the other node has chosen the upstream, and has
 * the permissions that the call needs.
 */

#include "node/node.h"

struct ch_relay_server;

/* Listens at the address in the settings; NULL with *error. */
struct ch_relay_server *ch_relay_server_new(struct ch_node *node,
                                            struct ch_error *error);
/* The port in use, also when the kernel chose it. */
int ch_relay_server_get_port(const struct ch_relay_server *server);
/* Refuses further calls, since this node stops; server may be NULL, here and
 * below. */
void ch_relay_server_drain(struct ch_relay_server *server);
/* Waits until the calls under way have ended, for the rest of the grace period
 * at most, and closes the listener. */
void ch_relay_server_stop(struct ch_relay_server *server);
/* Once all threads but the listener's have ended. */
void ch_relay_server_free(struct ch_relay_server *server);

#endif
