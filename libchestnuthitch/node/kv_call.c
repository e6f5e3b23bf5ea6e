/* Key-value calls whose answers come on a pool worker: the HTTP loop's thread,
 * on which they arrive, must not wait for a keeper's lock. */

#include "node/kv_call.h"

struct kv_call {
    struct ch_pool *pool;
    void (*done)(void *data, const struct ch_kv_answer *answer);
    void (*listed)(void *data, enum ch_code code,
                   const struct ch_kv_entry *entries, size_t count);
    void *data;
    struct ch_kv_answer answer;
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
    if (call->listed != NULL) {
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
            g_memdup2(entries[i].value, entries[i].length);
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
