/* Which parts of prompts responses began to lately. */

#include "crash/crash.h"

enum {
    GENERATION_US = 60 * 1000 * 1000,
    /* Parts of one generation; a full one is replaced early. */
    MAX_PARTS = 8192,
};

/* Two generations of counts: the older one is dropped when the newer one is
 * full or old enough. */
struct ch_begun_parts {
    GHashTable *newer; /* uint64_t fingerprint to a count */
    GHashTable *older;
    int64_t newer_since;
};

static GHashTable *
generation_new(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

/* See crash.h. */
struct ch_begun_parts *
ch_begun_parts_new(void)
{
    struct ch_begun_parts *parts = g_new0(struct ch_begun_parts, 1);
    parts->newer = generation_new();
    parts->older = generation_new();
    return parts;
}

/* See crash.h. */
void
ch_begun_parts_free(struct ch_begun_parts *parts)
{
    if (parts != NULL) {
        g_hash_table_destroy(parts->newer);
        g_hash_table_destroy(parts->older);
        g_free(parts);
    }
}

static void
start_generation(struct ch_begun_parts *parts, int64_t now)
{
    g_hash_table_destroy(parts->older);
    parts->older = parts->newer;
    parts->newer = generation_new();
    parts->newer_since = now;
}

static void
drop_old(struct ch_begun_parts *parts, int64_t now)
{
    if (now - parts->newer_since < GENERATION_US) {
        return;
    }
    bool is_all_old = now - parts->newer_since >= 2 * (int64_t)GENERATION_US;
    start_generation(parts, now);
    if (is_all_old) {
        g_hash_table_remove_all(parts->older);
    }
}

static unsigned
get_count(GHashTable *generation, uint64_t fingerprint)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(generation, &fingerprint));
}

/* See crash.h. */
void
ch_begun_parts_add(struct ch_begun_parts *parts, uint64_t fingerprint,
                   int64_t now)
{
    drop_old(parts, now);
    if (g_hash_table_size(parts->newer) >= MAX_PARTS) {
        start_generation(parts, now);
    }
    unsigned count = get_count(parts->newer, fingerprint);
    g_hash_table_replace(parts->newer,
                         g_memdup2(&fingerprint, sizeof(fingerprint)),
                         GUINT_TO_POINTER(count + 1));
}

/* See crash.h. */
unsigned
ch_begun_parts_count(struct ch_begun_parts *parts, uint64_t fingerprint,
                     int64_t now)
{
    drop_old(parts, now);
    return get_count(parts->newer, fingerprint) +
           get_count(parts->older, fingerprint);
}
