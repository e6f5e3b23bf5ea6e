#ifndef CH_NODE_H
#define CH_NODE_H

/*
 * The process of one entry node: its threads, tables and sockets. The
 * decisions themselves are made by decide/.
 *
 * Threads: one set serves HTTP to callers (libmicrohttpd's threads), others
 * make outgoing HTTP calls (ch_http), exchange frames with peers, run timers,
 * and form the worker pool. The first four kinds receive events and pass them
 * to the pool, on which the decisions are made.
 *
 * Lock order, outermost first; a thread that holds a lock takes only later
 * ones: exchange < frontend < response < response memory < homes < home <
 * config < once < ledger < crashes < quota < limits < slots < room < pace <
 * prefill < paths < streams < peers < pool, timers, http < metrics. No handler
 * of another package is called with a lock held.
 */

#include "base/base.h"
#include "decide/ledger.h"
#include "decide/once.h"
#include "decide/policy.h"
#include "net/net.h"
#include "platform/platform.h"
#include "notices/notices.h"
#include "prefill/prefill.h"
#include "room/room.h"
#include "pace/pace.h"
#include "slots/slots.h"
#include "upstream/upstream.h"
#include "wire/wire.h"

#include <json-glib/json-glib.h>

struct ch_crash_guard;
struct ch_dialect;
struct ch_limit_manager;
struct ch_path_manager;
struct ch_quota_manager;
struct ch_relay_server;
struct ch_response_memory;
struct ch_router;
struct ch_stream_manager;

/* Whether a node watches the key-value store for all nodes. */
enum ch_watch_duty {
    CH_WATCH_BY_RANK, /* nothing but the node's rank decides */
    CH_WATCHES,
    CH_WATCHES_NOT,
};

struct ch_node {
    struct ch_client *client;
    const struct ch_dialect *dialect; /* NULL: Chestnuthitch's own interface */
    const struct ch_settings *settings;
    uint64_t incarnation; /* start of the process, wall clock microseconds */
    int64_t started_at;   /* the same by ch_clock_get_boottime() */
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_http *http;
    struct ch_kv *kv;
    struct ch_host_source *hosts;
    struct ch_peers *peers;
    struct ch_config_manager *config;
    struct ch_once_manager *once;
    struct ch_ledger_manager *ledger;
    struct ch_crash_guard *crash_guard;
    struct ch_quota_manager *quota;
    struct ch_limit_manager *limits;
    struct ch_slots *slots;            /* NULL: no upstream is brittle */
    struct ch_prefill *prefill;        /* NULL: prompts are not spaced */
    struct ch_notices *notices;        /* NULL: upstreams say nothing */
    struct ch_room *room;              /* NULL: everything is admitted */
    struct ch_pace *pace;              /* NULL: switched off */
    struct ch_path_manager *paths;     /* NULL: every path is open */
    struct ch_stream_manager *streams; /* NULL where no caller takes up a
                                          stream of an earlier request */
    struct ch_response_memory *response_memory; /* NULL: without a bound */
    struct ch_homes *homes; /* NULL where each node routes by its own view of
                               the upstreams */
    struct ch_router *router;
    struct ch_relay_server *relay_server; /* NULL: relays no calls */
    struct ch_frontend *frontend;
    struct ch_admin *admin;
    int predecessor_listed; /* atomic: the host list still names an earlier
                    process of this host */
    int watch_duty;         /* atomic: enum ch_watch_duty */
};

/* Starts all components; NULL with an error. settings and dialect (NULL:
 * Chestnuthitch's own interface) must outlive the node. */
struct ch_node *ch_node_start(struct ch_client *client,
                              const struct ch_settings *settings,
                              const struct ch_dialect *dialect,
                              struct ch_error *error);
/* Stops gracefully: returns once every accepted request has its response. */
void ch_node_stop(struct ch_node *node);

