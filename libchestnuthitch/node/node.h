#ifndef CH_NODE_H
#define CH_NODE_H

/*
 * One entry host's process: threads, tables and sockets around the decisions.
 *
 * Threads: HTTP to callers (libmicrohttpd's own), HTTP out (ch_http), peers,
 * timers, and the pool of workers.  The first four take events and hand them
 * to the pool; decisions run on the pool.
 *
 * Lock order, outermost first; a thread that holds one takes only later ones:
 *   exchange < front < reply < homes < home < config < once < ledger
 *   < crashes < peers < pool, timers, http < metrics.
 * No handler of another package is called with a lock held.
 */

#include "base/base.h"
#include "decide/ledger.h"
#include "decide/once.h"
#include "decide/policy.h"
#include "net/net.h"
#include "platform/platform.h"
#include "upstream/upstream.h"
#include "wire/wire.h"

#include <json-glib/json-glib.h>

struct ch_crash_keeper;
struct ch_dialect;
struct ch_router;

struct ch_node {
    struct ch_client *client;
    const struct ch_dialect *dialect; /* NULL: our own interface */
    const struct ch_settings *settings;
    uint64_t incarnation; /* start of the process, wall clock microseconds */
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_http *http;
    struct ch_kv *kv;
    struct ch_hosts *hosts;
    struct ch_peers *peers;
    struct ch_config_keeper *config;
    struct ch_once_keeper *once;
    struct ch_ledger_keeper *ledger;
    struct ch_crash_keeper *crashes;
    struct ch_homes *homes; /* NULL where nodes route by their own view */
    struct ch_router *router;
    struct ch_front *front;
    struct ch_admin *admin;
    int returns; /* an earlier process of this host is listed still; atomic */
};

/* Starts everything; NULL with an error.  settings and dialect (NULL: our own
   interface) outlive the node. */
struct ch_node *ch_node_start(struct ch_client *client,
                              const struct ch_settings *settings,
                              const struct ch_dialect *dialect,
                              struct ch_error *error);
/* Graceful: returns when all that was accepted is answered. */
void ch_node_stop(struct ch_node *node);

/* ---- peers (peers.c): frames to and from other nodes ---- */

struct ch_peers;

struct ch_peers *ch_peers_new(struct ch_node *node, struct ch_error *error);
/* After the handlers were set. */
void ch_peers_start(struct ch_peers *peers);
void ch_peers_stop(struct ch_peers *peers);
void ch_peers_free(struct ch_peers *peers);
/*
 * Sends frame->body to a node by name (this node's own name works too) and
 * forgets it.  The peers fill in version, from, id and config_revision.
 */
void ch_peers_send(struct ch_peers *peers, const char *to,
                   Chestnuthitch__Wire__Frame *frame);
/*
 * Sends and waits for the reply: done(data, code, reply) exactly once, on a
 * pool worker.  PEER_LOST: the connection went or fell silent.  limit 0: as
 * long as the connection lives (heartbeats watch over it).  Returns the id.
 */
uint64_t
ch_peers_request(struct ch_peers *peers, const char *to,
                 Chestnuthitch__Wire__Frame *frame, int64_t limit,
                 void (*done)(void *data, enum ch_code code,
                              const Chestnuthitch__Wire__Frame *reply),
                 void *data);
/* Replies to a frame that was handled; `to` and `id` from that frame.  False:
   the connection that it came by is gone, and the asker has been told so. */
bool ch_peers_reply(struct ch_peers *peers, const char *to, uint64_t id,
                    Chestnuthitch__Wire__Frame *frame);
/* Replies that nobody waits for any more, on a pool worker. */
void ch_peers_handle_late(
    struct ch_peers *peers,
    void (*handle)(void *data, const Chestnuthitch__Wire__Frame *frame),
    void *data);
/* Handles frames of one body case, on a pool worker; before start alone. */
void ch_peers_handle(struct ch_peers *peers,
                     Chestnuthitch__Wire__Frame__BodyCase body,
                     void (*handle)(void *data,
                                    const Chestnuthitch__Wire__Frame *frame),
                     void *data);
