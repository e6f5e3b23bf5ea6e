#ifndef CH_BASE_H
#define CH_BASE_H

/*
 * Facilities that every other package uses: result codes, errors, the client
 * struct, logs, metrics, handle tables, the worker pool, timers, settings and
 * declarations.  Times are microseconds unless a name says otherwise.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ---- result codes and errors (error.c) ---- */

enum ch_outcome {
    CH_NOT_RUN,
    CH_RAN,
    CH_UNKNOWN,
};

enum ch_code {
#define CH_CODE(name, number, http, outcome, meaning) CH_##name = (number),
#include "codes.def"
#undef CH_CODE
};

struct ch_error {
    enum ch_code code;
    char message[512];
};

void ch_error_set(struct ch_error *error, enum ch_code code,
                  const char *format, ...) G_GNUC_PRINTF(3, 4);
void ch_error_clear(struct ch_error *error);
const char *ch_code_get_name(enum ch_code code);
const char *ch_code_get_meaning(enum ch_code code);
int ch_code_get_http_status(enum ch_code code);
enum ch_outcome ch_code_get_outcome(enum ch_code code);
const char *ch_outcome_get_name(enum ch_outcome outcome);

/* ---- client struct, in place of globals (client.c) ---- */

struct ch_metrics;

enum ch_log_level {
    CH_LOG_ERR = 3,
    CH_LOG_WARNING = 4,
    CH_LOG_NOTICE = 5,
    CH_LOG_INFO = 6,
    CH_LOG_DEBUG = 7,
};

struct ch_client {
    void (*log_write)(void *data, const char *line, size_t length);
    void *log_data;
    enum ch_log_level log_level;
    int64_t (*now)(void *data); /* monotonic, microseconds */
    void *now_data;
    struct ch_metrics *metrics;
    const char *name; /* the "node" field of each log line */
};

void ch_client_init(struct ch_client *client, const char *name);
int64_t ch_client_get_time(const struct ch_client *client);
/* Microseconds of a clock that also counts while the host is suspended. */
int64_t ch_clock_get_boottime(void);

/* ---- logs: one JSON object per line (log.c) ---- */

/* ch_log() takes a list of fields that ends with CH_F_END:
   CH_F_STR("class", name), ..., CH_F_END. */
enum ch_log_field_kind {
    CH_FIELD_END,
    CH_FIELD_STRING,
    CH_FIELD_INT,
    CH_FIELD_DOUBLE,
    CH_FIELD_BOOL,
};
#define CH_F_STR(key, value) (int)CH_FIELD_STRING, (key), (const char *)(value)
#define CH_F_INT(key, value) (int)CH_FIELD_INT, (key), (int64_t)(value)
#define CH_F_NUM(key, value) (int)CH_FIELD_DOUBLE, (key), (double)(value)
#define CH_F_BOOL(key, value) (int)CH_FIELD_BOOL, (key), (int)(value)
#define CH_F_END (int)CH_FIELD_END

void ch_log(const struct ch_client *client, enum ch_log_level level,
            const char *event, ...);

/* ---- counters and histograms, updated without locks (metrics.c) ---- */

enum ch_counter {
#define CH_COUNTER(name, text) CH_COUNT_##name,
#include "counters.def"
#undef CH_COUNTER
    CH_COUNTERS
};

enum ch_histogram {
    CH_HIST_FIRST_TOKEN,
    CH_HIST_TOKEN_INTERVAL,
    CH_HIST_RESPONSE_TIME,
    CH_HIST_QUEUE_TIME,
    CH_HISTOGRAMS
};

struct ch_metrics *ch_metrics_new(void);
void ch_metrics_free(struct ch_metrics *metrics);
void ch_metrics_add_count(struct ch_metrics *metrics, enum ch_counter counter,
                          uint64_t by);
uint64_t ch_metrics_get_count(const struct ch_metrics *metrics,
                              enum ch_counter counter);
void ch_metrics_observe(struct ch_metrics *metrics, enum ch_histogram which,
                        const char *class_name, const char *tenant,
                        int64_t microseconds);
/* Counts a request that ended, by class, tenant, outcome and whether its
   target was met, and by class and result code. */
void ch_metrics_count_outcome(struct ch_metrics *metrics,
                              const char *class_name, const char *tenant,
                              enum ch_code code, bool met);