/* Creates the count of brittle upstreams' slots (slots_peers.c). */
struct ch_slots *ch_node_create_slots(struct ch_node *node);
struct ch_prefill *ch_node_create_prefill(struct ch_node *node);
/* Creates the knowledge of upstreams' notices (notices_peers.c). */
struct ch_notices *ch_node_create_notices(struct ch_node *node);
/* Creates the knowledge of upstreams' load and pace (upstream_peers.c); NULL
 * if the settings switch it off. */
struct ch_pace *ch_node_create_pace(struct ch_node *node);

/* Creates the division of short room (upstream_peers.c); NULL if the settings
 * disable it. */
struct ch_room *ch_node_create_room(struct ch_node *node);

/* ---- peers (peers.c): frames to and from other nodes ---- */

struct ch_peers;

struct ch_peers *ch_peers_new(struct ch_node *node, struct ch_error *error);
/* To be called once all handlers are set. */
void ch_peers_start(struct ch_peers *peers);
void ch_peers_stop(struct ch_peers *peers);
void ch_peers_free(struct ch_peers *peers);
/*
 * Sends frame->body to the node of that name, which may be this node, without
 * waiting for a reply. Sets version, from, id and config_revision.
 */
void ch_peers_send(struct ch_peers *peers, const char *to,
                   Chestnuthitch__Wire__Frame *frame);
/*
 * Sends a frame and calls done(data, code, reply) exactly once, on a pool
 * worker. PEER_LOST: the connection was closed or no heartbeat came over it.
 * limit (microseconds) 0: no timeout while the connection lives; heartbeats
 * detect a dead one. Returns the request's ID.
 */
uint64_t
ch_peers_request(struct ch_peers *peers, const char *to,
                 Chestnuthitch__Wire__Frame *frame, int64_t limit,
                 void (*done)(void *data, enum ch_code code,
                              const Chestnuthitch__Wire__Frame *reply),
                 void *data);
/* Replies to a handled frame; `to` and `id` are that frame's. False: the
 * connection over which the frame came is closed, and the requesting node has
 * had PEER_LOST. */
bool ch_peers_reply(struct ch_peers *peers, const char *to, uint64_t id,
                    Chestnuthitch__Wire__Frame *frame);
/* Sets the handler of replies to requests that have already ended; the handler
 * runs on a pool worker. */
void ch_peers_set_late_reply_handler(
    struct ch_peers *peers,
    void (*handle)(void *data, const Chestnuthitch__Wire__Frame *frame),
    void *data);
/* Sets the handler of frames with one body case; the handler runs on a pool
 * worker. To be called before ch_peers_start() only. */
void ch_peers_set_handler(
    struct ch_peers *peers, Chestnuthitch__Wire__Frame__BodyCase body,
    void (*handle)(void *data, const Chestnuthitch__Wire__Frame *frame),
    void *data);
/* The live node that is the home node of a key, in one data centre (NULL: in
 * all). A new string; this node's own name when no other node is live. */
char *ch_peers_find_home(struct ch_peers *peers, uint64_t key,
                         const char *data_centre);
/* The home node of an upstream: in its data centre, else in its region, else
 * anywhere. A new string. */
char *ch_peers_find_upstream_home(struct ch_peers *peers, uint64_t key,
                                  const char *region, const char *data_centre);
/* Whether this node is the home node of an upstream. *becomes: whether this
 * node should become its home node; false while this node is not ready and
 * another node still serves the upstream. */
bool ch_peers_is_home(struct ch_peers *peers, uint64_t key, const char *region,
                      const char *data_centre, bool *becomes);
/* This node's rank for a role among itself and the live nodes of a data centre
 * and a region (NULL for either: all). 0 is first; hosts with more capacity
 * rank before others. Defined in peers_role.c, like ch_peers_has_role(). */
size_t ch_peers_get_rank(struct ch_peers *peers, uint64_t key,
                         const char *data_centre, const char *region);
/* Whether this node ranks among the first `count` nodes for a role: a task
 * that few nodes do for all. region: the nodes to rank (NULL: all nodes). */
bool ch_peers_has_role(struct ch_peers *peers, const char *role,
                       unsigned count, const char *region);
/* The node that ranks first for a role among the live nodes of a region; a new
 * string, or NULL without a live node there. include_self: this node counts
 * if it is in the region. Defined in peers_role.c. */
