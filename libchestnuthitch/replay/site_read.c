/* Reads the site of a replay: the INI groups that describe machines and links.
 * They are checked as strictly as the groups of the declaration, which are in
 * the same file. */

#include "base/ini.h"
#include "replay/replay.h"

#include <string.h>

/* Groups as read from the file, before names are resolved to indexes. */
struct raw_region {
    char *name;
    int64_t client_delay;
    char **callers;
};

struct raw_data_centre {
    char *name;
    char *region;
};

struct raw_upstream {
    char *name;
    char *data_centre;
    char *service;
    unsigned memory_mb;
    unsigned accelerators;
    unsigned batch;
};

struct raw_entry {
    char *name;
    char *data_centre;
};

/* The groups that have no name and occur at most once. */
struct raw_unnamed {
    double loads_per_s;
    unsigned max_parallel_loads;
    unsigned max_parallel_adapter_loads;
    double load_mb_per_s;
    int64_t min_adapter_load_time;
    int64_t max_adapter_load_time;
    double link_mbit_per_s;
    int64_t region_delay;
    unsigned data_centre_delay;
    unsigned token_time;
    unsigned token_time_per_request;
    double prefill_tokens_per_s;
    unsigned cache_tokens;
    unsigned prefix_tokens;
    int64_t report_period;
    int64_t mean_service_time;
    unsigned token_bytes;
    bool fencing;
};

#define REGION(member) offsetof(struct raw_region, member)
#define CENTRE(member) offsetof(struct raw_data_centre, member)
#define UPSTREAM(member) offsetof(struct raw_upstream, member)
#define ENTRY(member) offsetof(struct raw_entry, member)
#define UNNAMED(member) offsetof(struct raw_unnamed, member)

static const char *const fencing_names[] = {"ignore", "refuse", NULL};

/* Within these ranges the arithmetic of the simulation stays exact. */
static const struct ch_ini_row rows[] = {
    {"region", "client-ms", CH_INI_MILLISECONDS, REGION(client_delay), "3", 0,
     1000, NULL},
    {"region", "callers", CH_INI_LIST, REGION(callers), "", 0, 0, NULL},
    {"data-centre", "region", CH_INI_NAME, CENTRE(region), NULL, 0, 0, NULL},
    {"upstream", "data-centre", CH_INI_NAME, UPSTREAM(data_centre), NULL, 0, 0,
     NULL},
    {"upstream", "service", CH_INI_NAME, UPSTREAM(service), "", 0, 0, NULL},
    {"upstream", "memory-mb", CH_INI_UNSIGNED, UPSTREAM(memory_mb), "0", 0,
     16777216, NULL},
    {"upstream", "accelerators", CH_INI_UNSIGNED, UPSTREAM(accelerators), "0",
     0, 64, NULL},
    {"upstream", "batch", CH_INI_UNSIGNED, UPSTREAM(batch), NULL, 1, 1024,
     NULL},
    {"entry", "data-centre", CH_INI_NAME, ENTRY(data_centre), NULL, 0, 0,
     NULL},
    {"weight-store", "loads-per-s", CH_INI_DOUBLE, UNNAMED(loads_per_s), "1.5",
     0.001, 1000, NULL},
    {"weight-store", "parallel", CH_INI_UNSIGNED, UNNAMED(max_parallel_loads),
     "10", 1, 10000, NULL},
    {"weight-store", "load-mb-per-s", CH_INI_DOUBLE, UNNAMED(load_mb_per_s),
     "2100", 1, 1000000, NULL},
    {"weight-store", "adapters-parallel", CH_INI_UNSIGNED,
     UNNAMED(max_parallel_adapter_loads), "80", 1, 10000, NULL},
    {"weight-store", "adapter-least-ms", CH_INI_MILLISECONDS,
     UNNAMED(min_adapter_load_time), "6", 1, 60000, NULL},
    {"weight-store", "adapter-most-ms", CH_INI_MILLISECONDS,
     UNNAMED(max_adapter_load_time), "19", 1, 60000, NULL},
    {"link", "mbit-per-s", CH_INI_DOUBLE, UNNAMED(link_mbit_per_s), "30",
     0.001, 100000, NULL},
    {"link", "region-ms", CH_INI_MILLISECONDS, UNNAMED(region_delay), "30", 0,
     10000, NULL},
    {"link", "data-centre-us", CH_INI_UNSIGNED, UNNAMED(data_centre_delay),
     "1500", 0, 10000000, NULL},
    {"engine", "token-us", CH_INI_UNSIGNED, UNNAMED(token_time), "20000", 1,
     10000000, NULL},
    {"engine", "token-us-per-request", CH_INI_UNSIGNED,
     UNNAMED(token_time_per_request), "2600", 0, 10000000, NULL},
    {"engine", "prefill-tokens-per-s", CH_INI_DOUBLE,
     UNNAMED(prefill_tokens_per_s), "8000", 1, 10000000, NULL},
    {"engine", "prefix-cache-tokens", CH_INI_UNSIGNED, UNNAMED(cache_tokens),
     "200000", 0, 1000000000, NULL},
    {"engine", "prefix-tokens", CH_INI_UNSIGNED, UNNAMED(prefix_tokens), "256",
     0, 1000000, NULL},
    {"engine", "report-ms", CH_INI_MILLISECONDS, UNNAMED(report_period), "500",
     1, 60000, NULL},
    {"engine", "service-ms", CH_INI_MILLISECONDS, UNNAMED(mean_service_time),
     "40", 1, 60000, NULL},
    {"engine", "bytes-per-token", CH_INI_UNSIGNED, UNNAMED(token_bytes), "200",
     1, 1000000, NULL},
    {"engine", "fencing", CH_INI_FLAG, UNNAMED(fencing), "ignore", 0, 0,
     fencing_names},
};

