/* Tests of the controller: receiving engine states, acquiring leases, and
 * forwarding demand. */

#include "node/controller_internal.h"
#include "threaded/fake_paths.h"
#include "threaded/test_node.h"

#include <semaphore.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    MAX_STEPS = 5,
    WAIT_TIMEOUT_US = 3 * 1000 * 1000,
    /* Long enough to notice a message that should not be sent. */
    SETTLE_US = 150 * 1000,
};

/* ---- fakes of the rest of the node ---- */

struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    (void)manager;
    return NULL;
}

void
ch_config_manager_note_revision(struct ch_config_manager *manager,
                                uint64_t revision, const char *from)
{
    (void)manager, (void)revision, (void)from;
}

void
ch_roster_set_lease_holders(struct ch_roster *roster,
                            void (*names)(void *data, GPtrArray *names),
                            void *data)
{
    (void)roster, (void)names, (void)data;
}

void
ch_roster_refresh(struct ch_roster *roster)
{
    (void)roster;
}

/* Lists two engines: e1 in data centre a, e2 in b. */
void
ch_roster_foreach(struct ch_roster *roster,
                  void (*each)(void *data, const struct ch_host *host),
                  void *data)
{
    char *names[][2] = {{"e1", "a"}, {"e2", "b"}};
    (void)roster;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const struct ch_host host = {
            .name = names[i][0],
            .kind = CH_HOST_ENGINE,
            .address = (char *)"127.0.0.1:9",
            .region = (char *)"r1",
            .data_centre = names[i][1],
            .service = (char *)"s",
            .boot_id = 1,
            .max_batch = 64,
        };
        each(data, &host);
    }
}

static int reports; /* asked of engines; atomic */
/* The start of the process that e1's reports are of; 0: no engine replies. */
static int reported_start;

static void
no_report(struct ch_upstream *upstream,
          void (*done)(void *data, enum ch_code code,
                       struct ch_engine_report *report),
          void *data)
{
    (void)upstream;
    g_atomic_int_inc(&reports);
    if (reported_start == 0) {
        done(data, CH_UPSTREAM_CONNECT, NULL);
        return;
    }
    struct ch_engine_report *report = g_new0(struct ch_engine_report, 1);
    report->boot_id = g_strdup("");
    report->started = (uint64_t)reported_start;
    done(data, CH_OK, report);
}

static void
free_upstream(struct ch_upstream *upstream)
{
    g_free(upstream);
}

static struct ch_upstream *
fake_upstream(struct ch_client *client, struct ch_http *http,
              const struct ch_host *host, int64_t call_limit)
{
    static const struct ch_upstream_ops ops = {
        .free = free_upstream,
        .fetch_report = no_report,
    };
    struct ch_upstream *upstream = g_new0(struct ch_upstream, 1);
    (void)client, (void)http, (void)host, (void)call_limit;
    upstream->ops = &ops;
    return upstream;
}

/* ---- nodes, and what they receive ---- */

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

/* What the router and the publisher received. */
static struct {
    int messages;
    int states;
    int full_requests;
    int boot;         /* of e1 in its last status */
    uint32_t running; /* requests on e1 in the last loads; 0 until then */
} seen;

static void
record_engine_status(void *data, const struct ch_engine_status *engine)
{
    (void)data;
    if (engine->upstream == g_quark_from_string("e1")) {
        g_atomic_int_set(&seen.boot, (int)engine->boot_id);
    }
    g_atomic_int_inc(&seen.states);
}

static void
record_loads(void *data, const GArray *loads)
{
    (void)data;
    for (guint i = 0; i < loads->len; i++) {
        g_atomic_int_set(
            (int *)&seen.running,
            (int)g_array_index(loads, struct ch_engine_load, i).running);
    }
}

static void
record_status_complete(void *data)
{
    (void)data;
    g_atomic_int_inc(&seen.messages);
}

static void
no_demand(void *data, GArray *out, GArray *loads)
{
    (void)data, (void)out, (void)loads;
}

static void
no_used_adapters(void *data, GPtrArray *out)
{
    (void)data, (void)out;
}

static void
record_full_request(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    (void)data, (void)frame;
    g_atomic_int_inc(&seen.full_requests);
}

