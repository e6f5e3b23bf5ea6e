/* Whether one request is admitted while its model is short of room. */

#include "room/room.h"

enum {
    /* A model is rare if it had fewer requests within this time than struct
     * ch_room_rarity has times: by chance all of them may be refused. */
    RARE_WINDOW_US = 8 * 1000 * 1000,
    /* Of the refusals of a rare model, every one of this many is admitted. */
    RARE_REFUSALS = 10,
};

/* See room.h. A rank and team without a share has sent less than the others of
 * its rank until now, and gets the largest part of its rank. A rank without a
 * share goes before the less urgent ones, and after the more urgent ones if
 * these get all that they ask for. */
double
ch_room_find_admitted(const GArray *shares, uint32_t rank, uint64_t team)
{
    bool has_rank = false;
    bool is_less_urgent_admitted = false;
    bool are_more_urgent_admitted = true;
    double best_of_rank = 0;
    for (guint i = 0; i < shares->len; i++) {
        const struct ch_room_share *share =
            &g_array_index(shares, struct ch_room_share, i);
        if (share->rank == rank && share->team == team) {
            return share->admitted;
        }
        if (share->rank == rank) {
            has_rank = true;
            best_of_rank = MAX(best_of_rank, share->admitted);
        }
        else if (share->rank > rank) {
            is_less_urgent_admitted |= share->admitted > 0;
        }
        else {
            are_more_urgent_admitted &= share->admitted >= 1;
        }
    }
    if (has_rank) {
        return best_of_rank;
    }
    return is_less_urgent_admitted || are_more_urgent_admitted ? 1 : 0;
}

/*
 * See room.h. Requests for which an upstream was free in time were sent
 * without a question, and count as a part of what is admitted of their rank
 * and team. Else a team that sends many times its usual would have its share
 * beside all that it got in time, at the others' cost. The size of the request
 * does not matter, so that large ones are not refused more often.
 */
bool
ch_room_is_admitted(double admitted, const struct ch_room_use *use,
                    const struct ch_room_request *request)
{
    double refused = 1 - admitted;
    if (use->short_work > 0 && use->work > use->short_work) {
        refused *= use->work / use->short_work;
    }
    double point = (double)(ch_hash_pair(request->id, request->team) >> 11) /
                   (double)(UINT64_C(1) << 53);
    return point >= refused;
}

/* See room.h. */
void
ch_room_rarity_record(struct ch_room_rarity *rarity, int64_t now)
{
    rarity->times[rarity->next] = now;
    rarity->next = (rarity->next + 1) % G_N_ELEMENTS(rarity->times);
}

/* See room.h. */
bool
ch_room_rarity_spare(struct ch_room_rarity *rarity, int64_t now)
{
    int64_t oldest = rarity->times[rarity->next];
    if (oldest != 0 && now - oldest < RARE_WINDOW_US) {
        return false;
    }
    rarity->refusals++;
    return rarity->refusals % RARE_REFUSALS == 0;
}
