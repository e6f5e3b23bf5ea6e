/* A slot at its owner node: collects events into batches and writes one batch
 * at a time to the key-value store. */

#include "decide/once.h"

#include <string.h>

enum {
    /* Backoff while the key-value store is unavailable: one call after each
     * delay.  Non-idempotent requests are refused until a call succeeds, so
     * the longest delay is the time that callers lose after the store has
     * recovered.  One call per second for each of 64 slots is a fifth of the
     * load that the store may get, whatever the number of nodes. */
    INITIAL_BACKOFF_US = 250 * 1000,
    MAX_BACKOFF_US = 1000 * 1000,
    /* Completions and releases that are queued while the store is
       unavailable.  Beyond this the oldest are dropped, and the state of their
       keys stays unknown. */
    MAX_QUEUED_COMPLETIONS = 4096,
    /* Writes of one batch, the first included, when no reply comes. */
    MAX_PUTS_PER_BATCH = 3,
};

enum phase {
    PHASE_UNLOADED,   /* the log must be listed */
    PHASE_READY,      /* log loaded, no call in progress */
    PHASE_LISTING,    /* the log is being listed */
    PHASE_WRITING,    /* the batch is being written at the next sequence */
    PHASE_RESOLVING,  /* conflict or no reply: the sequence is read back */
    PHASE_CHECKING,   /* batch written: the sequence before it is read */
    PHASE_CONFIRMING, /* written as the first batch: the slot is listed */
    PHASE_PROBING,    /* next sequence read: did another owner write it? */
    PHASE_REMOVING,   /* the first batch has expired and is being deleted */
};

struct pending_event {
    struct ch_once_event *event;
    uint64_t waiter;
};

struct ch_once_slot {
    struct ch_once_log *log;
    enum phase phase;
    uint64_t writer_id;
    uint64_t write_count;
    int64_t batch_delay;
    int64_t retention;
    int64_t due_at;   /* of the next write or retry; INT64_MAX: none */
    int64_t backoff;  /* above 0: the store did not answer the last call */
    int64_t retry_at; /* time of the next call while backoff is above 0 */
    bool stale;       /* the log may be too old to decide a queued event */
    GQueue queue;     /* of struct pending_event */
    GQueue batched;   /* of struct pending_event, in the batch being written */
    struct ch_once_batch *batch;
    char *bytes;
    uint64_t revision; /* of the written batch */
    unsigned put_count;
};

/* ---- actions ---- */

/* Frees the contents of an action; a GDestroyNotify. */
static void
action_clear(void *data)
{
    struct ch_once_action *action = data;
    g_free(action->bytes);
}

/* Initialises an empty list; free it with ch_once_actions_clear(). */
void
ch_once_actions_init(struct ch_once_actions *actions)
{
    actions->list = g_array_new(FALSE, TRUE, sizeof(struct ch_once_action));
    g_array_set_clear_func(actions->list, action_clear);
}

/* Frees the list with its actions. */
void
ch_once_actions_clear(struct ch_once_actions *actions)
{
    g_array_free(actions->list, TRUE);
    actions->list = NULL;
}

/* Appends a call to the key-value store. */
static void
add_call(struct ch_once_actions *out, enum ch_once_action_kind kind,
         uint64_t sequence, uint64_t revision, const char *bytes)
{
    const struct ch_once_action action = {
        .kind = kind,
        .sequence = sequence,
        .revision = revision,
        .bytes = g_strdup(bytes),
    };
    g_array_append_val(out->list, action);
}

/* Appends the reply to a waiter; none if waiter is 0. */
static void
add_reply(struct ch_once_actions *out, uint64_t waiter,
          enum ch_once_state state, enum ch_code code,
          const struct ch_once_record *record)
{
    if (waiter == 0) {
        return;
    }
    struct ch_once_action action = {
        .kind = CH_ONCE_REPLY,
        .waiter = waiter,
        .state = state,
        .code = code,
    };
    if (record != NULL && state == CH_ONCE_DONE) {
        action.completed_sequence =
            record->response_stored ? record->completed_sequence : 0;
        action.completed_by_attempt = record->attempt;
    }
    g_array_append_val(out->list, action);
}

/* ---- construction ---- */

