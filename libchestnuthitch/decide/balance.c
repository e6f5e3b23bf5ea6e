/* Chooses upstreams by a node's own view of their load. */

#include "decide/balance.h"
#include "decide/fill.h"
#include "pause/pause.h"

#include <math.h>
#include <string.h>

enum {
    /* Until measured: time to prefill one prompt token, and to decode one
     * token of the most that a response may have. Responses have a quarter of
     * that on average. */
    DEFAULT_PREFILL_US_PER_TOKEN = 52,
    DEFAULT_DECODE_US_PER_TOKEN = 3 * 1000,
    DEFAULT_EVENT_US = 40 * 1000,
    /* The first token of a shorter prompt depends more on the network than on
     * the prefill, so that it isn't used to measure prefill speed. */
    MIN_MEASURED_TOKENS = 256,
    /* Of this many samples, one is likely to come from an engine with little
     * other load. */
    MIN_SAMPLES = 8,
    /* Cost of each request that runs beside a new one, to the new one and its
     * neighbours, until their first tokens. Each makes every step of the batch
     * longer, and a request takes some hundred steps. */
    BATCH_NEIGHBOUR_US = 1500,
    /* Minimum for one step of the batch and the network both ways. */
    MIN_FIRST_TOKEN_US = 25 * 1000,
    /* A plain service's response until one was measured. */
    DEFAULT_RESPONSE_US = 30 * 1000,
    /* Cost of another data centre or region: beside the network delay, traffic
     * between data centres is billed, and between regions at four times the
     * price. */
    OTHER_DATA_CENTRE_COST_US = 15 * 1000,
    OTHER_REGION_COST_US = 120 * 1000,
    /* Cost of an upstream whose memory can't hold the request: it makes
     * another request wait for its turn, or preempts one in the middle of its
     * stream. */
    MEMORY_FULL_COST_US = 2 * G_USEC_PER_SEC,
    /* Cost of an upstream at which all recent requests failed. A failure costs
     * a caller its target, so that such an upstream is chosen only if the
     * others are worse by this much. */
    FAILURE_COST_US = 4 * G_USEC_PER_SEC,
    /* Failures are forgotten over this time, so that an upstream that has
     * recovered gets requests again, at first only one. */
    FAILURE_FORGET_US = 4 * G_USEC_PER_SEC,
    /* An adapter loads in 6 to 19 ms; the rest is the delay of the load order.
     */
    ADAPTER_LOAD_US = 60 * 1000,
    /* Cost of the sole engine of its version with the model: its streams are
     * lost with it. Much less than a queue there or elsewhere. */
    LONE_VERSION_COST_US = 60 * 1000,
    /* An engine that is loading or unloading models accepts no other order for
     * a second or more. */
    BUSY_ENGINE_COST_US = 1500 * 1000,
    /* Load of other nodes reported longer ago than this is ignored. */
    OTHERS_STALE_US = 3 * G_USEC_PER_SEC,
    /* Age of other nodes' load by the time when it arrives here. */
    OTHERS_LAG_US = 200 * 1000,
    /* Retry-after of a refusal for lack of an upstream: missing models are
     * being loaded meanwhile. */
    NO_UPSTREAM_RETRY_AFTER_US = G_USEC_PER_SEC,
    /* Averaging time of the demand for a model: demand moves every few
     * seconds. */
    DEMAND_WINDOW_US = 1000 * 1000,
    /* Averaging time where models are compared by the requests of this node
     * alone, of which there are few in a second. */
    MEAN_DEMAND_WINDOW_US = 8 * 1000 * 1000,
    /* Limit of prefill without a pause at an engine, and the pause that must
     * follow: three steps of the batch, which produce the tokens of one event.
     */
    MAX_PREFILL_BURST_US = 230 * 1000,
    PREFILL_PAUSE_US = 40 * 1000,
    /* Time between two events, and the tokens of one, until measured. */
    DEFAULT_TOKENS_PER_EVENT = 4,
    /* Share of the most that a response may have, as a divisor, where the
     * caller does not state what it expects. */
    EXPECTED_OUTPUT_DIVISOR = 4,
    MAX_CACHED_PARTS = 1024, /* per upstream */
};

/* Share of a prompt that an engine usually has to prefill; the rest is shared
 * with other requests and cached. */
static const double default_uncached_share = 0.75;
/* Weight of the latest outcome in the failure rate. */
static const double failure_sample_weight = 0.3;
/* Weight of the latest sample in a moving average. */
static const double mean_sample_weight = 0.1;
/* Bounds of an upstream's measured slowdown, so that a single outlier can't
 * make it look free or unusable. */
static const double MIN_SLOWDOWN = 0.5;
static const double MAX_SLOWDOWN = 8;
/* Weights of the latest sample in a measured time. The time follows the
 * fastest responses, which come while the engine has little other load. */
static const double faster_sample_weight = 0.2;
static const double slower_sample_weight = 0.0005;
/* Share of the other nodes' requests at an engine that are for the requested
 * model: an engine holds two or three models. */
static const double same_model_share = 0.5;
/* Share of the context memory that counts as full; less than 1, as response
 * lengths are estimates. */
static const double memory_full_share = 0.9;
/* Costs that differ by less than this share count as equal, and each request
 * orders such upstreams differently. */
static const double tie_spread = 0.1;

/* A part of a prompt that the upstream has probably cached. */
struct cached_part {
    uint64_t prefix_hash; /* hash of the model, the adapter and all parts up to
                             this one */
    uint32_t tokens;
    int64_t used_at;
};

struct upstream_state {
    struct ch_upstream_info facts;
    bool listed;
    bool busy;             /* accepts no orders now */
    int64_t limited_until; /* see ch_balance_set_limited_until() */
    int64_t lost_at;       /* when a connection to it was last lost */
    struct ch_pace_state pace;
    GArray *models;   /* GQuark */
    GArray *adapters; /* GQuark: "model/adapter" */
    /* Requests of this node. */
    uint32_t running;
    int64_t prefill_backlog;      /* of prompts that have no response yet */
    uint64_t used_context_tokens; /* tokens of all running requests */
    /* Prefill time of what was sent since the engine last had a pause without
     * prefill. */
    int64_t prefill_burst;
    int64_t prefill_ended_at; /* when the last prefill ended */
    /* This node's own load when it was last reported, and the load of other
     * nodes: the total of all nodes minus that own load. */
    uint32_t reported_running;
    int64_t reported_prefill_backlog;
    uint32_t others_running;
    int64_t others_prefill_backlog;
    int64_t others_reported_at;
    /* Measured. */
    double failure_rate; /* share of recent requests that failed, as of
                            failure_rate_at */
    int64_t failure_rate_at;
    double response_time; /* mean time of a response; 0: none yet */
    double slowdown;      /* actual / expected time until the first token */
    GArray *cached_parts; /* struct cached_part */
    uint64_t cached_tokens;
};

/* A time that is measured again and again, in microseconds. */
struct measured_time {
    double value;
    unsigned count;
};