void ch_metrics_render(const struct ch_metrics *metrics, GString *out);

/* Requests of one class that ended, by outcome and by target: [0] missed,
   [1] met. */
struct ch_class_outcomes {
    uint64_t counts[CH_UNKNOWN + 1][2];
};

/* Calls each(data, class name, outcomes) for every class that has a count. */
void
ch_metrics_foreach_class(const struct ch_metrics *metrics,
                         void (*each)(void *data, const char *class_name,
                                      const struct ch_class_outcomes *all),
                         void *data);

/* ---- handle tables: a handle is a slot and its generation (table.c) ---- */

struct ch_table;

struct ch_table *ch_table_new(void);
void ch_table_free(struct ch_table *table);
uint64_t ch_table_add(struct ch_table *table, void *item);
void *ch_table_get(const struct ch_table *table, uint64_t handle);
void *ch_table_remove(struct ch_table *table, uint64_t handle);
size_t ch_table_get_count(const struct ch_table *table);
/* Calls each(item, handle, data) for every item; the table must not change
   during the calls. */
void ch_table_foreach(const struct ch_table *table,
                      void (*each)(void *item, uint64_t handle, void *data),
                      void *data);

/* ---- worker pool (pool.c) ---- */

struct ch_pool;

struct ch_pool *ch_pool_new(unsigned workers);
/* Yields the processor after every 32 steps of long work; step: the number of
   the present step. */
void ch_pool_yield(size_t step);
void ch_pool_submit(struct ch_pool *pool, void (*run)(void *data), void *data);
/* Runs the queued jobs, joins the workers and frees the pool. */
void ch_pool_free(struct ch_pool *pool);

/* ---- timers: one thread, callbacks run on the pool (timer.c) ---- */

struct ch_timers;

struct ch_timers *ch_timers_new(struct ch_pool *pool);
/* Ends the thread; timers that are pending or added later never run. */
void ch_timers_stop(struct ch_timers *timers);
void ch_timers_free(struct ch_timers *timers);
/* Calls run(data) once after delay; no handle is used twice. */
uint64_t ch_timers_add(struct ch_timers *timers, int64_t delay,
                       void (*run)(void *data), void *data);
/* True if the timer was pending: its callback is never called. */
bool ch_timers_cancel(struct ch_timers *timers, uint64_t handle);

/* ---- hashing (hash.c, compare.c) ---- */

uint64_t ch_hash(const void *bytes, size_t length);
/* Compares int64_t in ascending order, for g_array_sort(). */
gint ch_compare_int64(gconstpointer a, gconstpointer b);

uint64_t ch_hash_string(const char *text);
uint64_t ch_hash_pair(uint64_t a, uint64_t b);
/* The index of the name with the highest weight for key; -1 without names. */
int ch_rendezvous_select(uint64_t key, const char *const *names, size_t count);

/* ---- addresses (address.c) ---- */

/* Checks an address such as "192.0.2.1:80": IPv4 numbers only, no host names.
   Returns false with BAD_VALUE. */
bool ch_address_check(const char *text, struct ch_error *error);
/* The same for an address of another process: port 0 and the address 0.0.0.0
   are refused too. */
bool ch_address_check_remote(const char *text, struct ch_error *error);
struct sockaddr_in;
/* Parses such an address; sets *address only when it returns true. */
bool ch_address_parse(const char *text, struct sockaddr_in *address,
                      struct ch_error *error);

/* ---- node settings (settings.c) ---- */

/* Whose interfaces the node uses towards callers, upstreams and the platform:
   the project's own, or those of the users' deployment. */
enum ch_platform_kind {
    CH_PLATFORM_OWN,
    CH_PLATFORM_USERS,
};

/*
 * Features of placement and balancing that are disabled, for experiments: true
 * disables the feature.  Each has a key in [policy].
 */
