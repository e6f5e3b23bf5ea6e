#ifndef CH_UPSTREAM_H
#define CH_UPSTREAM_H

/*
 * Clients of model engines and plain services. Each implements one vtable, so
 * that an upstream with another protocol needs only one new file.
 */

#include "limit/limit.h"
#include "net/net.h"
#include "notices/notices.h"
#include "pace/pace.h"
#include "upstream/relay.h"

/* ---- a request to an upstream ---- */

/* By which node a call goes. */
struct ch_call_relay {
    const char *address;  /* ip:port of its relay listener */
    const char *upstream; /* name of the upstream */
};

struct ch_call {
    const struct ch_call_relay *relay; /* NULL: the call goes directly */
    const char *request_id; /* sent as X-Request-Id, checked in the response */
    const char *method;
    const char *path; /* with its query string */
    const char *content_type;
    const char *idempotency_key; /* forwarded to a plain service; or NULL */
    const void *body;
    size_t body_length;
    bool stream;               /* server-sent events are expected */
    bool may_repeat;           /* false: new connection, never sent twice */
    uint32_t resume_from;      /* token events that the caller already has */
    const char *last_event_id; /* last event that the caller has; or NULL */
    uint32_t priority;
    const char *team; /* whose request it is; NULL: not known */
    /* The caller's headers, to be forwarded; NULL: none. */
    const struct ch_http_header *headers;
    size_t header_count;
    int64_t remaining_time; /* until the caller stops waiting; 0: not stated */
    bool fresh_connection;  /* on a new connection, even if repeatable */
    int64_t connect_timeout;
    int64_t first_byte_timeout;
    int64_t stall_timeout;
    int64_t total_timeout; /* 0: none */
};

struct ch_call_result {
    enum ch_code code; /* OK: complete, with the upstream's own end marker */
    int status;
    bool may_have_run; /* false: certainly not run, safe to retry elsewhere */
    bool connection_refused; /* nothing accepts connections at the upstream */
    enum ch_relay_result relay_result; /* of a call by another node */
    uint32_t event_count;              /* token events forwarded */
    char message[160];
};

/*
 * Handlers run on the HTTP loop's thread. on_response runs once, before any
 * data, and only after the response's request id was found to match. For a
 * stream, on_data gets one complete event at a time ("data: ...\n\n") without
 * the end marker; for a plain response, bytes as they arrive.
 */
struct ch_call_handlers {
    /*
     * Runs before on_response, for upstreams whose headers are forwarded to
     * the caller; may be NULL.
     */
    void (*on_headers)(void *data, const struct ch_http_header *headers,
                       size_t count);
    void (*on_response)(void *data, int status, const char *content_type);
    void (*on_data)(void *data, const char *bytes, size_t length);
    /* As on_stall of struct ch_http_handlers; may be NULL. */
    bool (*on_stall)(void *data);
    void (*on_end)(void *data, const struct ch_call_result *result);
};

/*
 * Whether a response is a stream that was asked for. Any other response to
 * such a call is handled as a plain one (see call.c).
 */
bool ch_call_is_stream(bool asked, int status, const char *content_type);

/* ---- orders to an engine and its reports ---- */

enum ch_order_action {
    CH_ORDER_LOAD,
    CH_ORDER_UNLOAD,
};

struct ch_order {
    char id[40];
    uint64_t fencing_token;
    enum ch_order_action action;
    const char *model;
    const char *adapter; /* NULL: the model itself */
    /*
     * How many orders the engine must have taken before this one; it refuses
     * the order if the count differs. CH_ORDER_EXPECT_ANY: not checked.
     */
    int64_t expected_orders_taken;
    /*
     * By ch_clock_get_boottime(): the end of the lease under which the order
     * is given. It does not arrive after that. 0: no bound.
     */
    int64_t valid_until;
};

enum {
    CH_ORDER_EXPECT_ANY = -1,
};

struct ch_resident_item {
    char *name; /* "model" or "model/adapter" */
    uint32_t memory_mb;
};

