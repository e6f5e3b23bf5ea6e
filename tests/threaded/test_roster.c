/*
 * Tests of a node's reads of the key-value store, for the roster and the
 * configuration in force, against a fake store whose watches fail.
 */

#include "decide/revision.h"
#include "node/dialect.h"
#include "node/compress.h"
#include "node/roster.h"

#include <pthread.h>
#include <string.h>

#define PREFIX "hosts/"

enum {
    MAX_STEPS = 8,
};

/* Calls for the list of upstreams: 'R' is a range call for all of them, 'C' a
 * watch for changes. */
static struct {
    struct ch_kv kv;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    char steps[MAX_STEPS + 1];
    const enum ch_code *watches; /* their results in turn, the last repeated */
    size_t call_count;
    int leases;  /* number of key-value leases requested */
    int changes; /* number of watches of upstreams */
} world;

/* Appends a step. */
static void
append_step(char step)
{
    pthread_mutex_lock(&world.lock);
    size_t count = strlen(world.steps);
    if (count < MAX_STEPS) {
        world.steps[count] = step;
    }
    pthread_cond_broadcast(&world.changed);
    pthread_mutex_unlock(&world.lock);
}

static void
fake_range(struct ch_kv *kv, const char *prefix,
           void (*done)(void *data, const struct ch_kv_range *range),
           void *data)
{
    (void)kv;
    const struct ch_kv_range range = {.code = CH_OK, .revision = 10};
    if (strcmp(prefix, PREFIX) == 0) {
        append_step('R');
    }
    done(data, &range);
}

static void
fake_changes(struct ch_kv *kv, const char *prefix, uint64_t after,
             int64_t wait,
             void (*done)(void *data, const struct ch_kv_range *range),
             void *data)
{
    (void)kv, (void)after, (void)wait;
    struct ch_kv_range range = {.code = CH_KV_UNREACHABLE};
    if (strcmp(prefix, PREFIX) == 0) {
        append_step('C');
        range.code = world.watches[world.call_count];
        range.revision = 10;
        world.call_count++;
    }
    done(data, &range);
}

static void
fake_lease(struct ch_kv *kv, int64_t ttl,
           void (*done)(void *data, const struct ch_kv_result *answer),
           void *data)
{
    (void)kv, (void)ttl;
    g_atomic_int_inc(&world.leases);
    const struct ch_kv_result answer = {.code = CH_KV_UNREACHABLE};
    done(data, &answer);
}

static void
discard_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

static void
ignore(void *data)
{
    (void)data;
}

/* ---- a node with only a few of its parts ---- */

