/* The scheduler that the home node keeps for an upstream: its request queue,
 * and the exact count of granted requests.  Admission is in admit.c, placement
 * of models in place.c. */

#include "decide/home.h"

#include <string.h>

enum {
    /* Maximum number of concurrent requests if neither the host list nor a
     * measurement gives a limit: more than any engine is expected to run, and
     * the usual number of workers of a plain service. */
    MAX_RUNNING_ENGINE = 256,
    MAX_RUNNING_SERVICE = 32,
    /* A request with less time left than this until its target gets the most
     * urgent priority. */
    URGENT_TIME_LEFT_US = G_USEC_PER_SEC,
};

/* Returns a scheduler with an empty queue and no resident items. */
struct ch_home *
ch_home_new(const struct ch_policy *policy,
            const struct ch_upstream_config *facts, int64_t now)
{
    (void)now;
    struct ch_home *home = g_new0(struct ch_home, 1);
    home->policy = policy;
    home->config = *facts;
    home->draining = facts->draining;
    ch_queue_init(&home->queue);
    home->running =
        g_array_new(FALSE, FALSE, sizeof(struct ch_running_request));
    home->items = g_array_new(FALSE, FALSE, sizeof(struct ch_item_record));
    ch_service_times_init(&home->service_times, facts->service == 0);
    return home;
}

/* Frees the scheduler.  The caller must have answered all queued requests. */
void
ch_home_free(struct ch_home *home)
{
    if (home == NULL) {
        return;
    }
    ch_queue_clear(&home->queue);
    g_array_unref(home->running);
    g_array_unref(home->items);
    g_free(home);
}

/* Takes over the host list's current entry.  Running requests continue; a
 * lower limit is reached as they end. */
void
ch_home_set_config(struct ch_home *home,
                   const struct ch_upstream_config *facts)
{
    if (facts->draining != home->config.draining) {
        home->draining = facts->draining;
    }
    home->config = *facts;
}

/* Returns the item's record, or NULL if the item was never seen.  The pointer
 * is valid until another item is added. */
struct ch_item_record *
ch_home_find_item(struct ch_home *home, GQuark name)
{
    for (guint i = 0; i < home->items->len; i++) {
        struct ch_item_record *item =
            &g_array_index(home->items, struct ch_item_record, i);
        if (item->name == name) {
            return item;
        }
    }
    return NULL;
}

/* Returns the item's record, after adding it as absent if it was never seen.
 */
struct ch_item_record *
ch_home_get_item(struct ch_home *home, GQuark name, GQuark model,
                 uint32_t memory_mb)
{
    struct ch_item_record *item = ch_home_find_item(home, name);
    if (item != NULL) {
        if (item->state == CH_ITEM_ABSENT && memory_mb > 0) {
            item->memory_mb = memory_mb;
        }
        return item;
    }
    struct ch_item_record added = {
        .name = name, .model = model, .memory_mb = memory_mb};
    g_array_append_val(home->items, added);
    return ch_home_find_item(home, name);
}

/* Whether requests for the item may be granted: it is resident and not being
 * evicted. */
bool
ch_home_has_item(const struct ch_home *home, GQuark item)
{
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_item_record *record =
            &g_array_index(home->items, struct ch_item_record, i);
        if (record->name == item) {
            return record->state == CH_ITEM_RESIDENT && !record->evicting;
        }
    }
    return false;
}

/* Returns the smallest target time between tokens among the running requests
 * and `token_target`; 0: none of them has a target. */
static int64_t
min_token_target(const struct ch_home *home, int64_t token_target)
{
    for (guint i = 0; i < home->running->len; i++) {
        int64_t target =
            g_array_index(home->running, struct ch_running_request, i)
                .token_target;
        if (target > 0 && (token_target == 0 || target < token_target)) {
            token_target = target;
        }
    }
    return token_target;
}

/* Returns how many requests may run at once if one with this target between
 * tokens joins. */
