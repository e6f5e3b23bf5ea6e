#ifndef HARNESS_H
#define HARNESS_H

/*
 * Runs the whole path as processes on loopback: stand-ins, nodes, callers, and
 * a checker that holds what callers were told against what the stand-ins ran.
 * A test ends by g_error when it cannot go on: its children die with it.
 */

#include "base/base.h"

#include <json-glib/json-glib.h>
#include <sys/types.h>

enum {
    HARNESS_MOST = 128, /* of each kind of process */
    HARNESS_READY_MS = 20 * 1000,
};

/* ---- processes (process.c) ---- */

/* Milliseconds of CLOCK_MONOTONIC, as in the stand-ins' records. */
int64_t harness_now(void);
void harness_sleep(int64_t milliseconds);
/* Output goes to log (NULL: a pipe, whose reading end is *out). */
pid_t harness_spawn(const char *const *argv, const char *log, int *out);
/* Waits for the end; the exit status, 128 + signal, or -1 after limit. */
int harness_wait(pid_t pid, int64_t limit_ms);
/* What a process has used: processor time in ms, resident memory in KB. */
double harness_cpu_ms(pid_t pid);
double harness_memory_kb(pid_t pid);
/* A port that stays this process's until it ends, for a child to listen on. */
uint16_t harness_port(void);

struct harness_standin {
    const char *mode;
    pid_t pid;
    uint16_t port;
    uint16_t control;
    char address[32];
};

/* args: NAME=VALUE, ended by NULL; may be NULL. */
void harness_standin_start(struct harness_standin *standin, const char *build,
                           const char *mode, const char *const *args);
/* SIGTERM, and waits; one that was not started is left alone. */
void harness_standin_stop(struct harness_standin *standin);
/* A call under /control/; the answer's body, g_free. */
char *harness_control(const struct harness_standin *standin, const char *path,
                      const char *body);
void harness_set(const struct harness_standin *standin, const char *form, ...)
    G_GNUC_PRINTF(2, 3);
JsonNode *harness_record(const struct harness_standin *standin);
int64_t harness_record_number(const struct harness_standin *standin,
                              const char *member);

/* ---- a fleet (fleet.c) ---- */

struct harness_node {
    char name[16];
    pid_t pid; /* 0: not running */
    uint16_t callers;
    uint16_t admin;
    uint16_t peers;
    char *settings; /* path */
    char *log;      /* path */
    char admin_address[32];
    char caller_address[32];
    char peer_address[32];        /* as the host list gives it */
    struct harness_standin relay; /* in front of its peers' listener */
    const char *region;
    const char *data_centre;
};

struct harness_upstream {
    struct harness_standin standin;
    char name[16];
    const char *service; /* NULL: an engine */
    const char *region;
    const char *data_centre;
    int64_t left_at; /* ms; 0: has not left */
};

struct harness_shape {
    unsigned nodes;
    unsigned engines;
    unsigned services;
    bool relays;                /* between the nodes */
    unsigned batch;             /* of an engine; 0: 64 */
    unsigned memory_mb;         /* of an engine, as listed; 0: 40000 */
    const char *declaration;    /* NULL: examples/small.ini */
    const char *engine_args[8]; /* besides the usual; NAME=VALUE */
    const char *settings[16];   /* "group.key=value", over the usual */
};

struct harness_fleet {
    const char *build;
    char *directory;
    struct harness_shape shape;
    struct harness_standin kv;
    struct harness_standin hosts;
    struct harness_standin weights;
    struct harness_upstream upstreams[HARNESS_MOST * 2];
    unsigned upstream_count;
    struct harness_node nodes[HARNESS_MOST];
    unsigned node_count;
};

/* Everything up, the declaration applied, every node ready. */
struct harness_fleet *harness_fleet_start(const char *build,
                                          const struct harness_shape *shape);
/* The stand-ins and the list alone; nodes are prepared and not started. */
struct harness_fleet *harness_fleet_prepare(const char *build,
                                            const struct harness_shape *shape);
