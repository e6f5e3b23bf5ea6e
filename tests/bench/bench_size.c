/*
 * What one node spends at the full size of docs/CAPACITY.md: a node among
 * entry hosts that answer its probes and tell it states of upstreams, with a
 * host list and a declaration as long as they will be.  The other hosts are
 * listeners in this process that say hello and answer pings; every upstream
 * has the address of the one engine stand-in.
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
    LEAST_WINDOW_MS = 10000,
    LIST_SHARE_MS = 50, /* as a node stretches its polls of the list */
    ADAPTERS = 3,
    CENTRES = 7,
    OWN_CENTRES = 3, /* of the node's region */
    RETURN_MS = 60000,
    EVENTS = 64,
    GOSSIP_SENDERS = 4,
};

struct size {
    unsigned nodes;
    unsigned upstreams;
    unsigned models;
};

/* One socket: a member's listener, or a connection of it. */
struct end {
    int fd;
    unsigned member;
    bool listening;
    struct ch_wire_decoder *decoder; /* of a connection */
};

/* The other entry hosts. */
struct others {
    struct size size;
    uint16_t *ports;
    int epoll;
    pthread_t thread;
    bool stopping; /* atomic */
    bool parted;   /* atomic: those of other regions do not answer */
    GPtrArray *ends;
};

/* What a node has spent. */
struct reading {
    double cpu_ms;
    double sent;
    double received;
    double frames;
    double polls;
    int64_t at;
};

/* Whether the nth host is in another region than the node. */
static bool
is_far(unsigned n)
{
    return n % CENTRES >= OWN_CENTRES;
}

/* Sends a frame of a member. */
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
        g_printerr("bench: a frame of %s was not sent\n", name);
    }
    frame->from = "";
    g_byte_array_free(out, TRUE);
}

/* Says who a member is. */
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

/* Answers one frame of the node. */
static void
answer(const struct end *end, const Chestnuthitch__Wire__Frame *frame)
{
    Chestnuthitch__Wire__Frame reply = WIRE(FRAME__INIT);
    Chestnuthitch__Wire__Pong pong = WIRE(PONG__INIT);
    Chestnuthitch__Wire__Done done = WIRE(DONE__INIT);
    if (frame->body_case == WIRE(FRAME__BODY_HELLO)) {
        send_hello(end->fd, end->member);
    }
    else if (frame->body_case == WIRE(FRAME__BODY_PING)) {
        reply.body_case = WIRE(FRAME__BODY_PONG);
        reply.pong = &pong;
        send_frame(end->fd, end->member, &reply);
    }
    else if (frame->body_case == WIRE(FRAME__BODY_CONFIG_PULL)) {
        reply.body_case = WIRE(FRAME__BODY_DONE);
        reply.done = &done;
        reply.reply = true;
        reply.id = frame->id;
        send_frame(end->fd, end->member, &reply);
    }
}

/* Takes up a socket. */
static void
add_end(struct others *others, int fd, unsigned member, bool listening)
{
    struct end *end = g_new0(struct end, 1);
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = end};
    end->fd = fd;
    end->member = member;
    end->listening = listening;
    end->decoder = listening ? NULL : ch_wire_decoder_new();
    g_ptr_array_add(others->ends, end);
    (void)epoll_ctl(others->epoll, EPOLL_CTL_ADD, fd, &event);
}

/* What came at a socket; one that the node closed is forgotten. */
static void
take_event(struct others *others, struct end *end)
{
    char bytes[65536];
    struct ch_error error = {0};
    Chestnuthitch__Wire__Frame *frame;
    if (end->listening) {
        int fd = accept(end->fd, NULL, NULL);
        if (fd >= 0) {
            add_end(others, fd, end->member, false);
        }
        return;
    }
    ssize_t count = recv(end->fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
        (void)close(end->fd);
        end->fd = -1;
        return;
    }
    if (__atomic_load_n(&others->parted, __ATOMIC_ACQUIRE) &&
        is_far(end->member)) {
        return;
    }
    ch_wire_decoder_feed(end->decoder, bytes, (size_t)count);
    while ((frame = ch_wire_decoder_next(end->decoder, &error)) != NULL) {
        answer(end, frame);
        ch_wire_frame_free(frame);
    }
}

/* The thread of the other hosts. */
static void *
run_others(void *data)
{
    struct others *others = data;
    struct epoll_event events[EVENTS];
    while (!__atomic_load_n(&others->stopping, __ATOMIC_ACQUIRE)) {
        int count = epoll_wait(others->epoll, events, EVENTS, 50);
        for (int i = 0; i < count; i++) {
            take_event(others, events[i].data.ptr);
        }
    }
    return NULL;
}

