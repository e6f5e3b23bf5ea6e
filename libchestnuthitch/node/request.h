#ifndef CH_NODE_REQUEST_H
#define CH_NODE_REQUEST_H

/*
 * A caller's request, parsed and checked against the declaration in force. No
 * sockets here: the HTTP listener fills in struct ch_request_input.
 */

#include "access/access.h"
#include "base/base.h"
#include "decide/fleet.h"
#include "net/net.h"

enum {
    CH_REQUEST_MAX_KEY_BYTES = 200,
    CH_REQUEST_MAX_NAME_BYTES =
        200, /* bytes; of a caller, class, model or service */
    CH_REQUEST_MAX_TOKENS = 128 * 1024,
    CH_REQUEST_DEFAULT_TOKENS = 256, /* when the caller sets no limit */
    CH_REQUEST_MAX_DEADLINE_MS = 24 * 60 * 60 * 1000,
    CH_REQUEST_MAX_CONTEXT_TOKENS =
        16 * 1024 * 1024,      /* no engine has a larger context */
    CH_REQUEST_MAX_PARTS = 64, /* of a prompt; callers send a handful */
};

/* A request as received over HTTP. Header values are NULL when the header was
 * not sent. */
struct ch_request_input {
    const char *method;
    const char *uri; /* as in the request line, with its query */
    const char *caller;
    const char *class_name;
    const char *deadline_ms;
    const char *key;
    const char *content_type;
    struct ch_credential credential;
    const void *body;
    size_t body_length;
    /* Of a request whose class is chosen by host and path. */
    const char *host;
    const char *request_id; /* the caller's own */
    const char *model;      /* "model" or "model/adapter" */
    const char *resume_id;  /* ID of the last event that the caller received */
    const char *resumes; /* ID of the request that brought the stream's first
                            event */
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    uint32_t expected_tokens; /* of the response, as the caller estimates; 0:
                                 not stated */
    bool states_tokens;       /* the caller stated both numbers of tokens */
    struct ch_prompt_part parts[CH_REQUEST_MAX_PARTS];
    size_t part_count;
    GArray *forwarded_headers; /* struct ch_http_header, forwarded to the
                                  upstream */
};

enum ch_request_kind {
    CH_REQUEST_MODEL_CALL,
    CH_REQUEST_SERVICE_CALL,
    CH_REQUEST_MODEL_LIST,
};

struct ch_request {
    enum ch_request_kind kind;
    char *method;
    char *path; /* as sent to the upstream, with its query */
    char *content_type;
    char *key;
    char *body;
    size_t body_length;
    char *caller;
    char *team;   /* that holds the access key; NULL: no key is needed */
    char *owner;  /* team and caller: whose at-most-once records and crash
                     observations the request shares */
    char *tenant; /* in metrics: the team, or the caller when it is declared,
                     else "other" */
    double quota_cost;   /* in the unit of the team's quota; 0: no quota */
    uint32_t quota_rank; /* 0 goes first when the quota is short */
    char *class_name;
    int64_t first_token_target; /* the class's target for the first token */
    int64_t token_target;
    int64_t answer_target;
    char *model; /* or the name of a plain service */
    char *adapter;
    bool stream;
    int64_t deadline;     /* when the caller stops waiting; 0: none given */
    uint64_t fingerprint; /* of method, path and body */
    struct ch_request_info info;
    /* Of a request whose class is chosen by host and path. */
    bool routed;
    char *request_id;
    char *resume_id;
    char *resumes; /* NULL: none, or not a valid request ID */
    char *host;
    struct ch_http_header *headers; /* forwarded to the upstream */
    size_t header_count;
    struct ch_prompt_part *parts;
    int64_t event_gap_target; /* target for the longest pause between events */
    int64_t first_byte_limit; /* 0: the node's */
    int64_t stall_limit;      /* 0: the node's */
};

/* Why a request is invalid, and which field is at fault. */
struct ch_fault {
    struct ch_error error;
    char field[64]; /* "" when it is no single field */
};

void ch_fault_set(struct ch_fault *fault, enum ch_code code, const char *field,
                  const char *form, ...) G_GNUC_PRINTF(4, 5);

/* Parses and checks a request; NULL with *fault when it is invalid. now and
 * the request's times are microseconds. */
struct ch_request *ch_request_parse(const struct ch_declaration *declaration,
                                    const struct ch_request_input *input,
                                    int64_t now, struct ch_fault *fault);
void ch_request_free(struct ch_request *request);
/* Parses and checks a request whose class is chosen by host and path. */
struct ch_request *
ch_request_parse_routed(const struct ch_declaration *declaration,
                        const struct ch_request_input *input, int64_t now,
                        struct ch_fault *fault);
/* Sets the team by the access key, and what depends on the team; false with
 * *fault when the class may not be used with this key. *team is NULL when none
 * is known. Defined in request_team.c, like ch_request_set_quota_cost(). */
bool ch_request_set_team(struct ch_request *request,
                         const struct ch_declaration *declaration,
                         const struct ch_class *class,
                         const struct ch_credential *credential,
                         const struct ch_team **team, struct ch_fault *fault);
/* Sets what the request takes of the team's quota. states_tokens: its numbers
 * of tokens are known. */
void ch_request_set_quota_cost(struct ch_request *request,
                               const struct ch_team *team, bool states_tokens);
/* Whether the URI is valid and can be forwarded; false with *fault. */
bool ch_request_check_uri(const char *uri, struct ch_fault *fault);
/* Copies method, content type and body, and computes the fingerprint over
 * method, URI and body, which must equal that of a repeated request under the
 * same key. */
void ch_request_copy_body(struct ch_request *request,
                          const struct ch_request_input *input);

/* ---- the body of a model call (model_body.c) ---- */

struct ch_model_body {
    char *model; /* the caller's name for it: a model or an adapter */
    bool stream;
    uint32_t prompt_tokens; /* estimated from the prompt's length */
    uint32_t output_tokens;
    uint64_t prefix_hash;
};

/* False with *fault, and then body->model is NULL. The caller frees
 * body->model. */
bool ch_model_body_parse(const char *text, size_t length, bool chat,
                         struct ch_model_body *body, struct ch_fault *fault);

#endif
