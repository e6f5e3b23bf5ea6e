#ifndef CH_DECIDE_WINDOW_H
#define CH_DECIDE_WINDOW_H

/*
 * How much may be begun in any span of time: all of it at once where nothing
 * was begun lately.  No clock, no threads.
 */

#include <glib.h>
#include <stdbool.h>

struct ch_window {
    int64_t span;  /* microseconds */
    GArray *begun; /* int64_t, the oldest first */
};

void ch_window_init(struct ch_window *window, int64_t span);
void ch_window_clear(struct ch_window *window);
/* As though `most` had been begun evenly over the span before now. */
void ch_window_assume_used(struct ch_window *window, unsigned most,
                           int64_t now);
/* How many of `most` may be begun now. */
unsigned ch_window_left(struct ch_window *window, unsigned most, int64_t now);
/* What was taken at `taken` begins only now, of `most` in a span: it counts
   from now on in place of then.  False: then is out of the span by now, and no
   other may be begun. */
bool ch_window_begin(struct ch_window *window, unsigned most, int64_t taken,
                     int64_t now);
/* One is begun. */
void ch_window_take(struct ch_window *window, int64_t now);

#endif
