#ifndef CH_EXPLAIN_INTERNAL_H
#define CH_EXPLAIN_INTERNAL_H

/* What explain.c (lines) and explain_report.c (text) share. */

#include "explain/explain.h"

/* What became of a request. */
enum ch_ending {
    CH_ENDING_SERVED,
    CH_ENDING_FULL,    /* refused: the replicas are full */
    CH_ENDING_ABSENT,  /* refused: no replica */
    CH_ENDING_REFUSED, /* refused for another reason, or by the upstream */
    CH_ENDING_ENGINE,  /* failed with its upstream */
    CH_ENDING_TIME,    /* its time was over */
    CH_ENDING_GONE,    /* its caller went away */
    CH_ENDING_OTHER,
    CH_ENDING_COUNT,
};

/* The requests of an interval for one model. */
struct ch_explain_row {
    int64_t interval; /* its number since 1970 */
    char *model;
    unsigned endings[CH_ENDING_COUNT];
    unsigned in_time; /* of those that were served */
    GArray *firsts;   /* int64_t: microseconds to the first of the answer */
};

/* A change of an engine's models that is under way, or done. */
struct ch_explain_change {
    char *upstream;
    char *model; /* that comes */
    int64_t decided;
    int64_t room;   /* the last model had gone; 0: there was room */
    int64_t load;   /* the load was decided; 0: not yet */
    int64_t loaded; /* 0: not yet */
    bool from_store;
};

/* A model that stayed short, over all lines of it. */
struct ch_explain_short {
    char *model;
    unsigned lines;
    int64_t most_asked; /* thousandths of an engine's time */
    unsigned least_replicas;
    int64_t changing; /* sums over the lines */
    int64_t no_room;
    int64_t no_load;
};

struct ch_explain {
    unsigned interval;
    GHashTable *rows;     /* "INTERVAL MODEL" to struct ch_explain_row */
    GHashTable *changing; /* upstream to struct ch_explain_change */
    GPtrArray *changes;   /* struct ch_explain_change, done */
    GHashTable *shorts;   /* model to struct ch_explain_short */
};

#endif
