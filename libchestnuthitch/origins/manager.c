/* Writes the item of this process, and reads those of others. */

#include "origins/origins.h"

#include <pthread.h>
#include <string.h>

enum {
    TICK_US = 250 * 1000,
    /* An item of a process that has ended is removed this long after it was
     * read: the life of a stream, and a restart of the fleet. */
    REMOVAL_DELAY_US = 240 * G_USEC_PER_SEC,
    /* After a call that failed: the store is away, or turns this node away. */
    RETRY_DELAY_US = 1 * G_USEC_PER_SEC,
};

enum reading {
    READING_IDLE,
    READING_WANTED,
    READING_UNDER_WAY,
};

struct ch_origins {
    struct ch_client *client;
    struct ch_pool *pool;
    struct ch_timers *timers;
    struct ch_kv *kv;
    struct ch_origins_node node;
    char *key;
    pthread_mutex_t lock; /* guards the rest; no call is made with it held */
    struct ch_stream_records *streams;
    struct ch_stream_records *stored; /* those that a write has held */
    struct ch_origins_schedule schedule;
    size_t node_count;  /* at the last tick */
    bool timer_pending; /* of the next write */
    bool call_under_way;
    bool revision_unknown;  /* the outcome of the last write is */
    uint64_t revision;      /* of the item; 0: there is none */
    int64_t retry_at;       /* no call of the writer before */
    uint64_t store_returns; /* from copies, at the last write */
    enum reading readings[CH_STREAM_SHARDS];
    int64_t read_retry_at; /* no partition is read before */
    GArray *removals;      /* struct removal, the first due first */
    bool removal_under_way;
    bool is_stopped;
};

/* An item to be removed: its process has ended. */
struct removal {
    char *key;
    uint64_t revision;
    int64_t due_at;
};

/* A partition that is being read. */
struct partition_read {
    struct ch_origins *origins;
    unsigned partition;
    GArray *entries; /* struct ch_kv_entry, with their strings */
};

static void
clear_removal(void *data)
{
    struct removal *removal = data;
    g_free(removal->key);
}

/* Creates a manager that does nothing until it is started. */
struct ch_origins *
ch_origins_new(struct ch_client *client, struct ch_pool *pool,
               struct ch_timers *timers, struct ch_kv *kv,
               const struct ch_origins_node *node, const char *name,
               uint64_t incarnation)
{
    struct ch_origins *origins = g_new0(struct ch_origins, 1);
    origins->client = client;
    origins->pool = pool;
    origins->timers = timers;
    origins->kv = kv;
    origins->node = *node;
    origins->key = ch_origins_make_key(name, incarnation);
    origins->streams = ch_stream_records_new(CH_ORIGINS_MAX_STREAMS);
    origins->stored = ch_stream_records_new(CH_ORIGINS_MAX_STREAMS);
    origins->removals = g_array_new(FALSE, FALSE, sizeof(struct removal));
    g_array_set_clear_func(origins->removals, clear_removal);
    pthread_mutex_init(&origins->lock, NULL);
    return origins;
}

/* See origins.h. */
void
ch_origins_free(struct ch_origins *origins)
{
    if (origins == NULL) {
        return;
    }
    ch_stream_records_free(origins->streams);
    ch_stream_records_free(origins->stored);
    g_array_free(origins->removals, TRUE);
    pthread_mutex_destroy(&origins->lock);
    g_free(origins->key);
    g_free(origins);
}

static bool
is_store_usable(const struct ch_origins *origins)
{
    return origins->kv->ops->range != NULL &&
           origins->kv->ops->get_returns != NULL;
}

/* ---- writing ---- */

static void run_writer(void *data);

/* Sees to it that the writer runs when a write is due. Lock held. */
static void
schedule_write(struct ch_origins *origins)
{
    int64_t now = ch_client_get_time(origins->client);
    int64_t delay = ch_origins_schedule_get_delay(&origins->schedule,
                                                  origins->node_count, now);
    if (delay >= 0) {
        delay = MAX(delay, origins->retry_at - now);
    }
    if (delay >= 0 && !origins->timer_pending && !origins->call_under_way &&
        !origins->is_stopped && is_store_usable(origins)) {
        origins->timer_pending = true;
        ch_timers_add(origins->timers, delay, run_writer, origins);
    }
}

