#ifndef CH_NODE_CONTROLLER_INTERNAL_H
#define CH_NODE_CONTROLLER_INTERNAL_H

/*
 * What controller.c (rights, adapters on request), controller_tell.c (what
 * holders tell of engines), controller_hear.c (what is taken of it),
 * controller_demand.c (what requests ask for),
 * controller_engine.c (one engine's orders and reports) and
 * controller_models.c (which models) share.  One lock guards all of it.
 */

#include "decide/placement.h"
#include "decide/order.h"
#include "decide/window.h"
#include "node/claim.h"
#include "node/controller.h"
#include "node/dialect.h"

#include <pthread.h>

enum {
    /* A bound for orders and reports, microseconds: a worker that is well
     * answers within a few milliseconds and the way there and back. */
    CH_CONTROLLER_CALL_LIMIT = 1500 * 1000,
};

/* Who is told of engines.  Numbers in messages. */
enum audience {
    AUDIENCE_NODES, /* the nodes that this holder tells, of all engines */
    AUDIENCE_NEAR,  /* other holders of this region, of this one's engines */
    AUDIENCE_FAR,   /* ... of other regions */
    AUDIENCES,
};

/* Everything of an engine is news to every audience. */
#define ALL_NEWS ((1U << AUDIENCES) - 1)

/* An engine's load as it was told. */
struct load {
    uint32_t running;
    uint32_t unread_ms;
};

/* A request that waits for an adapter, by the frame that asked. */
struct adapter_wait {
    char *from;
    uint64_t id;
    int64_t until;
};

/* A model or adapter on an engine. */
struct item {
    GQuark name;
    GQuark model; /* of an adapter; 0: it is a model */
    enum ch_item_state state;
    int64_t changed;    /* last change of state */
    int64_t used;       /* an adapter was last asked for */
    int64_t not_before; /* the order for it is not sent before */
    bool ordered;       /* the order for its state was taken */
    bool told;          /* it is to come by another holder's word */
    bool from_store;    /* its load counts at the weight store */
    int64_t load_at;    /* ... as begun then */
    GArray *waits;      /* struct adapter_wait; NULL: none */
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
    uint64_t taken; /* orders it has taken */
    GArray *items;  /* struct item */
    GArray *copies; /* GQuark */
    /* When what is due, on the client's clock. */
    int64_t quiet_until; /* no order before then */
    int64_t report_at;
    int64_t last_order; /* sent at */
    int64_t pledged_until;
    int64_t pledged_load; /* its load was counted then; 0: there is a copy */
    /* What all nodes together have sent, as they told. */
    int64_t load_unread;
    uint32_t load_running;
    /* By the last report. */
    uint32_t running;
    uint32_t waiting;
    GQuark pledged; /* the model that room was made for; 0: none */
    /* The order under way. */
    GQuark ordered_item;
    enum ch_order_action ordered_action;
    bool ordering;
    bool unsure; /* its answer was lost: it may act yet */
    bool reporting;
    bool listed;
    bool leaving;
    bool restarted; /* a report showed it; the list does not yet */
    bool known;    /* its orders and what it holds were read since its start */
    bool mirrored; /* what it holds is another holder's word */
    bool told_busy;  /* ... and whether it takes orders */
    unsigned news;   /* by audience, a bit each: its state is to be told */
    uint32_t number; /* by which it is named to audiences; 0: none yet */
    struct load told[AUDIENCES];
};

/* When an audience is told next, and the number of the last message. */
struct tell_times {
    int64_t next;       /* news */
    int64_t next_quiet; /* that there is none */
    int64_t next_whole;
    uint64_t sequence;
};

/* A data centre's engines and the right to order them. */
struct duty {
    GQuark data_centre;
    GQuark region; /* of the data centre */
    struct ch_claim *claim;
    char *holder;   /* the node that told last; NULL: none */
    uint64_t fence; /* of its right */
    int64_t heard;
    bool was_held;
    int64_t held_since;
    int64_t next_arrange;
    int64_t next_short;     /* lines on models that stay short */
    struct ch_window loads; /* of models from the weight store */
    unsigned most_loads;    /* of them in a window */
};

/* What one node told of its requests. */
struct node_demand {
    GQuark data_centre; /* to whose holder an earlier version told it; 0: of
                           all that was told by the node */
    bool collected;     /* the sum of what others told that holder */
    GArray *list;       /* struct ch_model_demand */
    GArray *loads;      /* struct ch_engine_load */
    int64_t at;
};

