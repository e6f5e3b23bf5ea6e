/* A fault under load: begun, ended, and what callers felt of it. */

#include "harness/harness.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

enum {
    SIDE_BY_SIDE = 3,
};

const struct harness_kind harness_kinds[HARNESS_KINDS] = {
    {"advice", "m01", NULL, 40, true, false, 2000},
    {"lookup", "m02", NULL, 10, false, false, 3000},
    {"order", NULL, "/services/orders/jackets", 0, false, true, 3000},
};

/* The directory of this program's kind of build: build/KIND; never freed. */
const char *
harness_build(void)
{
    static char path[4096];
    ssize_t length = readlink("/proc/self/exe", path, sizeof path - 1);
    char *tests = length <= 0 ? NULL : g_strrstr(path, "/tests/");
    if (tests == NULL) {
        g_error("harness: this program is not below build/KIND/tests");
    }
    *tests = '\0';
    return path;
}

/* One call of a kind at a node. */
static bool
warm_call(const struct harness_node *node, const struct harness_kind *kind,
          unsigned serial)
{
    char *key = kind->keyed ? g_strdup_printf("warm-%u", serial) : NULL;
    char *body = kind->model == NULL
                     ? g_strdup_printf("{\"warm\":%u}", serial)
                     : harness_model_body(kind->model, 2, kind->stream,
                                          1000000 + serial);
    struct harness_call call = {
        .address = node->caller_address,
        .method = "POST",
        .path = kind->model == NULL ? kind->service : "/v1/completions",
        .class_name = kind->class_name,
        .key = key,
        .body = body,
        .limit_ms = 10000};
    struct harness_answer *answer = harness_call(&call);
    bool good = harness_answer_good(answer);
    if (!good) {
        g_test_message("warming up: %s at %s: curl %d status %d %s",
                       kind->class_name, node->name, answer->curl,
                       answer->status, answer->text->str);
    }
    harness_answer_free(answer);
    g_free(key);
    g_free(body);
    return good;
}

/* Calls every kind through every node until each was answered well: models
 * are in memory then, and what comes later is the fault's doing. */
void
harness_warm_up(struct harness_fleet *fleet, const struct harness_kind *kinds,
                unsigned count)
{
    int64_t limit = harness_now() + HARNESS_READY_MS;
    static unsigned serial; /* no body or key of a process comes twice */
    for (unsigned i = 0; i < fleet->node_count; i++) {
        for (unsigned k = 0; k < count; k++) {
            while (!warm_call(&fleet->nodes[i], &kinds[k], serial++)) {
                if (harness_now() > limit) {
                    g_error("harness: %s is not served by %s, see %s",
                            kinds[k].class_name, fleet->nodes[i].name,
                            fleet->nodes[i].log);
                }
                harness_sleep(50);
            }
        }
    }
}

/* True when the victim held this call's connection, or of its key's. */
static bool
held_by_victim(const struct harness_scene *scene,
               const struct harness_answer *answer)
{
    const char *victim = scene->victim->caller_address;
    if (strcmp(answer->node, victim) == 0) {
        return true;
    }
    for (guint i = 0; answer->key != NULL && i < scene->answers->len; i++) {
        const struct harness_answer *other =
            g_ptr_array_index(scene->answers, i);
        if (g_strcmp0(other->key, answer->key) == 0 &&
            strcmp(other->node, victim) == 0) {
            return true;
        }
    }
    return false;
}

/* How many calls were not answered well that the victim did not hold. */
unsigned
harness_collateral(const struct harness_scene *scene)
{
    unsigned count = 0;
    for (guint i = 0; scene->victim != NULL && i < scene->answers->len; i++) {
        const struct harness_answer *answer =
            g_ptr_array_index(scene->answers, i);
        if (!harness_answer_good(answer) && !held_by_victim(scene, answer)) {
            count++;
            g_print("# not good at %s: curl %d status %d %s %s\n",
                    answer->node, answer->curl, answer->status, answer->body,
                    answer->text->str);
        }
    }
    return count;
}

/* Fails the test when a fault cost callers more than it may. */
static void
assert_cost(const struct harness_scene *scene)
{
    const struct harness_cost *cost = &scene->scenario->cost;
    const struct harness_figures *figures = &scene->figures;
    const struct harness_verdict *verdict = &scene->verdict;
    if (cost->gap_ms != HARNESS_ANY) {
        g_assert_cmpint(figures->longest_gap, <=, cost->gap_ms);
    }
    if (cost->recovered_ms != HARNESS_ANY) {
        g_assert_cmpint(figures->recovered, >=, 0);
        g_assert_cmpint(figures->recovered, <=, cost->recovered_ms);
    }
    if (cost->refused != HARNESS_ANY) {
        g_assert_cmpint((int)verdict->refused, <=, cost->refused);
    }
    if (cost->failed != HARNESS_ANY) {
        g_assert_cmpint((int)verdict->failed, <=, cost->failed);
    }
    if (cost->broken != HARNESS_ANY) {
        g_assert_cmpint((int)verdict->broken, <=, cost->broken);
    }
    if (cost->idempotent_bad != HARNESS_ANY) {
        g_assert_cmpint((int)verdict->idempotent_bad, <=,
                        cost->idempotent_bad);
    }
    if (cost->collateral != HARNESS_ANY) {
        g_assert_cmpint((int)harness_collateral(scene), <=, cost->collateral);
    }
    if (cost->during != HARNESS_ANY) {
        g_assert_cmpfloat(figures->during, >=, cost->during);
    }
    if (cost->after != HARNESS_ANY) {
        g_assert_cmpfloat(figures->after, >=, cost->after);
    }
}