char *ch_peers_find_role_holder(struct ch_peers *peers, const char *role,
                                const char *region, bool include_self);
/* The same among the live nodes of a data centre of a region, this one
 * included if it is there. Defined in peers_role.c. */
char *ch_peers_find_centre_role_holder(struct ch_peers *peers,
                                       const char *role,
                                       const char *data_centre,
                                       const char *region);
/* Adds the names, as new strings, of the nodes that rank first for a role in
 * each data centre with live nodes other than this node's: those of its region
 * (same_region), or those of the others. Defined in peers_role.c. */
void ch_peers_list_role_holders(struct ch_peers *peers, const char *role,
                                bool same_region, GPtrArray *names);
/* Adds the names, as new strings, of the live nodes that rank first for the
 * records of a shard of the streams, in order; this node may be among them.
 * Defined in peers_role.c. */
void ch_peers_list_stream_holders(struct ch_peers *peers, unsigned shard,
                                  size_t max, GPtrArray *names);
bool ch_peers_is_live(struct ch_peers *peers, const char *name);
/* Whether the whole system started for the first time when this node did.
 * *known: a list has arrived. */
bool ch_peers_is_new_fleet(struct ch_peers *peers, bool *known);
/* Numbers of nodes, this one included. */
struct ch_peers_counts {
    size_t listed; /* in the host list; 0: no list has arrived yet */
    size_t live;
    size_t live_in_region;
    bool self_listed;        /* the list names this node */
    bool confirmed;          /* see ch_peers_confirm_listed() */
    int64_t predecessor_age; /* how long before this process the one before it
                                on this host started; 0: not known */
};
void ch_peers_count(struct ch_peers *peers, const char *region,
                    struct ch_peers_counts *counts);
/* Whether a node is in this node's region; true when the node or its region is
 * unknown. */
bool ch_peers_is_same_region(struct ch_peers *peers, const char *name);
/* A number that changes whenever the home node of any key may have changed. */
uint64_t ch_peers_get_version(struct ch_peers *peers);
/* Updates the known nodes from a complete host list of the platform. */
void ch_peers_update_list(struct ch_peers *peers,
                          const struct ch_host_list *list);
/* Records that the platform has just confirmed that this node is listed. It
 * counts as confirmed until shortly before its entry would expire. */
void ch_peers_confirm_listed(struct ch_peers *peers);
/* Whether any host list has arrived. Until then this node does not know the
 * others, so it must not take a role because it ranks first or seems to be
 * alone. */
bool ch_peers_has_list(struct ch_peers *peers);
/* Whether a node can decompress messages, as every node that reports its
 * capacity can. */
bool ch_peers_can_decompress(struct ch_peers *peers, const char *name);
/* When the last message came from the node; 0: the node is unknown.
 * *incarnation (may be NULL) is set to that of its process. */
int64_t ch_peers_get_last_heard(struct ch_peers *peers, const char *name,
                                uint64_t *incarnation);
/* Adds the names of silent nodes, to be sent in gossip. */
void ch_peers_collect_hints(struct ch_peers *peers, GPtrArray *silent_names);
/* Updates the known nodes from the gossip of another node. */
void ch_peers_handle_gossip(struct ch_peers *peers,
                            const Chestnuthitch__Wire__Gossip *gossip);
/* The port in use, also when the kernel chose it. */
uint16_t ch_peers_get_port(const struct ch_peers *peers);
/* Marks this node as stopping: it is no longer the home node of any key,
 * unless no other node is live. */
void ch_peers_set_stopping(struct ch_peers *peers);
/* Adds the names of the other live nodes, as new strings in the order of names
 * that begins after this node's own: those in this node's data centre to
 * `local`, the rest to `remote`. */
void ch_peers_list_others(struct ch_peers *peers, GPtrArray *local,
                          GPtrArray *remote);
/* Calls each() for every other live node, with the peers' lock held. */
void ch_peers_foreach_other(struct ch_peers *peers,
                            void (*each)(void *data, const char *name,
                                         const char *data_centre,
                                         const char *region),
                            void *data);
