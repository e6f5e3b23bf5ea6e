/* The operators' declaration: classes, models and services, read strictly. */

#include "base/base.h"
#include "base/ini.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A class as the file has it, before its names are resolved. */
struct raw_class {
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
};

/* A model as the file has it. */
struct raw_model {
    char *name;
    unsigned memory_mb;
    unsigned adapter_memory_mb;
    char **adapters;
    char **services;
    unsigned numbered_adapters;
    int64_t load;
};

/* The file's groups by kind, each in order of name. */
struct raw {
    GArray *classes;  /* struct raw_class */
    GArray *models;   /* struct raw_model */
    GArray *services; /* struct ch_service */
    struct ch_caller_limits limits;
};

static const char *const yes_names[] = {"false", "true", NULL};

#define CLASS(member) offsetof(struct raw_class, member)
#define MODEL(member) offsetof(struct raw_model, member)
#define SERVICE(member) offsetof(struct ch_service, member)
#define LIMIT(member) offsetof(struct ch_caller_limits, member)

/*
 * Targets: a millisecond to ten minutes for a first token, an hour for a whole
 * answer; beyond that a typing error is likelier than a wish.  0 in a default
 * stands for "none stated" and cannot be written.
 */
static const struct ch_ini_row rows[] = {
    {"class", "first-token-ms", CH_INI_MILLISECONDS, CLASS(first_token), "", 1,
     600000, NULL},
    {"class", "between-tokens-ms", CH_INI_MILLISECONDS, CLASS(between_tokens),
     "", 1, 60000, NULL},
    {"class", "answer-ms", CH_INI_MILLISECONDS, CLASS(whole_answer), "", 1,
     3600000, NULL},
    {"class", "idempotent", CH_INI_FLAG, CLASS(idempotent), "true", 0, 0,
     yes_names},
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
    {"class", "stream", CH_INI_FLAG, CLASS(stream), "false", 0, 0, yes_names},
    {"class", "resumable", CH_INI_FLAG, CLASS(resumable), "false", 0, 0,
     yes_names},
    {"class", "priority", CH_INI_UNSIGNED, CLASS(priority), "0", 0, 1000,
     NULL},
    {"class", "tries", CH_INI_UNSIGNED, CLASS(tries), "1", 1, 100, NULL},
    {"class", "gap-ms", CH_INI_MILLISECONDS, CLASS(gap), "", 1, 600000, NULL},
    {"class", "time-limit-ms", CH_INI_MILLISECONDS, CLASS(time_limit), "", 1,
     86400000, NULL},
    {"model", "services", CH_INI_LIST, MODEL(services), "", 0, 0, NULL},
    {"model", "numbered-adapters", CH_INI_UNSIGNED, MODEL(numbered_adapters),
     "0", 0, 100000, NULL},
    {"model", "load-ms", CH_INI_MILLISECONDS, MODEL(load), "", 0, 3600000,
     NULL},
    {"service", "connections", CH_INI_UNSIGNED, SERVICE(connections), "0", 0,
     1000000, NULL},
    {"service", "batch", CH_INI_UNSIGNED, SERVICE(batch), "0", 0, 100000,
     NULL},
    {"service", "memory-mb", CH_INI_UNSIGNED, SERVICE(memory_mb), "0", 0, 1e9,
     NULL},
    {"service", "context-tokens", CH_INI_UNSIGNED, SERVICE(context_tokens),
     "0", 0, 1e9, NULL},
    {"service", "adapter-places", CH_INI_UNSIGNED, SERVICE(adapter_places),
     "0", 0, 100000, NULL},
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
};

/* Groups of the platform, in the same file for replay: not ours to check. */
static const char *const site_sections[] = {
    "region",       "data-centre", "upstream", "entry",
    "weight-store", "link",        "engine",   NULL,
};

enum {
    /* Classes by host and path are made in hundreds by an operator's program;
     * counters beyond the first 96 are kept together. */
    MOST_CLASSES = 8192,
    /* Several times the largest fleet that is planned for. */
    MOST_MODELS = 8192,
    MOST_SERVICES = 1024,
};

/* ---- reading ---- */

