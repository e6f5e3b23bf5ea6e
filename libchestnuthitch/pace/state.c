/* What a node knows of the load and the pace of one upstream. */

#include "pace/pace_internal.h"

#include <math.h>

enum {
    /* Readings closer together are of the same moment and would crowd out
     * older samples at busy upstreams. */
    MIN_SAMPLE_DISTANCE_US = 100 * 1000,
    /* An upstream's pace changes within 0.2 to 0.6 s, and after twice that
     * time a reading says little of the present. */
    DECAY_US = 500 * 1000,
};

static double
get_pace(const struct ch_pace_reading *reading)
{
    return (double)reading->percent / 100;
}

static void
add_sample(struct ch_pace_state *state, double pace, int64_t at)
{
    unsigned newest =
        (state->next_sample + CH_PACE_SAMPLES - 1) % CH_PACE_SAMPLES;
    if (state->sample_count > 0 &&
        at - state->samples[newest].at < MIN_SAMPLE_DISTANCE_US) {
        return;
    }
    state->samples[state->next_sample] = (struct ch_pace_sample){at, pace};
    state->next_sample = (state->next_sample + 1) % CH_PACE_SAMPLES;
    state->sample_count = MIN(state->sample_count + 1, CH_PACE_SAMPLES);
}

/* See pace.h. A reading without a pace leaves a known pace, and when it was
 * stated, as they are: an upstream may state it in some responses only. */
bool
ch_pace_state_observe(struct ch_pace_state *state,
                      const struct ch_pace_reading *reading, int64_t at)
{
    if (at <= state->last_at && state->last_at != 0) {
        return false;
    }
    if (reading->percent == 0 && ch_pace_state_is_known(state, at)) {
        uint32_t percent = state->last.percent;
        state->last = *reading;
        state->last.percent = percent;
        return true;
    }
    state->last = *reading;
    state->last_at = at;
    if (reading->percent > 0) {
        add_sample(state, get_pace(reading), at);
    }
    return true;
}

/* See pace.h. */
bool
ch_pace_state_is_known(const struct ch_pace_state *state, int64_t now)
{
    return state->last.percent > 0 && now - state->last_at <= PACE_KNOWN_US;
}

/* See pace.h. */
double
ch_pace_state_get_usual(const struct ch_pace_state *state)
{
    double total = 0;
    for (unsigned i = 0; i < state->sample_count; i++) {
        total += state->samples[i].pace;
    }
    return state->sample_count == 0 ? 1 : total / state->sample_count;
}

/* How much the last reading says of the present, 0 to 1. */
static double
get_weight(const struct ch_pace_state *state, int64_t now)
{
    if (!ch_pace_state_is_known(state, now)) {
        return 0;
    }
    return exp(-(double)MAX(now - state->last_at, 0) / DECAY_US);
}

/* See pace.h. */
double
ch_pace_state_expect(const struct ch_pace_state *state, int64_t now)
{
    double usual = ch_pace_state_get_usual(state);
    return usual + (get_pace(&state->last) - usual) * get_weight(state, now);
}

/* See pace.h. An upstream of which nothing is known has a pace of 1. */
double
ch_pace_state_get_chance(const struct ch_pace_state *state, double threshold,
                         int64_t now)
{
    if (state->sample_count == 0) {
        return threshold < 1 ? 1 : 0;
    }
    unsigned above = 0;
    for (unsigned i = 0; i < state->sample_count; i++) {
        above += state->samples[i].pace > threshold;
    }
    double weight = get_weight(state, now);
    double last = get_pace(&state->last) > threshold ? 1 : 0;
    return weight * last + (1 - weight) * above / state->sample_count;
}
