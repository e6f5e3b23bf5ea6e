/* Observations of crashed upstreams from calls, and the check for requests
 * that crash them. */

#include "node/crash_internal.h"

#include <ck_pr.h>
#include <string.h>

enum {
    TICK_US = 250 * 1000,
    STARTUP_TICK_US = 50 * 1000, /* until the state of the other nodes came */
    /* A node that starts waits this long for the state of the other nodes and
     * for the records. */
    STARTUP_TIMEOUT_US = 2 * 1000 * 1000,
    /* Limit of a connection to an upstream that interrupted a call, and the
     * minimum time between two such probes of one upstream. */
    PROBE_TIMEOUT_US = 500 * 1000,
    PROBE_INTERVAL_US = 1000 * 1000,
};

/* The digest by which two requests are the same: of host, path, caller and
 * body. */
static struct ch_digest
compute_digest(const struct ch_request *request)
{
    const char *host = request->host == NULL ? "" : request->host;
    const struct ch_digest_part parts[] = {
        {host, strlen(host)},
        {request->path, strlen(request->path)},
        {request->caller, strlen(request->caller)},
        {request->body, request->length},
    };
    return ch_digest_compute(parts, G_N_ELEMENTS(parts));
}

/* Whether anything is known or suspected. Nearly always nothing is, and then a
 * call costs no more than this check. */
static bool
may_have_suspects(struct ch_crash_keeper *guard)
{
    return guard != NULL && ck_pr_load_int(&guard->active) != 0;
}

/* See crash_internal.h. */
void
crash_keeper_note_active(struct ch_crash_keeper *guard)
{
    bool active = !ch_crash_table_is_empty(guard->table) ||
                  ch_interrupted_calls_count(guard->cuts) > 0;
    ck_pr_store_int(&guard->active, active);
}

/* The index of a digest among the barred ones, or -1. */
static int
find_barred(const struct ch_crash_keeper *guard,
            const struct ch_digest *digest)
{
    for (guint i = 0; i < guard->barred->len; i++) {
        if (ch_digest_equal(&g_array_index(guard->barred, struct ch_digest, i),
                            digest)) {
            return (int)i;
        }
    }
    return -1;
}

/* See crash_internal.h. */
void
crash_keeper_forget_barred(struct ch_crash_keeper *guard,
                           const struct ch_digest *digest)
{
    int index = find_barred(guard, digest);
    if (index >= 0) {
        g_array_remove_index(guard->barred, (guint)index);
    }
}

/* Ends this node's exchanges of barred requests; runs on the pool. */
static void
abandon_barred(void *data)
{
    struct ch_crash_keeper *guard = data;
    struct ch_front *front = ck_pr_load_ptr(&guard->node->front);
    if (front != NULL) {
        ch_front_drop_barred(front);
    }
    pthread_mutex_lock(&guard->lock);
    guard->jobs--;
    pthread_cond_broadcast(&guard->idle);
    pthread_mutex_unlock(&guard->lock);
}

/* Logs, once, that a request is barred; queues its record and ends its
 * exchanges. Lock held. */
static void
report_barred(struct ch_crash_keeper *guard,
              const struct ch_crash_assessment *assessment)
{
    char digest_text[CH_DIGEST_TEXT_SIZE];
    if (assessment->state != CH_CRASH_BARRED ||
        find_barred(guard, &assessment->digest) >= 0) {
        return;
    }
    if (guard->barred->len >= guard->node->settings->crash_requests) {
        g_array_remove_index(guard->barred, 0);
    }
    g_array_append_val(guard->barred, assessment->digest);
    ch_digest_format(&assessment->digest, digest_text);
    ch_metrics_count(guard->node->client->metrics, CH_COUNT_CRASHERS, 1);
    ch_log(guard->node->client, CH_LOG_WARNING, "request-barred",
           CH_F_STR("digest", digest_text),
           CH_F_INT("crashes", assessment->crashes),
           CH_F_INT("sure", assessment->unexplained_crashes), CH_F_END);
    crash_record_note(guard, assessment);
    if (!guard->stopping) {
        guard->jobs++;
        ch_pool_submit(guard->node->pool, abandon_barred, guard);
    }
}

