/* The at-most-once log of a slot as a node knows it. */

#include "decide/once.h"

#include <string.h>

struct batch_row {
    uint64_t sequence;
    uint64_t revision;
    int64_t seen; /* when this node first knew of it */
    bool linked;  /* its successors' links lead to it from the last */
};

struct ch_once_log {
    GArray *rows;        /* of struct batch_row, in order of sequence */
    GHashTable *records; /* caller, newline, key: struct ch_once_record */
};

/* An empty log. */
struct ch_once_log *
ch_once_log_new(void)
{
    struct ch_once_log *log = g_new0(struct ch_once_log, 1);
    log->rows = g_array_new(FALSE, TRUE, sizeof(struct batch_row));
    log->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return log;
}

/* Frees a log; NULL is fine. */
void
ch_once_log_free(struct ch_once_log *log)
{
    if (log == NULL) {
        return;
    }
    g_array_free(log->rows, TRUE);
    g_hash_table_destroy(log->records);
    g_free(log);
}

/* The table's key.  The key itself is printable, so that the newline parts the
 * two in one way only. */
static char *
record_key(const char *caller, const char *key)
{
    return g_strconcat(caller, "\n", key, NULL);
}

/* The record of a caller's key, valid until the log changes; NULL: none. */
const struct ch_once_record *
ch_once_log_find(const struct ch_once_log *log, const char *caller,
                 const char *key)
{
    g_autofree char *name = record_key(caller, key);
    return g_hash_table_lookup(log->records, name);
}

/* Applies one event.  The first creation has the key until it is released;
 * what comes from another attempt than the one that has it changes nothing. */
static void
apply_event(struct ch_once_log *log, const struct ch_once_event *event,
            uint64_t sequence)
{
    g_autofree char *name = record_key(event->caller, event->key);
    struct ch_once_record *record = g_hash_table_lookup(log->records, name);
    if (event->kind == CH_ONCE_EVENT_CREATE) {
        if (record != NULL) {
            return;
        }
        record = g_new0(struct ch_once_record, 1);
        record->attempt = event->attempt;
        record->fingerprint = event->fingerprint;
        record->created = sequence;
        g_hash_table_insert(log->records, g_steal_pointer(&name), record);
        return;
    }
    if (record == NULL || record->attempt != event->attempt ||
        record->completed != 0) {
        return;
    }
    if (event->kind == CH_ONCE_EVENT_RELEASE) {
        g_hash_table_remove(log->records, name);
        return;
    }
    record->completed = sequence;
    record->kept = event->kept;
}

/* Applies a batch's events in order. */
static void
apply_batch(struct ch_once_log *log, const struct ch_once_batch *batch,
            uint64_t sequence)
{
    for (guint i = 0; i < batch->events->len; i++) {
        apply_event(log, g_ptr_array_index(batch->events, i), sequence);
    }
}

/*
 * The index of the first batch that counts: links are followed from the last
 * one down.  A home that was paused for longer than keys are kept can create a
 * sequence anew whose first bearer has expired; nothing links to it, and if it
 * counted, the attempt in it would take a key that another holds.  -1: a batch
 * that counts is damaged.
 */
static int64_t
first_linked(const struct ch_once_listed *listed, size_t count,
             struct ch_once_batch **batches, struct ch_error *error)
{
    for (size_t i = count; i-- > 0;) {
        batches[i] =
            ch_once_batch_decode(listed[i].bytes, listed[i].length, error);
        if (batches[i] == NULL) {
            return -1;
        }
        if (i == 0 || listed[i - 1].sequence + 1 != listed[i].sequence ||
            listed[i - 1].revision != batches[i]->previous) {
            return (int64_t)i;
        }
    }
    return 0;
}

/* When a listed batch was first known here. */
static int64_t
first_seen(const GArray *rows, const struct ch_once_listed *listed,
           int64_t now)
{
    for (guint i = 0; i < rows->len; i++) {
        const struct batch_row *row =
            &g_array_index(rows, struct batch_row, i);
        if (row->sequence == listed->sequence) {
            return row->revision == listed->revision ? row->seen : now;
        }
    }
    return now;
}

