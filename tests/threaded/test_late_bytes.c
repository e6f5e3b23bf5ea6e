/* Calls that were given up while the other end did not take their bytes. */

#include "net/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    /* More than the server's window, less than the client's send buffer. */
    BODY_BYTES = 48 * 1024,
    WINDOW_BYTES = 4 * 1024,
    CALL_LIMIT_US = 600 * 1000,
    LONG_LIMIT_US = 20 * 1000 * 1000,
    FROZEN_US = 2 * CALL_LIMIT_US,
    /* Until the kernel has the request, or has tried to connect. */
    SETTLE_US = 150 * 1000,
    /* The same for a process that begins. */
    SENT_US = 2 * SETTLE_US,
    /* The opening packet of a connection is sent again after a second. */
    CONNECT_AGAIN_US = 1300 * 1000,
    FILLER_COUNT = 4,
};

enum end {
    CALL_TIMES_OUT,
    CALL_IS_CANCELLED,
    CLIENT_IS_FREED,
    PROCESS_IS_KILLED,
    PROCESS_IS_FROZEN,
    FROZEN_WHILE_CONNECTING,
};

static const struct late_case {
    const char *name;
    enum end end;
    bool is_bounded; /* by valid_until, else by total_timeout alone */
} cases[] = {
    {"timed-out", CALL_TIMES_OUT, false},
    {"cancelled", CALL_IS_CANCELLED, false},
    {"client-freed", CLIENT_IS_FREED, false},
    {"process-killed", PROCESS_IS_KILLED, false},
    {"process-frozen", PROCESS_IS_FROZEN, true},
    {"frozen-while-connecting", FROZEN_WHILE_CONNECTING, false},
    {"frozen-while-connecting-bounded", FROZEN_WHILE_CONNECTING, true},
};

static const char *program;

/* ---- the call ---- */

static void
on_end(void *data, const struct ch_http_result *result)
{
    (void)result;
    g_atomic_int_set((gint *)data, 1);
}

static uint64_t
start_call(struct ch_client *client, struct ch_http *http,
           const struct late_case *row, int port, gint *ended)
{
    static const struct ch_http_handlers handlers = {.on_end = on_end};
    bool lasts =
        row->end != CALL_TIMES_OUT && row->end != FROZEN_WHILE_CONNECTING;
    int64_t limit = lasts ? LONG_LIMIT_US : CALL_LIMIT_US;
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%d/x", port);
    g_autofree char *body = g_strnfill(BODY_BYTES, 'x');
    const struct ch_http_request request = {
        .method = "POST",
        .url = url,
        .body = body,
        .body_length = BODY_BYTES,
        .connect_timeout = limit,
        .first_byte_timeout = limit,
        .stall_timeout = limit,
        .total_timeout = limit,
        .valid_until =
            row->is_bounded ? ch_clock_get_boottime() + CALL_LIMIT_US : 0,
    };
    (void)client;
    return ch_http_submit(http, &request, &handlers, ended);
}

static void
discard_log_line(void *data, const char *line, size_t length)
{
    (void)data, (void)line, (void)length;
}

/* The call in a process of its own, which the test kills. */
static int
run_child(const char *name, int port)
{
    struct ch_client client;
    gint ended = 0;
    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    ch_client_init(&client, "child");
    client.log_write = discard_log_line;
    struct ch_http *http = ch_http_new(&client);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        if (strcmp(cases[i].name, name) == 0) {
            (void)start_call(&client, http, &cases[i], port, &ended);
        }
    }
    g_usleep(LONG_LIMIT_US);
    return 0;
}

static pid_t
start_child(const struct late_case *row, int port)
{
    g_autofree char *port_text = g_strdup_printf("%d", port);
    char *argv[] = {(char *)program, (char *)"child", (char *)row->name,
                    port_text, NULL};
    GPid pid = 0;
    g_assert_true(
        g_spawn_async(NULL, argv, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDERR_TO_DEV_NULL,
                      NULL, NULL, &pid, NULL));
    return pid;
}

static void
kill_child(pid_t pid)
{
    (void)kill(pid, SIGKILL);
    (void)waitpid(pid, NULL, 0);
}

/* ---- the server, whose window is small ---- */

