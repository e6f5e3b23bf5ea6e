/* Classes that are chosen by host and path: their declaration, and the
 * requests that they take. */

#include "decide/policy.h"
#include "node/request.h"

#include <string.h>

static const char good[] =
    "[class advice]\nhost = a.example\npath = /x/\nshares = models:1\n"
    "first-token-ms = 1000\ngap-ms = 300\ntime-limit-ms = 15000\ntries = 2\n"
    "stream = true\nresumable = true\nidempotent = true\npriority = 1\n"
    "[class deep]\nhost = a.example\npath = /x/y/\nshares = app:3 other:1\n"
    "answer-ms = 200\nidempotent = false\n"
    "[model m1]\nmemory-mb = 70\nservices = models\nnumbered-adapters = 3\n"
    "adapter-memory-mb = 2\nload-ms = 5000\n"
    "[service app]\nconnections = 100\n[service other]\n"
    "[service models]\nmemory-mb = 200\nbatch = 64\ncontext-tokens = 1000\n"
    "adapter-places = 8\nloads-per-s = 1.4\n"
    "[limits]\nheader-bytes = 16384\nbody-bytes = 4096\nidle-ms = 15000\n";

/* What an operator writes wrongly is refused with the group and key. */
static const struct {
    const char *text;
    const char *expect;
} bad[] = {
    {"[class c]\nhost = h\npath = /x\nshares = s:1\nanswer-ms = 1\n"
     "[service s]\n",
     "path"},
    {"[class c]\nhost = h\nshares = s:1\nanswer-ms = 1\n[service s]\n",
     "path"},
    {"[class c]\nhost = h\npath = /\nanswer-ms = 1\n[service s]\n", "shares"},
    {"[class c]\nhost = h\npath = /\nshares = s\nanswer-ms = 1\n[service s]\n",
     "shares"},
    {"[class c]\nhost = h\npath = /\nshares = t:1\nanswer-ms = 1\n"
     "[service s]\n",
     "not declared"},
    {"[class c]\nhost = h\npath = /\nshares = s:-1\nanswer-ms = 1\n"
     "[service s]\n",
     "shares"},
    {"[class c]\nhost = h\npath = /\nshares = s:1\nanswer-ms = 1\n"
     "tries = 0\n[service s]\n",
     "tries"},
    {"[class c]\nhost = h\npath = /\nshares = s:1\nanswer-ms = 1\n"
     "[service s]\n[model m]\nmemory-mb = 1\nservices = t\n",
     "not declared"},
};

static void
test_bad(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        struct ch_error error = {0};
        g_assert_null(ch_declaration_parse(bad[i].text, "f.ini", &error));
        g_test_message("%s", error.message);
        g_assert_nonnull(strstr(error.message, bad[i].expect));
    }
}

