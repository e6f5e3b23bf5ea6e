#ifndef CH_NODE_INCOMING_REQUEST_H
#define CH_NODE_INCOMING_REQUEST_H

/* A request while it is being received. */

#include "node/frontend.h"

enum {
    /* Connection memory beyond the request's head: libmicrohttpd's buffers,
     * and enough to notice that a head is too large, so that this node refuses
     * the request itself and names the reason. Allocated for each open stream.
     */
    CH_INCOMING_MEMORY_BYTES = 8 * 1024,
};

/* Scheme of the Authorization header with an access key. */
#define CH_INCOMING_KEY_SCHEME "Bearer"

enum ch_incoming_header {
    CH_INCOMING_CALLER,
    CH_INCOMING_CLASS,
    CH_INCOMING_DEADLINE,
    CH_INCOMING_KEY,
    CH_INCOMING_CONTENT_TYPE,
    CH_INCOMING_HEADER_COUNT,
};

struct ch_incoming_request {
    struct ch_response *response;
    uint64_t number;       /* the request's number in this process */
    uint64_t watch_handle; /* of the response in the watch of disconnects */
    char *uri;
    char *method;
    char *headers[CH_INCOMING_HEADER_COUNT]; /* NULL: not sent */
    /* struct ch_http_header; all headers. The library owns the strings. */
    GArray *all_headers;
    int repeated_header; /* an enum ch_incoming_header that was sent twice; -1:
                          * none
                          */
    size_t header_bytes;
    bool malformed;           /* two parsers could read the head differently */
    unsigned framing_headers; /* count of headers that frame the body */
    GByteArray *body;
    bool head_checked; /* the head was checked */
    bool complete;     /* the whole request arrived, or was answered early */
    bool too_large;    /* the body exceeded its limit and is discarded */
    size_t dropped_bytes;
};

struct ch_incoming_request *
ch_incoming_request_new(struct MHD_Connection *connection,
                        struct ch_response_memory *memory, const char *uri,
                        const char *request_id, uint64_t number);
void ch_incoming_request_free(struct ch_incoming_request *incoming);
/* Reads the head; false with *fault when the request is refused before its
 * body is sent. */
bool ch_incoming_request_read_head(struct ch_incoming_request *incoming,
                                   struct MHD_Connection *connection,
                                   const char *method,
                                   const struct ch_settings *settings,
                                   struct ch_fault *fault);
/* Adds a part of the body, whose limit is max bytes. Beyond the limit the body
 * is discarded and the request refused at its end; false, to close the
 * connection, once it exceeds twice the limit. */
bool ch_incoming_request_add_body(struct ch_incoming_request *incoming,
                                  const char *bytes, size_t length,
                                  size_t max);
/* Checks the request after the last part of its body; false with *fault. */
bool ch_incoming_request_check(const struct ch_incoming_request *incoming,
                               size_t max, struct ch_fault *fault);
/* Fills in the input from the headers as the dialect reads them; false with
 * *fault. The caller frees input->forwarded_headers in both cases. */
bool
ch_incoming_request_read_dialect(const struct ch_incoming_request *incoming,
                                 const struct ch_dialect *dialect,
                                 struct ch_request_input *input,
                                 struct ch_fault *fault);
/* Fills in the input, whose pointers stay valid as long as the incoming
 * request. */
void ch_incoming_request_get_input(const struct ch_incoming_request *incoming,
                                   struct ch_request_input *input);

#endif
