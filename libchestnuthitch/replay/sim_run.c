/* A run: virtual time, the trace's events, and where models stand at first. */

#include "decide/home.h"
#include "replay/sim.h"

#include <string.h>

enum {
    /* What has not come to an end so long after the trace has is counted as
     * failed: longer than any answer of the traces on the slowest engine. */
    PATIENCE = 120ll * G_USEC_PER_SEC,
    /* Nodes notice a host that came or went after this. */
    NOTICE = G_USEC_PER_SEC,
};

/* Whether one event comes before another. */
static bool
is_before(const struct sim_event *a, const struct sim_event *b)
{
    return a->at < b->at || (a->at == b->at && a->order < b->order);
}

/* Puts an event into the heap of what is to happen. */
void
sim_schedule(struct sim *sim, int64_t at,
             void (*handle)(struct sim *sim, const struct sim_event *event),
             uint64_t a, uint64_t b, uint64_t c)
{
    struct sim_event event = {
        .at = MAX(at, sim->now),
        .order = sim->scheduled++,
        .handle = handle,
        .a = a,
        .b = b,
        .c = c,
    };
    g_array_append_val(sim->heap, event);
    struct sim_event *heap = (struct sim_event *)(void *)sim->heap->data;
    guint place = sim->heap->len - 1;
    while (place > 0 && is_before(&event, &heap[(place - 1) / 2])) {
        heap[place] = heap[(place - 1) / 2];
        place = (place - 1) / 2;
    }
    heap[place] = event;
}

/* Takes the next event out of the heap, which must not be empty. */
static struct sim_event
take_next(struct sim *sim)
{
    struct sim_event *heap = (struct sim_event *)(void *)sim->heap->data;
    struct sim_event next = heap[0];
    guint count = sim->heap->len - 1;
    struct sim_event last = heap[count];
    guint place = 0;
    for (;;) {
        guint child = 2 * place + 1;
        if (child + 1 < count && is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (child >= count || !is_before(&heap[child], &last)) {
            break;
        }
        heap[place] = heap[child];
        place = child;
    }
    heap[place] = last;
    g_array_set_size(sim->heap, count);
    return next;
}

/* A number from 0 to 1 that depends on the seed and the key alone. */
double
sim_random(const struct sim *sim, uint64_t key, uint64_t salt)
{
    uint64_t bits = ch_hash_pair(ch_hash_pair(sim->seed, salt), key);
    return (double)(bits >> 11) / (double)(1ull << 53);
}

/* A model with its adapters, in megabytes. */
static uint32_t
model_mb(const struct ch_model *model)
{
    return model->memory_mb +
           (uint32_t)model->adapter_count * model->adapter_memory_mb;
}

/* Puts a model and its adapters into an engine's memory as if they had been
 * there for long. */
static void
put(struct sim *sim, size_t upstream, const struct ch_model *model)
{
    GArray *items = sim->upstreams[upstream].engine.items;
    struct sim_item item = {.name = g_quark_from_string(model->name),
                            .memory_mb = model->memory_mb};
    g_array_append_val(items, item);
    for (size_t i = 0; i < model->adapter_count; i++) {
        char *name = g_strdup_printf("%s/%s", model->name, model->adapters[i]);
        item = (struct sim_item){.name = g_quark_from_string(name),
                                 .memory_mb = model->adapter_memory_mb};
        g_array_append_val(items, item);
        g_free(name);
    }
}

/* The engine with the most room that lacks the model; -1: it fits nowhere. */
static int
roomiest(const struct sim *sim, const uint32_t *room,
         const struct ch_model *model)
{
    int best = -1;
    GQuark name = g_quark_from_string(model->name);
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        if (sim->upstreams[i].engine.service || room[i] < model_mb(model) ||
            sim_engine_has(&sim->upstreams[i].engine, name)) {
            continue;
        }
        if (best < 0 || room[i] > room[best]) {
            best = (int)i;
        }
    }
    return best;
}

/* Where all policies start: the largest models first, each to the roomiest
 * engine, then second replicas while anything fits.  What fits nowhere is
 * absent at first. */
static void
place_first(struct sim *sim)
{
    const struct ch_declaration *declaration = sim->declaration;
    uint32_t *room = g_new0(uint32_t, sim->site->upstream_count);
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        room[i] = sim->upstreams[i].engine.capacity_mb;
    }
    for (int round = 0; round < 2; round++) {
        uint8_t *placed = g_new0(uint8_t, declaration->model_count);
        for (size_t turn = 0; turn < declaration->model_count; turn++) {
            int largest = -1;
            for (size_t i = 0; i < declaration->model_count; i++) {
                if (placed[i] == 0 &&
                    (largest < 0 ||
                     model_mb(&declaration->models[i]) >
                         model_mb(&declaration->models[largest]))) {
                    largest = (int)i;
                }
            }
            placed[largest] = 1;
            const struct ch_model *model = &declaration->models[largest];
            int at = roomiest(sim, room, model);
            if (at >= 0) {
                put(sim, (size_t)at, model);
                room[at] -= model_mb(model);
            }
        }
        g_free(placed);
    }
    g_free(room);
}

