#ifndef FAKE_LIMITS_H
#define FAKE_LIMITS_H

/* Limits for tests of a single node: every upstream has one, or none; the
 * first calls are refused as the test states. */

#include "node/limit_manager.h"

struct ch_limit_manager {
    struct ch_node *node;
    bool limited;
    int refusals; /* atomic, like the rest: calls that are still refused */
    int64_t retry_after;
    int taken; /* permissions asked for */
};

/* A call that waits for its permission. */
struct fake_take {
    bool granted;
    int64_t retry_after;
    void (*done)(void *data, bool granted, int64_t retry_after);
    void *data;
};

static void
run_fake_take(void *data)
{
    struct fake_take *take = data;
    take->done(take->data, take->granted, take->retry_after);
    g_free(take);
}

struct ch_limit_listener
ch_limit_manager_get_listener(struct ch_limit_manager *manager,
                              GQuark upstream, GQuark region)
{
    return (struct ch_limit_listener){NULL, manager, upstream, region};
}

void
ch_limit_manager_update_upstream(struct ch_limit_manager *manager,
                                 GQuark upstream, uint64_t boot_id)
{
    (void)manager;
    (void)upstream;
    (void)boot_id;
}

bool
ch_limit_manager_is_limited(struct ch_limit_manager *manager, GQuark upstream)
{
    (void)upstream;
    return manager != NULL && manager->limited;
}

void
ch_limit_manager_take(struct ch_limit_manager *manager, GQuark upstream,
                      enum ch_limited_call kind, bool last_resort,
                      void (*done)(void *data, bool granted,
                                   int64_t retry_after),
                      void *data)
{
    (void)upstream;
    (void)last_resort;
    g_assert_cmpint(kind, ==, CH_LIMITED_REQUEST);
    g_atomic_int_inc(&manager->taken);
    struct fake_take *take = g_new(struct fake_take, 1);
    bool granted = g_atomic_int_add(&manager->refusals, -1) <= 0;
    *take = (struct fake_take){granted, granted ? 0 : manager->retry_after,
                               done, data};
    ch_pool_submit(manager->node->pool, run_fake_take, take);
}

void
ch_limit_manager_write_status(struct ch_limit_manager *manager,
                              JsonBuilder *builder)
{
    (void)manager;
    (void)builder;
}

#endif
