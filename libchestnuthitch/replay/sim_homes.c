/* Home nodes of upstreams in a run: the code under test, with the parts of a
 * node around it: the ledger in the key-value store, orders, engine reports
 * and gossip. */

#include "replay/sim.h"

#include <string.h>

enum {
    KV_WRITE_US = 3 * 1000, /* time of a write to the key-value store */
    GOSSIP_PERIOD_US = 250 * 1000,
    /* Upstreams of an unreachable region count as down after this. */
    SILENCE_LIMIT_US = G_USEC_PER_SEC,
    /* In a longer queue, the last request would wait longer than any target of
     * the examples. */
    MAX_QUEUE_LENGTH = 64,
};

static const char SENDER[] = "replay#1";

/* Returns the entry node that is the home node of an upstream: the highest
 * rendezvous weight among the live entry nodes of its data centre, or if there
 * are none, of its region, or else of all regions. */
int
sim_home_get_host(const struct sim *sim, size_t upstream)
{
    const struct ch_site *site = sim->site;
    size_t centre = site->upstreams[upstream].data_centre;
    size_t region = site->data_centres[centre].region;
    uint64_t key = ch_hash_string(site->upstreams[upstream].name);
    for (int scope = 0; scope < 3; scope++) {
        int best = SIM_NO_HOST;
        uint64_t best_weight = 0;
        for (size_t i = 0; i < site->entry_count; i++) {
            size_t entry_centre = site->entries[i].data_centre;
            bool in_scope =
                scope == 2 ||
                (scope == 1 ? site->data_centres[entry_centre].region == region
                            : entry_centre == centre);
            uint64_t weight =
                ch_hash_pair(key, ch_hash_string(site->entries[i].name));
            if (sim->entries[i].up && in_scope &&
                (best == SIM_NO_HOST || weight > best_weight)) {
                best = (int)i;
                best_weight = weight;
            }
        }
        if (best != SIM_NO_HOST) {
            return best;
        }
    }
    return SIM_NO_HOST;
}

/* Returns an upstream's configuration as the host list would have it. */
static struct ch_upstream_config
get_config(const struct sim *sim, size_t upstream)
{
    const struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    return (struct ch_upstream_config){
        .name = upstream_state->name,
        .service = upstream_state->site->service == NULL
                       ? 0
                       : g_quark_from_string(upstream_state->site->service),
        .capacity_mb = upstream_state->site->memory_mb,
        .accelerators = upstream_state->site->accelerators,
        .batch = upstream_state->site->max_batch,
        .max_queue = MAX_QUEUE_LENGTH,
    };
}

/* Creates the home state of an upstream on its home node, and the ledger if
 * there is none yet. */
void
sim_home_init(struct sim *sim, size_t upstream)
{
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    struct ch_upstream_config config = get_config(sim, upstream);
    upstream_state->host = sim_home_get_host(sim, upstream);
    upstream_state->home = ch_home_new(sim->policy, &config, sim->now);
    upstream_state->published_states = g_hash_table_new(NULL, NULL);
    if (upstream_state->ledger == NULL) {
        upstream_state->ledger = ch_ledger_new(
            upstream_state->site->name, upstream_state->site->memory_mb);
    }
}

/* Frees the home state.  The ledger is kept in the key-value store and stays.
 */
void
sim_home_clear(struct sim_upstream *upstream)
{
    ch_home_free(upstream->home);
    g_hash_table_unref(upstream->published_states);
    upstream->home = NULL;
    upstream->published_states = NULL;
}

/* Returns whether the home node reaches the key-value store, which is in the
 * first region. */
static bool
kv_reachable(const struct sim *sim, const struct sim_upstream *upstream_state)
{
    if (sim->kv_down) {
        return false;
    }
    return !sim->link_down || upstream_state->host == SIM_NO_HOST ||
           sim->entries[upstream_state->host].region == 0;
}

/* Returns whether orders may be sent: the ledger can be written, or the
 * engines reject orders with an old fencing token, so that conflicting orders
 * do no harm. */
static bool
may_order(const struct sim *sim, const struct sim_upstream *upstream_state)
{
    return sim->site->engine.fencing || kv_reachable(sim, upstream_state);
}

