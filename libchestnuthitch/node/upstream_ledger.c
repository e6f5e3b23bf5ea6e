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
struct ch_upstream_ledger *
ch_upstream_ledger_new(struct ch_ledger_context *context, GQuark upstream)
{
    struct ch_upstream_ledger *ledger = g_new0(struct ch_upstream_ledger, 1);
    ledger->context = context;
    ledger->upstream = upstream;
    ledger->key = g_strconcat("ledger/", g_quark_to_string(upstream), NULL);
    pthread_mutex_init(&ledger->lock, NULL);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&ledger->idle, &attributes);
    pthread_condattr_destroy(&attributes);
    ledger->references = 1;
    ledger->must_read = true;
    ledger->intents = g_array_new(FALSE, TRUE, sizeof(struct intent));
    ledger->ended_sends = g_array_new(FALSE, TRUE, sizeof(struct ended_send));
    ledger->in_flight =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ledger->retries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return ledger;
}

/* Adds a reference; returns ledger. */
struct ch_upstream_ledger *
ch_upstream_ledger_ref(struct ch_upstream_ledger *ledger)
{
    g_atomic_int_inc(&ledger->references);
    return ledger;
}

/* Drops a reference; the last frees the ledger. */
void
ch_upstream_ledger_unref(struct ch_upstream_ledger *ledger)
{
    if (!g_atomic_int_dec_and_test(&ledger->references)) {
        return;
    }
    ledger_discard_pending(ledger);
    ch_ledger_free(ledger->current_version);
    ch_engine_report_free(ledger->report);
    g_array_free(ledger->intents, TRUE);
    g_array_free(ledger->ended_sends, TRUE);
    g_hash_table_destroy(ledger->in_flight);
    g_hash_table_destroy(ledger->retries);
    pthread_cond_destroy(&ledger->idle);
    pthread_mutex_destroy(&ledger->lock);
    g_free(ledger->key);
    g_free(ledger);
}

/* ---- calls to the handlers, with no lock held ---- */

