/*
 * Measures what one node uses at the full size of docs/CAPACITY.md.  Its
 * peers, the other entry hosts, answer its probes and send it upstream states;
 * the host list and the declaration have their full length.  The peers are
 * simulated by listeners in this process that send hello frames and answer
 * pings, and all upstreams have the address of one engine stand-in.
 */

#include "decide/gossip.h"
#include "decide/member.h"
#include "harness/harness.h"
#include "wire/wire.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    SETTLE_MS = 4000,
    MIN_WINDOW_MS = 10000,
    LIST_POLL_MS_PER_NODE = 50, /* a node polls the host list less often in a
                                 * larger fleet */
    ADAPTERS_PER_MODEL = 3,
    CENTRE_COUNT = 7,
    LOCAL_CENTRES = 3, /* in the node's region */
    RECOVERY_TIMEOUT_MS = 60000,
    EPOLL_EVENTS = 64,
    GOSSIP_SENDERS = 4,
};

struct size {
    unsigned nodes;
    unsigned upstreams;
    unsigned models;
};

/* A peer's listening socket, or one of its connections. */
struct peer_socket {
    int fd;
    unsigned member;
    bool listening;
    struct ch_wire_decoder *decoder; /* NULL for a listener */
};

/* The simulated entry hosts. */
struct peers {
    struct size size;
    uint16_t *ports;
    int epoll;
    pthread_t thread;
    bool stopping;    /* atomic */
    bool partitioned; /* atomic; peers of other regions do not answer */
    GPtrArray *sockets;
};

/* Resources that the node has used so far. */
struct reading {
    double cpu_ms;
    double sent;
    double received;
    double frames;
    double polls;
    int64_t at_ms;
};

/* Whether host n is in another region than the node. */
static bool
is_remote(unsigned n)
{
    return n % CENTRE_COUNT >= LOCAL_CENTRES;
}

/* Sends a frame in the name of a peer. */
static void
send_frame(int fd, unsigned member, Chestnuthitch__Wire__Frame *frame)
{
    char name[16];
    struct ch_error error = {0};
    GByteArray *out = g_byte_array_new();
    (void)g_snprintf(name, sizeof name, "e%03u", member);
    frame->version = CH_WIRE_VERSION;
    frame->from = name;
    if (!ch_wire_encode(frame, out, &error) ||
        send(fd, out->data, out->len, MSG_NOSIGNAL) < 0) {
        g_printerr("bench: a frame of %s could not be sent\n", name);
    }
    frame->from = "";
    g_byte_array_free(out, TRUE);
}

