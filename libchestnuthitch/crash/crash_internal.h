#ifndef CH_CRASH_INTERNAL_H
#define CH_CRASH_INTERNAL_H

/* Structures that table.c and assess.c share. */

#include "crash/crash.h"

/* A crash of an upstream's process. */
struct upstream_crash {
    GQuark upstream;
    uint64_t boot_id;
    int64_t crashed_at;  /* the earliest time that was reported */
    GPtrArray *suspects; /* of struct crash_suspect, not owned */
};

/* A request that was running on the upstream when it crashed. */
struct crash_involvement {
    struct upstream_crash *crash;
    bool before_response;
};

struct crash_suspect {
    struct ch_digest digest;
    uint64_t fingerprint;
    GArray *involvements; /* of struct crash_involvement */
    bool harmless;
    bool restored; /* read as barred from a stored record */
    int64_t restored_at;
    bool released; /* evidence up to released_at does not count */
    int64_t released_at;
    int64_t last_evidence_at; /* time of the newest evidence */
};

struct ch_crash_table {
    struct ch_crash_limits limits;
    GHashTable *suspects; /* ch_digest to crash_suspect, owned */
    GHashTable
        *fingerprint_counts; /* uint64_t to the number of suspects with it */
    GPtrArray *crashes;      /* of struct upstream_crash, owned */
};

#endif
