/* Observations of crashed upstreams from calls, and the check for requests
 * that crash them. */

#include "node/crash_internal.h"
#include "node/path_manager.h"

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
    /* Time for the periodic work of the other nodes to tell of responses to
     * prompts with a part, before the part is barred. */
    PART_SETTLE_US = 600 * 1000,
    /* From this many crashes on, a request with a part that may be the cause
     * is not sent to a second upstream. */
    PART_SUSPECT_CRASHES = 2,
    /* A part is recorded once it has been barred for this long. */
    PART_RECORD_DELAY_US = 1000 * 1000,
};

/* The digest by which two requests are the same: of host, path, owner and
 * body. */
static struct ch_digest
compute_digest(const struct ch_request *request)
{
    const char *host = request->host == NULL ? "" : request->host;
    const struct ch_digest_part parts[] = {
        {host, strlen(host)},
        {request->path, strlen(request->path)},
        {request->owner, strlen(request->owner)},
        {request->body, request->body_length},
    };
    return ch_digest_compute(parts, G_N_ELEMENTS(parts));
}

/* The parts of a prompt that other requests may share: the last one is the
 * request's own. */
static size_t
count_shared_parts(const struct ch_request *request)
{
    return request->info.part_count == 0 ? 0 : request->info.part_count - 1;
}

/* The ID of a part, never 0. */
static uint64_t
get_part_id(const struct ch_request *request, size_t index)
{
    return MAX(request->info.parts[index].id, 1);
}

/* Identifies a part. Its ID stands for its text, which crashes upstreams
 * whatever else the request holds: so it is the same for all teams, classes
 * and models. A part that one team names falsely is cleared by the responses
 * that begin to the others. */
static uint64_t
get_part_fingerprint(const struct ch_request *request, size_t index)
{
    static const char kind[] = "prompt part";
    return ch_hash_pair(ch_hash_string(kind), get_part_id(request, index));
}

/* The same as a digest. */
static struct ch_digest
compute_part_digest(const struct ch_request *request, size_t index)
{
    static const char kind[] = "prompt part";
    uint64_t id = GUINT64_TO_BE(get_part_id(request, index));
    const struct ch_digest_part parts[] = {
        {kind, strlen(kind)},
        {&id, sizeof(id)},
    };
    return ch_digest_compute(parts, G_N_ELEMENTS(parts));
}

/* Whether anything is known or suspected. Nearly always nothing is, and then a
 * call costs no more than this check. */
static bool
may_have_suspects(struct ch_crash_guard *guard)
{
    return guard != NULL && ck_pr_load_int(&guard->has_suspects) != 0;
}

/* See crash_internal.h. */
void
crash_guard_update_has_suspects(struct ch_crash_guard *guard)
{
    bool active = !ch_crash_table_is_empty(guard->table) ||
                  ch_interrupted_calls_count(guard->interrupted_calls) > 0;
    ck_pr_store_int(&guard->has_suspects, active);
}

/* The index of a digest among the barred ones, or -1. */
static int
find_barred(const struct ch_crash_guard *guard, const struct ch_digest *digest)
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
crash_guard_remove_barred(struct ch_crash_guard *guard,
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
    struct ch_crash_guard *guard = data;
    struct ch_frontend *frontend = ck_pr_load_ptr(&guard->node->frontend);
    if (frontend != NULL) {
        ch_frontend_abandon_barred(frontend);
    }
    pthread_mutex_lock(&guard->lock);
    guard->pending_jobs--;
    pthread_cond_broadcast(&guard->idle);
    pthread_mutex_unlock(&guard->lock);
}

/* Whether a request or part is barred now. The other nodes first have time to
 * tell of responses to prompts with a part. */
static bool
is_barred_now(const struct ch_crash_guard *guard,
              const struct ch_crash_assessment *assessment)
{
    return assessment->state == CH_CRASH_BARRED &&
           (assessment->part == 0 || assessment->is_restored ||
            ch_client_get_time(guard->node->client) - assessment->decided_at >=
                PART_SETTLE_US);
}

/* Logs, once, that a request or part is barred; queues its record and ends
 * its exchanges. Lock held. */