/* A listener on a port of the kernel's choice. */
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
        g_error("bench: no listener");
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* Starts the other hosts: all but the node itself. */
static void
others_start(struct others *others)
{
    others->epoll = epoll_create1(EPOLL_CLOEXEC);
    others->ends = g_ptr_array_new();
    others->ports = g_new0(uint16_t, others->size.nodes);
    for (unsigned i = 1; i < others->size.nodes; i++) {
        add_end(others, open_listener(&others->ports[i]), i, true);
    }
    if (pthread_create(&others->thread, NULL, run_others, others) != 0) {
        g_error("bench: no thread");
    }
}

/* Ends the other hosts. */
static void
others_stop(struct others *others)
{
    __atomic_store_n(&others->stopping, true, __ATOMIC_RELEASE);
    pthread_join(others->thread, NULL);
    for (guint i = 0; i < others->ends->len; i++) {
        struct end *end = g_ptr_array_index(others->ends, i);
        if (end->fd >= 0) {
            (void)close(end->fd);
        }
        ch_wire_decoder_free(end->decoder);
        g_free(end);
    }
    g_ptr_array_free(others->ends, TRUE);
    g_free(others->ports);
    (void)close(others->epoll);
}

/* The data centre of the nth host or upstream; the node is in the first. */
static const char *
centre_of(unsigned n)
{
    static const char *const names[CENTRES] = {
        "caerdydd", "centre-1", "centre-2", "centre-3",
        "centre-4", "centre-5", "centre-6"};
    return names[n % CENTRES];
}

/* The host list.  odd: one upstream is leaving, so that the list differs. */
static char *
make_list(const struct others *others, const struct harness_fleet *fleet,
          bool odd)
{
    GString *out = g_string_new("{\"hosts\":[");
    g_string_append_printf(
        out,
        "{\"name\":\"%s\",\"kind\":\"entry\",\"address\":\"%s\",\"region\":"
        "\"de-cymru\",\"data_centre\":\"caerdydd\",\"state\":\"live\"}",
        fleet->nodes[0].name, fleet->nodes[0].peer_address);
    for (unsigned i = 1; i < others->size.nodes; i++) {
        g_string_append_printf(
            out,
            ",{\"name\":\"e%03u\",\"kind\":\"entry\",\"address\":"
            "\"127.0.0.1:%u\",\"region\":\"de-cymru\",\"data_centre\":\"%s\""
            ",\"state\":\"live\"}",
            i, others->ports[i], centre_of(i));
    }
    for (unsigned i = 0; i < others->size.upstreams; i++) {
        g_string_append_printf(
            out,
            ",{\"name\":\"w%04u\",\"kind\":\"engine\",\"address\":\"%s\","
            "\"region\":\"de-cymru\",\"data_centre\":\"%s\",\"memory_mb\":"
            "80000,\"accelerators\":2,\"batch\":64,\"state\":\"%s\"}",
            i, fleet->upstreams[0].standin.address, centre_of(i),
            odd && i == 0 ? "leaving" : "live");
    }
    return g_string_free(g_string_append(out, "]}"), FALSE);
}

/* Writes the declaration of all models; its path. */
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
        for (unsigned k = 0; k < ADAPTERS; k++) {
            g_string_append_printf(out, "%sm%04u-a%u", k == 0 ? "" : ", ", i,
                                   k);
        }
        g_string_append_c(out, '\n');
    }
    (void)g_file_set_contents(path, out->str, -1, NULL);
    g_string_free(out, TRUE);
    return path;
}

/* Makes a state that some home may tell of an upstream; texts are kept. */
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

/* Upstreams that a node is home of, in the middle. */
static size_t
states_of(const struct size *size)
{
    return (size->upstreams + size->nodes - 1) / size->nodes;
}

