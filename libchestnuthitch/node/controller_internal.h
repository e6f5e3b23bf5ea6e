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
#include "node/lease.h"
#include "node/controller.h"
#include "node/dialect.h"

#include <pthread.h>

enum {
    /* For orders and reports: a healthy worker answers within a few
     * milliseconds plus the round trip. */
    CH_CONTROLLER_CALL_TIMEOUT_US = 1500 * 1000,
};

/* Receivers of engine states. The values are sent in messages. */
enum audience {
    AUDIENCE_NODES, /* nodes for which this holder publishes all engines */
    AUDIENCE_LOCAL_HOLDERS,  /* lease holders of this region: this node's
                                engines */
    AUDIENCE_REMOTE_HOLDERS, /* lease holders of other regions: this node's
                                engines */
    AUDIENCE_COUNT,
};

/* Bit mask: the change of an engine is unpublished for every audience. */
#define ALL_AUDIENCES ((1U << AUDIENCE_COUNT) - 1)

/* An engine's load as last published. */
struct published_load {
    uint32_t running;
    uint32_t prefill_backlog_ms;
};

/* A request frame that waits for an adapter: who sent it, and its ID. */
struct adapter_waiter {
    char *from;
    uint64_t request_id;
    int64_t deadline;
};

/* A model or adapter on an engine. */
struct item {
    GQuark name;
    GQuark model; /* the adapter's model; 0: the item is a model */
    enum ch_item_state state;
    int64_t
        changed_at; /* last change of state, or when its order was accepted */
    int64_t last_used_at;  /* last request for an adapter */
    int64_t next_order_at; /* its order is not sent earlier */
    bool accepted;         /* the engine accepted the order for its state */
    bool from_peer;        /* loading, as another lease holder reports */
    bool from_store; /* its load counts against the limit of loads from the
                        weight store */
    int64_t
        load_started_at; /* start of its load as counted against that limit */
    GArray *waiters;     /* struct adapter_waiter; NULL: none */
};

struct controller_engine {
    struct ch_controller *controller;
    int references;
    GQuark name;
    GQuark service;
    GQuark data_centre;
    char *address;
    struct ch_upstream *client;
    uint64_t boot_id;
    uint64_t version_id;   /* of its software */
    uint64_t orders_taken; /* number of orders that the engine has accepted */
    GArray *items;         /* struct item */
    GArray *local_copies;  /* GQuark */
    /* Times on the client's clock. */
    int64_t orders_blocked_until; /* no order earlier */
    int64_t next_report_at;
    int64_t last_order_at; /* when the last order was sent */
    int64_t reserved_until;
    int64_t reserved_load_at; /* when the reserved load was counted against the
                             weight store; 0: there is a local copy */
    /* Sum of what all nodes report to have sent to this engine; the backlog is
     * prefill time in microseconds. */
    int64_t total_prefill_backlog;
    uint32_t total_running;
    /* From the last report. */
    uint32_t running;
    uint32_t waiting;
    GQuark reserved_for; /* the model for which memory was freed; 0: none */
    /* The order in flight. */
    GQuark order_item;
    enum ch_order_action order_action;
    bool order_in_flight;
    bool order_outcome_unknown; /* the order's reply was lost: it may still be
                                   executed */
    bool report_in_flight;
    bool listed;
    bool draining;
    bool restart_reported; /* a report showed a restart that the host list does
                       not show yet */
    bool state_known; /* its order count and items were read since its start */
    bool from_peer;   /* its items are as another lease holder reports them */
    bool peer_busy;   /* whether it is busy, likewise */
    unsigned
        unpublished; /* bit per audience that has yet to receive its state */
    uint32_t number; /* identifies the engine in messages; 0: none yet */
    struct published_load published[AUDIENCE_COUNT];
};

/* When an audience gets its next message, and the number of the last one. */
struct publish_times {
    int64_t next_change_at;    /* if anything changed */
    int64_t next_heartbeat_at; /* if nothing changed */
    int64_t next_full_at;
    uint64_t sequence;
};

/* Control of a data centre's engines: the lease to order them, who holds it,
 * and the limit of loads. */
struct centre_state {
    GQuark data_centre;
    size_t engine_count; /* at the last tick as lease holder */
    GQuark region;       /* of the data centre */
    struct ch_lease *lease;
    char *holder;           /* the lease holder last heard of; NULL: none */
    uint64_t fencing_token; /* of the holder's lease */
    int64_t heard_at;
    bool was_held;
    int64_t held_since;
    int64_t next_placement_at;
    int64_t
        next_shortage_log_at; /* next log lines on models with a shortage */
    struct ch_window load_window; /* loads of models from the weight store */
    unsigned max_loads_in_window; /* loads allowed in a window */
};

/* Demand that one node reported. */
struct node_demand {
    GQuark data_centre; /* set by nodes of an earlier version, which report to
                           each data centre's holder; 0: the report is for all
                           data centres */
    bool is_sum;        /* sent by another lease holder: the sum of its nodes'
                              reports */
    GArray *models;     /* struct ch_model_demand */
    GArray *loads;      /* struct ch_engine_load */
    int64_t received_at;
};

