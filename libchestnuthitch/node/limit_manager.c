/* The limits that upstreams named, as this node knows them. */

#include "node/limit_internal.h"

enum {
    /* An upstream of which nothing was heard for this long is forgotten. */
    FORGET_US = 10 * 60 * G_USEC_PER_SEC,
    /* Calls to a limited upstream are logged in sums over this time. */
    LOG_WINDOW_US = 4 * G_USEC_PER_SEC,
    TICK_US = 1000 * 1000,
};

/* See limit_internal.h. */
void
limit_manager_count_event(const struct ch_limit_manager *manager,
                          enum ch_counter counter)
{
    if (manager->node->client->metrics != NULL) {
        ch_metrics_add_count(manager->node->client->metrics, counter, 1);
    }
}

/* ---- logs ---- */

static void
log_calls(const struct ch_limit_manager *manager, const char *event,
          const struct limited_upstream *upstream,
          const struct limit_calls *calls, int64_t now)
{
    ch_log(manager->node->client, CH_LOG_INFO, event,
           CH_F_STR("upstream", g_quark_to_string(upstream->name)),
           CH_F_NUM("per_s", upstream->state.last.per_s),
           CH_F_INT("during_ms", (now - calls->since) / 1000),
           CH_F_INT("requests", calls->counts[CH_LIMITED_REQUEST]),
           CH_F_INT("reports", calls->counts[CH_LIMITED_REPORT]),
           CH_F_INT("orders", calls->counts[CH_LIMITED_ORDER]), CH_F_END);
}

/* Logs and counts a change of a limit; source as for
 * limit_manager_observe(). Lock held. */
static void
note_change(struct ch_limit_manager *manager,
            struct limited_upstream *upstream, enum ch_limit_change change,
            const char *source, int64_t now)
{
    const struct limit_calls none = {.since = now};
    switch (change) {
    case CH_LIMIT_SET:
        upstream->total = none;
        upstream->window = none;
        limit_manager_count_event(manager, CH_COUNT_LIMITS_HEARD);
        break;
    case CH_LIMIT_REVISED:
        break;
    case CH_LIMIT_LIFTED:
        limit_manager_count_event(manager, CH_COUNT_LIMITS_LIFTED);
        log_calls(manager, "upstream-limit-lifted", upstream, &upstream->total,
                  now);
        return;
    default:
        return;
    }
    ch_log(manager->node->client, CH_LOG_NOTICE, "upstream-limit",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)),
           CH_F_NUM("per_s", upstream->state.last.per_s),
           CH_F_STR("heard_from", source), CH_F_END);
}

/* ---- upstreams ---- */

/* For g_hash_table_foreach_remove: whether nothing was heard for long. */
static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const struct limited_upstream *upstream = value;
    const int64_t *now = data;
    return *now - upstream->last_observed_at > FORGET_US;
}

/* See limit_internal.h. */
struct limited_upstream *
limit_manager_find_or_add(struct ch_limit_manager *manager, GQuark name,
                          GQuark region, int64_t now)
{
    struct limited_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    if (upstream == NULL) {
        g_hash_table_foreach_remove(manager->upstreams, is_forgotten, &now);
        upstream = g_new0(struct limited_upstream, 1);
        upstream->name = name;
        upstream->region = region;
        upstream->last_observed_at = now;
        g_hash_table_insert(manager->upstreams, GUINT_TO_POINTER(name),
                            upstream);
    }
    return upstream;
}

/* See limit_internal.h. */
struct limited_upstream *
limit_manager_find_limited(struct ch_limit_manager *manager, GQuark name)
{
    struct limited_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    return upstream != NULL && ch_limit_state_is_limited(&upstream->state)
               ? upstream
               : NULL;
}

