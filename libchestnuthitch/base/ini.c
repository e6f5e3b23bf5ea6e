/* Strict INI by tables of rows, for node settings and declarations. */

#include "base/ini.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* A value for an error message: control characters escaped, cut to a length
 * that leaves room for the rest.  A new string. */
static char *
shown(const char *text)
{
    char *cut = g_strndup(text, 60);
    char *escaped = g_strescape(cut, NULL);
    g_free(cut);
    return escaped;
}

/* Sets an error that names the file, the group and the key (NULL: the group
 * as a whole; group NULL: the file as a whole). */
void
ch_ini_fail(const struct ch_ini *ini, const char *group, const char *key,
            enum ch_code code, struct ch_error *error, const char *form, ...)
{
    char reason[256];
    va_list arguments;
    va_start(arguments, form);
    (void)vsnprintf(reason, sizeof(reason), form, arguments);
    va_end(arguments);
    char *group_text = shown(group == NULL ? "" : group);
    char *key_text = shown(key == NULL ? "" : key);
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

/* The text of a file, or NULL with FILE_UNREADABLE or INI_SYNTAX (too long, a
 * NUL byte in it). */
char *
ch_ini_file_text(const char *path, struct ch_error *error)
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
        ch_error_set(error, CH_INI_SYNTAX, "%s: a NUL byte at offset %zu",
                     path, strlen(text));
        g_free(text);
        return NULL;
    }
    return text;
}

/* What was seen of a text; the names point into a copy of it. */
struct repeats {
    GHashTable *groups;
    GHashTable *keys; /* of the group that is being read */
    const char *group;
};

/* Cuts a line to what stands between its blanks. */
static char *
bare_line(char *line)
{
    while (g_ascii_isspace(*line)) {
        line++;
    }
    return g_strchomp(line);
}