static struct test_node *
test_node_new(const char *name)
{
    static const struct ch_dialect dialect = {.upstream_new = fake_upstream};
    struct test_node *node = g_new0(struct test_node, 1);
    test_node_set_up(&node->node, &node->client, &node->settings, name, 1);
    node->settings.lease_ms = 3000;
    node->node.dialect = &dialect;
    return node;
}

/* Gives a node a host list of other nodes. */
static void
set_known_nodes(struct test_node *node, struct test_node *const *others,
                size_t count)
{
    struct ch_host hosts[2] = {{0}};
    struct ch_host_list list = {.hosts = hosts, .count = count};
    g_assert_cmpuint(count, <=, G_N_ELEMENTS(hosts));
    for (size_t i = 0; i < count; i++) {
        hosts[i] = (struct ch_host){
            .name = others[i]->settings.name,
            .kind = CH_HOST_ENTRY,
            .address = g_strdup_printf(
                "127.0.0.1:%u", ch_peers_get_port(others[i]->node.peers)),
            .region = others[i]->settings.region,
            .data_centre = others[i]->settings.data_centre,
        };
    }
    ch_peers_update_list(node->node.peers, &list);
    for (size_t i = 0; i < count; i++) {
        g_free(hosts[i].address);
    }
}

static void
set_known_node(struct test_node *node, struct test_node *other)
{
    set_known_nodes(node, &other, 1);
}

static void
test_node_free(struct test_node *node)
{
    ch_peers_stop(node->node.peers);
    ch_pool_free(node->node.pool);
    ch_peers_free(node->node.peers);
    ch_limit_manager_free(node->node.limits);
    g_free(node);
}

/* Stops and frees a node whose controller was started. */
static void
stop_controller(struct test_node *node, struct ch_controller *controller)
{
    ch_controller_stop(controller);
    ch_peers_stop(node->node.peers);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_controller_free(controller);
    ch_timers_free(node->node.timers);
    ch_peers_free(node->node.peers);
    ch_limit_manager_free(node->node.limits);
    g_free(node);
}

/* ---- messages ---- */

/* One message of the publisher. */
struct step {
    uint64_t sequence; /* 0: from a node of an earlier version */
    uint64_t fence;
    bool whole;
    bool state;    /* contains e1's state, under number 1 */
    uint32_t load; /* load of e1, by its number; 0: not included */
};

static const struct status_case {
    const char *name;
    struct step steps[MAX_STEPS];
    int messages; /* messages accepted */
    int states;
    int full_requests;
    uint32_t running;
} status_cases[] = {
    {"in order",
     {{1, 5, true, true, 0}, {2, 5, false, false, 7}, {3, 5, false, true, 0}},
     3,
     2,
     0,
     2},
    {"the first message received is not whole",
     {{8, 5, false, true, 0}, {9, 5, true, true, 0}},
     2,
     2,
     1,
     2},
    {"some messages were missed",
     {{1, 5, true, true, 0}, {5, 5, false, false, 7}},
     2,
     1,
     1,
     7},
    {"one message was overtaken by the next",
     {{1, 5, true, true, 0},
      {3, 5, false, false, 9},
      {2, 5, false, true, 0},
      {4, 5, false, false, 7}},
     4,
     2,
     0,
     7},
    {"one message was missed, as the next but one shows",
     {{1, 5, true, true, 0}, {3, 5, false, false, 9}, {4, 5, false, false, 7}},
     3,
     1,
     1,
     7},
    {"a load of an engine whose state was not sent",
     {{1, 5, true, false, 0}, {2, 5, false, false, 7}},
     2,
     0,
     1,
     0},
    {"a holder that lost its lease",
     {{1, 5, true, true, 0}, {2, 4, false, true, 9}},
     2,
     1,
     0,
     2},
    {"a node of an earlier version",
     {{0, 5, true, true, 0}, {0, 5, false, true, 0}},
     2,
     2,
     0,
     2},
};

