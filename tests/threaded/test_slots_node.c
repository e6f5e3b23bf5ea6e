/* One node's part of the slots of brittle upstreams: which upstreams count as
 * brittle, and permission where this node counts. */

#include "slots/slots.h"

#include <pthread.h>

enum {
    ONSET_US = 1600 * 1000, /* until permission is needed, and a margin */
    SETTLE_US = 1100 * 1000,
    SLOTS = 2,
    MAX_WAIT_S = 10,
};

struct test_node {
    struct ch_client client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_slots *slots;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    unsigned granted;
    unsigned refused;
    int64_t last_retry_after;
};

/* ---- a node that is alone ---- */

static char *
find_counter(void *data, GQuark upstream, GQuark region)
{
    (void)data;
    (void)upstream;
    (void)region;
    return g_strdup("n1");
}

static size_t
count_listed(void *data)
{
    (void)data;
    return 1;
}

static GPtrArray *
list_live(void *data)
{
    (void)data;
    return g_ptr_array_new_with_free_func(g_free);
}

static void
update_upstream(struct test_node *node, const char *name, uint64_t boot_id)
{
    const struct ch_slots_upstream upstream = {
        .name = g_quark_from_string(name),
        .service = g_quark_from_string("engines"),
        .region = g_quark_from_string("here"),
        .boot_id = boot_id,
        .slots = SLOTS,
    };
    ch_slots_update_upstream(node->slots, &upstream);
}

static void
test_node_init(struct test_node *node)
{
    const struct ch_slots_peers peers = {
        .self = "n1",
        .find_counter = find_counter,
        .count_listed = count_listed,
        .list_live = list_live,
    };
    *node = (struct test_node){0};
    ch_client_init(&node->client, "n1");
    node->client.metrics = ch_metrics_new();
    node->pool = ch_pool_new(2);
    node->timers = ch_timers_new(node->pool);
    pthread_mutex_init(&node->lock, NULL);
    pthread_cond_init(&node->changed, NULL);
    node->slots =
        ch_slots_new(&node->client, node->pool, node->timers, &peers);
    ch_slots_start(node->slots);
    update_upstream(node, "a", 1);
    update_upstream(node, "b", 1);
}

static void
test_node_clear(struct test_node *node)
{
    ch_slots_stop(node->slots);
    ch_timers_stop(node->timers);
    ch_pool_free(node->pool);
    ch_timers_free(node->timers);
    ch_slots_free(node->slots);
    ch_metrics_free(node->client.metrics);
    pthread_cond_destroy(&node->changed);
    pthread_mutex_destroy(&node->lock);
}

/* A response that succeeded; header: NULL for none. */
static void
respond(struct test_node *node, const char *name, const char *header)
{
    const struct ch_limit_reading reading = ch_limit_read(header);
    ch_slots_handle_reading(node->slots, g_quark_from_string(name), &reading,
                            true, ch_client_get_time(&node->client));
    g_usleep(1000);
}

static bool
needs_permission(struct test_node *node, const char *name)
{
    return ch_slots_needs_permission(node->slots, g_quark_from_string(name));
}

/* ---- which upstreams are brittle ---- */

/* Guards against calls of all nodes at once to an upstream that has had none
 * since its service became brittle, or that has just started again, and
 * against a brittle state that does not end. */
static void
test_service(void)
{
    struct test_node node;
    test_node_init(&node);
    g_assert_true(
        needs_permission(&node, "a")); /* it may be known elsewhere */
    respond(&node, "a", NULL);
    respond(&node, "b", NULL);
    g_assert_false(needs_permission(&node, "a"));
    respond(&node, "a", "3");
    g_assert_false(needs_permission(&node, "a")); /* calls go on at first */
    g_usleep(ONSET_US);
    g_assert_true(needs_permission(&node, "a"));
    g_assert_true(needs_permission(&node, "b"));
    respond(&node, "b", NULL);
    g_assert_false(needs_permission(&node, "b"));
    update_upstream(&node, "b", 2);
    g_assert_true(needs_permission(&node, "b"));
    respond(&node, "a", NULL);
    g_assert_false(needs_permission(&node, "a"));
    test_node_clear(&node);
}

/* ---- permission ---- */

static void
handle_permission(void *data, bool granted, int64_t retry_after)
{
    struct test_node *node = data;
    pthread_mutex_lock(&node->lock);
    node->granted += granted ? 1 : 0;
    node->refused += granted ? 0 : 1;
    node->last_retry_after = retry_after;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->lock);
}

static void
ask(struct test_node *node, int64_t wait)
{
    ch_slots_ask(node->slots, g_quark_from_string("a"), 0, wait,
                 handle_permission, node);
}

static void
wait_for(struct test_node *node, unsigned granted, unsigned refused)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += MAX_WAIT_S;
    pthread_mutex_lock(&node->lock);
    while (node->granted < granted || node->refused < refused) {
        g_assert_cmpint(
            pthread_cond_timedwait(&node->changed, &node->lock, &until), ==,
            0);
    }
    g_assert_cmpuint(node->granted, ==, granted);
    g_assert_cmpuint(node->refused, ==, refused);
    pthread_mutex_unlock(&node->lock);
}

/* Guards against more calls than the upstream has slots, a call that waits
 * though a slot is free, and a refusal without a time. */
static void
test_permission(void)
{
    struct test_node node;
    test_node_init(&node);
    respond(&node, "a", "0");
    ch_slots_hold(node.slots, g_quark_from_string("a"), 0);
    g_usleep(ONSET_US + SETTLE_US);
    ask(&node, 0); /* the counter has heard of the call in progress */
    wait_for(&node, 1, 0);
    ask(&node, 0);
    wait_for(&node, 1, 1);
    g_assert_cmpint(node.last_retry_after, >, 0);
    ask(&node, MAX_WAIT_S * (int64_t)G_USEC_PER_SEC);
    ch_slots_release(node.slots, g_quark_from_string("a"), 0, CH_SLOTS_ENDED);
    wait_for(&node, 2, 1);
    ask(&node, MAX_WAIT_S * (int64_t)G_USEC_PER_SEC);
    respond(&node, "a", NULL); /* no longer brittle */
    wait_for(&node, 3, 1);
    test_node_clear(&node);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slots-node/service", test_service);
    g_test_add_func("/slots-node/permission", test_permission);
    return g_test_run();
}