/* Returns the home node's view of the fleet, with the number of loads that may
 * start now. */
static struct ch_fleet *
update_fleet(struct sim *sim, const struct sim_upstream *upstream_state)
{
    struct sim_entry *host = &sim->entries[upstream_state->host];
    unsigned loading = 0;
    for (size_t i = 0; i < host->fleet.count; i++) {
        const GArray *list = host->fleet.upstreams[i].loading;
        for (guint j = 0; list != NULL && j < list->len; j++) {
            const char *name =
                g_quark_to_string(g_array_index(list, struct ch_item, j).name);
            loading += strchr(name, '/') == NULL ? 1 : 0;
        }
    }
    unsigned max_loads = sim->site->max_parallel_loads;
    double level = ch_token_bucket_level(&host->load_budget, sim->now);
    unsigned left = loading < max_loads ? max_loads - loading : 0;
    host->fleet.store_loads_left = MIN(left, (unsigned)level);
    return &host->fleet;
}

static void send_order(struct sim *sim, const struct sim_event *event);

/* Applies the decisions of a home node and frees their list. */
static void
apply_actions(struct sim *sim, size_t upstream, struct ch_actions *out)
{
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    const struct ch_site_entry *host =
        &sim->site->entries[upstream_state->host];
    for (guint i = 0; i < out->list->len; i++) {
        const struct ch_action *action =
            &g_array_index(out->list, struct ch_action, i);
        if (action->kind == CH_ACTION_LOAD ||
            action->kind == CH_ACTION_UNLOAD) {
            bool load = action->kind == CH_ACTION_LOAD;
            if (load && strchr(g_quark_to_string(action->item), '/') == NULL) {
                ch_token_bucket_take(
                    &sim->entries[upstream_state->host].load_budget, 1.0,
                    sim->now);
            }
            int64_t delay =
                KV_WRITE_US + 2 * sim_get_delay(sim, host->data_centre, 0);
            sim_schedule(sim, sim->now + delay, send_order, upstream,
                         action->item,
                         ((uint64_t)action->memory_mb << 1) | (load ? 1 : 0));
            continue;
        }
        const struct sim_request *request =
            sim_request_find_by_ask(sim, action->request_id);
        int64_t delay = 0;
        if (request != NULL) {
            const struct sim_entry *entry = &sim->entries[request->entry];
            delay = sim_get_delay(sim, host->data_centre,
                                  entry->site->data_centre);
        }
        sim_schedule(sim, sim->now + delay, sim_request_handle_reply,
                     action->request_id, action->code,
                     (uint64_t)action->retry_after);
    }
    g_array_unref(out->list);
}

static struct ch_actions
new_actions(void)
{
    return (struct ch_actions){
        .list = g_array_new(FALSE, FALSE, sizeof(struct ch_action))};
}

/* Notifies the home node of an item's state in the ledger, if it changed. */
static void
notify_item(struct sim *sim, size_t upstream, GQuark item,
            enum ch_item_state state, uint32_t memory_mb)
{
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    gpointer key = GUINT_TO_POINTER(item);
    guint before = GPOINTER_TO_UINT(
        g_hash_table_lookup(upstream_state->published_states, key));
    if (before == (guint)state + 1) {
        return;
    }
    g_hash_table_insert(upstream_state->published_states, key,
                        GUINT_TO_POINTER((guint)state + 1));
    struct ch_actions out = new_actions();
    ch_home_set_item(upstream_state->home, item, state, memory_mb, sim->now,
                     &out);
    apply_actions(sim, upstream, &out);
}

