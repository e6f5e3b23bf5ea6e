/* Key-value calls whose answers come on a pool worker: the HTTP loop's thread,
 * on which they arrive, must not wait for a keeper's lock. */

#include "node/kv_call.h"

#include <string.h>

struct kv_call {
    struct ch_pool *pool;
    void (*done)(void *data, const struct ch_kv_answer *answer);
    void (*listed)(void *data, enum ch_code code,
                   const struct ch_kv_entry *entries, size_t count);
    void (*ranged)(void *data, const struct ch_kv_range *range);
    void *data;
    struct ch_kv_answer answer;
    uint64_t at; /* of a range */
    void *value;
    struct ch_kv_entry *entries;
    size_t count;
};

/* Frees a call with the copies that it holds. */
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

/* On a worker: gives the answer to the caller. */
static void
call_run(void *data)
{
    struct kv_call *call = data;
    if (call->ranged != NULL) {
        const struct ch_kv_range range = {
            .code = call->answer.code,
            .entries = call->entries,
            .count = call->count,
            .at = call->at,
        };
        call->ranged(call->data, &range);
    }
    else if (call->listed != NULL) {
        call->listed(call->data, call->answer.code, call->entries,
                     call->count);
    }
    else {
        call->done(call->data, &call->answer);
    }
    call_free(call);
}

/* On the HTTP loop: copies a value's answer and hands it on. */
static void
value_came(void *data, const struct ch_kv_answer *answer)
{
    struct kv_call *call = data;
    call->answer = *answer;
    if (answer->value != NULL) {
        call->value = g_memdup2(answer->value, answer->length);
        call->answer.value = call->value;
    }
    ch_pool_submit(call->pool, call_run, call);
}

/* Copies a value; NULL, which is one that was removed, stays NULL. */
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

/* On the HTTP loop: copies a list and hands it on. */
static void
list_came(void *data, enum ch_code code, const struct ch_kv_entry *entries,
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
    ch_pool_submit(call->pool, call_run, call);
}

/* A call's state, freed after its answer. */
static struct kv_call *
call_new(struct ch_node *node,
         void (*done)(void *data, const struct ch_kv_answer *answer),
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
               void (*done)(void *data, const struct ch_kv_answer *answer),
               void *data)
{
    node->kv->ops->get(node->kv, key, value_came, call_new(node, done, data));
}

/* Writes by compare-and-swap; see struct ch_kv_ops. */
void
ch_kv_call_put(struct ch_node *node, const char *key, const void *value,
               size_t length, uint64_t revision,
               void (*done)(void *data, const struct ch_kv_answer *answer),
               void *data)
{
    node->kv->ops->put(node->kv, key, value, length, revision, value_came,
                       call_new(node, done, data));
}

/* Removes by compare-and-swap; see struct ch_kv_ops. */
void
ch_kv_call_remove(struct ch_node *node, const char *key, uint64_t revision,
                  void (*done)(void *data, const struct ch_kv_answer *answer),
                  void *data)
{
    node->kv->ops->remove(node->kv, key, revision, value_came,
                          call_new(node, done, data));
}

/* Waits for a higher revision; see struct ch_kv_ops. */
void
ch_kv_call_watch(struct ch_node *node, const char *key, uint64_t revision,
                 int64_t wait,
                 void (*done)(void *data, const struct ch_kv_answer *answer),
                 void *data)
{
    node->kv->ops->watch(node->kv, key, revision, wait, value_came,
                         call_new(node, done, data));
}

/* Lists a prefix; the entries are valid during done alone. */
void
ch_kv_call_list(struct ch_node *node, const char *prefix,
                void (*done)(void *data, enum ch_code code,
                             const struct ch_kv_entry *entries, size_t count),
                void *data)
{
    struct kv_call *call = call_new(node, NULL, data);
    call->listed = done;
    node->kv->ops->list(node->kv, prefix, list_came, call);
}

/* On the HTTP loop: copies a range and hands it on. */
static void
range_came(void *data, const struct ch_kv_range *range)
{
    struct kv_call *call = data;
    call->at = range->at;
    list_came(data, range->code, range->entries, range->count);
}

/* A call whose answer is a range. */
static struct kv_call *
range_call_new(struct ch_node *node,
               void (*done)(void *data, const struct ch_kv_range *range),
               void *data)
{
    struct kv_call *call = call_new(node, NULL, data);
    call->ranged = done;
    return call;
}

/* See struct ch_kv_ops; the entries are valid during done alone. */
void
ch_kv_call_range(struct ch_node *node, const char *prefix,
                 void (*done)(void *data, const struct ch_kv_range *range),
                 void *data)
{
    node->kv->ops->range(node->kv, prefix, range_came,
                         range_call_new(node, done, data));
}

/* See struct ch_kv_ops; the entries are valid during done alone. */
void
ch_kv_call_changes(struct ch_node *node, const char *prefix, uint64_t after,
                   int64_t wait,
                   void (*done)(void *data, const struct ch_kv_range *range),
                   void *data)
{
    node->kv->ops->changes(node->kv, prefix, after, wait, range_came,
                           range_call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_lease(struct ch_node *node, int64_t ttl,
                 void (*done)(void *data, const struct ch_kv_answer *answer),
                 void *data)
{
    node->kv->ops->lease(node->kv, ttl, value_came,
                         call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_renew(struct ch_node *node, uint64_t lease,
                 void (*done)(void *data, const struct ch_kv_answer *answer),
                 void *data)
{
    node->kv->ops->renew(node->kv, lease, value_came,
                         call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_end_lease(struct ch_node *node, uint64_t lease,
                     void (*done)(void *data,
                                  const struct ch_kv_answer *answer),
                     void *data)
{
    node->kv->ops->end_lease(node->kv, lease, value_came,
                             call_new(node, done, data));
}

/* See struct ch_kv_ops. */
void
ch_kv_call_put_leased(struct ch_node *node, const char *key, const void *value,
                      size_t length, uint64_t revision, uint64_t lease,
                      void (*done)(void *data,
                                   const struct ch_kv_answer *answer),
                      void *data)
{
    node->kv->ops->put_leased(node->kv, key, value, length, revision, lease,
                              value_came, call_new(node, done, data));
}
