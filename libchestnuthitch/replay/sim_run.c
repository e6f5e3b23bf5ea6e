/* A simulated run: virtual time, the events of the trace and the initial
 * placement of models. */

#include "decide/home.h"
#include "replay/sim.h"

#include <string.h>

enum {
    /* Requests not finished this long after the trace's last event count as
     * failed.  Any response in the traces takes less, even on the slowest
     * engine. */
    FINISH_TIMEOUT_US = 120ll * G_USEC_PER_SEC,
    /* Time after which nodes notice that a host started or stopped. */
    NOTICE_DELAY_US = G_USEC_PER_SEC,
};

static bool
is_before(const struct sim_event *a, const struct sim_event *b)
{
    return a->at < b->at || (a->at == b->at && a->sequence < b->sequence);
}

/* Adds an event to the heap; a time in the past becomes the current time. */
void
sim_schedule(struct sim *sim, int64_t at,
             void (*handle)(struct sim *sim, const struct sim_event *event),
             uint64_t a, uint64_t b, uint64_t c)
{
    struct sim_event event = {
        .at = MAX(at, sim->now),
        .sequence = sim->next_sequence++,
        .handle = handle,
        .a = a,
        .b = b,
        .c = c,
    };
    g_array_append_val(sim->heap, event);
    struct sim_event *heap = (struct sim_event *)(void *)sim->heap->data;
    guint index = sim->heap->len - 1;
    while (index > 0 && is_before(&event, &heap[(index - 1) / 2])) {
        heap[index] = heap[(index - 1) / 2];
        index = (index - 1) / 2;
    }
    heap[index] = event;
}

/* Removes the next event from the heap, which must not be empty. */
static struct sim_event
take_next(struct sim *sim)
{
    struct sim_event *heap = (struct sim_event *)(void *)sim->heap->data;
    struct sim_event next = heap[0];
    guint count = sim->heap->len - 1;
    struct sim_event last = heap[count];
    guint index = 0;
    for (;;) {
        guint child = 2 * index + 1;
        if (child + 1 < count && is_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (child >= count || !is_before(&heap[child], &last)) {
            break;
        }
        heap[index] = heap[child];
        index = child;
    }
    heap[index] = last;
    g_array_set_size(sim->heap, count);
    return next;
}

/* Returns a number from 0 to 1 that depends only on seed, key and salt. */
double
sim_random(const struct sim *sim, uint64_t key, uint64_t salt)
{
    uint64_t bits = ch_hash_pair(ch_hash_pair(sim->seed, salt), key);
    return (double)(bits >> 11) / (double)(1ull << 53);
}

/* Returns the memory of a model with all its adapters, in megabytes. */
static uint32_t
model_mb(const struct ch_model *model)
{
    return model->memory_mb +
           (uint32_t)model->adapter_count * model->adapter_memory_mb;
}

/* Adds a model and its adapters to an engine's memory, already loaded. */
static void
add_model(struct sim *sim, size_t upstream, const struct ch_model *model)
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

/* Returns the engine with the most free memory among those that lack the model
 * and can hold it; -1: none. */
static int
find_freest_engine(const struct sim *sim, const uint32_t *free_mb,
                   const struct ch_model *model)
{
    int best = -1;
    GQuark name = g_quark_from_string(model->name);
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        if (sim->upstreams[i].engine.is_service ||
            free_mb[i] < model_mb(model) ||
            sim_engine_has_item(&sim->upstreams[i].engine, name)) {
            continue;
        }
        if (best < 0 || free_mb[i] > free_mb[best]) {
            best = (int)i;
        }
    }
    return best;
}

/* Sets the initial placement, which is the same for all policies.  The largest
 * models come first, each on the engine with the most free memory; a second
 * round adds second replicas where they fit.  A model that fits on no engine
 * is absent. */