static uint32_t
limit_with_target(const struct ch_home *home, int64_t token_target)
{
    bool service = home->config.service != 0;
    uint32_t max = home->config.batch;
    if (max == 0) {
        max = service ? MAX_RUNNING_SERVICE : MAX_RUNNING_ENGINE;
    }
    if (service || !home->policy->admission->measured_limit) {
        return max;
    }
    return ch_service_times_limit_batch(
        &home->service_times, min_token_target(home, token_target), max);
}

/* Returns how many requests may run at once, given the running and queued
 * requests. */
uint32_t
ch_home_get_limit(const struct ch_home *home)
{
    int64_t token_target = 0;
    for (guint i = 0; i < home->queue.entries->len; i++) {
        int64_t target = ch_queue_get(&home->queue, i)->request.token_target;
        if (target > 0 && (token_target == 0 || target < token_target)) {
            token_target = target;
        }
    }
    return limit_with_target(home, token_target);
}

static void
append_action(struct ch_actions *out, const struct ch_action *action)
{
    g_array_append_val(out->list, *action);
}

/* Adds `change` to the queued counts of the request's model and adapter. */
static void
adjust_queued_counts(struct ch_home *home,
                     const struct ch_request_info *request, int change)
{
    GQuark names[] = {request->model, request->adapter};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ch_item_record *item =
            names[i] == 0 ? NULL : ch_home_find_item(home, names[i]);
        if (item != NULL) {
            item->queued = (uint32_t)((int)item->queued + change);
        }
    }
}

static struct ch_queue_entry
remove_entry(struct ch_home *home, guint index)
{
    struct ch_queue_entry entry = *ch_queue_get(&home->queue, index);
    ch_queue_remove(&home->queue, index);
    adjust_queued_counts(home, &entry.request, -1);
    return entry;
}

/* Removes the queue entry and refuses its request for good. retry_after:
 * microseconds until the caller may usefully retry. */
void
ch_home_refuse_entry(struct ch_home *home, guint index, enum ch_code code,
                     int64_t retry_after, const char *reason,
                     struct ch_actions *out)
{
    struct ch_action action = {
        .kind = CH_ACTION_REFUSE,
        .request_id = remove_entry(home, index).request.id,
        .code = code,
        .retry_after = retry_after,
    };
    g_strlcpy(action.message, reason, sizeof(action.message));
    append_action(out, &action);
}

/* Adds `change` to the running counts of the model and adapter. */
static void
adjust_running_counts(struct ch_home *home, GQuark model, GQuark adapter,
                      int change)
{
    GQuark names[] = {model, adapter};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct ch_item_record *item =
            names[i] == 0 ? NULL : ch_home_find_item(home, names[i]);
        if (item != NULL) {
            item->running = (uint32_t)((int)item->running + change);
        }
    }
}

/* Removes the queue entry and grants its request. */
static void
grant_entry(struct ch_home *home, guint index, int64_t now,
            struct ch_actions *out)
{
    struct ch_request_info request = remove_entry(home, index).request;
    uint32_t running = home->running->len + 1;
    struct ch_running_request granted = {
        .request_id = request.id,
        .model = request.model,
        .adapter = request.adapter,
        .tenant = request.tenant,
        .token_target = request.token_target,
        .granted_at = now,
        .predicted_time = ch_service_times_predict_slot(&home->service_times,
                                                        &request, running),
        .running_at_grant = running,
    };
    g_array_append_val(home->running, granted);
    adjust_running_counts(home, request.model, request.adapter, 1);
    struct ch_action action = {
        .kind = CH_ACTION_GRANT,
        .request_id = request.id,
        .code = CH_OK,
        .priority =
            request.first_token_deadline - now < URGENT_TIME_LEFT_US ? 0 : 1,
    };
    append_action(out, &action);
}

/* Whether the model and adapter that the request needs are in memory. */
static bool
can_run(const struct ch_home *home, const struct ch_request_info *request)
{
    if (request->is_service) {
        return true;
    }
    if (!ch_home_has_item(home, request->model)) {
        return false;
    }
    return request->adapter == 0 || ch_home_has_item(home, request->adapter);
}

