/*
 * Records of barred requests in the key-value store, which remain when all
 * nodes are killed at once. Without the records each barred request would
 * crash three more upstreams. A few nodes write each record once, and a node
 * that starts reads all of them once.
 */

#include "node/crash_internal.h"

#include "node/kv_call.h"

#include <stdio.h>
#include <string.h>

#define KEY_PREFIX "crashes/"

enum {
    /* Nodes that write each record: two, so that one may be lost. */
    WRITER_COUNT = 2,
    READ_RETRY_DELAY_US = 1000 * 1000,
    MAX_VALUE_SIZE = 64,
};

/* ---- the record's text ---- */

/* Writes the record key of a digest. */
static void
format_key(const struct ch_digest *digest, char key[CRASH_RECORD_KEY_SIZE])
{
    char text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(digest, text);
    (void)g_snprintf(key, CRASH_RECORD_KEY_SIZE, KEY_PREFIX "%s", text);
}

/* Writes the record's value, "FINGERPRINT SECONDS", or "FINGERPRINT SECONDS
 * PART" of a part of prompts; seconds is the time of day at which it was
 * barred, since 1970. */
static void
format_value(const struct ch_crash_assessment *assessment, int64_t seconds,
             char value[MAX_VALUE_SIZE])
{
    int length = g_snprintf(value, MAX_VALUE_SIZE,
                            "%016" G_GINT64_MODIFIER "x %" G_GINT64_FORMAT,
                            assessment->fingerprint, seconds);
    if (assessment->part != 0) {
        (void)g_snprintf(value + length, MAX_VALUE_SIZE - (gulong)length,
                         " %016" G_GINT64_MODIFIER "x", assessment->part);
    }
}

/* Parses a record; false for an entry that is no valid record. */
static bool
parse_record(const struct ch_kv_entry *entry, struct ch_digest *digest,
             uint64_t *fingerprint, int64_t *seconds, uint64_t *part)
{
    guint64 parsed_part = 0;
    guint64 parsed_fingerprint = 0;
    guint64 parsed_seconds = 0;
    if (entry->value == NULL || !g_str_has_prefix(entry->key, KEY_PREFIX) ||
        !ch_digest_parse(entry->key + strlen(KEY_PREFIX), digest)) {
        return false;
    }
    char **parts = g_strsplit(entry->value, " ", 4);
    guint length = g_strv_length(parts);
    bool valid = (length == 2 ||
                  (length == 3 &&
                   g_ascii_string_to_unsigned(parts[2], 16, 1, G_MAXUINT64,
                                              &parsed_part, NULL))) &&
                 g_ascii_string_to_unsigned(parts[0], 16, 0, G_MAXUINT64,
                                            &parsed_fingerprint, NULL) &&
                 g_ascii_string_to_unsigned(parts[1], 10, 0, G_MAXINT64,
                                            &parsed_seconds, NULL);
    g_strfreev(parts);
    *fingerprint = parsed_fingerprint;
    *seconds = (int64_t)parsed_seconds;
    *part = parsed_part;
    return valid;
}

/* ---- calls in progress ---- */

/* A call to the key-value store about one record. */
struct record_call {
    struct ch_crash_guard *guard;
    char key[CRASH_RECORD_KEY_SIZE];
};

/* Creates a call and counts it as a pending job. Lock held. */
static struct record_call *
begin_call(struct ch_crash_guard *guard, const struct ch_digest *digest)
{
    struct record_call *call = g_new0(struct record_call, 1);
    call->guard = guard;
    format_key(digest, call->key);
    guard->pending_jobs++;
    return call;
}

/* Ends a call; logs a failure. */
static void
end_call(struct record_call *call, const char *call_name, enum ch_code code)
{
    struct ch_crash_guard *guard = call->guard;
    if (code != CH_OK && code != CH_KV_MISSING && code != CH_KV_CONFLICT) {
        ch_log(guard->node->client, CH_LOG_WARNING, "crash-record-failed",
               CH_F_STR("call", call_name), CH_F_STR("key", call->key),
               CH_F_INT("code", code), CH_F_END);
    }
    g_free(call);
    pthread_mutex_lock(&guard->lock);
    guard->pending_jobs--;
    pthread_cond_broadcast(&guard->idle);
    pthread_mutex_unlock(&guard->lock);
}

/* ---- writing ---- */

/* Handles the reply to a write. A record that exists already counts as
 * written; after a failure it stays queued. */
static void
handle_write(void *data, const struct ch_kv_result *answer)
{
    struct record_call *call = data;
    struct ch_crash_guard *guard = call->guard;
    pthread_mutex_lock(&guard->lock);
    guard->write_in_flight = false;
    if ((answer->code == CH_OK || answer->code == CH_KV_CONFLICT) &&
        guard->unwritten_records->len > 0) {
        g_array_remove_index(guard->unwritten_records, 0);
    }
    pthread_mutex_unlock(&guard->lock);
    end_call(call, "write", answer->code);
}

/* Writes the first queued record, unless a write is in flight. When the reply
 * to a write was lost, the next attempt finds the record. */
static void
write_next_record(struct ch_crash_guard *guard)
{
    struct ch_node *node = guard->node;
    char value[MAX_VALUE_SIZE];
    pthread_mutex_lock(&guard->lock);
    if (guard->unwritten_records->len == 0 || guard->write_in_flight ||
        guard->stopping) {
        pthread_mutex_unlock(&guard->lock);
        return;
    }
    const struct ch_crash_assessment assessment =
        g_array_index(guard->unwritten_records, struct ch_crash_assessment, 0);
    struct record_call *call = begin_call(guard, &assessment.digest);
    guard->write_in_flight = true;
    pthread_mutex_unlock(&guard->lock);
    format_value(&assessment, g_get_real_time() / G_USEC_PER_SEC, value);
    ch_kv_call_put(node, call->key, value, strlen(value), 0, handle_write,
                   call);
}

