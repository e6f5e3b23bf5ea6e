#ifndef FAKE_STREAMS_H
#define FAKE_STREAMS_H

/* Records of where streams began, for tests of a single node: questions get
 * the result that the test states. */

#include "node/stream_manager.h"

struct ch_stream_manager {
    struct ch_node *node;
    struct ch_stream_result result;
    int asked; /* atomic, like the rest */
    int written;
    struct ch_stream_record last; /* written; guarded by the exchange */
    uint64_t asked_key;
    struct ch_stream_origin stored; /* of all streams; version 0: none */
};

struct fake_search {
    struct ch_stream_manager *manager;
    void (*done)(void *data, const struct ch_stream_result *result);
    void *data;
};

static void
run_fake_search(void *data)
{
    struct fake_search *search = data;
    search->done(search->data, &search->manager->result);
    g_free(search);
}

void
ch_stream_manager_find(struct ch_stream_manager *manager, uint64_t key,
                       uint64_t service,
                       void (*done)(void *data,
                                    const struct ch_stream_result *result),
                       void *data)
{
    struct fake_search *search = g_new(struct fake_search, 1);
    (void)service;
    manager->asked_key = key;
    g_atomic_int_inc(&manager->asked);
    *search = (struct fake_search){manager, done, data};
    ch_pool_submit(manager->node->pool, run_fake_search, search);
}

void
ch_stream_manager_write(struct ch_stream_manager *manager,
                        const struct ch_stream_record *record)
{
    manager->last = *record;
    g_atomic_int_inc(&manager->written);
}

bool
ch_stream_manager_may_begin(struct ch_stream_manager *manager,
                            const struct ch_stream_record *record,
                            struct ch_stream_origin *stored)
{
    if (manager == NULL || manager->stored.version == 0 ||
        manager->stored.version == record->origin.version) {
        return true;
    }
    *stored = manager->stored;
    return false;
}

void
ch_stream_manager_update_versions(struct ch_stream_manager *manager,
                                  const struct ch_stream_origin *listed,
                                  size_t count)
{
    (void)manager;
    (void)listed;
    (void)count;
}

void
ch_stream_manager_set_list_age(struct ch_stream_manager *manager,
                               int64_t (*get_age)(void *data), void *data)
{
    (void)manager;
    (void)get_age;
    (void)data;
}

void
ch_stream_manager_write_status(struct ch_stream_manager *manager,
                               JsonBuilder *builder)
{
    (void)manager;
    (void)builder;
}

#endif
