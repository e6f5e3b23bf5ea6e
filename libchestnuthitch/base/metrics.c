/* Counters and histograms, lock-free, and their Prometheus text. */

#include "base/base.h"
#include "base/annotate.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <string.h>

enum {
    /* A declaration has at most 64 classes; a few more for those that a
       revision took out.  The rest share "other". */
    MOST_CLASSES = 96,
    /*
     * Each tenant costs every class about 1 KB here and some 90 lines of each
     * scrape, and a tenant's name is what the caller says.  Without a bound,
     * one caller that makes up names would grow the node's memory without end
     * and its scrapes past what a collector takes.  128 is several times the
     * callers that a site declares; the rest share "other".
     */
    MOST_TENANTS = 128,
    BOUNDS = 18,
};

/* Upper bounds in microseconds, with "le" labels in seconds: from a local
 * forward (half a millisecond) to a long answer (two minutes); two or three to
 * a factor of ten tell a met target from a missed one. */
static const struct {
    int64_t most;
    const char *label;
} bounds[BOUNDS] = {
    {500, "0.0005"},  {1000, "0.001"},    {2500, "0.0025"}, {5000, "0.005"},
    {10000, "0.01"},  {25000, "0.025"},   {50000, "0.05"},  {100000, "0.1"},
    {250000, "0.25"}, {500000, "0.5"},    {1000000, "1"},   {2500000, "2.5"},
    {5000000, "5"},   {10000000, "10"},   {20000000, "20"}, {30000000, "30"},
    {60000000, "60"}, {120000000, "120"},
};

struct histogram {
    uint64_t buckets[BOUNDS + 1]; /* the last one: above every bound */
    uint64_t sum;                 /* microseconds */
};

/* What is kept for one class and tenant. */
struct series {
    struct histogram histograms[CH_HISTOGRAMS];
    struct ch_class_outcomes outcomes;
};

/* Names in order of coming; an entry never changes once it is set. */
struct names {
    char **entries; /* `most`, then the one called "other" */
    size_t most;
};

struct ch_metrics {
    uint64_t counters[CH_COUNTERS];
    struct names classes;
    struct names tenants;
    struct series **series; /* by class, then by tenant; NULL until used */
    uint64_t codes[MOST_CLASSES + 1][1000]; /* by class and result code */
};

static const struct {
    const char *name;
    const char *text;
} counter_rows[] = {
#define CH_COUNTER(name, text) {#name, text},
#include "counters.def"
#undef CH_COUNTER
};

static const struct {
    const char *name;
    const char *text;
} histogram_rows[CH_HISTOGRAMS] = {
    [CH_HIST_FIRST_TOKEN] = {"first_token_seconds",
                             "from arrival to the first token"},
    [CH_HIST_BETWEEN_TOKENS] = {"between_tokens_seconds",
                                "mean time between tokens of an answer"},
    [CH_HIST_WHOLE_ANSWER] = {"answer_seconds",
                              "from arrival to the end of the answer"},
    [CH_HIST_QUEUED] = {"queued_seconds", "from arrival to leave to dispatch"},
};

/* ---- names ---- */

/* Room for `most` names and "other". */
static void
names_init(struct names *names, size_t most)
{
    names->most = most;
    names->entries = g_new0(char *, most + 1);
    names->entries[most] = g_strdup("other");
}

/* Frees the names. */
static void
names_clear(struct names *names)
{
    for (size_t i = 0; i <= names->most; i++) {
        g_free(names->entries[i]);
    }
    g_free(names->entries);
}

/* An entry as other threads may have just set it, or NULL. */
static char *
names_at(const struct names *names, size_t index)
{
    char *name = ck_pr_load_ptr(&names->entries[index]);
    ck_pr_fence_acquire();
    CH_ACQUIRE(&names->entries[index]);
    return name;
}

/* The index of a name, which is added when there is room; else, and for NULL,
 * that of "other".  Two threads that add the same name meet at the same entry.
 */