/* SIGTERM to what runs; the number of nodes that did not exit with 0. */
unsigned harness_fleet_stop(struct harness_fleet *fleet);
void harness_fleet_list(struct harness_fleet *fleet);
void harness_node_start(struct harness_fleet *fleet,
                        struct harness_node *node);
/* Readiness by /readyz; false after limit. */
bool harness_node_wait(const struct harness_node *node, bool ready,
                       int64_t limit_ms);
void harness_node_kill(struct harness_node *node, int signal);
/* Runs `chestnuthitch ARGS... --node ADMIN`; its exit status and output. */
int harness_cli(const struct harness_fleet *fleet,
                const struct harness_node *node, char **output,
                const char *const *args);
int harness_apply(const struct harness_fleet *fleet,
                  const struct harness_node *node, const char *path,
                  char **output);
/* The revision in force at a node; 0: none or no answer. */
uint64_t harness_revision(const struct harness_node *node);
JsonNode *harness_status(const struct harness_node *node);
/* A counter of a node's metrics: chestnuthitch_NAME_total. */
double harness_counter(const struct harness_node *node, const char *name);
/* The node's name that is home of an upstream by a node's status; g_free. */
char *harness_home(const struct harness_node *node, const char *upstream);
struct harness_upstream *harness_find_upstream(struct harness_fleet *fleet,
                                               const char *name);
struct harness_node *harness_find_node(struct harness_fleet *fleet,
                                       const char *name);

/* ---- callers (call.c) ---- */

struct harness_call {
    const char *address;
    const char *method;
    const char *path;
    const char *class_name;
    const char *caller;
    const char *key;
    const char *body;
    int64_t limit_ms;
};

struct harness_answer {
    /* what was asked */
    char *method;
    char *path;
    char *key;
    char *body;
    char *class_name;
    char *node;
    int64_t target_ms; /* of its kind; 0: none */
    /* what the caller was told */
    int curl; /* CURLcode: 0 when the answer ended as its framing says */
    int status;
    char *request_id;
    char *outcome; /* header */
    int code;      /* Chestnuthitch-Code */
    bool retry_after;
    GString *text;
    int64_t sent; /* ms */
    int64_t first;
    int64_t ended;
    int64_t longest; /* between two pieces of the answer */
};

/* Sends and waits; harness_answer_free. */
struct harness_answer *harness_call(const struct harness_call *call);
void harness_answer_free(struct harness_answer *answer);
/* A model call's body: unlike any other with another serial. */
char *harness_model_body(const char *model, unsigned tokens, bool stream,
                         unsigned serial);
char *harness_chat_body(const char *model, unsigned tokens, bool stream,
                        unsigned serial);
/* Status 200, and the whole answer is what the stand-in makes for the body. */
bool harness_answer_good(const struct harness_answer *answer);
/* GET of a path; status (0: none) and the body, g_free. */
int harness_get(const char *address, const char *path, char **body);

/*
 * ---- load (load.c): callers in a loop, through a balancer ----
 *
 * The balancer asks each node's /readyz four times a second, sends calls to
 * those that are ready in turn, and tries the next when a connection is
 * refused.
 */

struct harness_kind {
    const char *class_name;
    const char *model;   /* NULL: a plain service */
    const char *service; /* path */
    unsigned tokens;
    bool stream;
    bool keyed;
    int64_t target_ms; /* for the first byte, or a service's answer */
};

struct harness_load {
    struct harness_fleet *fleet;
    const struct harness_kind *kinds;
    unsigned kind_count;
    unsigned callers;  /* threads */
    int64_t pause_ms;  /* of a caller between two calls */
    int64_t limit_ms;  /* of a call */
    bool repeat_keyed; /* after an unknown outcome, again by another node */
    unsigned first_serial; /* of bodies and keys */
};

struct harness_running;

struct harness_running *harness_load_start(const struct harness_load *load);
/* Every answer, in order of sending; struct harness_answer, owned. */
GPtrArray *harness_load_stop(struct harness_running *running);

/* ---- checker (check.c) ---- */