/* A model's smoothed demand. */
struct smoothed {
    double work;    /* engines' time */
    double backlog; /* seconds */
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
    uint32_t last_number; /* of an engine */
    GHashTable *tellers;  /* what other holders told, by name and audience */
    GHashTable *used;     /* adapters in use, to be passed on */
    GHashTable *engines;  /* GQuark to struct controller_engine */
    GHashTable *duties;   /* GQuark of data centre to struct duty */
    GHashTable *demands;  /* node name to struct node_demand */
    GHashTable *smoothed; /* GQuark to struct smoothed */
    int64_t smoothed_at;
};

/* ---- controller_engine.c; lock held ---- */

struct controller_engine *engine_new(struct ch_controller *controller,
                                     const struct ch_host *host);
void engine_unref(struct controller_engine *engine);
/* What the list says of it; another boot forgets what it held. */
void engine_listed(struct controller_engine *engine,
                   const struct ch_host *host, int64_t now);
struct item *engine_item(struct controller_engine *engine, GQuark name);
struct item *engine_add_item(struct controller_engine *engine, GQuark name,
                             GQuark model, enum ch_item_state state,
                             int64_t now);
/* Gives the order that is next, asks for a report that is due. */
void engine_pump(struct controller_engine *engine, struct duty *duty,
                 int64_t now);
/* Whether it carries out an order that keeps all others from being taken: of a
   model, or for an adapter that is still used. */
bool engine_is_busy(const struct controller_engine *engine);
/* Whether a model may be ordered now. */
bool engine_is_open(const struct controller_engine *engine, int64_t now);
/* A request asks for an adapter: answered when it is there, or cannot come. */
void engine_prepare(struct controller_engine *engine, struct duty *duty,
                    GQuark model, GQuark adapter,
                    const struct adapter_wait *wait, int64_t now);
/* Ends what waits for adapters, with a code. */
void engine_fail_waits(struct controller_engine *engine, enum ch_code code);
/* Memory of a model or adapter by the configuration in force; 0: unknown. */
uint32_t controller_memory(struct ch_controller *controller, GQuark name);
/* The model of an adapter "model/adapter"; 0 for a model. */
GQuark controller_model_of(GQuark name);
/* Places for adapters of the engine. */
uint32_t engine_adapter_places(const struct controller_engine *engine);
/* Memory of the engine for weights; 0: unknown. */
uint32_t engine_memory(const struct controller_engine *engine);
/* Memory kept for adapters. */
uint32_t engine_reserve(const struct controller_engine *engine,
                        uint32_t adapter_mb);

/* ---- controller_models.c; lock held ---- */

/* Decides on models, and begins what was decided. */
void controller_arrange(struct ch_controller *controller, struct duty *duty,
                        int64_t now);

/* Loads adapters that stand nowhere where places are free. */
void controller_fill_places(struct ch_controller *controller,
                            struct duty *duty, int64_t now);

/* ---- controller_tell.c; lock held ---- */

void controller_tell_init(struct ch_controller *controller);
/* Tells all audiences what is due, where this node holds a right. */
void controller_tell(struct ch_controller *controller, int64_t now);
/* Whether this node has the right now. */
bool controller_holds(const struct duty *duty);
/* ... any right. */
bool controller_holds_any(struct ch_controller *controller);
/* The holder that tells this node, and takes its demand; a new string, NULL:
   none is known. */
char *controller_teller(struct ch_controller *controller, int64_t now);
/* The names of the other holders that were heard lately, of this region or of
   others. */
GPtrArray *controller_other_holders(struct ch_controller *controller,
                                    bool near, int64_t now);

/* ---- controller_hear.c ---- */

void controller_hear_init(struct ch_controller *controller);

/* ---- controller_demand.c ---- */

void controller_demand_init(struct ch_controller *controller);
/* Tells what requests ask for when it is due.  Lock not held. */
void controller_demand_step(struct ch_controller *controller);
/* What all nodes ask of each model, struct smoothed by its quark; lock held,
   like the next. */
GHashTable *controller_sum_demands(struct ch_controller *controller,
                                   const struct duty *duty, int64_t now);
/* Adds up what all nodes have sent to the engines of a data centre. */
void controller_sum_loads(struct ch_controller *controller,
                          const struct duty *duty, int64_t now);

/* ---- controller.c; lock held ---- */

struct duty *controller_duty(struct ch_controller *controller,
                             GQuark data_centre);
/* Loads from the weight store that one of the data centres' holders may begin
   in a window: its part of what is allowed, rounded up to one at least. */
unsigned controller_loads_in_window(const struct ch_controller *controller,
                                    const struct ch_declaration *declaration);
/* Answers who waits for an adapter. */
void controller_answer(struct ch_controller *controller,
                       const struct adapter_wait *wait, enum ch_code code);

#endif
