#ifndef CH_DECIDE_REVISION_H
#define CH_DECIDE_REVISION_H

/*
 * The configuration's revision: accepted means that the compare-and-swap
 * succeeded, and no node goes back to a lower one.  Names follow
 * tests/spec/revision.pml.
 */

#include "base/base.h"

enum {
    /* Accepted writes that a record tells of: more than the operators make
       while one of them waits for a lost answer. */
    CH_REVISION_HISTORY = 16,
};

struct ch_revision_past {
    char *token;
    uint64_t revision;
};

/* The value at config/current; its revision is the service's. */
struct ch_revision_record {
    char *token; /* the writer's own mark */
    char *author;
    char *text;
    struct ch_revision_past past[CH_REVISION_HISTORY]; /* newest first */
    size_t past_count;
};

/* before (NULL: none) was in force at before_revision. */
struct ch_revision_record *
ch_revision_record_new(const char *token, const char *author, const char *text,
                       const struct ch_revision_record *before,
                       uint64_t before_revision);
void ch_revision_record_free(struct ch_revision_record *record);
char *ch_revision_record_print(const struct ch_revision_record *record);
struct ch_revision_record *ch_revision_record_parse(const char *json,
                                                    size_t length,
                                                    struct ch_error *error);

/* Whether a node that has `known` (0: none) takes `offered` into force. */
bool ch_revision_newer(uint64_t known, uint64_t offered);

/* ---- one write, from base to its verdict ---- */

enum ch_revision_step {
    CH_REVISION_READ,     /* read config/current */
    CH_REVISION_WRITE,    /* write the record at base */
    CH_REVISION_ACCEPTED, /* at write->revision */
    CH_REVISION_CONFLICT, /* something else is in force */
    CH_REVISION_FAILED,   /* surely not written */
    CH_REVISION_UNSURE,   /* it may have been, or may yet be */
};

struct ch_revision_write {
    uint64_t base;
    char *token;
    char *base_token; /* NULL until base was read, and for base 0 */
    uint64_t revision;
    unsigned writes; /* put on their way */
    unsigned tries;  /* calls that got no answer */
    bool wrote;      /* the latest step was a write */
};

void ch_revision_write_init(struct ch_revision_write *write, uint64_t base,
                            const char *token);
void ch_revision_write_clear(struct ch_revision_write *write);
/* After READ: code OK, KV_MISSING or another; record NULL unless OK. */
enum ch_revision_step
ch_revision_write_read(struct ch_revision_write *write, enum ch_code code,
                       const struct ch_revision_record *record,
                       uint64_t revision);
/* After WRITE. */
enum ch_revision_step
ch_revision_write_written(struct ch_revision_write *write, enum ch_code code,
                          uint64_t revision);

#endif
