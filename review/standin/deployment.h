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
/* Cuts one machine off from all others, the store and the workers. */
void deployment_cut_off(struct deployment *deployment, int node);
void deployment_heal(struct deployment *deployment, int node);

/* ---- clients ---- */

struct client_call {
    struct deployment *deployment;
    int node;
    const char *path;
    const char *model; /* NULL: of a plain service */
    unsigned events;
    unsigned deadline_ms;
    char id[20];
    /* Set when the call has ended. */
    int status; /* 0: no whole answer */
    char *signature; /* of the worker; NULL: none */
    GString *body;
};

/* Sends one request on a new connection and waits for its answer. */
void client_send(struct client_call *call);

#endif
