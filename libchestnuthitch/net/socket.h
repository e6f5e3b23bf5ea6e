#ifndef CH_NET_SOCKET_H
#define CH_NET_SOCKET_H

/* Options of sockets that bound how late sent bytes may arrive. */

#include <stdbool.h>
#include <stdint.h>

/*
 * Makes the end of the connection a reset, so that the kernel drops what the
 * other end has not acknowledged: when the socket is closed, and when the
 * process ends or is killed. Otherwise the kernel goes on sending, and a call
 * that was given up arrives once a cut path is back. To be set when the socket
 * is opened. False with errno on failure.
 */
bool ch_socket_set_reset_on_close(int fd);

/*
 * Bounds for how long sent bytes may stay unacknowledged, microseconds; the
 * kernel then drops them and resets the connection, also while the process is
 * frozen. Rounded up to milliseconds. False with errno on failure.
 */
bool ch_socket_set_unacknowledged_limit(int fd, int64_t limit);

#endif