/* Frees the strings of a class read so far. */
static void
clear_class(void *data)
{
    struct raw_class *class = data;
    g_free(class->name);
    g_strfreev(class->models);
    g_strfreev(class->services);
    g_strfreev(class->callers);
    g_free(class->host);
    g_free(class->path);
    g_free(class->shares);
}

/* Frees the strings of a model read so far. */
static void
clear_model(void *data)
{
    struct raw_model *model = data;
    g_free(model->name);
    g_strfreev(model->adapters);
    g_strfreev(model->services);
}

/* Frees a service's name. */
static void
clear_service(void *data)
{
    struct ch_service *service = data;
    g_free(service->name);
}

/* Order by name: every kind begins with its name. */
static int
compare_by_name(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Empty arrays. */
static void
raw_init(struct raw *raw)
{
    raw->classes = g_array_new(FALSE, TRUE, sizeof(struct raw_class));
    raw->models = g_array_new(FALSE, TRUE, sizeof(struct raw_model));
    raw->services = g_array_new(FALSE, TRUE, sizeof(struct ch_service));
    raw->limits = (struct ch_caller_limits){0};
    g_array_set_clear_func(raw->classes, clear_class);
    g_array_set_clear_func(raw->models, clear_model);
    g_array_set_clear_func(raw->services, clear_service);
}

/* Frees what was read. */
static void
raw_clear(struct raw *raw)
{
    g_array_free(raw->classes, TRUE);
    g_array_free(raw->models, TRUE);
    g_array_free(raw->services, TRUE);
}

/* The name of "[SECTION NAME]" in a new string, or NULL with an error. */
static char *
group_name(const struct ch_ini *ini, const char *group, const char *section,
           struct ch_error *error)
{
    const char *name = group + strlen(section);
    while (*name == ' ') {
        name++;
    }
    if (!ch_ini_name_check(name)) {
        ch_ini_fail(ini, group, NULL, CH_BAD_VALUE, error,
                    "not [%s NAME] with 1 to %d of A-Z a-z 0-9 . _ -", section,
                    (int)CH_INI_NAME_BYTES);
        return NULL;
    }
    return g_strdup(name);
}

/* Appends the group's entry to the array of its kind and fills it. */
static bool
read_entry(const struct ch_ini *ini, const char *group, const char *section,
           GArray *into, guint most, struct ch_error *error)
{
    char *name = group_name(ini, group, section, error);
    if (name == NULL) {
        return false;
    }
    if (into->len >= most) {
        ch_ini_fail(ini, group, NULL, CH_BAD_VALUE, error,
                    "more than %u groups of this kind", most);
        g_free(name);
        return false;
    }
    g_array_set_size(into, into->len + 1);
    char *entry =
        into->data + (size_t)(into->len - 1) * g_array_get_element_size(into);
    *(char **)entry = name;
    return ch_ini_known_keys(ini, group, section, rows, G_N_ELEMENTS(rows),
                             error) &&
           ch_ini_fill(ini, group, section, rows, G_N_ELEMENTS(rows), entry,
                       error);
}

/* Reads one group by its first word. */
static bool
read_group(const struct ch_ini *ini, const char *group, struct raw *raw,
           struct ch_error *error)
{
    char *section = g_strndup(group, strcspn(group, " "));
    bool fine = true;
    if (strcmp(section, "class") == 0) {
        fine =
            read_entry(ini, group, section, raw->classes, MOST_CLASSES, error);
    }
    else if (strcmp(section, "model") == 0) {
        fine =
            read_entry(ini, group, section, raw->models, MOST_MODELS, error);
    }
    else if (strcmp(section, "service") == 0) {
        fine = read_entry(ini, group, section, raw->services, MOST_SERVICES,
                          error);
    }
    else if (strcmp(group, "limits") == 0) {
        fine = ch_ini_known_keys(ini, group, section, rows, G_N_ELEMENTS(rows),
                                 error) &&
               ch_ini_fill(ini, group, section, rows, G_N_ELEMENTS(rows),
                           &raw->limits, error);
    }
    else if (!g_strv_contains(site_sections, section)) {
        ch_ini_fail(ini, group, NULL, CH_UNKNOWN_GROUP, error,
                    "no such group");
        fine = false;
    }
    g_free(section);
    return fine;
}

/* Reads every group and puts each kind in order of name. */
static bool
read_groups(const struct ch_ini *ini, struct raw *raw, struct ch_error *error)
{
    char **groups = g_key_file_get_groups(ini->file, NULL);
    bool fine = true;
    for (size_t i = 0; fine && groups[i] != NULL; i++) {
        fine = read_group(ini, groups[i], raw, error);
        ch_pool_give_way(i);
    }
    g_strfreev(groups);
    if (fine && raw->classes->len == 0) {
        ch_ini_fail(ini, "class NAME", NULL, CH_MISSING, error,
                    "there is no class");
        fine = false;
    }
    g_array_sort(raw->classes, compare_by_name);
    g_array_sort(raw->models, compare_by_name);
    g_array_sort(raw->services, compare_by_name);
    return fine;
}

/* ---- checks between groups ---- */

/* Notes a name; false with DUPLICATE when the name stood before.  "[model a]"
 * and "[model  a]" are two groups and one name, hence also within a kind. */
static bool
note_name(const struct ch_ini *ini, GHashTable *seen, const char *section,
          const char *name, const char *key, struct ch_error *error)
{
    char *group = g_strdup_printf("%s %s", section, name);
    const char *before = g_hash_table_lookup(seen, name);
    if (before != NULL) {
        ch_ini_fail(ini, group, key, CH_DUPLICATE, error,
                    "the name '%s' is that of [%s] too", name, before);
        g_free(group);
        return false;
    }
    g_hash_table_insert(seen, g_strdup(name), group);
    return true;
}

/* Notes the names of a model's adapters. */
static bool
note_adapters(const struct ch_ini *ini, GHashTable *seen,
              const struct raw_model *model, struct ch_error *error)
{
    char *group = g_strdup_printf("model %s", model->name);
    bool fine = true;
    for (size_t i = 0; fine && model->adapters[i] != NULL; i++) {
        const char *name = model->adapters[i];
        const char *before = g_hash_table_lookup(seen, name);
        if (!ch_ini_name_check(name)) {
            ch_ini_fail(ini, group, "adapters", CH_BAD_VALUE, error,
                        "'%s' is not a name", name);
            fine = false;
        }
        else if (before != NULL) {
            ch_ini_fail(ini, group, "adapters", CH_DUPLICATE, error,
                        "the name '%s' is that of [%s] too", name, before);
            fine = false;
        }
        else {
            g_hash_table_insert(seen, g_strdup(name), g_strdup(group));
        }
    }
    if (fine && model->adapters[0] != NULL && model->adapter_memory_mb == 0) {
        ch_ini_fail(ini, group, "adapter-memory-mb", CH_MISSING, error,
                    "the key is missing; the model has adapters");
        fine = false;
    }
    g_free(group);
    return fine;
}

/* Models, adapters and services share one space of names: a caller names any
 * of them in the same field, and so does a trace. */
static bool
check_names(const struct ch_ini *ini, const struct raw *raw,
            struct ch_error *error)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    bool fine = true;
    for (guint i = 0; fine && i < raw->models->len; i++) {
        fine = note_name(ini, seen, "model",
                         g_array_index(raw->models, struct raw_model, i).name,
                         NULL, error);
    }
    for (guint i = 0; fine && i < raw->services->len; i++) {
        fine =
            note_name(ini, seen, "service",
                      g_array_index(raw->services, struct ch_service, i).name,
                      NULL, error);
    }
    for (guint i = 0; fine && i < raw->models->len; i++) {
        fine = note_adapters(ini, seen,
                             &g_array_index(raw->models, struct raw_model, i),
                             error);
    }
    g_hash_table_destroy(seen);
    return fine;
}

