/* The writer and reader of streams' origins against a store that fails. */

#include "origins/origins.h"

#include <pthread.h>
#include <string.h>

enum {
    MAX_WAIT_MS = 10 * 1000,
    /* Some periods of writes. */
    WRITTEN_US = 600 * 1000,
    /* The same after a call that failed. */
    REWRITTEN_US = 1600 * 1000,
    AWAY_US = 2 * 1000 * 1000,
    /* One a second, or one write and one read in each period of writes. */
    MAX_CALLS_AWAY = 22,
    REMOVED_S = 250,
    OLD_PROCESS = 5,
    OWN_PROCESS = 6,
};

/* A store with one item, which fails its first calls of each kind. */
struct fake_store {
    struct ch_kv base;
    pthread_mutex_t lock;
    GByteArray *item; /* NULL: there is none */
    char *key;
    uint64_t revision;
    /* What the first calls end with; CH_OK: as they should. */
    enum ch_code write_code;
    enum ch_code range_code;
    bool write_is_done; /* though it failed */
    bool is_away;       /* all reads and writes fail so: */
    enum ch_code away_code;
    unsigned reads;
    unsigned writes;
};

static enum ch_code
take_failure(enum ch_code *code)
{
    enum ch_code failure = *code;
    *code = CH_OK;
    return failure;
}

static void
fake_get(struct ch_kv *kv, const char *key,
         void (*done)(void *data, const struct ch_kv_result *result),
         void *data)
{
    struct fake_store *store = (struct fake_store *)kv;
    (void)key;
    pthread_mutex_lock(&store->lock);
    store->reads++;
    const struct ch_kv_result result = {
        .code = store->is_away        ? store->away_code
                : store->item == NULL ? CH_KV_MISSING
                                      : CH_OK,
        .revision = store->revision,
    };
    pthread_mutex_unlock(&store->lock);
    done(data, &result);
}

static void
fake_put(struct ch_kv *kv, const char *key, const void *value, size_t length,
         uint64_t revision,
         void (*done)(void *data, const struct ch_kv_result *result),
         void *data)
{
    struct fake_store *store = (struct fake_store *)kv;
    struct ch_kv_result result = {.code = CH_OK};
    pthread_mutex_lock(&store->lock);
    uint64_t present = store->item == NULL ? 0 : store->revision;
    enum ch_code failure =
        store->is_away ? store->away_code : take_failure(&store->write_code);
    store->writes++;
    if (revision != present) {
        result.code = CH_KV_CONFLICT;
    }
    else if (failure == CH_OK || store->write_is_done) {
        if (store->item != NULL) {
            g_byte_array_unref(store->item);
        }
        store->item = g_byte_array_new();
        g_byte_array_append(store->item, value, (guint)length);
        g_free(store->key);
        store->key = g_strdup(key);
        result.revision = ++store->revision;
    }
    result.code = failure == CH_OK ? result.code : failure;
    pthread_mutex_unlock(&store->lock);
    done(data, &result);
}

/* Loses the item. Lock held. */
static void
drop_item(struct fake_store *store)
{
    if (store->item != NULL) {
        g_byte_array_unref(store->item);
        store->item = NULL;
    }
}

static void
lose_item(struct fake_store *store)
{
    pthread_mutex_lock(&store->lock);
    drop_item(store);
    pthread_mutex_unlock(&store->lock);
}

static void
fake_remove(struct ch_kv *kv, const char *key, uint64_t revision,
            void (*done)(void *data, const struct ch_kv_result *result),
            void *data)
{
    struct fake_store *store = (struct fake_store *)kv;
    struct ch_kv_result result = {.code = CH_KV_CONFLICT};
    pthread_mutex_lock(&store->lock);
    if (store->item != NULL && revision == store->revision &&
        strcmp(key, store->key) == 0) {
        drop_item(store);
        result.code = CH_OK;
    }
    pthread_mutex_unlock(&store->lock);
    done(data, &result);
}