/* An engine starts anew.  Under a fixed placement it comes up with what it
 * was given at first, as its operators would have it. */
static void
start_engine(struct sim *sim, size_t upstream)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    engine->down = false;
    engine->leaving = false;
    engine->at = sim->now;
    if (sim->policy->placement->fixed && !engine->service) {
        const GArray *first = sim->first_items[upstream];
        g_array_set_size(engine->items, 0);
        g_array_append_vals(engine->items, first->data, first->len);
    }
}

/* Nodes notice that hosts came or went: homes fall to others. */
static void
move_homes(struct sim *sim, const struct sim_event *event)
{
    (void)event;
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        sim_home_move(sim, i);
    }
}

/* An entry host goes; its homes are nobody's until that is noticed. */
static void
entry_goes(struct sim *sim, size_t entry)
{
    if (!sim->entries[entry].up) {
        return;
    }
    sim_entry_down(sim, entry);
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        if (sim->upstreams[i].host == (int)entry) {
            sim->upstreams[i].host = SIM_NOBODY;
        }
    }
    sim_schedule(sim, sim->now + NOTICE, move_homes, 0, 0, 0);
}

/* The link between regions is cut or mended. */
static void
set_link(struct sim *sim, bool down)
{
    if (sim->link_down != down) {
        sim->link_down = down;
        sim->link_changed = sim->now;
        if (down) {
            sim_link_cut(sim);
        }
    }
}

/* An engine leaves: it says so in its reports, and ends what runs. */
static void
leave(struct sim *sim, size_t upstream)
{
    sim->upstreams[upstream].engine.leaving = true;
    sim->upstreams[upstream].engine.left_at = sim->now;
}

/* The trace's next event.  a: its place. */
static void
trace_event(struct sim *sim, const struct sim_event *event)
{
    const struct ch_trace_event *from = &sim->trace->events[event->a];
    switch (from->kind) {
    case CH_TRACE_REQUEST:
        sim_request_arrive(sim, event);
        break;
    case CH_TRACE_SLOW:
        sim_engine_set_slow(sim, from->target, from->value);
        break;
    case CH_TRACE_DOWN:
        sim_engine_fail(sim, from->target);
        break;
    case CH_TRACE_UP:
        start_engine(sim, from->target);
        break;
    case CH_TRACE_LEAVE:
        leave(sim, from->target);
        break;
    case CH_TRACE_KV_DOWN:
    case CH_TRACE_KV_UP:
        sim->kv_down = from->kind == CH_TRACE_KV_DOWN;
        break;
    case CH_TRACE_LINK_DOWN:
    case CH_TRACE_LINK_UP:
        set_link(sim, from->kind == CH_TRACE_LINK_DOWN);
        break;
    case CH_TRACE_ENTRY_DOWN:
        entry_goes(sim, from->target);
        break;
    case CH_TRACE_ENTRY_UP:
        sim->entries[from->target].up = true;
        sim_schedule(sim, sim->now + NOTICE, move_homes, 0, 0, 0);
        break;
    }
    if (event->a + 1 < sim->trace->count) {
        const struct ch_trace_event *next = from + 1;
        int64_t delay = 0;
        if (next->kind == CH_TRACE_REQUEST) {
            delay = sim->client_delay;
        }
        sim_schedule(sim, next->at + delay, trace_event, event->a + 1, 0, 0);
    }
}

/* Makes everything that a run needs, at the time 0. */
static struct sim *
sim_new(const struct ch_site *site, const struct ch_declaration *declaration,
        const struct ch_trace *trace, const struct ch_policy *policy,
        uint64_t seed)
{
    struct sim *sim = g_new0(struct sim, 1);
    sim->site = site;
    sim->declaration = declaration;
    sim->trace = trace;
    sim->policy = policy;
    sim->seed = seed;
    sim->heap = g_array_new(FALSE, FALSE, sizeof(struct sim_event));
    sim->upstreams = g_new0(struct sim_upstream, site->upstream_count);
    sim->entries = g_new0(struct sim_entry, site->entry_count);
    sim->first_items = g_new0(GArray *, site->upstream_count);
    sim->store.loads = g_array_new(FALSE, FALSE, sizeof(struct sim_load));
    sim->link_free = g_new0(int64_t, site->region_count);
    sim->requests = g_new0(struct sim_request, MAX(trace->count, 1));
    sim->asks = g_array_new(FALSE, FALSE, sizeof(struct sim_ask));
    sim->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->key_runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->tenants =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    sim->model_asked = g_new0(uint8_t, MAX(declaration->model_count, 1));
    sim->model_run = g_new0(uint8_t, MAX(declaration->model_count, 1));
    sim->result = ch_result_new(declaration);
    sim->result->accelerators = ch_site_accelerators(site);
    for (size_t i = 0; i < trace->count; i++) {
        sim->open += trace->events[i].kind == CH_TRACE_REQUEST ? 1 : 0;
    }
    for (size_t i = 0; i < site->region_count; i++) {
        sim->client_delay =
            MAX(sim->client_delay, site->regions[i].client_delay);
    }
    return sim;
}