struct ch_disabled_features {
    bool fleet_wide_search;    /* search the whole fleet for an engine */
    bool several_evictions;    /* evict several models to load one */
    bool spread_last_replicas; /* spread last replicas that fill an engine */
    bool local_copies_first;   /* load local copies first, into free memory */
    bool reservations;         /* reserve freed memory for its model */
    bool preload_adapters;     /* load adapters that no engine holds into
                                free adapter slots */
    bool wait_for_model; /* let requests wait longer for a pending load */
    bool refuse_late;    /* refuse requests that would start too late */
    bool defer_prompts;  /* space the prompts sent to an engine */
    bool measured_service_times; /* measure service times of requests */
    bool quota_pools;   /* share teams' quotas between nodes by demand */
    bool upstream_pace; /* use the load and pace that upstreams state */
    bool stream_pauses; /* count the pauses that a prompt causes */
    bool room_shares;   /* admit by rank and team while room is short */
    bool quota_ranks;   /* give a team's credit to its urgent requests first */
};

enum ch_overload_control {
    CH_OVERLOAD_AUTO, /* by the platform's terms; of an upstream, also while it
                         states its pace */
    CH_OVERLOAD_ON,
    CH_OVERLOAD_OFF,
};

struct ch_settings {
    char *name;         /* [node] name */
    char *region;       /* [node] region */
    char *data_centre;  /* [node] data-centre */
    char *data_centres; /* [node] data-centres = NAME:REGION, ... */
    unsigned workers;   /* [node] workers */
    int log_level;      /* [node] log-level: err..debug */
    char *callers;      /* [listen] callers = ip:port */
    char *admin;        /* [listen] admin */
    char *peers;        /* [listen] peers */
    char *relay;        /* [listen] relay; NULL: relays no calls */
    char *ready_path;   /* [listen] ready-path, in addition to /readyz */
    int platform;       /* [platform] kind, enum ch_platform_kind */
    char *kv;           /* [platform] kv = ip:port */
    char *hosts;        /* [platform] hosts = ip:port */
    bool fencing;       /* [upstreams] fencing = refuse | ignore */
    unsigned report_period_ms;    /* [upstreams] report-ms */
    unsigned host_list_period_ms; /* [platform] list-ms */
    unsigned kv_timeout_ms;       /* [platform] kv-timeout-ms */
    unsigned once_slots;          /* [once] slots */
    unsigned once_batch_delay_ms; /* [once] gather-ms */
    unsigned once_retention_s;    /* [once] keep-s */
    size_t max_body_bytes;        /* [limits] body-bytes */
    size_t max_header_bytes;      /* [limits] header-bytes */
    size_t max_unsent_bytes;      /* [limits] unsent-bytes, of all responses */
    size_t max_upstream_bytes;    /* [limits] upstream-bytes; 0: no bound */
    unsigned max_queue_length;    /* [limits] queue, per upstream */
    unsigned max_connections;     /* [limits] connections */
    double cores; /* [node] cores of the host that this node may use */
    double host_link_mbit_per_s; /* [node] link-mbit */
    double retry_share;          /* [limits] retry-share */
    double retry_slack;   /* [limits] retry-slack, for the whole fleet */
    unsigned crash_limit; /* [limits] crashes of upstreams */
    unsigned max_crash_requests; /* [limits] crash-requests */
    unsigned crash_retention_s;  /* [limits] crash-keep-s */
    double quota_window_s;       /* [quota] window-s */
    double quota_overshoot;      /* [quota] overshoot */
    double quota_slack;          /* [quota] slack, in requests or tokens */
    unsigned lease_ms; /* [upstreams] lease-ms: lease to order engines */
    unsigned upstream_drain_ms;  /* [upstreams] drain-ms: requests may still
                                    reach a draining upstream */
    double load_window_s;        /* [weight-store] window-s */
    double load_overshoot;       /* [weight-store] overshoot */
    double loads_per_s;          /* [weight-store] loads-per-s */
    unsigned max_parallel_loads; /* [weight-store] parallel */
    unsigned max_parallel_adapter_loads; /* [weight-store] adapters-parallel */
    double region_link_mbit_per_s;       /* [link] mbit-per-s */
    unsigned connect_ms;                 /* [timeouts] connect-ms */
    unsigned first_byte_ms;              /* [timeouts] first-byte-ms */
    unsigned stall_ms;           /* [timeouts] stall-ms, between tokens */
    unsigned peer_timeout_ms;    /* [timeouts] peer-silent-ms */
    unsigned idle_connection_ms; /* [timeouts] idle-connection-ms */
    unsigned drain_ms;           /* [timeouts] drain-ms: listener stays open */
    unsigned grace_ms;       /* [timeouts] grace-ms of a shutdown; 0: none */
    int overload_control;    /* [overload] control, enum ch_overload_control */
    char *overload_terms;    /* [overload] terms, as the platform states them,
                                separated by commas */
    char *overload_on_terms; /* [overload] on-terms */
    struct ch_disabled_features disabled_features; /* [policy] */
    /* The whole system starts for the first time; from the command line. */
    bool first_start;
};