static void
fake_range(struct ch_kv *kv, const char *prefix,
           void (*done)(void *data, const struct ch_kv_range *range),
           void *data)
{
    struct fake_store *store = (struct fake_store *)kv;
    struct ch_kv_entry entry = {0};
    pthread_mutex_lock(&store->lock);
    struct ch_kv_range range = {.code = take_failure(&store->range_code),
                                .entries = &entry};
    if (store->item != NULL && g_str_has_prefix(store->key, prefix)) {
        entry = (struct ch_kv_entry){.key = store->key,
                                     .value = (char *)store->item->data,
                                     .length = store->item->len,
                                     .revision = store->revision};
        range.count = 1;
    }
    done(data, &range); /* copies the entries */
    pthread_mutex_unlock(&store->lock);
}

static struct ch_kv_returns
fake_get_returns(struct ch_kv *kv)
{
    (void)kv;
    return (struct ch_kv_returns){0};
}

/* ---- the node ---- */

struct fixture {
    struct ch_client client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct fake_store store;
    struct ch_origins *origins;
    uint64_t live;    /* process that is; 0: none */
    gint taken;       /* atomic */
    uint64_t version; /* of the last taken stream */
};

static void
take(void *data, const struct ch_stream_record *records, size_t count)
{
    struct fixture *fixture = data;
    fixture->version = records[count - 1].origin.version;
    (void)g_atomic_int_add(&fixture->taken, (gint)count);
}

static bool
is_live(void *data, const char *node, uint64_t incarnation)
{
    const struct fixture *fixture = data;
    g_assert_cmpstr(node, ==, "n1");
    return incarnation == fixture->live;
}

static size_t
get_node_count(void *data)
{
    (void)data;
    return 7;
}

static void
discard_log_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
fixture_init(struct fixture *fixture)
{
    static const struct ch_kv_ops ops = {
        .get = fake_get,
        .put = fake_put,
        .remove = fake_remove,
        .range = fake_range,
        .get_returns = fake_get_returns,
    };
    *fixture = (struct fixture){.store = {.base = {&ops}}};
    ch_client_init(&fixture->client, "n1");
    fixture->client.log_write = discard_log_line;
    pthread_mutex_init(&fixture->store.lock, NULL);
    fixture->pool = ch_pool_new(2);
    fixture->timers = ch_timers_new(fixture->pool);
}

static void
start(struct fixture *fixture, uint64_t incarnation)
{
    const struct ch_origins_node node = {fixture, take, is_live,
                                         get_node_count};
    fixture->origins =
        ch_origins_new(&fixture->client, fixture->pool, fixture->timers,
                       &fixture->store.base, &node, "n1", incarnation);
    ch_origins_start(fixture->origins);
}

static void
fixture_clear(struct fixture *fixture)
{
    ch_origins_stop(fixture->origins);
    ch_timers_stop(fixture->timers);
    ch_pool_free(fixture->pool);
    ch_timers_free(fixture->timers);
    ch_origins_free(fixture->origins);
    if (fixture->store.item != NULL) {
        g_byte_array_unref(fixture->store.item);
    }
    g_free(fixture->store.key);
    pthread_mutex_destroy(&fixture->store.lock);
}

static bool
has_item(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->store.lock);
    bool found = fixture->store.item != NULL;
    pthread_mutex_unlock(&fixture->store.lock);
    return found;
}

static bool
has_taken(struct fixture *fixture)
{
    return g_atomic_int_get(&fixture->taken) > 0;
}

static void
wait_until(struct fixture *fixture, bool (*is_done)(struct fixture *fixture))
{
    for (unsigned i = 0; i < MAX_WAIT_MS && !is_done(fixture); i++) {
        g_usleep(1000);
    }
    g_assert_true(is_done(fixture));
}

static struct ch_stream_record
make_record(const struct fixture *fixture, uint64_t version, uint32_t sequence)
{
    return (struct ch_stream_record){
        .key = 77,
        .origin = {1, version},
        .writer = 2,
        .sequence = sequence,
        .expires_at = ch_client_get_time(&fixture->client) + CH_STREAM_LIFE_US,
    };
}

