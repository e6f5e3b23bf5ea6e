/* Changes of membership: which homes are on this node, this node's share of
 * common limits, and the grants of lost nodes. */

#include "node/homes_internal.h"

#include <string.h>

enum {
    REHOME_PERIOD_US = 500 * 1000,
    /*
     * A grant ends when its entry node has been silent for this long: the
     * node's streams have ended with its process or are cut off from here.
     * This is well above the pauses that a node survives, since a grant that
     * ends too early lets one request too many run at the upstream until the
     * earlier one ends.
     */
    MAX_GRANT_SILENCE_US = 5 * 1000 * 1000,
};

struct lost_search {
    struct ch_homes *homes;
    int64_t now;
    GArray *handles;
};

/* Collects the tickets of lost nodes: another process has the node's name, or
 * the node has been silent for too long. */
static void
collect_lost_ticket(void *item, uint64_t handle, void *data)
{
    const struct ticket *ticket = item;
    struct lost_search *search = data;
    if (ticket->from_node == NULL) {
        return;
    }
    uint64_t incarnation = 0;
    int64_t last_heard = ch_peers_get_last_heard(
        search->homes->node->peers, ticket->from_node, &incarnation);
    bool other_process = incarnation != 0 && ticket->from_incarnation != 0 &&
                         incarnation != ticket->from_incarnation;
    if (other_process || search->now - MAX(last_heard, ticket->created_at) >
                             MAX_GRANT_SILENCE_US) {
        g_array_append_val(search->handles, handle);
    }
}

/* Ends the grants of lost nodes.  Otherwise every node that dies would leave
 * its requests counted at the homes, whose batches would fill up with requests
 * that nobody runs. */
static void
end_lost_grants(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    struct lost_search search = {
        .homes = homes,
        .now = now,
        .handles = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
    };
    ch_table_foreach(homes->tickets, collect_lost_ticket, &search);
    for (guint i = 0; i < search.handles->len; i++) {
        ch_metrics_add_count(homes->node->client->metrics,
                             CH_COUNT_GRANTS_LOST, 1);
        home_withdraw(homes, g_array_index(search.handles, uint64_t, i), now,
                      effects);
    }
    g_array_free(search.handles, TRUE);
}

/* Sets this node's share of the weight store and of the link: the region's
 * limits divided by the number of live nodes. */
static void
update_shared_limits(struct ch_homes *homes)
{
    const struct ch_settings *settings = homes->node->settings;
    char **live = ch_peers_list_live(homes->node->peers);
    unsigned count = g_strv_length(live);
    g_strfreev(live);
    double nodes = MAX(count, 1U);
    homes->load_budget.rate_per_s = settings->loads_per_s / nodes;
    homes->load_budget.capacity =
        MAX(settings->max_parallel_loads / nodes, 1.0);
    homes->link_budget.rate_per_s =
        settings->region_link_mbit_per_s * 1e6 / 8 / nodes;
    homes->link_budget.capacity = homes->link_budget.rate_per_s * 2;
    homes->publish_all = count != homes->live_count;
    homes->live_count = count;
}

/* Opens and closes homes according to the membership and ends lost grants. */
void
homes_assign(struct ch_homes *homes, int64_t now, struct effects *effects)
{
    if (now < homes->next_rehome_at && !homes->draining) {
        return;
    }
    homes->next_rehome_at = now + REHOME_PERIOD_US;
    update_shared_limits(homes);
    end_lost_grants(homes, now, effects);
    uint64_t membership_version = ch_peers_get_version(homes->node->peers);
    if (membership_version == homes->homes_version && !homes->rehome_needed) {
        return;
    }
    homes->homes_version = membership_version;
    homes->rehome_needed = false;
    for (guint i = 0; i < homes->upstreams->len; i++) {
        struct upstream *upstream = g_ptr_array_index(homes->upstreams, i);
        bool becomes = false;
        bool is_home = ch_peers_is_home(homes->node->peers, upstream->key,
                                        upstream->region,
                                        upstream->data_centre, &becomes);
        if (becomes) {
            home_open(homes, upstream, now, effects);
        }
        else if (!is_home) {
            home_close(homes, upstream, effects);
        }
    }
}
