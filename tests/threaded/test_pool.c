/* The worker pool and the timers: every job once, none lost at the end. */

#include "base/base.h"

#include <ck_pr.h>
#include <pthread.h>
#include <semaphore.h>

enum {
    THREADS = 4,
    JOBS = 20000,
};

/* Counts a job. */
static void
count_job(void *data)
{
    ck_pr_inc_uint(data);
}

struct submitter {
    struct ch_pool *pool;
    unsigned *counts;
};

/* Submits one job for each count. */
static void *
submit_jobs(void *data)
{
    struct submitter *submitter = data;
    for (int i = 0; i < JOBS; i++) {
        ch_pool_submit(submitter->pool, count_job, &submitter->counts[i]);
    }
    return NULL;
}

/* Several threads submit more than the ring holds; freeing the pool runs what
 * is left.  Each job has run exactly once. */
static void
test_pool(void)
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

struct order {
    int next;
    sem_t done;
};

struct turn {
    struct order *order;
    int64_t earliest; /* bounds of when it is due */
    int64_t latest;
    int64_t ran_at;
    int place;
};

/* Notes when it ran, and as which. */
static void
take_turn(void *data)
{
    struct turn *turn = data;
    turn->ran_at = g_get_monotonic_time();
    turn->place = turn->order->next++;
    sem_post(&turn->order->done);
}

/* No timer runs before its time, and of two that are surely due at different
 * times the earlier runs first, whatever the order of asking (one worker keeps
 * it).  The bounds make the verdict the same on a machine that is busy. */
static void
test_order(void)
{
    static const int64_t delays[] = {30000, 10000, 20000, 0};
    enum {
        TURNS = G_N_ELEMENTS(delays)
    };
    struct order order = {0};
    struct turn turns[TURNS] = {0};
    struct ch_pool *pool = ch_pool_new(1);
    struct ch_timers *timers = ch_timers_new(pool);
    sem_init(&order.done, 0, 0);
    for (int i = 0; i < TURNS; i++) {
        turns[i].order = &order;
        turns[i].earliest = g_get_monotonic_time() + delays[i];
        (void)ch_timers_after(timers, delays[i], take_turn, &turns[i]);
        turns[i].latest = g_get_monotonic_time() + delays[i];
    }
    for (int i = 0; i < TURNS; i++) {
        sem_wait(&order.done);
    }
    for (int i = 0; i < TURNS; i++) {
        g_assert_cmpint(turns[i].ran_at, >=, turns[i].earliest);
        for (int j = 0; j < TURNS; j++) {
            g_assert_true(turns[i].latest >= turns[j].earliest ||
                          turns[i].place < turns[j].place);
        }
    }
    ch_timers_free(timers);
    ch_pool_free(pool);
    sem_destroy(&order.done);
}

/* A cancelled timer never runs, and says so once; one that has run cannot be
 * cancelled; what is not due when the timers end never runs. */
static void
test_cancel(void)
{
    unsigned counts[3] = {0};
    struct order order = {0};
    struct turn turn = {.order = &order};
    struct ch_pool *pool = ch_pool_new(1);
    struct ch_timers *timers = ch_timers_new(pool);
    sem_init(&order.done, 0, 0);
    uint64_t far = ch_timers_after(timers, G_MAXINT32, count_job, &counts[0]);
    uint64_t near = ch_timers_after(timers, 0, take_turn, &turn);
    (void)ch_timers_after(timers, G_MAXINT32, count_job, &counts[1]);
    g_assert_true(ch_timers_cancel(timers, far));
    g_assert_false(ch_timers_cancel(timers, far));
    sem_wait(&order.done);
    g_assert_false(ch_timers_cancel(timers, near));
    ch_timers_free(timers);
    ch_pool_free(pool);
    g_assert_cmpuint(counts[0] + counts[1], ==, 0);
    sem_destroy(&order.done);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/pool/every-job-once", test_pool);
    g_test_add_func("/timers/order", test_order);
    g_test_add_func("/timers/cancel", test_cancel);
    return g_test_run();
}
