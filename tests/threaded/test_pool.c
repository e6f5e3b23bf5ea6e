/* The worker pool and the timers: every job runs once, also those that are
 * queued when the pool is freed. */

#include "base/base.h"

#include <ck_pr.h>
#include <pthread.h>
#include <semaphore.h>

enum {
    THREADS = 4,
    JOBS = 20000,
};

static void
count_job(void *data)
{
    ck_pr_inc_uint(data);
}

struct submitter {
    struct ch_pool *pool;
    unsigned *counts;
};

/* Submits one job for each element of counts. */
static void *
submit_jobs(void *data)
{
    struct submitter *submitter = data;
    for (int i = 0; i < JOBS; i++) {
        ch_pool_submit(submitter->pool, count_job, &submitter->counts[i]);
    }
    return NULL;
}

/* Several threads submit more jobs than the ring can hold; freeing the pool
 * runs the rest.  Every submitted job runs exactly once. */
static void
test_every_job_runs_once(void)
{
    unsigned *counts = g_new0(unsigned, JOBS);
    struct ch_pool *pool = ch_pool_new(3);
    struct submitter submitter = {pool, counts};
    pthread_t threads[THREADS];
    for (int i = 0; i < THREADS; i++) {
        g_assert_cmpint(
            pthread_create(&threads[i], NULL, submit_jobs, &submitter), ==, 0);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    ch_pool_free(pool);
    for (int i = 0; i < JOBS; i++) {
        g_assert_cmpuint(counts[i], ==, THREADS);
    }
    g_free(counts);
}

struct sequence {
    int next_index;
    sem_t done;
};

struct timer_run {
    struct sequence *sequence;
    int64_t earliest; /* bounds of the time when the timer expires */
    int64_t latest;
    int64_t ran_at;
    int run_index; /* 0 for the first timer to run */
};

/* Records when the timer ran and how many ran before. */
static void
record_run(void *data)
{
    struct timer_run *timer_run = data;
    timer_run->ran_at = g_get_monotonic_time();
    timer_run->run_index = timer_run->sequence->next_index++;
    sem_post(&timer_run->sequence->done);
}

/* No timer runs before its time.  If the bounds show that two timers expire at
 * different times, the earlier timer runs first, regardless of the order in
 * which the timers were added (a single worker keeps the order).  Because of
 * the bounds, the result doesn't depend on the machine's load. */
static void
test_timer_order(void)
{
    static const int64_t delays[] = {30000, 10000, 20000, 0};
    enum {
        TIMERS = G_N_ELEMENTS(delays)
    };
    struct sequence sequence = {0};
    struct timer_run runs[TIMERS] = {0};
    struct ch_pool *pool = ch_pool_new(1);
    struct ch_timers *timers = ch_timers_new(pool);
    sem_init(&sequence.done, 0, 0);
    for (int i = 0; i < TIMERS; i++) {
        runs[i].sequence = &sequence;
        runs[i].earliest = g_get_monotonic_time() + delays[i];
        (void)ch_timers_add(timers, delays[i], record_run, &runs[i]);
        runs[i].latest = g_get_monotonic_time() + delays[i];
    }
    for (int i = 0; i < TIMERS; i++) {
        sem_wait(&sequence.done);
    }
    for (int i = 0; i < TIMERS; i++) {
        g_assert_cmpint(runs[i].ran_at, >=, runs[i].earliest);
        for (int j = 0; j < TIMERS; j++) {
            g_assert_true(runs[i].latest >= runs[j].earliest ||
                          runs[i].run_index < runs[j].run_index);
        }
    }
    ch_timers_free(timers);
    ch_pool_free(pool);
    sem_destroy(&sequence.done);
}

/* A cancelled timer never runs, and only the first cancel returns true.  A
 * timer that has run can't be cancelled.  Timers that are pending when the
 * timers are freed never run. */
static void
test_timer_cancel(void)
{
    unsigned counts[3] = {0};
    struct sequence sequence = {0};
    struct timer_run timer_run = {.sequence = &sequence};
    struct ch_pool *pool = ch_pool_new(1);
    struct ch_timers *timers = ch_timers_new(pool);
    sem_init(&sequence.done, 0, 0);
    uint64_t later = ch_timers_add(timers, G_MAXINT32, count_job, &counts[0]);
    uint64_t immediate = ch_timers_add(timers, 0, record_run, &timer_run);
    (void)ch_timers_add(timers, G_MAXINT32, count_job, &counts[1]);
    g_assert_true(ch_timers_cancel(timers, later));
    g_assert_false(ch_timers_cancel(timers, later));
    sem_wait(&sequence.done);
    g_assert_false(ch_timers_cancel(timers, immediate));
    ch_timers_free(timers);
    ch_pool_free(pool);
    g_assert_cmpuint(counts[0] + counts[1], ==, 0);
    sem_destroy(&sequence.done);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pool/every-job-once", test_every_job_runs_once);
    g_test_add_func("/timers/order", test_timer_order);
    g_test_add_func("/timers/cancel", test_timer_cancel);
    return g_test_run();
}
