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

struct ch_pool {
    ck_ring_t ring;
    ck_ring_buffer_t *buffer;
    sem_t jobs;
    pthread_t *threads;
    unsigned count;
};

/* Takes jobs until it meets the one with no function, which ends it. */
static void *
work(void *data)
{
    struct ch_pool *pool = data;
    for (;;) {
        while (sem_wait(&pool->jobs) != 0) {
        }
        struct job *job = NULL;
        while (!ck_ring_dequeue_mpmc(&pool->ring, pool->buffer, &job)) {
            ck_pr_stall();
        }
        CH_ACQUIRE(job);
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
    CH_RELEASE(job);
    while (!ck_ring_enqueue_mpmc(&pool->ring, pool->buffer, job)) {
        sched_yield();
    }
    sem_post(&pool->jobs);
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
    struct job *job = NULL;
    while (ck_ring_dequeue_mpmc(&pool->ring, pool->buffer, &job)) {
        if (job->run != NULL) {
            job->run(job->data);
        }
        g_free(job);
    }
    sem_destroy(&pool->jobs);
    g_free(pool->buffer);
    g_free(pool->threads);
    g_free(pool);
}
