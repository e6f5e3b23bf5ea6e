#ifndef CH_NODE_HOMES_INTERNAL_H
#define CH_NODE_HOMES_INTERNAL_H

/*
 * What homes.c (requests of this node's callers), home_*.c (upstreams that
 * this node is home of), site.c (upstreams as listed and seen) and gossip.c
 * share.  One lock guards all of it: at the sizes of docs/CAPACITY.md a node
 * takes some tens of decisions a second, each of microseconds, so a finer lock
 * would buy nothing.  Effects (frames, callbacks, orders) are gathered under
 * the lock and carried out after it.
 */

#include "node/node.h"

#include <pthread.h>

struct upstream {
    GQuark name;
    uint64_t key; /* for rendezvous */
    enum ch_host_kind kind;
    char *address;
    char *region;
    char *data_centre;
    struct ch_upstream *client;
    int references;
    bool listed;
    bool leaving;     /* by the list */
    bool ledger_read; /* since this node became home */
    bool reporting;
    bool news; /* not told in any round yet */
    uint32_t capacity_mb;
    uint32_t accelerators;
    uint32_t batch;
    GQuark service;
    /* Version of what the fleet's view holds. */
    uint64_t incarnation;
    uint64_t sequence;
    /* The home's part: NULL while another node is home. */
    struct ch_home *home;
    uint64_t told_hash; /* of the state that was last told */
    int64_t told_at;
    int64_t report_at;
    int64_t quick_until; /* reports at every tick until then */
    unsigned report_failures;
    int64_t down_until; /* of a plain service, after refused connections */
    GArray *items;      /* GQuark: what the ledger held when last seen */
};

/* A request in a home's queue or granted by it: its work's id is its handle.
 */
struct ticket {
    struct upstream *upstream;
    char *from; /* node; NULL: this one */
    uint64_t incarnation;
    uint64_t enqueue; /* id of the Enqueue, or handle of the local request */
    bool granted;
    int64_t since;
};

enum request_state {
    REQUEST_ROUTING,
    REQUEST_QUEUED_HERE,
    REQUEST_QUEUED_THERE,
    REQUEST_GRANTED_HERE,
    REQUEST_GRANTED_THERE,
};

struct request {
    uint64_t handle;
    enum request_state state;
    struct ch_request_info work;
    GArray *excluded; /* of GQuark: refused it, and failed before */
    guint failed;     /* so many at the front failed before */
    const struct ch_router_handlers *handlers;
    void *data;
    bool withdrawn;
    unsigned bounces; /* homes that refused it or were lost */
    /* What the last home that refused it said; 0: none did. */
    enum ch_code refusal;
    int64_t refusal_after;
    char *refusal_message;
    struct upstream *upstream;
    char *home;       /* node, when it is queued or granted there */
    uint64_t enqueue; /* id of the Enqueue */
    uint64_t ticket;  /* here: its handle; there: the grant */
    uint64_t pauses;  /* of this process, when it was sent to its home */
};

struct ch_homes {
    struct ch_router router;
    struct ch_node *node;
    const struct ch_policy *policy;
    pthread_mutex_t lock;
    pthread_cond_t idle;
    unsigned jobs;       /* recurring jobs that are waiting or running */
    uint64_t list_timer; /* of the next look at the list */
    bool stopping;
    bool draining;
    int64_t listed_at;    /* the platform's list came first; 0: not yet */
    GPtrArray *upstreams; /* by name, as fleet.upstreams */
    struct ch_fleet fleet;
    GPtrArray *regions; /* names; the fleet's indexes are of these */
    GPtrArray *data_centres;
    struct ch_table *requests;
    struct ch_table *tickets;
    struct ch_token_bucket loads;
    struct ch_token_bucket link;
    uint64_t sequence;
    int64_t ticked;  /* last tick */
    uint64_t pauses; /* times that this process did not run for long */
    int64_t next_rehome;
    int64_t next_gossip;
    unsigned near_turn; /* whose turn it is to be told, by place in order */
    unsigned far_turn;
    uint64_t homed_version; /* of the membership, when homes were last found */
    bool rehome;            /* find them again: the list, or a guest home */
    unsigned live;          /* nodes at the last look */
    bool news;              /* their number changed: tell every state again */
    GRand *random;
};

/* ---- effects: done after the lock is given back (effects.c) ---- */

struct effects {
    GPtrArray *list;
};

void effects_init(struct effects *effects);
/* As effects_run, on the pool: for callers whose handlers must not run before
   they return. */
void effects_submit(struct ch_homes *homes, struct effects *effects);
/* Carries out and empties; without the lock. */
void effects_run(struct ch_homes *homes, struct effects *effects);
void effects_granted(struct effects *effects, const struct request *request,
                     struct ch_homes *homes, uint32_t priority);
void effects_refused(struct effects *effects, const struct request *request,
                     enum ch_code code, int64_t retry_after,
                     const char *message);
void effects_grant_frame(struct effects *effects, const struct ticket *ticket,
                         uint64_t handle, uint32_t priority,
                         const struct ch_homes *homes);
void effects_refuse_frame(struct effects *effects, const struct ticket *ticket,
                          enum ch_code code, int64_t retry_after,
                          const char *message, const struct ch_homes *homes);
