/* Settings: defaults, values, and the error for each kind of invalid input. */

#include "base/base.h"

#include <string.h>

#define NODE "[node]\nname = n1\nregion = r1\ndata-centre = d1\n"
#define LISTEN                                                                \
    "[listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"                  \
    "peers = 127.0.0.1:3\n"
#define PLATFORM "[platform]\nkv = 127.0.0.1:4\nhosts = 127.0.0.1:5\n"
#define GOOD NODE LISTEN PLATFORM

struct bad_case {
    const char *text;
    enum ch_code code;
    const char *message;
};

static const struct bad_case bad_cases[] = {
    {"", CH_MISSING,
     "f.ini: [node]: the group is missing; its key 'name' is required"},
    {NODE LISTEN, CH_MISSING, "f.ini: [platform]: the group is missing"},
    {NODE LISTEN "[platform]\nkv = 127.0.0.1:4\n", CH_MISSING,
     "f.ini: [platform] hosts: the key is missing"},
    {GOOD "[colour]\n", CH_UNKNOWN_GROUP, "f.ini: [colour]: no such group"},
    {GOOD "[limits]\nbody = 1\n", CH_UNKNOWN_SETTING,
     "f.ini: [limits] body: no such key"},
    {GOOD "[limits]\nqueue = many\n", CH_BAD_VALUE,
     "f.ini: [limits] queue: 'many': not a whole number"},
    {GOOD "[limits]\nqueue = 1.5\n", CH_BAD_VALUE, "not a whole number"},
    {GOOD "[limits]\nqueue =\n", CH_BAD_VALUE, "'': not a whole number"},
    {GOOD "[limits]\nqueue = 0\n", CH_BAD_VALUE,
     "'0': must be from 1 to 100000"},
    {GOOD "[limits]\nqueue = -4\n", CH_BAD_VALUE, "must be from 1"},
    {GOOD "[limits]\nqueue = 99999999999999999999\n", CH_BAD_VALUE,
     "must be from 1"},
    {GOOD "[limits]\nqueue = 0x10\n", CH_BAD_VALUE, "not a whole number"},
    {GOOD "[limits]\nretry-share = nan\n", CH_BAD_VALUE, "not a number"},
    {GOOD "[limits]\nretry-share = 1.01\n", CH_BAD_VALUE,
     "must be from 0 to 1"},
    {GOOD "[limits]\nretry-share = 1e999\n", CH_BAD_VALUE, "not a number"},
    {GOOD "[upstreams]\nfencing = yes\n", CH_BAD_VALUE,
     "[upstreams] fencing: 'yes': not one of ignore, refuse"},
    {GOOD "[policy]\npledge = off\n", CH_UNKNOWN_SETTING,
     "f.ini: [policy] pledge: no such key in this group"},
    {GOOD "[policy]\npledges = no\n", CH_BAD_VALUE,
     "f.ini: [policy] pledges: 'no': not one of on, off"},
    {GOOD "[policies]\npledges = off\n", CH_UNKNOWN_GROUP,
     "f.ini: [policies]: no such group"},
    {GOOD "[policy]\npledges = off\npledges = on\n", CH_DUPLICATE,
     "f.ini: [policy] pledges: duplicate key"},
    {GOOD "[node]\nworkers = 2\n", CH_DUPLICATE,
     "f.ini: [node]: duplicate group"},
    {GOOD "[once]\nslots = 1\nslots = 2\n", CH_DUPLICATE,
     "f.ini: [once] slots: duplicate key"},
    {"[node]\nname = a/b\nregion = r\ndata-centre = d\n" LISTEN PLATFORM,
     CH_BAD_VALUE, "[node] name: 'a/b': not a name"},
    {"[node]\nname =\nregion = r\ndata-centre = d\n" LISTEN PLATFORM,
     CH_BAD_VALUE, "[node] name: '': not a name"},
    {NODE "[listen]\ncallers = localhost:1\nadmin = 127.0.0.1:2\n"
          "peers = 127.0.0.1:3\n" PLATFORM,
     CH_BAD_VALUE, "[listen] callers: 'localhost:1': not ip:port"},
    {NODE "[listen]\ncallers = 127.0.0.1:70000\nadmin = 127.0.0.1:2\n"
          "peers = 127.0.0.1:3\n" PLATFORM,
     CH_BAD_VALUE, "[listen] callers"},
    {NODE "[listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"
          "peers = 127.0.0.1:1\n" PLATFORM,
     CH_DUPLICATE,
     "[listen] peers: '127.0.0.1:1' is also the address of callers"},
    {NODE "[listen]\ncallers = 0.0.0.0:1\nadmin = 127.0.0.1:1\n"
          "peers = 127.0.0.1:3\n" PLATFORM,
     CH_DUPLICATE, "[listen] admin"},
    {NODE LISTEN "[platform]\nkv = 127.0.0.1:0\nhosts = 127.0.0.1:5\n",
     CH_BAD_VALUE, "[platform] kv: '127.0.0.1:0': port 0"},
    {"name = n1\n", CH_INI_SYNTAX, "f.ini: "},
    {"[node\n", CH_INI_SYNTAX, "f.ini: "},
    {"[node]\nname = \xff\n", CH_INI_SYNTAX, "f.ini: not UTF-8"},
};

