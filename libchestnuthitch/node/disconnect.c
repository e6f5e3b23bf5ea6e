/* One thread with an epoll set of the sockets of waiting callers. */

#include "node/disconnect.h"

#include <errno.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

enum {
    MAX_EVENTS_PER_WAIT = 64,
};

struct ch_disconnect_watch {
    pthread_mutex_t lock;
    struct ch_table *responses; /* guarded by lock */
    pthread_t thread;
    int epoll_fd;
    int stop_fd; /* an eventfd, in the set with handle 0 */
};

/* Tells a response, unless it has been removed, that its caller is gone. */
static void
report_disconnect(struct ch_disconnect_watch *watch, uint64_t handle)
{
    pthread_mutex_lock(&watch->lock);
    struct ch_response *response = ch_table_get(watch->responses, handle);
    if (response != NULL) {
        ch_response_ref(response);
    }
    pthread_mutex_unlock(&watch->lock);
    if (response != NULL) {
        ch_response_handle_disconnect(response);
        ch_response_unref(response);
    }
}

/* Waits for sockets whose peer has closed. */
static void *
run_watch(void *data)
{
    struct ch_disconnect_watch *watch = data;
    struct epoll_event events[MAX_EVENTS_PER_WAIT];
    for (;;) {
        int count =
            epoll_wait(watch->epoll_fd, events, MAX_EVENTS_PER_WAIT, -1);
        if (count < 0 && errno != EINTR) {
            return NULL;
        }
        for (int i = 0; i < count; i++) {
            if (events[i].data.u64 == 0) {
                return NULL;
            }
            report_disconnect(watch, events[i].data.u64);
        }
    }
}

/* Starts the thread; aborts the process when there are no resources for it. */
struct ch_disconnect_watch *
ch_disconnect_watch_new(void)
{
    struct ch_disconnect_watch *watch = g_new0(struct ch_disconnect_watch, 1);
    watch->responses = ch_table_new();
    pthread_mutex_init(&watch->lock, NULL);
    watch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    watch->stop_fd = eventfd(0, EFD_CLOEXEC);
    if (watch->epoll_fd < 0 || watch->stop_fd < 0) {
        g_error(
            "can't create the epoll set or the eventfd that watches callers");
    }
    struct epoll_event event = {.events = EPOLLIN, .data.u64 = 0};
    epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, watch->stop_fd, &event);
    if (pthread_create(&watch->thread, NULL, run_watch, watch) != 0) {
        g_error("can't start the thread that watches callers");
    }
    return watch;
}

/* Stops the thread; no response is told of anything afterwards. */
void
ch_disconnect_watch_free(struct ch_disconnect_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    eventfd_write(watch->stop_fd, 1);
    pthread_join(watch->thread, NULL);
    close(watch->stop_fd);
    close(watch->epoll_fd);
    ch_table_free(watch->responses);
    pthread_mutex_destroy(&watch->lock);
    g_free(watch);
}

/* See disconnect.h. A caller that closes only its sending side is reported as
 * disconnected too: it can't be told from one that has closed its connection.
 */
uint64_t
ch_disconnect_watch_add(struct ch_disconnect_watch *watch,
                        struct ch_response *response)
{
    pthread_mutex_lock(&watch->lock);
    uint64_t handle = ch_table_add(watch->responses, response);
    pthread_mutex_unlock(&watch->lock);
    struct epoll_event event = {
        .events = EPOLLRDHUP | EPOLLONESHOT,
        .data.u64 = handle,
    };
    epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, ch_response_get_fd(response),
              &event);
    return handle;
}

/* Ends the watch of a socket; must be called before the socket is closed. */
void
ch_disconnect_watch_remove(struct ch_disconnect_watch *watch,
                           const struct ch_response *response, uint64_t handle)
{
    epoll_ctl(watch->epoll_fd, EPOLL_CTL_DEL, ch_response_get_fd(response),
              NULL);
    pthread_mutex_lock(&watch->lock);
    ch_table_remove(watch->responses, handle);
    pthread_mutex_unlock(&watch->lock);
}
