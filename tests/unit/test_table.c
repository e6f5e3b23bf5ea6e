/* Handle tables: a handle finds its own item or NULL. */

#include "base/base.h"

/* A late message carries the handle of an item that was removed.  Another item
 * may use the slot by then; the stale handle must not find that item. */
static void
test_stale_handle(void)
{
    struct ch_table *table = ch_table_new();
    int items[2];
    uint64_t first = ch_table_add(table, &items[0]);
    g_assert_cmpuint(first, !=, 0);
    g_assert_true(ch_table_get(table, first) == &items[0]);
    g_assert_true(ch_table_remove(table, first) == &items[0]);
    g_assert_null(ch_table_remove(table, first));
    uint64_t second = ch_table_add(table, &items[1]);
    g_assert_cmpuint((uint32_t)second, ==, (uint32_t)first);
    g_assert_null(ch_table_get(table, first));
    g_assert_true(ch_table_get(table, second) == &items[1]);
    ch_table_free(table);
}

/* Handles that the table never returned find nothing. */
static void
test_unknown_handles(void)
{
    static const uint64_t handles[] = {
        0, 1, UINT32_MAX, UINT64_MAX, UINT64_C(1) << 32, UINT64_C(2) << 32};
    struct ch_table *table = ch_table_new();
    int item;
    (void)ch_table_remove(table, ch_table_add(table, &item));
    for (size_t i = 0; i < G_N_ELEMENTS(handles); i++) {
        g_assert_null(ch_table_get(table, handles[i]));
        g_assert_null(ch_table_remove(table, handles[i]));
    }
    g_assert_cmpuint(ch_table_get_count(table), ==, 0);
    ch_table_free(table);
}

/* Checks that the item belongs to the handle and counts the item. */
static void
count_item(void *item, uint64_t handle, void *data)
{
    size_t *count = data;
    g_assert_cmpuint(*(uint64_t *)item, ==, handle);
    (*count)++;
}

/* Many adds and removes in a random order with a fixed seed: every valid
 * handle finds its item, and an iteration visits every item once. */
static void
test_random_adds_and_removes(void)
{
    enum {
        ITEMS = 500,
        ROUNDS = 20000
    };
    /* Each item holds its own handle; 0: it is not in the table. */
    uint64_t items[ITEMS] = {0};
    size_t live_count = 0;
    GRand *rand = g_rand_new_with_seed(7);
    struct ch_table *table = ch_table_new();
    for (int i = 0; i < ROUNDS; i++) {
        uint64_t *item = &items[g_rand_int_range(rand, 0, ITEMS)];
        if (*item == 0) {
            *item = ch_table_add(table, item);
            live_count++;
            continue;
        }
        g_assert_true(ch_table_get(table, *item) == item);
        g_assert_true(ch_table_remove(table, *item) == item);
        *item = 0;
        live_count--;
    }
    size_t visited = 0;
    ch_table_foreach(table, count_item, &visited);
    g_assert_cmpuint(visited, ==, live_count);
    g_assert_cmpuint(ch_table_get_count(table), ==, live_count);
    ch_table_free(table);
    g_rand_free(rand);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/table/stale", test_stale_handle);
    g_test_add_func("/table/foreign", test_unknown_handles);
    g_test_add_func("/table/many", test_random_adds_and_removes);
    return g_test_run();
}
