/* Where streams began: records, the nodes that keep them, and what is
 * concluded without a record. */

#include "resume/resume.h"

#include <string.h>

enum {
    NOW = 1000 * G_USEC_PER_SEC,
    SECOND = G_USEC_PER_SEC,
    MAX_NODES = 300,
};

static struct ch_stream_origin
origin_of(const char *version)
{
    return (struct ch_stream_origin){ch_hash_string("s"),
                                     ch_version_get_id(version)};
}

/* ---- records ---- */

struct put {
    uint64_t writer;
    uint32_t sequence;
    const char *version;
    int64_t life;
};

static const struct {
    const char *what;
    struct put puts[3]; /* version NULL: no more */
    const char *version;
    bool ambiguous;
    int64_t life; /* 0: no record is left */
} record_cases[] = {
    {"told twice", {{1, 1, "v1", 9}, {1, 1, "v1", 9}}, "v1", false, 9},
    {"a later call before the first event",
     {{1, 1, "v1", 9}, {1, 2, "v2", 9}},
     "v2",
     false,
     9},
    {"the same, in the other order",
     {{1, 2, "v2", 9}, {1, 1, "v1", 9}},
     "v2",
     false,
     9},
    {"renewed by a node where it was taken up",
     {{1, 1, "v1", 5}, {1, 1, "v1", 20}},
     "v1",
     false,
     20},
    {"an old copy does not shorten its life",
     {{1, 1, "v1", 20}, {1, 1, "v1", 5}},
     "v1",
     false,
     20},
    {"two requests of the same ID at two versions",
     {{1, 1, "v1", 9}, {2, 1, "v2", 9}},
     "v1",
     true,
     9},
    {"two requests of the same ID at one version",
     {{1, 1, "v1", 9}, {2, 1, "v1", 9}},
     "v1",
     false,
     9},
    {"expired", {{1, 1, "v1", 0}}, "v1", false, 0},
};

/* Guards against records that depend on the order of messages. */
static void
test_records(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(record_cases); i++) {
        struct ch_stream_records *records = ch_stream_records_new(16);
        for (size_t j = 0; record_cases[i].puts[j].version != NULL; j++) {
            const struct put *put = &record_cases[i].puts[j];
            const struct ch_stream_record record = {
                .key = 7,
                .origin = origin_of(put->version),
                .writer = put->writer,
                .sequence = put->sequence,
                .expires_at = NOW + put->life * SECOND,
            };
            ch_stream_records_put(records, &record, NOW);
        }
        g_test_message("%s", record_cases[i].what);
        const struct ch_stream_record *found =
            ch_stream_records_find(records, 7, NOW);
        g_assert_cmpint(found != NULL, ==, record_cases[i].life > 0);
        if (found != NULL) {
            g_assert_cmpuint(found->origin.version, ==,
                             ch_version_get_id(record_cases[i].version));
            g_assert_cmpint(found->ambiguous, ==, record_cases[i].ambiguous);
            g_assert_cmpint(found->expires_at, ==,
                            NOW + record_cases[i].life * SECOND);
        }
        ch_stream_records_free(records);
    }
}

/* Guards against memory without bound: the record that expires first goes. */
static void
test_bound(void)
{
    struct ch_stream_records *records = ch_stream_records_new(100);
    for (uint64_t key = 1; key <= 1000; key++) {
        const struct ch_stream_record record = {
            .key = key,
            .origin = origin_of("v1"),
            .expires_at = NOW + (int64_t)key * SECOND,
        };
        ch_stream_records_put(records, &record, NOW);
    }
    g_assert_cmpuint(ch_stream_records_count(records), ==, 100);
    g_assert_null(ch_stream_records_find(records, 900, NOW));
    g_assert_nonnull(ch_stream_records_find(records, 901, NOW));
    ch_stream_records_expire(records, NOW + 950 * SECOND);
    g_assert_cmpuint(ch_stream_records_count(records), ==, 50);
    ch_stream_records_free(records);
}

