/*
 * A configuration and a list of hosts name the same few words again and again,
 * so that they pack to a tenth.  Every node gets a copy, half of them over the
 * link between two regions: unpacked they keep that link full for seconds, and
 * requests that cross it wait behind them.
 */

#include "node/pack.h"

#include <gio/gio.h>

enum {
    /* zlib's own balance of time and size. */
    LEVEL = -1,
    STEP = 64 * 1024,
};

/* The bytes, packed. */
GBytes *
ch_pack(const void *bytes, size_t length)
{
    GZlibCompressor *packer =
        g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, LEVEL);
    GOutputStream *memory = g_memory_output_stream_new_resizable();
    GOutputStream *stream =
        g_converter_output_stream_new(memory, G_CONVERTER(packer));
    /* Writes to memory fail only where memory ends, and then GLib aborts. */
    g_output_stream_write_all(stream, bytes, length, NULL, NULL, NULL);
    g_output_stream_close(stream, NULL, NULL);
    GBytes *packed =
        g_memory_output_stream_steal_as_bytes(G_MEMORY_OUTPUT_STREAM(memory));
    g_object_unref(stream);
    g_object_unref(memory);
    g_object_unref(packer);
    return packed;
}

/* Reads all of a stream; false with *error. */
static bool
read_all(GInputStream *stream, size_t most_bytes, GString *text,
         struct ch_error *error)
{
    GError *problem = NULL;
    gssize count = 0;
    do {
        gsize before = text->len;
        g_string_set_size(text, before + STEP);
        count = g_input_stream_read(stream, text->str + before, STEP, NULL,
                                    &problem);
        g_string_set_size(text, before + (gsize)MAX(count, 0));
    } while (count > 0 && text->len <= most_bytes);
    if (count < 0) {
        ch_error_set(error, CH_FRAME_DAMAGED, "packed bytes: %s",
                     problem->message);
        g_error_free(problem);
        return false;
    }
    if (text->len > most_bytes) {
        ch_error_set(error, CH_FRAME_TOO_LARGE,
                     "packed bytes that unpack to more than %zu", most_bytes);
        return false;
    }
    return true;
}

/* See pack.h. */
char *
ch_unpack(const void *bytes, size_t length, size_t most_bytes,
          size_t *unpacked, struct ch_error *error)
{
    GZlibDecompressor *unpacker =
        g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
    GInputStream *memory =
        g_memory_input_stream_new_from_data(bytes, (gssize)length, NULL);
    GInputStream *stream =
        g_converter_input_stream_new(memory, G_CONVERTER(unpacker));
    GString *text = g_string_new(NULL);
    bool whole = read_all(stream, most_bytes, text, error);
    g_object_unref(stream);
    g_object_unref(memory);
    g_object_unref(unpacker);
    if (unpacked != NULL) {
        *unpacked = text->len;
    }
    return g_string_free(text, !whole);
}
