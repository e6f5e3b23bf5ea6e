/* At the entry node: which upstream's home is asked for a request. */

#include "decide/home.h"

#include <string.h>

enum {
    /* Until an upstream is asked, its first token is taken to need this. */
    FIRST_TOKEN = 150 * 1000,
    /* An adapter's load; see the brief (6 to 19 ms). */
    ADAPTER_LOAD = 20 * 1000,
    /* What is left of a load that has begun, for all that a view tells. */
    LOAD_LEFT = 4 * G_USEC_PER_SEC,
    /* Room that a replica may be fuller than the emptiest and still be taken
     * for its adapter or prefix: requests.  A cached prefix saves tens of
     * milliseconds; three requests in a batch cost each other ten. */
    AFFINITY_SLACK = 3,
    /* Bytes of an answer's event for one token, and of a prompt's. */
    EVENT_BYTES = 200,
    PROMPT_BYTES = 4,
    /* When there is nothing to ask: about a host list's period. */
    ASK_AGAIN = G_USEC_PER_SEC,
};

/* Whether the upstream serves the work as it is: resident, and fast enough. */
bool
ch_view_serves(const struct ch_upstream_view *view, const struct ch_work *work)
{
    if (view->down || view->leaving) {
        return false;
    }
    if (work->service) {
        return view->service == work->model;
    }
    if (view->service != 0 || !ch_upstream_view_has(view, work->model)) {
        return false;
    }
    return work->between == 0 || view->token <= work->between * 5 / 4;
}

/* Whether this request was already refused there. */
static bool
is_excluded(const GArray *excluded, GQuark name)
{
    for (guint i = 0; excluded != NULL && i < excluded->len; i++) {
        if (g_array_index(excluded, GQuark, i) == name) {
            return true;
        }
    }
    return false;
}

/* Requests there, as far as this node knows: the home's exact count of a
 * moment ago, and what this node has sent since. */
static uint32_t
occupancy(const struct ch_policy *policy, const struct ch_upstream_view *view)
{
    uint32_t sent = policy->routing->counts ? view->sent_since : 0;
    return view->running + view->queued + sent;
}

/* Microseconds that a request sent there now is expected to wait. */
static int64_t
expected_wait(const struct ch_policy *policy,
              const struct ch_upstream_view *view)
{
    uint32_t batch = MAX(view->batch, 1);
    uint32_t here = occupancy(policy, view);
    if (here < batch) {
        return 0;
    }
    int64_t each = view->wait / (view->queued + 1);
    return view->wait + each * view->sent_since;
}

/* A request's place in a preferred order of upstreams that every entry node
 * computes alike (rendezvous hash). */
static uint64_t
preference(uint64_t key, const struct ch_upstream_view *view)
{
    return ch_hash_pair(key, ch_hash_string(g_quark_to_string(view->name)));
}

/* The bytes that the request's prompt and answer may take on the link. */
static int64_t
link_cost(const struct ch_work *work)
{
    return (int64_t)work->prompt_tokens * PROMPT_BYTES +
           (int64_t)work->output_tokens * EVENT_BYTES;
}

/* Whether the request is expected to make its target on that upstream. */
static bool
would_meet(const struct ch_policy *policy, const struct ch_fleet *fleet,
           const struct ch_upstream_view *view, const struct ch_work *work,
           int64_t now)
{
    if (work->first_by == 0) {
        return true;
    }
    int64_t delay =
        view->region == fleet->region ? 0 : 4 * fleet->region_delay;
    int64_t first = work->service ? 0 : FIRST_TOKEN;
    return now + delay + expected_wait(policy, view) + first <= work->first_by;
}

/* The fullness of an upstream: requests there as a share of its batch. */
static double
fullness(const struct ch_policy *policy, const struct ch_upstream_view *view)
{
    return (double)occupancy(policy, view) / MAX(view->batch, 1);
}

/* What makes one replica better than another. */
struct replica {
    size_t index;
    bool adapter;    /* already there */
    uint64_t prefix; /* preference for the request's prefix */
    double fullness;
    uint64_t tie;
};

/* Whether a replica is to be taken before another.  slack: the difference in
 * fullness that an adapter or a prefix is worth. */
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
 * The replica to ask among those that are expected to meet the target, in the
 * own region or in the others; -1 when there is none.
 *
 * Load: requests that share an adapter or the start of their prompt.  Harm
 * prevented: an adapter loaded everywhere, and a prompt's start computed anew
 * on each upstream.  Limit: a few requests' worth of fullness, so that a hot
 * prefix spreads instead of queueing.
 */