/* Notifies the home node of all changes in the ledger. */
static void
sync_ledger(struct sim *sim, size_t upstream)
{
    static const enum ch_item_state states[] = {
        [CH_LEDGER_RESERVED] = CH_ITEM_LOADING,
        [CH_LEDGER_RESIDENT] = CH_ITEM_RESIDENT,
        [CH_LEDGER_UNLOADING] = CH_ITEM_UNLOADING,
    };
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    if (upstream_state->host == SIM_NO_HOST) {
        return;
    }
    GList *known = g_hash_table_get_keys(upstream_state->published_states);
    for (GList *list_item = known; list_item != NULL;
         list_item = list_item->next) {
        GQuark item = GPOINTER_TO_UINT(list_item->data);
        if (ch_ledger_find_entry(upstream_state->ledger,
                                 g_quark_to_string(item)) == NULL) {
            notify_item(sim, upstream, item, CH_ITEM_ABSENT, 0);
        }
    }
    g_list_free(known);
    for (size_t i = 0; i < upstream_state->ledger->entry_count; i++) {
        const struct ch_ledger_entry *entry =
            &upstream_state->ledger->entries[i];
        notify_item(sim, upstream, g_quark_from_string(entry->item),
                    states[entry->state], entry->memory_mb);
    }
}

/* Replaces the ledger by its next version and takes ownership of it. */
static void
replace_ledger(struct sim_upstream *upstream_state, struct ch_ledger *next)
{
    ch_ledger_free(upstream_state->ledger);
    upstream_state->ledger = next;
}

/* Handles an order at the engine.  a: upstream, b: item, c: 1 to load, 0 to
 * unload. */
static void
handle_order(struct sim *sim, const struct sim_event *event)
{
    struct sim_upstream *upstream_state = &sim->upstreams[event->a];
    const char *item = g_quark_to_string((GQuark)event->b);
    const struct ch_ledger_entry *entry =
        ch_ledger_find_entry(upstream_state->ledger, item);
    if (entry == NULL) {
        return;
    }
    char id[40];
    g_strlcpy(id, entry->order_id, sizeof(id));
    if (event->c == 0) {
        sim_engine_unload(sim, (size_t)event->a, (GQuark)event->b, id);
        return;
    }
    bool refused = upstream_state->engine.down;
    sim_engine_load(sim, (size_t)event->a, (GQuark)event->b, entry->memory_mb,
                    id);
    struct ch_ledger *next =
        ch_ledger_copy_next(upstream_state->ledger, SENDER);
    ch_ledger_end_send(next, id, SENDER, refused);
    replace_ledger(upstream_state, next);
    sync_ledger(sim, (size_t)event->a);
}

/* Notifies a home node that an order failed. */
static void
notify_order_failed(struct sim *sim, size_t upstream, GQuark item, bool load,
                    enum ch_code code)
{
    struct ch_actions out = new_actions();
    ch_home_handle_failed_order(sim->upstreams[upstream].home, item,
                                load ? CH_ACTION_LOAD : CH_ACTION_UNLOAD, code,
                                sim->now, &out);
    apply_actions(sim, upstream, &out);
}

/* Writes an order into the ledger and sends it.  a: upstream, b: item, c:
 * twice the memory in megabytes, plus 1 for a load. */
static void
send_order(struct sim *sim, const struct sim_event *event)
{
    size_t upstream = (size_t)event->a;
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    GQuark item = (GQuark)event->b;
    bool load = (event->c & 1) != 0;
    if (upstream_state->host == SIM_NO_HOST) {
        return;
    }
    if (!may_order(sim, upstream_state)) {
        notify_order_failed(sim, upstream, item, load, CH_KV_UNREACHABLE);
        return;
    }
    char id[24];
    g_snprintf(id, sizeof(id), "o-%" G_GUINT64_FORMAT, sim->next_sequence);
    struct ch_ledger *next =
        ch_ledger_copy_next(upstream_state->ledger, SENDER);
    const char *name = g_quark_to_string(item);
    bool fine = load ? ch_ledger_reserve(next, name, (uint32_t)(event->c >> 1),
                                         id, SENDER, NULL)
                     : ch_ledger_release(next, name, id, NULL);
    if (!fine) {
        ch_ledger_free(next);
        notify_order_failed(sim, upstream, item, load, CH_KV_CONFLICT);
        return;
    }
    replace_ledger(upstream_state, next);
    sync_ledger(sim, upstream);
    int64_t delay = sim_get_delay(
        sim, sim->site->entries[upstream_state->host].data_centre,
        upstream_state->site->data_centre);
    sim_schedule(sim, sim->now + delay, handle_order, upstream, item,
                 load ? 1 : 0);
}

