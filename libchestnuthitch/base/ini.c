/* Strict INI reader for node settings and declarations. */

#include "base/ini.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Returns a new string with text as an error message shows it: control
 * characters escaped, and at most 60 bytes of text, so that the rest of the
 * message fits. */
static char *
escape_excerpt(const char *text)
{
    char *excerpt = g_strndup(text, 60);
    char *escaped = g_strescape(excerpt, NULL);
    g_free(excerpt);
    return escaped;
}

/* See ini.h. */
void
ch_ini_set_error(const struct ch_ini *ini, const char *group, const char *key,
                 enum ch_code code, struct ch_error *error, const char *format,
                 ...)
{
    char reason[256];
    va_list arguments;
    va_start(arguments, format);
    (void)vsnprintf(reason, sizeof(reason), format, arguments);
    va_end(arguments);
    char *group_text = escape_excerpt(group == NULL ? "" : group);
    char *key_text = escape_excerpt(key == NULL ? "" : key);
    if (group == NULL) {
        ch_error_set(error, code, "%s: %s", ini->path, reason);
    }
    else if (key == NULL) {
        ch_error_set(error, code, "%s: [%s]: %s", ini->path, group_text,
                     reason);
    }
    else {
        ch_error_set(error, code, "%s: [%s] %s: %s", ini->path, group_text,
                     key_text, reason);
    }
    g_free(group_text);
    g_free(key_text);
}

/* See ini.h. */
char *
ch_ini_read_file(const char *path, struct ch_error *error)
{
    char *text = NULL;
    size_t length = 0;
    GError *reason = NULL;
    if (!g_file_get_contents(path, &text, &length, &reason)) {
        ch_error_set(error, CH_FILE_UNREADABLE, "%s: %s", path,
                     reason->message);
        g_error_free(reason);
        return NULL;
    }
    if (strlen(text) != length) {
        ch_error_set(error, CH_INI_SYNTAX, "%s: NUL byte at offset %zu", path,
                     strlen(text));
        g_free(text);
        return NULL;
    }
    return text;
}

/* Groups and keys seen so far; the strings point into a copy of the text. */
struct seen_names {
    GHashTable *groups;
    GHashTable *keys; /* of the current group */
    const char *group;
};

/* Strips leading and trailing white space in place. */
static char *
trim_line(char *line)
{
    while (g_ascii_isspace(*line)) {
        line++;
    }
    return g_strchomp(line);
}

/* Records the group or key of a line.  Sets an error and returns false if the
 * group, or the key in its group, was seen before. */
static bool
check_line_unique(const struct ch_ini *ini, struct seen_names *seen,
                  char *line, struct ch_error *error)
{
    line = trim_line(line);
    char *end = line[0] == '[' ? strrchr(line, ']') : NULL;
    if (end != NULL) {
        *end = '\0';
        seen->group = line + 1;
        ch_pool_yield(g_hash_table_size(seen->groups));
        g_hash_table_remove_all(seen->keys);
        if (!g_hash_table_add(seen->groups, line + 1)) {
            ch_ini_set_error(ini, seen->group, NULL, CH_DUPLICATE, error,
                             "duplicate group");
            return false;
        }
        return true;
    }
    char *equals = strchr(line, '=');
    if (line[0] == '#' || line[0] == '[' || equals == NULL ||
        seen->group == NULL) {
        return true;
    }
    *equals = '\0';
    if (!g_hash_table_add(seen->keys, g_strchomp(line))) {
        ch_ini_set_error(ini, seen->group, line, CH_DUPLICATE, error,
                         "duplicate key");
        return false;
    }
    return true;
}

/* Rejects duplicate groups and keys.  GKeyFile merges duplicate groups and
 * keeps the last of duplicate keys, so that an operator's first line would
 * silently have no effect. */
