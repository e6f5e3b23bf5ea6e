/* Framing: four bytes of length, big endian, then one encoded Frame. */

#include "wire/wire.h"

#include <string.h>

struct ch_wire_decoder {
    GByteArray *bytes;
    size_t consumed;         /* bytes of frames already returned */
    size_t last_frame_bytes; /* size in bytes of the frame returned last */
    bool failed;
};

/*
 * Appends the frame with its length prefix to out. Returns false with
 * FRAME_TOO_LARGE if the receiver would reject the frame; out is then
 * unchanged.
 */
bool
ch_wire_encode(const Chestnuthitch__Wire__Frame *frame, GByteArray *out,
               struct ch_error *error)
{
    size_t length = chestnuthitch__wire__frame__get_packed_size(frame);
    if (length > CH_WIRE_MAX_FRAME_BYTES) {
        ch_error_set(error, CH_FRAME_TOO_LARGE, "a frame of %zu bytes",
                     length);
        return false;
    }
    guint at = out->len;
    g_byte_array_set_size(out, at + CH_WIRE_PREFIX_BYTES + (guint)length);
    uint32_t prefix = GUINT32_TO_BE((uint32_t)length);
    memcpy(out->data + at, &prefix, sizeof(prefix));
    chestnuthitch__wire__frame__pack(frame,
                                     out->data + at + CH_WIRE_PREFIX_BYTES);
    return true;
}

/* Creates a decoder for one connection. */
struct ch_wire_decoder *
ch_wire_decoder_new(void)
{
    struct ch_wire_decoder *decoder = g_new0(struct ch_wire_decoder, 1);
    decoder->bytes = g_byte_array_new();
    return decoder;
}

/* Frees the decoder and any incomplete frame. */
void
ch_wire_decoder_free(struct ch_wire_decoder *decoder)
{
    if (decoder == NULL) {
        return;
    }
    g_byte_array_free(decoder->bytes, TRUE);
    g_free(decoder);
}

/*
 * Adds bytes read from the connection. The caller takes all frames after each
 * feed, so that at most one frame and one read are buffered.
 */
void
ch_wire_decoder_feed(struct ch_wire_decoder *decoder, const void *bytes,
                     size_t length)
{
    if (decoder->consumed > 0) {
        g_byte_array_remove_range(decoder->bytes, 0, (guint)decoder->consumed);
        decoder->consumed = 0;
    }
    g_byte_array_append(decoder->bytes, bytes, (guint)length);
}

/*
 * Sets the error and leaves the decoder in the error state for good: after a
 * bad frame, the start of the next one is unknown.
 */
static Chestnuthitch__Wire__Frame *
fail(struct ch_wire_decoder *decoder, struct ch_error *error,
     enum ch_code code, const char *message)
{
    decoder->failed = true;
    ch_error_set(error, code, "%s", message);
    return NULL;
}

/*
 * Returns the next complete frame, to be freed with ch_wire_frame_free(); NULL
 * if more bytes are needed, or with *error set if the connection must be
 * closed. The length is checked before anything is allocated for it.
 */
Chestnuthitch__Wire__Frame *
ch_wire_decoder_next(struct ch_wire_decoder *decoder, struct ch_error *error)
{
    if (decoder->failed) {
        return fail(decoder, error, CH_FRAME_DAMAGED,
                    "connection already had a bad frame");
    }
    size_t available = decoder->bytes->len - decoder->consumed;
    if (available < CH_WIRE_PREFIX_BYTES) {
        return NULL;
    }
    const uint8_t *at = decoder->bytes->data + decoder->consumed;
    uint32_t prefix = 0;
    memcpy(&prefix, at, sizeof(prefix));
    size_t length = GUINT32_FROM_BE(prefix);
    if (length > CH_WIRE_MAX_FRAME_BYTES) {
        return fail(decoder, error, CH_FRAME_TOO_LARGE,
                    "frame is over the size limit");
    }
    if (available - CH_WIRE_PREFIX_BYTES < length) {
        return NULL;
    }
    Chestnuthitch__Wire__Frame *frame = chestnuthitch__wire__frame__unpack(
        NULL, length, at + CH_WIRE_PREFIX_BYTES);
    if (frame == NULL) {
        return fail(decoder, error, CH_FRAME_DAMAGED,
                    "frame cannot be decoded");
    }
    decoder->last_frame_bytes = CH_WIRE_PREFIX_BYTES + length;
    decoder->consumed += decoder->last_frame_bytes;
    if (frame->version != CH_WIRE_VERSION) {
        ch_wire_frame_free(frame);
        return fail(decoder, error, CH_FRAME_VERSION,
                    "frame of another "
                    "version");
    }
    if (frame->body_case == CHESTNUTHITCH__WIRE__FRAME__BODY__NOT_SET ||
        frame->from[0] == '\0') {
        ch_wire_frame_free(frame);
        return fail(decoder, error, CH_FRAME_DAMAGED,
                    "frame without body or sender");
    }
    return frame;
}

size_t
ch_wire_decoder_get_frame_length(const struct ch_wire_decoder *decoder)
{
    return decoder->last_frame_bytes;
}

void
ch_wire_frame_free(Chestnuthitch__Wire__Frame *frame)
{
    if (frame != NULL) {
        chestnuthitch__wire__frame__free_unpacked(frame, NULL);
    }
}
