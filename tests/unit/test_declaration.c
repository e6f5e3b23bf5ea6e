/* Declarations: invalid input, canonical text, look-ups and differences. */

#include "base/base.h"

#include <sched.h>
#include <string.h>

#define MODEL "[model m1]\nmemory-mb = 10\n"
#define DIGEST                                                                \
    "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
#define CLASS "[class c1]\nanswer-ms = 100\nmodels = m1\n"

struct bad_case {
    const char *text;
    enum ch_code code;
    const char *message;
};

static const struct bad_case bad_cases[] = {
    {"", CH_MISSING, "f.ini: [class NAME]: there is no class"},
    {CLASS, CH_BAD_VALUE, "f.ini: [class c1] models: 'm1' is not declared"},
    {CLASS MODEL "[colour x]\n", CH_UNKNOWN_GROUP, "[colour x]"},
    {CLASS MODEL "[classes]\n", CH_UNKNOWN_GROUP, "[classes]"},
    {CLASS MODEL "[model]\nmemory-mb = 1\n", CH_BAD_VALUE,
     "f.ini: [model]: not [model NAME]"},
    {CLASS MODEL "[model a/b]\nmemory-mb = 1\n", CH_BAD_VALUE,
     "[model a/b]: not [model NAME]"},
    {CLASS MODEL "[service a b]\n", CH_BAD_VALUE, "not [service NAME]"},
    {CLASS MODEL "weight = 3\n", CH_UNKNOWN_SETTING,
     "f.ini: [model m1] weight: no such key"},
    {CLASS "[model m1]\n", CH_MISSING,
     "f.ini: [model m1] memory-mb: the key is missing"},
    {CLASS "[model m1]\nmemory-mb = 0\n", CH_BAD_VALUE, "memory-mb: '0'"},
    {CLASS "[model m1]\nmemory-mb = big\n", CH_BAD_VALUE,
     "not a whole number"},
    {CLASS MODEL "adapters = a1\n", CH_MISSING,
     "[model m1] adapter-memory-mb: the key is missing"},
    {CLASS MODEL "adapters = a1, a1\nadapter-memory-mb = 1\n", CH_BAD_VALUE,
     "[model m1] adapters: 'a1, a1': 'a1' is listed twice"},
    {CLASS MODEL "adapters = *\nadapter-memory-mb = 1\n", CH_BAD_VALUE,
     "[model m1] adapters: '*' is not a name"},
    {CLASS MODEL "adapters = m1\nadapter-memory-mb = 1\n", CH_DUPLICATE,
     "[model m1] adapters: the name 'm1' is already used by [model m1]"},
    {CLASS MODEL "adapters = a1\nadapter-memory-mb = 1\n"
                 "[model m2]\nmemory-mb = 1\nadapters = a1\n"
                 "adapter-memory-mb = 1\n",
     CH_DUPLICATE,
     "[model m2] adapters: the name 'a1' is already used by [model m1]"},
    {CLASS MODEL "[service m1]\n", CH_DUPLICATE,
     "[service m1]: the name 'm1' is already used by [model m1]"},
    {CLASS MODEL "[model  m1]\nmemory-mb = 2\n", CH_DUPLICATE, "[model m1]"},
    {CLASS CLASS MODEL, CH_DUPLICATE, "[class c1]: duplicate group"},
    {CLASS MODEL " [model m1] \n", CH_DUPLICATE,
     "f.ini: [model m1]: duplicate group"},
    {CLASS MODEL "  memory-mb  = 3", CH_DUPLICATE,
     "f.ini: [model m1] memory-mb: duplicate key"},
    {CLASS MODEL "# memory-mb = 3\nmemory-mb=3\n", CH_DUPLICATE,
     "f.ini: [model m1] memory-mb: duplicate key"},
    {CLASS MODEL "[class  c1]\nanswer-ms = 1\nmodels = *\n", CH_DUPLICATE,
     "[class c1]: duplicate group"},
    {CLASS "services = s1\n" MODEL, CH_BAD_VALUE,
     "[class c1] services: 's1' is not declared"},
    {"[class c1]\nmodels = m1\n" MODEL, CH_MISSING,
     "f.ini: [class c1] answer-ms: a class needs a target"},
    {"[class c1]\nanswer-ms = 100\n" MODEL, CH_MISSING,
     "f.ini: [class c1] models: a class needs models"},
    {"[class c1]\nanswer-ms = 0\nmodels = m1\n" MODEL, CH_BAD_VALUE,
     "[class c1] answer-ms: '0': must be from 1"},
    {"[class c1]\nfirst-token-ms = 1e3\nmodels = m1\n" MODEL, CH_BAD_VALUE,
     "not a whole number"},
    {CLASS "idempotent = perhaps\n" MODEL, CH_BAD_VALUE,
     "[class c1] idempotent: 'perhaps': not one of false, true"},
    {CLASS "callers = *\n" MODEL, CH_BAD_VALUE,
     "callers must be named one by"},
    {CLASS "callers = a\n" MODEL
           "[class c2]\nanswer-ms = 1\nmodels = *\ncallers = a\n",
     CH_DUPLICATE, "callers: 'a' is also a caller of class c"},
    {CLASS MODEL "[team a b]\n", CH_BAD_VALUE, "not [team NAME]"},
    {CLASS MODEL "[team a]\n[team  a]\n", CH_DUPLICATE,
     "[team a]: there are two teams of this name"},
    {CLASS MODEL "[team a]\nkeys = " DIGEST "\n[team b]\nkeys = " DIGEST "\n",
     CH_DUPLICATE, "keys: team a has one of these keys too"},
    {CLASS MODEL "[team a]\nkeys = " DIGEST " " DIGEST "\n", CH_BAD_VALUE,
     "keys: '...': a digest is listed twice"},
    {CLASS MODEL "[team a]\nkeys = my-secret\n", CH_BAD_VALUE,
     "[team a] keys: '...': an entry is not a SHA-256 digest"},
    {CLASS MODEL "[team a]\nkeys = my/secret\n", CH_BAD_VALUE,
     "[team a] keys: '...': a digest is listed twice or malformed"},
    {CLASS MODEL "[team a]\npriority = 2000\n", CH_BAD_VALUE, "priority"},
    {CLASS MODEL "[team a]\nquota-unit = bytes\n", CH_BAD_VALUE,
     "quota-unit: 'bytes': not one of requests, tokens"},
    {CLASS MODEL "[team a]\nquota-per-s = -1\n", CH_BAD_VALUE, "quota-per-s"},
    {CLASS MODEL "[team a]\nquota-per-s = nan\n", CH_BAD_VALUE, "quota-per-s"},
    {CLASS MODEL "[access]\nrequire-keys = perhaps\n", CH_BAD_VALUE,
     "require-keys"},
    {CLASS MODEL "[access]\nkeys = none\n", CH_UNKNOWN_SETTING,
     "[access] keys: no such key"},
};

