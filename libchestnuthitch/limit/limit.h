#ifndef CH_LIMIT_H
#define CH_LIMIT_H

/*
 * Limits that upstreams name in their responses: the calls a second that an
 * upstream takes from all nodes together, for as long as its responses say so.
 *
 * Times are microseconds of one node's clock. No sockets, no clock, no
 * threads.
 */

#include "decide/fleet.h"

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
    double per_s;        /* once it has ended: the last one */
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

/* ---- the count of one upstream's calls (counter.c) ---- */

/*
 * One node counts the calls of all nodes to an upstream with a limit; the
 * others ask it for permission before each call. Nodes that are cut off from
 * each other may each have a counter, so a counter gives out no more than the
 * part of the limit that belongs to the nodes which its node hears.
 */
struct ch_limit_counter {
    bool open;
    struct ch_token_bucket bucket;
    double promised; /* refused calls that were given a time to return */
    int64_t promised_at;
};

struct ch_limit_permission {
    bool granted;
    int64_t retry_after; /* when refused: microseconds until a call may go */
};

/* The part of a limit that a counter gives out: of the listed nodes, those
 * that its node hears, itself included. 0 while the list is not known. */
double ch_limit_get_part(size_t live, size_t listed);
/* Asks for one call now. last_resort: no other upstream can take the call; it
 * goes before others, and if it is refused, retry_after is a time that no
 * other refused call was given. */
struct ch_limit_permission
ch_limit_counter_take(struct ch_limit_counter *counter, double per_s,
                      double part, bool last_resort, int64_t now);
/* Ends the count, as another node counts. */
void ch_limit_counter_close(struct ch_limit_counter *counter);

#endif
