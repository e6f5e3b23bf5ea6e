/* The ledgers of the upstreams whose home is this node. */

#include "node/upstream_ledger.h"

#include <pthread.h>

enum {
    /* Max wait of a planned stop for replies to orders and for the writes that
     * record them. */
    MAX_STOP_WAIT_S = 3,
};

struct ch_ledger_manager {
    struct ch_ledger_context context;
    pthread_mutex_t lock;
    /* GQuark of the upstream to struct ch_upstream_ledger. */
    GHashTable *ledgers;
    bool stopped;
};

static void
unref_ledger(void *data)
{
    ch_upstream_ledger_unref(data);
}

/* Creates an empty manager; node must outlive it.  The handlers run on pool
 * workers. */
struct ch_ledger_manager *
ch_ledger_manager_new(struct ch_node *node,
                      const struct ch_ledger_handlers *handlers, void *data)
{
    struct ch_ledger_manager *manager = g_new0(struct ch_ledger_manager, 1);
    manager->context.node = node;
    manager->context.handlers = *handlers;
    manager->context.data = data;
    manager->context.sender = g_strdup_printf(
        "%s#%" G_GUINT64_FORMAT, node->settings->name, node->incarnation);
    pthread_mutex_init(&manager->lock, NULL);
    manager->ledgers = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                             NULL, unref_ledger);
    return manager;
}

/* A reference to an upstream's ledger.  NULL if there is none and create is
 * false, or after a stop. */
static struct ch_upstream_ledger *
find_ledger(struct ch_ledger_manager *manager, GQuark upstream, bool create)
{
    pthread_mutex_lock(&manager->lock);
    struct ch_upstream_ledger *ledger =
        g_hash_table_lookup(manager->ledgers, GUINT_TO_POINTER(upstream));
    if (ledger == NULL && create && !manager->stopped) {
        ledger = ch_upstream_ledger_new(&manager->context, upstream);
        g_hash_table_insert(manager->ledgers, GUINT_TO_POINTER(upstream),
                            ledger);
    }
    if (ledger != NULL) {
        ch_upstream_ledger_ref(ledger);
    }
    pthread_mutex_unlock(&manager->lock);
    return ledger;
}

/* Closes every ledger, waits up to MAX_STOP_WAIT_S for sends under way, and
 * stops: no calls are started afterwards. */
void
ch_ledger_manager_stop(struct ch_ledger_manager *manager)
{
    pthread_mutex_lock(&manager->lock);
    manager->stopped = true;
    GList *ledgers = g_hash_table_get_values(manager->ledgers);
    for (GList *link = ledgers; link != NULL; link = link->next) {
        ch_upstream_ledger_ref(link->data);
    }
    pthread_mutex_unlock(&manager->lock);
    struct timespec deadline;
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_sec += MAX_STOP_WAIT_S;
    for (GList *link = ledgers; link != NULL; link = link->next) {
        ch_upstream_ledger_close(link->data);
    }
    for (GList *link = ledgers; link != NULL; link = link->next) {
        ch_upstream_ledger_wait_recorded(link->data, &deadline);
        ch_upstream_ledger_stop(link->data);
        ch_upstream_ledger_unref(link->data);
    }
    g_list_free(ledgers);
}

/* Frees the manager once the HTTP loop and the pool have finished all jobs. */
void
ch_ledger_manager_free(struct ch_ledger_manager *manager)
{
    if (manager == NULL) {
        return;
    }
    g_hash_table_destroy(manager->ledgers);
    pthread_mutex_destroy(&manager->lock);
    g_free(manager->context.sender);
    g_free(manager);
}

/* Called when this node becomes home of the upstream; see node.h. */
void
ch_ledger_manager_open(struct ch_ledger_manager *manager, GQuark upstream,
                       struct ch_upstream *engine, uint32_t capacity_mb)
{
    struct ch_upstream_ledger *ledger = find_ledger(manager, upstream, true);
    if (ledger != NULL) {
        ch_upstream_ledger_open(ledger, engine, capacity_mb);
        ch_upstream_ledger_unref(ledger);
    }
}

/* Called when this node is no longer home of the upstream; see node.h. */
void
ch_ledger_manager_close(struct ch_ledger_manager *manager, GQuark upstream)
{
    struct ch_upstream_ledger *ledger = find_ledger(manager, upstream, false);
    if (ledger != NULL) {
        ch_upstream_ledger_close(ledger);
        ch_upstream_ledger_unref(ledger);
    }
}

/* Requests that an item be loaded; the `changed` or `failed` handler reports
 * the result. */
void
ch_ledger_manager_load(struct ch_ledger_manager *manager, GQuark upstream,
                       GQuark item, uint32_t memory_mb)
{
    struct ch_upstream_ledger *ledger = find_ledger(manager, upstream, false);
    if (ledger != NULL) {
        ch_upstream_ledger_request_change(ledger, item, CH_ACTION_LOAD,
                                          memory_mb);
        ch_upstream_ledger_unref(ledger);
    }
}

/* Requests that an item be unloaded; the `changed` or `failed` handler reports
 * the result. */
void
ch_ledger_manager_unload(struct ch_ledger_manager *manager, GQuark upstream,
                         GQuark item)
{
    struct ch_upstream_ledger *ledger = find_ledger(manager, upstream, false);
    if (ledger != NULL) {
        ch_upstream_ledger_request_change(ledger, item, CH_ACTION_UNLOAD, 0);
        ch_upstream_ledger_unref(ledger);
    }
}

/* Applies an engine's report.  The caller requests one report at a time. */
void
ch_ledger_manager_handle_report(struct ch_ledger_manager *manager,
                                GQuark upstream,
                                const struct ch_engine_report *report)
{
    struct ch_upstream_ledger *ledger = find_ledger(manager, upstream, false);
    if (ledger != NULL) {
        ch_upstream_ledger_apply_report(ledger, report);
        ch_upstream_ledger_unref(ledger);
    }
}
