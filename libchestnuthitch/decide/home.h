#ifndef CH_DECIDE_HOME_H
#define CH_DECIDE_HOME_H

/* Internal structures of a home node's scheduler and of the policies; for use
 * in decide/ only. */

#include "decide/policy.h"

/* ---- service times that a home node has measured (rates.c) ---- */

struct ch_service_times {
    /* Exponentially decaying sums for a linear regression of the time per
     * token (t) on the number of concurrent requests (n). */
    double weight, sum_n, sum_t, sum_nn, sum_nt;
    double first_byte_time; /* mean, from send to first byte */
    double slot_time;       /* mean, from grant to release */
    int64_t last_sample_at;
    bool is_engine;
};

void ch_service_times_init(struct ch_service_times *rates, bool engine);
void ch_service_times_add_sample(struct ch_service_times *rates,
                                 const struct ch_timing_sample *sample,
                                 double running, int64_t slot_time,
                                 int64_t now);
double ch_service_times_predict_token(const struct ch_service_times *rates,
                                      double running);
int64_t ch_service_times_predict_slot(const struct ch_service_times *rates,
                                      const struct ch_request_info *request,
                                      uint32_t running);
uint32_t ch_service_times_limit_batch(const struct ch_service_times *rates,
                                      int64_t token_target, uint32_t max);

/* Requests per second at `at`: decaying averages over seconds and over a
 * minute. */
struct ch_demand {
    double fast_rate;
    double slow_rate;
    int64_t updated_at;
};

void ch_demand_add_request(struct ch_demand *demand, int64_t now);
double ch_demand_get_upper(const struct ch_demand *demand, int64_t now);
double ch_demand_get_lower(const struct ch_demand *demand, int64_t now);

/* ---- request queue (queue.c) ---- */

struct ch_queue_entry {
    struct ch_request_info request;
    int64_t rank;    /* lowest first */
    bool serve_late; /* serve although it will miss its target */
};

struct ch_queue {
    GArray *entries; /* of struct ch_queue_entry, by rank */
};

void ch_queue_init(struct ch_queue *queue);
void ch_queue_clear(struct ch_queue *queue);
void ch_queue_add(struct ch_queue *queue, const struct ch_queue_entry *entry);
int ch_queue_find(const struct ch_queue *queue, uint64_t request_id);
struct ch_queue_entry *ch_queue_get(const struct ch_queue *queue, guint index);
void ch_queue_remove(struct ch_queue *queue, guint index);

/* ---- items in the upstream's memory (place.c) ---- */

struct ch_item_record {
    GQuark name;
    GQuark model; /* the adapter's model; 0: the item is a model */
    enum ch_item_state state;
    uint32_t memory_mb;
    bool evicting;             /* to be unloaded once no request uses it */
    bool wanted;               /* to be loaded as soon as there is memory */
    uint32_t running;          /* granted requests that use it */
    uint32_t queued;           /* queued requests that need it */
    struct ch_demand demand;   /* arriving requests, including refused ones */
    int64_t last_request_at;   /* last request for it arrived */
    int64_t unavailable_since; /* since when no upstream has had it; 0: not
                         known to be unavailable */
    int64_t state_changed_at;  /* last change of state */
    int64_t next_order_at;     /* no load or unload order before this time */
};

struct ch_running_request {
    uint64_t request_id;
    GQuark model;
    GQuark adapter;
    uint64_t tenant;
    int64_t token_target;
    int64_t granted_at;
    int64_t predicted_time; /* predicted time from grant to release */
    uint32_t running_at_grant;
};

struct ch_home {
    const struct ch_policy *policy;
    struct ch_upstream_config config;
    struct ch_queue queue;
    GArray *running; /* of struct ch_running_request */
    GArray *items;   /* of struct ch_item_record */
    struct ch_service_times service_times;
    bool draining;
    bool down;
    uint32_t loads_left;
    int64_t orders_blocked_until; /* no load or unload orders before this time:
                              key-value store unreachable */
};

enum {
    /* A request that is served late, because its model has to be loaded first
     * or because it is a retry, is ranked as if its target were this long
     * after its arrival: behind requests that can still meet their targets,
     * but without starving. */
    CH_LATE_TARGET_US = 20 * G_USEC_PER_SEC,
};

/* Whether the upstream can serve the request as it is now: its model is
 * resident and its tokens come fast enough. */
bool ch_upstream_view_serves(const struct ch_upstream_view *view,
                             const struct ch_request_info *request);

