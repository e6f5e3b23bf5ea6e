/* The homes of a run: the code under test, with what a node does around it,
 * the ledger in the key-value service, orders, reports and gossip. */

#include "replay/sim.h"

#include <string.h>

enum {
    KV_TIME = 3 * 1000, /* a write at the key-value service */
    GOSSIP = 250 * 1000,
    /* What a node makes of another region that has gone silent. */
    SILENT = G_USEC_PER_SEC,
    QUEUE = 64, /* more would wait longer than any target of the examples */
};

static const char SENDER[] = "replay#1";

/* The entry host that is home of an upstream: by rendezvous among the live
 * ones of its data centre, else of its region, else of all. */
int
sim_home_host(const struct sim *sim, size_t upstream)
{
    const struct ch_site *site = sim->site;
    size_t centre = site->upstreams[upstream].data_centre;
    size_t region = site->data_centres[centre].region;
    uint64_t key = ch_hash_string(site->upstreams[upstream].name);
    for (int scope = 0; scope < 3; scope++) {
        int best = SIM_NOBODY;
        uint64_t best_weight = 0;
        for (size_t i = 0; i < site->entry_count; i++) {
            size_t at = site->entries[i].data_centre;
            bool near = scope == 2 ||
                        (scope == 1 ? site->data_centres[at].region == region
                                    : at == centre);
            uint64_t weight =
                ch_hash_pair(key, ch_hash_string(site->entries[i].name));
            if (sim->entries[i].up && near &&
                (best == SIM_NOBODY || weight > best_weight)) {
                best = (int)i;
                best_weight = weight;
            }
        }
        if (best != SIM_NOBODY) {
            return best;
        }
    }
    return SIM_NOBODY;
}

/* What the platform's list says of an upstream. */
static struct ch_upstream_config
facts_of(const struct sim *sim, size_t upstream)
{
    const struct sim_upstream *held = &sim->upstreams[upstream];
    return (struct ch_upstream_config){
        .name = held->name,
        .service = held->site->service == NULL
                       ? 0
                       : g_quark_from_string(held->site->service),
        .capacity_mb = held->site->memory_mb,
        .accelerators = held->site->accelerators,
        .batch = held->site->batch,
        .max_queue = QUEUE,
    };
}

/* A home for an upstream, on the host that it falls to. */
void
sim_home_init(struct sim *sim, size_t upstream)
{
    struct sim_upstream *held = &sim->upstreams[upstream];
    struct ch_upstream_config facts = facts_of(sim, upstream);
    held->host = sim_home_host(sim, upstream);
    held->home = ch_home_new(sim->policy, &facts, sim->now);
    held->told = g_hash_table_new(NULL, NULL);
    if (held->ledger == NULL) {
        held->ledger = ch_ledger_new(held->site->name, held->site->memory_mb);
    }
}

/* Frees the home; the ledger is the key-value service's and stays. */
void
sim_home_clear(struct sim_upstream *upstream)
{
    ch_home_free(upstream->home);
    g_hash_table_unref(upstream->told);
    upstream->home = NULL;
    upstream->told = NULL;
}

/* Whether the home's host reaches the key-value service, which stands in the
 * first region. */
static bool
kv_reachable(const struct sim *sim, const struct sim_upstream *held)
{
    if (sim->kv_down) {
        return false;
    }
    return !sim->link_down || held->host == SIM_NOBODY ||
           sim->entries[held->host].region == 0;
}

/* Whether orders may go out: the ledger can be written, or the engine itself
 * refuses old orders and so is the arbiter. */
static bool
may_order(const struct sim *sim, const struct sim_upstream *held)
{
    return sim->site->engine.fencing || kv_reachable(sim, held);
}

/* The host's view of the fleet, with the loads that may begin now. */
static struct ch_fleet *
host_fleet(struct sim *sim, const struct sim_upstream *held)
{
    struct sim_entry *host = &sim->entries[held->host];
    unsigned loading = 0;
    for (size_t i = 0; i < host->fleet.count; i++) {
        const GArray *list = host->fleet.upstreams[i].loading;
        for (guint j = 0; list != NULL && j < list->len; j++) {
            const char *name =
                g_quark_to_string(g_array_index(list, struct ch_item, j).name);
            loading += strchr(name, '/') == NULL ? 1 : 0;
        }
    }
    unsigned most = sim->site->loads_parallel;
    double level = ch_token_bucket_level(&host->loads, sim->now);
    unsigned left = loading < most ? most - loading : 0;
    host->fleet.store_loads_left = MIN(left, (unsigned)level);
    return &host->fleet;
}

static void order(struct sim *sim, const struct sim_event *event);

