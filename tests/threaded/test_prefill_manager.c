/* Nodes that share the lines of engines over an in-memory table of peers. */

#include "prefill/prefill.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

#define MILLI INT64_C(1000)

enum {
    NODES = 3,
    ASK_LIMIT_MS = 100
};

struct network {
    pthread_mutex_t lock; /* guards done and got */
    bool done;
    struct ch_prefill_answer got;
    unsigned home;
    bool silent; /* the home answers nothing */
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct test_node {
        struct network *network;
        char name[8];
        struct ch_client client;
        struct ch_prefill *prefill;
        struct ch_prefill_answer replied; /* to a malformed question */
    } nodes[NODES];
    void (*handle_reply)(void *data, enum ch_code code,
                         const Chestnuthitch__Wire__Frame *reply);
    void *asked;
};

static char *
find_home(void *data, GQuark upstream, GQuark region)
{
    const struct test_node *node = data;
    (void)upstream;
    (void)region;
    return g_strdup(node->network->nodes[node->network->home].name);
}

static void
time_out(void *data)
{
    struct network *network = data;
    network->handle_reply(network->asked, CH_LATE, NULL);
}

static void
request(void *data, const char *to, Chestnuthitch__Wire__Frame *frame,
        int64_t limit,
        void (*done)(void *data, enum ch_code code,
                     const Chestnuthitch__Wire__Frame *reply),
        void *done_data)
{
    struct test_node *node = data;
    struct network *network = node->network;
    g_assert_cmpstr(to, ==, network->nodes[network->home].name);
    network->handle_reply = done;
    network->asked = done_data;
    frame->from = node->name;
    frame->id = 1;
    if (network->silent) {
        ch_timers_add(network->timers, limit, time_out, network);
    }
    else {
        ch_prefill_handle_ask(network->nodes[network->home].prefill, frame);
    }
}

static void
reply(void *data, const char *to, uint64_t id,
      Chestnuthitch__Wire__Frame *frame)
{
    struct test_node *node = data;
    (void)to;
    if (id != 0) {
        node->network->handle_reply(node->network->asked, CH_OK, frame);
    }
    node->replied = (struct ch_prefill_answer){frame->prefill_reply->granted,
                                               frame->prefill_reply->wait_us};
}

/* The time of all nodes stands still, so that waits are exact. */
static int64_t
stand_still(void *data)
{
    (void)data;
    return G_USEC_PER_SEC;
}

static void
network_init(struct network *network)
{
    *network = (struct network){0};
    pthread_mutex_init(&network->lock, NULL);
    network->pool = ch_pool_new(2);
    network->timers = ch_timers_new(network->pool);
    for (unsigned i = 0; i < NODES; i++) {
        struct test_node *node = &network->nodes[i];
        g_snprintf(node->name, sizeof(node->name), "n%u", i);
        node->network = network;
        ch_client_init(&node->client, node->name);
        node->client.now = stand_still;
        node->client.metrics = ch_metrics_new();
        const struct ch_prefill_peers peers = {node, node->name, find_home,
                                               request, reply};
        node->prefill = ch_prefill_new(&node->client, network->pool,
                                       network->timers, &peers);
    }
}

static void
network_clear(struct network *network)
{
    ch_timers_stop(network->timers);
    ch_pool_free(network->pool);
    ch_timers_free(network->timers);
    for (unsigned i = 0; i < NODES; i++) {
        ch_prefill_free(network->nodes[i].prefill);
        ch_metrics_free(network->nodes[i].client.metrics);
    }
    pthread_mutex_destroy(&network->lock);
}

static void
handle_done(void *data, bool granted, int64_t wait)
{
    struct network *network = data;
    pthread_mutex_lock(&network->lock);
    network->got = (struct ch_prefill_answer){granted, wait};
    network->done = true;
    pthread_mutex_unlock(&network->lock);
}

/* Asks for a prompt of 40 ms, of which 50 ms may come together and the others
 * in half of the time. Checks the answer in ms, and that a granted prompt is
 * not sent before its time. */