/* Queues a request that asks for a grant.  a: the ask. */
void
sim_home_handle_ask(struct sim *sim, const struct sim_event *event)
{
    const struct sim_request *request = sim_request_find_by_ask(sim, event->a);
    size_t upstream =
        g_array_index(sim->asks, struct sim_ask, event->a).upstream;
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    if (request == NULL) {
        return;
    }
    if (upstream_state->host == SIM_NO_HOST) {
        sim_schedule(sim, sim->now, sim_request_handle_reply, event->a,
                     CH_PEER_LOST, 0);
        return;
    }
    struct ch_actions out = new_actions();
    ch_home_enqueue(upstream_state->home, &request->work,
                    update_fleet(sim, upstream_state), sim->now, &out);
    apply_actions(sim, upstream, &out);
}

/* Handles the release of a grant.  a: the ask, b: code, c: time to the first
 * byte (upper 32 bits) and time per token (lower 32 bits), in microseconds. */
void
sim_home_handle_release(struct sim *sim, const struct sim_event *event)
{
    size_t upstream =
        g_array_index(sim->asks, struct sim_ask, event->a).upstream;
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    if (upstream_state->host == SIM_NO_HOST) {
        return;
    }
    struct ch_timing_sample sample = {
        .code = (enum ch_code)event->b,
        .first_byte_time = (int64_t)(event->c >> 32),
        .token_time = (int64_t)(event->c & UINT32_MAX),
        .token_count = 2,
    };
    struct ch_actions out = new_actions();
    ch_home_release(upstream_state->home, event->a, &sample, sim->now, &out);
    apply_actions(sim, upstream, &out);
}

/* Withdraws an ask and releases its grant, since its entry node is lost. */
void
sim_home_withdraw(struct sim *sim, size_t upstream, uint64_t ask)
{
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    if (upstream_state->host == SIM_NO_HOST) {
        return;
    }
    struct ch_timing_sample sample = {.code = CH_PEER_LOST};
    struct ch_actions out = new_actions();
    ch_home_withdraw(upstream_state->home, ask, sim->now, &out);
    ch_home_release(upstream_state->home, ask, &sample, sim->now, &out);
    apply_actions(sim, upstream, &out);
}

/* Runs the periodic work of a home node.  a: upstream. */
void
sim_home_tick(struct sim *sim, const struct sim_event *event)
{
    struct sim_upstream *upstream_state = &sim->upstreams[event->a];
    if (upstream_state->host != SIM_NO_HOST) {
        struct ch_actions out = new_actions();
        ch_home_tick(upstream_state->home, update_fleet(sim, upstream_state),
                     sim->now, &out);
        apply_actions(sim, (size_t)event->a, &out);
    }
    if (sim->open_requests > 0) {
        sim_schedule(sim, sim->now + CH_HOME_TICK_US, sim_home_tick, event->a,
                     0, 0);
    }
}

/* Updates the ledger from an engine's report. */
static void
observe_report(struct sim *sim, size_t upstream)
{
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    const struct sim_engine *engine = &upstream_state->engine;
    GPtrArray *names = g_ptr_array_new();
    GArray *sizes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (guint i = 0; i < engine->items->len; i++) {
        const struct sim_item *item =
            &g_array_index(engine->items, struct sim_item, i);
        if (!item->loading) {
            g_ptr_array_add(names, (gpointer)g_quark_to_string(item->name));
            g_array_append_val(sizes, item->memory_mb);
        }
    }
    char boot[24];
    g_snprintf(boot, sizeof(boot), "b-%u", engine->boot_id);
    struct ch_ledger_report evidence = {
        .boot_id = boot,
        .resident_items = (const char *const *)names->pdata,
        .resident_mb = (const uint32_t *)(const void *)sizes->data,
        .resident_count = names->len,
        .done_order_ids = (const char *const *)engine->completed_orders->pdata,
        .done_order_count = engine->completed_orders->len,
        .requested_after_ends = true,
    };
    struct ch_ledger *next =
        ch_ledger_copy_next(upstream_state->ledger, SENDER);
    if (ch_ledger_apply_report(next, &evidence)) {
        replace_ledger(upstream_state, next);
        sync_ledger(sim, upstream);
    }
    else {
        ch_ledger_free(next);
    }
    g_ptr_array_unref(names);
    g_array_unref(sizes);
}

