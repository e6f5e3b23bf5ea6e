/* What calls show of upstreams that ended, and the gate for requests that end
 * them. */

#include "node/crash_internal.h"

#include <ck_pr.h>
#include <string.h>

enum {
    TICK = 250 * 1000,
    TICK_UNKNOWN = 50 * 1000, /* while the others' word is waited for */
    /* A node that starts waits so long for the others' word. */
    KNOWN_BY = 2 * 1000 * 1000,
    /* For a connection to an upstream that cut a call, and until another one
     * to the same upstream is asked for. */
    PROBE_LIMIT = 500 * 1000,
    PROBE_PAUSE = 1000 * 1000,
};

/* The digest of what makes two requests the same. */
static struct ch_digest
digest_of(const struct ch_request *request)
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

/* Whether anything is known or suspected: nearly always nothing is, and a call
 * costs no more than this. */
static bool
is_active(struct ch_crash_keeper *keeper)
{
    return keeper != NULL && ck_pr_load_int(&keeper->active) != 0;
}

/* See crash_internal.h. */
void
crash_keeper_note_active(struct ch_crash_keeper *keeper)
{
    bool active = !ch_crash_table_is_empty(keeper->table) ||
                  ch_interrupted_calls_count(keeper->cuts) > 0;
    ck_pr_store_int(&keeper->active, active);
}

/* The place of a digest among those noted as barred, or -1. */
static int
find_barred(const struct ch_crash_keeper *keeper,
            const struct ch_digest *digest)
{
    for (guint i = 0; i < keeper->barred->len; i++) {
        if (ch_digest_equal(
                &g_array_index(keeper->barred, struct ch_digest, i), digest)) {
            return (int)i;
        }
    }
    return -1;
}

/* See crash_internal.h. */
void
crash_keeper_forget_barred(struct ch_crash_keeper *keeper,
                           const struct ch_digest *digest)
{
    int at = find_barred(keeper, digest);
    if (at >= 0) {
        g_array_remove_index(keeper->barred, (guint)at);
    }
}

/* Ends what this node has under way of barred requests, on the pool. */
static void
drop_barred(void *data)
{
    struct ch_crash_keeper *keeper = data;
    struct ch_front *front = ck_pr_load_ptr(&keeper->node->front);
    if (front != NULL) {
        ch_front_drop_barred(front);
    }
    pthread_mutex_lock(&keeper->lock);
    keeper->jobs--;
    pthread_cond_broadcast(&keeper->idle);
    pthread_mutex_unlock(&keeper->lock);
}

/* Notes in the log that a request is barred from now on, and has what is under
 * way of it ended.  Lock held. */
static void
note_barred(struct ch_crash_keeper *keeper,
            const struct ch_crash_assessment *view)
{
    char text[CH_DIGEST_TEXT_SIZE];
    if (view->state != CH_CRASH_BARRED ||
        find_barred(keeper, &view->digest) >= 0) {
        return;
    }
    if (keeper->barred->len >= keeper->node->settings->crash_requests) {
        g_array_remove_index(keeper->barred, 0);
    }
    g_array_append_val(keeper->barred, view->digest);
    ch_digest_format(&view->digest, text);
    ch_metrics_count(keeper->node->client->metrics, CH_COUNT_CRASHERS, 1);
    ch_log(keeper->node->client, CH_LOG_WARNING, "request-barred",
           CH_F_STR("digest", text), CH_F_INT("crashes", view->crashes),
           CH_F_INT("sure", view->unexplained_crashes), CH_F_END);
    crash_record_note(keeper, view);
    if (!keeper->stopping) {
        keeper->jobs++;
        ch_pool_submit(keeper->node->pool, drop_barred, keeper);
    }
}

/* Writes a piece of evidence to the log: this node's own, and what others tell
 * of requests that were on more than one upstream. */
