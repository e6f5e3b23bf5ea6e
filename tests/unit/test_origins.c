/* Streams' origins at the key-value store: items, keys and when they are
 * written. */

#include "origins/origins.h"

#include <string.h>

enum {
    NOW_US = 1000 * 1000,
};

static struct ch_stream_record
make_record(uint64_t key, uint64_t service, uint64_t version)
{
    return (struct ch_stream_record){
        .key = key, .origin = {service, version}, .expires_at = NOW_US};
}

static const struct item_case {
    const char *name;
    size_t streams;
    unsigned versions; /* the streams have them in turn */
    size_t stored;
} item_cases[] = {
    {"none", 0, 1, 0},
    {"one", 1, 1, 1},
    {"two versions", 270, 2, 270},
    {"as many versions as an index can name", 256, 256, 256},
    {"more versions", 300, 300, 256},
    {"as many streams as an item takes", CH_ORIGINS_MAX_STREAMS, 3,
     CH_ORIGINS_MAX_STREAMS},
    {"more streams", CH_ORIGINS_MAX_STREAMS + 5, 3, CH_ORIGINS_MAX_STREAMS},
};

/* Guards against a stream whose origin comes back as another one. */
static void
test_items(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(item_cases); i++) {
        const struct item_case *row = &item_cases[i];
        GArray *in =
            g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
        GArray *out =
            g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
        for (size_t j = 0; j < row->streams; j++) {
            const struct ch_stream_record record =
                make_record(1000 + j, 7, j % row->versions);
            g_array_append_val(in, record);
        }
        GByteArray *item = ch_origins_item_encode(
            (const struct ch_stream_record *)(void *)in->data, in->len);
        g_test_message("%s: %u bytes", row->name, item->len);
        g_assert_true(
            ch_origins_item_decode(item->data, item->len, 9, NOW_US, out));
        g_assert_cmpuint(out->len, ==, row->stored);
        for (guint j = 0; j < out->len; j++) {
            const struct ch_stream_record *record =
                &g_array_index(out, struct ch_stream_record, j);
            g_assert_cmpuint(record->key, ==, 1000 + j);
            g_assert_cmpuint(record->origin.service, ==, 7);
            g_assert_cmpuint(record->origin.version, ==, j % row->versions);
            g_assert_cmpuint(record->writer, ==, 9);
            g_assert_cmpint(record->expires_at, ==,
                            NOW_US + CH_STREAM_LIFE_US);
        }
        g_byte_array_unref(item);
        g_array_free(in, TRUE);
        g_array_free(out, TRUE);
    }
}

/* Guards against bytes of another writer that are taken for origins: all
 * prefixes of an item, and each of its bytes changed. */
static void
test_malformed_items(void)
{
    const struct ch_stream_record records[] = {make_record(1, 7, 1),
                                               make_record(2, 7, 2)};
    GByteArray *item = ch_origins_item_encode(records, G_N_ELEMENTS(records));
    GArray *out = g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
    for (guint length = 1; length < item->len; length++) {
        g_array_set_size(out, 0);
        bool good = ch_origins_item_decode(item->data, length, 0, NOW_US, out);
        g_assert_cmpuint(out->len, <=, good ? 2 : 0);
    }
    for (guint i = 0; i < item->len; i++) {
        for (unsigned bit = 0; bit < 8; bit++) {
            g_array_set_size(out, 0);
            item->data[i] ^= (guint8)(1U << bit);
            bool good =
                ch_origins_item_decode(item->data, item->len, 0, NOW_US, out);
            g_assert_cmpuint(out->len, <=, good ? 2 : 0);
            item->data[i] ^= (guint8)(1U << bit);
        }
    }
    g_array_free(out, TRUE);
    g_byte_array_unref(item);
}

