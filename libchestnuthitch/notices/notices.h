#ifndef CH_NOTICES_H
#define CH_NOTICES_H

/*
 * What upstreams say in their responses about calls to come: that they are
 * draining, and how long they want no calls from the node that they answer.
 * Both bind the node that has read it, whatever the list of upstreams says.
 *
 * reading.c, state.c: no sockets, no clock, no threads; times are microseconds
 * of one node's clock. manager.c, messages.c: one node's part, with threads.
 */

#include "base/base.h"
#include "wire/chestnuthitch.pb-c.h"

#include <json-glib/json-glib.h>

/* ---- what a response says (reading.c) ---- */

struct ch_notice {
    bool draining;
    int64_t wait;    /* microseconds without calls from this node; 0: none */
    bool unreadable; /* a time to wait was stated that can't be read */
};

/* Collects a notice from the headers of one response. */
struct ch_notice_reader {
    const char *draining_header; /* NULL: none */
    struct ch_notice found;
};

/* wall_time: microseconds since the epoch, for a Retry-After that is a date.
 * Of several times to wait the longest holds, up to an hour. */
void ch_notice_reader_add(struct ch_notice_reader *reader, const char *name,
                          const char *value, int64_t wall_time);
/* The notice of a response with this final status; only 429 and 503 ask to
 * wait. */
struct ch_notice ch_notice_reader_get(const struct ch_notice_reader *reader,
                                      int status);

/* Whether a response says anything of calls to come. */
bool ch_notice_is_empty(const struct ch_notice *notice);

/*
 * Is told of responses of any kind that say that the upstream drains, or ask
 * this node to wait. handle runs on the HTTP loop's thread, also for calls
 * that outlive the client of the upstream.
 */
struct ch_notice_listener {
    void (*handle)(const struct ch_notice_listener *listener,
                   const struct ch_notice *notice, int64_t sent_at);
    void *data;
    GQuark upstream;
    GQuark region; /* of the upstream */
};

/* ---- what a node knows of one upstream (state.c) ---- */

struct ch_notice_state {
    uint64_t boot_id; /* as listed; 0: not known */
    int64_t boot_changed_at;
    bool draining;
    uint64_t draining_boot; /* the process that said so; 0: not known */
    int64_t drain_heard_at;
    int64_t wait_begun_at;
    int64_t wait_until;     /* 0: no wait was asked for */
    int64_t return_length;  /* of the time after the wait in which requests are
                               bounded */
    unsigned return_period; /* of the last request after the wait */
    unsigned return_calls;  /* in that period */
};

enum ch_notice_change {
    CH_NOTICE_UNCHANGED = 0,
    CH_NOTICE_DRAINS = 1,
    CH_NOTICE_WAITS = 2,
};

/* Takes over a notice in the response to a call sent at sent_at. Returns a set
 * of enum ch_notice_change. */
unsigned ch_notice_state_observe(struct ch_notice_state *state,
                                 const struct ch_notice *notice,
                                 int64_t sent_at, int64_t now);
/* Takes over that another node heard of the drain of a process; true if that
 * is new. */
bool ch_notice_state_observe_drain(struct ch_notice_state *state,
                                   uint64_t boot_id, int64_t now);
/* Records the listed process. Another one has said nothing yet. */
void ch_notice_state_set_boot(struct ch_notice_state *state, uint64_t boot_id,
                              int64_t now);
/* Whether the process of this boot ID (0: not known) said that it drains. Of a
 * process that is not known, that holds for a minute: it may have started
 * again. */
bool ch_notice_state_is_draining(const struct ch_notice_state *state,
                                 uint64_t boot_id, int64_t now);
bool ch_notice_state_is_waiting(const struct ch_notice_state *state,
                                int64_t now);
/* Asks for one request now; 0: it may be sent, and is counted. Else the time
 * until one may: the wait is not over, or it was a moment ago, and only a few
 * requests go to the upstream at first. */
int64_t ch_notice_state_take(struct ch_notice_state *state, int64_t now);

/* ---- one node's part (manager.c, messages.c) ---- */

struct ch_notices;

/* How the manager reaches other nodes. */
struct ch_notices_peers {
    void *data;
    const char *self; /* name of this node */
    /* The node that passes on what is heard of an upstream, a new string. */
    char *(*find_teller)(void *data, GQuark upstream, GQuark region);
    /* The other nodes that this node hears, as new strings. */
    GPtrArray *(*list_live)(void *data);
    void (*send)(void *data, const char *to,
                 Chestnuthitch__Wire__Frame *frame);
};

/* Kinds of calls to an upstream. */
enum ch_notices_call {
    CH_NOTICES_REQUEST, /* of a caller, second attempts included */
    CH_NOTICES_REPORT,
    CH_NOTICES_ORDER,
    CH_NOTICES_CALLS
};

/* client, pool and timers must outlive the manager. */
struct ch_notices *ch_notices_new(struct ch_client *client,
                                  struct ch_pool *pool,
                                  struct ch_timers *timers,
                                  const struct ch_notices_peers *peers);
void ch_notices_start(struct ch_notices *notices);
void ch_notices_stop(struct ch_notices *notices);
/* To be called once all threads have ended; notices may be NULL. */
void ch_notices_free(struct ch_notices *notices);

/* The functions below accept NULL for notices: then nothing is known. */

/* Records the listed process of an upstream. */
void ch_notices_update_upstream(struct ch_notices *notices, GQuark upstream,
                                GQuark region, uint64_t boot_id);
/* The listener for a client of an upstream; the manager outlives all calls. */
struct ch_notice_listener ch_notices_get_listener(struct ch_notices *notices,
                                                  GQuark upstream,
                                                  GQuark region);
/* Takes over what a response to a call sent at sent_at says. */
void ch_notices_observe(struct ch_notices *notices, GQuark upstream,
                        GQuark region, const struct ch_notice *notice,
                        int64_t sent_at);
/* handle is called on a pool worker when an upstream is heard to drain; set it
 * before ch_notices_start(). */
void ch_notices_set_drain_handler(struct ch_notices *notices,
                                  void (*handle)(void *data), void *data);
/* Whether a process of an upstream was heard to drain; boot_id 0: not known.
 */
bool ch_notices_is_draining(struct ch_notices *notices, GQuark upstream,
                            uint64_t boot_id);
/* To be asked right before a request is sent: it may have waited since its
 * upstream was chosen. */
enum ch_notices_answer {
    CH_NOTICES_MAY_CALL, /* the request is counted as sent */
    CH_NOTICES_DRAINS,
    CH_NOTICES_WAITS, /* *retry_after: microseconds until a request may go */
};
enum ch_notices_answer ch_notices_may_call(struct ch_notices *notices,
                                           GQuark upstream,
                                           int64_t *retry_after);
/* How long the upstream still wants no calls from this node, orders and
 * reports included; 0: it takes them. */
int64_t ch_notices_get_wait(struct ch_notices *notices, GQuark upstream);
/* Takes over the drains that another node tells in a LimitStates, which nodes
 * of an earlier version know. */
void ch_notices_handle_drains(struct ch_notices *notices,
                              const Chestnuthitch__Wire__Frame *frame);
/* Counts a call that is about to be sent. */
void ch_notices_count_call(struct ch_notices *notices, GQuark upstream,
                           enum ch_notices_call kind);
/* Adds the upstreams that drain, or asked this node to wait, as the member
 * "notices" of an open object. */
void ch_notices_write_status(struct ch_notices *notices, JsonBuilder *builder);

#endif