/* Logs an observation: each of this node, and those of other nodes for
 * requests that were on more than one crashed upstream. */
static void
log_observation(struct ch_crash_keeper *guard,
                const struct ch_crash_observation *observation,
                const struct ch_crash_assessment *assessment, const char *from)
{
    char digest_text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(&observation->digest, digest_text);
    ch_log(guard->node->client, CH_LOG_NOTICE, "request-on-crash",
           CH_F_STR("digest", digest_text),
           CH_F_STR("upstream", g_quark_to_string(observation->upstream)),
           CH_F_INT("boot", observation->boot_id),
           CH_F_INT("fresh", observation->before_response),
           CH_F_INT("crashes", assessment->crashes),
           CH_F_INT("sure", assessment->unexplained_crashes),
           CH_F_STR("from", from == NULL ? guard->node->settings->name : from),
           CH_F_END);
}

/* See crash_internal.h. */
bool
crash_keeper_take(struct ch_crash_keeper *guard,
                  const struct ch_crash_observation *observation,
                  const char *from)
{
    if (!ch_crash_table_add(guard->table, observation)) {
        return false;
    }
    /* In an outage of many upstreams, nearly all observations from other nodes
     * are of requests that were on one of them; these are not logged. */
    unsigned crashes =
        ch_crash_table_count_crashes(guard->table, &observation->digest);
    if (from != NULL && crashes < MIN(guard->node->settings->crashes, 2)) {
        return true;
    }
    const struct ch_crash_assessment assessment =
        ch_crash_table_assess(guard->table, &observation->digest);
    log_observation(guard, observation, &assessment, from);
    report_barred(guard, &assessment);
    return true;
}

/* See crash_internal.h. */
void
crash_keeper_take_ended(struct ch_crash_keeper *guard, GArray *observations)
{
    for (guint i = 0; i < observations->len; i++) {
        const struct ch_crash_observation *observation =
            &g_array_index(observations, struct ch_crash_observation, i);
        if (crash_keeper_take(guard, observation, NULL)) {
            g_array_append_val(guard->runs, *observation);
            crash_tell_soon(guard);
        }
    }
    ch_metrics_count(guard->node->client->metrics, CH_COUNT_CRASHED_CALLS,
                     observations->len);
    g_array_free(observations, TRUE);
    crash_keeper_note_active(guard);
}

/* A connection that is opened to learn whether an upstream crashed. */
struct probe {
    struct ch_crash_keeper *guard;
    GQuark upstream;
};

/* Handles the end of a probe, on the HTTP loop. A connection that was accepted
 * shows nothing: it may have been accepted just before the process ended. */
static void
handle_probe_end(void *data, const struct ch_http_end *end)
{
    struct probe *probe = data;
    struct ch_crash_keeper *guard = probe->guard;
    if (end->refused) {
        ch_crash_keeper_refused(guard, probe->upstream);
    }
    pthread_mutex_lock(&guard->lock);
    guard->jobs--;
    pthread_cond_broadcast(&guard->idle);
    pthread_mutex_unlock(&guard->lock);
    g_free(probe);
}

/* Registers a probe of an upstream as pending; false when the upstream was
 * probed less than PROBE_INTERVAL_US ago, so that all calls that it interrupts
 * at the same moment share one probe, or after the stop. Lock held. */
static bool
register_probe(struct ch_crash_keeper *guard, GQuark upstream, int64_t now)
{
    gpointer key = GUINT_TO_POINTER(upstream);
    const int64_t *last = g_hash_table_lookup(guard->probed, key);
    if (guard->stopping || (last != NULL && now - *last < PROBE_INTERVAL_US)) {
        return false;
    }
    g_hash_table_replace(guard->probed, key, g_memdup2(&now, sizeof(now)));
    guard->jobs++;
    return true;
}

