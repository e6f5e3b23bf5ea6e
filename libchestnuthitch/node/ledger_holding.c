/* One upstream's ledger at its home: read, changed step by step, written. */

#include "node/ledger_internal.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>

enum {
    /*
     * While the key-value store is unavailable, one call is made after each
     * backoff of 250 ms, doubled up to 8 s.  1,900 ledgers then make a few
     * hundred calls a second at most, and the store can recover under that
     * load.
     */
    MIN_BACKOFF_US = 250 * 1000,
    MAX_BACKOFF_US = 8 * 1000 * 1000,
};

/* ---- construction ---- */

/* A closed ledger with one reference. */
struct ch_ledger_holding *
ch_ledger_holding_new(struct ch_ledger_office *context, GQuark upstream)
{
    struct ch_ledger_holding *ledger = g_new0(struct ch_ledger_holding, 1);
    ledger->office = context;
    ledger->upstream = upstream;
    ledger->key = g_strconcat("ledger/", g_quark_to_string(upstream), NULL);
    pthread_mutex_init(&ledger->lock, NULL);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&ledger->idle, &attributes);
    pthread_condattr_destroy(&attributes);
    ledger->references = 1;
    ledger->reread = true;
    ledger->intents = g_array_new(FALSE, TRUE, sizeof(struct intent));
    ledger->endings = g_array_new(FALSE, TRUE, sizeof(struct ending));
    ledger->inflight =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ledger->resends =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return ledger;
}

/* Adds a reference; returns ledger. */
struct ch_ledger_holding *
ch_ledger_holding_ref(struct ch_ledger_holding *ledger)
{
    g_atomic_int_inc(&ledger->references);
    return ledger;
}

/* Drops a reference; the last frees the ledger. */
void
ch_ledger_holding_unref(struct ch_ledger_holding *ledger)
{
    if (!g_atomic_int_dec_and_test(&ledger->references)) {
        return;
    }
    ledger_drop_writing(ledger);
    ch_ledger_free(ledger->ledger);
    ch_report_free(ledger->report);
    g_array_free(ledger->intents, TRUE);
    g_array_free(ledger->endings, TRUE);
    g_hash_table_destroy(ledger->inflight);
    g_hash_table_destroy(ledger->resends);
    pthread_cond_destroy(&ledger->idle);
    pthread_mutex_destroy(&ledger->lock);
    g_free(ledger->key);
    g_free(ledger);
}

/* ---- calls to the handlers, with no lock held ---- */

/* Passes a copy of the current ledger to the home. */
static void
notify_changed(struct ch_ledger_holding *ledger)
{
    const struct ch_ledger_office *context = ledger->office;
    pthread_mutex_lock(&ledger->lock);
    struct ch_ledger *copy = NULL;
    if (ledger->engine != NULL && ledger->ledger != NULL) {
        copy = ch_ledger_copy(ledger->ledger);
    }
    pthread_mutex_unlock(&ledger->lock);
    if (copy != NULL) {
        context->handlers.changed(context->data, ledger->upstream, copy);
        ch_ledger_free(copy);
    }
}

/* Tells the home of each intent that will not be carried out, and frees the
 * list. */
void
ledger_tell_failed(struct ch_ledger_holding *ledger, GArray *failed)
{
    const struct ch_ledger_office *context = ledger->office;
    for (guint i = 0; i < failed->len; i++) {
        const struct intent *intent = &g_array_index(failed, struct intent, i);
        context->handlers.failed(context->data, ledger->upstream, intent->item,
                                 intent->kind, intent->code);
    }
    g_array_free(failed, TRUE);
}

/* ---- steps: one at a time, by the thread that set step_running ---- */

static void run_step(void *data);

/* Has a pool worker run the next step.  The job holds a reference. */
void
ledger_submit_step(struct ch_ledger_holding *ledger)
{
    ch_pool_submit(ledger->office->node->pool, run_step,
                   ch_ledger_holding_ref(ledger));
}

/* Ends a step, so that another may start. */
static void
finish_step(struct ch_ledger_holding *ledger)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->busy = false;
    pthread_cond_broadcast(&ledger->idle);
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

