/* At-most-once records and ledgers on real threads, with a fake key-value
 * store and a fake engine: replies are lost, and the key-value store is
 * unavailable. */

#include "node/node.h"
#include "threaded/test_node.h"

#include <pthread.h>
#include <string.h>

/* ---- a key-value store in memory ---- */

enum fault {
    FAULT_NONE,
    FAULT_UNAVAILABLE,
    FAULT_LOSE_REPLIES, /* every third write is executed without a reply */
};

struct fake_kv {
    struct ch_kv kv;
    pthread_mutex_t lock;
    GTree *values; /* key to struct ch_kv_entry */
    uint64_t revision;
    enum fault fault;
    unsigned writes;
};

static void
entry_free(void *data)
{
    struct ch_kv_entry *entry = data;
    g_free(entry->key);
    g_free(entry->value);
    g_free(entry);
}

static int
compare_keys(const void *a, const void *b, void *unused)
{
    (void)unused;
    return strcmp(a, b);
}

static void
fake_get(struct ch_kv *kv, const char *key,
         void (*done)(void *data, const struct ch_kv_result *answer),
         void *data)
{
    struct fake_kv *fake = (struct fake_kv *)kv;
    struct ch_kv_result answer = {.code = CH_KV_UNREACHABLE};
    pthread_mutex_lock(&fake->lock);
    if (fake->fault != FAULT_UNAVAILABLE) {
        const struct ch_kv_entry *entry = g_tree_lookup(fake->values, key);
        answer.code = entry == NULL ? CH_KV_MISSING : CH_OK;
        if (entry != NULL) {
            answer.value = entry->value;
            answer.length = entry->length;
            answer.revision = entry->revision;
        }
        /* done() copies the value at once, so it may run with the lock
         * held. */
        done(data, &answer);
        pthread_mutex_unlock(&fake->lock);
        return;
    }
    pthread_mutex_unlock(&fake->lock);
    done(data, &answer);
}

/* Writes if the key is at the revision. Lock held. */
static enum ch_code
compare_and_swap(struct fake_kv *fake, const char *key, const void *value,
                 size_t length, uint64_t revision)
{
    const struct ch_kv_entry *entry = g_tree_lookup(fake->values, key);
    if ((entry == NULL ? 0 : entry->revision) != revision) {
        return CH_KV_CONFLICT;
    }
    struct ch_kv_entry *next = g_new0(struct ch_kv_entry, 1);
    next->key = g_strdup(key);
    next->value = g_memdup2(value, length);
    next->length = length;
    next->revision = ++fake->revision;
    g_tree_replace(fake->values, next->key, next);
    /* cppcheck-suppress memleak ; the tree owns it now */
    return CH_OK;
}

static void
fake_put(struct ch_kv *kv, const char *key, const void *value, size_t length,
         uint64_t revision,
         void (*done)(void *data, const struct ch_kv_result *answer),
         void *data)
{
    struct fake_kv *fake = (struct fake_kv *)kv;
    struct ch_kv_result answer = {.code = CH_KV_UNREACHABLE};
    pthread_mutex_lock(&fake->lock);
    if (fake->fault != FAULT_UNAVAILABLE) {
        answer.code = compare_and_swap(fake, key, value, length, revision);
        answer.revision = fake->revision;
        if (fake->fault == FAULT_LOSE_REPLIES && ++fake->writes % 3 == 0) {
            answer = (struct ch_kv_result){.code = CH_KV_AMBIGUOUS};
        }
    }
    pthread_mutex_unlock(&fake->lock);
    done(data, &answer);
}

struct listing {
    const char *prefix;
    GArray *entries;
};

static gboolean
append_listed(void *key, void *value, void *data)
{
    struct listing *listing = data;
    if (g_str_has_prefix(key, listing->prefix)) {
        g_array_append_vals(listing->entries, value, 1);
    }
    return FALSE;
}

static void
fake_list(struct ch_kv *kv, const char *prefix,
          void (*done)(void *data, enum ch_code code,
                       const struct ch_kv_entry *entries, size_t count),
          void *data)
{
    struct fake_kv *fake = (struct fake_kv *)kv;
    struct listing listing = {
        prefix, g_array_new(FALSE, FALSE, sizeof(struct ch_kv_entry))};
    pthread_mutex_lock(&fake->lock);
    bool unavailable = fake->fault == FAULT_UNAVAILABLE;
    g_tree_foreach(fake->values, append_listed, &listing);
    done(data, unavailable ? CH_KV_UNREACHABLE : CH_OK,
         (const struct ch_kv_entry *)(void *)listing.entries->data,
         unavailable ? 0 : listing.entries->len);
    pthread_mutex_unlock(&fake->lock);
    g_array_free(listing.entries, TRUE);
}

