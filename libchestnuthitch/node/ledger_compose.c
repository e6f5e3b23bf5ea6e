/* Builds the next version of a ledger from ended sends, reports, intents and
 * retries. */

#include "node/ledger_internal.h"

#include <string.h>

/* Discards the pending version with the orders that were to follow its
 * write. */
void
ledger_drop_writing(struct ch_ledger_holding *ledger)
{
    ch_ledger_free(ledger->writing);
    ledger->writing = NULL;
    g_clear_pointer(&ledger->bytes, g_free);
    if (ledger->outgoing != NULL) {
        g_ptr_array_unref(ledger->outgoing);
        ledger->outgoing = NULL;
    }
}

/* A new ID that no other order or write of any process has. */
char *
ledger_new_mark(struct ch_ledger_office *context)
{
    uint64_t number = __atomic_add_fetch(&context->marks, 1, __ATOMIC_RELAXED);
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
                           "x",
                           ch_hash_string(context->sender), number);
}

/* Records ended sends: those that were refused, those followed by a report
 * that was requested after their end, and all once this node is no longer
 * home. */
static bool
apply_ended_sends(struct ch_ledger_holding *ledger, struct ch_ledger *next)
{
    bool changed = false;
    for (guint i = ledger->endings->len; i-- > 0;) {
        struct ending *ended =
            &g_array_index(ledger->endings, struct ending, i);
        if (!ended->ripe && !ended->refused && ledger->engine != NULL) {
            continue;
        }
        changed |= ch_ledger_end_send(next, ended->order,
                                      ledger->office->sender, ended->refused);
    }
    return changed;
}

/* True while a send of the order is under way from this process, or its end is
 * not yet recorded.  If a send that ended after the read were recorded as
 * ended together with the read, a report requested before its end could settle
 * the order (found by tests/spec/ledger.pml, MUTATION_ADOPT_ENDED). */
static bool
is_tracked_send(const struct ch_ledger_holding *ledger, const char *order_id)
{
    for (guint i = 0; i < ledger->endings->len; i++) {
        if (strcmp(g_array_index(ledger->endings, struct ending, i).order,
                   order_id) == 0) {
            return true;
        }
    }
    return g_hash_table_contains(ledger->inflight, order_id);
}

/* After a read: records as ended the sends that the ledger lists for this
 * process but that this process is not sending.  Either this process wrote
 * them in a write whose outcome it did not learn, or an earlier process of
 * this node's name did. */
static bool
end_untracked_sends(struct ch_ledger_holding *ledger, struct ch_ledger *next)
{
    const char *sender = ledger->office->sender;
    bool changed = ch_ledger_end_earlier_sends(next, sender);
    for (size_t i = 0; i < next->send_count; i++) {
        const struct ch_ledger_send *sending = &next->sends[i];
        if (strcmp(sending->sender, sender) == 0 &&
            !is_tracked_send(ledger, sending->order_id)) {
            changed |=
                ch_ledger_end_send(next, sending->order_id, sender, false);
        }
    }
    return changed;
}

/* Applies the pending report. */
static bool
apply_report(const struct ch_ledger_holding *ledger, struct ch_ledger *next)
{
    const struct ch_report *report = ledger->report;
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
    const struct ch_ledger_report evidence = {
        .boot_id = report->boot,
        .resident_items = names,
        .resident_mb = memory,
        .resident_count = report->resident_count,
        .done_order_ids = (const char *const *)report->orders_done,
        .done_order_count = report->orders_done_count,
        .requested_after_ends = true,
    };
    return ch_ledger_apply_report(next, &evidence);
}

/* Applies one intent.  False with intent->code set when it can't be carried
 * out. */
