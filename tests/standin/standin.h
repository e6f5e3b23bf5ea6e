#ifndef STANDIN_H
#define STANDIN_H

/*
 * Test doubles for the services around the system.  One binary has a mode for
 * each service and handles all requests in one thread.  Faults are numbers
 * that /control/set?NAME=VALUE changes.  A fault for "the next N" requests is
 * a count that decreases by one at each use, unless it is FAULT_ALWAYS.
 */

#include "base/base.h"

#include <json-glib/json-glib.h>
#include <microhttpd.h>

#define FAULTS(FAULT)                                                         \
    /* all modes */                                                           \
    FAULT(down)         /* 1: not listening, open connections closed */       \
    FAULT(slow_ms)      /* delay before each response */                      \
    FAULT(slow_next)    /* number of responses with slow_ms; 0: all */        \
    FAULT(drop_before)  /* next N requests: closed without effect */          \
    FAULT(drop_after)   /* next N requests (key-value service: writes):       \
                           closed after the effect */                         \
    FAULT(silent_next)  /* next N requests: connection stalls before any      \
                           effect */                                          \
    FAULT(silent_after) /* next N requests: stall after the effect */         \
    FAULT(close_reused) /* next N POSTs on a reused connection: closed        \
                           after they ran */                                  \
    FAULT(refuse)       /* next N requests: 503 and X-Not-Run */              \
    /* engine, service */                                                     \
    FAULT(answer_ms)     /* service: time to a response */                    \
    FAULT(limit_millis)  /* names this limit, in thousandths of calls a       \
                            second, in every response; 0: none */             \
    FAULT(limit_garbage) /* 1: names values that are no numbers instead */    \
    FAULT(leaving)       /* 1: reported as draining; 2: not in the report */  \
    /* worker of the users' platform */                                       \
    FAULT(slots)   /* requests that run at once; 0: 64 */                     \
    FAULT(queue)   /* requests that may wait for a slot */                    \
    FAULT(brittle) /* N + 1: names N rejections a second, and falls over      \
                      beyond them; 0: none */                                 \
    FAULT(crash_percent) /* of requests with a part whose ID begins with      \
                            CRASH_PART, but for the last part: the worker     \
                            ends as it begins to write, for crash_ms */       \
    FAULT(fall_ms)       /* downtime after that; 0: it does not fall yet */   \
    /* engine, service */                                                     \
    FAULT(token_us)     /* engine: time per token */                          \
    FAULT(slow_percent) /* engine: percentage of token_us, 100 is normal */   \
    FAULT(load_ms)      /* engine: load time after the store's transfer */    \
    FAULT(fencing)      /* engine: 1: rejects old fencing numbers */          \
    FAULT(memory_mb)                                                          \
    FAULT(crossed)       /* next N responses: as for another request */       \
    FAULT(cut)           /* next N responses: connection closed half-way */   \
    FAULT(ended)         /* next N responses: end half-way as if complete */  \
    FAULT(doubled)       /* next N responses: sent twice */                   \
    FAULT(silent_stream) /* next N streams: stall half-way */                 \
    FAULT(drop_orders)   /* next N orders: lost before the engine */          \
    FAULT(lose_orders)   /* next N orders: accepted, never executed */        \
    FAULT(delay_orders)  /* next N orders: closed at once, executed after     \
                            delay_ms */                                       \
    FAULT(repeat_orders) /* next N orders: arrive again after delay_ms */     \
    FAULT(delay_ms)                                                           \
    FAULT(lie)      /* report: 1: always idle; 2: implausibly busy */         \
    FAULT(crash_ms) /* service: downtime after a request with CRASH_MARK in   \
                       its body; 0: such a request does no harm */            \
    /* host list */                                                           \
    FAULT(lag_ms) /* until a new list is served */                            \
    /* weight store */                                                        \
    FAULT(parallel) /* concurrent transfers at full speed */                  \
    FAULT(transfer_ms)

enum fault {
#define FAULT(name) FAULT_##name,
    FAULTS(FAULT)
#undef FAULT
    FAULT_COUNT
};

#define CRASH_MARK "crash-upstream"
#define CRASH_PART "dead"

enum {
    FAULT_ALWAYS = 1000000,
    STANDIN_MAX_BODY_BYTES = 4 * 1024 * 1024,
};

struct client_connection {
    bool silent;  /* stays open, but is not read or written any more */
    bool control; /* a control connection: faults don't apply */
    unsigned request_count;
};

struct standin;

/* One HTTP request and its response. */
struct exchange {
    struct standin *standin;
    struct MHD_Connection *connection;
    struct client_connection *client;
    const char *method;
    const char *path; /* without the query */
    GString *body;
    bool dispatched;
    bool suspended;
    bool closing; /* to be closed without a response */
    struct MHD_Response *response;
    int status;
    struct timer *timer;
    struct timer *delay_timer; /* delays the response; NULL: no delay */
    bool delay_pending; /* the response is to be delayed when it is ready */
    void *mode_data;    /* the mode's data; freed by the mode in on_end */
    /* At the end of the exchange; whole: the response was sent. */
    void (*on_end)(struct exchange *exchange, bool whole);
};

