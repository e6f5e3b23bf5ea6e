#ifndef REVIEW_DEPLOYMENT_H
#define REVIEW_DEPLOYMENT_H

#include "world.h"

/* Nodes of one zone, workers, and paths from the nodes to all of them and to
 * the store. */

enum {
    MAX_NODES = 4,
    MAX_WORKERS = 6,
};

struct deployment {
    struct node nodes[MAX_NODES];
    int node_count;
    struct worker *workers[MAX_WORKERS];
    int worker_count;
};

/* The workers must exist.  Puts the configuration in force, starts the nodes
 * and waits until they are ready. */
void deployment_start(struct deployment *deployment, int node_count,
                      const char *config);
void deployment_stop(struct deployment *deployment);
/* Starts the process of a node again after it was killed. */
void deployment_start_node(struct deployment *deployment, int node);
void deployment_kill_node(struct deployment *deployment, int node);
/* Cuts one machine off from all others and the store; workers_too: from the
 * workers as well. */
void deployment_cut_off(struct deployment *deployment, int node,
                        bool workers_too);
void deployment_heal(struct deployment *deployment, int node);

/* ---- clients ---- */

struct client_call {
    struct deployment *deployment;
    int node;
    const char *path;
    const char *model; /* NULL: of a plain service */
    unsigned events;
    unsigned deadline_ms;
    const char *resumes; /* the request that brought the first event, or NULL */
    uint64_t last_event;
    char id[20];
    /* Set when the call has ended. */
    int status; /* 0: no whole answer */
    char *signature; /* of the worker; NULL: none */
    GString *body; /* as far as it came */
};

/* Sends one request on a new connection and waits for its answer. */
void client_send(struct client_call *call);

#endif
