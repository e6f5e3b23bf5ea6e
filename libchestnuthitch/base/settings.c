/* Settings of a node: the table of all groups and keys, and their checks. */

#include "base/base.h"
#include "base/ini.h"

#include <string.h>

static const char *const level_names[] = {"err",  "warning", "notice",
                                          "info", "debug",   NULL};
static const char *const platform_names[] = {"own", "users", NULL};
static const char *const fencing_names[] = {"ignore", "refuse", NULL};
static const char *const switch_names[] = {"on", "off", NULL};
static const char *const overload_names[] = {"auto", "on", "off", NULL};

#define SETTING(member) offsetof(struct ch_settings, member)
#define POLICY_SWITCH(key, member)                                            \
    {                                                                         \
        "policy", key, CH_INI_FLAG, SETTING(disabled_features.member), "on",  \
            0, 0, switch_names                                                \
    }

/*
 * The ranges keep one mistyped digit from stopping the service: no connect,
 * first-byte, stall, peer or idle timeout can be zero, and no buffer can
 * exceed the memory of a small host.  For choices, min is the enum value of
 * the first choice; for addresses, the lowest port allowed.
 */
static const struct ch_ini_row rows[] = {
    {"node", "name", CH_INI_NAME, SETTING(name), NULL, 0, 0, NULL},
    {"node", "region", CH_INI_NAME, SETTING(region), NULL, 0, 0, NULL},
    {"node", "data-centre", CH_INI_NAME, SETTING(data_centre), NULL, 0, 0,
     NULL},
    {"node", "data-centres", CH_INI_SHARES, SETTING(data_centres), "", 0, 0,
     NULL},
    {"node", "workers", CH_INI_UNSIGNED, SETTING(workers), "4", 1, 256, NULL},
    {"node", "log-level", CH_INI_CHOICE, SETTING(log_level), "info",
     CH_LOG_ERR, 0, level_names},
    {"node", "cores", CH_INI_DOUBLE, SETTING(cores), "1", 0.001, 1024, NULL},
    {"node", "link-mbit", CH_INI_DOUBLE, SETTING(host_link_mbit_per_s), "1000",
     0.1, 1000000, NULL},
    {"listen", "callers", CH_INI_ADDRESS, SETTING(callers), NULL, 0, 0, NULL},
    {"listen", "admin", CH_INI_ADDRESS, SETTING(admin), NULL, 0, 0, NULL},
    {"listen", "peers", CH_INI_ADDRESS, SETTING(peers), NULL, 0, 0, NULL},
    {"listen", "relay", CH_INI_ADDRESS, SETTING(relay), "", 0, 0, NULL},
    {"listen", "ready-path", CH_INI_TEXT, SETTING(ready_path), "/readyz", 0, 0,
     NULL},
    {"platform", "kind", CH_INI_CHOICE, SETTING(platform), "own",
     CH_PLATFORM_OWN, 0, platform_names},
    {"platform", "kv", CH_INI_ADDRESS, SETTING(kv), NULL, 1, 0, NULL},
    {"platform", "hosts", CH_INI_ADDRESS, SETTING(hosts), NULL, 1, 0, NULL},
    {"platform", "list-ms", CH_INI_UNSIGNED, SETTING(host_list_period_ms),
     "1000", 50, 60000, NULL},
    {"platform", "kv-timeout-ms", CH_INI_UNSIGNED, SETTING(kv_timeout_ms),
     "1000", 50, 60000, NULL},
    {"upstreams", "fencing", CH_INI_FLAG, SETTING(fencing), "ignore", 0, 0,
     fencing_names},
    {"upstreams", "lease-ms", CH_INI_UNSIGNED, SETTING(lease_ms), "3000", 500,
     600000, NULL},
    {"upstreams", "drain-ms", CH_INI_UNSIGNED, SETTING(upstream_drain_ms),
     "3000", 1000, 600000, NULL},
    {"upstreams", "report-ms", CH_INI_UNSIGNED, SETTING(report_period_ms),
     "500", 50, 60000, NULL},
    {"once", "slots", CH_INI_UNSIGNED, SETTING(once_slots), "64", 1, 65536,
     NULL},
    {"once", "gather-ms", CH_INI_UNSIGNED, SETTING(once_batch_delay_ms), "5",
     0, 1000, NULL},
    {"once", "keep-s", CH_INI_UNSIGNED, SETTING(once_retention_s), "86400", 60,
     2592000, NULL},
    {"limits", "body-bytes", CH_INI_SIZE, SETTING(max_body_bytes), "1048576",
     1024, 67108864, NULL},
    {"limits", "header-bytes", CH_INI_SIZE, SETTING(max_header_bytes), "16384",
     1024, 1048576, NULL},
    /* At least the largest plain response (CH_EXCHANGE_MAX_RESPONSE_BYTES). */
    {"limits", "unsent-bytes", CH_INI_SIZE, SETTING(max_unsent_bytes),
     "33554432", 16777216, 68719476736.0, NULL},
    {"limits", "upstream-bytes", CH_INI_SIZE, SETTING(max_upstream_bytes), "0",
     0, 68719476736.0, NULL},
    {"limits", "queue", CH_INI_UNSIGNED, SETTING(max_queue_length), "1000", 1,
     100000, NULL},
    {"limits", "connections", CH_INI_UNSIGNED, SETTING(max_connections),
     "4096", 8, 16384, NULL},
    {"limits", "retry-share", CH_INI_DOUBLE, SETTING(retry_share), "0.1", 0, 1,
     NULL},
    {"limits", "retry-slack", CH_INI_DOUBLE, SETTING(retry_slack), "20", 0,
     100000, NULL},
    {"limits", "crashes", CH_INI_UNSIGNED, SETTING(crash_limit), "3", 1, 100,
     NULL},
    {"limits", "crash-requests", CH_INI_UNSIGNED, SETTING(max_crash_requests),
     "1024", 16, 65536, NULL},
    {"limits", "crash-keep-s", CH_INI_UNSIGNED, SETTING(crash_retention_s),
     "3600", 60, 2592000, NULL},
    {"quota", "window-s", CH_INI_DOUBLE, SETTING(quota_window_s), "8", 0.1,
     3600, NULL},
    {"quota", "overshoot", CH_INI_DOUBLE, SETTING(quota_overshoot), "0.1", 0,
     10, NULL},
    {"quota", "slack", CH_INI_DOUBLE, SETTING(quota_slack), "20", 0, 1e9,
     NULL},
    {"weight-store", "loads-per-s", CH_INI_DOUBLE, SETTING(loads_per_s), "1.5",
     0.001, 10000, NULL},
    {"weight-store", "parallel", CH_INI_UNSIGNED, SETTING(max_parallel_loads),
     "10", 1, 10000, NULL},
    {"weight-store", "window-s", CH_INI_DOUBLE, SETTING(load_window_s), "5", 1,
     3600, NULL},
    {"weight-store", "overshoot", CH_INI_DOUBLE, SETTING(load_overshoot), "1",
     0.1, 100, NULL},
    {"weight-store", "adapters-parallel", CH_INI_UNSIGNED,
     SETTING(max_parallel_adapter_loads), "80", 1, 100000, NULL},
    {"link", "mbit-per-s", CH_INI_DOUBLE, SETTING(region_link_mbit_per_s),
     "30", 0, 1000000, NULL},
    {"timeouts", "connect-ms", CH_INI_UNSIGNED, SETTING(connect_ms), "500", 10,
     60000, NULL},
    {"timeouts", "first-byte-ms", CH_INI_UNSIGNED, SETTING(first_byte_ms),
     "1500", 10, 600000, NULL},
    {"timeouts", "stall-ms", CH_INI_UNSIGNED, SETTING(stall_ms), "1500", 10,
     600000, NULL},
    {"timeouts", "peer-silent-ms", CH_INI_UNSIGNED, SETTING(peer_timeout_ms),
     "800", 50, 60000, NULL},
    {"timeouts", "idle-connection-ms", CH_INI_UNSIGNED,
     SETTING(idle_connection_ms), "10000", 100, 3600000, NULL},
    {"timeouts", "grace-ms", CH_INI_UNSIGNED, SETTING(grace_ms), "0", 0,
     3600000, NULL},
    {"timeouts", "drain-ms", CH_INI_UNSIGNED, SETTING(drain_ms), "3000", 0,
     600000, NULL},
    {"overload", "control", CH_INI_CHOICE, SETTING(overload_control), "auto",
     CH_OVERLOAD_AUTO, 0, overload_names},
    {"overload", "terms", CH_INI_TEXT, SETTING(overload_terms), "", 0, 0,
     NULL},
    {"overload", "on-terms", CH_INI_TEXT, SETTING(overload_on_terms), "", 0, 0,
     NULL},
    POLICY_SWITCH("whole-fleet", fleet_wide_search),
    POLICY_SWITCH("several-victims", several_evictions),
    POLICY_SWITCH("move-apart", spread_last_replicas),
    POLICY_SWITCH("near-copies", local_copies_first),
    POLICY_SWITCH("pledges", reservations),
    POLICY_SWITCH("adapters-ahead", preload_adapters),
    POLICY_SWITCH("wait-for-model", wait_for_model),
    POLICY_SWITCH("refuse-late", refuse_late),
    POLICY_SWITCH("pace-prompts", defer_prompts),
    POLICY_SWITCH("learnt-speeds", measured_service_times),
    POLICY_SWITCH("quota-pools", quota_pools),
    POLICY_SWITCH("upstream-pace", upstream_pace),
    POLICY_SWITCH("stream-pauses", stream_pauses),
    POLICY_SWITCH("room-shares", room_shares),
    POLICY_SWITCH("quota-ranks", quota_ranks),
};

