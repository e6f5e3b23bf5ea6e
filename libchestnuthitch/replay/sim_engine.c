/* The model of an engine: continuous batching in which a token takes longer
 * the more requests run, prefill that costs progress unless the prefix is
 * cached, and memory.  A plain service is the same with a fixed time a call.
 *
 * All that run make tokens at the same pace, so one number tells how far the
 * engine is, and a request ends when that number passes its threshold. */

#include "replay/sim.h"

#include <math.h>
#include <string.h>

/* Progress is compared with this tolerance: a thousandth of a token. */
static const double CLOSE = 1e-3;

enum {
    /* Ids that a report carries; INTERFACES.md asks for 64. */
    ORDERS_TOLD = 128,
    /* After this an engine that leaves takes nothing new. */
    LEAVE_GRACE = 3 * G_USEC_PER_SEC,
};

/* Empties an array of jobs. */
static GArray *
new_jobs(void)
{
    return g_array_new(FALSE, FALSE, sizeof(struct sim_job));
}

/* An engine that runs, with empty memory. */
void
sim_engine_init(struct sim *sim, size_t upstream)
{
    const struct ch_site_upstream *site = &sim->site->upstreams[upstream];
    sim->upstreams[upstream].engine = (struct sim_engine){
        .service = site->service != NULL,
        .capacity_mb = site->memory_mb,
        .batch = site->batch,
        .slow = 1.0,
        .running = new_jobs(),
        .waiting = new_jobs(),
        .items = g_array_new(FALSE, TRUE, sizeof(struct sim_item)),
        .cache = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .done = g_ptr_array_new_with_free_func(g_free),
        .boot = 1,
    };
}

/* Frees what an engine holds. */
void
sim_engine_clear(struct sim_engine *engine)
{
    g_array_unref(engine->running);
    g_array_unref(engine->waiting);
    g_array_unref(engine->items);
    g_array_unref(engine->cache);
    g_ptr_array_unref(engine->done);
}

/* Microseconds for one unit of progress at the present batch. */
static double
pace(const struct sim *sim, const struct sim_engine *engine)
{
    if (engine->service) {
        return engine->slow;
    }
    const struct ch_site_engine *model = &sim->site->engine;
    return ((double)model->token +
            (double)model->token_per_request * engine->running->len) *
           engine->slow;
}

/* Brings progress up to the present. */
static void
advance(struct sim *sim, struct sim_engine *engine)
{
    if (engine->running->len > 0 && sim->now > engine->at) {
        engine->progress +=
            (double)(sim->now - engine->at) / pace(sim, engine);
    }
    engine->at = sim->now;
}

/* The progress that a job waits for next. */
static double
threshold(const struct sim_job *job)
{
    return job->first_out ? job->end : job->first;
}

static void step(struct sim *sim, const struct sim_event *event);

/* Schedules the next threshold; earlier schedules become void. */
static void
schedule_step(struct sim *sim, size_t upstream)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    engine->turn++;
    double next = INFINITY;
    for (guint i = 0; i < engine->running->len; i++) {
        next =
            MIN(next,
                threshold(&g_array_index(engine->running, struct sim_job, i)));
    }
    if (isfinite(next)) {
        double left = MAX(next - engine->progress, 0.0) * pace(sim, engine);
        sim_schedule(sim, sim->now + (int64_t)ceil(left), step, upstream,
                     engine->turn, 0);
    }
}

/* Whether the prefix is cached; it is then, or from now on, the one used
 * last.  The least recently used go when the cache is full. */
static bool
touch_prefix(const struct sim *sim, struct sim_engine *engine, uint64_t prefix)
{
    const struct ch_site_engine *model = &sim->site->engine;
    bool found = false;
    for (guint i = 0; !found && i < engine->cache->len; i++) {
        if (g_array_index(engine->cache, uint64_t, i) == prefix) {
            g_array_remove_index(engine->cache, i);
            found = true;
        }
    }
    g_array_append_val(engine->cache, prefix);
    guint most = model->cache_tokens / MAX(model->prefix_tokens, 1);
    if (engine->cache->len > most) {
        g_array_remove_index(engine->cache, 0);
    }
    return found;
}