/* Sets upstreams and entry hosts up, with all models where they start. */
static void
set_up(struct sim *sim)
{
    const struct ch_site *site = sim->site;
    for (size_t i = 0; i < site->entry_count; i++) {
        sim_entry_init(sim, i);
    }
    for (size_t i = 0; i < site->upstream_count; i++) {
        struct sim_upstream *held = &sim->upstreams[i];
        held->site = &site->upstreams[i];
        held->name = g_quark_from_string(held->site->name);
        held->region = site->data_centres[held->site->data_centre].region;
        sim_engine_init(sim, i);
        sim_home_init(sim, i);
    }
    place_first(sim);
    for (size_t i = 0; i < site->upstream_count; i++) {
        const GArray *items = sim->upstreams[i].engine.items;
        sim->first_items[i] =
            g_array_new(FALSE, FALSE, sizeof(struct sim_item));
        g_array_append_vals(sim->first_items[i], items->data, items->len);
        struct sim_event event = {.a = i};
        sim_home_report(sim, &event);
        /* Reports and ticks of different homes do not fall together. */
        int64_t phase = (int64_t)i * 997;
        sim_schedule(sim, phase + CH_HOME_TICK_US, sim_home_tick, i, 0, 0);
    }
    struct sim_event event = {0};
    sim_home_gossip(sim, &event);
}

/* Counts what the run left open, and what no policy's counts show. */
static void
sum_up(struct sim *sim)
{
    struct ch_result *result = sim->result;
    result->failed += sim->open;
    for (size_t i = 0; i < sim->declaration->model_count; i++) {
        if (sim->model_asked[i] != 0 && sim->model_run[i] == 0) {
            result->unreachable_models++;
        }
    }
    result->worst_tenant = 1.0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->tenants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct sim_tenant *tenant = value;
        double share = (double)tenant->met / (double)tenant->requests;
        result->worst_tenant = MIN(result->worst_tenant, share);
    }
}

/* Frees all but the result. */
static void
sim_free(struct sim *sim)
{
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        sim_home_clear(&sim->upstreams[i]);
        sim_engine_clear(&sim->upstreams[i].engine);
        ch_ledger_free(sim->upstreams[i].ledger);
        g_array_unref(sim->first_items[i]);
    }
    for (size_t i = 0; i < sim->site->entry_count; i++) {
        sim_entry_clear(sim, &sim->entries[i]);
    }
    for (size_t i = 0; i < sim->trace->count; i++) {
        if (sim->requests[i].excluded != NULL) {
            g_array_unref(sim->requests[i].excluded);
        }
    }
    g_array_unref(sim->heap);
    g_array_unref(sim->store.loads);
    g_array_unref(sim->asks);
    g_hash_table_unref(sim->keys);
    g_hash_table_unref(sim->key_runs);
    g_hash_table_unref(sim->tenants);
    g_free(sim->upstreams);
    g_free(sim->entries);
    g_free(sim->first_items);
    g_free(sim->link_free);
    g_free(sim->requests);
    g_free(sim->model_asked);
    g_free(sim->model_run);
    g_free(sim);
}

/* Runs a trace; the result is the caller's to free.  It depends on the
 * arguments alone. */
struct ch_result *
ch_replay_run(const struct ch_site *site,
              const struct ch_declaration *declaration,
              const struct ch_trace *trace, const struct ch_policy *policy,
              uint64_t seed)
{
    struct sim *sim = sim_new(site, declaration, trace, policy, seed);
    set_up(sim);
    if (trace->count > 0) {
        sim->end = trace->events[trace->count - 1].at + PATIENCE;
        sim_schedule(sim, trace->events[0].at + sim->client_delay, trace_event,
                     0, 0, 0);
    }
    while (sim->heap->len > 0 && sim->open > 0) {
        struct sim_event event = take_next(sim);
        if (event.at > sim->end) {
            break;
        }
        sim->now = event.at;
        event.handle(sim, &event);
    }
    sum_up(sim);
    struct ch_result *result = sim->result;
    result->bound = ch_bound_attainment(site, declaration, trace);
    sim_free(sim);
    return result;
}
