#ifndef CH_DECIDE_ARRANGE_INTERNAL_H
#define CH_DECIDE_ARRANGE_INTERNAL_H

/*
 * What arrange.c (which orders to give) and arrange_short.c (what stays short)
 * see of a state: arrange_view.c.
 */

#include "decide/arrange.h"

/* Part of an engine's time, for reading prompts and for the slots of its
 * batch, from which on another replica is worth a load: beyond some eight
 * tenths first tokens wait for one another, and a load takes seconds in which
 * demand grows. */
#define CH_BUSY_REPLICA 0.5
/* A model must be asked for this many times as much as the one that goes. */
#define CH_CLEAR_GAIN 2.0

/* A model, counted over all engines. */
struct ch_tally {
    const struct ch_arrange_model *model;
    unsigned replicas; /* engines that hold it, are loading it or make room for
                          it, and stay */
    unsigned *own;     /* resident on engines that stay, by data centre */
    GQuark keeper;     /* the data centre that keeps the last replica */
    uint64_t keeper_weight;
};

/* What is decided upon: the state, and what was ordered in this round. */
struct ch_round {
    const struct ch_arrange_state *state;
    struct ch_tally *tallies; /* of each model, in their order */
    GHashTable *by_name;      /* GQuark to struct ch_tally */
    GHashTable *centres;      /* GQuark of data centre to its number */
    GHashTable *ordered;      /* GQuark of engines that were given an order */
    unsigned *counts;         /* the tallies' own */
    uint32_t largest_mb;      /* of all models */
    uint32_t loads_left;
    uint32_t changing;
    GArray *out;
};

/* What goes from an engine, one after the other, so that a model fits. */
struct ch_eviction {
    GQuark first; /* to be ordered now; 0: it fits as it is */
    unsigned count;
    double left; /* what is asked of the replicas that stay, at most */
    double cost; /* ... and what else it takes from others */
};

void ch_round_init(struct ch_round *round,
                   const struct ch_arrange_state *state, GArray *out);
void ch_round_clear(struct ch_round *round);

/* Counts what an order brings and takes away, for those that follow in the
   round. */
void ch_round_count_order(struct ch_round *round,
                          const struct ch_arrange_engine *engine,
                          GQuark victim, GQuark model);

/* An engine's item, or NULL. */
const struct ch_arrange_item *
ch_round_item(const struct ch_arrange_engine *engine, GQuark model);
/* Whether the engine has a copy of the model near by. */
bool ch_round_has_copy(const struct ch_arrange_engine *engine, GQuark model);
/* Whether the engine's service may hold the model. */
bool ch_round_may_hold(const struct ch_arrange_engine *engine,
                       const struct ch_arrange_model *model);
/* The count of that name, or NULL: the configuration has dropped it. */
const struct ch_tally *ch_round_tally(const struct ch_round *round,
                                      GQuark name);
unsigned ch_round_replicas(const struct ch_round *round, GQuark model);
/* What is asked of each replica, if there were `replicas`. */
double ch_round_pressure(const struct ch_arrange_model *model,
                         unsigned replicas);
/* What is asked of an engine for all its models but one (0: for all). */
double ch_round_busy(const struct ch_round *round,
                     const struct ch_arrange_engine *engine, GQuark but);
/* Memory that is not taken, nor kept for adapters. */
uint32_t ch_round_free(const struct ch_round *round,
                       const struct ch_arrange_engine *engine);
/* Memory that is not taken by what only this engine holds. */
uint32_t ch_round_flexible(const struct ch_round *round,
                           const struct ch_arrange_engine *engine);
/* Whether this engine takes a change now. */
bool ch_round_is_open(const struct ch_arrange_engine *engine);
/* Whether the engine was given an order in this round. */
bool ch_round_is_ordered(const struct ch_round *round,
                         const struct ch_arrange_engine *engine);
/* Whether a load there may begin now: one from the weight store counts. */
bool ch_round_may_load(const struct ch_round *round,
                       const struct ch_arrange_engine *engine, GQuark model);
/* What has to go from the engine so that `memory_mb` are free; false: what may
   go is not enough.  most: what may be asked for at the replicas that stay. */
bool ch_round_find_room(const struct ch_round *round,
                        const struct ch_arrange_engine *engine,
                        uint32_t memory_mb, double most,
                        struct ch_eviction *out);

#endif
