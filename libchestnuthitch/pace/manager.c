/* The load and the pace of the upstreams, as this node knows them. */

#include "pace/pace_internal.h"

#include <math.h>

enum {
    /* Lines on the usual pace of an upstream are at least this far apart. */
    MIN_LOG_DISTANCE_US = 10 * 1000 * 1000,
};

/* A usual pace that differs by more than this part of it is logged. */
static const double LOGGED_CHANGE = 0.5;

/* See pace_internal.h. */
void
pace_count(const struct ch_pace *pace, enum ch_counter counter, uint64_t by)
{
    if (pace->client->metrics != NULL && by > 0) {
        ch_metrics_add_count(pace->client->metrics, counter, by);
    }
}

/* ---- reports to the handler ---- */

/* Reports the states of all queued upstreams; on a pool worker. */
static void
run_reports(void *data)
{
    struct ch_pace *pace = data;
    pthread_mutex_lock(&pace->lock);
    while (!g_queue_is_empty(&pace->report_queue)) {
        GQuark name = GPOINTER_TO_UINT(g_queue_pop_head(&pace->report_queue));
        struct pace_upstream *upstream =
            g_hash_table_lookup(pace->upstreams, GUINT_TO_POINTER(name));
        if (upstream == NULL || !upstream->is_report_due) {
            continue;
        }
        upstream->is_report_due = false;
        const struct ch_pace_state state = upstream->state;
        pthread_mutex_unlock(&pace->lock);
        pace->handle(pace->handler_data, name, &state);
        pthread_mutex_lock(&pace->lock);
    }
    pace->is_reporting = false;
    pthread_mutex_unlock(&pace->lock);
}

/* Queues a report of an upstream's state; several readings in short succession
 * make one. Lock held. */
static void
queue_report(struct ch_pace *pace, struct pace_upstream *upstream)
{
    if (pace->handle == NULL || pace->stopped || upstream->is_report_due) {
        return;
    }
    upstream->is_report_due = true;
    g_queue_push_tail(&pace->report_queue, GUINT_TO_POINTER(upstream->name));
    if (!pace->is_reporting) {
        pace->is_reporting = true;
        ch_pool_submit(pace->pool, run_reports, pace);
    }
}

/* ---- readings ---- */

/* Logs that an upstream begins to state its pace, and that its usual pace has
 * changed much. Lock held. */
static void
log_changes(const struct ch_pace *pace, struct pace_upstream *upstream,
            const char *source, int64_t now)
{
    const char *name = g_quark_to_string(upstream->name);
    if (!upstream->is_stating) {
        upstream->is_stating = true;
        ch_log(pace->client, CH_LOG_INFO, "pace-stated",
               CH_F_STR("upstream", name),
               CH_F_INT("percent", upstream->state.last.percent),
               CH_F_STR("heard_from", source), CH_F_END);
    }
    /* The mean of a few samples changes much by chance. */
    if (upstream->state.sample_count < CH_PACE_SAMPLES ||
        (upstream->logged_usual > 0 &&
         now - upstream->logged_at < MIN_LOG_DISTANCE_US)) {
        return;
    }
    double usual = ch_pace_state_get_usual(&upstream->state);
    double before = upstream->logged_usual;
    if (before > 0 && fabs(usual - before) <= before * LOGGED_CHANGE) {
        return;
    }
    upstream->logged_usual = usual;
    upstream->logged_at = now;
    if (before > 0) {
        ch_log(pace->client, CH_LOG_NOTICE, "usual-pace-changed",
               CH_F_STR("upstream", name), CH_F_NUM("before", before),
               CH_F_NUM("now", usual), CH_F_END);
    }
}

/* See pace_internal.h. */
void
pace_take_over(struct ch_pace *pace, struct pace_upstream *upstream,
               const struct ch_pace_reading *reading, int64_t at,
               enum pace_origin origin, const char *source)
{
    if (!ch_pace_state_observe(&upstream->state, reading, at) ||
        reading->percent == 0) {
        return;
    }
    upstream->origin = origin;
    log_changes(pace, upstream, source, at);
    queue_report(pace, upstream);
    pace_schedule_tick(pace);
}