void effects_order(struct effects *effects, const struct upstream *upstream,
                   enum ch_action_kind kind, GQuark item, uint32_t memory_mb);
/* Opens or closes the upstream's ledger. */
void effects_ledger(struct effects *effects, struct upstream *upstream,
                    bool open);
/* A Release or Withdraw that must arrive: sent again until acknowledged. */
void effects_release(struct effects *effects, const char *home,
                     GQuark upstream, uint64_t grant,
                     const struct ch_timing_sample *sample);
void effects_withdraw(struct effects *effects, const char *home,
                      GQuark upstream, uint64_t enqueue);

/* ---- site.c: upstreams as listed and as seen ---- */

void site_init(struct ch_homes *homes);
void site_clear(struct ch_homes *homes);
/* Takes the platform's list; may close homes of what left it. */
void site_take_list(struct ch_homes *homes, const struct ch_host_list *list,
                    struct effects *effects);
struct upstream *site_find(const struct ch_homes *homes, GQuark name);
struct upstream *site_find_name(const struct ch_homes *homes,
                                const char *name);
struct ch_upstream_view *site_view(struct ch_homes *homes,
                                   const struct upstream *upstream);
struct upstream *upstream_ref(struct upstream *upstream);
void upstream_unref(struct upstream *upstream);
/* Takes a state that came from elsewhere, if it is newer. */
void site_take_state(struct ch_homes *homes,
                     const Chestnuthitch__Wire__UpstreamState *state,
                     int64_t now);
/* The upstream's state as a message; freed by site_free_state. */
Chestnuthitch__Wire__UpstreamState *
site_make_state(struct ch_homes *homes, const struct upstream *upstream);
void site_free_state(Chestnuthitch__Wire__UpstreamState *state);

/* ---- home_queue.c ---- */

struct ch_actions home_actions_new(void);
/* Does what a home's decisions ask for, and frees the list. */
void home_apply(struct ch_homes *homes, struct upstream *upstream,
                struct ch_actions *actions, int64_t now,
                struct effects *effects);
/* Offers work under a new ticket, whose handle is in *handle before the home
   answers. */
void home_offer(struct ch_homes *homes, struct upstream *upstream,
                struct ch_request_info *work, struct ticket *ticket,
                uint64_t *handle, int64_t now, struct effects *effects);
void home_open(struct ch_homes *homes, struct upstream *upstream, int64_t now,
               struct effects *effects);
void home_close(struct ch_homes *homes, struct upstream *upstream,
                struct effects *effects);
/* Puts a request of this node into the queue of a home on this node. */
void home_offer_local(struct ch_homes *homes, struct request *request,
                      int64_t now, struct effects *effects);
void home_release(struct ch_homes *homes, uint64_t ticket,
                  const struct ch_timing_sample *sample, int64_t now,
                  struct effects *effects);
void home_withdraw(struct ch_homes *homes, uint64_t ticket, int64_t now,
                   struct effects *effects);
void home_free_ticket(struct ticket *ticket);
void homes_refresh_loads(struct ch_homes *homes, int64_t now);
/* Refreshes the fleet's view of an upstream whose home is here. */
void home_refresh_view(struct ch_homes *homes, struct upstream *upstream,
                       int64_t now);

/* ---- home_members.c ---- */

/* Opens and closes homes as membership says; ends lost grants. */
void home_rehome(struct ch_homes *homes, int64_t now, struct effects *effects);

/* ---- home_report.c ---- */

/* What each home does every CH_HOME_TICK_US, reports among it. */
void home_tick_all(struct ch_homes *homes, int64_t now,
                   struct effects *effects);

/* ---- home_frames.c ---- */

void home_handlers(struct ch_homes *homes);

/* ---- home_ledger.c ---- */

/* Takes for resident what was told of the engine, until the ledger is read. */
void home_assume_view(struct ch_homes *homes, struct upstream *upstream,
                      int64_t now, struct effects *effects);
void home_assume_report(struct upstream *upstream,
                        const struct ch_report *report, int64_t now,
                        struct ch_actions *actions);
const struct ch_ledger_handlers *home_ledger_handlers(void);

/* ---- homes.c, for the homes here ---- */

/* Answers for a local request; routing it anew when its home went. */
void request_granted(struct ch_homes *homes, struct request *request,
                     uint32_t priority, struct effects *effects);
void request_refused(struct ch_homes *homes, struct request *request,
                     enum ch_code code, int64_t retry_after,
                     const char *message, int64_t now,
                     struct effects *effects);

/* True when the grant is from before a pause of this process: it was given
   back, and the request is on its way to a home again. */
bool request_is_stale(struct ch_homes *homes, uint64_t handle);
/* Counts a pause of this process when the last tick is long ago; lock held. */
void homes_note_pause(struct ch_homes *homes, int64_t now);

/* ---- homes_recur.c: each has itself run again until the homes stop ---- */

void homes_run_tick(void *data);
void homes_fetch_list(void *data);

/* ---- gossip.c ---- */

void gossip_handlers(struct ch_homes *homes);
/* Sends what there is to tell; without the lock. */
void gossip_round(struct ch_homes *homes, int64_t now);
/* Tells every live node that this one stops; without the lock. */
void gossip_stopping(struct ch_homes *homes);

#endif
