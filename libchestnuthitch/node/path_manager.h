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
/* Adds the paths that are not open as the member "paths" of an open object. */
void ch_path_manager_write_status(struct ch_path_manager *manager,
                                  JsonBuilder *builder);

#endif
