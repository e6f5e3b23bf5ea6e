/*
 * Fuzzes the frame decoder: any bytes from another node give frames or an
 * error, never a memory fault.
 */

#include "wire/wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct ch_wire_decoder *decoder = ch_wire_decoder_new();
    struct ch_error error = {0};
    size_t chunk_size = size > 0 ? 1 + data[0] % 64U : 1;
    for (size_t at = 0; at < size; at += chunk_size) {
        ch_wire_decoder_feed(decoder, data + at, MIN(chunk_size, size - at));
        Chestnuthitch__Wire__Frame *frame = NULL;
        while ((frame = ch_wire_decoder_next(decoder, &error)) != NULL) {
            GByteArray *reencoded = g_byte_array_new();
            ch_wire_encode(frame, reencoded, &error);
            g_byte_array_free(reencoded, TRUE);
            ch_wire_frame_free(frame);
        }
    }
    ch_wire_decoder_free(decoder);
    return 0;
}
