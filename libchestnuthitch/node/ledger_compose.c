/* The next version of a ledger: what has ended, what was reported, what is
 * wanted and what is to be sent again. */

#include "node/ledger_internal.h"

#include <string.h>

/* Drops the write under way, with the orders that were to follow it. */
void
ledger_drop_writing(struct ch_ledger_holding *holding)
{
    ch_ledger_free(holding->writing);
    holding->writing = NULL;
    g_clear_pointer(&holding->bytes, g_free);
    if (holding->outgoing != NULL) {
        g_ptr_array_unref(holding->outgoing);
        holding->outgoing = NULL;
    }
}

/* A mark that no other order or write of any process bears. */
char *
ledger_new_mark(struct ch_ledger_office *office)
{
    uint64_t number = __atomic_add_fetch(&office->marks, 1, __ATOMIC_RELAXED);
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
                           "x",
                           ch_hash_string(office->sender), number);
}

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
        changed |= ch_ledger_end_send(
            next, ending->order, holding->office->sender, ending->refused);
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
    bool changed = ch_ledger_end_earlier_sends(next, sender);
    for (size_t i = 0; i < next->send_count; i++) {
        const struct ch_ledger_send *sending = &next->sends[i];
        if (strcmp(sending->sender, sender) == 0 &&
            !followed_up(holding, sending->order_id)) {
            changed |=
                ch_ledger_end_send(next, sending->order_id, sender, false);
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

/* Applies one intent; its code tells whether it could be. */
static bool
apply_intent(struct ch_ledger_holding *holding, struct ch_ledger *next,
             struct intent *intent)
{
    struct ch_error error = {0};
    const char *item = g_quark_to_string(intent->item);
    g_autofree char *order = ledger_new_mark(holding->office);
    bool right = intent->kind == CH_ACTION_LOAD
                     ? ch_ledger_reserve(next, item, intent->memory_mb, order,
                                         holding->office->sender, &error)
                     : ch_ledger_release(next, item, order, &error);
    intent->code = error.code;
    if (right) {
        g_hash_table_remove(holding->resends, item);
        ledger_add_outgoing(holding, ch_ledger_find_entry(next, item));
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
    for (size_t i = 0; i < next->entry_count; i++) {
        const char *item = next->entries[i].item;
        if (next->entries[i].fencing_token == next->version ||
            ch_ledger_find_open_order(next, item) == NULL) {
            continue;
        }
        const struct resend *resend =
            g_hash_table_lookup(holding->resends, item);
        if (resend == NULL) {
            ledger_delay_resend(holding, item, RESEND_LOST);
        }
        else if (now >= resend->due &&
                 ch_ledger_resend(next, item, holding->office->sender, NULL)) {
            ledger_add_outgoing(holding, &next->entries[i]);
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
bool
ledger_compose(struct ch_ledger_holding *holding, GArray *failed)
{
    g_autofree char *mark = ledger_new_mark(holding->office);
    struct ch_ledger *next = ch_ledger_copy_next(holding->ledger, mark);
    bool changed = false;
    holding->outgoing = g_ptr_array_new_with_free_func(ledger_outgoing_free);
    if (!holding->adopted) {
        changed |= apply_adoption(holding, next);
    }
    changed |= apply_endings(holding, next);
    if (holding->engine != NULL) {
        changed |= next->capacity_mb != holding->capacity_mb;
        next->capacity_mb = holding->capacity_mb;
        changed |= apply_report(holding, next);
        if (g_hash_table_size(holding->inflight) == 0 &&
            next->boot_id != NULL) {
            changed |= apply_intents(holding, next, failed);
            g_array_set_size(holding->intents, 0);
            changed |= apply_resends(holding, next);
        }
    }
    if (!changed) {
        ch_ledger_free(next);
        ledger_drop_writing(holding);
        return false;
    }
    holding->writing = next;
    holding->bytes = ch_ledger_print(next);
    return true;
}

/* Forgets what has gone into the ledger.  Lock held. */
void
ledger_consume(struct ch_ledger_holding *holding)
{
    for (guint i = holding->endings->len; i-- > 0;) {
        const struct ending *ending =
            &g_array_index(holding->endings, struct ending, i);
        if (ending->ripe || ending->refused || holding->engine == NULL) {
            g_array_remove_index(holding->endings, i);
        }
    }
    ch_report_free(holding->report);
    holding->report = NULL;
    holding->adopted = true;
}
