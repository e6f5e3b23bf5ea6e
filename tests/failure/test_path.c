/*
 * Guards against callers of nodes without a path to the upstreams being served
 * far worse than others, while such nodes still reach callers, the key-value
 * store and the other nodes.
 */

#include "harness/harness.h"

#include <signal.h>
#include <string.h>

enum {
    NODES = 7,
    /* From this long after the begin of a cut, first tries at the cut nodes
     * have to be served at least two thirds as often as at the others. */
    SETTLE_MS = 4000,
    CUT_MS = 8000,
    FLAP_MS = 1300,
    FLAPS = 3,
};

/* Nodes that lose their path in the scenario under way, from the first on. */
static unsigned cut_count;

static void
cut_nodes(struct harness_scenario_state *scene, unsigned count,
          const char *form)
{
    cut_count = count;
    for (unsigned i = 0; i < count; i++) {
        harness_node_cut_paths(scene->fleet, &scene->fleet->nodes[i], form);
    }
}

static void
heal(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < cut_count; i++) {
        harness_node_cut_paths(scene->fleet, &scene->fleet->nodes[i], "none");
    }
}

static bool
is_cut_node(const struct harness_scenario_state *scene, const char *address)
{
    for (unsigned i = 0; i < cut_count; i++) {
        if (strcmp(scene->fleet->nodes[i].caller_address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Tries sent in some time, at some of the nodes. */
struct tries {
    unsigned sent;
    unsigned served;
};

static void
count_tries(const struct harness_scenario_state *scene, int64_t from,
            int64_t to, struct tries *cut, struct tries *others)
{
    for (guint i = 0; i < scene->responses->len; i++) {
        const struct harness_response *response =
            g_ptr_array_index(scene->responses, i);
        if (response->sent_at_ms < from || response->sent_at_ms >= to) {
            continue;
        }
        struct tries *tries =
            is_cut_node(scene, response->node_address) ? cut : others;
        tries->sent++;
        tries->served += response->status == 200 && response->curl_code == 0;
    }
}

static void
check_served(struct harness_scenario_state *scene)
{
    struct tries cut = {0};
    struct tries others = {0};
    count_tries(scene, scene->fault_begun_ms + SETTLE_MS,
                scene->fault_ended_ms, &cut, &others);
    g_print("figure: %s served %u of %u at cut nodes, %u of %u at others\n",
            scene->scenario->name, cut.served, cut.sent, others.served,
            others.sent);
    g_assert_cmpuint(cut.sent, >, 0);
    g_assert_cmpuint(others.sent, >, 0);
    g_assert_cmpfloat((double)others.served / others.sent, >=, 0.8);
    g_assert_cmpfloat((double)cut.served / cut.sent, >=,
                      (double)others.served / others.sent * 2 / 3);
}

/* All nodes serve again soon after a cut from which no node had a path. */
static void
check_recovery(struct harness_scenario_state *scene)
{
    struct tries cut = {0};
    struct tries others = {0};
    count_tries(scene, scene->fault_ended_ms + 2000, INT64_MAX, &cut, &others);
    g_print("figure: %s served %u of %u after the cut\n",
            scene->scenario->name, cut.served, cut.sent);
    g_assert_cmpuint(cut.sent, >, 0);
    g_assert_cmpfloat((double)cut.served / cut.sent, >=, 0.9);
}

static void
cut_half_in_silence(struct harness_scenario_state *scene)
{
    cut_nodes(scene, 4, "silent");
}

static void
cut_half_by_resets(struct harness_scenario_state *scene)
{
    cut_nodes(scene, 4, "reset");
}

static void
refuse_half(struct harness_scenario_state *scene)
{
    cut_nodes(scene, 4, "refuse");
}

static void
cut_all_but_one(struct harness_scenario_state *scene)
{
    cut_nodes(scene, NODES - 1, "silent");
}

static void
cut_all(struct harness_scenario_state *scene)
{
    cut_nodes(scene, NODES, "silent");
}

/* A node that has a path is killed, one is paused and one stopped while others
 * depend on them. */
static void
cut_and_lose_others(struct harness_scenario_state *scene)
{
    struct harness_fleet *fleet = scene->fleet;
    cut_nodes(scene, 3, "silent");
    harness_sleep_ms(SETTLE_MS);
    harness_node_signal(&fleet->nodes[6], SIGKILL);
    harness_node_signal(&fleet->nodes[5], SIGSTOP);
    harness_sleep_ms(1500);
    harness_node_signal(&fleet->nodes[5], SIGCONT);
    harness_node_start(fleet, &fleet->nodes[6]);
    harness_node_signal(&fleet->nodes[4], SIGTERM);
    harness_sleep_ms(1500);
}

static void
flap(struct harness_scenario_state *scene)
{
    for (unsigned i = 0; i < FLAPS; i++) {
        cut_nodes(scene, 3, i % 2 == 0 ? "reset" : "silent");
        harness_sleep_ms(FLAP_MS);
        heal(scene);
        harness_sleep_ms(FLAP_MS);
    }
}

#define ANY_IMPACT                                                            \
    {                                                                         \
        HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,              \
            HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED,          \
            HARNESS_UNBOUNDED, HARNESS_UNBOUNDED, HARNESS_UNBOUNDED           \
    }
#define FLEET                                                                 \
    {                                                                         \
        .node_count = NODES, .engine_count = 3, .service_count = 2,           \
        .separate_paths = true                                                \
    }

static const struct harness_scenario scenarios[] = {
    {.name = "half-in-silence",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = CUT_MS,
     .after_ms = 2000,
     .begin_fault = cut_half_in_silence,
     .end_fault = heal,
     .check = check_served,
     .limits = ANY_IMPACT},
    {.name = "half-by-resets",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = CUT_MS,
     .after_ms = 2000,
     .begin_fault = cut_half_by_resets,
     .end_fault = heal,
     .check = check_served,
     .limits = ANY_IMPACT},
    {.name = "half-refused-anew",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = CUT_MS,
     .after_ms = 2000,
     .begin_fault = refuse_half,
     .end_fault = heal,
     .check = check_served,
     .limits = ANY_IMPACT},
    {.name = "all-but-one",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = CUT_MS,
     .after_ms = 2000,
     .begin_fault = cut_all_but_one,
     .end_fault = heal,
     .check = check_served,
     .limits = ANY_IMPACT},
    {.name = "all",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = CUT_MS,
     .after_ms = 4000,
     .begin_fault = cut_all,
     .end_fault = heal,
     .check = check_recovery,
     .limits = ANY_IMPACT},
    {.name = "others-lost-meanwhile",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = 2000,
     .after_ms = 2000,
     .begin_fault = cut_and_lose_others,
     .end_fault = heal,
     .check = check_served,
     .limits = ANY_IMPACT},
    {.name = "flapping",
     .fleet_config = FLEET,
     .before_ms = 1000,
     .fault_ms = 0,
     .after_ms = 4000,
     .begin_fault = flap,
     .check = check_recovery,
     .limits = ANY_IMPACT},
};

int
main(int argc, char **argv)
{
    return harness_main(argc, argv, "path", scenarios,
                        G_N_ELEMENTS(scenarios));
}