/* Measurements of a model. */
struct model_stats {
    struct measured_time prefill_per_token; /* of a prompt */
    struct measured_time time_per_event;    /* between two events */
    /* Of a first token, what does not depend on the length of the prompt. */
    struct measured_time first_token_base;
    /* Events of a response for each token that it may have. */
    double events_per_token;
    double demand; /* seconds of engine time per second, decaying */
    int64_t demand_at;
    double mean_demand; /* likewise, over a longer time */
};

struct ch_balance {
    GQuark region;
    GQuark data_centre;
    GHashTable *upstreams; /* upstream to struct upstream_state */
    GHashTable *models;    /* model to struct model_stats */
    /* Service to the slots of each of its engines. */
    GHashTable *slots_by_service;
    struct ch_disabled_features without;
    bool controls_overload;
    /* Of the last request sent that states a target: other requests are to
     * keep it for the streams beside them. 0: none. */
    int64_t event_gap_target;
    double prefill_time; /* mean of the prompts that were sent; 0: none yet */
};

/* ---- upstreams ---- */

static void
free_state(void *data)
{
    struct upstream_state *state = data;
    g_array_free(state->models, TRUE);
    g_array_free(state->adapters, TRUE);
    g_array_free(state->cached_parts, TRUE);
    g_free(state);
}

/* Creates a balance without upstreams for a node in this region and data
 * centre. */
struct ch_balance *
ch_balance_new(GQuark region, GQuark data_centre)
{
    struct ch_balance *balance = g_new0(struct ch_balance, 1);
    balance->region = region;
    balance->data_centre = data_centre;
    balance->upstreams = g_hash_table_new_full(NULL, NULL, NULL, free_state);
    balance->models = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    balance->slots_by_service = g_hash_table_new(NULL, NULL);
    return balance;
}

/* Frees the balance; NULL is allowed. */
void
ch_balance_free(struct ch_balance *balance)
{
    if (balance != NULL) {
        g_hash_table_destroy(balance->upstreams);
        g_hash_table_destroy(balance->models);
        g_hash_table_destroy(balance->slots_by_service);
        g_free(balance);
    }
}

/* See balance.h. */
void
ch_balance_disable_features(struct ch_balance *balance,
                            const struct ch_disabled_features *without)
{
    balance->without = *without;
}

/* See balance.h. */
void
ch_balance_control_overload(struct ch_balance *balance, bool control)
{
    balance->controls_overload = control;
}

/* Returns NULL for an unknown upstream. */
static struct upstream_state *
find_state(const struct ch_balance *balance, GQuark upstream)
{
    return g_hash_table_lookup(balance->upstreams, GUINT_TO_POINTER(upstream));
}

static bool
contains_name(const GArray *names, GQuark name)
{
    for (guint i = 0; i < names->len; i++) {
        if (g_array_index(names, GQuark, i) == name) {
            return true;
        }
    }
    return false;
}

static void
replace_names(GArray *names, const GQuark *values, size_t count)
{
    g_array_set_size(names, 0);
    if (count > 0) {
        g_array_append_vals(names, values, (guint)count);
    }
}

static void
remove_name(GArray *names, GQuark name)
{
    for (guint i = names->len; i > 0; i--) {
        if (g_array_index(names, GQuark, i - 1) == name) {
            g_array_remove_index_fast(names, i - 1);
        }
    }
}

/* Adds an upstream, without models and load; replaces one of the same name. */
static struct upstream_state *
add_state(struct ch_balance *balance, GQuark name)
{
    struct upstream_state *state = g_new0(struct upstream_state, 1);
    state->models = g_array_new(FALSE, FALSE, sizeof(GQuark));
    state->adapters = g_array_new(FALSE, FALSE, sizeof(GQuark));
    state->cached_parts =
        g_array_new(FALSE, FALSE, sizeof(struct cached_part));
    state->slowdown = 1;
    g_hash_table_replace(balance->upstreams, GUINT_TO_POINTER(name), state);
    return state;
}

/* Starts a new list of upstreams; see balance.h. */
void
ch_balance_begin_update(struct ch_balance *balance)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct upstream_state *state = value;
        state->listed = false;
    }
}

/* Clears what an upstream loses when it restarts: adapters, cached prompt
 * parts, and failures, slowdown and pace, which were measured before. */
static void
reset_after_restart(struct upstream_state *state)
{
    g_array_set_size(state->adapters, 0);
    g_array_set_size(state->cached_parts, 0);
    state->cached_tokens = 0;
    state->failure_rate = 0;
    state->slowdown = 1;
    state->pace = (struct ch_pace_state){0};
}

/* Adds or updates one upstream of the new list. */
void
ch_balance_update_upstream(struct ch_balance *balance,
                           const struct ch_upstream_info *facts)
{
    struct upstream_state *state = find_state(balance, facts->name);
    if (state == NULL) {
        state = add_state(balance, facts->name);
    }
    else if (state->facts.boot_id != facts->boot_id) {
        reset_after_restart(state);
    }
    state->facts = *facts;
    state->facts.resident_models = NULL;
    state->listed = true;
    replace_names(state->models, facts->resident_models,
                  facts->resident_model_count);
    g_hash_table_insert(balance->slots_by_service,
                        GUINT_TO_POINTER(facts->service),
                        GUINT_TO_POINTER(facts->slots));
}

/* Removes the upstreams that the new list lacks. Their running requests end as
 * usual. */
void
ch_balance_end_update(struct ch_balance *balance)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct upstream_state *state = value;
        if (!state->listed) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* See balance.h. */
void
ch_balance_set_models(struct ch_balance *balance, GQuark upstream,
                      const GQuark *models, size_t count)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state != NULL) {
        replace_names(state->models, models, count);
    }
}

/* See balance.h. */
void
ch_balance_set_adapters(struct ch_balance *balance, GQuark upstream,
                        const GQuark *adapters, size_t count)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state != NULL) {
        replace_names(state->adapters, adapters, count);
    }
}

/* See balance.h. */
void
ch_balance_set_adapter_resident(struct ch_balance *balance, GQuark upstream,
                                GQuark adapter, bool resident)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state == NULL) {
        return;
    }
    remove_name(state->adapters, adapter);
    if (resident) {
        g_array_append_val(state->adapters, adapter);
    }
}

/* See balance.h. */
void
ch_balance_set_busy(struct ch_balance *balance, GQuark upstream, bool busy)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state != NULL) {
        state->busy = busy;
    }
}

/* See balance.h. */
void
ch_balance_set_limited_until(struct ch_balance *balance, GQuark upstream,
                             int64_t until)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state != NULL) {
        state->limited_until = until;
    }
}

/* See balance.h. */
void
ch_balance_set_pace(struct ch_balance *balance, GQuark upstream,
                    const struct ch_pace_state *pace)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state != NULL) {
        state->pace = *pace;
    }
}

/* See balance.h. */
void
ch_balance_remove_model(struct ch_balance *balance, GQuark upstream,
                        GQuark model)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state != NULL) {
        remove_name(state->models, model);
    }
}

