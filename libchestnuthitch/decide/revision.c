/* The configuration's revision: what is newer, and what became of a write. */

#include "decide/revision.h"

#include <string.h>

enum {
    /* Calls of one write that may go without an answer, before the operator
       is told that nobody knows. */
    MOST_TRIES = 4,
};

/* True when offered is higher.  A node that went back would undo what an
 * operator was told is in force: messages come late, twice and out of order,
 * and a node that starts hears old ones. */
bool
ch_revision_newer(uint64_t known, uint64_t offered)
{
    return offered > known;
}

/* Begins a write that is to replace base (0: none) and bears the token. */
void
ch_revision_write_init(struct ch_revision_write *write, uint64_t base,
                       const char *token)
{
    *write = (struct ch_revision_write){
        .base = base,
        .token = g_strdup(token),
    };
}

/* Frees what the write holds. */
void
ch_revision_write_clear(struct ch_revision_write *write)
{
    g_free(write->token);
    g_free(write->base_token);
}

/* The past entry of a token; NULL: none. */
static const struct ch_revision_past *
past_of(const struct ch_revision_record *record, const char *token)
{
    for (size_t i = 0; i < record->past_count; i++) {
        if (strcmp(record->past[i].token, token) == 0) {
            return &record->past[i];
        }
    }
    return NULL;
}

/* True when the record tells of every write since base. */
static bool
tells_all_since_base(const struct ch_revision_write *write,
                     const struct ch_revision_record *record)
{
    if (record->past_count < CH_REVISION_HISTORY) {
        return true;
    }
    return write->base_token != NULL &&
           past_of(record, write->base_token) != NULL;
}

/*
 * What a read after the write was put on its way tells.  The token in force,
 * or among those that were in force, says that the write took effect; nothing
 * else does.  While base is still in force the write may yet arrive, so the
 * same is written again: either of the two succeeds, and not both.
 */
static enum ch_revision_step
resolve(struct ch_revision_write *write,
        const struct ch_revision_record *record, uint64_t revision)
{
    if (record == NULL) {
        return write->base == 0 ? CH_REVISION_WRITE : CH_REVISION_CONFLICT;
    }
    if (strcmp(record->token, write->token) == 0) {
        write->revision = revision;
        return CH_REVISION_ACCEPTED;
    }
    const struct ch_revision_past *past = past_of(record, write->token);
    if (past != NULL) {
        write->revision = past->revision;
        return CH_REVISION_ACCEPTED;
    }
    if (revision == write->base) {
        return CH_REVISION_WRITE;
    }
    return tells_all_since_base(write, record) ? CH_REVISION_CONFLICT
                                               : CH_REVISION_UNSURE;
}

/* The step that follows from a call without an answer. */
static enum ch_revision_step
try_again(struct ch_revision_write *write)
{
    write->tries++;
    if (write->tries < MOST_TRIES) {
        return CH_REVISION_READ;
    }
    return write->writes > 0 ? CH_REVISION_UNSURE : CH_REVISION_FAILED;
}

/* Notes a write that is put on its way. */
static enum ch_revision_step
note_write(struct ch_revision_write *write, enum ch_revision_step step)
{
    write->writes += step == CH_REVISION_WRITE;
    return step;
}

/* The answer to a READ. */
enum ch_revision_step
ch_revision_write_read(struct ch_revision_write *write, enum ch_code code,
                       const struct ch_revision_record *record,
                       uint64_t revision)
{
    if (code != CH_OK && code != CH_KV_MISSING) {
        return try_again(write);
    }
    if (write->writes > 0) {
        return note_write(write, resolve(write, record, revision));
    }
    if ((record == NULL ? 0 : revision) != write->base) {
        return CH_REVISION_CONFLICT;
    }
    if (record != NULL) {
        g_free(write->base_token);
        write->base_token = g_strdup(record->token);
    }
    return note_write(write, CH_REVISION_WRITE);
}

/* The answer to a WRITE.  A conflict is one for certain only if no earlier
 * write of the same is in doubt: it may be what this one ran into. */
enum ch_revision_step
ch_revision_write_written(struct ch_revision_write *write, enum ch_code code,
                          uint64_t revision)
{
    switch (code) {
    case CH_OK:
        write->revision = revision;
        return CH_REVISION_ACCEPTED;
    case CH_KV_CONFLICT:
    case CH_KV_MISSING:
        return write->writes == 1 ? CH_REVISION_CONFLICT : CH_REVISION_READ;
    case CH_KV_UNREACHABLE:
        if (write->writes == 1) {
            write->writes = 0;
        }
        return try_again(write);
    default:
        return try_again(write);
    }
}
