/* Options of sockets that bound how late sent bytes may arrive. */

#include "net/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* See socket.h. */
bool
ch_socket_set_reset_on_close(int fd)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    return setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)) == 0;
}

/* See socket.h. */
bool
ch_socket_set_unacknowledged_limit(int fd, int64_t limit)
{
    unsigned limit_ms = limit <= 0 ? 1 : (unsigned)((limit + 999) / 1000);
    return setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms,
                      sizeof(limit_ms)) == 0;
}
