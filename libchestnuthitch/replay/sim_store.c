/* Simulates the weight store and the link between regions.  Both are shared
 * and have limited capacity. */

#include "replay/sim.h"

#include <math.h>

/* Returns the megabytes a second of each load while `loads` run. */
static double
load_rate(const struct sim *sim, guint loads)
{
    double rate = sim->site->load_mb_per_s;
    if (loads > sim->site->max_parallel_loads) {
        rate *= (double)sim->site->max_parallel_loads / loads;
    }
    return rate;
}

/* Updates the progress of all loads to the current time. */
static void
advance(struct sim *sim)
{
    struct sim_store *store = &sim->store;
    double seconds = (double)(sim->now - store->updated_at) / G_USEC_PER_SEC;
    double moved = seconds * load_rate(sim, store->loads->len);
    for (guint i = 0; i < store->loads->len; i++) {
        g_array_index(store->loads, struct sim_load, i).left_mb -= moved;
    }
    store->updated_at = sim->now;
}

static void step(struct sim *sim, const struct sim_event *event);

/* Schedules the end of the load that finishes first. */
static void
schedule_step(struct sim *sim)
{
    struct sim_store *store = &sim->store;
    store->step_version++;
    double min_left_mb = INFINITY;
    for (guint i = 0; i < store->loads->len; i++) {
        min_left_mb =
            MIN(min_left_mb,
                g_array_index(store->loads, struct sim_load, i).left_mb);
    }
    if (isfinite(min_left_mb)) {
        double seconds =
            MAX(min_left_mb, 0.0) / load_rate(sim, store->loads->len);
        sim_schedule(sim, sim->now + (int64_t)ceil(seconds * G_USEC_PER_SEC),
                     step, store->step_version, 0, 0);
    }
}

/* Handles the end of a load.  a: step version. */
static void
step(struct sim *sim, const struct sim_event *event)
{
    struct sim_store *store = &sim->store;
    if (event->a != store->step_version) {
        return;
    }
    advance(sim);
    for (guint i = store->loads->len; i-- > 0;) {
        struct sim_load load = g_array_index(store->loads, struct sim_load, i);
        if (load.left_mb <= 0.01) {
            g_array_remove_index(store->loads, i);
            sim_engine_finish_load(sim, load.upstream, load.item,
                                   load.boot_id);
        }
    }
    schedule_step(sim);
}

/* Starts the load of a model on an engine. */
void
sim_store_load(struct sim *sim, size_t upstream, GQuark item,
               uint32_t memory_mb)
{
    advance(sim);
    struct sim_load load = {
        .upstream = upstream,
        .boot_id = sim->upstreams[upstream].engine.boot_id,
        .item = item,
        .left_mb = memory_mb,
    };
    g_array_append_val(sim->store.loads, load);
    schedule_step(sim);
}

/* Handles the end of an adapter load.  a: upstream, b: item, c: boot ID. */
static void
adapter_loaded(struct sim *sim, const struct sim_event *event)
{
    sim->store.adapter_load_count--;
    sim_engine_finish_load(sim, (size_t)event->a, (GQuark)event->b,
                           (unsigned)event->c);
}

/* Starts the load of an adapter.  It takes a random time within the site's
 * range, and proportionally longer when more adapters are in flight than the
 * site can load in parallel. */
void
sim_store_load_adapter(struct sim *sim, size_t upstream, GQuark item)
{
    const struct ch_site *site = sim->site;
    sim->store.adapter_load_count++;
    double range =
        (double)(site->max_adapter_load_time - site->min_adapter_load_time);
    double time = (double)site->min_adapter_load_time +
                  range * sim_random(sim, (uint64_t)sim->now + item, 5);
    double load_factor = (double)sim->store.adapter_load_count /
                         site->max_parallel_adapter_loads;
    time *= MAX(load_factor, 1.0);
    sim_schedule(sim, sim->now + (int64_t)time, adapter_loaded, upstream, item,
                 sim->upstreams[upstream].engine.boot_id);
}

/* Sends bytes; between regions they queue behind those sent earlier. */
int64_t
sim_link_send(struct sim *sim, size_t from, size_t to, uint64_t bytes)
{
    if (from == to) {
        return 0;
    }
    sim->result->link_bytes += bytes;
    double seconds = (double)bytes * 8.0 / (sim->site->link_mbit_per_s * 1e6);
    int64_t start = MAX(sim->link_free_at[from], sim->now);
    sim->link_free_at[from] = start + (int64_t)(seconds * G_USEC_PER_SEC);
    return sim->link_free_at[from] - sim->now;
}
