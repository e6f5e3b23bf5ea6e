/* A slot at its home: gathers what comes into batches, and writes one at a
 * time. */

#include "decide/once.h"

#include <string.h>

enum {
    /* While the service is away: one try after each pause.  Non-idempotent
     * work is refused until a try succeeds, so the longest pause is the time
     * that callers lose after the service is back; a try a second for each of
     * 64 slots is a fifth of what the service may be asked, whatever the
     * number of nodes. */
    FIRST_PAUSE = 250 * 1000,
    MOST_PAUSE = 1000 * 1000,
    /* Completions that wait for the service; the oldest go first, and their
       keys stay in doubt. */
    MOST_WAITING = 4096,
    /* Times that a batch is put in all when no answer comes. */
    MOST_PUTS = 3,
};

enum phase {
    PHASE_UNKNOWN,    /* the log is to be listed */
    PHASE_READY,      /* it is known, and nothing is under way */
    PHASE_LISTING,    /* ... to know it */
    PHASE_WRITING,    /* batch at the next sequence */
    PHASE_RESOLVING,  /* answer lost: the sequence is read back */
    PHASE_CHECKING,   /* written: the sequence before it is read */
    PHASE_CONFIRMING, /* written as the first: the slot is listed */
    PHASE_PROBING,    /* the next sequence is read: another home's? */
    PHASE_REMOVING,   /* the first batch has expired */
};

struct waiting {
    struct ch_once_event *event;
    uint64_t waiter;
};

struct ch_once_slot {
    struct ch_once_log *log;
    enum phase phase;
    uint64_t writer;
    uint64_t writes;
    int64_t gather;
    int64_t keep;
    int64_t due;        /* of the next write or try; INT64_MAX: none */
    int64_t pause;      /* above 0: the service did not answer the last call */
    int64_t not_before; /* of the next call, while pause is above 0 */
    bool stale;      /* something is asked that the log may be too old for */
    GQueue queue;    /* of struct waiting */
    GQueue in_batch; /* of struct waiting, in the batch under way */
    struct ch_once_batch *batch;
    char *bytes;
    uint64_t revision; /* at which the batch was written */
    unsigned puts;
};

/* ---- actions ---- */

/* Frees what an action holds. */
static void
action_clear(void *data)
{
    struct ch_once_action *action = data;
    g_free(action->bytes);
}

/* An empty list of actions. */
void
ch_once_actions_init(struct ch_once_actions *actions)
{
    actions->list = g_array_new(FALSE, TRUE, sizeof(struct ch_once_action));
    g_array_set_clear_func(actions->list, action_clear);
}

/* Frees the list. */
void
ch_once_actions_clear(struct ch_once_actions *actions)
{
    g_array_free(actions->list, TRUE);
    actions->list = NULL;
}

/* Appends a call to the service. */
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

/* Appends the answer to a waiter, unless nobody waits. */
static void
add_answer(struct ch_once_actions *out, uint64_t waiter,
           enum ch_once_state state, enum ch_code code,
           const struct ch_once_record *record)
{
    if (waiter == 0) {
        return;
    }
    struct ch_once_action action = {
        .kind = CH_ONCE_ANSWER,
        .waiter = waiter,
        .state = state,
        .code = code,
    };
    if (record != NULL && state == CH_ONCE_DONE) {
        action.completed = record->kept ? record->completed : 0;
        action.by_attempt = record->attempt;
    }
    g_array_append_val(out->list, action);
}

/* ---- construction ---- */

/* A slot of which nothing is known.  writer tells this process's writes from
 * those of others; gather and keep in microseconds. */
struct ch_once_slot *
ch_once_slot_new(uint64_t writer, int64_t gather, int64_t keep)
{
    struct ch_once_slot *slot = g_new0(struct ch_once_slot, 1);
    slot->log = ch_once_log_new();
    slot->writer = writer;
    slot->gather = gather;
    slot->keep = keep;
    slot->due = INT64_MAX;
    g_queue_init(&slot->queue);
    g_queue_init(&slot->in_batch);
    return slot;
}

/* Frees one that waits, with its event. */
static void
waiting_free(struct waiting *waiting)
{
    ch_once_event_free(waiting->event);
    g_free(waiting);
}

/* Drops the batch under way.  Its events belong to in_batch. */
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

/* Frees a slot; whoever waits gets no answer. */
void
ch_once_slot_free(struct ch_once_slot *slot)
{
    if (slot == NULL) {
        return;
    }
    drop_batch(slot);
    struct waiting *waiting = NULL;
    while ((waiting = g_queue_pop_head(&slot->queue)) != NULL ||
           (waiting = g_queue_pop_head(&slot->in_batch)) != NULL) {
        waiting_free(waiting);
    }
    ch_once_log_free(slot->log);
    g_free(slot);
}

