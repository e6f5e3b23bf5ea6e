/* The worker pool: jobs go through a Concurrency Kit ring to POSIX threads. */

#include "base/base.h"
#include "base/annotate.h"

#include <ck_ring.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdlib.h>

struct job {
    void (*run)(void *data);
    void *data;
};

enum {
    /*
     * Room for every open request of a node to have a job waiting at once
     * (connections are bounded well below this).  A submitter that finds the
     * ring full yields until there is room: jobs are never dropped.
     */
    RING_SIZE = 1 << 15,
};

/*
 * The ring has one producer and one consumer at a time: the two locks see to
 * it.  Its form for many of each reads a slot that another thread may be
 * writing and drops what it read when its compare-and-swap fails, which
 * ThreadSanitizer cannot tell from a fault: every check of a node's threads
 * would stop there.  The locks cost a microsecond or two for each job, and a
 * node has some thousands a second.  A post follows each put under the same
 * lock, so that after the nth wait n jobs were put.
 */
struct ch_pool {
    pthread_mutex_t put_lock;
    pthread_mutex_t take_lock;
    ck_ring_t ring;
    ck_ring_buffer_t *buffer;
    sem_t jobs;
    pthread_t *threads;
    unsigned count;
};

/* The next job, or NULL when the ring is empty. */
static struct job *
take(struct ch_pool *pool)
{
    struct job *job = NULL;
    pthread_mutex_lock(&pool->take_lock);
    (void)ck_ring_dequeue_spsc(&pool->ring, pool->buffer, &job);
    CH_RELEASE(&pool->ring);
    pthread_mutex_unlock(&pool->take_lock);
    return job;
}

/* Puts a job in; false when the ring is full. */
static bool
put(struct ch_pool *pool, struct job *job)
{
    pthread_mutex_lock(&pool->put_lock);
    CH_ACQUIRE(&pool->ring);
    bool fits = ck_ring_enqueue_spsc(&pool->ring, pool->buffer, job);
    if (fits) {
        sem_post(&pool->jobs);
    }
    pthread_mutex_unlock(&pool->put_lock);
    return fits;
}

/* Takes jobs until it meets the one with no function, which ends it. */
static void *
work(void *data)
{
    struct ch_pool *pool = data;
    for (;;) {
        while (sem_wait(&pool->jobs) != 0) {
        }
        struct job *job = take(pool);
        if (job->run == NULL) {
            g_free(job);
            return NULL;
        }
        job->run(job->data);
        g_free(job);
    }
}

/* Starts a pool of `workers` threads (at least one). */
struct ch_pool *
ch_pool_new(unsigned workers)
{
    struct ch_pool *pool = g_new0(struct ch_pool, 1);
    pool->count = MAX(workers, 1);
    pool->buffer = g_new0(ck_ring_buffer_t, RING_SIZE);
    ck_ring_init(&pool->ring, RING_SIZE);
    sem_init(&pool->jobs, 0, 0);
    pthread_mutex_init(&pool->put_lock, NULL);
    pthread_mutex_init(&pool->take_lock, NULL);
    pool->threads = g_new0(pthread_t, pool->count);
    for (unsigned i = 0; i < pool->count; i++) {
        if (pthread_create(&pool->threads[i], NULL, work, pool) != 0) {
            g_error("no thread for the worker pool");
        }
    }
    return pool;
}

/* Has a worker run run(data).  Jobs of one submitter may run at the same time
 * and in any order. */
void
ch_pool_submit(struct ch_pool *pool, void (*run)(void *data), void *data)
{
    struct job *job = g_new(struct job, 1);
    job->run = run;
    job->data = data;
    while (!put(pool, job)) {
        sched_yield();
    }
}

/*
 * Called with the number of each step of work that takes long and never waits.
 * On a small share of a core such work keeps its thread's turn for half a
 * second, in which the loops that relay streams stand still; so it gives the
 * turn away after some steps.  Thirty-two classes of a configuration are read
 * in less than half a millisecond of a whole core.
 */
void
ch_pool_give_way(size_t step)
{
    enum {
        STEPS = 32
    };
    if (step % STEPS == STEPS - 1) {
        sched_yield();
    }
}

/* Runs what was submitted, ends the workers and frees the pool.  Nothing may
 * be submitted from outside the pool by then. */
void
ch_pool_free(struct ch_pool *pool)
{
    if (pool == NULL) {
        return;
    }
    for (unsigned i = 0; i < pool->count; i++) {
        ch_pool_submit(pool, NULL, NULL);
    }
    for (unsigned i = 0; i < pool->count; i++) {
        pthread_join(pool->threads[i], NULL);
    }
    struct job *job;
    while ((job = take(pool)) != NULL) {
        if (job->run != NULL) {
            job->run(job->data);
        }
        g_free(job);
    }
    pthread_mutex_destroy(&pool->put_lock);
    pthread_mutex_destroy(&pool->take_lock);
    sem_destroy(&pool->jobs);
    g_free(pool->buffer);
    g_free(pool->threads);
    g_free(pool);
}
