/* Writes the item of this process, and reads those of others. */

#include "origins/origins.h"

#include <pthread.h>

enum {
    TICK_US = 250 * 1000,
    /* The item outlives its process by the life of a stream, and a restart of
     * the fleet. */
    LEASE_TTL_US = 240 * G_USEC_PER_SEC,
    LEASE_RENEWAL_US = 60 * G_USEC_PER_SEC,
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
    bool revision_unknown; /* the outcome of the last write is */
    uint64_t revision;     /* of the item; 0: there is none */
    uint64_t lease_id;     /* 0: none */
    int64_t renewed_at;
    int64_t retry_at;       /* no call of the writer before */
    uint64_t store_returns; /* from copies, at the last write */
    enum reading readings[CH_STREAM_SHARDS];
    int64_t read_retry_at; /* no partition is read before */
    bool is_stopped;
};

/* A partition that is being read. */
struct partition_read {
    struct ch_origins *origins;
    unsigned partition;
    GArray *entries; /* struct ch_kv_entry, with their strings */
};

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
    pthread_mutex_destroy(&origins->lock);
    g_free(origins->key);
    g_free(origins);
}

static bool
is_store_usable(const struct ch_origins *origins)
{
    return origins->kv->ops->range != NULL &&
           origins->kv->ops->put_with_lease != NULL;
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

static void
log_failure(const struct ch_origins *origins, const char *call,
            enum ch_code code)
{
    ch_log(origins->client, CH_LOG_INFO, "origins-not-written",
           CH_F_STR("call", call), CH_F_INT("code", code), CH_F_END);
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
        log_failure(origins, "put", result->code);
        origins->schedule.is_changed = true;
        origins->revision_unknown = result->code != CH_KV_MISSING;
        if (result->code == CH_KV_MISSING) {
            origins->lease_id = 0;
            origins->revision = 0;
        }
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

static void
handle_lease(void *data, const struct ch_kv_result *result)
{
    struct ch_origins *origins = data;
    pthread_mutex_lock(&origins->lock);
    if (result->code == CH_OK) {
        origins->lease_id = result->revision;
    }
    else {
        log_failure(origins, "lease", result->code);
    }
    end_call(origins, result->code);
}

static void
handle_renewal(void *data, const struct ch_kv_result *result)
{
    struct ch_origins *origins = data;
    pthread_mutex_lock(&origins->lock);
    if (result->code == CH_KV_MISSING) {
        origins->lease_id = 0;
        origins->revision = 0;
        origins->schedule.is_changed = true;
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
    uint64_t lease_id = origins->lease_id;
    origins->schedule.is_changed = false;
    origins->schedule.written_at = now;
    pthread_mutex_unlock(&origins->lock);
    origins->kv->ops->put_with_lease(origins->kv, origins->key, bytes->data,
                                     bytes->len, revision, lease_id,
                                     handle_write, origins);
    g_byte_array_unref(bytes);
}

enum call {
    CALL_NONE,
    CALL_CREATE_LEASE,
    CALL_RENEW_LEASE,
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
    if (schedule->is_mixed && origins->lease_id != 0 &&
        now - origins->renewed_at >= LEASE_RENEWAL_US) {
        return CALL_RENEW_LEASE;
    }
    if (ch_origins_schedule_get_delay(schedule, origins->node_count, now) !=
        0) {
        return CALL_NONE;
    }
    if (origins->lease_id == 0) {
        return CALL_CREATE_LEASE;
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
    uint64_t lease_id = origins->lease_id;
    origins->call_under_way |= call != CALL_NONE;
    if (call == CALL_WRITE) {
        write_item(origins, now);
        return;
    }
    if (call == CALL_CREATE_LEASE || call == CALL_RENEW_LEASE) {
        origins->renewed_at = now;
    }
    pthread_mutex_unlock(&origins->lock);
    if (call == CALL_CREATE_LEASE) {
        kv->ops->create_lease(kv, LEASE_TTL_US, handle_lease, origins);
    }
    else if (call == CALL_RENEW_LEASE) {
        kv->ops->renew_lease(kv, lease_id, handle_renewal, origins);
    }
    else if (call == CALL_READ_BACK) {
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

/* Appends the streams of another process's item, unless that one is live. */
static void
read_entry(const struct ch_origins *origins, const struct ch_kv_entry *entry,
           GArray *records)
{
    uint64_t incarnation = 0;
    g_autofree char *name = ch_origins_parse_key(entry->key, &incarnation);
    if (name != NULL &&
        origins->node.is_live(origins->node.data, name, incarnation)) {
        return;
    }
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
    const struct ch_origins *origins = read->origins;
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
