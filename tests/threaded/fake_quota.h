#ifndef FAKE_QUOTA_H
#define FAKE_QUOTA_H

/* Quotas for tests of a single node: grants or refuses as the test states, and
 * counts what is taken and given back. */

#include "node/quota_manager.h"

struct ch_quota_manager {
    enum ch_code code; /* of every request */
    int taken;         /* atomic, like the rest */
    int given_back;
};

void
ch_quota_manager_take(struct ch_quota_manager *manager, const char *team,
                      uint32_t rank, double cost,
                      void (*done)(void *data, enum ch_code code,
                                   int64_t retry_after),
                      void *data)
{
    (void)rank;
    g_assert_nonnull(team);
    g_assert_cmpfloat(cost, >, 0);
    g_atomic_int_inc(&manager->taken);
    done(data, manager->code, manager->code == CH_OK ? 0 : 700 * 1000);
}

void
ch_quota_manager_give_back(struct ch_quota_manager *manager, const char *team,
                           double cost)
{
    g_assert_nonnull(team);
    g_assert_cmpfloat(cost, >, 0);
    g_atomic_int_inc(&manager->given_back);
}

void
ch_quota_manager_write_status(struct ch_quota_manager *manager,
                              JsonBuilder *builder)
{
    (void)manager;
    (void)builder;
}

#endif
