/*
 * Which part of the demand for a model is admitted while its engines can't do
 * all of it. Guards against a team or a class that takes the room of others by
 * sending more.
 */

#include "room/room.h"

enum {
    /* A report counts for this long: one lost message is bridged, and a node
     * that is frozen or dead stops to count. */
    REPORT_EXPIRY_US = 600 * 1000,
    /* A node that begins to count divides nothing until each member has had
     * the time for two reports, as it would take the demand of few for that of
     * all. */
    SETTLE_US = 400 * 1000,
    /* Shortest time that a model counts as short of room, so that the nodes
     * have received a level before it ends. */
    MIN_SHORT_US = 1000 * 1000,
};

/* A model is short of room from this part of the room on ... */
static const double SHORT_SHARE = 1.0;
/* ... until its demand is below this one. Refused callers return, so that the
 * demand varies around the room. */
static const double ENOUGH_SHARE = 0.85;
/* Part of the room that is given out. The rest shortens the queues at the
 * engines, until requests find an upstream in time again, which are always
 * sent; so nothing of the room stays unused. */
static const double GIVEN_SHARE = 0.95;

/* ---- division ---- */

/* Orders demands by rank, then the smaller ones first. */
static gint
compare_demands(gconstpointer a, gconstpointer b)
{
    const struct ch_room_demand *first = a;
    const struct ch_room_demand *second = b;
    if (first->rank != second->rank) {
        return first->rank < second->rank ? -1 : 1;
    }
    return (first->work > second->work) - (first->work < second->work);
}

/* The number of demands of the same rank from this one on. */
static guint
count_same_rank(const GArray *sorted, guint index)
{
    guint end = index;
    uint32_t rank = g_array_index(sorted, struct ch_room_demand, index).rank;
    while (end < sorted->len &&
           g_array_index(sorted, struct ch_room_demand, end).rank == rank) {
        end++;
    }
    return end - index;
}

/* See room.h. The smallest demands of a rank come first: each gets an equal
 * part of what is left at most, so that what it does not need is left for the
 * larger ones. */
void
ch_room_divide(const GArray *demands, double room, GArray *out)
{
    GArray *sorted = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    double left = MAX(room, 0);
    if (demands->len > 0) {
        g_array_append_vals(sorted, demands->data, demands->len);
    }
    g_array_sort(sorted, compare_demands);
    for (guint i = 0; i < sorted->len; i++) {
        const struct ch_room_demand *demand =
            &g_array_index(sorted, struct ch_room_demand, i);
        double given = MIN(demand->work, left / count_same_rank(sorted, i));
        const struct ch_room_share share = {
            demand->rank,
            demand->team,
            demand->work > 0 ? given / demand->work : 1,
        };
        left -= given;
        g_array_append_val(out, share);
    }
    g_array_free(sorted, TRUE);
}

/* See room.h. Without room nobody knows the engines, and nothing is refused.
 */
bool
ch_room_state_update(struct ch_room_state *state, double demand, double room,
                     int64_t now)
{
    bool is_short = state->short_of_room;
    if (!is_short) {
        is_short = room > 0 && demand >= SHORT_SHARE * room;
    }
    else if (now - state->changed_at >= MIN_SHORT_US) {
        is_short = room > 0 && demand >= ENOUGH_SHARE * room;
    }
    if (is_short == state->short_of_room) {
        return false;
    }
    *state = (struct ch_room_state){is_short, now};
    return true;
}

/* ---- the count of all nodes' demand ---- */

/* The last report of one node. */
struct room_member {
    GQuark node;
    int64_t heard_at;
    GArray *demands; /* struct ch_room_demand */
    double room;
};

static void
clear_member(void *data)
{
    g_array_free(((struct room_member *)data)->demands, TRUE);
}

/* Starts without members. */
void
ch_room_count_init(struct ch_room_count *count)
{
    *count = (struct ch_room_count){
        .members = g_array_new(FALSE, FALSE, sizeof(struct room_member)),
        .shares = g_array_new(FALSE, FALSE, sizeof(struct ch_room_share)),
    };
    g_array_set_clear_func(count->members, clear_member);
}

/* Frees what the count holds. */
void
ch_room_count_clear(struct ch_room_count *count)
{
    g_array_free(count->members, TRUE);
    g_array_free(count->shares, TRUE);
}

