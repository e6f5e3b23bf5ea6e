/*
 * Processor time of one round in which models are arranged, as the fleet
 * grows: a calm one, and one in which a tenth of the models is short.  The
 * figures go into docs/CAPACITY.md.
 */

#include "decide/arrange.h"

#include <stdio.h>
#include <time.h>

enum {
    CENTRE_COUNT = 7,
    ENGINE_MB = 200000,
    LARGE_MB = 72700,
    SMALL_MB = 34300,
    HELD = 2, /* models on an engine */
    ROUNDS = 20,
    SHORT_EVERY = 10, /* one model of so many */
};

static const struct {
    size_t engines;
    size_t models;
} sizes[] = {{18, 26}, {60, 84}, {300, 291}, {1900, 1100}};

struct fleet {
    struct ch_arrange_engine *engines;
    struct ch_arrange_item *items; /* HELD of each engine */
    struct ch_arrange_model *models;
    size_t engine_count;
    size_t model_count;
    GQuark service;
};

/* A name with a number. */
static GQuark
name_of(const char *kind, size_t number)
{
    g_autofree char *name = g_strdup_printf("%s%zu", kind, number);
    return g_quark_from_string(name);
}

/* Every engine holds two models, spread evenly. */
static void
fill(struct fleet *fleet, size_t engines, size_t models, double work)
{
    fleet->engine_count = engines;
    fleet->model_count = models;
    fleet->service = g_quark_from_string("s");
    fleet->engines = g_new0(struct ch_arrange_engine, engines);
    fleet->items = g_new0(struct ch_arrange_item, engines * HELD);
    fleet->models = g_new0(struct ch_arrange_model, models);
    for (size_t i = 0; i < models; i++) {
        fleet->models[i] = (struct ch_arrange_model){
            .name = name_of("m", i),
            .memory_mb = i % 4 == 0 ? SMALL_MB : LARGE_MB,
            .work = i % SHORT_EVERY == 0 ? work : 0.01,
            .services = &fleet->service,
            .service_count = 1,
        };
    }
    for (size_t i = 0; i < engines; i++) {
        for (size_t k = 0; k < HELD; k++) {
            fleet->items[HELD * i + k] = (struct ch_arrange_item){
                fleet->models[(HELD * i + k) % models].name, CH_ITEM_RESIDENT};
        }
        fleet->engines[i] = (struct ch_arrange_engine){
            .name = name_of("e", i),
            .service = fleet->service,
            .data_centre = name_of("d", i % CENTRE_COUNT),
            .mine = i % CENTRE_COUNT == 0,
            .open = true,
            .memory_mb = ENGINE_MB,
            .items = &fleet->items[HELD * i],
            .item_count = HELD,
        };
    }
}

/* Frees what fill() made. */
static void
clear(struct fleet *fleet)
{
    g_free(fleet->engines);
    g_free(fleet->items);
    g_free(fleet->models);
}

/* Milliseconds of processor time of one round. */
static double
round_ms(const struct fleet *fleet, guint *orders)
{
    const struct ch_arrange_state state = {
        .engines = fleet->engines,
        .engine_count = fleet->engine_count,
        .models = fleet->models,
        .model_count = fleet->model_count,
        .data_centre = name_of("d", 0),
        .loads_left = (uint32_t)fleet->engine_count,
        .most_changes = (uint32_t)fleet->engine_count,
    };
    clock_t begin = clock();
    for (int i = 0; i < ROUNDS; i++) {
        GArray *out =
            g_array_new(FALSE, FALSE, sizeof(struct ch_arrange_action));
        ch_arrange(&state, out);
        *orders = out->len;
        g_array_free(out, TRUE);
    }
    return (double)(clock() - begin) * 1000 / CLOCKS_PER_SEC / ROUNDS;
}

int
main(void)
{
    printf("%8s %8s %12s %12s %8s\n", "engines", "models", "calm, ms",
           "short, ms", "orders");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fleet fleet;
        guint orders = 0;
        fill(&fleet, sizes[i].engines, sizes[i].models, 0.01);
        double calm = round_ms(&fleet, &orders);
        clear(&fleet);
        fill(&fleet, sizes[i].engines, sizes[i].models, 4);
        double busy = round_ms(&fleet, &orders);
        clear(&fleet);
        printf("%8zu %8zu %12.3f %12.3f %8u\n", sizes[i].engines,
               sizes[i].models, calm, busy, orders);
    }
    return 0;
}