static void
report_barred(struct ch_crash_guard *guard,
              const struct ch_crash_assessment *assessment)
{
    char digest_text[CH_DIGEST_TEXT_SIZE];
    if (!is_barred_now(guard, assessment) ||
        find_barred(guard, &assessment->digest) >= 0) {
        return;
    }
    if (guard->barred->len >= guard->node->settings->max_crash_requests) {
        g_array_remove_index(guard->barred, 0);
    }
    g_array_append_val(guard->barred, assessment->digest);
    ch_digest_format(&assessment->digest, digest_text);
    ch_metrics_add_count(guard->node->client->metrics, CH_COUNT_CRASHERS, 1);
    ch_log(guard->node->client, CH_LOG_WARNING,
           assessment->part == 0 ? "request-barred" : "prompt-part-barred",
           CH_F_STR("digest", digest_text),
           CH_F_INT("crashes", assessment->crashes),
           CH_F_INT("sure", assessment->unexplained_crashes),
           CH_F_INT("begun", assessment->begun),
           CH_F_INT("restored", assessment->is_restored), CH_F_END);
    if (assessment->part == 0) {
        crash_record_schedule_write(guard, assessment);
    }
    if (!guard->stopping) {
        guard->pending_jobs++;
        ch_pool_submit(guard->node->pool, abandon_barred, guard);
    }
}

/* Logs an observation: each of this node, and those of other nodes for
 * requests that were on more than one crashed upstream. */
static void
log_observation(struct ch_crash_guard *guard,
                const struct ch_crash_observation *observation,
                const struct ch_crash_assessment *assessment, const char *from)
{
    char digest_text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(&observation->digest, digest_text);
    ch_log(guard->node->client, CH_LOG_NOTICE,
           observation->part == 0 ? "request-on-crash" : "part-on-crash",
           CH_F_STR("digest", digest_text),
           CH_F_STR("upstream", g_quark_to_string(observation->upstream)),
           CH_F_INT("boot", observation->boot_id),
           CH_F_INT("fresh", observation->before_response),
           CH_F_INT("crashes", assessment->crashes),
           CH_F_INT("sure", assessment->unexplained_crashes),
           CH_F_INT("begun", assessment->begun),
           CH_F_STR("from", from == NULL ? guard->node->settings->name : from),
           CH_F_END);
}

/* See crash_internal.h. */
bool
crash_guard_add_observation(struct ch_crash_guard *guard,
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
    bool is_part = observation->part != 0;
    if ((from != NULL || is_part) &&
        crashes < MIN(guard->node->settings->crash_limit, 2)) {
        return true;
    }
    const struct ch_crash_assessment assessment =
        ch_crash_table_assess(guard->table, &observation->digest);
    if (!is_part || assessment.state != CH_CRASH_HARMLESS) {
        log_observation(guard, observation, &assessment, from);
    }
    report_barred(guard, &assessment);
    return true;
}

/* See crash_internal.h. */
void
crash_guard_add_own_observations(struct ch_crash_guard *guard,
                                 GArray *observations)
{
    for (guint i = 0; i < observations->len; i++) {
        const struct ch_crash_observation *observation =
            &g_array_index(observations, struct ch_crash_observation, i);
        if (crash_guard_add_observation(guard, observation, NULL)) {
            g_array_append_val(guard->unsent_observations, *observation);
            crash_publish_schedule(guard);
        }
    }
    ch_metrics_add_count(guard->node->client->metrics, CH_COUNT_CRASHED_CALLS,
                         observations->len);
    g_array_free(observations, TRUE);
    crash_guard_update_has_suspects(guard);
}

/* Ends a job that the stop of the guard waits for. */
static void
end_job(struct ch_crash_guard *guard)
{
    pthread_mutex_lock(&guard->lock);
    guard->pending_jobs--;
    pthread_cond_broadcast(&guard->idle);
    pthread_mutex_unlock(&guard->lock);
}

/* A connection that is opened to learn whether an upstream crashed. */
struct probe {
    struct ch_crash_guard *guard;
    GQuark upstream;
};

/* Handles the end of a probe, on the HTTP loop. A connection that was accepted
 * shows nothing: it may have been accepted just before the process ended. */
