/* Lock-free counters and histograms, and their output for Prometheus. */

#include "base/base.h"
#include "base/annotate.h"

#include <ck_pr.h>
#include <inttypes.h>
#include <string.h>

enum {
    /* A declaration has at most 64 classes; the others are for classes that a
       revision removed.  Any further classes share "other". */
    MAX_CLASSES = 96,
    /*
     * For every class, each tenant takes about 1 KB of memory and some 90
     * lines of each scrape, and callers choose the tenant's name.  Without a
     * limit, a caller that invents names would grow the node's memory without
     * bound and its scrapes beyond what a collector accepts.  128 is several
     * times the number of callers that a site declares; any further tenants
     * share "other".
     */
    MAX_TENANTS = 128,
    BOUND_COUNT = 18,
};

/* Upper bounds of the buckets in microseconds, with "le" labels in seconds:
 * from forwarding a request locally (half a millisecond) to a long response
 * (two minutes).  Two or three bounds per factor of ten are enough to tell
 * whether a target was met. */
static const struct {
    int64_t max_us;
    const char *label;
} bounds[BOUND_COUNT] = {
    {500, "0.0005"},  {1000, "0.001"},    {2500, "0.0025"}, {5000, "0.005"},
    {10000, "0.01"},  {25000, "0.025"},   {50000, "0.05"},  {100000, "0.1"},
    {250000, "0.25"}, {500000, "0.5"},    {1000000, "1"},   {2500000, "2.5"},
    {5000000, "5"},   {10000000, "10"},   {20000000, "20"}, {30000000, "30"},
    {60000000, "60"}, {120000000, "120"},
};

struct histogram {
    uint64_t buckets[BOUND_COUNT + 1]; /* the last: above every bound */
    uint64_t sum;                      /* microseconds */
};

/* The metrics of one class and tenant. */
struct series {
    struct histogram histograms[CH_HISTOGRAMS];
    struct ch_class_outcomes outcomes;
};

/* A hash table of names with open addressing; an entry never changes once it
 * is set. */
struct names {
    char **entries; /* `capacity` entries, then "other" */
    size_t capacity;
};

struct ch_metrics {
    uint64_t counters[CH_COUNTERS];
    struct names classes;
    struct names tenants;
    struct series **series; /* by class, then tenant; NULL until used */
    uint64_t codes[MAX_CLASSES + 1][1000]; /* by class and result code */
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
    [CH_HIST_TOKEN_INTERVAL] = {"between_tokens_seconds",
                                "mean time between tokens of an answer"},
    [CH_HIST_RESPONSE_TIME] = {"answer_seconds",
                               "from arrival to the end of the answer"},
    [CH_HIST_QUEUE_TIME] = {"queued_seconds",
                            "from arrival to leave to dispatch"},
};

/* ---- names ---- */

/* Allocates `capacity` entries and "other". */
static void
names_init(struct names *names, size_t capacity)
{
    names->capacity = capacity;
    names->entries = g_new0(char *, capacity + 1);
    names->entries[capacity] = g_strdup("other");
}

static void
names_clear(struct names *names)
{
    for (size_t i = 0; i <= names->capacity; i++) {
        g_free(names->entries[i]);
    }
    g_free(names->entries);
}

/* An entry, which another thread may have set a moment ago, or NULL. */
static char *
names_get(const struct names *names, size_t index)
{
    char *name = ck_pr_load_ptr(&names->entries[index]);
    ck_pr_fence_acquire();
    CH_TSAN_ACQUIRE(&names->entries[index]);
    return name;
}

/* The index of a name.  A new name is added; if the table is full, or for
 * NULL, the index is that of "other".  Two threads that add the same name at
 * the same time get the same entry. */
static size_t
names_find_or_add(struct names *names, const char *name)
{
    if (name == NULL) {
        return names->capacity;
    }
    size_t start = ch_hash_string(name) % names->capacity;
    char *copy = NULL;
    size_t found = names->capacity;
    for (size_t step = 0; step < names->capacity; step++) {
        size_t index = (start + step) % names->capacity;
        char *entry = names_get(names, index);
        if (entry == NULL) {
            copy = copy == NULL ? g_strdup(name) : copy;
            CH_TSAN_RELEASE(&names->entries[index]);
            ck_pr_fence_release();
            if (ck_pr_cas_ptr(&names->entries[index], NULL, copy)) {
                return index;
            }
            entry = names_get(names, index);
        }
        if (strcmp(entry, name) == 0) {
            found = index;
            break;
        }
    }
    g_free(copy);
    return found;
}

/* ---- counting ---- */

/* Metrics with all values zero. */
struct ch_metrics *
ch_metrics_new(void)
{
    struct ch_metrics *metrics = g_new0(struct ch_metrics, 1);
    names_init(&metrics->classes, MAX_CLASSES);
    names_init(&metrics->tenants, MAX_TENANTS);
    metrics->series =
        g_new0(struct series *, (size_t)(MAX_CLASSES + 1) * (MAX_TENANTS + 1));
    return metrics;
}

