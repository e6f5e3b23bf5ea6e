/* The paths to upstreams, as this node knows them. */

#include "node/path_internal.h"

#include <string.h>

enum {
    TICK_US = 100 * 1000,
    /* Between two probes of one upstream for calls that went silent. */
    SILENCE_PROBE_PERIOD_US = 1000 * 1000,
    /* A node that is cut off tells all others this often, and learns from
     * their answers which of them relay calls. */
    PING_PERIOD_US = 2 * 1000 * 1000,
};

/* See path_internal.h. */
void
path_manager_count(const struct ch_path_manager *manager,
                   enum ch_counter counter)
{
    if (manager->node->client->metrics != NULL) {
        ch_metrics_add_count(manager->node->client->metrics, counter, 1);
    }
}

/* ---- logs ---- */

static const char *
get_evidence_name(enum ch_path_evidence evidence)
{
    static const char *const names[] = {
        [CH_PATH_CONNECTED] = "connected",
        [CH_PATH_TIMED_OUT] = "timed-out",
        [CH_PATH_REFUSED] = "refused",
    };
    return names[evidence];
}

static const char *
get_state_name(enum ch_path_state state)
{
    static const char *const names[] = {
        [CH_PATH_OPEN] = "open",
        [CH_PATH_DOUBTFUL] = "doubtful",
        [CH_PATH_LOST] = "lost",
        [CH_PATH_DOWN] = "upstream-down",
    };
    return names[state];
}

static void
count_state(void *data, const struct ch_path_info *info)
{
    unsigned *counts = data;
    counts[info->state]++;
}

/* Logs that the node was cut off from the upstreams, or that it is no more.
 * Lock held. */
static void
log_cut(const struct ch_path_manager *manager, enum ch_path_change change,
        int64_t since, int64_t now)
{
    unsigned counts[CH_PATH_DOWN + 1] = {0};
    ch_path_tracker_foreach(manager->tracker, count_state, counts);
    ch_log(manager->node->client, CH_LOG_WARNING,
           change == CH_PATH_CUT_BEGAN ? "cut-off-from-upstreams"
                                       : "upstreams-reached-again",
           CH_F_INT("for_ms", (now - since) / 1000),
           CH_F_INT("lost", counts[CH_PATH_LOST]),
           CH_F_INT("doubtful", counts[CH_PATH_DOUBTFUL]),
           CH_F_INT("down", counts[CH_PATH_DOWN]), CH_F_END);
}

/* Logs the change of one path. Lock held. */
static void
log_path(const struct ch_path_manager *manager, GQuark upstream,
         enum ch_path_state state, const char *evidence)
{
    ch_log(manager->node->client, CH_LOG_NOTICE, "path",
           CH_F_STR("upstream", g_quark_to_string(upstream)),
           CH_F_STR("state", get_state_name(state)),
           CH_F_STR("evidence", evidence), CH_F_END);
}

/* ---- changes ---- */

static void tick(void *data);

/* Starts the periodic work if it does not run. Lock held. */
static void
start_ticking(struct ch_path_manager *manager)
{
    if (!manager->ticking && !manager->stopped) {
        manager->ticking = true;
        ch_timers_add(manager->node->timers, TICK_US, tick, manager);
    }
}

/* A question to other nodes, on a pool worker. */
struct ask_job {
    struct ch_path_manager *manager;
    GQuark upstream;
};

static void
run_ask(void *data)
{
    struct ask_job *job = data;
    path_probe_ask(job->manager, job->upstream);
    g_free(job);
}

/* Lock held. */
static void
submit_ask(struct ch_path_manager *manager, GQuark upstream)
{
    struct ask_job *job = g_new(struct ask_job, 1);
    *job = (struct ask_job){manager, upstream};
    ch_pool_submit(manager->node->pool, run_ask, job);
}

/* Tells the other nodes whether this one is cut off; on a pool worker. */
static void
tell_others(void *data)
{
    struct ch_path_manager *manager = data;
    struct ch_peers *peers = manager->node->peers;
    ch_peers_set_no_path(peers, ch_path_manager_get_cut_since(manager) != 0);
    ch_peers_ping_all(peers);
}

/* Logs and counts what has changed. Lock held. */
static void
note_change(struct ch_path_manager *manager, GQuark upstream,
            enum ch_path_state before, enum ch_path_change change,
            int64_t cut_since, const char *evidence)
{
    int64_t now = ch_client_get_time(manager->node->client);
    enum ch_path_state after =
        ch_path_tracker_get_state(manager->tracker, upstream);
    if (after != before) {
        log_path(manager, upstream, after, evidence);
        if (after == CH_PATH_LOST) {
            path_manager_count(manager, CH_COUNT_PATH_LOST);
        }
    }
    if (change == CH_PATH_CUT_BEGAN) {
        path_manager_count(manager, CH_COUNT_PATH_CUTS);
        cut_since = ch_path_tracker_get_cut_since(manager->tracker);
    }
    if (change != CH_PATH_UNCHANGED) {
        log_cut(manager, change, cut_since, now);
        manager->pinged_at = now;
        ch_pool_submit(manager->node->pool, tell_others, manager);
    }
    if (after != CH_PATH_OPEN) {
        start_ticking(manager);
    }
}

