#ifndef CH_BASE_INI_H
#define CH_BASE_INI_H

/*
 * Strict INI reader.  A table with one row per key describes what is allowed.
 * GKeyFile parses the text; this module also rejects what GKeyFile accepts:
 * unknown or duplicate groups and keys, and values of a wrong type or out of
 * range.  Every error names the file, the group and the key.
 */

#include "base/base.h"

enum ch_ini_type {
    CH_INI_NAME,         /* char *: a name, see ch_ini_check_name */
    CH_INI_ADDRESS,      /* char *: ip:port */
    CH_INI_UNSIGNED,     /* unsigned */
    CH_INI_SIZE,         /* size_t */
    CH_INI_MILLISECONDS, /* int64_t: milliseconds in the file, stored as
                            microseconds */
    CH_INI_DOUBLE,       /* double */
    CH_INI_CHOICE,       /* int: min + index in the choices */
    CH_INI_FLAG,         /* bool: true for the second of two choices */
    CH_INI_LIST,         /* char **: sorted names, or only "*" */
    CH_INI_DIGESTS,      /* char **: sorted SHA-256 digests in hexadecimal;
                            errors don't quote the value, which may be a
                            secret written by mistake */
    CH_INI_TEXT,         /* char *: printable ASCII without spaces */
    CH_INI_SHARES,       /* char *: "NAME:NUMBER, ...", not parsed here */
};

struct ch_ini_row {
    const char *section; /* "listen", or "class" for [class NAME] */
    const char *key;
    enum ch_ini_type type;
    size_t offset;
    const char *default_text; /* NULL: the key is required; "": the member
                             stays 0, a list empty */
    double min;               /* for an address: the lowest port */
    double max;
    const char *const *choices;
};

struct ch_ini {
    GKeyFile *file;
    char *path;
};

enum {
    CH_INI_MAX_NAME_BYTES = 64,
    /* Limit on text that is parsed.  A platform's configuration value has
       up to 1 MB.  The INI text made of this value is at most twice as long,
       as the text states for each class what the value leaves out. */
    CH_INI_MAX_BYTES = 2 * 1024 * 1024,
    /* Limit on text that an operator submits: the whole text, its envelope
       and the bytes added by escaping must fit in one value of the key-value
       store. */
    CH_INI_MAX_INPUT_BYTES = 900 * 1024,
};

/* Returns a new string, or NULL with FILE_UNREADABLE, or with INI_SYNTAX for a
   file that has a NUL byte. */
char *ch_ini_read_file(const char *path, struct ch_error *error);
/* Parses text; path names its source in error messages.  If this fails, ini
   needs no ch_ini_close. */
bool ch_ini_open(struct ch_ini *ini, const char *text, const char *path,
                 struct ch_error *error);
void ch_ini_close(struct ch_ini *ini);
/* True for 1 to 64 characters of A-Z a-z 0-9 . _ - */
bool ch_ini_check_name(const char *name);
/* Fails with UNKNOWN_SETTING if the group has a key without a row in the
   section. */
bool ch_ini_check_keys(const struct ch_ini *ini, const char *group,
                       const char *section, const struct ch_ini_row *rows,
                       size_t count, struct ch_error *error);
/* Stores the group's values in *destination by the rows of the section.
   Members stored before an error stay set; the owner of *destination frees
   them. */
bool ch_ini_read_group(const struct ch_ini *ini, const char *group,
                       const char *section, const struct ch_ini_row *rows,
                       size_t count, void *destination,
                       struct ch_error *error);
/* Sets an error that names the file, the group and the key.  With key NULL the
   error is about the whole group, with group NULL about the whole file. */
void ch_ini_set_error(const struct ch_ini *ini, const char *group,
                      const char *key, enum ch_code code,
                      struct ch_error *error, const char *format, ...)
    G_GNUC_PRINTF(6, 7);

/* Append the line "key = text" or "key = number". */
void ch_ini_append_text(GString *out, const char *key, const char *text);
void ch_ini_append_count(GString *out, const char *key, uint64_t number);
/* Leaves a number of 0 or less out. */
void ch_ini_append_number(GString *out, const char *key, double number);

#endif
