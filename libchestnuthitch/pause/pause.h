#ifndef CH_PAUSE_H
#define CH_PAUSE_H

/*
 * What a prompt does to the streams that run at an engine, and to its own. An
 * engine reads prompts in pieces between the tokens of the streams, so that
 * each stream pauses for the prompts that are read between two of its events.
 *
 * Times are microseconds. No sockets, no clock, no threads.
 */

#include "pace/pace.h"

/* An engine that may get a request. Times are those of a usual engine; the
 * engine's own are longer by its pace. */
struct ch_pause_engine {
    const struct ch_pace_state *pace; /* NULL: certainly works as usual */
    uint32_t streams;                 /* that run there */
    int64_t gap_target;    /* longest pause of these streams; 0: none */
    int64_t event_time;    /* between two events without prompts */
    int64_t prefill_burst; /* prompts that are read without a pause before the
                              request's own */
    int64_t later_prefill; /* usual prompt that is read while the request's
                              own stream runs */
};

struct ch_pause_request {
    int64_t prefill_time;     /* of its prompt, at a usual engine */
    int64_t gap_target;       /* longest pause within the target; 0: none */
    int64_t remaining_time;   /* until the caller's deadline; 0: none */
    uint32_t expected_events; /* of its response */
};

struct ch_pause_estimate {
    double late_streams; /* running streams that are expected to pause for
                            longer than the gap target because of the prompt */
    double own_late;     /* probability that the request's own stream does */
    double unfinished;   /* probability that its response does not end before
                            the deadline */
};

struct ch_pause_estimate
ch_pause_estimate(const struct ch_pause_engine *engine,
                  const struct ch_pause_request *request, int64_t now);

/* The harm of an estimate, as a delay of the request that is as bad. */
int64_t ch_pause_get_cost(const struct ch_pause_estimate *estimate);

/* The pace at which the fastest of several responses were probably measured:
 * the lowest of the samples and of the pace that is expected now. 1: pace is
 * NULL; 0: too few samples to tell. */
double ch_pause_get_fastest_pace(const struct ch_pace_state *pace,
                                 int64_t now);

#endif