/* A live node that relays calls. */
struct ch_peers_relay {
    const char *name;
    const char *address; /* ip:port of its peers listener */
    uint16_t port;       /* where it relays calls, at the same IP address */
    const char *data_centre;
    const char *region;
    uint32_t capacity;
};
/* Calls each() for every other live node that relays calls and is not cut off
 * from the upstreams itself, with the peers' lock held. */
void ch_peers_foreach_relay(struct ch_peers *peers,
                            void (*each)(void *data,
                                         const struct ch_peers_relay *relay),
                            void *data);
/* Sets the port at which this node relays calls; before ch_peers_start(). */
void ch_peers_set_relay_port(struct ch_peers *peers, uint16_t port);
/* Sets whether this node is cut off from the upstreams. It is then no home
 * node while another node is ready. */
void ch_peers_set_no_path(struct ch_peers *peers, bool no_path);
/* Sends a ping to all other live nodes, with the state of this one; the
 * answers bring theirs. */
void ch_peers_ping_all(struct ch_peers *peers);
/* Sorted names of all live nodes including this one; free with g_strfreev().
 */
char **ch_peers_list_live(struct ch_peers *peers);

/* ---- the configuration in force ---- */

struct ch_config_manager;

struct ch_config_manager *ch_config_manager_new(struct ch_node *node);
void ch_config_manager_start(struct ch_config_manager *manager);
void ch_config_manager_stop(struct ch_config_manager *manager);
void ch_config_manager_free(struct ch_config_manager *manager);
/* A new reference to the configuration in force; NULL while none is known. */
struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager);
/* Reports a revision seen in a frame; a higher one than this node's is fetched
 * from that node. */
void ch_config_manager_note_revision(struct ch_config_manager *manager,
                                     uint64_t revision, const char *from);
/* Whether a newer configuration than the one in force here is known to exist:
 * it is being parsed, or another node named its revision lately. */
bool ch_config_manager_is_behind(struct ch_config_manager *manager);
/* Writes a new declaration by compare-and-swap against revision `base`. The
 * error code is OK, KV_CONFLICT (config is then the one in force),
 * KV_UNREACHABLE, KV_AMBIGUOUS or the code of the declaration's fault. */
void
ch_config_manager_apply(struct ch_config_manager *manager, const char *text,
                        const char *author, uint64_t base,
                        void (*done)(void *data, const struct ch_error *error,
                                     struct ch_config *config),
                        void *data);

/* ---- at-most-once records ---- */

struct ch_once_result {
    enum ch_once_state state;
    uint64_t attempt; /* to be passed to ch_once_manager_finish() */
    bool response_stored;
    int status;
    const char *content_type;
    const void *body;
    size_t body_length;
};

struct ch_once_manager;

struct ch_once_manager *ch_once_manager_new(struct ch_node *node);
void ch_once_manager_stop(struct ch_once_manager *manager);
void ch_once_manager_free(struct ch_once_manager *manager);
/* Calls done exactly once, on a pool worker. fingerprint: hash of method, path
 * and body. */
void ch_once_manager_begin(struct ch_once_manager *manager, const char *caller,
                           const char *key, uint64_t fingerprint,
                           void (*done)(void *data,
                                        const struct ch_once_result *answer),
                           void *data);
/* Ends a request for which ch_once_manager_begin() gave CREATED: stores the
 * whole response, or, with not_run, frees the key again because the request
 * certainly did not run. Without this call the record stays in progress and
 * the outcome unknown. done (may be NULL) runs after the response was stored
 * or could not be stored. */
void ch_once_manager_finish(struct ch_once_manager *manager,
                            const char *caller, const char *key,
                            uint64_t attempt, bool not_run, int status,
                            const char *content_type, const void *body,
                            size_t length, void (*done)(void *data, bool kept),
                            void *data);

/* ---- ledgers of the upstreams whose home node this is ---- */

struct ch_ledger_manager;

/* changed: the ledger as now known, after every change; failed: a load or
 * unload order that will not be carried out. Both run on a pool worker. */