/* Guards against two callers whose requests share a key. */
static void
test_keys(void)
{
    g_assert_cmpuint(ch_stream_get_key("a", "1"), ==,
                     ch_stream_get_key("a", "1"));
    g_assert_cmpuint(ch_stream_get_key("a", "1"), !=,
                     ch_stream_get_key("b", "1"));
    g_assert_cmpuint(ch_stream_get_key("a", "b1"), !=,
                     ch_stream_get_key("ab", "1"));
}

/* ---- versions and lookups ---- */

static const struct {
    const char *what;
    const char *listed[3]; /* at 0 s */
    const char *later[3];  /* at 10 s */
    int64_t asked_s;
    unsigned count;
    int64_t covers_s;
} history_cases[] = {
    {"one version", {"v1"}, {"v1"}, 20, 1, 20},
    {"two at once", {"v1", "v2"}, {"v1", "v2"}, 20, 2, 20},
    {"one that has gone lately", {"v1", "v2"}, {"v2"}, 60, 2, 60},
    {"one that went longer ago than a stream lasts",
     {"v1", "v2"},
     {"v2"},
     131,
     1,
     131},
    {"one that came", {"v1"}, {"v1", "v2"}, 11, 2, 11},
    {"an unknown version counts as another one",
     {"v1"},
     {"v1", "?"},
     20,
     2,
     20},
};

static size_t
fill_listed(const char *const *names, struct ch_stream_origin *listed)
{
    size_t count = 0;
    while (count < 3 && names[count] != NULL) {
        listed[count] =
            origin_of(names[count][0] == '?' ? NULL : names[count]);
        count++;
    }
    return count;
}

static void
test_history(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(history_cases); i++) {
        struct ch_version_history *history = ch_version_history_new(NOW);
        struct ch_stream_origin listed[3];
        size_t count = fill_listed(history_cases[i].listed, listed);
        ch_version_history_update(history, listed, count, NOW);
        count = fill_listed(history_cases[i].later, listed);
        ch_version_history_update(history, listed, count, NOW + 10 * SECOND);
        int64_t now = NOW + history_cases[i].asked_s * SECOND;
        ch_version_history_update(history, listed, count, now);
        const struct ch_stream_versions versions =
            ch_version_history_get(history, ch_hash_string("s"), now);
        g_test_message("%s", history_cases[i].what);
        g_assert_cmpuint(versions.count, ==, history_cases[i].count);
        g_assert_cmpint(versions.covers, ==,
                        history_cases[i].covers_s * SECOND);
        g_assert_cmpuint(
            ch_version_history_get(history, ch_hash_string("t"), now).count,
            ==, 0);
        ch_version_history_free(history);
    }
}

/* What one node answers. */
struct answer {
    const char *record;      /* version of its record; NULL: none */
    const char *versions[3]; /* that it knows; "?": not stated */
    int64_t covers_s;
    int64_t age_s;
};

#define LONG 500