/* The live node that is home of a key, in one data centre (NULL: in all).
   A new string; this node's own name when it is alone. */
char *ch_peers_home(struct ch_peers *peers, uint64_t key,
                    const char *data_centre);
/* As above for an upstream: its data centre, else its region, else any. */
char *ch_peers_upstream_home(struct ch_peers *peers, uint64_t key,
                             const char *region, const char *data_centre);
/* Whether this node is home of it, and whether it should become so: not yet
   while it is not ready and another node still serves. */
bool ch_peers_is_home(struct ch_peers *peers, uint64_t key, const char *region,
                      const char *data_centre, bool *becomes);
/* This node's place for a duty among itself and the live nodes of a data
   centre and a region, NULL for either: of all.  0 is the first; hosts that
   can do more come before others.  (peers_role.c, like the next) */
size_t ch_peers_rank(struct ch_peers *peers, uint64_t key,
                     const char *data_centre, const char *region);
/* Whether this node is one of the `count` first that do something for all
   others.  region NULL: of all nodes; else of those of a region. */
bool ch_peers_has_role(struct ch_peers *peers, const char *role,
                       unsigned count, const char *region);
/* Whether a node is of this node's region; true for one that is not known. */
bool ch_peers_is_near(struct ch_peers *peers, const char *name);
/* The same number for as long as no home can have moved. */
uint64_t ch_peers_version(struct ch_peers *peers);
/* The platform's list, whole. */
void ch_peers_list(struct ch_peers *peers, const struct ch_host_list *list);
/* Whether a list came by now: what few nodes do for all is not this node's for
   want of knowing the others. */
bool ch_peers_listed(struct ch_peers *peers);
/* Whether a node unpacks messages, as all do that tell their capacity. */
bool ch_peers_unpacks(struct ch_peers *peers, const char *name);
/* When anything last came from the node; 0: it is not known.  incarnation
   (may be NULL): of its process. */
int64_t ch_peers_heard(struct ch_peers *peers, const char *name,
                       uint64_t *incarnation);
/* Members to tell of in gossip, and what others tell. */
void ch_peers_hints(struct ch_peers *peers, GPtrArray *silent_names);
void ch_peers_told(struct ch_peers *peers,
                   const Chestnuthitch__Wire__Gossip *gossip);
/* The port that the kernel gave. */
uint16_t ch_peers_port(const struct ch_peers *peers);
/* This node stops: no key has its home here, unless it is alone. */
void ch_peers_stopping(struct ch_peers *peers);
/* Adds the names of the other live nodes, new strings in one order: those of
   this node's data centre, and those of others. */
void ch_peers_others(struct ch_peers *peers, GPtrArray *near, GPtrArray *far);
/* Calls each for every other live node, with the peers' lock held. */
void ch_peers_each_other(struct ch_peers *peers,
                         void (*each)(void *data, const char *name,
                                      const char *data_centre,
                                      const char *region),
                         void *data);
/* Names of the live nodes, this one among them, sorted; g_strfreev. */
char **ch_peers_live(struct ch_peers *peers);

/* ---- configuration in force (config_keeper.c) ---- */

struct ch_config_keeper;

struct ch_config_keeper *ch_config_keeper_new(struct ch_node *node);
void ch_config_keeper_start(struct ch_config_keeper *keeper);
void ch_config_keeper_stop(struct ch_config_keeper *keeper);
void ch_config_keeper_free(struct ch_config_keeper *keeper);
/* A reference, or NULL: none known yet. */
struct ch_config *ch_config_keeper_current(struct ch_config_keeper *keeper);
/* Some frame bore a higher revision: pull it from that node. */
void ch_config_keeper_learn(struct ch_config_keeper *keeper, uint64_t revision,
                            const char *from);
/* Compare-and-swap against base: OK, KV_CONFLICT (config is the one in force),
   KV_UNREACHABLE, KV_AMBIGUOUS or what the declaration fails on. */
