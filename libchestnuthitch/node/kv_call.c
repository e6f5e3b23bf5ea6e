/* Calls to the key-value store. Their replies arrive on the HTTP loop's
 * thread, which must not wait for a manager's lock; so they are copied and
 * handled on a worker of the node's pool. */

#include "node/kv_call.h"

#include <string.h>

struct kv_call {
    struct ch_pool *pool;
    void (*done)(void *data, const struct ch_kv_result *answer);
    void (*list_done)(void *data, enum ch_code code,
                      const struct ch_kv_entry *entries, size_t count);
    void (*range_done)(void *data, const struct ch_kv_range *range);
    void *data;
    struct ch_kv_result answer;
    uint64_t range_revision; /* the store's, for a range */
    void *value;
    struct ch_kv_entry *entries;
    size_t count;
};

/* Frees a call and the copies that it owns. */
static void
call_free(struct kv_call *call)
{
    for (size_t i = 0; i < call->count; i++) {
        g_free(call->entries[i].key);
        g_free(call->entries[i].value);
    }
    g_free(call->entries);
    g_free(call->value);
    g_free(call);
}

/* Passes the reply to the caller, on a worker. */
static void
call_deliver(void *data)
{
    struct kv_call *call = data;
    if (call->range_done != NULL) {
        const struct ch_kv_range range = {
            .code = call->answer.code,
            .entries = call->entries,
            .count = call->count,
            .revision = call->range_revision,
        };
        call->range_done(call->data, &range);
    }
    else if (call->list_done != NULL) {
        call->list_done(call->data, call->answer.code, call->entries,
                        call->count);
    }
    else {
        call->done(call->data, &call->answer);
    }
    call_free(call);
}

/* Copies the reply about a single value and queues it for a worker; runs on
 * the HTTP loop. */
static void
receive_value(void *data, const struct ch_kv_result *answer)
{
    struct kv_call *call = data;
    call->answer = *answer;
    if (answer->value != NULL) {
        call->value = g_memdup2(answer->value, answer->length);
        call->answer.value = call->value;
    }
    ch_pool_submit(call->pool, call_deliver, call);
}

/* Copies a value; NULL, the value of a removed key, stays NULL. */
static char *
copy_value(const char *value, size_t length)
{
    if (value == NULL) {
        return NULL;
    }
    char *copy = g_malloc(length + 1);
    memcpy(copy, value, length);
    copy[length] = '\0';
    return copy;
}

/* Copies a list and queues it for a worker; runs on the HTTP loop. */
static void
receive_list(void *data, enum ch_code code, const struct ch_kv_entry *entries,
             size_t count)
{
    struct kv_call *call = data;
    call->answer.code = code;
    call->count = count;
    call->entries = g_new0(struct ch_kv_entry, count + 1);
    for (size_t i = 0; i < count; i++) {
        call->entries[i] = entries[i];
        call->entries[i].key = g_strdup(entries[i].key);
        call->entries[i].value =
            copy_value(entries[i].value, entries[i].length);
    }
    ch_pool_submit(call->pool, call_deliver, call);
}

/* Creates the state of a call; it is freed after the reply. */
static struct kv_call *
call_new(struct ch_node *node,
         void (*done)(void *data, const struct ch_kv_result *answer),
         void *data)
{
    struct kv_call *call = g_new0(struct kv_call, 1);
    call->pool = node->pool;
    call->done = done;
    call->data = data;
    return call;
}

/* Reads a value; see struct ch_kv_ops. */
void
ch_kv_call_get(struct ch_node *node, const char *key,
               void (*done)(void *data, const struct ch_kv_result *answer),
               void *data)
{
    node->kv->ops->get(node->kv, key, receive_value,
                       call_new(node, done, data));
}

/* Writes by compare-and-swap; see struct ch_kv_ops. */
void
ch_kv_call_put(struct ch_node *node, const char *key, const void *value,
               size_t length, uint64_t revision,
               void (*done)(void *data, const struct ch_kv_result *answer),
               void *data)
{
    node->kv->ops->put(node->kv, key, value, length, revision, receive_value,
                       call_new(node, done, data));
}

