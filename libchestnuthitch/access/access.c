/* Reads credentials and finds the team that a request belongs to. */

#include "access/access.h"

#include <string.h>
#include <strings.h>

enum {
    /* A shorter text occurs in other headers by chance. */
    MIN_RECOGNISED_KEY_BYTES = 8,
};

/* See access.h. */
void
ch_access_digest_key(const char *key, char digest[CH_ACCESS_DIGEST_SIZE])
{
    g_autofree char *text =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
    g_strlcpy(digest, text, CH_ACCESS_DIGEST_SIZE);
}

/* See access.h. */
bool
ch_access_is_key(const char *text)
{
    size_t bytes = strlen(text);
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isgraph(text[i])) {
            return false;
        }
    }
    return bytes > 0 && bytes <= CH_ACCESS_MAX_KEY_BYTES;
}

/* Finds the key in "SCHEME KEY"; NULL when the value is malformed. */
static const char *
find_key(const char *scheme, const char *value)
{
    size_t length = strlen(scheme);
    if (strncasecmp(value, scheme, length) != 0 || value[length] != ' ') {
        return NULL;
    }
    const char *key = value + length + strspn(value + length, " ");
    return ch_access_is_key(key) ? key : NULL;
}

/* See access.h. */
void
ch_credential_add(struct ch_credential *credential, const char *scheme,
                  const char *value)
{
    const char *key = find_key(scheme, value);
    bool first = credential->state == CH_CREDENTIAL_ABSENT;
    credential->state =
        first && key != NULL ? CH_CREDENTIAL_PRESENT : CH_CREDENTIAL_MALFORMED;
    credential->key = key;
}

/* See access.h. */
const struct ch_team *
ch_access_find_team(const struct ch_declaration *declaration,
                    const struct ch_class *class,
                    const struct ch_credential *credential, enum ch_code *code)
{
    static const enum ch_code codes[] = {
        [CH_CREDENTIAL_ABSENT] = CH_KEY_MISSING,
        [CH_CREDENTIAL_MALFORMED] = CH_KEY_MALFORMED,
        [CH_CREDENTIAL_PRESENT] = CH_KEY_UNKNOWN,
    };
    int index = -1;
    if (credential->state == CH_CREDENTIAL_PRESENT) {
        char digest[CH_ACCESS_DIGEST_SIZE];
        ch_access_digest_key(credential->key, digest);
        index = ch_declaration_find_team_by_key(declaration, digest);
    }
    bool needs_key = declaration->requires_keys && !class->public;
    *code = index >= 0 || !needs_key ? CH_OK : codes[credential->state];
    return index < 0 ? NULL : &declaration->teams[index];
}

/* See access.h. */
bool
ch_access_may_forward(const struct ch_credential *credential, const char *name,
                      const char *value)
{
    if (strcasecmp(name, "Authorization") == 0) {
        return false;
    }
    return credential->key == NULL ||
           strlen(credential->key) < MIN_RECOGNISED_KEY_BYTES ||
           strstr(value, credential->key) == NULL;
}