struct ch_item_record *ch_home_find_item(struct ch_home *home, GQuark name);
struct ch_item_record *ch_home_get_item(struct ch_home *home, GQuark name,
                                        GQuark model, uint32_t memory_mb);
bool ch_home_has_item(const struct ch_home *home, GQuark item);
int64_t ch_place_predict_load_time(const struct ch_item_record *item);
bool ch_place_is_served(const struct ch_home *home,
                        const struct ch_request_info *request,
                        const struct ch_fleet *fleet);
void ch_place_apply_pending(struct ch_home *home, const struct ch_fleet *fleet,
                            int64_t now, struct ch_actions *out);
bool ch_place_may_load(struct ch_home *home,
                       const struct ch_request_info *request,
                       const struct ch_fleet *fleet, int64_t now);

/* ---- admission (admit.c) ---- */

struct ch_admission {
    enum ch_code code;
    int64_t retry_after;
    bool serve_late;
    const char *reason;
};

struct ch_admission ch_admit(struct ch_home *home,
                             const struct ch_request_info *request,
                             const struct ch_fleet *fleet, int64_t now,
                             struct ch_actions *out);
uint32_t ch_home_get_limit(const struct ch_home *home);
int64_t ch_home_predict_wait(const struct ch_home *home, int64_t rank,
                             int64_t now);
void ch_home_refuse_entry(struct ch_home *home, guint index, enum ch_code code,
                          int64_t retry_after, const char *reason,
                          struct ch_actions *out);

/* ---- a policy is a set of rules (policy.c) ---- */

struct ch_routing_rules {
    struct ch_route (*choose)(const struct ch_policy *policy,
                              struct ch_fleet *fleet,
                              const struct ch_request_info *request,
                              const GArray *excluded, int64_t now);
    bool affinity;   /* prefer upstreams with the prompt prefix or adapter,
                        before balancing by load */
    bool spill;      /* may route to another region */
    bool count_sent; /* count own requests sent since the upstream's last
                        report */
};

/* Returns a rank in microseconds; the lowest goes first. */
struct ch_ordering_rules {
    int64_t (*rank)(const struct ch_home *home,
                    const struct ch_request_info *request, int64_t now);
};

struct ch_admission_rules {
    struct ch_admission (*admit)(struct ch_home *home,
                                 const struct ch_request_info *request,
                                 const struct ch_fleet *fleet, int64_t now,
                                 struct ch_actions *out);
    bool predict; /* refuse requests that are predicted to miss their target;
                     otherwise only drop those that have missed it */
    bool measured_limit; /* derive the concurrency limit from measured times;
                        otherwise use the engine's stated limit */
    bool fair;           /* share the queue between tenants when it is full */
    bool unlimited;      /* grant every request at once; the upstream queues by
                            itself */
};

struct ch_placement_rules {
    bool fixed;      /* never load or unload */
    bool cost_aware; /* an additional replica must be worth its cost */
    bool protect_last_replica; /* evict last replicas only after others */
};

struct ch_policy {
    const char *name;
    const struct ch_routing_rules *routing;
    const struct ch_ordering_rules *ordering;
    const struct ch_admission_rules *admission;
    const struct ch_placement_rules *placement;
};

struct ch_route ch_route_choose_default(const struct ch_policy *policy,
                                        struct ch_fleet *fleet,
                                        const struct ch_request_info *request,
                                        const GArray *excluded, int64_t now);
struct ch_route
ch_route_choose_least_loaded(const struct ch_policy *policy,
                             struct ch_fleet *fleet,
                             const struct ch_request_info *request,
                             const GArray *excluded, int64_t now);
struct ch_route
ch_route_choose_independent(const struct ch_policy *policy,
                            struct ch_fleet *fleet,
                            const struct ch_request_info *request,
                            const GArray *excluded, int64_t now);
struct ch_route ch_route_choose_static(const struct ch_policy *policy,
                                       struct ch_fleet *fleet,
                                       const struct ch_request_info *request,
                                       const GArray *excluded, int64_t now);
struct ch_admission ch_admit_predicted(struct ch_home *home,
                                       const struct ch_request_info *request,
                                       const struct ch_fleet *fleet,
                                       int64_t now, struct ch_actions *out);
struct ch_admission ch_admit_all(struct ch_home *home,
                                 const struct ch_request_info *request,
                                 const struct ch_fleet *fleet, int64_t now,
                                 struct ch_actions *out);

#endif