/* Timer callback after a backoff; owns the timer's reference. */
static void
handle_backoff_end(void *data)
{
    struct ch_ledger_holding *ledger = data;
    pthread_mutex_lock(&ledger->lock);
    ledger->timer = 0;
    pthread_mutex_unlock(&ledger->lock);
    run_step(ledger);
}

/* Delays the next call after the store gave no reply.  Lock held. */
static void
start_backoff(struct ch_ledger_holding *ledger)
{
    const struct ch_node *node = ledger->office->node;
    ledger->pause = CLAMP(ledger->pause * 2, MIN_BACKOFF_US, MAX_BACKOFF_US);
    ledger->not_before = ch_client_now(node->client) + ledger->pause;
    if (ledger->timer == 0 && !ledger->stopped) {
        ledger->timer =
            ch_timers_after(node->timers, ledger->pause, handle_backoff_end,
                            ch_ledger_holding_ref(ledger));
    }
}

/* ---- calls to the key-value store ---- */

static void handle_write_reply(void *data, const struct ch_kv_answer *reply);

/* Sends the pending version. */
static void
send_write(struct ch_ledger_holding *ledger)
{
    ch_kv_call_put(ledger->office->node, ledger->key, ledger->bytes,
                   strlen(ledger->bytes), ledger->revision, handle_write_reply,
                   ch_ledger_holding_ref(ledger));
}

/* Adds the intents that the pending write was to carry out to failed. */
static void
fail_pending_orders(struct ch_ledger_holding *ledger, enum ch_code code,
                    GArray *failed)
{
    for (guint i = 0; ledger->outgoing != NULL && i < ledger->outgoing->len;
         i++) {
        const struct outgoing *pending =
            g_ptr_array_index(ledger->outgoing, i);
        struct intent intent = {
            .item = g_quark_from_string(pending->item),
            .kind = pending->order.action == CH_ORDER_LOAD ? CH_ACTION_LOAD
                                                           : CH_ACTION_UNLOAD,
            .code = code,
        };
        g_array_append_val(failed, intent);
    }
}

/* Handles a successful write: its orders are sent. */
static void
handle_write_success(struct ch_ledger_holding *ledger, uint64_t revision)
{
    pthread_mutex_lock(&ledger->lock);
    ch_ledger_free(ledger->ledger);
    ledger->ledger = ledger->writing;
    ledger->writing = NULL;
    ledger->revision = revision;
    ledger->pause = 0;
    GPtrArray *orders = g_ptr_array_ref(ledger->outgoing);
    ledger_drop_writing(ledger);
    pthread_mutex_unlock(&ledger->lock);
    ledger_send_orders(ledger, orders);
    g_ptr_array_unref(orders);
    notify_changed(ledger);
    finish_step(ledger);
}

/* Handles a write that failed or whose outcome is unknown: the ledger is read
 * again before anything else, after a backoff when the store is
 * unavailable. */