/* Grants queued requests, lowest rank first, up to the concurrency limit.
 * Requests whose model isn't in memory are skipped, so that they don't block
 * those behind them. */
static void
grant_runnable(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    guint index = 0;
    uint32_t max = home->policy->admission->unlimited
                       ? G_MAXUINT32
                       : limit_with_target(home, 0);
    while (index < home->queue.entries->len && home->running->len < max) {
        struct ch_queue_entry *entry = ch_queue_get(&home->queue, index);
        if (!can_run(home, &entry->request)) {
            index++;
            continue;
        }
        if (!home->policy->admission->unlimited &&
            home->running->len >=
                limit_with_target(home, entry->request.token_target)) {
            return;
        }
        grant_entry(home, index, now, out);
    }
}

/* Refuses queued requests that can no longer meet their target.  The queue can
 * take longer than predicted if the upstream slows down or a request with an
 * earlier deadline arrives.  Without this, a slot would go to a response that
 * is late already while the next request becomes late too.  The refusal is
 * sent at once so that the caller can still try elsewhere. */
static void
refuse_late(struct ch_home *home, int64_t now, struct ch_actions *out)
{
    int64_t min_remaining = home->policy->admission->predict
                                ? (int64_t)home->service_times.first_byte_time
                                : 0;
    for (guint index = home->queue.entries->len; index-- > 0;) {
        const struct ch_queue_entry *entry = ch_queue_get(&home->queue, index);
        if (entry->serve_late || entry->request.first_token_deadline == 0 ||
            now + min_remaining <= entry->request.first_token_deadline) {
            continue;
        }
        int64_t wait = ch_home_predict_wait(home, entry->rank, now);
        ch_home_refuse_entry(home, index, CH_LATE, wait,
                             "the queue took longer than predicted", out);
    }
}

static void
refuse_queued(struct ch_home *home, const char *reason, struct ch_actions *out)
{
    while (home->queue.entries->len > 0) {
        ch_home_refuse_entry(home, home->queue.entries->len - 1,
                             CH_NO_UPSTREAM, G_USEC_PER_SEC, reason, out);
    }
}

/* Grants, refuses, loads and unloads whatever the current state allows.
 * Called after every change. */
static void
apply_pending(struct ch_home *home, const struct ch_fleet *fleet, int64_t now,
              struct ch_actions *out)
{
    if (home->draining || home->down) {
        refuse_queued(home,
                      home->draining ? "the upstream is leaving"
                                     : "the upstream does not answer",
                      out);
    }
    if (fleet != NULL) {
        home->loads_left = fleet->store_loads_left;
    }
    grant_runnable(home, now, out);
    refuse_late(home, now, out);
    if (home->config.service == 0 && !home->policy->placement->fixed &&
        !home->down) {
        ch_place_apply_pending(home, fleet, now, out);
    }
}

/* Counts the request in the demand for its model and adapter, whether or not
 * it is admitted. */
static void
record_demand(struct ch_home *home, const struct ch_request_info *request,
              int64_t now)
{
    if (request->is_service) {
        return;
    }
    struct ch_item_record *model =
        ch_home_get_item(home, request->model, 0, request->model_mb);
    ch_demand_add_request(&model->demand, now);
    model->last_request_at = now;
    if (request->adapter != 0) {
        struct ch_item_record *adapter = ch_home_get_item(
            home, request->adapter, request->model, request->adapter_mb);
        ch_demand_add_request(&adapter->demand, now);
        adapter->last_request_at = now;
    }
}

/* Refuses the request at once, or queues it and grants or refuses it later.
 * Exactly one grant or refusal is issued for each request, unless it is
 * withdrawn. */
