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
    uint64_t part; /* 0: a request */
    /* Of a part: responses that began, by node and at this one, and how many
     * of the latter the other nodes were told. */
    GHashTable *begun_elsewhere; /* GQuark to a count; NULL: none */
    unsigned own_begun;
    unsigned own_begun_told;
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

/* ---- assess.c ---- */

/* Responses to prompts with the part that began, at all nodes. */
unsigned crash_suspect_count_begun(const struct crash_suspect *suspect);
/* How many the other nodes are told of: enough to tell that the part is not
 * the cause, also after some more crashes. */
unsigned crash_suspect_get_begun_told(const struct ch_crash_table *table,
                                      const struct crash_suspect *suspect);

#endif
