#ifndef CH_DECIDE_HOME_H
#define CH_DECIDE_HOME_H

/* The inside of a home and of a policy; for decide/ alone. */

#include "decide/policy.h"

/* ---- what a home has measured (rates.c) ---- */

struct ch_rates {
    /* Decaying sums over samples of (running at once, time for a token). */
    double weight, sum_n, sum_t, sum_nn, sum_nt;
    double first; /* mean, dispatch to first byte */
    double hold;  /* mean, grant to release */
    int64_t sampled;
    bool engine;
};

void ch_rates_init(struct ch_rates *rates, bool engine);
void ch_rates_add(struct ch_rates *rates, const struct ch_sample *sample,
                  double running, int64_t held, int64_t now);
double ch_rates_token(const struct ch_rates *rates, double running);
int64_t ch_rates_hold(const struct ch_rates *rates, const struct ch_work *work,
                      uint32_t running);
uint32_t ch_rates_batch(const struct ch_rates *rates, int64_t between,
                        uint32_t most);

/* Requests a second, of the last seconds and of the last minute. */
struct ch_demand {
    double fast;
    double slow;
    int64_t at;
};

void ch_demand_add(struct ch_demand *demand, int64_t now);
double ch_demand_most(const struct ch_demand *demand, int64_t now);
double ch_demand_least(const struct ch_demand *demand, int64_t now);

/* ---- one queue (queue.c) ---- */

struct ch_entry {
    struct ch_work work;
    int64_t rank; /* lowest first */
    bool late_ok; /* misses its target by a load that had to be: served late */
};

struct ch_queue {
    GArray *entries; /* of struct ch_entry, by rank */
};

void ch_queue_init(struct ch_queue *queue);
void ch_queue_clear(struct ch_queue *queue);
void ch_queue_add(struct ch_queue *queue, const struct ch_entry *entry);
int ch_queue_find(const struct ch_queue *queue, uint64_t work);
struct ch_entry *ch_queue_at(const struct ch_queue *queue, guint at);
void ch_queue_remove(struct ch_queue *queue, guint at);

/* ---- what is in the upstream's memory (place.c) ---- */

struct ch_held {
    GQuark name;
    GQuark model; /* of an adapter; else 0 */
    enum ch_item_state state;
    uint32_t memory_mb;
    bool leaving;            /* to be unloaded once nothing runs on it */
    bool wanted;             /* to be loaded as soon as there is room */
    uint32_t running;        /* granted requests that use it */
    uint32_t queued;         /* waiting ones */
    struct ch_demand demand; /* offered, refused requests among it */
    int64_t used;            /* last offered */
    int64_t unserved;   /* first refused since it was last here; 0: none */
    int64_t changed;    /* last change of state */
    int64_t not_before; /* no order for it until then */
};

struct ch_granted {
    uint64_t work;
    GQuark model;
    GQuark adapter;
    uint64_t tenant;
    int64_t between;
    int64_t at;
    int64_t expected; /* time that it was expected to hold its slot */
    uint32_t running_then;
};

struct ch_home {
    const struct ch_policy *policy;
    struct ch_home_facts facts;
    struct ch_queue queue;
    GArray *granted; /* of struct ch_granted */
    GArray *items;   /* of struct ch_held */
    struct ch_rates rates;
    bool leaving;
    bool down;
    uint32_t loads_left;
    int64_t blocked_until; /* orders fail until then: key-value service away */
};

enum {
    /* Work that is served late, for a load that had to be, ranks as if its
     * target were this long after its arrival: behind what can still make its
     * target, and not for ever. */
    CH_LATE_RANK = 20 * G_USEC_PER_SEC,
};

/* Whether the upstream serves the work as it is: resident, and fast enough. */
bool ch_view_serves(const struct ch_upstream_view *view,
                    const struct ch_work *work);

struct ch_held *ch_home_item(struct ch_home *home, GQuark name);
struct ch_held *ch_home_item_need(struct ch_home *home, GQuark name,
                                  GQuark model, uint32_t memory_mb);
bool ch_home_has(const struct ch_home *home, GQuark item);
int64_t ch_place_load_time(const struct ch_held *item);
bool ch_place_is_served(const struct ch_home *home, const struct ch_work *work,
                        const struct ch_fleet *fleet);
void ch_place_pump(struct ch_home *home, const struct ch_fleet *fleet,
                   int64_t now, struct ch_actions *out);
bool ch_place_may_load(struct ch_home *home, const struct ch_work *work,
                       const struct ch_fleet *fleet, int64_t now);

/* ---- admission (admit.c) ---- */

struct ch_admission {
    enum ch_code code;
    int64_t retry_after;
    bool late_ok;
    const char *reason;
};

struct ch_admission ch_admit(struct ch_home *home, const struct ch_work *work,
                             const struct ch_fleet *fleet, int64_t now,
                             struct ch_actions *out);
uint32_t ch_home_limit(const struct ch_home *home);
int64_t ch_home_wait(const struct ch_home *home, int64_t rank, int64_t now);
void ch_home_refuse(struct ch_home *home, guint at, enum ch_code code,
                    int64_t retry_after, const char *reason,
                    struct ch_actions *out);

/* ---- a policy: a row of choices (policy.c) ---- */

struct ch_routing {
    struct ch_route (*choose)(const struct ch_policy *policy,
                              struct ch_fleet *fleet,
                              const struct ch_work *work,
                              const GArray *excluded, int64_t now);
    bool affinity; /* prefix and adapter, before plain balance */
    bool spill;    /* to another region */
    bool counts;   /* own requests since the last report are counted */
};

/* Lower goes first; microseconds. */
struct ch_ordering {
    int64_t (*rank)(const struct ch_home *home, const struct ch_work *work,
                    int64_t now);
};

struct ch_admitting {
    struct ch_admission (*admit)(struct ch_home *home,
                                 const struct ch_work *work,
                                 const struct ch_fleet *fleet, int64_t now,
                                 struct ch_actions *out);
    bool predict;    /* refuse what will miss; else shed what has missed */
    bool find_batch; /* from measured times; else what the engine states */
    bool fair;       /* between tenants when full */
    bool unlimited;  /* grants all at once: the upstream queues by itself */
};

struct ch_placing {
    bool fixed;     /* nothing is loaded or unloaded */
    bool reluctant; /* a further replica must be worth its cost */
    bool keep_last; /* last replicas go last */
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
                                 const struct ch_work *work,
                                 const GArray *excluded, int64_t now);
struct ch_route ch_route_least_loaded(const struct ch_policy *policy,
                                      struct ch_fleet *fleet,
                                      const struct ch_work *work,
                                      const GArray *excluded, int64_t now);
struct ch_route ch_route_independent(const struct ch_policy *policy,
                                     struct ch_fleet *fleet,
                                     const struct ch_work *work,
                                     const GArray *excluded, int64_t now);
struct ch_route ch_route_static(const struct ch_policy *policy,
                                struct ch_fleet *fleet,
                                const struct ch_work *work,
                                const GArray *excluded, int64_t now);
struct ch_admission ch_admit_predicting(struct ch_home *home,
                                        const struct ch_work *work,
                                        const struct ch_fleet *fleet,
                                        int64_t now, struct ch_actions *out);
struct ch_admission ch_admit_all(struct ch_home *home,
                                 const struct ch_work *work,
                                 const struct ch_fleet *fleet, int64_t now,
                                 struct ch_actions *out);

#endif
