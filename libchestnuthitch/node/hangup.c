/* One thread around an epoll set of the sockets of callers that wait. */

#include "node/hangup.h"

#include <errno.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum {
    EVENTS_AT_ONCE = 64,
};

struct ch_hangups {
    void (*gone)(void *data, uint64_t mark);
    void *data;
    pthread_t thread;
    int set;
    int stop; /* an eventfd, in the set with mark 0 */
};

/* Waits for sockets whose other end has closed. */
static void *
run_watch(void *data)
{
    struct ch_hangups *hangups = data;
    struct epoll_event events[EVENTS_AT_ONCE];
    for (;;) {
        int count = epoll_wait(hangups->set, events, EVENTS_AT_ONCE, -1);
        if (count < 0 && errno != EINTR) {
            return NULL;
        }
        for (int i = 0; i < count; i++) {
            if (events[i].data.u64 == 0) {
                return NULL;
            }
            hangups->gone(hangups->data, events[i].data.u64);
        }
    }
}

/* Starts the watch. */
struct ch_hangups *
ch_hangups_new(void (*gone)(void *data, uint64_t mark), void *data)
{
    struct ch_hangups *hangups = g_new0(struct ch_hangups, 1);
    hangups->gone = gone;
    hangups->data = data;
    hangups->set = epoll_create1(EPOLL_CLOEXEC);
    hangups->stop = eventfd(0, EFD_CLOEXEC);
    if (hangups->set < 0 || hangups->stop < 0) {
        g_error("no descriptors for the watch of callers");
    }
    struct epoll_event event = {.events = EPOLLIN, .data.u64 = 0};
    epoll_ctl(hangups->set, EPOLL_CTL_ADD, hangups->stop, &event);
    if (pthread_create(&hangups->thread, NULL, run_watch, hangups) != 0) {
        g_error("no thread for the watch of callers");
    }
    return hangups;
}

/* Ends the watch; gone does not run any more. */
void
ch_hangups_free(struct ch_hangups *hangups)
{
    if (hangups == NULL) {
        return;
    }
    eventfd_write(hangups->stop, 1);
    pthread_join(hangups->thread, NULL);
    close(hangups->stop);
    close(hangups->set);
    g_free(hangups);
}

/* Watches a socket under a mark that is not 0, until it is removed.  A caller
 * that closes only its sending side counts as gone too: it can't be told from
 * one that is. */
void
ch_hangups_add(struct ch_hangups *hangups, int fd, uint64_t mark)
{
    struct epoll_event event = {
        .events = EPOLLRDHUP | EPOLLONESHOT,
        .data.u64 = mark,
    };
    epoll_ctl(hangups->set, EPOLL_CTL_ADD, fd, &event);
}

/* Ends the watch of a socket; to be called before the socket is closed. */
void
ch_hangups_remove(struct ch_hangups *hangups, int fd)
{
    epoll_ctl(hangups->set, EPOLL_CTL_DEL, fd, NULL);
}
