#ifndef CH_DECIDE_ARRANGE_H
#define CH_DECIDE_ARRANGE_H

/*
 * Which models stand on which engines, where one node at a time has the right
 * to order the engines of a data centre and sees what all engines hold.
 * No sockets, no clock, no threads.
 */

#include "decide/policy.h"

/* What an engine holds, or is about to. */
struct ch_arrange_item {
    GQuark model;
    enum ch_item_state state;
};

struct ch_arrange_engine {
    GQuark name;
    GQuark service;
    GQuark data_centre;
    bool mine; /* the deciding node may order it */
    bool open; /* it takes an order now */
    bool leaving;
    uint32_t memory_mb;
    uint32_t reserve_mb; /* of it, for adapters */
    const struct ch_arrange_item *items;
    size_t item_count;
    const GQuark *copies; /* models that load quickly here */
    size_t copy_count;
    GQuark pledged; /* what room was made for; 0: nothing */
};

struct ch_arrange_model {
    GQuark name;
    uint32_t memory_mb;
    double work;    /* engines' time that the fleet asks for, smoothed: 1 is
                       all the time of one engine */
    double backlog; /* seconds of it that have not begun */
    bool adapters;  /* it has some, which an engine that loads a model can't
                       load meanwhile */
    const GQuark *services; /* whose engines may hold it */
    size_t service_count;
};

struct ch_arrange_state {
    const struct ch_arrange_engine *engines;
    size_t engine_count;
    const struct ch_arrange_model *models;
    size_t model_count;
    GQuark data_centre;    /* that the deciding node orders */
    uint32_t loads_left;   /* from the weight store, now */
    uint32_t most_changes; /* engines of the data centre changed at a time */
    struct ch_without without;
};

struct ch_arrange_action {
    enum ch_action_kind kind; /* LOAD or UNLOAD */
    GQuark engine;
    GQuark model;
    GQuark pledged;  /* of an unload: the model that is to come */
    bool from_store; /* of a load, or of the one that is to come */
    const char *reason;
};

/* A model that is asked for more than its replicas have time for, while
 * nothing is done for it in this round, and why: engines of this data centre
 * by what stands in the way. */
struct ch_arrange_short {
    GQuark model;
    double asked; /* engines' time */
    unsigned replicas;
    unsigned holding;  /* have it, or are to have it */
    unsigned changing; /* carry out another change */
    unsigned no_room;  /* nothing there may go for it */
    unsigned no_load;  /* the weight store has no load left */
};

/* Appends the orders to give now: struct ch_arrange_action. */
void ch_arrange(const struct ch_arrange_state *state, GArray *out);
/* Appends what stays short after those orders: struct ch_arrange_short. */
void ch_arrange_find_short(const struct ch_arrange_state *state,
                           GArray *actions, GArray *out);

#endif
