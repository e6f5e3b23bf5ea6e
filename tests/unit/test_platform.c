/* Tests the conversion of the platform's configuration, host entries and
 * request headers. */

#include "platform_dialect.h"

#include "access/access.h"
#include "config.h"

#include <string.h>

#define CONFIG                                                                \
    "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\","     \
    "\"path_prefix\":\"/x/\",\"type\":\"streaming\",\"timeout_ms\":15000,"    \
    "\"target_latency_ms\":1000,\"priority\":1,\"backends\":[{\"service\":"   \
    "\"models\",\"weight\":90},{\"service\":\"app\",\"weight\":10}],"         \
    "\"max_attempts\":2,\"resumable\":true,\"target_gap_ms\":300},"           \
    "{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/y/\","        \
    "\"type\":\"unsafe\",\"target_latency_ms\":200,\"service\":\"app\","      \
    "\"new_field\":[1]}],"                                                    \
    "\"services\":[{\"name\":\"models\",\"max_connections\":360,\"engine\":"  \
    "{\"slots\":64,\"kv_capacity\":145419,\"weights_mb\":200000.0,"           \
    "\"adapter_slots\":8,\"loads_per_s\":1.4,\"models\":[{\"name\":\"m1\","   \
    "\"weights_mb\":65099.99999999999,\"load_s\":7.8,\"adapters\":42,"        \
    "\"adapter_mb\":12.0}]}},{\"name\":\"app\"}],"                            \
    "\"limits\":{\"max_header_bytes\":16384,\"idle_timeout_ms\":15000}}"

/* The converted configuration parses as a declaration with the same values. */
static void
test_config_conversion(void)
{
    struct ch_error error = {0};
    g_autofree char *text =
        platform_config_to_ini(CONFIG, strlen(CONFIG), &error);
    g_assert_cmpstr(error.message, ==, "");
    struct ch_declaration *declaration =
        ch_declaration_parse(text, "config", &error);
    g_assert_cmpstr(error.message, ==, "");
    const struct ch_class *first =
        &declaration->classes[ch_declaration_find_class(declaration, "r1")];
    const struct ch_class *second =
        &declaration->classes[ch_declaration_find_class(declaration, "r2")];
    g_assert_true(first->stream && first->resumable && first->idempotent);
    g_assert_cmpint(first->first_token_target, ==, 1000000);
    g_assert_cmpint(first->event_gap_target, ==, 300000);
    g_assert_cmpuint(first->max_attempts, ==, 2);
    g_assert_cmpuint(first->share_count, ==, 2);
    g_assert_false(second->idempotent || second->stream);
    g_assert_cmpint(second->response_target, ==, 200000);
    g_assert_cmpuint(declaration->models[0].memory_mb, ==, 65100);
    g_assert_cmpuint(declaration->models[0].numbered_adapter_count, ==, 42);
    g_assert_cmpuint(declaration->limits.header_bytes, ==, 16384);
    ch_declaration_free(declaration);
}

#define ROUTES                                                                \
    "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\","       \
    "\"type\":\"safe\",\"target_latency_ms\":9,\"service\":\"s\","            \
    "\"public\":true}],\"services\":[{\"name\":\"s\"}]"

