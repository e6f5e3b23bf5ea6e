/* Report on the logs of nodes: log lines in, parts of the report out. */

#include "explain/explain.h"

#include <string.h>

#define HEAD(time, event)                                                     \
    "{\"time\":\"2026-01-01T00:00:" time                                      \
    "Z\",\"node\":\"n1\",\"event\":\"" event "\""

/* Log lines, and a text that the report of these lines must contain. */
static const struct {
    const char *description;
    const char *lines[6];
    const char *expected;
} cases[] = {
    {"a request counts in the interval of its arrival, with its time to the "
     "first response data",
     {HEAD("07.500", "request") ",\"model\":\"m1\",\"code\":0,"
                                "\"first_us\":80000,\"target_us\":400000,"
                                "\"total_us\":3000000}"},
     "00:00:00  m1                     1       1       1       0       0     "
     "  0       0       0       0       0       0       80       80\n"},
    {"refusals and failures by their cause",
     {HEAD("01.000", "request") ",\"model\":\"m1\",\"code\":201}",
      HEAD("01.100", "request") ",\"model\":\"m1\",\"code\":203}",
      HEAD("01.200", "request") ",\"model\":\"m1\",\"code\":303}",
      HEAD("01.300", "request") ",\"model\":\"m1\",\"code\":311}"},
     "00:00:00  m1                     4       0       0       1       1     "
     "  0       0       1       0       1       0        0        0\n"},
    {"refused, as upstreams crashed while running the request",
     {HEAD("01.000", "request") ",\"model\":\"m1\",\"code\":208}"},
     "00:00:00  m1                     1       0       0       0       0     "
     "  0       1       0       0       0       0        0        0\n"},
    {"refused, as the team's quota was used up, and as no pool answered",
     {HEAD("01.000", "request") ",\"model\":\"m1\",\"code\":209}",
      HEAD("01.100", "request") ",\"model\":\"m1\",\"code\":210}"},
     "00:00:00  m1                     2       0       0       0       0     "
     "  1       1       0       0       0       0        0        0\n"},
    {"a change of models: memory is freed, then the load from the store",
     {HEAD("01.000", "model-move") ",\"upstream\":\"e1\",\"model\":\"m1\","
                                   "\"action\":\"unload\","
                                   "\"pledged\":\"m2\",\"from_store\":true}",
      HEAD("03.000", "model-unloaded") ",\"upstream\":\"e1\",\"model\":\"m1\","
                                       "\"took_us\":2000000}",
      HEAD("03.200", "model-move") ",\"upstream\":\"e1\",\"model\":\"m2\","
                                   "\"action\":\"load\","
                                   "\"pledged\":\"\",\"from_store\":false}",
      HEAD("07.700", "model-loaded") ",\"upstream\":\"e1\",\"model\":\"m2\","
                                     "\"took_us\":4500000}"},
     "changes, whole             1  p50   6700 ms  p90   6700 ms\n"
     "making room                1  p50   2000 ms  p90   2000 ms\n"
     "loads from the store       1  p50   4500 ms  p90   4500 ms\n"
     "loads of a copy            0  p50      0 ms  p90      0 ms\n"
     "the longest:\n"
     "00:00:01  m2 on e1: 6700 ms\n"},
    {"a change that another change replaced does not count",
     {HEAD("01.000", "model-move") ",\"upstream\":\"e1\",\"model\":\"m1\","
                                   "\"action\":\"unload\","
                                   "\"pledged\":\"m2\",\"from_store\":true}",
      HEAD("02.000", "model-move") ",\"upstream\":\"e1\",\"model\":\"m3\","
                                   "\"action\":\"load\","
                                   "\"pledged\":\"\",\"from_store\":false}",
      HEAD("03.000", "model-loaded") ",\"upstream\":\"e1\",\"model\":\"m3\","
                                     "\"took_us\":1000000}"},
     "changes, whole             1  p50   1000 ms"},
    {"a model with a shortage, and what is in the way on average",
     {HEAD("01.000",
           "model-short") ",\"model\":\"m1\",\"asked_thousandths\":1800,"
                          "\"replicas\":2,"
                          "\"changing\":1,\"no_room\":4,\"no_load\":0}",
      HEAD("02.000",
           "model-short") ",\"model\":\"m1\",\"asked_thousandths\":2400,"
                          "\"replicas\":1,"
                          "\"changing\":2,\"no_room\":3,\"no_load\":1}"},
     "m1                    2       2.4        1       1.5      3.5      "
     "0.5\n"},
    {"text that a test bench writes before the JSON object is skipped",
     {"  12.5 n1 " HEAD(
         "07.500", "request") ",\"model\":\"m9\",\"code\":0,\"total_us\":0}"},
     "m9"},
};

static void
test_report(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_explain *explain = ch_explain_new(5);
        g_test_message("%s", cases[i].description);
        for (size_t k = 0; cases[i].lines[k] != NULL; k++) {
            g_assert_true(ch_explain_add_line(explain, cases[i].lines[k]));
        }
        g_autofree char *report = ch_explain_report(explain);
        if (strstr(report, cases[i].expected) == NULL) {
            g_test_message("%s", report);
            g_test_fail();
        }
        ch_explain_free(explain);
    }
}

/* Lines that aren't log lines of a node are reported as such and don't count.
 */
static void
test_invalid_lines(void)
{
    static const char *const lines[] = {
        "",
        "no object at all",
        "{\"event\":\"request\",\"model\":\"m1\"}",
        "{\"time\":\"yesterday\",\"event\":\"request\",\"model\":\"m1\"}",
        "{\"time\":\"2026-01-01T00:00:00Z\",\"event\":17}",
        "{\"time\":\"2026-01-01T00:00:00Z\",\"event\":\"request\"",
        "[1,2,3]",
    };
    struct ch_explain *explain = ch_explain_new(5);
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        g_test_message("%s", lines[i]);
        g_assert_false(ch_explain_add_line(explain, lines[i]));
    }
    /* Members of an unexpected type count as absent. */
    g_assert_true(ch_explain_add_line(
        explain, HEAD("01.000", "model-move") ",\"upstream\":[],"
                                              "\"model\":{},\"pledged\":3}"));
    g_assert_true(ch_explain_add_line(
        explain, HEAD("01.000", "request") ",\"model\":7,\"code\":\"x\"}"));
    g_autofree char *report = ch_explain_report(explain);
    g_assert_null(strstr(report, "m1"));
    ch_explain_free(explain);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/explain/report", test_report);
    g_test_add_func("/explain/strange-lines", test_invalid_lines);
    return g_test_run();
}
