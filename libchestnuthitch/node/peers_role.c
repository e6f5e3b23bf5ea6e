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

/* See node.h. */
char *
ch_peers_find_role_holder(struct ch_peers *peers, const char *role,
                          const char *region, bool include_self)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(struct ch_rank_node));
    GPtrArray *names = g_ptr_array_new();
    if (include_self &&
        g_strcmp0(region, peers->node->settings->region) == 0) {
        append_self(peers, nodes, names);
    }
    pthread_mutex_lock(&peers->lock);
    append_members(peers, NULL, region, nodes, names);
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
