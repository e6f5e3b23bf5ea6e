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
ch_entry_precedes_removal(const struct ch_entry_stamp *removed,
                          const struct ch_entry_stamp *offered)
{
    if (removed->write_count == 0 || removed->boot_id != offered->boot_id) {
        return offered->boot_id < removed->boot_id;
    }
    return offered->write_count <= removed->write_count;
}