/* Makes a slot whose log is not loaded yet.  writer_id tells the writes of
 * this process from those of others; batch_delay and retention are in
 * microseconds. */
struct ch_once_slot *
ch_once_slot_new(uint64_t writer_id, int64_t batch_delay, int64_t retention)
{
    struct ch_once_slot *slot = g_new0(struct ch_once_slot, 1);
    slot->log = ch_once_log_new();
    slot->writer_id = writer_id;
    slot->batch_delay = batch_delay;
    slot->retention = retention;
    slot->due_at = INT64_MAX;
    g_queue_init(&slot->queue);
    g_queue_init(&slot->batched);
    return slot;
}

static void
pending_event_free(struct pending_event *pending)
{
    ch_once_event_free(pending->event);
    g_free(pending);
}

/* Drops the batch being written.  Its events stay owned by batched. */
static void
drop_batch(struct ch_once_slot *slot)
{
    if (slot->batch != NULL) {
        g_ptr_array_set_free_func(slot->batch->events, NULL);
    }
    ch_once_batch_free(slot->batch);
    slot->batch = NULL;
    g_clear_pointer(&slot->bytes, g_free);
}

/* Frees a slot; NULL is fine.  Waiters get no reply. */
void
ch_once_slot_free(struct ch_once_slot *slot)
{
    if (slot == NULL) {
        return;
    }
    drop_batch(slot);
    struct pending_event *pending = NULL;
    while ((pending = g_queue_pop_head(&slot->queue)) != NULL ||
           (pending = g_queue_pop_head(&slot->batched)) != NULL) {
        pending_event_free(pending);
    }
    ch_once_log_free(slot->log);
    g_free(slot);
}

/* ---- replies that the log decides ---- */

/* The record of the event's key; NULL: none. */
static const struct ch_once_record *
find_record(const struct ch_once_slot *slot, const struct ch_once_event *event)
{
    return ch_once_log_find(slot->log, event->caller, event->key);
}

/* Whether both events belong to the same attempt at the same key. */
static bool
same_attempt(const struct ch_once_event *a, const struct ch_once_event *b)
{
    return a->attempt == b->attempt && strcmp(a->key, b->key) == 0 &&
           strcmp(a->caller, b->caller) == 0;
}

/* Removes the queued creations of a released attempt: written after the
 * release, they would keep the key for an attempt that is over. */
static void
cancel_creations(struct ch_once_slot *slot, const struct ch_once_event *event,
                 struct ch_once_actions *out)
{
    GList *next = NULL;
    for (GList *at = slot->queue.head; at != NULL; at = next) {
        struct pending_event *pending = at->data;
        next = at->next;
        if (pending->event->kind == CH_ONCE_EVENT_CREATE &&
            same_attempt(pending->event, event)) {
            add_reply(out, pending->waiter, CH_ONCE_REFUSED, CH_KV_UNREACHABLE,
                      NULL);
            pending_event_free(pending);
            g_queue_delete_link(&slot->queue, at);
        }
    }
}

/* Replies to a creation and frees it if the log decides its state; else
 * returns false.  Only a log that is not stale can tell whether another
 * attempt is still running. */
static bool
try_reply_creation(struct ch_once_slot *slot, struct pending_event *pending,
                   struct ch_once_actions *out)
{
    const struct ch_once_event *event = pending->event;
    const struct ch_once_record *record = find_record(slot, event);
    enum ch_once_state state =
        ch_once_record_get_state(record, event->attempt, event->fingerprint);
    if (state == CH_ONCE_REFUSED ||
        (state == CH_ONCE_IN_PROGRESS && slot->stale)) {
        return false;
    }
    add_reply(out, pending->waiter, state, CH_OK, record);
    pending_event_free(pending);
    return true;
}

/* Replies to a completion or a release and frees it once the log shows it, or
 * shows that the attempt does not own the key; else returns false. */