struct fixture {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

/* A node with this name, and a key-value store with these operations. */
static struct fixture *
fixture_named(const char *name, const struct ch_kv_ops *ops, unsigned workers)
{
    static const struct ch_dialect dialect = {.hosts_prefix = PREFIX};
    struct fixture *fixture = g_new0(struct fixture, 1);
    struct ch_error error = {0};
    fixture->settings = (struct ch_settings){
        .name = (char *)name,
        .region = "r1",
        .data_centre = "a",
        .peers = "127.0.0.1:0",
        .callers = "127.0.0.1:0",
        .peer_timeout_ms = 600,
        .idle_connection_ms = 60000,
        .upstream_drain_ms = 3000,
    };
    ch_client_init(&fixture->client, name);
    fixture->client.log_write = discard_line;
    fixture->client.metrics = ch_metrics_new();
    world.kv.ops = ops;
    world.call_count = 0;
    fixture->node = (struct ch_node){
        .client = &fixture->client,
        .settings = &fixture->settings,
        .dialect = &dialect,
        .kv = &world.kv,
        .incarnation = 1,
        .pool = ch_pool_new(workers),
    };
    fixture->node.timers = ch_timers_new(fixture->node.pool);
    fixture->node.peers = ch_peers_new(&fixture->node, &error);
    g_assert_nonnull(fixture->node.peers);
    return fixture;
}

/* A single node. */
static struct fixture *
fixture_new(const struct ch_kv_ops *ops, unsigned workers)
{
    return fixture_named("n1", ops, workers);
}

/* Stops the node's threads; the object under test is freed after that. */
static void
fixture_stop(struct fixture *fixture)
{
    ch_peers_stop(fixture->node.peers);
    ch_timers_stop(fixture->node.timers);
    ch_pool_free(fixture->node.pool);
    ch_timers_free(fixture->node.timers);
}

/* Frees a stopped fixture. */
static void
fixture_free(struct fixture *fixture)
{
    ch_peers_free(fixture->node.peers);
    ch_metrics_free(fixture->client.metrics);
    g_free(fixture);
}

static const struct {
    const char *what;
    enum ch_code watches[3];
    const char *steps;
} rows[] = {
    {"nothing changes", {CH_KV_MISSING, CH_KV_MISSING, CH_KV_MISSING}, "RCC"},
    {"a watch is interrupted",
     {CH_KV_UNREACHABLE, CH_KV_MISSING, CH_KV_MISSING},
     "RCRC"},
    {"the history is gone",
     {CH_KV_HISTORY_GONE, CH_KV_MISSING, CH_KV_MISSING},
     "RCRC"},
};

/*
 * Guards against a draining upstream that gets new requests seconds after it
 * began to drain. The key-value store dropped its history while it interrupted
 * the watches; it accepted the next watch from the same revision, but never
 * returned the dropped changes. So the whole list is read again after every
 * failed watch.
 */
static void
test_watches(void)
{
    static const struct ch_kv_ops ops = {
        .range = fake_range,
        .watch_changes = fake_changes,
        .create_lease = fake_lease,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_test_message("%s", rows[i].what);
        struct fixture *fixture = fixture_new(&ops, 2);
        world.watches = rows[i].watches;
        memset(world.steps, 0, sizeof(world.steps));
        struct ch_roster *roster = ch_roster_new(&fixture->node, ignore, NULL);
        ch_roster_start(roster);
        size_t count = strlen(rows[i].steps);
        pthread_mutex_lock(&world.lock);
        while (strlen(world.steps) < count) {
            pthread_cond_wait(&world.changed, &world.lock);
        }
        g_assert_true(g_str_has_prefix(world.steps, rows[i].steps));
        pthread_mutex_unlock(&world.lock);
        ch_roster_stop(roster);
        fixture_stop(fixture);
        ch_roster_free(roster);
        fixture_free(fixture);
    }
}

/* ---- a node's own entry ---- */

/* Returns no change, after a part of the wait. */
static void
watch_without_changes(
    struct ch_kv *kv, const char *prefix, uint64_t after, int64_t wait,
    void (*done)(void *data, const struct ch_kv_range *range), void *data)
{
    (void)kv, (void)prefix, (void)after;
    const struct ch_kv_range range = {.code = CH_KV_MISSING, .revision = 10};
    g_usleep((gulong)wait / 4);
    done(data, &range);
}

/* Returns a change at once: a store whose entries change all the time. */
static void
watch_with_changes(struct ch_kv *kv, const char *prefix, uint64_t after,
                   int64_t wait,
                   void (*done)(void *data, const struct ch_kv_range *range),
                   void *data)
{
    (void)kv, (void)wait;
    const struct ch_kv_range range = {.code = CH_OK, .revision = after + 1};
    if (strcmp(prefix, PREFIX) == 0) {
        g_atomic_int_inc(&world.changes);
    }
    done(data, &range);
}

/* Runs a roster on a store for a few seconds; returns for how long it ran, in
 * microseconds, which is longer on a busy machine. */
static int64_t
run_roster(const struct ch_kv_ops *ops, unsigned seconds)
{
    struct fixture *fixture = fixture_new(ops, 4);
    g_atomic_int_set(&world.leases, 0);
    g_atomic_int_set(&world.changes, 0);
    struct ch_roster *roster = ch_roster_new(&fixture->node, ignore, NULL);
    int64_t started_at = g_get_monotonic_time();
    ch_roster_start(roster);
    g_usleep(seconds * (gulong)G_USEC_PER_SEC);
    ch_roster_stop(roster);
    fixture_stop(fixture);
    int64_t duration = g_get_monotonic_time() - started_at;
    ch_roster_free(roster);
    fixture_free(fixture);
    return duration;
}

/* Scales max_in_3_s, the maximum count within three seconds, to the run's
 * duration. */
static int64_t
scale_max(int64_t duration, int64_t max_in_3_s)
{
    return max_in_3_s * duration / ((int64_t)3 * G_USEC_PER_SEC);
}

/*
 * Guards against callers that are refused for longer than the key-value store
 * is unavailable. The store answers "busy" at once to every node. Each node
 * requested its own entry's lease again ten times a second: a hundred nodes
 * made hundreds of calls a second, under which the store recovered late. The
 * backoff grows with each failure.
 */
static void
test_own_entry(void)
{
    static const struct ch_kv_ops ops = {
        .range = fake_range,
        .watch_changes = watch_without_changes,
        .create_lease = fake_lease,
    };
    int64_t duration = run_roster(&ops, 3);
    int leases = g_atomic_int_get(&world.leases);
    g_test_message("%d leases asked for in %" G_GINT64_FORMAT " ms", leases,
                   duration / 1000);
    g_assert_cmpint(leases, >=, 2);
    g_assert_cmpint(leases, <=, scale_max(duration, 8));
}

/*
 * Guards against a key-value store call for each change; the platform counts
 * each call. A watch ends at its first event, and engines that load models
 * change their entries many times a second, so that each event cost a call of
 * each watcher. After a few watches in a row, watchers wait and receive
 * several changes at once.
 */
static void
test_batch_delay(void)
{
    static const struct ch_kv_ops ops = {
        .range = fake_range,
        .watch_changes = watch_with_changes,
        .create_lease = fake_lease,
    };
    int64_t duration = run_roster(&ops, 5);
    int changes = g_atomic_int_get(&world.changes);
    g_test_message("%d watches in the half of %" G_GINT64_FORMAT
                   " ms that the node watches",
                   changes, duration / 1000);
    g_assert_cmpint(changes, >=, 2);
    g_assert_cmpint(changes, <=, scale_max(duration, 18));
}

/* ---- a start while the key-value store is unavailable ---- */

/* Returns no list. */
static void
fail_range(struct ch_kv *kv, const char *prefix,
           void (*done)(void *data, const struct ch_kv_range *range),
           void *data)
{
    (void)kv, (void)prefix;
    const struct ch_kv_range range = {.code = CH_KV_UNREACHABLE};
    done(data, &range);
}

/* Replies with a known list: this node itself among the nodes, or no
 * upstreams. */
static void
answer_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct fixture *other = data;
    Chestnuthitch__Wire__Frame reply = CHESTNUTHITCH__WIRE__FRAME__INIT;
    Chestnuthitch__Wire__Roster roster = CHESTNUTHITCH__WIRE__ROSTER__INIT;
    Chestnuthitch__Wire__RosterEntry entry =
        CHESTNUTHITCH__WIRE__ROSTER_ENTRY__INIT;
    Chestnuthitch__Wire__RosterEntry *entries[] = {&entry};
    g_autofree char *value =
        g_strdup_printf("{\"address\": \"%s\", \"data_centre\": \"a\", "
                        "\"region\": \"r1\"}",
                        other->settings.peers);
    entry.key = (char *)"nodes/n2";
    entry.value.data = (uint8_t *)value;
    entry.value.len = strlen(value);
    entry.revision = 4;
    roster.prefix = frame->roster_pull->prefix;
    roster.at = 5;
    roster.entries = entries;
    roster.n_entries = strcmp(roster.prefix, "nodes/") == 0 ? 1 : 0;
    reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    reply.roster = &roster;
    ch_peers_reply(other->node.peers, frame->from, frame->id, &reply);
}

