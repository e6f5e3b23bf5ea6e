#ifndef HARNESS_H
#define HARNESS_H

/*
 * Runs a whole deployment as processes on loopback: stand-ins for the platform
 * and the upstreams, nodes and callers. A checker compares the responses that
 * callers received with what the stand-ins ran. A test that cannot continue
 * ends by g_error; its child processes are killed when it ends.
 */

#include "base/base.h"

#include <json-glib/json-glib.h>
#include <sys/types.h>

enum {
    HARNESS_MAX_PROCESSES = 128, /* processes of each kind */
    HARNESS_MAX_PATHS = 8,       /* upstreams of a fleet with separate paths */
    HARNESS_READY_TIMEOUT_MS = 20 * 1000,
};

/* ---- processes (process.c) ---- */

/* Milliseconds of CLOCK_MONOTONIC, the clock of the stand-ins' records. */
int64_t harness_now_ms(void);
/* Tests wait in a loop of short sleeps, up to a deadline. */
void harness_sleep_ms(int64_t milliseconds);
/* Starts a program; call from the main thread only. Standard error is appended
 * to the file log (NULL: discarded). Standard output goes to the same place,
 * or, if out is not NULL, to a pipe whose reading end, *out, the caller
 * closes. */
pid_t harness_spawn(const char *const *argv, const char *log, int *out);
/* Waits for a child to exit; returns its exit status, 128 + the signal that
 * killed it, or -1 after limit_ms. */
int harness_wait_exit(pid_t pid, int64_t limit_ms);
/* Processor time used by a process (ms) and its resident memory (KB); 0 when
 * there is no such process. */
double harness_get_cpu_ms(pid_t pid);
double harness_get_memory_kb(pid_t pid);
/* Reserves a loopback port until this process ends, for a child to listen
 * on. */
uint16_t harness_reserve_port(void);

struct harness_standin {
    const char *mode;
    pid_t pid;
    uint16_t port;
    uint16_t control_port;
    char address[32];
};

/* Starts a stand-in and waits until it listens. args: NAME=VALUE strings,
 * ended by NULL; may be NULL. */
void harness_standin_start(struct harness_standin *standin, const char *build,
                           const char *mode, const char *const *args);
/* Sends SIGTERM and waits for the exit; does nothing for a stand-in that was
 * not started. */
void harness_standin_stop(struct harness_standin *standin);
/* Calls path below /control/: POST with a body, GET if body is NULL. Returns
 * the response's body, to be freed with g_free. */
char *harness_call_control(const struct harness_standin *standin,
                           const char *path, const char *body);
/* Sets faults of a stand-in, for example "drop_after=%d&slow_ms=20". */
void harness_set_faults(const struct harness_standin *standin,
                        const char *format, ...) G_GNUC_PRINTF(2, 3);
/* What a stand-in has recorded; to be freed with json_node_unref. */
JsonNode *harness_get_record(const struct harness_standin *standin);
/* One integer member of a stand-in's record. */
int64_t harness_get_record_number(const struct harness_standin *standin,
                                  const char *member);

/* ---- a fleet (fleet.c) ---- */

struct harness_node {
    char name[16];
    pid_t pid;        /* 0: not running */
    bool was_started; /* before: the next start is no first one */
    uint16_t caller_port;
    uint16_t admin_port;
    uint16_t peer_port;
    char *settings_path;
    char *log_path;
    char admin_address[32];
    char caller_address[32];
    char peer_address[32];        /* as published in the host list */
    struct harness_standin relay; /* between other nodes and its peer port */
    /* With separate paths: its own host list, and a relay to each upstream. */
    struct harness_standin host_list;
    struct harness_standin paths[HARNESS_MAX_PATHS];
    /* On the users' platform: between the node and the store. */
    struct harness_standin store_path;
    const char *region;
    const char *data_centre;
};

struct harness_upstream {
    struct harness_standin standin;
    char name[16];
    const char *service; /* NULL: a model engine */
    const char *region;
    const char *data_centre;
    int64_t
        draining_since_ms; /* when it was listed as leaving; 0: it was not */
};

