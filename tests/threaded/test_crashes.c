/* Nodes that exchange crash observations over real connections on loopback. */

#include "node/crash_guard.h"
#include "threaded/test_node.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    NODE_COUNT = 3,
    TIMEOUT_US = 10 * 1000 * 1000,
    POLL_PERIOD_US = 5 * 1000,
    /* How long to wait for something that must not happen. */
    QUIET_PERIOD_US = 300 * 1000,
};

struct test_node {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    char address[32];
};

/* Creates a node with its pool, timers, peers and crash guard. */
static struct test_node *
test_node_new(const char *name)
{
    struct test_node *node = g_new0(struct test_node, 1);
    test_node_set_up(&node->node, &node->client, &node->settings, name, 2);
    node->client.metrics = ch_metrics_new();
    node->settings.crash_limit = 3;
    node->settings.max_crash_requests = 64;
    node->settings.crash_retention_s = 3600;
    node->node.timers = ch_timers_new(node->node.pool);
    node->node.crash_guard = ch_crash_guard_new(&node->node);
    (void)g_snprintf(node->address, sizeof(node->address), "127.0.0.1:%u",
                     ch_peers_get_port(node->node.peers));
    ch_peers_start(node->node.peers);
    ch_crash_guard_start(node->node.crash_guard);
    return node;
}

/* Stops and frees a node. */
static void
test_node_free(struct test_node *node)
{
    ch_crash_guard_stop(node->node.crash_guard);
    ch_peers_stop(node->node.peers);
    ch_timers_stop(node->node.timers);
    ch_pool_free(node->node.pool);
    ch_timers_free(node->node.timers);
    ch_crash_guard_free(node->node.crash_guard);
    ch_peers_free(node->node.peers);
    ch_limit_manager_free(node->node.limits);
    ch_metrics_free(node->client.metrics);
    g_free(node);
}

/* Gives each of the nodes the list of all. */
static void
send_host_list(struct test_node **nodes, unsigned count)
{
    struct ch_host *hosts = g_new0(struct ch_host, count);
    for (unsigned i = 0; i < count; i++) {
        hosts[i].name = nodes[i]->settings.name;
        hosts[i].kind = CH_HOST_ENTRY;
        hosts[i].address = nodes[i]->address;
        hosts[i].region = (char *)"r1";
        hosts[i].data_centre = (char *)"a";
    }
    struct ch_host_list list = {.hosts = hosts, .count = count};
    for (unsigned i = 0; i < count; i++) {
        ch_peers_update_list(nodes[i]->node.peers, &list);
    }
    g_free(hosts);
}

/* Starts three nodes that know each other. */
static void
start_three_nodes(struct test_node **nodes)
{
    static const char *const names[NODE_COUNT] = {"n1", "n2", "n3"};
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        nodes[i] = test_node_new(names[i]);
    }
    send_host_list(nodes, NODE_COUNT);
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
        while (!ch_crash_guard_is_ready(nodes[i]->node.crash_guard)) {
            g_assert_cmpint(g_get_monotonic_time(), <, deadline);
            g_usleep(POLL_PERIOD_US);
        }
    }
}

/* Returns a request; the strings stay the caller's. */
static struct ch_request
make_request(const char *body)
{
    return (struct ch_request){
        .path = (char *)"/p",
        .caller = (char *)"c",
        .owner = (char *)"a\tc",
        .body = (char *)body,
        .body_length = strlen(body),
        .fingerprint = ch_hash_string(body),
    };
}

/* Reports to a node that a call of the request was interrupted, and that the
 * upstream refuses connections. */
static void
report_crash(struct test_node *node, const struct ch_request *request,
             const char *upstream)
{
    const struct ch_grant grant = {.upstream = g_quark_from_string(upstream),
                                   .boot_id = 1};
    ch_crash_guard_record_interrupted(node->node.crash_guard, request, &grant,
                                      true);
    ch_crash_guard_record_refused(node->node.crash_guard, grant.upstream);
}

/* Waits until a node bars the request (expected), or no longer does (not
 * expected). */
static void
wait_for_barred_state(struct test_node *node, const struct ch_request *request,
                      bool expected)
{
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (ch_crash_guard_is_barred(node->node.crash_guard, request) !=
           expected) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
}

/* The sum and the greatest of a number in a node's status, over all requests
 * and parts. */