static void
log_run(struct ch_crash_keeper *keeper, const struct ch_crash_observation *run,
        const struct ch_crash_assessment *view, const char *from)
{
    char text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(&run->digest, text);
    ch_log(
        keeper->node->client, CH_LOG_NOTICE, "request-on-crash",
        CH_F_STR("digest", text),
        CH_F_STR("upstream", g_quark_to_string(run->upstream)),
        CH_F_INT("boot", run->boot_id),
        CH_F_INT("fresh", run->before_response),
        CH_F_INT("crashes", view->crashes),
        CH_F_INT("sure", view->unexplained_crashes),
        CH_F_STR("from", from == NULL ? keeper->node->settings->name : from),
        CH_F_END);
}

/* See crash_internal.h. */
bool
crash_keeper_take(struct ch_crash_keeper *keeper,
                  const struct ch_crash_observation *run, const char *from)
{
    if (!ch_crash_table_add(keeper->table, run)) {
        return false;
    }
    /* Of an outage of many upstreams, nearly all that others tell are
     * requests that were on one of them. */
    unsigned crashes =
        ch_crash_table_count_crashes(keeper->table, &run->digest);
    if (from != NULL && crashes < MIN(keeper->node->settings->crashes, 2)) {
        return true;
    }
    const struct ch_crash_assessment view =
        ch_crash_table_assess(keeper->table, &run->digest);
    log_run(keeper, run, &view, from);
    note_barred(keeper, &view);
    return true;
}

/* See crash_internal.h. */
void
crash_keeper_take_ended(struct ch_crash_keeper *keeper, GArray *ended)
{
    for (guint i = 0; i < ended->len; i++) {
        const struct ch_crash_observation *run =
            &g_array_index(ended, struct ch_crash_observation, i);
        if (crash_keeper_take(keeper, run, NULL)) {
            g_array_append_val(keeper->runs, *run);
            crash_tell_soon(keeper);
        }
    }
    ch_metrics_count(keeper->node->client->metrics, CH_COUNT_CRASHED_CALLS,
                     ended->len);
    g_array_free(ended, TRUE);
    crash_keeper_note_active(keeper);
}

/* A connection that was asked for, to learn whether an upstream ended. */
struct probe {
    struct ch_crash_keeper *keeper;
    GQuark upstream;
};

/* On the loop of calls out.  A connection that comes about shows nothing: it
 * may have been taken just before the process ended. */
static void
probe_end(void *data, const struct ch_http_end *end)
{
    struct probe *probe = data;
    struct ch_crash_keeper *keeper = probe->keeper;
    if (end->refused) {
        ch_crash_keeper_refused(keeper, probe->upstream);
    }
    pthread_mutex_lock(&keeper->lock);
    keeper->jobs--;
    pthread_cond_broadcast(&keeper->idle);
    pthread_mutex_unlock(&keeper->lock);
    g_free(probe);
}

/* Whether an upstream is to be asked for a connection now: once for all calls
 * that it cuts at the same moment.  Lock held. */
static bool
is_probed(struct ch_crash_keeper *keeper, GQuark upstream, int64_t now)
{
    gpointer key = GUINT_TO_POINTER(upstream);
    const int64_t *last = g_hash_table_lookup(keeper->probed, key);
    if (keeper->stopping || (last != NULL && now - *last < PROBE_PAUSE)) {
        return false;
    }
    g_hash_table_replace(keeper->probed, key, g_memdup2(&now, sizeof(now)));
    keeper->jobs++;
    return true;
}

/* Asks for a connection to an upstream. */
static void
probe(struct ch_crash_keeper *keeper, const struct ch_grant *grant)
{
    static const struct ch_http_handlers handlers = {.on_end = probe_end};
    struct probe *probe = g_new0(struct probe, 1);
    probe->keeper = keeper;
    probe->upstream = grant->upstream;
    g_autofree char *url = g_strdup_printf("http://%s/", grant->address);
    const struct ch_http_request request = {
        .method = "GET",
        .url = url,
        .connect_limit = PROBE_LIMIT,
        .total_limit = PROBE_LIMIT,
        .connect_only = true,
    };
    ch_http_submit(keeper->node->http, &request, &handlers, probe);
}

/* Whether an upstream may have crashed: one that leaves, or that the list has
 * dropped before, ends as planned.  Lock held. */