/* Sends one message as the lease holder of a data centre. */
static void
send_status(struct test_node *publisher, const struct step *step,
            const char *centre)
{
    Chestnuthitch__Wire__Right lease = WIRE(RIGHT__INIT);
    Chestnuthitch__Wire__Right *leases[] = {&lease};
    Chestnuthitch__Wire__EngineState state = WIRE(ENGINE_STATE__INIT);
    Chestnuthitch__Wire__EngineState *states[] = {&state};
    Chestnuthitch__Wire__Engines engines = WIRE(ENGINES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    uint32_t number = 1;
    uint32_t running = step->load;
    uint32_t unread = 0;
    lease.data_centre = (char *)centre;
    lease.fence = step->fence;
    lease.holder = publisher->settings.name;
    state.upstream = (char *)"e1";
    state.boot = 1;
    state.number = 1;
    state.running = 2;
    engines.data_centre = lease.data_centre;
    engines.fence = step->fence;
    engines.whole = step->whole;
    engines.sequence = step->sequence;
    engines.n_rights = step->sequence != 0 ? 1 : 0;
    engines.rights = leases;
    engines.n_engines = step->state ? 1 : 0;
    engines.engines = states;
    engines.n_numbers = step->load != 0 ? 1 : 0;
    engines.n_running = engines.n_numbers;
    engines.n_unread_ms = engines.n_numbers;
    engines.numbers = &number;
    engines.running = &running;
    engines.unread_ms = &unread;
    frame.body_case = WIRE(FRAME__BODY_ENGINES);
    frame.engines = &engines;
    ch_peers_send(publisher->node.peers, "n1", &frame);
}

/* Waits until a count is reached, for WAIT_TIMEOUT_US at most. */
static void
await(const int *count, int wanted)
{
    int64_t until = g_get_monotonic_time() + WAIT_TIMEOUT_US;
    while (g_atomic_int_get(count) < wanted &&
           g_get_monotonic_time() < until) {
        g_usleep(1000);
    }
}

/* Runs one test case. */
static void
run_status_case(const struct status_case *test)
{
    static const struct ch_controller_handlers handlers = {
        .engine_status = record_engine_status,
        .engine_loads = record_loads,
        .status_complete = record_status_complete,
    };
    struct test_node *node = test_node_new("n1");
    struct test_node *publisher = test_node_new("n2");
    memset(&seen, 0, sizeof(seen));
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &handlers, NULL);
    ch_controller_refresh(controller);
    ch_peers_set_handler(publisher->node.peers, WIRE(FRAME__BODY_ENGINES_PULL),
                         record_full_request, NULL);
    ch_peers_start(node->node.peers);
    ch_peers_start(publisher->node.peers);
    set_known_node(node, publisher);
    set_known_node(publisher, node);
    for (int i = 0; i < MAX_STEPS && test->steps[i].fence != 0; i++) {
        send_status(publisher, &test->steps[i], "a");
        await(&seen.messages, i + 1);
    }
    await(&seen.full_requests, test->full_requests);
    g_usleep(SETTLE_US);
    g_test_message("%s", test->name);
    g_assert_cmpint(g_atomic_int_get(&seen.messages), ==, test->messages);
    g_assert_cmpint(g_atomic_int_get(&seen.states), ==, test->states);
    g_assert_cmpint(g_atomic_int_get(&seen.full_requests), ==,
                    test->full_requests);
    g_assert_cmpint(g_atomic_int_get((int *)&seen.running), ==,
                    (int)test->running);
    test_node_free(publisher);
    ch_peers_stop(node->node.peers);
    ch_pool_free(node->node.pool);
    ch_controller_free(controller);
    ch_peers_free(node->node.peers);
    ch_limit_manager_free(node->node.limits);
    g_free(node);
}

/*
 * Load: loads of engines, identified by number, in messages of which some are
 * lost or overtaken. Harm prevented: a node that missed the state of an engine
 * continues with an outdated one, or applies a load to the wrong engine; a
 * node that missed nothing requests the full status again.
 */
static void
test_engine_status(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(status_cases); i++) {
        run_status_case(&status_cases[i]);
    }
}

/* ---- the lease to order engines ---- */

static const struct ch_controller_handlers recording_handlers = {
    .engine_status = record_engine_status,
    .engine_loads = record_loads,
    .status_complete = record_status_complete,
    .collect_demand = no_demand,
    .collect_used_adapters = no_used_adapters,
};