static void
place_initial(struct sim *sim)
{
    const struct ch_declaration *declaration = sim->declaration;
    uint32_t *free_mb = g_new0(uint32_t, sim->site->upstream_count);
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        free_mb[i] = sim->upstreams[i].engine.capacity_mb;
    }
    for (int pass = 0; pass < 2; pass++) {
        uint8_t *placed = g_new0(uint8_t, declaration->model_count);
        for (size_t step = 0; step < declaration->model_count; step++) {
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
            int engine = find_freest_engine(sim, free_mb, model);
            if (engine >= 0) {
                add_model(sim, (size_t)engine, model);
                free_mb[engine] -= model_mb(model);
            }
        }
        g_free(placed);
    }
    g_free(free_mb);
}

/* Starts an engine.  Under a fixed placement its memory has the models of the
 * initial placement, as an operator would configure it. */
static void
start_engine(struct sim *sim, size_t upstream)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    engine->down = false;
    engine->draining = false;
    engine->progress_at = sim->now;
    if (sim->policy->placement->fixed && !engine->is_service) {
        const GArray *first = sim->initial_items[upstream];
        g_array_set_size(engine->items, 0);
        g_array_append_vals(engine->items, first->data, first->len);
    }
}

/* Nodes notice that hosts started or stopped: assigns home nodes anew. */
static void
assign_homes(struct sim *sim, const struct sim_event *event)
{
    (void)event;
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        sim_home_assign(sim, i);
    }
}

/* Stops an entry node.  Its upstreams have no home node until other nodes
 * notice. */
static void
stop_entry(struct sim *sim, size_t entry)
{
    if (!sim->entries[entry].up) {
        return;
    }
    sim_entry_stop(sim, entry);
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        if (sim->upstreams[i].host == (int)entry) {
            sim->upstreams[i].host = SIM_NO_HOST;
        }
    }
    sim_schedule(sim, sim->now + NOTICE_DELAY_US, assign_homes, 0, 0, 0);
}

/* Interrupts or restores the link between regions. */
static void
set_link(struct sim *sim, bool down)
{
    if (sim->link_down != down) {
        sim->link_down = down;
        sim->link_changed_at = sim->now;
        if (down) {
            sim_link_interrupt(sim);
        }
    }
}

/* Drains an engine: its reports say so, and running requests finish. */
static void
drain_engine(struct sim *sim, size_t upstream)
{
    sim->upstreams[upstream].engine.draining = true;
    sim->upstreams[upstream].engine.draining_since = sim->now;
}

/* Runs an event of the trace and schedules the next.  a: index in the trace.
 */
static void
run_trace_event(struct sim *sim, const struct sim_event *event)
{
    const struct ch_trace_event *from = &sim->trace->events[event->a];
    switch (from->kind) {
    case CH_TRACE_REQUEST:
        sim_request_arrive(sim, event);
        break;
    case CH_TRACE_SLOW:
        sim_engine_set_slowdown(sim, from->target, from->value);
        break;
    case CH_TRACE_DOWN:
        sim_engine_crash(sim, from->target);
        break;
    case CH_TRACE_UP:
        start_engine(sim, from->target);
        break;
    case CH_TRACE_DRAIN:
        drain_engine(sim, from->target);
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
        stop_entry(sim, from->target);
        break;
    case CH_TRACE_ENTRY_UP:
        sim->entries[from->target].up = true;
        sim_schedule(sim, sim->now + NOTICE_DELAY_US, assign_homes, 0, 0, 0);
        break;
    }
    if (event->a + 1 < sim->trace->count) {
        const struct ch_trace_event *next = from + 1;
        int64_t delay = 0;
        if (next->kind == CH_TRACE_REQUEST) {
            delay = sim->max_client_delay;
        }
        sim_schedule(sim, next->at + delay, run_trace_event, event->a + 1, 0,
                     0);
    }
}

