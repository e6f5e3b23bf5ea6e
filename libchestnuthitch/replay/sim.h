#ifndef CH_REPLAY_SIM_H
#define CH_REPLAY_SIM_H

/* Internals of a simulated run: virtual time, the simulated engines, weight
 * store and link, and the entry nodes, whose decisions are made by the code
 * under test. */

#include "decide/ledger.h"
#include "replay/replay.h"

struct sim;

/* ---- virtual time (sim_run.c) ---- */

/* A scheduled event; the comment of each handler describes a, b and c. */
struct sim_event {
    int64_t at;
    uint64_t sequence; /* among events of the same time, lowest first */
    void (*handle)(struct sim *sim, const struct sim_event *event);
    uint64_t a;
    uint64_t b;
    uint64_t c;
};

void sim_schedule(struct sim *sim, int64_t at,
                  void (*handle)(struct sim *sim,
                                 const struct sim_event *event),
                  uint64_t a, uint64_t b, uint64_t c);
/* Returns a number from 0 to 1 that depends only on seed, key and salt. */
double sim_random(const struct sim *sim, uint64_t key, uint64_t salt);

/* ---- engines and plain services (sim_engine.c) ---- */

struct sim_item {
    GQuark name;
    uint32_t memory_mb;
    bool loading;
    char order[24];
};

/* One request in an engine, with the engine progress at which it advances. */
struct sim_job {
    uint64_t dispatch;
    double first_token_progress; /* engine progress at the first token */
    double end_progress;
    bool first_token_sent;
    uint32_t tokens;
};

struct sim_engine {
    bool is_service;
    uint32_t capacity_mb;
    uint32_t max_batch;
    double slowdown;
    double progress;       /* tokens of a request that had run all the time */
    int64_t progress_at;   /* time of the latest update of progress */
    uint64_t step_version; /* step events with an older version are ignored */
    GArray *running;       /* struct sim_job */
    GArray *waiting;       /* struct sim_job, progress relative to its start */
    GArray *items;         /* struct sim_item */
    GArray *prefix_cache;  /* uint64_t: prefixes, least recently used first */
    GPtrArray *completed_orders; /* IDs of completed orders */
    unsigned boot_id;
    bool down;
    bool draining;
    int64_t draining_since;
};

void sim_engine_init(struct sim *sim, size_t upstream);
void sim_engine_clear(struct sim_engine *engine);
void sim_engine_accept(struct sim *sim, size_t upstream, uint64_t dispatch);
void sim_engine_cancel(struct sim *sim, size_t upstream, uint64_t dispatch);
void sim_engine_crash(struct sim *sim, size_t upstream);
void sim_engine_set_slowdown(struct sim *sim, size_t upstream, double slow);
bool sim_engine_has_item(const struct sim_engine *engine, GQuark item);
void sim_engine_load(struct sim *sim, size_t upstream, GQuark item,
                     uint32_t memory_mb, const char *order);
void sim_engine_unload(struct sim *sim, size_t upstream, GQuark item,
                       const char *order);
void sim_engine_finish_load(struct sim *sim, size_t upstream, GQuark item,
                            unsigned boot);

/* ---- weight store and link (sim_store.c) ---- */

struct sim_load {
    size_t upstream;
    unsigned boot_id;
    GQuark item;
    double left_mb;
};

struct sim_store {
    GArray *loads; /* struct sim_load */
    int64_t updated_at;
    uint64_t step_version;
    unsigned adapter_load_count;
};

void sim_store_load(struct sim *sim, size_t upstream, GQuark item,
                    uint32_t memory_mb);
void sim_store_load_adapter(struct sim *sim, size_t upstream, GQuark item);
/* Returns the microseconds to send bytes from one region to another, and
 * counts the bytes if the regions differ. */
int64_t sim_link_send(struct sim *sim, size_t from, size_t to, uint64_t bytes);

/* ---- home nodes of upstreams (sim_homes.c) ---- */

enum {
    SIM_NO_HOST = -1,
};

struct sim_upstream {
    const struct ch_site_upstream *site;
    GQuark name;
    size_t region;
    struct sim_engine engine;
    struct ch_home *home;
    int host; /* entry node that is the home node; SIM_NO_HOST: none */
    struct ch_ledger *ledger;
    GHashTable *published_states; /* GQuark to the item state the home node
                                     has, plus 1 */
};

