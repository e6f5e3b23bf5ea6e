/* Orders to engines: when they are sent, and given up. */

#include "decide/order.h"

enum {
    MILLI = 1000,
    DUE = 5000 * MILLI,
};

/* A model goes from an engine: its requests were sent elsewhere a moment ago.
 */
static const struct {
    const char *what;
    int64_t now;
    uint32_t waiting;
    bool waits;
} unloads[] = {
    {"nodes have not been told yet", DUE - 1, 0, true},
    {"nothing waits: it goes at once", DUE, 0, false},
    {"a request waits that the engine would turn away", DUE, 1, true},
    {"... and still does", DUE + (int64_t)700 * MILLI, 3, true},
    {"it is not waited for without end", DUE + (int64_t)750 * MILLI, 3, false},
};

static void
test_unloads(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unloads); i++) {
        g_test_message("%s", unloads[i].what);
        g_assert_cmpint(
            ch_order_unload_waits(DUE, unloads[i].waiting, unloads[i].now), ==,
            unloads[i].waits);
    }
}

/* A model that no report lists yet. */
static const struct {
    const char *what;
    struct ch_load_facts load;
    bool lost;
} loads[] = {
    {"the engine is loading it",
     {.ordered = true, .busy = true, .age = (int64_t)9000 * MILLI},
     false},
    {"a report is older than the order",
     {.ordered = true, .age = (int64_t)400 * MILLI},
     false},
    {"the load has failed",
     {.ordered = true, .age = (int64_t)1600 * MILLI},
     true},
    {"not ordered yet, by the holder that decided it",
     {.age = (int64_t)9000 * MILLI},
     false},
    {"the former holder ordered it before it was lost",
     {.told = true, .busy = true},
     false},
    {"the former holder was lost before it ordered it", {.told = true}, true},
};

static void
test_loads(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        g_test_message("%s", loads[i].what);
        g_assert_cmpint(ch_order_load_lost(&loads[i].load), ==, loads[i].lost);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/order/unloads", test_unloads);
    g_test_add_func("/order/loads", test_loads);
    return g_test_run();
}
