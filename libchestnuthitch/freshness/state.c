/* The age of a node's copy of a list. */

#include "freshness/freshness.h"

/* See freshness.h. */
void
ch_freshness_init(struct ch_freshness *freshness, int64_t bound)
{
    *freshness = (struct ch_freshness){.bound = bound};
}

/* See freshness.h. */
void
ch_freshness_confirm(struct ch_freshness *freshness, int64_t at)
{
    freshness->confirmed_at = MAX(freshness->confirmed_at, at);
}

/* See freshness.h. */
int64_t
ch_freshness_get_age(const struct ch_freshness *freshness, int64_t now)
{
    return freshness->confirmed_at == 0
               ? G_MAXINT64
               : MAX(now - freshness->confirmed_at, 0);
}

/* See freshness.h. */
bool
ch_freshness_update_late(struct ch_freshness *freshness, int64_t now)
{
    bool was_late = freshness->is_late;
    freshness->is_late =
        freshness->confirmed_at != 0 &&
        ch_freshness_get_age(freshness, now) > freshness->bound;
    return freshness->is_late != was_late;
}

/* See freshness.h. */
int64_t
ch_freshness_get_watch_time(int64_t sent_at, int64_t wait, bool has_changes,
                            int64_t now)
{
    return has_changes || now < sent_at + wait ? sent_at : sent_at + wait;
}