/* See crash_internal.h. */
void
crash_record_schedule_write(struct ch_crash_guard *guard,
                            const struct ch_crash_assessment *assessment)
{
    if (guard->node->kv != NULL &&
        ch_peers_has_role(guard->node->peers, "crash-records", WRITER_COUNT,
                          NULL)) {
        g_array_append_val(guard->unwritten_records, *assessment);
    }
}

/* ---- removing ---- */

/* Handles the reply to a removal. */
static void
handle_remove(void *data, const struct ch_kv_result *answer)
{
    end_call(data, "remove", answer->code);
}

/* Handles the read of a record before its removal, which needs the
 * revision. */
static void
handle_get(void *data, const struct ch_kv_result *answer)
{
    struct record_call *call = data;
    if (answer->code != CH_OK) {
        end_call(call, "read", answer->code);
        return;
    }
    ch_kv_call_remove(call->guard->node, call->key, answer->revision,
                      handle_remove, call);
}

/* See crash_internal.h. */
void
crash_record_remove(struct ch_crash_guard *guard,
                    const struct ch_digest *digest)
{
    if (guard->node->kv == NULL) {
        return;
    }
    pthread_mutex_lock(&guard->lock);
    struct record_call *call =
        guard->stopping ? NULL : begin_call(guard, digest);
    pthread_mutex_unlock(&guard->lock);
    if (call != NULL) {
        ch_kv_call_get(guard->node, call->key, handle_get, call);
    }
}

/* ---- reading ---- */

/* Restores the barred requests of the records; removes records older than
 * crash_keep_s. */
static void
restore_records(struct ch_crash_guard *guard,
                const struct ch_kv_entry *entries, size_t count)
{
    int64_t max_age_s = guard->node->settings->crash_retention_s;
    int64_t wall_seconds = g_get_real_time() / G_USEC_PER_SEC;
    int64_t now = ch_client_get_time(guard->node->client);
    for (size_t i = 0; i < count; i++) {
        struct ch_digest digest;
        uint64_t fingerprint = 0;
        int64_t seconds = 0;
        uint64_t part = 0;
        if (!parse_record(&entries[i], &digest, &fingerprint, &seconds,
                          &part)) {
            ch_log(guard->node->client, CH_LOG_WARNING, "crash-record-bad",
                   CH_F_STR("key", entries[i].key), CH_F_END);
            continue;
        }
        if (wall_seconds - seconds > max_age_s) {
            crash_record_remove(guard, &digest);
            continue;
        }
        pthread_mutex_lock(&guard->lock);
        if (part != 0) {
            ch_crash_table_restore_barred_part(guard->table, &digest,
                                               fingerprint, part, now);
        }
        else {
            ch_crash_table_restore_barred(guard->table, &digest, fingerprint,
                                          now);
        }
        crash_guard_update_has_suspects(guard);
        pthread_mutex_unlock(&guard->lock);
    }
}

/* Handles the list of all records; after a failure they are asked for
 * again. */
static void
handle_list(void *data, enum ch_code code, const struct ch_kv_entry *entries,
            size_t count)
{
    struct record_call *call = data;
    struct ch_crash_guard *guard = call->guard;
    bool valid = code == CH_OK || code == CH_KV_MISSING;
    if (valid) {
        restore_records(guard, entries, count);
    }
    pthread_mutex_lock(&guard->lock);
    guard->records_loaded = valid;
    guard->read_in_flight = false;
    pthread_mutex_unlock(&guard->lock);
    end_call(call, "list", code);
}

/* For ch_crash_table_foreach(). Lock held. */
static void
schedule_again(void *data, const struct ch_crash_assessment *assessment)
{
    if (assessment->state == CH_CRASH_BARRED) {
        crash_record_schedule_write(data, assessment);
    }
}

/* Queues all records once more after the store came back from a copy, which
 * may lack some. Lock held. */
static void
write_again_after_return(struct ch_crash_guard *guard)
{
    uint64_t returns = ch_kv_get_returns(guard->node).count;
    if (returns != guard->store_returns && !guard->write_in_flight) {
        guard->store_returns = returns;
        g_array_set_size(guard->unwritten_records, 0);
        ch_crash_table_foreach(guard->table, schedule_again, guard);
    }
}

/* See crash_internal.h. */
void
crash_record_tick(struct ch_crash_guard *guard, int64_t now)
{
    static const struct ch_digest none = {{0}};
    if (guard->node->kv == NULL) {
        return;
    }
    pthread_mutex_lock(&guard->lock);
    write_again_after_return(guard);
    bool should_read = !guard->records_loaded && !guard->read_in_flight &&
                       !guard->stopping &&
                       (guard->last_read_at == 0 ||
                        now - guard->last_read_at >= READ_RETRY_DELAY_US);
    struct record_call *call = should_read ? begin_call(guard, &none) : NULL;
    if (should_read) {
        guard->read_in_flight = true;
        guard->last_read_at = now;
    }
    pthread_mutex_unlock(&guard->lock);
    if (should_read) {
        ch_kv_call_list(guard->node, KEY_PREFIX, handle_list, call);
    }
    write_next_record(guard);
}
