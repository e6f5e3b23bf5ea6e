#ifndef CH_NODE_EXCHANGE_H
#define CH_NODE_EXCHANGE_H

/*
 * Handles one request from arrival to response: credit of its team's quota (if
 * there is one), the at-most-once record (if the request's class asks for it),
 * a grant from the router, the call to the upstream, possibly a retry at
 * another upstream, the response.
 *
 * Every handler takes the exchange's lock, so that handlers run one at a time
 * on whatever thread they are called. A running exchange holds one reference
 * to itself until ch_exchange_finish(); the watcher of its response and its
 * deadline timer hold one each.
 */

#include "node/frontend.h"
#include "resume/resume.h"

enum {
    /* Limit of a plain response, which is one that is not a stream. It is
     * collected whole, so that an interrupted response is never passed on as a
     * complete one. */
    CH_EXCHANGE_MAX_RESPONSE_BYTES = 16 * 1024 * 1024,
    /* When a caller may retry after a transient failure. */
    CH_EXCHANGE_RETRY_AFTER_US = 1000 * 1000,
};

enum ch_exchange_step {
    CH_EXCHANGE_STEP_QUOTA,  /* waiting for credit of the team's quota */
    CH_EXCHANGE_STEP_ORIGIN, /* waiting for where the stream began */
    CH_EXCHANGE_STEP_ONCE,   /* waiting for the at-most-once record */
    CH_EXCHANGE_STEP_ROUTE,  /* waiting for a grant from the router */
    CH_EXCHANGE_STEP_CALL,   /* the upstream has the request */
    CH_EXCHANGE_STEP_STORE,  /* waiting for the response to be stored */
    CH_EXCHANGE_STEP_DONE,
};

/* Where the events of a stream come from. */
struct ch_stream_place {
    GQuark upstream;
    GQuark version;   /* of its software; 0: not known */
    uint64_t boot_id; /* 0: not known */
};

struct ch_stream_result;

struct ch_exchange {
    int references;
    enum ch_exchange_step step;
    struct ch_frontend *frontend;
    struct ch_request *request;
    struct ch_response *response; /* NULL once the exchange is finished */
    pthread_mutex_t lock;
    uint64_t timer; /* handle of the deadline timer; 0: none */

    /* State flags. */
    bool responded;   /* the caller was sent its result, or disconnected */
    bool abandoned;   /* given up: nothing more is done for the caller */
    bool quota_taken; /* the cost was taken from the team's quota */
    bool call_may_have_run; /* an upstream may have run a call */
    bool may_have_run;
    bool was_connected;       /* the last call was connected */
    bool may_have_run_before; /* may_have_run before the present call */
    bool response_complete;   /* the whole response was received */
    bool once_record_created; /* this attempt may dispatch, once */
    bool router_replied;
    bool retry_taken;        /* a retry was taken, not yet used by a call */
    bool limit_refused;      /* an upstream takes no call now */
    bool bytes_held;         /* the body counts at the granted upstream */
    bool slot_held;          /* a slot of the granted upstream */
    bool slot_waited;        /* a slot was waited for */
    bool exclusions_dropped; /* excluded upstreams were allowed again, once */
    bool is_stream;          /* the response being received is a stream */
    bool stream_started;     /* a stream to the caller has started */
    bool response_too_large;
    bool out_of_order; /* the present call sent an event out of sequence */

    /* Permission to dispatch. */
    uint64_t once_attempt;
    uint64_t router_handle;
    struct ch_grant grant;
    GArray *excluded;          /* GQuark: upstreams that are not to be tried */
    int64_t limit_retry_after; /* the soonest of those refusals */
    enum ch_code limit_code;   /* of the latest of those refusals */
    unsigned prefill_refusals; /* by engines with too many prompts before it */
    bool prefill_forced;       /* the prompt is sent in any case */
    unsigned slot_refusals;    /* by upstreams without a free slot, in a row */
    guint excluded_before;     /* length of `excluded` before these */
    unsigned routing_round;    /* number of requests to the router */
    GArray *failed_relays;     /* GQuark: nodes that did not relay the call */

    /* The call and its response. */
    unsigned call_count;
    uint64_t call_handle;
    GQuark relay; /* by which node the present call goes; 0: directly */
    struct ch_stream_place began_at; /* all 0: not begun, or not known */
    /* Of the stream: as written to other nodes, or as found there; key 0: the
     * stream has no record. */
    struct ch_stream_record stream_record;
    enum ch_stream_finding stream_finding; /* if an earlier request began it */
    GQuark stream_source;                  /* the node that knew; 0: none */
    char *content_type;
    GArray *headers; /* struct ch_http_header: passed on to the caller */
    char
        *last_event_id; /* ID of the last event that the caller has, or NULL */
    GByteArray *body;   /* plain response, or a stream's text to store */
    int status;
    uint32_t events_delivered; /* for the caller, over all calls */
    uint32_t call_event_count; /* events of the present call */
    uint32_t generated_tokens;