/* See balance.h. */
void
ch_balance_set_total_load(struct ch_balance *balance, GQuark upstream,
                          uint32_t running, int64_t prefill_backlog,
                          int64_t now)
{
    struct upstream_state *state = find_state(balance, upstream);
    if (state == NULL) {
        return;
    }
    state->others_running = running > state->reported_running
                                ? running - state->reported_running
                                : 0;
    state->others_prefill_backlog =
        MAX(prefill_backlog - state->reported_prefill_backlog, 0);
    state->others_reported_at = now;
}

/* See balance.h. */
void
ch_balance_report_load(struct ch_balance *balance,
                       void (*report)(void *data, GQuark upstream,
                                      GQuark data_centre, uint32_t running,
                                      int64_t prefill_backlog),
                       void *data)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct upstream_state *state = value;
        bool has_news = state->running > 0 || state->reported_running > 0;
        state->reported_running = state->running;
        state->reported_prefill_backlog = state->prefill_backlog;
        if (has_news && state->facts.engine) {
            report(data, state->facts.name, state->facts.data_centre,
                   state->running, state->prefill_backlog);
        }
    }
}

/* See balance.h. */
uint32_t
ch_balance_count_running(const struct ch_balance *balance, GQuark upstream)
{
    const struct upstream_state *state = find_state(balance, upstream);
    return state == NULL ? 0 : state->running;
}

/* Upstreams of the current list. */
uint64_t
ch_balance_get_boot(const struct ch_balance *balance, GQuark upstream)
{
    const struct upstream_state *state = find_state(balance, upstream);
    return state == NULL ? 0 : state->facts.boot_id;
}

/* See balance.h. */
GQuark
ch_balance_get_service(const struct ch_balance *balance, GQuark upstream)
{
    const struct upstream_state *state = find_state(balance, upstream);
    return state == NULL ? 0 : state->facts.service;
}

/* See balance.h. */
uint64_t
ch_balance_get_version(const struct ch_balance *balance, GQuark upstream)
{
    const struct upstream_state *state = find_state(balance, upstream);
    return state == NULL ? CH_VERSION_NOT_KNOWN : state->facts.version_id;
}

/* See balance.h. */
size_t
ch_balance_count_upstreams(const struct ch_balance *balance)
{
    return g_hash_table_size(balance->upstreams);
}

/* ---- cached parts of prompts ---- */

/* Hash of a prompt up to and with this part. A part is cached only together
 * with all parts before it, and for the same model and adapter. */
static uint64_t
extend_prefix_hash(uint64_t prefix_hash, const struct ch_prompt_part *part)
{
    return ch_hash_pair(prefix_hash, part->id);
}

static uint64_t
start_prefix_hash(const struct ch_request_info *request)
{
    return ch_hash_pair(request->model, request->adapter);
}

/* Returns NULL if the part is not cached. */
static struct cached_part *
find_cached_part(const struct upstream_state *state, uint64_t prefix_hash)
{
    for (guint i = 0; i < state->cached_parts->len; i++) {
        struct cached_part *part =
            &g_array_index(state->cached_parts, struct cached_part, i);
        if (part->prefix_hash == prefix_hash) {
            return part;
        }
    }
    return NULL;
}

/* Prompt tokens that the upstream has to prefill. */
static uint32_t
count_uncached_tokens(const struct upstream_state *state,
                      const struct ch_request_info *request)
{
    uint64_t prefix_hash = start_prefix_hash(request);
    uint32_t cached = 0;
    for (size_t i = 0; i < request->part_count; i++) {
        prefix_hash = extend_prefix_hash(prefix_hash, &request->parts[i]);
        if (find_cached_part(state, prefix_hash) == NULL) {
            break;
        }
        cached += request->parts[i].tokens;
    }
    return request->prompt_tokens > cached ? request->prompt_tokens - cached
                                           : 0;
}

/* Removes the least recently used part. */
static void
evict_oldest_part(struct upstream_state *state)
{
    guint oldest = 0;
    for (guint i = 1; i < state->cached_parts->len; i++) {
        if (g_array_index(state->cached_parts, struct cached_part, i).used_at <
            g_array_index(state->cached_parts, struct cached_part, oldest)
                .used_at) {
            oldest = i;
        }
    }
    state->cached_tokens -=
        g_array_index(state->cached_parts, struct cached_part, oldest).tokens;
    g_array_remove_index_fast(state->cached_parts, oldest);
}

/* Records the request's prompt parts as cached at the upstream, and evicts the
 * least recently used ones beyond its context memory. */
static void
record_cached_parts(struct upstream_state *state,
                    const struct ch_request_info *request, int64_t now)
{
    uint64_t prefix_hash = start_prefix_hash(request);
    for (size_t i = 0; i < request->part_count; i++) {
        prefix_hash = extend_prefix_hash(prefix_hash, &request->parts[i]);
        struct cached_part *part = find_cached_part(state, prefix_hash);
        if (part != NULL) {
            part->used_at = now;
            continue;
        }
        const struct cached_part added = {prefix_hash,
                                          request->parts[i].tokens, now};
        g_array_append_val(state->cached_parts, added);
        state->cached_tokens += added.tokens;
    }
    uint64_t max_tokens = MAX(state->facts.context_tokens, 1);
    while (
        state->cached_parts->len > MAX_CACHED_PARTS ||
        (state->cached_tokens > max_tokens && state->cached_parts->len > 1)) {
        evict_oldest_part(state);
    }
}

/* ---- cost, in microseconds ---- */

/* The failure rate decays to 0 within FAILURE_FORGET_US. */
static double
estimate_failure_rate(const struct upstream_state *state, int64_t now)
{
    double age = (double)(now - state->failure_rate_at) / FAILURE_FORGET_US;
    return age >= 1 ? 0 : state->failure_rate * (1 - age);
}

/* Requests of all nodes at the upstream. */
static uint32_t
count_running(const struct upstream_state *state, int64_t now)
{
    uint32_t others_running = now - state->others_reported_at > OTHERS_STALE_US
                                  ? 0
                                  : state->others_running;
    return state->running + others_running;
}

/* Cost of the network delay and traffic price. */
static int64_t
estimate_network_cost(const struct ch_balance *balance,
                      const struct upstream_state *state)
{
    if (state->facts.region != balance->region) {
        return OTHER_REGION_COST_US;
    }
    return state->facts.data_centre != balance->data_centre
               ? OTHER_DATA_CENTRE_COST_US
               : 0;
}

/* Wait for a slot when all are taken. wait_per_request: for each request
 * beyond the slots. */
static int64_t
estimate_slot_wait(const struct upstream_state *state, int64_t now,
                   int64_t wait_per_request)
{
    uint32_t running = count_running(state, now) + 1;
    uint32_t slots = MAX(state->facts.slots, 1);
    return running > slots ? (int64_t)(running - slots) * wait_per_request : 0;
}

/*
 * Cost that orders the upstreams by a hash of adapter and upstream, 0 to 63
 * ms, so that all nodes load a missing adapter on the same upstream while
 * upstreams are otherwise about equal. If each node loaded it on another
 * upstream, a few adapters would fill all adapter slots.
 */
static int64_t
order_adapter_places(const struct upstream_state *state, GQuark adapter)
{
    uint64_t hash =
        ch_hash_pair(ch_hash_string(g_quark_to_string(adapter)),
                     ch_hash_string(g_quark_to_string(state->facts.name)));
    return (int64_t)(hash % 64) * 1000;
}

