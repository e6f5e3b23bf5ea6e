/* Access keys: which credentials are valid, whose they are, and what of them
 * is passed on. */

#include "access/access.h"

#include <string.h>

#define CLASSES                                                               \
    "[class open]\nanswer-ms = 100\nhost = h\npath = /o/\nshares = s:1\n"     \
    "public = true\n"                                                         \
    "[class closed]\nanswer-ms = 100\nhost = h\npath = /c/\nshares = s:1\n"   \
    "[service s]\n"
#define LONG_KEY                                                              \
    "0123456789012345678901234567890123456789012345678901234567890123456789"  \
    "0123456789012345678901234567890123456789012345678901234567890123456789"  \
    "012345678901234567890123456789012345678901234567890123456789"

struct credential_case {
    const char *name;
    const char *values[3];
    enum ch_credential_state state;
};

static const struct credential_case credential_cases[] = {
    {"none", {NULL}, CH_CREDENTIAL_ABSENT},
    {"a key", {"Token key-of-a"}, CH_CREDENTIAL_PRESENT},
    {"scheme in lower case", {"token key-of-a"}, CH_CREDENTIAL_PRESENT},
    {"two blanks", {"Token  key-of-a"}, CH_CREDENTIAL_PRESENT},
    {"200 bytes", {"Token " LONG_KEY}, CH_CREDENTIAL_PRESENT},
    {"over 200 bytes", {"Token " LONG_KEY "x"}, CH_CREDENTIAL_MALFORMED},
    {"empty", {""}, CH_CREDENTIAL_MALFORMED},
    {"scheme alone", {"Token"}, CH_CREDENTIAL_MALFORMED},
    {"empty key", {"Token "}, CH_CREDENTIAL_MALFORMED},
    {"key alone", {"key-of-a"}, CH_CREDENTIAL_MALFORMED},
    {"another scheme", {"Basic a2V5"}, CH_CREDENTIAL_MALFORMED},
    {"scheme run into key", {"Tokenkey-of-a"}, CH_CREDENTIAL_MALFORMED},
    {"two words", {"Token key of-a"}, CH_CREDENTIAL_MALFORMED},
    {"a tab", {"Token key\tof-a"}, CH_CREDENTIAL_MALFORMED},
    {"not ASCII", {"Token k\xc3\xa9y"}, CH_CREDENTIAL_MALFORMED},
    {"twice the same",
     {"Token key-of-a", "Token key-of-a"},
     CH_CREDENTIAL_MALFORMED},
    {"two keys",
     {"Token key-of-a", "Token key-of-b"},
     CH_CREDENTIAL_MALFORMED},
    {"a wrong one first",
     {"Basic x", "Token key-of-a"},
     CH_CREDENTIAL_MALFORMED},
};

static void
test_credentials(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(credential_cases); i++) {
        const struct credential_case *row = &credential_cases[i];
        struct ch_credential credential = {.state = CH_CREDENTIAL_ABSENT};
        g_test_message("%s", row->name);
        for (size_t j = 0; row->values[j] != NULL; j++) {
            ch_credential_add(&credential, "Token", row->values[j]);
        }
        g_assert_cmpint(credential.state, ==, row->state);
    }
}

/* ---- teams ---- */

/* Appends [team NAME] with a key, or without when the key is NULL. */
static void
append_team(GString *out, const char *name, const char *key)
{
    g_string_append_printf(out, "[team %s]\n", name);
    if (key != NULL) {
        char digest[CH_ACCESS_DIGEST_SIZE];
        ch_access_digest_key(key, digest);
        g_string_append_printf(out, "keys = %s\n", digest);
    }
}

/* Parses a declaration with two classes and the given keys of teams a and b;
 * "-": there is no such team. */
