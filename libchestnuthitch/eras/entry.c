/* Which of two entries of one owner is older, where the store's revisions do
 * not tell. */

#include "eras/eras.h"

/* See eras.h. */
bool
ch_entry_is_older(const struct ch_entry_stamp *known,
                  const struct ch_entry_stamp *offered)
{
    if (known->boot_id != offered->boot_id) {
        return offered->boot_id < known->boot_id;
    }
    return offered->write_count < known->write_count ||
           (known->draining && !offered->draining);
}

/* See eras.h. */
bool
ch_entry_is_of_the_gone(const struct ch_entry_stamp *gone,
                        const struct ch_entry_stamp *offered)
{
    if (gone->write_count == 0 || gone->boot_id != offered->boot_id) {
        return offered->boot_id < gone->boot_id;
    }
    return offered->write_count <= gone->write_count;
}
