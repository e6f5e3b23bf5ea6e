/* The check of a JSON text's structure before it is parsed. */

#include "base/json.h"

#include <string.h>

enum {
    MAX_DEPTH = 3
};

#define ROW(text, valid, members)                                             \
    {                                                                         \
        text, sizeof(text) - 1, valid, members                                \
    }

static const struct {
    const char *text;
    size_t length;
    bool valid;
    size_t members;
} rows[] = {
    ROW("", false, 0),
    ROW("{}", true, 0),
    ROW(" {\"a\" : 1, \"b\":[2]}\r\n", true, 2),
    ROW("{\"a\":{\"b\":1}}", true, 1),
    ROW("[]", false, 0),
    ROW("{}{}", false, 0),
    ROW("{\"a\":1", false, 1),
    ROW("{\"a\":[[[1]]]}", false, 1),
    ROW("{\"a\":1}/*x*/", false, 1),
    /* brackets, escapes and control characters in strings */
    ROW("{\"a:{}[]\":\":{}[]\"}", true, 1),
    ROW("{\"a\":\"\"}", true, 1),
    ROW("{\"a\":\"\\\"\"}", true, 1),
    ROW("{\"a\":\"\\\\\"}", true, 1),
    ROW("{\"a\":\"x\\\\\\\"y\"}", true, 1),
    ROW("{\"a\":\"\\", false, 1),
    ROW("{\"a\":\"xyz", false, 1),
    ROW("{\"a\":\"x\ny\"}", false, 1),
    ROW("{\"a\":\"x\\\ny\"}", false, 1),
    ROW("{\"a\":\"x\0y\"}", false, 1),
    ROW("{\"a\":\"\xc3\xa4\x7f\"}", true, 1),
};

static void
test_shape(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        size_t members = 0;
        g_test_message("row %zu: %s", i, rows[i].text);
        bool valid = ch_json_check_shape(rows[i].text, rows[i].length,
                                         MAX_DEPTH, &members);
        g_assert_cmpint(valid, ==, rows[i].valid);
        if (valid) {
            g_assert_cmpuint(members, ==, rows[i].members);
        }
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/json/shape", test_shape);
    return g_test_run();
}
