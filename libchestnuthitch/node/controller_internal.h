#ifndef CH_NODE_CONTROLLER_INTERNAL_H
#define CH_NODE_CONTROLLER_INTERNAL_H

/*
 * Declarations shared by controller.c (leases, loading adapters on request),
 * controller_publish.c (publishing engine states), controller_receive.c
 * (receiving engine states), controller_demand.c (demand of requests),
 * controller_engine.c (orders to one engine, and its reports) and
 * controller_models.c (placement of models). One lock guards all of this
 * state.
 */

#include "decide/placement.h"
#include "decide/order.h"
#include "decide/window.h"
#include "node/claim.h"
#include "node/controller.h"
#include "node/dialect.h"

#include <pthread.h>

enum {
    /* For orders and reports: a healthy worker answers within a few
     * milliseconds plus the round trip. */
    CH_CONTROLLER_CALL_LIMIT = 1500 * 1000,
};

/* Receivers of engine states. The values are sent in messages. */
enum audience {
    AUDIENCE_NODES, /* nodes for which this holder publishes all engines */
    AUDIENCE_NEAR,  /* lease holders of this region: this node's engines */
    AUDIENCE_FAR,   /* lease holders of other regions: this node's engines */
    AUDIENCES,
};

/* Bit mask: the change of an engine is unpublished for every audience. */
#define ALL_NEWS ((1U << AUDIENCES) - 1)

/* An engine's load as last published. */
struct load {
    uint32_t running;
    uint32_t unread_ms;
};

/* A request frame that waits for an adapter: who sent it, and its ID. */
struct adapter_wait {
    char *from;
    uint64_t id;
    int64_t until;
};

/* A model or adapter on an engine. */
struct item {
    GQuark name;
    GQuark model; /* the adapter's model; 0: the item is a model */
    enum ch_item_state state;
    int64_t changed; /* last change of state, or when its order was accepted */
    int64_t used;    /* last request for an adapter */
    int64_t not_before; /* its order is not sent earlier */
    bool ordered;       /* the engine accepted the order for its state */
    bool told;          /* loading, as another lease holder reports */
    bool from_store;    /* its load counts against the limit of loads from the
                           weight store */
    int64_t load_at;    /* start of its load as counted against that limit */
    GArray *waits;      /* struct adapter_waiter; NULL: none */
};

struct controller_engine {
    struct ch_controller *controller;
    int references;
    GQuark name;
    GQuark service;
    GQuark data_centre;
    char *address;
    struct ch_upstream *client;
    uint64_t boot;
    uint64_t taken; /* number of orders that the engine has accepted */
    GArray *items;  /* struct item */
    GArray *copies; /* GQuark */
    /* Times on the client's clock. */
    int64_t quiet_until; /* no order earlier */
    int64_t report_at;
    int64_t last_order; /* when the last order was sent */
    int64_t pledged_until;
    int64_t pledged_load; /* when the reserved load was counted against the
                             weight store; 0: there is a local copy */
    /* Sum of what all nodes report to have sent to this engine; the backlog is
     * prefill time in microseconds. */
    int64_t load_unread;
    uint32_t load_running;
    /* From the last report. */
    uint32_t running;
    uint32_t waiting;
    GQuark pledged; /* the model for which memory was freed; 0: none */
    /* The order in flight. */
    GQuark ordered_item;
    enum ch_order_action ordered_action;
    bool ordering;
    bool unsure; /* the order's reply was lost: it may still be executed */
    bool reporting;
    bool listed;
    bool leaving;
    bool restarted;  /* a report showed a restart that the host list does not
                        show yet */
    bool known;      /* its order count and items were read since its start */
    bool mirrored;   /* its items are as another lease holder reports them */
    bool told_busy;  /* whether it is busy, likewise */
    unsigned news;   /* bit per audience that has yet to receive its state */
    uint32_t number; /* identifies the engine in messages; 0: none yet */
    struct load told[AUDIENCES];
};

/* When an audience gets its next message, and the number of the last one. */
struct tell_times {
    int64_t next;       /* if anything changed */
    int64_t next_quiet; /* if nothing changed */
    int64_t next_whole;
    uint64_t sequence;
};

/* Control of a data centre's engines: the lease to order them, who holds it,
 * and the limit of loads. */
struct duty {
    GQuark data_centre;
    GQuark region; /* of the data centre */
    struct ch_claim *claim;
    char *holder;   /* the lease holder last heard of; NULL: none */
    uint64_t fence; /* of the holder's lease */
    int64_t heard;
    bool was_held;
    int64_t held_since;
    int64_t next_arrange;
    int64_t next_short;     /* next log lines on models with a shortage */
    struct ch_window loads; /* loads of models from the weight store */
    unsigned most_loads;    /* loads allowed in a window */
};

/* Demand that one node reported. */
struct node_demand {
    GQuark data_centre; /* set by nodes of an earlier version, which report to
                           each data centre's holder; 0: the report is for all
                           data centres */
    bool collected;     /* sent by another lease holder: the sum of its nodes'
                           reports */
    GArray *list;       /* struct ch_model_demand */
    GArray *loads;      /* struct ch_engine_load */
    int64_t at;
};

/* A model's demand from all nodes, as a sum or as a moving average. */
struct smoothed {
    double work;    /* in engines: 1 is the whole time of one engine */
    double backlog; /* seconds of engine time not begun */
};