static bool
has_enough_samples(const struct measured_time *measured)
{
    return measured->count >= MIN_SAMPLES;
}

/* Whether the measured time is used instead of the default. */
static bool
is_measurement_used(const struct ch_balance *balance,
                    const struct measured_time *measured)
{
    return !balance->without.measured_service_times &&
           has_enough_samples(measured);
}

/* Microseconds of prefill per prompt token for the model. */
static double
get_prefill_per_token(const struct ch_balance *balance, GQuark name)
{
    const struct model_stats *model =
        g_hash_table_lookup(balance->models, GUINT_TO_POINTER(name));
    return model == NULL ||
                   !is_measurement_used(balance, &model->prefill_per_token)
               ? DEFAULT_PREFILL_US_PER_TOKEN
               : model->prefill_per_token.value;
}

/* Returns the model's entry, a new one if there is none. */
static struct model_stats *
ensure_model_stats(struct ch_balance *balance, GQuark name)
{
    gpointer key = GUINT_TO_POINTER(name);
    struct model_stats *model = g_hash_table_lookup(balance->models, key);
    if (model == NULL) {
        model = g_new0(struct model_stats, 1);
        g_hash_table_insert(balance->models, key, model);
    }
    return model;
}

/* See balance.h. On average a part of the prompt is cached at any upstream, so
 * that only default_uncached_share is counted. */
int64_t
ch_balance_estimate_prefill(const struct ch_balance *balance,
                            const struct ch_request_info *request)
{
    return (int64_t)(request->prompt_tokens * default_uncached_share *
                     get_prefill_per_token(balance, request->model));
}

/* Engine time for the request's response: it takes one slot of the batch for
 * as long as it is decoded. */
static int64_t
estimate_decode(const struct ch_balance *balance,
                const struct ch_request_info *request)
{
    const struct model_stats *model =
        g_hash_table_lookup(balance->models, GUINT_TO_POINTER(request->model));
    guint slots = GPOINTER_TO_UINT(
        g_hash_table_lookup(balance->slots_by_service,
                            GUINT_TO_POINTER(request->required_service)));
    double time_per_token =
        model == NULL || !is_measurement_used(balance, &model->time_per_event)
            ? DEFAULT_DECODE_US_PER_TOKEN
            : model->time_per_event.value * model->events_per_token;
    return (int64_t)(request->max_output_tokens * time_per_token /
                     MAX(slots, 1));
}

/* See balance.h. */
int64_t
ch_balance_estimate_work(const struct ch_balance *balance,
                         const struct ch_request_info *request)
{
    return ch_balance_estimate_prefill(balance, request) +
           estimate_decode(balance, request);
}

/* Demand decayed until now: an average over about DEMAND_WINDOW_US. */
static double
estimate_demand(const struct model_stats *model, int64_t now)
{
    return model->demand *
           exp(-(double)(now - model->demand_at) / DEMAND_WINDOW_US);
}

/* Demand over about MEAN_DEMAND_WINDOW_US. */
static double
estimate_mean_demand(const struct model_stats *model, int64_t now)
{
    return model->mean_demand *
           exp(-(double)(now - model->demand_at) / MEAN_DEMAND_WINDOW_US);
}

/* See balance.h. */
void
ch_balance_record_demand(struct ch_balance *balance,
                         const struct ch_request_info *request, int64_t now)
{
    struct model_stats *model = ensure_model_stats(balance, request->model);
    int64_t time = ch_balance_estimate_work(balance, request);
    model->demand =
        estimate_demand(model, now) + (double)time / DEMAND_WINDOW_US;
    model->mean_demand = estimate_mean_demand(model, now) +
                         (double)time / MEAN_DEMAND_WINDOW_US;
    model->demand_at = now;
}

/* See balance.h. */
void
ch_balance_foreach_demand(struct ch_balance *balance, int64_t now,
                          void (*visit)(void *data, GQuark model,
                                        double demand),
                          void *data)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->models);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        visit(data, GPOINTER_TO_UINT(key), estimate_demand(value, now));
    }
}

/* Work of a usual engine, in seconds per second, that an engine does. */
static double
get_engine_time(const struct upstream_state *state, int64_t now)
{
    return ch_pace_state_is_known(&state->pace, now)
               ? 1 / ch_pace_state_get_usual(&state->pace)
               : 1;
}

/* Whether an engine of the service takes new requests for the model. */
static bool
serves_model(const struct upstream_state *state, GQuark service, GQuark model)
{
    return state->facts.engine && !state->facts.draining &&
           state->facts.service == service &&
           contains_name(state->models, model);
}

/* Counts the engines of a service that have each model, in a new table of
 * GQuark to number. */
static GHashTable *
count_replicas(const struct ch_balance *balance, GQuark service)
{
    GHashTable *replicas = g_hash_table_new(NULL, NULL);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct upstream_state *state = value;
        for (guint i = 0; i < state->models->len; i++) {
            GQuark model = g_array_index(state->models, GQuark, i);
            gpointer key = GUINT_TO_POINTER(model);
            if (serves_model(state, service, model)) {
                guint count =
                    GPOINTER_TO_UINT(g_hash_table_lookup(replicas, key));
                g_hash_table_insert(replicas, key,
                                    GUINT_TO_POINTER(count + 1));
            }
        }
    }
    return replicas;
}

/* This node's demand for a model, for each engine that has it. */
static double
estimate_replica_demand(const struct ch_balance *balance, GHashTable *replicas,
                        GQuark name, int64_t now)
{
    gpointer key = GUINT_TO_POINTER(name);
    const struct model_stats *model =
        g_hash_table_lookup(balance->models, key);
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(replicas, key));
    return model == NULL ? 0
                         : estimate_mean_demand(model, now) / MAX(count, 1);
}

/* The part of an engine's time that is for one of its models. */
static double
get_engine_share(const struct ch_balance *balance,
                 const struct upstream_state *state, GHashTable *replicas,
                 GQuark name, int64_t now)
{
    double total = 0;
    for (guint i = 0; i < state->models->len; i++) {
        total += estimate_replica_demand(
            balance, replicas, g_array_index(state->models, GQuark, i), now);
    }
    return total <= 0
               ? 1.0 / MAX(state->models->len, 1)
               : estimate_replica_demand(balance, replicas, name, now) / total;
}

/* See balance.h. */
double
ch_balance_estimate_engine_room(const struct ch_balance *balance,
                                GQuark service, GQuark model, int64_t now)
{
    double room = 0;
    GHashTable *replicas = count_replicas(balance, service);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct upstream_state *state = value;
        if (serves_model(state, service, model)) {
            room += get_engine_time(state, now) *
                    get_engine_share(balance, state, replicas, model, now);
        }
    }
    g_hash_table_destroy(replicas);
    return room;
}

/* Prefill backlog of other nodes' requests at an engine of this pace: it goes
 * on with the prefill after the backlog was reported, so that the work of that
 * time is subtracted. */
