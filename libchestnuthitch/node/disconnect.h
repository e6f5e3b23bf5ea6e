#ifndef CH_NODE_DISCONNECT_H
#define CH_NODE_DISCONNECT_H

/* Detects callers that close their connection. The HTTP library does not watch
 * a connection that is suspended. When a caller's close arrives together with
 * its last bytes, the library misses the close and waits for the rest of the
 * request until its idle timeout. */

#include "node/response.h"

struct ch_disconnect_watch;

struct ch_disconnect_watch *ch_disconnect_watch_new(void);
void ch_disconnect_watch_free(struct ch_disconnect_watch *watch);
/* Watches the connection of a response, whose ch_response_handle_disconnect()
 * runs on the watch's own thread, at most once. The response must exist until
 * it is removed. Returns a handle. */
uint64_t ch_disconnect_watch_add(struct ch_disconnect_watch *watch,
                                 struct ch_response *response);
void ch_disconnect_watch_remove(struct ch_disconnect_watch *watch,
                                const struct ch_response *response,
                                uint64_t handle);

#endif
