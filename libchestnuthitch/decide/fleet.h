#ifndef CH_DECIDE_FLEET_H
#define CH_DECIDE_FLEET_H

/*
 * What decisions are based on: requests, upstreams and rate limits.  Nothing
 * in decide/ uses sockets, threads or the clock; the time is an argument.
 * Models, adapters ("model/adapter"), classes and upstreams are GQuarks, so
 * that they stay valid when the configuration changes.
 */

#include "base/base.h"

/* ---- requests ---- */

/* A part of a prompt that other requests may share, in the prompt's order. */
struct ch_part {
    uint64_t id;
    uint32_t tokens;
};

struct ch_work {
    uint64_t id;
    GQuark model;   /* or the name of a plain service */
    GQuark adapter; /* "model/adapter"; 0: none */
    bool service;
    GQuark class_name;
    uint64_t tenant; /* hash of the caller's identity */
    uint32_t model_mb;
    uint32_t adapter_mb;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* upper limit */
    uint64_t prefix;        /* hash of the prompt's first part; 0: none */
    int64_t arrived;
    int64_t first_by;  /* target for the first token, or a service's answer */
    int64_t between;   /* target time between tokens; 0: none */
    int64_t whole_by;  /* target for the whole answer; 0: none */
    uint32_t attempt;  /* 0 for the first */
    uint32_t refusals; /* by upstreams that did not run the request */
    bool idempotent;
    bool begun;  /* the caller has received the beginning of the answer */
    GQuark pool; /* service whose upstreams may take the request; 0: any */
    const struct ch_part *parts; /* owned by the request */
    size_t part_count;
    uint32_t tries; /* limit on the upstreams that may run the request; 0: the
                       policy's */
    uint32_t priority; /* of the request's class; 0 goes first */
    GQuark only; /* the sole upstream that may take the request; 0: any may */
};

/* ---- upstreams, as known to a node ---- */

struct ch_item {
    GQuark name;
    uint32_t rate; /* requests in 1,000 s at this upstream */
};

struct ch_upstream_view {
    GQuark name;
    uint16_t region;      /* index into the fleet's regions */
    uint16_t data_centre; /* index into the fleet's data centres */
    GQuark service;       /* name of a plain service; 0: an engine */
    bool leaving;
    bool down;
    uint32_t accelerators;
    uint32_t capacity_mb;
    uint32_t free_mb; /* neither resident nor reserved */
    uint32_t batch;   /* limit on requests that run at the same time */
    uint32_t running;
    uint32_t queued;
    int64_t wait;        /* predicted for a request that arrives now */
    int64_t token;       /* measured time per token at this batch size */
    int64_t seen;        /* time of the report that these values are from */
    uint32_t sent_since; /* this node's requests since reported_at */
    GArray *resident;    /* of struct ch_item */
    GArray *loading;     /* of struct ch_item */
};

struct ch_fleet {
    struct ch_upstream_view *upstreams; /* sorted by name */
    size_t count;
    uint16_t region; /* of the deciding node */
    uint16_t data_centre;
    int64_t region_delay; /* one way, between regions */
    /* Bytes that may still go to other regions now; see ch_token_bucket. */
    int64_t link_bytes;
    uint32_t loads_left; /* loads from the weight store that may start now */
};

bool ch_upstream_view_has(const struct ch_upstream_view *view, GQuark item);
bool ch_upstream_view_loads(const struct ch_upstream_view *view, GQuark item);
struct ch_upstream_view *ch_fleet_find(struct ch_fleet *fleet, GQuark name);

/* ---- token buckets (bucket.c): limit loads, link bytes, watches ---- */

struct ch_bucket {
    double level;
    double rate; /* tokens per second */
    double most;
    int64_t at;
};

void ch_bucket_init(struct ch_bucket *bucket, double rate, double most,
                    int64_t now);
bool ch_bucket_take(struct ch_bucket *bucket, double amount, int64_t now);
double ch_bucket_level(struct ch_bucket *bucket, int64_t now);

#endif
