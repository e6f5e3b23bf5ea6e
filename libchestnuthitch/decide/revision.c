/* The configuration's revision: which is newer, and the outcome of a write. */

#include "decide/revision.h"

#include <string.h>

enum {
    /* Calls without an answer after which a write ends, and the operator is
       told that it failed or that its outcome is unknown. */
    MAX_UNANSWERED_CALLS = 4,
};

/* Messages arrive late, twice and out of order, and a starting node receives
 * old ones.  A node that applied a lower revision would undo a change that an
 * operator was told is in force. */
bool
ch_revision_is_newer(uint64_t known, uint64_t offered)
{
    return offered > known;
}

/* Starts a write that replaces the revision base (0: none). */
void
ch_revision_write_init(struct ch_revision_write *write, uint64_t base,
                       const char *write_id)
{
    *write = (struct ch_revision_write){
        .base = base,
        .write_id = g_strdup(write_id),
    };
}

/* Frees the contents, but not the struct itself. */
void
ch_revision_write_clear(struct ch_revision_write *write)
{
    g_free(write->write_id);
    g_free(write->base_write_id);
}

/* Returns NULL when the record's history doesn't list the write. */
static const struct ch_revision_history_entry *
find_in_history(const struct ch_revision_record *record, const char *write_id)
{
    for (size_t i = 0; i < record->history_count; i++) {
        if (strcmp(record->history[i].write_id, write_id) == 0) {
            return &record->history[i];
        }
    }
    return NULL;
}

/* True when the record's history lists every write since base. */
static bool
lists_all_since_base(const struct ch_revision_write *write,
                     const struct ch_revision_record *record)
{
    if (record->history_count < CH_REVISION_HISTORY_LENGTH) {
        return true;
    }
    return write->base_write_id != NULL &&
           find_in_history(record, write->base_write_id) != NULL;
}

/*
 * Decides from a read after the write was sent.  Only a record that has the
 * write's ID, or lists it in its history, proves that the write took effect.
 * While base is still in force, the write may still arrive, so the same record
 * is written again: at most one of the two writes succeeds, since both expect
 * base.
 */
static enum ch_revision_step
resolve_outcome(struct ch_revision_write *write,
                const struct ch_revision_record *record, uint64_t revision)
{
    if (record == NULL) {
        return write->base == 0 ? CH_REVISION_WRITE : CH_REVISION_CONFLICT;
    }
    if (strcmp(record->write_id, write->write_id) == 0) {
        write->revision = revision;
        return CH_REVISION_ACCEPTED;
    }
    const struct ch_revision_history_entry *entry =
        find_in_history(record, write->write_id);
    if (entry != NULL) {
        write->revision = entry->revision;
        return CH_REVISION_ACCEPTED;
    }
    if (revision == write->base) {
        return CH_REVISION_WRITE;
    }
    return lists_all_since_base(write, record) ? CH_REVISION_CONFLICT
                                               : CH_REVISION_OUTCOME_UNKNOWN;
}

/* The step after a call without an answer. */
static enum ch_revision_step
retry_or_stop(struct ch_revision_write *write)
{
    write->unanswered_calls++;
    if (write->unanswered_calls < MAX_UNANSWERED_CALLS) {
        return CH_REVISION_READ;
    }
    return write->writes_sent > 0 ? CH_REVISION_OUTCOME_UNKNOWN
                                  : CH_REVISION_FAILED;
}

/* Counts the write when the step is one.  Returns the step. */
static enum ch_revision_step
count_write(struct ch_revision_write *write, enum ch_revision_step step)
{
    write->writes_sent += step == CH_REVISION_WRITE;
    return step;
}

/* Before the first write, the record must still be at base.  After a write,
 * the read tells whether it took effect. */
enum ch_revision_step
ch_revision_write_handle_read(struct ch_revision_write *write,
                              enum ch_code code,
                              const struct ch_revision_record *record,
                              uint64_t revision)
{
    if (code != CH_OK && code != CH_KV_MISSING) {
        return retry_or_stop(write);
    }
    if (write->writes_sent > 0) {
        return count_write(write, resolve_outcome(write, record, revision));
    }
    if ((record == NULL ? 0 : revision) != write->base) {
        return CH_REVISION_CONFLICT;
    }
    if (record != NULL) {
        g_free(write->base_write_id);
        write->base_write_id = g_strdup(record->write_id);
    }
    return count_write(write, CH_REVISION_WRITE);
}

/* A conflict is certain only when no earlier write of the same record has an
 * unknown outcome, because that earlier write may be what caused the conflict.
 * An unreachable store did not receive the write. */
enum ch_revision_step
ch_revision_write_handle_write(struct ch_revision_write *write,
                               enum ch_code code, uint64_t revision)
{
    switch (code) {
    case CH_OK:
        write->revision = revision;
        return CH_REVISION_ACCEPTED;
    case CH_KV_CONFLICT:
    case CH_KV_MISSING:
        return write->writes_sent == 1 ? CH_REVISION_CONFLICT
                                       : CH_REVISION_READ;
    case CH_KV_UNREACHABLE:
        if (write->writes_sent == 1) {
            write->writes_sent = 0;
        }
        return retry_or_stop(write);
    default:
        return retry_or_stop(write);
    }
}