/* Place of a name in an array of entries that begin with their name. */
static int
find_name(const void *entries, size_t count, size_t size, const char *name)
{
    const char *const key = name;
    const char *found =
        count == 0 ? NULL
                   : bsearch(&key, entries, count, size, compare_by_name);
    return found == NULL
               ? -1
               : (int)((size_t)(found - (const char *)entries) / size);
}

/* True for the list "*". */
static bool
is_star(char **names)
{
    return names[0] != NULL && strcmp(names[0], "*") == 0;
}

/* Marks, by index, the entries that a class names; false with BAD_VALUE for
 * a name that is not declared. */
static bool
mark(const struct ch_ini *ini, const char *group, const char *key,
     char **names, const GArray *entries, uint8_t *marks,
     struct ch_error *error)
{
    if (is_star(names)) {
        memset(marks, 1, entries->len);
        return true;
    }
    size_t size = g_array_get_element_size((GArray *)entries);
    for (size_t i = 0; names[i] != NULL; i++) {
        int at = find_name(entries->data, entries->len, size, names[i]);
        if (at < 0) {
            ch_ini_fail(ini, group, key, CH_BAD_VALUE, error,
                        "'%s' is not declared", names[i]);
            return false;
        }
        marks[at] = 1;
    }
    return true;
}

