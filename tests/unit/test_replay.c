/* Tests of traces, sites and expectations: errors name the position of the
 * fault, and the result of a run depends only on its input. */

#include "replay/replay.h"

#include <string.h>

#define HEADER                                                                \
    "at_ms,event,target,value,caller,class,model,adapter,prefix,"             \
    "prompt_tokens,output_tokens,key\n"

static const char SITE[] = "[class advice]\n"
                           "first-token-ms = 12000\n"
                           "between-tokens-ms = 62\n"
                           "models = m01\n"
                           "services = orders\n"
                           "[class order]\n"
                           "answer-ms = 3000\n"
                           "services = orders\n"
                           "idempotent = false\n"
                           "[model m01]\n"
                           "memory-mb = 1000\n"
                           "adapters = m01-a1\n"
                           "adapter-memory-mb = 10\n"
                           "[model m02]\n"
                           "memory-mb = 1000\n"
                           "[service orders]\n"
                           "[region r]\n"
                           "[data-centre d]\n"
                           "region = r\n"
                           "[upstream w01]\n"
                           "data-centre = d\n"
                           "memory-mb = 1500\n"
                           "accelerators = 2\n"
                           "batch = 4\n"
                           "[upstream o01]\n"
                           "data-centre = d\n"
                           "service = orders\n"
                           "batch = 4\n"
                           "[entry e1]\n"
                           "data-centre = d\n";

/* A declaration and its site, both parsed from SITE. */
struct fixture {
    struct ch_declaration *declaration;
    struct ch_site *site;
};

static struct fixture
fixture_new(void)
{
    struct ch_error error = {0};
    struct fixture fixture = {
        .declaration = ch_declaration_parse(SITE, "s.ini", &error),
        .site = ch_site_parse(SITE, "s.ini", &error),
    };
    g_assert_cmpstr(error.message, ==, "");
    return fixture;
}

static void
fixture_free(struct fixture *fixture)
{
    ch_site_free(fixture->site);
    ch_declaration_free(fixture->declaration);
}

/* An error in a trace names file, line and column of the first fault. */
static void
test_bad_traces(void)
{
    static const struct {
        const char *text;
        const char *message;
    } cases[] = {
        {"", "t.csv:1:1: the trace is empty"},
        {"at_ms,event\n", "t.csv:1:1: the header line must be"},
        {HEADER "0,request\n", "t.csv:2:10: 2 columns"},
        {HEADER "0,request,,,c,advice,m01,,,1,1,,x\n",
         "t.csv:2:32: more than 12"},
        {HEADER "x,request,,,c,advice,m01,,,1,1,\n",
         "t.csv:2:1: not a number"},
        {HEADER "-1,request,,,c,advice,m01,,,1,1,\n",
         "t.csv:2:1: not a number"},
        {HEADER "nan,request,,,c,advice,m01,,,1,1,\n",
         "t.csv:2:1: not a number"},
        {HEADER "0,vanish,,,,,,,,,,\n", "t.csv:2:3: unknown event"},
        {HEADER "0,down,w99,,,,,,,,,\n", "t.csv:2:8: no upstream"},
        {HEADER "0,entry-down,w01,,,,,,,,,\n", "t.csv:2:14: no entry host"},
        {HEADER "0,slow,w01,,,,,,,,,\n", "t.csv:2:12: not a number"},
        {HEADER "0,slow,w01,0,,,,,,,,\n", "t.csv:2:12: not a factor"},
        {HEADER "\n0,request,,,c,nobody,m01,,,1,1,\n",
         "t.csv:3:15: unknown class"},
        {HEADER "0,request,,,c,advice,m77,,,1,1,\n",
         "t.csv:2:22: unknown model"},
        {HEADER "0,request,,,c,advice,m02,,,1,1,\n",
         "t.csv:2:22: the class may not"},
        {HEADER "0,request,,,c,advice,m01,m02-a1,,1,1,\n",
         "t.csv:2:26: not an adapter"},
        {HEADER "0,request,,,,advice,m01,,,1,1,\n",
         "t.csv:2:13: missing caller"},
        {HEADER "0,request,,,c,advice,m01,,,1,1e99,\n",
         "t.csv:2:30: not a number"},
        {"{\"event\": \"request\"}\n",
         "t.csv:1:1: there is no string \"caller\""},
        {"{\"event\": \"start\"}\n", "t.csv:1:1: no line has the event"},
        {"{\"event\"\n", "t.csv:1:1: not a JSON object"},
    };
    struct fixture fixture = fixture_new();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_error error = {0};
        struct ch_trace *trace = ch_trace_parse(
            cases[i].text, "t.csv", fixture.declaration, fixture.site, &error);
        g_assert_null(trace);
        g_assert_cmpint(error.code, ==, CH_BAD_TRACE);
        if (!g_str_has_prefix(error.message, cases[i].message)) {
            g_error("case %zu: %s", i, error.message);
        }
    }
    fixture_free(&fixture);
}

