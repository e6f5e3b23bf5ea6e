/* Strict reader of an operator's declaration: classes, models and services. */

#include "base/base.h"
#include "base/declaration_internal.h"
#include "base/ini.h"

#include <stdlib.h>
#include <string.h>

/* A class as read from the file, before names are resolved to indexes. */
struct parsed_class {
    char *name;
    int64_t first_token;
    int64_t between_tokens;
    int64_t whole_answer;
    bool idempotent;
    char **models;
    char **services;
    char **callers;
    char *host;
    char *path;
    char *shares;
    bool stream;
    bool resumable;
    unsigned priority;
    unsigned tries;
    int64_t gap;
    int64_t time_limit;
    bool public;
};

/* A model as read from the file, before names are resolved to indexes. */
struct parsed_model {
    char *name;
    unsigned memory_mb;
    unsigned adapter_memory_mb;
    char **adapters;
    char **services;
    unsigned numbered_adapters;
    int64_t load;
};

/* The group [access]. */
struct parsed_access {
    bool requires_keys;
};

/* The groups of the file by kind, each array sorted by name. */
struct parsed {
    GArray *classes;  /* struct parsed_class */
    GArray *models;   /* struct parsed_model */
    GArray *services; /* struct ch_service */
    GArray *teams;    /* struct ch_team */
    struct ch_caller_limits limits;
    struct parsed_access access;
};

static const char *const flag_names[] = {"false", "true", NULL};
static const char *const unit_names[] = {"requests", "tokens", NULL};

#define CLASS(member) offsetof(struct parsed_class, member)
#define MODEL(member) offsetof(struct parsed_model, member)
#define SERVICE(member) offsetof(struct ch_service, member)
#define LIMIT(member) offsetof(struct ch_caller_limits, member)
#define TEAM(member) offsetof(struct ch_team, member)
#define ACCESS(member) offsetof(struct parsed_access, member)

/*
 * Latency targets range from 1 ms to 10 minutes for the first token and to 1
 * hour for a complete response; a larger value is more likely a typing error.
 * A target of 0, the default, stands for "no target"; an operator can't write
 * 0.
 */
static const struct ch_ini_row rows[] = {
    {"class", "first-token-ms", CH_INI_MILLISECONDS, CLASS(first_token), "", 1,
     600000, NULL},
    {"class", "between-tokens-ms", CH_INI_MILLISECONDS, CLASS(between_tokens),
     "", 1, 60000, NULL},
    {"class", "answer-ms", CH_INI_MILLISECONDS, CLASS(whole_answer), "", 1,
     3600000, NULL},
    {"class", "idempotent", CH_INI_FLAG, CLASS(idempotent), "true", 0, 0,
     flag_names},
    {"class", "models", CH_INI_LIST, CLASS(models), "", 0, 0, NULL},
    {"class", "services", CH_INI_LIST, CLASS(services), "", 0, 0, NULL},
    {"class", "callers", CH_INI_LIST, CLASS(callers), "", 0, 0, NULL},
    {"model", "memory-mb", CH_INI_UNSIGNED, MODEL(memory_mb), NULL, 1,
     16777216, NULL},
    {"model", "adapters", CH_INI_LIST, MODEL(adapters), "", 0, 0, NULL},
    {"model", "adapter-memory-mb", CH_INI_UNSIGNED, MODEL(adapter_memory_mb),
     "", 1, 16777216, NULL},
    {"class", "host", CH_INI_TEXT, CLASS(host), "", 0, 0, NULL},
    {"class", "path", CH_INI_TEXT, CLASS(path), "", 0, 0, NULL},
    {"class", "shares", CH_INI_SHARES, CLASS(shares), "", 0, 0, NULL},
    {"class", "stream", CH_INI_FLAG, CLASS(stream), "false", 0, 0, flag_names},
    {"class", "resumable", CH_INI_FLAG, CLASS(resumable), "false", 0, 0,
     flag_names},
    {"class", "priority", CH_INI_UNSIGNED, CLASS(priority), "0", 0, 1000,
     NULL},
    {"class", "tries", CH_INI_UNSIGNED, CLASS(tries), "1", 1, 100, NULL},
    {"class", "gap-ms", CH_INI_MILLISECONDS, CLASS(gap), "", 1, 600000, NULL},
    {"class", "time-limit-ms", CH_INI_MILLISECONDS, CLASS(time_limit), "", 1,
     86400000, NULL},
    {"class", "public", CH_INI_FLAG, CLASS(public), "false", 0, 0, flag_names},
    {"model", "services", CH_INI_LIST, MODEL(services), "", 0, 0, NULL},
    {"model", "numbered-adapters", CH_INI_UNSIGNED, MODEL(numbered_adapters),
     "0", 0, 100000, NULL},
    {"model", "load-ms", CH_INI_MILLISECONDS, MODEL(load), "", 0, 3600000,
     NULL},
    {"service", "connections", CH_INI_UNSIGNED, SERVICE(max_connections), "0",
     0, 1000000, NULL},
    {"service", "batch", CH_INI_UNSIGNED, SERVICE(max_batch), "0", 0, 100000,
     NULL},
    {"service", "memory-mb", CH_INI_UNSIGNED, SERVICE(memory_mb), "0", 0, 1e9,
     NULL},
    {"service", "context-tokens", CH_INI_UNSIGNED, SERVICE(context_tokens),
     "0", 0, 1e9, NULL},
    {"service", "adapter-places", CH_INI_UNSIGNED, SERVICE(adapter_slots), "0",
     0, 100000, NULL},
    {"service", "loads-per-s", CH_INI_DOUBLE, SERVICE(loads_per_s), "0", 0,
     1e6, NULL},
    {"limits", "header-bytes", CH_INI_SIZE, LIMIT(header_bytes), "0", 0, 1e9,
     NULL},
    {"limits", "body-bytes", CH_INI_SIZE, LIMIT(body_bytes), "0", 0, 1e9,
     NULL},
    {"limits", "header-ms", CH_INI_MILLISECONDS, LIMIT(header_time), "", 0,
     86400000, NULL},
    {"limits", "idle-ms", CH_INI_MILLISECONDS, LIMIT(idle_time), "", 0,
     86400000, NULL},
    {"team", "keys", CH_INI_DIGESTS, TEAM(key_digests), "", 0, 0, NULL},
    {"team", "priority", CH_INI_UNSIGNED, TEAM(priority),
     G_STRINGIFY(CH_TEAM_NO_PRIORITY), 0, CH_TEAM_NO_PRIORITY, NULL},
    {"team", "quota-unit", CH_INI_FLAG, TEAM(counts_tokens), "requests", 0, 0,
     unit_names},
    {"team", "quota-per-s", CH_INI_DOUBLE, TEAM(quota_per_s), "0", 0, 1e12,
     NULL},
    {"team", "quota-burst", CH_INI_DOUBLE, TEAM(quota_burst), "0", 0, 1e12,
     NULL},
    {"team", "plain-tokens", CH_INI_UNSIGNED, TEAM(plain_tokens), "0", 0, 1e9,
     NULL},
    {"access", "require-keys", CH_INI_FLAG, ACCESS(requires_keys), "false", 0,
     0, flag_names},
};