/* ---- answers by what the log holds ---- */

/* The record of the event's key; NULL: none. */
static const struct ch_once_record *
record_of(const struct ch_once_slot *slot, const struct ch_once_event *event)
{
    return ch_once_log_find(slot->log, event->caller, event->key);
}

/* True when both are of the same attempt at the same key. */
static bool
same_attempt(const struct ch_once_event *a, const struct ch_once_event *b)
{
    return a->attempt == b->attempt && strcmp(a->key, b->key) == 0 &&
           strcmp(a->caller, b->caller) == 0;
}

/* Takes the creations of a released attempt out of the queue: written after
 * the release, they would hold the key for an attempt that is over. */
static void
cancel_creations(struct ch_once_slot *slot, const struct ch_once_event *event,
                 struct ch_once_actions *out)
{
    GList *next = NULL;
    for (GList *at = slot->queue.head; at != NULL; at = next) {
        struct waiting *waiting = at->data;
        next = at->next;
        if (waiting->event->kind == CH_ONCE_EVENT_CREATE &&
            same_attempt(waiting->event, event)) {
            add_answer(out, waiting->waiter, CH_ONCE_REFUSED,
                       CH_KV_UNREACHABLE, NULL);
            waiting_free(waiting);
            g_queue_delete_link(&slot->queue, at);
        }
    }
}

/* Answers a creation if the log tells enough; true: it was freed.  Whether
 * another attempt still runs is told from a log that is not stale alone. */
static bool
settle_creation(struct ch_once_slot *slot, struct waiting *waiting,
                struct ch_once_actions *out)
{
    const struct ch_once_event *event = waiting->event;
    const struct ch_once_record *record = record_of(slot, event);
    enum ch_once_state state =
        ch_once_state_of(record, event->attempt, event->fingerprint);
    if (state == CH_ONCE_REFUSED ||
        (state == CH_ONCE_RUNNING && slot->stale)) {
        return false;
    }
    add_answer(out, waiting->waiter, state, CH_OK, record);
    waiting_free(waiting);
    return true;
}

/* Answers a completion or a release once the log shows it, or shows that the
 * key is no longer the attempt's; true: it was freed. */
static bool
settle_end(struct ch_once_slot *slot, struct waiting *waiting,
           struct ch_once_actions *out)
{
    const struct ch_once_event *event = waiting->event;
    const struct ch_once_record *record = record_of(slot, event);
    bool own = record != NULL && record->attempt == event->attempt;
    if (own ? record->completed == 0 : slot->stale) {
        return false;
    }
    bool done = own || event->kind == CH_ONCE_EVENT_RELEASE;
    if (event->kind == CH_ONCE_EVENT_RELEASE) {
        cancel_creations(slot, event, out);
    }
    add_answer(out, waiting->waiter, done ? CH_ONCE_DONE : CH_ONCE_REFUSED,
               CH_OK, NULL);
    waiting_free(waiting);
    return true;
}

/* Answers one that waits if the log tells enough; true: it was freed. */
static bool
settle(struct ch_once_slot *slot, struct waiting *waiting,
       struct ch_once_actions *out)
{
    return waiting->event->kind == CH_ONCE_EVENT_CREATE
               ? settle_creation(slot, waiting, out)
               : settle_end(slot, waiting, out);
}

/* Answers all in the queue that the log tells enough of. */
static void
settle_queue(struct ch_once_slot *slot, struct ch_once_actions *out)
{
    GQueue rest = G_QUEUE_INIT;
    struct waiting *waiting = NULL;
    while ((waiting = g_queue_pop_head(&slot->queue)) != NULL) {
        if (!settle(slot, waiting, out)) {
            g_queue_push_tail(&rest, waiting);
        }
    }
    slot->queue = rest;
}

/* ---- writing ---- */

/* Bytes that an event takes in a batch, roughly from above. */
static size_t
event_size(const struct ch_once_event *event)
{
    return 256 + strlen(event->caller) * 3 + strlen(event->key) * 3 +
           event->length * 4 / 3;
}