static size_t
names_index(struct names *names, const char *name)
{
    if (name == NULL) {
        return names->most;
    }
    size_t start = ch_hash_string(name) % names->most;
    char *mine = NULL;
    size_t found = names->most;
    for (size_t step = 0; step < names->most; step++) {
        size_t at = (start + step) % names->most;
        char *there = names_at(names, at);
        if (there == NULL) {
            mine = mine == NULL ? g_strdup(name) : mine;
            CH_RELEASE(&names->entries[at]);
            ck_pr_fence_release();
            if (ck_pr_cas_ptr(&names->entries[at], NULL, mine)) {
                return at;
            }
            there = names_at(names, at);
        }
        if (strcmp(there, name) == 0) {
            found = at;
            break;
        }
    }
    g_free(mine);
    return found;
}

/* ---- counting ---- */

/* Everything at zero. */
struct ch_metrics *
ch_metrics_new(void)
{
    struct ch_metrics *metrics = g_new0(struct ch_metrics, 1);
    names_init(&metrics->classes, MOST_CLASSES);
    names_init(&metrics->tenants, MOST_TENANTS);
    metrics->series = g_new0(struct series *,
                             (size_t)(MOST_CLASSES + 1) * (MOST_TENANTS + 1));
    return metrics;
}

/* Frees the metrics once no thread counts any more; NULL is nothing. */
void
ch_metrics_free(struct ch_metrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    size_t count = (size_t)(MOST_CLASSES + 1) * (MOST_TENANTS + 1);
    for (size_t i = 0; i < count; i++) {
        g_free(metrics->series[i]);
    }
    g_free(metrics->series);
    names_clear(&metrics->classes);
    names_clear(&metrics->tenants);
    g_free(metrics);
}

/* Adds to a counter; NULL metrics count nothing. */
void
ch_metrics_count(struct ch_metrics *metrics, enum ch_counter counter,
                 uint64_t by)
{
    if (metrics != NULL) {
        ck_pr_add_64(&metrics->counters[counter], by);
    }
}

/* A counter's value; 0 of NULL metrics. */
uint64_t
ch_metrics_read(const struct ch_metrics *metrics, enum ch_counter counter)
{
    return metrics == NULL ? 0 : ck_pr_load_64(&metrics->counters[counter]);
}

/* The series of a class and tenant, or NULL when nothing was counted yet. */
static struct series *
series_at(const struct ch_metrics *metrics, size_t class_at, size_t tenant_at)
{
    size_t at = class_at * (MOST_TENANTS + 1) + tenant_at;
    struct series *series = ck_pr_load_ptr(&metrics->series[at]);
    ck_pr_fence_acquire();
    CH_ACQUIRE(&metrics->series[at]);
    return series;
}

/* The series of a class and tenant, made on first use. */
static struct series *
series_for(struct ch_metrics *metrics, size_t class_at, size_t tenant_at)
{
    struct series *series = series_at(metrics, class_at, tenant_at);
    if (series != NULL) {
        return series;
    }
    size_t at = class_at * (MOST_TENANTS + 1) + tenant_at;
    series = g_new0(struct series, 1);
    CH_RELEASE(&metrics->series[at]);
    ck_pr_fence_release();
    if (ck_pr_cas_ptr(&metrics->series[at], NULL, series)) {
        return series;
    }
    g_free(series);
    return series_at(metrics, class_at, tenant_at);
}

/* Puts a time into a histogram of a class and tenant. */
void
ch_metrics_observe(struct ch_metrics *metrics, enum ch_histogram which,
                   const char *class_name, const char *tenant,
                   int64_t microseconds)
{
    if (metrics == NULL) {
        return;
    }
    size_t class_at = names_index(&metrics->classes, class_name);
    size_t tenant_at = names_index(&metrics->tenants, tenant);
    struct histogram *histogram =
        &series_for(metrics, class_at, tenant_at)->histograms[which];
    int64_t time = MAX(microseconds, 0);
    size_t bucket = 0;
    while (bucket < BOUNDS && time > bounds[bucket].most) {
        bucket++;
    }
    ck_pr_add_64(&histogram->buckets[bucket], 1);
    ck_pr_add_64(&histogram->sum, (uint64_t)time);
}