/* Groups that describe the platform.  For a replay they are in the same file;
 * this reader accepts them unchecked. */
static const char *const platform_sections[] = {
    "region",       "data-centre", "upstream", "entry",
    "weight-store", "link",        "engine",   NULL,
};

enum {
    /* An operator's program generates hundreds of classes by host and path.
     * The classes beyond the first 96 share their metrics counters. */
    MAX_CLASSES = 8192,
    /* Several times the number in the largest planned deployment. */
    MAX_MODELS = 8192,
    MAX_SERVICES = 1024,
    MAX_TEAMS = 8192,
};

/* ---- parsing ---- */

static void
clear_class(void *data)
{
    struct parsed_class *class = data;
    g_free(class->name);
    g_strfreev(class->models);
    g_strfreev(class->services);
    g_strfreev(class->callers);
    g_free(class->host);
    g_free(class->path);
    g_free(class->shares);
}

static void
clear_model(void *data)
{
    struct parsed_model *model = data;
    g_free(model->name);
    g_strfreev(model->adapters);
    g_strfreev(model->services);
}

static void
clear_service(void *data)
{
    struct ch_service *service = data;
    g_free(service->name);
}

/* See declaration_internal.h. */
int
declaration_compare_by_name(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
parsed_init(struct parsed *parsed)
{
    parsed->classes = g_array_new(FALSE, TRUE, sizeof(struct parsed_class));
    parsed->models = g_array_new(FALSE, TRUE, sizeof(struct parsed_model));
    parsed->services = g_array_new(FALSE, TRUE, sizeof(struct ch_service));
    parsed->teams = g_array_new(FALSE, TRUE, sizeof(struct ch_team));
    parsed->access = (struct parsed_access){false};
    parsed->limits = (struct ch_caller_limits){0};
    g_array_set_clear_func(parsed->classes, clear_class);
    g_array_set_clear_func(parsed->models, clear_model);
    g_array_set_clear_func(parsed->services, clear_service);
    g_array_set_clear_func(parsed->teams, declaration_team_clear);
}

static void
parsed_clear(struct parsed *parsed)
{
    g_array_free(parsed->classes, TRUE);
    g_array_free(parsed->models, TRUE);
    g_array_free(parsed->services, TRUE);
    g_array_free(parsed->teams, TRUE);
}

/* Returns the NAME of "[SECTION NAME]" as a new string, or NULL with an error.
 */
static char *
group_name(const struct ch_ini *ini, const char *group, const char *section,
           struct ch_error *error)
{
    const char *name = group + strlen(section);
    while (*name == ' ') {
        name++;
    }
    if (!ch_ini_check_name(name)) {
        ch_ini_set_error(ini, group, NULL, CH_BAD_VALUE, error,
                         "not [%s NAME] with 1 to %d of A-Z a-z 0-9 . _ -",
                         section, (int)CH_INI_MAX_NAME_BYTES);
        return NULL;
    }
    return g_strdup(name);
}

/* Reads a group into a new entry at the end of entries, which holds at most
 * max entries. */
static bool
read_entry(const struct ch_ini *ini, const char *group, const char *section,
           GArray *entries, guint max, struct ch_error *error)
{
    char *name = group_name(ini, group, section, error);
    if (name == NULL) {
        return false;
    }
    if (entries->len >= max) {
        ch_ini_set_error(ini, group, NULL, CH_BAD_VALUE, error,
                         "more than %u groups of this kind", max);
        g_free(name);
        return false;
    }
    g_array_set_size(entries, entries->len + 1);
    char *entry = entries->data + (size_t)(entries->len - 1) *
                                      g_array_get_element_size(entries);
    *(char **)entry = name;
    return ch_ini_check_keys(ini, group, section, rows, G_N_ELEMENTS(rows),
                             error) &&
           ch_ini_read_group(ini, group, section, rows, G_N_ELEMENTS(rows),
                             entry, error);
}

/* Reads a group of which there is one, without a name. */
static bool
read_single(const struct ch_ini *ini, const char *group, void *destination,
            struct ch_error *error)
{
    return ch_ini_check_keys(ini, group, group, rows, G_N_ELEMENTS(rows),
                             error) &&
           ch_ini_read_group(ini, group, group, rows, G_N_ELEMENTS(rows),
                             destination, error);
}

/* Reads one group; its first word gives the kind. */
static bool
read_group(const struct ch_ini *ini, const char *group, struct parsed *parsed,
           struct ch_error *error)
{
    char *section = g_strndup(group, strcspn(group, " "));
    bool ok = true;
    if (strcmp(section, "class") == 0) {
        ok = read_entry(ini, group, section, parsed->classes, MAX_CLASSES,
                        error);
    }
    else if (strcmp(section, "model") == 0) {
        ok =
            read_entry(ini, group, section, parsed->models, MAX_MODELS, error);
    }
    else if (strcmp(section, "service") == 0) {
        ok = read_entry(ini, group, section, parsed->services, MAX_SERVICES,
                        error);
    }
    else if (strcmp(section, "team") == 0) {
        ok = read_entry(ini, group, section, parsed->teams, MAX_TEAMS, error);
    }
    else if (strcmp(group, "limits") == 0) {
        ok = read_single(ini, group, &parsed->limits, error);
    }
    else if (strcmp(group, "access") == 0) {
        ok = read_single(ini, group, &parsed->access, error);
    }
    else if (!g_strv_contains(platform_sections, section)) {
        ch_ini_set_error(ini, group, NULL, CH_UNKNOWN_GROUP, error,
                         "no such group");
        ok = false;
    }
    g_free(section);
    return ok;
}

/* Reads all groups and sorts each kind by name. */
static bool
read_groups(const struct ch_ini *ini, struct parsed *parsed,
            struct ch_error *error)
{
    char **groups = g_key_file_get_groups(ini->file, NULL);
    bool ok = true;
    for (size_t i = 0; ok && groups[i] != NULL; i++) {
        ok = read_group(ini, groups[i], parsed, error);
        ch_pool_yield(i);
    }
    g_strfreev(groups);
    if (ok && parsed->classes->len == 0) {
        ch_ini_set_error(ini, "class NAME", NULL, CH_MISSING, error,
                         "there is no class");
        ok = false;
    }
    g_array_sort(parsed->classes, declaration_compare_by_name);
    g_array_sort(parsed->models, declaration_compare_by_name);
    g_array_sort(parsed->services, declaration_compare_by_name);
    g_array_sort(parsed->teams, declaration_compare_by_name);
    return ok;
}

/* ---- checks between groups ---- */

/* Adds a name to known_names; fails with DUPLICATE if the name is there.  Two
 * groups of one kind can have the same name, as "[model a]" and "[model  a]"
 * differ as group names. */
static bool
add_name(const struct ch_ini *ini, GHashTable *known_names,
         const char *section, const char *name, const char *key,
         struct ch_error *error)
{
    char *group = g_strdup_printf("%s %s", section, name);
    const char *other_group = g_hash_table_lookup(known_names, name);
    if (other_group != NULL) {
        ch_ini_set_error(ini, group, key, CH_DUPLICATE, error,
                         "the name '%s' is already used by [%s]", name,
                         other_group);
        g_free(group);
        return false;
    }
    g_hash_table_insert(known_names, g_strdup(name), group);
    return true;
}

/* Adds the names of a model's adapters to known_names, and checks that a model
 * with adapters states their memory. */
static bool
add_adapter_names(const struct ch_ini *ini, GHashTable *known_names,
                  const struct parsed_model *model, struct ch_error *error)
{
    char *group = g_strdup_printf("model %s", model->name);
    bool ok = true;
    for (size_t i = 0; ok && model->adapters[i] != NULL; i++) {
        const char *name = model->adapters[i];
        const char *other_group = g_hash_table_lookup(known_names, name);
        if (!ch_ini_check_name(name)) {
            ch_ini_set_error(ini, group, "adapters", CH_BAD_VALUE, error,
                             "'%s' is not a name", name);
            ok = false;
        }
        else if (other_group != NULL) {
            ch_ini_set_error(ini, group, "adapters", CH_DUPLICATE, error,
                             "the name '%s' is already used by [%s]", name,
                             other_group);
            ok = false;
        }
        else {
            g_hash_table_insert(known_names, g_strdup(name), g_strdup(group));
        }
    }
    if (ok && model->adapters[0] != NULL && model->adapter_memory_mb == 0) {
        ch_ini_set_error(
            ini, group, "adapter-memory-mb", CH_MISSING, error,
            "the key is missing; a model with adapters needs this key");
        ok = false;
    }
    g_free(group);
    return ok;
}

/* Checks that names are unique among models, adapters and services together: a
 * caller names any of these in the same field, and so does a trace. */
static bool
check_names(const struct ch_ini *ini, const struct parsed *parsed,
            struct ch_error *error)
{
    GHashTable *known_names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    bool ok = true;
    for (guint i = 0; ok && i < parsed->models->len; i++) {
        ok = add_name(
            ini, known_names, "model",
            g_array_index(parsed->models, struct parsed_model, i).name, NULL,
            error);
    }
    for (guint i = 0; ok && i < parsed->services->len; i++) {
        ok = add_name(
            ini, known_names, "service",
            g_array_index(parsed->services, struct ch_service, i).name, NULL,
            error);
    }
    for (guint i = 0; ok && i < parsed->models->len; i++) {
        ok = add_adapter_names(
            ini, known_names,
            &g_array_index(parsed->models, struct parsed_model, i), error);
    }
    g_hash_table_destroy(known_names);
    return ok;
}

/* See declaration_internal.h. */
int
declaration_find_name(const void *entries, size_t count, size_t size,
                      const char *name)
{
    const char *const key = name;
    const char *found = count == 0 ? NULL
                                   : bsearch(&key, entries, count, size,
                                             declaration_compare_by_name);
    return found == NULL
               ? -1
               : (int)((size_t)(found - (const char *)entries) / size);
}

/* True for the list "*", which stands for all entries. */
static bool
is_wildcard(char **names)
{
    return names[0] != NULL && strcmp(names[0], "*") == 0;
}

/* Sets marks[index] for each of the entries that are listed in names; fails
 * with BAD_VALUE for a name that isn't declared. */
static bool
mark_named(const struct ch_ini *ini, const char *group, const char *key,
           char **names, const GArray *entries, uint8_t *marks,
           struct ch_error *error)
{
    if (is_wildcard(names)) {
        memset(marks, 1, entries->len);
        return true;
    }
    size_t size = g_array_get_element_size((GArray *)entries);
    for (size_t i = 0; names[i] != NULL; i++) {
        int index =
            declaration_find_name(entries->data, entries->len, size, names[i]);
        if (index < 0) {
            ch_ini_set_error(ini, group, key, CH_BAD_VALUE, error,
                             "'%s' is not declared", names[i]);
            return false;
        }
        marks[index] = 1;
    }
    return true;
}

/* Checks a class that is selected by host and path: such a class needs a valid
 * path and the services that its requests are sent to. */
static bool
check_route(const struct ch_ini *ini, const struct parsed_class *class,
            const char *group, struct ch_error *error)
{
    if (class->path == NULL || class->path[0] != '/' ||
        !g_str_has_suffix(class->path, "/")) {
        ch_ini_set_error(ini, group, "path", CH_BAD_VALUE, error,
                         "a path must begin and end with a slash");
        return false;
    }
    if (class->shares == NULL || class->shares[0] == '\0') {
        ch_ini_set_error(
            ini, group, "shares", CH_MISSING, error,
            "a class with a host needs the shares of its services");
        return false;
    }
    return true;
}

/* Checks that a class has a latency target and models or services to use;
 * a class without a target, or without anything to use, would have no
 * effect. */
static bool
check_class(const struct ch_ini *ini, const struct parsed_class *class,
            const char *group, struct ch_error *error)
{
    if (class->first_token == 0 && class->between_tokens == 0 &&
        class->whole_answer == 0) {
        ch_ini_set_error(ini, group, "answer-ms", CH_MISSING, error,
                         "a class needs a target: first-token-ms, "
                         "between-tokens-ms or answer-ms");
        return false;
    }
    if (class->host != NULL) {
        return check_route(ini, class, group, error);
    }
    if (class->models[0] == NULL && class->services[0] == NULL) {
        ch_ini_set_error(ini, group, "models", CH_MISSING, error,
                         "a class needs models or services that it may use");
        return false;
    }
    if (is_wildcard(class->callers)) {
        ch_ini_set_error(ini, group, "callers", CH_BAD_VALUE, error,
                         "callers must be named one by one");
        return false;
    }
    return true;
}

/* ---- building ---- */

/* Copies the parsed models, services and limits into the declaration. */
static void
build_items(struct ch_declaration *declaration, const struct parsed *parsed)
{
    declaration->model_count = parsed->models->len;
    declaration->models = g_new0(struct ch_model, parsed->models->len);
    for (guint i = 0; i < parsed->models->len; i++) {
        const struct parsed_model *from =
            &g_array_index(parsed->models, struct parsed_model, i);
        struct ch_model *model = &declaration->models[i];
        model->name = g_strdup(from->name);
        model->memory_mb = from->memory_mb;
        model->adapters = g_strdupv(from->adapters);
        model->adapter_count = g_strv_length(from->adapters);
        model->adapter_memory_mb =
            model->adapter_count == 0 ? 0 : from->adapter_memory_mb;
        model->numbered_adapter_count = from->numbered_adapters;
        if (from->numbered_adapters > 0) {
            model->adapter_memory_mb = from->adapter_memory_mb;
        }
        model->load_time = from->load;
        declaration->adapter_count += model->adapter_count;
    }
    declaration->service_count = parsed->services->len;
    declaration->services = g_new0(struct ch_service, parsed->services->len);
    for (guint i = 0; i < parsed->services->len; i++) {
        const struct ch_service *from =
            &g_array_index(parsed->services, struct ch_service, i);
        declaration->services[i] = *from;
        declaration->services[i].name = g_strdup(from->name);
    }
    declaration->limits = parsed->limits;
}

/* Resolves for each model the names of the services that may load the model.
 */
static bool
build_model_services(const struct ch_ini *ini,
                     struct ch_declaration *declaration,
                     const struct parsed *parsed, struct ch_error *error)
{
    bool ok = true;
    for (guint i = 0; ok && i < parsed->models->len; i++) {
        const struct parsed_model *from =
            &g_array_index(parsed->models, struct parsed_model, i);
        struct ch_model *model = &declaration->models[i];
        char *group = g_strdup_printf("model %s", from->name);
        model->allowed_services =
            g_new0(uint8_t, MAX(parsed->services->len, 1));
        ok = mark_named(ini, group, "services", from->services,
                        parsed->services, model->allowed_services, error);
        g_free(group);
    }
    return ok;
}

/* Parses one SERVICE:WEIGHT of a class's shares. */
static bool
build_share(const struct ch_ini *ini, const char *group, const char *text,
            const struct parsed *parsed, struct ch_service_share *share,
            struct ch_error *error)
{
    const char *colon = strrchr(text, ':');
    guint64 weight = 0;
    if (colon == NULL || !g_ascii_string_to_unsigned(colon + 1, 10, 0, 1000000,
                                                     &weight, NULL)) {
        ch_ini_set_error(ini, group, "shares", CH_BAD_VALUE, error,
                         "'%s' is not SERVICE:WEIGHT", text);
        return false;
    }
    char *name = g_strndup(text, (size_t)(colon - text));
    share->weight = (unsigned)weight;
    share->service_index =
        declaration_find_name(parsed->services->data, parsed->services->len,
                              sizeof(struct ch_service), name);
    if (share->service_index < 0) {
        ch_ini_set_error(ini, group, "shares", CH_BAD_VALUE, error,
                         "'%s' is not declared", name);
    }
    g_free(name);
    return share->service_index >= 0;
}

/* Sets the members of a class that is selected by host and path; does nothing
 * for other classes. */
static bool
build_route(const struct ch_ini *ini, const char *group,
            struct ch_class *class, const struct parsed_class *from,
            const struct parsed *parsed, struct ch_error *error)
{
    if (from->host == NULL) {
        return true;
    }
    class->host = g_strdup(from->host);
    class->path_prefix = g_strdup(from->path);
    class->event_gap_target = from->gap;
    class->time_limit = from->time_limit;
    class->stream = from->stream;
    class->resumable = from->resumable;
    class->priority = from->priority;
    class->max_attempts = from->tries;
    char **parts = g_strsplit_set(from->shares, ",; ", -1);
    class->shares = g_new0(struct ch_service_share, g_strv_length(parts));
    bool ok = true;
    for (size_t i = 0; ok && parts[i] != NULL; i++) {
        if (parts[i][0] == '\0') {
            continue;
        }
        struct ch_service_share *share = &class->shares[class->share_count];
        ok = build_share(ini, group, parts[i], parsed, share, error);
        if (ok) {
            class->allowed_services[share->service_index] = 1;
            class->share_count++;
        }
    }
    g_strfreev(parts);
    return ok;
}

/* Builds the array of all adapters, sorted by name for look-ups. */
static void
build_adapters(struct ch_declaration *declaration)
{
    declaration->adapters =
        g_new0(struct ch_adapter, declaration->adapter_count);
    size_t index = 0;
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        for (size_t j = 0; j < model->adapter_count; j++) {
            declaration->adapters[index++] = (struct ch_adapter){
                .name = model->adapters[j],
                .model_index = (int)i,
                .adapter_index = (int)j,
            };
        }
    }
    if (index > 0) {
        qsort(declaration->adapters, index, sizeof(struct ch_adapter),
              declaration_compare_by_name);
    }
}

