/* Timers: one thread sleeps until the next timer expires and queues its
 * callback on the worker pool. */

#include "base/base.h"

#include <pthread.h>
#include <time.h>

struct timer {
    uint64_t handle;
    int64_t due;
    void (*run)(void *data);
    void *data;
};

struct ch_timers {
    struct ch_pool *pool;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    pthread_t thread;
    GSequence *due;        /* of struct timer, sorted by time */
    GHashTable *by_handle; /* handle to GSequenceIter */
    uint64_t last_handle;
    bool stopping;
};

/* Microseconds on the clock that the condition variable uses. */
static int64_t
clock_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Compares by time, then by handle: timers with equal times run in the order
 * in which they were added. */
static int
compare_timers(const void *a, const void *b, void *unused)
{
    (void)unused;
    const struct timer *first = a;
    const struct timer *second = b;
    if (first->due != second->due) {
        return first->due < second->due ? -1 : 1;
    }
    return first->handle < second->handle ? -1
                                          : first->handle > second->handle;
}

/* Waits until the first timer expires or `changed` is signalled.  Lock held.
 */
static void
wait_for_change(struct ch_timers *timers)
{
    GSequenceIter *first = g_sequence_get_begin_iter(timers->due);
    if (g_sequence_iter_is_end(first)) {
        pthread_cond_wait(&timers->changed, &timers->lock);
        return;
    }
    const struct timer *timer = g_sequence_get(first);
    struct timespec until = {
        .tv_sec = timer->due / G_USEC_PER_SEC,
        .tv_nsec = timer->due % G_USEC_PER_SEC * 1000,
    };
    pthread_cond_timedwait(&timers->changed, &timers->lock, &until);
}

/* Queues the callbacks of all expired timers on the pool.  Lock held. */
static void
run_expired(struct ch_timers *timers)
{
    int64_t now = clock_now();
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(timers->due);
        if (g_sequence_iter_is_end(first)) {
            return;
        }
        struct timer *timer = g_sequence_get(first);
        if (timer->due > now) {
            return;
        }
        ch_pool_submit(timers->pool, timer->run, timer->data);
        g_hash_table_remove(timers->by_handle, &timer->handle);
        g_sequence_remove(first);
    }
}

/* The timers' thread. */
static void *
run_timers(void *data)
{
    struct ch_timers *timers = data;
    pthread_mutex_lock(&timers->lock);
    while (!timers->stopping) {
        run_expired(timers);
        if (!timers->stopping) {
            wait_for_change(timers);
        }
    }
    pthread_mutex_unlock(&timers->lock);
    return NULL;
}

/* Starts the timers' thread.  Callbacks run on the pool, which must outlive
 * the timers. */
struct ch_timers *
ch_timers_new(struct ch_pool *pool)
{
    struct ch_timers *timers = g_new0(struct ch_timers, 1);
    timers->pool = pool;
    timers->due = g_sequence_new(g_free);
    timers->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
    pthread_mutex_init(&timers->lock, NULL);
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&timers->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    if (pthread_create(&timers->thread, NULL, run_timers, timers) != 0) {
        g_error("cannot create the thread of the timers");
    }
    return timers;
}

/* Ends the thread.  Pending timers never run, nor do timers that are added
 * later; the last jobs of the pool may still add timers. */
void
ch_timers_stop(struct ch_timers *timers)
{
    pthread_mutex_lock(&timers->lock);
    bool running = !timers->stopping;
    timers->stopping = true;
    pthread_cond_signal(&timers->changed);
    pthread_mutex_unlock(&timers->lock);
    if (running) {
        pthread_join(timers->thread, NULL);
    }
}

/* Stops the timers if they still run and frees them.  NULL is allowed. */
void
ch_timers_free(struct ch_timers *timers)
{
    if (timers == NULL) {
        return;
    }
    ch_timers_stop(timers);
    g_hash_table_destroy(timers->by_handle);
    g_sequence_free(timers->due);
    pthread_cond_destroy(&timers->changed);
    pthread_mutex_destroy(&timers->lock);
    g_free(timers);
}

/* Adds a timer that calls run(data) on the pool after `delay` microseconds and
 * returns its handle. */
uint64_t
ch_timers_add(struct ch_timers *timers, int64_t delay, void (*run)(void *data),
              void *data)
{
    struct timer *timer = g_new(struct timer, 1);
    timer->due = clock_now() + MAX(delay, 0);
    timer->run = run;
    timer->data = data;
    pthread_mutex_lock(&timers->lock);
    uint64_t handle = ++timers->last_handle;
    timer->handle = handle;
    GSequenceIter *position =
        g_sequence_insert_sorted(timers->due, timer, compare_timers, NULL);
    g_hash_table_insert(timers->by_handle, &timer->handle, position);
    pthread_cond_signal(&timers->changed);
    pthread_mutex_unlock(&timers->lock);
    return handle;
}

/* Cancels a timer.  True if it was pending: its callback will not run.  False
 * if it has expired or was cancelled before. */
bool
ch_timers_cancel(struct ch_timers *timers, uint64_t handle)
{
    pthread_mutex_lock(&timers->lock);
    GSequenceIter *position = g_hash_table_lookup(timers->by_handle, &handle);
    if (position != NULL) {
        g_hash_table_remove(timers->by_handle, &handle);
        g_sequence_remove(position);
    }
    pthread_mutex_unlock(&timers->lock);
    return position != NULL;
}
