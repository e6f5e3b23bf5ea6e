#ifndef CH_NODE_LISTENER_H
#define CH_NODE_LISTENER_H

/*
 * Takes connections in and hands them on.  The HTTP library could listen by
 * itself, but its way to stop listening (MHD_quiesce_daemon of 0.9.75, with
 * epoll) races with its own threads over the removal of the socket from their
 * sets, and ends the process when it loses: seen as an abort in the middle of
 * a graceful stop.
 */

#include "base/base.h"

#include <netinet/in.h>

struct ch_listener;

/* accepted(data, fd, from) runs on the listener's thread and owns fd, which is
 * not blocking. */
struct ch_listener *ch_listener_new(
    const char *address,
    void (*accepted)(void *data, int fd, const struct sockaddr_in *from),
    void *data, struct ch_error *error);
/* The port, also when the kernel chose it. */
int ch_listener_port(const struct ch_listener *listener);
/* Hands on what has already connected, then closes; joins the thread. */
void ch_listener_free(struct ch_listener *listener);

#endif
