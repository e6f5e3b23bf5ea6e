/* Sliding-window rate limits. */

#include "decide/window.h"

/* Starts with an empty window. */
void
ch_window_init(struct ch_window *window, int64_t span)
{
    window->span = span;
    window->starts = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

/* Frees the list of starts. */
void
ch_window_clear(struct ch_window *window)
{
    g_array_free(window->starts, TRUE);
    window->starts = NULL;
}

/* See window.h. Used by a node that takes over from another one whose starts
 * are unknown: it may start operations one by one, as the other node's starts
 * leave the span. */
void
ch_window_assume_full(struct ch_window *window, unsigned limit, int64_t now)
{
    g_array_set_size(window->starts, 0);
    for (unsigned i = 0; i < limit; i++) {
        int64_t started_at =
            now - window->span + window->span * (i + 1) / limit;
        g_array_append_val(window->starts, started_at);
    }
}

/* Removes the starts that have left the span. */
static void
remove_expired(struct ch_window *window, int64_t now)
{
    guint expired = 0;
    while (expired < window->starts->len &&
           g_array_index(window->starts, int64_t, expired) + window->span <=
               now) {
        expired++;
    }
    g_array_remove_range(window->starts, 0, expired);
}

/* See window.h. */
unsigned
ch_window_count_left(struct ch_window *window, unsigned limit, int64_t now)
{
    remove_expired(window, now);
    return window->starts->len < limit ? limit - window->starts->len : 0;
}

/* See window.h. A load may have been decided seconds ago and have had to wait
 * for free memory, while new loads are decided. If each counted from its
 * decision, more of them could start in one span than the limit allows. */
bool
ch_window_start_reserved(struct ch_window *window, unsigned limit,
                         int64_t reserved_at, int64_t now)
{
    remove_expired(window, now);
    for (guint i = 0; i < window->starts->len; i++) {
        if (g_array_index(window->starts, int64_t, i) == reserved_at) {
            g_array_remove_index(window->starts, i);
            g_array_append_val(window->starts, now);
            return true;
        }
    }
    if (window->starts->len >= limit) {
        return false;
    }
    g_array_append_val(window->starts, now);
    return true;
}

/* See window.h. */
void
ch_window_record_start(struct ch_window *window, int64_t now)
{
    g_array_append_val(window->starts, now);
}
