#ifndef CH_EXPLAIN_INTERNAL_H
#define CH_EXPLAIN_INTERNAL_H

/* Data shared by explain.c, which reads log lines, and explain_report.c, which
 * writes the report. */

#include "explain/explain.h"

/* Outcome of a request. */
enum ch_ending {
    CH_ENDING_SERVED,
    CH_ENDING_FULL,    /* rejected: the replicas are full */
    CH_ENDING_ABSENT,  /* rejected: no replica */
    CH_ENDING_REFUSED, /* rejected for another reason, or by the upstream */
    CH_ENDING_ENGINE,  /* failed as its upstream failed */
    CH_ENDING_TIME,    /* its deadline passed */
    CH_ENDING_GONE,    /* its caller disconnected */
    CH_ENDING_OTHER,
    CH_ENDING_COUNT,
};

/* Requests for one model that arrived in one interval. */
struct ch_explain_row {
    int64_t interval; /* intervals since 1970 */
    char *model;
    unsigned endings[CH_ENDING_COUNT];
    unsigned in_time; /* served, with the first data within the target */
    GArray *firsts;   /* int64_t: microseconds to the first response data */
};

/* A change of an engine's models, pending or finished.  Times are microseconds
 * since 1970. */
struct ch_explain_change {
    char *upstream;
    char *model; /* the model to load */
    int64_t decided;
    int64_t room;   /* the last unload ended; 0: no unload ended */
    int64_t load;   /* when the load was decided; 0: not yet */
    int64_t loaded; /* when the load ended; 0: not yet */
    bool from_store;
};

/* The shortage of a model, over all log lines that report the shortage. */
struct ch_explain_short {
    char *model;
    unsigned lines;
    int64_t most_asked; /* demand; thousandths of an engine */
    unsigned least_replicas;
    int64_t changing; /* engines with a pending change; sum over the lines */
    int64_t no_room;  /* engines that can't free enough memory; sum over the
                         lines */
    int64_t no_load;  /* engines waiting for the weight store's load limit; sum
                         over the lines */
};

struct ch_explain {
    unsigned interval;    /* seconds */
    GHashTable *rows;     /* "INTERVAL MODEL" to struct ch_explain_row */
    GHashTable *changing; /* upstream to struct ch_explain_change, pending */
    GPtrArray *changes;   /* struct ch_explain_change, finished */
    GHashTable *shorts;   /* model to struct ch_explain_shortage */
};

#endif
