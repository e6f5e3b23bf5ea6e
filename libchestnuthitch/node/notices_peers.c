/* How what upstreams say of calls to come reaches other nodes. */

#include "node/node.h"

static char *
find_teller(void *data, GQuark upstream, GQuark region)
{
    const struct ch_node *node = data;
    return ch_peers_find_upstream_home(
        node->peers, ch_hash_string(g_quark_to_string(upstream)),
        region == 0 ? "" : g_quark_to_string(region), NULL);
}

static GPtrArray *
list_live(void *data)
{
    const struct ch_node *node = data;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    ch_peers_list_others(node->peers, names, names);
    return names;
}

static void
send_frame(void *data, const char *to, Chestnuthitch__Wire__Frame *frame)
{
    const struct ch_node *node = data;
    ch_peers_send(node->peers, to, frame);
}

/* See node.h. */
struct ch_notices *
ch_node_create_notices(struct ch_node *node)
{
    const struct ch_notices_peers peers = {
        .data = node,
        .self = node->settings->name,
        .find_teller = find_teller,
        .list_live = list_live,
        .send = send_frame,
    };
    return ch_notices_new(node->client, node->pool, node->timers, &peers);
}