/* Takes from the queue as much as a batch holds. */
static void
fill_batch(struct ch_once_slot *slot)
{
    char writer[40];
    size_t size = 0;
    (void)g_snprintf(writer, sizeof(writer),
                     "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
                     slot->writer, ++slot->writes);
    slot->batch =
        ch_once_batch_new(ch_once_log_last_revision(slot->log), writer);
    while (!g_queue_is_empty(&slot->queue)) {
        struct waiting *waiting = g_queue_peek_head(&slot->queue);
        size += event_size(waiting->event);
        if (size > CH_ONCE_MOST_BATCH && slot->batch->events->len > 0) {
            break;
        }
        (void)g_queue_pop_head(&slot->queue);
        g_queue_push_tail(&slot->in_batch, waiting);
        g_ptr_array_add(slot->batch->events, waiting->event);
    }
    slot->bytes = ch_once_batch_encode(slot->batch);
}

/* Puts the batch under way at the next sequence. */
static void
put_batch(struct ch_once_slot *slot, struct ch_once_actions *out)
{
    slot->phase = PHASE_WRITING;
    slot->puts++;
    add_call(out, CH_ONCE_PUT, ch_once_log_last(slot->log) + 1, 0,
             slot->bytes);
}

/* Begins what is due: knowing the log, knowing that it is not stale, or
 * writing the next batch. */
static void
proceed(struct ch_once_slot *slot, int64_t now, struct ch_once_actions *out)
{
    if (g_queue_is_empty(&slot->queue)) {
        slot->due = INT64_MAX;
        return;
    }
    if (now < slot->due) {
        return;
    }
    if (slot->phase == PHASE_UNKNOWN) {
        slot->phase = PHASE_LISTING;
        add_call(out, CH_ONCE_LIST, 0, 0, NULL);
    }
    else if (slot->phase == PHASE_READY && slot->stale) {
        slot->phase = PHASE_PROBING;
        add_call(out, CH_ONCE_GET, ch_once_log_last(slot->log) + 1, 0, NULL);
    }
    else if (slot->phase == PHASE_READY) {
        fill_batch(slot);
        slot->puts = 0;
        put_batch(slot, out);
    }
}

/* Puts what was in the batch back to the front of the queue, in order. */
static void
requeue_batch(struct ch_once_slot *slot)
{
    drop_batch(slot);
    struct waiting *waiting = NULL;
    while ((waiting = g_queue_pop_tail(&slot->in_batch)) != NULL) {
        g_queue_push_head(&slot->queue, waiting);
    }
}

/* Answers a creation while the service is away: by what was known before, as
 * far as that can't change any more, else with a refusal.  Frees it. */
static void
refuse_creation(struct ch_once_slot *slot, struct waiting *waiting,
                enum ch_code code, struct ch_once_actions *out)
{
    const struct ch_once_event *event = waiting->event;
    const struct ch_once_record *record = record_of(slot, event);
    enum ch_once_state state =
        ch_once_state_of(record, event->attempt, event->fingerprint);
    add_answer(out, waiting->waiter, state,
               state == CH_ONCE_REFUSED ? code : CH_OK, record);
    waiting_free(waiting);
}

/*
 * The service is away.  Creations are answered at once, so that no caller
 * waits for the outage to end, and are not tried again: their attempts are
 * over.  Completions and releases are told to be not kept yet, and stay.
 */
static void
fail_queue(struct ch_once_slot *slot, enum ch_code code,
           struct ch_once_actions *out)
{
    for (guint left = g_queue_get_length(&slot->queue); left > 0; left--) {
        struct waiting *waiting = g_queue_pop_head(&slot->queue);
        if (waiting->event->kind == CH_ONCE_EVENT_CREATE) {
            refuse_creation(slot, waiting, code, out);
            continue;
        }
        add_answer(out, waiting->waiter, CH_ONCE_REFUSED, code, NULL);
        waiting->waiter = 0;
        if (left > MOST_WAITING) {
            waiting_free(waiting);
        }
        else {
            g_queue_push_tail(&slot->queue, waiting);
        }
    }
}

/* A call got no answer.  code tells those who wait whether their creation may
 * have been written all the same. */
static void
service_away(struct ch_once_slot *slot, enum ch_code code, int64_t now,
             struct ch_once_actions *out)
{
    requeue_batch(slot);
    fail_queue(slot, code, out);
    slot->phase = PHASE_UNKNOWN;
    slot->stale = false;
    slot->pause = CLAMP(slot->pause * 2, FIRST_PAUSE, MOST_PAUSE);
    slot->not_before = now + slot->pause;
    slot->due = slot->not_before;
}

/* The log is not what was thought: it is listed, and the batch made anew. */
static void
relist(struct ch_once_slot *slot, int64_t now, struct ch_once_actions *out)
{
    requeue_batch(slot);
    slot->phase = PHASE_UNKNOWN;
    slot->stale = false;
    slot->due = now;
    proceed(slot, now, out);
}