/* Each kind of invalid input gives its error code and a message that names the
 * file, the group and the key. */
static void
test_bad(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
        struct ch_error error = {0};
        struct ch_declaration *declaration =
            ch_declaration_parse(bad_cases[i].text, "f.ini", &error);
        g_test_message("case %zu: %s", i, error.message);
        g_assert_null(declaration);
        g_assert_cmpint(error.code, ==, bad_cases[i].code);
        g_assert_nonnull(strstr(error.message, bad_cases[i].message));
        g_assert_null(strstr(error.message, "secret"));
    }
}

/* Pairs of texts with the same content; the first of each pair is canonical.
 */
static const char *const same_cases[][2] = {
    {"[class c1]\nanswer-ms = 100\nidempotent = true\nmodels = m1\n\n"
     "[model m1]\nmemory-mb = 10\n\n",
     "# note\n" MODEL "\n" CLASS},
    {"[class c1]\nfirst-token-ms = 5\nbetween-tokens-ms = 6\n"
     "idempotent = false\nmodels = *\nservices = s1, s2\ncallers = a, b\n\n"
     "[model m1]\nmemory-mb = 10\nadapters = x, y\n"
     "adapter-memory-mb = 3\n\n[service s1]\n\n[service s2]\n\n",
     "[region r]\nanything = 1\n[service s2]\n[service s1]\n[link]\n"
     "[model m1]\nadapter-memory-mb=3\nadapters=y;x\nmemory-mb=10\n"
     "[class c1]\ncallers = b a\nidempotent = false\nmodels=*\n"
     "services=s2,s1\nbetween-tokens-ms=6\nfirst-token-ms=5\n"},
    /* Small and large numbers; the same keys in two groups. */
    {"[class c1]\nfirst-token-ms = 600000\nidempotent = true\n"
     "services = s1\n\n"
     "[service s1]\nconnections = 1000000\nbatch = 7\n"
     "context-tokens = 1000000000\nloads-per-s = 1e-06\n\n"
     "[service s2]\nconnections = 10\nmemory-mb = 999999999\n"
     "loads-per-s = 1.4\n\n[limits]\nheader-bytes = 1000000000\n\n",
     "[limits]\nheader-bytes=1000000000\nbody-bytes=0\n"
     "[service s1]\nloads-per-s=0.000001\nconnections=1000000\nbatch=7\n"
     "context-tokens=1000000000\n"
     "[service s2]\nloads-per-s=1.40\nconnections=10\n"
     "memory-mb=999999999\n"
     "[class c1]\nservices=s1\nfirst-token-ms=600000\n"},
    {"[class c1]\nanswer-ms = 100\nidempotent = true\npublic = true\n"
     "models = m1\n\n[model m1]\nmemory-mb = 10\n\n"
     "[access]\nrequire-keys = true\n\n"
     "[team a]\nkeys = " DIGEST "\npriority = 0\nquota-unit = tokens\n"
     "quota-per-s = 2700.5\nquota-burst = 10\nplain-tokens = 200\n\n"
     "[team b]\n\n",
     CLASS "public=true\n" MODEL
           "[team b]\nquota-unit=requests\nquota-per-s=0\n"
           "[access]\nrequire-keys=true\n"
           "[team a]\nplain-tokens=200\nquota-burst=10.0\npriority=0\n"
           "quota-per-s=2700.5\nquota-unit=tokens\nkeys=" DIGEST "\n"},
};

