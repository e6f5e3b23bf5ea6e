#ifndef CH_NET_H
#define CH_NET_H

/*
 * HTTP client: one thread around a libcurl multi handle. It carries the calls
 * to engines, plain services, the key-value service and the host list.
 */

#include "base/base.h"

struct ch_http; /* the HTTP client and its event loop */

struct ch_http_header {
    const char *name;
    const char *value;
};

struct ch_http_request {
    const char *method;
    const char *url; /* http://ip:port/path */
    const struct ch_http_header *headers;
    size_t header_count;
    const void *body;
    size_t body_length;
    int64_t connect_timeout;    /* until the connection is established */
    int64_t first_byte_timeout; /* from sending the request to the first byte
                                 of the response */
    int64_t
        stall_timeout; /* between two received bytes, after the first one */
    int64_t total_timeout; /* 0: none; caps the whole call */
    /*
     * Opens a new connection. Needed for a request that must not be repeated:
     * libcurl sends a POST again on its own when a kept-alive connection is
     * closed before any byte of the response (seen with 7.88.1).
     */
    bool fresh_connection;
    /*
     * Stops libcurl from sending the request again on its own, while still
     * allowing a reused connection. For callers that keep track of what may
     * have run.
     */
    bool no_resend;
    /*
     * By ch_clock_get_boottime(); 0: no bound. Nothing of the request is sent
     * after it, and what the other end has not acknowledged by then is
     * dropped, also while this process is frozen. The call has a connection of
     * its own.
     */
    int64_t valid_until;
    /*
     * Sends nothing: the call ends with OK once a new connection is
     * established, and that connection is closed.
     */
    bool connect_only;
    /* ch_http_fetch() keeps these headers; ended by NULL; NULL: none. The
     * names must outlive the call. */
    const char *const *kept_headers;
};

struct ch_http_result {
    enum ch_code code;       /* OK: the response was complete by its framing */
    int status;              /* 0: no status line was received */
    bool head_complete;      /* the headers were received to their end */
    bool sent;               /* some byte of the request may have been sent */
    bool connection_refused; /* nothing accepts connections at that address */
    int64_t started_at;      /* when the connection was looked for; 0: never */
    int64_t connected_at; /* when a new connection was established; 0: the call
                             used a kept one, or none */
    char message[160];
};

/*
 * Handlers run on the loop's thread and must not block. on_end runs exactly
 * once, also after a cancel, and no handler runs after it.
 */
struct ch_http_handlers {
    void (*on_status)(void *data, int status);
    void (*on_header)(void *data, const char *name, const char *value);
    /* Of an interim (1xx) response. */
    void (*on_interim_header)(void *data, const char *name, const char *value);
    void (*on_headers_end)(void *data); /* all on_header calls are done */
    void (*on_data)(void *data, const char *bytes, size_t length);
    /*
     * Called when the timeout for the first byte, or between two bytes, has
     * passed. Returns true to keep waiting, false to end the call. Called
     * again each time the same timeout passes once more, until the total
     * timeout. NULL: the call ends.
     */
    bool (*on_stall)(void *data);
    void (*on_end)(void *data, const struct ch_http_result *result);
};

struct ch_http *ch_http_new(struct ch_client *client);
/* Cancels all open calls, runs their on_end and joins the thread. */
void ch_http_free(struct ch_http *http);
/*
 * Copies the request; callable from any thread. Returns a handle for
 * ch_http_cancel().
 */
uint64_t ch_http_submit(struct ch_http *http,
                        const struct ch_http_request *request,
                        const struct ch_http_handlers *handlers, void *data);
void ch_http_cancel(struct ch_http *http, uint64_t handle);
/* Connections idle for longer than this are not reused. */
void ch_http_set_idle_timeout(struct ch_http *http, int64_t timeout);

/* An array of struct ch_http_header that owns its strings. */
GArray *ch_http_headers_new(void);
void ch_http_headers_add(GArray *headers, const char *name, const char *value);
/* Whether a header applies to one connection only (RFC 9110, 7.6.1), or
 * describes the framing of the body. */
bool ch_http_is_hop_header(const char *name);
/* Opens a new connection to "ip:port" and closes it again. The result is OK,
 * with connected_at, once it is established. */
void ch_http_probe(struct ch_http *http, const char *address, int64_t timeout,
                   void (*on_end)(void *data,
                                  const struct ch_http_result *result),
                   void *data);

/* Appends a value of a header that may come more than once, after a comma as
 * in RFC 9110, 5.3. Frees *values (NULL: none yet) and replaces it. */
void ch_http_append_value(char **values, const char *value);

/* A complete response collected in memory, for calls to the platform. */
struct ch_http_response {
    struct ch_http_result result;
    char *body; /* NUL-terminated */
    size_t body_length;
    char *etag; /* NULL if the response had no ETag */
    /* Of the request's kept_headers those that came, in this order; none if
     * the connection was closed within the headers. */
    const struct ch_http_header *kept_headers;
    size_t kept_header_count;
};

/*
 * Calls done(data, response) once, on the loop's thread; the response is freed
 * afterwards. A body over max_bytes ends with UPSTREAM_ANSWER.
 */
uint64_t ch_http_fetch(struct ch_http *http,
                       const struct ch_http_request *request, size_t max_bytes,
                       void (*done)(void *data,
                                    const struct ch_http_response *response),
                       void *data);

#endif
