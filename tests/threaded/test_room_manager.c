/* Several nodes that divide the room of one model over an in-memory table of
 * peers. */

#include "room/room_internal.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    NODES = 4,
    STEP_US = 20 * 1000,
    WORK_US = 40 * 1000, /* in each step: a node asks for 2 s per second */
    MAX_STEPS = 500,
    SETTLED_STEPS = 20,
};

static const double ENGINE_ROOM = 4;

struct network;

struct test_node {
    struct network *network;
    char name[8];
    struct ch_client client;
    struct ch_room *room;
    unsigned counter; /* index of the node that counts, in this node's view */
    unsigned side;    /* nodes hear those of the same side */
};

struct network {
    pthread_mutex_t lock; /* guards the views of the nodes */
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct test_node nodes[NODES];
    uint64_t last_id;
};

/* ---- peers ---- */

static char *
find_counter(void *data, GQuark service)
{
    struct test_node *node = data;
    (void)service;
    pthread_mutex_lock(&node->network->lock);
    unsigned counter = node->counter;
    pthread_mutex_unlock(&node->network->lock);
    return g_strdup(node->network->nodes[counter].name);
}

static size_t
count_listed(void *data)
{
    (void)data;
    return NODES;
}

static bool
hears(struct test_node *node, const struct test_node *other)
{
    pthread_mutex_lock(&node->network->lock);
    bool result = node->side == other->side;
    pthread_mutex_unlock(&node->network->lock);
    return result;
}

static GPtrArray *
list_live(void *data)
{
    struct test_node *node = data;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < NODES; i++) {
        struct test_node *other = &node->network->nodes[i];
        if (other != node && hears(node, other)) {
            g_ptr_array_add(names, g_strdup(other->name));
        }
    }
    return names;
}

static void
deliver(struct test_node *to, const Chestnuthitch__Wire__Frame *frame)
{
    if (frame->body_case == WIRE(FRAME__BODY_ROOM_REPORT)) {
        ch_room_handle_report(to->room, frame);
    }
    else {
        ch_room_handle_levels(to->room, frame);
    }
}

static void
send_frame(void *data, const char *to, Chestnuthitch__Wire__Frame *frame)
{
    struct test_node *node = data;
    frame->from = node->name;
    for (unsigned i = 0; i < NODES; i++) {
        struct test_node *other = &node->network->nodes[i];
        if (strcmp(other->name, to) == 0 && hears(node, other)) {
            deliver(other, frame);
        }
    }
}

/* ---- the nodes ---- */

static void
network_init(struct network *network)
{
    *network = (struct network){0};
    pthread_mutex_init(&network->lock, NULL);
    network->pool = ch_pool_new(3);
    network->timers = ch_timers_new(network->pool);
    for (unsigned i = 0; i < NODES; i++) {
        struct test_node *node = &network->nodes[i];
        g_snprintf(node->name, sizeof(node->name), "n%u", i);
        node->network = network;
        ch_client_init(&node->client, node->name);
        node->client.log_level = CH_LOG_ERR;
        node->client.metrics = ch_metrics_new();
    }
    for (unsigned i = 0; i < NODES; i++) {
        struct test_node *node = &network->nodes[i];
        const struct ch_room_peers peers = {
            .data = node,
            .self = node->name,
            .find_counter = find_counter,
            .count_listed = count_listed,
            .list_live = list_live,
            .send = send_frame,
        };
        node->room =
            ch_room_new(&node->client, network->timers, &peers, false);
        ch_room_enable_service(node->room, g_quark_from_string("engines"));
    }
    for (unsigned i = 0; i < NODES; i++) {
        ch_room_start(network->nodes[i].room);
    }
}

static void
network_clear(struct network *network)
{
    for (unsigned i = 0; i < NODES; i++) {
        ch_room_stop(network->nodes[i].room);
    }
    ch_timers_stop(network->timers);
    ch_pool_free(network->pool);
    ch_timers_free(network->timers);
    for (unsigned i = 0; i < NODES; i++) {
        ch_room_free(network->nodes[i].room);
        ch_metrics_free(network->nodes[i].client.metrics);
    }
    pthread_mutex_destroy(&network->lock);
}

static void
set_view(struct network *network, unsigned node, unsigned counter,
         unsigned side)
{
    pthread_mutex_lock(&network->lock);
    network->nodes[node].counter = counter;
    network->nodes[node].side = side;
    pthread_mutex_unlock(&network->lock);
}

/* Lets each node up to `count` ask for one request that no upstream can serve
 * in time. Returns the number of refusals. */