static int64_t
estimate_others_backlog(const struct upstream_state *state, double pace,
                        int64_t now)
{
    int64_t age = now - state->others_reported_at;
    if (age > OTHERS_STALE_US) {
        return 0;
    }
    return MAX(state->others_prefill_backlog - (int64_t)((double)age / pace),
               0);
}

/* Prefill time without a pause in between, as far as this node knows: its own
 * burst and the backlog of others. */
static int64_t
estimate_burst(const struct upstream_state *state, double pace, int64_t now)
{
    bool paused =
        state->prefill_backlog == 0 &&
        (double)(now - state->prefill_ended_at) >= PREFILL_PAUSE_US * pace;
    return (paused ? 0 : state->prefill_burst) +
           estimate_others_backlog(state, pace, now);
}

/* Whether the pauses that the request's prompt causes there count in the
 * choice. */
static bool
counts_pauses(const struct ch_balance *balance,
              const struct upstream_state *state,
              const struct ch_request_info *request, int64_t now)
{
    return !request->is_service && !balance->without.stream_pauses &&
           (balance->controls_overload ||
            ch_pace_state_is_known(&state->pace, now));
}

/* The upstream's pace now; 0: not known, or not to be used. */
static double
get_expected_pace(const struct ch_balance *balance,
                  const struct upstream_state *state,
                  const struct ch_request_info *request, int64_t now)
{
    return counts_pauses(balance, state, request, now) &&
                   ch_pace_state_is_known(&state->pace, now)
               ? ch_pace_state_expect(&state->pace, now)
               : 0;
}

/* Expected time until an engine's first token. pace: expected pace; 0: not
 * known, so that the learnt slowdown counts. */
static int64_t
estimate_first_token(const struct ch_balance *balance,
                     const struct upstream_state *state,
                     const struct ch_request_info *request,
                     int64_t prefill_time, double pace, int64_t now)
{
    int64_t prefill_backlog =
        state->prefill_backlog +
        estimate_others_backlog(state, pace > 0 ? pace : 1, now);
    int64_t cost = MIN_FIRST_TOKEN_US + prefill_backlog + prefill_time +
                   (int64_t)count_running(state, now) * BATCH_NEIGHBOUR_US;
    cost = (int64_t)((double)cost * (pace > 0 ? pace : state->slowdown));
    cost += estimate_slot_wait(state, now, estimate_decode(balance, request));
    uint64_t needed_tokens = state->used_context_tokens +
                             request->prompt_tokens +
                             request->max_output_tokens;
    if (state->facts.context_tokens > 0 &&
        (double)needed_tokens >
            memory_full_share * state->facts.context_tokens) {
        cost += MEMORY_FULL_COST_US;
    }
    if (request->adapter != 0 &&
        !contains_name(state->adapters, request->adapter)) {
        cost += ADAPTER_LOAD_US +
                order_adapter_places(state, request->adapter) +
                (state->busy ? BUSY_ENGINE_COST_US : 0);
        if (state->facts.adapter_slots > 0 &&
            state->adapters->len >= state->facts.adapter_slots) {
            cost += ADAPTER_LOAD_US; /* one has to be unloaded first */
        }
    }
    return cost;
}

/*
 * Limits the prefill of several long prompts that reach one engine at about
 * the same time. An engine prefills a prompt in one go and produces no tokens
 * meanwhile, so that all its streams pause for the sum of the prompts: three
 * prompts paused a dozen streams for 440 ms, where up to 300 ms is within the
 * target. To prevent late tokens, the prefill without a pause stays below
 * MAX_PREFILL_BURST_US, and PREFILL_PAUSE_US follow in which the engine
 * produces the next events. A single prompt is never deferred for its own
 * length.
 */
static bool
is_burst_too_long(const struct upstream_state *state, int64_t prefill_time,
                  int64_t now)
{
    int64_t prefill_burst = estimate_burst(state, 1, now);
    return prefill_burst > 0 &&
           prefill_burst + prefill_time > MAX_PREFILL_BURST_US;
}

/* Expected time until a plain service's response. */
static int64_t
estimate_service_response(const struct upstream_state *state, int64_t now)
{
    double response_time =
        state->response_time > 0 ? state->response_time : DEFAULT_RESPONSE_US;
    uint32_t slots = MAX(state->facts.slots, 1);
    double used_share = (double)count_running(state, now) / slots;
    return (int64_t)(response_time * (1 + used_share)) +
           estimate_slot_wait(state, now, (int64_t)(response_time / slots));
}

/* Whether another process may run under the upstream's name than the one that
 * its entry describes. */
static bool
may_have_restarted(const struct upstream_state *state)
{
    return state->lost_at > state->facts.confirmed_at;
}

/* Whether the request may go to the upstream at all. */
static bool
is_candidate(const struct upstream_state *state,
             const struct ch_request_info *request, const GArray *excluded,
             bool adapter_ready)
{
    if (adapter_ready && request->adapter != 0 &&
        !contains_name(state->adapters, request->adapter)) {
        return false;
    }
    if (state->facts.draining ||
        state->facts.service != request->required_service) {
        return false;
    }
    if (request->required_version != 0 &&
        (state->facts.version_id != request->required_version ||
         (!state->facts.engine && may_have_restarted(state)))) {
        return false; /* only an engine can be asked which process it is */
    }
    if (request->required_upstream != 0 &&
        state->facts.name != request->required_upstream) {
        return false;
    }
    if (excluded != NULL && contains_name(excluded, state->facts.name)) {
        return false;
    }
    return request->is_service || contains_name(state->models, request->model);
}

/* Whether no upstream that is not draining runs the software that the request
 * requires, so that waiting for one is in vain. */
static bool
is_version_gone(const struct ch_balance *balance,
                const struct ch_request_info *request)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (request->required_version != 0 &&
           g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct upstream_state *state = value;
        if (!state->facts.draining &&
            state->facts.service == request->required_service &&
            state->facts.version_id == request->required_version) {
            return false;
        }
    }
    return request->required_version != 0;
}

/* An upstream that may take the request, with its estimates. */
struct candidate {
    const struct upstream_state *state;
    uint32_t tokens;
    int64_t prefill_time;
    int64_t expected_latency;
    bool counts_pauses;
    double pace; /* expected; 0: not known */
    struct ch_pause_estimate pauses;
    double pause_cost; /* the part of its cost that is for the pauses */
};

/* Events that the response is expected to have. Of a model, the events for
 * each token that a response may have are measured, so that these do not apply
 * where the caller states how many tokens it expects. */
static uint32_t
estimate_events(const struct ch_request_info *request,
                const struct model_stats *model)
{
    if (request->expected_output_tokens > 0) {
        return request->expected_output_tokens / DEFAULT_TOKENS_PER_EVENT;
    }
    if (model != NULL && model->events_per_token > 0) {
        return (uint32_t)(request->max_output_tokens *
                          model->events_per_token);
    }
    return request->max_output_tokens / EXPECTED_OUTPUT_DIVISOR /
           DEFAULT_TOKENS_PER_EVENT;
}

/* The engine and the request as the estimate of pauses sees them. */
struct pause_view {
    struct ch_pause_engine engine;
    struct ch_pause_request request;
};

