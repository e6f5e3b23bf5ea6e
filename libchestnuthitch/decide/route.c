/* At the entry node: chooses the upstream whose home node is asked for a
 * request. */

#include "decide/home.h"

#include <string.h>

enum {
    /* Assumed time until an upstream's first token; its view doesn't tell. */
    FIRST_TOKEN_US = 150 * 1000,
    /* An adapter's load takes 6 to 19 ms. */
    ADAPTER_LOAD_US = 20 * 1000,
    /* Assumed time left of a load that has begun; its view doesn't tell. */
    LOAD_REMAINING_US = 4 * G_USEC_PER_SEC,
    /* Requests that a replica may have more than the least full one and still
     * be chosen for its adapter or cached prefix. A cached prefix saves tens
     * of milliseconds; three requests in a batch cost each other ten. */
    AFFINITY_SLACK_REQUESTS = 3,
    /* Bytes of a response's event for one token, and of a prompt's token. */
    EVENT_BYTES_PER_TOKEN = 200,
    PROMPT_BYTES_PER_TOKEN = 4,
    /* Retry-after if there is no upstream to ask: about the period of the host
     * list. */
    NO_UPSTREAM_RETRY_AFTER_US = G_USEC_PER_SEC,
};

/* Whether the upstream is listed for new requests, with software that may take
 * this one. */
static bool
may_take(const struct ch_upstream_view *view,
         const struct ch_request_info *request)
{
    return !view->down && !view->draining &&
           (request->required_version == 0 ||
            view->version_id == request->required_version);
}

/* Whether the upstream can serve the request as it is: it is the service, or
 * has the model and is at most a quarter slower per token than the target. */
bool
ch_upstream_view_serves(const struct ch_upstream_view *view,
                        const struct ch_request_info *request)
{
    if (!may_take(view, request)) {
        return false;
    }
    if (request->is_service) {
        return view->service == request->model;
    }
    if (view->service != 0 ||
        !ch_upstream_view_has_item(view, request->model)) {
        return false;
    }
    return request->token_target == 0 ||
           view->token_time <= request->token_target * 5 / 4;
}

/* See policy.h. */
bool
ch_route_is_excluded(const GArray *excluded, GQuark name)
{
    for (guint i = 0; excluded != NULL && i < excluded->len; i++) {
        if (g_array_index(excluded, GQuark, i) == name) {
            return true;
        }
    }
    return false;
}

/* Requests at the upstream as far as this node knows: the home node's recent
 * exact count, and what this node has sent since. */
static uint32_t
count_requests(const struct ch_policy *policy,
               const struct ch_upstream_view *view)
{
    uint32_t sent = policy->routing->count_sent ? view->sent_since_report : 0;
    return view->running + view->queued + sent;
}

/* Expected wait of a request that is sent there now. */
static int64_t
estimate_wait(const struct ch_policy *policy,
              const struct ch_upstream_view *view)
{
    uint32_t batch = MAX(view->max_batch, 1);
    uint32_t running = count_requests(policy, view);
    if (running < batch) {
        return 0;
    }
    int64_t wait_per_request = view->predicted_wait / (view->queued + 1);
    return view->predicted_wait + wait_per_request * view->sent_since_report;
}

/* Rank of an upstream for a key by rendezvous hashing: every entry node
 * computes the same order. */
static uint64_t
rank_upstream(uint64_t key, const struct ch_upstream_view *view)
{
    return ch_hash_pair(key, ch_hash_string(g_quark_to_string(view->name)));
}

/* Bytes that the request's prompt and response may take on the link. */
static int64_t
estimate_link_bytes(const struct ch_request_info *request)
{
    return (int64_t)request->prompt_tokens * PROMPT_BYTES_PER_TOKEN +
           (int64_t)request->max_output_tokens * EVENT_BYTES_PER_TOKEN;
}

/* Whether the request is expected to meet its target at the upstream. */
static bool
would_meet_target(const struct ch_policy *policy, const struct ch_fleet *fleet,
                  const struct ch_upstream_view *view,
                  const struct ch_request_info *request, int64_t now)
{
    if (request->first_token_deadline == 0) {
        return true;
    }
    int64_t delay =
        view->region == fleet->region ? 0 : 4 * fleet->region_delay;
    int64_t first = request->is_service ? 0 : FIRST_TOKEN_US;
    return now + delay + estimate_wait(policy, view) + first <=
           request->first_token_deadline;
}

