/* Handle tables.  A handle is the index of a slot and the slot's generation,
 * so that a late message for a removed item finds nothing instead of the item
 * that uses the slot now. */

#include "base/base.h"

struct slot {
    void *item;
    uint32_t generation;
    uint32_t next_free;
};

enum {
    NO_SLOT = UINT32_MAX,
};

struct ch_table {
    GArray *slots;
    uint32_t first_free;
    size_t count;
};

/* An empty table.  The table has no lock; the owner's lock must protect it. */
struct ch_table *
ch_table_new(void)
{
    struct ch_table *table = g_new0(struct ch_table, 1);
    table->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
    table->first_free = (uint32_t)NO_SLOT;
    return table;
}

/* Frees the table, not the items. */
void
ch_table_free(struct ch_table *table)
{
    if (table == NULL) {
        return;
    }
    g_array_free(table->slots, TRUE);
    g_free(table);
}

/* Adds an item, which must not be NULL, and returns its handle, which is never
 * 0. */
uint64_t
ch_table_add(struct ch_table *table, void *item)
{
    uint32_t index = table->first_free;
    if (index == (uint32_t)NO_SLOT) {
        index = table->slots->len;
        g_array_set_size(table->slots, index + 1);
        g_array_index(table->slots, struct slot, index).generation = 1;
    }
    struct slot *slot = &g_array_index(table->slots, struct slot, index);
    if (slot->item == NULL && index == table->first_free) {
        table->first_free = slot->next_free;
    }
    slot->item = item;
    table->count++;
    return ((uint64_t)slot->generation << 32) | index;
}

/* The slot of a valid handle, or NULL. */
static struct slot *
find_slot(const struct ch_table *table, uint64_t handle)
{
    uint32_t index = (uint32_t)handle;
    if (index >= table->slots->len) {
        return NULL;
    }
    struct slot *slot = &g_array_index(table->slots, struct slot, index);
    if (slot->item == NULL || slot->generation != handle >> 32) {
        return NULL;
    }
    return slot;
}

/* The item, or NULL if it was removed. */
void *
ch_table_get(const struct ch_table *table, uint64_t handle)
{
    const struct slot *slot = find_slot(table, handle);
    return slot == NULL ? NULL : slot->item;
}

/* Removes the item and returns it; NULL if it was removed before. */
void *
ch_table_remove(struct ch_table *table, uint64_t handle)
{
    struct slot *slot = find_slot(table, handle);
    if (slot == NULL) {
        return NULL;
    }
    void *item = slot->item;
    slot->item = NULL;
    slot->generation++;
    slot->next_free = table->first_free;
    table->first_free = (uint32_t)handle;
    table->count--;
    return item;
}

/* The number of items. */
size_t
ch_table_get_count(const struct ch_table *table)
{
    return table->count;
}

/* Calls each for every item, in order of slots; the table must not change
 * during the calls. */
void
ch_table_foreach(const struct ch_table *table,
                 void (*each)(void *item, uint64_t handle, void *data),
                 void *data)
{
    for (uint32_t i = 0; i < table->slots->len; i++) {
        const struct slot *slot = &g_array_index(table->slots, struct slot, i);
        if (slot->item != NULL) {
            each(slot->item, ((uint64_t)slot->generation << 32) | i, data);
        }
    }
}
