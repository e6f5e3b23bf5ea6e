/* What a node knows of its paths to the upstreams. */

#include "path/path.h"

enum {
    /* An attempt that was given up sooner says nothing: connections between
     * regions take a round trip of some ten milliseconds, and a lost packet is
     * sent again. */
    MIN_ATTEMPT_US = 200 * 1000,
    /* One upstream without a connection may be at fault itself, so a node
     * counts as cut off only if it reaches none of several. */
    CUT_UPSTREAMS = 2,
    /* Connections without a failure between them after which the path counts
     * as restored, so that a path that flaps does not switch back each time.
     */
    RESTORING_CONNECTIONS = 2,
    PROBE_PERIOD_US = 200 * 1000,
    VIEW_PERIOD_US = 500 * 1000,
    /* The same for an upstream that other nodes did not reach either. */
    DOWN_VIEW_PERIOD_US = 2000 * 1000,
    /* For how long one node that reaches an upstream outweighs others that
     * don't. */
    VIEW_VALID_US = 1000 * 1000,
    /* After a cut, calls return to new connections over this time. */
    RETURN_US = 1000 * 1000,
    DRAW_RANGE = 1000,
};

struct path {
    enum ch_path_state state;
    enum ch_path_evidence evidence;
    int64_t connected_at;   /* start of the last attempt that succeeded */
    int64_t failed_since;   /* start of the first failed attempt since */
    int64_t last_failed_at; /* start of the last failed attempt */
    int64_t asked_at;
    int64_t reached_at; /* when another node said that it reaches it */
    int64_t probed_at;
};

struct ch_path_tracker {
    GHashTable *paths;         /* GQuark to struct path */
    int64_t last_connected_at; /* start of the last attempt that succeeded */
    int64_t cut_since;         /* 0: not cut off */
    unsigned connections;      /* since the last failure while cut off */
    int64_t restored_at;
    int64_t last_probe_at;
};

/* See path.h. */
struct ch_path_tracker *
ch_path_tracker_new(void)
{
    struct ch_path_tracker *tracker = g_new0(struct ch_path_tracker, 1);
    tracker->paths = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return tracker;
}

/* See path.h. */
void
ch_path_tracker_free(struct ch_path_tracker *tracker)
{
    if (tracker != NULL) {
        g_hash_table_destroy(tracker->paths);
        g_free(tracker);
    }
}

static struct path *
find_path(const struct ch_path_tracker *tracker, GQuark upstream)
{
    return g_hash_table_lookup(tracker->paths, GUINT_TO_POINTER(upstream));
}

static struct path *
find_or_add_path(struct ch_path_tracker *tracker, GQuark upstream)
{
    struct path *path = find_path(tracker, upstream);
    if (path == NULL) {
        path = g_new0(struct path, 1);
        g_hash_table_insert(tracker->paths, GUINT_TO_POINTER(upstream), path);
    }
    return path;
}

static void
open_path(struct path *path)
{
    path->state = CH_PATH_OPEN;
    path->failed_since = 0;
}

/* Ends the cut. Paths of which nothing else is known count as open until they
 * fail: probing them one by one would take long in a large fleet. Those that
 * are known to be lost are probed, since a node may have lost the paths to the
 * upstreams of one service alone. */
static enum ch_path_change
end_cut(struct ch_path_tracker *tracker, int64_t now)
{
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, tracker->paths);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct path *path = value;
        if (path->state != CH_PATH_LOST) {
            open_path(path);
        }
    }
    tracker->cut_since = 0;
    tracker->restored_at = now;
    return CH_PATH_CUT_ENDED;
}

static enum ch_path_change
record_connection(struct ch_path_tracker *tracker,
                  const struct ch_path_sample *sample)
{
    struct path *path = find_or_add_path(tracker, sample->upstream);
    tracker->last_connected_at =
        MAX(tracker->last_connected_at, sample->started_at);
    path->connected_at = MAX(path->connected_at, sample->started_at);
    if (sample->started_at < path->last_failed_at) {
        return CH_PATH_UNCHANGED;
    }
    open_path(path);
    if (tracker->cut_since == 0 || sample->started_at < tracker->cut_since) {
        return CH_PATH_UNCHANGED;
    }
    tracker->connections++;
    return tracker->connections >= RESTORING_CONNECTIONS
               ? end_cut(tracker, sample->ended_at)
               : CH_PATH_UNCHANGED;
}

