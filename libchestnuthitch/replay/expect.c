/*
 * Stated outcomes: an INI of figures that a run is held against.
 *
 *   [expect]                    over the whole run
 *   attainment-at-least = 0.95
 *   overcommit-events-at-most = 0
 *   [class advice]              of one class
 *   attainment-at-least = 0.9
 *   p95-ms-at-most = 9000
 *   [window overload]           requests that arrived from second 600 to 1200
 *   from-s = 600
 *   to-s = 1200
 *   met-per-s-at-least = 4
 *   share-of = capacity         met here, against another window's, by second
 *   share-at-least = 0.9
 *
 * Every figure may stand with -at-least or with -at-most.
 */

#include "base/ini.h"
#include "replay/replay.h"

#include <errno.h>
#include <math.h>
#include <string.h>

struct scope;

/* A figure of some kind of group. */
struct figure {
    const char *section;
    const char *name;
    double (*read)(const struct scope *scope);
};

/* What a figure is read from. */
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
    return ch_result_attainment(scope->result);
}

/* Attainment of the caller that fared worst. */
static double
read_worst_tenant(const struct scope *scope)
{
    return scope->result->worst_tenant;
}

/* Times that an engine was given more than it holds. */
static double
read_overcommit(const struct scope *scope)
{
    return (double)scope->result->overcommit_events;
}

/* Models that were asked for and never answered. */
static double
read_unreachable(const struct scope *scope)
{
    return (double)scope->result->unreachable_models;
}

/* Loads of models. */
static double
read_loads(const struct scope *scope)
{
    return (double)scope->result->model_loads;
}

/* Requests refused, not run. */
static double
read_refused(const struct scope *scope)
{
    return (double)scope->result->refused_not_run;
}

/* Requests that ended with an error after they may have run. */
static double
read_failed(const struct scope *scope)
{
    return (double)scope->result->failed;
}

/* Requests whose callers were told that it may have run. */
static double
read_unknown(const struct scope *scope)
{
    return (double)scope->result->unknown;
}

/* Keys of non-idempotent requests that were dispatched twice. */
static double
read_ran_twice(const struct scope *scope)
{
    return (double)scope->result->ran_twice;
}

/* Requests to upstreams for each one that came. */
static double
read_amplification(const struct scope *scope)
{
    const struct ch_result *result = scope->result;
    uint64_t fresh = result->dispatches - result->retries;
    return (double)result->dispatches / (double)MAX(fresh, 1);
}

/* Milliseconds to a refusal, 95 in 100. */
static double
read_refusal(const struct scope *scope)
{
    return (double)ch_result_quantile(scope->result->refusal_times, 950) /
           1000.0;
}

/* Megabytes on the link between regions. */
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

/* Milliseconds to whole answers, half of them. */
static double
read_class_p50(const struct scope *scope)
{
    return (double)ch_result_quantile(scope->class->times, 500) / 1000.0;
}

/* Milliseconds to whole answers, 95 in 100. */
static double
read_class_p95(const struct scope *scope)
{
    return (double)ch_result_quantile(scope->class->times, 950) / 1000.0;
}

/* Milliseconds to whole answers, 99 in 100. */
static double
read_class_p99(const struct scope *scope)
{
    return (double)ch_result_quantile(scope->class->times, 990) / 1000.0;
}

/* A window's sum over counts by second. */
static double
window_sum(const struct scope *scope, const GArray *seconds)
{
    double sum = 0;
    for (guint i = 0; i < seconds->len; i++) {
        if (i >= scope->from_s && i < scope->to_s) {
            sum += g_array_index(seconds, uint32_t, i);
        }
    }
    return sum;
}

/* Share of the requests that arrived in a window and met their target. */
static double
read_window_attainment(const struct scope *scope)
{
    double offered = window_sum(scope, scope->result->offered);
    double met = window_sum(scope, scope->result->goodput);
    return offered > 0 ? met / offered : 1.0;
}

/* Requests a second that arrived in a window and met their target. */
static double
read_window_rate(const struct scope *scope)
{
    return window_sum(scope, scope->result->goodput) /
           MAX(scope->to_s - scope->from_s, 1);
}

