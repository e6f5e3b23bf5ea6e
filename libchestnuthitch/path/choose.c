/* Chooses the node that relays a call to an upstream. */

#include "path/path.h"

enum {
    /* Nodes near by relay a call if they have at least this part (one divided
     * by the divisor) of the capacity of those that come next. */
    MIN_NEAR_DIVISOR = 2,
};

enum nearness {
    NEAR_CENTRE, /* in the data centre of the node, or in the upstream's */
    NEAR_REGION,
    ANYWHERE,
    NEARNESS_COUNT,
};

/* A relay in either data centre adds no way between data centres. */
static enum nearness
get_nearness(const struct ch_path_relay_candidate *candidate,
             const struct ch_path_place *from, const struct ch_path_place *to)
{
    if (candidate->data_centre == from->data_centre ||
        candidate->data_centre == to->data_centre) {
        return NEAR_CENTRE;
    }
    return candidate->region == from->region ? NEAR_REGION : ANYWHERE;
}

static uint64_t
get_weight(const struct ch_path_relay_candidate *candidate)
{
    return MAX(candidate->capacity, 1U);
}

/* The farthest candidates that are considered. total[]: capacity of those up
 * to each nearness. */
static enum nearness
choose_nearness(const uint64_t total[NEARNESS_COUNT])
{
    enum nearness limit = NEAR_CENTRE;
    while (limit < ANYWHERE &&
           (total[limit] == 0 ||
            total[limit] * MIN_NEAR_DIVISOR < total[limit + 1])) {
        limit++;
    }
    return limit;
}

/* The candidate at a point between 0 and the capacity of those considered. */
static size_t
find_at(const struct ch_path_relay_candidate *candidates, size_t count,
        const struct ch_path_place *from, const struct ch_path_place *to,
        enum nearness limit, uint64_t point)
{
    for (size_t i = 0; i < count; i++) {
        if (get_nearness(&candidates[i], from, to) > limit) {
            continue;
        }
        uint64_t weight = get_weight(&candidates[i]);
        if (point < weight) {
            return i;
        }
        point -= weight;
    }
    return count;
}

/*
 * See path.h. Load: most nodes of a data centre or of a region are cut off and
 * call by the rest. Harm prevented: all choose the same node, or so few near
 * by that these fail. Of two nodes that are drawn by capacity, the one with
 * fewer calls for its capacity is taken, so that nodes which know nothing of
 * each other's choices spread their calls.
 */
size_t
ch_path_choose_relay(const struct ch_path_relay_candidate *candidates,
                     size_t count, const struct ch_path_place *from,
                     const struct ch_path_place *to, uint64_t draw)
{
    uint64_t total[NEARNESS_COUNT] = {0};
    for (size_t i = 0; i < count; i++) {
        enum nearness nearness = get_nearness(&candidates[i], from, to);
        for (int k = (int)nearness; k < NEARNESS_COUNT; k++) {
            total[k] += get_weight(&candidates[i]);
        }
    }
    if (count == 0) {
        return count;
    }
    enum nearness limit = choose_nearness(total);
    uint64_t second_draw = ch_hash_pair(draw, count);
    size_t first = find_at(candidates, count, from, to, limit,
                           ch_hash_pair(draw, 0) % total[limit]);
    size_t second = find_at(candidates, count, from, to, limit,
                            second_draw % total[limit]);
    const struct ch_path_relay_candidate *a = &candidates[first];
    const struct ch_path_relay_candidate *b = &candidates[second];
    return a->outstanding * get_weight(b) <= b->outstanding * get_weight(a)
               ? first
               : second;
}
