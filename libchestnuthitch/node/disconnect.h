#ifndef CH_NODE_DISCONNECT_H
#define CH_NODE_DISCONNECT_H

/* Detects callers that close their connection. The HTTP library does not watch
 * a connection that is suspended. When a caller's close arrives together with
 * its last bytes, the library misses the close and waits for the rest of the
 * request until its idle timeout. */

#include "base/base.h"

struct ch_disconnect_watch;

/* disconnected(data, handle) runs on the watch's own thread, once for each
 * socket added. */
struct ch_disconnect_watch *
ch_disconnect_watch_new(void (*disconnected)(void *data, uint64_t handle),
                        void *data);
void ch_disconnect_watch_free(struct ch_disconnect_watch *watch);
void ch_disconnect_watch_add(struct ch_disconnect_watch *watch, int fd,
                             uint64_t handle);
void ch_disconnect_watch_remove(struct ch_disconnect_watch *watch, int fd);

#endif
