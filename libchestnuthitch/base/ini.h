#ifndef CH_BASE_INI_H
#define CH_BASE_INI_H

/*
 * Strict reading of INI by a table of rows.  GKeyFile parses; this adds what
 * it lets pass: unknown groups and keys, repeated ones, types and ranges.
 * Every error names file, group and key.
 */

#include "base/base.h"

enum ch_ini_type {
    CH_INI_NAME,         /* char *: a bounded name */
    CH_INI_ADDRESS,      /* char *: ip:port */
    CH_INI_UNSIGNED,     /* unsigned */
    CH_INI_SIZE,         /* size_t */
    CH_INI_MILLISECONDS, /* int64_t: microseconds */
    CH_INI_DOUBLE,       /* double */
    CH_INI_CHOICE,       /* int: least + place among the choices */
    CH_INI_FLAG,         /* bool: place among the two choices */
    CH_INI_LIST,         /* char **: names, sorted; "*" may stand alone */
    CH_INI_TEXT,         /* char *: printable ASCII, no blanks */
    CH_INI_SHARES,       /* char *: NAME:NUMBER, ... */
};

struct ch_ini_row {
    const char *section; /* "listen", or "class" of [class NAME] */
    const char *key;
    enum ch_ini_type type;
    size_t offset;
    const char *fallback; /* text of the default; NULL: the key is required */
    double least;
    double most;
    const char *const *choices;
};

struct ch_ini {
    GKeyFile *file;
    char *path;
};

enum {
    CH_INI_NAME_BYTES = 64,
    /* What is read.  A platform's value of a megabyte is at most twice as long
       in our text, which states for each class what the value leaves out. */
    CH_INI_MOST_BYTES = 2 * 1024 * 1024,
    /* What an operator may write: one value of the key-value service holds the
       whole text, with its envelope and what escaping adds. */
    CH_INI_MOST_WRITTEN = 900 * 1024,
};

char *ch_ini_file_text(const char *path, struct ch_error *error);
bool ch_ini_open(struct ch_ini *ini, const char *text, const char *path,
                 struct ch_error *error);
void ch_ini_close(struct ch_ini *ini);
bool ch_ini_name_check(const char *name);
bool ch_ini_known_keys(const struct ch_ini *ini, const char *group,
                       const char *section, const struct ch_ini_row *rows,
                       size_t count, struct ch_error *error);
bool ch_ini_fill(const struct ch_ini *ini, const char *group,
                 const char *section, const struct ch_ini_row *rows,
                 size_t count, void *into, struct ch_error *error);
void ch_ini_fail(const struct ch_ini *ini, const char *group, const char *key,
                 enum ch_code code, struct ch_error *error, const char *form,
                 ...) G_GNUC_PRINTF(6, 7);

/* Lines as they are written. */
void ch_ini_put_text(GString *out, const char *key, const char *text);
void ch_ini_put_count(GString *out, const char *key, uint64_t number);

#endif