struct ch_engine_report {
    char *boot_id;    /* changes when the engine restarts with empty memory */
    uint64_t started; /* identifies its process, as its entry's boot ID does;
                         0: not reported */
    uint32_t memory_mb;
    struct ch_resident_item *resident_items;
    size_t resident_item_count;
    char **done_order_ids; /* ids of the latest orders carried out */
    size_t done_order_count;
    uint32_t running;
    uint32_t waiting;
    bool draining;
    bool order_in_progress; /* an order is being carried out */
    uint64_t orders_taken;  /* since its start; 0 if not reported */
    uint32_t pinned_tokens; /* context tokens that cannot be evicted */
};

/* Accepts NULL. */
void ch_engine_report_free(struct ch_engine_report *report);

/* ---- the vtable ---- */

struct ch_upstream;

struct ch_upstream_ops {
    uint64_t (*call)(struct ch_upstream *upstream, const struct ch_call *call,
                     const struct ch_call_handlers *handlers, void *data);
    void (*cancel)(struct ch_upstream *upstream, uint64_t handle);
    /*
     * Calls done with OK: accepted, being carried out; ORDER_HOLDS: done at
     * once, or done already; STALE_FENCE: refused; UPSTREAM_REFUSED: another
     * order is being carried out, or came first; codes with an unknown
     * outcome: the order may still arrive. NULL for a plain service.
     */
    void (*send_order)(struct ch_upstream *upstream,
                       const struct ch_order *order,
                       void (*done)(void *data, enum ch_code code),
                       void *data);
    /* The callee of done owns the report; NULL with a code on failure. */
    void (*fetch_report)(struct ch_upstream *upstream,
                         void (*done)(void *data, enum ch_code code,
                                      struct ch_engine_report *report),
                         void *data);
    void (*free)(struct ch_upstream *upstream);
};

/*
 * Is told of the limits that the upstream names, in responses of any kind.
 * handle runs on the HTTP loop's thread, also for calls that outlive the
 * client of the upstream. succeeded: the upstream served a request, so that a
 * response without a limit shows that there is none.
 */
struct ch_limit_listener {
    void (*handle)(const struct ch_limit_listener *listener,
                   const struct ch_limit_reading *reading, bool succeeded,
                   int64_t sent_at);
    void *data;
    GQuark upstream;
    GQuark region; /* of the upstream */
};

/*
 * Is told how each direct call to the upstream ended, of requests, orders and
 * reports: what it shows about the path to the upstream. handle runs on the
 * HTTP loop's thread, also for calls that outlive the client of the upstream.
 */
struct ch_path_listener {
    void (*handle)(const struct ch_path_listener *listener,
                   const struct ch_http_result *result);
    void *data;
    GQuark upstream;
};

struct ch_upstream {
    const struct ch_upstream_ops *ops;
    struct ch_limit_listener limit_listener; /* handle may be NULL */
    /* Likewise; is told of the rejections a second that the upstream bears. */
    struct ch_limit_listener brittle_listener;
    struct ch_path_listener path_listener;     /* likewise */
    struct ch_notice_listener notice_listener; /* likewise */
    struct ch_pace_listener pace_listener;     /* likewise */
};

/* Calls the listener, if there is one, with what a response says; one that
 * says nothing is left out. */
void ch_upstream_report_notice(const struct ch_notice_listener *listener,
                               const struct ch_notice *notice,
                               int64_t sent_at);

/* Calls the listener, if there is one. */
void ch_upstream_report_path(const struct ch_path_listener *listener,
                             const struct ch_http_result *result);

/* Calls the listener, if there is one, with what a response states of the
 * upstream's load (NULL: nothing). */
void ch_upstream_report_load(const struct ch_pace_listener *listener,
                             const char *text);
/* Adds the value of a header that states the load to *text (NULL at first), a
 * new string. Values of repeated headers are joined so that they cannot be
 * read as one. */
void ch_upstream_append_load(char **text, const char *value);

/* Calls the listener, if there is one, with the header's values in a response
 * (NULL: none). */
void ch_upstream_report_limit(const struct ch_limit_listener *listener,
                              const char *values, bool succeeded,
                              int64_t sent_at);

/* control_timeout applies to orders and reports. */
struct ch_upstream *ch_upstream_engine_new(struct ch_client *client,
                                           struct ch_http *http,
                                           const char *address,
                                           int64_t control_timeout);
struct ch_upstream *ch_upstream_service_new(struct ch_client *client,
                                            struct ch_http *http,
                                            const char *address,
                                            int64_t control_timeout);

#endif
