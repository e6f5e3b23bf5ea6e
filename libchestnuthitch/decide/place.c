/* Placement: decides which models are loaded into an upstream's memory and
 * which are evicted. */

#include "decide/home.h"

enum {
    /* Load time of a model at full speed: at 1.5 loads per second with 10
     * loads in parallel, a model of medium size takes a little under 7 s.
     * Used until the load time has been measured. */
    LOAD_US_PER_MB = 480,
    /* A model that was loaded this recently isn't evicted for one that is
     * served elsewhere.  Otherwise two models with alternating demand would
     * each be loading most of the time. */
    MIN_RESIDENCE_US = 10 * G_USEC_PER_SEC,
    /* A model that no upstream serves is loaded after this time, whatever must
     * be evicted for it. */
    UNSERVED_LOAD_DELAY_US = 90 * G_USEC_PER_SEC,
    /* An adapter that was requested this recently is loaded together with its
     * model. */
    ADAPTER_RECENT_US = 30 * G_USEC_PER_SEC,
    /* A wanted model is given up if no request has asked for it for this long.
     * The time is longer than the requests on the models evicted for it need
     * to end; otherwise those models would be unloaded for nothing. */
    WANTED_EXPIRY_US = 30 * G_USEC_PER_SEC,
};

/* Benefit that a load must exceed, in requests that meet their target: its
 * cost (a share of the weight store's capacity, and a busy engine).  The
 * benefit is summed over a horizon in which the demand of the last seconds is
 * a fair estimate of the future. */
static const double LOAD_COST_REQUESTS = 3.0;
static const double DEMAND_HORIZON_S = 30.0;
/* Requests per second below which a model counts as idle: evicting it causes
 * less than one miss in twenty seconds. */
static const double IDLE_REQUESTS_PER_S = 0.05;
/* Share of a model's demand that is lost with a replica if other replicas have
 * spare capacity. */
static const double SHARED_DEMAND_LOSS = 0.1;

/* Returns the microseconds that loading the item takes if the weight store has
 * capacity to spare. */
int64_t
ch_place_predict_load_time(const struct ch_item_record *item)
{
    return (int64_t)item->memory_mb * LOAD_US_PER_MB;
}

/* Returns the memory needed to load a model: its own, plus a twenty-fifth of
 * the engine's memory for adapters, which holds a handful of adapters of the
 * usual size.  Without this reserve, two models that just fit would leave no
 * memory for any of their adapters. */
static uint32_t
memory_needed(const struct ch_home *home, uint32_t memory_mb)
{
    uint32_t capacity = home->config.capacity_mb;
    return MAX(memory_mb, MIN(memory_mb + capacity / 25, capacity));
}

/* Returns the memory in use: resident, reserved, or not yet known to be free.
 */
static uint32_t
memory_in_use(const struct ch_home *home)
{
    uint32_t sum = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        sum += item->state != CH_ITEM_ABSENT ? item->memory_mb : 0;
    }
    return sum;
}

/* Returns the memory that unloading and eviction will free. */
static uint32_t
memory_being_freed(const struct ch_home *home)
{
    uint32_t sum = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        bool is_leaving = item->state == CH_ITEM_UNLOADING ||
                          (item->state == CH_ITEM_RESIDENT && item->evicting);
        sum += is_leaving ? item->memory_mb : 0;
    }
    return sum;
}

/* Whether another replica of the model has spare capacity: less than three
 * quarters of its concurrency limit are in use. */
static bool
has_spare_replica(const struct ch_home *home, const struct ch_fleet *fleet,
                  GQuark model)
{
    for (size_t i = 0; fleet != NULL && i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (view->name != home->config.name && !view->down &&
            !view->draining && ch_upstream_view_has_item(view, model) &&
            (view->running + view->queued) * 4 < view->max_batch * 3) {
            return true;
        }
    }
    return false;
}

/* Returns the memory reserved for wanted models that are to be loaded before
 * this one; memory freed for them isn't available to it.  Models seen here
 * earlier come first, so that two models that wait for each other's memory
 * can't both be stuck. load_last: all other wanted models come first. */
static uint32_t
memory_for_others(const struct ch_home *home, GQuark model, bool load_last)
{
    uint32_t sum = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        if (item->name == model) {
            if (!load_last) {
                return sum;
            }
            continue;
        }
        bool is_pending = item->wanted || item->queued > 0;
        if (item->model == 0 && item->state == CH_ITEM_ABSENT && is_pending) {
            sum += memory_needed(home, item->memory_mb);
        }
    }
    return sum;
}

/* Returns the cost of evicting the model, in requests per second that would
 * miss their target.  Among models without demand, the least recently used one
 * costs least. */
