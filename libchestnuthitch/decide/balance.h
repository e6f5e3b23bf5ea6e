#ifndef CH_DECIDE_BALANCE_H
#define CH_DECIDE_BALANCE_H

/*
 * Chooses an upstream for a request where each node routes by its own view:
 * the state that the upstreams report, the load that other nodes report, and
 * what this node has sent itself. No sockets, no clock, no threads. Times are
 * in microseconds.
 */

#include "decide/policy.h"
#include "pace/pace.h"
#include "prefill/prefill.h"

/* An upstream as the list of upstreams describes it. */
struct ch_upstream_info {
    GQuark name;
    GQuark service;
    GQuark region;
    GQuark data_centre;
    GQuark version;      /* of its software; 0: not known */
    uint64_t version_id; /* of its software */
    bool engine;
    bool draining;
    uint64_t boot_id;
    int64_t confirmed_at;    /* when the list's entry of this boot arrived */
    uint32_t slots;          /* max. requests at once */
    uint32_t context_tokens; /* memory for prompts and responses; 0: unknown */
    uint32_t adapter_slots;
    const GQuark *resident_models;
    size_t resident_model_count;
};

/* The upstream chosen for a request, or the refusal. */
struct ch_upstream_choice {
    enum ch_code code; /* CH_OK: an upstream was chosen; else the request is
                          refused with this code */
    GQuark upstream;
    uint64_t boot_id; /* boot ID of the upstream */
    GQuark version;   /* of its software; 0: not known */
    uint64_t version_id;
    GQuark data_centre;
    bool other_region;
    /* A connection to the upstream was lost since its entry arrived: another
     * process may have taken its name. */
    bool may_have_restarted;
    bool is_last_resort;  /* no other upstream can take the request: there is
                             none, or their limits were used up lately */
    bool adapter_missing; /* load the adapter before the request is sent */
    uint32_t
        prefill_tokens;   /* prompt tokens that the upstream has not cached */
    int64_t prefill_time; /* to prefill these tokens */
    int64_t expected_latency; /* until the first token, or until a plain
                         service's response */
    /* The least expected latency of all upstreams that may take the request;
     * the chosen one may be another, so that nodes don't all choose the same.
     */
    int64_t shortest_latency;
    /* Sending now would make the streams at the engine pause for too long: the
     * request is better sent a little later. */
    bool should_defer;
    GQuark region;
    /* How its prompt is spaced from those before it; cost 0: it is not. */
    struct ch_prefill_rule prefill;
    /* Another engine, at which the prompt causes more harm by pauses, would
     * have been chosen if that did not count. */
    bool avoided_pauses;
    /* Expected pace of the engine and the age of the reading that it is from;
     * 0 and -1: not known, or not used. */
    double expected_pace;
    int64_t pace_age;
    /* Divisor for measured times; 0: nothing is to be measured. See
     * ch_pause_get_fastest_pace(). */
    double measured_pace;
    double late_streams; /* that the prompt is expected to make late */
    int64_t retry_after; /* of a refusal */
    const char *message;
};

struct ch_balance;

struct ch_balance *ch_balance_new(GQuark region, GQuark data_centre);
void ch_balance_free(struct ch_balance *balance);
/* Switches off parts of the policy from now on; at first nothing is disabled.
 */
void ch_balance_disable_features(struct ch_balance *balance,
                                 const struct ch_disabled_features *without);

/* Whether the pauses that a prompt causes count also at engines that do not
 * state their pace; these count as usual ones. At first they do not. */
void ch_balance_control_overload(struct ch_balance *balance, bool control);

/* Replaces the list of upstreams: call begin, then
 * ch_balance_update_upstream() for each upstream, then end. An upstream that
 * was not updated in between is forgotten. */
void ch_balance_begin_update(struct ch_balance *balance);
void ch_balance_update_upstream(struct ch_balance *balance,
                                const struct ch_upstream_info *facts);
void ch_balance_end_update(struct ch_balance *balance);

/* Replace the known models or adapters of an upstream. */
void ch_balance_set_models(struct ch_balance *balance, GQuark upstream,
                           const GQuark *models, size_t count);
void ch_balance_set_adapters(struct ch_balance *balance, GQuark upstream,
                             const GQuark *adapters, size_t count);
/* Records that one adapter was loaded or unloaded. */
void ch_balance_set_adapter_resident(struct ch_balance *balance,
                                     GQuark upstream, GQuark adapter,
                                     bool resident);
/* busy: the upstream accepts no orders now, such as one to load an adapter. */
void ch_balance_set_busy(struct ch_balance *balance, GQuark upstream,
                         bool busy);