/* Ends a call of the writer. Lock held, which is released. */
static void
end_call(struct ch_origins *origins, enum ch_code code)
{
    bool is_answered = code == CH_OK || code == CH_KV_MISSING;
    origins->call_under_way = false;
    if (!is_answered) {
        origins->retry_at =
            ch_client_get_time(origins->client) + RETRY_DELAY_US;
    }
    schedule_write(origins);
    pthread_mutex_unlock(&origins->lock);
}

/* A write whose outcome is unknown, or was refused, is settled by a read. */
static void
handle_write(void *data, const struct ch_kv_result *result)
{
    struct ch_origins *origins = data;
    pthread_mutex_lock(&origins->lock);
    if (result->code == CH_OK) {
        origins->revision = result->revision;
    }
    else {
        ch_log(origins->client, CH_LOG_INFO, "origins-not-written",
               CH_F_INT("code", result->code), CH_F_END);
        origins->schedule.is_changed = true;
        origins->revision_unknown = true;
    }
    end_call(origins, result->code);
}

static void
handle_read_back(void *data, const struct ch_kv_result *result)
{
    struct ch_origins *origins = data;
    pthread_mutex_lock(&origins->lock);
    if (result->code == CH_OK || result->code == CH_KV_MISSING) {
        origins->revision_unknown = false;
        origins->revision = result->code == CH_OK ? result->revision : 0;
    }
    end_call(origins, result->code);
}

/* Encodes the streams that this process holds, and notes that they are stored
 * from now on. Lock held. */
static GByteArray *
encode_streams(struct ch_origins *origins, int64_t now)
{
    GArray *records =
        g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
    for (unsigned shard = 0; shard < CH_STREAM_SHARDS; shard++) {
        ch_stream_records_list(origins->streams, shard, now, records);
    }
    for (guint i = 0; i < records->len; i++) {
        ch_stream_records_put(
            origins->stored,
            &g_array_index(records, struct ch_stream_record, i), now);
    }
    GByteArray *bytes = ch_origins_item_encode(
        (const struct ch_stream_record *)(void *)records->data, records->len);
    g_array_free(records, TRUE);
    return bytes;
}

/* Writes the item. Lock held, which is released. */
static void
write_item(struct ch_origins *origins, int64_t now)
{
    GByteArray *bytes = encode_streams(origins, now);
    uint64_t revision = origins->revision;
    origins->schedule.is_changed = false;
    origins->schedule.written_at = now;
    pthread_mutex_unlock(&origins->lock);
    origins->kv->ops->put(origins->kv, origins->key, bytes->data, bytes->len,
                          revision, handle_write, origins);
    g_byte_array_unref(bytes);
}

enum call {
    CALL_NONE,
    CALL_READ_BACK,
    CALL_WRITE,
};

/* The writer's next call. Lock held. */
static enum call
choose_call(const struct ch_origins *origins, int64_t now)
{
    const struct ch_origins_schedule *schedule = &origins->schedule;
    if (origins->call_under_way || origins->is_stopped ||
        now < origins->retry_at) {
        return CALL_NONE;
    }
    if (ch_origins_schedule_get_delay(schedule, origins->node_count, now) !=
        0) {
        return CALL_NONE;
    }
    return origins->revision_unknown ? CALL_READ_BACK : CALL_WRITE;
}

/* Makes the next call of the writer, if one is due. */
static void
write_if_due(struct ch_origins *origins)
{
    struct ch_kv *kv = origins->kv;
    int64_t now = ch_client_get_time(origins->client);
    pthread_mutex_lock(&origins->lock);
    enum call call = choose_call(origins, now);
    origins->call_under_way |= call != CALL_NONE;
    if (call == CALL_WRITE) {
        write_item(origins, now);
        return;
    }
    pthread_mutex_unlock(&origins->lock);
    if (call == CALL_READ_BACK) {
        kv->ops->get(kv, origins->key, handle_read_back, origins);
    }
}

static void
run_writer(void *data)
{
    struct ch_origins *origins = data;
    pthread_mutex_lock(&origins->lock);
    origins->timer_pending = false;
    pthread_mutex_unlock(&origins->lock);
    write_if_due(origins);
}

