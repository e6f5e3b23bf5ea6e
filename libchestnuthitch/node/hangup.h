#ifndef CH_NODE_HANGUP_H
#define CH_NODE_HANGUP_H

/* Detects callers that close their connection. The HTTP library does not watch
 * a connection that is suspended. When a caller's close arrives together with
 * its last bytes, the library misses the close and waits for the rest of the
 * request until its idle timeout. */

#include "base/base.h"

struct ch_hangups;

/* disconnected(data, handle) runs on the watch's own thread, once for each
 * socket added. */
struct ch_hangups *
ch_hangups_new(void (*disconnected)(void *data, uint64_t handle), void *data);
void ch_hangups_free(struct ch_hangups *watch);
void ch_hangups_add(struct ch_hangups *watch, int fd, uint64_t handle);
void ch_hangups_remove(struct ch_hangups *watch, int fd);

#endif
