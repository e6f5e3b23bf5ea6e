#ifndef CH_NODE_INTAKE_H
#define CH_NODE_INTAKE_H

/* A request while it is coming in. */

#include "node/front.h"

enum {
    /* The library's own needs in a connection's memory, beside the head of the
     * request: its buffers, and room to see that a head is too large, so that
     * the refusal can be ours and name it.  It is held for each open stream.
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
    uint64_t number; /* of the request, in this process */
    uint64_t mark;   /* in the front's table of watched callers */
    char *uri;
    char *method;
    char *headers[CH_INTAKE_HEADERS]; /* NULL: did not come */
    GArray *all;  /* struct ch_http_header, of requests that are routed by host
                     and path; the strings are the library's */
    int repeated; /* an enum ch_intake_header that came twice; -1: none */
    size_t header_bytes;
    bool malformed;   /* the head is none that two readers read alike */
    unsigned lengths; /* headers that say how the body is framed */
    GByteArray *body;
    bool begun;     /* the head was looked at */
    bool complete;  /* the whole request came, or it was answered before */
    bool too_large; /* the body went over the bound and was dropped */
    size_t dropped;
};

struct ch_intake *ch_intake_new(struct MHD_Connection *connection,
                                const char *uri, const char *request_id,
                                uint64_t number);
void ch_intake_free(struct ch_intake *intake);
/* False with *fault when the request is to be refused before its body. */
bool ch_intake_head(struct ch_intake *intake,
                    struct MHD_Connection *connection, const char *method,
                    const struct ch_settings *settings,
                    struct ch_fault *fault);
/* False when the connection is to be closed. */
bool ch_intake_body(struct ch_intake *intake, const char *bytes, size_t length,
                    size_t most);
/* After the last part of the body; false with *fault. */
bool ch_intake_check(const struct ch_intake *intake, size_t most,
                     struct ch_fault *fault);
/* The same by a dialect's names of headers; false with *fault.  input->passed
   is the caller's to unref in both cases. */
bool ch_intake_read(const struct ch_intake *intake,
                    const struct ch_dialect *dialect,
                    struct ch_request_input *input, struct ch_fault *fault);
/* Points into the intake. */
void ch_intake_input(const struct ch_intake *intake,
                     struct ch_request_input *input);

#endif
