#ifndef CH_LIMIT_H
#define CH_LIMIT_H

/*
 * Limits that upstreams name in their responses: the calls a second that an
 * upstream takes from all nodes together, for as long as its responses say so.
 *
 * Times are microseconds of one node's clock. No sockets, no clock, no
 * threads.
 */

#include "base/base.h"

/* ---- what a response says (reading.c) ---- */

enum ch_limit_reading_kind {
    CH_LIMIT_ABSENT,
    CH_LIMIT_NAMED,
    CH_LIMIT_UNREADABLE, /* says nothing, neither of a limit nor of its end */
};

struct ch_limit_reading {
    enum ch_limit_reading_kind kind;
    double per_s;
};

/* Reads the value of the header that names a limit; several values separated
 * by commas name the lowest of them. NULL: the response has no such header. */
struct ch_limit_reading ch_limit_read(const char *text);

/* ---- what a node knows of one upstream (state.c) ---- */

/* One response, or several in a row that say the same: the upstream generated
 * them between sent_at and received_at. */
struct ch_limit_observation {
    bool named;
    double per_s;
    int64_t sent_at;     /* of the request with the latest such response */
    int64_t received_at; /* of the latest such response */
};

struct ch_limit_state {
    bool known; /* a limit was named */
    struct ch_limit_observation last;
};

enum ch_limit_change {
    CH_LIMIT_UNCHANGED,
    CH_LIMIT_SET,     /* named for the first time, or again */
    CH_LIMIT_REVISED, /* another value */
    CH_LIMIT_LIFTED,
};

/* Takes over an observation of this node or another one. */
enum ch_limit_change
ch_limit_state_observe(struct ch_limit_state *state,
                       const struct ch_limit_observation *observation);
bool ch_limit_state_is_limited(const struct ch_limit_state *state);

#endif
