/* Nodes that tell one another of requests on upstreams that crashed, over real
 * connections on loopback. */

#include "node/crash_keeper.h"

#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    NODES = 3,
    PATIENCE_US = 10 * 1000 * 1000,
    LOOK_US = 5 * 1000,
    /* For what must not happen. */
    QUIET_US = 300 * 1000,
};

struct end {
    struct ch_client client;
    struct ch_settings settings;
    struct ch_node node;
    char address[32];
};

/* Drops log lines: the tests look at outcomes. */
static void
no_log(void *data, const char *line, size_t length)
{
    (void)data;
    (void)line;
    (void)length;
}

/* A node with its pool, timers, peers and keeper. */
static struct end *
end_new(const char *name)
{
    struct end *end = g_new0(struct end, 1);
    struct ch_error error = {0};
    ch_client_init(&end->client, name);
    end->client.log_write = no_log;
    end->client.metrics = ch_metrics_new();
    end->settings.name = (char *)name;
    end->settings.region = (char *)"r1";
    end->settings.data_centre = (char *)"a";
    end->settings.peers = (char *)"127.0.0.1:0";
    end->settings.peer_silent_ms = 600;
    end->settings.idle_connection_ms = 60000;
    end->settings.crashes = 3;
    end->settings.crash_requests = 64;
    end->settings.crash_keep_s = 3600;
    end->node.client = &end->client;
    end->node.settings = &end->settings;
    end->node.incarnation = 1;
    end->node.pool = ch_pool_new(2);
    end->node.timers = ch_timers_new(end->node.pool);
    end->node.peers = ch_peers_new(&end->node, &error);
    g_assert_nonnull(end->node.peers);
    end->node.crashes = ch_crash_keeper_new(&end->node);
    (void)g_snprintf(end->address, sizeof(end->address), "127.0.0.1:%u",
                     ch_peers_port(end->node.peers));
    ch_peers_start(end->node.peers);
    ch_crash_keeper_start(end->node.crashes);
    return end;
}

/* Ends a node. */
static void
end_free(struct end *end)
{
    ch_crash_keeper_stop(end->node.crashes);
    ch_peers_stop(end->node.peers);
    ch_timers_stop(end->node.timers);
    ch_pool_free(end->node.pool);
    ch_timers_free(end->node.timers);
    ch_crash_keeper_free(end->node.crashes);
    ch_peers_free(end->node.peers);
    ch_metrics_free(end->client.metrics);
    g_free(end);
}

/* Tells each of the nodes who there is. */
static void
introduce(struct end **ends, unsigned count)
{
    struct ch_host *hosts = g_new0(struct ch_host, count);
    for (unsigned i = 0; i < count; i++) {
        hosts[i].name = ends[i]->settings.name;
        hosts[i].kind = CH_HOST_ENTRY;
        hosts[i].address = ends[i]->address;
        hosts[i].region = (char *)"r1";
        hosts[i].data_centre = (char *)"a";
    }
    struct ch_host_list list = {.hosts = hosts, .count = count};
    for (unsigned i = 0; i < count; i++) {
        ch_peers_list(ends[i]->node.peers, &list);
    }
    g_free(hosts);
}

/* Three nodes that know one another. */
static void
start_three(struct end **ends)
{
    static const char *const names[NODES] = {"n1", "n2", "n3"};
    for (unsigned i = 0; i < NODES; i++) {
        ends[i] = end_new(names[i]);
    }
    introduce(ends, NODES);
    for (unsigned i = 0; i < NODES; i++) {
        int64_t until = g_get_monotonic_time() + PATIENCE_US;
        while (!ch_crash_keeper_known(ends[i]->node.crashes)) {
            g_assert_cmpint(g_get_monotonic_time(), <, until);
            g_usleep(LOOK_US);
        }
    }
}

/* A request; the strings are the test's. */
static struct ch_request
request_of(const char *body)
{
    return (struct ch_request){
        .path = (char *)"/p",
        .caller = (char *)"c",
        .body = (char *)body,
        .length = strlen(body),
        .fingerprint = ch_hash_string(body),
    };
}

