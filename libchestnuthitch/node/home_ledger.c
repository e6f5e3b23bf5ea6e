/* Contents of the engines' memory: as recorded in the ledgers, and as reported
 * until a ledger has been read. */

#include "node/homes_internal.h"

/* Records an item as resident before the ledger confirms it. */
static void
assume_resident(struct upstream *upstream, GQuark item, uint32_t memory_mb,
                int64_t now, struct ch_actions *actions)
{
    g_array_append_val(upstream->known_items, item);
    ch_home_set_item(upstream->home, item, CH_ITEM_RESIDENT, memory_mb, now,
                     actions);
}

/*
 * A home that has just opened treats the items that the previous home
 * published as still resident until the ledger has been read.  While the
 * key-value store is unavailable that may take an hour, during which the
 * models are still served: sending a request needs no reservation.  An engine
 * that has lost or is unloading the model refuses the request before running
 * it, and the request is retried elsewhere.  Loads and unloads wait for the
 * ledger as usual.
 */
void
home_assume_published_items(struct ch_homes *homes, struct upstream *upstream,
                            int64_t now, struct effects *effects)
{
    const struct ch_upstream_view *view =
        upstream_list_get_view(homes, upstream);
    struct ch_actions actions = home_actions_new();
    for (guint i = 0; view != NULL && i < view->resident->len; i++) {
        GQuark item = g_array_index(view->resident, struct ch_item, i).name;
        assume_resident(upstream, item, 0, now, &actions);
    }
    home_apply_actions(homes, upstream, &actions, now, effects);
}

static bool
has_item(const GArray *items, GQuark item)
{
    for (guint i = 0; i < items->len; i++) {
        if (g_array_index(items, GQuark, i) == item) {
            return true;
        }
    }
    return false;
}

/* Records the items in the engine's own report as resident, in place of those
 * that the previous home published.  Does nothing once the ledger has been
 * read. */
void
home_assume_reported_items(struct upstream *upstream,
                           const struct ch_engine_report *report, int64_t now,
                           struct ch_actions *actions)
{
    if (upstream->ledger_read) {
        return;
    }
    GArray *before = upstream->known_items;
    upstream->known_items = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (size_t i = 0; i < report->resident_item_count; i++) {
        assume_resident(upstream,
                        g_quark_from_string(report->resident_items[i].name),
                        report->resident_items[i].memory_mb, now, actions);
    }
    for (guint i = 0; i < before->len; i++) {
        GQuark item = g_array_index(before, GQuark, i);
        if (!has_item(upstream->known_items, item)) {
            ch_home_set_item(upstream->home, item, CH_ITEM_ABSENT, 0, now,
                             actions);
        }
    }
    g_array_free(before, TRUE);
}

/* Converts a state of a ledger entry to a state of a home's item. */
static enum ch_item_state
convert_state(enum ch_ledger_state state)
{
    switch (state) {
    case CH_LEDGER_RESERVED:
        return CH_ITEM_LOADING;
    case CH_LEDGER_RESIDENT:
        return CH_ITEM_RESIDENT;
    case CH_LEDGER_UNLOADING:
        break;
    }
    return CH_ITEM_UNLOADING;
}

/* Updates the home's items to the ledger's entries.  Items that are no longer
 * in the ledger become absent. */
static void
apply_ledger(struct ch_homes *homes, struct upstream *upstream,
             const struct ch_ledger *ledger, int64_t now,
             struct effects *effects)
{
    struct ch_actions actions = home_actions_new();
    upstream->ledger_read = true;
    for (guint i = 0; i < upstream->known_items->len; i++) {
        GQuark item = g_array_index(upstream->known_items, GQuark, i);
        if (ch_ledger_find_entry(ledger, g_quark_to_string(item)) == NULL) {
            ch_home_set_item(upstream->home, item, CH_ITEM_ABSENT, 0, now,
                             &actions);
        }
    }
    g_array_set_size(upstream->known_items, 0);
    for (size_t i = 0; i < ledger->entry_count; i++) {
        const struct ch_ledger_entry *entry = &ledger->entries[i];
        GQuark item = g_quark_from_string(entry->item);
        g_array_append_val(upstream->known_items, item);
        ch_home_set_item(upstream->home, item, convert_state(entry->state),
                         entry->memory_mb, now, &actions);
    }
    home_apply_actions(homes, upstream, &actions, now, effects);
}

/* Runs on a pool worker after every change of an upstream's ledger. */
static void
handle_ledger_changed(void *data, GQuark name, const struct ch_ledger *ledger)
{
    struct ch_homes *homes = data;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream = upstream_list_find(homes, name);
    if (upstream != NULL && upstream->home != NULL) {
        apply_ledger(homes, upstream, ledger,
                     ch_client_get_time(homes->node->client), &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/*
 * Handles an order that will not be carried out.  That the ledger already
 * holds the item is no failure: a home that has just opened requests a model
 * before its first read of the ledger, which has since reported the item's
 * state.  Treated as a failure, this blocked all loads for a second and
 * refused the waiting requests at each change of home.
 */
static void
handle_order_failed(void *data, GQuark name, GQuark item,
                    enum ch_action_kind kind, enum ch_code code)
{
    struct ch_homes *homes = data;
    if (code == CH_DUPLICATE) {
        return;
    }
    struct effects effects;
    effects_init(&effects);
    ch_log(homes->node->client, CH_LOG_NOTICE, "order-failed",
           CH_F_STR("upstream", g_quark_to_string(name)),
           CH_F_STR("item", g_quark_to_string(item)),
           CH_F_STR("action", kind == CH_ACTION_LOAD ? "load" : "unload"),
           CH_F_INT("code", code),
           CH_F_STR("reason", ch_code_get_meaning(code)), CH_F_END);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream = upstream_list_find(homes, name);
    if (upstream != NULL && upstream->home != NULL) {
        int64_t now = ch_client_get_time(homes->node->client);
        struct ch_actions actions = home_actions_new();
        ch_home_handle_failed_order(upstream->home, item, kind, code, now,
                                    &actions);
        home_apply_actions(homes, upstream, &actions, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/* Handlers for the ledger manager, to be called with the homes as data. */
const struct ch_ledger_handlers *
home_ledger_handlers(void)
{
    static const struct ch_ledger_handlers handlers = {
        .changed = handle_ledger_changed,
        .failed = handle_order_failed,
    };
    return &handlers;
}