/* Counts a request that ended: by class, tenant, outcome and whether its
 * target was met, and by class and result code. */
void
ch_metrics_outcome(struct ch_metrics *metrics, const char *class_name,
                   const char *tenant, enum ch_code code, bool met)
{
    if (metrics == NULL) {
        return;
    }
    size_t class_at = names_index(&metrics->classes, class_name);
    size_t tenant_at = names_index(&metrics->tenants, tenant);
    struct series *series = series_for(metrics, class_at, tenant_at);
    enum ch_outcome outcome = ch_code_outcome(code);
    ck_pr_add_64(&series->outcomes.counts[outcome][met ? 1 : 0], 1);
    if ((size_t)code < G_N_ELEMENTS(metrics->codes[0])) {
        ck_pr_add_64(&metrics->codes[class_at][code], 1);
    }
}

/* ---- reading ---- */

/* Adds one tenant's outcomes to a class's. */
static void
add_outcomes(struct ch_class_outcomes *all, const struct series *series)
{
    for (size_t i = 0; i < G_N_ELEMENTS(all->counts); i++) {
        for (size_t j = 0; j < 2; j++) {
            all->counts[i][j] += ck_pr_load_64(&series->outcomes.counts[i][j]);
        }
    }
}

/* Calls each for every class that something was counted for, with the sums
 * over its tenants. */
void
ch_metrics_each_class(const struct ch_metrics *metrics,
                      void (*each)(void *data, const char *class_name,
                                   const struct ch_class_outcomes *all),
                      void *data)
{
    for (size_t i = 0; metrics != NULL && i <= MOST_CLASSES; i++) {
        struct ch_class_outcomes all = {0};
        bool any = false;
        for (size_t j = 0; j <= MOST_TENANTS; j++) {
            const struct series *series = series_at(metrics, i, j);
            if (series != NULL) {
                any = true;
                add_outcomes(&all, series);
            }
        }
        if (any) {
            each(data, names_at(&metrics->classes, i), &all);
        }
    }
}

/* Appends a label's value, escaped as the text exposition format asks. */
static void
append_label(GString *out, const char *key, const char *value)
{
    char *valid = g_utf8_make_valid(value, -1);
    g_string_append_printf(out, "%s=\"", key);
    for (const char *at = valid; *at != '\0'; at++) {
        if (*at == '\n') {
            g_string_append(out, "\\n");
            continue;
        }
        if (*at == '"' || *at == '\\') {
            g_string_append_c(out, '\\');
        }
        g_string_append_c(out, *at);
    }
    g_string_append_c(out, '"');
    g_free(valid);
}

/* Appends `chestnuthitch_NAME{class="...",tenant="..."`, not yet closed. */
static void
append_head(GString *out, const char *name, const char *suffix,
            const char *class_name, const char *tenant)
{
    g_string_append_printf(out, "chestnuthitch_%s%s{", name, suffix);
    append_label(out, "class", class_name);
    if (tenant != NULL) {
        g_string_append_c(out, ',');
        append_label(out, "tenant", tenant);
    }
}

/* Appends a metric's HELP and TYPE lines. */
static void
append_type(GString *out, const char *name, const char *text, const char *type)
{
    g_string_append_printf(out,
                           "# HELP chestnuthitch_%s %s\n"
                           "# TYPE chestnuthitch_%s %s\n",
                           name, text, name, type);
}

/* Appends the plain counters. */
static void
render_counters(const struct ch_metrics *metrics, GString *out)
{
    for (int i = 0; i < CH_COUNTERS; i++) {
        char *lower = g_ascii_strdown(counter_rows[i].name, -1);
        char *name = g_strconcat(lower, "_total", NULL);
        append_type(out, name, counter_rows[i].text, "counter");
        g_string_append_printf(out, "chestnuthitch_%s %" PRIu64 "\n", name,
                               ch_metrics_read(metrics, (enum ch_counter)i));
        g_free(name);
        g_free(lower);
    }
}

