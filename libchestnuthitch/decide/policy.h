#ifndef CH_DECIDE_POLICY_H
#define CH_DECIDE_POLICY_H

/* Scheduling policies: how requests are routed, queued and refused, and how
 * models are placed.  The node runs the policy "default"; the replay tool runs
 * any policy by name. */

#include "decide/fleet.h"

struct ch_policy;

const struct ch_policy *ch_policy_find(const char *name);
const char *const *ch_policy_list_names(void);

/* ---- routing at the entry node: which upstream to try (route.c) ---- */

struct ch_route {
    enum ch_code code; /* OK: upstream is set */
    size_t upstream;   /* index into the fleet */
    int64_t retry_after;
    char message[120];
};

/* Chooses an upstream and adds the request to the sent_since of its view.
 * excluded: GQuark names of upstreams that this request must not try again;
 * NULL: none. */
struct ch_route ch_route_choose(const struct ch_policy *policy,
                                struct ch_fleet *fleet,
                                const struct ch_request_info *request,
                                const GArray *excluded, int64_t now);

/* Whether an upstream is among those that a request must not go to (NULL:
 * none). */
bool ch_route_is_excluded(const GArray *excluded, GQuark name);

/* Like ch_route_choose(), for a request that has already failed.  The first
 * `failed` names in excluded are upstreams that failed while they had the
 * request; the others only refused it.  See route.c. */
struct ch_route ch_route_choose_retry(const struct ch_policy *policy,
                                      struct ch_fleet *fleet,
                                      const struct ch_request_info *request,
                                      const GArray *excluded, guint failed,
                                      int64_t now);

/* ---- at an upstream's home node: one queue, exact counts (home.c) ---- */

enum ch_action_kind {
    CH_ACTION_GRANT,  /* the request may be sent now */
    CH_ACTION_REFUSE, /* the request is rejected, finally and at once */
    CH_ACTION_LOAD,   /* load the item into memory */
    CH_ACTION_UNLOAD, /* unload the item from memory */
};

struct ch_action {
    enum ch_action_kind kind;
    uint64_t request_id;
    enum ch_code code;
    int64_t retry_after;
    uint32_t priority;
    GQuark item;
    uint32_t memory_mb;
    char message[120];
};

/* List of struct ch_action.  The functions below append to it; their caller
 * empties it. */
struct ch_actions {
    GArray *list;
};

struct ch_upstream_config {
    GQuark name;
    GQuark service; /* of a plain service; 0: an inference engine */
    uint32_t capacity_mb;
    uint32_t accelerators;
    uint32_t batch;     /* maximum at once; 0: from measured times */
    uint32_t max_queue; /* entries */
    bool draining;
};

enum ch_item_state {
    CH_ITEM_ABSENT,
    CH_ITEM_LOADING, /* memory is reserved */
    CH_ITEM_RESIDENT,
    CH_ITEM_UNLOADING, /* memory still counts as used */
};

/* Result and times of a granted request, from which the home node estimates
 * service times. */
struct ch_timing_sample {
    enum ch_code code;
    int64_t first_byte_time; /* send to first byte; 0: no byte came */
    int64_t token_time; /* mean between tokens; 0: fewer than two tokens */
    uint32_t token_count;
    int64_t retry_after; /* of CH_UPSTREAM_LIMITED and CH_UPSTREAM_WAITS: when
                            a call may go */
};

struct ch_home;

struct ch_home *ch_home_new(const struct ch_policy *policy,
                            const struct ch_upstream_config *facts,
                            int64_t now);
void ch_home_free(struct ch_home *home);
void ch_home_set_config(struct ch_home *home,
                        const struct ch_upstream_config *facts);
/* fleet: the home node's view of all upstreams, used to recognise last
 * replicas and to choose what to load; may be NULL.  Each of the following
 * calls appends to out what is to be done. */
void ch_home_enqueue(struct ch_home *home,
                     const struct ch_request_info *request,
                     const struct ch_fleet *fleet, int64_t now,
                     struct ch_actions *out);
void ch_home_withdraw(struct ch_home *home, uint64_t request_id, int64_t now,
                      struct ch_actions *out);
