/* Which requests were running on upstreams when these crashed, merged from all
 * nodes.  Evidence is only ever added, so that all nodes reach the same state
 * whatever the order in which it arrives. */

#include "crash/crash_internal.h"

#include <string.h>

enum {
    /* Share of the table that is dropped when it is full: one in this many. */
    DROP_DIVISOR = 8,
};

/* The bytes of a digest are uniform, so the first ones serve as a hash. */
static guint
hash_digest(gconstpointer data)
{
    guint hash = 0;
    memcpy(&hash, data, sizeof(hash));
    return hash;
}

/* A GEqualFunc. */
static gboolean
digests_equal(gconstpointer a, gconstpointer b)
{
    return ch_digest_equal(a, b);
}

/* Frees a suspect that no crash refers to any more; a GDestroyNotify. */
static void
free_suspect(void *data)
{
    struct crash_suspect *suspect = data;
    g_array_free(suspect->involvements, TRUE);
    if (suspect->begun_elsewhere != NULL) {
        g_hash_table_destroy(suspect->begun_elsewhere);
    }
    g_free(suspect);
}

/* Frees a crash that no suspect refers to any more; a GDestroyNotify. */
static void
free_crash(void *data)
{
    struct upstream_crash *crash = data;
    g_ptr_array_free(crash->suspects, TRUE);
    g_free(crash);
}

/* See crash.h. */
struct ch_crash_table *
ch_crash_table_new(const struct ch_crash_limits *limits)
{
    struct ch_crash_table *table = g_new0(struct ch_crash_table, 1);
    table->limits = *limits;
    table->suspects =
        g_hash_table_new_full(hash_digest, digests_equal, NULL, free_suspect);
    table->fingerprint_counts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    table->crashes = g_ptr_array_new_with_free_func(free_crash);
    return table;
}

/* See crash.h. */
void
ch_crash_table_free(struct ch_crash_table *table)
{
    if (table != NULL) {
        g_hash_table_destroy(table->suspects);
        g_hash_table_destroy(table->fingerprint_counts);
        g_ptr_array_free(table->crashes, TRUE);
        g_free(table);
    }
}

/* Adds change to the number of suspects with a fingerprint. */
static void
count_fingerprint(struct ch_crash_table *table, uint64_t fingerprint,
                  int change)
{
    int count = GPOINTER_TO_INT(
        g_hash_table_lookup(table->fingerprint_counts, &fingerprint));
    count += change;
    if (count == 0) {
        g_hash_table_remove(table->fingerprint_counts, &fingerprint);
        return;
    }
    g_hash_table_replace(table->fingerprint_counts,
                         g_memdup2(&fingerprint, sizeof(fingerprint)),
                         GINT_TO_POINTER(count));
}

/* The crash of an upstream's process; NULL: none is known. */
static struct upstream_crash *
find_crash(const struct ch_crash_table *table, GQuark upstream, uint64_t boot)
{
    for (guint i = 0; i < table->crashes->len; i++) {
        struct upstream_crash *crash = g_ptr_array_index(table->crashes, i);
        if (crash->upstream == upstream && crash->boot_id == boot) {
            return crash;
        }
    }
    return NULL;
}

/* Removes a suspect, and the crashes that have no other suspect. */
static void
drop_suspect(struct ch_crash_table *table, struct crash_suspect *suspect)
{
    for (guint i = 0; i < suspect->involvements->len; i++) {
        struct upstream_crash *crash =
            g_array_index(suspect->involvements, struct crash_involvement, i)
                .crash;
        g_ptr_array_remove_fast(crash->suspects, suspect);
        if (crash->suspects->len == 0) {
            g_ptr_array_remove_fast(table->crashes, crash);
        }
    }
    count_fingerprint(table, suspect->fingerprint, -1);
    g_hash_table_remove(table->suspects, &suspect->digest);
}

/* The suspect with the oldest evidence; NULL: the table is empty. */
static struct crash_suspect *
find_oldest(const struct ch_crash_table *table)
{
    struct crash_suspect *oldest = NULL;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct crash_suspect *suspect = value;
        if (oldest == NULL ||
            suspect->last_evidence_at < oldest->last_evidence_at) {
            oldest = suspect;
        }
    }
    return oldest;
}