static struct pause_view
build_pause_view(const struct ch_balance *balance,
                 const struct ch_request_info *request,
                 const struct candidate *candidate, int64_t now)
{
    const struct upstream_state *state = candidate->state;
    const struct model_stats *model =
        g_hash_table_lookup(balance->models, GUINT_TO_POINTER(request->model));
    bool is_measured =
        model != NULL && is_measurement_used(balance, &model->time_per_event);
    double pace = candidate->pace > 0 ? candidate->pace : 1;
    return (struct pause_view){
        .engine =
            {
                .pace = candidate->pace > 0 ? &state->pace : NULL,
                .streams = count_running(state, now),
                .gap_target = request->event_gap_target > 0
                                  ? request->event_gap_target
                                  : balance->event_gap_target,
                .event_time = is_measured
                                  ? (int64_t)model->time_per_event.value
                                  : DEFAULT_EVENT_US,
                .prefill_burst = estimate_burst(state, pace, now),
                .later_prefill = (int64_t)balance->prefill_time,
            },
        .request =
            {
                .prefill_time = candidate->prefill_time,
                .gap_target = request->event_gap_target,
                .remaining_time = request->answer_deadline > 0
                                      ? MAX(request->answer_deadline - now, 1)
                                      : 0,
                .expected_events = estimate_events(request, model),
            },
    };
}

/* Adds the harm by pauses to a candidate and returns its cost. */
static double
add_pause_cost(const struct ch_balance *balance,
               const struct ch_request_info *request,
               struct candidate *candidate, int64_t now)
{
    if (!candidate->counts_pauses) {
        return 0;
    }
    const struct pause_view view =
        build_pause_view(balance, request, candidate, now);
    candidate->pauses = ch_pause_estimate(&view.engine, &view.request, now);
    candidate->pause_cost = (double)ch_pause_get_cost(&candidate->pauses);
    return candidate->pause_cost;
}

/* Fills in the candidate's estimates and returns its cost. Costs vary by up to
 * tie_spread per request, so that requests choose differently between equal
 * upstreams. */
static double
estimate_cost(const struct ch_balance *balance,
              const struct ch_request_info *request,
              struct candidate *candidate, int64_t now)
{
    const struct upstream_state *state = candidate->state;
    candidate->tokens =
        request->is_service ? 0 : count_uncached_tokens(state, request);
    candidate->prefill_time =
        (int64_t)(candidate->tokens *
                  get_prefill_per_token(balance, request->model));
    candidate->counts_pauses = counts_pauses(balance, state, request, now);
    candidate->pace = get_expected_pace(balance, state, request, now);
    candidate->expected_latency =
        request->is_service ? estimate_service_response(state, now)
                            : estimate_first_token(balance, state, request,
                                                   candidate->prefill_time,
                                                   candidate->pace, now);
    double cost = (double)(candidate->expected_latency +
                           estimate_network_cost(balance, state)) +
                  estimate_failure_rate(state, now) * FAILURE_COST_US +
                  add_pause_cost(balance, request, candidate, now);
    uint64_t tie = ch_hash_pair(request->id, state->facts.name);
    double factor = 1 + tie_spread * (double)(tie % 1024) / 1024;
    candidate->pause_cost *= factor;
    return cost * factor;
}

/*
 * Requests for the model that other nodes are likely to send to these engines
 * before their next load report. Each running request that ends is taken to be
 * replaced by a new one, so that this is the share of the running ones that
 * end in that time.
 */
static double
estimate_others_arrivals(const struct ch_balance *balance,
                         const struct ch_request_info *request,
                         const GArray *candidates, int64_t now)
{
    guint slots = GPOINTER_TO_UINT(
        g_hash_table_lookup(balance->slots_by_service,
                            GUINT_TO_POINTER(request->required_service)));
    double duration =
        (double)(ch_balance_estimate_prefill(balance, request) +
                 estimate_decode(balance, request) * MAX(slots, 1));
    double arrivals = 0;
    for (guint i = 0; i < candidates->len; i++) {
        const struct upstream_state *state =
            g_array_index(candidates, struct candidate, i).state;
        int64_t age = now - state->others_reported_at;
        if (age <= OTHERS_STALE_US) {
            double replaced_share =
                (double)(age + OTHERS_LAG_US) / MAX(duration, 1);
            arrivals += state->others_running * same_model_share *
                        MIN(replaced_share, 1);
        }
    }
    return arrivals;
}

/* Leaves out the candidates whose limit is used up, if there are others;
 * returns true if there are none. */
static bool
remove_limited(GArray *candidates, GArray *costs, int64_t now)
{
    guint kept = 0;
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate candidate =
            g_array_index(candidates, struct candidate, i);
        double cost = g_array_index(costs, double, i);
        if (candidate.state->limited_until <= now) {
            g_array_index(candidates, struct candidate, kept) = candidate;
            g_array_index(costs, double, kept) = cost;
            kept++;
        }
    }
    if (kept == 0) {
        return candidates->len > 0;
    }
    g_array_set_size(candidates, kept);
    g_array_set_size(costs, kept);
    return false;
}

/* Whether another candidate runs the same version. */
static bool
has_twin(const GArray *candidates, guint index)
{
    uint64_t version = g_array_index(candidates, struct candidate, index)
                           .state->facts.version_id;
    for (guint i = 0; i < candidates->len; i++) {
        if (i != index && g_array_index(candidates, struct candidate, i)
                                  .state->facts.version_id == version) {
            return version != CH_VERSION_NOT_KNOWN;
        }
    }
    return false;
}

/* Makes upstreams dearer at which a new stream could not go on elsewhere, if
 * there are others: the sole ones of their version with the model. */
static void
prefer_shared_versions(const struct ch_request_info *request,
                       const GArray *candidates, GArray *costs)
{
    bool any_twin = false;
    for (guint i = 0; i < candidates->len && !any_twin; i++) {
        any_twin = has_twin(candidates, i);
    }
    if (!any_twin || request->is_service || request->required_version != 0 ||
        !request->idempotent) {
        return;
    }
    for (guint i = 0; i < candidates->len; i++) {
        if (!has_twin(candidates, i)) {
            g_array_index(costs, double, i) += LONE_VERSION_COST_US;
        }
    }
}

/* What the choice between candidates depends on beside their costs. */
struct choice_spread {
    double cost_per_request; /* at an engine of pace 1 */
    double arrivals;
    double random; /* differs for each request and each of its attempts */
};

static struct choice_spread
estimate_spread(const struct ch_balance *balance,
                const struct ch_request_info *request,
                const GArray *candidates, int64_t now)
{
    return (struct choice_spread){
        .cost_per_request =
            (double)(ch_balance_estimate_prefill(balance, request) +
                     BATCH_NEIGHBOUR_US),
        .arrivals =
            request->is_service
                ? 0
                : estimate_others_arrivals(balance, request, candidates, now),
        .random = (double)(ch_hash_pair(request->id,
                                        request->attempt + request->refusals) %
                           65536) /
                  65536,
    };
}

static bool
any_pace_known(const GArray *candidates)
{
    for (guint i = 0; i < candidates->len; i++) {
        if (g_array_index(candidates, struct candidate, i).pace > 0) {
            return true;
        }
    }
    return false;
}