/* A node's call of the request was cut, and the upstream refuses others. */
static void
crash(struct end *end, const struct ch_request *request, const char *upstream)
{
    const struct ch_grant grant = {.upstream = g_quark_from_string(upstream),
                                   .boot = 1};
    ch_crash_keeper_cut(end->node.crashes, request, &grant, true);
    ch_crash_keeper_refused(end->node.crashes, grant.upstream);
}

/* Waits until a node bars the request, or lets it go. */
static void
wait_bars(struct end *end, const struct ch_request *request, bool bars)
{
    int64_t until = g_get_monotonic_time() + PATIENCE_US;
    while (ch_crash_keeper_bars(end->node.crashes, request) != bars) {
        g_assert_cmpint(g_get_monotonic_time(), <, until);
        g_usleep(LOOK_US);
    }
}

/* The crashes in a node's status, over all requests. */
static unsigned
count_crashes(struct end *end)
{
    unsigned crashes = 0;
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    ch_crash_keeper_status(end->node.crashes, builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    JsonArray *suspects = json_object_get_array_member(
        json_node_get_object(root), "crash_suspects");
    for (guint i = 0; i < json_array_get_length(suspects); i++) {
        crashes += (unsigned)json_object_get_int_member(
            json_array_get_object_element(suspects, i), "crashes");
    }
    json_node_unref(root);
    g_object_unref(builder);
    return crashes;
}

/* Guards against a request that goes on to crash upstreams because each node
 * saw one of its crashes: all bar it once they have heard of three. */
static void
test_three_nodes(void)
{
    static const char *const upstreams[NODES] = {"u1", "u2", "u3"};
    struct end *ends[NODES];
    start_three(ends);
    const struct ch_request request = request_of("crashes");
    const struct ch_request other = request_of("other");
    for (unsigned i = 0; i < NODES; i++) {
        g_assert_false(ch_crash_keeper_bars(ends[i]->node.crashes, &request));
        crash(ends[i], &request, upstreams[i]);
    }
    for (unsigned i = 0; i < NODES; i++) {
        wait_bars(ends[i], &request, true);
        g_assert_false(ch_crash_keeper_bars(ends[i]->node.crashes, &other));
    }
    for (unsigned i = 0; i < NODES; i++) {
        end_free(ends[i]);
    }
}

/* Guards against planned ends that are taken for crashes: of upstreams that
 * leave, and of those that the list dropped before their end. */
static void
test_planned_ends(void)
{
    static const char *const upstreams[] = {"u1", "u2", "u3"};
    struct end *ends[NODES];
    start_three(ends);
    const struct ch_request request = request_of("long");
    struct ch_crash_listed_upstream listed[] = {
        {g_quark_from_string("u1"), 1, true},
        {g_quark_from_string("u3"), 1, false},
    };
    ch_crash_keeper_listed(ends[0]->node.crashes, listed,
                           G_N_ELEMENTS(listed));
    for (unsigned i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        crash(ends[0], &request, upstreams[i]);
    }
    g_assert_cmpuint(count_crashes(ends[0]), ==, 1);
    g_assert_false(ch_crash_keeper_bars(ends[0]->node.crashes, &request));
    for (unsigned i = 0; i < NODES; i++) {
        end_free(ends[i]);
    }
}

/* Guards against a node that is alone and waits for others before it takes
 * requests. */
static void
test_alone(void)
{
    struct end *end = end_new("n1");
    introduce(&end, 1);
    int64_t until = g_get_monotonic_time() + G_USEC_PER_SEC;
    while (!ch_crash_keeper_known(end->node.crashes)) {
        g_assert_cmpint(g_get_monotonic_time(), <, until);
        g_usleep(LOOK_US);
    }
    end_free(end);
}

/* Guards against the same crash being counted once for each node that saw
 * it. */
static void
test_one_crash_seen_by_all(void)
{
    struct end *ends[NODES];
    start_three(ends);
    const struct ch_request request = request_of("popular");
    for (unsigned i = 0; i < NODES; i++) {
        crash(ends[i], &request, "u1");
    }
    g_usleep(QUIET_US);
    for (unsigned i = 0; i < NODES; i++) {
        g_assert_false(ch_crash_keeper_bars(ends[i]->node.crashes, &request));
        end_free(ends[i]);
    }
}

/* Guards against a node that starts and sends what the others hold back; and
 * what an operator releases at one node goes on at all. */
static void
test_joins_and_release(void)
{
    static const char *const upstreams[] = {"u1", "u2", "u3"};
    struct end *ends[NODES + 1];
    struct ch_digest digest;
    start_three(ends);
    const struct ch_request request = request_of("crashes");
    for (unsigned i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        crash(ends[0], &request, upstreams[i]);
    }
    ends[NODES] = end_new("n4");
    introduce(ends, NODES + 1);
    wait_bars(ends[NODES], &request, true);
    const struct ch_digest_part parts[] = {
        {"", 0}, {"/p", 2}, {"c", 1}, {request.body, request.length}};
    digest = ch_digest_compute(parts, G_N_ELEMENTS(parts));
    g_assert_true(ch_crash_keeper_release(ends[1]->node.crashes, &digest));
    for (unsigned i = 0; i <= NODES; i++) {
        wait_bars(ends[i], &request, false);
        end_free(ends[i]);
    }
}

/* Guards against a request that stays suspected on some nodes although it was
 * answered at another. */
static void
test_answered_elsewhere(void)
{
    static const char *const upstreams[] = {"u1", "u2", "u3"};
    struct end *ends[NODES];
    start_three(ends);
    const struct ch_request request = request_of("popular");
    for (unsigned i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        crash(ends[0], &request, upstreams[i]);
    }
    wait_bars(ends[2], &request, true);
    wait_bars(ends[1], &request, true);
    ch_crash_keeper_whole(ends[1]->node.crashes, &request);
    for (unsigned i = 0; i < NODES; i++) {
        wait_bars(ends[i], &request, false);
        end_free(ends[i]);
    }
}

/* A message with one piece of evidence from n2 to n1, sent so often. */
static void
send_run(struct end *from, const char *upstream, size_t digest_length,
         uint64_t boot, uint32_t age_ms)
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

/* Guards against damaged messages between nodes: what is no evidence is left
 * out, what is repeated counts once, an age beyond the clock does no harm. */
static void
test_messages(void)
{
    struct end *ends[NODES];
    start_three(ends);
    send_run(ends[1], "u1", 0, 1, 0);
    send_run(ends[1], "u1", CH_DIGEST_BYTES - 1, 1, 0);
    send_run(ends[1], "u1", CH_DIGEST_BYTES + 1, 1, 0);
    send_run(ends[1], "", CH_DIGEST_BYTES, 1, 0);
    g_usleep(QUIET_US);
    g_assert_cmpuint(count_crashes(ends[0]), ==, 0);
    send_run(ends[1], "u1", CH_DIGEST_BYTES, 1, 0);
    send_run(ends[1], "u1", CH_DIGEST_BYTES, 1, 5);
    send_run(ends[1], "u1", CH_DIGEST_BYTES, 2, 1);
    int64_t until = g_get_monotonic_time() + PATIENCE_US;
    while (count_crashes(ends[0]) != 2) {
        g_assert_cmpint(g_get_monotonic_time(), <, until);
        g_usleep(LOOK_US);
    }
    for (unsigned i = 0; i < NODES; i++) {
        end_free(ends[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/crashes/three-nodes", test_three_nodes);
    g_test_add_func("/crashes/planned-ends", test_planned_ends);
    g_test_add_func("/crashes/alone", test_alone);
    g_test_add_func("/crashes/one-crash-seen-by-all",
                    test_one_crash_seen_by_all);
    g_test_add_func("/crashes/joins-and-release", test_joins_and_release);
    g_test_add_func("/crashes/answered-elsewhere", test_answered_elsewhere);
    g_test_add_func("/crashes/messages", test_messages);
    return g_test_run();
}