static bool
apply_intent(struct ch_ledger_holding *ledger, struct ch_ledger *next,
             struct intent *intent)
{
    struct ch_error error = {0};
    const char *item = g_quark_to_string(intent->item);
    g_autofree char *order_id = ledger_new_mark(ledger->office);
    bool applied =
        intent->kind == CH_ACTION_LOAD
            ? ch_ledger_reserve(next, item, intent->memory_mb, order_id,
                                ledger->office->sender, &error)
            : ch_ledger_release(next, item, order_id, &error);
    intent->code = error.code;
    if (applied) {
        g_hash_table_remove(ledger->resends, item);
        ledger_add_outgoing(ledger, ch_ledger_find_entry(next, item));
    }
    return applied;
}

/* Applies every intent; those that can't be carried out are added to
 * failed. */
static bool
apply_intents(struct ch_ledger_holding *ledger, struct ch_ledger *next,
              GArray *failed)
{
    bool changed = false;
    for (guint i = 0; i < ledger->intents->len; i++) {
        struct intent *intent =
            &g_array_index(ledger->intents, struct intent, i);
        if (apply_intent(ledger, next, intent)) {
            changed = true;
        }
        else {
            g_array_append_val(failed, *intent);
        }
    }
    return changed;
}

/* Records another send of each order that is due. */
static bool
apply_retries(struct ch_ledger_holding *ledger, struct ch_ledger *next)
{
    int64_t now = ch_client_now(ledger->office->node->client);
    bool changed = false;
    for (size_t i = 0; i < next->entry_count; i++) {
        const char *item = next->entries[i].item;
        if (next->entries[i].fencing_token == next->version ||
            ch_ledger_find_open_order(next, item) == NULL) {
            continue;
        }
        const struct resend *retry =
            g_hash_table_lookup(ledger->resends, item);
        if (retry == NULL) {
            ledger_delay_resend(ledger, item, RESEND_LOST);
        }
        else if (now >= retry->due &&
                 ch_ledger_resend(next, item, ledger->office->sender, NULL)) {
            ledger_add_outgoing(ledger, &next->entries[i]);
            changed = true;
        }
    }
    return changed;
}

/*
 * Builds the next version in ledger->pending_version; false when nothing has
 * changed.  New orders wait until none is in flight: two orders of different
 * versions could overtake each other, and an engine that refuses old fencing
 * tokens would refuse the first.  They also wait for the first report of a new
 * upstream: nothing may be reserved before its boot ID is known, and failing
 * the orders meanwhile refused the first callers of every model for a second.
 * Lock held.
 */
bool
ledger_compose(struct ch_ledger_holding *ledger, GArray *failed)
{
    g_autofree char *write_id = ledger_new_mark(ledger->office);
    struct ch_ledger *next = ch_ledger_copy_next(ledger->ledger, write_id);
    bool changed = false;
    ledger->outgoing = g_ptr_array_new_with_free_func(ledger_outgoing_free);
    if (!ledger->adopted) {
        changed |= end_untracked_sends(ledger, next);
    }
    changed |= apply_ended_sends(ledger, next);
    if (ledger->engine != NULL) {
        changed |= next->capacity_mb != ledger->capacity_mb;
        next->capacity_mb = ledger->capacity_mb;
        changed |= apply_report(ledger, next);
        if (g_hash_table_size(ledger->inflight) == 0 &&
            next->boot_id != NULL) {
            changed |= apply_intents(ledger, next, failed);
            g_array_set_size(ledger->intents, 0);
            changed |= apply_retries(ledger, next);
        }
    }
    if (!changed) {
        ch_ledger_free(next);
        ledger_drop_writing(ledger);
        return false;
    }
    ledger->writing = next;
    ledger->bytes = ch_ledger_print(next);
    return true;
}

/* Discards what the new version contains.  Lock held. */
void
ledger_consume(struct ch_ledger_holding *ledger)
{
    for (guint i = ledger->endings->len; i-- > 0;) {
        const struct ending *ended =
            &g_array_index(ledger->endings, struct ending, i);
        if (ended->ripe || ended->refused || ledger->engine == NULL) {
            g_array_remove_index(ledger->endings, i);
        }
    }
    ch_report_free(ledger->report);
    ledger->report = NULL;
    ledger->adopted = true;
}