static void
handle_probe_end(void *data, const struct ch_http_result *end)
{
    struct probe *probe = data;
    struct ch_crash_guard *guard = probe->guard;
    if (end->connection_refused) {
        ch_crash_guard_record_refused(guard, probe->upstream);
    }
    end_job(guard);
    g_free(probe);
}

/* Registers a probe of an upstream as pending; false when the upstream was
 * probed less than PROBE_INTERVAL_US ago, so that all calls that it interrupts
 * at the same moment share one probe, or after the stop. Lock held. */
static bool
register_probe(struct ch_crash_guard *guard, GQuark upstream, int64_t now)
{
    gpointer key = GUINT_TO_POINTER(upstream);
    const int64_t *last = g_hash_table_lookup(guard->last_probe_at, key);
    if (guard->stopping || (last != NULL && now - *last < PROBE_INTERVAL_US)) {
        return false;
    }
    g_hash_table_replace(guard->last_probe_at, key,
                         g_memdup2(&now, sizeof(now)));
    guard->pending_jobs++;
    return true;
}

/* Opens a connection to an upstream. */
static void
open_probe(struct ch_crash_guard *guard, const struct ch_grant *grant)
{
    struct probe *probe = g_new0(struct probe, 1);
    probe->guard = guard;
    probe->upstream = grant->upstream;
    ch_http_probe(guard->node->http, grant->address, PROBE_TIMEOUT_US,
                  handle_probe_end, probe);
}

/* Whether the end of an upstream may be a crash. An upstream that is draining,
 * or that was removed from the list before, ends as planned. Lock held. */
static bool
may_crash(const struct ch_crash_guard *guard, GQuark upstream)
{
    return guard->active_upstreams == NULL ||
           g_hash_table_contains(guard->active_upstreams,
                                 GUINT_TO_POINTER(upstream));
}

/* Logs a call that was cut, with the parts of its prompt. */
static void
log_interrupted(const struct ch_crash_guard *guard,
                const struct ch_request *request, const struct ch_grant *grant,
                bool before_response)
{
    GString *parts = g_string_new(NULL);
    for (size_t i = 0; i < request->info.part_count; i++) {
        g_string_append_printf(parts, "%s%016" G_GINT64_MODIFIER "x",
                               i == 0 ? "" : " ", request->info.parts[i].id);
    }
    ch_log(guard->node->client, CH_LOG_INFO, "call-cut",
           CH_F_STR("request_id", request->request_id),
           CH_F_STR("upstream", g_quark_to_string(grant->upstream)),
           CH_F_INT("boot", grant->boot_id),
           CH_F_INT("fresh", before_response), CH_F_STR("parts", parts->str),
           CH_F_END);
    g_string_free(parts, TRUE);
}

/* Adds the parts of the prompt of a call that was cut before its response
 * began. Lock held. */
static void
add_interrupted_parts(struct ch_crash_guard *guard,
                      const struct ch_request *request,
                      const struct ch_crash_observation *observation)
{
    for (size_t i = 0;
         observation->before_response && i < count_shared_parts(request);
         i++) {
        struct ch_crash_observation part = *observation;
        part.digest = compute_part_digest(request, i);
        part.fingerprint = get_part_fingerprint(request, i);
        part.part = get_part_id(request, i);
        ch_interrupted_calls_add(guard->interrupted_calls, &part);
    }
}

/* See crash_guard.h. */
void
ch_crash_guard_record_interrupted(struct ch_crash_guard *guard,
                                  const struct ch_request *request,
                                  const struct ch_grant *grant,
                                  bool before_response)
{
    if (guard == NULL) {
        return;
    }
    log_interrupted(guard, request, grant, before_response);
    const struct ch_crash_observation observation = {
        .digest = compute_digest(request),
        .fingerprint = request->fingerprint,
        .upstream = grant->upstream,
        .boot_id = grant->boot_id,
        .ended_at = ch_client_get_time(guard->node->client),
        .before_response = before_response,
    };
    bool is_registered = false;
    pthread_mutex_lock(&guard->lock);
    if (may_crash(guard, observation.upstream)) {
        GArray *observations =
            g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
        ch_interrupted_calls_add(guard->interrupted_calls, &observation);
        add_interrupted_parts(guard, request, &observation);
        if (ch_crash_table_has_crash(guard->table, observation.upstream,
                                     observation.boot_id)) {
            ch_interrupted_calls_note_crash(guard->interrupted_calls,
                                            observation.upstream,
                                            observation.boot_id, observations);
        }
        else if (grant->address != NULL) {
            is_registered = register_probe(guard, observation.upstream,
                                           observation.ended_at);
        }
        crash_guard_add_own_observations(guard, observations);
    }
    pthread_mutex_unlock(&guard->lock);
    if (is_registered) {
        open_probe(guard, grant);
    }
}