/* Opens a connection to an upstream. */
static void
open_probe(struct ch_crash_keeper *guard, const struct ch_grant *grant)
{
    static const struct ch_http_handlers handlers = {.on_end =
                                                         handle_probe_end};
    struct probe *probe = g_new0(struct probe, 1);
    probe->guard = guard;
    probe->upstream = grant->upstream;
    g_autofree char *url = g_strdup_printf("http://%s/", grant->address);
    const struct ch_http_request request = {
        .method = "GET",
        .url = url,
        .connect_limit = PROBE_TIMEOUT_US,
        .total_limit = PROBE_TIMEOUT_US,
        .connect_only = true,
    };
    ch_http_submit(guard->node->http, &request, &handlers, probe);
}

/* Whether the end of an upstream may be a crash. An upstream that is draining,
 * or that was removed from the list before, ends as planned. Lock held. */
static bool
may_crash(const struct ch_crash_keeper *guard, GQuark upstream)
{
    return guard->staying == NULL ||
           g_hash_table_contains(guard->staying, GUINT_TO_POINTER(upstream));
}

/* See crash_keeper.h. */
void
ch_crash_keeper_cut(struct ch_crash_keeper *guard,
                    const struct ch_request *request,
                    const struct ch_grant *grant, bool before_response)
{
    if (guard == NULL) {
        return;
    }
    const struct ch_crash_observation observation = {
        .digest = compute_digest(request),
        .fingerprint = request->fingerprint,
        .upstream = grant->upstream,
        .boot_id = grant->boot,
        .ended_at = ch_client_now(guard->node->client),
        .before_response = before_response,
    };
    bool is_registered = false;
    pthread_mutex_lock(&guard->lock);
    if (may_crash(guard, observation.upstream)) {
        GArray *observations =
            g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
        ch_interrupted_calls_add(guard->cuts, &observation);
        if (ch_crash_table_has_crash(guard->table, observation.upstream,
                                     observation.boot_id)) {
            ch_interrupted_calls_note_crash(guard->cuts, observation.upstream,
                                            observation.boot_id, observations);
        }
        else if (grant->address != NULL) {
            is_registered = register_probe(guard, observation.upstream,
                                           observation.ended_at);
        }
        crash_keeper_take_ended(guard, observations);
    }
    pthread_mutex_unlock(&guard->lock);
    if (is_registered) {
        open_probe(guard, grant);
    }
}

/* See crash_keeper.h. */
void
ch_crash_keeper_refused(struct ch_crash_keeper *guard, GQuark upstream)
{
    if (!may_have_suspects(guard)) {
        return;
    }
    GArray *observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    pthread_mutex_lock(&guard->lock);
    ch_interrupted_calls_note_refused(guard->cuts, upstream,
                                      ch_client_now(guard->node->client),
                                      observations);
    crash_keeper_take_ended(guard, observations);
    pthread_mutex_unlock(&guard->lock);
}

/* See crash_keeper.h. */
void
ch_crash_keeper_answered(struct ch_crash_keeper *guard, GQuark upstream,
                         int64_t sent_at)
{
    if (!may_have_suspects(guard)) {
        return;
    }
    pthread_mutex_lock(&guard->lock);
    ch_interrupted_calls_note_response(guard->cuts, upstream, sent_at);
    crash_keeper_note_active(guard);
    pthread_mutex_unlock(&guard->lock);
}

/* Whether the request may be in the table, by its fingerprint. */
static bool
may_be_in_table(struct ch_crash_keeper *guard,
                const struct ch_request *request)
{
    if (!may_have_suspects(guard)) {
        return false;
    }
    pthread_mutex_lock(&guard->lock);
    bool is_known =
        ch_crash_table_has_fingerprint(guard->table, request->fingerprint);
    pthread_mutex_unlock(&guard->lock);
    return is_known;
}

/* See crash_keeper.h. */
void
ch_crash_keeper_whole(struct ch_crash_keeper *guard,
                      const struct ch_request *request)
{
    if (!may_be_in_table(guard, request)) {
        return;
    }
    const struct ch_digest digest = compute_digest(request);
    pthread_mutex_lock(&guard->lock);
    bool was_barred = find_barred(guard, &digest) >= 0;
    if (ch_crash_table_mark_harmless(guard->table, &digest)) {
        g_array_append_val(guard->sound, digest);
        crash_keeper_forget_barred(guard, &digest);
        crash_tell_soon(guard);
    }
    pthread_mutex_unlock(&guard->lock);
    if (was_barred) {
        crash_record_remove(guard, &digest);
    }
}

