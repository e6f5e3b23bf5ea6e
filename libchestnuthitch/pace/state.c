/* What a node knows of the pace of one upstream. */

#include "pace/pace.h"

#include <math.h>

enum {
    /* Time over which a reading loses most of its weight. */
    READING_DECAY_US = 500 * 1000,
    SAMPLE_GAP_US = 100 * 1000,
    KNOWN_FOR_US = 10 * G_USEC_PER_SEC,
    USUAL_PERCENT = 100,
};

/* See pace.h. */
bool
ch_pace_state_observe(struct ch_pace_state *state,
                      const struct ch_pace_reading *reading, int64_t at)
{
    if (state->last_at != 0 && at <= state->last_at) {
        return false;
    }
    unsigned newest =
        (state->next_sample + CH_PACE_SAMPLES - 1) % CH_PACE_SAMPLES;
    state->last = *reading;
    state->last_at = at;
    if (reading->percent > 0 &&
        (state->sample_count == 0 ||
         at - state->samples[newest].at >= SAMPLE_GAP_US)) {
        state->samples[state->next_sample] = (struct ch_pace_sample){
            at, (double)reading->percent / USUAL_PERCENT};
        state->next_sample = (state->next_sample + 1) % CH_PACE_SAMPLES;
        state->sample_count = MIN(state->sample_count + 1, CH_PACE_SAMPLES);
    }
    return true;
}

/* See pace.h. */
bool
ch_pace_state_is_known(const struct ch_pace_state *state, int64_t now)
{
    return state->last_at != 0 && state->last.percent > 0 &&
           now - state->last_at < KNOWN_FOR_US;
}

/* See pace.h. */
double
ch_pace_state_get_usual(const struct ch_pace_state *state)
{
    double sum = 0;
    for (unsigned i = 0; i < state->sample_count; i++) {
        sum += state->samples[i].pace;
    }
    return state->sample_count == 0 ? 1 : sum / state->sample_count;
}

/* Weight of the last reading, 0 to 1. */
static double
get_last_weight(const struct ch_pace_state *state, int64_t now)
{
    return exp(-(double)MAX(now - state->last_at, 0) / READING_DECAY_US);
}

/* See pace.h. */
double
ch_pace_state_expect(const struct ch_pace_state *state, int64_t now)
{
    double usual = ch_pace_state_get_usual(state);
    double last = (double)state->last.percent / USUAL_PERCENT;
    return state->last.percent == 0
               ? usual
               : usual + (last - usual) * get_last_weight(state, now);
}

/* See pace.h. */
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
    double usual = (double)above / state->sample_count;
    double last =
        (double)state->last.percent / USUAL_PERCENT > threshold ? 1 : 0;
    return usual + (last - usual) * get_last_weight(state, now);
}
