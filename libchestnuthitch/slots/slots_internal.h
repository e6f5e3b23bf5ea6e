#ifndef CH_SLOTS_INTERNAL_H
#define CH_SLOTS_INTERNAL_H

/* Shared by manager.c (what is known of upstreams), ask.c (permission for
 * calls) and messages.c (what nodes tell each other). */

#include "slots/slots.h"

#include <pthread.h>

struct slots_upstream {
    struct ch_slots_upstream info;
    int64_t boot_changed_at;
    bool has_responded; /* since its boot, and said whether it is brittle */
    struct ch_limit_state state;      /* per_s: the rejections it bears */
    struct ch_slots_account account;  /* of this node's calls */
    struct ch_slots_counter *counter; /* NULL: another node counts */
    size_t members; /* of the counter, that this node hears */
    int64_t announced_at;
    GQuark told; /* the node that was last told of this node's calls */
};

/* The upstreams of one service become brittle together. */
struct slots_service {
    int64_t since;    /* when one was first known to be brittle */
    int64_t named_at; /* when one last said so */
};

struct ch_slots {
    struct ch_client *client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_slots_peers peers;
    GQuark self;
    pthread_mutex_t lock;
    GHashTable *upstreams; /* GQuark to struct slots_upstream */
    GHashTable *services;  /* GQuark to struct slots_service */
    bool is_polling;       /* calls wait at this node's counters */
    int64_t started_at;
    bool stopped;
};

/* ---- manager.c; lock held ---- */

struct slots_upstream *slots_find_or_add(struct ch_slots *slots, GQuark name);
bool slots_is_brittle(const struct ch_slots *slots,
                      const struct slots_upstream *upstream, int64_t now);
/* When the upstream's service was first known to be brittle. */
int64_t slots_get_since(const struct ch_slots *slots,
                        const struct slots_upstream *upstream, int64_t now);
/* Takes over an observation; since: when the upstream was first known to be
 * brittle; source: "response", or the node that told it. */
enum ch_limit_change
slots_observe(struct ch_slots *slots, struct slots_upstream *upstream,
              const struct ch_limit_observation *observation, int64_t since,
              const char *source, int64_t now);
void slots_count_event(const struct ch_slots *slots, enum ch_counter counter);

/* ---- ask.c ---- */

/* Opens this node's counter of an upstream that is brittle, if there is none.
 * Lock held. */
void slots_open_counter(struct ch_slots *slots,
                        struct slots_upstream *upstream, int64_t now);
/* Lets this node's counter of an upstream decide, after it has heard of this
 * node's own calls; opens the counter if there is none. Appends the results.
 * Lock held. */
void slots_run_counter(struct ch_slots *slots, struct slots_upstream *upstream,
                       int64_t now, GArray *results);
/* Ends this node's counter, if there is one: the calls that wait go, or are
 * refused. Appends the results. Lock held. */
void slots_close_counter(struct slots_upstream *upstream, bool granted,
                         int64_t now, GArray *results);
/* Tells the callers the results of slots_run_counter(), and frees them. Lock
 * not held. */
void slots_deliver(struct ch_slots *slots, GQuark upstream, GArray *results);

/* ---- messages.c; lock held unless stated otherwise ---- */

/* The result has pointers that live as long as the process. */
Chestnuthitch__Wire__SlotState
slots_write_state(const struct ch_slots *slots,
                  struct slots_upstream *upstream, int64_t now);
/* Takes over what another node knows of an upstream. *change may be NULL.
 * Returns the upstream; NULL for a state that names none. */
struct slots_upstream *
slots_read_state(struct ch_slots *slots,
                 const Chestnuthitch__Wire__SlotState *state, const char *from,
                 int64_t now, enum ch_limit_change *change);
/* Lets this node's counter, if there is one, hear of another node's calls. */
void slots_hear(struct slots_upstream *upstream,
                const Chestnuthitch__Wire__SlotState *state, const char *from,
                int64_t now);
/* Counts the members of this node's counter of an upstream, and now and then
 * asks the other live nodes to tell it of their calls; lock not held. */
void slots_update_members(struct ch_slots *slots, GQuark name);
/* Records which node is told of the calls to an upstream, and tells the one
 * before that this has ended; lock not held. */
void slots_change_counter(struct ch_slots *slots, GQuark name,
                          const char *counter);
/* Tells the counting node of an upstream what this node knows; lock not held.
 */
void slots_tell_counter(struct ch_slots *slots, GQuark name);
/* Tells the counting nodes of this node's calls; lock not held. */
void slots_tell_all_counters(struct ch_slots *slots);

#endif