/* Carries out what a home decided. */
static void
act(struct sim *sim, size_t upstream, struct ch_actions *out)
{
    struct sim_upstream *held = &sim->upstreams[upstream];
    const struct ch_site_entry *host = &sim->site->entries[held->host];
    for (guint i = 0; i < out->list->len; i++) {
        const struct ch_action *action =
            &g_array_index(out->list, struct ch_action, i);
        if (action->kind == CH_ACTION_LOAD ||
            action->kind == CH_ACTION_UNLOAD) {
            bool load = action->kind == CH_ACTION_LOAD;
            if (load && strchr(g_quark_to_string(action->item), '/') == NULL) {
                ch_token_bucket_take(&sim->entries[held->host].loads, 1.0,
                                     sim->now);
            }
            int64_t delay = KV_TIME + 2 * sim_delay(sim, host->data_centre, 0);
            sim_schedule(sim, sim->now + delay, order, upstream, action->item,
                         ((uint64_t)action->memory_mb << 1) | (load ? 1 : 0));
            continue;
        }
        const struct sim_request *request =
            sim_request_of(sim, action->request_id);
        int64_t delay = 0;
        if (request != NULL) {
            const struct sim_entry *entry = &sim->entries[request->entry];
            delay =
                sim_delay(sim, host->data_centre, entry->site->data_centre);
        }
        sim_schedule(sim, sim->now + delay, sim_request_answer,
                     action->request_id, action->code,
                     (uint64_t)action->retry_after);
    }
    g_array_unref(out->list);
}

/* An empty list of actions. */
static struct ch_actions
no_actions(void)
{
    return (struct ch_actions){
        .list = g_array_new(FALSE, FALSE, sizeof(struct ch_action))};
}

/* Tells the home of one item's state in the ledger, if that is news. */
static void
tell_item(struct sim *sim, size_t upstream, GQuark item,
          enum ch_item_state state, uint32_t memory_mb)
{
    struct sim_upstream *held = &sim->upstreams[upstream];
    gpointer key = GUINT_TO_POINTER(item);
    guint before = GPOINTER_TO_UINT(g_hash_table_lookup(held->told, key));
    if (before == (guint)state + 1) {
        return;
    }
    g_hash_table_insert(held->told, key, GUINT_TO_POINTER((guint)state + 1));
    struct ch_actions out = no_actions();
    ch_home_set_item(held->home, item, state, memory_mb, sim->now, &out);
    act(sim, upstream, &out);
}

/* Tells the home what the ledger holds now. */
static void
sync_ledger(struct sim *sim, size_t upstream)
{
    static const enum ch_item_state states[] = {
        [CH_LEDGER_RESERVED] = CH_ITEM_LOADING,
        [CH_LEDGER_RESIDENT] = CH_ITEM_RESIDENT,
        [CH_LEDGER_UNLOADING] = CH_ITEM_UNLOADING,
    };
    struct sim_upstream *held = &sim->upstreams[upstream];
    if (held->host == SIM_NOBODY) {
        return;
    }
    GList *known = g_hash_table_get_keys(held->told);
    for (GList *at = known; at != NULL; at = at->next) {
        GQuark item = GPOINTER_TO_UINT(at->data);
        if (ch_ledger_find_entry(held->ledger, g_quark_to_string(item)) ==
            NULL) {
            tell_item(sim, upstream, item, CH_ITEM_ABSENT, 0);
        }
    }
    g_list_free(known);
    for (size_t i = 0; i < held->ledger->entry_count; i++) {
        const struct ch_ledger_entry *entry = &held->ledger->entries[i];
        tell_item(sim, upstream, g_quark_from_string(entry->item),
                  states[entry->state], entry->memory_mb);
    }
}

/* Puts the next version of a ledger in force. */
static void
write_ledger(struct sim_upstream *held, struct ch_ledger *next)
{
    ch_ledger_free(held->ledger);
    held->ledger = next;
}

/* An order reaches the engine.  a: upstream, b: item, c: load or unload. */
static void
order_arrives(struct sim *sim, const struct sim_event *event)
{
    struct sim_upstream *held = &sim->upstreams[event->a];
    const char *item = g_quark_to_string((GQuark)event->b);
    const struct ch_ledger_entry *entry =
        ch_ledger_find_entry(held->ledger, item);
    if (entry == NULL) {
        return;
    }
    char id[40];
    g_strlcpy(id, entry->order_id, sizeof(id));
    if (event->c == 0) {
        sim_engine_unload(sim, (size_t)event->a, (GQuark)event->b, id);
        return;
    }
    bool refused = held->engine.down;
    sim_engine_load(sim, (size_t)event->a, (GQuark)event->b, entry->memory_mb,
                    id);
    struct ch_ledger *next = ch_ledger_copy_next(held->ledger, SENDER);
    ch_ledger_end_send(next, id, SENDER, refused);
    write_ledger(held, next);
    sync_ledger(sim, (size_t)event->a);
}

