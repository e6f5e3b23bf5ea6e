#ifndef CH_NODE_REQUEST_H
#define CH_NODE_REQUEST_H

/*
 * A caller's request, parsed and checked against the declaration in force.
 * No sockets here: the listener fills in struct ch_request_input.
 */

#include "base/base.h"
#include "decide/fleet.h"
#include "net/net.h"

enum {
    CH_REQUEST_MOST_KEY = 200,
    CH_REQUEST_MOST_NAME = 200, /* of a caller, class, model or service */
    CH_REQUEST_MOST_TOKENS = 128 * 1024,
    CH_REQUEST_USUAL_TOKENS = 256, /* when the caller states no bound */
    CH_REQUEST_MOST_DEADLINE_MS = 24 * 60 * 60 * 1000,
    CH_REQUEST_MOST_CONTEXT =
        16 * 1024 * 1024,       /* tokens; no engine has more */
    CH_REQUEST_MOST_PARTS = 64, /* of a prompt; callers use a handful */
};

/* What came over HTTP.  Header values are NULL when they did not come. */
struct ch_request_input {
    const char *method;
    const char *uri; /* as it stood in the request line, with its query */
    const char *caller;
    const char *class_name;
    const char *deadline_ms;
    const char *key;
    const char *content_type;
    const void *body;
    size_t length;
    /* Of a request whose class is chosen by host and path. */
    const char *host;
    const char *request_id; /* the caller's own */
    const char *model;      /* "model" or "model/adapter" */
    const char *resume_id;  /* of the last event that the caller has */
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    struct ch_prompt_part parts[CH_REQUEST_MOST_PARTS];
    size_t part_count;
    GArray *passed; /* struct ch_http_header: goes on to the upstream */
};

enum ch_request_kind {
    CH_REQUEST_MODEL_CALL,
    CH_REQUEST_SERVICE_CALL,
    CH_REQUEST_MODEL_LIST,
};

struct ch_request {
    enum ch_request_kind kind;
    char *method;
    char *path; /* as the upstream is to get it, with its query */
    char *content_type;
    char *key;
    char *body;
    size_t length;
    char *caller;
    char *tenant; /* the caller when it is declared, else "other" */
    char *class_name;
    int64_t first_token; /* targets of the class */
    int64_t between_tokens;
    int64_t whole_answer;
    char *model; /* or the plain service */
    char *adapter;
    bool stream;
    int64_t deadline;     /* when the caller stops waiting; 0: not stated */
    uint64_t fingerprint; /* of method, path and body */
    struct ch_request_info work;
    /* Of a request whose class is chosen by host and path. */
    bool routed;
    char *request_id;
    char *resume_id;
    char *host;
    struct ch_http_header *headers; /* go on to the upstream */
    size_t header_count;
    struct ch_prompt_part *parts;
    int64_t gap;              /* target: longest pause between events */
    int64_t first_byte_limit; /* 0: the node's */
    int64_t stall_limit;      /* 0: the node's */
};

/* What is wrong with a request: which field, and why. */
struct ch_fault {
    struct ch_error error;
    char field[64]; /* "" when no single field is at fault */
};

void ch_fault_set(struct ch_fault *fault, enum ch_code code, const char *field,
                  const char *form, ...) G_GNUC_PRINTF(4, 5);

/* NULL with *fault when the request must not go on. */
struct ch_request *ch_request_parse(const struct ch_declaration *declaration,
                                    const struct ch_request_input *input,
                                    int64_t now, struct ch_fault *fault);
void ch_request_free(struct ch_request *request);
/* The same where the class is chosen by host and path (request_route.c). */
struct ch_request *
ch_request_parse_routed(const struct ch_declaration *declaration,
                        const struct ch_request_input *input, int64_t now,
                        struct ch_fault *fault);
/* Whether the request line's target may go on; false with *fault. */
bool ch_request_check_uri(const char *uri, struct ch_fault *fault);
/* Copies method, content type and body, and hashes what a repeat must equal.
 */
void ch_request_copy_body(struct ch_request *request,
                          const struct ch_request_input *input);

/* ---- the body of a model call (model_body.c) ---- */

struct ch_model_body {
    char *model; /* as the caller named it: a model or an adapter */
    bool stream;
    uint32_t prompt_tokens; /* estimated from its length */
    uint32_t output_tokens;
    uint64_t prefix;
};

/* False with *fault; body->model is then NULL. */
bool ch_model_body_parse(const char *text, size_t length, bool chat,
                         struct ch_model_body *body, struct ch_fault *fault);

#endif