/* Tenants become teams, and their keys digests: no key is in the text. */
static void
test_tenants(void)
{
    static const char json[] =
        "{" ROUTES ",\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"secret-1\","
        "\"secret-2\"],\"priority\":0,\"unit\":\"tokens\","
        "\"plain_tokens\":200,\"rate_per_s\":197998,\"burst\":2.5},"
        "{\"name\":\"t2\",\"api_keys\":[]}]}";
    struct ch_error error = {0};
    g_autofree char *text = platform_config_to_ini(json, strlen(json), &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_null(strstr(text, "secret"));
    struct ch_declaration *declaration =
        ch_declaration_parse(text, "config", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_true(declaration->requires_keys);
    g_assert_true(declaration->classes[0].public);
    g_assert_cmpuint(declaration->team_count, ==, 2);
    const struct ch_team *team = &declaration->teams[0];
    g_assert_true(team->counts_tokens);
    g_assert_cmpuint(team->priority, ==, 0);
    g_assert_cmpuint(team->plain_tokens, ==, 200);
    g_assert_cmpfloat(team->quota_per_s, ==, 197998);
    g_assert_cmpfloat(team->quota_burst, ==, 2.5);
    g_assert_cmpuint(declaration->teams[1].priority, ==, CH_TEAM_NO_PRIORITY);
    g_assert_cmpfloat(declaration->teams[1].quota_per_s, ==, 0);
    char digest[CH_ACCESS_DIGEST_SIZE];
    ch_access_digest_key("secret-2", digest);
    g_assert_cmpint(ch_declaration_find_team_by_key(declaration, digest), ==,
                    0);
    ch_declaration_free(declaration);
}

/* An empty list of tenants lets nobody in; without a list no key is needed. */
static void
test_no_tenants(void)
{
    static const struct {
        const char *json;
        bool requires_keys;
    } cases[] = {
        {"{" ROUTES "}", false},
        {"{" ROUTES ",\"tenants\":[]}", true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_error error = {0};
        g_autofree char *text = platform_config_to_ini(
            cases[i].json, strlen(cases[i].json), &error);
        struct ch_declaration *declaration =
            ch_declaration_parse(text, "config", &error);
        g_assert_cmpstr(error.message, ==, "");
        g_assert_cmpint(declaration->requires_keys, ==,
                        cases[i].requires_keys);
        ch_declaration_free(declaration);
    }
}

/*
 * Guards against a configuration that the store accepts but no node applies.
 * Its JSON is within the store's limit of 1 MB, but the converted text is
 * longer, because it states for each route what the JSON leaves out, and was
 * rejected as too long.
 */
static void
test_largest_config_round_trip(void)
{
    enum {
        STORE_MAX_VALUE_BYTES = 1024 * 1024
    };
    GString *json = g_string_new("{\"routes\":[");
    for (unsigned i = 0; json->len < STORE_MAX_VALUE_BYTES - 256; i++) {
        g_string_append_printf(
            json,
            "%s{\"name\":\"r%u\",\"host\":\"a.example\","
            "\"path_prefix\":\"/%u/\",\"type\":\"safe\","
            "\"timeout_ms\":15000,\"target_latency_ms\":250,"
            "\"service\":\"app\",\"max_attempts\":2}",
            i == 0 ? "" : ",", i, i);
    }
    g_string_append(json, "],\"services\":[{\"name\":\"app\"}]}");
    g_assert_cmpuint(json->len, <=, STORE_MAX_VALUE_BYTES);
    struct ch_error error = {0};
    g_autofree char *text =
        platform_config_to_ini(json->str, json->len, &error);
    g_assert_cmpstr(error.message, ==, "");
    struct ch_declaration *first =
        ch_declaration_parse(text, "config", &error);
    g_assert_cmpstr(error.message, ==, "");
    /* Other nodes receive the canonical text. */
    struct ch_declaration *second =
        ch_declaration_parse(first->canonical_text, "config", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_test_message("%zu bytes of JSON, %zu of text, %zu canonical", json->len,
                   strlen(text), strlen(first->canonical_text));
    g_assert_cmpstr(second->canonical_text, ==, first->canonical_text);
    ch_declaration_free(first);
    ch_declaration_free(second);
    g_string_free(json, TRUE);
}

/* An invalid configuration is an error, so that the active one stays in
 * force. */
static void
test_invalid_configs(void)
{
    static const char *const texts[] = {
        "",
        "[]",
        "{\"routes\":7,\"services\":[]}",
        "{\"routes\":[],\"services\":7}",
        "{\"routes\":[7],\"services\":[]}",
        "{\"routes\":[{\"name\":\"a b\"}],\"services\":[]}",
        "{\"routes\":[{\"name\":\"a\",\"host\":\"h\"}],\"services\":[]}",
        "{\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/\","
        "\"backends\":[{\"service\":\"s\"}]}],\"services\":[]}",
        "{\"routes\":[{\"name\":\"a\",\"host\":\"h\\n[x]\",\"path_prefix\":"
        "\"/\",\"service\":\"s\"}],\"services\":[]}",
        "{" ROUTES ",\"tenants\":{}}",
        "{" ROUTES ",\"tenants\":[\"t\"]}",
        "{" ROUTES ",\"tenants\":[{\"api_keys\":[]}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t t\",\"api_keys\":[]}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\"}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\",\"api_keys\":\"k\"}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[7]}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"\"]}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[],"
        "\"unit\":\"bytes\"}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[],"
        "\"rate_per_s\":-1}]}",
        "{" ROUTES ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[],"
        "\"burst\":\"9\"}]}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct ch_error error = {0};
        g_assert_null(
            platform_config_to_ini(texts[i], strlen(texts[i]), &error));
        g_assert_cmpint(error.code, !=, CH_OK);
    }
}

#define ENTRY(service, address, state, slots)                                 \
    "{\"service\":" service ",\"address\":" address                           \
    ",\"zone\":\"z\",\"state\":" state ",\"slots\":" slots                    \
    ",\"born\":5,\"sequence\":9,\"models\":[{\"name\":\"m1\",\"adapters\":"   \
    "[\"a1\"]},7,{\"name\":3}],\"available\":{\"on_disk\":[\"m2\",7]}}"

/* Host entries, among them invalid ones that another system might write; only
 * valid entries name an upstream. */
static const struct {
    const char *text;
    bool valid;
} entries[] = {
    {ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "64"), true},
    {ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"draining\"", "64"), true},
    {ENTRY("7", "\"10.0.0.1:80\"", "\"ready\"", "64"), false},
    {ENTRY("\"s\"", "\"here\"", "\"ready\"", "64"), false},
    {ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"gone\"", "64"), false},
    {ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "\"64\""), false},
    {ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "-1"), false},
    {"{}", false},
    {"[1]", false},
    {"\xff\xfe{", false},
    {"", false},
};

