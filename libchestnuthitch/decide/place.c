/* Placement at a home: which models come into memory, and which go. */

#include "decide/home.h"

enum {
    /* A model's load at full speed: 1.5 loads a second at 10 at once is a
     * little under 7 s for the middle size.  Until it has been measured. */
    LOAD_PER_MB = 480, /* microseconds */
    /* A model that has just come, or was asked for this lately, does not go
     * for one that is served elsewhere: two models that take turns would
     * each be loading most of the time. */
    SETTLE = 10 * G_USEC_PER_SEC,
    /* A model that nobody serves comes in after this, whatever has to go. */
    REACH = 90 * G_USEC_PER_SEC,
    /* An adapter's request of this age lets it come with its model. */
    ADAPTER_RECENT = 30 * G_USEC_PER_SEC,
    /* A wish that nothing has renewed lapses; longer than what it made leave
     * needs to end its requests, or that would be unloaded for nothing. */
    WISH_LAPSES = 30 * G_USEC_PER_SEC,
};

/* What a move has to earn, in requests that meet their target: its price (the
 * weight store's share, an engine kept busy), within the time for which the
 * demand of the last seconds is a fair guess of the next. */
static const double PRICE = 3.0;
static const double HORIZON_S = 30.0;
/* Requests a second below which a model is taken to be idle: losing it costs
 * less than one miss in twenty seconds. */
static const double IDLE = 0.05;
/* Share of its demand that is lost with a replica whose fellows have room. */
static const double FELLOWS = 0.1;

/* Microseconds that loading the item takes when the weight store is free. */
int64_t
ch_place_load_time(const struct ch_held *item)
{
    return (int64_t)item->memory_mb * LOAD_PER_MB;
}

/* Memory that a model needs to come in: its own, and some of the engine left
 * for adapters (a twenty-fifth holds a handful of the usual size).  Without it
 * two models that just fit shut out every adapter of both. */
static uint32_t
need_of(const struct ch_home *home, uint32_t memory_mb)
{
    uint32_t capacity = home->facts.capacity_mb;
    return MAX(memory_mb, MIN(memory_mb + capacity / 25, capacity));
}

/* Memory in use: resident, reserved, or not yet known to be gone. */
static uint32_t
committed(const struct ch_home *home)
{
    uint32_t sum = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_held *item =
            &g_array_index(home->items, struct ch_held, i);
        sum += item->state != CH_ITEM_ABSENT ? item->memory_mb : 0;
    }
    return sum;
}

/* Memory that is on its way out. */
static uint32_t
outgoing(const struct ch_home *home)
{
    uint32_t sum = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_held *item =
            &g_array_index(home->items, struct ch_held, i);
        bool goes = item->state == CH_ITEM_UNLOADING ||
                    (item->state == CH_ITEM_RESIDENT && item->leaving);
        sum += goes ? item->memory_mb : 0;
    }
    return sum;
}

/* Whether another replica has room to take over what this one serves. */
static bool
has_fellow(const struct ch_home *home, const struct ch_fleet *fleet,
           GQuark model)
{
    for (size_t i = 0; fleet != NULL && i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (view->name != home->facts.name && !view->down && !view->leaving &&
            ch_upstream_view_has(view, model) &&
            (view->running + view->queued) * 4 < view->batch * 3) {
            return true;
        }
    }
    return false;
}

/* Memory promised to models that are to come in before the named one: what
 * leaves for them is not free for it.  Those that were seen here first go
 * first, so that two that wait for each other's room cannot both stand. */
static uint32_t
pledged(const struct ch_home *home, GQuark model, bool newcomer)
{
    uint32_t sum = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_held *item =
            &g_array_index(home->items, struct ch_held, i);
        if (item->name == model) {
            if (!newcomer) {
                return sum;
            }
            continue;
        }
        bool due = item->wanted || item->queued > 0;
        if (item->model == 0 && item->state == CH_ITEM_ABSENT && due) {
            sum += need_of(home, item->memory_mb);
        }
    }
    return sum;
}

/* What it would cost to lose the model: requests a second that would miss.
 * Among models without demand the one longest unused goes first. */