/* A model's demand from all nodes, as a sum or as a moving average. */
struct fleet_demand {
    double demand;    /* in engines: 1 is the whole time of one engine */
    double backlog_s; /* seconds of engine time not begun */
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
    int64_t next_demand_at;
    int64_t next_remote_demand_at;
    struct publish_times publishing[AUDIENCE_COUNT];
    uint32_t last_engine_number; /* last one given to an engine */
    GHashTable *publishers; /* states received, by publisher and audience */
    GHashTable
        *used_adapters; /* adapters in use, to be forwarded to other holders */
    GHashTable *engines; /* GQuark to struct controller_engine */
    GHashTable *centres; /* GQuark of data centre to struct centre_state */
    GHashTable *node_demands;   /* sender and kind to struct node_demand */
    GHashTable *average_demand; /* GQuark of model to struct fleet_demand */
    int64_t average_updated_at;
};

/* ---- controller_engine.c; lock held ---- */

struct controller_engine *engine_new(struct ch_controller *controller,
                                     const struct ch_host *host);
void engine_unref(struct controller_engine *engine);
/* Applies the engine's entry in the host list; a new boot ID discards what the
 * engine held. */
void engine_apply_host(struct controller_engine *engine,
                       const struct ch_host *host, int64_t now);
struct item *engine_find_item(struct controller_engine *engine, GQuark name);
struct item *engine_add_item(struct controller_engine *engine, GQuark name,
                             GQuark model, enum ch_item_state state,
                             int64_t now);
/* Sends the next order, and requests a report if one is due. */
void engine_send_due(struct controller_engine *engine,
                     struct centre_state *centre, int64_t now);
/* Whether the engine executes an order that makes it refuse all others: an
 * order for a model, or to unload an adapter that is still in use. */
bool engine_is_busy(const struct controller_engine *engine);
/* Whether a model may be loaded or unloaded now. */
bool engine_accepts_model_order(const struct controller_engine *engine,
                                int64_t now);
/* Has an adapter loaded for a request; the waiter gets its reply when the
 * adapter is ready or cannot be loaded. */
void engine_prepare_adapter(struct controller_engine *engine,
                            struct centre_state *centre, GQuark model,
                            GQuark adapter,
                            const struct adapter_waiter *waiter, int64_t now);
/* Replies with an error code to everything that waits for adapters. */
void engine_fail_waiters(struct controller_engine *engine, enum ch_code code);
/* Memory of a model or adapter in MB, from the configuration in force; 0:
 * unknown. */
uint32_t controller_get_memory_mb(struct ch_controller *controller,
                                  GQuark name);
/* The model of an adapter "model/adapter"; 0 for a model. */
GQuark controller_get_adapter_model(GQuark name);
/* The engine's adapter slots. */
uint32_t engine_get_adapter_slots(const struct controller_engine *engine);
/* Memory of the engine for weights in MB; 0: unknown. */
uint32_t engine_get_memory_mb(const struct controller_engine *engine);
/* Memory in MB to be kept free for adapters. */
uint32_t engine_get_adapter_reserve_mb(const struct controller_engine *engine,
                                       uint32_t adapter_mb);

/* ---- controller_models.c; lock held ---- */

/* Runs a placement round for the models, and starts the loads and unloads that
 * it decides on. */
void controller_place_models(struct ch_controller *controller,
                             struct centre_state *centre, int64_t now);

/* Loads adapters that no engine has into free adapter slots. */
void controller_preload_adapters(struct ch_controller *controller,
                                 struct centre_state *centre, int64_t now);

/* ---- controller_publish.c; lock held ---- */

void controller_publish_init(struct ch_controller *controller);
/* Publishes what is due to all audiences, if this node holds a lease. */
void controller_publish(struct ch_controller *controller, int64_t now);
/* Whether this node holds the lease now. */
bool controller_holds_lease(const struct centre_state *centre);
/* Whether this node holds any lease now. */
bool controller_holds_any_lease(struct ch_controller *controller);
/* The lease holder that publishes to this node and collects its demand, as a
 * new string; NULL: none is known. */
char *controller_find_publisher(struct ch_controller *controller, int64_t now);
/* The names of the other lease holders that were heard lately, of this region
 * (near) or of other regions. */
GPtrArray *controller_list_other_holders(struct ch_controller *controller,
                                         bool near, int64_t now);

/* ---- controller_receive.c ---- */

void controller_receive_init(struct ch_controller *controller);

/* ---- controller_demand.c ---- */

void controller_demand_init(struct ch_controller *controller);
/* Sends this node's demand, and forwards that of other nodes, when due. Lock
 * not held. */
void controller_send_demand(struct ch_controller *controller);
/* All nodes' demand by model, as struct fleet_demand keyed by quark; the
 * caller destroys the table. Lock held, as for the next function. */
GHashTable *controller_sum_demands(struct ch_controller *controller,
                                   const struct centre_state *centre,
                                   int64_t now);
/* Sums what all nodes have sent to each engine of a data centre. */
void controller_sum_loads(struct ch_controller *controller,
                          const struct centre_state *centre, int64_t now);

/* ---- controller.c; lock held ---- */

struct centre_state *controller_get_centre(struct ch_controller *controller,
                                           GQuark data_centre);
/* Loads from the weight store that the lease holder of one data centre may
 * start in a window: its share of the weight store's limit, rounded up to at
 * least one. */
unsigned controller_get_max_loads(const struct ch_controller *controller,
                                  const struct ch_declaration *declaration);
/* Sends the reply to a waiter for an adapter. */
void controller_reply_waiter(struct ch_controller *controller,
                             const struct adapter_waiter *waiter,
                             enum ch_code code);

#endif