    /* Result for the caller and the log. */
    enum ch_code code;
    enum ch_outcome outcome;

    /* Times of the client's clock; 0: has not happened. */
    int64_t arrived_wall_ms;
    int64_t arrived_at;
    int64_t first_granted_at;
    int64_t dispatched_at; /* start of the present call */
    int64_t call_first_data_at;
    int64_t call_last_data_at;
    int64_t first_data_at;
    int64_t last_data_at;
    int64_t longest_gap; /* between two events */
    int64_t responded_at;
};

/* Takes ownership of request; takes a reference to response. */
void ch_exchange_start(struct ch_frontend *frontend,
                       struct ch_request *request,
                       struct ch_response *response);

/* ---- exchange_lifetime.c ---- */

/* Returns a new exchange with the reference that it holds while it runs. */
struct ch_exchange *ch_exchange_new(struct ch_frontend *frontend,
                                    struct ch_request *request,
                                    struct ch_response *response);
/* The step that follows the quota. */
enum ch_exchange_step ch_exchange_first_step(const struct ch_request *request);
struct ch_exchange *ch_exchange_ref(struct ch_exchange *exchange);
void ch_exchange_unref(void *exchange);

/* ---- exchange_stream.c ---- */

/* Whether the request takes up a stream that an earlier one began. */
bool ch_exchange_takes_up_stream(const struct ch_exchange *exchange);
/* Asks where the stream began; ch_exchange_handle_origin() follows, on the
 * pool. Lock not held. */
void ch_exchange_find_origin(struct ch_exchange *exchange);
/* Records where the stream's first event comes from; only the same software
 * may go on with it. Lock held. */
void ch_exchange_record_begin(struct ch_exchange *exchange);
/* Writes the record of the stream that the present call may begin, or renews
 * that of a stream taken up. Lock held. */
void ch_exchange_write_stream_record(struct ch_exchange *exchange);
/* Whether the granted upstream may begin the request's stream. False: another
 * version is stored as its origin, and is required from now on. Lock held. */
bool ch_exchange_may_begin_stream(struct ch_exchange *exchange);
/* Logs and counts a call that goes on with a stream. Lock held. */
void ch_exchange_log_going_on(const struct ch_exchange *exchange);

/* ---- exchange.c; internal; lock held unless stated otherwise ---- */

/* Goes on with a stream whose origin was asked for; lock not held. */
void ch_exchange_handle_origin(struct ch_exchange *exchange,
                               const struct ch_stream_result *result);

/* Handles the end of a call; returns true when the exchange can be
 * finished. */
bool ch_exchange_handle_call_end(struct ch_exchange *exchange,
                                 const struct ch_call_result *end);
/* Gives up the work for a caller that has disconnected or whose deadline has
 * passed; returns true when the exchange can be finished. */
bool ch_exchange_abandon(struct ch_exchange *exchange, enum ch_code code,
                         const char *message);
/* Abandons the request if it is barred by now: a request that waits at an
 * upstream would crash it. Lock not held. */
void ch_exchange_abandon_barred(struct ch_exchange *exchange);
/* Abandons the request because the node has to stop. Lock not held. */
void ch_exchange_abort(struct ch_exchange *exchange);
/* Finishes the exchange, which may be freed by this. Lock not held. */
void ch_exchange_finish(struct ch_exchange *exchange);

/* ---- exchange_call.c ---- */

/* Whether the list of upstreams still has the one of the grant, not draining.
 * A grant may be followed by waits: for a permission, a slot or a prompt's
 * turn, or for the stored origin of a stream. Lock held. */
bool ch_exchange_may_call_upstream(const struct ch_exchange *exchange);
/* Calls the upstream of the grant. Lock held. */
void ch_exchange_call_upstream(struct ch_exchange *exchange);
/* Calls it by another node; false: there is none, or the upstream may not be
 * called any more. Lock held. */
bool ch_exchange_call_by_other_node(struct ch_exchange *exchange);
/* Microseconds that a call may take before its caller's deadline; 0: the
 * caller stated none. */
int64_t ch_exchange_get_time_left(const struct ch_request *request,
                                  int64_t now);
/* The request ID that the caller knows. */
const char *ch_exchange_get_request_id(const struct ch_exchange *exchange);
/* What the router learns from the call. Lock held. */
struct ch_timing_sample
ch_exchange_get_timing_sample(const struct ch_exchange *exchange,
                              enum ch_code code);

/* ---- exchange_respond.c; lock held ---- */

/* Only the first of these calls has an effect. */
void ch_exchange_send_failure(struct ch_exchange *exchange, enum ch_code code,
                              const char *message, int64_t retry_after);
void ch_exchange_send_response(struct ch_exchange *exchange);
/* Writes one log line and updates the metrics; after the exchange's end. */
void ch_exchange_write_log(const struct ch_exchange *exchange);

#endif
