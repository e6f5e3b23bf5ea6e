/*
 * An upstream that answers late, crossed, cut, twice or not at all, that lies
 * about its load, or starts anew with empty memory.  What the caller sees: its
 * own whole answer all the same, when the call may be repeated; an order is
 * told as unknown when it may have run.  Order: a few answers of each kind go
 * wrong under load.  Why: ids are checked at each hop, an answer is whole only
 * with its end mark, and a stream goes on from the tokens that its caller has.
 */

#include "harness/harness.h"

#include <string.h>

struct row {
    const char *name;
    const char *mode;  /* of the upstreams that are hit */
    const char *fault; /* set on each */
    const char *clear;
    const char *control; /* in place of fault: a call */
    int idempotent_bad;  /* at most; HARNESS_ANY */
    int failed;
};

/* Two each: all may hit one call, which is sent three times at most. */
static const struct row rows[] = {
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

/* Sets a row's fault, or clears it. */
static void
set_fault(struct harness_fleet *fleet, const struct row *row, const char *what)
{
    for (unsigned i = 0; i < fleet->upstream_count && what != NULL; i++) {
        if (strcmp(fleet->upstreams[i].standin.mode, row->mode) == 0) {
            harness_set(&fleet->upstreams[i].standin, "%s", what);
        }
    }
}

/* Makes a row's control call at each upstream of its mode. */
static void
call_control(const struct harness_fleet *fleet, const struct row *row)
{
    for (unsigned i = 0; i < fleet->upstream_count && row->control != NULL;
         i++) {
        if (strcmp(fleet->upstreams[i].standin.mode, row->mode) == 0) {
            g_free(harness_control(&fleet->upstreams[i].standin, row->control,
                                   NULL));
        }
    }
}

/* One row on the fleet that all rows share. */
static void
run_row(struct harness_fleet *fleet, size_t i)
{
    const struct row *row = &rows[i];
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
    set_fault(fleet, row, row->fault);
    call_control(fleet, row);
    harness_sleep(900);
    set_fault(fleet, row, row->clear);
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

/* Every row. */
static void
test_faults(void)
{
    static const struct harness_shape shape = {
        .nodes = 3, .engines = 2, .services = 2};
    struct harness_fleet *fleet = harness_fleet_start(harness_build(), &shape);
    g_print("# logs in %s\n", fleet->directory);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        harness_warm_up(fleet, harness_kinds, HARNESS_KINDS);
        run_row(fleet, i);
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
