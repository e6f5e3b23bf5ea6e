/* Orders to engines: when they are sent, and when they are given up. */

#include "decide/order.h"

enum {
    US_PER_MS = 1000,
    DUE_US = 5000 * US_PER_MS,
};

/* A model is to be unloaded: its new requests go elsewhere from DUE_US on. */
static const struct {
    const char *description;
    int64_t now;
    uint32_t waiting;
    bool delayed;
} unloads[] = {
    {"nodes don't know of the unload yet", DUE_US - 1, 0, true},
    {"no queued requests: unloaded at once", DUE_US, 0, false},
    {"the unload would reject a queued request", DUE_US, 1, true},
    {"a request is still queued", DUE_US + (int64_t)700 * US_PER_MS, 3, true},
    {"the delay has an end", DUE_US + (int64_t)750 * US_PER_MS, 3, false},
};

static void
test_unloads(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(unloads); i++) {
        g_test_message("%s", unloads[i].description);
        g_assert_cmpint(ch_order_should_delay_unload(
                            DUE_US, unloads[i].waiting, unloads[i].now),
                        ==, unloads[i].delayed);
    }
}

/* A model that no report lists yet. */
static const struct {
    const char *description;
    struct ch_load_status load;
    bool lost;
} loads[] = {
    {"the engine is loading it",
     {.accepted = true, .busy = true, .age = (int64_t)9000 * US_PER_MS},
     false},
    {"too soon after the order for a report to show the load",
     {.accepted = true, .age = (int64_t)400 * US_PER_MS},
     false},
    {"the load has failed",
     {.accepted = true, .age = (int64_t)1600 * US_PER_MS},
     true},
    {"not ordered yet by the lease holder that decided on the load",
     {.age = (int64_t)9000 * US_PER_MS},
     false},
    {"the former lease holder ordered the load before it was lost",
     {.from_peer = true, .busy = true},
     false},
    {"the former lease holder was lost before it ordered the load",
     {.from_peer = true},
     true},
};

static void
test_loads(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        g_test_message("%s", loads[i].description);
        g_assert_cmpint(ch_order_is_load_lost(&loads[i].load), ==,
                        loads[i].lost);
    }
}

/* What a report means for an item; times are in milliseconds. */
static const struct {
    const char *description;
    struct ch_report_comparison facts;
    enum ch_report_outcome change;
} reports[] = {
    {"loaded",
     {.state = CH_ITEM_LOADING,
      .accepted = true,
      .listed = true,
      .changed_at = 5000,
      .requested_at = 5100},
     CH_REPORT_LOADED},
    {"asked for before the load shows, whenever the report is handled",
     {.state = CH_ITEM_LOADING,
      .accepted = true,
      .changed_at = 5000,
      .requested_at = 5400},
     CH_REPORT_NO_CHANGE},
    {"asked for before the order was taken",
     {.state = CH_ITEM_LOADING,
      .accepted = true,
      .changed_at = 5000,
      .requested_at = 4900},
     CH_REPORT_NO_CHANGE},
    {"the load has failed",
     {.state = CH_ITEM_LOADING,
      .accepted = true,
      .changed_at = 5000,
      .requested_at = 6600},
     CH_REPORT_LOST},
    {"the load goes on",
     {.state = CH_ITEM_LOADING,
      .accepted = true,
      .busy = true,
      .changed_at = 5000,
      .requested_at = 9000},
     CH_REPORT_NO_CHANGE},
    {"the former lease holder was lost before it ordered the load",
     {.state = CH_ITEM_LOADING,
      .from_peer = true,
      .changed_at = 5000,
      .requested_at = 5100},
     CH_REPORT_LOST},
    {"asked for before a newly loaded adapter shows",
     {.state = CH_ITEM_RESIDENT, .changed_at = 5000, .requested_at = 4990},
     CH_REPORT_NO_CHANGE},
    {"asked for while reports may still lag",
     {.state = CH_ITEM_RESIDENT, .changed_at = 5000, .requested_at = 6500},
     CH_REPORT_NO_CHANGE},
    {"the item has gone",
     {.state = CH_ITEM_RESIDENT, .changed_at = 5000, .requested_at = 6501},
     CH_REPORT_LOST},
    {"the item is still resident",
     {.state = CH_ITEM_RESIDENT,
      .listed = true,
      .changed_at = 5000,
      .requested_at = 9000},
     CH_REPORT_NO_CHANGE},
    {"unloaded",
     {.state = CH_ITEM_UNLOADING,
      .accepted = true,
      .changed_at = 5000,
      .requested_at = 5100},
     CH_REPORT_UNLOADED},
    {"asked for before the unload shows",
     {.state = CH_ITEM_UNLOADING,
      .accepted = true,
      .listed = true,
      .changed_at = 5000,
      .requested_at = 5400},
     CH_REPORT_NO_CHANGE},
    {"the unload has failed",
     {.state = CH_ITEM_UNLOADING,
      .accepted = true,
      .listed = true,
      .changed_at = 5000,
      .requested_at = 6600},
     CH_REPORT_UNLOAD_FAILED},
    {"the unload goes on",
     {.state = CH_ITEM_UNLOADING,
      .accepted = true,
      .listed = true,
      .busy = true,
      .changed_at = 5000,
      .requested_at = 9000},
     CH_REPORT_NO_CHANGE},
    {"the unload is not ordered yet",
     {.state = CH_ITEM_UNLOADING,
      .listed = true,
      .changed_at = 5000,
      .requested_at = 9000},
     CH_REPORT_NO_CHANGE},
};

/* Guards against items that count as lost, and are ordered again, because a
 * report was handled long after it was requested. */
static void
test_reports(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
        struct ch_report_comparison facts = reports[i].facts;
        facts.changed_at *= US_PER_MS;
        facts.requested_at *= US_PER_MS;
        g_test_message("%s", reports[i].description);
        g_assert_cmpint(ch_order_evaluate_report(&facts), ==,
                        reports[i].change);
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
