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
    int idempotent_bad;  /* at most, or HARNESS_UNBOUNDED */
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
    {"new-boot", "engine", NULL, NULL, "boot", HARNESS_UNBOUNDED,
     HARNESS_UNBOUNDED},
    {"service-late", "service", "slow_ms=600&slow_next=2", "slow_ms=0", NULL,
     0, 0},
    {"service-closed-after-read", "service", "close_reused=2",
     "close_reused=0", NULL, 0, HARNESS_UNBOUNDED},
    {"service-closed-before", "service", "drop_before=2", "drop_before=0",
     NULL, 0, HARNESS_UNBOUNDED},
    {"service-closed-after", "service", "drop_after=2", "drop_after=0", NULL,
     0, HARNESS_UNBOUNDED},
    {"service-refuses", "service", "refuse=2", "refuse=0", NULL, 0, 0},
};

/* Applies a setting to each upstream of the case's mode; NULL: none. */
static void
apply_setting(struct harness_fleet *fleet, const struct fault_case *row,
              const char *what)
{
    for (unsigned i = 0; i < fleet->upstream_count && what != NULL; i++) {
        if (strcmp(fleet->upstreams[i].standin.mode, row->mode) == 0) {
            harness_set_faults(&fleet->upstreams[i].standin, "%s", what);
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
            g_free(harness_call_control(&fleet->upstreams[i].standin,
                                        row->control, NULL));
        }
    }
}

/* Runs one case, on the fleet that all cases share. */
static void
run_fault_case(struct harness_fleet *fleet, size_t i)
{
    const struct fault_case *row = &fault_cases[i];
    struct harness_check_result verdict;
    struct harness_impact figures;
    struct harness_load load = {.fleet = fleet,
                                .kinds = harness_default_kinds,
                                .kind_count = HARNESS_DEFAULT_KIND_COUNT,
                                .caller_count = 9,
                                .pause_ms = 20,
                                .call_timeout_ms = 8000,
                                .retry_keyed = true,
                                .first_serial = (unsigned)i * 100000};
    struct harness_load_run *running = harness_load_start(&load);
    harness_sleep_ms(300);
    int64_t begun = harness_now_ms();
    apply_setting(fleet, row, row->fault);
    call_control(fleet, row);
    harness_sleep_ms(900);
    apply_setting(fleet, row, row->clear);
    int64_t ended = harness_now_ms();
    harness_sleep_ms(600);
    GPtrArray *answers = harness_load_stop(running);
    harness_check_responses(fleet, answers, &verdict);
    harness_measure_impact(row->name, answers, begun, ended, &figures);
    harness_assert_guarantees(row->name, &verdict);
    if (row->idempotent_bad != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)verdict.unkeyed_incorrect, <=,
                        row->idempotent_bad);
    }
    if (row->failed != HARNESS_UNBOUNDED) {
        g_assert_cmpint((int)verdict.failed, <=, row->failed);
    }
    g_assert_cmpuint(verdict.broken_connections, ==, 0);
    g_ptr_array_unref(answers);
}

static void
test_faults(void)
{
    static const struct harness_fleet_config shape = {
        .node_count = 3, .engine_count = 2, .service_count = 2};
    struct harness_fleet *fleet =
        harness_fleet_start(harness_get_build_directory(), &shape);
    for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
        harness_warm_up(fleet, harness_default_kinds,
                        HARNESS_DEFAULT_KIND_COUNT);
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
