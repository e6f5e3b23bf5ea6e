/* Simulates an engine: continuous batching, in which a token takes longer the
 * more requests run; prefill, which takes engine time unless the prefix is
 * cached; and memory.  A plain service is simulated likewise, with a time for
 * each call that doesn't depend on the number of running calls.
 *
 * All running requests generate tokens at the same rate.  A single counter of
 * progress therefore serves for the whole engine, and a request ends when the
 * counter reaches the request's end_progress. */

#include "replay/sim.h"

#include <math.h>
#include <string.h>

/* Tolerance in comparisons of progress: a thousandth of a token. */
static const double PROGRESS_TOLERANCE = 1e-3;

enum {
    /* Completed orders in a report; INTERFACES.md requires at least 64. */
    MAX_REPORTED_ORDERS = 128,
    /* A draining engine accepts new requests for this long. */
    DRAIN_GRACE_US = 3 * G_USEC_PER_SEC,
};

static GArray *
new_jobs(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct sim_job));
}

/* Sets up a running engine with empty memory. */
void
sim_engine_init(struct sim *sim, size_t upstream)
{
    const struct ch_site_upstream *site = &sim->site->upstreams[upstream];
    sim->upstreams[upstream].engine = (struct sim_engine){
        .is_service = site->service != NULL,
        .capacity_mb = site->memory_mb,
        .max_batch = site->max_batch,
        .slowdown = 1.0,
        .running = new_jobs(),
        .waiting = new_jobs(),
        .items = g_array_new(FALSE, TRUE, sizeof(struct sim_item)),
        .prefix_cache = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .completed_orders = g_ptr_array_new_with_free_func(g_free),
        .boot_id = 1,
    };
}

/* Frees the members of an engine, but not the engine itself. */
void
sim_engine_clear(struct sim_engine *engine)
{
    g_array_unref(engine->running);
    g_array_unref(engine->waiting);
    g_array_unref(engine->items);
    g_array_unref(engine->prefix_cache);
    g_ptr_array_unref(engine->completed_orders);
}

/* Returns the microseconds for one unit of progress at the current batch. */
static double
step_time(const struct sim *sim, const struct sim_engine *engine)
{
    if (engine->is_service) {
        return engine->slowdown;
    }
    const struct ch_site_engine *model = &sim->site->engine;
    return ((double)model->token_time +
            (double)model->token_time_per_request * engine->running->len) *
           engine->slowdown;
}

/* Updates the progress to the current time. */
static void
advance(struct sim *sim, struct sim_engine *engine)
{
    if (engine->running->len > 0 && sim->now > engine->progress_at) {
        engine->progress +=
            (double)(sim->now - engine->progress_at) / step_time(sim, engine);
    }
    engine->progress_at = sim->now;
}

/* Returns the progress at which a job's next event is due. */
static double
next_progress(const struct sim_job *job)
{
    return job->first_token_sent ? job->end_progress
                                 : job->first_token_progress;
}

static void step(struct sim *sim, const struct sim_event *event);

/* Schedules the event of the job that is due next, and invalidates step events
 * scheduled earlier. */
static void
schedule_step(struct sim *sim, size_t upstream)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    engine->step_version++;
    double next = INFINITY;
    for (guint i = 0; i < engine->running->len; i++) {
        next = MIN(next, next_progress(&g_array_index(engine->running,
                                                      struct sim_job, i)));
    }
    if (isfinite(next)) {
        double left =
            MAX(next - engine->progress, 0.0) * step_time(sim, engine);
        sim_schedule(sim, sim->now + (int64_t)ceil(left), step, upstream,
                     engine->step_version, 0);
    }
}

/* Returns whether the prefix is cached, and makes it the most recently used
 * prefix, adding it if needed.  A full cache drops the least recently used
 * prefix. */