/* An error in a site names the group and the key. */
static void
test_bad_sites(void)
{
    static const struct {
        const char *text;
        const char *part;
    } cases[] = {
        {"[region r]\n", "there is no upstream"},
        {"[data-centre d]\nregion = x\n", "there is no [region x]"},
        {"[data-centre d]\n", "[data-centre d] region"},
        {"[region r]\nclient-ms = -1\n", "[region r] client-ms"},
        {"[region r]\nspeed = 1\n", "[region r] speed"},
        {"[link]\nmbit-per-s = fast\n", "[link] mbit-per-s"},
        {"[region r]\n[data-centre d]\nregion = r\n[upstream w]\n"
         "data-centre = d\nbatch = 1\n",
         "[upstream w] memory-mb"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_error error = {0};
        g_assert_null(ch_site_parse(cases[i].text, "s.ini", &error));
        if (strstr(error.message, cases[i].part) == NULL) {
            g_error("case %zu: %s", i, error.message);
        }
    }
}

/* Runs a trace under the default policy and returns its JSON, which the caller
 * frees.  With result_out the caller also receives and frees the result. */
static char *
run(const struct fixture *fixture, const char *text,
    struct ch_result **result_out)
{
    struct ch_error error = {0};
    struct ch_trace *trace = ch_trace_parse(
        text, "t.csv", fixture->declaration, fixture->site, &error);
    g_assert_cmpstr(error.message, ==, "");
    struct ch_result *result =
        ch_replay_run(fixture->site, fixture->declaration, trace,
                      ch_policy_find("default"), 1);
    GString *out = g_string_new(NULL);
    ch_result_print(result, out);
    ch_trace_free(trace);
    if (result_out != NULL) {
        *result_out = result;
    }
    else {
        ch_result_free(result);
    }
    return g_string_free(out, FALSE);
}

static const char SMALL[] =
    HEADER "0,request,,,c,advice,m01,m01-a1,p,100,20,\n"
           "10,request,,,c,order,orders,,,0,1,k1\n"
           "2000,request,,,c,order,orders,,,0,1,k1\n"
           "3000,kv-down,,,,,,,,,,\n"
           "3100,request,,,c,order,orders,,,0,1,k2\n"
           "4000,down,w01,,,,,,,,,\n"
           "5000,request,,,c,advice,m01,,,100,20,\n";

/* The same input gives the same bytes.  A request with a key runs once; while
 * the key-value store is unavailable it is refused and not run. */
static void
test_run(void)
{
    struct fixture fixture = fixture_new();
    struct ch_result *result = NULL;
    char *first = run(&fixture, SMALL, &result);
    char *second = run(&fixture, SMALL, NULL);
    g_assert_cmpstr(first, ==, second);
    g_assert_cmpuint(result->requests, ==, 5);
    g_assert_cmpuint(result->met, ==, 3);
    g_assert_cmpuint(result->refused_not_run, ==, 2);
    g_assert_cmpuint(result->ran_twice, ==, 0);
    g_assert_cmpuint(result->overcommit_events, ==, 0);
    g_free(first);
    g_free(second);
    ch_result_free(result);
    fixture_free(&fixture);
}

/* The log of a node is read as a trace: times start at 0, and a request has as
 * many output tokens as it generated. */
static void
test_log(void)
{
    static const char LOG[] =
        "{\"event\":\"start\"}\n"
        "{\"event\":\"request\",\"caller\":\"c\",\"class\":\"advice\","
        "\"model\":\"m01\",\"adapter\":\"m01-a1\",\"prefix\":\"00ff\","
        "\"prompt_tokens\":9,\"output_tokens\":256,\"made_tokens\":5,"
        "\"key\":\"\",\"at_ms\":1764720000000}\n";
    struct fixture fixture = fixture_new();
    struct ch_error error = {0};
    struct ch_trace *trace = ch_trace_parse(LOG, "t.log", fixture.declaration,
                                            fixture.site, &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpuint(trace->count, ==, 1);
    g_assert_cmpint(trace->events[0].at, ==, 0);
    g_assert_cmpuint(trace->events[0].output_tokens, ==, 5);
    ch_trace_free(trace);
    fixture_free(&fixture);
}

/* Expectations that hold, that fail with the expected and the actual figure,
 * and that are malformed. */
static void
test_expect(void)
{
    static const struct {
        const char *text;
        enum ch_code code;
        const char *part;
    } cases[] = {
        {"[expect]\nattainment-at-least = 0.6\n", CH_OK, ""},
        {"[expect]\nattainment-at-least = 0.9\n", CH_EXPECTATION,
         "[expect] attainment-at-least: stated 0.9, found 0.6"},
        {"[expect]\nrefused-at-most = 1\n", CH_EXPECTATION,
         "stated 1, found 2"},
        {"[class order]\nattainment-at-least = 0.6\n", CH_OK, ""},
        {"[class x]\nattainment-at-least = 0.6\n", CH_UNKNOWN_CLASS,
         "[class x]"},
        {"[window a]\nfrom-s = 0\nto-s = 3\nattainment-at-least = 1\n", CH_OK,
         ""},
        {"[window a]\nfrom-s = 0\nto-s = 3\n[window b]\nfrom-s = 3\n"
         "to-s = 6\nshare-of = a\nshare-at-least = 0.9\n",
         CH_EXPECTATION, "[window b] share-at-least: stated 0.9, found 0"},
        {"[window b]\nfrom-s = 3\nto-s = 6\nshare-of = a\n", CH_BAD_VALUE,
         "there is no [window a]"},
        {"[expect]\nattainment = 1\n", CH_UNKNOWN_SETTING, "attainment"},
        {"[expect]\nattainment-at-least = x\n", CH_BAD_VALUE, "not a number"},
        {"[wish]\na = 1\n", CH_UNKNOWN_GROUP, "[wish]"},
    };
    struct fixture fixture = fixture_new();
    struct ch_result *result = NULL;
    g_free(run(&fixture, SMALL, &result));
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_error error = {0};
        bool fine = ch_expect_check(cases[i].text, "e.ini", result, &error);
        g_assert_true(fine == (cases[i].code == CH_OK));
        g_assert_cmpint(error.code, ==, cases[i].code);
        if (strstr(error.message, cases[i].part) == NULL) {
            g_error("case %zu: %s", i, error.message);
        }
    }
    ch_result_free(result);
    fixture_free(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/replay/bad-traces", test_bad_traces);
    g_test_add_func("/replay/bad-sites", test_bad_sites);
    g_test_add_func("/replay/run", test_run);
    g_test_add_func("/replay/log", test_log);
    g_test_add_func("/replay/expect", test_expect);
    return g_test_run();
}