/* See crash_keeper.h. */
bool
ch_crash_keeper_bars(struct ch_crash_keeper *guard,
                     const struct ch_request *request)
{
    if (!may_be_in_table(guard, request)) {
        return false;
    }
    const struct ch_digest digest = compute_digest(request);
    pthread_mutex_lock(&guard->lock);
    const struct ch_crash_assessment assessment =
        ch_crash_table_assess(guard->table, &digest);
    report_barred(guard, &assessment);
    pthread_mutex_unlock(&guard->lock);
    return assessment.state == CH_CRASH_BARRED;
}

/* See crash_keeper.h. */
void
ch_crash_keeper_listed(struct ch_crash_keeper *guard,
                       const struct ch_crash_listed_upstream *upstreams,
                       size_t count)
{
    if (guard == NULL) {
        return;
    }
    GArray *observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    pthread_mutex_lock(&guard->lock);
    if (guard->staying == NULL) {
        guard->staying = g_hash_table_new(NULL, NULL);
    }
    g_hash_table_remove_all(guard->staying);
    for (size_t i = 0; i < count; i++) {
        if (!upstreams[i].draining) {
            g_hash_table_add(guard->staying,
                             GUINT_TO_POINTER(upstreams[i].upstream));
        }
    }
    ch_interrupted_calls_note_list(guard->cuts, upstreams, count,
                                   observations);
    crash_keeper_take_ended(guard, observations);
    pthread_mutex_unlock(&guard->lock);
}

/* See crash_keeper.h. */
bool
ch_crash_keeper_known(struct ch_crash_keeper *guard)
{
    if (guard == NULL) {
        return true;
    }
    int64_t now = ch_client_now(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    bool read = guard->read || guard->node->kv == NULL;
    bool is_known =
        (guard->heard && read) || now - guard->started > STARTUP_TIMEOUT_US;
    pthread_mutex_unlock(&guard->lock);
    return is_known;
}

/* ---- operators ---- */

/* See crash_keeper.h. */
bool
ch_crash_keeper_release(struct ch_crash_keeper *guard,
                        const struct ch_digest *digest)
{
    if (guard == NULL) {
        return false;
    }
    char digest_text[CH_DIGEST_TEXT_SIZE];
    int64_t now = ch_client_now(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    bool is_known = ch_crash_table_release(guard->table, digest, now);
    if (is_known) {
        g_array_append_val(guard->released, *digest);
        crash_keeper_forget_barred(guard, digest);
        crash_tell_soon(guard);
    }
    pthread_mutex_unlock(&guard->lock);
    ch_digest_format(digest, digest_text);
    ch_log(guard->node->client, CH_LOG_NOTICE, "request-released",
           CH_F_STR("digest", digest_text), CH_F_INT("known", is_known),
           CH_F_END);
    crash_record_remove(guard, digest);
    return is_known;
}

struct status {
    JsonBuilder *builder;
    int64_t now;
};

/* Writes one request of the status. */
static void
write_suspect(void *data, const struct ch_crash_assessment *assessment)
{
    static const char *const names[] = {
        [CH_CRASH_UNKNOWN] = "released",
        [CH_CRASH_SUSPECTED] = "suspected",
        [CH_CRASH_BARRED] = "barred",
        [CH_CRASH_HARMLESS] = "sound",
    };
    const struct status *status = data;
    JsonBuilder *builder = status->builder;
    char digest_text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(&assessment->digest, digest_text);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "digest");
    json_builder_add_string_value(builder, digest_text);
    json_builder_set_member_name(builder, "state");
    json_builder_add_string_value(builder, names[assessment->state]);
    json_builder_set_member_name(builder, "crashes");
    json_builder_add_int_value(builder, assessment->crashes);
    json_builder_set_member_name(builder, "sure");
    json_builder_add_int_value(builder, assessment->unexplained_crashes);
    json_builder_set_member_name(builder, "last_ms_ago");
    json_builder_add_int_value(
        builder, (status->now - assessment->last_evidence_at) / 1000);
    json_builder_end_object(builder);
}

/* See crash_keeper.h. */
void
ch_crash_keeper_status(struct ch_crash_keeper *guard, JsonBuilder *builder)
{
    if (guard == NULL) {
        return;
    }
    struct status status = {builder, ch_client_now(guard->node->client)};
    json_builder_set_member_name(builder, "crash_suspects");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&guard->lock);
    ch_crash_table_foreach(guard->table, write_suspect, &status);
    pthread_mutex_unlock(&guard->lock);
    json_builder_end_array(builder);
}