struct harness_fleet_config {
    /* On the users' platform (users.c): the host list, the weight store, the
     * declaration and the upstreams are those of its stand-in. */
    bool users_platform;
    unsigned node_count;
    unsigned engine_count;
    unsigned service_count;
    bool use_relays;       /* a relay in front of each node's peer port */
    bool separate_paths;   /* a relay between each node and each upstream */
    unsigned engine_batch; /* 0: 64 */
    unsigned engine_memory_mb;    /* in the host list; 0: 40000 */
    const char *declaration_path; /* NULL: examples/small.ini */
    const char *engine_args[8];   /* NAME=VALUE, after the defaults */
    const char *settings[16]; /* "group.key=value", override the defaults */
};

struct harness_fleet {
    const char *build_directory;
    char *directory;
    struct harness_fleet_config config;
    struct harness_standin kv;
    struct harness_standin host_list;
    struct harness_standin weight_store;
    struct harness_standin users; /* the users' platform */
    struct harness_upstream upstreams[HARNESS_MAX_PROCESSES * 2];
    unsigned upstream_count;
    struct harness_node nodes[HARNESS_MAX_PROCESSES];
    unsigned node_count;
};

/* Starts all processes, applies the declaration and waits until every node is
 * ready. */
struct harness_fleet *
harness_fleet_start(const char *build,
                    const struct harness_fleet_config *shape);
/* Starts the stand-ins and publishes the host list; writes the nodes' settings
 * files but starts no node. */
struct harness_fleet *
harness_fleet_prepare(const char *build,
                      const struct harness_fleet_config *shape);
/* Sends SIGTERM to all processes, waits and frees the fleet. Returns the
 * number of nodes that did not exit with 0; if there are any, the log files
 * stay. */
unsigned harness_fleet_stop(struct harness_fleet *fleet);
/* Sends the fleet's present host list to the stand-in that serves it. */
void harness_fleet_publish_hosts(struct harness_fleet *fleet);
/* Cuts the paths between a node and all upstreams, or opens them again, of a
 * fleet with separate paths. form: see tests/standin/relay.c. */
void harness_node_cut_paths(struct harness_fleet *fleet,
                            struct harness_node *node, const char *form);
/* Starts a node's process, also again after it has ended. */
void harness_node_start(struct harness_fleet *fleet,
                        struct harness_node *node);
/* Waits until /readyz reports the given readiness; false after limit_ms. A
 * node that doesn't respond counts as neither ready nor not ready. */
bool harness_node_wait_ready(const struct harness_node *node, bool ready,
                             int64_t limit_ms);
/* Sends a signal; after SIGKILL, also waits for the exit. */
void harness_node_signal(struct harness_node *node, int signal);
/* Runs `chestnuthitch ARGS... --node ADMIN`. Returns the exit status; *output
 * (output may be NULL) is standard output and error, to be freed with g_free.
 */
int harness_run_cli(const struct harness_fleet *fleet,
                    const struct harness_node *node, char **output,
                    const char *const *args);
/* Runs `chestnuthitch config apply PATH`; returns as harness_run_cli(). */
int harness_apply_config(const struct harness_fleet *fleet,
                         const struct harness_node *node, const char *path,
                         char **output);
/* The configuration revision that a node uses; 0: none or no response. */
uint64_t harness_get_revision(const struct harness_node *node);
/* A node's status, to be freed with json_node_unref; NULL: no response. */
JsonNode *harness_get_status(const struct harness_node *node);
/* The metric chestnuthitch_NAME_total of a node; 0 if it has none. */
double harness_get_counter(const struct harness_node *node, const char *name);
/* The name of an upstream's home node according to a node's status, to be
 * freed with g_free; NULL if the status names none. */
char *harness_get_home(const struct harness_node *node, const char *upstream);
/* NULL if there is no upstream of this name. */
struct harness_upstream *harness_find_upstream(struct harness_fleet *fleet,
                                               const char *name);
/* NULL if there is no node of this name. */
struct harness_node *harness_find_node(struct harness_fleet *fleet,
                                       const char *name);

/* ---- the users' platform (users.c) ---- */

/* Starts the stand-in; relays to it are started with each node. */
void harness_users_start(struct harness_fleet *fleet);
/* Starts the relays of a node, which must have its addresses. */
void harness_users_prepare_node(struct harness_fleet *fleet,
                                struct harness_node *node);
/* Starts a worker, also again, with these resident models ("A,B"). version:
 * "" for none in its entry. */
void harness_users_start_worker(struct harness_fleet *fleet, const char *name,
                                const char *version, const char *models);
