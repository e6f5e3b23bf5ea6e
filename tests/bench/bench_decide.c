/* Time and memory used by scheduling decisions: routing, enqueueing at a home
 * node, fleet views.  Fleet sizes range from the present one to the largest
 * planned. */

#include "decide/home.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

enum {
    ROUNDS = 2000,
    ABSENT_ROUNDS = 200,
    REPLICAS = 2,
};

static const struct {
    unsigned upstreams;
    unsigned models;
} SIZES[] = {{17, 15}, {300, 160}, {950, 550}, {1900, 1100}};

/* Returns the process's CPU time in microseconds. */
static double
cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Returns the bytes in use on the heap. */
static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)(info.uordblks + info.hblkhd);
}

static GQuark
numbered_quark(const char *form, unsigned number)
{
    char name[32];
    g_snprintf(name, sizeof(name), form, number);
    return g_quark_from_string(name);
}

/* Returns a fleet in three regions in which each model has two replicas. */
static struct ch_fleet
make_fleet(unsigned upstreams, unsigned models)
{
    struct ch_fleet fleet = {
        .upstreams = g_new0(struct ch_upstream_view, upstreams),
        .count = upstreams,
        .region_delay = 30000,
        .link_bytes_left = 1 << 20,
        .store_loads_left = 4,
    };
    for (unsigned i = 0; i < upstreams; i++) {
        fleet.upstreams[i] = (struct ch_upstream_view){
            .name = numbered_quark("w%04u", i),
            .region = (uint16_t)(i % 3),
            .max_batch = 16,
            .running = 6,
            .capacity_mb = 24000,
            .token_time = 30000,
            .resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
            .loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
        };
    }
    for (unsigned i = 0; i < models * REPLICAS; i++) {
        struct ch_upstream_view *view = &fleet.upstreams[i % upstreams];
        struct ch_item item = {.name = numbered_quark("m%04u", i % models),
                               .rate = 300};
        g_array_append_val(view->resident, item);
    }
    return fleet;
}

static void
free_fleet(struct ch_fleet *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        g_array_unref(fleet->upstreams[i].resident);
        g_array_unref(fleet->upstreams[i].loading);
    }
    g_free(fleet->upstreams);
}

static struct ch_request_info
make_request(unsigned model, uint64_t id)
{
    return (struct ch_request_info){
        .id = id,
        .model = numbered_quark("m%04u", model),
        .tenant = id % 7,
        .model_mb = 14000,
        .prompt_tokens = 300,
        .max_output_tokens = 100,
        .first_token_deadline = INT64_C(10000000),
        .token_target = 62000,
    };
}

/* Measures the microseconds to route a request for a resident model, and for a
 * model on no upstream. */
static void
measure_routes(struct ch_fleet *fleet, unsigned models, double *resident,
               double *absent)
{
    const struct ch_policy *policy = ch_policy_find("default");
    double start = cpu_us();
    for (unsigned i = 0; i < ROUNDS; i++) {
        struct ch_request_info request = make_request(i % models, i);
        (void)ch_route_choose(policy, fleet, &request, NULL, 0);
    }
    *resident = (cpu_us() - start) / ROUNDS;
    start = cpu_us();
    for (unsigned i = 0; i < ABSENT_ROUNDS; i++) {
        struct ch_request_info request = make_request(models + 1, i);
        (void)ch_route_choose(policy, fleet, &request, NULL, 0);
    }
    *absent = (cpu_us() - start) / ABSENT_ROUNDS;
}

/* Measures the microseconds to enqueue and release a request at a home node
 * with a queue and to run an idle tick, and the bytes of a scheduler. */
static void
measure_home(const struct ch_fleet *fleet, double *request_us, double *tick_us,
             double *bytes)
{
    struct ch_upstream_config facts = {.name = numbered_quark("w%04u", 0),
                                       .capacity_mb = 24000,
                                       .batch = 16,
                                       .max_queue = 256};
    struct ch_actions out = {
        g_array_new(FALSE, FALSE, sizeof(struct ch_action))};
    double before = heap_bytes();
    struct ch_home *home = ch_home_new(ch_policy_find("default"), &facts, 0);
    for (unsigned i = 0; i < 4; i++) {
        ch_home_set_item(home, numbered_quark("m%04u", i), CH_ITEM_RESIDENT,
                         5000, 0, &out);
    }
    *bytes = heap_bytes() - before;
    double start = cpu_us();
    for (uint64_t i = 0; i < ROUNDS; i++) {
        struct ch_request_info request = make_request((unsigned)(i % 4), i);
        struct ch_timing_sample sample = {.code = CH_OK,
                                          .first_byte_time = 100000,
                                          .token_time = 30000,
                                          .token_count = 100};
        ch_home_enqueue(home, &request, fleet, 0, &out);
        if (i >= 32) {
            ch_home_release(home, i - 32, &sample, 0, &out);
        }
        g_array_set_size(out.list, 0);
    }
    *request_us = (cpu_us() - start) / ROUNDS;
    start = cpu_us();
    for (unsigned i = 0; i < ROUNDS; i++) {
        ch_home_tick(home, fleet, 0, &out);
        g_array_set_size(out.list, 0);
    }
    *tick_us = (cpu_us() - start) / ROUNDS;
    ch_home_free(home);
    g_array_unref(out.list);
}

int
main(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(SIZES); i++) {
        double before = heap_bytes();
        struct ch_fleet fleet =
            make_fleet(SIZES[i].upstreams, SIZES[i].models);
        double view = (heap_bytes() - before) / SIZES[i].upstreams;
        double resident;
        double absent;
        double request_us;
        double tick_us;
        double bytes;
        measure_routes(&fleet, SIZES[i].models, &resident, &absent);
        measure_home(&fleet, &request_us, &tick_us, &bytes);
        (void)printf(
            "figure: decide %u upstreams %u models: route %.1f us, "
            "route of an absent model %.1f us, enqueue and "
            "release at home %.1f us, tick %.2f us; view %.0f bytes, home "
            "%.0f bytes, work %zu bytes\n",
            SIZES[i].upstreams, SIZES[i].models, resident, absent, request_us,
            tick_us, view, bytes, sizeof(struct ch_request_info));
        free_fleet(&fleet);
    }
    return 0;
}