/*
 * Whether the node is cut off. Load: upstreams that crash or hang, one or
 * several at a time, beside cuts of the node. Harm prevented: all calls of a
 * node go by others because of one upstream's fault, or none of a node that
 * has no path at all.
 */
static enum ch_path_change
check_cut(struct ch_path_tracker *tracker)
{
    unsigned failed = 0;
    unsigned lost = 0;
    int64_t since = INT64_MAX;
    GHashTableIter iterator;
    gpointer value = NULL;
    if (tracker->cut_since != 0) {
        return CH_PATH_UNCHANGED;
    }
    g_hash_table_iter_init(&iterator, tracker->paths);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct path *path = value;
        if (path->state == CH_PATH_OPEN ||
            path->last_failed_at <= tracker->last_connected_at) {
            continue;
        }
        failed++;
        lost += path->state == CH_PATH_LOST ? 1 : 0;
        since = MIN(since,
                    MAX(path->failed_since, tracker->last_connected_at + 1));
    }
    if (failed < CUT_UPSTREAMS || lost == 0) {
        return CH_PATH_UNCHANGED;
    }
    tracker->cut_since = since;
    tracker->connections = 0;
    return CH_PATH_CUT_BEGAN;
}

static enum ch_path_change
record_failure(struct ch_path_tracker *tracker,
               const struct ch_path_sample *sample)
{
    struct path *path = find_or_add_path(tracker, sample->upstream);
    if (sample->started_at < path->connected_at ||
        (sample->evidence == CH_PATH_TIMED_OUT &&
         sample->ended_at - sample->started_at < MIN_ATTEMPT_US)) {
        return CH_PATH_UNCHANGED;
    }
    path->last_failed_at = MAX(path->last_failed_at, sample->started_at);
    path->evidence = sample->evidence;
    tracker->connections = 0;
    if (path->state == CH_PATH_OPEN) {
        path->state = CH_PATH_DOUBTFUL;
        path->failed_since = sample->started_at;
    }
    return check_cut(tracker);
}

/* See path.h. */
enum ch_path_change
ch_path_tracker_record(struct ch_path_tracker *tracker,
                       const struct ch_path_sample *sample)
{
    return sample->evidence == CH_PATH_CONNECTED
               ? record_connection(tracker, sample)
               : record_failure(tracker, sample);
}

/* See path.h. */
enum ch_path_change
ch_path_tracker_record_view(struct ch_path_tracker *tracker, GQuark upstream,
                            bool reached, int64_t now)
{
    struct path *path = find_path(tracker, upstream);
    if (path == NULL || path->state == CH_PATH_OPEN) {
        return CH_PATH_UNCHANGED;
    }
    if (reached) {
        path->state = CH_PATH_LOST;
        path->reached_at = now;
    }
    else if (now - path->reached_at > VIEW_VALID_US) {
        path->state = CH_PATH_DOWN;
    }
    return check_cut(tracker);
}

/* See path.h. */
void
ch_path_tracker_forget(struct ch_path_tracker *tracker, GQuark upstream)
{
    g_hash_table_remove(tracker->paths, GUINT_TO_POINTER(upstream));
}

/* See path.h. */
bool
ch_path_tracker_needs_view(struct ch_path_tracker *tracker, GQuark upstream,
                           int64_t now)
{
    struct path *path = find_path(tracker, upstream);
    if (path == NULL || path->state == CH_PATH_OPEN ||
        path->state == CH_PATH_LOST || tracker->cut_since != 0 ||
        (path->asked_at != 0 && now - path->asked_at < VIEW_PERIOD_US)) {
        return false;
    }
    path->asked_at = now;
    return true;
}

/*
 * See path.h. Load: most nodes are cut off, so that those which were asked
 * know nothing, or did not know yet that they are cut off. Harm prevented: a
 * node that sends no more calls, since it takes all upstreams for bad, never
 * learns that it is the node, and refuses as a home for all others.
 */