void
ch_home_enqueue(struct ch_home *home, const struct ch_request_info *request,
                const struct ch_fleet *fleet, int64_t now,
                struct ch_actions *out)
{
    if (fleet != NULL) {
        home->loads_left = fleet->store_loads_left;
    }
    record_demand(home, request, now);
    struct ch_admission admission = ch_admit(home, request, fleet, now, out);
    if (admission.code != CH_OK) {
        struct ch_action action = {
            .kind = CH_ACTION_REFUSE,
            .request_id = request->id,
            .code = admission.code,
            .retry_after = admission.retry_after,
        };
        g_strlcpy(action.message, admission.reason, sizeof(action.message));
        append_action(out, &action);
    }
    else {
        struct ch_queue_entry entry = {
            .request = *request,
            .rank = home->policy->ordering->rank(home, request, now),
            .serve_late = admission.serve_late,
        };
        if (entry.serve_late) {
            entry.rank =
                MAX(entry.rank, request->arrived_at + CH_LATE_TARGET_US);
        }
        ch_queue_add(&home->queue, &entry);
        adjust_queued_counts(home, request, 1);
    }
    apply_pending(home, fleet, now, out);
}

/* Removes a request from the queue because its caller has gone.  A granted
 * request stays until it is released. */
void
ch_home_withdraw(struct ch_home *home, uint64_t request_id, int64_t now,
                 struct ch_actions *out)
{
    int index = ch_queue_find(&home->queue, request_id);
    if (index >= 0) {
        (void)remove_entry(home, (guint)index);
    }
    apply_pending(home, NULL, now, out);
}

/* Ends a granted request.  Unknown IDs are ignored: if a request is released
 * for a lost node and later by that node too, only one slot is freed. */
void
ch_home_release(struct ch_home *home, uint64_t request_id,
                const struct ch_timing_sample *sample, int64_t now,
                struct ch_actions *out)
{
    for (guint i = 0; i < home->running->len; i++) {
        struct ch_running_request granted =
            g_array_index(home->running, struct ch_running_request, i);
        if (granted.request_id != request_id) {
            continue;
        }
        double running = (granted.running_at_grant + home->running->len) / 2.0;
        ch_service_times_add_sample(&home->service_times, sample, running,
                                    now - granted.granted_at, now);
        adjust_running_counts(home, granted.model, granted.adapter, -1);
        g_array_remove_index_fast(home->running, i);
        break;
    }
    /* A refused connection shows earlier than any report that nothing runs on
     * the upstream.  The next report that the engine answers clears this. */
    if (sample->code == CH_UPSTREAM_CONNECT) {
        home->down = true;
    }
    apply_pending(home, NULL, now, out);
}

/* Takes over an item's state from the ledger, which overrides the state
 * assumed here. */
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
    struct ch_item_record *record =
        ch_home_get_item(home, item, model, memory_mb);
    if (record->state != state) {
        record->state_changed_at = now;
        record->evicting = false;
    }
    record->state = state;
    if (memory_mb > 0) {
        record->memory_mb = memory_mb;
    }
    apply_pending(home, NULL, now, out);
}

/* Handles an order that was not carried out because the key-value store is
 * unreachable or another lease holder changed the ledger.  Without this,
 * callers would wait for a model that isn't coming, and each tick would send a
 * write to a service that is in trouble.  A conflict is resolved within one
 * round trip.  An unreachable service is tried again every second; with 1,900
 * upstreams the store can still serve these requests, as only upstreams with a
 * pending order cause them. */
void
ch_home_handle_failed_order(struct ch_home *home, GQuark item,
                            enum ch_action_kind kind, enum ch_code code,
                            int64_t now, struct ch_actions *out)
{
    struct ch_item_record *record = ch_home_find_item(home, item);
    if (record != NULL && kind == CH_ACTION_LOAD &&
        record->state == CH_ITEM_LOADING) {
        record->state = CH_ITEM_ABSENT;
    }
    if (record != NULL && kind == CH_ACTION_UNLOAD &&
        record->state == CH_ITEM_UNLOADING) {
        record->state = CH_ITEM_RESIDENT;
    }
    /* Temporary: another node wrote first, or the ledger of a home node that
     * has just taken over the upstream waits for the engine's first report. */
    if (code == CH_KV_CONFLICT || code == CH_NOT_READY) {
        if (record != NULL) {
            record->next_order_at = now + CH_HOME_TICK_US;
        }
        apply_pending(home, NULL, now, out);
        return;
    }
    home->orders_blocked_until = now + G_USEC_PER_SEC;
    for (guint index = home->queue.entries->len; index-- > 0;) {
        if (!can_run(home, &ch_queue_get(&home->queue, index)->request)) {
            ch_home_refuse_entry(
                home, index, CH_NO_UPSTREAM, G_USEC_PER_SEC,
                "the model cannot be loaded on this upstream now", out);
        }
    }
    apply_pending(home, NULL, now, out);
}

