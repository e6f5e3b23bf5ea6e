/* The era of the key-value store, as its responses state it. */

#include "eras/eras.h"

/* See eras.h. */
bool
ch_era_parse(const char *text, uint64_t *era)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &number, NULL)) {
        return false;
    }
    *era = number;
    return true;
}

/* See eras.h. */
enum ch_era_order
ch_era_tracker_observe(struct ch_era_tracker *tracker,
                       const struct ch_era_tracker *sent, uint64_t era)
{
    if (!tracker->known || era > tracker->era) {
        tracker->returns += tracker->known ? 1 : 0;
        tracker->known = true;
        tracker->era = era;
    }
    if (era < tracker->era) {
        return CH_ERA_EARLIER;
    }
    return sent->known && era > sent->era ? CH_ERA_LATER : CH_ERA_SAME;
}
