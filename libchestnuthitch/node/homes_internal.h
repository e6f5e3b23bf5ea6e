#ifndef CH_NODE_HOMES_INTERNAL_H
#define CH_NODE_HOMES_INTERNAL_H

/*
 * State shared by homes.c (requests of this node's callers), home_*.c
 * (upstreams whose home is on this node), upstream_list.c (the known
 * upstreams) and gossip.c.  One lock guards all of it: at the sizes of
 * docs/CAPACITY.md a node takes some tens of decisions a second, each of
 * microseconds, so a finer lock would gain nothing.  Effects (frames,
 * callbacks, load and unload orders) are collected under the lock and carried
 * out after it is released.
 */

#include "node/node.h"

#include <pthread.h>

struct upstream {
    GQuark name;
    uint64_t key; /* for rendezvous hashing */
    enum ch_host_kind kind;
    char *address;
    char *region;
    char *data_centre;
    struct ch_upstream *client;
    int references;
    bool listed;
    bool listed_draining;
    bool draining;    /* according to the host list, or to its responses */
    bool ledger_read; /* since this node became home */
    bool report_in_flight;
    bool unpublished; /* changed since it was last sent to other nodes */
    uint32_t capacity_mb;
    uint32_t accelerators;
    uint32_t max_batch;
    GQuark service;
    GQuark version;      /* of its software; 0: not known */
    uint64_t version_id; /* of its software */
    /* Version of the state in the fleet view. */
    uint64_t incarnation;
    uint64_t sequence;
    /* Fields of the upstream's home; home is NULL while another node is
       home. */
    struct ch_home *home;
    uint64_t published_hash; /* of the last published state */
    int64_t published_at;
    int64_t next_report_at;
    int64_t fast_reports_until; /* until then reports are requested at every
                                   tick */
    unsigned report_failures;
    int64_t down_until;  /* services only, set after a refused connection */
    GArray *known_items; /* GQuark: items in the ledger when last read */
};

/* A request that waits at a home of this node or was granted by it.  Its
   handle in ch_homes.tickets is the request ID that the home uses. */
struct ticket {
    struct upstream *upstream;
    char *from_node; /* entry node of the request; NULL: this node */
    uint64_t from_incarnation;
    /* ID of the Enqueue message, or handle of the local request. */
    uint64_t enqueue_id;
    bool granted;
    int64_t created_at;
};

enum request_state {
    REQUEST_ROUTING,
    REQUEST_QUEUED_LOCAL,
    REQUEST_QUEUED_REMOTE,
    REQUEST_GRANTED_LOCAL,
    REQUEST_GRANTED_REMOTE,
};

struct request {
    uint64_t handle;
    enum request_state state;
    struct ch_request_info info;
    /* GQuark: upstreams that refused the request or failed with it. */
    GArray *excluded;
    /* Number of entries at the start of excluded that failed with the
       request. */
    guint failed_count;
    const struct ch_router_handlers *handlers;
    void *data;
    bool withdrawn;
    unsigned reroute_count; /* homes that refused the request or were lost */
    /* What the last home to refuse the request replied; CH_OK: none
       refused. */
    enum ch_code last_refusal;
    int64_t last_retry_after;
    char *last_refusal_message;
    struct upstream *upstream;
    char *home_node;     /* name of the node that is the upstream's home */
    uint64_t enqueue_id; /* ID of the Enqueue message */
    /* Ticket handle of a local home, or grant ID of a remote home. */
    uint64_t grant_handle;
    /* Value of ch_homes.pause_count when the request was sent to its home. */
    uint64_t pause_count;
};

