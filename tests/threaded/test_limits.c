/* Nodes that keep the limit of an upstream together, over real connections on
 * loopback. */

#include "node/limit_manager.h"
#include "threaded/test_node.h"

enum {
    NODE_COUNT = 3,
    TIMEOUT_US = 10 * 1000 * 1000,
    POLL_PERIOD_US = 2 * 1000,
    TAKE_SECONDS = 2,
    LIMIT_PER_S = 20,
    BURST_CALLS = 12, /* two, and those of half a second */
};

#define LIMIT_TEXT "20"

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    char address[32];
};

/* What the nodes were told; atomic. */
static struct {
    int granted;
    int refused;
    int without_time; /* refused without a time to return */
} seen;

static struct test_node *
test_node_new(const char *name)
{
    struct test_node *node = g_new0(struct test_node, 1);
    test_node_set_up(&node->node, &node->client, &node->settings, name, 2);
    node->client.metrics = ch_metrics_new();
    node->node.timers = ch_timers_new(node->node.pool);
    (void)g_snprintf(node->address, sizeof(node->address), "127.0.0.1:%u",
                     ch_peers_get_port(node->node.peers));
    ch_limit_manager_start(node->node.limits);
    ch_peers_start(node->node.peers);
    return node;
}

static void
test_node_free(struct test_node *node)
{
    ch_limit_manager_stop(node->node.limits);
    ch_peers_stop(node->node.peers);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_timers_free(node->node.timers);
    ch_limit_manager_free(node->node.limits);
    ch_peers_free(node->node.peers);
    ch_metrics_free(node->client.metrics);
    g_free(node);
}

/* Starts nodes, and gives each the list of all. */
static void
start_nodes(struct test_node **nodes)
{
    static const char *const names[NODE_COUNT] = {"n1", "n2", "n3"};
    struct ch_host hosts[NODE_COUNT] = {{0}};
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        nodes[i] = test_node_new(names[i]);
        hosts[i] = (struct ch_host){
            .name = nodes[i]->settings.name,
            .kind = CH_HOST_ENTRY,
            .address = nodes[i]->address,
            .region = (char *)"r1",
            .data_centre = (char *)"a",
        };
    }
    const struct ch_host_list list = {.hosts = hosts, .count = NODE_COUNT};
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        ch_peers_update_list(nodes[i]->node.peers, &list);
    }
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        struct ch_peers_counts counts = {0};
        while (counts.live < NODE_COUNT) {
            ch_peers_count(nodes[i]->node.peers, "r1", &counts);
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);
            g_usleep(POLL_PERIOD_US);
        }
    }
}

static void
stop_nodes(struct test_node **nodes)
{
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        test_node_free(nodes[i]);
    }
}

static GQuark
get_upstream(void)
{
    return g_quark_from_string("e1");
}

/* A response that a node gets from the upstream to a request sent now. */
static void
respond(const struct test_node *node, const char *header, bool succeeded)
{
    const struct ch_limit_reading reading = ch_limit_read(header);
    const struct ch_limit_listener listener = ch_limit_manager_get_listener(
        node->node.limits, get_upstream(), g_quark_from_string("r1"));
    int64_t sent_at = ch_client_get_time(&node->client);
    listener.handle(&listener, &reading, succeeded, sent_at);
}

/* Waits until all nodes know of a limit, or of none. */
static void
await_limited(struct test_node **nodes, bool limited)
{
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        while (ch_limit_manager_is_limited(nodes[i]->node.limits,
                                           get_upstream()) != limited) {
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);
            g_usleep(POLL_PERIOD_US);
        }
    }
}

static void
count_result(void *data, bool granted, int64_t retry_after)
{
    (void)data;
    g_atomic_int_inc(granted ? &seen.granted : &seen.refused);
    if (!granted && retry_after <= 0) {
        g_atomic_int_inc(&seen.without_time);
    }
}

