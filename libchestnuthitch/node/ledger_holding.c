/* One upstream's ledger at its home: read, changed step by step, written. */

#include "node/ledger_internal.h"

#include "node/kv_call.h"

#include <pthread.h>
#include <string.h>

enum {
    /*
     * While the key-value service is away, one try after each pause: 250 ms,
     * doubled up to 8 s, so that 1,900 ledgers ask it for a few hundred calls
     * a second at most and it can come back under them.
     */
    FIRST_PAUSE = 250 * 1000,
    MOST_PAUSE = 8 * 1000 * 1000,
};

/* ---- construction ---- */

/* A closed holding with one reference. */
struct ch_ledger_holding *
ch_ledger_holding_new(struct ch_ledger_office *office, GQuark upstream)
{
    struct ch_ledger_holding *holding = g_new0(struct ch_ledger_holding, 1);
    holding->office = office;
    holding->upstream = upstream;
    holding->key = g_strconcat("ledger/", g_quark_to_string(upstream), NULL);
    pthread_mutex_init(&holding->lock, NULL);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&holding->idle, &attributes);
    pthread_condattr_destroy(&attributes);
    holding->references = 1;
    holding->reread = true;
    holding->intents = g_array_new(FALSE, TRUE, sizeof(struct intent));
    holding->endings = g_array_new(FALSE, TRUE, sizeof(struct ending));
    holding->inflight =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    holding->resends =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return holding;
}

/* One more owner. */
struct ch_ledger_holding *
ch_ledger_holding_ref(struct ch_ledger_holding *holding)
{
    g_atomic_int_inc(&holding->references);
    return holding;
}

/* One owner less; the last frees it. */
void
ch_ledger_holding_unref(struct ch_ledger_holding *holding)
{
    if (!g_atomic_int_dec_and_test(&holding->references)) {
        return;
    }
    ledger_drop_writing(holding);
    ch_ledger_free(holding->ledger);
    ch_report_free(holding->report);
    g_array_free(holding->intents, TRUE);
    g_array_free(holding->endings, TRUE);
    g_hash_table_destroy(holding->inflight);
    g_hash_table_destroy(holding->resends);
    pthread_cond_destroy(&holding->idle);
    pthread_mutex_destroy(&holding->lock);
    g_free(holding->key);
    g_free(holding);
}

/* ---- what the handlers are told, with no lock held ---- */

/* Tells the home of the ledger as now known. */
static void
tell_changed(struct ch_ledger_holding *holding)
{
    const struct ch_ledger_office *office = holding->office;
    pthread_mutex_lock(&holding->lock);
    struct ch_ledger *copy = NULL;
    if (holding->engine != NULL && holding->ledger != NULL) {
        copy = ch_ledger_copy(holding->ledger);
    }
    pthread_mutex_unlock(&holding->lock);
    if (copy != NULL) {
        office->handlers.changed(office->data, holding->upstream, copy);
        ch_ledger_free(copy);
    }
}

/* Tells the home of each intent that will not be done, and frees the list. */
void
ledger_tell_failed(struct ch_ledger_holding *holding, GArray *failed)
{
    const struct ch_ledger_office *office = holding->office;
    for (guint i = 0; i < failed->len; i++) {
        const struct intent *intent = &g_array_index(failed, struct intent, i);
        office->handlers.failed(office->data, holding->upstream, intent->item,
                                intent->kind, intent->code);
    }
    g_array_free(failed, TRUE);
}

/* ---- steps: one at a time; the thread that set busy does it ---- */

static void step(void *data);

/* Has a worker look for the next step.  A reference goes with the job. */
void
ledger_submit_step(struct ch_ledger_holding *holding)
{
    ch_pool_submit(holding->office->node->pool, step,
                   ch_ledger_holding_ref(holding));
}