struct ch_ledger_handlers {
    void (*changed)(void *data, GQuark upstream,
                    const struct ch_ledger *ledger);
    void (*failed)(void *data, GQuark upstream, GQuark item,
                   enum ch_action_kind kind, enum ch_code code);
};

struct ch_ledger_manager *
ch_ledger_manager_new(struct ch_node *node,
                      const struct ch_ledger_handlers *handlers, void *data);
void ch_ledger_manager_stop(struct ch_ledger_manager *manager);
void ch_ledger_manager_free(struct ch_ledger_manager *manager);
/* Open and close a ledger when this node becomes the home node of an upstream
 * and ceases to be. engine must live until close returns. */
void ch_ledger_manager_open(struct ch_ledger_manager *manager, GQuark upstream,
                            struct ch_upstream *engine, uint32_t capacity_mb);
void ch_ledger_manager_close(struct ch_ledger_manager *manager,
                             GQuark upstream);
/* Reserves the memory by compare-and-swap, then sends the load order;
 * `changed` shows the result. */
void ch_ledger_manager_load(struct ch_ledger_manager *manager, GQuark upstream,
                            GQuark item, uint32_t memory_mb);
void ch_ledger_manager_unload(struct ch_ledger_manager *manager,
                              GQuark upstream, GQuark item);
/* Updates the ledger from a report of the engine's state. */
void ch_ledger_manager_handle_report(struct ch_ledger_manager *manager,
                                     GQuark upstream,
                                     const struct ch_engine_report *report);

/* ---- routers: which upstream a request goes to, and when ---- */

struct ch_grant {
    uint64_t handle; /* of the request; to be passed to release */
    GQuark upstream;
    uint64_t boot_id;    /* of the upstream; 0: unknown */
    GQuark version;      /* of its software; 0: unknown */
    uint64_t version_id; /* of its software */
    /* Another process may run under its name than boot_id and version_id
     * describe. */
    bool may_have_restarted;
    struct ch_upstream *client; /* valid until release */
    const char *address; /* "ip:port", valid until release; NULL: unknown */
    uint32_t priority;
    bool other_region;
    /* No other upstream can take the request; see ch_limit_counter_take(). */
    bool is_last_resort;
    int64_t token_time; /* measured time of a token there; 0: none yet */
    /* Predicted time until the first byte of the response, from the upstream's
     * known load; 0: its load is unknown. */
    int64_t expected_latency;
    GQuark region; /* of the upstream */
    /* How its prompt is spaced from those before it; cost 0: it is not. */
    struct ch_prefill_rule prefill;
};

/* Exactly one of the two handlers runs, once, on a pool worker. */
struct ch_router_handlers {
    void (*granted)(void *data, const struct ch_grant *grant);
    void (*refused)(void *data, enum ch_code code, int64_t retry_after,
                    const char *message);
};

struct ch_router_ops {
    void (*start)(struct ch_router *router);
    /* True once this node knows enough of the upstreams to route. */
    bool (*is_ready)(struct ch_router *router);
    /* The request info is copied. excluded: GQuarks of upstreams not to use
     * (may be NULL). One of the handlers runs once, unless the request is
     * withdrawn. */
    uint64_t (*request)(struct ch_router *router,
                        const struct ch_request_info *info,
                        const GArray *excluded,
                        const struct ch_router_handlers *handlers, void *data);
    /* True: neither handler will run. False: a handler has run or is about to
     * run; a grant must then be released as usual. */
    bool (*withdraw)(struct ch_router *router, uint64_t handle);
    /* Whether the upstream of a grant may still be called by what the list of
     * upstreams says now; the operation may be NULL. */
    bool (*may_call)(struct ch_router *router, uint64_t handle);
    /* Reports that a granted request waited until now before it is sent; the
     * operation may be NULL. */
    void (*record_delay)(struct ch_router *router, uint64_t handle);
    /* Reports the first event of a granted request's response; the operation
     * may be NULL. */
    void (*record_first_byte)(struct ch_router *router, uint64_t handle);
    /* Exactly once for each grant. */
    void (*release)(struct ch_router *router, uint64_t handle,
                    const struct ch_timing_sample *sample);
    /* Hands this node's work for other nodes over to them, since this node is
     * stopping. */
    void (*drain)(struct ch_router *router);
    void (*stop)(struct ch_router *router);
    void (*free)(struct ch_router *router);
    /* Adds JSON members to an open object. */
    void (*write_status)(struct ch_router *router, JsonBuilder *builder);
    /* Microseconds since the list of upstreams was last known to be current,
     * G_MAXINT64: it never was; the operation may be NULL. */
    int64_t (*get_list_age)(struct ch_router *router);
};