static const struct {
    const char *key;
    const char *node; /* NULL: malformed */
    uint64_t incarnation;
} key_cases[] = {
    {"streams/0a/entry-1/5f", "entry-1", 0x5f},
    {"streams/0a/entry-1/0", NULL, 0},
    {"streams/0a/entry-1", NULL, 0},
    {"streams/0a//5f", NULL, 0},
    {"streams/0a/entry-1/5f/1", NULL, 0},
    {"streams/0a/entry-1/5g", NULL, 0},
    {"servers/0a/entry-1/5f", NULL, 0},
    {"", NULL, 0},
};

static void
test_keys(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(key_cases); i++) {
        uint64_t incarnation = 0;
        g_autofree char *node =
            ch_origins_parse_key(key_cases[i].key, &incarnation);
        g_test_message("'%s'", key_cases[i].key);
        g_assert_cmpstr(node, ==, key_cases[i].node);
        g_assert_cmpuint(incarnation, ==, key_cases[i].incarnation);
    }
    uint64_t incarnation = 0;
    g_autofree char *key = ch_origins_make_key("entry-1", 0x1234);
    g_autofree char *node = ch_origins_parse_key(key, &incarnation);
    g_autofree char *prefix =
        ch_origins_make_prefix(ch_stream_get_shard(ch_hash_string("entry-1")));
    g_assert_cmpstr(node, ==, "entry-1");
    g_assert_cmpuint(incarnation, ==, 0x1234);
    g_assert_true(g_str_has_prefix(key, prefix));
}

static const struct {
    const char *name;
    struct ch_origins_schedule schedule;
    size_t nodes;
    int64_t delay;
} delay_cases[] = {
    {"one version", {false, true, 0}, 7, -1},
    {"nothing new", {true, false, 0}, 7, -1},
    {"first write", {true, true, 0}, 7, 0},
    {"just written", {true, true, NOW_US}, 7, 200000},
    {"written long ago", {true, true, 1}, 7, 0},
    {"large fleet", {true, true, NOW_US}, 320, 1600000},
};

static void
test_delays(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(delay_cases); i++) {
        g_test_message("%s", delay_cases[i].name);
        g_assert_cmpint(ch_origins_schedule_get_delay(&delay_cases[i].schedule,
                                                      delay_cases[i].nodes,
                                                      NOW_US),
                        ==, delay_cases[i].delay);
    }
}

enum {
    /* Of one node while versions mix: 10.9 streams a second, each held until 5
     * s after a deadline of 15 s. */
    STREAMS_HELD = 218,
    /* For all that a node tells. */
    MAX_NODE_BYTES_PER_S = 28 * 1024,
    /* Of all nodes: half of what a platform of 7 nodes takes. */
    MAX_WRITES_PER_S = 200,
};

/* Guards against writes that take the store's rate from others, or more than a
 * node's share of its link. */
static void
test_cost(void)
{
    static const size_t sizes[] = {7, 75, 300};
    struct ch_stream_record records[STREAMS_HELD];
    for (size_t i = 0; i < STREAMS_HELD; i++) {
        records[i] = make_record(ch_hash_string("stream") + i, 7, i % 2);
    }
    GByteArray *item = ch_origins_item_encode(records, STREAMS_HELD);
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double writes =
            (double)G_USEC_PER_SEC / (double)ch_origins_get_period(sizes[i]);
        double bytes = writes * item->len * 4 / 3; /* base64 */
        g_print("figure: %zu nodes: %u bytes an item, %.1f writes a second of "
                "a node, %.0f of all, %.0f bytes a second of a node\n",
                sizes[i], item->len, writes, writes * (double)sizes[i], bytes);
        g_assert_cmpfloat(bytes, <, MAX_NODE_BYTES_PER_S);
        g_assert_cmpfloat(writes * (double)sizes[i], <=, MAX_WRITES_PER_S);
    }
    g_byte_array_unref(item);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/origins/items", test_items);
    g_test_add_func("/origins/malformed-items", test_malformed_items);
    g_test_add_func("/origins/keys", test_keys);
    g_test_add_func("/origins/delays", test_delays);
    g_test_add_func("/origins/cost", test_cost);
    return g_test_run();
}