static void
send_hello(int fd, unsigned member)
{
    Chestnuthitch__Wire__Hello hello = WIRE(HELLO__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    hello.region = "de-cymru";
    hello.data_centre = "caerdydd";
    hello.incarnation = 1;
    frame.body_case = WIRE(FRAME__BODY_HELLO);
    frame.hello = &hello;
    send_frame(fd, member, &frame);
}

/* Replies to a frame of the node, if a reply is due. */
static void
reply_to_frame(const struct peer_socket *peer_socket,
               const Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Pong pong = WIRE(PONG__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    if (frame->body_case == WIRE(FRAME__BODY_HELLO)) {
        send_hello(peer_socket->fd, peer_socket->member);
    }
    else if (frame->body_case == WIRE(FRAME__BODY_PING)) {
        reply.body_case = WIRE(FRAME__BODY_PONG);
        reply.pong = &pong;
        send_frame(peer_socket->fd, peer_socket->member, &reply);
    }
    else if (frame->body_case == WIRE(FRAME__BODY_CONFIG_PULL)) {
        reply.body_case = WIRE(FRAME__BODY_DONE);
        reply.done = &done;
        reply.reply = true;
        reply.id = frame->id;
        send_frame(peer_socket->fd, peer_socket->member, &reply);
    }
}

static void
add_socket(struct peers *peers, int fd, unsigned member, bool listening)
{
    struct peer_socket *peer_socket = g_new0(struct peer_socket, 1);
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = peer_socket};
    peer_socket->fd = fd;
    peer_socket->member = member;
    peer_socket->listening = listening;
    peer_socket->decoder = listening ? NULL : ch_wire_decoder_new();
    g_ptr_array_add(peers->sockets, peer_socket);
    (void)epoll_ctl(peers->epoll, EPOLL_CTL_ADD, fd, &event);
}

/* Accepts a connection or handles received frames; closes a connection that
 * the node closed. */
static void
handle_event(struct peers *peers, struct peer_socket *peer_socket)
{
    char bytes[65536];
    struct ch_error error = {0};
    Chestnuthitch__Wire__Frame *frame;
    if (peer_socket->listening) {
        int fd = accept(peer_socket->fd, NULL, NULL);
        if (fd >= 0) {
            add_socket(peers, fd, peer_socket->member, false);
        }
        return;
    }
    ssize_t count = recv(peer_socket->fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
        (void)close(peer_socket->fd);
        peer_socket->fd = -1;
        return;
    }
    if (__atomic_load_n(&peers->partitioned, __ATOMIC_ACQUIRE) &&
        is_remote(peer_socket->member)) {
        return;
    }
    ch_wire_decoder_feed(peer_socket->decoder, bytes, (size_t)count);
    while ((frame = ch_wire_decoder_next(peer_socket->decoder, &error)) !=
           NULL) {
        reply_to_frame(peer_socket, frame);
        ch_wire_frame_free(frame);
    }
}

/* Thread of all peers. */
static void *
run_peers(void *data)
{
    struct peers *peers = data;
    struct epoll_event events[EPOLL_EVENTS];
    while (!__atomic_load_n(&peers->stopping, __ATOMIC_ACQUIRE)) {
        int count = epoll_wait(peers->epoll, events, EPOLL_EVENTS, 50);
        for (int i = 0; i < count; i++) {
            handle_event(peers, events[i].data.ptr);
        }
    }
    return NULL;
}

/* Opens a listener on a port that the kernel chooses. */
static int
open_listener(uint16_t *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, length) != 0 ||
        listen(fd, 16) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        g_error("bench: cannot open a listener");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* Starts all peers; index 0 is the node itself. */
static void
start_peers(struct peers *peers)
{
    peers->epoll = epoll_create1(EPOLL_CLOEXEC);
    peers->sockets = g_ptr_array_new();
    peers->ports = g_new0(uint16_t, peers->size.nodes);
    for (unsigned i = 1; i < peers->size.nodes; i++) {
        add_socket(peers, open_listener(&peers->ports[i]), i, true);
    }
    if (pthread_create(&peers->thread, NULL, run_peers, peers) != 0) {
        g_error("bench: cannot start a thread");
    }
}

static void
stop_peers(struct peers *peers)
{
    __atomic_store_n(&peers->stopping, true, __ATOMIC_RELEASE);
    pthread_join(peers->thread, NULL);
    for (guint i = 0; i < peers->sockets->len; i++) {
        struct peer_socket *peer_socket = g_ptr_array_index(peers->sockets, i);
        if (peer_socket->fd >= 0) {
            (void)close(peer_socket->fd);
        }
        ch_wire_decoder_free(peer_socket->decoder);
        g_free(peer_socket);
    }
    g_ptr_array_free(peers->sockets, TRUE);
    g_free(peers->ports);
    (void)close(peers->epoll);
}

/* Returns the data centre of host or upstream n; the node is in the first. */
static const char *
get_data_centre(unsigned n)
{
    static const char *const names[CENTRE_COUNT] = {
        "caerdydd", "centre-1", "centre-2", "centre-3",
        "centre-4", "centre-5", "centre-6"};
    return names[n % CENTRE_COUNT];
}

/* Returns the host list; free it with g_free.  If changed, one upstream is
 * draining, so that the list differs. */
static char *
make_list(const struct peers *peers, const struct harness_fleet *fleet,
          bool changed)
{
    GString *out = g_string_new("{\"hosts\":[");
    g_string_append_printf(
        out,
        "{\"name\":\"%s\",\"kind\":\"entry\",\"address\":\"%s\",\"region\":"
        "\"de-cymru\",\"data_centre\":\"caerdydd\",\"state\":\"live\"}",
        fleet->nodes[0].name, fleet->nodes[0].peer_address);
    for (unsigned i = 1; i < peers->size.nodes; i++) {
        g_string_append_printf(
            out,
            ",{\"name\":\"e%03u\",\"kind\":\"entry\",\"address\":"
            "\"127.0.0.1:%u\",\"region\":\"de-cymru\",\"data_centre\":\"%s\""
            ",\"state\":\"live\"}",
            i, peers->ports[i], get_data_centre(i));
    }
    for (unsigned i = 0; i < peers->size.upstreams; i++) {
        g_string_append_printf(
            out,
            ",{\"name\":\"w%04u\",\"kind\":\"engine\",\"address\":\"%s\","
            "\"region\":\"de-cymru\",\"data_centre\":\"%s\",\"memory_mb\":"
            "80000,\"accelerators\":2,\"batch\":64,\"state\":\"%s\"}",
            i, fleet->upstreams[0].standin.address, get_data_centre(i),
            changed && i == 0 ? "leaving" : "live");
    }
    return g_string_free(g_string_append(out, "]}"), FALSE);
}

/* Writes the declaration of all models.  Returns its path; free it with
 * g_free. */
static char *
make_declaration(const struct harness_fleet *fleet, unsigned models)
{
    char *path = g_strdup_printf("%s/full.ini", fleet->directory);
    GString *out = g_string_new("[class advice]\nfirst-token-ms = 910\n"
                                "between-tokens-ms = 62\nmodels = *\n");
    for (unsigned i = 0; i < models; i++) {
        g_string_append_printf(out,
                               "\n[model m%04u]\nmemory-mb = 14000\n"
                               "adapter-memory-mb = 200\nadapters = ",
                               i);
        for (unsigned k = 0; k < ADAPTERS_PER_MODEL; k++) {
            g_string_append_printf(out, "%sm%04u-a%u", k == 0 ? "" : ", ", i,
                                   k);
        }
        g_string_append_c(out, '\n');
    }
    (void)g_file_set_contents(path, out->str, -1, NULL);
    g_string_free(out, TRUE);
    return path;
}

/* Fills in an upstream state as a home node may send it.  The state refers to
 * texts, which the caller frees. */
static void
fill_state(Chestnuthitch__Wire__UpstreamState *state, const struct size *size,
           char *texts[5])
{
    static uint32_t rates[] = {40, 10, 8, 6};
    unsigned upstream = g_random_int_range(0, (gint32)size->upstreams);
    unsigned model = g_random_int_range(0, (gint32)size->models - 1);
    chestnuthitch__wire__upstream_state__init(state);
    texts[0] = g_strdup_printf("m%04u", model);
    texts[1] = g_strdup_printf("m%04u/m%04u-a0", model, model);
    texts[2] = g_strdup_printf("m%04u/m%04u-a1", model, model);
    texts[3] = g_strdup_printf("m%04u", model + 1);
    texts[4] = g_strdup_printf("w%04u", upstream);
    state->upstream = texts[4];
    state->incarnation = (uint64_t)g_get_real_time();
    state->sequence = (uint64_t)g_get_real_time();
    state->running = g_random_int_range(0, 64);
    state->queued = g_random_int_range(0, 8);
    state->wait_us = g_random_int_range(0, 400000);
    state->token_us = g_random_int_range(5000, 60000);
    state->free_mb = g_random_int_range(0, 40000);
    state->batch = 64;
    state->n_resident = 4;
    state->resident = texts;
    state->n_resident_rate = 4;
    state->resident_rate = rates;
}

/* Returns the mean number of upstreams whose home is one node, rounded up. */
static size_t
states_per_node(const struct size *size)
{
    return (size->upstreams + size->nodes - 1) / size->nodes;
}

/* Sends a gossip message of a peer about the upstreams whose home it is.
 * Returns the message's bytes. */
static size_t
send_gossip(const struct peers *peers, int fd, unsigned member)
{
    Chestnuthitch__Wire__UpstreamState states[CH_GOSSIP_MAX_STATES];
    Chestnuthitch__Wire__UpstreamState *list[CH_GOSSIP_MAX_STATES];
    char *texts[CH_GOSSIP_MAX_STATES][5];
    Chestnuthitch__Wire__Gossip gossip = WIRE(GOSSIP__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    size_t count = states_per_node(&peers->size);
    for (size_t i = 0; i < count; i++) {
        fill_state(&states[i], &peers->size, texts[i]);
        list[i] = &states[i];
    }
    gossip.n_upstreams = count;
    gossip.upstreams = list;
    frame.body_case = WIRE(FRAME__BODY_GOSSIP);
    frame.gossip = &gossip;
    send_frame(fd, member, &frame);
    size_t bytes = chestnuthitch__wire__gossip__get_packed_size(&gossip);
    for (size_t i = 0; i < count; i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(texts[i]); k++) {
            g_free(texts[i][k]);
        }
    }
    return bytes;
}

/* Opens a peer's connection to the node. */
static int
connect_to_node(const struct harness_fleet *fleet, unsigned member)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(fleet->nodes[0].peer_port);
    if (fd < 0 ||
        connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        g_error("bench: cannot connect to the node");
    }
    send_hello(fd, member);
    return fd;
}

