#ifndef CH_CRASH_H
#define CH_CRASH_H

/*
 * Requests that crash the upstreams that run them, and parts of prompts that
 * do so whatever else the request holds: records which requests and parts were
 * on an upstream when it crashed, and decides which of them are barred (no
 * longer sent to any upstream).  No sockets, clock or threads; times are
 * arguments, in microseconds.
 */

#include "base/base.h"

enum {
    CH_DIGEST_BYTES = 16,
    CH_DIGEST_TEXT_SIZE = 2 * CH_DIGEST_BYTES + 1,
};

/* ---- digests: whether two requests are the same (digest.c) ---- */

/* Identifies a request: hash of host, path, caller and body, each preceded by
   its length. */
struct ch_digest {
    uint8_t bytes[CH_DIGEST_BYTES];
};

struct ch_digest_part {
    const void *bytes;
    size_t length;
};

struct ch_digest ch_digest_compute(const struct ch_digest_part *parts,
                                   size_t count);
bool ch_digest_equal(const struct ch_digest *a, const struct ch_digest *b);
void ch_digest_format(const struct ch_digest *digest,
                      char text[CH_DIGEST_TEXT_SIZE]);
/* False: the text is not a digest. */
bool ch_digest_parse(const char *text, struct ch_digest *digest);

/* ---- crash observations (table.c) ---- */

/* A request, or a part of its prompt, was on an upstream when the upstream's
   process ended. */
struct ch_crash_observation {
    struct ch_digest digest;
    uint64_t part; /* ID of the part; 0: a request */
    /* A hash that costs less than the digest and is known of every request. */
    uint64_t fingerprint;
    GQuark upstream;
    uint64_t boot_id;
    int64_t ended_at;     /* when the process ended */
    bool before_response; /* no part of the response had arrived */
};

struct ch_crash_limits {
    unsigned crashes_to_bar; /* a request is barred from this many on */
    size_t max_requests; /* table size; the oldest evidence is dropped first */
    int64_t retention;   /* older evidence is dropped */
};

enum ch_crash_state {
    CH_CRASH_UNKNOWN,   /* no evidence against it */
    CH_CRASH_SUSPECTED, /* it was running on an upstream that crashed */
    CH_CRASH_BARRED,    /* it is no longer sent to any upstream */
    CH_CRASH_HARMLESS,  /* got a complete response, or responses to prompts
                           with the part began: not the cause */
};

struct ch_crash_assessment {
    struct ch_digest digest;
    uint64_t fingerprint;
    uint64_t part; /* 0: a request */
    enum ch_crash_state state;
    unsigned crashes;   /* upstreams that crashed while running it; of a part,
                           before the response began */
    unsigned begun;     /* responses that began, to prompts with the part */
    bool is_restored;   /* barred by a stored record */
    int64_t decided_at; /* of a part, the crash that bars it */
    unsigned unexplained_crashes; /* crashes that nothing else explains */
    int64_t last_evidence_at;
};

struct ch_crash_table;

struct ch_crash_table *
ch_crash_table_new(const struct ch_crash_limits *limits);
void ch_crash_table_free(struct ch_crash_table *table);
/* Adds one observation; true when it is new.  The same observation may come
   any number of times, from any node and in any order. */
bool ch_crash_table_add(struct ch_crash_table *table,
                        const struct ch_crash_observation *observation);
/* Marks a request as harmless, since an upstream sent a complete response to
   it; true when that is new. */
bool ch_crash_table_mark_harmless(struct ch_crash_table *table,
                                  const struct ch_digest *digest);
/* Adds a request that was barred before this node knew of it. */
void ch_crash_table_restore_barred(struct ch_crash_table *table,
                                   const struct ch_digest *digest,
                                   uint64_t fingerprint, int64_t now);
/* The same for a part of prompts. */
void ch_crash_table_restore_barred_part(struct ch_crash_table *table,
                                        const struct ch_digest *digest,
                                        uint64_t fingerprint, uint64_t part,
                                        int64_t now);
/* Sets how many responses to prompts with the part have begun lately at
   another node, or at this one.  A lower number than before has no effect. */
void ch_crash_table_report_begun(struct ch_crash_table *table,
                                 const struct ch_digest *digest, GQuark node,
                                 unsigned count);
void ch_crash_table_set_own_begun(struct ch_crash_table *table,
                                  const struct ch_digest *digest,
                                  unsigned count);
/* Collects the counts of this node (struct ch_crash_begun) that other nodes
   may need to tell that a part is not the cause. */
void ch_crash_table_collect_begun(struct ch_crash_table *table, GArray *out);
/* Calls the callback for each part. */
void ch_crash_table_foreach_part(
    const struct ch_crash_table *table,
    void (*callback)(void *data, const struct ch_digest *digest,
                     uint64_t fingerprint),
    void *data);
