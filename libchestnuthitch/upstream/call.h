#ifndef CH_UPSTREAM_CALL_H
#define CH_UPSTREAM_CALL_H

/* A caller's request on its way to an upstream, over HTTP: what the clients
 * of engines and of plain services have in common. */

#include "upstream/upstream.h"

/* Of a kind of upstream. */
struct ch_call_rules {
    const char *id_header;      /* the request's id, in both directions */
    const char *not_run_header; /* "1" in an answer: it was not run */
    /* What every answer that was run bears; NULL: nothing.  A success without
     * it is not the upstream's. */
    const char *proof_header;
    /* A stream ends as its framing says, and has no [DONE]. */
    bool ends_by_framing;
    /* A plain answer may have no length and end with its connection. */
    bool may_be_unframed;
    /* The answer's headers go on to the caller, and the request's to the
     * upstream, in place of those that are made here. */
    bool passes_headers;
    /* The answers of 500 and above are a failure of the upstream, to be tried
     * elsewhere, and not an answer to the caller. */
    bool server_errors_fail;
    /* Events bear "id": "cmpl-" and the request's id. */
    bool events_have_ids;
};

/* The rules that the engines and services of our own interface share. */
#define CH_CALL_OWN_RULES                                                     \
    .id_header = "X-Request-Id", .not_run_header = "X-Not-Run"

/* Copies what it needs; neither rules' upstream nor call has to live on. */
uint64_t ch_call_start(struct ch_client *client, struct ch_http *http,
                       const char *address, const struct ch_call_rules *rules,
                       const struct ch_call *call,
                       const struct ch_call_handlers *handlers, void *data);
/* The same with the headers that the upstream is to get. */
uint64_t ch_call_start_with(struct ch_client *client, struct ch_http *http,
                            const char *address,
                            const struct ch_call_rules *rules,
                            const struct ch_call *call,
                            const struct ch_http_header *headers, size_t count,
                            const struct ch_call_handlers *handlers,
                            void *data);

#endif