/* Requests at the upstream as a share of its batch. */
static double
get_fullness(const struct ch_policy *policy,
             const struct ch_upstream_view *view)
{
    return (double)count_requests(policy, view) / MAX(view->max_batch, 1);
}

/* What replicas are compared by. */
struct replica {
    size_t index;
    bool adapter;    /* already loaded */
    uint64_t prefix; /* rank for the request's prefix */
    double fullness;
    uint64_t tie;
};

/* Whether replica a is preferred to b. slack: difference in fullness that an
 * adapter or a prefix is worth. */
static bool
is_better(const struct replica *a, const struct replica *b, double slack)
{
    double difference = a->fullness - b->fullness;
    if (difference > slack || difference < -slack) {
        return difference < 0;
    }
    if (a->adapter != b->adapter) {
        return a->adapter;
    }
    if (slack > 0 && a->prefix != b->prefix) {
        return a->prefix > b->prefix;
    }
    if (difference < 0 || difference > 0) {
        return difference < 0;
    }
    return a->tie > b->tie;
}

/*
 * Returns the replica to ask of those that are expected to meet the target, in
 * this region (local) or in the others; -1: none.
 *
 * Requests may share an adapter or the start of their prompt. Without
 * affinity, the adapter would be loaded everywhere, and the start of the
 * prompt prefilled again on each upstream. Affinity is worth a few requests'
 * fullness at most, so that a popular prefix spreads instead of queueing.
 */
static int
choose_replica(const struct ch_policy *policy, const struct ch_fleet *fleet,
               const struct ch_request_info *request, const GArray *excluded,
               bool local, int64_t now)
{
    struct replica best = {0};
    bool found = false;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if ((view->region == fleet->region) != local ||
            ch_route_is_excluded(excluded, view->name) ||
            !ch_upstream_view_serves(view, request) ||
            !would_meet_target(policy, fleet, view, request, now)) {
            continue;
        }
        bool affinity = policy->routing->affinity && !request->is_service;
        struct replica replica = {
            .index = i,
            .adapter = affinity && request->adapter != 0 &&
                       ch_upstream_view_has_item(view, request->adapter),
            .prefix = affinity && request->prefix_hash != 0
                          ? rank_upstream(request->prefix_hash, view)
                          : 0,
            .fullness = get_fullness(policy, view),
            .tie = rank_upstream(request->id, view),
        };
        double slack = affinity ? (double)AFFINITY_SLACK_REQUESTS /
                                      MAX(view->max_batch, 1)
                                : 0;
        if (!found || is_better(&replica, &best, slack)) {
            best = replica;
            found = true;
        }
    }
    return found ? (int)best.index : -1;
}

/* Returns the upstream with the shortest queue that is loading the request's
 * model; -1: none. Unless `any` is set, only if it is in this region and the
 * target leaves time for the load. */
static int
choose_loading(const struct ch_fleet *fleet,
               const struct ch_request_info *request, const GArray *excluded,
               bool any, int64_t now)
{
    if (request->is_service ||
        (!any && request->first_token_deadline != 0 &&
         now + LOAD_REMAINING_US > request->first_token_deadline)) {
        return -1;
    }
    int best = -1;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (!may_take(view, request) || view->service != 0 ||
            ch_route_is_excluded(excluded, view->name) ||
            !ch_upstream_view_is_loading(view, request->model)) {
            continue;
        }
        if (view->region != fleet->region && !any) {
            continue;
        }
        if (best < 0 || view->queued < fleet->upstreams[best].queued) {
            best = (int)i;
        }
    }
    return best;
}

/* Length of a list; 0 for the NULL list of an upstream that has not reported.
 */
static guint
get_length(const GArray *list)
{
    return list == NULL ? 0 : list->len;
}

/* Counts the upstreams that have each item, by quark, in one pass, as the
 * choice of a place needs the count for every model of every upstream. The
 * caller unrefs the table. */
