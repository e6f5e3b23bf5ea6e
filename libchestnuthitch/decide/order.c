/* Orders to engines: when they are sent, and given up. */

#include "decide/order.h"

enum {
    /* A model goes when nothing waits at its engine any more, or so much later
     * all the same; microseconds. */
    MOST_PATIENCE = 750 * 1000,
    /* A load that no report shows as begun has failed. */
    LOAD_LOST = 1500 * 1000,
};

/*
 * See order.h.  Load: a model goes from an engine that has more requests than
 * slots.  Harm prevented: the engine turns away those that wait for the model,
 * which were sent before anybody knew that it goes; a stream among them that
 * goes on here would be cut off.  No new ones come, so that a little patience
 * is enough for most of them to begin.
 */
bool
ch_order_unload_waits(int64_t due, uint32_t waiting, int64_t now)
{
    return now < due || (waiting > 0 && now < due + MOST_PATIENCE);
}

/*
 * See order.h.  Load: a load fails, or a holder is lost while it makes room
 * for a model.  Harm prevented: its successor, who was told that the model
 * comes, waits for room that nobody makes any more, and the engine takes no
 * other change.  An engine that is not busy, and has taken no order since, is
 * loading no model.
 */
bool
ch_order_load_lost(const struct ch_load_facts *load)
{
    bool failed = load->ordered && load->age > LOAD_LOST;
    return !load->busy && (load->told || failed);
}
