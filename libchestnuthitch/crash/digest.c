/* Digests, which tell whether two requests are the same. */

#include "crash/crash.h"

#include <stdio.h>
#include <string.h>

/* Hashes the length of a part, then the part, so that the same bytes divided
 * differently into parts give another digest. */
static void
add_part(GChecksum *checksum, const struct ch_digest_part *part)
{
    uint64_t length = GUINT64_TO_BE((uint64_t)part->length);
    g_checksum_update(checksum, (const guchar *)&length, sizeof(length));
    if (part->length > 0) {
        g_checksum_update(checksum, part->bytes, (gssize)part->length);
    }
}

/* The first half of a SHA-256 hash over the parts in order. */
struct ch_digest
ch_digest_compute(const struct ch_digest_part *parts, size_t count)
{
    struct ch_digest digest;
    guint8 hash[32];
    gsize length = sizeof(hash);
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    for (size_t i = 0; i < count; i++) {
        add_part(checksum, &parts[i]);
    }
    g_checksum_get_digest(checksum, hash, &length);
    g_checksum_free(checksum);
    memcpy(digest.bytes, hash, sizeof(digest.bytes));
    return digest;
}

/* Whether two digests are the same. */
bool
ch_digest_equal(const struct ch_digest *a, const struct ch_digest *b)
{
    return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

/* Writes a digest in hexadecimal. */
void
ch_digest_format(const struct ch_digest *digest,
                 char text[CH_DIGEST_TEXT_SIZE])
{
    for (size_t i = 0; i < CH_DIGEST_BYTES; i++) {
        (void)snprintf(text + 2 * i, 3, "%02x", digest->bytes[i]);
    }
}

/* Parses the text that ch_digest_format() wrote. */
bool
ch_digest_parse(const char *text, struct ch_digest *digest)
{
    if (strlen(text) != CH_DIGEST_TEXT_SIZE - 1) {
        return false;
    }
    for (size_t i = 0; i < CH_DIGEST_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        digest->bytes[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}
