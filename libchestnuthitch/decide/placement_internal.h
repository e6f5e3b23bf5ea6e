#ifndef CH_DECIDE_PLACEMENT_INTERNAL_H
#define CH_DECIDE_PLACEMENT_INTERNAL_H

/*
 * The view of a placement state (placement_view.c) that placement.c, which
 * decides on orders, and placement_shortage.c, which finds shortages, have in
 * common.
 */

#include "decide/placement.h"

/*
 * Load of a replica, as a part of an engine's time for reading prompts and for
 * its batch slots, above which another replica is worth a load.  From about
 * 0.8 on, requests queue for their first token, and a load takes seconds in
 * which demand grows.
 */
#define CH_SCALE_UP_LOAD 0.5
/* The load per replica of the model to load must be this many times that of a
 * model evicted for it. */
#define CH_MIN_EVICTION_GAIN 2.0

/* Replicas of a model, counted over all engines. */
struct ch_replica_count {
    const struct ch_placement_model *model;
    unsigned replicas; /* on engines that are not draining: resident, loading
                          or with memory reserved */
    unsigned *resident_by_centre; /* resident replicas on engines that are not
                      draining, by index of data centre */
    GQuark last_replica_centre;   /* data centre that must not evict its last
                                     replica */
    uint64_t last_replica_weight;
};

/* One call of ch_placement_plan(): the state, and the orders given so far. */
struct ch_placement_round {
    const struct ch_placement_state *state;
    struct ch_replica_count
        *replica_counts; /* one per model, in the state's order */
    GHashTable
        *count_by_model; /* GQuark of model to struct ch_replica_count */
    GHashTable *centre_indices;  /* GQuark of data centre to its index */
    GHashTable *ordered_engines; /* GQuark of engines with an order */
    unsigned *centre_counts;     /* backing array of all resident_by_centre */
    uint32_t largest_model_mb;   /* of all models */
    uint32_t store_loads_left;
    uint32_t changing_engines;
    GArray *actions;
};

/* Models to evict from an engine, one after the other, so that another
 * fits. */
struct ch_eviction {
    GQuark first_victim; /* to unload now; 0: no eviction needed */
    unsigned victim_count;
    double remaining_load; /* highest load per replica among the evicted
                    models, once evicted */
    double cost; /* remaining_load plus penalties; see struct candidate */
};

void ch_placement_round_init(struct ch_placement_round *round,
                             const struct ch_placement_state *state,
                             GArray *out);
void ch_placement_round_clear(struct ch_placement_round *round);

/* Counts the replica that an order adds and the one that it removes, for later
 * decisions of the round.  victim: the model to unload first; 0: none. */
void ch_placement_count_order(struct ch_placement_round *round,
                              const struct ch_placement_engine *engine,
                              GQuark victim, GQuark model);

/* The engine's entry for the model, or NULL. */
const struct ch_placement_item *
ch_placement_find_item(const struct ch_placement_engine *engine, GQuark model);
/* Whether the engine has a local copy of the model's weights. */
bool ch_placement_has_local_copy(const struct ch_placement_engine *engine,
                                 GQuark model);
/* Whether the engine's service may hold the model. */
bool ch_placement_is_eligible(const struct ch_placement_engine *engine,
                              const struct ch_placement_model *model);
/* The model's replica count, or NULL if the configuration no longer has the
 * model. */
const struct ch_replica_count *
ch_placement_find_count(const struct ch_placement_round *round, GQuark name);
unsigned ch_placement_count_replicas(const struct ch_placement_round *round,
                                     GQuark model);
/* Load of each of `replicas` replicas, in engines. */
double ch_placement_load_per_replica(const struct ch_placement_model *model,
                                     unsigned replicas);
/* Load of an engine from all its models except one (0: from all). */
double ch_placement_engine_load(const struct ch_placement_round *round,
                                const struct ch_placement_engine *engine,
                                GQuark except);
/* Memory neither used by models nor reserved for adapters. */
uint32_t ch_placement_free_mb(const struct ch_placement_round *round,
                              const struct ch_placement_engine *engine);
/* Memory that is free, or used by models which other engines hold too. */
uint32_t ch_placement_reclaimable_mb(const struct ch_placement_round *round,
                                     const struct ch_placement_engine *engine);
/* Whether the engine accepts an order and is not draining. */
bool ch_placement_accepts_order(const struct ch_placement_engine *engine);
/* Whether the engine got an order in this round. */
bool ch_placement_has_order(const struct ch_placement_round *round,
                            const struct ch_placement_engine *engine);
/* Whether a load of the model may start on the engine now; loads from the
 * weight store are limited. */
bool ch_placement_may_start_load(const struct ch_placement_round *round,
                                 const struct ch_placement_engine *engine,
                                 GQuark model);
/* Finds what to evict from the engine so that `memory_mb` are free.  max_load:
 * highest load per replica that an eviction may leave on the other replicas.
 * Returns false if the models that may be evicted are not enough. */
bool ch_placement_find_evictions(const struct ch_placement_round *round,
                                 const struct ch_placement_engine *engine,
                                 uint32_t memory_mb, double max_load,
                                 struct ch_eviction *out);

#endif