void ch_config_keeper_apply(struct ch_config_keeper *keeper, const char *text,
                            const char *author, uint64_t base,
                            void (*done)(void *data,
                                         const struct ch_error *error,
                                         struct ch_config *config),
                            void *data);

/* ---- at most once (once_keeper.c) ---- */

struct ch_once_answer {
    enum ch_once_state state;
    uint64_t attempt; /* to be given to finish */
    bool kept;
    int status;
    const char *content_type;
    const void *body;
    size_t length;
};

struct ch_once_keeper;

struct ch_once_keeper *ch_once_keeper_new(struct ch_node *node);
void ch_once_keeper_stop(struct ch_once_keeper *keeper);
void ch_once_keeper_free(struct ch_once_keeper *keeper);
/* done once, on a pool worker.  fingerprint: hash of method, path and body. */
void ch_once_keeper_begin(struct ch_once_keeper *keeper, const char *caller,
                          const char *key, uint64_t fingerprint,
                          void (*done)(void *data,
                                       const struct ch_once_answer *answer),
                          void *data);
/* After CREATED: the whole answer, or not_run when it certainly did not run
   (the key is then free again).  Without a call it stays RUNNING: unknown.
   done (may be NULL) after it is kept or could not be. */
void ch_once_keeper_finish(struct ch_once_keeper *keeper, const char *caller,
                           const char *key, uint64_t attempt, bool not_run,
                           int status, const char *content_type,
                           const void *body, size_t length,
                           void (*done)(void *data, bool kept), void *data);

/* ---- ledgers of the upstreams that this node is home of ---- */

struct ch_ledger_keeper;

/* changed: the ledger as now known, after every change; failed: an order that
   will not be done.  Both on a pool worker. */
struct ch_ledger_handlers {
    void (*changed)(void *data, GQuark upstream,
                    const struct ch_ledger *ledger);
    void (*failed)(void *data, GQuark upstream, GQuark item,
                   enum ch_action_kind kind, enum ch_code code);
};

struct ch_ledger_keeper *
ch_ledger_keeper_new(struct ch_node *node,
                     const struct ch_ledger_handlers *handlers, void *data);
void ch_ledger_keeper_stop(struct ch_ledger_keeper *keeper);
void ch_ledger_keeper_free(struct ch_ledger_keeper *keeper);
/* This node became or ceased to be home; engine lives until close returns. */
void ch_ledger_keeper_open(struct ch_ledger_keeper *keeper, GQuark upstream,
                           struct ch_upstream *engine, uint32_t capacity_mb);
void ch_ledger_keeper_close(struct ch_ledger_keeper *keeper, GQuark upstream);
/* Reserves by compare-and-swap, then orders; done shows in `changed`. */
void ch_ledger_keeper_load(struct ch_ledger_keeper *keeper, GQuark upstream,
                           GQuark item, uint32_t memory_mb);
void ch_ledger_keeper_unload(struct ch_ledger_keeper *keeper, GQuark upstream,
                             GQuark item);
/* Evidence from the engine. */
void ch_ledger_keeper_report(struct ch_ledger_keeper *keeper, GQuark upstream,
                             const struct ch_report *report);

/* ---- routers: which upstream a request goes to, and when ---- */

struct ch_grant {
    uint64_t handle; /* the request's, given back by release */
    GQuark upstream;
    uint64_t boot;              /* of the upstream; 0: not known */
    struct ch_upstream *client; /* valid until release */
    const char *address;        /* "ip:port", likewise; NULL: not known */
    uint32_t priority;
    bool other_region;
    int64_t token; /* measured there for one token; 0: not yet */
    /* Until the first of the answer, by what is known of the load there; 0:
       nothing is. */
    int64_t expected;
};

/* One of the two, once, on a pool worker. */
struct ch_router_handlers {
    void (*granted)(void *data, const struct ch_grant *grant);
    void (*refused)(void *data, enum ch_code code, int64_t retry_after,
                    const char *message);
};

