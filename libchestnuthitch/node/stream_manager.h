#ifndef CH_NODE_STREAM_MANAGER_H
#define CH_NODE_STREAM_MANAGER_H

/*
 * Where streams began, at one node: writes the records of this node's streams
 * to the nodes that keep them, keeps records of other nodes' streams, and asks
 * where a stream began that a caller takes up. See resume/resume.h.
 */

#include "node/node.h"
#include "resume/resume.h"

struct ch_stream_manager;

struct ch_stream_manager *ch_stream_manager_new(struct ch_node *node);
/* Registers the handlers of messages and starts the periodic work; to be
 * called before ch_peers_start(). */
void ch_stream_manager_start(struct ch_stream_manager *manager);
/* Hands the records over to the nodes that keep them without this one; after
 * ch_peers_set_stopping(). */
void ch_stream_manager_drain(struct ch_stream_manager *manager);
void ch_stream_manager_stop(struct ch_stream_manager *manager);
/* To be called once all threads have ended; manager may be NULL. */
void ch_stream_manager_free(struct ch_stream_manager *manager);

/* Takes over what the listed upstreams run. */
void ch_stream_manager_update_versions(struct ch_stream_manager *manager,
                                       const struct ch_stream_origin *listed,
                                       size_t count);
/* How old the list of upstreams is, for replies; to be set once. */
void ch_stream_manager_set_list_age(struct ch_stream_manager *manager,
                                    int64_t (*get_age)(void *data),
                                    void *data);

/* Writes the record of a stream that this node is about to begin, or renews
 * one. It is on its way to the other nodes when this returns. manager may be
 * NULL. */
void ch_stream_manager_write(struct ch_stream_manager *manager,
                             const struct ch_stream_record *record);

/* Whether a call may begin the stream of a record, or go on with it; it is
 * stored with the others of this process if so. False: the key-value store
 * may name another origin for it already, *stored, to which the calls before
 * its first event have to keep. manager may be NULL. */
bool ch_stream_manager_may_begin(struct ch_stream_manager *manager,
                                 const struct ch_stream_record *record,
                                 struct ch_stream_origin *stored);

/* Where a stream began. */
struct ch_stream_result {
    enum ch_stream_finding finding;
    struct ch_stream_origin origin; /* if the finding is an origin */
    struct ch_stream_record record; /* if it is CH_STREAM_FOUND */
    const char *source; /* the node that had the record; valid in done only */
};

/* Asks where the stream of a key began. key 0: the caller named no request.
 * service: to which the request would go. done runs exactly once, on a pool
 * worker. */
void ch_stream_manager_find(
    struct ch_stream_manager *manager, uint64_t key, uint64_t service,
    void (*done)(void *data, const struct ch_stream_result *result),
    void *data);
/* Adds the member "streams" to an open object. */
void ch_stream_manager_write_status(struct ch_stream_manager *manager,
                                    JsonBuilder *builder);

#endif
