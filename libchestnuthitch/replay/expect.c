/*
 * Expected results of a run, read from an INI file.
 *
 *   [expect]                    for the whole run
 *   attainment-at-least = 0.95
 *   overcommit-events-at-most = 0
 *   [class advice]              for one class
 *   attainment-at-least = 0.9
 *   p95-ms-at-most = 9000
 *   [window overload]           for requests that arrive in a time window
 *   from-s = 600
 *   to-s = 1200
 *   met-per-s-at-least = 4
 *   share-of = capacity         share: met-per-s here / in the other window
 *   share-at-least = 0.9
 *
 * Each figure can be bounded by -at-least or by -at-most.
 */

#include "base/ini.h"
#include "replay/replay.h"

#include <errno.h>
#include <math.h>
#include <string.h>

struct scope;

/* A figure that a section of the file can bound. */
struct figure {
    const char *section;
    const char *name;
    double (*read)(const struct scope *scope);
};

/* The group of the file and the result from which a figure is read. */
struct scope {
    const struct ch_ini *ini;
    const char *group;
    struct ch_result *result;
    struct ch_result_class *class;
    double from_s;
    double to_s;
    const struct scope *other; /* the window of share-of */
};

/* Share of all requests that met their target. */
static double
read_attainment(const struct scope *scope)
{
    return ch_result_get_attainment(scope->result);
}

/* Lowest attainment among the callers. */
static double
read_worst_tenant(const struct scope *scope)
{
    return scope->result->worst_tenant;
}

/* Number of loads that exceeded an engine's memory. */
static double
read_overcommit(const struct scope *scope)
{
    return (double)scope->result->overcommit_events;
}

/* Number of models that were requested but never served. */
static double
read_unreachable(const struct scope *scope)
{
    return (double)scope->result->unreachable_models;
}

static double
read_loads(const struct scope *scope)
{
    return (double)scope->result->model_loads;
}

/* Number of requests that were refused and not run. */
static double
read_refused(const struct scope *scope)
{
    return (double)scope->result->refused_not_run;
}

/* Number of idempotent requests that failed after they may have run, and of
 * requests not finished at the end of the run. */
static double
read_failed(const struct scope *scope)
{
    return (double)scope->result->failed;
}

/* Number of non-idempotent requests whose callers were told that they may have
 * run. */
static double
read_unknown(const struct scope *scope)
{
    return (double)scope->result->unknown;
}

/* Number of keys of non-idempotent requests that were dispatched twice. */
static double
read_ran_twice(const struct scope *scope)
{
    return (double)scope->result->ran_twice;
}

/* Dispatches to upstreams per request. */
static double
read_amplification(const struct scope *scope)
{
    const struct ch_result *result = scope->result;
    uint64_t fresh = result->dispatches - result->retries;
    return (double)result->dispatches / (double)MAX(fresh, 1);
}

/* 95th percentile of the time to a refusal, in milliseconds. */
static double
read_refusal(const struct scope *scope)
{
    return (double)ch_result_get_quantile(scope->result->refusal_times, 950) /
           1000.0;
}

/* Megabytes sent on the link between regions. */
static double
read_link(const struct scope *scope)
{
    return (double)scope->result->link_bytes / 1e6;
}

/* Share of a class's requests that met their target. */
static double
read_class_attainment(const struct scope *scope)
{
    const struct ch_result_class *class = scope->class;
    return class->requests == 0 ? 1.0
                                : (double)class->met / (double)class->requests;
}

/* Median time to a complete response, in milliseconds. */
static double
read_class_p50(const struct scope *scope)
{
    return (double)ch_result_get_quantile(scope->class->response_times, 500) /
           1000.0;
}

/* 95th percentile of the time to a complete response, in milliseconds. */
static double
read_class_p95(const struct scope *scope)
{
    return (double)ch_result_get_quantile(scope->class->response_times, 950) /
           1000.0;
}

/* 99th percentile of the time to a complete response, in milliseconds. */
static double
read_class_p99(const struct scope *scope)
{
    return (double)ch_result_get_quantile(scope->class->response_times, 990) /
           1000.0;
}

