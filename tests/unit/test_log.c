/* Log lines: each is a valid JSON object for any values of the fields. */

#include "base/base.h"

#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

/* Appends a log line to a GString. */
static void
append_line(void *data, const char *line, size_t length)
{
    g_string_append_len(data, line, (gssize)length);
}

/* A client whose log is written to a GString. */
static struct ch_client
new_string_client(GString *lines)
{
    struct ch_client client;
    ch_client_init(&client, "n1");
    client.log_write = append_line;
    client.log_data = lines;
    return client;
}

struct string_case {
    const char *value;
    const char *json;
};

static const struct string_case string_cases[] = {
    {"plain", "\"plain\""},
    {"", "\"\""},
    {NULL, "null"},
    {"a\"b\\c/d", "\"a\\\"b\\\\c/d\""},
    {"a\nb\tc\rd", "\"a\\nb\\tc\\u000dd\""},
    {"\x01\x1b\x7f", "\"\\u0001\\u001b\\u007f\""},
    {"T\xc5\xb7 Gw\xc5\xb7n", "\"T\xc5\xb7 Gw\xc5\xb7n\""},
    {"bad \xff\xc3 end", "\"bad \xef\xbf\xbd\xef\xbf\xbd end\""},
};

/* Strings are escaped; invalid UTF-8 is replaced. */
static void
test_strings_escaped(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(string_cases); i++) {
        GString *lines = g_string_new(NULL);
        struct ch_client client = new_string_client(lines);
        ch_log(&client, CH_LOG_INFO, "case",
               CH_F_STR("v", string_cases[i].value), CH_F_END);
        char *tail =
            g_strdup_printf(",\"node\":\"n1\",\"event\":\"case\",\"v\":%s}\n",
                            string_cases[i].json);
        g_test_message("%s", lines->str);
        g_assert_true(g_str_has_suffix(lines->str, tail));
        g_assert_true(g_utf8_validate(lines->str, -1, NULL));
        g_free(tail);
        g_string_free(lines, TRUE);
    }
}

/* A line with every kind of field is valid JSON; its time is RFC 3339 in UTC
 * with milliseconds. */
static void
test_line_is_json(void)
{
    GString *lines = g_string_new(NULL);
    struct ch_client client = new_string_client(lines);
    ch_log(&client, CH_LOG_WARNING, "all", CH_F_INT("i", INT64_MIN),
           CH_F_NUM("d", 0.5), CH_F_NUM("n", NAN), CH_F_BOOL("b", true),
           CH_F_END);
    JsonNode *root = json_from_string(lines->str, NULL);
    g_assert_nonnull(root);
    JsonObject *line = json_node_get_object(root);
    g_assert_cmpint(json_object_get_int_member(line, "severity"), ==, 4);
    g_assert_cmpstr(json_object_get_string_member(line, "severity_name"), ==,
                    "warning");
    g_assert_cmpint(json_object_get_int_member(line, "i"), ==, INT64_MIN);
    g_assert_cmpfloat(json_object_get_double_member(line, "d"), ==, 0.5);
    g_assert_true(json_object_get_null_member(line, "n"));
    g_assert_true(json_object_get_boolean_member(line, "b"));
    const char *time = json_object_get_string_member(line, "time");
    g_assert_true(g_regex_match_simple(
        "^\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z$", time, 0, 0));
    json_node_unref(root);
    g_string_free(lines, TRUE);
}

/* A line above the log level is not written; a very long value is
 * truncated. */
static void
test_level_and_length_limits(void)
{
    GString *lines = g_string_new(NULL);
    struct ch_client client = new_string_client(lines);
    client.log_level = CH_LOG_NOTICE;
    ch_log(&client, CH_LOG_INFO, "quiet", CH_F_END);
    g_assert_cmpuint(lines->len, ==, 0);
    char *large = g_strnfill(1 << 20, 'x');
    ch_log(&client, CH_LOG_ERR, "large", CH_F_STR("v", large), CH_F_END);
    g_assert_cmpuint(lines->len, <, 5000);
    g_free(large);
    g_string_free(lines, TRUE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/log/strings", test_strings_escaped);
    g_test_add_func("/log/line", test_line_is_json);
    g_test_add_func("/log/bounds", test_level_and_length_limits);
    return g_test_run();
}
