/* The keepers on their threads, with a service and an engine that are fakes at
 * the interfaces: answers are lost, the service is away. */

#include "node/node.h"

#include <pthread.h>
#include <string.h>

/* ---- a key-value service in memory ---- */

enum fault {
    FAULT_NONE,
    FAULT_AWAY,
    FAULT_LOSE, /* every third write is done and not answered */
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
         void (*done)(void *data, const struct ch_kv_answer *answer),
         void *data)
{
    struct fake_kv *fake = (struct fake_kv *)kv;
    struct ch_kv_answer answer = {.code = CH_KV_UNREACHABLE};
    pthread_mutex_lock(&fake->lock);
    if (fake->fault != FAULT_AWAY) {
        const struct ch_kv_entry *entry = g_tree_lookup(fake->values, key);
        answer.code = entry == NULL ? CH_KV_MISSING : CH_OK;
        if (entry != NULL) {
            answer.value = entry->value;
            answer.length = entry->length;
            answer.revision = entry->revision;
        }
        /* The callee copies at once: it may, with the lock held here. */
        done(data, &answer);
        pthread_mutex_unlock(&fake->lock);
        return;
    }
    pthread_mutex_unlock(&fake->lock);
    done(data, &answer);
}

/* Writes, if the condition holds.  Lock held. */
static enum ch_code
swap(struct fake_kv *fake, const char *key, const void *value, size_t length,
     uint64_t revision)
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
         void (*done)(void *data, const struct ch_kv_answer *answer),
         void *data)
{
    struct fake_kv *fake = (struct fake_kv *)kv;
    struct ch_kv_answer answer = {.code = CH_KV_UNREACHABLE};
    pthread_mutex_lock(&fake->lock);
    if (fake->fault != FAULT_AWAY) {
        answer.code = swap(fake, key, value, length, revision);
        answer.revision = fake->revision;
        if (fake->fault == FAULT_LOSE && ++fake->writes % 3 == 0) {
            answer = (struct ch_kv_answer){.code = CH_KV_AMBIGUOUS};
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
list_one(void *key, void *value, void *data)
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
    bool away = fake->fault == FAULT_AWAY;
    g_tree_foreach(fake->values, list_one, &listing);
    done(data, away ? CH_KV_UNREACHABLE : CH_OK,
         (const struct ch_kv_entry *)(void *)listing.entries->data,
         away ? 0 : listing.entries->len);
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
fake_fault(struct fake_kv *fake, enum fault fault)
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

/* ---- a node with no more than the keepers need ---- */

struct end {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

static void
no_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

static void
end_init(struct end *end, const char *name, struct fake_kv *fake)
{
    struct ch_error error = {0};
    *end = (struct end){0};
    ch_client_init(&end->client, name);
    end->client.log_write = no_log;
    end->client.metrics = ch_metrics_new();
    end->settings.name = (char *)name;
    end->settings.region = (char *)"r1";
    end->settings.data_centre = (char *)"a";
    end->settings.peers = (char *)"127.0.0.1:0";
    end->settings.peer_silent_ms = 600;
    end->settings.idle_connection_ms = 60000;
    end->settings.once_slots = 4;
    end->settings.once_gather_ms = 1;
    end->settings.once_keep_s = 3600;
    end->node.client = &end->client;
    end->node.settings = &end->settings;
    end->node.incarnation = 1;
    end->node.kv = &fake->kv;
    end->node.pool = ch_pool_new(4);
    end->node.timers = ch_timers_new(end->node.pool);
    end->node.peers = ch_peers_new(&end->node, &error);
    g_assert_nonnull(end->node.peers);
}

static void
end_clear(struct end *end)
{
    ch_peers_stop(end->node.peers);
    ch_timers_stop(end->node.timers);
    ch_pool_free(end->node.pool);
    ch_timers_free(end->node.timers);
    ch_peers_free(end->node.peers);
    ch_metrics_free(end->client.metrics);
}

/* ---- at most once ---- */

enum {
    KEYS = 10,
    TRIES = 4, /* of each key, at the same time */
};

struct tally {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned answers;
    unsigned states[KEYS][CH_ONCE_REFUSED + 1];
    uint64_t attempt[KEYS];
    unsigned kept;
};

struct
try {
    struct tally *tally;
    unsigned key;
};

/* Counts an answer. */
static void
begun(void *data, const struct ch_once_answer *answer)
{
    struct try *try = data;
    struct tally *tally = try->tally;
    pthread_mutex_lock(&tally->lock);
    tally->answers++;
    tally->states[try->key][answer->state]++;
    if (answer->state == CH_ONCE_CREATED) {
        tally->attempt[try->key] = answer->attempt;
    }
    if (answer->kept) {
        g_assert_cmpmem(answer->body, answer->length, "cut", 3);
        g_assert_cmpint(answer->status, ==, 201);
        tally->kept++;
    }
    pthread_cond_signal(&tally->changed);
    pthread_mutex_unlock(&tally->lock);
    g_free(try);
}

static void
kept(void *data, bool is_kept)
{
    struct tally *tally = data;
    pthread_mutex_lock(&tally->lock);
    g_assert_true(is_kept);
    tally->answers++;
    pthread_cond_signal(&tally->changed);
    pthread_mutex_unlock(&tally->lock);
}

/* Waits for a number of answers since the last time. */
static void
await(struct tally *tally, unsigned answers)
{
    pthread_mutex_lock(&tally->lock);
    while (tally->answers < answers) {
        pthread_cond_wait(&tally->changed, &tally->lock);
    }
    tally->answers = 0;
    pthread_mutex_unlock(&tally->lock);
}

/* Sends every key TRIES times; prefix makes the keys new ones. */
static void
begin_all(struct ch_once_keeper *once, struct tally *tally, const char *prefix)
{
    memset(tally->states, 0, sizeof(tally->states));
    for (unsigned i = 0; i < KEYS * TRIES; i++) {
        struct try *try = g_new(struct try, 1);
        *try = (struct try){tally, i % KEYS};
        g_autofree char *key = g_strdup_printf("%s%u", prefix, i % KEYS);
        ch_once_keeper_begin(once, "c", key, 7, begun, try);
    }
    await(tally, (unsigned)KEYS * TRIES);
}

/*
 * Callers send each key several times at once, while answers of the service
 * are lost and while it is away.  Whatever happens, one try of a key at most
 * is told to go on; a repeat after its end gets the answer that was kept.
 */
static void
test_once(void)
{
    struct fake_kv fake;
    struct end end;
    struct tally tally = {0};
    pthread_mutex_init(&tally.lock, NULL);
    pthread_cond_init(&tally.changed, NULL);
    fake_init(&fake);
    end_init(&end, "n1", &fake);
    struct ch_once_keeper *once = ch_once_keeper_new(&end.node);
    begin_all(once, &tally, "a");
    for (unsigned i = 0; i < KEYS; i++) {
        g_assert_cmpuint(tally.states[i][CH_ONCE_CREATED], ==, 1);
        g_assert_cmpuint(tally.states[i][CH_ONCE_IN_PROGRESS], ==, TRIES - 1);
        g_autofree char *key = g_strdup_printf("a%u", i);
        ch_once_keeper_finish(once, "c", key, tally.attempt[i], false, 201,
                              "text/plain", "cut", 3, kept, &tally);
    }
    await(&tally, KEYS);
    begin_all(once, &tally, "a");
    g_assert_cmpuint(tally.kept, ==, (guint64)KEYS * TRIES);
    fake_fault(&fake, FAULT_LOSE);
    begin_all(once, &tally, "b");
    for (unsigned i = 0; i < KEYS; i++) {
        g_assert_cmpuint(tally.states[i][CH_ONCE_CREATED], <=, 1);
    }
    fake_fault(&fake, FAULT_AWAY);
    begin_all(once, &tally, "d");
    for (unsigned i = 0; i < KEYS; i++) {
        g_assert_cmpuint(tally.states[i][CH_ONCE_REFUSED], ==, TRIES);
    }
    ch_once_keeper_stop(once);
    end_clear(&end);
    ch_once_keeper_free(once);
    fake_clear(&fake);
}

/* ---- ledgers ---- */

/* An engine with room for one of two models. */
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
    bool lost = ++engine->orders % 4 == 0;
    bool again = g_ptr_array_find_with_equal_func(engine->done, order->id,
                                                  g_str_equal, NULL);
    if (!lost && !again) {
        engine->resident[order->model[1] - '1'] =
            order->action == CH_ORDER_LOAD;
        g_assert_false(engine->resident[0] && engine->resident[1]);
        g_ptr_array_add(engine->done, g_strdup(order->id));
    }
    pthread_mutex_unlock(&engine->lock);
    done(data, lost ? CH_UPSTREAM_STALLED : CH_OK);
}

/* Gives the engine's report to a node's keeper. */
static void
report_to(struct ch_ledger_keeper *ledger, struct fake_engine *engine)
{
    static const char *const names[] = {"m1", "m2"};
    struct ch_resident resident[2];
    struct ch_report report = {.boot = (char *)"b1", .resident = resident};
    pthread_mutex_lock(&engine->lock);
    for (int i = 0; i < 2; i++) {
        if (engine->resident[i]) {
            resident[report.resident_count++] =
                (struct ch_resident){(char *)names[i], 1};
        }
    }
    report.orders_done = (char **)engine->done->pdata;
    report.orders_done_count = engine->done->len;
    GQuark name = g_quark_from_static_string("w01");
    ch_ledger_keeper_report(ledger, name, &report);
    pthread_mutex_unlock(&engine->lock);
}

struct home {
    pthread_mutex_t lock;
    int state[2]; /* 1 + enum ch_ledger_state; 0: absent */
    unsigned failed;
};

static void
ledger_changed(void *data, GQuark upstream, const struct ch_ledger *ledger)
{
    (void)upstream;
    struct home *home = data;
    g_assert_cmpuint(ch_ledger_get_committed_mb(ledger), <=, 1);
    const struct ch_ledger_entry *first = ch_ledger_find_entry(ledger, "m1");
    const struct ch_ledger_entry *second = ch_ledger_find_entry(ledger, "m2");
    pthread_mutex_lock(&home->lock);
    home->state[0] = first == NULL ? 0 : 1 + (int)first->state;
    home->state[1] = second == NULL ? 0 : 1 + (int)second->state;
    pthread_mutex_unlock(&home->lock);
}

static void
ledger_failed(void *data, GQuark upstream, GQuark item,
              enum ch_action_kind kind, enum ch_code code)
{
    (void)upstream;
    (void)item;
    (void)kind;
    g_assert_cmpint(code, !=, CH_OK);
    struct home *home = data;
    pthread_mutex_lock(&home->lock);
    home->failed++;
    pthread_mutex_unlock(&home->lock);
}

/* A home's state of an item. */
static int
state_of(struct home *home, int item)
{
    pthread_mutex_lock(&home->lock);
    int state = home->state[item];
    pthread_mutex_unlock(&home->lock);
    return state;
}

/*
 * Two nodes both believe to be the engine's home and want another model each,
 * again and again, while orders and answers of writes are lost.  The engine
 * must never be asked to hold both.  Bounded by rounds; each waits a little,
 * as an order that was lost is sent again after a second.
 */
static void
test_ledger(void)
{
    static const struct ch_upstream_ops engine_ops = {.order = fake_order};
    static const struct ch_ledger_handlers handlers = {
        .changed = ledger_changed, .failed = ledger_failed};
    struct fake_kv fake;
    struct end end[2];
    struct home home[2] = {{.failed = 0}, {.failed = 0}};
    struct ch_ledger_keeper *ledger[2];
    struct fake_engine engine = {.upstream.ops = &engine_ops};
    GQuark name = g_quark_from_static_string("w01");
    const GQuark items[] = {g_quark_from_static_string("m1"),
                            g_quark_from_static_string("m2")};
    unsigned seen[2] = {0, 0};
    pthread_mutex_init(&engine.lock, NULL);
    engine.done = g_ptr_array_new_with_free_func(g_free);
    fake_init(&fake);
    fake_fault(&fake, FAULT_LOSE);
    for (int i = 0; i < 2; i++) {
        pthread_mutex_init(&home[i].lock, NULL);
        end_init(&end[i], i == 0 ? "n1" : "n2", &fake);
        ledger[i] = ch_ledger_keeper_new(&end[i].node, &handlers, &home[i]);
        ch_ledger_keeper_open(ledger[i], name, &engine.upstream, 1);
    }
    for (int round = 0; round < 4000 && (seen[0] < 3 || seen[1] < 3);
         round++) {
        int i = round % 2;
        report_to(ledger[i], &engine);
        if (state_of(&home[i], i) == 1 + CH_LEDGER_RESIDENT) {
            seen[i]++;
            ch_ledger_keeper_unload(ledger[i], name, items[i]);
        }
        else if (state_of(&home[i], i) == 0) {
            ch_ledger_keeper_load(ledger[i], name, items[i], 1);
        }
        g_usleep(5000);
    }
    g_assert_cmpuint(seen[0], >=, 3);
    g_assert_cmpuint(seen[1], >=, 3);
    for (int i = 0; i < 2; i++) {
        ch_ledger_keeper_stop(ledger[i]);
        end_clear(&end[i]);
        ch_ledger_keeper_free(ledger[i]);
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
