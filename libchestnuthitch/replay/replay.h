#ifndef CH_REPLAY_H
#define CH_REPLAY_H

/*
 * Replays a recorded trace through the decision code of decide/ in virtual
 * time.  Engines, the weight store and the link between regions are simulated
 * by a small model whose parameters are in the site file.  The output is
 * deterministic: the same input gives the same bytes.
 */

#include "base/base.h"
#include "decide/policy.h"

/* ---- the site: machines and links to simulate (site_read.c) ---- */

struct ch_site_region {
    char *name;
    int64_t client_delay; /* one way, caller to entry node */
    char **callers; /* callers of this region; others are assigned by hash */
};

struct ch_site_data_centre {
    char *name;
    size_t region;
};

struct ch_site_upstream {
    char *name;
    size_t data_centre;
    char *service; /* plain service's name; NULL: an engine */
    uint32_t memory_mb;
    uint32_t accelerators;
    uint32_t max_batch;
};

struct ch_site_entry {
    char *name;
    size_t data_centre;
};

/* Simulated engine.  A token of each running request takes token_time, plus
 * token_time_per_request for each request that runs. */
struct ch_site_engine {
    int64_t token_time;             /* fixed part of a token's time */
    int64_t token_time_per_request; /* added per request in the batch */
    double prefill_tokens_per_s;    /* prompt tokens a second */
    uint32_t cache_tokens;          /* capacity of the prefix cache */
    uint32_t prefix_tokens;    /* shared tokens of a prompt with a prefix */
    int64_t report_period;     /* time between load reports */
    int64_t mean_service_time; /* mean time of a call of a plain service */
    uint32_t token_bytes;      /* bytes of a response's token on the link */
    bool fencing;              /* rejects orders with an old fencing token */
};

struct ch_site {
    struct ch_site_region *regions;
    size_t region_count;
    struct ch_site_data_centre *data_centres;
    size_t data_centre_count;
    struct ch_site_upstream *upstreams; /* sorted by name */
    size_t upstream_count;
    struct ch_site_entry *entries; /* sorted by name */
    size_t entry_count;
    struct ch_site_engine engine;
    double loads_per_s;
    unsigned max_parallel_loads;
    unsigned max_parallel_adapter_loads;
    double load_mb_per_s; /* speed of a load that has no competition */
    int64_t min_adapter_load_time;
    int64_t max_adapter_load_time;
    double link_mbit_per_s;
    int64_t region_delay;      /* one way, between regions */
    int64_t data_centre_delay; /* one way, within a region */
};

/* Reads the site file.  The result belongs to the caller; NULL with an error.
 */
struct ch_site *ch_site_load(const char *path, struct ch_error *error);
struct ch_site *ch_site_parse(const char *text, const char *path,
                              struct ch_error *error);
void ch_site_free(struct ch_site *site);
uint32_t ch_site_count_accelerators(const struct ch_site *site);

/* ---- the trace (trace.c, trace_log.c) ---- */

enum ch_trace_kind {
    CH_TRACE_REQUEST,
    CH_TRACE_SLOW,
    CH_TRACE_DOWN,
    CH_TRACE_UP,
    CH_TRACE_DRAIN,
    CH_TRACE_KV_DOWN,
    CH_TRACE_KV_UP,
    CH_TRACE_LINK_DOWN,
    CH_TRACE_LINK_UP,
    CH_TRACE_ENTRY_DOWN,
    CH_TRACE_ENTRY_UP,
};

struct ch_trace_event {
    int64_t at; /* microseconds since the start of the trace */
    enum ch_trace_kind kind;
    size_t target; /* index of an upstream or entry node, by kind */
    double value;
    char *caller;
    size_t class_index;
    int model; /* index in the declaration; -1: call of a service */
    int service;
    int adapter; /* index in the model; -1: none */
    uint64_t prefix;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    char *key; /* idempotency key; NULL: none */
};

struct ch_trace {
    struct ch_trace_event *events; /* sorted by time */
    size_t count;
};

/* Reads CSV, or the log of a node if the text begins with "{".  The result
 * belongs to the caller; NULL with an error. */
struct ch_trace *ch_trace_load(const char *path,
                               const struct ch_declaration *declaration,
                               const struct ch_site *site,
                               struct ch_error *error);
struct ch_trace *ch_trace_parse(const char *text, const char *path,
                                const struct ch_declaration *declaration,
                                const struct ch_site *site,
                                struct ch_error *error);
void ch_trace_free(struct ch_trace *trace);

/* ---- result of a run (result.c) ---- */

struct ch_result_class {
    char *name;
    uint64_t requests;
    uint64_t met;
    uint64_t refused;
    GArray *response_times; /* int64_t: time to the whole response, at the
                               caller */
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
    uint64_t dispatches;   /* to upstreams, including retries */
    uint64_t run_late;     /* responses complete but later than the target */
    double worst_tenant;   /* lowest attainment among the callers */
    double bound;          /* upper bound of the attainment (bound.c) */
    GArray *refusal_times; /* int64_t: time from arrival to refusal */
    GArray *goodput; /* uint32_t: requests in time, by second of arrival */
    GArray *offered; /* uint32_t: requests, by second of arrival */
    struct ch_result_class *classes;
    size_t class_count;
};

struct ch_result *ch_result_new(const struct ch_declaration *declaration);
void ch_result_free(struct ch_result *result);
/* The quantile in thousandths (500: median) of an array of int64_t, which is
 * sorted in place; 0 if the array is empty. */
int64_t ch_result_get_quantile(GArray *times, unsigned per_mille);
double ch_result_get_attainment(const struct ch_result *result);
/* Appends one JSON object and a newline. */
void ch_result_print(struct ch_result *result, GString *out);

/* ---- a run (sim_run.c) and the upper bound (bound.c) ---- */

struct ch_result *ch_replay_run(const struct ch_site *site,
                                const struct ch_declaration *declaration,
                                const struct ch_trace *trace,
                                const struct ch_policy *policy, uint64_t seed);
double ch_bound_compute_attainment(const struct ch_site *site,
                                   const struct ch_declaration *declaration,
                                   const struct ch_trace *trace);

/* ---- expected results (expect.c) ---- */

/* Checks a result against an expectation file.  False: the error names the
 * first expectation that fails, with the expected and the actual figure
 * (EXPECTATION), or the fault of the file. */
bool ch_expect_check(const char *text, const char *path,
                     struct ch_result *result, struct ch_error *error);

#endif