static GHashTable *
count_replicas(const struct ch_fleet *fleet)
{
    GHashTable *counts = g_hash_table_new(NULL, NULL);
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        for (guint j = 0;
             !view->down && !view->draining && j < get_length(view->resident);
             j++) {
            gpointer key = GUINT_TO_POINTER(
                g_array_index(view->resident, struct ch_item, j).name);
            guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
            g_hash_table_insert(counts, key, GUINT_TO_POINTER(count + 1));
        }
    }
    return counts;
}

/*
 * Cost of evicting enough at an upstream to load the request's model: requests
 * per second for the models there, where models with other replicas count a
 * quarter. The cost is in coarse steps, so that nodes whose views differ a
 * little still agree; 0: there is enough free memory.
 */
static unsigned
get_eviction_step(GHashTable *replicas, const struct ch_upstream_view *view,
                  const struct ch_request_info *request)
{
    if (view->free_mb >= request->model_mb + request->adapter_mb) {
        return 0;
    }
    uint32_t demand = 0;
    for (guint i = 0; i < get_length(view->resident); i++) {
        const struct ch_item *item =
            &g_array_index(view->resident, struct ch_item, i);
        if (strchr(g_quark_to_string(item->name), '/') == NULL) {
            gpointer key = GUINT_TO_POINTER(item->name);
            bool has_other_replica =
                GPOINTER_TO_UINT(g_hash_table_lookup(replicas, key)) > 1;
            demand += has_other_replica ? item->rate / 4 : item->rate;
        }
    }
    unsigned step = 1;
    while (demand > 50) {
        demand /= 2;
        step++;
    }
    return step;
}

/* Whether a model is being loaded there already. */
static bool
is_loading_model(const struct ch_upstream_view *view)
{
    for (guint i = 0; i < get_length(view->loading); i++) {
        GQuark name = g_array_index(view->loading, struct ch_item, i).name;
        if (strchr(g_quark_to_string(name), '/') == NULL) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the upstream that is to load the request's model; -1: none, or it
 * has already refused this request.
 *
 * Many entry nodes may ask at the same time for a model that no upstream has,
 * or whose replicas are full. If each chose a place of its own, the model
 * would be loaded in many places. All compute the same order: by coarse
 * eviction cost, with a surcharge for other regions, then by rendezvous hash.
 * The second place in that order isn't asked: it would count the same demand
 * again.
 */
static int
choose_place(const struct ch_fleet *fleet,
             const struct ch_request_info *request, const GArray *excluded)
{
    if (request->is_service) {
        return -1;
    }
    int best = -1;
    unsigned best_step = 0;
    uint64_t best_rank = 0;
    uint64_t key = ch_hash_string(g_quark_to_string(request->model));
    GHashTable *replicas = count_replicas(fleet);
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (!may_take(view, request) || view->service != 0 ||
            ch_upstream_view_has_item(view, request->model) ||
            is_loading_model(view) ||
            view->capacity_mb < request->model_mb + request->adapter_mb) {
            continue;
        }
        unsigned step = get_eviction_step(replicas, view, request) * 2;
        step += view->region == fleet->region ? 0 : 3;
        uint64_t rank = rank_upstream(key, view);
        if (best < 0 || step < best_step ||
            (step == best_step && rank > best_rank)) {
            best = (int)i;
            best_step = step;
            best_rank = rank;
        }
    }
    g_hash_table_unref(replicas);
    if (best >= 0 &&
        ch_route_is_excluded(excluded, fleet->upstreams[best].name)) {
        return -1;
    }
    return best;
}

/* Returns the replica with the shortest wait, whether or not it meets the
 * target; other regions have a surcharge. -1: none. */
static int
choose_shortest_wait(const struct ch_policy *policy,
                     const struct ch_fleet *fleet,
                     const struct ch_request_info *request,
                     const GArray *excluded)
{
    int best = -1;
    int64_t best_wait = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (ch_route_is_excluded(excluded, view->name) ||
            !ch_upstream_view_serves(view, request)) {
            continue;
        }
        int64_t wait = estimate_wait(policy, view);
        if (view->region != fleet->region) {
            wait += 4 * fleet->region_delay + G_USEC_PER_SEC;
        }
        if (best < 0 || wait < best_wait) {
            best = (int)i;
            best_wait = wait;
        }
    }
    return best;
}