/* A class that is chosen by host and path names the services it goes to. */
static bool
check_route(const struct ch_ini *ini, const struct raw_class *class,
            const char *group, struct ch_error *error)
{
    if (class->path == NULL || class->path[0] != '/' ||
        !g_str_has_suffix(class->path, "/")) {
        ch_ini_fail(ini, group, "path", CH_BAD_VALUE, error,
                    "a path begins and ends with a slash");
        return false;
    }
    if (class->shares == NULL || class->shares[0] == '\0') {
        ch_ini_fail(ini, group, "shares", CH_MISSING, error,
                    "a class with a host names the shares of its services");
        return false;
    }
    return true;
}

/* A class has a target and something to use, or it means nothing. */
static bool
check_class(const struct ch_ini *ini, const struct raw_class *class,
            const char *group, struct ch_error *error)
{
    if (class->first_token == 0 && class->between_tokens == 0 &&
        class->whole_answer == 0) {
        ch_ini_fail(ini, group, "answer-ms", CH_MISSING, error,
                    "a class states a target: first-token-ms, "
                    "between-tokens-ms or answer-ms");
        return false;
    }
    if (class->host != NULL) {
        return check_route(ini, class, group, error);
    }
    if (class->models[0] == NULL && class->services[0] == NULL) {
        ch_ini_fail(ini, group, "models", CH_MISSING, error,
                    "a class names the models or services that it may use");
        return false;
    }
    if (is_star(class->callers)) {
        ch_ini_fail(ini, group, "callers", CH_BAD_VALUE, error,
                    "callers are named one by one");
        return false;
    }
    return true;
}

/* ---- building ---- */

/* Moves the read models and services into the declaration. */
static void
build_items(struct ch_declaration *declaration, const struct raw *raw)
{
    declaration->model_count = raw->models->len;
    declaration->models = g_new0(struct ch_model, raw->models->len);
    for (guint i = 0; i < raw->models->len; i++) {
        const struct raw_model *from =
            &g_array_index(raw->models, struct raw_model, i);
        struct ch_model *model = &declaration->models[i];
        model->name = g_strdup(from->name);
        model->memory_mb = from->memory_mb;
        model->adapters = g_strdupv(from->adapters);
        model->adapter_count = g_strv_length(from->adapters);
        model->adapter_memory_mb =
            model->adapter_count == 0 ? 0 : from->adapter_memory_mb;
        model->numbered_adapters = from->numbered_adapters;
        if (from->numbered_adapters > 0) {
            model->adapter_memory_mb = from->adapter_memory_mb;
        }
        model->load = from->load;
        declaration->adapter_count += model->adapter_count;
    }
    declaration->service_count = raw->services->len;
    declaration->services = g_new0(struct ch_service, raw->services->len);
    for (guint i = 0; i < raw->services->len; i++) {
        const struct ch_service *from =
            &g_array_index(raw->services, struct ch_service, i);
        declaration->services[i] = *from;
        declaration->services[i].name = g_strdup(from->name);
    }
    declaration->limits = raw->limits;
}

