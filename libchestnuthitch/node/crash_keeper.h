#ifndef CH_NODE_CRASH_KEEPER_H
#define CH_NODE_CRASH_KEEPER_H

/* Protects upstreams from requests that crash them: collects what this node
   observes of crashes and what other nodes report, and is asked before each
   dispatch whether the request is barred. Callable from any thread; no
   function blocks but stop. On a node without a crash guard (NULL), no crash
   is known. */

#include "crash/crash.h"
#include "node/request.h"
#include "node/node.h"

/* node outlives the guard. stop waits for calls and timers in progress. */
struct ch_crash_keeper *ch_crash_keeper_new(struct ch_node *node);
void ch_crash_keeper_start(struct ch_crash_keeper *guard);
void ch_crash_keeper_stop(struct ch_crash_keeper *guard);
void ch_crash_keeper_free(struct ch_crash_keeper *guard);
/* Whether the state of the other nodes and the stored records were received,
   or did not come in time. A node that starts accepts no requests before. */
bool ch_crash_keeper_known(struct ch_crash_keeper *guard);

/* Whether the request must not be sent to any upstream. */
bool ch_crash_keeper_bars(struct ch_crash_keeper *guard,
                          const struct ch_request *request);

/* ---- observations of calls ---- */

/* The call's connection was lost before the response ended; before_response:
   before any part of the response came. Probes the upstream with a connection,
   to learn whether it crashed. */
void ch_crash_keeper_cut(struct ch_crash_keeper *guard,
                         const struct ch_request *request,
                         const struct ch_grant *grant, bool before_response);
/* The upstream refused a connection. */
void ch_crash_keeper_refused(struct ch_crash_keeper *guard, GQuark upstream);
/* The upstream responded to a call that was sent at sent_at. */
void ch_crash_keeper_answered(struct ch_crash_keeper *guard, GQuark upstream,
                              int64_t sent_at);
/* The request got a complete response. */
void ch_crash_keeper_whole(struct ch_crash_keeper *guard,
                           const struct ch_request *request);
/* The full list of upstreams, after each change. */
void ch_crash_keeper_listed(struct ch_crash_keeper *guard,
                            const struct ch_crash_listed_upstream *upstreams,
                            size_t count);

/* ---- operators ---- */

/* Releases a barred or suspected request; false when nothing is known of the
   digest. */
bool ch_crash_keeper_release(struct ch_crash_keeper *guard,
                             const struct ch_digest *digest);
/* Writes the suspected and barred requests as the member "crash_suspects" of
   an open object. */
void ch_crash_keeper_status(struct ch_crash_keeper *guard,
                            JsonBuilder *builder);

#endif