static const struct failure_case {
    const char *name;
    enum ch_code write_code;
    enum ch_code range_code;
    bool write_is_done;
    bool item_is_lost; /* between two writes */
} failure_cases[] = {
    {"none", CH_OK, CH_OK, false, false},
    {"store-away-at-the-write", CH_KV_UNREACHABLE, CH_OK, false, false},
    {"item-lost", CH_OK, CH_OK, false, true},
    {"write-lost", CH_KV_AMBIGUOUS, CH_OK, false, false},
    {"write-done-and-response-lost", CH_KV_AMBIGUOUS, CH_OK, true, false},
    {"write-refused", CH_KV_CONFLICT, CH_OK, false, false},
    {"store-away-at-the-read", CH_OK, CH_KV_UNREACHABLE, false, false},
};

/* Guards against streams that can't be taken up after their node was killed,
 * as the store failed at one moment of their writing or reading. */
static void
test_failure(gconstpointer data)
{
    const struct failure_case *row = data;
    struct fixture fixture;
    struct ch_stream_origin stored;
    fixture_init(&fixture);
    fixture.store.write_code = row->write_code;
    fixture.store.range_code = row->range_code;
    fixture.store.write_is_done = row->write_is_done;
    start(&fixture, OLD_PROCESS);
    struct ch_stream_record record = make_record(&fixture, 4, 1);
    g_assert_true(ch_origins_add(fixture.origins, &record, &stored));
    ch_origins_set_mixed(fixture.origins, true);
    wait_until(&fixture, has_item);
    if (row->item_is_lost) {
        lose_item(&fixture.store);
    }
    record.key = 78;
    g_assert_true(ch_origins_add(fixture.origins, &record, &stored));
    struct ch_origins *old = fixture.origins;
    g_usleep(REWRITTEN_US);
    ch_origins_stop(old);
    start(&fixture, OWN_PROCESS);
    ch_origins_read(fixture.origins,
                    ch_stream_get_shard(ch_hash_string("n1")));
    wait_until(&fixture, has_taken);
    g_assert_cmpint(fixture.taken, ==, 2);
    g_assert_cmpuint(fixture.version, ==, 4);
    fixture_clear(&fixture);
    ch_origins_free(old);
}

/* Guards against a stored origin that another call of the same request has
 * made wrong. */
static void
test_differs(void)
{
    struct fixture fixture;
    struct ch_stream_origin stored = {0};
    fixture_init(&fixture);
    start(&fixture, OWN_PROCESS);
    const struct ch_stream_record first = make_record(&fixture, 4, 1);
    const struct ch_stream_record second = make_record(&fixture, 5, 2);
    const struct ch_stream_record third = make_record(&fixture, 4, 3);
    g_assert_true(ch_origins_add(fixture.origins, &first, &stored));
    g_assert_true(ch_origins_add(fixture.origins, &second, &stored));
    ch_origins_set_mixed(fixture.origins, true);
    wait_until(&fixture, has_item);
    g_assert_false(ch_origins_add(fixture.origins, &third, &stored));
    g_assert_cmpuint(stored.version, ==, 5);
    g_assert_true(ch_origins_add(fixture.origins, &second, &stored));
    fixture_clear(&fixture);
}

/* Time that has passed beside the monotonic clock's. */
static gint passed_s; /* atomic */

static int64_t
get_shifted_time(void *data)
{
    (void)data;
    return g_get_monotonic_time() +
           (int64_t)g_atomic_int_get(&passed_s) * G_USEC_PER_SEC;
}

static const struct removal_case {
    const char *what;
    bool is_rewritten; /* after it was read */
    bool is_live;      /* its process */
    bool is_removed;
} removal_cases[] = {
    {"its process has ended", false, false, true},
    {"it was written since", true, false, false},
    {"its process lives", false, true, false},
};

static bool
has_no_item(struct fixture *fixture)
{
    return !has_item(fixture);
}

/* Guards against items that stay at the store for good, and against the
 * removal of one that may be needed. */