static void
expect(struct network *network, unsigned node, int64_t max_wait, bool granted,
       int64_t wait, int64_t least_ms)
{
    const struct ch_prefill_ask ask = {
        .upstream = g_quark_from_static_string("e"),
        .rule = {40 * MILLI, 50 * MILLI, 0.5},
        .max_wait = max_wait * MILLI,
    };
    int64_t begun = g_get_monotonic_time();
    network->done = false;
    ch_prefill_ask(network->nodes[node].prefill, &ask, handle_done, network);
    for (bool done = false; !done; g_usleep(MILLI)) {
        pthread_mutex_lock(&network->lock);
        done = network->done;
        pthread_mutex_unlock(&network->lock);
    }
    g_assert_cmpint(network->got.granted, ==, granted);
    g_assert_cmpint(network->got.wait, ==, wait * MILLI);
    g_assert_cmpint(g_get_monotonic_time() - begun, >=, least_ms * MILLI);
}

/* Guards against lines of their own at two nodes, a prompt that waits for a
 * home that is lost, and a new home that knows of a line elsewhere. */
static void
test_homes(void)
{
    static const uint64_t counts[] = {3, 1, 1}; /* granted, delayed, refused */
    struct network network;
    network_init(&network);
    expect(&network, 0, 500, true, 0, 0);
    expect(&network, 1, 500, true, 60, 60);
    expect(&network, 1, 100, false, 140, 0);
    expect(&network, 0, 500, true, 140, 140);
    network.silent = true;
    expect(&network, 1, 0, true, 0, ASK_LIMIT_MS);
    network.silent = false;
    network.home = 2;
    expect(&network, 1, 0, true, 0, 0);
    expect(&network, 0, 0, false, 60, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        g_assert_cmpuint(ch_metrics_get_count(network.nodes[1].client.metrics,
                                              CH_COUNT_PREFILL_GRANTED + i),
                         ==, counts[i]);
    }
    network_clear(&network);
}

/* Guards against waits and lines without end from the figures of a message,
 * and against lines of upstreams that the home does not know. */
static void
test_malformed(void)
{
    static const struct {
        Chestnuthitch__Wire__PrefillAsk ask;
        struct ch_prefill_answer want;
    } rows[] = {
#define ASK(upstream, ...)                                                    \
    {PROTOBUF_C_MESSAGE_INIT(&chestnuthitch__wire__prefill_ask__descriptor),  \
     (char *)(upstream), __VA_ARGS__}
        {ASK("e", UINT32_MAX, UINT32_MAX, UINT32_MAX, 0, false), {true, 0}},
        {ASK("e", 1, 1, 1, UINT32_MAX, false), {false, 10000 * MILLI}},
        {ASK("e", 1, 1, 1, UINT32_MAX, true), {true, 10000 * MILLI}},
        {ASK("e", 1, 0, 0, 0, false), {true, 0}},
        {ASK("e", 0, 0, 1000, 0, false), {true, 0}},
        {ASK("nobody knows this one", 1000, 0, 1, 0, false), {true, 0}},
        {ASK("nobody knows this one", 1000, 0, 1, 0, false), {true, 0}},
        {ASK("", 1000, 0, 1, 0, false), {true, 0}},
    };
    struct network network;
    network_init(&network);
    g_quark_from_static_string("e");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Chestnuthitch__Wire__PrefillAsk ask = rows[i].ask;
        Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
        frame.body_case = WIRE(FRAME__BODY_PREFILL_ASK);
        frame.prefill_ask = &ask;
        g_test_message("row %zu", i);
        ch_prefill_handle_ask(network.nodes[0].prefill, &frame);
        const struct ch_prefill_answer *got = &network.nodes[0].replied;
        g_assert_cmpint(got->granted, ==, rows[i].want.granted);
        g_assert_cmpint(got->wait, ==, rows[i].want.wait);
    }
    g_assert_cmpuint(g_quark_try_string("nobody knows this one"), ==, 0);
    network_clear(&network);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/prefill-manager/homes", test_homes);
    g_test_add_func("/prefill-manager/malformed", test_malformed);
    return g_test_run();
}
