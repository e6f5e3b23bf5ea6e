/* What the ledgers tell the homes on this node of their engines' memory, and
 * what is taken to be there until a ledger is read. */

#include "node/homes_internal.h"

/* Tells a home that an item is in memory, of which the ledger has not told
 * yet. */
static void
assume_resident(struct upstream *upstream, GQuark item, uint32_t memory_mb,
                int64_t now, struct ch_actions *actions)
{
    g_array_append_val(upstream->items, item);
    ch_home_set_item(upstream->home, item, CH_ITEM_RESIDENT, memory_mb, now,
                     actions);
}

/*
 * A home that has just opened takes what its predecessor told the fleet to be
 * in memory as still there, until the ledger is read.  While the key-value
 * service is away that may be an hour, in which the models are served all the
 * same: to send a request needs no reservation.  An engine that has lost or
 * unloads the model refuses the request before running it, and it is tried
 * elsewhere.  Loads and unloads wait for the ledger as ever.
 */
void
home_assume_view(struct ch_homes *homes, struct upstream *upstream,
                 int64_t now, struct effects *effects)
{
    const struct ch_upstream_view *view = site_view(homes, upstream);
    struct ch_actions actions = home_actions_new();
    for (guint i = 0; view != NULL && i < view->resident->len; i++) {
        GQuark item = g_array_index(view->resident, struct ch_item, i).name;
        assume_resident(upstream, item, 0, now, &actions);
    }
    home_apply(homes, upstream, &actions, now, effects);
}

/* Whether an item is among items. */
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

/* As above, from the engine's own report: it overrides what was told. */
void
home_assume_report(struct upstream *upstream, const struct ch_report *report,
                   int64_t now, struct ch_actions *actions)
{
    if (upstream->ledger_read) {
        return;
    }
    GArray *before = upstream->items;
    upstream->items = g_array_new(FALSE, FALSE, sizeof(GQuark));
    for (size_t i = 0; i < report->resident_count; i++) {
        assume_resident(upstream,
                        g_quark_from_string(report->resident[i].name),
                        report->resident[i].memory_mb, now, actions);
    }
    for (guint i = 0; i < before->len; i++) {
        GQuark item = g_array_index(before, GQuark, i);
        if (!has_item(upstream->items, item)) {
            ch_home_set_item(upstream->home, item, CH_ITEM_ABSENT, 0, now,
                             actions);
        }
    }
    g_array_free(before, TRUE);
}

/* The state of an item as the decisions know it. */
static enum ch_item_state
item_state(enum ch_ledger_state state)
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

/* Tells the home what the ledger holds now; what it no longer holds is
 * absent. */
static void
take_ledger(struct ch_homes *homes, struct upstream *upstream,
            const struct ch_ledger *ledger, int64_t now,
            struct effects *effects)
{
    struct ch_actions actions = home_actions_new();
    upstream->ledger_read = true;
    for (guint i = 0; i < upstream->items->len; i++) {
        GQuark item = g_array_index(upstream->items, GQuark, i);
        if (ch_ledger_find_entry(ledger, g_quark_to_string(item)) == NULL) {
            ch_home_set_item(upstream->home, item, CH_ITEM_ABSENT, 0, now,
                             &actions);
        }
    }
    g_array_set_size(upstream->items, 0);
    for (size_t i = 0; i < ledger->entry_count; i++) {
        const struct ch_ledger_entry *entry = &ledger->entries[i];
        GQuark item = g_quark_from_string(entry->item);
        g_array_append_val(upstream->items, item);
        ch_home_set_item(upstream->home, item, item_state(entry->state),
                         entry->memory_mb, now, &actions);
    }
    home_apply(homes, upstream, &actions, now, effects);
}

/* The ledger of an upstream changed. */
static void
ledger_changed(void *data, GQuark name, const struct ch_ledger *ledger)
{
    struct ch_homes *homes = data;
    struct effects effects;
    effects_init(&effects);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream = site_find(homes, name);
    if (upstream != NULL && upstream->home != NULL) {
        take_ledger(homes, upstream, ledger,
                    ch_client_now(homes->node->client), &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/*
 * An order will not be done.  That the ledger holds the item already is no
 * failure: a home that has just opened wants a model before its first read of
 * the ledger, which told it since how the item stands.  Taken for a failure it
 * blocked all loads for a second and refused what waited, at each change of
 * home.
 */
static void
ledger_failed(void *data, GQuark name, GQuark item, enum ch_action_kind kind,
              enum ch_code code)
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
           CH_F_INT("code", code), CH_F_STR("reason", ch_code_meaning(code)),
           CH_F_END);
    pthread_mutex_lock(&homes->lock);
    struct upstream *upstream = site_find(homes, name);
    if (upstream != NULL && upstream->home != NULL) {
        int64_t now = ch_client_now(homes->node->client);
        struct ch_actions actions = home_actions_new();
        ch_home_handle_failed_order(upstream->home, item, kind, code, now,
                                    &actions);
        home_apply(homes, upstream, &actions, now, &effects);
    }
    pthread_mutex_unlock(&homes->lock);
    effects_run(homes, &effects);
}

/* The handlers that the ledger keeper is given, with the homes as data. */
const struct ch_ledger_handlers *
home_ledger_handlers(void)
{
    static const struct ch_ledger_handlers handlers = {
        .changed = ledger_changed,
        .failed = ledger_failed,
    };
    return &handlers;
}