/* Resolves the services that may hold each model. */
static bool
build_model_services(const struct ch_ini *ini,
                     struct ch_declaration *declaration, const struct raw *raw,
                     struct ch_error *error)
{
    bool fine = true;
    for (guint i = 0; fine && i < raw->models->len; i++) {
        const struct raw_model *from =
            &g_array_index(raw->models, struct raw_model, i);
        struct ch_model *model = &declaration->models[i];
        char *group = g_strdup_printf("model %s", from->name);
        model->services = g_new0(uint8_t, MAX(raw->services->len, 1));
        fine = mark(ini, group, "services", from->services, raw->services,
                    model->services, error);
        g_free(group);
    }
    return fine;
}

/* Resolves one "NAME:WEIGHT" of a class's shares. */
static bool
build_share(const struct ch_ini *ini, const char *group, const char *text,
            const struct raw *raw, struct ch_share *share,
            struct ch_error *error)
{
    const char *colon = strrchr(text, ':');
    guint64 weight = 0;
    if (colon == NULL || !g_ascii_string_to_unsigned(colon + 1, 10, 0, 1000000,
                                                     &weight, NULL)) {
        ch_ini_fail(ini, group, "shares", CH_BAD_VALUE, error,
                    "'%s' is not SERVICE:WEIGHT", text);
        return false;
    }
    char *name = g_strndup(text, (size_t)(colon - text));
    share->weight = (unsigned)weight;
    share->service = find_name(raw->services->data, raw->services->len,
                               sizeof(struct ch_service), name);
    if (share->service < 0) {
        ch_ini_fail(ini, group, "shares", CH_BAD_VALUE, error,
                    "'%s' is not declared", name);
    }
    g_free(name);
    return share->service >= 0;
}

/* Fills in what a class that is chosen by host and path has. */
static bool
build_route(const struct ch_ini *ini, const char *group,
            struct ch_class *class, const struct raw_class *from,
            const struct raw *raw, struct ch_error *error)
{
    if (from->host == NULL) {
        return true;
    }
    class->host = g_strdup(from->host);
    class->path = g_strdup(from->path);
    class->gap = from->gap;
    class->time_limit = from->time_limit;
    class->stream = from->stream;
    class->resumable = from->resumable;
    class->priority = from->priority;
    class->tries = from->tries;
    char **parts = g_strsplit_set(from->shares, ",; ", -1);
    class->shares = g_new0(struct ch_share, g_strv_length(parts));
    bool fine = true;
    for (size_t i = 0; fine && parts[i] != NULL; i++) {
        if (parts[i][0] == '\0') {
            continue;
        }
        struct ch_share *share = &class->shares[class->share_count];
        fine = build_share(ini, group, parts[i], raw, share, error);
        if (fine) {
            class->services[share->service] = 1;
            class->share_count++;
        }
    }
    g_strfreev(parts);
    return fine;
}

/* Makes the index by which adapters are found. */
static void
build_adapters(struct ch_declaration *declaration)
{
    declaration->adapters =
        g_new0(struct ch_adapter, declaration->adapter_count);
    size_t at = 0;
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        for (size_t j = 0; j < model->adapter_count; j++) {
            declaration->adapters[at++] = (struct ch_adapter){
                .name = model->adapters[j],
                .model = (int)i,
                .index = (int)j,
            };
        }
    }
    if (at > 0) {
        qsort(declaration->adapters, at, sizeof(struct ch_adapter),
              compare_by_name);
    }
}

/* Resolves one class against the models and services. */
static bool
build_class(const struct ch_ini *ini, struct ch_class *class,
            const struct raw_class *from, const struct raw *raw,
            struct ch_error *error)
{
    char *group = g_strdup_printf("class %s", from->name);
    class->name = g_strdup(from->name);
    class->first_token = from->first_token;
    class->between_tokens = from->between_tokens;
    class->whole_answer = from->whole_answer;
    class->idempotent = from->idempotent;
    class->every_model = is_star(from->models);
    class->models = g_new0(uint8_t, MAX(raw->models->len, 1));
    class->services = g_new0(uint8_t, MAX(raw->services->len, 1));
    bool fine = check_class(ini, from, group, error) &&
                mark(ini, group, "models", from->models, raw->models,
                     class->models, error) &&
                mark(ini, group, "services", from->services, raw->services,
                     class->services, error) &&
                build_route(ini, group, class, from, raw, error);
    g_free(group);
    return fine;
}

