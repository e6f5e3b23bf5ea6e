/* The upstreams that drain, or asked this node to wait, as it knows them. */

#include "notices/notices_internal.h"

#include <string.h>

enum {
    /* An upstream without a notice, a call or an update for this long is
     * forgotten. */
    FORGET_US = 10 * 60 * G_USEC_PER_SEC,
    /* Upstreams are forgotten once so many are known. */
    MAX_UPSTREAMS = 8192,
    TICK_US = 500 * 1000,
    /* Responses state times in milliseconds. */
    MIN_RETRY_AFTER_US = 10 * 1000,
};

static void
count_event(const struct ch_notices *notices, enum ch_counter counter)
{
    if (notices->client->metrics != NULL) {
        ch_metrics_add_count(notices->client->metrics, counter, 1);
    }
}

/* ---- upstreams ---- */

/* For g_hash_table_foreach_remove(). */
static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const struct notices_upstream *upstream = value;
    const int64_t *now = data;
    return *now - upstream->last_used_at > FORGET_US &&
           *now > upstream->state.wait_until;
}

/* See notices_internal.h. */
struct notices_upstream *
notices_find_or_add(struct ch_notices *notices, GQuark name, GQuark region,
                    int64_t now)
{
    struct notices_upstream *upstream =
        g_hash_table_lookup(notices->upstreams, GUINT_TO_POINTER(name));
    if (upstream == NULL) {
        if (g_hash_table_size(notices->upstreams) >= MAX_UPSTREAMS) {
            g_hash_table_foreach_remove(notices->upstreams, is_forgotten,
                                        &now);
        }
        upstream = g_new0(struct notices_upstream, 1);
        upstream->name = name;
        g_hash_table_insert(notices->upstreams, GUINT_TO_POINTER(name),
                            upstream);
    }
    if (region != 0) {
        upstream->region = region;
    }
    upstream->last_used_at = now;
    return upstream;
}

/* See notices_internal.h. */
struct notices_upstream *
notices_find(const struct ch_notices *notices, GQuark name)
{
    return g_hash_table_lookup(notices->upstreams, GUINT_TO_POINTER(name));
}

/* See notices_internal.h. */
void
notices_note_drain(const struct ch_notices *notices,
                   struct notices_upstream *upstream, const char *source)
{
    memset(upstream->calls, 0, sizeof(upstream->calls));
    count_event(notices, CH_COUNT_DRAINS_HEARD);
    ch_log(notices->client, CH_LOG_NOTICE, "upstream-drains",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)),
           CH_F_INT("boot", (int64_t)upstream->state.draining_boot),
           CH_F_STR("heard_from", source), CH_F_END);
}

/* Logs and counts that an upstream asked this node to wait. Lock held. */
static void
note_wait(const struct ch_notices *notices, struct notices_upstream *upstream)
{
    const struct ch_notice_state *state = &upstream->state;
    memset(upstream->calls, 0, sizeof(upstream->calls));
    count_event(notices, CH_COUNT_WAITS_HEARD);
    ch_log(
        notices->client, CH_LOG_NOTICE, "upstream-asks-to-wait",
        CH_F_STR("upstream", g_quark_to_string(upstream->name)),
        CH_F_INT("wait_ms", (state->wait_until - state->wait_begun_at) / 1000),
        CH_F_END);
}

/* Tells other nodes of a drain, and this one's handler; on a pool worker. */
struct drain_job {
    struct ch_notices *notices;
    GQuark upstream;
};

static void
run_drain(void *data)
{
    struct drain_job *job = data;
    notices_tell_drain(job->notices, job->upstream);
    notices_report_drain(job->notices);
    g_free(job);
}

static void
submit_drain(struct ch_notices *notices, GQuark upstream)
{
    struct drain_job *job = g_new(struct drain_job, 1);
    *job = (struct drain_job){notices, upstream};
    ch_pool_submit(notices->pool, run_drain, job);
}

/* See notices_internal.h. */
void
notices_report_drain(struct ch_notices *notices)
{
    if (notices->handle_drain != NULL) {
        notices->handle_drain(notices->handler_data);
    }
}

/* See notices.h. */
void
ch_notices_set_drain_handler(struct ch_notices *notices,
                             void (*handle)(void *data), void *data)
{
    if (notices != NULL) {
        notices->handle_drain = handle;
        notices->handler_data = data;
    }
}

/* See notices.h. */
void
ch_notices_update_upstream(struct ch_notices *notices, GQuark name,
                           GQuark region, uint64_t boot_id)
{
    if (notices == NULL) {
        return;
    }
    int64_t now = ch_client_get_time(notices->client);
    pthread_mutex_lock(&notices->lock);
    struct notices_upstream *upstream =
        notices_find_or_add(notices, name, region, now);
    ch_notice_state_set_boot(&upstream->state, boot_id, now);
    pthread_mutex_unlock(&notices->lock);
}