static unsigned
step(struct network *network, unsigned count, const char *service)
{
    unsigned refused = 0;
    for (unsigned i = 0; i < count; i++) {
        const struct ch_room_request request = {
            .id = ++network->last_id,
            .service = g_quark_from_string(service),
            .model = g_quark_from_string("m"),
            .work = WORK_US,
            .remaining = INT64_C(6) * G_USEC_PER_SEC,
        };
        int64_t retry_after = 0;
        struct ch_room *room = network->nodes[i].room;
        ch_room_record(room, &request);
        if (!ch_room_admit(room, &request, ENGINE_ROOM, &retry_after)) {
            g_assert_cmpint(retry_after, >, 0);
            g_assert_cmpint(retry_after, <=, INT64_C(2) * G_USEC_PER_SEC);
            refused++;
        }
    }
    g_usleep(STEP_US);
    return refused;
}

/* The members of the level that a node has; 0: it has none. */
static unsigned
get_members(struct test_node *node, double *room)
{
    const struct room_key key = {g_quark_from_string("engines"),
                                 g_quark_from_string("m")};
    unsigned members = 0;
    pthread_mutex_lock(&node->room->lock);
    const struct room_model *model =
        g_hash_table_lookup(node->room->models, &key);
    const struct room_level *level =
        model == NULL
            ? NULL
            : room_get_level(model, ch_client_get_time(&node->client));
    if (level != NULL) {
        members = level->members;
        *room = level->room;
    }
    pthread_mutex_unlock(&node->room->lock);
    return members;
}

/* Keeps up the load of the nodes up to `count` until the node's level has this
 * number of members. */
static void
await_members(struct network *network, unsigned count, unsigned node,
              unsigned members)
{
    double room = 0;
    for (unsigned i = 0; i < MAX_STEPS; i++) {
        if (get_members(&network->nodes[node], &room) == members) {
            return;
        }
        step(network, count, "engines");
    }
    g_test_message("node %u never had a level of %u members", node, members);
    g_test_fail();
}

static unsigned
count_refused(struct network *network, unsigned count, const char *service)
{
    unsigned refused = 0;
    for (unsigned i = 0; i < SETTLED_STEPS; i++) {
        refused += step(network, count, service);
    }
    return refused;
}

/* ---- tests ---- */

/* Guards against members that hear nothing, against refusals of services that
 * are off or while there is room, and against a manager that is not there. */
static void
test_levels(void)
{
    struct network network;
    int64_t retry_after = 0;
    const struct ch_room_request request = {.model = 1, .service = 1};
    network_init(&network);
    g_assert_cmpuint(count_refused(&network, NODES, "others"), ==, 0);
    await_members(&network, NODES, 0, NODES);
    await_members(&network, NODES, 1, NODES);
    /* 8 seconds of work per second where 3.8 are admitted; the bounds leave
     * room for steps that take longer on a busy machine. */
    unsigned refused = count_refused(&network, NODES, "engines");
    g_assert_cmpuint(refused, >, NODES * SETTLED_STEPS / 20);
    g_assert_cmpuint(refused, <, NODES * SETTLED_STEPS * 3 / 4);
    g_assert_cmpuint(ch_metrics_get_count(network.nodes[1].client.metrics,
                                          CH_COUNT_ROOM_REFUSED),
                     >, 0);
    /* One node alone asks for half of the room. */
    await_members(&network, 1, 0, 0);
    g_assert_cmpuint(count_refused(&network, 1, "engines"), ==, 0);
    network_clear(&network);
    ch_room_record(NULL, &request);
    g_assert_true(ch_room_admit(NULL, &request, 1, &retry_after));
}

/* Guards against levels that stay in force when nobody counts, and against a
 * successor that does not begin to count. */
static void
test_counter_lost(void)
{
    struct network network;
    network_init(&network);
    await_members(&network, NODES, 3, NODES);
    set_view(&network, 0, 0, 1);
    await_members(&network, NODES, 3, 0);
    g_assert_cmpuint(count_refused(&network, NODES, "engines"), <=,
                     SETTLED_STEPS); /* those of the node that counts */
    for (unsigned i = 1; i < NODES; i++) {
        set_view(&network, i, 1, 0);
    }
    await_members(&network, NODES, 3, NODES - 1);
    network_clear(&network);
}

/* Guards against the demand of a frozen node that takes room for good. */
static void
test_frozen_node(void)
{
    struct network network;
    network_init(&network);
    await_members(&network, NODES, 0, NODES);
    set_view(&network, 3, 0, 1);
    await_members(&network, NODES, 0, NODES - 1);
    set_view(&network, 3, 0, 0);
    await_members(&network, NODES, 3, NODES);
    network_clear(&network);
}

/* Guards against two nodes that each give out the whole room while they are
 * cut off from each other. */
