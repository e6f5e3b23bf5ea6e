/* What changed between two canonical texts, line by line under its group. */

#include "base/base.h"

#include <string.h>

/* Parses a canonical text; one that does not parse counts as empty. */
static GKeyFile *
parse(const char *text)
{
    GKeyFile *file = g_key_file_new();
    (void)g_key_file_load_from_data(file, text, strlen(text), G_KEY_FILE_NONE,
                                    NULL);
    return file;
}

/* Appends every line of a group that only one text has. */
static void
append_group(GString *out, GKeyFile *file, const char *group, char sign)
{
    g_string_append_printf(out, "%c[%s]\n", sign, group);
    char **keys = g_key_file_get_keys(file, group, NULL, NULL);
    for (size_t i = 0; keys[i] != NULL; i++) {
        char *value = g_key_file_get_value(file, group, keys[i], NULL);
        g_string_append_printf(out, "%c%s = %s\n", sign, keys[i], value);
        g_free(value);
    }
    g_strfreev(keys);
}

/* Appends one key of a group when the two texts differ in it. */
static void
append_key(GString *out, const char *key, const char *before,
           const char *after)
{
    if (g_strcmp0(before, after) == 0) {
        return;
    }
    if (before != NULL) {
        g_string_append_printf(out, "-%s = %s\n", key, before);
    }
    if (after != NULL) {
        g_string_append_printf(out, "+%s = %s\n", key, after);
    }
}

/* Appends the keys of one group in one text; with skip_shared, only those
 * that the other text does not have. */
static void
append_keys(GString *out, GKeyFile *from, GKeyFile *to, GKeyFile *walked,
            const char *group, bool skip_shared)
{
    char **keys = g_key_file_get_keys(walked, group, NULL, NULL);
    for (size_t i = 0; keys[i] != NULL; i++) {
        char *before = g_key_file_get_value(from, group, keys[i], NULL);
        char *after = g_key_file_get_value(to, group, keys[i], NULL);
        if (!skip_shared || before == NULL) {
            append_key(out, keys[i], before, after);
        }
        g_free(before);
        g_free(after);
    }
    g_strfreev(keys);
}

/* Appends a group that both texts have, when some key of it changed. */
static void
append_changed(GString *out, GKeyFile *from, GKeyFile *to, const char *group)
{
    GString *lines = g_string_new(NULL);
    append_keys(lines, from, to, from, group, false);
    append_keys(lines, from, to, to, group, true);
    if (lines->len > 0) {
        g_string_append_printf(out, " [%s]\n%s", group, lines->str);
    }
    g_string_free(lines, TRUE);
}

/* The difference as text: " [group]" for a changed group, "-" before what is
 * only in `from` and "+" before what is only in `to`; empty when the two say
 * the same.  A new string. */
char *
ch_declaration_diff(const char *from, const char *to)
{
    GKeyFile *before = parse(from);
    GKeyFile *after = parse(to);
    GString *out = g_string_new(NULL);
    char **groups = g_key_file_get_groups(before, NULL);
    for (size_t i = 0; groups[i] != NULL; i++) {
        if (g_key_file_has_group(after, groups[i])) {
            append_changed(out, before, after, groups[i]);
        }
        else {
            append_group(out, before, groups[i], '-');
        }
    }
    g_strfreev(groups);
    groups = g_key_file_get_groups(after, NULL);
    for (size_t i = 0; groups[i] != NULL; i++) {
        if (!g_key_file_has_group(before, groups[i])) {
            append_group(out, after, groups[i], '+');
        }
    }
    g_strfreev(groups);
    g_key_file_free(before);
    g_key_file_free(after);
    return g_string_free(out, FALSE);
}
