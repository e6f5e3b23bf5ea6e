/* What a node takes of what holders of rights tell it of engines. */

#include "node/controller_internal.h"

#include <semaphore.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    MOST_STEPS = 5,
    WAIT_US = 3 * 1000 * 1000,
    /* Long enough for a message that is not to come. */
    SETTLE_US = 150 * 1000,
};

/* ---- the rest of the node, faked ---- */

struct ch_config *
ch_config_keeper_current(struct ch_config_keeper *keeper)
{
    (void)keeper;
    return NULL;
}

void
ch_config_keeper_learn(struct ch_config_keeper *keeper, uint64_t revision,
                       const char *from)
{
    (void)keeper, (void)revision, (void)from;
}

void
ch_roster_set_orderers(struct ch_roster *roster,
                       void (*names)(void *data, GPtrArray *names), void *data)
{
    (void)roster, (void)names, (void)data;
}

void
ch_roster_refresh(struct ch_roster *roster)
{
    (void)roster;
}

/* Two engines: e1 in the data centre a, e2 in b. */
void
ch_roster_each(struct ch_roster *roster,
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
            .boot = 1,
            .batch = 64,
        };
        each(data, &host);
    }
}

/* No engine answers. */
static void
no_report(struct ch_upstream *upstream,
          void (*done)(void *data, enum ch_code code,
                       struct ch_report *report),
          void *data)
{
    (void)upstream;
    done(data, CH_UPSTREAM_CONNECT, NULL);
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
        .report = no_report,
    };
    struct ch_upstream *upstream = g_new0(struct ch_upstream, 1);
    (void)client, (void)http, (void)host, (void)call_limit;
    upstream->ops = &ops;
    return upstream;
}