/* Ends a step: another may begin. */
static void
step_over(struct ch_ledger_holding *holding)
{
    pthread_mutex_lock(&holding->lock);
    holding->busy = false;
    pthread_cond_broadcast(&holding->idle);
    pthread_mutex_unlock(&holding->lock);
    ledger_submit_step(holding);
}

/* The timer after a pause.  Its reference is the timer's. */
static void
pause_over(void *data)
{
    struct ch_ledger_holding *holding = data;
    pthread_mutex_lock(&holding->lock);
    holding->timer = 0;
    pthread_mutex_unlock(&holding->lock);
    step(holding);
}

/* After a call that the service did not answer: the next one only after a
 * pause.  Lock held. */
static void
begin_pause(struct ch_ledger_holding *holding)
{
    const struct ch_node *node = holding->office->node;
    holding->pause = CLAMP(holding->pause * 2, FIRST_PAUSE, MOST_PAUSE);
    holding->not_before = ch_client_now(node->client) + holding->pause;
    if (holding->timer == 0 && !holding->stopped) {
        holding->timer =
            ch_timers_after(node->timers, holding->pause, pause_over,
                            ch_ledger_holding_ref(holding));
    }
}

/* ---- calls to the key-value service ---- */

static void write_done(void *data, const struct ch_kv_answer *answer);

/* Sends the write under way. */
static void
send_write(struct ch_ledger_holding *holding)
{
    ch_kv_call_put(holding->office->node, holding->key, holding->bytes,
                   strlen(holding->bytes), holding->revision, write_done,
                   ch_ledger_holding_ref(holding));
}

/* Every intent that the write under way was to carry out has failed. */
static void
fail_outgoing(struct ch_ledger_holding *holding, enum ch_code code,
              GArray *failed)
{
    for (guint i = 0; holding->outgoing != NULL && i < holding->outgoing->len;
         i++) {
        const struct outgoing *out = g_ptr_array_index(holding->outgoing, i);
        struct intent intent = {
            .item = g_quark_from_string(out->item),
            .kind = out->order.action == CH_ORDER_LOAD ? CH_ACTION_LOAD
                                                       : CH_ACTION_UNLOAD,
            .code = code,
        };
        g_array_append_val(failed, intent);
    }
}

/* The write succeeded at revision: the orders may go. */
static void
write_succeeded(struct ch_ledger_holding *holding, uint64_t revision)
{
    pthread_mutex_lock(&holding->lock);
    ch_ledger_free(holding->ledger);
    holding->ledger = holding->writing;
    holding->writing = NULL;
    holding->revision = revision;
    holding->pause = 0;
    GPtrArray *orders = g_ptr_array_ref(holding->outgoing);
    ledger_drop_writing(holding);
    pthread_mutex_unlock(&holding->lock);
    ledger_send_orders(holding, orders);
    g_ptr_array_unref(orders);
    tell_changed(holding);
    step_over(holding);
}

/* The write did not take place, or nobody knows: the ledger is read again
 * before anything else, after a pause when the service is away. */