static int lease_lookups;

/* Counts the lookups of a lease; every lookup fails. */
static void
count_lookup(struct ch_kv *kv, const char *key,
             void (*done)(void *data, const struct ch_kv_result *answer),
             void *data)
{
    const struct ch_kv_result answer = {.code = CH_KV_UNREACHABLE};
    (void)kv, (void)key;
    g_atomic_int_inc(&lease_lookups);
    done(data, &answer);
}

/*
 * Guards against leases that go to whichever node starts first: a node that
 * did not know the others yet ranked itself first. A host with little capacity
 * then held the lease, and when all nodes restarted at once, nobody could
 * order engines until that lease expired.
 */
static void
test_lease_needs_host_list(void)
{
    static const struct ch_kv_ops ops = {.get = count_lookup};
    struct ch_kv kv = {.ops = &ops};
    struct test_node *node = test_node_new("n1");
    const struct ch_host_list nobody = {0};
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    lease_lookups = 0;
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &recording_handlers, NULL);
    ch_peers_start(node->node.peers);
    ch_controller_refresh(controller);
    ch_controller_start(controller);
    g_usleep((gulong)3 * SETTLE_US);
    g_assert_cmpint(g_atomic_int_get(&lease_lookups), ==, 0);
    ch_peers_update_list(node->node.peers, &nobody);
    await(&lease_lookups, 1);
    g_assert_cmpint(g_atomic_int_get(&lease_lookups), >=, 1);
    stop_controller(node, controller);
}

/* ---- demand of requests ---- */

/* A key-value store that grants each lease, and accepts the write of the lease
 * of data centre a alone. */
static void
find_no_key(struct ch_kv *kv, const char *key,
            void (*done)(void *data, const struct ch_kv_result *answer),
            void *data)
{
    const struct ch_kv_result answer = {.code = CH_KV_MISSING};
    (void)kv, (void)key;
    done(data, &answer);
}

static void
grant_lease(struct ch_kv *kv, int64_t ttl,
            void (*done)(void *data, const struct ch_kv_result *answer),
            void *data)
{
    const struct ch_kv_result answer = {.code = CH_OK, .revision = 7};
    (void)kv, (void)ttl;
    done(data, &answer);
}

static void
accept_write(struct ch_kv *kv, const char *key, const void *value,
             size_t length, uint64_t revision, uint64_t lease,
             void (*done)(void *data, const struct ch_kv_result *answer),
             void *data)
{
    const struct ch_kv_result answer = {.code = CH_OK, .revision = 9};
    (void)kv, (void)value, (void)length, (void)revision, (void)lease;
    const struct ch_kv_result other = {.code = CH_KV_CONFLICT, .revision = 3};
    done(data, strcmp(key, "orders/a") == 0 ? &answer : &other);
}

static void
renew_lease(struct ch_kv *kv, uint64_t lease,
            void (*done)(void *data, const struct ch_kv_result *answer),
            void *data)
{
    const struct ch_kv_result answer = {.code = CH_OK};
    (void)kv, (void)lease;
    done(data, &answer);
}

static const struct ch_kv_ops lease_kv_ops = {
    .get = find_no_key,
    .create_lease = grant_lease,
    .put_with_lease = accept_write,
    .renew_lease = renew_lease,
};

/* ---- when an acquired lease may be used ---- */

enum {
    HANDOVER_PAUSE_US = 3 * 1000 * 1000,
    /* Until the result of a call is handled. */
    HANDLED_US = 50 * 1000,
};

static int lease_writes; /* atomic */

static void
find_own_key(struct ch_kv *kv, const char *key,
             void (*done)(void *data, const struct ch_kv_result *answer),
             void *data)
{
    static const char value[] = "n1 5 1";
    const struct ch_kv_result answer = {
        .code = CH_OK, .value = value, .length = strlen(value), .revision = 8};
    (void)kv, (void)key;
    done(data, &answer);
}