/* Routes to the upstream, or refuses if there is none to ask. */
static struct ch_route
make_route(int upstream)
{
    if (upstream < 0) {
        struct ch_route none = {.code = CH_NO_UPSTREAM,
                                .retry_after = NO_UPSTREAM_RETRY_AFTER_US};
        g_strlcpy(none.message, "no upstream can take this now",
                  sizeof(none.message));
        return none;
    }
    return (struct ch_route){.code = CH_OK, .upstream = (size_t)upstream};
}

/*
 * The default policy: a replica in this region that meets the target, one that
 * is loading here, or one across the link if its byte budget allows.
 *
 * The link between regions is slow, narrow and billed by volume. Only requests
 * that would otherwise miss their target use it, within a byte budget, so that
 * a region in trouble can't fill the link for all other traffic.
 *
 * If no replica is expected to meet the target, the replica with the shortest
 * wait is asked first, as its home node has the most exact view. If that
 * refuses, the request goes to the place where the next replica would be
 * loaded, and so tells that place's home node how much demand overflows.
 */
struct ch_route
ch_route_choose_default(const struct ch_policy *policy, struct ch_fleet *fleet,
                        const struct ch_request_info *request,
                        const GArray *excluded, int64_t now)
{
    int index = choose_replica(policy, fleet, request, excluded, true, now);
    if (index < 0) {
        index = choose_loading(fleet, request, excluded, false, now);
    }
    if (index < 0 && policy->routing->spill &&
        fleet->link_bytes_left >= estimate_link_bytes(request)) {
        index = choose_replica(policy, fleet, request, excluded, false, now);
    }
    bool is_retry = excluded != NULL && excluded->len > 0;
    if (index < 0 && !is_retry) {
        index = choose_shortest_wait(policy, fleet, request, excluded);
    }
    if (index < 0) {
        index = choose_loading(fleet, request, excluded, true, now);
    }
    if (index < 0) {
        index = choose_place(fleet, request, excluded);
    }
    if (index < 0) {
        index = choose_shortest_wait(policy, fleet, request, excluded);
    }
    return make_route(index);
}

/*
 * Baseline for measuring what home nodes are worth: routers that know only
 * lagging reports and their own requests. Requests that no replica is expected
 * to serve in time are refused here, and a model without replicas is placed as
 * by the default policy.
 */
struct ch_route
ch_route_choose_independent(const struct ch_policy *policy,
                            struct ch_fleet *fleet,
                            const struct ch_request_info *request,
                            const GArray *excluded, int64_t now)
{
    int index = choose_replica(policy, fleet, request, excluded, true, now);
    if (index < 0 && fleet->link_bytes_left >= estimate_link_bytes(request)) {
        index = choose_replica(policy, fleet, request, excluded, false, now);
    }
    if (index < 0) {
        index = choose_loading(fleet, request, excluded, false, now);
    }
    if (index < 0) {
        index = choose_place(fleet, request, excluded);
    }
    return make_route(index);
}

/* Whether an upstream in this region (local) or in the others can have or
 * serve the request's model. */
static bool
is_candidate(const struct ch_fleet *fleet, const struct ch_upstream_view *view,
             const struct ch_request_info *request, const GArray *excluded,
             bool local)
{
    if ((view->region == fleet->region) != local || view->down ||
        view->draining || ch_route_is_excluded(excluded, view->name)) {
        return false;
    }
    return request->is_service ? view->service == request->model
                               : view->service == 0;
}

/* Returns the least full candidate in this region (local) or in the others;
 * replica: of those that have or are loading the model, else of the rest. -1:
 * none. */
static int
choose_least_full(const struct ch_policy *policy, const struct ch_fleet *fleet,
                  const struct ch_request_info *request,
                  const GArray *excluded, bool local, bool replica)
{
    int best = -1;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (!is_candidate(fleet, view, request, excluded, local)) {
            continue;
        }
        bool has_model = request->is_service ||
                         ch_upstream_view_has_item(view, request->model) ||
                         ch_upstream_view_is_loading(view, request->model);
        if (has_model == replica &&
            (best < 0 || get_fullness(policy, view) <
                             get_fullness(policy, &fleet->upstreams[best]))) {
            best = (int)i;
        }
    }
    return best;
}