/* Asks at all nodes for a time. Returns the calls that were permitted. */
static int
take_for(struct test_node **nodes, int seconds)
{
    int asked = 0;
    g_atomic_int_set(&seen.granted, 0);
    g_atomic_int_set(&seen.refused, 0);
    int64_t until = g_get_monotonic_time() + (int64_t)seconds * G_USEC_PER_SEC;
    while (g_get_monotonic_time() < until) {
        for (unsigned i = 0; i < NODE_COUNT; i++) {
            ch_limit_manager_take(nodes[i]->node.limits, get_upstream(),
                                  CH_LIMITED_REQUEST, false, count_result,
                                  NULL);
            asked++;
        }
        g_usleep((gulong)5 * POLL_PERIOD_US);
    }
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (g_atomic_int_get(&seen.granted) + g_atomic_int_get(&seen.refused) <
           asked) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    return g_atomic_int_get(&seen.granted);
}

/* Guards against nodes that hear of a limit, or of its end, only in responses
 * of their own, and against calls of several nodes that add up to more. */
static void
test_together(void)
{
    struct test_node *nodes[NODE_COUNT];
    start_nodes(nodes);
    respond(nodes[1], LIMIT_TEXT, true);
    await_limited(nodes, true);
    int granted = take_for(nodes, TAKE_SECONDS);
    g_test_message("%d calls in %d s", granted, TAKE_SECONDS);
    g_assert_cmpint(granted, <=, LIMIT_PER_S * TAKE_SECONDS + BURST_CALLS);
    g_assert_cmpint(granted, >=, LIMIT_PER_S * TAKE_SECONDS / 2);
    g_assert_cmpint(g_atomic_int_get(&seen.without_time), ==, 0);
    respond(nodes[2], NULL, true);
    await_limited(nodes, false);
    stop_nodes(nodes);
}

/* Guards against responses that say nothing of the limit, or can't be read,
 * ending it. */
static void
test_no_end(void)
{
    static const struct {
        const char *header;
        bool succeeded;
    } rows[] = {{NULL, false}, {"nan", true}, {"", true}, {"-1", true}};
    struct test_node *nodes[NODE_COUNT];
    start_nodes(nodes);
    respond(nodes[0], "1.5", false);
    await_limited(nodes, true);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        respond(nodes[0], rows[i].header, rows[i].succeeded);
        g_assert_true(ch_limit_manager_is_limited(nodes[0]->node.limits,
                                                  get_upstream()));
    }
    stop_nodes(nodes);
}

/* Guards against the limit of a process being kept for the next one at the
 * same address. */
static void
test_new_boot(void)
{
    struct test_node *nodes[NODE_COUNT];
    start_nodes(nodes);
    respond(nodes[0], "1.5", true);
    await_limited(nodes, true);
    for (uint64_t boot_id = 1; boot_id <= 2; boot_id++) {
        for (unsigned i = 0; i < NODE_COUNT; i++) {
            ch_limit_manager_update_upstream(nodes[i]->node.limits,
                                             get_upstream(), boot_id);
        }
        await_limited(nodes, boot_id == 1);
    }
    stop_nodes(nodes);
}

/* Guards against a counting node that is gone: another one counts, and the
 * calls that were asked of it are refused with a time. */
static void
test_counting_node_lost(void)
{
    struct test_node *nodes[NODE_COUNT];
    start_nodes(nodes);
    respond(nodes[0], LIMIT_TEXT, true);
    await_limited(nodes, true);
    char *counter = ch_peers_find_upstream_home(
        nodes[0]->node.peers, ch_hash_string("e1"), "r1", NULL);
    unsigned lost = 0;
    while (g_strcmp0(nodes[lost]->settings.name, counter) != 0) {
        lost++;
    }
    g_free(counter);
    ch_peers_stop(nodes[lost]->node.peers);
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    struct test_node *rest[NODE_COUNT] = {nodes[(lost + 1) % NODE_COUNT],
                                          nodes[(lost + 2) % NODE_COUNT],
                                          nodes[(lost + 1) % NODE_COUNT]};
    int granted = 0;
    while (granted == 0) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        granted = take_for(rest, 1);
    }
    g_assert_cmpint(granted, <=, LIMIT_PER_S + BURST_CALLS);
    g_assert_cmpint(g_atomic_int_get(&seen.without_time), ==, 0);
    stop_nodes(nodes);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/limits/together", test_together);
    g_test_add_func("/limits/no-end", test_no_end);
    g_test_add_func("/limits/new-boot", test_new_boot);
    g_test_add_func("/limits/counting-node-lost", test_counting_node_lost);
    return g_test_run();
}
