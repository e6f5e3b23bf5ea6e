#ifndef CH_NODE_REFUSAL_H
#define CH_NODE_REFUSAL_H

#include "base/base.h"

/* An error response to a caller. */
struct ch_refusal {
    enum ch_code code;
    enum ch_outcome outcome;
    const char *message; /* NULL or "": the code's description */
    const char *field;   /* NULL or "": none */
    int64_t retry_after; /* microseconds; 0: none */
    const char *request_id;
};

/* Returns {"error": {...}} as described in docs/INTERFACES.md; the caller
 * frees the string. */
char *ch_refusal_to_json(const struct ch_refusal *refusal);

#endif