/* The canonical text doesn't depend on the order of the file, and parsing the
 * canonical text gives the same bytes again. */
static void
test_canonical(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(same_cases); i++) {
        for (size_t j = 0; j < 2; j++) {
            struct ch_error error = {0};
            struct ch_declaration *declaration =
                ch_declaration_parse(same_cases[i][j], "f.ini", &error);
            g_assert_cmpstr(error.message, ==, "");
            g_assert_cmpstr(declaration->canonical_text, ==, same_cases[i][0]);
            ch_declaration_free(declaration);
        }
    }
}

/* Look-ups by name, and the marks of the models and services that a class may
 * use. */
static void
test_lookup(void)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration =
        ch_declaration_load("examples/small.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    int adapter = -1;
    g_assert_cmpint(ch_declaration_find_model(declaration, "m02"), ==, 1);
    g_assert_cmpint(ch_declaration_find_model(declaration, "m01-a2"), ==, -1);
    g_assert_cmpint(
        ch_declaration_find_adapter(declaration, "m01-a2", &adapter), ==, 0);
    g_assert_cmpint(adapter, ==, 1);
    g_assert_cmpint(ch_declaration_find_adapter(declaration, "m01", NULL), ==,
                    -1);
    g_assert_cmpint(ch_declaration_find_service(declaration, "orders"), ==, 0);
    int lookup = ch_declaration_find_class(declaration, "lookup");
    g_assert_cmpint(ch_declaration_find_caller_class(declaration, "secretary"),
                    ==, lookup);
    g_assert_cmpint(ch_declaration_find_caller_class(declaration, "nobody"),
                    ==, -1);
    const struct ch_class *class = &declaration->classes[lookup];
    g_assert_cmpint(class->response_target, ==, 3000000);
    g_assert_true(class->idempotent);
    g_assert_cmpint(class->allowed_models[1], ==, 1);
    g_assert_cmpint(class->allowed_models[2], ==, 0);
    g_assert_cmpint(class->allowed_services[0], ==, 0);
    ch_declaration_free(declaration);
}

