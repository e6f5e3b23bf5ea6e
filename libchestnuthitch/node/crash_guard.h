#ifndef CH_NODE_CRASH_GUARD_H
#define CH_NODE_CRASH_GUARD_H

/* Protects upstreams from requests that crash them: collects what this node
   observes of crashes and what other nodes report, and is asked before each
   dispatch whether the request is barred. Callable from any thread; no
   function blocks but stop. On a node without a crash guard (NULL), no crash
   is known. */

#include "crash/crash.h"
#include "node/request.h"
#include "node/node.h"

/* node outlives the guard. stop waits for calls and timers in progress. */
struct ch_crash_guard *ch_crash_guard_new(struct ch_node *node);
void ch_crash_guard_start(struct ch_crash_guard *guard);
void ch_crash_guard_stop(struct ch_crash_guard *guard);
void ch_crash_guard_free(struct ch_crash_guard *guard);
/* Whether the state of the other nodes and the stored records were received,
   or did not come in time. A node that starts accepts no requests before. */
bool ch_crash_guard_is_ready(struct ch_crash_guard *guard);

/* Whether the request must not be sent to any upstream: it, or a part of its
   prompt, is barred. */
bool ch_crash_guard_is_barred(struct ch_crash_guard *guard,
                              const struct ch_request *request);
/* Whether only a part of its prompt is barred: once its response has begun, it
   may go on. */
bool ch_crash_guard_is_barred_by_part(struct ch_crash_guard *guard,
                                      const struct ch_request *request);
/* Whether a part of its prompt may crash upstreams, so that it is not sent to
   a second one after a crash. */
bool ch_crash_guard_has_suspected_part(struct ch_crash_guard *guard,
                                       const struct ch_request *request);

/* ---- observations of calls ---- */

/* The call's connection was lost before the response ended; before_response:
   before any part of the response came. Probes the upstream with a connection,
   to learn whether it crashed. */
void ch_crash_guard_record_interrupted(struct ch_crash_guard *guard,
                                       const struct ch_request *request,
                                       const struct ch_grant *grant,
                                       bool before_response);
/* The upstream refused a connection. */
void ch_crash_guard_record_refused(struct ch_crash_guard *guard,
                                   GQuark upstream);
/* The upstream responded to a call that was sent at sent_at. */
void ch_crash_guard_record_response(struct ch_crash_guard *guard,
                                    GQuark upstream, int64_t sent_at);
/* The request's response began. */
void ch_crash_guard_record_begun(struct ch_crash_guard *guard,
                                 const struct ch_request *request);
/* The request got a complete response. */
void ch_crash_guard_record_complete(struct ch_crash_guard *guard,
                                    const struct ch_request *request);
/* The full list of upstreams, after each change. */
void ch_crash_guard_update_upstreams(
    struct ch_crash_guard *guard,
    const struct ch_crash_listed_upstream *upstreams, size_t count);

/* ---- operators ---- */

/* Releases a barred or suspected request; false when nothing is known of the
   digest. */
bool ch_crash_guard_release(struct ch_crash_guard *guard,
                            const struct ch_digest *digest);
/* Writes the suspected and barred requests as the member "crash_suspects" of
   an open object. */
void ch_crash_guard_write_status(struct ch_crash_guard *guard,
                                 JsonBuilder *builder);

#endif