/* Starts a worker of the plain service "orders". */
void harness_users_start_service(struct harness_fleet *fleet,
                                 const char *name);
/* action: crash, drain, remove, write, leave, wait&ms=N; see
 * tests/standin/users.h. */
void harness_users_change_worker(struct harness_fleet *fleet, const char *name,
                                 const char *action);
/* Puts the operators' configuration into the store. */
void harness_users_put_config(struct harness_fleet *fleet, const char *json);
/* Cuts the path from a node to the store, or from other nodes to it; form: see
 * tests/standin/relay.c. */
void harness_users_cut_store(const struct harness_node *node,
                             const char *form);
void harness_users_cut_peers(const struct harness_node *node,
                             const char *form);

/* A caller's request for a stream. */
struct harness_stream_call {
    const char *address;
    const char *host;
    const char *path;
    const char *request_id;
    const char *resumes;       /* NULL: not sent */
    const char *last_event_id; /* NULL: not sent */
    const char *model;
    const char *prompt_prefix; /* NULL: not sent */
    const char *body;          /* NULL: "{}" */
    unsigned events;           /* of the whole stream */
    int64_t deadline_ms;
};

struct harness_stream {
    bool complete; /* according to its framing */
    int status;    /* 0: no response */
    double retry_after_s;
    int64_t last_data_ms; /* of its begin, while there is none */
    GString *body;
};

/* Requests a stream and waits for its end; to be freed with
 * harness_stream_free(). */
struct harness_stream *
harness_request_stream(const struct harness_stream_call *call);
void harness_stream_free(struct harness_stream *stream);

/* Waits until all nodes are ready. */
void harness_users_wait_ready(const struct harness_fleet *fleet);
/* Starts all nodes and waits until they are ready. */
void harness_users_start_nodes(struct harness_fleet *fleet);

#define HARNESS_USERS_HOST "fit.example"
#define HARNESS_USERS_PATH "/fit/"           /* of streams */
#define HARNESS_USERS_ORDERS_PATH "/orders/" /* of a plain service */

/* The operators' configuration of the tests: streams of the models m1 and m2,
 * and a plain service. */
struct harness_users_config {
    int version;            /* 0: 3 */
    int slots;              /* of an engine; 0: 64 */
    int timeout_ms;         /* of a stream; 0: 15000 */
    int max_attempts;       /* of a stream; 0: 3 */
    const char *orders;     /* type of the plain service's route; NULL: none */
    int orders_target_ms;   /* 0: 1000 */
    int orders_connections; /* 0: 300 */
    const char *routes;     /* more, each after a comma; NULL: none */
    const char *models;     /* likewise */
};
void
harness_users_put_standard_config(struct harness_fleet *fleet,
                                  const struct harness_users_config *config);

/* One more route, for struct harness_users_config.routes, and the number of
 * nodes that serve it. */
#define HARNESS_USERS_ADDED_PATH "/added/"
extern const char harness_users_added_route[];
unsigned harness_users_count_added(const struct harness_fleet *fleet);

/* The number of runs at a worker after a time, in ms of harness_now_ms();
 * last_ms (may be NULL): set to the time of the last run, if later. */
unsigned harness_users_count_runs(const struct harness_fleet *fleet,
                                  const char *worker, int64_t after_ms,
                                  int64_t *last_ms);

/* Callers in a loop, each request by a random node; its ID begins with the
 * node's name and '-'. */
struct harness_users_load {
    struct harness_fleet *fleet;
    unsigned caller_count;
    const char *host;
    const char *path;
    const char *const
        *models; /* chosen at random, ended by NULL; NULL: none */
    unsigned events;
    int64_t deadline_ms;
    int64_t max_pause_ms; /* of a caller that was rejected */
};

struct harness_users_results {
    unsigned whole;
    unsigned rejected;
    unsigned rejected_late; /* after more than a second */
    unsigned rejected_without_time;
    unsigned other;
};

struct harness_users_run;

struct harness_users_run *
harness_users_load_start(const struct harness_users_load *load);
/* Changes the models that are asked for. */
void harness_users_load_set_models(struct harness_users_run *run,
                                   const char *const *models);
/* Ends the load when the requests in flight have ended, and frees run. */
struct harness_users_results
harness_users_load_stop(struct harness_users_run *run);

/* ---- callers (call.c) ---- */