/* See notices.h. */
void
ch_notices_observe(struct ch_notices *notices, GQuark name, GQuark region,
                   const struct ch_notice *notice, int64_t sent_at)
{
    if (notices == NULL || ch_notice_is_empty(notice)) {
        return;
    }
    if (notice->unreadable) {
        ch_log(notices->client, CH_LOG_WARNING, "retry-after-unreadable",
               CH_F_STR("upstream", g_quark_to_string(name)), CH_F_END);
    }
    int64_t now = ch_client_get_time(notices->client);
    pthread_mutex_lock(&notices->lock);
    struct notices_upstream *upstream =
        notices_find_or_add(notices, name, region, now);
    unsigned changes =
        ch_notice_state_observe(&upstream->state, notice, sent_at, now);
    if ((changes & CH_NOTICE_DRAINS) != 0) {
        notices_note_drain(notices, upstream, "response");
    }
    if ((changes & CH_NOTICE_WAITS) != 0) {
        note_wait(notices, upstream);
    }
    pthread_mutex_unlock(&notices->lock);
    if ((changes & CH_NOTICE_DRAINS) != 0) {
        submit_drain(notices, name);
    }
}

static void
handle_notice(const struct ch_notice_listener *listener,
              const struct ch_notice *notice, int64_t sent_at)
{
    ch_notices_observe(listener->data, listener->upstream, listener->region,
                       notice, sent_at);
}

/* See notices.h. */
struct ch_notice_listener
ch_notices_get_listener(struct ch_notices *notices, GQuark upstream,
                        GQuark region)
{
    return (struct ch_notice_listener){handle_notice, notices, upstream,
                                       region};
}

/* See notices.h. */
bool
ch_notices_is_draining(struct ch_notices *notices, GQuark name,
                       uint64_t boot_id)
{
    if (notices == NULL) {
        return false;
    }
    int64_t now = ch_client_get_time(notices->client);
    pthread_mutex_lock(&notices->lock);
    const struct notices_upstream *upstream = notices_find(notices, name);
    bool draining = upstream != NULL && ch_notice_state_is_draining(
                                            &upstream->state, boot_id, now);
    pthread_mutex_unlock(&notices->lock);
    return draining;
}

/* A time to return that is up to a fifth later, so that the callers of all
 * nodes do not come back at the same moment. */
static int64_t
spread(int64_t wait)
{
    return wait == 0 ? 0
                     : MAX(wait, MIN_RETRY_AFTER_US) +
                           (int64_t)((double)wait * g_random_double() / 5);
}

/* See notices.h. */
enum ch_notices_answer
ch_notices_may_call(struct ch_notices *notices, GQuark name,
                    int64_t *retry_after)
{
    enum ch_notices_answer answer = CH_NOTICES_MAY_CALL;
    *retry_after = 0;
    if (notices == NULL) {
        return answer;
    }
    int64_t now = ch_client_get_time(notices->client);
    pthread_mutex_lock(&notices->lock);
    struct notices_upstream *upstream = notices_find(notices, name);
    if (upstream != NULL) {
        struct ch_notice_state *state = &upstream->state;
        if (ch_notice_state_is_draining(state, state->boot_id, now)) {
            answer = CH_NOTICES_DRAINS;
        }
        else {
            int64_t wait = ch_notice_state_take(state, now);
            *retry_after = spread(wait);
            answer = wait > 0 ? CH_NOTICES_WAITS : CH_NOTICES_MAY_CALL;
        }
    }
    pthread_mutex_unlock(&notices->lock);
    return answer;
}

/* See notices.h. */
int64_t
ch_notices_get_wait(struct ch_notices *notices, GQuark name)
{
    int64_t wait = 0;
    if (notices == NULL) {
        return wait;
    }
    int64_t now = ch_client_get_time(notices->client);
    pthread_mutex_lock(&notices->lock);
    const struct notices_upstream *upstream = notices_find(notices, name);
    if (upstream != NULL &&
        ch_notice_state_is_waiting(&upstream->state, now)) {
        wait = upstream->state.wait_until - now;
    }
    pthread_mutex_unlock(&notices->lock);
    return wait;
}