/* Returns the index of the chosen candidate. */
static size_t
choose_candidate(const struct choice_spread *spread, const GArray *candidates,
                 const GArray *costs)
{
    const double *values = (const double *)(void *)costs->data;
    if (!any_pace_known(candidates)) {
        return ch_fill_choose(values, costs->len, spread->cost_per_request,
                              spread->arrivals, spread->random);
    }
    double *per_request = g_new0(double, candidates->len);
    for (guint i = 0; i < candidates->len; i++) {
        double pace = g_array_index(candidates, struct candidate, i).pace;
        per_request[i] = spread->cost_per_request * (pace > 0 ? pace : 1);
    }
    size_t index = ch_fill_choose_uneven(values, per_request, costs->len,
                                         spread->arrivals, spread->random);
    g_free(per_request);
    return index;
}

/* Whether a candidate where the prompt does more harm would be chosen if the
 * harm did not count. */
static bool
avoids_pauses(const struct choice_spread *spread, const GArray *candidates,
              const GArray *costs, size_t chosen)
{
    double most = 0;
    GArray *plain = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < candidates->len; i++) {
        double harm =
            g_array_index(candidates, struct candidate, i).pause_cost;
        double cost = g_array_index(costs, double, i) - harm;
        g_array_append_val(plain, cost);
        most = MAX(most, harm);
    }
    double own =
        g_array_index(candidates, struct candidate, chosen).pause_cost;
    size_t other =
        most > own ? choose_candidate(spread, candidates, plain) : chosen;
    g_array_free(plain, TRUE);
    return g_array_index(candidates, struct candidate, other).pause_cost > own;
}

/* Whether the request is better sent a little later to the candidate. Where
 * pauses count, its home says when. */
static bool
should_defer(const struct ch_balance *balance,
             const struct ch_request_info *request,
             const struct candidate *candidate, int64_t now)
{
    return !request->is_service && !balance->without.defer_prompts &&
           !candidate->counts_pauses &&
           is_burst_too_long(candidate->state, candidate->prefill_time, now);
}

/* Returns the divisor for what is measured of the request. */
static double
get_measured_pace(const struct candidate *candidate, int64_t now)
{
    return ch_pause_get_fastest_pace(
        candidate->pace > 0 ? &candidate->state->pace : NULL, now);
}

/* How the request's prompt is spaced from others at the engine. */
static struct ch_prefill_rule
make_prefill_rule(const struct ch_balance *balance,
                  const struct ch_request_info *request,
                  const struct candidate *candidate, int64_t now)
{
    if (!candidate->counts_pauses) {
        return (struct ch_prefill_rule){0};
    }
    const struct pause_view view =
        build_pause_view(balance, request, candidate, now);
    return ch_prefill_rule_new(candidate->prefill_time,
                               candidate->pace > 0 ? candidate->pace : 1,
                               view.engine.event_time, view.engine.gap_target);
}

static int64_t
find_shortest_latency(const GArray *candidates)
{
    int64_t shortest = INT64_MAX;
    for (guint i = 0; i < candidates->len; i++) {
        shortest = MIN(
            shortest,
            g_array_index(candidates, struct candidate, i).expected_latency);
    }
    return shortest;
}

static struct ch_upstream_choice
make_choice(const struct ch_balance *balance,
            const struct ch_request_info *request,
            const struct candidate *candidate, int64_t now)
{
    const struct upstream_state *state = candidate->state;
    const struct ch_prefill_rule prefill =
        make_prefill_rule(balance, request, candidate, now);
    return (struct ch_upstream_choice){
        .code = CH_OK,
        .upstream = state->facts.name,
        .boot_id = state->facts.boot_id,
        .version = state->facts.version,
        .version_id = state->facts.version_id,
        .may_have_restarted = may_have_restarted(state),
        .data_centre = state->facts.data_centre,
        .region = state->facts.region,
        .prefill = prefill,
        .other_region = state->facts.region != balance->region,
        .adapter_missing = request->adapter != 0 &&
                           !contains_name(state->adapters, request->adapter),
        .prefill_tokens = candidate->tokens,
        .prefill_time = candidate->prefill_time,
        .should_defer = should_defer(balance, request, candidate, now),
        .expected_pace = candidate->pace,
        .pace_age = candidate->pace > 0 ? now - state->pace.last_at : -1,
        .measured_pace = get_measured_pace(candidate, now),
        .late_streams = candidate->pauses.late_streams,
        .expected_latency = candidate->expected_latency,
    };
}

/*
 * See balance.h. Only some upstreams have the request's model, some have parts
 * of its prompt cached, and some fail or are slow. The choice avoids the
 * prefill of prompts that are cached elsewhere, queues at one upstream beside
 * an idle one, and failed requests because of a failing upstream.
 *
 * All of these are expressed in one measure, the time until the first token or
 * response, so that no rule takes precedence over another. Each request orders
 * equal upstreams differently. All nodes decide at the same time, by views
 * that are some hundred milliseconds old; so where many other nodes send too,
 * requests are spread over the engines that they fill together (fill.h).
 */
struct ch_upstream_choice
ch_balance_choose(struct ch_balance *balance,
                  const struct ch_request_info *request,
                  const GArray *excluded, bool adapter_ready, int64_t now)
{
    struct ch_upstream_choice choice = {
        .code = CH_NO_UPSTREAM,
        .retry_after = NO_UPSTREAM_RETRY_AFTER_US,
        .message = "no upstream can take this now",
    };
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    GArray *costs = g_array_new(FALSE, FALSE, sizeof(double));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, balance->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct candidate candidate = {.state = value};
        if (is_candidate(value, request, excluded, adapter_ready)) {
            double cost = estimate_cost(balance, request, &candidate, now);
            g_array_append_val(candidates, candidate);
            g_array_append_val(costs, cost);
        }
    }
    if (candidates->len == 0 && is_version_gone(balance, request)) {
        choice.code = CH_VERSION_GONE;
        choice.message = "no upstream runs the stream's version any more";
    }
    prefer_shared_versions(request, candidates, costs);
    bool only_one = candidates->len == 1;
    bool all_limited = remove_limited(candidates, costs, now);
    if (candidates->len > 0) {
        const struct choice_spread spread =
            estimate_spread(balance, request, candidates, now);
        size_t index = choose_candidate(&spread, candidates, costs);
        choice = make_choice(
            balance, request,
            &g_array_index(candidates, struct candidate, index), now);
        choice.is_last_resort = only_one || all_limited;
        choice.avoided_pauses =
            avoids_pauses(&spread, candidates, costs, index);
        choice.shortest_latency = find_shortest_latency(candidates);
    }
    g_array_free(candidates, TRUE);
    g_array_free(costs, TRUE);
    return choice;
}

/* ---- progress of a request ---- */

/* Exponential moving average; a mean of 0 has no sample yet. */
static double
update_mean(double mean, double last)
{
    return mean <= 0 ? last : mean + (last - mean) * mean_sample_weight;
}

/* Records what the request tells of the streams beside it and of the prompts
 * that other streams have to wait for. */