static struct crash_suspect *
find_or_add_suspect(struct ch_crash_table *table,
                    const struct ch_digest *digest, uint64_t fingerprint,
                    int64_t now)
{
    struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    if (suspect == NULL) {
        suspect = g_new0(struct crash_suspect, 1);
        suspect->digest = *digest;
        suspect->fingerprint = fingerprint;
        suspect->last_evidence_at = now;
        suspect->involvements =
            g_array_new(FALSE, FALSE, sizeof(struct crash_involvement));
        g_hash_table_insert(table->suspects, &suspect->digest, suspect);
        count_fingerprint(table, fingerprint, 1);
    }
    return suspect;
}

/* Finds or adds the crash of an observation, and keeps the earliest time that
 * was reported for it. */
static struct upstream_crash *
find_or_add_crash(struct ch_crash_table *table,
                  const struct ch_crash_observation *observation)
{
    struct upstream_crash *crash =
        find_crash(table, observation->upstream, observation->boot_id);
    if (crash == NULL) {
        crash = g_new0(struct upstream_crash, 1);
        crash->upstream = observation->upstream;
        crash->boot_id = observation->boot_id;
        crash->crashed_at = observation->ended_at;
        crash->suspects = g_ptr_array_new();
        g_ptr_array_add(table->crashes, crash);
    }
    crash->crashed_at = MIN(crash->crashed_at, observation->ended_at);
    return crash;
}

/* Records that a suspect was running on the crashed upstream; true when that
 * is new. */
static bool
add_involvement(struct crash_suspect *suspect, struct upstream_crash *crash,
                bool before_response)
{
    for (guint i = 0; i < suspect->involvements->len; i++) {
        struct crash_involvement *involvement =
            &g_array_index(suspect->involvements, struct crash_involvement, i);
        if (involvement->crash == crash) {
            bool is_new = before_response && !involvement->before_response;
            involvement->before_response =
                involvement->before_response || before_response;
            return is_new;
        }
    }
    const struct crash_involvement involvement = {crash, before_response};
    g_array_append_val(suspect->involvements, involvement);
    g_ptr_array_add(crash->suspects, suspect);
    return true;
}

/* Orders suspects by the time of their newest evidence; a GCompareFunc. */
static gint
compare_last_evidence(gconstpointer a, gconstpointer b)
{
    const struct crash_suspect *first = *(struct crash_suspect *const *)a;
    const struct crash_suspect *second = *(struct crash_suspect *const *)b;
    return (first->last_evidence_at > second->last_evidence_at) -
           (first->last_evidence_at < second->last_evidence_at);
}

/* Makes room after a suspect was added, by dropping those with the oldest
 * evidence.  A share of the table is dropped at once: an outage of many
 * upstreams adds thousands of suspects, and dropping one for each would search
 * the whole table every time. */
static void
make_room(struct ch_crash_table *table, struct crash_suspect *added)
{
    guint size = g_hash_table_size(table->suspects);
    if (size <= table->limits.max_requests) {
        return;
    }
    GPtrArray *suspects = g_ptr_array_sized_new(size);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (value != added) {
            g_ptr_array_add(suspects, value);
        }
    }
    g_ptr_array_sort(suspects, compare_last_evidence);
    for (guint i = 0; i < MIN(1 + size / DROP_DIVISOR, suspects->len); i++) {
        drop_suspect(table, g_ptr_array_index(suspects, i));
    }
    g_ptr_array_free(suspects, TRUE);
}

/* See crash.h. */
void
ch_crash_table_restore_barred(struct ch_crash_table *table,
                              const struct ch_digest *digest,
                              uint64_t fingerprint, int64_t now)
{
    struct crash_suspect *suspect =
        find_or_add_suspect(table, digest, fingerprint, now);
    suspect->restored = true;
    suspect->restored_at = now;
    suspect->last_evidence_at = MAX(suspect->last_evidence_at, now);
    make_room(table, suspect);
}

/* See crash.h. */
void
ch_crash_table_restore_barred_part(struct ch_crash_table *table,
                                   const struct ch_digest *digest,
                                   uint64_t fingerprint, uint64_t part,
                                   int64_t now)
{
    find_or_add_suspect(table, digest, fingerprint, now)->part = part;
    ch_crash_table_restore_barred(table, digest, fingerprint, now);
}

