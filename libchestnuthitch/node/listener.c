/* A thread that accepts connections until it is stopped. */

#include "node/listener.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    BACKLOG = 1024,
    /* Wait without descriptors or memory, for some connection to close. */
    RETRY_DELAY_US = 10 * 1000,
};

struct ch_listener {
    int fd;
    int stop; /* an eventfd */
    int port;
    pthread_t thread;
    void (*accepted)(void *data, int fd, const struct sockaddr_in *from);
    void *data;
};

/* Accepts all connections that are established so far. */
static void
accept_all(struct ch_listener *listener)
{
    for (;;) {
        struct sockaddr_in from;
        socklen_t length = sizeof(from);
        int fd = accept4(listener->fd, (struct sockaddr *)&from, &length,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            listener->accepted(listener->data, fd, &from);
            continue;
        }
        if (errno == ECONNABORTED || errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            g_usleep(RETRY_DELAY_US);
        }
        return;
    }
}

/* Accepts connections until the stop. Those established before the stop are
 * still accepted: the kernel would reset them, and their callers would not
 * learn why. */
static void *
run_listener(void *data)
{
    struct ch_listener *listener = data;
    struct pollfd sets[2] = {
        {.fd = listener->fd, .events = POLLIN},
        {.fd = listener->stop, .events = POLLIN},
    };
    while ((sets[1].revents & POLLIN) == 0) {
        if (poll(sets, G_N_ELEMENTS(sets), -1) < 0) {
            continue;
        }
        accept_all(listener);
    }
    return NULL;
}

/* Opens a listening socket; -1 with errno. SO_REUSEADDR allows an address that
 * an earlier process has just released. */
static int
listen_on(struct sockaddr_in *address)
{
    const int yes = 1;
    socklen_t length = sizeof(*address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(fd, (struct sockaddr *)address, length) != 0 ||
        listen(fd, BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)address, &length) != 0) {
        int cause = errno;
        close(fd);
        errno = cause;
        return -1;
    }
    return fd;
}

/* See listener.h. */
struct ch_listener *
ch_listener_new(const char *address,
                void (*accepted)(void *data, int fd,
                                 const struct sockaddr_in *from),
                void *data, struct ch_error *error)
{
    struct sockaddr_in bound;
    if (!ch_address_parse(address, &bound, error)) {
        return NULL;
    }
    int fd = listen_on(&bound);
    if (fd < 0) {
        ch_error_set(error, CH_SYSTEM, "cannot listen on %s: %s", address,
                     g_strerror(errno));
        return NULL;
    }
    struct ch_listener *listener = g_new0(struct ch_listener, 1);
    listener->fd = fd;
    listener->stop = eventfd(0, EFD_CLOEXEC);
    listener->port = ntohs(bound.sin_port);
    listener->accepted = accepted;
    listener->data = data;
    if (pthread_create(&listener->thread, NULL, run_listener, listener) != 0) {
        g_error("no thread to listen on %s", address);
    }
    return listener;
}

/* See listener.h. */
int
ch_listener_get_port(const struct ch_listener *listener)
{
    return listener->port;
}

/* See listener.h. */
void
ch_listener_free(struct ch_listener *listener)
{
    if (listener == NULL) {
        return;
    }
    eventfd_write(listener->stop, 1);
    pthread_join(listener->thread, NULL);
    close(listener->stop);
    close(listener->fd);
    g_free(listener);
}