/* Reads the counters of the node and of the host list's stand-in. */
static struct reading
read_all(const struct harness_fleet *fleet)
{
    struct reading reading = {.at_ms = harness_now_ms()};
    const struct harness_node *node = &fleet->nodes[0];
    reading.sent = harness_get_counter(node, "frame_bytes_sent");
    reading.received = harness_get_counter(node, "frame_bytes_received");
    reading.frames = harness_get_counter(node, "frames_sent");
    reading.polls =
        (double)harness_get_record_number(&fleet->host_list, "gets");
    reading.cpu_ms = harness_get_cpu_ms(fleet->nodes[0].pid);
    return reading;
}

/* Prints the resources used since an earlier reading. */
static void
print_usage(const struct harness_fleet *fleet, const struct size *size,
            const char *phase, const struct reading *before)
{
    struct reading now = read_all(fleet);
    double seconds = (double)(now.at_ms - before->at_ms) / 1000.0;
    g_print("figure: size nodes=%u upstreams=%u models=%u %s: core=%.2f%% "
            "rss=%.1fMB sent=%.0fB/s received=%.0fB/s frames=%.1f/s "
            "list-polls=%.2f/s\n",
            size->nodes, size->upstreams, size->models, phase,
            (now.cpu_ms - before->cpu_ms) / 10.0 / seconds,
            harness_get_memory_kb(fleet->nodes[0].pid) / 1024.0,
            (now.sent - before->sent) / seconds,
            (now.received - before->received) / seconds,
            (now.frames - before->frames) / seconds,
            (now.polls - before->polls) / seconds);
}

