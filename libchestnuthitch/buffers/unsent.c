/* The account of bytes that callers have not read yet. */

#include "buffers/buffers.h"

/* Adds an entry to the list. */
static void
link_entry(struct ch_unsent *unsent, struct ch_unsent_entry *entry)
{
    entry->previous = NULL;
    entry->next = unsent->first;
    if (unsent->first != NULL) {
        unsent->first->previous = entry;
    }
    unsent->first = entry;
    entry->listed = true;
    unsent->count++;
}

/* Removes an entry from the list. */
static void
unlink_entry(struct ch_unsent *unsent, struct ch_unsent_entry *entry)
{
    if (entry->previous != NULL) {
        entry->previous->next = entry->next;
    }
    else {
        unsent->first = entry->next;
    }
    if (entry->next != NULL) {
        entry->next->previous = entry->previous;
    }
    entry->previous = NULL;
    entry->next = NULL;
    entry->listed = false;
    unsent->count--;
}

/* See buffers.h. Entries without bytes are not listed, so that the search for
 * the largest one passes over the callers who keep up. */
void
ch_unsent_set(struct ch_unsent *unsent, struct ch_unsent_entry *entry,
              size_t bytes)
{
    if (entry->ended) {
        return;
    }
    unsent->bytes = unsent->bytes - entry->bytes + bytes;
    unsent->highest = MAX(unsent->highest, unsent->bytes);
    entry->bytes = bytes;
    if (bytes > 0 && !entry->listed) {
        link_entry(unsent, entry);
    }
    else if (bytes == 0 && entry->listed) {
        unlink_entry(unsent, entry);
    }
}

/* See buffers.h. */
void
ch_unsent_release(struct ch_unsent *unsent, struct ch_unsent_entry *entry)
{
    ch_unsent_set(unsent, entry, 0);
    entry->ended = true;
}

/* See buffers.h. */
struct ch_unsent_entry *
ch_unsent_choose(struct ch_unsent *unsent, size_t *bytes)
{
    struct ch_unsent_entry *largest = unsent->first;
    if (unsent->bytes <= unsent->bound || largest == NULL) {
        return NULL;
    }
    for (struct ch_unsent_entry *at = largest->next; at != NULL;
         at = at->next) {
        largest = at->bytes > largest->bytes ? at : largest;
    }
    *bytes = largest->bytes;
    ch_unsent_release(unsent, largest);
    return largest;
}
