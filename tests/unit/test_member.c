/* Membership and home nodes, in virtual time. */

#include "decide/gossip.h"
#include "decide/member.h"

#include <string.h>

static const int64_t US_PER_MS = 1000;
static const int64_t SILENT_AFTER_US = 600000;

/* Updates the members from a host list.  The first letter of a node's name is
 * its data centre; data centre c is in region r2, the others are in r1. */
static void
update_members(struct ch_members *members, const char *const *names,
               size_t count)
{
    ch_members_begin_update(members);
    for (size_t i = 0; i < count; i++) {
        char data_centre[2] = {names[i][0], '\0'};
        const char *region = names[i][0] == 'c' ? "r2" : "r1";
        ch_members_update_member(members, names[i], "127.0.0.1:1", region,
                                 data_centre, false, 0);
    }
    ch_members_end_update(members);
}

/* Members as seen by node a1 (region r1, data centre a). */
static struct ch_members *
new_members(const char *const *names, size_t count)
{
    struct ch_members *members =
        ch_members_new("a1", "r1", "a", 1, SILENT_AFTER_US);
    update_members(members, names, count);
    return members;
}

static const char *const other_nodes[] = {"a2", "a3", "b1", "b2", "c1", "c2"};

/* The home node is in the narrowest scope that has an available node. */
static void
test_home_scope(void)
{
    const struct {
        const char *region;
        const char *data_centre;
        const char *silent;   /* data centre whose nodes are lost */
        const char *expected; /* data centres that may have the home node */
    } cases[] = {
        {"r1", "a", "", "a"},   {"r1", "b", "", "b"},
        {"r2", "c", "", "c"},   {"r1", "b", "b", "a"},
        {"r2", "c", "c", "ab"}, {NULL, NULL, "", "abc"},
        {"r9", "z", "", "abc"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_members *members =
            new_members(other_nodes, G_N_ELEMENTS(other_nodes));
        for (size_t k = 0; k < G_N_ELEMENTS(other_nodes); k++) {
            if (other_nodes[k][0] == cases[i].silent[0]) {
                g_assert_true(ch_members_record_lost_connection(
                    members, other_nodes[k], 2 * SILENT_AFTER_US));
            }
        }
        for (uint64_t key = 0; key < 200; key++) {
            const char *home = ch_members_find_home(
                members, key, cases[i].region, cases[i].data_centre);
            g_assert_nonnull(strchr(cases[i].expected, home[0]));
        }
        ch_members_free(members);
    }
}

/* When a node is lost, its keys get other home nodes, and no other keys do. */
static void
test_lost_node_moves_own_keys(void)
{
    struct ch_members *members =
        new_members(other_nodes, G_N_ELEMENTS(other_nodes));
    char *before[500];
    int b1_key_count = 0;
    for (uint64_t key = 0; key < 500; key++) {
        before[key] = g_strdup(ch_members_find_home(members, key, NULL, NULL));
        b1_key_count += strcmp(before[key], "b1") == 0;
    }
    ch_members_record_lost_connection(members, "b1", 2 * SILENT_AFTER_US);
    int moved_count = 0;
    for (uint64_t key = 0; key < 500; key++) {
        const char *home = ch_members_find_home(members, key, NULL, NULL);
        moved_count += strcmp(before[key], home) != 0;
        g_free(before[key]);
    }
    g_assert_cmpint(moved_count, ==, b1_key_count);
    g_assert_cmpint(b1_key_count, >, 40);
    g_assert_cmpint(b1_key_count, <, 110);
    ch_members_free(members);
}

/*
 * Guards against a healthy node that is taken out of use because one
 * connection went silent, as when a device on the network path drops the
 * connection's state; the caller's request then uses a new connection.  A
 * member is silent only when no message comes over any connection, and alive
 * again with the first message.
 */
static void
test_lost_connection(void)
{
    const struct {
        int64_t heard_us;
        int64_t lost_us;
        bool silent;
    } cases[] = {
        {1000 * US_PER_MS, 1100 * US_PER_MS, false},
        {1000 * US_PER_MS, 1599 * US_PER_MS, false},
        {1000 * US_PER_MS, 1600 * US_PER_MS, true},
        {1000 * US_PER_MS, 9000 * US_PER_MS, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_members *members =
            new_members(other_nodes, G_N_ELEMENTS(other_nodes));
        ch_members_record_message(members, "b1", cases[i].heard_us);
        g_assert_cmpint(
            ch_members_record_lost_connection(members, "b1", cases[i].lost_us),
            ==, cases[i].silent);
        g_assert_cmpint(ch_members_find(members, "b1")->status, ==,
                        cases[i].silent ? CH_MEMBER_SILENT : CH_MEMBER_ALIVE);
        ch_members_record_message(members, "b1", cases[i].lost_us + 1);
        g_assert_cmpint(ch_members_find(members, "b1")->status, ==,
                        CH_MEMBER_ALIVE);
        ch_members_free(members);
    }
}

/* A hint makes this node probe the member and doesn't change its status. */
static void
test_silence_hint(void)
{
    struct ch_members *members =
        new_members(other_nodes, G_N_ELEMENTS(other_nodes));
    const char *names[8];
    int64_t now = 10 * SILENT_AFTER_US;
    ch_members_select_probes(members, now, names,
                             8); /* uses up this period's probe */
    ch_members_record_silence_hint(members, "c1", now);
    g_assert_cmpint(ch_members_find(members, "c1")->status, ==,
                    CH_MEMBER_ALIVE);
    g_assert_cmpuint(ch_members_select_probes(members, now + 1, names, 8), ==,
                     1);
    g_assert_cmpstr(names[0], ==, "c1");
    ch_members_free(members);
}

/* Every member is probed once per round, with one probe per period, also when
 * the same host list arrives in each period. */
static void
test_probe_round(void)
{
    struct ch_members *members =
        new_members(other_nodes, G_N_ELEMENTS(other_nodes));
    int probes[G_N_ELEMENTS(other_nodes)] = {0};
    for (size_t round = 0; round < 3 * G_N_ELEMENTS(other_nodes); round++) {
        const char *names[8];
        update_members(members, other_nodes, G_N_ELEMENTS(other_nodes));
        size_t count = ch_members_select_probes(
            members, (int64_t)(round + 1) * CH_MEMBER_PROBE_PERIOD_US, names,
            8);
        g_assert_cmpuint(count, ==, 1);
        for (size_t k = 0; k < G_N_ELEMENTS(other_nodes); k++) {
            probes[k] += strcmp(other_nodes[k], names[0]) == 0;
        }
    }
    for (size_t k = 0; k < G_N_ELEMENTS(other_nodes); k++) {
        g_assert_cmpint(probes[k], ==, 3);
    }
    ch_members_free(members);
}

/*
 * Guards against a node that considers itself the home node of all keys after
 * its process was stopped for a minute, because every other node seems silent
 * for that long.  The pause doesn't count as silence, so callers notice
 * nothing.
 */
static void
test_pause(void)
{
    struct ch_members *members =
        new_members(other_nodes, G_N_ELEMENTS(other_nodes));
    int64_t minute_us = 60000 * US_PER_MS;
    ch_members_record_message(members, "b1", 1000 * US_PER_MS);
    ch_members_record_pause(members, minute_us, minute_us + 1050 * US_PER_MS);
    g_assert_false(ch_members_record_lost_connection(
        members, "b1", minute_us + 1100 * US_PER_MS));
    ch_members_free(members);
}

/*
 * Guards against a member that dies just after a pause of this process and
 * counts as alive for the length of the pause: its message was handled before
 * the pause was added to the time of its last message.
 */
static void
test_heard_after_pause(void)
{
    struct ch_members *members =
        new_members(other_nodes, G_N_ELEMENTS(other_nodes));
    int64_t minute_us = 60000 * US_PER_MS;
    ch_members_record_message(members, "b1", minute_us);
    ch_members_record_pause(members, minute_us, minute_us);
    g_assert_false(ch_members_record_lost_connection(
        members, "b1", minute_us + SILENT_AFTER_US - 1));
    g_assert_true(ch_members_record_lost_connection(
        members, "b1", minute_us + SILENT_AFTER_US));
    ch_members_free(members);
}

/* A stopping node is no home node, but a new process with its name is. */
static void
test_stopping_node(void)
{
    const char *const other[] = {"a2"};
    struct ch_members *members = new_members(other, 1);
    ch_members_set_incarnation(members, "a2", 5);
    ch_members_record_stopping(members, "a2", 5);
    for (uint64_t key = 0; key < 50; key++) {
        g_assert_cmpstr(ch_members_find_home(members, key, "r1", "a"), ==,
                        "a1");
    }
    ch_members_stop_self(members);
    g_assert_null(ch_members_find_home(members, 1, "r1", "a"));
    ch_members_set_incarnation(members, "a2", 6);
    g_assert_cmpstr(ch_members_find_home(members, 1, "r1", "a"), ==, "a2");
    ch_members_free(members);
}

/*
 * Guards against requests refused by a home node that has just started and
 * knows too little to serve them.  Until it is ready, requests go to the
 * earlier home node.  When no node is ready, the whole fleet is starting, and
 * the home node is chosen as usual.
 */
static void
test_node_not_ready(void)
{
    const char *const other[] = {"a2"};
    struct ch_members *members = new_members(other, 1);
    static const struct {
        bool self_ready;
        bool other_ready;
        const char *asked; /* NULL: the home node by weight alone */
    } cases[] = {
        {true, false, "a1"},
        {false, true, "a2"},
        {true, true, NULL},
        {false, false, NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ch_members_set_self_ready(members, cases[i].self_ready);
        ch_members_set_ready(members, "a2", cases[i].other_ready);
        for (uint64_t key = 0; key < 50; key++) {
            const char *home = ch_members_find_home(members, key, "r1", "a");
            const char *asked =
                ch_members_find_ready_home(members, key, "r1", "a");
            g_assert_cmpstr(asked, ==,
                            cases[i].asked != NULL ? cases[i].asked : home);
        }
    }
    uint64_t version = ch_members_get_version(members);
    ch_members_set_ready(members, "a2", false);
    g_assert_cmpuint(ch_members_get_version(members), ==, version);
    ch_members_set_ready(members, "a2", true);
    g_assert_cmpuint(ch_members_get_version(members), !=, version);
    ch_members_free(members);
}

/* The number of gossip messages per round doesn't grow with the fleet, and
 * nodes of the own and of other data centres both get some. */
static void
test_fanout(void)
{
    const struct {
        unsigned local;
        unsigned remote;
        struct ch_gossip_fanout share;
    } cases[] = {
        {0, 0, {0, 0}},    {2, 4, {2, 4}},   {11, 0, {11, 0}}, {12, 0, {6, 0}},
        {0, 12, {0, 6}},   {1, 30, {1, 5}},  {30, 2, {4, 2}},  {6, 6, {3, 3}},
        {45, 274, {3, 3}}, {319, 0, {6, 0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_gossip_fanout share =
            ch_gossip_fanout(cases[i].local, cases[i].remote);
        g_assert_cmpuint(share.local, ==, cases[i].share.local);
        g_assert_cmpuint(share.remote, ==, cases[i].share.remote);
        bool all =
            share.local + share.remote == cases[i].local + cases[i].remote;
        g_assert_cmpint(
            ch_gossip_reaches_all(cases[i].local + cases[i].remote + 1), ==,
            all);
    }
}

/* A refused connection makes a member unavailable at once, and a later message
 * makes it available again.  Home nodes are recomputed only when the version
 * changes, so the version must change each time. */
static void
test_refused_connection(void)
{
    struct ch_members *members =
        new_members(other_nodes, G_N_ELEMENTS(other_nodes));
    ch_members_record_message(members, "b1", 10 * US_PER_MS);
    uint64_t before = ch_members_get_version(members);
    ch_members_record_refused_connection(members, "b1", 11 * US_PER_MS);
    const struct ch_member *member = ch_members_find(members, "b1");
    g_assert_false(ch_member_is_available(member));
    g_assert_cmpint(member->hint_until_us, >, 11 * US_PER_MS);
    uint64_t version = ch_members_get_version(members);
    g_assert_cmpuint(version, !=, before);
    ch_members_record_refused_connection(members, "b1", 11 * US_PER_MS);
    g_assert_cmpuint(ch_members_get_version(members), ==, version);
    ch_members_record_message(members, "b1", 12 * US_PER_MS);
    g_assert_true(ch_member_is_available(member));
    ch_members_record_refused_connection(members, "nobody", 13 * US_PER_MS);
    ch_members_free(members);
}

/* Each silent member is probed once a second.  Many silent members are probed
 * in turn, at most 20 a second in total, and none is left out. */
static void
test_silent_probes(void)
{
    const struct {
        unsigned silent;
        unsigned max_probes; /* in 20 s, of all silent members */
        unsigned min_probes_each;
    } cases[] = {{2, 42, 19}, {20, 420, 19}, {200, 420, 1}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_members *members =
            ch_members_new("a1", "r1", "a", 1, SILENT_AFTER_US);
        unsigned *probes = g_new0(unsigned, cases[i].silent);
        size_t total = 0;
        int64_t start = 2 * SILENT_AFTER_US;
        char name[16];
        ch_members_begin_update(members);
        for (unsigned k = 0; k < cases[i].silent; k++) {
            g_snprintf(name, sizeof(name), "b%03u", k);
            ch_members_update_member(members, name, "127.0.0.1:1", "r1", "b",
                                     false, 0);
        }
        ch_members_end_update(members);
        for (unsigned k = 0; k < cases[i].silent; k++) {
            g_snprintf(name, sizeof(name), "b%03u", k);
            g_assert_true(
                ch_members_record_lost_connection(members, name, start));
        }
        for (int64_t now = start; now < start + 20000 * US_PER_MS;
             now += 50 * US_PER_MS) {
            const char *names[16];
            size_t count = ch_members_select_probes(members, now, names, 16);
            total += count;
            for (size_t k = 0; k < count; k++) {
                probes[g_ascii_strtoull(names[k] + 1, NULL, 10)]++;
                ch_members_record_lost_connection(members, names[k], now);
            }
        }
        g_assert_cmpuint(total, <=, cases[i].max_probes);
        for (unsigned k = 0; k < cases[i].silent; k++) {
            g_assert_cmpuint(probes[k], >=, cases[i].min_probes_each);
        }
        g_free(probes);
        ch_members_free(members);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/member/home-scope", test_home_scope);
    g_test_add_func("/member/home-moves-little",
                    test_lost_node_moves_own_keys);
    g_test_add_func("/member/silence", test_lost_connection);
    g_test_add_func("/member/hint", test_silence_hint);
    g_test_add_func("/member/probe-round", test_probe_round);
    g_test_add_func("/member/pause", test_pause);
    g_test_add_func("/member/heard-after-pause", test_heard_after_pause);
    g_test_add_func("/member/stopping", test_stopping_node);
    g_test_add_func("/member/unready", test_node_not_ready);
    g_test_add_func("/member/fanout", test_fanout);
    g_test_add_func("/member/refused", test_refused_connection);
    g_test_add_func("/member/silent-probes", test_silent_probes);
    return g_test_run();
}