/* Checks a class and resolves its names of models and services. */
static bool
build_class(const struct ch_ini *ini, struct ch_class *class,
            const struct parsed_class *from, const struct parsed *parsed,
            struct ch_error *error)
{
    char *group = g_strdup_printf("class %s", from->name);
    class->name = g_strdup(from->name);
    class->first_token_target = from->first_token;
    class->token_target = from->between_tokens;
    class->response_target = from->whole_answer;
    class->idempotent = from->idempotent;
    class->public = from->public;
    class->allows_every_model = is_wildcard(from->models);
    class->allowed_models = g_new0(uint8_t, MAX(parsed->models->len, 1));
    class->allowed_services = g_new0(uint8_t, MAX(parsed->services->len, 1));
    bool ok = check_class(ini, from, group, error) &&
              mark_named(ini, group, "models", from->models, parsed->models,
                         class->allowed_models, error) &&
              mark_named(ini, group, "services", from->services,
                         parsed->services, class->allowed_services, error) &&
              build_route(ini, group, class, from, parsed, error);
    g_free(group);
    return ok;
}

/* Builds all classes; fails with DUPLICATE if two have the same name. */
static bool
build_classes(const struct ch_ini *ini, struct ch_declaration *declaration,
              const struct parsed *parsed, struct ch_error *error)
{
    declaration->class_count = parsed->classes->len;
    declaration->classes = g_new0(struct ch_class, parsed->classes->len);
    for (guint i = 0; i < parsed->classes->len; i++) {
        const struct parsed_class *from =
            &g_array_index(parsed->classes, struct parsed_class, i);
        ch_pool_yield(i);
        if (i > 0 && strcmp(from->name, from[-1].name) == 0) {
            char *group = g_strdup_printf("class %s", from->name);
            ch_ini_set_error(ini, group, NULL, CH_DUPLICATE, error,
                             "duplicate group");
            g_free(group);
            return false;
        }
        if (!build_class(ini, &declaration->classes[i], from, parsed, error)) {
            return false;
        }
    }
    return true;
}

