/* Classes chosen by host and path: their declaration, and the requests that
 * match them. */

#include "decide/policy.h"
#include "node/request.h"

#include <string.h>

static const char valid_text[] =
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

/* Faulty declarations are refused with the group and key. */
static const struct {
    const char *text;
    const char *expect;
} invalid_declarations[] = {
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
test_invalid_declarations(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_declarations); i++) {
        struct ch_error error = {0};
        g_assert_null(ch_declaration_parse(invalid_declarations[i].text,
                                           "f.ini", &error));
        g_test_message("%s", error.message);
        g_assert_nonnull(
            strstr(error.message, invalid_declarations[i].expect));
    }
}

static struct ch_declaration *
parse_valid(void)
{
    struct ch_error error = {0};
    struct ch_declaration *parsed =
        ch_declaration_parse(valid_text, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    return parsed;
}

/* Parsing the canonical text gives the same text, byte by byte. */
static void
test_canonical_text(void)
{
    struct ch_error error = {0};
    struct ch_declaration *first = parse_valid();
    struct ch_declaration *second =
        ch_declaration_parse(first->canonical_text, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpstr(first->canonical_text, ==, second->canonical_text);
    g_assert_cmpuint(second->limits.body_bytes, ==, 4096);
    g_assert_cmpint(second->limits.idle_time, ==, 15000000);
    g_assert_cmpuint(second->models[0].numbered_adapter_count, ==, 3);
    ch_declaration_free(first);
    ch_declaration_free(second);
}

/* The longest path prefix wins; hosts are compared case-insensitively. */
static const struct {
    const char *host;
    const char *path;
    const char *expect; /* NULL: no class */
} route_cases[] = {
    {"a.example", "/x/1", "advice"}, {"A.Example", "/x/", "advice"},
    {"a.example", "/x/y/1", "deep"}, {"a.example", "/x/y", "advice"},
    {"a.example", "/x", NULL},       {"a.example", "/", NULL},
    {"b.example", "/x/1", NULL},     {"a.example", "/x/y/../z", "deep"},
};

static void
test_routes(void)
{
    struct ch_declaration *parsed = parse_valid();
    for (size_t i = 0; i < G_N_ELEMENTS(route_cases); i++) {
        int index = ch_declaration_find_route(parsed, route_cases[i].host,
                                              route_cases[i].path,
                                              strlen(route_cases[i].path));
        g_assert_cmpstr(index < 0 ? NULL : parsed->classes[index].name, ==,
                        route_cases[i].expect);
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
} request_cases[] = {
    {"valid", "/x/1?a=b", "i1", "m1", "500", CH_OK},
    {"with an adapter", "/x/1", "i1", "m1/a3", "500", CH_OK},
    {"without a deadline", "/x/1", "i1", "m1", NULL, CH_OK},
    {"a plain service", "/x/y/1", "i1", NULL, "500", CH_OK},
    {"no id", "/x/1", NULL, "m1", "500", CH_BAD_FIELD},
    {"no model", "/x/1", "i1", NULL, "500", CH_BAD_FIELD},
    {"an unknown model", "/x/1", "i1", "m2", "500", CH_UNKNOWN_MODEL},
    {"an unknown adapter", "/x/1", "i1", "m1/a4", "500", CH_UNKNOWN_MODEL},
    {"an adapter number that is not a number", "/x/1", "i1", "m1/a03x", "500",
     CH_UNKNOWN_MODEL},
    {"an invalid deadline", "/x/1", "i1", "m1", "soon", CH_BAD_FIELD},
    {"a path without a class", "/z/1", "i1", "m1", "500", CH_UNKNOWN_PATH},
    {"a whole URL", "http://a.example/x/1", "i1", "m1", "500", CH_BAD_FIELD},
};

static void
test_requests(void)
{
    struct ch_declaration *parsed = parse_valid();
    for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
        struct ch_request_input *input = g_new0(struct ch_request_input, 1);
        struct ch_fault fault = {.error.code = CH_OK};
        input->method = "POST";
        input->uri = request_cases[i].uri;
        input->host = "a.example:80";
        input->request_id = request_cases[i].id;
        input->model = request_cases[i].model;
        input->deadline_ms = request_cases[i].deadline;
        input->forwarded_headers =
            g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
        struct ch_request *request =
            ch_request_parse_routed(parsed, input, 1000, &fault);
        g_test_message("%s: %s", request_cases[i].what, fault.error.message);
        g_assert_cmpint(fault.error.code, ==, request_cases[i].code);
        g_assert_cmpint(request != NULL, ==, request_cases[i].code == CH_OK);
        if (request != NULL) {
            g_assert_cmpstr(request->path, ==, request_cases[i].uri);
            ch_request_free(request);
        }
        g_array_free(input->forwarded_headers, TRUE);
        g_free(input);
    }
    ch_declaration_free(parsed);
}

/* The earlier of the caller's deadline and the class's limit holds. */
static void
test_deadline(void)
{
    static const struct {
        const char *deadline;
        int64_t expect;
    } rows[] = {{"500", 500000}, {"20000", 15000000}, {NULL, 15000000}};
    struct ch_declaration *parsed = parse_valid();
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct ch_request_input *input = g_new0(struct ch_request_input, 1);
        struct ch_fault fault = {.error.code = CH_OK};
        input->method = "POST";
        input->uri = "/x/1";
        input->host = "a.example";
        input->request_id = "i1";
        input->model = "m1";
        input->deadline_ms = rows[i].deadline;
        input->forwarded_headers =
            g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
        struct ch_request *request =
            ch_request_parse_routed(parsed, input, 7, &fault);
        g_assert_nonnull(request);
        g_assert_cmpint(request->deadline - 7, ==, rows[i].expect);
        ch_request_free(request);
        g_array_free(input->forwarded_headers, TRUE);
        g_free(input);
    }
    ch_declaration_free(parsed);
}

/* Retries by what the class allows and how the attempt failed: a request that
 * may have run and isn't idempotent is never sent again. */
static const struct {
    const char *what;
    bool idempotent;
    uint32_t tries;
    uint32_t attempt;
    enum ch_code code;
    bool may_have_run;
    enum ch_retry expect;
    double level;
} retry_cases[] = {
    {"safe to repeat, fails", true, 2, 0, CH_UPSTREAM_CUT, true,
     CH_RETRY_RESTART, 5},
    {"its tries are used up", true, 2, 1, CH_UPSTREAM_CUT, true, CH_RETRY_NO,
     5},
    {"the retry budget is used up", true, 3, 0, CH_UPSTREAM_CUT, true,
     CH_RETRY_NO, 0.5},
    {"not idempotent, may have run", false, 3, 0, CH_UPSTREAM_CUT, true,
     CH_RETRY_NO, 5},
    {"not idempotent, has not run", false, 3, 0, CH_UPSTREAM_REFUSED, false,
     CH_RETRY_RESTART, 5},
    {"no connection: nothing was sent, and no retry is drawn", false, 1, 0,
     CH_UPSTREAM_CONNECT, false, CH_RETRY_RESTART, 0},
    {"the caller is gone", true, 3, 0, CH_CANCELLED, true, CH_RETRY_NO, 5},
};

static void
test_retries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(retry_cases); i++) {
        struct ch_retry_budget budget = {
            .level = retry_cases[i].level, .share = 0.1, .max_level = 20};
        const struct ch_request_info request = {
            .idempotent = retry_cases[i].idempotent,
            .max_attempts = retry_cases[i].tries,
            .attempt = retry_cases[i].attempt,
        };
        g_test_message("%s", retry_cases[i].what);
        const struct ch_retry_failure failure = {
            .code = retry_cases[i].code,
            .may_have_run = retry_cases[i].may_have_run,
        };
        bool held = false;
        /* A silent call is given up only after a retry has been reserved. */
        if (retry_cases[i].code == CH_UPSTREAM_CUT) {
            bool expect = retry_cases[i].expect == CH_RETRY_RESTART;
            g_assert_cmpint(ch_retry_may_abandon(&budget, &held, &request, 0),
                            ==, expect);
            g_assert_cmpint(held, ==, expect);
            g_assert_cmpfloat(budget.level, ==, retry_cases[i].level - held);
        }
        double level_before = budget.level;
        bool draws_retry = !held &&
                           retry_cases[i].expect == CH_RETRY_RESTART &&
                           retry_cases[i].code != CH_UPSTREAM_CONNECT;
        g_assert_cmpint(ch_retry_decide(&budget, &held, &request, &failure, 0),
                        ==, retry_cases[i].expect);
        /* A reserved retry is drawn from the budget only once, and returned
         * once. */
        g_assert_cmpfloat(budget.level, ==, level_before - draws_retry);
        level_before = budget.level + held;
        ch_retry_put_back(&budget, &held);
        ch_retry_put_back(&budget, &held);
        g_assert_cmpfloat(budget.level, ==, level_before);
    }
}

/* A silent call past its deadline isn't given up: there would be no retry. */
static void
test_reserve_past_deadline(void)
{
    struct ch_retry_budget budget = {
        .level = 2, .share = 0.1, .max_level = 20};
    const struct ch_request_info request = {
        .idempotent = true, .max_attempts = 2, .answer_deadline = 100};
    bool held = false;
    g_assert_false(ch_retry_may_abandon(&budget, &held, &request, 100));
    g_assert_cmpfloat(budget.level, ==, 2);
    g_assert_true(ch_retry_may_abandon(&budget, &held, &request, 99));
    g_assert_true(ch_retry_may_abandon(&budget, &held, &request, 99));
    g_assert_cmpfloat(budget.level, ==, 1);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/bad", test_invalid_declarations);
    g_test_add_func("/route/text", test_canonical_text);
    g_test_add_func("/route/routes", test_routes);
    g_test_add_func("/route/requests", test_requests);
    g_test_add_func("/route/deadline", test_deadline);
    g_test_add_func("/route/retries", test_retries);
    g_test_add_func("/route/reserve-past", test_reserve_past_deadline);
    return g_test_run();
}
