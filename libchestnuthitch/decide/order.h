#ifndef CH_DECIDE_ORDER_H
#define CH_DECIDE_ORDER_H

/*
 * When an order to an engine is sent, and when one is given up.  No sockets,
 * no clock, no threads.
 */

#include "decide/policy.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A load that is to come to an engine. */
struct ch_load_facts {
    bool ordered; /* the engine took the order */
    bool told;    /* known by another holder's word alone */
    bool busy;    /* the engine's report says that it changes its models */
    int64_t age;  /* microseconds since the order, or the word */
};

/* Whether a model's unload is held back, once its requests go elsewhere, at
   `due`; waiting: requests that wait at the engine, by its last report. */
bool ch_order_unload_waits(int64_t due, uint32_t waiting, int64_t now);
/* Whether a load that no report lists will not come. */
bool ch_order_load_lost(const struct ch_load_facts *load);

/* A model or adapter of an engine, and what a report says of it. */
struct ch_report_facts {
    enum ch_item_state state;
    bool ordered;    /* the engine took the order for the state */
    bool told;       /* known by another holder's word alone */
    bool there;      /* the report lists it */
    bool busy;       /* the report says that the engine changes its models */
    int64_t changed; /* last change of state */
    int64_t asked;   /* when the report was asked for */
};

enum ch_report_news {
    CH_REPORT_NOTHING,
    CH_REPORT_LOADED,
    CH_REPORT_UNLOADED,
    CH_REPORT_LOST,  /* it is not there, and will not come */
    CH_REPORT_STAYS, /* its unload has failed */
};

/* What a report that counts as many orders as were taken tells of an item. */
enum ch_report_news ch_order_report(const struct ch_report_facts *facts);

#endif
