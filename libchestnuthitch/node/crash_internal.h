#ifndef CH_NODE_CRASH_INTERNAL_H
#define CH_NODE_CRASH_INTERNAL_H

/* Shared by crash_guard.c (observations of calls, and the check before
   dispatch), crash_publish.c (messages between nodes) and crash_record.c
   (records in the key-value store). One lock protects all of it. */

#include "node/crash_guard.h"

#include <pthread.h>

enum {
    /* Size of the record key "crashes/DIGEST". */
    CRASH_RECORD_KEY_SIZE = 16 + CH_DIGEST_TEXT_SIZE,
};

struct ch_crash_guard {
    struct ch_node *node;
    pthread_mutex_t lock;
    pthread_cond_t idle;
    struct ch_crash_table *table;
    struct ch_interrupted_calls *interrupted_calls;
    GHashTable *active_upstreams; /* set of GQuark: upstreams listed and not
                            draining; NULL: no list came yet */
    GHashTable *last_probe_at;    /* GQuark of an upstream to when it was last
                              probed    (int64_t) */
    GArray *barred; /* struct ch_digest: reported as barred in the log */
    GArray *recorded_parts; /* struct ch_digest: whose record was queued */
    /* Parts of prompts to which responses began at this node; guarded by
     * begun_lock, so that calls seldom wait for other work. */
    struct ch_begun_parts *begun_parts;
    pthread_mutex_t begun_lock;
    /* Changes that were not sent to the other nodes yet. */
    GArray *unsent_observations; /* struct ch_crash_observation */
    GArray *unsent_harmless;     /* struct ch_digest */
    GArray *unsent_releases;     /* struct ch_digest */
    GArray *unwritten_records; /* struct ch_crash_assessment of barred requests
                           whose record is to be written */
    bool write_in_flight;      /* the first of them is being written */
    uint64_t store_returns;    /* after which the records were written again */
    bool records_loaded; /* the records were read from the key-value store */
    bool read_in_flight;
    int64_t last_read_at; /* when the records were last asked for; 0: never */
    bool publish_scheduled; /* a timer will send the unsent changes */
    int64_t started_at;
    int64_t last_tick_at;
    int64_t last_checksum_at;
    unsigned next_peer; /* index of the next node that gets the checksum */
    bool full_state_received; /* a node sent all that it knows, or there is no
                                 other node */
    bool stopping;
    unsigned pending_jobs; /* timers, calls and pool tasks in progress */
    int has_suspects; /* atomic; 0: no observation and no interrupted call, so
                   that calls need no lookup */
};

/* ---- crash_guard.c; lock held ---- */

/* Adds an observation from another node, or from this one (NULL); true when it
   is new. */
bool
crash_guard_add_observation(struct ch_crash_guard *guard,
                            const struct ch_crash_observation *observation,
                            const char *from);
/* Adds this node's calls that a crash interrupted (struct
   ch_crash_observation), queues them for the other nodes, and frees the
   list. */
void crash_guard_add_own_observations(struct ch_crash_guard *guard,
                                      GArray *observations);
/* Removes a request from the barred ones, so that the log reports it again if
   it is barred again. */
void crash_guard_remove_barred(struct ch_crash_guard *guard,
                               const struct ch_digest *digest);
/* Sets how many responses have begun at this node, for each suspected part. */
void crash_guard_update_own_begun(struct ch_crash_guard *guard);
/* Updates has_suspects. */
void crash_guard_update_has_suspects(struct ch_crash_guard *guard);

/* ---- crash_record.c ---- */

/* Queues the record of a barred request, if this node is one of those that
   write. Lock held. */
void crash_record_schedule_write(struct ch_crash_guard *guard,
                                 const struct ch_crash_assessment *assessment);
/* Removes the record of a request that was released or is harmless. Lock not
   held. */
void crash_record_remove(struct ch_crash_guard *guard,
                         const struct ch_digest *digest);
/* Reads the records until that succeeded once, and writes the next queued
   record. Lock not held. */
void crash_record_tick(struct ch_crash_guard *guard, int64_t now);

/* ---- crash_publish.c ---- */

void crash_publish_init(struct ch_crash_guard *guard);
/* Schedules the sending of unsent changes. Lock held. */
void crash_publish_schedule(struct ch_crash_guard *guard);
/* Asks other nodes for what they know, or sends the checksum to some of them,
   when due. Lock not held. */
void crash_publish_tick(struct ch_crash_guard *guard, int64_t now);

#endif