struct ch_router_ops {
    void (*start)(struct ch_router *router);
    /* True once this node knows enough of the upstreams to route. */
    bool (*ready)(struct ch_router *router);
    /* work is copied; excluded: GQuarks of upstreams not to try (may be
       NULL).  One of the handlers runs once, unless it is withdrawn. */
    uint64_t (*request)(struct ch_router *router,
                        const struct ch_request_info *work,
                        const GArray *excluded,
                        const struct ch_router_handlers *handlers, void *data);
    /* True: neither handler will run.  False: one has run or is about to; a
       grant is then to be released as ever. */
    bool (*withdraw)(struct ch_router *router, uint64_t handle);
    /* The granted request's first event came; may be NULL. */
    void (*first)(struct ch_router *router, uint64_t handle);
    /* Exactly once for each grant. */
    void (*release)(struct ch_router *router, uint64_t handle,
                    const struct ch_timing_sample *sample);
    /* This node stops: what it does for others goes to them. */
    void (*drain)(struct ch_router *router);
    void (*stop)(struct ch_router *router);
    void (*free)(struct ch_router *router);
    /* JSON members of an open object. */
    void (*status)(struct ch_router *router, JsonBuilder *builder);
};

struct ch_router {
    const struct ch_router_ops *ops;
};

/* ---- homes (homes.c): leave to dispatch, wherever the home is ---- */

struct ch_homes;

/* The homes as a router; they live as long. */
struct ch_router *ch_homes_router(struct ch_homes *homes);

struct ch_homes *ch_homes_new(struct ch_node *node);
void ch_homes_start(struct ch_homes *homes);
void ch_homes_stop(struct ch_homes *homes);
void ch_homes_free(struct ch_homes *homes);
/* True once this node knows enough of the upstreams to route. */
bool ch_homes_ready(struct ch_homes *homes);
/* work is copied; excluded: GQuarks of upstreams not to try (may be NULL). */
uint64_t ch_homes_request(struct ch_homes *homes,
                          const struct ch_request_info *work,
                          const GArray *excluded,
                          const struct ch_router_handlers *handlers,
                          void *data);
/* This node stops: its homes go to others, what is queued with them. */
void ch_homes_drain(struct ch_homes *homes);
/* True: neither handler will run.  False: one has run or is about to; a grant
   is then to be released as ever. */
bool ch_homes_withdraw(struct ch_homes *homes, uint64_t handle);
/* Exactly once for each grant. */
void ch_homes_release(struct ch_homes *homes, uint64_t handle,
                      const struct ch_timing_sample *sample);
/* Upstreams, homes, residents as JSON members of an open object. */
void ch_homes_status(struct ch_homes *homes, JsonBuilder *builder);
void ch_peers_status(struct ch_peers *peers, JsonBuilder *builder);
/* Frames and bytes to and from other nodes, by kind: as metrics' text, and as
   an array "traffic" of an open object. */
void ch_peers_render(const struct ch_peers *peers, GString *out);
void ch_peers_traffic_status(const struct ch_peers *peers,
                             JsonBuilder *builder);

/* ---- front (front.c: HTTP; exchange.c: one request's course) ---- */

struct ch_front;

struct ch_front *ch_front_new(struct ch_node *node, struct ch_error *error);
/* Readiness goes false at once; the listener stays for settings->drain_ms,
   then new requests are refused with STOPPING; returns when none is open. */
void ch_front_stop(struct ch_front *front);
/* Ends what is under way of requests that are barred by now. */
void ch_front_drop_barred(struct ch_front *front);
void ch_front_free(struct ch_front *front);
/* True when a configuration and the upstreams are known and the node is not
   stopping. */
bool ch_node_ready(struct ch_node *node);

/* ---- admin (admin.c): operators' and platform's listener ---- */

/*
 * GET /healthz, /readyz, /metrics, /admin/v1/status, /admin/v1/config; POST
 * /admin/v1/config?base=REVISION&author=NAME.  Not on the callers' listener,
 * but for the first three.
 */
struct ch_admin;

struct ch_admin *ch_admin_new(struct ch_node *node, struct ch_error *error);
void ch_admin_stop(struct ch_admin *admin);
void ch_admin_free(struct ch_admin *admin);

#endif