/* See notices.h. */
void
ch_notices_count_call(struct ch_notices *notices, GQuark name,
                      enum ch_notices_call kind)
{
    if (notices == NULL) {
        return;
    }
    int64_t now = ch_client_get_time(notices->client);
    pthread_mutex_lock(&notices->lock);
    struct notices_upstream *upstream = notices_find(notices, name);
    if (upstream != NULL) {
        const struct ch_notice_state *state = &upstream->state;
        upstream->last_used_at = now;
        upstream->calls[kind]++;
        if (ch_notice_state_is_draining(state, state->boot_id, now)) {
            count_event(notices, CH_COUNT_CALLS_AFTER_DRAIN);
        }
        if (ch_notice_state_is_waiting(state, now)) {
            count_event(notices, CH_COUNT_CALLS_IN_WAIT);
        }
    }
    pthread_mutex_unlock(&notices->lock);
}

/* ---- the tick ---- */

/* Logs the calls in a wait that is over. Lock held. */
static void
end_wait(const struct ch_notices *notices, struct notices_upstream *upstream,
         int64_t now)
{
    struct ch_notice_state *state = &upstream->state;
    if (state->wait_begun_at == 0 || ch_notice_state_is_waiting(state, now)) {
        return;
    }
    state->wait_begun_at = 0;
    ch_log(notices->client, CH_LOG_INFO, "upstream-wait-ended",
           CH_F_STR("upstream", g_quark_to_string(upstream->name)),
           CH_F_INT("requests", upstream->calls[CH_NOTICES_REQUEST]),
           CH_F_INT("reports", upstream->calls[CH_NOTICES_REPORT]),
           CH_F_INT("orders", upstream->calls[CH_NOTICES_ORDER]), CH_F_END);
}

static void
tick(void *data)
{
    struct ch_notices *notices = data;
    int64_t now = ch_client_get_time(notices->client);
    GHashTableIter iterator;
    gpointer value = NULL;
    pthread_mutex_lock(&notices->lock);
    g_hash_table_iter_init(&iterator, notices->upstreams);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        end_wait(notices, value, now);
    }
    if (!notices->stopped) {
        ch_timers_add(notices->timers, TICK_US, tick, notices);
    }
    pthread_mutex_unlock(&notices->lock);
    notices_refresh_drains(notices);
}

/* ---- status ---- */

static void
write_upstream(const struct notices_upstream *upstream, int64_t now,
               JsonBuilder *builder)
{
    const struct ch_notice_state *state = &upstream->state;
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "upstream");
    json_builder_add_string_value(builder, g_quark_to_string(upstream->name));
    json_builder_set_member_name(builder, "draining");
    json_builder_add_boolean_value(
        builder, ch_notice_state_is_draining(state, state->boot_id, now));
    json_builder_set_member_name(builder, "wait_ms");
    json_builder_add_int_value(builder,
                               MAX(state->wait_until - now, 0) / 1000);
    json_builder_end_object(builder);
}

/* See notices.h. */
void
ch_notices_write_status(struct ch_notices *notices, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "notices");
    json_builder_begin_array(builder);
    if (notices != NULL) {
        int64_t now = ch_client_get_time(notices->client);
        GHashTableIter iterator;
        gpointer value = NULL;
        pthread_mutex_lock(&notices->lock);
        g_hash_table_iter_init(&iterator, notices->upstreams);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            const struct notices_upstream *upstream = value;
            const struct ch_notice_state *state = &upstream->state;
            if (ch_notice_state_is_waiting(state, now) ||
                ch_notice_state_is_draining(state, state->boot_id, now)) {
                write_upstream(upstream, now, builder);
            }
        }
        pthread_mutex_unlock(&notices->lock);
    }
    json_builder_end_array(builder);
}

/* ---- lifetime ---- */

/* See notices.h. */
struct ch_notices *
ch_notices_new(struct ch_client *client, struct ch_pool *pool,
               struct ch_timers *timers, const struct ch_notices_peers *peers)
{
    struct ch_notices *notices = g_new0(struct ch_notices, 1);
    notices->client = client;
    notices->pool = pool;
    notices->timers = timers;
    notices->peers = *peers;
    notices->upstreams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    pthread_mutex_init(&notices->lock, NULL);
    return notices;
}

/* See notices.h. */
void
ch_notices_start(struct ch_notices *notices)
{
    ch_timers_add(notices->timers, TICK_US, tick, notices);
}

/* See notices.h. */
void
ch_notices_stop(struct ch_notices *notices)
{
    pthread_mutex_lock(&notices->lock);
    notices->stopped = true;
    pthread_mutex_unlock(&notices->lock);
}

/* See notices.h. */
void
ch_notices_free(struct ch_notices *notices)
{
    if (notices == NULL) {
        return;
    }
    g_hash_table_destroy(notices->upstreams);
    pthread_mutex_destroy(&notices->lock);
    g_free(notices);
}