static bool
is_known_group(const char *group)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (strcmp(rows[i].section, group) == 0) {
            return true;
        }
    }
    return false;
}

/* Rejects unknown groups and keys. */
static bool
check_groups(const struct ch_ini *ini, struct ch_error *error)
{
    char **groups = g_key_file_get_groups(ini->file, NULL);
    bool ok = true;
    for (size_t i = 0; ok && groups[i] != NULL; i++) {
        ok = is_known_group(groups[i]);
        if (!ok) {
            ch_ini_set_error(ini, groups[i], NULL, CH_UNKNOWN_GROUP, error,
                             "no such group");
            break;
        }
        ok = ch_ini_check_keys(ini, groups[i], groups[i], rows,
                               G_N_ELEMENTS(rows), error);
    }
    g_strfreev(groups);
    return ok;
}

/* Checks that every group with a required key is present. */
static bool
check_required_groups(const struct ch_ini *ini, struct ch_error *error)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (rows[i].default_text == NULL &&
            !g_key_file_has_group(ini->file, rows[i].section)) {
            ch_ini_set_error(ini, rows[i].section, NULL, CH_MISSING, error,
                             "the group is missing; its key '%s' is required",
                             rows[i].key);
            return false;
        }
    }
    return true;
}

/* Reads all groups.  The rows of a group follow each other in the table, so a
 * group is read once. */