/* Until this time the upstream's own limit permits no call; it is chosen only
 * where no other upstream can take the request. */
void ch_balance_set_limited_until(struct ch_balance *balance, GQuark upstream,
                                  int64_t until);
/* Replaces what is known of the load and the pace that the upstream states; a
 * restart of the upstream clears it. */
void ch_balance_set_pace(struct ch_balance *balance, GQuark upstream,
                         const struct ch_pace_state *state);
/* Records that the upstream no longer has the model, or never had it; holds
 * until the next update of its models. */
void ch_balance_remove_model(struct ch_balance *balance, GQuark upstream,
                             GQuark model);
/*
 * Sets the load of all nodes together on an upstream as of now.
 * prefill_backlog: time to prefill the prompts whose prefill has not begun.
 * Both totals include this node's own load as last reported by
 * ch_balance_report_load().
 */
void ch_balance_set_total_load(struct ch_balance *balance, GQuark upstream,
                               uint32_t running, int64_t prefill_backlog,
                               int64_t now);
/* Calls `report` with this node's own load for each engine that has some, or
 * had some at the last call. */
void ch_balance_report_load(struct ch_balance *balance,
                            void (*report)(void *data, GQuark upstream,
                                           GQuark data_centre,
                                           uint32_t running,
                                           int64_t prefill_backlog),
                            void *data);

/* The boot ID in an upstream's entry; 0: not known. */
uint64_t ch_balance_get_boot(const struct ch_balance *balance,
                             GQuark upstream);
/* The service of an upstream; 0 where it is not listed. */
GQuark ch_balance_get_service(const struct ch_balance *balance,
                              GQuark upstream);
/* The version of an upstream's software; CH_VERSION_NOT_KNOWN also where the
 * upstream is not listed. */
uint64_t ch_balance_get_version(const struct ch_balance *balance,
                                GQuark upstream);
/* Chooses an upstream by the expected latency. excluded: GQuarks of upstreams
 * that this request must not go to; NULL: none. adapter_ready: consider only
 * upstreams that already have the request's adapter. */
struct ch_upstream_choice
ch_balance_choose(struct ch_balance *balance,
                  const struct ch_request_info *request,
                  const GArray *excluded, bool adapter_ready, int64_t now);
/* Records that the request is sent as chosen. Each call is followed by one of
 * ch_balance_record_end(). */
void ch_balance_record_sent(struct ch_balance *balance,
                            const struct ch_request_info *request,
                            const struct ch_upstream_choice *choice,
                            int64_t now);
/* Records that the first byte of the response came `elapsed` after the request
 * was sent. */
void ch_balance_record_first_byte(struct ch_balance *balance,
                                  const struct ch_request_info *request,
                                  const struct ch_upstream_choice *choice,
                                  int64_t elapsed, int64_t now);
/* response_started: ch_balance_record_first_byte() was called for the request.
 */
void ch_balance_record_end(struct ch_balance *balance,
                           const struct ch_request_info *request,
                           const struct ch_upstream_choice *choice,
                           bool response_started,
                           const struct ch_timing_sample *sample, int64_t now);

/* Adds the engine time that a request needs to the demand for its model. Call
 * this for every request, whether or not an upstream takes it. */
void ch_balance_record_demand(struct ch_balance *balance,
                              const struct ch_request_info *request,
                              int64_t now);
/* Calls `visit` with the demand for each model, in seconds of engine time per
 * second. */
void ch_balance_foreach_demand(struct ch_balance *balance, int64_t now,
                               void (*visit)(void *data, GQuark model,
                                             double demand),
                               void *data);
/* Time that an engine is likely to take for the prefill of the request's
 * prompt. */
int64_t ch_balance_estimate_prefill(const struct ch_balance *balance,
                                    const struct ch_request_info *request);
/* Engine time that the request is likely to take: its prefill, and its part of
 * the batch while its response is decoded. */
int64_t ch_balance_estimate_work(const struct ch_balance *balance,
                                 const struct ch_request_info *request);
/*
 * Engine time, in seconds per second, that the engines of a service have for a
 * model: each engine that has it and is not draining is divided among its
 * models in proportion to their demand for each replica, as this node measures
 * it; in equal parts where this node knows no demand.
 */
double ch_balance_estimate_engine_room(const struct ch_balance *balance,
                                       GQuark service, GQuark model,
                                       int64_t now);
/* Requests that this node has running on the upstream. */
uint32_t ch_balance_count_running(const struct ch_balance *balance,
                                  GQuark upstream);
size_t ch_balance_count_upstreams(const struct ch_balance *balance);

#endif
