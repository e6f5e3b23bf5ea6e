/* Sliding windows: a number that may be begun in any span of time. */

#include "decide/window.h"

/* A window in which nothing was begun yet. */
void
ch_window_init(struct ch_window *window, int64_t span)
{
    window->span = span;
    window->begun = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

/* Frees what it holds. */
void
ch_window_clear(struct ch_window *window)
{
    g_array_free(window->begun, TRUE);
    window->begun = NULL;
}

/* See window.h.  For who takes over from another whose use is not known: it
 * gets one after the other, as the former one's share runs out. */
void
ch_window_assume_used(struct ch_window *window, unsigned most, int64_t now)
{
    g_array_set_size(window->begun, 0);
    for (unsigned i = 0; i < most; i++) {
        int64_t begun = now - window->span + window->span * (i + 1) / most;
        g_array_append_val(window->begun, begun);
    }
}

/* Forgets what was begun before the span. */
static void
forget_old(struct ch_window *window, int64_t now)
{
    guint old = 0;
    while (old < window->begun->len &&
           g_array_index(window->begun, int64_t, old) + window->span <= now) {
        old++;
    }
    g_array_remove_range(window->begun, 0, old);
}

/* See window.h. */
unsigned
ch_window_left(struct ch_window *window, unsigned most, int64_t now)
{
    forget_old(window, now);
    return window->begun->len < most ? most - window->begun->len : 0;
}

/*
 * See window.h.  Load: loads that were decided seconds ago and had to wait for
 * room, beside new ones.  Harm prevented: more of them begin in one span than
 * may, as each counted from its decision.
 */
bool
ch_window_begin(struct ch_window *window, unsigned most, int64_t taken,
                int64_t now)
{
    forget_old(window, now);
    for (guint i = 0; i < window->begun->len; i++) {
        if (g_array_index(window->begun, int64_t, i) == taken) {
            g_array_remove_index(window->begun, i);
            g_array_append_val(window->begun, now);
            return true;
        }
    }
    if (window->begun->len >= most) {
        return false;
    }
    g_array_append_val(window->begun, now);
    return true;
}

/* See window.h. */
void
ch_window_take(struct ch_window *window, int64_t now)
{
    g_array_append_val(window->begun, now);
}