/*
 * Guards against a host that restarts while the key-value store is unavailable
 * and refuses its callers until the store is back, since it knows no node to
 * ask. The other nodes connect to it by themselves and send their addresses.
 */
static void
test_starts_without_service(void)
{
    static const struct ch_kv_ops ops = {
        .range = fail_range,
        .watch_changes = watch_without_changes,
        .create_lease = fake_lease,
    };
    struct fixture *fixture = fixture_new(&ops, 4);
    struct fixture *other = fixture_named("n2", &ops, 2);
    g_autofree char *own_address = g_strdup_printf(
        "127.0.0.1:%u", ch_peers_get_port(fixture->node.peers));
    g_autofree char *other_address =
        g_strdup_printf("127.0.0.1:%u", ch_peers_get_port(other->node.peers));
    fixture->settings.peers = own_address;
    other->settings.peers = other_address;
    const struct ch_host host = {
        .name = (char *)"n1",
        .kind = CH_HOST_ENTRY,
        .address = own_address,
        .region = (char *)"r1",
        .data_centre = (char *)"a",
    };
    const struct ch_host_list list = {(struct ch_host *)&host, 1};
    struct ch_roster *roster = ch_roster_new(&fixture->node, ignore, NULL);
    ch_peers_set_handler(other->node.peers,
                         CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL,
                         answer_pull, other);
    ch_peers_start(fixture->node.peers);
    ch_peers_start(other->node.peers);
    ch_roster_start(roster);
    ch_peers_update_list(other->node.peers, &list);
    int64_t until = g_get_monotonic_time() + 10 * (int64_t)G_USEC_PER_SEC;
    while (!ch_roster_is_known(roster) && g_get_monotonic_time() < until) {
        g_usleep(10000);
    }
    g_assert_true(ch_roster_is_known(roster));
    ch_roster_stop(roster);
    fixture_stop(other);
    fixture_stop(fixture);
    ch_roster_free(roster);
    fixture_free(other);
    fixture_free(fixture);
}

