#ifndef CH_NODE_CRASH_KEEPER_H
#define CH_NODE_CRASH_KEEPER_H

/*
 * Keeps requests that crash upstreams away from them: what this node saw of
 * crashes, what the others tell, and the gate that each dispatch passes.
 * Any thread; nothing here blocks.  A node without a keeper (NULL) knows of
 * no crashes.
 */

#include "crash/crash.h"
#include "node/request.h"
#include "node/node.h"

struct ch_crash_keeper *ch_crash_keeper_new(struct ch_node *node);
void ch_crash_keeper_start(struct ch_crash_keeper *keeper);
void ch_crash_keeper_stop(struct ch_crash_keeper *keeper);
void ch_crash_keeper_free(struct ch_crash_keeper *keeper);
/* Whether another node has told what it knows, or none did in time: a node
   that starts takes no requests before. */
bool ch_crash_keeper_known(struct ch_crash_keeper *keeper);

/* Whether the request must not be sent to an upstream. */
bool ch_crash_keeper_bars(struct ch_crash_keeper *keeper,
                          const struct ch_request *request);

/* ---- what calls show ---- */

/* The call's connection ended in the middle; fresh: before any of the answer
   had come.  Asks for a connection there, to learn whether the upstream
   ended. */
void ch_crash_keeper_cut(struct ch_crash_keeper *keeper,
                         const struct ch_request *request,
                         const struct ch_grant *grant, bool fresh);
/* The upstream refuses connections. */
void ch_crash_keeper_refused(struct ch_crash_keeper *keeper, GQuark upstream);
/* It answers a call that was sent then. */
void ch_crash_keeper_answered(struct ch_crash_keeper *keeper, GQuark upstream,
                              int64_t sent);
/* The request was answered whole. */
void ch_crash_keeper_whole(struct ch_crash_keeper *keeper,
                           const struct ch_request *request);
/* The upstreams as they are listed now, whole. */
void ch_crash_keeper_listed(struct ch_crash_keeper *keeper,
                            const struct ch_crash_listed_upstream *listed,
                            size_t count);

/* ---- operators ---- */

/* False: nothing is known of that digest. */
bool ch_crash_keeper_release(struct ch_crash_keeper *keeper,
                             const struct ch_digest *digest);
/* The suspected and barred requests, as a member of an open object. */
void ch_crash_keeper_status(struct ch_crash_keeper *keeper,
                            JsonBuilder *builder);

#endif
