/* The teams of a declaration, and the look-up of a team by its access key. */

#include "base/declaration_internal.h"

#include <string.h>

/* See declaration_internal.h. */
void
declaration_team_clear(void *data)
{
    struct ch_team *team = data;
    g_free(team->name);
    g_strfreev(team->key_digests);
}

/* Fails with DUPLICATE when two groups have the same name, as "[team a]" and
 * "[team  a]" have. */
static bool
check_names(const struct ch_ini *ini, const struct ch_declaration *declaration,
            struct ch_error *error)
{
    for (size_t i = 1; i < declaration->team_count; i++) {
        const char *name = declaration->teams[i].name;
        if (strcmp(name, declaration->teams[i - 1].name) == 0) {
            g_autofree char *group = g_strdup_printf("team %s", name);
            ch_ini_set_error(ini, group, NULL, CH_DUPLICATE, error,
                             "there are two teams of this name");
            return false;
        }
    }
    return true;
}

/* Fails with DUPLICATE when two teams have the same key: a request with it
 * would belong to either. */
static bool
check_keys(const struct ch_ini *ini, const struct ch_declaration *declaration,
           struct ch_error *error)
{
    for (size_t i = 1; i < declaration->team_key_count; i++) {
        const struct ch_team_key *key = &declaration->team_keys[i];
        if (strcmp(key->digest, key[-1].digest) == 0) {
            g_autofree char *group = g_strdup_printf(
                "team %s", declaration->teams[key->team_index].name);
            ch_ini_set_error(ini, group, "keys", CH_DUPLICATE, error,
                             "team %s has one of these keys too",
                             declaration->teams[key[-1].team_index].name);
            return false;
        }
    }
    return true;
}

/* Builds the array of all keys, sorted by digest. */
static void
build_keys(struct ch_declaration *declaration)
{
    GArray *keys = g_array_new(FALSE, FALSE, sizeof(struct ch_team_key));
    for (size_t i = 0; i < declaration->team_count; i++) {
        char **digests = declaration->teams[i].key_digests;
        for (size_t j = 0; digests[j] != NULL; j++) {
            const struct ch_team_key key = {digests[j], i};
            g_array_append_val(keys, key);
        }
    }
    g_array_sort(keys, declaration_compare_by_name);
    declaration->team_key_count = keys->len;
    declaration->team_keys =
        (struct ch_team_key *)(void *)g_array_free(keys, FALSE);
}

/* See declaration_internal.h. */
bool
declaration_teams_build(const struct ch_ini *ini,
                        struct ch_declaration *declaration, GArray *teams,
                        struct ch_error *error)
{
    declaration->team_count = teams->len;
    declaration->teams = g_new0(struct ch_team, MAX(teams->len, 1));
    for (guint i = 0; i < teams->len; i++) {
        struct ch_team *from = &g_array_index(teams, struct ch_team, i);
        declaration->teams[i] = *from;
        from->name = NULL;
        from->key_digests = NULL;
    }
    build_keys(declaration);
    return check_names(ini, declaration, error) &&
           check_keys(ini, declaration, error);
}

/* See declaration_internal.h. */
void
declaration_teams_format(GString *out,
                         const struct ch_declaration *declaration)
{
    for (size_t i = 0; i < declaration->team_count; i++) {
        const struct ch_team *team = &declaration->teams[i];
        g_string_append_printf(out, "[team %s]\n", team->name);
        if (team->key_digests[0] != NULL) {
            g_autofree char *digests = g_strjoinv(", ", team->key_digests);
            ch_ini_append_text(out, "keys", digests);
        }
        if (team->priority != CH_TEAM_NO_PRIORITY) {
            ch_ini_append_count(out, "priority", team->priority);
        }
        if (team->counts_tokens) {
            ch_ini_append_text(out, "quota-unit", "tokens");
        }
        ch_ini_append_number(out, "quota-per-s", team->quota_per_s);
        ch_ini_append_number(out, "quota-burst", team->quota_burst);
        ch_ini_append_number(out, "plain-tokens", team->plain_tokens);
        g_string_append_c(out, '\n');
    }
}

/* See declaration_internal.h. */
void
declaration_teams_free(struct ch_declaration *declaration)
{
    for (size_t i = 0; i < declaration->team_count; i++) {
        declaration_team_clear(&declaration->teams[i]);
    }
    g_free(declaration->teams);
    g_free(declaration->team_keys);
}

/* See base.h. Keys are compared by digest, so that the time of a search tells
 * nothing about any key. */
int
ch_declaration_find_team_by_key(const struct ch_declaration *declaration,
                                const char *digest)
{
    int index = declaration_find_name(declaration->team_keys,
                                      declaration->team_key_count,
                                      sizeof(struct ch_team_key), digest);
    return index < 0 ? -1 : (int)declaration->team_keys[index].team_index;
}
