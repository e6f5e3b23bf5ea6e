/* Who takes a duty, in fleets of hosts that are alike and that are not. */

#include "decide/rank.h"

enum {
    MOST = 300,
    KEYS = 40,
};

static const struct rank_case {
    const char *name;
    size_t count;
    size_t large; /* the first of them */
    uint32_t capacity_small;
    uint32_t capacity_large;
} rank_cases[] = {
    {"one alone", 1, 1, 0, 10},
    {"all alike", 7, 0, 250, 250},
    {"nobody told", 7, 0, 0, 0},
    {"few large ones", 295, 18, 2, 100},
    {"one large one", 49, 1, 2, 100},
    {"a little more is alike", 12, 4, 60, 100},
};

/* Ranks are a permutation, the same whoever works them out; where hosts
 * differ much the large ones come first, and each of them has its turn. */
static void
test_order(void)
{
    struct ch_rank_node nodes[MOST];
    for (size_t c = 0; c < G_N_ELEMENTS(rank_cases); c++) {
        const struct rank_case *test = &rank_cases[c];
        bool differ = test->capacity_small < test->capacity_large / 2;
        size_t firsts[MOST] = {0};
        g_test_message("%s", test->name);
        for (size_t i = 0; i < test->count; i++) {
            g_autofree char *name = g_strdup_printf("node-%zu", i);
            nodes[i].hash = ch_hash_string(name);
            nodes[i].capacity =
                i < test->large ? test->capacity_large : test->capacity_small;
        }
        for (uint64_t key = 0; key < KEYS; key++) {
            bool seen[MOST] = {false};
            for (size_t i = 0; i < test->count; i++) {
                size_t rank =
                    ch_rank_of(nodes, test->count, i, ch_hash_pair(key, 1));
                g_assert_cmpuint(rank, <, test->count);
                g_assert_false(seen[rank]);
                seen[rank] = true;
                g_assert_true(!differ ||
                              (rank < test->large) == (i < test->large));
                firsts[i] += rank == 0 ? 1 : 0;
            }
        }
        for (size_t i = 0; test->count < KEYS / 4 && i < test->count; i++) {
            g_assert_cmpuint(firsts[i], >, 0);
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
