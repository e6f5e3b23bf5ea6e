#ifndef STANDIN_RUN_LOG_H
#define STANDIN_RUN_LOG_H

/* The requests that an upstream executed, in its own record.  Tests compare
   with it what callers were told.  Entries stay until the process ends. */

#include "standin.h"

struct run {
    char *request_id;
    char *key;
    char *method;
    char *path;
    char *team;
    bool has_credential; /* an Authorization header was received */
    char *item;          /* the model or adapter; "" for a plain service */
    uint64_t hash;
    unsigned resume_from;
    int64_t started_at; /* start, in microseconds of CLOCK_MONOTONIC */
    bool complete;      /* the complete response was sent */
};

/* Adds a run that starts now, owned by the array.  Item: the model or adapter,
   "" for a plain service. */
struct run *run_log_begin(GPtrArray *runs, const struct exchange *exchange,
                          const char *item);
/* Writes the member "runs", with times in milliseconds. */
void run_log_write(const GPtrArray *runs, JsonBuilder *out);

#endif