static bool
touch_prefix(const struct sim *sim, struct sim_engine *engine, uint64_t prefix)
{
    const struct ch_site_engine *model = &sim->site->engine;
    bool found = false;
    for (guint i = 0; !found && i < engine->prefix_cache->len; i++) {
        if (g_array_index(engine->prefix_cache, uint64_t, i) == prefix) {
            g_array_remove_index(engine->prefix_cache, i);
            found = true;
        }
    }
    g_array_append_val(engine->prefix_cache, prefix);
    guint max = model->cache_tokens / MAX(model->prefix_tokens, 1);
    if (engine->prefix_cache->len > max) {
        g_array_remove_index(engine->prefix_cache, 0);
    }
    return found;
}

/* Returns the job of a dispatch, with progress relative to its start. */
static struct sim_job
make_job(struct sim *sim, struct sim_engine *engine, uint64_t dispatch)
{
    const struct sim_request *request = sim_request_find_by_ask(sim, dispatch);
    struct sim_job job = {.dispatch = dispatch, .tokens = 1};
    const struct ch_site_engine *model = &sim->site->engine;
    if (engine->is_service) {
        double factor = 0.5 + sim_random(sim, dispatch, 11);
        job.first_token_progress = factor * (double)model->mean_service_time;
        job.end_progress = job.first_token_progress;
        return job;
    }
    uint32_t prompt = request->work.prompt_tokens;
    uint64_t prefix = request->work.prefix_hash;
    if (prefix != 0 && touch_prefix(sim, engine, prefix)) {
        prompt -= MIN(prompt, model->prefix_tokens);
    }
    /* Prefill is converted to progress: the number of tokens that an engine
     * with a single request generates in the prefill time. */
    double single_token_time =
        (double)(model->token_time + model->token_time_per_request);
    double prefill = (double)prompt / model->prefill_tokens_per_s *
                     G_USEC_PER_SEC / single_token_time;
    job.tokens = request->work.max_output_tokens;
    job.first_token_progress = prefill + 1.0;
    job.end_progress = prefill + MAX(job.tokens, 1);
    return job;
}

/* Starts waiting jobs until the batch is full. */
static void
start_waiting(struct sim_engine *engine)
{
    while (engine->waiting->len > 0 &&
           engine->running->len < engine->max_batch) {
        struct sim_job job = g_array_index(engine->waiting, struct sim_job, 0);
        g_array_remove_index(engine->waiting, 0);
        job.first_token_progress += engine->progress;
        job.end_progress += engine->progress;
        g_array_append_val(engine->running, job);
    }
}

/* Returns the microseconds to send bytes from an upstream to a request's
 * entry node, and accounts for the bytes on the link. */
static int64_t
response_delay(struct sim *sim, size_t upstream, uint64_t dispatch,
               uint64_t bytes)
{
    const struct sim_request *request = sim_request_find_by_ask(sim, dispatch);
    const struct sim_upstream *from = &sim->upstreams[upstream];
    const struct sim_entry *entry = &sim->entries[request->entry];
    return sim_get_delay(sim, from->site->data_centre,
                         entry->site->data_centre) +
           sim_link_send(sim, from->region, entry->region, bytes);
}

/* Notifies the entry node of a job's first token or of its end. */
static void
notify_entry(struct sim *sim, size_t upstream, const struct sim_job *job,
             bool end)
{
    if (sim_request_find_by_ask(sim, job->dispatch) == NULL) {
        return;
    }
    uint64_t token_bytes = sim->site->engine.token_bytes;
    uint64_t bytes = end ? token_bytes * job->tokens : token_bytes;
    int64_t delay = response_delay(sim, upstream, job->dispatch, bytes);
    sim_schedule(sim, sim->now + delay,
                 end ? sim_request_handle_completion
                     : sim_request_handle_first_byte,
                 job->dispatch, job->tokens, 0);
}