static bool
try_reply_end(struct ch_once_slot *slot, struct pending_event *pending,
              struct ch_once_actions *out)
{
    const struct ch_once_event *event = pending->event;
    const struct ch_once_record *record = find_record(slot, event);
    bool owns_key = record != NULL && record->attempt == event->attempt;
    if (owns_key ? record->completed_sequence == 0 : slot->stale) {
        return false;
    }
    bool recorded = owns_key || event->kind == CH_ONCE_EVENT_RELEASE;
    if (event->kind == CH_ONCE_EVENT_RELEASE) {
        cancel_creations(slot, event, out);
    }
    add_reply(out, pending->waiter, recorded ? CH_ONCE_DONE : CH_ONCE_REFUSED,
              CH_OK, NULL);
    pending_event_free(pending);
    return true;
}

/* Replies to a pending event and frees it if the log decides its state; else
 * returns false. */
static bool
try_reply(struct ch_once_slot *slot, struct pending_event *pending,
          struct ch_once_actions *out)
{
    return pending->event->kind == CH_ONCE_EVENT_CREATE
               ? try_reply_creation(slot, pending, out)
               : try_reply_end(slot, pending, out);
}

/* Replies to every queued event whose state the log decides. */
static void
reply_decided_events(struct ch_once_slot *slot, struct ch_once_actions *out)
{
    GQueue rest = G_QUEUE_INIT;
    struct pending_event *pending = NULL;
    while ((pending = g_queue_pop_head(&slot->queue)) != NULL) {
        if (!try_reply(slot, pending, out)) {
            g_queue_push_tail(&rest, pending);
        }
    }
    slot->queue = rest;
}

/* ---- writing batches ---- */

/* An upper estimate of the event's bytes in an encoded batch. */
static size_t
event_size(const struct ch_once_event *event)
{
    return 256 + strlen(event->caller) * 3 + strlen(event->key) * 3 +
           event->body_length * 4 / 3;
}