static bool
may_crash(const struct ch_crash_keeper *keeper, GQuark upstream)
{
    return keeper->staying == NULL ||
           g_hash_table_contains(keeper->staying, GUINT_TO_POINTER(upstream));
}

/* See crash_keeper.h. */
void
ch_crash_keeper_cut(struct ch_crash_keeper *keeper,
                    const struct ch_request *request,
                    const struct ch_grant *grant, bool fresh)
{
    if (keeper == NULL) {
        return;
    }
    const struct ch_crash_observation run = {
        .digest = digest_of(request),
        .fingerprint = request->fingerprint,
        .upstream = grant->upstream,
        .boot_id = grant->boot,
        .ended_at = ch_client_now(keeper->node->client),
        .before_response = fresh,
    };
    bool asks = false;
    pthread_mutex_lock(&keeper->lock);
    if (may_crash(keeper, run.upstream)) {
        GArray *ended =
            g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
        ch_interrupted_calls_add(keeper->cuts, &run);
        if (ch_crash_table_has_crash(keeper->table, run.upstream,
                                     run.boot_id)) {
            ch_interrupted_calls_note_crash(keeper->cuts, run.upstream,
                                            run.boot_id, ended);
        }
        else if (grant->address != NULL) {
            asks = is_probed(keeper, run.upstream, run.ended_at);
        }
        crash_keeper_take_ended(keeper, ended);
    }
    pthread_mutex_unlock(&keeper->lock);
    if (asks) {
        probe(keeper, grant);
    }
}

/* See crash_keeper.h. */
void
ch_crash_keeper_refused(struct ch_crash_keeper *keeper, GQuark upstream)
{
    if (!is_active(keeper)) {
        return;
    }
    GArray *ended =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    pthread_mutex_lock(&keeper->lock);
    ch_interrupted_calls_note_refused(
        keeper->cuts, upstream, ch_client_now(keeper->node->client), ended);
    crash_keeper_take_ended(keeper, ended);
    pthread_mutex_unlock(&keeper->lock);
}

/* See crash_keeper.h. */
void
ch_crash_keeper_answered(struct ch_crash_keeper *keeper, GQuark upstream,
                         int64_t sent)
{
    if (!is_active(keeper)) {
        return;
    }
    pthread_mutex_lock(&keeper->lock);
    ch_interrupted_calls_note_response(keeper->cuts, upstream, sent);
    crash_keeper_note_active(keeper);
    pthread_mutex_unlock(&keeper->lock);
}

/* Whether a request may be one of those in the table, by its fingerprint. */
static bool
may_be_known(struct ch_crash_keeper *keeper, const struct ch_request *request)
{
    if (!is_active(keeper)) {
        return false;
    }
    pthread_mutex_lock(&keeper->lock);
    bool known =
        ch_crash_table_has_fingerprint(keeper->table, request->fingerprint);
    pthread_mutex_unlock(&keeper->lock);
    return known;
}

/* See crash_keeper.h. */
void
ch_crash_keeper_whole(struct ch_crash_keeper *keeper,
                      const struct ch_request *request)
{
    if (!may_be_known(keeper, request)) {
        return;
    }
    const struct ch_digest digest = digest_of(request);
    pthread_mutex_lock(&keeper->lock);
    bool was_barred = find_barred(keeper, &digest) >= 0;
    if (ch_crash_table_mark_harmless(keeper->table, &digest)) {
        g_array_append_val(keeper->sound, digest);
        crash_keeper_forget_barred(keeper, &digest);
        crash_tell_soon(keeper);
    }
    pthread_mutex_unlock(&keeper->lock);
    if (was_barred) {
        crash_record_remove(keeper, &digest);
    }
}

/* See crash_keeper.h. */
bool
ch_crash_keeper_bars(struct ch_crash_keeper *keeper,
                     const struct ch_request *request)
{
    if (!may_be_known(keeper, request)) {
        return false;
    }
    const struct ch_digest digest = digest_of(request);
    pthread_mutex_lock(&keeper->lock);
    const struct ch_crash_assessment view =
        ch_crash_table_assess(keeper->table, &digest);
    note_barred(keeper, &view);
    pthread_mutex_unlock(&keeper->lock);
    return view.state == CH_CRASH_BARRED;
}

