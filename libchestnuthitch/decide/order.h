#ifndef CH_DECIDE_ORDER_H
#define CH_DECIDE_ORDER_H

/*
 * When an order is sent to an engine, and when an order is given up.  No
 * sockets, no clock, no threads.
 */

#include "decide/policy.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A load that has been decided and that no report shows yet. */
struct ch_load_status {
    bool accepted;  /* the engine accepted the order */
    bool from_peer; /* known only from a message of another lease holder */
    bool busy;      /* by the engine's report, it is changing its models */
    int64_t age;    /* microseconds since the order or the message */
};

/* Whether the unload of a model is still delayed.  due: when the model's new
 * requests go elsewhere; waiting: requests queued at the engine, by its last
 * report. */
bool ch_order_should_delay_unload(int64_t due, uint32_t waiting, int64_t now);
/* Whether a load that no report lists has failed or will never be ordered. */
bool ch_order_is_load_lost(const struct ch_load_status *load);

/* A model or adapter of an engine, and what the engine's report says of it. */
struct ch_report_comparison {
    enum ch_item_state state;
    bool accepted;  /* the engine accepted the order that led to the state */
    bool from_peer; /* known only from a message of another lease holder */
    bool listed;    /* the report lists the item */
    bool busy;      /* by the report, the engine is changing its models */
    int64_t changed_at;   /* time of the last change of state */
    int64_t requested_at; /* time at which the report was requested */
};

enum ch_report_outcome {
    CH_REPORT_NO_CHANGE,
    CH_REPORT_LOADED,
    CH_REPORT_UNLOADED,
    CH_REPORT_LOST,          /* not in memory, and no load is under way */
    CH_REPORT_UNLOAD_FAILED, /* still in memory: the unload has failed */
};

/* What a report means for an item.  The report must count as many orders as
 * the engine has accepted from this node. */
enum ch_report_outcome
ch_order_evaluate_report(const struct ch_report_comparison *facts);

#endif