/* ---- lifetime ---- */

/* Whether a probe is older than PROBE_INTERVAL_US, so that its entry is not
 * needed any more. */
static gboolean
is_stale_probe(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return *(const int64_t *)value + PROBE_INTERVAL_US <
           *(const int64_t *)data;
}

/* Runs the periodic work, on the pool. */
static void
tick(void *data)
{
    struct ch_crash_keeper *guard = data;
    int64_t now = ch_client_now(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    ch_interrupted_calls_expire(guard->cuts, now);
    ch_crash_table_expire(guard->table, now);
    g_hash_table_foreach_remove(guard->probed, is_stale_probe, &now);
    crash_keeper_note_active(guard);
    pthread_mutex_unlock(&guard->lock);
    crash_tell_tick(guard, now);
    crash_record_tick(guard, now);
    pthread_mutex_lock(&guard->lock);
    if (guard->stopping) {
        guard->jobs--;
        pthread_cond_broadcast(&guard->idle);
    }
    else {
        ch_timers_after(guard->node->timers,
                        guard->heard ? TICK_US : STARTUP_TICK_US, tick, guard);
    }
    pthread_mutex_unlock(&guard->lock);
}

/* Creates a guard that knows of no crash. */
struct ch_crash_keeper *
ch_crash_keeper_new(struct ch_node *node)
{
    const struct ch_crash_limits limits = {
        .crashes_to_bar = node->settings->crashes,
        .max_requests = node->settings->crash_requests,
        .retention = (int64_t)node->settings->crash_keep_s * G_USEC_PER_SEC,
    };
    struct ch_crash_keeper *guard = g_new0(struct ch_crash_keeper, 1);
    guard->node = node;
    guard->table = ch_crash_table_new(&limits);
    guard->cuts = ch_interrupted_calls_new();
    guard->probed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    guard->barred = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    guard->unrecorded =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_assessment));
    guard->runs =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    guard->sound = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    guard->released = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    pthread_mutex_init(&guard->lock, NULL);
    pthread_cond_init(&guard->idle, NULL);
    crash_tell_init(guard);
    return guard;
}

/* Starts the periodic work. */
void
ch_crash_keeper_start(struct ch_crash_keeper *guard)
{
    guard->started = ch_client_now(guard->node->client);
    guard->ticked = guard->started;
    guard->jobs = 1;
    ch_timers_after(guard->node->timers, STARTUP_TICK_US, tick, guard);
}

/* Stops the periodic work, and waits for messages and calls in progress. */
void
ch_crash_keeper_stop(struct ch_crash_keeper *guard)
{
    pthread_mutex_lock(&guard->lock);
    guard->stopping = true;
    while (guard->jobs > 0) {
        pthread_cond_wait(&guard->idle, &guard->lock);
    }
    pthread_mutex_unlock(&guard->lock);
}

/* Frees the guard after its stop; guard may be NULL. */
void
ch_crash_keeper_free(struct ch_crash_keeper *guard)
{
    if (guard == NULL) {
        return;
    }
    ch_crash_table_free(guard->table);
    ch_interrupted_calls_free(guard->cuts);
    if (guard->staying != NULL) {
        g_hash_table_destroy(guard->staying);
    }
    g_hash_table_destroy(guard->probed);
    g_array_free(guard->barred, TRUE);
    g_array_free(guard->unrecorded, TRUE);
    g_array_free(guard->runs, TRUE);
    g_array_free(guard->sound, TRUE);
    g_array_free(guard->released, TRUE);
    pthread_mutex_destroy(&guard->lock);
    pthread_cond_destroy(&guard->idle);
    g_free(guard);
}
