/* The upstreams that are brittle, as this node knows them. */

#include "slots/slots_internal.h"

enum {
    /* Nodes send as before for this long, so that the counting node hears of
     * all calls in progress before it gives out slots. */
    ONSET_US = 1500 * 1000,
    /* An upstream that has not responded since its start, or since its service
     * became brittle, is taken for brittle while another one of its service
     * said so in this time. */
    SERVICE_MEMORY_US = 10 * 1000 * 1000,
    TICK_US = 500 * 1000,
    /* For this long after its start a node asks the counting nodes of
     * upstreams that it has had no response of. */
    STARTUP_US = 5 * 1000 * 1000,
    /* Upstreams without calls are forgotten once so many are known. */
    MAX_UPSTREAMS = 8192,
};

/* See slots_internal.h. */
void
slots_count_event(const struct ch_slots *slots, enum ch_counter counter)
{
    if (slots->client->metrics != NULL) {
        ch_metrics_add_count(slots->client->metrics, counter, 1);
    }
}

/* ---- upstreams ---- */

static void
free_upstream(void *data)
{
    struct slots_upstream *upstream = data;
    ch_slots_account_clear(&upstream->account);
    ch_slots_counter_free(upstream->counter);
    g_free(upstream);
}

/* For g_hash_table_foreach_remove(). */
static gboolean
is_unused(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    const struct slots_upstream *upstream = value;
    return upstream->account.holding.calls == 0 && upstream->counter == NULL;
}

/* See slots_internal.h. */
struct slots_upstream *
slots_find_or_add(struct ch_slots *slots, GQuark name)
{
    struct slots_upstream *upstream =
        g_hash_table_lookup(slots->upstreams, GUINT_TO_POINTER(name));
    if (upstream != NULL) {
        return upstream;
    }
    if (g_hash_table_size(slots->upstreams) >= MAX_UPSTREAMS) {
        g_hash_table_foreach_remove(slots->upstreams, is_unused, NULL);
    }
    upstream = g_new0(struct slots_upstream, 1);
    upstream->info.name = name;
    ch_slots_account_init(&upstream->account);
    g_hash_table_insert(slots->upstreams, GUINT_TO_POINTER(name), upstream);
    return upstream;
}

/* The service if one of its upstreams was brittle lately, else NULL. */
static struct slots_service *
find_brittle_service(const struct ch_slots *slots, GQuark name, int64_t now)
{
    struct slots_service *service =
        name == 0
            ? NULL
            : g_hash_table_lookup(slots->services, GUINT_TO_POINTER(name));
    return service != NULL && now - service->named_at < SERVICE_MEMORY_US
               ? service
               : NULL;
}

/* See slots_internal.h. */
bool
slots_is_brittle(const struct ch_slots *slots,
                 const struct slots_upstream *upstream, int64_t now)
{
    if (ch_limit_state_is_limited(&upstream->state)) {
        return true;
    }
    const struct slots_service *service =
        find_brittle_service(slots, upstream->info.service, now);
    return service != NULL && (!upstream->has_responded ||
                               upstream->state.last.sent_at < service->since);
}

/* See slots_internal.h. */
int64_t
slots_get_since(const struct ch_slots *slots,
                const struct slots_upstream *upstream, int64_t now)
{
    const struct slots_service *service =
        find_brittle_service(slots, upstream->info.service, now);
    return service == NULL ? now : service->since;
}

/* Records that an upstream of the service says that it is brittle. */
static void
note_service(struct ch_slots *slots, GQuark name, int64_t since, int64_t now)
{
    struct slots_service *service = find_brittle_service(slots, name, now);
    if (service == NULL) {
        service = g_new0(struct slots_service, 1);
        service->since = since;
        g_hash_table_replace(slots->services, GUINT_TO_POINTER(name), service);
    }
    service->since = MIN(service->since, since);
    service->named_at = now;
}

