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

/* What a report says of an item; times are in milliseconds. */
static const struct {
    const char *what;
    struct ch_report_facts facts;
    enum ch_report_news news;
} reports[] = {
    {"loaded",
     {.state = CH_ITEM_LOADING,
      .ordered = true,
      .there = true,
      .changed = 5000,
      .asked = 5100},
     CH_REPORT_LOADED},
    {"asked before the load shows, whenever it is handled",
     {.state = CH_ITEM_LOADING,
      .ordered = true,
      .changed = 5000,
      .asked = 5400},
     CH_REPORT_NOTHING},
    {"asked before the order was taken",
     {.state = CH_ITEM_LOADING,
      .ordered = true,
      .changed = 5000,
      .asked = 4900},
     CH_REPORT_NOTHING},
    {"the load has failed",
     {.state = CH_ITEM_LOADING,
      .ordered = true,
      .changed = 5000,
      .asked = 6600},
     CH_REPORT_LOST},
    {"the load goes on",
     {.state = CH_ITEM_LOADING,
      .ordered = true,
      .busy = true,
      .changed = 5000,
      .asked = 9000},
     CH_REPORT_NOTHING},
    {"the former holder was lost before it ordered it",
     {.state = CH_ITEM_LOADING, .told = true, .changed = 5000, .asked = 5100},
     CH_REPORT_LOST},
    {"asked before an adapter shows that has just come",
     {.state = CH_ITEM_RESIDENT, .changed = 5000, .asked = 4990},
     CH_REPORT_NOTHING},
    {"asked while reports may still lag",
     {.state = CH_ITEM_RESIDENT, .changed = 5000, .asked = 6500},
     CH_REPORT_NOTHING},
    {"it has gone",
     {.state = CH_ITEM_RESIDENT, .changed = 5000, .asked = 6501},
     CH_REPORT_LOST},
    {"it is where it was",
     {.state = CH_ITEM_RESIDENT,
      .there = true,
      .changed = 5000,
      .asked = 9000},
     CH_REPORT_NOTHING},
    {"unloaded",
     {.state = CH_ITEM_UNLOADING,
      .ordered = true,
      .changed = 5000,
      .asked = 5100},
     CH_REPORT_UNLOADED},
    {"asked before the unload shows",
     {.state = CH_ITEM_UNLOADING,
      .ordered = true,
      .there = true,
      .changed = 5000,
      .asked = 5400},
     CH_REPORT_NOTHING},
    {"the unload has failed",
     {.state = CH_ITEM_UNLOADING,
      .ordered = true,
      .there = true,
      .changed = 5000,
      .asked = 6600},
     CH_REPORT_STAYS},
    {"the unload goes on",
     {.state = CH_ITEM_UNLOADING,
      .ordered = true,
      .there = true,
      .busy = true,
      .changed = 5000,
      .asked = 9000},
     CH_REPORT_NOTHING},
    {"not ordered to go yet",
     {.state = CH_ITEM_UNLOADING,
      .there = true,
      .changed = 5000,
      .asked = 9000},
     CH_REPORT_NOTHING},
};

/* Guards against items that count as lost, and are ordered again, because a
 * report was handled long after it was asked for. */
static void
test_reports(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
        struct ch_report_facts facts = reports[i].facts;
        facts.changed *= MILLI;
        facts.asked *= MILLI;
        g_test_message("%s", reports[i].what);
        g_assert_cmpint(ch_order_report(&facts), ==, reports[i].news);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/order/unloads", test_unloads);
    g_test_add_func("/order/loads", test_loads);
    g_test_add_func("/order/reports", test_reports);
    return g_test_run();
}