struct ch_settings *ch_settings_load(const char *path, struct ch_error *error);
struct ch_settings *ch_settings_parse(const char *text, const char *path,
                                      struct ch_error *error);
/* The region of a data centre by [node] data-centres, or the data centre's own
   name if it isn't listed there; a new string. */
char *ch_settings_get_region(const struct ch_settings *settings,
                             const char *data_centre);
/* The regions of [node] data-centres, this host's own first and each once;
   free them with g_strfreev(). */
char **ch_settings_list_regions(const struct ch_settings *settings);
/* The capacity that this host offers to the other nodes, from its cores and
   its link. */
uint32_t ch_settings_get_capacity(const struct ch_settings *settings);
/* Whether requests are admitted by rank and team while room is short, and the
   pauses of streams are counted, also where upstreams state no pace. */
bool ch_settings_controls_overload(const struct ch_settings *settings);
void ch_settings_free(struct ch_settings *settings);
/* Calls each(data, key, on) for every key of [policy]. */
void ch_settings_foreach_policy(const struct ch_settings *settings,
                                void (*each)(void *data, const char *key,
                                             bool on),
                                void *data);

/* ---- operators' declaration (declaration.c) ---- */

struct ch_class {
    char *name;
    int64_t first_token_target; /* target; 0: none stated */
    int64_t token_target;       /* target; 0: none stated */
    int64_t response_target;    /* target; 0: none stated */
    bool idempotent;
    bool allows_every_model; /* models = * */
    uint8_t *allowed_models; /* by model index: 1 when the class may use it */
    uint8_t *allowed_services;
    /* For a class that is selected by host and path; in others host is NULL.
     */
    char *host;
    char *path_prefix;        /* prefix that begins and ends with a slash */
    int64_t event_gap_target; /* target: max pause between events; 0: none */
    int64_t time_limit;       /* max time that a caller waits; 0: none */
    bool stream;
    bool resumable;        /* a stream may resume after its last event on
                              another upstream */
    unsigned priority;     /* 0 is the highest */
    unsigned max_attempts; /* max upstreams that one request is sent to */
    struct ch_service_share *shares; /* by service */
    size_t share_count;
    bool public; /* needs no access key */
};

/* A service's share of a class's requests. */
struct ch_service_share {
    int service_index; /* index */
    unsigned weight;
};

struct ch_model {
    char *name;
    uint32_t memory_mb;
    uint32_t adapter_memory_mb;
    char **adapters;
    size_t adapter_count;
    unsigned numbered_adapter_count; /* named MODEL/a1, MODEL/a2, ... */
    int64_t load_time;         /* time to load from the weight store; 0: not
                             stated */
    uint8_t *allowed_services; /* by service index: 1 when its engines may hold
                          the model */
};

struct ch_service {
    char *name;
    /* For each of its upstreams; 0: not stated. */
    unsigned max_connections; /* max from all nodes together */
    unsigned max_batch;       /* max concurrent requests */
    unsigned memory_mb; /* for weights and adapters; 0: a plain service */
    unsigned context_tokens;
    unsigned adapter_slots;
    double loads_per_s; /* from the weight store, all upstreams together */
};

/* Limits on the size and duration of a caller's request; 0: the limit of the
   node's settings applies. */
struct ch_caller_limits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_time;
    int64_t idle_time;
};

struct ch_caller {
    char *name;
    size_t class_index; /* used when the request names no class */
};

/* The priority of a team that declares none. */
#define CH_TEAM_NO_PRIORITY 1001

/* A team: who calls, by access key, and how much of the service it may use. */
struct ch_team {
    char *name;
    char **key_digests;    /* SHA-256 of the access keys, in hexadecimal */
    unsigned priority;     /* replaces that of the class; 0 is the highest */
    bool counts_tokens;    /* the quota is in tokens, else in requests */
    double quota_per_s;    /* 0: no quota */
    double quota_burst;    /* beyond quota_per_s, once */
    unsigned plain_tokens; /* of a request that states no tokens */
};

