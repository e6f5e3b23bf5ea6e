#ifndef CH_SLOTS_H
#define CH_SLOTS_H

/*
 * Slots of brittle upstreams. A brittle upstream states how many calls a
 * second it may reject for want of room, over all nodes, before it falls over.
 * While it does, one node counts the calls that all nodes have there, and each
 * further call needs its permission; a call without a free slot waits there in
 * order of arrival, or is refused.
 *
 * counter.c, account.c: no sockets, no clock, no threads; times are
 * microseconds of one node's clock. manager.c: one node's part, with threads.
 */

#include "decide/fleet.h"
#include "limit/limit.h"
#include "wire/chestnuthitch.pb-c.h"

#include <json-glib/json-glib.h>

/* ---- one node's calls to one upstream (account.c) ---- */

/* How a call gives its slot back. */
enum ch_slots_end {
    CH_SLOTS_ENDED,    /* the upstream has finished with it */
    CH_SLOTS_REJECTED, /* the upstream had no room */
    CH_SLOTS_CUT,      /* the upstream may still run it for a while */
};

/* What a node tells the counting node of its calls to one upstream. */
struct ch_slots_holding {
    uint32_t calls; /* outstanding */
    uint64_t tokens;
    uint32_t rejected;   /* for want of room, since the node's start */
    uint64_t epoch;      /* of the counter that gave last_grant; 0: none */
    uint64_t last_grant; /* all permissions up to this number were received */
    uint64_t told_at;    /* grows with each message */
};

struct ch_slots_account {
    struct ch_slots_holding holding;
    GArray *early; /* struct slots_early: permissions after a missing one */
    GArray *lingering; /* struct slots_lingering: calls that were cut */
};

void ch_slots_account_init(struct ch_slots_account *account);
void ch_slots_account_clear(struct ch_slots_account *account);
void ch_slots_account_begin(struct ch_slots_account *account, uint32_t tokens);
void ch_slots_account_end(struct ch_slots_account *account, uint32_t tokens,
                          enum ch_slots_end end, int64_t now);
/* Records a permission, of which the counter is told with the next message. */
void ch_slots_account_note_grant(struct ch_slots_account *account,
                                 uint64_t epoch, uint64_t grant, int64_t now);
/* Ends the calls that were cut long enough ago; returns the present state. */
struct ch_slots_holding ch_slots_account_get(struct ch_slots_account *account,
                                             int64_t now);

/* ---- the count of all nodes' calls to one upstream (counter.c) ---- */

struct ch_slots_counter;

/* What the upstream takes, as the counting node may give it out. */
struct ch_slots_room {
    uint32_t calls;
    uint64_t tokens; /* 0: not bounded */
};

/* A call that asked for a slot, and the result. */
struct ch_slots_result {
    GQuark node;
    uint64_t ticket;
    uint64_t grant; /* counts the node's permissions; 0: refused */
    int64_t retry_after;
};

/*
 * The part of an upstream's room that a counter gives out. Nodes that are cut
 * off from each other, or have another view of which node counts, may have
 * several counters; a node is a member of the one that it has told last. The
 * counter with most of the listed nodes rounds to the nearest number of calls
 * and gives out one at least, any other one rounds down, so that together they
 * stay within the room.
 */
struct ch_slots_room ch_slots_get_room(uint32_t slots, uint64_t tokens,
                                       size_t members, size_t listed);
/* epoch: differs from that of any other counter. Nothing is granted until the
 * nodes have had time to tell their calls. */
struct ch_slots_counter *ch_slots_counter_new(uint64_t epoch, int64_t now);
void ch_slots_counter_free(struct ch_slots_counter *counter);
uint64_t ch_slots_counter_get_epoch(const struct ch_slots_counter *counter);
/* Takes over what a node tells of its calls; it is a member from then on. */
void ch_slots_counter_hear(struct ch_slots_counter *counter, GQuark node,
                           const struct ch_slots_holding *holding,
                           int64_t now);
/* A node tells another counter from now on. */
void ch_slots_counter_leave(struct ch_slots_counter *counter, GQuark node);
bool ch_slots_counter_is_member(const struct ch_slots_counter *counter,
                                GQuark node);
/* Adds a call that asks for a slot and may wait for it until wait_until; the
 * next run decides. */
