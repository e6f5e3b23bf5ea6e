/*
 * Compression for messages between nodes. A configuration and a list of hosts
 * repeat the same few words, so that they compress to a tenth. Every node gets
 * a copy, half of them over the link between two regions: uncompressed, the
 * copies fill that link for seconds, and requests that cross it are delayed.
 */

#include "node/compress.h"

#include <gio/gio.h>

enum {
    /* zlib's default balance of time and size */
    COMPRESSION_LEVEL = -1,
    READ_CHUNK_BYTES = 64 * 1024,
};

/* See compress.h. */
GBytes *
ch_compress(const void *bytes, size_t length)
{
    GZlibCompressor *compressor = g_zlib_compressor_new(
        G_ZLIB_COMPRESSOR_FORMAT_ZLIB, COMPRESSION_LEVEL);
    GOutputStream *memory = g_memory_output_stream_new_resizable();
    GOutputStream *stream =
        g_converter_output_stream_new(memory, G_CONVERTER(compressor));
    /* Writes to memory fail only when memory runs out, and then GLib
     * aborts. */
    g_output_stream_write_all(stream, bytes, length, NULL, NULL, NULL);
    g_output_stream_close(stream, NULL, NULL);
    GBytes *compressed =
        g_memory_output_stream_steal_as_bytes(G_MEMORY_OUTPUT_STREAM(memory));
    g_object_unref(stream);
    g_object_unref(memory);
    g_object_unref(compressor);
    return compressed;
}

/* Appends all of a stream to text; false with *error. */
static bool
read_all(GInputStream *stream, size_t max_bytes, GString *text,
         struct ch_error *error)
{
    GError *stream_error = NULL;
    gssize count = 0;
    do {
        gsize old_length = text->len;
        g_string_set_size(text, old_length + READ_CHUNK_BYTES);
        count = g_input_stream_read(stream, text->str + old_length,
                                    READ_CHUNK_BYTES, NULL, &stream_error);
        g_string_set_size(text, old_length + (gsize)MAX(count, 0));
    } while (count > 0 && text->len <= max_bytes);
    if (count < 0) {
        ch_error_set(error, CH_FRAME_DAMAGED, "packed bytes: %s",
                     stream_error->message);
        g_error_free(stream_error);
        return false;
    }
    if (text->len > max_bytes) {
        ch_error_set(error, CH_FRAME_TOO_LARGE,
                     "packed bytes decompress to more than %zu bytes",
                     max_bytes);
        return false;
    }
    return true;
}

/* See compress.h. */
char *
ch_decompress(const void *bytes, size_t length, size_t max_bytes,
              size_t *text_length, struct ch_error *error)
{
    GZlibDecompressor *decompressor =
        g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
    GInputStream *memory =
        g_memory_input_stream_new_from_data(bytes, (gssize)length, NULL);
    GInputStream *stream =
        g_converter_input_stream_new(memory, G_CONVERTER(decompressor));
    GString *text = g_string_new(NULL);
    bool complete = read_all(stream, max_bytes, text, error);
    g_object_unref(stream);
    g_object_unref(memory);
    g_object_unref(decompressor);
    if (text_length != NULL) {
        *text_length = text->len;
    }
    return g_string_free(text, !complete);
}
