#ifndef CH_NODE_EXCHANGE_H
#define CH_NODE_EXCHANGE_H

/*
 * Handles one request from arrival to response: the at-most-once record (if
 * the request's class asks for it), a grant from the router, the call to the
 * upstream, possibly a retry at another upstream, the response.
 *
 * Every handler takes the exchange's lock, so that handlers run one at a time
 * on whatever thread they are called. A running exchange holds one reference
 * to itself until ch_exchange_finish(); the watcher of its response and its
 * deadline timer hold one each.
 */

#include "node/front.h"

enum {
    /* Limit of a plain response, which is one that is not a stream. It is
     * collected whole, so that an interrupted response is never passed on as a
     * complete one. */
    CH_EXCHANGE_MOST_ANSWER = 16 * 1024 * 1024,
    /* When a caller may retry after a transient failure. */
    CH_EXCHANGE_RETRY_AFTER = 1000 * 1000,
};

enum ch_step {
    CH_STEP_ONCE, /* waiting for the at-most-once record */
    CH_STEP_HOME, /* waiting for a grant from the router */
    CH_STEP_CALL, /* the upstream has the request */
    CH_STEP_KEEP, /* waiting for the response to be stored */
    CH_STEP_OVER,
};

struct ch_exchange {
    int references;
    enum ch_step step;
    struct ch_front *front;
    struct ch_request *request;
    struct ch_reply *reply; /* NULL once the exchange is finished */
    pthread_mutex_t lock;
    uint64_t timer; /* handle of the deadline timer; 0: none */

    /* State flags. */
    bool told;      /* the caller was sent its result, or disconnected */
    bool abandoned; /* given up: nothing more is done for the caller */
    bool may_have_run;
    bool was_sent;     /* the last call was connected */
    bool ran_before;   /* may_have_run before the present call */
    bool whole;        /* the whole response was received */
    bool once_created; /* this attempt may dispatch, once */
    bool home_answered;
    bool try_held;     /* a retry was taken, not yet used by a call */
    bool asked_anew;   /* excluded upstreams were allowed again, once */
    bool is_stream;    /* the response being received is a stream */
    bool stream_begun; /* a stream to the caller has started */
    bool too_large;
    bool out_of_order; /* the present call sent an event out of sequence */

    /* Permission to dispatch. */
    uint64_t once_attempt;
    uint64_t home_handle;
    struct ch_grant grant;
    GArray *excluded; /* GQuark: upstreams that are not to be tried */
    unsigned round;   /* number of requests to the router */

    /* The call and its response. */
    unsigned calls;
    uint64_t call_handle;
    char *content_type;
    GArray *headers;  /* struct ch_http_header: passed on to the caller */
    char *last_event; /* ID of the last event that the caller has, or NULL */
    GByteArray *body; /* plain response, or a stream's text to store */
    int status;
    uint32_t events;      /* for the caller, over all calls */
    uint32_t call_events; /* events of the present call */
    uint32_t made_tokens;

    /* Result for the caller and the log. */
    enum ch_code code;
    enum ch_outcome outcome;

    /* Times of the client's clock; 0: has not happened. */
    int64_t at_wall_ms;
    int64_t arrived;
    int64_t first_grant;
    int64_t dispatched; /* start of the present call */
    int64_t call_first;
    int64_t call_last;
    int64_t first;
    int64_t last;
    int64_t longest_gap; /* between two events */
    int64_t told_at;
};

/* Takes ownership of request; takes a reference to response. */
void ch_exchange_start(struct ch_front *front, struct ch_request *request,
                       struct ch_reply *response);

/* ---- exchange_lifetime.c ---- */

/* Returns a new exchange with the reference that it holds while it runs. */
struct ch_exchange *ch_exchange_new(struct ch_front *front,
                                    struct ch_request *request,
                                    struct ch_reply *response);
struct ch_exchange *ch_exchange_ref(struct ch_exchange *exchange);
void ch_exchange_unref(void *exchange);

/* ---- exchange.c; internal; lock held unless stated otherwise ---- */

/* Handles the end of a call; returns true when the exchange can be
 * finished. */
bool ch_exchange_call_ended(struct ch_exchange *exchange,
                            const struct ch_call_end *end);
/* Gives up the work for a caller that has disconnected or whose deadline has
 * passed; returns true when the exchange can be finished. */
bool ch_exchange_abandon(struct ch_exchange *exchange, enum ch_code code,
                         const char *message);
/* Abandons the request if it is barred by now: a request that waits at an
 * upstream would crash it. Lock not held. */
void ch_exchange_drop_barred(struct ch_exchange *exchange);
/* Abandons the request because the node has to stop. Lock not held. */
void ch_exchange_cut(struct ch_exchange *exchange);
/* Finishes the exchange, which may be freed by this. Lock not held. */
void ch_exchange_over(struct ch_exchange *exchange);

/* ---- exchange_call.c ---- */

/* Calls the upstream of the grant. Lock held. */
void ch_exchange_call(struct ch_exchange *exchange);
/* Microseconds that a call may take before its caller's deadline; 0: the
 * caller stated none. */
int64_t ch_exchange_time_left(const struct ch_request *request, int64_t now);
/* The request ID that the caller knows. */
const char *ch_exchange_id(const struct ch_exchange *exchange);
/* What the router learns from the call. Lock held. */
struct ch_timing_sample ch_exchange_sample(const struct ch_exchange *exchange,
                                           enum ch_code code);

/* ---- exchange_respond.c; lock held ---- */

/* Only the first of these calls has an effect. */
void ch_exchange_tell_failure(struct ch_exchange *exchange, enum ch_code code,
                              const char *message, int64_t retry_after);
void ch_exchange_tell_answer(struct ch_exchange *exchange);
/* Writes one log line and updates the metrics; after the exchange's end. */
void ch_exchange_record(const struct ch_exchange *exchange);

#endif
