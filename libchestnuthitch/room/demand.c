/* The engine time that this node's callers ask of one model, by rank and team.
 */

#include "room/room.h"

enum {
    SLICE_US = 100 * 1000,
    WINDOW_SLICES = 10, /* the window is one second long */
    SLOTS = WINDOW_SLICES + 1,
};

/* Work that was asked for in one slice of time, in microseconds. */
struct slot {
    int64_t slice; /* time divided by SLICE_US */
    double work;
    double short_work;
};

struct pair {
    uint32_t rank;
    uint64_t team;
    struct slot slots[SLOTS];
};

struct ch_room_window {
    GArray *pairs; /* struct pair */
};

/* Starts without demand. */
struct ch_room_window *
ch_room_window_new(void)
{
    struct ch_room_window *window = g_new0(struct ch_room_window, 1);
    window->pairs = g_array_new(FALSE, FALSE, sizeof(struct pair));
    return window;
}

/* Frees the window; NULL is allowed. */
void
ch_room_window_free(struct ch_room_window *window)
{
    if (window != NULL) {
        g_array_free(window->pairs, TRUE);
        g_free(window);
    }
}

/* Sums up the slots of the last second. Only the part of the oldest slot that
 * still lies in that second counts. */
static struct ch_room_use
sum_slots(const struct pair *pair, int64_t now)
{
    struct ch_room_use use = {0, 0};
    int64_t current = now / SLICE_US;
    double oldest_weight = 1 - (double)(now % SLICE_US) / SLICE_US;
    for (size_t i = 0; i < SLOTS; i++) {
        const struct slot *slot = &pair->slots[i];
        int64_t age = current - slot->slice;
        if (age < 0 || age > WINDOW_SLICES) {
            continue;
        }
        double weight = age == WINDOW_SLICES ? oldest_weight : 1;
        use.work += weight * slot->work / G_USEC_PER_SEC;
        use.short_work += weight * slot->short_work / G_USEC_PER_SEC;
    }
    return use;
}

static struct pair *
find_pair(const struct ch_room_window *window, uint32_t rank, uint64_t team)
{
    for (guint i = 0; i < window->pairs->len; i++) {
        struct pair *pair = &g_array_index(window->pairs, struct pair, i);
        if (pair->rank == rank && pair->team == team) {
            return pair;
        }
    }
    return NULL;
}

/* Removes the pairs without demand in the window. */
static void
remove_idle(struct ch_room_window *window, int64_t now)
{
    for (guint i = window->pairs->len; i > 0; i--) {
        const struct pair *pair =
            &g_array_index(window->pairs, struct pair, i - 1);
        if (sum_slots(pair, now).work <= 0) {
            g_array_remove_index_fast(window->pairs, i - 1);
        }
    }
}

/* Returns the pair of a request; NULL if there are too many pairs, whose
 * requests are then not counted. */
static struct pair *
find_or_add_pair(struct ch_room_window *window,
                 const struct ch_room_request *request, int64_t now)
{
    struct pair *pair = find_pair(window, request->rank, request->team);
    if (pair != NULL) {
        return pair;
    }
    if (window->pairs->len >= CH_ROOM_MAX_PAIRS) {
        remove_idle(window, now);
    }
    if (window->pairs->len >= CH_ROOM_MAX_PAIRS) {
        return NULL;
    }
    const struct pair added = {.rank = request->rank, .team = request->team};
    g_array_append_val(window->pairs, added);
    return &g_array_index(window->pairs, struct pair, window->pairs->len - 1);
}

/* Returns the slot of the present slice, emptied if it is of an earlier one.
 */
static struct slot *
get_slot(struct pair *pair, int64_t now)
{
    int64_t slice = now / SLICE_US;
    struct slot *slot = &pair->slots[slice % SLOTS];
    if (slot->slice != slice) {
        *slot = (struct slot){.slice = slice};
    }
    return slot;
}

/* See room.h. */
void
ch_room_window_add(struct ch_room_window *window,
                   const struct ch_room_request *request, int64_t now)
{
    struct pair *pair = find_or_add_pair(window, request, now);
    if (pair != NULL) {
        get_slot(pair, now)->work += (double)MAX(request->work, 0);
    }
}

/* See room.h. */
void
ch_room_window_add_short(struct ch_room_window *window,
                         const struct ch_room_request *request, int64_t now)
{
    struct pair *pair = find_pair(window, request->rank, request->team);
    if (pair != NULL) {
        get_slot(pair, now)->short_work += (double)MAX(request->work, 0);
    }
}

/* See room.h. */
void
ch_room_window_get(const struct ch_room_window *window, int64_t now,
                   GArray *out)
{
    for (guint i = 0; i < window->pairs->len; i++) {
        const struct pair *pair =
            &g_array_index(window->pairs, struct pair, i);
        const struct ch_room_demand demand = {pair->rank, pair->team,
                                              sum_slots(pair, now).work};
        if (demand.work > 0) {
            g_array_append_val(out, demand);
        }
    }
}

/* See room.h. */
struct ch_room_use
ch_room_window_get_use(const struct ch_room_window *window, uint32_t rank,
                       uint64_t team, int64_t now)
{
    const struct pair *pair = find_pair(window, rank, team);
    return pair == NULL ? (struct ch_room_use){0, 0} : sum_slots(pair, now);
}
