#ifndef CH_UPSTREAM_CALL_H
#define CH_UPSTREAM_CALL_H

/* A caller's request on its way to an upstream, over HTTP: what the clients
 * of engines and of plain services have in common. */

#include "upstream/upstream.h"

enum {
    CH_CALL_MOST_HEADERS = 8,
};

/* Of a kind of upstream. */
struct ch_call_rules {
    /* The answers of 500 and above are a failure of the upstream, to be tried
     * elsewhere, and not an answer to the caller. */
    bool server_errors_fail;
    /* Events bear "id": "cmpl-" and the request's id. */
    bool events_have_ids;
};

/* Copies what it needs; neither rules' upstream nor call has to live on. */
uint64_t ch_call_start(struct ch_client *client, struct ch_http *http,
                       const char *address, const struct ch_call_rules *rules,
                       const struct ch_call *call,
                       const struct ch_call_handlers *handlers, void *data);

#endif
