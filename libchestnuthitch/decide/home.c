/* The home of an upstream: one queue and the exact count of what runs there.
 * This file keeps the books; admit.c refuses, place.c moves models. */

#include "decide/home.h"

#include <string.h>

enum {
    /* Most at once where neither the list nor a measurement says: more than
     * any engine of the brief runs, and a service's usual worker count. */
    MOST_ENGINE = 256,
    MOST_SERVICE = 32,
    /* A request with less time left than this is marked most urgent. */
    URGENT = G_USEC_PER_SEC,
};

/* A home with an empty queue and nothing known to be resident. */
struct ch_home *
ch_home_new(const struct ch_policy *policy, const struct ch_home_facts *facts,
            int64_t now)
{
    (void)now;
    struct ch_home *home = g_new0(struct ch_home, 1);
    home->policy = policy;
    home->facts = *facts;
    home->leaving = facts->leaving;
    ch_queue_init(&home->queue);
    home->granted = g_array_new(FALSE, FALSE, sizeof(struct ch_granted));
    home->items = g_array_new(FALSE, FALSE, sizeof(struct ch_held));
    ch_rates_init(&home->rates, facts->service == 0);
    return home;
}

/* Frees the home; what is queued is the caller's to answer. */
void
ch_home_free(struct ch_home *home)
{
    if (home == NULL) {
        return;
    }
    ch_queue_clear(&home->queue);
    g_array_unref(home->granted);
    g_array_unref(home->items);
    g_free(home);
}

/* Takes over what the host list says now.  What runs goes on; a lower batch
 * is reached as requests end. */
void
ch_home_set_facts(struct ch_home *home, const struct ch_home_facts *facts)
{
    if (facts->leaving != home->facts.leaving) {
        home->leaving = facts->leaving;
    }
    home->facts = *facts;
}

/* The item's record, valid until another is added; NULL when never seen. */
struct ch_held *
ch_home_item(struct ch_home *home, GQuark name)
{
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_held *item = &g_array_index(home->items, struct ch_held, i);
        if (item->name == name) {
            return item;
        }
    }
    return NULL;
}

/* The item's record, made as absent when it was never seen. */
struct ch_held *
ch_home_item_need(struct ch_home *home, GQuark name, GQuark model,
                  uint32_t memory_mb)
{
    struct ch_held *item = ch_home_item(home, name);
    if (item != NULL) {
        if (item->state == CH_ITEM_ABSENT && memory_mb > 0) {
            item->memory_mb = memory_mb;
        }
        return item;
    }
    struct ch_held fresh = {
        .name = name, .model = model, .memory_mb = memory_mb};
    g_array_append_val(home->items, fresh);
    return ch_home_item(home, name);
}

/* Whether new work on the item may be granted here: it is resident and not
 * about to go. */
bool
ch_home_has(const struct ch_home *home, GQuark item)
{
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_held *held =
            &g_array_index(home->items, struct ch_held, i);
        if (held->name == item) {
            return held->state == CH_ITEM_RESIDENT && !held->leaving;
        }
    }
    return false;
}

/* The strictest target between tokens among what runs and `between`. */
static int64_t
strictest(const struct ch_home *home, int64_t between)
{
    for (guint i = 0; i < home->granted->len; i++) {
        int64_t other =
            g_array_index(home->granted, struct ch_granted, i).between;
        if (other > 0 && (between == 0 || other < between)) {
            between = other;
        }
    }
    return between;
}

/* Most that may run at once if one with this target joins. */
static uint32_t
limit_with(const struct ch_home *home, int64_t between)
{
    bool service = home->facts.service != 0;
    uint32_t most = home->facts.batch;
    if (most == 0) {
        most = service ? MOST_SERVICE : MOST_ENGINE;
    }
    if (service || !home->policy->admitting->find_batch) {
        return most;
    }
    return ch_rates_batch(&home->rates, strictest(home, between), most);
}

/* Most that may run at once beside what runs and waits now. */
uint32_t
ch_home_limit(const struct ch_home *home)
{
    int64_t between = 0;
    for (guint i = 0; i < home->queue.entries->len; i++) {
        int64_t other = ch_queue_at(&home->queue, i)->work.between;
        if (other > 0 && (between == 0 || other < between)) {
            between = other;
        }
    }
    return limit_with(home, between);
}

/* Appends an action of one kind for an item or a request. */
static void
append(struct ch_actions *out, const struct ch_action *action)
{
    g_array_append_val(out->list, *action);
}