/* Returns the sum of the counts by second that are within a window. */
static double
sum_window(const struct scope *scope, const GArray *seconds)
{
    double sum = 0;
    for (guint i = 0; i < seconds->len; i++) {
        if (i >= scope->from_s && i < scope->to_s) {
            sum += g_array_index(seconds, uint32_t, i);
        }
    }
    return sum;
}

/* Share of the requests arriving in a window that met their target. */
static double
read_window_attainment(const struct scope *scope)
{
    double offered = sum_window(scope, scope->result->offered);
    double met = sum_window(scope, scope->result->goodput);
    return offered > 0 ? met / offered : 1.0;
}

/* Requests arriving in a window that met their target, per second. */
static double
read_window_rate(const struct scope *scope)
{
    return sum_window(scope, scope->result->goodput) /
           MAX(scope->to_s - scope->from_s, 1);
}

/* Rate of a window relative to that of its share-of window; 0 without
 * share-of, 1 if the other rate is 0. */
static double
read_window_share(const struct scope *scope)
{
    if (scope->other == NULL) {
        return 0;
    }
    double other = read_window_rate(scope->other);
    return other > 0 ? read_window_rate(scope) / other : 1.0;
}

static const struct figure figures[] = {
    {"expect", "attainment", read_attainment},
    {"expect", "worst-tenant", read_worst_tenant},
    {"expect", "overcommit-events", read_overcommit},
    {"expect", "unreachable-models", read_unreachable},
    {"expect", "model-loads", read_loads},
    {"expect", "refused", read_refused},
    {"expect", "failed", read_failed},
    {"expect", "unknown", read_unknown},
    {"expect", "ran-twice", read_ran_twice},
    {"expect", "retry-amplification", read_amplification},
    {"expect", "refusal-p95-ms", read_refusal},
    {"expect", "link-mb", read_link},
    {"class", "attainment", read_class_attainment},
    {"class", "p50-ms", read_class_p50},
    {"class", "p95-ms", read_class_p95},
    {"class", "p99-ms", read_class_p99},
    {"window", "attainment", read_window_attainment},
    {"window", "met-per-s", read_window_rate},
    {"window", "share", read_window_share},
};

/* Reads a required number. */
static bool
read_number(const struct ch_ini *ini, const char *group, const char *key,
            double *out, struct ch_error *error)
{
    char *text = g_key_file_get_value(ini->file, group, key, NULL);
    if (text == NULL) {
        ch_ini_set_error(ini, group, key, CH_MISSING, error, "required here");
        return false;
    }
    char *end = NULL;
    errno = 0;
    *out = g_ascii_strtod(text, &end);
    bool fine = *text != '\0' && *end == '\0' && errno == 0 && isfinite(*out);
    if (!fine) {
        ch_ini_set_error(ini, group, key, CH_BAD_VALUE, error, "not a number");
    }
    g_free(text);
    return fine;
}

/* Returns the figure of a key whose bound suffix starts at length; NULL: none.
 */
static const struct figure *
find_figure(const char *section, const char *key, size_t length)
{
    for (size_t i = 0; i < G_N_ELEMENTS(figures); i++) {
        if (strcmp(figures[i].section, section) == 0 &&
            strlen(figures[i].name) == length &&
            strncmp(figures[i].name, key, length) == 0) {
            return &figures[i];
        }
    }
    return NULL;
}

/* Checks the result against one key. */
static bool
check_key(const struct scope *scope, const char *section, const char *key,
          struct ch_error *error)
{
    bool is_minimum = g_str_has_suffix(key, "-at-least");
    size_t suffix_length =
        is_minimum ? strlen("-at-least") : strlen("-at-most");
    const struct figure *figure = NULL;
    if (is_minimum || g_str_has_suffix(key, "-at-most")) {
        figure = find_figure(section, key, strlen(key) - suffix_length);
    }
    if (figure == NULL) {
        ch_ini_set_error(scope->ini, scope->group, key, CH_UNKNOWN_SETTING,
                         error, "unknown expectation");
        return false;
    }
    double expected;
    if (!read_number(scope->ini, scope->group, key, &expected, error)) {
        return false;
    }
    double actual = figure->read(scope);
    if (is_minimum ? actual >= expected : actual <= expected) {
        return true;
    }
    ch_ini_set_error(scope->ini, scope->group, key, CH_EXPECTATION, error,
                     "stated %g, found %g", expected, actual);
    return false;
}