static void
no_log(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

/* ---- a node, and one that tells it ---- */

struct end {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
};

/* What reached the router and the teller. */
static struct {
    int messages;
    int states;
    int pulls;
    uint32_t running; /* of e1, by the last loads; 0 at first */
} seen;

static void
take_told(void *data, const struct ch_engine_told *engine)
{
    (void)data, (void)engine;
    g_atomic_int_inc(&seen.states);
}

static void
take_loads(void *data, const GArray *loads)
{
    (void)data;
    for (guint i = 0; i < loads->len; i++) {
        g_atomic_int_set(
            (int *)&seen.running,
            (int)g_array_index(loads, struct ch_engine_load, i).running);
    }
}

static void
take_all(void *data)
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
no_used(void *data, GPtrArray *out)
{
    (void)data, (void)out;
}

static void
take_pull(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    (void)data, (void)frame;
    g_atomic_int_inc(&seen.pulls);
}

static struct end *
end_new(const char *name)
{
    static const struct ch_dialect dialect = {.upstream_new = fake_upstream};
    struct end *end = g_new0(struct end, 1);
    struct ch_error error = {0};
    ch_client_init(&end->client, name);
    end->client.log_write = no_log;
    end->settings.name = (char *)name;
    end->settings.region = (char *)"r1";
    end->settings.data_centre = (char *)"a";
    end->settings.peers = (char *)"127.0.0.1:0";
    end->settings.peer_silent_ms = 600;
    end->settings.idle_connection_ms = 60000;
    end->settings.lease_ms = 3000;
    end->node.client = &end->client;
    end->node.settings = &end->settings;
    end->node.dialect = &dialect;
    end->node.incarnation = 1;
    end->node.pool = ch_pool_new(1);
    end->node.peers = ch_peers_new(&end->node, &error);
    g_assert_nonnull(end->node.peers);
    return end;
}

/* Tells an end of some others. */
static void
introduce_all(struct end *end, struct end *const *others, size_t count)
{
    struct ch_host hosts[2] = {{0}};
    struct ch_host_list list = {.hosts = hosts, .count = count};
    g_assert_cmpuint(count, <=, G_N_ELEMENTS(hosts));
    for (size_t i = 0; i < count; i++) {
        hosts[i] = (struct ch_host){
            .name = others[i]->settings.name,
            .kind = CH_HOST_ENTRY,
            .address = g_strdup_printf("127.0.0.1:%u",
                                       ch_peers_port(others[i]->node.peers)),
            .region = others[i]->settings.region,
            .data_centre = others[i]->settings.data_centre,
        };
    }
    ch_peers_list(end->node.peers, &list);
    for (size_t i = 0; i < count; i++) {
        g_free(hosts[i].address);
    }
}

static void
introduce(struct end *end, struct end *other)
{
    introduce_all(end, &other, 1);
}

static void
end_free(struct end *end)
{
    ch_peers_stop(end->node.peers);
    ch_pool_free(end->node.pool);
    ch_peers_free(end->node.peers);
    g_free(end);
}

/* Ends a node whose controller has begun. */
static void
stop_controller(struct end *node, struct ch_controller *controller)
{
    ch_controller_stop(controller);
    ch_peers_stop(node->node.peers);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_controller_free(controller);
    ch_timers_free(node->node.timers);
    ch_peers_free(node->node.peers);
    g_free(node);
}

/* ---- messages ---- */

/* One message of the teller. */
struct step {
    uint64_t sequence; /* 0: of a node of an earlier version */
    uint64_t fence;
    bool whole;
    bool state;    /* e1's state, as number 1 */
    uint32_t load; /* e1's, by its number; 0: not told */
};

static const struct told_case {
    const char *name;
    struct step steps[MOST_STEPS];
    int messages; /* that count */
    int states;
    int pulls;
    uint32_t running;
} told_cases[] = {
    {"in order",
     {{1, 5, true, true, 0}, {2, 5, false, false, 7}, {3, 5, false, true, 0}},
     3,
     2,
     0,
     2},
    {"the first that is heard is not whole",
     {{8, 5, false, true, 0}, {9, 5, true, true, 0}},
     2,
     2,
     1,
     2},
    {"some were missed",
     {{1, 5, true, true, 0}, {5, 5, false, false, 7}},
     2,
     1,
     1,
     7},
    {"one was overtaken by the next",
     {{1, 5, true, true, 0},
      {3, 5, false, false, 9},
      {2, 5, false, true, 0},
      {4, 5, false, false, 7}},
     4,
     2,
     0,
     7},
    {"one was missed, as the next but one shows",
     {{1, 5, true, true, 0}, {3, 5, false, false, 9}, {4, 5, false, false, 7}},
     3,
     1,
     1,
     7},
    {"a load of an engine that was not told",
     {{1, 5, true, false, 0}, {2, 5, false, false, 7}},
     2,
     0,
     1,
     0},
    {"a holder that lost its right",
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

/* Sends one message of the holder of a data centre. */
static void
tell_of(struct end *teller, const struct step *step, const char *centre)
{
    Chestnuthitch__Wire__Right right = WIRE(RIGHT__INIT);
    Chestnuthitch__Wire__Right *rights[] = {&right};
    Chestnuthitch__Wire__EngineState state = WIRE(ENGINE_STATE__INIT);
    Chestnuthitch__Wire__EngineState *states[] = {&state};
    Chestnuthitch__Wire__Engines engines = WIRE(ENGINES__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    uint32_t number = 1;
    uint32_t running = step->load;
    uint32_t unread = 0;
    right.data_centre = (char *)centre;
    right.fence = step->fence;
    right.holder = teller->settings.name;
    state.upstream = (char *)"e1";
    state.boot = 1;
    state.number = 1;
    state.running = 2;
    engines.data_centre = right.data_centre;
    engines.fence = step->fence;
    engines.whole = step->whole;
    engines.sequence = step->sequence;
    engines.n_rights = step->sequence != 0 ? 1 : 0;
    engines.rights = rights;
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
    ch_peers_send(teller->node.peers, "n1", &frame);
}

/* Waits until a count is reached, for a while at most. */
static void
await(const int *count, int wanted)
{
    int64_t until = g_get_monotonic_time() + WAIT_US;
    while (g_atomic_int_get(count) < wanted &&
           g_get_monotonic_time() < until) {
        g_usleep(1000);
    }
}

/* Plays one row. */
static void
play(const struct told_case *test)
{
    static const struct ch_controller_handlers handlers = {
        .told = take_told,
        .loads = take_loads,
        .told_all = take_all,
    };
    struct end *node = end_new("n1");
    struct end *teller = end_new("n2");
    memset(&seen, 0, sizeof(seen));
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &handlers, NULL);
    ch_controller_changed(controller);
    ch_peers_handle(teller->node.peers, WIRE(FRAME__BODY_ENGINES_PULL),
                    take_pull, NULL);
    ch_peers_start(node->node.peers);
    ch_peers_start(teller->node.peers);
    introduce(node, teller);
    introduce(teller, node);
    for (int i = 0; i < MOST_STEPS && test->steps[i].fence != 0; i++) {
        tell_of(teller, &test->steps[i], "a");
        await(&seen.messages, i + 1);
    }
    await(&seen.pulls, test->pulls);
    g_usleep(SETTLE_US);
    g_test_message("%s", test->name);
    g_assert_cmpint(g_atomic_int_get(&seen.messages), ==, test->messages);
    g_assert_cmpint(g_atomic_int_get(&seen.states), ==, test->states);
    g_assert_cmpint(g_atomic_int_get(&seen.pulls), ==, test->pulls);
    g_assert_cmpint(g_atomic_int_get((int *)&seen.running), ==,
                    (int)test->running);
    end_free(teller);
    ch_peers_stop(node->node.peers);
    ch_pool_free(node->node.pool);
    ch_controller_free(controller);
    ch_peers_free(node->node.peers);
    g_free(node);
}

/*
 * Load: loads of engines told by number, in messages of which some are missed
 * or overtaken.  Harm prevented: a node that missed an engine's state goes on
 * with what it held before, or takes a load for another engine's; a node that
 * missed nothing asks for all again.
 */
static void
test_told(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(told_cases); i++) {
        play(&told_cases[i]);
    }
}

/* ---- the right to order ---- */

static int claims;

/* Counts those that look for a right, and answers nothing. */
static void
count_look(struct ch_kv *kv, const char *key,
           void (*done)(void *data, const struct ch_kv_answer *answer),
           void *data)
{
    const struct ch_kv_answer answer = {.code = CH_KV_UNREACHABLE};
    (void)kv, (void)key;
    g_atomic_int_inc(&claims);
    done(data, &answer);
}

/*
 * Guards against rights that go to whichever node starts first: before it knew
 * the others each found itself the first in order.  A small host had the right
 * then, and when all were restarted at once nobody could order engines until
 * its lease had run out.
 */
static void
test_claims_when_listed(void)
{
    static const struct ch_kv_ops ops = {.get = count_look};
    static const struct ch_controller_handlers handlers = {
        .told = take_told,
        .loads = take_loads,
        .told_all = take_all,
        .demand = no_demand,
        .used = no_used,
    };
    struct ch_kv kv = {.ops = &ops};
    struct end *node = end_new("n1");
    const struct ch_host_list nobody = {0};
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    claims = 0;
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &handlers, NULL);
    ch_peers_start(node->node.peers);
    ch_controller_changed(controller);
    ch_controller_start(controller);
    g_usleep((gulong)3 * SETTLE_US);
    g_assert_cmpint(g_atomic_int_get(&claims), ==, 0);
    ch_peers_list(node->node.peers, &nobody);
    await(&claims, 1);
    g_assert_cmpint(g_atomic_int_get(&claims), >=, 1);
    stop_controller(node, controller);
}

/* ---- what requests ask for ---- */

/* A service that gives each lease and takes each write. */
static void
get_none(struct ch_kv *kv, const char *key,
         void (*done)(void *data, const struct ch_kv_answer *answer),
         void *data)
{
    const struct ch_kv_answer answer = {.code = CH_KV_MISSING};
    (void)kv, (void)key;
    done(data, &answer);
}

static void
give_lease(struct ch_kv *kv, int64_t ttl,
           void (*done)(void *data, const struct ch_kv_answer *answer),
           void *data)
{
    const struct ch_kv_answer answer = {.code = CH_OK, .revision = 7};
    (void)kv, (void)ttl;
    done(data, &answer);
}

static void
take_write(struct ch_kv *kv, const char *key, const void *value, size_t length,
           uint64_t revision, uint64_t lease,
           void (*done)(void *data, const struct ch_kv_answer *answer),
           void *data)
{
    const struct ch_kv_answer answer = {.code = CH_OK, .revision = 9};
    (void)kv, (void)value, (void)length, (void)revision, (void)lease;
    const struct ch_kv_answer other = {.code = CH_KV_CONFLICT, .revision = 3};
    done(data, strcmp(key, "orders/a") == 0 ? &answer : &other);
}

static void
renew_lease(struct ch_kv *kv, uint64_t lease,
            void (*done)(void *data, const struct ch_kv_answer *answer),
            void *data)
{
    const struct ch_kv_answer answer = {.code = CH_OK};
    (void)kv, (void)lease;
    done(data, &answer);
}

/* What reached the other holder. */
static struct {
    int right; /* messages with what is asked for below */
    int wrong; /* with what it told itself, or of others' engines */
} passed;

static void
take_passed(void *data, const Chestnuthitch__Wire__Frame *frame)
{
    const Chestnuthitch__Wire__Demand *demand = frame->demand;
    (void)data;
    bool right = demand->collected && demand->n_models == 1 &&
                 strcmp(demand->models[0], "m1") == 0 &&
                 demand->work[0] == 500 && demand->n_loads == 1 &&
                 strcmp(demand->loads[0]->upstream, "e2") == 0 &&
                 demand->loads[0]->running == 3;
    bool wrong = false;
    for (size_t i = 0; i < demand->n_models; i++) {
        wrong = wrong || strcmp(demand->models[i], "m9") == 0;
    }
    for (size_t i = 0; i < demand->n_loads; i++) {
        wrong = wrong || strcmp(demand->loads[i]->upstream, "e1") == 0;
    }
    g_atomic_int_add(&passed.right, right ? 1 : 0);
    g_atomic_int_add(&passed.wrong, wrong ? 1 : 0);
}

/* Sends a demand for one model, and a load of each engine. */
static void
ask_for(struct end *from, const char *model, bool collected)
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
 * Load: hundreds of nodes whose requests ask for models that every holder
 * decides upon.  Harm prevented: each of them tells each holder; or a sum that
 * is told on and on between holders, so that demand grows by itself.  The
 * holder of a data centre passes on what its nodes told, once, and to each
 * holder the loads of that one's engines alone.
 */
static void
test_demand_passed_once(void)
{
    static const struct ch_kv_ops ops = {
        .get = get_none,
        .lease = give_lease,
        .put_leased = take_write,
        .renew = renew_lease,
    };
    static const struct ch_controller_handlers handlers = {
        .told = take_told,
        .loads = take_loads,
        .told_all = take_all,
        .demand = no_demand,
        .used = no_used,
    };
    static const struct step word = {
        .sequence = 1, .fence = 5, .whole = true, .state = false};
    struct ch_kv kv = {.ops = &ops};
    struct end *node = end_new("n1");
    struct end *near = end_new("n2");
    struct end *holder = end_new("n3");
    struct end *const others[] = {near, holder};
    holder->settings.data_centre = (char *)"b";
    node->node.kv = &kv;
    node->node.timers = ch_timers_new(node->node.pool);
    memset(&passed, 0, sizeof(passed));
    struct ch_controller *controller =
        ch_controller_new(&node->node, NULL, &handlers, NULL);
    ch_controller_changed(controller);
    ch_peers_handle(holder->node.peers, WIRE(FRAME__BODY_DEMAND), take_passed,
                    NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        ch_peers_start(others[i]->node.peers);
        introduce(others[i], node);
    }
    ch_peers_start(node->node.peers);
    introduce_all(node, others, G_N_ELEMENTS(others));
    ch_controller_start(controller);
    int64_t until = g_get_monotonic_time() + WAIT_US;
    while (g_atomic_int_get(&passed.right) < 3 &&
           g_get_monotonic_time() < until) {
        tell_of(holder, &word, "b");
        ask_for(holder, "m9", true);
        ask_for(near, "m1", false);
        g_usleep((gulong)50 * 1000);
    }
    g_assert_cmpint(g_atomic_int_get(&passed.right), >=, 3);
    g_assert_cmpint(g_atomic_int_get(&passed.wrong), ==, 0);
    stop_controller(node, controller);
    end_free(near);
    end_free(holder);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/controller/told", test_told);
    g_test_add_func("/controller/claims-when-listed", test_claims_when_listed);
    g_test_add_func("/controller/demand-passed-once", test_demand_passed_once);
    return g_test_run();
}