static struct ch_declaration *
declaration(void)
{
    struct ch_error error = {0};
    struct ch_declaration *parsed =
        ch_declaration_parse(good, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    return parsed;
}

/* The canonical text says the same again, to the byte. */
static void
test_text(void)
{
    struct ch_error error = {0};
    struct ch_declaration *first = declaration();
    struct ch_declaration *second =
        ch_declaration_parse(first->text, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpstr(first->text, ==, second->text);
    g_assert_cmpuint(second->limits.body_bytes, ==, 4096);
    g_assert_cmpint(second->limits.idle_time, ==, 15000000);
    g_assert_cmpuint(second->models[0].numbered_adapters, ==, 3);
    ch_declaration_free(first);
    ch_declaration_free(second);
}

/* The longest prefix wins; hosts are compared without regard to case. */
static const struct {
    const char *host;
    const char *path;
    const char *expect; /* NULL: no class */
} routes[] = {
    {"a.example", "/x/1", "advice"}, {"A.Example", "/x/", "advice"},
    {"a.example", "/x/y/1", "deep"}, {"a.example", "/x/y", "advice"},
    {"a.example", "/x", NULL},       {"a.example", "/", NULL},
    {"b.example", "/x/1", NULL},     {"a.example", "/x/y/../z", "deep"},
};

static void
test_routes(void)
{
    struct ch_declaration *parsed = declaration();
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        int index = ch_declaration_route(
            parsed, routes[i].host, routes[i].path, strlen(routes[i].path));
        g_assert_cmpstr(index < 0 ? NULL : parsed->classes[index].name, ==,
                        routes[i].expect);
    }
    ch_declaration_free(parsed);
}

static const struct {
    const char *what;
    const char *uri;
    const char *id;
    const char *model;
    const char *deadline;
    enum ch_code code;
} requests[] = {
    {"good", "/x/1?a=b", "i1", "m1", "500", CH_OK},
    {"with an adapter", "/x/1", "i1", "m1/a3", "500", CH_OK},
    {"without a deadline", "/x/1", "i1", "m1", NULL, CH_OK},
    {"a plain service", "/x/y/1", "i1", NULL, "500", CH_OK},
    {"no id", "/x/1", NULL, "m1", "500", CH_BAD_FIELD},
    {"no model", "/x/1", "i1", NULL, "500", CH_BAD_FIELD},
    {"a model that is none", "/x/1", "i1", "m2", "500", CH_UNKNOWN_MODEL},
    {"an adapter that is none", "/x/1", "i1", "m1/a4", "500",
     CH_UNKNOWN_MODEL},
    {"a number that is none", "/x/1", "i1", "m1/a03x", "500",
     CH_UNKNOWN_MODEL},
    {"a deadline that is none", "/x/1", "i1", "m1", "soon", CH_BAD_FIELD},
    {"a path that nobody takes", "/z/1", "i1", "m1", "500", CH_UNKNOWN_PATH},
    {"a whole URL", "http://a.example/x/1", "i1", "m1", "500", CH_BAD_FIELD},
};

static void
test_requests(void)
{
    struct ch_declaration *parsed = declaration();
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        struct ch_request_input *input = g_new0(struct ch_request_input, 1);
        struct ch_fault fault = {.error.code = CH_OK};
        input->method = "POST";
        input->uri = requests[i].uri;
        input->host = "a.example:80";
        input->request_id = requests[i].id;
        input->model = requests[i].model;
        input->deadline_ms = requests[i].deadline;
        input->passed =
            g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
        struct ch_request *request =
            ch_request_parse_routed(parsed, input, 1000, &fault);
        g_test_message("%s: %s", requests[i].what, fault.error.message);
        g_assert_cmpint(fault.error.code, ==, requests[i].code);
        g_assert_cmpint(request != NULL, ==, requests[i].code == CH_OK);
        if (request != NULL) {
            g_assert_cmpstr(request->path, ==, requests[i].uri);
            ch_request_free(request);
        }
        g_array_free(input->passed, TRUE);
        g_free(input);
    }
    ch_declaration_free(parsed);
}

/* The caller's deadline and the class's limit: the earlier one holds. */
static void
test_deadline(void)
{
    static const struct {
        const char *deadline;
        int64_t expect;
    } rows[] = {{"500", 500000}, {"20000", 15000000}, {NULL, 15000000}};
    struct ch_declaration *parsed = declaration();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_request_input *input = g_new0(struct ch_request_input, 1);
        struct ch_fault fault = {.error.code = CH_OK};
        input->method = "POST";
        input->uri = "/x/1";
        input->host = "a.example";
        input->request_id = "i1";
        input->model = "m1";
        input->deadline_ms = rows[i].deadline;
        input->passed =
            g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
        struct ch_request *request =
            ch_request_parse_routed(parsed, input, 7, &fault);
        g_assert_nonnull(request);
        g_assert_cmpint(request->deadline - 7, ==, rows[i].expect);
        ch_request_free(request);
        g_array_free(input->passed, TRUE);
        g_free(input);
    }
    ch_declaration_free(parsed);
}

