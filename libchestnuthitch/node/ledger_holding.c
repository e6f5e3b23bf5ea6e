/* One upstream's ledger at its home, and the orders that follow from it. */

#include "node/ledger_holding.h"

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
    /*
     * An order not known to be carried out is sent again under its id: after
     * 1 s when its answer was lost, after 5 s when it was accepted (a load
     * waits for the weight store), doubled up to a minute.
     */
    RESEND_LOST = 1000 * 1000,
    RESEND_ACCEPTED = 5 * 1000 * 1000,
    MOST_RESEND = 60 * 1000 * 1000,
};

struct intent {
    GQuark item;
    enum ch_action_kind kind;
    uint32_t memory_mb;
    enum ch_code code; /* of one that failed */
};

/* A copy of an order that has ended and is not yet noted in the ledger. */
struct ending {
    char order[40];
    bool refused;
    bool report_seen; /* a report came after it ended */
    bool ripe;        /* a report asked for after it ended came */
};

/* When an item's open order is sent again. */
struct resend {
    int64_t due;
    int64_t delay;
};

/* An order to be sent once the write that covers it has succeeded. */
struct outgoing {
    struct ch_order order;
    char *model;
    char *adapter;
    char *item;
};

struct ch_ledger_holding {
    struct ch_ledger_office *office;
    GQuark upstream;
    char *key;
    pthread_mutex_t lock;
    pthread_cond_t idle; /* signalled when sending or busy ends */
    int references;
    struct ch_upstream *engine; /* NULL when closed */
    unsigned sending;           /* threads that are using engine */
    uint32_t capacity_mb;
    bool stopped;
    bool busy;        /* a step is under way */
    bool reread;      /* the ledger is to be read (again) */
    bool adopted;     /* sends of our own were checked after a read */
    bool skip_report; /* the next report may be older than the ledger */
    struct ch_ledger *ledger; /* NULL: not known */
    uint64_t revision;
    struct ch_ledger *writing;
    char *bytes;         /* of writing */
    GPtrArray *outgoing; /* of writing */
    GArray *intents;
    GArray *endings;
    GHashTable *inflight;     /* order ids sent and not ended */
    GHashTable *resends;      /* item to struct resend */
    struct ch_report *report; /* not yet applied; NULL: none */
    int64_t pause;
    int64_t not_before;
    uint64_t timer;
};

/* ---- construction ---- */

/* Frees an order with its names. */
static void
outgoing_free(void *data)
{
    struct outgoing *out = data;
    g_free(out->model);
    g_free(out->adapter);
    g_free(out->item);
    g_free(out);
}

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

/* Frees a report and what it holds; NULL is fine. */
static void
report_free(struct ch_report *report)
{
    if (report == NULL) {
        return;
    }
    for (size_t i = 0; i < report->resident_count; i++) {
        g_free(report->resident[i].name);
    }
    g_free(report->resident);
    g_strfreev(report->orders_done);
    g_free(report->boot);
    g_free(report);
}

/* Drops the write under way, with the orders that were to follow it. */
static void
drop_writing(struct ch_ledger_holding *holding)
{
    ch_ledger_free(holding->writing);
    holding->writing = NULL;
    g_clear_pointer(&holding->bytes, g_free);
    if (holding->outgoing != NULL) {
        g_ptr_array_unref(holding->outgoing);
        holding->outgoing = NULL;
    }
}

/* One owner less; the last frees it. */
void
ch_ledger_holding_unref(struct ch_ledger_holding *holding)
{
    if (!g_atomic_int_dec_and_test(&holding->references)) {
        return;
    }
    drop_writing(holding);
    ch_ledger_free(holding->ledger);
    report_free(holding->report);
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
static void
tell_failed(struct ch_ledger_holding *holding, GArray *failed)
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
static void
submit_step(struct ch_ledger_holding *holding)
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
    submit_step(holding);
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

/* A mark that no other order or write of any process bears. */
static char *
new_mark(struct ch_ledger_office *office)
{
    uint64_t number = __atomic_add_fetch(&office->marks, 1, __ATOMIC_RELAXED);
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
                           "x",
                           ch_hash_string(office->sender), number);
}

/* ---- orders ---- */

struct sent {
    struct ch_ledger_holding *holding;
    char order[40];
    char *item;
    enum ch_action_kind kind;
};

/* Puts off the next copy of an item's order.  Lock held. */
static void
delay_resend(struct ch_ledger_holding *holding, const char *item,
             int64_t first)
{
    struct resend *resend = g_hash_table_lookup(holding->resends, item);
    if (resend == NULL) {
        resend = g_new0(struct resend, 1);
        g_hash_table_insert(holding->resends, g_strdup(item), resend);
    }
    resend->delay = CLAMP(resend->delay * 2, first, MOST_RESEND);
    resend->due = ch_client_now(holding->office->node->client) + resend->delay;
}

