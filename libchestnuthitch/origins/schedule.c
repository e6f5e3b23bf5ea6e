/* When a process writes its item. */

#include "origins/origins.h"

enum {
    /* A stream that is lost with all nodes within this time of its call has no
     * origin. Engines take some hundred milliseconds to the first event. */
    MIN_PERIOD_US = 200 * 1000,
    /* Writes a second of all nodes together. Stores take some hundred in small
     * fleets and some thousand in large ones, for all purposes. */
    MAX_FLEET_WRITES_PER_S = 200,
};

/* See origins.h. */
int64_t
ch_origins_get_period(size_t node_count)
{
    return MAX((int64_t)node_count * G_USEC_PER_SEC / MAX_FLEET_WRITES_PER_S,
               MIN_PERIOD_US);
}

/* See origins.h. */
int64_t
ch_origins_schedule_get_delay(const struct ch_origins_schedule *schedule,
                              size_t node_count, int64_t now)
{
    if (!schedule->is_mixed || !schedule->is_changed) {
        return -1;
    }
    if (schedule->written_at == 0) {
        return 0;
    }
    return MAX(schedule->written_at + ch_origins_get_period(node_count) - now,
               0);
}
