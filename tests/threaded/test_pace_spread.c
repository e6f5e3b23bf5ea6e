/* How the pace of upstreams reaches the nodes of several data centres and
 * regions, over a table in memory. */

#include "pace/pace.h"

#include <string.h>

enum {
    NODES = 7,
    UPSTREAMS = 100, /* more than one message holds */
    MAX_MESSAGE_UPSTREAMS = 64,
    LIMIT_US = 5 * 1000 * 1000,
    STEP_US = 2 * 1000,
    LOAD_US = 1200 * 1000,
    TICK_US = 100 * 1000,
    FAR_TICK_US = 500 * 1000,
    QUIET_US = 200 * 1000, /* in which a message would be sent */
    BOOT = 5,
};

struct test_node {
    const char *name;
    const char *data_centre;
    const char *region;
    int is_dead;    /* atomic, like the members below */
    int aggregates; /* whatever others take for the aggregator */
    int handled;    /* calls of the handler */
    int sent[NODES];
    struct ch_client client;
    struct ch_pace_listener listeners[UPSTREAMS];
    struct ch_pace *pace;
};

/* The first node of a data centre is its aggregator. */
#define NODE(name_, centre_, region_)                                         \
    {                                                                         \
        .name = (name_), .data_centre = (centre_), .region = (region_)        \
    }
static struct test_node nodes[NODES] = {
    NODE("a0", "a", "r1"), NODE("a1", "a", "r1"), NODE("a2", "a", "r1"),
    NODE("b0", "b", "r1"), NODE("b1", "b", "r1"), NODE("c0", "c", "r2"),
    NODE("c1", "c", "r2"),
};
static struct ch_pool *pool;
static struct ch_timers *timers;

static char *
find_aggregator(void *data, const char *data_centre)
{
    const struct test_node *self = data;
    if (self != NULL && g_atomic_int_get(&self->aggregates)) {
        return g_strdup(self->name);
    }
    for (size_t i = 0; i < NODES; i++) {
        if (strcmp(nodes[i].data_centre, data_centre) == 0 &&
            !g_atomic_int_get(&nodes[i].is_dead)) {
            return g_strdup(nodes[i].name);
        }
    }
    return NULL;
}

static GPtrArray *
list_neighbours(void *data)
{
    const struct test_node *self = data;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < NODES; i++) {
        if (&nodes[i] != self && !g_atomic_int_get(&nodes[i].is_dead) &&
            strcmp(nodes[i].data_centre, self->data_centre) == 0) {
            g_ptr_array_add(names, g_strdup(nodes[i].name));
        }
    }
    return names;
}

static GPtrArray *
list_aggregators(void *data, bool near)
{
    static const char *const centres[][2] = {
        {"a", "r1"}, {"b", "r1"}, {"c", "r2"}};
    const struct test_node *self = data;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < G_N_ELEMENTS(centres); i++) {
        if (strcmp(centres[i][0], self->data_centre) != 0 &&
            (strcmp(centres[i][1], self->region) == 0) == near) {
            g_ptr_array_add(names, find_aggregator(NULL, centres[i][0]));
        }
    }
    return names;
}

static void
send_frame(void *data, const char *to, Chestnuthitch__Wire__Frame *frame)
{
    struct test_node *self = data;
    g_assert_cmpuint(frame->pace_readings->n_upstreams, >, 0);
    g_assert_cmpuint(frame->pace_readings->n_upstreams, <=,
                     MAX_MESSAGE_UPSTREAMS);
    frame->from = (char *)self->name;
    for (size_t i = 0; i < NODES; i++) {
        if (strcmp(nodes[i].name, to) == 0) {
            g_assert_true(&nodes[i] != self);
            g_atomic_int_inc(&self->sent[i]);
            if (!g_atomic_int_get(&nodes[i].is_dead)) {
                ch_pace_handle_readings(nodes[i].pace, frame);
            }
        }
    }
}

static void
count_report(void *data, GQuark upstream, const struct ch_pace_state *state)
{
    struct test_node *node = data;
    (void)upstream;
    g_assert_cmpuint(state->sample_count, <=, CH_PACE_SAMPLES);
    g_atomic_int_inc(&node->handled);
}

static void
discard_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

static GQuark
get_upstream(unsigned index)
{
    g_autofree char *name = g_strdup_printf("w%u", index);
    return g_quark_from_string(name);
}