/* Handles an engine's report and schedules the next.  a: upstream, b: not 0 to
 * schedule none. */
void
sim_home_handle_report(struct sim *sim, const struct sim_event *event)
{
    struct sim_upstream *upstream_state = &sim->upstreams[event->a];
    const struct sim_engine *engine = &upstream_state->engine;
    if (upstream_state->host != SIM_NO_HOST) {
        if (!engine->down && !engine->is_service &&
            may_order(sim, upstream_state)) {
            observe_report(sim, (size_t)event->a);
        }
        struct ch_actions out = new_actions();
        ch_home_update_engine_state(upstream_state->home, engine->running->len,
                                    engine->waiting->len, engine->draining,
                                    engine->down, sim->now, &out);
        apply_actions(sim, (size_t)event->a, &out);
    }
    if (sim->open_requests > 0 && event->b == 0) {
        sim_schedule(sim, sim->now + sim->site->engine.report_period,
                     sim_home_handle_report, event->a, 0, 0);
    }
}

/* Assigns an upstream's home node anew.  If it changed, the queue is lost, the
 * counts start at zero, and the ledger stays. */
void
sim_home_assign(struct sim *sim, size_t upstream)
{
    struct sim_upstream *upstream_state = &sim->upstreams[upstream];
    int host = sim_home_get_host(sim, upstream);
    if (host == upstream_state->host) {
        return;
    }
    sim_home_clear(upstream_state);
    sim_home_init(sim, upstream);
    sync_ledger(sim, upstream);
    for (size_t i = 0; i < sim->trace->count; i++) {
        const struct sim_request *request = &sim->requests[i];
        if (request->event != NULL && request->state == SIM_ASKING &&
            request->upstream == (int)upstream) {
            sim_schedule(sim, sim->now, sim_request_handle_reply,
                         request->current_ask, CH_PEER_LOST, 0);
        }
    }
}

/* Frees the lists of a view, if it has them. */
static void
clear_view(struct ch_upstream_view *view)
{
    if (view->resident != NULL) {
        g_array_unref(view->resident);
        g_array_unref(view->loading);
    }
}

/* Copies an upstream's view to an entry node.  If the link between them is
 * interrupted, the entry node instead marks the upstream as down after the
 * silence limit. */
static void
publish_view(struct sim *sim, struct sim_entry *entry, size_t upstream,
             const struct ch_upstream_view *view)
{
    struct ch_upstream_view *own = &entry->fleet.upstreams[upstream];
    int host = sim->upstreams[upstream].host;
    bool unreachable =
        sim->link_down && sim->entries[host].region != entry->region;
    if (unreachable) {
        own->down =
            own->down || sim->now - sim->link_changed_at > SILENCE_LIMIT_US;
        return;
    }
    clear_view(own);
    *own = *view;
    g_array_ref(own->resident);
    g_array_ref(own->loading);
    own->sent_since_report = entry->pending_asks[upstream];
}

/* Publishes the state of all home nodes to all entry nodes.  b: not 0 to run
 * only once. */
void
sim_home_gossip(struct sim *sim, const struct sim_event *event)
{
    for (size_t u = 0; u < sim->site->upstream_count; u++) {
        struct sim_upstream *upstream_state = &sim->upstreams[u];
        if (upstream_state->host == SIM_NO_HOST) {
            continue;
        }
        struct ch_upstream_view view;
        ch_home_get_view(upstream_state->home, sim->now, &view);
        view.region = (uint16_t)upstream_state->region;
        view.data_centre = (uint16_t)upstream_state->site->data_centre;
        for (size_t i = 0; i < sim->site->entry_count; i++) {
            publish_view(sim, &sim->entries[i], u, &view);
        }
        clear_view(&view);
    }
    if (sim->open_requests > 0 && event->b == 0) {
        sim_schedule(sim, sim->now + GOSSIP_PERIOD_US, sim_home_gossip, 0, 0,
                     0);
    }
}
