/* Builds the next version of a ledger from ended sends, reports, intents and
 * retries. */

#include "node/ledger_internal.h"

#include <string.h>

/* Discards the pending version with the orders that were to follow its
 * write. */
void
ledger_discard_pending(struct ch_upstream_ledger *ledger)
{
    ch_ledger_free(ledger->pending_version);
    ledger->pending_version = NULL;
    g_clear_pointer(&ledger->pending_text, g_free);
    if (ledger->pending_orders != NULL) {
        g_ptr_array_unref(ledger->pending_orders);
        ledger->pending_orders = NULL;
    }
}

/* A new ID that no other order or write of any process has. */
char *
ledger_create_id(struct ch_ledger_context *context)
{
    uint64_t number =
        __atomic_add_fetch(&context->last_id, 1, __ATOMIC_RELAXED);
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
                           "x",
                           ch_hash_string(context->sender), number);
}

/* Records ended sends: those that were refused, those followed by a report
 * that was requested after their end, and all once this node is no longer
 * home. */
static bool
apply_ended_sends(struct ch_upstream_ledger *ledger, struct ch_ledger *next)
{
    bool changed = false;
    for (guint i = ledger->ended_sends->len; i-- > 0;) {
        struct ended_send *ended =
            &g_array_index(ledger->ended_sends, struct ended_send, i);
        if (!ended->report_after_end && !ended->refused &&
            ledger->engine != NULL) {
            continue;
        }
        changed |= ch_ledger_end_send(next, ended->order_id,
                                      ledger->context->sender, ended->refused);
    }
    return changed;
}

/* True while a send of the order is under way from this process, or its end is
 * not yet recorded.  If a send that ended after the read were recorded as
 * ended together with the read, a report requested before its end could settle
 * the order (found by tests/spec/ledger.pml, MUTATION_ADOPT_ENDED). */
static bool
is_tracked_send(const struct ch_upstream_ledger *ledger, const char *order_id)
{
    for (guint i = 0; i < ledger->ended_sends->len; i++) {
        if (strcmp(g_array_index(ledger->ended_sends, struct ended_send, i)
                       .order_id,
                   order_id) == 0) {
            return true;
        }
    }
    return g_hash_table_contains(ledger->in_flight, order_id);
}

/* After a read: records as ended the sends that the ledger lists for this
 * process but that this process is not sending.  Either this process wrote
 * them in a write whose outcome it did not learn, or an earlier process of
 * this node's name did. */
static bool
end_untracked_sends(struct ch_upstream_ledger *ledger, struct ch_ledger *next)
{
    const char *sender = ledger->context->sender;
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
apply_report(const struct ch_upstream_ledger *ledger, struct ch_ledger *next)
{
    const struct ch_engine_report *report = ledger->report;
    if (report == NULL || report->boot_id == NULL) {
        return false;
    }
    g_autofree const char **names =
        g_new0(const char *, report->resident_item_count + 1);
    g_autofree uint32_t *memory =
        g_new0(uint32_t, report->resident_item_count + 1);
    for (size_t i = 0; i < report->resident_item_count; i++) {
        names[i] = report->resident_items[i].name;
        memory[i] = report->resident_items[i].memory_mb;
    }
    const struct ch_ledger_report evidence = {
        .boot_id = report->boot_id,
        .resident_items = names,
        .resident_mb = memory,
        .resident_count = report->resident_item_count,
        .done_order_ids = (const char *const *)report->done_order_ids,
        .done_order_count = report->done_order_count,
        .requested_after_ends = true,
    };
    return ch_ledger_apply_report(next, &evidence);
}

/* Applies one intent.  False with intent->code set when it can't be carried
 * out. */
static bool
apply_intent(struct ch_upstream_ledger *ledger, struct ch_ledger *next,
             struct intent *intent)
{
    struct ch_error error = {0};
    const char *item = g_quark_to_string(intent->item);
    g_autofree char *order_id = ledger_create_id(ledger->context);
    bool applied =
        intent->kind == CH_ACTION_LOAD
            ? ch_ledger_reserve(next, item, intent->memory_mb, order_id,
                                ledger->context->sender, &error)
            : ch_ledger_release(next, item, order_id, &error);
    intent->code = error.code;
    if (applied) {
        g_hash_table_remove(ledger->retries, item);
        ledger_add_pending_order(ledger, ch_ledger_find_entry(next, item));
    }
    return applied;
}

/* Applies every intent; those that can't be carried out are added to
 * failed. */
static bool
apply_intents(struct ch_upstream_ledger *ledger, struct ch_ledger *next,
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
apply_retries(struct ch_upstream_ledger *ledger, struct ch_ledger *next)
{
    int64_t now = ch_client_get_time(ledger->context->node->client);
    bool changed = false;
    for (size_t i = 0; i < next->entry_count; i++) {
        const char *item = next->entries[i].item;
        if (next->entries[i].fencing_token == next->version ||
            ch_ledger_find_open_order(next, item) == NULL) {
            continue;
        }
        const struct order_retry *retry =
            g_hash_table_lookup(ledger->retries, item);
        if (retry == NULL) {
            ledger_schedule_retry(ledger, item, ORDER_RETRY_LOST_US);
        }
        else if (now >= retry->due_at &&
                 ch_ledger_resend(next, item, ledger->context->sender, NULL)) {
            ledger_add_pending_order(ledger, &next->entries[i]);
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
ledger_build_next(struct ch_upstream_ledger *ledger, GArray *failed)
{
    g_autofree char *write_id = ledger_create_id(ledger->context);
    struct ch_ledger *next =
        ch_ledger_copy_next(ledger->current_version, write_id);
    bool changed = false;
    ledger->pending_orders =
        g_ptr_array_new_with_free_func(ledger_outgoing_free);
    if (!ledger->own_sends_checked) {
        changed |= end_untracked_sends(ledger, next);
    }
    changed |= apply_ended_sends(ledger, next);
    if (ledger->engine != NULL) {
        changed |= next->capacity_mb != ledger->capacity_mb;
        next->capacity_mb = ledger->capacity_mb;
        changed |= apply_report(ledger, next);
        if (g_hash_table_size(ledger->in_flight) == 0 &&
            next->boot_id != NULL) {
            changed |= apply_intents(ledger, next, failed);
            g_array_set_size(ledger->intents, 0);
            changed |= apply_retries(ledger, next);
        }
    }
    if (!changed) {
        ch_ledger_free(next);
        ledger_discard_pending(ledger);
        return false;
    }
    ledger->pending_version = next;
    ledger->pending_text = ch_ledger_print(next);
    return true;
}

/* Discards what the new version contains.  Lock held. */
void
ledger_discard_applied(struct ch_upstream_ledger *ledger)
{
    for (guint i = ledger->ended_sends->len; i-- > 0;) {
        const struct ended_send *ended =
            &g_array_index(ledger->ended_sends, struct ended_send, i);
        if (ended->report_after_end || ended->refused ||
            ledger->engine == NULL) {
            g_array_remove_index(ledger->ended_sends, i);
        }
    }
    ch_engine_report_free(ledger->report);
    ledger->report = NULL;
    ledger->own_sends_checked = true;
}