struct ch_homes {
    struct ch_router router;
    struct ch_node *node;
    const struct ch_policy *policy;
    pthread_mutex_t lock;
    pthread_cond_t idle;
    unsigned pending_jobs; /* recurring jobs that are waiting or running */
    uint64_t list_timer;   /* of the next fetch of the host list */
    bool stopping;
    bool draining;
    int64_t first_list_at; /* when the first host list arrived; 0: none yet */
    GPtrArray *upstreams;  /* sorted by name, as fleet.upstreams */
    struct ch_fleet fleet;
    GPtrArray *regions; /* names; the fleet view refers to them by index */
    GPtrArray *data_centres;
    struct ch_table *requests;
    struct ch_table *tickets;
    struct ch_token_bucket load_budget;
    struct ch_token_bucket link_budget;
    uint64_t sequence;
    int64_t last_tick_at; /* time of the last tick */
    uint64_t pause_count; /* times that this process was suspended for long */
    int64_t next_rehome_at;
    int64_t next_gossip_at;
    /* Position in the list of local peers of the next one to send gossip to;
       likewise for remote peers. */
    unsigned next_local_peer;
    unsigned next_remote_peer;
    /* Version of the membership for which homes were last assigned. */
    uint64_t homes_version;
    /* Assign homes again: the host list changed or a home was opened for
       another node's request. */
    bool rehome_needed;
    unsigned live_count; /* live nodes when last counted */
    bool publish_all;    /* live_count changed: publish every state again */
    GRand *random;
};

/* ---- effects: carried out after the lock is released (effects.c) ---- */

struct effects {
    GPtrArray *list;
};

void effects_init(struct effects *effects);
/* Like effects_run, but on the pool: for callers whose handlers must not run
   before they return. */
void effects_submit(struct ch_homes *homes, struct effects *effects);
/* Carries out all effects and empties the list.  Called without the lock. */
void effects_run(struct ch_homes *homes, struct effects *effects);
void effects_add_granted(struct effects *effects,
                         const struct request *request, struct ch_homes *homes,
                         uint32_t priority);
void effects_add_refused(struct effects *effects,
                         const struct request *request, enum ch_code code,
                         int64_t retry_after, const char *message);
void effects_add_grant_frame(struct effects *effects,
                             const struct ticket *ticket, uint64_t handle,
                             uint32_t priority, const struct ch_homes *homes);
void effects_add_refuse_frame(struct effects *effects,
                              const struct ticket *ticket, enum ch_code code,
                              int64_t retry_after, const char *message,
                              const struct ch_homes *homes);
void effects_add_order(struct effects *effects,
                       const struct upstream *upstream,
                       enum ch_action_kind kind, GQuark item,
                       uint32_t memory_mb);
/* Opens or closes the upstream's ledger. */
void effects_add_ledger_change(struct effects *effects,
                               struct upstream *upstream, bool open);
/* Sends a Release or Withdraw again until it is acknowledged. */
void effects_add_release(struct effects *effects, const char *home,
                         GQuark upstream, uint64_t grant,
                         const struct ch_timing_sample *sample);
void effects_add_withdraw(struct effects *effects, const char *home,
                          GQuark upstream, uint64_t enqueue);

/* ---- upstream_list.c: upstreams of the host list and their state ---- */

void upstream_list_init(struct ch_homes *homes);
void upstream_list_clear(struct ch_homes *homes);
/* Applies a complete host list.  Closes the homes of upstreams that are no
   longer listed. */
void upstream_list_update(struct ch_homes *homes,
                          const struct ch_host_list *list,
                          struct effects *effects);
/* Takes over which upstreams drain according to their responses. */
void upstream_list_update_draining(struct ch_homes *homes);
struct upstream *upstream_list_find(const struct ch_homes *homes, GQuark name);
struct upstream *upstream_list_find_name(const struct ch_homes *homes,
                                         const char *name);
struct ch_upstream_view *
upstream_list_get_view(struct ch_homes *homes,
                       const struct upstream *upstream);
struct upstream *upstream_ref(struct upstream *upstream);
void upstream_unref(struct upstream *upstream);
/* Applies a state received from another node if it is newer. */
void upstream_list_apply_state(struct ch_homes *homes,
                               const Chestnuthitch__Wire__UpstreamState *state,
                               int64_t now);
/* Builds the message that describes the upstream's state, or NULL when it is
   no longer listed.  Free it with upstream_free_state. */
Chestnuthitch__Wire__UpstreamState *
upstream_make_state(struct ch_homes *homes, const struct upstream *upstream);
void upstream_free_state(Chestnuthitch__Wire__UpstreamState *state);

