#ifndef CH_DECIDE_POLL_SCHEDULE_H
#define CH_DECIDE_POLL_SCHEDULE_H

/*
 * Schedule of a periodic job that many nodes share, where each node picks its
 * own times without asking the others.  No sockets, no clock, no threads.
 */

#include "base/base.h"

struct ch_poll_schedule {
    int64_t due_at; /* next run; 0: not scheduled yet */
    int64_t period; /* period that due_at was computed from */
};

/*
 * Whether the node runs the job now; if so, schedules the next run.  period:
 * microseconds in which each node runs once, from the number of nodes known
 * now; random: in [0, 1), a new value for each call; now: microseconds, above
 * 0.
 */
bool ch_poll_schedule_is_due(struct ch_poll_schedule *schedule, int64_t period,
                             double random, int64_t now);

#endif
