/* The harm that a prompt does to running streams and to its own. */

#include "pause/pause.h"

enum {
    /* A late stream is as bad as this delay of a first token: half of the
     * usual target. A response that is cut off at its deadline is lost after
     * all of its work was done, which is as bad as several late streams. */
    LATE_STREAM_COST_US = 400 * 1000,
    UNFINISHED_COST_US = 2 * G_USEC_PER_SEC,
    /* After this time a reading no longer tells the pace. */
    READING_USED_US = 2 * G_USEC_PER_SEC,
    /* An engine that is slowed down by its host for 0.6 s, or two such times
     * in a row, gives fewer samples than this meanwhile: they are 100 ms
     * apart. */
    MIN_FASTEST_SAMPLES = 8,
};

/* A response usually has between half and one and a half times its expected
 * number of events. */
static const double length_spread = 0.5;

/* Probability that streams pause for longer than the target. work: time
 * between two of their events at a usual engine. */
static double
estimate_lateness(const struct ch_pace_state *pace, int64_t work,
                  int64_t gap_target, int64_t now)
{
    if (gap_target <= 0 || work <= 0) {
        return 0;
    }
    double threshold = (double)gap_target / (double)work;
    if (pace == NULL) {
        return threshold < 1 ? 1 : 0;
    }
    return ch_pace_state_get_chance(pace, threshold, now);
}

/* The number of running streams that the prompt makes late, by the difference
 * between the pauses with it and without it. */
static double
estimate_late_streams(const struct ch_pause_engine *engine,
                      const struct ch_pause_request *request, int64_t now)
{
    if (engine->streams == 0) {
        return 0;
    }
    int64_t before = engine->event_time + engine->prefill_burst;
    double with = estimate_lateness(
        engine->pace, before + request->prefill_time, engine->gap_target, now);
    if (with <= 0) {
        return 0;
    }
    double without =
        estimate_lateness(engine->pace, before, engine->gap_target, now);
    return MAX(with - without, 0) * engine->streams;
}

/* Time from the request's arrival at the engine until its last event. The pace
 * varies many times meanwhile, so that the usual one counts. */
static double
estimate_duration(const struct ch_pause_engine *engine,
                  const struct ch_pause_request *request)
{
    double pace =
        engine->pace == NULL ? 1 : ch_pace_state_get_usual(engine->pace);
    return pace *
           ((double)(engine->prefill_burst + request->prefill_time) +
            (double)request->expected_events * (double)engine->event_time);
}

/* The probability that the request's own stream pauses for too long. Its own
 * prompt is read before it begins, so that later prompts count, at the pace of
 * the middle of the response. */
static double
estimate_own_lateness(const struct ch_pause_engine *engine,
                      const struct ch_pause_request *request, double duration,
                      int64_t now)
{
    int64_t middle = now + (int64_t)(duration / 2);
    if (engine->pace != NULL) {
        middle =
            MIN(middle, MAX(now, engine->pace->last_at + READING_USED_US));
    }
    return estimate_lateness(engine->pace,
                             engine->event_time + engine->later_prefill,
                             request->gap_target, middle);
}

/* The probability that the response does not end in time: it rises with the
 * share of the remaining time that a response of the expected length needs,
 * and is a half if it needs all. */
static double
estimate_unfinished(const struct ch_pause_request *request, double duration)
{
    if (request->remaining_time <= 0) {
        return 0;
    }
    double share = duration / (double)request->remaining_time;
    return CLAMP((share - (1 - length_spread)) / (2 * length_spread), 0, 1);
}

/*
 * See pause.h. For engines of uneven speed that share their hosts: a long
 * prompt at a slow engine makes a whole batch of streams late, while the same
 * prompt at a fast one harms none. Streams that pause for too long without the
 * prompt are not counted, as another choice would not spare them.
 */
struct ch_pause_estimate
ch_pause_estimate(const struct ch_pause_engine *engine,
                  const struct ch_pause_request *request, int64_t now)
{
    double duration = estimate_duration(engine, request);
    return (struct ch_pause_estimate){
        .late_streams = estimate_late_streams(engine, request, now),
        .own_late = estimate_own_lateness(engine, request, duration, now),
        .unfinished = estimate_unfinished(request, duration),
    };
}

/* See pause.h. */
int64_t
ch_pause_get_cost(const struct ch_pause_estimate *estimate)
{
    return (int64_t)((estimate->late_streams + estimate->own_late) *
                         LATE_STREAM_COST_US +
                     estimate->unfinished * UNFINISHED_COST_US);
}

/*
 * See pause.h. A measured time follows the fastest responses, so that it must
 * be divided by the pace that these had. If a sample were divided by a pace
 * that was over when the response came, the measured time would drop to a
 * fraction of the true one and recover only over thousands of responses.
 */
double
ch_pause_get_fastest_pace(const struct ch_pace_state *pace, int64_t now)
{
    if (pace == NULL) {
        return 1;
    }
    if (pace->sample_count < MIN_FASTEST_SAMPLES) {
        return 0;
    }
    double fastest = ch_pace_state_expect(pace, now);
    for (unsigned i = 0; i < pace->sample_count; i++) {
        fastest = MIN(fastest, pace->samples[i].pace);
    }
    return fastest;
}
