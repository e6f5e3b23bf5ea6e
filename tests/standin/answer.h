#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

/*
 * The responses of the simulated upstreams.  A model's response depends on the
 * request's body and id alone, a plain service's on method, path and body, so
 * that a test can compute the expected response itself.
 */

#include "base/base.h"

#include <stdio.h>

/* Appends token i, a hash as text, of the response to a body with this
   hash. */
static inline void
append_response_token(GString *out, uint64_t hash, unsigned i)
{
    g_string_append_printf(out, "%08x ", (unsigned)ch_hash_pair(hash, i));
}

/* Appends event i of a streamed response. */
static inline void
append_response_event(GString *out, const char *id, bool chat, uint64_t hash,
                      unsigned i)
{
    g_string_append_printf(
        out, "data: {\"id\":\"cmpl-%s\",\"choices\":[{\"index\":0,\"%s", id,
        chat ? "delta\":{\"content\":\"" : "text\":\"");
    append_response_token(out, hash, i);
    g_string_append(out, chat ? "\"}}]}\n\n" : "\"}]}\n\n");
}

/* Appends the response to a model request without streaming. */
static inline void
append_response_whole(GString *out, const char *id, bool chat, uint64_t hash,
                      unsigned tokens)
{
    g_string_append_printf(
        out, "{\"id\":\"cmpl-%s\",\"choices\":[{\"index\":0,\"%s", id,
        chat ? "message\":{\"role\":\"assistant\",\"content\":\""
             : "text\":\"");
    for (unsigned i = 0; i < tokens; i++) {
        append_response_token(out, hash, i);
    }
    g_string_append_printf(out,
                           "\"%s,\"finish_reason\":\"stop\"}],\"usage\":{"
                           "\"completion_tokens\":%u}}",
                           chat ? "}" : "", tokens);
}

/* Appends the response of a plain service. */
static inline void
append_response_service(GString *out, const char *method, const char *path,
                        uint64_t hash)
{
    uint64_t call = ch_hash_pair(ch_hash_string(method), ch_hash_string(path));
    g_string_append_printf(out, "{\"method\":\"%s\",\"result\":\"", method);
    for (unsigned i = 0; i < 4; i++) {
        append_response_token(out, ch_hash_pair(call, hash), i);
    }
    g_string_append(out, "\"}\n");
}

#endif
