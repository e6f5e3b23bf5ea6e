#ifndef CH_NODE_CONTROLLER_H
#define CH_NODE_CONTROLLER_H

/*
 * Orders to engines, where one node at a time holds the lease to order the
 * engines of a data centre (lease.h): the lease holder loads adapters that
 * requests need, and models as decide/placement.h decides. Every node has a
 * controller: it learns from the lease holders what the engines hold, and asks
 * them to load adapters.
 */

#include "node/roster.h"

/* State of one engine, as a lease holder publishes it. */
struct ch_engine_status {
    GQuark upstream;
    uint64_t boot_id;
    const GQuark *models;
    size_t model_count;
    const GQuark *adapters;
    size_t adapter_count;
    const GQuark *pending_loads;
    size_t pending_load_count;
    uint32_t running; /* requests of all nodes */
    int64_t
        prefill_backlog; /* prefill time of requests not begun, microseconds */
    bool busy;           /* accepts no order now */
};

/* One model's demand from requests, usually those of this node. */
struct ch_model_demand {
    GQuark model;
    uint32_t engine_ms_per_s; /* milliseconds of engine time per second */
    uint32_t backlog_ms;      /* milliseconds of engine time not begun */
};

/* Load of one engine: what this node has sent there, or what a lease holder
 * reports. */
struct ch_engine_load {
    GQuark upstream;
    GQuark data_centre;
    uint32_t running;
    int64_t prefill_backlog;
};

struct ch_controller_handlers {
    /* Receives the state of one engine. Called on a pool worker with no lock
     * held, as are the other handlers. */
    void (*engine_status)(void *data, const struct ch_engine_status *engine);
    /* Receives the current loads of all engines that the publisher reports, as
     * struct ch_engine_load: those in the message, and those unchanged since
     * earlier messages. */
    void (*engine_loads)(void *data, const GArray *loads);
    /* Called after everything in one message was passed on. */
    void (*status_complete)(void *data);
    /* Appends this node's demand as struct ch_model_demand, and what it has
     * sent to engines as struct ch_engine_load. */
    void (*collect_demand)(void *data, GArray *out, GArray *loads);
    /* Appends "UPSTREAM MODEL/ADAPTER", as new strings, for each adapter in
     * use now or used since the last call. */
    void (*collect_used_adapters)(void *data, GPtrArray *out);
};

struct ch_controller;

struct ch_controller *
ch_controller_new(struct ch_node *node, struct ch_roster *roster,
                  const struct ch_controller_handlers *handlers, void *data);
void ch_controller_start(struct ch_controller *controller);
/* To be called when the roster or the configuration has changed. */
void ch_controller_refresh(struct ch_controller *controller);
/*
 * Asks the lease holder to load an adapter. done(data, code) runs once, on a
 * pool worker; CH_OK means that a request for the adapter may be sent. Returns
 * false, without calling done, if no lease holder is known.
 */
bool
ch_controller_prepare_adapter(struct ch_controller *controller,
                              GQuark upstream, GQuark data_centre,
                              GQuark model, GQuark adapter,
                              void (*done)(void *data, enum ch_code code,
                                           const Chestnuthitch__Wire__Frame *),
                              void *data);
/* Whether a lease holder of that data centre was heard of lately. */
bool ch_controller_has_lease_holder(struct ch_controller *controller,
                                    GQuark data_centre);
/* This node stops: it acquires no more leases and releases its own, so that
 * other nodes can order the engines. */
void ch_controller_drain(struct ch_controller *controller);
void ch_controller_stop(struct ch_controller *controller);
void ch_controller_free(struct ch_controller *controller);
void ch_controller_status(struct ch_controller *controller,
                          JsonBuilder *builder);

#endif