void sim_home_init(struct sim *sim, size_t upstream);
void sim_home_clear(struct sim_upstream *upstream);
void sim_home_handle_ask(struct sim *sim, const struct sim_event *event);
void sim_home_handle_release(struct sim *sim, const struct sim_event *event);
void sim_home_tick(struct sim *sim, const struct sim_event *event);
void sim_home_handle_report(struct sim *sim, const struct sim_event *event);
void sim_home_assign(struct sim *sim, size_t upstream);
void sim_home_withdraw(struct sim *sim, size_t upstream, uint64_t ask);
void sim_home_gossip(struct sim *sim, const struct sim_event *event);
int sim_home_get_host(const struct sim *sim, size_t upstream);

/* ---- entry nodes and requests (sim_entries.c) ---- */

struct sim_entry {
    const struct ch_site_entry *site;
    size_t region;
    bool up;
    struct ch_fleet fleet;
    uint32_t *pending_asks; /* by upstream: asks without a reply so far */
    struct ch_retry_budget retry_budget;
    struct ch_token_bucket link_budget;
    struct ch_token_bucket load_budget;
};

enum sim_state {
    SIM_ASKING,
    SIM_RUNNING,
    SIM_FINISHED,
};

struct sim_request {
    const struct ch_trace_event *event;
    struct ch_request_info work;
    size_t entry;
    enum sim_state state;
    unsigned asks_since_dispatch; /* asks since the latest dispatch */
    uint64_t current_ask;         /* number of the valid ask */
    int upstream;                 /* upstream of the valid ask */
    GArray *excluded;             /* GQuark: failures first, then refusals */
    guint failed_count;           /* number of failures in excluded */
    enum ch_code last_refusal;    /* latest refusal by a home node; OK: none */
    int64_t sent_by_caller_at; /* time at which the caller sent the request */
    int64_t dispatched_at;     /* time of the latest dispatch */
    int64_t first_byte_at;     /* first byte at the entry node; 0: none yet */
    int64_t dispatch_first_byte_at; /* first byte of the latest dispatch */
    uint32_t tokens_delivered;      /* tokens that the caller received */
    uint32_t dispatch_count;
    bool has_run;
};

/* An ask: a request asks an upstream's home node for a grant.  Its index in
 * sim.asks is its number. */
struct sim_ask {
    uint64_t request;
    size_t upstream;
};

void sim_entry_init(struct sim *sim, size_t entry);
void sim_entry_clear(struct sim *sim, struct sim_entry *entry);
void sim_request_arrive(struct sim *sim, const struct sim_event *event);
void sim_request_handle_reply(struct sim *sim, const struct sim_event *event);
void sim_request_dispatch(struct sim *sim, const struct sim_event *event);
void sim_request_handle_first_byte(struct sim *sim,
                                   const struct sim_event *event);
void sim_request_handle_completion(struct sim *sim,
                                   const struct sim_event *event);
void sim_request_handle_failure(struct sim *sim,
                                const struct sim_event *event);
void sim_entry_stop(struct sim *sim, size_t entry);
void sim_link_interrupt(struct sim *sim);
/* Returns the request of an ask, or NULL if the ask is no longer valid. */
struct sim_request *sim_request_find_by_ask(struct sim *sim, uint64_t ask);
/* Returns the one-way delay in microseconds between two data centres. */
int64_t sim_get_delay(const struct sim *sim, size_t centre_a, size_t centre_b);

/* ---- the simulation ---- */

/* State of the key of a non-idempotent request. */
enum sim_key_state {
    SIM_KEY_RUNNING = 1,
    SIM_KEY_DONE,
    SIM_KEY_UNKNOWN,
};

struct sim {
    const struct ch_site *site;
    const struct ch_declaration *declaration;
    const struct ch_trace *trace;
    const struct ch_policy *policy;
    uint64_t seed;
    int64_t now;
    GArray *heap; /* struct sim_event */
    uint64_t next_sequence;
    struct sim_upstream *upstreams;
    struct sim_entry *entries;
    struct sim_store store;
    GArray **initial_items; /* by upstream: struct sim_item at the start */
    int64_t
        max_client_delay;  /* longest delay from a caller to an entry node */
    int64_t *link_free_at; /* by region: when its outgoing link is free */
    struct sim_request *requests;    /* by index in the trace */
    GArray *asks;                    /* struct sim_ask */
    GHashTable *keys;                /* key to enum sim_key_state */
    GHashTable *key_dispatch_counts; /* key to number of dispatches */
    uint64_t open_requests;          /* requests not finished */
    bool kv_down;
    bool link_down;
    int64_t link_changed_at;
    int64_t end_at; /* later events are not run */
    struct ch_result *result;
    uint8_t *model_requested;
    uint8_t *model_served;
    GHashTable *tenants; /* caller to struct sim_tenant */
};

struct sim_tenant {
    uint64_t requests;
    uint64_t met;
};

#endif