/* Notes one line's group or key; false when it was there before. */
static bool
check_line(const struct ch_ini *ini, struct repeats *seen, char *line,
           struct ch_error *error)
{
    line = bare_line(line);
    char *end = line[0] == '[' ? strrchr(line, ']') : NULL;
    if (end != NULL) {
        *end = '\0';
        seen->group = line + 1;
        ch_pool_give_way(g_hash_table_size(seen->groups));
        g_hash_table_remove_all(seen->keys);
        if (!g_hash_table_add(seen->groups, line + 1)) {
            ch_ini_fail(ini, seen->group, NULL, CH_DUPLICATE, error,
                        "the group stands twice");
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
        ch_ini_fail(ini, seen->group, line, CH_DUPLICATE, error,
                    "the key stands twice");
        return false;
    }
    return true;
}

/* GKeyFile merges repeated groups and lets the last of repeated keys win, so
 * that an operator's first line would silently have no effect. */
static bool
check_repeats(const struct ch_ini *ini, const char *text,
              struct ch_error *error)
{
    g_autofree char *copy = g_strdup(text);
    struct repeats seen = {
        .groups = g_hash_table_new(g_str_hash, g_str_equal),
        .keys = g_hash_table_new(g_str_hash, g_str_equal),
    };
    bool fine = true;
    for (char *line = copy; fine && line != NULL;) {
        char *end = strchr(line, '\n');
        if (end != NULL) {
            *end++ = '\0';
        }
        fine = check_line(ini, &seen, line, error);
        line = end;
    }
    g_hash_table_destroy(seen.groups);
    g_hash_table_destroy(seen.keys);
    return fine;
}

/* Parses text; path is what errors call it.  On false nothing is left to
 * close. */
bool
ch_ini_open(struct ch_ini *ini, const char *text, const char *path,
            struct ch_error *error)
{
    ini->path = g_strdup(path);
    ini->file = g_key_file_new();
    size_t length = strlen(text);
    GError *reason = NULL;
    if (length > CH_INI_MOST_BYTES) {
        ch_ini_fail(ini, NULL, NULL, CH_INI_SYNTAX, error,
                    "%zu bytes are over the limit of %d", length,
                    (int)CH_INI_MOST_BYTES);
    }
    else if (!g_utf8_validate(text, (gssize)length, NULL)) {
        ch_ini_fail(ini, NULL, NULL, CH_INI_SYNTAX, error, "not UTF-8");
    }
    else if (!g_key_file_load_from_data(ini->file, text, length,
                                        G_KEY_FILE_NONE, &reason)) {
        char *why = shown(reason->message);
        ch_ini_fail(ini, NULL, NULL, CH_INI_SYNTAX, error, "%s", why);
        g_free(why);
        g_error_free(reason);
    }
    else if (check_repeats(ini, text, error)) {
        return true;
    }
    ch_ini_close(ini);
    return false;
}

/* Frees what ch_ini_open made. */
void
ch_ini_close(struct ch_ini *ini)
{
    g_key_file_free(ini->file);
    g_free(ini->path);
}

/* Names stand in paths of the key-value service, in headers, labels and log
 * lines: letters, digits, '.', '_' and '-' need no escaping in any of them,
 * and 64 bytes bound what each of them holds. */
bool
ch_ini_name_check(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length > CH_INI_NAME_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isalnum(name[i]) && strchr("._-", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* The row of a key in a section, or NULL. */
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

/* False with UNKNOWN_SETTING when the group has a key without a row. */
bool
ch_ini_known_keys(const struct ch_ini *ini, const char *group,
                  const char *section, const struct ch_ini_row *rows,
                  size_t count, struct ch_error *error)
{
    char **keys = g_key_file_get_keys(ini->file, group, NULL, NULL);
    bool known = true;
    for (size_t i = 0; known && keys[i] != NULL; i++) {
        known = find_row(rows, count, section, keys[i]) != NULL;
        if (!known) {
            ch_ini_fail(ini, group, keys[i], CH_UNKNOWN_SETTING, error,
                        "no such key in this group");
        }
    }
    g_strfreev(keys);
    return known;
}

/* Reads a decimal number within the row's range. */
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
    if (*number < row->least || *number > row->most) {
        *reason =
            g_strdup_printf("not from %.10g to %.10g", row->least, row->most);
        return false;
    }
    return true;
}

/* Stores a number as the row's type. */
static void
store_number(const struct ch_ini_row *row, double number, void *at)
{
    switch (row->type) {
    case CH_INI_UNSIGNED:
        *(unsigned *)at = (unsigned)number;
        break;
    case CH_INI_SIZE:
        *(size_t *)at = (size_t)number;
        break;
    case CH_INI_MILLISECONDS:
        *(int64_t *)at = (int64_t)number * 1000;
        break;
    default:
        *(double *)at = number;
        break;
    }
}

/* Stores the place of text among the row's choices. */
static bool
store_choice(const struct ch_ini_row *row, const char *text, void *at,
             char **reason)
{
    for (int i = 0; row->choices[i] != NULL; i++) {
        if (strcmp(row->choices[i], text) != 0) {
            continue;
        }
        if (row->type == CH_INI_FLAG) {
            *(bool *)at = i == 1;
        }
        else {
            *(int *)at = i + (int)row->least;
        }
        return true;
    }
    char *all = g_strjoinv(", ", (char **)row->choices);
    *reason = g_strdup_printf("not one of %s", all);
    g_free(all);
    return false;
}

/* Order of two names in an array of strings. */
static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Stores a list of names, sorted; separators are commas, semicolons and
 * blanks. */
static bool
store_list(const char *text, void *at, char **reason)
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
    bool star =
        names->len == 1 && strcmp(g_ptr_array_index(names, 0), "*") == 0;
    for (guint i = 0; *reason == NULL && !star && i < names->len; i++) {
        const char *name = g_ptr_array_index(names, i);
        if (!ch_ini_name_check(name)) {
            *reason = g_strdup_printf("'%.64s' is not a name", name);
        }
        else if (i > 0 && strcmp(name, g_ptr_array_index(names, i - 1)) == 0) {
            *reason = g_strdup_printf("'%s' stands twice", name);
        }
    }
    g_ptr_array_add(names, NULL);
    *(char ***)at = (char **)g_ptr_array_free(names, FALSE);
    return *reason == NULL;
}

/* Stores an address after its check. */
static bool
store_address(const struct ch_ini_row *row, const char *text, void *at,
              char **reason)
{
    struct ch_error error = {0};
    if (!ch_address_check(text, &error)) {
        *reason = g_strdup("not ip:port with an IPv4 number");
        return false;
    }
    double port = g_ascii_strtod(strrchr(text, ':') + 1, NULL);
    if (port < row->least) {
        *reason = g_strdup("port 0 is for listeners alone");
        return false;
    }
    *(char **)at = g_strdup(text);
    return true;
}

/* Stores text that may stand in a header or a path.  blanks: whether there may
 * be some. */
static bool
store_text(const char *text, bool blanks, void *at, char **reason)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isprint(*c) || (*c == ' ' && !blanks)) {
            *reason = g_strdup("not printable ASCII, or with blanks");
            return false;
        }
    }
    *(char **)at = g_strdup(text);
    return true;
}

