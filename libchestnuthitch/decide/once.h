#ifndef CH_DECIDE_ONCE_H
#define CH_DECIDE_ONCE_H

/*
 * At-most-once execution: the records of one slot of idempotency keys, and the
 * state machine that the slot's owner node runs.
 *
 * A slot is a log of batches, stored at once/SLOT/SEQUENCE in the key-value
 * store.  A batch is created only if its sequence is absent, so when two nodes
 * that both act as owner write the same sequence, one of them gets a conflict:
 * duplicate owners do no harm.  Each batch links to the one before by that
 * batch's revision; only the batches that the links reach from the last one
 * count.
 *
 * An attempt is one try of a request by one entry node; it may be dispatched
 * only when the log shows that the key belongs to it.  tests/spec/once.pml
 * is a model of this protocol with the same names of phases and states; its
 * "home" is the owner.
 */

#include "base/base.h"

/* ---- batches (once_batch.c) ---- */

enum ch_once_event_kind {
    CH_ONCE_EVENT_CREATE,   /* the attempt claims the key */
    CH_ONCE_EVENT_COMPLETE, /* the attempt ran; may carry its response */
    CH_ONCE_EVENT_RELEASE,  /* the attempt did not run and never will */
};

struct ch_once_event {
    enum ch_once_event_kind kind;
    char *caller;
    char *key;
    uint64_t attempt;
    uint64_t fingerprint; /* CREATE only */
    bool response_stored; /* COMPLETE only: body is the whole response */
    int status;
    char *content_type;
    void *body;
    size_t body_length;
};

struct ch_once_batch {
    uint64_t
        previous_revision; /* link: revision of the batch before; 0: none */
    char *write_id;    /* write ID: tells this write from those of others */
    GPtrArray *events; /* of struct ch_once_event */
};

enum {
    /* Largest response that is stored: enough for the confirmation of a
       booking or an order, too small for a report. */
    CH_ONCE_MAX_BODY_BYTES = 16 * 1024,
    /* Size limit of an encoded batch, well below the 1 MB that the key-value
       store accepts. */
    CH_ONCE_MAX_BATCH_BYTES = 256 * 1024,
};

void ch_once_event_free(void *event);
struct ch_once_batch *ch_once_batch_new(uint64_t previous_revision,
                                        const char *write_id);
void ch_once_batch_free(struct ch_once_batch *batch);
char *ch_once_batch_encode(const struct ch_once_batch *batch);
struct ch_once_batch *ch_once_batch_decode(const char *bytes, size_t length,
                                           struct ch_error *error);
/* The completion of an attempt, valid as long as the batch; NULL: none. */
const struct ch_once_event *
ch_once_batch_find_completion(const struct ch_once_batch *batch,
                              const char *caller, const char *key,
                              uint64_t attempt);

/* ---- a node's copy of the log (once_log.c) ---- */

struct ch_once_record {
    uint64_t attempt;
    uint64_t fingerprint;
    uint64_t created_sequence; /* sequence of the batch that created it */
    uint64_t
        completed_sequence; /* sequence of its completion; 0: not completed */
    bool response_stored;
};

/* A batch as the key-value store lists it. */
struct ch_once_batch_entry {
    uint64_t sequence;
    uint64_t revision;
    const char *bytes;
    size_t length;
};

struct ch_once_log;

struct ch_once_log *ch_once_log_new(void);
void ch_once_log_free(struct ch_once_log *log);
/* Replaces the contents of log; `listed` is in order of sequence.  False: a
   batch that counts is damaged, and log must not be used for a decision. */
bool ch_once_log_load(struct ch_once_log *log,
                      const struct ch_once_batch_entry *listed, size_t count,
                      int64_t now, struct ch_error *error);
/* Adds the next batch, which was written at revision. */
void ch_once_log_append(struct ch_once_log *log,
                        const struct ch_once_batch *batch, uint64_t revision,
                        int64_t now);
const struct ch_once_record *ch_once_log_find(const struct ch_once_log *log,
                                              const char *caller,
                                              const char *key);