static bool
check_duplicates(const struct ch_ini *ini, const char *text,
                 struct ch_error *error)
{
    g_autofree char *copy = g_strdup(text);
    struct seen_names seen = {
        .groups = g_hash_table_new(g_str_hash, g_str_equal),
        .keys = g_hash_table_new(g_str_hash, g_str_equal),
    };
    bool ok = true;
    for (char *line = copy; ok && line != NULL;) {
        char *end = strchr(line, '\n');
        if (end != NULL) {
            *end++ = '\0';
        }
        ok = check_line_unique(ini, &seen, line, error);
        line = end;
    }
    g_hash_table_destroy(seen.groups);
    g_hash_table_destroy(seen.keys);
    return ok;
}

/* See ini.h. */
bool
ch_ini_open(struct ch_ini *ini, const char *text, const char *path,
            struct ch_error *error)
{
    ini->path = g_strdup(path);
    ini->file = g_key_file_new();
    size_t length = strlen(text);
    GError *reason = NULL;
    if (length > CH_INI_MAX_BYTES) {
        ch_ini_set_error(ini, NULL, NULL, CH_INI_SYNTAX, error,
                         "%zu bytes exceed the limit of %d", length,
                         (int)CH_INI_MAX_BYTES);
    }
    else if (!g_utf8_validate(text, (gssize)length, NULL)) {
        ch_ini_set_error(ini, NULL, NULL, CH_INI_SYNTAX, error, "not UTF-8");
    }
    else if (!g_key_file_load_from_data(ini->file, text, length,
                                        G_KEY_FILE_NONE, &reason)) {
        char *escaped = escape_excerpt(reason->message);
        ch_ini_set_error(ini, NULL, NULL, CH_INI_SYNTAX, error, "%s", escaped);
        g_free(escaped);
        g_error_free(reason);
    }
    else if (check_duplicates(ini, text, error)) {
        return true;
    }
    ch_ini_close(ini);
    return false;
}

/* Frees the members of ini, not ini itself. */
void
ch_ini_close(struct ch_ini *ini)
{
    g_key_file_free(ini->file);
    g_free(ini->path);
}

/* Names are used in key-value store paths, HTTP headers, metric labels and log
 * lines.  Letters, digits, '.', '_' and '-' need no escaping in any of these,
 * and the limit of 64 bytes bounds the length of each. */
bool
ch_ini_check_name(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length > CH_INI_MAX_NAME_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("._-", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

static const struct ch_ini_row *
find_row(const struct ch_ini_row *rows, size_t count, const char *section,
         const char *key)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].section, section) == 0 &&
            strcmp(rows[i].key, key) == 0) {
            return &rows[i];
        }
    }
    return NULL;
}

/* See ini.h. */
bool
ch_ini_check_keys(const struct ch_ini *ini, const char *group,
                  const char *section, const struct ch_ini_row *rows,
                  size_t count, struct ch_error *error)
{
    char **keys = g_key_file_get_keys(ini->file, group, NULL, NULL);
    bool known = true;
    for (size_t i = 0; known && keys[i] != NULL; i++) {
        known = find_row(rows, count, section, keys[i]) != NULL;
        if (!known) {
            ch_ini_set_error(ini, group, keys[i], CH_UNKNOWN_SETTING, error,
                             "no such key in this group");
        }
    }
    g_strfreev(keys);
    return known;
}

/* Parses a decimal number and checks the range of the row.  If this fails,
 * *reason is a new string. */
static bool
read_number(const struct ch_ini_row *row, const char *text, double *number,
            char **reason)
{
    char *end = NULL;
    errno = 0;
    *number = g_ascii_strtod(text, &end);
    const char *digits =
        row->type == CH_INI_DOUBLE ? "+-0123456789.eE" : "-0123456789";
    if (strspn(text, digits) != strlen(text) || end == text || *end != '\0' ||
        errno != 0 || !isfinite(*number)) {
        *reason = g_strdup(row->type == CH_INI_DOUBLE ? "not a number"
                                                      : "not a whole number");
        return false;
    }
    if (*number < row->min || *number > row->max) {
        *reason =
            g_strdup_printf("must be from %.10g to %.10g", row->min, row->max);
        return false;
    }
    return true;
}

