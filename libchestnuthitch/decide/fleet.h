#ifndef CH_DECIDE_FLEET_H
#define CH_DECIDE_FLEET_H

/*
 * What the decisions see of the world: requests, upstreams and shares.
 * Nothing in decide/ touches sockets, threads or the clock: the time comes in
 * as an argument.  Models, adapters ("model/adapter"), classes and upstreams
 * are GQuarks, so that they stay the same when the configuration changes.
 */

#include "base/base.h"

/* ---- a request, as the decisions see it ---- */

/* A part of a prompt that requests may share, in the prompt's order. */
struct ch_part {
    uint64_t id;
    uint32_t tokens;
};

struct ch_work {
    uint64_t id;
    GQuark model;   /* or the plain service's name */
    GQuark adapter; /* "model/adapter"; 0: none */
    bool service;
    GQuark class_name;
    uint64_t tenant; /* hash of the caller's identity */
    uint32_t model_mb;
    uint32_t adapter_mb;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* most that may come */
    uint64_t prefix;        /* hash of the prompt's first part; 0: none */
    int64_t arrived;
    int64_t first_by;  /* target for the first token, or a service's answer */
    int64_t between;   /* target between tokens; 0: none */
    int64_t whole_by;  /* target for the whole answer; 0: none */
    uint32_t attempt;  /* 0 for the first */
    uint32_t refusals; /* of upstreams that did not run it */
    bool idempotent;
    bool begun;  /* the caller has the beginning of its answer */
    GQuark pool; /* the service whose upstreams may take it; 0: any */
    const struct ch_part *parts; /* the request's own; lives as long as it */
    size_t part_count;
    uint32_t tries;    /* most upstreams that it may run on; 0: the policy's */
    uint32_t priority; /* of its class, 0 goes first */
    GQuark only;       /* no other upstream may take it; 0: any may */
};

/* ---- an upstream, as a node believes it to be ---- */

struct ch_item {
    GQuark name;
    uint32_t rate; /* requests in 1,000 s, at this upstream */
};

struct ch_upstream_view {
    GQuark name;
    uint16_t region;      /* index into the fleet's regions */
    uint16_t data_centre; /* likewise */
    GQuark service;       /* of a plain service; 0: an engine */
    bool leaving;
    bool down;
    uint32_t accelerators;
    uint32_t capacity_mb;
    uint32_t free_mb; /* neither resident nor reserved */
    uint32_t batch;   /* most requests at once */
    uint32_t running;
    uint32_t queued;
    int64_t wait;        /* predicted for a request that comes now */
    int64_t token;       /* measured time for a token at this batch */
    int64_t seen;        /* when all this was so */
    uint32_t sent_since; /* own requests sent there after seen */
    GArray *resident;    /* of struct ch_item */
    GArray *loading;     /* of struct ch_item */
};

struct ch_fleet {
    struct ch_upstream_view *upstreams; /* in order of name */
    size_t count;
    uint16_t region; /* of the node that decides */
    uint16_t data_centre;
    int64_t region_delay; /* one way, between regions */
    /* Bytes that may still cross to another region now; see ch_bucket. */
    int64_t link_bytes;
    uint32_t loads_left; /* weight store: loads that may begin now */
};

bool ch_upstream_view_has(const struct ch_upstream_view *view, GQuark item);
bool ch_upstream_view_loads(const struct ch_upstream_view *view, GQuark item);
struct ch_upstream_view *ch_fleet_find(struct ch_fleet *fleet, GQuark name);

/* ---- shares by token bucket (bucket.c): loads, link bytes, retries ---- */

struct ch_bucket {
    double level;
    double rate; /* a second */
    double most;
    int64_t at;
};

void ch_bucket_init(struct ch_bucket *bucket, double rate, double most,
                    int64_t now);
bool ch_bucket_take(struct ch_bucket *bucket, double amount, int64_t now);
double ch_bucket_level(struct ch_bucket *bucket, int64_t now);

#endif
