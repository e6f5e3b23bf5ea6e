#ifndef CH_WIRE_H
#define CH_WIRE_H

/* Framing of the protocol between nodes; does no socket I/O. */

#include "base/base.h"
#include "wire/chestnuthitch.pb-c.h"

enum {
    CH_WIRE_VERSION = 1,
    /*
     * Fits one configuration of the largest size that the key-value store
     * accepts, with some headroom.
     */
    CH_WIRE_MAX_FRAME_BYTES = 2 * 1024 * 1024,
    CH_WIRE_PREFIX_BYTES = 4,
};

/*
 * Appends one encoded frame to out. Returns false with *error if it is too
 * large; out is then unchanged.
 */
bool ch_wire_encode(const Chestnuthitch__Wire__Frame *frame, GByteArray *out,
                    struct ch_error *error);

/*
 * Decodes frames from bytes as they arrive. After an error the connection must
 * be closed: the decoder stays in its error state.
 */
struct ch_wire_decoder;

struct ch_wire_decoder *ch_wire_decoder_new(void);
void ch_wire_decoder_free(struct ch_wire_decoder *decoder);
void ch_wire_decoder_feed(struct ch_wire_decoder *decoder, const void *bytes,
                          size_t length);
/*
 * Returns the next frame, or NULL: the frame is incomplete, or *error is set.
 */
Chestnuthitch__Wire__Frame *
ch_wire_decoder_next(struct ch_wire_decoder *decoder, struct ch_error *error);
/* Size in bytes, on the connection, of the frame returned last. */
size_t ch_wire_decoder_get_frame_length(const struct ch_wire_decoder *decoder);
/* Frees a frame returned by ch_wire_decoder_next(); accepts NULL. */
void ch_wire_frame_free(Chestnuthitch__Wire__Frame *frame);

#endif
