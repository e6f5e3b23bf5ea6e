/* Selection of the few nodes that have a role for all others. */

#include "decide/rank.h"
#include "node/peers_internal.h"
#include "resume/resume.h"

#include <string.h>

/* Whether a node is in a data centre and a region; NULL means any. */
static bool
is_located_in(const char *data_centre, const char *region,
              const char *node_centre, const char *node_region)
{
    return (data_centre == NULL || g_strcmp0(data_centre, node_centre) == 0) &&
           (region == NULL || g_strcmp0(region, node_region) == 0);
}

/* Appends this node; names may be NULL. */
static void
append_self(const struct ch_peers *peers, GArray *nodes, GPtrArray *names)
{
    const struct ch_settings *settings = peers->node->settings;
    const struct ch_rank_node self = {
        .hash = ch_hash_string(settings->name),
        .capacity = ch_settings_get_capacity(settings),
    };
    g_array_append_val(nodes, self);
    if (names != NULL) {
        g_ptr_array_add(names, settings->name);
    }
}

/* Appends the live nodes of a data centre and a region (NULL: of any), without
 * this one; names may be NULL, and those in it are the members'. Lock held. */
static void
append_members(const struct ch_peers *peers, const char *data_centre,
               const char *region, GArray *nodes, GPtrArray *names)
{
    for (size_t i = 0; i < ch_members_get_count(peers->members); i++) {
        const struct ch_member *member = ch_members_get(peers->members, i);
        const struct ch_rank_node node = {member->name_hash, member->capacity};
        if (!ch_member_is_available(member) ||
            !is_located_in(data_centre, region, member->data_centre,
                           member->region)) {
            continue;
        }
        g_array_append_val(nodes, node);
        if (names != NULL) {
            g_ptr_array_add(names, member->name);
        }
    }
}

/* See node.h. */
size_t
ch_peers_get_rank(struct ch_peers *peers, uint64_t key,
                  const char *data_centre, const char *region)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(struct ch_rank_node));
    append_self(peers, nodes, NULL);
    pthread_mutex_lock(&peers->lock);
    append_members(peers, data_centre, region, nodes, NULL);
    pthread_mutex_unlock(&peers->lock);
    size_t rank = ch_rank_for_role(
        (const struct ch_rank_node *)(void *)nodes->data, nodes->len, 0, key);
    g_array_free(nodes, TRUE);
    return rank;
}

/* The node that ranks first for a role among the live nodes of a data centre
 * and a region (NULL: of any), a new string; NULL: there is none. */
static char *
find_first(struct ch_peers *peers, const char *role, const char *data_centre,
           const char *region, bool include_self)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(struct ch_rank_node));
    GPtrArray *names = g_ptr_array_new();
    if (include_self &&
        is_located_in(data_centre, region, peers->node->settings->data_centre,
                      peers->node->settings->region)) {
        append_self(peers, nodes, names);
    }
    pthread_mutex_lock(&peers->lock);
    append_members(peers, data_centre, region, nodes, names);
    char *holder = NULL;
    if (nodes->len > 0) {
        size_t first = ch_rank_find_first(
            (const struct ch_rank_node *)(void *)nodes->data, nodes->len,
            ch_hash_string(role));
        holder = g_strdup(g_ptr_array_index(names, first));
    }
    pthread_mutex_unlock(&peers->lock);
    g_ptr_array_free(names, TRUE);
    g_array_free(nodes, TRUE);
    return holder;
}

/* See node.h. */
char *
ch_peers_find_role_holder(struct ch_peers *peers, const char *role,
                          const char *region, bool include_self)
{
    bool is_here = g_strcmp0(region, peers->node->settings->region) == 0;
    return find_first(peers, role, NULL, region, include_self && is_here);
}

/* See node.h. */
char *
ch_peers_find_centre_role_holder(struct ch_peers *peers, const char *role,
                                 const char *data_centre, const char *region)
{
    return find_first(peers, role, data_centre, region, true);
}

/* A data centre; names may be the same in different regions. */
struct centre {
    char *name;
    char *region;
};

static void
clear_centre(void *data)
{
    struct centre *centre = data;
    g_free(centre->name);
    g_free(centre->region);
}

/* Adds the data centre of a node, once. For ch_peers_foreach_other(). */
static void
add_centre(void *data, const char *name, const char *data_centre,
           const char *region)
{
    (void)name;
    GArray *centres = data;
    if (data_centre == NULL || region == NULL) {
        return;
    }
    for (guint i = 0; i < centres->len; i++) {
        const struct centre *known = &g_array_index(centres, struct centre, i);
        if (is_located_in(data_centre, region, known->name, known->region)) {
            return;
        }
    }
    const struct centre centre = {g_strdup(data_centre), g_strdup(region)};
    g_array_append_val(centres, centre);
}

/* See node.h. */
void
ch_peers_list_role_holders(struct ch_peers *peers, const char *role,
                           bool same_region, GPtrArray *names)
{
    const struct ch_settings *own = peers->node->settings;
    GArray *centres = g_array_new(FALSE, FALSE, sizeof(struct centre));
    g_array_set_clear_func(centres, clear_centre);
    ch_peers_foreach_other(peers, add_centre, centres);
    for (guint i = 0; i < centres->len; i++) {
        const struct centre *centre =
            &g_array_index(centres, struct centre, i);
        bool is_near = g_strcmp0(centre->region, own->region) == 0;
        bool is_own =
            is_near && g_strcmp0(centre->name, own->data_centre) == 0;
        char *holder =
            is_own || is_near != same_region
                ? NULL
                : find_first(peers, role, centre->name, centre->region, false);
        if (holder != NULL) {
            g_ptr_array_add(names, holder);
        }
    }
    g_array_free(centres, TRUE);
}

/* See node.h. */
bool
ch_peers_has_role(struct ch_peers *peers, const char *role, unsigned count,
                  const char *region)
{
    return ch_peers_get_rank(peers, ch_hash_string(role), NULL, region) <
           count;
}

/* See node.h. */
void
ch_peers_list_stream_holders(struct ch_peers *peers, unsigned shard,
                             size_t max, GPtrArray *names)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(struct ch_rank_node));
    GPtrArray *all = g_ptr_array_new();
    size_t *chosen = g_new(size_t, max);
    append_self(peers, nodes, all);
    pthread_mutex_lock(&peers->lock);
    append_members(peers, NULL, NULL, nodes, all);
    size_t count = ch_stream_choose_holders(
        (const struct ch_rank_node *)(void *)nodes->data, nodes->len, shard,
        chosen, max);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(names, g_strdup(g_ptr_array_index(all, chosen[i])));
    }
    pthread_mutex_unlock(&peers->lock);
    g_free(chosen);
    g_ptr_array_free(all, TRUE);
    g_array_free(nodes, TRUE);
}
