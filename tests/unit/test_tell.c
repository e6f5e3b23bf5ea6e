/* Who tells whom what engines hold and run, for fleets of several sizes. */

#include "decide/tell.h"

enum {
    MOST_CENTRES = 8,
    NO_LOSS = -1,
};

/* A fleet whose data centres take turns in two regions, and the most nodes
 * that one holder tells: with all holders, and with one of them lost. */
static const struct fleet_case {
    const char *name;
    unsigned nodes;
    unsigned centres;
    unsigned most;
    unsigned most_after_loss;
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

/* The rights of a fleet, but for one that is lost. */
static size_t
make_rights(const struct fleet_case *test, int lost,
            struct ch_tell_right *rights)
{
    size_t count = 0;
    for (unsigned i = 0; i < test->centres; i++) {
        if ((int)i != lost) {
            rights[count++] = (struct ch_tell_right){
                centre_name(i), holder_name(i), region_name(i)};
        }
    }
    return count;
}

/* The most nodes that one holder tells; each node is told, by a holder of its
 * own region as long as one is left. */
static unsigned
most_told(const struct fleet_case *test, int lost)
{
    struct ch_tell_right rights[MOST_CENTRES];
    size_t count = make_rights(test, lost, rights);
    unsigned told[MOST_CENTRES] = {0};
    unsigned most = 0;
    for (unsigned node = 0; node < test->nodes; node++) {
        unsigned centre = node % MAX(test->centres, 1U);
        GQuark teller = ch_tell_teller(rights, count, centre_name(centre),
                                       region_name(centre));
        bool near_left = false;
        bool near = false;
        g_assert_cmpuint(teller, !=, 0);
        for (unsigned i = 0; i < test->centres; i++) {
            bool same = i % 2 == centre % 2;
            near_left = near_left || (same && (int)i != lost);
            if (teller == holder_name(i)) {
                near = same;
                told[i]++;
                most = MAX(most, told[i]);
            }
        }
        g_assert_true(near || !near_left);
    }
    return most;
}

/* Load: fleets of 7 to 1,000 nodes, with every holder and with any one lost.
 * Harm prevented: a holder sends to the whole fleet; a node is told by nobody
 * as the holder of its data centre is gone. */
static void
test_fleets(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fleet_cases); i++) {
        const struct fleet_case *test = &fleet_cases[i];
        g_test_message("%s nodes", test->name);
        g_assert_cmpuint(most_told(test, NO_LOSS), <=, test->most);
        for (unsigned lost = 0; lost < test->centres; lost++) {
            g_assert_cmpuint(most_told(test, (int)lost), <=,
                             test->most_after_loss);
        }
    }
}

/* A holder of two data centres tells both; none tells when none is known. */
static void
test_edges(void)
{
    const struct ch_tell_right both[] = {
        {centre_name(0), holder_name(0), region_name(0)},
        {centre_name(1), holder_name(0), region_name(1)},
    };
    g_assert_cmpuint(ch_tell_teller(NULL, 0, centre_name(0), region_name(0)),
                     ==, 0);
    g_assert_cmpuint(ch_tell_teller(both, 2, centre_name(1), region_name(1)),
                     ==, holder_name(0));
    g_assert_cmpuint(ch_tell_teller(both, 2, centre_name(2), 0), ==,
                     holder_name(0));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/tell/fleets", test_fleets);
    g_test_add_func("/tell/edges", test_edges);
    return g_test_run();
}
