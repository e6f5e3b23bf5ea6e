#ifndef CH_NOTICES_INTERNAL_H
#define CH_NOTICES_INTERNAL_H

/* Shared by manager.c (what is known of upstreams) and messages.c (what nodes
 * tell each other). */

#include "notices/notices.h"

#include <pthread.h>

struct notices_upstream {
    GQuark name;
    GQuark region; /* 0: not known */
    struct ch_notice_state state;
    int64_t last_used_at;
    unsigned calls[CH_NOTICES_CALLS]; /* since the latest notice */
};

struct ch_notices {
    struct ch_client *client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_notices_peers peers;
    pthread_mutex_t lock;
    GHashTable *upstreams; /* GQuark to struct notices_upstream */
    bool stopped;
    unsigned refresh_round;
    void (*handle_drain)(void *data); /* set before the start; may be NULL */
    void *handler_data;
};

/* ---- manager.c ---- */

/* The upstream, or NULL. Lock held. */
struct notices_upstream *notices_find(const struct ch_notices *notices,
                                      GQuark name);
/* Calls the handler of drains. Lock not held. */
void notices_report_drain(struct ch_notices *notices);

/* The upstream, added if it is not known yet. Lock held. */
struct notices_upstream *notices_find_or_add(struct ch_notices *notices,
                                             GQuark name, GQuark region,
                                             int64_t now);
/* Logs and counts that an upstream drains; source: "response", or the node
 * that told it. Lock held. */
void notices_note_drain(const struct ch_notices *notices,
                        struct notices_upstream *upstream, const char *source);

/* ---- messages.c; lock not held ---- */

/* Tells others of a drain: the node that passes it on, or all if this is that
 * node. */
void notices_tell_drain(struct ch_notices *notices, GQuark upstream);
/* Tells some of the others, in turn, of the drains that this node passes on.
 */
void notices_refresh_drains(struct ch_notices *notices);

#endif
