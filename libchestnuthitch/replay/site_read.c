/* The site that a replay runs on: the groups of the INI that the platform
 * would report, read as strictly as the declaration beside them. */

#include "base/ini.h"
#include "replay/replay.h"

#include <string.h>

/* A group as the file has it, before its names are resolved. */
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

/* Groups without a name of their own. */
struct raw_rest {
    double loads_per_s;
    unsigned loads_parallel;
    unsigned adapters_parallel;
    double load_mb_per_s;
    int64_t adapter_least;
    int64_t adapter_most;
    double link_mbit;
    int64_t region_delay;
    unsigned data_centre_delay;
    unsigned token;
    unsigned token_per_request;
    double prefill_per_s;
    unsigned cache_tokens;
    unsigned prefix_tokens;
    int64_t report;
    int64_t service;
    unsigned token_bytes;
    bool fencing;
};

#define REGION(member) offsetof(struct raw_region, member)
#define CENTRE(member) offsetof(struct raw_data_centre, member)
#define UPSTREAM(member) offsetof(struct raw_upstream, member)
#define ENTRY(member) offsetof(struct raw_entry, member)
#define REST(member) offsetof(struct raw_rest, member)

static const char *const fencing_names[] = {"ignore", "refuse", NULL};

/* The ranges are those within which the model's arithmetic stays exact. */
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
    {"weight-store", "loads-per-s", CH_INI_DOUBLE, REST(loads_per_s), "1.5",
     0.001, 1000, NULL},
    {"weight-store", "parallel", CH_INI_UNSIGNED, REST(loads_parallel), "10",
     1, 10000, NULL},
    {"weight-store", "load-mb-per-s", CH_INI_DOUBLE, REST(load_mb_per_s),
     "2100", 1, 1000000, NULL},
    {"weight-store", "adapters-parallel", CH_INI_UNSIGNED,
     REST(adapters_parallel), "80", 1, 10000, NULL},
    {"weight-store", "adapter-least-ms", CH_INI_MILLISECONDS,
     REST(adapter_least), "6", 1, 60000, NULL},
    {"weight-store", "adapter-most-ms", CH_INI_MILLISECONDS,
     REST(adapter_most), "19", 1, 60000, NULL},
    {"link", "mbit-per-s", CH_INI_DOUBLE, REST(link_mbit), "30", 0.001, 100000,
     NULL},
    {"link", "region-ms", CH_INI_MILLISECONDS, REST(region_delay), "30", 0,
     10000, NULL},
    {"link", "data-centre-us", CH_INI_UNSIGNED, REST(data_centre_delay),
     "1500", 0, 10000000, NULL},
    {"engine", "token-us", CH_INI_UNSIGNED, REST(token), "20000", 1, 10000000,
     NULL},
    {"engine", "token-us-per-request", CH_INI_UNSIGNED,
     REST(token_per_request), "2600", 0, 10000000, NULL},
    {"engine", "prefill-tokens-per-s", CH_INI_DOUBLE, REST(prefill_per_s),
     "8000", 1, 10000000, NULL},
    {"engine", "prefix-cache-tokens", CH_INI_UNSIGNED, REST(cache_tokens),
     "200000", 0, 1000000000, NULL},
    {"engine", "prefix-tokens", CH_INI_UNSIGNED, REST(prefix_tokens), "256", 0,
     1000000, NULL},
    {"engine", "report-ms", CH_INI_MILLISECONDS, REST(report), "500", 1, 60000,
     NULL},
    {"engine", "service-ms", CH_INI_MILLISECONDS, REST(service), "40", 1,
     60000, NULL},
    {"engine", "bytes-per-token", CH_INI_UNSIGNED, REST(token_bytes), "200", 1,
     1000000, NULL},
    {"engine", "fencing", CH_INI_FLAG, REST(fencing), "ignore", 0, 0,
     fencing_names},
};

/* A kind of group with names: how large an entry of it is. */
struct kind {
    const char *section;
    size_t size;
    void (*clear)(void *entry);
};

/* Frees the strings of a region. */
static void
clear_region(void *entry)
{
    struct raw_region *region = entry;
    g_free(region->name);
    g_strfreev(region->callers);
}

/* Frees the strings of a data centre. */
static void
clear_data_centre(void *entry)
{
    struct raw_data_centre *centre = entry;
    g_free(centre->name);
    g_free(centre->region);
}

/* Frees the strings of an upstream. */
static void
clear_upstream(void *entry)
{
    struct raw_upstream *upstream = entry;
    g_free(upstream->name);
    g_free(upstream->data_centre);
    g_free(upstream->service);
}

/* Frees the strings of an entry host. */
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
    KINDS,
};

