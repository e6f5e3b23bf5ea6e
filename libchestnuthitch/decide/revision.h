#ifndef CH_DECIDE_REVISION_H
#define CH_DECIDE_REVISION_H

/*
 * The configuration's revision.  A write is accepted when its compare-and-swap
 * succeeded, and no node goes back to a lower revision.
 * tests/spec/revision.pml is the formal model of this protocol.
 */

#include "base/base.h"

enum {
    /* Earlier accepted writes that a record lists.  Operators make fewer
       writes than this while one of them waits for a lost answer. */
    CH_REVISION_HISTORY_LENGTH = 16,
};

struct ch_revision_history_entry {
    char *write_id;
    uint64_t revision;
};

/* The value at config/current.  Its revision is the key-value store's. */
struct ch_revision_record {
    char *write_id; /* unique ID of the write, chosen by its writer */
    char *author;
    char *text;
    struct ch_revision_history_entry
        history[CH_REVISION_HISTORY_LENGTH]; /* newest first */
    size_t history_count;
};

/* A record that replaces previous (NULL: none), which is in force at
   previous_revision.  Free with ch_revision_record_free. */
struct ch_revision_record *ch_revision_record_new(
    const char *write_id, const char *author, const char *text,
    const struct ch_revision_record *previous, uint64_t previous_revision);
void ch_revision_record_free(struct ch_revision_record *record);
/* The record as JSON.  Free the string with g_free. */
char *ch_revision_record_print(const struct ch_revision_record *record);
/* Returns NULL with an error when the JSON is not a valid record. */
struct ch_revision_record *ch_revision_record_parse(const char *json,
                                                    size_t length,
                                                    struct ch_error *error);

/* True when a node that has the revision known (0: none) applies the revision
   offered. */
bool ch_revision_is_newer(uint64_t known, uint64_t offered);

/* ---- one write, from its base revision to its outcome ---- */

enum ch_revision_step {
    CH_REVISION_READ,     /* to do next: read config/current */
    CH_REVISION_WRITE,    /* to do next: write the record if the revision is
                             still base */
    CH_REVISION_ACCEPTED, /* written at write->revision */
    CH_REVISION_CONFLICT, /* not written: base is no longer in force */
    CH_REVISION_FAILED,   /* certainly not written */
    CH_REVISION_OUTCOME_UNKNOWN, /* may have been written, or may be written
                                    later */
};

struct ch_revision_write {
    uint64_t base; /* revision that the write replaces; 0: none */
    char *write_id;
    char *base_write_id; /* NULL until base was read, and for base 0 */
    uint64_t revision;
    unsigned writes_sent;      /* writes sent that may have taken effect */
    unsigned unanswered_calls; /* calls without an answer */
    bool wrote;                /* the latest step was a write */
};

/* Free the contents with ch_revision_write_clear. */
void ch_revision_write_init(struct ch_revision_write *write, uint64_t base,
                            const char *write_id);
void ch_revision_write_clear(struct ch_revision_write *write);
/* The step that follows from the answer to a CH_REVISION_READ.  The record is
   NULL unless the code is CH_OK; CH_KV_MISSING says that there is none, and
   every other code that there was no answer. */
enum ch_revision_step ch_revision_write_handle_read(
    struct ch_revision_write *write, enum ch_code code,
    const struct ch_revision_record *record, uint64_t revision);
/* The step that follows from the answer to a CH_REVISION_WRITE. */
enum ch_revision_step
ch_revision_write_handle_write(struct ch_revision_write *write,
                               enum ch_code code, uint64_t revision);

#endif