/* Resolves every class. */
static bool
build_classes(const struct ch_ini *ini, struct ch_declaration *declaration,
              const struct raw *raw, struct ch_error *error)
{
    declaration->class_count = raw->classes->len;
    declaration->classes = g_new0(struct ch_class, raw->classes->len);
    for (guint i = 0; i < raw->classes->len; i++) {
        const struct raw_class *from =
            &g_array_index(raw->classes, struct raw_class, i);
        ch_pool_give_way(i);
        if (i > 0 && strcmp(from->name, from[-1].name) == 0) {
            char *group = g_strdup_printf("class %s", from->name);
            ch_ini_fail(ini, group, NULL, CH_DUPLICATE, error,
                        "the group stands twice");
            g_free(group);
            return false;
        }
        if (!build_class(ini, &declaration->classes[i], from, raw, error)) {
            return false;
        }
    }
    return true;
}

/* Gathers the callers of all classes; a caller has one class. */
static bool
build_callers(const struct ch_ini *ini, struct ch_declaration *declaration,
              const struct raw *raw, struct ch_error *error)
{
    GArray *callers = g_array_new(FALSE, TRUE, sizeof(struct ch_caller));
    for (guint i = 0; i < raw->classes->len; i++) {
        char **names =
            g_array_index(raw->classes, struct raw_class, i).callers;
        for (size_t j = 0; names[j] != NULL; j++) {
            struct ch_caller caller = {g_strdup(names[j]), i};
            g_array_append_val(callers, caller);
        }
    }
    g_array_sort(callers, compare_by_name);
    declaration->caller_count = callers->len;
    declaration->callers =
        (struct ch_caller *)(void *)g_array_free(callers, FALSE);
    for (size_t i = 1; i < declaration->caller_count; i++) {
        const struct ch_caller *caller = &declaration->callers[i];
        if (strcmp(caller->name, caller[-1].name) == 0) {
            char *group = g_strdup_printf(
                "class %s", declaration->classes[caller->class_index].name);
            ch_ini_fail(ini, group, "callers", CH_DUPLICATE, error,
                        "'%s' is a caller of class %s too", caller->name,
                        declaration->classes[caller[-1].class_index].name);
            g_free(group);
            return false;
        }
    }
    return true;
}

/* ---- canonical text ---- */

/* Appends "[kind name]". */
static void
print_group(GString *out, const char *kind, const char *name)
{
    g_string_append_c(out, '[');
    g_string_append(out, kind);
    g_string_append_c(out, ' ');
    g_string_append(out, name);
    g_string_append(out, "]\n");
}

/* Appends "key = milliseconds" of a target that is stated. */
static void
print_target(GString *out, const char *key, int64_t target)
{
    if (target != 0) {
        ch_ini_put_count(out, key, (uint64_t)target / 1000);
    }
}

/* Appends "key = a, b, c" unless the list is empty. */
static void
print_list(GString *out, const char *key, char **names)
{
    if (names[0] == NULL) {
        return;
    }
    char *joined = g_strjoinv(", ", names);
    ch_ini_put_text(out, key, joined);
    g_free(joined);
}

/* Appends "key = number" unless it is 0. */
static void
print_number(GString *out, const char *key, double number)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    if (number <= 0) {
        return;
    }
    if (number < 1e9 && number == floor(number)) {
        ch_ini_put_count(out, key, (uint64_t)number);
        return;
    }
    ch_ini_put_text(out, key,
                    g_ascii_formatd(text, sizeof(text), "%.10g", number));
}

/* Appends "key = true" or "key = false". */
static void
print_flag(GString *out, const char *key, bool flag)
{
    ch_ini_put_text(out, key, yes_names[flag ? 1 : 0]);
}