static const struct ch_kv_ops fake_ops = {
    .get = fake_get,
    .put = fake_put,
    .list = fake_list,
};

static void
fake_init(struct fake_kv *fake)
{
    *fake = (struct fake_kv){.kv.ops = &fake_ops};
    pthread_mutex_init(&fake->lock, NULL);
    fake->values = g_tree_new_full(compare_keys, NULL, NULL, entry_free);
}

static void
fake_set_fault(struct fake_kv *fake, enum fault fault)
{
    pthread_mutex_lock(&fake->lock);
    fake->fault = fault;
    pthread_mutex_unlock(&fake->lock);
}

static void
fake_clear(struct fake_kv *fake)
{
    g_tree_destroy(fake->values);
    pthread_mutex_destroy(&fake->lock);
}

/* ---- a node with only what the managers need ---- */

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

static void
test_node_init(struct test_node *node, const char *name, struct fake_kv *fake)
{
    *node = (struct test_node){0};
    test_node_set_up(&node->node, &node->client, &node->settings, name, 4);
    node->client.metrics = ch_metrics_new();
    node->settings.once_slots = 4;
    node->settings.once_batch_delay_ms = 1;
    node->settings.once_retention_s = 3600;
    node->node.kv = &fake->kv;
    node->node.timers = ch_timers_new(node->node.pool);
}

static void
test_node_clear(struct test_node *node)
{
    ch_peers_stop(node->node.peers);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_timers_free(node->node.timers);
    ch_peers_free(node->node.peers);
    ch_limit_manager_free(node->node.limits);
    ch_metrics_free(node->client.metrics);
}

/* ---- at-most-once records ---- */

enum {
    KEY_COUNT = 10,
    ATTEMPTS = 4, /* of each key, at the same time */
};

struct replies {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned count;
    unsigned states[KEY_COUNT][CH_ONCE_REFUSED + 1];
    uint64_t attempt[KEY_COUNT];
    unsigned stored;
};

struct attempt {
    struct replies *replies;
    unsigned key;
};

/* Counts a reply to the begin of an attempt. */
static void
handle_begin(void *data, const struct ch_once_result *answer)
{
    struct attempt *attempt = data;
    struct replies *replies = attempt->replies;
    pthread_mutex_lock(&replies->lock);
    replies->count++;
    replies->states[attempt->key][answer->state]++;
    if (answer->state == CH_ONCE_CREATED) {
        replies->attempt[attempt->key] = answer->attempt;
    }
    if (answer->response_stored) {
        g_assert_cmpmem(answer->body, answer->body_length, "cut", 3);
        g_assert_cmpint(answer->status, ==, 201);
        replies->stored++;
    }
    pthread_cond_signal(&replies->changed);
    pthread_mutex_unlock(&replies->lock);
    g_free(attempt);
}

static void
handle_stored(void *data, bool is_stored)
{
    struct replies *replies = data;
    pthread_mutex_lock(&replies->lock);
    g_assert_true(is_stored);
    replies->count++;
    pthread_cond_signal(&replies->changed);
    pthread_mutex_unlock(&replies->lock);
}

/* Waits for a number of replies since the last call. */
static void
wait_for_replies(struct replies *replies, unsigned count)
{
    pthread_mutex_lock(&replies->lock);
    while (replies->count < count) {
        pthread_cond_wait(&replies->changed, &replies->lock);
    }
    replies->count = 0;
    pthread_mutex_unlock(&replies->lock);
}

/* Begins ATTEMPTS attempts for every key; a new prefix makes new keys. */
static void
begin_attempts(struct ch_once_manager *once, struct replies *replies,
               const char *prefix)
{
    memset(replies->states, 0, sizeof(replies->states));
    for (unsigned i = 0; i < KEY_COUNT * ATTEMPTS; i++) {
        struct attempt *attempt = g_new(struct attempt, 1);
        *attempt = (struct attempt){replies, i % KEY_COUNT};
        g_autofree char *key = g_strdup_printf("%s%u", prefix, i % KEY_COUNT);
        ch_once_manager_begin(once, "c", key, 7, handle_begin, attempt);
    }
    wait_for_replies(replies, (unsigned)KEY_COUNT * ATTEMPTS);
}