/*
 * Baseline: the least full replica by lagging reports, this region first,
 * while its batch has room. A model without a replica is loaded on demand on
 * the least full upstream here. So is a model whose replicas are all full, if
 * that upstream is less than half full.
 */
struct ch_route
ch_route_choose_least_loaded(const struct ch_policy *policy,
                             struct ch_fleet *fleet,
                             const struct ch_request_info *request,
                             const GArray *excluded, int64_t now)
{
    (void)now;
    int replica = -1;
    for (int local = 1; local >= 0; local--) {
        int index = choose_least_full(policy, fleet, request, excluded,
                                      local == 1, true);
        if (index >= 0 &&
            get_fullness(policy, &fleet->upstreams[index]) < 1.0) {
            return make_route(index);
        }
        replica = replica < 0 ? index : replica;
    }
    for (int local = 1; local >= 0 && !request->is_service; local--) {
        int index = choose_least_full(policy, fleet, request, excluded,
                                      local == 1, false);
        if (index >= 0 &&
            (replica < 0 ||
             get_fullness(policy, &fleet->upstreams[index]) < 0.5)) {
            return make_route(index);
        }
    }
    return make_route(replica);
}

/* Baseline: round robin over the replicas, this region first, whatever their
 * load. */
struct ch_route
ch_route_choose_static(const struct ch_policy *policy, struct ch_fleet *fleet,
                       const struct ch_request_info *request,
                       const GArray *excluded, int64_t now)
{
    (void)policy;
    (void)now;
    for (int local = 1; local >= 0; local--) {
        size_t count = 0;
        for (int pass = 0; pass < 2; pass++) {
            size_t remaining = count > 0 ? request->id % count : 0;
            for (size_t i = 0; i < fleet->count; i++) {
                const struct ch_upstream_view *view = &fleet->upstreams[i];
                if (!is_candidate(fleet, view, request, excluded,
                                  local == 1) ||
                    (!request->is_service &&
                     !ch_upstream_view_has_item(view, request->model))) {
                    continue;
                }
                if (pass == 0) {
                    count++;
                }
                else if (remaining-- == 0) {
                    return make_route((int)i);
                }
            }
        }
    }
    return make_route(-1);
}

/* Asks the policy, and counts the request in the chosen view's sent_since. */
struct ch_route
ch_route_choose(const struct ch_policy *policy, struct ch_fleet *fleet,
                const struct ch_request_info *request, const GArray *excluded,
                int64_t now)
{
    struct ch_route route =
        policy->routing->choose(policy, fleet, request, excluded, now);
    if (route.code == CH_OK) {
        fleet->upstreams[route.upstream].sent_since_report++;
    }
    return route;
}

/* Whether a route leads to an upstream that can serve the request as it is. */
static bool
route_serves(const struct ch_fleet *fleet, const struct ch_route *route,
             const struct ch_request_info *request)
{
    return route->code == CH_OK &&
           ch_upstream_view_serves(&fleet->upstreams[route->upstream],
                                   request);
}

/*
 * See policy.h. A connection to an upstream may go silent, or a response may
 * be crossed (belong to another request) or interrupted, while the upstream
 * itself is well. An upstream at which this request failed is avoided while
 * another one can serve it; if none can, it is asked again, as the retry uses
 * a new connection. Otherwise each lost connection would make a model with one
 * replica be refused, or moved. For an upstream that is really gone, the retry
 * budget and the limit of attempts bound the retries.
 */
struct ch_route
ch_route_choose_retry(const struct ch_policy *policy, struct ch_fleet *fleet,
                      const struct ch_request_info *request,
                      const GArray *excluded, guint failed, int64_t now)
{
    struct ch_route route =
        ch_route_choose(policy, fleet, request, excluded, now);
    if (failed == 0 || route_serves(fleet, &route, request)) {
        return route;
    }
    GArray *refused = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (guint i = failed; i < excluded->len; i++) {
        g_array_append_val(refused, g_array_index(excluded, GQuark, i));
    }
    struct ch_route again =
        ch_route_choose(policy, fleet, request, refused, now);
    g_array_free(refused, TRUE);
    if (!route_serves(fleet, &again, request)) {
        return route;
    }
    if (route.code == CH_OK) {
        fleet->upstreams[route.upstream].sent_since_report--;
    }
    return again;
}
