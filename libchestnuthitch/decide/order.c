/* Orders to engines: when they are sent and when they are given up. */

#include "decide/order.h"

enum {
    /* Longest delay of an unload while requests are queued at the engine. */
    MAX_UNLOAD_DELAY_US = 750 * 1000,
    /* A load that no report shows for this long after the order has failed. */
    LOAD_FAILED_AFTER_US = 1500 * 1000,
    /* Reports may lag by this much: a change that a report requested later
     * than this still contradicts did not happen. */
    REPORT_LAG_US = 1500 * 1000,
};

/*
 * See order.h.  For an engine with more requests than batch slots, from which
 * a model is to be unloaded.  An unload rejects the requests that are queued
 * for the model, which were sent before any node knew of the unload, and cuts
 * off a stream that one of them resumes.  No new requests for the model
 * arrive, so that a short delay is enough for most of the queued ones to
 * start.
 */
bool
ch_order_should_delay_unload(int64_t due, uint32_t waiting, int64_t now)
{
    return now < due || (waiting > 0 && now < due + MAX_UNLOAD_DELAY_US);
}

/*
 * See order.h.  For a load that fails, and for a lease holder that is lost
 * while it frees memory for a model.  Its successor, which knows from a
 * message that the model is to be loaded, would wait forever for memory that
 * nobody frees, and the engine would accept no other change.  An engine that
 * is not busy, and has accepted no order since, is not loading a model.
 */
bool
ch_order_is_load_lost(const struct ch_load_status *load)
{
    bool order_failed = load->accepted && load->age > LOAD_FAILED_AFTER_US;
    return !load->busy && (load->from_peer || order_failed);
}

/*
 * See order.h.  For a node whose thread gets no processor time for a second or
 * two while its engines load.  A report from during a load or just after it is
 * then handled when the load is older than REPORT_LAG_US; the item would count
 * as lost and be ordered or looked for again.  So ages are computed up to the
 * time of the report's request: the report is certain to cover that moment,
 * but none after it.
 */
enum ch_report_outcome
ch_order_evaluate_report(const struct ch_report_comparison *facts)
{
    int64_t age = facts->requested_at - facts->changed_at;
    bool is_past_report_lag = age > REPORT_LAG_US;
    const struct ch_load_status load = {
        .accepted = facts->accepted,
        .from_peer = facts->from_peer,
        .busy = facts->busy,
        .age = age,
    };
    switch (facts->state) {
    case CH_ITEM_RESIDENT:
        return !facts->listed && is_past_report_lag ? CH_REPORT_LOST
                                                    : CH_REPORT_NO_CHANGE;
    case CH_ITEM_LOADING:
        if (facts->listed) {
            return CH_REPORT_LOADED;
        }
        return ch_order_is_load_lost(&load) ? CH_REPORT_LOST
                                            : CH_REPORT_NO_CHANGE;
    case CH_ITEM_UNLOADING:
        if (!facts->listed) {
            return CH_REPORT_UNLOADED;
        }
        return facts->accepted && is_past_report_lag && !facts->busy
                   ? CH_REPORT_UNLOAD_FAILED
                   : CH_REPORT_NO_CHANGE;
    default:
        return CH_REPORT_NO_CHANGE;
    }
}