struct status_figures {
    unsigned sum;
    unsigned most;
};

static struct status_figures
read_status(struct test_node *node, const char *member)
{
    struct status_figures figures = {0};
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    ch_crash_guard_write_status(node->node.crash_guard, builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    JsonArray *suspects = json_object_get_array_member(
        json_node_get_object(root), "crash_suspects");
    for (guint i = 0; i < json_array_get_length(suspects); i++) {
        unsigned value = (unsigned)json_object_get_int_member(
            json_array_get_object_element(suspects, i), member);
        figures.sum += value;
        figures.most = MAX(figures.most, value);
    }
    json_node_unref(root);
    g_object_unref(builder);
    return figures;
}

/* Guards against a request that continues to crash upstreams because each node
 * saw only one of its crashes: all nodes must bar the request once they have
 * received three. */
static void
test_three_nodes(void)
{
    static const char *const upstreams[NODE_COUNT] = {"u1", "u2", "u3"};
    struct test_node *nodes[NODE_COUNT];
    start_three_nodes(nodes);
    const struct ch_request request = make_request("crashes");
    const struct ch_request other = make_request("other");
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        g_assert_false(
            ch_crash_guard_is_barred(nodes[i]->node.crash_guard, &request));
        report_crash(nodes[i], &request, upstreams[i]);
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        wait_for_barred_state(nodes[i], &request, true);
        g_assert_false(
            ch_crash_guard_is_barred(nodes[i]->node.crash_guard, &other));
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        test_node_free(nodes[i]);
    }
}

/* Guards against planned ends that count as crashes: of upstreams that are
 * draining, and of those that were removed from the list before. */
static void
test_planned_ends(void)
{
    static const char *const upstreams[] = {"u1", "u2", "u3"};
    struct test_node *nodes[NODE_COUNT];
    start_three_nodes(nodes);
    const struct ch_request request = make_request("long");
    struct ch_crash_listed_upstream listed[] = {
        {g_quark_from_string("u1"), 1, true},
        {g_quark_from_string("u3"), 1, false},
    };
    ch_crash_guard_update_upstreams(nodes[0]->node.crash_guard, listed,
                                    G_N_ELEMENTS(listed));
    for (unsigned i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        report_crash(nodes[0], &request, upstreams[i]);
    }
    g_assert_cmpuint(read_status(nodes[0], "crashes").sum, ==, 1);
    g_assert_false(
        ch_crash_guard_is_barred(nodes[0]->node.crash_guard, &request));
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        test_node_free(nodes[i]);
    }
}

/* Guards against a single node that waits for other nodes before it accepts
 * requests. */
static void
test_single_node(void)
{
    struct test_node *node = test_node_new("n1");
    send_host_list(&node, 1);
    int64_t deadline = g_get_monotonic_time() + G_USEC_PER_SEC;
    while (!ch_crash_guard_is_ready(node->node.crash_guard)) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    test_node_free(node);
}

/* Guards against one crash that counts once for each node that saw it. */
static void
test_one_crash_seen_by_all(void)
{
    struct test_node *nodes[NODE_COUNT];
    start_three_nodes(nodes);
    const struct ch_request request = make_request("popular");
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        report_crash(nodes[i], &request, "u1");
    }
    g_usleep(QUIET_PERIOD_US);
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        g_assert_false(
            ch_crash_guard_is_barred(nodes[i]->node.crash_guard, &request));
        test_node_free(nodes[i]);
    }
}

/* Guards against a new node that sends requests which the others have barred,
 * and against a release at one node that does not reach the others. */
static void
test_join_and_release(void)
{
    static const char *const upstreams[] = {"u1", "u2", "u3"};
    struct test_node *nodes[NODE_COUNT + 1];
    struct ch_digest digest;
    start_three_nodes(nodes);
    const struct ch_request request = make_request("crashes");
    for (unsigned i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        report_crash(nodes[0], &request, upstreams[i]);
    }
    nodes[NODE_COUNT] = test_node_new("n4");
    send_host_list(nodes, NODE_COUNT + 1);
    wait_for_barred_state(nodes[NODE_COUNT], &request, true);
    const struct ch_digest_part parts[] = {
        {"", 0}, {"/p", 2}, {"a\tc", 3}, {request.body, request.body_length}};
    digest = ch_digest_compute(parts, G_N_ELEMENTS(parts));
    g_assert_true(ch_crash_guard_release(nodes[1]->node.crash_guard, &digest));
    for (unsigned i = 0; i <= NODE_COUNT; i++) {
        wait_for_barred_state(nodes[i], &request, false);
        test_node_free(nodes[i]);
    }
}

