#ifndef CH_NODE_INTAKE_H
#define CH_NODE_INTAKE_H

/* A request while it is being received. */

#include "node/front.h"

enum {
    /* Connection memory beyond the request's head: libmicrohttpd's buffers,
     * and enough to notice that a head is too large, so that this node refuses
     * the request itself and names the reason. Allocated for each open stream.
     */
    CH_INTAKE_MEMORY = 8 * 1024,
};

enum ch_intake_header {
    CH_INTAKE_CALLER,
    CH_INTAKE_CLASS,
    CH_INTAKE_DEADLINE,
    CH_INTAKE_KEY,
    CH_INTAKE_CONTENT_TYPE,
    CH_INTAKE_HEADERS,
};

struct ch_intake {
    struct ch_reply *reply;
    uint64_t number; /* the request's number in this process */
    uint64_t mark;   /* of the response in the front end's table */
    char *uri;
    char *method;
    char *headers[CH_INTAKE_HEADERS]; /* NULL: not sent */
    /* struct ch_http_header; all headers, for requests whose class is chosen
     * by host and path. The library owns the strings. */
    GArray *all;
    int repeated; /* an enum ch_incoming_header that was sent twice; -1: none
                   */
    size_t header_bytes;
    bool malformed;   /* two parsers could read the head differently */
    unsigned lengths; /* count of headers that frame the body */
    GByteArray *body;
    bool begun;     /* the head was checked */
    bool complete;  /* the whole request arrived, or was answered early */
    bool too_large; /* the body exceeded its limit and is discarded */
    size_t dropped;
};

struct ch_intake *ch_intake_new(struct MHD_Connection *connection,
                                const char *uri, const char *request_id,
                                uint64_t number);
void ch_intake_free(struct ch_intake *incoming);
/* Reads the head; false with *fault when the request is refused before its
 * body is sent. */
bool ch_intake_head(struct ch_intake *incoming,
                    struct MHD_Connection *connection, const char *method,
                    const struct ch_settings *settings,
                    struct ch_fault *fault);
/* Adds a part of the body, whose limit is max bytes. Beyond the limit the body
 * is discarded and the request refused at its end; false, to close the
 * connection, once it exceeds twice the limit. */
bool ch_intake_body(struct ch_intake *incoming, const char *bytes,
                    size_t length, size_t max);
/* Checks the request after the last part of its body; false with *fault. */
bool ch_intake_check(const struct ch_intake *incoming, size_t max,
                     struct ch_fault *fault);
/* Fills in the input from the headers as the dialect reads them; false with
 * *fault. The caller frees input->forwarded_headers in both cases. */
bool ch_intake_read(const struct ch_intake *incoming,
                    const struct ch_dialect *dialect,
                    struct ch_request_input *input, struct ch_fault *fault);
/* Fills in the input, whose pointers stay valid as long as the incoming
 * request. */
void ch_intake_input(const struct ch_intake *incoming,
                     struct ch_request_input *input);

#endif