static void
record_stream(struct ch_balance *balance,
              const struct ch_request_info *request,
              const struct ch_upstream_choice *choice)
{
    if (request->is_service) {
        return;
    }
    if (request->event_gap_target > 0) {
        balance->event_gap_target = request->event_gap_target;
    }
    balance->prefill_time =
        update_mean(balance->prefill_time, (double)choice->prefill_time);
}

/* See balance.h. */
void
ch_balance_record_sent(struct ch_balance *balance,
                       const struct ch_request_info *request,
                       const struct ch_upstream_choice *choice, int64_t now)
{
    struct upstream_state *state = find_state(balance, choice->upstream);
    if (state == NULL) {
        return;
    }
    state->running++;
    double pace = choice->expected_pace > 0 ? choice->expected_pace : 1;
    if (estimate_burst(state, pace, now) ==
        estimate_others_backlog(state, pace, now)) {
        state->prefill_burst = 0;
    }
    state->prefill_burst += choice->prefill_time;
    state->prefill_backlog += choice->prefill_time;
    record_stream(balance, request, choice);
    state->used_context_tokens +=
        request->prompt_tokens + request->max_output_tokens;
    if (!request->is_service) {
        record_cached_parts(state, request, now);
    }
}

/*
 * Updates a measured time so that it stays near the fastest samples. Responses
 * of an overloaded engine are slow because they wait for one another. If that
 * were taken for the model's own cost, a model would seem to need more engines
 * the longer it has too few, until it is given all of them.
 */
static void
update_near_fastest(struct measured_time *measured, double last)
{
    if (!has_enough_samples(measured)) {
        measured->value =
            measured->count == 0 ? last : MIN(measured->value, last);
        measured->count++;
        return;
    }
    double weight =
        last < measured->value ? faster_sample_weight : slower_sample_weight;
    measured->value += (last - measured->value) * weight;
}

/*
 * Learns the prefill time per token of a prompt from the time until the first
 * token at a usual engine. Where prompts are spaced, what does not depend on
 * the length of the prompt is taken off: a rule that counts it with each
 * prompt would let an engine take half of the prompts that it can.
 */
static void
learn_prefill(struct model_stats *model,
              const struct ch_upstream_choice *choice, double elapsed)
{
    bool is_spaced = choice->prefill.cost > 0;
    if (is_spaced) {
        double base = elapsed - (double)choice->prefill_tokens *
                                    DEFAULT_PREFILL_US_PER_TOKEN;
        update_near_fastest(&model->first_token_base, MAX(base, 0));
    }
    if (choice->prefill_tokens < MIN_MEASURED_TOKENS ||
        (is_spaced && !has_enough_samples(&model->first_token_base))) {
        return;
    }
    double base = is_spaced ? model->first_token_base.value : 0;
    if (elapsed > base) {
        update_near_fastest(&model->prefill_per_token,
                            (elapsed - base) / choice->prefill_tokens);
    }
}

/* See balance.h. */
void
ch_balance_record_first_byte(struct ch_balance *balance,
                             const struct ch_request_info *request,
                             const struct ch_upstream_choice *choice,
                             int64_t elapsed, int64_t now)
{
    struct upstream_state *state = find_state(balance, choice->upstream);
    if (state == NULL) {
        return;
    }
    state->prefill_backlog -=
        MIN(state->prefill_backlog, choice->prefill_time);
    state->prefill_ended_at = now;
    state->response_time = update_mean(state->response_time, (double)elapsed);
    double ratio = (double)elapsed / (double)MAX(choice->expected_latency, 1);
    if (choice->expected_pace > 0) {
        /* The pace was used in place of the slowdown, which is kept up to date
         * for the time when the pace is no longer known. */
        ratio *= choice->expected_pace / state->slowdown;
    }
    state->slowdown =
        CLAMP(update_mean(state->slowdown, state->slowdown * ratio),
              MIN_SLOWDOWN, MAX_SLOWDOWN);
    if (!request->is_service && choice->measured_pace > 0) {
        learn_prefill(ensure_model_stats(balance, request->model), choice,
                      (double)elapsed / choice->measured_pace);
    }
}

/* Learns the number of events and the time per event from a whole response. */
static void
learn_response(struct ch_balance *balance,
               const struct ch_request_info *request,
               const struct ch_upstream_choice *choice,
               const struct ch_timing_sample *sample)
{
    if (request->is_service || sample->token_time <= 0 ||
        request->max_output_tokens == 0) {
        return;
    }
    struct model_stats *model = ensure_model_stats(balance, request->model);
    if (choice->measured_pace > 0) {
        update_near_fastest(&model->time_per_event,
                            (double)sample->token_time /
                                choice->measured_pace);
    }
    model->events_per_token =
        update_mean(model->events_per_token,
                    (double)sample->token_count / request->max_output_tokens);
}

/* Whether a result says anything about the upstream; sets *failed if so. */
static bool
is_about_upstream(enum ch_code code, bool *failed)
{
    switch (code) {
    case CH_OK:
        *failed = false;
        return true;
    case CH_UPSTREAM_CONNECT:
    case CH_UPSTREAM_STALLED:
    case CH_UPSTREAM_CUT:
    case CH_UPSTREAM_CROSSED:
    case CH_UPSTREAM_ANSWER:
    case CH_UPSTREAM_REFUSED:
        *failed = true;
        return true;
    default:
        return false;
    }
}

/* See balance.h. */
void
ch_balance_record_end(struct ch_balance *balance,
                      const struct ch_request_info *request,
                      const struct ch_upstream_choice *choice,
                      bool response_started,
                      const struct ch_timing_sample *sample, int64_t now)
{
    struct upstream_state *state = find_state(balance, choice->upstream);
    enum ch_code code = sample->code;
    bool failed = false;
    if (code == CH_OK) {
        learn_response(balance, request, choice, sample);
    }
    if (state == NULL) {
        return;
    }
    state->running -= MIN(state->running, 1);
    state->used_context_tokens -=
        MIN(state->used_context_tokens,
            request->prompt_tokens + request->max_output_tokens);
    if (!response_started && choice->prefill.cost > 0 &&
        code == CH_CANCELLED) {
        /* Not sent: the engine has not read it. */
        state->prefill_burst -=
            MIN(state->prefill_burst, choice->prefill_time);
        state->prefill_backlog -=
            MIN(state->prefill_backlog, choice->prefill_time);
    }
    else if (!response_started) {
        state->prefill_ended_at = now;
        state->prefill_backlog -=
            MIN(state->prefill_backlog, choice->prefill_time);
    }
    if (!is_about_upstream(code, &failed)) {
        return;
    }
    if (code == CH_UPSTREAM_CONNECT || code == CH_UPSTREAM_CUT) {
        state->lost_at = now;
    }
    double rate = estimate_failure_rate(state, now);
    state->failure_rate =
        rate + ((failed ? 1 : 0) - rate) * failure_sample_weight;
    /* A failed connection is clear evidence: the rate is at least half at
     * once. */
    if (code == CH_UPSTREAM_CONNECT) {
        state->failure_rate = MAX(state->failure_rate, 0.5);
    }
    state->failure_rate_at = now;
}
