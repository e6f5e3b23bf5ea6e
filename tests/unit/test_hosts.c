/* Tests the parser of the host list with valid and invalid lists. */

#include "platform/platform.h"

#include <string.h>

#define HOST(changes)                                                         \
    "{\"name\":\"w01\",\"kind\":\"engine\",\"address\":\"127.0.0.1:9001\","   \
    "\"region\":\"de-cymru\",\"data_centre\":\"caerdydd\","                   \
    "\"memory_mb\":40000,\"accelerators\":1,\"batch\":8,\"state\":"           \
    "\"live\"" changes "}"
#define LIST(hosts) "{\"hosts\":[" hosts "]}"

static const struct {
    const char *json;
    enum ch_code code; /* OK: the list is valid */
    size_t count;
} cases[] = {
    {LIST(""), CH_OK, 0},
    {LIST(HOST("")), CH_OK, 1},
    {LIST(HOST("") "," HOST(",\"name\":\"w02\"")), CH_OK, 2},
    {LIST(HOST(",\"state\":\"leaving\"")), CH_OK, 1},
    {LIST(HOST(",\"kind\":\"service\",\"service\":\"orders\"")), CH_OK, 1},
    {LIST(HOST(",\"rack\":\"not known here\"")), CH_OK, 1},
    {"", CH_BAD_JSON, 0},
    {"[]", CH_BAD_JSON, 0},
    {"{\"hosts\":{}}", CH_BAD_JSON, 0},
    {LIST("7"), CH_BAD_JSON, 0},
    {LIST(HOST("") "," HOST("")), CH_DUPLICATE, 0},
    {LIST(HOST(",\"name\":\"\"")), CH_BAD_FIELD, 0},
    {LIST(HOST(",\"name\":\"a/b\"")), CH_BAD_FIELD, 0},
    {LIST(HOST(",\"name\":7")), CH_BAD_JSON, 0},
    {LIST(HOST(",\"kind\":\"disk\"")), CH_BAD_FIELD, 0},
    {LIST(HOST(",\"kind\":\"service\"")), CH_BAD_JSON, 0},
    {LIST(HOST(",\"state\":\"gone\"")), CH_BAD_FIELD, 0},
    {LIST(HOST(",\"address\":\"w01:80\"")), CH_BAD_VALUE, 0},
    {LIST(HOST(",\"memory_mb\":-1")), CH_BAD_FIELD, 0},
    {LIST(HOST(",\"memory_mb\":1e30")), CH_BAD_FIELD, 0},
    {LIST(HOST(",\"batch\":\"8\"")), CH_BAD_FIELD, 0},
};

static void
test_parse_results(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_error error = {0};
        struct ch_host_list *list =
            ch_host_list_parse(cases[i].json, strlen(cases[i].json), &error);
        g_test_message("%zu: %s", i, error.message);
        g_assert_cmpint(error.code, ==, cases[i].code);
        g_assert_cmpint(list != NULL, ==, cases[i].code == CH_OK);
        if (list != NULL) {
            g_assert_cmpuint(list->count, ==, cases[i].count);
        }
        ch_host_list_free(list);
    }
}

static void
test_parsed_fields(void)
{
    const char *json =
        LIST(HOST(",\"kind\":\"service\",\"service\":\"orders\",\"state\":"
                  "\"leaving\""));
    struct ch_host_list *list = ch_host_list_parse(json, strlen(json), NULL);
    const struct ch_host *host = &list->hosts[0];
    g_assert_cmpstr(host->name, ==, "w01");
    g_assert_cmpstr(host->address, ==, "127.0.0.1:9001");
    g_assert_cmpstr(host->region, ==, "de-cymru");
    g_assert_cmpstr(host->data_centre, ==, "caerdydd");
    g_assert_cmpstr(host->service, ==, "orders");
    g_assert_cmpint(host->kind, ==, CH_HOST_SERVICE);
    g_assert_cmpuint(host->memory_mb, ==, 40000);
    g_assert_cmpuint(host->max_batch, ==, 8);
    g_assert_true(host->draining);
    ch_host_list_free(list);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/hosts/cases", test_parse_results);
    g_test_add_func("/hosts/fields", test_parsed_fields);
    return g_test_run();
}