void ch_slots_counter_ask(struct ch_slots_counter *counter, GQuark node,
                          uint64_t ticket, uint32_t tokens,
                          int64_t wait_until);
/* Grants and refuses what can be decided now; appends struct ch_slots_result
 * to results. */
void ch_slots_counter_run(struct ch_slots_counter *counter,
                          const struct ch_slots_room *room, int64_t now,
                          GArray *results);
/* Grants every call that waits, or refuses it, as the count ends. */
void ch_slots_counter_end(struct ch_slots_counter *counter, bool granted,
                          int64_t now, GArray *results);
size_t ch_slots_counter_count_waiting(const struct ch_slots_counter *counter);
/* The calls of all nodes, those that were granted and not confirmed yet
 * included. */
uint32_t ch_slots_counter_count_calls(const struct ch_slots_counter *counter);

/* ---- one node's part (manager.c, messages.c) ---- */

struct ch_slots;

/* How the manager reaches other nodes. */
struct ch_slots_peers {
    void *data;
    const char *self; /* name of this node */
    /* The node that counts an upstream's calls, a new string. */
    char *(*find_counter)(void *data, GQuark upstream, GQuark region);
    /* The number of listed nodes; 0: not known. */
    size_t (*count_listed)(void *data);
    /* The other nodes that this node hears, as new strings. */
    GPtrArray *(*list_live)(void *data);
    void (*send)(void *data, const char *to,
                 Chestnuthitch__Wire__Frame *frame);
    void (*request)(void *data, const char *to,
                    Chestnuthitch__Wire__Frame *frame, int64_t limit,
                    void (*done)(void *data, enum ch_code code,
                                 const Chestnuthitch__Wire__Frame *reply),
                    void *done_data);
    void (*reply)(void *data, const char *to, uint64_t id,
                  Chestnuthitch__Wire__Frame *frame);
};

/* An upstream as the list of upstreams describes it. */
struct ch_slots_upstream {
    GQuark name;
    GQuark service;
    GQuark region;
    uint64_t boot_id; /* 0: not known */
    uint32_t slots;   /* 0: not known */
    uint64_t tokens;  /* 0: not bounded */
};

/* client, pool and timers must outlive the manager. */
struct ch_slots *ch_slots_new(struct ch_client *client, struct ch_pool *pool,
                              struct ch_timers *timers,
                              const struct ch_slots_peers *peers);
void ch_slots_start(struct ch_slots *slots);
void ch_slots_stop(struct ch_slots *slots);
/* To be called once all threads have ended; slots may be NULL. */
void ch_slots_free(struct ch_slots *slots);

/* The functions below accept NULL for slots: then no upstream is brittle. */

void ch_slots_update_upstream(struct ch_slots *slots,
                              const struct ch_slots_upstream *upstream);
/* Takes over what a response says; succeeded: as for
 * struct ch_limit_listener. */
void ch_slots_handle_reading(struct ch_slots *slots, GQuark upstream,
                             const struct ch_limit_reading *reading,
                             bool succeeded, int64_t sent_at);
/* Whether calls to the upstream need permission. */
bool ch_slots_needs_permission(struct ch_slots *slots, GQuark upstream);
/* Records a call that needs no permission. Each call that was recorded here,
 * or permitted, is followed by one of ch_slots_release(). */
void ch_slots_hold(struct ch_slots *slots, GQuark upstream, uint32_t tokens);
void ch_slots_release(struct ch_slots *slots, GQuark upstream, uint32_t tokens,
                      enum ch_slots_end end);
/* Asks for permission for one call, and waits for a slot for `wait` at most.
 * done runs exactly once, on a pool worker; retry_after (microseconds) is set
 * when permission is refused. */
void ch_slots_ask(struct ch_slots *slots, GQuark upstream, uint32_t tokens,
                  int64_t wait,
                  void (*done)(void *data, bool granted, int64_t retry_after),
                  void *data);
/* Handle messages about slots of other nodes: a LimitTake and LimitStates,
 * which nodes of an earlier version know. */
void ch_slots_handle_ask(struct ch_slots *slots,
                         const Chestnuthitch__Wire__Frame *frame);
void ch_slots_handle_states(struct ch_slots *slots,
                            const Chestnuthitch__Wire__Frame *frame);
/* Adds the brittle upstreams as the member "brittle" of an open object. */
void ch_slots_write_status(struct ch_slots *slots, JsonBuilder *builder);

#endif