static double
worth(const struct ch_home *home, const struct ch_fleet *fleet,
      const struct ch_held *item, int64_t now)
{
    double worth = ch_demand_most(&item->demand, now);
    double idle = (double)(now - item->used) / G_USEC_PER_SEC;
    if (home->policy->placing->keep_last &&
        has_fellow(home, fleet, item->name)) {
        worth *= FELLOWS;
    }
    return worth + 0.001 / (1.0 + MAX(idle, 0.0));
}

/* Whether the item may be chosen to go.  gentle: not for a model that is
 * served elsewhere anyway. */
static bool
may_go(const struct ch_home *home, const struct ch_held *item, bool gentle,
       int64_t now)
{
    if (item->model != 0 || item->state != CH_ITEM_RESIDENT || item->leaving ||
        item->wanted || now < item->not_before) {
        return false;
    }
    if (!home->policy->placing->reluctant || !gentle) {
        return true;
    }
    return now - item->changed >= SETTLE;
}

/* Memory of a model with the adapters that go with it. */
static uint32_t
memory_with_adapters(const struct ch_home *home, const struct ch_held *model)
{
    uint32_t sum = model->memory_mb;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_held *item =
            &g_array_index(home->items, struct ch_held, i);
        if (item->model == model->name && item->state != CH_ITEM_ABSENT) {
            sum += item->memory_mb;
        }
    }
    return sum;
}

/* The model that is worth least, of those that may go and are not yet marked
 * in `chosen`; NULL when there is none. */
static struct ch_held *
least_worth(struct ch_home *home, const struct ch_fleet *fleet,
            const GArray *chosen, bool gentle, int64_t now)
{
    struct ch_held *least = NULL;
    double least_value = 0;
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_held *item = &g_array_index(home->items, struct ch_held, i);
        bool taken = false;
        for (guint j = 0; j < chosen->len; j++) {
            taken = taken || g_array_index(chosen, GQuark, j) == item->name;
        }
        if (taken || !may_go(home, item, gentle, now)) {
            continue;
        }
        double value = home->policy->placing->reluctant
                           ? worth(home, fleet, item, now)
                           : (double)item->used;
        if (least == NULL || value < least_value) {
            least = item;
            least_value = value;
        }
    }
    return least;
}

/* Names of the models that have to go so that `model` has memory_mb, their
 * joint worth in *value; newcomer: others that are due go first; NULL when
 * that is not to be had.  The array is the caller's to unref. */
static GArray *
victims(struct ch_home *home, const struct ch_fleet *fleet, GQuark model,
        uint32_t memory_mb, bool gentle, bool newcomer, int64_t now,
        double *value)
{
    GArray *chosen = g_array_new(FALSE, FALSE, sizeof(GQuark));
    uint32_t room = home->facts.capacity_mb + outgoing(home);
    uint32_t used = committed(home) + pledged(home, model, newcomer);
    room = room > used ? room - used : 0;
    *value = 0;
    while (room < memory_mb) {
        struct ch_held *least = least_worth(home, fleet, chosen, gentle, now);
        if (least == NULL) {
            g_array_unref(chosen);
            return NULL;
        }
        if (home->policy->placing->reluctant) {
            *value += worth(home, fleet, least, now);
        }
        room += memory_with_adapters(home, least);
        g_array_append_val(chosen, least->name);
    }
    return chosen;
}

/* Whether another upstream serves the work, fast enough, or is loading its
 * model. */
bool
ch_place_is_served(const struct ch_home *home, const struct ch_work *work,
                   const struct ch_fleet *fleet)
{
    for (size_t i = 0; fleet != NULL && i < fleet->count; i++) {
        const struct ch_upstream_view *view = &fleet->upstreams[i];
        if (view->name == home->facts.name) {
            continue;
        }
        if (ch_view_serves(view, work) ||
            (!view->down && !view->leaving &&
             ch_upstream_view_loads(view, work->model))) {
            return true;
        }
    }
    return false;
}

/* Requests a second that one replica here could serve of this work's kind. */
static double
most_served(const struct ch_home *home, const struct ch_work *work)
{
    uint32_t limit = ch_home_limit(home);
    int64_t hold = MAX(ch_rates_hold(&home->rates, work, limit), 1);
    return (double)limit * G_USEC_PER_SEC / (double)hold;
}