void ch_home_release(struct ch_home *home, uint64_t request_id,
                     const struct ch_timing_sample *sample, int64_t now,
                     struct ch_actions *out);
/* Sets an item to the state in the ledger. memory_mb: as reserved there; 0:
 * unknown. */
void ch_home_set_item(struct ch_home *home, GQuark item,
                      enum ch_item_state state, uint32_t memory_mb,
                      int64_t now, struct ch_actions *out);
/* Reports that a load or unload order could not be carried out because of a
 * ledger conflict or an unreachable key-value store. */
void ch_home_handle_failed_order(struct ch_home *home, GQuark item,
                                 enum ch_action_kind kind, enum ch_code code,
                                 int64_t now, struct ch_actions *out);
/* Takes over the engine's own report, which lags behind. down: the engine does
 * not answer. */
void ch_home_update_engine_state(struct ch_home *home, uint32_t running,
                                 uint32_t waiting, bool draining, bool down,
                                 int64_t now, struct ch_actions *out);
/* To be called every CH_HOME_TICK_US, and earlier whenever something may have
 * changed. */
void ch_home_tick(struct ch_home *home, const struct ch_fleet *fleet,
                  int64_t now, struct ch_actions *out);
/* Fills in everything but region and data centre.  The caller owns the two new
 * arrays. */
void ch_home_get_view(const struct ch_home *home, int64_t now,
                      struct ch_upstream_view *out);

enum {
    CH_HOME_TICK_US = 50 * 1000,
};

/* ---- retries after a failed attempt (retry.c) ---- */

enum {
    /* Delay before a stream whose caller already has its beginning is tried
     * again.  Slots of an engine become free every 0.1 to 0.2 s, and callers
     * leave a stream that pauses for two seconds or more. */
    CH_RETRY_DELAY_US = 300 * 1000,
};

enum ch_retry {
    CH_RETRY_NO,
    CH_RETRY_RESTART, /* on another upstream, from the start */
    CH_RETRY_RESUME,  /* on another upstream, after the tokens delivered */
};

struct ch_retry_budget {
    double level; /* retries left; each new request adds `share` */
    double share;
    double max_level;
};

void ch_retry_budget_init(struct ch_retry_budget *budget, double share);
void ch_retry_budget_add_request(struct ch_retry_budget *budget);
/* How an attempt failed. */
struct ch_retry_failure {
    enum ch_code code;
    bool may_have_run;
    bool is_resumable;         /* the response can resume after an event */
    uint32_t events_delivered; /* events that the caller already has */
};

/* Whether an upstream refused the request without running it, before any of
 * the response was delivered, and the request's class sets a number of
 * attempts.  Such a refusal doesn't count as an attempt. */
bool ch_retry_is_refusal(const struct ch_request_info *request,
                         const struct ch_retry_failure *failure);
/* Takes one retry from the budget and sets *reserved, unless *reserved is
 * already set for a retry that no attempt has used yet.  Returns false when
 * the budget is empty. */
bool ch_retry_take(struct ch_retry_budget *budget, bool *reserved);
/* Returns a retry marked by *reserved to the budget and clears *reserved. */
void ch_retry_put_back(struct ch_retry_budget *budget, bool *reserved);
/* Whether to give up an attempt that has gone silent in favour of a retry.  If
 * so, the retry is taken from the budget and *reserved is set. */
bool ch_retry_may_abandon(struct ch_retry_budget *budget, bool *reserved,
                          const struct ch_request_info *request, int64_t now);
/* Whether to try a request again after CH_RETRY_DELAY_US: no upstream accepts
 * it now, and it certainly hasn't run since it was last sent. */
bool ch_retry_is_delayed(const struct ch_request_info *request,
                         enum ch_code code, bool may_have_run,
                         uint32_t events_given);

/* Decides on a retry after a failure.  If the result isn't CH_RETRY_NO and the
 * request was sent, a retry is taken from the budget and *reserved is set. */
enum ch_retry ch_retry_decide(struct ch_retry_budget *budget, bool *reserved,
                              const struct ch_request_info *request,
                              const struct ch_retry_failure *failure,
                              int64_t now);

#endif
