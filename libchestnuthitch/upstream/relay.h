#ifndef CH_UPSTREAM_RELAY_H
#define CH_UPSTREAM_RELAY_H

/*
 * Calls that go to an upstream by another node, which has a path to it. The
 * call is the same HTTP request, sent to the other node's relay listener with
 * a few headers of its own; the response is the upstream's, or one that names
 * why there is none.
 */

#include "base/base.h"

/* Of a request: the upstream, whether a new connection is needed, and the time
 * left in milliseconds. */
#define CH_RELAY_UPSTREAM_HEADER "Chestnuthitch-Relay-Upstream"
#define CH_RELAY_FRESH_HEADER "Chestnuthitch-Relay-Fresh"
#define CH_RELAY_TIME_HEADER "Chestnuthitch-Relay-Time-Ms"
/* Of a response that is not the upstream's. */
#define CH_RELAY_RESULT_HEADER "Chestnuthitch-Relay-Result"

enum ch_relay_result {
    CH_RELAY_NONE, /* the response is the upstream's */
    /* Not sent to the upstream; another node may do it. */
    CH_RELAY_UNREACHABLE, /* no connection to the relaying node */
    CH_RELAY_NO_PATH,     /* that node is cut off as well */
    CH_RELAY_BUSY,        /* it relays as many calls as it can */
    CH_RELAY_STOPPING,
    /* Not sent to the upstream, for a reason that lies with the upstream. */
    CH_RELAY_UNKNOWN_UPSTREAM, /* it is not listed */
    CH_RELAY_DRAINING,
    CH_RELAY_UPSTREAM_REFUSED,   /* it refuses connections */
    CH_RELAY_UPSTREAM_TIMED_OUT, /* no connection to it in time */
    /* Sent; the upstream may have run it. */
    CH_RELAY_UPSTREAM_CUT,
    CH_RELAY_UPSTREAM_STALLED,
    CH_RELAY_LOST, /* the connection to the relaying node was lost or silent */
    CH_RELAY_RESULTS,
};

const char *ch_relay_result_get_name(enum ch_relay_result result);
/* Any text that is no result reads as CH_RELAY_LOST. */
enum ch_relay_result ch_relay_result_parse(const char *name);
/* Whether the call was certainly not sent to the upstream. */
bool ch_relay_result_is_unsent(enum ch_relay_result result);
/* Whether another node may relay the call. */
bool ch_relay_result_is_about_node(enum ch_relay_result result);
/* The code of a call with this result. */
enum ch_code ch_relay_result_get_code(enum ch_relay_result result);
/* Whether a header applies to the connection with the relaying node alone. */
bool ch_relay_is_own_header(const char *name);

#endif