/* Counts a request in or out of what waits for the items that it needs. */
static void
count_queued(struct ch_home *home, const struct ch_work *work, int change)
{
    GQuark names[] = {work->model, work->adapter};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ch_held *item =
            names[i] == 0 ? NULL : ch_home_item(home, names[i]);
        if (item != NULL) {
            item->queued = (uint32_t)((int)item->queued + change);
        }
    }
}

/* Takes the entry at a place out of the queue. */
static struct ch_entry
take_out(struct ch_home *home, guint at)
{
    struct ch_entry entry = *ch_queue_at(&home->queue, at);
    ch_queue_remove(&home->queue, at);
    count_queued(home, &entry.work, -1);
    return entry;
}

/* Takes the entry at a place out of the queue and refuses it, at once and for
 * good.  retry_after: microseconds until it is worth asking again. */
void
ch_home_refuse(struct ch_home *home, guint at, enum ch_code code,
               int64_t retry_after, const char *reason, struct ch_actions *out)
{
    struct ch_action action = {
        .kind = CH_ACTION_REFUSE,
        .work = take_out(home, at).work.id,
        .code = code,
        .retry_after = retry_after,
    };
    g_strlcpy(action.message, reason, sizeof(action.message));
    append(out, &action);
}

/* Counts a request in or out of what runs on the items that it uses. */
static void
count_running(struct ch_home *home, GQuark model, GQuark adapter, int change)
{
    GQuark names[] = {model, adapter};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ch_held *item =
            names[i] == 0 ? NULL : ch_home_item(home, names[i]);
        if (item != NULL) {
            item->running = (uint32_t)((int)item->running + change);
        }
    }
}

/* Lets the entry at a place run. */
static void
grant(struct ch_home *home, guint at, int64_t now, struct ch_actions *out)
{
    struct ch_work work = take_out(home, at).work;
    uint32_t running = home->granted->len + 1;
    struct ch_granted granted = {
        .work = work.id,
        .model = work.model,
        .adapter = work.adapter,
        .tenant = work.tenant,
        .between = work.between,
        .at = now,
        .expected = ch_rates_hold(&home->rates, &work, running),
        .running_then = running,
    };
    g_array_append_val(home->granted, granted);
    count_running(home, work.model, work.adapter, 1);
    struct ch_action action = {
        .kind = CH_ACTION_GRANT,
        .work = work.id,
        .code = CH_OK,
        .priority = work.first_by - now < URGENT ? 0 : 1,
    };
    append(out, &action);
}

/* Whether all that the request needs is in memory. */
static bool
can_run(const struct ch_home *home, const struct ch_work *work)
{
    if (work->service) {
        return true;
    }
    if (!ch_home_has(home, work->model)) {
        return false;
    }
    return work->adapter == 0 || ch_home_has(home, work->adapter);
}

/*
 * Load: more waiting than may run.  The entry of lowest rank whose model is
 * here goes first; one that waits for its model stands in nobody's way.
 */
static void
grant_all(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    guint at = 0;
    uint32_t most =
        home->policy->admitting->unlimited ? G_MAXUINT32 : limit_with(home, 0);
    while (at < home->queue.entries->len && home->granted->len < most) {
        struct ch_entry *entry = ch_queue_at(&home->queue, at);
        if (!can_run(home, &entry->work)) {
            at++;
            continue;
        }
        if (!home->policy->admitting->unlimited &&
            home->granted->len >= limit_with(home, entry->work.between)) {
            return;
        }
        grant(home, at, now, out);
    }
}

/*
 * Load: a queue that has become longer than was predicted (an upstream slowed
 * down, a shorter deadline came in between).  Harm prevented: a slot spent on
 * an answer that is late already, while the next in line becomes late too.
 * The refusal goes out at once, so that the caller can still ask elsewhere.
 */
static void
shed_late(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    int64_t least =
        home->policy->admitting->predict ? (int64_t)home->rates.first : 0;
    for (guint at = home->queue.entries->len; at-- > 0;) {
        const struct ch_entry *entry = ch_queue_at(&home->queue, at);
        if (entry->late_ok || entry->work.first_by == 0 ||
            now + least <= entry->work.first_by) {
            continue;
        }
        int64_t wait = ch_home_wait(home, entry->rank, now);
        ch_home_refuse(home, at, CH_LATE, wait,
                       "its turn did not come in time", out);
    }
}

/* Refuses all that waits: the upstream takes no new work. */
static void
refuse_all(struct ch_home *home, const char *reason, struct ch_actions *out)
{
    while (home->queue.entries->len > 0) {
        ch_home_refuse(home, home->queue.entries->len - 1, CH_NO_UPSTREAM,
                       G_USEC_PER_SEC, reason, out);
    }
}