/* Handles the jobs that are due.  a: upstream, b: step version. */
static void
step(struct sim *sim, const struct sim_event *event)
{
    size_t upstream = (size_t)event->a;
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    if (event->b != engine->step_version) {
        return;
    }
    advance(sim, engine);
    for (guint i = 0; i < engine->running->len;) {
        struct sim_job *job =
            &g_array_index(engine->running, struct sim_job, i);
        if (!job->first_token_sent &&
            job->first_token_progress <=
                engine->progress + PROGRESS_TOLERANCE) {
            job->first_token_sent = true;
            notify_entry(sim, upstream, job, false);
        }
        if (job->first_token_sent &&
            job->end_progress <= engine->progress + PROGRESS_TOLERANCE) {
            notify_entry(sim, upstream, job, true);
            g_array_remove_index(engine->running, i);
            continue;
        }
        i++;
    }
    start_waiting(engine);
    schedule_step(sim, upstream);
}

/* Fails a dispatch.  may_have_run: the engine may have run the request. */
static void
fail_dispatch(struct sim *sim, size_t upstream, uint64_t dispatch,
              enum ch_code code, bool may_have_run)
{
    if (sim_request_find_by_ask(sim, dispatch) == NULL) {
        return;
    }
    int64_t delay = response_delay(sim, upstream, dispatch, 0);
    sim_schedule(sim, sim->now + delay, sim_request_handle_failure, dispatch,
                 code, may_have_run ? 1 : 0);
}

/* Accepts a request that reached the upstream, or fails it: the engine is
 * down, has drained, or lacks the model or adapter. */
void
sim_engine_accept(struct sim *sim, size_t upstream, uint64_t dispatch)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    const struct sim_request *request = sim_request_find_by_ask(sim, dispatch);
    if (engine->down) {
        fail_dispatch(sim, upstream, dispatch, CH_UPSTREAM_CONNECT, false);
        return;
    }
    bool drained =
        engine->draining && sim->now - engine->draining_since > DRAIN_GRACE_US;
    bool absent = !engine->is_service &&
                  (!sim_engine_has_item(engine, request->work.model) ||
                   (request->work.adapter != 0 &&
                    !sim_engine_has_item(engine, request->work.adapter)));
    if (drained || absent) {
        fail_dispatch(sim, upstream, dispatch, CH_UPSTREAM_REFUSED, false);
        return;
    }
    advance(sim, engine);
    struct sim_job job = make_job(sim, engine, dispatch);
    g_array_append_val(engine->waiting, job);
    start_waiting(engine);
    schedule_step(sim, upstream);
}

/* Drops the job of a dispatch whose entry node closed the connection. */
void
sim_engine_cancel(struct sim *sim, size_t upstream, uint64_t dispatch)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    GArray *lists[] = {engine->running, engine->waiting};
    advance(sim, engine);
    for (size_t k = 0; k < G_N_ELEMENTS(lists); k++) {
        for (guint i = lists[k]->len; i-- > 0;) {
            if (g_array_index(lists[k], struct sim_job, i).dispatch ==
                dispatch) {
                g_array_remove_index(lists[k], i);
            }
        }
    }
    start_waiting(engine);
    schedule_step(sim, upstream);
}

/* Returns the number of tokens that a job has generated so far. */
static uint32_t
tokens_out(const struct sim_engine *engine, const struct sim_job *job)
{
    if (!job->first_token_sent) {
        return 0;
    }
    double out = engine->progress - job->first_token_progress + 1.0;
    return (uint32_t)CLAMP(out, 1.0, (double)job->tokens);
}

/* Crashes an engine: running requests are interrupted, the memory is lost and
 * the boot ID changes. */
