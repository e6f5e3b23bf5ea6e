#ifndef CH_NODE_REFUSAL_H
#define CH_NODE_REFUSAL_H

#include "base/base.h"

/* What a caller is told in place of an answer. */
struct ch_refusal {
    enum ch_code code;
    enum ch_outcome outcome;
    const char *message; /* NULL or "": the code's meaning */
    const char *field;   /* NULL or "": none */
    int64_t retry_after; /* 0: none */
    const char *request_id;
};

/* {"error": {...}} as docs/INTERFACES.md has it; a new string. */
char *ch_refusal_print(const struct ch_refusal *refusal);

#endif