/* Guards against a request that stays suspected on some nodes although it was
 * answered through another node. */
static void
test_answered_elsewhere(void)
{
    static const char *const upstreams[] = {"u1", "u2", "u3"};
    struct test_node *nodes[NODE_COUNT];
    start_three_nodes(nodes);
    const struct ch_request request = make_request("popular");
    for (unsigned i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        report_crash(nodes[0], &request, upstreams[i]);
    }
    wait_for_barred_state(nodes[2], &request, true);
    wait_for_barred_state(nodes[1], &request, true);
    ch_crash_guard_record_complete(nodes[1]->node.crash_guard, &request);
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        wait_for_barred_state(nodes[i], &request, false);
        test_node_free(nodes[i]);
    }
}

/* Sends a message with one observation, given twice, to n1. */
static void
send_observation(struct test_node *from, const char *upstream,
                 size_t digest_length, uint64_t boot, uint32_t age_ms)
{
    uint8_t digest[CH_DIGEST_BYTES + 1] = {1};
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Crashes crashes = WIRE(CRASHES__INIT);
    Chestnuthitch__Wire__CrashRun run = WIRE(CRASH_RUN__INIT);
    Chestnuthitch__Wire__CrashRun *rows[] = {&run, &run};
    run.digest = (ProtobufCBinaryData){digest_length, digest};
    run.upstream = (char *)upstream;
    run.boot = boot;
    run.age_ms = age_ms;
    run.fresh = true;
    crashes.n_runs = G_N_ELEMENTS(rows);
    crashes.runs = rows;
    crashes.n_sound = 1;
    crashes.sound = &(ProtobufCBinaryData){3, digest};
    frame.body_case = WIRE(FRAME__BODY_CRASHES);
    frame.crashes = &crashes;
    ch_peers_send(from->node.peers, "n1", &frame);
}

/* Guards against damaged messages between nodes: what is no valid observation
 * is ignored, what is repeated counts once, and an age beyond the clock does
 * no harm. */
static void
test_messages(void)
{
    struct test_node *nodes[NODE_COUNT];
    start_three_nodes(nodes);
    send_observation(nodes[1], "u1", 0, 1, 0);
    send_observation(nodes[1], "u1", CH_DIGEST_BYTES - 1, 1, 0);
    send_observation(nodes[1], "u1", CH_DIGEST_BYTES + 1, 1, 0);
    send_observation(nodes[1], "", CH_DIGEST_BYTES, 1, 0);
    g_usleep(QUIET_PERIOD_US);
    g_assert_cmpuint(read_status(nodes[0], "crashes").sum, ==, 0);
    send_observation(nodes[1], "u1", CH_DIGEST_BYTES, 1, 0);
    send_observation(nodes[1], "u1", CH_DIGEST_BYTES, 1, 5);
    send_observation(nodes[1], "u1", CH_DIGEST_BYTES, 2, 1);
    int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
    while (read_status(nodes[0], "crashes").sum != 2) {
        g_assert_cmpint(g_get_monotonic_time(), <, deadline);
        g_usleep(POLL_PERIOD_US);
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        test_node_free(nodes[i]);
    }
}

/* ---- parts of prompts ---- */

enum {
    POPULAR_PART = 1,
    CRASHING_PART,
    OWN_PART,
    POPULAR_COUNT = 40, /* responses that began, at one node */
};

/* A request of a team, with these parts in its prompt. */
static struct ch_request
make_request_with_parts(const char *body, const char *team,
                        const struct ch_prompt_part *parts, size_t count)
{
    struct ch_request request = make_request(body);
    request.team = (char *)team;
    request.info.parts = parts;
    request.info.part_count = count;
    return request;
}

/* Guards against a part that has to crash upstreams for each team anew, and
 * against a popular part that is barred with it because its responses began at
 * another node. */
