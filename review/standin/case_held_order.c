/*
 * One machine is cut off for 12 s while it holds the lease to order engines.
 * An order that it had given up arrives after the cut, when another machine
 * has the lease and has given orders with a higher fencing token.
 */

#include "config.h"
#include "deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    NODES = 3,
    ADAPTERS = 36,
};

static const double CUT_S = 12.0;
/* thaw_slack_ms */
static const double SLACK_S = 0.3;
static struct deployment deployment;
static double stop_at;

static void *
run_call(void *data)
{
    client_send(data);
    g_free(data);
    return NULL;
}

/* Ten requests a second at one node; half of them need an adapter. */
static void *
run_clients(void *data)
{
    int node = GPOINTER_TO_INT(data);
    static const char *const adapters[ADAPTERS] = {
        "m0/a1", "m0/a2", "m0/a3", "m0/a4", "m0/a5", "m0/a6",
        "m0/a7", "m0/a8", "m0/a9", "m0/a10", "m0/a11", "m0/a12",
        "m0/a13", "m0/a14", "m0/a15", "m0/a16", "m0/a17", "m0/a18",
        "m0/a19", "m0/a20", "m0/a21", "m0/a22", "m0/a23", "m0/a24",
        "m0/a25", "m0/a26", "m0/a27", "m0/a28", "m0/a29", "m0/a30",
        "m0/a31", "m0/a32", "m0/a33", "m0/a34", "m0/a35", "m0/a36"};
    for (unsigned i = 0; world_now() < stop_at; i++) {
        struct client_call *call = g_new0(struct client_call, 1);
        *call = (struct client_call){
            .deployment = &deployment,
            .node = node,
            .path = "/notes/a",
            .model = i % 2 == 0 ? "m1"
                                : adapters[(i / 2 * NODES + (unsigned)node) %
                                           ADAPTERS],
            .events = 10,
            .deadline_ms = 3000,
        };
        world_start_thread(run_call, call);
        g_usleep(100 * 1000);
    }
    return NULL;
}

/* The node that holds the lease; -1: none is known. */
static int
find_holder(void)
{
    pthread_mutex_lock(&world_lock);
    g_autofree char *value = store_get("orders/luzon-a");
    pthread_mutex_unlock(&world_lock);
    for (int i = 0; value != NULL && i < NODES; i++) {
        size_t length = strlen(deployment.nodes[i].name);
        if (strncmp(value, deployment.nodes[i].name, length) == 0 &&
            value[length] == ' ') {
            return i;
        }
    }
    return -1;
}

/* Counts the orders with a lower fencing token than an earlier one of another
 * holder at the same worker; not those that count as excused. */
static unsigned
count_broken(double healed_at)
{
    unsigned broken = 0;
    pthread_mutex_lock(&world_lock);
    for (int i = 0; i < deployment.worker_count; i++) {
        const struct worker *worker = deployment.workers[i];
        const struct worker_order *highest = NULL;
        for (guint j = 0; j < worker->orders->len; j++) {
            const struct worker_order *order =
                &g_array_index(worker->orders, struct worker_order, j);
            bool excused = healed_at > 0 && order->at >= healed_at &&
                           order->at < healed_at + SLACK_S;
            if (highest != NULL && order->fence < highest->fence &&
                strcmp(order->holder, highest->holder) != 0 && !excused) {
                world_record("BROKEN at %s: order of %s with fencing token "
                             "%" G_GINT64_FORMAT " arrives %.3f s after one "
                             "of %s with %" G_GINT64_FORMAT
                             ", and %.3f s after the end of the cut",
                             worker->id, order->holder, order->fence,
                             order->at - highest->at, highest->holder,
                             highest->fence, order->at - healed_at);
                broken++;
            }
            if (highest == NULL || order->fence >= highest->fence) {
                highest = order;
            }
        }
    }
    pthread_mutex_unlock(&world_lock);
    return broken;
}

int
main(void)
{
    const char *text = getenv("TROUBLE");
    bool trouble = text == NULL || strcmp(text, "0") != 0;
    double healed_at = 0;
    deployment.workers[0] =
        worker_start("i-1a", "helper-llm", "luzon-a", "m0,m1", 0.02);
    deployment.workers[1] =
        worker_start("i-2b", "helper-llm", "luzon-a", "m0,m1", 0.02);
    deployment.workers[2] =
        worker_start("i-3c", "shop-desk", "luzon-a", NULL, 0.06);
    deployment.worker_count = 3;
    deployment_start(&deployment, NODES, config_get());
    stop_at = world_now() + 36;
    for (int i = 0; i < NODES; i++) {
        world_start_thread(run_clients, GINT_TO_POINTER(i));
    }
    world_sleep_until(world_now() + 7);
    int holder = find_holder();
    if (holder < 0) {
        world_give_up("no node holds the lease");
    }
    world_record("%s holds the lease", deployment.nodes[holder].name);
    if (trouble) {
        deployment_cut_off(&deployment, holder, true);
        world_sleep_until(world_now() + CUT_S);
        deployment_heal(&deployment, holder);
        healed_at = world_now();
    }
    world_sleep_until(stop_at);
    unsigned broken = count_broken(healed_at);
    deployment_stop(&deployment);
    world_record("%u orders broke the rule", broken);
    (void)printf("%u orders broke the rule\n", broken);
    return broken > 0 ? 1 : 0;
}
