/* Metrics and configurations shared by threads: no count is lost, and a
 * configuration is freed once, by the thread that drops the last reference. */

#include "base/base.h"

#include <pthread.h>
#include <string.h>

enum {
    THREADS = 4,
    ROUNDS = 2000,
    NAMES = 200, /* more than the table of tenants can hold */
};

/* Counts for many tenants, whose names the other threads add as well. */
static void *
count_all(void *data)
{
    struct ch_metrics *metrics = data;
    for (int i = 0; i < ROUNDS; i++) {
        char tenant[16];
        (void)g_snprintf(tenant, sizeof(tenant), "t%d", i % NAMES);
        ch_metrics_add_count(metrics, CH_COUNT_TOKENS, 2);
        ch_metrics_count_outcome(metrics, "c", tenant, CH_OK, i % 2 == 0);
        ch_metrics_observe(metrics, CH_HIST_QUEUE_TIME, "c", tenant, 1000);
    }
    return NULL;
}

/* Runs `run` in several threads at once and joins them. */
static void
run_threads(void *(*run)(void *data), void *data)
{
    pthread_t threads[THREADS];
    for (int i = 0; i < THREADS; i++) {
        g_assert_cmpint(pthread_create(&threads[i], NULL, run, data), ==, 0);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
}

/* Checks the sums of the only class. */
static void
check_sums(void *data, const char *class_name,
           const struct ch_class_outcomes *all)
{
    (void)data;
    g_assert_cmpstr(class_name, ==, "c");
    g_assert_cmpuint(all->counts[CH_RAN][0], ==, THREADS * ROUNDS / 2);
    g_assert_cmpuint(all->counts[CH_RAN][1], ==, THREADS * ROUNDS / 2);
}

/* The sums contain every count of every thread. */
static void
test_no_count_lost(void)
{
    struct ch_metrics *metrics = ch_metrics_new();
    run_threads(count_all, metrics);
    g_assert_cmpuint(ch_metrics_get_count(metrics, CH_COUNT_TOKENS), ==,
                     UINT64_C(2) * THREADS * ROUNDS);
    ch_metrics_foreach_class(metrics, check_sums, NULL);
    ch_metrics_free(metrics);
}

/* Adds and drops references, then drops the reference that the thread was
 * given. */
static void *
use_config(void *data)
{
    struct ch_config *config = data;
    for (int i = 0; i < ROUNDS; i++) {
        struct ch_config *reference = ch_config_ref(config);
        g_assert_cmpuint(reference->declaration->class_count, ==, 1);
        ch_config_unref(reference);
    }
    ch_config_unref(config);
    return NULL;
}

/* Dropping the last reference frees the configuration, in whichever thread;
 * the sanitizers report a double or a missing free. */
static void
test_config_freed_once(void)
{
    struct ch_error error = {0};
    struct ch_declaration *declaration = ch_declaration_parse(
        "[class c]\nanswer-ms = 1\nmodels = *\n", "f.ini", &error);
    g_assert_cmpstr(error.message, ==, "");
    struct ch_config *config = ch_config_new(3, "token", "a", declaration);
    for (int i = 0; i < THREADS; i++) {
        (void)ch_config_ref(config);
    }
    ch_config_unref(config);
    run_threads(use_config, config);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/metrics/threads", test_no_count_lost);
    g_test_add_func("/config/threads", test_config_freed_once);
    return g_test_run();
}