static const struct {
    const char *what;
    const char *version;
    struct answer own;
    struct answer answers[3];
    size_t listed;
    size_t live;
    unsigned answer_count;
    unsigned asked;
    unsigned failed;
    enum ch_stream_finding finding;
} lookup_cases[] = {
    {.what = "one of three has a record",
     .own = {NULL, {"v1", "v2"}, LONG, 0},
     .asked = 3,
     .answers = {{NULL, {"v1"}, LONG, 0}, {"v2", {"v1"}, LONG, 0}},
     .answer_count = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_FOUND,
     .version = "v2"},
    {.what = "replies are missing",
     .own = {NULL, {"v1"}, LONG, 0},
     .asked = 3,
     .answers = {{NULL, {"v1"}, LONG, 0}},
     .answer_count = 1,
     .failed = 1,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_ASKING},
    {.what = "two records differ",
     .own = {NULL, {"v1", "v2"}, LONG, 0},
     .asked = 2,
     .answers = {{"v1", {"v1"}, LONG, 0}, {"v2", {"v1"}, LONG, 0}},
     .answer_count = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_AMBIGUOUS},
    {.what = "no record, one version for long",
     .own = {NULL, {"v1"}, LONG, 0},
     .asked = 2,
     .answers = {{NULL, {"v1"}, LONG, 0}, {NULL, {"v1"}, LONG, 0}},
     .answer_count = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_SOLE,
     .version = "v1"},
    {.what = "another node knows of a second version",
     .own = {NULL, {"v1"}, LONG, 0},
     .asked = 2,
     .answers = {{NULL, {"v1"}, LONG, 0}, {NULL, {"v2", "v1"}, 1, 0}},
     .answer_count = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_SEVERAL},
    {.what = "this node has just started, others know",
     .own = {NULL, {"v1"}, 1, 0},
     .asked = 2,
     .answers = {{NULL, {"v1"}, LONG, 0}},
     .answer_count = 1,
     .failed = 1,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_SOLE,
     .version = "v1"},
    {.what = "all nodes have just started",
     .own = {NULL, {"v1"}, 1, 0},
     .asked = 2,
     .answers = {{NULL, {"v1"}, 2, 0}, {NULL, {"v1"}, 2, 0}},
     .answer_count = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_NOT_COVERED},
    {.what = "cut off: nobody answers",
     .own = {NULL, {"v1"}, LONG, 0},
     .asked = 2,
     .failed = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_STALE},
    {.what = "cut off with others from the store and most nodes",
     .own = {NULL, {"v1"}, LONG, 30},
     .asked = 2,
     .answers = {{NULL, {"v1"}, LONG, 30}, {NULL, {"v1"}, LONG, 30}},
     .answer_count = 2,
     .listed = 7,
     .live = 3,
     .finding = CH_STREAM_STALE},
    {.what = "the store is away for all",
     .own = {NULL, {"v1"}, LONG, 30},
     .asked = 2,
     .answers = {{NULL, {"v1"}, LONG, 30}, {NULL, {"v1"}, LONG, 30}},
     .answer_count = 2,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_SOLE,
     .version = "v1"},
    {.what = "the sole version is not stated",
     .own = {NULL, {"?"}, LONG, 0},
     .asked = 1,
     .answers = {{NULL, {"?"}, LONG, 0}},
     .answer_count = 1,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_SEVERAL},
    {.what = "no upstream at all",
     .own = {NULL, {NULL}, LONG, 0},
     .asked = 1,
     .answers = {{NULL, {NULL}, LONG, 0}},
     .answer_count = 1,
     .listed = 7,
     .live = 7,
     .finding = CH_STREAM_SEVERAL},
    {.what = "another version may have come since a part of the nodes is cut "
             "off",
     .own = {NULL, {"v1"}, LONG, 3},
     .asked = 3,
     .failed = 2,
     .answers = {{NULL, {"v1"}, LONG, 3}},
     .answer_count = 1,
     .listed = 7,
     .live = 2,
     .finding = CH_STREAM_STALE},
    {.what = "the only node of its fleet",
     .own = {NULL, {"v1"}, LONG, 0},
     .listed = 1,
     .live = 1,
     .finding = CH_STREAM_SOLE,
     .version = "v1"},
};

static struct ch_stream_versions
versions_of(const struct answer *answer)
{
    struct ch_stream_versions versions = {
        .covers = MIN(answer->covers_s * SECOND, CH_STREAM_LIFE_US),
        .age = answer->age_s * SECOND,
    };
    for (size_t i = 0; i < 3 && answer->versions[i] != NULL; i++) {
        const char *name = answer->versions[i];
        versions.ids[versions.count++] =
            ch_version_get_id(name[0] == '?' ? NULL : name);
    }
    return versions;
}

/* Guards against a stream that goes on at another version at a node whose list
 * of upstreams is from before the new version came. */