/*
 * Whether work whose model is not here may bring it in.
 *
 * Load: demand that moves from model to model, up to tenfold within minutes,
 * over more models than fit.  Harm prevented: loads that chase each request,
 * so that every model is on its way somewhere and none is served.  A move
 * must earn its price: the requests that the newcomer would serve, less those
 * that the models which go would have served, over the next half minute.
 *
 * Every model stays reachable: one that nobody serves comes in at once where
 * only idle models have to go for it, and after REACH whatever it displaces.
 * The room that brings a last replica back is thereby always there.
 */
bool
ch_place_may_load(struct ch_home *home, const struct ch_work *work,
                  const struct ch_fleet *fleet, int64_t now)
{
    uint32_t memory_mb = work->model_mb + work->adapter_mb;
    if (home->policy->placing->fixed || now < home->blocked_until ||
        memory_mb > home->facts.capacity_mb) {
        return false;
    }
    struct ch_held *model = ch_home_item(home, work->model);
    if (model->wanted || !home->policy->placing->reluctant) {
        return true;
    }
    bool absent = !ch_place_is_served(home, work, fleet);
    if (!absent && home->loads_left == 0) {
        return false;
    }
    if (absent && model->unserved == 0) {
        model->unserved = now;
    }
    bool overdue = absent && now - model->unserved > REACH;
    double value = 0;
    GArray *chosen =
        victims(home, fleet, work->model, need_of(home, memory_mb), !overdue,
                true, now, &value);
    if (chosen == NULL) {
        return false;
    }
    g_array_unref(chosen);
    if (overdue || (absent && value < IDLE)) {
        return true;
    }
    double gain = ch_demand_least(&model->demand, now);
    gain = MIN(gain, most_served(home, work));
    double load_s = (double)ch_place_load_time(model) / G_USEC_PER_SEC;
    return (gain - value) * HORIZON_S > value * load_s + PRICE;
}

/* Appends an order for an item and notes it as begun, so that it is not
 * ordered twice before the ledger answers. */
static void
order(struct ch_held *item, enum ch_action_kind kind, int64_t now,
      struct ch_actions *out)
{
    item->state = kind == CH_ACTION_LOAD ? CH_ITEM_LOADING : CH_ITEM_UNLOADING;
    item->leaving = false;
    item->changed = now;
    if (kind == CH_ACTION_LOAD) {
        item->wanted = false;
        item->unserved = 0;
    }
    struct ch_action action = {
        .kind = kind, .item = item->name, .memory_mb = item->memory_mb};
    g_array_append_val(out->list, action);
}

/* Unloads a model that is on its way out, with its adapters, once nothing
 * that was granted uses it. */
static void
unload_leaving(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_held *model = &g_array_index(home->items, struct ch_held, i);
        if (!model->leaving || model->state != CH_ITEM_RESIDENT ||
            model->running > 0 || now < model->not_before) {
            continue;
        }
        for (guint j = 0; j < home->items->len; j++) {
            struct ch_held *item =
                &g_array_index(home->items, struct ch_held, j);
            if (item->model == model->name &&
                item->state == CH_ITEM_RESIDENT) {
                order(item, CH_ACTION_UNLOAD, now, out);
            }
        }
        order(model, CH_ACTION_UNLOAD, now, out);
    }
}

/* Refuses what waits for a model that is on its way out, so that its entry
 * node asks another replica at once. */
static void
refuse_leaving(struct ch_home *home, struct ch_actions *out)
{
    for (guint at = home->queue.entries->len; at-- > 0;) {
        const struct ch_held *model =
            ch_home_item(home, ch_queue_at(&home->queue, at)->work.model);
        if (model != NULL && model->leaving) {
            ch_home_refuse(home, at, CH_NO_UPSTREAM, 0,
                           "the model is leaving this upstream", out);
        }
    }
}

/* Marks models to go until the item has room.  What runs on them ends first:
 * no request is cut. */
static void
make_room(struct ch_home *home, const struct ch_fleet *fleet,
          const struct ch_held *item, int64_t now, struct ch_actions *out)
{
    double value;
    uint32_t need = need_of(home, item->memory_mb);
    GArray *chosen =
        victims(home, fleet, item->name, need, true, false, now, &value);
    if (chosen == NULL) {
        chosen =
            victims(home, fleet, item->name, need, false, false, now, &value);
    }
    if (chosen == NULL) {
        return;
    }
    for (guint i = 0; i < chosen->len; i++) {
        ch_home_item(home, g_array_index(chosen, GQuark, i))->leaving = true;
    }
    g_array_unref(chosen);
    refuse_leaving(home, out);
}

