#ifndef CH_UPSTREAM_SSE_H
#define CH_UPSTREAM_SSE_H

/* Server-sent events: bytes as they come in, whole events out. */

#include "base/base.h"

enum {
    /* Of one event.  A token's event is some hundred bytes; an upstream that
     * never ends one must not fill this node's memory. */
    CH_SSE_MOST_BYTES = 256 * 1024,
};

struct ch_sse {
    GString *event; /* lines of the event that is not yet whole */
    GString *line;  /* the line that is not yet whole */
    bool after_cr;  /* the last byte was the CR of a CR LF, maybe */
    bool failed;
};

void ch_sse_init(struct ch_sse *sse);
void ch_sse_clear(struct ch_sse *sse);
/*
 * Calls event(data, text, length) for each event that has a "data" line, as
 * "field: ...\n...\n\n" with LF alone.  False once an event is over the bound;
 * it stays so.
 */
bool ch_sse_feed(struct ch_sse *sse, const char *bytes, size_t length,
                 void (*event)(void *data, const char *text, size_t length),
                 void *data);
/* True when some bytes of an event came and its end did not. */
bool ch_sse_is_partial(const struct ch_sse *sse);
/* True when the event's data is the end mark [DONE]. */
bool ch_sse_is_done(const char *text, size_t length);
/* True when the event's JSON has the member "id" with this value. */
bool ch_sse_has_id(const char *text, size_t length, const char *id);

#endif
