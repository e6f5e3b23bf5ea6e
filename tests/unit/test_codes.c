/* Result codes: checks that docs/RESULT-CODES.md agrees with codes.def.
 * `test_codes --write` regenerates the page. */

#include "base/base.h"

#include <string.h>

#define PAGE "docs/RESULT-CODES.md"

struct row {
    const char *name;
    int number;
    int http;
    const char *meaning;
};

static const struct row rows[] = {
#define CH_CODE(name, number, http, outcome, meaning)                         \
    {#name, number, http, meaning},
#include "base/codes.def"
#undef CH_CODE
};

/* The text that the page must have, as a new string. */
static char *
make_page(void)
{
    GString *page = g_string_new(
        "# Result codes\n\n"
        "Made from libchestnuthitch/base/codes.def by "
        "`build/address/tests/unit/test_codes --write`.\n\n"
        "Every refusal and error bears a number (`Chestnuthitch-Code`, and "
        "`code` in the JSON\nbody). A number keeps its meaning for good. The "
        "outcome is what is certain about\nthe request when it ends with "
        "the code: `not-run`, `ran` or `unknown`. A request of\nwhich "
        "more is known (no byte of it went out) may say `not-run` where the "
        "table says\n`unknown`. 1xx: the request is wrong; 2xx: refused "
        "for now, come back; 3xx: the\nupstream; 4xx: the platform; 5xx: "
        "settings and declarations; 6xx: between nodes;\n7xx: replay; 9xx: "
        "the machine and the command line.\n\n"
        "| number | name | HTTP | outcome | meaning |\n"
        "|---|---|---|---|---|\n");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        enum ch_code code = (enum ch_code)rows[i].number;
        g_string_append_printf(page, "| %d | %s | %d | %s | %s |\n",
                               rows[i].number, rows[i].name, rows[i].http,
                               ch_outcome_get_name(ch_code_get_outcome(code)),
                               rows[i].meaning);
    }
    return g_string_free(page, FALSE);
}

/* The page in the repository equals the page generated from the table. */
static void
test_page_matches_table(void)
{
    char *text = NULL;
    char *page = make_page();
    g_assert_true(g_file_get_contents(PAGE, &text, NULL, NULL));
    g_assert_cmpstr(text, ==, page);
    g_free(text);
    g_free(page);
}

/* Numbers are unique and ascending, and each finds its own row.  A number that
 * only a later version knows counts as SYSTEM, whose outcome is unknown. */
static void
test_numbers_find_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        enum ch_code code = (enum ch_code)rows[i].number;
        g_assert_true(i == 0 || rows[i].number > rows[i - 1].number);
        g_assert_cmpstr(ch_code_get_name(code), ==, rows[i].name);
        g_assert_cmpint(ch_code_get_http_status(code), ==, rows[i].http);
    }
    g_assert_cmpstr(ch_code_get_name((enum ch_code)899), ==, "SYSTEM");
    g_assert_cmpint(ch_code_get_outcome((enum ch_code)899), ==, CH_UNKNOWN);
}

/* The first error is kept; a long message is truncated. */
static void
test_first_error_kept(void)
{
    struct ch_error error = {0};
    char *large = g_strnfill(4000, 'x');
    ch_error_set(&error, CH_LATE, "%s", large);
    ch_error_set(&error, CH_STOPPING, "second");
    g_assert_cmpint(error.code, ==, CH_LATE);
    g_assert_cmpuint(strlen(error.message), ==, sizeof(error.message) - 1);
    ch_error_clear(&error);
    ch_error_set(&error, CH_STOPPING, "second");
    g_assert_cmpstr(error.message, ==, "second");
    ch_error_set(NULL, CH_LATE, "no error struct");
    g_free(large);
}

int
main(int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[1], "--write") == 0) {
        char *page = make_page();
        bool written = g_file_set_contents(PAGE, page, -1, NULL);
        g_free(page);
        return written ? 0 : 1;
    }
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/codes/page", test_page_matches_table);
    g_test_add_func("/codes/numbers", test_numbers_find_rows);
    g_test_add_func("/codes/error", test_first_error_kept);
    return g_test_run();
}
