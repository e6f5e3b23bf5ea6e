#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

/*
 * The stand-ins' answers: a function of the request's body alone, but for the
 * request id in it, so that a checker can make the whole answer for itself.
 */

#include "base/base.h"

#include <stdio.h>

/* Appends token i of the answer to a body of that hash: a hash word. */
static inline void
answer_token(GString *out, uint64_t hash, unsigned i)
{
    g_string_append_printf(out, "%08x ", (unsigned)ch_hash_pair(hash, i));
}

/* Appends event i of a streamed answer. */
static inline void
answer_event(GString *out, const char *id, bool chat, uint64_t hash,
             unsigned i)
{
    g_string_append_printf(
        out, "data: {\"id\":\"cmpl-%s\",\"choices\":[{\"index\":0,\"%s", id,
        chat ? "delta\":{\"content\":\"" : "text\":\"");
    answer_token(out, hash, i);
    g_string_append(out, chat ? "\"}}]}\n\n" : "\"}]}\n\n");
}

/* Appends the whole answer to a model call that is no stream. */
static inline void
answer_whole(GString *out, const char *id, bool chat, uint64_t hash,
             unsigned tokens)
{
    g_string_append_printf(
        out, "{\"id\":\"cmpl-%s\",\"choices\":[{\"index\":0,\"%s", id,
        chat ? "message\":{\"role\":\"assistant\",\"content\":\""
             : "text\":\"");
    for (unsigned i = 0; i < tokens; i++) {
        answer_token(out, hash, i);
    }
    g_string_append_printf(out,
                           "\"%s,\"finish_reason\":\"stop\"}],\"usage\":{"
                           "\"completion_tokens\":%u}}",
                           chat ? "}" : "", tokens);
}

/* Appends the answer of a plain service. */
static inline void
answer_service(GString *out, const char *method, const char *path,
               uint64_t hash)
{
    uint64_t call = ch_hash_pair(ch_hash_string(method), ch_hash_string(path));
    g_string_append_printf(out, "{\"method\":\"%s\",\"result\":\"", method);
    for (unsigned i = 0; i < 4; i++) {
        answer_token(out, ch_hash_pair(call, hash), i);
    }
    g_string_append(out, "\"}\n");
}

#endif
