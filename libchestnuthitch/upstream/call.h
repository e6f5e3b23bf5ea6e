#ifndef CH_UPSTREAM_CALL_H
#define CH_UPSTREAM_CALL_H

/*
 * Forwards a caller's request to an upstream over HTTP; shared by the clients
 * of engines and of plain services.
 */

#include "upstream/upstream.h"

/* How a kind of upstream uses HTTP. */
struct ch_call_rules {
    const char *id_header;      /* the request's id, in both directions */
    const char *not_run_header; /* "1" in a response: it was not run */
    const char *limit_header;   /* of a response: calls a second that are taken
                                   from all nodes together; NULL: none */
    const char *brittle_header; /* of a response: rejections a second that the
                                   upstream bears; NULL: none */
    const char *draining_header; /* "1" in a response: the upstream drains;
                                    NULL: none */
    const char *load_header;     /* of a response: the upstream's load, see
                                    ch_pace_read(); NULL: none */
    /*
     * Header of every response to a request that was run; NULL: none. A
     * success without this header does not come from the upstream.
     */
    const char *signature_header;
    /* A stream ends with its HTTP framing and has no [DONE] event. */
    bool no_done_event;
    /*
     * A plain response may have no length and end when its connection closes.
     */
    bool allow_close_delimited;
    /*
     * The response's headers are forwarded to the caller, and the request's to
     * the upstream, instead of the headers that are generated here.
     */
    bool forward_headers;
    /*
     * A status of 500 and above is a failure of the upstream, to be retried
     * elsewhere, and not a response for the caller.
     */
    bool fail_on_server_error;
    /* Events carry "id": "cmpl-" and the request's id; it is checked. */
    bool check_event_ids;
};

#define CH_CALL_DEFAULT_LIMIT_HEADER "X-Limit-Per-Second"
#define CH_CALL_DEFAULT_DRAINING_HEADER "X-Draining"

/*
 * Rules common to the engines and services that use this project's own
 * interface.
 */
#define CH_CALL_DEFAULT_RULES                                                 \
    .id_header = "X-Request-Id", .not_run_header = "X-Not-Run",               \
    .limit_header = CH_CALL_DEFAULT_LIMIT_HEADER,                             \
    .draining_header = CH_CALL_DEFAULT_DRAINING_HEADER

/*
 * Copies the rules, the call and the upstream's listeners; none of them needs
 * to outlive this function. Returns a handle for ch_http_cancel().
 */
uint64_t ch_call_start(struct ch_client *client, struct ch_http *http,
                       const char *address, const struct ch_call_rules *rules,
                       const struct ch_upstream *upstream,
                       const struct ch_call *call,
                       const struct ch_call_handlers *handlers, void *data);
/* As ch_call_start(), with these headers instead of the generated ones. */
uint64_t ch_call_start_with_headers(
    struct ch_client *client, struct ch_http *http, const char *address,
    const struct ch_call_rules *rules, const struct ch_upstream *upstream,
    const struct ch_call *call, const struct ch_http_header *headers,
    size_t count, const struct ch_call_handlers *handlers, void *data);

#endif