/* Appends one histogram; one that holds nothing is left out. */
static void
render_histogram(const struct histogram *histogram, const char *name,
                 const char *class_name, const char *tenant, GString *out)
{
    uint64_t counts[BOUNDS + 1];
    uint64_t total = 0;
    for (size_t i = 0; i <= BOUNDS; i++) {
        total += ck_pr_load_64(&histogram->buckets[i]);
        counts[i] = total;
    }
    if (total == 0) {
        return;
    }
    for (size_t i = 0; i <= BOUNDS; i++) {
        append_head(out, name, "_bucket", class_name, tenant);
        g_string_append_printf(out, ",le=\"%s\"} %" PRIu64 "\n",
                               i < BOUNDS ? bounds[i].label : "+Inf",
                               counts[i]);
    }
    append_head(out, name, "_sum", class_name, tenant);
    g_string_append_printf(out, "} %.6f\n",
                           (double)ck_pr_load_64(&histogram->sum) /
                               G_USEC_PER_SEC);
    append_head(out, name, "_count", class_name, tenant);
    g_string_append_printf(out, "} %" PRIu64 "\n", total);
}

/* Appends the outcomes of one class and tenant. */
static void
render_outcomes(const struct series *series, const char *class_name,
                const char *tenant, GString *out)
{
    static const char *const met_names[] = {"missed", "met"};
    for (size_t i = 0; i < G_N_ELEMENTS(series->outcomes.counts); i++) {
        for (size_t j = 0; j < 2; j++) {
            uint64_t count = ck_pr_load_64(&series->outcomes.counts[i][j]);
            if (count == 0) {
                continue;
            }
            append_head(out, "outcomes_total", "", class_name, tenant);
            g_string_append_printf(
                out, ",outcome=\"%s\",target=\"%s\"} %" PRIu64 "\n",
                ch_outcome_name((enum ch_outcome)i), met_names[j], count);
        }
    }
}

/* Calls what one metric family needs for every series in use. */
static void
each_series(const struct ch_metrics *metrics, GString *out, int which)
{
    for (size_t i = 0; i <= MOST_CLASSES; i++) {
        for (size_t j = 0; j <= MOST_TENANTS; j++) {
            const struct series *series = series_at(metrics, i, j);
            if (series == NULL) {
                continue;
            }
            const char *class_name = names_at(&metrics->classes, i);
            const char *tenant = names_at(&metrics->tenants, j);
            if (which < 0) {
                render_outcomes(series, class_name, tenant, out);
                continue;
            }
            render_histogram(&series->histograms[which],
                             histogram_rows[which].name, class_name, tenant,
                             out);
        }
    }
}

/* Appends the requests by class and result code. */
static void
render_codes(const struct ch_metrics *metrics, GString *out)
{
    append_type(out, "results_total", "requests ended, by result code",
                "counter");
    for (size_t i = 0; i <= MOST_CLASSES; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(metrics->codes[0]); j++) {
            uint64_t count = ck_pr_load_64(&metrics->codes[i][j]);
            if (count == 0) {
                continue;
            }
            append_head(out, "results_total", "",
                        names_at(&metrics->classes, i), NULL);
            g_string_append_printf(out, ",code=\"%s\"} %" PRIu64 "\n",
                                   ch_code_name((enum ch_code)j), count);
        }
    }
}

/* Appends everything in the Prometheus text exposition format.  Counts that
 * are added meanwhile may be in one line and not yet in another. */
void
ch_metrics_render(const struct ch_metrics *metrics, GString *out)
{
    if (metrics == NULL) {
        return;
    }
    render_counters(metrics, out);
    append_type(out, "outcomes_total",
                "requests ended, by outcome and by target met", "counter");
    each_series(metrics, out, -1);
    render_codes(metrics, out);
    for (int i = 0; i < CH_HISTOGRAMS; i++) {
        append_type(out, histogram_rows[i].name, histogram_rows[i].text,
                    "histogram");
        each_series(metrics, out, i);
    }
}