static double
eviction_cost(const struct ch_home *home, const struct ch_fleet *fleet,
              const struct ch_item_record *item, int64_t now)
{
    double cost = ch_demand_get_upper(&item->demand, now);
    double idle_s = (double)(now - item->last_request_at) / G_USEC_PER_SEC;
    if (home->policy->placement->protect_last_replica &&
        has_spare_replica(home, fleet, item->name)) {
        cost *= SHARED_DEMAND_LOSS;
    }
    return cost + 0.001 / (1.0 + MAX(idle_s, 0.0));
}

/* Whether the item may be evicted. spare_recent: evict only models that were
 * not loaded recently. */
static bool
may_evict(const struct ch_home *home, const struct ch_item_record *item,
          bool spare_recent, int64_t now)
{
    if (item->model != 0 || item->state != CH_ITEM_RESIDENT ||
        item->evicting || item->wanted || now < item->next_order_at) {
        return false;
    }
    if (!home->policy->placement->cost_aware || !spare_recent) {
        return true;
    }
    return now - item->state_changed_at >= MIN_RESIDENCE_US;
}

/* Returns the memory of a model and of its loaded adapters. */
static uint32_t
memory_with_adapters(const struct ch_home *home,
                     const struct ch_item_record *model)
{
    uint32_t sum = model->memory_mb;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        if (item->model == model->name && item->state != CH_ITEM_ABSENT) {
            sum += item->memory_mb;
        }
    }
    return sum;
}

/* Returns the model that costs least to evict and isn't in `chosen` yet; NULL:
 * none. */
static struct ch_item_record *
find_cheapest_victim(struct ch_home *home, const struct ch_fleet *fleet,
                     const GArray *chosen, bool spare_recent, int64_t now)
{
    struct ch_item_record *cheapest = NULL;
    double min_cost = 0;
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        bool already_chosen = false;
        for (guint j = 0; j < chosen->len; j++) {
            already_chosen = already_chosen ||
                             g_array_index(chosen, GQuark, j) == item->name;
        }
        if (already_chosen || !may_evict(home, item, spare_recent, now)) {
            continue;
        }
        double cost = home->policy->placement->cost_aware
                          ? eviction_cost(home, fleet, item, now)
                          : (double)item->last_request_at;
        if (cheapest == NULL || cost < min_cost) {
            cheapest = item;
            min_cost = cost;
        }
    }
    return cheapest;
}

/* Returns the names of the models to evict so that `model` has memory_mb, with
 * their total eviction cost in *cost; NULL if that much memory can't be freed.
 * load_last: other wanted models get their memory first.  The caller must
 * unref the array. */
static GArray *
choose_victims(struct ch_home *home, const struct ch_fleet *fleet,
               GQuark model, uint32_t memory_mb, bool spare_recent,
               bool load_last, int64_t now, double *cost)
{
    GArray *chosen = g_array_new(FALSE, FALSE, sizeof(GQuark));
    uint32_t available = home->config.capacity_mb + memory_being_freed(home);
    uint32_t used =
        memory_in_use(home) + memory_for_others(home, model, load_last);
    available = available > used ? available - used : 0;
    *cost = 0;
    while (available < memory_mb) {
        struct ch_item_record *cheapest =
            find_cheapest_victim(home, fleet, chosen, spare_recent, now);
        if (cheapest == NULL) {
            g_array_unref(chosen);
            return NULL;
        }
        if (home->policy->placement->cost_aware) {
            *cost += eviction_cost(home, fleet, cheapest, now);
        }
        available += memory_with_adapters(home, cheapest);
        g_array_append_val(chosen, cheapest->name);
    }
    return chosen;
}

/* Whether another upstream serves the request fast enough or is loading its
 * model. */
bool
ch_place_is_served(const struct ch_home *home,
                   const struct ch_request_info *request,
                   const struct ch_fleet *fleet)
{
    for (size_t i = 0; fleet != NULL && i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (view->name == home->config.name) {
            continue;
        }
        if (ch_upstream_view_serves(view, request) ||
            (!view->down && !view->draining &&
             ch_upstream_view_is_loading(view, request->model))) {
            return true;
        }
    }
    return false;
}

/* Returns the requests per second of this kind that one replica here could
 * serve. */
static double
max_served_rate(const struct ch_home *home,
                const struct ch_request_info *request)
{
    uint32_t limit = ch_home_get_limit(home);
    int64_t hold = MAX(
        ch_service_times_predict_slot(&home->service_times, request, limit),
        1);
    return (double)limit * G_USEC_PER_SEC / (double)hold;
}

