#ifndef CH_DECIDE_PLACEMENT_H
#define CH_DECIDE_PLACEMENT_H

/*
 * Placement of models on engines.  In each data centre one node at a time, the
 * lease holder, may order the engines, and it sees what every engine of the
 * fleet holds.  Pure functions: no sockets, no clock, no threads.
 */

#include "decide/policy.h"

/* A model in an engine's memory, or being loaded or unloaded. */
struct ch_placement_item {
    GQuark model;
    enum ch_item_state state;
};

struct ch_placement_engine {
    GQuark name;
    GQuark service;
    uint64_t version_id; /* of its software */
    GQuark data_centre;
    bool controlled;     /* the deciding node may order it */
    bool accepts_orders; /* accepts an order now */
    bool draining;
    uint32_t memory_mb;
    uint32_t adapter_reserve_mb; /* part of memory_mb kept for adapters */
    const struct ch_placement_item *items;
    size_t item_count;
    const GQuark *local_copies; /* models whose weights load quickly here */
    size_t local_copy_count;
    GQuark reserved_for; /* model that memory was freed for; 0: none */
};

struct ch_placement_model {
    GQuark name;
    uint32_t memory_mb;
    double demand;     /* smoothed demand of the fleet, in engines: 1 keeps one
                        engine fully busy */
    double backlog_s;  /* seconds of work that has not started */
    int64_t load_time; /* from the weight store; 0: not known */
    bool has_adapters; /* has adapters; an engine that loads a model can't load
                      adapters meanwhile */
    const GQuark *services; /* whose engines may hold the model */
    size_t service_count;
};

struct ch_placement_state {
    const struct ch_placement_engine *engines;
    size_t engine_count;
    const struct ch_placement_model *models;
    size_t model_count;
    GQuark data_centre; /* controlled by the deciding node */
    uint32_t
        store_loads_left; /* loads from the weight store that may start now */
    uint32_t max_changing_engines; /* limit on engines of this data centre that
                              change their models at a time */
    struct ch_disabled_features disabled;
};

struct ch_placement_action {
    enum ch_action_kind kind; /* LOAD or UNLOAD */
    GQuark engine;
    GQuark model;
    GQuark reserved_for; /* for UNLOAD: the model to load afterwards */
    bool from_store; /* whether the load, now or after the unload, reads from
                        the weight store */
    const char *reason;
};

/* A model whose demand exceeds the time of its replicas and for which this
 * round gives no order.  The counts say how many engines of this data centre
 * hold the model, and what prevents a load on the others. */
struct ch_placement_shortage {
    GQuark model;
    double demand; /* in engines */
    unsigned replicas;
    unsigned holding;  /* hold the model or are about to */
    unsigned changing; /* busy with another change */
    unsigned no_room;  /* can't evict enough for the model */
    unsigned no_load;  /* no load from the weight store left */
};

/* Appends the orders to give now: struct ch_placement_action. */
void ch_placement_plan(const struct ch_placement_state *state, GArray *out);
/* Appends the shortages that remain after the given actions: struct
 * ch_placement_shortage. */
void ch_placement_find_shortages(const struct ch_placement_state *state,
                                 GArray *actions, GArray *out);

#endif
