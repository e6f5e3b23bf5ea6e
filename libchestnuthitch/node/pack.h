#ifndef CH_NODE_PACK_H
#define CH_NODE_PACK_H

/* Bytes in zlib's format, for the way between nodes. */

#include "base/base.h"

GBytes *ch_pack(const void *bytes, size_t length);
/* A new copy of what was packed, ended by a zero byte that *unpacked does not
   count; NULL with *error when the bytes are none, or unpack to more than
   most_bytes.  unpacked may be NULL. */
char *ch_unpack(const void *bytes, size_t length, size_t most_bytes,
                size_t *unpacked, struct ch_error *error);

#endif