/* Handles the header of one response; NULL: it has none. */
static void
handle_text(const struct ch_pace_listener *listener, const char *text)
{
    struct ch_pace *pace = listener->data;
    struct ch_pace_reading reading;
    switch (ch_pace_read(text, &reading)) {
    case CH_PACE_ABSENT:
        return;
    case CH_PACE_UNREADABLE:
        pace_count(pace, CH_COUNT_PACE_UNREADABLE, 1);
        return;
    case CH_PACE_STATED:
        break;
    }
    pace_count(pace, CH_COUNT_PACE_READ, 1);
    int64_t now = ch_client_get_time(pace->client);
    pthread_mutex_lock(&pace->lock);
    struct pace_upstream *upstream = g_hash_table_lookup(
        pace->upstreams, GUINT_TO_POINTER(listener->upstream));
    if (upstream != NULL) {
        pace_take_over(pace, upstream, &reading, now, PACE_ORIGIN_RESPONSE,
                       "response");
    }
    pthread_mutex_unlock(&pace->lock);
}

/* See pace.h. */
struct ch_pace_listener
ch_pace_get_listener(struct ch_pace *pace, GQuark upstream)
{
    return (struct ch_pace_listener){
        .handle = pace == NULL ? NULL : handle_text,
        .data = pace,
        .upstream = upstream,
    };
}

/* See pace.h. */
void
ch_pace_set_handler(struct ch_pace *pace,
                    void (*handle)(void *data, GQuark upstream,
                                   const struct ch_pace_state *state),
                    void *data)
{
    if (pace != NULL) {
        pace->handle = handle;
        pace->handler_data = data;
    }
}

/* See pace.h. */
double
ch_pace_get_usual(struct ch_pace *pace, GQuark name)
{
    if (pace == NULL) {
        return 1;
    }
    pthread_mutex_lock(&pace->lock);
    const struct pace_upstream *upstream =
        g_hash_table_lookup(pace->upstreams, GUINT_TO_POINTER(name));
    double usual =
        upstream == NULL ? 1 : ch_pace_state_get_usual(&upstream->state);
    pthread_mutex_unlock(&pace->lock);
    return usual;
}

/* ---- the listed upstreams ---- */

static void
add_upstream(struct ch_pace *pace, GQuark name, uint64_t boot_id)
{
    struct pace_upstream *upstream = g_new0(struct pace_upstream, 1);
    upstream->name = name;
    upstream->hash = ch_hash_string(g_quark_to_string(name));
    upstream->boot_id = boot_id;
    g_hash_table_insert(pace->upstreams, GUINT_TO_POINTER(name), upstream);
    g_hash_table_replace(pace->by_hash, &upstream->hash, upstream);
}

/* Clears what is known, since another process is listed. The handler is told
 * also: a report of the earlier process may be on its way. Lock held. */
static void
clear_upstream(struct ch_pace *pace, struct pace_upstream *upstream)
{
    bool has_stated = upstream->is_stating;
    upstream->state = (struct ch_pace_state){0};
    upstream->cleared_at = ch_client_get_time(pace->client);
    upstream->is_stating = false;
    upstream->logged_usual = 0;
    if (has_stated) {
        queue_report(pace, upstream);
    }
}

/* See pace.h. */
void
ch_pace_update_upstream(struct ch_pace *pace, GQuark name, uint64_t boot_id)
{
    if (pace == NULL) {
        return;
    }
    pthread_mutex_lock(&pace->lock);
    struct pace_upstream *upstream =
        g_hash_table_lookup(pace->upstreams, GUINT_TO_POINTER(name));
    if (upstream == NULL) {
        add_upstream(pace, name, boot_id);
    }
    else if (upstream->boot_id != boot_id) {
        upstream->boot_id = boot_id;
        clear_upstream(pace, upstream);
    }
    pthread_mutex_unlock(&pace->lock);
}

