#ifndef CH_DECIDE_POLICY_H
#define CH_DECIDE_POLICY_H

/*
 * A policy: how requests are routed, queued, refused, and models placed.
 * The node runs "default"; replay runs any by name.
 */

#include "decide/fleet.h"

struct ch_policy;

const struct ch_policy *ch_policy_find(const char *name);
const char *const *ch_policy_names(void);

/* ---- at the entry node: which upstream's home to ask (route.c) ---- */

struct ch_route {
    enum ch_code code; /* OK: upstream is set */
    size_t upstream;   /* index into the fleet */
    int64_t retry_after;
    char message[120];
};

/*
 * excluded: GQuark names that this request must not try again (NULL: none).
 * Counts the request in the chosen view's sent_since.
 */
struct ch_route ch_route_choose(const struct ch_policy *policy,
                                struct ch_fleet *fleet,
                                const struct ch_work *work,
                                const GArray *excluded, int64_t now);

/* As above after failed tries: the first `failed` of excluded did not refuse
   the request, but failed with it; see route.c. */
struct ch_route ch_route_retry(const struct ch_policy *policy,
                               struct ch_fleet *fleet,
                               const struct ch_work *work,
                               const GArray *excluded, guint failed,
                               int64_t now);

/* ---- at the home of an upstream: one queue, exact counts (home.c) ---- */

enum ch_action_kind {
    CH_ACTION_GRANT,  /* work may be dispatched now */
    CH_ACTION_REFUSE, /* work is out: final, at once */
    CH_ACTION_LOAD,   /* item is wanted in memory */
    CH_ACTION_UNLOAD, /* item is to leave memory */
};

struct ch_action {
    enum ch_action_kind kind;
    uint64_t work;
    enum ch_code code;
    int64_t retry_after;
    uint32_t priority;
    GQuark item;
    uint32_t memory_mb;
    char message[120];
};

/* Filled by the calls below, emptied by their caller: struct ch_action. */
struct ch_actions {
    GArray *list;
};

struct ch_home_facts {
    GQuark name;
    GQuark service; /* 0: an engine */
    uint32_t capacity_mb;
    uint32_t accelerators;
    uint32_t batch;     /* 0: found by measuring */
    uint32_t max_queue; /* entries */
    bool leaving;
};

enum ch_item_state {
    CH_ITEM_ABSENT,
    CH_ITEM_LOADING, /* reserved */
    CH_ITEM_RESIDENT,
    CH_ITEM_UNLOADING, /* still counted */
};

/* How a granted request went: what the home learns its times from. */
struct ch_sample {
    enum ch_code code;
    int64_t first; /* dispatch to first byte; 0: none came */
    int64_t token; /* mean between tokens; 0: fewer than two */
    uint32_t tokens;
};

struct ch_home;

struct ch_home *ch_home_new(const struct ch_policy *policy,
                            const struct ch_home_facts *facts, int64_t now);
void ch_home_free(struct ch_home *home);
void ch_home_set_facts(struct ch_home *home,
                       const struct ch_home_facts *facts);
/*
 * fleet is what the home's node sees of the others (for the last replica and
 * what to bring in); it may be NULL.  Each call appends what is to be done.
 */
void ch_home_offer(struct ch_home *home, const struct ch_work *work,
                   const struct ch_fleet *fleet, int64_t now,
                   struct ch_actions *out);
void ch_home_withdraw(struct ch_home *home, uint64_t work, int64_t now,
                      struct ch_actions *out);
void ch_home_release(struct ch_home *home, uint64_t work,
                     const struct ch_sample *sample, int64_t now,
                     struct ch_actions *out);
/* What the ledger holds of an item; memory_mb as reserved. */
void ch_home_set_item(struct ch_home *home, GQuark item,
                      enum ch_item_state state, uint32_t memory_mb,
                      int64_t now, struct ch_actions *out);
/* A LOAD or UNLOAD that could not be done (ledger conflict, KV away). */
void ch_home_order_failed(struct ch_home *home, GQuark item,
                          enum ch_action_kind kind, enum ch_code code,
                          int64_t now, struct ch_actions *out);
/* The engine's own lagging report; down: it does not answer. */
void ch_home_report(struct ch_home *home, uint32_t running, uint32_t waiting,
                    bool leaving, bool down, int64_t now,
                    struct ch_actions *out);
/* Called every CH_HOME_TICK, and whenever there is reason to. */
void ch_home_tick(struct ch_home *home, const struct ch_fleet *fleet,
                  int64_t now, struct ch_actions *out);
/* Fills in everything but region and data centre; the arrays are new. */
void ch_home_view(const struct ch_home *home, int64_t now,
                  struct ch_upstream_view *out);

enum {
    CH_HOME_TICK = 50 * 1000,
};

/* ---- after a failed dispatch (retry.c) ---- */

enum {
    /* A stream whose caller has its beginning is asked for again so much
       later, microseconds: an engine's slots come free every 0.1 to 0.2 s, and
       callers leave a stream that pauses for two seconds or more. */
    CH_RETRY_WAIT = 300 * 1000,
};

enum ch_retry {
    CH_RETRY_NO,
    CH_RETRY_AGAIN,  /* elsewhere, from the start */
    CH_RETRY_RESUME, /* elsewhere, from the tokens that the caller has */
};

struct ch_retry_budget {
    double level; /* grows by a share of each fresh request */
    double share;
    double most;
};

void ch_retry_budget_init(struct ch_retry_budget *budget, double share);
void ch_retry_budget_fresh(struct ch_retry_budget *budget);
/* How a dispatch failed. */
struct ch_retry_failure {
    enum ch_code code;
    bool may_have_run;
    bool stream;           /* the answer may go on from an event */
    uint32_t events_given; /* to the caller */
};

/* Whether an upstream refused, without running it, a request of a class that
   states its tries and whose answer has not begun: that is none of them. */
bool ch_retry_is_refusal(const struct ch_work *work,
                         const struct ch_retry_failure *failure);
/* Draws a further try from the budget, unless one is *held that no dispatch
   has used yet; false: none is left now. */
bool ch_retry_hold(struct ch_retry_budget *budget, bool *held);
/* Gives a try back that is *held. */
void ch_retry_give_back(struct ch_retry_budget *budget, bool *held);
/* Whether a silent call is given up for another try, which is *held then. */
bool ch_retry_reserve(struct ch_retry_budget *budget, bool *held,
                      const struct ch_work *work, int64_t now);
/* Whether a request that no upstream takes now, and surely none has run since
   it was last sent, is asked for again after CH_RETRY_WAIT. */
bool ch_retry_waits(const struct ch_work *work, enum ch_code code,
                    bool may_have_run, uint32_t events_given);

/* A try is *held when the answer is not NO and something was sent. */
enum ch_retry ch_retry_decide(struct ch_retry_budget *budget, bool *held,
                              const struct ch_work *work,
                              const struct ch_retry_failure *failure,
                              int64_t now);

#endif
