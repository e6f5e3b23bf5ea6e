#ifndef CH_NODE_COMPRESS_H
#define CH_NODE_COMPRESS_H

/* Compression of bytes sent between nodes, in zlib's format. */

#include "base/base.h"

/* The compressed bytes; a new reference. */
GBytes *ch_compress(const void *bytes, size_t length);

/* The decompressed bytes as a new string, ended by a zero byte that
   *text_length does not count. NULL with *error when the input is damaged, or
   decompresses to more than max_bytes. text_length may be NULL. */
char *ch_decompress(const void *bytes, size_t length, size_t max_bytes,
                    size_t *text_length, struct ch_error *error);

#endif
