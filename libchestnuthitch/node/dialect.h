#ifndef CH_NODE_DIALECT_H
#define CH_NODE_DIALECT_H

/*
 * What a platform of another kind than our own brings: how its services are
 * called, and how its callers say what they want.  A node without one
 * speaks our own interface.
 */

#include "node/request.h"
#include "platform/platform.h"
#include "upstream/upstream.h"

struct ch_dialect {
    struct ch_kv *(*kv_new)(struct ch_client *client, struct ch_http *http,
                            const char *address, int64_t call_limit);
    /* The declaration's INI text in the configuration's value; NULL with an
       error.  It takes long for a large one, and is called for one that is to
       come into force alone, never on the loop of calls out.  No such handler:
       the value is our own record. */
    char *(*config_text)(const char *value, size_t length,
                         struct ch_error *error);
    /* Upstreams describe themselves in keys below this prefix. */
    const char *hosts_prefix;
    /* Reads one; false with an error for what is no upstream.  Its region is
       left out. */
    bool (*host_parse)(const char *key, const char *value, size_t length,
                       struct ch_host *host, struct ch_error *error);
    struct ch_upstream *(*upstream_new)(struct ch_client *client,
                                        struct ch_http *http,
                                        const struct ch_host *host,
                                        int64_t call_limit);
    /* The header by which a caller's own id comes and goes back. */
    const char *request_id_header;
    /* Fills in what the headers say; false with *fault.  The texts point into
       the headers. */
    bool (*read_headers)(const struct ch_http_header *headers, size_t count,
                         struct ch_request_input *input,
                         struct ch_fault *fault);
};

#endif
