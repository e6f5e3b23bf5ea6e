#ifndef CH_DECIDE_HOME_H
#define CH_DECIDE_HOME_H

/* Internal structures of a home node's scheduler and of the policies; for use
 * in decide/ only. */

#include "decide/policy.h"

/* ---- service times that a home node has measured (rates.c) ---- */

struct ch_rates {
    /* Exponentially decaying sums for a linear regression of the time per
     * token (t) on the number of concurrent requests (n). */
    double weight, sum_n, sum_t, sum_nn, sum_nt;
    double first; /* mean, from send to first byte */
    double hold;  /* mean, from grant to release */
    int64_t sampled;
    bool engine;
};

void ch_rates_init(struct ch_rates *rates, bool engine);
void ch_rates_add(struct ch_rates *rates, const struct ch_sample *sample,
                  double running, int64_t slot_time, int64_t now);
double ch_rates_token(const struct ch_rates *rates, double running);
int64_t ch_rates_hold(const struct ch_rates *rates,
                      const struct ch_work *request, uint32_t running);
uint32_t ch_rates_batch(const struct ch_rates *rates, int64_t token_target,
                        uint32_t max);

/* Requests per second at `at`: decaying averages over seconds and over a
 * minute. */
struct ch_demand {
    double fast;
    double slow;
    int64_t at;
};

void ch_demand_add(struct ch_demand *demand, int64_t now);
double ch_demand_most(const struct ch_demand *demand, int64_t now);
double ch_demand_least(const struct ch_demand *demand, int64_t now);

/* ---- request queue (queue.c) ---- */

struct ch_entry {
    struct ch_work work;
    int64_t rank; /* lowest first */
    bool late_ok; /* serve although it will miss its target */
};

struct ch_queue {
    GArray *entries; /* of struct ch_queue_entry, by rank */
};

void ch_queue_init(struct ch_queue *queue);
void ch_queue_clear(struct ch_queue *queue);
void ch_queue_add(struct ch_queue *queue, const struct ch_entry *entry);
int ch_queue_find(const struct ch_queue *queue, uint64_t request_id);
struct ch_entry *ch_queue_at(const struct ch_queue *queue, guint index);
void ch_queue_remove(struct ch_queue *queue, guint index);

/* ---- items in the upstream's memory (place.c) ---- */

struct ch_held {
    GQuark name;
    GQuark model; /* the adapter's model; 0: the item is a model */
    enum ch_item_state state;
    uint32_t memory_mb;
    bool leaving;            /* to be unloaded once no request uses it */
    bool wanted;             /* to be loaded as soon as there is memory */
    uint32_t running;        /* granted requests that use it */
    uint32_t queued;         /* queued requests that need it */
    struct ch_demand demand; /* arriving requests, including refused ones */
    int64_t used;            /* last request for it arrived */
    int64_t unserved; /* since when no upstream has had it; 0: not known to be
                         unavailable */
    int64_t changed;  /* last change of state */
    int64_t not_before; /* no load or unload order before this time */
};

struct ch_granted {
    uint64_t work;
    GQuark model;
    GQuark adapter;
    uint64_t tenant;
    int64_t between;
    int64_t at;
    int64_t expected; /* predicted time from grant to release */
    uint32_t running_then;
};

struct ch_home {
    const struct ch_policy *policy;
    struct ch_home_facts facts;
    struct ch_queue queue;
    GArray *granted; /* of struct ch_running_request */
    GArray *items;   /* of struct ch_item_record */
    struct ch_rates rates;
    bool leaving;
    bool down;
    uint32_t loads_left;
    int64_t blocked_until; /* no load or unload orders before this time:
                              key-value store unreachable */
};

enum {
    /* A request that is served late, because its model has to be loaded first
     * or because it is a retry, is ranked as if its target were this long
     * after its arrival: behind requests that can still meet their targets,
     * but without starving. */
    CH_LATE_RANK = 20 * G_USEC_PER_SEC,
};

/* Whether the upstream can serve the request as it is now: its model is
 * resident and its tokens come fast enough. */
bool ch_view_serves(const struct ch_upstream_view *view,
                    const struct ch_work *request);

