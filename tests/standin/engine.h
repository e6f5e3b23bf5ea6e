#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

/* The model engine: memory and orders (engine.c), answers (generate.c). */

#include "judge.h"

struct item {
    char *name; /* "model" or "model/adapter" */
    int64_t memory_mb;
    bool resident; /* false: still loading */
    bool leaving;  /* goes when nothing runs on it */
    char *unload;  /* order to be called done then */
    unsigned running;
};

struct engine {
    struct standin *standin;
    GPtrArray *items; /* struct item */
    GPtrArray *runs;
    GPtrArray *orders; /* struct order_note, for the record */
    GHashTable *accepted;
    GPtrArray *done; /* ids in order */
    GKeyFile *models;
    unsigned boot;
    int64_t fence;
    int64_t most_mb;
    int64_t overcommits;
    unsigned running;
    unsigned most_running;
};

struct item *engine_find(struct engine *engine, const char *name);
/* The item's running count changes; unloads it when it waits for that. */
void engine_use(struct engine *engine, const char *name, int change);
void generate_handle(struct exchange *exchange);

#endif