/* See slots_internal.h. */
enum ch_limit_change
slots_observe(struct ch_slots *slots, struct slots_upstream *upstream,
              const struct ch_limit_observation *observation, int64_t since,
              const char *source, int64_t now)
{
    if (observation->sent_at < upstream->boot_changed_at) {
        return CH_LIMIT_UNCHANGED;
    }
    enum ch_limit_change change =
        ch_limit_state_observe(&upstream->state, observation);
    upstream->has_responded = true;
    if (observation->named) {
        note_service(slots, upstream->info.service, since, now);
    }
    if (change == CH_LIMIT_SET || change == CH_LIMIT_LIFTED) {
        bool is_set = change == CH_LIMIT_SET;
        slots_count_event(slots, is_set ? CH_COUNT_BRITTLE_HEARD
                                        : CH_COUNT_BRITTLE_LIFTED);
        ch_log(slots->client, CH_LOG_NOTICE,
               is_set ? "upstream-brittle" : "upstream-brittle-ended",
               CH_F_STR("upstream", g_quark_to_string(upstream->info.name)),
               CH_F_NUM("rejections_per_s", upstream->state.last.per_s),
               CH_F_INT("slots", upstream->info.slots),
               CH_F_INT("calls", upstream->account.holding.calls),
               CH_F_STR("heard_from", source), CH_F_END);
    }
    return change;
}

/* See slots.h. A new process of an upstream has none of the calls that the one
 * before had, and has not said whether it is brittle. */
void
ch_slots_update_upstream(struct ch_slots *slots,
                         const struct ch_slots_upstream *info)
{
    if (slots == NULL) {
        return;
    }
    GArray *results =
        g_array_new(FALSE, FALSE, sizeof(struct ch_slots_result));
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, info->name);
    bool is_new_boot =
        upstream->info.boot_id != 0 && upstream->info.boot_id != info->boot_id;
    upstream->info = *info;
    if (is_new_boot) {
        upstream->state = (struct ch_limit_state){0};
        upstream->has_responded = false;
        upstream->boot_changed_at = ch_client_get_time(slots->client);
        slots_close_counter(upstream, false, upstream->boot_changed_at,
                            results);
    }
    pthread_mutex_unlock(&slots->lock);
    slots_deliver(slots, info->name, results);
}

/* ---- responses ---- */

/* Tells the counting node; on a pool worker. */
struct tell_job {
    struct ch_slots *slots;
    GQuark upstream;
};

static void
run_tell(void *data)
{
    struct tell_job *job = data;
    slots_tell_counter(job->slots, job->upstream);
    g_free(job);
}

static void
submit_tell(struct ch_slots *slots, GQuark upstream)
{
    struct tell_job *job = g_new(struct tell_job, 1);
    *job = (struct tell_job){slots, upstream};
    ch_pool_submit(slots->pool, run_tell, job);
}

/* See slots.h. */
void
ch_slots_handle_reading(struct ch_slots *slots, GQuark name,
                        const struct ch_limit_reading *reading, bool succeeded,
                        int64_t sent_at)
{
    bool named = reading->kind == CH_LIMIT_NAMED;
    if (slots == NULL || (!named && !succeeded)) {
        return;
    }
    if (reading->kind == CH_LIMIT_UNREADABLE) {
        ch_log(slots->client, CH_LOG_WARNING, "upstream-brittle-unreadable",
               CH_F_STR("upstream", g_quark_to_string(name)), CH_F_END);
        return;
    }
    int64_t now = ch_client_get_time(slots->client);
    const struct ch_limit_observation observation = {
        .named = named,
        .per_s = reading->per_s,
        .sent_at = sent_at,
        .received_at = now,
    };
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    enum ch_limit_change change =
        slots_observe(slots, upstream, &observation, now, "response", now);
    pthread_mutex_unlock(&slots->lock);
    if (change != CH_LIMIT_UNCHANGED) {
        submit_tell(slots, name);
    }
}

/* ---- calls ---- */

/* Whether this node has started lately and may not know yet that the upstream
 * is brittle; the counting node does. Lock held. */
static bool
is_not_known(const struct ch_slots *slots,
             const struct slots_upstream *upstream, int64_t now)
{
    return !upstream->has_responded && now - slots->started_at < STARTUP_US;
}

/* See slots.h. */
bool
ch_slots_needs_permission(struct ch_slots *slots, GQuark name)
{
    if (slots == NULL) {
        return false;
    }
    int64_t now = ch_client_get_time(slots->client);
    pthread_mutex_lock(&slots->lock);
    const struct slots_upstream *upstream =
        g_hash_table_lookup(slots->upstreams, GUINT_TO_POINTER(name));
    bool needs = upstream != NULL &&
                 (is_not_known(slots, upstream, now) ||
                  (slots_is_brittle(slots, upstream, now) &&
                   now - slots_get_since(slots, upstream, now) >= ONSET_US));
    pthread_mutex_unlock(&slots->lock);
    return needs;
}