/* See pace.h. */
void
ch_pace_forget(struct ch_pace *pace, GQuark name)
{
    if (pace == NULL) {
        return;
    }
    pthread_mutex_lock(&pace->lock);
    const struct pace_upstream *upstream =
        g_hash_table_lookup(pace->upstreams, GUINT_TO_POINTER(name));
    if (upstream != NULL) {
        if (g_hash_table_lookup(pace->by_hash, &upstream->hash) == upstream) {
            g_hash_table_remove(pace->by_hash, &upstream->hash);
        }
        g_hash_table_remove(pace->upstreams, GUINT_TO_POINTER(name));
    }
    pthread_mutex_unlock(&pace->lock);
}

/* ---- status ---- */

static void
write_number(JsonBuilder *builder, const char *name, int64_t number)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, number);
}

static void
write_upstream(const struct pace_upstream *upstream, int64_t now,
               JsonBuilder *builder)
{
    const struct ch_pace_state *state = &upstream->state;
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "upstream");
    json_builder_add_string_value(builder, g_quark_to_string(upstream->name));
    write_number(builder, "running", state->last.running);
    write_number(builder, "waiting", state->last.waiting);
    write_number(builder, "slots", state->last.slots);
    write_number(builder, "age_ms", MAX(now - state->last_at, 0) / 1000);
    if (state->last.percent > 0) {
        write_number(builder, "percent", state->last.percent);
        json_builder_set_member_name(builder, "usual");
        json_builder_add_double_value(builder, ch_pace_state_get_usual(state));
        json_builder_set_member_name(builder, "expected");
        json_builder_add_double_value(builder,
                                      ch_pace_state_expect(state, now));
    }
    json_builder_end_object(builder);
}

/* See pace.h. */
void
ch_pace_write_status(struct ch_pace *pace, JsonBuilder *builder)
{
    json_builder_set_member_name(builder, "pace");
    json_builder_begin_array(builder);
    if (pace != NULL) {
        int64_t now = ch_client_get_time(pace->client);
        GHashTableIter iterator;
        gpointer value = NULL;
        pthread_mutex_lock(&pace->lock);
        g_hash_table_iter_init(&iterator, pace->upstreams);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            const struct pace_upstream *upstream = value;
            if (upstream->state.last_at != 0) {
                write_upstream(upstream, now, builder);
            }
        }
        pthread_mutex_unlock(&pace->lock);
    }
    json_builder_end_array(builder);
}

/* ---- lifetime ---- */

/* See pace.h. */
struct ch_pace *
ch_pace_new(struct ch_client *client, struct ch_pool *pool,
            struct ch_timers *timers, const struct ch_pace_peers *peers)
{
    struct ch_pace *pace = g_new0(struct ch_pace, 1);
    pace->client = client;
    pace->pool = pool;
    pace->timers = timers;
    pace->peers = *peers;
    pace->stopped = true;
    pace->upstreams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    pace->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    pace->neighbours = g_ptr_array_new();
    g_queue_init(&pace->report_queue);
    pthread_mutex_init(&pace->lock, NULL);
    return pace;
}

/* See pace.h. */
void
ch_pace_start(struct ch_pace *pace)
{
    if (pace != NULL) {
        pthread_mutex_lock(&pace->lock);
        pace->stopped = false;
        pthread_mutex_unlock(&pace->lock);
    }
}

/* See pace.h. */
void
ch_pace_stop(struct ch_pace *pace)
{
    if (pace != NULL) {
        pthread_mutex_lock(&pace->lock);
        pace->stopped = true;
        pthread_mutex_unlock(&pace->lock);
    }
}

/* See pace.h. */
void
ch_pace_free(struct ch_pace *pace)
{
    if (pace == NULL) {
        return;
    }
    g_queue_clear(&pace->report_queue);
    g_hash_table_destroy(pace->by_hash);
    g_hash_table_destroy(pace->upstreams);
    g_ptr_array_free(pace->neighbours, TRUE);
    pthread_mutex_destroy(&pace->lock);
    g_free(pace);
}
