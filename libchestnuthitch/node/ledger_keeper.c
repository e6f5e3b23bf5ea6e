/* The ledgers of the upstreams that this node is home of. */

#include "node/ledger_holding.h"

#include <pthread.h>

enum {
    /* A stop waits this long for the answers to orders and their writes. */
    STOP_WAIT_S = 3,
};

struct ch_ledger_keeper {
    struct ch_ledger_office office;
    pthread_mutex_t lock;
    GHashTable *holdings; /* upstream to struct ch_ledger_holding */
    bool stopped;
};

/* Drops the table's reference. */
static void
unref_holding(void *data)
{
    ch_ledger_holding_unref(data);
}

/* An empty keeper; node outlives it.  The handlers run on pool workers. */
struct ch_ledger_keeper *
ch_ledger_keeper_new(struct ch_node *node,
                     const struct ch_ledger_handlers *handlers, void *data)
{
    struct ch_ledger_keeper *keeper = g_new0(struct ch_ledger_keeper, 1);
    keeper->office.node = node;
    keeper->office.handlers = *handlers;
    keeper->office.data = data;
    keeper->office.sender = g_strdup_printf(
        "%s#%" G_GUINT64_FORMAT, node->settings->name, node->incarnation);
    pthread_mutex_init(&keeper->lock, NULL);
    keeper->holdings = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                             NULL, unref_holding);
    return keeper;
}

/* A reference to the holding of an upstream, or NULL; create makes one. */
static struct ch_ledger_holding *
find_holding(struct ch_ledger_keeper *keeper, GQuark upstream, bool create)
{
    pthread_mutex_lock(&keeper->lock);
    struct ch_ledger_holding *holding =
        g_hash_table_lookup(keeper->holdings, GUINT_TO_POINTER(upstream));
    if (holding == NULL && create && !keeper->stopped) {
        holding = ch_ledger_holding_new(&keeper->office, upstream);
        g_hash_table_insert(keeper->holdings, GUINT_TO_POINTER(upstream),
                            holding);
    }
    if (holding != NULL) {
        ch_ledger_holding_ref(holding);
    }
    pthread_mutex_unlock(&keeper->lock);
    return holding;
}

/* Closes every holding, waits a little for what is on its way, and stops: no
 * call is begun after it. */
void
ch_ledger_keeper_stop(struct ch_ledger_keeper *keeper)
{
    pthread_mutex_lock(&keeper->lock);
    keeper->stopped = true;
    GList *holdings = g_hash_table_get_values(keeper->holdings);
    for (GList *at = holdings; at != NULL; at = at->next) {
        ch_ledger_holding_ref(at->data);
    }
    pthread_mutex_unlock(&keeper->lock);
    struct timespec deadline;
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_sec += STOP_WAIT_S;
    for (GList *at = holdings; at != NULL; at = at->next) {
        ch_ledger_holding_close(at->data);
    }
    for (GList *at = holdings; at != NULL; at = at->next) {
        ch_ledger_holding_settle(at->data, &deadline);
        ch_ledger_holding_stop(at->data);
        ch_ledger_holding_unref(at->data);
    }
    g_list_free(holdings);
}

/* Frees the keeper.  HTTP loop and pool have run out what was under way. */
void
ch_ledger_keeper_free(struct ch_ledger_keeper *keeper)
{
    if (keeper == NULL) {
        return;
    }
    g_hash_table_destroy(keeper->holdings);
    pthread_mutex_destroy(&keeper->lock);
    g_free(keeper->office.sender);
    g_free(keeper);
}

/* This node is home of the upstream from now on; see node.h. */
void
ch_ledger_keeper_open(struct ch_ledger_keeper *keeper, GQuark upstream,
                      struct ch_upstream *engine, uint32_t capacity_mb)
{
    struct ch_ledger_holding *holding = find_holding(keeper, upstream, true);
    if (holding != NULL) {
        ch_ledger_holding_open(holding, engine, capacity_mb);
        ch_ledger_holding_unref(holding);
    }
}

/* This node is no longer home of the upstream; see node.h. */
void
ch_ledger_keeper_close(struct ch_ledger_keeper *keeper, GQuark upstream)
{
    struct ch_ledger_holding *holding = find_holding(keeper, upstream, false);
    if (holding != NULL) {
        ch_ledger_holding_close(holding);
        ch_ledger_holding_unref(holding);
    }
}

/* Wants an item in the upstream's memory; `changed` or `failed` tells. */
void
ch_ledger_keeper_load(struct ch_ledger_keeper *keeper, GQuark upstream,
                      GQuark item, uint32_t memory_mb)
{
    struct ch_ledger_holding *holding = find_holding(keeper, upstream, false);
    if (holding != NULL) {
        ch_ledger_holding_intend(holding, item, CH_ACTION_LOAD, memory_mb);
        ch_ledger_holding_unref(holding);
    }
}

/* Wants an item out of the upstream's memory; `changed` or `failed` tells. */
void
ch_ledger_keeper_unload(struct ch_ledger_keeper *keeper, GQuark upstream,
                        GQuark item)
{
    struct ch_ledger_holding *holding = find_holding(keeper, upstream, false);
    if (holding != NULL) {
        ch_ledger_holding_intend(holding, item, CH_ACTION_UNLOAD, 0);
        ch_ledger_holding_unref(holding);
    }
}

/* Gives an engine's report, of which the caller asks one at a time. */
void
ch_ledger_keeper_report(struct ch_ledger_keeper *keeper, GQuark upstream,
                        const struct ch_report *report)
{
    struct ch_ledger_holding *holding = find_holding(keeper, upstream, false);
    if (holding != NULL) {
        ch_ledger_holding_report(holding, report);
        ch_ledger_holding_unref(holding);
    }
}