/* Tells a home that an order will not be done. */
static void
order_fails(struct sim *sim, size_t upstream, GQuark item, bool load,
            enum ch_code code)
{
    struct ch_actions out = no_actions();
    ch_home_handle_failed_order(sim->upstreams[upstream].home, item,
                                load ? CH_ACTION_LOAD : CH_ACTION_UNLOAD, code,
                                sim->now, &out);
    act(sim, upstream, &out);
}

/* The ledger is written for an order, which then goes out.  a: upstream, b:
 * item, c: twice the memory, plus one for a load. */
static void
order(struct sim *sim, const struct sim_event *event)
{
    size_t upstream = (size_t)event->a;
    struct sim_upstream *held = &sim->upstreams[upstream];
    GQuark item = (GQuark)event->b;
    bool load = (event->c & 1) != 0;
    if (held->host == SIM_NOBODY) {
        return;
    }
    if (!may_order(sim, held)) {
        order_fails(sim, upstream, item, load, CH_KV_UNREACHABLE);
        return;
    }
    char id[24];
    g_snprintf(id, sizeof(id), "o-%" G_GUINT64_FORMAT, sim->scheduled);
    struct ch_ledger *next = ch_ledger_copy_next(held->ledger, SENDER);
    const char *name = g_quark_to_string(item);
    bool fine = load ? ch_ledger_reserve(next, name, (uint32_t)(event->c >> 1),
                                         id, SENDER, NULL)
                     : ch_ledger_release(next, name, id, NULL);
    if (!fine) {
        ch_ledger_free(next);
        order_fails(sim, upstream, item, load, CH_KV_CONFLICT);
        return;
    }
    write_ledger(held, next);
    sync_ledger(sim, upstream);
    int64_t delay = sim_delay(sim, sim->site->entries[held->host].data_centre,
                              held->site->data_centre);
    sim_schedule(sim, sim->now + delay, order_arrives, upstream, item,
                 load ? 1 : 0);
}

/* A request asks for leave.  a: the ask. */
void
sim_home_ask(struct sim *sim, const struct sim_event *event)
{
    const struct sim_request *request = sim_request_of(sim, event->a);
    size_t upstream =
        g_array_index(sim->asks, struct sim_ask, event->a).upstream;
    struct sim_upstream *held = &sim->upstreams[upstream];
    if (request == NULL) {
        return;
    }
    if (held->host == SIM_NOBODY) {
        sim_schedule(sim, sim->now, sim_request_answer, event->a, CH_PEER_LOST,
                     0);
        return;
    }
    struct ch_actions out = no_actions();
    ch_home_enqueue(held->home, &request->work, host_fleet(sim, held),
                    sim->now, &out);
    act(sim, upstream, &out);
}

/* A grant comes back.  a: the ask, b: code, c: first byte and time for a
 * token, both in microseconds, 32 bits each. */
void
sim_home_release(struct sim *sim, const struct sim_event *event)
{
    size_t upstream =
        g_array_index(sim->asks, struct sim_ask, event->a).upstream;
    struct sim_upstream *held = &sim->upstreams[upstream];
    if (held->host == SIM_NOBODY) {
        return;
    }
    struct ch_timing_sample sample = {
        .code = (enum ch_code)event->b,
        .first_byte_time = (int64_t)(event->c >> 32),
        .token_time = (int64_t)(event->c & UINT32_MAX),
        .token_count = 2,
    };
    struct ch_actions out = no_actions();
    ch_home_release(held->home, event->a, &sample, sim->now, &out);
    act(sim, upstream, &out);
}

/* The home is told that the node of an ask went away. */
void
sim_home_forget(struct sim *sim, size_t upstream, uint64_t ask)
{
    struct sim_upstream *held = &sim->upstreams[upstream];
    if (held->host == SIM_NOBODY) {
        return;
    }
    struct ch_timing_sample sample = {.code = CH_PEER_LOST};
    struct ch_actions out = no_actions();
    ch_home_withdraw(held->home, ask, sim->now, &out);
    ch_home_release(held->home, ask, &sample, sim->now, &out);
    act(sim, upstream, &out);
}

/* Each home's regular work.  a: upstream. */
void
sim_home_tick(struct sim *sim, const struct sim_event *event)
{
    struct sim_upstream *held = &sim->upstreams[event->a];
    if (held->host != SIM_NOBODY) {
        struct ch_actions out = no_actions();
        ch_home_tick(held->home, host_fleet(sim, held), sim->now, &out);
        act(sim, (size_t)event->a, &out);
    }
    if (sim->open > 0) {
        sim_schedule(sim, sim->now + CH_HOME_TICK_US, sim_home_tick, event->a,
                     0, 0);
    }
}

