/* By which other node a call goes to an upstream that this one can't reach. */

#include "node/path_internal.h"

#include <stdio.h>
#include <string.h>

enum {
    CANDIDATES_VALID_US = 100 * 1000,
    /* How long a node that did not relay a call is passed over, for all
     * upstreams or, if it has no path to the one, for that. */
    SUSPECT_US = 1000 * 1000,
    BUSY_US = 100 * 1000,
    NO_PATH_US = 1000 * 1000,
    MAX_PAIRS = 16 * 1024,
};

/* What this node knows of one that relays its calls. */
struct relay_state {
    unsigned outstanding;
    int64_t suspect_until;
};

struct relay_candidate {
    GQuark name;
    char address[PATH_ADDRESS_SIZE];
    struct ch_path_relay_candidate place;
};

/* See path_internal.h. */
void
path_relay_init(struct ch_path_manager *manager)
{
    manager->place = (struct ch_path_place){
        .data_centre =
            g_quark_from_string(manager->node->settings->data_centre),
        .region = g_quark_from_string(manager->node->settings->region),
    };
    manager->relays = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    manager->lost_pairs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    manager->candidates =
        g_array_new(FALSE, FALSE, sizeof(struct relay_candidate));
    manager->draw =
        ch_hash_pair(manager->node->incarnation,
                     ch_hash_string(manager->node->settings->name));
}

/* See path_internal.h. */
void
path_relay_clear(struct ch_path_manager *manager)
{
    g_hash_table_destroy(manager->relays);
    g_hash_table_destroy(manager->lost_pairs);
    g_array_free(manager->candidates, TRUE);
}

/* ---- candidates; lock held ---- */

static void
add_candidate(void *data, const struct ch_peers_relay *relay)
{
    GArray *candidates = data;
    struct relay_candidate candidate = {
        .name = g_quark_from_string(relay->name),
        .place =
            {
                .data_centre = g_quark_from_string(relay->data_centre),
                .region = g_quark_from_string(relay->region),
                .capacity = relay->capacity,
            },
    };
    const char *colon = strrchr(relay->address, ':');
    int length = colon == NULL ? 0 : (int)(colon - relay->address);
    (void)snprintf(candidate.address, sizeof(candidate.address), "%.*s:%u",
                   length, relay->address, relay->port);
    g_array_append_val(candidates, candidate);
}

static void
refresh_candidates(struct ch_path_manager *manager, int64_t now)
{
    if (manager->candidates_read_at != 0 &&
        now - manager->candidates_read_at < CANDIDATES_VALID_US) {
        return;
    }
    manager->candidates_read_at = now;
    g_array_set_size(manager->candidates, 0);
    ch_peers_foreach_relay(manager->node->peers, add_candidate,
                           manager->candidates);
}

static struct relay_state *
find_state(const struct ch_path_manager *manager, GQuark relay)
{
    return g_hash_table_lookup(manager->relays, GUINT_TO_POINTER(relay));
}

/* Identifies a relaying node and an upstream. */
static int64_t
get_pair(GQuark relay, GQuark upstream)
{
    return (int64_t)((uint64_t)relay << 32 | upstream);
}

/* Records that a node has no path to an upstream. */
static void
suspect_pair(struct ch_path_manager *manager, GQuark relay, GQuark upstream,
             int64_t now)
{
    int64_t pair = get_pair(relay, upstream);
    int64_t until = now + NO_PATH_US;
    if (g_hash_table_size(manager->lost_pairs) >= MAX_PAIRS) {
        g_hash_table_remove_all(manager->lost_pairs);
    }
    g_hash_table_replace(manager->lost_pairs, g_memdup2(&pair, sizeof(pair)),
                         g_memdup2(&until, sizeof(until)));
}

static bool
is_pair_lost(const struct ch_path_manager *manager, GQuark relay,
             GQuark upstream, int64_t now)
{
    int64_t pair = get_pair(relay, upstream);
    const int64_t *until = g_hash_table_lookup(manager->lost_pairs, &pair);
    return until != NULL && *until > now;
}

/* The candidates that may relay a call to an upstream now: their places, and
 * in *indices where they are among all. */
static GArray *
collect_usable(struct ch_path_manager *manager, GQuark upstream,
               const GArray *failed, int64_t now, GArray *indices)
{
    GArray *usable =
        g_array_new(FALSE, FALSE, sizeof(struct ch_path_relay_candidate));
    refresh_candidates(manager, now);
    for (guint i = 0; i < manager->candidates->len; i++) {
        const struct relay_candidate *candidate =
            &g_array_index(manager->candidates, struct relay_candidate, i);
        const struct relay_state *state = find_state(manager, candidate->name);
        if (ch_route_is_excluded(failed, candidate->name) ||
            is_pair_lost(manager, candidate->name, upstream, now) ||
            (state != NULL && state->suspect_until > now)) {
            continue;
        }
        struct ch_path_relay_candidate place = candidate->place;
        place.outstanding = state == NULL ? 0 : state->outstanding;
        g_array_append_val(usable, place);
        g_array_append_val(indices, i);
    }
    return usable;
}