/* See path_internal.h. */
void
path_manager_record(struct ch_path_manager *manager,
                    const struct ch_path_sample *sample)
{
    GQuark upstream = sample->upstream;
    pthread_mutex_lock(&manager->lock);
    enum ch_path_state before =
        ch_path_tracker_get_state(manager->tracker, upstream);
    int64_t cut_since = ch_path_tracker_get_cut_since(manager->tracker);
    enum ch_path_change change =
        ch_path_tracker_record(manager->tracker, sample);
    note_change(manager, upstream, before, change, cut_since,
                get_evidence_name(sample->evidence));
    if (ch_path_tracker_needs_view(manager->tracker, upstream,
                                   sample->ended_at)) {
        submit_ask(manager, upstream);
    }
    pthread_mutex_unlock(&manager->lock);
}

/* See path_internal.h. */
void
path_manager_record_view(struct ch_path_manager *manager, GQuark upstream,
                         enum path_view view, const char *from)
{
    if (view == PATH_VIEW_UNKNOWN) {
        return;
    }
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    enum ch_path_state before =
        ch_path_tracker_get_state(manager->tracker, upstream);
    int64_t cut_since = ch_path_tracker_get_cut_since(manager->tracker);
    enum ch_path_change change = ch_path_tracker_record_view(
        manager->tracker, upstream, view == PATH_VIEW_REACHED, now);
    note_change(manager, upstream, before, change, cut_since, from);
    pthread_mutex_unlock(&manager->lock);
}

/* ---- calls ---- */

/* See path_internal.h. */
bool
path_manager_read_result(const struct ch_http_result *result, GQuark upstream,
                         int64_t now, struct ch_path_sample *sample)
{
    *sample = (struct ch_path_sample){
        .upstream = upstream,
        .started_at = result->started_at,
        .ended_at = now,
    };
    if (result->connected_at != 0) {
        sample->evidence = CH_PATH_CONNECTED;
        sample->ended_at = result->connected_at;
        return true;
    }
    if (result->connection_refused) {
        sample->evidence = CH_PATH_REFUSED;
        return true;
    }
    sample->evidence = CH_PATH_TIMED_OUT;
    return result->code == CH_UPSTREAM_CONNECT && !result->sent &&
           result->started_at != 0;
}

/* Whether a call on a kept connection ended such that the path is in doubt. */
static bool
is_doubtful_end(const struct ch_http_result *result)
{
    return result->sent && (result->code == CH_UPSTREAM_STALLED ||
                            result->code == CH_UPSTREAM_CUT);
}

/* Whether a new connection is to tell if the path is there, after a call went
 * silent or was cut. Lock held. */
static bool
needs_silence_probe(struct ch_path_manager *manager, GQuark name, int64_t now)
{
    struct path_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    bool needed =
        upstream != NULL && !manager->stopped &&
        now - upstream->probed_at > SILENCE_PROBE_PERIOD_US &&
        now - ch_path_tracker_get_connected_at(manager->tracker, name) >
            SILENCE_PROBE_PERIOD_US &&
        ch_path_tracker_get_state(manager->tracker, name) == CH_PATH_OPEN;
    if (needed) {
        upstream->probed_at = now;
    }
    return needed;
}

/* See path_manager.h. */
void
ch_path_manager_record_result(struct ch_path_manager *manager, GQuark upstream,
                              const struct ch_http_result *result)
{
    int64_t now = ch_client_get_time(manager->node->client);
    struct ch_path_sample sample;
    if (path_manager_read_result(result, upstream, now, &sample)) {
        path_manager_record(manager, &sample);
    }
}

/* Handles the end of a call; on the HTTP loop's thread. */
static void
handle_call_end(const struct ch_path_listener *listener,
                const struct ch_http_result *result)
{
    struct ch_path_manager *manager = listener->data;
    ch_path_manager_record_result(manager, listener->upstream, result);
    if (!is_doubtful_end(result)) {
        return;
    }
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    bool probes = needs_silence_probe(manager, listener->upstream, now);
    pthread_mutex_unlock(&manager->lock);
    if (probes) {
        path_probe_open(manager, listener->upstream);
    }
}

/* See path_manager.h. */
struct ch_path_listener
ch_path_manager_get_listener(struct ch_path_manager *manager,
                             const struct ch_host *host)
{
    GQuark name = g_quark_from_string(host->name);
    if (manager == NULL) {
        return (struct ch_path_listener){.upstream = name};
    }
    struct path_upstream *upstream = g_new0(struct path_upstream, 1);
    g_strlcpy(upstream->address, host->address, sizeof(upstream->address));
    upstream->region = g_quark_from_string(host->region);
    upstream->data_centre = g_quark_from_string(host->data_centre);
    upstream->draining = host->draining;
    pthread_mutex_lock(&manager->lock);
    g_hash_table_replace(manager->upstreams, GUINT_TO_POINTER(name), upstream);
    pthread_mutex_unlock(&manager->lock);
    return (struct ch_path_listener){handle_call_end, manager, name};
}