/* ---- home_queue.c ---- */

struct ch_actions home_actions_new(void);
/* Carries out the actions that a home decided on, and frees the list. */
void home_apply_actions(struct ch_homes *homes, struct upstream *upstream,
                        struct ch_actions *actions, int64_t now,
                        struct effects *effects);
/* Queues a request at a home.  The new ticket then belongs to
   ch_homes.tickets; *handle is set before the home decides. */
void home_enqueue(struct ch_homes *homes, struct upstream *upstream,
                  struct ch_request_info *info, struct ticket *ticket,
                  uint64_t *handle, int64_t now, struct effects *effects);
/* What the host list states of an upstream, for its home; the strings stay the
 * upstream's. */
struct ch_upstream_config home_get_config(const struct ch_homes *homes,
                                          const struct upstream *upstream);
void home_open(struct ch_homes *homes, struct upstream *upstream, int64_t now,
               struct effects *effects);
void home_close(struct ch_homes *homes, struct upstream *upstream,
                struct effects *effects);
/* Queues a request of this node at a home on this node. */
void home_enqueue_local(struct ch_homes *homes, struct request *request,
                        int64_t now, struct effects *effects);
void home_release(struct ch_homes *homes, uint64_t handle,
                  const struct ch_timing_sample *sample, int64_t now,
                  struct effects *effects);
void home_withdraw(struct ch_homes *homes, uint64_t handle, int64_t now,
                   struct effects *effects);
void home_free_ticket(struct ticket *ticket);
void homes_update_loads_left(struct ch_homes *homes, int64_t now);
/* Updates the fleet view of an upstream whose home is on this node. */
void home_refresh_view(struct ch_homes *homes, struct upstream *upstream,
                       int64_t now);

/* ---- home_members.c ---- */

/* Opens and closes homes according to the membership; ends lost grants. */
void homes_assign(struct ch_homes *homes, int64_t now,
                  struct effects *effects);

/* ---- home_report.c ---- */

/* Runs the periodic work of each home, every CH_HOME_TICK_US; requests
   reports.  Takes the lock itself. */
void home_tick_all(struct ch_homes *homes, int64_t now,
                   struct effects *effects);

/* ---- home_frames.c ---- */

void home_register_handlers(struct ch_homes *homes);

/* ---- home_ledger.c ---- */

/* Both treat the items that were reported for the upstream as resident until
   the ledger has been read. */
void home_assume_published_items(struct ch_homes *homes,
                                 struct upstream *upstream, int64_t now,
                                 struct effects *effects);
void home_assume_reported_items(struct upstream *upstream,
                                const struct ch_engine_report *report,
                                int64_t now, struct ch_actions *actions);
const struct ch_ledger_handlers *home_ledger_handlers(void);

/* ---- homes.c: replies of homes to this node's requests ---- */

/* Both handle a home's reply to a local request.  A refused request may be
   routed again to another home. */
void request_handle_grant(struct ch_homes *homes, struct request *request,
                          uint32_t priority, struct effects *effects);
void request_handle_refusal(struct ch_homes *homes, struct request *request,
                            enum ch_code code, int64_t retry_after,
                            const char *message, int64_t now,
                            struct effects *effects);

/* True when the process was suspended since the request was sent to its home.
   The grant is then released and the request routed again. */
bool request_is_stale(struct ch_homes *homes, uint64_t handle);
/* Records a pause of this process when the last tick is long ago.  Lock
   held. */
void homes_record_pause(struct ch_homes *homes, int64_t now);

/* ---- homes_recur.c: each schedules itself again until the homes stop ---- */

void homes_run_tick(void *data);
void homes_fetch_host_list(void *data);
/* Takes over which upstreams drain according to their responses; once. */
void homes_update_draining(void *data);

/* ---- gossip.c ---- */

void gossip_register_handlers(struct ch_homes *homes);
/* Sends the gossip messages that are due.  Called without the lock. */
void gossip_send_due(struct ch_homes *homes, int64_t now);
/* Tells every live node that this node is stopping.  Called without the
   lock. */
void gossip_announce_stop(struct ch_homes *homes);

#endif