/* Takes an engine's report into the ledger. */
static void
observe(struct sim *sim, size_t upstream)
{
    struct sim_upstream *held = &sim->upstreams[upstream];
    const struct sim_engine *engine = &held->engine;
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
    g_snprintf(boot, sizeof(boot), "b-%u", engine->boot);
    struct ch_ledger_report evidence = {
        .boot_id = boot,
        .resident_items = (const char *const *)names->pdata,
        .resident_mb = (const uint32_t *)(const void *)sizes->data,
        .resident_count = names->len,
        .done_order_ids = (const char *const *)engine->done->pdata,
        .done_order_count = engine->done->len,
        .requested_after_ends = true,
    };
    struct ch_ledger *next = ch_ledger_copy_next(held->ledger, SENDER);
    if (ch_ledger_apply_report(next, &evidence)) {
        write_ledger(held, next);
        sync_ledger(sim, upstream);
    }
    else {
        ch_ledger_free(next);
    }
    g_ptr_array_unref(names);
    g_array_unref(sizes);
}

/* An engine's report comes in.  a: upstream. */
void
sim_home_report(struct sim *sim, const struct sim_event *event)
{
    struct sim_upstream *held = &sim->upstreams[event->a];
    const struct sim_engine *engine = &held->engine;
    if (held->host != SIM_NOBODY) {
        if (!engine->down && !engine->service && may_order(sim, held)) {
            observe(sim, (size_t)event->a);
        }
        struct ch_actions out = no_actions();
        ch_home_update_engine_state(held->home, engine->running->len,
                                    engine->waiting->len, engine->leaving,
                                    engine->down, sim->now, &out);
        act(sim, (size_t)event->a, &out);
    }
    if (sim->open > 0 && event->b == 0) {
        sim_schedule(sim, sim->now + sim->site->engine.report, sim_home_report,
                     event->a, 0, 0);
    }
}

/* The home falls to another host: its queue is lost with it, its counts
 * begin anew, the ledger stays. */
void
sim_home_move(struct sim *sim, size_t upstream)
{
    struct sim_upstream *held = &sim->upstreams[upstream];
    int host = sim_home_host(sim, upstream);
    if (host == held->host) {
        return;
    }
    sim_home_clear(held);
    sim_home_init(sim, upstream);
    sync_ledger(sim, upstream);
    for (size_t i = 0; i < sim->trace->count; i++) {
        const struct sim_request *request = &sim->requests[i];
        if (request->event != NULL && request->state == SIM_ASKING &&
            request->upstream == (int)upstream) {
            sim_schedule(sim, sim->now, sim_request_answer, request->ask,
                         CH_PEER_LOST, 0);
        }
    }
}

/* Frees the two lists of a view. */
static void
clear_view(struct ch_upstream_view *view)
{
    if (view->resident != NULL) {
        g_array_unref(view->resident);
        g_array_unref(view->loading);
    }
}

/* Gives one view to one entry host, unless the link between them is cut. */
static void
give_view(struct sim *sim, struct sim_entry *entry, size_t upstream,
          const struct ch_upstream_view *view)
{
    struct ch_upstream_view *own = &entry->fleet.upstreams[upstream];
    int host = sim->upstreams[upstream].host;
    bool cut = sim->link_down && sim->entries[host].region != entry->region;
    if (cut) {
        own->down = own->down || sim->now - sim->link_changed > SILENT;
        return;
    }
    clear_view(own);
    *own = *view;
    g_array_ref(own->resident);
    g_array_ref(own->loading);
    own->sent_since_report = entry->asked[upstream];
}

/* All nodes are told the state of all homes. */
void
sim_home_gossip(struct sim *sim, const struct sim_event *event)
{
    for (size_t u = 0; u < sim->site->upstream_count; u++) {
        struct sim_upstream *held = &sim->upstreams[u];
        if (held->host == SIM_NOBODY) {
            continue;
        }
        struct ch_upstream_view view;
        ch_home_get_view(held->home, sim->now, &view);
        view.region = (uint16_t)held->region;
        view.data_centre = (uint16_t)held->site->data_centre;
        for (size_t i = 0; i < sim->site->entry_count; i++) {
            give_view(sim, &sim->entries[i], u, &view);
        }
        clear_view(&view);
    }
    if (sim->open > 0 && event->b == 0) {
        sim_schedule(sim, sim->now + GOSSIP, sim_home_gossip, 0, 0, 0);
    }
}
