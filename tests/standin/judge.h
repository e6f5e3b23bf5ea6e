#ifndef STANDIN_JUDGE_H
#define STANDIN_JUDGE_H

/* The requests that an upstream executed, in its own record.  Tests compare
   with it what callers were told.  Entries stay until the process ends. */

#include "standin.h"

struct run {
    char *request_id;
    char *key;
    char *method;
    char *path;
    char *item; /* the model or adapter; "" for a plain service */
    uint64_t hash;
    unsigned resume_from;
    int64_t at; /* start, in microseconds of CLOCK_MONOTONIC */
    bool whole; /* the complete response was sent */
};

/* Adds a run that starts now, owned by the array.  Item: the model or adapter,
   "" for a plain service. */
struct run *judge_begin(GPtrArray *runs, const struct exchange *exchange,
                        const char *item);
/* Writes the member "runs", with times in milliseconds. */
void judge_record(const GPtrArray *runs, JsonBuilder *out);

#endif