/* Does whatever has become possible; called after every change. */
static void
pump(struct ch_home *home, const struct ch_fleet *fleet, int64_t now,
     struct ch_actions *out)
{
    if (home->leaving || home->down) {
        refuse_all(home,
                   home->leaving ? "the upstream is leaving"
                                 : "the upstream does not answer",
                   out);
    }
    if (fleet != NULL) {
        home->loads_left = fleet->loads_left;
    }
    grant_all(home, now, out);
    shed_late(home, now, out);
    if (home->facts.service == 0 && !home->policy->placing->fixed &&
        !home->down) {
        ch_place_pump(home, fleet, now, out);
    }
}

/* Notes that the request was asked for here, whether or not it is let in. */
static void
note_demand(struct ch_home *home, const struct ch_work *work, int64_t now)
{
    if (work->service) {
        return;
    }
    struct ch_held *model =
        ch_home_item_need(home, work->model, 0, work->model_mb);
    ch_demand_add(&model->demand, now);
    model->used = now;
    if (work->adapter != 0) {
        struct ch_held *adapter = ch_home_item_need(
            home, work->adapter, work->model, work->adapter_mb);
        ch_demand_add(&adapter->demand, now);
        adapter->used = now;
    }
}

/* A request asks for leave.  It is refused at once, or queued and later
 * granted or refused; exactly one of the two comes out for it. */
void
ch_home_offer(struct ch_home *home, const struct ch_work *work,
              const struct ch_fleet *fleet, int64_t now,
              struct ch_actions *out)
{
    if (fleet != NULL) {
        home->loads_left = fleet->loads_left;
    }
    note_demand(home, work, now);
    struct ch_admission admission = ch_admit(home, work, fleet, now, out);
    if (admission.code != CH_OK) {
        struct ch_action action = {
            .kind = CH_ACTION_REFUSE,
            .work = work->id,
            .code = admission.code,
            .retry_after = admission.retry_after,
        };
        g_strlcpy(action.message, admission.reason, sizeof(action.message));
        append(out, &action);
    }
    else {
        struct ch_entry entry = {
            .work = *work,
            .rank = home->policy->ordering->rank(home, work, now),
            .late_ok = admission.late_ok,
        };
        if (entry.late_ok) {
            entry.rank = MAX(entry.rank, work->arrived + CH_LATE_RANK);
        }
        ch_queue_add(&home->queue, &entry);
        count_queued(home, work, 1);
    }
    pump(home, fleet, now, out);
}

/* The caller went away: takes the request out of the queue.  One that was
 * granted stays until it is released. */
void
ch_home_withdraw(struct ch_home *home, uint64_t work, int64_t now,
                 struct ch_actions *out)
{
    int at = ch_queue_find(&home->queue, work);
    if (at >= 0) {
        (void)take_out(home, (guint)at);
    }
    pump(home, NULL, now, out);
}

/* A granted request is over.  Unknown ids are ignored, so that a release that
 * comes twice (a lost node's and its own, late) frees one slot alone. */
void
ch_home_release(struct ch_home *home, uint64_t work,
                const struct ch_sample *sample, int64_t now,
                struct ch_actions *out)
{
    for (guint i = 0; i < home->granted->len; i++) {
        struct ch_granted granted =
            g_array_index(home->granted, struct ch_granted, i);
        if (granted.work != work) {
            continue;
        }
        double running = (granted.running_then + home->granted->len) / 2.0;
        ch_rates_add(&home->rates, sample, running, now - granted.at, now);
        count_running(home, granted.model, granted.adapter, -1);
        g_array_remove_index_fast(home->granted, i);
        break;
    }
    /* Load: none needed.  A refused connection says sooner than any report
     * that nothing runs there; the next report that answers clears it. */
    if (sample->code == CH_UPSTREAM_CONNECT) {
        home->down = true;
    }
    pump(home, NULL, now, out);
}

/* What the ledger says of an item; it overrides what was assumed here. */
void
ch_home_set_item(struct ch_home *home, GQuark item, enum ch_item_state state,
                 uint32_t memory_mb, int64_t now, struct ch_actions *out)
{
    const char *text = g_quark_to_string(item);
    const char *slash = strchr(text, '/');
    GQuark model = 0;
    if (slash != NULL) {
        char *name = g_strndup(text, (gsize)(slash - text));
        model = g_quark_from_string(name);
        g_free(name);
    }
    struct ch_held *held = ch_home_item_need(home, item, model, memory_mb);
    if (held->state != state) {
        held->changed = now;
        held->leaving = false;
    }
    held->state = state;
    if (memory_mb > 0) {
        held->memory_mb = memory_mb;
    }
    pump(home, NULL, now, out);
}