struct ch_controller {
    struct ch_node *node;
    struct ch_roster *roster;
    const struct ch_controller_handlers *handlers;
    void *data;
    pthread_mutex_t lock;
    pthread_cond_t idle;
    unsigned jobs;
    bool stopping;
    bool draining;
    uint64_t timer;
    int64_t next_demand;
    int64_t next_demand_far;
    struct tell_times telling[AUDIENCES];
    uint32_t last_number; /* last one given to an engine */
    GHashTable *tellers;  /* states received, by publisher and audience */
    GHashTable *used; /* adapters in use, to be forwarded to other holders */
    GHashTable *engines;  /* GQuark to struct controller_engine */
    GHashTable *duties;   /* GQuark of data centre to struct centre_state */
    GHashTable *demands;  /* sender and kind to struct node_demand */
    GHashTable *smoothed; /* GQuark of model to struct fleet_demand */
    int64_t smoothed_at;
};

/* ---- controller_engine.c; lock held ---- */

struct controller_engine *engine_new(struct ch_controller *controller,
                                     const struct ch_host *host);
void engine_unref(struct controller_engine *engine);
/* Applies the engine's entry in the host list; a new boot ID discards what the
 * engine held. */
void engine_listed(struct controller_engine *engine,
                   const struct ch_host *host, int64_t now);
struct item *engine_item(struct controller_engine *engine, GQuark name);
struct item *engine_add_item(struct controller_engine *engine, GQuark name,
                             GQuark model, enum ch_item_state state,
                             int64_t now);
/* Sends the next order, and requests a report if one is due. */
void engine_pump(struct controller_engine *engine, struct duty *centre,
                 int64_t now);
/* Whether the engine executes an order that makes it refuse all others: an
 * order for a model, or to unload an adapter that is still in use. */
bool engine_is_busy(const struct controller_engine *engine);
/* Whether a model may be loaded or unloaded now. */
bool engine_is_open(const struct controller_engine *engine, int64_t now);
/* Has an adapter loaded for a request; the waiter gets its reply when the
 * adapter is ready or cannot be loaded. */
void engine_prepare(struct controller_engine *engine, struct duty *centre,
                    GQuark model, GQuark adapter,
                    const struct adapter_wait *waiter, int64_t now);
/* Replies with an error code to everything that waits for adapters. */
void engine_fail_waits(struct controller_engine *engine, enum ch_code code);
/* Memory of a model or adapter in MB, from the configuration in force; 0:
 * unknown. */
uint32_t controller_memory(struct ch_controller *controller, GQuark name);
/* The model of an adapter "model/adapter"; 0 for a model. */
GQuark controller_model_of(GQuark name);
/* The engine's adapter slots. */
uint32_t engine_adapter_places(const struct controller_engine *engine);
/* Memory of the engine for weights in MB; 0: unknown. */
uint32_t engine_memory(const struct controller_engine *engine);
/* Memory in MB to be kept free for adapters. */
uint32_t engine_reserve(const struct controller_engine *engine,
                        uint32_t adapter_mb);

/* ---- controller_models.c; lock held ---- */

/* Runs a placement round for the models, and starts the loads and unloads that
 * it decides on. */
void controller_arrange(struct ch_controller *controller, struct duty *centre,
                        int64_t now);

/* Loads adapters that no engine has into free adapter slots. */
void controller_fill_places(struct ch_controller *controller,
                            struct duty *centre, int64_t now);

/* ---- controller_publish.c; lock held ---- */

void controller_tell_init(struct ch_controller *controller);
/* Publishes what is due to all audiences, if this node holds a lease. */
void controller_tell(struct ch_controller *controller, int64_t now);
/* Whether this node holds the lease now. */
bool controller_holds(const struct duty *centre);
/* Whether this node holds any lease now. */
bool controller_holds_any(struct ch_controller *controller);
/* The lease holder that publishes to this node and collects its demand, as a
 * new string; NULL: none is known. */
char *controller_teller(struct ch_controller *controller, int64_t now);
/* The names of the other lease holders that were heard lately, of this region
 * (near) or of other regions. */
GPtrArray *controller_other_holders(struct ch_controller *controller,
                                    bool near, int64_t now);

/* ---- controller_receive.c ---- */

void controller_hear_init(struct ch_controller *controller);

/* ---- controller_demand.c ---- */

void controller_demand_init(struct ch_controller *controller);
/* Sends this node's demand, and forwards that of other nodes, when due. Lock
 * not held. */
void controller_demand_step(struct ch_controller *controller);
/* All nodes' demand by model, as struct fleet_demand keyed by quark; the
 * caller destroys the table. Lock held, as for the next function. */
GHashTable *controller_sum_demands(struct ch_controller *controller,
                                   const struct duty *centre, int64_t now);
/* Sums what all nodes have sent to each engine of a data centre. */
void controller_sum_loads(struct ch_controller *controller,
                          const struct duty *centre, int64_t now);

/* ---- controller.c; lock held ---- */

struct duty *controller_duty(struct ch_controller *controller,
                             GQuark data_centre);
/* Loads from the weight store that the lease holder of one data centre may
 * start in a window: its share of the weight store's limit, rounded up to at
 * least one. */
unsigned controller_loads_in_window(const struct ch_controller *controller,
                                    const struct ch_declaration *declaration);
/* Sends the reply to a waiter for an adapter. */
void controller_answer(struct ch_controller *controller,
                       const struct adapter_wait *waiter, enum ch_code code);

#endif
