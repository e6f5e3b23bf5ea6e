/*
 * An upstream that leaves.  What the caller sees: nothing; what runs there
 * ends there, what comes later runs elsewhere.  Order: long streams run, the
 * list or the engine itself says that it leaves, and five seconds later it
 * must get no new work.  Why: the list and the engine's own word each stop new
 * grants at once, and the other engine loads what only the leaving one had.
 */

#include "harness/harness.h"

static const struct harness_kind kinds[] = {
    {"advice", "m01", NULL, 200, true, false, 2000},
    {"lookup", "m02", NULL, 20, false, false, 3000},
    {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

/* By the list alone, half a second late. */
static void
leave_by_list(struct harness_scene *scene)
{
    harness_set(&scene->fleet->hosts, "lag_ms=500");
    scene->fleet->upstreams[0].left_at = harness_now();
    harness_fleet_list(scene->fleet);
}

/* By the engine's own report alone. */
static void
leave_by_report(struct harness_scene *scene)
{
    scene->fleet->upstreams[0].left_at = harness_now();
    harness_set(&scene->fleet->upstreams[0].standin, "leaving=1");
}

/* By its report, while the list and the key-value service are away. */
static void
leave_alone(struct harness_scene *scene)
{
    harness_set(&scene->fleet->hosts, "down=1");
    leave_by_report(scene);
}

/* A plain service, by the list. */
static void
leave_service(struct harness_scene *scene)
{
    scene->fleet->upstreams[2].left_at = harness_now();
    harness_fleet_list(scene->fleet);
}

#define ROW(row_name, row_begin)                                              \
    {                                                                         \
        .name = (row_name),                                                   \
        .shape = {.nodes = 3, .engines = 2, .services = 2}, .kinds = kinds,   \
        .kind_count = G_N_ELEMENTS(kinds), .callers = 9, .before_ms = 1000,   \
        .during_ms = 6000, .begin = (row_begin), .cost = {                    \
            1500,                                                             \
            3000,                                                             \
            0,                                                                \
            0,                                                                \
            0,                                                                \
            0,                                                                \
            HARNESS_ANY,                                                      \
            90,                                                               \
            HARNESS_ANY                                                       \
        }                                                                     \
    }

static const struct harness_scenario scenarios[] = {
    ROW("engine-by-list", leave_by_list),
    ROW("engine-by-report", leave_by_report),
    ROW("engine-list-away", leave_alone),
    ROW("service-by-list", leave_service),
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "leaving", scenarios,
                        G_N_ELEMENTS(scenarios));
}