/* Builds the sorted array of the callers of all classes; fails with DUPLICATE
 * if a caller is in two classes. */
static bool
build_callers(const struct ch_ini *ini, struct ch_declaration *declaration,
              const struct parsed *parsed, struct ch_error *error)
{
    GArray *callers = g_array_new(FALSE, TRUE, sizeof(struct ch_caller));
    for (guint i = 0; i < parsed->classes->len; i++) {
        char **names =
            g_array_index(parsed->classes, struct parsed_class, i).callers;
        for (size_t j = 0; names[j] != NULL; j++) {
            struct ch_caller caller = {g_strdup(names[j]), i};
            g_array_append_val(callers, caller);
        }
    }
    g_array_sort(callers, declaration_compare_by_name);
    declaration->caller_count = callers->len;
    declaration->callers =
        (struct ch_caller *)(void *)g_array_free(callers, FALSE);
    for (size_t i = 1; i < declaration->caller_count; i++) {
        const struct ch_caller *caller = &declaration->callers[i];
        if (strcmp(caller->name, caller[-1].name) == 0) {
            char *group = g_strdup_printf(
                "class %s", declaration->classes[caller->class_index].name);
            ch_ini_set_error(
                ini, group, "callers", CH_DUPLICATE, error,
                "'%s' is also a caller of class %s", caller->name,
                declaration->classes[caller[-1].class_index].name);
            g_free(group);
            return false;
        }
    }
    return true;
}