/* See crash_keeper.h. */
void
ch_crash_keeper_listed(struct ch_crash_keeper *keeper,
                       const struct ch_crash_listed_upstream *listed,
                       size_t count)
{
    if (keeper == NULL) {
        return;
    }
    GArray *ended =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    pthread_mutex_lock(&keeper->lock);
    if (keeper->staying == NULL) {
        keeper->staying = g_hash_table_new(NULL, NULL);
    }
    g_hash_table_remove_all(keeper->staying);
    for (size_t i = 0; i < count; i++) {
        if (!listed[i].draining) {
            g_hash_table_add(keeper->staying,
                             GUINT_TO_POINTER(listed[i].upstream));
        }
    }
    ch_interrupted_calls_note_list(keeper->cuts, listed, count, ended);
    crash_keeper_take_ended(keeper, ended);
    pthread_mutex_unlock(&keeper->lock);
}

/* See crash_keeper.h. */
bool
ch_crash_keeper_known(struct ch_crash_keeper *keeper)
{
    if (keeper == NULL) {
        return true;
    }
    int64_t now = ch_client_now(keeper->node->client);
    pthread_mutex_lock(&keeper->lock);
    bool read = keeper->read || keeper->node->kv == NULL;
    bool known = (keeper->heard && read) || now - keeper->started > KNOWN_BY;
    pthread_mutex_unlock(&keeper->lock);
    return known;
}

/* ---- operators ---- */

/* See crash_keeper.h. */
bool
ch_crash_keeper_release(struct ch_crash_keeper *keeper,
                        const struct ch_digest *digest)
{
    if (keeper == NULL) {
        return false;
    }
    char text[CH_DIGEST_TEXT_SIZE];
    int64_t now = ch_client_now(keeper->node->client);
    pthread_mutex_lock(&keeper->lock);
    bool known = ch_crash_table_release(keeper->table, digest, now);
    if (known) {
        g_array_append_val(keeper->released, *digest);
        crash_keeper_forget_barred(keeper, digest);
        crash_tell_soon(keeper);
    }
    pthread_mutex_unlock(&keeper->lock);
    ch_digest_format(digest, text);
    ch_log(keeper->node->client, CH_LOG_NOTICE, "request-released",
           CH_F_STR("digest", text), CH_F_INT("known", known), CH_F_END);
    crash_record_remove(keeper, digest);
    return known;
}

struct status {
    JsonBuilder *builder;
    int64_t now;
};

/* One request in the status. */
static void
status_view(void *data, const struct ch_crash_assessment *view)
{
    static const char *const names[] = {
        [CH_CRASH_UNKNOWN] = "released",
        [CH_CRASH_SUSPECTED] = "suspected",
        [CH_CRASH_BARRED] = "barred",
        [CH_CRASH_HARMLESS] = "sound",
    };
    const struct status *status = data;
    JsonBuilder *builder = status->builder;
    char text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(&view->digest, text);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "digest");
    json_builder_add_string_value(builder, text);
    json_builder_set_member_name(builder, "state");
    json_builder_add_string_value(builder, names[view->state]);
    json_builder_set_member_name(builder, "crashes");
    json_builder_add_int_value(builder, view->crashes);
    json_builder_set_member_name(builder, "sure");
    json_builder_add_int_value(builder, view->unexplained_crashes);
    json_builder_set_member_name(builder, "last_ms_ago");
    json_builder_add_int_value(builder,
                               (status->now - view->last_evidence_at) / 1000);
    json_builder_end_object(builder);
}

