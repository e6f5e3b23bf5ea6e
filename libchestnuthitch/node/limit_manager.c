/* The limits that upstreams named, as this node knows them. */

#include "node/limit_manager.h"

#include <pthread.h>

enum {
    /* An upstream of which nothing was heard for this long is forgotten. */
    FORGET_US = 10 * 60 * G_USEC_PER_SEC,
    /* Calls to a limited upstream are logged in sums over this time. */
    LOG_WINDOW_US = 4 * G_USEC_PER_SEC,
};

/* Calls sent since a point in time. */
struct call_counts {
    int64_t since;
    uint64_t counts[CH_LIMITED_CALLS];
};

struct limited_upstream {
    GQuark name;
    uint64_t boot_id; /* 0: not known */
    int64_t boot_changed_at;
    int64_t last_observed_at;
    struct ch_limit_state state;
    struct call_counts total;  /* since the limit was set */
    struct call_counts window; /* since the last log line */
};

struct ch_limit_manager {
    struct ch_node *node;
    pthread_mutex_t lock;
    GHashTable *upstreams; /* GQuark to struct limited_upstream */
};

static void
count_event(const struct ch_limit_manager *manager, enum ch_counter counter)
{
    if (manager->node->client->metrics != NULL) {
        ch_metrics_add_count(manager->node->client->metrics, counter, 1);
    }
}

/* ---- logs ---- */

static void
log_calls(const struct ch_limit_manager *manager, const char *event,
          const struct limited_upstream *upstream,
          const struct call_counts *calls, int64_t now)
{
    ch_log(manager->node->client, CH_LOG_INFO, event,
           CH_F_STR("upstream", g_quark_to_string(upstream->name)),
           CH_F_NUM("per_s", upstream->state.last.per_s),
           CH_F_INT("during_ms", (now - calls->since) / 1000),
           CH_F_INT("requests", calls->counts[CH_LIMITED_REQUEST]),
           CH_F_INT("reports", calls->counts[CH_LIMITED_REPORT]),
           CH_F_INT("orders", calls->counts[CH_LIMITED_ORDER]), CH_F_END);
}

/* Logs and counts a change of a limit. per_s: the value before a revision.
 * Lock held. */
static void
note_change(struct ch_limit_manager *manager,
            struct limited_upstream *upstream, enum ch_limit_change change,
            const char *source, int64_t now)
{
    const struct call_counts none = {.since = now};
    switch (change) {
    case CH_LIMIT_SET:
        upstream->total = none;
        upstream->window = none;
        count_event(manager, CH_COUNT_LIMITS_HEARD);
        break;
    case CH_LIMIT_REVISED:
        break;
    case CH_LIMIT_LIFTED:
        count_event(manager, CH_COUNT_LIMITS_LIFTED);
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

/* The upstream, added if it is not known yet. Lock held. */
static struct limited_upstream *
find_or_add(struct ch_limit_manager *manager, GQuark name, int64_t now)
{
    struct limited_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    if (upstream == NULL) {
        g_hash_table_foreach_remove(manager->upstreams, is_forgotten, &now);
        upstream = g_new0(struct limited_upstream, 1);
        upstream->name = name;
        g_hash_table_insert(manager->upstreams, GUINT_TO_POINTER(name),
                            upstream);
    }
    return upstream;
}

/* The upstream if it has a limit, else NULL. Lock held. */
static struct limited_upstream *
find_limited(struct ch_limit_manager *manager, GQuark name)
{
    struct limited_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    return upstream != NULL && ch_limit_state_is_limited(&upstream->state)
               ? upstream
               : NULL;
}

/* Takes over an observation; source: "response", or the node that told it.
 * Lock held. */
static void
observe(struct ch_limit_manager *manager, struct limited_upstream *upstream,
        const struct ch_limit_observation *observation, const char *source,
        int64_t now)
{
    if (observation->sent_at < upstream->boot_changed_at) {
        return;
    }
    upstream->last_observed_at = now;
    note_change(manager, upstream,
                ch_limit_state_observe(&upstream->state, observation), source,
                now);
}

/* Handles what a response says; on the HTTP loop's thread. */
static void
handle_reading(void *data, GQuark name, const struct ch_limit_reading *reading,
               bool succeeded, int64_t sent_at)
{
    struct ch_limit_manager *manager = data;
    int64_t now = ch_client_get_time(manager->node->client);
    if (reading->kind == CH_LIMIT_UNREADABLE) {
        ch_log(manager->node->client, CH_LOG_WARNING,
               "upstream-limit-unreadable",
               CH_F_STR("upstream", g_quark_to_string(name)), CH_F_END);
        return;
    }
    const struct ch_limit_observation observation = {
        .named = reading->kind == CH_LIMIT_NAMED,
        .per_s = reading->per_s,
        .sent_at = sent_at,
        .received_at = now,
    };
    pthread_mutex_lock(&manager->lock);
    struct limited_upstream *upstream = observation.named
                                            ? find_or_add(manager, name, now)
                                            : find_limited(manager, name);
    if (upstream != NULL && (observation.named || succeeded)) {
        observe(manager, upstream, &observation, "response", now);
    }
    pthread_mutex_unlock(&manager->lock);
}

/* See limit_manager.h. */
struct ch_limit_listener
ch_limit_manager_get_listener(struct ch_limit_manager *manager,
                              GQuark upstream)
{
    return (struct ch_limit_listener){handle_reading, manager, upstream};
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

/* See limit_manager.h. */
void
ch_limit_manager_count_call(struct ch_limit_manager *manager, GQuark name,
                            enum ch_limited_call kind)
{
    static const enum ch_counter counters[CH_LIMITED_CALLS] = {
        [CH_LIMITED_REQUEST] = CH_COUNT_LIMITED_REQUESTS,
        [CH_LIMITED_REPORT] = CH_COUNT_LIMITED_REPORTS,
        [CH_LIMITED_ORDER] = CH_COUNT_LIMITED_ORDERS,
    };
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    struct limited_upstream *upstream = find_limited(manager, name);
    if (upstream != NULL) {
        if (now - upstream->window.since >= LOG_WINDOW_US) {
            log_calls(manager, "upstream-limited-calls", upstream,
                      &upstream->window, now);
            upstream->window = (struct call_counts){.since = now};
        }
        upstream->total.counts[kind]++;
        upstream->window.counts[kind]++;
        count_event(manager, counters[kind]);
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

/* Frees the manager, which may be NULL, after the threads have ended. */
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