/* See limit_internal.h. */
enum ch_limit_change
limit_manager_observe(struct ch_limit_manager *manager,
                      struct limited_upstream *upstream,
                      const struct ch_limit_observation *observation,
                      const char *source, int64_t now)
{
    if (observation->sent_at < upstream->boot_changed_at) {
        return CH_LIMIT_UNCHANGED;
    }
    upstream->last_observed_at = now;
    enum ch_limit_change change =
        ch_limit_state_observe(&upstream->state, observation);
    note_change(manager, upstream, change, source, now);
    return change;
}

/* Tells others of a change; on a pool worker. */
struct change_job {
    struct ch_limit_manager *manager;
    GQuark upstream;
};

static void
run_change(void *data)
{
    struct change_job *job = data;
    limit_spread_change(job->manager, job->upstream);
    g_free(job);
}

/* Takes over what a response says. */
static enum ch_limit_change
observe_reading(struct ch_limit_manager *manager,
                const struct ch_limit_listener *listener,
                const struct ch_limit_reading *reading, bool succeeded,
                int64_t sent_at)
{
    int64_t now = ch_client_get_time(manager->node->client);
    const struct ch_limit_observation observation = {
        .named = reading->kind == CH_LIMIT_NAMED,
        .per_s = reading->per_s,
        .sent_at = sent_at,
        .received_at = now,
    };
    enum ch_limit_change change = CH_LIMIT_UNCHANGED;
    pthread_mutex_lock(&manager->lock);
    struct limited_upstream *upstream =
        observation.named
            ? limit_manager_find_or_add(manager, listener->upstream,
                                        listener->region, now)
            : limit_manager_find_limited(manager, listener->upstream);
    if (upstream != NULL && (observation.named || succeeded)) {
        change = limit_manager_observe(manager, upstream, &observation,
                                       "response", now);
    }
    pthread_mutex_unlock(&manager->lock);
    return change;
}

/* Handles what a response says; on the HTTP loop's thread. */
static void
handle_reading(const struct ch_limit_listener *listener,
               const struct ch_limit_reading *reading, bool succeeded,
               int64_t sent_at)
{
    struct ch_limit_manager *manager = listener->data;
    if (reading->kind == CH_LIMIT_UNREADABLE) {
        ch_log(manager->node->client, CH_LOG_WARNING,
               "upstream-limit-unreadable",
               CH_F_STR("upstream", g_quark_to_string(listener->upstream)),
               CH_F_END);
        return;
    }
    if (observe_reading(manager, listener, reading, succeeded, sent_at) !=
        CH_LIMIT_UNCHANGED) {
        struct change_job *job = g_new(struct change_job, 1);
        *job = (struct change_job){manager, listener->upstream};
        ch_pool_submit(manager->node->pool, run_change, job);
    }
}

/* See limit_manager.h. */
struct ch_limit_listener
ch_limit_manager_get_listener(struct ch_limit_manager *manager,
                              GQuark upstream, GQuark region)
{
    return (struct ch_limit_listener){handle_reading, manager, upstream,
                                      region};
}

/* See limit_manager.h. */
bool
ch_limit_manager_is_limited(struct ch_limit_manager *manager, GQuark upstream)
{
    pthread_mutex_lock(&manager->lock);
    bool limited = limit_manager_find_limited(manager, upstream) != NULL;
    pthread_mutex_unlock(&manager->lock);
    return limited;
}

/* See limit_manager.h. */
void
ch_limit_manager_update_upstream(struct ch_limit_manager *manager, GQuark name,
                                 uint64_t boot_id)
{
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    struct limited_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    if (upstream != NULL && upstream->boot_id != boot_id) {
        if (upstream->boot_id != 0) {
            if (ch_limit_state_is_limited(&upstream->state)) {
                note_change(manager, upstream, CH_LIMIT_LIFTED, "list", now);
            }
            upstream->state = (struct ch_limit_state){0};
            upstream->boot_changed_at = now;
        }
        upstream->boot_id = boot_id;
    }
    pthread_mutex_unlock(&manager->lock);
}

/* ---- calls ---- */