/*
 * Guards against a request that runs twice. Callers send each key several
 * times at once, while replies of the key-value store are lost and while it is
 * unavailable. At most one attempt for a key may be told to run; a repeat
 * after its end gets the stored response.
 */
static void
test_once(void)
{
    struct fake_kv fake;
    struct test_node node;
    struct replies replies = {0};
    pthread_mutex_init(&replies.lock, NULL);
    pthread_cond_init(&replies.changed, NULL);
    fake_init(&fake);
    test_node_init(&node, "n1", &fake);
    struct ch_once_manager *once = ch_once_manager_new(&node.node);
    begin_attempts(once, &replies, "a");
    for (unsigned i = 0; i < KEY_COUNT; i++) {
        g_assert_cmpuint(replies.states[i][CH_ONCE_CREATED], ==, 1);
        g_assert_cmpuint(replies.states[i][CH_ONCE_IN_PROGRESS], ==,
                         ATTEMPTS - 1);
        g_autofree char *key = g_strdup_printf("a%u", i);
        ch_once_manager_finish(once, "c", key, replies.attempt[i], false, 201,
                               "text/plain", "cut", 3, handle_stored,
                               &replies);
    }
    wait_for_replies(&replies, KEY_COUNT);
    begin_attempts(once, &replies, "a");
    g_assert_cmpuint(replies.stored, ==, (guint64)KEY_COUNT * ATTEMPTS);
    fake_set_fault(&fake, FAULT_LOSE_REPLIES);
    begin_attempts(once, &replies, "b");
    for (unsigned i = 0; i < KEY_COUNT; i++) {
        g_assert_cmpuint(replies.states[i][CH_ONCE_CREATED], <=, 1);
    }
    fake_set_fault(&fake, FAULT_UNAVAILABLE);
    begin_attempts(once, &replies, "d");
    for (unsigned i = 0; i < KEY_COUNT; i++) {
        g_assert_cmpuint(replies.states[i][CH_ONCE_REFUSED], ==, ATTEMPTS);
    }
    ch_once_manager_stop(once);
    test_node_clear(&node);
    ch_once_manager_free(once);
    fake_clear(&fake);
}

/* ---- ledgers ---- */

/* An engine with memory for one of two models. */
struct fake_engine {
    struct ch_upstream upstream;
    pthread_mutex_t lock;
    bool resident[2];
    GPtrArray *done; /* ids */
    unsigned orders;
};

static void
fake_order(struct ch_upstream *upstream, const struct ch_order *order,
           void (*done)(void *data, enum ch_code code), void *data)
{
    struct fake_engine *engine = (struct fake_engine *)upstream;
    pthread_mutex_lock(&engine->lock);
    bool is_lost = ++engine->orders % 4 == 0;
    bool is_repeated = g_ptr_array_find_with_equal_func(
        engine->done, order->id, g_str_equal, NULL);
    if (!is_lost && !is_repeated) {
        engine->resident[order->model[1] - '1'] =
            order->action == CH_ORDER_LOAD;
        g_assert_false(engine->resident[0] && engine->resident[1]);
        g_ptr_array_add(engine->done, g_strdup(order->id));
    }
    pthread_mutex_unlock(&engine->lock);
    done(data, is_lost ? CH_UPSTREAM_STALLED : CH_OK);
}

/* Passes the engine's report to a node's ledger manager. */
static void
report_to(struct ch_ledger_manager *ledger, struct fake_engine *engine)
{
    static const char *const names[] = {"m1", "m2"};
    struct ch_resident_item resident[2];
    struct ch_engine_report report = {.boot_id = (char *)"b1",
                                      .resident_items = resident};
    pthread_mutex_lock(&engine->lock);
    for (int i = 0; i < 2; i++) {
        if (engine->resident[i]) {
            resident[report.resident_item_count++] =
                (struct ch_resident_item){(char *)names[i], 1};
        }
    }
    report.done_order_ids = (char **)engine->done->pdata;
    report.done_order_count = engine->done->len;
    GQuark name = g_quark_from_static_string("w01");
    ch_ledger_manager_handle_report(ledger, name, &report);
    pthread_mutex_unlock(&engine->lock);
}