/* Every example declaration is valid. */
static void
test_examples(void)
{
    GDir *examples = g_dir_open("examples", 0, NULL);
    const char *name;
    while ((name = g_dir_read_name(examples)) != NULL) {
        if (!g_str_has_suffix(name, ".ini") || strcmp(name, "node.ini") == 0) {
            continue;
        }
        char *path = g_build_filename("examples", name, NULL);
        struct ch_error error = {0};
        struct ch_declaration *declaration = ch_declaration_load(path, &error);
        g_assert_cmpstr(error.message, ==, "");
        ch_declaration_free(declaration);
        g_free(path);
    }
    g_dir_close(examples);
}

struct diff_case {
    const char *from;
    const char *to;
    const char *diff;
};

static const struct diff_case diff_cases[] = {
    {"", "", ""},
    {"[a]\nx = 1\n", "[a]\nx = 1\n", ""},
    {"[a]\nx = 1\n", "[a]\nx = 2\n", " [a]\n-x = 1\n+x = 2\n"},
    {"[a]\nx = 1\ny = 2\n", "[a]\nx = 1\nz = 3\n", " [a]\n-y = 2\n+z = 3\n"},
    {"", "[a]\nx = 1\n", "+[a]\n+x = 1\n"},
    {"[a]\nx = 1\n[b]\n", "[b]\n", "-[a]\n-x = 1\n"},
};

/* The difference lists the changed lines by group. */
static void
test_diff(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(diff_cases); i++) {
        char *diff = ch_declaration_diff(diff_cases[i].from, diff_cases[i].to);
        g_assert_cmpstr(diff, ==, diff_cases[i].diff);
        g_free(diff);
    }
}

/* ---- yielding the processor ---- */

static unsigned yield_count;

/* Replaces the system call and counts its calls. */
int
sched_yield(void)
{
    yield_count++;
    return 0;
}

/*
 * Guards against all streams of a small node stalling for most of a second
 * while a worker parses a large configuration: the event loops that relay the
 * streams get no processor time meanwhile.  The parser must yield every few
 * classes of a large declaration, and not at all for a small one.
 */
static void
test_yields_processor(void)
{
    static const struct {
        unsigned classes;
        unsigned min_yields;
        unsigned max_yields;
    } cases[] = {{10, 0, 0}, {3200, 300, 600}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *out = g_string_new(MODEL);
        for (unsigned j = 0; j < cases[i].classes; j++) {
            g_string_append_printf(
                out, "[class c%u]\nanswer-ms = 100\nmodels = m1\n", j);
        }
        struct ch_error error = {0};
        yield_count = 0;
        struct ch_declaration *declaration =
            ch_declaration_parse(out->str, "f.ini", &error);
        g_assert_cmpstr(error.message, ==, "");
        g_assert_cmpuint(yield_count, >=, cases[i].min_yields);
        g_assert_cmpuint(yield_count, <=, cases[i].max_yields);
        ch_declaration_free(declaration);
        g_string_free(out, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/declaration/bad", test_bad);
    g_test_add_func("/declaration/canonical", test_canonical);
    g_test_add_func("/declaration/lookup", test_lookup);
    g_test_add_func("/declaration/examples", test_examples);
    g_test_add_func("/declaration/diff", test_diff);
    g_test_add_func("/declaration/gives-way", test_yields_processor);
    return g_test_run();
}