/* Records that the upstream has crashed. */
static void
record_crash(struct ch_crash_guard *guard, GQuark upstream)
{
    GArray *observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    pthread_mutex_lock(&guard->lock);
    ch_interrupted_calls_note_refused(guard->interrupted_calls, upstream,
                                      ch_client_get_time(guard->node->client),
                                      observations);
    crash_guard_add_own_observations(guard, observations);
    pthread_mutex_unlock(&guard->lock);
}

/* A refusal of which it is being found out whether the upstream crashed. */
struct refusal {
    struct ch_crash_guard *guard;
    GQuark upstream;
};

/* Records a crash, unless this node lost its path to the upstream: then the
 * request that was cut says nothing. */
static void
handle_refusal_checked(void *data, bool crashed)
{
    struct refusal *refusal = data;
    struct ch_crash_guard *guard = refusal->guard;
    if (crashed) {
        record_crash(guard, refusal->upstream);
    }
    else {
        ch_log(guard->node->client, CH_LOG_INFO, "refusal-is-no-crash",
               CH_F_STR("upstream", g_quark_to_string(refusal->upstream)),
               CH_F_END);
    }
    end_job(guard);
    g_free(refusal);
}

/* See crash_guard.h. */
void
ch_crash_guard_record_refused(struct ch_crash_guard *guard, GQuark upstream)
{
    if (!may_have_suspects(guard)) {
        return;
    }
    pthread_mutex_lock(&guard->lock);
    bool is_stopping = guard->stopping;
    guard->pending_jobs += is_stopping ? 0 : 1;
    pthread_mutex_unlock(&guard->lock);
    if (is_stopping) {
        return;
    }
    struct refusal *refusal = g_new(struct refusal, 1);
    *refusal = (struct refusal){guard, upstream};
    ch_path_manager_check_refusal(guard->node->paths, upstream,
                                  handle_refusal_checked, refusal);
}

/* See crash_guard.h. */
void
ch_crash_guard_record_response(struct ch_crash_guard *guard, GQuark upstream,
                               int64_t sent_at)
{
    if (!may_have_suspects(guard)) {
        return;
    }
    pthread_mutex_lock(&guard->lock);
    ch_interrupted_calls_note_response(guard->interrupted_calls, upstream,
                                       sent_at);
    crash_guard_update_has_suspects(guard);
    pthread_mutex_unlock(&guard->lock);
}

/* Whether the request may be in the table, by its fingerprint. */
static bool
may_be_in_table(struct ch_crash_guard *guard, const struct ch_request *request)
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

/* See crash_guard.h. */
void
ch_crash_guard_record_complete(struct ch_crash_guard *guard,
                               const struct ch_request *request)
{
    if (!may_be_in_table(guard, request)) {
        return;
    }
    const struct ch_digest digest = compute_digest(request);
    pthread_mutex_lock(&guard->lock);
    bool was_barred = find_barred(guard, &digest) >= 0;
    if (ch_crash_table_mark_harmless(guard->table, &digest)) {
        g_array_append_val(guard->unsent_harmless, digest);
        crash_guard_remove_barred(guard, &digest);
        crash_publish_schedule(guard);
    }
    pthread_mutex_unlock(&guard->lock);
    if (was_barred) {
        crash_record_remove(guard, &digest);
    }
}

/* ---- parts of prompts ---- */

/* See crash_guard.h. */
void
ch_crash_guard_record_begun(struct ch_crash_guard *guard,
                            const struct ch_request *request)
{
    size_t count = count_shared_parts(request);
    if (guard == NULL || count == 0) {
        return;
    }
    int64_t now = ch_client_get_time(guard->node->client);
    pthread_mutex_lock(&guard->begun_lock);
    for (size_t i = 0; i < count; i++) {
        ch_begun_parts_add(guard->begun_parts,
                           get_part_fingerprint(request, i), now);
    }
    pthread_mutex_unlock(&guard->begun_lock);
}