/*
 * An order was not done.  Load: the key-value service is away, or another
 * holder changed the ledger.  Harm prevented: callers who wait for a model
 * that will not come, and a write a tick to a service that is in trouble.
 * Limit: a conflict is over in one round trip; an absent service is asked
 * again each second, which 1,900 homes can do, as only those with an order
 * pending ask.
 */
void
ch_home_order_failed(struct ch_home *home, GQuark item,
                     enum ch_action_kind kind, enum ch_code code, int64_t now,
                     struct ch_actions *out)
{
    struct ch_held *held = ch_home_item(home, item);
    if (held != NULL && kind == CH_ACTION_LOAD &&
        held->state == CH_ITEM_LOADING) {
        held->state = CH_ITEM_ABSENT;
    }
    if (held != NULL && kind == CH_ACTION_UNLOAD &&
        held->state == CH_ITEM_UNLOADING) {
        held->state = CH_ITEM_RESIDENT;
    }
    /* Passing: somebody else wrote first, or the ledger of a home that has
     * just opened waits for the engine's first report. */
    if (code == CH_KV_CONFLICT || code == CH_NOT_READY) {
        if (held != NULL) {
            held->not_before = now + CH_HOME_TICK;
        }
        pump(home, NULL, now, out);
        return;
    }
    home->blocked_until = now + G_USEC_PER_SEC;
    for (guint at = home->queue.entries->len; at-- > 0;) {
        if (!can_run(home, &ch_queue_at(&home->queue, at)->work)) {
            ch_home_refuse(home, at, CH_NO_UPSTREAM, G_USEC_PER_SEC,
                           "the model cannot be loaded here now", out);
        }
    }
    pump(home, NULL, now, out);
}

/* The engine's own word, as late as it comes.  Its counts are left aside: the
 * home's own are exact, and adding what runs beyond them was tried without
 * gain (docs/DECISIONS.md). */
void
ch_home_report(struct ch_home *home, uint32_t running, uint32_t waiting,
               bool leaving, bool down, int64_t now, struct ch_actions *out)
{
    (void)running;
    (void)waiting;
    home->leaving = leaving || home->facts.leaving;
    home->down = down;
    pump(home, NULL, now, out);
}

/* Time has passed: sheds what became late and goes on with moves. */
void
ch_home_tick(struct ch_home *home, const struct ch_fleet *fleet, int64_t now,
             struct ch_actions *out)
{
    pump(home, fleet, now, out);
}

/* How much longer than expected the slowest running request is taking: 1 when
 * none is.  It shows a stuck or slow upstream before any answer has ended. */
static double
overdue(const struct ch_home *home, int64_t now)
{
    double most = 1.0;
    for (guint i = 0; i < home->granted->len; i++) {
        const struct ch_granted *granted =
            &g_array_index(home->granted, struct ch_granted, i);
        int64_t expected = MAX(granted->expected, 1);
        most = MAX(most, (double)(now - granted->at) / (double)expected);
    }
    return most < 2.0 ? 1.0 : most;
}

/* Appends an item to the list that its state puts it in. */
static void
view_item(const struct ch_held *held, int64_t now,
          struct ch_upstream_view *out)
{
    struct ch_item item = {
        .name = held->name,
        .rate = (uint32_t)(ch_demand_most(&held->demand, now) * 1000.0),
    };
    if (held->state == CH_ITEM_RESIDENT && !held->leaving) {
        g_array_append_val(out->resident, item);
    }
    else if (held->state == CH_ITEM_LOADING) {
        g_array_append_val(out->loading, item);
    }
}

/* What other nodes are told.  Region and data centre are the caller's to fill
 * in; the two arrays are new and the caller's to unref. */
void
ch_home_view(const struct ch_home *home, int64_t now,
             struct ch_upstream_view *out)
{
    *out = (struct ch_upstream_view){
        .name = home->facts.name,
        .service = home->facts.service,
        .leaving = home->leaving,
        .down = home->down,
        .accelerators = home->facts.accelerators,
        .capacity_mb = home->facts.capacity_mb,
        .batch = ch_home_limit(home),
        .running = home->granted->len,
        .queued = home->queue.entries->len,
        .wait = ch_home_wait(home, G_MAXINT64, now),
        .seen = now,
        .resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
        .loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
    };
    uint32_t committed = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_held *held =
            &g_array_index(home->items, struct ch_held, i);
        if (held->state != CH_ITEM_ABSENT) {
            committed += held->memory_mb;
        }
        view_item(held, now, out);
    }
    uint32_t capacity = home->facts.capacity_mb;
    out->free_mb = committed < capacity ? capacity - committed : 0;
    double token = ch_rates_token(&home->rates, home->granted->len + 1.0);
    out->token = (int64_t)(token * overdue(home, now));
}
