/*
 * Barred requests in the key-value service, which outlives nodes that are all
 * killed at once: else each of them would crash three more upstreams.  One
 * write for a request, by few nodes, and one read for a node that starts.
 */

#include "node/crash_internal.h"

#include "node/kv_call.h"

#include <stdio.h>
#include <string.h>

#define PREFIX "crashes/"

enum {
    /* Nodes that write a record, so that one of them may be lost. */
    WRITERS = 2,
    RETRY_PAUSE = 1000 * 1000,
    MOST_VALUE = 64,
};

/* ---- the record's text ---- */

/* The key of a digest. */
static void
print_key(const struct ch_digest *digest, char key[CRASH_RECORD_KEY])
{
    char text[CH_DIGEST_TEXT_SIZE];
    ch_digest_format(digest, text);
    (void)g_snprintf(key, CRASH_RECORD_KEY, PREFIX "%s", text);
}

/* "FINGERPRINT SECONDS": the time of day at which it was barred. */
static void
print_value(uint64_t fingerprint, int64_t seconds, char value[MOST_VALUE])
{
    (void)g_snprintf(value, MOST_VALUE,
                     "%016" G_GINT64_MODIFIER "x %" G_GINT64_FORMAT,
                     fingerprint, seconds);
}

/* Reads a record; false for an entry that is none. */
static bool
read_record(const struct ch_kv_entry *entry, struct ch_digest *digest,
            uint64_t *fingerprint, int64_t *seconds)
{
    guint64 number = 0;
    guint64 time = 0;
    if (entry->value == NULL || !g_str_has_prefix(entry->key, PREFIX) ||
        !ch_digest_parse(entry->key + strlen(PREFIX), digest)) {
        return false;
    }
    char **parts = g_strsplit(entry->value, " ", 3);
    bool good =
        g_strv_length(parts) == 2 &&
        g_ascii_string_to_unsigned(parts[0], 16, 0, G_MAXUINT64, &number,
                                   NULL) &&
        g_ascii_string_to_unsigned(parts[1], 10, 0, G_MAXINT64, &time, NULL);
    g_strfreev(parts);
    *fingerprint = number;
    *seconds = (int64_t)time;
    return good;
}

/* ---- calls under way ---- */

/* A call to the service about one record. */
struct record_call {
    struct ch_crash_keeper *keeper;
    char key[CRASH_RECORD_KEY];
};

/* Counts a call in.  Lock held. */
static struct record_call *
begin(struct ch_crash_keeper *keeper, const struct ch_digest *digest)
{
    struct record_call *call = g_new0(struct record_call, 1);
    call->keeper = keeper;
    print_key(digest, call->key);
    keeper->jobs++;
    return call;
}

/* Counts a call out, and logs what failed. */
static void
end(struct record_call *call, const char *what, enum ch_code code)
{
    struct ch_crash_keeper *keeper = call->keeper;
    if (code != CH_OK && code != CH_KV_MISSING && code != CH_KV_CONFLICT) {
        ch_log(keeper->node->client, CH_LOG_WARNING, "crash-record-failed",
               CH_F_STR("call", what), CH_F_STR("key", call->key),
               CH_F_INT("code", code), CH_F_END);
    }
    g_free(call);
    pthread_mutex_lock(&keeper->lock);
    keeper->jobs--;
    pthread_cond_broadcast(&keeper->idle);
    pthread_mutex_unlock(&keeper->lock);
}

/* ---- writing ---- */

/* The record was written, is there already, or is to be tried again. */
static void
written(void *data, const struct ch_kv_answer *answer)
{
    struct record_call *call = data;
    struct ch_crash_keeper *keeper = call->keeper;
    pthread_mutex_lock(&keeper->lock);
    keeper->recording = false;
    if ((answer->code == CH_OK || answer->code == CH_KV_CONFLICT) &&
        keeper->unrecorded->len > 0) {
        g_array_remove_index(keeper->unrecorded, 0);
    }
    pthread_mutex_unlock(&keeper->lock);
    end(call, "write", answer->code);
}

/* Writes the first record that is not in the service yet.  A retry finds the
 * one whose answer was lost. */