static void
update_part(void *data, const struct ch_digest *digest, uint64_t fingerprint)
{
    struct ch_crash_guard *guard = data;
    pthread_mutex_lock(&guard->begun_lock);
    unsigned count =
        ch_begun_parts_count(guard->begun_parts, fingerprint,
                             ch_client_get_time(guard->node->client));
    pthread_mutex_unlock(&guard->begun_lock);
    ch_crash_table_set_own_begun(guard->table, digest, count);
}

/* See crash_internal.h. */
void
crash_guard_update_own_begun(struct ch_crash_guard *guard)
{
    ch_crash_table_foreach_part(guard->table, update_part, guard);
}

/* Assesses a part of the request's prompt; false when nothing is known of
 * it. */
static bool
assess_part(struct ch_crash_guard *guard, const struct ch_request *request,
            size_t index, struct ch_crash_assessment *assessment)
{
    uint64_t fingerprint = get_part_fingerprint(request, index);
    pthread_mutex_lock(&guard->lock);
    bool is_known = ch_crash_table_has_fingerprint(guard->table, fingerprint);
    pthread_mutex_unlock(&guard->lock);
    if (!is_known) {
        return false;
    }
    const struct ch_digest digest = compute_part_digest(request, index);
    pthread_mutex_lock(&guard->lock);
    update_part(guard, &digest, fingerprint);
    *assessment = ch_crash_table_assess(guard->table, &digest);
    report_barred(guard, assessment);
    pthread_mutex_unlock(&guard->lock);
    return true;
}

/* See crash_guard.h. */
bool
ch_crash_guard_has_suspected_part(struct ch_crash_guard *guard,
                                  const struct ch_request *request)
{
    struct ch_crash_assessment assessment;
    for (size_t i = 0;
         may_have_suspects(guard) && i < count_shared_parts(request); i++) {
        if (assess_part(guard, request, i, &assessment) &&
            assessment.state != CH_CRASH_HARMLESS &&
            assessment.crashes >= PART_SUSPECT_CRASHES) {
            return true;
        }
    }
    return false;
}

/* ---- the check before dispatch ---- */

