/* Nodes that give a team's credit by rank, over real connections on loopback.
 */

#include "node/quota_manager.h"
#include "threaded/test_node.h"

enum {
    NODE_COUNT = 2,
    TIMEOUT_US = 10 * 1000 * 1000,
    POLL_PERIOD_US = 2 * 1000,
    SENT_ROUNDS = 1500, /* 3 s */
    RANKS = 2,
};

static const double costs[RANKS] = {60, 20};

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    char address[32];
};

static struct ch_config *config_in_force;
static int granted[RANKS]; /* atomic */
static int answered;       /* atomic */

/* Instead of a configuration that operators write. */
struct ch_config *
ch_config_manager_get_current(struct ch_config_manager *manager)
{
    (void)manager;
    return ch_config_ref(config_in_force);
}

void
ch_config_manager_note_revision(struct ch_config_manager *manager,
                                uint64_t revision, const char *from)
{
    (void)manager;
    (void)revision;
    (void)from;
}

static struct test_node *
test_node_new(const char *name, bool controls, bool without_ranks)
{
    struct test_node *node = g_new0(struct test_node, 1);
    test_node_set_up(&node->node, &node->client, &node->settings, name, 2);
    node->settings.quota_window_s = 8;
    node->settings.overload_control =
        controls ? CH_OVERLOAD_ON : CH_OVERLOAD_OFF;
    node->settings.disabled_features.quota_ranks = without_ranks;
    node->client.metrics = ch_metrics_new();
    node->node.timers = ch_timers_new(node->node.pool);
    node->node.quota = ch_quota_manager_new(&node->node);
    (void)g_snprintf(node->address, sizeof(node->address), "127.0.0.1:%u",
                     ch_peers_get_port(node->node.peers));
    ch_peers_start(node->node.peers);
    return node;
}

static void
test_node_free(struct test_node *node)
{
    ch_quota_manager_stop(node->node.quota);
    ch_peers_stop(node->node.peers);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_timers_free(node->node.timers);
    ch_quota_manager_free(node->node.quota);
    ch_limit_manager_free(node->node.limits);
    ch_peers_free(node->node.peers);
    ch_metrics_free(node->client.metrics);
    g_free(node);
}

/* Gives each node the list of all, and waits until they answer each other. */
static void
connect_nodes(struct test_node **nodes)
{
    struct ch_host hosts[NODE_COUNT] = {{0}};
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        hosts[i] = (struct ch_host){
            .name = nodes[i]->settings.name,
            .kind = CH_HOST_ENTRY,
            .address = nodes[i]->address,
            .region = (char *)"r1",
            .data_centre = (char *)"a",
        };
    }
    const struct ch_host_list list = {.hosts = hosts, .count = NODE_COUNT};
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        ch_peers_update_list(nodes[i]->node.peers, &list);
        ch_peers_confirm_listed(nodes[i]->node.peers);
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        struct ch_peers_counts counts = {0};
        while (counts.live < NODE_COUNT) {
            ch_peers_count(nodes[i]->node.peers, "r1", &counts);
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);
            g_usleep(POLL_PERIOD_US);
        }
        ch_quota_manager_start(nodes[i]->node.quota);
    }
}

static void
note_result(void *data, enum ch_code code, int64_t retry_after)
{
    g_assert_true(code == CH_OK || retry_after > 0);
    if (code == CH_OK) {
        g_atomic_int_inc((int *)data);
    }
    g_atomic_int_inc(&answered);
}

/* Nodes by their settings; each round sends a request of each rank at one node
 * every 2 ms, which is ten times the quota and three times for rank 0. */
static const struct {
    const char *name;
    bool controls[NODE_COUNT];
    bool without_ranks;
    bool ranked;
} cases[] = {
    {"ranks", {true, true}, false, true},
    {"overload is not controlled", {false, false}, false, false},
    {"switched off", {true, true}, true, false},
    {"one node knows no ranks", {true, false}, false, false},
};

/* Guards against the rank or the demand of callers being lost on the way to a
 * pool, and against ranks that are in force where they are switched off. */
static void
test_nodes(gconstpointer data)
{
    size_t row = GPOINTER_TO_SIZE(data);
    static const char *const names[NODE_COUNT] = {"n1", "n2"};
    struct test_node *nodes[NODE_COUNT];
    uint64_t ranked = 0;
    memset(granted, 0, sizeof(granted));
    g_atomic_int_set(&answered, 0);
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        nodes[i] = test_node_new(names[i], cases[row].controls[i],
                                 cases[row].without_ranks);
    }
    connect_nodes(nodes);
    for (unsigned i = 0; i < SENT_ROUNDS; i++) {
        for (uint32_t rank = 0; rank < RANKS; rank++) {
            ch_quota_manager_take(nodes[(i + rank) % NODE_COUNT]->node.quota,
                                  "t", rank, costs[rank], note_result,
                                  &granted[rank]);
        }
        g_usleep(POLL_PERIOD_US);
    }
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (g_atomic_int_get(&answered) < SENT_ROUNDS * RANKS) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        ranked += ch_metrics_get_count(nodes[i]->client.metrics,
                                       CH_COUNT_QUOTA_RANKED);
        test_node_free(nodes[i]);
    }
    g_test_message("granted %d and %d, refused by rank %u", granted[0],
                   granted[1], (unsigned)ranked);
    g_assert_cmpint(granted[0] + granted[1], >, 0);
    g_assert_true(!cases[row].ranked || ranked > 0);
    g_assert_true(!cases[row].ranked || granted[0] > granted[1]);
    bool some_ranks = cases[row].controls[0] && !cases[row].without_ranks;
    g_assert_true(some_ranks || ranked == 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    struct ch_declaration *declaration = g_new0(struct ch_declaration, 1);
    declaration->teams = g_new0(struct ch_team, 1);
    declaration->team_count = 1;
    declaration->teams[0] = (struct ch_team){
        .name = g_strdup("t"),
        .quota_per_s = 4000,
        .quota_burst = 1000,
    };
    config_in_force = ch_config_new(1, "w", "a", declaration);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path = g_strdup_printf("/quota/%s", cases[i].name);
        g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_nodes);
    }
    int result = g_test_run();
    ch_config_unref(config_in_force);
    return result;
}