/* See crash_keeper.h. */
void
ch_crash_keeper_status(struct ch_crash_keeper *keeper, JsonBuilder *builder)
{
    if (keeper == NULL) {
        return;
    }
    struct status status = {builder, ch_client_now(keeper->node->client)};
    json_builder_set_member_name(builder, "crash_suspects");
    json_builder_begin_array(builder);
    pthread_mutex_lock(&keeper->lock);
    ch_crash_table_foreach(keeper->table, status_view, &status);
    pthread_mutex_unlock(&keeper->lock);
    json_builder_end_array(builder);
}

/* ---- life ---- */

/* Whether a probe is so old that its upstream may be asked again. */
static gboolean
is_old_probe(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return *(const int64_t *)value + PROBE_PAUSE < *(const int64_t *)data;
}

/* What is due now and then, on the pool. */
static void
tick(void *data)
{
    struct ch_crash_keeper *keeper = data;
    int64_t now = ch_client_now(keeper->node->client);
    pthread_mutex_lock(&keeper->lock);
    ch_interrupted_calls_expire(keeper->cuts, now);
    ch_crash_table_expire(keeper->table, now);
    g_hash_table_foreach_remove(keeper->probed, is_old_probe, &now);
    crash_keeper_note_active(keeper);
    pthread_mutex_unlock(&keeper->lock);
    crash_tell_tick(keeper, now);
    crash_record_tick(keeper, now);
    pthread_mutex_lock(&keeper->lock);
    if (keeper->stopping) {
        keeper->jobs--;
        pthread_cond_broadcast(&keeper->idle);
    }
    else {
        ch_timers_after(keeper->node->timers,
                        keeper->heard ? TICK : TICK_UNKNOWN, tick, keeper);
    }
    pthread_mutex_unlock(&keeper->lock);
}

/* A keeper that knows of no crash. */
struct ch_crash_keeper *
ch_crash_keeper_new(struct ch_node *node)
{
    const struct ch_crash_limits limits = {
        .crashes_to_bar = node->settings->crashes,
        .max_requests = node->settings->crash_requests,
        .retention = (int64_t)node->settings->crash_keep_s * G_USEC_PER_SEC,
    };
    struct ch_crash_keeper *keeper = g_new0(struct ch_crash_keeper, 1);
    keeper->node = node;
    keeper->table = ch_crash_table_new(&limits);
    keeper->cuts = ch_interrupted_calls_new();
    keeper->probed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    keeper->barred = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    keeper->unrecorded =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_assessment));
    keeper->runs =
        g_array_new(FALSE, FALSE, sizeof(struct ch_crash_observation));
    keeper->sound = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    keeper->released = g_array_new(FALSE, FALSE, sizeof(struct ch_digest));
    pthread_mutex_init(&keeper->lock, NULL);
    pthread_cond_init(&keeper->idle, NULL);
    crash_tell_init(keeper);
    return keeper;
}

/* Begins the tick. */
void
ch_crash_keeper_start(struct ch_crash_keeper *keeper)
{
    keeper->started = ch_client_now(keeper->node->client);
    keeper->ticked = keeper->started;
    keeper->jobs = 1;
    ch_timers_after(keeper->node->timers, TICK_UNKNOWN, tick, keeper);
}

/* Ends the tick, and waits for what is being told. */
void
ch_crash_keeper_stop(struct ch_crash_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    keeper->stopping = true;
    while (keeper->jobs > 0) {
        pthread_cond_wait(&keeper->idle, &keeper->lock);
    }
    pthread_mutex_unlock(&keeper->lock);
}

/* Frees it after its stop. */
void
ch_crash_keeper_free(struct ch_crash_keeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    ch_crash_table_free(keeper->table);
    ch_interrupted_calls_free(keeper->cuts);
    if (keeper->staying != NULL) {
        g_hash_table_destroy(keeper->staying);
    }
    g_hash_table_destroy(keeper->probed);
    g_array_free(keeper->barred, TRUE);
    g_array_free(keeper->unrecorded, TRUE);
    g_array_free(keeper->runs, TRUE);
    g_array_free(keeper->sound, TRUE);
    g_array_free(keeper->released, TRUE);
    pthread_mutex_destroy(&keeper->lock);
    pthread_cond_destroy(&keeper->idle);
    g_free(keeper);
}