static void
test_parts_of_teams(void)
{
    static const char *const upstreams[NODE_COUNT] = {"u1", "u2", "u3"};
    static const char *const teams[NODE_COUNT] = {"a", "b", NULL};
    static const char *const bodies[NODE_COUNT] = {"one", "two", "three"};
    static const struct ch_prompt_part crashing[] = {
        {POPULAR_PART, 10}, {CRASHING_PART, 10}, {OWN_PART, 10}};
    static const struct ch_prompt_part harmless[] = {{POPULAR_PART, 10},
                                                     {CRASHING_PART, 10}};
    struct test_node *nodes[NODE_COUNT];
    start_three_nodes(nodes);
    /* The crashing part as the last one is the request's own. */
    const struct ch_request popular =
        make_request_with_parts("popular", "d", harmless, 2);
    const struct ch_request other =
        make_request_with_parts("four", "d", crashing, 3);
    for (unsigned i = 0; i < POPULAR_COUNT; i++) {
        ch_crash_guard_record_begun(nodes[0]->node.crash_guard, &popular);
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        const struct ch_request request =
            make_request_with_parts(bodies[i], teams[i], crashing, 3);
        g_assert_false(
            ch_crash_guard_is_barred(nodes[i]->node.crash_guard, &other));
        report_crash(nodes[i], &request, upstreams[i]);
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        wait_for_barred_state(nodes[i], &other, true);
        g_assert_true(ch_crash_guard_is_barred_by_part(
            nodes[i]->node.crash_guard, &other));
        g_assert_false(
            ch_crash_guard_is_barred(nodes[i]->node.crash_guard, &popular));
        g_assert_false(ch_crash_guard_has_suspected_part(
            nodes[i]->node.crash_guard, &popular));
    }
    for (unsigned i = 0; i < NODE_COUNT; i++) {
        test_node_free(nodes[i]);
    }
}

/* Guards against a part that is cleared by responses which are counted more
 * than once: a node that sends all that it knows told the sum of all nodes as
 * its own. One response begins at each node before and after another node
 * joins. */
static void
test_begun_counted_once(void)
{
    static const struct ch_prompt_part parts[] = {{CRASHING_PART, 10},
                                                  {OWN_PART, 10}};
    struct test_node *nodes[NODE_COUNT + 1];
    const struct ch_request request =
        make_request_with_parts("one", "a", parts, 2);
    start_three_nodes(nodes);
    report_crash(nodes[0], &request, "u1");
    for (unsigned round = 1; round <= 2; round++) {
        for (unsigned i = 0; i < NODE_COUNT; i++) {
            ch_crash_guard_record_begun(nodes[i]->node.crash_guard, &request);
        }
        int64_t deadline = g_get_monotonic_time() + TIMEOUT_US;
        for (unsigned i = 0; i < NODE_COUNT + round - 1; i++) {
            while (read_status(nodes[i], "begun").most < round * NODE_COUNT) {
                g_assert_cmpint(g_get_monotonic_time(), <, deadline);
                g_usleep(POLL_PERIOD_US);
            }
        }
        if (round == 1) {
            nodes[NODE_COUNT] = test_node_new("n4");
            send_host_list(nodes, NODE_COUNT + 1);
            while (read_status(nodes[NODE_COUNT], "begun").most == 0) {
                g_assert_cmpint(g_get_monotonic_time(), <, deadline);
                g_usleep(POLL_PERIOD_US);
            }
        }
    }
    const unsigned begun = 2 * NODE_COUNT;
    for (unsigned i = 0; i <= NODE_COUNT; i++) {
        g_assert_cmpuint(read_status(nodes[i], "begun").most, ==, begun);
        test_node_free(nodes[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crashes/three-nodes", test_three_nodes);
    g_test_add_func("/crashes/planned-ends", test_planned_ends);
    g_test_add_func("/crashes/alone", test_single_node);
    g_test_add_func("/crashes/one-crash-seen-by-all",
                    test_one_crash_seen_by_all);
    g_test_add_func("/crashes/joins-and-release", test_join_and_release);
    g_test_add_func("/crashes/answered-elsewhere", test_answered_elsewhere);
    g_test_add_func("/crashes/messages", test_messages);
    g_test_add_func("/crashes/parts-of-teams", test_parts_of_teams);
    g_test_add_func("/crashes/begun-counted-once", test_begun_counted_once);
    return g_test_run();
}
