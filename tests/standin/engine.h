#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

/* The simulated model engine: memory and orders (engine.c), responses
   (generate.c). */

#include "run_log.h"

struct item {
    char *name; /* "model" or "model/adapter" */
    int64_t memory_mb;
    bool resident; /* false: still loading */
    bool leaving;  /* draining: unloaded when no request runs on it */
    char *unload;  /* id of the unload order, done after that */
    unsigned running;
};

struct engine {
    struct standin *standin;
    GPtrArray *items;     /* struct item */
    GPtrArray *runs;      /* struct run */
    GPtrArray *orders;    /* struct order_log_entry */
    GHashTable *accepted; /* order ids */
    GPtrArray *done;      /* ids of executed orders, oldest first */
    GKeyFile *models;
    unsigned boot;       /* counts simulated restarts */
    int64_t fence;       /* highest fencing number seen */
    int64_t most_mb;     /* most memory ever requested */
    int64_t overcommits; /* loads rejected for lack of memory */
    unsigned running;
    unsigned most_running;
};

/* Finds an item by its full name or an adapter's own name; NULL if missing. */
struct item *engine_find(struct engine *engine, const char *name);
/* Adds change to the item's running requests; removes a draining item when
   none is left. */
void engine_count_request(struct engine *engine, const char *name, int change);
/* Handles a completion request. */
void handle_completion(struct exchange *exchange);

#endif
