#ifndef CH_DECIDE_ONCE_H
#define CH_DECIDE_ONCE_H

/*
 * At most once: the records of one slot of keys, and the state machine of the
 * node that is the slot's home.
 *
 * A slot is a log of batches at once/SLOT/SEQUENCE.  Each is created if
 * absent, so that of two homes that write the same sequence one is told of the
 * conflict: duplicate homes are harmless.  An attempt is one try of one entry
 * node; it may be dispatched only on evidence that the log gives the key to
 * it.  Names follow tests/spec/once.pml.
 */

#include "base/base.h"

/* ---- batches (once_batch.c) ---- */

enum ch_once_event_kind {
    CH_ONCE_EVENT_CREATE,   /* the attempt asks for the key */
    CH_ONCE_EVENT_COMPLETE, /* the attempt ran: its answer */
    CH_ONCE_EVENT_RELEASE, /* the attempt certainly did not and will not run */
};

struct ch_once_event {
    enum ch_once_event_kind kind;
    char *caller;
    char *key;
    uint64_t attempt;
    uint64_t fingerprint; /* of a creation */
    bool kept;            /* of a completion: body is the whole answer */
    int status;
    char *content_type;
    void *body;
    size_t length;
};

struct ch_once_batch {
    uint64_t previous; /* revision of the batch before it; 0: the first */
    char *writer;      /* mark of the write, to know one's own again */
    GPtrArray *events; /* of struct ch_once_event */
};

enum {
    /* A kept answer: a booking's or an order's confirmation, not a report. */
    CH_ONCE_MOST_BODY = 16 * 1024,
    /* A batch as JSON stays well under the service's megabyte. */
    CH_ONCE_MOST_BATCH = 256 * 1024,
};

void ch_once_event_free(void *event);
struct ch_once_batch *ch_once_batch_new(uint64_t previous, const char *writer);
void ch_once_batch_free(struct ch_once_batch *batch);
char *ch_once_batch_encode(const struct ch_once_batch *batch);
struct ch_once_batch *ch_once_batch_decode(const char *bytes, size_t length,
                                           struct ch_error *error);
/* The completion of an attempt in a batch; NULL: none. */
const struct ch_once_event *
ch_once_batch_completion(const struct ch_once_batch *batch, const char *caller,
                         const char *key, uint64_t attempt);

/* ---- the log as a node knows it (once_log.c) ---- */

struct ch_once_record {
    uint64_t attempt;
    uint64_t fingerprint;
    uint64_t created;   /* sequence of its creation */
    uint64_t completed; /* sequence of its completion; 0: none */
    bool kept;
};

/* A batch as it was listed. */
struct ch_once_listed {
    uint64_t sequence;
    uint64_t revision;
    const char *bytes;
    size_t length;
};

struct ch_once_log;

struct ch_once_log *ch_once_log_new(void);
void ch_once_log_free(struct ch_once_log *log);
/* In place of what was known; in order of sequence.  False: a batch that
   counts is damaged, and nothing may be told from this log. */
bool ch_once_log_load(struct ch_once_log *log,
                      const struct ch_once_listed *listed, size_t count,
                      int64_t now, struct ch_error *error);
/* The next batch, which was written at revision. */
void ch_once_log_append(struct ch_once_log *log,
                        const struct ch_once_batch *batch, uint64_t revision,
                        int64_t now);
const struct ch_once_record *ch_once_log_find(const struct ch_once_log *log,
                                              const char *caller,
                                              const char *key);
uint64_t ch_once_log_last(const struct ch_once_log *log);
uint64_t ch_once_log_last_revision(const struct ch_once_log *log);
/* True when the sequence is there at revision and linked up to the last. */
bool ch_once_log_holds(const struct ch_once_log *log, uint64_t sequence,
                       uint64_t revision);
/* The first batch, if it was known before `seen` and is not the last. */
bool ch_once_log_expired(const struct ch_once_log *log, int64_t seen,
                         uint64_t *sequence, uint64_t *revision);
void ch_once_log_remove_first(struct ch_once_log *log);

/* ---- what the record means for an attempt ---- */

enum ch_once_state {
    CH_ONCE_CREATED,  /* this try alone may be dispatched, once */
    CH_ONCE_DONE,     /* ran before: answer is given when it was kept */
    CH_ONCE_RUNNING,  /* another try of it may be running or have run */
    CH_ONCE_MISMATCH, /* the key came with another body */
    CH_ONCE_REFUSED,  /* surely not created by this try */
};

enum ch_once_state ch_once_state_of(const struct ch_once_record *record,
                                    uint64_t attempt, uint64_t fingerprint);

/* ---- a slot at its home (once_slot.c) ---- */

enum ch_once_action_kind {
    CH_ONCE_LIST,   /* then ch_once_slot_listed */
    CH_ONCE_PUT,    /* bytes at sequence, if absent; then _written */
    CH_ONCE_GET,    /* sequence; then _got */
    CH_ONCE_REMOVE, /* sequence at revision; then _removed */
    CH_ONCE_ANSWER, /* waiter gets state */
};

struct ch_once_action {
    enum ch_once_action_kind kind;
    uint64_t sequence;
    uint64_t revision;
    char *bytes; /* owned by the action */
    uint64_t waiter;
    enum ch_once_state state;
    enum ch_code code;   /* why REFUSED: KV_UNREACHABLE: surely not written */
    uint64_t completed;  /* DONE and kept: the batch that holds the answer */
    uint64_t by_attempt; /* DONE: the attempt that ran */
};

/* The actions (struct ch_once_action) in order; of the first four kinds one at
   a time is under way for a slot. */
struct ch_once_actions {
    GArray *list;
};

void ch_once_actions_init(struct ch_once_actions *actions);
void ch_once_actions_clear(struct ch_once_actions *actions);

struct ch_once_slot;

struct ch_once_slot *ch_once_slot_new(uint64_t writer, int64_t gather,
                                      int64_t keep);
void ch_once_slot_free(struct ch_once_slot *slot);
/* waiter 0: nobody waits.  The event is owned by the slot from then on. */
void ch_once_slot_add(struct ch_once_slot *slot, struct ch_once_event *event,
                      uint64_t waiter, int64_t now,
                      struct ch_once_actions *out);
void ch_once_slot_listed(struct ch_once_slot *slot, enum ch_code code,
                         const struct ch_once_listed *listed, size_t count,
                         int64_t now, struct ch_once_actions *out);
void ch_once_slot_written(struct ch_once_slot *slot, enum ch_code code,
                          uint64_t revision, int64_t now,
                          struct ch_once_actions *out);
void ch_once_slot_got(struct ch_once_slot *slot, enum ch_code code,
                      const char *bytes, size_t length, uint64_t revision,
                      int64_t now, struct ch_once_actions *out);
void ch_once_slot_removed(struct ch_once_slot *slot, enum ch_code code,
                          int64_t now, struct ch_once_actions *out);
/* expire: this node is the slot's home, and drops what is too old. */
void ch_once_slot_tick(struct ch_once_slot *slot, bool expire, int64_t now,
                       struct ch_once_actions *out);
/* When a tick is due; INT64_MAX: not before something is added. */
int64_t ch_once_slot_due(const struct ch_once_slot *slot);
/* Nothing waits and nothing is under way. */
bool ch_once_slot_idle(const struct ch_once_slot *slot);

#endif