struct harness_call {
    const char *address;
    const char *method;
    const char *path;
    const char *class_name;
    const char *caller;
    const char *key;
    const char *access_key; /* NULL: none is sent */
    const char *body;
    int64_t timeout_ms;
};

struct harness_response {
    /* the request */
    char *method;
    char *path;
    char *key;
    char *request_body;
    char *class_name;
    char *node_address;
    int64_t target_ms; /* from its call kind; 0: none */
    /* the response */
    int curl_code; /* CURLcode; 0: complete according to its framing */
    int status;
    char *request_id;
    char *outcome;  /* Chestnuthitch-Outcome header; NULL: none */
    int error_code; /* Chestnuthitch-Code header; 0: none */
    bool has_retry_after;
    GString *response_body;
    int64_t sent_at_ms;
    int64_t first_byte_at_ms;
    int64_t ended_at_ms;
    int64_t longest_gap_ms; /* between two parts of the response */
};

/* Sends a request and waits for the end of the response, to be freed with
 * harness_response_free(). */
struct harness_response *harness_call(const struct harness_call *call);
void harness_response_free(struct harness_response *answer);
/* Bodies of completion and chat requests, different for each serial number; to
 * be freed with g_free. */
char *harness_model_body(const char *model, unsigned tokens, bool stream,
                         unsigned serial);
char *harness_chat_body(const char *model, unsigned tokens, bool stream,
                        unsigned serial);
/* Whether the status is 200 and the response is complete and, byte for byte,
 * what the stand-in generates for this request's body. */
bool harness_response_is_correct(const struct harness_response *answer);
/* Sends a GET. Returns the status, 0 without a complete response; *body (body
 * may be NULL) is to be freed with g_free. */
int harness_get(const char *address, const char *path, char **body);

/*
 * ---- load (load.c): callers in a loop behind a load balancer ----
 *
 * The load balancer polls each node's /readyz four times a second, sends
 * requests to the ready nodes by round robin, and tries the next node when a
 * connection is refused.
 */

struct harness_call_kind {
    const char *class_name;
    const char *model;        /* NULL: a plain service */
    const char *service_path; /* URL path of a plain service */
    unsigned max_tokens;
    bool stream;
    bool has_key;
    int64_t target_ms; /* to the first byte if streamed, else the end */
};

struct harness_load {
    struct harness_fleet *fleet;
    const struct harness_call_kind *kinds;
    unsigned kind_count;
    unsigned caller_count; /* threads */
    int64_t pause_ms;      /* of a caller between two requests */
    int64_t call_timeout_ms;
    bool retry_keyed;      /* by another node, if the outcome is unknown */
    unsigned first_serial; /* in request bodies and keys */
};

struct harness_load_run;

/* Starts the threads of the load balancer and the callers. */
struct harness_load_run *harness_load_start(const struct harness_load *load);
/* Ends the load when the requests in flight have ended and frees running.
 * Returns all struct harness_response, ordered by time of sending; the array
 * owns them. */
GPtrArray *harness_load_stop(struct harness_load_run *running);

/* ---- checker (check.c) ---- */

struct harness_check_result {
    unsigned responses;
    unsigned correct;
    unsigned refused; /* outcome not-run */
    unsigned failed;  /* outcome unknown, or ran with an error */
    unsigned
        broken_connections; /* connection lost before or in the response */
    unsigned
        unkeyed_incorrect; /* requests without a key, response not correct */
    /* each of these violates a guarantee */
    unsigned ran_twice;       /* requests to plain services */
    unsigned not_run_ran;     /* outcome not-run, but an upstream ran it */
    unsigned wrong_responses; /* looks complete, but is not the expected one */
    unsigned missing_outcome; /* an error without outcome or code, or a stream
                        that ends with neither [DONE] nor an error */
    unsigned overcommits;     /* orders beyond an engine's memory */
    unsigned begun_after_draining; /* begun over 5 s after the upstream was
                            listed as leaving */
};

/* Compares all responses with the records of all upstreams. */
void harness_check_responses(struct harness_fleet *fleet,
                             const GPtrArray *answers,
                             struct harness_check_result *verdict);
/* Prints the result, and fails the test when a guarantee is violated. */
void harness_assert_guarantees(const char *name,
                               const struct harness_check_result *verdict);

/* How a fault affected callers. Requests are counted as before, during or
 * after the fault by the time of sending. Those without a key are of
 * idempotent classes; shares are in percent. */