struct mode {
    const char *name;
    void (*start)(struct standin *standin);
    /* Sets a response with exchange_reply, now or later; a later response
       needs exchange_resume.  NULL: the mode accepts connections itself. */
    void (*handle)(struct exchange *exchange);
    /* Writes the members of the record into an open JSON object. */
    void (*record)(struct standin *standin, JsonBuilder *out);
    /* Handles a control request of this mode; false: unknown path. */
    bool (*control)(struct exchange *exchange);
};

struct standin {
    const struct mode *mode;
    GHashTable *options; /* the arguments NAME=VALUE, as text */
    int64_t faults[FAULT_COUNT];
    GSequence *timers;
    GHashTable *connections; /* open connections: struct client_connection to
                          the MHD_Connection */
    GPtrArray *daemons;
    GArray *arrivals; /* int64_t: when each call came, in microseconds of
                         CLOCK_MONOTONIC; without control calls */
    int64_t response_delay_us;   /* delay of the latest delayed response */
    bool connection_resumed;     /* a connection was resumed since the last
                         MHD_run;     MHD_get_timeout does not report that */
    struct MHD_Daemon *listener; /* NULL: not listening */
    uint16_t port;
    int job_pipe[2]; /* a pipe of struct loop_job */
    int signal_fd;
    int epoll_fd;
    void *mode_data; /* the mode's data */
};

/* Work that another thread passes to the event loop. */
struct loop_job {
    void (*run)(struct standin *standin, void *data);
    void *data;
};

extern const struct mode mode_kv, mode_hosts, mode_weights, mode_engine,
    mode_service, mode_relay, mode_users;

/* ---- loop.c ---- */

/* CLOCK_MONOTONIC, the same for all processes of the machine. */
int64_t monotonic_now_us(void);
/* Runs run(data) after a delay in microseconds.  The timer is freed after it
   ran, or by timer_cancel. */
struct timer *timer_add(struct standin *standin, int64_t delay_us,
                        void (*run)(void *data), void *data);
/* Removes and frees a timer that has not run; NULL is allowed. */
void timer_cancel(struct standin *standin, struct timer *timer);
/* From any thread: runs run(standin, data) in the event loop. */
void standin_post_job(struct standin *standin,
                      void (*run)(struct standin *, void *), void *data);
/* Opens a listening socket on the loopback address.  For port 0 the kernel
   chooses a port, which is stored there; exits the process on failure. */
int standin_socket(uint16_t *port, bool nonblocking);
/* Runs the event loop until SIGTERM or SIGINT; returns the exit status. */
int standin_run(struct standin *standin);
/* Starts or stops listening; stopping closes the open connections. */
void standin_listen(struct standin *standin, bool on);
/* Starts a listening daemon on a port, and adds it to the event loop.  For
   port 0 the kernel chooses a port, which is stored there. */
struct MHD_Daemon *standin_open_daemon(struct standin *standin,
                                       uint16_t *port);
/* Ends a daemon's listening and closes its connections. */
void standin_close_daemon(struct standin *standin, struct MHD_Daemon *daemon);
/* Closes the open connections, or lets them stall for good, but for control
   connections. */
void standin_close_connections(struct standin *standin, bool silent);

/* ---- exchange.c ---- */

/* True when a counted fault is set; decreases its count. */
bool fault_consume(struct standin *standin, enum fault fault);
/* A request header or query argument; NULL if missing. */
const char *exchange_header(const struct exchange *exchange, const char *name);
const char *exchange_query(const struct exchange *exchange, const char *name);
/* Sets the response; takes ownership of text. */
void exchange_reply(struct exchange *exchange, int status, char *text,
                    size_t length);
/* Sets a JSON response; frees the builder. */
void exchange_reply_json(struct exchange *exchange, int status,
                         JsonBuilder *builder);
/* Sets a response of plain text, with the request's id. */
void exchange_reply_text(struct exchange *exchange, int status,
                         const char *text);
/* Adds a header to the response that was set. */
void exchange_add_header(struct exchange *exchange, const char *name,
                         const char *value);
/* Continues a suspended exchange after its response was set; takes a struct
   exchange. */
void exchange_resume(void *exchange);
/* Suspends the connection until exchange_resume. */
void exchange_suspend(struct exchange *exchange);
/* Closes the connection without a response. */
void exchange_close(struct exchange *exchange);
/* Starts a daemon on a listening socket; the caller runs it in its loop.
   NULL on failure. */
struct MHD_Daemon *exchange_daemon(struct standin *standin, int socket);

/* Write one JSON member. */
void json_text(JsonBuilder *out, const char *name, const char *value);
void json_number(JsonBuilder *out, const char *name, int64_t value);

#endif