static void
write_next(struct ch_crash_keeper *keeper)
{
    struct ch_node *node = keeper->node;
    char value[MOST_VALUE];
    pthread_mutex_lock(&keeper->lock);
    if (keeper->unrecorded->len == 0 || keeper->recording ||
        keeper->stopping) {
        pthread_mutex_unlock(&keeper->lock);
        return;
    }
    const struct ch_crash_assessment view =
        g_array_index(keeper->unrecorded, struct ch_crash_assessment, 0);
    struct record_call *call = begin(keeper, &view.digest);
    keeper->recording = true;
    pthread_mutex_unlock(&keeper->lock);
    print_value(view.fingerprint, g_get_real_time() / G_USEC_PER_SEC, value);
    ch_kv_call_put(node, call->key, value, strlen(value), 0, written, call);
}

/* See crash_internal.h. */
void
crash_record_note(struct ch_crash_keeper *keeper,
                  const struct ch_crash_assessment *view)
{
    if (keeper->node->kv != NULL &&
        ch_peers_has_role(keeper->node->peers, "crash-records", WRITERS,
                          NULL)) {
        g_array_append_val(keeper->unrecorded, *view);
    }
}

/* ---- removing ---- */

/* The record went. */
static void
removed(void *data, const struct ch_kv_answer *answer)
{
    end(data, "remove", answer->code);
}

/* The record's number is known: it can be removed. */
static void
got(void *data, const struct ch_kv_answer *answer)
{
    struct record_call *call = data;
    if (answer->code != CH_OK) {
        end(call, "read", answer->code);
        return;
    }
    ch_kv_call_remove(call->keeper->node, call->key, answer->revision, removed,
                      call);
}

/* See crash_internal.h. */
void
crash_record_remove(struct ch_crash_keeper *keeper,
                    const struct ch_digest *digest)
{
    if (keeper->node->kv == NULL) {
        return;
    }
    pthread_mutex_lock(&keeper->lock);
    struct record_call *call = keeper->stopping ? NULL : begin(keeper, digest);
    pthread_mutex_unlock(&keeper->lock);
    if (call != NULL) {
        ch_kv_call_get(keeper->node, call->key, got, call);
    }
}

/* ---- reading ---- */

/* Takes the records; those that are too old are removed. */
static void
take_records(struct ch_crash_keeper *keeper, const struct ch_kv_entry *entries,
             size_t count)
{
    int64_t keep = keeper->node->settings->crash_keep_s;
    int64_t time = g_get_real_time() / G_USEC_PER_SEC;
    int64_t now = ch_client_now(keeper->node->client);
    for (size_t i = 0; i < count; i++) {
        struct ch_digest digest;
        uint64_t fingerprint = 0;
        int64_t seconds = 0;
        if (!read_record(&entries[i], &digest, &fingerprint, &seconds)) {
            ch_log(keeper->node->client, CH_LOG_WARNING, "crash-record-bad",
                   CH_F_STR("key", entries[i].key), CH_F_END);
            continue;
        }
        if (time - seconds > keep) {
            crash_record_remove(keeper, &digest);
            continue;
        }
        pthread_mutex_lock(&keeper->lock);
        ch_crash_table_restore_barred(keeper->table, &digest, fingerprint,
                                      now);
        crash_keeper_note_active(keeper);
        pthread_mutex_unlock(&keeper->lock);
    }
}

/* The records came, or are to be asked for again. */
static void
listed(void *data, enum ch_code code, const struct ch_kv_entry *entries,
       size_t count)
{
    struct record_call *call = data;
    struct ch_crash_keeper *keeper = call->keeper;
    bool good = code == CH_OK || code == CH_KV_MISSING;
    if (good) {
        take_records(keeper, entries, count);
    }
    pthread_mutex_lock(&keeper->lock);
    keeper->read = good;
    keeper->reading = false;
    pthread_mutex_unlock(&keeper->lock);
    end(call, "list", code);
}

/* See crash_internal.h. */
void
crash_record_tick(struct ch_crash_keeper *keeper, int64_t now)
{
    static const struct ch_digest none = {{0}};
    if (keeper->node->kv == NULL) {
        return;
    }
    pthread_mutex_lock(&keeper->lock);
    bool reads =
        !keeper->read && !keeper->reading && !keeper->stopping &&
        (keeper->read_at == 0 || now - keeper->read_at >= RETRY_PAUSE);
    struct record_call *call = reads ? begin(keeper, &none) : NULL;
    if (reads) {
        keeper->reading = true;
        keeper->read_at = now;
    }
    pthread_mutex_unlock(&keeper->lock);
    if (reads) {
        ch_kv_call_list(keeper->node, PREFIX, listed, call);
    }
    write_next(keeper);
}