/* ---- canonical text ---- */

static void
append_group(GString *out, const char *kind, const char *name)
{
    g_string_append_c(out, '[');
    g_string_append(out, kind);
    g_string_append_c(out, ' ');
    g_string_append(out, name);
    g_string_append(out, "]\n");
}

/* Appends "key = milliseconds" unless the duration (microseconds) is 0. */
static void
append_milliseconds(GString *out, const char *key, int64_t duration)
{
    if (duration != 0) {
        ch_ini_append_count(out, key, (uint64_t)duration / 1000);
    }
}

/* Appends "key = a, b, c" unless the list is empty. */
static void
append_list(GString *out, const char *key, char **names)
{
    if (names[0] == NULL) {
        return;
    }
    char *joined = g_strjoinv(", ", names);
    ch_ini_append_text(out, key, joined);
    g_free(joined);
}

static void
append_flag(GString *out, const char *key, bool flag)
{
    ch_ini_append_text(out, key, flag_names[flag ? 1 : 0]);
}

/* Appends the keys that only a class selected by host and path has. */
static void
append_route(GString *out, const struct parsed_class *class)
{
    if (class->host == NULL) {
        return;
    }
    ch_ini_append_text(out, "host", class->host);
    ch_ini_append_text(out, "path", class->path);
    ch_ini_append_text(out, "shares", class->shares);
    append_flag(out, "stream", class->stream);
    append_flag(out, "resumable", class->resumable);
    ch_ini_append_number(out, "priority", class->priority);
    ch_ini_append_number(out, "tries", class->tries);
    append_milliseconds(out, "gap-ms", class->gap);
    append_milliseconds(out, "time-limit-ms", class->time_limit);
}

