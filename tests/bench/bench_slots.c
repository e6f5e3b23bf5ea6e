/*
 * Three ways to keep the calls of all nodes within the slots of one brittle
 * upstream, in virtual time: one node that counts and is asked for each call,
 * slots that one node deals out for as long as they are in use, and an equal
 * share for each node with guesses beyond it. Prints the most rejections in a
 * second, the share of the slots in use while work waits, and the messages
 * between nodes.
 */

#include "unit/slots_fleet.h"

#include <stdio.h>

enum {
    WARM_UP_S = 3,
    RUN_S = 10,
    REJECTIONS_PER_S = 2,
};

static void
run_case(enum fleet_way way, unsigned slots, unsigned nodes)
{
    static const char *const names[FLEET_WAYS] = {
        [FLEET_COUNTER] = "counter",
        [FLEET_LEASES] = "leases",
        [FLEET_SHARES] = "shares",
    };
    struct fleet *fleet = fleet_new(way, nodes, slots, REJECTIONS_PER_S, 1);
    double wanted_per_s = 6.0 * slots;
    fleet_run(fleet, (int64_t)WARM_UP_S * G_USEC_PER_SEC, wanted_per_s);
    int64_t used = fleet->used_us;
    uint64_t messages = fleet->message_count;
    fleet_run(fleet, (int64_t)RUN_S * G_USEC_PER_SEC, wanted_per_s);
    printf("%-8s %2u slots %3u nodes: most in 1 s %2u of %u, %3d in 100 of "
           "the slots used, %6.1f messages/s\n",
           names[way], slots, nodes, fleet_find_most_rejections(fleet),
           (unsigned)REJECTIONS_PER_S,
           (int)(100 * (fleet->used_us - used) /
                 ((int64_t)slots * RUN_S * G_USEC_PER_SEC)),
           (double)(fleet->message_count - messages) / RUN_S);
    fleet_free(fleet);
}

int
main(void)
{
    static const unsigned slots[] = {1, 4, 16, 64};
    static const unsigned nodes[] = {7, 75, 300};
    for (int way = 0; way < FLEET_WAYS; way++) {
        for (size_t i = 0; i < G_N_ELEMENTS(slots); i++) {
            for (size_t j = 0; j < G_N_ELEMENTS(nodes); j++) {
                run_case((enum fleet_way)way, slots[i], nodes[j]);
            }
        }
    }
    return 0;
}