static int
listen_on(int backlog, int *port)
{
    int window = WINDOW_BYTES;
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)), ==,
                    0);
    g_assert_cmpint(listen(fd, backlog), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &length);
    *port = ntohs(address.sin_port);
    return fd;
}

/* Fills the accept queue, so that the next connection is not established. */
static void
fill_queue(int port, int *fillers)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (int i = 0; i < FILLER_COUNT; i++) {
        fillers[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        int connected =
            connect(fillers[i], (struct sockaddr *)&address, sizeof(address));
        (void)connected;
    }
}

/* What arrives on a connection until it ends or is silent for 0.3 s. */
static size_t
read_all(int fd)
{
    char bytes[16 * 1024];
    size_t total = 0;
    ssize_t got = 0;
    struct timeval limit = {.tv_usec = 300L * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    while ((got = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        total += (size_t)got;
    }
    return total;
}

/* What arrives on all connections that were made. */
static size_t
read_connections(int listener)
{
    size_t total = 0;
    int fd = 0;
    (void)fcntl(listener, F_SETFL, O_NONBLOCK);
    while ((fd = accept(listener, NULL, NULL)) >= 0) {
        total += read_all(fd);
        close(fd);
    }
    return total;
}

/* ---- how calls are given up ---- */

/* Returns once the call has been given up in this process. */
static void
give_up_here(const struct late_case *row, int port)
{
    struct ch_client client;
    gint ended = 0;
    ch_client_init(&client, "test");
    client.log_write = discard_log_line;
    struct ch_http *http = ch_http_new(&client);
    uint64_t handle = start_call(&client, http, row, port, &ended);
    if (row->end != CALL_TIMES_OUT) {
        g_usleep(SETTLE_US);
    }
    if (row->end == CALL_IS_CANCELLED) {
        ch_http_cancel(http, handle);
    }
    while (row->end != CLIENT_IS_FREED && g_atomic_int_get(&ended) == 0) {
        g_usleep(1000);
    }
    ch_http_free(http);
}

/* Guards against an order that its sender has given up, or a request that was
 * sent elsewhere meanwhile, but that arrives once the way to its upstream is
 * free again. */
static void
test_given_up(gconstpointer data)
{
    const struct late_case *row = data;
    int port = 0;
    int listener = listen_on(8, &port);
    pid_t child = 0;
    if (row->end == PROCESS_IS_KILLED || row->end == PROCESS_IS_FROZEN) {
        child = start_child(row, port);
        g_usleep(SENT_US);
        (void)kill(child, row->end == PROCESS_IS_KILLED ? SIGKILL : SIGSTOP);
        g_usleep(FROZEN_US);
    }
    else {
        give_up_here(row, port);
    }
    size_t received = read_connections(listener);
    g_test_message("%zu bytes arrived", received);
    g_assert_cmpuint(received, >, 0);
    g_assert_cmpuint(received, <, BODY_BYTES);
    if (child != 0) {
        kill_child(child);
    }
    close(listener);
}

/* Guards against a request that is sent after its deadline, as its process was
 * frozen while the connection was being made. */
static void
test_frozen_while_connecting(gconstpointer data)
{
    const struct late_case *row = data;
    int fillers[FILLER_COUNT];
    int port = 0;
    int listener = listen_on(0, &port);
    fill_queue(port, fillers);
    pid_t child = start_child(row, port);
    g_usleep(SETTLE_US);
    (void)kill(child, SIGSTOP);
    for (int i = 0; i < FILLER_COUNT; i++) {
        close(fillers[i]);
    }
    (void)read_connections(listener);
    (void)listen(listener, 8);
    g_usleep(CONNECT_AGAIN_US);
    (void)kill(child, SIGCONT);
    g_usleep(SETTLE_US);
    g_assert_cmpuint(read_connections(listener), ==, 0);
    kill_child(child);
    close(listener);
}

int
main(int argc, char **argv)
{
    program = argv[0];
    if (argc == 4 && strcmp(argv[1], "child") == 0) {
        return run_child(argv[2], atoi(argv[3]));
    }
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *path =
            g_strconcat("/late-bytes/", cases[i].name, NULL);
        g_test_add_data_func(path, &cases[i],
                             cases[i].end == FROZEN_WHILE_CONNECTING
                                 ? test_frozen_while_connecting
                                 : test_given_up);
    }
    return g_test_run();
}
