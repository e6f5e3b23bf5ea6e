#ifndef CH_DECIDE_LATE_H
#define CH_DECIDE_LATE_H

/*
 * Decides on a request that every engine with its model would start too late:
 * whether it waits for an engine that is loading the model, or is refused at
 * once, and when its caller may retry. No sockets, no clock, no threads. Times
 * are in microseconds.
 */

#include "decide/fleet.h"

struct ch_pending_loads;

struct ch_pending_loads *ch_pending_loads_new(void);
void ch_pending_loads_free(struct ch_pending_loads *pending);

/* Updates what an engine has, and what it is loading or frees memory for. Call
 * this without models for an engine that is gone. */
void ch_pending_loads_update(struct ch_pending_loads *pending, GQuark upstream,
                             const GQuark *models, size_t model_count,
                             const GQuark *loading, size_t loading_count,
                             int64_t now);
/* Returns when the first engine that is loading the model is likely to have
 * it; 0: no engine is loading it. */
int64_t ch_pending_loads_estimate_ready(const struct ch_pending_loads *pending,
                                        GQuark model, int64_t now);

/* As above, by the engines alone for which may_use() returns true. */
int64_t ch_pending_loads_estimate_ready_on(
    const struct ch_pending_loads *pending, GQuark model,
    bool (*may_use)(const void *data, GQuark upstream), const void *data,
    int64_t now);

/* The decision on a request that would start too late. */
struct ch_late_decision {
    bool should_wait;    /* else it is refused at once */
    int64_t wait_until;  /* when the wait ends at the latest */
    int64_t retry_after; /* of a refusal, relative to now */
};

/* Whether the caller is likely to have given up by the time when an engine
 * that needs `expected` until the first token would start the request. */
bool ch_late_is_expected(const struct ch_request_info *request,
                         int64_t expected, int64_t now);
/* ready_at: as ch_pending_loads_estimate_ready() returns it. */
struct ch_late_decision ch_late_decide(const struct ch_request_info *request,
                                       int64_t expected, int64_t ready_at,
                                       int64_t now);

#endif