struct harness_impact {
    int64_t longest_gap_ms; /* between two correct responses without a key */
    int64_t keyed_longest_gap_ms; /* the same with a key; 0: no correct ones */
    double before_percent; /* requests without a key that met the target */
    double during_percent;
    double after_percent;
    double keyed_before_percent; /* requests with a key that met it */
    double keyed_during_percent;
    double keyed_after_percent;
    int64_t recovery_ms; /* from the fault's begin until all requests
                          met the target again; -1: never */
};
/* Prints "figure: NAME ..." with the impact of a fault that lasted from begun
 * to ended (ms of harness_now_ms()). */
void harness_measure_impact(const char *name, const GPtrArray *answers,
                            int64_t begun, int64_t ended,
                            struct harness_impact *figures);

/* ---- scenarios (scenario.c): a fault under load and its impact ---- */

struct harness_scenario;

/* State of a running scenario. */
struct harness_scenario_state {
    const struct harness_scenario *scenario;
    struct harness_fleet *fleet;
    struct harness_node *faulty_node; /* set by begin_fault, or NULL */
    int64_t fault_begun_ms;
    int64_t fault_ended_ms;
    GPtrArray *responses; /* NULL until the load has ended */
    struct harness_check_result result;
    struct harness_impact impact;
};

enum {
    HARNESS_UNBOUNDED = -1,
};

/* The greatest impact that a fault may have; HARNESS_UNBOUNDED: no limit. */
struct harness_limits {
    int64_t longest_gap_ms;
    int64_t recovery_ms;
    int refused;
    int failed;
    int broken_connections;
    int unkeyed_incorrect;
    /* Incorrect responses to requests that the faulty node did not accept,
       where it accepted no attempt with the same key either. */
    int unrelated_failures;
    int min_during_percent; /* least share without a key that met the target */
    int min_after_percent;
};

struct harness_scenario {
    const char *name;
    struct harness_fleet_config fleet_config;
    const struct harness_call_kind *kinds; /* NULL: harness_default_kinds */
    unsigned kind_count;
    unsigned caller_count; /* 0: 12 */
    int64_t before_ms;
    int64_t fault_ms;
    int64_t after_ms;
    /* Called before the load instead of harness_warm_up(); may be NULL. */
    void (*before_load)(struct harness_scenario_state *scene);
    void (*begin_fault)(
        struct harness_scenario_state *scene);               /* may be NULL */
    void (*end_fault)(struct harness_scenario_state *scene); /* may be NULL */
    void (*check)(struct harness_scenario_state
                      *scene); /* further checks; may be NULL */
    struct harness_limits limits;
};

/* A streamed and a non-streamed model call and a non-idempotent call. */
enum {
    HARNESS_DEFAULT_KIND_COUNT = 3,
};
extern const struct harness_call_kind
    harness_default_kinds[HARNESS_DEFAULT_KIND_COUNT];

/* For g_test_add_data_func(): runs a struct harness_scenario, prints its
 * impact and fails the test when a guarantee is violated or a limit exceeded.
 */
void harness_scenario_run(gconstpointer scenario);
/* Sends every kind of call through every node until each response is correct.
 * Models are in memory afterwards, so later failures come from the fault. */
void harness_warm_up(struct harness_fleet *fleet,
                     const struct harness_call_kind *kinds, unsigned count);
/* Counts failures as defined at harness_limits.unrelated_failures; 0 without a
 * faulty node. */
unsigned
harness_count_unrelated_failures(const struct harness_scenario_state *scene);
/* Runs this program again for each path of a test, each in its own process and
 * on its own ports, some at a time. Returns the exit status of main(). */
int harness_run_in_parallel(const char *program, char **paths);
/* main() of a failure test of own cases, each of which begins with its name:
 * each is the test /failure/THEME/NAME, run by run(case). Without arguments,
 * they run in parallel, each in its own process. */
int harness_run_cases(int argc, char **argv, const char *theme,
                      const void *cases, size_t size, size_t count,
                      void (*run)(gconstpointer one));
/* main() of a failure test: each scenario is the test /failure/THEME/NAME.
 * Without arguments, scenarios run in parallel, each in its own process. */
int harness_main(int argc, char **argv, const char *theme,
                 const struct harness_scenario *scenarios, size_t count);
/* build/KIND, derived from the program's own path; not to be freed. */
const char *harness_get_build_directory(void);

#endif
