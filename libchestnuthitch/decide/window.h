#ifndef CH_DECIDE_WINDOW_H
#define CH_DECIDE_WINDOW_H

/* A sliding-window rate limit: how many operations may start in any span of
 * time. All of them may start at once if none started lately. No clock, no
 * threads. */

#include <glib.h>
#include <stdbool.h>

struct ch_window {
    int64_t span;   /* microseconds */
    GArray *starts; /* int64_t times in ascending order */
};

void ch_window_init(struct ch_window *window, int64_t span);
void ch_window_clear(struct ch_window *window);
/* Sets the window as though `limit` operations had started evenly over the
 * span before now. */
void ch_window_assume_full(struct ch_window *window, unsigned limit,
                           int64_t now);
/* Returns how many operations may start now, of `limit` per span. */
unsigned ch_window_count_left(struct ch_window *window, unsigned limit,
                              int64_t now);
/* Starts an operation that was recorded at `reserved_at`: it counts from now
 * on instead of from then. Returns false, without a start, if that record has
 * left the span and `limit` operations have started since. */
bool ch_window_start_reserved(struct ch_window *window, unsigned limit,
                              int64_t reserved_at, int64_t now);
/* Records that an operation starts now. */
void ch_window_record_start(struct ch_window *window, int64_t now);

#endif