/* See slots.h. */
void
ch_slots_hold(struct ch_slots *slots, GQuark name, uint32_t tokens)
{
    if (slots == NULL) {
        return;
    }
    pthread_mutex_lock(&slots->lock);
    ch_slots_account_begin(&slots_find_or_add(slots, name)->account, tokens);
    pthread_mutex_unlock(&slots->lock);
}

/* See slots.h. */
void
ch_slots_release(struct ch_slots *slots, GQuark name, uint32_t tokens,
                 enum ch_slots_end end)
{
    if (slots == NULL) {
        return;
    }
    int64_t now = ch_client_get_time(slots->client);
    pthread_mutex_lock(&slots->lock);
    struct slots_upstream *upstream = slots_find_or_add(slots, name);
    ch_slots_account_end(&upstream->account, tokens, end, now);
    bool brittle = slots_is_brittle(slots, upstream, now);
    pthread_mutex_unlock(&slots->lock);
    if (brittle) {
        submit_tell(slots, name);
    }
}

/* ---- periodic work ---- */

/* Tells the counting nodes of this node's calls, until the stop. */
static void
tick(void *data)
{
    struct ch_slots *slots = data;
    slots_tell_all_counters(slots);
    pthread_mutex_lock(&slots->lock);
    if (!slots->stopped) {
        ch_timers_add(slots->timers, TICK_US, tick, slots);
    }
    pthread_mutex_unlock(&slots->lock);
}

/* ---- status ---- */

static void
write_upstream(const struct slots_upstream *upstream, JsonBuilder *builder)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "upstream");
    json_builder_add_string_value(builder,
                                  g_quark_to_string(upstream->info.name));
    json_builder_set_member_name(builder, "rejections_per_s");
    json_builder_add_double_value(builder, upstream->state.last.per_s);
    json_builder_set_member_name(builder, "slots");
    json_builder_add_int_value(builder, upstream->info.slots);
    json_builder_set_member_name(builder, "calls");
    json_builder_add_int_value(builder, upstream->account.holding.calls);
    if (upstream->counter != NULL) {
        json_builder_set_member_name(builder, "calls_of_all_nodes");
        json_builder_add_int_value(
            builder, ch_slots_counter_count_calls(upstream->counter));
        json_builder_set_member_name(builder, "waiting");
        json_builder_add_int_value(
            builder,
            (gint64)ch_slots_counter_count_waiting(upstream->counter));
    }
    json_builder_end_object(builder);
}

/* See slots.h. */
void
ch_slots_write_status(struct ch_slots *slots, JsonBuilder *builder)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    json_builder_set_member_name(builder, "brittle");
    json_builder_begin_array(builder);
    if (slots != NULL) {
        int64_t now = ch_client_get_time(slots->client);
        pthread_mutex_lock(&slots->lock);
        g_hash_table_iter_init(&iterator, slots->upstreams);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            if (slots_is_brittle(slots, value, now)) {
                write_upstream(value, builder);
            }
        }
        pthread_mutex_unlock(&slots->lock);
    }
    json_builder_end_array(builder);
}

/* ---- lifetime ---- */

/* See slots.h. */
struct ch_slots *
ch_slots_new(struct ch_client *client, struct ch_pool *pool,
             struct ch_timers *timers, const struct ch_slots_peers *peers)
{
    struct ch_slots *slots = g_new0(struct ch_slots, 1);
    slots->client = client;
    slots->pool = pool;
    slots->timers = timers;
    slots->peers = *peers;
    slots->self = g_quark_from_string(peers->self);
    slots->upstreams = g_hash_table_new_full(NULL, NULL, NULL, free_upstream);
    slots->services = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    pthread_mutex_init(&slots->lock, NULL);
    return slots;
}

/* See slots.h. */
void
ch_slots_start(struct ch_slots *slots)
{
    slots->started_at = ch_client_get_time(slots->client);
    ch_timers_add(slots->timers, TICK_US, tick, slots);
}

/* See slots.h. */
void
ch_slots_stop(struct ch_slots *slots)
{
    pthread_mutex_lock(&slots->lock);
    slots->stopped = true;
    pthread_mutex_unlock(&slots->lock);
}

/* See slots.h. */
void
ch_slots_free(struct ch_slots *slots)
{
    if (slots == NULL) {
        return;
    }
    g_hash_table_destroy(slots->upstreams);
    g_hash_table_destroy(slots->services);
    pthread_mutex_destroy(&slots->lock);
    g_free(slots);
}
