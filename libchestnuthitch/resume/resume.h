#ifndef CH_RESUME_H
#define CH_RESUME_H

/*
 * Where streams began: the service, and the version of the upstream's
 * software, that sent a stream's first event. A caller whose stream was cut
 * takes it up at any node, which may go on only at an upstream of that service
 * and version: what two versions generate does not fit together. The node that
 * served the first attempt may have ended, so that a few other nodes keep a
 * record of each stream.
 *
 * Times are microseconds of one node's clock. No sockets, no clock, no
 * threads.
 */

#include "decide/fleet.h"
#include "decide/rank.h"

enum {
    /* Streams are divided into shards by their keys; the nodes that keep the
     * records of a shard are the same for all of its streams, so that in a
     * large fleet a node sends to a few nodes, over connections in use. */
    CH_STREAM_SHARDS = 16,
    /* Nodes, beside the one that serves the stream, that get its record. */
    CH_STREAM_COPIES = 2,
    /* Nodes that are asked for a record: more than keep one, as nodes end and
     * start between the writing and the question. */
    CH_STREAM_ASKED = 5,
    /* No caller takes up a stream that began longer ago than this. */
    CH_STREAM_LIFE_US = 120 * G_USEC_PER_SEC,
    /* Versions that are told of one service; more make no difference. */
    CH_STREAM_MAX_VERSIONS = 4,
};

/* IDs are hashes of the names; of the version, ch_version_get_id(). */
struct ch_stream_origin {
    uint64_t service;
    uint64_t version;
};

/* ---- records (records.c) ---- */

bool ch_stream_origin_equals(const struct ch_stream_origin *a,
                             const struct ch_stream_origin *b);

struct ch_stream_record {
    uint64_t key;
    struct ch_stream_origin origin;
    uint64_t writer;   /* process that served the stream's first attempt */
    uint32_t sequence; /* of the writer: its calls for this stream; the last
                          one before the first event counts */
    /* Two writers named different origins: nothing fits for certain. */
    bool ambiguous;
    int64_t expires_at;
    /* For logs: the upstream of that call (0: not known), and when the record
     * was written. */
    GQuark upstream;
    int64_t written_at;
};

/* The key of the stream that the owner's request began. */
uint64_t ch_stream_get_key(const char *owner, const char *request_id);

struct ch_stream_records;

/* Keeps max records at most; the ones that expire first go first. */
struct ch_stream_records *ch_stream_records_new(size_t max);
void ch_stream_records_free(struct ch_stream_records *records);
/* Adds a record, or merges it with the one of the same key: order and
 * repetition of messages make no difference. */
void ch_stream_records_put(struct ch_stream_records *records,
                           const struct ch_stream_record *record, int64_t now);
/* NULL: there is none. */
const struct ch_stream_record *
ch_stream_records_find(const struct ch_stream_records *records, uint64_t key,
                       int64_t now);
size_t ch_stream_records_count(const struct ch_stream_records *records);
/* Drops the records that have expired. */
void ch_stream_records_expire(struct ch_stream_records *records, int64_t now);
/* Appends the records of one shard that have not expired: struct
 * ch_stream_record. */
void ch_stream_records_list(const struct ch_stream_records *records,
                            unsigned shard, int64_t now, GArray *out);

/* ---- nodes that keep a shard's records (holders.c) ---- */

unsigned ch_stream_get_shard(uint64_t key);
/* The indices of the nodes that come first for a shard, in order; returns
 * their number, at most max. */
size_t ch_stream_choose_holders(const struct ch_rank_node *nodes, size_t count,
                                unsigned shard, size_t *chosen, size_t max);

/* ---- versions of a service (versions.c) ---- */

/* The versions that upstreams of a service ran lately, as one node knows
 * them. */
struct ch_stream_versions {
    uint64_t ids[CH_STREAM_MAX_VERSIONS];
    unsigned count;
    int64_t covers; /* for how long the node has known all of them */
    int64_t age;    /* since its list of upstreams was confirmed */
};

struct ch_version_history;

/* begun_at: from when on the node sees every listed upstream; new_fleet: no
 * stream began before that. */
struct ch_version_history *ch_version_history_new(int64_t begun_at);
void ch_version_history_free(struct ch_version_history *history);
void ch_version_history_set_new_fleet(struct ch_version_history *history);
/* Takes over what the upstreams run that are listed now. */
void ch_version_history_update(struct ch_version_history *history,
                               const struct ch_stream_origin *listed,
                               size_t count, int64_t now);
/* The versions of a service within CH_STREAM_LIFE_US; age is set to 0. */
struct ch_stream_versions
ch_version_history_get(const struct ch_version_history *history,
                       uint64_t service, int64_t now);

/* Whether any service had several versions within CH_STREAM_LIFE_US. */
bool ch_version_history_is_mixed(const struct ch_version_history *history,
                                 int64_t now);
/* The same, or it is not known. */
bool ch_version_history_may_be_mixed(const struct ch_version_history *history,
                                     int64_t now);

/* ---- the question where a stream began (lookup.c) ---- */

enum ch_stream_finding {
    CH_STREAM_ASKING,      /* replies or a current list are missing */
    CH_STREAM_FOUND,       /* a record says so */
    CH_STREAM_SOLE,        /* only one version has run for long enough */
    CH_STREAM_AMBIGUOUS,   /* two records differ */
    CH_STREAM_SEVERAL,     /* no record, and several versions run or ran */
    CH_STREAM_NOT_COVERED, /* no record, and nobody knows what ran before */
    CH_STREAM_STALE,       /* no record, and what is known may be old */
    CH_STREAM_FINDINGS
};

/* Whether the stream may go on at lookup->origin. */
bool ch_stream_finding_is_origin(enum ch_stream_finding finding);
const char *ch_stream_finding_get_name(enum ch_stream_finding finding);

/* A question to some nodes, and what has come back. */
struct ch_stream_lookup {
    unsigned asked;
    unsigned replied;
    unsigned failed;
    bool has_record;
    struct ch_stream_record record;
    struct ch_stream_versions versions; /* of all that replied, and own */
    size_t listed_nodes;
    size_t live_nodes;
    uint64_t service;
};

/* own: what this node knows of the service that the request would go to. */
void ch_stream_lookup_init(struct ch_stream_lookup *lookup, uint64_t service,
                           const struct ch_stream_versions *own,
                           size_t listed_nodes, size_t live_nodes);
/* One reply. record: NULL if that node has none. */
void ch_stream_lookup_add_reply(struct ch_stream_lookup *lookup,
                                const struct ch_stream_record *record,
                                const struct ch_stream_versions *versions);
/* What this node knows after it has waited for so long since the question. */
void ch_stream_lookup_renew(struct ch_stream_lookup *lookup,
                            const struct ch_stream_versions *own,
                            size_t listed_nodes, size_t live_nodes,
                            int64_t waited);
/* The finding so far, with the origin if there is one; waited: since the
 * question. */
enum ch_stream_finding
ch_stream_lookup_decide(const struct ch_stream_lookup *lookup, int64_t waited,
                        struct ch_stream_origin *origin);

#endif
