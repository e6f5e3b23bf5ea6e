#ifndef CH_NODE_HANGUP_H
#define CH_NODE_HANGUP_H

/* Notices callers that go away.  The HTTP library does not look at a
 * connection that is suspended, and when a caller's close comes together with
 * its last bytes it misses the close, and waits for the rest of a request
 * until its idle limit. */

#include "base/base.h"

struct ch_hangups;

/* gone(data, mark) runs on the watch's own thread, once for each add. */
struct ch_hangups *ch_hangups_new(void (*gone)(void *data, uint64_t mark),
                                  void *data);
void ch_hangups_free(struct ch_hangups *hangups);
void ch_hangups_add(struct ch_hangups *hangups, int fd, uint64_t mark);
void ch_hangups_remove(struct ch_hangups *hangups, int fd);

#endif
