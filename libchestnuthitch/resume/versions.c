/* The versions that the upstreams of each service ran lately. */

#include "resume/resume.h"

/* Upstreams of one service that run one version. */
struct seen_version {
    struct ch_stream_origin origin;
    bool listed;
    int64_t unlisted_at; /* when the last such upstream left the list */
};

struct ch_version_history {
    GArray *seen; /* struct seen_version */
    int64_t begun_at;
    bool new_fleet;
};

/* See resume.h. */
struct ch_version_history *
ch_version_history_new(int64_t begun_at)
{
    struct ch_version_history *history = g_new0(struct ch_version_history, 1);
    history->seen = g_array_new(FALSE, FALSE, sizeof(struct seen_version));
    history->begun_at = begun_at;
    return history;
}

/* Frees the history; NULL is allowed. */
void
ch_version_history_free(struct ch_version_history *history)
{
    if (history != NULL) {
        g_array_free(history->seen, TRUE);
        g_free(history);
    }
}

/* See resume.h. */
void
ch_version_history_set_new_fleet(struct ch_version_history *history)
{
    history->new_fleet = true;
}

static struct seen_version *
find_or_add(struct ch_version_history *history,
            const struct ch_stream_origin *origin)
{
    for (guint i = 0; i < history->seen->len; i++) {
        struct seen_version *seen =
            &g_array_index(history->seen, struct seen_version, i);
        if (ch_stream_origin_equals(&seen->origin, origin)) {
            return seen;
        }
    }
    const struct seen_version added = {.origin = *origin};
    g_array_append_val(history->seen, added);
    return &g_array_index(history->seen, struct seen_version,
                          history->seen->len - 1);
}

/* Notes that a version that was listed until now is so no longer, and drops
 * those that no stream can have begun at. */
static void
note_unlisted(struct ch_version_history *history, int64_t now)
{
    for (guint i = history->seen->len; i > 0; i--) {
        struct seen_version *seen =
            &g_array_index(history->seen, struct seen_version, i - 1);
        if (!seen->listed && seen->unlisted_at == 0) {
            seen->unlisted_at = now;
        }
        if (!seen->listed && now - seen->unlisted_at > CH_STREAM_LIFE_US) {
            g_array_remove_index_fast(history->seen, i - 1);
        }
    }
}

/* See resume.h. */
void
ch_version_history_update(struct ch_version_history *history,
                          const struct ch_stream_origin *listed, size_t count,
                          int64_t now)
{
    for (guint i = 0; i < history->seen->len; i++) {
        g_array_index(history->seen, struct seen_version, i).listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        struct seen_version *seen = find_or_add(history, &listed[i]);
        seen->listed = true;
        seen->unlisted_at = 0;
    }
    note_unlisted(history, now);
}

/* See resume.h. */
struct ch_stream_versions
ch_version_history_get(const struct ch_version_history *history,
                       uint64_t service, int64_t now)
{
    struct ch_stream_versions versions = {
        .covers = history->new_fleet ? CH_STREAM_LIFE_US
                                     : MAX(now - history->begun_at, 0),
    };
    for (guint i = 0; i < history->seen->len; i++) {
        const struct seen_version *seen =
            &g_array_index(history->seen, struct seen_version, i);
        bool is_recent =
            seen->listed || now - seen->unlisted_at <= CH_STREAM_LIFE_US;
        if (seen->origin.service == service && is_recent &&
            versions.count < CH_STREAM_MAX_VERSIONS) {
            versions.ids[versions.count++] = seen->origin.version;
        }
    }
    return versions;
}

/* See resume.h. */
bool
ch_version_history_is_mixed(const struct ch_version_history *history,
                            int64_t now)
{
    for (guint i = 0; i < history->seen->len; i++) {
        uint64_t service = g_array_index(history->seen, struct seen_version, i)
                               .origin.service;
        if (ch_version_history_get(history, service, now).count > 1) {
            return true;
        }
    }
    return false;
}

/* See resume.h. */
bool
ch_version_history_may_be_mixed(const struct ch_version_history *history,
                                int64_t now)
{
    return (!history->new_fleet &&
            now - history->begun_at < CH_STREAM_LIFE_US) ||
           ch_version_history_is_mixed(history, now);
}
