#ifndef CH_NODE_KV_CALL_H
#define CH_NODE_KV_CALL_H

/* Calls to the key-value store whose replies are handled on a worker of the
 * node's pool. See struct ch_kv_ops for the arguments. What done() gets is
 * valid only until done() returns. */

#include "node/node.h"

/* The store's returns from a copy; none where it has no such call. */
struct ch_kv_returns ch_kv_get_returns(const struct ch_node *node);
void ch_kv_call_get(struct ch_node *node, const char *key,
                    void (*done)(void *data,
                                 const struct ch_kv_result *answer),
                    void *data);
void ch_kv_call_put(struct ch_node *node, const char *key, const void *value,
                    size_t length, uint64_t revision,
                    void (*done)(void *data,
                                 const struct ch_kv_result *answer),
                    void *data);
void
ch_kv_call_remove(struct ch_node *node, const char *key, uint64_t revision,
                  void (*done)(void *data, const struct ch_kv_result *answer),
                  void *data);
void ch_kv_call_watch(
    struct ch_node *node, const char *key, uint64_t revision, int64_t timeout,
    void (*done)(void *data, const struct ch_kv_result *answer), void *data);
void ch_kv_call_list(struct ch_node *node, const char *prefix,
                     void (*done)(void *data, enum ch_code code,
                                  const struct ch_kv_entry *entries,
                                  size_t count),
                     void *data);
/* Only for key-value stores with ranges and leases. */
void ch_kv_call_range(struct ch_node *node, const char *prefix,
                      void (*done)(void *data,
                                   const struct ch_kv_range *range),
                      void *data);
void ch_kv_call_watch_changes(
    struct ch_node *node, const char *prefix, uint64_t after, int64_t timeout,
    void (*done)(void *data, const struct ch_kv_range *range), void *data);
void ch_kv_call_create_lease(struct ch_node *node, int64_t ttl,
                             void (*done)(void *data,
                                          const struct ch_kv_result *answer),
                             void *data);
void ch_kv_call_renew_lease(struct ch_node *node, uint64_t lease_id,
                            void (*done)(void *data,
                                         const struct ch_kv_result *answer),
                            void *data);
void ch_kv_call_end_lease(struct ch_node *node, uint64_t lease_id,
                          void (*done)(void *data,
                                       const struct ch_kv_result *answer),
                          void *data);
void ch_kv_call_put_leased(
    struct ch_node *node, const char *key, const void *value, size_t length,
    uint64_t revision, uint64_t lease_id,
    void (*done)(void *data, const struct ch_kv_result *answer), void *data);

#endif