/* Makes the next batch from as many queued events as fit. */
static void
fill_batch(struct ch_once_slot *slot)
{
    char write_id[40];
    size_t size = 0;
    (void)g_snprintf(write_id, sizeof(write_id),
                     "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                     slot->writer_id, ++slot->write_count);
    slot->batch =
        ch_once_batch_new(ch_once_log_last_revision(slot->log), write_id);
    while (!g_queue_is_empty(&slot->queue)) {
        struct pending_event *pending = g_queue_peek_head(&slot->queue);
        size += event_size(pending->event);
        if (size > CH_ONCE_MAX_BATCH_BYTES && slot->batch->events->len > 0) {
            break;
        }
        (void)g_queue_pop_head(&slot->queue);
        g_queue_push_tail(&slot->batched, pending);
        g_ptr_array_add(slot->batch->events, pending->event);
    }
    slot->bytes = ch_once_batch_encode(slot->batch);
}

/* Writes the current batch at the next sequence. */
static void
put_batch(struct ch_once_slot *slot, struct ch_once_actions *out)
{
    slot->phase = PHASE_WRITING;
    slot->put_count++;
    add_call(out, CH_ONCE_PUT, ch_once_log_last_sequence(slot->log) + 1, 0,
             slot->bytes);
}

/* Starts the call that is due: list the log, check that it is not stale, or
 * write the next batch. */
static void
start_next_call(struct ch_once_slot *slot, int64_t now,
                struct ch_once_actions *out)
{
    if (g_queue_is_empty(&slot->queue)) {
        slot->due_at = INT64_MAX;
        return;
    }
    if (now < slot->due_at) {
        return;
    }
    if (slot->phase == PHASE_UNLOADED) {
        slot->phase = PHASE_LISTING;
        add_call(out, CH_ONCE_LIST, 0, 0, NULL);
    }
    else if (slot->phase == PHASE_READY && slot->stale) {
        slot->phase = PHASE_PROBING;
        add_call(out, CH_ONCE_GET, ch_once_log_last_sequence(slot->log) + 1, 0,
                 NULL);
    }
    else if (slot->phase == PHASE_READY) {
        fill_batch(slot);
        slot->put_count = 0;
        put_batch(slot, out);
    }
}

/* Puts the events of the batch back at the front of the queue, in order. */
static void
requeue_batch(struct ch_once_slot *slot)
{
    drop_batch(slot);
    struct pending_event *pending = NULL;
    while ((pending = g_queue_pop_tail(&slot->batched)) != NULL) {
        g_queue_push_head(&slot->queue, pending);
    }
}

/* Replies to a creation while the store is unavailable, and frees it: with the
 * state in the known log where that state is final, else with a refusal. */
static void
reply_without_store(struct ch_once_slot *slot, struct pending_event *pending,
                    enum ch_code code, struct ch_once_actions *out)
{
    const struct ch_once_event *event = pending->event;
    const struct ch_once_record *record = find_record(slot, event);
    enum ch_once_state state =
        ch_once_record_get_state(record, event->attempt, event->fingerprint);
    add_reply(out, pending->waiter, state,
              state == CH_ONCE_REFUSED ? code : CH_OK, record);
    pending_event_free(pending);
}

/*
 * Fails the queue when the store is unavailable.  Creations get a reply at
 * once, so that no caller waits for the outage to end, and are not retried,
 * since their attempts are over.  Completions and releases are reported as not
 * stored yet, and stay queued.
 */
static void
fail_queue(struct ch_once_slot *slot, enum ch_code code,
           struct ch_once_actions *out)
{
    for (guint remaining = g_queue_get_length(&slot->queue); remaining > 0;
         remaining--) {
        struct pending_event *pending = g_queue_pop_head(&slot->queue);
        if (pending->event->kind == CH_ONCE_EVENT_CREATE) {
            reply_without_store(slot, pending, code, out);
            continue;
        }
        add_reply(out, pending->waiter, CH_ONCE_REFUSED, code, NULL);
        pending->waiter = 0;
        if (remaining > MAX_QUEUED_COMPLETIONS) {
            pending_event_free(pending);
        }
        else {
            g_queue_push_tail(&slot->queue, pending);
        }
    }
}

/* Handles a failed call to the store and starts the backoff.  code tells the
 * waiters whether their creation may have been written after all. */
static void
handle_store_failure(struct ch_once_slot *slot, enum ch_code code, int64_t now,
                     struct ch_once_actions *out)
{
    requeue_batch(slot);
    fail_queue(slot, code, out);
    slot->phase = PHASE_UNLOADED;
    slot->stale = false;
    slot->backoff =
        CLAMP(slot->backoff * 2, INITIAL_BACKOFF_US, MAX_BACKOFF_US);
    slot->retry_at = now + slot->backoff;
    slot->due_at = slot->retry_at;
}

/* Lists the log again when it is not as expected, and makes a new batch after
 * that. */
static void
reload_log(struct ch_once_slot *slot, int64_t now, struct ch_once_actions *out)
{
    requeue_batch(slot);
    slot->phase = PHASE_UNLOADED;
    slot->stale = false;
    slot->due_at = now;
    start_next_call(slot, now, out);
}

/* Replies to an event that is in the log.  A creation that the log does not
 * show was released in the same batch: its attempt is over. */
static void
reply_batched_event(struct ch_once_slot *slot, struct pending_event *pending,
                    struct ch_once_actions *out)
{
    if (!try_reply(slot, pending, out)) {
        add_reply(out, pending->waiter, CH_ONCE_REFUSED, CH_KV_UNREACHABLE,
                  NULL);
        pending_event_free(pending);
    }
}

/* Takes the batch into the log once it certainly belongs there. */
static void
commit_batch(struct ch_once_slot *slot, int64_t now,
             struct ch_once_actions *out)
{
    ch_once_log_append(slot->log, slot->batch, slot->revision, now);
    drop_batch(slot);
    slot->phase = PHASE_READY;
    slot->stale = false;
    struct pending_event *pending = NULL;
    while ((pending = g_queue_pop_head(&slot->batched)) != NULL) {
        reply_batched_event(slot, pending, out);
    }
    reply_decided_events(slot, out);
    slot->due_at = now;
    start_next_call(slot, now, out);
}

/*
 * Verifies a batch whose sequence was created.  The successful write alone is
 * no proof: an owner that was paused for longer than the retention can create
 * a sequence again that others have used and removed since.  Batches are
 * removed in order, so if the batch before it is unchanged, this sequence was
 * never used.  For the first sequence, the links from the last batch down to
 * it are the proof.
 */
static void
verify_batch(struct ch_once_slot *slot, uint64_t revision,
             struct ch_once_actions *out)
{
    uint64_t last = ch_once_log_last_sequence(slot->log);
    slot->revision = revision;
    if (last == 0) {
        slot->phase = PHASE_CONFIRMING;
        add_call(out, CH_ONCE_LIST, 0, 0, NULL);
    }
    else {
        slot->phase = PHASE_CHECKING;
        add_call(out, CH_ONCE_GET, last, 0, NULL);
    }
}

/* ---- events and results of calls ---- */

/* Marks the log as stale if it may be too old to decide the event: another
 * node that owned this slot for a while may have written since. */
static void
mark_if_stale(struct ch_once_slot *slot, const struct ch_once_event *event)
{
    const struct ch_once_record *record = find_record(slot, event);
    if (event->kind == CH_ONCE_EVENT_CREATE) {
        slot->stale |= ch_once_record_get_state(record, event->attempt,
                                                event->fingerprint) ==
                       CH_ONCE_IN_PROGRESS;
    }
    else {
        slot->stale |= record == NULL || record->attempt != event->attempt;
    }
}

/* Adds a creation, a completion or a release. */
void
ch_once_slot_add_event(struct ch_once_slot *slot, struct ch_once_event *event,
                       uint64_t waiter, int64_t now,
                       struct ch_once_actions *out)
{
    struct pending_event *pending = g_new0(struct pending_event, 1);
    pending->event = event;
    pending->waiter = waiter;
    bool create = event->kind == CH_ONCE_EVENT_CREATE;
    bool unavailable = slot->backoff > 0 &&
                       (now < slot->retry_at || slot->phase == PHASE_LISTING);
    if (create && unavailable) {
        reply_without_store(slot, pending, CH_KV_UNREACHABLE, out);
        return;
    }
    if (event->kind == CH_ONCE_EVENT_RELEASE) {
        cancel_creations(slot, event, out);
    }
    bool loaded =
        slot->phase != PHASE_UNLOADED && slot->phase != PHASE_LISTING;
    if (loaded) {
        mark_if_stale(slot, event);
        if (create && try_reply(slot, pending, out)) {
            return;
        }
    }
    if (g_queue_is_empty(&slot->queue)) {
        bool urgent = slot->phase == PHASE_UNLOADED || slot->stale;
        slot->due_at =
            MAX(urgent ? now : now + slot->batch_delay, slot->retry_at);
    }
    g_queue_push_tail(&slot->queue, pending);
    start_next_call(slot, now, out);
}

/* Handles the result of a LIST. */
void
ch_once_slot_handle_list(struct ch_once_slot *slot, enum ch_code code,
                         const struct ch_once_batch_entry *listed,
                         size_t count, int64_t now,
                         struct ch_once_actions *out)
{
    enum ch_code refusal =
        slot->phase == PHASE_CONFIRMING ? CH_KV_AMBIGUOUS : CH_KV_UNREACHABLE;
    if (code != CH_OK ||
        !ch_once_log_load(slot->log, listed, count, now, NULL)) {
        handle_store_failure(slot, refusal, now, out);
        return;
    }
    bool confirmed = slot->phase == PHASE_CONFIRMING &&
                     ch_once_log_contains(slot->log, 1, slot->revision);
    struct pending_event *pending = NULL;
    slot->stale = false;
    while (confirmed && (pending = g_queue_pop_head(&slot->batched)) != NULL) {
        reply_batched_event(slot, pending, out);
    }
    requeue_batch(slot);
    slot->phase = PHASE_READY;
    slot->backoff = 0;
    slot->retry_at = 0;
    reply_decided_events(slot, out);
    slot->due_at = now;
    start_next_call(slot, now, out);
}

/* Handles the result of a PUT. */
void
ch_once_slot_handle_put(struct ch_once_slot *slot, enum ch_code code,
                        uint64_t revision, int64_t now,
                        struct ch_once_actions *out)
{
    switch (code) {
    case CH_OK:
        verify_batch(slot, revision, out);
        return;
    case CH_KV_CONFLICT:
    case CH_KV_AMBIGUOUS:
        /* The sequence may be taken by this batch, from an earlier write that
           got no reply; reading it back shows whose batch it is. */
        slot->phase = PHASE_RESOLVING;
        add_call(out, CH_ONCE_GET, ch_once_log_last_sequence(slot->log) + 1, 0,
                 NULL);
        return;
    default:
        handle_store_failure(
            slot, slot->put_count > 1 ? CH_KV_AMBIGUOUS : CH_KV_UNREACHABLE,
            now, out);
    }
}

/* Handles the read of the sequence after a conflict or a missing reply. */
static void
handle_read_back(struct ch_once_slot *slot, enum ch_code code,
                 const char *bytes, size_t length, uint64_t revision,
                 int64_t now, struct ch_once_actions *out)
{
    if (code == CH_KV_MISSING && slot->put_count < MAX_PUTS_PER_BATCH) {
        put_batch(slot, out);
    }
    else if (code == CH_OK && length == strlen(slot->bytes) &&
             memcmp(bytes, slot->bytes, length) == 0) {
        verify_batch(slot, revision, out);
    }
    else if (code == CH_OK) {
        reload_log(slot, now, out);
    }
    else {
        handle_store_failure(slot, CH_KV_AMBIGUOUS, now, out);
    }
}

/* Handles the read of the sequence after the last. */
static void
handle_probe(struct ch_once_slot *slot, enum ch_code code, int64_t now,
             struct ch_once_actions *out)
{
    if (code == CH_OK) {
        reload_log(slot, now, out);
        return;
    }
    if (code != CH_KV_MISSING) {
        handle_store_failure(slot, CH_KV_UNREACHABLE, now, out);
        return;
    }
    slot->phase = PHASE_READY;
    slot->stale = false;
    reply_decided_events(slot, out);
    slot->due_at = now;
    start_next_call(slot, now, out);
}

/* Handles the result of a GET. */
void
ch_once_slot_handle_get(struct ch_once_slot *slot, enum ch_code code,
                        const char *bytes, size_t length, uint64_t revision,
                        int64_t now, struct ch_once_actions *out)
{
    if (slot->phase == PHASE_RESOLVING) {
        handle_read_back(slot, code, bytes, length, revision, now, out);
        return;
    }
    if (slot->phase == PHASE_PROBING) {
        handle_probe(slot, code, now, out);
        return;
    }
    if (code == CH_OK && revision == ch_once_log_last_revision(slot->log)) {
        commit_batch(slot, now, out);
    }
    else if (code == CH_OK || code == CH_KV_MISSING) {
        reload_log(slot, now, out);
    }
    else {
        handle_store_failure(slot, CH_KV_AMBIGUOUS, now, out);
    }
}

/* Handles the result of a REMOVE. */
void
ch_once_slot_handle_remove(struct ch_once_slot *slot, enum ch_code code,
                           int64_t now, struct ch_once_actions *out)
{
    slot->phase = PHASE_READY;
    if (code == CH_OK || code == CH_KV_MISSING) {
        ch_once_log_remove_first(slot->log);
    }
    else {
        slot->phase = PHASE_UNLOADED;
        slot->stale = false;
    }
    start_next_call(slot, now, out);
}

/* Starts the call that is due, else removes one expired batch. */
void
ch_once_slot_tick(struct ch_once_slot *slot, bool expire, int64_t now,
                  struct ch_once_actions *out)
{
    uint64_t sequence = 0;
    uint64_t revision = 0;
    start_next_call(slot, now, out);
    if (expire && slot->phase == PHASE_READY &&
        ch_once_log_find_expired(slot->log, now - slot->retention, &sequence,
                                 &revision)) {
        slot->phase = PHASE_REMOVING;
        add_call(out, CH_ONCE_REMOVE, sequence, revision, NULL);
    }
}

/* Time of the next write or retry; INT64_MAX: none. */
int64_t
ch_once_slot_next_due(const struct ch_once_slot *slot)
{
    bool no_call = slot->phase == PHASE_UNLOADED || slot->phase == PHASE_READY;
    return no_call && slot->queue.length > 0 ? slot->due_at : INT64_MAX;
}

/* Whether the slot can be freed without losing an event. */
bool
ch_once_slot_is_idle(const struct ch_once_slot *slot)
{
    bool no_call = slot->phase == PHASE_UNLOADED || slot->phase == PHASE_READY;
    return no_call && slot->queue.length == 0;
}