/* Replaces what was known by a list of the slot. */
bool
ch_once_log_load(struct ch_once_log *log, const struct ch_once_listed *listed,
                 size_t count, int64_t now, struct ch_error *error)
{
    struct ch_once_batch **batches = g_new0(struct ch_once_batch *, count + 1);
    int64_t first = first_linked(listed, count, batches, error);
    if (first >= 0) {
        GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct batch_row));
        g_hash_table_remove_all(log->records);
        for (size_t i = 0; i < count; i++) {
            const struct batch_row row = {
                .sequence = listed[i].sequence,
                .revision = listed[i].revision,
                .seen = first_seen(log->rows, &listed[i], now),
                .linked = (int64_t)i >= first,
            };
            g_array_append_val(rows, row);
            if (row.linked) {
                apply_batch(log, batches[i], row.sequence);
            }
        }
        g_array_free(log->rows, TRUE);
        log->rows = rows;
    }
    for (size_t i = 0; i < count; i++) {
        ch_once_batch_free(batches[i]);
    }
    g_free(batches);
    return first >= 0;
}

/* Adds the batch after the last. */
void
ch_once_log_append(struct ch_once_log *log, const struct ch_once_batch *batch,
                   uint64_t revision, int64_t now)
{
    const struct batch_row row = {
        .sequence = ch_once_log_last(log) + 1,
        .revision = revision,
        .seen = now,
        .linked = true,
    };
    g_array_append_val(log->rows, row);
    apply_batch(log, batch, row.sequence);
}

/* The last row, or NULL. */
static const struct batch_row *
last_row(const struct ch_once_log *log)
{
    if (log->rows->len == 0) {
        return NULL;
    }
    return &g_array_index(log->rows, struct batch_row, log->rows->len - 1);
}

/* The last sequence; 0 when there is none. */
uint64_t
ch_once_log_last(const struct ch_once_log *log)
{
    const struct batch_row *row = last_row(log);
    return row == NULL ? 0 : row->sequence;
}

/* The last batch's revision; 0 when there is none. */
uint64_t
ch_once_log_last_revision(const struct ch_once_log *log)
{
    const struct batch_row *row = last_row(log);
    return row == NULL ? 0 : row->revision;
}

/* Whether a batch counts, at this revision. */
bool
ch_once_log_holds(const struct ch_once_log *log, uint64_t sequence,
                  uint64_t revision)
{
    for (guint i = log->rows->len; i-- > 0;) {
        const struct batch_row *row =
            &g_array_index(log->rows, struct batch_row, i);
        if (row->sequence == sequence) {
            return row->linked && row->revision == revision;
        }
    }
    return false;
}

/*
 * The first batch, when it may be removed.  The last one always stays: its
 * sequence is what keeps the log from beginning anew, and removing in order is
 * what lets a writer tell from the batch before its own that its sequence was
 * never removed.
 */
bool
ch_once_log_expired(const struct ch_once_log *log, int64_t seen,
                    uint64_t *sequence, uint64_t *revision)
{
    if (log->rows->len < 2) {
        return false;
    }
    const struct batch_row *row =
        &g_array_index(log->rows, struct batch_row, 0);
    *sequence = row->sequence;
    *revision = row->revision;
    return row->seen < seen;
}

/* True when the record's creation was in the batch; for
 * g_hash_table_foreach_remove. */
static gboolean
created_in(void *key, void *value, void *data)
{
    (void)key;
    const struct ch_once_record *record = value;
    const struct batch_row *row = data;
    return record->created == row->sequence;
}

/* Drops the first batch and the records that were created in it. */
void
ch_once_log_remove_first(struct ch_once_log *log)
{
    struct batch_row row = g_array_index(log->rows, struct batch_row, 0);
    g_array_remove_index(log->rows, 0);
    if (row.linked) {
        g_hash_table_foreach_remove(log->records, created_in, &row);
    }
}

/* What a record (NULL: none) means for an attempt: CREATED only if the log
 * gives the key to this very attempt.  REFUSED: nobody has it. */
enum ch_once_state
ch_once_state_of(const struct ch_once_record *record, uint64_t attempt,
                 uint64_t fingerprint)
{
    if (record == NULL) {
        return CH_ONCE_REFUSED;
    }
    if (record->fingerprint != fingerprint) {
        return CH_ONCE_MISMATCH;
    }
    if (record->completed != 0) {
        return CH_ONCE_DONE;
    }
    return record->attempt == attempt ? CH_ONCE_CREATED : CH_ONCE_RUNNING;
}