static struct ch_declaration *
make_declaration(const char *key_of_a, const char *key_of_b,
                 bool requires_keys)
{
    GString *text = g_string_new(CLASSES);
    struct ch_error error = {0};
    if (g_strcmp0(key_of_a, "-") != 0) {
        append_team(text, "a", key_of_a);
    }
    if (g_strcmp0(key_of_b, "-") != 0) {
        append_team(text, "b", key_of_b);
    }
    if (requires_keys) {
        g_string_append(text, "[access]\nrequire-keys = true\n");
    }
    struct ch_declaration *declaration =
        ch_declaration_parse(text->str, "test", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_string_free(text, TRUE);
    return declaration;
}

struct team_case {
    const char *name;
    const char *key_of_a;
    const char *key_of_b;
    const char *class;
    const char *sent; /* Authorization; NULL: none */
    const char *team; /* NULL: none */
    enum ch_code code;
    bool requires_keys;
};

static const struct team_case team_cases[] = {
    {"known", "k1", "k2", "closed", "Token k1", "a", CH_OK, false},
    {"of the other team", "k1", "k2", "closed", "Token k2", "b", CH_OK, false},
    {"unknown", "k1", "k2", "closed", "Token k3", NULL, CH_KEY_UNKNOWN, false},
    {"in other letters", "k1", "k2", "closed", "Token K1", NULL,
     CH_KEY_UNKNOWN, false},
    {"a part of a key", "k12", "k2", "closed", "Token k1", NULL,
     CH_KEY_UNKNOWN, false},
    {"none", "k1", "k2", "closed", NULL, NULL, CH_KEY_MISSING, false},
    {"malformed", "k1", "k2", "closed", "Basic k1", NULL, CH_KEY_MALFORMED,
     false},
    {"moved to the other team", NULL, "k1", "closed", "Token k1", "b", CH_OK,
     false},
    {"last key of a team taken away", NULL, "k2", "closed", "Token k1", NULL,
     CH_KEY_UNKNOWN, false},
    {"added again", "k1", NULL, "closed", "Token k1", "a", CH_OK, false},
    {"team taken away", "-", "k2", "closed", "Token k1", NULL, CH_KEY_UNKNOWN,
     false},
    {"all teams taken away", "-", "-", "closed", "Token k1", NULL,
     CH_KEY_UNKNOWN, true},
    {"all teams taken away, no key", "-", "-", "closed", NULL, NULL,
     CH_KEY_MISSING, true},
    {"keys not in use", "-", "-", "closed", "Token k1", NULL, CH_OK, false},
    {"public, none", "k1", "k2", "open", NULL, NULL, CH_OK, false},
    {"public, known", "k1", "k2", "open", "Token k1", "a", CH_OK, false},
    {"public, unknown", "k1", "k2", "open", "Token k3", NULL, CH_OK, false},
    {"public, malformed", "k1", "k2", "open", "k1", NULL, CH_OK, false},
};

static void
test_teams(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(team_cases); i++) {
        const struct team_case *row = &team_cases[i];
        struct ch_declaration *declaration =
            make_declaration(row->key_of_a, row->key_of_b, row->requires_keys);
        struct ch_credential credential = {.state = CH_CREDENTIAL_ABSENT};
        enum ch_code code = CH_OK;
        g_test_message("%s", row->name);
        if (row->sent != NULL) {
            ch_credential_add(&credential, "Token", row->sent);
        }
        int class = ch_declaration_find_class(declaration, row->class);
        const struct ch_team *team = ch_access_find_team(
            declaration, &declaration->classes[class], &credential, &code);
        g_assert_cmpint(code, ==, row->code);
        g_assert_cmpstr(team == NULL ? NULL : team->name, ==, row->team);
        ch_declaration_free(declaration);
    }
}

/* ---- what is passed on ---- */

static const struct {
    const char *name;
    const char *value;
    bool may_forward;
} header_cases[] = {
    {"Host", "h", true},
    {"Authorization", "Token 0123456789", false},
    {"authorization", "Basic abc", false},
    {"X-Api-Key", "0123456789", false},
    {"Cookie", "a=b; key=0123456789", false},
    {"X-Other", "012345678", true},
};

/* Guards against a key that reaches an upstream under the name of another
 * header. */
static void
test_forwarding(void)
{
    struct ch_credential credential = {.state = CH_CREDENTIAL_ABSENT};
    struct ch_credential short_key = {.state = CH_CREDENTIAL_ABSENT};
    ch_credential_add(&credential, "Token", "Token 0123456789");
    ch_credential_add(&short_key, "Token", "Token h");
    for (size_t i = 0; i < G_N_ELEMENTS(header_cases); i++) {
        g_assert_cmpint(ch_access_may_forward(&credential,
                                              header_cases[i].name,
                                              header_cases[i].value),
                        ==, header_cases[i].may_forward);
    }
    g_assert_true(ch_access_may_forward(&short_key, "Host", "host"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/access/credentials", test_credentials);
    g_test_add_func("/access/teams", test_teams);
    g_test_add_func("/access/forwarding", test_forwarding);
    return g_test_run();
}