/* See crash.h. */
bool
ch_crash_table_add(struct ch_crash_table *table,
                   const struct ch_crash_observation *observation)
{
    struct crash_suspect *suspect =
        find_or_add_suspect(table, &observation->digest,
                            observation->fingerprint, observation->ended_at);
    suspect->part = observation->part;
    bool is_new =
        add_involvement(suspect, find_or_add_crash(table, observation),
                        observation->before_response);
    suspect->last_evidence_at =
        MAX(suspect->last_evidence_at, observation->ended_at);
    make_room(table, suspect);
    return is_new;
}

/* See crash.h. */
bool
ch_crash_table_mark_harmless(struct ch_crash_table *table,
                             const struct ch_digest *digest)
{
    struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    if (suspect == NULL || suspect->harmless) {
        return false;
    }
    suspect->harmless = true;
    return true;
}

/* ---- responses that began ---- */

/* See crash.h. */
void
ch_crash_table_report_begun(struct ch_crash_table *table,
                            const struct ch_digest *digest, GQuark node,
                            unsigned count)
{
    struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    gpointer key = GUINT_TO_POINTER(node);
    if (suspect == NULL || suspect->part == 0) {
        return;
    }
    if (suspect->begun_elsewhere == NULL) {
        suspect->begun_elsewhere = g_hash_table_new(NULL, NULL);
    }
    unsigned before =
        GPOINTER_TO_UINT(g_hash_table_lookup(suspect->begun_elsewhere, key));
    g_hash_table_replace(suspect->begun_elsewhere, key,
                         GUINT_TO_POINTER(MAX(before, count)));
}

/* See crash.h. */
void
ch_crash_table_set_own_begun(struct ch_crash_table *table,
                             const struct ch_digest *digest, unsigned count)
{
    struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    if (suspect != NULL && suspect->part != 0) {
        suspect->own_begun = MAX(suspect->own_begun, count);
    }
}

/* See crash.h. What the others know already is enough for most parts, so that
 * few nodes send anything. */
void
ch_crash_table_collect_begun(struct ch_crash_table *table, GArray *out)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct crash_suspect *suspect = value;
        unsigned known = crash_suspect_count_begun(suspect) -
                         suspect->own_begun + suspect->own_begun_told;
        if (suspect->part != 0 &&
            suspect->own_begun > suspect->own_begun_told &&
            known < crash_suspect_get_begun_told(table, suspect)) {
            const struct ch_crash_begun begun = {suspect->digest,
                                                 suspect->own_begun, 0};
            suspect->own_begun_told = suspect->own_begun;
            g_array_append_val(out, begun);
        }
    }
}

/* See crash.h. */
void
ch_crash_table_list_begun(const struct ch_crash_table *table, GArray *out)
{
    GHashTableIter suspects;
    gpointer value = NULL;
    g_hash_table_iter_init(&suspects, table->suspects);
    while (g_hash_table_iter_next(&suspects, NULL, &value)) {
        const struct crash_suspect *suspect = value;
        const struct ch_crash_begun own = {suspect->digest, suspect->own_begun,
                                           0};
        if (suspect->part == 0) {
            continue;
        }
        g_array_append_val(out, own);
        GHashTableIter nodes;
        gpointer node = NULL;
        gpointer count = NULL;
        if (suspect->begun_elsewhere == NULL) {
            continue;
        }
        g_hash_table_iter_init(&nodes, suspect->begun_elsewhere);
        while (g_hash_table_iter_next(&nodes, &node, &count)) {
            const struct ch_crash_begun begun = {suspect->digest,
                                                 GPOINTER_TO_UINT(count),
                                                 GPOINTER_TO_UINT(node)};
            g_array_append_val(out, begun);
        }
    }
}

/* See crash.h. */
void
ch_crash_table_foreach_part(const struct ch_crash_table *table,
                            void (*callback)(void *data,
                                             const struct ch_digest *digest,
                                             uint64_t fingerprint),
                            void *data)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct crash_suspect *suspect = value;
        if (suspect->part != 0) {
            callback(data, &suspect->digest, suspect->fingerprint);
        }
    }
}