static void
set_up(void)
{
    pool = ch_pool_new(4);
    timers = ch_timers_new(pool);
    for (size_t i = 0; i < NODES; i++) {
        struct test_node *node = &nodes[i];
        const struct ch_pace_peers peers = {node,
                                            node->name,
                                            node->data_centre,
                                            node->region,
                                            find_aggregator,
                                            list_neighbours,
                                            list_aggregators,
                                            send_frame};
        node->is_dead = 0;
        node->aggregates = 0;
        node->handled = 0;
        memset(node->sent, 0, sizeof(node->sent));
        ch_client_init(&node->client, node->name);
        node->client.log_write = discard_log;
        node->client.metrics = ch_metrics_new();
        node->pace = ch_pace_new(&node->client, pool, timers, &peers);
        ch_pace_set_handler(node->pace, count_report, node);
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            ch_pace_update_upstream(node->pace, get_upstream(j), BOOT);
            node->listeners[j] =
                ch_pace_get_listener(node->pace, get_upstream(j));
        }
    }
    for (size_t i = 0; i < NODES; i++) {
        ch_pace_start(nodes[i].pace);
    }
}

static void
tear_down(void)
{
    for (size_t i = 0; i < NODES; i++) {
        ch_pace_stop(nodes[i].pace);
    }
    ch_timers_stop(timers);
    ch_pool_free(pool);
    ch_timers_free(timers);
    for (size_t i = 0; i < NODES; i++) {
        ch_pace_free(nodes[i].pace);
        ch_metrics_free(nodes[i].client.metrics);
    }
}

static void
read_load(size_t node, unsigned upstream, const char *text)
{
    const struct ch_pace_listener *listener = &nodes[node].listeners[upstream];
    listener->handle(listener, text);
}

/* Waits until a node, which did not read it itself, knows a usual pace. */
static void
wait_for_usual(size_t node, unsigned upstream, double usual)
{
    int64_t limit = g_get_monotonic_time() + LIMIT_US;
    GQuark name = get_upstream(upstream);
    while (ch_pace_get_usual(nodes[node].pace, name) != usual) {
        g_assert_cmpint(g_get_monotonic_time(), <, limit);
        g_usleep(STEP_US);
    }
}

static uint64_t
count(size_t node, enum ch_counter counter)
{
    return ch_metrics_get_count(nodes[node].client.metrics, counter);
}

/* Guards against nodes that never learn the pace of an upstream which others
 * call, in any data centre; and against values that replace known ones. */
static void
test_all_know(void)
{
    set_up();
    read_load(1, 0, "3,0,12,250");
    for (size_t i = 0; i < NODES; i++) {
        wait_for_usual(i, 0, 2.5);
    }
    read_load(1, 0, "3,0,12,-100");
    read_load(1, 0, "3,0,12,100;3,0,12,100");
    read_load(1, 0, NULL);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, get_upstream(0)), ==,
                      2.5);
    g_assert_cmpuint(count(1, CH_COUNT_PACE_READ), ==, 1);
    g_assert_cmpuint(count(1, CH_COUNT_PACE_UNREADABLE), ==, 2);
    g_assert_cmpuint(count(1, CH_COUNT_PACE_TOLD), ==, 1);
    g_assert_cmpuint(count(6, CH_COUNT_PACE_HEARD), ==, 1);
    tear_down();
    g_assert_cmpint(nodes[1].handled, ==, 1);
    g_assert_cmpint(nodes[6].handled, ==, 1);
}

/* Guards against a load on the nodes that grows with the responses. */
static void
test_bounded_rate(void)
{
    set_up();
    int64_t begin = g_get_monotonic_time();
    for (unsigned i = 0; g_get_monotonic_time() - begin < LOAD_US; i++) {
        g_autofree char *text = g_strdup_printf("%u,0,12,100", i % 12);
        for (unsigned j = 0; j < UPSTREAMS; j++) {
            read_load(1, j, text);
        }
        g_usleep(STEP_US);
    }
    wait_for_usual(6, UPSTREAMS - 1, 1);
    tear_down();
    /* The first message is sent at once. */
    int64_t passed = g_get_monotonic_time() - begin;
    int near_bound = (int)(passed / TICK_US) + 1;
    int far_bound = (int)(passed / FAR_TICK_US) + 1;
    for (size_t i = 0; i < NODES; i++) {
        for (size_t j = 0; j < NODES; j++) {
            bool near = strcmp(nodes[i].region, nodes[j].region) == 0;
            g_assert_cmpint(nodes[i].sent[j], <=,
                            near ? near_bound : far_bound);
        }
    }
    g_assert_cmpint(nodes[1].sent[0], >, 0);
    g_assert_cmpint(nodes[0].sent[5], >, 0);
    g_assert_cmpint(nodes[1].sent[2], ==, 0);
    g_assert_cmpint(nodes[3].sent[0], ==, 0);
}

/* Guards against a pace that is no longer shared once the aggregator is lost.
 */
