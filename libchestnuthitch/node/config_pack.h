#ifndef CH_CONFIG_PACK_H
#define CH_CONFIG_PACK_H

/* A configuration's text in zlib's format, for the way between nodes. */

#include "base/base.h"

GBytes *ch_config_pack(const char *text);
/* A new text; NULL with *error when the bytes are none, or unpack to more than
   most_bytes. */
char *ch_config_unpack(const void *bytes, size_t length, size_t most_bytes,
                       struct ch_error *error);

#endif