/* Answers one whose event is in the log.  A creation that the log does not
 * show was released by the same batch: its attempt is over. */
static void
end_batched(struct ch_once_slot *slot, struct waiting *waiting,
            struct ch_once_actions *out)
{
    if (!settle(slot, waiting, out)) {
        add_answer(out, waiting->waiter, CH_ONCE_REFUSED, CH_KV_UNREACHABLE,
                   NULL);
        waiting_free(waiting);
    }
}

/* The batch is in the log for certain. */
static void
batch_written(struct ch_once_slot *slot, int64_t now,
              struct ch_once_actions *out)
{
    ch_once_log_append(slot->log, slot->batch, slot->revision, now);
    drop_batch(slot);
    slot->phase = PHASE_READY;
    slot->stale = false;
    struct waiting *waiting = NULL;
    while ((waiting = g_queue_pop_head(&slot->in_batch)) != NULL) {
        end_batched(slot, waiting, out);
    }
    settle_queue(slot, out);
    slot->due = now;
    proceed(slot, now, out);
}

/*
 * The sequence was created.  That alone is no proof: a home that was paused
 * for longer than keys are kept creates a sequence anew that others have used
 * and removed since.  Batches are removed in order, so the one before it, when
 * still there as it was, proves that this sequence was never used.  Of the
 * first sequence the links from the last batch down to it are the proof.
 */