/* Releases a request: evidence up to `at` no longer counts.  True when that is
   new. */
bool ch_crash_table_release(struct ch_crash_table *table,
                            const struct ch_digest *digest, int64_t at);
/* Whether the table has a request with that fingerprint. */
bool ch_crash_table_has_fingerprint(const struct ch_crash_table *table,
                                    uint64_t fingerprint);
bool ch_crash_table_has_crash(const struct ch_crash_table *table,
                              GQuark upstream, uint64_t boot);
/* Counts the upstreams that crashed under a request, whether it was released
   or not.  Cheaper than ch_crash_table_assess(), and enough to decide whether
   that is worth a call. */
unsigned ch_crash_table_count_crashes(const struct ch_crash_table *table,
                                      const struct ch_digest *digest);
bool ch_crash_table_is_empty(const struct ch_crash_table *table);
/* Drops requests whose evidence is too old. */
void ch_crash_table_expire(struct ch_crash_table *table, int64_t now);
/* Equal on two nodes whose tables hold the same. */
uint64_t ch_crash_table_checksum(const struct ch_crash_table *table);
void ch_crash_table_foreach_observation(
    const struct ch_crash_table *table,
    void (*callback)(void *data,
                     const struct ch_crash_observation *observation),
    void *data);
void ch_crash_table_foreach(
    const struct ch_crash_table *table,
    void (*callback)(void *data, const struct ch_crash_assessment *assessment),
    void *data);
/* Whether a request was released; sets `at` to the last release. */
bool ch_crash_table_find_release(const struct ch_crash_table *table,
                                 const struct ch_digest *digest, int64_t *at);

/* Responses to prompts with a part that have begun at one node. */
struct ch_crash_begun {
    struct ch_digest digest;
    unsigned count;
    GQuark node; /* 0: this node */
};

/* Lists all counts that this node knows, of each node by itself: a node that
 * took a sum for one node's count would count the others twice. */
void ch_crash_table_list_begun(const struct ch_crash_table *table,
                               GArray *out);

/* ---- which parts of prompts began lately (begun.c) ---- */

struct ch_begun_parts;

struct ch_begun_parts *ch_begun_parts_new(void);
void ch_begun_parts_free(struct ch_begun_parts *parts);
/* Counts a response that began, to a prompt with the part. */
void ch_begun_parts_add(struct ch_begun_parts *parts, uint64_t fingerprint,
                        int64_t now);
/* How many began in the last one to two minutes; fewer if so many parts were
   seen that the older ones were dropped. */
unsigned ch_begun_parts_count(struct ch_begun_parts *parts,
                              uint64_t fingerprint, int64_t now);

/* ---- assessment of a request (assess.c) ---- */

struct ch_crash_assessment
ch_crash_table_assess(const struct ch_crash_table *table,
                      const struct ch_digest *digest);

/* ---- interrupted calls: did their upstream crash? (interrupted.c) ---- */

struct ch_interrupted_calls;

/* An upstream as the current host list has it. */
struct ch_crash_listed_upstream {
    GQuark upstream;
    uint64_t boot_id;
    bool draining;
};

struct ch_interrupted_calls *ch_interrupted_calls_new(void);
void ch_interrupted_calls_free(struct ch_interrupted_calls *calls);
/* observation->ended_at: when the call was interrupted. */
void ch_interrupted_calls_add(struct ch_interrupted_calls *calls,
                              const struct ch_crash_observation *observation);
/* Moves to `ended` (of struct ch_crash_observation) the calls that a crash of
   their upstream interrupted: it refuses connections now. */
void ch_interrupted_calls_note_refused(struct ch_interrupted_calls *calls,
                                       GQuark upstream, int64_t now,
                                       GArray *ended);
/* The same, because another node found that the upstream crashed. */
void ch_interrupted_calls_note_crash(struct ch_interrupted_calls *calls,
                                     GQuark upstream, uint64_t boot,
                                     GArray *ended);
/* The same for each upstream that has left the host list or has restarted. */
void
ch_interrupted_calls_note_list(struct ch_interrupted_calls *calls,
                               const struct ch_crash_listed_upstream *listed,
                               size_t count, GArray *ended);
/* The upstream answers a call that was sent at sent_at: drops the calls that
   were interrupted before, since a crash was not the cause. */
void ch_interrupted_calls_note_response(struct ch_interrupted_calls *calls,
                                        GQuark upstream, int64_t sent_at);
/* Drops calls whose cause did not become known in time. */
void ch_interrupted_calls_expire(struct ch_interrupted_calls *calls,
                                 int64_t now);
size_t ch_interrupted_calls_count(const struct ch_interrupted_calls *calls);

#endif