/* See path_manager.h. */
void
ch_path_manager_forget(struct ch_path_manager *manager, GQuark upstream)
{
    if (manager == NULL) {
        return;
    }
    pthread_mutex_lock(&manager->lock);
    g_hash_table_remove(manager->upstreams, GUINT_TO_POINTER(upstream));
    ch_path_tracker_forget(manager->tracker, upstream);
    pthread_mutex_unlock(&manager->lock);
}

/* See path_manager.h. */
int64_t
ch_path_manager_get_cut_since(struct ch_path_manager *manager)
{
    if (manager == NULL) {
        return 0;
    }
    pthread_mutex_lock(&manager->lock);
    int64_t since = ch_path_tracker_get_cut_since(manager->tracker);
    pthread_mutex_unlock(&manager->lock);
    return since;
}

/* ---- periodic work ---- */

/* Probes paths, and asks about them, as long as one is not open. */
static void
tick(void *data)
{
    struct ch_path_manager *manager = data;
    int64_t now = ch_client_get_time(manager->node->client);
    unsigned counts[CH_PATH_DOWN + 1] = {0};
    pthread_mutex_lock(&manager->lock);
    GQuark upstream =
        manager->stopped ? 0
                         : ch_path_tracker_select_probe(manager->tracker, now);
    GQuark question =
        manager->stopped
            ? 0
            : ch_path_tracker_select_question(manager->tracker, now);
    ch_path_tracker_foreach(manager->tracker, count_state, counts);
    bool is_cut = ch_path_tracker_get_cut_since(manager->tracker) != 0;
    if (is_cut && !manager->stopped &&
        now - manager->pinged_at >= PING_PERIOD_US) {
        manager->pinged_at = now;
        ch_pool_submit(manager->node->pool, tell_others, manager);
    }
    manager->ticking = false;
    if (counts[CH_PATH_DOUBTFUL] + counts[CH_PATH_LOST] +
                counts[CH_PATH_DOWN] >
            0 ||
        is_cut) {
        start_ticking(manager);
    }
    pthread_mutex_unlock(&manager->lock);
    if (upstream != 0) {
        path_probe_open(manager, upstream);
    }
    if (question != 0) {
        path_probe_ask(manager, question);
    }
}

/* ---- status ---- */

struct status {
    JsonBuilder *builder;
    int64_t now;
};

static void
write_path(void *data, const struct ch_path_info *info)
{
    const struct status *status = data;
    JsonBuilder *builder = status->builder;
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "upstream");
    json_builder_add_string_value(builder, g_quark_to_string(info->upstream));
    json_builder_set_member_name(builder, "state");
    json_builder_add_string_value(builder, get_state_name(info->state));
    json_builder_set_member_name(builder, "evidence");
    json_builder_add_string_value(builder, get_evidence_name(info->evidence));
    json_builder_set_member_name(builder, "for_ms");
    json_builder_add_int_value(builder, (status->now - info->since) / 1000);
    json_builder_end_object(builder);
}

/* See path_manager.h. */
void
ch_path_manager_write_status(struct ch_path_manager *manager,
                             JsonBuilder *builder)
{
    if (manager == NULL) {
        return;
    }
    struct status status = {builder,
                            ch_client_get_time(manager->node->client)};
    pthread_mutex_lock(&manager->lock);
    int64_t cut_since = ch_path_tracker_get_cut_since(manager->tracker);
    json_builder_set_member_name(builder, "cut_off_for_ms");
    json_builder_add_int_value(
        builder, cut_since == 0 ? 0 : (status.now - cut_since) / 1000);
    json_builder_set_member_name(builder, "paths");
    json_builder_begin_array(builder);
    ch_path_tracker_foreach(manager->tracker, write_path, &status);
    json_builder_end_array(builder);
    pthread_mutex_unlock(&manager->lock);
}

/* ---- lifetime ---- */

/* See path_manager.h. */
struct ch_path_manager *
ch_path_manager_new(struct ch_node *node)
{
    struct ch_path_manager *manager = g_new0(struct ch_path_manager, 1);
    manager->node = node;
    manager->tracker = ch_path_tracker_new();
    manager->upstreams = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    path_relay_init(manager);
    pthread_mutex_init(&manager->lock, NULL);
    return manager;
}

/* See path_manager.h. */
void
ch_path_manager_start(struct ch_path_manager *manager)
{
    path_probe_init(manager);
}

/* See path_manager.h. */
void
ch_path_manager_stop(struct ch_path_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    pthread_mutex_unlock(&manager->lock);
}

/* See path_manager.h. */
void
ch_path_manager_free(struct ch_path_manager *manager)
{
    if (manager == NULL) {
        return;
    }
    ch_path_tracker_free(manager->tracker);
    g_hash_table_destroy(manager->upstreams);
    path_relay_clear(manager);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager);
}