/* ---- packed entries ---- */

static const struct packed_case {
    const char *what;
    size_t missing_bytes; /* bytes missing at the end */
    bool known;           /* the node knows the list after this message */
    uint64_t bad_frames;
} packed_cases[] = {
    {"whole", 0, true, 0},
    {"cut off", 9, false, 1},
};

/* Sends a packed list of all nodes, which contains only n3. */
static void
send_packed_list(struct fixture *from, size_t missing_bytes)
{
    Chestnuthitch__Wire__Roster entries = CHESTNUTHITCH__WIRE__ROSTER__INIT;
    Chestnuthitch__Wire__Roster message = CHESTNUTHITCH__WIRE__ROSTER__INIT;
    Chestnuthitch__Wire__RosterEntry entry =
        CHESTNUTHITCH__WIRE__ROSTER_ENTRY__INIT;
    Chestnuthitch__Wire__RosterEntry *one[] = {&entry};
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    uint8_t bytes[512];
    gsize length = 0;
    entry.key = (char *)"nodes/n3";
    entry.value.data = (uint8_t *)"{\"address\": \"127.0.0.1:9\", "
                                  "\"data_centre\": \"a\", "
                                  "\"region\": \"r1\"}";
    entry.value.len = strlen((const char *)entry.value.data);
    entry.revision = 4;
    entries.entries = one;
    entries.n_entries = 1;
    g_autoptr(GBytes) packed =
        ch_compress(bytes, chestnuthitch__wire__roster__pack(&entries, bytes));
    message.prefix = (char *)"nodes/";
    message.at = 5;
    message.packed.data = (uint8_t *)g_bytes_get_data(packed, &length);
    message.packed.len = length - missing_bytes;
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    frame.roster = &message;
    ch_peers_send(from->node.peers, "n1", &frame);
}

/*
 * A list that was damaged on the way changes nothing that the node knows, and
 * is counted as a bad frame.
 */