/* Takes over the engine's report, which may lag.  Its request counts are
 * ignored: the counts kept here are exact, and adding the requests that the
 * engine runs beyond them brought no gain (docs/DECISIONS.md). */
void
ch_home_update_engine_state(struct ch_home *home, uint32_t running,
                            uint32_t waiting, bool draining, bool down,
                            int64_t now, struct ch_actions *out)
{
    (void)running;
    (void)waiting;
    home->draining = draining || home->config.draining;
    home->down = down;
    apply_pending(home, NULL, now, out);
}

/* Refuses requests that have become late and continues loads and evictions. */
void
ch_home_tick(struct ch_home *home, const struct ch_fleet *fleet, int64_t now,
             struct ch_actions *out)
{
    apply_pending(home, fleet, now, out);
}

/* Returns the largest ratio of elapsed to predicted time among the running
 * requests; 1 if no request has taken at least twice its predicted time.  This
 * reveals a stuck or slow upstream before any response has ended. */
static double
max_overrun(const struct ch_home *home, int64_t now)
{
    double max_ratio = 1.0;
    for (guint i = 0; i < home->running->len; i++) {
        const struct ch_running_request *granted =
            &g_array_index(home->running, struct ch_running_request, i);
        int64_t expected = MAX(granted->predicted_time, 1);
        max_ratio = MAX(max_ratio, (double)(now - granted->granted_at) /
                                       (double)expected);
    }
    return max_ratio < 2.0 ? 1.0 : max_ratio;
}

/* Appends the item to the list for its state, if there is one. */
static void
append_item_view(const struct ch_item_record *record, int64_t now,
                 struct ch_upstream_view *out)
{
    struct ch_item item = {
        .name = record->name,
        .rate = (uint32_t)(ch_demand_get_upper(&record->demand, now) * 1000.0),
    };
    if (record->state == CH_ITEM_RESIDENT && !record->evicting) {
        g_array_append_val(out->resident, item);
    }
    else if (record->state == CH_ITEM_LOADING) {
        g_array_append_val(out->loading, item);
    }
}

/* Fills in what other nodes are told, except for region and data centre.  The
 * caller must unref the two new arrays. */
void
ch_home_get_view(const struct ch_home *home, int64_t now,
                 struct ch_upstream_view *out)
{
    *out = (struct ch_upstream_view){
        .name = home->config.name,
        .service = home->config.service,
        .draining = home->draining,
        .down = home->down,
        .accelerators = home->config.accelerators,
        .capacity_mb = home->config.capacity_mb,
        .max_batch = ch_home_get_limit(home),
        .running = home->running->len,
        .queued = home->queue.entries->len,
        .predicted_wait = ch_home_predict_wait(home, G_MAXINT64, now),
        .reported_at = now,
        .resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
        .loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
    };
    uint32_t committed = 0;
    for (guint i = 0; i < home->items->len; i++) {
        const struct ch_item_record *record =
            &g_array_index(home->items, struct ch_item_record, i);
        if (record->state != CH_ITEM_ABSENT) {
            committed += record->memory_mb;
        }
        append_item_view(record, now, out);
    }
    uint32_t capacity = home->config.capacity_mb;
    out->free_mb = committed < capacity ? capacity - committed : 0;
    double token = ch_service_times_predict_token(&home->service_times,
                                                  home->running->len + 1.0);
    out->token_time = (int64_t)(token * max_overrun(home, now));
}