/*
 * Whether a request may cause its absent model to be loaded.
 *
 * Demand may move between models, up to tenfold within minutes, and more
 * models are in demand than fit into memory.  If every request could trigger a
 * load, models would be loading all the time and none would be served.  A load
 * must therefore be worth its cost: the requests that the new model would
 * serve, minus those that the evicted models would have served, over the next
 * half minute.
 *
 * Every model stays reachable.  A model that no upstream serves is loaded at
 * once if only idle models must be evicted for it, and after
 * UNSERVED_LOAD_DELAY_US whatever must be evicted.  A last replica that was
 * evicted can therefore always be loaded again.
 */
bool
ch_place_may_load(struct ch_home *home, const struct ch_request_info *request,
                  const struct ch_fleet *fleet, int64_t now)
{
    uint32_t memory_mb = request->model_mb + request->adapter_mb;
    if (home->policy->placement->fixed || now < home->orders_blocked_until ||
        memory_mb > home->config.capacity_mb) {
        return false;
    }
    struct ch_item_record *model = ch_home_find_item(home, request->model);
    if (model->wanted || !home->policy->placement->cost_aware) {
        return true;
    }
    bool unserved = !ch_place_is_served(home, request, fleet);
    if (!unserved && home->loads_left == 0) {
        return false;
    }
    if (unserved && model->unavailable_since == 0) {
        model->unavailable_since = now;
    }
    bool unserved_too_long =
        unserved && now - model->unavailable_since > UNSERVED_LOAD_DELAY_US;
    double cost = 0;
    GArray *chosen = choose_victims(home, fleet, request->model,
                                    memory_needed(home, memory_mb),
                                    !unserved_too_long, true, now, &cost);
    if (chosen == NULL) {
        return false;
    }
    g_array_unref(chosen);
    if (unserved_too_long || (unserved && cost < IDLE_REQUESTS_PER_S)) {
        return true;
    }
    double gain = ch_demand_get_lower(&model->demand, now);
    gain = MIN(gain, max_served_rate(home, request));
    double load_s = (double)ch_place_predict_load_time(model) / G_USEC_PER_SEC;
    return (gain - cost) * DEMAND_HORIZON_S >
           cost * load_s + LOAD_COST_REQUESTS;
}

/* Appends a load or unload order and sets the item's state as if the order had
 * begun, so that it isn't issued again before the ledger answers. */
static void
append_order(struct ch_item_record *item, enum ch_action_kind kind,
             int64_t now, struct ch_actions *out)
{
    item->state = kind == CH_ACTION_LOAD ? CH_ITEM_LOADING : CH_ITEM_UNLOADING;
    item->evicting = false;
    item->state_changed_at = now;
    if (kind == CH_ACTION_LOAD) {
        item->wanted = false;
        item->unavailable_since = 0;
    }
    struct ch_action action = {
        .kind = kind, .item = item->name, .memory_mb = item->memory_mb};
    g_array_append_val(out->list, action);
}

/* Unloads models marked for eviction, with their adapters, once no granted
 * request uses them. */
static void
unload_evicted(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_item_record *model =
            &g_array_index(home->items, struct ch_item_record, i);
        if (!model->evicting || model->state != CH_ITEM_RESIDENT ||
            model->running > 0 || now < model->next_order_at) {
            continue;
        }
        for (guint j = 0; j < home->items->len; j++) {
            struct ch_item_record *item =
                &g_array_index(home->items, struct ch_item_record, j);
            if (item->model == model->name &&
                item->state == CH_ITEM_RESIDENT) {
                append_order(item, CH_ACTION_UNLOAD, now, out);
            }
        }
        append_order(model, CH_ACTION_UNLOAD, now, out);
    }
}

/* Refuses queued requests for models marked for eviction, so that the entry
 * node tries another replica at once. */
static void
refuse_for_evicted(struct ch_home *home, struct ch_actions *out)
{
    for (guint index = home->queue.entries->len; index-- > 0;) {
        const struct ch_item_record *model = ch_home_find_item(
            home, ch_queue_get(&home->queue, index)->request.model);
        if (model != NULL && model->evicting) {
            ch_home_refuse_entry(home, index, CH_NO_UPSTREAM, 0,
                                 "the model is leaving this upstream", out);
        }
    }
}

/* Marks models for eviction until the item has memory.  Requests that run on
 * them end first; none is interrupted. */
