#ifndef CH_ACCESS_H
#define CH_ACCESS_H

/*
 * Access keys: which team a request belongs to. A key is only used to compute
 * its digest and to keep it out of what is passed on; digests are what is
 * stored, compared and sent to other nodes.
 */

#include "base/base.h"

enum {
    CH_ACCESS_DIGEST_SIZE = 65, /* SHA-256 in hexadecimal, with its NUL */
    CH_ACCESS_MAX_KEY_BYTES = 200,
};

enum ch_credential_state {
    CH_CREDENTIAL_ABSENT,
    CH_CREDENTIAL_MALFORMED,
    CH_CREDENTIAL_PRESENT,
};

/* What the Authorization headers of a request contain. */
struct ch_credential {
    enum ch_credential_state state;
    const char *key; /* points into the header; NULL: none */
};

/* Whether text can be a key: 1 to CH_ACCESS_MAX_KEY_BYTES bytes of printable
 * ASCII without blanks. */
bool ch_access_is_key(const char *text);
/* Computes the digest of a key. */
void ch_access_digest_key(const char *key, char digest[CH_ACCESS_DIGEST_SIZE]);
/* Takes the value of one more Authorization header, "SCHEME KEY". A second
 * one makes the credential malformed. */
void ch_credential_add(struct ch_credential *credential, const char *scheme,
                       const char *value);
/* The team that a request with this credential belongs to. NULL with *code OK:
 * no team is known, and the class needs none; NULL with another code: the
 * request is to be refused. */
const struct ch_team *ch_access_find_team(
    const struct ch_declaration *declaration, const struct ch_class *class,
    const struct ch_credential *credential, enum ch_code *code);
/* Whether a header may be passed on to an upstream; false for one that carries
 * the key, whatever its name. */
bool ch_access_may_forward(const struct ch_credential *credential,
                           const char *name, const char *value);

#endif