static void
append_service(GString *out, const struct ch_service *service)
{
    append_group(out, "service", service->name);
    ch_ini_append_number(out, "connections", service->max_connections);
    ch_ini_append_number(out, "batch", service->max_batch);
    ch_ini_append_number(out, "memory-mb", service->memory_mb);
    ch_ini_append_number(out, "context-tokens", service->context_tokens);
    ch_ini_append_number(out, "adapter-places", service->adapter_slots);
    ch_ini_append_number(out, "loads-per-s", service->loads_per_s);
    g_string_append_c(out, '\n');
}

/* Appends the group [limits] unless all limits are 0. */
static void
append_limits(GString *out, const struct ch_caller_limits *limits)
{
    if (limits->header_bytes == 0 && limits->body_bytes == 0 &&
        limits->header_time == 0 && limits->idle_time == 0) {
        return;
    }
    g_string_append(out, "[limits]\n");
    ch_ini_append_number(out, "header-bytes", (double)limits->header_bytes);
    ch_ini_append_number(out, "body-bytes", (double)limits->body_bytes);
    append_milliseconds(out, "header-ms", limits->header_time);
    append_milliseconds(out, "idle-ms", limits->idle_time);
    g_string_append_c(out, '\n');
}

/* Returns the canonical text as a new string: kinds, names, keys and lists
 * have a fixed order, and keys whose value is an empty list or 0, for none,
 * are left out. */
