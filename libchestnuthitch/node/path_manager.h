#ifndef CH_NODE_PATH_MANAGER_H
#define CH_NODE_PATH_MANAGER_H

/*
 * Which upstreams this node can connect to, as its own calls and the other
 * nodes tell. Callable from any thread. On a node without a path manager
 * (NULL), every path is open.
 */

#include "node/node.h"
#include "path/path.h"

struct ch_path_manager;

/* node outlives the manager. start: once the peers exist and before their
 * thread starts. */
struct ch_path_manager *ch_path_manager_new(struct ch_node *node);
void ch_path_manager_start(struct ch_path_manager *manager);
void ch_path_manager_stop(struct ch_path_manager *manager);
/* Once all threads have ended; manager may be NULL. */
void ch_path_manager_free(struct ch_path_manager *manager);
/* Records where an upstream is, and returns the listener for a client of it;
 * the manager outlives all calls. */
struct ch_path_listener
ch_path_manager_get_listener(struct ch_path_manager *manager,
                             const struct ch_host *host);
/* Forgets an upstream that is no longer listed. */
void ch_path_manager_forget(struct ch_path_manager *manager, GQuark upstream);
/* Since when this node has no path to any upstream; 0: it has one. */
int64_t ch_path_manager_get_cut_since(struct ch_path_manager *manager);
/* The node by which a call goes. */
struct ch_path_relay {
    GQuark name;
    char address[32]; /* ip:port of its relay listener */
};
/*
 * Chooses the node by which a call to an upstream goes; false: the call goes
 * directly. failed: GQuarks of nodes that are not to be used. Each relay that
 * is chosen is released once, with the result of the call.
 */
bool ch_path_manager_choose_relay(struct ch_path_manager *manager,
                                  GQuark upstream, const GArray *failed,
                                  struct ch_path_relay *relay);
void ch_path_manager_release_relay(struct ch_path_manager *manager,
                                   GQuark relay, GQuark upstream,
                                   enum ch_relay_result result);
/* Whether any other node relays calls now. */
bool ch_path_manager_knows_relay(struct ch_path_manager *manager);
/* The address of a listed upstream to which this node has a path; otherwise
 * the result of a call that another node asks to be relayed. */
enum ch_relay_result
ch_path_manager_find_upstream(struct ch_path_manager *manager, GQuark upstream,
                              char *address, size_t size);
/* Records whether a listed upstream is draining. */
void ch_path_manager_set_draining(struct ch_path_manager *manager,
                                  GQuark upstream, bool draining);
/* Records how a connection to an upstream ended that was opened for another
 * node. */
void ch_path_manager_record_result(struct ch_path_manager *manager,
                                   GQuark upstream,
                                   const struct ch_http_result *result);
/*
 * Finds out whether an upstream that refused a connection has crashed, or this
 * node has lost the path to it. done runs once, maybe before this returns;
 * crashed: the upstream, as far as this node can tell.
 */
void ch_path_manager_check_refusal(struct ch_path_manager *manager,
                                   GQuark upstream,
                                   void (*done)(void *data, bool crashed),
                                   void *data);
/* Adds the paths that are not open as the member "paths" of an open object. */
void ch_path_manager_write_status(struct ch_path_manager *manager,
                                  JsonBuilder *builder);

#endif
