/* Tests the parsing of callers' requests: an invalid request is rejected, and
 * the error names the field at fault. */

#include "node/request.h"

#include <string.h>

static const char declaration_text[] = "[model m01]\n"
                                       "memory-mb = 100\n"
                                       "adapters = m01-a1;m01-a2\n"
                                       "adapter-memory-mb = 5\n"
                                       "[model m02]\n"
                                       "memory-mb = 200\n"
                                       "[service orders]\n"
                                       "[service desk]\n"
                                       "[class advice]\n"
                                       "first-token-ms = 400\n"
                                       "between-tokens-ms = 60\n"
                                       "models = m01\n"
                                       "callers = cardiff\n"
                                       "[class order]\n"
                                       "answer-ms = 900\n"
                                       "services = orders\n"
                                       "idempotent = false\n";

enum {
    NOW = 5 * G_USEC_PER_SEC,
};

static struct ch_declaration *
declaration_new(void)
{
    struct ch_error error = {.code = CH_OK};
    struct ch_declaration *declaration =
        ch_declaration_parse(declaration_text, "test", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_nonnull(declaration);
    return declaration;
}

/* A row without a method, URI, caller, class or body gets a valid one. */
struct invalid_case {
    const char *name;
    struct ch_request_input input;
    enum ch_code code;
    const char *field;
};

#define INPUT(...)                                                            \
    {                                                                         \
        __VA_ARGS__                                                           \
    }
#define VALID_BODY "{\"model\":\"m01\",\"prompt\":\"hem?\"}"
#define BODY(text) .body = (text), .body_length = sizeof(text) - 1
#define WITH(member) BODY("{\"model\":\"m01\",\"prompt\":\"x\"," member "}")
#define CHAT(messages)                                                        \
    .uri = "/v1/chat/completions",                                            \
    BODY("{\"model\":\"m01\",\"messages\":" messages "}")
#define ORDER .uri = "/services/orders/cut", .class_name = "order"

static const struct invalid_case invalid_cases[] = {
    {"no such path", INPUT(.uri = "/v2/x"), CH_UNKNOWN_PATH, "path"},
    {"half a path", INPUT(.uri = "/v1/completion"), CH_UNKNOWN_PATH, "path"},
    {"not a path", INPUT(.uri = "v1/completions"), CH_BAD_FIELD, "path"},
    {"a fragment", INPUT(.uri = "/services/orders/a#b"), CH_BAD_FIELD, "path"},
    {"a quote", INPUT(.uri = "/services/orders/\""), CH_BAD_FIELD, "path"},
    {"GET", INPUT(.method = "GET"), CH_BAD_METHOD, "method"},
    {"POST", INPUT(.uri = "/v1/models"), CH_BAD_METHOD, "method"},
    {"no such class", INPUT(.class_name = "x"), CH_UNKNOWN_CLASS,
     "Chestnuthitch-Class"},
    {"no class", INPUT(.caller = "nobody"), CH_CLASS_MISSING,
     "Chestnuthitch-Class"},
    {"empty caller", INPUT(.caller = ""), CH_BAD_FIELD,
     "Chestnuthitch-Caller"},
    {"tab in caller", INPUT(.caller = "a\tb"), CH_BAD_FIELD,
     "Chestnuthitch-Caller"},
    {"empty key", INPUT(.key = ""), CH_BAD_KEY, "Idempotency-Key"},
    {"key not ASCII", INPUT(.key = "\xc3\xa9"), CH_BAD_KEY, "Idempotency-Key"},
    {"deadline 0", INPUT(.deadline_ms = "0"), CH_BAD_FIELD,
     "Chestnuthitch-Deadline-Ms"},
    {"deadline -1", INPUT(.deadline_ms = "-1"), CH_BAD_FIELD,
     "Chestnuthitch-Deadline-Ms"},
    {"deadline 1s", INPUT(.deadline_ms = "1s"), CH_BAD_FIELD,
     "Chestnuthitch-Deadline-Ms"},
    {"deadline absurd", INPUT(.deadline_ms = "99999999999999999999"),
     CH_BAD_FIELD, "Chestnuthitch-Deadline-Ms"},
    {"empty body", INPUT(BODY("")), CH_BAD_JSON, "body"},
    {"truncated body", INPUT(BODY("{\"model\":\"m01\",\"pro")), CH_BAD_JSON,
     "body"},
    {"not an object", INPUT(BODY("[1]")), CH_BAD_JSON, "body"},
    {"two objects", INPUT(BODY(VALID_BODY VALID_BODY)), CH_BAD_JSON, "body"},
    {"not UTF-8", INPUT(WITH("\"user\":\"\xff\"")), CH_BAD_JSON, "body"},
    {"a comment", INPUT(BODY("{/**/\"model\":\"m01\"}")), CH_BAD_JSON, "body"},
    {"a NUL", INPUT(BODY("{\"model\":\"m01\",\0\"prompt\":1}")), CH_BAD_JSON,
     "body"},
    {"model twice",
     INPUT(BODY("{\"model\":\"m02\",\"prompt\":\"x\",\"model\":\"m01\"}")),
     CH_BAD_JSON, "body"},
    {"model twice, one escaped",
     INPUT(
         BODY("{\"mod\\u0065l\":\"m02\",\"prompt\":\"\",\"model\":\"m01\"}")),
     CH_BAD_JSON, "body"},
    {"no model", INPUT(BODY("{\"prompt\":\"x\"}")), CH_BAD_FIELD, "model"},
    {"model a number", INPUT(BODY("{\"model\":1,\"prompt\":\"x\"}")),
     CH_BAD_FIELD, "model"},
    {"no such model", INPUT(BODY("{\"model\":\"m99\",\"prompt\":\"x\"}")),
     CH_UNKNOWN_MODEL, "model"},
    {"a model of others", INPUT(BODY("{\"model\":\"m02\",\"prompt\":\"x\"}")),
     CH_MODEL_FORBIDDEN, "model"},
    {"no prompt", INPUT(BODY("{\"model\":\"m01\"}")), CH_BAD_FIELD, "prompt"},
    {"prompt a number", INPUT(BODY("{\"model\":\"m01\",\"prompt\":7}")),
     CH_BAD_FIELD, "prompt"},
    {"prompt of objects", INPUT(BODY("{\"model\":\"m01\",\"prompt\":[{}]}")),
     CH_BAD_FIELD, "prompt"},
    {"tokens -1", INPUT(WITH("\"max_tokens\":-1")), CH_BAD_FIELD,
     "max_tokens"},
    {"tokens 0", INPUT(WITH("\"max_tokens\":0")), CH_BAD_FIELD, "max_tokens"},
    {"tokens absurd", INPUT(WITH("\"max_tokens\":1000000000")), CH_BAD_FIELD,
     "max_tokens"},
    {"tokens over 64 bits",
     INPUT(WITH("\"max_tokens\":99999999999999999999999")), CH_BAD_FIELD,
     "max_tokens"},
    {"tokens 1.5", INPUT(WITH("\"max_tokens\":1.5")), CH_BAD_FIELD,
     "max_tokens"},
    {"tokens text", INPUT(WITH("\"max_tokens\":\"9\"")), CH_BAD_FIELD,
     "max_tokens"},
    {"temperature -1", INPUT(WITH("\"temperature\":-1")), CH_BAD_FIELD,
     "temperature"},
    {"temperature endless", INPUT(WITH("\"temperature\":1e999")), CH_BAD_FIELD,
     "temperature"},
    {"top_p 2", INPUT(WITH("\"top_p\":2")), CH_BAD_FIELD, "top_p"},
    {"stream 1", INPUT(WITH("\"stream\":1")), CH_BAD_FIELD, "stream"},
    {"no messages", INPUT(CHAT("[]")), CH_BAD_FIELD, "messages"},
    {"no role", INPUT(CHAT("[{\"content\":\"x\"}]")), CH_BAD_FIELD,
     "messages"},
    {"content 1", INPUT(CHAT("[{\"role\":\"user\",\"content\":1}]")),
     CH_BAD_FIELD, "messages"},
    {"no service", INPUT(.uri = "/services/", .class_name = "order"),
     CH_UNKNOWN_SERVICE, "path"},
    {"no such service", INPUT(.uri = "/services/x/y", .class_name = "order"),
     CH_UNKNOWN_SERVICE, "path"},
    {"a service of others",
     INPUT(.uri = "/services/desk/y", .class_name = "order"),
     CH_MODEL_FORBIDDEN, "path"},
};

/* Fills in valid values where a row has none. */
static struct ch_request_input
fill_defaults(const struct ch_request_input *row)
{
    struct ch_request_input input = *row;
    input.method = input.method == NULL ? "POST" : input.method;
    input.uri = input.uri == NULL ? "/v1/completions" : input.uri;
    input.caller = input.caller == NULL ? "cardiff" : input.caller;
    if (input.body == NULL) {
        input.body = VALID_BODY;
        input.body_length = sizeof(VALID_BODY) - 1;
    }
    return input;
}

static void
test_invalid(gconstpointer data)
{
    const struct invalid_case *row = data;
    struct ch_declaration *declaration = declaration_new();
    struct ch_request_input input = fill_defaults(&row->input);
    struct ch_fault fault = {.error.code = CH_OK};
    struct ch_request *request =
        ch_request_parse(declaration, &input, NOW, &fault);
    g_assert_null(request);
    g_assert_cmpstr(ch_code_get_name(fault.error.code), ==,
                    ch_code_get_name(row->code));
    g_assert_cmpstr(fault.field, ==, row->field);
    g_assert_cmpstr(fault.error.message, !=, "");
    g_assert_cmpint(ch_code_get_http_status(row->code) / 100, ==, 4);
    g_assert_cmpint(ch_code_get_outcome(row->code), ==, CH_NOT_RUN);
    ch_declaration_free(declaration);
}

/* Deeply nested brackets would exhaust the stack of a recursive parser. */
static void
test_depth(void)
{
    static const unsigned depths[] = {64, 65, 500000};
    for (size_t i = 0; i < G_N_ELEMENTS(depths); i++) {
        GString *text =
            g_string_new("{\"model\":\"m\",\"prompt\":\"\",\"x\":");
        struct ch_model_body body;
        struct ch_fault fault = {.error.code = CH_OK};
        for (unsigned k = 1; k < depths[i]; k++) {
            g_string_append_c(text, '[');
        }
        for (unsigned k = 1; k < depths[i]; k++) {
            g_string_append_c(text, ']');
        }
        g_string_append_c(text, '}');
        bool good =
            ch_model_body_parse(text->str, text->len, false, &body, &fault);
        g_assert_cmpint(good, ==, depths[i] <= 64);
        g_free(body.model);
        g_string_free(text, TRUE);
    }
}

struct valid_case {
    const char *name;
    struct ch_request_input input;
    const char *path;
    const char *model;
    const char *adapter;
    bool stream;
    bool idempotent;
    uint32_t output_tokens;
    int64_t first_by;
};

static const struct valid_case valid_cases[] = {
    {"plain", INPUT(.key = NULL), "/v1/completions", "m01", NULL, false, true,
     CH_REQUEST_DEFAULT_TOKENS, NOW + 400000},
    {"adapter, stream, bound",
     INPUT(
         BODY("{\"model\":\"m01-a2\",\"prompt\":[\"x\",\"y\"],\"stream\":true,"
              "\"max_tokens\":9,\"unknown\":{\"a\":[null]}}")),
     "/v1/completions", "m01", "m01-a2", true, true, 9, NOW + 400000},
    {"nulls", INPUT(WITH("\"max_tokens\":null,\"stream\":null")),
     "/v1/completions", "m01", NULL, false, true, CH_REQUEST_DEFAULT_TOKENS,
     NOW + 400000},
    {"chat, parts",
     INPUT(CHAT("[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":"
                "\"x\"}]},{\"role\":\"assistant\",\"content\":null}]")),
     "/v1/chat/completions", "m01", NULL, false, true,
     CH_REQUEST_DEFAULT_TOKENS, NOW + 400000},
    {"a deadline before the target", INPUT(.deadline_ms = "100"),
     "/v1/completions", "m01", NULL, false, true, CH_REQUEST_DEFAULT_TOKENS,
     NOW + 100000},
    {"an order", INPUT(ORDER, .key = "k 1"), "/cut", "orders", NULL, false,
     false, 0, NOW + 900000},
    {"an order without a path",
     INPUT(.uri = "/services/orders?a=%2F", .class_name = "order"), "/?a=%2F",
     "orders", NULL, false, false, 0, NOW + 900000},
};

static void
test_valid(gconstpointer data)
{
    const struct valid_case *row = data;
    struct ch_declaration *declaration = declaration_new();
    struct ch_request_input input = fill_defaults(&row->input);
    struct ch_fault fault = {.error.code = CH_OK};
    struct ch_request *request =
        ch_request_parse(declaration, &input, NOW, &fault);
    g_assert_cmpstr(fault.error.message, ==, "");
    g_assert_nonnull(request);
    g_assert_cmpstr(request->path, ==, row->path);
    g_assert_cmpstr(request->model, ==, row->model);
    g_assert_cmpstr(request->adapter, ==, row->adapter);
    g_assert_cmpstr(request->key, ==, input.key);
    g_assert_cmpint(request->stream, ==, row->stream);
    g_assert_cmpint(request->info.idempotent, ==, row->idempotent);
    g_assert_cmpuint(request->info.max_output_tokens, ==, row->output_tokens);
    g_assert_cmpint(request->info.first_token_deadline, ==, row->first_by);
    g_assert_cmpmem(request->body, request->body_length, input.body,
                    input.body_length);
    ch_request_free(request);
    ch_declaration_free(declaration);
}

/* A repeated request is distinguished from another request under the same key
 * by method, path and body. */
static void
test_fingerprint(void)
{
    static const struct ch_request_input inputs[] = {
        {ORDER},
        {ORDER, .method = "PUT"},
        {.uri = "/services/orders/hem", .class_name = "order"},
        {ORDER, BODY("two jackets")},
        {ORDER, BODY("two jacket")},
    };
    struct ch_declaration *declaration = declaration_new();
    uint64_t seen[G_N_ELEMENTS(inputs)];
    for (size_t i = 0; i < G_N_ELEMENTS(inputs); i++) {
        struct ch_request_input input = fill_defaults(&inputs[i]);
        struct ch_fault fault = {.error.code = CH_OK};
        struct ch_request *first =
            ch_request_parse(declaration, &input, NOW, &fault);
        struct ch_request *again =
            ch_request_parse(declaration, &input, NOW + 1, &fault);
        g_assert_cmpuint(first->fingerprint, ==, again->fingerprint);
        seen[i] = first->fingerprint;
        for (size_t k = 0; k < i; k++) {
            g_assert_cmpuint(seen[k], !=, seen[i]);
        }
        ch_request_free(first);
        ch_request_free(again);
    }
    ch_declaration_free(declaration);
}

/* ---- requests whose class is chosen by host and path, with teams ---- */

#define ROUTED                                                                \
    "[service orders]\n"                                                      \
    "[class closed]\nhost = h\npath = /c/\nshares = orders:1\n"               \
    "answer-ms = 100\npriority = 3\n"                                         \
    "[class open]\nhost = h\npath = /o/\nshares = orders:1\n"                 \
    "answer-ms = 100\npriority = 3\npublic = true\n"
struct team_case {
    const char *name;
    const char *team_lines; /* of [team bands] */
    const char *uri;
    const char *authorization; /* NULL: none */
    uint32_t prompt_tokens;
    enum ch_code code;
    const char *team;
    const char *owner;
    double cost;
    unsigned priority;
    bool states_tokens;
};

static const struct team_case team_cases[] = {
    {"no key", "", "/c/x", NULL, 0, CH_KEY_MISSING, NULL, NULL, 0, 0, false},
    {"unknown key", "", "/c/x", "Token no", 0, CH_KEY_UNKNOWN, NULL, NULL, 0,
     0, false},
    {"a path before a key", "", "/z/x", "Token no", 0, CH_UNKNOWN_PATH, NULL,
     NULL, 0, 0, false},
    {"known", "", "/c/x", "Token key-of-bands", 0, CH_OK, "bands", "bands\t",
     0, 3, false},
    {"priority", "priority = 0\n", "/c/x", "Token key-of-bands", 0, CH_OK,
     "bands", "bands\t", 0, 0, false},
    {"a quota of requests", "quota-per-s = 5\n", "/c/x", "Token key-of-bands",
     900, CH_OK, "bands", "bands\t", 1, 3, true},
    {"a quota of tokens", "quota-per-s = 5\nquota-unit = tokens\n", "/c/x",
     "Token key-of-bands", 900, CH_OK, "bands", "bands\t", 980, 3, true},
    {"a quota of tokens, none stated",
     "quota-per-s = 5\nquota-unit = tokens\nplain-tokens = 200\n", "/c/x",
     "Token key-of-bands", 0, CH_OK, "bands", "bands\t", 200, 3, false},
    {"public without a key", "", "/o/x", NULL, 0, CH_OK, NULL, "", 0, 3,
     false},
    {"public with a key", "quota-per-s = 5\n", "/o/x", "Token key-of-bands", 0,
     CH_OK, "bands", "bands\t", 1, 3, false},
};

static void
test_team(gconstpointer data)
{
    const struct team_case *row = data;
    struct ch_error error = {.code = CH_OK};
    char digest[CH_ACCESS_DIGEST_SIZE];
    ch_access_digest_key("key-of-bands", digest);
    g_autofree char *text = g_strconcat(ROUTED "[team bands]\nkeys = ", digest,
                                        "\n", row->team_lines, NULL);
    struct ch_declaration *declaration =
        ch_declaration_parse(text, "test", &error);
    g_assert_cmpstr(error.message, ==, "");
    const struct ch_http_header headers[] = {
        {"Host", "h"},
        {"Authorization", row->authorization},
        {"X-Copy", "key-of-bands"},
    };
    struct ch_request_input input = {
        .method = "POST",
        .uri = row->uri,
        .host = "h",
        .request_id = "i1",
        .body = "x",
        .body_length = 1,
        .prompt_tokens = row->prompt_tokens,
        .output_tokens = row->states_tokens ? 80 : 0,
        .states_tokens = row->states_tokens,
        .forwarded_headers =
            g_array_new(FALSE, FALSE, sizeof(struct ch_http_header)),
    };
    if (row->authorization != NULL) {
        ch_credential_add(&input.credential, "Token", row->authorization);
        g_array_append_vals(input.forwarded_headers, headers, 3);
    }
    struct ch_fault fault = {.error.code = CH_OK};
    struct ch_request *request =
        ch_request_parse_routed(declaration, &input, NOW, &fault);
    g_assert_cmpint(fault.error.code, ==, row->code);
    g_assert_cmpint(request != NULL, ==, row->code == CH_OK);
    if (request != NULL) {
        g_assert_cmpstr(request->team, ==, row->team);
        g_assert_cmpstr(request->owner, ==, row->owner);
        g_assert_cmpuint(request->info.priority, ==, row->priority);
        g_assert_cmpfloat(request->quota_cost, ==, row->cost);
        g_assert_cmpuint(request->header_count, ==,
                         row->authorization == NULL ? 0 : 1);
        ch_request_free(request);
    }
    g_array_free(input.forwarded_headers, TRUE);
    ch_declaration_free(declaration);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_cases); i++) {
        char *path = g_strdup_printf("/request/bad/%s", invalid_cases[i].name);
        g_test_add_data_func(path, &invalid_cases[i], test_invalid);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(valid_cases); i++) {
        char *path = g_strdup_printf("/request/good/%s", valid_cases[i].name);
        g_test_add_data_func(path, &valid_cases[i], test_valid);
        g_free(path);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(team_cases); i++) {
        char *path = g_strdup_printf("/request/team/%s", team_cases[i].name);
        g_test_add_data_func(path, &team_cases[i], test_team);
        g_free(path);
    }
    g_test_add_func("/request/depth", test_depth);
    g_test_add_func("/request/fingerprint", test_fingerprint);
    return g_test_run();
}