static void
count_write(struct ch_kv *kv, const char *key, const void *value,
            size_t length, uint64_t revision, uint64_t lease,
            void (*done)(void *data, const struct ch_kv_result *answer),
            void *data)
{
    accept_write(kv, key, value, length, revision, lease, done, data);
    g_atomic_int_inc(&lease_writes);
}

static const struct ch_kv_ops no_key_ops = {
    .get = find_no_key,
    .create_lease = grant_lease,
    .put_with_lease = count_write,
    .renew_lease = renew_lease,
};

static const struct ch_kv_ops own_key_ops = {
    .get = find_own_key,
    .create_lease = grant_lease,
    .put_with_lease = count_write,
    .renew_lease = renew_lease,
};

static const struct usable_case {
    const char *name;
    const struct ch_kv_ops *ops;
    int64_t age; /* of the process, microseconds */
    bool first_start;
    bool is_usable;
} usable_cases[] = {
    {"new process, no key", &no_key_ops, 0, false, false},
    {"process of some seconds, no key", &no_key_ops, 5000000, false, false},
    {"process past a holder's use, within the pause", &no_key_ops, 8000000,
     false, false},
    {"older process, no key", &no_key_ops, 10000000, false, true},
    {"first start of the system", &no_key_ops, 0, true, true},
    {"key of an earlier process of the host", &own_key_ops, 0, false, true},
};

/* Guards against two nodes that order at once: the key is missing in a store
 * that came back from a copy before this process began, and its holder is cut
 * off and uses the lease on. */
static void
test_lease_after_unseen_return(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(usable_cases); i++) {
        const struct usable_case *row = &usable_cases[i];
        struct ch_kv kv = {.ops = row->ops};
        struct test_node *node = test_node_new("n1");
        uint64_t fence = 0;
        g_atomic_int_set(&lease_writes, 0);
        node->node.kv = &kv;
        node->settings.first_start = row->first_start;
        node->node.started_at = ch_clock_get_boottime() - row->age;
        struct ch_lease *lease =
            ch_lease_new(&node->node, "orders/a", HANDOVER_PAUSE_US);
        ch_lease_update(lease, true);
        await(&lease_writes, 1);
        g_usleep(HANDLED_US);
        g_test_message("%s", row->name);
        g_assert_cmpint(ch_lease_is_held(lease, &fence), ==, row->is_usable);
        ch_lease_free(lease);
        test_node_free(node);
    }
}

/* What the other lease holder received. */
static struct {
    int expected;   /* messages with the demand below */
    int unexpected; /* messages with its own demand, or loads of other holders'
                       engines */
} forwarded;

static void
record_forwarded(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__Demand *demand = frame->demand;
    (void)data;
    bool expected = demand->collected && demand->n_models == 1 &&
                    strcmp(demand->models[0], "m1") == 0 &&
                    demand->work[0] == 500 && demand->n_loads == 1 &&
                    strcmp(demand->loads[0]->upstream, "e2") == 0 &&
                    demand->loads[0]->running == 3;
    bool unexpected = false;
    for (size_t i = 0; i < demand->n_models; i++) {
        unexpected = unexpected || strcmp(demand->models[i], "m9") == 0;
    }
    for (size_t i = 0; i < demand->n_loads; i++) {
        unexpected =
            unexpected || strcmp(demand->loads[i]->upstream, "e1") == 0;
    }
    g_atomic_int_add(&forwarded.expected, expected ? 1 : 0);
    g_atomic_int_add(&forwarded.unexpected, unexpected ? 1 : 0);
}

