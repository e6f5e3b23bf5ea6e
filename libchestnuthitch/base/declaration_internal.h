#ifndef CH_BASE_DECLARATION_INTERNAL_H
#define CH_BASE_DECLARATION_INTERNAL_H

/* Shared by declaration.c and declaration_team.c. */

#include "base/base.h"
#include "base/ini.h"

/* Compares by name: the first member of every entry is its name. */
int declaration_compare_by_name(const void *a, const void *b);
/* Index of a name in a sorted array of entries whose first member is their
 * name, or -1. */
int declaration_find_name(const void *entries, size_t count, size_t size,
                          const char *name);

/* ---- declaration_team.c ---- */

/* Frees the contents of a struct ch_team; a GDestroyNotify. */
void declaration_team_clear(void *data);
/* Moves the teams (struct ch_team, sorted by name) into the declaration; false
 * with an error when two of them have the same name or key. */
bool declaration_teams_build(const struct ch_ini *ini,
                             struct ch_declaration *declaration, GArray *teams,
                             struct ch_error *error);
/* Appends the teams as canonical text. */
void declaration_teams_format(GString *out,
                              const struct ch_declaration *declaration);
void declaration_teams_free(struct ch_declaration *declaration);

#endif
