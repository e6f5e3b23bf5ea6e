/* The look at a JSON text before it is parsed. */

#include "base/json.h"

#include <string.h>

enum {
    DEPTH = 3
};

#define ROW(text, good, members)                                              \
    {                                                                         \
        text, sizeof(text) - 1, good, members                                 \
    }

static const struct {
    const char *text;
    size_t length;
    bool good;
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
    /* in strings */
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
        bool good =
            ch_json_shape(rows[i].text, rows[i].length, DEPTH, &members);
        g_assert_cmpint(good, ==, rows[i].good);
        if (good) {
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