/* Logs how an order's copy ended, and counts a refusal. */
static void
log_order_end(const struct sent *sent, enum ch_code code)
{
    const struct ch_client *client = sent->holding->office->node->client;
    if (code == CH_STALE_FENCE && client->metrics != NULL) {
        ch_metrics_count(client->metrics, CH_COUNT_ORDERS_REFUSED, 1);
    }
    ch_log(client, code == CH_OK ? CH_LOG_INFO : CH_LOG_WARNING, "order_ended",
           CH_F_STR("upstream", g_quark_to_string(sent->holding->upstream)),
           CH_F_STR("item", sent->item), CH_F_STR("order", sent->order),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
}

/* On a worker: one copy of an order has ended. */
static void
order_ended(struct sent *sent, enum ch_code code)
{
    struct ch_ledger_holding *holding = sent->holding;
    bool refused = code != CH_OK && ch_code_outcome(code) == CH_NOT_RUN;
    struct ending ending = {.refused = refused};
    g_strlcpy(ending.order, sent->order, sizeof(ending.order));
    log_order_end(sent, code);
    pthread_mutex_lock(&holding->lock);
    g_hash_table_remove(holding->inflight, sent->order);
    g_array_append_val(holding->endings, ending);
    delay_resend(holding, sent->item,
                 code == CH_OK ? RESEND_ACCEPTED : RESEND_LOST);
    bool open = holding->engine != NULL;
    pthread_mutex_unlock(&holding->lock);
    if (refused && open) {
        GArray *failed = g_array_new(FALSE, TRUE, sizeof(struct intent));
        struct intent intent = {.item = g_quark_from_string(sent->item),
                                .kind = sent->kind,
                                .code = code};
        g_array_append_val(failed, intent);
        tell_failed(holding, failed);
    }
    submit_step(holding);
    ch_ledger_holding_unref(holding);
    g_free(sent->item);
    g_free(sent);
}

struct order_answer {
    struct sent *sent;
    enum ch_code code;
};

/* On a worker. */
static void
order_answer_run(void *data)
{
    struct order_answer *answer = data;
    order_ended(answer->sent, answer->code);
    g_free(answer);
}

/* On the HTTP loop: hands an order's answer to a worker. */
static void
order_answered(void *data, enum ch_code code)
{
    struct sent *sent = data;
    struct order_answer *answer = g_new(struct order_answer, 1);
    answer->sent = sent;
    answer->code = code;
    ch_pool_submit(sent->holding->office->node->pool, order_answer_run,
                   answer);
}

/* Counts an order by what it does. */
static void
count_order(const struct ch_node *node, const struct ch_order *order)
{
    struct ch_metrics *metrics = node->client->metrics;
    if (metrics == NULL) {
        return;
    }
    ch_metrics_count(metrics, CH_COUNT_ORDERS, 1);
    if (order->action == CH_ORDER_LOAD) {
        ch_metrics_count(metrics,
                         order->adapter == NULL ? CH_COUNT_MODEL_LOADS
                                                : CH_COUNT_ADAPTER_LOADS,
                         1);
    }
    else if (order->adapter == NULL) {
        ch_metrics_count(metrics, CH_COUNT_MODEL_UNLOADS, 1);
    }
}

/*
 * Sends the orders that a write has covered.  Without the engine (closed
 * meanwhile) each counts as a copy that has ended: the ledger holds it as on
 * its way, and the next home sends it.
 */
static void
send_orders(struct ch_ledger_holding *holding, GPtrArray *orders)
{
    pthread_mutex_lock(&holding->lock);
    struct ch_upstream *engine = holding->engine;
    holding->sending++;
    for (guint i = 0; i < orders->len; i++) {
        const struct outgoing *out = g_ptr_array_index(orders, i);
        g_hash_table_add(holding->inflight, g_strdup(out->order.id));
    }
    pthread_mutex_unlock(&holding->lock);
    for (guint i = 0; i < orders->len; i++) {
        const struct outgoing *out = g_ptr_array_index(orders, i);
        struct sent *sent = g_new0(struct sent, 1);
        sent->holding = ch_ledger_holding_ref(holding);
        sent->item = g_strdup(out->item);
        sent->kind = out->order.action == CH_ORDER_LOAD ? CH_ACTION_LOAD
                                                        : CH_ACTION_UNLOAD;
        g_strlcpy(sent->order, out->order.id, sizeof(sent->order));
        if (engine == NULL) {
            order_answered(sent, CH_UPSTREAM_CONNECT);
            continue;
        }
        count_order(holding->office->node, &out->order);
        engine->ops->order(engine, &out->order, order_answered, sent);
    }
    pthread_mutex_lock(&holding->lock);
    holding->sending--;
    pthread_cond_broadcast(&holding->idle);
    pthread_mutex_unlock(&holding->lock);
}

/* Adds an entry's order to what is sent after the write. */
static void
add_outgoing(struct ch_ledger_holding *holding,
             const struct ch_ledger_entry *entry)
{
    struct outgoing *out = g_new0(struct outgoing, 1);
    g_auto(GStrv) parts = g_strsplit(entry->item, "/", 2);
    out->item = g_strdup(entry->item);
    out->model = g_strdup(parts[0]);
    out->adapter = g_strdup(parts[1]);
    g_strlcpy(out->order.id, entry->order, sizeof(out->order.id));
    out->order.fence = entry->fence;
    out->order.action =
        entry->state == CH_LEDGER_UNLOADING ? CH_ORDER_UNLOAD : CH_ORDER_LOAD;
    out->order.model = out->model;
    out->order.adapter = out->adapter;
    g_ptr_array_add(holding->outgoing, out);
}

/* ---- the next version of the ledger ---- */

/* Applies the copies that have ended, where that may be written now. */
static bool
apply_endings(struct ch_ledger_holding *holding, struct ch_ledger *next)
{
    bool changed = false;
    for (guint i = holding->endings->len; i-- > 0;) {
        struct ending *ending =
            &g_array_index(holding->endings, struct ending, i);
        if (!ending->ripe && !ending->refused && holding->engine != NULL) {
            continue;
        }
        changed |= ch_ledger_end(next, ending->order, holding->office->sender,
                                 ending->refused);
    }
    return changed;
}

/* True while an order is on its way from here, or its end is still to be
 * noted.  An end after the read that is noted with the read would let a report
 * settle it that was asked for before it (found by tests/spec/ledger.pml,
 * MUTATION_ADOPT_ENDED). */
static bool
followed_up(const struct ch_ledger_holding *holding, const char *order)
{
    for (guint i = 0; i < holding->endings->len; i++) {
        if (strcmp(g_array_index(holding->endings, struct ending, i).order,
                   order) == 0) {
            return true;
        }
    }
    return g_hash_table_contains(holding->inflight, order);
}

/* After a read: what this process is noted as sending and does not send.  It
 * wrote so and then lost sight of the write, or an earlier process of this
 * node's name did. */
static bool
apply_adoption(struct ch_ledger_holding *holding, struct ch_ledger *next)
{
    const char *sender = holding->office->sender;
    bool changed = ch_ledger_end_earlier(next, sender);
    for (size_t i = 0; i < next->send_count; i++) {
        const struct ch_ledger_send *sending = &next->sends[i];
        if (strcmp(sending->sender, sender) == 0 &&
            !followed_up(holding, sending->order)) {
            changed |= ch_ledger_end(next, sending->order, sender, false);
        }
    }
    return changed;
}

/* Applies a report. */
static bool
apply_report(const struct ch_ledger_holding *holding, struct ch_ledger *next)
{
    const struct ch_report *report = holding->report;
    if (report == NULL || report->boot == NULL) {
        return false;
    }
    g_autofree const char **names =
        g_new0(const char *, report->resident_count + 1);
    g_autofree uint32_t *memory = g_new0(uint32_t, report->resident_count + 1);
    for (size_t i = 0; i < report->resident_count; i++) {
        names[i] = report->resident[i].name;
        memory[i] = report->resident[i].memory_mb;
    }
    const struct ch_ledger_evidence evidence = {
        .boot = report->boot,
        .resident = names,
        .resident_mb = memory,
        .resident_count = report->resident_count,
        .orders_done = (const char *const *)report->orders_done,
        .orders_done_count = report->orders_done_count,
        .after_ends = true,
    };
    return ch_ledger_observe(next, &evidence);
}

/* Applies one intent; its code tells whether it could be. */
static bool
apply_intent(struct ch_ledger_holding *holding, struct ch_ledger *next,
             struct intent *intent)
{
    struct ch_error error = {0};
    const char *item = g_quark_to_string(intent->item);
    g_autofree char *order = new_mark(holding->office);
    bool right = intent->kind == CH_ACTION_LOAD
                     ? ch_ledger_reserve(next, item, intent->memory_mb, order,
                                         holding->office->sender, &error)
                     : ch_ledger_release(next, item, order, &error);
    intent->code = error.code;
    if (right) {
        g_hash_table_remove(holding->resends, item);
        add_outgoing(holding, ch_ledger_find(next, item));
    }
    return right;
}

/* Applies every intent; those that can't be done go to failed. */
static bool
apply_intents(struct ch_ledger_holding *holding, struct ch_ledger *next,
              GArray *failed)
{
    bool changed = false;
    for (guint i = 0; i < holding->intents->len; i++) {
        struct intent *intent =
            &g_array_index(holding->intents, struct intent, i);
        if (apply_intent(holding, next, intent)) {
            changed = true;
        }
        else {
            g_array_append_val(failed, *intent);
        }
    }
    return changed;
}

/* Opens another copy of each order that is due. */
static bool
apply_resends(struct ch_ledger_holding *holding, struct ch_ledger *next)
{
    int64_t now = ch_client_now(holding->office->node->client);
    bool changed = false;
    for (size_t i = 0; i < next->count; i++) {
        const char *item = next->entries[i].item;
        if (next->entries[i].fence == next->version ||
            ch_ledger_unclosed(next, item) == NULL) {
            continue;
        }
        const struct resend *resend =
            g_hash_table_lookup(holding->resends, item);
        if (resend == NULL) {
            delay_resend(holding, item, RESEND_LOST);
        }
        else if (now >= resend->due &&
                 ch_ledger_resend(next, item, holding->office->sender, NULL)) {
            add_outgoing(holding, &next->entries[i]);
            changed = true;
        }
    }
    return changed;
}

/*
 * Makes the next version in holding->writing; false when there is nothing to
 * write.  Orders wait until none is on its way: two of different versions
 * could overtake each other, and an engine that refuses old fencing numbers
 * would refuse the first.  They wait, too, for the first report of a new
 * upstream: nothing may be reserved before its boot is known, and failing them
 * refused the first callers of every model for a second.  Lock held.
 */
static bool
compose(struct ch_ledger_holding *holding, GArray *failed)
{
    g_autofree char *mark = new_mark(holding->office);
    struct ch_ledger *next = ch_ledger_next(holding->ledger, mark);
    bool changed = false;
    holding->outgoing = g_ptr_array_new_with_free_func(outgoing_free);
    if (!holding->adopted) {
        changed |= apply_adoption(holding, next);
    }
    changed |= apply_endings(holding, next);
    if (holding->engine != NULL) {
        changed |= next->capacity_mb != holding->capacity_mb;
        next->capacity_mb = holding->capacity_mb;
        changed |= apply_report(holding, next);
        if (g_hash_table_size(holding->inflight) == 0 && next->boot != NULL) {
            changed |= apply_intents(holding, next, failed);
            g_array_set_size(holding->intents, 0);
            changed |= apply_resends(holding, next);
        }
    }
    if (!changed) {
        ch_ledger_free(next);
        drop_writing(holding);
        return false;
    }
    holding->writing = next;
    holding->bytes = ch_ledger_print(next);
    return true;
}

/* Forgets what has gone into the ledger.  Lock held. */
static void
consume(struct ch_ledger_holding *holding)
{
    for (guint i = holding->endings->len; i-- > 0;) {
        const struct ending *ending =
            &g_array_index(holding->endings, struct ending, i);
        if (ending->ripe || ending->refused || holding->engine == NULL) {
            g_array_remove_index(holding->endings, i);
        }
    }
    report_free(holding->report);
    holding->report = NULL;
    holding->adopted = true;
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
    drop_writing(holding);
    pthread_mutex_unlock(&holding->lock);
    send_orders(holding, orders);
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
    drop_writing(holding);
    holding->reread = true;
    if (code != CH_KV_CONFLICT) {
        begin_pause(holding);
    }
    pthread_mutex_unlock(&holding->lock);
    ch_log(holding->office->node->client, CH_LOG_NOTICE, "ledger_not_written",
           CH_F_STR("upstream", g_quark_to_string(holding->upstream)),
           CH_F_STR("code", ch_code_name(code)), CH_F_END);
    tell_failed(holding, failed);
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
    report_free(holding->report);
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
    ch_log(holding->office->node->client, CH_LOG_WARNING, "ledger_not_read",
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
    if (compose(holding, failed)) {
        consume(holding);
        return STEP_WRITE;
    }
    consume(holding);
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
    tell_failed(holding, failed);
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
    submit_step(holding);
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
    submit_step(holding);
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
    submit_step(holding);
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
        report_free(holding->report);
        holding->report = copy_report(report);
    }
    pthread_mutex_unlock(&holding->lock);
    submit_step(holding);
}