struct ch_held *ch_home_item(struct ch_home *home, GQuark name);
struct ch_held *ch_home_item_need(struct ch_home *home, GQuark name,
                                  GQuark model, uint32_t memory_mb);
bool ch_home_has(const struct ch_home *home, GQuark item);
int64_t ch_place_load_time(const struct ch_held *item);
bool ch_place_is_served(const struct ch_home *home,
                        const struct ch_work *request,
                        const struct ch_fleet *fleet);
void ch_place_pump(struct ch_home *home, const struct ch_fleet *fleet,
                   int64_t now, struct ch_actions *out);
bool ch_place_may_load(struct ch_home *home, const struct ch_work *request,
                       const struct ch_fleet *fleet, int64_t now);

/* ---- admission (admit.c) ---- */

struct ch_admission {
    enum ch_code code;
    int64_t retry_after;
    bool late_ok;
    const char *reason;
};

struct ch_admission ch_admit(struct ch_home *home,
                             const struct ch_work *request,
                             const struct ch_fleet *fleet, int64_t now,
                             struct ch_actions *out);
uint32_t ch_home_limit(const struct ch_home *home);
int64_t ch_home_wait(const struct ch_home *home, int64_t rank, int64_t now);
void ch_home_refuse(struct ch_home *home, guint index, enum ch_code code,
                    int64_t retry_after, const char *reason,
                    struct ch_actions *out);

/* ---- a policy is a set of rules (policy.c) ---- */

struct ch_routing {
    struct ch_route (*choose)(const struct ch_policy *policy,
                              struct ch_fleet *fleet,
                              const struct ch_work *request,
                              const GArray *excluded, int64_t now);
    bool affinity; /* prefer upstreams with the prompt prefix or adapter,
                      before balancing by load */
    bool spill;    /* may route to another region */
    bool counts; /* count own requests sent since the upstream's last report */
};

/* Returns a rank in microseconds; the lowest goes first. */
struct ch_ordering {
    int64_t (*rank)(const struct ch_home *home, const struct ch_work *request,
                    int64_t now);
};

struct ch_admitting {
    struct ch_admission (*admit)(struct ch_home *home,
                                 const struct ch_work *request,
                                 const struct ch_fleet *fleet, int64_t now,
                                 struct ch_actions *out);
    bool predict; /* refuse requests that are predicted to miss their target;
                     otherwise only drop those that have missed it */
    bool find_batch; /* derive the concurrency limit from measured times;
                        otherwise use the engine's stated limit */
    bool fair;       /* share the queue between tenants when it is full */
    bool unlimited;  /* grant every request at once; the upstream queues by
                        itself */
};

struct ch_placing {
    bool fixed;     /* never load or unload */
    bool reluctant; /* an additional replica must be worth its cost */
    bool keep_last; /* evict last replicas only after others */
};

struct ch_policy {
    const char *name;
    const struct ch_routing *routing;
    const struct ch_ordering *ordering;
    const struct ch_admitting *admitting;
    const struct ch_placing *placing;
};

struct ch_route ch_route_default(const struct ch_policy *policy,
                                 struct ch_fleet *fleet,
                                 const struct ch_work *request,
                                 const GArray *excluded, int64_t now);
struct ch_route ch_route_least_loaded(const struct ch_policy *policy,
                                      struct ch_fleet *fleet,
                                      const struct ch_work *request,
                                      const GArray *excluded, int64_t now);
struct ch_route ch_route_independent(const struct ch_policy *policy,
                                     struct ch_fleet *fleet,
                                     const struct ch_work *request,
                                     const GArray *excluded, int64_t now);
struct ch_route ch_route_static(const struct ch_policy *policy,
                                struct ch_fleet *fleet,
                                const struct ch_work *request,
                                const GArray *excluded, int64_t now);
struct ch_admission ch_admit_predicting(struct ch_home *home,
                                        const struct ch_work *request,
                                        const struct ch_fleet *fleet,
                                        int64_t now, struct ch_actions *out);
struct ch_admission ch_admit_all(struct ch_home *home,
                                 const struct ch_work *request,
                                 const struct ch_fleet *fleet, int64_t now,
                                 struct ch_actions *out);

#endif
