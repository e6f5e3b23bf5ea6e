/* The worker pool: a Concurrency Kit ring of jobs and POSIX threads that run
 * them. */

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
     * Enough for every open request of a node to have a job queued at the same
     * time (the limit on connections is well below this).  If the ring is
     * full, the submitting thread yields until there is space: jobs are never
     * dropped.
     */
    RING_SIZE = 1 << 15,
};

/*
 * Two locks ensure that the ring has one producer and one consumer at a time.
 * The ring's variant for several producers and consumers reads a slot that
 * another thread may be writing, and discards the value if its
 * compare-and-swap fails.  ThreadSanitizer reports this as a data race, which
 * would stop every test of a node's threads.  The locks take one or two
 * microseconds per job, and a node runs some thousands of jobs per second.
 * Each job is put and the semaphore posted under the same lock, so that after
 * the nth wait at least n jobs have been put.
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

/* Takes the next job; NULL if the ring is empty. */
static struct job *
take_job(struct ch_pool *pool)
{
    struct job *job = NULL;
    pthread_mutex_lock(&pool->take_lock);
    (void)ck_ring_dequeue_spsc(&pool->ring, pool->buffer, &job);
    CH_TSAN_RELEASE(&pool->ring);
    pthread_mutex_unlock(&pool->take_lock);
    return job;
}

/* Puts a job into the ring; false if it is full. */
static bool
put_job(struct ch_pool *pool, struct job *job)
{
    pthread_mutex_lock(&pool->put_lock);
    CH_TSAN_ACQUIRE(&pool->ring);
    bool fits = ck_ring_enqueue_spsc(&pool->ring, pool->buffer, job);
    if (fits) {
        sem_post(&pool->jobs);
    }
    pthread_mutex_unlock(&pool->put_lock);
    return fits;
}

/* A worker's thread: runs jobs until it takes a job without a function. */
static void *
run_worker(void *data)
{
    struct ch_pool *pool = data;
    for (;;) {
        while (sem_wait(&pool->jobs) != 0) {
        }
        struct job *job = take_job(pool);
        if (job->run == NULL) {
            g_free(job);
            return NULL;
        }
        job->run(job->data);
        g_free(job);
    }
}

/* Starts a pool of `workers` threads, at least one. */
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
        if (pthread_create(&pool->threads[i], NULL, run_worker, pool) != 0) {
            g_error("cannot create a thread of the worker pool");
        }
    }
    return pool;
}

/* Queues a call of run(data) on a worker.  Jobs of the same submitter may run
 * concurrently and in any order. */
void
ch_pool_submit(struct ch_pool *pool, void (*run)(void *data), void *data)
{
    struct job *job = g_new(struct job, 1);
    job->run = run;
    job->data = data;
    while (!put_job(pool, job)) {
        sched_yield();
    }
}

/*
 * Work that takes long and never blocks calls this after each step, with the
 * step's number.  On a small share of a core, such work can hold the processor
 * for half a second, during which the event loops don't relay any streams.  So
 * the thread yields after every 32 steps; 32 classes of a configuration, for
 * example, are parsed in less than half a millisecond of a whole core.
 */
void
ch_pool_yield(size_t step)
{
    enum {
        STEPS_PER_YIELD = 32
    };
    if (step % STEPS_PER_YIELD == STEPS_PER_YIELD - 1) {
        sched_yield();
    }
}

/* Runs the queued jobs, ends the workers and frees the pool.  Only the pool's
 * own jobs may still submit further jobs.  NULL is allowed. */
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
    while ((job = take_job(pool)) != NULL) {
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
