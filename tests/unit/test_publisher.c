/* Which lease holder publishes to which nodes, for fleets of several sizes. */

#include "decide/publisher.h"

enum {
    MAX_CENTRES = 8,
    NONE_LOST = -1,
};

/* A fleet whose data centres alternate between two regions, and the limits on
 * nodes per publisher: with all lease holders, and with one lost. */
static const struct fleet_case {
    const char *name;
    unsigned nodes;
    unsigned centres;
    unsigned max_nodes;
    unsigned max_nodes_after_loss;
} fleet_cases[] = {
    {"7", 7, 3, 3, 5},
    {"73", 73, 6, 13, 26},
    {"295", 295, 6, 50, 100},
    {"1000", 1000, 7, 143, 286},
};

static GQuark
centre_name(unsigned centre)
{
    g_autofree char *name = g_strdup_printf("centre-%u", centre);
    return g_quark_from_string(name);
}

static GQuark
region_name(unsigned centre)
{
    return g_quark_from_string(centre % 2 == 0 ? "even" : "odd");
}

static GQuark
holder_name(unsigned centre)
{
    g_autofree char *name = g_strdup_printf("node-%u-1", centre);
    return g_quark_from_string(name);
}

/* The leases of a fleet, without the one of data centre `lost`. */
static size_t
make_leases(const struct fleet_case *test, int lost,
            struct ch_publisher_lease *leases)
{
    size_t count = 0;
    for (unsigned i = 0; i < test->centres; i++) {
        if ((int)i != lost) {
            leases[count++] = (struct ch_publisher_lease){
                centre_name(i), holder_name(i), region_name(i)};
        }
    }
    return count;
}

/* The highest number of nodes with the same publisher.  Also checks that each
 * node has one, of its own region as long as a lease holder is left there. */
static unsigned
count_most_nodes(const struct fleet_case *test, int lost)
{
    struct ch_publisher_lease leases[MAX_CENTRES];
    size_t count = make_leases(test, lost, leases);
    unsigned nodes_of[MAX_CENTRES] = {0};
    unsigned max_nodes = 0;
    for (unsigned node = 0; node < test->nodes; node++) {
        unsigned centre = node % MAX(test->centres, 1U);
        GQuark publisher = ch_publisher_choose(
            leases, count, centre_name(centre), region_name(centre));
        bool same_region_left = false;
        bool same_region = false;
        g_assert_cmpuint(publisher, !=, 0);
        for (unsigned i = 0; i < test->centres; i++) {
            bool is_same_region = i % 2 == centre % 2;
            same_region_left =
                same_region_left || (is_same_region && (int)i != lost);
            if (publisher == holder_name(i)) {
                same_region = is_same_region;
                nodes_of[i]++;
                max_nodes = MAX(max_nodes, nodes_of[i]);
            }
        }
        g_assert_true(same_region || !same_region_left);
    }
    return max_nodes;
}

/*
 * For fleets of 7 to 1,000 nodes, with all lease holders and with any one
 * lost.  Guards against a lease holder that sends to the whole fleet, and
 * against nodes without a publisher because the lease holder of their data
 * centre is lost.
 */
static void
test_nodes_per_publisher(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fleet_cases); i++) {
        const struct fleet_case *test = &fleet_cases[i];
        g_test_message("%s nodes", test->name);
        g_assert_cmpuint(count_most_nodes(test, NONE_LOST), <=,
                         test->max_nodes);
        for (unsigned lost = 0; lost < test->centres; lost++) {
            g_assert_cmpuint(count_most_nodes(test, (int)lost), <=,
                             test->max_nodes_after_loss);
        }
    }
}

/* The holder of the leases of two data centres publishes to both; without any
 * known lease, none does. */
static void
test_edge_cases(void)
{
    const struct ch_publisher_lease both[] = {
        {centre_name(0), holder_name(0), region_name(0)},
        {centre_name(1), holder_name(0), region_name(1)},
    };
    g_assert_cmpuint(
        ch_publisher_choose(NULL, 0, centre_name(0), region_name(0)), ==, 0);
    g_assert_cmpuint(
        ch_publisher_choose(both, 2, centre_name(1), region_name(1)), ==,
        holder_name(0));
    g_assert_cmpuint(ch_publisher_choose(both, 2, centre_name(2), 0), ==,
                     holder_name(0));
}

static const struct {
    const char *name;
    size_t engines;
    int64_t full_ms;   /* for a period of 16 s */
    int64_t report_ms; /* for a period of 1 s */
} period_cases[] = {
    {"no engines", 0, 16000, 1000},     {"small", 12, 16000, 1000},
    {"grown", 112, 16000, 1120},        {"large", 300, 16000, 3000},
    {"thousands", 3000, 160000, 30000},
};

/* Guards against a lease holder of a thousand engines that has no time for
 * anything but their reports and their full status. */
static void
test_periods(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(period_cases); i++) {
        g_test_message("%s", period_cases[i].name);
        g_assert_cmpint(
            ch_publisher_get_full_period(16 * (int64_t)G_USEC_PER_SEC,
                                         period_cases[i].engines),
            ==, period_cases[i].full_ms * 1000);
        g_assert_cmpint(
            ch_publisher_get_report_period(1000000, period_cases[i].engines),
            ==, period_cases[i].report_ms * 1000);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/tell/fleets", test_nodes_per_publisher);
    g_test_add_func("/tell/edges", test_edge_cases);
    g_test_add_func("/tell/periods", test_periods);
    return g_test_run();
}