/* Sends a demand for one model, and a load of each engine. */
static void
send_demand(struct test_node *from, const char *model, bool collected)
{
    Chestnuthitch__Wire__EngineLoad rows[2] = {
        WIRE(ENGINE_LOAD__INIT),
        WIRE(ENGINE_LOAD__INIT),
    };
    Chestnuthitch__Wire__EngineLoad *loads[] = {&rows[0], &rows[1]};
    Chestnuthitch__Wire__Demand demand = WIRE(DEMAND__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    char *models[] = {(char *)model};
    uint32_t work = 500;
    uint32_t backlog = 0;
    rows[0].upstream = (char *)"e1";
    rows[0].running = 2;
    rows[1].upstream = (char *)"e2";
    rows[1].running = 3;
    demand.n_models = demand.n_work = demand.n_backlog = 1;
    demand.models = models;
    demand.work = &work;
    demand.backlog = &backlog;
    demand.n_loads = 2;
    demand.loads = loads;
    demand.collected = collected;
    frame.body_case = WIRE(FRAME__BODY_DEMAND);
    frame.demand = &demand;
    ch_peers_send(from->node.peers, "n1", &frame);
}

/*
 * Load: hundreds of nodes with demand for models that every lease holder
 * decides on. Harm prevented: every node reports to every lease holder; or a
 * sum goes back and forth between lease holders, so that demand grows by
 * itself. The lease holder of a data centre forwards the demand of its nodes
 * once, and to each other holder only the loads of that holder's engines.
 */
static void
test_demand_forwarded_once(void)
{
    static const struct step status = {
        .sequence = 1, .fence = 5, .whole = true, .state = false};
    struct ch_kv kv = {.ops = &lease_kv_ops};
    struct test_node *node = test_node_new("n1");
    struct test_node *local_node = test_node_new("n2");
    struct test_node *remote_holder = test_node_new("n3");
    struct test_node *const others[] = {local_node, remote_holder};
    remote_holder->settings.data_centre = (char *)"b";
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    memset(&forwarded, 0, sizeof(forwarded));
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &recording_handlers, NULL);
    ch_controller_refresh(controller);
    ch_peers_set_handler(remote_holder->node.peers, WIRE(FRAME__BODY_DEMAND),
                         record_forwarded, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        ch_peers_start(others[i]->node.peers);
        set_known_node(others[i], node);
    }
    ch_peers_start(node->node.peers);
    set_known_nodes(node, others, G_N_ELEMENTS(others));
    ch_controller_start(controller);
    int64_t until = g_get_monotonic_time() + WAIT_TIMEOUT_US;
    while (g_atomic_int_get(&forwarded.expected) < 3 &&
           g_get_monotonic_time() < until) {
        send_status(remote_holder, &status, "b");
        send_demand(remote_holder, "m9", true);
        send_demand(local_node, "m1", false);
        g_usleep((gulong)50 * 1000);
    }
    g_assert_cmpint(g_atomic_int_get(&forwarded.expected), >=, 3);
    g_assert_cmpint(g_atomic_int_get(&forwarded.unexpected), ==, 0);
    stop_controller(node, controller);
    test_node_free(local_node);
    test_node_free(remote_holder);
}

/* ---- engines that start again under their names ---- */

/*
 * Guards against a status that names the process before a restart: nodes would
 * take what the new process holds for the old one's, and send it streams that
 * other software began.
 */
static void
test_reported_restart(void)
{
    struct ch_kv kv = {.ops = &lease_kv_ops};
    struct test_node *node = test_node_new("n1");
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &recording_handlers, NULL);
    ch_controller_refresh(controller);
    ch_peers_start(node->node.peers);
    set_known_node(node, node);
    reported_start = 5; /* the list says 1 */
    g_atomic_int_set(&seen.boot, 0);
    ch_controller_start(controller);
    await(&seen.boot, 5);
    g_assert_cmpint(g_atomic_int_get(&seen.boot), ==, 5);
    stop_controller(node, controller);
    reported_start = 0;
}

/* ---- limits of engines ---- */

enum {
    LIMIT_TEST_US = 3 * 1000 * 1000,
    /* One a second in that time, and a burst. */
    MAX_LIMITED_REPORTS = 6,
};

/* The reports that a lease holder asks of its engine in a while, with a limit
 * that the engine named (NULL: none). At least one comes, if not in that
 * while: permission for the first takes two seconds. */
static int
count_reports(const char *limit)
{
    struct ch_kv kv = {.ops = &lease_kv_ops};
    struct test_node *node = test_node_new("n1");
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    const struct ch_limit_listener listener = ch_limit_manager_get_listener(
        node->node.limits, g_quark_from_string("e1"),
        g_quark_from_string("r1"));
    const struct ch_limit_reading reading = ch_limit_read(limit);
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &recording_handlers, NULL);
    ch_controller_refresh(controller);
    ch_peers_start(node->node.peers);
    set_known_node(node, node);
    listener.handle(&listener, &reading, true,
                    ch_client_get_time(&node->client));
    g_atomic_int_set(&reports, 0);
    ch_controller_start(controller);
    g_usleep(LIMIT_TEST_US);
    int count = g_atomic_int_get(&reports);
    await(&reports, 1);
    g_assert_cmpint(g_atomic_int_get(&reports), >, 0);
    stop_controller(node, controller);
    return count;
}