static bool
read_groups(const struct ch_ini *ini, struct ch_settings *settings,
            struct ch_error *error)
{
    const char *section = "";
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (strcmp(rows[i].section, section) == 0) {
            continue;
        }
        section = rows[i].section;
        if (!ch_ini_read_group(ini, section, section, rows, G_N_ELEMENTS(rows),
                               settings, error)) {
            return false;
        }
    }
    return true;
}

/* True if two listeners can't both be bound: they have the same port, and the
 * same IP address or 0.0.0.0, which stands for all addresses.  Port 0 never
 * clashes, as the kernel picks a free port each time. */
static bool
addresses_clash(const char *a, const char *b)
{
    const char *port_a = strrchr(a, ':') + 1;
    const char *port_b = strrchr(b, ':') + 1;
    guint64 port_number_a = g_ascii_strtoull(port_a, NULL, 10);
    guint64 port_number_b = g_ascii_strtoull(port_b, NULL, 10);
    if (port_number_a == 0 || port_number_a != port_number_b) {
        return false;
    }
    return g_str_has_prefix(a, "0.0.0.0:") ||
           g_str_has_prefix(b, "0.0.0.0:") ||
           ((port_a - a) == (port_b - b) &&
            strncmp(a, b, (size_t)(port_a - a)) == 0);
}

/* Rejects listeners that share an address: the second would fail to bind, or
 * callers would reach the operators' endpoints. */
static bool
check_listeners(const struct ch_ini *ini, const struct ch_settings *settings,
                struct ch_error *error)
{
    const char *const keys[] = {"callers", "admin", "peers", "relay"};
    const char *const values[] = {settings->callers, settings->admin,
                                  settings->peers, settings->relay};
    size_t count = G_N_ELEMENTS(keys) - (settings->relay == NULL ? 1 : 0);
    for (size_t i = 0; i < count; i++) {
        for (size_t j = 0; j < i; j++) {
            if (addresses_clash(values[i], values[j])) {
                ch_ini_set_error(ini, "listen", keys[i], CH_DUPLICATE, error,
                                 "'%s' is also the address of %s", values[i],
                                 keys[j]);
                return false;
            }
        }
    }
    return true;
}

/* Parses and checks settings.  path names the source in error messages,
 * which also name the group and the key.  Returns NULL on an error; the caller
 * frees the settings. */