/* Appends what a class that is chosen by host and path has. */
static void
print_route(GString *out, const struct raw_class *class)
{
    if (class->host == NULL) {
        return;
    }
    ch_ini_put_text(out, "host", class->host);
    ch_ini_put_text(out, "path", class->path);
    ch_ini_put_text(out, "shares", class->shares);
    print_flag(out, "stream", class->stream);
    print_flag(out, "resumable", class->resumable);
    print_number(out, "priority", class->priority);
    print_number(out, "tries", class->tries);
    print_target(out, "gap-ms", class->gap);
    print_target(out, "time-limit-ms", class->time_limit);
}

/* Appends a service's group. */
static void
print_service(GString *out, const struct ch_service *service)
{
    print_group(out, "service", service->name);
    print_number(out, "connections", service->connections);
    print_number(out, "batch", service->batch);
    print_number(out, "memory-mb", service->memory_mb);
    print_number(out, "context-tokens", service->context_tokens);
    print_number(out, "adapter-places", service->adapter_places);
    print_number(out, "loads-per-s", service->loads_per_s);
    g_string_append_c(out, '\n');
}

/* Appends the callers' limits, if there are any. */
static void
print_limits(GString *out, const struct ch_caller_limits *limits)
{
    if (limits->header_bytes == 0 && limits->body_bytes == 0 &&
        limits->header_time == 0 && limits->idle_time == 0) {
        return;
    }
    g_string_append(out, "[limits]\n");
    print_number(out, "header-bytes", (double)limits->header_bytes);
    print_number(out, "body-bytes", (double)limits->body_bytes);
    print_target(out, "header-ms", limits->header_time);
    print_target(out, "idle-ms", limits->idle_time);
    g_string_append_c(out, '\n');
}

/* The canonical text: kinds, names, keys and lists in one order, defaults
 * left out where they say nothing. */
static char *
print_declaration(const struct ch_declaration *declaration,
                  const struct raw *raw)
{
    GString *out = g_string_new(NULL);
    for (guint i = 0; i < raw->classes->len; i++) {
        const struct raw_class *class =
            &g_array_index(raw->classes, struct raw_class, i);
        ch_pool_give_way(i);
        print_group(out, "class", class->name);
        print_target(out, "first-token-ms", class->first_token);
        print_target(out, "between-tokens-ms", class->between_tokens);
        print_target(out, "answer-ms", class->whole_answer);
        print_flag(out, "idempotent", class->idempotent);
        print_list(out, "models", class->models);
        print_list(out, "services", class->services);
        print_list(out, "callers", class->callers);
        print_route(out, class);
        g_string_append_c(out, '\n');
    }
    for (size_t i = 0; i < declaration->model_count; i++) {
        const struct ch_model *model = &declaration->models[i];
        print_group(out, "model", model->name);
        ch_ini_put_count(out, "memory-mb", model->memory_mb);
        print_list(out, "adapters", model->adapters);
        print_list(out, "services",
                   g_array_index(raw->models, struct raw_model, i).services);
        print_number(out, "numbered-adapters", model->numbered_adapters);
        print_target(out, "load-ms", model->load);
        if (model->adapter_count > 0 || model->numbered_adapters > 0) {
            ch_ini_put_count(out, "adapter-memory-mb",
                             model->adapter_memory_mb);
        }
        g_string_append_c(out, '\n');
    }
    for (size_t i = 0; i < declaration->service_count; i++) {
        print_service(out, &declaration->services[i]);
    }
    print_limits(out, &declaration->limits);
    return g_string_free(out, FALSE);
}

/* ---- the interface ---- */

/* A declaration from INI text, checked; path is what errors call it.  NULL
 * with an error that names file, group and key. */
struct ch_declaration *
ch_declaration_parse(const char *text, const char *path,
                     struct ch_error *error)
{
    struct ch_ini ini;
    if (!ch_ini_open(&ini, text, path, error)) {
        return NULL;
    }
    struct raw raw;
    raw_init(&raw);
    struct ch_declaration *declaration = g_new0(struct ch_declaration, 1);
    bool fine =
        read_groups(&ini, &raw, error) && check_names(&ini, &raw, error);
    if (fine) {
        build_items(declaration, &raw);
        build_adapters(declaration);
        fine = build_model_services(&ini, declaration, &raw, error) &&
               build_classes(&ini, declaration, &raw, error) &&
               build_callers(&ini, declaration, &raw, error);
    }
    if (fine) {
        declaration->text = print_declaration(declaration, &raw);
    }
    raw_clear(&raw);
    ch_ini_close(&ini);
    if (!fine) {
        ch_declaration_free(declaration);
        return NULL;
    }
    return declaration;
}