static void
write_failed(struct ch_ledger_holding *holding, enum ch_code code)
{
    GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
    pthread_mutex_lock(&holding->lock);
    fail_outgoing(holding, code, failed);
    ledger_drop_writing(holding);
    holding->reread = true;
    if (code != CH_KV_CONFLICT) {
        begin_pause(holding);
    }
    pthread_mutex_unlock(&holding->lock);
    ch_log(holding->office->node->client, CH_LOG_NOTICE, "ledger-not-written",
           CH_F_STR("upstream", g_quark_to_string(holding->upstream)),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
    ledger_tell_failed(holding, failed);
    step_over(holding);
}

/*
 * An ambiguous write is never taken for done or for not done.  Its orders are
 * not sent; the ledger is read, and what it then holds of this process counts
 * as a copy that ended, which the next steps send again.
 */
static void
write_done(void *data, const struct ch_kv_answer *answer)
{
    struct ch_ledger_holding *holding = data;
    if (answer->code == CH_OK) {
        write_succeeded(holding, answer->revision);
    }
    else {
        write_failed(holding, answer->code == CH_KV_MISSING ? CH_KV_CONFLICT
                                                            : answer->code);
    }
    ch_ledger_holding_unref(holding);
}

/* Takes the ledger that was read (owned) into use.  Reports on hand, or on
 * their way, may be older than it and are no evidence. */
static void
take_ledger(struct ch_ledger_holding *holding, struct ch_ledger *ledger,
            uint64_t revision)
{
    pthread_mutex_lock(&holding->lock);
    ch_ledger_free(holding->ledger);
    holding->ledger = ledger;
    holding->revision = revision;
    holding->reread = false;
    holding->adopted = false;
    holding->skip_report = true;
    holding->pause = 0;
    ch_report_free(holding->report);
    holding->report = NULL;
    pthread_mutex_unlock(&holding->lock);
    tell_changed(holding);
}

/* The ledger could not be read: after a pause, again. */
static void
read_failed(struct ch_ledger_holding *holding, enum ch_code code)
{
    pthread_mutex_lock(&holding->lock);
    begin_pause(holding);
    pthread_mutex_unlock(&holding->lock);
    ch_log(holding->office->node->client, CH_LOG_WARNING, "ledger-not-read",
           CH_F_STR("upstream", g_quark_to_string(holding->upstream)),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
}

/* The answer to a read. */
static void
read_done(void *data, const struct ch_kv_answer *answer)
{
    struct ch_ledger_holding *holding = data;
    struct ch_error error = {0};
    struct ch_ledger *ledger = NULL;
    uint64_t revision = answer->revision;
    if (answer->code == CH_KV_MISSING) {
        ledger = ch_ledger_new(g_quark_to_string(holding->upstream), 0);
        revision = 0;
    }
    else if (answer->code == CH_OK) {
        ledger = ch_ledger_parse(answer->value, answer->length, &error);
    }
    if (ledger != NULL) {
        take_ledger(holding, ledger, revision);
    }
    else {
        read_failed(holding, error.code != CH_OK ? error.code : answer->code);
    }
    step_over(holding);
    ch_ledger_holding_unref(holding);
}

/* ---- choosing the next step ---- */

enum next_step {
    STEP_NONE,
    STEP_READ,
    STEP_WRITE,
};

/* Moves the intents to failed: the service is away, and a model that is
 * wanted now may be brought in elsewhere.  Lock held. */
static void
fail_intents(struct ch_ledger_holding *holding, GArray *failed)
{
    for (guint i = 0; i < holding->intents->len; i++) {
        struct intent intent =
            g_array_index(holding->intents, struct intent, i);
        intent.code = CH_KV_UNREACHABLE;
        g_array_append_val(failed, intent);
    }
    g_array_set_size(holding->intents, 0);
}

/* What is to be done now.  Lock held. */
static enum next_step
choose_step(struct ch_ledger_holding *holding, GArray *failed)
{
    bool follow_up =
        g_hash_table_size(holding->inflight) > 0 || holding->endings->len > 0;
    if (holding->stopped || holding->busy ||
        (holding->engine == NULL && !follow_up)) {
        return STEP_NONE;
    }
    if (ch_client_now(holding->office->node->client) < holding->not_before) {
        fail_intents(holding, failed);
        return STEP_NONE;
    }
    if (holding->reread) {
        return STEP_READ;
    }
    if (ledger_compose(holding, failed)) {
        ledger_consume(holding);
        return STEP_WRITE;
    }
    ledger_consume(holding);
    return STEP_NONE;
}

/* On a worker, with a reference that it drops: does the next step, if any. */
static void
step(void *data)
{
    struct ch_ledger_holding *holding = data;
    GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
    pthread_mutex_lock(&holding->lock);
    enum next_step next = choose_step(holding, failed);
    holding->busy |= next != STEP_NONE;
    pthread_cond_broadcast(&holding->idle);
    pthread_mutex_unlock(&holding->lock);
    ledger_tell_failed(holding, failed);
    if (next == STEP_READ) {
        ch_kv_call_get(holding->office->node, holding->key, read_done,
                       ch_ledger_holding_ref(holding));
    }
    else if (next == STEP_WRITE) {
        send_write(holding);
    }
    ch_ledger_holding_unref(holding);
}

/* ---- what the keeper calls ---- */

/* This node became home: the ledger is read before anything else. */
void
ch_ledger_holding_open(struct ch_ledger_holding *holding,
                       struct ch_upstream *engine, uint32_t capacity_mb)
{
    pthread_mutex_lock(&holding->lock);
    holding->engine = engine;
    holding->capacity_mb = capacity_mb;
    holding->reread = true;
    pthread_mutex_unlock(&holding->lock);
    ledger_submit_step(holding);
}

/* This node ceased to be home. */
void
ch_ledger_holding_close(struct ch_ledger_holding *holding)
{
    pthread_mutex_lock(&holding->lock);
    holding->engine = NULL;
    g_array_set_size(holding->intents, 0);
    while (holding->sending > 0) {
        pthread_cond_wait(&holding->idle, &holding->lock);
    }
    pthread_mutex_unlock(&holding->lock);
    ledger_submit_step(holding);
}

/* Copies of a process that has gone are never noted as ended, and their room
 * is kept free for a new boot of the engine for good.  So a planned stop waits
 * for what this process has on its way. */
void
ch_ledger_holding_settle(struct ch_ledger_holding *holding,
                         const struct timespec *deadline)
{
    const struct ch_client *client = holding->office->node->client;
    bool late = false;
    pthread_mutex_lock(&holding->lock);
    while (!late && holding->ledger != NULL &&
           (holding->busy || holding->endings->len > 0 ||
            g_hash_table_size(holding->inflight) > 0) &&
           ch_client_now(client) >= holding->not_before) {
        late = pthread_cond_timedwait(&holding->idle, &holding->lock,
                                      deadline) != 0;
    }
    pthread_mutex_unlock(&holding->lock);
}

/* Ends the timer; calls under way still run out. */
void
ch_ledger_holding_stop(struct ch_ledger_holding *holding)
{
    pthread_mutex_lock(&holding->lock);
    holding->stopped = true;
    uint64_t timer = holding->timer;
    holding->timer = 0;
    pthread_mutex_unlock(&holding->lock);
    if (timer != 0 && ch_timers_cancel(holding->office->node->timers, timer)) {
        ch_ledger_holding_unref(holding);
    }
}

/* Notes that an item is wanted in or out of memory. */
void
ch_ledger_holding_intend(struct ch_ledger_holding *holding, GQuark item,
                         enum ch_action_kind kind, uint32_t memory_mb)
{
    const struct intent intent = {
        .item = item, .kind = kind, .memory_mb = memory_mb};
    pthread_mutex_lock(&holding->lock);
    g_array_append_val(holding->intents, intent);
    pthread_mutex_unlock(&holding->lock);
    ledger_submit_step(holding);
}

/* A deep copy of a report. */
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
 * Takes a report.  Reports are asked for one at a time, so that the second
 * one that comes after an event was asked for after that event: only this one
 * is evidence of what came of it.
 */
void
ch_ledger_holding_report(struct ch_ledger_holding *holding,
                         const struct ch_report *report)
{
    pthread_mutex_lock(&holding->lock);
    for (guint i = 0; i < holding->endings->len; i++) {
        struct ending *ending =
            &g_array_index(holding->endings, struct ending, i);
        ending->ripe |= ending->report_seen;
        ending->report_seen = true;
    }
    if (holding->skip_report) {
        holding->skip_report = false;
    }
    else if (holding->ledger != NULL && !holding->reread) {
        ch_report_free(holding->report);
        holding->report = copy_report(report);
    }
    pthread_mutex_unlock(&holding->lock);
    ledger_submit_step(holding);
}
