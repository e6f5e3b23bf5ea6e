#ifndef CH_NODE_CONTROLLER_H
#define CH_NODE_CONTROLLER_H

/*
 * Orders to engines where one node at a time has the right to order those of a
 * data centre (claim.h): adapters that requests need, models by
 * decide/placement.h.  Every node has a controller: it learns from the holders
 * what the engines hold, and asks them for adapters.
 */

#include "node/roster.h"

/* What a holder tells of one engine. */
struct ch_engine_told {
    GQuark upstream;
    uint64_t boot;
    const GQuark *models;
    size_t model_count;
    const GQuark *adapters;
    size_t adapter_count;
    const GQuark *coming;
    size_t coming_count;
    uint32_t running; /* requests of all nodes */
    int64_t unread;   /* to read what has not begun, microseconds */
    bool busy;        /* takes no order now */
};

/* What this node's requests ask for of one model. */
struct ch_model_demand {
    GQuark model;
    uint32_t work;    /* ms of engine time a second */
    uint32_t backlog; /* ms of it that have not begun */
};

/* What this node has sent to one engine. */
struct ch_engine_load {
    GQuark upstream;
    GQuark data_centre;
    uint32_t running;
    int64_t unread;
};

struct ch_controller_handlers {
    /* On a pool worker, no lock held. */
    void (*told)(void *data, const struct ch_engine_told *engine);
    /* The loads of engines as of now, struct ch_engine_load: those told in a
       message, and those that it left as they were. */
    void (*loads)(void *data, const GArray *loads);
    /* All that was told in one message is told. */
    void (*told_all)(void *data);
    /* Appends struct ch_model_demand, and struct ch_engine_load. */
    void (*demand)(void *data, GArray *out, GArray *loads);
    /* Appends "UPSTREAM MODEL/ADAPTER" of what is in use, or was since it was
       last asked; new strings. */
    void (*used)(void *data, GPtrArray *out);
};

struct ch_controller;

struct ch_controller *
ch_controller_new(struct ch_node *node, struct ch_roster *roster,
                  const struct ch_controller_handlers *handlers, void *data);
void ch_controller_start(struct ch_controller *controller);
/* The roster or the configuration changed. */
void ch_controller_changed(struct ch_controller *controller);
/*
 * Has an adapter loaded; done(data, code) once, on a pool worker: OK, when a
 * request for it may go out.  False: nobody is known to have the right, and
 * done is not called.
 */
bool ch_controller_prepare(struct ch_controller *controller, GQuark upstream,
                           GQuark data_centre, GQuark model, GQuark adapter,
                           void (*done)(void *data, enum ch_code code,
                                        const Chestnuthitch__Wire__Frame *),
                           void *data);
/* Whether some node is known to order that data centre's engines. */
bool ch_controller_has_holder(struct ch_controller *controller,
                              GQuark data_centre);
/* This node stops: it orders nothing more, and lets others. */
void ch_controller_drain(struct ch_controller *controller);
void ch_controller_stop(struct ch_controller *controller);
void ch_controller_free(struct ch_controller *controller);
void ch_controller_status(struct ch_controller *controller,
                          JsonBuilder *builder);

#endif