/* The candidate for a call to an upstream, or NULL. */
static const struct relay_candidate *
choose_candidate(struct ch_path_manager *manager, GQuark upstream,
                 const GArray *failed, int64_t now)
{
    const struct path_upstream *known =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(upstream));
    const struct ch_path_place to = {
        .data_centre = known == NULL ? 0 : known->data_centre,
        .region = known == NULL ? 0 : known->region,
    };
    GArray *indices = g_array_new(FALSE, FALSE, sizeof(guint));
    GArray *usable = collect_usable(manager, upstream, failed, now, indices);
    manager->draw = ch_hash_pair(manager->draw, 1);
    size_t chosen = ch_path_choose_relay(
        (const struct ch_path_relay_candidate *)(void *)usable->data,
        usable->len, &manager->place, &to, manager->draw);
    const struct relay_candidate *candidate =
        chosen >= usable->len
            ? NULL
            : &g_array_index(manager->candidates, struct relay_candidate,
                             g_array_index(indices, guint, chosen));
    g_array_free(usable, TRUE);
    g_array_free(indices, TRUE);
    return candidate;
}

/* ---- calls of this node ---- */

/* See path_manager.h. */
bool
ch_path_manager_choose_relay(struct ch_path_manager *manager, GQuark upstream,
                             const GArray *failed, struct ch_path_relay *relay)
{
    if (manager == NULL) {
        return false;
    }
    int64_t now = ch_client_get_time(manager->node->client);
    const struct relay_candidate *candidate = NULL;
    pthread_mutex_lock(&manager->lock);
    if (ch_path_tracker_needs_relay(manager->tracker, upstream, manager->draw,
                                    now)) {
        candidate = choose_candidate(manager, upstream, failed, now);
    }
    if (candidate != NULL) {
        struct relay_state *state = find_state(manager, candidate->name);
        if (state == NULL) {
            state = g_new0(struct relay_state, 1);
            g_hash_table_insert(manager->relays,
                                GUINT_TO_POINTER(candidate->name), state);
        }
        state->outstanding++;
        relay->name = candidate->name;
        g_strlcpy(relay->address, candidate->address, sizeof(relay->address));
    }
    pthread_mutex_unlock(&manager->lock);
    if (candidate != NULL) {
        path_manager_count(manager, CH_COUNT_RELAYED_OUT);
    }
    return candidate != NULL;
}

/* What the result of a relayed call shows about the upstream. */
static enum path_view
read_view(enum ch_relay_result result)
{
    switch (result) {
    case CH_RELAY_NONE:
        return PATH_VIEW_REACHED;
    case CH_RELAY_UPSTREAM_REFUSED:
        return PATH_VIEW_REFUSED;
    case CH_RELAY_UPSTREAM_TIMED_OUT:
        return PATH_VIEW_TIMED_OUT;
    default:
        return PATH_VIEW_UNKNOWN;
    }
}

/* See path_manager.h. */
void
ch_path_manager_release_relay(struct ch_path_manager *manager, GQuark relay,
                              GQuark upstream, enum ch_relay_result result)
{
    int64_t now = ch_client_get_time(manager->node->client);
    pthread_mutex_lock(&manager->lock);
    struct relay_state *state = find_state(manager, relay);
    state->outstanding--;
    if (result == CH_RELAY_NO_PATH || result == CH_RELAY_UPSTREAM_TIMED_OUT ||
        result == CH_RELAY_UNKNOWN_UPSTREAM) {
        suspect_pair(manager, relay, upstream, now);
    }
    else if (ch_relay_result_is_about_node(result)) {
        state->suspect_until =
            now + (result == CH_RELAY_BUSY ? BUSY_US : SUSPECT_US);
    }
    pthread_mutex_unlock(&manager->lock);
    path_manager_record_view(manager, upstream, read_view(result),
                             g_quark_to_string(relay));
    if (result != CH_RELAY_NONE) {
        ch_log(manager->node->client, CH_LOG_INFO, "not-relayed",
               CH_F_STR("relay", g_quark_to_string(relay)),
               CH_F_STR("upstream", g_quark_to_string(upstream)),
               CH_F_STR("why", ch_relay_result_get_name(result)), CH_F_END);
    }
}

/* See path_manager.h. */
bool
ch_path_manager_knows_relay(struct ch_path_manager *manager)
{
    if (manager == NULL) {
        return false;
    }
    pthread_mutex_lock(&manager->lock);
    refresh_candidates(manager, ch_client_get_time(manager->node->client));
    bool known = manager->candidates->len > 0;
    pthread_mutex_unlock(&manager->lock);
    return known;
}

/* ---- calls of other nodes ---- */

/* See path_manager.h. */
void
ch_path_manager_set_draining(struct ch_path_manager *manager, GQuark name,
                             bool draining)
{
    if (manager == NULL) {
        return;
    }
    pthread_mutex_lock(&manager->lock);
    struct path_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    if (upstream != NULL) {
        upstream->draining = draining;
    }
    pthread_mutex_unlock(&manager->lock);
}

/* See path_manager.h. */
enum ch_relay_result
ch_path_manager_find_upstream(struct ch_path_manager *manager, GQuark name,
                              char *address, size_t size)
{
    enum ch_relay_result result = CH_RELAY_NONE;
    pthread_mutex_lock(&manager->lock);
    const struct path_upstream *upstream =
        g_hash_table_lookup(manager->upstreams, GUINT_TO_POINTER(name));
    if (ch_path_tracker_get_cut_since(manager->tracker) != 0 ||
        ch_path_tracker_get_state(manager->tracker, name) == CH_PATH_LOST) {
        result = CH_RELAY_NO_PATH;
    }
    else if (upstream == NULL) {
        result = CH_RELAY_UNKNOWN_UPSTREAM;
    }
    else if (upstream->draining) {
        result = CH_RELAY_DRAINING;
    }
    else {
        g_strlcpy(address, upstream->address, size);
    }
    pthread_mutex_unlock(&manager->lock);
    return result;
}