/* Reads the start and the end of a window. */
static bool
read_window(const struct ch_ini *ini, const char *group, struct scope *scope,
            struct ch_error *error)
{
    scope->ini = ini;
    scope->group = group;
    return read_number(ini, group, "from-s", &scope->from_s, error) &&
           read_number(ini, group, "to-s", &scope->to_s, error);
}

/* Reads the share-of window of a window, if any.  The caller frees *group. */
static bool
read_share_window(struct scope *scope, struct scope *other, char **group,
                  struct ch_error *error)
{
    char *name = g_key_file_get_string(scope->ini->file, scope->group,
                                       "share-of", NULL);
    if (name == NULL) {
        return true;
    }
    *group = g_strdup_printf("window %s", name);
    g_free(name);
    if (!g_key_file_has_group(scope->ini->file, *group)) {
        ch_ini_set_error(scope->ini, scope->group, "share-of", CH_BAD_VALUE,
                         error, "there is no [%s]", *group);
        return false;
    }
    *other = *scope;
    scope->other = other;
    return read_window(scope->ini, *group, other, error);
}

/* Checks the result against all keys of a group. */
static bool
check_keys(const struct scope *scope, const char *section,
           struct ch_error *error)
{
    static const char *const window_keys[] = {"from-s", "to-s", "share-of",
                                              NULL};
    char **keys =
        g_key_file_get_keys(scope->ini->file, scope->group, NULL, NULL);
    bool fine = true;
    for (size_t i = 0; fine && keys[i] != NULL; i++) {
        bool is_window_key = strcmp(section, "window") == 0 &&
                             g_strv_contains(window_keys, keys[i]);
        fine = is_window_key || check_key(scope, section, keys[i], error);
    }
    g_strfreev(keys);
    return fine;
}

/* Returns the class of a group "[class NAME]"; NULL: none. */
static struct ch_result_class *
find_class(struct ch_result *result, const char *group)
{
    const char *name = group + strlen("class");
    name += strspn(name, " ");
    for (size_t i = 0; i < result->class_count; i++) {
        if (strcmp(result->classes[i].name, name) == 0) {
            return &result->classes[i];
        }
    }
    return NULL;
}

/* Checks the result against one group. */
static bool
check_group(const struct ch_ini *ini, const char *group,
            struct ch_result *result, struct ch_error *error)
{
    struct scope scope = {.ini = ini, .group = group, .result = result};
    if (strcmp(group, "expect") == 0) {
        return check_keys(&scope, "expect", error);
    }
    if (g_str_has_prefix(group, "class ")) {
        scope.class = find_class(result, group);
        if (scope.class == NULL) {
            ch_ini_set_error(ini, group, NULL, CH_UNKNOWN_CLASS, error,
                             "unknown class");
            return false;
        }
        return check_keys(&scope, "class", error);
    }
    if (g_str_has_prefix(group, "window ")) {
        struct scope other;
        char *other_group = NULL;
        bool fine = read_window(ini, group, &scope, error) &&
                    read_share_window(&scope, &other, &other_group, error) &&
                    check_keys(&scope, "window", error);
        g_free(other_group);
        return fine;
    }
    ch_ini_set_error(ini, group, NULL, CH_UNKNOWN_GROUP, error,
                     "unknown group");
    return false;
}

/* Checks a result against the expectations of an INI text.  False: the error
 * is EXPECTATION with both figures of the first expectation that fails, or
 * names the fault of the text. */
bool
ch_expect_check(const char *text, const char *path, struct ch_result *result,
                struct ch_error *error)
{
    struct ch_ini ini;
    if (!ch_ini_open(&ini, text, path, error)) {
        return false;
    }
    char **groups = g_key_file_get_groups(ini.file, NULL);
    bool fine = true;
    for (size_t i = 0; fine && groups[i] != NULL; i++) {
        fine = check_group(&ini, groups[i], result, error);
    }
    g_strfreev(groups);
    ch_ini_close(&ini);
    return fine;
}
