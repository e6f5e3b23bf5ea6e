#ifndef CH_NODE_RESPONSE_H
#define CH_NODE_RESPONSE_H

/*
 * The response to one caller's request, written from any thread and sent by
 * libmicrohttpd's threads. Limits how many bytes a slow caller may leave
 * unread, and how many all callers together may.
 */

#include "base/base.h"
#include "net/net.h"

#include <json-glib/json-glib.h>
#include <microhttpd.h>

enum {
    CH_RESPONSE_ID_SIZE = 40,
    CH_RESPONSE_MAX_ID_BYTES = 200, /* bytes; of a caller's own request ID */
    /* Limit of one stream's unsent bytes. A token's event has about 200 bytes,
     * so the limit is about 5,000 tokens, more than any usual response: a
     * caller that is so far behind has stopped reading. 1,000 such callers
     * take 1 GB at most. */
    CH_RESPONSE_MAX_UNSENT_BYTES = 1024 * 1024,
};

/* A complete response. The strings are copied; the response takes ownership of
 * the body. */
struct ch_response_data {
    int status;
    const char *content_type; /* NULL: not sent */
    enum ch_outcome outcome;
    enum ch_code code;     /* OK: the header is omitted */
    int64_t retry_after;   /* microseconds, for Retry-After; 0: none */
    const char *challenge; /* WWW-Authenticate of status 401, a static string;
                              NULL: none */
    const char *allow;     /* Allow header of status 405; NULL: none */
    char *body;            /* g_malloc'ed, or NULL */
    size_t body_length;
    /* The upstream's headers, sent instead of Chestnuthitch's; copied. */
    const struct ch_http_header *headers;
    size_t header_count;
};

struct ch_response;

/* Called when the caller has disconnected: at most once, on any thread,
 * without a lock held. */
struct ch_response_watcher {
    void (*disconnected)(void *data);
    void (*unref_data)(
        void *data); /* releases the reference to data; called once */
};

/* The memory that all responses of a node hold for their callers. Beyond bound
 * (bytes) the responses that hold most are cut off, logged and counted. A
 * response that is sent as a whole counts in full until its end, as the
 * library does not tell how much of it is sent. Must outlive the responses'
 * connections. The functions accept NULL: there is no bound. */
struct ch_response_memory;

struct ch_response_memory *ch_response_memory_new(struct ch_client *client,
                                                  size_t bound);
void ch_response_memory_free(struct ch_response_memory *memory);
/* Adds the member "unsent" to an open object. */
void ch_response_memory_write_status(struct ch_response_memory *memory,
                                     JsonBuilder *builder);

/* memory: NULL, or where the response's unsent bytes are counted. */
struct ch_response *ch_response_new(struct MHD_Connection *connection,
                                    const char *request_id,
                                    struct ch_response_memory *memory);
struct ch_response *ch_response_ref(struct ch_response *response);
void ch_response_unref(struct ch_response *response);
const char *ch_response_get_id(const struct ch_response *response);
int ch_response_get_fd(const struct ch_response *response);
/* Sends the caller's own request ID (NULL: the generated one) in the given
 * header, and omits all of Chestnuthitch's headers. header must outlive the
 * response. To be called before any part of the response is given. */
void ch_response_use_caller_id(struct ch_response *response,
                               const char *header, const char *id);
/* Sets who is notified when the caller disconnects; data belongs to the
 * watcher. To be called once, before any part of the response is given. A
 * disconnect just before the call is reported when the library closes the
 * connection. */
void ch_response_set_watcher(struct ch_response *response,
                             const struct ch_response_watcher *watcher,
                             void *data);

/* ---- for the writer; a second complete response or stream start is ignored
 * ---- */

void ch_response_send(struct ch_response *response,
                      const struct ch_response_data *data);
/* Starts a stream of server-sent events with status 200. headers: the
 * upstream's, which are copied, or NULL. */
void ch_response_start_stream(struct ch_response *response,
                              const struct ch_http_header *headers,
                              size_t count);
/* Starts a response of another server, whose status and headers (copied) are
 * sent as they are; its body follows as the events of a stream do. */
void ch_response_start_forward(struct ch_response *response, int status,
                               const struct ch_http_header *headers,
                               size_t count);
/* Closes the connection without ending the stream, so that the caller does not
 * take the part sent for a complete response. */
void ch_response_abort(struct ch_response *response);
/* Appends an event to the stream. False when the caller has disconnected or is
 * too far behind; the stream is then aborted. */
bool ch_response_add_event(struct ch_response *response, const char *bytes,
                           size_t length);
void ch_response_end_stream(struct ch_response *response);

/* ---- for libmicrohttpd's callbacks ---- */

/* Queues the response, or suspends the connection until there is one.
 * stopping: asks the caller to close the connection. */
enum MHD_Result ch_response_queue(struct ch_response *response, bool stopping);
/* The caller has closed the connection. */
void ch_response_handle_disconnect(struct ch_response *response);
/* The library has finished with the request; its connection is not used from
 * here on. */
void ch_response_detach(struct ch_response *response);

#endif
