/* Schedule of a periodic job shared by many nodes. */

#include "decide/poll_schedule.h"

/*
 * The next run is scheduled anew when the period has grown or shrunk by this
 * factor since the last schedule.  A node that has just started knows no other
 * node; if it kept the time computed from the period of a single node, it
 * would run together with all other nodes that started then.
 */
static const double PERIOD_GROWTH_FACTOR = 1.1;
static const double PERIOD_SHRINK_FACTOR = 0.9;
/* Part of the period by which a run is moved earlier or later.  This is enough
 * for nodes that once ran together to drift apart, and little enough that no
 * node misses its run. */
static const double JITTER_FRACTION = 0.25;

/*
 * See poll_schedule.h.  For hundreds of nodes that start within a second, or
 * are replaced one by one.  Otherwise all nodes would run in the same second
 * and none for a whole period after that, in which a change goes unnoticed.
 */
bool
ch_poll_schedule_is_due(struct ch_poll_schedule *schedule, int64_t period,
                        double random, int64_t now)
{
    double change = (double)period / (double)MAX(schedule->period, 1);
    if (schedule->due_at == 0 || change > PERIOD_GROWTH_FACTOR ||
        change < PERIOD_SHRINK_FACTOR) {
        schedule->period = period;
        schedule->due_at = now + (int64_t)(random * (double)period);
    }
    if (now < schedule->due_at) {
        return false;
    }
    schedule->due_at =
        now + (int64_t)((1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random) *
                        (double)period);
    return true;
}
