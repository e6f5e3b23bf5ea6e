#ifndef CH_NODE_EXCHANGE_H
#define CH_NODE_EXCHANGE_H

/*
 * The course of one request: at most once (if its class asks for it), leave
 * from a home, the call to the upstream, perhaps another, the answer.
 *
 * Every handler takes the exchange's lock, so that they run one at a time
 * whatever thread they are on.  The course holds one reference until
 * ch_exchange_over(); its reply's watcher and its timer hold one each.
 */

#include "node/front.h"

enum {
    /* Of a plain answer, which is gathered whole so that a cut one is never
     * passed on as an answer. */
    CH_EXCHANGE_MOST_ANSWER = 16 * 1024 * 1024,
    /* When a caller may come back after a failure that has passed. */
    CH_EXCHANGE_RETRY_AFTER = 1000 * 1000,
};

enum ch_step {
    CH_STEP_ONCE, /* waiting for the once record */
    CH_STEP_HOME, /* waiting for a home's leave */
    CH_STEP_CALL, /* the upstream has it */
    CH_STEP_KEEP, /* waiting for the answer to be kept */
    CH_STEP_OVER,
};

struct ch_exchange {
    int references;
    enum ch_step step;
    struct ch_front *front;
    struct ch_request *request;
    struct ch_reply *reply; /* NULL when over */
    pthread_mutex_t lock;
    uint64_t timer; /* of the deadline; 0: none */

    /* What has happened. */
    bool told;      /* the caller has its answer, or is gone */
    bool abandoned; /* the caller gave up: nothing more is done for it */
    bool may_have_run;
    bool was_sent;     /* the last call got a connection */
    bool ran_before;   /* may_have_run before the present call */
    bool whole;        /* the upstream's whole answer is there */
    bool once_created; /* this try has leave to dispatch, once */
    bool home_answered;
    bool try_held;     /* a further try was drawn; no call has used it yet */
    bool asked_anew;   /* the exclusions were dropped once */
    bool is_stream;    /* the answer that comes */
    bool stream_begun; /* the answer that goes to the caller */
    bool too_large;
    bool out_of_order; /* of the present call: an event that can't be next */

    /* Leave to dispatch. */
    uint64_t once_attempt;
    uint64_t home_handle;
    struct ch_grant grant;
    GArray *excluded; /* of GQuark */
    unsigned round;   /* counts what is asked of homes */

    /* The call, and its answer. */
    unsigned calls;
    uint64_t call_handle;
    char *content_type;
    GArray *headers;  /* struct ch_http_header, of the answer that is passed */
    char *last_event; /* id of the last event that the caller has; or NULL */
    GByteArray *body; /* plain answer, or a stream's text to keep */
    int status;
    uint32_t events;      /* given to the caller, over all calls */
    uint32_t call_events; /* of this call */
    uint32_t made_tokens;

    /* How it ended, for the caller and the log. */
    enum ch_code code;
    enum ch_outcome outcome;

    /* Times on the client's clock; 0: did not happen. */
    int64_t at_wall_ms;
    int64_t arrived;
    int64_t first_grant;
    int64_t dispatched; /* of this call */
    int64_t call_first;
    int64_t call_last;
    int64_t first;
    int64_t last;
    int64_t longest_gap; /* between two events that the caller got */
    int64_t told_at;
};

/* Takes the request over; reply is referenced. */
void ch_exchange_start(struct ch_front *front, struct ch_request *request,
                       struct ch_reply *reply);

/* ---- exchange_life.c ---- */

/* A new exchange, with the course's reference. */
struct ch_exchange *ch_exchange_new(struct ch_front *front,
                                    struct ch_request *request,
                                    struct ch_reply *reply);
struct ch_exchange *ch_exchange_ref(struct ch_exchange *exchange);
void ch_exchange_unref(void *exchange);

/* ---- exchange.c, for its other files; lock held ---- */

/* The call ended; true when the course is over. */
bool ch_exchange_call_ended(struct ch_exchange *exchange,
                            const struct ch_call_end *end);
/* The caller gave up; true when the course is over. */
bool ch_exchange_abandon(struct ch_exchange *exchange, enum ch_code code,
                         const char *message);
/* Ends what is under way if the request is barred by now: one that waits at
   an upstream would crash it.  Lock not held. */
void ch_exchange_drop_barred(struct ch_exchange *exchange);
/* Ends what is under way, for a node that has to stop.  Lock not held. */
void ch_exchange_cut(struct ch_exchange *exchange);
/* Ends the course.  Lock not held; the exchange may be gone after it. */
void ch_exchange_over(struct ch_exchange *exchange);

/* ---- exchange_call.c ---- */

/* Calls the upstream of the grant.  Lock held. */
void ch_exchange_call(struct ch_exchange *exchange);
/* Microseconds that a call may take by its caller's deadline; 0: the caller
   stated none. */
int64_t ch_exchange_time_left(const struct ch_request *request, int64_t now);
/* The request's id as its caller knows it. */
const char *ch_exchange_id(const struct ch_exchange *exchange);
/* What the home learns from the call.  Lock held. */
struct ch_timing_sample ch_exchange_sample(const struct ch_exchange *exchange,
                                           enum ch_code code);

/* ---- exchange_tell.c; lock held; nothing after the first ---- */

void ch_exchange_tell_failure(struct ch_exchange *exchange, enum ch_code code,
                              const char *message, int64_t retry_after);
void ch_exchange_tell_answer(struct ch_exchange *exchange);
/* One log line, and the counters; after the end. */
void ch_exchange_record(const struct ch_exchange *exchange);

#endif
