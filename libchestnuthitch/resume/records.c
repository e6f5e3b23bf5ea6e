/* Records of where streams began. */

#include "resume/resume.h"

struct ch_stream_records {
    GHashTable *by_key; /* uint64_t to struct ch_stream_record */
    size_t max;
};

/* See resume.h. */
uint64_t
ch_stream_get_key(const char *owner, const char *request_id)
{
    return ch_hash_pair(ch_hash_string(owner), ch_hash_string(request_id));
}

/* See resume.h. */
struct ch_stream_records *
ch_stream_records_new(size_t max)
{
    struct ch_stream_records *records = g_new0(struct ch_stream_records, 1);
    records->by_key =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    records->max = max;
    return records;
}

/* Frees the records; NULL is allowed. */
void
ch_stream_records_free(struct ch_stream_records *records)
{
    if (records != NULL) {
        g_hash_table_destroy(records->by_key);
        g_free(records);
    }
}

/* See resume.h. */
bool
ch_stream_origin_equals(const struct ch_stream_origin *a,
                        const struct ch_stream_origin *b)
{
    return a->service == b->service && a->version == b->version;
}

/* Merges what another message says of the same stream. A writer's later call
 * replaces its earlier one, as no event had come by then. */
static void
merge(struct ch_stream_record *known, const struct ch_stream_record *record)
{
    known->expires_at = MAX(known->expires_at, record->expires_at);
    known->ambiguous = known->ambiguous || record->ambiguous;
    if (known->writer != record->writer) {
        known->ambiguous =
            known->ambiguous ||
            !ch_stream_origin_equals(&known->origin, &record->origin);
        return;
    }
    if (record->sequence > known->sequence) {
        known->origin = record->origin;
        known->sequence = record->sequence;
        known->upstream = record->upstream;
        known->written_at = record->written_at;
    }
}

/* Makes room for one record: drops those that have expired, else the one that
 * expires first. */
static void
make_room(struct ch_stream_records *records, int64_t now)
{
    ch_stream_records_expire(records, now);
    if (g_hash_table_size(records->by_key) < records->max) {
        return;
    }
    GHashTableIter iterator;
    gpointer value = NULL;
    const struct ch_stream_record *first = NULL;
    g_hash_table_iter_init(&iterator, records->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ch_stream_record *record = value;
        if (first == NULL || record->expires_at < first->expires_at) {
            first = record;
        }
    }
    if (first != NULL) {
        g_hash_table_remove(records->by_key, &first->key);
    }
}

/* See resume.h. */
void
ch_stream_records_put(struct ch_stream_records *records,
                      const struct ch_stream_record *record, int64_t now)
{
    struct ch_stream_record *known =
        g_hash_table_lookup(records->by_key, &record->key);
    if (known != NULL && known->expires_at > now) {
        merge(known, record);
        return;
    }
    if (record->expires_at <= now) {
        return;
    }
    if (g_hash_table_size(records->by_key) >= records->max) {
        make_room(records, now);
    }
    struct ch_stream_record *added = g_memdup2(record, sizeof(*record));
    g_hash_table_replace(records->by_key, &added->key, added);
}

/* See resume.h. */
const struct ch_stream_record *
ch_stream_records_find(const struct ch_stream_records *records, uint64_t key,
                       int64_t now)
{
    const struct ch_stream_record *record =
        g_hash_table_lookup(records->by_key, &key);
    return record != NULL && record->expires_at > now ? record : NULL;
}

/* See resume.h. */
size_t
ch_stream_records_count(const struct ch_stream_records *records)
{
    return g_hash_table_size(records->by_key);
}

/* See resume.h. */
void
ch_stream_records_expire(struct ch_stream_records *records, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, records->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ch_stream_record *record = value;
        if (record->expires_at <= now) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* See resume.h. */
void
ch_stream_records_list(const struct ch_stream_records *records, unsigned shard,
                       int64_t now, GArray *out)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, records->by_key);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct ch_stream_record *record = value;
        if (record->expires_at > now &&
            ch_stream_get_shard(record->key) == shard) {
            g_array_append_vals(out, record, 1);
        }
    }
}
