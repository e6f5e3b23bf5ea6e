/* The event loop: timers, sockets and signals in one thread. */

#include "standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct timer {
    int64_t at;
    void (*run)(void *data);
    void *data;
    GSequenceIter *place;
};

/* CLOCK_MONOTONIC in microseconds, the same for all processes of the
   machine. */
int64_t
monotonic_now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Orders timers by expiry time. */
static gint
timer_compare(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct timer *one = a;
    const struct timer *two = b;
    (void)data;
    return (one->at > two->at) - (one->at < two->at);
}

/* Runs run(data) after delay_us, unless the timer is cancelled before. */
struct timer *
timer_add(struct standin *standin, int64_t delay_us, void (*run)(void *data),
          void *data)
{
    struct timer *timer = g_new0(struct timer, 1);
    timer->at = monotonic_now_us() + delay_us;
    timer->run = run;
    timer->data = data;
    timer->place =
        g_sequence_insert_sorted(standin->timers, timer, timer_compare, NULL);
    return timer;
}

/* Frees a timer that has not run; NULL is allowed. */
void
timer_cancel(struct standin *standin, struct timer *timer)
{
    (void)standin;
    if (timer != NULL) {
        g_sequence_remove(timer->place);
        g_free(timer);
    }
}

/* Runs expired timers; returns the milliseconds until the next timer expires,
 * -1 without timers. */
static int
run_expired_timers(struct standin *standin)
{
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(standin->timers);
        if (g_sequence_iter_is_end(first)) {
            return -1;
        }
        struct timer *timer = g_sequence_get(first);
        int64_t left = timer->at - monotonic_now_us();
        if (left > 0) {
            return (int)(left / 1000) + 1;
        }
        g_sequence_remove(first);
        timer->run(timer->data);
        g_free(timer);
    }
}

/* From any thread: runs run(standin, data) in the event loop. */
void
standin_post_job(struct standin *standin,
                 void (*run)(struct standin *, void *), void *data)
{
    struct loop_job job = {run, data};
    if (write(standin->job_pipe[1], &job, sizeof job) != (ssize_t)sizeof job) {
        abort();
    }
}

/* Adds a file descriptor to the event loop. */
static void
watch_fd(struct standin *standin, int fd)
{
    struct epoll_event event = {.events = EPOLLIN, .data.fd = fd};
    if (epoll_ctl(standin->epoll_fd, EPOLL_CTL_ADD, fd, &event) != 0) {
        abort();
    }
}

/* Opens a socket that is bound to a port of the loopback address; for port 0
 * the kernel chooses one, which is stored there. */
static int
open_bound_socket(uint16_t *port, int flags)
{
    int one = 1;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(*port)};
    socklen_t length = sizeof address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        perror("standin: bind");
        exit(1);
    }
    *port = ntohs(address.sin_port);
    return fd;
}

/* See standin.h. A port that the kernel has chosen stays reserved for this
 * process by a socket that does not listen: while nothing listens there, no
 * other process gets it for an outgoing connection. */
int
standin_socket(uint16_t *port, bool nonblocking)
{
    if (*port == 0) {
        (void)open_bound_socket(port, 0);
    }
    int fd = open_bound_socket(port, nonblocking ? SOCK_NONBLOCK : 0);
    if (listen(fd, 4096) != 0) {
        perror("standin: listen");
        exit(1);
    }
    return fd;
}

/* See standin.h. */
struct MHD_Daemon *
standin_open_daemon(struct standin *standin, uint16_t *port)
{
    struct MHD_Daemon *daemon =
        exchange_daemon(standin, standin_socket(port, true));
    if (daemon == NULL) {
        (void)fprintf(stderr, "standin: cannot start the HTTP daemon\n");
        exit(1);
    }
    g_ptr_array_add(standin->daemons, daemon);
    watch_fd(standin,
             MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd);
    return daemon;
}

/*
 * Closes all open connections or, if silent, leaves them open without ever
 * reading or writing them again.  Control connections and those that are
 * silent already stay as they are.
 */
void
standin_close_connections(struct standin *standin, bool silent)
{
    GHashTableIter iter;
    gpointer link;
    gpointer connection;
    g_hash_table_iter_init(&iter, standin->connections);
    while (g_hash_table_iter_next(&iter, &link, &connection)) {
        struct client_connection *open = link;
        if (open->control || open->silent) {
            continue;
        }
        if (silent) {
            open->silent = true;
            continue;
        }
        const union MHD_ConnectionInfo *info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        (void)shutdown(info->connect_fd, SHUT_RDWR);
    }
}