/* See limit_internal.h. */
void
limit_manager_count_call(struct ch_limit_manager *manager,
                         struct limited_upstream *upstream,
                         enum ch_limited_call kind)
{
    static const enum ch_counter counters[CH_LIMITED_CALLS] = {
        [CH_LIMITED_REQUEST] = CH_COUNT_LIMITED_REQUESTS,
        [CH_LIMITED_REPORT] = CH_COUNT_LIMITED_REPORTS,
        [CH_LIMITED_ORDER] = CH_COUNT_LIMITED_ORDERS,
    };
    upstream->total.counts[kind]++;
    upstream->window.counts[kind]++;
    limit_manager_count_event(manager, counters[kind]);
}

/* Logs the calls of each upstream's window that is over. */
static void
log_windows(struct ch_limit_manager *manager)
{
    int64_t now = ch_client_get_time(manager->node->client);
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&manager->lock);
    g_hash_table_iter_init(&iterator, manager->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct limited_upstream *upstream = value;
        if (ch_limit_state_is_limited(&upstream->state) &&
            now - upstream->window.since >= LOG_WINDOW_US) {
            log_calls(manager, "upstream-limited-calls", upstream,
                      &upstream->window, now);
            upstream->window = (struct limit_calls){.since = now};
        }
    }
    pthread_mutex_unlock(&manager->lock);
}

/* Logs, and tells others of limits, until the stop. */
static void
tick(void *data)
{
    struct ch_limit_manager *manager = data;
    log_windows(manager);
    limit_spread_refresh(manager);
    pthread_mutex_lock(&manager->lock);
    if (!manager->stopped) {
        ch_timers_add(manager->node->timers, TICK_US, tick, manager);
    }
    pthread_mutex_unlock(&manager->lock);
}

/* ---- status ---- */

static void
write_upstream(const struct limited_upstream *upstream, JsonBuilder *builder)
{
    static const char *const names[CH_LIMITED_CALLS] = {
        [CH_LIMITED_REQUEST] = "requests",
        [CH_LIMITED_REPORT] = "reports",
        [CH_LIMITED_ORDER] = "orders",
    };
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "upstream");
    json_builder_add_string_value(builder, g_quark_to_string(upstream->name));
    json_builder_set_member_name(builder, "per_s");
    json_builder_add_double_value(builder, upstream->state.last.per_s);
    for (size_t i = 0; i < CH_LIMITED_CALLS; i++) {
        json_builder_set_member_name(builder, names[i]);
        json_builder_add_int_value(builder, (gint64)upstream->total.counts[i]);
    }
    json_builder_end_object(builder);
}

/* See limit_manager.h. */
void
ch_limit_manager_write_status(struct ch_limit_manager *manager,
                              JsonBuilder *builder)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    json_builder_set_member_name(builder, "limits");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&manager->lock);
    g_hash_table_iter_init(&iterator, manager->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct limited_upstream *upstream = value;
        if (ch_limit_state_is_limited(&upstream->state)) {
            write_upstream(upstream, builder);
        }
    }
    pthread_mutex_unlock(&manager->lock);
    json_builder_end_array(builder);
}

/* ---- lifetime ---- */

/* Creates a manager that knows of no limit; node must outlive it. */
struct ch_limit_manager *
ch_limit_manager_new(struct ch_node *node)
{
    struct ch_limit_manager *manager = g_new0(struct ch_limit_manager, 1);
    manager->node = node;
    manager->upstreams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    pthread_mutex_init(&manager->lock, NULL);
    return manager;
}

/* See limit_manager.h. */
void
ch_limit_manager_start(struct ch_limit_manager *manager)
{
    limit_spread_init(manager);
    limit_take_init(manager);
    ch_timers_add(manager->node->timers, TICK_US, tick, manager);
}

/* See limit_manager.h. */
void
ch_limit_manager_stop(struct ch_limit_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    pthread_mutex_unlock(&manager->lock);
}

/* See limit_manager.h. */
void
ch_limit_manager_free(struct ch_limit_manager *manager)
{
    if (manager == NULL) {
        return;
    }
    g_hash_table_destroy(manager->upstreams);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager);
}
