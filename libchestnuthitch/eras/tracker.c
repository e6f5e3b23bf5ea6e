/* The era of the key-value store, as its responses state it. */

#include "eras/eras.h"

/* See eras.h. */
uint64_t
ch_era_join(uint64_t era, uint64_t number)
{
    bool fits = era <= CH_ERA_MAX && number >> CH_ERA_NUMBER_BITS == 0;
    return fits && number != 0 ? era << CH_ERA_NUMBER_BITS | number : 0;
}

/* See eras.h. */
uint64_t
ch_era_get_era(uint64_t joined)
{
    return joined >> CH_ERA_NUMBER_BITS;
}

/* See eras.h. */
uint64_t
ch_era_get_number(uint64_t joined)
{
    return joined & ((UINT64_C(1) << CH_ERA_NUMBER_BITS) - 1);
}

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
