#ifndef CH_NODE_PATH_INTERNAL_H
#define CH_NODE_PATH_INTERNAL_H

/* Shared by path_manager.c (what is known of the paths) and path_probe.c
 * (connections that are opened to learn more, and what other nodes tell). */

#include "node/path_manager.h"

#include <pthread.h>

enum {
    PATH_ADDRESS_SIZE = 32,
};

/* What a node answers about an upstream; on the wire. */
enum path_view {
    PATH_VIEW_UNKNOWN, /* not listed here, or this node is cut off itself */
    PATH_VIEW_REACHED,
    PATH_VIEW_REFUSED,
    PATH_VIEW_TIMED_OUT,
};

struct path_upstream {
    char address[PATH_ADDRESS_SIZE]; /* ip:port */
    GQuark region;
    GQuark data_centre;
    bool draining;
    int64_t probed_at; /* when a connection was last opened for a call that
                          went silent, or for another node */
};

struct ch_path_manager {
    struct ch_node *node;
    pthread_mutex_t lock;
    struct ch_path_place place; /* of this node */
    struct ch_path_tracker *tracker;
    GHashTable *upstreams;  /* GQuark to struct path_upstream */
    GHashTable *relays;     /* GQuark to struct relay_state */
    GHashTable *lost_pairs; /* relay and upstream to when the pair may be used
                               again */
    GArray *candidates;     /* struct relay_candidate */
    int64_t candidates_read_at;
    uint64_t draw;     /* of the last choice */
    int64_t pinged_at; /* when the other nodes were told of the cut */
    bool ticking;
    bool stopped;
};

/* ---- path_manager.c ---- */

/* Records the end of an attempt to connect, and does what follows from it.
 * Lock not held. */
void path_manager_record(struct ch_path_manager *manager,
                         const struct ch_path_sample *sample);
/* Records what another node says of an upstream. Lock not held. */
void path_manager_record_view(struct ch_path_manager *manager, GQuark upstream,
                              enum path_view view, const char *from);
void path_manager_count(const struct ch_path_manager *manager,
                        enum ch_counter counter);
/* Reads what the end of a call shows; false: nothing. */
bool path_manager_read_result(const struct ch_http_result *result,
                              GQuark upstream, int64_t now,
                              struct ch_path_sample *sample);

/* ---- path_relay.c ---- */

void path_relay_init(struct ch_path_manager *manager);
void path_relay_clear(struct ch_path_manager *manager);

/* ---- path_probe.c; lock not held ---- */

void path_probe_init(struct ch_path_manager *manager);
/* Opens a connection to an upstream to learn whether the path is there. */
void path_probe_open(struct ch_path_manager *manager, GQuark upstream);
/* Asks another node whether it reaches an upstream. */
void path_probe_ask(struct ch_path_manager *manager, GQuark upstream);

#endif
