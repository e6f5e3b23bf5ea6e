/*
 * Processor time of one placement round as the fleet grows: without demand,
 * and with demand for a tenth of the models.  The figures go into
 * docs/CAPACITY.md.
 */

#include "decide/placement.h"

#include <stdio.h>
#include <time.h>

enum {
    CENTRE_COUNT = 7,
    ENGINE_MB = 200000,
    LARGE_MB = 72700,
    SMALL_MB = 34300,
    MODELS_PER_ENGINE = 2,
    ROUNDS = 20,
    DEMAND_EVERY = 10, /* one in this many models is in demand */
};

static const struct {
    size_t engines;
    size_t models;
} sizes[] = {{18, 26}, {60, 84}, {300, 291}, {1900, 1100}};

struct fleet {
    struct ch_placement_engine *engines;
    struct ch_placement_item *items; /* MODELS_PER_ENGINE for each engine */
    struct ch_placement_model *models;
    size_t engine_count;
    size_t model_count;
    GQuark service;
};

static GQuark
make_name(const char *kind, size_t number)
{
    g_autofree char *name = g_strdup_printf("%s%zu", kind, number);
    return g_quark_from_string(name);
}

/* Every engine holds two models, spread evenly. */
static void
init_fleet(struct fleet *fleet, size_t engines, size_t models, double work)
{
    fleet->engine_count = engines;
    fleet->model_count = models;
    fleet->service = g_quark_from_string("s");
    fleet->engines = g_new0(struct ch_placement_engine, engines);
    fleet->items =
        g_new0(struct ch_placement_item, engines * MODELS_PER_ENGINE);
    fleet->models = g_new0(struct ch_placement_model, models);
    for (size_t i = 0; i < models; i++) {
        fleet->models[i] = (struct ch_placement_model){
            .name = make_name("m", i),
            .memory_mb = i % 4 == 0 ? SMALL_MB : LARGE_MB,
            .demand = i % DEMAND_EVERY == 0 ? work : 0.01,
            .services = &fleet->service,
            .service_count = 1,
        };
    }
    for (size_t i = 0; i < engines; i++) {
        for (size_t k = 0; k < MODELS_PER_ENGINE; k++) {
            fleet->items[MODELS_PER_ENGINE * i + k] =
                (struct ch_placement_item){
                    fleet->models[(MODELS_PER_ENGINE * i + k) % models].name,
                    CH_ITEM_RESIDENT};
        }
        fleet->engines[i] = (struct ch_placement_engine){
            .name = make_name("e", i),
            .service = fleet->service,
            .data_centre = make_name("d", i % CENTRE_COUNT),
            .controlled = i % CENTRE_COUNT == 0,
            .accepts_orders = true,
            .memory_mb = ENGINE_MB,
            .items = &fleet->items[MODELS_PER_ENGINE * i],
            .item_count = MODELS_PER_ENGINE,
        };
    }
}

static void
clear_fleet(struct fleet *fleet)
{
    g_free(fleet->engines);
    g_free(fleet->items);
    g_free(fleet->models);
}

/* Processor time of one round in milliseconds. */
static double
round_ms(const struct fleet *fleet, guint *orders)
{
    const struct ch_placement_state state = {
        .engines = fleet->engines,
        .engine_count = fleet->engine_count,
        .models = fleet->models,
        .model_count = fleet->model_count,
        .data_centre = make_name("d", 0),
        .store_loads_left = (uint32_t)fleet->engine_count,
        .max_changing_engines = (uint32_t)fleet->engine_count,
    };
    clock_t begin = clock();
    for (int i = 0; i < ROUNDS; i++) {
        GArray *out =
            g_array_new(FALSE, FALSE, sizeof(struct ch_placement_action));
        ch_placement_plan(&state, out);
        *orders = out->len;
        g_array_free(out, TRUE);
    }
    return (double)(clock() - begin) * 1000 / CLOCKS_PER_SEC / ROUNDS;
}

int
main(void)
{
    printf("%8s %8s %12s %12s %8s\n", "engines", "models", "idle, ms",
           "demand, ms", "orders");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        struct fleet fleet;
        guint orders = 0;
        init_fleet(&fleet, sizes[i].engines, sizes[i].models, 0.01);
        double idle_ms = round_ms(&fleet, &orders);
        clear_fleet(&fleet);
        init_fleet(&fleet, sizes[i].engines, sizes[i].models, 4);
        double demand_ms = round_ms(&fleet, &orders);
        clear_fleet(&fleet);
        printf("%8zu %8zu %12.3f %12.3f %8u\n", sizes[i].engines,
               sizes[i].models, idle_ms, demand_ms, orders);
    }
    return 0;
}