/* Guards against a lease holder whose reports alone use up what an engine in
 * need takes from all nodes. */
static void
test_limited_reports(void)
{
    int unlimited = count_reports(NULL);
    int limited = count_reports("1");
    g_test_message("%d reports, %d with a limit", unlimited, limited);
    g_assert_cmpint(unlimited, >, MAX_LIMITED_REPORTS);
    g_assert_cmpint(limited, <=, MAX_LIMITED_REPORTS);
}

/* ---- lease holders that are cut off from the engines ---- */

enum {
    /* Until a lease that is handed over has been given up. */
    HANDOVER_US = 1500 * 1000,
    SHORT_LEASE_MS = 500,
};

struct handover_case {
    const char *name;
    int64_t cut_for; /* microseconds; 0: not cut off */
    bool knows_relay;
    bool hands_over;
};

static const struct handover_case handover_cases[] = {
    {"not-cut", 0, true, false},
    {"cut-for-long", INT64_C(10) * 1000 * 1000, true, true},
    {"cut-for-a-moment", INT64_C(10) * 1000, true, false},
    {"all-cut", INT64_C(10) * 1000 * 1000, false, false},
};

static int ended_leases; /* atomic */

static void
end_lease(struct ch_kv *kv, uint64_t lease,
          void (*done)(void *data, const struct ch_kv_result *answer),
          void *data)
{
    const struct ch_kv_result answer = {.code = CH_OK};
    (void)kv, (void)lease;
    g_atomic_int_inc(&ended_leases);
    done(data, &answer);
}

/* Guards against a lease holder that cannot reach the engines keeping the
 * lease, so that nobody orders them. */
static void
test_handover(gconstpointer data)
{
    const struct handover_case *row = data;
    struct ch_kv_ops ops = lease_kv_ops;
    struct ch_kv kv = {.ops = &ops};
    struct ch_path_manager paths = {.knows_relay = row->knows_relay};
    struct test_node *node = test_node_new("n1");
    ops.end_lease = end_lease;
    node->node.paths = &paths;
    node->settings.lease_ms = SHORT_LEASE_MS;
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &recording_handlers, NULL);
    ch_controller_refresh(controller);
    ch_peers_start(node->node.peers);
    set_known_node(node, node);
    g_atomic_int_set(&reports, 0);
    g_atomic_int_set(&ended_leases, 0);
    ch_controller_start(controller);
    await(&reports, 1);
    g_assert_cmpint(g_atomic_int_get(&reports), >=, 1);
    if (row->cut_for > 0) {
        int64_t since = ch_client_get_time(&node->client) - row->cut_for;
        __atomic_store_n(&paths.cut_since, since, __ATOMIC_SEQ_CST);
    }
    g_usleep(HANDOVER_US);
    g_assert_cmpint(g_atomic_int_get(&ended_leases), ==,
                    row->hands_over ? 1 : 0);
    stop_controller(node, controller);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/controller/reported-restart", test_reported_restart);
    g_test_add_func("/controller/told", test_engine_status);
    g_test_add_func("/controller/claims-when-listed",
                    test_lease_needs_host_list);
    g_test_add_func("/controller/lease-after-unseen-return",
                    test_lease_after_unseen_return);
    g_test_add_func("/controller/demand-passed-once",
                    test_demand_forwarded_once);
    g_test_add_func("/controller/limited-reports", test_limited_reports);
    for (size_t i = 0; i < G_N_ELEMENTS(handover_cases); i++) {
        g_autofree char *path =
            g_strconcat("/controller/handover/", handover_cases[i].name, NULL);
        g_test_add_data_func(path, &handover_cases[i], test_handover);
    }
    return g_test_run();
}
