#ifndef CH_NODE_QUOTA_MANAGER_H
#define CH_NODE_QUOTA_MANAGER_H

/*
 * Teams' quotas at a node: earns credit, deposits it in pools and withdraws it
 * for requests, by the rules of quota/quota.h. Some nodes of each region also
 * keep the pools of some teams.
 */

#include "node/node.h"

struct ch_quota_manager *ch_quota_manager_new(struct ch_node *node);
void ch_quota_manager_start(struct ch_quota_manager *manager);
/* From now on this node keeps no pools and hands over what it has. */
void ch_quota_manager_drain(struct ch_quota_manager *manager);
void ch_quota_manager_stop(struct ch_quota_manager *manager);
void ch_quota_manager_free(struct ch_quota_manager *manager);
/* Takes the cost of a request from a team's quota. rank: the priority of the
 * request's class, 0 is the most urgent. Calls done exactly once, in
 * this thread or on a pool worker: OK, QUOTA_USED with the time after which
 * there will be credit, or QUOTA_UNAVAILABLE. */
void ch_quota_manager_take(struct ch_quota_manager *manager, const char *team,
                           uint32_t rank, double cost,
                           void (*done)(void *data, enum ch_code code,
                                        int64_t retry_after),
                           void *data);
/* Gives back the cost of a request that was not run. */
void ch_quota_manager_give_back(struct ch_quota_manager *manager,
                                const char *team, double cost);
/* Adds the quotas as the member "quotas" of an open object. */
void ch_quota_manager_write_status(struct ch_quota_manager *manager,
                                   JsonBuilder *builder);

#endif