static void
test_renewed_lookup(void)
{
    static const struct {
        const char *what;
        struct answer own; /* when it is asked again */
        int64_t waited_ms;
        enum ch_stream_finding finding;
    } cases[] = {
        {"the list is as old as before",
         {NULL, {"v1"}, LONG, 4},
         500,
         CH_STREAM_ASKING},
        {"the list was confirmed since",
         {NULL, {"v1"}, LONG, 0},
         500,
         CH_STREAM_SOLE},
        {"another version has come",
         {NULL, {"v1", "v2"}, LONG, 0},
         500,
         CH_STREAM_SEVERAL},
        {"no list was confirmed",
         {NULL, {"v1"}, LONG, 5},
         1500,
         CH_STREAM_STALE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const struct answer old = {NULL, {"v1"}, LONG, 3};
        const struct ch_stream_versions before = versions_of(&old);
        const struct ch_stream_versions own = versions_of(&cases[i].own);
        int64_t waited = cases[i].waited_ms * 1000;
        struct ch_stream_lookup lookup;
        struct ch_stream_origin origin;
        ch_stream_lookup_init(&lookup, ch_hash_string("s"), &before, 7, 7);
        lookup.asked = 1;
        ch_stream_lookup_add_reply(&lookup, NULL, &before);
        g_assert_cmpint(ch_stream_lookup_decide(&lookup, 0, &origin), ==,
                        CH_STREAM_ASKING);
        ch_stream_lookup_renew(&lookup, &own, 7, 4, waited);
        g_test_message("%s", cases[i].what);
        g_assert_cmpstr(ch_stream_finding_get_name(
                            ch_stream_lookup_decide(&lookup, waited, &origin)),
                        ==, ch_stream_finding_get_name(cases[i].finding));
    }
}

/* Guards against "not known" being taken for "any version will do". */
static void
test_lookup(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(lookup_cases); i++) {
        struct ch_stream_lookup lookup;
        struct ch_stream_origin origin = {0};
        const struct ch_stream_versions own =
            versions_of(&lookup_cases[i].own);
        ch_stream_lookup_init(&lookup, ch_hash_string("s"), &own,
                              lookup_cases[i].listed, lookup_cases[i].live);
        lookup.asked = lookup_cases[i].asked;
        lookup.failed = lookup_cases[i].failed;
        for (unsigned j = 0; j < lookup_cases[i].answer_count; j++) {
            const struct answer *answer = &lookup_cases[i].answers[j];
            const struct ch_stream_versions versions = versions_of(answer);
            const struct ch_stream_record record = {
                .origin = origin_of(answer->record)};
            ch_stream_lookup_add_reply(
                &lookup, answer->record == NULL ? NULL : &record, &versions);
        }
        g_test_message("%s", lookup_cases[i].what);
        enum ch_stream_finding at_once =
            ch_stream_lookup_decide(&lookup, 0, &origin);
        enum ch_stream_finding finding =
            ch_stream_lookup_decide(&lookup, (int64_t)2 * SECOND, &origin);
        g_assert_cmpstr(ch_stream_finding_get_name(finding), ==,
                        ch_stream_finding_get_name(lookup_cases[i].finding));
        g_assert_true(at_once == finding || at_once == CH_STREAM_ASKING);
        if (at_once == CH_STREAM_SOLE) {
            g_assert_cmpint(lookup.versions.age, ==, 0);
        }
        if (lookup_cases[i].version != NULL) {
            g_assert_cmpuint(origin.version, ==,
                             ch_version_get_id(lookup_cases[i].version));
            g_assert_cmpuint(origin.service, ==, ch_hash_string("s"));
        }
    }
}

/* ---- nodes that keep the records ---- */

static void
make_nodes(struct ch_rank_node *nodes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_autofree char *name = g_strdup_printf("node-%zu", i);
        nodes[i] = (struct ch_rank_node){ch_hash_string(name), 10};
    }
}

/* Guards against records of many streams that are lost with one node: a node
 * that goes moves no shard that it did not keep, and the others hold the rest
 * in like parts. */