static void
evict_models_for(struct ch_home *home, const struct ch_fleet *fleet,
                 const struct ch_item_record *item, int64_t now,
                 struct ch_actions *out)
{
    double cost;
    uint32_t needed = memory_needed(home, item->memory_mb);
    GArray *chosen = choose_victims(home, fleet, item->name, needed, true,
                                    false, now, &cost);
    if (chosen == NULL) {
        chosen = choose_victims(home, fleet, item->name, needed, false, false,
                                now, &cost);
    }
    if (chosen == NULL) {
        return;
    }
    for (guint i = 0; i < chosen->len; i++) {
        ch_home_find_item(home, g_array_index(chosen, GQuark, i))->evicting =
            true;
    }
    g_array_unref(chosen);
    refuse_for_evicted(home, out);
}

/* Starts to free memory for an adapter: unloads the least recently used
 * adapter that no request uses or waits for, unless an adapter is being
 * unloaded already. */
static void
evict_adapter(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    struct ch_item_record *oldest = NULL;
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        if (item->state == CH_ITEM_UNLOADING && item->model != 0) {
            return;
        }
        if (item->model == 0 || item->state != CH_ITEM_RESIDENT ||
            item->running > 0 || item->queued > 0) {
            continue;
        }
        if (oldest == NULL ||
            item->last_request_at < oldest->last_request_at) {
            oldest = item;
        }
    }
    if (oldest != NULL) {
        append_order(oldest, CH_ACTION_UNLOAD, now, out);
    }
}

/* Orders the item to be loaded if there is memory, or starts to free memory
 * for it. */
static void
load_or_evict(struct ch_home *home, const struct ch_fleet *fleet,
              struct ch_item_record *item, int64_t now, struct ch_actions *out)
{
    if (now < item->next_order_at) {
        return;
    }
    uint32_t needed = item->model == 0 ? memory_needed(home, item->memory_mb)
                                       : item->memory_mb;
    if (memory_in_use(home) + needed <= home->config.capacity_mb) {
        /* After a shift in demand, many models are wanted at once.  Beyond its
         * rate, the weight store slows down all loads, and every model would
         * arrive later than the first one would have.  Adapters load in
         * milliseconds and have a limit of their own. */
        if (item->model == 0) {
            if (home->loads_left == 0) {
                return;
            }
            home->loads_left--;
        }
        append_order(item, CH_ACTION_LOAD, now, out);
        return;
    }
    if (item->model != 0) {
        if (item->queued > 0) {
            evict_adapter(home, now, out);
        }
    }
    else if (fleet != NULL) {
        evict_models_for(home, fleet, item, now, out);
    }
}

/* Whether to load the item: a request waits for it, or it is still wanted.  An
 * adapter is loaded after its model; if it was requested recently, it is
 * loaded together with the model, if there is memory, before any request waits
 * for it. */
static bool
is_load_due(struct ch_home *home, struct ch_item_record *item, int64_t now)
{
    if (item->state != CH_ITEM_ABSENT) {
        return false;
    }
    if (item->model != 0) {
        return (item->queued > 0 ||
                now - item->last_request_at < ADAPTER_RECENT_US) &&
               ch_home_has_item(home, item->model);
    }
    if (item->wanted && now - item->last_request_at > WANTED_EXPIRY_US &&
        item->queued == 0) {
        item->wanted = false;
    }
    return item->wanted || item->queued > 0;
}

/* Cancels all evictions that have not begun; for when no model needs the
 * memory any more. */
static void
cancel_evictions(struct ch_home *home)
{
    for (guint i = 0; i < home->items->len; i++) {
        g_array_index(home->items, struct ch_item_record, i).evicting = false;
    }
}

/* Resets unavailable_since for items that are resident on some upstream. */
static void
reset_unavailable(struct ch_home *home, const struct ch_fleet *fleet)
{
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        for (size_t j = 0; item->unavailable_since != 0 && j < fleet->count;
             j++) {
            const struct ch_upstream_view *view = &fleet->upstreams[j];
            if (!view->down && !view->draining &&
                ch_upstream_view_has_item(view, item->name)) {
                item->unavailable_since = 0;
            }
        }
    }
}

/* Continues loads and evictions.  Without a fleet view no further models are
 * chosen for eviction; the next tick does that. */
void
ch_place_apply_pending(struct ch_home *home, const struct ch_fleet *fleet,
                       int64_t now, struct ch_actions *out)
{
    if (fleet != NULL) {
        reset_unavailable(home, fleet);
    }
    if (now < home->orders_blocked_until) {
        return;
    }
    bool model_load_due = false;
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        if (is_load_due(home, item, now)) {
            model_load_due = model_load_due || item->model == 0;
            load_or_evict(home, fleet, item, now, out);
        }
    }
    if (!model_load_due) {
        cancel_evictions(home);
    }
    unload_evicted(home, now, out);
}
