#ifndef CH_DECIDE_ARRANGE_INTERNAL_H
#define CH_DECIDE_ARRANGE_INTERNAL_H

/*
 * The view of a placement state (arrange_view.c) that arrange.c, which decides
 * on orders, and arrange_short.c, which finds shortages, have in common.
 */

#include "decide/arrange.h"

/*
 * Load of a replica, as a part of an engine's time for reading prompts and for
 * its batch slots, above which another replica is worth a load.  From about
 * 0.8 on, requests queue for their first token, and a load takes seconds in
 * which demand grows.
 */
#define CH_BUSY_REPLICA 0.5
/* The load per replica of the model to load must be this many times that of a
 * model evicted for it. */
#define CH_CLEAR_GAIN 2.0

/* Replicas of a model, counted over all engines. */
struct ch_tally {
    const struct ch_arrange_model *model;
    unsigned replicas; /* on engines that are not draining: resident, loading
                          or with memory reserved */
    unsigned *own; /* resident replicas on engines that are not draining, by
                      index of data centre */
    GQuark keeper; /* data centre that must not evict its last replica */
    uint64_t keeper_weight;
};

/* One call of ch_placement_plan(): the state, and the orders given so far. */
struct ch_round {
    const struct ch_arrange_state *state;
    struct ch_tally *tallies; /* one per model, in the state's order */
    GHashTable *by_name;      /* GQuark of model to struct ch_replica_count */
    GHashTable *centres;      /* GQuark of data centre to its index */
    GHashTable *ordered;      /* GQuark of engines with an order */
    unsigned *counts;         /* backing array of all resident_by_centre */
    uint32_t largest_mb;      /* of all models */
    uint32_t loads_left;
    uint32_t changing;
    GArray *out;
};

/* Models to evict from an engine, one after the other, so that another
 * fits. */
struct ch_eviction {
    GQuark first; /* to unload now; 0: no eviction needed */
    unsigned count;
    double left; /* highest load per replica among the evicted models, once
                    evicted */
    double cost; /* remaining_load plus penalties; see struct candidate */
};

void ch_round_init(struct ch_round *round,
                   const struct ch_arrange_state *state, GArray *out);
void ch_round_clear(struct ch_round *round);

/* Counts the replica that an order adds and the one that it removes, for later
 * decisions of the round.  victim: the model to unload first; 0: none. */
void ch_round_count_order(struct ch_round *round,
                          const struct ch_arrange_engine *engine,
                          GQuark victim, GQuark model);

/* The engine's entry for the model, or NULL. */
const struct ch_arrange_item *
ch_round_item(const struct ch_arrange_engine *engine, GQuark model);
/* Whether the engine has a local copy of the model's weights. */
bool ch_round_has_copy(const struct ch_arrange_engine *engine, GQuark model);
/* Whether the engine's service may hold the model. */
bool ch_round_may_hold(const struct ch_arrange_engine *engine,
                       const struct ch_arrange_model *model);
/* The model's replica count, or NULL if the configuration no longer has the
 * model. */
const struct ch_tally *ch_round_tally(const struct ch_round *round,
                                      GQuark name);
unsigned ch_round_replicas(const struct ch_round *round, GQuark model);
/* Load of each of `replicas` replicas, in engines. */
double ch_round_pressure(const struct ch_arrange_model *model,
                         unsigned replicas);
/* Load of an engine from all its models except one (0: from all). */
double ch_round_busy(const struct ch_round *round,
                     const struct ch_arrange_engine *engine, GQuark except);
/* Memory neither used by models nor reserved for adapters. */
uint32_t ch_round_free(const struct ch_round *round,
                       const struct ch_arrange_engine *engine);
/* Memory that is free, or used by models which other engines hold too. */
uint32_t ch_round_flexible(const struct ch_round *round,
                           const struct ch_arrange_engine *engine);
/* Whether the engine accepts an order and is not draining. */
bool ch_round_is_open(const struct ch_arrange_engine *engine);
/* Whether the engine got an order in this round. */
bool ch_round_is_ordered(const struct ch_round *round,
                         const struct ch_arrange_engine *engine);
/* Whether a load of the model may start on the engine now; loads from the
 * weight store are limited. */
bool ch_round_may_load(const struct ch_round *round,
                       const struct ch_arrange_engine *engine, GQuark model);
/* Finds what to evict from the engine so that `memory_mb` are free.  max_load:
 * highest load per replica that an eviction may leave on the other replicas.
 * Returns false if the models that may be evicted are not enough. */
bool ch_round_find_room(const struct ch_round *round,
                        const struct ch_arrange_engine *engine,
                        uint32_t memory_mb, double max_load,
                        struct ch_eviction *out);

#endif