/* Passes a copy of the current ledger to the home. */
static void
notify_changed(struct ch_upstream_ledger *ledger)
{
    const struct ch_ledger_context *context = ledger->context;
    pthread_mutex_lock(&ledger->lock);
    struct ch_ledger *copy = NULL;
    if (ledger->engine != NULL && ledger->current_version != NULL) {
        copy = ch_ledger_copy(ledger->current_version);
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
ledger_notify_failed(struct ch_upstream_ledger *ledger, GArray *failed)
{
    const struct ch_ledger_context *context = ledger->context;
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
ledger_submit_step(struct ch_upstream_ledger *ledger)
{
    ch_pool_submit(ledger->context->node->pool, run_step,
                   ch_upstream_ledger_ref(ledger));
}

/* Ends a step, so that another may start. */
static void
finish_step(struct ch_upstream_ledger *ledger)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->step_running = false;
    pthread_cond_broadcast(&ledger->idle);
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

/* Timer callback after a backoff; owns the timer's reference. */
static void
handle_backoff_end(void *data)
{
    struct ch_upstream_ledger *ledger = data;
    pthread_mutex_lock(&ledger->lock);
    ledger->backoff_timer = 0;
    pthread_mutex_unlock(&ledger->lock);
    run_step(ledger);
}

/* Delays the next call after the store gave no reply.  Lock held. */
static void
start_backoff(struct ch_upstream_ledger *ledger)
{
    const struct ch_node *node = ledger->context->node;
    ledger->backoff =
        CLAMP(ledger->backoff * 2, MIN_BACKOFF_US, MAX_BACKOFF_US);
    ledger->next_call_at = ch_client_get_time(node->client) + ledger->backoff;
    if (ledger->backoff_timer == 0 && !ledger->stopped) {
        ledger->backoff_timer =
            ch_timers_add(node->timers, ledger->backoff, handle_backoff_end,
                          ch_upstream_ledger_ref(ledger));
    }
}

/* ---- calls to the key-value store ---- */

static void handle_write_reply(void *data, const struct ch_kv_result *reply);

/* Sends the pending version. */
static void
send_write(struct ch_upstream_ledger *ledger)
{
    ch_kv_call_put(ledger->context->node, ledger->key, ledger->pending_text,
                   strlen(ledger->pending_text), ledger->revision,
                   handle_write_reply, ch_upstream_ledger_ref(ledger));
}

/* Adds the intents that the pending write was to carry out to failed. */
static void
fail_pending_orders(struct ch_upstream_ledger *ledger, enum ch_code code,
                    GArray *failed)
{
    for (guint i = 0;
         ledger->pending_orders != NULL && i < ledger->pending_orders->len;
         i++) {
        const struct outgoing_order *pending =
            g_ptr_array_index(ledger->pending_orders, i);
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
handle_write_success(struct ch_upstream_ledger *ledger, uint64_t revision)
{
    pthread_mutex_lock(&ledger->lock);
    ch_ledger_free(ledger->current_version);
    ledger->current_version = ledger->pending_version;
    ledger->pending_version = NULL;
    ledger->revision = revision;
    ledger->backoff = 0;
    GPtrArray *orders = g_ptr_array_ref(ledger->pending_orders);
    ledger_discard_pending(ledger);
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
handle_write_failure(struct ch_upstream_ledger *ledger, enum ch_code code)
{
    GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
    pthread_mutex_lock(&ledger->lock);
    fail_pending_orders(ledger, code, failed);
    ledger_discard_pending(ledger);
    ledger->must_read = true;
    if (code != CH_KV_CONFLICT) {
        start_backoff(ledger);
    }
    pthread_mutex_unlock(&ledger->lock);
    ch_log(ledger->context->node->client, CH_LOG_NOTICE, "ledger-not-written",
           CH_F_STR("upstream", g_quark_to_string(ledger->upstream)),
           CH_F_STR("code", ch_code_get_name(code)), CH_F_END);
    ledger_notify_failed(ledger, failed);
    finish_step(ledger);
}

/*
 * A write whose outcome is unknown is treated neither as done nor as not done.
 * Its orders are not sent and the ledger is read again.  Sends that the ledger
 * then records for this process count as ended, and the next steps send them
 * again.
 */
static void
handle_write_reply(void *data, const struct ch_kv_result *reply)
{
    struct ch_upstream_ledger *ledger = data;
    if (reply->code == CH_OK) {
        handle_write_success(ledger, reply->revision);
    }
    else {
        handle_write_failure(ledger, reply->code == CH_KV_MISSING
                                         ? CH_KV_CONFLICT
                                         : reply->code);
    }
    ch_upstream_ledger_unref(ledger);
}

/* Uses the ledger that was read, and owns it.  Reports that are already here
 * or on their way may be older than the ledger and are ignored. */
static void
use_ledger(struct ch_upstream_ledger *ledger, struct ch_ledger *read_ledger,
           uint64_t revision)
{
    pthread_mutex_lock(&ledger->lock);
    ch_ledger_free(ledger->current_version);
    ledger->current_version = read_ledger;
    ledger->revision = revision;
    ledger->must_read = false;
    ledger->own_sends_checked = false;
    ledger->skip_report = true;
    ledger->backoff = 0;
    ch_engine_report_free(ledger->report);
    ledger->report = NULL;
    pthread_mutex_unlock(&ledger->lock);
    notify_changed(ledger);
}

/* Schedules another read after a backoff. */
static void
handle_read_failure(struct ch_upstream_ledger *ledger, enum ch_code code)
{
    pthread_mutex_lock(&ledger->lock);
    start_backoff(ledger);
    pthread_mutex_unlock(&ledger->lock);
    ch_log(ledger->context->node->client, CH_LOG_WARNING, "ledger-not-read",
           CH_F_STR("upstream", g_quark_to_string(ledger->upstream)),
           CH_F_STR("code", ch_code_get_name(code)), CH_F_END);
}

/* Handles the reply to a read. */
static void
handle_read_reply(void *data, const struct ch_kv_result *reply)
{
    struct ch_upstream_ledger *ledger = data;
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
    ch_upstream_ledger_unref(ledger);
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
fail_intents(struct ch_upstream_ledger *ledger, GArray *failed)
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
choose_step(struct ch_upstream_ledger *ledger, GArray *failed)
{
    bool has_unrecorded_sends = g_hash_table_size(ledger->in_flight) > 0 ||
                                ledger->ended_sends->len > 0;
    if (ledger->stopped || ledger->step_running ||
        (ledger->engine == NULL && !has_unrecorded_sends)) {
        return STEP_NONE;
    }
    if (ch_client_get_time(ledger->context->node->client) <
        ledger->next_call_at) {
        fail_intents(ledger, failed);
        return STEP_NONE;
    }
    if (ledger->must_read) {
        return STEP_READ;
    }
    if (ledger_build_next(ledger, failed)) {
        ledger_discard_applied(ledger);
        return STEP_WRITE;
    }
    ledger_discard_applied(ledger);
    return STEP_NONE;
}

/* Runs the next step, if any, on a pool worker.  Drops the reference that the
 * job holds. */
static void
run_step(void *data)
{
    struct ch_upstream_ledger *ledger = data;
    GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
    pthread_mutex_lock(&ledger->lock);
    enum next_step next = choose_step(ledger, failed);
    ledger->step_running |= next != STEP_NONE;
    pthread_cond_broadcast(&ledger->idle);
    pthread_mutex_unlock(&ledger->lock);
    ledger_notify_failed(ledger, failed);
    if (next == STEP_READ) {
        ch_kv_call_get(ledger->context->node, ledger->key, handle_read_reply,
                       ch_upstream_ledger_ref(ledger));
    }
    else if (next == STEP_WRITE) {
        send_write(ledger);
    }
    ch_upstream_ledger_unref(ledger);
}

/* ---- functions for the ledger manager ---- */

/* Called when this node became home: the ledger is read before anything
 * else. */
void
ch_upstream_ledger_open(struct ch_upstream_ledger *ledger,
                        struct ch_upstream *engine, uint32_t capacity_mb)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->engine = engine;
    ledger->capacity_mb = capacity_mb;
    ledger->must_read = true;
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

/* Called when this node is no longer home. */
void
ch_upstream_ledger_close(struct ch_upstream_ledger *ledger)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->engine = NULL;
    g_array_set_size(ledger->intents, 0);
    while (ledger->sending_threads > 0) {
        pthread_cond_wait(&ledger->idle, &ledger->lock);
    }
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

/* Sends of a process that has gone are never recorded as ended.  Their memory
 * then stays reserved for good, even after the engine restarts.  So a planned
 * stop waits for the sends of this process. */
void
ch_upstream_ledger_wait_recorded(struct ch_upstream_ledger *ledger,
                                 const struct timespec *deadline)
{
    const struct ch_client *client = ledger->context->node->client;
    bool timed_out = false;
    pthread_mutex_lock(&ledger->lock);
    while (!timed_out && ledger->current_version != NULL &&
           (ledger->step_running || ledger->ended_sends->len > 0 ||
            g_hash_table_size(ledger->in_flight) > 0) &&
           ch_client_get_time(client) >= ledger->next_call_at) {
        timed_out = pthread_cond_timedwait(&ledger->idle, &ledger->lock,
                                           deadline) != 0;
    }
    pthread_mutex_unlock(&ledger->lock);
}

/* Cancels the backoff timer; calls under way still finish. */
void
ch_upstream_ledger_stop(struct ch_upstream_ledger *ledger)
{
    pthread_mutex_lock(&ledger->lock);
    ledger->stopped = true;
    uint64_t timer = ledger->backoff_timer;
    ledger->backoff_timer = 0;
    pthread_mutex_unlock(&ledger->lock);
    if (timer != 0 && ch_timers_cancel(ledger->context->node->timers, timer)) {
        ch_upstream_ledger_unref(ledger);
    }
}

/* Records that an item is to be loaded or unloaded. */
void
ch_upstream_ledger_request_change(struct ch_upstream_ledger *ledger,
                                  GQuark item, enum ch_action_kind kind,
                                  uint32_t memory_mb)
{
    const struct intent intent = {
        .item = item, .kind = kind, .memory_mb = memory_mb};
    pthread_mutex_lock(&ledger->lock);
    g_array_append_val(ledger->intents, intent);
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}

static struct ch_engine_report *
copy_report(const struct ch_engine_report *report)
{
    struct ch_engine_report *copy = g_new0(struct ch_engine_report, 1);
    copy->boot_id = g_strdup(report->boot_id);
    copy->resident_item_count = report->resident_item_count;
    copy->resident_items =
        g_new0(struct ch_resident_item, report->resident_item_count + 1);
    for (size_t i = 0; i < report->resident_item_count; i++) {
        copy->resident_items[i].name =
            g_strdup(report->resident_items[i].name);
        copy->resident_items[i].memory_mb =
            report->resident_items[i].memory_mb;
    }
    copy->done_order_count = report->done_order_count;
    copy->done_order_ids = g_new0(char *, report->done_order_count + 1);
    for (size_t i = 0; i < report->done_order_count; i++) {
        copy->done_order_ids[i] = g_strdup(report->done_order_ids[i]);
    }
    return copy;
}

/*
 * Applies a report.  Reports are requested one at a time, so the second report
 * to arrive after an event was requested after that event: only that report
 * shows the event's result.
 */
void
ch_upstream_ledger_apply_report(struct ch_upstream_ledger *ledger,
                                const struct ch_engine_report *report)
{
    pthread_mutex_lock(&ledger->lock);
    for (guint i = 0; i < ledger->ended_sends->len; i++) {
        struct ended_send *ended =
            &g_array_index(ledger->ended_sends, struct ended_send, i);
        ended->report_after_end |= ended->report_seen;
        ended->report_seen = true;
    }
    if (ledger->skip_report) {
        ledger->skip_report = false;
    }
    else if (ledger->current_version != NULL && !ledger->must_read) {
        ch_engine_report_free(ledger->report);
        ledger->report = copy_report(report);
    }
    pthread_mutex_unlock(&ledger->lock);
    ledger_submit_step(ledger);
}
