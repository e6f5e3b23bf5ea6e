#ifndef CH_DECIDE_LATE_H
#define CH_DECIDE_LATE_H

/*
 * What becomes of a request with which every engine that has its model would
 * begin too late: whether it waits for an engine that is loading the model, or
 * is refused at once, and when its caller may come back.  No sockets, no
 * clock, no threads.
 */

#include "decide/fleet.h"

struct ch_coming;

struct ch_coming *ch_coming_new(void);
void ch_coming_free(struct ch_coming *coming);

/* What an engine holds, and what it is loading or makes room for.  An engine
   that is gone holds and loads nothing. */
void ch_coming_told(struct ch_coming *coming, GQuark upstream,
                    const GQuark *models, size_t model_count,
                    const GQuark *loading, size_t loading_count, int64_t now);
/* When the first engine that is loading the model is likely to have it; 0:
   nobody is loading it. */
int64_t ch_coming_at(const struct ch_coming *coming, GQuark model,
                     int64_t now);

/* What is decided of a request that would be late. */
struct ch_late {
    bool waits;    /* else it is refused at once */
    int64_t until; /* it waits so long at most */
    int64_t back;  /* when its caller may come back, from now */
};

/* Whether an engine that needs this long until the first of its answer would
   begin with a request when its caller has given up. */
bool ch_late_is(const struct ch_work *work, int64_t expected, int64_t now);
/* there: as ch_coming_at() says. */
struct ch_late ch_late_decide(const struct ch_work *work, int64_t expected,
                              int64_t there, int64_t now);

#endif