/* A kind of named group, with the size of its struct. */
struct group_kind {
    const char *section;
    size_t size;
    void (*clear)(void *entry);
};

static void
clear_region(void *entry)
{
    struct raw_region *region = entry;
    g_free(region->name);
    g_strfreev(region->callers);
}

static void
clear_data_centre(void *entry)
{
    struct raw_data_centre *centre = entry;
    g_free(centre->name);
    g_free(centre->region);
}

static void
clear_upstream(void *entry)
{
    struct raw_upstream *upstream = entry;
    g_free(upstream->name);
    g_free(upstream->data_centre);
    g_free(upstream->service);
}

static void
clear_entry(void *entry)
{
    struct raw_entry *host = entry;
    g_free(host->name);
    g_free(host->data_centre);
}

enum {
    KIND_REGION,
    KIND_DATA_CENTRE,
    KIND_UPSTREAM,
    KIND_ENTRY,
    KIND_COUNT,
};

static const struct group_kind group_kinds[KIND_COUNT] = {
    {"region", sizeof(struct raw_region), clear_region},
    {"data-centre", sizeof(struct raw_data_centre), clear_data_centre},
    {"upstream", sizeof(struct raw_upstream), clear_upstream},
    {"entry", sizeof(struct raw_entry), clear_entry},
};

static const char *const unnamed_sections[] = {"weight-store", "link",
                                               "engine", NULL};