static void
test_host_entries(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
        struct ch_host host = {0};
        struct ch_error error = {0};
        bool valid =
            platform_host_parse("servers/i-1", entries[i].text,
                                strlen(entries[i].text), &host, &error);
        g_assert_cmpint(valid, ==, entries[i].valid);
        g_assert_cmpint(error.code == CH_OK, ==, entries[i].valid);
        if (valid) {
            g_assert_cmpstr(host.name, ==, "i-1");
            g_assert_cmpint(host.draining, ==, i == 1);
            g_assert_cmpuint(host.boot_id, ==, 5);
            g_assert_cmpstr(host.resident_items[0], ==, "m1");
            g_assert_cmpstr(host.resident_items[1], ==, "m1/a1");
            g_assert_null(host.resident_items[2]);
            g_assert_cmpstr(host.local_copies[0], ==, "m2");
        }
        ch_host_clear(&host);
    }
}

#define MEMBERS(members)                                                      \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","          \
    "\"state\":\"ready\",\"slots\":64" members "}"

static const struct odd_entry {
    const char *key;
    const char *text;
    bool valid;
} odd_entries[] = {
    {"servers/i-1", MEMBERS(""), true},
    {"servers/i-1", MEMBERS(",\"born\":1767225600000"), true},
    {"servers/i-1", MEMBERS(",\"cold_remaining_ms\":1500.5"), true},
    {"servers/i-1", MEMBERS(",\"remaining_ms\":2000"), true},
    {"servers/i-1", MEMBERS(",\"remaining_ms\":-1"), true},
    /* numbers that are too large, or no numbers */
    {"servers/i-1", MEMBERS(",\"remaining_ms\":9000000000000000000"), false},
    {"servers/i-1", MEMBERS(",\"remaining_ms\":1e300"), false},
    {"servers/i-1", MEMBERS(",\"remaining_ms\":1e999"), false},
    {"servers/i-1", MEMBERS(",\"remaining_ms\":\"2000\""), false},
    {"servers/i-1", MEMBERS(",\"cold_remaining_ms\":1e300"), false},
    {"servers/i-1", MEMBERS(",\"cold_remaining_ms\":[]"), false},
    {"servers/i-1", MEMBERS(",\"born\":9223372036854775807"), false},
    {"servers/i-1", MEMBERS(",\"born\":99999999999999999999999"), false},
    {"servers/i-1", MEMBERS(",\"born\":1e300"), false},
    {"servers/i-1", MEMBERS(",\"born\":-1"), false},
    {"servers/i-1", MEMBERS(",\"born\":\"5\""), false},
    {"servers/i-1", MEMBERS(",\"sequence\":9223372036854775807"), false},
    {"servers/i-1", MEMBERS(",\"sequence\":{}"), false},
    {"servers/i-1", ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "0"),
     false},
    {"servers/i-1",
     ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "4294967296"), false},
    {"servers/i-1",
     ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\"", "99999999999999999999999"),
     false},
    /* addresses to which nothing can be sent */
    {"servers/i-1", ENTRY("\"s\"", "\"10.0.0.1:0\"", "\"ready\"", "64"),
     false},
    {"servers/i-1", ENTRY("\"s\"", "\"10.0.0.1:65536\"", "\"ready\"", "64"),
     false},
    {"servers/i-1", ENTRY("\"s\"", "\"10.0.0.1:-1\"", "\"ready\"", "64"),
     false},
    {"servers/i-1", ENTRY("\"s\"", "\"10.0.0.1:8e1\"", "\"ready\"", "64"),
     false},
    {"servers/i-1", ENTRY("\"s\"", "\"[::1]:80\"", "\"ready\"", "64"), false},
    {"servers/i-1", ENTRY("\"s\"", "\"0.0.0.0:80\"", "\"ready\"", "64"),
     false},
    /* a text that would end before its end */
    {"servers/i-1",
     ENTRY("\"s\"", "\"10.0.0.1:80\\u0000x\"", "\"ready\"", "64"), false},
    {"servers/i-1",
     ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"ready\\u0000x\"", "64"), false},
    {"servers/i-1",
     ENTRY("\"s\\u0000x\"", "\"10.0.0.1:80\"", "\"ready\"", "64"), false},
    {"servers/i-1",
     ENTRY("\"s\\\\u0000x\"", "\"10.0.0.1:80\"", "\"ready\"", "64"), true},
    /* names that would not stay one value of a header */
    {"servers/", MEMBERS(""), false},
    {"servers/i 1", MEMBERS(""), false},
    {"servers/i\r\nX: 1", MEMBERS(""), false},
    {"servers/i\xc3\xa4", MEMBERS(""), false},
};