static void
test_holders(void)
{
    static const size_t sizes[] = {1, 2, 7, 75, MAX_NODES};
    struct ch_rank_node nodes[MAX_NODES];
    for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
        size_t count = sizes[s];
        make_nodes(nodes, count);
        for (unsigned shard = 0; shard < CH_STREAM_SHARDS; shard++) {
            size_t all[CH_STREAM_COPIES + 1];
            size_t found = ch_stream_choose_holders(nodes, count, shard, all,
                                                    CH_STREAM_COPIES + 1);
            g_assert_cmpuint(found, ==, MIN(count, CH_STREAM_COPIES + 1));
            if (count < 3) {
                continue;
            }
            struct ch_rank_node rest[MAX_NODES];
            size_t left[CH_STREAM_COPIES];
            memcpy(rest, nodes, sizeof(rest));
            rest[all[0]] = rest[count - 1];
            ch_stream_choose_holders(rest, count - 1, shard, left,
                                     CH_STREAM_COPIES);
            g_assert_cmpuint(rest[left[0]].hash, ==, nodes[all[1]].hash);
            g_assert_cmpuint(rest[left[1]].hash, ==, nodes[all[2]].hash);
        }
    }
}

/* ---- a fleet in virtual time ---- */

enum {
    STEP_US = 100 * 1000,
    STEPS = 2400,
    DETECT_US = 1500 * 1000, /* until nodes know that another one is gone */
    LIST_LAG_US = 300 * 1000,
    STREAM_STEPS = 20,
    MAX_STREAMS = 20000,
    MAX_VERSIONS = 8,
};

struct sim_node {
    bool running;
    bool cut; /* from the other nodes and from the store */
    int64_t changed_at;
    int64_t frozen_until;
    bool seen_running; /* by the other nodes */
    int64_t list_at;   /* of the list of upstreams that it has */
    unsigned listed;   /* versions that it knows: a bit for each */
    struct ch_stream_records *records;
    struct ch_version_history *history;
};

struct sim_stream {
    unsigned node;
    unsigned version;
    unsigned steps_left;
    uint64_t key;
};

struct sim {
    GRand *random;
    struct ch_rank_node ranks[MAX_NODES];
    struct sim_node nodes[MAX_NODES];
    size_t count;
    int64_t now;
    unsigned versions; /* that serve: a bit for each */
    struct sim_stream streams[MAX_STREAMS];
    size_t stream_count;
    uint64_t last_key;
    unsigned taken_up;
    unsigned went_on;
    unsigned joined;
};

static bool
is_reachable(const struct sim *sim, unsigned node)
{
    return sim->nodes[node].running && !sim->nodes[node].cut &&
           sim->nodes[node].frozen_until <= sim->now;
}

/* The nodes that one node takes for live: itself, and the others as they were
 * DETECT_US ago. */
static size_t
list_live(const struct sim *sim, unsigned self, struct ch_rank_node *live,
          unsigned *indices)
{
    size_t count = 0;
    for (unsigned i = 0; i < sim->count; i++) {
        if (i == self || sim->nodes[i].seen_running) {
            live[count] = sim->ranks[i];
            indices[count++] = i;
        }
    }
    return count;
}

static size_t
list_holders(const struct sim *sim, unsigned self, uint64_t key, size_t max,
             unsigned *holders)
{
    struct ch_rank_node live[MAX_NODES];
    unsigned indices[MAX_NODES];
    size_t chosen[CH_STREAM_ASKED + 1];
    size_t count = list_live(sim, self, live, indices);
    size_t found = ch_stream_choose_holders(
        live, count, ch_stream_get_shard(key), chosen, CH_STREAM_ASKED + 1);
    size_t kept = 0;
    for (size_t i = 0; i < found && kept < max; i++) {
        if (indices[chosen[i]] != self) {
            holders[kept++] = indices[chosen[i]];
        }
    }
    return kept;
}

static void
begin_node(struct sim *sim, unsigned node)
{
    struct sim_node *self = &sim->nodes[node];
    self->running = true;
    self->cut = false;
    self->changed_at = sim->now;
    ch_stream_records_free(self->records);
    ch_version_history_free(self->history);
    self->records = ch_stream_records_new(1024);
    self->history = ch_version_history_new(sim->now);
}