static void
handle_write_failure(struct ch_ledger_holding *ledger, enum ch_code code)
{
    GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
    pthread_mutex_lock(&ledger->lock);
    fail_pending_orders(ledger, code, failed);
    ledger_drop_writing(ledger);
    ledger->reread = true;
    if (code != CH_KV_CONFLICT) {
        start_backoff(ledger);
    }
    pthread_mutex_unlock(&ledger->lock);
    ch_log(ledger->office->node->client, CH_LOG_NOTICE, "ledger-not-written",
           CH_F_STR("upstream", g_quark_to_string(ledger->upstream)),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
    ledger_tell_failed(ledger, failed);
    finish_step(ledger);
}

/*
 * A write whose outcome is unknown is treated neither as done nor as not done.
 * Its orders are not sent and the ledger is read again.  Sends that the ledger
 * then records for this process count as ended, and the next steps send them
 * again.
 */
static void
handle_write_reply(void *data, const struct ch_kv_answer *reply)
{
    struct ch_ledger_holding *ledger = data;
    if (reply->code == CH_OK) {
        handle_write_success(ledger, reply->revision);
    }
    else {
        handle_write_failure(ledger, reply->code == CH_KV_MISSING
                                         ? CH_KV_CONFLICT
                                         : reply->code);
    }
    ch_ledger_holding_unref(ledger);
}

/* Uses the ledger that was read, and owns it.  Reports that are already here
 * or on their way may be older than the ledger and are ignored. */
static void
use_ledger(struct ch_ledger_holding *ledger, struct ch_ledger *read_ledger,
           uint64_t revision)
{
    pthread_mutex_lock(&ledger->lock);
    ch_ledger_free(ledger->ledger);
    ledger->ledger = read_ledger;
    ledger->revision = revision;
    ledger->reread = false;
    ledger->adopted = false;
    ledger->skip_report = true;
    ledger->pause = 0;
    ch_report_free(ledger->report);
    ledger->report = NULL;
    pthread_mutex_unlock(&ledger->lock);
    notify_changed(ledger);
}

/* Schedules another read after a backoff. */
static void
handle_read_failure(struct ch_ledger_holding *ledger, enum ch_code code)
{
    pthread_mutex_lock(&ledger->lock);
    start_backoff(ledger);
    pthread_mutex_unlock(&ledger->lock);
    ch_log(ledger->office->node->client, CH_LOG_WARNING, "ledger-not-read",
           CH_F_STR("upstream", g_quark_to_string(ledger->upstream)),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
}

/* Handles the reply to a read. */
static void
handle_read_reply(void *data, const struct ch_kv_answer *reply)
{
    struct ch_ledger_holding *ledger = data;
    struct ch_error error = {0};
    struct ch_ledger *read_ledger = NULL;
    uint64_t revision = reply->revision;
    if (reply->code == CH_KV_MISSING) {
        read_ledger = ch_ledger_new(g_quark_to_string(ledger->upstream), 0);
        revision = 0;
    }
    else if (reply->code == CH_OK) {
        read_ledger = ch_ledger_parse(reply->value, reply->length, &error);
    }
    if (read_ledger != NULL) {
        use_ledger(ledger, read_ledger, revision);
    }
    else {
        handle_read_failure(ledger,
                            error.code != CH_OK ? error.code : reply->code);
    }
    finish_step(ledger);
    ch_ledger_holding_unref(ledger);
}

/* ---- choosing the next step ---- */

enum next_step {
    STEP_NONE,
    STEP_READ,
    STEP_WRITE,
};

/* Moves the intents to failed: the store is unavailable, and a model that is
 * needed now may be loaded elsewhere.  Lock held. */
static void
fail_intents(struct ch_ledger_holding *ledger, GArray *failed)
{
    for (guint i = 0; i < ledger->intents->len; i++) {
        struct intent intent =
            g_array_index(ledger->intents, struct intent, i);
        intent.code = CH_KV_UNREACHABLE;
        g_array_append_val(failed, intent);
    }
    g_array_set_size(ledger->intents, 0);
}

/* Chooses the next step.  Lock held. */
static enum next_step
choose_step(struct ch_ledger_holding *ledger, GArray *failed)
{
    bool has_unrecorded_sends =
        g_hash_table_size(ledger->inflight) > 0 || ledger->endings->len > 0;
    if (ledger->stopped || ledger->busy ||
        (ledger->engine == NULL && !has_unrecorded_sends)) {
        return STEP_NONE;
    }
    if (ch_client_now(ledger->office->node->client) < ledger->not_before) {
        fail_intents(ledger, failed);
        return STEP_NONE;
    }
    if (ledger->reread) {
        return STEP_READ;
    }
    if (ledger_compose(ledger, failed)) {
        ledger_consume(ledger);
        return STEP_WRITE;
    }
    ledger_consume(ledger);
    return STEP_NONE;
}

/* Runs the next step, if any, on a pool worker.  Drops the reference that the
 * job holds. */
static void
run_step(void *data)
{
    struct ch_ledger_holding *ledger = data;
    GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
    pthread_mutex_lock(&ledger->lock);
    enum next_step next = choose_step(ledger, failed);
    ledger->busy |= next != STEP_NONE;
    pthread_cond_broadcast(&ledger->idle);
    pthread_mutex_unlock(&ledger->lock);
    ledger_tell_failed(ledger, failed);
    if (next == STEP_READ) {
        ch_kv_call_get(ledger->office->node, ledger->key, handle_read_reply,
                       ch_ledger_holding_ref(ledger));
    }
    else if (next == STEP_WRITE) {
        send_write(ledger);
    }
    ch_ledger_holding_unref(ledger);
}

/* ---- functions for the ledger keeper ---- */

/* Called when this node became home: the ledger is read before anything
 * else. */
void
ch_ledger_holding_open(struct ch_ledger_holding *ledger,
                       struct ch_upstream *engine, uint32_t capacity_mb)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->engine = engine;
    ledger->capacity_mb = capacity_mb;
    ledger->reread = true;
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

/* Called when this node is no longer home. */
void
ch_ledger_holding_close(struct ch_ledger_holding *ledger)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->engine = NULL;
    g_array_set_size(ledger->intents, 0);
    while (ledger->sending > 0) {
        pthread_cond_wait(&ledger->idle, &ledger->lock);
    }
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

/* Sends of a process that has gone are never recorded as ended.  Their memory
 * then stays reserved for good, even after the engine restarts.  So a planned
 * stop waits for the sends of this process. */
void
ch_ledger_holding_settle(struct ch_ledger_holding *ledger,
                         const struct timespec *deadline)
{
    const struct ch_client *client = ledger->office->node->client;
    bool timed_out = false;
    pthread_mutex_lock(&ledger->lock);
    while (!timed_out && ledger->ledger != NULL &&
           (ledger->busy || ledger->endings->len > 0 ||
            g_hash_table_size(ledger->inflight) > 0) &&
           ch_client_now(client) >= ledger->not_before) {
        timed_out = pthread_cond_timedwait(&ledger->idle, &ledger->lock,
                                           deadline) != 0;
    }
    pthread_mutex_unlock(&ledger->lock);
}

/* Cancels the backoff timer; calls under way still finish. */
void
ch_ledger_holding_stop(struct ch_ledger_holding *ledger)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->stopped = true;
    uint64_t timer = ledger->timer;
    ledger->timer = 0;
    pthread_mutex_unlock(&ledger->lock);
    if (timer != 0 && ch_timers_cancel(ledger->office->node->timers, timer)) {
        ch_ledger_holding_unref(ledger);
    }
}

/* Records that an item is to be loaded or unloaded. */
void
ch_ledger_holding_intend(struct ch_ledger_holding *ledger, GQuark item,
                         enum ch_action_kind kind, uint32_t memory_mb)
{
    const struct intent intent = {
        .item = item, .kind = kind, .memory_mb = memory_mb};
    pthread_mutex_lock(&ledger->lock);
    g_array_append_val(ledger->intents, intent);
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

static struct ch_report *
copy_report(const struct ch_report *report)
{
    struct ch_report *copy = g_new0(struct ch_report, 1);
    copy->boot = g_strdup(report->boot);
    copy->resident_count = report->resident_count;
    copy->resident = g_new0(struct ch_resident, report->resident_count + 1);
    for (size_t i = 0; i < report->resident_count; i++) {
        copy->resident[i].name = g_strdup(report->resident[i].name);
        copy->resident[i].memory_mb = report->resident[i].memory_mb;
    }
    copy->orders_done_count = report->orders_done_count;
    copy->orders_done = g_new0(char *, report->orders_done_count + 1);
    for (size_t i = 0; i < report->orders_done_count; i++) {
        copy->orders_done[i] = g_strdup(report->orders_done[i]);
    }
    return copy;
}

/*
 * Applies a report.  Reports are requested one at a time, so the second report
 * to arrive after an event was requested after that event: only that report
 * shows the event's result.
 */
void
ch_ledger_holding_report(struct ch_ledger_holding *ledger,
                         const struct ch_report *report)
{
    pthread_mutex_lock(&ledger->lock);
    for (guint i = 0; i < ledger->endings->len; i++) {
        struct ending *ended =
            &g_array_index(ledger->endings, struct ending, i);
        ended->ripe |= ended->report_seen;
        ended->report_seen = true;
    }
    if (ledger->skip_report) {
        ledger->skip_report = false;
    }
    else if (ledger->ledger != NULL && !ledger->reread) {
        ch_report_free(ledger->report);
        ledger->report = copy_report(report);
    }
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}