/* Makes room for an adapter by unloading the adapter longest unused, of those
 * that nothing runs on; true when room is there or comes. */
static void
make_adapter_room(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    struct ch_held *oldest = NULL;
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_held *item = &g_array_index(home->items, struct ch_held, i);
        if (item->state == CH_ITEM_UNLOADING && item->model != 0) {
            return;
        }
        if (item->model == 0 || item->state != CH_ITEM_RESIDENT ||
            item->running > 0 || item->queued > 0) {
            continue;
        }
        if (oldest == NULL || item->used < oldest->used) {
            oldest = item;
        }
    }
    if (oldest != NULL) {
        order(oldest, CH_ACTION_UNLOAD, now, out);
    }
}

/* Orders the item's load when there is room, or else begins to make room. */
static void
bring_in(struct ch_home *home, const struct ch_fleet *fleet,
         struct ch_held *item, int64_t now, struct ch_actions *out)
{
    if (now < item->not_before) {
        return;
    }
    uint32_t need =
        item->model == 0 ? need_of(home, item->memory_mb) : item->memory_mb;
    if (committed(home) + need <= home->facts.capacity_mb) {
        /* Load: many models wanted at once after a shift of demand.  Harm
         * prevented: past its rate the weight store serves all loads slower,
         * and each model comes later than the first would have.  Adapters
         * load in milliseconds and have a limit of their own. */
        if (item->model == 0) {
            if (home->loads_left == 0) {
                return;
            }
            home->loads_left--;
        }
        order(item, CH_ACTION_LOAD, now, out);
        return;
    }
    if (item->model != 0) {
        if (item->queued > 0) {
            make_adapter_room(home, now, out);
        }
    }
    else if (fleet != NULL) {
        make_room(home, fleet, item, now, out);
    }
}

/* Whether the item is to be loaded: somebody waits for it, or a wish for it
 * still stands.  An adapter waits for its model; one that was asked for here
 * of late comes with it, if there is room, before anybody waits. */
static bool
is_due(struct ch_home *home, struct ch_held *item, int64_t now)
{
    if (item->state != CH_ITEM_ABSENT) {
        return false;
    }
    if (item->model != 0) {
        return (item->queued > 0 || now - item->used < ADAPTER_RECENT) &&
               ch_home_has(home, item->model);
    }
    if (item->wanted && now - item->used > WISH_LAPSES && item->queued == 0) {
        item->wanted = false;
    }
    return item->wanted || item->queued > 0;
}

/* Keeps what was to go when nothing needs its room any more. */
static void
keep_leaving(struct ch_home *home)
{
    for (guint i = 0; i < home->items->len; i++) {
        g_array_index(home->items, struct ch_held, i).leaving = false;
    }
}

/* Forgets for how long a model was out of reach once it is somewhere. */
static void
note_served(struct ch_home *home, const struct ch_fleet *fleet)
{
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_held *item = &g_array_index(home->items, struct ch_held, i);
        for (size_t j = 0; item->unserved != 0 && j < fleet->count; j++) {
            const struct ch_upstream_view *view = &fleet->upstreams[j];
            if (!view->down && !view->leaving &&
                ch_upstream_view_has(view, item->name)) {
                item->unserved = 0;
            }
        }
    }
}

/* Goes on with all moves: what is due is ordered, what leaves is unloaded.
 * Without a fleet nothing new is chosen to go; the next tick does. */
void
ch_place_pump(struct ch_home *home, const struct ch_fleet *fleet, int64_t now,
              struct ch_actions *out)
{
    if (fleet != NULL) {
        note_served(home, fleet);
    }
    if (now < home->blocked_until) {
        return;
    }
    bool model_due = false;
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_held *item = &g_array_index(home->items, struct ch_held, i);
        if (is_due(home, item, now)) {
            model_due = model_due || item->model == 0;
            bring_in(home, fleet, item, now, out);
        }
    }
    if (!model_due) {
        keep_leaving(home);
    }
    unload_leaving(home, now, out);
}