static char *
format_declaration(const struct ch_declaration *declaration,
                   const struct parsed *parsed)
{
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < parsed->classes->len; i++) {
        const struct parsed_class *class =
            &g_array_index(parsed->classes, struct parsed_class, i);
        ch_pool_yield(i);
        append_group(out, "class", class->name);
        append_milliseconds(out, "first-token-ms", class->first_token);
        append_milliseconds(out, "between-tokens-ms", class->between_tokens);
        append_milliseconds(out, "answer-ms", class->whole_answer);
        append_flag(out, "idempotent", class->idempotent);
        if (class->public) {
            append_flag(out, "public", true);
        }
        append_list(out, "models", class->models);
        append_list(out, "services", class->services);
        append_list(out, "callers", class->callers);
        append_route(out, class);
        g_string_append_c(out, '\n');
    }
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        append_group(out, "model", model->name);
        ch_ini_append_count(out, "memory-mb", model->memory_mb);
        append_list(out, "adapters", model->adapters);
        append_list(
            out, "services",
            g_array_index(parsed->models, struct parsed_model, i).services);
        ch_ini_append_number(out, "numbered-adapters",
                             model->numbered_adapter_count);
        append_milliseconds(out, "load-ms", model->load_time);
        if (model->adapter_count > 0 || model->numbered_adapter_count > 0) {
            ch_ini_append_count(out, "adapter-memory-mb",
                                model->adapter_memory_mb);
        }
        g_string_append_c(out, '\n');
    }
    for (size_t i = 0; i < declaration->service_count; i++) {
        append_service(out, &declaration->services[i]);
    }
    append_limits(out, &declaration->limits);
    if (parsed->access.requires_keys) {
        g_string_append(out, "[access]\n");
        append_flag(out, "require-keys", true);
        g_string_append_c(out, '\n');
    }
    declaration_teams_format(out, declaration);
    return g_string_free(out, FALSE);
}

/* ---- public functions ---- */

/* Parses and checks a declaration.  path names the source in error messages,
 * which also name the group and the key.  Returns NULL on an error; the caller
 * frees the declaration. */
struct ch_declaration *
ch_declaration_parse(const char *text, const char *path,
                     struct ch_error *error)
{
    struct ch_ini ini;
    if (!ch_ini_open(&ini, text, path, error)) {
        return NULL;
    }
    struct parsed parsed;
    parsed_init(&parsed);
    struct ch_declaration *declaration = g_new0(struct ch_declaration, 1);
    bool ok =
        read_groups(&ini, &parsed, error) && check_names(&ini, &parsed, error);
    if (ok) {
        build_items(declaration, &parsed);
        build_adapters(declaration);
        ok = build_model_services(&ini, declaration, &parsed, error) &&
             build_classes(&ini, declaration, &parsed, error) &&
             build_callers(&ini, declaration, &parsed, error) &&
             declaration_teams_build(&ini, declaration, parsed.teams, error);
        declaration->requires_keys =
            parsed.access.requires_keys || declaration->team_count > 0;
    }
    if (ok) {
        declaration->canonical_text = format_declaration(declaration, &parsed);
    }
    parsed_clear(&parsed);
    ch_ini_close(&ini);
    if (!ok) {
        ch_declaration_free(declaration);
        return NULL;
    }
    return declaration;
}

