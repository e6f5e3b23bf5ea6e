/* A node's copy of the at-most-once log of one slot. */

#include "decide/once.h"

#include <string.h>

struct batch_row {
    uint64_t sequence;
    uint64_t revision;
    int64_t first_seen; /* when this node first saw the batch */
    bool linked;        /* the links from the last batch down reach this one */
};

struct ch_once_log {
    GArray *rows;        /* of struct batch_row, in order of sequence */
    GHashTable *records; /* caller, newline, key: struct ch_once_record */
};

/* Makes an empty log. */
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

/* The key of the hash table.  The request key is printable, so the last
 * newline always separates it from the caller. */
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

/* Applies one event.  The first creation owns the key until it is released;
 * events of any other attempt change nothing. */
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
        record->created_sequence = sequence;
        g_hash_table_insert(log->records, g_steal_pointer(&name), record);
        return;
    }
    if (record == NULL || record->attempt != event->attempt ||
        record->completed_sequence != 0) {
        return;
    }
    if (event->kind == CH_ONCE_EVENT_RELEASE) {
        g_hash_table_remove(log->records, name);
        return;
    }
    record->completed_sequence = sequence;
    record->response_stored = event->response_stored;
}

static void
apply_batch(struct ch_once_log *log, const struct ch_once_batch *batch,
            uint64_t sequence)
{
    for (guint i = 0; i < batch->events->len; i++) {
        apply_event(log, g_ptr_array_index(batch->events, i), sequence);
    }
}

/*
 * The index of the first batch that counts, found by following the links from
 * the last batch down; -1: a batch that counts is damaged.  An owner that was
 * paused for longer than the retention can create a sequence again whose
 * original batch has expired.  No batch links to it, so it is left out: if it
 * counted, its attempt would take a key that another attempt owns.
 */
static int64_t
find_first_linked(const struct ch_once_batch_entry *listed, size_t count,
                  struct ch_once_batch **batches, struct ch_error *error)
{
    for (size_t i = count; i-- > 0;) {
        batches[i] =
            ch_once_batch_decode(listed[i].bytes, listed[i].length, error);
        if (batches[i] == NULL) {
            return -1;
        }
        if (i == 0 || listed[i - 1].sequence + 1 != listed[i].sequence ||
            listed[i - 1].revision != batches[i]->previous_revision) {
            return (int64_t)i;
        }
    }
    return 0;
}

/* When this node first saw a listed batch. */
static int64_t
find_first_seen(const GArray *rows, const struct ch_once_batch_entry *listed,
                int64_t now)
{
    for (guint i = 0; i < rows->len; i++) {
        const struct batch_row *row =
            &g_array_index(rows, struct batch_row, i);
        if (row->sequence == listed->sequence) {
            return row->revision == listed->revision ? row->first_seen : now;
        }
    }
    return now;
}

/* See once.h. */
bool
ch_once_log_load(struct ch_once_log *log,
                 const struct ch_once_batch_entry *listed, size_t count,
                 int64_t now, struct ch_error *error)
{
    struct ch_once_batch **batches = g_new0(struct ch_once_batch *, count + 1);
    int64_t first = find_first_linked(listed, count, batches, error);
    if (first >= 0) {
        GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct batch_row));
        g_hash_table_remove_all(log->records);
        for (size_t i = 0; i < count; i++) {
            const struct batch_row row = {
                .sequence = listed[i].sequence,
                .revision = listed[i].revision,
                .first_seen = find_first_seen(log->rows, &listed[i], now),
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

/* See once.h. */
void
ch_once_log_append(struct ch_once_log *log, const struct ch_once_batch *batch,
                   uint64_t revision, int64_t now)
{
    const struct batch_row row = {
        .sequence = ch_once_log_last_sequence(log) + 1,
        .revision = revision,
        .first_seen = now,
        .linked = true,
    };
    g_array_append_val(log->rows, row);
    apply_batch(log, batch, row.sequence);
}

/* The last row; NULL: the log is empty. */
static const struct batch_row *
last_row(const struct ch_once_log *log)
{
    if (log->rows->len == 0) {
        return NULL;
    }
    return &g_array_index(log->rows, struct batch_row, log->rows->len - 1);
}

/* The last sequence; 0: the log is empty. */
uint64_t
ch_once_log_last_sequence(const struct ch_once_log *log)
{
    const struct batch_row *row = last_row(log);
    return row == NULL ? 0 : row->sequence;
}

/* The revision of the last batch; 0: the log is empty. */
uint64_t
ch_once_log_last_revision(const struct ch_once_log *log)
{
    const struct batch_row *row = last_row(log);
    return row == NULL ? 0 : row->revision;
}

/* See once.h. */
bool
ch_once_log_contains(const struct ch_once_log *log, uint64_t sequence,
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
 * Finds the first batch, if it may be removed.  The last batch always stays:
 * its sequence keeps the log from starting again at the first one.  Batches
 * are removed in order, so that a writer can tell from the batch before its
 * own that its own sequence was never removed.
 */
bool
ch_once_log_find_expired(const struct ch_once_log *log, int64_t seen_before,
                         uint64_t *sequence, uint64_t *revision)
{
    if (log->rows->len < 2) {
        return false;
    }
    const struct batch_row *row =
        &g_array_index(log->rows, struct batch_row, 0);
    *sequence = row->sequence;
    *revision = row->revision;
    return row->first_seen < seen_before;
}

/* Whether the record was created in the batch; a GHRFunc. */
static gboolean
created_in(void *key, void *value, void *data)
{
    (void)key;
    const struct ch_once_record *record = value;
    const struct batch_row *row = data;
    return record->created_sequence == row->sequence;
}

/* Removes the first batch and the records that were created in it. */
void
ch_once_log_remove_first(struct ch_once_log *log)
{
    struct batch_row row = g_array_index(log->rows, struct batch_row, 0);
    g_array_remove_index(log->rows, 0);
    if (row.linked) {
        g_hash_table_foreach_remove(log->records, created_in, &row);
    }
}

/* The state of a record (NULL: none) for an attempt.  CREATED only if the log
 * gives the key to this attempt; REFUSED: no attempt owns the key. */
enum ch_once_state
ch_once_record_get_state(const struct ch_once_record *record, uint64_t attempt,
                         uint64_t fingerprint)
{
    if (record == NULL) {
        return CH_ONCE_REFUSED;
    }
    if (record->fingerprint != fingerprint) {
        return CH_ONCE_MISMATCH;
    }
    if (record->completed_sequence != 0) {
        return CH_ONCE_DONE;
    }
    return record->attempt == attempt ? CH_ONCE_CREATED : CH_ONCE_IN_PROGRESS;
}
