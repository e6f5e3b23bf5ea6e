/* Which nodes take a role, in fleets of similar and of different hosts. */

#include "decide/rank.h"

enum {
    MAX_NODES = 300,
    KEY_COUNT = 40,
};

static const struct rank_case {
    const char *name;
    size_t count;
    size_t large_count; /* number of large hosts, which come first */
    uint32_t small_capacity;
    uint32_t large_capacity;
} rank_cases[] = {
    {"a single node", 1, 1, 0, 10},
    {"equal capacities", 7, 0, 250, 250},
    {"no capacity known", 7, 0, 0, 0},
    {"few large hosts", 295, 18, 2, 100},
    {"one large host", 49, 1, 2, 100},
    {"a small difference counts as equal", 12, 4, 60, 100},
};

/* Ranks are a permutation, and the same whichever node computes them.  Where
 * capacities differ by more than a factor of two, large hosts come first.  In
 * small fleets each host is the first for some key. */
static void
test_order(void)
{
    struct ch_rank_node nodes[MAX_NODES];
    for (size_t c = 0; c < G_N_ELEMENTS(rank_cases); c++) {
        const struct rank_case *test = &rank_cases[c];
        bool capacities_differ =
            test->small_capacity < test->large_capacity / 2;
        size_t first_count[MAX_NODES] = {0};
        g_test_message("%s", test->name);
        for (size_t i = 0; i < test->count; i++) {
            g_autofree char *name = g_strdup_printf("node-%zu", i);
            nodes[i].hash = ch_hash_string(name);
            nodes[i].capacity = i < test->large_count ? test->large_capacity
                                                      : test->small_capacity;
        }
        for (uint64_t key = 0; key < KEY_COUNT; key++) {
            bool seen[MAX_NODES] = {false};
            for (size_t i = 0; i < test->count; i++) {
                size_t rank = ch_rank_for_role(nodes, test->count, i,
                                               ch_hash_pair(key, 1));
                g_assert_cmpuint(rank, <, test->count);
                g_assert_false(seen[rank]);
                seen[rank] = true;
                g_assert_true(!capacities_differ ||
                              (rank < test->large_count) ==
                                  (i < test->large_count));
                first_count[i] += rank == 0 ? 1 : 0;
            }
        }
        for (size_t i = 0; test->count < KEY_COUNT / 4 && i < test->count;
             i++) {
            g_assert_cmpuint(first_count[i], >, 0);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/rank/order", test_order);
    return g_test_run();
}