/* Whether the request itself is barred. */
static bool
is_request_barred(struct ch_crash_guard *guard,
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

/* Whether a part of the request's prompt is barred. */
static bool
is_part_barred(struct ch_crash_guard *guard, const struct ch_request *request)
{
    struct ch_crash_assessment assessment;
    for (size_t i = 0;
         may_have_suspects(guard) && i < count_shared_parts(request); i++) {
        if (assess_part(guard, request, i, &assessment) &&
            is_barred_now(guard, &assessment)) {
            return true;
        }
    }
    return false;
}

/* See crash_guard.h. */
bool
ch_crash_guard_is_barred(struct ch_crash_guard *guard,
                         const struct ch_request *request)
{
    return is_request_barred(guard, request) || is_part_barred(guard, request);
}

/* See crash_guard.h. */
bool
ch_crash_guard_is_barred_by_part(struct ch_crash_guard *guard,
                                 const struct ch_request *request)
{
    return !is_request_barred(guard, request) &&
           is_part_barred(guard, request);
}

/* See crash_guard.h. */
void
ch_crash_guard_update_upstreams(
    struct ch_crash_guard *guard,
    const struct ch_crash_listed_upstream *upstreams, size_t count)
{
    if (guard == NULL) {
        return;
    }
    GArray *observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    pthread_mutex_lock(&guard->lock);
    if (guard->active_upstreams == NULL) {
        guard->active_upstreams = g_hash_table_new(NULL, NULL);
    }
    g_hash_table_remove_all(guard->active_upstreams);
    for (size_t i = 0; i < count; i++) {
        if (!upstreams[i].draining) {
            g_hash_table_add(guard->active_upstreams,
                             GUINT_TO_POINTER(upstreams[i].upstream));
        }
    }
    ch_interrupted_calls_note_list(guard->interrupted_calls, upstreams, count,
                                   observations);
    crash_guard_add_own_observations(guard, observations);
    pthread_mutex_unlock(&guard->lock);
}

/* See crash_guard.h. */
bool
ch_crash_guard_is_ready(struct ch_crash_guard *guard)
{
    if (guard == NULL) {
        return true;
    }
    int64_t now = ch_client_get_time(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    bool read = guard->records_loaded || guard->node->kv == NULL;
    bool is_known = (guard->full_state_received && read) ||
                    now - guard->started_at > STARTUP_TIMEOUT_US;
    pthread_mutex_unlock(&guard->lock);
    return is_known;
}

/* ---- operators ---- */

/* See crash_guard.h. */
bool
ch_crash_guard_release(struct ch_crash_guard *guard,
                       const struct ch_digest *digest)
{
    if (guard == NULL) {
        return false;
    }
    char digest_text[CH_DIGEST_TEXT_SIZE];
    int64_t now = ch_client_get_time(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    bool is_known = ch_crash_table_release(guard->table, digest, now);
    if (is_known) {
        g_array_append_val(guard->unsent_releases, *digest);
        crash_guard_remove_barred(guard, digest);
        crash_publish_schedule(guard);
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
    json_builder_set_member_name(builder, "kind");
    json_builder_add_string_value(
        builder, assessment->part == 0 ? "request" : "prompt-part");
    json_builder_set_member_name(builder, "state");
    json_builder_add_string_value(builder, names[assessment->state]);
    json_builder_set_member_name(builder, "crashes");
    json_builder_add_int_value(builder, assessment->crashes);
    json_builder_set_member_name(builder, "sure");
    json_builder_add_int_value(builder, assessment->unexplained_crashes);
    json_builder_set_member_name(builder, "begun");
    json_builder_add_int_value(builder, assessment->begun);
    json_builder_set_member_name(builder, "last_ms_ago");
    json_builder_add_int_value(
        builder, (status->now - assessment->last_evidence_at) / 1000);
    json_builder_end_object(builder);
}

/* See crash_guard.h. */
void
ch_crash_guard_write_status(struct ch_crash_guard *guard, JsonBuilder *builder)
{
    if (guard == NULL) {
        return;
    }
    struct status status = {builder, ch_client_get_time(guard->node->client)};
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

static void
collect_part(void *data, const struct ch_digest *digest, uint64_t fingerprint)
{
    (void)fingerprint;
    g_array_append_val((GArray *)data, *digest);
}

/* Whether a barred part is to be recorded: responses that other nodes told of
 * did not clear it. */
static bool
is_to_be_recorded(const struct ch_crash_guard *guard,
                  const struct ch_crash_assessment *assessment)
{
    return is_barred_now(guard, assessment) && !assessment->is_restored &&
           ch_client_get_time(guard->node->client) - assessment->decided_at >=
               PART_SETTLE_US + PART_RECORD_DELAY_US;
}

/* Records a part, once. Lock held. */
static void
record_part(struct ch_crash_guard *guard,
            const struct ch_crash_assessment *assessment)
{
    for (guint i = 0; i < guard->recorded_parts->len; i++) {
        if (ch_digest_equal(
                &g_array_index(guard->recorded_parts, struct ch_digest, i),
                &assessment->digest)) {
            return;
        }
    }
    if (guard->recorded_parts->len >=
        guard->node->settings->max_crash_requests) {
        g_array_remove_index(guard->recorded_parts, 0);
    }
    g_array_append_val(guard->recorded_parts, assessment->digest);
    crash_record_schedule_write(guard, assessment);
}

/* Reports and records the parts that are barred from now on, and those that
 * responses have cleared. Lock held. */
static void
update_barred_parts(struct ch_crash_guard *guard)
{
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    crash_guard_update_own_begun(guard);
    ch_crash_table_foreach_part(guard->table, collect_part, parts);
    for (guint i = 0; i < parts->len; i++) {
        const struct ch_crash_assessment assessment = ch_crash_table_assess(
            guard->table, &g_array_index(parts, struct ch_digest, i));
        report_barred(guard, &assessment);
        if (is_to_be_recorded(guard, &assessment)) {
            record_part(guard, &assessment);
        }
        if (assessment.state == CH_CRASH_HARMLESS) {
            crash_guard_remove_barred(guard, &assessment.digest);
        }
    }
    g_array_free(parts, TRUE);
}

/* Runs the periodic work, on the pool. */
static void
tick(void *data)
{
    struct ch_crash_guard *guard = data;
    int64_t now = ch_client_get_time(guard->node->client);
    pthread_mutex_lock(&guard->lock);
    ch_interrupted_calls_expire(guard->interrupted_calls, now);
    ch_crash_table_expire(guard->table, now);
    update_barred_parts(guard);
    g_hash_table_foreach_remove(guard->last_probe_at, is_stale_probe, &now);
    crash_guard_update_has_suspects(guard);
    pthread_mutex_unlock(&guard->lock);
    crash_publish_tick(guard, now);
    crash_record_tick(guard, now);
    pthread_mutex_lock(&guard->lock);
    if (guard->stopping) {
        guard->pending_jobs--;
        pthread_cond_broadcast(&guard->idle);
    }
    else {
        ch_timers_add(guard->node->timers,
                      guard->full_state_received ? TICK_US : STARTUP_TICK_US,
                      tick, guard);
    }
    pthread_mutex_unlock(&guard->lock);
}

/* Creates a guard that knows of no crash. */
struct ch_crash_guard *
ch_crash_guard_new(struct ch_node *node)
{
    const struct ch_crash_limits limits = {
        .crashes_to_bar = node->settings->crash_limit,
        .max_requests = node->settings->max_crash_requests,
        .retention =
            (int64_t)node->settings->crash_retention_s * G_USEC_PER_SEC,
    };
    struct ch_crash_guard *guard = g_new0(struct ch_crash_guard, 1);
    guard->node = node;
    guard->table = ch_crash_table_new(&limits);
    guard->interrupted_calls = ch_interrupted_calls_new();
    guard->begun_parts = ch_begun_parts_new();
    pthread_mutex_init(&guard->begun_lock, NULL);
    guard->last_probe_at = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    guard->barred = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    guard->recorded_parts =
        g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    guard->unwritten_records =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_assessment));
    guard->unsent_observations =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    guard->unsent_harmless =
        g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    guard->unsent_releases =
        g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    pthread_mutex_init(&guard->lock, NULL);
    pthread_cond_init(&guard->idle, NULL);
    crash_publish_init(guard);
    return guard;
}

/* Starts the periodic work. */
void
ch_crash_guard_start(struct ch_crash_guard *guard)
{
    guard->started_at = ch_client_get_time(guard->node->client);
    guard->last_tick_at = guard->started_at;
    guard->pending_jobs = 1;
    ch_timers_add(guard->node->timers, STARTUP_TICK_US, tick, guard);
}

/* Stops the periodic work, and waits for messages and calls in progress. */
void
ch_crash_guard_stop(struct ch_crash_guard *guard)
{
    pthread_mutex_lock(&guard->lock);
    guard->stopping = true;
    while (guard->pending_jobs > 0) {
        pthread_cond_wait(&guard->idle, &guard->lock);
    }
    pthread_mutex_unlock(&guard->lock);
}

/* Frees the guard after its stop; guard may be NULL. */
void
ch_crash_guard_free(struct ch_crash_guard *guard)
{
    if (guard == NULL) {
        return;
    }
    ch_crash_table_free(guard->table);
    ch_interrupted_calls_free(guard->interrupted_calls);
    ch_begun_parts_free(guard->begun_parts);
    pthread_mutex_destroy(&guard->begun_lock);
    if (guard->active_upstreams != NULL) {
        g_hash_table_destroy(guard->active_upstreams);
    }
    g_hash_table_destroy(guard->last_probe_at);
    g_array_free(guard->barred, TRUE);
    g_array_free(guard->recorded_parts, TRUE);
    g_array_free(guard->unwritten_records, TRUE);
    g_array_free(guard->unsent_observations, TRUE);
    g_array_free(guard->unsent_harmless, TRUE);
    g_array_free(guard->unsent_releases, TRUE);
    pthread_mutex_destroy(&guard->lock);
    pthread_cond_destroy(&guard->idle);
    g_free(guard);
}
