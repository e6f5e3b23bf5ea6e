/* The stored form of streams' origins, and the keys of the items. */

#include "origins/origins.h"

#include "wire/wire.h"

#include <stdlib.h>
#include <string.h>

#define WIRE(name) CHESTNUTHITCH__WIRE__##name

enum {
    /* An index is one byte. */
    MAX_VERSIONS = 256,
};

static const char key_root[] = "streams";

/* The index of an origin among the versions, added if it is new; MAX_VERSIONS
 * if there is no room. */
static size_t
find_or_add_version(Chestnuthitch__Wire__StoredVersion *versions,
                    size_t *count, const struct ch_stream_origin *origin)
{
    for (size_t i = 0; i < *count; i++) {
        if (versions[i].service == origin->service &&
            versions[i].version == origin->version) {
            return i;
        }
    }
    if (*count == MAX_VERSIONS) {
        return MAX_VERSIONS;
    }
    chestnuthitch__wire__stored_version__init(&versions[*count]);
    versions[*count].service = origin->service;
    versions[*count].version = origin->version;
    return (*count)++;
}

/* See origins.h. */
GByteArray *
ch_origins_item_encode(const struct ch_stream_record *records, size_t count)
{
    Chestnuthitch__Wire__StoredOrigins item = WIRE(STORED_ORIGINS__INIT);
    Chestnuthitch__Wire__StoredVersion versions[MAX_VERSIONS];
    Chestnuthitch__Wire__StoredVersion *pointers[MAX_VERSIONS];
    size_t max = MIN(count, CH_ORIGINS_MAX_STREAMS);
    item.keys = g_new(uint64_t, max + 1);
    item.indices.data = g_new(uint8_t, max + 1);
    for (size_t i = 0; i < max; i++) {
        size_t index = find_or_add_version(versions, &item.n_versions,
                                           &records[i].origin);
        if (index == MAX_VERSIONS) {
            continue;
        }
        item.indices.data[item.n_keys] = (uint8_t)index;
        item.keys[item.n_keys++] = records[i].key;
    }
    item.indices.len = item.n_keys;
    item.versions = pointers;
    for (size_t i = 0; i < item.n_versions; i++) {
        pointers[i] = &versions[i];
    }
    size_t size = chestnuthitch__wire__stored_origins__get_packed_size(&item);
    GByteArray *bytes = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(bytes, (guint)size);
    chestnuthitch__wire__stored_origins__pack(&item, bytes->data);
    g_free(item.keys);
    g_free(item.indices.data);
    return bytes;
}

static bool
is_well_formed(const Chestnuthitch__Wire__StoredOrigins *item)
{
    if (item == NULL || item->indices.len != item->n_keys ||
        item->n_keys > CH_ORIGINS_MAX_STREAMS) {
        return false;
    }
    for (size_t i = 0; i < item->n_keys; i++) {
        if (item->indices.data[i] >= item->n_versions) {
            return false;
        }
    }
    return true;
}

/* See origins.h. */
bool
ch_origins_item_decode(const void *bytes, size_t length, uint64_t writer,
                       int64_t now, GArray *records)
{
    Chestnuthitch__Wire__StoredOrigins *item =
        chestnuthitch__wire__stored_origins__unpack(NULL, length, bytes);
    bool is_good = is_well_formed(item);
    for (size_t i = 0; is_good && i < item->n_keys; i++) {
        const Chestnuthitch__Wire__StoredVersion *version =
            item->versions[item->indices.data[i]];
        const struct ch_stream_record record = {
            .key = item->keys[i],
            .origin = {version->service, version->version},
            .writer = writer,
            /* Final: it replaces a record of an earlier call. */
            .sequence = UINT32_MAX,
            .expires_at = now + CH_STREAM_LIFE_US,
            .written_at = now,
        };
        g_array_append_val(records, record);
    }
    if (item != NULL) {
        chestnuthitch__wire__stored_origins__free_unpacked(item, NULL);
    }
    return is_good;
}

/* ---- keys: streams/PARTITION/NODE/INCARNATION ---- */

/* See origins.h. */
char *
ch_origins_make_prefix(unsigned partition)
{
    return g_strdup_printf("%s/%02x/", key_root, partition);
}

/* See origins.h. */
char *
ch_origins_make_key(const char *node, uint64_t incarnation)
{
    g_autofree char *prefix =
        ch_origins_make_prefix(ch_stream_get_shard(ch_hash_string(node)));
    return g_strdup_printf("%s%s/%" G_GINT64_MODIFIER "x", prefix, node,
                           incarnation);
}

/* See origins.h. */
char *
ch_origins_parse_key(const char *key, uint64_t *incarnation)
{
    g_auto(GStrv) parts = g_strsplit(key, "/", 5);
    guint64 number = 0;
    if (g_strv_length(parts) != 4 || strcmp(parts[0], key_root) != 0 ||
        parts[2][0] == '\0' ||
        !g_ascii_string_to_unsigned(parts[3], 16, 1, G_MAXUINT64, &number,
                                    NULL)) {
        return NULL;
    }
    *incarnation = number;
    return g_strdup(parts[2]);
}