static void
test_packed(void)
{
    static const struct ch_kv_ops ops = {
        .range = fail_range,
        .watch_changes = watch_without_changes,
        .create_lease = fake_lease,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(packed_cases); i++) {
        struct fixture *fixture = fixture_new(&ops, 2);
        struct fixture *other = fixture_named("n2", &ops, 2);
        g_autofree char *own_address = g_strdup_printf(
            "127.0.0.1:%u", ch_peers_get_port(fixture->node.peers));
        const struct ch_host host = {
            .name = (char *)"n1",
            .kind = CH_HOST_ENTRY,
            .address = own_address,
            .region = (char *)"r1",
            .data_centre = (char *)"a",
        };
        const struct ch_host_list list = {(struct ch_host *)&host, 1};
        struct ch_roster *roster = ch_roster_new(&fixture->node, ignore, NULL);
        g_test_message("%s", packed_cases[i].what);
        ch_peers_start(fixture->node.peers);
        ch_peers_start(other->node.peers);
        ch_peers_update_list(other->node.peers, &list);
        send_packed_list(other, packed_cases[i].missing_bytes);
        for (int waited = 0; waited < 300; waited++) {
            if (ch_peers_has_list(fixture->node.peers) ||
                ch_metrics_get_count(fixture->client.metrics,
                                     CH_COUNT_FRAMES_BAD) > 0) {
                break;
            }
            g_usleep(10000);
        }
        g_assert_cmpint(ch_peers_has_list(fixture->node.peers), ==,
                        packed_cases[i].known);
        g_assert_cmpuint(
            ch_metrics_get_count(fixture->client.metrics, CH_COUNT_FRAMES_BAD),
            ==, packed_cases[i].bad_frames);
        fixture_stop(other);
        fixture_stop(fixture);
        ch_roster_free(roster);
        fixture_free(other);
        fixture_free(fixture);
    }
}

/* ---- messages that are lost between nodes ---- */

/* A list of upstreams as another node has it. */
struct sent_list {
    const char *keys[3]; /* ended by NULL */
    uint64_t since;
    uint64_t at;
};

static const struct lost_case {
    const char *what;
    struct sent_list first; /* with this the node knows the list */
    struct sent_list later; /* sent after a message was lost */
    const char *upstreams;  /* that the node lists then */
} lost_cases[] = {
    {"a removal is lost",
     {{"hosts/e1", "hosts/e2", NULL}, 0, 5},
     {{"hosts/e1", NULL}, 7, 8},
     "e1"},
    {"an addition is lost",
     {{"hosts/e1", NULL}, 0, 5},
     {{"hosts/e1", "hosts/e2", NULL}, 7, 8},
     "e1 e2"},
    {"the sender knows less",
     {{"hosts/e1", "hosts/e2", NULL}, 0, 5},
     {{"hosts/e1", NULL}, 3, 4},
     "e1 e2"},
};

static bool
parse_upstream(const char *key, const char *value, size_t length,
               struct ch_host *host, struct ch_error *error)
{
    (void)value, (void)length, (void)error;
    *host = (struct ch_host){
        .name = g_strdup(key + strlen(PREFIX)),
        .kind = CH_HOST_ENGINE,
        .address = g_strdup("127.0.0.1:9"),
        .data_centre = g_strdup("a"),
    };
    return true;
}

/* Another node, and what it sends. */
struct sender {
    struct fixture *fixture;
    const struct sent_list *list;
};

static void
fill_message(const struct sent_list *list, bool whole,
             Chestnuthitch__Wire__Roster *message,
             Chestnuthitch__Wire__RosterEntry *entries,
             Chestnuthitch__Wire__RosterEntry **pointers)
{
    chestnuthitch__wire__roster__init(message);
    message->prefix = (char *)PREFIX;
    message->since = whole ? 0 : list->since;
    message->at = list->at;
    message->entries = pointers;
    for (size_t i = 0; whole && list->keys[i] != NULL; i++) {
        chestnuthitch__wire__roster_entry__init(&entries[i]);
        entries[i].key = (char *)list->keys[i];
        entries[i].value.data = (uint8_t *)"{}";
        entries[i].value.len = 2;
        entries[i].revision = strcmp(list->keys[i], "hosts/e2") == 0 ? 5 : 2;
        pointers[i] = &entries[i];
        message->n_entries++;
    }
}

