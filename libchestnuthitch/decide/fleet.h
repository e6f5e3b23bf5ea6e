#ifndef CH_DECIDE_FLEET_H
#define CH_DECIDE_FLEET_H

/*
 * What decisions are based on: requests, upstreams and rate limits.  Nothing
 * in decide/ uses sockets, threads or the clock; the time is an argument.
 * Models, adapters ("model/adapter"), classes and upstreams are GQuarks, so
 * that they stay valid when the configuration changes.
 */

#include "base/base.h"

/* ---- versions of the upstreams' software ---- */

enum {
    CH_VERSION_NOT_KNOWN = 0,
};

/* The ID of a version: the same for equal texts. NULL: CH_VERSION_NOT_KNOWN.
 */
uint64_t ch_version_get_id(const char *text);

/* ---- requests ---- */

/* A part of a prompt that other requests may share, in the prompt's order. */
struct ch_prompt_part {
    uint64_t id;
    uint32_t tokens;
};

struct ch_request_info {
    uint64_t id;
    GQuark model;   /* or the name of a plain service */
    GQuark adapter; /* "model/adapter"; 0: none */
    bool is_service;
    GQuark class_name;
    uint64_t tenant;        /* hash of the caller's identity */
    bool has_team;          /* tenant is the hash of the team's name */
    const char *request_id; /* that the caller knows, for logs; owned by the
                               request; NULL: none */
    uint32_t model_mb;
    uint32_t adapter_mb;
    uint32_t prompt_tokens;
    uint32_t max_output_tokens; /* upper limit */
    uint64_t prefix_hash;       /* hash of the prompt's first part; 0: none */
    int64_t arrived_at;
    int64_t first_token_deadline; /* target for the first token, or a service's
                                     answer */
    int64_t token_target;         /* target time between tokens; 0: none */
    int64_t answer_deadline;      /* target for the whole answer; 0: none */
    uint32_t attempt;             /* 0 for the first */
    uint32_t refusals; /* by upstreams that did not run the request */
    bool idempotent;
    bool answer_started; /* the caller has received the beginning of the answer
                          */
    GQuark required_service; /* service whose upstreams may take the request;
                                0: any */
    const struct ch_prompt_part *parts; /* owned by the request */
    size_t part_count;
    uint32_t max_attempts; /* limit on the upstreams that may run the request;
                       0: the policy's */
    uint32_t priority;     /* of the request's team, else of its class; 0 goes
                              first */
    uint32_t class_priority;  /* of the request's class */
    int64_t event_gap_target; /* longest pause between events; 0: none */
    uint32_t expected_output_tokens; /* that the caller expects; 0: not
                                        stated */
    GQuark required_upstream; /* the sole upstream that may take the request;
                                 0: any may */
    /* Sole version of upstreams' software that may take the request; 0: any.
     * What two versions generate does not fit together in one stream. */
    uint64_t required_version;
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
    uint64_t version_id;  /* of its software */
    bool draining;
    bool down;
    uint32_t accelerators;
    uint32_t capacity_mb;
    uint32_t free_mb;   /* neither resident nor reserved */
    uint32_t max_batch; /* limit on requests that run at the same time */
    uint32_t running;
    uint32_t queued;
    int64_t predicted_wait; /* predicted for a request that arrives now */
    int64_t token_time;     /* measured time per token at this batch size */
    int64_t reported_at;    /* time of the report that these values are from */
    uint32_t sent_since_report; /* this node's requests since reported_at */
    GArray *resident;           /* of struct ch_item */
    GArray *loading;            /* of struct ch_item */
};

struct ch_fleet {
    struct ch_upstream_view *upstreams; /* sorted by name */
    size_t count;
    uint16_t region; /* of the deciding node */
    uint16_t data_centre;
    int64_t region_delay; /* one way, between regions */
    /* Bytes that may still go to other regions now; see ch_token_bucket. */
    int64_t link_bytes_left;
    uint32_t
        store_loads_left; /* loads from the weight store that may start now */
};

bool ch_upstream_view_has_item(const struct ch_upstream_view *view,
                               GQuark item);
bool ch_upstream_view_is_loading(const struct ch_upstream_view *view,
                                 GQuark item);
struct ch_upstream_view *ch_fleet_find_upstream(struct ch_fleet *fleet,
                                                GQuark name);

/* ---- token buckets (token_bucket.c): loads, link bytes, watches ---- */

struct ch_token_bucket {
    double tokens;
    double rate_per_s; /* tokens per second */
    double capacity;
    int64_t updated_at;
};

void ch_token_bucket_init(struct ch_token_bucket *bucket, double rate,
                          double most, int64_t now);
bool ch_token_bucket_take(struct ch_token_bucket *bucket, double amount,
                          int64_t now);
double ch_token_bucket_level(struct ch_token_bucket *bucket, int64_t now);

#endif