/* As ch_declaration_parse, for a file. */
struct ch_declaration *
ch_declaration_load(const char *path, struct ch_error *error)
{
    char *text = ch_ini_read_file(path, error);
    if (text == NULL) {
        return NULL;
    }
    struct ch_declaration *declaration =
        ch_declaration_parse(text, path, error);
    g_free(text);
    return declaration;
}

/* Frees a declaration, which may be incomplete or NULL. */
void
ch_declaration_free(struct ch_declaration *declaration)
{
    if (declaration == NULL) {
        return;
    }
    for (size_t i = 0; i < declaration->class_count; i++) {
        g_free(declaration->classes[i].name);
        g_free(declaration->classes[i].allowed_models);
        g_free(declaration->classes[i].allowed_services);
        g_free(declaration->classes[i].host);
        g_free(declaration->classes[i].path_prefix);
        g_free(declaration->classes[i].shares);
    }
    for (size_t i = 0; i < declaration->model_count; i++) {
        g_free(declaration->models[i].name);
        g_strfreev(declaration->models[i].adapters);
        g_free(declaration->models[i].allowed_services);
    }
    for (size_t i = 0; i < declaration->service_count; i++) {
        g_free(declaration->services[i].name);
    }
    for (size_t i = 0; i < declaration->caller_count; i++) {
        g_free(declaration->callers[i].name);
    }
    declaration_teams_free(declaration);
    g_free(declaration->classes);
    g_free(declaration->models);
    g_free(declaration->services);
    g_free(declaration->callers);
    g_free(declaration->adapters);
    g_free(declaration->canonical_text);
    g_free(declaration);
}

/* Index of a class, or -1. */
int
ch_declaration_find_class(const struct ch_declaration *declaration,
                          const char *name)
{
    return declaration_find_name(declaration->classes,
                                 declaration->class_count,
                                 sizeof(struct ch_class), name);
}

/* Index of a model, or -1; the name of an adapter gives -1. */
int
ch_declaration_find_model(const struct ch_declaration *declaration,
                          const char *name)
{
    return declaration_find_name(declaration->models, declaration->model_count,
                                 sizeof(struct ch_model), name);
}

/* Index of a service, or -1. */
int
ch_declaration_find_service(const struct ch_declaration *declaration,
                            const char *name)
{
    return declaration_find_name(declaration->services,
                                 declaration->service_count,
                                 sizeof(struct ch_service), name);
}

/* Index of the model that an adapter belongs to, or -1.  *adapter (unless
 * adapter is NULL) becomes the index among the adapters of that model. */
int
ch_declaration_find_adapter(const struct ch_declaration *declaration,
                            const char *name, int *adapter)
{
    int index = declaration_find_name(declaration->adapters,
                                      declaration->adapter_count,
                                      sizeof(struct ch_adapter), name);
    if (index < 0) {
        return -1;
    }
    if (adapter != NULL) {
        *adapter = declaration->adapters[index].adapter_index;
    }
    return declaration->adapters[index].model_index;
}

/* Index of the class declared for a caller, or -1. */
int
ch_declaration_find_caller_class(const struct ch_declaration *declaration,
                                 const char *caller)
{
    int index =
        declaration_find_name(declaration->callers, declaration->caller_count,
                              sizeof(struct ch_caller), caller);
    return index < 0 ? -1 : (int)declaration->callers[index].class_index;
}

/* See base.h.  A linear search is fast enough, as the search
 * compares hundreds of short strings, for about ten requests a second. */
int
ch_declaration_find_route(const struct ch_declaration *declaration,
                          const char *host, const char *path, size_t length)
{
    int best = -1;
    size_t best_length = 0;
    for (size_t i = 0; i < declaration->class_count; i++) {
        const struct ch_class *class = &declaration->classes[i];
        if (class->host == NULL ||
            g_ascii_strcasecmp(class->host, host) != 0) {
            continue;
        }
        size_t prefix = strlen(class->path_prefix);
        if (prefix > best_length && prefix <= length &&
            memcmp(class->path_prefix, path, prefix) == 0) {
            best = (int)i;
            best_length = prefix;
        }
    }
    return best;
}

/* See base.h. */
bool
ch_model_has_numbered_adapter(const struct ch_model *model, const char *name)
{
    guint64 number = 0;
    return name[0] == 'a' &&
           g_ascii_string_to_unsigned(
               name + 1, 10, 1, model->numbered_adapter_count, &number, NULL);
}
