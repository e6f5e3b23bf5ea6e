/*
 * The store comes back from a copy that lacks the lease to order engines. Its
 * holder is cut off from the store and the other nodes at that moment, and goes
 * on to order for as long as it may; another node has just started again and
 * knows nothing of the return.
 */

#include "config.h"
#include "deployment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    NODES = 2,
    ADAPTERS = 36,
};

/* lease_ms */
static const double LEASE_S = 3.0;
static const double CUT_S = 12.0;
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

/* Counts the orders that follow one of another holder at the same worker
 * within the time of a lease, or bear a lower fencing token than an earlier one
 * of another holder. */
static unsigned
count_broken(void)
{
    unsigned broken = 0;
    pthread_mutex_lock(&world_lock);
    for (int i = 0; i < deployment.worker_count; i++) {
        const struct worker *worker = deployment.workers[i];
        for (guint j = 1; j < worker->orders->len; j++) {
            const struct worker_order *before =
                &g_array_index(worker->orders, struct worker_order, j - 1);
            const struct worker_order *order = before + 1;
            if (strcmp(order->holder, before->holder) == 0 ||
                order->at - before->at >= LEASE_S) {
                continue;
            }
            broken++;
            world_record("BROKEN at %s: order of %s with fencing token "
                         "%" G_GINT64_FORMAT " arrives %.3f s after one of "
                         "%s with %" G_GINT64_FORMAT,
                         worker->id, order->holder, order->fence,
                         order->at - before->at, before->holder,
                         before->fence);
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
    deployment.workers[0] =
        worker_start("i-1a", "helper-llm", "luzon-a", "m0,m1", 0.02);
    deployment.workers[1] =
        worker_start("i-2b", "helper-llm", "luzon-a", "m0,m1", 0.02);
    deployment.workers[2] =
        worker_start("i-3c", "shop-desk", "luzon-a", NULL, 0.06);
    deployment.worker_count = 3;
    pthread_mutex_lock(&world_lock);
    store_put("op/config", config_get(), 0);
    pthread_mutex_unlock(&world_lock);
    world_sleep_until(0.2);
    pthread_mutex_lock(&world_lock);
    store_save_copy();
    pthread_mutex_unlock(&world_lock);
    world_record("a copy of the store is saved");
    deployment_start(&deployment, NODES, config_get());
    stop_at = world_now() + 22;
    for (int i = 0; i < NODES; i++) {
        world_start_thread(run_clients, GINT_TO_POINTER(i));
    }
    world_sleep_until(world_now() + 4);
    int holder = find_holder();
    if (holder < 0) {
        world_give_up("no node holds the lease");
    }
    int other = 1 - holder;
    world_record("%s holds the lease", deployment.nodes[holder].name);
    double begin = world_now();
    if (trouble) {
        deployment_cut_off(&deployment, holder, false);
        world_sleep_until(begin + 0.3);
        deployment_kill_node(&deployment, other);
        pthread_mutex_lock(&world_lock);
        store_set_away(true);
        pthread_mutex_unlock(&world_lock);
        world_record("the store is away");
        world_sleep_until(begin + 1.0);
        pthread_mutex_lock(&world_lock);
        store_restore_copy();
        store_put("op/config", config_get(), 0);
        pthread_mutex_unlock(&world_lock);
        world_record("the store is back from the copy");
        world_sleep_until(begin + 1.2);
        deployment_start_node(&deployment, other);
        world_sleep_until(begin + CUT_S);
        deployment_heal(&deployment, holder);
    }
    world_sleep_until(stop_at);
    unsigned broken = count_broken();
    deployment_stop(&deployment);
    world_record("%u orders broke the rule", broken);
    (void)printf("%u orders broke the rule\n", broken);
    return broken > 0 ? 1 : 0;
}