/* Stores text as the row's type; false with a reason (g_free). */
static bool
store(const struct ch_ini_row *row, const char *text, void *at, char **reason)
{
    double number = 0;
    switch (row->type) {
    case CH_INI_NAME:
        if (!ch_ini_name_check(text)) {
            *reason = g_strdup("not a name: 1 to 64 of A-Z a-z 0-9 . _ -");
            return false;
        }
        *(char **)at = g_strdup(text);
        return true;
    case CH_INI_ADDRESS:
        return store_address(row, text, at, reason);
    case CH_INI_CHOICE:
    case CH_INI_FLAG:
        return store_choice(row, text, at, reason);
    case CH_INI_LIST:
        return store_list(text, at, reason);
    case CH_INI_TEXT:
        return store_text(text, false, at, reason);
    case CH_INI_SHARES:
        return store_text(text, true, at, reason);
    default:
        if (!read_number(row, text, &number, reason)) {
            return false;
        }
        store_number(row, number, at);
        return true;
    }
}

/* Stores one row's value, or its default when the key is not there; an empty
 * default leaves the member as it is, zero. */
static bool
fill_row(const struct ch_ini *ini, const char *group,
         const struct ch_ini_row *row, void *into, struct ch_error *error)
{
    char *text = g_key_file_get_value(ini->file, group, row->key, NULL);
    if (text == NULL && row->fallback == NULL) {
        ch_ini_fail(ini, group, row->key, CH_MISSING, error,
                    "the key is missing");
        return false;
    }
    if (text == NULL && row->fallback[0] == '\0' && row->type != CH_INI_LIST) {
        return true;
    }
    if (text == NULL) {
        text = g_strdup(row->fallback);
    }
    g_strstrip(text);
    char *reason = NULL;
    bool fine = store(row, text, (char *)into + row->offset, &reason);
    if (!fine) {
        char *value = shown(text);
        ch_ini_fail(ini, group, row->key, CH_BAD_VALUE, error, "'%s': %s",
                    value, reason);
        g_free(value);
    }
    g_free(reason);
    g_free(text);
    return fine;
}

/* Fills the members of *into that a section's rows name; what was stored
 * before an error stays there for the owner to free. */
bool
ch_ini_fill(const struct ch_ini *ini, const char *group, const char *section,
            const struct ch_ini_row *rows, size_t count, void *into,
            struct ch_error *error)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(rows[i].section, section) == 0 &&
            !fill_row(ini, group, &rows[i], into, error)) {
            return false;
        }
    }
    return true;
}

/* Appends "key = text". */
void
ch_ini_put_text(GString *out, const char *key, const char *text)
{
    g_string_append(out, key);
    g_string_append(out, " = ");
    g_string_append(out, text);
    g_string_append_c(out, '\n');
}

/* Appends "key = number", without printf: a configuration has tens of
 * thousands of these. */
void
ch_ini_put_count(GString *out, const char *key, uint64_t number)
{
    char digits[24];
    char *first = &digits[sizeof(digits) - 1];
    *first = '\0';
    do {
        *--first = (char)('0' + number % 10);
        number /= 10;
    } while (number > 0);
    ch_ini_put_text(out, key, first);
}