/* Frees the metrics, which no thread may use any more.  NULL is allowed. */
void
ch_metrics_free(struct ch_metrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    size_t count = (size_t)(MAX_CLASSES + 1) * (MAX_TENANTS + 1);
    for (size_t i = 0; i < count; i++) {
        g_free(metrics->series[i]);
    }
    g_free(metrics->series);
    names_clear(&metrics->classes);
    names_clear(&metrics->tenants);
    g_free(metrics);
}

/* Adds to a counter; does nothing if metrics is NULL. */
void
ch_metrics_add_count(struct ch_metrics *metrics, enum ch_counter counter,
                     uint64_t by)
{
    if (metrics != NULL) {
        ck_pr_add_64(&metrics->counters[counter], by);
    }
}

/* A counter's value; 0 if metrics is NULL. */
uint64_t
ch_metrics_get_count(const struct ch_metrics *metrics, enum ch_counter counter)
{
    return metrics == NULL ? 0 : ck_pr_load_64(&metrics->counters[counter]);
}

/* The series of a class and tenant, or NULL if it has no counts yet. */
static struct series *
find_series(const struct ch_metrics *metrics, size_t class_index,
            size_t tenant_index)
{
    size_t index = class_index * (MAX_TENANTS + 1) + tenant_index;
    struct series *series = ck_pr_load_ptr(&metrics->series[index]);
    ck_pr_fence_acquire();
    CH_TSAN_ACQUIRE(&metrics->series[index]);
    return series;
}

/* The series of a class and tenant, created on first use. */
static struct series *
find_or_create_series(struct ch_metrics *metrics, size_t class_index,
                      size_t tenant_index)
{
    struct series *series = find_series(metrics, class_index, tenant_index);
    if (series != NULL) {
        return series;
    }
    size_t index = class_index * (MAX_TENANTS + 1) + tenant_index;
    series = g_new0(struct series, 1);
    CH_TSAN_RELEASE(&metrics->series[index]);
    ck_pr_fence_release();
    if (ck_pr_cas_ptr(&metrics->series[index], NULL, series)) {
        return series;
    }
    g_free(series);
    return find_series(metrics, class_index, tenant_index);
}

/* Adds a time to a histogram of a class and tenant.  A negative time counts as
 * 0. */
void
ch_metrics_observe(struct ch_metrics *metrics, enum ch_histogram which,
                   const char *class_name, const char *tenant,
                   int64_t microseconds)
{
    if (metrics == NULL) {
        return;
    }
    size_t class_index = names_find_or_add(&metrics->classes, class_name);
    size_t tenant_index = names_find_or_add(&metrics->tenants, tenant);
    struct histogram *histogram =
        &find_or_create_series(metrics, class_index, tenant_index)
             ->histograms[which];
    int64_t time = MAX(microseconds, 0);
    size_t bucket = 0;
    while (bucket < BOUND_COUNT && time > bounds[bucket].max_us) {
        bucket++;
    }
    ck_pr_add_64(&histogram->buckets[bucket], 1);
    ck_pr_add_64(&histogram->sum, (uint64_t)time);
}

/* Counts a request that ended: by class, tenant, outcome and whether its
 * target was met, and by class and result code. */
void
ch_metrics_count_outcome(struct ch_metrics *metrics, const char *class_name,
                         const char *tenant, enum ch_code code, bool met)
{
    if (metrics == NULL) {
        return;
    }
    size_t class_index = names_find_or_add(&metrics->classes, class_name);
    size_t tenant_index = names_find_or_add(&metrics->tenants, tenant);
    struct series *series =
        find_or_create_series(metrics, class_index, tenant_index);
    enum ch_outcome outcome = ch_code_get_outcome(code);
    ck_pr_add_64(&series->outcomes.counts[outcome][met ? 1 : 0], 1);
    if ((size_t)code < G_N_ELEMENTS(metrics->codes[0])) {
        ck_pr_add_64(&metrics->codes[class_index][code], 1);
    }
}

/* ---- reading ---- */

/* Adds the outcomes of a series to a sum. */
static void
add_outcomes(struct ch_class_outcomes *all, const struct series *series)
{
    for (size_t i = 0; i < G_N_ELEMENTS(all->counts); i++) {
        for (size_t j = 0; j < 2; j++) {
            all->counts[i][j] += ck_pr_load_64(&series->outcomes.counts[i][j]);
        }
    }
}

/* Calls each for every class that has a count, with the sums of its tenants.
 */
void
ch_metrics_foreach_class(const struct ch_metrics *metrics,
                         void (*each)(void *data, const char *class_name,
                                      const struct ch_class_outcomes *all),
                         void *data)
{
    for (size_t i = 0; metrics != NULL && i <= MAX_CLASSES; i++) {
        struct ch_class_outcomes all = {0};
        bool any = false;
        for (size_t j = 0; j <= MAX_TENANTS; j++) {
            const struct series *series = find_series(metrics, i, j);
            if (series != NULL) {
                any = true;
                add_outcomes(&all, series);
            }
        }
        if (any) {
            each(data, names_get(&metrics->classes, i), &all);
        }
    }
}