static void
test_lost_aggregator(void)
{
    set_up();
    read_load(1, 0, "3,0,12,250");
    wait_for_usual(2, 0, 2.5);
    g_atomic_int_set(&nodes[0].is_dead, 1);
    read_load(2, 1, "3,0,12,160");
    for (size_t i = 1; i < NODES; i++) {
        wait_for_usual(i, 1, 1.6);
    }
    tear_down();
}

/* Guards against a reading that circulates, and seems newer each time, while
 * two nodes take themselves for the aggregator. */
static void
test_two_aggregators(void)
{
    set_up();
    g_atomic_int_set(&nodes[0].aggregates, 1);
    g_atomic_int_set(&nodes[1].aggregates, 1);
    read_load(0, 0, "3,0,12,250");
    for (size_t i = 0; i < NODES; i++) {
        wait_for_usual(i, 0, 2.5);
    }
    /* Longer than until an unchanged reading is told again. */
    g_usleep(LOAD_US);
    tear_down();
    g_assert_cmpint(nodes[0].sent[1], ==, 1);
    g_assert_cmpint(nodes[1].sent[0], <=, 1);
}

static void
hear(size_t node, unsigned upstream, uint32_t percent, uint32_t age_ms,
     uint32_t running)
{
    Chestnuthitch__Wire__PaceReadings body =
        CHESTNUTHITCH__WIRE__PACE_READINGS__INIT;
    Chestnuthitch__Wire__Frame frame = CHESTNUTHITCH__WIRE__FRAME__INIT;
    uint64_t hash = ch_hash_string(g_quark_to_string(get_upstream(upstream)));
    uint32_t zero = 0;
    body.n_upstreams = body.n_running = body.n_waiting = body.n_slots = 1;
    body.n_percent = body.n_age_ms = 1;
    body.upstreams = &hash;
    body.running = &running;
    body.waiting = body.slots = &zero;
    body.percent = &percent;
    body.age_ms = &age_ms;
    frame.from = (char *)"x";
    frame.pace_readings = &body;
    ch_pace_handle_readings(nodes[node].pace, &frame);
    body.n_percent = 0; /* lists that do not match are left out */
    ch_pace_handle_readings(nodes[node].pace, &frame);
}

/* Guards against what other nodes cannot have read, and against the pace of
 * the process before a restart. */
static void
test_heard(void)
{
    set_up();
    GQuark name = get_upstream(0);
    hear(1, 0, 0, 10, 3);
    hear(1, 0, 100001, 10, 3);
    hear(1, 0, 250, 10001, 3);
    hear(1, 0, 250, UINT32_MAX, 3);
    hear(1, 0, 250, 10, UINT32_MAX);
    hear(1, UPSTREAMS, 250, 10, 3);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 1);
    g_assert_cmpuint(count(1, CH_COUNT_PACE_HEARD), ==, 0);
    hear(1, 0, 250, 10, 3);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 2.5);
    ch_pace_update_upstream(nodes[1].pace, name, BOOT);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 2.5);
    ch_pace_update_upstream(nodes[1].pace, name, BOOT + 1);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 1);
    hear(1, 0, 250, 1000, 3);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 1);
    read_load(1, 0, "3,0,12,60");
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 0.6);
    ch_pace_forget(nodes[1].pace, name);
    g_assert_cmpfloat(ch_pace_get_usual(nodes[1].pace, name), ==, 1);
    tear_down();
}

/* Guards against changes for deployments whose upstreams state no pace. */
static void
test_three_figures(void)
{
    set_up();
    read_load(1, 0, "3,1,12");
    g_usleep(QUIET_US);
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    ch_pace_write_status(nodes[1].pace, builder);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    JsonArray *rows =
        json_object_get_array_member(json_node_get_object(root), "pace");
    g_assert_cmpuint(json_array_get_length(rows), ==, 1);
    JsonObject *row = json_array_get_object_element(rows, 0);
    g_assert_cmpint(json_object_get_int_member(row, "waiting"), ==, 1);
    g_assert_false(json_object_has_member(row, "usual"));
    tear_down();
    g_assert_cmpint(nodes[1].sent[0], ==, 0);
    g_assert_cmpint(nodes[1].handled, ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pace/spread/all-know", test_all_know);
    g_test_add_func("/pace/spread/bounded-rate", test_bounded_rate);
    g_test_add_func("/pace/spread/lost-aggregator", test_lost_aggregator);
    g_test_add_func("/pace/spread/two-aggregators", test_two_aggregators);
    g_test_add_func("/pace/spread/heard", test_heard);
    g_test_add_func("/pace/spread/three-figures", test_three_figures);
    return g_test_run();
}