struct home_node {
    pthread_mutex_t lock;
    int state[2]; /* 1 + enum ch_ledger_state; 0: absent */
    unsigned failed;
};

static void
ledger_changed(void *data, GQuark upstream, const struct ch_ledger *ledger)
{
    (void)upstream;
    struct home_node *home_node = data;
    g_assert_cmpuint(ch_ledger_get_committed_mb(ledger), <=, 1);
    const struct ch_ledger_entry *first = ch_ledger_find_entry(ledger, "m1");
    const struct ch_ledger_entry *second = ch_ledger_find_entry(ledger, "m2");
    pthread_mutex_lock(&home_node->lock);
    home_node->state[0] = first == NULL ? 0 : 1 + (int)first->state;
    home_node->state[1] = second == NULL ? 0 : 1 + (int)second->state;
    pthread_mutex_unlock(&home_node->lock);
}

static void
ledger_failed(void *data, GQuark upstream, GQuark item,
              enum ch_action_kind kind, enum ch_code code)
{
    (void)upstream;
    (void)item;
    (void)kind;
    g_assert_cmpint(code, !=, CH_OK);
    struct home_node *home_node = data;
    pthread_mutex_lock(&home_node->lock);
    home_node->failed++;
    pthread_mutex_unlock(&home_node->lock);
}

/* The state of an item as a home node knows it. */
static int
get_state(struct home_node *home_node, int item)
{
    pthread_mutex_lock(&home_node->lock);
    int state = home_node->state[item];
    pthread_mutex_unlock(&home_node->lock);
    return state;
}

/*
 * Guards against two models in an engine's memory for one. Two nodes both act
 * as the engine's home node and repeatedly load different models, while orders
 * and replies to writes are lost. The engine must never be asked to hold both
 * models. The number of rounds is limited; each round waits 5 ms, as a lost
 * order is sent again only after a second.
 */
static void
test_ledger(void)
{
    static const struct ch_upstream_ops engine_ops = {.send_order =
                                                          fake_order};
    static const struct ch_ledger_handlers handlers = {
        .changed = ledger_changed, .failed = ledger_failed};
    struct fake_kv fake;
    struct test_node node[2];
    struct home_node home_node[2] = {{.failed = 0}, {.failed = 0}};
    struct ch_ledger_manager *ledger[2];
    struct fake_engine engine = {.upstream.ops = &engine_ops};
    GQuark name = g_quark_from_static_string("w01");
    const GQuark items[] = {g_quark_from_static_string("m1"),
                            g_quark_from_static_string("m2")};
    unsigned resident_rounds[2] = {0, 0};
    pthread_mutex_init(&engine.lock, NULL);
    engine.done = g_ptr_array_new_with_free_func(g_free);
    fake_init(&fake);
    fake_set_fault(&fake, FAULT_LOSE_REPLIES);
    for (int i = 0; i < 2; i++) {
        pthread_mutex_init(&home_node[i].lock, NULL);
        test_node_init(&node[i], i == 0 ? "n1" : "n2", &fake);
        ledger[i] =
            ch_ledger_manager_new(&node[i].node, &handlers, &home_node[i]);
        ch_ledger_manager_open(ledger[i], name, &engine.upstream, 1);
    }
    for (int round = 0;
         round < 4000 && (resident_rounds[0] < 3 || resident_rounds[1] < 3);
         round++) {
        int i = round % 2;
        report_to(ledger[i], &engine);
        if (get_state(&home_node[i], i) == 1 + CH_LEDGER_RESIDENT) {
            resident_rounds[i]++;
            ch_ledger_manager_unload(ledger[i], name, items[i]);
        }
        else if (get_state(&home_node[i], i) == 0) {
            ch_ledger_manager_load(ledger[i], name, items[i], 1);
        }
        g_usleep(5000);
    }
    g_assert_cmpuint(resident_rounds[0], >=, 3);
    g_assert_cmpuint(resident_rounds[1], >=, 3);
    for (int i = 0; i < 2; i++) {
        ch_ledger_manager_stop(ledger[i]);
        test_node_clear(&node[i]);
        ch_ledger_manager_free(ledger[i]);
    }
    g_ptr_array_unref(engine.done);
    fake_clear(&fake);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/keepers/once", test_once);
    g_test_add_func("/keepers/ledger", test_ledger);
    return g_test_run();
}
