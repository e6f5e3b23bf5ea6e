/* What a node knows of the limit of one upstream. */

#include "limit/limit.h"

/* See limit.h. */
bool
ch_limit_state_is_limited(const struct ch_limit_state *state)
{
    return state->known && state->last.named;
}

/* Takes over an observation that says the same as the last one. */
static enum ch_limit_change
extend(struct ch_limit_state *state,
       const struct ch_limit_observation *observation)
{
    struct ch_limit_observation *last = &state->last;
    bool revised = observation->per_s != last->per_s &&
                   observation->sent_at >= last->sent_at;
    if (revised) {
        last->per_s = observation->per_s;
    }
    last->sent_at = MAX(last->sent_at, observation->sent_at);
    last->received_at = MAX(last->received_at, observation->received_at);
    return revised ? CH_LIMIT_REVISED : CH_LIMIT_UNCHANGED;
}

/*
 * See limit.h. Responses may overtake each other, and other nodes tell theirs
 * late. One that says the opposite of the last one is taken over only if its
 * request was sent after that one was received, and so was certainly answered
 * later; otherwise a slow response from before would bring a limit back, or
 * end it.
 */
enum ch_limit_change
ch_limit_state_observe(struct ch_limit_state *state,
                       const struct ch_limit_observation *observation)
{
    if (!state->known) {
        state->known = observation->named;
        state->last = *observation;
        return observation->named ? CH_LIMIT_SET : CH_LIMIT_UNCHANGED;
    }
    if (observation->named == state->last.named) {
        return extend(state, observation);
    }
    if (observation->sent_at < state->last.received_at) {
        return CH_LIMIT_UNCHANGED;
    }
    double per_s = observation->named ? observation->per_s : state->last.per_s;
    state->last = *observation;
    state->last.per_s = per_s;
    return observation->named ? CH_LIMIT_SET : CH_LIMIT_LIFTED;
}
