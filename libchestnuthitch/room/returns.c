/*
 * When refused callers may return. Guards against callers who all return at
 * the same time, which makes the next shortage, and against callers who
 * return so early that they are refused again.
 */

#include "room/room.h"

enum {
    /* The levels of admission change as often. */
    MIN_RETURN_US = 200 * 1000,
    MAX_RETURN_US = 10 * 1000 * 1000,
    /* A caller is asked to wait for this fraction of the time that it has
     * left: one that returns later could not get its response in time. */
    REMAINING_DIVISOR = 3,
};

/* Work can't be promised faster than this, in seconds per second. */
static const double MIN_SPARE = 0.001;

/* The time up to which returns of one rank are promised. */
struct promise {
    uint32_t rank;
    int64_t until;
};

struct ch_room_returns {
    GArray *promises; /* struct promise */
};

/* Starts without promises. */
struct ch_room_returns *
ch_room_returns_new(void)
{
    struct ch_room_returns *returns = g_new0(struct ch_room_returns, 1);
    returns->promises = g_array_new(FALSE, FALSE, sizeof(struct promise));
    return returns;
}

/* Frees the promises; NULL is allowed. */
void
ch_room_returns_free(struct ch_room_returns *returns)
{
    if (returns != NULL) {
        g_array_free(returns->promises, TRUE);
        g_free(returns);
    }
}

/* Removes what is over, and returns the latest time that was promised to this
 * rank or a more urgent one. */
static int64_t
find_latest(struct ch_room_returns *returns, uint32_t rank, int64_t now)
{
    int64_t latest = 0;
    for (guint i = returns->promises->len; i > 0; i--) {
        const struct promise *promise =
            &g_array_index(returns->promises, struct promise, i - 1);
        if (promise->until <= now) {
            g_array_remove_index_fast(returns->promises, i - 1);
        }
        else if (promise->rank <= rank) {
            latest = MAX(latest, promise->until);
        }
    }
    return latest;
}

static void
set_promise(struct ch_room_returns *returns, uint32_t rank, int64_t until)
{
    const struct promise added = {rank, until};
    for (guint i = 0; i < returns->promises->len; i++) {
        struct promise *promise =
            &g_array_index(returns->promises, struct promise, i);
        if (promise->rank == rank) {
            promise->until = until;
            return;
        }
    }
    if (returns->promises->len < CH_ROOM_MAX_PAIRS) {
        g_array_append_val(returns->promises, added);
    }
}

/*
 * See room.h. Each promise takes the time that the spare room needs for the
 * request. A caller who can't wait as long as those before it returns in the
 * second half of the time that it has, at a moment that differs for each
 * request, and takes nothing of what was promised.
 */
int64_t
ch_room_returns_promise(struct ch_room_returns *returns,
                        const struct ch_room_request *request, double spare,
                        int64_t now)
{
    int64_t longest =
        request->remaining > 0
            ? MIN(request->remaining / REMAINING_DIVISOR, MAX_RETURN_US)
            : MAX_RETURN_US;
    int64_t start =
        MAX(find_latest(returns, request->rank, now), now + MIN_RETURN_US);
    if (start - now > longest) {
        int64_t half = longest / 2;
        uint64_t point = ch_hash_pair(request->id, request->rank) % 1024;
        return half + (longest - half) * (int64_t)point / 1024;
    }
    double work = (double)MAX(request->work, 0) / MAX(spare, MIN_SPARE);
    set_promise(returns, request->rank,
                start + (int64_t)MIN(work, MAX_RETURN_US));
    return start - now;
}