/* See crash.h. */
bool
ch_crash_table_release(struct ch_crash_table *table,
                       const struct ch_digest *digest, int64_t at)
{
    struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    if (suspect == NULL || (suspect->released && suspect->released_at >= at)) {
        return false;
    }
    suspect->released = true;
    suspect->released_at = at;
    return true;
}

/* See crash.h. */
bool
ch_crash_table_has_fingerprint(const struct ch_crash_table *table,
                               uint64_t fingerprint)
{
    return g_hash_table_contains(table->fingerprint_counts, &fingerprint);
}

/* See crash.h. */
bool
ch_crash_table_has_crash(const struct ch_crash_table *table, GQuark upstream,
                         uint64_t boot)
{
    return find_crash(table, upstream, boot) != NULL;
}

/* See crash.h. */
unsigned
ch_crash_table_count_crashes(const struct ch_crash_table *table,
                             const struct ch_digest *digest)
{
    const struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    return suspect == NULL ? 0 : suspect->involvements->len;
}

/* See crash.h. */
bool
ch_crash_table_is_empty(const struct ch_crash_table *table)
{
    return g_hash_table_size(table->suspects) == 0;
}

/* See crash.h. */
void
ch_crash_table_expire(struct ch_crash_table *table, int64_t now)
{
    struct crash_suspect *oldest = find_oldest(table);
    while (oldest != NULL &&
           oldest->last_evidence_at + table->limits.retention < now) {
        drop_suspect(table, oldest);
        oldest = find_oldest(table);
    }
}

/* A checksum of one observation. */
static uint64_t
checksum_observation(const struct crash_suspect *suspect,
                     const struct crash_involvement *involvement)
{
    uint64_t checksum = ch_hash(suspect->digest.bytes, CH_DIGEST_BYTES);
    checksum = ch_hash_pair(checksum, ch_hash_string(g_quark_to_string(
                                          involvement->crash->upstream)));
    return ch_hash_pair(checksum, involvement->crash->boot_id * 2 +
                                      involvement->before_response);
}

/* See crash.h.  The sum does not depend on the order of the observations. */
uint64_t
ch_crash_table_checksum(const struct ch_crash_table *table)
{
    uint64_t checksum = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct crash_suspect *suspect = value;
        for (guint i = 0; i < suspect->involvements->len; i++) {
            checksum += checksum_observation(
                suspect, &g_array_index(suspect->involvements,
                                        struct crash_involvement, i));
        }
        uint64_t own = ch_hash(suspect->digest.bytes, CH_DIGEST_BYTES);
        checksum += suspect->harmless ? ch_hash_pair(own, 1) : 0;
        checksum += suspect->released ? ch_hash_pair(own, 2) : 0;
    }
    return checksum;
}

/* See crash.h. */
void
ch_crash_table_foreach_observation(
    const struct ch_crash_table *table,
    void (*callback)(void *data,
                     const struct ch_crash_observation *observation),
    void *data)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct crash_suspect *suspect = value;
        for (guint i = 0; i < suspect->involvements->len; i++) {
            const struct crash_involvement *involvement = &g_array_index(
                suspect->involvements, struct crash_involvement, i);
            const struct ch_crash_observation observation = {
                .digest = suspect->digest,
                .part = suspect->part,
                .fingerprint = suspect->fingerprint,
                .upstream = involvement->crash->upstream,
                .boot_id = involvement->crash->boot_id,
                .ended_at = involvement->crash->crashed_at,
                .before_response = involvement->before_response,
            };
            callback(data, &observation);
        }
    }
}

/* See crash.h. */
void
ch_crash_table_foreach(
    const struct ch_crash_table *table,
    void (*callback)(void *data, const struct ch_crash_assessment *assessment),
    void *data)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, table->suspects);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const struct ch_crash_assessment assessment =
            ch_crash_table_assess(table, key);
        callback(data, &assessment);
    }
}

/* See crash.h. */
bool
ch_crash_table_find_release(const struct ch_crash_table *table,
                            const struct ch_digest *digest, int64_t *at)
{
    const struct crash_suspect *suspect =
        g_hash_table_lookup(table->suspects, digest);
    if (suspect == NULL || !suspect->released) {
        return false;
    }
    *at = suspect->released_at;
    return true;
}