/* Each kind of invalid input gives its error code and a message that names the
 * file, the group and the key. */
static void
test_bad(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++) {
        struct ch_error error = {0};
        struct ch_settings *settings =
            ch_settings_parse(bad_cases[i].text, "f.ini", &error);
        g_test_message("case %zu: %s", i, error.message);
        g_assert_null(settings);
        g_assert_cmpint(error.code, ==, bad_cases[i].code);
        g_assert_nonnull(strstr(error.message, bad_cases[i].message));
    }
}

/* Optional keys that are absent have their defaults. */
static void
test_defaults(void)
{
    struct ch_error error = {0};
    struct ch_settings *settings = ch_settings_parse(GOOD, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpstr(settings->name, ==, "n1");
    g_assert_cmpstr(settings->hosts, ==, "127.0.0.1:5");
    g_assert_cmpint(settings->log_level, ==, CH_LOG_INFO);
    g_assert_false(settings->fencing);
    g_assert_cmpuint(settings->once_slots, ==, 64);
    g_assert_cmpuint(settings->max_body_bytes, ==, 1048576);
    g_assert_cmpfloat(settings->retry_share, ==, 0.1);
    g_assert_cmpfloat(settings->region_link_mbit_per_s, ==, 30);
    g_assert_cmpuint(settings->drain_ms, ==, 3000);
    ch_settings_free(settings);
}

/* Values of each type are read.  All three listeners may have port 0, for
 * which the kernel picks a free port. */
static void
test_values(void)
{
    struct ch_error error = {0};
    struct ch_settings *settings = ch_settings_parse(
        NODE "workers = 2\nlog-level = err\n"
             "[listen]\ncallers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n"
             "peers = 127.0.0.1:0\n" PLATFORM "[upstreams]\nfencing = refuse\n"
             "[limits]\nbody-bytes = 2048\n"
             "[weight-store]\nloads-per-s = 0.5\n[link]\nmbit-per-s = 0\n",
        "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpuint(settings->workers, ==, 2);
    g_assert_cmpint(settings->log_level, ==, CH_LOG_ERR);
    g_assert_true(settings->fencing);
    g_assert_cmpuint(settings->max_body_bytes, ==, 2048);
    g_assert_cmpfloat(settings->loads_per_s, ==, 0.5);
    g_assert_cmpfloat(settings->region_link_mbit_per_s, ==, 0);
    ch_settings_free(settings);
}

/* Every key of [policy] and its member in the settings. */
static const struct {
    const char *key;
    size_t member;
} policy_switches[] = {
    {"whole-fleet", offsetof(struct ch_disabled_features, fleet_wide_search)},
    {"several-victims",
     offsetof(struct ch_disabled_features, several_evictions)},
    {"move-apart",
     offsetof(struct ch_disabled_features, spread_last_replicas)},
    {"near-copies", offsetof(struct ch_disabled_features, local_copies_first)},
    {"pledges", offsetof(struct ch_disabled_features, reservations)},
    {"adapters-ahead",
     offsetof(struct ch_disabled_features, preload_adapters)},
    {"wait-for-model", offsetof(struct ch_disabled_features, wait_for_model)},
    {"refuse-late", offsetof(struct ch_disabled_features, refuse_late)},
    {"pace-prompts", offsetof(struct ch_disabled_features, defer_prompts)},
    {"learnt-speeds",
     offsetof(struct ch_disabled_features, measured_service_times)},
    {"quota-pools", offsetof(struct ch_disabled_features, quota_pools)},
    {"upstream-pace", offsetof(struct ch_disabled_features, upstream_pace)},
    {"stream-pauses", offsetof(struct ch_disabled_features, stream_pauses)},
    {"room-shares", offsetof(struct ch_disabled_features, room_shares)},
    {"quota-ranks", offsetof(struct ch_disabled_features, quota_ranks)},
};

/* Appends the key of a disabled feature, "+" for an enabled one. */
static void
append_switch(void *data, const char *key, bool on)
{
    g_string_append_printf(data, "%s", on ? "+" : key);
}

/* Each key disables its own feature and no other, and
 * ch_settings_foreach_policy reports this.  By default, and if a key is set to
 * on, no feature is disabled. */
static void
test_policy(void)
{
    const struct ch_disabled_features all_enabled = {0};
    G_STATIC_ASSERT(G_N_ELEMENTS(policy_switches) == sizeof(all_enabled));
    for (size_t i = 0; i < 2 * G_N_ELEMENTS(policy_switches); i++) {
        const char *key = policy_switches[i / 2].key;
        bool disabled = i % 2 == 1;
        struct ch_error error = {0};
        struct ch_disabled_features expect = all_enabled;
        g_autoptr(GString) reported = g_string_new(NULL);
        g_autofree char *text = g_strdup_printf(GOOD "[policy]\n%s = %s\n",
                                                key, disabled ? "off" : "on");
        struct ch_settings *settings =
            ch_settings_parse(text, "f.ini", &error);
        g_test_message("%s %s", key, disabled ? "off" : "on");
        g_assert_cmpstr(error.message, ==, "");
        ((bool *)&expect)[policy_switches[i / 2].member] = disabled;
        g_assert_cmpmem(&settings->disabled_features, sizeof(expect), &expect,
                        sizeof(expect));
        ch_settings_foreach_policy(settings, append_switch, reported);
        g_assert_cmpuint(reported->len, ==,
                         G_N_ELEMENTS(policy_switches) +
                             (disabled ? strlen(key) - 1 : 0));
        g_assert_true(!disabled || strstr(reported->str, key) != NULL);
        ch_settings_free(settings);
    }
}

/* Limits may be fractions.  Limits scaled to the size of a deployment are not
 * always whole numbers; guards against nodes that don't start for this
 * reason. */
static void
test_fractions(void)
{
    struct ch_error error = {0};
    struct ch_settings *settings = ch_settings_parse(
        GOOD "[limits]\nretry-share = 0.25\nretry-slack = 33.1578947368421\n"
             "[weight-store]\nwindow-s = 2.5\novershoot = 1.1\n",
        "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    g_assert_cmpfloat(settings->retry_share, ==, 0.25);
    g_assert_cmpfloat(settings->retry_slack, ==, 33.1578947368421);
    g_assert_cmpfloat(settings->load_window_s, ==, 2.5);
    g_assert_cmpfloat(settings->load_overshoot, ==, 1.1);
    ch_settings_free(settings);
}

/* Returns the example with its "#key = value" lines, which show the defaults,
 * uncommented; a new string. */
static char *
read_example_with_defaults(void)
{
    char *text = NULL;
    g_assert_true(g_file_get_contents("examples/node.ini", &text, NULL, NULL));
    GRegex *regex = g_regex_new("^#([a-z-]+ = )", G_REGEX_MULTILINE, 0, NULL);
    char *stated = g_regex_replace(regex, text, -1, 0, "\\1", 0, NULL);
    g_regex_unref(regex);
    g_free(text);
    return stated;
}

/* Returns a copy of the settings with all strings set to NULL, and frees the
 * settings. */
static struct ch_settings
take_numbers(struct ch_settings *settings)
{
    struct ch_settings numbers;
    memcpy(&numbers, settings, sizeof(numbers));
    numbers.name = numbers.region = numbers.data_centre = NULL;
    numbers.callers = numbers.admin = numbers.peers = NULL;
    numbers.kv = numbers.hosts = NULL;
    numbers.data_centres = numbers.ready_path = NULL;
    ch_settings_free(settings);
    return numbers;
}

/* The defaults shown in the example are the actual defaults. */
static void
test_example_defaults(void)
{
    struct ch_error error = {0};
    char *text = read_example_with_defaults();
    struct ch_settings *stated = ch_settings_parse(text, "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    struct ch_settings *defaults = ch_settings_parse(GOOD, "f.ini", &error);
    struct ch_settings a = take_numbers(stated);
    struct ch_settings b = take_numbers(defaults);
    g_assert_cmpmem(&a, sizeof(a), &b, sizeof(b));
    g_assert_nonnull(strstr(text, "\ndrain-ms = "));
    g_free(text);
}

/* The example file loads; the error for a missing file names the file. */
static void
test_files(void)
{
    struct ch_error error = {0};
    struct ch_settings *settings =
        ch_settings_load("examples/node.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    ch_settings_free(settings);
    g_assert_null(ch_settings_load("examples/none.ini", &error));
    g_assert_cmpint(error.code, ==, CH_FILE_UNREADABLE);
    g_assert_nonnull(strstr(error.message, "examples/none.ini"));
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/settings/bad", test_bad);
    g_test_add_func("/settings/defaults", test_defaults);
    g_test_add_func("/settings/values", test_values);
    g_test_add_func("/settings/fractions", test_fractions);
    g_test_add_func("/settings/policy", test_policy);
    g_test_add_func("/settings/example-defaults", test_example_defaults);
    g_test_add_func("/settings/files", test_files);
    return g_test_run();
}
