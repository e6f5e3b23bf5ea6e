#ifndef CH_REPLAY_H
#define CH_REPLAY_H

/*
 * Replay: a recorded trace through the decisions of decide/, in virtual time,
 * against a small stated model of the engines, the weight store and the link
 * between regions.  The same input gives the same bytes of output.
 */

#include "base/base.h"
#include "decide/policy.h"

/* ---- the site: what the platform would report (site_read.c) ---- */

struct ch_site_region {
    char *name;
    int64_t client_delay; /* one way, caller to entry host */
    char **callers;       /* who come in here; all others go by hash */
};

struct ch_site_data_centre {
    char *name;
    size_t region;
};

struct ch_site_upstream {
    char *name;
    size_t data_centre;
    char *service; /* NULL: an engine */
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t batch;
};

struct ch_site_entry {
    char *name;
    size_t data_centre;
};

/* The engine's model: a token takes token + each running request's share. */
struct ch_site_engine {
    int64_t token;             /* time for a token, alone */
    int64_t token_per_request; /* more for each request in the batch */
    double prefill_per_s;      /* prompt tokens */
    uint32_t cache_tokens;     /* prefix cache */
    uint32_t prefix_tokens;    /* of a prompt that names a prefix */
    int64_t report;            /* time between load reports */
    int64_t service;           /* mean time of a plain service's call */
    uint32_t token_bytes;      /* of an answer, on the link */
    bool fencing;              /* refuses orders with old numbers */
};

struct ch_site {
    struct ch_site_region *regions;
    size_t region_count;
    struct ch_site_data_centre *data_centres;
    size_t data_centre_count;
    struct ch_site_upstream *upstreams; /* in order of name */
    size_t upstream_count;
    struct ch_site_entry *entries; /* in order of name */
    size_t entry_count;
    struct ch_site_engine engine;
    double loads_per_s;
    unsigned loads_parallel;
    unsigned adapters_parallel;
    double load_mb_per_s; /* of one load at full speed */
    int64_t adapter_least;
    int64_t adapter_most;
    double link_mbit;
    int64_t region_delay;      /* one way, between regions */
    int64_t data_centre_delay; /* one way, within a region */
};

struct ch_site *ch_site_load(const char *path, struct ch_error *error);
struct ch_site *ch_site_parse(const char *text, const char *path,
                              struct ch_error *error);
void ch_site_free(struct ch_site *site);
uint32_t ch_site_accelerators(const struct ch_site *site);

/* ---- the trace (trace.c, trace_log.c) ---- */

enum ch_trace_kind {
    CH_TRACE_REQUEST,
    CH_TRACE_SLOW,
    CH_TRACE_DOWN,
    CH_TRACE_UP,
    CH_TRACE_LEAVE,
    CH_TRACE_KV_DOWN,
    CH_TRACE_KV_UP,
    CH_TRACE_LINK_DOWN,
    CH_TRACE_LINK_UP,
    CH_TRACE_ENTRY_DOWN,
    CH_TRACE_ENTRY_UP,
};

struct ch_trace_event {
    int64_t at; /* microseconds from the trace's start */
    enum ch_trace_kind kind;
    size_t target; /* of upstreams or entries; by kind */
    double value;
    char *caller;
    size_t class_index;
    int model; /* index of the declaration; -1: a service's call */
    int service;
    int adapter; /* index in the model; -1: none */
    uint64_t prefix;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    char *key; /* NULL: none */
};

struct ch_trace {
    struct ch_trace_event *events; /* in order of time */
    size_t count;
};

/* CSV, or a node's log when the text begins with "{". */
struct ch_trace *ch_trace_load(const char *path,
                               const struct ch_declaration *declaration,
                               const struct ch_site *site,
                               struct ch_error *error);
struct ch_trace *ch_trace_parse(const char *text, const char *path,
                                const struct ch_declaration *declaration,
                                const struct ch_site *site,
                                struct ch_error *error);
void ch_trace_free(struct ch_trace *trace);

/* ---- what came out (result.c) ---- */

struct ch_result_class {
    char *name;
    uint64_t requests;
    uint64_t met;
    uint64_t refused;
    GArray *times; /* int64_t: whole answers as the caller saw them */
};

struct ch_result {
    uint64_t requests;
    uint64_t met;
    uint64_t refused_not_run;
    uint64_t failed;
    uint64_t unknown;
    uint32_t accelerators;
    uint64_t model_loads;
    uint64_t model_unloads;
    uint64_t adapter_loads;
    uint64_t overcommit_events;
    uint64_t unreachable_models;
    uint64_t link_bytes;
    uint64_t retries;
    uint64_t ran_twice;    /* non-idempotent keys dispatched more than once */
    uint64_t dispatches;   /* to upstreams, retries among them */
    uint64_t run_late;     /* answered whole, past the target */
    double worst_tenant;   /* lowest attainment of a caller */
    double bound;          /* attainment that no policy can pass (bound.c) */
    GArray *refusal_times; /* int64_t: arrival to refusal */
    GArray *goodput;       /* uint32_t: requests met, by second of arrival */
    GArray *offered;       /* uint32_t: requests, by second of arrival */
    struct ch_result_class *classes;
    size_t class_count;
};

struct ch_result *ch_result_new(const struct ch_declaration *declaration);
void ch_result_free(struct ch_result *result);
/* The nth part of a thousand of an array of int64_t, which it sorts. */
int64_t ch_result_quantile(GArray *times, unsigned per_mille);
double ch_result_attainment(const struct ch_result *result);
/* One JSON object and a newline. */
void ch_result_print(struct ch_result *result, GString *out);

/* ---- a run (sim_run.c) and the bound (bound.c) ---- */

struct ch_result *ch_replay_run(const struct ch_site *site,
                                const struct ch_declaration *declaration,
                                const struct ch_trace *trace,
                                const struct ch_policy *policy, uint64_t seed);
double ch_bound_attainment(const struct ch_site *site,
                           const struct ch_declaration *declaration,
                           const struct ch_trace *trace);

/* ---- stated outcomes (expect.c) ---- */

/* True: all hold.  False: error names the first that fails with both
   figures (EXPECTATION), or what is wrong with the file. */
bool ch_expect_check(const char *text, const char *path,
                     struct ch_result *result, struct ch_error *error);

#endif
