/* The request queue of an upstream, ordered by rank. */

#include "decide/home.h"

void
ch_queue_init(struct ch_queue *queue)
{
    queue->entries = g_array_new(FALSE, FALSE, sizeof(struct ch_queue_entry));
}

/* Frees the queue's memory; the entries own nothing. */
void
ch_queue_clear(struct ch_queue *queue)
{
    g_array_unref(queue->entries);
    queue->entries = NULL;
}

/* Inserts the entry behind all entries of the same rank. */
void
ch_queue_add(struct ch_queue *queue, const struct ch_queue_entry *entry)
{
    guint low = 0;
    guint high = queue->entries->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        if (ch_queue_get(queue, middle)->rank <= entry->rank) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    g_array_insert_val(queue->entries, low, *entry);
}

/* Returns the index of a request in the queue, or -1 if it isn't queued. */
int
ch_queue_find(const struct ch_queue *queue, uint64_t request_id)
{
    for (guint i = 0; i < queue->entries->len; i++) {
        if (ch_queue_get(queue, i)->request.id == request_id) {
            return (int)i;
        }
    }
    return -1;
}

/* Returns the entry at an index.  The pointer is valid until the queue
 * changes. */
struct ch_queue_entry *
ch_queue_get(const struct ch_queue *queue, guint index)
{
    return &g_array_index(queue->entries, struct ch_queue_entry, index);
}

/* Removes the entry at an index. */
void
ch_queue_remove(struct ch_queue *queue, guint index)
{
    g_array_remove_index(queue->entries, index);
}