/* A node's view of the upstreams follows the store's while it is in touch. */
static void
update_lists(struct sim *sim)
{
    for (unsigned i = 0; i < sim->count; i++) {
        struct sim_node *node = &sim->nodes[i];
        struct ch_stream_origin listed[MAX_VERSIONS];
        size_t count = 0;
        node->seen_running = node->running && !node->cut
                                 ? true
                                 : (sim->now - node->changed_at < DETECT_US &&
                                    node->seen_running);
        if (!is_reachable(sim, i)) {
            continue;
        }
        if (sim->now - node->list_at >= LIST_LAG_US) {
            node->listed = sim->versions;
            node->list_at = sim->now;
        }
        for (unsigned v = 0; v < MAX_VERSIONS; v++) {
            if (node->listed & (1U << v)) {
                g_autofree char *name = g_strdup_printf("v%u", v);
                listed[count++] = origin_of(name);
            }
        }
        ch_version_history_update(node->history, listed, count, sim->now);
    }
}

static uint64_t
version_id(unsigned version)
{
    g_autofree char *name = g_strdup_printf("v%u", version);
    return ch_version_get_id(name);
}

/* One of the versions that the node knows, or MAX_VERSIONS. */
static unsigned
choose_version(const struct sim *sim, unsigned node)
{
    unsigned first = (unsigned)g_rand_int_range(sim->random, 0, MAX_VERSIONS);
    for (unsigned i = 0; i < MAX_VERSIONS; i++) {
        unsigned version = (first + i) % MAX_VERSIONS;
        if ((sim->nodes[node].listed & sim->versions & (1U << version)) != 0) {
            return version;
        }
    }
    return MAX_VERSIONS;
}

static void
begin_stream(struct sim *sim, unsigned node)
{
    unsigned version = choose_version(sim, node);
    if (version == MAX_VERSIONS || sim->stream_count == MAX_STREAMS) {
        return;
    }
    struct sim_stream *stream = &sim->streams[sim->stream_count++];
    *stream = (struct sim_stream){node, version, STREAM_STEPS,
                                  ++sim->last_key * 0x9E3779B97F4A7C15U};
    const struct ch_stream_record record = {
        .key = stream->key,
        .origin = {ch_hash_string("s"), version_id(version)},
        .writer = node + 1,
        .sequence = 1,
        .expires_at = sim->now + (int64_t)30 * SECOND,
    };
    unsigned holders[CH_STREAM_COPIES];
    ch_stream_records_put(sim->nodes[node].records, &record, sim->now);
    size_t count =
        list_holders(sim, node, stream->key, CH_STREAM_COPIES, holders);
    for (size_t i = 0; i < count && is_reachable(sim, node); i++) {
        if (is_reachable(sim, holders[i])) {
            ch_stream_records_put(sim->nodes[holders[i]].records, &record,
                                  sim->now);
        }
    }
}

static struct ch_stream_versions
get_versions(const struct sim *sim, unsigned node)
{
    struct ch_stream_versions versions = ch_version_history_get(
        sim->nodes[node].history, ch_hash_string("s"), sim->now);
    versions.age = sim->now - sim->nodes[node].list_at;
    return versions;
}

/* Asks for the origin as a node does; returns the finding. */
static enum ch_stream_finding
look_up(const struct sim *sim, unsigned node, uint64_t key,
        struct ch_stream_origin *origin)
{
    struct ch_stream_lookup lookup;
    struct ch_rank_node live[MAX_NODES];
    unsigned indices[MAX_NODES];
    unsigned asked[CH_STREAM_ASKED];
    const struct ch_stream_versions own = get_versions(sim, node);
    const struct ch_stream_record *record =
        ch_stream_records_find(sim->nodes[node].records, key, sim->now);
    ch_stream_lookup_init(&lookup, ch_hash_string("s"), &own, sim->count,
                          list_live(sim, node, live, indices));
    if (record != NULL) {
        lookup.has_record = true;
        lookup.record = *record;
    }
    size_t count = list_holders(sim, node, key, CH_STREAM_ASKED, asked);
    lookup.asked = (unsigned)count;
    for (size_t i = 0; i < count; i++) {
        if (!is_reachable(sim, node) || !is_reachable(sim, asked[i])) {
            lookup.failed++;
            continue;
        }
        const struct ch_stream_versions versions = get_versions(sim, asked[i]);
        ch_stream_lookup_add_reply(
            &lookup,
            ch_stream_records_find(sim->nodes[asked[i]].records, key,
                                   sim->now),
            &versions);
    }
    return ch_stream_lookup_decide(&lookup, (int64_t)2 * SECOND, origin);
}