/* The job of a dispatch, thresholds relative to where it starts. */
static struct sim_job
make_job(struct sim *sim, struct sim_engine *engine, uint64_t dispatch)
{
    const struct sim_request *request = sim_request_of(sim, dispatch);
    struct sim_job job = {.dispatch = dispatch, .tokens = 1};
    const struct ch_site_engine *model = &sim->site->engine;
    if (engine->service) {
        double part = 0.5 + sim_random(sim, dispatch, 11);
        job.first = part * (double)model->service;
        job.end = job.first;
        return job;
    }
    uint32_t prompt = request->work.prompt_tokens;
    uint64_t prefix = request->work.prefix_hash;
    if (prefix != 0 && touch_prefix(sim, engine, prefix)) {
        prompt -= MIN(prompt, model->prefix_tokens);
    }
    /* Prefill takes the engine's time alone; as progress, that is so many
     * tokens of an engine with one request. */
    double alone = (double)(model->token + model->token_per_request);
    double prefill =
        (double)prompt / model->prefill_per_s * G_USEC_PER_SEC / alone;
    job.tokens = request->work.max_output_tokens;
    job.first = prefill + 1.0;
    job.end = prefill + MAX(job.tokens, 1);
    return job;
}

/* Starts waiting jobs while the batch has room. */
static void
start_waiting(struct sim_engine *engine)
{
    while (engine->waiting->len > 0 && engine->running->len < engine->batch) {
        struct sim_job job = g_array_index(engine->waiting, struct sim_job, 0);
        g_array_remove_index(engine->waiting, 0);
        job.first += engine->progress;
        job.end += engine->progress;
        g_array_append_val(engine->running, job);
    }
}

/* Microseconds from an upstream to the host of a request, and the bytes on
 * the link. */
static int64_t
way_back(struct sim *sim, size_t upstream, uint64_t dispatch, uint64_t bytes)
{
    const struct sim_request *request = sim_request_of(sim, dispatch);
    const struct sim_upstream *from = &sim->upstreams[upstream];
    const struct sim_entry *entry = &sim->entries[request->entry];
    return sim_delay(sim, from->site->data_centre, entry->site->data_centre) +
           sim_link_send(sim, from->region, entry->region, bytes);
}

/* Tells the entry host of a job's first token or end. */
static void
tell(struct sim *sim, size_t upstream, const struct sim_job *job, bool end)
{
    if (sim_request_of(sim, job->dispatch) == NULL) {
        return;
    }
    uint64_t each = sim->site->engine.token_bytes;
    uint64_t bytes = end ? each * job->tokens : each;
    int64_t delay = way_back(sim, upstream, job->dispatch, bytes);
    sim_schedule(sim, sim->now + delay,
                 end ? sim_request_done : sim_request_first, job->dispatch,
                 job->tokens, 0);
}

/* A threshold is reached.  a: upstream, b: turn. */
static void
step(struct sim *sim, const struct sim_event *event)
{
    size_t upstream = (size_t)event->a;
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    if (event->b != engine->turn) {
        return;
    }
    advance(sim, engine);
    for (guint i = 0; i < engine->running->len;) {
        struct sim_job *job =
            &g_array_index(engine->running, struct sim_job, i);
        if (!job->first_out && job->first <= engine->progress + CLOSE) {
            job->first_out = true;
            tell(sim, upstream, job, false);
        }
        if (job->first_out && job->end <= engine->progress + CLOSE) {
            tell(sim, upstream, job, true);
            g_array_remove_index(engine->running, i);
            continue;
        }
        i++;
    }
    start_waiting(engine);
    schedule_step(sim, upstream);
}

/* Answers a dispatch with a failure.  may_have_run: it had begun. */
static void
refuse(struct sim *sim, size_t upstream, uint64_t dispatch, enum ch_code code,
       bool may_have_run)
{
    if (sim_request_of(sim, dispatch) == NULL) {
        return;
    }
    int64_t delay = way_back(sim, upstream, dispatch, 0);
    sim_schedule(sim, sim->now + delay, sim_request_fail, dispatch, code,
                 may_have_run ? 1 : 0);
}

