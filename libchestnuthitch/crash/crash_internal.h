#ifndef CH_CRASH_INTERNAL_H
#define CH_CRASH_INTERNAL_H

/* Structures that table.c and assess.c share. */

#include "crash/crash.h"

/* A crash of an upstream's process. */
struct crash_end {
    GQuark upstream;
    uint64_t boot;
    int64_t at;          /* the earliest time that was reported */
    GPtrArray *suspects; /* of struct crash_suspect, not owned */
};

/* A request that was running on the upstream when it crashed. */
struct crash_on {
    struct crash_end *end;
    bool fresh;
};

struct crash_suspect {
    struct ch_digest digest;
    uint64_t fingerprint;
    GArray *ends; /* of struct crash_involvement */
    bool sound;
    bool recorded; /* read as barred from a stored record */
    int64_t recorded_at;
    bool released; /* evidence up to released_at does not count */
    int64_t released_at;
    int64_t last; /* time of the newest evidence */
};

struct ch_crash_table {
    struct ch_crash_limits limits;
    GHashTable *suspects;     /* ch_digest to crash_suspect, owned */
    GHashTable *fingerprints; /* uint64_t to the number of suspects with it */
    GPtrArray *ends;          /* of struct upstream_crash, owned */
};

#endif