/* See origins.h. */
bool
ch_origins_add(struct ch_origins *origins,
               const struct ch_stream_record *record,
               struct ch_stream_origin *stored)
{
    int64_t now = ch_client_get_time(origins->client);
    pthread_mutex_lock(&origins->lock);
    const struct ch_stream_record *known =
        ch_stream_records_find(origins->stored, record->key, now);
    bool differs = known != NULL &&
                   !ch_stream_origin_equals(&known->origin, &record->origin);
    if (differs) {
        *stored = known->origin;
    }
    else {
        ch_stream_records_put(origins->streams, record, now);
        origins->schedule.is_changed = true;
        schedule_write(origins);
    }
    pthread_mutex_unlock(&origins->lock);
    return !differs;
}

/* See origins.h. */
void
ch_origins_set_mixed(struct ch_origins *origins, bool is_mixed)
{
    pthread_mutex_lock(&origins->lock);
    origins->schedule.is_mixed = is_mixed;
    schedule_write(origins);
    pthread_mutex_unlock(&origins->lock);
}

/* ---- reading ---- */

/* Notes that an item is to be removed, once for each. */
static void
add_removal(struct ch_origins *origins, const struct ch_kv_entry *entry)
{
    pthread_mutex_lock(&origins->lock);
    bool is_known = false;
    for (guint i = 0; i < origins->removals->len && !is_known; i++) {
        is_known =
            strcmp(g_array_index(origins->removals, struct removal, i).key,
                   entry->key) == 0;
    }
    if (!is_known) {
        const struct removal removal = {
            .key = g_strdup(entry->key),
            .revision = entry->revision,
            .due_at = ch_client_get_time(origins->client) + REMOVAL_DELAY_US,
        };
        g_array_append_val(origins->removals, removal);
    }
    pthread_mutex_unlock(&origins->lock);
}

/* Appends the streams of another process's item, unless that one is live. */
static void
read_entry(struct ch_origins *origins, const struct ch_kv_entry *entry,
           GArray *records)
{
    uint64_t incarnation = 0;
    g_autofree char *name = ch_origins_parse_key(entry->key, &incarnation);
    if (name != NULL &&
        origins->node.is_live(origins->node.data, name, incarnation)) {
        return;
    }
    add_removal(origins, entry);
    uint64_t writer =
        name == NULL ? 0 : ch_hash_pair(incarnation, ch_hash_string(name));
    if (name == NULL || !ch_origins_item_decode(
                            entry->value, entry->length, writer,
                            ch_client_get_time(origins->client), records)) {
        ch_log(origins->client, CH_LOG_WARNING, "origins-malformed",
               CH_F_STR("key", entry->key), CH_F_END);
    }
}

static void
clear_entry(void *data)
{
    struct ch_kv_entry *entry = data;
    g_free(entry->key);
    g_free(entry->value);
}

/* Hands over what the items of a partition hold; on the pool. */
static void
handle_entries(void *data)
{
    struct partition_read *read = data;
    struct ch_origins *origins = read->origins;
    GArray *records =
        g_array_new(FALSE, FALSE, sizeof(struct ch_stream_record));
    for (guint i = 0; i < read->entries->len; i++) {
        read_entry(origins,
                   &g_array_index(read->entries, struct ch_kv_entry, i),
                   records);
    }
    ch_log(origins->client, CH_LOG_INFO, "origins-read",
           CH_F_INT("partition", read->partition),
           CH_F_INT("items", read->entries->len),
           CH_F_INT("streams", records->len), CH_F_END);
    if (records->len > 0) {
        origins->node.take(
            origins->node.data,
            (const struct ch_stream_record *)(void *)records->data,
            records->len);
    }
    g_array_free(records, TRUE);
    g_array_free(read->entries, TRUE);
    g_free(read);
}

/* Copies the items, since they may be large, for a worker. A read that failed
 * is made again. */
static void
handle_range(void *data, const struct ch_kv_range *range)
{
    struct partition_read *read = data;
    struct ch_origins *origins = read->origins;
    bool is_read = range->code == CH_OK || range->code == CH_KV_MISSING;
    for (size_t i = 0; is_read && i < range->count; i++) {
        struct ch_kv_entry entry = range->entries[i];
        entry.key = g_strdup(entry.key);
        entry.value = g_memdup2(entry.value, entry.length);
        g_array_append_val(read->entries, entry);
    }
    pthread_mutex_lock(&origins->lock);
    origins->readings[read->partition] =
        is_read ? READING_IDLE : READING_WANTED;
    if (!is_read) {
        origins->read_retry_at =
            ch_client_get_time(origins->client) + RETRY_DELAY_US;
    }
    pthread_mutex_unlock(&origins->lock);
    ch_pool_submit(origins->pool, handle_entries, read);
}