struct ch_router {
    const struct ch_router_ops *ops;
};

/* ---- homes (homes.c): get grants from upstreams' home nodes ---- */

struct ch_homes;

/* The homes as a router, valid until ch_homes_free(). */
struct ch_router *ch_homes_get_router(struct ch_homes *homes);

struct ch_homes *ch_homes_new(struct ch_node *node);
void ch_homes_start(struct ch_homes *homes);
void ch_homes_stop(struct ch_homes *homes);
void ch_homes_free(struct ch_homes *homes);
/* True once this node knows enough of the upstreams to route. */
bool ch_homes_is_ready(struct ch_homes *homes);
/* As `request` in struct ch_router_ops. */
uint64_t ch_homes_request(struct ch_homes *homes,
                          const struct ch_request_info *info,
                          const GArray *excluded,
                          const struct ch_router_handlers *handlers,
                          void *data);
/* Hands the upstreams and their queued requests over to other home nodes,
 * since this node is stopping. */
void ch_homes_drain(struct ch_homes *homes);
/* True: neither handler will run. False: a handler has run or is about to run;
 * a grant must then be released as usual. */
bool ch_homes_withdraw(struct ch_homes *homes, uint64_t handle);
/* Exactly once for each grant. */
void ch_homes_release(struct ch_homes *homes, uint64_t handle,
                      const struct ch_timing_sample *sample);
/* Adds upstreams, their home nodes and their resident items as JSON members to
 * an open object. */
void ch_homes_write_status(struct ch_homes *homes, JsonBuilder *builder);
void ch_peers_write_status(struct ch_peers *peers, JsonBuilder *builder);
/* Frames and bytes to and from other nodes, by kind: as Prometheus text, and
 * as the array "traffic" of an open object. */
void ch_peers_render_metrics(const struct ch_peers *peers, GString *out);
void ch_peers_write_traffic(const struct ch_peers *peers,
                            JsonBuilder *builder);

/* ---- front end: the callers' listener, and exchanges ---- */

struct ch_frontend;

struct ch_frontend *ch_frontend_new(struct ch_node *node,
                                    struct ch_error *error);
/* Makes the node not ready at once; keeps serving for settings->drain_ms, then
 * refuses new requests with STOPPING; returns when no request is open. */
void ch_frontend_stop(struct ch_frontend *frontend);
/* Abandons the running exchanges of requests that have been barred meanwhile.
 */
void ch_frontend_abandon_barred(struct ch_frontend *frontend);
void ch_frontend_free(struct ch_frontend *frontend);
/* Adds the member "upstream_bytes" to an open object if requests at upstreams
 * are bounded. */
void ch_frontend_write_status(struct ch_frontend *frontend,
                              JsonBuilder *builder);
/* True when a configuration and the upstreams are known and the node is not
   stopping. */
bool ch_node_is_ready(struct ch_node *node);

/* ---- admin (admin.c): the listener for operators and the platform ---- */

/*
 * Serves GET /healthz, /readyz, /metrics, /admin/v1/status and
 * /admin/v1/config; POST /admin/v1/config?base=REVISION&author=NAME and
 * /admin/v1/release?digest=DIGEST. Only the first three are also on the
 * callers' listener.
 */
struct ch_admin;

struct ch_admin *ch_admin_new(struct ch_node *node, struct ch_error *error);
void ch_admin_stop(struct ch_admin *admin);
void ch_admin_free(struct ch_admin *admin);

#endif