/* The digest of an access key, and whose it is. */
struct ch_team_key {
    const char *digest; /* owned by the team */
    size_t team_index;
};

/* An adapter's name and where it is declared. */
struct ch_adapter {
    const char *name; /* owned by the model */
    int model_index;
    int adapter_index; /* in the model's adapters */
};

/* Classes, models, services, callers and teams are each sorted by name. */
struct ch_declaration {
    struct ch_class *classes;
    size_t class_count;
    struct ch_model *models;
    size_t model_count;
    struct ch_service *services;
    size_t service_count;
    struct ch_caller *callers;
    size_t caller_count;
    struct ch_team *teams;
    size_t team_count;
    struct ch_team_key *team_keys; /* of all teams, sorted by digest */
    size_t team_key_count;
    bool requires_keys;   /* requests of classes that aren't public need an
                             access key */
    char *canonical_text; /* canonical INI: equal declarations give equal bytes
                           */
    struct ch_adapter *adapters; /* of all models, sorted by name */
    size_t adapter_count;
    struct ch_caller_limits limits;
};

/*
 * Groups: [class X] first-token-ms, between-tokens-ms, answer-ms, models,
 * services, idempotent, callers, and for a class that is selected by host and
 * path: host, path, shares, stream, resumable, priority, tries, gap-ms,
 * time-limit-ms, public; [team X] keys, priority, quota-unit, quota-per-s,
 * quota-burst, plain-tokens; [access] require-keys; [model X] memory-mb,
 * adapters, adapter-memory-mb, services, numbered-adapters, load-ms; [service
 * X] connections, batch, memory-mb, context-tokens, adapter-places,
 * loads-per-s; [limits] of callers.  The same file may hold site groups, which
 * the platform declares and only replay reads (region, data-centre, upstream,
 * entry, weight-store, link, engine); they are left out of the canonical text.
 */
struct ch_declaration *ch_declaration_parse(const char *text, const char *path,
                                            struct ch_error *error);
struct ch_declaration *ch_declaration_load(const char *path,
                                           struct ch_error *error);
void ch_declaration_free(struct ch_declaration *declaration);
int ch_declaration_find_class(const struct ch_declaration *declaration,
                              const char *name);
int ch_declaration_find_model(const struct ch_declaration *declaration,
                              const char *name);
int ch_declaration_find_service(const struct ch_declaration *declaration,
                                const char *name);
/* Returns the index of the adapter's model and sets *adapter to its index in
   the model; -1 when no adapter has that name. */
int ch_declaration_find_adapter(const struct ch_declaration *declaration,
                                const char *name, int *adapter);
/* The team that holds an access key, by the key's digest; -1: none. */
int ch_declaration_find_team_by_key(const struct ch_declaration *declaration,
                                    const char *digest);
int ch_declaration_find_caller_class(const struct ch_declaration *declaration,
                                     const char *caller);
/* The class of the host with the longest path prefix that matches path; -1
   when none matches.  path: without its query, not NUL-terminated. */
int ch_declaration_find_route(const struct ch_declaration *declaration,
                              const char *host, const char *path,
                              size_t length);
/* Whether name is one of the model's numbered adapters, such as MODEL/a3. */
bool ch_model_has_numbered_adapter(const struct ch_model *model,
                                   const char *name);
/* Line diff of two canonical texts: "-old" and "+new" lines below the names of
   their groups; a new string. */
char *ch_declaration_diff(const char *from, const char *to);

/* ---- configuration: a declaration with its revision (config.c) ---- */

struct ch_config {
    int reference_count; /* changed only by ch_config_ref, ch_config_unref */
    uint64_t revision;
    char *write_id; /* write ID: shows a writer whose reply was lost whether
                    its write took effect */
    char *author;
    struct ch_declaration *declaration;
};

struct ch_config *ch_config_new(uint64_t revision, const char *write_id,
                                const char *author,
                                struct ch_declaration *declaration);
struct ch_config *ch_config_ref(struct ch_config *config);
void ch_config_unref(struct ch_config *config);

#endif