static const struct kind kinds[KINDS] = {
    {"region", sizeof(struct raw_region), clear_region},
    {"data-centre", sizeof(struct raw_data_centre), clear_data_centre},
    {"upstream", sizeof(struct raw_upstream), clear_upstream},
    {"entry", sizeof(struct raw_entry), clear_entry},
};

static const char *const plain_sections[] = {"weight-store", "link", "engine",
                                             NULL};

/* Order by name: every kind begins with its name. */
static int
compare_by_name(const void *a, const void *b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Appends one group to the entries of its kind. */
static bool
read_named(const struct ch_ini *ini, const char *group,
           const struct kind *kind, GArray *into, struct ch_error *error)
{
    const char *name = group + strlen(kind->section);
    name += strspn(name, " ");
    if (!ch_ini_name_check(name)) {
        ch_ini_fail(ini, group, NULL, CH_BAD_VALUE, error,
                    "not [%s NAME] with a name of A-Z a-z 0-9 . _ -",
                    kind->section);
        return false;
    }
    guint at = into->len;
    g_array_set_size(into, at + 1);
    char *entry = into->data + (size_t)at * kind->size;
    *(char **)entry = g_strdup(name);
    return ch_ini_known_keys(ini, group, kind->section, rows,
                             G_N_ELEMENTS(rows), error) &&
           ch_ini_fill(ini, group, kind->section, rows, G_N_ELEMENTS(rows),
                       entry, error);
}

/* Reads all groups of the site; those of the declaration are left alone. */
static bool
read_groups(const struct ch_ini *ini, GArray *entries[KINDS],
            struct ch_error *error)
{
    char **groups = g_key_file_get_groups(ini->file, NULL);
    bool fine = true;
    for (size_t i = 0; fine && groups[i] != NULL; i++) {
        char *section = g_strndup(groups[i], strcspn(groups[i], " "));
        for (size_t k = 0; fine && k < KINDS; k++) {
            if (strcmp(section, kinds[k].section) == 0) {
                fine =
                    read_named(ini, groups[i], &kinds[k], entries[k], error);
            }
        }
        g_free(section);
    }
    g_strfreev(groups);
    for (size_t k = 0; k < KINDS; k++) {
        g_array_sort(entries[k], compare_by_name);
    }
    return fine;
}

/* Reads the groups that stand once; a group left out has its defaults. */
static bool
read_rest(const struct ch_ini *ini, struct raw_rest *rest,
          struct ch_error *error)
{
    for (size_t i = 0; plain_sections[i] != NULL; i++) {
        const char *section = plain_sections[i];
        if (g_key_file_has_group(ini->file, section) &&
            !ch_ini_known_keys(ini, section, section, rows, G_N_ELEMENTS(rows),
                               error)) {
            return false;
        }
        if (!ch_ini_fill(ini, section, section, rows, G_N_ELEMENTS(rows), rest,
                         error)) {
            return false;
        }
    }
    return true;
}

/* The place of a name among entries, or -1 with an error for the group that
 * names it. */
static int
resolve(const struct ch_ini *ini, const GArray *entries,
        const struct kind *kind, const char *section, const char *owner,
        const char *name, struct ch_error *error)
{
    for (guint i = 0; i < entries->len; i++) {
        if (strcmp(*(char **)(entries->data + i * kind->size), name) == 0) {
            return (int)i;
        }
    }
    char *group = g_strdup_printf("%s %s", section, owner);
    ch_ini_fail(ini, group, kind->section, CH_BAD_VALUE, error,
                "there is no [%s %s]", kind->section, name);
    g_free(group);
    return -1;
}

/* Takes regions and data centres over. */
static bool
take_places(const struct ch_ini *ini, GArray *entries[KINDS],
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
        int region = resolve(ini, entries[KIND_REGION], &kinds[KIND_REGION],
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

/* Takes upstreams over, with their places. */
static bool
take_upstreams(const struct ch_ini *ini, GArray *entries[KINDS],
               struct ch_site *site, struct ch_error *error)
{
    size_t count = entries[KIND_UPSTREAM]->len;
    site->upstreams = g_new0(struct ch_site_upstream, count);
    for (size_t i = 0; i < count; i++) {
        const struct raw_upstream *raw =
            &g_array_index(entries[KIND_UPSTREAM], struct raw_upstream, i);
        int centre =
            resolve(ini, entries[KIND_DATA_CENTRE], &kinds[KIND_DATA_CENTRE],
                    "upstream", raw->name, raw->data_centre, error);
        if (centre < 0) {
            return false;
        }
        bool service = raw->service != NULL && raw->service[0] != '\0';
        if (!service && (raw->memory_mb == 0 || raw->accelerators == 0)) {
            char *group = g_strdup_printf("upstream %s", raw->name);
            ch_ini_fail(ini, group,
                        raw->memory_mb == 0 ? "memory-mb" : "accelerators",
                        CH_MISSING, error, "an engine needs it");
            g_free(group);
            return false;
        }
        site->upstreams[site->upstream_count++] = (struct ch_site_upstream){
            .name = g_strdup(raw->name),
            .data_centre = (size_t)centre,
            .service = service ? g_strdup(raw->service) : NULL,
            .memory_mb = raw->memory_mb,
            .accelerators = service ? 0 : raw->accelerators,
            .batch = raw->batch,
        };
    }
    return true;
}

/* Takes entry hosts over, with their places. */
static bool
take_entries(const struct ch_ini *ini, GArray *entries[KINDS],
             struct ch_site *site, struct ch_error *error)
{
    size_t count = entries[KIND_ENTRY]->len;
    site->entries = g_new0(struct ch_site_entry, count);
    for (size_t i = 0; i < count; i++) {
        const struct raw_entry *raw =
            &g_array_index(entries[KIND_ENTRY], struct raw_entry, i);
        int centre =
            resolve(ini, entries[KIND_DATA_CENTRE], &kinds[KIND_DATA_CENTRE],
                    "entry", raw->name, raw->data_centre, error);
        if (centre < 0) {
            return false;
        }
        site->entries[site->entry_count++] = (struct ch_site_entry){
            .name = g_strdup(raw->name), .data_centre = (size_t)centre};
    }
    return true;
}

/* Takes the single groups over. */
static void
take_rest(const struct raw_rest *rest, struct ch_site *site)
{
    site->engine = (struct ch_site_engine){
        .token = rest->token,
        .token_per_request = rest->token_per_request,
        .prefill_per_s = rest->prefill_per_s,
        .cache_tokens = rest->cache_tokens,
        .prefix_tokens = rest->prefix_tokens,
        .report = rest->report,
        .service = rest->service,
        .token_bytes = rest->token_bytes,
        .fencing = rest->fencing,
    };
    site->loads_per_s = rest->loads_per_s;
    site->loads_parallel = rest->loads_parallel;
    site->adapters_parallel = rest->adapters_parallel;
    site->load_mb_per_s = rest->load_mb_per_s;
    site->adapter_least = rest->adapter_least;
    site->adapter_most = MAX(rest->adapter_most, rest->adapter_least);
    site->link_mbit = rest->link_mbit;
    site->region_delay = rest->region_delay;
    site->data_centre_delay = rest->data_centre_delay;
}

/* A site needs an upstream to serve and an entry host to be asked. */
static bool
check_complete(const struct ch_ini *ini, const struct ch_site *site,
               struct ch_error *error)
{
    if (site->upstream_count == 0) {
        ch_ini_fail(ini, "upstream NAME", NULL, CH_MISSING, error,
                    "there is no upstream");
        return false;
    }
    if (site->entry_count == 0) {
        ch_ini_fail(ini, "entry NAME", NULL, CH_MISSING, error,
                    "there is no entry host");
        return false;
    }
    return true;
}

/* The site of an INI text, or NULL with an error that names path, group and
 * key. */
struct ch_site *
ch_site_parse(const char *text, const char *path, struct ch_error *error)
{
    struct ch_ini ini;
    if (!ch_ini_open(&ini, text, path, error)) {
        return NULL;
    }
    GArray *entries[KINDS];
    for (size_t k = 0; k < KINDS; k++) {
        entries[k] = g_array_new(FALSE, TRUE, (guint)kinds[k].size);
        g_array_set_clear_func(entries[k], kinds[k].clear);
    }
    struct raw_rest rest = {0};
    struct ch_site *site = g_new0(struct ch_site, 1);
    bool fine = read_groups(&ini, entries, error) &&
                read_rest(&ini, &rest, error) &&
                take_places(&ini, entries, site, error) &&
                take_upstreams(&ini, entries, site, error) &&
                take_entries(&ini, entries, site, error) &&
                check_complete(&ini, site, error);
    take_rest(&rest, site);
    for (size_t k = 0; k < KINDS; k++) {
        g_array_free(entries[k], TRUE);
    }
    ch_ini_close(&ini);
    if (!fine) {
        ch_site_free(site);
        return NULL;
    }
    return site;
}

/* The site of an INI file, or NULL with an error. */
struct ch_site *
ch_site_load(const char *path, struct ch_error *error)
{
    char *text = ch_ini_file_text(path, error);
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

/* Accelerators that are paid for, used or not. */
uint32_t
ch_site_accelerators(const struct ch_site *site)
{
    uint32_t sum = 0;
    for (size_t i = 0; i < site->upstream_count; i++) {
        sum += site->upstreams[i].accelerators;
    }
    return sum;
}
