#ifndef CH_UPSTREAM_SSE_H
#define CH_UPSTREAM_SSE_H

/* Splits a byte stream into complete server-sent events. */

#include "base/base.h"

enum {
    /*
     * Maximum size of one event. A token's event has some hundred bytes; an
     * upstream that never ends an event must not fill this node's memory.
     */
    CH_SSE_MAX_EVENT_BYTES = 256 * 1024,
};

struct ch_sse_parser {
    GString *event; /* complete lines of the incomplete event */
    GString *line;  /* the incomplete line */
    bool after_cr;  /* the last byte was a CR, maybe of a CR LF */
    bool too_large;
};

/* Initialises an empty parser; ch_sse_clear() frees its buffers. */
void ch_sse_init(struct ch_sse_parser *sse);
void ch_sse_clear(struct ch_sse_parser *sse);
/*
 * Calls event(data, text, length) for each event that has a "data" line, as
 * "field: ...\n...\n\n" with LF only. Returns false once an event is over the
 * limit, and on every later call.
 */
bool ch_sse_feed(struct ch_sse_parser *sse, const char *bytes, size_t length,
                 void (*event)(void *data, const char *text, size_t length),
                 void *data);
/* Whether part of an event was received, but not its end. */
bool ch_sse_is_partial(const struct ch_sse_parser *sse);
/* Whether the event's data is the end marker [DONE]. */
bool ch_sse_is_done(const char *text, size_t length);
/* Whether the event's JSON has the member "id" with this value. */
bool ch_sse_has_id(const char *text, size_t length, const char *id);

#endif