static void
answer_list_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const struct sender *sender = data;
    Chestnuthitch__Wire__RosterEntry entries[3];
    Chestnuthitch__Wire__RosterEntry *pointers[3];
    Chestnuthitch__Wire__Roster message;
    Chestnuthitch__Wire__Frame reply = CHESTNUTHITCH__WIRE__FRAME__INIT;
    fill_message(sender->list, true, &message, entries, pointers);
    reply.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    reply.roster = &message;
    ch_peers_reply(sender->fixture->node.peers, frame->from, frame->id,
                   &reply);
}

static void
add_name(void *data, const struct ch_host *host)
{
    g_ptr_array_add(data, g_strdup(host->name));
}

static int
compare_strings(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* The names of the listed upstreams, in order. */
static char *
list_upstreams(struct ch_roster *roster)
{
    g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
    ch_roster_foreach(roster, add_name, names);
    g_ptr_array_sort(names, compare_strings);
    g_ptr_array_add(names, NULL);
    return g_strjoinv(" ", (char **)names->pdata);
}

/* Sends the message after which the receiver may ask for the whole list, and
 * waits until its list is the expected one. */
static void
send_list(struct sender *sender, const struct sent_list *list,
          struct ch_roster *roster, const char *expected)
{
    Chestnuthitch__Wire__Roster message;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    g_autofree char *upstreams = NULL;
    sender->list = list;
    fill_message(list, false, &message, NULL, NULL);
    frame.body_case = CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER;
    frame.roster = &message;
    ch_peers_send(sender->fixture->node.peers, "n1", &frame);
    for (int waited = 0; waited < 300; waited++) {
        g_usleep(10000);
        g_free(upstreams);
        upstreams = list_upstreams(roster);
        if (waited >= 20 && strcmp(upstreams, expected) == 0) {
            break;
        }
    }
    g_assert_cmpstr(upstreams, ==, expected);
}

/* Guards against an upstream that is gone and stays listed at a node that
 * missed the message of its removal. */
static void
test_lost_messages(void)
{
    static const struct ch_kv_ops ops = {
        .range = fail_range,
        .watch_changes = watch_without_changes,
        .create_lease = fake_lease,
    };
    static const struct ch_dialect dialect = {.hosts_prefix = PREFIX,
                                              .parse_host = parse_upstream};
    for (size_t i = 0; i < G_N_ELEMENTS(lost_cases); i++) {
        const struct lost_case *row = &lost_cases[i];
        struct fixture *fixture = fixture_new(&ops, 2);
        struct fixture *other = fixture_named("n2", &ops, 2);
        struct sender sender = {other, NULL};
        g_autofree char *own_address = g_strdup_printf(
            "127.0.0.1:%u", ch_peers_get_port(fixture->node.peers));
        g_autofree char *other_address = g_strdup_printf(
            "127.0.0.1:%u", ch_peers_get_port(other->node.peers));
        const struct ch_host host = {
            .name = (char *)"n1",
            .kind = CH_HOST_ENTRY,
            .address = own_address,
            .region = (char *)"r1",
            .data_centre = (char *)"a",
        };
        const struct ch_host_list list = {(struct ch_host *)&host, 1};
        fixture->settings.peers = own_address;
        other->settings.peers = other_address;
        fixture->node.dialect = &dialect;
        struct ch_roster *roster = ch_roster_new(&fixture->node, ignore, NULL);
        g_test_message("%s", row->what);
        ch_peers_set_handler(other->node.peers,
                             CHESTNUTHITCH__WIRE__FRAME__BODY_ROSTER_PULL,
                             answer_list_pull, &sender);
        ch_peers_start(fixture->node.peers);
        ch_peers_start(other->node.peers);
        ch_peers_update_list(other->node.peers, &list);
        g_autofree char *first =
            g_strdup(row->first.keys[1] == NULL ? "e1" : "e1 e2");
        send_list(&sender, &row->first, roster, first);
        send_list(&sender, &row->later, roster, row->upstreams);
        fixture_stop(other);
        fixture_stop(fixture);
        ch_roster_free(roster);
        fixture_free(other);
        fixture_free(fixture);
    }
}

/* ---- a change that no watch returns ---- */

/* The configuration, at a revision that grows with each read. */
static void
get_next_revision(struct ch_kv *kv, const char *key,
                  void (*done)(void *data, const struct ch_kv_result *answer),
                  void *data)
{
    (void)kv, (void)key;
    struct ch_revision_record *record =
        ch_revision_record_new("t", "a",
                               "[class c]\nhost = h\npath = /x/\nshares = "
                               "s:1\nanswer-ms = 1000\n[service s]\n",
                               NULL, 0);
    char *bytes = ch_revision_record_print(record);
    pthread_mutex_lock(&world.lock);
    world.call_count++;
    struct ch_kv_result answer = {
        .code = CH_OK,
        .value = bytes,
        .length = strlen(bytes),
        .revision = world.call_count,
    };
    pthread_mutex_unlock(&world.lock);
    done(data, &answer);
    g_free(bytes);
    ch_revision_record_free(record);
}

/* Returns the first value, and no changes after it. */
static void
watch_configuration(
    struct ch_kv *kv, const char *key, uint64_t revision, int64_t wait,
    void (*done)(void *data, const struct ch_kv_result *answer), void *data)
{
    (void)wait;
    if (revision == 0) {
        get_next_revision(kv, key, done, data);
        return;
    }
    const struct ch_kv_result answer = {.code = CH_KV_MISSING};
    done(data, &answer);
}

/*
 * Guards against an accepted route that is refused as unknown for six seconds.
 * The key-value store refused two of the three watchers, and then left the
 * change out of the third one's watch. So each node also reads the
 * configuration in its turn.
 */
static void
test_missed_change(void)
{
    static const struct ch_kv_ops ops = {
        .get = get_next_revision,
        .watch = watch_configuration,
    };
    struct fixture *fixture = fixture_new(&ops, 2);
    struct ch_config_manager *manager = ch_config_manager_new(&fixture->node);
    fixture->node.config = manager;
    ch_config_manager_start(manager);
    uint64_t revision = 0;
    for (int64_t until = g_get_monotonic_time() + 3000000L;
         revision < 2 && g_get_monotonic_time() < until;) {
        g_usleep(10000);
        struct ch_config *config = ch_config_manager_get_current(manager);
        revision = config == NULL ? 0 : config->revision;
        if (config != NULL) {
            ch_config_unref(config);
        }
    }
    g_assert_cmpuint(revision, >=, 2);
    ch_config_manager_stop(manager);
    fixture_stop(fixture);
    ch_config_manager_free(manager);
    fixture_free(fixture);
}

/* ---- repeated copies of the configuration ---- */

enum {
    COPIES = 5
};

/*
 * Guards against all streams of a small node that pause again and again: each
 * copy of a large configuration that the node read in its turn was translated
 * and parsed completely before the node found that it was already in force.
 * The copy's revision shows that at once. An unreadable copy is read again
 * after a backoff.
 */
static const struct {
    const char *what;
    uint64_t revisions[COPIES]; /* of one copy after another */
    const char *value;
    int translations; /* 0: one for each copy */
    uint64_t in_force;
    int64_t min_us; /* minimum time that the copies take, in microseconds */
} copies[] = {
    {"the same again", {5, 5, 5, 5, 5}, "good", 1, 5, 0},
    {"older ones", {5, 4, 4, 1, 5}, "good", 1, 5, 0},
    {"newer ones", {5, 6, 6, 5, 8}, "good", 3, 8, 0},
    {"unreadable ones", {5, 5, 5, 5, 5}, "bad", 0, 0, 1500000},
};

static struct {
    size_t row;
    int served;
    int translations;
} copy_run;

/* Returns the row's next copy, and after the last one the last again. */
static void
get_next_copy(struct ch_kv *kv, const char *key,
              void (*done)(void *data, const struct ch_kv_result *answer),
              void *data)
{
    (void)kv, (void)key;
    int index = g_atomic_int_add(&copy_run.served, 1);
    const char *value = copies[copy_run.row].value;
    const struct ch_kv_result answer = {
        .code = CH_OK,
        .value = value,
        .length = strlen(value),
        .revision = copies[copy_run.row].revisions[MIN(index, COPIES - 1)],
    };
    done(data, &answer);
}

/* Returns a copy while none is in force, and no changes after that. */
static void
watch_copy(struct ch_kv *kv, const char *key, uint64_t revision, int64_t wait,
           void (*done)(void *data, const struct ch_kv_result *answer),
           void *data)
{
    (void)wait;
    if (revision == 0) {
        get_next_copy(kv, key, done, data);
        return;
    }
    const struct ch_kv_result answer = {.code = CH_KV_MISSING};
    done(data, &answer);
}

/* Counts and translates. */
static char *
count_translation(const char *value, size_t length, struct ch_error *error)
{
    g_atomic_int_inc(&copy_run.translations);
    if (length != strlen("good") || memcmp(value, "good", length) != 0) {
        ch_error_set(error, CH_BAD_JSON, "not good");
        return NULL;
    }
    return g_strdup("[class c]\nhost = h\npath = /x/\nshares = s:1\n"
                    "answer-ms = 1000\n[service s]\n");
}

/* Runs one row. The copies must arrive within ten seconds; otherwise the
 * checks of the counts fail. */
static void
run_copies(size_t row)
{
    static const struct ch_kv_ops ops = {.get = get_next_copy,
                                         .watch = watch_copy};
    static const struct ch_dialect dialect = {
        .hosts_prefix = PREFIX,
        .extract_config = count_translation,
    };
    copy_run.row = row;
    g_atomic_int_set(&copy_run.served, 0);
    g_atomic_int_set(&copy_run.translations, 0);
    struct fixture *fixture = fixture_new(&ops, 1);
    fixture->node.dialect = &dialect;
    struct ch_config_manager *manager = ch_config_manager_new(&fixture->node);
    fixture->node.config = manager;
    int64_t started_at = g_get_monotonic_time();
    ch_config_manager_start(manager);
    while (g_atomic_int_get(&copy_run.served) < COPIES &&
           g_get_monotonic_time() < started_at + 10000000L) {
        g_usleep(1000);
    }
    int64_t duration = g_get_monotonic_time() - started_at;
    ch_config_manager_stop(manager);
    fixture_stop(fixture);
    struct ch_config *config = ch_config_manager_get_current(manager);
    g_test_message("%s: %d of %d translated in %" G_GINT64_FORMAT " ms",
                   copies[row].what, copy_run.translations, copy_run.served,
                   duration / 1000);
    g_assert_cmpuint(config == NULL ? 0 : config->revision, ==,
                     copies[row].in_force);
    g_assert_cmpint(copy_run.served, >=, COPIES);
    g_assert_cmpint(copy_run.translations, ==,
                    copies[row].translations == 0 ? copy_run.served
                                                  : copies[row].translations);
    g_assert_cmpint(duration, >=, copies[row].min_us);
    ch_config_unref(config);
    ch_config_manager_free(manager);
    fixture_free(fixture);
}

static void
test_copies(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
        run_copies(i);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    pthread_mutex_init(&world.lock, NULL);
    pthread_cond_init(&world.changed, NULL);
    g_test_add_func("/roster/watches", test_watches);
    g_test_add_func("/roster/own-entry", test_own_entry);
    g_test_add_func("/roster/gather", test_batch_delay);
    g_test_add_func("/roster/starts-without-service",
                    test_starts_without_service);
    g_test_add_func("/roster/packed", test_packed);
    g_test_add_func("/roster/lost-messages", test_lost_messages);
    g_test_add_func("/roster/left-out", test_missed_change);
    g_test_add_func("/roster/copies", test_copies);
    return g_test_run();
}