/* What may be repeated, by what a class allows and what happened: a request
 * that may have run and may not run twice is never sent again. */
static const struct {
    const char *what;
    bool idempotent;
    uint32_t tries;
    uint32_t attempt;
    enum ch_code code;
    bool may_have_run;
    enum ch_retry expect;
    double level;
} retries[] = {
    {"a safe one fails", true, 2, 0, CH_UPSTREAM_CUT, true, CH_RETRY_AGAIN, 5},
    {"its tries are used up", true, 2, 1, CH_UPSTREAM_CUT, true, CH_RETRY_NO,
     5},
    {"the budget is used up", true, 3, 0, CH_UPSTREAM_CUT, true, CH_RETRY_NO,
     0.5},
    {"an unsafe one may have run", false, 3, 0, CH_UPSTREAM_CUT, true,
     CH_RETRY_NO, 5},
    {"an unsafe one surely has not", false, 3, 0, CH_UPSTREAM_REFUSED, false,
     CH_RETRY_AGAIN, 5},
    {"no connection: nothing was sent, nothing is spent", false, 1, 0,
     CH_UPSTREAM_CONNECT, false, CH_RETRY_AGAIN, 0},
    {"the caller is gone", true, 3, 0, CH_CANCELLED, true, CH_RETRY_NO, 5},
};

static void
test_retries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retries); i++) {
        struct ch_retry_budget budget = {
            .level = retries[i].level, .share = 0.1, .most = 20};
        const struct ch_work work = {
            .idempotent = retries[i].idempotent,
            .tries = retries[i].tries,
            .attempt = retries[i].attempt,
        };
        g_test_message("%s", retries[i].what);
        const struct ch_retry_failure failure = {
            .code = retries[i].code,
            .may_have_run = retries[i].may_have_run,
        };
        bool held = false;
        /* A silent call is given up only for a try that it holds then. */
        if (retries[i].code == CH_UPSTREAM_CUT) {
            bool expect = retries[i].expect == CH_RETRY_AGAIN;
            g_assert_cmpint(ch_retry_reserve(&budget, &held, &work, 0), ==,
                            expect);
            g_assert_cmpint(held, ==, expect);
            g_assert_cmpfloat(budget.level, ==, retries[i].level - held);
        }
        double left = budget.level;
        bool costs = !held && retries[i].expect == CH_RETRY_AGAIN &&
                     retries[i].code != CH_UPSTREAM_CONNECT;
        g_assert_cmpint(ch_retry_decide(&budget, &held, &work, &failure, 0),
                        ==, retries[i].expect);
        /* A held try is not drawn a second time, and is given back once. */
        g_assert_cmpfloat(budget.level, ==, left - costs);
        left = budget.level + held;
        ch_retry_give_back(&budget, &held);
        ch_retry_give_back(&budget, &held);
        g_assert_cmpfloat(budget.level, ==, left);
    }
}

/* What is past its time is not given up for another try: none would be made.
 */
static void
test_reserve_past(void)
{
    struct ch_retry_budget budget = {.level = 2, .share = 0.1, .most = 20};
    const struct ch_work work = {
        .idempotent = true, .tries = 2, .whole_by = 100};
    bool held = false;
    g_assert_false(ch_retry_reserve(&budget, &held, &work, 100));
    g_assert_cmpfloat(budget.level, ==, 2);
    g_assert_true(ch_retry_reserve(&budget, &held, &work, 99));
    g_assert_true(ch_retry_reserve(&budget, &held, &work, 99));
    g_assert_cmpfloat(budget.level, ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/bad", test_bad);
    g_test_add_func("/route/text", test_text);
    g_test_add_func("/route/routes", test_routes);
    g_test_add_func("/route/requests", test_requests);
    g_test_add_func("/route/deadline", test_deadline);
    g_test_add_func("/route/retries", test_retries);
    g_test_add_func("/route/reserve-past", test_reserve_past);
    return g_test_run();
}