/* One message of a member on the upstreams that it is home of; its bytes. */
static size_t
send_gossip(const struct others *others, int fd, unsigned member)
{
    Chestnuthitch__Wire__UpstreamState states[CH_GOSSIP_MAX_STATES];
    Chestnuthitch__Wire__UpstreamState *list[CH_GOSSIP_MAX_STATES];
    char *texts[CH_GOSSIP_MAX_STATES][5];
    Chestnuthitch__Wire__Gossip gossip = WIRE(GOSSIP__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    size_t count = states_of(&others->size);
    for (size_t i = 0; i < count; i++) {
        fill_state(&states[i], &others->size, texts[i]);
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

/* A connection of a member to the node. */
static int
call_node(const struct harness_fleet *fleet, unsigned member)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(fleet->nodes[0].peer_port);
    if (fd < 0 ||
        connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        g_error("bench: no connection to the node");
    }
    send_hello(fd, member);
    return fd;
}

/* Reads the node and the list's stand-in. */
static struct reading
read_all(const struct harness_fleet *fleet)
{
    struct reading reading = {.at = harness_now_ms()};
    const struct harness_node *node = &fleet->nodes[0];
    reading.sent = harness_get_counter(node, "frame_bytes_sent");
    reading.received = harness_get_counter(node, "frame_bytes_received");
    reading.frames = harness_get_counter(node, "frames_sent");
    reading.polls =
        (double)harness_get_record_number(&fleet->host_list, "gets");
    reading.cpu_ms = harness_get_cpu_ms(fleet->nodes[0].pid);
    return reading;
}

/* Prints what was spent since before. */
static void
print_spent(const struct harness_fleet *fleet, const struct size *size,
            const char *what, const struct reading *before)
{
    struct reading now = read_all(fleet);
    double seconds = (double)(now.at - before->at) / 1000.0;
    g_print("figure: size nodes=%u upstreams=%u models=%u %s: core=%.2f%% "
            "rss=%.1fMB sent=%.0fB/s received=%.0fB/s frames=%.1f/s "
            "list-polls=%.2f/s\n",
            size->nodes, size->upstreams, size->models, what,
            (now.cpu_ms - before->cpu_ms) / 10.0 / seconds,
            harness_get_memory_kb(fleet->nodes[0].pid) / 1024.0,
            (now.sent - before->sent) / seconds,
            (now.received - before->received) / seconds,
            (now.frames - before->frames) / seconds,
            (now.polls - before->polls) / seconds);
}

/* Posts the list. */
static void
post_list(const struct others *others, const struct harness_fleet *fleet,
          bool odd)
{
    char *list = make_list(others, fleet, odd);
    g_free(harness_call_control(&fleet->host_list, "hosts", list));
    g_free(list);
}

/* Upstreams whose home the node holds itself to be. */
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

/* Nodes that the node holds to be silent. */
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

/* Tells the node that the hosts of the other regions are silent, as the hosts
 * that found them so tell each other. */
static void
send_hints(const struct others *others, int fd)
{
    unsigned count = 0;
    Chestnuthitch__Wire__MemberState *states =
        g_new0(Chestnuthitch__Wire__MemberState, others->size.nodes);
    Chestnuthitch__Wire__MemberState **list =
        g_new0(Chestnuthitch__Wire__MemberState *, others->size.nodes);
    Chestnuthitch__Wire__Gossip gossip = WIRE(GOSSIP__INIT);
    Chestnuthitch__Wire__Frame frame = WIRE(FRAME__INIT);
    for (unsigned i = 1; i < others->size.nodes; i++) {
        if (is_far(i)) {
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
    send_frame(fd, CENTRES, &frame);
    for (unsigned i = 0; i < count; i++) {
        g_free(states[i].node);
    }
    g_free(states);
    g_free(list);
}

/* The other regions fall silent for a while and come back. */
static void
measure_parted(struct others *others, const struct harness_fleet *fleet,
               int64_t window)
{
    const struct size *size = &others->size;
    __atomic_store_n(&others->parted, true, __ATOMIC_RELEASE);
    int fd = call_node(fleet, CENTRES);
    struct reading before = read_all(fleet);
    for (int64_t begun = harness_now_ms();
         harness_now_ms() - begun < window;) {
        send_hints(others, fd);
        harness_sleep_ms(CH_GOSSIP_PERIOD_US / 1000);
    }
    print_spent(fleet, size, "parting", &before);
    before = read_all(fleet);
    harness_sleep_ms(window);
    print_spent(fleet, size, "parted", &before);
    unsigned silent = count_silent(fleet);
    unsigned homes = count_homes(fleet);
    (void)close(fd);
    __atomic_store_n(&others->parted, false, __ATOMIC_RELEASE);
    int64_t begun = harness_now_ms();
    while (count_silent(fleet) > 0 && harness_now_ms() - begun < RETURN_MS) {
        harness_sleep_ms(50);
    }
    g_print("figure: size nodes=%u parted: %u silent, %u homes here; all live "
            "again after %" PRIi64 " ms\n",
            size->nodes, silent, homes, harness_now_ms() - begun);
}

/* The three windows: idle, a list that differs at each poll, and as much
 * gossip as the other hosts send to each. */
static void
measure_windows(struct others *others, struct harness_fleet *fleet)
{
    const struct size *size = &others->size;
    int64_t poll = MAX(1000, (int64_t)size->nodes * LIST_SHARE_MS);
    int64_t window = MAX(LEAST_WINDOW_MS, poll);
    struct reading before = read_all(fleet);
    harness_sleep_ms(window);
    print_spent(fleet, size, "idle", &before);
    before = read_all(fleet);
    for (unsigned k = 0; harness_now_ms() - before.at < 2 * window; k++) {
        post_list(others, fleet, k / 2 % 2 != 0);
        harness_sleep_ms(poll / 2);
    }
    print_spent(fleet, size, "list-changes", &before);
    int fds[GOSSIP_SENDERS];
    size_t bytes = 0;
    for (unsigned i = 0; i < GOSSIP_SENDERS; i++) {
        fds[i] = call_node(fleet, i + 1);
    }
    /* Every node sends to so many each period, so each hears as many. */
    struct ch_gossip_fanout share =
        ch_gossip_fanout(size->nodes / CENTRES, size->nodes);
    int64_t pause = CH_GOSSIP_PERIOD_US / 1000 / (share.local + share.remote);
    unsigned k = 0;
    before = read_all(fleet);
    for (; harness_now_ms() - before.at < window; k++) {
        bytes = send_gossip(others, fds[k % GOSSIP_SENDERS],
                            k % GOSSIP_SENDERS + 1);
        harness_sleep_ms(pause);
    }
    print_spent(fleet, size, "gossip", &before);
    g_print("figure: size nodes=%u gossip: %u messages of %zu states, %.0f "
            "bytes a state\n",
            size->nodes, k, states_of(size),
            (double)bytes / (double)states_of(size));
    for (unsigned i = 0; i < GOSSIP_SENDERS; i++) {
        (void)close(fds[i]);
    }
    measure_parted(others, fleet, window);
}

/* One size. */
static void
measure_size(const char *build, const struct size *size)
{
    struct others others = {.size = *size};
    struct harness_fleet_config shape = {
        .node_count = 1,
        .engine_count = 1,
        .settings = {"platform.list-ms=1000", "upstreams.report-ms=500",
                     "timeouts.peer-silent-ms=800", "once.slots=64"},
    };
    struct harness_fleet *fleet = harness_fleet_prepare(build, &shape);
    others_start(&others);
    post_list(&others, fleet, false);
    struct harness_node *node = &fleet->nodes[0];
    int64_t begun = harness_now_ms();
    harness_node_start(fleet, node);
    char *declaration = make_declaration(fleet, size->models);
    char *output = NULL;
    while (harness_apply_config(fleet, node, declaration, &output) != 0) {
        if (harness_now_ms() - begun > HARNESS_READY_TIMEOUT_MS) {
            g_error("bench: apply: %s", output);
        }
        g_clear_pointer(&output, g_free);
        harness_sleep_ms(50);
    }
    if (!harness_node_wait_ready(node, true, HARNESS_READY_TIMEOUT_MS)) {
        g_error("bench: the node is not ready, see %s", node->log_path);
    }
    int64_t ready = harness_now_ms() - begun;
    double start_cpu = harness_get_cpu_ms(node->pid);
    harness_sleep_ms(SETTLE_MS);
    char *list = make_list(&others, fleet, false);
    g_print(
        "figure: size nodes=%u upstreams=%u models=%u: ready after %" PRIi64
        " ms, %.0f ms of a core, list of %zu bytes, home of %u\n",
        size->nodes, size->upstreams, size->models, ready, start_cpu,
        strlen(list), count_homes(fleet));
    g_free(list);
    measure_windows(&others, fleet);
    (void)remove(declaration);
    g_free(declaration);
    g_free(output);
    if (harness_fleet_stop(fleet) != 0) {
        g_error("bench: the node did not stop well");
    }
    others_stop(&others);
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
    unsigned only =
        argc > 2 ? (unsigned)g_ascii_strtoull(argv[2], NULL, 10) : 0;
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        if (only != 0 && only != sizes[i].nodes) {
            continue;
        }
        measure_size(argv[1], &sizes[i]);
    }
    return 0;
}