/* Removes by compare-and-swap; see struct ch_kv_ops. */
void
ch_kv_call_remove(struct ch_node *node, const char *key, uint64_t revision,
                  void (*done)(void *data, const struct ch_kv_result *answer),
                  void *data)
{
    node->kv->ops->remove(node->kv, key, revision, receive_value,
                          call_new(node, done, data));
}

/* Waits until the key has a higher revision, or the timeout; see struct
 * ch_kv_ops. */
void
ch_kv_call_watch(struct ch_node *node, const char *key, uint64_t revision,
                 int64_t timeout,
                 void (*done)(void *data, const struct ch_kv_result *answer),
                 void *data)
{
    node->kv->ops->watch(node->kv, key, revision, timeout, receive_value,
                         call_new(node, done, data));
}

/* Lists a prefix; see struct ch_kv_ops. The entries are valid only until
 * done() returns. */
void
ch_kv_call_list(struct ch_node *node, const char *prefix,
                void (*done)(void *data, enum ch_code code,
                             const struct ch_kv_entry *entries, size_t count),
                void *data)
{
    struct kv_call *call = call_new(node, NULL, data);
    call->list_done = done;
    node->kv->ops->list(node->kv, prefix, receive_list, call);
}

/* Copies a range and queues it for a worker; runs on the HTTP loop. */
static void
receive_range(void *data, const struct ch_kv_range *range)
{
    struct kv_call *call = data;
    call->range_revision = range->revision;
    receive_list(data, range->code, range->entries, range->count);
}

/* Creates the state of a call with a range as reply. */
static struct kv_call *
range_call_new(struct ch_node *node,
               void (*done)(void *data, const struct ch_kv_range *range),
               void *data)
{
    struct kv_call *call = call_new(node, NULL, data);
    call->range_done = done;
    return call;
}

/* See struct ch_kv_ops. The entries are valid only until done() returns. */
void
ch_kv_call_range(struct ch_node *node, const char *prefix,
                 void (*done)(void *data, const struct ch_kv_range *range),
                 void *data)
{
    node->kv->ops->range(node->kv, prefix, receive_range,
                         range_call_new(node, done, data));
}

/* See struct ch_kv_ops. The entries are valid only until done() returns. */
void
ch_kv_call_watch_changes(
    struct ch_node *node, const char *prefix, uint64_t after, int64_t timeout,
    void (*done)(void *data, const struct ch_kv_range *range), void *data)
{
    node->kv->ops->watch_changes(node->kv, prefix, after, timeout,
                                 receive_range,
                                 range_call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_create_lease(struct ch_node *node, int64_t ttl,
                        void (*done)(void *data,
                                     const struct ch_kv_result *answer),
                        void *data)
{
    node->kv->ops->create_lease(node->kv, ttl, receive_value,
                                call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_renew_lease(struct ch_node *node, uint64_t lease_id,
                       void (*done)(void *data,
                                    const struct ch_kv_result *answer),
                       void *data)
{
    node->kv->ops->renew_lease(node->kv, lease_id, receive_value,
                               call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_end_lease(struct ch_node *node, uint64_t lease_id,
                     void (*done)(void *data,
                                  const struct ch_kv_result *answer),
                     void *data)
{
    node->kv->ops->end_lease(node->kv, lease_id, receive_value,
                             call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_put_leased(struct ch_node *node, const char *key, const void *value,
                      size_t length, uint64_t revision, uint64_t lease_id,
                      void (*done)(void *data,
                                   const struct ch_kv_result *answer),
                      void *data)
{
    node->kv->ops->put_with_lease(node->kv, key, value, length, revision,
                                  lease_id, receive_value,
                                  call_new(node, done, data));
}

/* See kv_call.h. */
struct ch_kv_returns
ch_kv_get_returns(const struct ch_node *node)
{
    const struct ch_kv_returns none = {0};
    return node->kv == NULL || node->kv->ops->get_returns == NULL
               ? none
               : node->kv->ops->get_returns(node->kv);
}