/* Stores a number as the type of the row; milliseconds become microseconds. */
static void
store_number(const struct ch_ini_row *row, double number, void *destination)
{
    switch (row->type) {
    case CH_INI_UNSIGNED:
        *(unsigned *)destination = (unsigned)number;
        break;
    case CH_INI_SIZE:
        *(size_t *)destination = (size_t)number;
        break;
    case CH_INI_MILLISECONDS:
        *(int64_t *)destination = (int64_t)number * 1000;
        break;
    default:
        *(double *)destination = number;
        break;
    }
}

/* Stores the index of text in the choices of the row. */
static bool
store_choice(const struct ch_ini_row *row, const char *text, void *destination,
             char **reason)
{
    for (int i = 0; row->choices[i] != NULL; i++) {
        if (strcmp(row->choices[i], text) != 0) {
            continue;
        }
        if (row->type == CH_INI_FLAG) {
            *(bool *)destination = i == 1;
        }
        else {
            *(int *)destination = i + (int)row->min;
        }
        return true;
    }
    char *choice_list = g_strjoinv(", ", (char **)row->choices);
    *reason = g_strdup_printf("not one of %s", choice_list);
    g_free(choice_list);
    return false;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Stores a sorted list of names; the separators in text are commas,
 * semicolons, spaces and tabs.  The list is stored even if the check fails. */
static bool
store_list(const char *text, void *destination, char **reason)
{
    char **parts = g_strsplit_set(text, ",; \t", -1);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; parts[i] != NULL; i++) {
        if (parts[i][0] != '\0') {
            g_ptr_array_add(names, g_strdup(parts[i]));
        }
    }
    g_strfreev(parts);
    g_ptr_array_sort(names, compare_names);
    bool wildcard =
        names->len == 1 && strcmp(g_ptr_array_index(names, 0), "*") == 0;
    for (guint i = 0; *reason == NULL && !wildcard && i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        if (!ch_ini_check_name(name)) {
            *reason = g_strdup_printf("'%.64s' is not a name", name);
        }
        else if (i > 0 && strcmp(name, g_ptr_array_index(names, i - 1)) == 0) {
            *reason = g_strdup_printf("'%s' is listed twice", name);
        }
    }
    g_ptr_array_add(names, NULL);
    *(char ***)destination = (char **)g_ptr_array_free(names, FALSE);
    return *reason == NULL;
}

/* Whether text is a SHA-256 digest in lower-case hexadecimal. */
static bool
is_digest(const char *text)
{
    return strlen(text) == 64 && strspn(text, "0123456789abcdef") == 64;
}

/* Stores a sorted list of digests. */
static bool
store_digests(const char *text, void *destination, char **reason)
{
    if (!store_list(text, destination, reason)) {
        g_free(*reason);
        *reason = g_strdup("a digest is listed twice or malformed");
        return false;
    }
    char **digests = *(char ***)destination;
    for (size_t i = 0; digests[i] != NULL; i++) {
        if (!is_digest(digests[i])) {
            *reason = g_strdup("an entry is not a SHA-256 digest of 64 "
                               "characters 0-9 a-f");
            return false;
        }
    }
    return true;
}

static bool
store_address(const struct ch_ini_row *row, const char *text,
              void *destination, char **reason)
{
    struct ch_error error = {0};
    if (!ch_address_check(text, &error)) {
        *reason =
            g_strdup("not ip:port with an IPv4 address and a port number");
        return false;
    }
    double port = g_ascii_strtod(strrchr(text, ':') + 1, NULL);
    if (port < row->min) {
        *reason = g_strdup("port 0 is only allowed for listeners");
        return false;
    }
    *(char **)destination = g_strdup(text);
    return true;
}

/* Stores text that is safe in a header or a path: printable ASCII, with spaces
 * only if blanks is true. */
static bool
store_text(const char *text, bool blanks, void *destination, char **reason)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isprint(*c) || (*c == ' ' && !blanks)) {
            *reason = g_strdup(
                "has blanks or characters that are not printable ASCII");
            return false;
        }
    }
    *(char **)destination = g_strdup(text);
    return true;
}