static int
best_replica(const struct ch_policy *policy, const struct ch_fleet *fleet,
             const struct ch_work *work, const GArray *excluded, bool local,
             int64_t now)
{
    struct replica best = {0};
    bool found = false;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if ((view->region == fleet->region) != local ||
            is_excluded(excluded, view->name) || !ch_view_serves(view, work) ||
            !would_meet(policy, fleet, view, work, now)) {
            continue;
        }
        bool affinity = policy->routing->affinity && !work->service;
        struct replica replica = {
            .index = i,
            .adapter = affinity && work->adapter != 0 &&
                       ch_upstream_view_has(view, work->adapter),
            .prefix = affinity && work->prefix != 0
                          ? preference(work->prefix, view)
                          : 0,
            .fullness = fullness(policy, view),
            .tie = preference(work->id, view),
        };
        double slack =
            affinity ? (double)AFFINITY_SLACK / MAX(view->batch, 1) : 0;
        if (!found || is_better(&replica, &best, slack)) {
            best = replica;
            found = true;
        }
    }
    return found ? (int)best.index : -1;
}

/* A local upstream that is loading the work's model, when the target allows
 * to wait for it; -1 when there is none. */
static int
best_loading(const struct ch_fleet *fleet, const struct ch_work *work,
             const GArray *excluded, bool any, int64_t now)
{
    if (work->service ||
        (!any && work->first_by != 0 && now + LOAD_LEFT > work->first_by)) {
        return -1;
    }
    int best = -1;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (view->down || view->leaving || view->service != 0 ||
            is_excluded(excluded, view->name) ||
            !ch_upstream_view_loads(view, work->model)) {
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

/* Items of a list; 0 when an upstream has not been heard of yet. */
static guint
count_of(const GArray *list)
{
    return list == NULL ? 0 : list->len;
}

/* How many upstreams serve each item, by quark: one pass, as choosing a place
 * asks it for every model of every upstream.  The caller's to unref. */
static GHashTable *
count_replicas(const struct ch_fleet *fleet)
{
    GHashTable *counts = g_hash_table_new(NULL, NULL);
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        for (guint j = 0;
             !view->down && !view->leaving && j < count_of(view->resident);
             j++) {
            gpointer key = GUINT_TO_POINTER(
                g_array_index(view->resident, struct ch_item, j).name);
            guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
            g_hash_table_insert(counts, key, GUINT_TO_POINTER(count + 1));
        }
    }
    return counts;
}

/* What would have to go at an upstream for the work's model, in coarse steps,
 * so that nodes whose views differ a little still agree: requests a second of
 * the models there, of last replicas above all. */
static unsigned
cost_step(GHashTable *replicas, const struct ch_upstream_view *view,
          const struct ch_work *work)
{
    if (view->free_mb >= work->model_mb + work->adapter_mb) {
        return 0;
    }
    uint32_t demand = 0;
    for (guint i = 0; i < count_of(view->resident); i++) {
        const struct ch_item *item =
            &g_array_index(view->resident, struct ch_item, i);
        if (strchr(g_quark_to_string(item->name), '/') == NULL) {
            gpointer key = GUINT_TO_POINTER(item->name);
            bool fellow =
                GPOINTER_TO_UINT(g_hash_table_lookup(replicas, key)) > 1;
            demand += fellow ? item->rate / 4 : item->rate;
        }
    }
    unsigned step = 1;
    while (demand > 50) {
        demand /= 2;
        step++;
    }
    return step;
}

/* Whether the upstream's memory is changing already. */
static bool
is_loading_model(const struct ch_upstream_view *view)
{
    for (guint i = 0; i < count_of(view->loading); i++) {
        GQuark name = g_array_index(view->loading, struct ch_item, i).name;
        if (strchr(g_quark_to_string(name), '/') == NULL) {
            return true;
        }
    }
    return false;
}

/*
 * The upstream that is to bring the work's model in; -1 when there is none,
 * or when it has already said no to this request.
 *
 * Load: a model that nobody holds, or whose replicas are full, asked for by
 * many entry nodes at once.  Harm prevented: each of them having it loaded
 * somewhere else.  All compute the same order from the same hash: least to
 * lose first, in coarse steps, then by rendezvous, own region first.  The
 * second in that order is not asked: it would count the same demand again.
 */
static int
best_place(const struct ch_fleet *fleet, const struct ch_work *work,
           const GArray *excluded)
{
    if (work->service) {
        return -1;
    }
    int best = -1;
    unsigned best_step = 0;
    uint64_t best_weight = 0;
    uint64_t key = ch_hash_string(g_quark_to_string(work->model));
    GHashTable *replicas = count_replicas(fleet);
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (view->down || view->leaving || view->service != 0 ||
            ch_upstream_view_has(view, work->model) ||
            is_loading_model(view) ||
            view->capacity_mb < work->model_mb + work->adapter_mb) {
            continue;
        }
        unsigned step = cost_step(replicas, view, work) * 2;
        step += view->region == fleet->region ? 0 : 3;
        uint64_t weight = preference(key, view);
        if (best < 0 || step < best_step ||
            (step == best_step && weight > best_weight)) {
            best = (int)i;
            best_step = step;
            best_weight = weight;
        }
    }
    g_hash_table_unref(replicas);
    if (best >= 0 && is_excluded(excluded, fleet->upstreams[best].name)) {
        return -1;
    }
    return best;
}