struct harness_verdict {
    unsigned answers;
    unsigned good;
    unsigned refused;        /* not-run */
    unsigned failed;         /* unknown, ran with an error */
    unsigned broken;         /* the connection went, before or in the answer */
    unsigned idempotent_bad; /* calls without a key that are not good */
    /* each of these breaks a promise */
    unsigned ran_twice;
    unsigned not_run_ran;
    unsigned wrong;      /* an answer given as whole is not its own */
    unsigned untold;     /* an error without outcome or code, a stream cut
                            without telling */
    unsigned overcommit; /* orders above capacity */
    unsigned after_left; /* begun over 5 s after the upstream left */
};

void harness_check(struct harness_fleet *fleet, const GPtrArray *answers,
                   struct harness_verdict *verdict);
/* Prints the verdict, and fails the test when a promise is broken. */
void harness_assert(const char *name, const struct harness_verdict *verdict);
/*
 * Prints "figure: NAME ..." of the answers: the longest time without a good
 * one, the share meeting target before, during and after the fault (ms; the
 * fault from begun to ended), and the time from begun until service stayed
 * good again.
 */
struct harness_figures {
    int64_t longest_gap; /* of calls that may be repeated */
    int64_t orders_gap;  /* of those with a key; 0: there were none */
    double before;       /* share of calls without a key that met the target */
    double during;
    double after;
    double orders_before; /* share of those with one */
    double orders_during;
    double orders_after;
    int64_t recovered; /* of all, ms after begun; -1: never */
};
void harness_measure(const char *name, const GPtrArray *answers, int64_t begun,
                     int64_t ended, struct harness_figures *figures);

/* ---- scenarios (scenario.c): a fault under load, and what it cost ---- */

struct harness_scenario;

/* A scenario as it runs. */
struct harness_scene {
    const struct harness_scenario *scenario;
    struct harness_fleet *fleet;
    struct harness_node *victim; /* what begin chose, for end */
    int64_t begun;
    int64_t ended;
    GPtrArray *answers; /* after the load */
    struct harness_verdict verdict;
    struct harness_figures figures;
};

enum {
    HARNESS_ANY = -1,
};

/* What a fault may cost at most; HARNESS_ANY: not bounded here. */
struct harness_cost {
    int64_t gap_ms;
    int64_t recovered_ms;
    int refused;
    int failed;
    int broken;
    int idempotent_bad;
    /* Not good, though another node than the victim held the connection, and
       no try of the same key was held by the victim. */
    int collateral;
    int during; /* least share meeting target, percent */
    int after;
};

struct harness_scenario {
    const char *name;
    struct harness_shape shape;
    const struct harness_kind *kinds; /* NULL: harness_kinds */
    unsigned kind_count;
    unsigned callers; /* 0: 12 */
    int64_t before_ms;
    int64_t during_ms;
    int64_t after_ms;
    /* Before the first call, in place of warming up; may be NULL. */
    void (*early)(struct harness_scene *scene);
    void (*begin)(struct harness_scene *scene); /* may be NULL */
    void (*end)(struct harness_scene *scene);   /* may be NULL */
    void (*more)(struct harness_scene *scene);  /* further checks; or NULL */
    struct harness_cost cost;
};

/* A streamed, a whole and a non-idempotent call. */
enum {
    HARNESS_KINDS = 3,
};
extern const struct harness_kind harness_kinds[HARNESS_KINDS];

/* For g_test_add_data_func: runs the scenario, prints figures, asserts. */
void harness_scenario_run(gconstpointer scenario);
/* Calls every kind through every node until each was answered well. */
void harness_warm_up(struct harness_fleet *fleet,
                     const struct harness_kind *kinds, unsigned count);
unsigned harness_collateral(const struct harness_scene *scene);
/* The main of a failure test: adds each scenario under /failure/THEME/. */
int harness_main(int argc, char **argv, const char *theme,
                 const struct harness_scenario *scenarios, size_t count);
/* build/KIND, from the program's own path. */
const char *harness_build(void);

#endif