/* ch_declaration_parse of a file. */
struct ch_declaration *
ch_declaration_load(const char *path, struct ch_error *error)
{
    char *text = ch_ini_file_text(path, error);
    if (text == NULL) {
        return NULL;
    }
    struct ch_declaration *declaration =
        ch_declaration_parse(text, path, error);
    g_free(text);
    return declaration;
}

/* Frees a declaration, also one that is half built; NULL is nothing. */
void
ch_declaration_free(struct ch_declaration *declaration)
{
    if (declaration == NULL) {
        return;
    }
    for (size_t i = 0; i < declaration->class_count; i++) {
        g_free(declaration->classes[i].name);
        g_free(declaration->classes[i].models);
        g_free(declaration->classes[i].services);
        g_free(declaration->classes[i].host);
        g_free(declaration->classes[i].path);
        g_free(declaration->classes[i].shares);
    }
    for (size_t i = 0; i < declaration->model_count; i++) {
        g_free(declaration->models[i].name);
        g_strfreev(declaration->models[i].adapters);
        g_free(declaration->models[i].services);
    }
    for (size_t i = 0; i < declaration->service_count; i++) {
        g_free(declaration->services[i].name);
    }
    for (size_t i = 0; i < declaration->caller_count; i++) {
        g_free(declaration->callers[i].name);
    }
    g_free(declaration->classes);
    g_free(declaration->models);
    g_free(declaration->services);
    g_free(declaration->callers);
    g_free(declaration->adapters);
    g_free(declaration->text);
    g_free(declaration);
}

/* Index of a class, or -1. */
int
ch_declaration_class(const struct ch_declaration *declaration,
                     const char *name)
{
    return find_name(declaration->classes, declaration->class_count,
                     sizeof(struct ch_class), name);
}

/* Index of a model, or -1; adapters are not among them. */
int
ch_declaration_model(const struct ch_declaration *declaration,
                     const char *name)
{
    return find_name(declaration->models, declaration->model_count,
                     sizeof(struct ch_model), name);
}

/* Index of a plain service, or -1. */
int
ch_declaration_service(const struct ch_declaration *declaration,
                       const char *name)
{
    return find_name(declaration->services, declaration->service_count,
                     sizeof(struct ch_service), name);
}

/* Index of the model that an adapter belongs to, or -1; *adapter (may be
 * NULL) is its place among the model's adapters. */
int
ch_declaration_adapter(const struct ch_declaration *declaration,
                       const char *name, int *adapter)
{
    int at = find_name(declaration->adapters, declaration->adapter_count,
                       sizeof(struct ch_adapter), name);
    if (at < 0) {
        return -1;
    }
    if (adapter != NULL) {
        *adapter = declaration->adapters[at].index;
    }
    return declaration->adapters[at].model;
}

/* Index of the class declared for a caller, or -1. */
int
ch_declaration_caller_class(const struct ch_declaration *declaration,
                            const char *caller)
{
    int at = find_name(declaration->callers, declaration->caller_count,
                       sizeof(struct ch_caller), caller);
    return at < 0 ? -1 : (int)declaration->callers[at].class_index;
}

/* See base.h.  All classes are looked at: hundreds of comparisons of short
 * strings, for some ten requests a second. */
int
ch_declaration_route(const struct ch_declaration *declaration,
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
        size_t prefix = strlen(class->path);
        if (prefix > best_length && prefix <= length &&
            memcmp(class->path, path, prefix) == 0) {
            best = (int)i;
            best_length = prefix;
        }
    }
    return best;
}

/* See base.h. */
bool
ch_declaration_numbered(const struct ch_model *model, const char *name)
{
    guint64 number = 0;
    return name[0] == 'a' &&
           g_ascii_string_to_unsigned(name + 1, 10, 1,
                                      model->numbered_adapters, &number, NULL);
}