static void
test_removal(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(removal_cases); i++) {
        const struct removal_case *row = &removal_cases[i];
        struct fixture fixture;
        struct ch_stream_origin stored;
        fixture_init(&fixture);
        fixture.client.now = get_shifted_time;
        start(&fixture, OLD_PROCESS);
        const struct ch_stream_record record = make_record(&fixture, 4, 1);
        g_assert_true(ch_origins_add(fixture.origins, &record, &stored));
        ch_origins_set_mixed(fixture.origins, true);
        wait_until(&fixture, has_item);
        struct ch_origins *old = fixture.origins;
        ch_origins_stop(old);
        fixture.live = row->is_live ? OLD_PROCESS : 0;
        start(&fixture, OWN_PROCESS);
        ch_origins_read(fixture.origins,
                        ch_stream_get_shard(ch_hash_string("n1")));
        g_usleep(WRITTEN_US);
        pthread_mutex_lock(&fixture.store.lock);
        fixture.store.revision += row->is_rewritten ? 1 : 0;
        pthread_mutex_unlock(&fixture.store.lock);
        g_test_message("%s", row->what);
        g_assert_true(has_item(&fixture));
        g_atomic_int_set(&passed_s, REMOVED_S);
        if (row->is_removed) {
            wait_until(&fixture, has_no_item);
        }
        else {
            g_usleep(WRITTEN_US);
            g_assert_true(has_item(&fixture));
        }
        g_atomic_int_set(&passed_s, 0);
        fixture_clear(&fixture);
        ch_origins_free(old);
    }
}

static const enum ch_code away_codes[] = {CH_KV_UNREACHABLE, CH_KV_CONFLICT,
                                          CH_KV_MISSING};

/* Guards against calls without a pause while the store is away or refuses
 * them, which would take its rate from others when it is back. */
static void
test_store_away(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(away_codes); i++) {
        struct fixture fixture;
        struct ch_stream_origin stored;
        fixture_init(&fixture);
        fixture.store.is_away = true;
        fixture.store.away_code = away_codes[i];
        start(&fixture, OWN_PROCESS);
        const struct ch_stream_record record = make_record(&fixture, 4, 1);
        g_assert_true(ch_origins_add(fixture.origins, &record, &stored));
        ch_origins_set_mixed(fixture.origins, true);
        g_usleep(AWAY_US);
        g_test_message("%u reads, %u writes", fixture.store.reads,
                       fixture.store.writes);
        g_assert_cmpuint(fixture.store.reads + fixture.store.writes, <=,
                         MAX_CALLS_AWAY);
        fixture_clear(&fixture);
    }
}

/* Guards against writes while one version serves, and against reading what a
 * live process holds itself. */
static void
test_needless(void)
{
    struct fixture fixture;
    struct ch_stream_origin stored;
    fixture_init(&fixture);
    fixture.live = OWN_PROCESS;
    start(&fixture, OWN_PROCESS);
    const struct ch_stream_record record = make_record(&fixture, 4, 1);
    g_assert_true(ch_origins_add(fixture.origins, &record, &stored));
    g_usleep(WRITTEN_US);
    g_assert_cmpuint(fixture.store.writes, ==, 0);
    ch_origins_set_mixed(fixture.origins, true);
    wait_until(&fixture, has_item);
    ch_origins_read(fixture.origins,
                    ch_stream_get_shard(ch_hash_string("n1")));
    g_usleep(WRITTEN_US);
    g_assert_cmpint(g_atomic_int_get(&fixture.taken), ==, 0);
    g_assert_cmpuint(fixture.store.writes, ==, 1);
    fixture_clear(&fixture);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(failure_cases); i++) {
        g_autofree char *path =
            g_strconcat("/stored-origins/", failure_cases[i].name, NULL);
        g_test_add_data_func(path, &failure_cases[i], test_failure);
    }
    g_test_add_func("/stored-origins/differs", test_differs);
    g_test_add_func("/stored-origins/needless", test_needless);
    g_test_add_func("/stored-origins/removal", test_removal);
    g_test_add_func("/stored-origins/store-away", test_store_away);
    return g_test_run();
}
