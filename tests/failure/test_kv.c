/*
 * Guards against a key-value store that is unavailable, slow, stalled, or
 * loses its responses.  Model calls are answered as usual; an order is served,
 * or refused at once as not-run with Retry-After.  The fault begins under
 * load, lasts a while and ends.  Only the creation of an at-most-once record
 * and a change of a ledger need the store, and after a lost response the value
 * is read back before the caller gets a response.
 */

#include "harness/harness.h"

#include <string.h>

/* The store refuses connections. */
static void
stop_store(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "down=1");
}

/* The store is back, with all its data. */
static void
restore_store(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "down=0");
}

/* Each response takes longer than the timeout. */
static void
slow_store(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "slow_ms=2500");
}

static void
restore_speed(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "slow_ms=0");
}

/* Writes take effect, but their responses are lost. */
static void
lose_responses(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "drop_after=1000000");
}

static void
restore_responses(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "drop_after=0");
}

/* Open connections stall; new ones work. */
static void
stall_connections(struct harness_scenario_state *scene)
{
    g_free(harness_call_control(&scene->fleet->kv, "silent", NULL));
}

/* The next five writes take effect and get no response. */
static void
stall_after_writes(struct harness_scenario_state *scene)
{
    harness_set_faults(&scene->fleet->kv, "silent_after=5");
}

/* Lost responses, then an outage, then slow responses, then stalls; twice. */
static void
combine_faults(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < 2; i++) {
        harness_set_faults(&scene->fleet->kv, "drop_after=3");
        harness_sleep_ms(300);
        harness_set_faults(&scene->fleet->kv, "down=1");
        harness_sleep_ms(400);
        harness_set_faults(&scene->fleet->kv, "down=0&slow_ms=1500");
        harness_sleep_ms(400);
        harness_set_faults(&scene->fleet->kv, "slow_ms=0&silent_after=2");
        harness_sleep_ms(300);
    }
}

/* Every refusal has Retry-After and came within 1500 ms. */
static void
check_refusals(struct harness_scenario_state *scene)
{
    int64_t slowest_ms = 0;
    for (guint i = 0; i < scene->responses->len; i++) {
        const struct harness_response *answer =
            g_ptr_array_index(scene->responses, i);
        if (g_strcmp0(answer->outcome, "not-run") == 0) {
            g_assert_true(answer->has_retry_after);
            slowest_ms =
                MAX(slowest_ms, answer->ended_at_ms - answer->sent_at_ms);
        }
    }
    g_print("figure: %s: slowest refusal %" G_GINT64_FORMAT " ms\n",
            scene->scenario->name, slowest_ms);
    g_assert_cmpint(slowest_ms, <=, 1500);
}

#define SHAPE                                                                 \
    {                                                                         \
        .node_count = 3, .engine_count = 2, .service_count = 2                \
    }
/* All orders may be lost during the fault, but nothing else. */
#define KV_COST                                                               \
    {                                                                         \
        500, 4500, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0,                \
            HARNESS_UNBOUNDED, 60, 95                                         \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "down",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 3000,
     .after_ms = 1500,
     .begin_fault = stop_store,
     .end_fault = restore_store,
     .check = check_refusals,
     .limits = KV_COST},
    {.name = "slow",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 3000,
     .after_ms = 3500,
     .begin_fault = slow_store,
     .end_fault = restore_speed,
     .check = check_refusals,
     .limits = {500, 6000, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, 0, 0,
                HARNESS_UNBOUNDED, 98, 98}},
    {.name = "answers-lost",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2000,
     .after_ms = 1500,
     .begin_fault = lose_responses,
     .end_fault = restore_responses,
     .check = check_refusals,
     .limits = KV_COST},
    {.name = "silent",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2000,
     .after_ms = 1000,
     .begin_fault = stall_connections,
     .check = check_refusals,
     .limits = KV_COST},
    {.name = "silent-after-write",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 2000,
     .after_ms = 1000,
     .begin_fault = stall_after_writes,
     .check = check_refusals,
     .limits = KV_COST},
    {.name = "all-at-once",
     .fleet_config = SHAPE,
     .before_ms = 800,
     .fault_ms = 500,
     .after_ms = 3000,
     .begin_fault = combine_faults,
     .check = check_refusals,
     .limits = {500, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,
                0, 0, HARNESS_UNBOUNDED, 98, 98}},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "kv", scenarios, G_N_ELEMENTS(scenarios));
}
