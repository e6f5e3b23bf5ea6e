/* What the decisions cost: time and memory of a route, a home's offer, a view
 * and its gossip, at fleets from today's size to that of the long run. */

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
} sizes[] = {{17, 15}, {300, 160}, {950, 550}, {1900, 1100}};

/* Processor time in microseconds. */
static double
cpu_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Bytes in use on the heap. */
static double
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return (double)(info.uordblks + info.hblkhd);
}

/* The quark of a numbered name. */
static GQuark
numbered(const char *form, unsigned number)
{
    char name[32];
    g_snprintf(name, sizeof(name), form, number);
    return g_quark_from_string(name);
}

/* A fleet in three regions whose models stand on two upstreams each. */
static struct ch_fleet
make_fleet(unsigned upstreams, unsigned models)
{
    struct ch_fleet fleet = {
        .upstreams = g_new0(struct ch_upstream_view, upstreams),
        .count = upstreams,
        .region_delay = 30000,
        .link_bytes = 1 << 20,
        .loads_left = 4,
    };
    for (unsigned i = 0; i < upstreams; i++) {
        fleet.upstreams[i] = (struct ch_upstream_view){
            .name = numbered("w%04u", i),
            .region = (uint16_t)(i % 3),
            .batch = 16,
            .running = 6,
            .capacity_mb = 24000,
            .token = 30000,
            .resident = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
            .loading = g_array_new(FALSE, FALSE, sizeof(struct ch_item)),
        };
    }
    for (unsigned i = 0; i < models * REPLICAS; i++) {
        struct ch_upstream_view *view = &fleet.upstreams[i % upstreams];
        struct ch_item item = {.name = numbered("m%04u", i % models),
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

/* Work on a model. */
static struct ch_work
work_on(unsigned model, uint64_t id)
{
    return (struct ch_work){
        .id = id,
        .model = numbered("m%04u", model),
        .tenant = id % 7,
        .model_mb = 14000,
        .prompt_tokens = 300,
        .output_tokens = 100,
        .first_by = INT64_C(10000000),
        .between = 62000,
    };
}

/* Microseconds of a route to a resident model, and to one that is nowhere. */
static void
measure_routes(struct ch_fleet *fleet, unsigned models, double *resident,
               double *absent)
{
    const struct ch_policy *policy = ch_policy_find("default");
    double begun = cpu_us();
    for (unsigned i = 0; i < ROUNDS; i++) {
        struct ch_work work = work_on(i % models, i);
        (void)ch_route_choose(policy, fleet, &work, NULL, 0);
    }
    *resident = (cpu_us() - begun) / ROUNDS;
    begun = cpu_us();
    for (unsigned i = 0; i < ABSENT_ROUNDS; i++) {
        struct ch_work work = work_on(models + 1, i);
        (void)ch_route_choose(policy, fleet, &work, NULL, 0);
    }
    *absent = (cpu_us() - begun) / ABSENT_ROUNDS;
}

/* Microseconds of one request's course through a home with a queue, and of an
 * idle tick; bytes of a home. */
static void
measure_home(const struct ch_fleet *fleet, double *course, double *tick,
             double *bytes)
{
    struct ch_home_facts facts = {.name = numbered("w%04u", 0),
                                  .capacity_mb = 24000,
                                  .batch = 16,
                                  .max_queue = 256};
    struct ch_actions out = {
        g_array_new(FALSE, FALSE, sizeof(struct ch_action))};
    double before = heap_bytes();
    struct ch_home *home = ch_home_new(ch_policy_find("default"), &facts, 0);
    for (unsigned i = 0; i < 4; i++) {
        ch_home_set_item(home, numbered("m%04u", i), CH_ITEM_RESIDENT, 5000, 0,
                         &out);
    }
    *bytes = heap_bytes() - before;
    double begun = cpu_us();
    for (uint64_t i = 0; i < ROUNDS; i++) {
        struct ch_work work = work_on((unsigned)(i % 4), i);
        struct ch_sample sample = {
            .code = CH_OK, .first = 100000, .token = 30000, .tokens = 100};
        ch_home_offer(home, &work, fleet, 0, &out);
        if (i >= 32) {
            ch_home_release(home, i - 32, &sample, 0, &out);
        }
        g_array_set_size(out.list, 0);
    }
    *course = (cpu_us() - begun) / ROUNDS;
    begun = cpu_us();
    for (unsigned i = 0; i < ROUNDS; i++) {
        ch_home_tick(home, fleet, 0, &out);
        g_array_set_size(out.list, 0);
    }
    *tick = (cpu_us() - begun) / ROUNDS;
    ch_home_free(home);
    g_array_unref(out.list);
}

int
main(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double before = heap_bytes();
        struct ch_fleet fleet =
            make_fleet(sizes[i].upstreams, sizes[i].models);
        double view = (heap_bytes() - before) / sizes[i].upstreams;
        double resident;
        double absent;
        double course;
        double tick;
        double bytes;
        measure_routes(&fleet, sizes[i].models, &resident, &absent);
        measure_home(&fleet, &course, &tick, &bytes);
        (void)printf("figure: decide %u upstreams %u models: route %.1f us, "
                     "route of an absent model %.1f us, home's offer and "
                     "release %.1f us, tick %.2f us; view %.0f bytes, home "
                     "%.0f bytes, work %zu bytes\n",
                     sizes[i].upstreams, sizes[i].models, resident, absent,
                     course, tick, view, bytes, sizeof(struct ch_work));
        free_fleet(&fleet);
    }
    return 0;
}