/* Appends a label, its value escaped for the text exposition format. */
static void
append_label(GString *out, const char *key, const char *value)
{
    char *valid = g_utf8_make_valid(value, -1);
    g_string_append_printf(out, "%s=\"", key);
    for (const char *next = valid; *next != '\0'; next++) {
        if (*next == '\n') {
            g_string_append(out, "\\n");
            continue;
        }
        if (*next == '"' || *next == '\\') {
            g_string_append_c(out, '\\');
        }
        g_string_append_c(out, *next);
    }
    g_string_append_c(out, '"');
    g_free(valid);
}

/* Appends `chestnuthitch_NAME{class="...",tenant="..."`; the caller of this
 * function adds more labels and closes the brace. */
static void
append_name_and_labels(GString *out, const char *name, const char *suffix,
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

/* Appends the counters without labels. */
static void
render_counters(const struct ch_metrics *metrics, GString *out)
{
    for (int i = 0; i < CH_COUNTERS; i++) {
        char *lower = g_ascii_strdown(counter_rows[i].name, -1);
        char *name = g_strconcat(lower, "_total", NULL);
        append_type(out, name, counter_rows[i].text, "counter");
        g_string_append_printf(
            out, "chestnuthitch_%s %" PRIu64 "\n", name,
            ch_metrics_get_count(metrics, (enum ch_counter)i));
        g_free(name);
        g_free(lower);
    }
}

/* Appends a histogram, unless it is empty. */
static void
render_histogram(const struct histogram *histogram, const char *name,
                 const char *class_name, const char *tenant, GString *out)
{
    uint64_t counts[BOUND_COUNT + 1];
    uint64_t total = 0;
    for (size_t i = 0; i <= BOUND_COUNT; i++) {
        total += ck_pr_load_64(&histogram->buckets[i]);
        counts[i] = total;
    }
    if (total == 0) {
        return;
    }
    for (size_t i = 0; i <= BOUND_COUNT; i++) {
        append_name_and_labels(out, name, "_bucket", class_name, tenant);
        g_string_append_printf(out, ",le=\"%s\"} %" PRIu64 "\n",
                               i < BOUND_COUNT ? bounds[i].label : "+Inf",
                               counts[i]);
    }
    append_name_and_labels(out, name, "_sum", class_name, tenant);
    g_string_append_printf(out, "} %.6f\n",
                           (double)ck_pr_load_64(&histogram->sum) /
                               G_USEC_PER_SEC);
    append_name_and_labels(out, name, "_count", class_name, tenant);
    g_string_append_printf(out, "} %" PRIu64 "\n", total);
}

/* Appends the outcomes of one class and tenant that aren't zero. */
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
            append_name_and_labels(out, "outcomes_total", "", class_name,
                                   tenant);
            g_string_append_printf(
                out, ",outcome=\"%s\",target=\"%s\"} %" PRIu64 "\n",
                ch_outcome_get_name((enum ch_outcome)i), met_names[j], count);
        }
    }
}

/* Appends one metric family for every series in use: the histogram `which`, or
 * the outcomes if `which` is negative. */
static void
render_series(const struct ch_metrics *metrics, GString *out, int which)
{
    for (size_t i = 0; i <= MAX_CLASSES; i++) {
        for (size_t j = 0; j <= MAX_TENANTS; j++) {
            const struct series *series = find_series(metrics, i, j);
            if (series == NULL) {
                continue;
            }
            const char *class_name = names_get(&metrics->classes, i);
            const char *tenant = names_get(&metrics->tenants, j);
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

/* Appends the numbers of requests by class and result code. */
static void
render_codes(const struct ch_metrics *metrics, GString *out)
{
    append_type(out, "results_total", "requests ended, by result code",
                "counter");
    for (size_t i = 0; i <= MAX_CLASSES; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(metrics->codes[0]); j++) {
            uint64_t count = ck_pr_load_64(&metrics->codes[i][j]);
            if (count == 0) {
                continue;
            }
            append_name_and_labels(out, "results_total", "",
                                   names_get(&metrics->classes, i), NULL);
            g_string_append_printf(out, ",code=\"%s\"} %" PRIu64 "\n",
                                   ch_code_get_name((enum ch_code)j), count);
        }
    }
}

/* Appends all metrics in the Prometheus text exposition format.  The output is
 * no snapshot: a count that is added at the same time may appear in one line
 * and not yet in another. */
void
ch_metrics_render(const struct ch_metrics *metrics, GString *out)
{
    if (metrics == NULL) {
        return;
    }
    render_counters(metrics, out);
    append_type(out, "outcomes_total",
                "requests ended, by outcome and by target met", "counter");
    render_series(metrics, out, -1);
    render_codes(metrics, out);
    for (int i = 0; i < CH_HISTOGRAMS; i++) {
        append_type(out, histogram_rows[i].name, histogram_rows[i].text,
                    "histogram");
        render_series(metrics, out, i);
    }
}
