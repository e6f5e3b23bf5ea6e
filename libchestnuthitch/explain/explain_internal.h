#ifndef CH_EXPLAIN_INTERNAL_H
#define CH_EXPLAIN_INTERNAL_H

/* Data shared by explain.c, which reads log lines, and explain_report.c, which
 * writes the report. */

#include "explain/explain.h"

/* Outcome of a request. */
enum ch_explain_outcome {
    CH_EXPLAIN_SERVED,
    CH_EXPLAIN_FULL,       /* rejected: the replicas are full */
    CH_EXPLAIN_NO_REPLICA, /* rejected: no replica */
    CH_EXPLAIN_OVER_QUOTA, /* rejected: its team's quota is used up */
    CH_EXPLAIN_REFUSED, /* rejected for another reason, or by the upstream */
    CH_EXPLAIN_ENGINE_FAILED, /* failed as its upstream failed */
    CH_EXPLAIN_TIMED_OUT,     /* its deadline passed */
    CH_EXPLAIN_DISCONNECTED,  /* its caller disconnected */
    CH_EXPLAIN_OTHER,
    CH_EXPLAIN_OUTCOME_COUNT,
};

/* Requests for one model that arrived in one interval. */
struct ch_explain_row {
    int64_t interval; /* intervals since 1970 */
    char *model;
    unsigned outcomes[CH_EXPLAIN_OUTCOME_COUNT];
    unsigned within_target; /* served, with the first data within the target */
    GArray *first_data_times; /* int64_t: microseconds to the first response
                                 data */
};

/* A change of an engine's models, pending or finished.  Times are microseconds
 * since 1970. */
struct ch_explain_change {
    char *upstream;
    char *model; /* the model to load */
    int64_t decided_at;
    int64_t memory_freed_at; /* the last unload ended; 0: no unload ended */
    int64_t load_ordered_at; /* when the load was decided; 0: not yet */
    int64_t loaded_at;       /* when the load ended; 0: not yet */
    bool from_store;
};

/* The shortage of a model, over all log lines that report the shortage. */
struct ch_explain_shortage {
    char *model;
    unsigned line_count;
    int64_t max_demand_thousandths; /* demand; thousandths of an engine */
    unsigned min_replicas;
    int64_t engines_changing; /* engines with a pending change; sum over the
                                 lines */
    int64_t engines_without_memory; /* engines that can't free enough memory;
                        sum over the lines */
    int64_t engines_without_load;   /* engines waiting for the weight store's
                          load limit; sum   over the lines */
};

struct ch_explain {
    unsigned interval_s; /* seconds */
    GHashTable *rows;    /* "INTERVAL MODEL" to struct ch_explain_row */
    GHashTable
        *pending_changes; /* upstream to struct ch_explain_change, pending */
    GPtrArray *finished_changes; /* struct ch_explain_change, finished */
    GHashTable *shortages;       /* model to struct ch_explain_shortage */
};

#endif