/* Allocates a run at time 0. */
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
    sim->initial_items = g_new0(GArray *, site->upstream_count);
    sim->store.loads = g_array_new(FALSE, FALSE, sizeof(struct sim_load));
    sim->link_free_at = g_new0(int64_t, site->region_count);
    sim->requests = g_new0(struct sim_request, MAX(trace->count, 1));
    sim->asks = g_array_new(FALSE, FALSE, sizeof(struct sim_ask));
    sim->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->key_dispatch_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sim->tenants =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    sim->model_requested = g_new0(uint8_t, MAX(declaration->model_count, 1));
    sim->model_served = g_new0(uint8_t, MAX(declaration->model_count, 1));
    sim->result = ch_result_new(declaration);
    sim->result->accelerators = ch_site_count_accelerators(site);
    for (size_t i = 0; i < trace->count; i++) {
        sim->open_requests +=
            trace->events[i].kind == CH_TRACE_REQUEST ? 1 : 0;
    }
    for (size_t i = 0; i < site->region_count; i++) {
        sim->max_client_delay =
            MAX(sim->max_client_delay, site->regions[i].client_delay);
    }
    return sim;
}

/* Sets up the entry nodes, the upstreams and the initial placement. */
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
    place_initial(sim);
    for (size_t i = 0; i < site->upstream_count; i++) {
        const GArray *items = sim->upstreams[i].engine.items;
        sim->initial_items[i] =
            g_array_new(FALSE, FALSE, sizeof(struct sim_item));
        g_array_append_vals(sim->initial_items[i], items->data, items->len);
        struct sim_event event = {.a = i};
        sim_home_handle_report(sim, &event);
        /* A different phase for each upstream, so that their reports and
         * ticks don't coincide. */
        int64_t phase = (int64_t)i * 997;
        sim_schedule(sim, phase + CH_HOME_TICK_US, sim_home_tick, i, 0, 0);
    }
    struct sim_event event = {0};
    sim_home_gossip(sim, &event);
}

/* Completes the result: unfinished requests count as failed; counts models
 * that were requested but never served, and finds the lowest attainment of a
 * caller. */
static void
complete_result(struct sim *sim)
{
    struct ch_result *result = sim->result;
    result->failed += sim->open_requests;
    for (size_t i = 0; i < sim->declaration->model_count; i++) {
        if (sim->model_requested[i] != 0 && sim->model_served[i] == 0) {
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

/* Frees a run, but not its result. */
static void
sim_free(struct sim *sim)
{
    for (size_t i = 0; i < sim->site->upstream_count; i++) {
        sim_home_clear(&sim->upstreams[i]);
        sim_engine_clear(&sim->upstreams[i].engine);
        ch_ledger_free(sim->upstreams[i].ledger);
        g_array_unref(sim->initial_items[i]);
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
    g_hash_table_unref(sim->key_dispatch_counts);
    g_hash_table_unref(sim->tenants);
    g_free(sim->upstreams);
    g_free(sim->entries);
    g_free(sim->initial_items);
    g_free(sim->link_free_at);
    g_free(sim->requests);
    g_free(sim->model_requested);
    g_free(sim->model_served);
    g_free(sim);
}

/* Runs a trace.  The caller frees the result, which depends only on the
 * arguments. */
struct ch_result *
ch_replay_run(const struct ch_site *site,
              const struct ch_declaration *declaration,
              const struct ch_trace *trace, const struct ch_policy *policy,
              uint64_t seed)
{
    struct sim *sim = sim_new(site, declaration, trace, policy, seed);
    set_up(sim);
    if (trace->count > 0) {
        sim->end_at = trace->events[trace->count - 1].at + FINISH_TIMEOUT_US;
        sim_schedule(sim, trace->events[0].at + sim->max_client_delay,
                     run_trace_event, 0, 0, 0);
    }
    while (sim->heap->len > 0 && sim->open_requests > 0) {
        struct sim_event event = take_next(sim);
        if (event.at > sim->end_at) {
            break;
        }
        sim->now = event.at;
        event.handle(sim, &event);
    }
    complete_result(sim);
    struct ch_result *result = sim->result;
    result->bound = ch_bound_compute_attainment(site, declaration, trace);
    sim_free(sim);
    return result;
}