/* The replica with the least wait, whether or not it meets the target, own
 * region before others; -1 when there is none. */
static int
least_wait(const struct ch_policy *policy, const struct ch_fleet *fleet,
           const struct ch_work *work, const GArray *excluded)
{
    int best = -1;
    int64_t best_wait = 0;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (is_excluded(excluded, view->name) || !ch_view_serves(view, work)) {
            continue;
        }
        int64_t wait = expected_wait(policy, view);
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

/* The answer that names an upstream, or says that there is none to ask. */
static struct ch_route
answer(int upstream)
{
    if (upstream < 0) {
        struct ch_route none = {.code = CH_NO_UPSTREAM,
                                .retry_after = ASK_AGAIN};
        g_strlcpy(none.message, "no upstream can take this now",
                  sizeof(none.message));
        return none;
    }
    return (struct ch_route){.code = CH_OK, .upstream = (size_t)upstream};
}

/*
 * Ours.  A replica here that meets the target; one that is being loaded here;
 * one across the link, if bytes are left.
 *
 * The link's limit: it is slow, narrow and paid by volume; it is used only by
 * what would else miss its target, and out of a byte budget, so that a region
 * in trouble cannot fill it for everything else that crosses.
 *
 * Where nothing meets the target the fullest knowledge is the home's: the
 * shortest queue is asked first.  After its refusal the request goes to the
 * place where a further replica would come, which thereby learns how much
 * overflows.
 */
struct ch_route
ch_route_default(const struct ch_policy *policy, struct ch_fleet *fleet,
                 const struct ch_work *work, const GArray *excluded,
                 int64_t now)
{
    int at = best_replica(policy, fleet, work, excluded, true, now);
    if (at < 0) {
        at = best_loading(fleet, work, excluded, false, now);
    }
    if (at < 0 && policy->routing->spill &&
        fleet->link_bytes >= link_cost(work)) {
        at = best_replica(policy, fleet, work, excluded, false, now);
    }
    bool again = excluded != NULL && excluded->len > 0;
    if (at < 0 && !again) {
        at = least_wait(policy, fleet, work, excluded);
    }
    if (at < 0) {
        at = best_loading(fleet, work, excluded, true, now);
    }
    if (at < 0) {
        at = best_place(fleet, work, excluded);
    }
    if (at < 0) {
        at = least_wait(policy, fleet, work, excluded);
    }
    return answer(at);
}

/* For measuring what homes are worth: routers that know lagging reports and
 * their own requests alone.  What no replica is seen to serve in time is
 * refused here, and a model that is nowhere is placed as by default. */
struct ch_route
ch_route_independent(const struct ch_policy *policy, struct ch_fleet *fleet,
                     const struct ch_work *work, const GArray *excluded,
                     int64_t now)
{
    int at = best_replica(policy, fleet, work, excluded, true, now);
    if (at < 0 && fleet->link_bytes >= link_cost(work)) {
        at = best_replica(policy, fleet, work, excluded, false, now);
    }
    if (at < 0) {
        at = best_loading(fleet, work, excluded, false, now);
    }
    if (at < 0) {
        at = best_place(fleet, work, excluded);
    }
    return answer(at);
}

/* Whether an upstream of the wanted region can hold or serve the work. */
static bool
is_candidate(const struct ch_fleet *fleet, const struct ch_upstream_view *view,
             const struct ch_work *work, const GArray *excluded, bool local)
{
    if ((view->region == fleet->region) != local || view->down ||
        view->leaving || is_excluded(excluded, view->name)) {
        return false;
    }
    return work->service ? view->service == work->model : view->service == 0;
}

/* The least full candidate of a region that has the model (or is loading it),
 * or of those that have not; -1: none. */
static int
least_full(const struct ch_policy *policy, const struct ch_fleet *fleet,
           const struct ch_work *work, const GArray *excluded, bool local,
           bool replica)
{
    int best = -1;
    for (size_t i = 0; i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (!is_candidate(fleet, view, work, excluded, local)) {
            continue;
        }
        bool has = work->service || ch_upstream_view_has(view, work->model) ||
                   ch_upstream_view_loads(view, work->model);
        if (has == replica &&
            (best < 0 || fullness(policy, view) <
                             fullness(policy, &fleet->upstreams[best]))) {
            best = (int)i;
        }
    }
    return best;
}

/* Baseline: the least full replica by lagging reports, own region first, while
 * it has room in its batch.  A model that is nowhere is loaded on demand at
 * the least full upstream here; so is one whose replicas are all full, if that
 * upstream is less than half full. */
struct ch_route
ch_route_least_loaded(const struct ch_policy *policy, struct ch_fleet *fleet,
                      const struct ch_work *work, const GArray *excluded,
                      int64_t now)
{
    (void)now;
    int replica = -1;
    for (int local = 1; local >= 0; local--) {
        int at = least_full(policy, fleet, work, excluded, local == 1, true);
        if (at >= 0 && fullness(policy, &fleet->upstreams[at]) < 1.0) {
            return answer(at);
        }
        replica = replica < 0 ? at : replica;
    }
    for (int local = 1; local >= 0 && !work->service; local--) {
        int at = least_full(policy, fleet, work, excluded, local == 1, false);
        if (at >= 0 &&
            (replica < 0 || fullness(policy, &fleet->upstreams[at]) < 0.5)) {
            return answer(at);
        }
    }
    return answer(replica);
}

/* Baseline: the replicas in turn, own region first, whatever their load. */
struct ch_route
ch_route_static(const struct ch_policy *policy, struct ch_fleet *fleet,
                const struct ch_work *work, const GArray *excluded,
                int64_t now)
{
    (void)policy;
    (void)now;
    for (int local = 1; local >= 0; local--) {
        size_t count = 0;
        for (int pass = 0; pass < 2; pass++) {
            size_t turn = count > 0 ? work->id % count : 0;
            for (size_t i = 0; i < fleet->count; i++) {
                const struct ch_upstream_view *view = &fleet->upstreams[i];
                if (!is_candidate(fleet, view, work, excluded, local == 1) ||
                    (!work->service &&
                     !ch_upstream_view_has(view, work->model))) {
                    continue;
                }
                if (pass == 0) {
                    count++;
                }
                else if (turn-- == 0) {
                    return answer((int)i);
                }
            }
        }
    }
    return answer(-1);
}

/* Asks the policy, and counts the request in the view that it chose. */
struct ch_route
ch_route_choose(const struct ch_policy *policy, struct ch_fleet *fleet,
                const struct ch_work *work, const GArray *excluded,
                int64_t now)
{
    struct ch_route route =
        policy->routing->choose(policy, fleet, work, excluded, now);
    if (route.code == CH_OK) {
        fleet->upstreams[route.upstream].sent_since++;
    }
    return route;
}

/* Whether a route leads to an upstream that serves the work as it is. */
static bool
route_serves(const struct ch_fleet *fleet, const struct ch_route *route,
             const struct ch_work *work)
{
    return route->code == CH_OK &&
           ch_view_serves(&fleet->upstreams[route->upstream], work);
}

/*
 * Load: connections to an upstream that have gone silent, or answers that came
 * crossed or cut, while the upstream itself is well.  An upstream at which
 * this request failed is avoided as long as another serves it; where none
 * does, it is asked again, as another try goes out on a new connection.  Harm
 * prevented: a model with one replica refused, or moved, for each connection
 * that is lost.  Limit: the retry budget and the count of attempts, which hold
 * for an upstream that is truly gone.
 */
struct ch_route
ch_route_retry(const struct ch_policy *policy, struct ch_fleet *fleet,
               const struct ch_work *work, const GArray *excluded,
               guint failed, int64_t now)
{
    struct ch_route route =
        ch_route_choose(policy, fleet, work, excluded, now);
    if (failed == 0 || route_serves(fleet, &route, work)) {
        return route;
    }
    GArray *refused = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (guint i = failed; i < excluded->len; i++) {
        g_array_append_val(refused, g_array_index(excluded, GQuark, i));
    }
    struct ch_route again = ch_route_choose(policy, fleet, work, refused, now);
    g_array_free(refused, TRUE);
    if (!route_serves(fleet, &again, work)) {
        return route;
    }
    if (route.code == CH_OK) {
        fleet->upstreams[route.upstream].sent_since--;
    }
    return again;
}