void
sim_engine_crash(struct sim *sim, size_t upstream)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    advance(sim, engine);
    for (guint i = 0; i < engine->running->len; i++) {
        const struct sim_job *job =
            &g_array_index(engine->running, struct sim_job, i);
        struct sim_request *request =
            sim_request_find_by_ask(sim, job->dispatch);
        if (request != NULL) {
            request->tokens_delivered += tokens_out(engine, job);
        }
        fail_dispatch(sim, upstream, job->dispatch, CH_UPSTREAM_CUT, true);
    }
    for (guint i = 0; i < engine->waiting->len; i++) {
        const struct sim_job *job =
            &g_array_index(engine->waiting, struct sim_job, i);
        fail_dispatch(sim, upstream, job->dispatch, CH_UPSTREAM_CUT, true);
    }
    g_array_set_size(engine->running, 0);
    g_array_set_size(engine->waiting, 0);
    g_array_set_size(engine->items, 0);
    g_array_set_size(engine->prefix_cache, 0);
    g_ptr_array_set_size(engine->completed_orders, 0);
    engine->boot_id++;
    engine->step_version++;
    engine->down = true;
}

/* Sets the factor by which an engine's tokens take longer (1: none). */
void
sim_engine_set_slowdown(struct sim *sim, size_t upstream, double slow)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    advance(sim, engine);
    engine->slowdown = slow;
    schedule_step(sim, upstream);
}

/* Returns the index of an item in memory, loading or loaded; -1: absent. */
static int
find_item(const struct sim_engine *engine, GQuark item)
{
    for (guint i = 0; i < engine->items->len; i++) {
        if (g_array_index(engine->items, struct sim_item, i).name == item) {
            return (int)i;
        }
    }
    return -1;
}

/* Returns whether an item is loaded. */
bool
sim_engine_has_item(const struct sim_engine *engine, GQuark item)
{
    int index = find_item(engine, item);
    return index >= 0 &&
           !g_array_index(engine->items, struct sim_item, (guint)index)
                .loading;
}

/* Records an order as completed; drops the oldest order beyond the limit. */
static void
record_completed(struct sim_engine *engine, const char *order)
{
    g_ptr_array_add(engine->completed_orders, g_strdup(order));
    if (engine->completed_orders->len > MAX_REPORTED_ORDERS) {
        g_ptr_array_remove_index(engine->completed_orders, 0);
    }
}

/* Handles an order to load.  The memory is taken at once; more than the
 * capacity counts as an overcommit, which must never occur. */
void
sim_engine_load(struct sim *sim, size_t upstream, GQuark item,
                uint32_t memory_mb, const char *order)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    if (engine->down || find_item(engine, item) >= 0) {
        return;
    }
    struct sim_item new_item = {
        .name = item, .memory_mb = memory_mb, .loading = true};
    g_strlcpy(new_item.order, order, sizeof(new_item.order));
    g_array_append_val(engine->items, new_item);
    uint64_t used = 0;
    for (guint i = 0; i < engine->items->len; i++) {
        used += g_array_index(engine->items, struct sim_item, i).memory_mb;
    }
    if (used > engine->capacity_mb) {
        sim->result->overcommit_events++;
    }
    if (strchr(g_quark_to_string(item), '/') == NULL) {
        sim->result->model_loads++;
        sim_store_load(sim, upstream, item, memory_mb);
    }
    else {
        sim->result->adapter_loads++;
        sim_store_load_adapter(sim, upstream, item);
    }
}

/* Finishes a load, unless the engine restarted or dropped the item. */
void
sim_engine_finish_load(struct sim *sim, size_t upstream, GQuark item,
                       unsigned boot)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    int index = find_item(engine, item);
    if (engine->boot_id != boot || index < 0) {
        return;
    }
    struct sim_item *held =
        &g_array_index(engine->items, struct sim_item, (guint)index);
    held->loading = false;
    record_completed(engine, held->order);
}

/* Handles an order to unload; an absent item counts as unloaded. */
void
sim_engine_unload(struct sim *sim, size_t upstream, GQuark item,
                  const char *order)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    if (engine->down) {
        return;
    }
    int index = find_item(engine, item);
    if (index >= 0) {
        g_array_remove_index(engine->items, (guint)index);
        if (strchr(g_quark_to_string(item), '/') == NULL) {
            sim->result->model_unloads++;
        }
    }
    record_completed(engine, order);
}