/* Guards against an entry of another writer that ends the process, or that is
 * taken for an upstream. */
static void
test_odd_entries(void)
{
    g_autoptr(GString) nested = g_string_new("{\"models\":");
    for (int i = 0; i < 100000; i++) {
        g_string_append_c(nested, '[');
    }
    struct ch_host host = {0};
    struct ch_error error = {0};
    g_assert_false(platform_host_parse("servers/i-1", nested->str, nested->len,
                                       &host, &error));
    for (size_t i = 0; i < G_N_ELEMENTS(odd_entries); i++) {
        const struct odd_entry *row = &odd_entries[i];
        g_test_message("%s %s", row->key, row->text);
        host = (struct ch_host){0};
        error = (struct ch_error){0};
        bool valid = platform_host_parse(row->key, row->text,
                                         strlen(row->text), &host, &error);
        g_assert_cmpint(valid, ==, row->valid);
        g_assert_cmpint(error.code == CH_OK, ==, row->valid);
        if (valid) {
            g_assert_cmpint(host.remaining_time, >=, 0);
            g_assert_cmpint(host.slow_time_left, >=, 0);
        }
        ch_host_clear(&host);
    }
}

/* Guards against an entry without a usable version that hides the upstream, or
 * that makes two upstreams look alike. */
static void
test_versions(void)
{
    static const struct {
        const char *member;
        const char *version; /* NULL: not known */
    } cases[] = {
        {",\"version\":\"v1.2\"", "v1.2"},
        {"", NULL},
        {",\"version\":\"\"", NULL},
        {",\"version\":7", NULL},
        {",\"version\":null", NULL},
        {",\"version\":[\"v1\"]", NULL},
        {",\"version\":\"0123456789012345678901234567890123456789"
         "012345678901234567890123\"",
         "0123456789012345678901234567890123456789"
         "012345678901234567890123"},
        {",\"version\":\"0123456789012345678901234567890123456789"
         "0123456789012345678901234\"",
         NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_host host = {0};
        struct ch_error error = {0};
        g_autofree char *entry = g_strdup_printf(
            "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
            "\"state\":\"ready\",\"slots\":64%s}",
            cases[i].member);
        g_assert_true(platform_host_parse("servers/i-1", entry, strlen(entry),
                                          &host, &error));
        g_assert_cmpstr(host.version, ==, cases[i].version);
        ch_host_clear(&host);
    }
}

/* The values read from a caller's headers, and which headers are forwarded. */
static void
test_request_headers(void)
{
    static const struct ch_http_header headers[] = {
        {"Host", "a.example"},
        {"request-id", "i1"},
        {"Deadline-Ms", "500"},
        {"Model", "m1/a1"},
        {"Token-Usage", "1460, 80"},
        {"Prompt-Prefix", "5c:800,91:410"},
        {"Hold", "h"},
        {"Pin-Ms", "5"},
        {"Kv-From", "x"},
        {"Kv-Backup", "x"},
        {"Request-Priority", "0"},
        {"Tenant", "t"},
        {"Connection", "close, X-Mine"},
        {"X-Mine", "1"},
        {"Last-Event-Id", "12"},
        {"X-Other", "2"},
        {"Resumes", "i0"},
    };
    static const char *const forwarded[] = {
        "Host",          "request-id", "Model",  "Token-Usage",
        "Prompt-Prefix", "X-Other",    "Resumes"};
    struct ch_request_input *input = g_new0(struct ch_request_input, 1);
    struct ch_fault fault = {.error.code = CH_OK};
    input->forwarded_headers =
        g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
    g_assert_true(
        platform_headers_read(headers, G_N_ELEMENTS(headers), input, &fault));
    g_assert_cmpstr(input->request_id, ==, "i1");
    g_assert_cmpstr(input->resume_id, ==, "12");
    g_assert_cmpstr(input->resumes, ==, "i0");
    g_assert_cmpuint(input->prompt_tokens, ==, 1460);
    g_assert_cmpuint(input->output_tokens, ==, 80);
    g_assert_cmpuint(input->part_count, ==, 2);
    g_assert_cmpuint(input->parts[1].tokens, ==, 410);
    g_assert_cmpuint(input->forwarded_headers->len, ==,
                     G_N_ELEMENTS(forwarded));
    for (guint i = 0; i < input->forwarded_headers->len; i++) {
        g_assert_cmpstr(
            g_array_index(input->forwarded_headers, struct ch_http_header, i)
                .name,
            ==, forwarded[i]);
    }
    g_array_free(input->forwarded_headers, TRUE);
    g_free(input);
}

/* Malformed values are rejected with CH_BAD_FIELD. */
static void
test_invalid_request_headers(void)
{
    static const struct ch_http_header invalid_headers[] = {
        {"Token-Usage", "1460"},     {"Token-Usage", "a,b"},
        {"Token-Usage", "-1,2"},     {"Prompt-Prefix", "5c"},
        {"Prompt-Prefix", ":800"},   {"Prompt-Prefix", "5c:x"},
        {"Prompt-Prefix", "5c:1,,"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_headers); i++) {
        struct ch_request_input *input = g_new0(struct ch_request_input, 1);
        struct ch_fault fault = {.error.code = CH_OK};
        input->forwarded_headers =
            g_array_new(FALSE, FALSE, sizeof(struct ch_http_header));
        g_assert_false(
            platform_headers_read(&invalid_headers[i], 1, input, &fault));
        g_assert_cmpint(fault.error.code, ==, CH_BAD_FIELD);
        g_array_free(input->forwarded_headers, TRUE);
        g_free(input);
    }
}

/* Guards against a configuration that is numbered by another member than the
 * operators' version, so that an older one counts as newer. */
static void
test_config_version(void)
{
    static const struct {
        const char *json;
        uint64_t version;
    } rows[] = {
        {"{\"version\":7,\"routes\":[]}", 7},
        {" {\n \"version\" : 7 }", 7},
        {"{\"routes\":[{\"version\":9}],\"version\":7}", 7},
        {"{\"routes\":[{\"version\":9}]}", 0},
        {"{\"version\":\"7\"}", 0},
        {"{\"version\":7.5}", 0},
        {"{\"version\":-7}", 0},
        {"{\"version\":99999999999}", 99999999999},
        {"{\"version\":999999999999}", 0},
        {"{\"version\":7", 0},
        {"", 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("%s", rows[i].json);
        g_assert_cmpuint(
            platform_config_read_version(rows[i].json, strlen(rows[i].json)),
            ==, rows[i].version);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/config", test_config_conversion);
    g_test_add_func("/platform/tenants", test_tenants);
    g_test_add_func("/platform/no-tenants", test_no_tenants);
    g_test_add_func("/platform/largest-config",
                    test_largest_config_round_trip);
    g_test_add_func("/platform/bad-config", test_invalid_configs);
    g_test_add_func("/platform/entries", test_host_entries);
    g_test_add_func("/platform/odd-entries", test_odd_entries);
    g_test_add_func("/platform/host/versions", test_versions);
    g_test_add_func("/platform/headers", test_request_headers);
    g_test_add_func("/platform/bad-headers", test_invalid_request_headers);
    g_test_add_func("/platform/config-version", test_config_version);
    return g_test_run();
}
