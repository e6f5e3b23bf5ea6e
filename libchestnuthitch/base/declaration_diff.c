/* Differences between two canonical declarations, listed by group and key. */

#include "base/base.h"

#include <string.h>

/* Parses a canonical text; text that is not valid INI counts as empty. */
static GKeyFile *
parse_canonical(const char *text)
{
    GKeyFile *file = g_key_file_new();
    (void)g_key_file_load_from_data(file, text, strlen(text), G_KEY_FILE_NONE,
                                    NULL);
    return file;
}

/* Appends all lines of a group that is in only one of the texts. */
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

/* Appends the old and the new value of a key if they differ; NULL stands for a
 * key that is absent. */
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

/* Appends the changed keys among those that the group has in listed, which is
 * from or to.  With skip_shared, keys that are also in from are skipped. */
static void
append_keys(GString *out, GKeyFile *from, GKeyFile *to, GKeyFile *listed,
            const char *group, bool skip_shared)
{
    char **keys = g_key_file_get_keys(listed, group, NULL, NULL);
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

/* Appends a group that both texts have, if any of its keys differ. */
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

/* Returns the difference as a new string: " [group]" for a changed group, "-"
 * before lines that are only in `from`, "+" before lines that are only in
 * `to`. The string is empty if the texts have the same content. */
char *
ch_declaration_diff(const char *from, const char *to)
{
    GKeyFile *before = parse_canonical(from);
    GKeyFile *after = parse_canonical(to);
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