static struct room_member *
find_member(const struct ch_room_count *count, GQuark node)
{
    for (guint i = 0; i < count->members->len; i++) {
        struct room_member *member =
            &g_array_index(count->members, struct room_member, i);
        if (member->node == node) {
            return member;
        }
    }
    return NULL;
}

/* See room.h. */
GQuark
ch_room_count_get_member(const struct ch_room_count *count, guint index)
{
    return g_array_index(count->members, struct room_member, index).node;
}

/* See room.h. */
void
ch_room_count_hear(struct ch_room_count *count, GQuark node,
                   const GArray *demands, double room, int64_t now)
{
    struct room_member *member = find_member(count, node);
    if (count->members->len == 0) {
        count->since = now;
    }
    if (member == NULL) {
        const struct room_member added = {
            .node = node,
            .demands =
                g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand)),
        };
        g_array_append_val(count->members, added);
        member = find_member(count, node);
    }
    member->heard_at = now;
    member->room = room;
    g_array_set_size(member->demands, 0);
    if (demands->len > 0) {
        g_array_append_vals(member->demands, demands->data, demands->len);
    }
}

/* Removes the members whose last report has expired. */
static void
remove_expired(struct ch_room_count *count, int64_t now)
{
    count->oldest_report = 0;
    for (guint i = count->members->len; i > 0; i--) {
        int64_t age =
            now -
            g_array_index(count->members, struct room_member, i - 1).heard_at;
        if (age > REPORT_EXPIRY_US) {
            g_array_remove_index_fast(count->members, i - 1);
        }
        else {
            count->oldest_report = MAX(count->oldest_report, age);
        }
    }
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double first = *(const double *)a;
    double second = *(const double *)b;
    return (first > second) - (first < second);
}

/* The median of the members' views of the room; a node that has just started
 * or is cut off from some engines does not decide it. */
static double
get_median_room(const struct ch_room_count *count)
{
    double median = 0;
    guint middle = count->members->len / 2;
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < count->members->len; i++) {
        g_array_append_val(
            rooms, g_array_index(count->members, struct room_member, i).room);
    }
    g_array_sort(rooms, compare_doubles);
    if (rooms->len > 0) {
        median = g_array_index(rooms, double, middle);
        if (rooms->len % 2 == 0) {
            median = (median + g_array_index(rooms, double, middle - 1)) / 2;
        }
    }
    g_array_free(rooms, TRUE);
    return median;
}

static void
add_demand(GArray *sum, const struct ch_room_demand *added)
{
    for (guint i = 0; i < sum->len; i++) {
        struct ch_room_demand *demand =
            &g_array_index(sum, struct ch_room_demand, i);
        if (demand->rank == added->rank && demand->team == added->team) {
            demand->work += added->work;
            return;
        }
    }
    g_array_append_val(sum, *added);
}

/* Adds up the members' demands by rank and team, in a new array, and sets the
 * total. */
static GArray *
sum_demands(struct ch_room_count *count)
{
    GArray *sum = g_array_new(FALSE, FALSE, sizeof(struct ch_room_demand));
    count->demand = 0;
    for (guint i = 0; i < count->members->len; i++) {
        const GArray *demands =
            g_array_index(count->members, struct room_member, i).demands;
        for (guint j = 0; j < demands->len; j++) {
            const struct ch_room_demand *demand =
                &g_array_index(demands, struct ch_room_demand, j);
            add_demand(sum, demand);
            count->demand += demand->work;
        }
    }
    return sum;
}

/* See room.h. */
bool
ch_room_count_update(struct ch_room_count *count, double part, int64_t now)
{
    remove_expired(count, now);
    GArray *demands = sum_demands(count);
    bool has_settled =
        count->members->len > 0 && now - count->since >= SETTLE_US;
    bool has_changed = false;
    g_array_set_size(count->shares, 0);
    if (count->members->len > 0) {
        count->room = part * get_median_room(count);
    }
    if (has_settled || count->state.short_of_room) {
        has_changed = ch_room_state_update(&count->state, count->demand,
                                           count->room, now);
    }
    if (has_settled && count->state.short_of_room) {
        ch_room_divide(demands, GIVEN_SHARE * count->room, count->shares);
    }
    g_array_free(demands, TRUE);
    return has_changed;
}
