/*
 * Guards against an upstream that responds late, with another request's
 * response, with an interrupted one, twice or not at all, that misreports its
 * load, or restarts with empty memory.  A call that may be repeated still gets
 * its own complete response; an order that may have run is reported with an
 * unknown outcome.  A few responses of each kind are faulty, under load.
 * Request IDs are checked at each hop, a response is complete only with its
 * end marker, and a stream continues after the tokens that its caller already
 * has.
 */

#include "harness/harness.h"

#include <string.h>

struct fault_case {
    const char *name;
    const char *mode;  /* of the affected upstreams */
    const char *fault; /* setting that injects the fault */
    const char *clear;
    const char *control; /* control call, in place of fault */
    int idempotent_bad;  /* at most, or HARNESS_ANY */
    int failed;
};

/* Two faults at each upstream: all may affect one call, which is sent three
 * times at most. */
static const struct fault_case fault_cases[] = {
    {"late", "engine", "slow_ms=600&slow_next=2", "slow_ms=0", NULL, 0, 0},
    {"crossed", "engine", "crossed=2", "crossed=0", NULL, 0, 0},
    {"cut", "engine", "cut=2", "cut=0", NULL, 0, 0},
    {"ended-as-if-whole", "engine", "ended=2", "ended=0", NULL, 0, 0},
    {"twice", "engine", "doubled=2", "doubled=0", NULL, 0, 0},
    {"closed-after-read", "engine", "close_reused=2", "close_reused=0", NULL,
     0, 0},
    {"closed-before", "engine", "drop_before=2", "drop_before=0", NULL, 0, 0},
    {"closed-after", "engine", "drop_after=2", "drop_after=0", NULL, 0, 0},
    {"refuses", "engine", "refuse=2", "refuse=0", NULL, 0, 0},
    {"says-idle", "engine", "lie=1", "lie=0", NULL, 0, 0},
    {"says-swamped", "engine", "lie=2", "lie=0", NULL, 0, 0},
    {"new-boot", "engine", NULL, NULL, "boot", HARNESS_ANY, HARNESS_ANY},
    {"service-late", "service", "slow_ms=600&slow_next=2", "slow_ms=0", NULL,
     0, 0},
    {"service-closed-after-read", "service", "close_reused=2",
     "close_reused=0", NULL, 0, HARNESS_ANY},
    {"service-closed-before", "service", "drop_before=2", "drop_before=0",
     NULL, 0, HARNESS_ANY},
    {"service-closed-after", "service", "drop_after=2", "drop_after=0", NULL,
     0, HARNESS_ANY},
    {"service-refuses", "service", "refuse=2", "refuse=0", NULL, 0, 0},
};

/* Applies a setting to each upstream of the case's mode; NULL: none. */
static void
apply_setting(struct harness_fleet *fleet, const struct fault_case *row,
              const char *what)
{
    for (unsigned i = 0; i < fleet->upstream_count && what != NULL; i++) {
        if (strcmp(fleet->upstreams[i].standin.mode, row->mode) == 0) {
            harness_set(&fleet->upstreams[i].standin, "%s", what);
        }
    }
}

/* Makes the case's control call, if any, at each upstream of its mode. */
static void
call_control(const struct harness_fleet *fleet, const struct fault_case *row)
{
    for (unsigned i = 0; i < fleet->upstream_count && row->control != NULL;
         i++) {
        if (strcmp(fleet->upstreams[i].standin.mode, row->mode) == 0) {
            g_free(harness_control(&fleet->upstreams[i].standin, row->control,
                                   NULL));
        }
    }
}

/* Runs one case, on the fleet that all cases share. */
static void
run_fault_case(struct harness_fleet *fleet, size_t i)
{
    const struct fault_case *row = &fault_cases[i];
    struct harness_verdict verdict;
    struct harness_figures figures;
    struct harness_load load = {.fleet = fleet,
                                .kinds = harness_kinds,
                                .kind_count = HARNESS_KINDS,
                                .callers = 9,
                                .pause_ms = 20,
                                .limit_ms = 8000,
                                .repeat_keyed = true,
                                .first_serial = (unsigned)i * 100000};
    struct harness_running *running = harness_load_start(&load);
    harness_sleep(300);
    int64_t begun = harness_now();
    apply_setting(fleet, row, row->fault);
    call_control(fleet, row);
    harness_sleep(900);
    apply_setting(fleet, row, row->clear);
    int64_t ended = harness_now();
    harness_sleep(600);
    GPtrArray *answers = harness_load_stop(running);
    harness_check(fleet, answers, &verdict);
    harness_measure(row->name, answers, begun, ended, &figures);
    harness_assert(row->name, &verdict);
    if (row->idempotent_bad != HARNESS_ANY) {
        g_assert_cmpint((int)verdict.idempotent_bad, <=, row->idempotent_bad);
    }
    if (row->failed != HARNESS_ANY) {
        g_assert_cmpint((int)verdict.failed, <=, row->failed);
    }
    g_assert_cmpuint(verdict.broken, ==, 0);
    g_ptr_array_unref(answers);
}

static void
test_faults(void)
{
    static const struct harness_shape shape = {
        .nodes = 3, .engines = 2, .services = 2};
    struct harness_fleet *fleet = harness_fleet_start(harness_build(), &shape);
    g_print("# logs in %s\n", fleet->directory);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        harness_warm_up(fleet, harness_kinds, HARNESS_KINDS);
        run_fault_case(fleet, i);
    }
    g_assert_cmpuint(harness_fleet_stop(fleet), ==, 0);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/failure/engine/faults", test_faults);
    return g_test_run();
}