uint64_t ch_once_log_last_sequence(const struct ch_once_log *log);
uint64_t ch_once_log_last_revision(const struct ch_once_log *log);
/* Whether the batch is in the log at that revision and linked to the last
   batch. */
bool ch_once_log_contains(const struct ch_once_log *log, uint64_t sequence,
                          uint64_t revision);
/* Finds the first batch, if this node saw it before `seen_before` and it is
   not the last.  Otherwise false. */
bool ch_once_log_find_expired(const struct ch_once_log *log,
                              int64_t seen_before, uint64_t *sequence,
                              uint64_t *revision);
void ch_once_log_remove_first(struct ch_once_log *log);

/* ---- the state of a record for one attempt ---- */

enum ch_once_state {
    CH_ONCE_CREATED, /* this attempt owns the key and may be dispatched once */
    CH_ONCE_DONE,    /* ran before; the response is returned if stored */
    CH_ONCE_IN_PROGRESS, /* another attempt may be running or have run */
    CH_ONCE_MISMATCH,    /* the key was used with another request body */
    CH_ONCE_REFUSED,     /* the record was not created for this attempt */
};

enum ch_once_state
ch_once_record_get_state(const struct ch_once_record *record, uint64_t attempt,
                         uint64_t fingerprint);

/* ---- a slot at its owner node (once_slot.c) ---- */

enum ch_once_action_kind {
    CH_ONCE_LIST,   /* call ch_once_slot_handle_list with the result */
    CH_ONCE_PUT,    /* create bytes at sequence if absent; _handle_put */
    CH_ONCE_GET,    /* read sequence; _handle_get */
    CH_ONCE_REMOVE, /* delete sequence at revision; _handle_remove */
    CH_ONCE_REPLY,  /* send state to waiter */
};

struct ch_once_action {
    enum ch_once_action_kind kind;
    uint64_t sequence;
    uint64_t revision;
    char *bytes; /* owned by the action */
    uint64_t waiter;
    enum ch_once_state state;
    enum ch_code
        code; /* reason for REFUSED; KV_UNREACHABLE: surely not written */
    uint64_t
        completed_sequence; /* DONE: batch with the stored response; 0: none */
    uint64_t completed_by_attempt; /* DONE: the attempt that ran */
};

/* Actions (struct ch_once_action) to carry out in order.  At most one of the
   first four kinds is in progress for a slot. */
struct ch_once_actions {
    GArray *list;
};

void ch_once_actions_init(struct ch_once_actions *actions);
void ch_once_actions_clear(struct ch_once_actions *actions);

struct ch_once_slot;

struct ch_once_slot *ch_once_slot_new(uint64_t writer_id, int64_t batch_delay,
                                      int64_t retention);
void ch_once_slot_free(struct ch_once_slot *slot);
/* waiter 0: no reply is wanted.  The slot takes ownership of the event. */
void ch_once_slot_add_event(struct ch_once_slot *slot,
                            struct ch_once_event *event, uint64_t waiter,
                            int64_t now, struct ch_once_actions *out);
void ch_once_slot_handle_list(struct ch_once_slot *slot, enum ch_code code,
                              const struct ch_once_batch_entry *listed,
                              size_t count, int64_t now,
                              struct ch_once_actions *out);
void ch_once_slot_handle_put(struct ch_once_slot *slot, enum ch_code code,
                             uint64_t revision, int64_t now,
                             struct ch_once_actions *out);
void ch_once_slot_handle_get(struct ch_once_slot *slot, enum ch_code code,
                             const char *bytes, size_t length,
                             uint64_t revision, int64_t now,
                             struct ch_once_actions *out);
void ch_once_slot_handle_remove(struct ch_once_slot *slot, enum ch_code code,
                                int64_t now, struct ch_once_actions *out);
/* expire: this node owns the slot and removes expired batches. */
void ch_once_slot_tick(struct ch_once_slot *slot, bool expire, int64_t now,
                       struct ch_once_actions *out);
/* Time of the next tick; INT64_MAX: none until an event is added. */
int64_t ch_once_slot_next_due(const struct ch_once_slot *slot);
/* Whether no event waits and no call is in progress. */
bool ch_once_slot_is_idle(const struct ch_once_slot *slot);

#endif