/* See standin.h. */
void
standin_close_daemon(struct standin *standin, struct MHD_Daemon *daemon)
{
    GHashTableIter iter;
    gpointer connection;
    (void)close(MHD_quiesce_daemon(daemon));
    g_hash_table_iter_init(&iter, standin->connections);
    while (g_hash_table_iter_next(&iter, NULL, &connection)) {
        if (MHD_get_connection_info(connection, MHD_CONNECTION_INFO_DAEMON)
                ->daemon == daemon) {
            (void)shutdown(MHD_get_connection_info(
                               connection, MHD_CONNECTION_INFO_CONNECTION_FD)
                               ->connect_fd,
                           SHUT_RDWR);
        }
    }
}

/* Starts or stops listening on the simulated service's port. */
void
standin_listen(struct standin *standin, bool on)
{
    if (on == (standin->listener != NULL)) {
        return;
    }
    if (on) {
        standin->listener = standin_open_daemon(standin, &standin->port);
        return;
    }
    (void)close(MHD_quiesce_daemon(standin->listener));
    standin->listener = NULL;
    standin_close_connections(standin, false);
}

/* Runs the jobs passed by other threads. */
static void
run_jobs(struct standin *standin)
{
    struct loop_job job;
    while (read(standin->job_pipe[0], &job, sizeof job) ==
           (ssize_t)sizeof job) {
        job.run(standin, job.data);
    }
}

/* Returns the milliseconds that the loop may sleep: 0 when a timer has just
 * resumed a connection, which MHD_get_timeout does not consider with an
 * external event loop. */
static int
sleep_time_ms(struct standin *standin, int until_timer)
{
    MHD_UNSIGNED_LONG_LONG most;
    if (standin->connection_resumed) {
        return 0;
    }
    for (guint i = 0; i < standin->daemons->len; i++) {
        struct MHD_Daemon *daemon = g_ptr_array_index(standin->daemons, i);
        if (MHD_get_timeout(daemon, &most) == MHD_YES &&
            (until_timer < 0 || most < (MHD_UNSIGNED_LONG_LONG)until_timer)) {
            until_timer = (int)most;
        }
    }
    return until_timer;
}

/* Sets the faults given on the command line; returns the port, 0 for any. */
static uint16_t
read_options(struct standin *standin)
{
    static const char *const names[] = {
#define FAULT(name) #name,
        FAULTS(FAULT)
#undef FAULT
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const char *value = g_hash_table_lookup(standin->options, names[i]);
        standin->faults[i] =
            value == NULL ? 0 : g_ascii_strtoll(value, NULL, 10);
    }
    const char *port = g_hash_table_lookup(standin->options, "port");
    return port == NULL ? 0 : (uint16_t)g_ascii_strtoull(port, NULL, 10);
}

/* Sets up signals, the job pipe, the service's port and the control port, and
 * prints both ports. */
static void
set_up_loop(struct standin *standin)
{
    uint16_t control = 0;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    (void)signal(SIGPIPE, SIG_IGN);
    standin->signal_fd = signalfd(-1, &signals, SFD_CLOEXEC);
    standin->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (pipe2(standin->job_pipe, O_CLOEXEC) != 0) {
        abort();
    }
    (void)fcntl(standin->job_pipe[0], F_SETFL, O_NONBLOCK);
    watch_fd(standin, standin->signal_fd);
    watch_fd(standin, standin->job_pipe[0]);
    if (standin->mode->handle != NULL) {
        standin->listener = standin_open_daemon(standin, &standin->port);
    }
    (void)standin_open_daemon(standin, &control);
    (void)printf("listening %u\ncontrol %u\n", standin->port, control);
    (void)fflush(stdout);
}

/* Runs the mode until SIGTERM or SIGINT; returns the exit status. */
int
standin_run(struct standin *standin)
{
    struct epoll_event events[8];
    standin->timers = g_sequence_new(NULL);
    standin->connections = g_hash_table_new(NULL, NULL);
    standin->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
    standin->daemons = g_ptr_array_new();
    standin->port = read_options(standin);
    standin->mode->start(standin);
    set_up_loop(standin);
    for (;;) {
        int limit = sleep_time_ms(standin, run_expired_timers(standin));
        int count = epoll_wait(standin->epoll_fd, events, 8, limit);
        for (int i = 0; i < count; i++) {
            if (events[i].data.fd == standin->signal_fd) {
                return 0;
            }
        }
        run_jobs(standin);
        (void)run_expired_timers(standin);
        standin->connection_resumed = false;
        for (guint i = 0; i < standin->daemons->len; i++) {
            (void)MHD_run(g_ptr_array_index(standin->daemons, i));
        }
    }
}