/* Reads a partition if that is wanted. */
static void
read_if_wanted(struct ch_origins *origins, unsigned partition)
{
    int64_t now = ch_client_get_time(origins->client);
    pthread_mutex_lock(&origins->lock);
    bool is_wanted = origins->readings[partition] == READING_WANTED &&
                     now >= origins->read_retry_at && !origins->is_stopped;
    if (is_wanted) {
        origins->readings[partition] = READING_UNDER_WAY;
    }
    pthread_mutex_unlock(&origins->lock);
    if (!is_wanted) {
        return;
    }
    struct partition_read *read = g_new0(struct partition_read, 1);
    read->origins = origins;
    read->partition = partition;
    read->entries = g_array_new(FALSE, FALSE, sizeof(struct ch_kv_entry));
    g_array_set_clear_func(read->entries, clear_entry);
    g_autofree char *prefix = ch_origins_make_prefix(partition);
    origins->kv->ops->range(origins->kv, prefix, handle_range, read);
}

/* See origins.h. */
void
ch_origins_read(struct ch_origins *origins, unsigned partition)
{
    pthread_mutex_lock(&origins->lock);
    if (origins->readings[partition] == READING_IDLE) {
        origins->readings[partition] = READING_WANTED;
    }
    pthread_mutex_unlock(&origins->lock);
}

/* ---- removing ---- */

/* The end of a removal. One that failed is left to the next node that reads
 * the partition. */
static void
handle_removal(void *data, const struct ch_kv_result *result)
{
    struct ch_origins *origins = data;
    if (result->code != CH_OK) {
        ch_log(origins->client, CH_LOG_DEBUG, "origins-not-removed",
               CH_F_INT("code", result->code), CH_F_END);
    }
    pthread_mutex_lock(&origins->lock);
    origins->removal_under_way = false;
    pthread_mutex_unlock(&origins->lock);
}

/* Removes the next item that is due; one that was written since stays. */
static void
remove_if_due(struct ch_origins *origins)
{
    int64_t now = ch_client_get_time(origins->client);
    g_autofree char *key = NULL;
    uint64_t revision = 0;
    pthread_mutex_lock(&origins->lock);
    if (!origins->is_stopped && !origins->removal_under_way &&
        origins->removals->len > 0) {
        const struct removal *next =
            &g_array_index(origins->removals, struct removal, 0);
        if (now >= next->due_at) {
            key = g_strdup(next->key);
            revision = next->revision;
            g_array_remove_index(origins->removals, 0);
            origins->removal_under_way = true;
        }
    }
    pthread_mutex_unlock(&origins->lock);
    if (key != NULL) {
        origins->kv->ops->remove(origins->kv, key, revision, handle_removal,
                                 origins);
    }
}

/* ---- periodic work ---- */

static void
tick(void *data)
{
    struct ch_origins *origins = data;
    size_t node_count = origins->node.get_node_count(origins->node.data);
    uint64_t returns = origins->kv->ops->get_returns(origins->kv).count;
    int64_t now = ch_client_get_time(origins->client);
    for (unsigned i = 0; i < CH_STREAM_SHARDS; i++) {
        read_if_wanted(origins, i);
    }
    pthread_mutex_lock(&origins->lock);
    origins->node_count = node_count;
    ch_stream_records_expire(origins->streams, now);
    ch_stream_records_expire(origins->stored, now);
    if (returns != origins->store_returns) {
        /* The item may be gone. */
        origins->store_returns = returns;
        origins->schedule.is_changed = true;
    }
    pthread_mutex_unlock(&origins->lock);
    write_if_due(origins);
    remove_if_due(origins);
    pthread_mutex_lock(&origins->lock);
    if (!origins->is_stopped) {
        ch_timers_add(origins->timers, TICK_US, tick, origins);
    }
    pthread_mutex_unlock(&origins->lock);
}

/* See origins.h. */
void
ch_origins_start(struct ch_origins *origins)
{
    if (is_store_usable(origins)) {
        ch_timers_add(origins->timers, TICK_US, tick, origins);
    }
}

/* See origins.h. */
void
ch_origins_stop(struct ch_origins *origins)
{
    pthread_mutex_lock(&origins->lock);
    origins->is_stopped = true;
    pthread_mutex_unlock(&origins->lock);
}
