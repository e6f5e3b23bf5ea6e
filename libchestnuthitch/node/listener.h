#ifndef CH_NODE_LISTENER_H
#define CH_NODE_LISTENER_H

/*
 * Accepts connections and passes them on. The HTTP library could listen by
 * itself, but its function to stop listening (MHD_quiesce_daemon of 0.9.75,
 * with epoll) races with the library's own threads over the removal of the
 * listening socket from their epoll sets. When it loses the race it aborts the
 * process, in the middle of a graceful stop.
 */

#include "base/base.h"

#include <netinet/in.h>

struct ch_listener;

/* Listens on "ip:port" and starts a thread, on which accepted(data, fd, from)
 * runs; accepted takes ownership of fd, a non-blocking socket. NULL with
 * *error. */
struct ch_listener *ch_listener_new(
    const char *address,
    void (*accepted)(void *data, int fd, const struct sockaddr_in *from),
    void *data, struct ch_error *error);
/* The port in use, also when the kernel chose it. */
int ch_listener_get_port(const struct ch_listener *listener);
/* Passes on the connections that are already established, closes the socket
 * and joins the thread. */
void ch_listener_free(struct ch_listener *listener);

#endif