/* Load before, during and after the fault. */
static void
run_load(struct harness_scene *scene, const struct harness_kind *kinds,
         unsigned kind_count)
{
    const struct harness_scenario *scenario = scene->scenario;
    struct harness_load load = {
        .fleet = scene->fleet,
        .kinds = kinds,
        .kind_count = kind_count,
        .callers = scenario->callers == 0 ? 12 : scenario->callers,
        .pause_ms = 20,
        .limit_ms = 8000,
        .repeat_keyed = true};
    struct harness_running *running = harness_load_start(&load);
    harness_sleep(scenario->before_ms);
    scene->begun = harness_now();
    if (scenario->begin != NULL) {
        scenario->begin(scene);
    }
    harness_sleep(scenario->during_ms);
    if (scenario->end != NULL) {
        scenario->end(scene);
    }
    scene->ended = harness_now();
    harness_sleep(scenario->after_ms);
    scene->answers = harness_load_stop(running);
}

/* Runs a scenario whole; ends the test when a promise or bound is broken. */
void
harness_scenario_run(gconstpointer data)
{
    struct harness_scene scene = {.scenario = data};
    const struct harness_scenario *scenario = data;
    const struct harness_kind *kinds =
        scenario->kinds == NULL ? harness_kinds : scenario->kinds;
    unsigned count =
        scenario->kinds == NULL ? HARNESS_KINDS : scenario->kind_count;
    scene.fleet = harness_fleet_start(harness_build(), &scenario->shape);
    g_print("# %s: logs in %s\n", scenario->name, scene.fleet->directory);
    if (scenario->early != NULL) {
        scenario->early(&scene);
    }
    else {
        harness_warm_up(scene.fleet, kinds, count);
    }
    run_load(&scene, kinds, count);
    harness_check(scene.fleet, scene.answers, &scene.verdict);
    harness_measure(scenario->name, scene.answers, scene.begun, scene.ended,
                    &scene.figures);
    harness_assert(scenario->name, &scene.verdict);
    assert_cost(&scene);
    if (scenario->more != NULL) {
        scenario->more(&scene);
    }
    g_ptr_array_unref(scene.answers);
    g_assert_cmpuint(harness_fleet_stop(scene.fleet), ==, 0);
}

/* A scenario that runs in a process of its own. */
struct job {
    pid_t pid; /* 0: not begun, or over */
    int status;
    bool over;
    char *log;
};

/* Starts this program anew for one scenario alone. */
static void
job_start(struct job *job, const char *program, const char *theme,
          const struct harness_scenario *scenario)
{
    char *path = g_strdup_printf("/failure/%s/%s", theme, scenario->name);
    const char *argv[] = {program, "-p", path, NULL};
    int fd = g_file_open_tmp("chestnuthitch-log-XXXXXX", &job->log, NULL);
    (void)close(fd);
    job->pid = harness_spawn(argv, job->log, NULL);
    g_free(path);
}

/* Takes the end of a job that is over, and prints what it said. */
static void
job_poll(struct job *job)
{
    char *text = NULL;
    if (job->pid == 0 || (job->status = harness_wait(job->pid, 0)) == -1) {
        return;
    }
    job->pid = 0;
    job->over = true;
    if (g_file_get_contents(job->log, &text, NULL, NULL)) {
        g_print("%s", text);
        g_free(text);
    }
    (void)g_unlink(job->log);
    g_free(job->log);
}

/*
 * Runs the scenarios side by side, each in a process of its own and on ports
 * of its own: most of their time is spent waiting for the fault to last.  Few
 * at once, so that the machine's own load is not what callers feel.
 */
static int
run_side_by_side(const char *program, const char *theme,
                 const struct harness_scenario *scenarios, size_t count)
{
    struct job *jobs = g_new0(struct job, count);
    size_t begun = 0;
    size_t over = 0;
    int failed = 0;
    while (over < count) {
        while (begun < count && begun - over < SIDE_BY_SIDE) {
            job_start(&jobs[begun], program, theme, &scenarios[begun]);
            begun++;
        }
        harness_sleep(20);
        over = 0;
        failed = 0;
        for (size_t i = 0; i < begun; i++) {
            job_poll(&jobs[i]);
            over += jobs[i].over ? 1 : 0;
            failed += jobs[i].over && jobs[i].status != 0 ? 1 : 0;
        }
    }
    g_free(jobs);
    g_print("# %zu scenarios, %d failed\n", count, failed);
    return failed == 0 ? 0 : 1;
}

/* The main of a failure test: every scenario, or with arguments as GTest
 * takes them the ones that these name. */
int
harness_main(int argc, char **argv, const char *theme,
             const struct harness_scenario *scenarios, size_t count)
{
    if (argc == 1) {
        return run_side_by_side(argv[0], theme, scenarios, count);
    }
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < count; i++) {
        char *path =
            g_strdup_printf("/failure/%s/%s", theme, scenarios[i].name);
        g_test_add_data_func(path, &scenarios[i], harness_scenario_run);
        g_free(path);
    }
    return g_test_run();
}
