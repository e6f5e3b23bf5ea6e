/* Runs scenarios: a fault under load, and its impact on callers. */

#include "harness/harness.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

enum {
    MAX_PARALLEL_JOBS = 3,
};

const struct harness_call_kind
    harness_default_kinds[HARNESS_DEFAULT_KIND_COUNT] = {
        {"advice", "m01", NULL, 40, true, false, 2000},
        {"lookup", "m02", NULL, 10, false, false, 3000},
        {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

const char *
harness_get_build_directory(void)
{
    static char path[4096];
    ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);
    char *tests = length <= 0 ? NULL : g_strrstr(path, "/tests/");
    if (tests == NULL) {
        g_error("harness: this program is not in build/KIND/tests");
    }
    *tests = '\0';
    return path;
}

/* Sends a request to a node; whether the response was correct. */
static bool
send_warm_up_call(const struct harness_node *node,
                  const struct harness_call_kind *kind, unsigned serial)
{
    char *key = kind->has_key ? g_strdup_printf("warm-%u", serial) : NULL;
    char *body = kind->model == NULL
                     ? g_strdup_printf("{\"warm\":%u}", serial)
                     : harness_model_body(kind->model, 2, kind->stream,
                                          1000000 + serial);
    struct harness_call call = {
        .address = node->caller_address,
        .method = "POST",
        .path = kind->model == NULL ? kind->service_path : "/v1/completions",
        .class_name = kind->class_name,
        .key = key,
        .body = body,
        .timeout_ms = 10000};
    struct harness_response *answer = harness_call(&call);
    bool good = harness_response_is_correct(answer);
    if (!good) {
        g_test_message(
            "warming up: class %s at node %s: curl code %d, status %d, %s",
            kind->class_name, node->name, answer->curl_code, answer->status,
            answer->response_body->str);
    }
    harness_response_free(answer);
    g_free(key);
    g_free(body);
    return good;
}

void
harness_warm_up(struct harness_fleet *fleet,
                const struct harness_call_kind *kinds, unsigned count)
{
    int64_t deadline = harness_now_ms() + HARNESS_READY_TIMEOUT_MS;
    static unsigned serial; /* no body or key is used twice in a process */
    for (unsigned i = 0; i < fleet->node_count; i++) {
        for (unsigned k = 0; k < count; k++) {
            while (!send_warm_up_call(&fleet->nodes[i], &kinds[k], serial++)) {
                if (harness_now_ms() > deadline) {
                    g_error(
                        "harness: class %s is not served by node %s, see %s",
                        kinds[k].class_name, fleet->nodes[i].name,
                        fleet->nodes[i].log_path);
                }
                harness_sleep_ms(50);
            }
        }
    }
}

/* Whether the faulty node accepted this request or another attempt with the
 * same key. */
static bool
accepted_by_faulty_node(const struct harness_scenario_state *scene,
                        const struct harness_response *answer)
{
    const char *faulty_address = scene->faulty_node->caller_address;
    if (strcmp(answer->node_address, faulty_address) == 0) {
        return true;
    }
    for (guint i = 0; answer->key != NULL && i < scene->responses->len; i++) {
        const struct harness_response *other =
            g_ptr_array_index(scene->responses, i);
        if (g_strcmp0(other->key, answer->key) == 0 &&
            strcmp(other->node_address, faulty_address) == 0) {
            return true;
        }
    }
    return false;
}

unsigned
harness_count_unrelated_failures(const struct harness_scenario_state *scene)
{
    unsigned count = 0;
    for (guint i = 0; scene->faulty_node != NULL && i < scene->responses->len;
         i++) {
        const struct harness_response *answer =
            g_ptr_array_index(scene->responses, i);
        if (!harness_response_is_correct(answer) &&
            !accepted_by_faulty_node(scene, answer)) {
            count++;
            g_print(
                "# incorrect response at %s: curl code %d, status %d, %s %s\n",
                answer->node_address, answer->curl_code, answer->status,
                answer->request_body, answer->response_body->str);
        }
    }
    return count;
}

/* Fails the test when the impact exceeds a limit. */
static void
assert_limits(const struct harness_scenario_state *scene)
{
    const struct harness_limits *cost = &scene->scenario->limits;
    const struct harness_impact *figures = &scene->impact;
    const struct harness_check_result *verdict = &scene->result;
    if (cost->longest_gap_ms != HARNESS_UNBOUNDED) {
        g_assert_cmpint(figures->longest_gap_ms, <=, cost->longest_gap_ms);
    }
    if (cost->recovery_ms != HARNESS_UNBOUNDED) {
        g_assert_cmpint(figures->recovery_ms, >=, 0);
        g_assert_cmpint(figures->recovery_ms, <=, cost->recovery_ms);
    }
    if (cost->refused != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)verdict->refused, <=, cost->refused);
    }
    if (cost->failed != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)verdict->failed, <=, cost->failed);
    }
    if (cost->broken_connections != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)verdict->broken_connections, <=,
                        cost->broken_connections);
    }
    if (cost->unkeyed_incorrect != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)verdict->unkeyed_incorrect, <=,
                        cost->unkeyed_incorrect);
    }
    if (cost->unrelated_failures != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)harness_count_unrelated_failures(scene), <=,
                        cost->unrelated_failures);
    }
    if (cost->min_during_percent != HARNESS_UNBOUNDED) {
        g_assert_cmpfloat(figures->during_percent, >=,
                          cost->min_during_percent);
    }
    if (cost->min_after_percent != HARNESS_UNBOUNDED) {
        g_assert_cmpfloat(figures->after_percent, >=, cost->min_after_percent);
    }
}