static void
post_list(const struct peers *peers, const struct harness_fleet *fleet,
          bool changed)
{
    char *list = make_list(peers, fleet, changed);
    g_free(harness_call_control(&fleet->host_list, "hosts", list));
    g_free(list);
}

/* Returns the number of upstreams for which the node reports itself as home.
 */
static unsigned
count_homes(const struct harness_fleet *fleet)
{
    JsonNode *status = harness_get_status(&fleet->nodes[0]);
    JsonArray *upstreams = json_object_get_array_member(
        json_node_get_object(status), "upstreams");
    unsigned count = 0;
    for (guint i = 0; i < json_array_get_length(upstreams); i++) {
        JsonObject *upstream = json_array_get_object_element(upstreams, i);
        count += strcmp(json_object_get_string_member(upstream, "home"),
                        fleet->nodes[0].name) == 0;
    }
    json_node_unref(status);
    return count;
}

/* Returns the number of nodes that the node reports as silent. */
static unsigned
count_silent(const struct harness_fleet *fleet)
{
    JsonNode *status = harness_get_status(&fleet->nodes[0]);
    JsonArray *nodes =
        json_object_get_array_member(json_node_get_object(status), "nodes");
    unsigned count = 0;
    for (guint i = 0; i < json_array_get_length(nodes); i++) {
        JsonObject *node = json_array_get_object_element(nodes, i);
        count += strcmp(json_object_get_string_member(node, "state"),
                        "silent") == 0;
    }
    json_node_unref(status);
    return count;
}