/* A caller takes its stream up at a random running node; streams of which the
 * version is gone are given up. */
static void
take_up(struct sim *sim, struct sim_stream *stream)
{
    unsigned node =
        (unsigned)g_rand_int_range(sim->random, 0, (gint32)sim->count);
    struct ch_stream_origin origin = {0};
    if (!sim->nodes[node].running ||
        sim->nodes[node].frozen_until > sim->now) {
        return; /* the caller tries another node in the next step */
    }
    bool serves = (sim->versions & (1U << stream->version)) != 0;
    bool in_touch = !sim->nodes[node].cut;
    enum ch_stream_finding finding = look_up(sim, node, stream->key, &origin);
    sim->taken_up += serves && in_touch;
    if (ch_stream_finding_is_origin(finding)) {
        sim->joined += origin.version != version_id(stream->version);
        sim->went_on += serves && in_touch &&
                        origin.version == version_id(stream->version);
        stream->node = node;
    }
    else {
        stream->steps_left = 0;
    }
}

static void
step_streams(struct sim *sim)
{
    for (size_t i = sim->stream_count; i > 0; i--) {
        struct sim_stream *stream = &sim->streams[i - 1];
        bool broken = !sim->nodes[stream->node].running ||
                      sim->nodes[stream->node].frozen_until > sim->now ||
                      g_rand_int_range(sim->random, 0, 200) == 0;
        if (broken) {
            take_up(sim, stream);
        }
        if (stream->steps_left == 0 || --stream->steps_left == 0) {
            *stream = sim->streams[--sim->stream_count];
        }
    }
}

/* A second version comes, or one of several goes. */
static void
change_versions(struct sim *sim)
{
    unsigned version =
        (unsigned)g_rand_int_range(sim->random, 0, MAX_VERSIONS);
    bool several = (sim->versions & (sim->versions - 1)) != 0;
    if (!several) {
        sim->versions |= 1U << version;
    }
    else if (sim->versions != 1U << version) {
        sim->versions &= ~(1U << version);
    }
}

/* Most nodes are killed at once, so that most records are lost. */
static void
kill_many(struct sim *sim)
{
    for (unsigned i = 0; i < sim->count; i++) {
        if (g_rand_int_range(sim->random, 0, 5) > 0) {
            sim->nodes[i].running = false;
            sim->nodes[i].changed_at = sim->now;
        }
    }
}

/* Nodes are killed, start, are cut off and freeze; versions come and go. */
static void
step_faults(struct sim *sim)
{
    unsigned node =
        (unsigned)g_rand_int_range(sim->random, 0, (gint32)sim->count);
    struct sim_node *self = &sim->nodes[node];
    switch (g_rand_int_range(sim->random, 0, 60)) {
    case 0:
    case 1:
        if (self->running) {
            self->running = false;
            self->changed_at = sim->now;
        }
        break;
    case 2:
        self->cut = !self->cut;
        self->changed_at = sim->now;
        break;
    case 3:
        self->frozen_until =
            sim->now + (int64_t)g_rand_int_range(sim->random, 1, 30) * STEP_US;
        break;
    case 4:
        if (g_rand_int_range(sim->random, 0, 4) == 0) {
            change_versions(sim);
        }
        break;
    case 5:
        if (g_rand_int_range(sim->random, 0, 4) == 0) {
            kill_many(sim);
        }
        break;
    default:
        break;
    }
    for (unsigned i = 0; i < sim->count; i++) {
        if (!sim->nodes[i].running &&
            g_rand_int_range(sim->random, 0, 10) == 0) {
            begin_node(sim, i);
        }
    }
}

