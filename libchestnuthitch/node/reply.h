#ifndef CH_NODE_REPLY_H
#define CH_NODE_REPLY_H

/*
 * The answer to one caller's request, written from any thread and sent by the
 * HTTP library's.  It bounds what a slow caller may leave unread.
 */

#include "base/base.h"
#include "net/net.h"

#include <microhttpd.h>

enum {
    CH_REPLY_ID = 40,
    CH_REPLY_MOST_ID = 200, /* of a caller's own id */
    /* Unsent bytes of one stream.  A token's event is some 200 bytes, so this
     * is about 5,000 tokens, more than any usual answer: a caller that is that
     * far behind has stopped reading.  1,000 such callers take 1 GB, and no
     * more. */
    CH_REPLY_MOST_UNSENT = 1024 * 1024,
};

/* A whole answer.  The strings are copied; the body is taken over. */
struct ch_reply_answer {
    int status;
    const char *content_type; /* NULL: none is sent */
    enum ch_outcome outcome;
    enum ch_code code;   /* OK: the header is left out */
    int64_t retry_after; /* 0: none */
    const char *allow;   /* of 405; NULL: none */
    char *body;          /* g_malloc'ed, or NULL */
    size_t length;
    /* The upstream's own, in place of ours; copied. */
    const struct ch_http_header *headers;
    size_t header_count;
};

struct ch_reply;

/* Tells that the caller is gone; at most once, any thread, no lock held. */
struct ch_reply_watcher {
    void (*gone)(void *data);
    void (*drop)(void *data); /* gives back the reference to data; once */
};

struct ch_reply *ch_reply_new(struct MHD_Connection *connection,
                              const char *request_id);
struct ch_reply *ch_reply_ref(struct ch_reply *reply);
void ch_reply_unref(struct ch_reply *reply);
const char *ch_reply_id(const struct ch_reply *reply);
int ch_reply_fd(const struct ch_reply *reply);
/* The caller's own id takes the place of ours, and goes back in a header of
   this name, which lives on, in place of all our headers.  Before anything is
   answered. */
void ch_reply_own_id(struct ch_reply *reply, const char *header,
                     const char *id);
/* Once, before anything is answered. */
void ch_reply_watch(struct ch_reply *reply,
                    const struct ch_reply_watcher *watcher, void *data);

/* ---- the writer's side; each is ignored once an answer was given ---- */

void ch_reply_whole(struct ch_reply *reply,
                    const struct ch_reply_answer *answer);
/* Head of a stream of server-sent events; headers: the upstream's own, which
   are copied, or NULL. */
void ch_reply_begin(struct ch_reply *reply,
                    const struct ch_http_header *headers, size_t count);
/* Closes the connection without an end: what was sent does not look whole. */
void ch_reply_cut(struct ch_reply *reply);
/* False when the caller is gone or too far behind: the stream is then cut. */
bool ch_reply_event(struct ch_reply *reply, const char *bytes, size_t length);
void ch_reply_end(struct ch_reply *reply);

/* ---- the library's side ---- */

/* Queues the answer, or suspends the connection until there is one. */
enum MHD_Result ch_reply_serve(struct ch_reply *reply, bool stopping);
/* The caller closed the connection while it waited. */
void ch_reply_hang_up(struct ch_reply *reply);
/* The library is done with the connection's request. */
void ch_reply_detach(struct ch_reply *reply);

#endif
