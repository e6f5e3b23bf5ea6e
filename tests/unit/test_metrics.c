/* Counters and histograms, and their output for Prometheus. */

#include "base/base.h"

#include <string.h>

/* The rendered metrics, as a new string. */
static char *
render(const struct ch_metrics *metrics)
{
    GString *out = g_string_new(NULL);
    ch_metrics_render(metrics, out);
    return g_string_free(out, FALSE);
}

static bool
contains_line(const char *text, const char *line)
{
    char *delimited = g_strdup_printf("\n%s\n", line);
    bool found = strstr(text, delimited) != NULL;
    g_free(delimited);
    return found;
}

struct time_case {
    int64_t time;
    const char *bucket; /* "le" of the lowest bucket that counts the time */
    const char *below;  /* "le" of the bucket below, which doesn't count it */
};

static const struct time_case time_cases[] = {
    {-5, "0.0005", NULL},       {0, "0.0005", NULL},
    {500, "0.0005", NULL},      {501, "0.001", "0.0005"},
    {1000000, "1", "0.5"},      {1000001, "2.5", "1"},
    {120000000, "120", "60"},   {120000001, "+Inf", "120"},
    {INT64_MAX, "+Inf", "120"},
};

/* A time is counted in its bucket and in every higher bucket. */
static void
test_buckets_cumulative(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(time_cases); i++) {
        struct ch_metrics *metrics = ch_metrics_new();
        ch_metrics_observe(metrics, CH_HIST_QUEUE_TIME, "c", "t",
                           time_cases[i].time);
        char *text = render(metrics);
        const char *format = "chestnuthitch_queued_seconds_bucket{class=\"c\","
                             "tenant=\"t\",le=\"%s\"} %d";
        char *in = g_strdup_printf(format, time_cases[i].bucket, 1);
        char *top = g_strdup_printf(format, "+Inf", 1);
        g_assert_true(contains_line(text, in));
        g_assert_true(contains_line(text, top));
        if (time_cases[i].below != NULL) {
            char *out = g_strdup_printf(format, time_cases[i].below, 0);
            g_assert_true(contains_line(text, out));
            g_free(out);
        }
        g_free(in);
        g_free(top);
        g_free(text);
        ch_metrics_free(metrics);
    }
}

/* Counts the classes and checks the sums over the tenants of one class. */
static void
check_sums(void *data, const char *class_name,
           const struct ch_class_outcomes *all)
{
    int *classes = data;
    (*classes)++;
    if (strcmp(class_name, "order") == 0) {
        g_assert_cmpuint(all->counts[CH_RAN][1], ==, 2);
        g_assert_cmpuint(all->counts[CH_NOT_RUN][0], ==, 1);
        g_assert_cmpuint(all->counts[CH_UNKNOWN][0], ==, 0);
    }
}

/* Requests are counted by outcome, by result code and in the sums by class. */
static void
test_outcomes_counted(void)
{
    struct ch_metrics *metrics = ch_metrics_new();
    ch_metrics_count_outcome(metrics, "order", "a", CH_OK, true);
    ch_metrics_count_outcome(metrics, "order", "b", CH_OK, true);
    ch_metrics_count_outcome(metrics, "order", "b", CH_LATE, false);
    ch_metrics_count_outcome(metrics, "advice", "a", CH_UPSTREAM_CUT, false);
    char *text = render(metrics);
    g_assert_true(contains_line(
        text, "chestnuthitch_outcomes_total{class=\"order\",tenant=\"b\","
              "outcome=\"not-run\",target=\"missed\"} 1"));
    g_assert_true(contains_line(
        text, "chestnuthitch_results_total{class=\"order\",code=\"OK\"} 2"));
    g_assert_true(contains_line(text, "chestnuthitch_results_total{class="
                                      "\"advice\",code=\"UPSTREAM_CUT\"} 1"));
    int classes = 0;
    ch_metrics_foreach_class(metrics, check_sums, &classes);
    g_assert_cmpint(classes, ==, 2);
    g_free(text);
    ch_metrics_free(metrics);
}

/* Names that callers invent don't grow the table of tenants: once it is full,
 * further names are counted together as "other". */
static void
test_tenants_limited(void)
{
    struct ch_metrics *metrics = ch_metrics_new();
    for (int i = 0; i < 1000; i++) {
        char *tenant = g_strdup_printf("made-up-%d", i);
        ch_metrics_count_outcome(metrics, "c", tenant, CH_OK, true);
        g_free(tenant);
    }
    char *text = render(metrics);
    char **parts = g_strsplit(text, "tenant=", -1);
    g_assert_cmpuint(g_strv_length(parts) - 1, ==, 129);
    g_assert_true(contains_line(
        text, "chestnuthitch_outcomes_total{class=\"c\",tenant=\"other\","
              "outcome=\"ran\",target=\"met\"} 872"));
    g_strfreev(parts);
    g_free(text);
    ch_metrics_free(metrics);
}

/* Labels are escaped and counters are rendered; calls with NULL metrics have
 * no effect. */
static void
test_labels_and_counters(void)
{
    struct ch_metrics *metrics = ch_metrics_new();
    ch_metrics_count_outcome(metrics, "a\"b", "c\\d\ne\xff", CH_OK, true);
    ch_metrics_count_outcome(metrics, NULL, "t", CH_OK, true);
    ch_metrics_add_count(metrics, CH_COUNT_RETRIES, 3);
    g_assert_cmpuint(ch_metrics_get_count(metrics, CH_COUNT_RETRIES), ==, 3);
    char *text = render(metrics);
    g_assert_true(contains_line(text, "chestnuthitch_retries_total 3"));
    g_assert_true(contains_line(text, "# TYPE chestnuthitch_retries_total "
                                      "counter"));
    g_assert_nonnull(strstr(text, "{class=\"a\\\"b\",tenant="
                                  "\"c\\\\d\\ne\xef\xbf\xbd\","));
    g_assert_nonnull(strstr(text, "{class=\"other\",tenant=\"t\","));
    g_free(text);
    ch_metrics_free(metrics);
    ch_metrics_add_count(NULL, CH_COUNT_RETRIES, 1);
    ch_metrics_observe(NULL, CH_HIST_QUEUE_TIME, "c", "t", 1);
    ch_metrics_count_outcome(NULL, "c", "t", CH_OK, true);
    g_assert_cmpuint(ch_metrics_get_count(NULL, CH_COUNT_RETRIES), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/metrics/buckets", test_buckets_cumulative);
    g_test_add_func("/metrics/outcomes", test_outcomes_counted);
    g_test_add_func("/metrics/tenants-bounded", test_tenants_limited);
    g_test_add_func("/metrics/text", test_labels_and_counters);
    return g_test_run();
}