/* Runs the load before, during and after the fault. */
static void
run_load(struct harness_scenario_state *scene,
         const struct harness_call_kind *kinds, unsigned kind_count)
{
    const struct harness_scenario *scenario = scene->scenario;
    struct harness_load load = {.fleet = scene->fleet,
                                .kinds = kinds,
                                .kind_count = kind_count,
                                .caller_count = scenario->caller_count == 0
                                                    ? 12
                                                    : scenario->caller_count,
                                .pause_ms = 20,
                                .call_timeout_ms = 8000,
                                .retry_keyed = true};
    struct harness_load_run *running = harness_load_start(&load);
    harness_sleep_ms(scenario->before_ms);
    scene->fault_begun_ms = harness_now_ms();
    if (scenario->begin_fault != NULL) {
        scenario->begin_fault(scene);
    }
    harness_sleep_ms(scenario->fault_ms);
    if (scenario->end_fault != NULL) {
        scenario->end_fault(scene);
    }
    scene->fault_ended_ms = harness_now_ms();
    harness_sleep_ms(scenario->after_ms);
    scene->responses = harness_load_stop(running);
}

void
harness_scenario_run(gconstpointer data)
{
    struct harness_scenario_state scene = {.scenario = data};
    const struct harness_scenario *scenario = data;
    const struct harness_call_kind *kinds =
        scenario->kinds == NULL ? harness_default_kinds : scenario->kinds;
    unsigned count = scenario->kinds == NULL ? HARNESS_DEFAULT_KIND_COUNT
                                             : scenario->kind_count;
    scene.fleet = harness_fleet_start(harness_get_build_directory(),
                                      &scenario->fleet_config);
    g_print("# %s: logs in %s\n", scenario->name, scene.fleet->directory);
    if (scenario->before_load != NULL) {
        scenario->before_load(&scene);
    }
    else {
        harness_warm_up(scene.fleet, kinds, count);
    }
    run_load(&scene, kinds, count);
    harness_check_responses(scene.fleet, scene.responses, &scene.result);
    harness_measure_impact(scenario->name, scene.responses,
                           scene.fault_begun_ms, scene.fault_ended_ms,
                           &scene.impact);
    harness_assert_guarantees(scenario->name, &scene.result);
    assert_limits(&scene);
    if (scenario->check != NULL) {
        scenario->check(&scene);
    }
    g_ptr_array_unref(scene.responses);
    g_assert_cmpuint(harness_fleet_stop(scene.fleet), ==, 0);
}

