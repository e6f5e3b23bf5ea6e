#ifndef CH_ORIGINS_H
#define CH_ORIGINS_H

/*
 * Where streams began, at the key-value store: so that callers can take their
 * streams up after all nodes that kept records (resume/resume.h) were lost
 * together.
 *
 * Each process writes one item with all streams that it serves or served
 * lately, while upstreams of several versions serve, or did within the life of
 * a stream; with one version it writes nothing. A stream is in it from the
 * call on that may begin it, as its first event may be the last that its node
 * passes on. What an item says of a stream never changes: later calls before
 * the first event keep to that version. So an old copy of an item lacks
 * streams, and says nothing wrong. It has no lease, as leases may run out
 * while the store is away; a node that reads it removes it some minutes later
 * if its process has ended.
 *
 * The items are divided into partitions by the names of their nodes. The nodes
 * that keep the records of a shard (resume/holders.c) read the partition of
 * the same number when they come to do so, and send each record to the nodes
 * that keep it.
 */

#include "platform/platform.h"
#include "resume/resume.h"

enum {
    /* In one item. More streams at a node are left out; the item stays far
     * below the size that stores take. */
    CH_ORIGINS_MAX_STREAMS = 16 * 1024,
};

/* ---- items (item.c) ---- */

/* Encodes the origins of up to CH_ORIGINS_MAX_STREAMS streams; free with
 * g_byte_array_unref. */
GByteArray *ch_origins_item_encode(const struct ch_stream_record *records,
                                   size_t count);
/* Appends the records of an item (struct ch_stream_record) that live for
 * CH_STREAM_LIFE_US from now on, as the writer's final word. Returns false,
 * and appends nothing, if the item is malformed. */
bool ch_origins_item_decode(const void *bytes, size_t length, uint64_t writer,
                            int64_t now, GArray *records);

/* The key of a process's item; g_free. */
char *ch_origins_make_key(const char *node, uint64_t incarnation);
/* The prefix of the keys of a partition; g_free. */
char *ch_origins_make_prefix(unsigned partition);
/* The process that a key belongs to: its node (g_free) and incarnation; NULL
 * if the key is malformed. */
char *ch_origins_parse_key(const char *key, uint64_t *incarnation);

/* ---- when to write (schedule.c) ---- */

struct ch_origins_schedule {
    bool is_mixed;      /* several versions serve, or did lately */
    bool is_changed;    /* since the last write */
    int64_t written_at; /* when the last write began; 0: never */
};

/* The time between two writes of a node, by the number of nodes. */
int64_t ch_origins_get_period(size_t node_count);
/* The time until the next write; -1: none is due. */
int64_t
ch_origins_schedule_get_delay(const struct ch_origins_schedule *schedule,
                              size_t node_count, int64_t now);

/* ---- the writer and reader of a process (manager.c) ---- */

/* What the manager needs of its node. The functions run on the pool. */
struct ch_origins_node {
    void *data;
    /* Takes records that were read. */
    void (*take)(void *data, const struct ch_stream_record *records,
                 size_t count);
    /* Whether a process is live, so that its item needs no reading. */
    bool (*is_live)(void *data, const char *node, uint64_t incarnation);
    size_t (*get_node_count)(void *data);
};

struct ch_origins;

/* name: of this node. The strings are copied; client, pool, timers and kv must
 * outlive the manager. A store without ranges is not used. */
struct ch_origins *ch_origins_new(struct ch_client *client,
                                  struct ch_pool *pool,
                                  struct ch_timers *timers, struct ch_kv *kv,
                                  const struct ch_origins_node *node,
                                  const char *name, uint64_t incarnation);
void ch_origins_start(struct ch_origins *origins);
void ch_origins_stop(struct ch_origins *origins);
/* To be called once all threads have ended; NULL is allowed. */
void ch_origins_free(struct ch_origins *origins);

/* Notes that a call is about to be made that may begin a stream, or goes on
 * with one. Returns false, and notes nothing, if the stored item may name
 * another origin for the stream: *stored. */
bool ch_origins_add(struct ch_origins *origins,
                    const struct ch_stream_record *record,
                    struct ch_stream_origin *stored);
/* Whether upstreams of several versions serve, or did within
 * CH_STREAM_LIFE_US. */
void ch_origins_set_mixed(struct ch_origins *origins, bool is_mixed);
/* Reads a partition soon, until it could be read; take gets what is found. */
void ch_origins_read(struct ch_origins *origins, unsigned partition);

#endif