/* Tells the node by gossip that the hosts of the other regions are silent, as
 * hosts that detect this tell each other. */
static void
send_hints(const struct peers *peers, int fd)
{
    unsigned count = 0;
    Chestnuthitch__Wire__MemberState *states =
        g_new0(Chestnuthitch__Wire__MemberState, peers->size.nodes);
    Chestnuthitch__Wire__MemberState **list =
        g_new0(Chestnuthitch__Wire__MemberState *, peers->size.nodes);
    Chestnuthitch__Wire__Gossip gossip = WIRE(GOSSIP__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    for (unsigned i = 1; i < peers->size.nodes; i++) {
        if (is_remote(i)) {
            list[count] = &states[count];
            chestnuthitch__wire__member_state__init(list[count]);
            list[count]->status = CH_MEMBER_SILENT;
            list[count++]->node = g_strdup_printf("e%03u", i);
        }
    }
    gossip.n_members = count;
    gossip.members = list;
    frame.body_case = WIRE(FRAME__BODY_GOSSIP);
    frame.gossip = &gossip;
    send_frame(fd, CENTRE_COUNT, &frame);
    for (unsigned i = 0; i < count; i++) {
        g_free(states[i].node);
    }
    g_free(states);
    g_free(list);
}

/* Makes the hosts of the other regions silent for two windows, then lets them
 * answer again. */
static void
measure_partition(struct peers *peers, const struct harness_fleet *fleet,
                  int64_t window_ms)
{
    const struct size *size = &peers->size;
    __atomic_store_n(&peers->partitioned, true, __ATOMIC_RELEASE);
    int fd = connect_to_node(fleet, CENTRE_COUNT);
    struct reading before = read_all(fleet);
    for (int64_t start_ms = harness_now_ms();
         harness_now_ms() - start_ms < window_ms;) {
        send_hints(peers, fd);
        harness_sleep_ms(CH_GOSSIP_PERIOD_US / 1000);
    }
    print_usage(fleet, size, "parting", &before);
    before = read_all(fleet);
    harness_sleep_ms(window_ms);
    print_usage(fleet, size, "parted", &before);
    unsigned silent = count_silent(fleet);
    unsigned homes = count_homes(fleet);
    (void)close(fd);
    __atomic_store_n(&peers->partitioned, false, __ATOMIC_RELEASE);
    int64_t start_ms = harness_now_ms();
    while (count_silent(fleet) > 0 &&
           harness_now_ms() - start_ms < RECOVERY_TIMEOUT_MS) {
        harness_sleep_ms(50);
    }
    g_print("figure: size nodes=%u parted: %u silent, %u homes here; all live "
            "again after %" PRIi64 " ms\n",
            size->nodes, silent, homes, harness_now_ms() - start_ms);
}

/* Measures an idle window, a host list that differs at each poll, the amount
 * of gossip that a node receives from its peers, and a partition. */
static void
measure_windows(struct peers *peers, struct harness_fleet *fleet)
{
    const struct size *size = &peers->size;
    int64_t poll_ms = MAX(1000, (int64_t)size->nodes * LIST_POLL_MS_PER_NODE);
    int64_t window_ms = MAX(MIN_WINDOW_MS, poll_ms);
    struct reading before = read_all(fleet);
    harness_sleep_ms(window_ms);
    print_usage(fleet, size, "idle", &before);
    before = read_all(fleet);
    for (unsigned k = 0; harness_now_ms() - before.at_ms < 2 * window_ms;
         k++) {
        post_list(peers, fleet, k / 2 % 2 != 0);
        harness_sleep_ms(poll_ms / 2);
    }
    print_usage(fleet, size, "list-changes", &before);
    int fds[GOSSIP_SENDERS];
    size_t bytes = 0;
    for (unsigned i = 0; i < GOSSIP_SENDERS; i++) {
        fds[i] = connect_to_node(fleet, i + 1);
    }
    /* Each node sends this number of messages per period, so each receives as
     * many on average. */
    struct ch_gossip_fanout fanout =
        ch_gossip_fanout(size->nodes / CENTRE_COUNT, size->nodes);
    int64_t interval_ms =
        CH_GOSSIP_PERIOD_US / 1000 / (fanout.local + fanout.remote);
    unsigned k = 0;
    before = read_all(fleet);
    for (; harness_now_ms() - before.at_ms < window_ms; k++) {
        bytes = send_gossip(peers, fds[k % GOSSIP_SENDERS],
                            k % GOSSIP_SENDERS + 1);
        harness_sleep_ms(interval_ms);
    }
    print_usage(fleet, size, "gossip", &before);
    g_print("figure: size nodes=%u gossip: %u messages of %zu states, %.0f "
            "bytes a state\n",
            size->nodes, k, states_per_node(size),
            (double)bytes / (double)states_per_node(size));
    for (unsigned i = 0; i < GOSSIP_SENDERS; i++) {
        (void)close(fds[i]);
    }
    measure_partition(peers, fleet, window_ms);
}

/* Runs all measurements at one size. */
static void
measure_size(const char *build, const struct size *size)
{
    struct peers peers = {.size = *size};
    struct harness_fleet_config config = {
        .node_count = 1,
        .engine_count = 1,
        .settings = {"platform.list-ms=1000", "upstreams.report-ms=500",
                     "timeouts.peer-silent-ms=800", "once.slots=64"},
    };
    struct harness_fleet *fleet = harness_fleet_prepare(build, &config);
    start_peers(&peers);
    post_list(&peers, fleet, false);
    struct harness_node *node = &fleet->nodes[0];
    int64_t start_ms = harness_now_ms();
    harness_node_start(fleet, node);
    char *declaration = make_declaration(fleet, size->models);
    char *output = NULL;
    while (harness_apply_config(fleet, node, declaration, &output) != 0) {
        if (harness_now_ms() - start_ms > HARNESS_READY_TIMEOUT_MS) {
            g_error("bench: apply: %s", output);
        }
        g_clear_pointer(&output, g_free);
        harness_sleep_ms(50);
    }
    if (!harness_node_wait_ready(node, true, HARNESS_READY_TIMEOUT_MS)) {
        g_error("bench: the node is not ready, see %s", node->log_path);
    }
    int64_t ready_ms = harness_now_ms() - start_ms;
    double start_cpu_ms = harness_get_cpu_ms(node->pid);
    harness_sleep_ms(SETTLE_MS);
    char *list = make_list(&peers, fleet, false);
    g_print(
        "figure: size nodes=%u upstreams=%u models=%u: ready after %" PRIi64
        " ms, %.0f ms of a core, list of %zu bytes, home of %u\n",
        size->nodes, size->upstreams, size->models, ready_ms, start_cpu_ms,
        strlen(list), count_homes(fleet));
    g_free(list);
    measure_windows(&peers, fleet);
    (void)remove(declaration);
    g_free(declaration);
    g_free(output);
    if (harness_fleet_stop(fleet) != 0) {
        g_error("bench: the node did not stop cleanly");
    }
    stop_peers(&peers);
}

int
main(int argc, char **argv)
{
    static const struct size sizes[] = {
        {40, 300, 150}, {120, 900, 450}, {320, 1900, 1100}};
    if (argc < 2) {
        (void)fprintf(stderr, "usage: bench_size BUILD [NODES]\n");
        return 2;
    }
    unsigned only_nodes =
        argc > 2 ? (unsigned)g_ascii_strtoull(argv[2], NULL, 10) : 0;
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        if (only_nodes != 0 && only_nodes != sizes[i].nodes) {
            continue;
        }
        measure_size(argv[1], &sizes[i]);
    }
    return 0;
}