/* A window's rate against that of another. */
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

/* A number from the file. */
static bool
number(const struct ch_ini *ini, const char *group, const char *key,
       double *out, struct ch_error *error)
{
    char *text = g_key_file_get_value(ini->file, group, key, NULL);
    if (text == NULL) {
        ch_ini_fail(ini, group, key, CH_MISSING, error, "it is needed here");
        return false;
    }
    char *end = NULL;
    errno = 0;
    *out = g_ascii_strtod(text, &end);
    bool fine = *text != '\0' && *end == '\0' && errno == 0 && isfinite(*out);
    if (!fine) {
        ch_ini_fail(ini, group, key, CH_BAD_VALUE, error, "not a number");
    }
    g_free(text);
    return fine;
}

/* The figure that a key names, without its ending; NULL: none. */
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

/* Holds one key against the run. */
static bool
check_key(const struct scope *scope, const char *section, const char *key,
          struct ch_error *error)
{
    bool least = g_str_has_suffix(key, "-at-least");
    size_t ending = least ? strlen("-at-least") : strlen("-at-most");
    const struct figure *figure = NULL;
    if (least || g_str_has_suffix(key, "-at-most")) {
        figure = find_figure(section, key, strlen(key) - ending);
    }
    if (figure == NULL) {
        ch_ini_fail(scope->ini, scope->group, key, CH_UNKNOWN_SETTING, error,
                    "no such expectation");
        return false;
    }
    double stated;
    if (!number(scope->ini, scope->group, key, &stated, error)) {
        return false;
    }
    double found = figure->read(scope);
    if (least ? found >= stated : found <= stated) {
        return true;
    }
    ch_ini_fail(scope->ini, scope->group, key, CH_EXPECTATION, error,
                "stated %g, found %g", stated, found);
    return false;
}

/* Reads the stretch of a window. */
static bool
read_window(const struct ch_ini *ini, const char *group, struct scope *scope,
            struct ch_error *error)
{
    scope->ini = ini;
    scope->group = group;
    return number(ini, group, "from-s", &scope->from_s, error) &&
           number(ini, group, "to-s", &scope->to_s, error);
}

/* Reads what a window is measured against, if anything. */
static bool
read_other(struct scope *scope, struct scope *other, char **group,
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
        ch_ini_fail(scope->ini, scope->group, "share-of", CH_BAD_VALUE, error,
                    "there is no [%s]", *group);
        return false;
    }
    *other = *scope;
    scope->other = other;
    return read_window(scope->ini, *group, other, error);
}

/* Holds all keys of a group against the run. */
static bool
check_keys(const struct scope *scope, const char *section,
           struct ch_error *error)
{
    static const char *const places[] = {"from-s", "to-s", "share-of", NULL};
    char **keys =
        g_key_file_get_keys(scope->ini->file, scope->group, NULL, NULL);
    bool fine = true;
    for (size_t i = 0; fine && keys[i] != NULL; i++) {
        bool place =
            strcmp(section, "window") == 0 && g_strv_contains(places, keys[i]);
        fine = place || check_key(scope, section, keys[i], error);
    }
    g_strfreev(keys);
    return fine;
}

/* The class of "[class NAME]"; NULL: none. */
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

/* Holds one group against the run. */
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
            ch_ini_fail(ini, group, NULL, CH_UNKNOWN_CLASS, error,
                        "no such class");
            return false;
        }
        return check_keys(&scope, "class", error);
    }
    if (g_str_has_prefix(group, "window ")) {
        struct scope other;
        char *other_group = NULL;
        bool fine = read_window(ini, group, &scope, error) &&
                    read_other(&scope, &other, &other_group, error) &&
                    check_keys(&scope, "window", error);
        g_free(other_group);
        return fine;
    }
    ch_ini_fail(ini, group, NULL, CH_UNKNOWN_GROUP, error, "no such group");
    return false;
}

/* Holds a run against the expectations of an INI text.  False: error has
 * EXPECTATION with the first that fails and both figures, or what is wrong
 * with the text. */
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