GQuark
ch_path_tracker_select_question(struct ch_path_tracker *tracker, int64_t now)
{
    GQuark selected = 0;
    struct path *oldest = NULL;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    if (tracker->cut_since != 0) {
        return 0;
    }
    g_hash_table_iter_init(&iterator, tracker->paths);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct path *path = value;
        int64_t period =
            path->state == CH_PATH_DOWN ? DOWN_VIEW_PERIOD_US : VIEW_PERIOD_US;
        bool is_open_question =
            path->state == CH_PATH_DOUBTFUL || path->state == CH_PATH_DOWN;
        if (is_open_question && now - path->asked_at >= period &&
            (oldest == NULL || path->asked_at < oldest->asked_at)) {
            oldest = path;
            selected = GPOINTER_TO_UINT(key);
        }
    }
    if (oldest != NULL) {
        oldest->asked_at = now;
    }
    return selected;
}

/*
 * See path.h. Load: a cut of many nodes that heals at once. Harm prevented: a
 * new connection takes an upstream's time, so nodes that all probe all
 * upstreams would slow them down.
 */
GQuark
ch_path_tracker_select_probe(struct ch_path_tracker *tracker, int64_t now)
{
    GQuark selected = 0;
    struct path *oldest = NULL;
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    if (now - tracker->last_probe_at < PROBE_PERIOD_US) {
        return 0;
    }
    g_hash_table_iter_init(&iterator, tracker->paths);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct path *path = value;
        if ((tracker->cut_since != 0 || path->state == CH_PATH_LOST) &&
            (oldest == NULL || path->probed_at < oldest->probed_at)) {
            oldest = path;
            selected = GPOINTER_TO_UINT(key);
        }
    }
    if (oldest != NULL) {
        oldest->probed_at = now;
        tracker->last_probe_at = now;
    }
    return selected;
}

/*
 * See path.h. Load: the end of a cut, with several calls a second under way at
 * each of many nodes. Harm prevented: all calls open new connections in the
 * same moment, each of which takes an upstream's time.
 */
bool
ch_path_tracker_needs_relay(const struct ch_path_tracker *tracker,
                            GQuark upstream, uint64_t draw, int64_t now)
{
    if (tracker->cut_since != 0) {
        return true;
    }
    int64_t since = now - tracker->restored_at;
    if (tracker->restored_at != 0 && since < RETURN_US &&
        (int64_t)(draw % DRAW_RANGE) >= since * DRAW_RANGE / RETURN_US) {
        return true;
    }
    return ch_path_tracker_get_state(tracker, upstream) == CH_PATH_LOST;
}

/* See path.h. */
enum ch_path_state
ch_path_tracker_get_state(const struct ch_path_tracker *tracker,
                          GQuark upstream)
{
    const struct path *path = find_path(tracker, upstream);
    return path == NULL ? CH_PATH_OPEN : path->state;
}

/* See path.h. */
int64_t
ch_path_tracker_get_connected_at(const struct ch_path_tracker *tracker,
                                 GQuark upstream)
{
    const struct path *path = find_path(tracker, upstream);
    return path == NULL ? 0 : path->connected_at;
}

/* See path.h. */
int64_t
ch_path_tracker_get_last_connected_at(const struct ch_path_tracker *tracker)
{
    return tracker->last_connected_at;
}

/* See path.h. */
int64_t
ch_path_tracker_get_cut_since(const struct ch_path_tracker *tracker)
{
    return tracker->cut_since;
}

/* See path.h. */
void
ch_path_tracker_foreach(const struct ch_path_tracker *tracker,
                        void (*each)(void *data,
                                     const struct ch_path_info *info),
                        void *data)
{
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, tracker->paths);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const struct path *path = value;
        if (path->state != CH_PATH_OPEN) {
            const struct ch_path_info info = {
                .upstream = GPOINTER_TO_UINT(key),
                .state = path->state,
                .evidence = path->evidence,
                .since = path->failed_since,
            };
            each(data, &info);
        }
    }
}