/* Stores text as the type of the row.  If this fails, *reason is a new string.
 */
static bool
store_value(const struct ch_ini_row *row, const char *text, void *destination,
            char **reason)
{
    double number = 0;
    switch (row->type) {
    case CH_INI_NAME:
        if (!ch_ini_check_name(text)) {
            *reason = g_strdup("not a name: use 1 to 64 of A-Z a-z 0-9 . _ -");
            return false;
        }
        *(char **)destination = g_strdup(text);
        return true;
    case CH_INI_ADDRESS:
        return store_address(row, text, destination, reason);
    case CH_INI_CHOICE:
    case CH_INI_FLAG:
        return store_choice(row, text, destination, reason);
    case CH_INI_LIST:
        return store_list(text, destination, reason);
    case CH_INI_DIGESTS:
        return store_digests(text, destination, reason);
    case CH_INI_TEXT:
        return store_text(text, false, destination, reason);
    case CH_INI_SHARES:
        return store_text(text, true, destination, reason);
    default:
        if (!read_number(row, text, &number, reason)) {
            return false;
        }
        store_number(row, number, destination);
        return true;
    }
}

/* Stores the value of one row, or the default if the file has no such key.  An
 * empty default leaves the member at zero, except that a list becomes empty.
 */
static bool
read_row(const struct ch_ini *ini, const char *group,
         const struct ch_ini_row *row, void *destination,
         struct ch_error *error)
{
    char *text = g_key_file_get_value(ini->file, group, row->key, NULL);
    if (text == NULL && row->default_text == NULL) {
        ch_ini_set_error(ini, group, row->key, CH_MISSING, error,
                         "the key is missing");
        return false;
    }
    if (text == NULL && row->default_text[0] == '\0' &&
        row->type != CH_INI_LIST && row->type != CH_INI_DIGESTS) {
        return true;
    }
    if (text == NULL) {
        text = g_strdup(row->default_text);
    }
    g_strstrip(text);
    char *reason = NULL;
    bool ok =
        store_value(row, text, (char *)destination + row->offset, &reason);
    if (!ok) {
        char *value = row->type == CH_INI_DIGESTS ? g_strdup("...")
                                                  : escape_excerpt(text);
        ch_ini_set_error(ini, group, row->key, CH_BAD_VALUE, error, "'%s': %s",
                         value, reason);
        g_free(value);
    }
    g_free(reason);
    g_free(text);
    return ok;
}

/* See ini.h. */
bool
ch_ini_read_group(const struct ch_ini *ini, const char *group,
                  const char *section, const struct ch_ini_row *rows,
                  size_t count, void *destination, struct ch_error *error)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].section, section) == 0 &&
            !read_row(ini, group, &rows[i], destination, error)) {
            return false;
        }
    }
    return true;
}

/* See ini.h. */
void
ch_ini_append_text(GString *out, const char *key, const char *text)
{
    g_string_append(out, key);
    g_string_append(out, " = ");
    g_string_append(out, text);
    g_string_append_c(out, '\n');
}

/* See ini.h.  Doesn't use printf, which is slower: a configuration has tens of
 * thousands of these lines. */
void
ch_ini_append_count(GString *out, const char *key, uint64_t number)
{
    char digits[24];
    char *first_digit = &digits[sizeof(digits) - 1];
    *first_digit = '\0';
    do {
        *--first_digit = (char)('0' + number % 10);
        number /= 10;
    } while (number > 0);
    ch_ini_append_text(out, key, first_digit);
}

/* See ini.h. */
void
ch_ini_append_number(GString *out, const char *key, double number)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    if (number <= 0) {
        return;
    }
    if (number < 1e9 && number == floor(number)) {
        ch_ini_append_count(out, key, (uint64_t)number);
        return;
    }
    ch_ini_append_text(out, key,
                       g_ascii_formatd(text, sizeof(text), "%.10g", number));
}
