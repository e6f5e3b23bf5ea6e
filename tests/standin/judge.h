#ifndef STANDIN_JUDGE_H
#define STANDIN_JUDGE_H

/* What an upstream ran, as it saw it itself: the judge of what callers are
   told.  Kept for as long as the stand-in lives. */

#include "standin.h"

struct run {
    char *request_id;
    char *key;
    char *method;
    char *path;
    char *item; /* the model or adapter; "" at a plain service */
    uint64_t hash;
    unsigned resume_from;
    int64_t at;
    bool whole;
};

struct run *judge_begin(GPtrArray *runs, const struct exchange *exchange,
                        const char *item);
void judge_record(const GPtrArray *runs, JsonBuilder *out);

#endif