/* A scenario in its own process. */
struct job {
    pid_t pid; /* 0: not started, or ended */
    int status;
    bool ended;
    char *log;
};

/* Starts this program again to run one scenario. */
static void
job_start(struct job *job, const char *program, const char *path)
{
    const char *argv[] = {program, "-p", path, NULL};
    int fd = g_file_open_tmp("chestnuthitch-log-XXXXXX", &job->log, NULL);
    (void)close(fd);
    job->pid = harness_spawn(argv, job->log, NULL);
}

/* Prints the output of a job that has ended. */
static void
job_poll(struct job *job)
{
    char *text = NULL;
    if (job->pid == 0 ||
        (job->status = harness_wait_exit(job->pid, 0)) == -1) {
        return;
    }
    job->pid = 0;
    job->ended = true;
    if (g_file_get_contents(job->log, &text, NULL, NULL)) {
        g_print("%s", text);
        g_free(text);
    }
    (void)g_unlink(job->log);
    g_free(job->log);
}

/*
 * See harness.h. The scenarios wait most of the time while the fault lasts.
 * Only a few run at once, so that the load of the machine itself doesn't
 * affect callers.
 */
int
harness_run_in_parallel(const char *program, char **paths)
{
    size_t count = g_strv_length(paths);
    struct job *jobs = g_new0(struct job, count);
    size_t started = 0;
    size_t ended_count = 0;
    int failed = 0;
    while (ended_count < count) {
        while (started < count && started - ended_count < MAX_PARALLEL_JOBS) {
            job_start(&jobs[started], program, paths[started]);
            started++;
        }
        harness_sleep_ms(20);
        ended_count = 0;
        failed = 0;
        for (size_t i = 0; i < started; i++) {
            job_poll(&jobs[i]);
            ended_count += jobs[i].ended ? 1 : 0;
            failed += jobs[i].ended && jobs[i].status != 0 ? 1 : 0;
        }
    }
    g_free(jobs);
    g_print("# %zu scenarios, %d failed\n", count, failed);
    return failed == 0 ? 0 : 1;
}

/* With arguments, they are those of g_test_init(), which selects scenarios by
 * path. */
int
harness_main(int argc, char **argv, const char *theme,
             const struct harness_scenario *scenarios, size_t count)
{
    char **paths = g_new0(char *, count + 1);
    for (size_t i = 0; i < count; i++) {
        paths[i] = g_strdup_printf("/failure/%s/%s", theme, scenarios[i].name);
    }
    int status = 0;
    if (argc == 1) {
        status = harness_run_in_parallel(argv[0], paths);
    }
    else {
        g_test_init(&argc, &argv, NULL);
        for (size_t i = 0; i < count; i++) {
            g_test_add_data_func(paths[i], &scenarios[i],
                                 harness_scenario_run);
        }
        status = g_test_run();
    }
    g_strfreev(paths);
    return status;
}

int
harness_run_cases(int argc, char **argv, const char *theme, const void *cases,
                  size_t size, size_t count, void (*run)(gconstpointer one))
{
    char **paths = g_new0(char *, count + 1);
    int status = 0;
    for (size_t i = 0; i < count; i++) {
        const char *const *name =
            (const void *)((const char *)cases + i * size);
        paths[i] = g_strdup_printf("/failure/%s/%s", theme, *name);
    }
    if (argc == 1) {
        status = harness_run_in_parallel(argv[0], paths);
    }
    else {
        g_test_init(&argc, &argv, NULL);
        for (size_t i = 0; i < count; i++) {
            g_test_add_data_func(paths[i], (const char *)cases + i * size,
                                 run);
        }
        status = g_test_run();
    }
    g_strfreev(paths);
    return status;
}