static void
test_two_counters(void)
{
    struct network network;
    double room = 0;
    network_init(&network);
    for (unsigned i = 0; i < NODES; i++) {
        set_view(&network, i, i / 2 * 2, i / 2);
    }
    for (unsigned i = 0; i < NODES; i++) {
        await_members(&network, NODES, i, 2);
        g_assert_cmpuint(get_members(&network.nodes[i], &room), ==, 2);
        g_assert_cmpfloat_with_epsilon(room, ENGINE_ROOM / 2, 0.01);
    }
    network_clear(&network);
}

struct malformed_row {
    const char *from;
    const char *service;
    const char *model;
    size_t pairs;
    size_t teams;
    uint32_t value;
    bool is_valid;
};

static uint32_t ranks[128];
static uint32_t values[128];
static uint64_t teams[128];

/* Delivers levels to a node that has reported to n0; members: stated there. */
static void
deliver_levels(struct test_node *to, const struct malformed_row *row,
               const char *from, uint32_t members)
{
    Chestnuthitch__Wire__RoomLevel level = WIRE(ROOM_LEVEL__INIT);
    Chestnuthitch__Wire__RoomLevel *levels[] = {&level};
    Chestnuthitch__Wire__RoomLevels body = WIRE(ROOM_LEVELS__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    level.model = (char *)row->model;
    level.n_ranks = level.n_admitted = row->pairs;
    level.n_teams = row->teams;
    level.ranks = ranks;
    level.teams = teams;
    level.admitted = values;
    level.members = members;
    body.service = (char *)row->service;
    body.n_levels = 1;
    body.levels = levels;
    frame.from = (char *)from;
    frame.body_case = WIRE(FRAME__BODY_ROOM_LEVELS);
    frame.room_levels = &body;
    deliver(to, &frame);
}

static void
deliver_report(struct test_node *to, const struct malformed_row *row)
{
    Chestnuthitch__Wire__RoomDemand demand = WIRE(ROOM_DEMAND__INIT);
    Chestnuthitch__Wire__RoomDemand *demands[] = {&demand};
    Chestnuthitch__Wire__RoomReport body = WIRE(ROOM_REPORT__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    demand.model = (char *)row->model;
    demand.n_ranks = demand.n_work = row->pairs;
    demand.n_teams = row->teams;
    demand.ranks = ranks;
    demand.teams = teams;
    demand.work = values;
    body.service = (char *)row->service;
    body.n_demands = 1;
    body.demands = demands;
    frame.from = (char *)row->from;
    frame.body_case = WIRE(FRAME__BODY_ROOM_REPORT);
    frame.room_report = &body;
    deliver(to, &frame);
}

static guint
count_counts(struct test_node *node)
{
    pthread_mutex_lock(&node->room->lock);
    guint count = g_hash_table_size(node->room->counts);
    pthread_mutex_unlock(&node->room->lock);
    return count;
}

/* Guards against figures of a message that is malformed, or of a node that
 * does not count. */
static void
test_malformed(void)
{
    static const struct malformed_row rows[] = {
        {"n0", "engines", "m", 1, 1, 1000, true},
        {"n0", "engines", "m", 0, 0, 0, true},
        {"", "engines", "m", 1, 1, 1000, false},
        {"n0", "", "m", 1, 1, 1000, false},
        {"n0", "engines", "", 1, 1, 1000, false},
        {"n0", "engines", "m", 2, 1, 1000, false},
        {"n0", "engines", "m", 1, 2, 1000, false},
        {"n0", "engines", "m", 65, 65, 1000, false},
        {"n0", "engines", "m", 1, 1, UINT32_MAX, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        struct network network;
        double room = 0;
        g_test_message("row %zu", i);
        network_init(&network);
        step(&network, 2, "engines");
        for (unsigned j = 0;
             j < MAX_STEPS && count_counts(&network.nodes[0]) == 0; j++) {
            g_usleep(STEP_US);
        }
        g_usleep(2UL * ROOM_PERIOD_US); /* n1 has reported too */
        values[0] = rows[i].value;
        deliver_levels(&network.nodes[1], &rows[i], rows[i].from, 77);
        unsigned members = get_members(&network.nodes[1], &room);
        g_assert_cmpuint(members == 77, ==, rows[i].is_valid);
        deliver_levels(&network.nodes[1], &rows[i], "n3", 99);
        g_assert_cmpuint(get_members(&network.nodes[1], &room), !=, 99);
        deliver_report(&network.nodes[2], &rows[i]);
        g_assert_cmpuint(count_counts(&network.nodes[2]), ==,
                         rows[i].is_valid ? 1 : 0);
        network_clear(&network);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/room-manager/levels", test_levels);
    g_test_add_func("/room-manager/counter-lost", test_counter_lost);
    g_test_add_func("/room-manager/frozen-node", test_frozen_node);
    g_test_add_func("/room-manager/two-counters", test_two_counters);
    g_test_add_func("/room-manager/malformed", test_malformed);
    return g_test_run();
}
