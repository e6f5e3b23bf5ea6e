#ifndef CH_NODE_DIALECT_H
#define CH_NODE_DIALECT_H

/*
 * What differs on another platform: the interfaces of its services and the
 * headers of its callers. A node without a dialect uses Chestnuthitch's own
 * interfaces.
 */

#include "node/request.h"
#include "platform/platform.h"
#include "upstream/upstream.h"

struct ch_dialect {
    struct ch_kv *(*kv_new)(struct ch_client *client, struct ch_http *http,
                            const char *address, int64_t call_limit);
    /* Extracts the declaration's INI text from the configuration's stored
     * value; NULL with an error. Slow for a large value, so it is called only
     * for a value that is about to come into force, and never on the loop of
     * outgoing calls. No handler: the value is Chestnuthitch's own record. */
    char *(*extract_config)(const char *value, size_t length,
                            struct ch_error *error);
    /* Key prefix below which upstreams register themselves. */
    const char *hosts_prefix;
    /* Parses one registration; false with an error if it describes no
     * upstream. Does not set the region. */
    bool (*parse_host)(const char *key, const char *value, size_t length,
                       struct ch_host *host, struct ch_error *error);
    struct ch_upstream *(*upstream_new)(struct ch_client *client,
                                        struct ch_http *http,
                                        const struct ch_host *host,
                                        int64_t call_limit);
    /* The header with the caller's own request ID, in requests and responses.
     */
    const char *request_id_header;
    /* "1" in a response of an upstream: it drains. */
    const char *draining_header;
    /* Scheme of the Authorization header with an access key. */
    const char *key_scheme;
    /* Fills in the input from the headers; false with *fault. The strings
     * point into the headers. */
    bool (*read_headers)(const struct ch_http_header *headers, size_t count,
                         struct ch_request_input *input,
                         struct ch_fault *fault);
};

#endif
