/* Membership and homes, in virtual time. */

#include "decide/gossip.h"
#include "decide/member.h"

#include <string.h>

static const int64_t MS = 1000;
static const int64_t SILENT_AFTER = 600000;

/* The platform lists members named by their data centre's letter. */
static void
list_members(struct ch_members *members, const char *const *names,
             size_t count)
{
    ch_members_begin_update(members);
    for (size_t i = 0; i < count; i++) {
        char data_centre[2] = {names[i][0], '\0'};
        const char *region = names[i][0] == 'c' ? "r2" : "r1";
        ch_members_listed(members, names[i], "127.0.0.1:1", region,
                          data_centre, false, 0);
    }
    ch_members_end_update(members);
}

/* A members table of this node a1 (region r1, data centre a) and others. */
static struct ch_members *
make_members(const char *const *names, size_t count)
{
    struct ch_members *members =
        ch_members_new("a1", "r1", "a", 1, SILENT_AFTER);
    list_members(members, names, count);
    return members;
}

static const char *const seven[] = {"a2", "a3", "b1", "b2", "c1", "c2"};

/* Who is home: of one scope when anybody lives there, else of the wider. */
static void
test_home_scope(void)
{
    const struct {
        const char *region;
        const char *data_centre;
        const char *silent; /* first letter of the nodes that are lost */
        const char *expect; /* first letters that may be home */
    } cases[] = {
        {"r1", "a", "", "a"},   {"r1", "b", "", "b"},
        {"r2", "c", "", "c"},   {"r1", "b", "b", "a"},
        {"r2", "c", "c", "ab"}, {NULL, NULL, "", "abc"},
        {"r9", "z", "", "abc"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
        for (size_t k = 0; k < G_N_ELEMENTS(seven); k++) {
            if (seven[k][0] == cases[i].silent[0]) {
                g_assert_true(
                    ch_members_lost(members, seven[k], 2 * SILENT_AFTER));
            }
        }
        for (uint64_t key = 0; key < 200; key++) {
            const char *home = ch_members_home(members, key, cases[i].region,
                                               cases[i].data_centre);
            g_assert_nonnull(strchr(cases[i].expect, home[0]));
        }
        ch_members_free(members);
    }
}

/* A node that goes moves the keys that it was home of, and no others. */
static void
test_home_moves_little(void)
{
    struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
    char *before[500];
    int held = 0;
    for (uint64_t key = 0; key < 500; key++) {
        before[key] = g_strdup(ch_members_home(members, key, NULL, NULL));
        held += strcmp(before[key], "b1") == 0;
    }
    ch_members_lost(members, "b1", 2 * SILENT_AFTER);
    int moved = 0;
    for (uint64_t key = 0; key < 500; key++) {
        const char *home = ch_members_home(members, key, NULL, NULL);
        moved += strcmp(before[key], home) != 0;
        g_free(before[key]);
    }
    g_assert_cmpint(moved, ==, held);
    g_assert_cmpint(held, >, 40);
    g_assert_cmpint(held, <, 110);
    ch_members_free(members);
}

/*
 * What the caller sees: one connection went silent, its request goes to a new
 * one.  Something on the way has forgotten the connection while the node is
 * well, so that the node must stay in use: only a silence of all that comes
 * from it makes it silent, and one word from it brings it back.
 */
static void
test_silence(void)
{
    const struct {
        int64_t heard;
        int64_t lost;
        bool silent;
    } cases[] = {
        {1000 * MS, 1100 * MS, false},
        {1000 * MS, 1599 * MS, false},
        {1000 * MS, 1600 * MS, true},
        {1000 * MS, 9000 * MS, true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
        ch_members_heard(members, "b1", cases[i].heard);
        g_assert_cmpint(ch_members_lost(members, "b1", cases[i].lost), ==,
                        cases[i].silent);
        g_assert_cmpint(ch_members_find(members, "b1")->status, ==,
                        cases[i].silent ? CH_MEMBER_SILENT : CH_MEMBER_ALIVE);
        ch_members_heard(members, "b1", cases[i].lost + 1);
        g_assert_cmpint(ch_members_find(members, "b1")->status, ==,
                        CH_MEMBER_ALIVE);
        ch_members_free(members);
    }
}

/* A hint makes this node probe and changes nothing by itself. */
static void
test_hint(void)
{
    struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
    const char *names[8];
    int64_t now = 10 * SILENT_AFTER;
    ch_members_probe(members, now, names, 8); /* takes this period's draw */
    ch_members_hint(members, "c1", now);
    g_assert_cmpint(ch_members_find(members, "c1")->status, ==,
                    CH_MEMBER_ALIVE);
    g_assert_cmpuint(ch_members_probe(members, now + 1, names, 8), ==, 1);
    g_assert_cmpstr(names[0], ==, "c1");
    ch_members_free(members);
}

/* Every member is probed once a round, at one probe a period, also when the
 * same list comes at each of them. */
static void
test_probe_round(void)
{
    struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
    int probes[G_N_ELEMENTS(seven)] = {0};
    for (size_t round = 0; round < 3 * G_N_ELEMENTS(seven); round++) {
        const char *names[8];
        list_members(members, seven, G_N_ELEMENTS(seven));
        size_t count = ch_members_probe(
            members, (int64_t)(round + 1) * CH_MEMBER_PERIOD, names, 8);
        g_assert_cmpuint(count, ==, 1);
        for (size_t k = 0; k < G_N_ELEMENTS(seven); k++) {
            probes[k] += strcmp(seven[k], names[0]) == 0;
        }
    }
    for (size_t k = 0; k < G_N_ELEMENTS(seven); k++) {
        g_assert_cmpint(probes[k], ==, 3);
    }
    ch_members_free(members);
}

/*
 * What the caller sees: nothing.  This process was stopped for a minute; when
 * it goes on, every other node seems silent for that long.  Taking the pause
 * off their silences keeps the node from calling itself home of everything.
 */
static void
test_pause(void)
{
    struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
    int64_t minute = 60000 * MS;
    ch_members_heard(members, "b1", 1000 * MS);
    ch_members_paused(members, minute, minute + 1050 * MS);
    g_assert_false(ch_members_lost(members, "b1", minute + 1100 * MS));
    ch_members_free(members);
}

/*
 * Guards against a member that dies just after this process paused, and counts
 * as alive for as long as the pause was: it was heard before the pause was
 * taken off.
 */
static void
test_heard_after_pause(void)
{
    struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
    int64_t minute = 60000 * MS;
    ch_members_heard(members, "b1", minute);
    ch_members_paused(members, minute, minute);
    g_assert_false(ch_members_lost(members, "b1", minute + SILENT_AFTER - 1));
    g_assert_true(ch_members_lost(members, "b1", minute + SILENT_AFTER));
    ch_members_free(members);
}

/* A stopping node is no home, its successor by the same name is. */
static void
test_stopping(void)
{
    const char *const other[] = {"a2"};
    struct ch_members *members = make_members(other, 1);
    ch_members_incarnation(members, "a2", 5);
    ch_members_leaves(members, "a2", 5);
    for (uint64_t key = 0; key < 50; key++) {
        g_assert_cmpstr(ch_members_home(members, key, "r1", "a"), ==, "a1");
    }
    ch_members_stop_self(members);
    g_assert_null(ch_members_home(members, 1, "r1", "a"));
    ch_members_incarnation(members, "a2", 6);
    g_assert_cmpstr(ch_members_home(members, 1, "r1", "a"), ==, "a2");
    ch_members_free(members);
}

/*
 * What the caller sees: its request is served by the home that was there
 * before. A node that has just started answers, and is to be home, but knows
 * too little and would refuse; until it is ready, the others are asked. When
 * none is ready, the fleet starts, and homes are as ever.
 */
static void
test_unready(void)
{
    const char *const other[] = {"a2"};
    struct ch_members *members = make_members(other, 1);
    static const struct {
        bool self;
        bool other;
        const char *asked; /* NULL: the owner, whoever it is */
    } cases[] = {
        {true, false, "a1"},
        {false, true, "a2"},
        {true, true, NULL},
        {false, false, NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        ch_members_ready_self(members, cases[i].self);
        ch_members_ready(members, "a2", cases[i].other);
        for (uint64_t key = 0; key < 50; key++) {
            const char *owner = ch_members_home(members, key, "r1", "a");
            const char *asked = ch_members_ready_home(members, key, "r1", "a");
            g_assert_cmpstr(asked, ==,
                            cases[i].asked != NULL ? cases[i].asked : owner);
        }
    }
    uint64_t version = ch_members_version(members);
    ch_members_ready(members, "a2", false);
    g_assert_cmpuint(ch_members_version(members), ==, version);
    ch_members_ready(members, "a2", true);
    g_assert_cmpuint(ch_members_version(members), !=, version);
    ch_members_free(members);
}

/* Messages a round do not grow with the fleet; both kinds of nodes get some.
 */
static void
test_fanout(void)
{
    const struct {
        unsigned near;
        unsigned far;
        struct ch_gossip_share share;
    } cases[] = {
        {0, 0, {0, 0}},    {2, 4, {2, 4}},   {11, 0, {11, 0}}, {12, 0, {6, 0}},
        {0, 12, {0, 6}},   {1, 30, {1, 5}},  {30, 2, {4, 2}},  {6, 6, {3, 3}},
        {45, 274, {3, 3}}, {319, 0, {6, 0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_gossip_share share =
            ch_gossip_share(cases[i].near, cases[i].far);
        g_assert_cmpuint(share.near, ==, cases[i].share.near);
        g_assert_cmpuint(share.far, ==, cases[i].share.far);
        bool all = share.near + share.far == cases[i].near + cases[i].far;
        g_assert_cmpint(ch_gossip_direct(cases[i].near + cases[i].far + 1), ==,
                        all);
    }
}

/* A refused connection is believed at once, and what is heard after it too.
 * Homes move by the version alone, so it must change with that belief. */
static void
test_refused(void)
{
    struct ch_members *members = make_members(seven, G_N_ELEMENTS(seven));
    ch_members_heard(members, "b1", 10 * MS);
    uint64_t before = ch_members_version(members);
    ch_members_refused(members, "b1", 11 * MS);
    const struct ch_member *member = ch_members_find(members, "b1");
    g_assert_false(ch_member_serves(member));
    g_assert_cmpint(member->hint_until, >, 11 * MS);
    uint64_t version = ch_members_version(members);
    g_assert_cmpuint(version, !=, before);
    ch_members_refused(members, "b1", 11 * MS);
    g_assert_cmpuint(ch_members_version(members), ==, version);
    ch_members_heard(members, "b1", 12 * MS);
    g_assert_true(ch_member_serves(member));
    ch_members_refused(members, "nobody", 13 * MS);
    ch_members_free(members);
}

/* Silent members are probed each second, or, when they are many, in turn at
 * no more than 20 a second; none is forgotten. */
static void
test_silent_probes(void)
{
    const struct {
        unsigned silent;
        unsigned most; /* probes of them in 20 s */
        unsigned least_each;
    } cases[] = {{2, 42, 19}, {20, 420, 19}, {200, 420, 1}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ch_members *members =
            ch_members_new("a1", "r1", "a", 1, SILENT_AFTER);
        unsigned *probes = g_new0(unsigned, cases[i].silent);
        size_t total = 0;
        int64_t begun = 2 * SILENT_AFTER;
        char name[16];
        ch_members_begin_update(members);
        for (unsigned k = 0; k < cases[i].silent; k++) {
            g_snprintf(name, sizeof(name), "b%03u", k);
            ch_members_listed(members, name, "127.0.0.1:1", "r1", "b", false,
                              0);
        }
        ch_members_end_update(members);
        for (unsigned k = 0; k < cases[i].silent; k++) {
            g_snprintf(name, sizeof(name), "b%03u", k);
            g_assert_true(ch_members_lost(members, name, begun));
        }
        for (int64_t now = begun; now < begun + 20000 * MS; now += 50 * MS) {
            const char *names[16];
            size_t count = ch_members_probe(members, now, names, 16);
            total += count;
            for (size_t k = 0; k < count; k++) {
                probes[g_ascii_strtoull(names[k] + 1, NULL, 10)]++;
                ch_members_lost(members, names[k], now);
            }
        }
        g_assert_cmpuint(total, <=, cases[i].most);
        for (unsigned k = 0; k < cases[i].silent; k++) {
            g_assert_cmpuint(probes[k], >=, cases[i].least_each);
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
    g_test_add_func("/member/home-moves-little", test_home_moves_little);
    g_test_add_func("/member/silence", test_silence);
    g_test_add_func("/member/hint", test_hint);
    g_test_add_func("/member/probe-round", test_probe_round);
    g_test_add_func("/member/pause", test_pause);
    g_test_add_func("/member/heard-after-pause", test_heard_after_pause);
    g_test_add_func("/member/stopping", test_stopping);
    g_test_add_func("/member/unready", test_unready);
    g_test_add_func("/member/fanout", test_fanout);
    g_test_add_func("/member/refused", test_refused);
    g_test_add_func("/member/silent-probes", test_silent_probes);
    return g_test_run();
}