/* Compares groups by name, which is the first member of every kind. */
static int
compare_by_name(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Reads a named group and appends it to the entries of its kind. */
static bool
read_named(const struct ch_ini *ini, const char *group,
           const struct group_kind *group_kind, GArray *into,
           struct ch_error *error)
{
    const char *name = group + strlen(group_kind->section);
    name += strspn(name, " ");
    if (!ch_ini_check_name(name)) {
        ch_ini_set_error(ini, group, NULL, CH_BAD_VALUE, error,
                         "not [%s NAME] with a name of A-Z a-z 0-9 . _ -",
                         group_kind->section);
        return false;
    }
    guint at = into->len;
    g_array_set_size(into, at + 1);
    char *entry = into->data + (size_t)at * group_kind->size;
    *(char **)entry = g_strdup(name);
    return ch_ini_check_keys(ini, group, group_kind->section, rows,
                             G_N_ELEMENTS(rows), error) &&
           ch_ini_read_group(ini, group, group_kind->section, rows,
                             G_N_ELEMENTS(rows), entry, error);
}

/* Reads all named groups of the site, sorted by name.  Groups of the
 * declaration are skipped. */
static bool
read_groups(const struct ch_ini *ini, GArray *entries[KIND_COUNT],
            struct ch_error *error)
{
    char **groups = g_key_file_get_groups(ini->file, NULL);
    bool fine = true;
    for (size_t i = 0; fine && groups[i] != NULL; i++) {
        char *section = g_strndup(groups[i], strcspn(groups[i], " "));
        for (size_t k = 0; fine && k < KIND_COUNT; k++) {
            if (strcmp(section, group_kinds[k].section) == 0) {
                fine = read_named(ini, groups[i], &group_kinds[k], entries[k],
                                  error);
            }
        }
        g_free(section);
    }
    g_strfreev(groups);
    for (size_t k = 0; k < KIND_COUNT; k++) {
        g_array_sort(entries[k], compare_by_name);
    }
    return fine;
}

/* Reads the groups without a name.  A group that is absent has the default
 * values. */
static bool
read_unnamed(const struct ch_ini *ini, struct raw_unnamed *unnamed,
             struct ch_error *error)
{
    for (size_t i = 0; unnamed_sections[i] != NULL; i++) {
        const char *section = unnamed_sections[i];
        if (g_key_file_has_group(ini->file, section) &&
            !ch_ini_check_keys(ini, section, section, rows, G_N_ELEMENTS(rows),
                               error)) {
            return false;
        }
        if (!ch_ini_read_group(ini, section, section, rows, G_N_ELEMENTS(rows),
                               unnamed, error)) {
            return false;
        }
    }
    return true;
}

/* Returns the index of a name among entries; -1 with an error for the group
 * that refers to it. */
static int
find_index(const struct ch_ini *ini, const GArray *entries,
           const struct group_kind *group_kind, const char *section,
           const char *group_name, const char *name, struct ch_error *error)
{
    for (guint i = 0; i < entries->len; i++) {
        if (strcmp(*(char **)(entries->data + i * group_kind->size), name) ==
            0) {
            return (int)i;
        }
    }
    char *group = g_strdup_printf("%s %s", section, group_name);
    ch_ini_set_error(ini, group, group_kind->section, CH_BAD_VALUE, error,
                     "there is no [%s %s]", group_kind->section, name);
    g_free(group);
    return -1;
}

/* Adds regions and data centres to the site. */
static bool
add_places(const struct ch_ini *ini, GArray *entries[KIND_COUNT],
           struct ch_site *site, struct ch_error *error)
{
    site->region_count = entries[KIND_REGION]->len;
    site->regions = g_new0(struct ch_site_region, site->region_count);
    for (size_t i = 0; i < site->region_count; i++) {
        struct raw_region *raw =
            &g_array_index(entries[KIND_REGION], struct raw_region, i);
        site->regions[i] = (struct ch_site_region){
            .name = g_steal_pointer(&raw->name),
            .client_delay = raw->client_delay,
            .callers = g_steal_pointer(&raw->callers),
        };
        raw->name = g_strdup(site->regions[i].name);
    }
    size_t count = entries[KIND_DATA_CENTRE]->len;
    site->data_centres = g_new0(struct ch_site_data_centre, count);
    for (size_t i = 0; i < count; i++) {
        const struct raw_data_centre *raw = &g_array_index(
            entries[KIND_DATA_CENTRE], struct raw_data_centre, i);
        int region =
            find_index(ini, entries[KIND_REGION], &group_kinds[KIND_REGION],
                       "data-centre", raw->name, raw->region, error);
        if (region < 0) {
            return false;
        }
        site->data_centres[site->data_centre_count++] =
            (struct ch_site_data_centre){.name = g_strdup(raw->name),
                                         .region = (size_t)region};
    }
    return true;
}

/* Adds upstreams to the site, with the indexes of their data centres. */
static bool
add_upstreams(const struct ch_ini *ini, GArray *entries[KIND_COUNT],
              struct ch_site *site, struct ch_error *error)
{
    size_t count = entries[KIND_UPSTREAM]->len;
    site->upstreams = g_new0(struct ch_site_upstream, count);
    for (size_t i = 0; i < count; i++) {
        const struct raw_upstream *raw =
            &g_array_index(entries[KIND_UPSTREAM], struct raw_upstream, i);
        int centre = find_index(ini, entries[KIND_DATA_CENTRE],
                                &group_kinds[KIND_DATA_CENTRE], "upstream",
                                raw->name, raw->data_centre, error);
        if (centre < 0) {
            return false;
        }
        bool service = raw->service != NULL && raw->service[0] != '\0';
        if (!service && (raw->memory_mb == 0 || raw->accelerators == 0)) {
            char *group = g_strdup_printf("upstream %s", raw->name);
            ch_ini_set_error(
                ini, group, raw->memory_mb == 0 ? "memory-mb" : "accelerators",
                CH_MISSING, error, "required for an engine");
            g_free(group);
            return false;
        }
        site->upstreams[site->upstream_count++] = (struct ch_site_upstream){
            .name = g_strdup(raw->name),
            .data_centre = (size_t)centre,
            .service = service ? g_strdup(raw->service) : NULL,
            .memory_mb = raw->memory_mb,
            .accelerators = service ? 0 : raw->accelerators,
            .max_batch = raw->batch,
        };
    }
    return true;
}

/* Adds entry nodes to the site, with the indexes of their data centres. */
static bool
add_entries(const struct ch_ini *ini, GArray *entries[KIND_COUNT],
            struct ch_site *site, struct ch_error *error)
{
    size_t count = entries[KIND_ENTRY]->len;
    site->entries = g_new0(struct ch_site_entry, count);
    for (size_t i = 0; i < count; i++) {
        const struct raw_entry *raw =
            &g_array_index(entries[KIND_ENTRY], struct raw_entry, i);
        int centre = find_index(ini, entries[KIND_DATA_CENTRE],
                                &group_kinds[KIND_DATA_CENTRE], "entry",
                                raw->name, raw->data_centre, error);
        if (centre < 0) {
            return false;
        }
        site->entries[site->entry_count++] = (struct ch_site_entry){
            .name = g_strdup(raw->name), .data_centre = (size_t)centre};
    }
    return true;
}

/* Sets the site's values from the groups without a name. */
static void
set_unnamed(const struct raw_unnamed *unnamed, struct ch_site *site)
{
    site->engine = (struct ch_site_engine){
        .token_time = unnamed->token_time,
        .token_time_per_request = unnamed->token_time_per_request,
        .prefill_tokens_per_s = unnamed->prefill_tokens_per_s,
        .cache_tokens = unnamed->cache_tokens,
        .prefix_tokens = unnamed->prefix_tokens,
        .report_period = unnamed->report_period,
        .mean_service_time = unnamed->mean_service_time,
        .token_bytes = unnamed->token_bytes,
        .fencing = unnamed->fencing,
    };
    site->loads_per_s = unnamed->loads_per_s;
    site->max_parallel_loads = unnamed->max_parallel_loads;
    site->max_parallel_adapter_loads = unnamed->max_parallel_adapter_loads;
    site->load_mb_per_s = unnamed->load_mb_per_s;
    site->min_adapter_load_time = unnamed->min_adapter_load_time;
    site->max_adapter_load_time =
        MAX(unnamed->max_adapter_load_time, unnamed->min_adapter_load_time);
    site->link_mbit_per_s = unnamed->link_mbit_per_s;
    site->region_delay = unnamed->region_delay;
    site->data_centre_delay = unnamed->data_centre_delay;
}

/* A site needs an upstream, which serves requests, and an entry node, which
 * accepts them. */
static bool
check_complete(const struct ch_ini *ini, const struct ch_site *site,
               struct ch_error *error)
{
    if (site->upstream_count == 0) {
        ch_ini_set_error(ini, "upstream NAME", NULL, CH_MISSING, error,
                         "there is no upstream");
        return false;
    }
    if (site->entry_count == 0) {
        ch_ini_set_error(ini, "entry NAME", NULL, CH_MISSING, error,
                         "there is no entry host");
        return false;
    }
    return true;
}

/* Reads a site from an INI text.  The caller frees it; NULL with an error that
 * names path, group and key. */
struct ch_site *
ch_site_parse(const char *text, const char *path, struct ch_error *error)
{
    struct ch_ini ini;
    if (!ch_ini_open(&ini, text, path, error)) {
        return NULL;
    }
    GArray *entries[KIND_COUNT];
    for (size_t k = 0; k < KIND_COUNT; k++) {
        entries[k] = g_array_new(FALSE, TRUE, (guint)group_kinds[k].size);
        g_array_set_clear_func(entries[k], group_kinds[k].clear);
    }
    struct raw_unnamed unnamed = {0};
    struct ch_site *site = g_new0(struct ch_site, 1);
    bool fine = read_groups(&ini, entries, error) &&
                read_unnamed(&ini, &unnamed, error) &&
                add_places(&ini, entries, site, error) &&
                add_upstreams(&ini, entries, site, error) &&
                add_entries(&ini, entries, site, error) &&
                check_complete(&ini, site, error);
    set_unnamed(&unnamed, site);
    for (size_t k = 0; k < KIND_COUNT; k++) {
        g_array_free(entries[k], TRUE);
    }
    ch_ini_close(&ini);
    if (!fine) {
        ch_site_free(site);
        return NULL;
    }
    return site;
}

/* Reads a site from an INI file.  The caller frees it; NULL with an error. */
struct ch_site *
ch_site_load(const char *path, struct ch_error *error)
{
    char *text = ch_ini_read_file(path, error);
    if (text == NULL) {
        return NULL;
    }
    struct ch_site *site = ch_site_parse(text, path, error);
    g_free(text);
    return site;
}

/* Frees a site; NULL is fine. */
void
ch_site_free(struct ch_site *site)
{
    if (site == NULL) {
        return;
    }
    for (size_t i = 0; i < site->region_count; i++) {
        g_free(site->regions[i].name);
        g_strfreev(site->regions[i].callers);
    }
    for (size_t i = 0; i < site->data_centre_count; i++) {
        g_free(site->data_centres[i].name);
    }
    for (size_t i = 0; i < site->upstream_count; i++) {
        g_free(site->upstreams[i].name);
        g_free(site->upstreams[i].service);
    }
    for (size_t i = 0; i < site->entry_count; i++) {
        g_free(site->entries[i].name);
    }
    g_free(site->regions);
    g_free(site->data_centres);
    g_free(site->upstreams);
    g_free(site->entries);
    g_free(site);
}

/* Returns the number of accelerators of all engines, used or not, since all of
 * them are paid for. */
uint32_t
ch_site_count_accelerators(const struct ch_site *site)
{
    uint32_t sum = 0;
    for (size_t i = 0; i < site->upstream_count; i++) {
        sum += site->upstreams[i].accelerators;
    }
    return sum;
}
