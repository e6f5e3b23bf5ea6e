#ifndef CH_WIRE_H
#define CH_WIRE_H

/* Framing of the protocol between nodes; no sockets here. */

#include "base/base.h"
#include "wire/chestnuthitch.pb-c.h"

enum {
    CH_WIRE_VERSION = 1,
    /* One configuration at the KV's largest value, and room around it. */
    CH_WIRE_MOST_BYTES = 2 * 1024 * 1024,
    CH_WIRE_PREFIX = 4,
};

/* Appends one framed message to out. */
bool ch_wire_encode(const Chestnuthitch__Wire__Frame *frame, GByteArray *out,
                    struct ch_error *error);

/*
 * Takes bytes as they come and gives whole frames.  After an error the
 * connection is to be closed: the decoder stays in error.
 */
struct ch_wire_decoder;

struct ch_wire_decoder *ch_wire_decoder_new(void);
void ch_wire_decoder_free(struct ch_wire_decoder *decoder);
void ch_wire_decoder_feed(struct ch_wire_decoder *decoder, const void *bytes,
                          size_t length);
/* The next frame, or NULL: no whole one yet, or *error is set. */
Chestnuthitch__Wire__Frame *
ch_wire_decoder_next(struct ch_wire_decoder *decoder, struct ch_error *error);
/* Bytes that the frame given last took on the connection. */
size_t ch_wire_decoder_length(const struct ch_wire_decoder *decoder);
void ch_wire_frame_free(Chestnuthitch__Wire__Frame *frame);

#endif