static void
run_fleet(size_t count, guint32 seed)
{
    struct sim *sim = g_new0(struct sim, 1);
    sim->random = g_rand_new_with_seed(seed);
    sim->count = count;
    sim->versions = 1;
    sim->now = NOW;
    make_nodes(sim->ranks, count);
    for (unsigned i = 0; i < count; i++) {
        begin_node(sim, i);
        ch_version_history_set_new_fleet(sim->nodes[i].history);
    }
    for (unsigned step = 0; step < STEPS; step++) {
        sim->now += STEP_US;
        step_faults(sim);
        update_lists(sim);
        for (unsigned i = 0; i < 8; i++) {
            unsigned node =
                (unsigned)g_rand_int_range(sim->random, 0, (gint32)sim->count);
            if (sim->nodes[node].running &&
                sim->nodes[node].frozen_until <= sim->now) {
                begin_stream(sim, node);
            }
        }
        step_streams(sim);
    }
    g_test_message("%zu nodes, seed %u: %u of %u went on, %u joined", count,
                   seed, sim->went_on, sim->taken_up, sim->joined);
    g_assert_cmpuint(sim->joined, ==, 0);
    g_assert_cmpuint(sim->taken_up, >=, 12);
    g_assert_cmpfloat((double)sim->went_on / sim->taken_up, >=, 0.5);
    for (unsigned i = 0; i < count; i++) {
        ch_stream_records_free(sim->nodes[i].records);
        ch_version_history_free(sim->nodes[i].history);
    }
    g_rand_free(sim->random);
    g_free(sim);
}

/* Guards against streams that go on at another version, and against most
 * streams refused, in fleets whose nodes are killed, cut off, frozen and
 * started while versions come and go. */
static void
test_fleet(void)
{
    static const size_t sizes[] = {7, 75, MAX_NODES};
    const char *seeds = g_getenv("SEEDS");
    guint32 count =
        seeds == NULL ? 10 : (guint32)g_ascii_strtoull(seeds, NULL, 10);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (guint32 seed = 1; seed <= count; seed++) {
            run_fleet(sizes[i], seed);
        }
    }
}

static const struct {
    const char *name;
    int64_t age; /* of the node's knowledge */
    unsigned versions;
    bool new_fleet;
    bool may_be_mixed;
} mixed_cases[] = {
    {"first start of the system", 0, 1, true, false},
    {"restart", 0, 1, false, true},
    {"one version for long", CH_STREAM_LIFE_US, 1, false, false},
    {"two versions", CH_STREAM_LIFE_US, 2, true, true},
};

/* Guards against calls to the store for origins that can't be there. */
static void
test_may_be_mixed(void)
{
    static const char *const names[] = {"v1", "v2"};
    for (size_t i = 0; i < G_N_ELEMENTS(mixed_cases); i++) {
        struct ch_version_history *history = ch_version_history_new(NOW);
        struct ch_stream_origin listed[2] = {{0}};
        int64_t now = NOW + mixed_cases[i].age;
        for (size_t j = 0; j < G_N_ELEMENTS(names); j++) {
            listed[j] = (struct ch_stream_origin){ch_hash_string("s"),
                                                  ch_version_get_id(names[j])};
        }
        if (mixed_cases[i].new_fleet) {
            ch_version_history_set_new_fleet(history);
        }
        ch_version_history_update(history, listed, mixed_cases[i].versions,
                                  now);
        g_test_message("%s", mixed_cases[i].name);
        g_assert_cmpint(ch_version_history_may_be_mixed(history, now), ==,
                        mixed_cases[i].may_be_mixed);
        ch_version_history_free(history);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/resume/records", test_records);
    g_test_add_func("/resume/bound", test_bound);
    g_test_add_func("/resume/keys", test_keys);
    g_test_add_func("/resume/history", test_history);
    g_test_add_func("/resume/may-be-mixed", test_may_be_mixed);
    g_test_add_func("/resume/lookup", test_lookup);
    g_test_add_func("/resume/renewed-lookup", test_renewed_lookup);
    g_test_add_func("/resume/holders", test_holders);
    g_test_add_func("/resume/fleet", test_fleet);
    return g_test_run();
}