/* A request reaches the upstream. */
void
sim_engine_accept(struct sim *sim, size_t upstream, uint64_t dispatch)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    const struct sim_request *request = sim_request_of(sim, dispatch);
    if (engine->down) {
        refuse(sim, upstream, dispatch, CH_UPSTREAM_CONNECT, false);
        return;
    }
    bool gone = engine->leaving && sim->now - engine->left_at > LEAVE_GRACE;
    bool absent =
        !engine->service && (!sim_engine_has(engine, request->work.model) ||
                             (request->work.adapter != 0 &&
                              !sim_engine_has(engine, request->work.adapter)));
    if (gone || absent) {
        refuse(sim, upstream, dispatch, CH_UPSTREAM_REFUSED, false);
        return;
    }
    advance(sim, engine);
    struct sim_job job = make_job(sim, engine, dispatch);
    g_array_append_val(engine->waiting, job);
    start_waiting(engine);
    schedule_step(sim, upstream);
}

/* The entry host closed the connection. */
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

/* Tokens of a job that are out by now. */
static uint32_t
tokens_out(const struct sim_engine *engine, const struct sim_job *job)
{
    if (!job->first_out) {
        return 0;
    }
    double out = engine->progress - job->first + 1.0;
    return (uint32_t)CLAMP(out, 1.0, (double)job->tokens);
}

/* The engine dies: what ran is cut, memory is lost, a boot is over. */
void
sim_engine_fail(struct sim *sim, size_t upstream)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    advance(sim, engine);
    for (guint i = 0; i < engine->running->len; i++) {
        const struct sim_job *job =
            &g_array_index(engine->running, struct sim_job, i);
        struct sim_request *request = sim_request_of(sim, job->dispatch);
        if (request != NULL) {
            request->given += tokens_out(engine, job);
        }
        refuse(sim, upstream, job->dispatch, CH_UPSTREAM_CUT, true);
    }
    for (guint i = 0; i < engine->waiting->len; i++) {
        const struct sim_job *job =
            &g_array_index(engine->waiting, struct sim_job, i);
        refuse(sim, upstream, job->dispatch, CH_UPSTREAM_CUT, true);
    }
    g_array_set_size(engine->running, 0);
    g_array_set_size(engine->waiting, 0);
    g_array_set_size(engine->items, 0);
    g_array_set_size(engine->cache, 0);
    g_ptr_array_set_size(engine->done, 0);
    engine->boot++;
    engine->turn++;
    engine->down = true;
}

/* The engine's pace changes by a factor. */
void
sim_engine_set_slow(struct sim *sim, size_t upstream, double slow)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    advance(sim, engine);
    engine->slow = slow;
    schedule_step(sim, upstream);
}

/* The item's place in memory; -1: it is not there. */
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

/* Whether the item can be used. */
bool
sim_engine_has(const struct sim_engine *engine, GQuark item)
{
    int at = find_item(engine, item);
    return at >= 0 &&
           !g_array_index(engine->items, struct sim_item, (guint)at).loading;
}

/* Notes an order as carried out. */
static void
note_done(struct sim_engine *engine, const char *order)
{
    g_ptr_array_add(engine->done, g_strdup(order));
    if (engine->done->len > ORDERS_TOLD) {
        g_ptr_array_remove_index(engine->done, 0);
    }
}

/* An order to load arrives.  Memory is taken at once; beyond the capacity it
 * is an overcommit, the one thing that must never be seen. */
void
sim_engine_load(struct sim *sim, size_t upstream, GQuark item,
                uint32_t memory_mb, const char *order)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    if (engine->down || find_item(engine, item) >= 0) {
        return;
    }
    struct sim_item fresh = {
        .name = item, .memory_mb = memory_mb, .loading = true};
    g_strlcpy(fresh.order, order, sizeof(fresh.order));
    g_array_append_val(engine->items, fresh);
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
        sim_store_adapter(sim, upstream, item);
    }
}

/* The weights have come, if this boot still waits for them. */
void
sim_engine_loaded(struct sim *sim, size_t upstream, GQuark item, unsigned boot)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    int at = find_item(engine, item);
    if (engine->boot != boot || at < 0) {
        return;
    }
    struct sim_item *held =
        &g_array_index(engine->items, struct sim_item, (guint)at);
    held->loading = false;
    note_done(engine, held->order);
}

/* An order to unload arrives. */
void
sim_engine_unload(struct sim *sim, size_t upstream, GQuark item,
                  const char *order)
{
    struct sim_engine *engine = &sim->upstreams[upstream].engine;
    if (engine->down) {
        return;
    }
    int at = find_item(engine, item);
    if (at >= 0) {
        g_array_remove_index(engine->items, (guint)at);
        if (strchr(g_quark_to_string(item), '/') == NULL) {
            sim->result->model_unloads++;
        }
    }
    note_done(engine, order);
}