struct ch_settings *
ch_settings_parse(const char *text, const char *path, struct ch_error *error)
{
    struct ch_ini ini;
    if (!ch_ini_open(&ini, text, path, error)) {
        return NULL;
    }
    struct ch_settings *settings = g_new0(struct ch_settings, 1);
    bool ok = check_groups(&ini, error) &&
              check_required_groups(&ini, error) &&
              read_groups(&ini, settings, error) &&
              check_listeners(&ini, settings, error);
    ch_ini_close(&ini);
    if (!ok) {
        ch_settings_free(settings);
        return NULL;
    }
    return settings;
}

/* As ch_settings_parse, for a file. */
struct ch_settings *
ch_settings_load(const char *path, struct ch_error *error)
{
    char *text = ch_ini_read_file(path, error);
    if (text == NULL) {
        return NULL;
    }
    struct ch_settings *settings = ch_settings_parse(text, path, error);
    g_free(text);
    return settings;
}

/* The entries "NAME:REGION" of the setting data-centres; some may be empty. */
static char **
split_data_centres(const struct ch_settings *settings)
{
    return g_strsplit_set(
        settings->data_centres == NULL ? "" : settings->data_centres, ", ;",
        -1);
}

/* Returns the region of a data centre as a new string, from the setting
 * data-centres ("NAME:REGION, ...").  A data centre that isn't listed there is
 * a region of its own name. */
char *
ch_settings_get_region(const struct ch_settings *settings,
                       const char *data_centre)
{
    char **pairs = split_data_centres(settings);
    char *region = NULL;
    size_t length = strlen(data_centre);
    for (size_t i = 0; region == NULL && pairs[i] != NULL; i++) {
        if (strncmp(pairs[i], data_centre, length) == 0 &&
            pairs[i][length] == ':') {
            region = g_strdup(pairs[i] + length + 1);
        }
    }
    g_strfreev(pairs);
    return region != NULL ? region : g_strdup(data_centre);
}

/* See base.h. */
char **
ch_settings_list_regions(const struct ch_settings *settings)
{
    GPtrArray *regions = g_ptr_array_new();
    char **pairs = split_data_centres(settings);
    g_ptr_array_add(regions, g_strdup(settings->region));
    for (size_t i = 0; pairs[i] != NULL; i++) {
        const char *colon = strchr(pairs[i], ':');
        if (colon != NULL && !g_ptr_array_find_with_equal_func(
                                 regions, colon + 1, g_str_equal, NULL)) {
            g_ptr_array_add(regions, g_strdup(colon + 1));
        }
    }
    g_strfreev(pairs);
    g_ptr_array_add(regions, NULL);
    return (char **)g_ptr_array_free(regions, FALSE);
}

/* See base.h. */
uint32_t
ch_settings_get_capacity(const struct ch_settings *settings)
{
    return (uint32_t)MAX(settings->cores * settings->host_link_mbit_per_s, 1);
}

/* Whether the platform's terms include one of those that call for the control
 * of overload. */
static bool
has_overload_term(const struct ch_settings *settings)
{
    if (settings->overload_terms == NULL ||
        settings->overload_on_terms == NULL) {
        return false;
    }
    char **terms = g_strsplit(settings->overload_terms, ",", -1);
    char **wanted = g_strsplit(settings->overload_on_terms, ",", -1);
    bool found = false;
    for (size_t i = 0; wanted[i] != NULL && !found; i++) {
        found = wanted[i][0] != '\0' &&
                g_strv_contains((const char *const *)terms, wanted[i]);
    }
    g_strfreev(terms);
    g_strfreev(wanted);
    return found;
}

/* See base.h. */
bool
ch_settings_controls_overload(const struct ch_settings *settings)
{
    return settings->overload_control == CH_OVERLOAD_ON ||
           (settings->overload_control == CH_OVERLOAD_AUTO &&
            has_overload_term(settings));
}

/* Frees settings, which may be NULL. */
void
ch_settings_free(struct ch_settings *settings)
{
    if (settings == NULL) {
        return;
    }
    g_free(settings->name);
    g_free(settings->region);
    g_free(settings->data_centre);
    g_free(settings->data_centres);
    g_free(settings->callers);
    g_free(settings->admin);
    g_free(settings->peers);
    g_free(settings->ready_path);
    g_free(settings->kv);
    g_free(settings->hosts);
    g_free(settings->overload_terms);
    g_free(settings->overload_on_terms);
    g_free(settings);
}

/* See base.h. */
void
ch_settings_foreach_policy(const struct ch_settings *settings,
                           void (*each)(void *data, const char *key, bool on),
                           void *data)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (strcmp(rows[i].section, "policy") == 0) {
            const bool *disabled =
                (const void *)((const char *)settings + rows[i].offset);
            each(data, rows[i].key, !*disabled);
        }
    }
}
