/* Orders to engines: when they are sent, and given up. */

#include "decide/order.h"

enum {
    /* A model goes when nothing waits at its engine any more, or so much later
     * all the same; microseconds. */
    MOST_PATIENCE = 750 * 1000,
    /* A load that no report shows as begun has failed. */
    LOAD_LOST = 1500 * 1000,
    /* What a report does not show this long after a change is so. */
    REPORT_LAGS = 1500 * 1000,
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

/*
 * See order.h.  Load: a node whose thread has no turn for a second or two
 * while its engines load.  Harm prevented: a report from within a load, or
 * just after it, is handled when the load is older than reports lag; the item
 * counts as lost, and is ordered or sought again.  So ages end when the report
 * was asked for: it tells of no later moment for certain.
 */
enum ch_report_news
ch_order_report(const struct ch_report_facts *facts)
{
    int64_t age = facts->asked - facts->changed;
    bool old = age > REPORT_LAGS;
    const struct ch_load_facts load = {
        .ordered = facts->ordered,
        .told = facts->told,
        .busy = facts->busy,
        .age = age,
    };
    switch (facts->state) {
    case CH_ITEM_RESIDENT:
        return !facts->there && old ? CH_REPORT_LOST : CH_REPORT_NOTHING;
    case CH_ITEM_LOADING:
        if (facts->there) {
            return CH_REPORT_LOADED;
        }
        return ch_order_load_lost(&load) ? CH_REPORT_LOST : CH_REPORT_NOTHING;
    case CH_ITEM_UNLOADING:
        if (!facts->there) {
            return CH_REPORT_UNLOADED;
        }
        return facts->ordered && old && !facts->busy ? CH_REPORT_STAYS
                                                     : CH_REPORT_NOTHING;
    default:
        return CH_REPORT_NOTHING;
    }
}