static void
check_batch(struct ch_once_slot *slot, uint64_t revision,
            struct ch_once_actions *out)
{
    uint64_t last = ch_once_log_last(slot->log);
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

/* ---- what comes in ---- */

/* Notes whether the log may be too old to tell what the event asks: a node
 * that was this slot's home for a while may have written since. */
static void
check_stale(struct ch_once_slot *slot, const struct ch_once_event *event)
{
    const struct ch_once_record *record = record_of(slot, event);
    if (event->kind == CH_ONCE_EVENT_CREATE) {
        slot->stale |= ch_once_state_of(record, event->attempt,
                                        event->fingerprint) == CH_ONCE_RUNNING;
    }
    else {
        slot->stale |= record == NULL || record->attempt != event->attempt;
    }
}

/* Takes a creation, a completion or a release. */
void
ch_once_slot_add(struct ch_once_slot *slot, struct ch_once_event *event,
                 uint64_t waiter, int64_t now, struct ch_once_actions *out)
{
    struct waiting *waiting = g_new0(struct waiting, 1);
    waiting->event = event;
    waiting->waiter = waiter;
    bool create = event->kind == CH_ONCE_EVENT_CREATE;
    bool away = slot->pause > 0 &&
                (now < slot->not_before || slot->phase == PHASE_LISTING);
    if (create && away) {
        refuse_creation(slot, waiting, CH_KV_UNREACHABLE, out);
        return;
    }
    if (event->kind == CH_ONCE_EVENT_RELEASE) {
        cancel_creations(slot, event, out);
    }
    bool known = slot->phase != PHASE_UNKNOWN && slot->phase != PHASE_LISTING;
    if (known) {
        check_stale(slot, event);
        if (create && settle(slot, waiting, out)) {
            return;
        }
    }
    if (g_queue_is_empty(&slot->queue)) {
        bool at_once = slot->phase == PHASE_UNKNOWN || slot->stale;
        slot->due = MAX(at_once ? now : now + slot->gather, slot->not_before);
    }
    g_queue_push_tail(&slot->queue, waiting);
    proceed(slot, now, out);
}

/* The answer to a LIST. */
void
ch_once_slot_listed(struct ch_once_slot *slot, enum ch_code code,
                    const struct ch_once_listed *listed, size_t count,
                    int64_t now, struct ch_once_actions *out)
{
    enum ch_code refusal =
        slot->phase == PHASE_CONFIRMING ? CH_KV_AMBIGUOUS : CH_KV_UNREACHABLE;
    if (code != CH_OK ||
        !ch_once_log_load(slot->log, listed, count, now, NULL)) {
        service_away(slot, refusal, now, out);
        return;
    }
    bool confirmed = slot->phase == PHASE_CONFIRMING &&
                     ch_once_log_holds(slot->log, 1, slot->revision);
    struct waiting *waiting = NULL;
    slot->stale = false;
    while (confirmed &&
           (waiting = g_queue_pop_head(&slot->in_batch)) != NULL) {
        end_batched(slot, waiting, out);
    }
    requeue_batch(slot);
    slot->phase = PHASE_READY;
    slot->pause = 0;
    slot->not_before = 0;
    settle_queue(slot, out);
    slot->due = now;
    proceed(slot, now, out);
}

/* The answer to a PUT. */
void
ch_once_slot_written(struct ch_once_slot *slot, enum ch_code code,
                     uint64_t revision, int64_t now,
                     struct ch_once_actions *out)
{
    switch (code) {
    case CH_OK:
        check_batch(slot, revision, out);
        return;
    case CH_KV_CONFLICT:
    case CH_KV_AMBIGUOUS:
        /* The batch of an earlier put that got no answer may be in the way:
           reading it back tells whose it is. */
        slot->phase = PHASE_RESOLVING;
        add_call(out, CH_ONCE_GET, ch_once_log_last(slot->log) + 1, 0, NULL);
        return;
    default:
        service_away(slot,
                     slot->puts > 1 ? CH_KV_AMBIGUOUS : CH_KV_UNREACHABLE, now,
                     out);
    }
}

/* The sequence was read back after a lost answer or a conflict. */
static void
resolved(struct ch_once_slot *slot, enum ch_code code, const char *bytes,
         size_t length, uint64_t revision, int64_t now,
         struct ch_once_actions *out)
{
    if (code == CH_KV_MISSING && slot->puts < MOST_PUTS) {
        put_batch(slot, out);
    }
    else if (code == CH_OK && length == strlen(slot->bytes) &&
             memcmp(bytes, slot->bytes, length) == 0) {
        check_batch(slot, revision, out);
    }
    else if (code == CH_OK) {
        relist(slot, now, out);
    }
    else {
        service_away(slot, CH_KV_AMBIGUOUS, now, out);
    }
}

/* The sequence after the last was read. */
static void
probed(struct ch_once_slot *slot, enum ch_code code, int64_t now,
       struct ch_once_actions *out)
{
    if (code == CH_OK) {
        relist(slot, now, out);
        return;
    }
    if (code != CH_KV_MISSING) {
        service_away(slot, CH_KV_UNREACHABLE, now, out);
        return;
    }
    slot->phase = PHASE_READY;
    slot->stale = false;
    settle_queue(slot, out);
    slot->due = now;
    proceed(slot, now, out);
}

/* The answer to a GET. */
void
ch_once_slot_got(struct ch_once_slot *slot, enum ch_code code,
                 const char *bytes, size_t length, uint64_t revision,
                 int64_t now, struct ch_once_actions *out)
{
    if (slot->phase == PHASE_RESOLVING) {
        resolved(slot, code, bytes, length, revision, now, out);
        return;
    }
    if (slot->phase == PHASE_PROBING) {
        probed(slot, code, now, out);
        return;
    }
    if (code == CH_OK && revision == ch_once_log_last_revision(slot->log)) {
        batch_written(slot, now, out);
    }
    else if (code == CH_OK || code == CH_KV_MISSING) {
        relist(slot, now, out);
    }
    else {
        service_away(slot, CH_KV_AMBIGUOUS, now, out);
    }
}

/* The answer to a REMOVE. */
void
ch_once_slot_removed(struct ch_once_slot *slot, enum ch_code code, int64_t now,
                     struct ch_once_actions *out)
{
    slot->phase = PHASE_READY;
    if (code == CH_OK || code == CH_KV_MISSING) {
        ch_once_log_remove_first(slot->log);
    }
    else {
        slot->phase = PHASE_UNKNOWN;
        slot->stale = false;
    }
    proceed(slot, now, out);
}

/* Writes what is due, and then drops one batch that has expired. */
void
ch_once_slot_tick(struct ch_once_slot *slot, bool expire, int64_t now,
                  struct ch_once_actions *out)
{
    uint64_t sequence = 0;
    uint64_t revision = 0;
    proceed(slot, now, out);
    if (expire && slot->phase == PHASE_READY &&
        ch_once_log_expired(slot->log, now - slot->keep, &sequence,
                            &revision)) {
        slot->phase = PHASE_REMOVING;
        add_call(out, CH_ONCE_REMOVE, sequence, revision, NULL);
    }
}

/* When the next write or try is due. */
int64_t
ch_once_slot_due(const struct ch_once_slot *slot)
{
    bool waits = slot->phase == PHASE_UNKNOWN || slot->phase == PHASE_READY;
    return waits && slot->queue.length > 0 ? slot->due : INT64_MAX;
}

/* Whether the slot could be forgotten. */
bool
ch_once_slot_idle(const struct ch_once_slot *slot)
{
    bool rests = slot->phase == PHASE_UNKNOWN || slot->phase == PHASE_READY;
    return rests && slot->queue.length == 0;
}
